#include "balancer_internal.h"

#include <stdlib.h>
#include <string.h>

/* A target is slowed if its requests take this many times as long as usual. */
#define SLOWED_THRESHOLD 2.0
/* Maximum age of a load report that shows a target as slowed. Other work on the target's host
   changes within this time. */
#define SLOWED_MAX_AGE_US (150 * SGR_USEC_PER_MSEC)
/* Usual wait for the end of a slowdown: half of the time within which other work changes. */
#define SLOWDOWN_WAIT_US 75e3
/* Age at which a target state from a load report is discarded. By then the membership protocol has
   distributed the state of the target to all nodes. */
#define REPORTED_STATE_MAX_AGE_US (3 * SGR_USEC_PER_SEC)

#define ENTRIES_INITIAL 8
/* A handle holds the index of the table entry plus 1 in its low 16 bits and the generation of the
   entry in the bits above. */
#define HANDLE_INDEX_BITS 16
#define HANDLE_INDEX_MASK 0xffff

static const char *const event_names[SGR_BALANCER_EVENT_COUNT] = {
  [SGR_BALANCER_PICKED] = "picked",
  [SGR_BALANCER_PICK_NONE] = "pick_none",
  [SGR_BALANCER_PICK_HOT_AVOIDED] = "pick_hot_avoided",
  [SGR_BALANCER_PICK_ALL_HOT] = "pick_all_hot",
  [SGR_BALANCER_PICK_FAR] = "pick_far",
  [SGR_BALANCER_PICK_SLOW_START] = "pick_slow_start",
  [SGR_BALANCER_PICK_EJECTED_ONLY] = "pick_ejected_only",
  [SGR_BALANCER_PICK_TRIAL] = "pick_trial",
  [SGR_BALANCER_EJECTED] = "ejected",
  [SGR_BALANCER_EJECT_CAPPED] = "eject_capped",
  [SGR_BALANCER_READMITTED] = "readmitted",
  [SGR_BALANCER_ATTEMPT_ERROR] = "attempt_error",
  [SGR_BALANCER_FAST_ERROR] = "fast_error",
  [SGR_BALANCER_REFUSED] = "refused",
  [SGR_BALANCER_REPORT_USED] = "report_used",
  [SGR_BALANCER_REPORT_OLD] = "report_old",
  [SGR_BALANCER_REPORT_CONTRADICTED] = "report_contradicted",
  [SGR_BALANCER_STALE_HANDLE] = "stale_handle",
  [SGR_BALANCER_PICK_COLD_AVOIDED] = "pick_cold_avoided",
};

static const char *const policy_names[SGR_BALANCER_POLICY_COUNT] = {
  [SGR_BALANCER_LOAD_LATENCY] = "load-latency",
  [SGR_BALANCER_RANDOM] = "random",
  [SGR_BALANCER_ROUND_ROBIN] = "round-robin",
  [SGR_BALANCER_LEAST_OUTSTANDING] = "least-outstanding",
  [SGR_BALANCER_TWO_CHOICES] = "two-choices",
};

const char *
sgr_balancer_event_name (sgr_balancer_event_t event)
{
  return (unsigned)event < SGR_BALANCER_EVENT_COUNT ? event_names[event] : "unknown";
}

const char *
sgr_balancer_policy_name (sgr_balancer_policy_t policy)
{
  return (unsigned)policy < SGR_BALANCER_POLICY_COUNT ? policy_names[policy] : "unknown";
}

static bool
options_are_valid (const sgr_balancer_options_t *options)
{
  return (unsigned)options->policy < SGR_BALANCER_POLICY_COUNT && options->eject_percent <= 100;
}

sgr_balancer_t *
sgr_balancer_create (const sgr_balancer_options_t *options)
{
  sgr_balancer_t *b;

  if (!options_are_valid (options))
    return NULL;
  b = calloc (1, sizeof *b);
  if (b == NULL)
    return NULL;
  b->options = *options;
  b->report_confidence = 1;
  sgr_rng_seed (&b->rng, options->seed);
  return b;
}

void
sgr_balancer_destroy (sgr_balancer_t *b)
{
  if (b == NULL)
    return;
  free (b->entries);
  free (b->used_indexes);
  free (b->candidates);
  free (b);
}

sgr_result_t
sgr_balancer_options_set (sgr_balancer_t *b, const sgr_balancer_options_t *options)
{
  uint64_t seed = b->options.seed;

  if (!options_are_valid (options))
    return SGR_ERR_INVALID;
  b->options = *options;
  b->options.seed = seed;
  for (size_t i = 0; i < b->target_count; i++)
    {
      sgr_balancer_entry_t *entry = &b->entries[b->used_indexes[i]];

      entry->far_rank = sgr_balancer_far_rank (options->far_set_seed, entry->info.node);
    }
  return SGR_OK;
}

