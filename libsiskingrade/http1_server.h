#ifndef SGR_HTTP1_SERVER_H
#define SGR_HTTP1_SERVER_H

#include <h2o.h>

#include "memory_budget.h"
#include "timer_heap.h"

/**
 * HTTP/1.1 connections of callers. Pipelined requests run at the same time and are answered in
 * their order. h2o's own HTTP/1.1 connections are not used: they handle one request after another
 * and do not detect, while a request runs, that the caller has closed the connection.
 */
typedef struct sgr_http1_server_t sgr_http1_server_t;

/**
 * struct sgr_http1_options_t - settings of the connections
 * @accept: h2o's context, which also handles connections that begin with HTTP/2's preface
 * @timers: timer heap of the task that serves the connections
 * @body_max_bytes: largest request body; a larger one is answered with 413
 * @head_max_bytes: largest total of request URL, field names and field values; a larger one is
 *                  answered with 431
 * @memory: budget that counts the requests, NULL for none
 * @connections_max: most connections; beyond, one without a whole request makes room, or else the
 *                   new connection is closed
 * @head_timeout_us: longest time for the head of a request, microseconds
 * @stall_timeout_us: longest time without a byte of a body, or without a byte that the caller takes
 *                    of an answer, microseconds
 * @rejected: called with the status of the answer when a request is answered without being passed
 *            on: 400, 408, 413, 431, or 503 for lack of memory; may be NULL
 * @closed_for_room: called when a connection was closed because there are @connections_max; may be
 *                   NULL
 * @ctx: passed to @rejected and @closed_for_room
 */
typedef struct
{
  h2o_accept_ctx_t *accept;
  sgr_timer_heap_t *timers;
  size_t body_max_bytes;
  size_t head_max_bytes;
  sgr_memory_budget_t *memory;
  size_t connections_max;
  uint64_t head_timeout_us;
  uint64_t stall_timeout_us;
  void (*rejected) (void *ctx, int status);
  void (*closed_for_room) (void *ctx);
  void *ctx;
} sgr_http1_options_t;

/** sgr_http1_server_create() - create a server without connections; copies @options */
sgr_http1_server_t *sgr_http1_server_create (const sgr_http1_options_t *options);

/** sgr_http1_server_accept() - serve an accepted connection; takes ownership of @sock */
void sgr_http1_server_accept (sgr_http1_server_t *server, h2o_socket_t *sock);

/**
 * sgr_http1_server_leave() - close each connection after an answer behind which no request waits
 *
 * An idle connection stays open, and closes after its next request.
 */
void sgr_http1_server_leave (sgr_http1_server_t *server);

/**
 * sgr_http1_server_drain() - as sgr_http1_server_leave(), and close idle connections soon
 *
 * An idle connection waits a moment for a request that its caller may have sent already, because
 * the caller could not tell whether a request that meets a close was run.
 */
void sgr_http1_server_drain (sgr_http1_server_t *server);

/** sgr_http1_server_connection_count() - open connections, those that only discard input included
 */
size_t sgr_http1_server_connection_count (const sgr_http1_server_t *server);

/** sgr_http1_server_is_own() - whether a connection is one of HTTP/1.1 that a server of this file
 * serves, which counts its requests itself */
bool sgr_http1_server_is_own (const h2o_conn_t *conn);

/** sgr_http1_server_destroy() - close all connections at once and free the server; NULL is allowed
 */
void sgr_http1_server_destroy (sgr_http1_server_t *server);

#endif
