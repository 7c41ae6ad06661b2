#include "http_listener.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "listener.h"

/* Stands for the default port of the scheme in h2o's host configuration. */
#define SCHEME_DEFAULT_PORT 65535
/* Any number with this many digits fits into a uint64_t. */
#define NUMBER_DIGITS_MAX 18
#define NUMBER_TEXT_BYTES 24

struct sgr_http_listener_t
{
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  h2o_socket_t *socket;
  size_t connections;
};

static void
on_close (void *ctx)
{
  sgr_http_listener_t *listener = ctx;

  listener->connections--;
}

static void
on_accept (h2o_socket_t *socket, const char *error)
{
  sgr_http_listener_t *listener = socket->data;
  h2o_socket_t *accepted;

  if (error != NULL)
    return;
  accepted = h2o_evloop_socket_accept (socket);
  if (accepted == NULL)
    return;
  listener->connections++;
  accepted->on_close.cb = on_close;
  accepted->on_close.data = listener;
  h2o_accept (&listener->accept, accepted);
}

sgr_http_listener_t *
sgr_http_listener_create (h2o_loop_t *loop, sgr_address_t *address, size_t body_max_bytes,
                          void (*setup) (void *ctx, h2o_hostconf_t *host), void *ctx)
{
  sgr_http_listener_t *listener = calloc (1, sizeof *listener);
  h2o_hostconf_t *host;

  if (listener == NULL)
    return NULL;
  if (sgr_listener_open (loop, address, on_accept, listener, &listener->socket) != SGR_OK)
    {
      free (listener);
      return NULL;
    }
  h2o_config_init (&listener->config);
  listener->config.server_name = h2o_iovec_init (H2O_STRLIT ("siskingrade"));
  listener->config.max_request_entity_size = body_max_bytes;
  host = h2o_config_register_host (&listener->config, h2o_iovec_init (H2O_STRLIT ("default")),
                                   SCHEME_DEFAULT_PORT);
  setup (ctx, host);
  h2o_context_init (&listener->context, loop, &listener->config);
  listener->accept.ctx = &listener->context;
  listener->accept.hosts = listener->config.hosts;
  return listener;
}

void
sgr_http_listener_stop (sgr_http_listener_t *listener)
{
  if (listener->socket == NULL)
    return;
  h2o_socket_read_stop (listener->socket);
  h2o_socket_close (listener->socket);
  listener->socket = NULL;
  h2o_context_request_shutdown (&listener->context);
}

void
sgr_http_listener_destroy (sgr_http_listener_t *listener)
{
  h2o_multithread_queue_t *queue;

  if (listener == NULL)
    return;
  sgr_http_listener_stop (listener);
  /* h2o does not remove the timer that the graceful shutdown of HTTP/2 starts. */
  if (h2o_timeout_is_linked (&listener->context.http2._graceful_shutdown_timeout))
    h2o_timeout_unlink (&listener->context.http2._graceful_shutdown_timeout);
  queue = listener->context.queue;
  h2o_context_dispose (&listener->context);
  /* h2o_context_dispose() of h2o 2.2.5 closes the queue of the context but does not free it. */
  free (queue);
  h2o_config_dispose (&listener->config);
  free (listener);
}

size_t
sgr_http_listener_connections (const sgr_http_listener_t *listener)
{
  return listener->connections;
}

uint16_t
sgr_http_local_port (h2o_req_t *req)
{
  struct sockaddr_storage address = { 0 };

  if (req->conn->callbacks->get_sockname (req->conn, (struct sockaddr *)&address) == 0
      || address.ss_family != AF_INET)
    return 0;
  return ntohs (((struct sockaddr_in *)&address)->sin_port);
}

static const char *
status_reason (int status)
{
  static const struct
  {
    int status;
    const char *reason;
  } reasons[] = {
    { 200, "OK" },
    { 201, "Created" },
    { 400, "Bad Request" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 409, "Conflict" },
    { 410, "Gone" },
    { 413, "Payload Too Large" },
    { 429, "Too Many Requests" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };

  for (size_t i = 0; i < sizeof reasons / sizeof reasons[0]; i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Error";
}

void
sgr_http_reply_json (h2o_req_t *req, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_ENSURE_ASCII);

  req->res.status = status;
  req->res.content_length = strlen (text);
  req->res.reason = status_reason (status);
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                  H2O_STRLIT ("application/json"));
  h2o_send_inline (req, text, strlen (text));
  free (text);
  json_decref (json);
}

void
sgr_http_reply_error (h2o_req_t *req, int status, const char *reason, const char *path)
{
  json_t *json = json_object ();

  json_object_set_new (json, "reason", json_string (reason));
  json_object_set_new (json, "path", json_string (path));
  sgr_http_reply_json (req, status, json);
}

bool
sgr_http_query_text (const h2o_req_t *req, const char *name, char *value, size_t size)
{
  size_t name_length = strlen (name);
  const char *at, *end = req->path.base + req->path.len;

  if (req->query_at == SIZE_MAX)
    return false;
  for (at = req->path.base + req->query_at + 1; at < end;)
    {
      const char *stop = memchr (at, '&', (size_t)(end - at));
      size_t length = (size_t)((stop == NULL ? end : stop) - at);

      if (length > name_length && strncmp (at, name, name_length) == 0 && at[name_length] == '=')
        {
          length -= name_length + 1;
          if (length >= size)
            return false;
          memcpy (value, at + name_length + 1, length);
          value[length] = '\0';
          return true;
        }
      at += length + 1;
    }
  return false;
}

bool
sgr_http_query_u64 (const h2o_req_t *req, const char *name, uint64_t *value)
{
  char text[NUMBER_TEXT_BYTES];

  if (!sgr_http_query_text (req, name, text, sizeof text) || text[0] == '\0'
      || strspn (text, "0123456789") != strlen (text) || strlen (text) > NUMBER_DIGITS_MAX)
    return false;
  *value = strtoull (text, NULL, 10);
  return true;
}