static sgr_balancer_target_t
handle_of (const sgr_balancer_t *b, uint32_t index)
{
  return (uint32_t)b->entries[index].generation << HANDLE_INDEX_BITS | (index + 1);
}

static sgr_balancer_entry_t *
entry_find (const sgr_balancer_t *b, sgr_balancer_target_t target)
{
  size_t index = (target & HANDLE_INDEX_MASK) - 1;

  if ((target & HANDLE_INDEX_MASK) == 0 || index >= b->entry_capacity || !b->entries[index].is_used
      || b->entries[index].generation != target >> HANDLE_INDEX_BITS)
    return NULL;
  return &b->entries[index];
}

/* Returns the entry of a target; for a stale handle records the event and returns NULL. */
static sgr_balancer_entry_t *
entry_find_or_record_stale (sgr_balancer_t *b, sgr_balancer_target_t target)
{
  sgr_balancer_entry_t *entry = entry_find (b, target);

  if (entry == NULL)
    sgr_balancer_event_record (b, SGR_BALANCER_STALE_HANDLE);
  return entry;
}

static bool
target_info_is_valid (const sgr_balancer_target_info_t *info)
{
  return info->slots > 0 && (unsigned)info->state <= SGR_TARGET_LEFT
         && memchr (info->failure_domain, 0, sizeof info->failure_domain) != NULL;
}

static bool
table_grow (sgr_balancer_t *b)
{
  size_t size = b->entry_capacity == 0 ? ENTRIES_INITIAL : b->entry_capacity * 2;
  void *entries = realloc (b->entries, size * sizeof *b->entries);
  void *used_indexes;
  void *candidates;

  if (entries == NULL)
    return false;
  b->entries = entries;
  used_indexes = realloc (b->used_indexes, size * sizeof *b->used_indexes);
  if (used_indexes == NULL)
    return false;
  b->used_indexes = used_indexes;
  candidates = realloc (b->candidates, size * sizeof *b->candidates);
  if (candidates == NULL)
    return false;
  b->candidates = candidates;
  memset (b->entries + b->entry_capacity, 0, (size - b->entry_capacity) * sizeof *b->entries);
  b->entry_capacity = size;
  return true;
}

/* Keeps the indexes in ascending order, which gives round robin a stable order of targets. */
static void
used_index_insert (sgr_balancer_t *b, uint32_t index)
{
  size_t i = b->target_count++;

  for (; i > 0 && b->used_indexes[i - 1] > index; i--)
    b->used_indexes[i] = b->used_indexes[i - 1];
  b->used_indexes[i] = index;
}

/* Discards the estimates and the health of a target; attempts in flight there stay counted. */
static void
entry_reset (sgr_balancer_entry_t *entry, const sgr_balancer_target_info_t *info)
{
  sgr_balancer_estimate_init (&entry->estimate);
  entry->health = (sgr_balancer_health_t){ 0 };
  entry->cold = (sgr_balancer_cold_t){ 0 };
  entry->reported_state = SGR_TARGET_NONE;
  entry->slow_start_begin_us = info->serving_since_us;
}

sgr_result_t
sgr_balancer_target_add (sgr_balancer_t *b, uint64_t now_us, const sgr_balancer_target_info_t *info,
                         sgr_balancer_target_t *target)
{
  sgr_balancer_entry_t *entry;
  uint32_t index = 0;

  if (!target_info_is_valid (info))
    return SGR_ERR_INVALID;
  *target = sgr_balancer_target_find (b, info->node);
  if (*target != SGR_BALANCER_TARGET_NONE)
    return SGR_ERR_CONFLICT;
  if (b->target_count >= SGR_BALANCER_TARGETS_MAX)
    return SGR_ERR_LIMIT;
  if (b->target_count == b->entry_capacity && !table_grow (b))
    return SGR_ERR_NO_MEMORY;
  while (b->entries[index].is_used)
    index++;
  entry = &b->entries[index];
  entry->info = *info;
  entry->is_used = true;
  entry->generation++;
  entry->outstanding = 0;
  entry->start_times_sum_us = 0;
  entry->far_rank = sgr_balancer_far_rank (b->options.far_set_seed, info->node);
  entry_reset (entry, info);
  used_index_insert (b, index);
  *target = handle_of (b, index);
  return SGR_OK;
}

