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
#define TARGETS 3
#define BOOT 50

/* One call at its entry; attempt N goes to target N, a keyed call always to target 0. */
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

/* Feeds an event; every started attempt is picked and sent at once. */
static void
drive (driver_t *driver, uint64_t now_us, sgr_call_event_t event)
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
                                    100 + actions[i].attempt };
        drive (driver, now_us, event);
        event.kind = SGR_CALL_EVENT_SENT;
        drive (driver, now_us, event);
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
driver_open (driver_t *driver, const sgr_call_options_t *options)
{
  *driver = (driver_t){ 0 };
  sgr_call_plan_init (&driver->plan, options);
  drive (driver, 0, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN });
}

/* A call, the gates of its targets and the executions at them, driven by the letters of a script.
 */
typedef struct
{
  sgr_call_options_t options;
  driver_t driver;
  uint32_t attempt;
  uint64_t now_us;
  sgr_gate_t *gates[TARGETS];
  sgr_boot_id_t boots[TARGETS];
  sgr_gate_handle_t handles[TARGETS];
  sgr_gate_handle_t blocker;
  int executions;
} scene_t;

static scene_t *scene;

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
}

static void
outcome_tell (uint32_t attempt, sgr_outcome_t outcome, sgr_call_reason_t reason,
              sgr_gate_reason_t gate_reason)
{
  drive (&scene->driver, scene->now_us,
         (sgr_call_event_t){ SGR_CALL_EVENT_OUTCOME, attempt, 0, outcome, reason, gate_reason });
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  outcome_tell (scene->attempt, SGR_OUTCOME_NOT_RUN, SGR_CALL_REASON_REFUSED, reason);
}

static void
gate_open (uint32_t number, sgr_boot_id_t boot)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  sgr_gate_options_t options;
  sgr_policy_t policy;

  sgr_policy_init (&policy, "transfers");
  policy.queue_max = 1;
  sgr_gate_options_init (&options, boot);
  options.attempts_max = 2048;
  options.keys_max = options.peers_max = 16;
  sgr_gate_destroy (scene->gates[number]);
  scene->gates[number] = sgr_gate_create (&options, &policy, &callbacks, NULL);
  sgr_gate_target_update (scene->gates[number], 0, SGR_TARGET_SERVING, 1);
}

static uint32_t
target_of (uint32_t attempt)
{
  return scene->options.keyed ? 0 : attempt;
}

static sgr_attempt_t
attempt_of (uint64_t sequence, uint32_t number)
{
  return (sgr_attempt_t){ .id = { 1, 1, sequence, number },
                          .gate_boot = BOOT,
                          .deadline_us = DEADLINE_US,
                          .tenant = "t",
                          .class_name = "",
                          .idempotent = scene->options.idempotent,
                          .has_key = scene->options.keyed && sequence < 100,
                          .key = { 1, 2 } };
}

static void
status_tell (const sgr_gate_status_t *status)
{
  sgr_call_event_kind_t kind
      = status->answer != NULL ? SGR_CALL_EVENT_OUTCOME : SGR_CALL_EVENT_QUERY_REPLY;
  sgr_call_event_t event
      = { kind, scene->attempt, 0, status->outcome, 0, status->reason, .phase = status->phase };

  drive (&scene->driver, scene->now_us, event);
}

static void
call_arrives (void)
{
  uint32_t number = scene->attempt;
  sgr_attempt_t attempt = attempt_of (scene->driver.sequence, number);
  sgr_gate_decision_t decision;

  sgr_gate_attempt_admit (scene->gates[target_of (number)], scene->now_us, &attempt, &decision);
  if (decision.kind == SGR_GATE_REFUSED)
    outcome_tell (number, decision.outcome, SGR_CALL_REASON_REFUSED, decision.reason);
  else if (decision.kind == SGR_GATE_DUPLICATE && decision.status.phase == SGR_GATE_PHASE_SETTLED)
    status_tell (&decision.status);
  else if (decision.kind != SGR_GATE_DUPLICATE)
    scene->handles[number] = decision.handle;
}

/* The work at the target ends; the handle may be that of an earlier call with the same key. */
static void
work_ends (sgr_outcome_t outcome, bool declared, bool told)
{
  uint32_t number = scene->attempt;
  sgr_gate_finish_t finish = { .outcome = outcome,
                               .declared_not_run = declared,
                               .latency_us = MS,
                               .answer = scene->options.keyed ? "receipt" : NULL,
                               .answer_length = 7 };

  outcome = sgr_gate_attempt_finish (scene->gates[target_of (number)], scene->handles[number],
                                     scene->now_us, &finish);
  if (told)
    outcome_tell (number, outcome, SGR_CALL_REASON_TARGET_NOT_RUN, SGR_GATE_REASON_NONE);
}

