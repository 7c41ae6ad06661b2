#ifndef SGR_HISTOGRAM_H
#define SGR_HISTOGRAM_H

#include "types.h"

/* The buckets form 40 groups of 2^SGR_HISTOGRAM_SUB_BITS buckets. Those of the first group are 1 us
   wide. Each further group covers one power of two with buckets of equal width, up to 2^43 us (100
   days); the last bucket also counts larger samples. */
#define SGR_HISTOGRAM_SUB_BITS 4
#define SGR_HISTOGRAM_BUCKETS (40 << SGR_HISTOGRAM_SUB_BITS)

/**
 * struct sgr_histogram_t - log-linear histogram of microseconds; relative error below 1/16
 * @count: number of samples
 * @sum_us: sum of the samples
 * @max_us: largest sample
 * @buckets: number of samples in each bucket
 */
typedef struct
{
  uint64_t count;
  uint64_t sum_us;
  uint64_t max_us;
  uint32_t buckets[SGR_HISTOGRAM_BUCKETS];
} sgr_histogram_t;

/** sgr_histogram_record() - add a sample in microseconds */
void sgr_histogram_record (sgr_histogram_t *histogram, uint64_t value_us);

/** sgr_histogram_merge() - add all samples of one histogram to another */
void sgr_histogram_merge (sgr_histogram_t *into, const sgr_histogram_t *from);

/**
 * sgr_histogram_quantile() - estimate a quantile of the samples
 * @histogram: the histogram
 * @quantile: fraction from 0 to 1, such as 0.5 for the median
 *
 * Return: upper bound of the bucket that contains the quantile, at most the largest sample, in
 * microseconds; 0 if there are no samples.
 */
uint64_t sgr_histogram_quantile (const sgr_histogram_t *histogram, double quantile);

#endif
