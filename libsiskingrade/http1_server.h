#ifndef SGR_HTTP1_SERVER_H
#define SGR_HTTP1_SERVER_H

#include <h2o.h>

#include "timer_heap.h"

/**
 * HTTP/1.1 connections of callers. Requests that a caller sends before the first one is answered
 * run at the same time; their answers leave in the order of the requests. h2o's own connections
 * handle one request after the other and do not notice while one runs that the caller has gone.
 */
typedef struct sgr_http1_server_t sgr_http1_server_t;

/**
 * struct sgr_http1_options_t - settings of the connections
 * @accept: h2o's context; also takes over connections that begin with HTTP/2's preface
 * @timers: timers of the task
 * @body_max_bytes: longest request body, a longer one is answered with 413
 * @head_max_bytes: longest request line and header fields, longer ones are answered with 431
 */
typedef struct
{
  h2o_accept_ctx_t *accept;
  sgr_timer_heap_t *timers;
  size_t body_max_bytes;
  size_t head_max_bytes;
} sgr_http1_options_t;

sgr_http1_server_t *sgr_http1_server_create (const sgr_http1_options_t *options);

/** sgr_http1_server_accept() - serve a connection; takes over @sock */
void sgr_http1_server_accept (sgr_http1_server_t *server, h2o_socket_t *sock);

/**
 * sgr_http1_server_drain() - read no further requests
 *
 * Requests that were read are answered; then their connections close.
 */
void sgr_http1_server_drain (sgr_http1_server_t *server);

/** sgr_http1_server_destroy() - close all connections */
void sgr_http1_server_destroy (sgr_http1_server_t *server);

#endif
