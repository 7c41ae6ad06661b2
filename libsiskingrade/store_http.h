#ifndef SGR_STORE_HTTP_H
#define SGR_STORE_HTTP_H

#include <h2o.h>

#include "settings.h"
#include "store.h"

/**
 * struct sgr_store_http_options_t - where the key-value service is
 * @address: address of the service
 * @timeout_ms: longest wait for a reply of a call other than a watch
 */
typedef struct
{
  sgr_address_t address;
  uint32_t timeout_ms;
} sgr_store_http_options_t;

/**
 * sgr_store_http_create() - client of the key-value service, see docs/interfaces-store.md
 * @loop: event loop of the task that uses it
 * @options: copied
 */
sgr_store_t *sgr_store_http_create (h2o_loop_t *loop, const sgr_store_http_options_t *options);

/** sgr_store_http_open() - client of the service that the settings name */
sgr_store_t *sgr_store_http_open (h2o_loop_t *loop, const sgr_settings_t *settings);

/** sgr_store_http_destroy() - cancels pending calls without their callbacks */
void sgr_store_http_destroy (sgr_store_t *store);

#endif
