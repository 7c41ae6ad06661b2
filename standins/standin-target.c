#include <argp.h>
#include <h2o.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "buffer.h"
#include "http_fields.h"
#include "http_fetch.h"
#include "id_map.h"
#include "listener.h"
#include "rng.h"
#include "standin_work.h"
#include "task_loop.h"

/* A target for tests, benchmarks and the demo. Its answers depend on the request only, so that the
   sender of the request can check them. The request header X-Fault injects faults. */

#define NUMBER_MAX 1000000000
#define ADMIN_PREFIX "/admin/"
#define REQUEST_TIMEOUT_MS 60000
#define ANNOUNCE_INTERVAL_US (500 * SGR_USEC_PER_MSEC)
#define ANNOUNCE_TIMEOUT_MS 2000
#define ANNOUNCE_REPLY_MAX_BYTES 4096
/* Size of a number of milliseconds as text. */
#define COLD_TEXT_BYTES 24

/**
 * struct options_t - command line
 * @listen: address of the target
 * @announce: control address of the node; port 0 if the target is not announced
 * @service: name of the service
 * @slots: requests that run at a time
 * @connections: connections that the node may open
 * @service_us: mean service time in microseconds
 * @cold_ms: time after the start in which service times are five times as long, in milliseconds
 * @seed: seed of the service times
 * @log_path: file that receives the id of each request that ran, NULL for none
 */
typedef struct
{
  sgr_address_t listen;
  sgr_address_t announce;
  const char *service;
  uint32_t slots;
  uint32_t connections;
  uint64_t service_us;
  uint64_t cold_ms;
  uint64_t seed;
  const char *log_path;
} options_t;

/**
 * struct target_t - the stand-in
 * @fetcher: HTTP client for announcements
 * @announce_timer: sends the next announcement
 * @state: state in the announcements, "serving" or "draining"
 * @cold_until_us: monotonic time until which the target says that it is cold
 * @is_deregistering: SIGTERM was received and the node was requested to remove the target; the next
 *                    reply of the node ends the program
 * @is_stopped: the event loop is to end
 */
typedef struct
{
  options_t options;
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_http_fetcher_t *fetcher;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  sgr_standin_work_t *work;
  sgr_timer_t announce_timer;
  const char *state;
  uint64_t cold_until_us;
  bool is_deregistering;
  bool is_stopped;
} target_t;

/** struct handler_t - an h2o handler that knows its target */
typedef struct
{
  h2o_handler_t super;
  target_t *target;
} handler_t;

static const struct argp_option option_list[] = {
  { "listen", 'l', "IP:PORT", 0, "Where to take requests", 0 },
  { "announce", 'a', "IP:PORT", 0, "Control address of the node on this host", 0 },
  { "service", 's', "NAME", 0, "Service of the target", 0 },
  { "slots", 'n', "COUNT", 0, "Requests that run at a time (16)", 0 },
  { "connections", 'c', "COUNT", 0, "Connections to announce (240)", 0 },
  { "service-us", 'u', "MICROSECONDS", 0, "Mean service time (2000)", 0 },
  { "cold-ms", 'w', "MILLISECONDS", 0,
    "Time after the start in which the target says that it is cold, and takes five times as long",
    0 },
  { "seed", 'r', "NUMBER", 0, "Seed of the service times (1)", 0 },
  { "execution-log", 'o', "FILE", 0, "Append the id of each request that ran", 0 },
  { 0 },
};

static uint64_t
number_parse (const char *argument, struct argp_state *state)
{
  uint64_t number = 0;

  if (!sgr_http_number_parse (argument, strlen (argument), NUMBER_MAX, &number))
    argp_error (state, "not a number: %s", argument);
  return number;
}

