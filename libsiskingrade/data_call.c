#include "data_call_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "data_link.h"
#include "data_memory.h"
#include "data_quota.h"
#include "http_fields.h"

/* Index of the first attempt that the gate of a slowed target may queue in any case. */
#define MAY_WAIT_FROM_ATTEMPT 2
/* Retry-After of a call that found no token of its account at the gates that it tried, while others
   may have some. Within this time the gates have asked for more. */
#define QUOTA_RETRY_AFTER_MS 60
/* Latency samples needed for hedging; the percentile of fewer samples is unreliable. */
#define HEDGE_SAMPLES_MIN 100

static void
open_call_add (sgr_data_call_t *call)
{
  sgr_data_task_t *task = call->task;

  call->next = task->open_calls;
  if (call->next != NULL)
    call->next->previous = call;
  task->open_calls = call;
  task->calls++;
}

static void
open_call_remove (sgr_data_call_t *call)
{
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    call->task->open_calls = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  call->task->calls--;
}

/* Frees an ended call once no event is being handled and h2o has disposed of the request. */
static void
call_free_if_done (sgr_data_call_t *call)
{
  if (call->event_depth > 0 || !call->is_finished || call->req != NULL)
    return;
  for (size_t i = 0; i < SGR_CALL_ATTEMPTS_MAX; i++)
    {
      sgr_invariant (call->attempts[i].link == NULL);
      sgr_buffer_release (&call->attempts[i].body);
      if (call->attempts[i].head != NULL)
        sgr__pb__answer_head__free_unpacked (call->attempts[i].head, NULL);
    }
  sgr_memory_holder_end (&call->memory);
  sgr_timer_cancel (call->task->timers, &call->timer);
  open_call_remove (call);
  free (call);
}

static sgr_data_attempt_t *
attempt_get (sgr_data_call_t *call, uint32_t index)
{
  sgr_invariant (index < SGR_CALL_ATTEMPTS_MAX);
  return &call->attempts[index];
}

void
sgr_data_attempt_balancer_finish (sgr_data_attempt_t *attempt, sgr_outcome_t outcome, bool is_error,
                                  const Sgr__Pb__LoadReport *message)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_load_report_t load;

  if (!attempt->is_outstanding)
    return;
  attempt->is_outstanding = false;
  if (message != NULL)
    {
      sgr_frame_load_get (message, &load);
      sgr_data_link_key_generation_set (attempt->link, message);
    }
  sgr_balancer_attempt_finish (attempt->call->service->balancer, now_us, attempt->target, outcome,
                               now_us - attempt->start_us, is_error,
                               message != NULL ? &load : NULL);
}

static void
attempt_detach (sgr_data_attempt_t *attempt)
{
  if (attempt->link == NULL)
    return;
  sgr_data_attempt_balancer_finish (attempt, SGR_OUTCOME_UNKNOWN, false, NULL);
  sgr_id_map_remove (attempt->call->task->attempts, sgr_data_attempt_map_key (&attempt->id));
  sgr_data_link_detach (attempt->link, attempt);
}

static void
attempt_cancel (sgr_data_attempt_t *attempt)
{
  if (attempt->link == NULL)
    return;
  sgr_data_attempt_balancer_finish (attempt, SGR_OUTCOME_UNKNOWN,
                                    sgr_clock_monotonic_us () >= attempt->call->request.deadline_us,
                                    NULL);
  sgr_data_send_cancel (attempt);
}

/* Returns what the choice of a target needs to know of a call. A call that is late already has one
   microsecond left: 0 stands for a call without a time limit. */
static sgr_balancer_call_t
balancer_call (const sgr_data_call_t *call, uint64_t now_us)
{
  uint64_t on_time_us = call->request.on_time_us;
  sgr_balancer_call_t properties = { .bytes = call->req->entity.len
                                              + sgr_data_service_answer_bytes_estimate (
                                                  call->service, call->request.class_name),
                                     .regions = call->request.regions };

  if (call->request.account != SGR_ACCOUNT_NONE)
    {
      properties.affinity_count
          = sgr_data_quotas_affinity (call->task->quotas, call->request.account);
      properties.affinity_seed = sgr_data_quotas_affinity_seed (call->request.tenant);
    }
  if (on_time_us > 0)
    properties.on_time_left_us = on_time_us > now_us ? on_time_us - now_us : 1;
  return properties;
}

/* Returns the target whose gate a call's idempotency key is bound to, none if it is in a region
   that may not run the call. */
