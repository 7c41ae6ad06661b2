#include "http1_conn.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <netinet/in.h>

#include "http2_guard.h"
#include "result.h"
#include "socket_input.h"

/* Requests of one connection that may run at the same time. Further ones are read when one of them
   is answered. */
#define OPEN_REQUESTS_MAX 32
/* Time after which a connection without a request is closed. Callers close idle connections
   earlier. */
#define IDLE_TIMEOUT_US (60 * SGR_USEC_PER_SEC)
/* Closing a socket with unread input resets the connection, which can destroy an answer in transit.
   Input is therefore read and discarded for this long before the close. */
#define LINGER_TIMEOUT_US (1 * SGR_USEC_PER_SEC)
/* Time for which an idle connection of a node that stops waits for a request in transit. */
#define DRAIN_IDLE_TIMEOUT_US (300 * SGR_USEC_PER_MSEC)

/* Time without a byte of a body after which its connection makes room for a new one. */
#define BODY_STALL_US (1 * SGR_USEC_PER_SEC)

/* First bytes of HTTP/2's connection preface. */
static const char http2_preface_start[] = "PRI ";
#define PREFACE_BYTES (sizeof http2_preface_start - 1)

static void input_parse (sgr_http1_conn_t *conn);
static void parse_error_answer (sgr_http1_conn_t *conn, int status);

static sgr_timer_heap_t *
timers_of (const sgr_http1_conn_t *conn)
{
  return conn->server->options.timers;
}

static void
conn_release (sgr_http1_conn_t *conn)
{
  sgr_timer_cancel (timers_of (conn), &conn->timeout);
  sgr_timer_cancel (timers_of (conn), &conn->empty_part_timer);
  sgr_memory_holder_end (&conn->memory);
  conn->server->connections--;
  if (conn->previous != NULL)
    conn->previous->next = conn->next;
  else
    conn->server->first = conn->next;
  if (conn->next != NULL)
    conn->next->previous = conn->previous;
  free (conn);
}

static void
oldest_request_remove (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->oldest;

  conn->oldest = request->next;
  conn->open_count--;
  sgr_http1_request_destroy (request);
}

void
sgr_http1_conn_close (sgr_http1_conn_t *conn)
{
  h2o_socket_close (conn->sock);
  while (conn->oldest != NULL)
    oldest_request_remove (conn);
  if (conn->reading != NULL)
    sgr_http1_request_destroy (conn->reading);
  if (conn->complete != NULL)
    sgr_http1_request_destroy (conn->complete);
  conn_release (conn);
}

/* Whether the head of a request has begun and is not complete. */
static bool
is_head_open (const sgr_http1_conn_t *conn)
{
  return conn->reading != NULL && !conn->reading->is_head_complete && !conn->is_last_request_read;
}

/* Sets the time at which the connection is closed, depending on what the connection waits for. */
static void
timeout_arm (sgr_http1_conn_t *conn)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  uint64_t wait_us = IDLE_TIMEOUT_US;

  if (conn->is_lingering)
    wait_us = LINGER_TIMEOUT_US;
  else if (conn->server->is_draining && conn->open_count == 0)
    wait_us = conn->reading != NULL ? LINGER_TIMEOUT_US : DRAIN_IDLE_TIMEOUT_US;
  else if (conn->is_writing || conn->reading != NULL)
    wait_us = conn->server->options.stall_timeout_us;
  else if (conn->open_count > 0)
    {
      sgr_timer_cancel (timers_of (conn), &conn->timeout);
      return;
    }
  /* Bytes of a head do not prolong the time for it. */
  if (is_head_open (conn) && conn->head_due_us < now_us + wait_us)
    wait_us = conn->head_due_us > now_us ? conn->head_due_us - now_us : 0;
  sgr_timer_arm (timers_of (conn), &conn->timeout, now_us + wait_us);
}

/* Shuts down the sending side and starts to discard input. */
static void
linger (sgr_http1_conn_t *conn)
{
  conn->is_lingering = true;
  shutdown (h2o_socket_get_fd (conn->sock), SHUT_WR);
  timeout_arm (conn);
}

static void
on_timeout (void *ctx, uint64_t now_us)
{
  sgr_http1_conn_t *conn = ctx;

  if (!conn->is_lingering && conn->server->is_draining && conn->open_count == 0
      && conn->reading == NULL)
    linger (conn);
  else if (conn->reading != NULL && !conn->is_last_request_read
           && (!conn->is_writing || (is_head_open (conn) && now_us >= conn->head_due_us)))
    parse_error_answer (conn, 408);
  else
    sgr_http1_conn_close (conn);
}

static void
request_add (sgr_http1_conn_t *conn, sgr_http1_request_t *request)
{
  if (conn->oldest == NULL)
    conn->oldest = request;
  else
    conn->newest->next = request;
  conn->newest = request;
  conn->open_count++;
}

/* Answers a request that is not passed on with an error status. No further request is parsed, so
   this is the last answer of the connection. */
