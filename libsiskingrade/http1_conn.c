#include "http1_conn.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o/http2.h>

#include "result.h"

/* Requests of one connection that run at the same time; further ones are read when one is answered.
 */
#define OPEN_MAX 32
/* A caller that sends part of a request, or takes no byte of an answer, is given up after this. */
#define STALL_US (30 * SGR_USEC_PER_SEC)
/* A connection without a request is closed after this; callers give idle connections up earlier. */
#define IDLE_US (60 * SGR_USEC_PER_SEC)
/* A close with unread bytes resets the connection and with it an answer on its way, so the bytes
   are read for this long. */
#define LINGER_US (1 * SGR_USEC_PER_SEC)

/* Start of HTTP/2's connection preface. */
static const char preface[] = "PRI ";
#define PREFACE_BYTES (sizeof preface - 1)

static void input_parse (sgr_http1_conn_t *conn);

static sgr_timer_heap_t *
timers_of (const sgr_http1_conn_t *conn)
{
  return conn->server->options.timers;
}

static void
conn_release (sgr_http1_conn_t *conn)
{
  sgr_timer_cancel (timers_of (conn), &conn->timer);
  sgr_timer_cancel (timers_of (conn), &conn->step);
  if (conn->previous != NULL)
    conn->previous->next = conn->next;
  else
    conn->server->first = conn->next;
  if (conn->next != NULL)
    conn->next->previous = conn->previous;
  free (conn);
}

static void
first_remove (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->first;

  conn->first = request->next;
  conn->open--;
  sgr_http1_request_destroy (request);
}

void
sgr_http1_conn_close (sgr_http1_conn_t *conn)
{
  h2o_socket_close (conn->sock);
  while (conn->first != NULL)
    first_remove (conn);
  if (conn->reading != NULL)
    sgr_http1_request_destroy (conn->reading);
  if (conn->complete != NULL)
    sgr_http1_request_destroy (conn->complete);
  conn_release (conn);
}

/* Sets the time after which the connection is given up, by what it waits for. */
static void
timer_arm (sgr_http1_conn_t *conn)
{
  uint64_t wait_us = IDLE_US;

  if (conn->is_lingering)
    wait_us = LINGER_US;
  else if (conn->is_writing || conn->reading != NULL)
    wait_us = STALL_US;
  else if (conn->open > 0)
    {
      sgr_timer_cancel (timers_of (conn), &conn->timer);
      return;
    }
  sgr_timer_arm (timers_of (conn), &conn->timer, sgr_clock_monotonic_us () + wait_us);
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  sgr_http1_conn_close (ctx);
}

static void
linger (sgr_http1_conn_t *conn)
{
  conn->is_lingering = true;
  shutdown (h2o_socket_get_fd (conn->sock), SHUT_WR);
  timer_arm (conn);
}

static void
request_add (sgr_http1_conn_t *conn, sgr_http1_request_t *request)
{
  if (conn->first == NULL)
    conn->first = request;
  else
    conn->last->next = request;
  conn->last = request;
  conn->open++;
}

/* The connection ends with an answer that says why nothing more is read. */
static void
refuse (sgr_http1_conn_t *conn, int status)
{
  sgr_http1_request_t *request = conn->reading;

  if (request == NULL)
    request = sgr_http1_request_create (conn);
  conn->reading = NULL;
  conn->is_last_read = true;
  sgr_http1_request_refuse (request, status);
  request_add (conn, request);
  sgr_http1_conn_flush (conn);
}

static void on_written (h2o_socket_t *sock, const char *err);

void
sgr_http1_conn_continue (sgr_http1_conn_t *conn)
{
  static h2o_iovec_t text = { H2O_STRLIT ("HTTP/1.1 100 Continue\r\n\r\n") };

  if (conn->first != NULL || conn->is_writing)
    return;
  conn->is_writing = true;
  conn->is_continuing = true;
  h2o_socket_write (conn->sock, &text, 1, on_written);
}

/* Removes the oldest request, whose answer was written whole. */
static void
first_end (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->first;
  bool is_last = conn->is_last_read && request->next == NULL;

  if (!is_last)
    is_last = request->refusal == NULL && !request->req.http1_is_persistent;
  first_remove (conn);
  if (is_last)
    {
      /* Requests behind an answer that closes the connection count as not read by the caller. */
      while (conn->first != NULL)
        first_remove (conn);
      conn->is_last_read = true;
      linger (conn);
      return;
    }
  timer_arm (conn);
  sgr_http1_conn_flush (conn);
  if (!conn->is_last_read && !h2o_socket_is_reading (conn->sock))
    input_parse (conn);
}

static void
part_end (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->first;

  conn->is_writing = false;
  request->has_output = false;
  if (request->output_state == H2O_SEND_STATE_IN_PROGRESS)
    {
      timer_arm (conn);
      h2o_proceed_response (&request->req);
    }
  else if (request->output_state == H2O_SEND_STATE_FINAL)
    first_end (conn);
  else
    sgr_http1_conn_close (conn);
}

static void
on_written (h2o_socket_t *sock, const char *err)
{
  sgr_http1_conn_t *conn = sock->data;

  if (err != NULL)
    {
      sgr_http1_conn_close (conn);
      return;
    }
  if (!conn->is_continuing)
    {
      part_end (conn);
      return;
    }
  conn->is_continuing = false;
  conn->is_writing = false;
  sgr_http1_conn_flush (conn);
}

static void
on_step (void *ctx, uint64_t now_us)
{
  part_end (ctx);
}

