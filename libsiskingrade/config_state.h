#ifndef SGR_CONFIG_STATE_H
#define SGR_CONFIG_STATE_H

#include "config_chain.h"
#include "config_source.h"

/**
 * struct sgr_config_state_t - the configuration in force at a node, and its history
 *
 * The history holds the latest changes of the record in force. Watch requests, and fetches of peers
 * that have an earlier revision in force, are answered from the history.
 */
typedef struct sgr_config_state_t sgr_config_state_t;

/**
 * sgr_config_state_create() - create a state without a configuration
 * @owners: the owners, copied
 * @history_max: length of the history; 0 counts as 1
 *
 * Return: the state, NULL if memory is exhausted.
 */
sgr_config_state_t *sgr_config_state_create (const sgr_config_owners_t *owners, size_t history_max);

/**
 * sgr_config_state_source_set() - accept documents of a source instead of records of the owners
 * @state: a state without a configuration
 * @source: the source, valid as long as @state
 */
void sgr_config_state_source_set (sgr_config_state_t *state, const sgr_config_source_t *source);

/** sgr_config_state_parts_read() - parts of documents that were new or changed, since the start */
size_t sgr_config_state_parts_read (const sgr_config_state_t *state);

void sgr_config_state_destroy (sgr_config_state_t *state);

/**
 * sgr_config_state_offer() - verify a record and put it in force if its revision is higher
 * @state: the state
 * @text: the record, or the document of the source
 * @length: its length in bytes
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK if the record is now in force; SGR_ERR_CONFLICT if its revision is not higher or
 * it does not descend from the record in force; SGR_ERR_INVALID, SGR_ERR_DENIED or SGR_ERR_LIMIT as
 * sgr_config_record_verify().
 */
sgr_result_t sgr_config_state_offer (sgr_config_state_t *state, const void *text, size_t length,
                                     sgr_config_error_t *error);

/**
 * sgr_config_state_offer_step() - verify a step and put its record in force
 * @state: the state
 * @text: a step that sgr_config_state_step_write() wrote
 * @length: its length in bytes
 * @error: receives the reason of a refusal
 *
 * Return: as sgr_config_state_offer(); SGR_ERR_CONFLICT also if the step does not start from the
 * revision in force.
 */
sgr_result_t sgr_config_state_offer_step (sgr_config_state_t *state, const void *text,
                                          size_t length, sgr_config_error_t *error);

/**
 * sgr_config_state_step_write() - write the record in force with edits in place of its content
 * @state: the state
 * @from: revision in force at the receiver
 * @text: receives the step
 *
 * Return: SGR_OK; SGR_ERR_NOT_FOUND if the receiver has to read the complete record: the history
 * does not contain @from, there are too many edits since then, or the state has a source.
 */
sgr_result_t sgr_config_state_step_write (const sgr_config_state_t *state, uint64_t from,
                                          sgr_buffer_t *text);

/** sgr_config_state_revision() - revision in force, 0 for none */
uint64_t sgr_config_state_revision (const sgr_config_state_t *state);

/** sgr_config_state_record() - record in force, NULL for none; valid until it is replaced */
const sgr_config_record_t *sgr_config_state_record (const sgr_config_state_t *state);

/** sgr_config_state_owners() - name of the deployment, and owners who have to approve changes */
const sgr_config_owners_t *sgr_config_state_owners (const sgr_config_state_t *state);

/**
 * sgr_config_state_policy() - effective policy of a service
 *
 * Return: the policy, valid until the record in force is replaced; NULL for an unknown service.
 */
const sgr_policy_t *sgr_config_state_policy (const sgr_config_state_t *state, const char *service);

/** sgr_config_state_service_count() - number of services, 0 if there is no configuration */
size_t sgr_config_state_service_count (const sgr_config_state_t *state);

/**
 * sgr_config_state_service_at() - effective policy of the service at an index
 * @state: a state with a configuration
 * @index: index in the list of services, less than sgr_config_state_service_count()
 *
 * Return: the policy, valid until the record in force is replaced.
 */
const sgr_policy_t *sgr_config_state_service_at (const sgr_config_state_t *state, size_t index);

/**
 * sgr_config_state_routes() - routes in force
 * @state: the state
 * @count: receives their number
 *
 * Return: the routes, valid until the record in force is replaced; NULL if there is no
 * configuration.
 */
const sgr_route_t *sgr_config_state_routes (const sgr_config_state_t *state, size_t *count);

/**
 * sgr_config_state_accounts() - client accounts in force
 *
 * Return: the accounts and their keys, valid until the record in force is replaced; NULL if there
 * is no configuration.
 */
const sgr_config_accounts_t *sgr_config_state_accounts (const sgr_config_state_t *state);

/**
 * sgr_config_state_changes_since() - list the changes since a revision, for a watcher
 * @state: the state
 * @revision: last revision that the watcher received
 * @changes: receives a list of { "revision", "from", "change", "edit" }, owned by the caller; NULL
 *           unless SGR_OK is returned
 *
 * Return: SGR_OK; SGR_ERR_UNAVAILABLE if no later revision is in force yet; SGR_ERR_NOT_FOUND if
 * the history does not contain @revision, because it is too old or was never in force at this node.
 * The watcher then has to list all services again.
 */
sgr_result_t sgr_config_state_changes_since (const sgr_config_state_t *state, uint64_t revision,
                                             json_t **changes);

#endif
