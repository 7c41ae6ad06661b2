#include "control_keys.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum number of reads of a key's record. It is read after a write whose outcome is unknown and
   after a conflict with the write of another node. */
#define READS_MAX 3
/* Time for which a key stays bound. Its record is removed afterwards, so that the store does not
   fill up. docs/interfaces.md states this time for callers. */
#define KEY_LIFETIME_US (3600ULL * SGR_USEC_PER_SEC)

/* A bound key whose record is to be removed from the store. */
typedef struct binding_t
{
  char path[SGR_STORE_KEY_MAX + 1];
  uint64_t version;
  uint64_t remove_us;
  struct binding_t *next;
} binding_t;

struct sgr_control_keys_t
{
  sgr_control_t *control;
  sgr_store_t *store;
  binding_t *first; /* oldest binding */
  binding_t **last;
  sgr_timer_t timer;
  sgr_counter_t *conflicts;
  sgr_counter_t *unknown;
};

/* A request to bind a key, from its arrival to the reply. */
typedef struct
{
  sgr_control_keys_t *keys;
  sgr_data_key_bind_request_t *request;
  char path[SGR_STORE_KEY_MAX + 1];
  char value[SGR_ISSUED_KEY_TEXT_SIZE];
  unsigned reads;
} bind_job_t;

static void
job_finish (bind_job_t *job, sgr_result_t result, const sgr_issued_key_t *gate)
{
  sgr_data_key_bind_reply_t *reply = calloc (1, sizeof *reply);

  sgr_invariant (reply != NULL);
  reply->id = job->request->id;
  reply->result = result;
  if (gate != NULL)
    reply->gate = *gate;
  sgr_data_task_key_bind_reply_send (job->keys->control->data, reply);
  free (job->request);
  free (job);
}

static void on_read (void *ctx, const sgr_store_reply_t *reply);

static void
read_start (bind_job_t *job)
{
  if (job->reads++ >= READS_MAX
      || job->keys->store->get (job->keys->store, job->path, on_read, job) == NULL)
    job_finish (job, SGR_ERR_UNAVAILABLE, NULL);
}

/* The gate that the record names is the only one that may run requests with the key, whichever node
   wrote the record. */
static void
on_read (void *ctx, const sgr_store_reply_t *reply)
{
  bind_job_t *job = ctx;
  sgr_issued_key_t gate;

  if (reply->outcome != SGR_STORE_OK)
    read_start (job);
  else if (reply->value != NULL
           && sgr_issued_key_parse ((const char *)reply->value, reply->length, &gate) == SGR_OK)
    job_finish (job, SGR_OK, &gate);
  else
    /* No valid record is stored, but the write may still take effect. The gate that the key will be
       bound to is not known, so no request with this key may be sent now. */
    job_finish (job, SGR_ERR_UNAVAILABLE, NULL);
}

/* Schedules the removal of the record that was written with this version. */
static void
removal_schedule (bind_job_t *job, uint64_t version)
{
  sgr_control_keys_t *keys = job->keys;
  binding_t *binding = calloc (1, sizeof *binding);

  sgr_invariant (binding != NULL);
  memcpy (binding->path, job->path, sizeof binding->path);
  binding->version = version;
  binding->remove_us = sgr_clock_monotonic_us () + KEY_LIFETIME_US;
  *keys->last = binding;
  keys->last = &binding->next;
  if (keys->timer.position == 0)
    sgr_timer_arm (keys->control->timers, &keys->timer, keys->first->remove_us);
}

static void
on_written (void *ctx, const sgr_store_reply_t *reply)
{
  bind_job_t *job = ctx;

  switch (reply->outcome)
    {
    case SGR_STORE_OK:
      removal_schedule (job, reply->version);
      job_finish (job, SGR_OK, &job->request->candidate);
      return;
    case SGR_STORE_CONFLICT:
      sgr_counter_add (job->keys->conflicts, 1);
      read_start (job);
      return;
    case SGR_STORE_UNKNOWN:
      sgr_counter_add (job->keys->unknown, 1);
      read_start (job);
      return;
    case SGR_STORE_UNAVAILABLE:
      job_finish (job, SGR_ERR_UNAVAILABLE, NULL);
      return;
    }
}

void
sgr_control_keys_bind (sgr_control_keys_t *keys, sgr_data_key_bind_request_t *request)
{
  bind_job_t *job = calloc (1, sizeof *job);

  sgr_invariant (job != NULL);
  job->keys = keys;
  job->request = request;
  snprintf (job->path, sizeof job->path, "keys/%s/%016" PRIx64 "%016" PRIx64, request->service,
            request->key.high, request->key.low);
  sgr_issued_key_format (&request->candidate, job->value);
  if (keys->store == NULL
      || keys->store->swap (keys->store, job->path, 0, job->value, strlen (job->value), on_written,
                            job)
             == NULL)
    job_finish (job, SGR_ERR_UNAVAILABLE, NULL);
}

static void
on_removed (void *ctx, const sgr_store_reply_t *reply)
{
  /* A failed removal is not retried: a record that stays only uses a little space in the store. */
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  sgr_control_keys_t *keys = ctx;

  while (keys->first != NULL && keys->first->remove_us <= now_us)
    {
      binding_t *binding = keys->first;

      keys->store->swap (keys->store, binding->path, binding->version, NULL, 0, on_removed, NULL);
      keys->first = binding->next;
      free (binding);
    }
  if (keys->first == NULL)
    keys->last = &keys->first;
  else
    sgr_timer_arm (keys->control->timers, &keys->timer, keys->first->remove_us);
}

sgr_control_keys_t *
sgr_control_keys_create (sgr_control_t *control, sgr_store_t *store)
{
  sgr_control_keys_t *keys = calloc (1, sizeof *keys);

  sgr_invariant (keys != NULL);
  keys->control = control;
  keys->store = store;
  keys->last = &keys->first;
  keys->timer = (sgr_timer_t){ .fire = on_timer, .ctx = keys };
  keys->conflicts
      = sgr_metrics_counter (control->metrics, "siskingrade_key_bind_conflicts_total", "");
  keys->unknown = sgr_metrics_counter (control->metrics, "siskingrade_key_bind_unknown_total", "");
  return keys;
}

void
sgr_control_keys_destroy (sgr_control_keys_t *keys)
{
  binding_t *next;

  if (keys == NULL)
    return;
  sgr_timer_cancel (keys->control->timers, &keys->timer);
  for (binding_t *binding = keys->first; binding != NULL; binding = next)
    {
      next = binding->next;
      free (binding);
    }
  free (keys);
}
