#include "fake_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_MAX 512
/* Longest delay until a late write takes effect. */
#define LATE_WRITE_DELAY_MAX_US 2000000
/* Longest delay of a call unless a test sets another one. */
#define DEFAULT_DELAY_MAX_US 1000

/**
 * struct fake_key_t - a key and its last two values
 * @name: the key
 * @value: its value, NULL while it does not exist
 * @previous_value: value before the last write, returned by stale reads
 * @version: version of @value, 0 while the key does not exist
 * @previous_version: version of @previous_value
 */
typedef struct
{
  char *name;
  char *value;
  char *previous_value;
  uint64_t version;
  uint64_t previous_version;
} fake_key_t;

/**
 * enum event_kind_t - what an event does
 * @EVENT_CALL: end a call: apply its effect and run its callback
 * @EVENT_WRITE: apply a late write, whose call has ended already
 * @EVENT_DELAY: run a function of fake_store_delay()
 */
typedef enum
{
  EVENT_CALL,
  EVENT_WRITE,
  EVENT_DELAY,
} event_kind_t;

/**
 * struct sgr_store_call_t - a pending event
 * @next: next entry of the list
 * @kind: what the event does
 * @due_us: virtual time at which the event runs
 * @key: key of a call or late write
 * @is_write: whether the call is a write
 * @has_value: whether a write sets a value; otherwise it removes the key
 * @value: value of a write
 * @expected: version that the key must have for a write
 * @outcome: outcome that the callback gets, except for a conflict
 * @takes_effect: whether a write changes the key
 * @cb: callback of a call; NULL for a cancelled call and a late write
 * @fire: function of a delay
 * @ctx: passed to @cb or @fire
 */
struct sgr_store_call_t
{
  sgr_store_call_t *next;
  event_kind_t kind;
  uint64_t due_us;
  char *key;
  bool is_write;
  bool has_value;
  char *value;
  uint64_t expected;
  sgr_store_outcome_t outcome;
  bool takes_effect;
  sgr_store_cb_t cb;
  void (*fire) (void *);
  void *ctx;
};

/**
 * struct fake_store_t - the key-value service
 * @store: interface of the service; the first member, so that its address is that of the service
 * @rng: draws faults and delays
 * @faults: faults of all calls
 * @next_write_key_part: the next write to a key that contains this text has @next_write_faults in
 *                       place of @faults; empty for none
 * @next_write_faults: faults of that write
 * @keys: all keys that were ever used
 * @key_count: used entries of @keys
 * @version: version that was assigned last
 * @now_us: virtual time
 * @events: pending events, newest first
 */
struct fake_store_t
{
  sgr_store_t store;
  sgr_rng_t *rng;
  fake_faults_t faults;
  char next_write_key_part[64];
  fake_faults_t next_write_faults;
  fake_key_t keys[KEYS_MAX];
  size_t key_count;
  uint64_t version;
  uint64_t now_us;
  sgr_store_call_t *events;
};

/* Returns a key; a key without a value is added if it is not in the table. */
static fake_key_t *
key_find_or_add (fake_store_t *fake, const char *name)
{
  for (size_t i = 0; i < fake->key_count; i++)
    if (strcmp (fake->keys[i].name, name) == 0)
      return &fake->keys[i];
  sgr_invariant (fake->key_count < KEYS_MAX);
  fake->keys[fake->key_count].name = strdup (name);
  return &fake->keys[fake->key_count++];
}

/* Whether a fault with this probability occurs. */
static bool
fault_occurs (fake_store_t *fake, uint32_t percent)
{
  return percent > 0 && sgr_rng_below (fake->rng, 100) < percent;
}

static sgr_store_call_t *
event_add (fake_store_t *fake, event_kind_t kind, uint64_t delay_us, const char *key)
{
  sgr_store_call_t *event = calloc (1, sizeof *event);

  event->kind = kind;
  event->due_us = fake->now_us + delay_us;
  event->key = key != NULL ? strdup (key) : NULL;
  event->next = fake->events;
  fake->events = event;
  return event;
}

static void
event_free (sgr_store_call_t *event)
{
  free (event->key);
  free (event->value);
  free (event);
}

static uint64_t
random_delay_us (fake_store_t *fake)
{
  return 1 + sgr_rng_below (fake->rng, fake->faults.delay_max_us + 1);
}

static sgr_store_call_t *
fake_get (sgr_store_t *store, const char *key, sgr_store_cb_t cb, void *ctx)
{
  fake_store_t *fake = (fake_store_t *)store;
  sgr_store_call_t *event = event_add (fake, EVENT_CALL, random_delay_us (fake), key);

  event->cb = cb;
  event->ctx = ctx;
  if (fault_occurs (fake, fake->faults.unavailable))
    event->outcome = SGR_STORE_UNAVAILABLE;
  return event;
}

