#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "call_plan.h"
#include "timer_heap.h"

#define MS SGR_USEC_PER_MSEC
#define DEADLINE_US (100 * MS)
/* Default of the member cancel_reply_timeout_us of sgr_call_options_t. */
#define CANCEL_REPLY_TIMEOUT_US (20 * MS)
#define TARGET_COUNT 3
#define GATE_BOOT_ID 50
/* Node id of target 0; those of the other targets follow. */
#define NODE_ID_FIRST 100
/* Sequence number of the first filler call. Filler calls are made only to occupy the slot and the
   queue of a gate. */
#define FILLER_SEQUENCE_FIRST 100

/* The entry of one call, with counts of the actions that its plan returned. Attempt N goes to
   target N, or to target 0 if the call has an idempotency key. */
typedef struct
{
  sgr_call_plan_t plan;
  uint64_t sequence;
  uint32_t starts;
  uint32_t hedges;
  uint32_t cancels;
  uint32_t queries;
  uint32_t finishes;
  sgr_call_action_t finish;
} driver_t;

/* Passes an event to the plan and carries out the actions. A target for each started attempt is
   picked, and the attempt sent, at once. */
static void
driver_event (driver_t *driver, uint64_t now_us, sgr_call_event_t event)
{
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  size_t count = sgr_call_plan_event (&driver->plan, now_us, &event, actions);

  assert_true (count <= SGR_CALL_ACTIONS_MAX);
  for (size_t i = 0; i < count; i++)
    switch (actions[i].kind)
      {
      case SGR_CALL_ACTION_START:
        driver->starts++;
        driver->hedges += actions[i].hedge;
        event = (sgr_call_event_t){ SGR_CALL_EVENT_PICKED, actions[i].attempt,
                                    NODE_ID_FIRST + actions[i].attempt };
        driver_event (driver, now_us, event);
        event.kind = SGR_CALL_EVENT_SENT;
        driver_event (driver, now_us, event);
        break;
      case SGR_CALL_ACTION_CANCEL:
        driver->cancels++;
        break;
      case SGR_CALL_ACTION_QUERY:
        driver->queries++;
        break;
      case SGR_CALL_ACTION_FINISH:
        driver->finishes++;
        driver->finish = actions[i];
        break;
      }
  if (!driver->plan.finished)
    assert_true (driver->plan.timer_us > now_us);
}

static void
driver_start (driver_t *driver, const sgr_call_options_t *options)
{
  *driver = (driver_t){ 0 };
  sgr_call_plan_init (&driver->plan, options);
  driver_event (driver, 0, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN });
}

/* A call, the gates of its targets, and the number of times that the targets executed the request.
   Each character of a test case's script causes one event at one of them. */
typedef struct
{
  sgr_call_options_t options;
  driver_t driver;
  uint32_t attempt;
  uint64_t now_us;
  sgr_gate_t *gates[TARGET_COUNT];
  sgr_boot_id_t boots[TARGET_COUNT];
  sgr_gate_handle_t handles[TARGET_COUNT];
  sgr_gate_handle_t slot_holder;
  int executions;
} fixture_t;

static fixture_t *fixture;

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
}

static void
outcome_report (uint32_t attempt, sgr_outcome_t outcome, sgr_call_reason_t reason,
                sgr_gate_reason_t gate_reason)
{
  driver_event (
      &fixture->driver, fixture->now_us,
      (sgr_call_event_t){ SGR_CALL_EVENT_OUTCOME, attempt, 0, outcome, reason, gate_reason });
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  outcome_report (fixture->attempt, SGR_OUTCOME_NOT_RUN, SGR_CALL_REASON_REFUSED, reason);
}

