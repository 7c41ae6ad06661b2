#include "balancer_internal.h"

static uint32_t
candidate_outstanding (const sgr_balancer_t *b, size_t candidate)
{
  return b->entries[b->candidates[candidate]].outstanding;
}

/* Returns the next eligible target in table order; the candidates are in that order, too. */
static uint32_t
round_robin_choose (sgr_balancer_t *b, size_t count)
{
  uint32_t chosen = b->candidates[0];

  for (size_t i = 0; i < count; i++)
    if (b->candidates[i] >= b->round_robin_next)
      {
        chosen = b->candidates[i];
        break;
      }
  b->round_robin_next = chosen + 1;
  return chosen;
}

static uint32_t
least_outstanding_choose (sgr_balancer_t *b, size_t count)
{
  size_t best = 0;
  uint64_t ties = 1;

  for (size_t i = 1; i < count; i++)
    {
      uint32_t outstanding = candidate_outstanding (b, i);
      uint32_t least = candidate_outstanding (b, best);

      if (outstanding < least)
        {
          best = i;
          ties = 1;
        }
      else if (outstanding == least && sgr_rng_below (&b->rng, ++ties) == 0)
        best = i;
    }
  return b->candidates[best];
}

static uint32_t
two_choices_choose (sgr_balancer_t *b, size_t count)
{
  size_t first = sgr_rng_below (&b->rng, count);
  size_t second;

  if (count == 1)
    return b->candidates[0];
  second = sgr_rng_below (&b->rng, count - 1);
  if (second >= first)
    second++;
  return b
      ->candidates[candidate_outstanding (b, second) < candidate_outstanding (b, first) ? second
                                                                                        : first];
}

uint32_t
sgr_balancer_baseline_choose (sgr_balancer_t *b, size_t count)
{
  switch (b->options.policy)
    {
    case SGR_BALANCER_ROUND_ROBIN:
      return round_robin_choose (b, count);
    case SGR_BALANCER_LEAST_OUTSTANDING:
      return least_outstanding_choose (b, count);
    case SGR_BALANCER_TWO_CHOICES:
      return two_choices_choose (b, count);
    default:
      return b->candidates[sgr_rng_below (&b->rng, count)];
    }
}
