#ifndef SGR_CONTROL_KEYS_H
#define SGR_CONTROL_KEYS_H

#include "control_internal.h"
#include "store.h"

/**
 * sgr_control_keys_create() - binds callers' own idempotency keys in the store
 * @control: the control task
 * @store: the store, NULL if there is none: every key is refused then
 */
sgr_control_keys_t *sgr_control_keys_create (sgr_control_t *control, sgr_store_t *store);
void sgr_control_keys_destroy (sgr_control_keys_t *keys);

/** sgr_control_keys_bind() - bind a key, reply to the data task; takes over @bind */
void sgr_control_keys_bind (sgr_control_keys_t *keys, sgr_data_key_bind_t *bind);

#endif
