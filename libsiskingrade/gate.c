#include "gate.h"

#include <stdlib.h>

#include "gate_internal.h"

/* A queued attempt is refused as late when the time left until its on_time_us is below this
   percentage of the usual latency of its class. The margin above 100 % covers the variation of
   latencies and the transfer of the answer to the entry. */
#define LATE_BELOW_USUAL_LATENCY_PERCENT 175
/* A request counts as unslowed if, when it got its slot, the target's cost was unknown or below
   this percentage. Only latencies of unslowed requests enter the statistics of the classes. */
#define UNSLOWED_COST_PERCENT 120

void
sgr_gate_options_init (sgr_gate_options_t *options, sgr_boot_id_t boot)
{
  *options = (sgr_gate_options_t){
    .boot = boot,
    .slots_max = 240,
    .attempts_max = 65536,
    .keys_max = 65536,
    .entry_boots_max = 8192,
    .answer_bytes_max = 32U << 20,
    .answer_length_max = 64U << 10,
    .attempt_retention_us = 120 * SGR_USEC_PER_SEC,
    .key_retention_us = 300 * SGR_USEC_PER_SEC,
    .key_generation_us = 20 * SGR_USEC_PER_SEC,
    .newest_first = true,
    .limits_model = SGR_LIMITS_TWO_LEVEL,
  };
}

sgr_gate_t *
sgr_gate_create (const sgr_gate_options_t *options, const sgr_policy_t *policy,
                 const sgr_gate_callbacks_t *callbacks, void *ctx)
{
  sgr_gate_t *gate;

  if (options->slots_max == 0 || options->keys_max == 0 || options->entry_boots_max == 0
      || options->attempts_max <= options->slots_max + SGR_GATE_QUEUE_CAPACITY
      || options->key_generation_us == 0
      || options->key_retention_us < 2 * options->key_generation_us
      || options->answer_length_max > options->answer_bytes_max)
    return NULL;
  gate = calloc (1, sizeof *gate);
  sgr_invariant (gate != NULL);
  gate->options = *options;
  gate->callbacks = *callbacks;
  gate->ctx = ctx;
  gate->limits = sgr_gate_limits_create (options->limits_model, policy);
  gate->queue = sgr_gate_queue_create (SGR_GATE_QUEUE_CAPACITY, options->newest_first);
  gate->ledger = sgr_ledger_create (options);
  gate->classes = sgr_gate_classes_create ();
  gate->cold = sgr_gate_cold_create (options->start_us);
  sgr_gate_cold_limit_set (gate->cold, options->start_us, policy->cold_calls_per_s);
  sgr_gate_queue_max_set (gate, policy);
  gate->slots_percent = policy->slots_percent;
  gate->work_item_count = options->slots_max + SGR_GATE_QUEUE_CAPACITY;
  gate->work_items = calloc (gate->work_item_count, sizeof *gate->work_items);
  gate->free_work_indexes = calloc (gate->work_item_count, sizeof *gate->free_work_indexes);
  sgr_invariant (gate->work_items != NULL && gate->free_work_indexes != NULL);
  for (uint32_t i = gate->work_item_count; i > 0; i--)
    gate->free_work_indexes[gate->free_work_count++] = i - 1;
  return gate;
}

void
sgr_gate_destroy (sgr_gate_t *gate)
{
  if (gate == NULL)
    return;
  sgr_gate_limits_destroy (gate->limits);
  sgr_gate_queue_destroy (gate->queue);
  sgr_ledger_destroy (gate->ledger);
  sgr_gate_classes_destroy (gate->classes);
  sgr_gate_cold_destroy (gate->cold);
  free (gate->work_items);
  free (gate->free_work_indexes);
  free (gate);
}

uint64_t
sgr_gate_expected_latency_us (const sgr_gate_t *gate, uint64_t now_us)
{
  /* Without a request in flight, the latency is reported as unknown: it may be outdated, no new
     sample would correct it, and it must not cause refusals. */
  if (sgr_gate_limits_slots_used (gate->limits) == 0)
    return 0;
  /* The estimate is the tenth percentile if an overloaded queue serves its newest item first,
     otherwise the median. Short and long requests may share a target, and their common median would
     refuse short requests that can finish in time. A queue that always serves its oldest item first
     needs the median: when that queue is long, the tenth percentile would start mostly requests
     that end too late, and the queue would not recover. */
  return sgr_gate_latency_estimate (&gate->latency, now_us, gate->options.newest_first);
}

