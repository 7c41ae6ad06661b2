#include "announce.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "http_fields.h"

#define SLOTS_MAX 4096
#define CONNECTIONS_MAX 65535
/* Maximum number of connections to a target whose announcement does not give one. */
#define CONNECTIONS_DEFAULT 240
/* Largest cold time of an announcement. */
#define COLD_MAX_MS 3600000
/* The announced end of a cold time varies with the time that announcements take to arrive. Smaller
   differences are no change, so that not every announcement needs a new snapshot. */
#define COLD_END_TOLERANCE_US (100 * SGR_USEC_PER_MSEC)

static bool
read_service (json_t *object, sgr_local_target_t *local, sgr_buffer_t *error)
{
  const char *text = json_string_value (json_object_get (object, "service"));
  size_t length = text != NULL ? strlen (text) : 0;

  if (length == 0 || length > SGR_NAME_MAX || !sgr_http_is_token (text, length))
    {
      sgr_buffer_printf (error, "service: expected a name of 1 to %d bytes", SGR_NAME_MAX);
      return false;
    }
  memcpy (local->service, text, length + 1);
  return true;
}

static bool
read_number (json_t *object, const char *key, json_int_t max, bool required, uint32_t *number,
             sgr_buffer_t *error)
{
  json_t *value = json_object_get (object, key);

  if (value == NULL && !required)
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > max)
    {
      sgr_buffer_printf (error, "%s: expected a whole number from 1 to %lld", key, (long long)max);
      return false;
    }
  *number = (uint32_t)json_integer_value (value);
  return true;
}

static bool
read_state (json_t *object, sgr_local_target_t *local, sgr_buffer_t *error)
{
  json_t *value = json_object_get (object, "state");
  const char *text = json_string_value (value);

  local->state = SGR_TARGET_SERVING;
  if (value == NULL)
    return true;
  if (text != NULL)
    {
      for (int state = SGR_TARGET_WARMING; state <= SGR_TARGET_DRAINING; state++)
        {
          if (strcmp (text, sgr_target_state_name ((sgr_target_state_t)state)) == 0)
            {
              local->state = (sgr_target_state_t)state;
              return true;
            }
        }
    }
  sgr_buffer_printf (error, "state: expected warming, serving or draining");
  return false;
}

static bool
read_probe_path (json_t *object, sgr_local_target_t *local, sgr_buffer_t *error)
{
  json_t *value = json_object_get (object, "probe_path");
  const char *text = json_string_value (value);

  if (value == NULL)
    return true;
  if (text == NULL || strlen (text) > SGR_NAME_MAX || !sgr_http_is_path (text, strlen (text)))
    {
      sgr_buffer_printf (error, "probe_path: expected a path of 1 to %d bytes", SGR_NAME_MAX);
      return false;
    }
  memcpy (local->probe_path, text, strlen (text) + 1);
  return true;
}

static bool
check_keys (json_t *object, sgr_buffer_t *error)
{
  static const char *const known[]
      = { "service",    "address",  "slots",      "connections", "state",
          "probe_path", "instance", "started_ms", "sequence",    "cold_ms" };
  const char *key;
  json_t *value;

  json_object_foreach (object, key, value)
  {
    bool is_known = false;

    for (size_t i = 0; i < sizeof known / sizeof known[0]; i++)
      is_known = is_known || strcmp (known[i], key) == 0;
    if (!is_known)
      {
        sgr_buffer_printf (error, "%s: unknown key", key);
        return false;
      }
  }
  return true;
}

static bool
read_target (json_t *object, sgr_local_target_t *local, sgr_buffer_t *error)
{
  const char *address = json_string_value (json_object_get (object, "address"));

  local->connections = CONNECTIONS_DEFAULT;
  if (!check_keys (object, error) || !read_service (object, local, error)
      || !read_state (object, local, error) || !read_probe_path (object, local, error))
    return false;
  if (address == NULL || !sgr_address_parse (address, &local->address))
    {
      sgr_buffer_printf (error, "address: expected \"IP:PORT\"");
      return false;
    }
  return read_number (object, "slots", SLOTS_MAX, true, &local->slots, error)
         && read_number (object, "connections", CONNECTIONS_MAX, false, &local->connections, error);
}

/* Reads instance, started_ms and sequence, which show whether an announcement is newer than the
   last one that was applied. */
