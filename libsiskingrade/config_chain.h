#ifndef SGR_CONFIG_CHAIN_H
#define SGR_CONFIG_CHAIN_H

#include <sodium.h>

#include "buffer.h"
#include "config_resource.h"

/* The configuration of a deployment is a chain of records, one for each revision. A record consists
   of the complete content, a statement and the signatures of both co-owners over the statement. The
   statement holds the digest of the content and the digest of the preceding statement. */

#define SGR_CONFIG_OWNER_COUNT 2
#define SGR_CONFIG_KEY_BYTES crypto_sign_PUBLICKEYBYTES
#define SGR_CONFIG_SIGNATURE_BYTES crypto_sign_BYTES
/* Ancestor statements in a record. A node whose revision in force is among them checks that the
   record descends from it. 16 ancestors cover 13 minutes at 1,700 changes a day and take about
   3.5 KB. */
#define SGR_CONFIG_LINEAGE_MAX 16
/* Largest record or proposal in bytes: the store holds values up to 1 MB. */
#define SGR_CONFIG_VALUE_MAX_BYTES 1000000

/**
 * struct sgr_config_owner_t - one of the co-owners of a deployment
 * @name: name of the owner
 * @key: Ed25519 public key
 */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  uint8_t key[SGR_CONFIG_KEY_BYTES];
} sgr_config_owner_t;

/**
 * struct sgr_config_owners_t - the co-owners who must both approve a change, from the settings
 * @deployment: name of the deployment; it is part of the signed digest
 * @owner: the co-owners
 */
typedef struct
{
  char deployment[SGR_NAME_MAX + 1];
  sgr_config_owner_t owner[SGR_CONFIG_OWNER_COUNT];
} sgr_config_owners_t;

/**
 * struct sgr_config_statement_t - description of a change that the co-owners sign
 * @id: id of the change
 * @author: name of the proposer
 * @revision: revision that the change creates, the base revision plus one
 * @predecessor: digest of the statement of the base revision, all zeros for revision 1
 * @content: digest of the complete new content
 */
typedef struct
{
  char id[SGR_NAME_MAX + 1];
  char author[SGR_NAME_MAX + 1];
  uint64_t revision;
  sgr_config_digest_t predecessor;
  sgr_config_digest_t content;
} sgr_config_statement_t;

/**
 * struct sgr_config_approval_t - signature of one owner over the digest of a statement
 * @owner: name of the owner, empty while the approval is unused
 * @signature: Ed25519 signature
 */
typedef struct
{
  char owner[SGR_NAME_MAX + 1];
  uint8_t signature[SGR_CONFIG_SIGNATURE_BYTES];
} sgr_config_approval_t;

/**
 * struct sgr_config_record_t - a verified revision of the configuration
 * @statement: statement that both owners signed
 * @digest: digest of @statement, the predecessor digest of the next revision
 * @approvals: signatures of both owners, in the order of the owners in the settings
 * @content: services, policies and routes
 * @lineage: statements of the ancestors, newest first, verified by their digests
 * @lineage_count: used entries of @lineage
 * @text: the record as JSON text, as it is written to the store and sent to peers
 */
typedef struct
{
  sgr_config_statement_t statement;
  sgr_config_digest_t digest;
  sgr_config_approval_t approvals[SGR_CONFIG_OWNER_COUNT];
  sgr_config_content_t *content;
  sgr_config_statement_t lineage[SGR_CONFIG_LINEAGE_MAX];
  size_t lineage_count;
  sgr_buffer_t text;
} sgr_config_record_t;

/**
 * sgr_config_statement_digest() - compute the digest of a statement, which the owners sign
 * @deployment: name of the deployment, included in the digest
 * @statement: the statement
 * @digest: receives the digest
 */
void sgr_config_statement_digest (const char *deployment, const sgr_config_statement_t *statement,
                                  sgr_config_digest_t *digest);

/**
 * sgr_config_statement_sign() - sign a statement digest
 * @digest: the digest
 * @secret: Ed25519 secret key of libsodium, 64 bytes
 * @signature: receives SGR_CONFIG_SIGNATURE_BYTES bytes
 */
void sgr_config_statement_sign (const sgr_config_digest_t *digest, const uint8_t *secret,
                                uint8_t *signature);

/**
 * sgr_config_approval_verify() - check the signature of one owner
 * @owners: the owners
 * @digest: digest of the statement
 * @approval: the approval
 * @error: receives the reason of a refusal
 *
 * Return: index of the owner in @owners; -1 with @error set for an unknown owner or a wrong
 * signature.
 */
