#ifndef SGR_CONFIG_CHANGE_H
#define SGR_CONFIG_CHANGE_H

#include "config_chain.h"

/**
 * struct sgr_config_change_t - a proposed change of the configuration
 * @deployment: deployment that the change is meant for
 * @statement: statement that the owners sign
 * @writer: random id of the process that proposes the change; after a lost reply it shows whether
 *          the proposal in the store is the one that this process wrote
 * @body: { "full": CONTENT } for a complete content, or { "edit": EDIT } for an edit of the content
 *        in force
 * @approvals: approvals so far, in the order in which they were added
 */
typedef struct
{
  char deployment[SGR_NAME_MAX + 1];
  sgr_config_statement_t statement;
  char writer[SGR_NAME_MAX + 1];
  json_t *body;
  sgr_config_approval_t approvals[SGR_CONFIG_OWNER_COUNT];
} sgr_config_change_t;

/**
 * sgr_config_change_propose() - create a change of the record in force
 * @deployment: name of the deployment
 * @base: record in force, NULL for the first change
 * @id: id of the change, unique in the deployment
 * @author: name of the proposer
 * @body: { "full": CONTENT } or { "edit": EDIT }; not modified
 * @change: receives the change, in which the caller sets the writer
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK; SGR_ERR_INVALID for an invalid id, author or body; SGR_ERR_LIMIT if the new
 * content is too large for the store.
 */
sgr_result_t sgr_config_change_propose (const char *deployment, const sgr_config_record_t *base,
                                        const char *id, const char *author, const json_t *body,
                                        sgr_config_change_t **change, sgr_config_error_t *error);

/**
 * sgr_config_change_parse() - read a change from JSON text
 *
 * Checks only the form: the caller checks the base and the approvals.
 *
 * Return: SGR_OK; SGR_ERR_INVALID for a wrong form; SGR_ERR_LIMIT for more than
 * SGR_CONFIG_VALUE_MAX_BYTES bytes.
 */
sgr_result_t sgr_config_change_parse (const void *text, size_t length, sgr_config_change_t **change,
                                      sgr_config_error_t *error);

/** sgr_config_change_write() - write a change as a new JSON object */
json_t *sgr_config_change_write (const sgr_config_change_t *change);

/**
 * sgr_config_change_check() - check that a change applies to a deployment and its record in force
 * @change: the change
 * @owners: name of the deployment, and the owners
 * @base: record in force, NULL for none
 * @content: receives the complete new content, owned by the caller; may be NULL
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK; SGR_ERR_CONFLICT if the change was made for another base than the record in
 * force; SGR_ERR_INVALID if the deployment, the body or the digest of the content is wrong;
 * SGR_ERR_LIMIT if the new content is too large for the store.
 */
sgr_result_t sgr_config_change_check (const sgr_config_change_t *change,
                                      const sgr_config_owners_t *owners,
                                      const sgr_config_record_t *base,
                                      sgr_config_content_t **content, sgr_config_error_t *error);

/**
 * sgr_config_change_approve() - verify the approval of an owner and add it to a change
 * @change: the change
 * @owners: the owners
 * @approval: the owner and the signature over the digest of the statement
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK; SGR_ERR_DENIED for an unknown owner, or a signature of another statement or with
 * another key; SGR_ERR_CONFLICT if the owner has approved the change already.
 */
sgr_result_t sgr_config_change_approve (sgr_config_change_t *change,
                                        const sgr_config_owners_t *owners,
                                        const sgr_config_approval_t *approval,
                                        sgr_config_error_t *error);

/** sgr_config_change_approval_count() - number of approvals in a change */
size_t sgr_config_change_approval_count (const sgr_config_change_t *change);

/**
 * sgr_config_change_to_record() - create the record of a change that both owners have approved
 * @change: the change
 * @owners: the owners
 * @base: record in force, NULL for none
 * @record: receives the verified record; the change takes effect once its text is in the store
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK, or an error of sgr_config_change_check() or sgr_config_record_verify().
 */
sgr_result_t sgr_config_change_to_record (const sgr_config_change_t *change,
                                          const sgr_config_owners_t *owners,
                                          const sgr_config_record_t *base,
                                          sgr_config_record_t **record, sgr_config_error_t *error);

/** sgr_config_change_digest() - compute the digest of the statement, which the owners sign */
void sgr_config_change_digest (const sgr_config_change_t *change, sgr_config_digest_t *digest);
void sgr_config_change_destroy (sgr_config_change_t *change);

#endif
