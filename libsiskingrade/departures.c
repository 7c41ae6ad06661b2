#include "departures.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "http_fields.h"

const sgr_departure_t *
sgr_departures_find (const sgr_departures_t *departures, const char *instance, uint64_t started_ms)
{
  if (instance[0] == '\0')
    return NULL;
  for (size_t i = 0; i < departures->count; i++)
    {
      const sgr_departure_t *departure = &departures->items[i];

      if (started_ms <= departure->started_ms && strcmp (instance, departure->instance) == 0)
        return departure;
    }
  return NULL;
}

static void
item_remove (sgr_departures_t *departures, size_t index)
{
  departures->count--;
  memmove (&departures->items[index], &departures->items[index + 1],
           (departures->count - index) * sizeof departures->items[0]);
}

bool
sgr_departures_add (sgr_departures_t *departures, const sgr_departure_t *departure)
{
  const sgr_departure_t *known
      = sgr_departures_find (departures, departure->instance, departure->started_ms);

  if (departure->instance[0] == '\0')
    return false;
  if (known != NULL && (known->has_left || !departure->has_left))
    return false;
  for (size_t i = 0; i < departures->count; i++)
    {
      if (strcmp (departures->items[i].instance, departure->instance) == 0
          && departures->items[i].started_ms <= departure->started_ms)
        item_remove (departures, i--);
    }
  if (departures->count == SGR_DEPARTURES_MAX)
    item_remove (departures, 0);
  departures->items[departures->count++] = *departure;
  return true;
}

bool
sgr_departures_are_in (const sgr_departures_t *departures, const sgr_departures_t *other)
{
  for (size_t i = 0; i < departures->count; i++)
    {
      const sgr_departure_t *departure = &departures->items[i];

      if (departure->started_ms != 0
          && sgr_departures_find (other, departure->instance, departure->started_ms) == NULL)
        return false;
    }
  return true;
}

void
sgr_departures_merge (sgr_departures_t *departures, const sgr_departures_t *other)
{
  sgr_departures_t merged = *other;

  for (size_t i = 0; i < departures->count; i++)
    sgr_departures_add (&merged, &departures->items[i]);
  *departures = merged;
}

char *
sgr_departures_write (const sgr_departures_t *departures)
{
  json_t *list = json_array ();
  json_t *json = json_pack ("{s:o}", "departures", list);
  char *text;

  for (size_t i = 0; i < departures->count; i++)
    {
      const sgr_departure_t *departure = &departures->items[i];

      if (departure->started_ms == 0)
        continue;
      json_array_append_new (list, json_pack ("{s:s, s:I, s:b}", "instance", departure->instance,
                                              "started_ms", (json_int_t)departure->started_ms,
                                              "has_left", departure->has_left));
    }
  text = json_dumps (json, JSON_COMPACT);
  sgr_invariant (text != NULL);
  json_decref (json);
  return text;
}

static bool
item_read (const json_t *json, sgr_departure_t *departure)
{
  const char *instance = json_string_value (json_object_get (json, "instance"));
  const json_t *started_ms = json_object_get (json, "started_ms");
  size_t length = instance != NULL ? strlen (instance) : 0;

  if (length == 0 || length > SGR_NAME_MAX || !sgr_http_is_token (instance, length)
      || !json_is_integer (started_ms) || json_integer_value (started_ms) < 0)
    return false;
  *departure = (sgr_departure_t){ .started_ms = (uint64_t)json_integer_value (started_ms),
                                  .has_left = json_is_true (json_object_get (json, "has_left")) };
  memcpy (departure->instance, instance, length + 1);
  return true;
}

sgr_result_t
sgr_departures_read (sgr_departures_t *departures, const void *text, size_t length)
{
  json_t *json = json_loadb (text, length, 0, NULL);
  const json_t *list = json_object_get (json, "departures");
  sgr_result_t result = json_is_array (list) ? SGR_OK : SGR_ERR_INVALID;

  *departures = (sgr_departures_t){ 0 };
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      sgr_departure_t departure;

      if (item_read (json_array_get (list, i), &departure))
        sgr_departures_add (departures, &departure);
    }
  json_decref (json);
  return result;
}
