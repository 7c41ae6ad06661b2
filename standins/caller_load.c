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

/* A call, and the request for its idempotency key, are each sent at most this many times. */
#define SENDS_MAX 4
#define REPEAT_DELAY_US (100 * SGR_USEC_PER_MSEC)
#define LARGE_ANSWER_BYTES 2000000
#define IO_TIMEOUT_MS 15000

/**
 * struct service_stats_t - the calls of one service, counted by their result
 * @calls: calls started
 * @repeats: times that a call was sent again
 * @complete: calls that ended with the expected answer; column "whole" of the table
 * @not_run: calls that failed and whose last request did not run; includes writes that received no
 *           key
 * @unknown: calls that failed and whose last request may have run
 * @failed: calls that ended with a status other than 200 and without an outcome in the answer
 * @wrong: calls that ended with an answer of status 200 and an unexpected body
 * @latency: time from the start of a call to its answer of status 200, in microseconds
 */
typedef struct
{
  uint64_t calls;
  uint64_t repeats;
  uint64_t complete;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t failed;
  uint64_t wrong;
  sgr_histogram_t latency;
} service_stats_t;

/**
 * struct generator_t - the load generator
 * @arrival_timer: starts the next call
 * @end_us: time at which no more calls are started
 * @calls_started: calls started so far
 * @calls_open: calls that have not ended
 * @is_stopped: the event loop is to end
 */
typedef struct
{
  const sgr_caller_options_t *options;
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_http_fetcher_t *fetcher;
  sgr_rng_t rng;
  sgr_timer_t arrival_timer;
  uint64_t end_us;
  uint64_t calls_started;
  uint64_t calls_open;
  bool is_stopped;
  FILE *report_file;
  service_stats_t service_stats[SGR_CALLER_SERVICES_MAX];
} generator_t;

/**
 * struct call_t - one call
 * @service_index: index of its service in the options
 * @id: id of the call, which the expected answer depends on
 * @key: issued idempotency key of a write, else empty
 * @send_count: times that the call, or before it the request for its key, was sent
 * @repeat_timer: sends the call again
 */
typedef struct
{
  generator_t *generator;
  size_t service_index;
  char id[32];
  char key[128];
  unsigned send_count;
  uint64_t start_us;
  sgr_timer_t repeat_timer;
} call_t;

static void call_send (call_t *call);

static const sgr_caller_service_t *
call_service (const call_t *call)
{
  return &call->generator->options->services[call->service_index];
}

static const sgr_address_t *
node_pick_random (generator_t *generator)
{
  return &generator->options
              ->nodes[sgr_rng_below (&generator->rng, generator->options->node_count)];
}

static void
call_finish (call_t *call, const char *outcome)
{
  generator_t *generator = call->generator;

  if (generator->report_file != NULL && call_service (call)->kind == SGR_CALLER_WRITE)
    fprintf (generator->report_file, "%s %s\n", call->id, outcome);
  generator->calls_open--;
  generator->is_stopped
      = generator->calls_open == 0 && sgr_clock_monotonic_us () >= generator->end_us;
  sgr_timer_cancel (generator->timers, &call->repeat_timer);
  free (call);
}

/* The target stand-in answers with the id of the call and a line feed, or for a large answer with
   letters that depend on their offset and on the first byte of the id. */
static bool
is_expected_body (const call_t *call, const sgr_http_fetch_reply_t *reply)
{
  size_t length = strlen (call->id);

  if (call_service (call)->kind != SGR_CALLER_LARGE)
    return reply->length == length + 1 && memcmp (reply->body, call->id, length) == 0;
  if (reply->length != LARGE_ANSWER_BYTES)
    return false;
  for (size_t i = 0; i < reply->length; i++)
    {
      if ((char)reply->body[i] != (char)('a' + (i + (uint8_t)call->id[0]) % 26))
        return false;
    }
  return true;
}

static void
on_repeat_timer (void *ctx, uint64_t now_us)
{
  call_t *call = ctx;

  call->generator->service_stats[call->service_index].repeats++;
  call_send (call);
}

/* Returns the outcome of a call that did not end with status 200. */
static const char *
outcome_parse (const sgr_http_fetch_reply_t *reply, bool *is_repeat_safe)
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
  service_stats_t *stats = &call->generator->service_stats[call->service_index];
  bool is_repeat_safe;
  const char *outcome;

  if (reply->error == NULL && reply->status == 200)
    {
      bool is_expected = is_expected_body (call, reply);

      sgr_histogram_record (&stats->latency, sgr_clock_monotonic_us () - call->start_us);
      stats->complete += is_expected;
      stats->wrong += !is_expected;
      call_finish (call, is_expected ? "complete" : "wrong");
      return;
    }
  outcome = outcome_parse (reply, &is_repeat_safe);
  /* Reads change nothing, and a write with an idempotency key runs at most once, so both may be
     sent again. */
  if (call->send_count < SENDS_MAX
      && (call->key[0] != '\0' || call_service (call)->kind != SGR_CALLER_WRITE))
    {
      sgr_timer_arm (call->generator->timers, &call->repeat_timer,
                     sgr_clock_monotonic_us () + REPEAT_DELAY_US);
      return;
    }
  stats->not_run += strcmp (outcome, "not-run") == 0;
  stats->unknown += strcmp (outcome, "unknown") == 0;
  stats->failed += strcmp (outcome, "failed") == 0;
  call_finish (call, outcome);
}

static void
request_send (call_t *call, const char *method, const char *path, const char *headers,
              sgr_http_fetch_cb_t done)
{
  sgr_http_fetch_request_t request = { .address = *node_pick_random (call->generator),
                                       .method = method,
                                       .path = path,
                                       .headers = headers };

  sgr_http_fetch_start (call->generator->fetcher, &request, done, call);
}

