#include "control_http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

/* Longest request body: about twice the largest value that the store accepts, see
   SGR_STORE_VALUE_MAX. */
#define BODY_MAX_BYTES (2U * 1024 * 1024)
#define DEPARTURE_NOT_STORED "the departure is in force, but not stored yet"

/* Addresses that the control task listens on; each serves its own set of paths. */
typedef enum
{
  ENDPOINT_CONTROL,
  ENDPOINT_READY,
  ENDPOINT_TARGETS,
  ENDPOINT_METRICS,
  ENDPOINT_COUNT,
} endpoint_t;

static const char *const endpoint_settings[]
    = { "listen.control", "listen.ready", "listen.targets", "listen.metrics" };

struct sgr_control_http_t
{
  sgr_control_t *control;
  sgr_http_listener_t *listeners[ENDPOINT_COUNT];
  void (*setup) (void *ctx, h2o_hostconf_t *host);
  void *ctx;
};

typedef struct
{
  h2o_handler_t super;
  sgr_control_t *control;
} handler_t;

static void
response_send (h2o_req_t *req, int status, const char *type, const void *body, size_t length)
{
  req->res.status = status;
  req->res.reason = "";
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, type, strlen (type));
  h2o_send_inline (req, body, length);
}

static void
error_send (h2o_req_t *req, int status, const char *reason)
{
  sgr_buffer_t body = { 0 };

  sgr_buffer_printf (&body, "{\"error\":\"%s\"}\n", reason);
  response_send (req, status, "application/json", body.bytes, body.length);
  sgr_buffer_release (&body);
}

static int
on_metrics (h2o_handler_t *super, h2o_req_t *req)
{
  sgr_buffer_t text = { 0 };

  sgr_control_metrics_print (((handler_t *)super)->control, &text);
  response_send (req, 200, "text/plain; version=0.0.4", text.bytes, text.length);
  sgr_buffer_release (&text);
  return 0;
}

static void
target_put_reply (sgr_control_t *control, h2o_req_t *req, const sgr_control_reply_t *reply)
{
  sgr_buffer_t body = { 0 };

  if (reply->result != SGR_OK)
    {
      error_send (req, 503, DEPARTURE_NOT_STORED);
      return;
    }
  sgr_buffer_printf (&body, "{\"node\":\"%s\",\"ttl_ms\":%lu", control->settings->name,
                     control->settings->announce_ttl_ms);
  if (reply->announce_address.port != 0)
    {
      char address[32];

      sgr_address_format (&reply->announce_address, address, sizeof address);
      sgr_buffer_printf (&body, ",\"announce_address\":\"%s\"", address);
    }
  sgr_buffer_printf (&body, "}\n");
  response_send (req, 200, "application/json", body.bytes, body.length);
  sgr_buffer_release (&body);
}

static void
target_put (sgr_control_t *control, h2o_req_t *req)
{
  sgr_announcement_t announcement;
  sgr_buffer_t error = { 0 };
  sgr_result_t result
      = sgr_announcement_read (&announcement, req->entity.base, req->entity.len, &error);

  if (result == SGR_OK)
    {
      announcement.arrival_port = sgr_http_local_port (req);
      result = sgr_control_target_announce (control, &announcement);
      if (result == SGR_ERR_CONFLICT)
        sgr_buffer_printf (&error, "target: another target is registered at this node");
      else if (result != SGR_OK)
        sgr_buffer_printf (&error, "target: %s", sgr_result_name (result));
    }
  if (result == SGR_OK)
    sgr_control_announcement_acknowledge (control, &announcement, req, target_put_reply);
  else
    {
      sgr_buffer_append (&error, "", 1);
      error_send (req, result == SGR_ERR_CONFLICT ? 409 : 400, (const char *)error.bytes);
    }
  sgr_buffer_release (&error);
}

static void
target_delete_reply (sgr_control_t *control, h2o_req_t *req, const sgr_control_reply_t *reply)
{
  if (reply->result == SGR_OK)
    response_send (req, 200, "application/json", "{}\n", 3);
  else
    error_send (req, 503, DEPARTURE_NOT_STORED);
}

