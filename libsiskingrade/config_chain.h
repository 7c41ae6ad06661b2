#ifndef SGR_CONFIG_CHAIN_H
#define SGR_CONFIG_CHAIN_H

#include <sodium.h>

#include "buffer.h"
#include "config_resource.h"

#define SGR_CONFIG_OWNERS 2
#define SGR_CONFIG_KEY_BYTES crypto_sign_PUBLICKEYBYTES
#define SGR_CONFIG_SIGNATURE_BYTES crypto_sign_BYTES
/* Ancestors written with a record. A node that holds one of them checks that the record descends
   from it; 16 cover 13 minutes at 1,700 changes a day and take about 3.5 KB. */
#define SGR_CONFIG_LINEAGE_MAX 16
/* Largest record: the store holds values up to 1 MB. */
#define SGR_CONFIG_VALUE_MAX 1000000

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
 * struct sgr_config_owners_t - who must approve, from the settings of the node
 * @deployment: name of the deployment; part of what is signed
 * @owner: the co-owners
 */
typedef struct
{
  char deployment[SGR_NAME_MAX + 1];
  sgr_config_owner_t owner[SGR_CONFIG_OWNERS];
} sgr_config_owners_t;

/**
 * struct sgr_config_statement_t - what an owner signs
 * @id: id of the change
 * @author: who proposed it
 * @revision: revision that the change becomes, the base revision plus one
 * @predecessor: digest of the statement of the base revision, zero for the first
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
 * struct sgr_config_approval_t - the signature of one owner; unused while @owner is empty
 */
typedef struct
{
  char owner[SGR_NAME_MAX + 1];
  uint8_t signature[SGR_CONFIG_SIGNATURE_BYTES];
} sgr_config_approval_t;

/**
 * struct sgr_config_record_t - a revision that took effect, verified
 * @statement: what both owners signed
 * @digest: digest of @statement, the predecessor digest of the next revision
 * @approvals: both signatures, in the order of the owners in the settings
 * @content: services and policies
 * @lineage: statements of the ancestors, newest first, verified by their digests
 * @lineage_count: used entries of @lineage
 * @text: the record as the store and the peers carry it
 */
typedef struct
{
  sgr_config_statement_t statement;
  sgr_config_digest_t digest;
  sgr_config_approval_t approvals[SGR_CONFIG_OWNERS];
  sgr_config_content_t *content;
  sgr_config_statement_t lineage[SGR_CONFIG_LINEAGE_MAX];
  size_t lineage_count;
  sgr_buffer_t text;
} sgr_config_record_t;

/**
 * sgr_config_statement_digest() - digest of a statement for one deployment
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
 * sgr_config_approval_verify() - check one signature
 *
 * Return: index of the owner, or -1 with @error set: unknown owner or wrong signature.
 */
int sgr_config_approval_verify (const sgr_config_owners_t *owners,
                                const sgr_config_digest_t *digest,
                                const sgr_config_approval_t *approval, sgr_config_error_t *error);

/**
 * sgr_config_record_verify() - parse a record and verify everything that it claims
 * @owners: the owners
 * @text: the record
 * @length: its length in bytes
 * @record: receives the record
 * @error: receives the reason of a refusal
 *
 * Checked: form, both signatures over the statement, the digest of the content, the resources and
 * the digests of the lineage. A node with an empty state needs nothing else to trust it.
 *
 * Return: SGR_OK, SGR_ERR_INVALID, SGR_ERR_DENIED for signatures, SGR_ERR_LIMIT for the size.
 */
sgr_result_t sgr_config_record_verify (const sgr_config_owners_t *owners, const void *text,
                                       size_t length, sgr_config_record_t **record,
                                       sgr_config_error_t *error);

/**
 * sgr_config_record_verify_step() - as sgr_config_record_verify(), for a step from a known record
 * @base: record that the step starts from; the content is its content with the step's edits
 *
 * Return: as sgr_config_record_verify(); SGR_ERR_CONFLICT if the step starts from another revision.
 */
sgr_result_t sgr_config_record_verify_step (const sgr_config_owners_t *owners, const void *text,
                                            size_t length, const sgr_config_record_t *base,
                                            sgr_config_record_t **record,
                                            sgr_config_error_t *error);

/**
 * sgr_config_record_write() - the JSON of a record without its content
 *
 * Return: a new object, to which the caller adds "content" or the fields of a step.
 */
json_t *sgr_config_record_write (const char *deployment, const sgr_config_record_t *record);

/**
 * sgr_config_owners_check() - two owners with different names and keys
 */
sgr_result_t sgr_config_owners_check (const sgr_config_owners_t *owners, sgr_config_error_t *error);

/**
 * sgr_config_chain_accept() - whether a verified record may replace the one in force
 * @current: record in force, NULL for none
 * @next: verified candidate
 * @error: receives the reason of a refusal
 *
 * Return: SGR_OK; SGR_ERR_CONFLICT for a revision that is not higher or that does not descend from
 * @current.
 */
sgr_result_t sgr_config_chain_accept (const sgr_config_record_t *current,
                                      const sgr_config_record_t *next, sgr_config_error_t *error);

/**
 * sgr_config_record_contains() - whether a statement is a record's own or one of its ancestors'
 *
 * Return: 1 if it is, 0 if another statement has its revision, -1 if the lineage does not reach
 * back to it or the record is older.
 */
int sgr_config_record_contains (const char *deployment, const sgr_config_record_t *record,
                                const sgr_config_digest_t *digest, uint64_t revision);

sgr_config_record_t *sgr_config_record_create (void);
void sgr_config_record_destroy (sgr_config_record_t *record);

json_t *sgr_config_statement_write (const sgr_config_statement_t *statement);
sgr_result_t sgr_config_statement_read (const json_t *json, const char *path,
                                        sgr_config_statement_t *statement,
                                        sgr_config_error_t *error);
json_t *sgr_config_approval_write (const sgr_config_approval_t *approval);
sgr_result_t sgr_config_approval_read (const json_t *json, const char *path,
                                       sgr_config_approval_t *approval, sgr_config_error_t *error);

#endif
