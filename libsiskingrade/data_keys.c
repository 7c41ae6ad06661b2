#include "data_keys.h"

#include <stdlib.h>
#include <string.h>

#include "data_link.h"

/* Interval and time limit of the search for a gate whose key generation is known. A node learns the
   key generation of a gate once a connection to the gate is established. */
#define GATE_SEARCH_INTERVAL_US (2 * SGR_USEC_PER_MSEC)
#define GATE_SEARCH_TIMEOUT_US (2 * SGR_USEC_PER_SEC)
/* Time limit for the reply of the control task to a bind request. It is longer than the timeout of
   the write to the store and that of the reads which find out whether a write without a reply took
   effect. A shorter limit would fail the call if one reply of the store is lost. */
#define KEY_BIND_TIMEOUT_US (5 * SGR_USEC_PER_SEC)

struct sgr_data_keys_t
{
  sgr_data_task_t *task;
  sgr_id_map_t *pending_binds; /* requests that wait for the control task, by bind_id */
  uint64_t last_bind_id;
  uint64_t window_start_us; /* start of the second in which binds are counted */
  uint32_t window_count;
  sgr_counter_t *issued;
  sgr_counter_t *bound;
  sgr_counter_t *limited;
};

/**
 * struct key_request_t - one key to issue or to bind; the memory belongs to the h2o request
 * @regions: where calls with the key may be run
 * @is_bind: bind @key, otherwise issue a new key
 * @key: hash of the key to bind
 * @bind_id: id of the message to the control task, 0 if no reply is expected
 * @expiry_us: time at which the request fails, monotonic, microseconds
 * @timer: fires for the next search for a gate, or at @expiry_us
 * @done: called with the result
 * @ctx: passed to @done
 * @is_done: @done was called
 */
typedef struct
{
  sgr_data_keys_t *keys;
  sgr_data_service_t *service;
  sgr_region_limit_t regions;
  bool is_bind;
  sgr_hash128_t key;
  uint64_t bind_id;
  uint64_t expiry_us;
  sgr_timer_t timer;
  void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key);
  void *ctx;
  bool is_done;
} key_request_t;

static void
key_request_dispose (void *object)
{
  key_request_t *request = object;

  sgr_timer_cancel (request->keys->task->timers, &request->timer);
  if (request->bind_id != 0)
    sgr_id_map_remove (request->keys->pending_binds, request->bind_id);
}

static void
key_request_finish (key_request_t *request, sgr_result_t result, const sgr_issued_key_t *key)
{
  if (request->is_done)
    return;
  request->is_done = true;
  sgr_timer_cancel (request->keys->task->timers, &request->timer);
  request->done (request->ctx, result, key);
}

/* Sends a request to the control task to bind the key in the store. */
static void
key_bind_request_send (key_request_t *request, const sgr_issued_key_t *candidate)
{
  sgr_data_task_t *task = request->keys->task;
  sgr_data_key_bind_request_t *bind = calloc (1, sizeof *bind);

  sgr_invariant (bind != NULL);
  request->bind_id = ++request->keys->last_bind_id;
  bind->id = request->bind_id;
  memcpy (bind->service, request->service->policy.service, sizeof bind->service);
  bind->key = request->key;
  bind->candidate = *candidate;
  sgr_id_map_put (request->keys->pending_binds, request->bind_id, request);
  request->expiry_us = sgr_clock_monotonic_us () + KEY_BIND_TIMEOUT_US;
  sgr_timer_arm (task->timers, &request->timer, request->expiry_us);
  task->events.key_bind (task->events_ctx, bind);
}

