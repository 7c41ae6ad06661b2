#include "config_api.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_api_private.h"
#include "config_policy.h"
#include "http_listener.h"

void
api_reply_error (h2o_req_t *req, const sgr_config_error_t *error)
{
  static const int status[] = {
    [SGR_OK] = 200,
    [SGR_ERR_INVALID] = 400,
    [SGR_ERR_LIMIT] = 413,
    [SGR_ERR_CONFLICT] = 409,
    [SGR_ERR_NOT_FOUND] = 404,
    [SGR_ERR_UNAVAILABLE] = 503,
    [SGR_ERR_DENIED] = 403,
    [SGR_ERR_NO_MEMORY] = 503,
    /* Gateway timeout: the reply of the store was lost, so the change may have taken effect. */
    [SGR_ERR_IO] = 504,
  };

  sgr_http_reply_error (req, status[error->result], error->message, error->path);
}

bool
api_method_require (h2o_req_t *req, const char *method)
{
  if (h2o_memis (req->method.base, req->method.len, method, strlen (method)))
    return true;
  sgr_http_reply_error (req, 405, "the resource does not take this method", "");
  return false;
}

bool
api_path_suffix (const h2o_req_t *req, const char *base, char *suffix, size_t size)
{
  size_t length = strlen (base);
  const h2o_iovec_t *path = &req->path_normalized;

  suffix[0] = '\0';
  if (path->len == length || (path->len == length + 1 && path->base[length] == '/'))
    return true;
  if (path->base[length] != '/' || path->len - length - 1 >= size)
    return false;
  memcpy (suffix, path->base + length + 1, path->len - length - 1);
  suffix[path->len - length - 1] = '\0';
  return true;
}

static json_t *
service_json (const sgr_policy_t *policy)
{
  json_t *json = sgr_config_policy_write (policy);

  json_object_set_new (json, "name", json_string (policy->service));
  return json;
}

static int
on_services (h2o_handler_t *handler, h2o_req_t *req)
{
  sgr_config_api_t *api = API_OF (handler);
  const sgr_config_state_t *state = sgr_config_io_state (api->io);
  char name[SGR_NAME_MAX + 1];
  json_t *json, *list;

  if (!api_method_require (req, "GET"))
    return 0;
  if (!api_path_suffix (req, "/v1/services", name, sizeof name)
      || (name[0] != '\0' && sgr_config_state_policy (state, name) == NULL))
    {
      sgr_http_reply_error (req, 404, "no service of this name is in force", "");
      return 0;
    }
  json = json_object ();
  json_object_set_new (json, "revision",
                       json_integer ((json_int_t)sgr_config_state_revision (state)));
  if (name[0] != '\0')
    json_object_set_new (json, "service", service_json (sgr_config_state_policy (state, name)));
  else
    {
      list = json_array ();
      for (size_t i = 0; i < sgr_config_state_service_count (state); i++)
        json_array_append_new (list, service_json (sgr_config_state_service_at (state, i)));
      json_object_set_new (json, "services", list);
    }
  sgr_http_reply_json (req, 200, json);
  return 0;
}

static int
on_raw_config (h2o_handler_t *handler, h2o_req_t *req)
{
  sgr_config_api_t *api = API_OF (handler);
  const sgr_config_state_t *state = sgr_config_io_state (api->io);
  const sgr_config_record_t *record = sgr_config_state_record (state);
  sgr_buffer_t text = { 0 };
  uint64_t from;
  bool is_step;

  if (!api_method_require (req, "GET"))
    return 0;
  if (record == NULL)
    {
      sgr_http_reply_error (req, 404, "no configuration is in force at this node", "");
      return 0;
    }
  is_step = sgr_http_query_u64 (req, "from", &from)
            && sgr_config_state_step_write (state, from, &text) == SGR_OK;
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("config-step"), 0, NULL,
                         is_step ? "1" : "0", 1);
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                  H2O_STRLIT ("application/json"));
  if (!is_step)
    sgr_buffer_append (&text, record->text.bytes, record->text.length);
  req->res.status = 200;
  req->res.reason = "OK";
  req->res.content_length = text.length;
  h2o_send_inline (req, (const char *)text.bytes, text.length);
  sgr_buffer_release (&text);
  return 0;
}

/* Answers a watch request:
   - with the changes since @revision, if a higher revision is in force
   - with status 410, if the history does not reach back to @revision
   - with an empty list, if no higher revision is in force and @may_be_empty is set
   Otherwise the request stays pending. Returns whether the request was answered. */
static bool
watch_try_answer (sgr_config_api_t *api, h2o_req_t *req, uint64_t revision, bool may_be_empty)
{
  const sgr_config_state_t *state = sgr_config_io_state (api->io);
  json_t *changes, *json;
  sgr_result_t result = sgr_config_state_changes_since (state, revision, &changes);

  if (result == SGR_ERR_UNAVAILABLE && !may_be_empty)
    return false;
  if (result == SGR_ERR_NOT_FOUND)
    {
      sgr_http_reply_error (
          req, 410, "the revision is older than the history of this node; list again", "revision");
      return true;
    }
  json = json_object ();
  json_object_set_new (json, "revision",
                       json_integer ((json_int_t)sgr_config_state_revision (state)));
  json_object_set_new (json, "changes", changes != NULL ? changes : json_array ());
  sgr_http_reply_json (req, 200, json);
  return true;
}

