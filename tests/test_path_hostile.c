#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <cmocka.h>

#include "crowd.h"

/* Callers over HTTP/1.1 that each keep to the limits of single requests, or exceed them, and
   together ask for more memory than the nodes have. The requests of a crowd name a service whose
   target never answers them, so that nothing ends by itself. */

#define BODY_CALLERS 24
#define ANSWER_CALLERS 32
/* More than the send buffer of a socket holds. */
#define ANSWERS_PER_CALLER 32
#define ANSWER_BYTES "200000"
#define HEAD_CALLERS 400
#define HEAD_BYTES 15000
/* Body that is sent in chunks over the limit, bytes. */
#define LONG_BODY_BYTES (6U * SGR_CROWD_BODY_BYTES)

#define POST_HEAD                                                                                  \
  "POST /x HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\n"                                  \
  "Siskingrade-Deadline-Ms: 60000\r\nX-Request-Id: crowd\r\nX-Fault: hang\r\n"

/* Requests that a node reads from a connection before one of them is answered. */
#define OPEN_REQUESTS 32
#define GET_HEAD                                                                                   \
  "GET / HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\nX-Request-Id: crowd\r\n"             \
  "Siskingrade-Deadline-Ms: 60000\r\n"

#define SMALL_POST                                                                                 \
  "POST / HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\nX-Request-Id: small\r\n"            \
  "Content-Length: 4\r\n\r\nbody"

static bool
post_begin (int fd, const char *fields)
{
  char head[512];
  int length = snprintf (head, sizeof head, "%s%s\r\n", POST_HEAD, fields);

  return sgr_crowd_send (fd, head, (size_t)length);
}

static bool
post_length_begin (int fd, unsigned long long length)
{
  char field[64];

  snprintf (field, sizeof field, "Content-Length: %llu\r\n", length);
  return post_begin (fd, field);
}

/* Sends a body in chunks of 64 KiB; the last chunk is not sent. */
static bool
chunks_send (int fd, size_t length)
{
  for (size_t sent = 0; sent < length; sent += 65536)
    {
      if (!sgr_crowd_send (fd, "10000\r\n", 7) || !sgr_crowd_fill (fd, 65536)
          || !sgr_crowd_send (fd, "\r\n", 2))
        return false;
    }
  return true;
}

/* Guards against an entry or a gate whose memory grows with the number of whole bodies of legal
   size that wait for a target. */
static void
test_whole_bodies (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (int i = 0; i < BODY_CALLERS; i++)
    {
      int fd = sgr_crowd_connect (crowd);

      if (post_length_begin (fd, SGR_CROWD_BODY_BYTES))
        sgr_crowd_fill (fd, SGR_CROWD_BODY_BYTES);
    }
  sgr_crowd_check (crowd);
}

/* Guards against bodies whose callers stop before the last byte and keep the connection open. */
static void
test_unfinished_bodies (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (int i = 0; i < BODY_CALLERS; i++)
    {
      int fd = sgr_crowd_connect (crowd);

      if (post_length_begin (fd, SGR_CROWD_BODY_BYTES))
        sgr_crowd_fill (fd, SGR_CROWD_BODY_BYTES - 1);
    }
  sgr_crowd_check (crowd);
}

/* The same with bodies of unknown length. */
static void
test_unfinished_chunked_bodies (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (int i = 0; i < BODY_CALLERS; i++)
    {
      int fd = sgr_crowd_connect (crowd);

      if (post_begin (fd, "Transfer-Encoding: chunked\r\n"))
        chunks_send (fd, SGR_CROWD_BODY_BYTES - 65536);
    }
  sgr_crowd_check (crowd);
}

/* Guards against a body over the limit that is read nevertheless, or that is refused with another
   status than 413. */
