#ifndef SGR_CONFIG_JSON_H
#define SGR_CONFIG_JSON_H

#include <jansson.h>

#include "config_error.h"
#include "config_rules.h"
#include "region.h"

/**
 * sgr_config_json_describe() - describe a JSON value for an error message
 * @json: the value, NULL if it is missing
 * @text: receives a description such as: the string "abc"
 * @size: size of @text in bytes; 80 are enough for every description
 *
 * Return: @text.
 */
const char *sgr_config_json_describe (const json_t *json, char *text, size_t size);

/**
 * sgr_config_json_object() - check that a value is an object with known keys only
 * @json: the value
 * @path: path of @json, see sgr_config_error_t
 * @required: keys that must be present, terminated by NULL; may be NULL
 * @optional: keys that may be present, terminated by NULL; may be NULL
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK; SGR_ERR_INVALID if @json is not an object, lacks a required key or has a key that
 * is in neither list.
 */
sgr_result_t sgr_config_json_object (const json_t *json, const char *path,
                                     const char *const *required, const char *const *optional,
                                     sgr_config_error_t *error);

/**
 * sgr_config_json_path() - append ".KEY" to a path, or "KEY" to an empty one
 * @out: receives the path, SGR_CONFIG_PATH_BYTES bytes; a longer path is truncated
 * @path: path of the object
 * @key: key in that object
 */
void sgr_config_json_path (char *out, const char *path, const char *key);

/**
 * sgr_config_json_path_at() - append ".KEY[INDEX]" to a path, or "KEY[INDEX]" to an empty one
 * @out: receives the path, SGR_CONFIG_PATH_BYTES bytes; a longer path is truncated
 * @path: path of the object
 * @key: key of a list in that object
 * @index: index in the list, from 0
 */
void sgr_config_json_path_at (char *out, const char *path, const char *key, size_t index);

/**
 * sgr_config_json_name() - read a name, see sgr_label_is_valid()
 * @json: object that holds the name
 * @path: path of @json
 * @key: key of the name
 * @name: receives the name, SGR_NAME_MAX + 1 bytes
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the key is missing or its value is not a valid name.
 */
sgr_result_t sgr_config_json_name (const json_t *json, const char *path, const char *key,
                                   char *name, sgr_config_error_t *error);

/**
 * sgr_config_json_u64() - read a non-negative integer
 * @json: object that holds the integer
 * @path: path of @json
 * @key: key of the integer
 * @min: lowest valid value
 * @max: highest valid value
 * @value: receives the integer
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the key is missing or its value is not an integer from @min to
 * @max.
 */
sgr_result_t sgr_config_json_u64 (const json_t *json, const char *path, const char *key,
                                  uint64_t min, uint64_t max, uint64_t *value,
                                  sgr_config_error_t *error);

/**
 * sgr_config_json_regions() - read the optional list "regions" of a route or an account
 * @json: object that may hold the list
 * @path: path of @json
 * @rules: how many regions the list may have
 * @regions: receives the regions, not bound if the key is absent
 * @memory: receives the memory of the regions, to be freed by the caller also after an error
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the value is not a list of valid names, or its length is not
 * valid. A region without members is valid.
 */
sgr_result_t sgr_config_json_regions (const json_t *json, const char *path,
                                      const sgr_config_rules_t *rules, sgr_region_list_t *regions,
                                      sgr_region_id_t **memory, sgr_config_error_t *error);

#endif
