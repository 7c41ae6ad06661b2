#include "fake_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_MAX 512

typedef struct
{
  char *name;
  char *value;
  char *previous;
  uint64_t version;
  uint64_t previous_version;
} key_t_;

typedef enum
{
  EVENT_CALL,
  EVENT_WRITE,
  EVENT_DELAY,
} event_kind_t;

/** struct sgr_store_call_t - a pending event; a call without a callback only takes effect */
struct sgr_store_call_t
{
  sgr_store_call_t *next;
  event_kind_t kind;
  uint64_t due_us;
  char *key;
  bool write;
  bool has_value;
  char *value;
  uint64_t expected;
  sgr_store_outcome_t outcome;
  bool effect;
  sgr_store_cb_t cb;
  void (*fire) (void *);
  void *ctx;
};

struct fake_store_t
{
  sgr_store_t store;
  sgr_rng_t *rng;
  fake_faults_t faults;
  char once_part[64];
  fake_faults_t once;
  key_t_ keys[KEYS_MAX];
  size_t key_count;
  uint64_t version;
  uint64_t now_us;
  sgr_store_call_t *events;
};

static key_t_ *
find (fake_store_t *fake, const char *name)
{
  for (size_t i = 0; i < fake->key_count; i++)
    if (strcmp (fake->keys[i].name, name) == 0)
      return &fake->keys[i];
  sgr_invariant (fake->key_count < KEYS_MAX);
  fake->keys[fake->key_count].name = strdup (name);
  return &fake->keys[fake->key_count++];
}

static bool
chance (fake_store_t *fake, uint32_t percent)
{
  return percent > 0 && sgr_rng_below (fake->rng, 100) < percent;
}

static sgr_store_call_t *
add (fake_store_t *fake, event_kind_t kind, uint64_t delay_us, const char *key)
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
release (sgr_store_call_t *event)
{
  free (event->key);
  free (event->value);
  free (event);
}

static uint64_t
random_delay (fake_store_t *fake)
{
  return 1 + sgr_rng_below (fake->rng, fake->faults.delay_max_us + 1);
}

static sgr_store_call_t *
fake_get (sgr_store_t *store, const char *key, sgr_store_cb_t cb, void *ctx)
{
  fake_store_t *fake = (fake_store_t *)store;
  sgr_store_call_t *event = add (fake, EVENT_CALL, random_delay (fake), key);

  event->cb = cb;
  event->ctx = ctx;
  if (chance (fake, fake->faults.unavailable))
    event->outcome = SGR_STORE_UNAVAILABLE;
  return event;
}

static sgr_store_call_t *
fake_swap (sgr_store_t *store, const char *key, uint64_t expected, const void *value, size_t length,
           sgr_store_cb_t cb, void *ctx)
{
  fake_store_t *fake = (fake_store_t *)store;
  bool once = fake->once_part[0] != '\0' && strstr (key, fake->once_part) != NULL;
  fake_faults_t faults = once ? fake->once : fake->faults;
  sgr_store_call_t *event;

  if (length > SGR_STORE_VALUE_MAX)
    return NULL;
  if (once)
    fake->once_part[0] = '\0';
  event = add (fake, EVENT_CALL, random_delay (fake), key);
  event->write = event->effect = true;
  event->has_value = value != NULL;
  event->value = value != NULL ? strndup (value, length) : NULL;
  event->expected = expected;
  event->cb = cb;
  event->ctx = ctx;
  if (chance (fake, faults.unavailable))
    {
      event->outcome = SGR_STORE_UNAVAILABLE;
      event->effect = false;
    }
  else if (chance (fake, faults.lose_reply))
    event->outcome = SGR_STORE_UNKNOWN;
  else if (chance (fake, faults.drop_write) || chance (fake, faults.late_write))
    {
      bool late = faults.late_write > 0;

      event->outcome = SGR_STORE_UNKNOWN;
      event->effect = false;
      if (late)
        {
          sgr_store_call_t *write
              = add (fake, EVENT_WRITE, 1 + sgr_rng_below (fake->rng, 2000000), key);

          write->write = write->effect = true;
          write->has_value = event->has_value;
          write->value = value != NULL ? strndup (value, length) : NULL;
          write->expected = expected;
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
  fake->faults.delay_max_us = 1000;
  return fake;
}

void
fake_store_destroy (fake_store_t *fake)
{
  while (fake->events != NULL)
    {
      sgr_store_call_t *event = fake->events;

      fake->events = event->next;
      release (event);
    }
  for (size_t i = 0; i < fake->key_count; i++)
    {
      free (fake->keys[i].name);
      free (fake->keys[i].value);
      free (fake->keys[i].previous);
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
fake_store_once (fake_store_t *fake, const char *part, const fake_faults_t *faults)
{
  snprintf (fake->once_part, sizeof fake->once_part, "%s", part);
  fake->once = *faults;
}

void
fake_store_delay (fake_store_t *fake, uint64_t delay_us, void (*fire) (void *), void *ctx)
{
  sgr_store_call_t *event = add (fake, EVENT_DELAY, delay_us, NULL);

  event->fire = fire;
  event->ctx = ctx;
}

static void
finish (fake_store_t *fake, const sgr_store_call_t *event)
{
  sgr_store_reply_t reply = { .outcome = event->outcome, .reason = "fake fault" };
  key_t_ *key = find (fake, event->key);
  bool conflict = event->write && event->effect && key->version != event->expected;

  if (event->write && event->effect && !conflict)
    {
      free (key->previous);
      key->previous = key->value;
      key->previous_version = key->version;
      key->value = event->has_value ? strdup (event->value) : NULL;
      key->version = event->has_value ? ++fake->version : 0;
    }
  if (event->cb == NULL)
    return;
  if (conflict && reply.outcome == SGR_STORE_OK)
    reply.outcome = SGR_STORE_CONFLICT;
  reply.version = key->version;
  if (!event->write && reply.outcome == SGR_STORE_OK)
    {
      bool stale = key->previous != NULL && chance (fake, fake->faults.stale_read);

      reply.value = (const uint8_t *)(stale ? key->previous : key->value);
      reply.version = stale ? key->previous_version : key->version;
      reply.length = reply.value != NULL ? strlen ((const char *)reply.value) : 0;
    }
  event->cb (event->ctx, &reply);
}

bool
fake_store_step (fake_store_t *fake)
{
  sgr_store_call_t **best = NULL, *event;

  for (sgr_store_call_t **link = &fake->events; *link != NULL; link = &(*link)->next)
    if (best == NULL || (*link)->due_us <= (*best)->due_us)
      best = link;
  if (best == NULL)
    return false;
  event = *best;
  *best = event->next;
  fake->now_us = event->due_us;
  if (event->kind == EVENT_DELAY)
    event->fire (event->ctx);
  else
    finish (fake, event);
  release (event);
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
  const key_t_ *found = find (fake, key);

  *version = found->version;
  return found->value;
}
