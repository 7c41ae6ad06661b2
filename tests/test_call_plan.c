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
#define STEPS_MAX 6

/* A shorthand for one step of a table: an event of an attempt at a time. */
typedef struct
{
  sgr_call_event_kind_t kind;
  uint32_t attempt;
  sgr_outcome_t outcome;
  uint64_t at_us;
  sgr_gate_reason_t gate_reason;
  sgr_gate_phase_t phase;
} step_t;

#define REFUSED(number, why)                                                                       \
  {                                                                                                \
    SGR_CALL_EVENT_OUTCOME, number, SGR_OUTCOME_NOT_RUN, MS, SGR_GATE_REASON_##why, 0              \
  }
#define ENDED(number, how)                                                                         \
  {                                                                                                \
    SGR_CALL_EVENT_OUTCOME, number, SGR_OUTCOME_##how, MS, 0, 0                                    \
  }
#define LOST(number)                                                                               \
  {                                                                                                \
    SGR_CALL_EVENT_CONNECTION_LOST, number, 0, MS, 0, 0                                            \
  }
#define REPLY(number, how)                                                                         \
  {                                                                                                \
    SGR_CALL_EVENT_QUERY_REPLY, number, SGR_OUTCOME_##how, MS, 0, 2                                \
  }
#define RUNS(number)                                                                               \
  {                                                                                                \
    SGR_CALL_EVENT_QUERY_REPLY, number, 0, MS, 0, SGR_GATE_PHASE_RUNNING                           \
  }
#define AT(ms)                                                                                     \
  {                                                                                                \
    SGR_CALL_EVENT_TIMER, 0, 0, (ms)*MS, 0, 0                                                      \
  }
#define BEGUN(number)                                                                              \
  {                                                                                                \
    SGR_CALL_EVENT_ANSWER_STARTED, number, 0, MS, 0, 0                                             \
  }
#define GONE()                                                                                     \
  {                                                                                                \
    SGR_CALL_EVENT_CANCEL, 0, 0, MS, 0, 0                                                          \
  }

typedef struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  uint32_t starts;
  uint32_t cancels;
  uint32_t queries;
  sgr_outcome_t outcome;
  sgr_call_reason_t reason;
  bool idempotent;
  bool keyed;
  bool open;
  bool repeat_safe;
  bool abort_answer;
} case_t;

