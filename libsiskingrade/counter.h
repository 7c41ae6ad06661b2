#ifndef SGR_COUNTER_H
#define SGR_COUNTER_H

#include <stdatomic.h>

#include "buffer.h"
#include "histogram.h"

/**
 * A metric registry belongs to one task: only that task changes its values. Counters are written
 * with relaxed atomics, so another task may print them. Histograms are printed by a copy that the
 * owning task sends.
 */
typedef struct sgr_metrics_t sgr_metrics_t;

/** struct sgr_counter_t - a number that only its owning task changes */
typedef struct
{
  _Atomic uint64_t value;
} sgr_counter_t;

sgr_metrics_t *sgr_metrics_create (void);
void sgr_metrics_destroy (sgr_metrics_t *metrics);

/**
 * sgr_metrics_counter() - find or add a counter
 * @metrics: the registry
 * @name: Prometheus name, ending in "_total" for counters
 * @labels: text between the braces, such as "reason=\"drain\"", or "" for none
 *
 * Return: the counter, valid as long as the registry.
 */
sgr_counter_t *sgr_metrics_counter (sgr_metrics_t *metrics, const char *name, const char *labels);

/**
 * sgr_metrics_histogram() - find or add a latency histogram
 * @metrics: the registry
 * @name: Prometheus name, ending in "_seconds"
 * @labels: text between the braces or ""
 */
sgr_histogram_t *sgr_metrics_histogram (sgr_metrics_t *metrics, const char *name,
                                        const char *labels);

/**
 * sgr_metrics_print() - append the Prometheus text format
 * @metrics: the registry
 * @text: receives the text
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
