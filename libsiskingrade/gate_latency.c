#include "gate_latency.h"

#include <stdlib.h>
#include <string.h>

/* Age above which the latest sample is too old for an estimate. */
#define SAMPLE_AGE_MAX_US (2 * SGR_USEC_PER_SEC)
/* Samples between two updates of the quantiles. Sorting for each sample would cost more than the
   rest of the gate's work for a call. */
#define SAMPLES_PER_SORT 8

static int
latency_compare (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return (left > right) - (left < right);
}

void
sgr_gate_latency_record (sgr_gate_latency_t *latency, uint64_t now_us, uint64_t latency_us)
{
  uint32_t sorted[SGR_GATE_LATENCY_SAMPLES];
  size_t used;

  latency->samples[latency->count++ % SGR_GATE_LATENCY_SAMPLES]
      = latency_us < UINT32_MAX ? (uint32_t)latency_us : UINT32_MAX;
  latency->recorded_us = now_us;
  /* Each of the first samples updates the quantiles; later, one in SAMPLES_PER_SORT does. */
  if (latency->count >= SAMPLES_PER_SORT && latency->count % SAMPLES_PER_SORT != 0)
    return;
  used = latency->count < SGR_GATE_LATENCY_SAMPLES ? (size_t)latency->count
                                                   : SGR_GATE_LATENCY_SAMPLES;
  memcpy (sorted, latency->samples, used * sizeof sorted[0]);
  qsort (sorted, used, sizeof sorted[0], latency_compare);
  latency->median_us = sorted[used / 2];
  latency->tenth_percentile_us = sorted[used / 10];
}

uint64_t
sgr_gate_latency_estimate (const sgr_gate_latency_t *latency, uint64_t now_us,
                           bool use_tenth_percentile)
{
  if (latency->recorded_us + SAMPLE_AGE_MAX_US < now_us)
    return 0;
  return use_tenth_percentile ? latency->tenth_percentile_us : latency->median_us;
}
