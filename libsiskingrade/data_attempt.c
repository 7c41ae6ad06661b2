#include <string.h>
#include <strings.h>

#include "data_call_internal.h"
#include "http_fields.h"

/* Handles frames that an entry receives from gates, and lost connections to gates. */

/* Delay before the next attempt of a call with an idempotency key, if the gate of the key did not
   receive the last attempt. */
#define KEY_RETRY_DELAY_MS 1

static bool
head_is_valid (const Sgr__Pb__AnswerHead *head)
{
  if (head->status < SGR_HTTP_STATUS_FINAL_MIN || head->status > SGR_HTTP_STATUS_FINAL_MAX)
    return false;
  for (size_t i = 0; i < head->n_headers; i++)
    {
      if (!sgr_http_is_token (head->headers[i]->name, strlen (head->headers[i]->name))
          || !sgr_http_is_field_value (head->headers[i]->value, strlen (head->headers[i]->value)))
        return false;
    }
  return true;
}

/* Ends an attempt whose answer cannot be passed on. The content of a head comes from the target, so
   it says nothing about the connection, which other attempts share. */
static void
answer_reject (sgr_data_attempt_t *attempt)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .attempt = attempt->id.attempt,
                             .outcome = SGR_OUTCOME_UNKNOWN,
                             .reason = SGR_CALL_REASON_ANSWER_LOST };

  attempt->is_rejected = true;
  sgr_data_send_cancel (attempt);
  sgr_data_attempt_balancer_finish (attempt, SGR_OUTCOME_UNKNOWN, true, NULL);
  sgr_data_call_event (attempt->call, &event);
}

static sgr_result_t
head_receive (sgr_data_attempt_t *attempt, const Sgr__Pb__AnswerHead *head)
{
  sgr_buffer_t packed = { 0 };

  if (attempt->has_head)
    return SGR_ERR_INVALID;
  if (!head_is_valid (head))
    {
      answer_reject (attempt);
      return SGR_OK;
    }
  packed.length = sgr__pb__answer_head__pack (
      head, sgr_buffer_reserve (&packed, sgr__pb__answer_head__get_packed_size (head)));
  attempt->head = sgr__pb__answer_head__unpack (NULL, packed.length, packed.bytes);
  sgr_invariant (attempt->head != NULL);
  sgr_buffer_release (&packed);
  attempt->has_head = true;
  attempt->body_length = head->body_length;
  return SGR_OK;
}

/* Starts to relay an incomplete answer if it is too large to be buffered. */
static void
relay_start_if_large (sgr_data_call_t *call, sgr_data_attempt_t *attempt)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_ANSWER_STARTED };
  size_t limit = call->task->settings->answer_buffer_bytes;

  /* The gate stops at the credit window until a part of the answer was delivered, so the answer has
     to be relayed before the window is full. */
  if (limit > SGR_ANSWER_WINDOW_BYTES / 2)
    limit = SGR_ANSWER_WINDOW_BYTES / 2;
  if (call->req == NULL || call->streaming != NULL || attempt->body.length <= limit)
    return;
  event.attempt = attempt->id.attempt;
  sgr_data_call_answer_start (call, attempt, attempt->body_length);
  sgr_data_call_event (call, &event);
}

static sgr_result_t
chunk_receive (sgr_data_attempt_t *attempt, const Sgr__Pb__AnswerChunk *chunk)
{
  sgr_data_call_t *call = attempt->call;

  if (!attempt->has_head || chunk->offset != attempt->received)
    return SGR_ERR_INVALID;
  if (attempt->body_length >= 0
      && chunk->data.len > (uint64_t)attempt->body_length - attempt->received)
    return SGR_ERR_INVALID;
  /* A gate may not send more than the credit window beyond the bytes that were delivered. This
     holds for recorded answers as well: a gate sends them without waiting for credit, but it
     records only answers that fit into the window. */
  if (attempt->received + chunk->data.len > attempt->delivered + SGR_ANSWER_WINDOW_BYTES)
    return SGR_ERR_INVALID;
  attempt->received += chunk->data.len;
  sgr_memory_budget_charge (&call->memory, chunk->data.len, sgr_clock_monotonic_us ());
  if (call->streaming == attempt)
    {
      sgr_data_answer_body_append (call->answer, chunk->data.data, chunk->data.len);
      return SGR_OK;
    }
  sgr_buffer_append (&attempt->body, chunk->data.data, chunk->data.len);
  relay_start_if_large (call, attempt);
  return SGR_OK;
}

