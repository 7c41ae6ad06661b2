#ifndef SGR_HTTP1_CONN_H
#define SGR_HTTP1_CONN_H

#include <h2o.h>
#include <http_parser.h>

#include "buffer.h"
#include "http1_server.h"

/* Shared by http1_server.c, http1_conn.c and http1_request.c only. */

#define SGR_HTTP1_FIELDS_MAX 100

typedef struct sgr_http1_conn_t sgr_http1_conn_t;

/** struct sgr_http1_field_t - places of a field in the text of its head */
typedef struct
{
  size_t name_at;
  size_t name_length;
  size_t value_at;
  size_t value_length;
} sgr_http1_field_t;

/**
 * struct sgr_http1_request_t - a request and the answer to it
 * @req: request as h2o's handlers see it
 * @ostream: takes the answer from h2o
 * @text: target, names and values of the head while it is read
 * @target_length: bytes of the request's target, at the start of @text
 * @fields: header fields
 * @body: body of the request
 * @refusal: text of an answer that no handler made, NULL for a request that h2o handles
 * @output: part of the answer that waits for its turn or is being written
 * @has_output: whether @output is to be written
 * @output_state: whether more follows
 * @is_head_sent: the head of the answer was written
 */
typedef struct sgr_http1_request_t
{
  h2o_req_t req;
  h2o_ostream_t ostream;
  sgr_http1_conn_t *conn;
  struct sgr_http1_request_t *next;
  sgr_buffer_t text;
  size_t target_length;
  sgr_http1_field_t fields[SGR_HTTP1_FIELDS_MAX];
  size_t field_count;
  bool is_value;
  sgr_buffer_t body;
  const char *refusal;
  h2o_iovec_t *output;
  size_t output_count;
  bool has_output;
  h2o_send_state_t output_state;
  bool is_head_sent;
} sgr_http1_request_t;

/**
 * struct sgr_http1_conn_t - a connection of a caller
 * @reading: request that is being read
 * @first: oldest request without a whole answer; the only one whose answer is written
 * @open: requests that were read and are not answered
 * @complete: request whose last byte was read
 * @error_status: status for a request that cannot be read, 0 for none
 * @timer: ends an idle connection, or one whose caller stands still
 * @step: goes on after a part of an answer without bytes
 * @is_last_read: no further request is read
 * @is_lingering: everything is answered, the caller's remaining bytes are discarded
 */
struct sgr_http1_conn_t
{
  h2o_conn_t super;
  sgr_http1_server_t *server;
  sgr_http1_conn_t *next;
  sgr_http1_conn_t *previous;
  h2o_socket_t *sock;
  http_parser parser;
  sgr_http1_request_t *reading;
  sgr_http1_request_t *complete;
  sgr_http1_request_t *first;
  sgr_http1_request_t *last;
  size_t open;
  int error_status;
  sgr_timer_t timer;
  sgr_timer_t step;
  bool is_writing;
  bool is_continuing;
  bool is_last_read;
  bool is_lingering;
};

/**
 * struct sgr_http1_server_t - all connections
 */
struct sgr_http1_server_t
{
  sgr_http1_options_t options;
  sgr_http1_conn_t *first;
  bool is_draining;
};

/* http1_conn.c */
void sgr_http1_conn_create (sgr_http1_server_t *server, h2o_socket_t *sock,
                            struct timeval connected_at);
void sgr_http1_conn_close (sgr_http1_conn_t *conn);
/** sgr_http1_conn_drain() - read no further request; closes the connection if it is idle */
void sgr_http1_conn_drain (sgr_http1_conn_t *conn);
/** sgr_http1_conn_flush() - write what the oldest request has to say */
void sgr_http1_conn_flush (sgr_http1_conn_t *conn);
/** sgr_http1_conn_continue() - tell the caller to send the body */
void sgr_http1_conn_continue (sgr_http1_conn_t *conn);

/* http1_request.c */
sgr_http1_request_t *sgr_http1_request_create (sgr_http1_conn_t *conn);
void sgr_http1_request_destroy (sgr_http1_request_t *request);
/** sgr_http1_request_start() - hand a request that was read to h2o */
void sgr_http1_request_start (sgr_http1_request_t *request);
/** sgr_http1_request_refuse() - make the answer to a request that cannot be read */
void sgr_http1_request_refuse (sgr_http1_request_t *request, int status);
/**
 * sgr_http1_request_vectors() - the output with the head in front, once
 * @request: the request
 * @closes: the connection closes after this answer
 * @count: receives the number of vectors
 *
 * Return: vectors in the request's memory.
 */
h2o_iovec_t *sgr_http1_request_vectors (sgr_http1_request_t *request, bool closes, size_t *count);

extern const http_parser_settings sgr_http1_parser_settings;

#endif
