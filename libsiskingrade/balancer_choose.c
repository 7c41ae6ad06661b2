#include "balancer_internal.h"

#include <math.h>
#include <string.h>

/* A hot target is chosen over one with a free slot only if its cost times this factor is lower. */
#define HOT_COST_FACTOR 2.0
/* A call counts as on time at a target if this multiple of the expected time is left: the time
   varies, and so does the estimate. */
#define ON_TIME_MARGIN 2.0
/* A call goes to another target than those that it prefers only if its cost times this factor is
   lower. */
#define AFFINITY_COST_FACTOR 3.0
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

/**
 * struct best_t - the best candidate so far, with a free slot (index 0) or hot (index 1)
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

/* Scores the candidates of a sample, which begins at @start with the @preferred ones, and keeps the
   best. */
static void
sample_score (sgr_balancer_t *b, uint64_t now_us, size_t start, size_t sample_count,
              size_t preferred, bool is_later_attempt, double charge_us, best_t *best)
{
  for (size_t i = start; i < start + sample_count; i++)
    {
      uint32_t index = b->candidates[i];
      const sgr_balancer_entry_t *entry = &b->entries[index];
      sgr_balancer_score_t score = sgr_balancer_score (b, entry, now_us, is_later_attempt);
      double cost_us
          = score.cost_us * (1 + COST_JITTER_SHARE_MAX * sgr_rng_uniform (&b->rng)) + charge_us;

      if (i - start >= preferred)
        cost_us *= AFFINITY_COST_FACTOR;
      if (cost_us >= best->cost_us[score.is_hot])
        continue;
      best->cost_us[score.is_hot] = cost_us;
      best->time_us[score.is_hot] = score.cost_us;
      best->index[score.is_hot] = index;
      best->is_in_slow_start[score.is_hot] = score.is_in_slow_start;
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
  best_t best;
  bool is_hot_chosen;
  size_t start = 0;

  best_init (&best);
  for (size_t distance = 0; distance < SGR_BALANCER_DISTANCES && start < count; distance++)
    {
      size_t group_size;
      size_t sample_count, preferred;

      if (is_on_time (b, &best, call))
        break;
      sample_count
          = sgr_balancer_sample_draw (b, start, count, distance, call, &group_size, &preferred);
      sample_score (b, now_us, start, sample_count, preferred, is_later_attempt,
                    distance_charge_us (b, distance, call->bytes), &best);
      start += group_size;
    }
  is_hot_chosen = is_hot_better (&best);
  if (best.cost_us[false] == INFINITY)
    sgr_balancer_event_record (b, SGR_BALANCER_PICK_ALL_HOT);
  else if (best.cost_us[true] < best.cost_us[false] && !is_hot_chosen)
    sgr_balancer_event_record (b, best.is_in_slow_start[true] ? SGR_BALANCER_PICK_SLOW_START
                                                              : SGR_BALANCER_PICK_HOT_AVOIDED);
  far_pick_record (b, count, best.index[is_hot_chosen]);
  return best.index[is_hot_chosen];
}
