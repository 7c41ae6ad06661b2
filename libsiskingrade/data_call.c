#include "data_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "data_link.h"
#include "http_fields.h"

/* Bytes of an answer that a gate may send ahead of the caller; bounds the memory of one call. */
#define ANSWER_WINDOW_BYTES (256U * 1024)
/* Samples before a percentile is good enough to time hedges. */
#define HEDGE_SAMPLES_MIN 100

struct sgr_data_call_t
{
  sgr_data_task_t *task;
  sgr_data_service_t *service;
  h2o_req_t *req; /* NULL once h2o disposed of it */
  sgr_data_call_request_t request;
  uint64_t start_us;
  sgr_call_plan_t plan;
  sgr_data_attempt_t attempts[SGR_CALL_ATTEMPTS_MAX];
  uint64_t sequence;
  sgr_data_answer_t *answer;
  sgr_data_attempt_t *streaming;
  sgr_timer_t timer;
  unsigned depth; /* nested events; the call is freed at depth 0 only */
  bool is_finished;
};

static void event_apply (sgr_data_call_t *call, const sgr_call_event_t *event);

static void
release_if_over (sgr_data_call_t *call)
{
  if (call->depth > 0 || !call->is_finished || call->req != NULL)
    return;
  for (size_t i = 0; i < SGR_CALL_ATTEMPTS_MAX; i++)
    {
      sgr_invariant (call->attempts[i].link == NULL);
      sgr_buffer_release (&call->attempts[i].body);
      if (call->attempts[i].head != NULL)
        sgr__pb__answer_head__free_unpacked (call->attempts[i].head, NULL);
    }
  sgr_timer_cancel (call->task->timers, &call->timer);
  call->task->calls--;
  free (call);
}

static sgr_data_attempt_t *
attempt_of (sgr_data_call_t *call, uint32_t number)
{
  sgr_invariant (number < SGR_CALL_ATTEMPTS_MAX);
  return &call->attempts[number];
}

static void
balancer_finish (sgr_data_attempt_t *attempt, sgr_outcome_t outcome, bool is_error,
                 const Sgr__Pb__LoadReport *message)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_load_report_t load;

  if (!attempt->is_balanced)
    return;
  attempt->is_balanced = false;
  if (message != NULL)
    {
      sgr_frame_load_get (message, &load);
      sgr_data_link_load_set (attempt->link, message);
    }
  sgr_balancer_attempt_finish (attempt->call->service->balancer, now_us, attempt->target, outcome,
                               now_us - attempt->start_us, is_error,
                               message != NULL ? &load : NULL);
}

static void
detach (sgr_data_attempt_t *attempt)
{
  if (attempt->link == NULL)
    return;
  balancer_finish (attempt, SGR_OUTCOME_UNKNOWN, false, NULL);
  sgr_id_map_remove (attempt->call->task->attempts, sgr_data_attempt_key (&attempt->id));
  sgr_data_link_detach (attempt->link, attempt);
}

static void
cancel_send (sgr_data_attempt_t *attempt)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Cancel message = SGR__PB__CANCEL__INIT;
  Sgr__Pb__AttemptId id;
  sgr_data_call_t *call = attempt->call;

  if (attempt->link == NULL)
    return;
  balancer_finish (attempt, SGR_OUTCOME_UNKNOWN,
                   sgr_clock_monotonic_us () >= call->request.deadline_us, NULL);
  sgr_frame_id_set (&id, &attempt->id);
  message.id = &id;
  message.gate_boot = attempt->gate_boot;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CANCEL;
  frame.cancel = &message;
  sgr_data_link_send (attempt->link, &frame, SGR_PEER_URGENT);
}

static void
query_send (sgr_data_attempt_t *attempt)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Query message = SGR__PB__QUERY__INIT;
  Sgr__Pb__AttemptId id;

  if (attempt->link == NULL)
    return;
  sgr_frame_id_set (&id, &attempt->id);
  message.id = &id;
  message.gate_boot = attempt->gate_boot;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_QUERY;
  frame.query = &message;
  sgr_data_link_send (attempt->link, &frame, SGR_PEER_URGENT);
}

