#ifndef SGR_DATA_KEYS_H
#define SGR_DATA_KEYS_H

#include "data_internal.h"
#include "data_service.h"

/** Issues idempotency keys, and binds callers' own keys to gates. */
sgr_data_keys_t *sgr_data_keys_create (sgr_data_task_t *task);
void sgr_data_keys_destroy (sgr_data_keys_t *keys);

/**
 * sgr_data_keys_issue() - issue a key that is bound to a gate of a service
 * @keys: the keys
 * @req: h2o request; if it is disposed of first, @done is not called
 * @service: the service
 * @regions: where calls with the key may be run
 * @done: called once with SGR_OK and the key, with SGR_ERR_NOT_FOUND if @regions is bound and has
 * no target, or with SGR_ERR_UNAVAILABLE if no gate was reachable within 2 s; may be called before
 *   this function returns
 * @ctx: passed to @done
 */
void sgr_data_keys_issue (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                          const sgr_region_limit_t *regions,
                          void (*done) (void *ctx, sgr_result_t result,
                                        const sgr_issued_key_t *key),
                          void *ctx);

/**
 * sgr_data_keys_bind() - bind a caller's own key to a gate, or find the gate that the key is bound
 * to
 * @keys: the keys
 * @req: h2o request; if it is disposed of first, @done is not called
 * @service: the service
 * @regions: where the call may be run; a new key is bound to a gate there
 * @key: hash of the key
 * @done: called once with the result; may be called before this function returns
 * @ctx: passed to @done
 *
 * The result is SGR_OK with the gate, which may be outside of @regions if the key was bound before;
 * SGR_ERR_NOT_FOUND if @regions is bound and has no target; SGR_ERR_LIMIT if the policy's
 * key_store_per_s is exceeded; or SGR_ERR_UNAVAILABLE if no gate was reachable within 2 s or the
 * store did not confirm the binding. The binding is kept in the store, so that all entries send
 * calls with the key to the same gate.
 */
void sgr_data_keys_bind (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                         const sgr_region_limit_t *regions, sgr_hash128_t key,
                         void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key),
                         void *ctx);

/** sgr_data_keys_bind_reply_handle() - handle the reply of the control task to a bind */
void sgr_data_keys_bind_reply_handle (sgr_data_keys_t *keys,
                                      const sgr_data_key_bind_reply_t *bound);

#endif