static void
parse_error_answer (sgr_http1_conn_t *conn, int status)
{
  sgr_http1_request_t *request = conn->reading;

  if (request == NULL)
    request = sgr_http1_request_create (conn);
  conn->reading = NULL;
  conn->memory.may_drop = false;
  conn->is_last_request_read = true;
  sgr_http1_request_set_error (request, status);
  request_add (conn, request);
  if (conn->server->options.rejected != NULL)
    conn->server->options.rejected (conn->server->options.ctx, status);
  sgr_http1_conn_flush (conn);
}

static void on_written (h2o_socket_t *sock, const char *err);

void
sgr_http1_conn_send_continue (sgr_http1_conn_t *conn)
{
  static h2o_iovec_t text = { H2O_STRLIT ("HTTP/1.1 100 Continue\r\n\r\n") };

  if (conn->oldest != NULL || conn->is_writing)
    return;
  conn->is_writing = true;
  conn->is_writing_continue = true;
  h2o_socket_write (conn->sock, &text, 1, on_written);
}

/* Removes the oldest request after its whole answer was written. */
static void
oldest_request_end (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->oldest;
  bool is_last = conn->is_last_request_read && request->next == NULL;

  if (!is_last)
    is_last = request->error_text == NULL && !request->req.http1_is_persistent;
  oldest_request_remove (conn);
  if (is_last)
    {
      /* Discards newer requests: after an answer that closes the connection, the caller treats
         them as never read. */
      while (conn->oldest != NULL)
        oldest_request_remove (conn);
      conn->is_last_request_read = true;
      linger (conn);
      return;
    }
  timeout_arm (conn);
  sgr_http1_conn_flush (conn);
  if (!conn->is_last_request_read && !h2o_socket_is_reading (conn->sock))
    input_parse (conn);
}

/* Continues after one part of the oldest request's answer has been written. */
static void
answer_part_end (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->oldest;

  conn->is_writing = false;
  request->has_output = false;
  if (request->output_state == H2O_SEND_STATE_IN_PROGRESS)
    {
      timeout_arm (conn);
      h2o_proceed_response (&request->req);
    }
  else if (request->output_state == H2O_SEND_STATE_FINAL)
    oldest_request_end (conn);
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
  if (!conn->is_writing_continue)
    {
      answer_part_end (conn);
      return;
    }
  conn->is_writing_continue = false;
  conn->is_writing = false;
  sgr_http1_conn_flush (conn);
}

static void
on_empty_part (void *ctx, uint64_t now_us)
{
  answer_part_end (ctx);
}

void
sgr_http1_conn_flush (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = conn->oldest;
  h2o_iovec_t *vectors;
  bool closes_connection;
  size_t count;

  if (request == NULL || !request->has_output || conn->is_writing)
    return;
  if (conn->server->is_leaving && !request->is_head_sent && request->next == NULL
      && conn->reading == NULL && conn->sock->input->size == 0)
    conn->is_last_request_read = true;
  closes_connection = (conn->is_last_request_read && request->next == NULL)
                      || (request->error_text == NULL && !request->req.http1_is_persistent);
  vectors = sgr_http1_request_output (request, closes_connection, &count);
  conn->is_writing = true;
  timeout_arm (conn);
  if (count > 0)
    h2o_socket_write (conn->sock, vectors, count, on_written);
  else
    sgr_timer_arm (timers_of (conn), &conn->empty_part_timer, sgr_clock_monotonic_us ());
}

static int
parse_error_status (const sgr_http1_conn_t *conn)
{
  if (conn->error_status != 0)
    return conn->error_status;
  return HTTP_PARSER_ERRNO (&conn->parser) == HPE_HEADER_OVERFLOW ? 431 : 400;
}

/* Counts the received bytes that wait until open requests are answered, and sets whether the
   connection may be dropped: while a request is unfinished, or while such bytes wait. */
static void
input_count (sgr_http1_conn_t *conn)
{
  size_t bytes = conn->sock->input->size;

  sgr_memory_budget_release (&conn->memory, conn->input_bytes);
  conn->input_bytes = bytes;
  conn->memory.may_drop = bytes > 0 || (conn->reading != NULL && !conn->is_last_request_read);
  if (bytes > 0)
    sgr_memory_budget_charge (&conn->memory, bytes, sgr_clock_monotonic_us ());
}

/* Parses requests until the connection has OPEN_REQUESTS_MAX open ones. A request starts only after
   the parser has returned, because its handler may answer at once. */
