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
/* Maximum number of attempts that a routed call may make in addition to attempts_max because gates
   refused earlier attempts. A refused attempt costs its target nothing, so the call may go on to
   another gate. */
#define ROUTE_REFUSALS_MAX 2
/* Estimate of the bytes that the encoding of a header field in a frame takes in addition to its
   name and value. */
#define HEADER_FIELD_OVERHEAD_BYTES 8
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

static h2o_iovec_t
header_find (const h2o_req_t *req, const char *name)
{
  ssize_t index = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  return index < 0 ? h2o_iovec_init (NULL, 0) : req->headers.entries[index].value;
}

static bool
name_copy (h2o_iovec_t value, char *name)
{
  if (value.len == 0 || value.len > SGR_NAME_MAX || !sgr_http_is_token (value.base, value.len))
    return false;
  memcpy (name, value.base, value.len);
  name[value.len] = '\0';
  return true;
}

/* Reads the name of the service from its header field, or else from the first label of the host
   name. */
static bool
service_name_read (const h2o_req_t *req, char *name)
{
  h2o_iovec_t value = header_find (req, "siskingrade-service");

  if (value.base == NULL)
    {
      value = req->authority;
      for (size_t i = 0; i < value.len; i++)
        {
          if (value.base[i] == '.' || value.base[i] == ':')
            value.len = i;
        }
    }
  return name_copy (value, name);
}

static bool
idempotent_read (const h2o_req_t *req, sgr_policy_idempotency_t idempotency, bool *is_idempotent)
{
  h2o_iovec_t value = header_find (req, "siskingrade-idempotent");

  if (value.base != NULL)
    {
      *is_idempotent = h2o_memis (value.base, value.len, H2O_STRLIT ("yes"));
      return *is_idempotent || h2o_memis (value.base, value.len, H2O_STRLIT ("no"));
    }
  if (idempotency == SGR_IDEMPOTENCY_BY_METHOD)
    *is_idempotent = sgr_http_method_is_idempotent (req->method.base, req->method.len);
  else
    *is_idempotent = idempotency == SGR_IDEMPOTENCY_ALWAYS;
  return true;
}

/* Reads the deadline that the caller sent. If there is none, the timeout of the route is used, or
   else the deadline of the policy. A deadline that is later than the timeout of the route is
   replaced by that timeout. */
static bool
deadline_read (const h2o_req_t *req, const char *field, const sgr_policy_t *policy,
               const sgr_route_t *route, uint64_t *deadline_us)
{
  h2o_iovec_t value = header_find (req, field);
  uint64_t deadline_ms = policy->deadline_ms;

  if (value.base != NULL
      && (!sgr_http_number_parse (value.base, value.len, SGR_DEADLINE_MAX_MS, &deadline_ms)
          || deadline_ms == 0))
    return false;
  if (route != NULL && route->timeout_ms > 0
      && (value.base == NULL || deadline_ms > route->timeout_ms))
    deadline_ms = route->timeout_ms;
  *deadline_us = sgr_clock_monotonic_us () + deadline_ms * SGR_USEC_PER_MSEC;
  return true;
}

/* Moves the deadline of a call that arrives while the node stops to before the end of the process,
   so that the caller gets an answer also if the call takes longer. */
static void
deadline_limit_by_stop (const sgr_data_task_t *task, uint64_t *deadline_us)
{
  if (task->calls_end_us != 0 && *deadline_us > task->calls_end_us)
    *deadline_us = task->calls_end_us;
}

static bool
key_read (const h2o_req_t *req, sgr_data_call_request_t *request)
{
  h2o_iovec_t value = header_find (req, "idempotency-key");

  if (value.base == NULL)
    return true;
  request->has_key = true;
  request->fingerprint = sgr_request_fingerprint (
      h2o_strdup ((h2o_mem_pool_t *)&req->pool, req->method.base, req->method.len).base,
      h2o_strdup ((h2o_mem_pool_t *)&req->pool, req->path.base, req->path.len).base,
      request->tenant, req->entity.base, req->entity.len);
  switch (sgr_key_kind_of (value.base, value.len))
    {
    case SGR_KEY_ISSUED:
      request->is_key_issued = true;
      if (sgr_issued_key_parse (value.base, value.len, &request->issued_key) != SGR_OK)
        return false;
      request->key = sgr_issued_key_hash (&request->issued_key);
      return true;
    case SGR_KEY_CALLER:
      request->key = sgr_caller_key_hash (request->service, request->tenant, value.base, value.len);
      return true;
    case SGR_KEY_INVALID:
      break;
    }
  return false;
}