/* Starts the gate of a target, in place of an earlier one, with one slot and a queue of one. */
static void
gate_start (uint32_t index, sgr_boot_id_t boot)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  sgr_gate_options_t options;
  sgr_policy_t policy;

  sgr_policy_init (&policy, "transfers");
  policy.queue_max = 1;
  sgr_gate_options_init (&options, boot);
  options.attempts_max = 2048;
  options.keys_max = options.entry_boots_max = 16;
  sgr_gate_destroy (fixture->gates[index]);
  fixture->gates[index] = sgr_gate_create (&options, &policy, &callbacks, NULL);
  sgr_gate_target_update (fixture->gates[index], 0, SGR_TARGET_SERVING, 1);
}

static uint32_t
target_index (uint32_t attempt)
{
  return fixture->options.keyed ? 0 : attempt;
}

static sgr_attempt_t
attempt_make (uint64_t sequence, uint32_t index)
{
  return (sgr_attempt_t){ .id = { 1, 1, sequence, index },
                          .gate_boot = GATE_BOOT_ID,
                          .deadline_us = DEADLINE_US,
                          .tenant = "t",
                          .class_name = "",
                          .idempotent = fixture->options.idempotent,
                          .has_key = fixture->options.keyed && sequence < FILLER_SEQUENCE_FIRST,
                          .key = { 1, 2 } };
}

static void
gate_status_report (const sgr_gate_status_t *status)
{
  sgr_call_event_kind_t kind
      = status->answer != NULL ? SGR_CALL_EVENT_OUTCOME : SGR_CALL_EVENT_QUERY_REPLY;
  sgr_call_event_t event
      = { kind, fixture->attempt, 0, status->outcome, 0, status->reason, .phase = status->phase };

  driver_event (&fixture->driver, fixture->now_us, event);
}

/* Delivers the Call frame of the current attempt to its gate. */
static void
call_frame_deliver (void)
{
  uint32_t index = fixture->attempt;
  sgr_attempt_t attempt = attempt_make (fixture->driver.sequence, index);
  sgr_gate_decision_t decision;

  sgr_gate_attempt_admit (fixture->gates[target_index (index)], fixture->now_us, &attempt,
                          &decision);
  if (decision.kind == SGR_GATE_REFUSED)
    outcome_report (index, decision.outcome, SGR_CALL_REASON_REFUSED, decision.reason);
  else if (decision.kind == SGR_GATE_DUPLICATE && decision.status.phase == SGR_GATE_PHASE_SETTLED)
    gate_status_report (&decision.status);
  else if (decision.kind != SGR_GATE_DUPLICATE)
    fixture->handles[index] = decision.handle;
}

/* Ends the request at the target, and reports the outcome to the entry if is_reported is set. The
   request may have been started by an earlier call with the same key. */
static void
target_work_finish (sgr_outcome_t outcome, bool is_declared_not_run, bool is_reported)
{
  uint32_t index = fixture->attempt;
  sgr_gate_finish_t finish = { .outcome = outcome,
                               .declared_not_run = is_declared_not_run,
                               .latency_us = MS,
                               .answer = fixture->options.keyed ? "receipt" : NULL,
                               .answer_length = 7 };

  outcome = sgr_gate_attempt_finish (fixture->gates[target_index (index)], fixture->handles[index],
                                     fixture->now_us, &finish);
  if (is_reported)
    outcome_report (index, outcome, SGR_CALL_REASON_TARGET_NOT_RUN, SGR_GATE_REASON_NONE);
}

/* Delivers a query or a cancel to the gate of the current attempt, and the reply to the entry. */
static void
gate_query_or_cancel (bool cancel)
{
  sgr_gate_t *gate = fixture->gates[target_index (fixture->attempt)];
  sgr_attempt_t attempt = attempt_make (fixture->driver.sequence, fixture->attempt);
  sgr_gate_status_t status;

  if (cancel)
    sgr_gate_attempt_cancel (gate, fixture->now_us, &attempt.id, GATE_BOOT_ID, &status);
  else
    sgr_gate_attempt_query (gate, fixture->now_us, &attempt.id, GATE_BOOT_ID, &status);
  gate_status_report (&status);
}

