#include "control_evacuation.h"

#include <stdlib.h>
#include <string.h>

#include "config_sync.h"
#include "log.h"
#include "rng.h"

/* Readers of a failure domain at most. Each costs the store two calls a change. */
#define READERS_MAX 3
/* A node that learns the evacuations neither from the store nor from a peer serves after this time
   nevertheless: without a store and without peers there would be no service at all. */
#define START_WAIT_US (3 * SGR_USEC_PER_SEC)
/* The second call to the store is sent 1 to 1.5 s after the start. By then the node knows the
   members, and thus whether it is a reader. */
#define SETTLE_US (1 * SGR_USEC_PER_SEC)
/* First delay before a failed call is retried; the delay doubles with each failure up to
   limits.store_retry_max_ms, and half of it is random. */
#define RETRY_MIN_US (100 * SGR_USEC_PER_MSEC)
/* Longest random delay of the first call of a node that became a reader. */
#define READER_DELAY_MAX_US (500 * SGR_USEC_PER_MSEC)
/* A watch without a change that ends sooner than its longest duration divided by this number counts
   as failed. Without this rule, a store that answers at once would be called in a tight loop. */
#define WATCH_MIN_DURATION_DIVISOR 2

/**
 * struct sgr_control_evacuation_t - the evacuated failure domains in the control task
 *
 * Times are monotonic, in microseconds. The set itself is kept by membership.
 *
 * @control: the control task
 * @store: the store, NULL for none
 * @call: the pending call, NULL for none
 * @rng: random delays
 * @is_reader: whether this node watches the store; true until other members are known
 * @is_known: the set is known from the store or a peer
 * @has_waited: START_WAIT_US has passed
 * @is_confirmed: the last watch ended without a change after its whole duration, so that the next
 *   one may be long; only its answer shows that the store has taken a watch
 * @read: the set that was read last, with the version up to which it is known not to have changed
 * @call_us: start of @call
 * @wait_ms: longest duration of @call in milliseconds
 * @settled_us: earliest time of the second call
 * @failures: failed calls in a row
 * @retry_us: delay before the next retry
 * @call_timer: fires when the next call is due
 * @start_timer: fires after START_WAIT_US
 * @in_force: the set that is in force at this node, which shows what a change has changed
 * @store_calls: calls to the store
 * @store_failures: calls that failed, or ended early without a change
 * @changes_store: changes that were read from the store
 * @changes_peer: changes that another node sent
 * @refused_keys: keys with an invalid name, or above the limit of the set
 */
struct sgr_control_evacuation_t
{
  sgr_control_t *control;
  sgr_store_t *store;
  sgr_store_call_t *call;
  sgr_rng_t rng;
  bool is_reader;
  bool is_known;
  bool has_waited;
  bool is_confirmed;
  sgr_evacuation_t read;
  uint64_t call_us;
  uint32_t wait_ms;
  uint64_t settled_us;
  uint32_t failures;
  uint64_t retry_us;
  sgr_timer_t call_timer;
  sgr_timer_t start_timer;
  sgr_evacuation_t in_force;
  uint64_t store_calls;
  uint64_t store_failures;
  uint64_t changes_store;
  uint64_t changes_peer;
  uint64_t refused_keys;
};

static void step_run (sgr_control_evacuation_t *evacuation);

static sgr_membership_t *
membership_of (const sgr_control_evacuation_t *evacuation)
{
  return sgr_membership_io_membership (evacuation->control->membership);
}

/* Publishes the state of the local target, which depends on the set, and informs the data task. */
static void
publish (sgr_control_evacuation_t *evacuation)
{
  sgr_control_self_update (evacuation->control);
  sgr_control_snapshot_now (evacuation->control);
}

static void
known_set (sgr_control_evacuation_t *evacuation, const char *source)
{
  bool could_serve = sgr_control_evacuation_may_serve (evacuation);

  if (evacuation->is_known)
    return;
  evacuation->is_known = true;
  sgr_timer_cancel (evacuation->control->timers, &evacuation->start_timer);
  sgr_log_info ("evacuations-known", "domains=%zu source=%s", evacuation->in_force.count, source);
  if (!could_serve)
    publish (evacuation);
}

