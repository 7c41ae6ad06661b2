#include "config_route.h"

#include <stdlib.h>
#include <string.h>

#include "config_json.h"
#include "config_policy.h"

/* Highest number of attempts of a route. */
#define ATTEMPTS_MAX 10
/* Characters of hosts, unless the rules allow any. */
#define HOST_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789-_."
#define UPPER_CASE "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
/* Key of a route that the source of the document could not translate, with the reason. */
#define UNUSABLE_KEY "unusable"

/* Returns the text under a key if it has no null characters and is not too long, else NULL. */
static const char *
text_get (const json_t *json, const char *key, const sgr_config_rules_t *rules)
{
  const json_t *value = json_object_get (json, key);
  const char *text = json_string_value (value);

  return text != NULL && text[0] != '\0' && strlen (text) == json_string_length (value)
                 && strlen (text) <= rules->text_max
             ? text
             : NULL;
}

static bool
host_is_valid (const char *text, const sgr_config_rules_t *rules)
{
  size_t length = text != NULL ? strlen (text) : 0;

  if (length == 0)
    return false;
  if (rules->has_any_host)
    return strcspn (text, UPPER_CASE) == length;
  return strspn (text, HOST_CHARACTERS) == length;
}

static bool
prefix_is_valid (const char *text, const sgr_config_rules_t *rules)
{
  size_t length = text != NULL ? strlen (text) : 0;

  return length > 0 && text[0] == '/' && text[length - 1] == '/'
         && (rules->has_any_host || strpbrk (text, " ?#") == NULL);
}

static sgr_result_t
read_host (const json_t *json, const char *path, const sgr_config_rules_t *rules,
           sgr_route_t *route, sgr_config_error_t *error)
{
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  route->host = text_get (json, "host", rules);
  if (host_is_valid (route->host, rules))
    return SGR_OK;
  sgr_config_json_path (key_path, path, "host");
  return sgr_config_error_set (
      error, SGR_ERR_INVALID, key_path,
      "found %s, expected a host name in lower case without a port",
      sgr_config_json_describe (json_object_get (json, "host"), found, sizeof found));
}

static sgr_result_t
read_prefix (const json_t *json, const char *path, const sgr_config_rules_t *rules,
             sgr_route_t *route, sgr_config_error_t *error)
{
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  route->prefix = text_get (json, "prefix", rules);
  if (prefix_is_valid (route->prefix, rules))
    return SGR_OK;
  sgr_config_json_path (key_path, path, "prefix");
  return sgr_config_error_set (
      error, SGR_ERR_INVALID, key_path, "found %s, expected a path with a slash at both ends",
      sgr_config_json_describe (json_object_get (json, "prefix"), found, sizeof found));
}

/* Reads an entry of the list "services" of a route: a service and its weight. */
static sgr_result_t
read_weighted_service (const json_t *json, const char *path, const sgr_config_rules_t *rules,
                       sgr_route_part_t *part, sgr_config_error_t *error)
{
  static const char *const required[] = { "service", "weight", NULL };
  uint64_t weight;

  if (sgr_config_json_object (json, path, required, NULL, error) != SGR_OK
      || sgr_config_json_name (json, path, "service", part->service, error) != SGR_OK
      || sgr_config_json_u64 (json, path, "weight", 0, rules->weight_max, &weight, error) != SGR_OK)
    return SGR_ERR_INVALID;
  part->weight = (uint32_t)weight;
  return SGR_OK;
}

/* Reads the services of a route into an array, to be freed by the caller also after an error. */
static sgr_result_t
read_weighted_services (const json_t *json, const char *path, const sgr_config_rules_t *rules,
                        sgr_route_part_t **parts, size_t *count, sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, "services");
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];
  uint64_t weight_sum = 0;

  *count = json_array_size (list);
  sgr_config_json_path (key_path, path, "services");
  if (!json_is_array (list) || *count < 1 || *count > rules->parts_max)
    return sgr_config_error_set (
        error, SGR_ERR_INVALID, key_path, "found %s of %zu, expected a list of 1 to %zu services",
        sgr_config_json_describe (list, found, sizeof found), *count, rules->parts_max);
  *parts = calloc (*count, sizeof **parts);
  sgr_invariant (*parts != NULL);
  for (size_t i = 0; i < *count; i++)
    {
      char item_path[SGR_CONFIG_PATH_BYTES];

      sgr_config_json_path_at (item_path, path, "services", i);
      if (read_weighted_service (json_array_get (list, i), item_path, rules, &(*parts)[i], error)
          != SGR_OK)
        return SGR_ERR_INVALID;
      weight_sum += (*parts)[i].weight;
    }
  if (weight_sum == 0 || weight_sum > UINT32_MAX)
    return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                 "found weights with a sum of %llu, expected one from 1 to %u",
                                 (unsigned long long)weight_sum, UINT32_MAX);
  return SGR_OK;
}

/* Reads an optional integer field; if the key is absent, @field keeps its value. */
static sgr_result_t
read_optional_u32 (const json_t *json, const char *path, const char *key, uint64_t min,
                   uint64_t max, uint32_t *field, sgr_config_error_t *error)
{
  uint64_t value;

  if (json_object_get (json, key) == NULL)
    return SGR_OK;
  if (sgr_config_json_u64 (json, path, key, min, max, &value, error) != SGR_OK)
    return SGR_ERR_INVALID;
  *field = (uint32_t)value;
  return SGR_OK;
}

