#ifndef SGR_HTTP_FETCH_H
#define SGR_HTTP_FETCH_H

#include <h2o.h>

#include "types.h"

/* Header fields of a reply that one request may keep. */
#define SGR_HTTP_FETCH_HEADERS_MAX 4
/* Size of the value of a kept header field, terminating zero included; a longer value is
   truncated. */
#define SGR_HTTP_FETCH_VALUE_BYTES 64

typedef struct sgr_http_fetcher_t sgr_http_fetcher_t;
typedef struct sgr_http_fetch_t sgr_http_fetch_t;

/** sgr_http_fetch_progress_cb_t - reports that bytes of a reply have arrived */
typedef void (*sgr_http_fetch_progress_cb_t) (void *ctx);

/**
 * struct sgr_http_fetch_request_t - one request
 * @address: address of the server
 * @method: HTTP method
 * @path: path and query
 * @headers: additional header fields, each ended by CR LF, or NULL
 * @body: body, or NULL
 * @length: length of @body in bytes
 * @want: names of the header fields of the reply to keep, unused entries NULL; the names must stay
 *        valid until the request ends
 * @progress: called when the head of the reply has arrived, and for each part of the body, with the
 *            context of sgr_http_fetch_start(); must not cancel the request; may be NULL
 */
typedef struct
{
  sgr_address_t address;
  const char *method;
  const char *path;
  const char *headers;
  const void *body;
  size_t length;
  const char *want[SGR_HTTP_FETCH_HEADERS_MAX];
  sgr_http_fetch_progress_cb_t progress;
} sgr_http_fetch_request_t;

/**
 * struct sgr_http_fetch_reply_t - result of a request
 * @error: NULL for a complete reply, else a short text for logs and operators
 * @sent: whether the request may have reached the server
 * @status: HTTP status of a complete reply
 * @body: body of a complete reply, valid during the callback
 * @length: length of @body in bytes
 * @got: values of the header fields named in @want of the request, in its order; empty if absent
 */
typedef struct
{
  const char *error;
  bool sent;
  int status;
  const uint8_t *body;
  size_t length;
  char got[SGR_HTTP_FETCH_HEADERS_MAX][SGR_HTTP_FETCH_VALUE_BYTES];
} sgr_http_fetch_reply_t;

typedef void (*sgr_http_fetch_cb_t) (void *ctx, const sgr_http_fetch_reply_t *reply);

/**
 * sgr_http_fetcher_create() - create an HTTP/1.1 client for small messages
 * @loop: event loop
 * @timeout_ms: longest time in milliseconds that a request waits without progress
 * @body_max_bytes: largest reply body; a larger one is an error
 *
 * Each request uses a connection of its own.
 *
 * Return: the client, NULL if out of memory.
 */
sgr_http_fetcher_t *sgr_http_fetcher_create (h2o_loop_t *loop, uint32_t timeout_ms,
                                             size_t body_max_bytes);

/**
 * sgr_http_fetcher_destroy() - cancel pending requests without callbacks; free the client
 * @fetcher: the client; not to be called from within a callback of one of its requests
 */
void sgr_http_fetcher_destroy (sgr_http_fetcher_t *fetcher);

/**
 * sgr_http_fetch_start() - send a request
 * @fetcher: the client
 * @request: the request, copied except for the names in @want
 * @cb: callback, called exactly once and after this function has returned, unless the request is
 *      cancelled
 * @ctx: passed to @cb and to the progress callback of @request
 *
 * Return: the pending request, valid until @cb has returned.
 */
sgr_http_fetch_t *sgr_http_fetch_start (sgr_http_fetcher_t *fetcher,
                                        const sgr_http_fetch_request_t *request,
                                        sgr_http_fetch_cb_t cb, void *ctx);

/**
 * sgr_http_fetch_cancel() - end a pending request without its callback and free it
 * @fetch: the request; has no effect from within its callback
 */
void sgr_http_fetch_cancel (sgr_http_fetch_t *fetch);

#endif
