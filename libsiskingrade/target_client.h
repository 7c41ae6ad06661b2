#ifndef SGR_TARGET_CLIENT_H
#define SGR_TARGET_CLIENT_H

#include <h2o.h>

#include "buffer.h"

/** HTTP client to the one local target, with a pool of kept connections. */
typedef struct sgr_target_client_t sgr_target_client_t;

/** One request at the target. */
typedef struct sgr_target_request_t sgr_target_request_t;

/**
 * struct sgr_http_field_t - a header field; neither text ends with a zero
 */
typedef struct
{
  const char *name;
  size_t name_length;
  const char *value;
  size_t value_length;
} sgr_http_field_t;

/**
 * struct sgr_target_handlers_t - events of one request
 * @starting: the first byte is about to be sent; false to give up, which is reported by @failed
 * @head: status and header fields arrived; @body_length is -1 if it is not known yet
 * @body: bytes of the body arrived
 * @done: the whole answer arrived; the request is freed after this call
 * @failed: the request ended without a whole answer; freed after this call. @is_started tells
 *          whether any byte may have reached the target
 */
typedef struct
{
  bool (*starting) (void *ctx);
  void (*head) (void *ctx, int status, const sgr_http_field_t *fields, size_t count,
                int64_t body_length);
  void (*body) (void *ctx, const void *bytes, size_t length);
  void (*done) (void *ctx);
  void (*failed) (void *ctx, bool is_started, const char *reason);
} sgr_target_handlers_t;

/**
 * sgr_target_client_create() - make a client
 * @loop: event loop of the task
 * @address: address of the target
 * @connections: most connections
 */
sgr_target_client_t *sgr_target_client_create (h2o_loop_t *loop, const sgr_address_t *address,
                                               size_t connections);

/** sgr_target_client_is_idle() - whether no request is open */
bool sgr_target_client_is_idle (const sgr_target_client_t *client);

/** sgr_target_client_destroy() - close idle connections; no request may be open */
void sgr_target_client_destroy (sgr_target_client_t *client);

/**
 * sgr_target_request_start() - send a request
 * @client: the client
 * @message: whole HTTP/1.1 request, copied
 * @length: bytes of @message
 * @is_head: the method is HEAD, so that the answer has no body
 * @handlers: callbacks; none is called before this function returns
 * @ctx: passed to the callbacks
 */
sgr_target_request_t *sgr_target_request_start (sgr_target_client_t *client, const void *message,
                                                size_t length, bool is_head,
                                                const sgr_target_handlers_t *handlers, void *ctx);

/** sgr_target_request_pause() - stop reading the answer, for flow control */
void sgr_target_request_pause (sgr_target_request_t *request);
void sgr_target_request_resume (sgr_target_request_t *request);

/** sgr_target_request_cancel() - close the connection of a request and free it, no callback */
void sgr_target_request_cancel (sgr_target_request_t *request);

#endif