/* Admits filler calls: the first one takes the slot, the second one the place in the queue. */
static void
filler_calls_admit (uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      sgr_attempt_t attempt = attempt_make (FILLER_SEQUENCE_FIRST + i, fixture->attempt);
      sgr_gate_decision_t decision;

      sgr_gate_attempt_admit (fixture->gates[target_index (fixture->attempt)], fixture->now_us,
                              &attempt, &decision);
      if (i == 0)
        fixture->slot_holder = decision.handle;
    }
}

static void
event_report (sgr_call_event_kind_t kind)
{
  driver_event (&fixture->driver, fixture->now_us,
                (sgr_call_event_t){ .kind = kind, .attempt = fixture->attempt });
}

/* The caller sends the same request again, as a new call. */
static void
call_repeat (void)
{
  uint64_t sequence = fixture->driver.sequence + 1;

  driver_start (&fixture->driver, &fixture->options);
  fixture->driver.sequence = sequence;
}

static void
gate_step_run (char step)
{
  uint32_t target = target_index (fixture->attempt);
  const sgr_gate_finish_t finish = { .outcome = SGR_OUTCOME_COMPLETE, .latency_us = MS };

  switch (step)
    {
    case 'b': /* another call takes the slot */
    case 'B': /* other calls take the slot and fill the queue */
      filler_calls_admit (step == 'b' ? 1 : 2);
      break;
    case 'o': /* the call that took the slot ends */
      sgr_gate_attempt_finish (fixture->gates[target], fixture->slot_holder, fixture->now_us,
                               &finish);
      break;
    case 'd': /* the gate begins to drain */
      sgr_gate_drain_begin (fixture->gates[target], fixture->now_us);
      break;
    case 'r': /* the gate restarts */
      gate_start (target, GATE_BOOT_ID + 1);
      break;
    case 'e': /* the gate detects that the connection to the entry was lost */
      sgr_gate_entry_lost (fixture->gates[target], fixture->now_us, 1, 1);
      break;
    case 's': /* the gate sends the first byte to the target, unless the attempt was cancelled */
      fixture->executions += sgr_gate_attempt_mark_started (fixture->gates[target],
                                                            fixture->handles[fixture->attempt]);
      break;
    case 'f': /* the target sends the whole answer, and the entry receives it */
    case 'g': /* the target sends the whole answer, but the frame to the entry is lost */
      target_work_finish (SGR_OUTCOME_COMPLETE, false, step == 'f');
      break;
    case 'u': /* the connection to the target fails, reported to the gate as unknown */
    case 'n': /* the connection to the target fails, reported to the gate as not-run */
      target_work_finish (step == 'u' ? SGR_OUTCOME_UNKNOWN : SGR_OUTCOME_NOT_RUN, false, true);
      break;
    case 'N': /* the target declares that it did not run the request */
      fixture->executions--;
      target_work_finish (SGR_OUTCOME_NOT_RUN, true, true);
      break;
    default:
      fail_msg ("unknown character '%c' in a script", step);
    }
}

/* Causes the event that a character of a script stands for; a digit selects the current attempt. */
static void
script_step_run (char step)
{
  if (step >= '0' && step <= '2')
    fixture->attempt = (uint32_t)(step - '0');
  else if (step == 'c') /* the Call frame reaches the gate */
    call_frame_deliver ();
  else if (step == 'q' || step == 'x') /* the gate replies to a query or to a cancel */
    gate_query_or_cancel (step == 'x');
  else if (step == 'l') /* the entry loses the connection to the gate */
    event_report (SGR_CALL_EVENT_CONNECTION_LOST);
  else if (step == 'a') /* the entry passes a part of the answer to the caller */
    event_report (SGR_CALL_EVENT_ANSWER_STARTED);
  else if (step == 'z') /* the caller closes its connection */
    event_report (SGR_CALL_EVENT_CANCEL);
  /* Fires the timer of the plan: at the deadline (t), or at the end of the wait for replies to
     cancelled attempts (T). */
  else if (step == 't' || step == 'T')
    {
      fixture->now_us = step == 't' ? DEADLINE_US : DEADLINE_US + CANCEL_REPLY_TIMEOUT_US;
      event_report (SGR_CALL_EVENT_TIMER);
    }
  else if (step == 'k') /* the caller sends the request again with the same key */
    call_repeat ();
  else
    gate_step_run (step);
}