static error_t
option_parse (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;

  switch (key)
    {
    case 'l':
    case 'a':
      if (!sgr_address_parse (argument, key == 'l' ? &options->listen : &options->announce))
        argp_error (state, "not IP:PORT: %s", argument);
      return 0;
    case 's':
      options->service = argument;
      return 0;
    case 'n':
      options->slots = (uint32_t)number_parse (argument, state);
      return 0;
    case 'c':
      options->connections = (uint32_t)number_parse (argument, state);
      return 0;
    case 'u':
      options->service_us = number_parse (argument, state);
      return 0;
    case 'w':
      options->cold_ms = number_parse (argument, state);
      return 0;
    case 'r':
      options->seed = number_parse (argument, state);
      return 0;
    case 'o':
      options->log_path = argument;
      return 0;
    case ARGP_KEY_END:
      if (options->listen.port == 0 || options->service == NULL)
        argp_error (state, "--listen and --service are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
on_announce_reply (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  target_t *target = ctx;

  if (reply->error != NULL || reply->status != 200)
    fprintf (stderr, "standin-target: announcement failed: status %d\n", reply->status);
  if (target->is_deregistering)
    target->is_stopped = true;
  else
    sgr_timer_arm (target->timers, &target->announce_timer,
                   sgr_clock_monotonic_us () + ANNOUNCE_INTERVAL_US);
}

/* PUT announces the target to the node, DELETE removes the target from the node. */
static void
announce (target_t *target, const char *method, const char *body)
{
  sgr_http_fetch_request_t request = { .address = target->options.announce,
                                       .method = method,
                                       .path = "/v1/target",
                                       .body = body,
                                       .length = body != NULL ? strlen (body) : 0 };

  sgr_http_fetch_start (target->fetcher, &request, on_announce_reply, target);
}

/* Time for which the target stays cold, 0 if it is not cold, milliseconds. */
static uint64_t
cold_left_ms (const target_t *target)
{
  uint64_t now_us = sgr_clock_monotonic_us ();

  return now_us < target->cold_until_us ? sgr_ms_of (target->cold_until_us - now_us) + 1 : 0;
}

static void
on_announce_timer (void *ctx, uint64_t now_us)
{
  target_t *target = ctx;
  char address[32];
  char body[256];

  sgr_address_format (&target->options.listen, address, sizeof address);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s\",\"slots\":%u,\"connections\":%u,"
            "\"state\":\"%s\",\"probe_path\":\"/ready\",\"cold_ms\":%lu}",
            target->options.service, address, target->options.slots, target->options.connections,
            target->state, cold_left_ms (target));
  announce (target, "PUT", body);
}

/* Handles "cold/MILLISECONDS": from now on, the target says for that time that it is cold. */
static bool
cold_set (target_t *target, h2o_iovec_t name)
{
  uint64_t cold_ms;

  if (name.len < 5 || memcmp (name.base, "cold/", 5) != 0
      || !sgr_http_number_parse (name.base + 5, name.len - 5, NUMBER_MAX, &cold_ms))
    return false;
  target->cold_until_us = sgr_clock_monotonic_us () + cold_ms * SGR_USEC_PER_MSEC;
  return true;
}

/* POST /admin/NAME changes the announced state or the behaviour of the target. */
static int
on_admin (h2o_handler_t *super, h2o_req_t *req)
{
  target_t *target = ((handler_t *)super)->target;
  h2o_iovec_t name = h2o_iovec_init (req->path.base + strlen (ADMIN_PREFIX),
                                     req->path.len - strlen (ADMIN_PREFIX));

  if (h2o_memis (name.base, name.len, H2O_STRLIT ("drain")))
    target->state = "draining";
  else if (h2o_memis (name.base, name.len, H2O_STRLIT ("serve")))
    target->state = "serving";
  else if (!cold_set (target, name)
           && !sgr_standin_work_set_mode (target->work, name.base, name.len))
    {
      h2o_send_error_404 (req, "Not Found", "no such setting\n", 0);
      return 0;
    }
  if (target->options.announce.port != 0)
    sgr_timer_arm (target->timers, &target->announce_timer, sgr_clock_monotonic_us ());
  req->res.status = 200;
  h2o_send_inline (req, H2O_STRLIT ("ok\n"));
  return 0;
}

static int
on_executions (h2o_handler_t *super, h2o_req_t *req)
{
  sgr_buffer_t text = { 0 };

  sgr_standin_work_print_executions (((handler_t *)super)->target->work, &text);
  req->res.status = 200;
  h2o_send_inline (req, (const char *)text.bytes, text.length);
  sgr_buffer_release (&text);
  return 0;
}

static int
on_ready (h2o_handler_t *super, h2o_req_t *req)
{
  uint64_t cold_ms = cold_left_ms (((handler_t *)super)->target);
  char *value = h2o_mem_alloc_pool (&req->pool, COLD_TEXT_BYTES);

  if (cold_ms > 0)
    h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("siskingrade-cold-ms"), 0,
                           NULL, value, (size_t)snprintf (value, COLD_TEXT_BYTES, "%lu", cold_ms));
  req->res.status = 200;
  h2o_send_inline (req, H2O_STRLIT ("ready\n"));
  return 0;
}

static int
on_work (h2o_handler_t *super, h2o_req_t *req)
{
  sgr_standin_work_start (((handler_t *)super)->target->work, req);
  return 0;
}

static void
handler_add (target_t *target, h2o_hostconf_t *host_config, const char *path,
             int (*on_req) (h2o_handler_t *super, h2o_req_t *req))
{
  h2o_pathconf_t *path_config = h2o_config_register_path (host_config, path, 0);
  handler_t *handler = (handler_t *)h2o_create_handler (path_config, sizeof *handler);

  handler->super.on_req = on_req;
  handler->target = target;
}

static void
on_accept (h2o_socket_t *listener, const char *err)
{
  target_t *target = listener->data;
  h2o_socket_t *sock;

  if (err == NULL && (sock = h2o_evloop_socket_accept (listener)) != NULL)
    h2o_accept (&target->accept, sock);
}

static void
on_signal (h2o_socket_t *sock, const char *err)
{
  target_t *target = sock->data;

  target->is_deregistering = true;
  sgr_timer_cancel (target->timers, &target->announce_timer);
  if (target->options.announce.port == 0)
    target->is_stopped = true;
  else
    announce (target, "DELETE", NULL);
}

static void
signal_watch_start (target_t *target)
{
  h2o_socket_t *sock;
  sigset_t set;

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigprocmask (SIG_BLOCK, &set, NULL);
  sock = h2o_evloop_socket_create (target->loop, signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC),
                                   H2O_SOCKET_FLAG_DONT_READ);
  sock->data = target;
  h2o_socket_read_start (sock, on_signal);
}