static sgr_balancer_target_t
key_target_find (sgr_data_call_t *call)
{
  sgr_balancer_t *balancer = call->service->balancer;
  sgr_balancer_target_t target = sgr_balancer_target_find (balancer, call->request.issued_key.node);
  const sgr_balancer_target_info_t *info = sgr_balancer_target_info (balancer, target);

  if (info == NULL || sgr_region_limit_allows (&call->request.regions, info->region))
    return target;
  call->is_key_gate_denied = true;
  return SGR_BALANCER_TARGET_NONE;
}

/* Chooses the gate of an attempt and opens the link to it. A call with an idempotency key goes to
   the gate that the key is bound to, any other call to a target that it has not tried yet. */
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
      attempt->target = key_target_find (call);
    }
  else
    {
      uint64_t now_us = sgr_clock_monotonic_us ();
      sgr_balancer_call_t properties = balancer_call (call, now_us);

      attempt->target = sgr_data_service_pick (call->service, now_us, excluded, count, &properties,
                                               &node, &attempt->may_wait);
    }
  if (attempt->target == SGR_BALANCER_TARGET_NONE)
    return NULL;
  link = sgr_data_link_get (call->task->links, node);
  if (link == NULL || sgr_data_link_open (link) != SGR_OK)
    return NULL;
  sgr_data_link_gate_info (link, &attempt->gate_boot, &generation);
  if (call->request.has_key)
    attempt->gate_boot = call->request.issued_key.boot;
  return link;
}

static void
attempt_start (sgr_data_call_t *call, const sgr_call_action_t *action)
{
  sgr_data_attempt_t *attempt = attempt_get (call, action->attempt);
  sgr_call_event_t event = { .attempt = action->attempt };
  sgr_data_link_t *link = call->req != NULL ? link_choose (call, attempt) : NULL;

  if (link == NULL)
    {
      event.kind = SGR_CALL_EVENT_NO_TARGET;
      sgr_data_call_event (call, &event);
      return;
    }
  event.kind = SGR_CALL_EVENT_PICKED;
  event.target = sgr_data_link_node (link);
  sgr_data_call_event (call, &event);
  attempt->call = call;
  attempt->id = (sgr_attempt_id_t){ .node = call->task->node,
                                    .boot = call->task->boot,
                                    .sequence = call->sequence,
                                    .attempt = action->attempt };
  sgr_id_map_put (call->task->attempts, sgr_data_attempt_map_key (&attempt->id), attempt);
  sgr_data_link_attach (link, attempt);
  attempt->start_us = sgr_clock_monotonic_us ();
  attempt->is_outstanding = true;
  attempt->node = event.target;
  sgr_balancer_report_get (call->service->balancer, attempt->start_us, attempt->target,
                           &attempt->load);
  /* The gate of a slowed target may queue an early attempt only if the balancer knew that the
     target is slowed. Otherwise the choice was based on an outdated load report, and the gate
     refuses the attempt at once, so that another target can be tried. Later attempts may always be
     queued, because after refusals it is more likely that all targets are slowed. */
  attempt->may_wait
      = attempt->may_wait || action->attempt >= MAY_WAIT_FROM_ATTEMPT
        || sgr_balancer_is_slowed (call->service->balancer, attempt->start_us, attempt->target);
  sgr_balancer_attempt_start (call->service->balancer, attempt->start_us, attempt->target);
  event.kind = SGR_CALL_EVENT_SENT;
  sgr_data_call_event (call, &event);
  if (sgr_data_send_call (attempt, &action->chain) != SGR_OK && attempt->link != NULL)
    sgr_data_attempt_connection_lost (attempt);
}

static int
error_http_status (const sgr_call_action_t *finish)
{
  if (finish->reason == SGR_CALL_REASON_KEY_CONFLICT)
    return 422;
  if (finish->outcome == SGR_OUTCOME_NOT_RUN && finish->reason == SGR_CALL_REASON_REFUSED
      && finish->gate_reason == SGR_GATE_REASON_QUOTA)
    return 429;
  /* A call that was not run gets 503 for every other reason, because 503 tells the caller that it
     may send the call again. A 504 would not say so. */
  if (finish->outcome == SGR_OUTCOME_NOT_RUN)
    return 503;
  return finish->reason == SGR_CALL_REASON_DEADLINE ? 504 : 502;
}

