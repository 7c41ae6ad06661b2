#ifndef SGR_CONFIG_COMMIT_H
#define SGR_CONFIG_COMMIT_H

#include "config_change.h"
#include "rng.h"
#include "store.h"

/* Most entries of the change index, a list in the store of the latest proposals. A new entry evicts
   the oldest one, whose proposal is then removed from the store. */
#define SGR_CONFIG_INDEX_ENTRIES_MAX 64

/**
 * struct sgr_config_commit_t - writes proposals, approvals and records to the store
 *
 * It does no I/O of its own: the store and the timer are passed in. After a lost reply to a write
 * it reads the key to find out whether the write took effect. It repeats a write only as the same
 * compare-and-swap, which cannot take effect twice.
 */
typedef struct sgr_config_commit_t sgr_config_commit_t;

/**
 * struct sgr_config_commit_result_t - result of an operation
 * @result: SGR_OK; SGR_ERR_CONFLICT if another change or approval precludes this one;
 *          SGR_ERR_UNAVAILABLE if the operation was not done and may be repeated; SGR_ERR_IO if it
 *          is unknown whether it took effect, so that the change has to be read again;
 *          SGR_ERR_NOT_FOUND if no change has the id; SGR_ERR_INVALID, SGR_ERR_DENIED or
 *          SGR_ERR_LIMIT if the change or approval is not valid
 * @error: path and reason if @result is not SGR_OK
 * @change: the change, or NULL; valid during the callback
 * @in_force: whether the record in force at this node was made from the change, or lists it as an
 *            ancestor
 * @index: for sgr_config_commit_list() the change index, valid during the callback; otherwise NULL
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
 * struct sgr_config_commit_callbacks_t - functions that the user of sgr_config_commit_t provides
 * @offer_record: offer a record, which was written to the store or read from it, to the state
 * @record_in_force: return the record in force at this node, NULL for none
 * @start_delay: call @fire with @fire_ctx after @delay_ms
 */
typedef struct
{
  void (*offer_record) (void *ctx, const void *text, size_t length);
  const sgr_config_record_t *(*record_in_force) (void *ctx);
  void (*start_delay) (void *ctx, uint32_t delay_ms, void (*fire) (void *fire_ctx), void *fire_ctx);
} sgr_config_commit_callbacks_t;

/**
 * sgr_config_commit_create() - create an object that writes the changes of one deployment
 * @owners: the owners, copied
 * @store: the store, valid as long as the object
 * @seed: seed of the jitter of retry delays
 * @callbacks: the callbacks, copied
 * @ctx: argument of the callbacks
 *
 * Return: the object, NULL if memory is exhausted.
 */
sgr_config_commit_t *sgr_config_commit_create (const sgr_config_owners_t *owners,
                                               sgr_store_t *store, uint64_t seed,
                                               const sgr_config_commit_callbacks_t *callbacks,
                                               void *ctx);

/**
 * sgr_config_commit_destroy() - cancel all operations and release the object
 *
 * The callbacks of the operations do not run. The caller must cancel the delays that @start_delay
 * started, since the functions that they call use the operations.
 */
void sgr_config_commit_destroy (sgr_config_commit_t *commit);

/**
 * sgr_config_commit_propose() - verify a proposed change and write it to the store
 * @commit: the object
 * @change: the change with its approvals; this function takes ownership of it
 * @cb: called once with the result. It runs before this function returns if the store refuses the
 *      key because of its length.
 * @ctx: argument of @cb
 */
void sgr_config_commit_propose (sgr_config_commit_t *commit, sgr_config_change_t *change,
                                sgr_config_commit_cb_t cb, void *ctx);

/**
 * sgr_config_commit_approve() - add an approval to a change in the store
 * @commit: the object
 * @id: id of the change
 * @digest: digest that the owner signed; a proposal with another digest is refused with
 *          SGR_ERR_DENIED, because it is not the one that the owner reviewed
 * @approval: the approval
 * @cb: as for sgr_config_commit_propose()
 * @ctx: argument of @cb
 *
 * With the approvals of both owners, the record of the change is written to the store, and so the
 * change takes effect.
 */
void sgr_config_commit_approve (sgr_config_commit_t *commit, const char *id,
                                const sgr_config_digest_t *digest,
                                const sgr_config_approval_t *approval, sgr_config_commit_cb_t cb,
                                void *ctx);

/** sgr_config_commit_get() - read a change by its id */
void sgr_config_commit_get (sgr_config_commit_t *commit, const char *id, sgr_config_commit_cb_t cb,
                            void *ctx);

/** sgr_config_commit_list() - read the change index: ids, authors, revisions and digests */
void sgr_config_commit_list (sgr_config_commit_t *commit, sgr_config_commit_cb_t cb, void *ctx);

/** sgr_config_commit_unknown_write_count() - number of writes so far whose reply was lost */
uint64_t sgr_config_commit_unknown_write_count (const sgr_config_commit_t *commit);

/** sgr_config_commit_current_key() - write the store key of the newest record of a deployment */
void sgr_config_commit_current_key (const char *deployment, char *key, size_t size);

#endif
