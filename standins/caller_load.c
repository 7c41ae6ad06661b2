#include "caller_load.h"

#include <h2o.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "histogram.h"
#include "http_fetch.h"
#include "result.h"
#include "rng.h"
#include "task_loop.h"

#define TRIES_MAX 4
#define REPEAT_US (100 * SGR_USEC_PER_MSEC)
#define LARGE_BYTES 2000000
#define IO_TIMEOUT_MS 15000

typedef struct
{
  uint64_t calls;
  uint64_t repeats;
  uint64_t whole;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t failed;
  uint64_t wrong;
  sgr_histogram_t latency;
} row_t;

typedef struct
{
  const sgr_caller_options_t *options;
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_http_fetcher_t *fetcher;
  sgr_rng_t rng;
  sgr_timer_t arrival;
  uint64_t end_us;
  uint64_t sent;
  uint64_t open;
  bool is_stopped;
  FILE *report;
  row_t rows[SGR_CALLER_SERVICES_MAX];
} load_t;

typedef struct
{
  load_t *load;
  size_t service;
  char id[32];
  char key[128];
  unsigned tries;
  uint64_t start_us;
  sgr_timer_t repeat;
} call_t;

static void call_send (call_t *call);

static const sgr_caller_service_t *
service_of (const call_t *call)
{
  return &call->load->options->services[call->service];
}

static const sgr_address_t *
node_choose (load_t *load)
{
  return &load->options->nodes[sgr_rng_below (&load->rng, load->options->node_count)];
}

static void
call_end (call_t *call, const char *outcome)
{
  load_t *load = call->load;

  if (load->report != NULL && service_of (call)->kind == SGR_CALLER_WRITE)
    fprintf (load->report, "%s %s\n", call->id, outcome);
  load->open--;
  load->is_stopped = load->open == 0 && sgr_clock_monotonic_us () >= load->end_us;
  sgr_timer_cancel (load->timers, &call->repeat);
  free (call);
}

static bool
is_expected_body (const call_t *call, const sgr_http_fetch_reply_t *reply)
{
  size_t length = strlen (call->id);

  if (service_of (call)->kind != SGR_CALLER_LARGE)
    return reply->length == length + 1 && memcmp (reply->body, call->id, length) == 0;
  if (reply->length != LARGE_BYTES)
    return false;
  for (size_t i = 0; i < reply->length; i++)
    {
      if ((char)reply->body[i] != (char)('a' + (i + (uint8_t)call->id[0]) % 26))
        return false;
    }
  return true;
}

static void
on_repeat (void *ctx, uint64_t now_us)
{
  call_t *call = ctx;

  call->load->rows[call->service].repeats++;
  call_send (call);
}

static const char *
outcome_of (const sgr_http_fetch_reply_t *reply, bool *is_repeat_safe)
{
  json_t *body;
  const char *outcome = "failed";

  *is_repeat_safe = false;
  if (reply->error != NULL)
    return reply->sent ? "unknown" : "not-run";
  body = json_loadb ((const char *)reply->body, reply->length, 0, NULL);
  if (json_is_string (json_object_get (body, "outcome")))
    outcome = strcmp (json_string_value (json_object_get (body, "outcome")), "not-run") == 0
                  ? "not-run"
                  : "unknown";
  *is_repeat_safe = json_is_true (json_object_get (body, "repeat_safe"));
  json_decref (body);
  return outcome;
}

static void
on_answer (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  call_t *call = ctx;
  row_t *row = &call->load->rows[call->service];
  bool is_repeat_safe;
  const char *outcome;

  if (reply->error == NULL && reply->status == 200)
    {
      bool is_expected = is_expected_body (call, reply);

      sgr_histogram_record (&row->latency, sgr_clock_monotonic_us () - call->start_us);
      row->whole += is_expected;
      row->wrong += !is_expected;
      call_end (call, is_expected ? "complete" : "wrong");
      return;
    }
  outcome = outcome_of (reply, &is_repeat_safe);
  /* Look-ups may be repeated, and writes with their key. */
  if (call->tries < TRIES_MAX
      && (call->key[0] != '\0' || service_of (call)->kind != SGR_CALLER_WRITE))
    {
      sgr_timer_arm (call->load->timers, &call->repeat, sgr_clock_monotonic_us () + REPEAT_US);
      return;
    }
  row->not_run += strcmp (outcome, "not-run") == 0;
  row->unknown += strcmp (outcome, "unknown") == 0;
  row->failed += strcmp (outcome, "failed") == 0;
  call_end (call, outcome);
}

static void
request_send (call_t *call, const char *method, const char *path, const char *fields,
              sgr_http_fetch_cb_t done)
{
  sgr_http_fetch_request_t request
      = { .address = *node_choose (call->load), .method = method, .path = path, .headers = fields };

  sgr_http_fetch_start (call->load->fetcher, &request, done, call);
}