/* Returns whether the membership view is older than the gate's report. A restarted node announces
   first that it has no target and later that its target is serving. The first announcement may
   arrive after a load report that says serving. */
static bool
is_membership_stale (sgr_target_state_t reported, sgr_target_state_t member)
{
  return reported == SGR_TARGET_SERVING && member == SGR_TARGET_NONE;
}

sgr_result_t
sgr_balancer_target_update (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                            const sgr_balancer_target_info_t *info)
{
  sgr_balancer_entry_t *entry = entry_find_or_record_stale (b, target);

  if (entry == NULL)
    return SGR_ERR_NOT_FOUND;
  if (!target_info_is_valid (info) || info->node != entry->info.node)
    return SGR_ERR_INVALID;
  if (info->serving_since_us > entry->info.serving_since_us)
    entry_reset (entry, info);
  if (info->state != entry->info.state && !is_membership_stale (entry->reported_state, info->state))
    entry->reported_state = SGR_TARGET_NONE;
  entry->info = *info;
  return SGR_OK;
}

sgr_result_t
sgr_balancer_target_remove (sgr_balancer_t *b, sgr_balancer_target_t target)
{
  sgr_balancer_entry_t *entry = entry_find_or_record_stale (b, target);
  uint32_t index = (target & HANDLE_INDEX_MASK) - 1;
  size_t i = 0;

  if (entry == NULL)
    return SGR_ERR_NOT_FOUND;
  entry->is_used = false;
  b->outstanding -= entry->outstanding;
  while (b->used_indexes[i] != index)
    i++;
  b->target_count--;
  memmove (b->used_indexes + i, b->used_indexes + i + 1,
           (b->target_count - i) * sizeof *b->used_indexes);
  return SGR_OK;
}

void
sgr_balancer_link_rtt_set (sgr_balancer_t *b, sgr_balancer_target_t target, uint32_t link_rtt_us)
{
  sgr_balancer_entry_t *entry = entry_find_or_record_stale (b, target);

  if (entry != NULL)
    entry->info.link_rtt_us = link_rtt_us;
}

sgr_balancer_target_t
sgr_balancer_target_find (const sgr_balancer_t *b, sgr_node_id_t node)
{
  for (size_t i = 0; i < b->target_count; i++)
    if (b->entries[b->used_indexes[i]].info.node == node)
      return handle_of (b, b->used_indexes[i]);
  return SGR_BALANCER_TARGET_NONE;
}

const sgr_balancer_target_info_t *
sgr_balancer_target_info (const sgr_balancer_t *b, sgr_balancer_target_t target)
{
  const sgr_balancer_entry_t *entry = entry_find (b, target);

  return entry != NULL ? &entry->info : NULL;
}

size_t
sgr_balancer_target_count (const sgr_balancer_t *b)
{
  return b->target_count;
}

/* Discards reported states that are old enough for membership to have spread the actual state. A
   target that is not chosen sends no new report: without expiry, it might never be chosen again. */
static void
reported_states_expire (sgr_balancer_t *b, uint64_t now_us)
{
  for (size_t i = 0; i < b->target_count; i++)
    {
      sgr_balancer_entry_t *entry = &b->entries[b->used_indexes[i]];

      if (now_us > entry->estimate.report_made_us + REPORTED_STATE_MAX_AGE_US)
        entry->reported_state = SGR_TARGET_NONE;
    }
}

/* Returns the target state that decides about new attempts. The state in the gate's load report
   replaces the state in the membership view in two cases: the report says draining or left, or the
   report says serving while the view still has no target at that node. */
static sgr_target_state_t
effective_state (const sgr_balancer_entry_t *entry)
{
  if (entry->reported_state == SGR_TARGET_DRAINING || entry->reported_state == SGR_TARGET_LEFT
      || is_membership_stale (entry->reported_state, entry->info.state))
    return entry->reported_state;
  return entry->info.state;
}

static bool
is_excluded (const sgr_balancer_t *b, uint32_t index, const sgr_balancer_target_t *exclude,
             size_t exclude_count)
{
  sgr_balancer_target_t target = handle_of (b, index);

  for (size_t i = 0; i < exclude_count; i++)
    if (exclude[i] == target)
      return true;
  return false;
}

/* Collects the candidates: the targets in @state and in an allowed region that are not excluded,
   ejected ones only if @with_ejected is set. Returns their number. */
