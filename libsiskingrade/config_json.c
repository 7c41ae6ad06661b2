#include "config_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_resource.h"
#include "label.h"

/* Length of the message of an error without the text that it quotes. */
static int
json_error_length (const json_error_t *error)
{
  const char *quote = strstr (error->text, " near '");

  return quote != NULL ? (int)(quote - error->text) : (int)strlen (error->text);
}

json_t *
sgr_config_json_load (const void *text, size_t length, sgr_config_error_t *error)
{
  json_error_t json_error;
  json_t *json = json_loadb (text, length, JSON_REJECT_DUPLICATES, &json_error);

  /* The message ends with the text near the error, which may be the key of an account. */
  if (json == NULL)
    sgr_config_error_set (error, SGR_ERR_INVALID, "", "line %d, column %d: %.*s, expected JSON",
                          json_error.line, json_error.column, json_error_length (&json_error),
                          json_error.text);
  return json;
}

const char *
sgr_config_json_describe (const json_t *json, char *text, size_t size)
{
  if (json == NULL)
    snprintf (text, size, "nothing");
  else
    switch (json_typeof (json))
      {
      case JSON_STRING:
        snprintf (text, size, "the string \"%.40s\"", json_string_value (json));
        break;
      case JSON_INTEGER:
        snprintf (text, size, "%" JSON_INTEGER_FORMAT, json_integer_value (json));
        break;
      case JSON_REAL:
        snprintf (text, size, "the number %g", json_real_value (json));
        break;
      case JSON_OBJECT:
        snprintf (text, size, "an object");
        break;
      case JSON_ARRAY:
        snprintf (text, size, "a list");
        break;
      case JSON_TRUE:
        snprintf (text, size, "true");
        break;
      case JSON_FALSE:
        snprintf (text, size, "false");
        break;
      case JSON_NULL:
        snprintf (text, size, "null");
        break;
      }
  return text;
}

static bool
key_list_contains (const char *const *list, const char *key)
{
  for (; list != NULL && *list != NULL; list++)
    if (strcmp (*list, key) == 0)
      return true;
  return false;
}

/* Writes all keys of both lists, separated by commas; a text that is too long is truncated. */
static void
key_lists_join (char *text, size_t size, const char *const *required, const char *const *optional)
{
  size_t length = 0;

  text[0] = '\0';
  for (int pass = 0; pass < 2; pass++)
    for (const char *const *key = pass == 0 ? required : optional; key != NULL && *key != NULL;
         key++)
      if (length < size)
        length += (size_t)snprintf (text + length, size - length, "%s%s", length > 0 ? ", " : "",
                                    *key);
}

sgr_result_t
sgr_config_json_object (const json_t *json, const char *path, const char *const *required,
                        const char *const *optional, sgr_config_error_t *error)
{
  char found[80], expected[220], key_path[SGR_CONFIG_PATH_BYTES];
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    return sgr_config_error_set (error, SGR_ERR_INVALID, path, "found %s, expected an object",
                                 sgr_config_json_describe (json, found, sizeof found));
  json_object_foreach ((json_t *)json, key, value)
  {
    if (key_list_contains (required, key) || key_list_contains (optional, key))
      continue;
    sgr_config_json_path (key_path, path, key);
    key_lists_join (expected, sizeof expected, required, optional);
    return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                 "found an unknown key, expected one of: %s", expected);
  }
  for (; required != NULL && *required != NULL; required++)
    if (json_object_get (json, *required) == NULL)
      {
        sgr_config_json_path (key_path, path, *required);
        return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                     "found nothing, expected this key");
      }
  return SGR_OK;
}

void
sgr_config_json_path (char *out, const char *path, const char *key)
{
  snprintf (out, SGR_CONFIG_PATH_BYTES, "%s%s%s", path, path[0] != '\0' ? "." : "", key);
}

void
sgr_config_json_path_at (char *out, const char *path, const char *key, size_t index)
{
  snprintf (out, SGR_CONFIG_PATH_BYTES, "%s%s%s[%zu]", path, path[0] != '\0' ? "." : "", key,
            index);
}

sgr_result_t
sgr_config_json_name (const json_t *json, const char *path, const char *key, char *name,
                      sgr_config_error_t *error)
{
  const json_t *value = json_object_get (json, key);
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  /* A JSON string may contain null characters, a name may not. */
  if (json_is_string (value) && strlen (json_string_value (value)) == json_string_length (value)
      && sgr_label_is_valid (json_string_value (value)))
    {
      snprintf (name, SGR_NAME_MAX + 1, "%s", json_string_value (value));
      return SGR_OK;
    }
  sgr_config_json_path (key_path, path, key);
  return sgr_config_error_set (
      error, SGR_ERR_INVALID, key_path,
      "found %s, expected a name of 1 to %d letters, digits, '-', '_' and '.'",
      sgr_config_json_describe (value, found, sizeof found), SGR_NAME_MAX);
}

sgr_result_t
sgr_config_json_u64 (const json_t *json, const char *path, const char *key, uint64_t min,
                     uint64_t max, uint64_t *value, sgr_config_error_t *error)
{
  const json_t *item = json_object_get (json, key);
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  if (json_is_integer (item) && json_integer_value (item) >= 0
      && (uint64_t)json_integer_value (item) >= min && (uint64_t)json_integer_value (item) <= max)
    {
      *value = (uint64_t)json_integer_value (item);
      return SGR_OK;
    }
  sgr_config_json_path (key_path, path, key);
  return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                               "found %s, expected an integer from %llu to %llu",
                               sgr_config_json_describe (item, found, sizeof found),
                               (unsigned long long)min, (unsigned long long)max);
}

sgr_result_t
sgr_config_json_regions (const json_t *json, const char *path, const sgr_config_rules_t *rules,
                         sgr_region_list_t *regions, sgr_region_id_t **memory,
                         sgr_config_error_t *error)
{
  static const char key[] = "regions";
  const json_t *list = json_object_get (json, key);
  size_t count = json_array_size (list);
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];

  *regions = (sgr_region_list_t){ 0 };
  *memory = NULL;
  if (list == NULL)
    return SGR_OK;
  sgr_config_json_path (key_path, path, key);
  if (!json_is_array (list) || count < rules->regions_min || count > rules->regions_max)
    return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                 "found %s of %zu, expected a list of %zu to %zu regions",
                                 sgr_config_json_describe (list, found, sizeof found), count,
                                 rules->regions_min, rules->regions_max);
  *memory = calloc (count + 1, sizeof **memory);
  sgr_invariant (*memory != NULL);
  *regions = (sgr_region_list_t){ .is_bound = true, .ids = *memory, .count = count };
  for (size_t i = 0; i < count; i++)
    {
      const json_t *name = json_array_get (list, i);

      sgr_config_json_path_at (key_path, path, key, i);
      if (!json_is_string (name) || !sgr_label_is_valid (json_string_value (name))
          || strlen (json_string_value (name)) != json_string_length (name))
        return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                     "found %s, expected the name of a region",
                                     sgr_config_json_describe (name, found, sizeof found));
      (*memory)[i] = sgr_region_id_of (json_string_value (name));
    }
  return SGR_OK;
}
