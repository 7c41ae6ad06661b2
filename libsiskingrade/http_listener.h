#ifndef SGR_HTTP_LISTENER_H
#define SGR_HTTP_LISTENER_H

#include <h2o.h>
#include <jansson.h>

#include "types.h"

typedef struct sgr_http_listener_t sgr_http_listener_t;

/**
 * sgr_http_listener_create() - HTTP server on one address of an event loop
 * @loop: event loop
 * @address: where to listen; port 0 picks a free one and is filled in
 * @body_max: longest request body in bytes
 * @setup: registers paths on the host before the server starts
 * @ctx: passed to @setup
 *
 * Return: the listener, NULL if the address cannot be bound (see errno).
 */
sgr_http_listener_t *sgr_http_listener_create (h2o_loop_t *loop, sgr_address_t *address,
                                               size_t body_max,
                                               void (*setup) (void *ctx, h2o_hostconf_t *host),
                                               void *ctx);

/** sgr_http_listener_stop() - stop accepting */
void sgr_http_listener_stop (sgr_http_listener_t *listener);

/** sgr_http_listener_destroy() - release everything; no connection may be open any more */
void sgr_http_listener_destroy (sgr_http_listener_t *listener);

/** sgr_http_listener_connections() - open connections */
size_t sgr_http_listener_connections (const sgr_http_listener_t *listener);

/** sgr_http_reply_json() - answer a request; releases @json */
void sgr_http_reply_json (h2o_req_t *req, int status, json_t *json);

/** sgr_http_reply_error() - answer with { "reason", "path" } */
void sgr_http_reply_error (h2o_req_t *req, int status, const char *reason, const char *path);

/** sgr_http_query_u64() - value of a query parameter; false if absent or not a number */
bool sgr_http_query_u64 (const h2o_req_t *req, const char *name, uint64_t *value);

/** sgr_http_query_text() - value of a query parameter; false if absent or too long */
bool sgr_http_query_text (const h2o_req_t *req, const char *name, char *value, size_t size);

#endif
