#include "data_http.h"

#include <errno.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdlib.h>
#include <string.h>

#include "data_account.h"
#include "data_call.h"
#include "data_keys.h"
#include "data_memory.h"
#include "data_refuse.h"
#include "data_region.h"
#include "data_request.h"
#include "http1_server.h"
#include "http_fields.h"
#include "http_tls.h"
#include "log.h"
#include "listener.h"

/* Retry-After of a call that is refused because its idempotency key, which the caller chose, cannot
   be bound to a gate. */
#define KEY_BIND_RETRY_AFTER_MS 1000
/* Time for which the knowledge of a newer configuration turns 404 into 503. */
#define BEHIND_MAX_US (15 * SGR_USEC_PER_SEC)
/* HTTP/1.1 in h2o's encoding of versions. */
#define HTTP_VERSION_1_1 0x101
/* Port number that makes h2o_config_register_host() use the default port of the scheme. */
#define SCHEME_DEFAULT_PORT 65535
#define KEYS_PATH "/.siskingrade/keys"

struct sgr_data_http_t
{
  sgr_data_task_t *task;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  SSL_CTX *tls;
  sgr_http1_server_t *server;
  h2o_socket_t *listener;
  size_t requests;
};

typedef struct
{
  h2o_handler_t super;
  sgr_data_http_t *http;
} handler_t;

/* A request until h2o disposes of it; @memory counts its body if h2o has read it itself. */
typedef struct
{
  sgr_data_http_t *http;
  sgr_memory_holder_t memory;
} open_request_t;

/* A call that waits until its caller's own idempotency key is bound to a gate. */
typedef struct
{
  sgr_data_http_t *http;
  h2o_req_t *req;
  sgr_data_service_t *service;
  sgr_data_call_request_t request;
} pending_bind_t;

/* Refuses a call whose key could not be bound. Nothing was sent for this call, but the outcome is
   unknown because an earlier call with the same key may have run. Repeating the call with the same
   key is safe. */
static void
key_bind_refuse (h2o_req_t *req, const char *reason)
{
  sgr_data_error_t error = { .status = 503,
                             .outcome = SGR_OUTCOME_UNKNOWN,
                             .reason = reason,
                             .is_repeat_safe = true,
                             .retry_after_ms = KEY_BIND_RETRY_AFTER_MS };

  sgr_data_error_send (req, &error);
}

static void
on_key_bound (void *ctx, sgr_result_t result, const sgr_issued_key_t *key)
{
  pending_bind_t *pending = ctx;

  if (result == SGR_OK)
    {
      pending->request.issued_key = *key;
      sgr_data_call_start (pending->http->task, pending->req, pending->service, &pending->request);
      return;
    }
  key_bind_refuse (pending->req, result == SGR_ERR_LIMIT       ? "key-rate-limit"
                                 : result == SGR_ERR_NOT_FOUND ? "no-target"
                                                               : "key-store-unavailable");
}

/* Refuses a request for a route or service that the configuration in force does not have. If a
   newer configuration is known, it may have it, so the caller is asked to come back: after a 404 it
   would not. A node that has not got the newer one for a long time may never get it, for instance
   because it cannot read it. */
static void
unknown_refuse (sgr_data_http_t *http, h2o_req_t *req, const char *reason)
{
  const sgr_snapshot_t *snapshot = http->task->snapshot;

  if (snapshot != NULL && snapshot->newest_revision > snapshot->config_revision
      && sgr_clock_monotonic_us () < snapshot->newest_seen_us + BEHIND_MAX_US)
    sgr_data_request_refuse (http->task, req, 503, "configuration-behind");
  else if (snapshot != NULL && snapshot->has_hidden_routes)
    sgr_data_unusable_refuse (http->task, req, "hidden-route");
  else
    sgr_data_request_refuse (http->task, req, 404, reason);
}

/* Checks the key of a call and finds its service: the one that is next in the traffic split of the
   matching route, or, if the settings say so, the one that the caller names. The configuration does
   not decide which of both holds: without routes, each request is one without a route. If the key
   is not known or there is no such service, refuses the request and returns NULL. */
static sgr_data_service_t *
service_choose (sgr_data_http_t *http, h2o_req_t *req, const sgr_route_t **route,
                sgr_data_call_request_t *request)
{
  sgr_route_table_t *routes = http->task->routes;
  sgr_route_entry_t *entry = NULL;
  sgr_data_service_t *service;

  if (routes == NULL || http->task->snapshot->config_revision == 0)
    {
      sgr_data_request_refuse (http->task, req, 503, "no-configuration");
      return NULL;
    }
  if (!http->task->settings->are_services_named)
    {
      entry = sgr_route_table_find (routes, req->authority.base, req->authority.len, req->path.base,
                                    req->path.len);
      if (entry == NULL)
        {
          unknown_refuse (http, req, "no-route");
          return NULL;
        }
      *route = sgr_route_entry_route (entry);
      if ((*route)->is_unusable)
        {
          sgr_data_unusable_refuse (http->task, req, "unusable-route");
          return NULL;
        }
    }
  if (!sgr_data_account_check (http->task, req, *route, request))
    return NULL;
  sgr_data_regions_apply (http->task, *route, request);
  if (entry != NULL)
    snprintf (request->service, sizeof request->service, "%s",
              sgr_route_entry_part_next (entry)->service);
  else if (!sgr_data_request_service_read (req, request->service))
    {
      sgr_data_request_refuse (http->task, req, 400, "bad-service");
      return NULL;
    }
  service = sgr_data_service_find (http->task->services, request->service);
  if (service == NULL && entry != NULL)
    sgr_data_unusable_refuse (http->task, req, "unusable-service");
  else if (service == NULL)
    unknown_refuse (http, req, "unknown-service");
  return service;
}

