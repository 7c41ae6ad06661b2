#include "balancer_internal.h"

#include <math.h>
#include <string.h>

/* Targets that are compared in one choice; fewer than all, so that nodes with equal reports do not
   all choose the same target. */
#define COMPARED_MAX 6
/* A hot target is chosen over one with a free slot only if that costs this many times as much. */
#define HOT_PENALTY 2.0
/* Random part of a cost, against equal choices by many nodes. */
#define COST_JITTER 0.05

/* Draws the places to compare to the front of the candidates; returns how many. */
static size_t
draw (sgr_balancer_t *b, size_t count)
{
  size_t drawn = count < COMPARED_MAX ? count : COMPARED_MAX;

  for (size_t i = 0; i < drawn && drawn < count; i++)
    {
      size_t j = i + sgr_rng_below (&b->rng, count - i);
      uint32_t place = b->candidates[j];

      b->candidates[j] = b->candidates[i];
      b->candidates[i] = place;
    }
  return drawn;
}

static void
far_count (sgr_balancer_t *b, size_t count, uint32_t chosen)
{
  const sgr_balancer_target_info_t *info = &b->entries[chosen].info;

  for (size_t i = 0; i < count; i++)
    {
      const sgr_balancer_target_info_t *other = &b->entries[b->candidates[i]].info;

      if (other->link_rtt_us < info->link_rtt_us
          && strcmp (other->failure_domain, info->failure_domain) != 0)
        {
          sgr_balancer_event (b, SGR_BALANCER_PICK_FAR);
          return;
        }
    }
}

uint32_t
sgr_balancer_choose (sgr_balancer_t *b, uint64_t now_us, size_t count, bool is_repeated,
                     uint64_t bytes)
{
  double far_us = (double)b->options.far_us_per_kib * (double)bytes / 1024;
  size_t drawn = draw (b, count);
  double best_cost[2] = { INFINITY, INFINITY };
  uint32_t best[2] = { 0, 0 };
  bool is_ramping[2] = { false, false };
  bool is_hot_chosen;

  for (size_t i = 0; i < drawn; i++)
    {
      uint32_t place = b->candidates[i];
      sgr_balancer_score_t score = sgr_balancer_score (b, &b->entries[place], now_us, is_repeated);
      double cost = score.cost_us * (1 + COST_JITTER * sgr_rng_unit (&b->rng));

      if (b->entries[place].info.is_far)
        cost += far_us;

      if (cost < best_cost[score.is_hot])
        {
          best_cost[score.is_hot] = cost;
          best[score.is_hot] = place;
          is_ramping[score.is_hot] = score.is_ramping;
        }
    }
  is_hot_chosen = best_cost[true] * HOT_PENALTY < best_cost[false];
  if (best_cost[false] == INFINITY)
    sgr_balancer_event (b, SGR_BALANCER_PICK_ALL_HOT);
  else if (best_cost[true] < best_cost[false] && !is_hot_chosen)
    sgr_balancer_event (b, is_ramping[true] ? SGR_BALANCER_PICK_SLOW_START
                                            : SGR_BALANCER_PICK_HOT_AVOIDED);
  far_count (b, count, best[is_hot_chosen]);
  return best[is_hot_chosen];
}
