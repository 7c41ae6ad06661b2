#ifndef SGR_DATA_KEYS_H
#define SGR_DATA_KEYS_H

#include "data_internal.h"
#include "data_service.h"

/** Issues idempotency keys and binds callers' own keys to a gate. */
sgr_data_keys_t *sgr_data_keys_create (sgr_data_task_t *task);
void sgr_data_keys_destroy (sgr_data_keys_t *keys);

/**
 * sgr_data_keys_issue() - make a key for a service
 * @keys: the keys
 * @req: request that is kept alive by the caller of h2o; the callback is not called once it ended
 * @service: the service
 * @done: called once with the key, or with SGR_ERR_UNAVAILABLE if no gate could be reached
 * @ctx: passed to @done
 */
void sgr_data_keys_issue (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                          void (*done) (void *ctx, sgr_result_t result,
                                        const sgr_issued_key_t *key),
                          void *ctx);

/**
 * sgr_data_keys_bind() - find or set the gate of a caller's own key, by the store
 * @keys: the keys
 * @req: as above
 * @service: the service
 * @key: hash of the key
 * @done: called once with the gate, or with SGR_ERR_LIMIT, SGR_ERR_UNAVAILABLE
 * @ctx: passed to @done
 */
void sgr_data_keys_bind (sgr_data_keys_t *keys, h2o_req_t *req, sgr_data_service_t *service,
                         sgr_hash128_t key,
                         void (*done) (void *ctx, sgr_result_t result, const sgr_issued_key_t *key),
                         void *ctx);

/** sgr_data_keys_bound() - reply of the control task */
void sgr_data_keys_bound (sgr_data_keys_t *keys, const sgr_data_key_bound_t *bound);

#endif
