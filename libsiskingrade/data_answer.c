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

static void
send_next (sgr_data_answer_t *answer)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  sgr_buffer_t spare = answer->sending;
  h2o_iovec_t vector;

  if (answer->is_sending || answer->is_closed)
    return;
  if (answer->waiting.length == 0 && !answer->is_ended && !answer->is_aborted)
    return;
  spare.length = 0;
  answer->sending = answer->waiting;
  answer->waiting = spare;
  vector = h2o_iovec_init (answer->sending.bytes, answer->sending.length);
  if (answer->is_aborted)
    state = H2O_SEND_STATE_ERROR;
  else if (answer->is_ended)
    state = H2O_SEND_STATE_FINAL;
  answer->is_sending = true;
  answer->is_closed = state != H2O_SEND_STATE_IN_PROGRESS;
  h2o_send (answer->req, &vector, vector.len > 0 ? 1 : 0, state);
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

static void
fields_add (h2o_req_t *req, const Sgr__Pb__AnswerHead *head)
{
  for (size_t i = 0; i < head->n_headers; i++)
    {
      h2o_iovec_t name = h2o_strdup (&req->pool, head->headers[i]->name, SIZE_MAX);
      h2o_iovec_t value = h2o_strdup (&req->pool, head->headers[i]->value, SIZE_MAX);

      h2o_strtolower (name.base, name.len);
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
  if (body_length >= 0)
    req->res.content_length = (size_t)body_length;
  fields_add (req, head);
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
      /* Retry-After has whole seconds; it is rounded up. */
      h2o_iovec_t seconds;

      seconds.base = h2o_mem_alloc_pool (&req->pool, 16);
      seconds.len = (size_t)snprintf (seconds.base, 16, "%u", (error->retry_after_ms + 999) / 1000);
      h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_RETRY_AFTER, NULL, seconds.base,
                      seconds.len);
    }
  h2o_send_inline (req, body, (size_t)length);
}