static size_t
candidates_collect (sgr_balancer_t *b, sgr_target_state_t state, bool with_ejected,
                    const sgr_balancer_target_t *exclude, size_t exclude_count,
                    const sgr_region_limit_t *regions)
{
  size_t count = 0;

  for (size_t i = 0; i < b->target_count; i++)
    {
      uint32_t index = b->used_indexes[i];
      const sgr_balancer_entry_t *entry = &b->entries[index];

      if (effective_state (entry) == state && (with_ejected || !entry->health.is_ejected)
          && sgr_region_limit_allows (regions, entry->info.region)
          && !is_excluded (b, index, exclude, exclude_count))
        b->candidates[count++] = index;
    }
  return count;
}

/* Starts the half-open trial of an ejected target whose back-off has ended; returns that target, or
   SGR_BALANCER_TARGET_NONE if no trial is due. */
static sgr_balancer_target_t
trial_pick (sgr_balancer_t *b, uint64_t now_us, const sgr_balancer_target_t *exclude,
            size_t exclude_count, const sgr_region_limit_t *regions)
{
  for (size_t i = 0; i < b->target_count; i++)
    {
      uint32_t index = b->used_indexes[i];
      sgr_balancer_entry_t *entry = &b->entries[index];

      if (entry->health.is_ejected && effective_state (entry) == SGR_TARGET_SERVING
          && sgr_region_limit_allows (regions, entry->info.region)
          && !is_excluded (b, index, exclude, exclude_count)
          && sgr_balancer_outlier_trial_start (entry, now_us))
        return handle_of (b, index);
    }
  return SGR_BALANCER_TARGET_NONE;
}

sgr_balancer_target_t
sgr_balancer_pick (sgr_balancer_t *b, uint64_t now_us, const sgr_balancer_target_t *exclude,
                   size_t exclude_count)
{
  return sgr_balancer_pick_sized (b, now_us, exclude, exclude_count, 0);
}

sgr_balancer_target_t
sgr_balancer_pick_sized (sgr_balancer_t *b, uint64_t now_us, const sgr_balancer_target_t *exclude,
                         size_t exclude_count, uint64_t bytes)
{
  return sgr_balancer_pick_for_call (b, now_us, exclude, exclude_count,
                                     &(sgr_balancer_call_t){ .bytes = bytes });
}

sgr_balancer_target_t
sgr_balancer_pick_for_call (sgr_balancer_t *b, uint64_t now_us,
                            const sgr_balancer_target_t *exclude, size_t exclude_count,
                            const sgr_balancer_call_t *call)
{
  const sgr_region_limit_t *regions = &call->regions;
  bool is_baseline = b->options.policy != SGR_BALANCER_LOAD_LATENCY;
  sgr_balancer_target_t trial = SGR_BALANCER_TARGET_NONE;
  size_t count;

  reported_states_expire (b, now_us);
  if (!is_baseline)
    trial = trial_pick (b, now_us, exclude, exclude_count, regions);
  if (trial != SGR_BALANCER_TARGET_NONE)
    {
      sgr_balancer_event_record (b, SGR_BALANCER_PICKED);
      sgr_balancer_event_record (b, SGR_BALANCER_PICK_TRIAL);
      return trial;
    }
  count = candidates_collect (b, SGR_TARGET_SERVING, is_baseline, exclude, exclude_count, regions);
  if (count == 0 && !is_baseline)
    {
      count = candidates_collect (b, SGR_TARGET_SERVING, true, exclude, exclude_count, regions);
      if (count > 0)
        sgr_balancer_event_record (b, SGR_BALANCER_PICK_EJECTED_ONLY);
    }
  if (count == 0)
    count = candidates_collect (b, SGR_TARGET_WARMING, true, exclude, exclude_count, regions);
  if (count == 0)
    {
      sgr_balancer_event_record (b, SGR_BALANCER_PICK_NONE);
      return SGR_BALANCER_TARGET_NONE;
    }
  sgr_balancer_event_record (b, SGR_BALANCER_PICKED);
  if (is_baseline)
    return handle_of (b, sgr_balancer_baseline_choose (b, count));
  count = sgr_balancer_cold_filter (b, now_us, count);
  return handle_of (b, sgr_balancer_choose (b, now_us, count, exclude_count > 0, call));
}

bool
sgr_balancer_should_wait (const sgr_balancer_t *b, sgr_balancer_target_t target,
                          const sgr_balancer_target_t *exclude, size_t exclude_count,
                          uint64_t bytes)
{
  const sgr_balancer_entry_t *chosen = entry_find (b, target);

  if (chosen == NULL || chosen->info.is_far
      || (double)b->options.far_us_per_kib * (double)bytes / 1024 < SLOWDOWN_WAIT_US)
    return false;
  for (size_t i = 0; i < b->target_count; i++)
    {
      uint32_t index = b->used_indexes[i];
      const sgr_balancer_entry_t *entry = &b->entries[index];

      if (entry != chosen && !entry->info.is_far && effective_state (entry) == SGR_TARGET_SERVING
          && !entry->health.is_ejected && !is_excluded (b, index, exclude, exclude_count))
        return false;
    }
  return true;
}

