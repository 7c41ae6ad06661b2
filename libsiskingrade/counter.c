#include "counter.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "id_map.h"
#include "result.h"

typedef struct metric_t
{
  char *name;
  char *labels;
  sgr_counter_t counter;
  sgr_histogram_t *histogram;
  struct metric_t *next;
} metric_t;

struct sgr_metrics_t
{
  pthread_mutex_t mutex; /* protects list and index, not the values */
  metric_t *first;
  sgr_id_map_t *index; /* by hash of name and labels */
};

/* Upper bounds of the printed histogram buckets in microseconds. */
static const uint64_t printed_bounds_us[]
    = { 250, 500, 1000, 2500, 5000, 10000, 25000, 50000, 100000, 250000, 1000000, 5000000 };

#define PRINTED_BOUND_COUNT (sizeof printed_bounds_us / sizeof printed_bounds_us[0])

sgr_metrics_t *
sgr_metrics_create (void)
{
  sgr_metrics_t *metrics = calloc (1, sizeof *metrics);

  sgr_invariant (metrics != NULL);
  pthread_mutex_init (&metrics->mutex, NULL);
  metrics->index = sgr_id_map_create ();
  return metrics;
}

void
sgr_metrics_destroy (sgr_metrics_t *metrics)
{
  metric_t *next;

  if (metrics == NULL)
    return;
  for (metric_t *metric = metrics->first; metric != NULL; metric = next)
    {
      next = metric->next;
      free (metric->name);
      free (metric->labels);
      free (metric->histogram);
      free (metric);
    }
  sgr_id_map_destroy (metrics->index);
  pthread_mutex_destroy (&metrics->mutex);
  free (metrics);
}

/* Keeps the list sorted, because the Prometheus text format requires that all metrics of a name
   follow each other. */
static metric_t *
metric_list_find_or_add (sgr_metrics_t *metrics, const char *name, const char *labels)
{
  metric_t **link = &metrics->first;
  metric_t *metric;

  for (; *link != NULL; link = &(*link)->next)
    {
      int order = strcmp ((*link)->name, name);

      if (order == 0)
        order = strcmp ((*link)->labels, labels);
      if (order == 0)
        return *link;
      if (order > 0)
        break;
    }
  metric = calloc (1, sizeof *metric);
  sgr_invariant (metric != NULL);
  metric->name = strdup (name);
  metric->labels = strdup (labels);
  sgr_invariant (metric->name != NULL && metric->labels != NULL);
  metric->next = *link;
  *link = metric;
  return metric;
}

/* Looks the metric up in the index, because a node with many services has thousands of metrics.
   Searches the list only if the index does not hold the metric: it is new, or its hash collides
   with that of another one. */
static metric_t *
metric_find_or_add (sgr_metrics_t *metrics, const char *name, const char *labels)
{
  uint64_t key = XXH64 (labels, strlen (labels), XXH64 (name, strlen (name), 0));
  metric_t *metric = sgr_id_map_get (metrics->index, key);

  if (metric != NULL && strcmp (metric->name, name) == 0 && strcmp (metric->labels, labels) == 0)
    return metric;
  metric = metric_list_find_or_add (metrics, name, labels);
  sgr_id_map_put (metrics->index, key, metric);
  return metric;
}

sgr_counter_t *
sgr_metrics_counter (sgr_metrics_t *metrics, const char *name, const char *labels)
{
  metric_t *metric;

  pthread_mutex_lock (&metrics->mutex);
  metric = metric_find_or_add (metrics, name, labels);
  pthread_mutex_unlock (&metrics->mutex);
  return &metric->counter;
}

sgr_histogram_t *
sgr_metrics_histogram (sgr_metrics_t *metrics, const char *name, const char *labels)
{
  metric_t *metric;

  pthread_mutex_lock (&metrics->mutex);
  metric = metric_find_or_add (metrics, name, labels);
  if (metric->histogram == NULL)
    metric->histogram = calloc (1, sizeof *metric->histogram);
  sgr_invariant (metric->histogram != NULL);
  pthread_mutex_unlock (&metrics->mutex);
  return metric->histogram;
}

/* Counts the samples up to a bound, including the whole bucket that contains the bound. */
static uint64_t
cumulative_count (const sgr_histogram_t *histogram, uint64_t bound_us)
{
  sgr_histogram_t bound_sample = { 0 };
  uint64_t total = 0;

  /* The bound is the only sample of bound_sample, so the only bucket of bound_sample that is not
     empty is the one that contains the bound. */
  sgr_histogram_record (&bound_sample, bound_us);
  for (unsigned i = 0; i < SGR_HISTOGRAM_BUCKETS; i++)
    {
      total += histogram->buckets[i];
      if (bound_sample.buckets[i] != 0)
        break;
    }
  return total;
}

static void
print_histogram (const metric_t *metric, sgr_buffer_t *text)
{
  const sgr_histogram_t *histogram = metric->histogram;
  const char *comma = metric->labels[0] != '\0' ? "," : "";

  for (size_t i = 0; i < PRINTED_BOUND_COUNT; i++)
    sgr_buffer_printf (text, "%s_bucket{%s%sle=\"%g\"} %lu\n", metric->name, metric->labels, comma,
                       (double)printed_bounds_us[i] / 1e6,
                       cumulative_count (histogram, printed_bounds_us[i]));
  sgr_buffer_printf (text, "%s_bucket{%s%sle=\"+Inf\"} %lu\n", metric->name, metric->labels, comma,
                     histogram->count);
  sgr_buffer_printf (text, "%s_sum{%s} %g\n", metric->name, metric->labels,
                     (double)histogram->sum_us / 1e6);
  sgr_buffer_printf (text, "%s_count{%s} %lu\n", metric->name, metric->labels, histogram->count);
}

void
sgr_metrics_print (const sgr_metrics_t *metrics, sgr_buffer_t *text)
{
  const char *previous = "";

  pthread_mutex_lock ((pthread_mutex_t *)&metrics->mutex);
  for (const metric_t *metric = metrics->first; metric != NULL; metric = metric->next)
    {
      size_t length = strlen (metric->name);
      bool is_total = length > 6 && strcmp (metric->name + length - 6, "_total") == 0;
      const char *type = metric->histogram != NULL ? "histogram" : is_total ? "counter" : "gauge";

      if (strcmp (metric->name, previous) != 0)
        sgr_buffer_printf (text, "# TYPE %s %s\n", metric->name, type);
      previous = metric->name;
      if (metric->histogram != NULL)
        print_histogram (metric, text);
      else if (metric->labels[0] != '\0')
        sgr_buffer_printf (text, "%s{%s} %lu\n", metric->name, metric->labels,
                           sgr_counter_get (&metric->counter));
      else
        sgr_buffer_printf (text, "%s %lu\n", metric->name, sgr_counter_get (&metric->counter));
    }
  pthread_mutex_unlock ((pthread_mutex_t *)&metrics->mutex);
}