int sgr_config_approval_verify (const sgr_config_owners_t *owners,
                                const sgr_config_digest_t *digest,
                                const sgr_config_approval_t *approval, sgr_config_error_t *error);

/**
 * sgr_config_record_verify() - parse and verify a complete record
 * @owners: the owners
 * @text: the record as JSON text
 * @length: its length in bytes
 * @record: receives the record
 * @error: receives the reason of a refusal
 *
 * Checks the form, the deployment, both signatures over the statement, the digests of the lineage
 * and of the content, and the resources of the content. This is sufficient for a node that has no
 * configuration yet.
 *
 * Return: SGR_OK; SGR_ERR_INVALID for a wrong form or resource; SGR_ERR_DENIED for a wrong
 * deployment, signature or digest; SGR_ERR_LIMIT for more than SGR_CONFIG_VALUE_MAX_BYTES bytes.
 */
sgr_result_t sgr_config_record_verify (const sgr_config_owners_t *owners, const void *text,
                                       size_t length, sgr_config_record_t **record,
                                       sgr_config_error_t *error);

/**
 * sgr_config_record_verify_step() - verify a step and restore the complete record from it
 * @owners: the owners
 * @text: the step as JSON text
 * @length: its length in bytes
 * @base: record in force, NULL for none
 * @record: receives the complete record
 * @error: receives the reason of a refusal
 *
 * A step is a record with the edits since an earlier revision in place of its content. It leaves
 * out the ancestors that the record of the earlier revision contains.
 *
 * Return: as sgr_config_record_verify(); SGR_ERR_CONFLICT if the step does not start from the
 * revision of @base.
 */
sgr_result_t sgr_config_record_verify_step (const sgr_config_owners_t *owners, const void *text,
                                            size_t length, const sgr_config_record_t *base,
                                            sgr_config_record_t **record,
                                            sgr_config_error_t *error);

/**
 * sgr_config_record_metadata_write() - write a record without its content as a JSON object
 *
 * Return: a new object. The caller adds "content" for a complete record, or "from" and "edits" for
 * a step.
 */
json_t *sgr_config_record_metadata_write (const char *deployment,
                                          const sgr_config_record_t *record);

/**
 * sgr_config_owners_check() - check that the names of the deployment and of its owners are valid,
 * and that no two owners have the same name or the same key
 *
 * Return: SGR_OK, or SGR_ERR_INVALID with @error set.
 */
sgr_result_t sgr_config_owners_check (const sgr_config_owners_t *owners, sgr_config_error_t *error);

/**
 * sgr_config_chain_successor_check() - check that a verified record may replace the one in force
 * @in_force: record in force, NULL for none
 * @next: verified record of another revision
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK; SGR_ERR_CONFLICT if the revision of @next is not higher or its lineage shows that
 * it does not descend from @in_force.
 */
sgr_result_t sgr_config_chain_successor_check (const sgr_config_record_t *in_force,
                                               const sgr_config_record_t *next,
                                               sgr_config_error_t *error);

/**
 * sgr_config_record_contains() - look for a statement in a record and its lineage
 * @deployment: name of the deployment
 * @record: record to search, NULL for none
 * @digest: digest of the statement
 * @revision: revision of the statement
 *
 * Return: 1 if the statement is that of the record or of one of its ancestors; 0 if another
 * statement has @revision; -1 if @record does not show whether it contains the statement, because
 * it is NULL, its own revision is lower, or its lineage does not reach back to @revision.
 */
int sgr_config_record_contains (const char *deployment, const sgr_config_record_t *record,
                                const sgr_config_digest_t *digest, uint64_t revision);

/** sgr_config_record_create() - allocate an empty record; NULL if memory is exhausted */
sgr_config_record_t *sgr_config_record_create (void);
void sgr_config_record_destroy (sgr_config_record_t *record);

/* The functions below convert a statement or an approval to a new JSON object and back. @path is
   the path of @json in its document, for error messages. The read functions return SGR_OK, or
   SGR_ERR_INVALID with @error set. */
json_t *sgr_config_statement_write (const sgr_config_statement_t *statement);
sgr_result_t sgr_config_statement_read (const json_t *json, const char *path,
                                        sgr_config_statement_t *statement,
                                        sgr_config_error_t *error);
json_t *sgr_config_approval_write (const sgr_config_approval_t *approval);
sgr_result_t sgr_config_approval_read (const json_t *json, const char *path,
                                       sgr_config_approval_t *approval, sgr_config_error_t *error);

#endif