static void
credit_send (sgr_data_attempt_t *attempt, size_t bytes)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Credit message = SGR__PB__CREDIT__INIT;
  Sgr__Pb__AttemptId id;

  if (attempt->link == NULL || bytes == 0)
    return;
  sgr_frame_id_set (&id, &attempt->id);
  message.id = &id;
  message.bytes = (uint32_t)bytes;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CREDIT;
  frame.credit = &message;
  sgr_data_link_send (attempt->link, &frame, SGR_PEER_URGENT);
}

static size_t
headers_fill (const sgr_data_call_t *call, const sgr_retry_chain_t *chain, Sgr__Pb__Header *headers,
              Sgr__Pb__Header **pointers)
{
  h2o_req_t *req = call->req;
  size_t used = 0;

  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      if (!sgr_http_is_forwarded (header->name->base, header->name->len))
        continue;
      sgr__pb__header__init (&headers[used]);
      headers[used].name = h2o_strdup (&req->pool, header->name->base, header->name->len).base;
      headers[used].value = h2o_strdup (&req->pool, header->value.base, header->value.len).base;
      used++;
    }
  for (int i = 0; i < 2; i++)
    {
      char number[16];
      int length = snprintf (number, sizeof number, "%u", i == 0 ? chain->depth : chain->retries);

      sgr__pb__header__init (&headers[used]);
      headers[used].name = i == 0 ? "siskingrade-depth" : "siskingrade-retry-budget";
      headers[used].value = h2o_strdup (&req->pool, number, (size_t)length).base;
      used++;
    }
  for (size_t i = 0; i < used; i++)
    pointers[i] = &headers[i];
  return used;
}

static sgr_result_t
body_send (sgr_data_attempt_t *attempt, Sgr__Pb__AttemptId *id)
{
  h2o_iovec_t body = attempt->call->req->entity;
  sgr_result_t result = SGR_OK;

  for (size_t offset = 0; offset < body.len && result == SGR_OK;)
    {
      Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
      Sgr__Pb__CallBody part = SGR__PB__CALL_BODY__INIT;
      size_t length = body.len - offset;

      if (length > SGR_FRAME_CHUNK_BYTES)
        length = SGR_FRAME_CHUNK_BYTES;
      part.id = id;
      part.offset = offset;
      part.data.data = (uint8_t *)body.base + offset;
      part.data.len = length;
      frame.body_case = SGR__PB__PEER_FRAME__BODY_CALL_BODY;
      frame.call_body = &part;
      result
          = sgr_data_link_send (attempt->link, &frame,
                                body.len > SGR_FRAME_CHUNK_BYTES ? SGR_PEER_BULK : SGR_PEER_URGENT);
      offset += length;
    }
  return result;
}

static void
key_fill (const sgr_data_call_request_t *request, Sgr__Pb__IdempotencyKey *key)
{
  sgr__pb__idempotency_key__init (key);
  key->high = request->key.high;
  key->low = request->key.low;
  key->generation = request->issued_key.generation;
  key->fingerprint_high = request->fingerprint.high;
  key->fingerprint_low = request->fingerprint.low;
}

static sgr_result_t
call_send (sgr_data_attempt_t *attempt, const sgr_retry_chain_t *chain)
{
  sgr_data_call_t *call = attempt->call;
  h2o_req_t *req = call->req;
  uint64_t now_us = sgr_clock_monotonic_us ();
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Call message = SGR__PB__CALL__INIT;
  Sgr__Pb__IdempotencyKey key;
  Sgr__Pb__AttemptId id;
  size_t room = req->headers.size + 2;
  Sgr__Pb__Header *headers = h2o_mem_alloc_pool (&req->pool, room * sizeof *headers);
  sgr_result_t result;

  message.headers = h2o_mem_alloc_pool (&req->pool, room * sizeof *message.headers);
  message.n_headers = headers_fill (call, chain, headers, message.headers);
  sgr_frame_id_set (&id, &attempt->id);
  message.id = &id;
  message.gate_boot = attempt->gate_boot;
  message.remaining_us
      = call->request.deadline_us > now_us ? call->request.deadline_us - now_us : 0;
  message.service = call->request.service;
  message.tenant = call->request.tenant;
  message.class_name = call->request.class_name;
  message.method = h2o_strdup (&req->pool, req->method.base, req->method.len).base;
  message.path = h2o_strdup (&req->pool, req->path.base, req->path.len).base;
  message.idempotent = call->request.is_idempotent;
  message.body_length = req->entity.len;
  message.credit = ANSWER_WINDOW_BYTES;
  if (call->request.has_key)
    {
      key_fill (&call->request, &key);
      message.key = &key;
    }
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CALL;
  frame.call = &message;
  result = sgr_data_link_send (attempt->link, &frame, SGR_PEER_URGENT);
  return result == SGR_OK ? body_send (attempt, &id) : result;
}

