#include "control_departures.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_confirm.h"
#include "log.h"

/* First and longest delay before a failed call to the store is retried; the delay doubles with each
   failure. */
#define RETRY_MIN_US (100 * SGR_USEC_PER_MSEC)
#define RETRY_MAX_US (2 * SGR_USEC_PER_SEC)
/* Longest time for which an answer waits for the store. A target waits a second for its answer. */
#define REPLY_DELAY_MAX_US (800 * SGR_USEC_PER_MSEC)
/* Longest time for which the answer to an announcement that is kept waits for the record. */
#define KEPT_DELAY_MAX_US (300 * SGR_USEC_PER_MSEC)

/**
 * struct waiting_reply_t - a request whose answer waits for the store
 * @next: next entry of the list
 * @ref: pointer to this structure, in the memory pool of the request
 * @req: the request, NULL after its connection was closed
 * @send: sends the answer
 * @due_us: when the request is answered in any case
 * @is_kept: the request is an announcement that is kept until the record is read; else it asks for
 *           a departure, which has to be stored
 * @announcement: the announcement that is kept
 */
typedef struct waiting_reply_t
{
  struct waiting_reply_t *next;
  struct waiting_reply_t **ref;
  h2o_req_t *req;
  sgr_control_reply_cb_t send;
  uint64_t due_us;
  bool is_kept;
  sgr_announcement_t announcement;
} waiting_reply_t;

/**
 * struct sgr_control_departures_t - the departures of the local target in the store
 * @control: the control task
 * @store: the store, NULL for none
 * @key: key of the record
 * @call: the pending call, NULL for none
 * @created_ms: Unix time of the creation in milliseconds
 * @is_known: the record was read since the start
 * @is_version_known: @version is that of the record; not after a write that failed
 * @version: version of the record, 0 if it does not exist
 * @stored: departures in the record
 * @written: departures that the pending call writes
 * @has_failed: the last call failed
 * @kept: announcement that waits until the record is known; its service is empty if there is none
 * @running: announcement of the last instance that has shown that it runs; its service is empty if
 *           there is none
 * @replies: answers that wait for the store
 * @retry_timer: fires when the next call is due
 * @retry_us: delay before the next retry
 * @reply_timer: fires when the first of @replies has waited long enough
 */
struct sgr_control_departures_t
{
  sgr_control_t *control;
  sgr_store_t *store;
  char key[2 * SGR_NAME_MAX + 16];
  sgr_store_call_t *call;
  uint64_t created_ms;
  bool is_known;
  bool is_version_known;
  uint64_t version;
  sgr_departures_t stored;
  sgr_departures_t written;
  bool has_failed;
  sgr_announcement_t kept;
  sgr_announcement_t running;
  waiting_reply_t *replies;
  sgr_timer_t retry_timer;
  uint64_t retry_us;
  sgr_timer_t reply_timer;
};

static bool
is_stored (const sgr_control_departures_t *departures)
{
  return departures->store == NULL
         || sgr_departures_are_in (&departures->control->announce.departures, &departures->stored);
}

/* Runs when h2o disposes of the memory pool of a request. */
static void
on_request_disposed (void *ref)
{
  waiting_reply_t *waiting = *(waiting_reply_t **)ref;

  if (waiting != NULL)
    waiting->req = NULL;
}

/* Whether the store has done what an answer waits for. */
static bool
is_settled (const sgr_control_departures_t *departures, const waiting_reply_t *waiting)
{
  return waiting->is_kept ? departures->is_known : is_stored (departures);
}

static void
waiting_answer (sgr_control_departures_t *departures, waiting_reply_t *waiting)
{
  sgr_control_reply_t reply = { .result = SGR_OK };

  if (waiting->is_kept && !departures->is_known)
    reply.announce_address
        = sgr_control_confirm_ask (departures->control->confirm, &waiting->announcement);
  if (!waiting->is_kept && !is_stored (departures))
    {
      sgr_log_warn ("departure-not-stored", "key=%s", departures->key);
      reply.result = SGR_ERR_UNAVAILABLE;
    }
  waiting->send (departures->control, waiting->req, &reply);
}

