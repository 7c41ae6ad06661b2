#ifndef SGR_CONFIG_COMMIT_PRIVATE_H
#define SGR_CONFIG_COMMIT_PRIVATE_H

#include "config_commit.h"

/* Retries of one operation. They take about 10 s in all; an outage of the store that lasts longer
   is reported to the caller. */
#define OPERATION_RETRIES_MAX 8

typedef struct operation_t operation_t;

/**
 * struct operation_t - one proposal, approval, read or list in progress
 * @id: id of the change
 * @change_key: store key of the change
 * @current_key: store key of the newest record
 * @call: pending call to the store, NULL for none
 * @retries: retries so far
 * @write_unknown: the reply to a write was lost, so the write may have taken effect
 * @change: the change to propose, or the change read from the store; NULL until then
 * @digest: for an approval, digest that the owner signed
 * @approval: for an approval, the signature of the owner
 * @version: version of @change_key when @change was read
 * @text: value being written
 * @resume: function that continues the operation after a retry delay
 * @index: for a list, the change index; not owned
 * @index_writes: writes of the change index so far
 * @evicted_key: store key of the proposal that has lost its entry in the change index, "" for none
 * @error: reason of a failure
 */
struct operation_t
{
  operation_t *next;
  sgr_config_commit_t *commit;
  sgr_config_commit_cb_t cb;
  void *ctx;
  char id[SGR_NAME_MAX + 1];
  char change_key[SGR_STORE_KEY_MAX + 1];
  char current_key[SGR_STORE_KEY_MAX + 1];
  sgr_store_call_t *call;
  uint32_t retries;
  bool write_unknown;
  sgr_config_change_t *change;
  sgr_config_digest_t digest;
  sgr_config_approval_t approval;
  uint64_t version;
  char *text;
  void (*resume) (operation_t *op);
  const json_t *index;
  uint32_t index_writes;
  char evicted_key[SGR_STORE_KEY_MAX + 1];
  sgr_config_error_t error;
};

struct sgr_config_commit_t
{
  sgr_config_owners_t owners;
  sgr_store_t *store;
  sgr_config_commit_callbacks_t callbacks;
  void *ctx;
  sgr_rng_t rng;
  operation_t *operations;
  uint64_t unknown_write_count;
};

/** operation_finish() - report the result with op->error to the caller and release the operation */
void operation_finish (operation_t *op, sgr_result_t result);

/** operation_fail() - finish with an error that consists of @result, @path and @message */
void operation_fail (operation_t *op, sgr_result_t result, const char *path, const char *message);

/** operation_get() - read a key of the store; @cb receives the operation as its context */
void operation_get (operation_t *op, const char *key, sgr_store_cb_t cb);

/**
 * operation_swap() - write a key of the store if it still has version @expected
 * @op: the operation
 * @key: the key
 * @expected: version that was read, 0 for a key that must not exist yet
 * @text: new value, NULL to remove the key
 * @cb: receives the reply of the store, with the operation as its context
 */
void operation_swap (operation_t *op, const char *key, uint64_t expected, const char *text,
                     sgr_store_cb_t cb);

/**
 * operation_retry() - call @resume after an exponential delay with jitter
 *
 * Return: false if no retry is left; the caller then ends the operation.
 */
bool operation_retry (operation_t *op, void (*resume) (operation_t *op));

/**
 * operation_retry_or_fail() - handle a store call that failed
 * @op: the operation
 * @reply: reply of the store with another outcome than SGR_STORE_OK and SGR_STORE_CONFLICT
 * @resume: function that continues the operation, NULL for no retry
 *
 * Calls @resume after a delay if it is unknown whether this call or an earlier write took effect.
 * Otherwise, or if no retry is left, the operation ends with an error. The error is SGR_ERR_IO if
 * a write may have taken effect, and SGR_ERR_UNAVAILABLE in all other cases.
 */
void operation_retry_or_fail (operation_t *op, const sgr_store_reply_t *reply,
                              void (*resume) (operation_t *op));

/**
 * operation_offer_current() - pass on the record that was read from the store, which comes into
 * force at this node if it is valid and newer
 *
 * Return: the record that is in force afterwards, NULL for none.
 */
const sgr_config_record_t *operation_offer_current (operation_t *op,
                                                    const sgr_store_reply_t *reply);

/** sgr_config_propose_start() - check op->change and write it to the store */
void sgr_config_propose_start (operation_t *op);

/**
 * sgr_config_approve_start() - add op->approval to the change in the store
 *
 * If both owners have approved the change then, its record is written to the store, too.
 */
void sgr_config_approve_start (operation_t *op);

/** sgr_config_index_add() - add the proposal to the change index, then finish with SGR_OK */
void sgr_config_index_add (operation_t *op);

/** sgr_config_index_key() - write the store key of the change index */
void sgr_config_index_key (const char *deployment, char *key, size_t size);

/** sgr_config_index_parse() - read the change index; an invalid value yields an empty list */
json_t *sgr_config_index_parse (const void *text, size_t length);

#endif
