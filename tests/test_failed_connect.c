#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cmocka.h>

#include "http_fetch.h"
#include "peer_conn.h"
#include "platform.h"
#include "store_http.h"
#include "target_client.h"
#include "task_loop.h"

/* Operations whose connect() fails at once. None of them may run a handler before the function that
   started it has returned: its caller stores the handle only then, and would keep one that is
   freed. */

/* Time within which an operation whose connect() fails at once has to end. */
#define END_TIMEOUT_US (5 * SGR_USEC_PER_SEC)
#define STORE_TIMEOUT_MS 1000
#define WATCH_MS 1000
#define SILENCE_US (2 * SGR_USEC_PER_SEC)
#define KEY "key"

/* Broadcast address of the loopback network, to which TCP has no route. */
static const sgr_address_t no_route = { .ip = 0x7fffffff, .port = 9 };
static const sgr_address_t loopback = { .ip = 0x7f000001, .port = 9 };

/**
 * struct rig_t - the clients, and what their handlers were told
 * @address: address that all clients connect to
 * @cancel: ends the operation from within its last handler, NULL to let it end
 * @handle: operation in progress
 * @has_started: the function that started the operation has returned
 * @early: handlers that ran before
 * @ended: handlers that reported the end of the operation
 * @is_stopped: ends the event loop
 */
typedef struct rig_t
{
  sgr_address_t address;
  void (*cancel) (struct rig_t *rig);
  void *handle;
  bool has_started;
  unsigned early;
  unsigned ended;
  bool is_stopped;
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_timer_t stop_timer;
  sgr_target_client_t *target;
  sgr_http_fetcher_t *fetcher;
  sgr_store_t *store_http;
  sgr_store_t *store_platform;
  sgr_peer_conn_env_t peer_env;
  sgr_metrics_t *metrics;
} rig_t;

static void
end_record (rig_t *rig)
{
  rig->early += !rig->has_started;
  rig->ended++;
  rig->is_stopped = true;
  if (rig->has_started && rig->cancel != NULL)
    rig->cancel (rig);
}

static bool
on_starting (void *ctx)
{
  return true;
}

static void
on_head (void *ctx, int status, const sgr_http_field_t *fields, size_t count, int64_t body_length)
{
}

static void
on_body (void *ctx, const void *bytes, size_t length)
{
}

static void
on_done (void *ctx)
{
  fail_msg ("the request has an answer");
}

static void
on_target_failed (void *ctx, bool is_started, const char *reason)
{
  assert_false (is_started);
  end_record (ctx);
}

static void
target_start (rig_t *rig)
{
  static const sgr_target_handlers_t handlers = { .starting = on_starting,
                                                  .head = on_head,
                                                  .body = on_body,
                                                  .done = on_done,
                                                  .failed = on_target_failed };
  sgr_buffer_t head = { 0 };

  sgr_buffer_printf (&head, "GET / HTTP/1.1\r\nhost: one\r\n\r\n");
  rig->handle = sgr_target_request_start (rig->target, &head, NULL, false, &handlers, rig);
}

static void
target_cancel (rig_t *rig)
{
  sgr_target_request_cancel (rig->handle);
}

static void
on_fetched (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  assert_non_null (reply->error);
  assert_false (reply->sent);
  end_record (ctx);
}

static void
fetch_start (rig_t *rig)
{
  sgr_http_fetch_request_t request = { .address = rig->address, .method = "GET", .path = "/" };

  rig->handle = sgr_http_fetch_start (rig->fetcher, &request, on_fetched, rig);
}

static void
fetch_cancel (rig_t *rig)
{
  sgr_http_fetch_cancel (rig->handle);
}

static sgr_result_t
on_peer_ready (void *ctx, sgr_peer_conn_t *conn)
{
  return SGR_ERR_INVALID;
}

static sgr_result_t
on_peer_frame (void *ctx, sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame)
{
  return SGR_ERR_INVALID;
}

static void
on_peer_closed (void *ctx, sgr_peer_conn_t *conn, sgr_peer_close_t reason)
{
  assert_int_equal (reason, SGR_PEER_CLOSE_CONNECT_FAILED);
  end_record (ctx);
}

static void
peer_start (rig_t *rig)
{
  static const sgr_peer_conn_handlers_t handlers
      = { .ready = on_peer_ready, .frame = on_peer_frame, .closed = on_peer_closed };

  rig->handle = sgr_peer_conn_connect (&rig->peer_env, &rig->address, &handlers, rig);
  assert_non_null (rig->handle);
  /* A link does this for an attempt that waits. */
  sgr_peer_conn_waiting_set (rig->handle, 1);
}

static void
peer_cancel (rig_t *rig)
{
  sgr_peer_conn_close (rig->handle);
}