/* Logs the domains of one set that another one lacks, and returns their number. */
static size_t
difference_log (const char *event, const sgr_evacuation_t *set, const sgr_evacuation_t *other,
                sgr_store_version_t version, const char *source)
{
  size_t count = 0;

  for (size_t i = 0; i < set->count; i++)
    {
      if (sgr_evacuation_has (other, set->domains[i]))
        continue;
      sgr_log_info (event, "domain=%s version=%lu.%lu source=%s", set->domains[i],
                    version.generation, version.number, source);
      count++;
    }
  return count;
}

/* Puts the set of membership in force. Returns whether other domains are evacuated than before. */
static bool
change_apply (sgr_control_evacuation_t *evacuation, const char *source)
{
  const sgr_evacuation_t *set = sgr_membership_evacuation (membership_of (evacuation));
  size_t changes
      = difference_log ("evacuation-in-force", set, &evacuation->in_force, set->version, source)
        + difference_log ("evacuation-ended", &evacuation->in_force, set, set->version, source);

  evacuation->in_force = *set;
  if (changes > 0)
    publish (evacuation);
  return changes > 0;
}

/* Applies what other nodes have told. That there is no evacuation counts only while the store does
   not answer: it is read at the start, and knows a change first. */
static void
peers_apply (sgr_control_evacuation_t *evacuation)
{
  const sgr_membership_t *membership = membership_of (evacuation);

  evacuation->changes_peer += change_apply (evacuation, "peer");
  if (sgr_evacuation_exists (&evacuation->in_force)
      || (sgr_membership_evacuation_is_denied (membership)
          && (evacuation->store == NULL || evacuation->failures > 0)))
    known_set (evacuation, "peer");
}

static void
on_received (void *ctx)
{
  peers_apply (ctx);
}

static void
on_start_timer (void *ctx, uint64_t now_us)
{
  sgr_control_evacuation_t *evacuation = ctx;

  evacuation->has_waited = true;
  sgr_log_warn ("evacuations-unknown", "waited_ms=%lu", sgr_ms_of (START_WAIT_US));
  publish (evacuation);
}

static void
call_schedule (sgr_control_evacuation_t *evacuation, uint64_t due_us)
{
  sgr_timer_arm (evacuation->control->timers, &evacuation->call_timer, due_us);
}

/* Schedules the next call after a failed one. The keys are read then: the events since the last
   watch may be lost. Only the first failure in a row is logged. */
static void
retry_schedule (sgr_control_evacuation_t *evacuation, const sgr_store_reply_t *reply)
{
  uint64_t max_us = evacuation->control->settings->store_retry_max_ms * SGR_USEC_PER_MSEC;
  uint64_t delay_us = evacuation->retry_us < max_us ? evacuation->retry_us : max_us;
  uint64_t requested_us = reply != NULL ? reply->retry_after_ms * SGR_USEC_PER_MSEC : 0;

  if (evacuation->failures++ == 0)
    sgr_log_warn ("evacuations-failed", "reason=\"%s\"",
                  reply != NULL && reply->reason != NULL ? reply->reason : "no valid reply");
  evacuation->store_failures++;
  peers_apply (evacuation);
  evacuation->read.checked = (sgr_store_version_t){ 0 };
  evacuation->is_confirmed = false;
  evacuation->retry_us = 2 * delay_us;
  delay_us = delay_us / 2 + sgr_rng_below (&evacuation->rng, delay_us / 2 + 1);
  call_schedule (evacuation,
                 sgr_clock_monotonic_us () + (delay_us > requested_us ? delay_us : requested_us));
}

/* Takes the names of the domains from the keys of a reply. */
static void
items_read (sgr_control_evacuation_t *evacuation, const sgr_store_reply_t *reply)
{
  size_t length = strlen (evacuation->control->adapter->evacuation_prefix);

  evacuation->read = (sgr_evacuation_t){ 0 };
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const char *key = reply->items[i].key;
      const char *name = strlen (key) >= length ? key + length : "";
      sgr_result_t result = sgr_evacuation_domain_add (&evacuation->read, name, strlen (name));

      if (result == SGR_OK)
        continue;
      evacuation->refused_keys++;
      sgr_log_error ("evacuation-refused", "key=%s reason=\"%s\"", key,
                     result == SGR_ERR_LIMIT ? "too many evacuations"
                                             : "expected the name of a failure domain");
    }
}

