#ifndef SGR_HISTOGRAM_H
#define SGR_HISTOGRAM_H

#include "types.h"

#define SGR_HISTOGRAM_SUB_BITS 4
#define SGR_HISTOGRAM_BUCKETS (40 << SGR_HISTOGRAM_SUB_BITS)

/**
 * struct sgr_histogram_t - log-linear histogram of microseconds; relative error under 1/16
 * @count: samples
 * @sum_us: sum of the samples
 * @max_us: largest sample
 * @buckets: samples by bucket
 */
typedef struct
{
  uint64_t count;
  uint64_t sum_us;
  uint64_t max_us;
  uint32_t buckets[SGR_HISTOGRAM_BUCKETS];
} sgr_histogram_t;

void sgr_histogram_record (sgr_histogram_t *histogram, uint64_t value_us);
void sgr_histogram_merge (sgr_histogram_t *into, const sgr_histogram_t *from);

/**
 * sgr_histogram_quantile() - value below which a share of the samples lies
 * @histogram: the histogram
 * @quantile: share from 0 to 1
 *
 * Return: upper bound of the bucket in microseconds, 0 without samples.
 */
uint64_t sgr_histogram_quantile (const sgr_histogram_t *histogram, double quantile);

#endif
