#ifndef SGR_HTTP_FETCH_H
#define SGR_HTTP_FETCH_H

#include <h2o.h>

#include "types.h"

#define SGR_HTTP_FETCH_HEADERS 3
#define SGR_HTTP_FETCH_VALUE 64

typedef struct sgr_http_fetcher_t sgr_http_fetcher_t;
typedef struct sgr_http_fetch_t sgr_http_fetch_t;

/**
 * struct sgr_http_fetch_request_t - one request; copied
 * @address: server
 * @method: HTTP method
 * @path: path and query
 * @headers: additional header lines, each ended by CR LF, or NULL
 * @body: body, or NULL
 * @length: its length in bytes
 * @want: lower-case names of reply headers to keep, unused ones NULL
 */
typedef struct
{
  sgr_address_t address;
  const char *method;
  const char *path;
  const char *headers;
  const void *body;
  size_t length;
  const char *want[SGR_HTTP_FETCH_HEADERS];
} sgr_http_fetch_request_t;

/**
 * struct sgr_http_fetch_reply_t - end of a request
 * @error: NULL for a complete reply, else a short reason
 * @sent: whether the request may have reached the server
 * @status: HTTP status of a complete reply
 * @body: body of a complete reply, valid during the callback
 * @length: its length in bytes
 * @got: values of the wanted headers, empty if absent
 */
typedef struct
{
  const char *error;
  bool sent;
  int status;
  const uint8_t *body;
  size_t length;
  char got[SGR_HTTP_FETCH_HEADERS][SGR_HTTP_FETCH_VALUE];
} sgr_http_fetch_reply_t;

typedef void (*sgr_http_fetch_cb_t) (void *ctx, const sgr_http_fetch_reply_t *reply);

/**
 * sgr_http_fetcher_create() - HTTP/1.1 client for small messages, one connection per request
 * @loop: event loop
 * @timeout_ms: longest silence of the server
 * @body_max: longest reply body in bytes; a longer one is an error
 */
sgr_http_fetcher_t *sgr_http_fetcher_create (h2o_loop_t *loop, uint32_t timeout_ms,
                                             size_t body_max);

/** sgr_http_fetcher_destroy() - cancels pending requests without their callbacks */
void sgr_http_fetcher_destroy (sgr_http_fetcher_t *fetcher);

/**
 * sgr_http_fetch_start() - send a request
 *
 * Return: the pending request, valid until its callback starts. The callback runs exactly once,
 * after this call has returned, unless the request is cancelled.
 */
sgr_http_fetch_t *sgr_http_fetch_start (sgr_http_fetcher_t *fetcher,
                                        const sgr_http_fetch_request_t *request,
                                        sgr_http_fetch_cb_t cb, void *ctx);
void sgr_http_fetch_cancel (sgr_http_fetch_t *fetch);

#endif
