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

/* Tests which answers of a target a node forwards and which ones the node refuses. The target
   writes its answers byte by byte. A node refuses an answer if a caller could not detect that the
   answer is truncated or ambiguous. */

/**
 * struct answer_case_t - an answer of the target and what the caller receives
 * @name: description for messages
 * @method: HTTP method of the call
 * @answer: first bytes of the target's answer
 * @filler_bytes: number of body bytes to send after @answer
 * @tail: bytes to send after the filler
 * @end: how the exchange ends for the caller
 * @status: status that the caller receives
 * @field: header field "name: value" that the caller receives, NULL for any
 * @length: size of the body that the caller receives in bytes, checked only for a whole answer with
 *          a status below 500
 */
typedef struct
{
  const char *name;
  const char *method;
  const char *answer;
  size_t filler_bytes;
  const char *tail;
  sgr_probe_end_t end;
  int status;
  const char *field;
  size_t length;
} answer_case_t;

static const answer_case_t cases[] = {
  { "Content-Length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 0, "",
    SGR_PROBE_WHOLE, 200, "content-length: 3", 3 },
  { "Content-Length, status 404", "GET", "HTTP/1.1 404 No\r\nContent-Length: 3\r\n\r\nabc", 0, "",
    SGR_PROBE_WHOLE, 404, "content-length: 3", 3 },
  { "chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    0, "", SGR_PROBE_WHOLE, 200, NULL, 3 },
  { "large chunk, status 404", "GET",
    "HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n7a120\r\n", 500000, "\r\n0\r\n\r\n",
    SGR_PROBE_WHOLE, 404, "transfer-encoding: chunked", 500000 },
  { "large chunk, status 404, truncated", "GET",
    "HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n7a120\r\n", 400000, "",
    SGR_PROBE_TRUNCATED, 404, "transfer-encoding: chunked", 0 },
  { "large chunk, status 503, last chunk is missing", "GET",
    "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n7a120\r\n", 500000, "\r\n",
    SGR_PROBE_TRUNCATED, 503, NULL, 0 },
  { "Content-Length and Transfer-Encoding", "GET",
    "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n",
    0, "", SGR_PROBE_WHOLE, 502, "siskingrade-outcome: unknown", 0 },
  { "body ends with the connection", "GET", "HTTP/1.1 200 OK\r\n\r\nabc", 0, "", SGR_PROBE_WHOLE,
    502, "siskingrade-outcome: unknown", 0 },
  { "HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nabc", 0, "", SGR_PROBE_WHOLE, 502,
    "siskingrade-outcome: unknown", 0 },
  { "body shorter than Content-Length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", 0,
    "", SGR_PROBE_WHOLE, 502, "siskingrade-outcome: unknown", 0 },
  { "Content-Length is not a number", "GET", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc", 0,
    "", SGR_PROBE_WHOLE, 502, "siskingrade-outcome: unknown", 0 },
  { "chunk size is not a number", "GET",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n0\r\n\r\n", 0, "",
    SGR_PROBE_WHOLE, 502, "siskingrade-outcome: unknown", 0 },
  { "not HTTP", "GET", "hello\r\n\r\n", 0, "", SGR_PROBE_WHOLE, 502, "siskingrade-outcome: unknown",
    0 },
  { "Content-Length is not a number, after an interim answer", "GET",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc", 0, "",
    SGR_PROBE_WHOLE, 502, "siskingrade-outcome: unknown", 0 },
  { "no body, status 204", "GET", "HTTP/1.1 204 No\r\n\r\n", 0, "", SGR_PROBE_WHOLE, 204, NULL, 0 },
  { "no body, status 304", "GET", "HTTP/1.1 304 No\r\nETag: \"a\"\r\n\r\n", 0, "", SGR_PROBE_WHOLE,
    304, "etag: \"a\"", 0 },
  { "HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n", 0, "", SGR_PROBE_WHOLE, 200,
    "content-length: 12345", 0 },
  { "empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, "", SGR_PROBE_WHOLE,
    200, "content-length: 0", 0 },
  { "outcome field set by the target", "GET",
    "HTTP/1.1 200 OK\r\nSiskingrade-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", 0, "",
    SGR_PROBE_WHOLE, 200, "siskingrade-outcome: complete", 0 },
};

static sgr_fixture_t fixture;
static int listener;
static const answer_case_t *current_case;
/* Connections on which the target has begun to answer and not ended its side yet. */
static atomic_int open_answers;

static void
bytes_send (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      bytes += sent;
      length -= (size_t)sent;
    }
}

