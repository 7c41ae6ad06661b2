#include <arpa/inet.h>
#include <malloc.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "http_fetch.h"
#include "scripted_target.h"
#include "types.h"

/* The HTTP client for the store, for other nodes and for probes of the target, against a server
   that sends bytes that are no answer. */

#define TIMEOUT_MS 500
#define BODY_MAX_BYTES 65536
/* Largest memory use of one request, a few receive buffers included. */
#define MEMORY_MAX_BYTES (4U * 1024 * 1024)
/* Longest time until a request ends, in microseconds; without a limit, bytes arrive until then. */
#define WAIT_MAX_US (5 * SGR_USEC_PER_SEC)
#define REPEAT_BYTES 65536

/**
 * struct answer_case_t - an answer
 * @name: description for messages
 * @start: first bytes of the answer
 * @repeated: bytes that follow until the client closes the connection, empty for none
 */
typedef struct
{
  const char *name;
  const char *start;
  const char *repeated;
} answer_case_t;

static const answer_case_t cases[] = {
  { "one line of the head", "HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaa" },
  { "lines of the head", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n" },
  { "bytes that are not HTTP", "", "garbage " },
  { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;", "aaaaaaaa" },
  { "trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    "X-Many: 1\r\n" },
  { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n" },
  { "body without a length", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa" },
  { "body of a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "aaaaaaaa" },
  { "length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc", "" },
  { "length of too many digits",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999999\r\n\r\nabc", "" },
  { "other transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc", "" },
  { "malformed head after an interim answer",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "" },
  { "blank line before a malformed head", "\r\nHTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc",
    "" },
  { "folded line", "HTTP/1.1 200 OK\r\nX-A: 1\r\n b\r\nContent-Length: x\r\n\r\n", "" },
};

typedef struct
{
  int listener;
  const answer_case_t *answer;
} server_t;

/* Answers one request with the bytes of a case, until the client closes the connection. */
static void *
server_run (void *argument)
{
  const server_t *server = argument;
  int fd = accept (server->listener, NULL, NULL);
  static char text[2 * REPEAT_BYTES];
  size_t length = 0;

  if (recv (fd, text, sizeof text, 0) > 0)
    send (fd, server->answer->start, strlen (server->answer->start), MSG_NOSIGNAL);
  while (server->answer->repeated[0] != '\0' && length < REPEAT_BYTES)
    length += (size_t)sprintf (text + length, "%s", server->answer->repeated);
  for (size_t from = 0; length > 0;)
    {
      ssize_t sent = send (fd, text + from, length - from, MSG_NOSIGNAL);

      if (sent <= 0)
        break;
      from = (from + (size_t)sent) % length;
    }
  while (recv (fd, text, sizeof text, 0) > 0)
    ;
  close (fd);
  return NULL;
}

typedef struct
{
  bool is_done;
  const char *error;
} reported_t;

static void
on_fetched (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  *(reported_t *)ctx = (reported_t){ .is_done = true, .error = reply->error };
}

static size_t
memory_used (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
case_run (const answer_case_t *answer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  server_t server
      = { .listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), .answer = answer };
  sgr_http_fetch_request_t request = { .method = "GET", .path = "/" };
  h2o_loop_t *loop = h2o_evloop_create ();
  sgr_http_fetcher_t *fetcher = sgr_http_fetcher_create (loop, TIMEOUT_MS, BODY_MAX_BYTES);
  reported_t reported = { 0 };
  size_t used_before, used_max = 0;
  uint64_t end_us;
  pthread_t thread;

  assert_int_equal (bind (server.listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (server.listener, 1), 0);
  getsockname (server.listener, (struct sockaddr *)&address, &size);
  request.address = (sgr_address_t){ .ip = INADDR_LOOPBACK, .port = ntohs (address.sin_port) };
  assert_int_equal (pthread_create (&thread, NULL, server_run, &server), 0);
  used_before = memory_used ();
  sgr_http_fetch_start (fetcher, &request, on_fetched, &reported);
  end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  while (!reported.is_done && sgr_clock_monotonic_us () < end_us)
    {
      size_t used;

      h2o_evloop_run (loop, 10);
      used = memory_used ();
      used_max = used > used_max ? used : used_max;
    }
  sgr_http_fetcher_destroy (fetcher);
  h2o_evloop_run (loop, 0);
  h2o_evloop_destroy (loop);
  pthread_join (thread, NULL);
  close (server.listener);
  if (!reported.is_done || reported.error == NULL || used_max > used_before + MEMORY_MAX_BYTES)
    fail_msg ("%s: done %d, error %s, %zu bytes", answer->name, reported.is_done,
              reported.error != NULL ? reported.error : "none", used_max - used_before);
}

/* Guards against a node whose memory grows with bytes that a faulty server sends without end, that
   waits for such an answer for ever, or that a malformed head ends. */
static void
test_bytes_that_are_no_answer (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    case_run (&cases[i]);
}

/* Reply of the server of test_cut_replies(), and how much of it is sent. */
static const char *cut_reply;
static size_t cut_length;

static void
cut_reply_send (int fd)
{
  char request[4096];

  if (recv (fd, request, sizeof request, 0) > 0)
    send (fd, cut_reply, cut_length, MSG_NOSIGNAL);
}

/* Guards against a reply of the store or of another node that breaks off anywhere and is taken for
   whole. */
static void
test_cut_replies (void **state)
{
  static const char *const replies[] = {
    "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
  };
  sgr_http_fetch_request_t request = { .method = "GET", .path = "/" };
  h2o_loop_t *loop = h2o_evloop_create ();
  sgr_http_fetcher_t *fetcher = sgr_http_fetcher_create (loop, TIMEOUT_MS, BODY_MAX_BYTES);

  request.address.ip = INADDR_LOOPBACK;
  assert_true (sgr_scripted_target_start (&request.address.port, cut_reply_send));
  for (size_t i = 0; i < sizeof replies / sizeof replies[0]; i++)
    {
      cut_reply = replies[i];
      for (cut_length = 0; cut_length <= strlen (cut_reply); cut_length++)
        {
          reported_t reported = { 0 };

          sgr_http_fetch_start (fetcher, &request, on_fetched, &reported);
          while (!reported.is_done)
            h2o_evloop_run (loop, 10);
          if ((reported.error == NULL) != (cut_length == strlen (cut_reply)))
            fail_msg ("reply %zu, %zu of %zu bytes: %s", i, cut_length, strlen (cut_reply),
                      reported.error != NULL ? reported.error : "whole");
        }
    }
  sgr_http_fetcher_destroy (fetcher);
  h2o_evloop_run (loop, 0);
  h2o_evloop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_bytes_that_are_no_answer), cmocka_unit_test (test_cut_replies) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
