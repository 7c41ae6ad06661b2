#include "data_gate.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "data_cold.h"
#include "data_load.h"
#include "data_memory.h"
#include "data_quota.h"
#include "gate_request.h"
#include "gate_run.h"
#include "log.h"

/* Time after its deadline at which a request with an idempotency key is aborted. Until then, a
   later attempt with the key can still get its answer. */
#define KEYED_ABORT_DELAY_US (30ULL * SGR_USEC_PER_SEC)
/* Maximum number of connections to a target that announces no limit of its own. */
#define DEFAULT_CONNECTIONS_MAX 240
/* Time after which an attempt that the memory budget refused may find room. */
#define BODY_RETRY_AFTER_MS 1000
/* Delay until the gate's next tick if work is still due after a tick. */
#define TICK_DELAY_MIN_US 1000
/* Size of the text that sgr_data_cold_log_text() writes. */
#define COLD_TEXT_BYTES 32

/* Whether the policy declares an HTTP status of the target as not-run. */
bool
sgr_data_gate_is_not_run_status (const sgr_data_gate_t *gate, int status)
{
  for (uint32_t i = 0; i < gate->policy.not_run_status_count; i++)
    {
      if (gate->policy.not_run_status[i] == status)
        return true;
    }
  return false;
}

void
sgr_data_gate_run_free (sgr_data_gate_t *gate, sgr_gate_run_t *run)
{
  sgr_timer_cancel (gate->task->timers, &run->deadline);
  sgr_memory_holder_end (&run->memory);
  /* A request that was sent counts even if its target did not run it completely. */
  if (run->started_us == 0 || run->is_declared_not_run)
    sgr_data_quotas_return (gate->task->quotas, &run->quota);
  sgr_request_ids_release (&run->request_ids);
  sgr_buffer_release (&run->message);
  sgr_buffer_release (&run->body);
  sgr_buffer_release (&run->backlog);
  sgr_buffer_release (&run->record);
  if (run->previous != NULL)
    run->previous->next = run->next;
  else
    gate->first_run = run->next;
  if (run->next != NULL)
    run->next->previous = run->previous;
  free (run);
  gate->runs--;
}

void
sgr_data_gate_tick (sgr_data_gate_t *gate, uint64_t now_us)
{
  uint64_t next_us = sgr_gate_tick (gate->core, now_us);

  if (next_us == SGR_TIMER_NEVER)
    sgr_timer_cancel (gate->task->timers, &gate->tick);
  else
    sgr_timer_arm (gate->task->timers, &gate->tick,
                   next_us > now_us ? next_us : now_us + TICK_DELAY_MIN_US);
  sgr_data_cold_change_check (gate, now_us);
}

static void
on_tick (void *ctx, uint64_t now_us)
{
  sgr_data_gate_tick (ctx, now_us);
}

static void
on_deadline (void *ctx, uint64_t now_us)
{
  sgr_gate_run_abort (ctx, SGR_CALL_REASON_DEADLINE);
}

static void
deadline_arm (sgr_gate_run_t *run)
{
  uint64_t due_us = run->deadline_us;

  /* A request with a key is aborted later than its deadline. Aborting closes the connection to the
     target, but the target may continue to run the request, and then its outcome is not known. If
     the request is not idempotent, it is better to learn the outcome than to free the connection
     early. */
  if (run->keyed)
    due_us += KEYED_ABORT_DELAY_US;
  sgr_timer_arm (run->gate->task->timers, &run->deadline, due_us);
}

static void
run_start (sgr_gate_run_t *run)
{
  sgr_counter_add (run->gate->starts, 1);
  deadline_arm (run);
  sgr_gate_run_start (run);
}

static void
on_gate_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  sgr_data_gate_t *gate = ctx;

  run_start (sgr_gate_handle_user (gate->core, handle));
}