/* Sends the answers that are due: those for which the store has done its part, those that have
   waited long enough, and after a failed call those to announcements that are kept. */
static void
replies_send (sgr_control_departures_t *departures, uint64_t now_us)
{
  waiting_reply_t **link = &departures->replies;
  uint64_t next_us = SGR_TIMER_NEVER;

  while (*link != NULL)
    {
      waiting_reply_t *waiting = *link;

      if (waiting->req != NULL && now_us < waiting->due_us && !is_settled (departures, waiting)
          && !(waiting->is_kept && departures->has_failed))
        {
          if (waiting->due_us < next_us)
            next_us = waiting->due_us;
          link = &waiting->next;
          continue;
        }
      *link = waiting->next;
      if (waiting->req != NULL)
        {
          *waiting->ref = NULL;
          waiting_answer (departures, waiting);
        }
      free (waiting);
    }
  sgr_timer_cancel (departures->control->timers, &departures->reply_timer);
  if (next_us != SGR_TIMER_NEVER)
    sgr_timer_arm (departures->control->timers, &departures->reply_timer, next_us);
}

static void
on_reply_timer (void *ctx, uint64_t now_us)
{
  replies_send (ctx, now_us);
}

static void step_run (sgr_control_departures_t *departures);

static void
retry_schedule (sgr_control_departures_t *departures, const char *action,
                const sgr_store_reply_t *reply)
{
  sgr_log_warn ("departures-failed", "action=%s reason=\"%s\" retry_ms=%lu", action,
                reply != NULL && reply->reason != NULL ? reply->reason : "not sent",
                (unsigned long)(departures->retry_us / SGR_USEC_PER_MSEC));
  departures->has_failed = true;
  /* A write that failed may still take effect, so the record is read first. */
  departures->is_version_known = false;
  sgr_timer_arm (departures->control->timers, &departures->retry_timer,
                 sgr_clock_monotonic_us () + departures->retry_us);
  departures->retry_us *= 2;
  if (departures->retry_us > RETRY_MAX_US)
    departures->retry_us = RETRY_MAX_US;
  replies_send (departures, sgr_clock_monotonic_us ());
}

bool
sgr_control_departures_kept_take (sgr_control_departures_t *departures, sgr_announcement_t *kept)
{
  *kept = departures->kept;
  departures->kept = (sgr_announcement_t){ 0 };
  return kept->local.service[0] != '\0';
}

/* Applies the announcement that waited for the record. */
static void
kept_apply (sgr_control_departures_t *departures)
{
  sgr_announcement_t announcement;
  sgr_result_t result;

  if (!sgr_control_departures_kept_take (departures, &announcement)
      || departures->control->is_stopping)
    return;
  result = sgr_control_target_announce (departures->control, &announcement);
  if (result != SGR_OK)
    sgr_log_warn ("announcement-refused", "instance=%s reason=%s", announcement.local.instance,
                  sgr_result_name (result));
}

static void
on_read (void *ctx, const sgr_store_reply_t *reply)
{
  sgr_control_departures_t *departures = ctx;
  sgr_control_t *control = departures->control;

  departures->call = NULL;
  /* A value that the client cannot decode has a version: another writer has replaced the record. */
  if (reply->outcome != SGR_STORE_OK && reply->version == 0)
    {
      retry_schedule (departures, "read", reply);
      return;
    }
  departures->version = reply->version;
  departures->stored = (sgr_departures_t){ 0 };
  if (reply->version != 0
      && sgr_departures_read (&departures->stored, reply->value, reply->length) != SGR_OK)
    sgr_log_warn ("departures-refused", "key=%s reason=\"not a list of departures\"",
                  departures->key);
  departures->retry_us = RETRY_MIN_US;
  departures->has_failed = false;
  departures->is_version_known = true;
  departures->is_known = true;
  if (sgr_announce_departures_merge (&control->announce, &departures->stored))
    sgr_control_target_changed (control);
  kept_apply (departures);
  step_run (departures);
  replies_send (departures, sgr_clock_monotonic_us ());
}

