#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "gate.h"
#include "rng.h"
#include "timer_heap.h"

#define MS SGR_USEC_PER_MSEC
#define SEC SGR_USEC_PER_SEC
#define LIMIT 20
/* Most requests that a cold target may get in any second without crashing. */
#define BOUND(limit) ((limit)*3 / 2 + 8)
#define SENT_MAX 8192

/* Times at which requests were sent to one target, in ascending order. */
typedef struct
{
  uint64_t us[SENT_MAX];
  uint32_t count;
} sent_t;

static void
sent_add (sent_t *sent, uint64_t now_us)
{
  assert_true (sent->count < SENT_MAX);
  sent->us[sent->count++] = now_us;
}

/* Highest number of requests in any second, both ends included. */
static uint32_t
sent_peak (const sent_t *sent)
{
  uint32_t peak = 0;

  for (uint32_t first = 0, last = 0; last < sent->count; last++)
    {
      while (sent->us[last] - sent->us[first] > SEC)
        first++;
      if (last - first + 1 > peak)
        peak = last - first + 1;
    }
  return peak;
}

static void
state_record (sgr_gate_cold_t *cold, uint64_t made_us, uint64_t arrived_us, uint64_t cold_us,
              sgr_gate_cold_source_t source)
{
  sgr_gate_cold_statement_t statement
      = { .made_us = made_us, .arrived_us = arrived_us, .cold_us = cold_us, .source = source };

  sgr_gate_cold_record (cold, &statement);
}

/* Guards against a second with more starts than the limit, at whatever offset it begins, also where
   requests are sent later than they were decided on or are not sent at all, and against a window
   that stays closed. Load: three times as many attempts as the limit allows, at random times. */
static void
test_no_second_exceeds_limit (void **state)
{
  static const uint32_t limits[] = { 1, 3, 20, 150 };

  for (unsigned seed = 0; seed < 40; seed++)
    {
      uint32_t limit = limits[seed % 4];
      sgr_gate_cold_t *cold = sgr_gate_cold_create (5 * SEC);
      uint64_t due_us[8] = { 0 };
      sent_t sent = { .count = 0 };
      sgr_rng_t rng;

      sgr_rng_seed (&rng, seed);
      sgr_gate_cold_limit_set (cold, 5 * SEC, limit);
      for (uint64_t now_us = 5 * SEC; now_us < 25 * SEC; now_us += 1 + sgr_rng_below (&rng, 2 * MS))
        {
          unsigned place = (unsigned)sgr_rng_below (&rng, 8);

          for (unsigned i = 0; i < 8; i++)
            if (due_us[i] != 0 && due_us[i] <= now_us)
              {
                due_us[i] = 0;
                sent_add (&sent, now_us);
                sgr_gate_cold_start_commit (cold, now_us);
              }
          if (due_us[place] != 0 || sgr_rng_below (&rng, 1000) > 3 * limit + 50)
            continue;
          if (sgr_gate_cold_starts_left (cold, now_us) == 0)
            {
              assert_true (sgr_gate_cold_room_us (cold, now_us, 0) > now_us);
              assert_true (sgr_gate_cold_room_us (cold, now_us, 0) <= now_us + SEC + 1);
              continue;
            }
          sgr_gate_cold_start_reserve (cold);
          if (sgr_rng_below (&rng, 10) == 0)
            sgr_gate_cold_start_release (cold);
          else
            due_us[place] = now_us + sgr_rng_below (&rng, 30 * MS);
        }
      assert_true (sent.us[0] >= 6 * SEC);
      assert_true (sent_peak (&sent) <= limit);
      assert_true (sent.count >= limit * 19 * 8 / 10);
      sgr_gate_cold_destroy (cold);
    }
}

#define NOTHING SGR_GATE_COLD_SOURCE_NONE
#define START SGR_GATE_COLD_SOURCE_NODE_START
#define REGISTERED SGR_GATE_COLD_SOURCE_REGISTRATION
#define CONNECTION SGR_GATE_COLD_SOURCE_CONNECTION
#define EVACUATION SGR_GATE_COLD_SOURCE_EVACUATION
#define SILENCE SGR_GATE_COLD_SOURCE_SILENCE
#define ANNOUNCED SGR_GATE_COLD_SOURCE_ANNOUNCEMENT
#define HEALTH SGR_GATE_COLD_SOURCE_HEALTH

