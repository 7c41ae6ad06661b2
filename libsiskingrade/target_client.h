#ifndef SGR_TARGET_CLIENT_H
#define SGR_TARGET_CLIENT_H

#include <h2o.h>

#include "buffer.h"

/** HTTP/1.1 client for the one local target, with a pool of persistent connections. */
typedef struct sgr_target_client_t sgr_target_client_t;

/** A request to the target. */
typedef struct sgr_target_request_t sgr_target_request_t;

/**
 * struct sgr_http_field_t - a header field
 * @name: name, without a terminating zero
 * @name_length: length of @name in bytes
 * @value: value, without a terminating zero
 * @value_length: length of @value in bytes
 */
typedef struct
{
  const char *name;
  size_t name_length;
  const char *value;
  size_t value_length;
} sgr_http_field_t;

/**
 * struct sgr_target_handlers_t - callbacks for the events of one request
 * @starting: a connection is ready and the first byte is about to be sent; return false to end the
 *            request unsent, which calls @failed
 * @head: status and header fields arrived; @body_length is -1 if it is not known yet
 * @body: bytes of the body arrived
 * @done: the whole answer arrived; the request is freed after this call
 * @failed: the request ended without a whole answer and is freed after this call; @is_started says
 *          whether any byte may have reached the target, @reason is a short text
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
 * sgr_target_client_create() - create a client
 * @loop: event loop of the task
 * @address: address of the target
 * @connections_max: most connections at a time
 */
sgr_target_client_t *sgr_target_client_create (h2o_loop_t *loop, const sgr_address_t *address,
                                               size_t connections_max);

/** sgr_target_client_is_idle() - whether the client has no request in progress */
bool sgr_target_client_is_idle (const sgr_target_client_t *client);

/**
 * sgr_target_client_destroy() - close the idle connections and free the client
 * @client: the client, which must have no request in progress, so that it cannot be destroyed from
 *          within a callback of one; NULL is allowed
 */
void sgr_target_client_destroy (sgr_target_client_t *client);

/**
 * sgr_target_request_start() - send a request
 * @client: the client
 * @head: head of the HTTP/1.1 request, with the empty line; the content is taken over
 * @body: body of the request, NULL for none; the content is taken over
 * @is_head: whether the method is HEAD, whose answer has no body
 * @handlers: callbacks; none is called before this function has returned, so that the caller can
 *            store the request first
 * @ctx: passed to the callbacks
 *
 * Return: the request, valid until the callback done or failed has returned.
 */
sgr_target_request_t *sgr_target_request_start (sgr_target_client_t *client, sgr_buffer_t *head,
                                                sgr_buffer_t *body, bool is_head,
                                                const sgr_target_handlers_t *handlers, void *ctx);

/** sgr_target_request_pause() - stop reading the answer for a while, for flow control */
void sgr_target_request_pause (sgr_target_request_t *request);
void sgr_target_request_resume (sgr_target_request_t *request);

/**
 * sgr_target_request_cancel() - close the connection and free the request, without a callback
 * @request: the request; from within one of its callbacks, it is freed when that has returned
 */
void sgr_target_request_cancel (sgr_target_request_t *request);

#endif
