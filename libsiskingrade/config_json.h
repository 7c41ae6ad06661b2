#ifndef SGR_CONFIG_JSON_H
#define SGR_CONFIG_JSON_H

#include <jansson.h>

#include "config_error.h"

/**
 * sgr_config_json_found() - describe a value for an error message
 * @json: the value, NULL for a missing one
 * @text: receives a short description such as: the string "abc"
 * @size: size of @text in bytes
 *
 * Return: @text.
 */
const char *sgr_config_json_found (const json_t *json, char *text, size_t size);

/**
 * sgr_config_json_object() - check that a value is an object of known keys
 * @json: the value
 * @path: its place
 * @required: keys that must be there, ended by NULL
 * @optional: keys that may be there, ended by NULL
 */
sgr_result_t sgr_config_json_object (const json_t *json, const char *path,
                                     const char *const *required, const char *const *optional,
                                     sgr_config_error_t *error);

/** sgr_config_json_path() - append ".KEY" to a path, or "KEY" to an empty one */
void sgr_config_json_path (char *out, const char *path, const char *key);

/** sgr_config_json_path_at() - append "KEY[INDEX]" as sgr_config_json_path() does */
void sgr_config_json_path_at (char *out, const char *path, const char *key, size_t index);

/**
 * sgr_config_json_name() - read a name
 * @json: object that holds it
 * @key: key of the name
 * @name: receives the name, SGR_NAME_MAX + 1 bytes
 */
sgr_result_t sgr_config_json_name (const json_t *json, const char *path, const char *key,
                                   char *name, sgr_config_error_t *error);

/** sgr_config_json_u64() - read an integer within bounds */
sgr_result_t sgr_config_json_u64 (const json_t *json, const char *path, const char *key,
                                  uint64_t min, uint64_t max, uint64_t *value,
                                  sgr_config_error_t *error);

#endif