/* Chooses the gate of an attempt: the key's, or a target outside those already tried. */
static sgr_data_link_t *
link_choose (sgr_data_call_t *call, sgr_data_attempt_t *attempt)
{
  sgr_node_id_t excluded[SGR_CALL_ATTEMPTS_MAX];
  size_t count = sgr_call_plan_excluded (&call->plan, excluded);
  sgr_node_id_t node = 0;
  sgr_data_link_t *link;
  uint64_t generation;

  if (call->request.has_key)
    {
      node = call->request.issued_key.node;
      attempt->target = sgr_balancer_target_find (call->service->balancer, node);
    }
  else
    attempt->target
        = sgr_data_service_pick (call->service, sgr_clock_monotonic_us (), excluded, count, &node);
  if (attempt->target == SGR_BALANCER_TARGET_NONE)
    return NULL;
  link = sgr_data_link_get (call->task->links, node);
  if (link == NULL || sgr_data_link_open (link) != SGR_OK)
    return NULL;
  sgr_data_link_gate (link, &attempt->gate_boot, &generation);
  if (call->request.has_key)
    attempt->gate_boot = call->request.issued_key.boot;
  return link;
}

static void
attempt_start (sgr_data_call_t *call, const sgr_call_action_t *action)
{
  sgr_data_attempt_t *attempt = attempt_of (call, action->attempt);
  sgr_call_event_t event = { .attempt = action->attempt };
  sgr_data_link_t *link = call->req != NULL ? link_choose (call, attempt) : NULL;

  if (link == NULL)
    {
      event.kind = SGR_CALL_EVENT_NO_TARGET;
      event_apply (call, &event);
      return;
    }
  event.kind = SGR_CALL_EVENT_PICKED;
  event.target = sgr_data_link_node (link);
  event_apply (call, &event);
  attempt->call = call;
  attempt->id = (sgr_attempt_id_t){ .node = call->task->node,
                                    .boot = call->task->boot,
                                    .sequence = call->sequence,
                                    .attempt = action->attempt };
  sgr_id_map_put (call->task->attempts, sgr_data_attempt_key (&attempt->id), attempt);
  sgr_data_link_attach (link, attempt);
  attempt->start_us = sgr_clock_monotonic_us ();
  attempt->is_balanced = true;
  sgr_balancer_attempt_start (call->service->balancer, attempt->start_us, attempt->target);
  event.kind = SGR_CALL_EVENT_SENT;
  event_apply (call, &event);
  if (call_send (attempt, &action->chain) != SGR_OK && attempt->link != NULL)
    sgr_data_attempt_lost (attempt);
}

static int
status_of (const sgr_call_action_t *finish)
{
  if (finish->reason == SGR_CALL_REASON_KEY_CONFLICT)
    return 422;
  if (finish->reason == SGR_CALL_REASON_DEADLINE
      || (finish->reason == SGR_CALL_REASON_REFUSED
          && finish->gate_reason == SGR_GATE_REASON_DEADLINE))
    return 504;
  if (finish->outcome == SGR_OUTCOME_NOT_RUN)
    return 503;
  return 502;
}

