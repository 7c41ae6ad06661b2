#ifndef SGR_GATE_LATENCY_H
#define SGR_GATE_LATENCY_H

#include "types.h"

#define SGR_GATE_LATENCY_SAMPLES 64

/**
 * struct sgr_gate_latency_t - quantiles of the latest latencies of a target; start with all zero
 * @samples: the latest latencies in microseconds
 * @count: latencies recorded since the start
 * @median_us: median of @samples, kept up to date by sgr_gate_latency_record()
 * @low_us: tenth percentile of @samples, likewise
 * @recorded_us: time of the latest one
 */
typedef struct
{
  uint32_t samples[SGR_GATE_LATENCY_SAMPLES];
  uint64_t count;
  uint32_t median_us;
  uint32_t low_us;
  uint64_t recorded_us;
} sgr_gate_latency_t;

void sgr_gate_latency_record (sgr_gate_latency_t *latency, uint64_t now_us, uint64_t latency_us);

/**
 * sgr_gate_latency_estimate() - latency to expect of the next request
 * @latency: the latencies
 * @now_us: the time
 * @low: return the tenth percentile rather than the median
 *
 * Return: 0 if there is no recent sample: a target that was slow must get work again to show that
 * it no longer is.
 */
uint64_t sgr_gate_latency_estimate (const sgr_gate_latency_t *latency, uint64_t now_us, bool low);

#endif
