#include <arpa/inet.h>
#include <malloc.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "scripted_target.h"
#include "target_client.h"
#include "timer_heap.h"

/* The client of the local target, against a target in trouble. */

#define MS SGR_USEC_PER_MSEC
/* The caller's deadline, at which the gate cancels the request. */
#define DEADLINE_US (400 * MS)
/* Memory that one request may use. */
#define MEMORY_MAX_BYTES (1024U * 1024)
#define REPEAT_BYTES_MIN 16384

/**
 * enum end_t - how a request ends
 * @END_DONE: with a whole answer
 * @END_FAILED: without one, before the deadline
 * @END_CANCELLED: at the deadline
 */
typedef enum
{
  END_CANCELLED = 0,
  END_DONE,
  END_FAILED,
} end_t;

/**
 * struct endless_case_t - an answer whose last part the target repeats until the connection closes
 * @name: description for messages
 * @start: first bytes of the answer
 * @repeated: bytes that follow without end
 * @end: how the request ends
 */
typedef struct
{
  const char *name;
  const char *start;
  const char *repeated;
  end_t end;
} endless_case_t;

static const endless_case_t cases[] = {
  { "one line of the head", "HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaa", END_FAILED },
  { "status line", "HTTP/1.1 200 ", "aaaaaaaa", END_FAILED },
  { "lines of the head", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n", END_FAILED },
  { "bytes that are not HTTP", "", "garbage ", END_FAILED },
  { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", END_FAILED },
  { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;", "aaaaaaaa",
    END_CANCELLED },
  { "trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    "X-Many: 1\r\n", END_CANCELLED },
  { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n",
    END_CANCELLED },
  { "body beyond its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "aaaaaaaa",
    END_DONE },
  { "a second answer", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", END_DONE },
};

typedef struct
{
  int listener;
  const endless_case_t *answer;
} target_t;

/* Answers one request with the bytes of a case, until the client closes the connection. */
static void *
target_run (void *argument)
{
  const target_t *target = argument;
  int fd = accept (target->listener, NULL, NULL);
  char text[2 * REPEAT_BYTES_MIN];
  size_t length = 0;

  if (recv (fd, text, sizeof text, 0) > 0)
    send (fd, target->answer->start, strlen (target->answer->start), MSG_NOSIGNAL);
  while (length < REPEAT_BYTES_MIN)
    length += (size_t)sprintf (text + length, "%s", target->answer->repeated);
  for (size_t from = 0;;)
    {
      ssize_t sent = send (fd, text + from, length - from, MSG_NOSIGNAL);

      if (sent <= 0)
        break;
      from = (from + (size_t)sent) % length;
    }
  close (fd);
  return NULL;
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
  *(end_t *)ctx = END_DONE;
}

static void
on_failed (void *ctx, bool is_started, const char *reason)
{
  assert_true (is_started);
  *(end_t *)ctx = END_FAILED;
}

static const sgr_target_handlers_t handlers = {
  .starting = on_starting, .head = on_head, .body = on_body, .done = on_done, .failed = on_failed
};

static size_t
memory_used (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Runs the loop until the request has ended, or cancels it at the deadline. Returns the largest
   memory use meanwhile. */
static size_t
request_run (h2o_loop_t *loop, sgr_target_request_t *request, const end_t *end)
{
  uint64_t deadline_us = sgr_clock_monotonic_us () + DEADLINE_US;
  size_t used_max = 0;

  while (*end == END_CANCELLED && sgr_clock_monotonic_us () < deadline_us)
    {
      size_t used;

      h2o_evloop_run (loop, 10);
      used = memory_used ();
      used_max = used > used_max ? used : used_max;
    }
  if (*end == END_CANCELLED)
    sgr_target_request_cancel (request);
  return used_max;
}

/* Guards against memory that grows with bytes that a target sends without end, and against a
   connection that is kept after them. */
static void
test_bytes_without_end (void **state)
{
  static const char message[] = "GET / HTTP/1.1\r\nhost: one\r\n\r\n";

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      socklen_t size = sizeof address;
      target_t target
          = { .listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), .answer = &cases[i] };
      sgr_address_t target_address = { .ip = INADDR_LOOPBACK };
      h2o_loop_t *loop = h2o_evloop_create ();
      sgr_target_client_t *client;
      sgr_target_request_t *request;
      end_t end = END_CANCELLED;
      size_t used_before, used_max;
      sgr_buffer_t head = { 0 };
      pthread_t thread;

      assert_int_equal (bind (target.listener, (struct sockaddr *)&address, sizeof address), 0);
      assert_int_equal (listen (target.listener, 1), 0);
      getsockname (target.listener, (struct sockaddr *)&address, &size);
      target_address.port = ntohs (address.sin_port);
      assert_int_equal (pthread_create (&thread, NULL, target_run, &target), 0);
      client = sgr_target_client_create (loop, &target_address, 4);
      used_before = memory_used ();
      sgr_buffer_append (&head, message, strlen (message));
      request = sgr_target_request_start (client, &head, NULL, false, &handlers, &end);
      used_max = request_run (loop, request, &end);
      assert_true (sgr_target_client_is_idle (client));
      sgr_target_client_destroy (client);
      h2o_evloop_run (loop, 0);
      h2o_evloop_destroy (loop);
      /* The target ends only when its connection is closed. */
      pthread_join (thread, NULL);
      close (target.listener);
      if (end != cases[i].end || used_max > used_before + MEMORY_MAX_BYTES)
        fail_msg ("%s: end %d, expected %d, %zu bytes", cases[i].name, end, cases[i].end,
                  used_max - used_before);
    }
}

/* Answers each request on a connection. */
static void
answers_send (int fd)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  char text[4096];

  while (recv (fd, text, sizeof text, 0) > 0)
    send (fd, answer, strlen (answer), MSG_NOSIGNAL);
}

/**
 * struct start_order_t - what a request reported, and when
 * @has_returned: the function that started it has returned
 * @is_early: a handler ran before
 * @is_ended: the request has ended
 */
typedef struct
{
  bool has_returned;
  bool is_early;
  bool is_ended;
} start_order_t;

static bool
on_order_starting (void *ctx)
{
  start_order_t *order = ctx;

  order->is_early = !order->has_returned;
  return true;
}

static void
on_order_done (void *ctx)
{
  ((start_order_t *)ctx)->is_ended = true;
}

static void
on_order_failed (void *ctx, bool is_started, const char *reason)
{
  fail_msg ("%s", reason);
}

/* Guards against a handler that runs on a connection of the pool before the request that it belongs
   to has been returned. */
static void
test_pooled_connection_is_reported_later (void **state)
{
  static const sgr_target_handlers_t order_handlers = { .starting = on_order_starting,
                                                        .head = on_head,
                                                        .body = on_body,
                                                        .done = on_order_done,
                                                        .failed = on_order_failed };
  static const char message[] = "GET / HTTP/1.1\r\nhost: one\r\n\r\n";
  sgr_address_t address = { .ip = INADDR_LOOPBACK };
  h2o_loop_t *loop = h2o_evloop_create ();
  sgr_target_client_t *client;

  assert_true (sgr_scripted_target_start (&address.port, answers_send));
  client = sgr_target_client_create (loop, &address, 4);
  for (int i = 0; i < 3; i++)
    {
      start_order_t order = { 0 };
      sgr_buffer_t head = { 0 };

      sgr_buffer_append (&head, message, strlen (message));
      sgr_target_request_start (client, &head, NULL, false, &order_handlers, &order);
      order.has_returned = true;
      while (!order.is_ended)
        h2o_evloop_run (loop, 10);
      if (order.is_early)
        fail_msg ("request %d", i);
    }
  sgr_target_client_destroy (client);
  h2o_evloop_run (loop, 0);
  h2o_evloop_destroy (loop);
}

/* Guards against a node that crashes when its target has announced another address or connection
   limit, and the client of the former one is destroyed. */
static void
test_destroy (void **state)
{
  const sgr_address_t address = { .ip = INADDR_LOOPBACK, .port = 1 };
  h2o_loop_t *loop = h2o_evloop_create ();

  for (int i = 0; i < 3; i++)
    {
      sgr_target_client_t *client = sgr_target_client_create (loop, &address, 4);

      assert_true (sgr_target_client_is_idle (client));
      sgr_target_client_destroy (client);
    }
  /* The timers of a destroyed client must not be in the loop any more. */
  h2o_evloop_run (loop, 0);
  h2o_evloop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_destroy), cmocka_unit_test (test_bytes_without_end),
          cmocka_unit_test (test_pooled_connection_is_reported_later) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