static void
input_parse (sgr_http1_conn_t *conn)
{
  h2o_socket_t *sock = conn->sock;

  while (sock->input->size > 0 && !conn->is_last_request_read
         && conn->open_count < OPEN_REQUESTS_MAX)
    {
      size_t used = http_parser_execute (&conn->parser, &sgr_http1_parser_settings,
                                         sock->input->bytes, sock->input->size);
      enum http_errno error = HTTP_PARSER_ERRNO (&conn->parser);
      sgr_http1_request_t *request = conn->complete;

      if (error != HPE_OK && error != HPE_PAUSED)
        {
          parse_error_answer (conn, parse_error_status (conn));
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
  if (conn->is_last_request_read)
    h2o_buffer_consume (&sock->input, sock->input->size);
  else if (conn->open_count >= OPEN_REQUESTS_MAX)
    h2o_socket_read_stop (sock);
  sgr_socket_input_shrink (sock);
  input_count (conn);
  /* Bytes that a caller goes on sending do not prolong the wait for its close. */
  if (!conn->is_lingering)
    timeout_arm (conn);
}

/* Hands the connection over to h2o if the first bytes are those of HTTP/2. Returns true if it did;
   the connection object is then freed. */
static bool
hand_over_if_http2 (sgr_http1_conn_t *conn)
{
  sgr_http1_server_t *server = conn->server;
  struct timeval connected_at = conn->super.connected_at;
  uint32_t address = conn->memory.address;
  h2o_socket_t *sock = conn->sock;

  if (sock->input->size < PREFACE_BYTES
      || memcmp (sock->input->bytes, http2_preface_start, PREFACE_BYTES) != 0)
    return false;
  h2o_socket_read_stop (sock);
  conn_release (conn);
  sgr_http2_guard_accept (server, sock, connected_at, address);
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

/* Handles the first bytes of a connection. Waits for more bytes as long as those received may be
   the start of HTTP/2's preface. */
static void
on_first_read (h2o_socket_t *sock, const char *err)
{
  sgr_http1_conn_t *conn = sock->data;

  if (err == NULL)
    {
      if (sock->input->size < PREFACE_BYTES
          && memcmp (sock->input->bytes, http2_preface_start, sock->input->size) == 0)
        return;
      if (hand_over_if_http2 (conn))
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

/* Releases the unfinished request of a connection for lack of memory. It was not run, so its caller
   may send it again. A connection whose bytes wait behind OPEN_REQUESTS_MAX requests is closed. */
static void
on_memory_drop (void *ctx)
{
  sgr_http1_conn_t *conn = ctx;

  if (conn->reading != NULL && !conn->is_last_request_read)
    parse_error_answer (conn, 503);
  else if (conn->input_bytes > 0)
    sgr_http1_conn_close (conn);
}

static uint32_t
caller_address (h2o_socket_t *sock)
{
  struct sockaddr_storage address;

  if (h2o_socket_getpeername (sock, (struct sockaddr *)&address) == 0
      || address.ss_family != AF_INET)
    return 0;
  return ntohl (((struct sockaddr_in *)&address)->sin_addr.s_addr);
}

bool
sgr_http1_conn_close_for_room (sgr_http1_server_t *server)
{
  sgr_http1_conn_t *unfinished = NULL, *idle = NULL;
  uint64_t stalled_us = sgr_clock_monotonic_us () - BODY_STALL_US;

  /* New connections are put in front of the list, so that the last one found is the oldest. */
  for (sgr_http1_conn_t *conn = server->first; conn != NULL; conn = conn->next)
    {
      if (conn->open_count > 0 || conn->is_writing)
        continue;
      if (is_head_open (conn) || (conn->reading != NULL && conn->memory.progress_us < stalled_us))
        unfinished = conn;
      else if (conn->reading == NULL || conn->is_lingering)
        idle = conn;
    }
  if (unfinished == NULL)
    unfinished = idle;
  if (unfinished != NULL)
    sgr_http1_conn_close (unfinished);
  return unfinished != NULL;
}

static const h2o_conn_callbacks_t callbacks
    = { .get_sockname = get_sockname, .get_peername = get_peername, .get_socket = get_socket };

bool
sgr_http1_server_is_own (const h2o_conn_t *conn)
{
  return conn->callbacks == &callbacks;
}

void
sgr_http1_conn_create (sgr_http1_server_t *server, h2o_socket_t *sock, struct timeval connected_at)
{
  h2o_accept_ctx_t *accept = server->options.accept;
  sgr_http1_conn_t *conn = (sgr_http1_conn_t *)h2o_create_connection (
      sizeof *conn, accept->ctx, accept->hosts, connected_at, &callbacks);

  memset ((char *)conn + sizeof conn->super, 0, sizeof *conn - sizeof conn->super);
  conn->server = server;
  conn->sock = sock;
  conn->memory = (sgr_memory_holder_t){ .kind = SGR_MEMORY_REQUEST,
                                        .address = caller_address (sock),
                                        .drop = on_memory_drop,
                                        .ctx = conn };
  sgr_memory_holder_begin (&conn->memory, server->options.memory, sgr_clock_monotonic_us ());
  server->connections++;
  conn->timeout = (sgr_timer_t){ .fire = on_timeout, .ctx = conn };
  conn->empty_part_timer = (sgr_timer_t){ .fire = on_empty_part, .ctx = conn };
  conn->next = server->first;
  if (server->first != NULL)
    server->first->previous = conn;
  server->first = conn;
  http_parser_init (&conn->parser, HTTP_REQUEST);
  conn->parser.data = conn;
  sock->data = conn;
  timeout_arm (conn);
  h2o_socket_read_start (sock, on_first_read);
}

void
sgr_http1_conn_drain (sgr_http1_conn_t *conn)
{
  if (!conn->is_last_request_read && conn->open_count == 0 && conn->reading == NULL)
    timeout_arm (conn);
}