static void
call_send (call_t *call)
{
  const sgr_caller_service_t *service = call_service (call);
  char headers[512];
  char path[64];
  int length
      = snprintf (headers, sizeof headers,
                  "siskingrade-service: %s\r\nsiskingrade-tenant: demo\r\n"
                  "siskingrade-class: %s\r\nx-request-id: %s\r\n",
                  service->name, service->kind == SGR_CALLER_WRITE ? "write" : "read", call->id);

  if (call->key[0] != '\0')
    snprintf (headers + length, sizeof headers - (size_t)length, "idempotency-key: %s\r\n",
              call->key);
  snprintf (path, sizeof path, service->kind == SGR_CALLER_LARGE ? "/bytes/%d" : "/work",
            LARGE_ANSWER_BYTES);
  call->send_count++;
  request_send (call, service->kind == SGR_CALLER_WRITE ? "POST" : "GET", path, headers, on_answer);
}

static void key_request (call_t *call);

static void
on_key_reply (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  call_t *call = ctx;
  json_t *body = json_loadb ((const char *)reply->body, reply->length, 0, NULL);
  const char *key = json_string_value (json_object_get (body, "key"));

  if (reply->error == NULL && key != NULL)
    {
      snprintf (call->key, sizeof call->key, "%s", key);
      call->send_count = 0;
      call_send (call);
    }
  else if (call->send_count < SENDS_MAX)
    key_request (call);
  else
    {
      call->generator->service_stats[call->service_index].not_run++;
      call_finish (call, "not-run");
    }
  json_decref (body);
}

static void
key_request (call_t *call)
{
  char path[128];

  call->send_count++;
  snprintf (path, sizeof path, "/.siskingrade/keys?service=%s", call_service (call)->name);
  request_send (call, "POST", path, NULL, on_key_reply);
}

static void
call_start (generator_t *generator, uint64_t now_us)
{
  call_t *call = calloc (1, sizeof *call);

  sgr_invariant (call != NULL);
  call->generator = generator;
  call->service_index = generator->calls_started % generator->options->service_count;
  call->start_us = now_us;
  call->repeat_timer = (sgr_timer_t){ .fire = on_repeat_timer, .ctx = call };
  /* The first letter differs between consecutive calls, and with it the text of a large answer. */
  snprintf (call->id, sizeof call->id, "%c%lu-%lu", (char)('a' + generator->calls_started % 26),
            generator->options->seed, generator->calls_started);
  generator->calls_started++;
  generator->calls_open++;
  generator->service_stats[call->service_index].calls++;
  if (call_service (call)->kind == SGR_CALLER_WRITE)
    key_request (call);
  else
    call_send (call);
}

static void
on_arrival_timer (void *ctx, uint64_t now_us)
{
  generator_t *generator = ctx;
  /* Poisson arrivals: the times between calls are exponentially distributed. */
  double gap_us
      = -log (1.0 - sgr_rng_uniform (&generator->rng)) * 1e6 / (double)generator->options->rate;

  if (generator->arrival_timer.due_us >= generator->end_us)
    {
      generator->is_stopped = generator->calls_open == 0;
      return;
    }
  call_start (generator, now_us);
  sgr_timer_arm (generator->timers, &generator->arrival_timer,
                 generator->arrival_timer.due_us + (uint64_t)gap_us);
}

static int
stats_print (const generator_t *generator)
{
  uint64_t wrong = 0;

  printf ("%-12s %7s %7s %7s %7s %7s %7s %7s %8s %8s\n", "service", "calls", "whole", "not-run",
          "unknown", "failed", "wrong", "repeats", "p50 ms", "p99 ms");
  for (size_t i = 0; i < generator->options->service_count; i++)
    {
      const service_stats_t *stats = &generator->service_stats[i];

      printf ("%-12s %7lu %7lu %7lu %7lu %7lu %7lu %7lu %8.1f %8.1f\n",
              generator->options->services[i].name, stats->calls, stats->complete, stats->not_run,
              stats->unknown, stats->failed, stats->wrong, stats->repeats,
              (double)sgr_histogram_quantile (&stats->latency, 0.5) / 1000.0,
              (double)sgr_histogram_quantile (&stats->latency, 0.99) / 1000.0);
      wrong += stats->wrong;
    }
  return wrong > 0 ? 1 : 0;
}

int
sgr_caller_run (const sgr_caller_options_t *options)
{
  generator_t *generator = calloc (1, sizeof *generator);
  uint64_t now_us = sgr_clock_monotonic_us ();
  int status;

  sgr_invariant (generator != NULL);
  generator->options = options;
  generator->loop = h2o_evloop_create ();
  generator->timers = sgr_timer_heap_create ();
  generator->fetcher
      = sgr_http_fetcher_create (generator->loop, IO_TIMEOUT_MS, 2 * LARGE_ANSWER_BYTES);
  sgr_rng_seed (&generator->rng, options->seed);
  generator->end_us = now_us + options->seconds * SGR_USEC_PER_SEC;
  if (options->report_path != NULL
      && (generator->report_file = fopen (options->report_path, "w")) == NULL)
    {
      perror (options->report_path);
      return 1;
    }
  generator->arrival_timer = (sgr_timer_t){ .fire = on_arrival_timer, .ctx = generator };
  sgr_timer_arm (generator->timers, &generator->arrival_timer, now_us);
  sgr_task_loop_run (generator->loop, generator->timers, &generator->is_stopped);
  if (generator->report_file != NULL)
    fclose (generator->report_file);
  status = stats_print (generator);
  sgr_timer_heap_destroy (generator->timers);
  free (generator);
  return status;
}
