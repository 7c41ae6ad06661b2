#include <stdio.h>
#include <string.h>

#include "data_call.h"
#include "http_fields.h"

struct sgr_data_answer_t
{
  h2o_generator_t super;
  h2o_req_t *req;
  void (*taken) (void *ctx, size_t bytes);
  void *ctx;
  sgr_buffer_t sending;
  sgr_buffer_t waiting;
  char chunk_head[20];
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

/* Writes one chunk and, at the end, the last one. An aborted body lacks the last one. */
static size_t
chunk_fill (sgr_data_answer_t *answer, h2o_iovec_t *vectors)
{
  size_t length = answer->sending.length;
  size_t count = 0;

  if (length > 0)
    {
      int size = snprintf (answer->chunk_head, sizeof answer->chunk_head, "%zx\r\n", length);

      vectors[count++] = h2o_iovec_init (answer->chunk_head, (size_t)size);
      vectors[count++] = h2o_iovec_init (answer->sending.bytes, length);
      vectors[count++] = h2o_iovec_init (H2O_STRLIT ("\r\n"));
    }
  if (answer->is_ended && !answer->is_aborted)
    vectors[count++] = h2o_iovec_init (H2O_STRLIT ("0\r\n\r\n"));
  return count;
}

static size_t
vectors_fill (sgr_data_answer_t *answer, h2o_iovec_t *vectors)
{
  if (answer->is_chunked)
    return chunk_fill (answer, vectors);
  vectors[0] = h2o_iovec_init (answer->sending.bytes, answer->sending.length);
  return answer->sending.length > 0 ? 1 : 0;
}

static void
send_next (sgr_data_answer_t *answer)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  sgr_buffer_t spare = answer->sending;
  h2o_iovec_t vectors[4];
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
  answer->taken (answer->ctx, length);
  send_next (answer);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  /* The request is disposed of next, which ends the call. */
  ((sgr_data_answer_t *)generator)->is_closed = true;
}

/* A HEAD answer tells the length that the body of a GET would have. */
static void
length_take (h2o_req_t *req, const h2o_iovec_t *value)
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
          length_take (req, &value);
          continue;
        }
      /* h2o writes these two itself. */
      if (h2o_memis (name.base, name.len, H2O_STRLIT ("date"))
          || h2o_memis (name.base, name.len, H2O_STRLIT ("server")))
        continue;
      h2o_add_header_by_str (&req->pool, &req->res.headers, name.base, name.len, 1, NULL,
                             value.base, value.len);
    }
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("siskingrade-outcome"), 0, NULL,
                         H2O_STRLIT ("complete"));
}

/* h2o chunks answers with the status 200 and 206 only; others without a length it would end with
   the connection, so that a cut one looks whole. */
static bool
needs_chunks (const h2o_req_t *req)
{
  int status = req->res.status;

  return req->res.content_length == SIZE_MAX && req->version == 0x101 && status != 200
         && status != 206 && status != 204 && status != 304
         && !h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("HEAD"));
}

sgr_data_answer_t *
sgr_data_answer_start (h2o_req_t *req, const Sgr__Pb__AnswerHead *head, int64_t body_length,
                       void (*taken) (void *ctx, size_t bytes), void *ctx)
{
  sgr_data_answer_t *answer = h2o_mem_alloc_shared (&req->pool, sizeof *answer, answer_dispose);

  memset (answer, 0, sizeof *answer);
  answer->super.proceed = on_proceed;
  answer->super.stop = on_stop;
  answer->req = req;
  answer->taken = taken;
  answer->ctx = ctx;
  req->res.status = (int)head->status;
  req->res.reason = "";
  if (body_length >= 0 && head->status != 204 && head->status != 304)
    req->res.content_length = (size_t)body_length;
  fields_add (req, head);
  answer->is_chunked = needs_chunks (req);
  if (answer->is_chunked)
    h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_TRANSFER_ENCODING, NULL,
                    H2O_STRLIT ("chunked"));
  h2o_start_response (req, &answer->super);
  return answer;
}

void
sgr_data_answer_body (sgr_data_answer_t *answer, const void *bytes, size_t length)
{
  sgr_buffer_append (&answer->waiting, bytes, length);
  send_next (answer);
}

void
sgr_data_answer_end (sgr_data_answer_t *answer)
{
  answer->is_ended = true;
  send_next (answer);
}

void
sgr_data_answer_abort (sgr_data_answer_t *answer)
{
  answer->is_aborted = true;
  /* Nothing that still waits is sent: the answer is cut in any case. */
  answer->waiting.length = 0;
  answer->req->http1_is_persistent = 0;
  send_next (answer);
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
  /* Without it h2o ends the body with the connection, and a cut one looks whole. */
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
      h2o_iovec_t seconds = { .base = h2o_mem_alloc_pool (&req->pool, 16) };

      /* In HTTP the field has whole seconds; they are rounded up. */
      if (error->has_retry_fractions)
        seconds.len = (size_t)snprintf (seconds.base, 16, "%u.%03u", error->retry_after_ms / 1000,
                                        error->retry_after_ms % 1000);
      else
        seconds.len
            = (size_t)snprintf (seconds.base, 16, "%u", (error->retry_after_ms + 999) / 1000);
      h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_RETRY_AFTER, NULL, seconds.base,
                      seconds.len);
    }
  h2o_send_inline (req, body, (size_t)length);
}
