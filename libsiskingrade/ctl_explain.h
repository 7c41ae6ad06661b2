#ifndef SGR_CTL_EXPLAIN_H
#define SGR_CTL_EXPLAIN_H

#include <stdio.h>

#include "config_error.h"

/**
 * sgr_ctl_explain() - print the log lines of one request from the logs of several nodes
 * @id: request id, the value of the key "id" in the log lines
 * @files: names of the log files
 * @count: number of @files
 * @out: receives the lines, sorted by their timestamps
 * @error: receives the reason of a failure
 *
 * Return: SGR_OK; SGR_ERR_NOT_FOUND if no file has a line of the request; SGR_ERR_INVALID if a file
 * cannot be opened.
 */
sgr_result_t sgr_ctl_explain (const char *id, char **files, size_t count, FILE *out,
                              sgr_config_error_t *error);

#endif