void
sgr_balancer_attempt_start (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target)
{
  sgr_balancer_entry_t *entry = entry_find_or_record_stale (b, target);

  if (entry == NULL)
    return;
  entry->outstanding++;
  b->outstanding++;
  entry->start_times_sum_us += now_us;
  sgr_balancer_cold_attempt_start (b, entry, now_us);
  sgr_balancer_estimate_attempt_start (entry, now_us);
}

void
sgr_balancer_attempt_finish (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                             sgr_outcome_t outcome, uint64_t latency_us, bool is_error,
                             const sgr_load_report_t *report)
{
  sgr_balancer_entry_t *entry = entry_find_or_record_stale (b, target);

  if (entry == NULL)
    return;
  if (latency_us > now_us)
    latency_us = now_us;
  if (entry->outstanding > 0)
    {
      entry->outstanding--;
      b->outstanding--;
      entry->start_times_sum_us
          = entry->outstanding > 0 ? entry->start_times_sum_us - (now_us - latency_us) : 0;
    }
  if (is_error)
    sgr_balancer_event_record (b, SGR_BALANCER_ATTEMPT_ERROR);
  if (is_error && (double)latency_us < b->service_latency_us / 2)
    sgr_balancer_event_record (b, SGR_BALANCER_FAST_ERROR);
  if (is_error || outcome == SGR_OUTCOME_COMPLETE)
    sgr_balancer_outlier_result_record (b, entry, now_us, latency_us, is_error);
  if (report != NULL)
    sgr_balancer_estimate_report_apply (b, entry, now_us, report);
  sgr_balancer_estimate_admission_record (entry, now_us,
                                          outcome == SGR_OUTCOME_NOT_RUN && !is_error);
  if (outcome == SGR_OUTCOME_NOT_RUN && !is_error)
    {
      sgr_balancer_event_record (b, SGR_BALANCER_REFUSED);
      if (report == NULL)
        sgr_balancer_estimate_refusal_apply (entry, now_us);
    }
  if (outcome != SGR_OUTCOME_NOT_RUN)
    sgr_balancer_estimate_sample_add (b, entry, now_us, latency_us,
                                      outcome == SGR_OUTCOME_COMPLETE && !is_error, report);
}

void
sgr_balancer_report_update (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                            const sgr_load_report_t *report)
{
  sgr_balancer_entry_t *entry = entry_find_or_record_stale (b, target);

  if (entry != NULL)
    sgr_balancer_estimate_report_apply (b, entry, now_us, report);
}

bool
sgr_balancer_is_ejected (const sgr_balancer_t *b, sgr_balancer_target_t target)
{
  const sgr_balancer_entry_t *entry = entry_find (b, target);

  return entry != NULL && entry->health.is_ejected;
}

void
sgr_balancer_report_get (const sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                         sgr_load_report_t *report)
{
  const sgr_balancer_entry_t *entry = entry_find (b, target);

  *report = (sgr_load_report_t){ 0 };
  if (entry == NULL || !entry->estimate.has_report)
    return;
  report->in_flight = (uint32_t)entry->estimate.reported_load;
  report->slots = entry->info.slots;
  report->cost_percent = (uint32_t)(entry->estimate.reported_slowdown * 100);
  report->latency_us = (uint32_t)entry->estimate.reported_latency_us;
  report->age_us = now_us - entry->estimate.report_made_us;
  report->state = entry->reported_state;
}

bool
sgr_balancer_is_slowed (const sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target)
{
  const sgr_balancer_entry_t *entry = entry_find (b, target);

  return entry != NULL && entry->estimate.reported_slowdown >= SLOWED_THRESHOLD
         && now_us < entry->estimate.report_made_us + SLOWED_MAX_AGE_US;
}

uint32_t
sgr_balancer_outstanding (const sgr_balancer_t *b, sgr_balancer_target_t target)
{
  const sgr_balancer_entry_t *entry = entry_find (b, target);

  return entry != NULL ? entry->outstanding : 0;
}

uint64_t
sgr_balancer_event_count (const sgr_balancer_t *b, sgr_balancer_event_t event)
{
  return (unsigned)event < SGR_BALANCER_EVENT_COUNT ? b->counts[event] : 0;
}