/* Runs when h2o disposes of the memory pool of a watch request. */
static void
on_watch_request_disposed (void *ref)
{
  watcher_t *watcher = *(watcher_t **)ref;

  if (watcher != NULL)
    watcher->req = NULL;
}

/* Answers the pending watch requests that can be answered now, or all of them if @stop is set, and
   frees those whose connection was closed. */
static void
watchers_answer (sgr_config_api_t *api, bool stop)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  watcher_t **link = &api->watchers;

  while (*link != NULL)
    {
      watcher_t *watcher = *link;

      if (watcher->req != NULL
          && !watch_try_answer (api, watcher->req, watcher->revision,
                                stop || now_us >= watcher->due_us))
        {
          link = &watcher->next;
          continue;
        }
      if (watcher->req != NULL)
        *watcher->ref = NULL;
      *link = watcher->next;
      api->watcher_count--;
      free (watcher);
    }
}

static int
on_watch (h2o_handler_t *handler, h2o_req_t *req)
{
  sgr_config_api_t *api = API_OF (handler);
  uint64_t revision, wait_ms = WATCH_WAIT_MAX_MS;
  watcher_t *watcher;

  if (!api_method_require (req, "GET"))
    return 0;
  if (!sgr_http_query_u64 (req, "revision", &revision))
    {
      sgr_http_reply_error (req, 400, "found no number, expected revision=N", "revision");
      return 0;
    }
  if (sgr_http_query_u64 (req, "wait_ms", &wait_ms) && wait_ms > WATCH_WAIT_MAX_MS)
    wait_ms = WATCH_WAIT_MAX_MS;
  if (watch_try_answer (api, req, revision, wait_ms == 0))
    return 0;
  if (api->watcher_count >= WATCHERS_MAX)
    {
      sgr_http_reply_error (req, 429, "too many watchers at this node", "");
      return 0;
    }
  watcher = calloc (1, sizeof *watcher);
  sgr_invariant (watcher != NULL);
  watcher->ref = h2o_mem_alloc_shared (&req->pool, sizeof (watcher_t *), on_watch_request_disposed);
  *watcher->ref = watcher;
  watcher->req = req;
  watcher->revision = revision;
  watcher->due_us = sgr_clock_monotonic_us () + wait_ms * SGR_USEC_PER_MSEC;
  watcher->next = api->watchers;
  api->watchers = watcher;
  api->watcher_count++;
  return 0;
}

static void
on_tick (h2o_timeout_entry_t *entry)
{
  sgr_config_api_t *api = H2O_STRUCT_FROM_MEMBER (sgr_config_api_t, tick_entry, entry);

  h2o_timeout_link (api->loop, &api->tick, &api->tick_entry);
  watchers_answer (api, false);
}

void
sgr_config_api_notify (sgr_config_api_t *api)
{
  if (api != NULL)
    watchers_answer (api, false);
}

static void
on_context_init (h2o_handler_t *handler, h2o_context_t *context)
{
  sgr_config_api_t *api = API_OF (handler);

  if (api->loop != NULL)
    return;
  api->loop = context->loop;
  h2o_timeout_init (api->loop, &api->tick, WATCH_TICK_MS);
  api->tick_entry.cb = on_tick;
  h2o_timeout_link (api->loop, &api->tick, &api->tick_entry);
}

sgr_config_api_t *
sgr_config_api_create (h2o_hostconf_t *host, sgr_config_io_t *io, sgr_config_api_members_t members,
                       void *ctx)
{
  static const struct
  {
    const char *path;
    int (*on_req) (h2o_handler_t *, h2o_req_t *);
  } endpoints[] = {
    { "/v1/services", on_services }, { "/v1/changes", api_on_changes },
    { "/v1/watch", on_watch },       { "/v1/config/raw", on_raw_config },
    { "/v1/nodes", api_on_nodes },   { "/v1/targets", api_on_targets },
    { "/v1/status", api_on_status },
  };
  sgr_config_api_t *api = calloc (1, sizeof *api);

  if (api == NULL)
    return NULL;
  api->io = io;
  api->members = members;
  api->members_ctx = ctx;
  for (size_t i = 0; i < sizeof endpoints / sizeof endpoints[0]; i++)
    {
      h2o_pathconf_t *path = h2o_config_register_path (host, endpoints[i].path, 0);
      api_handler_t *handler = (api_handler_t *)h2o_create_handler (path, sizeof *handler);

      handler->super.on_req = endpoints[i].on_req;
      handler->super.on_context_init = on_context_init;
      handler->api = api;
    }
  return api;
}

void
sgr_config_api_stop (sgr_config_api_t *api)
{
  watchers_answer (api, true);
}

void
sgr_config_api_destroy (sgr_config_api_t *api)
{
  if (api == NULL)
    return;
  while (api->watchers != NULL)
    {
      watcher_t *watcher = api->watchers;

      api->watchers = watcher->next;
      free (watcher);
    }
  if (api->loop != NULL)
    {
      h2o_timeout_unlink (&api->tick_entry);
      h2o_timeout_dispose (api->loop, &api->tick);
    }
  free (api);
}