static void
gate_asked (bool cancel)
{
  sgr_gate_t *gate = scene->gates[target_of (scene->attempt)];
  sgr_attempt_t attempt = attempt_of (scene->driver.sequence, scene->attempt);
  sgr_gate_status_t status;

  if (cancel)
    sgr_gate_attempt_cancel (gate, scene->now_us, &attempt.id, BOOT, &status);
  else
    sgr_gate_attempt_query (gate, scene->now_us, &attempt.id, BOOT, &status);
  status_tell (&status);
}

/* Other calls take the slot, and the queue too if asked. */
static void
gate_fill (uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      sgr_attempt_t attempt = attempt_of (100 + i, scene->attempt);
      sgr_gate_decision_t decision;

      sgr_gate_attempt_admit (scene->gates[target_of (scene->attempt)], scene->now_us, &attempt,
                              &decision);
      if (i == 0)
        scene->blocker = decision.handle;
    }
}

static void
event_tell (sgr_call_event_kind_t kind)
{
  drive (&scene->driver, scene->now_us,
         (sgr_call_event_t){ .kind = kind, .attempt = scene->attempt });
}

static void
repeat_call (void)
{
  uint64_t sequence = scene->driver.sequence + 1;

  driver_open (&scene->driver, &scene->options);
  scene->driver.sequence = sequence;
}

static void
gate_letter (char letter)
{
  uint32_t target = target_of (scene->attempt);
  const sgr_gate_finish_t freed = { .outcome = SGR_OUTCOME_COMPLETE, .latency_us = MS };

  switch (letter)
    {
    case 'b': /* the slot is taken */
    case 'B': /* slot and queue are taken */
      gate_fill (letter == 'b' ? 1 : 2);
      break;
    case 'o': /* the slot is given back */
      sgr_gate_attempt_finish (scene->gates[target], scene->blocker, scene->now_us, &freed);
      break;
    case 'd': /* the gate drains */
      sgr_gate_drain_begin (scene->gates[target], scene->now_us);
      break;
    case 'r': /* the gate restarts */
      gate_open (target, BOOT + 1);
      break;
    case 'e': /* the gate learns that the entry is gone */
      sgr_gate_entry_lost (scene->gates[target], scene->now_us, 1, 1);
      break;
    case 's': /* the first byte goes to the target */
      scene->executions
          += sgr_gate_attempt_started (scene->gates[target], scene->handles[scene->attempt]);
      break;
    case 'f': /* whole answer, told to the entry */
    case 'g': /* whole answer, frame lost */
      work_ends (SGR_OUTCOME_COMPLETE, false, letter == 'f');
      break;
    case 'u': /* the connection to the target breaks */
    case 'n': /* the same, seen as not-run */
      work_ends (letter == 'u' ? SGR_OUTCOME_UNKNOWN : SGR_OUTCOME_NOT_RUN, false, true);
      break;
    case 'N': /* the target declares not-run: it did not execute */
      scene->executions--;
      work_ends (SGR_OUTCOME_NOT_RUN, true, true);
      break;
    default:
      fail_msg ("letter '%c'", letter);
    }
}

static void
letter_run (char letter)
{
  if (letter >= '0' && letter <= '2')
    scene->attempt = (uint32_t)(letter - '0');
  else if (letter == 'c') /* the Call frame reaches the gate */
    call_arrives ();
  else if (letter == 'q' || letter == 'x') /* query or cancel reach the gate, the reply the entry */
    gate_asked (letter == 'x');
  else if (letter == 'l') /* the entry loses the connection */
    event_tell (SGR_CALL_EVENT_CONNECTION_LOST);
  else if (letter == 'a') /* a part of the answer is passed on */
    event_tell (SGR_CALL_EVENT_ANSWER_STARTED);
  else if (letter == 'z') /* the caller goes away */
    event_tell (SGR_CALL_EVENT_CANCEL);
  else if (letter == 't' || letter == 'T') /* deadline, end of the wait for a reply to a cancel */
    {
      scene->now_us = letter == 't' ? DEADLINE_US : DEADLINE_US + 20 * MS;
      event_tell (SGR_CALL_EVENT_TIMER);
    }
  else if (letter == 'k') /* the caller repeats the call with its key */
    repeat_call ();
  else
    gate_letter (letter);
}

/**
 * struct fault_t - fault and moment as a script, and what follows
 * @told: outcome, reason and safety of a repeat for the caller, queries and cancels of the last
 * call; "-" while it is open
 * @kind: i idempotent, k keyed
 * @executions: at all targets
 * @starts: attempts of the last call
 */