/* The lower 32 bits of a handle are the index of the work item plus 1, the upper 32 bits its
   serial. */
static sgr_gate_handle_t
work_handle (const sgr_gate_t *gate, const sgr_gate_work_t *work)
{
  return (uint64_t)work->serial << 32 | (uint64_t)(work - gate->work_items + 1);
}

sgr_gate_work_t *
sgr_gate_work_find (const sgr_gate_t *gate, sgr_gate_handle_t handle)
{
  uint32_t position = (uint32_t)handle;
  sgr_gate_work_t *work;

  if (position == 0 || position > gate->work_item_count)
    return NULL;
  work = &gate->work_items[position - 1];
  return work->phase != SGR_GATE_WORK_FREE && work->serial == handle >> 32 ? work : NULL;
}

/* Returns the latest start time at which the answer of an attempt is expected to be on time. */
static uint64_t
latest_start_us (const sgr_gate_t *gate, const sgr_attempt_t *attempt, uint32_t class_stats_index)
{
  uint64_t usual_us = sgr_gate_classes_usual_us (gate->classes, class_stats_index);
  uint64_t needed_us = usual_us * LATE_BELOW_USUAL_LATENCY_PERCENT / 100;

  if (attempt->on_time_us == 0)
    return SGR_TIMER_NEVER;
  return attempt->on_time_us > needed_us ? attempt->on_time_us - needed_us : 0;
}

static sgr_gate_work_t *
work_add (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
          sgr_ledger_attempt_t *record)
{
  sgr_gate_work_t *work;

  sgr_invariant (gate->free_work_count > 0);
  work = &gate->work_items[gate->free_work_indexes[--gate->free_work_count]];
  *work
      = (sgr_gate_work_t){ .serial = ++gate->last_serial, .record = record, .user = attempt->user };
  work->queue_item.tenant = sgr_gate_limits_tenant_ref (gate->limits, attempt->tenant);
  work->queue_item.class_index = sgr_gate_limits_class_ref (gate->limits, attempt->class_name);
  work->queue_item.deadline_us = attempt->deadline_us;
  work->queue_item.owner = work;
  work->class_stats_index = sgr_gate_classes_find_or_add (gate->classes, attempt->class_name);
  work->queue_item.priority = attempt->priority;
  work->queue_item.start_by_us = latest_start_us (gate, attempt, work->class_stats_index);
  work->request_bytes = attempt->request_bytes;
  sgr_gate_fair_work_set (gate, now_us, work);
  record->work = work_handle (gate, work);
  return work;
}

static void
work_free (sgr_gate_t *gate, sgr_gate_work_t *work)
{
  gate->held_us[work->queue_item.tenant] -= work->queue_item.work_us;
  sgr_gate_limits_tenant_unref (gate->limits, work->queue_item.tenant);
  sgr_gate_limits_class_unref (gate->limits, work->queue_item.class_index);
  work->phase = SGR_GATE_WORK_FREE;
  gate->free_work_indexes[gate->free_work_count++] = (uint32_t)(work - gate->work_items);
}

static bool
is_target_nearly_full (const sgr_gate_t *gate)
{
  return sgr_gate_limits_slots_used (gate->limits) * 100
         > gate->target_slots * SGR_GATE_NEARLY_FULL_PERCENT;
}

static void
work_slot_take (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work)
{
  sgr_gate_limits_slot_acquire (gate->limits, work->queue_item.tenant,
                                work->queue_item.class_index);
  work->phase = SGR_GATE_WORK_RUNNING;
  work->slot_taken_us = now_us;
  gate->running_us += work->queue_item.duration_us;
  gate->running_work_us += work->queue_item.work_us;
  work->was_unslowed = gate->cost_percent == 0 || gate->cost_percent < UNSLOWED_COST_PERCENT;
  work->was_nearly_full = is_target_nearly_full (gate);
  sgr_gate_start_reserve (gate, now_us, work);
}

/* Settles an attempt that was removed from the queue, without calling the callback refuse.
   work_drop_notify() calls it afterwards: the callback may call gate functions, and these must find
   the attempt settled. */
static void
work_drop_settle (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                  sgr_gate_reason_t reason)
{
  work->phase = SGR_GATE_WORK_DROPPED;
  work->drop_reason = reason;
  gate->refused[reason]++;
  sgr_ledger_attempt_settle (gate->ledger, now_us, work->record, SGR_OUTCOME_NOT_RUN, reason, NULL,
                             0);
}

