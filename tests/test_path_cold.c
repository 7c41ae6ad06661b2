#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "node_fixture_config.h"
#include "types.h"

/* A cold target behind a real gate: it gets no more than its limit, whatever callers send. */

#define LIMIT SGR_FIXTURE_COLD_CALLS_PER_S
#define AWAIT_US (10 * SGR_USEC_PER_SEC)
/* Time for which the tests send calls while the target is cold. */
#define LOAD_US (3 * SGR_USEC_PER_SEC / 2)

static sgr_fixture_t fixture;

/* Sends a call with a short deadline; returns its status. @reason receives the reason of a refusal.
 */
static int
call_status (const char *deadline_ms, char *reason, size_t size)
{
  char fields[128];
  sgr_probe_request_t request
      = { .port = fixture.nodes[0].callers, .path = "/", .fields = fields, .timeout_ms = 5000 };
  sgr_probe_answer_t answer;
  int status;

  snprintf (fields, sizeof fields, "Siskingrade-Service: cold\r\nSiskingrade-Deadline-Ms: %s\r\n",
            deadline_ms);
  sgr_probe_call (&request, &answer);
  status = answer.status;
  sgr_probe_field (&answer, "siskingrade-reason", reason, size);
  sgr_probe_release (&answer);
  return status;
}

/* Sends calls until the gate counts its target as cold or as warm. */
static void
gate_await (bool is_cold)
{
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_US;
  char reason[64];

  while (sgr_fixture_metric (&fixture.nodes[1], "siskingrade_gate_cold ") != is_cold)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      call_status ("50", reason, sizeof reason);
    }
}

/* Sends as many calls as possible for LOAD_US and checks that the gate keeps to the limit, however
   long that took. */
static void
load_check (void)
{
  const sgr_fixture_node_t *gate = &fixture.nodes[1];
  uint64_t starts = sgr_fixture_metric (gate, "siskingrade_gate_starts_total");
  uint64_t begin_us = sgr_clock_monotonic_us ();
  unsigned calls = 0, refused = 0;
  uint64_t seconds;

  for (; sgr_clock_monotonic_us () < begin_us + LOAD_US; calls++)
    {
      char reason[64];

      if (call_status ("50", reason, sizeof reason) != 200 && strcmp (reason, "cold") == 0)
        refused++;
    }
  starts = sgr_fixture_metric (gate, "siskingrade_gate_starts_total") - starts;
  seconds = (sgr_clock_monotonic_us () - begin_us) / SGR_USEC_PER_SEC + 1;
  if (starts > seconds * LIMIT || refused == 0)
    fail_msg ("%lu starts in %lu s, %u of %u calls refused", starts, seconds, refused, calls);
}

/* Guards against a limit that is not applied when a warm target says that it is cold, and against
   one that stays when it is warm again. */
static void
test_warm_target_turns_cold (void **state)
{
  char reason[64];

  gate_await (false);
  for (int i = 0; i < 10 * LIMIT; i++)
    assert_int_equal (call_status ("2000", reason, sizeof reason), 200);
  sgr_fixture_target_mode_set (&fixture.nodes[1], "cold/3000");
  gate_await (true);
  load_check ();
  gate_await (false);
  for (int i = 0; i < 10 * LIMIT; i++)
    assert_int_equal (call_status ("2000", reason, sizeof reason), 200);
}

/* Guards against a target that gets the full load after a restart, because its gate still counts it
   as warm. */
static void
test_restarted_target_is_cold (void **state)
{
  sgr_fixture_node_t *gate = &fixture.nodes[1];
  char reason[64];

  gate_await (false);
  sgr_fixture_process_kill (&gate->target_pid);
  assert_int_not_equal (call_status ("500", reason, sizeof reason), 200);
  gate_await (true);
  sgr_fixture_target_start (&fixture, gate);
  assert_true (sgr_fixture_service_await (&fixture.nodes[0], "cold"));
  load_check ();
  gate_await (false);
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=target-cold", 2));
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=target-warm", 2));
}

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.target_options = "--cold-ms=4000";
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "gate", "cold", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_warm_target_turns_cold),
                                      cmocka_unit_test (test_restarted_target_is_cold) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