static bool
read_ordering_fields (json_t *object, sgr_announcement_t *announcement, sgr_buffer_t *error)
{
  static const char *const keys[] = { "started_ms", "sequence" };
  uint64_t *const values[] = { &announcement->started_ms, &announcement->sequence };
  json_t *instance = json_object_get (object, "instance");
  const char *text = json_string_value (instance);

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      json_t *value = json_object_get (object, keys[i]);

      if (value != NULL && (!json_is_integer (value) || json_integer_value (value) < 0))
        {
          sgr_buffer_printf (error, "%s: expected a whole number", keys[i]);
          return false;
        }
      *values[i] = (uint64_t)json_integer_value (value);
    }
  if (instance == NULL)
    return true;
  if (text == NULL || strlen (text) > SGR_NAME_MAX || !sgr_http_is_token (text, strlen (text)))
    {
      sgr_buffer_printf (error, "instance: expected a name of 1 to %d bytes", SGR_NAME_MAX);
      return false;
    }
  memcpy (announcement->local.instance, text, strlen (text) + 1);
  return true;
}

static bool
read_cold (json_t *object, sgr_announcement_t *announcement, sgr_buffer_t *error)
{
  json_t *value = json_object_get (object, "cold_ms");

  if (value == NULL)
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || json_integer_value (value) > COLD_MAX_MS)
    {
      sgr_buffer_printf (error, "cold_ms: expected a whole number from 0 to %d", COLD_MAX_MS);
      return false;
    }
  announcement->has_cold = true;
  announcement->cold_ms = (uint32_t)json_integer_value (value);
  return true;
}

static bool
has_same_fields (const sgr_local_target_t *a, const sgr_local_target_t *b)
{
  return strcmp (a->service, b->service) == 0 && a->address.ip == b->address.ip
         && a->address.port == b->address.port && a->state == b->state && a->slots == b->slots
         && a->connections == b->connections && strcmp (a->instance, b->instance) == 0
         && strcmp (a->probe_path, b->probe_path) == 0;
}

/* Whether an announcement comes from an instance that started after the registered one. */
static bool
is_newer_instance (const sgr_announce_state_t *announce, const sgr_announcement_t *announcement)
{
  return announcement->started_ms != 0 && announcement->started_ms > announce->started_ms;
}

static bool
is_outdated (const sgr_announce_state_t *announce, const sgr_announcement_t *announcement)
{
  const sgr_departure_t *departure = sgr_departures_find (
      &announce->departures, announcement->local.instance, announcement->started_ms);

  if (departure != NULL && departure->has_left)
    return true;
  if (announcement->started_ms == 0)
    return false;
  if (announcement->started_ms != announce->started_ms)
    return announcement->started_ms < announce->started_ms;
  return announcement->sequence <= announce->sequence && announcement->sequence != 0;
}

/* Whether both describe the same instance of a target; state, limits and probe path may differ. */
static bool
is_same_target (const sgr_local_target_t *a, const sgr_local_target_t *b)
{
  return strcmp (a->service, b->service) == 0 && a->address.ip == b->address.ip
         && a->address.port == b->address.port && strcmp (a->instance, b->instance) == 0;
}

/* Whether an instance has announced before that it drains, which is final. One without a start is
   known to drain only as long as it is registered. */
static bool
is_draining (const sgr_announce_state_t *announce, const sgr_announcement_t *announcement)
{
  const sgr_local_target_t *local = &announcement->local;

  if (sgr_departures_find (&announce->departures, local->instance, announcement->started_ms)
      != NULL)
    return true;
  return announce->local.service[0] != '\0' && announce->local.state == SGR_TARGET_DRAINING
         && is_same_target (&announce->local, local) && local->instance[0] != '\0'
         && !is_newer_instance (announce, announcement);
}

static void
departure_add (sgr_announce_state_t *announce, const char *instance, uint64_t started_ms,
               bool has_left)
{
  sgr_departure_t departure = { .started_ms = started_ms, .has_left = has_left };

  snprintf (departure.instance, sizeof departure.instance, "%s", instance);
  sgr_departures_add (&announce->departures, &departure);
}

/* Takes over the registration time and the cold state of the registered instance, and the statement
   of the announcement. Returns whether what is known of the cold state changed. */