static void
work_drop_notify (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work)
{
  gate->callbacks.refuse (gate->ctx, work_handle (gate, work), work->drop_reason, now_us);
  work_free (gate, work);
}

void
sgr_gate_work_drop (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                    sgr_gate_reason_t reason)
{
  sgr_gate_queue_remove (gate->queue, &work->queue_item);
  work_drop_settle (gate, now_us, work, reason);
  work_drop_notify (gate, now_us, work);
}

/* Refuses queued attempts whose answers can no longer be on time. The entry thus learns this at
   once, and other attempts get the slots. Returns the time at which the next queued attempt becomes
   late, SGR_TIMER_NEVER if none will. */
static uint64_t
queue_drop_late (sgr_gate_t *gate, uint64_t now_us)
{
  sgr_gate_queue_item_t *item;
  uint64_t next_us;

  while ((item = sgr_gate_queue_late_find (gate->queue, now_us, &next_us)) != NULL)
    {
      sgr_gate_queue_wait_record (gate->queue, item, now_us);
      sgr_gate_work_drop (gate, now_us, item->owner,
                          sgr_gate_fair_reason (gate, item, SGR_GATE_REASON_LATE));
    }
  return next_us;
}

/* Refuses queued attempts that cannot finish before their deadline. Returns when the next attempt
   expires by the current latency estimate, SGR_TIMER_NEVER if the queue is empty. */
static uint64_t
queue_expire (sgr_gate_t *gate, uint64_t now_us)
{
  uint64_t next_us;
  sgr_gate_queue_item_t *expired = sgr_gate_queue_expire (
      gate->queue, now_us, sgr_gate_expected_latency_us (gate, now_us), &next_us);

  for (const sgr_gate_queue_item_t *item = expired; item != NULL; item = item->older)
    work_drop_settle (gate, now_us, item->owner, SGR_GATE_REASON_DEADLINE);
  while (expired != NULL)
    {
      sgr_gate_work_t *work = expired->owner;

      expired = expired->older;
      work_drop_notify (gate, now_us, work);
    }
  return next_us;
}

bool
sgr_gate_is_serving (const sgr_gate_t *gate)
{
  return !gate->draining
         && (gate->target_state == SGR_TARGET_WARMING || gate->target_state == SGR_TARGET_SERVING);
}

void
sgr_gate_dispatch (sgr_gate_t *gate, uint64_t now_us)
{
  sgr_gate_queue_item_t *item;

  if (gate->dispatching)
    return;
  gate->dispatching = true;
  queue_expire (gate, now_us);
  queue_drop_late (gate, now_us);
  while (sgr_gate_is_serving (gate) && !sgr_gate_is_slowed (gate, now_us)
         && sgr_gate_has_start (gate, now_us)
         && (item = sgr_gate_queue_pop (gate->queue, now_us, gate->limits,
                                        sgr_gate_expected_latency_us (gate, now_us)))
                != NULL)
    {
      sgr_gate_work_t *work = item->owner;

      work_slot_take (gate, now_us, work);
      gate->callbacks.start (gate->ctx, work_handle (gate, work), now_us);
    }
  gate->dispatching = false;
}

static void
decision_set_refused (sgr_gate_t *gate, uint64_t now_us, sgr_gate_reason_t reason,
                      sgr_outcome_t outcome, sgr_gate_decision_t *decision)
{
  gate->refused[reason]++;
  decision->kind = SGR_GATE_REFUSED;
  decision->reason = reason;
  decision->outcome = outcome;
  switch (reason)
    {
    case SGR_GATE_REASON_QUEUE_FULL:
    case SGR_GATE_REASON_DEADLINE:
    case SGR_GATE_REASON_LATE:
    case SGR_GATE_REASON_TENANT_LIMIT:
    case SGR_GATE_REASON_CLASS_LIMIT:
    case SGR_GATE_REASON_COLD:
    case SGR_GATE_REASON_SHARE:
      decision->retry_after_ms = sgr_gate_retry_after_ms (gate, now_us);
      break;
    case SGR_GATE_REASON_LEDGER_FULL:
      decision->retry_after_ms = SGR_GATE_RETRY_AFTER_MAX_MS;
      break;
    default:
      break;
    }
}

