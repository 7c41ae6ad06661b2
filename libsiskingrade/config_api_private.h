#ifndef SGR_CONFIG_API_PRIVATE_H
#define SGR_CONFIG_API_PRIVATE_H

#include "config_api.h"

/* Longest wait of a watch request; the watcher then gets an empty list and sends a new request. */
#define WATCH_WAIT_MAX_MS 50000
/* Most pending watch requests of a node; more are answered with 429. */
#define WATCHERS_MAX 256
/* Period of the timer that answers watch requests whose wait has ended. */
#define WATCH_TICK_MS 100

/**
 * struct watcher_t - a pending watch request (long poll)
 * @next: next entry of the list
 * @ref: pointer to this watcher, allocated in the memory pool of the request; set to NULL when the
 *       request is answered. If the pool is disposed of first, on_watch_request_disposed() sets
 *       @req to NULL.
 * @req: the request, NULL after its connection was closed
 * @revision: last revision that the client has seen
 * @due_us: monotonic time at which the wait ends
 */
typedef struct watcher_t
{
  struct watcher_t *next;
  struct watcher_t **ref;
  h2o_req_t *req;
  uint64_t revision;
  uint64_t due_us;
} watcher_t;

/**
 * struct sgr_config_api_t - the configuration API of a node
 * @io: the configuration I/O
 * @members: returns the members, may be NULL
 * @members_ctx: passed to @members
 * @evacuation: returns the evacuated failure domains, may be NULL
 * @evacuation_ctx: passed to @evacuation
 * @routing: how calls find their service, NULL if it is not known
 * @loop: event loop of the HTTP server, NULL until its context is initialized
 * @tick: timeout with the period WATCH_TICK_MS
 * @tick_entry: entry of @tick
 * @watchers: pending watch requests
 * @watcher_count: entries of @watchers
 */
struct sgr_config_api_t
{
  sgr_config_io_t *io;
  sgr_config_api_members_t members;
  void *members_ctx;
  sgr_config_api_evacuation_t evacuation;
  void *evacuation_ctx;
  const char *routing;
  h2o_loop_t *loop;
  h2o_timeout_t tick;
  h2o_timeout_entry_t tick_entry;
  watcher_t *watchers;
  size_t watcher_count;
};

/** struct api_handler_t - h2o handler of one path of the API */
typedef struct
{
  h2o_handler_t super;
  sgr_config_api_t *api;
} api_handler_t;

#define API_OF(handler) (((api_handler_t *)(handler))->api)

/** api_reply_error() - answer with the HTTP status that corresponds to the result of an error */
void api_reply_error (h2o_req_t *req, const sgr_config_error_t *error);

/** api_method_require() - whether a request has a method; if not, it is answered with 405 */
bool api_method_require (h2o_req_t *req, const char *method);

/**
 * api_path_suffix() - copy the part of the path that follows "BASE/"
 * @req: a request whose path starts with @base
 * @base: path under which the handler is registered
 * @suffix: receives the suffix, empty if there is none
 * @size: size of @suffix in bytes
 *
 * Return: false if the suffix is too long or if @base is not followed by a slash.
 */
bool api_path_suffix (const h2o_req_t *req, const char *base, char *suffix, size_t size);

/* Handlers of h2o; all return 0 because they answer each request. */
int api_on_changes (h2o_handler_t *handler, h2o_req_t *req);
int api_on_nodes (h2o_handler_t *handler, h2o_req_t *req);
int api_on_targets (h2o_handler_t *handler, h2o_req_t *req);
int api_on_status (h2o_handler_t *handler, h2o_req_t *req);

#endif
