#include "config_route.h"

#include <string.h>

#include "config_json.h"
#include "config_policy.h"

/* Highest valid values of the fields of a route. */
#define TIMEOUT_MAX_MS 600000
#define PRIORITY_MAX 100
#define ATTEMPTS_MAX 10
#define WEIGHT_MAX 10000

static sgr_result_t
read_host (const json_t *json, const char *path, sgr_route_t *route, sgr_config_error_t *error)
{
  const json_t *value = json_object_get (json, "host");
  const char *text = json_string_value (value);
  size_t length = text != NULL ? strlen (text) : 0;
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  if (length > 0 && length <= SGR_ROUTE_HOST_MAX
      && strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-_.") == length)
    {
      memcpy (route->host, text, length + 1);
      return SGR_OK;
    }
  sgr_config_json_path (key_path, path, "host");
  return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                               "found %s, expected a host name in lower case without a port",
                               sgr_config_json_describe (value, found, sizeof found));
}

static sgr_result_t
read_prefix (const json_t *json, const char *path, sgr_route_t *route, sgr_config_error_t *error)
{
  const json_t *value = json_object_get (json, "prefix");
  const char *text = json_string_value (value);
  size_t length = text != NULL ? strlen (text) : 0;
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  if (length > 0 && length <= SGR_ROUTE_PREFIX_MAX && text[0] == '/' && text[length - 1] == '/'
      && strpbrk (text, " ?#") == NULL)
    {
      memcpy (route->prefix, text, length + 1);
      return SGR_OK;
    }
  sgr_config_json_path (key_path, path, "prefix");
  return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                               "found %s, expected a path with a slash at both ends",
                               sgr_config_json_describe (value, found, sizeof found));
}

/* Reads an entry of the list "services" of a route: a service and its weight. */
static sgr_result_t
read_weighted_service (const json_t *json, const char *path, sgr_route_part_t *part,
                       sgr_config_error_t *error)
{
  static const char *const required[] = { "service", "weight", NULL };
  uint64_t weight;

  if (sgr_config_json_object (json, path, required, NULL, error) != SGR_OK
      || sgr_config_json_name (json, path, "service", part->service, error) != SGR_OK
      || sgr_config_json_u64 (json, path, "weight", 0, WEIGHT_MAX, &weight, error) != SGR_OK)
    return SGR_ERR_INVALID;
  part->weight = (uint32_t)weight;
  return SGR_OK;
}

static sgr_result_t
read_weighted_services (const json_t *json, const char *path, sgr_route_t *route,
                        sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, "services");
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];
  uint64_t weight_sum = 0;

  sgr_config_json_path (key_path, path, "services");
  if (!json_is_array (list) || json_array_size (list) < 1
      || json_array_size (list) > SGR_ROUTE_PARTS_MAX)
    return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                 "found %s of %zu, expected a list of 1 to %d services",
                                 sgr_config_json_describe (list, found, sizeof found),
                                 json_array_size (list), SGR_ROUTE_PARTS_MAX);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      char item_path[SGR_CONFIG_PATH_BYTES];

      sgr_config_json_path_at (item_path, path, "services", i);
      if (read_weighted_service (json_array_get (list, i), item_path, &route->parts[i], error)
          != SGR_OK)
        return SGR_ERR_INVALID;
      weight_sum += route->parts[i].weight;
    }
  route->part_count = (uint32_t)json_array_size (list);
  if (weight_sum == 0)
    return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                 "found weights of 0 only, expected one above 0");
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

sgr_result_t
sgr_config_route_read (const json_t *json, const char *path, sgr_route_t *route,
                       sgr_config_error_t *error)
{
  static const char *const required[] = { "name", "host", "prefix", "services", NULL };
  static const char *const optional[]
      = { "idempotency",  "timeout_ms", "target_latency_ms", "priority",
          "attempts_max", "public",     "regions",           NULL };
  const json_t *idempotency = json_object_get (json, "idempotency");
  char key_path[SGR_CONFIG_PATH_BYTES];

  memset (route, 0, sizeof *route);
  if (sgr_config_json_object (json, path, required, optional, error) != SGR_OK
      || sgr_config_json_name (json, path, "name", route->name, error) != SGR_OK
      || read_host (json, path, route, error) != SGR_OK
      || read_prefix (json, path, route, error) != SGR_OK
      || read_weighted_services (json, path, route, error) != SGR_OK)
    return SGR_ERR_INVALID;
  sgr_config_json_path (key_path, path, "idempotency");
  if (idempotency != NULL
      && sgr_config_idempotency_read (idempotency, key_path, &route->idempotency, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (read_optional_u32 (json, path, "timeout_ms", 0, TIMEOUT_MAX_MS, &route->timeout_ms, error)
          != SGR_OK
      || read_optional_u32 (json, path, "target_latency_ms", 0, TIMEOUT_MAX_MS,
                            &route->target_latency_ms, error)
             != SGR_OK
      || read_optional_u32 (json, path, "priority", 0, PRIORITY_MAX, &route->priority, error)
             != SGR_OK
      || read_public (json, path, &route->is_public, error) != SGR_OK
      || sgr_config_json_regions (json, path, &route->regions, error) != SGR_OK)
    return SGR_ERR_INVALID;
  return read_optional_u32 (json, path, "attempts_max", 0, ATTEMPTS_MAX, &route->attempts_max,
                            error);
}

json_t *
sgr_config_route_write (const sgr_route_t *route)
{
  json_t *parts = json_array (), *json;

  for (uint32_t i = 0; i < route->part_count; i++)
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
