#include "target_client.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http_fields.h"
#include "http_head_guard.h"
#include "result.h"
#include "task_loop.h"

/* h2o's I/O timeout. It is longer than any deadline, because the gate cancels each request at the
   request's deadline. */
#define IO_TIMEOUT_MS (3600ULL * 1000)
/* Time after which an unused connection is closed. It is below the usual keep-alive timeouts of
   servers, so that the target rarely closes a connection that a request is about to use. */
#define POOL_IDLE_MS 2000
/* Receive buffer of a connection to the target. h2o reads until the socket is empty, so that its
   memory for a fast sender is a multiple of this size. */
#define RECEIVE_BUFFER_BYTES (128 * 1024)
/* Header fields of an answer; further ones are ignored. */
#define ANSWER_FIELDS_MAX 100

struct sgr_target_client_t
{
  h2o_socketpool_t pool;
  h2o_timeout_t io_timeout;
  h2o_timeout_t immediate_timeout;
  h2o_http1client_ctx_t ctx;
  size_t open_requests;
};

/**
 * struct sgr_target_request_t - a request to the target
 * @head_guard: checks the head of the answer; the first member
 * @client: client of the request
 * @start_entry: linked until the connection is requested
 * @http: h2o's client for this request, NULL while @start_entry is linked
 * @handlers: callbacks
 * @ctx: passed to the callbacks
 * @head: head of the request
 * @body: body of the request
 * @vectors: @head and @body in the form that h2o sends
 * @is_head: the method is HEAD
 * @is_chunked: the answer has the chunked transfer coding
 * @is_started: a byte may have reached the target
 * @is_in_callback: a callback runs
 * @is_cancelled: cancelled within a callback; the request is freed when the callback has returned
 * @paused_read_cb: read callback of the socket while reading is paused, else NULL
 */
struct sgr_target_request_t
{
  sgr_http_head_guard_t head_guard;
  sgr_target_client_t *client;
  h2o_timeout_entry_t start_entry;
  h2o_http1client_t *http;
  const sgr_target_handlers_t *handlers;
  void *ctx;
  sgr_buffer_t head;
  sgr_buffer_t body;
  h2o_iovec_t vectors[2];
  bool is_head;
  bool is_chunked;
  bool is_started;
  bool is_in_callback;
  bool is_cancelled;
  h2o_socket_cb paused_read_cb;
};

sgr_target_client_t *
sgr_target_client_create (h2o_loop_t *loop, const sgr_address_t *address, size_t connections_max)
{
  struct sockaddr_in target_address = { .sin_family = AF_INET,
                                        .sin_port = htons (address->port),
                                        .sin_addr.s_addr = htonl (address->ip) };
  sgr_target_client_t *client = calloc (1, sizeof *client);

  sgr_invariant (client != NULL);
  h2o_socketpool_init_by_address (&client->pool, (struct sockaddr *)&target_address,
                                  sizeof target_address, 0, connections_max);
  h2o_socketpool_set_timeout (&client->pool, loop, POOL_IDLE_MS);
  h2o_timeout_init (loop, &client->io_timeout, IO_TIMEOUT_MS);
  h2o_timeout_init (loop, &client->immediate_timeout, 0);
  client->ctx.loop = loop;
  client->ctx.io_timeout = &client->io_timeout;
  return client;
}

bool
sgr_target_client_is_idle (const sgr_target_client_t *client)
{
  return client->open_requests == 0;
}

void
sgr_target_client_destroy (sgr_target_client_t *client)
{
  if (client == NULL)
    return;
  sgr_invariant (client->open_requests == 0);
  h2o_socketpool_dispose (&client->pool);
  h2o_timeout_dispose (client->ctx.loop, &client->io_timeout);
  h2o_timeout_dispose (client->ctx.loop, &client->immediate_timeout);
  free (client);
}

static void
request_free (sgr_target_request_t *request)
{
  sgr_http_head_guard_stop (&request->head_guard);
  h2o_timeout_unlink (&request->start_entry);
  request->client->open_requests--;
  sgr_buffer_release (&request->head);
  sgr_buffer_release (&request->body);
  free (request);
}