typedef struct
{
  const char *name;
  const char *kind;
  const char *script;
  const char *told;
  int executions;
  uint32_t starts;
} fault_t;

static const fault_t faults[] = {
  { "answer", "", "csf", "complete none safe=0 q0 x0", 1, 1 },
  { "queue full, then answer", "", "Bc1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "queue full everywhere", "", "Bc1Bc2Bc", "not-run refused safe=1 q0 x0", 0, 3 },
  { "drain before arrival", "", "dc1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "drain while queued", "", "bcd1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "drain while running", "", "csdf", "complete none safe=0 q0 x0", 1, 1 },
  { "gate restarts before arrival", "", "rc", "unknown refused safe=0 q0 x0", 0, 1 },
  { "gate restarts while running", "", "csrlq", "unknown connection-lost safe=0 q1 x0", 1, 1 },
  { "gate restarts, idempotent", "i", "csrl1csf", "complete none safe=0 q1 x1", 2, 2 },
  { "no connection to the target", "", "cn1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "target breaks after first byte", "", "csu", "unknown target-not-run safe=0 q0 x0", 1, 1 },
  { "break taken for not-run", "", "csn", "unknown target-not-run safe=0 q0 x0", 1, 1 },
  { "break, idempotent", "i", "csu1csf", "complete none safe=0 q0 x0", 2, 2 },
  { "break, then drain everywhere", "i", "csu1dc2dc", "unknown refused safe=1 q0 x0", 1, 3 },
  { "break after a refusal", "", "Bc1csu", "unknown target-not-run safe=0 q0 x0", 1, 2 },
  { "not-run after a part", "", "csaN", "unknown answer-cut safe=0 q0 x0 abort", 0, 1 },
  { "target declares not-run", "", "csN1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "Call frame lost", "", "lq1csf", "complete none safe=0 q1 x0", 1, 2 },
  { "Call frame after the query", "", "lq1csf0cs", "complete none safe=0 q1 x0", 1, 2 },
  { "Call frame twice", "", "csccf", "complete none safe=0 q0 x0", 1, 1 },
  { "Call frame after refusal", "", "Bcoc1cs", "-", 1, 2 },
  { "connection lost while queued", "", "bclqosf", "complete none safe=0 q1 x0", 1, 1 },
  { "entry lost while queued", "", "bce1csf", "complete none safe=0 q0 x0", 1, 2 },
  { "connection lost while running", "", "cslqf", "complete none safe=0 q1 x0", 1, 1 },
  { "answer lost", "", "csglq", "unknown answer-lost safe=0 q1 x0", 1, 1 },
  { "answer lost, keyed", "k", "csglq", "complete none safe=0 q1 x0", 1, 1 },
  { "no reply to queries", "", "csltT", "unknown deadline safe=0 q1 x1", 1, 1 },
  { "answer breaks off", "i", "csal", "unknown answer-cut safe=1 q0 x0 abort", 1, 1 },
  { "target breaks in the answer", "", "csau", "unknown answer-cut safe=0 q0 x0 abort", 1, 1 },
  { "deadline before arrival", "", "txc", "not-run deadline safe=1 q0 x1", 0, 1 },
  { "deadline while queued", "", "bctx", "not-run deadline safe=1 q0 x1", 0, 1 },
  { "deadline while running", "", "cstx", "unknown deadline safe=0 q0 x1", 1, 1 },
  { "deadline, answer meanwhile", "", "cstf", "complete none safe=0 q0 x1", 1, 1 },
  { "deadline, no reply", "", "cstT", "unknown deadline safe=0 q0 x1", 1, 1 },
  { "cancel before the first byte", "", "ctxsn", "not-run deadline safe=1 q0 x1", 0, 1 },
  { "caller goes away while queued", "", "bczx", "unknown cancelled safe=0 q0 x1", 0, 1 },
  { "query before the Call frame", "", "qc", "-", 0, 2 },
  { "late frame of an ended attempt", "", "Bc0f", "-", 0, 2 },
  { "keyed, drain", "k", "dc", "not-run refused safe=1 q0 x0", 0, 1 },
  { "keyed, gate restarts", "k", "csrlq", "unknown connection-lost safe=1 q1 x0", 1, 1 },
  { "repeat after the restart", "k", "csrlqkc", "unknown refused safe=1 q0 x0", 1, 1 },
  { "repeat while running", "k", "cszkcf", "complete none safe=0 q0 x0", 1, 1 },
  { "repeat after the answer was lost", "k", "csgzkc", "complete none safe=0 q0 x0", 1, 1 },
  { "repeat after not-run", "k", "dckc", "not-run refused safe=1 q0 x0", 0, 1 },
  { "repeat after a break", "k", "csukc", "unknown connection-lost safe=1 q0 x0", 1, 1 },
  { "repeat after a lost Call frame", "k", "lqkcsf", "complete none safe=0 q0 x0", 1, 1 },
};

/* Guards against a second run of a request that may have run, a false not-run, a call that never
   ends and an answer after a part of another one. */
static void
test_fault_table (void **state)
{
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      const fault_t *fault = &faults[i];
      const sgr_call_action_t *finish;
      scene_t local = { 0 };
      char told[80] = "-";

      scene = &local;
      sgr_call_options_init (&local.options);
      local.options.deadline_us = DEADLINE_US;
      local.options.idempotent = strchr (fault->kind, 'i') != NULL;
      local.options.keyed = strchr (fault->kind, 'k') != NULL;
      for (uint32_t n = 0; n < TARGETS; n++)
        gate_open (n, BOOT);
      driver_open (&local.driver, &local.options);
      for (const char *letter = fault->script; *letter != '\0'; letter++)
        letter_run (*letter);
      finish = &local.driver.finish;
      if (local.driver.finishes > 0)
        snprintf (told, sizeof told, "%s %s safe=%d q%u x%u%s", sgr_outcome_name (finish->outcome),
                  sgr_call_reason_name (finish->reason), finish->repeat_safe, local.driver.queries,
                  local.driver.cancels, finish->abort_answer ? " abort" : "");
      if (strcmp (told, fault->told) != 0 || local.executions != fault->executions
          || local.driver.starts != fault->starts || local.driver.finishes > 1)
        fail_msg ("\"%s\": told \"%s\", executions %d, starts %u, finishes %u", fault->name, told,
                  local.executions, local.driver.starts, local.driver.finishes);
      for (uint32_t n = 0; n < TARGETS; n++)
        sgr_gate_destroy (local.gates[n]);
    }
}

/* Guards against hedges of calls that may run only once, and against hedges beyond the budget. */
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
      driver_open (&driver, &options);
      drive (&driver, 5 * MS, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
      drive (&driver, 6 * MS, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
      assert_int_equal (driver.hedges, hedges[i].hedges);
      drive (&driver, 7 * MS,
             (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME, .attempt = hedges[i].hedges });
      assert_int_equal (driver.finish.outcome, SGR_OUTCOME_COMPLETE);
      assert_int_equal (driver.finish.attempt, hedges[i].hedges);
      assert_int_equal (driver.cancels, hedges[i].hedges);
    }
}

/* Guards against a retry that repeats one already made deeper, or one at a target tried before. */
static void
test_retry_rules (void **state)
{
  sgr_node_id_t excluded[SGR_CALL_ATTEMPTS_MAX];
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME,
                             .outcome = SGR_OUTCOME_NOT_RUN,
                             .reason = SGR_CALL_REASON_TARGET_NOT_RUN,
                             .deeper = SGR_RETRY_DEEPER_YES };
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  sgr_call_options_t options;
  driver_t driver;

  sgr_call_options_init (&options);
  options.deadline_us = DEADLINE_US;
  driver_open (&driver, &options);
  drive (&driver, MS, event);
  assert_int_equal (driver.finish.outcome, SGR_OUTCOME_NOT_RUN);
  assert_int_equal (driver.finish.deeper, SGR_RETRY_DEEPER_YES);
  driver_open (&driver, &options);
  event.deeper = SGR_RETRY_DEEPER_NO;
  drive (&driver, MS, event);
  assert_int_equal (driver.starts, 2);
  assert_int_equal (sgr_call_plan_excluded (&driver.plan, excluded), 2);
  assert_true (excluded[0] == 100 && excluded[1] == 101);
  /* A frame that names an attempt never made changes nothing. */
  event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME, .attempt = 7 };
  drive (&driver, MS, event);
  assert_int_equal (driver.finishes, 0);
  /* Without a further target the caller learns the reason of the attempt that reached one. */
  sgr_call_plan_init (&driver.plan, &options);
  event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN };
  assert_int_equal (sgr_call_plan_event (&driver.plan, 0, &event, actions), 1);
  event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_NO_TARGET };
  assert_int_equal (sgr_call_plan_event (&driver.plan, 0, &event, actions), 1);
  assert_int_equal (actions[0].outcome, SGR_OUTCOME_NOT_RUN);
  assert_int_equal (actions[0].reason, SGR_CALL_REASON_NO_TARGET);
  assert_true (driver.plan.timer_us == SGR_TIMER_NEVER);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_fault_table), cmocka_unit_test (test_hedge_table),
          cmocka_unit_test (test_retry_rules) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
