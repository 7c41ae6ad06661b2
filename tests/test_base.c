#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "buffer.h"
#include "counter.h"
#include "histogram.h"
#include "rng.h"
#include "timer_heap.h"
#include "types.h"

/* Guards against accepting malformed addresses, and values that sockets do not support. */
static void
test_address_parse_table (void **state)
{
  static const struct
  {
    const char *text;
    bool valid;
  } cases[] = {
    { "127.0.0.1:80", true },
    { "127.0.0.1:0", false },
    { "127.0.0.1:65536", false },
    { "127.0.0.1", false },
    { ":80", false },
    { "127.0.0.1:80x", false },
    { "127.0.0.1: 80", false },
    { "256.0.0.1:80", false },
    { "localhost:80", false },
    { "127.0.0.1:-1", false },
    { "127.0.0.1:65535", true },
    { "", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_address_t address;

      assert_int_equal (sgr_address_parse (cases[i].text, &address), cases[i].valid);
    }
}

/* Guards against quantiles outside the relative error that histogram.h states. */
static void
test_histogram_quantile_error (void **state)
{
  sgr_histogram_t *histogram = calloc (1, sizeof *histogram);

  for (uint64_t value = 1; value <= 100000; value++)
    sgr_histogram_record (histogram, value);
  for (int percent = 1; percent <= 100; percent++)
    {
      double exact = percent * 1000.0;
      double estimate = (double)sgr_histogram_quantile (histogram, percent / 100.0);

      assert_true (estimate >= exact * 0.99);
      assert_true (estimate <= exact * (1.0 + 1.0 / 16.0));
    }
  free (histogram);
}

typedef struct
{
  uint64_t last_us;
  int fired;
} fire_record_t;

static void
on_timer_fired (void *ctx, uint64_t now_us)
{
  fire_record_t *record = ctx;

  record->fired++;
  record->last_us = now_us;
}

/* Guards against timers that fire early or never after others were cancelled in the
   middle of the heap. */
static void
test_timer_heap_order_with_cancels (void **state)
{
  enum
  {
    COUNT = 500
  };
  static sgr_timer_t timers[COUNT];
  fire_record_t record = { 0 };
  sgr_timer_heap_t *heap = sgr_timer_heap_create ();
  sgr_rng_t rng;
  int cancelled = 0;
  uint64_t next_us;

  sgr_rng_seed (&rng, 7);
  for (int i = 0; i < COUNT; i++)
    {
      timers[i] = (sgr_timer_t){ .fire = on_timer_fired, .ctx = &record };
      sgr_timer_arm (heap, &timers[i], 1 + sgr_rng_below (&rng, 10000));
    }
  for (int i = 0; i < COUNT; i += 3, cancelled++)
    sgr_timer_cancel (heap, &timers[i]);
  next_us = sgr_timer_heap_run (heap, 0);
  while (next_us != SGR_TIMER_NEVER)
    {
      uint64_t due_us = next_us;

      next_us = sgr_timer_heap_run (heap, due_us);
      assert_true (record.last_us == due_us);
      assert_true (next_us > due_us);
    }
  assert_int_equal (record.fired, COUNT - cancelled);
  sgr_timer_heap_destroy (heap);
}

/* Guards against metric text that a scraper rejects: it requires one TYPE line for each name
   and cumulative buckets. */
static void
test_metrics_print_format (void **state)
{
  sgr_metrics_t *metrics = sgr_metrics_create ();
  sgr_buffer_t text = { 0 };
  const char *first;

  sgr_counter_add (sgr_metrics_counter (metrics, "a_total", "x=\"1\""), 3);
  sgr_counter_add (sgr_metrics_counter (metrics, "b", ""), 2);
  sgr_counter_add (sgr_metrics_counter (metrics, "a_total", "x=\"2\""), 4);
  sgr_histogram_record (sgr_metrics_histogram (metrics, "h_seconds", ""), 700);
  sgr_metrics_print (metrics, &text);
  sgr_buffer_append (&text, "", 1);
  first = strstr ((char *)text.bytes, "# TYPE a_total counter\n");
  assert_non_null (first);
  assert_null (strstr (first + 1, "# TYPE a_total"));
  assert_non_null (strstr ((char *)text.bytes, "a_total{x=\"2\"} 4\n"));
  assert_non_null (strstr ((char *)text.bytes, "h_seconds_bucket{le=\"0.0005\"} 0\n"));
  assert_non_null (strstr ((char *)text.bytes, "h_seconds_bucket{le=\"0.001\"} 1\n"));
  assert_non_null (strstr ((char *)text.bytes, "h_seconds_bucket{le=\"+Inf\"} 1\n"));
  sgr_buffer_release (&text);
  sgr_metrics_destroy (metrics);
}

/* Guards against truncated labels: with names of the maximum length, the printed text would end
   within a quoted value, and each lookup would add another metric. */
static void
test_metrics_long_labels (void **state)
{
  sgr_metrics_t *metrics = sgr_metrics_create ();
  sgr_buffer_t text = { 0 };
  char name[SGR_NAME_MAX + 1];
  char labels[256];

  memset (name, 'x', SGR_NAME_MAX);
  name[SGR_NAME_MAX] = '\0';
  snprintf (labels, sizeof labels, "service=\"%s\",tenant=\"%s\",class=\"%s\"", name, name, name);
  assert_ptr_equal (sgr_metrics_counter (metrics, "a_total", labels),
                    sgr_metrics_counter (metrics, "a_total", labels));
  sgr_metrics_print (metrics, &text);
  sgr_buffer_append (&text, "", 1);
  assert_non_null (strstr ((char *)text.bytes, labels));
  sgr_buffer_release (&text);
  sgr_metrics_destroy (metrics);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_address_parse_table),
    cmocka_unit_test (test_histogram_quantile_error),
    cmocka_unit_test (test_timer_heap_order_with_cancels),
    cmocka_unit_test (test_metrics_print_format),
    cmocka_unit_test (test_metrics_long_labels),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