/* Decides on an attempt whose id is already in the ledger. */
static void
decision_set_from_record (sgr_gate_t *gate, uint64_t now_us, const sgr_ledger_attempt_t *record,
                          sgr_gate_decision_t *decision)
{
  if (record->phase == SGR_LEDGER_SETTLED && record->outcome == SGR_OUTCOME_NOT_RUN)
    {
      decision_set_refused (gate, now_us, SGR_GATE_REASON_TOMBSTONE, SGR_OUTCOME_NOT_RUN, decision);
      return;
    }
  decision->kind = SGR_GATE_DUPLICATE;
  sgr_gate_status_fill (gate, record, &decision->status);
}

/* Refuses an attempt and settles its ledger record, so that later duplicates of it are recognised.
 */
static void
recorded_attempt_refuse (sgr_gate_t *gate, uint64_t now_us, sgr_ledger_attempt_t *record,
                         sgr_gate_reason_t reason, sgr_outcome_t outcome,
                         sgr_gate_decision_t *decision)
{
  sgr_ledger_attempt_settle (gate->ledger, now_us, record, outcome, reason, NULL, 0);
  decision_set_refused (gate, now_us, reason, outcome, decision);
}

/* Decides on an attempt by its idempotency key. Returns false without a decision if the key is
   certain to be unused; the attempt may then be admitted. */
static bool
decision_set_by_key (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
                     sgr_ledger_attempt_t *record, sgr_gate_decision_t *decision)
{
  sgr_ledger_key_t *key = sgr_ledger_key_find (gate->ledger, attempt->key);

  if (key == NULL)
    {
      switch (sgr_ledger_key_check (gate->ledger, now_us, attempt->key_generation))
        {
        case SGR_OK:
          return false;
        case SGR_ERR_INVALID:
          recorded_attempt_refuse (gate, now_us, record, SGR_GATE_REASON_KEY_INVALID,
                                   SGR_OUTCOME_NOT_RUN, decision);
          return true;
        default:
          recorded_attempt_refuse (gate, now_us, record, SGR_GATE_REASON_FORGOTTEN,
                                   SGR_OUTCOME_UNKNOWN, decision);
          return true;
        }
    }
  if (!sgr_hash128_equal (key->fingerprint, attempt->fingerprint))
    {
      sgr_ledger_attempt_settle (gate->ledger, now_us, record, SGR_OUTCOME_NOT_RUN,
                                 SGR_GATE_REASON_NONE, NULL, 0);
      decision->kind = SGR_GATE_CONFLICT;
      decision->outcome = SGR_OUTCOME_NOT_RUN;
      return true;
    }
  if (sgr_ledger_key_join (gate->ledger, now_us, record, key) != SGR_OK)
    {
      /* The outcome is UNKNOWN, not NOT_RUN, because the first attempt with the key may run. */
      recorded_attempt_refuse (gate, now_us, record, SGR_GATE_REASON_LEDGER_FULL,
                               SGR_OUTCOME_UNKNOWN, decision);
      return true;
    }
  decision->kind = SGR_GATE_DUPLICATE;
  sgr_gate_status_fill (gate, record, &decision->status);
  return true;
}

/* Returns the reason to refuse an attempt because of the target's state, the deadline or a
   slowdown, SGR_GATE_REASON_NONE if there is none. */
static sgr_gate_reason_t
refusal_reason_by_state (const sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt)
{
  uint64_t deadline_us = attempt->deadline_us;

  if (gate->draining || gate->target_state == SGR_TARGET_DRAINING
      || gate->target_state == SGR_TARGET_LEFT)
    return SGR_GATE_REASON_DRAINING;
  if (gate->target_state == SGR_TARGET_NONE || sgr_gate_limits_slots (gate->limits) == 0)
    return SGR_GATE_REASON_NOT_READY;
  if (deadline_us <= now_us || deadline_us < now_us + sgr_gate_expected_latency_us (gate, now_us))
    return SGR_GATE_REASON_DEADLINE;
  if (attempt->is_over_quota)
    return SGR_GATE_REASON_QUOTA;
  if (!attempt->may_wait && sgr_gate_is_slowed (gate, now_us))
    return SGR_GATE_REASON_SLOW;
  return SGR_GATE_REASON_NONE;
}

/* Returns whether an attempt can start without being queued. While sgr_gate_dispatch() runs, no
   attempt can, because a free slot may be due to an older attempt in the queue. */