/**
 * struct fault_case_t - events of a call, given as a script, and the expected result
 * @name: the fault and when it happens
 * @kind: "i" for an idempotent call, "k" for a call with an idempotency key, "" for any other
 * @script: the events; script_step_run() and gate_step_run() say what each character stands for
 * @expected: what the caller gets from its last call: outcome, reason, and whether a repeat is
 * safe; then the numbers of queries (q) and cancels (x), and "abort" if the caller's connection is
 * aborted; "-" if the call does not end
 * @executions: how often the targets executed the request
 * @starts: number of attempts of the last call
 */
typedef struct
{
  const char *name;
  const char *kind;
  const char *script;
  const char *expected;
  int executions;
  uint32_t starts;
} fault_case_t;

static const fault_case_t faults[] = {
  { "whole answer", "", "csf", "complete none safe=0 q0 x0", 1, 1 },
  { "queue full, then answer", "", "Bc1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "queue full at all targets", "", "Bc1Bc2Bc", "not-run refused safe=1 q0 x0", 0, 3 },
  { "drain before arrival", "", "dc1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "drain while queued", "", "bcd1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "drain while running", "", "csdf", "complete none safe=0 q0 x0", 1, 1 },
  { "gate restarts before arrival", "", "rc", "unknown refused safe=0 q0 x0", 0, 1 },
  { "gate restarts while running", "", "csrlq", "unknown connection-lost safe=0 q1 x0", 1, 1 },
  { "gate restarts, idempotent", "i", "csrl1csf", "complete none safe=0 q1 x1", 2, 2 },
  { "no connection to the target", "", "cn1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "target fails after first byte", "", "csu", "unknown target-not-run safe=0 q0 x0", 1, 1 },
  { "target fails, reported as not-run", "", "csn", "unknown target-not-run safe=0 q0 x0", 1, 1 },
  { "target fails, idempotent", "i", "csu1csf", "complete none safe=0 q0 x0", 2, 2 },
  { "target fails, others drain", "i", "csu1dc2dc", "unknown refused safe=1 q0 x0", 1, 3 },
  { "target fails after a refusal", "", "Bc1csu", "unknown target-not-run safe=0 q0 x0", 1, 2 },
  { "not-run after part of an answer", "", "csaN", "unknown answer-cut safe=0 q0 x0 abort", 0, 1 },
  { "target declares not-run", "", "csN1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "Call frame lost", "", "lq1csf", "complete none safe=0 q1 x0", 1, 2 },
  { "late Call frame after the query", "", "lq1csf0cs", "complete none safe=0 q1 x0", 1, 2 },
  { "duplicate Call frame", "", "csccf", "complete none safe=0 q0 x0", 1, 1 },
  { "duplicate Call frame after refusal", "", "Bcoc1cs", "-", 1, 2 },
  { "connection lost while queued", "", "bclqosf", "complete none safe=0 q1 x0", 1, 1 },
  { "entry lost while queued", "", "bce1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "connection lost while running", "", "cslqf", "complete none safe=0 q1 x0", 1, 1 },
  { "answer frame lost", "", "csglq", "unknown answer-lost safe=0 q1 x0", 1, 1 },
  { "answer frame lost, keyed", "k", "csglq", "complete none safe=0 q1 x0", 1, 1 },
  { "no reply to queries", "", "csltT", "unknown deadline safe=0 q1 x1", 1, 1 },
  { "connection lost during answer", "i", "csal", "unknown answer-cut safe=1 q0 x0 abort", 1, 1 },
  { "target fails during the answer", "", "csau", "unknown answer-cut safe=0 q0 x0 abort", 1, 1 },
  { "deadline before arrival", "", "txc", "not-run deadline safe=1 q0 x1", 0, 1 },
  { "deadline while queued", "", "bctx", "not-run deadline safe=1 q0 x1", 0, 1 },
  { "deadline while running", "", "cstx", "unknown deadline safe=0 q0 x1", 1, 1 },
  { "deadline, then answer", "", "cstf", "complete none safe=0 q0 x1", 1, 1 },
  { "deadline, no reply to cancel", "", "cstT", "unknown deadline safe=0 q0 x1", 1, 1 },
  { "cancel before the first byte", "", "ctxsn", "not-run deadline safe=1 q0 x1", 0, 1 },
  { "caller disconnects while queued", "", "bczx", "unknown cancelled safe=0 q0 x1", 0, 1 },
  { "query before the Call frame", "", "qc", "-", 0, 2 },
  { "late answer of a refused attempt", "", "Bc0f", "-", 0, 2 },
  { "keyed, drain", "k", "dc", "not-run refused safe=1 q0 x0", 0, 1 },
  { "keyed, gate restarts", "k", "csrlq", "unknown connection-lost safe=1 q1 x0", 1, 1 },
  { "repeat after the restart", "k", "csrlqkc", "unknown refused safe=1 q0 x0", 1, 1 },
  { "repeat while running", "k", "cszkcf", "complete none safe=0 q0 x0", 1, 1 },
  { "repeat after the answer frame was lost", "k", "csgzkc", "complete none safe=0 q0 x0", 1, 1 },
  { "repeat after not-run", "k", "dckc", "not-run refused safe=1 q0 x0", 0, 1 },
  { "repeat after the target failed", "k", "csukc", "unknown connection-lost safe=1 q0 x0", 1, 1 },
  { "repeat after a lost Call frame", "k", "lqkcsf", "complete none safe=0 q0 x0", 1, 1 },
};

/* Guards against a second execution of a request that may have run, against a wrong not-run,
   against a call that never ends, and against one answer that follows a part of another. */
static void
test_fault_table (void **state)
{
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      const fault_case_t *fault = &faults[i];
      const sgr_call_action_t *finish;
      fixture_t local = { 0 };
      char result[80] = "-";

      fixture = &local;
      sgr_call_options_init (&local.options);
      local.options.deadline_us = DEADLINE_US;
      local.options.idempotent = strchr (fault->kind, 'i') != NULL;
      local.options.keyed = strchr (fault->kind, 'k') != NULL;
      for (uint32_t n = 0; n < TARGET_COUNT; n++)
        gate_start (n, GATE_BOOT_ID);
      driver_start (&local.driver, &local.options);
      for (const char *step = fault->script; *step != '\0'; step++)
        script_step_run (*step);
      finish = &local.driver.finish;
      if (local.driver.finishes > 0)
        snprintf (result, sizeof result, "%s %s safe=%d q%u x%u%s",
                  sgr_outcome_name (finish->outcome), sgr_call_reason_name (finish->reason),
                  finish->repeat_safe, local.driver.queries, local.driver.cancels,
                  finish->abort_answer ? " abort" : "");
      if (strcmp (result, fault->expected) != 0 || local.executions != fault->executions
          || local.driver.starts != fault->starts || local.driver.finishes > 1)
        fail_msg ("case \"%s\": result \"%s\", %d executions, %u attempts, %u results", fault->name,
                  result, local.executions, local.driver.starts, local.driver.finishes);
      for (uint32_t n = 0; n < TARGET_COUNT; n++)
        sgr_gate_destroy (local.gates[n]);
    }
}

/* Guards against hedges of calls that may run only once, and against hedges that exceed the retry
   budget or the retries that the call chain allows. */
static void
test_hedge_table (void **state)
{
  static const struct
  {
    bool idempotent;
    bool keyed;
    uint32_t percent;
    uint32_t retries;
    uint32_t hedges;
  } hedges[] = {
    { true, false, 10, 2, 1 }, { false, false, 10, 2, 0 }, { true, true, 10, 2, 0 },
    { true, false, 0, 2, 0 },  { true, false, 10, 0, 0 },
  };

  for (size_t i = 0; i < sizeof hedges / sizeof hedges[0]; i++)
    {
      sgr_retry_budget_t budget;
      sgr_call_options_t options;
      driver_t driver;

      sgr_retry_budget_init (&budget, hedges[i].percent);
      sgr_call_options_init (&options);
      options.deadline_us = DEADLINE_US;
      options.hedge_delay_us = 5 * MS;
      options.budget = &budget;
      options.idempotent = hedges[i].idempotent;
      options.keyed = hedges[i].keyed;
      options.chain.retries = hedges[i].retries;
      driver_start (&driver, &options);
      driver_event (&driver, 5 * MS, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
      driver_event (&driver, 6 * MS, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
      assert_int_equal (driver.hedges, hedges[i].hedges);
      driver_event (
          &driver, 7 * MS,
          (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME, .attempt = hedges[i].hedges });
      assert_int_equal (driver.finish.outcome, SGR_OUTCOME_COMPLETE);
      assert_int_equal (driver.finish.attempt, hedges[i].hedges);
      assert_int_equal (driver.cancels, hedges[i].hedges);
    }
}

/* Guards against a retry of a call that was already retried downstream, and against a retry at a
   target that was tried before. */
static void
test_retry_rules (void **state)
{
  sgr_node_id_t excluded[SGR_CALL_ATTEMPTS_MAX];
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .outcome = SGR_OUTCOME_NOT_RUN,
                             .reason = SGR_CALL_REASON_TARGET_NOT_RUN,
                             .retried_downstream = SGR_RETRY_DOWNSTREAM_YES };
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  sgr_call_options_t options;
  driver_t driver;

  sgr_call_options_init (&options);
  options.deadline_us = DEADLINE_US;
  driver_start (&driver, &options);
  driver_event (&driver, MS, event);
  assert_int_equal (driver.finish.outcome, SGR_OUTCOME_NOT_RUN);
  assert_int_equal (driver.finish.retried_downstream, SGR_RETRY_DOWNSTREAM_YES);
  driver_start (&driver, &options);
  event.retried_downstream = SGR_RETRY_DOWNSTREAM_NO;
  driver_event (&driver, MS, event);
  assert_int_equal (driver.starts, 2);
  assert_int_equal (sgr_call_plan_excluded (&driver.plan, excluded), 2);
  assert_true (excluded[0] == NODE_ID_FIRST && excluded[1] == NODE_ID_FIRST + 1);
  /* An event of an attempt that was never made is ignored. */
  event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME, .attempt = 7 };
  driver_event (&driver, MS, event);
  assert_int_equal (driver.finishes, 0);
  /* If no target can be picked for the first attempt, the call ends as not-run with "no-target". */
  sgr_call_plan_init (&driver.plan, &options);
  event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN };
  assert_int_equal (sgr_call_plan_event (&driver.plan, 0, &event, actions), 1);
  event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_NO_TARGET };
  assert_int_equal (sgr_call_plan_event (&driver.plan, 0, &event, actions), 1);
  assert_int_equal (actions[0].outcome, SGR_OUTCOME_NOT_RUN);
  assert_int_equal (actions[0].reason, SGR_CALL_REASON_NO_TARGET);
  assert_true (driver.plan.timer_us == SGR_TIMER_NEVER);
}

/* Guards against an idempotent call that fails although another target would answer it, against a
   second run of a call that is not idempotent, and against an own error in place of the target's.
 */
static void
test_error_answers (void **state)
{
  static const struct
  {
    const char *name;
    uint32_t requests;
    sgr_retry_downstream_t downstream;
    sgr_outcome_t second;
    uint32_t starts;
    uint32_t answer;
    bool idempotent;
    bool second_error;
  } cases[] = {
    { "answered by the second target", 1000, 0, SGR_OUTCOME_COMPLETE, 2, 1, true, false },
    { "errors at both targets", 1000, 0, SGR_OUTCOME_COMPLETE, 2, 1, true, true },
    { "second target fails", 1000, 0, SGR_OUTCOME_UNKNOWN, 2, 0, true, false },
    { "second target does not run it", 1000, 0, SGR_OUTCOME_NOT_RUN, 2, 0, true, false },
    { "not idempotent", 1000, 0, SGR_OUTCOME_COMPLETE, 1, 0, false, false },
    { "budget is used up", 0, 0, SGR_OUTCOME_COMPLETE, 1, 0, true, false },
    { "retried downstream", 1000, SGR_RETRY_DOWNSTREAM_YES, SGR_OUTCOME_COMPLETE, 1, 0, true,
      false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                                 .outcome = SGR_OUTCOME_COMPLETE,
                                 .error_status = true,
                                 .retried_downstream = cases[i].downstream };
      sgr_retry_budget_t budget;
      sgr_call_options_t options;
      driver_t driver;

      sgr_retry_budget_init (&budget, 10);
      for (uint32_t n = 0; n < cases[i].requests; n++)
        sgr_retry_budget_request_record (&budget, 0);
      sgr_call_options_init (&options);
      options.deadline_us = DEADLINE_US;
      options.attempts_max = 2;
      options.idempotent = cases[i].idempotent;
      options.budget = &budget;
      driver_start (&driver, &options);
      driver_event (&driver, MS, event);
      if (driver.finishes == 0)
        driver_event (&driver, 2 * MS,
                      (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME,
                                          .attempt = 1,
                                          .outcome = cases[i].second,
                                          .reason = cases[i].second == SGR_OUTCOME_COMPLETE
                                                        ? SGR_CALL_REASON_NONE
                                                        : SGR_CALL_REASON_TARGET_NOT_RUN,
                                          .error_status = cases[i].second_error });
      if (driver.finishes != 1 || driver.finish.outcome != SGR_OUTCOME_COMPLETE
          || driver.starts != cases[i].starts || driver.finish.attempt != cases[i].answer)
        fail_msg ("%s: %u attempts, answer of attempt %u", cases[i].name, driver.starts,
                  driver.finish.attempt);
    }
}

/* Guards against a call that is refused although another target has room: a refusal by a gate put
   no load on its target, so the next attempt needs no budget. Limits of tenants and classes hold at
   all targets, and only the budget allows another attempt after them. */
static void
test_refusals_need_no_budget (void **state)
{
  static const struct
  {
    sgr_gate_reason_t reason;
    uint32_t starts;
  } cases[] = {
    { SGR_GATE_REASON_QUEUE_FULL, 2 },   { SGR_GATE_REASON_LATE, 2 },
    { SGR_GATE_REASON_SLOW, 2 },         { SGR_GATE_REASON_DRAINING, 2 },
    { SGR_GATE_REASON_TENANT_LIMIT, 1 }, { SGR_GATE_REASON_CLASS_LIMIT, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_retry_budget_t budget;
      sgr_call_options_t options;
      driver_t driver;

      sgr_retry_budget_init (&budget, 0);
      sgr_call_options_init (&options);
      options.deadline_us = DEADLINE_US;
      options.budget = &budget;
      driver_start (&driver, &options);
      driver_event (&driver, MS,
                    (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME,
                                        .outcome = SGR_OUTCOME_NOT_RUN,
                                        .reason = SGR_CALL_REASON_REFUSED,
                                        .gate_reason = cases[i].reason });
      assert_int_equal (driver.starts, cases[i].starts);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_fault_table), cmocka_unit_test (test_hedge_table),
          cmocka_unit_test (test_retry_rules), cmocka_unit_test (test_error_answers),
          cmocka_unit_test (test_refusals_need_no_budget) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
