#include "balancer_internal.h"

#include <xxhash.h>

/* Chooses the targets that one choice compares, for each distance by itself: the own failure
   domain, the own region, other regions. So calls leave a distance only for want of room, also
   where most targets are elsewhere, and a call that does not costs no look at farther targets.
   Targets of other failure domains come from two small sets, one for each distance, that differ
   between nodes and change only with the membership, ejections and the targets already tried: with
   any number of targets, a node keeps connections to, and gets load reports from, few of them. */

/* Most targets of the own failure domain in a sample. A random sample keeps nodes with the same
   load reports from all choosing the same target. */
#define NEAR_SAMPLE_MAX 6
/* Most targets of each farther distance in a sample. */
#define FAR_SAMPLE_MAX 3
/* Size of the sets of targets that are chosen by rank. */
#define RANKED_SET_MAX SGR_BALANCER_AFFINITY_MAX

static void
candidates_swap (sgr_balancer_t *b, size_t i, size_t j)
{
  uint32_t index = b->candidates[j];

  b->candidates[j] = b->candidates[i];
  b->candidates[i] = index;
}

/* Moves a random sample of the @count candidates from @start on to @start; returns its size. */
static size_t
random_sample (sgr_balancer_t *b, size_t start, size_t count, size_t sample_max)
{
  size_t sample_count = count < sample_max ? count : sample_max;

  for (size_t i = 0; i < sample_count && sample_count < count; i++)
    candidates_swap (b, start + i, start + i + sgr_rng_below (&b->rng, count - i));
  return sample_count;
}

size_t
sgr_balancer_distance (const sgr_balancer_target_info_t *info)
{
  return info->is_remote ? 2 : info->is_far ? 1 : 0;
}

/* Moves the candidates from @start on that have the given distance to @start; returns their
   number. */
static size_t
partition (sgr_balancer_t *b, size_t start, size_t count, size_t distance)
{
  size_t chosen_count = 0;

  for (size_t i = start; i < count; i++)
    if (sgr_balancer_distance (&b->entries[b->candidates[i]].info) == distance)
      candidates_swap (b, i, start + chosen_count++);
  return chosen_count;
}

uint64_t
sgr_balancer_far_rank (uint64_t far_set_seed, sgr_node_id_t node)
{
  return XXH64 (&node, sizeof node, far_set_seed);
}

uint64_t
sgr_balancer_affinity_rank (sgr_node_id_t node, uint64_t seed)
{
  return XXH64 (&node, sizeof node, seed);
}

/* Rank of a candidate in the far set, or among those that calls with an affinity prefer. */
static uint64_t
candidate_rank (const sgr_balancer_t *b, uint32_t index, const uint64_t *affinity_seed)
{
  const sgr_balancer_entry_t *entry = &b->entries[index];

  return affinity_seed == NULL ? entry->far_rank
                               : sgr_balancer_affinity_rank (entry->info.node, *affinity_seed);
}

/* Moves the RANKED_SET_MAX candidates with the lowest rank among the @count ones from @start on to
   @start, in the order of their ranks; returns their number. */
static size_t
ranked_set_select (sgr_balancer_t *b, size_t start, size_t count, const uint64_t *affinity_seed)
{
  uint64_t ranks[RANKED_SET_MAX] = { 0 };
  size_t size = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t rank = candidate_rank (b, b->candidates[start + i], affinity_seed);
      size_t position = size;

      if (size == RANKED_SET_MAX && rank >= ranks[size - 1])
        continue;
      if (size < RANKED_SET_MAX)
        size++;
      else
        position--;
      candidates_swap (b, start + position, start + i);
      for (; position > 0 && ranks[position - 1] > rank; position--)
        {
          ranks[position] = ranks[position - 1];
          candidates_swap (b, start + position, start + position - 1);
        }
      ranks[position] = rank;
    }
  return size;
}

size_t
sgr_balancer_sample_draw (sgr_balancer_t *b, size_t start, size_t count, size_t distance,
                          const sgr_balancer_call_t *call, size_t *group_size, size_t *preferred)
{
  bool has_affinity = distance == 0 && call->affinity_count > 0
                      && call->affinity_count < SGR_BALANCER_AFFINITY_MAX;
  size_t set_size;

  *group_size = partition (b, start, count, distance);
  *preferred = has_affinity ? call->affinity_count : SIZE_MAX;
  if (has_affinity)
    return ranked_set_select (b, start, *group_size, &call->affinity_seed);
  if (distance == 0)
    return random_sample (b, start, *group_size, NEAR_SAMPLE_MAX);
  /* A set of all candidates needs no order. */
  set_size = *group_size <= RANKED_SET_MAX ? *group_size
                                           : ranked_set_select (b, start, *group_size, NULL);
  /* If there are none nearer, the sample is as large as one of near targets. */
  return random_sample (b, start, set_size, start == 0 ? NEAR_SAMPLE_MAX : FAR_SAMPLE_MAX);
}