static void
on_gate_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  sgr_data_gate_t *gate = ctx;
  sgr_gate_run_t *run = sgr_gate_handle_user (gate->core, handle);
  sgr_gate_refusal_t refusal = { .outcome = SGR_OUTCOME_NOT_RUN,
                                 .reason = SGR_CALL_REASON_REFUSED,
                                 .gate_reason = reason };
  char cold[COLD_TEXT_BYTES];

  if (reason == SGR_GATE_REASON_QUEUE_FULL || reason == SGR_GATE_REASON_DEADLINE
      || reason == SGR_GATE_REASON_LATE || reason == SGR_GATE_REASON_COLD
      || reason == SGR_GATE_REASON_SHARE)
    refusal.retry_after_ms = sgr_gate_retry_after_ms (gate->core, now_us);
  if (sgr_call_log_should_log (gate->task->call_log, now_us,
                               sgr_request_ids_log_name (&run->request_ids), true))
    sgr_log_info ("gate-dropped", "id=%s attempt=%u reason=%s wait_ms=%lu left_ms=%ld%s",
                  sgr_request_ids_log_name (&run->request_ids), run->id.attempt,
                  sgr_gate_reason_name (reason),
                  /* @now_us is the time at which the iteration of the event loop started. A request
                     that arrived within the iteration has a later time of arrival. */
                  sgr_ms_of (now_us > run->arrived_us ? now_us - run->arrived_us : 0),
                  ((long)run->deadline_us - (long)now_us) / 1000,
                  sgr_data_cold_log_text (gate, now_us, cold, sizeof cold));
  run->handle = 0;
  while (run->streaming != NULL || run->joined != NULL)
    {
      sgr_gate_waiter_t *waiter = run->streaming != NULL ? run->streaming : run->joined;

      sgr_gate_refusal_send (gate, waiter->channel, &waiter->id, &refusal);
      sgr_gate_run_detach (run, waiter);
    }
  sgr_data_gate_run_free (gate, run);
}

static const sgr_gate_callbacks_t gate_callbacks = {
  .start = on_gate_start,
  .refuse = on_gate_refuse,
};

static void
counters_create (sgr_data_gate_t *gate)
{
  sgr_metrics_t *metrics = gate->task->metrics;

  gate->starts = sgr_metrics_counter (metrics, "siskingrade_gate_starts_total", "");
  gate->queued = sgr_metrics_counter (metrics, "siskingrade_gate_queued_total", "");
  gate->duplicates = sgr_metrics_counter (metrics, "siskingrade_gate_duplicates_total", "");
  gate->misdirected = sgr_metrics_counter (metrics, "siskingrade_gate_misdirected_total", "");
  gate->bodies_refused
      = sgr_metrics_counter (metrics, "siskingrade_memory_refused_total", "kind=\"gate\"");
  if (gate->task->settings->evacuation_ms > 0)
    gate->evacuations_ended
        = sgr_metrics_counter (metrics, "siskingrade_gate_evacuations_ended_total", "");
}

sgr_data_gate_t *
sgr_data_gate_create (sgr_data_task_t *task)
{
  sgr_data_gate_t *gate = calloc (1, sizeof *gate);
  sgr_gate_options_t options;

  sgr_invariant (gate != NULL);
  gate->task = task;
  sgr_policy_init (&gate->policy, "");
  sgr_gate_options_init (&options, task->boot);
  options.answer_bytes_max = sgr_data_memory_answers_max (task, options.answer_bytes_max);
  options.start_us = sgr_clock_monotonic_us ();
  gate->core = sgr_gate_create (&options, &gate->policy, &gate_callbacks, gate);
  sgr_invariant (gate->core != NULL);
  gate->waiters = sgr_id_map_create ();
  gate->tick = (sgr_timer_t){ .fire = on_tick, .ctx = gate };
  counters_create (gate);
  sgr_data_load_init (gate);
  return gate;
}

/* Destroys replaced target clients whose requests have all ended. */
static void
retired_clients_purge (sgr_data_gate_t *gate)
{
  size_t kept = 0;

  for (size_t i = 0; i < gate->retired_count; i++)
    {
      if (sgr_target_client_is_idle (gate->retired[i]))
        sgr_target_client_destroy (gate->retired[i]);
      else
        gate->retired[kept++] = gate->retired[i];
    }
  gate->retired_count = kept;
}

/* Keeps a replaced target client until its open requests have ended. */
static void
client_retire (sgr_data_gate_t *gate)
{
  gate->retired = realloc (gate->retired, (gate->retired_count + 1) * sizeof *gate->retired);
  sgr_invariant (gate->retired != NULL);
  gate->retired[gate->retired_count++] = gate->client;
  gate->client = NULL;
}

void
sgr_data_gate_destroy (sgr_data_gate_t *gate)
{
  if (gate == NULL)
    return;
  sgr_timer_cancel (gate->task->timers, &gate->tick);
  sgr_data_load_stop (gate);
  sgr_gate_destroy (gate->core);
  sgr_id_map_destroy (gate->waiters);
  if (gate->client != NULL)
    client_retire (gate);
  retired_clients_purge (gate);
  free (gate->retired);
  free (gate);
}

/* A changed address or connection limit needs a new client. Requests that are already open finish
   with the old client. */
