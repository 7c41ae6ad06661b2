#include <arpa/inet.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

#include "call_fields.h"
#include "data_task.h"
#include "http_listener.h"
#include "http_probe.h"
#include "node_fixture.h"
#include "scripted_peer.h"
#include "types.h"

/* Tests of starting and stopping the thread of the data task, and of requests that it refuses. */

#define REQUEST_COUNT 5
/* Larger than what the kernel buffers of one connection. */
#define LARGE_ANSWER_BYTES (24U * 1024 * 1024)
/* Credit that the simulated entry grants at a time; the gate accepts no more. */
#define CREDIT_BYTES (1024U * 1024)
/* After this time the simulated entry reads the answer even if the task has not drained. */
#define READ_DELAY_US (300 * SGR_USEC_PER_MSEC)
#define EVENT_TIMEOUT_US (20 * SGR_USEC_PER_SEC)

static atomic_int drained_count;

static void
on_event (void *ctx)
{
}

static void
on_drained (void *ctx, size_t open_calls)
{
  atomic_fetch_add (&drained_count, 1);
}

static void
on_key_bind (void *ctx, sgr_data_key_bind_request_t *bind)
{
}

static const sgr_data_task_events_t events
    = { .drained = on_drained, .key_bind = on_key_bind, .target_unreachable = on_event };

static void
settings_make (sgr_settings_t *settings, const char *routing)
{
  sgr_buffer_t errors = { 0 };
  char text[512];

  snprintf (text, sizeof text,
            "node:\n  deployment: test\n  name: one\n  region: test\n  failure_domain: test-1\n"
            "listen:\n  callers: 127.0.0.1:%u\n  peers: 127.0.0.1:%u\n  control: 127.0.0.1:%u\n"
            "store: 127.0.0.1:1\napproval: outside\nrouting: %s\n",
            sgr_fixture_port_find (), sgr_fixture_port_find (), sgr_fixture_port_find (), routing);
  if (sgr_settings_parse (settings, "test", text, strlen (text), &errors) != SGR_OK)
    fail_msg ("%.*s", (int)errors.length, (const char *)errors.bytes);
  sgr_buffer_release (&errors);
}

/* Checks that h2o buffers return to the pool of the thread that took them. Otherwise two threads
   change one pool at the same time and corrupt the heap. */
static void
test_buffers_stay_in_their_thread (void **state)
{
  const h2o_mem_recycle_t *pool = &h2o_socket_buffer_prototype.allocator;
  size_t before = pool->cnt;
  sgr_buffer_t errors = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *task;

  settings_make (&settings, "by-route");
  task = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL, &errors);
  assert_non_null (task);
  for (int i = 0; i < REQUEST_COUNT; i++)
    {
      sgr_probe_request_t request = { .port = settings.callers.port, .path = "/" };
      sgr_probe_answer_t answer;

      sgr_data_task_snapshot_send (task, sgr_snapshot_create (0, 0, 0));
      sgr_probe_call (&request, &answer);
      assert_int_equal (answer.end, SGR_PROBE_WHOLE);
      sgr_probe_release (&answer);
    }
  sgr_data_task_stop (task);
  sgr_data_task_join (task);
  assert_int_equal (pool->cnt, before);
  sgr_buffer_release (&errors);
}

/* Checks that the start of the task fails with an error message, and does not hang, if a port is
   already in use. */
static void
test_port_is_taken (void **state)
{
  sgr_buffer_t errors = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *first;

  settings_make (&settings, "by-route");
  first = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL, &errors);
  assert_non_null (first);
  assert_null (
      sgr_data_task_start (&settings, &sgr_call_fields_default, 2, &events, NULL, &errors));
  sgr_buffer_append (&errors, "", 1);
  assert_non_null (strstr ((const char *)errors.bytes, "listen.peers: cannot listen on"));
  sgr_data_task_stop (first);
  sgr_data_task_join (first);
  sgr_buffer_release (&errors);
}

/* Target that answers one request with LARGE_ANSWER_BYTES. */
static void *
large_target_run (void *argument)
{
  int listener = *(int *)argument;
  int fd = accept (listener, NULL, NULL);
  static char text[64 * 1024];
  char head[128];
  int length = snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n",
                         LARGE_ANSWER_BYTES);

  assert_true (recv (fd, text, sizeof text, 0) > 0);
  memset (text, 'z', sizeof text);
  assert_int_equal (send (fd, head, (size_t)length, MSG_NOSIGNAL), length);
  for (size_t sent = 0; sent < LARGE_ANSWER_BYTES; sent += sizeof text)
    {
      for (size_t done = 0; done < sizeof text;)
        {
          ssize_t part = send (fd, text + done, sizeof text - done, MSG_NOSIGNAL);

          assert_true (part > 0);
          done += (size_t)part;
        }
    }
  close (fd);
  return NULL;
}