/* Returns the value of the answer header Siskingrade-Retried: whether a node downstream has already
   applied its retry limits to the call. */
static sgr_retry_downstream_t
retried_downstream_get (const sgr_data_attempt_t *attempt)
{
  for (size_t i = 0; attempt->has_head && i < attempt->head->n_headers; i++)
    {
      const Sgr__Pb__Header *header = attempt->head->headers[i];

      if (strcasecmp (header->name, "siskingrade-retried") == 0)
        return sgr_retry_downstream_parse (header->value, strlen (header->value));
    }
  return SGR_RETRY_DOWNSTREAM_UNSPECIFIED;
}

static sgr_result_t
end_receive (sgr_data_attempt_t *attempt, const Sgr__Pb__AnswerEnd *end)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .attempt = attempt->id.attempt,
                             .outcome = SGR_OUTCOME_COMPLETE,
                             .retried_downstream = retried_downstream_get (attempt) };

  event.error_status = attempt->has_head && attempt->head->status >= 500;
  if (!attempt->has_head || end->length != attempt->received
      || (attempt->body_length >= 0 && (uint64_t)attempt->body_length != attempt->received))
    return SGR_ERR_INVALID;
  sgr_data_attempt_balancer_finish (attempt, SGR_OUTCOME_COMPLETE, event.error_status, end->load);
  sgr_data_call_event (attempt->call, &event);
  return SGR_OK;
}

static sgr_result_t
refusal_receive (sgr_data_attempt_t *attempt, const Sgr__Pb__Refusal *refusal)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .attempt = attempt->id.attempt,
                             .outcome = (sgr_outcome_t)refusal->outcome,
                             .reason = (sgr_call_reason_t)refusal->call_reason,
                             .gate_reason = (sgr_gate_reason_t)refusal->gate_reason,
                             .retry_after_ms = refusal->retry_after_ms,
                             .retried_downstream = retried_downstream_get (attempt) };
  bool is_error = refusal->call_reason != SGR_CALL_REASON_REFUSED;

  if (refusal->outcome == SGR_OUTCOME_COMPLETE || refusal->outcome > SGR_OUTCOME_UNKNOWN
      || refusal->gate_reason >= SGR_GATE_REASON_COUNT
      || refusal->call_reason > SGR_CALL_REASON_KEY_CONFLICT)
    return SGR_ERR_INVALID;
  attempt->call->is_key_checked = true;
  sgr_data_attempt_balancer_finish (attempt, event.outcome, is_error, refusal->load);
  sgr_data_call_event (attempt->call, &event);
  return SGR_OK;
}

static sgr_result_t
query_reply_receive (sgr_data_attempt_t *attempt, const Sgr__Pb__QueryReply *reply)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_QUERY_REPLY,
                             .attempt = attempt->id.attempt,
                             .outcome = (sgr_outcome_t)reply->outcome,
                             .gate_reason = (sgr_gate_reason_t)reply->gate_reason,
                             .phase = (sgr_gate_phase_t)reply->phase };

  if (reply->phase > SGR_GATE_PHASE_SETTLED || reply->outcome > SGR_OUTCOME_UNKNOWN
      || reply->gate_reason >= SGR_GATE_REASON_COUNT)
    return SGR_ERR_INVALID;
  attempt->call->is_key_checked = false;
  if (attempt->call->request.has_key && reply->phase == SGR_GATE_PHASE_SETTLED
      && reply->outcome == SGR_OUTCOME_NOT_RUN)
    {
      /* Reports the attempt as refused with a retry delay, because the plan starts a new attempt
         with a key only after such a refusal. The gate has not received this attempt but may know
         the key from an earlier call. In that case the new attempt gets the answer or the outcome
         of that call. */
      event.kind = SGR_CALL_EVENT_OUTCOME;
      event.reason = SGR_CALL_REASON_REFUSED;
      event.retry_after_ms = KEY_RETRY_DELAY_MS;
    }
  sgr_data_call_event (attempt->call, &event);
  return SGR_OK;
}