static void
client_update (sgr_data_gate_t *gate, const sgr_local_target_t *local)
{
  uint32_t connections = local->connections > 0 ? local->connections : DEFAULT_CONNECTIONS_MAX;

  if (local->service[0] == '\0')
    return;
  if (gate->client != NULL && gate->target.ip == local->address.ip
      && gate->target.port == local->address.port && gate->connections == connections)
    return;
  if (gate->client != NULL)
    client_retire (gate);
  gate->target = local->address;
  gate->connections = connections;
  gate->client = sgr_target_client_create (gate->task->loop, &local->address, connections);
}

/* Follows the evacuation of the node's failure domain. During it, the state of the local target in
   the snapshot is draining, so that the gate refuses new and queued attempts. A target may have
   been replaced or restarted meanwhile: nothing that was learned about it before the evacuation
   holds after its end. */
static void
evacuation_update (sgr_data_gate_t *gate, uint64_t now_us)
{
  bool is_evacuated = sgr_evacuation_has (&gate->task->snapshot->evacuation,
                                          gate->task->settings->failure_domain);

  if (gate->is_evacuated && !is_evacuated)
    {
      sgr_counter_add (gate->evacuations_ended, 1);
      sgr_data_gate_cold_forget (gate, now_us);
      sgr_gate_latencies_discard (gate->core);
    }
  gate->is_evacuated = is_evacuated;
}

void
sgr_data_gate_update (sgr_data_gate_t *gate, uint64_t now_us)
{
  const sgr_snapshot_t *snapshot = gate->task->snapshot;
  const sgr_local_target_t *local = &snapshot->local;

  retired_clients_purge (gate);
  evacuation_update (gate, now_us);
  client_update (gate, local);
  for (size_t i = 0; i < snapshot->policy_count; i++)
    {
      if (strcmp (snapshot->policies[i].service, local->service) == 0)
        {
          gate->policy = snapshot->policies[i];
          sgr_gate_policy_update (gate->core, now_us, &gate->policy);
        }
    }
  sgr_gate_fair_set (gate->core, snapshot->has_accounts, gate->task->settings->link_mbps);
  sgr_data_cold_local_apply (gate, now_us);
  sgr_gate_target_update (gate->core, now_us, local->state, local->slots);
  sgr_data_load_budget_update (gate, now_us);
  sgr_data_gate_tick (gate, now_us);
}

static void
attempt_fill (sgr_attempt_t *attempt, const Sgr__Pb__Call *call, const sgr_attempt_id_t *id,
              uint64_t now_us)
{
  *attempt = (sgr_attempt_t){ .id = *id,
                              .gate_boot = call->gate_boot,
                              .deadline_us = now_us + call->remaining_us,
                              .tenant = call->tenant,
                              .class_name = call->class_name,
                              .idempotent = call->idempotent,
                              .may_wait = call->may_wait,
                              .priority = call->priority };
  if (call->on_time_us > 0)
    attempt->on_time_us = now_us + call->on_time_us;
  if (call->key == NULL)
    return;
  attempt->has_key = true;
  attempt->key = (sgr_hash128_t){ call->key->high, call->key->low };
  attempt->key_generation = call->key->generation;
  attempt->fingerprint = (sgr_hash128_t){ call->key->fingerprint_high, call->key->fingerprint_low };
}

/* Returns the outcome to report for a refused attempt. An attempt without a key keeps @outcome. For
   an attempt with a key, not-run is reported only if the ledger has this outcome for the key,
   otherwise unknown: the gate did not run this attempt, but an earlier attempt with the key may
   have run. */
static sgr_outcome_t
refused_outcome (sgr_data_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
                 sgr_outcome_t outcome)
{
  sgr_gate_status_t status;

  if (!attempt->has_key || outcome != SGR_OUTCOME_NOT_RUN)
    return outcome;
  sgr_gate_key_query (gate->core, now_us, attempt->key, attempt->key_generation, attempt->gate_boot,
                      &status);
  if (status.phase == SGR_GATE_PHASE_SETTLED && status.outcome == SGR_OUTCOME_NOT_RUN)
    return SGR_OUTCOME_NOT_RUN;
  return SGR_OUTCOME_UNKNOWN;
}