static void
test_bodies_over_limit (void **state)
{
  sgr_crowd_t *crowd = *state;
  static const unsigned long long lengths[]
      = { SGR_CROWD_BODY_BYTES + 1ULL, 1ULL << 40, 9223372036854775807ULL };

  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      char fields[128];
      int fd = sgr_crowd_connect (crowd);

      assert_true (post_length_begin (fd, lengths[i]));
      assert_int_equal (sgr_crowd_status_read (fd), 413);
      fd = sgr_crowd_connect (crowd);
      snprintf (fields, sizeof fields, "Content-Length: %llu\r\nExpect: 100-continue\r\n",
                lengths[i]);
      assert_true (post_begin (fd, fields));
      assert_int_equal (sgr_crowd_status_read (fd), 413);
      /* The body follows although it is refused. The connection may end within it. */
      sgr_crowd_fill (fd, LONG_BODY_BYTES);
    }
  for (int i = 0; i < BODY_CALLERS; i++)
    {
      int fd = sgr_crowd_connect (crowd);

      if (post_begin (fd, "Transfer-Encoding: chunked\r\n"))
        chunks_send (fd, LONG_BODY_BYTES);
    }
  sgr_crowd_check (crowd);
}

/* Guards against an entry that holds whole answers for callers that do not read them. */
static void
test_unread_answers (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (int i = 0; i < ANSWER_CALLERS; i++)
    {
      int fd = sgr_crowd_connect (crowd);
      int small = 4096;

      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
      for (int j = 0; j < ANSWERS_PER_CALLER; j++)
        {
          static const char request[]
              = "GET /bytes/" ANSWER_BYTES " HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\n"
                "Siskingrade-Deadline-Ms: 60000\r\nX-Request-Id: crowd\r\n\r\n";

          sgr_crowd_send (fd, request, strlen (request));
          /* Lets the gate work off its queue, which holds fewer requests than the crowd sends. */
          if (j % 16 == 15)
            sgr_crowd_call (crowd);
        }
    }
  sgr_crowd_check (crowd);
}

/* Guards against bytes that are received behind the most requests that a connection may have open,
   and are kept until one of them is answered. */
static void
test_input_behind_open_requests (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (int i = 0; i < BODY_CALLERS; i++)
    {
      struct timeval send_timeout = { .tv_usec = 100000 };
      int fd = sgr_crowd_connect (crowd);

      /* The node reads no more once enough requests are open. */
      setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
      /* The answers to the other requests wait for that to the first one. */
      sgr_crowd_send (fd, GET_HEAD "X-Fault: hang\r\n\r\n",
                      strlen (GET_HEAD "X-Fault: hang\r\n\r\n"));
      for (int j = 1; j < OPEN_REQUESTS; j++)
        sgr_crowd_send (fd, GET_HEAD "\r\n", strlen (GET_HEAD "\r\n"));
      sgr_crowd_call (crowd);
      if (post_length_begin (fd, SGR_CROWD_BODY_BYTES))
        sgr_crowd_fill (fd, SGR_CROWD_BODY_BYTES);
    }
  sgr_crowd_check (crowd);
}

/* Guards against connections that never finish a message head and take all descriptors. */
static void
test_unfinished_heads (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (int i = 0; i < HEAD_CALLERS; i++)
    {
      int fd = sgr_crowd_connect (crowd);

      if (sgr_crowd_send (fd, POST_HEAD "X-Long: ", strlen (POST_HEAD "X-Long: ")))
        {
          static const char name_bytes[HEAD_BYTES] = { [0 ... HEAD_BYTES - 1] = 'a' };

          sgr_crowd_send (fd, name_bytes, sizeof name_bytes);
        }
    }
  sgr_crowd_check (crowd);
}

/* Guards against a refusal for lack of memory that is not a true not-run, or that leaves callers
   without a time to come back, and against small requests that are refused as well. The bodies that
   fill the budget are whole, so that nothing makes room for another one. */
static void
test_refusal (void **state)
{
  sgr_crowd_t *crowd = *state;
  const sgr_fixture_node_t *entry = &crowd->fixture.nodes[SGR_CROWD_ENTRY];
  const sgr_fixture_node_t *gate = &crowd->fixture.nodes[SGR_CROWD_GATE];
  char head[4096];
  int fd;

  for (int i = 0; i < 2; i++)
    {
      fd = sgr_crowd_connect (crowd);
      assert_true (post_length_begin (fd, SGR_CROWD_BODY_BYTES));
      assert_true (sgr_crowd_fill (fd, SGR_CROWD_BODY_BYTES));
    }
  while (sgr_fixture_executions (gate, "crowd") < 2)
    sgr_fixture_poll_sleep ();
  fd = sgr_crowd_connect (crowd);
  assert_true (post_length_begin (fd, SGR_CROWD_BODY_BYTES));
  assert_int_equal (sgr_crowd_head_read (fd, head, sizeof head), 503);
  assert_non_null (strstr (head, "\r\nSiskingrade-Outcome: not-run\r\n"));
  assert_non_null (strstr (head, "\r\nSiskingrade-Reason: memory\r\n"));
  assert_non_null (strstr (head, "\r\nRetry-After: 1\r\n"));
  assert_int_equal (sgr_fixture_executions (gate, "crowd"), 2);
  assert_int_equal (
      sgr_fixture_metric (entry,
                          "siskingrade_requests_refused_total{status=\"503\",reason=\"memory\"}"),
      1);
  assert_true (sgr_fixture_event_await (&crowd->fixture, entry, "event=memory-short", 1));
  fd = sgr_crowd_connect (crowd);
  assert_true (sgr_crowd_send (fd, SMALL_POST, strlen (SMALL_POST)));
  assert_int_equal (sgr_crowd_status_read (fd), 200);
  sgr_crowd_check (crowd);
}