/* A gate may answer a query with the recorded answer itself instead of a query reply. The plan has
   to know that the attempt is no longer lost, otherwise it ignores the start of the relay. */
static void
lost_attempt_resume (sgr_data_attempt_t *attempt)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_QUERY_REPLY,
                             .attempt = attempt->id.attempt,
                             .phase = SGR_GATE_PHASE_RUNNING };

  if (attempt->call->plan.attempts[attempt->id.attempt].state == SGR_CALL_ATTEMPT_LOST)
    sgr_data_call_event (attempt->call, &event);
}

sgr_result_t
sgr_data_attempt_frame_handle (sgr_data_attempt_t *attempt, const Sgr__Pb__PeerFrame *frame)
{
  bool is_cancelled
      = attempt->call->plan.attempts[attempt->id.attempt].state == SGR_CALL_ATTEMPT_CANCELLING;

  if (attempt->is_rejected)
    return SGR_OK; /* the rest of the answer, or the reply to the cancel */
  switch (frame->body_case)
    {
    case SGR__PB__PEER_FRAME__BODY_ANSWER_HEAD:
      if (is_cancelled)
        return SGR_OK;
      lost_attempt_resume (attempt);
      if (attempt->call->is_finished)
        return SGR_OK;
      return head_receive (attempt, frame->answer_head);
    case SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK:
      return is_cancelled ? SGR_OK : chunk_receive (attempt, frame->answer_chunk);
    case SGR__PB__PEER_FRAME__BODY_ANSWER_END:
      return is_cancelled ? SGR_OK : end_receive (attempt, frame->answer_end);
    case SGR__PB__PEER_FRAME__BODY_REFUSAL:
      return refusal_receive (attempt, frame->refusal);
    case SGR__PB__PEER_FRAME__BODY_QUERY_REPLY:
      return query_reply_receive (attempt, frame->query_reply);
    default:
      return SGR_ERR_INVALID;
    }
}

void
sgr_data_attempt_connect_failed (sgr_data_attempt_t *attempt)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .attempt = attempt->id.attempt,
                             .outcome = SGR_OUTCOME_NOT_RUN,
                             .reason = SGR_CALL_REASON_NO_TARGET };

  if (attempt->was_connection_lost || attempt->is_rejected)
    {
      sgr_data_attempt_connection_lost (attempt);
      return;
    }
  sgr_data_attempt_balancer_finish (attempt, SGR_OUTCOME_NOT_RUN, true, NULL);
  sgr_data_call_event (attempt->call, &event);
}

void
sgr_data_attempt_connection_lost (sgr_data_attempt_t *attempt)
{
  sgr_call_event_t event
      = { .kind = SGR_CALL_EVENT_CONNECTION_LOST, .attempt = attempt->id.attempt };

  /* A whole answer with an error status is kept while the call is retried. */
  if (attempt->call->plan.attempts[attempt->id.attempt].state == SGR_CALL_ATTEMPT_COMPLETE
      || attempt->is_rejected)
    return;
  attempt->was_connection_lost = true;
  /* A gate never gets the rest of a body on another connection. */
  attempt->body_sent = SIZE_MAX;
  sgr_data_attempt_balancer_finish (attempt, SGR_OUTCOME_UNKNOWN, true, NULL);
  if (attempt->call->streaming != attempt && attempt->has_head)
    {
      /* The gate may send the whole answer again after a query, beginning with the head. */
      sgr__pb__answer_head__free_unpacked (attempt->head, NULL);
      attempt->head = NULL;
      attempt->has_head = false;
      attempt->received = 0;
      sgr_memory_budget_release (&attempt->call->memory, attempt->body.length);
      sgr_buffer_release (&attempt->body);
    }
  sgr_data_call_event (attempt->call, &event);
}
