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
    {
      size_t peak = sgr_crowd_peak (&crowd->fixture.nodes[i]);

      print_message ("%s: peak %zu KiB\n", crowd->fixture.nodes[i].name, peak / 1024);
      assert_true (peak < 160U * 1000 * 1000);
    }
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
    cmocka_unit_test_setup_teardown (test_longest_body, sgr_crowd_small_setup, sgr_crowd_teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