static void
on_store_reply (void *ctx, const sgr_store_reply_t *reply)
{
  assert_int_equal (reply->outcome, SGR_STORE_UNAVAILABLE);
  end_record (ctx);
}

static void
store_call_start (rig_t *rig, sgr_store_t *store, const char *call)
{
  const sgr_store_version_t after = { .number = 1 };

  if (strcmp (call, "get") == 0)
    rig->handle = store->get (store, KEY, on_store_reply, rig);
  else if (strcmp (call, "list") == 0)
    rig->handle = store->list (store, KEY, on_store_reply, rig);
  else if (strcmp (call, "swap") == 0)
    rig->handle = store->swap (store, KEY, 0, "a", 1, on_store_reply, rig);
  else if (strcmp (call, "lease") == 0)
    rig->handle = store->lease (store, KEY, "holder", WATCH_MS, on_store_reply, rig);
  else if (strcmp (call, "watch") == 0)
    rig->handle = store->watch (store, KEY, after, WATCH_MS, on_store_reply, rig);
  else
    rig->handle = store->watch_prefix (store, KEY, after, WATCH_MS, on_store_reply, rig);
  assert_non_null (rig->handle);
}

#define STORE_STARTER(store, call)                                                                 \
  static void store##_##call##_start (rig_t *rig) { store_call_start (rig, rig->store, #call); }

STORE_STARTER (store_http, get)
STORE_STARTER (store_http, list)
STORE_STARTER (store_http, swap)
STORE_STARTER (store_http, lease)
STORE_STARTER (store_http, watch)
STORE_STARTER (store_http, watch_prefix)
STORE_STARTER (store_platform, get)
STORE_STARTER (store_platform, list)
STORE_STARTER (store_platform, swap)
STORE_STARTER (store_platform, watch)
STORE_STARTER (store_platform, watch_prefix)

static void
store_http_cancel (rig_t *rig)
{
  rig->store_http->cancel (rig->store_http, rig->handle);
}

static void
store_platform_cancel (rig_t *rig)
{
  rig->store_platform->cancel (rig->store_platform, rig->handle);
}

/**
 * struct starter_t - a function that takes handlers and returns a handle
 * @name: description for messages
 * @start: starts an operation
 * @cancel: ends it without a handler
 * @may_cancel_in_handler: @cancel may be called from within the last handler as well
 */
typedef struct
{
  const char *name;
  void (*start) (rig_t *rig);
  void (*cancel) (rig_t *rig);
  bool may_cancel_in_handler;
} starter_t;

static const starter_t starters[] = {
  { "target request", target_start, target_cancel, true },
  { "fetch", fetch_start, fetch_cancel, true },
  { "peer connection", peer_start, peer_cancel, true },
  { "get", store_http_get_start, store_http_cancel, false },
  { "list", store_http_list_start, store_http_cancel, false },
  { "swap", store_http_swap_start, store_http_cancel, false },
  { "lease", store_http_lease_start, store_http_cancel, false },
  { "watch", store_http_watch_start, store_http_cancel, false },
  { "watch of a prefix", store_http_watch_prefix_start, store_http_cancel, false },
  { "platform get", store_platform_get_start, store_platform_cancel, false },
  { "platform list", store_platform_list_start, store_platform_cancel, false },
  { "platform swap", store_platform_swap_start, store_platform_cancel, false },
  { "platform watch", store_platform_watch_start, store_platform_cancel, false },
  { "platform watch of a prefix", store_platform_watch_prefix_start, store_platform_cancel, false },
};

#define STARTER_COUNT (sizeof starters / sizeof starters[0])

static void
load_fill (void *ctx, Sgr__Pb__LoadReport *load)
{
  sgr__pb__load_report__init (load);
}

static void
on_stop_timer (void *ctx, uint64_t now_us)
{
  ((rig_t *)ctx)->is_stopped = true;
}

static void
rig_create (rig_t *rig, const sgr_address_t *address)
{
  sgr_store_http_options_t options = { .address = *address, .timeout_ms = STORE_TIMEOUT_MS };
  sgr_settings_t settings = { .store = *address };

  *rig = (rig_t){ .address = *address, .loop = h2o_evloop_create () };
  rig->timers = sgr_timer_heap_create ();
  rig->stop_timer = (sgr_timer_t){ .fire = on_stop_timer, .ctx = rig };
  rig->target = sgr_target_client_create (rig->loop, address, 4);
  rig->fetcher = sgr_http_fetcher_create (rig->loop, STORE_TIMEOUT_MS, 1024);
  rig->store_http = sgr_store_http_create (rig->loop, &options);
  rig->store_platform = sgr_platform_store_create (rig->loop, &settings);
  rig->metrics = sgr_metrics_create ();
  rig->peer_env = (sgr_peer_conn_env_t){ .loop = rig->loop,
                                         .timers = rig->timers,
                                         .node = 1,
                                         .boot = 1,
                                         .heartbeat_us = SILENCE_US,
                                         .idle_ping_us = SILENCE_US,
                                         .silence_us = SILENCE_US,
                                         .load_fill = load_fill };
  for (int i = 0; i < SGR_PEER_CLOSE_COUNT; i++)
    rig->peer_env.closed[i] = sgr_metrics_counter (rig->metrics, "closed", sgr_peer_close_name (i));
  rig->peer_env.bytes_in = sgr_metrics_counter (rig->metrics, "in", "");
  rig->peer_env.bytes_out = sgr_metrics_counter (rig->metrics, "out", "");
}