static void
on_written (void *ctx, const sgr_store_reply_t *reply)
{
  sgr_control_departures_t *departures = ctx;

  departures->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      retry_schedule (departures, "write", reply);
      return;
    }
  departures->version = reply->version;
  departures->stored = departures->written;
  sgr_log_info ("departures-stored", "count=%zu", departures->stored.count);
  departures->retry_us = RETRY_MIN_US;
  departures->has_failed = false;
  step_run (departures);
  replies_send (departures, sgr_clock_monotonic_us ());
}

/* Whether the record is to be read: an announcement waits for it, or an instance was registered
   without it. */
static bool
is_read_due (const sgr_control_departures_t *departures)
{
  return !departures->is_known
         && (departures->kept.local.service[0] != '\0'
             || departures->running.local.service[0] != '\0');
}

static void
record_write (sgr_control_departures_t *departures)
{
  char *text;

  departures->written = departures->control->announce.departures;
  text = sgr_departures_write (&departures->written);
  departures->call
      = departures->store->swap (departures->store, departures->key, departures->version, text,
                                 strlen (text), on_written, departures);
  free (text);
}

/* Starts the next call to the store if one is due: to read the record or to store departures. The
   record is written on condition that it has the version that was read, so that a late write of a
   former process does not replace it. */
static void
step_run (sgr_control_departures_t *departures)
{
  if (departures->store == NULL || departures->call != NULL || departures->retry_timer.position != 0
      || (is_stored (departures) && !is_read_due (departures)))
    return;
  if (departures->is_version_known)
    record_write (departures);
  else
    departures->call
        = departures->store->get (departures->store, departures->key, on_read, departures);
  if (departures->call == NULL)
    retry_schedule (departures, "send", NULL);
}

static void
on_retry_timer (void *ctx, uint64_t now_us)
{
  step_run (ctx);
}

sgr_control_departures_t *
sgr_control_departures_create (sgr_control_t *control, sgr_store_t *store)
{
  sgr_control_departures_t *departures = calloc (1, sizeof *departures);

  sgr_invariant (departures != NULL);
  departures->control = control;
  departures->store = store;
  departures->created_ms = sgr_clock_wall_ms ();
  departures->is_known = store == NULL;
  departures->retry_us = RETRY_MIN_US;
  departures->retry_timer = (sgr_timer_t){ .fire = on_retry_timer, .ctx = departures };
  departures->reply_timer = (sgr_timer_t){ .fire = on_reply_timer, .ctx = departures };
  snprintf (departures->key, sizeof departures->key, "departures/%s/%s",
            control->settings->deployment, control->settings->name);
  return departures;
}

/* Whether a former process of the node may have acknowledged that an instance drains or has left.
   It ended before an instance started that is younger than this process, and the record names
   instances only. */
static bool
may_have_departed (const sgr_control_departures_t *departures,
                   const sgr_announcement_t *announcement)
{
  return announcement->local.instance[0] != '\0'
         && announcement->started_ms <= departures->created_ms;
}

static bool
is_same_instance (const sgr_announcement_t *a, const sgr_announcement_t *b)
{
  return a->local.service[0] != '\0' && a->started_ms == b->started_ms
         && strcmp (a->local.instance, b->local.instance) == 0;
}

bool
sgr_control_departures_is_record_needed (const sgr_control_departures_t *departures,
                                         const sgr_announcement_t *announcement)
{
  const sgr_announce_state_t *registered = &departures->control->announce;

  if (departures->is_known || announcement->local.state == SGR_TARGET_DRAINING
      || !may_have_departed (departures, announcement))
    return false;
  /* An announcement of the registered instance, or of an older one, registers none. */
  if (registered->local.service[0] != '\0' && registered->started_ms >= announcement->started_ms)
    return false;
  return !is_same_instance (&departures->running, announcement);
}

