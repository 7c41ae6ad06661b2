#include "store_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

store_key_t *
store_key_find (store_state_t *state, const char *name, bool create)
{
  for (size_t i = 0; i < state->key_count; i++)
    if (strcmp (state->keys[i].name, name) == 0)
      return &state->keys[i];
  if (!create || state->key_count == STORE_KEYS_MAX)
    return NULL;
  state->keys[state->key_count].name = strdup (name);
  return &state->keys[state->key_count++];
}

uint64_t
store_key_version (const store_key_t *key)
{
  return key != NULL && key->exists ? key->version : 0;
}

bool
store_key_write (store_state_t *state, store_key_t *key, uint64_t expected_version,
                 const void *value, size_t length)
{
  if (store_key_version (key) != expected_version)
    return false;
  sgr_buffer_release (&key->previous_value);
  key->previous_value = key->value;
  key->previous_version = key->version;
  key->has_previous = key->exists;
  key->value = (sgr_buffer_t){ 0 };
  key->version = ++state->last_version;
  key->exists = value != NULL;
  if (value != NULL)
    sgr_buffer_append (&key->value, value, length);
  return true;
}

store_lease_t *
store_lease_acquire (store_state_t *state, const char *name, const char *holder, uint64_t ttl_us,
                     uint64_t now_us)
{
  store_lease_t *lease = NULL;

  for (size_t i = 0; i < state->lease_count; i++)
    if (strcmp (state->leases[i].name, name) == 0)
      lease = &state->leases[i];
  if (lease == NULL)
    {
      if (state->lease_count == STORE_LEASES_MAX)
        return NULL;
      lease = &state->leases[state->lease_count++];
      snprintf (lease->name, sizeof lease->name, "%s", name);
    }
  if (lease->expires_us > now_us && strcmp (lease->holder, holder) != 0)
    return NULL;
  /* A lease that was free or has expired gets a new fencing token, also for its previous holder. */
  if (lease->expires_us <= now_us)
    lease->fencing_token = ++state->last_version;
  snprintf (lease->holder, sizeof lease->holder, "%s", holder);
  lease->expires_us = now_us + ttl_us;
  return lease;
}

static void
key_copy (store_key_t *to, const store_key_t *from)
{
  *to = *from;
  to->name = strdup (from->name);
  to->value = to->previous_value = (sgr_buffer_t){ 0 };
  sgr_buffer_append (&to->value, from->value.bytes, from->value.length);
  sgr_buffer_append (&to->previous_value, from->previous_value.bytes, from->previous_value.length);
}

void
store_state_copy (store_state_t *to, const store_state_t *from)
{
  for (size_t i = 0; i < to->key_count; i++)
    {
      free (to->keys[i].name);
      sgr_buffer_release (&to->keys[i].value);
      sgr_buffer_release (&to->keys[i].previous_value);
    }
  memset (to, 0, sizeof *to);
  for (size_t i = 0; i < from->key_count; i++)
    key_copy (&to->keys[i], &from->keys[i]);
  to->key_count = from->key_count;
  to->last_version = from->last_version;
  memcpy (to->leases, from->leases, sizeof to->leases);
  to->lease_count = from->lease_count;
}

bool
store_bucket_consume (store_bucket_t *bucket, uint64_t now_us)
{
  if (bucket->rate == 0)
    return true;
  bucket->tokens
      += (double)(now_us - bucket->refilled_us) * bucket->rate / (double)SGR_USEC_PER_SEC;
  if (bucket->tokens > bucket->rate)
    bucket->tokens = bucket->rate;
  bucket->refilled_us = now_us;
  if (bucket->tokens < 1.0)
    return false;
  bucket->tokens -= 1.0;
  return true;
}