static void
on_reply (void *ctx, const sgr_store_reply_t *reply)
{
  sgr_control_evacuation_t *evacuation = ctx;
  uint64_t now_us = sgr_clock_monotonic_us ();
  uint64_t min_us = evacuation->wait_ms * SGR_USEC_PER_MSEC / WATCH_MIN_DURATION_DIVISOR;
  bool is_early = reply->items == NULL && now_us - evacuation->call_us < min_us;
  bool is_changed;

  evacuation->call = NULL;
  if (reply->outcome != SGR_STORE_OK || reply->version == 0)
    {
      retry_schedule (evacuation, reply);
      return;
    }
  if (reply->items != NULL)
    items_read (evacuation, reply);
  evacuation->read.version = evacuation->read.checked
      = (sgr_store_version_t){ reply->generation, reply->version };
  is_changed
      = sgr_membership_evacuation_read (membership_of (evacuation), now_us, &evacuation->read);
  if (is_changed)
    evacuation->changes_store += change_apply (evacuation, "store");
  known_set (evacuation, "store");
  evacuation->is_confirmed = reply->items == NULL && !is_early;
  if (is_early)
    {
      retry_schedule (evacuation, NULL);
      return;
    }
  if (evacuation->failures > 0)
    sgr_log_info ("evacuations-read", "failures=%u", evacuation->failures);
  evacuation->failures = 0;
  evacuation->retry_us = RETRY_MIN_US;
  if (now_us < evacuation->settled_us)
    call_schedule (evacuation, evacuation->settled_us);
  else if (reply->items != NULL && !is_changed)
    /* A value was replaced, or the store does not keep its events. */
    call_schedule (evacuation, now_us + RETRY_MIN_US);
  else
    step_run (evacuation);
}

/* Starts the next call if one is due: a reader always watches, and another node reads until it
   knows the set. */
static void
step_run (sgr_control_evacuation_t *evacuation)
{
  const sgr_settings_t *settings = evacuation->control->settings;

  if (evacuation->store == NULL || evacuation->call != NULL || evacuation->call_timer.position != 0
      || (evacuation->is_known && !evacuation->is_reader))
    return;
  evacuation->wait_ms = (uint32_t)settings->store_watch_ms;
  if (!evacuation->is_confirmed && evacuation->wait_ms > SGR_STORE_SHORT_WATCH_MS)
    evacuation->wait_ms
        = SGR_STORE_SHORT_WATCH_MS / 2
          + (uint32_t)sgr_rng_below (&evacuation->rng, SGR_STORE_SHORT_WATCH_MS / 2 + 1);
  evacuation->call_us = sgr_clock_monotonic_us ();
  evacuation->store_calls++;
  evacuation->call = evacuation->store->watch_prefix (
      evacuation->store, evacuation->control->adapter->evacuation_prefix, evacuation->read.checked,
      evacuation->wait_ms, on_reply, evacuation);
  if (evacuation->call == NULL)
    retry_schedule (evacuation, NULL);
}

static void
on_call_timer (void *ctx, uint64_t now_us)
{
  step_run (ctx);
}

sgr_control_evacuation_t *
sgr_control_evacuation_create (sgr_control_t *control, sgr_store_t *store)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_control_evacuation_t *evacuation;

  if (control->settings->evacuation_ms == 0)
    return NULL;
  if (control->adapter->evacuation_prefix == NULL || (store != NULL && store->watch_prefix == NULL))
    {
      sgr_log_error ("evacuations-unsupported", "reason=\"the store cannot watch a prefix\"");
      return NULL;
    }
  evacuation = calloc (1, sizeof *evacuation);
  sgr_invariant (evacuation != NULL);
  evacuation->control = control;
  evacuation->store = store;
  evacuation->is_reader = true;
  evacuation->retry_us = RETRY_MIN_US;
  sgr_rng_seed (&evacuation->rng, control->boot);
  evacuation->settled_us = now_us + SETTLE_US + sgr_rng_below (&evacuation->rng, SETTLE_US / 2);
  evacuation->call_timer = (sgr_timer_t){ .fire = on_call_timer, .ctx = evacuation };
  evacuation->start_timer = (sgr_timer_t){ .fire = on_start_timer, .ctx = evacuation };
  sgr_timer_arm (control->timers, &evacuation->start_timer, now_us + START_WAIT_US);
  sgr_membership_evacuation_follow (membership_of (evacuation), on_received, evacuation);
  step_run (evacuation);
  return evacuation;
}