/* Guards against a head without end, or a body without progress, that keeps its connection although
   its bytes trickle, and against a close without an answer. */
static void
test_time_limits (void **state)
{
  sgr_crowd_t *crowd = *state;
  int heads = sgr_crowd_connect (crowd);
  int bodies = sgr_crowd_connect (crowd);
  int polls = 0;
  char byte;

  assert_true (post_length_begin (bodies, 100));
  assert_true (sgr_crowd_send (heads, POST_HEAD, strlen (POST_HEAD)));
  /* Ends when the answer arrives: bytes that reach a closed connection would destroy it. */
  while (recv (heads, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && sgr_crowd_send (heads, "x", 1)
         && polls++ < 2000)
    sgr_fixture_poll_sleep ();
  assert_int_equal (sgr_crowd_status_read (heads), 408);
  assert_int_equal (sgr_crowd_status_read (bodies), 408);
  sgr_crowd_check (crowd);
}

/* Guards against a single body of the greatest length that a node cannot serve, or that takes more
   than the memory of a machine of 160 MB at its entry or at its gate. With both on one node, the
   body is refused truly: nothing has run, and the caller is told when to come back. */
static void
test_longest_body (void **state)
{
  sgr_crowd_t *crowd = *state;
  sgr_probe_request_t request = { .port = crowd->fixture.nodes[SGR_CROWD_ENTRY].callers,
                                  .method = "POST",
                                  .path = "/",
                                  .fields = "Siskingrade-Service: one\r\nX-Request-Id: longest\r\n"
                                            "Siskingrade-Deadline-Ms: 30000\r\n",
                                  .body_length = 64U * 1024 * 1024 };
  char *body = calloc (1, request.body_length);
  const sgr_fixture_node_t *gate = &crowd->fixture.nodes[SGR_CROWD_GATE];
  sgr_probe_answer_t answer;
  char value[32] = "";

  assert_non_null (body);
  request.body = body;
  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 200);
  sgr_probe_release (&answer);
  assert_int_equal (sgr_fixture_executions (gate, "longest"), 1);
  request.port = gate->callers;
  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 503);
  sgr_probe_field (&answer, "siskingrade-outcome", value, sizeof value);
  assert_string_equal (value, "not-run");
  assert_true (sgr_probe_field (&answer, "retry-after", value, sizeof value));
  sgr_probe_release (&answer);
  free (body);
  assert_int_equal (sgr_fixture_executions (gate, "longest"), 1);
  for (size_t i = 0; i < crowd->fixture.count; i++)
    sgr_crowd_peak_check (&crowd->fixture.nodes[i], 160U * 1000 * 1000);
}

#define CROWD_TEST(test) cmocka_unit_test_setup_teardown (test, sgr_crowd_setup, sgr_crowd_teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CROWD_TEST (test_whole_bodies),
    CROWD_TEST (test_unfinished_bodies),
    CROWD_TEST (test_unfinished_chunked_bodies),
    CROWD_TEST (test_bodies_over_limit),
    CROWD_TEST (test_unread_answers),
    CROWD_TEST (test_input_behind_open_requests),
    CROWD_TEST (test_unfinished_heads),
    CROWD_TEST (test_refusal),
    cmocka_unit_test_setup_teardown (test_time_limits, sgr_crowd_hasty_setup, sgr_crowd_teardown),
    cmocka_unit_test_setup_teardown (test_longest_body, sgr_crowd_small_setup, sgr_crowd_teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
