#ifndef SGR_CTL_YAML_H
#define SGR_CTL_YAML_H

#include <jansson.h>

#include "config_error.h"

/**
 * struct sgr_ctl_yaml_t - the document of a YAML file, converted to JSON
 * @json: the document
 * @lines: JSON object with the line number of each value by its path. A path has the form of
 *         sgr_config_error_t, such as "policies[3].deadline_ms".
 */
typedef struct
{
  json_t *json;
  json_t *lines;
} sgr_ctl_yaml_t;

/**
 * sgr_ctl_yaml_read() - read a YAML file of one document
 * @file: name of the file
 * @yaml: receives the document; release it with sgr_ctl_yaml_release()
 * @error: receives the reason of a failure; its message begins with "FILE:LINE: ", or with "FILE: "
 *         if the file cannot be opened
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the file is not exactly one valid YAML document, has a
 * duplicate key or nests values too deeply; SGR_ERR_LIMIT if it has more than 1 MB; SGR_ERR_IO if
 * it cannot be opened; SGR_ERR_NO_MEMORY, which leaves @error unset.
 */
sgr_result_t sgr_ctl_yaml_read (const char *file, sgr_ctl_yaml_t *yaml, sgr_config_error_t *error);

/**
 * sgr_ctl_yaml_line() - line number of the value at a path
 *
 * Return: the line, counted from 1; for an unknown path the line of the innermost value that
 * contains it.
 */
int sgr_ctl_yaml_line (const sgr_ctl_yaml_t *yaml, const char *path);
void sgr_ctl_yaml_release (sgr_ctl_yaml_t *yaml);

#endif
