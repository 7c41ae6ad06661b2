#include <stdio.h>
#include <string.h>

#include "data_call.h"
#include "http_fields.h"

/* Size of the buffer for the size line of a chunk: at most 16 hexadecimal digits of a 64-bit
   length, CR, LF and the terminating NUL, rounded up. */
#define CHUNK_SIZE_LINE_BYTES 20
/* Maximum number of buffers that are passed to h2o at a time: size line, data and end of a chunk,
   and the last chunk. */
#define CHUNK_VECTORS_MAX 4
/* Size of the buffer for the value of Retry-After: at most seven digits of seconds, a decimal
   point, three digits and the terminating NUL, rounded up. */
#define RETRY_AFTER_TEXT_BYTES 16
/* HTTP/1.1 in h2o's encoding of versions. */
#define HTTP_VERSION_1_1 0x101

/**
 * struct sgr_data_answer_t - an answer to a caller
 * @super: h2o generator; h2o calls it for the next part of the body
 * @req: h2o request
 * @delivered: called with the number of body bytes that were written to the caller's connection
 * @ctx: passed to @delivered
 * @sending: part of the body that h2o is sending
 * @waiting: body bytes to send after @sending
 * @chunk_size_line: size line of the chunk that is being sent
 * @is_chunked: this file applies the chunked transfer coding, instead of h2o
 * @is_sending: h2o has not finished sending @sending
 * @is_ended: the body is complete
 * @is_aborted: the body is to end early
 * @is_closed: nothing may be sent any more
 */
struct sgr_data_answer_t
{
  h2o_generator_t super;
  h2o_req_t *req;
  void (*delivered) (void *ctx, size_t bytes);
  void *ctx;
  sgr_buffer_t sending;
  sgr_buffer_t waiting;
  char chunk_size_line[CHUNK_SIZE_LINE_BYTES];
  bool is_chunked;
  bool is_sending;
  bool is_ended;
  bool is_aborted;
  bool is_closed;
};

static void
answer_dispose (void *object)
{
  sgr_data_answer_t *answer = object;

  sgr_buffer_release (&answer->sending);
  sgr_buffer_release (&answer->waiting);
}

/* Sets the vectors for one chunk and, at the end of the body, for the last chunk. An aborted body
   has no last chunk, so that the caller sees that it is truncated. */
static size_t
chunk_vectors_fill (sgr_data_answer_t *answer, h2o_iovec_t *vectors)
{
  size_t length = answer->sending.length;
  size_t count = 0;

  if (length > 0)
    {
      int size
          = snprintf (answer->chunk_size_line, sizeof answer->chunk_size_line, "%zx\r\n", length);

      vectors[count++] = h2o_iovec_init (answer->chunk_size_line, (size_t)size);
      vectors[count++] = h2o_iovec_init (answer->sending.bytes, length);
      vectors[count++] = h2o_iovec_init (H2O_STRLIT ("\r\n"));
    }
  if (answer->is_ended && !answer->is_aborted)
    vectors[count++] = h2o_iovec_init (H2O_STRLIT ("0\r\n\r\n"));
  return count;
}

/* Sets the vectors for the next part of the body; returns their number. */
static size_t
vectors_fill (sgr_data_answer_t *answer, h2o_iovec_t *vectors)
{
  if (answer->is_chunked)
    return chunk_vectors_fill (answer, vectors);
  vectors[0] = h2o_iovec_init (answer->sending.bytes, answer->sending.length);
  return answer->sending.length > 0 ? 1 : 0;
}

/* Sends the waiting bytes or the end of the body, unless h2o is still sending the part before. */
static void
next_part_send (sgr_data_answer_t *answer)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  sgr_buffer_t spare = answer->sending;
  h2o_iovec_t vectors[CHUNK_VECTORS_MAX];
  size_t count;

  if (answer->is_sending || answer->is_closed)
    return;
  if (answer->waiting.length == 0 && !answer->is_ended && !answer->is_aborted)
    return;
  spare.length = 0;
  answer->sending = answer->waiting;
  answer->waiting = spare;
  count = vectors_fill (answer, vectors);
  if (answer->is_aborted)
    state = H2O_SEND_STATE_ERROR;
  else if (answer->is_ended)
    state = H2O_SEND_STATE_FINAL;
  answer->is_sending = true;
  answer->is_closed = state != H2O_SEND_STATE_IN_PROGRESS;
  h2o_send (answer->req, vectors, count, state);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  sgr_data_answer_t *answer = (sgr_data_answer_t *)generator;
  size_t length = answer->sending.length;

  answer->is_sending = false;
  answer->sending.length = 0;
  answer->delivered (answer->ctx, length);
  next_part_send (answer);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  /* h2o disposes of the request next, which cancels the call. */
  ((sgr_data_answer_t *)generator)->is_closed = true;
}

/* An answer to HEAD carries the length that the body of an answer to GET would have. */
static void
head_request_length_set (h2o_req_t *req, const h2o_iovec_t *value)
{
  uint64_t length;

  if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("HEAD"))
      && sgr_http_number_parse (value->base, value->len, INT64_MAX, &length))
    req->res.content_length = (size_t)length;
}

