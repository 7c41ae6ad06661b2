#ifndef SGR_STORE_HTTP_H
#define SGR_STORE_HTTP_H

#include <h2o.h>

#include "settings.h"
#include "store.h"

/**
 * struct sgr_store_http_options_t - options of the client
 * @address: address of the key-value service
 * @timeout_ms: longest wait for the reply to any call but a watch, in milliseconds
 */
typedef struct
{
  sgr_address_t address;
  uint32_t timeout_ms;
} sgr_store_http_options_t;

/**
 * sgr_store_http_create() - create an HTTP client of the key-value service
 * @loop: event loop of the thread that uses the client
 * @options: copied
 *
 * docs/interfaces-store.md describes the protocol.
 *
 * Return: the client, NULL if memory is exhausted.
 */
sgr_store_t *sgr_store_http_create (h2o_loop_t *loop, const sgr_store_http_options_t *options);

/** sgr_store_http_open() - sgr_store_http_create() with the address from the settings */
sgr_store_t *sgr_store_http_open (h2o_loop_t *loop, const sgr_settings_t *settings);

/** sgr_store_http_destroy() - free the client; callbacks of pending calls do not run */
void sgr_store_http_destroy (sgr_store_t *store);

#endif