static void
call_begin (sgr_data_http_t *http, h2o_req_t *req)
{
  sgr_data_call_request_t request = { .account = SGR_ACCOUNT_NONE };
  const sgr_route_t *route = NULL;
  sgr_data_service_t *service = service_choose (http, req, &route, &request);
  pending_bind_t *pending;
  const char *reason;

  if (service == NULL)
    return;
  sgr_data_request_id_read (http->task, req, request.request_id);
  reason = sgr_data_request_read (http->task, req, &service->policy, route, &request);
  if (reason != NULL)
    {
      sgr_data_request_refuse (http->task, req, 400, reason);
      return;
    }
  if (!sgr_data_account_throttle (http->task, req, service, &request))
    return;
  sgr_data_account_call_count (http->task, &request);
  if (!request.has_key || request.is_key_issued)
    {
      sgr_data_call_start (http->task, req, service, &request);
      return;
    }
  pending = h2o_mem_alloc_pool (&req->pool, sizeof *pending);
  *pending = (pending_bind_t){ .http = http, .req = req, .service = service, .request = request };
  sgr_data_keys_bind (http->task->keys, req, service, &request.regions, request.key, on_key_bound,
                      pending);
}

static void
on_key_issued (void *ctx, sgr_result_t result, const sgr_issued_key_t *key)
{
  h2o_req_t *req = ctx;
  char text[SGR_ISSUED_KEY_TEXT_SIZE];
  h2o_iovec_t body;

  if (result != SGR_OK)
    {
      sgr_data_error_send (req, &(sgr_data_error_t){ .status = 503,
                                                     .outcome = SGR_OUTCOME_NOT_RUN,
                                                     .reason = "no-target",
                                                     .is_repeat_safe = true });
      return;
    }
  sgr_issued_key_format (key, text);
  body = h2o_concat (&req->pool, h2o_iovec_init (H2O_STRLIT ("{\"key\":\"")),
                     h2o_iovec_init (text, strlen (text)), h2o_iovec_init (H2O_STRLIT ("\"}\n")));
  req->res.status = 201;
  req->res.content_length = body.len;
  req->res.reason = "Created";
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                  H2O_STRLIT ("application/json"));
  h2o_send_inline (req, body.base, body.len);
}

static void
key_issue (sgr_data_http_t *http, h2o_req_t *req)
{
  sgr_data_call_request_t request = { .account = SGR_ACCOUNT_NONE };
  sgr_data_service_t *service = NULL;
  char name[SGR_NAME_MAX + 1];
  h2o_iovec_t query = { 0 };

  if (!h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("POST")))
    {
      sgr_data_request_refuse (http->task, req, 405, "expected-post");
      return;
    }
  if (!sgr_data_account_check (http->task, req, NULL, &request))
    return;
  sgr_data_regions_apply (http->task, NULL, &request);
  if (req->query_at != SIZE_MAX)
    query = h2o_iovec_init (req->path.base + req->query_at + 1, req->path.len - req->query_at - 1);
  if (query.len > 8 && memcmp (query.base, "service=", 8) == 0
      && sgr_data_request_name_copy (h2o_iovec_init (query.base + 8, query.len - 8), name))
    service = sgr_data_service_find (http->task->services, name);
  if (service == NULL)
    unknown_refuse (http, req, "unknown-service");
  else
    {
      sgr_data_regions_key_apply (http->task, name, &request);
      sgr_data_keys_issue (http->task->keys, req, service, &request.regions, on_key_issued, req);
    }
}

static void
on_request_disposed (void *object)
{
  open_request_t *open = object;

  sgr_memory_holder_end (&open->memory);
  open->http->requests--;
}

static int
on_request (h2o_handler_t *super, h2o_req_t *req)
{
  sgr_data_http_t *http = ((handler_t *)super)->http;
  open_request_t *open = h2o_mem_alloc_shared (&req->pool, sizeof *open, on_request_disposed);

  /* h2o calls on_request_disposed() when it frees the memory pool of the request. */
  *open = (open_request_t){ .http = http };
  http->requests++;
  /* The end of an answer to HTTP/1.0 may be marked only by the close of the connection, so the
     caller could not tell a truncated answer from a complete one. */
  if (req->version < HTTP_VERSION_1_1)
    sgr_data_request_refuse (http->task, req, 505, "http-version");
  else if (!sgr_data_request_head_is_valid (req))
    sgr_data_request_refuse (http->task, req, 400, "bad-head");
  else if (http->task->is_draining)
    {
      req->http1_is_persistent = 0;
      sgr_data_request_refuse (http->task, req, 503, "node-stopping");
    }
  else if (!sgr_data_memory_body_admit (http->task, req, &open->memory))
    {
      sgr_data_memory_refused (http->task);
      sgr_data_request_refuse (http->task, req, 503, "memory");
    }
  else if (http->task->calls >= http->task->settings->calls_max)
    sgr_data_request_refuse (http->task, req, 503, "too-many-calls");
  else if (h2o_memis (req->path_normalized.base, req->path_normalized.len, H2O_STRLIT (KEYS_PATH)))
    key_issue (http, req);
  else
    call_begin (http, req);
  return 0;
}