/* Guards against a target that counts as warm by a statement that is older than the event that made
   its state unknown, and against a wrong source in the log. Each step is an event and what counts
   1 us after it. */
static void
test_known_state (void **state)
{
  static const struct
  {
    uint64_t at_ms;
    sgr_gate_cold_source_t event; /* NOTHING: only time passes */
    uint64_t made_ms;
    uint64_t cold_ms;
    bool is_cold;
    sgr_gate_cold_source_t source;
  } steps[] = {
    { 1000, NOTHING, 0, 0, true, START },
    { 1100, HEALTH, 900, 0, true, START }, /* asked for before the start */
    { 1200, HEALTH, 1199, 0, false, HEALTH },
    { 2199, NOTHING, 0, 0, false, HEALTH }, /* the statement is 999 ms old */
    { 2201, NOTHING, 0, 0, true, SILENCE },
    { 2300, ANNOUNCED, 2300, 0, false, ANNOUNCED },
    { 2400, CONNECTION, 0, 0, true, CONNECTION },
    { 2410, HEALTH, 2399, 0, true, CONNECTION }, /* asked for before the connection failed */
    { 2420, HEALTH, 2411, 0, false, HEALTH },
    { 2500, HEALTH, 2499, 1000, true, HEALTH },
    { 2600, ANNOUNCED, 2600, 200, true, HEALTH },
    { 2900, HEALTH, 2899, 0, true, HEALTH }, /* the latest stated time counts */
    { 3400, HEALTH, 3399, 0, true, HEALTH },
    { 3499, NOTHING, 0, 0, true, HEALTH },
    { 3501, NOTHING, 0, 0, false, HEALTH },
    { 3600, EVACUATION, 0, 0, true, EVACUATION },
    { 3610, HEALTH, 3601, 9000, true, HEALTH },
    { 3700, REGISTERED, 0, 0, true, REGISTERED },
    { 3710, HEALTH, 3701, 0, false, HEALTH }, /* what the former instance stated is void */
    { 3800, EVACUATION, 0, 0, true, EVACUATION },
    { 3800, ANNOUNCED, 3800, 0, false, ANNOUNCED },
  };
  sgr_gate_cold_t *cold = sgr_gate_cold_create (1000 * MS);

  assert_false (sgr_gate_cold_is_cold (cold, 1000 * MS));
  assert_true (sgr_gate_cold_starts_left (cold, 1000 * MS) == UINT32_MAX);
  sgr_gate_cold_limit_set (cold, 1000 * MS, LIMIT);
  for (unsigned i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      uint64_t at_us = steps[i].at_ms * MS;

      if (steps[i].event == ANNOUNCED || steps[i].event == HEALTH)
        state_record (cold, steps[i].made_ms * MS, at_us, steps[i].cold_ms * MS, steps[i].event);
      else if (steps[i].event == REGISTERED)
        sgr_gate_cold_instance_replace (cold, at_us);
      else if (steps[i].event != NOTHING)
        sgr_gate_cold_forget (cold, at_us, steps[i].event);
      if (sgr_gate_cold_is_cold (cold, at_us + 1) != steps[i].is_cold
          || sgr_gate_cold_source (cold, at_us + 1) != steps[i].source)
        fail_msg ("step %u: cold %d by %s", i, sgr_gate_cold_is_cold (cold, at_us + 1),
                  sgr_gate_cold_source_name (sgr_gate_cold_source (cold, at_us + 1)));
    }
  sgr_gate_cold_destroy (cold);
}

