#include "config_policy.h"

#include <stdlib.h>
#include <string.h>

#include "config_json.h"
#include "config_resource.h"
#include "http_fields.h"
#include "label.h"

/* Highest limit of the requests in flight of one tenant or class. */
#define IN_FLIGHT_LIMIT_MAX 100000

/* The integer fields of a policy with their offsets in sgr_policy_t and their lowest and highest
   valid values. A deadline of ten minutes covers the longest calls; eject_percent is below 100, so
   that the targets of a service are never all ejected. */
static const struct
{
  const char *key;
  size_t offset;
  uint32_t min;
  uint32_t max;
} integer_fields[] = {
  { "deadline_ms", offsetof (sgr_policy_t, deadline_ms), 1, 600000 },
  { "slots_percent", offsetof (sgr_policy_t, slots_percent), 1, 100 },
  { "queue_max", offsetof (sgr_policy_t, queue_max), 0, 100000 },
  { "attempts_max", offsetof (sgr_policy_t, attempts_max), 1, 10 },
  { "retry_percent", offsetof (sgr_policy_t, retry_percent), 0, 100 },
  { "hedge_percentile", offsetof (sgr_policy_t, hedge_percentile), 0, 99 },
  { "tenant_limit_default", offsetof (sgr_policy_t, tenant_limit_default), 0, IN_FLIGHT_LIMIT_MAX },
  { "probe_calls_per_s", offsetof (sgr_policy_t, probe_calls_per_s), 0, 10000 },
  { "probe_bytes_per_s", offsetof (sgr_policy_t, probe_bytes_per_s), 0, 100000000 },
  { "load_calls_per_s", offsetof (sgr_policy_t, load_calls_per_s), 0, 200000 },
  { "targets_max", offsetof (sgr_policy_t, targets_max), 1, 100000 },
  { "slow_start_ms", offsetof (sgr_policy_t, slow_start_ms), 0, 3600000 },
  { "eject_percent", offsetof (sgr_policy_t, eject_percent), 0, 99 },
  { "cold_start_ms", offsetof (sgr_policy_t, cold_start_ms), 0, SGR_POLICY_COLD_START_MAX_MS },
  { "cold_calls_per_s", offsetof (sgr_policy_t, cold_calls_per_s), 0, SGR_POLICY_COLD_CALLS_MAX },
  { "key_store_per_s", offsetof (sgr_policy_t, key_store_per_s), 0, 1000 },
};

#define INTEGER_FIELD_COUNT (sizeof integer_fields / sizeof integer_fields[0])

static const char *const idempotency_names[] = { "by-method", "always", "never" };

static const char unknown_key_message[]
    = "found an unknown key, expected a policy field: idempotency, deadline_ms, slots_percent, "
      "queue_max, "
      "attempts_max, retry_percent, hedge_percentile, not_run_status, tenant_limits, "
      "class_limits, tenant_limit_default, probe_calls_per_s, probe_bytes_per_s, load_path, "
      "load_calls_per_s, targets_max, "
      "slow_start_ms, eject_percent, cold_start_ms, cold_calls_per_s, key_store_per_s";

sgr_result_t
sgr_config_idempotency_read (const json_t *value, const char *path,
                             sgr_policy_idempotency_t *idempotency, sgr_config_error_t *error)
{
  char found[80];

  for (int i = 0; i < 3; i++)
    if (json_is_string (value) && strcmp (json_string_value (value), idempotency_names[i]) == 0)
      {
        *idempotency = (sgr_policy_idempotency_t)i;
        return SGR_OK;
      }
  return sgr_config_error_set (error, SGR_ERR_INVALID, path,
                               "found %s, expected \"by-method\", \"always\" or \"never\"",
                               sgr_config_json_describe (value, found, sizeof found));
}

const char *
sgr_config_idempotency_name (sgr_policy_idempotency_t idempotency)
{
  return idempotency_names[idempotency];
}