/* Runs the loop until the operation has ended, or for @timeout_us. */
static void
rig_run (rig_t *rig, uint64_t timeout_us)
{
  rig->is_stopped = rig->ended > 0;
  sgr_timer_arm (rig->timers, &rig->stop_timer, sgr_clock_monotonic_us () + timeout_us);
  sgr_task_loop_run (rig->loop, rig->timers, &rig->is_stopped);
  sgr_timer_cancel (rig->timers, &rig->stop_timer);
}

static void
rig_destroy (rig_t *rig)
{
  /* The connection of a peer is freed by a timer. */
  rig->ended = 0;
  rig_run (rig, SGR_USEC_PER_MSEC);
  assert_true (sgr_target_client_is_idle (rig->target));
  sgr_target_client_destroy (rig->target);
  sgr_http_fetcher_destroy (rig->fetcher);
  sgr_store_http_destroy (rig->store_http);
  sgr_platform_store_destroy (rig->store_platform);
  sgr_metrics_destroy (rig->metrics);
  sgr_timer_heap_destroy (rig->timers);
  h2o_evloop_run (rig->loop, 0);
  h2o_evloop_destroy (rig->loop);
}

static void
starter_run (const starter_t *starter, const sgr_address_t *address, bool cancels_in_handler)
{
  rig_t rig;

  rig_create (&rig, address);
  rig.cancel = cancels_in_handler ? starter->cancel : NULL;
  starter->start (&rig);
  rig.has_started = true;
  rig_run (&rig, END_TIMEOUT_US);
  if (rig.early != 0 || rig.ended != 1)
    fail_msg ("%s: %u handlers ran before its start had returned, %u in all", starter->name,
              rig.early, rig.ended);
  rig_destroy (&rig);
}

/* Guards against a handler that runs before its start function has returned, when connect() fails
   at once because there is no route. */
static void
test_no_route (void **state)
{
  for (size_t i = 0; i < STARTER_COUNT; i++)
    starter_run (&starters[i], &no_route, false);
}

/* Guards against the same when no descriptor is left for a socket. */
static void
test_no_descriptor (void **state)
{
  struct rlimit former, limit;

  getrlimit (RLIMIT_NOFILE, &former);
  for (size_t i = 0; i < STARTER_COUNT; i++)
    {
      const starter_t *starter = &starters[i];
      rig_t rig;

      rig_create (&rig, &loopback);
      limit = former;
      limit.rlim_cur = (rlim_t)dup (STDIN_FILENO);
      close ((int)limit.rlim_cur);
      assert_int_equal (setrlimit (RLIMIT_NOFILE, &limit), 0);
      starter->start (&rig);
      rig.has_started = true;
      rig_run (&rig, END_TIMEOUT_US);
      assert_int_equal (setrlimit (RLIMIT_NOFILE, &former), 0);
      if (rig.early != 0 || rig.ended != 1)
        fail_msg ("%s: %u handlers ran before its start had returned, %u in all", starter->name,
                  rig.early, rig.ended);
      rig_destroy (&rig);
    }
}

/* Guards against a handler that runs after its operation was cancelled, before the event loop has
   seen the failure. */
static void
test_cancel_after_start (void **state)
{
  for (size_t i = 0; i < STARTER_COUNT; i++)
    {
      rig_t rig;

      rig_create (&rig, &no_route);
      starters[i].start (&rig);
      rig.has_started = true;
      starters[i].cancel (&rig);
      rig_run (&rig, 10 * SGR_USEC_PER_MSEC);
      if (rig.ended != 0)
        fail_msg ("%s: a handler ran after the cancel", starters[i].name);
      rig_destroy (&rig);
    }
}

/* Guards against an operation that is freed twice, because its last handler cancels it. */
static void
test_cancel_in_handler (void **state)
{
  for (size_t i = 0; i < STARTER_COUNT; i++)
    if (starters[i].may_cancel_in_handler)
      starter_run (&starters[i], &no_route, true);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_no_route), cmocka_unit_test (test_no_descriptor),
          cmocka_unit_test (test_cancel_after_start), cmocka_unit_test (test_cancel_in_handler) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