/* Guards against starts that are forgotten, or a limit that is exceeded, when the limit changes. */
static void
test_limit_changes (void **state)
{
  sgr_gate_cold_t *cold = sgr_gate_cold_create (0);

  sgr_gate_cold_limit_set (cold, 0, 6);
  assert_int_equal (sgr_gate_cold_starts_left (cold, SEC - 1), 0);
  for (unsigned i = 0; i < 5; i++)
    {
      sgr_gate_cold_start_reserve (cold);
      sgr_gate_cold_start_commit (cold, 2 * SEC + i * 100 * MS);
    }
  assert_int_equal (sgr_gate_cold_starts_left (cold, 2500 * MS), 1);
  sgr_gate_cold_limit_set (cold, 2500 * MS, 3);
  assert_int_equal (sgr_gate_cold_starts_left (cold, 2500 * MS), 0);
  assert_int_equal (sgr_gate_cold_room_us (cold, 2500 * MS, 0), 3200 * MS + 1);
  assert_int_equal (sgr_gate_cold_room_us (cold, 2500 * MS, 5), 4400 * MS + 1);
  assert_int_equal (sgr_gate_cold_starts_left (cold, 3200 * MS + 1), 1);
  sgr_gate_cold_limit_set (cold, 3300 * MS, 9);
  assert_int_equal (sgr_gate_cold_starts_left (cold, 4299 * MS), 0);
  assert_int_equal (sgr_gate_cold_room_us (cold, 3300 * MS, 8), 4300 * MS);
  assert_int_equal (sgr_gate_cold_starts_left (cold, 4300 * MS), 9);
  sgr_gate_cold_limit_set (cold, 4300 * MS, 0);
  assert_true (sgr_gate_cold_starts_left (cold, 4300 * MS) == UINT32_MAX);
  sgr_gate_cold_destroy (cold);
}

/* One gate with its target, at full demand. */
typedef struct
{
  sgr_gate_t *gate;
  sgr_policy_t policy;
  uint64_t sequence;
  sent_t *sent;
  struct
  {
    sgr_gate_handle_t handle;
    uint64_t done_us;
  } running[64];
  uint32_t refused[SGR_GATE_REASON_COUNT];
} node_t;

static void
request_send (node_t *node, sgr_gate_handle_t handle, uint64_t now_us)
{
  unsigned i = 0;

  while (node->running[i].handle != 0)
    assert_true (++i < 64);
  node->running[i].handle = handle;
  node->running[i].done_us = now_us + 5 * MS;
  assert_true (sgr_gate_attempt_mark_started (node->gate, handle));
  sgr_gate_attempt_sent (node->gate, handle, now_us);
  sent_add (node->sent, now_us);
}

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  request_send (ctx, handle, now_us);
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  ((node_t *)ctx)->refused[reason]++;
}

static void
node_start (node_t *node, uint64_t now_us, sgr_boot_id_t boot, sent_t *sent)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  sgr_gate_options_t options;

  *node = (node_t){ .sent = sent };
  sgr_policy_init (&node->policy, "booking");
  node->policy.cold_calls_per_s = LIMIT;
  sgr_gate_options_init (&options, boot);
  options.start_us = now_us;
  node->gate = sgr_gate_create (&options, &node->policy, &callbacks, node);
  sgr_gate_target_update (node->gate, now_us, SGR_TARGET_SERVING, 16);
}

static void
node_state_record (node_t *node, uint64_t now_us, uint64_t cold_us)
{
  sgr_gate_cold_statement_t statement = { .made_us = now_us - 2 * MS,
                                          .arrived_us = now_us,
                                          .cold_us = cold_us,
                                          .source = SGR_GATE_COLD_SOURCE_HEALTH };

  sgr_gate_target_cold_record (node->gate, now_us, &statement);
}

static sgr_gate_decision_t
node_call (node_t *node, uint64_t now_us, uint64_t timeout_us, uint32_t priority)
{
  sgr_attempt_t attempt = { .id = { 5, 1, ++node->sequence, 0 },
                            .gate_boot = 77,
                            .deadline_us = now_us + timeout_us,
                            .priority = priority,
                            .tenant = "",
                            .class_name = priority == 0 ? "urgent" : "usual" };
  sgr_gate_decision_t decision;

  sgr_gate_attempt_admit (node->gate, now_us, &attempt, &decision);
  if (decision.kind == SGR_GATE_START)
    request_send (node, decision.handle, now_us);
  else if (decision.kind == SGR_GATE_REFUSED)
    node->refused[decision.reason]++;
  return decision;
}

