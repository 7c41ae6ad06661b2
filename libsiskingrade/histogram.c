#include "histogram.h"

#include <math.h>

/* Buckets of a group, see histogram.h. */
#define GROUP_BUCKETS (1U << SGR_HISTOGRAM_SUB_BITS)

static unsigned
bucket_index (uint64_t value)
{
  unsigned exponent;
  unsigned bucket;

  if (value < GROUP_BUCKETS)
    return (unsigned)value;
  exponent = 63U - (unsigned)__builtin_clzll (value) - SGR_HISTOGRAM_SUB_BITS;
  bucket = ((exponent + 1) << SGR_HISTOGRAM_SUB_BITS)
           + (unsigned)((value >> exponent) & (GROUP_BUCKETS - 1));
  return bucket < SGR_HISTOGRAM_BUCKETS ? bucket : SGR_HISTOGRAM_BUCKETS - 1;
}

/* Returns the largest value that falls into the bucket with the index @bucket. */
static uint64_t
bucket_upper_bound (unsigned bucket)
{
  unsigned group = bucket >> SGR_HISTOGRAM_SUB_BITS;
  uint64_t index_in_group = bucket & (GROUP_BUCKETS - 1);

  if (group == 0)
    return index_in_group;
  return ((index_in_group + GROUP_BUCKETS + 1) << (group - 1)) - 1;
}

void
sgr_histogram_record (sgr_histogram_t *histogram, uint64_t value_us)
{
  histogram->count++;
  histogram->sum_us += value_us;
  if (value_us > histogram->max_us)
    histogram->max_us = value_us;
  histogram->buckets[bucket_index (value_us)]++;
}

void
sgr_histogram_merge (sgr_histogram_t *into, const sgr_histogram_t *from)
{
  into->count += from->count;
  into->sum_us += from->sum_us;
  if (from->max_us > into->max_us)
    into->max_us = from->max_us;
  for (unsigned i = 0; i < SGR_HISTOGRAM_BUCKETS; i++)
    into->buckets[i] += from->buckets[i];
}

uint64_t
sgr_histogram_quantile (const sgr_histogram_t *histogram, double quantile)
{
  uint64_t rank = (uint64_t)ceil (quantile * (double)histogram->count);
  uint64_t seen = 0;

  if (histogram->count == 0)
    return 0;
  if (rank == 0)
    rank = 1;
  for (unsigned i = 0; i < SGR_HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen >= rank)
        return bucket_upper_bound (i) < histogram->max_us ? bucket_upper_bound (i)
                                                          : histogram->max_us;
    }
  return histogram->max_us;
}