void
sgr_http1_conn_flush (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->first;
  h2o_iovec_t *vectors;
  bool closes;
  size_t count;

  if (request == NULL || !request->has_output || conn->is_writing)
    return;
  closes = (conn->is_last_read && request->next == NULL)
           || (request->refusal == NULL && !request->req.http1_is_persistent);
  vectors = sgr_http1_request_vectors (request, closes, &count);
  conn->is_writing = true;
  timer_arm (conn);
  if (count > 0)
    h2o_socket_write (conn->sock, vectors, count, on_written);
  else
    sgr_timer_arm (timers_of (conn), &conn->step, sgr_clock_monotonic_us ());
}

static int
status_of_error (const sgr_http1_conn_t *conn)
{
  if (conn->error_status != 0)
    return conn->error_status;
  return HTTP_PARSER_ERRNO (&conn->parser) == HPE_HEADER_OVERFLOW ? 431 : 400;
}

/* Reads as many requests as the connection may have open. Each is started after the parser has
   returned, because its handler may answer at once. */
static void
input_parse (sgr_http1_conn_t *conn)
{
  h2o_socket_t *sock = conn->sock;

  while (sock->input->size > 0 && !conn->is_last_read && conn->open < OPEN_MAX)
    {
      size_t used = http_parser_execute (&conn->parser, &sgr_http1_parser_settings,
                                         sock->input->bytes, sock->input->size);
      enum http_errno error = HTTP_PARSER_ERRNO (&conn->parser);
      sgr_http1_request_t *request = conn->complete;

      if (error != HPE_OK && error != HPE_PAUSED)
        {
          refuse (conn, status_of_error (conn));
          break;
        }
      h2o_buffer_consume (&sock->input, used);
      http_parser_pause (&conn->parser, 0);
      if (request == NULL)
        continue;
      conn->complete = NULL;
      request_add (conn, request);
      sgr_http1_request_start (request);
    }
  if (conn->is_last_read)
    h2o_buffer_consume (&sock->input, sock->input->size);
  else if (conn->open >= OPEN_MAX)
    h2o_socket_read_stop (sock);
  timer_arm (conn);
}

/* Tells HTTP/2 from HTTP/1.1 by the first bytes. Returns true if the connection was handed over. */
static bool
is_handed_over (sgr_http1_conn_t *conn)
{
  sgr_http1_server_t *server = conn->server;
  struct timeval connected_at = conn->super.connected_at;
  h2o_socket_t *sock = conn->sock;

  if (sock->input->size < PREFACE_BYTES || memcmp (sock->input->bytes, preface, PREFACE_BYTES) != 0)
    return false;
  h2o_socket_read_stop (sock);
  conn_release (conn);
  h2o_http2_accept (server->options.accept, sock, connected_at);
  return true;
}

static void
on_read (h2o_socket_t *sock, const char *err)
{
  sgr_http1_conn_t *conn = sock->data;

  if (err != NULL)
    {
      sgr_http1_conn_close (conn);
      return;
    }
  input_parse (conn);
}

static void
on_first_read (h2o_socket_t *sock, const char *err)
{
  sgr_http1_conn_t *conn = sock->data;

  if (err == NULL)
    {
      if (sock->input->size < PREFACE_BYTES
          && memcmp (sock->input->bytes, preface, sock->input->size) == 0)
        return;
      if (is_handed_over (conn))
        return;
      h2o_socket_read_start (sock, on_read);
    }
  on_read (sock, err);
}

static socklen_t
get_sockname (h2o_conn_t *conn, struct sockaddr *address)
{
  return h2o_socket_getsockname (((sgr_http1_conn_t *)conn)->sock, address);
}

static socklen_t
get_peername (h2o_conn_t *conn, struct sockaddr *address)
{
  return h2o_socket_getpeername (((sgr_http1_conn_t *)conn)->sock, address);
}

static h2o_socket_t *
get_socket (h2o_conn_t *conn)
{
  return ((sgr_http1_conn_t *)conn)->sock;
}

void
sgr_http1_conn_create (sgr_http1_server_t *server, h2o_socket_t *sock, struct timeval connected_at)
{
  static const h2o_conn_callbacks_t callbacks
      = { .get_sockname = get_sockname, .get_peername = get_peername, .get_socket = get_socket };
  h2o_accept_ctx_t *accept = server->options.accept;
  sgr_http1_conn_t *conn = (sgr_http1_conn_t *)h2o_create_connection (
      sizeof *conn, accept->ctx, accept->hosts, connected_at, &callbacks);

  memset ((char *)conn + sizeof conn->super, 0, sizeof *conn - sizeof conn->super);
  conn->server = server;
  conn->sock = sock;
  conn->timer = (sgr_timer_t){ .fire = on_timer, .ctx = conn };
  conn->step = (sgr_timer_t){ .fire = on_step, .ctx = conn };
  conn->next = server->first;
  if (server->first != NULL)
    server->first->previous = conn;
  server->first = conn;
  http_parser_init (&conn->parser, HTTP_REQUEST);
  conn->parser.data = conn;
  sock->data = conn;
  timer_arm (conn);
  h2o_socket_read_start (sock, on_first_read);
}

void
sgr_http1_conn_drain (sgr_http1_conn_t *conn)
{
  if (conn->is_last_read)
    return;
  /* A request that has partly arrived is still read; its answer closes the connection. */
  if (conn->reading != NULL)
    return;
  conn->is_last_read = true;
  if (conn->open == 0)
    linger (conn);
}
