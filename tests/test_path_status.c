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
#include <unistd.h>

#include <cmocka.h>

#include "buffer.h"
#include "node_fixture.h"
#include "scripted_peer.h"

/* Guards against an answer whose status is not that of a final answer, such as 000, which reaches a
   caller as an answer. Such an answer ends only its own request: the outcome is unknown, because
   the request was sent, and other calls on the same connections go on. */

enum
{
  ENTRY,
  GATE,
};

/**
 * struct status_case_t - a status as the target writes it
 * @text: status in the status line; NULL for interim answers without end
 * @status: status that a caller receives, 0 if the answer is refused
 */
typedef struct
{
  const char *text;
  int status;
} status_case_t;

static const status_case_t cases[] = {
  { "000", 0 },   { "001", 0 },   { "099", 0 },   { "101", 0 },   { NULL, 0 },    { "200", 200 },
  { "299", 299 }, { "300", 300 }, { "404", 404 }, { "499", 499 }, { "500", 500 }, { "599", 599 },
  { "600", 0 },   { "700", 0 },   { "999", 0 },   { "1000", 0 },  { "2000", 0 },  { "20", 0 },
  { "2", 0 },     { "", 0 },      { "+200", 0 },  { "-200", 0 },  { "+20", 0 },   { "abc", 0 },
  { "2OO", 0 },   { "0x1", 0 },
};

#define CASE_COUNT (sizeof cases / sizeof cases[0])

static sgr_fixture_t fixture;
static int target_listener, peer_listener;
static uint16_t peer_port;
static _Atomic (const status_case_t *) current_case;
/* A request for /held is answered when this is set. */
static atomic_bool is_released;
/* Status in the next AnswerHead frame of the simulated gate. */
static _Atomic uint32_t frame_status;

static bool
text_send (int fd, const char *text)
{
  return send (fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t)strlen (text);
}

static bool
answer_send (int fd, bool is_case)
{
  const status_case_t *status = atomic_load (&current_case);
  char text[128];

  if (is_case && status->text == NULL)
    {
      while (text_send (fd, "HTTP/1.1 100 Continue\r\n\r\n"))
        ;
      return false;
    }
  snprintf (text, sizeof text, "HTTP/1.1 %s Reason\r\nContent-Length: 3\r\n\r\nabc",
            is_case ? status->text : "200");
  return text_send (fd, text);
}

/* Serves the requests of one connection, which have no body, until it ends. */
static void *
target_connection_run (void *argument)
{
  int fd = (int)(intptr_t)argument;
  char input[8192];
  size_t length = 0;
  ssize_t received;

  while ((received = recv (fd, input + length, sizeof input - 1 - length, 0)) > 0)
    {
      length += (size_t)received;
      input[length] = '\0';
      if (strstr (input, "\r\n\r\n") == NULL)
        continue;
      while (strstr (input, "/held ") != NULL && !atomic_load (&is_released))
        sgr_fixture_poll_sleep ();
      if (!answer_send (fd, strstr (input, "/case ") != NULL))
        break;
      length = 0;
    }
  close (fd);
  return NULL;
}

static void *
target_run (void *argument)
{
  for (;;)
    {
      int fd = accept4 (target_listener, NULL, NULL, SOCK_CLOEXEC);
      pthread_t thread;

      if (fd < 0)
        return NULL;
      if (pthread_create (&thread, NULL, target_connection_run, (void *)(intptr_t)fd) == 0)
        pthread_detach (thread);
    }
}

/* Sends a whole answer of three bytes to an attempt, as a gate does. */
static void
frames_send (int fd, Sgr__Pb__AttemptId *id, uint32_t status)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__AnswerHead head = SGR__PB__ANSWER_HEAD__INIT;
  Sgr__Pb__AnswerChunk chunk = SGR__PB__ANSWER_CHUNK__INIT;
  Sgr__Pb__AnswerEnd end = SGR__PB__ANSWER_END__INIT;
  sgr_buffer_t out = { 0 };

  head.id = chunk.id = end.id = id;
  head.status = status;
  head.body_length = 3;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_HEAD;
  frame.answer_head = &head;
  sgr_frame_append (&out, &frame);
  chunk.data.data = (uint8_t *)"abc";
  chunk.data.len = 3;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK;
  frame.answer_chunk = &chunk;
  sgr_frame_append (&out, &frame);
  end.length = 3;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_END;
  frame.answer_end = &end;
  sgr_frame_append (&out, &frame);
  send (fd, out.bytes, out.length, MSG_NOSIGNAL);
  sgr_buffer_release (&out);
}

/* Simulates the gate on one connection: answers a call for /case with @frame_status, and after it
   the call for /held that came before with 200. */