/* Accepts one connection; returns false if none is waiting. */
static bool
connection_accept (sgr_data_http_t *http)
{
  h2o_socket_t *sock = h2o_evloop_socket_accept (http->listener);

  if (sock == NULL)
    return false;
  if (http->tls != NULL)
    h2o_accept (&http->accept, sock);
  else
    sgr_http1_server_accept (http->server, sock);
  return true;
}

static void
on_accept (h2o_socket_t *listener, const char *err)
{
  if (err == NULL)
    connection_accept (listener->data);
}

static void
h2o_config_setup (sgr_data_http_t *http)
{
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  handler_t *handler;

  h2o_config_init (&http->config);
  http->config.max_request_entity_size = sgr_data_memory_body_max (http->task);
  http->config.server_name = h2o_iovec_init (H2O_STRLIT ("siskingrade"));
  host = h2o_config_register_host (&http->config, h2o_iovec_init (H2O_STRLIT ("default")),
                                   SCHEME_DEFAULT_PORT);
  path = h2o_config_register_path (host, "/", 0);
  handler = (handler_t *)h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = on_request;
  handler->http = http;
  h2o_context_init (&http->context, http->task->loop, &http->config);
  http->accept.ctx = &http->context;
  http->accept.hosts = http->config.hosts;
}

static void
on_malformed (void *ctx, int status)
{
  sgr_data_task_t *task = ctx;

  if (status == 503)
    sgr_data_memory_refused (task);
  sgr_data_malformed_count (task, status);
}

sgr_data_http_t *
sgr_data_http_create (sgr_data_task_t *task, sgr_buffer_t *errors)
{
  sgr_data_http_t *http = calloc (1, sizeof *http);
  sgr_address_t listen_address = task->settings->callers;
  char address[32];

  sgr_invariant (http != NULL);
  http->task = task;
  if (task->settings->tls_certificate[0] != '\0')
    {
      http->tls
          = sgr_http_tls_create (task->settings->tls_certificate, task->settings->tls_key, errors);
      if (http->tls == NULL)
        goto fail;
    }
  h2o_config_setup (http);
  http->accept.ssl_ctx = http->tls;
  http->server = sgr_http1_server_create (&(sgr_http1_options_t){
      .accept = &http->accept,
      .timers = task->timers,
      .body_max_bytes = sgr_data_memory_body_max (task),
      .head_max_bytes = SGR_HTTP_HEAD_MAX_BYTES,
      .memory = task->memory,
      .connections_max = sgr_data_connections_max (task),
      .head_timeout_us = task->settings->head_timeout_ms * SGR_USEC_PER_MSEC,
      .stall_timeout_us = task->settings->stall_timeout_ms * SGR_USEC_PER_MSEC,
      .closed_for_room = sgr_data_memory_room_made,
      .rejected = on_malformed,
      .ctx = task });
  if (sgr_listener_open (task->loop, &listen_address, on_accept, http, &http->listener) == SGR_OK)
    return http;
  sgr_address_format (&task->settings->callers, address, sizeof address);
  sgr_buffer_printf (errors, "listen.callers: cannot listen on %s: %s\n", address,
                     strerror (errno));
  SSL_CTX_free (http->tls);

fail:
  free (http);
  return NULL;
}

void
sgr_data_http_leave (sgr_data_http_t *http)
{
  sgr_http1_server_leave (http->server);
}

void
sgr_data_http_drain (sgr_data_http_t *http)
{
  if (http->listener != NULL)
    {
      /* Closing the listener resets connections that are established but not accepted yet. */
      while (connection_accept (http))
        ;
      h2o_socket_close (http->listener);
    }
  http->listener = NULL;
  sgr_http1_server_drain (http->server);
  h2o_context_request_shutdown (&http->context);
}

size_t
sgr_data_http_connection_count (const sgr_data_http_t *http)
{
  return sgr_http1_server_connection_count (http->server);
}

size_t
sgr_data_http_request_count (const sgr_data_http_t *http)
{
  return http->requests;
}

void
sgr_data_http_destroy (sgr_data_http_t *http)
{
  if (http == NULL)
    return;
  sgr_http1_server_destroy (http->server);
  /* TLS connections stay open until the process ends, because h2o cannot close all of them. */
  if (http->listener != NULL)
    h2o_socket_close (http->listener);
  http->listener = NULL;
}
