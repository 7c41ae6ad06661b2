#include "data_keys.h"

#include <stdlib.h>
#include <string.h>

#include "data_link.h"

/* How often and how long a gate is waited for whose key generation is not known yet. */
#define RETRY_US (2 * SGR_USEC_PER_MSEC)
#define WAIT_US (2 * SGR_USEC_PER_SEC)
/* Longest wait for the store; above the time-out of a write and of the reads that settle it. */
#define BIND_US (5 * SGR_USEC_PER_SEC)

struct sgr_data_keys_t
{
  sgr_data_task_t *task;
  sgr_id_map_t *binds; /* jobs that wait for the control task, by number */
  uint64_t next_id;
  uint64_t window_us; /* second within which binds are counted */
  uint32_t window_count;
  sgr_counter_t *issued;
  sgr_counter_t *bound;
  sgr_counter_t *limited;
};

typedef struct
{
  sgr_data_keys_t *keys;
  sgr_data_service_t *service;
  bool is_bind;
  sgr_hash128_t key;
  uint64_t id;
  uint64_t give_up_us;
  sgr_timer_t timer;
  void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key);
  void *ctx;
  bool is_done;
} job_t;

static void
job_dispose (void *object)
{
  job_t *job = object;

  sgr_timer_cancel (job->keys->task->timers, &job->timer);
  if (job->id != 0)
    sgr_id_map_remove (job->keys->binds, job->id);
}

static void
job_finish (job_t *job, sgr_result_t result, const sgr_issued_key_t *key)
{
  if (job->is_done)
    return;
  job->is_done = true;
  sgr_timer_cancel (job->keys->task->timers, &job->timer);
  job->done (job->ctx, result, key);
}

static void
bind_send (job_t *job, const sgr_issued_key_t *candidate)
{
  sgr_data_task_t *task = job->keys->task;
  sgr_data_key_bind_t *bind = calloc (1, sizeof *bind);

  sgr_invariant (bind != NULL);
  job->id = ++job->keys->next_id;
  bind->id = job->id;
  memcpy (bind->service, job->service->policy.service, sizeof bind->service);
  bind->key = job->key;
  bind->candidate = *candidate;
  sgr_id_map_put (job->keys->binds, job->id, job);
  job->give_up_us = sgr_clock_monotonic_us () + BIND_US;
  sgr_timer_arm (task->timers, &job->timer, job->give_up_us);
  task->events.key_bind (task->events_ctx, bind);
}

static void
on_job_timer (void *ctx, uint64_t now_us)
{
  job_t *job = ctx;
  sgr_data_task_t *task = job->keys->task;
  sgr_node_id_t node = 0;
  sgr_data_link_t *link = NULL;
  sgr_issued_key_t key;
  sgr_boot_id_t boot;
  uint64_t generation;

  if (now_us >= job->give_up_us)
    {
      job_finish (job, SGR_ERR_UNAVAILABLE, NULL);
      return;
    }
  if (sgr_data_service_pick (job->service, now_us, NULL, 0, 0, &node) != SGR_BALANCER_TARGET_NONE)
    link = sgr_data_link_get (task->links, node);
  if (link == NULL || sgr_data_link_open (link) != SGR_OK
      || !sgr_data_link_gate (link, &boot, &generation))
    {
      sgr_timer_arm (task->timers, &job->timer, now_us + RETRY_US);
      return;
    }
  key = sgr_issued_key_create (node, boot, generation);
  if (job->is_bind)
    {
      bind_send (job, &key);
      return;
    }
  sgr_counter_add (job->keys->issued, 1);
  job_finish (job, SGR_OK, &key);
}

static job_t *
job_create (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
            void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key), void *ctx)
{
  job_t *job = h2o_mem_alloc_shared (&req->pool, sizeof *job, job_dispose);

  memset (job, 0, sizeof *job);
  job->keys = keys;
  job->service = service;
  job->done = done;
  job->ctx = ctx;
  job->give_up_us = sgr_clock_monotonic_us () + WAIT_US;
  job->timer = (sgr_timer_t){ .fire = on_job_timer, .ctx = job };
  return job;
}

sgr_data_keys_t *
sgr_data_keys_create (sgr_data_task_t *task)
{
  sgr_data_keys_t *keys = calloc (1, sizeof *keys);

  sgr_invariant (keys != NULL);
  keys->task = task;
  keys->binds = sgr_id_map_create ();
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
  sgr_id_map_destroy (keys->binds);
  free (keys);
}

void
sgr_data_keys_issue (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                     void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key),
                     void *ctx)
{
  job_t *job = job_create (keys, req, service, done, ctx);

  on_job_timer (job, sgr_clock_monotonic_us ());
}

/* Counts binds in fixed seconds, so that the store is spared a flood of new keys. */
static bool
bind_allowed (sgr_data_keys_t *keys, const sgr_policy_t *policy, uint64_t now_us)
{
  if (now_us - keys->window_us >= SGR_USEC_PER_SEC)
    {
      keys->window_us = now_us;
      keys->window_count = 0;
    }
  if (keys->window_count >= policy->key_store_per_s)
    return false;
  keys->window_count++;
  return true;
}

void
sgr_data_keys_bind (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                    sgr_hash128_t key,
                    void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key),
                    void *ctx)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  job_t *job = job_create (keys, req, service, done, ctx);

  job->is_bind = true;
  job->key = key;
  if (!bind_allowed (keys, &service->policy, now_us))
    {
      sgr_counter_add (keys->limited, 1);
      job_finish (job, SGR_ERR_LIMIT, NULL);
      return;
    }
  on_job_timer (job, now_us);
}

void
sgr_data_keys_bound (sgr_data_keys_t *keys, const sgr_data_key_bound_t *bound)
{
  job_t *job = sgr_id_map_remove (keys->binds, bound->id);

  if (job == NULL)
    return;
  job->id = 0;
  if (bound->result == SGR_OK)
    sgr_counter_add (keys->bound, 1);
  job_finish (job, bound->result, &bound->gate);
}
