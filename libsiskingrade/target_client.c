#include "target_client.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "result.h"
#include "target_head.h"

/* Longer than any deadline: the gate ends requests by their own deadlines. */
#define IO_TIMEOUT_MS (3600ULL * 1000)
/* Below the usual keep-alive timeouts of servers, so that the target rarely closes first. */
#define POOL_IDLE_MS 2000
#define FIELDS_MAX 100

struct sgr_target_client_t
{
  h2o_socketpool_t pool;
  h2o_timeout_t io_timeout;
  h2o_timeout_t at_once;
  h2o_http1client_ctx_t ctx;
  size_t open;
};

struct sgr_target_request_t
{
  sgr_target_client_t *client;
  h2o_http1client_t *http;
  const sgr_target_handlers_t *handlers;
  void *ctx;
  uint8_t *message;
  h2o_iovec_t vector;
  bool is_head;
  bool is_chunked;
  bool is_started;
  bool is_in_callback;
  bool is_cancelled;
  h2o_socket_cb paused_read;
  h2o_socket_cb head_read;    /* h2o's own callbacks, which head_check() and */
  h2o_socket_cb head_written; /* on_written() stand in front of */
  h2o_timeout_entry_t guard;
};

sgr_target_client_t *
sgr_target_client_create (h2o_loop_t *loop, const sgr_address_t *address, size_t connections)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (address->port),
                            .sin_addr.s_addr = htonl (address->ip) };
  sgr_target_client_t *client = calloc (1, sizeof *client);

  sgr_invariant (client != NULL);
  h2o_socketpool_init_by_address (&client->pool, (struct sockaddr *)&to, sizeof to, 0, connections);
  h2o_socketpool_set_timeout (&client->pool, loop, POOL_IDLE_MS);
  h2o_timeout_init (loop, &client->io_timeout, IO_TIMEOUT_MS);
  h2o_timeout_init (loop, &client->at_once, 0);
  client->ctx.loop = loop;
  client->ctx.io_timeout = &client->io_timeout;
  return client;
}

bool
sgr_target_client_is_idle (const sgr_target_client_t *client)
{
  return client->open == 0;
}

void
sgr_target_client_destroy (sgr_target_client_t *client)
{
  if (client == NULL)
    return;
  sgr_invariant (client->open == 0);
  h2o_timeout_unlink (&client->pool._interval_cb.entry);
  h2o_timeout_dispose (client->ctx.loop, &client->pool._interval_cb.timeout);
  h2o_socketpool_dispose (&client->pool);
  h2o_timeout_dispose (client->ctx.loop, &client->io_timeout);
  h2o_timeout_dispose (client->ctx.loop, &client->at_once);
  free (client);
}

static void
request_free (sgr_target_request_t *request)
{
  h2o_timeout_unlink (&request->guard);
  request->client->open--;
  free (request->message);
  free (request);
}