static sgr_address_t
target_listen (int *listener)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  *listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_int_equal (bind (*listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (*listener, 4), 0);
  assert_int_equal (getsockname (*listener, (struct sockaddr *)&address, &size), 0);
  return (sgr_address_t){ .ip = INADDR_LOOPBACK, .port = ntohs (address.sin_port) };
}

/* A snapshot with a local target of the service "one". */
static sgr_snapshot_t *
target_snapshot_create (const sgr_address_t *target)
{
  sgr_snapshot_t *snapshot = sgr_snapshot_create (0, 1, 0);

  snapshot->local = (sgr_local_target_t){
    .service = "one", .address = *target, .state = SGR_TARGET_SERVING, .slots = 4
  };
  snapshot->config_revision = 1;
  sgr_policy_init (&snapshot->policies[0], "one");
  snapshot->policy_count = 1;
  return snapshot;
}

/* Connects to the gate as an entry, with a small receive buffer, and reads the gate's Hello. */
static int
entry_connect (const sgr_settings_t *settings, sgr_buffer_t *input, uint64_t *gate_boot)
{
  struct timeval timeout = { .tv_sec = 10 };
  int fd = sgr_probe_connect (settings->peers.port);
  sgr_buffer_t out = { 0 };
  Sgr__Pb__PeerFrame *hello;

  assert_true (fd >= 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  sgr_scripted_hello_append (&out, SGR_FRAME_VERSION, SGR_SCRIPTED_NODE, true);
  assert_int_equal (send (fd, out.bytes, out.length, MSG_NOSIGNAL), (ssize_t)out.length);
  sgr_buffer_release (&out);
  hello = sgr_scripted_frame_read (fd, input);
  assert_non_null (hello);
  *gate_boot = hello->hello->boot;
  sgr_frame_free (hello);
  return fd;
}

/* Grants credit until the target's answer has arrived at the gate completely. Reads nothing, so
   that most of the answer waits in the gate. */
static void
answer_await_unread (const sgr_data_task_t *task, int fd)
{
  uint64_t end_us = sgr_clock_monotonic_us () + EVENT_TIMEOUT_US;
  sgr_buffer_t out = { 0 };

  sgr_scripted_credit_append (&out, 1, CREDIT_BYTES);
  while (sgr_counter_get (sgr_data_task_completed_counter (task)) == 0)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      send (fd, out.bytes, out.length, MSG_NOSIGNAL | MSG_DONTWAIT);
      sgr_fixture_poll_sleep ();
    }
  sgr_buffer_release (&out);
}

/* Reads frames until the end of the answer or of the connection. Returns the body bytes of a whole
   answer, 0 if it was cut. */
static size_t
answer_length_read (int fd, sgr_buffer_t *input)
{
  Sgr__Pb__PeerFrame *frame;
  size_t length = 0;
  bool is_whole = false;

  while (!is_whole && (frame = sgr_scripted_frame_read (fd, input)) != NULL)
    {
      if (frame->body_case == SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK)
        length += frame->answer_chunk->data.len;
      is_whole = frame->body_case == SGR__PB__PEER_FRAME__BODY_ANSWER_END;
      sgr_frame_free (frame);
    }
  return is_whole ? length : 0;
}

/** struct late_reader_t - entry that reads its answer only after the gate was told to stop */
typedef struct
{
  int fd;
  sgr_buffer_t input;
  size_t length;
} late_reader_t;

/* Grants credit without reading, so that the gate queues the whole answer; reads it afterwards. */
static void *
late_reader_run (void *argument)
{
  late_reader_t *reader = argument;
  uint64_t end_us = sgr_clock_monotonic_us () + READ_DELAY_US;
  sgr_buffer_t out = { 0 };

  sgr_scripted_credit_append (&out, 1, CREDIT_BYTES);
  while (atomic_load (&drained_count) == 0 && sgr_clock_monotonic_us () < end_us)
    {
      send (reader->fd, out.bytes, out.length, MSG_NOSIGNAL | MSG_DONTWAIT);
      sgr_fixture_poll_sleep ();
    }
  sgr_buffer_release (&out);
  reader->length = answer_length_read (reader->fd, &reader->input);
  close (reader->fd);
  return NULL;
}

/* Guards against a planned stop that cuts an answer: the gate has queued the whole answer, but the
   entry has not read it yet, when the gate closes its connections. */