static bool
head_is_valid (const h2o_req_t *req)
{
  size_t size = req->method.len + req->path.len;

  if (!sgr_http_is_token (req->method.base, req->method.len)
      || !sgr_http_is_path (req->path.base, req->path.len))
    return false;
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      if (!sgr_http_is_token (header->name->base, header->name->len)
          || !sgr_http_is_field_value (header->value.base, header->value.len)
          || memchr (header->value.base, '\0', header->value.len) != NULL)
        return false;
      size += header->name->len + header->value.len + HEADER_FIELD_OVERHEAD_BYTES;
    }
  return size <= SGR_HTTP_HEAD_MAX_BYTES;
}

/* Reads the attributes of a call from its header fields; @route is NULL if the call names its
   service itself. Returns NULL, or the reason if a field is invalid. */
static const char *
call_request_read (const sgr_data_http_t *http, const h2o_req_t *req, const sgr_policy_t *policy,
                   const sgr_route_t *route, sgr_data_call_request_t *request)
{
  h2o_iovec_t tenant = header_find (req, "siskingrade-tenant");
  h2o_iovec_t class_name = header_find (req, "siskingrade-class");
  h2o_iovec_t depth = header_find (req, "siskingrade-depth");
  h2o_iovec_t retries = header_find (req, "siskingrade-retry-budget");

  strcpy (request->tenant, "default");
  snprintf (request->class_name, sizeof request->class_name, "%s",
            route != NULL ? route->name : "default");
  request->attempts_max = policy->attempts_max;
  if (route != NULL && route->attempts_max > 0)
    request->attempts_max = route->attempts_max;
  if (route != NULL && route->target_latency_ms > 0)
    request->on_time_us = sgr_clock_monotonic_us () + route->target_latency_ms * SGR_USEC_PER_MSEC;
  request->refusals_max = route != NULL ? ROUTE_REFUSALS_MAX : 0;
  request->priority = route != NULL ? route->priority : 0;
  if (!request->has_accounts && tenant.base != NULL && !name_copy (tenant, request->tenant))
    return "bad-tenant";
  sgr_data_account_apply (http->task, request);
  if (route == NULL && class_name.base != NULL && !name_copy (class_name, request->class_name))
    return "bad-class";
  if (!idempotent_read (req, route != NULL ? route->idempotency : policy->idempotency,
                        &request->is_idempotent))
    return "bad-idempotent";
  if (!deadline_read (req, http->task->fields->deadline, policy, route, &request->deadline_us))
    return "bad-deadline";
  deadline_limit_by_stop (http->task, &request->deadline_us);
  if (sgr_retry_chain_parse (depth.base, depth.len, retries.base, retries.len, &request->chain)
      != SGR_OK)
    return "bad-chain";
  if (!key_read (req, request))
    return "bad-idempotency-key";
  return NULL;
}

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
  else
    sgr_data_request_refuse (http->task, req, 404, reason);
}

/* Checks the key of a call and finds its service. With routes, it is the service that is next in
   the traffic split of the matching route; without routes, the caller names it. If the key is not
   known or there is no such service, refuses the request and returns NULL. */
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
  if (sgr_route_table_count (routes) > 0)
    {
      entry = sgr_route_table_find (routes, req->authority.base, req->authority.len, req->path.base,
                                    req->path.len);
      if (entry == NULL)
        {
          unknown_refuse (http, req, "no-route");
          return NULL;
        }
      *route = sgr_route_entry_route (entry);
    }
  if (!sgr_data_account_check (http->task, req, *route, request))
    return NULL;
  sgr_data_regions_apply (http->task, *route, request);
  if (entry != NULL)
    snprintf (request->service, sizeof request->service, "%s",
              sgr_route_entry_part_next (entry)->service);
  else if (!service_name_read (req, request->service))
    {
      sgr_data_request_refuse (http->task, req, 400, "bad-service");
      return NULL;
    }
  service = sgr_data_service_find (http->task->services, request->service);
  if (service == NULL)
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
  reason = call_request_read (http, req, &service->policy, route, &request);
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
      && name_copy (h2o_iovec_init (query.base + 8, query.len - 8), name))
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
  else if (!head_is_valid (req))
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