static void
error_answer_send (sgr_data_call_t *call, const sgr_call_action_t *finish)
{
  sgr_data_error_t error = { .status = error_http_status (finish),
                             .outcome = finish->outcome,
                             .reason = finish->reason == SGR_CALL_REASON_REFUSED
                                           ? sgr_gate_reason_name (finish->gate_reason)
                                           : sgr_call_reason_name (finish->reason),
                             .is_repeat_safe = finish->repeat_safe,
                             .retry_after_ms = finish->retry_after_ms,
                             .has_retry_fractions = call->task->fields->has_retry_fractions };
  char labels[128];

  if (error.status == 429 && error.retry_after_ms == 0)
    error.retry_after_ms = QUOTA_RETRY_AFTER_MS;
  /* None of the attempts of this call was run. But if the gate has not looked up the key, an
     earlier call with the same key may have run. So the outcome is unknown, and the status is not
     503, which stands for not-run. */
  if (call->request.has_key && error.outcome == SGR_OUTCOME_NOT_RUN && !call->is_key_checked)
    {
      error.outcome = SGR_OUTCOME_UNKNOWN;
      if (finish->reason == SGR_CALL_REASON_NO_TARGET)
        error.reason = call->is_key_gate_denied ? "key-gate-not-allowed" : "key-gate-unreachable";
      error.status = error.status == 503 ? 502 : error.status;
    }
  snprintf (labels, sizeof labels, "outcome=\"%s\",reason=\"%s\"", sgr_outcome_name (error.outcome),
            error.reason);
  sgr_counter_add (
      sgr_metrics_counter (call->task->metrics, "siskingrade_call_errors_total", labels), 1);
  h2o_add_header_by_str (&call->req->pool, &call->req->res.headers,
                         H2O_STRLIT ("siskingrade-retried"), 0, NULL,
                         sgr_retry_downstream_name (finish->retried_downstream),
                         strlen (sgr_retry_downstream_name (finish->retried_downstream)));
  sgr_data_error_send (call->req, &error);
}

static void
on_delivered (void *ctx, size_t bytes)
{
  sgr_data_call_t *call = ctx;

  sgr_memory_budget_release (&call->memory, bytes);
  sgr_memory_budget_progress (&call->memory, sgr_clock_monotonic_us ());
  if (call->streaming == NULL || call->is_finished)
    return;
  call->streaming->delivered += bytes;
  sgr_data_send_credit (call->streaming, bytes);
}

void
sgr_data_call_answer_start (sgr_data_call_t *call, sgr_data_attempt_t *attempt, int64_t body_length)
{
  bool is_head_method
      = h2o_memis (call->req->method.base, call->req->method.len, H2O_STRLIT ("HEAD"));

  call->streaming = attempt;
  call->answer = sgr_data_answer_start (call->req, attempt->head, is_head_method ? -1 : body_length,
                                        on_delivered, call);
  sgr_data_answer_body_append (call->answer, attempt->body.bytes, attempt->body.length);
  /* The answer keeps the bytes from now on. */
  sgr_buffer_release (&attempt->body);
}

static void
latency_record (sgr_data_call_t *call)
{
  sgr_data_service_latency_record (call->service, call->task->metrics, call->request.tenant,
                                   call->request.class_name,
                                   sgr_clock_monotonic_us () - call->start_us);
}

/* Tells the throttle of the service that gates refused the call as beyond its account's share. */
static void
share_refusal_record (const sgr_data_call_t *call, const sgr_call_action_t *action)
{
  if (call->service->throttle != NULL && action->outcome == SGR_OUTCOME_NOT_RUN
      && action->reason == SGR_CALL_REASON_REFUSED && action->gate_reason == SGR_GATE_REASON_SHARE)
    sgr_share_throttle_refused (
        call->service->throttle, call->now_us,
        sgr_share_throttle_key (call->request.tenant, call->request.priority));
}

static void
call_finish (sgr_data_call_t *call, const sgr_call_action_t *action)
{
  call->is_finished = true;
  share_refusal_record (call, action);
  sgr_data_call_log (call, action);
  sgr_timer_cancel (call->task->timers, &call->timer);
  if (call->req != NULL && action->outcome == SGR_OUTCOME_COMPLETE)
    {
      sgr_data_attempt_t *attempt = attempt_get (call, action->attempt);

      latency_record (call);
      sgr_data_service_answer_bytes_record (call->service, call->request.class_name,
                                            attempt->received);
      if (call->answer == NULL)
        sgr_data_call_answer_start (call, attempt, (int64_t)attempt->received);
      sgr_data_answer_end (call->answer);
    }
  else if (call->req != NULL && call->answer != NULL)
    sgr_data_answer_abort (call->answer);
  else if (call->req != NULL)
    error_answer_send (call, action);
  for (size_t i = 0; i < SGR_CALL_ATTEMPTS_MAX; i++)
    attempt_detach (&call->attempts[i]);
}