typedef struct
{
  sgr_call_plan_t plan;
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
        drive (driver, now_us,
               (sgr_call_event_t){ .kind = SGR_CALL_EVENT_PICKED,
                                   .attempt = actions[i].attempt,
                                   .target = 100 + actions[i].attempt });
        drive (driver, now_us,
               (sgr_call_event_t){ .kind = SGR_CALL_EVENT_SENT, .attempt = actions[i].attempt });
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

/* Fault, moment and what the caller is told. Guards against a second run of a request that may have
   run, a false not-run, a call that never ends and an answer of a loser. */
static const case_t cases[] = {
  { "answer", { ENDED (0, COMPLETE) }, 1, 0, 0, SGR_OUTCOME_COMPLETE, 0 },
  { "refused, then answer",
    { REFUSED (0, QUEUE_FULL), ENDED (1, COMPLETE) },
    2,
    0,
    0,
    SGR_OUTCOME_COMPLETE,
    0 },
  { "refused by all",
    { REFUSED (0, QUEUE_FULL), REFUSED (1, DRAINING), REFUSED (2, QUEUE_FULL) },
    3,
    0,
    0,
    SGR_OUTCOME_NOT_RUN,
    SGR_CALL_REASON_REFUSED,
    .repeat_safe = true },
  { "unknown is not repeated",
    { ENDED (0, UNKNOWN) },
    1,
    0,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_TARGET_NOT_RUN },
  { "unknown after not-run",
    { REFUSED (0, QUEUE_FULL), ENDED (1, UNKNOWN) },
    2,
    0,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_TARGET_NOT_RUN },
  { "unknown of an idempotent call",
    { ENDED (0, UNKNOWN), ENDED (1, COMPLETE) },
    2,
    0,
    0,
    SGR_OUTCOME_COMPLETE,
    0,
    .idempotent = true },
  { "unknown, then refused",
    { ENDED (0, UNKNOWN), REFUSED (1, DRAINING), REFUSED (2, DRAINING) },
    3,
    0,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_REFUSED,
    .idempotent = true,
    .repeat_safe = true },
  { "lost, gate has not seen it",
    { LOST (0), REPLY (0, NOT_RUN), ENDED (1, COMPLETE) },
    2,
    0,
    1,
    SGR_OUTCOME_COMPLETE,
    0 },
  { "lost, gate does not know",
    { LOST (0), REPLY (0, UNKNOWN) },
    1,
    0,
    1,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_CONNECTION_LOST },
  { "lost, ran, answer gone",
    { LOST (0), REPLY (0, COMPLETE) },
    1,
    0,
    1,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_ANSWER_LOST },
  { "lost, still runs, answer",
    { LOST (0), RUNS (0), ENDED (0, COMPLETE) },
    1,
    0,
    1,
    SGR_OUTCOME_COMPLETE,
    0 },
  { "lost, no reply to queries",
    { LOST (0), AT (101), AT (121) },
    1,
    1,
    1,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_DEADLINE },
  { "lost, idempotent",
    { LOST (0), ENDED (1, COMPLETE) },
    2,
    1,
    1,
    SGR_OUTCOME_COMPLETE,
    0,
    .idempotent = true },
  { "lost, keyed",
    { LOST (0), REPLY (0, UNKNOWN) },
    1,
    0,
    1,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_CONNECTION_LOST,
    .idempotent = true,
    .keyed = true,
    .repeat_safe = true },
  { "keyed, refused by drain",
    { REFUSED (0, DRAINING) },
    1,
    0,
    0,
    SGR_OUTCOME_NOT_RUN,
    SGR_CALL_REASON_REFUSED,
    .keyed = true,
    .repeat_safe = true },
  { "deadline, cancel says not-run",
    { AT (100), REPLY (0, NOT_RUN) },
    1,
    1,
    0,
    SGR_OUTCOME_NOT_RUN,
    SGR_CALL_REASON_DEADLINE,
    .repeat_safe = true },
  { "deadline, cancel says running",
    { AT (100), RUNS (0) },
    1,
    1,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_DEADLINE },
  { "deadline, answer meanwhile",
    { AT (100), ENDED (0, COMPLETE) },
    1,
    1,
    0,
    SGR_OUTCOME_COMPLETE,
    0 },
  { "deadline, no reply",
    { AT (100), AT (120) },
    1,
    1,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_DEADLINE },
  { "caller goes away",
    { GONE (), ENDED (0, COMPLETE) },
    1,
    1,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_CANCELLED },
  { "answer breaks off",
    { BEGUN (0), LOST (0) },
    1,
    0,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_ANSWER_CUT,
    .idempotent = true,
    .repeat_safe = true,
    .abort_answer = true },
  { "not-run after a part of the answer",
    { BEGUN (0), REFUSED (0, DRAINING) },
    1,
    0,
    0,
    SGR_OUTCOME_UNKNOWN,
    SGR_CALL_REASON_ANSWER_CUT,
    .abort_answer = true },
  { "reply for another attempt",
    { REPLY (1, NOT_RUN), ENDED (7, COMPLETE) },
    1,
    0,
    0,
    0,
    0,
    .open = true },
  { "late frame of an ended attempt",
    { REFUSED (0, QUEUE_FULL), ENDED (0, COMPLETE) },
    2,
    0,
    0,
    0,
    0,
    .open = true },
  { "reply without query", { REPLY (0, NOT_RUN) }, 1, 0, 0, 0, 0, .open = true },
};

static void
test_fault_table (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const case_t *c = &cases[i];
      sgr_retry_budget_t budget;
      sgr_call_options_t options;
      driver_t driver;

      sgr_retry_budget_init (&budget, 10);
      sgr_call_options_init (&options);
      options.deadline_us = DEADLINE_US;
      options.budget = &budget;
      options.idempotent = c->idempotent;
      options.keyed = c->keyed;
      driver_open (&driver, &options);
      for (int s = 0; s < STEPS_MAX && c->steps[s].kind != SGR_CALL_EVENT_BEGIN; s++)
        drive (&driver, c->steps[s].at_us,
               (sgr_call_event_t){ .kind = c->steps[s].kind,
                                   .attempt = c->steps[s].attempt,
                                   .outcome = c->steps[s].outcome,
                                   .phase = c->steps[s].phase,
                                   .gate_reason = c->steps[s].gate_reason,
                                   .reason = c->steps[s].gate_reason != 0
                                                 ? SGR_CALL_REASON_REFUSED
                                                 : SGR_CALL_REASON_TARGET_NOT_RUN });
      if (driver.starts != c->starts || driver.cancels != c->cancels || driver.queries != c->queries
          || driver.finishes != !c->open || driver.finish.outcome != c->outcome
          || driver.finish.reason != c->reason || driver.finish.repeat_safe != c->repeat_safe
          || driver.finish.abort_answer != c->abort_answer)
        fail_msg ("case \"%s\": %u starts, %u cancels, %u queries, %u finishes, %s, %s, %d %d",
                  c->name, driver.starts, driver.cancels, driver.queries, driver.finishes,
                  sgr_outcome_name (driver.finish.outcome),
                  sgr_call_reason_name (driver.finish.reason), driver.finish.repeat_safe,
                  driver.finish.abort_answer);
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
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fault_table),
    cmocka_unit_test (test_hedge_table),
    cmocka_unit_test (test_retry_rules),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