static void
peer_connection_run (int fd)
{
  Sgr__Pb__PeerFrame *frame, *held = NULL;
  sgr_buffer_t out = { 0 }, input = { 0 };

  sgr_scripted_hello_append (&out, SGR_FRAME_VERSION, sgr_node_id_of ("gate"), true);
  send (fd, out.bytes, out.length, MSG_NOSIGNAL);
  sgr_buffer_release (&out);
  while ((frame = sgr_scripted_frame_read (fd, &input)) != NULL)
    {
      if (frame->body_case == SGR__PB__PEER_FRAME__BODY_CALL
          && strcmp (frame->call->path, "/held") == 0)
        {
          held = frame;
          continue;
        }
      if (frame->body_case == SGR__PB__PEER_FRAME__BODY_CALL)
        {
          frames_send (fd, frame->call->id, atomic_load (&frame_status));
          if (held != NULL)
            frames_send (fd, held->call->id, 200);
          sgr_frame_free (held);
          held = NULL;
        }
      sgr_frame_free (frame);
    }
  sgr_frame_free (held);
  sgr_buffer_release (&input);
  close (fd);
}

static void *
peer_run (void *argument)
{
  int fd;

  while ((fd = accept4 (peer_listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    peer_connection_run (fd);
  return NULL;
}

static int
listener_open (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (fd, 64), 0);
  return fd;
}

static int
group_setup (void **state)
{
  pthread_t thread;
  sgr_fixture_node_t *gate;
  char body[128];
  sgr_probe_request_t announce = { .method = "PUT", .path = "/v1/target", .body = body };
  sgr_probe_answer_t answer;

  atomic_store (&current_case, &cases[5]);
  sgr_fixture_init (&fixture);
  fixture.limits = "  announce_ttl_ms: 60000\n";
  fixture.has_external_targets = true;
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  gate = sgr_fixture_node_add (&fixture, "gate", "one", true);
  target_listener = listener_open (gate->target);
  peer_port = sgr_fixture_port_find ();
  peer_listener = listener_open (peer_port);
  if (pthread_create (&thread, NULL, target_run, NULL) != 0
      || pthread_create (&thread, NULL, peer_run, NULL) != 0)
    return -1;
  announce.port = gate->control;
  announce.body_length = (size_t)snprintf (
      body, sizeof body, "{\"service\":\"one\",\"address\":\"127.0.0.1:%u\",\"slots\":16}",
      gate->target);
  if (!sgr_fixture_processes_start (&fixture))
    return -1;
  sgr_probe_call (&announce, &answer);
  assert_int_equal (answer.status, 200);
  sgr_probe_release (&answer);
  return sgr_fixture_services_await (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static void
answer_check (const char *path, const char *name, int status, const sgr_probe_answer_t *answer)
{
  const char *outcome = status != 0 ? "complete" : "unknown";
  char value[64] = "";

  sgr_probe_field (answer, "siskingrade-outcome", value, sizeof value);
  if (answer->end != SGR_PROBE_WHOLE || answer->status != (status != 0 ? status : 502)
      || strcmp (value, outcome) != 0
      || (status != 0 && (answer->length != 3 || memcmp (answer->body, "abc", 3) != 0)))
    fail_msg ("%s, status \"%s\": end %d, status %d, outcome \"%s\", %s", path, name, answer->end,
              answer->status, value, answer->body != NULL ? answer->body : "no body");
}

static const char *
case_name (const status_case_t *status)
{
  return status->text != NULL ? status->text : "interim without end";
}

static void
case_call (const char *path, const status_case_t *status, int entry, const char *method,
           const char *more_fields)
{
  char fields[512];
  sgr_probe_request_t request = {
    .port = fixture.nodes[entry].callers, .method = method, .path = "/case", .fields = fields
  };
  sgr_probe_answer_t answer;

  snprintf (fields, sizeof fields, "Siskingrade-Service: one\r\n%s", more_fields);
  sgr_probe_call (&request, &answer);
  answer_check (path, case_name (status), status->status, &answer);
  sgr_probe_release (&answer);
}

static uint64_t
bad_frames (void)
{
  return sgr_fixture_metric (&fixture.nodes[ENTRY],
                             "siskingrade_peer_closed_total{reason=\"bad-frame\"}");
}

/* Sends a call that is answered only after @is_released is set; returns its socket. */
static int
held_call_send (sgr_probe_request_t *request)
{
  *request = (sgr_probe_request_t){ .port = fixture.nodes[ENTRY].callers,
                                    .method = "POST",
                                    .path = "/held",
                                    .fields = "Siskingrade-Service: one\r\n" };
  atomic_store (&is_released, false);
  return sgr_probe_send (request);
}

static void
held_call_check (int fd, const sgr_probe_request_t *request)
{
  sgr_probe_answer_t answer;

  atomic_store (&is_released, true);
  sgr_probe_receive (fd, request, &answer);
  answer_check ("held call", "200", 200, &answer);
  sgr_probe_release (&answer);
}

/* The answer is passed on as it arrives, by a gate of another node and by that of the entry. */
static void
test_gate (void **state)
{
  for (size_t i = 0; i < CASE_COUNT; i++)
    {
      uint64_t before = bad_frames ();
      sgr_probe_request_t held;
      int fd = held_call_send (&held);

      atomic_store (&current_case, &cases[i]);
      case_call ("gate, idempotent", &cases[i], ENTRY, "GET", "");
      case_call ("gate, not idempotent", &cases[i], ENTRY, "POST", "");
      case_call ("gate of the entry", &cases[i], GATE, "POST", "");
      held_call_check (fd, &held);
      assert_int_equal (bad_frames (), before);
    }
}

/* The answer is recorded for the key of the call, and a repeat gets the recorded one. */
static void
test_recorded_answer (void **state)
{
  for (size_t i = 0; i < CASE_COUNT; i++)
    {
      sgr_probe_request_t issue = { .port = fixture.nodes[ENTRY].callers,
                                    .method = "POST",
                                    .path = "/.siskingrade/keys?service=one",
                                    .body = "" };
      sgr_probe_answer_t answer;
      char key[256], fields[320];

      atomic_store (&current_case, &cases[i]);
      sgr_probe_call (&issue, &answer);
      assert_int_equal (answer.status, 201);
      assert_int_equal (sscanf (answer.body, "{\"key\":\"%255[^\"]", key), 1);
      sgr_probe_release (&answer);
      snprintf (fields, sizeof fields, "Idempotency-Key: %s\r\n", key);
      case_call ("keyed", &cases[i], ENTRY, "POST", fields);
      /* The target would answer with 200 now, but the request must not run again. */
      atomic_store (&current_case, &cases[5]);
      case_call ("repeat with the key", &cases[i], ENTRY, "POST", fields);
    }
}

/* Calls over HTTP/2 with curl; returns the status, -1 if curl is missing. */
static int
http2_call (const char *path)
{
  char command[256], text[16] = "";
  FILE *pipe;

  if (system ("command -v curl >/dev/null") != 0)
    return -1;
  snprintf (command, sizeof command,
            "curl -s -o /dev/null -w '%%{http_code}' --http2-prior-knowledge -X POST "
            "-H 'Siskingrade-Service: one' http://127.0.0.1:%u%s",
            fixture.nodes[ENTRY].callers, path);
  pipe = popen (command, "r");
  assert_non_null (pipe);
  assert_non_null (fgets (text, sizeof text, pipe));
  pclose (pipe);
  return atoi (text);
}

static void
test_http2 (void **state)
{
  for (size_t i = 0; i < CASE_COUNT; i++)
    {
      int status;

      atomic_store (&current_case, &cases[i]);
      status = http2_call ("/case");
      if (status < 0)
        skip ();
      if (status != (cases[i].status != 0 ? cases[i].status : 502))
        fail_msg ("HTTP/2, status \"%s\": status %d", case_name (&cases[i]), status);
    }
}

/* The status is in a frame of another node, which may run another version. */
static void
test_frame (void **state)
{
  static const uint32_t statuses[]
      = { 0, 1, 99, 100, 199, 200, 299, 404, 599, 600, 999, 1000, UINT32_MAX };
  sgr_fixture_node_t *gate = &fixture.nodes[GATE];

  sgr_relay_port_set (gate->relay, peer_port);
  sgr_relay_action_apply (gate->relay, SGR_RELAY_CLOSE);
  /* A call that is sent on the closed connection would be queried at the simulated gate. */
  assert_true (sgr_fixture_event_await (&fixture, &fixture.nodes[ENTRY], "event=peer-lost", 1));
  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      uint64_t before = bad_frames ();
      status_case_t expected
          = { "frame", statuses[i] >= 200 && statuses[i] < 600 ? (int)statuses[i] : 0 };
      sgr_probe_request_t held;
      char name[32];
      int fd = held_call_send (&held);

      atomic_store (&frame_status, statuses[i]);
      snprintf (name, sizeof name, "frame with status %u", statuses[i]);
      case_call (name, &expected, ENTRY, "POST", "");
      held_call_check (fd, &held);
      assert_int_equal (bad_frames (), before);
    }
  sgr_relay_port_set (gate->relay, gate->peers);
  sgr_relay_action_apply (gate->relay, SGR_RELAY_CLOSE);
  assert_true (sgr_fixture_service_await (&fixture.nodes[ENTRY], "one"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gate),
    cmocka_unit_test (test_recorded_answer),
    cmocka_unit_test (test_http2),
    cmocka_unit_test (test_frame),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
