#ifndef SGR_CONFIG_COMMIT_PRIVATE_H
#define SGR_CONFIG_COMMIT_PRIVATE_H

#include "config_commit.h"

/* Retries of one operation, over about 10 s; a store that is down for longer is reported. */
#define OPERATION_ATTEMPTS_MAX 8

typedef struct operation_t operation_t;

/**
 * struct operation_t - one proposal, approval or look-up on its way
 * @call: pending call of the store, NULL while none is
 * @attempts: retries so far
 * @unknown: a write of this operation may have taken effect
 * @change: the change, once it is known
 * @version: version of the change's key
 * @text: value being written
 * @resume: next step after a delay
 * @index: list of changes; borrowed
 * @index_rounds: attempts to enter the proposal into the index
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
  uint32_t attempts;
  bool unknown;
  sgr_config_change_t *change;
  sgr_config_digest_t digest;
  sgr_config_approval_t approval;
  uint64_t version;
  char *text;
  void (*resume) (operation_t *op);
  const json_t *index;
  uint32_t index_rounds;
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
  uint64_t unknown_count;
};

void operation_finish (operation_t *op, sgr_result_t result);
void operation_fail (operation_t *op, sgr_result_t result, const char *path, const char *message);
void operation_get (operation_t *op, const char *key, sgr_store_cb_t cb);
void operation_swap (operation_t *op, const char *key, uint64_t expected, const char *text,
                     sgr_store_cb_t cb);

/** operation_retry() - run @resume after a delay; false if all attempts are used */
bool operation_retry (operation_t *op, void (*resume) (operation_t *op));

/** operation_unreachable() - retry if an earlier write is unknown, else end as unavailable */
void operation_unreachable (operation_t *op, const sgr_store_reply_t *reply,
                            void (*resume) (operation_t *op));

/** operation_offer_current() - offer a read of the current key; the record in force here */
const sgr_config_record_t *operation_offer_current (operation_t *op,
                                                    const sgr_store_reply_t *reply);

void sgr_config_propose_start (operation_t *op);
void sgr_config_approve_start (operation_t *op);

/** sgr_config_index_add() - enter the proposal into the index, then finish with SGR_OK */
void sgr_config_index_add (operation_t *op);
void sgr_config_index_key (const char *deployment, char *key, size_t size);

/** sgr_config_index_parse() - list of changes; an unreadable value counts as empty */
json_t *sgr_config_index_parse (const void *text, size_t length);

#endif
