#include "balancer_internal.h"

#include <math.h>
#include <string.h>

/* A hot target is chosen over one with a free slot only if its cost times this factor is lower. */
#define HOT_COST_FACTOR 2.0
/* A call counts as on time at a target if this multiple of the expected time is left: the time
   varies, and so does the estimate. */
#define ON_TIME_MARGIN 2.0
/* Each cost is increased by a random share of it, at most this one, so that nodes with the same
   reports do not all choose the same target. */
#define COST_JITTER_SHARE_MAX 0.05

/* Counts the choice if a candidate in another failure domain has a shorter round-trip time. */
static void
far_pick_record (sgr_balancer_t *b, size_t count, uint32_t chosen)
{
  const sgr_balancer_target_info_t *info = &b->entries[chosen].info;

  for (size_t i = 0; i < count; i++)
    {
      const sgr_balancer_target_info_t *other = &b->entries[b->candidates[i]].info;

      if (other->link_rtt_us < info->link_rtt_us
          && strcmp (other->failure_domain, info->failure_domain) != 0)
        {
          sgr_balancer_event_record (b, SGR_BALANCER_PICK_FAR);
          return;
        }
    }
}

/* A call goes to another target than those that it prefers only if its cost times this factor is
   lower. */
#define AFFINITY_COST_FACTOR 3.0
/* Number of distances: own failure domain, own region, other regions. */
#define DISTANCE_COUNT 3

/**
 * struct best_t - the best candidate of one distance, with a free slot (index 0) or hot (index 1)
 * @cost_us: its cost, with the charge for its distance; INFINITY if there is no candidate
 * @time_us: its expected time
 * @index: its index
 * @is_in_slow_start: whether it is in slow start
 */
typedef struct
{
  double cost_us[2];
  double time_us[2];
  uint32_t index[2];
  bool is_in_slow_start[2];
} best_t;

static size_t
distance_of (const sgr_balancer_target_info_t *info)
{
  return info->is_remote ? 2 : info->is_far ? 1 : 0;
}

static double
distance_charge_us (const sgr_balancer_t *b, size_t distance, uint64_t bytes)
{
  uint32_t us_per_kib = distance == 0   ? 0
                        : distance == 1 ? b->options.far_us_per_kib
                                        : b->options.remote_us_per_kib;

  return us_per_kib * (double)bytes / 1024;
}

static void
best_init (best_t *best)
{
  *best = (best_t){ .cost_us = { INFINITY, INFINITY }, .time_us = { INFINITY, INFINITY } };
}

/* Scores the sampled candidates and keeps the best ones of each distance. */
static void
candidates_score (sgr_balancer_t *b, uint64_t now_us, size_t count, size_t preferred,
                  bool is_later_attempt, uint64_t bytes, best_t *best)
{
  for (size_t i = 0; i < DISTANCE_COUNT; i++)
    best_init (&best[i]);
  for (size_t i = 0; i < count; i++)
    {
      uint32_t index = b->candidates[i];
      const sgr_balancer_entry_t *entry = &b->entries[index];
      sgr_balancer_score_t score = sgr_balancer_score (b, entry, now_us, is_later_attempt);
      size_t distance = distance_of (&entry->info);
      double cost_us = score.cost_us * (1 + COST_JITTER_SHARE_MAX * sgr_rng_uniform (&b->rng))
                       + distance_charge_us (b, distance, bytes);

      if (distance == 0 && i >= preferred)
        cost_us *= AFFINITY_COST_FACTOR;
      if (cost_us >= best[distance].cost_us[score.is_hot])
        continue;
      best[distance].cost_us[score.is_hot] = cost_us;
      best[distance].time_us[score.is_hot] = score.cost_us;
      best[distance].index[score.is_hot] = index;
      best[distance].is_in_slow_start[score.is_hot] = score.is_in_slow_start;
    }
}

/* Adds the best candidates of a farther distance to those of nearer ones. */
static void
best_merge (best_t *best, const best_t *farther)
{
  for (int hot = 0; hot < 2; hot++)
    {
      if (farther->cost_us[hot] >= best->cost_us[hot])
        continue;
      best->cost_us[hot] = farther->cost_us[hot];
      best->time_us[hot] = farther->time_us[hot];
      best->index[hot] = farther->index[hot];
      best->is_in_slow_start[hot] = farther->is_in_slow_start[hot];
    }
}

static bool
is_hot_better (const best_t *best)
{
  return best->cost_us[true] * HOT_COST_FACTOR < best->cost_us[false];
}

/* Whether a call can be answered on time without going farther than these candidates. */
static bool
is_on_time (const sgr_balancer_t *b, const best_t *best, const sgr_balancer_call_t *call)
{
  return b->options.is_spill_late_only && call->on_time_left_us > 0
         && best->time_us[is_hot_better (best)] * ON_TIME_MARGIN < (double)call->on_time_left_us;
}

uint32_t
sgr_balancer_choose (sgr_balancer_t *b, uint64_t now_us, size_t count, bool is_later_attempt,
                     const sgr_balancer_call_t *call)
{
  size_t preferred;
  size_t sample_count = sgr_balancer_sample_draw (b, count, call, &preferred);
  best_t by_distance[DISTANCE_COUNT];
  best_t best;
  bool is_hot_chosen;

  candidates_score (b, now_us, sample_count, preferred, is_later_attempt, call->bytes, by_distance);
  best = by_distance[0];
  for (size_t i = 1; i < DISTANCE_COUNT && !is_on_time (b, &best, call); i++)
    best_merge (&best, &by_distance[i]);
  is_hot_chosen = is_hot_better (&best);
  if (best.cost_us[false] == INFINITY)
    sgr_balancer_event_record (b, SGR_BALANCER_PICK_ALL_HOT);
  else if (best.cost_us[true] < best.cost_us[false] && !is_hot_chosen)
    sgr_balancer_event_record (b, best.is_in_slow_start[true] ? SGR_BALANCER_PICK_SLOW_START
                                                              : SGR_BALANCER_PICK_HOT_AVOIDED);
  far_pick_record (b, count, best.index[is_hot_chosen]);
  return best.index[is_hot_chosen];
}
