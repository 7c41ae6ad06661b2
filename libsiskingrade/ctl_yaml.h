#ifndef SGR_CTL_YAML_H
#define SGR_CTL_YAML_H

#include <jansson.h>

#include "config_error.h"

/**
 * struct sgr_ctl_yaml_t - a YAML file as JSON
 * @json: the document
 * @lines: line of each value by its path, as the checks of the configuration write paths
 */
typedef struct
{
  json_t *json;
  json_t *lines;
} sgr_ctl_yaml_t;

/**
 * sgr_ctl_yaml_read() - read a YAML file of one document
 * @file: name of the file
 * @yaml: receives the document
 * @error: receives the reason of a refusal; its message begins with "FILE:LINE: "
 *
 * Duplicate keys, several documents and files of more than 1 MB are refused.
 */
sgr_result_t sgr_ctl_yaml_read (const char *file, sgr_ctl_yaml_t *yaml, sgr_config_error_t *error);

/** sgr_ctl_yaml_line() - line of a path, or of the nearest value around it */
int sgr_ctl_yaml_line (const sgr_ctl_yaml_t *yaml, const char *path);
void sgr_ctl_yaml_release (sgr_ctl_yaml_t *yaml);

#endif