static void
test_stop_delivers_queued_answer (void **state)
{
  late_reader_t reader = { 0 };
  sgr_buffer_t errors = { 0 };
  sgr_buffer_t out = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *task;
  sgr_address_t target;
  pthread_t target_thread, reader_thread;
  uint64_t gate_boot;
  int listener;

  atomic_store (&drained_count, 0);
  target = target_listen (&listener);
  assert_int_equal (pthread_create (&target_thread, NULL, large_target_run, &listener), 0);
  settings_make (&settings, "by-route");
  task = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL, &errors);
  assert_non_null (task);
  sgr_data_task_snapshot_send (task, target_snapshot_create (&target));
  reader.fd = entry_connect (&settings, &reader.input, &gate_boot);
  sgr_scripted_call_append (&out, &(sgr_scripted_call_t){ .sequence = 1,
                                                          .gate_boot = gate_boot,
                                                          .remaining_us = EVENT_TIMEOUT_US });
  assert_int_equal (send (reader.fd, out.bytes, out.length, MSG_NOSIGNAL), (ssize_t)out.length);
  answer_await_unread (task, reader.fd);
  sgr_data_task_drain (task);
  assert_int_equal (pthread_create (&reader_thread, NULL, late_reader_run, &reader), 0);
  while (atomic_load (&drained_count) == 0)
    sgr_fixture_poll_sleep ();
  sgr_data_task_stop (task);
  sgr_data_task_join (task);
  pthread_join (reader_thread, NULL);
  pthread_join (target_thread, NULL);
  close (listener);
  sgr_buffer_release (&reader.input);
  sgr_buffer_release (&errors);
  sgr_buffer_release (&out);
  assert_int_equal (reader.length, LARGE_ANSWER_BYTES);
}

/* Sends requests until one is answered with @status and @reason, because the task applies a
   snapshot some time after it was sent. Only an answer with 503 may say when to come back. */
static bool
refusal_await (uint16_t port, int status, const char *reason)
{
  sgr_probe_request_t request = { .port = port, .path = "/added/" };
  uint64_t end_us = sgr_clock_monotonic_us () + EVENT_TIMEOUT_US;
  bool is_found;

  do
    {
      sgr_probe_answer_t answer;
      char text[32];

      sgr_probe_call (&request, &answer);
      assert_int_equal (sgr_probe_field (&answer, "Retry-After", text, sizeof text),
                        answer.status == 503);
      sgr_probe_field (&answer, "Siskingrade-Reason", text, sizeof text);
      is_found = answer.status == status && strcmp (text, reason) == 0;
      sgr_probe_release (&answer);
      sgr_fixture_poll_sleep ();
    }
  while (!is_found && sgr_clock_monotonic_us () < end_us);
  return is_found;
}

/* Guards against a final answer from incomplete knowledge: a node that knows of a newer
   configuration than its own answered 404 for a route or service that the newer one may have, and
   callers do not repeat a request after 404. After a long time the node answers 404 again. */
static void
test_no_404_while_behind (void **state)
{
  static const sgr_route_part_t part = { "one", 1 };
  static const struct
  {
    const char *name;
    const char *routing;
    uint64_t newer_by;       /* revisions by which a peer is ahead */
    uint64_t seen_before_us; /* time since the node heard of it */
    const char *reason;
    int status;
    bool has_routes;
  } cases[] = {
    { "unknown route", "by-route", 0, 0, "no-route", 404, true },
    { "unknown route, a peer is ahead", "by-route", 1, 0, "configuration-behind", 503, true },
    { "unknown route, a peer has been ahead for long", "by-route", 1, 60 * SGR_USEC_PER_SEC,
      "no-route", 404, true },
    { "no routes", "by-route", 0, 0, "no-route", 404, false },
    { "no routes, a peer is ahead", "by-route", 1, 0, "configuration-behind", 503, false },
    { "unknown service", "by-service", 0, 0, "unknown-service", 404, false },
    { "unknown service, unused routes", "by-service", 0, 0, "unknown-service", 404, true },
    { "unknown service, a peer is ahead", "by-service", 1, 0, "configuration-behind", 503, false },
    { "unknown service, a peer has been ahead for long", "by-service", 1, 60 * SGR_USEC_PER_SEC,
      "unknown-service", 404, false },
  };
  const char *routing = "";
  sgr_buffer_t errors = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *task = NULL;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_snapshot_t *snapshot = sgr_snapshot_create (0, 0, cases[i].has_routes);

      if (strcmp (routing, cases[i].routing) != 0)
        {
          if (task != NULL)
            {
              sgr_data_task_stop (task);
              sgr_data_task_join (task);
            }
          routing = cases[i].routing;
          settings_make (&settings, routing);
          task = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL,
                                      &errors);
          assert_non_null (task);
          if (!refusal_await (settings.callers.port, 503, "no-configuration"))
            fail_msg ("%s: no answer 503 before a configuration is known", routing);
        }
      /* The task reads routes only from a snapshot with another revision. */
      snapshot->config_revision = 10 * (i + 1);
      snapshot->newest_revision = snapshot->config_revision + cases[i].newer_by;
      snapshot->newest_seen_us = sgr_clock_monotonic_us () - cases[i].seen_before_us;
      snapshot->route_count = cases[i].has_routes;
      if (cases[i].has_routes)
        snapshot->routes[0] = (sgr_route_t){
          .host = "other.example", .prefix = "/", .parts = &part, .part_count = 1
        };
      sgr_data_task_snapshot_send (task, snapshot);
      if (!refusal_await (settings.callers.port, cases[i].status, cases[i].reason))
        fail_msg ("%s: no answer %d %s", cases[i].name, cases[i].status, cases[i].reason);
    }
  sgr_data_task_stop (task);
  sgr_data_task_join (task);
  sgr_buffer_release (&errors);
}

