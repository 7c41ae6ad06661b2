#include "balancer_internal.h"

#include <math.h>
#include <string.h>

/* A hot target is chosen over one with a free slot only if its cost times this factor is lower. */
#define HOT_COST_FACTOR 2.0
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

uint32_t
sgr_balancer_choose (sgr_balancer_t *b, uint64_t now_us, size_t count, bool is_later_attempt,
                     uint64_t bytes)
{
  double kib = (double)bytes / 1024;
  size_t sample_count = sgr_balancer_sample_draw (b, count);
  /* Index 0: the best target with a free slot, index 1: the best hot target. */
  double best_cost[2] = { INFINITY, INFINITY };
  uint32_t best[2] = { 0, 0 };
  bool is_in_slow_start[2] = { false, false };
  bool is_hot_chosen;

  for (size_t i = 0; i < sample_count; i++)
    {
      uint32_t index = b->candidates[i];
      sgr_balancer_score_t score
          = sgr_balancer_score (b, &b->entries[index], now_us, is_later_attempt);
      double cost = score.cost_us * (1 + COST_JITTER_SHARE_MAX * sgr_rng_uniform (&b->rng));

      if (b->entries[index].info.is_remote)
        cost += b->options.remote_us_per_kib * kib;
      else if (b->entries[index].info.is_far)
        cost += b->options.far_us_per_kib * kib;
      if (cost < best_cost[score.is_hot])
        {
          best_cost[score.is_hot] = cost;
          best[score.is_hot] = index;
          is_in_slow_start[score.is_hot] = score.is_in_slow_start;
        }
    }
  is_hot_chosen = best_cost[true] * HOT_COST_FACTOR < best_cost[false];
  if (best_cost[false] == INFINITY)
    sgr_balancer_event_record (b, SGR_BALANCER_PICK_ALL_HOT);
  else if (best_cost[true] < best_cost[false] && !is_hot_chosen)
    sgr_balancer_event_record (b, is_in_slow_start[true] ? SGR_BALANCER_PICK_SLOW_START
                                                         : SGR_BALANCER_PICK_HOT_AVOIDED);
  far_pick_record (b, count, best[is_hot_chosen]);
  return best[is_hot_chosen];
}