static void
node_run (node_t *node, uint64_t now_us)
{
  static const sgr_gate_finish_t complete
      = { .outcome = SGR_OUTCOME_COMPLETE, .latency_us = 5 * MS };

  for (unsigned i = 0; i < 64; i++)
    if (node->running[i].handle != 0 && node->running[i].done_us <= now_us)
      {
        sgr_gate_handle_t handle = node->running[i].handle;

        node->running[i].handle = 0;
        sgr_gate_attempt_finish (node->gate, handle, now_us, &complete);
      }
  sgr_gate_tick (node->gate, now_us);
}

/* Guards against a target that crashes because its gate does not know that it turned cold. Load:
   200 attempts per second at one gate, health answers every 40 ms that take 2 ms; the target turns
   cold at any moment between them. With a failed connection the limit applies at once, without one
   from the next health answer on. */
static void
test_target_turns_cold_unnoticed (void **state)
{
  for (uint64_t offset_ms = 0; offset_ms < 40; offset_ms++)
    {
      uint64_t cold_us = 3 * SEC + offset_ms * MS;
      sent_t sent = { .count = 0 };
      node_t node;

      node_start (&node, SEC, 77, &sent);
      for (uint64_t now_us = SEC; now_us < 8 * SEC; now_us += MS)
        {
          if (now_us % (40 * MS) == 0)
            node_state_record (&node, now_us,
                               now_us >= cold_us + 2 * MS && now_us < cold_us + 2 * SEC
                                   ? cold_us + 2 * SEC - now_us
                                   : 0);
          if (now_us == cold_us)
            {
              /* At least 95 % of the attempts started while the target was warm. */
              assert_true (sent.count >= 380);
              sent.count = 0;
              if (offset_ms % 2 == 0)
                sgr_gate_target_cold_forget (node.gate, now_us, SGR_GATE_COLD_SOURCE_CONNECTION);
            }
          if (now_us == cold_us + 2 * SEC)
            {
              assert_true (sent_peak (&sent) <= BOUND (LIMIT));
              assert_true (sent.count >= 2 * LIMIT - 1);
              sent.count = 0;
            }
          if (now_us % (5 * MS) == 0)
            node_call (&node, now_us, 300 * MS, 0);
          node_run (&node, now_us);
        }
      assert_true (node.refused[SGR_GATE_REASON_COLD] > 0);
      assert_true (sent.count >= 550);
      sgr_gate_destroy (node.gate);
    }
}

/* Guards against two gates that each use the whole limit within a second. Load: 200 attempts per
   second; the node is killed at any moment and starts again 0 to 900 ms later, beside a target that
   stays cold. */
static void
test_restart_of_node (void **state)
{
  for (uint64_t offset_ms = 0; offset_ms < 1000; offset_ms += 50)
    {
      uint64_t kill_us = 3 * SEC + offset_ms * MS;
      uint64_t restart_us = kill_us + offset_ms * 9 / 10 * MS;
      sent_t sent = { .count = 0 };
      node_t node;

      node_start (&node, SEC, 77, &sent);
      for (uint64_t now_us = SEC; now_us < 7 * SEC; now_us += MS)
        {
          if (now_us == kill_us)
            sgr_gate_destroy (node.gate);
          if (now_us == restart_us)
            node_start (&node, now_us, 77, &sent);
          if (now_us >= kill_us && now_us < restart_us)
            continue;
          if (now_us % (40 * MS) == 0)
            node_state_record (&node, now_us, 9 * SEC);
          if (now_us % (5 * MS) == 0)
            node_call (&node, now_us, 300 * MS, 0);
          node_run (&node, now_us);
        }
      assert_true (sent_peak (&sent) <= LIMIT);
      assert_true (sent.count >= 3 * LIMIT);
      sgr_gate_destroy (node.gate);
    }
}

/* Guards against attempts that are held although they cannot start in time, attempts that are
   refused although they can, a wrong time to retry, and an urgent attempt that is refused because
   less urgent ones wait. */
