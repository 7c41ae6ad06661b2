#include "control_keys.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reads after a write whose reply was lost, or that another node won. */
#define READS_MAX 3
/* A bound key holds this long; its record is removed afterwards, so that the store does not fill.
   docs/interfaces.md gives callers this time. */
#define KEY_LIFETIME_US (3600ULL * SGR_USEC_PER_SEC)

typedef struct bound_t
{
  char path[SGR_STORE_KEY_MAX + 1];
  uint64_t version;
  uint64_t remove_us;
  struct bound_t *next;
} bound_t;

struct sgr_control_keys_t
{
  sgr_control_t *control;
  sgr_store_t *store;
  bound_t *first; /* oldest first */
  bound_t **last;
  sgr_timer_t timer;
  sgr_counter_t *conflicts;
  sgr_counter_t *unknown;
};

typedef struct
{
  sgr_control_keys_t *keys;
  sgr_data_key_bind_t *bind;
  char path[SGR_STORE_KEY_MAX + 1];
  char value[SGR_ISSUED_KEY_TEXT_SIZE];
  unsigned reads;
} job_t;

static void
job_end (job_t *job, sgr_result_t result, const sgr_issued_key_t *gate)
{
  sgr_data_key_bound_t *bound = calloc (1, sizeof *bound);

  sgr_invariant (bound != NULL);
  bound->id = job->bind->id;
  bound->result = result;
  if (gate != NULL)
    bound->gate = *gate;
  sgr_data_task_key_bound_send (job->keys->control->data, bound);
  free (job->bind);
  free (job);
}

static void on_read (void *ctx, const sgr_store_reply_t *reply);

static void
read_start (job_t *job)
{
  if (job->reads++ >= READS_MAX
      || job->keys->store->get (job->keys->store, job->path, on_read, job) == NULL)
    job_end (job, SGR_ERR_UNAVAILABLE, NULL);
}

/* Whoever wrote the record, the gate that it names is the only one that may run the key. */
static void
on_read (void *ctx, const sgr_store_reply_t *reply)
{
  job_t *job = ctx;
  sgr_issued_key_t gate;

  if (reply->outcome != SGR_STORE_OK)
    read_start (job);
  else if (reply->value != NULL
           && sgr_issued_key_parse ((const char *)reply->value, reply->length, &gate) == SGR_OK)
    job_end (job, SGR_OK, &gate);
  else
    /* The write may still take effect, so that nothing may be sent under this key now. */
    job_end (job, SGR_ERR_UNAVAILABLE, NULL);
}

static void
removal_note (job_t *job, uint64_t version)
{
  sgr_control_keys_t *keys = job->keys;
  bound_t *bound = calloc (1, sizeof *bound);

  sgr_invariant (bound != NULL);
  memcpy (bound->path, job->path, sizeof bound->path);
  bound->version = version;
  bound->remove_us = sgr_clock_monotonic_us () + KEY_LIFETIME_US;
  *keys->last = bound;
  keys->last = &bound->next;
  if (keys->timer.position == 0)
    sgr_timer_arm (keys->control->timers, &keys->timer, keys->first->remove_us);
}

static void
on_written (void *ctx, const sgr_store_reply_t *reply)
{
  job_t *job = ctx;

  switch (reply->outcome)
    {
    case SGR_STORE_OK:
      removal_note (job, reply->version);
      job_end (job, SGR_OK, &job->bind->candidate);
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
      job_end (job, SGR_ERR_UNAVAILABLE, NULL);
      return;
    }
}

void
sgr_control_keys_bind (sgr_control_keys_t *keys, sgr_data_key_bind_t *bind)
{
  job_t *job = calloc (1, sizeof *job);

  sgr_invariant (job != NULL);
  job->keys = keys;
  job->bind = bind;
  snprintf (job->path, sizeof job->path, "keys/%s/%016" PRIx64 "%016" PRIx64, bind->service,
            bind->key.high, bind->key.low);
  sgr_issued_key_format (&bind->candidate, job->value);
  if (keys->store == NULL
      || keys->store->swap (keys->store, job->path, 0, job->value, strlen (job->value), on_written,
                            job)
             == NULL)
    job_end (job, SGR_ERR_UNAVAILABLE, NULL);
}

static void
on_removed (void *ctx, const sgr_store_reply_t *reply)
{
  /* A record that could not be removed costs a little room in the store and nothing else. */
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  sgr_control_keys_t *keys = ctx;

  while (keys->first != NULL && keys->first->remove_us <= now_us)
    {
      bound_t *bound = keys->first;

      keys->store->swap (keys->store, bound->path, bound->version, NULL, 0, on_removed, NULL);
      keys->first = bound->next;
      free (bound);
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
  bound_t *next;

  if (keys == NULL)
    return;
  sgr_timer_cancel (keys->control->timers, &keys->timer);
  for (bound_t *bound = keys->first; bound != NULL; bound = next)
    {
      next = bound->next;
      free (bound);
    }
  free (keys);
}
