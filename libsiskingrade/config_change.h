#ifndef SGR_CONFIG_CHANGE_H
#define SGR_CONFIG_CHANGE_H

#include "config_chain.h"

/**
 * struct sgr_config_change_t - a proposed change
 * @deployment: deployment that it is meant for
 * @statement: what owners sign
 * @writer: random id of the writer; tells one's own write from another's after a lost reply
 * @body: { "full": CONTENT } or { "edit": EDIT }
 * @approvals: approvals so far, in the order of the owners in the settings
 */
typedef struct
{
  char deployment[SGR_NAME_MAX + 1];
  sgr_config_statement_t statement;
  char writer[SGR_NAME_MAX + 1];
  json_t *body;
  sgr_config_approval_t approvals[SGR_CONFIG_OWNERS];
} sgr_config_change_t;

/**
 * sgr_config_change_propose() - make a change on top of the record in force
 * @deployment: name of the deployment
 * @base: record in force, NULL for the first change
 * @id: id of the change, unique in the deployment
 * @author: who proposes it
 * @body: { "full": CONTENT } or { "edit": EDIT }; not changed
 * @change: receives the change
 * @error: receives the reason of a refusal
 */
sgr_result_t sgr_config_change_propose (const char *deployment, const sgr_config_record_t *base,
                                        const char *id, const char *author, const json_t *body,
                                        sgr_config_change_t **change, sgr_config_error_t *error);

sgr_result_t sgr_config_change_parse (const void *text, size_t length, sgr_config_change_t **change,
                                      sgr_config_error_t *error);
json_t *sgr_config_change_write (const sgr_config_change_t *change);

/**
 * sgr_config_change_check() - check that a change fits a deployment and its base
 * @change: the change
 * @owners: the owners
 * @base: record in force, NULL for none
 * @content: receives the complete new content, may be NULL
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK; SGR_ERR_CONFLICT if the base is not the record in force; SGR_ERR_INVALID if the
 * body or its digest is wrong.
 */
sgr_result_t sgr_config_change_check (const sgr_config_change_t *change,
                                      const sgr_config_owners_t *owners,
                                      const sgr_config_record_t *base,
                                      sgr_config_content_t **content, sgr_config_error_t *error);

/**
 * sgr_config_change_approve() - add the signature of an owner
 * @change: the change
 * @owners: the owners
 * @approval: the owner and the signature over the digest of the statement
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK; SGR_ERR_DENIED for an unknown owner or a signature that is not over exactly this
 * statement; SGR_ERR_CONFLICT if the owner has approved already.
 */
sgr_result_t sgr_config_change_approve (sgr_config_change_t *change,
                                        const sgr_config_owners_t *owners,
                                        const sgr_config_approval_t *approval,
                                        sgr_config_error_t *error);

/** sgr_config_change_approval_count() - approvals so far */
size_t sgr_config_change_approval_count (const sgr_config_change_t *change);

/**
 * sgr_config_change_commit() - make the record that takes effect
 * @change: the change, approved by both owners
 * @owners: the owners
 * @base: record in force, NULL for none
 * @record: receives the verified record; its text goes to the store
 * @error: receives the reason of a refusal
 */
sgr_result_t sgr_config_change_commit (const sgr_config_change_t *change,
                                       const sgr_config_owners_t *owners,
                                       const sgr_config_record_t *base,
                                       sgr_config_record_t **record, sgr_config_error_t *error);

void sgr_config_change_digest (const sgr_config_change_t *change, sgr_config_digest_t *digest);
void sgr_config_change_destroy (sgr_config_change_t *change);

#endif
