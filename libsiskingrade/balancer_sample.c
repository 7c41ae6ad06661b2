#include "balancer_internal.h"

#include <xxhash.h>

/* Chooses the targets that one choice compares. The targets of the own failure domain come first,
   then those of the own region, then those of other regions: each distance is represented, so that
   calls leave it only for want of room, also where most targets are elsewhere. Targets of other
   failure domains come from two small sets, one for each distance, that differ between nodes and
   change only with the membership, ejections and the targets already tried: with any number of
   targets, a node keeps connections to, and gets load reports from, few of them. */

/* Most targets of the own failure domain in a sample. A random sample keeps nodes with the same
   load reports from all choosing the same target. */
#define NEAR_SAMPLE_MAX 6
/* Most targets of each farther distance in a sample, and in the set that they are drawn from. */
#define FAR_SAMPLE_MAX 3
#define FAR_SET_MAX 6

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

static bool
is_near (const sgr_balancer_target_info_t *info)
{
  return !info->is_far;
}

static bool
is_in_region (const sgr_balancer_target_info_t *info)
{
  return !info->is_remote;
}

/* Moves the candidates from @start on for which the predicate holds to @start; returns their
   number. */
static size_t
partition (sgr_balancer_t *b, size_t start, size_t count,
           bool (*predicate) (const sgr_balancer_target_info_t *info))
{
  size_t chosen_count = 0;

  for (size_t i = start; i < count; i++)
    if (predicate (&b->entries[b->candidates[i]].info))
      candidates_swap (b, i, start + chosen_count++);
  return chosen_count;
}

uint64_t
sgr_balancer_far_rank (uint64_t far_set_seed, sgr_node_id_t node)
{
  return XXH64 (&node, sizeof node, far_set_seed);
}

/* Moves the FAR_SET_MAX candidates with the lowest rank among the @count ones from @start on to
   @start; returns their number. */
static size_t
far_set_select (sgr_balancer_t *b, size_t start, size_t count)
{
  uint64_t ranks[FAR_SET_MAX] = { 0 };
  size_t size = 0;

  if (count <= FAR_SET_MAX)
    return count;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t rank = b->entries[b->candidates[start + i]].far_rank;
      size_t position = size;

      if (size == FAR_SET_MAX && rank >= ranks[size - 1])
        continue;
      if (size < FAR_SET_MAX)
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

/* Moves the chosen candidates, @count from @start on, to the end of the sample at @sample_count;
   returns the new size of the sample. */
static size_t
sample_extend (sgr_balancer_t *b, size_t sample_count, size_t start, size_t count)
{
  for (size_t i = 0; i < count && sample_count + i < start; i++)
    candidates_swap (b, sample_count + i, start + i);
  return sample_count + count;
}

/* Adds a sample of the candidates of one farther distance, @count from @start on. If there are none
   nearer, it is as large as a sample of near ones. */
static size_t
far_sample_add (sgr_balancer_t *b, size_t sample_count, size_t start, size_t count)
{
  size_t set_size = far_set_select (b, start, count);
  size_t size
      = random_sample (b, start, set_size, sample_count == 0 ? NEAR_SAMPLE_MAX : FAR_SAMPLE_MAX);

  return sample_extend (b, sample_count, start, size);
}

size_t
sgr_balancer_sample_draw (sgr_balancer_t *b, size_t count)
{
  size_t near_count = partition (b, 0, count, is_near);
  size_t region_count = partition (b, near_count, count, is_in_region);
  size_t remote_start = near_count + region_count;
  size_t sample_count = random_sample (b, 0, near_count, NEAR_SAMPLE_MAX);

  sample_count = far_sample_add (b, sample_count, near_count, region_count);
  return far_sample_add (b, sample_count, remote_start, count - remote_start);
}
