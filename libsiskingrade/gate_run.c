#include "gate_run.h"

#include <stdlib.h>
#include <string.h>

#include "data_cold.h"
#include "data_load.h"
#include "gate_request.h"
#include "log.h"

/* Number of consecutive failed connections to the target after which it is reported as unreachable.
   The report is repeated after every further CONNECT_FAILURES_PER_REPORT failures. */
#define CONNECT_FAILURES_PER_REPORT 2
/* Largest recorded answer with its encoded head; larger answers are forwarded but not recorded. */
#define ANSWER_RECORD_MAX_BYTES (64U * 1024)

/* Sends a refusal to all waiters of a run and frees them. */
static void
waiters_refuse (sgr_gate_run_t *run, const sgr_gate_refusal_t *refusal)
{
  sgr_gate_waiter_t *waiters[2] = { run->streaming, run->joined };

  run->streaming = NULL;
  run->joined = NULL;
  for (int i = 0; i < 2; i++)
    {
      while (waiters[i] != NULL)
        {
          sgr_gate_waiter_t *waiter = waiters[i];

          waiters[i] = waiter->next;
          sgr_gate_refusal_send (run->gate, waiter->channel, &waiter->id, refusal);
          sgr_data_gate_waiter_free (run->gate, waiter);
        }
    }
}

/* Finishes the attempt of a run at the gate, which releases the slot. Returns the final outcome. */
static sgr_outcome_t
run_attempt_finish (sgr_gate_run_t *run, sgr_outcome_t outcome)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_gate_finish_t finish = { .outcome = outcome, .declared_not_run = run->is_declared_not_run };
  sgr_gate_handle_t handle = run->handle;

  sgr_timer_cancel (run->gate->task->timers, &run->deadline);
  finish.answer_bytes = run->received;
  if (run->started_us != 0)
    finish.latency_us = now_us - run->started_us;
  if (outcome == SGR_OUTCOME_COMPLETE && run->is_recording)
    {
      finish.answer = run->record.bytes;
      finish.answer_length = run->record.length;
    }
  run->handle = 0;
  outcome = sgr_gate_attempt_finish (run->gate->core, handle, now_us, &finish);
  sgr_data_load_report_if_changed (run->gate);
  return outcome;
}

/* Logs a run that has ended. Must be called before the slot of the run is released, so that the
   logged load includes this run. */
static void
run_log (const sgr_gate_run_t *run, const char *reason, bool has_failed)
{
  const sgr_data_gate_t *gate = run->gate;
  uint64_t now_us = sgr_clock_monotonic_us ();
  uint64_t started_us = run->started_us != 0 ? run->started_us : now_us;
  sgr_load_report_t load;

  if (!sgr_call_log_should_log (gate->task->call_log, now_us,
                                sgr_request_ids_log_name (&run->request_ids), has_failed))
    return;
  sgr_gate_load_report (gate->core, now_us, &load);
  sgr_log_info ("gate-ran",
                "id=%s attempt=%u instance=%s reason=%s started=%s status=%d bytes=%lu wait_ms=%lu "
                "run_ms=%lu running=%u queued=%u cost=%u left_ms=%ld",
                sgr_request_ids_log_name (&run->request_ids), run->id.attempt,
                gate->task->snapshot->local.instance, reason, run->started_us != 0 ? "yes" : "no",
                run->status, run->received, sgr_ms_of (started_us - run->arrived_us),
                sgr_ms_of (now_us - started_us), load.in_flight, load.queued, load.cost_percent,
                ((long)run->deadline_us - (long)now_us) / 1000);
}

/* Ends a run without a complete answer: refuses its waiters and frees it. */
static void
run_end_without_answer (sgr_gate_run_t *run, sgr_outcome_t outcome, sgr_call_reason_t reason)
{
  sgr_gate_refusal_t refusal = { .reason = reason };

  run_log (run, sgr_call_reason_name (reason), true);
  refusal.outcome = run_attempt_finish (run, outcome);
  run->request = NULL;
  waiters_refuse (run, &refusal);
  sgr_data_gate_run_free (run->gate, run);
}

static bool
on_request_starting (void *ctx)
{
  sgr_gate_run_t *run = ctx;

  run->is_connected = true;
  run->gate->connect_failures = 0;
  if (!sgr_gate_attempt_mark_started (run->gate->core, run->handle))
    return false;
  run->started_us = sgr_clock_monotonic_us ();
  sgr_gate_attempt_sent (run->gate->core, run->handle, run->started_us);
  return true;
}

static const sgr_http_field_t *
field_find (const sgr_http_field_t *fields, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    {
      if (h2o_lcstris (fields[i].name, fields[i].name_length, name, strlen (name)))
        return &fields[i];
    }
  return NULL;
}