static bool
can_start (const sgr_gate_t *gate, uint64_t now_us, const sgr_gate_work_t *work)
{
  return !gate->dispatching && !sgr_gate_is_slowed (gate, now_us)
         && sgr_gate_has_start (gate, now_us)
         && sgr_gate_limits_check (gate->limits, work->queue_item.tenant,
                                   work->queue_item.class_index)
                == SGR_LIMITS_ALLOWED;
}

static void
work_admit (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
            sgr_ledger_attempt_t *record, sgr_gate_decision_t *decision)
{
  sgr_gate_work_t *work = work_add (gate, now_us, attempt, record);
  sgr_gate_reason_t reason = SGR_GATE_REASON_NONE;
  bool start = can_start (gate, now_us, work);
  uint64_t late_us = 0;

  if (attempt->has_key
      && sgr_ledger_key_add (gate->ledger, now_us, record, attempt->key, attempt->key_generation,
                             attempt->fingerprint)
             != SGR_OK)
    reason = SGR_GATE_REASON_LEDGER_FULL;
  else if (!start)
    {
      reason = sgr_gate_refusal_by_queue (gate, now_us, &work->queue_item);
      /* sgr_gate_refusal_by_queue() may have refused another attempt, and the callback for it may
         have released a slot. */
      start = reason == SGR_GATE_REASON_NONE && can_start (gate, now_us, work);
    }
  if (reason != SGR_GATE_REASON_NONE)
    {
      if (reason == SGR_GATE_REASON_LATE || reason == SGR_GATE_REASON_SHARE)
        late_us = sgr_gate_fair_late_us (gate, now_us, &work->queue_item);
      work_free (gate, work);
      recorded_attempt_refuse (gate, now_us, record, reason, SGR_OUTCOME_NOT_RUN, decision);
      /* The work that waits now is done to that extent by then. */
      if (late_us > 0)
        decision->retry_after_ms = sgr_gate_retry_ms_of (late_us);
      return;
    }
  decision->handle = record->work;
  if (start)
    {
      decision->kind = SGR_GATE_START;
      work_slot_take (gate, now_us, work);
      return;
    }
  decision->kind = SGR_GATE_QUEUED;
  work->phase = SGR_GATE_WORK_QUEUED;
  work->queue_item.expected_wait_us = sgr_gate_fair_wait_us (gate, &work->queue_item);
  sgr_gate_queue_push (gate->queue, now_us, &work->queue_item);
}

void
sgr_gate_attempt_admit (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
                        sgr_gate_decision_t *decision)
{
  sgr_ledger_attempt_t *record;
  sgr_gate_reason_t reason;
  sgr_result_t result;

  *decision = (sgr_gate_decision_t){ .outcome = SGR_OUTCOME_NOT_RUN };
  if (attempt->gate_boot != gate->options.boot)
    {
      decision_set_refused (gate, now_us, SGR_GATE_REASON_WRONG_BOOT, SGR_OUTCOME_UNKNOWN,
                            decision);
      return;
    }
  record = sgr_ledger_attempt_find (gate->ledger, &attempt->id);
  if (record != NULL)
    {
      decision_set_from_record (gate, now_us, record, decision);
      return;
    }
  queue_expire (gate, now_us);
  result = sgr_ledger_attempt_add (gate->ledger, now_us, &attempt->id, &record);
  if (result != SGR_OK)
    {
      /* The outcome is UNKNOWN, not NOT_RUN: the attempt is not recorded, so a later duplicate of
         it may be admitted. */
      decision_set_refused (gate, now_us,
                            result == SGR_ERR_NOT_FOUND ? SGR_GATE_REASON_FORGOTTEN
                                                        : SGR_GATE_REASON_LEDGER_FULL,
                            SGR_OUTCOME_UNKNOWN, decision);
      return;
    }
  record->idempotent = attempt->idempotent;
  if (attempt->has_key && decision_set_by_key (gate, now_us, attempt, record, decision))
    return;
  reason = refusal_reason_by_state (gate, now_us, attempt);
  if (reason != SGR_GATE_REASON_NONE)
    {
      recorded_attempt_refuse (gate, now_us, record, reason, SGR_OUTCOME_NOT_RUN, decision);
      if (reason == SGR_GATE_REASON_QUOTA)
        decision->retry_after_ms = attempt->quota_retry_ms;
    }
  else
    work_admit (gate, now_us, attempt, record, decision);
}