static void
call_send (call_t *call)
{
  const sgr_caller_service_t *service = service_of (call);
  char fields[512];
  char path[64];
  int length
      = snprintf (fields, sizeof fields,
                  "siskingrade-service: %s\r\nsiskingrade-tenant: demo\r\n"
                  "siskingrade-class: %s\r\nx-request-id: %s\r\n",
                  service->name, service->kind == SGR_CALLER_WRITE ? "write" : "read", call->id);

  if (call->key[0] != '\0')
    snprintf (fields + length, sizeof fields - (size_t)length, "idempotency-key: %s\r\n",
              call->key);
  snprintf (path, sizeof path, service->kind == SGR_CALLER_LARGE ? "/bytes/%d" : "/work",
            LARGE_BYTES);
  call->tries++;
  request_send (call, service->kind == SGR_CALLER_WRITE ? "POST" : "GET", path, fields, on_answer);
}

static void key_request (call_t *call);

static void
on_key (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  call_t *call = ctx;
  json_t *body = json_loadb ((const char *)reply->body, reply->length, 0, NULL);
  const char *key = json_string_value (json_object_get (body, "key"));

  if (reply->error == NULL && key != NULL)
    {
      snprintf (call->key, sizeof call->key, "%s", key);
      call->tries = 0;
      call_send (call);
    }
  else if (call->tries < TRIES_MAX)
    key_request (call);
  else
    {
      call->load->rows[call->service].not_run++;
      call_end (call, "not-run");
    }
  json_decref (body);
}

static void
key_request (call_t *call)
{
  char path[128];

  call->tries++;
  snprintf (path, sizeof path, "/.siskingrade/keys?service=%s", service_of (call)->name);
  request_send (call, "POST", path, NULL, on_key);
}

static void
call_start (load_t *load, uint64_t now_us)
{
  call_t *call = calloc (1, sizeof *call);

  sgr_invariant (call != NULL);
  call->load = load;
  call->service = load->sent % load->options->service_count;
  call->start_us = now_us;
  call->repeat = (sgr_timer_t){ .fire = on_repeat, .ctx = call };
  snprintf (call->id, sizeof call->id, "%c%lu-%lu", (char)('a' + load->sent % 26),
            load->options->seed, load->sent);
  load->sent++;
  load->open++;
  load->rows[call->service].calls++;
  if (service_of (call)->kind == SGR_CALLER_WRITE)
    key_request (call);
  else
    call_send (call);
}

static void
on_arrival (void *ctx, uint64_t now_us)
{
  load_t *load = ctx;
  double gap_us = -log (1.0 - sgr_rng_unit (&load->rng)) * 1e6 / (double)load->options->rate;

  if (load->arrival.due_us >= load->end_us)
    {
      load->is_stopped = load->open == 0;
      return;
    }
  call_start (load, now_us);
  sgr_timer_arm (load->timers, &load->arrival, load->arrival.due_us + (uint64_t)gap_us);
}

static int
rows_print (const load_t *load)
{
  uint64_t wrong = 0;

  printf ("%-12s %7s %7s %7s %7s %7s %7s %7s %8s %8s\n", "service", "calls", "whole", "not-run",
          "unknown", "failed", "wrong", "repeats", "p50 ms", "p99 ms");
  for (size_t i = 0; i < load->options->service_count; i++)
    {
      const row_t *row = &load->rows[i];

      printf ("%-12s %7lu %7lu %7lu %7lu %7lu %7lu %7lu %8.1f %8.1f\n",
              load->options->services[i].name, row->calls, row->whole, row->not_run, row->unknown,
              row->failed, row->wrong, row->repeats,
              (double)sgr_histogram_quantile (&row->latency, 0.5) / 1000.0,
              (double)sgr_histogram_quantile (&row->latency, 0.99) / 1000.0);
      wrong += row->wrong;
    }
  return wrong > 0 ? 1 : 0;
}

int
sgr_caller_run (const sgr_caller_options_t *options)
{
  load_t *load = calloc (1, sizeof *load);
  uint64_t now_us = sgr_clock_monotonic_us ();
  int status;

  sgr_invariant (load != NULL);
  load->options = options;
  load->loop = h2o_evloop_create ();
  load->timers = sgr_timer_heap_create ();
  load->fetcher = sgr_http_fetcher_create (load->loop, IO_TIMEOUT_MS, 2 * LARGE_BYTES);
  sgr_rng_seed (&load->rng, options->seed);
  load->end_us = now_us + options->seconds * SGR_USEC_PER_SEC;
  if (options->report_path != NULL && (load->report = fopen (options->report_path, "w")) == NULL)
    {
      perror (options->report_path);
      return 1;
    }
  load->arrival = (sgr_timer_t){ .fire = on_arrival, .ctx = load };
  sgr_timer_arm (load->timers, &load->arrival, now_us);
  sgr_task_loop_run (load->loop, load->timers, &load->is_stopped);
  if (load->report != NULL)
    fclose (load->report);
  status = rows_print (load);
  sgr_timer_heap_destroy (load->timers);
  free (load);
  return status;
}