/* Reads the optional field "public". */
static sgr_result_t
read_public (const json_t *json, const char *path, bool *is_public, sgr_config_error_t *error)
{
  const json_t *value = json_object_get (json, "public");
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  if (value == NULL)
    return SGR_OK;
  *is_public = json_is_true (value);
  if (json_is_boolean (value))
    return SGR_OK;
  sgr_config_json_path (key_path, path, "public");
  return sgr_config_error_set (error, SGR_ERR_INVALID, key_path, "found %s, expected true or false",
                               sgr_config_json_describe (value, found, sizeof found));
}

/* Reads the fields that have no memory of their own. */
static sgr_result_t
read_scalars (const json_t *json, const char *path, const sgr_config_rules_t *rules,
              sgr_route_t *route, sgr_config_error_t *error)
{
  const json_t *idempotency = json_object_get (json, "idempotency");
  char key_path[SGR_CONFIG_PATH_BYTES];

  sgr_config_json_path (key_path, path, "idempotency");
  if (idempotency != NULL
      && sgr_config_idempotency_read (idempotency, key_path, &route->idempotency, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (read_optional_u32 (json, path, "timeout_ms", 0, rules->timeout_max_ms, &route->timeout_ms,
                         error)
          != SGR_OK
      || read_optional_u32 (json, path, "target_latency_ms", 0, rules->timeout_max_ms,
                            &route->target_latency_ms, error)
             != SGR_OK
      || read_optional_u32 (json, path, "priority", 0, rules->route_priority_max, &route->priority,
                            error)
             != SGR_OK
      || read_public (json, path, &route->is_public, error) != SGR_OK)
    return SGR_ERR_INVALID;
  return read_optional_u32 (json, path, "attempts_max", 0, ATTEMPTS_MAX, &route->attempts_max,
                            error);
}

sgr_result_t
sgr_config_route_read (const json_t *json, const char *path, const sgr_config_rules_t *rules,
                       sgr_route_t *route, sgr_config_error_t *error)
{
  static const char *const required[] = { "name", "host", "prefix", "services", NULL };
  static const char *const optional[]
      = { "idempotency",  "timeout_ms", "target_latency_ms", "priority",
          "attempts_max", "public",     "regions",           NULL };
  sgr_region_id_t *regions = NULL;
  sgr_route_part_t *parts = NULL;
  sgr_route_t read = { 0 };
  sgr_result_t result = SGR_ERR_INVALID;

  *route = read;
  if (rules->is_partial && json_object_get (json, UNUSABLE_KEY) != NULL)
    return sgr_config_error_set (error, SGR_ERR_INVALID, path, "%s",
                                 json_string_value (json_object_get (json, UNUSABLE_KEY)));
  if (sgr_config_json_object (json, path, required, optional, error) == SGR_OK
      && sgr_config_json_name (json, path, "name", read.name, error) == SGR_OK
      && read_host (json, path, rules, &read, error) == SGR_OK
      && read_prefix (json, path, rules, &read, error) == SGR_OK
      && read_weighted_services (json, path, rules, &parts, &read.part_count, error) == SGR_OK
      && read_scalars (json, path, rules, &read, error) == SGR_OK)
    result = sgr_config_json_regions (json, path, rules, &read.regions, &regions, error);
  if (result == SGR_OK)
    {
      read.parts = parts;
      sgr_route_copy (route, &read);
    }
  free (regions);
  free (parts);
  return result;
}

bool
sgr_config_route_read_unusable (const json_t *json, const sgr_config_rules_t *rules,
                                sgr_route_t *route)
{
  sgr_route_t read = { .is_unusable = true,
                       .host = text_get (json, "host", rules),
                       .prefix = text_get (json, "prefix", rules) };

  if (!host_is_valid (read.host, rules) || !prefix_is_valid (read.prefix, rules)
      || sgr_config_json_name (json, "", "name", read.name, NULL) != SGR_OK)
    return false;
  sgr_route_copy (route, &read);
  return true;
}

json_t *
sgr_config_route_write (const sgr_route_t *route)
{
  json_t *parts = json_array (), *json;

  for (size_t i = 0; i < route->part_count; i++)
    json_array_append_new (parts, json_pack ("{s:s, s:i}", "service", route->parts[i].service,
                                             "weight", (int)route->parts[i].weight));
  json = json_pack ("{s:s, s:s, s:s, s:o, s:s, s:i, s:i, s:i, s:i}", "name", route->name, "host",
                    route->host, "prefix", route->prefix, "services", parts, "idempotency",
                    sgr_config_idempotency_name (route->idempotency), "timeout_ms",
                    (int)route->timeout_ms, "target_latency_ms", (int)route->target_latency_ms,
                    "priority", (int)route->priority, "attempts_max", (int)route->attempts_max);
  /* Earlier versions of the program refuse this key, so that it is only written where needed. */
  if (route->is_public)
    json_object_set_new (json, "public", json_true ());
  return json;
}