/* Handles the head of an answer by which the target declares that it did not run the request. A
   copy of it may follow on the connection, and would be taken for the answer to the next request,
   which is running then. The id of the request tells them apart, unless the next one has the same:
   it may with a key, whose requests all come to this gate. */
static void
refusal_receive (sgr_gate_run_t *run, const sgr_http_field_t *fields, size_t count)
{
  run->is_declared_not_run = true;
  if (!run->keyed
      && sgr_request_ids_are_repeated (&run->request_ids, run->gate->task->fields, fields, count))
    return;
  /* Closes the connection. */
  sgr_target_request_cancel (run->request);
  run_end_without_answer (run, SGR_OUTCOME_NOT_RUN, SGR_CALL_REASON_TARGET_NOT_RUN);
}

static void
on_answer_head (void *ctx, int status, const sgr_http_field_t *fields, size_t count,
                int64_t body_length)
{
  sgr_gate_run_t *run = ctx;
  sgr_buffer_t head = { 0 };

  sgr_data_load_field_apply (run->gate, field_find (fields, count, run->gate->task->fields->load));
  if (!sgr_request_ids_match (&run->request_ids, run->gate->task->fields, fields, count))
    {
      /* The abort closes the connection, because later answers on it may belong to other requests,
         too. */
      sgr_gate_run_abort (run, SGR_CALL_REASON_ANSWER_LOST);
      return;
    }
  if (sgr_data_gate_is_not_run_status (run->gate, status)
      || field_find (fields, count, run->gate->task->fields->not_run) != NULL)
    {
      refusal_receive (run, fields, count);
      return;
    }
  run->status = status;
  sgr_gate_answer_head_encode (&head, status, fields, count, body_length, run->is_head_method);
  run->has_head = true;
  if (run->streaming != NULL
      && !sgr_gate_answer_head_send (run->streaming, head.bytes, head.length))
    {
      sgr_gate_refusal_t refusal
          = { .outcome = SGR_OUTCOME_UNKNOWN, .reason = SGR_CALL_REASON_ANSWER_LOST };
      sgr_gate_waiter_t *waiter = run->streaming;

      run->streaming = NULL;
      sgr_gate_refusal_send (run->gate, waiter->channel, &waiter->id, &refusal);
      sgr_data_gate_waiter_free (run->gate, waiter);
    }
  /* The answer is recorded if an entry may query it later: for a key, for a non-idempotent request
     (whose entry queries after a broken connection), and for an entry whose connection has already
     broken. */
  run->is_recording = run->keyed || !run->idempotent || run->streaming == NULL;
  if (run->is_recording)
    {
      sgr_buffer_append (&run->record, head.bytes, head.length);
      sgr_memory_budget_charge (&run->memory, head.length, sgr_clock_monotonic_us ());
    }
  sgr_buffer_release (&head);
}

/* Sends as much of the backlog as the credit of the entry allows. */
static void
backlog_flush (sgr_gate_run_t *run)
{
  sgr_gate_waiter_t *waiter = run->streaming;
  size_t length = run->backlog.length;

  if (waiter == NULL || length == 0)
    return;
  if (length > waiter->credit)
    length = (size_t)waiter->credit;
  waiter->credit -= length;
  sgr_gate_answer_chunk_send (waiter, run->backlog.bytes, length);
  sgr_buffer_consume (&run->backlog, length);
  sgr_memory_budget_release (&run->memory, length);
}

static void
on_answer_body (void *ctx, const void *bytes, size_t length)
{
  sgr_gate_run_t *run = ctx;

  if (run->is_declared_not_run)
    return;
  run->received += length;
  if (run->is_recording)
    {
      sgr_buffer_append (&run->record, bytes, length);
      sgr_memory_budget_charge (&run->memory, length, sgr_clock_monotonic_us ());
      run->is_recording = run->record.length <= ANSWER_RECORD_MAX_BYTES;
      if (!run->is_recording)
        {
          sgr_memory_budget_release (&run->memory, run->record.length);
          sgr_buffer_release (&run->record);
        }
    }
  if (run->streaming == NULL)
    return;
  sgr_buffer_append (&run->backlog, bytes, length);
  sgr_memory_budget_charge (&run->memory, length, sgr_clock_monotonic_us ());
  backlog_flush (run);
  if (run->backlog.length > 0)
    sgr_target_request_pause (run->request);
}

/* Sends the recorded answer to all joined waiters, or a refusal if the answer was not recorded. */
static void
joined_waiters_answer (sgr_gate_run_t *run)
{
  sgr_gate_refusal_t refusal
      = { .outcome = SGR_OUTCOME_UNKNOWN, .reason = SGR_CALL_REASON_ANSWER_LOST };

  while (run->joined != NULL)
    {
      sgr_gate_waiter_t *waiter = run->joined;

      run->joined = waiter->next;
      if (!run->is_recording
          || !sgr_gate_recorded_answer_send (run->gate, waiter, run->record.bytes,
                                             run->record.length))
        sgr_gate_refusal_send (run->gate, waiter->channel, &waiter->id, &refusal);
      sgr_data_gate_waiter_free (run->gate, waiter);
    }
}

