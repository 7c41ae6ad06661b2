#ifndef SGR_CONFIG_STATE_H
#define SGR_CONFIG_STATE_H

#include "config_chain.h"
#include "config_source.h"

typedef struct sgr_config_state_t sgr_config_state_t;

/**
 * sgr_config_state_create() - a node without a configuration
 * @owners: the owners, copied
 * @history_max: steps kept for watchers, at least 1
 */
sgr_config_state_t *sgr_config_state_create (const sgr_config_owners_t *owners, size_t history_max);
/**
 * sgr_config_state_source_set() - take documents of a source instead of records of the owners
 * @state: a node without a configuration
 * @source: the source, valid as long as @state
 */
void sgr_config_state_source_set (sgr_config_state_t *state, const sgr_config_source_t *source);

void sgr_config_state_destroy (sgr_config_state_t *state);

/**
 * sgr_config_state_offer() - verify a record and take it if it is a higher revision of the chain
 * @state: the state
 * @text: the record
 * @length: its length in bytes
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK if it is now in force; SGR_ERR_CONFLICT if it is not newer or of another chain;
 * SGR_ERR_INVALID, SGR_ERR_DENIED, SGR_ERR_LIMIT as sgr_config_record_verify().
 */
sgr_result_t sgr_config_state_offer (sgr_config_state_t *state, const void *text, size_t length,
                                     sgr_config_error_t *error);

/**
 * sgr_config_state_offer_step() - as sgr_config_state_offer(), from a step of
 * sgr_config_state_step()
 */
sgr_result_t sgr_config_state_offer_step (sgr_config_state_t *state, const void *text,
                                          size_t length, sgr_config_error_t *error);

/**
 * sgr_config_state_step() - record in force with an edit instead of the content
 * @state: the state
 * @from: revision that the receiver holds
 * @text: receives the step
 *
 * Return: SGR_OK; SGR_ERR_NOT_FOUND if the history does not reach back to @from.
 */
sgr_result_t sgr_config_state_step (const sgr_config_state_t *state, uint64_t from,
                                    sgr_buffer_t *text);

/** sgr_config_state_revision() - revision in force, 0 for none */
uint64_t sgr_config_state_revision (const sgr_config_state_t *state);

/** sgr_config_state_record() - record in force, NULL for none; valid until the next offer */
const sgr_config_record_t *sgr_config_state_record (const sgr_config_state_t *state);
const sgr_config_owners_t *sgr_config_state_owners (const sgr_config_state_t *state);

/**
 * sgr_config_state_policy() - policy of a service in force
 *
 * Return: the policy, valid until the next offer that is taken; NULL for an unknown service.
 */
const sgr_policy_t *sgr_config_state_policy (const sgr_config_state_t *state, const char *service);
size_t sgr_config_state_service_count (const sgr_config_state_t *state);
const sgr_policy_t *sgr_config_state_service_at (const sgr_config_state_t *state, size_t index);

/**
 * sgr_config_state_routes() - routes in force
 * @state: the state
 * @count: receives their number
 *
 * Return: the routes, valid until the next offer that is taken; NULL if there is no configuration.
 */
const sgr_route_t *sgr_config_state_routes (const sgr_config_state_t *state, size_t *count);

/**
 * sgr_config_state_changes_since() - what a watcher has not seen yet
 * @state: the state
 * @revision: last revision that the watcher has seen
 * @changes: receives a list of { "revision", "from", "change", "edit" }, owned by the caller
 *
 * Return: SGR_OK; SGR_ERR_UNAVAILABLE if nothing is newer, so wait; SGR_ERR_NOT_FOUND if the
 * history does not reach back or the revision was never in force here: list again.
 */
sgr_result_t sgr_config_state_changes_since (const sgr_config_state_t *state, uint64_t revision,
                                             json_t **changes);

#endif
