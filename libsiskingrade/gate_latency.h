#ifndef SGR_GATE_LATENCY_H
#define SGR_GATE_LATENCY_H

#include "types.h"

#define SGR_GATE_LATENCY_SAMPLES 64

/**
 * struct sgr_gate_latency_t - quantiles of the latest latencies of a target; initialise to zero
 * @samples: ring buffer of the latest latencies in microseconds
 * @count: number of latencies recorded so far
 * @median_us: median of @samples when sgr_gate_latency_record() last updated the quantiles
 * @tenth_percentile_us: tenth percentile of @samples at the same time
 * @recorded_us: time of the latest sample
 */
typedef struct
{
  uint32_t samples[SGR_GATE_LATENCY_SAMPLES];
  uint64_t count;
  uint32_t median_us;
  uint32_t tenth_percentile_us;
  uint64_t recorded_us;
} sgr_gate_latency_t;

/**
 * sgr_gate_latency_record() - add a sample and update the quantiles after every few samples
 * @latency: the latencies
 * @now_us: the time
 * @latency_us: latency of a request that the target has answered, in microseconds
 */
void sgr_gate_latency_record (sgr_gate_latency_t *latency, uint64_t now_us, uint64_t latency_us);

/**
 * sgr_gate_latency_estimate() - expected latency of the next request
 * @latency: the latencies
 * @now_us: the time
 * @use_tenth_percentile: return the tenth percentile instead of the median
 *
 * Return: the latency in microseconds, 0 if there is no recent sample. The value 0 lets a target
 * that was slow receive requests again, and their latencies then replace the old estimate.
 */
uint64_t sgr_gate_latency_estimate (const sgr_gate_latency_t *latency, uint64_t now_us,
                                    bool use_tenth_percentile);

#endif
