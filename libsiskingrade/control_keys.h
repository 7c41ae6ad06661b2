#ifndef SGR_CONTROL_KEYS_H
#define SGR_CONTROL_KEYS_H

#include "control_internal.h"
#include "store.h"

/**
 * sgr_control_keys_create() - set up the binding in the store of idempotency keys that
 * callers chose
 * @control: the control task
 * @store: the store; NULL if there is none, in which case every key is refused
 */
sgr_control_keys_t *sgr_control_keys_create (sgr_control_t *control, sgr_store_t *store);
void sgr_control_keys_destroy (sgr_control_keys_t *keys);

/**
 * sgr_control_keys_bind() - bind a key to a gate and send the reply to the data task
 * @keys: the bound keys
 * @request: the request, freed after the reply
 *
 * The reply names the gate that the key is bound to; if the key was bound before, this may be
 * another gate than the candidate in @request. Its result is SGR_ERR_UNAVAILABLE if there is no
 * store or the store did not confirm a binding.
 */
void sgr_control_keys_bind (sgr_control_keys_t *keys, sgr_data_key_bind_request_t *request);

#endif