static bool
cold_state_update (const sgr_announce_state_t *announce, uint64_t now_us,
                   const sgr_announcement_t *announcement, sgr_local_target_t *local)
{
  const sgr_local_target_t *known = &announce->local;
  uint64_t until_us = now_us + announcement->cold_ms * SGR_USEC_PER_MSEC;
  bool is_new = known->service[0] == '\0' || !is_same_target (known, local)
                || is_newer_instance (announce, announcement);

  local->registered_us = is_new ? now_us : known->registered_us;
  local->cold_stated_us = is_new ? 0 : known->cold_stated_us;
  local->cold_until_us = is_new ? 0 : known->cold_until_us;
  if (!announcement->has_cold)
    return is_new;
  if (!is_new && known->cold_stated_us != 0
      && (announcement->cold_ms == 0 || until_us <= known->cold_until_us + COLD_END_TOLERANCE_US))
    return false;
  local->cold_stated_us = now_us;
  local->cold_until_us = until_us;
  return true;
}

sgr_result_t
sgr_announce_apply (sgr_announce_state_t *announce, uint64_t now_us, uint64_t ttl_us,
                    const sgr_announcement_t *announcement, bool *is_changed)
{
  sgr_local_target_t local = announcement->local;
  bool is_registered = announce->local.service[0] != '\0';

  *is_changed = false;
  if (is_outdated (announce, announcement))
    return SGR_OK;
  if (is_registered && !is_same_target (&announce->local, &local)
      && !is_newer_instance (announce, announcement))
    return SGR_ERR_CONFLICT;
  if (is_draining (announce, announcement))
    local.state = SGR_TARGET_DRAINING;
  /* Without a start, a later instance of the name could not be told from the one that drains. */
  if (local.state == SGR_TARGET_DRAINING && announcement->started_ms != 0)
    departure_add (announce, local.instance, announcement->started_ms, false);
  *is_changed = cold_state_update (announce, now_us, announcement, &local);
  *is_changed = !has_same_fields (&announce->local, &local) || *is_changed;
  announce->local = local;
  announce->started_ms = announcement->started_ms;
  announce->sequence = announcement->sequence;
  announce->expires_us = now_us + ttl_us;
  return SGR_OK;
}

sgr_result_t
sgr_announcement_read (sgr_announcement_t *announcement, const char *body, size_t length,
                       sgr_buffer_t *error)
{
  json_error_t problem;
  json_t *object = json_loadb (body != NULL ? body : "", length, JSON_REJECT_DUPLICATES, &problem);
  sgr_result_t result = SGR_ERR_INVALID;

  *announcement = (sgr_announcement_t){ 0 };
  if (!json_is_object (object))
    sgr_buffer_printf (error, "body: expected a JSON object");
  else if (read_target (object, &announcement->local, error)
           && read_ordering_fields (object, announcement, error)
           && read_cold (object, announcement, error))
    result = SGR_OK;
  json_decref (object);
  return result;
}

bool
sgr_announce_departures_merge (sgr_announce_state_t *announce, const sgr_departures_t *departures)
{
  sgr_local_target_t *local = &announce->local;

  sgr_departures_merge (&announce->departures, departures);
  if (local->service[0] == '\0' || local->state == SGR_TARGET_DRAINING
      || sgr_departures_find (&announce->departures, local->instance, announce->started_ms) == NULL)
    return false;
  local->state = SGR_TARGET_DRAINING;
  return true;
}

bool
sgr_announce_drop (sgr_announce_state_t *announce)
{
  bool was_registered = announce->local.service[0] != '\0';

  announce->local = (sgr_local_target_t){ 0 };
  announce->has_left = announce->has_left || was_registered;
  return was_registered;
}

bool
sgr_announce_leave (sgr_announce_state_t *announce)
{
  departure_add (announce, announce->local.instance, announce->started_ms, true);
  return sgr_announce_drop (announce);
}

bool
sgr_announce_instance_leave (sgr_announce_state_t *announce, const char *instance,
                             uint64_t started_ms, uint64_t now_ms)
{
  bool is_registered
      = announce->local.service[0] != '\0' && strcmp (announce->local.instance, instance) == 0;

  if (is_registered && (started_ms == 0 || started_ms >= announce->started_ms))
    {
      departure_add (announce, instance, started_ms != 0 ? started_ms : announce->started_ms, true);
      return sgr_announce_drop (announce);
    }
  departure_add (announce, instance, started_ms != 0 ? started_ms : now_ms, true);
  return false;
}

bool
sgr_announce_expire (sgr_announce_state_t *announce, uint64_t now_us)
{
  if (announce->local.service[0] == '\0' || now_us < announce->expires_us)
    return false;
  return sgr_announce_drop (announce);
}