static void
fields_add (h2o_req_t *req, const Sgr__Pb__AnswerHead *head)
{
  for (size_t i = 0; i < head->n_headers; i++)
    {
      h2o_iovec_t name = h2o_strdup (&req->pool, head->headers[i]->name, SIZE_MAX);
      h2o_iovec_t value = h2o_strdup (&req->pool, head->headers[i]->value, SIZE_MAX);

      h2o_strtolower (name.base, name.len);
      if (h2o_memis (name.base, name.len, H2O_STRLIT ("content-length")))
        {
          head_request_length_set (req, &value);
          continue;
        }
      /* h2o adds these two fields itself. */
      if (h2o_memis (name.base, name.len, H2O_STRLIT ("date"))
          || h2o_memis (name.base, name.len, H2O_STRLIT ("server")))
        continue;
      h2o_add_header_by_str (&req->pool, &req->res.headers, name.base, name.len, 1, NULL,
                             value.base, value.len);
    }
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("siskingrade-outcome"), 0, NULL,
                         H2O_STRLIT ("complete"));
}

/* Whether this file has to apply the chunked transfer coding. h2o does so only for statuses 200 and
   206. It ends any other body without a length by closing the connection, and a caller could not
   tell a truncated body from a complete one. */
static bool
needs_chunked_encoding (const h2o_req_t *req)
{
  int status = req->res.status;

  return req->res.content_length == SIZE_MAX && req->version == HTTP_VERSION_1_1 && status != 200
         && status != 206 && status != 204 && status != 304
         && !h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("HEAD"));
}

sgr_data_answer_t *
sgr_data_answer_start (h2o_req_t *req, const Sgr__Pb__AnswerHead *head, int64_t body_length,
                       void (*delivered) (void *ctx, size_t bytes), void *ctx)
{
  sgr_data_answer_t *answer = h2o_mem_alloc_shared (&req->pool, sizeof *answer, answer_dispose);

  memset (answer, 0, sizeof *answer);
  answer->super.proceed = on_proceed;
  answer->super.stop = on_stop;
  answer->req = req;
  answer->delivered = delivered;
  answer->ctx = ctx;
  req->res.status = (int)head->status;
  req->res.reason = "";
  if (body_length >= 0 && head->status != 204 && head->status != 304)
    req->res.content_length = (size_t)body_length;
  fields_add (req, head);
  answer->is_chunked = needs_chunked_encoding (req);
  if (answer->is_chunked)
    h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_TRANSFER_ENCODING, NULL,
                    H2O_STRLIT ("chunked"));
  h2o_start_response (req, &answer->super);
  return answer;
}

void
sgr_data_answer_body_append (sgr_data_answer_t *answer, const void *bytes, size_t length)
{
  sgr_buffer_append (&answer->waiting, bytes, length);
  next_part_send (answer);
}

void
sgr_data_answer_end (sgr_data_answer_t *answer)
{
  answer->is_ended = true;
  next_part_send (answer);
}

void
sgr_data_answer_abort (sgr_data_answer_t *answer)
{
  answer->is_aborted = true;
  /* The answer is truncated in any case, so the waiting bytes are discarded. */
  answer->waiting.length = 0;
  answer->req->http1_is_persistent = 0;
  next_part_send (answer);
}

void
sgr_data_error_send (h2o_req_t *req, const sgr_data_error_t *error)
{
  const char *outcome = sgr_outcome_name (error->outcome);
  char body[256];
  int length
      = snprintf (body, sizeof body, "{\"outcome\":\"%s\",\"reason\":\"%s\",\"repeat_safe\":%s}\n",
                  outcome, error->reason, error->is_repeat_safe ? "true" : "false");

  req->res.status = error->status;
  req->res.reason = "";
  /* Without a length, h2o would end the body by closing the connection, and the caller could not
     tell a truncated body from a complete one. */
  req->res.content_length = (size_t)length;
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                  H2O_STRLIT ("application/json"));
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("siskingrade-outcome"), 0, NULL,
                         outcome, strlen (outcome));
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("siskingrade-reason"), 0, NULL,
                         h2o_strdup (&req->pool, error->reason, SIZE_MAX).base,
                         strlen (error->reason));
  if (error->retry_after_ms > 0)
    {
      h2o_iovec_t seconds = { .base = h2o_mem_alloc_pool (&req->pool, RETRY_AFTER_TEXT_BYTES) };

      /* HTTP defines the field in whole seconds, so the time is rounded up unless the callers of
         this deployment accept fractions. */
      if (error->has_retry_fractions)
        seconds.len = (size_t)snprintf (seconds.base, RETRY_AFTER_TEXT_BYTES, "%u.%03u",
                                        error->retry_after_ms / 1000, error->retry_after_ms % 1000);
      else
        seconds.len = (size_t)snprintf (seconds.base, RETRY_AFTER_TEXT_BYTES, "%u",
                                        (error->retry_after_ms + 999) / 1000);
      h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_RETRY_AFTER, NULL, seconds.base,
                      seconds.len);
    }
  h2o_send_inline (req, body, (size_t)length);
}