/* Guards against services that callers reach by their names once the configuration has no routes.
 */
static void
test_no_routes_open_no_service (void **state)
{
  static const char *const fields[] = { "", "Siskingrade-Service: test\r\n" };
  sgr_snapshot_t *snapshot = sgr_snapshot_create (0, 1, 0);
  sgr_buffer_t errors = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *task;

  settings_make (&settings, "by-route");
  task = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL, &errors);
  assert_non_null (task);
  /* The host of the requests names the service, too. */
  sgr_policy_init (&snapshot->policies[0], "test");
  snapshot->policy_count = 1;
  snapshot->config_revision = 1;
  snapshot->newest_revision = 1;
  sgr_data_task_snapshot_send (task, snapshot);
  assert_true (refusal_await (settings.callers.port, 404, "no-route"));
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    {
      sgr_probe_request_t request
          = { .port = settings.callers.port, .path = "/", .fields = fields[i] };
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      assert_int_equal (answer.status, 404);
      sgr_probe_release (&answer);
    }
  sgr_data_task_stop (task);
  sgr_data_task_join (task);
  sgr_buffer_release (&errors);
}

/* Guards against a request on a route that cannot be carried out, or whose service cannot, and that
   falls to a shorter prefix or gets a final 404. */
static void
test_unusable_entries_are_refused (void **state)
{
  static const sgr_route_part_t part = { "missing", 1 };
  const sgr_route_t shorter = { .host = "test", .prefix = "/", .parts = &part, .part_count = 1 };
  const sgr_route_t unusable = { .host = "test", .prefix = "/added/", .is_unusable = true };
  sgr_buffer_t errors = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *task;

  settings_make (&settings, "by-route");
  task = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL, &errors);
  assert_non_null (task);
  for (int i = 0; i < 3; i++)
    {
      static const char *const reasons[] = { "unusable-route", "unusable-service", "hidden-route" };
      sgr_snapshot_t *snapshot = sgr_snapshot_create (0, 0, 2);

      snapshot->config_revision = (uint64_t)i + 1;
      snapshot->newest_revision = snapshot->config_revision;
      if (i < 2)
        sgr_route_copy (&snapshot->routes[snapshot->route_count++], &shorter);
      if (i != 1)
        sgr_route_copy (&snapshot->routes[snapshot->route_count++], &unusable);
      if (i == 2)
        {
          /* Only the route of another path is known. */
          sgr_route_release (&snapshot->routes[0]);
          sgr_route_copy (
              &snapshot->routes[0],
              &(sgr_route_t){ .host = "other", .prefix = "/", .parts = &part, .part_count = 1 });
          snapshot->has_hidden_routes = true;
        }
      sgr_data_task_snapshot_send (task, snapshot);
      if (!refusal_await (settings.callers.port, 503, reasons[i]))
        fail_msg ("no answer 503 %s", reasons[i]);
    }
  sgr_data_task_stop (task);
  sgr_data_task_join (task);
  sgr_buffer_release (&errors);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_routes_open_no_service),
    cmocka_unit_test (test_unusable_entries_are_refused),
    cmocka_unit_test (test_buffers_stay_in_their_thread),
    cmocka_unit_test (test_port_is_taken),
    cmocka_unit_test (test_stop_delivers_queued_answer),
    cmocka_unit_test (test_no_404_while_behind),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