static int
on_target (h2o_handler_t *super, h2o_req_t *req)
{
  sgr_control_t *control = ((handler_t *)super)->control;

  if (control->is_stopping)
    error_send (req, 503, "the node is stopping");
  else if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("PUT")))
    target_put (control, req);
  else if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("DELETE")))
    {
      sgr_control_target_leave (control, NULL, 0);
      sgr_control_leave_acknowledge (control, req, target_delete_reply);
    }
  else
    error_send (req, 405, "expected PUT or DELETE");
  return 0;
}

static void
path_add (sgr_control_http_t *http, h2o_hostconf_t *host, const char *path,
          int (*on_req) (h2o_handler_t *super, h2o_req_t *req))
{
  h2o_pathconf_t *conf = h2o_config_register_path (host, path, 0);
  handler_t *handler = (handler_t *)h2o_create_handler (conf, sizeof *handler);

  handler->super.on_req = on_req;
  handler->control = http->control;
}

static int
on_ready (h2o_handler_t *super, h2o_req_t *req)
{
  if (sgr_control_is_ready (((handler_t *)super)->control))
    response_send (req, 200, "application/json", "{}\n", 3);
  else
    error_send (req, 503, "the node does not take calls");
  return 0;
}

static void
control_setup (void *ctx, h2o_hostconf_t *host)
{
  sgr_control_http_t *http = ctx;

  path_add (http, host, "/metrics", on_metrics);
  path_add (http, host, "/v1/target", on_target);
  path_add (http, host, "/v1/ready", on_ready);
  http->setup (http->ctx, host);
}

static void
ready_setup (void *ctx, h2o_hostconf_t *host)
{
  sgr_control_http_t *http = ctx;

  path_add (http, host, "/v1/ready", on_ready);
  if (http->control->adapter->ready_setup != NULL)
    http->control->adapter->ready_setup (http->control, host);
}

static void
targets_setup (void *ctx, h2o_hostconf_t *host)
{
  sgr_control_http_t *http = ctx;

  path_add (http, host, "/v1/target", on_target);
  if (http->control->adapter->targets_setup != NULL)
    http->control->adapter->targets_setup (http->control, host);
}

static void
metrics_setup (void *ctx, h2o_hostconf_t *host)
{
  path_add (ctx, host, "/metrics", on_metrics);
}

sgr_control_http_t *
sgr_control_http_create (sgr_control_t *control, void (*setup) (void *ctx, h2o_hostconf_t *host),
                         void *ctx, sgr_buffer_t *errors)
{
  static void (*const setups[]) (void *, h2o_hostconf_t *)
      = { control_setup, ready_setup, targets_setup, metrics_setup };
  sgr_control_http_t *http = calloc (1, sizeof *http);
  sgr_address_t addresses[] = { control->settings->control, control->settings->ready,
                                control->settings->targets, control->settings->metrics };

  sgr_invariant (http != NULL);
  http->control = control;
  http->setup = setup;
  http->ctx = ctx;
  for (int endpoint = 0; endpoint < ENDPOINT_COUNT; endpoint++)
    {
      char address[32];

      if (addresses[endpoint].port == 0)
        continue;
      http->listeners[endpoint] = sgr_http_listener_create (control->loop, &addresses[endpoint],
                                                            BODY_MAX_BYTES, setups[endpoint], http);
      if (http->listeners[endpoint] != NULL)
        continue;
      sgr_address_format (&addresses[endpoint], address, sizeof address);
      sgr_buffer_printf (errors, "%s: cannot listen on %s: %s\n", endpoint_settings[endpoint],
                         address, strerror (errno));
      sgr_control_http_destroy (http);
      free (http);
      return NULL;
    }
  return http;
}

sgr_http_listener_t *
sgr_control_http_targets_open (sgr_control_http_t *http, sgr_address_t *address)
{
  return sgr_http_listener_create (http->control->loop, address, BODY_MAX_BYTES, targets_setup,
                                   http);
}

void
sgr_control_http_destroy (sgr_control_http_t *http)
{
  for (int endpoint = 0; http != NULL && endpoint < ENDPOINT_COUNT; endpoint++)
    {
      if (http->listeners[endpoint] != NULL)
        sgr_http_listener_stop (http->listeners[endpoint]);
    }
}