bool
sgr_control_departures_may_register (sgr_control_departures_t *departures,
                                     const sgr_announcement_t *announcement)
{
  const sgr_announcement_t *kept = &departures->kept;

  if (!sgr_control_departures_is_record_needed (departures, announcement))
    return true;
  if (sgr_control_confirm_is_given (departures->control->confirm, announcement))
    {
      sgr_log_info ("target-confirmed", "instance=%s port=%u", announcement->local.instance,
                    announcement->arrival_port);
      departures->running = *announcement;
      departures->kept = (sgr_announcement_t){ 0 };
      return true;
    }
  if (kept->local.service[0] != '\0'
      && strcmp (kept->local.instance, announcement->local.instance) == 0
      && (announcement->started_ms < kept->started_ms
          || (announcement->started_ms == kept->started_ms && announcement->sequence != 0
              && announcement->sequence <= kept->sequence)))
    return false;
  departures->kept = *announcement;
  step_run (departures);
  return false;
}

/* Adds an answer to those that wait for the store. */
static waiting_reply_t *
waiting_add (sgr_control_departures_t *departures, h2o_req_t *req, sgr_control_reply_cb_t send,
             uint64_t delay_us)
{
  waiting_reply_t *waiting = calloc (1, sizeof *waiting);

  sgr_invariant (waiting != NULL);
  waiting->ref = h2o_mem_alloc_shared (&req->pool, sizeof *waiting->ref, on_request_disposed);
  *waiting->ref = waiting;
  waiting->req = req;
  waiting->send = send;
  waiting->due_us = sgr_clock_monotonic_us () + delay_us;
  waiting->next = departures->replies;
  departures->replies = waiting;
  if (departures->reply_timer.position == 0 || departures->reply_timer.due_us > waiting->due_us)
    sgr_timer_arm (departures->control->timers, &departures->reply_timer, waiting->due_us);
  return waiting;
}

void
sgr_control_departures_kept_reply (sgr_control_departures_t *departures,
                                   const sgr_announcement_t *announcement, h2o_req_t *req,
                                   sgr_control_reply_cb_t send)
{
  waiting_reply_t *waiting = waiting_add (departures, req, send, KEPT_DELAY_MAX_US);

  waiting->is_kept = true;
  waiting->announcement = *announcement;
  if (departures->has_failed)
    replies_send (departures, sgr_clock_monotonic_us ());
}

/* Lets a retry that is due later come soon. The store may be back, and a target does not wait as
   long as the longest delay. */
static void
retry_soon (sgr_control_departures_t *departures)
{
  uint64_t due_us = sgr_clock_monotonic_us () + RETRY_MIN_US;

  departures->retry_us = RETRY_MIN_US;
  if (departures->retry_timer.position != 0 && departures->retry_timer.due_us > due_us)
    sgr_timer_arm (departures->control->timers, &departures->retry_timer, due_us);
}

void
sgr_control_departures_reply (sgr_control_departures_t *departures, h2o_req_t *req,
                              sgr_control_reply_cb_t send)
{
  if (is_stored (departures))
    {
      sgr_control_reply_t reply = { .result = SGR_OK };

      send (departures->control, req, &reply);
      return;
    }
  waiting_add (departures, req, send, REPLY_DELAY_MAX_US);
  retry_soon (departures);
  step_run (departures);
}

void
sgr_control_departures_renew (sgr_control_departures_t *departures)
{
  departures->stored = (sgr_departures_t){ 0 };
  departures->is_version_known = false;
  step_run (departures);
}

void
sgr_control_departures_destroy (sgr_control_departures_t *departures)
{
  if (departures == NULL)
    return;
  if (departures->call != NULL)
    departures->store->cancel (departures->store, departures->call);
  sgr_timer_cancel (departures->control->timers, &departures->retry_timer);
  sgr_timer_cancel (departures->control->timers, &departures->reply_timer);
  while (departures->replies != NULL)
    {
      waiting_reply_t *waiting = departures->replies;

      departures->replies = waiting->next;
      if (waiting->req != NULL)
        *waiting->ref = NULL;
      free (waiting);
    }
  free (departures);
}
