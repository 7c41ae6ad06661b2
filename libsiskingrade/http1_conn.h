#ifndef SGR_HTTP1_CONN_H
#define SGR_HTTP1_CONN_H

#include <h2o.h>
#include <http_parser.h>

#include "buffer.h"
#include "http1_server.h"

/* Shared by http1_server.c, http1_conn.c and http1_request.c only. */

/* Header fields of a request; a request with more is answered with 431. */
#define SGR_HTTP1_FIELDS_MAX 100

typedef struct sgr_http1_conn_t sgr_http1_conn_t;

/** struct sgr_http1_field_t - position of a header field within @head_text of its request */
typedef struct
{
  size_t name_offset;
  size_t name_length;
  size_t value_offset;
  size_t value_length;
} sgr_http1_field_t;

/**
 * struct sgr_http1_request_t - a request and its answer
 * @req: the request in the form that h2o's handlers use
 * @ostream: receives the answer from h2o
 * @conn: connection of the request
 * @next: next newer request of the connection
 * @head_text: request URL, field names and field values, collected while the head is parsed
 * @url_length: length of the request URL, with which @head_text starts, in bytes
 * @fields: header fields
 * @field_count: used entries of @fields
 * @is_parsing_value: the parser has begun the value of the last entry of @fields
 * @is_head_complete: the whole head was parsed
 * @body: body of the request
 * @memory_bytes: bytes that are counted for the request
 * @error_text: whole answer to a request that is not passed on, NULL for one that h2o handles
 * @output: part of the answer that is being written or waits until older requests are answered
 * @output_count: number of vectors in @output
 * @has_output: @output is waiting or being written
 * @output_state: whether further parts follow @output, it is the last one, or the answer failed
 * @is_head_sent: the head of the answer was passed to the socket
 */
typedef struct sgr_http1_request_t
{
  h2o_req_t req;
  h2o_ostream_t ostream;
  sgr_http1_conn_t *conn;
  struct sgr_http1_request_t *next;
  sgr_buffer_t head_text;
  size_t url_length;
  sgr_http1_field_t fields[SGR_HTTP1_FIELDS_MAX];
  size_t field_count;
  bool is_parsing_value;
  bool is_head_complete;
  sgr_buffer_t body;
  uint64_t memory_bytes;
  const char *error_text;
  h2o_iovec_t *output;
  size_t output_count;
  bool has_output;
  h2o_send_state_t output_state;
  bool is_head_sent;
} sgr_http1_request_t;

/**
 * struct sgr_http1_conn_t - a connection of a caller
 * @super: the connection in the form that h2o's handlers use
 * @server: server of the connection
 * @next: next connection of the server
 * @previous: previous connection of the server
 * @sock: socket
 * @parser: parser of the requests
 * @reading: request that is being parsed
 * @complete: request that was parsed to its end and is not started yet
 * @oldest: oldest request without a whole answer; only its answer is written
 * @newest: newest request without a whole answer
 * @open_count: requests that were parsed and are not wholly answered
 * @error_status: status of the answer to a request that the parser callbacks rejected, 0 for none
 * @memory: counts the heads and bodies of the requests
 * @input_bytes: received bytes that wait to be parsed and are counted
 * @head_due_us: time by which the head of @reading has to be complete
 * @timeout: closes the connection if it is idle, makes no progress or lingers for too long
 * @empty_part_timer: continues an answer after a part without bytes, which needs no write
 * @is_writing: a write is in progress
 * @is_writing_continue: the write in progress is the interim answer 100 Continue
 * @is_last_request_read: no further request is parsed; further input is discarded
 * @is_lingering: all requests are answered and the sending side is shut down; the connection stays
 *                open for a while to read and discard the caller's remaining bytes
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
  sgr_http1_request_t *oldest;
  sgr_http1_request_t *newest;
  size_t open_count;
  int error_status;
  sgr_memory_holder_t memory;
  size_t input_bytes;
  uint64_t head_due_us;
  sgr_timer_t timeout;
  sgr_timer_t empty_part_timer;
  bool is_writing;
  bool is_writing_continue;
  bool is_last_request_read;
  bool is_lingering;
};

/**
 * struct sgr_http1_server_t - all HTTP/1.1 connections of callers
 * @options: settings
 * @first: first connection of the list
 * @connections: number of connections, those of HTTP/2 included
 * @is_leaving: each connection closes after an answer behind which no request waits
 * @is_draining: idle connections close soon
 */
struct sgr_http1_server_t
{
  sgr_http1_options_t options;
  sgr_http1_conn_t *first;
  size_t connections;
  bool is_leaving;
  bool is_draining;
};

/* http1_conn.c */
void sgr_http1_conn_create (sgr_http1_server_t *server, h2o_socket_t *sock,
                            struct timeval connected_at);
void sgr_http1_conn_close (sgr_http1_conn_t *conn);
/**
 * sgr_http1_conn_close_for_room() - close a connection on which no request runs
 *
 * Chooses the oldest one that has not finished a message head, or has not sent a byte of a body for
 * one second, or else the oldest idle one.
 *
 * Return: false if there is none.
 */
bool sgr_http1_conn_close_for_room (sgr_http1_server_t *server);
/** sgr_http1_conn_drain() - close an idle connection unless a request arrives within a moment */
void sgr_http1_conn_drain (sgr_http1_conn_t *conn);
/** sgr_http1_conn_flush() - write the waiting output of the oldest request, if no write runs */
void sgr_http1_conn_flush (sgr_http1_conn_t *conn);
/** sgr_http1_conn_send_continue() - send 100 Continue, unless an older request is unanswered */
void sgr_http1_conn_send_continue (sgr_http1_conn_t *conn);

/* http1_request.c */
sgr_http1_request_t *sgr_http1_request_create (sgr_http1_conn_t *conn);
void sgr_http1_request_destroy (sgr_http1_request_t *request);
/** sgr_http1_request_start() - pass a parsed request to h2o's handlers */
void sgr_http1_request_start (sgr_http1_request_t *request);
/**
 * sgr_http1_request_set_error() - set the answer to a request that is not passed on
 * @request: the request; its head and body are released
 * @status: 400, 408, 413, 431 or 503
 */
void sgr_http1_request_set_error (sgr_http1_request_t *request, int status);
/**
 * sgr_http1_request_output() - next bytes of the answer to write
 * @request: the request
 * @closes_connection: the connection closes after this answer
 * @count: receives the number of vectors
 *
 * The first call for an answer puts its head before the output.
 *
 * Return: vectors that stay valid as long as the request.
 */
h2o_iovec_t *sgr_http1_request_output (sgr_http1_request_t *request, bool closes_connection,
                                       size_t *count);

extern const http_parser_settings sgr_http1_parser_settings;

#endif