/* Records the first known outcome of an attempt for the log. */
static void
attempt_end_record (sgr_data_call_t *call, const sgr_call_event_t *event)
{
  sgr_data_attempt_t *attempt;

  if (event->kind != SGR_CALL_EVENT_OUTCOME && event->kind != SGR_CALL_EVENT_CONNECTION_LOST
      && event->kind != SGR_CALL_EVENT_QUERY_REPLY)
    return;
  attempt = attempt_get (call, event->attempt);
  if (attempt->end_us != 0)
    return;
  attempt->end_us = call->now_us;
  attempt->outcome = event->outcome;
  attempt->reason = event->reason;
  attempt->gate_reason = event->gate_reason;
  if (event->kind == SGR_CALL_EVENT_CONNECTION_LOST)
    {
      attempt->outcome = SGR_OUTCOME_UNKNOWN;
      attempt->reason = SGR_CALL_REASON_CONNECTION_LOST;
    }
}

void
sgr_data_call_event (sgr_data_call_t *call, const sgr_call_event_t *event)
{
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  size_t count;

  if (call->event_depth++ == 0)
    call->now_us = sgr_clock_monotonic_us ();
  attempt_end_record (call, event);
  count = sgr_call_plan_event (&call->plan, call->now_us, event, actions);
  for (size_t i = 0; i < count && !call->is_finished; i++)
    {
      if (actions[i].kind == SGR_CALL_ACTION_START)
        attempt_start (call, &actions[i]);
      else if (actions[i].kind == SGR_CALL_ACTION_QUERY)
        sgr_data_send_query (attempt_get (call, actions[i].attempt));
      else if (actions[i].kind == SGR_CALL_ACTION_CANCEL)
        attempt_cancel (attempt_get (call, actions[i].attempt));
      else
        call_finish (call, &actions[i]);
    }
  if (!call->is_finished && call->plan.timer_us != SGR_TIMER_NEVER)
    sgr_timer_arm (call->task->timers, &call->timer, call->plan.timer_us);
  call->event_depth--;
  call_free_if_done (call);
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_TIMER };

  sgr_data_call_event (ctx, &event);
}

void
sgr_data_calls_deadline_limit (sgr_data_task_t *task, uint64_t deadline_us)
{
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_TIMER };
  sgr_data_call_t *next;

  for (sgr_data_call_t *call = task->open_calls; call != NULL; call = next)
    {
      next = call->next;
      if (call->is_finished || call->request.deadline_us <= deadline_us)
        continue;
      call->request.deadline_us = deadline_us;
      call->plan.options.deadline_us = deadline_us;
      /* The plan computes its timer again. It does not end a call here, as the deadline is not
         reached yet. */
      sgr_data_call_event (call, &event);
    }
}

static void
on_request_disposed (void *object)
{
  sgr_data_call_t *call = *(sgr_data_call_t **)object;
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_CANCEL };

  call->req = NULL;
  if (call->event_depth++ == 0)
    call->now_us = sgr_clock_monotonic_us ();
  if (!call->is_finished)
    sgr_data_call_event (call, &event);
  call->event_depth--;
  call_free_if_done (call);
}

/* Ends the connection of a caller that does not take its answer, since the answer cannot be ended
   in another way that the caller could tell from a whole one. */
static void
on_memory_drop (void *ctx)
{
  sgr_data_call_t *call = ctx;

  if (call->req != NULL)
    sgr_data_caller_disconnect (call->req);
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
  sgr_data_call_t **call_ref;

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
  /* h2o calls on_request_disposed() when it frees this memory together with the request. */
  call_ref = h2o_mem_alloc_shared (&req->pool, sizeof *call_ref, on_request_disposed);
  *call_ref = call;
  call->memory = (sgr_memory_holder_t){ .kind = SGR_MEMORY_ANSWER,
                                        .address = sgr_data_caller_address (req),
                                        .may_drop = true,
                                        .drop = on_memory_drop,
                                        .ctx = call };
  sgr_memory_holder_begin (&call->memory, task->memory, call->start_us);
  open_call_add (call);
  sgr_call_options_init (&options);
  options.idempotent = request->is_idempotent;
  options.keyed = request->has_key;
  options.deadline_us = request->deadline_us;
  options.attempts_max = request->attempts_max + request->refusals_max;
  options.sends_max = request->attempts_max;
  options.hedge_delay_us = hedge_delay_us (service);
  options.chain = request->chain;
  options.budget = &service->retry_budget;
  sgr_call_plan_init (&call->plan, &options);
  sgr_data_call_event (call, &event);
}