void
sgr_control_evacuation_destroy (sgr_control_evacuation_t *evacuation)
{
  if (evacuation == NULL)
    return;
  if (evacuation->call != NULL)
    evacuation->store->cancel (evacuation->store, evacuation->call);
  sgr_timer_cancel (evacuation->control->timers, &evacuation->call_timer);
  sgr_timer_cancel (evacuation->control->timers, &evacuation->start_timer);
  free (evacuation);
}

bool
sgr_control_evacuation_may_serve (const sgr_control_evacuation_t *evacuation)
{
  return evacuation == NULL || evacuation->is_known || evacuation->has_waited;
}

bool
sgr_control_evacuation_is_own (const sgr_control_evacuation_t *evacuation)
{
  return evacuation != NULL
         && sgr_evacuation_has (&evacuation->in_force,
                                evacuation->control->settings->failure_domain);
}

const sgr_evacuation_t *
sgr_control_evacuation_set (const sgr_control_evacuation_t *evacuation)
{
  return evacuation != NULL ? &evacuation->in_force : NULL;
}

void
sgr_control_evacuation_members_update (sgr_control_evacuation_t *evacuation,
                                       const sgr_member_t *members, size_t count)
{
  const sgr_settings_t *settings;
  uint32_t readers;
  bool was_reader;

  if (evacuation == NULL)
    return;
  settings = evacuation->control->settings;
  readers = settings->store_readers < READERS_MAX ? (uint32_t)settings->store_readers : READERS_MAX;
  was_reader = evacuation->is_reader;
  evacuation->is_reader = sgr_config_sync_is_elected_reader (
      sgr_node_id_of (settings->name), settings->failure_domain, readers, members, count);
  if (evacuation->is_reader && !was_reader && evacuation->call == NULL
      && evacuation->call_timer.position == 0)
    {
      /* The keys may have changed while this node did not watch them. */
      evacuation->read.checked = (sgr_store_version_t){ 0 };
      evacuation->is_confirmed = false;
      call_schedule (evacuation, sgr_clock_monotonic_us ()
                                     + sgr_rng_below (&evacuation->rng, READER_DELAY_MAX_US));
    }
  if (!evacuation->is_reader && evacuation->is_known && evacuation->call != NULL)
    {
      evacuation->store->cancel (evacuation->store, evacuation->call);
      evacuation->call = NULL;
    }
}

void
sgr_control_evacuation_metrics_print (const sgr_control_evacuation_t *evacuation,
                                      sgr_buffer_t *text)
{
  const sgr_evacuation_t *set;

  if (evacuation == NULL)
    return;
  set = sgr_membership_evacuation (membership_of (evacuation));
  const struct
  {
    const char *name;
    const char *type;
    uint64_t value;
  } rows[] = {
    { "domains", "gauge", evacuation->in_force.count },
    { "known", "gauge", evacuation->is_known },
    { "own", "gauge", sgr_control_evacuation_is_own (evacuation) },
    { "reader", "gauge", evacuation->is_reader },
    { "generation", "gauge", set->version.generation },
    { "version", "gauge", set->version.number },
    { "store_calls_total", "counter", evacuation->store_calls },
    { "store_failures_total", "counter", evacuation->store_failures },
    { "keys_refused_total", "counter", evacuation->refused_keys },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    sgr_buffer_printf (text, "# TYPE siskingrade_evacuation_%s %s\nsiskingrade_evacuation_%s %lu\n",
                       rows[i].name, rows[i].type, rows[i].name, rows[i].value);
  sgr_buffer_printf (text,
                     "# TYPE siskingrade_evacuation_changes_total counter\n"
                     "siskingrade_evacuation_changes_total{source=\"store\"} %lu\n"
                     "siskingrade_evacuation_changes_total{source=\"peer\"} %lu\n",
                     evacuation->changes_store, evacuation->changes_peer);
}