static sgr_result_t
read_not_run_status (const json_t *value, const char *path, sgr_policy_t *policy,
                     sgr_config_error_t *error)
{
  char found[80], item_path[SGR_CONFIG_PATH_BYTES];
  size_t index;
  json_t *item;

  if (!json_is_array (value) || json_array_size (value) > SGR_POLICY_NOT_RUN_STATUSES_MAX)
    return sgr_config_error_set (error, SGR_ERR_INVALID, path,
                                 "found %s of %zu, expected a list of at most %d statuses",
                                 sgr_config_json_describe (value, found, sizeof found),
                                 json_array_size (value), SGR_POLICY_NOT_RUN_STATUSES_MAX);
  policy->not_run_status_count = 0;
  json_array_foreach ((json_t *)value, index, item)
  {
    /* Writes "PATH[INDEX]": @path is the path of the list itself, so no parent path is passed. */
    sgr_config_json_path_at (item_path, "", path, index);
    if (!json_is_integer (item) || json_integer_value (item) < 400
        || json_integer_value (item) > 599)
      return sgr_config_error_set (error, SGR_ERR_INVALID, item_path,
                                   "found %s, expected a status from 400 to 599",
                                   sgr_config_json_describe (item, found, sizeof found));
    for (uint32_t i = 0; i < policy->not_run_status_count; i++)
      if (policy->not_run_status[i] == json_integer_value (item))
        return sgr_config_error_set (error, SGR_ERR_INVALID, item_path,
                                     "found %d a second time, expected each status once",
                                     policy->not_run_status[i]);
    policy->not_run_status[policy->not_run_status_count++] = (uint16_t)json_integer_value (item);
  }
  return SGR_OK;
}

static sgr_result_t
read_load_path (const json_t *value, const char *path, sgr_policy_t *policy,
                sgr_config_error_t *error)
{
  const char *text = json_string_value (value);
  char found[80];

  if (text != NULL && strlen (text) <= SGR_POLICY_PATH_MAX
      && (text[0] == '\0' || sgr_http_is_path (text, strlen (text))))
    {
      memcpy (policy->load_path, text, strlen (text) + 1);
      return SGR_OK;
    }
  return sgr_config_error_set (
      error, SGR_ERR_INVALID, path, "found %s, expected a path of at most %d bytes",
      sgr_config_json_describe (value, found, sizeof found), SGR_POLICY_PATH_MAX);
}

static int
compare_limits (const void *a, const void *b)
{
  return strcmp (((const sgr_policy_limit_t *)a)->name, ((const sgr_policy_limit_t *)b)->name);
}

/* Reads an object of limits by name into @limits, sorted by name. */
static sgr_result_t
read_limits (const json_t *value, const char *path, sgr_policy_limit_t *limits, uint32_t *count,
             sgr_config_error_t *error)
{
  char found[80], item_path[SGR_CONFIG_PATH_BYTES];
  const char *name;
  json_t *item;

  if (!json_is_object (value) || json_object_size (value) > SGR_POLICY_LIMITS_MAX)
    return sgr_config_error_set (error, SGR_ERR_INVALID, path,
                                 "found %s of %zu, expected an object of at most %d limits",
                                 sgr_config_json_describe (value, found, sizeof found),
                                 json_object_size (value), SGR_POLICY_LIMITS_MAX);
  *count = 0;
  json_object_foreach ((json_t *)value, name, item)
  {
    sgr_config_json_path (item_path, path, name);
    if (!sgr_label_is_valid (name))
      return sgr_config_error_set (error, SGR_ERR_INVALID, item_path,
                                   "found \"%.80s\", expected a name of 1 to %d letters, digits, "
                                   "'-', '_' and '.'",
                                   name, SGR_NAME_MAX);
    if (!json_is_integer (item) || json_integer_value (item) < 1
        || json_integer_value (item) > IN_FLIGHT_LIMIT_MAX)
      return sgr_config_error_set (
          error, SGR_ERR_INVALID, item_path, "found %s, expected an integer from 1 to %d",
          sgr_config_json_describe (item, found, sizeof found), IN_FLIGHT_LIMIT_MAX);
    memset (&limits[*count], 0, sizeof limits[*count]);
    memcpy (limits[*count].name, name, strlen (name));
    limits[(*count)++].in_flight = (uint32_t)json_integer_value (item);
  }
  if (*count > 1)
    qsort (limits, *count, sizeof limits[0], compare_limits);
  return SGR_OK;
}