static void
error_answer (sgr_data_call_t *call, const sgr_call_action_t *finish)
{
  sgr_data_error_t error = { .status = status_of (finish),
                             .outcome = finish->outcome,
                             .reason = finish->reason == SGR_CALL_REASON_REFUSED
                                           ? sgr_gate_reason_name (finish->gate_reason)
                                           : sgr_call_reason_name (finish->reason),
                             .is_repeat_safe = finish->repeat_safe,
                             .retry_after_ms = finish->retry_after_ms };
  char labels[128];

  /* An earlier call with the key may have reached the gate that cannot be asked now. */
  if (call->request.has_key && finish->reason == SGR_CALL_REASON_NO_TARGET)
    {
      error.outcome = SGR_OUTCOME_UNKNOWN;
      error.reason = "key-gate-unreachable";
      error.status = 502;
    }
  snprintf (labels, sizeof labels, "outcome=\"%s\",reason=\"%s\"", sgr_outcome_name (error.outcome),
            error.reason);
  sgr_counter_add (
      sgr_metrics_counter (call->task->metrics, "siskingrade_call_errors_total", labels), 1);
  h2o_add_header_by_str (
      &call->req->pool, &call->req->res.headers, H2O_STRLIT ("siskingrade-retried"), 0, NULL,
      sgr_retry_deeper_name (finish->deeper), strlen (sgr_retry_deeper_name (finish->deeper)));
  sgr_data_error_send (call->req, &error);
}

static void
on_taken (void *ctx, size_t bytes)
{
  sgr_data_call_t *call = ctx;

  if (call->streaming != NULL && !call->is_finished)
    credit_send (call->streaming, bytes);
}

static void
answer_start (sgr_data_call_t *call, sgr_data_attempt_t *attempt, int64_t body_length)
{
  bool is_head = h2o_memis (call->req->method.base, call->req->method.len, H2O_STRLIT ("HEAD"));

  call->streaming = attempt;
  call->answer = sgr_data_answer_start (call->req, attempt->head, is_head ? -1 : body_length,
                                        on_taken, call);
  sgr_data_answer_body (call->answer, attempt->body.bytes, attempt->body.length);
  attempt->body.length = 0;
}

static void
latency_record (sgr_data_call_t *call)
{
  uint64_t latency_us = sgr_clock_monotonic_us () - call->start_us;
  char labels[3 * SGR_NAME_MAX + 64];

  sgr_histogram_record (&call->service->latency, latency_us);
  snprintf (labels, sizeof labels, "service=\"%s\",tenant=\"%s\",class=\"%s\"",
            call->request.service, call->request.tenant, call->request.class_name);
  sgr_histogram_record (
      sgr_metrics_histogram (call->task->metrics, "siskingrade_call_seconds", labels), latency_us);
}

static void
finish (sgr_data_call_t *call, const sgr_call_action_t *action)
{
  call->is_finished = true;
  sgr_timer_cancel (call->task->timers, &call->timer);
  if (call->req != NULL && action->outcome == SGR_OUTCOME_COMPLETE)
    {
      sgr_data_attempt_t *attempt = attempt_of (call, action->attempt);

      latency_record (call);
      if (call->answer == NULL)
        answer_start (call, attempt, (int64_t)attempt->received);
      sgr_data_answer_end (call->answer);
    }
  else if (call->req != NULL && call->answer != NULL)
    sgr_data_answer_abort (call->answer);
  else if (call->req != NULL)
    error_answer (call, action);
  for (size_t i = 0; i < SGR_CALL_ATTEMPTS_MAX; i++)
    detach (&call->attempts[i]);
}

static void
event_apply (sgr_data_call_t *call, const sgr_call_event_t *event)
{
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  size_t count;

  call->depth++;
  count = sgr_call_plan_event (&call->plan, sgr_clock_monotonic_us (), event, actions);
  for (size_t i = 0; i < count && !call->is_finished; i++)
    {
      if (actions[i].kind == SGR_CALL_ACTION_START)
        attempt_start (call, &actions[i]);
      else if (actions[i].kind == SGR_CALL_ACTION_QUERY)
        query_send (attempt_of (call, actions[i].attempt));
      else if (actions[i].kind == SGR_CALL_ACTION_CANCEL)
        cancel_send (attempt_of (call, actions[i].attempt));
      else
        finish (call, &actions[i]);
    }
  if (!call->is_finished && call->plan.timer_us != SGR_TIMER_NEVER)
    sgr_timer_arm (call->task->timers, &call->timer, call->plan.timer_us);
  call->depth--;
  release_if_over (call);
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_TIMER };

  event_apply (ctx, &event);
}

