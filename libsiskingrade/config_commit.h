#ifndef SGR_CONFIG_COMMIT_H
#define SGR_CONFIG_COMMIT_H

#include "config_change.h"
#include "rng.h"
#include "store.h"

/* Changes in the index. Older ones are removed from the store with their proposals. */
#define SGR_CONFIG_INDEX_MAX 64

/**
 * The commit writes proposals, approvals and records to the store. It does no I/O of its own: the
 * store and the timer are passed in. A reply that is lost is resolved by reading back; a write is
 * repeated only as the same compare-and-swap, which cannot take effect twice.
 */
typedef struct sgr_config_commit_t sgr_config_commit_t;

/**
 * struct sgr_config_commit_result_t - end of an operation
 * @result: SGR_OK; SGR_ERR_CONFLICT; SGR_ERR_UNAVAILABLE: not done, may be repeated; SGR_ERR_IO:
 *          unknown whether it took effect, read the change back; SGR_ERR_NOT_FOUND,
 *          SGR_ERR_INVALID, SGR_ERR_DENIED, SGR_ERR_LIMIT
 * @error: path and reason if @result is not SGR_OK
 * @change: the change, or NULL; valid during the callback
 * @in_force: whether the change has taken effect
 * @index: list of recent changes for sgr_config_commit_list(), or NULL
 */
typedef struct
{
  sgr_result_t result;
  sgr_config_error_t error;
  const sgr_config_change_t *change;
  bool in_force;
  const json_t *index;
} sgr_config_commit_result_t;

typedef void (*sgr_config_commit_cb_t) (void *ctx, const sgr_config_commit_result_t *result);

/**
 * struct sgr_config_commit_callbacks_t - what the owner of the commit provides
 * @record: a record has taken effect or was read; offer it to the state
 * @current: record in force at this node, NULL for none
 * @delay: run @fire after @delay_ms
 */
typedef struct
{
  void (*record) (void *ctx, const void *text, size_t length);
  const sgr_config_record_t *(*current) (void *ctx);
  void (*delay) (void *ctx, uint32_t delay_ms, void (*fire) (void *fire_ctx), void *fire_ctx);
} sgr_config_commit_callbacks_t;

sgr_config_commit_t *sgr_config_commit_create (const sgr_config_owners_t *owners,
                                               sgr_store_t *store, uint64_t seed,
                                               const sgr_config_commit_callbacks_t *callbacks,
                                               void *ctx);

/** sgr_config_commit_destroy() - drops operations without their callbacks; no delay may fire later
 */
void sgr_config_commit_destroy (sgr_config_commit_t *commit);

/**
 * sgr_config_commit_propose() - write a proposal
 * @change: as parsed, owned by the commit from now on; approvals in it are verified
 */
void sgr_config_commit_propose (sgr_config_commit_t *commit, sgr_config_change_t *change,
                                sgr_config_commit_cb_t cb, void *ctx);

/**
 * sgr_config_commit_approve() - add an approval and, with both, let the change take effect
 * @id: id of the change
 * @digest: digest that the owner signed; a proposal with another one has been changed
 * @approval: the signature
 */
void sgr_config_commit_approve (sgr_config_commit_t *commit, const char *id,
                                const sgr_config_digest_t *digest,
                                const sgr_config_approval_t *approval, sgr_config_commit_cb_t cb,
                                void *ctx);

void sgr_config_commit_get (sgr_config_commit_t *commit, const char *id, sgr_config_commit_cb_t cb,
                            void *ctx);
void sgr_config_commit_list (sgr_config_commit_t *commit, sgr_config_commit_cb_t cb, void *ctx);

/** sgr_config_commit_unknown_count() - writes so far whose reply was lost */
uint64_t sgr_config_commit_unknown_count (const sgr_config_commit_t *commit);

/** sgr_config_commit_current_key() - key of the record in force of a deployment */
void sgr_config_commit_current_key (const char *deployment, char *key, size_t size);

#endif