static int
target_run (target_t *target)
{
  h2o_hostconf_t *host_config;
  h2o_socket_t *listener;

  h2o_config_init (&target->config);
  target->config.http1.req_timeout = REQUEST_TIMEOUT_MS;
  host_config
      = h2o_config_register_host (&target->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  handler_add (target, host_config, ADMIN_PREFIX, on_admin);
  handler_add (target, host_config, "/executions", on_executions);
  handler_add (target, host_config, "/ready", on_ready);
  handler_add (target, host_config, "/", on_work);
  h2o_context_init (&target->context, target->loop, &target->config);
  target->accept.ctx = &target->context;
  target->accept.hosts = target->config.hosts;
  if (sgr_listener_open (target->loop, &target->options.listen, on_accept, target, &listener)
      != SGR_OK)
    {
      perror ("standin-target: listen");
      return 1;
    }
  signal_watch_start (target);
  if (target->options.announce.port != 0)
    sgr_timer_arm (target->timers, &target->announce_timer, 0);
  sgr_task_loop_run (target->loop, target->timers, &target->is_stopped);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { option_list, option_parse, NULL, "A target for tests, benchmarks and the demo.",
          NULL,        NULL,         NULL };
  static target_t target
      = { .options = { .slots = 16, .connections = 240, .service_us = 2000, .seed = 1 },
          .state = "serving" };
  sgr_standin_work_options_t work;

  argp_parse (&argp, argc, argv, 0, NULL, &target.options);
  target.loop = h2o_evloop_create ();
  target.timers = sgr_timer_heap_create ();
  target.fetcher
      = sgr_http_fetcher_create (target.loop, ANNOUNCE_TIMEOUT_MS, ANNOUNCE_REPLY_MAX_BYTES);
  target.announce_timer = (sgr_timer_t){ .fire = on_announce_timer, .ctx = &target };
  work
      = (sgr_standin_work_options_t){ .slots = target.options.slots,
                                      .service_us = target.options.service_us,
                                      .cold_until_us = sgr_clock_monotonic_us ()
                                                       + target.options.cold_ms * SGR_USEC_PER_MSEC,
                                      .seed = target.options.seed,
                                      .log_path = target.options.log_path };
  target.cold_until_us = work.cold_until_us;
  target.work = sgr_standin_work_create (target.timers, &work);
  return target_run (&target);
}
