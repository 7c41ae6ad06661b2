#ifndef SGR_HTTP_LISTENER_H
#define SGR_HTTP_LISTENER_H

#include <h2o.h>
#include <jansson.h>

#include "types.h"

typedef struct sgr_http_listener_t sgr_http_listener_t;

/**
 * sgr_http_listener_create() - create an HTTP server that listens on one address
 * @loop: event loop
 * @address: where to listen; port 0 stands for a free port, which is then filled in
 * @body_max_bytes: largest request body
 * @setup: registers the handlers of paths on h2o's host configuration, before the server starts
 * @ctx: passed to @setup
 *
 * Return: the server, NULL if out of memory or if the address cannot be bound (see errno).
 */
sgr_http_listener_t *sgr_http_listener_create (h2o_loop_t *loop, sgr_address_t *address,
                                               size_t body_max_bytes,
                                               void (*setup) (void *ctx, h2o_hostconf_t *host),
                                               void *ctx);

/** sgr_http_listener_stop() - stop accepting and begin the graceful shutdown of open connections */
void sgr_http_listener_stop (sgr_http_listener_t *listener);

/** sgr_http_listener_destroy() - free the server; all its connections must be closed */
void sgr_http_listener_destroy (sgr_http_listener_t *listener);

/** sgr_http_listener_connections() - number of open connections */
size_t sgr_http_listener_connections (const sgr_http_listener_t *listener);

/** sgr_http_local_port() - port at which a request arrived, 0 if it is not known */
uint16_t sgr_http_local_port (h2o_req_t *req);

/** sgr_http_reply_json() - answer a request with JSON; releases the reference to @json */
void sgr_http_reply_json (h2o_req_t *req, int status, json_t *json);

/** sgr_http_reply_error() - answer a request with the JSON object { "reason", "path" } */
void sgr_http_reply_error (h2o_req_t *req, int status, const char *reason, const char *path);

/**
 * sgr_http_query_u64() - get a number from the query part of a request's URL
 * @req: the request
 * @name: name of the parameter
 * @value: receives the number; unchanged on failure
 *
 * Return: false if the parameter is absent, not a decimal number or has more than 18 digits.
 */
bool sgr_http_query_u64 (const h2o_req_t *req, const char *name, uint64_t *value);

/**
 * sgr_http_query_text() - get a text from the query part of a request's URL
 * @req: the request
 * @name: name of the parameter
 * @value: receives the text as it stands in the URL, without decoding of "%"
 * @size: size of @value in bytes, with the terminating zero
 *
 * Return: false if the parameter is absent or its value does not fit.
 */
bool sgr_http_query_text (const h2o_req_t *req, const char *name, char *value, size_t size);

#endif
