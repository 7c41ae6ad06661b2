#ifndef SGR_HTTP_REQUEST_H
#define SGR_HTTP_REQUEST_H

#include <h2o.h>

#include "buffer.h"
#include "result.h"

/** One HTTP/1.1 request on a connection of its own, with the whole answer in memory. */
typedef struct sgr_http_request_t sgr_http_request_t;

/**
 * struct sgr_http_request_answer_t - end of a request
 * @result: SGR_OK with an answer, SGR_ERR_UNAVAILABLE without
 * @is_sent: some byte of the request may have reached the server
 * @status: HTTP status
 * @body: body, valid during the callback
 * @length: bytes of @body
 */
typedef struct
{
  sgr_result_t result;
  bool is_sent;
  int status;
  const char *body;
  size_t length;
} sgr_http_request_answer_t;

/**
 * sgr_http_request_start() - send a request
 * @ctx: client context of the event loop; its io_timeout ends a request
 * @to: server
 * @method: HTTP method
 * @path: path with the query
 * @fields: further header lines, each ended by CR LF, "" for none
 * @body: JSON body, NULL for none
 * @done: called once, never before this function returns
 * @user: passed to @done
 */
sgr_http_request_t *
sgr_http_request_start (h2o_http1client_ctx_t *ctx, const sgr_address_t *to, const char *method,
                        const char *path, const char *fields, const char *body,
                        void (*done) (void *user, const sgr_http_request_answer_t *answer),
                        void *user);

/** sgr_http_request_cancel() - drop a request that has not ended, @done is not called */
void sgr_http_request_cancel (sgr_http_request_t *request);

#endif
