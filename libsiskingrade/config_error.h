#ifndef SGR_CONFIG_ERROR_H
#define SGR_CONFIG_ERROR_H

#include "result.h"
#include "types.h"

/* Bytes of the texts of an error, with the terminating null; longer texts are truncated. */
#define SGR_CONFIG_PATH_BYTES 192
#define SGR_CONFIG_MESSAGE_BYTES 320

/**
 * struct sgr_config_error_t - why an input was rejected
 * @result: kind of the error, SGR_OK if there is none
 * @path: path of the invalid value, such as "policies[3].deadline_ms"; empty for the whole document
 * @message: what was found and what was expected
 */
typedef struct
{
  sgr_result_t result;
  char path[SGR_CONFIG_PATH_BYTES];
  char message[SGR_CONFIG_MESSAGE_BYTES];
} sgr_config_error_t;

/**
 * sgr_config_error_set() - set the members of an error
 * @error: the error, may be NULL
 * @result: kind of the error
 * @path: path of the invalid value in the document
 * @format: printf format of the message
 *
 * Return: @result.
 */
sgr_result_t sgr_config_error_set (sgr_config_error_t *error, sgr_result_t result, const char *path,
                                   const char *format, ...) __attribute__ ((format (printf, 4, 5)));

#endif
