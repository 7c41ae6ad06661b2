#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "scripted_target.h"
#include "target_client.h"
#include "timer_heap.h"

/* What the client of the local target takes for the answer to a request, against a target that
   breaks off, or that answers once more. */

#define TEXT_BYTES_MAX 4096
#define WAIT_MAX_US (5 * SGR_USEC_PER_SEC)

/**
 * struct target_t - a target that serves one connection after the other
 * @answer: bytes that it answers a request with
 * @length: bytes of @answer
 * @closes: it closes the connection after the bytes; else it waits for the next request
 * @resets: it resets the connection in place of closing it
 * @connections: connections that it has accepted
 */
typedef struct
{
  const char *answer;
  size_t length;
  bool closes;
  bool resets;
  atomic_uint connections;
} target_t;

/**
 * struct result_t - what became of a request
 * @request: the request
 * @cancels: the request is cancelled when its head arrives
 * @has_head: a head arrived
 * @status: status of the head
 * @body_bytes: bytes of the body that arrived
 * @is_done: the answer is whole
 * @is_ended: no more callbacks follow
 */
typedef struct
{
  sgr_target_request_t *request;
  bool cancels;
  bool has_head;
  int status;
  size_t body_bytes;
  bool is_done;
  bool is_ended;
} result_t;

static target_t target;
static sgr_address_t target_address = { .ip = INADDR_LOOPBACK };
static h2o_loop_t *loop;

static void
connection_serve (int fd)
{
  char text[TEXT_BYTES_MAX];

  target.connections++;
  /* A request fits into one segment. */
  while (recv (fd, text, sizeof text, 0) > 0)
    {
      send (fd, target.answer, target.length, MSG_NOSIGNAL);
      if (target.closes)
        break;
    }
  if (target.resets)
    {
      struct linger linger = { .l_onoff = 1 };

      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    }
}

static int
group_setup (void **state)
{
  loop = h2o_evloop_create ();
  return sgr_scripted_target_start (&target_address.port, connection_serve) ? 0 : -1;
}

static bool
on_starting (void *ctx)
{
  return true;
}

static void
on_head (void *ctx, int status, const sgr_http_field_t *fields, size_t count, int64_t body_length)
{
  result_t *result = ctx;

  result->has_head = true;
  result->status = status;
  if (!result->cancels)
    return;
  result->is_ended = true;
  sgr_target_request_cancel (result->request);
}

static void
on_body (void *ctx, const void *bytes, size_t length)
{
  ((result_t *)ctx)->body_bytes += length;
}

static void
on_done (void *ctx)
{
  result_t *result = ctx;

  result->is_done = true;
  result->is_ended = true;
}

static void
on_failed (void *ctx, bool is_started, const char *reason)
{
  ((result_t *)ctx)->is_ended = true;
}

static const sgr_target_handlers_t handlers = {
  .starting = on_starting, .head = on_head, .body = on_body, .done = on_done, .failed = on_failed
};

/* Sends a request and waits until it has ended. */
static void
request_run (sgr_target_client_t *client, bool is_head, result_t *result)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  sgr_buffer_t head = { 0 };

  sgr_buffer_printf (&head, "%s / HTTP/1.1\r\nhost: one\r\n\r\n", is_head ? "HEAD" : "GET");
  result->request = sgr_target_request_start (client, &head, NULL, is_head, &handlers, result);
  while (!result->is_ended)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      h2o_evloop_run (loop, 10);
    }
}

static void
client_destroy (sgr_target_client_t *client)
{
  h2o_evloop_run (loop, 0);
  assert_true (sgr_target_client_is_idle (client));
  sgr_target_client_destroy (client);
  h2o_evloop_run (loop, 0);
}

/**
 * struct answer_t - an answer that is cut at each byte
 * @text: the whole answer
 * @is_head: it answers a HEAD request
 * @body_bytes: size of its body
 */
typedef struct
{
  const char *text;
  bool is_head;
  size_t body_bytes;
} answer_t;

static const answer_t answers[] = {
  { "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 12\r\nX-B: 2\r\n\r\nabcdefghijkl", false, 12 },
  { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl", false, 12 },
  { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", false, 3 },
  { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: 1\r\n\r\n", false, 0 },
  { "HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false,
    3 },
  { "HTTP/1.1 204 No\r\nX-A: 1\r\n\r\n", false, 0 },
  { "HTTP/1.1 304 No\r\nETag: \"a\"\r\nContent-Length: 12\r\n\r\n", false, 0 },
  { "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 12\r\n\r\n", true, 0 },
  { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, 3 },
  { "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, 0 },
  { "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc", false, 3 },
};

/* Guards against an answer that breaks off anywhere and is passed on as a whole one. */
static void
test_cut_answers (void **state)
{
  target.closes = true;
  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    {
      size_t whole = strlen (answers[i].text);

      for (size_t length = 0; length <= whole; length++)
        {
          for (int resets = 0; resets < 2; resets++)
            {
              sgr_target_client_t *client = sgr_target_client_create (loop, &target_address, 4);
              result_t result = { 0 };

              target.answer = answers[i].text;
              target.length = length;
              target.resets = resets != 0;
              request_run (client, answers[i].is_head, &result);
              /* A reset may overtake the whole answer. */
              if (result.is_done != (length == whole) && !(target.resets && length == whole))
                fail_msg ("answer %zu, %zu of %zu bytes, resets %d: %s with status %d", i, length,
                          whole, resets, result.is_done ? "whole" : "failed", result.status);
              if (result.is_done && result.body_bytes != answers[i].body_bytes)
                fail_msg ("answer %zu: %zu bytes of the body", i, result.body_bytes);
              client_destroy (client);
            }
        }
    }
}

/* Guards against an answer whose length is ambiguous and that is passed on with the shorter one. */
static void
test_ambiguous_length (void **state)
{
  static const char *const heads[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n",
  };

  target.closes = true;
  target.resets = false;
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      sgr_target_client_t *client = sgr_target_client_create (loop, &target_address, 4);
      result_t result = { 0 };

      target.answer = heads[i];
      target.length = strlen (heads[i]);
      request_run (client, false, &result);
      if (result.has_head)
        fail_msg ("answer %zu is passed on with status %d", i, result.status);
      client_destroy (client);
    }
}

/* Guards against a connection that is used again although the answer on it belongs to another
   request, so that each further request on it gets the answer to the one before: the caller cancels
   the request, whose answer has no body. */
static void
test_cancelled_at_head (void **state)
{
  static const char *const heads[] = {
    "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
  };

  target.closes = false;
  target.resets = false;
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      sgr_target_client_t *client = sgr_target_client_create (loop, &target_address, 4);
      unsigned connections = target.connections;

      target.answer = heads[i];
      target.length = strlen (heads[i]);
      for (unsigned request = 1; request <= 3; request++)
        {
          result_t result = { .cancels = true };

          request_run (client, false, &result);
          assert_true (result.has_head);
          if (target.connections != connections + request)
            fail_msg ("answer %zu: request %u on a connection that was used before", i, request);
        }
      client_destroy (client);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_cut_answers), cmocka_unit_test (test_ambiguous_length),
          cmocka_unit_test (test_cancelled_at_head) };

  return cmocka_run_group_tests (tests, group_setup, NULL);
}
