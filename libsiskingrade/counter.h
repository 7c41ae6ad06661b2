#ifndef SGR_COUNTER_H
#define SGR_COUNTER_H

#include <stdatomic.h>

#include "buffer.h"
#include "histogram.h"

/**
 * struct sgr_metrics_t - registry of the metrics of one thread
 *
 * Only the thread that owns a registry changes its values. Any thread may print them: counters are
 * read and written as relaxed atomics. Histograms are not atomic: if another thread prints one
 * while its owner records a sample, count, sum and buckets may not agree on that sample.
 */
typedef struct sgr_metrics_t sgr_metrics_t;

/** struct sgr_counter_t - counter or gauge; only the thread that owns the registry changes it */
typedef struct
{
  _Atomic uint64_t value;
} sgr_counter_t;

sgr_metrics_t *sgr_metrics_create (void);
void sgr_metrics_destroy (sgr_metrics_t *metrics);

/**
 * sgr_metrics_counter() - find or add a counter or a gauge
 * @metrics: the registry
 * @name: Prometheus name; a metric is a counter if it ends in "_total", else a gauge
 * @labels: labels in Prometheus syntax without the braces, such as "reason=\"drain\"", or ""
 *
 * Return: the counter, valid as long as the registry.
 */
sgr_counter_t *sgr_metrics_counter (sgr_metrics_t *metrics, const char *name, const char *labels);

/**
 * sgr_metrics_histogram() - find or add a latency histogram
 * @metrics: the registry
 * @name: Prometheus name, ending in "_seconds"
 * @labels: as of sgr_metrics_counter()
 *
 * Return: the histogram, valid as long as the registry.
 */
sgr_histogram_t *sgr_metrics_histogram (sgr_metrics_t *metrics, const char *name,
                                        const char *labels);

/**
 * sgr_metrics_print() - print all metrics in the Prometheus text format
 * @metrics: the registry
 * @text: the text is appended to this buffer
 */
void sgr_metrics_print (const sgr_metrics_t *metrics, sgr_buffer_t *text);

static inline void
sgr_counter_add (sgr_counter_t *counter, uint64_t amount)
{
  uint64_t value = atomic_load_explicit (&counter->value, memory_order_relaxed);

  atomic_store_explicit (&counter->value, value + amount, memory_order_relaxed);
}

static inline void
sgr_counter_set (sgr_counter_t *counter, uint64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

static inline uint64_t
sgr_counter_get (const sgr_counter_t *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

#endif