/* Answers one request on each connection with the bytes of the current case. */
static void *
target_run (void *argument)
{
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      sgr_buffer_t text = { 0 };
      char input[8192];
      size_t input_length = 0;

      if (fd < 0)
        return NULL;
      while (input_length < sizeof input - 1 && memmem (input, input_length, "\r\n\r\n", 4) == NULL)
        {
          ssize_t received = recv (fd, input + input_length, sizeof input - 1 - input_length, 0);

          if (received <= 0)
            break;
          input_length += (size_t)received;
        }
      if (input_length > 0)
        {
          sgr_buffer_append (&text, current_case->answer, strlen (current_case->answer));
          memset (sgr_buffer_reserve (&text, current_case->filler_bytes + 1), 'z',
                  current_case->filler_bytes);
          text.length += current_case->filler_bytes;
          sgr_buffer_append (&text, current_case->tail, strlen (current_case->tail));
          atomic_fetch_add (&open_answers, 1);
          bytes_send (fd, (const char *)text.bytes, text.length);
          /* close() with unread data would reset the connection, and the answer could be lost. */
          shutdown (fd, SHUT_WR);
          atomic_fetch_sub (&open_answers, 1);
          while (recv (fd, input, sizeof input, 0) > 0)
            ;
        }
      sgr_buffer_release (&text);
      close (fd);
    }
}

static int
group_setup (void **state)
{
  static pthread_t thread;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  sgr_fixture_node_t *gate;
  char body[128];
  sgr_probe_request_t announce = { .method = "PUT", .path = "/v1/target", .body = body };
  sgr_probe_answer_t answer;
  int on = 1;

  current_case = &cases[0];
  sgr_fixture_init (&fixture);
  fixture.limits = "  announce_ttl_ms: 60000\n";
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  gate = sgr_fixture_node_add (&fixture, "gate", "one", false);
  address.sin_port = htons (gate->target);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 16) != 0 || pthread_create (&thread, NULL, target_run, NULL) != 0)
    return -1;
  fixture.has_external_targets = true;
  announce.port = gate->control;
  announce.body_length = (size_t)snprintf (
      body, sizeof body, "{\"service\":\"one\",\"address\":\"127.0.0.1:%u\",\"slots\":4}",
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
answer_check (const answer_case_t *expected, const sgr_probe_answer_t *answer)
{
  char name[64] = "";
  char value[64] = "";
  bool is_field_expected = expected->field == NULL;

  if (expected->field != NULL)
    {
      snprintf (name, sizeof name, "%.*s", (int)strcspn (expected->field, ":"), expected->field);
      sgr_probe_field (answer, name, value, sizeof value);
      is_field_expected = strcmp (expected->field + strlen (name) + 2, value) == 0;
    }
  if (answer->end != expected->end || answer->status != expected->status || !is_field_expected
      || (expected->end == SGR_PROBE_WHOLE && expected->status < 500
          && answer->length != expected->length))
    fail_msg ("%s: end %d, expected %d, %zu bytes, expected %zu, expected %s\n%s", expected->name,
              answer->end, expected->end, answer->length, expected->length,
              expected->field != NULL ? expected->field : "no certain field",
              answer->head != NULL ? answer->head : "no head");
}

/* Requests the answer of a case through both nodes. The target ends each connection after one
   answer without announcing it; a request that meets this close is truly unknown, so the next
   request waits for it. @extra_fields are further header fields of the request. */
static void
case_check (const answer_case_t *expected, const char *extra_fields)
{
  char fields[512];

  snprintf (fields, sizeof fields, "Siskingrade-Service: one\r\nSiskingrade-Idempotent: no\r\n%s",
            extra_fields);
  for (size_t i = 0; i < 2; i++)
    {
      sgr_probe_request_t request = {
        .port = fixture.nodes[i].callers, .method = expected->method, .path = "/", .fields = fields
      };
      sgr_probe_answer_t answer;

      while (atomic_load (&open_answers) > 0)
        sgr_fixture_poll_sleep ();
      current_case = expected;
      sgr_probe_call (&request, &answer);
      answer_check (current_case, &answer);
      sgr_probe_release (&answer);
    }
}

/* Guards against a node that forwards an ambiguous or truncated answer as if it were whole, or
   alters a valid answer. */
static void
test_answers (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    case_check (&cases[i], "");
}

#define ID_64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* Guards against a node that forwards an answer to another request because the id of the request
   is long, as after a second, late answer on a connection of the target. */
static void
test_long_request_id (void **state)
{
  static const answer_case_t id_cases[] = {
    { "long id", "GET",
      "HTTP/1.1 200 OK\r\nSiskingrade-Request-Id: " ID_64 "0\r\nContent-Length: 3\r\n\r\nabc", 0,
      "", SGR_PROBE_WHOLE, 200, "content-length: 3", 3 },
    { "other long id", "GET",
      "HTTP/1.1 200 OK\r\nSiskingrade-Request-Id: " ID_64 "1\r\nContent-Length: 3\r\n\r\nabc", 0,
      "", SGR_PROBE_WHOLE, 502, "siskingrade-outcome: unknown", 0 },
  };

  for (size_t i = 0; i < sizeof id_cases / sizeof id_cases[0]; i++)
    case_check (&id_cases[i], "Siskingrade-Request-Id: " ID_64 "0\r\n");
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_answers), cmocka_unit_test (test_long_request_id) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