static void
finish (sgr_target_request_t *request, const char *error)
{
  if (!request->is_cancelled)
    {
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
      finish (request, errstr);
      return 0;
    }
  /* h2o reports a close between two chunks as the end of the body. Only then nothing was read. */
  if (errstr != NULL && request->is_chunked && http->sock->bytes_read == 0)
    {
      finish (request, "closed before the last chunk");
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
      finish (request, NULL);
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
  if (count > FIELDS_MAX)
    count = FIELDS_MAX;
  for (size_t i = 0; i < count; i++)
    {
      fields[i].name = headers[i].name->base;
      fields[i].name_length = headers[i].name->len;
      fields[i].value = headers[i].value.base;
      fields[i].value_length = headers[i].value.len;
    }
  return count;
}

/* Finds how the body is framed. A body that ends with the connection cannot be told from a
   truncated one, so it is refused. */
static bool
body_length_find (sgr_target_request_t *request, int status, const sgr_http_field_t *fields,
                  size_t count, int64_t *length)
{
  bool is_chunked = false;

  *length = -1;
  if (request->is_head || status == 204 || status == 304)
    {
      *length = 0;
      return true;
    }
  for (size_t i = 0; i < count; i++)
    {
      if (h2o_lcstris (fields[i].name, fields[i].name_length, H2O_STRLIT ("content-length")))
        *length = (int64_t)h2o_strtosize (fields[i].value, fields[i].value_length);
      else if (h2o_lcstris (fields[i].name, fields[i].name_length,
                            H2O_STRLIT ("transfer-encoding")))
        is_chunked = true;
    }
  request->is_chunked = is_chunked;
  /* With both, two readers may disagree on where the body ends. */
  return is_chunked != (*length >= 0);
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *http, const char *errstr, int minor_version, int status,
         h2o_iovec_t msg, h2o_header_t *headers, size_t header_count, int rlen)
{
  sgr_target_request_t *request = http->data;
  bool is_end = errstr == h2o_http1client_error_is_eos;
  sgr_http_field_t fields[FIELDS_MAX];
  int64_t length;
  size_t count;

  if (errstr != NULL && !is_end)
    {
      finish (request, errstr);
      return NULL;
    }
  count = fields_convert (headers, header_count, fields);
  if (!body_length_find (request, status, fields, count, &length) && !is_end)
    {
      finish (request, "answer without a length");
      return NULL;
    }
  request->is_in_callback = true;
  request->handlers->head (request->ctx, status, fields, count, is_end ? 0 : length);
  request->is_in_callback = false;
  if (is_end)
    {
      finish (request, NULL);
      return NULL;
    }
  if (request->is_cancelled)
    {
      request_free (request);
      return NULL;
    }
  return on_body;
}

static sgr_target_request_t *
request_of (h2o_socket_t *sock)
{
  return ((h2o_http1client_t *)sock->data)->data;
}

static void
head_check (h2o_socket_t *sock, const char *err)
{
  sgr_target_request_t *request = request_of (sock);

  if (err == NULL && !sgr_target_head_is_valid (sock->input->bytes, sock->input->size))
    {
      h2o_http1client_cancel (request->http);
      finish (request, "malformed answer head");
      return;
    }
  request->head_read (sock, err);
}

static void
head_read_guard (sgr_target_request_t *request, h2o_socket_t *sock)
{
  request->head_read = sock->_cb.read;
  sock->_cb.read = head_check;
}

static void
on_written (h2o_socket_t *sock, const char *err)
{
  sgr_target_request_t *request = request_of (sock);

  request->head_written (sock, err);
  if (err == NULL)
    head_read_guard (request, sock);
}

/* Runs after h2o has begun to write the request and before any event of the socket. */
static void
on_guard (h2o_timeout_entry_t *entry)
{
  sgr_target_request_t *request = H2O_STRUCT_FROM_MEMBER (sgr_target_request_t, guard, entry);
  h2o_socket_t *sock = request->http->sock;

  if (sock->_cb.read != NULL)
    head_read_guard (request, sock);
  else
    {
      request->head_written = sock->_cb.write;
      sock->_cb.write = on_written;
    }
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *http, const char *errstr, h2o_iovec_t **vectors, size_t *count,
            int *method_is_head)
{
  sgr_target_request_t *request = http->data;
  bool go;

  if (errstr != NULL)
    {
      finish (request, errstr);
      return NULL;
    }
  request->is_in_callback = true;
  go = request->handlers->starting (request->ctx);
  request->is_in_callback = false;
  if (request->is_cancelled)
    {
      request_free (request);
      return NULL;
    }
  if (!go)
    {
      finish (request, "given up before the start");
      return NULL;
    }
  request->is_started = true;
  request->guard.cb = on_guard;
  h2o_timeout_link (request->client->ctx.loop, &request->client->at_once, &request->guard);
  *vectors = &request->vector;
  *count = 1;
  *method_is_head = request->is_head;
  return on_head;
}

sgr_target_request_t *
sgr_target_request_start (sgr_target_client_t *client, const void *message, size_t length,
                          bool is_head, const sgr_target_handlers_t *handlers, void *ctx)
{
  sgr_target_request_t *request = calloc (1, sizeof *request);

  sgr_invariant (request != NULL);
  request->client = client;
  request->handlers = handlers;
  request->ctx = ctx;
  request->is_head = is_head;
  request->message = malloc (length);
  sgr_invariant (request->message != NULL);
  memcpy (request->message, message, length);
  request->vector = h2o_iovec_init (request->message, length);
  client->open++;
  h2o_http1client_connect_with_pool (&request->http, request, &client->ctx, &client->pool,
                                     on_connect);
  return request;
}

void
sgr_target_request_pause (sgr_target_request_t *request)
{
  h2o_socket_t *sock = request->http->sock;

  if (request->paused_read != NULL || sock == NULL || sock->_cb.read == NULL)
    return;
  request->paused_read = sock->_cb.read;
  h2o_socket_read_stop (sock);
}

void
sgr_target_request_resume (sgr_target_request_t *request)
{
  h2o_socket_cb read = request->paused_read;

  if (read == NULL)
    return;
  request->paused_read = NULL;
  h2o_socket_read_start (request->http->sock, read);
}

void
sgr_target_request_cancel (sgr_target_request_t *request)
{
  request->is_cancelled = true;
  if (request->is_in_callback)
    return; /* the callback's caller closes the connection */
  h2o_http1client_cancel (request->http);
  request_free (request);
}
