#include "balancer_internal.h"

#include <xxhash.h>

/* Chooses the targets that one choice compares. The targets of the own failure domain come first,
   so that calls leave it only for want of room, also where most targets are elsewhere. Targets of
   other failure domains come from a small set that differs between nodes and changes only with the
   membership, ejections and the targets already tried: with any number of targets, a node keeps
   connections to, and gets load reports from, few of them. */

/* Most targets of the own failure domain in a sample. A random sample keeps nodes with the same
   load reports from all choosing the same target. */
#define NEAR_SAMPLE_MAX 6
/* Most targets of other failure domains in a sample, and in the set that they are drawn from. */
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

/* Moves the candidates of the own failure domain to the front; returns their number. */
static size_t
near_partition (sgr_balancer_t *b, size_t count)
{
  size_t near_count = 0;

  for (size_t i = 0; i < count; i++)
    if (!b->entries[b->candidates[i]].info.is_far)
      candidates_swap (b, i, near_count++);
  return near_count;
}

static uint64_t
rendezvous_rank (const sgr_balancer_t *b, uint32_t index)
{
  return XXH64 (&b->entries[index].info.node, sizeof (sgr_node_id_t), b->options.far_set_seed);
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
      uint64_t rank = rendezvous_rank (b, b->candidates[start + i]);
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

size_t
sgr_balancer_sample_draw (sgr_balancer_t *b, size_t count)
{
  size_t near_count = near_partition (b, count);
  size_t far_count = far_set_select (b, near_count, count - near_count);
  size_t near_sample = random_sample (b, 0, near_count, NEAR_SAMPLE_MAX);
  size_t far_sample = random_sample (b, near_count, far_count, FAR_SAMPLE_MAX);

  if (near_count == 0)
    far_sample = random_sample (b, 0, far_count, NEAR_SAMPLE_MAX);
  for (size_t i = 0; i < far_sample && near_sample < near_count; i++)
    candidates_swap (b, near_sample + i, near_count + i);
  return near_sample + far_sample;
}
