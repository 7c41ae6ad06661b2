#ifndef SGR_CONFIG_API_PRIVATE_H
#define SGR_CONFIG_API_PRIVATE_H

#include "config_api.h"

/* Longest wait of a watcher; it then gets an empty list and asks again. */
#define WATCH_WAIT_MS 50000
#define WATCHERS_MAX 256
#define TICK_MS 100

/** struct watcher_t - a long poll; @req is NULL once its connection is gone */
typedef struct watcher_t
{
  struct watcher_t *next;
  struct watcher_t **ref;
  h2o_req_t *req;
  uint64_t revision;
  uint64_t due_us;
} watcher_t;

struct sgr_config_api_t
{
  sgr_config_io_t *io;
  sgr_config_api_members_t members;
  void *members_ctx;
  h2o_loop_t *loop;
  h2o_timeout_t tick;
  h2o_timeout_entry_t tick_entry;
  watcher_t *watchers;
  size_t watcher_count;
};

typedef struct
{
  h2o_handler_t super;
  sgr_config_api_t *api;
} api_handler_t;

#define API_OF(handler) (((api_handler_t *)(handler))->api)

void api_reply_error (h2o_req_t *req, const sgr_config_error_t *error);

/** api_method_is() - true if the method fits, else the request is answered with 405 */
bool api_method_is (h2o_req_t *req, const char *method);

/** api_path_rest() - what follows "BASE/" in the path; false if it is too long or malformed */
bool api_path_rest (const h2o_req_t *req, const char *base, char *rest, size_t size);

int api_on_changes (h2o_handler_t *handler, h2o_req_t *req);
int api_on_nodes (h2o_handler_t *handler, h2o_req_t *req);
int api_on_targets (h2o_handler_t *handler, h2o_req_t *req);
int api_on_status (h2o_handler_t *handler, h2o_req_t *req);

#endif