static void
duplicate_handle (sgr_data_gate_t *gate, sgr_data_channel_t *channel, const Sgr__Pb__Call *call,
                  const sgr_attempt_t *attempt, const sgr_gate_status_t *status)
{
  sgr_gate_waiter_t waiter = { .id = attempt->id, .channel = channel };
  sgr_gate_refusal_t refusal = { .outcome = status->outcome,
                                 .reason = SGR_CALL_REASON_REFUSED,
                                 .gate_reason = status->reason };
  sgr_gate_run_t *run;

  sgr_counter_add (gate->duplicates, 1);
  if (status->phase != SGR_GATE_PHASE_SETTLED)
    {
      run = sgr_gate_handle_user (gate->core, status->handle);
      /* An attempt that already waits gets one answer, also if it is received more than once. */
      if (run == NULL || sgr_gate_waiter_find (gate, &attempt->id) != NULL)
        return;
      sgr_gate_waiter_join (gate, channel, &attempt->id, run);
      return;
    }
  if (status->answer != NULL
      && sgr_gate_recorded_answer_send (gate, &waiter, status->answer, status->answer_length))
    return;
  if (status->outcome == SGR_OUTCOME_COMPLETE)
    refusal = (sgr_gate_refusal_t){ .outcome = SGR_OUTCOME_UNKNOWN,
                                    .reason = SGR_CALL_REASON_ANSWER_LOST };
  sgr_gate_refusal_send (gate, channel, &attempt->id, &refusal);
}

/* Copies the request ids from the header fields of the call. */
static void
request_ids_copy (sgr_gate_run_t *run, const Sgr__Pb__Call *call)
{
  const char *name = run->gate->task->fields->request_id;

  for (size_t i = 0; i < call->n_headers; i++)
    {
      if (strcasecmp (call->headers[i]->name, name) == 0)
        sgr_request_ids_add (&run->request_ids, call->headers[i]->value);
    }
}

static sgr_gate_run_t *
run_create (sgr_data_gate_t *gate, const Sgr__Pb__Call *call, const sgr_attempt_t *attempt)
{
  sgr_gate_run_t *run = calloc (1, sizeof *run);

  sgr_invariant (run != NULL);
  run->gate = gate;
  run->idempotent = attempt->idempotent;
  run->keyed = attempt->has_key;
  run->is_head_method = strcmp (call->method, "HEAD") == 0;
  run->deadline_us = attempt->deadline_us;
  run->deadline = (sgr_timer_t){ .fire = on_deadline, .ctx = run };
  run->id = attempt->id;
  run->arrived_us = sgr_clock_monotonic_us ();
  run->memory.kind = SGR_MEMORY_GATE;
  sgr_memory_holder_begin (&run->memory, gate->task->memory, run->arrived_us);
  request_ids_copy (run, call);
  run->credit = call->credit < SGR_GATE_CREDIT_MAX_BYTES ? call->credit : SGR_GATE_CREDIT_MAX_BYTES;
  run->next = gate->first_run;
  if (run->next != NULL)
    run->next->previous = run;
  gate->first_run = run;
  gate->runs++;
  return run;
}

static void
refusal_log (sgr_data_gate_t *gate, uint64_t now_us, const sgr_data_channel_t *channel,
             const sgr_gate_run_t *run, const sgr_gate_decision_t *decision)
{
  const sgr_member_t *entry = sgr_data_member_find (gate->task, channel->node);
  char cold[COLD_TEXT_BYTES];
  sgr_load_report_t load;

  if (!sgr_call_log_should_log (gate->task->call_log, now_us,
                                sgr_request_ids_log_name (&run->request_ids), true))
    return;
  sgr_gate_load_report (gate->core, now_us, &load);
  sgr_log_info ("gate-refused",
                "id=%s entry=%s attempt=%u reason=%s outcome=%s running=%u queued=%u slots=%u "
                "cost=%u cost_age_ms=%lu state=%s left_ms=%ld retry_after_ms=%u%s",
                sgr_request_ids_log_name (&run->request_ids), entry != NULL ? entry->name : "-",
                run->id.attempt, sgr_gate_reason_name (decision->reason),
                sgr_outcome_name (decision->outcome), load.in_flight, load.queued, load.slots,
                load.cost_percent, sgr_ms_of (now_us - gate->load_received_us),
                sgr_target_state_name (load.state), ((long)run->deadline_us - (long)now_us) / 1000,
                decision->retry_after_ms, sgr_data_cold_log_text (gate, now_us, cold, sizeof cold));
}

static void
attempt_refuse (sgr_data_gate_t *gate, sgr_data_channel_t *channel, uint64_t now_us,
                const sgr_gate_run_t *run, const sgr_attempt_t *attempt,
                const sgr_gate_decision_t *decision)
{
  sgr_gate_refusal_t refusal = { .reason = SGR_CALL_REASON_REFUSED,
                                 .gate_reason = decision->reason,
                                 .retry_after_ms = decision->retry_after_ms };

  if (decision->kind == SGR_GATE_CONFLICT)
    refusal.reason = SGR_CALL_REASON_KEY_CONFLICT;
  refusal_log (gate, now_us, channel, run, decision);
  refusal.outcome = decision->kind == SGR_GATE_CONFLICT
                        ? decision->outcome
                        : refused_outcome (gate, now_us, attempt, decision->outcome);
  sgr_gate_refusal_send (gate, channel, &attempt->id, &refusal);
}