/* Chooses a gate and binds or issues the key; tries again later if no gate is reachable. */
static void
on_key_request_timer (void *ctx, uint64_t now_us)
{
  key_request_t *request = ctx;
  sgr_data_task_t *task = request->keys->task;
  const sgr_balancer_call_t call = { .regions = request->regions };
  sgr_node_id_t node = 0;
  sgr_data_link_t *link = NULL;
  sgr_issued_key_t key;
  sgr_boot_id_t boot;
  uint64_t generation;

  if (now_us >= request->expiry_us)
    {
      key_request_finish (request, SGR_ERR_UNAVAILABLE, NULL);
      return;
    }
  if (sgr_data_service_pick (request->service, now_us, NULL, 0, &call, &node, NULL)
      != SGR_BALANCER_TARGET_NONE)
    link = sgr_data_link_get (task->links, node);
  else if (request->regions.is_bound)
    {
      key_request_finish (request, SGR_ERR_NOT_FOUND, NULL);
      return;
    }
  if (link == NULL || sgr_data_link_open (link) != SGR_OK
      || !sgr_data_link_gate_info (link, &boot, &generation))
    {
      sgr_timer_arm (task->timers, &request->timer, now_us + GATE_SEARCH_INTERVAL_US);
      return;
    }
  key = sgr_issued_key_create (node, boot, generation);
  if (request->is_bind)
    {
      key_bind_request_send (request, &key);
      return;
    }
  sgr_counter_add (request->keys->issued, 1);
  key_request_finish (request, SGR_OK, &key);
}

static key_request_t *
key_request_create (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                    const sgr_region_limit_t *regions,
                    void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key),
                    void *ctx)
{
  key_request_t *request = h2o_mem_alloc_shared (&req->pool, sizeof *request, key_request_dispose);

  memset (request, 0, sizeof *request);
  request->keys = keys;
  request->service = service;
  request->regions = *regions;
  request->done = done;
  request->ctx = ctx;
  request->expiry_us = sgr_clock_monotonic_us () + GATE_SEARCH_TIMEOUT_US;
  request->timer = (sgr_timer_t){ .fire = on_key_request_timer, .ctx = request };
  return request;
}

sgr_data_keys_t *
sgr_data_keys_create (sgr_data_task_t *task)
{
  sgr_data_keys_t *keys = calloc (1, sizeof *keys);

  sgr_invariant (keys != NULL);
  keys->task = task;
  keys->pending_binds = sgr_id_map_create ();
  keys->issued = sgr_metrics_counter (task->metrics, "siskingrade_keys_issued_total", "");
  keys->bound = sgr_metrics_counter (task->metrics, "siskingrade_keys_bound_total", "");
  keys->limited = sgr_metrics_counter (task->metrics, "siskingrade_keys_limited_total", "");
  return keys;
}

void
sgr_data_keys_destroy (sgr_data_keys_t *keys)
{
  if (keys == NULL)
    return;
  sgr_id_map_destroy (keys->pending_binds);
  free (keys);
}

void
sgr_data_keys_issue (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                     const sgr_region_limit_t *regions,
                     void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key),
                     void *ctx)
{
  key_request_t *request = key_request_create (keys, req, service, regions, done, ctx);

  on_key_request_timer (request, sgr_clock_monotonic_us ());
}

/* Limits the binds of each second to the policy's key_store_per_s, to protect the store from a
   flood of new keys. Returns whether one more is allowed. */
static bool
key_bind_rate_check (sgr_data_keys_t *keys, const sgr_policy_t *policy, uint64_t now_us)
{
  if (now_us - keys->window_start_us >= SGR_USEC_PER_SEC)
    {
      keys->window_start_us = now_us;
      keys->window_count = 0;
    }
  if (keys->window_count >= policy->key_store_per_s)
    return false;
  keys->window_count++;
  return true;
}

void
sgr_data_keys_bind (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                    const sgr_region_limit_t *regions, sgr_hash128_t key,
                    void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key),
                    void *ctx)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  key_request_t *request = key_request_create (keys, req, service, regions, done, ctx);

  request->is_bind = true;
  request->key = key;
  if (!key_bind_rate_check (keys, &service->policy, now_us))
    {
      sgr_counter_add (keys->limited, 1);
      key_request_finish (request, SGR_ERR_LIMIT, NULL);
      return;
    }
  on_key_request_timer (request, now_us);
}

void
sgr_data_keys_bind_reply_handle (sgr_data_keys_t *keys, const sgr_data_key_bind_reply_t *bound)
{
  key_request_t *request = sgr_id_map_remove (keys->pending_binds, bound->id);

  if (request == NULL)
    return;
  request->bind_id = 0;
  if (bound->result == SGR_OK)
    sgr_counter_add (keys->bound, 1);
  key_request_finish (request, bound->result, &bound->gate);
}