static void
request_finish (sgr_target_request_t *request, const char *error)
{
  if (!request->is_cancelled)
    {
      request->is_in_callback = true;
      if (error == NULL)
        request->handlers->done (request->ctx);
      else
        request->handlers->failed (request->ctx, request->is_started, error);
    }
  request_free (request);
}

static int
on_body (h2o_http1client_t *http, const char *errstr)
{
  sgr_target_request_t *request = http->data;
  h2o_buffer_t *input;

  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      request_finish (request, errstr);
      return 0;
    }
  /* h2o reports a connection that closes between two chunks as the end of the body. Only
     in that case bytes_read is 0. */
  if (errstr != NULL && request->is_chunked && http->sock->bytes_read == 0)
    {
      request_finish (request, "connection closed before the last chunk");
      return 0;
    }
  input = http->sock->input;
  if (input->size > 0)
    {
      request->is_in_callback = true;
      request->handlers->body (request->ctx, input->bytes, input->size);
      request->is_in_callback = false;
      h2o_buffer_consume (&http->sock->input, input->size);
    }
  if (errstr == h2o_http1client_error_is_eos)
    {
      request_finish (request, NULL);
      return 0;
    }
  if (request->is_cancelled)
    {
      request_free (request);
      return -1;
    }
  return 0;
}

static size_t
fields_convert (const h2o_header_t *headers, size_t count, sgr_http_field_t *fields)
{
  if (count > ANSWER_FIELDS_MAX)
    count = ANSWER_FIELDS_MAX;
  for (size_t i = 0; i < count; i++)
    {
      fields[i].name = headers[i].name->base;
      fields[i].name_length = headers[i].name->len;
      fields[i].value = headers[i].value.base;
      fields[i].value_length = headers[i].value.len;
    }
  return count;
}

/* Determines the length of the body, -1 for the chunked transfer coding. Returns false if the
   answer has neither a length nor this coding: such a body ends when the connection closes, and a
   truncated one would look complete. An answer with both, or with two lengths, is rejected, too:
   recipients may disagree on where its body ends. */
static bool
body_length_find (sgr_target_request_t *request, int status, const sgr_http_field_t *fields,
                  size_t count, int64_t *length)
{
  bool is_chunked = false;
  bool is_ambiguous = false;

  *length = -1;
  if (request->is_head || status == 204 || status == 304)
    {
      *length = 0;
      return true;
    }
  for (size_t i = 0; i < count; i++)
    {
      if (h2o_lcstris (fields[i].name, fields[i].name_length, H2O_STRLIT ("content-length")))
        {
          int64_t value = (int64_t)h2o_strtosize (fields[i].value, fields[i].value_length);

          is_ambiguous = is_ambiguous || (*length >= 0 && *length != value);
          *length = value;
        }
      else if (h2o_lcstris (fields[i].name, fields[i].name_length,
                            H2O_STRLIT ("transfer-encoding")))
        is_chunked = true;
    }
  request->is_chunked = is_chunked;
  return !is_ambiguous && is_chunked != (*length >= 0);
}

/* Closes the connection of a request whose answer ends with its head. h2o would keep it. */
static void
connection_close (h2o_http1client_t *http)
{
  h2o_socket_close (h2o_http1client_steal_socket (http));
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *http, const char *errstr, int minor_version, int status,
         h2o_iovec_t msg, h2o_header_t *headers, size_t header_count, int rlen)
{
  sgr_target_request_t *request = http->data;
  bool is_end = errstr == h2o_http1client_error_is_eos;
  sgr_http_field_t fields[ANSWER_FIELDS_MAX];
  int64_t length;
  size_t count;

  if (errstr != NULL && !is_end)
    {
      request_finish (request, errstr);
      return NULL;
    }
  /* h2o takes three digits of any value for a status. An interim answer other than 101 does not get
     here; 101 would change the protocol, which no request asked for. */
  if (status < SGR_HTTP_STATUS_FINAL_MIN || status > SGR_HTTP_STATUS_FINAL_MAX)
    {
      request_finish (request, "status is not that of a final answer");
      return NULL;
    }
  count = fields_convert (headers, header_count, fields);
  if (!body_length_find (request, status, fields, count, &length))
    {
      if (is_end)
        connection_close (http);
      request_finish (request, "not one of Content-Length and Transfer-Encoding");
      return NULL;
    }
  request->is_in_callback = true;
  request->handlers->head (request->ctx, status, fields, count, is_end ? 0 : length);
  request->is_in_callback = false;
  if (is_end)
    {
      if (request->is_cancelled)
        connection_close (http);
      request_finish (request, NULL);
      return NULL;
    }
  if (request->is_cancelled)
    {
      request_free (request);
      return NULL;
    }
  return on_body;
}