static void
run_admit (sgr_data_gate_t *gate, sgr_data_channel_t *channel, sgr_gate_run_t *run,
           const sgr_gate_decision_t *decision)
{
  run->handle = decision->handle;
  run->streaming = sgr_gate_waiter_create (gate, channel, &run->id, run->credit, run);
  if (decision->kind == SGR_GATE_START)
    run_start (run);
  else
    sgr_counter_add (gate->queued, 1);
}

void
sgr_data_gate_call (sgr_data_gate_t *gate, sgr_data_channel_t *channel, const Sgr__Pb__Call *call,
                    sgr_buffer_t *body)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_attempt_id_t id = { call->id->node, call->id->boot, call->id->sequence, call->id->attempt };
  sgr_gate_decision_t decision = { .kind = SGR_GATE_REFUSED,
                                   .reason = SGR_GATE_REASON_NOT_READY,
                                   .outcome = SGR_OUTCOME_NOT_RUN };
  sgr_attempt_t attempt;
  sgr_gate_run_t *run;

  attempt_fill (&attempt, call, &id, now_us);
  sgr_data_load_query_activate (gate, now_us);
  run = run_create (gate, call, &attempt);
  attempt.request_bytes = body->length;
  attempt.user = run;
  attempt.is_over_quota = !sgr_data_quotas_take (gate->task->quotas, call->tenant, &run->quota,
                                                 &attempt.quota_retry_ms);
  if (strcmp (call->service, gate->policy.service) == 0 && gate->client != NULL)
    sgr_gate_attempt_admit (gate->core, now_us, &attempt, &decision);
  else
    sgr_counter_add (gate->misdirected, 1);
  if (decision.kind == SGR_GATE_START || decision.kind == SGR_GATE_QUEUED)
    {
      /* Writes the head only after admission: under overload a refusal has to be cheap. */
      sgr_gate_request_head_begin (call, &id, gate->task->fields->instance,
                                   gate->task->snapshot->local.instance, body->length,
                                   &run->message);
      run->body = *body;
      *body = (sgr_buffer_t){ 0 };
      sgr_memory_budget_charge (&run->memory, run->body.length, now_us);
      run_admit (gate, channel, run, &decision);
      sgr_data_load_report_if_changed (gate);
      sgr_data_gate_tick (gate, now_us);
      return;
    }
  if (decision.kind == SGR_GATE_DUPLICATE)
    duplicate_handle (gate, channel, call, &attempt, &decision.status);
  else
    attempt_refuse (gate, channel, now_us, run, &attempt, &decision);
  sgr_data_gate_run_free (gate, run);
  sgr_data_gate_tick (gate, now_us);
}

void
sgr_data_gate_body_refuse (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                           const Sgr__Pb__Call *call)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_attempt_id_t id = { call->id->node, call->id->boot, call->id->sequence, call->id->attempt };
  sgr_gate_refusal_t refusal = { .reason = SGR_CALL_REASON_REFUSED,
                                 .gate_reason = SGR_GATE_REASON_QUEUE_FULL,
                                 .retry_after_ms = BODY_RETRY_AFTER_MS };
  sgr_attempt_t attempt;

  /* The ledger has no record of the attempt. A later query leaves a tombstone there, which says
     not-run as well. */
  attempt_fill (&attempt, call, &id, now_us);
  refusal.outcome = refused_outcome (gate, now_us, &attempt, SGR_OUTCOME_NOT_RUN);
  sgr_counter_add (gate->bodies_refused, 1);
  gate->task->memory_events++;
  sgr_gate_refusal_send (gate, channel, &id, &refusal);
}

void
sgr_data_gate_drain (sgr_data_gate_t *gate, uint64_t now_us)
{
  sgr_gate_drain_begin (gate->core, now_us);
}

bool
sgr_data_gate_is_idle (const sgr_data_gate_t *gate)
{
  return gate->runs == 0;
}

void
sgr_data_gate_load_report (const sgr_data_gate_t *gate, Sgr__Pb__LoadReport *load)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_load_report_t report;

  sgr_gate_load_report (gate->core, now_us, &report);
  sgr_frame_load_set (load, &report);
  load->key_generation = sgr_gate_key_generation (gate->core, now_us);
}

void
sgr_data_gate_metrics_set (const sgr_data_gate_t *gate)
{
  sgr_gate_metrics_set (gate->core, sgr_clock_monotonic_us (), gate->task->metrics);
}