static sgr_store_call_t *
fake_swap (sgr_store_t *store, const char *key, uint64_t expected, const void *value, size_t length,
           sgr_store_cb_t cb, void *ctx)
{
  fake_store_t *fake = (fake_store_t *)store;
  bool has_own_faults
      = fake->next_write_key_part[0] != '\0' && strstr (key, fake->next_write_key_part) != NULL;
  fake_faults_t faults = has_own_faults ? fake->next_write_faults : fake->faults;
  sgr_store_call_t *event;

  if (length > SGR_STORE_VALUE_MAX)
    return NULL;
  if (has_own_faults)
    fake->next_write_key_part[0] = '\0';
  event = event_add (fake, EVENT_CALL, random_delay_us (fake), key);
  event->is_write = event->takes_effect = true;
  event->has_value = value != NULL;
  event->value = value != NULL ? strndup (value, length) : NULL;
  event->expected = expected;
  event->cb = cb;
  event->ctx = ctx;
  if (fault_occurs (fake, faults.unavailable))
    {
      event->outcome = SGR_STORE_UNAVAILABLE;
      event->takes_effect = false;
    }
  else if (fault_occurs (fake, faults.lose_reply))
    event->outcome = SGR_STORE_UNKNOWN;
  else if (fault_occurs (fake, faults.drop_write) || fault_occurs (fake, faults.late_write))
    {
      bool is_late = faults.late_write > 0;

      event->outcome = SGR_STORE_UNKNOWN;
      event->takes_effect = false;
      if (is_late)
        {
          sgr_store_call_t *late_event = event_add (
              fake, EVENT_WRITE, 1 + sgr_rng_below (fake->rng, LATE_WRITE_DELAY_MAX_US), key);

          late_event->is_write = late_event->takes_effect = true;
          late_event->has_value = event->has_value;
          late_event->value = value != NULL ? strndup (value, length) : NULL;
          late_event->expected = expected;
        }
    }
  return event;
}

static void
fake_cancel (sgr_store_t *store, sgr_store_call_t *call)
{
  call->cb = NULL;
}

fake_store_t *
fake_store_create (sgr_rng_t *rng)
{
  fake_store_t *fake = calloc (1, sizeof *fake);

  fake->store = (sgr_store_t){ .get = fake_get, .swap = fake_swap, .cancel = fake_cancel };
  fake->rng = rng;
  fake->faults.delay_max_us = DEFAULT_DELAY_MAX_US;
  return fake;
}

void
fake_store_destroy (fake_store_t *fake)
{
  while (fake->events != NULL)
    {
      sgr_store_call_t *event = fake->events;

      fake->events = event->next;
      event_free (event);
    }
  for (size_t i = 0; i < fake->key_count; i++)
    {
      free (fake->keys[i].name);
      free (fake->keys[i].value);
      free (fake->keys[i].previous_value);
    }
  free (fake);
}

sgr_store_t *
fake_store_interface (fake_store_t *fake)
{
  return &fake->store;
}

fake_faults_t *
fake_store_faults (fake_store_t *fake)
{
  return &fake->faults;
}

void
fake_store_fault_next_write (fake_store_t *fake, const char *key_part, const fake_faults_t *faults)
{
  snprintf (fake->next_write_key_part, sizeof fake->next_write_key_part, "%s", key_part);
  fake->next_write_faults = *faults;
}

void
fake_store_delay (fake_store_t *fake, uint64_t delay_us, void (*fire) (void *), void *ctx)
{
  sgr_store_call_t *event = event_add (fake, EVENT_DELAY, delay_us, NULL);

  event->fire = fire;
  event->ctx = ctx;
}

/* Applies the effect of a call or late write and runs the callback. */
static void
store_call_finish (fake_store_t *fake, const sgr_store_call_t *event)
{
  sgr_store_reply_t reply = { .outcome = event->outcome, .reason = "fake fault" };
  fake_key_t *key = key_find_or_add (fake, event->key);
  bool conflict = event->is_write && event->takes_effect && key->version != event->expected;

  if (event->is_write && event->takes_effect && !conflict)
    {
      free (key->previous_value);
      key->previous_value = key->value;
      key->previous_version = key->version;
      key->value = event->has_value ? strdup (event->value) : NULL;
      key->version = event->has_value ? ++fake->version : 0;
    }
  if (event->cb == NULL)
    return;
  if (conflict && reply.outcome == SGR_STORE_OK)
    reply.outcome = SGR_STORE_CONFLICT;
  reply.version = key->version;
  if (!event->is_write && reply.outcome == SGR_STORE_OK)
    {
      bool stale = key->previous_value != NULL && fault_occurs (fake, fake->faults.stale_read);

      reply.value = (const uint8_t *)(stale ? key->previous_value : key->value);
      reply.version = stale ? key->previous_version : key->version;
      reply.length = reply.value != NULL ? strlen ((const char *)reply.value) : 0;
    }
  event->cb (event->ctx, &reply);
}

/* New events are added at the head of the list. If several events are due at the same time, the
   last of them in the list is the oldest one and runs first. */
bool
fake_store_step (fake_store_t *fake)
{
  sgr_store_call_t **earliest = NULL, *event;

  for (sgr_store_call_t **link = &fake->events; *link != NULL; link = &(*link)->next)
    if (earliest == NULL || (*link)->due_us <= (*earliest)->due_us)
      earliest = link;
  if (earliest == NULL)
    return false;
  event = *earliest;
  *earliest = event->next;
  fake->now_us = event->due_us;
  if (event->kind == EVENT_DELAY)
    event->fire (event->ctx);
  else
    store_call_finish (fake, event);
  event_free (event);
  return true;
}

uint64_t
fake_store_now (const fake_store_t *fake)
{
  return fake->now_us;
}

const char *
fake_store_read (fake_store_t *fake, const char *key, uint64_t *version)
{
  const fake_key_t *found = key_find_or_add (fake, key);

  *version = found->version;
  return found->value;
}