static void
test_waiting_for_room (void **state)
{
  sent_t sent = { .count = 0 };
  sgr_gate_decision_t decision;
  sgr_load_report_t report;
  node_t node;

  node_start (&node, SEC, 77, &sent);
  node_state_record (&node, 3 * SEC, 9 * SEC);
  for (unsigned i = 0; i < LIMIT; i++)
    {
      assert_int_equal (node_call (&node, 3 * SEC + i * 10 * MS, SEC, 5).kind, SGR_GATE_START);
      node_run (&node, 3 * SEC + i * 10 * MS + 5 * MS);
    }
  sgr_gate_load_report (node.gate, 3300 * MS, &report);
  assert_int_equal (report.cold_calls_per_s, LIMIT);
  assert_int_equal (report.slots - report.in_flight, 0);
  decision = node_call (&node, 3300 * MS, 500 * MS, 5);
  assert_int_equal (decision.reason, SGR_GATE_REASON_COLD);
  assert_int_equal (decision.outcome, SGR_OUTCOME_NOT_RUN);
  assert_in_range (decision.retry_after_ms, 700, 701);
  for (unsigned i = 0; i < 10; i++)
    assert_int_equal (node_call (&node, 3300 * MS, 800 * MS, 5).kind, SGR_GATE_QUEUED);
  assert_int_equal (node_call (&node, 3300 * MS, 750 * MS, 5).reason, SGR_GATE_REASON_COLD);
  /* The window has room for ten attempts within the deadline of the queued ones, so the more urgent
     one takes the place of one of them. */
  assert_int_equal (node_call (&node, 3300 * MS, 750 * MS, 0).kind, SGR_GATE_QUEUED);
  node_run (&node, 3300 * MS);
  assert_int_equal (node.refused[SGR_GATE_REASON_COLD], 3);
  assert_int_equal (sgr_gate_tick (node.gate, 3301 * MS), 4 * SEC + 1);
  for (uint64_t now_us = 3301 * MS; now_us < 4200 * MS; now_us += MS)
    node_run (&node, now_us);
  assert_int_equal (sent.count, LIMIT + 10);
  assert_int_equal (node.refused[SGR_GATE_REASON_COLD], 3);
  sgr_gate_destroy (node.gate);
}

/* Guards against attempts that are refused after a pause although the health answer that lifts the
   limit arrives within milliseconds, against attempts that wait on if none arrives, and against
   entries that avoid a target because of a pause. Load: 60 attempts at once with deadlines of 500
   ms. */
static void
test_waiting_for_statement (void **state)
{
  for (int with_answer = 0; with_answer < 2; with_answer++)
    {
      sent_t sent = { .count = 0 };
      sgr_load_report_t report;
      node_t node;

      node_start (&node, SEC, 77, &sent);
      node_state_record (&node, 2 * SEC, 0);
      sgr_gate_load_report (node.gate, 9 * SEC, &report);
      assert_int_equal (report.cold_calls_per_s, 0);
      for (unsigned i = 0; i < 60; i++)
        node_call (&node, 9 * SEC, 500 * MS, 0);
      assert_int_equal (sent.count, 16);
      for (uint64_t now_us = 9 * SEC; now_us < 9400 * MS; now_us += MS)
        {
          if (with_answer && now_us == 9 * SEC + 3 * MS)
            node_state_record (&node, now_us, 0);
          node_run (&node, now_us);
          if (now_us == 9099 * MS)
            assert_int_equal (node.refused[SGR_GATE_REASON_COLD], 0);
          if (now_us == 9100 * MS)
            {
              assert_int_equal (node.refused[SGR_GATE_REASON_COLD], with_answer ? 0 : 40);
              sgr_gate_load_report (node.gate, now_us, &report);
              assert_int_equal (report.cold_calls_per_s, with_answer ? 0 : LIMIT);
            }
        }
      assert_int_equal (sent.count, with_answer ? 60 : LIMIT);
      sgr_gate_destroy (node.gate);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_second_exceeds_limit),
    cmocka_unit_test (test_known_state),
    cmocka_unit_test (test_limit_changes),
    cmocka_unit_test (test_target_turns_cold_unnoticed),
    cmocka_unit_test (test_restart_of_node),
    cmocka_unit_test (test_waiting_for_room),
    cmocka_unit_test (test_waiting_for_statement),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