bool
sgr_gate_attempt_mark_started (sgr_gate_t *gate, sgr_gate_handle_t handle)
{
  sgr_gate_work_t *work = sgr_gate_work_find (gate, handle);

  if (work == NULL || work->phase != SGR_GATE_WORK_RUNNING || work->cancelled)
    return false;
  work->started = true;
  return true;
}

/* Records the latency of an answered request. Updates the usable slots if the latencies show that
   the target now slows down when it is nearly full, or no longer does. */
static void
work_sample_record (sgr_gate_t *gate, uint64_t now_us, const sgr_gate_work_t *work,
                    uint64_t latency_us)
{
  sgr_gate_sample_t sample
      = { .latency_us = latency_us,
          .is_unslowed = work->was_unslowed,
          .is_nearly_full_throughout = work->was_nearly_full && is_target_nearly_full (gate) };

  sgr_gate_latency_record (&gate->latency, now_us, latency_us);
  if (sgr_gate_classes_record (gate->classes, now_us, work->class_stats_index, &sample))
    sgr_gate_slots_apply (gate, now_us);
}

sgr_outcome_t
sgr_gate_attempt_finish (sgr_gate_t *gate, sgr_gate_handle_t handle, uint64_t now_us,
                         const sgr_gate_finish_t *finish)
{
  sgr_gate_work_t *work = sgr_gate_work_find (gate, handle);
  sgr_outcome_t outcome = finish->outcome;
  uint64_t service_us;

  if (work == NULL || work->phase != SGR_GATE_WORK_RUNNING)
    return SGR_OUTCOME_UNKNOWN;
  if (work->cancelled)
    outcome = SGR_OUTCOME_NOT_RUN;
  else if (outcome == SGR_OUTCOME_NOT_RUN && work->started && !finish->declared_not_run)
    outcome = SGR_OUTCOME_UNKNOWN;
  service_us = finish->latency_us > 0 ? finish->latency_us : now_us - work->slot_taken_us;
  gate->running_us -= work->queue_item.duration_us;
  gate->running_work_us -= work->queue_item.work_us;
  if (gate->is_fair)
    {
      service_us += sgr_gate_link_work_us (gate, work->request_bytes + finish->answer_bytes);
      if (outcome == SGR_OUTCOME_COMPLETE)
        sgr_gate_classes_answer_record (gate->classes, work->class_stats_index,
                                        finish->answer_bytes);
    }
  if (outcome == SGR_OUTCOME_COMPLETE && finish->latency_us > 0)
    work_sample_record (gate, now_us, work, finish->latency_us);
  sgr_gate_start_settle (gate, now_us, work, outcome);
  sgr_gate_queue_charge_correct (gate->queue, &work->queue_item, service_us);
  sgr_ledger_attempt_settle (gate->ledger, now_us, work->record, outcome, SGR_GATE_REASON_NONE,
                             outcome == SGR_OUTCOME_COMPLETE ? finish->answer : NULL,
                             finish->answer_length);
  sgr_gate_limits_slot_release (gate->limits, work->queue_item.tenant,
                                work->queue_item.class_index);
  work_free (gate, work);
  sgr_gate_dispatch (gate, now_us);
  return outcome;
}

uint64_t
sgr_gate_tick (sgr_gate_t *gate, uint64_t now_us)
{
  uint64_t ledger_us = sgr_ledger_tick (gate->ledger, now_us);
  uint64_t queue_us, late_us, cold_us;

  sgr_gate_slots_apply (gate, now_us);
  sgr_gate_dispatch (gate, now_us);
  cold_us = sgr_gate_cold_tick (gate, now_us);
  sgr_gate_fair_tick (gate, now_us);
  queue_us = queue_expire (gate, now_us);
  late_us = queue_drop_late (gate, now_us);
  /* An attempt is late as soon as its latest start time has passed. */
  if (late_us < queue_us)
    queue_us = late_us + 1;
  if (sgr_gate_queue_count (gate->queue) > 0 && sgr_gate_is_slowed (gate, now_us)
      && sgr_gate_cost_expiry_us (gate) < queue_us)
    queue_us = sgr_gate_cost_expiry_us (gate);
  if (cold_us < queue_us)
    queue_us = cold_us;
  return ledger_us < queue_us ? ledger_us : queue_us;
}