static void
on_head_rejected (sgr_http_head_guard_t *guard, const char *reason)
{
  sgr_target_request_t *request = (sgr_target_request_t *)guard;

  h2o_http1client_cancel (request->http);
  request_finish (request, reason);
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *http, const char *errstr, h2o_iovec_t **vectors, size_t *count,
            int *method_is_head)
{
  sgr_target_request_t *request = http->data;
  int buffer_bytes = RECEIVE_BUFFER_BYTES;
  bool may_start;

  if (errstr != NULL)
    {
      request_finish (request, errstr);
      return NULL;
    }
  request->is_in_callback = true;
  may_start = request->handlers->starting (request->ctx);
  request->is_in_callback = false;
  if (request->is_cancelled)
    {
      request_free (request);
      return NULL;
    }
  if (!may_start)
    {
      request_finish (request, "ended before the request was sent");
      return NULL;
    }
  request->is_started = true;
  /* A failure only means that the connection may use more memory. */
  setsockopt (h2o_socket_get_fd (http->sock), SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  sgr_http_head_guard_start (&request->head_guard, http, &request->client->immediate_timeout,
                             on_head_rejected);
  *vectors = request->vectors;
  *count = request->body.length > 0 ? 2 : 1;
  *method_is_head = request->is_head;
  return on_head;
}

/* Connects from the event loop: h2o reports a connection of the pool, and a connect() that fails at
   once, before h2o_http1client_connect_with_pool() returns. */
static void
on_start (h2o_timeout_entry_t *entry)
{
  sgr_target_request_t *request = H2O_STRUCT_FROM_MEMBER (sgr_target_request_t, start_entry, entry);

  h2o_http1client_connect_with_pool (&request->http, request, &request->client->ctx,
                                     &request->client->pool, on_connect);
}

sgr_target_request_t *
sgr_target_request_start (sgr_target_client_t *client, sgr_buffer_t *head, sgr_buffer_t *body,
                          bool is_head, const sgr_target_handlers_t *handlers, void *ctx)
{
  sgr_target_request_t *request = calloc (1, sizeof *request);

  sgr_invariant (request != NULL);
  request->client = client;
  request->handlers = handlers;
  request->ctx = ctx;
  request->is_head = is_head;
  request->head = *head;
  *head = (sgr_buffer_t){ 0 };
  if (body != NULL)
    {
      request->body = *body;
      *body = (sgr_buffer_t){ 0 };
    }
  request->vectors[0] = h2o_iovec_init (request->head.bytes, request->head.length);
  request->vectors[1] = h2o_iovec_init (request->body.bytes, request->body.length);
  client->open_requests++;
  request->start_entry.cb = on_start;
  sgr_task_loop_defer (client->ctx.loop, &client->immediate_timeout, &request->start_entry);
  return request;
}

void
sgr_target_request_pause (sgr_target_request_t *request)
{
  h2o_socket_t *sock = request->http->sock;

  if (request->paused_read_cb != NULL || sock == NULL || sock->_cb.read == NULL)
    return;
  request->paused_read_cb = sock->_cb.read;
  h2o_socket_read_stop (sock);
}

void
sgr_target_request_resume (sgr_target_request_t *request)
{
  h2o_socket_cb read = request->paused_read_cb;

  if (read == NULL)
    return;
  request->paused_read_cb = NULL;
  h2o_socket_read_start (request->http->sock, read);
}

void
sgr_target_request_cancel (sgr_target_request_t *request)
{
  request->is_cancelled = true;
  /* The function that runs the callback closes the connection and frees the request after the
     callback has returned. */
  if (request->is_in_callback)
    return;
  if (request->http != NULL)
    h2o_http1client_cancel (request->http);
  request_free (request);
}
