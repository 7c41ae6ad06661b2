#ifndef SGR_CONFIG_POLICY_H
#define SGR_CONFIG_POLICY_H

#include <jansson.h>

#include "config_error.h"
#include "policy.h"

/**
 * sgr_config_policy_read() - parse policy fields and set them in an initialized policy
 * @json: object of policy fields
 * @path: path of @json in its document
 * @skip_key: key of @json that is not a policy field and is ignored, such as "name", or NULL
 * @policy: initialized policy; fields that are absent from @json keep their values
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK; SGR_ERR_INVALID, with some fields of @policy changed already.
 */
sgr_result_t sgr_config_policy_read (const json_t *json, const char *path, const char *skip_key,
                                     sgr_policy_t *policy, sgr_config_error_t *error);

/**
 * sgr_config_policy_write() - convert a policy to a JSON object with every policy field
 *
 * Return: a new object, owned by the caller.
 */
json_t *sgr_config_policy_write (const sgr_policy_t *policy);

/**
 * sgr_config_idempotency_read() - parse "by-method", "always" or "never"
 * @value: the JSON string
 * @path: path of @value in its document
 * @idempotency: receives the parsed value
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK or SGR_ERR_INVALID.
 */
sgr_result_t sgr_config_idempotency_read (const json_t *value, const char *path,
                                          sgr_policy_idempotency_t *idempotency,
                                          sgr_config_error_t *error);

/** sgr_config_idempotency_name() - the string that sgr_config_idempotency_read() parses */
const char *sgr_config_idempotency_name (sgr_policy_idempotency_t idempotency);

#endif