static void
on_request_disposed (void *object)
{
  sgr_data_call_t *call = *(sgr_data_call_t **)object;
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_CANCEL };

  call->req = NULL;
  call->depth++;
  if (!call->is_finished)
    event_apply (call, &event);
  call->depth--;
  release_if_over (call);
}

static uint64_t
hedge_delay_us (const sgr_data_service_t *service)
{
  if (service->policy.hedge_percentile == 0 || service->latency.count < HEDGE_SAMPLES_MIN)
    return 0;
  return sgr_histogram_quantile (&service->latency,
                                 (double)service->policy.hedge_percentile / 100.0);
}

void
sgr_data_call_start (sgr_data_task_t *task, h2o_req_t *req, sgr_data_service_t *service,
                     const sgr_data_call_request_t *request)
{
  sgr_data_call_t *call = calloc (1, sizeof *call);
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_BEGIN };
  sgr_call_options_t options;
  sgr_data_call_t **guard;

  sgr_invariant (call != NULL);
  call->task = task;
  call->service = service;
  call->req = req;
  call->request = *request;
  call->start_us = sgr_clock_monotonic_us ();
  call->sequence = task->next_sequence++;
  call->timer = (sgr_timer_t){ .fire = on_timer, .ctx = call };
  for (size_t i = 0; i < SGR_CALL_ATTEMPTS_MAX; i++)
    call->attempts[i].call = call;
  guard = h2o_mem_alloc_shared (&req->pool, sizeof *guard, on_request_disposed);
  *guard = call;
  task->calls++;
  sgr_call_options_init (&options);
  options.idempotent = request->is_idempotent;
  options.keyed = request->has_key;
  options.deadline_us = request->deadline_us;
  options.attempts_max = service->policy.attempts_max;
  options.hedge_delay_us = hedge_delay_us (service);
  options.chain = request->chain;
  options.budget = &service->retries;
  sgr_call_plan_init (&call->plan, &options);
  event_apply (call, &event);
}

static sgr_result_t
head_take (sgr_data_attempt_t *attempt, const Sgr__Pb__AnswerHead *head)
{
  sgr_buffer_t packed = { 0 };

  if (attempt->has_head || head->status < 200 || head->status > 999)
    return SGR_ERR_INVALID;
  for (size_t i = 0; i < head->n_headers; i++)
    {
      if (!sgr_http_is_token (head->headers[i]->name, strlen (head->headers[i]->name))
          || !sgr_http_is_value (head->headers[i]->value, strlen (head->headers[i]->value)))
        return SGR_ERR_INVALID;
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

static void
stream_if_large (sgr_data_call_t *call, sgr_data_attempt_t *attempt)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_ANSWER_STARTED };
  size_t length = attempt->body.length;

  if (call->req == NULL || call->streaming != NULL
      || length <= call->task->settings->answer_buffer_bytes)
    return;
  event.attempt = attempt->id.attempt;
  answer_start (call, attempt, attempt->body_length);
  event_apply (call, &event);
}

static sgr_result_t
chunk_take (sgr_data_attempt_t *attempt, const Sgr__Pb__AnswerChunk *chunk)
{
  sgr_data_call_t *call = attempt->call;

  if (!attempt->has_head || chunk->offset != attempt->received)
    return SGR_ERR_INVALID;
  if (attempt->body_length >= 0
      && chunk->data.len > (uint64_t)attempt->body_length - attempt->received)
    return SGR_ERR_INVALID;
  attempt->received += chunk->data.len;
  if (call->streaming == attempt)
    {
      sgr_data_answer_body (call->answer, chunk->data.data, chunk->data.len);
      return SGR_OK;
    }
  sgr_buffer_append (&attempt->body, chunk->data.data, chunk->data.len);
  stream_if_large (call, attempt);
  return SGR_OK;
}

static sgr_retry_deeper_t
deeper_of (const sgr_data_attempt_t *attempt)
{
  for (size_t i = 0; attempt->has_head && i < attempt->head->n_headers; i++)
    {
      const Sgr__Pb__Header *header = attempt->head->headers[i];

      if (strcasecmp (header->name, "siskingrade-retried") == 0)
        return sgr_retry_deeper_parse (header->value, strlen (header->value));
    }
  return SGR_RETRY_DEEPER_UNSAID;
}