bool
sgr_gate_run_free_if_done (sgr_gate_run_t *run)
{
  if (run->request != NULL || run->handle != 0)
    return false;
  if (run->streaming != NULL)
    {
      if (run->backlog.length > 0)
        return false;
      sgr_gate_answer_end_send (run->gate, run->streaming);
      sgr_data_gate_waiter_free (run->gate, run->streaming);
      run->streaming = NULL;
    }
  sgr_data_gate_run_free (run->gate, run);
  return true;
}

static void
on_answer_end (void *ctx)
{
  sgr_gate_run_t *run = ctx;

  if (run->is_declared_not_run)
    {
      run_end_without_answer (run, SGR_OUTCOME_NOT_RUN, SGR_CALL_REASON_TARGET_NOT_RUN);
      return;
    }
  run->request = NULL;
  sgr_counter_add (run->gate->task->completed, 1);
  run_log (run, "none", false);
  run_attempt_finish (run, SGR_OUTCOME_COMPLETE);
  joined_waiters_answer (run);
  backlog_flush (run);
  sgr_gate_run_free_if_done (run);
}

/* Counts a failed connection to the target. After CONNECT_FAILURES_PER_REPORT consecutive ones,
   reports the target as unreachable instead of waiting until its announcement expires. */
static void
connect_failure_record (sgr_data_gate_t *gate)
{
  if (++gate->connect_failures % CONNECT_FAILURES_PER_REPORT == 0)
    gate->task->events.target_unreachable (gate->task->events_ctx);
}

static void
on_request_failed (void *ctx, bool is_started, const char *reason)
{
  sgr_gate_run_t *run = ctx;

  if (!run->is_connected)
    connect_failure_record (run->gate);
  /* Before the run ends, because its end may start further attempts. A request that ends unsent on
     a ready connection was cancelled. */
  if (!run->is_connected || is_started)
    sgr_data_cold_connection_failed (run->gate, sgr_clock_monotonic_us ());
  run_end_without_answer (run, is_started ? SGR_OUTCOME_UNKNOWN : SGR_OUTCOME_NOT_RUN,
                          is_started ? SGR_CALL_REASON_CONNECTION_LOST : SGR_CALL_REASON_NO_TARGET);
}

static const sgr_target_handlers_t handlers = {
  .starting = on_request_starting,
  .head = on_answer_head,
  .body = on_answer_body,
  .done = on_answer_end,
  .failed = on_request_failed,
};

void
sgr_gate_run_start (sgr_gate_run_t *run)
{
  uint64_t now_us = sgr_clock_monotonic_us ();

  sgr_gate_request_head_finish (run->gate->task->fields->deadline,
                                run->deadline_us > now_us ? run->deadline_us - now_us : 0,
                                &run->message);
  run->request = sgr_target_request_start (run->gate->client, &run->message, &run->body,
                                           run->is_head_method, &handlers, run);
}

void
sgr_gate_run_abort (sgr_gate_run_t *run, sgr_call_reason_t reason)
{
  sgr_outcome_t outcome = run->started_us != 0 ? SGR_OUTCOME_UNKNOWN : SGR_OUTCOME_NOT_RUN;

  if (run->request != NULL)
    sgr_target_request_cancel (run->request);
  run_end_without_answer (run, outcome, reason);
}

void
sgr_gate_run_credit_add (sgr_gate_run_t *run, uint32_t bytes)
{
  run->streaming->credit += bytes;
  if (run->streaming->credit > SGR_GATE_CREDIT_MAX_BYTES)
    run->streaming->credit = SGR_GATE_CREDIT_MAX_BYTES;
  backlog_flush (run);
  if (run->backlog.length > 0)
    return;
  if (run->request != NULL)
    sgr_target_request_resume (run->request);
  else
    sgr_gate_run_free_if_done (run);
}

void
sgr_gate_run_detach (sgr_gate_run_t *run, sgr_gate_waiter_t *waiter)
{
  sgr_gate_waiter_t **link = &run->joined;

  if (run->streaming == waiter)
    {
      run->streaming = NULL;
      sgr_memory_budget_release (&run->memory, run->backlog.length);
      run->backlog.length = 0;
      if (run->request != NULL)
        sgr_target_request_resume (run->request);
    }
  else
    {
      while (*link != waiter)
        link = &(*link)->next;
      *link = waiter->next;
    }
  sgr_data_gate_waiter_free (run->gate, waiter);
}
