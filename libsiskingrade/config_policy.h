#ifndef SGR_CONFIG_POLICY_H
#define SGR_CONFIG_POLICY_H

#include <jansson.h>

#include "config_error.h"
#include "policy.h"

/**
 * sgr_config_policy_read() - read policy fields over the values already there
 * @json: object of policy fields; the key @skip_key is left to the caller
 * @path: place of @json in its document
 * @skip_key: key that is not a policy field, such as "name", or NULL
 * @policy: changed only by the fields that are present
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK or SGR_ERR_INVALID.
 */
sgr_result_t sgr_config_policy_read (const json_t *json, const char *path, const char *skip_key,
                                     sgr_policy_t *policy, sgr_config_error_t *error);

/**
 * sgr_config_policy_write() - object with every policy field
 *
 * Return: a new object, owned by the caller.
 */
json_t *sgr_config_policy_write (const sgr_policy_t *policy);

/**
 * sgr_config_idempotency_read() - read "by-method", "always" or "never"
 * @value: the value
 * @place: its place in the document
 * @idempotency: receives the meaning
 * @error: receives the reason of a refusal
 */
sgr_result_t sgr_config_idempotency_read (const json_t *value, const char *place,
                                          sgr_policy_idempotency_t *idempotency,
                                          sgr_config_error_t *error);
const char *sgr_config_idempotency_name (sgr_policy_idempotency_t idempotency);

#endif