static sgr_result_t
end_take (sgr_data_attempt_t *attempt, const Sgr__Pb__AnswerEnd *end)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .attempt = attempt->id.attempt,
                             .outcome = SGR_OUTCOME_COMPLETE,
                             .deeper = deeper_of (attempt) };

  if (!attempt->has_head || end->length != attempt->received
      || (attempt->body_length >= 0 && (uint64_t)attempt->body_length != attempt->received))
    return SGR_ERR_INVALID;
  balancer_finish (attempt, SGR_OUTCOME_COMPLETE, attempt->head->status >= 500, end->load);
  event_apply (attempt->call, &event);
  return SGR_OK;
}

static sgr_result_t
refusal_take (sgr_data_attempt_t *attempt, const Sgr__Pb__Refusal *refusal)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .attempt = attempt->id.attempt,
                             .outcome = (sgr_outcome_t)refusal->outcome,
                             .reason = (sgr_call_reason_t)refusal->call_reason,
                             .gate_reason = (sgr_gate_reason_t)refusal->gate_reason,
                             .retry_after_ms = refusal->retry_after_ms,
                             .deeper = deeper_of (attempt) };
  bool is_error = refusal->call_reason != SGR_CALL_REASON_REFUSED;

  if (refusal->outcome == SGR_OUTCOME_COMPLETE || refusal->outcome > SGR_OUTCOME_UNKNOWN
      || refusal->gate_reason >= SGR_GATE_REASON_COUNT
      || refusal->call_reason > SGR_CALL_REASON_KEY_CONFLICT)
    return SGR_ERR_INVALID;
  balancer_finish (attempt, event.outcome, is_error, refusal->load);
  event_apply (attempt->call, &event);
  return SGR_OK;
}

static sgr_result_t
query_reply_take (sgr_data_attempt_t *attempt, const Sgr__Pb__QueryReply *reply)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_QUERY_REPLY,
                             .attempt = attempt->id.attempt,
                             .outcome = (sgr_outcome_t)reply->outcome,
                             .gate_reason = (sgr_gate_reason_t)reply->gate_reason,
                             .phase = (sgr_gate_phase_t)reply->phase };

  if (reply->phase > SGR_GATE_PHASE_SETTLED || reply->outcome > SGR_OUTCOME_UNKNOWN
      || reply->gate_reason >= SGR_GATE_REASON_COUNT)
    return SGR_ERR_INVALID;
  event_apply (attempt->call, &event);
  return SGR_OK;
}

sgr_result_t
sgr_data_attempt_frame (sgr_data_attempt_t *attempt, const Sgr__Pb__PeerFrame *frame)
{
  bool is_cancelled
      = attempt->call->plan.attempts[attempt->id.attempt].state == SGR_CALL_ATTEMPT_CANCELLING;

  switch (frame->body_case)
    {
    case SGR__PB__PEER_FRAME__BODY_ANSWER_HEAD:
      return is_cancelled ? SGR_OK : head_take (attempt, frame->answer_head);
    case SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK:
      return is_cancelled ? SGR_OK : chunk_take (attempt, frame->answer_chunk);
    case SGR__PB__PEER_FRAME__BODY_ANSWER_END:
      return is_cancelled ? SGR_OK : end_take (attempt, frame->answer_end);
    case SGR__PB__PEER_FRAME__BODY_REFUSAL:
      return refusal_take (attempt, frame->refusal);
    case SGR__PB__PEER_FRAME__BODY_QUERY_REPLY:
      return query_reply_take (attempt, frame->query_reply);
    default:
      return SGR_ERR_INVALID;
    }
}

void
sgr_data_attempt_lost (sgr_data_attempt_t *attempt)
{
  sgr_call_event_t event
      = { .kind = SGR_CALL_EVENT_CONNECTION_LOST, .attempt = attempt->id.attempt };

  balancer_finish (attempt, SGR_OUTCOME_UNKNOWN, true, NULL);
  if (attempt->call->streaming != attempt && attempt->has_head)
    {
      /* A query may bring the whole answer again, from its head. */
      sgr__pb__answer_head__free_unpacked (attempt->head, NULL);
      attempt->head = NULL;
      attempt->has_head = false;
      attempt->received = 0;
      attempt->body.length = 0;
    }
  event_apply (attempt->call, &event);
}