/* Reads the integer field @key of the object @json into @policy. For error messages, @path is the
   path of the object and @key_path the path of the field. */
static sgr_result_t
read_integer_field (const json_t *json, const char *path, const char *key, const char *key_path,
                    sgr_policy_t *policy, sgr_config_error_t *error)
{
  for (size_t i = 0; i < INTEGER_FIELD_COUNT; i++)
    {
      uint64_t value;

      if (strcmp (integer_fields[i].key, key) != 0)
        continue;
      if (sgr_config_json_u64 (json, path, key, integer_fields[i].min, integer_fields[i].max,
                               &value, error)
          != SGR_OK)
        return SGR_ERR_INVALID;
      if (strcmp (key, "hedge_percentile") == 0 && value > 0 && value < 50)
        return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                     "found %d, expected 0 for never or an integer from 50 to 99",
                                     (int)value);
      *(uint32_t *)(void *)((char *)policy + integer_fields[i].offset) = (uint32_t)value;
      return SGR_OK;
    }
  return sgr_config_error_set (error, SGR_ERR_INVALID, key_path, "%s", unknown_key_message);
}

sgr_result_t
sgr_config_policy_read (const json_t *json, const char *path, const char *skip_key,
                        sgr_policy_t *policy, sgr_config_error_t *error)
{
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    return sgr_config_error_set (error, SGR_ERR_INVALID, path, "found %s, expected an object",
                                 sgr_config_json_describe (json, found, sizeof found));
  json_object_foreach ((json_t *)json, key, value)
  {
    sgr_result_t result;

    if (skip_key != NULL && strcmp (key, skip_key) == 0)
      continue;
    sgr_config_json_path (key_path, path, key);
    if (strcmp (key, "idempotency") == 0)
      result = sgr_config_idempotency_read (value, key_path, &policy->idempotency, error);
    else if (strcmp (key, "load_path") == 0)
      result = read_load_path (value, key_path, policy, error);
    else if (strcmp (key, "not_run_status") == 0)
      result = read_not_run_status (value, key_path, policy, error);
    else if (strcmp (key, "tenant_limits") == 0)
      result = read_limits (value, key_path, policy->tenant_limits, &policy->tenant_limit_count,
                            error);
    else if (strcmp (key, "class_limits") == 0)
      result
          = read_limits (value, key_path, policy->class_limits, &policy->class_limit_count, error);
    else
      result = read_integer_field (json, path, key, key_path, policy, error);
    if (result != SGR_OK)
      return result;
  }
  return SGR_OK;
}

static json_t *
write_limits (const sgr_policy_limit_t *limits, uint32_t count)
{
  json_t *json = json_object ();

  for (uint32_t i = 0; i < count; i++)
    json_object_set_new (json, limits[i].name, json_integer (limits[i].in_flight));
  return json;
}

json_t *
sgr_config_policy_write (const sgr_policy_t *policy)
{
  json_t *json = json_object ();
  json_t *status = json_array ();

  for (size_t i = 0; i < INTEGER_FIELD_COUNT; i++)
    {
      uint32_t value
          = *(const uint32_t *)(const void *)((const char *)policy + integer_fields[i].offset);

      json_object_set_new (json, integer_fields[i].key, json_integer (value));
    }
  for (uint32_t i = 0; i < policy->not_run_status_count; i++)
    json_array_append_new (status, json_integer (policy->not_run_status[i]));
  json_object_set_new (json, "not_run_status", status);
  json_object_set_new (json, "load_path", json_string (policy->load_path));
  json_object_set_new (json, "idempotency",
                       json_string (sgr_config_idempotency_name (policy->idempotency)));
  json_object_set_new (json, "tenant_limits",
                       write_limits (policy->tenant_limits, policy->tenant_limit_count));
  json_object_set_new (json, "class_limits",
                       write_limits (policy->class_limits, policy->class_limit_count));
  return json;
}
