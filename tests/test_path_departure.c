#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "types.h"

/* Nodes that are killed and started again after they have acknowledged that their target drains or
   has left. The tests send the announcements; no target runs. */

/* A target that comes up is known everywhere within a second. */
#define SPREAD_US (1500 * SGR_USEC_PER_MSEC)
/* Time between two announcements. */
#define INTERVAL_US (1100 * SGR_USEC_PER_MSEC)
/* More than the seconds between two uses of a port in a test. */
#define CONFIRM_PORTS 12
/* Longest time that a test waits for a condition. */
#define WAIT_MAX_US (10 * SGR_USEC_PER_SEC)

static sgr_fixture_t fixture;
static sgr_fixture_node_t *entry;
static sgr_fixture_node_t *gate;
/* Port of the last address that the node named for the next announcement, 0 for none. */
static uint16_t named_port;

static int
test_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.limits = "  announce_ttl_ms: 60000\n";
  fixture.has_external_targets = true;
  fixture.confirm_ports = CONFIRM_PORTS;
  named_port = 0;
  entry = sgr_fixture_node_add (&fixture, "entry", NULL, false);
  gate = sgr_fixture_node_add (&fixture, "gate", "one", false);
  return sgr_fixture_processes_start (&fixture) ? 0 : -1;
}

static int
test_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Sends a request of the target to a port and returns the status of the answer. */
static int
target_call_port (uint16_t port, const char *method, const char *body)
{
  sgr_probe_request_t request = {
    .port = port, .method = method, .path = "/v1/target", .body = body, .body_length = strlen (body)
  };
  static const char key[] = "\"announce_address\":\"127.0.0.1:";
  sgr_probe_answer_t answer;
  const char *named;
  int status;

  sgr_probe_call (&request, &answer);
  status = answer.status;
  named = answer.body != NULL ? strstr (answer.body, key) : NULL;
  named_port = named != NULL ? (uint16_t)atoi (named + strlen (key)) : 0;
  sgr_probe_release (&answer);
  return status;
}

static int
target_call (const char *method, const char *body)
{
  return target_call_port (gate->control, method, body);
}

/* Announces an instance of the target to a port once and returns the status of the answer. */
static int
announce_port (uint16_t port, const char *state, unsigned long started_ms, unsigned sequence)
{
  char body[256];

  snprintf (body, sizeof body,
            "{\"service\":\"one\",\"address\":\"127.0.0.1:%u\",\"slots\":4,\"state\":\"%s\","
            "\"instance\":\"i-1\",\"started_ms\":%lu,\"sequence\":%u}",
            gate->target, state, started_ms, sequence);
  return target_call_port (port, "PUT", body);
}

static int
announce_once (const char *state, unsigned long started_ms, unsigned sequence)
{
  return announce_port (gate->control, state, started_ms, sequence);
}

/* Announces an instance of the target, and repeats this while the node does not answer yet. */
static void
announce (const char *state, unsigned long started_ms, unsigned sequence)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;

  while (announce_once (state, started_ms, sequence) != 200)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_fixture_poll_sleep ();
    }
}

/* Number of targets that the entry sends work to. */
static uint64_t
targets_serving (void)
{
  return sgr_fixture_metric (entry, "siskingrade_targets{service=\"one\"");
}

static void
targets_await (uint64_t count)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;

  while (targets_serving () != count)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_fixture_poll_sleep ();
    }
}

/* Checks that the entry sends no work to the target for a time. */
static void
no_target_check (uint64_t during_us)
{
  uint64_t end_us = sgr_clock_monotonic_us () + during_us;

  while (sgr_clock_monotonic_us () < end_us)
    {
      assert_int_equal (targets_serving (), 0);
      sgr_fixture_poll_sleep ();
    }
}

/* Checks that the target keeps its work for a time. */
static void
no_target_change_check (void)
{
  uint64_t end_us = sgr_clock_monotonic_us () + SPREAD_US;

  while (sgr_clock_monotonic_us () < end_us)
    {
      assert_int_equal (targets_serving (), 1);
      sgr_fixture_poll_sleep ();
    }
}

/* Waits until the entry knows that the former process of the node has ended. */
static void
gate_restart (void)
{
  sgr_fixture_process_kill (&gate->pid);
  sgr_fixture_node_start (&fixture, gate);
  targets_await (0);
}

/* Guards against a target that gets new work although its leave was acknowledged: its node was
   killed and started again, and an announcement from before the leave arrives late. */
static void
test_late_announcement_after_leave (void **state)
{
  announce ("serving", 1000000, 1);
  targets_await (1);
  assert_int_equal (target_call ("DELETE", ""), 200);
  gate_restart ();
  announce ("serving", 1000000, 2);
  no_target_check (SPREAD_US);
  /* The target starts again under its name. */
  announce ("serving", 2000000, 1);
  targets_await (1);
}

/* Guards against a target that gets new work although its drain was acknowledged: its node was
   killed and started again, and an announcement from before the drain arrives late. */
static void
test_late_announcement_after_drain (void **state)
{
  announce ("serving", 1000000, 1);
  targets_await (1);
  announce ("draining", 1000000, 3);
  gate_restart ();
  announce ("serving", 1000000, 2);
  no_target_check (SPREAD_US);
}

/* Guards against a restarted node that takes late announcements for a target that runs while the
   store does not tell the departures, and against one whose target is never used then. */
static void
test_restart_without_store (void **state)
{
  uint16_t port;

  announce ("serving", 1000000, 1);
  targets_await (1);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  announce ("serving", 1000000, 2);
  port = named_port;
  assert_int_not_equal (port, 0);
  no_target_check (INTERVAL_US);
  announce ("serving", 1000000, 3);
  no_target_check (INTERVAL_US);
  /* One that was sent before the answer and was late on the way. */
  assert_int_equal (announce_port (port, "serving", 1000000, 2), 200);
  no_target_check (INTERVAL_US);
  /* One that was sent after the answer, at the address that it named. */
  assert_int_equal (announce_port (port, "serving", 1000000, 4), 200);
  targets_await (1);
  assert_int_equal (named_port, gate->control);
  announce ("serving", 1000000, 5);
  no_target_change_check ();
}

/* Guards against an announcement of a later instance that takes the place of the registered one
   while the departures are not known. */
static void
test_later_instance_without_store (void **state)
{
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  announce ("serving", 1000000, 1);
  assert_int_equal (announce_port (named_port, "serving", 1000000, 2), 200);
  targets_await (1);
  announce ("serving", 1000001, 1);
  /* It waits for the record, so that its answer asks for a confirmation. */
  assert_int_not_equal (named_port, 0);
  no_target_change_check ();
}

/* Guards against a target that has departed and keeps its work because the node could not read the
   record when the target came up. */
static void
test_record_read_late (void **state)
{
  announce ("serving", 1000000, 1);
  targets_await (1);
  assert_int_equal (target_call ("DELETE", ""), 200);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  announce ("serving", 1000000, 2);
  /* No target that has left sends this; it stands for any other fault that registers one. */
  assert_int_equal (announce_port (named_port, "serving", 1000000, 3), 200);
  targets_await (1);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  targets_await (0);
  announce ("serving", 1000000, 4);
  no_target_check (SPREAD_US);
}

/* Guards against a target that gets no work because the store does not tell the departures,
   although it started after its node, so that none of them can be its own. */
static void
test_young_target_without_store (void **state)
{
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=started", 2));
  announce ("serving", sgr_clock_wall_ms (), 1);
  targets_await (1);
}

/* Guards against a target that has left and gets work again: the store does not tell the departures
   to its restarted node, and two announcements from before the leave arrive late. */
static void
test_two_late_announcements_without_store (void **state)
{
  uint64_t end_us;

  announce ("serving", 1000000, 1);
  targets_await (1);
  assert_int_equal (target_call ("DELETE", ""), 200);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  announce ("serving", 1000000, 2);
  end_us = sgr_clock_monotonic_us () + INTERVAL_US;
  while (sgr_clock_monotonic_us () < end_us)
    sgr_fixture_poll_sleep ();
  announce ("serving", 1000000, 3);
  no_target_check (SPREAD_US);
}

/* Guards against an acknowledged leave that only the memory of the process holds: the store does
   not take it, so that a late announcement brings the target back after a kill. */
static void
test_leave_without_store (void **state)
{
  announce ("serving", 1000000, 1);
  targets_await (1);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  assert_int_equal (target_call ("DELETE", ""), 503);
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=departure-not-stored", 1));
  /* The leave is in force nevertheless. */
  targets_await (0);
  announce ("serving", 1000000, 2);
  no_target_check (SPREAD_US);
  assert_int_equal (target_call ("DELETE", ""), 503);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=departures-stored", 1));
  assert_int_equal (target_call ("DELETE", ""), 200);
  gate_restart ();
  announce ("serving", 1000000, 3);
  no_target_check (SPREAD_US);
}

/* Guards against a leave that is refused although the store is back, because the next retry is due
   later than an answer waits. */
static void
test_leave_soon_after_outage (void **state)
{
  announce ("serving", 1000000, 1);
  targets_await (1);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  assert_int_equal (target_call ("DELETE", ""), 503);
  assert_true (sgr_fixture_event_await (&fixture, gate, "retry_ms=2000", 1));
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  assert_int_equal (target_call ("DELETE", ""), 200);
}

/* Guards against an acknowledged drain that only the memory of the process holds. */
static void
test_drain_without_store (void **state)
{
  announce ("serving", 1000000, 1);
  targets_await (1);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  assert_int_equal (announce_once ("draining", 1000000, 3), 503);
  targets_await (0);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  announce ("draining", 1000000, 4);
  gate_restart ();
  announce ("serving", 1000000, 2);
  no_target_check (SPREAD_US);
}

/* Guards against a leave that is never acknowledged because the answer to its write was lost, and
   against one that is acknowledged although the store has not taken it. */
static void
test_leave_with_lost_write (void **state)
{
  announce ("serving", 1000000, 1);
  targets_await (1);
  sgr_fixture_store_faults_set (&fixture, "lose_reply=1");
  while (target_call ("DELETE", "") != 200)
    sgr_fixture_poll_sleep ();
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  announce ("serving", 1000000, 2);
  no_target_check (SPREAD_US);
}

/* Guards against a target that gets work although its leave was acknowledged: its announcement was
   kept, because the store did not tell the departures, and is applied after the leave. */
static void
test_leave_of_kept_announcement (void **state)
{
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  announce ("serving", 1000000, 1);
  assert_int_equal (target_call ("DELETE", ""), 503);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=departures-stored", 1));
  no_target_check (SPREAD_US);
}

/* Guards against a leave that removes a waiting announcement of a former instance in place of the
   registered target. */
static void
test_leave_beside_kept_announcement (void **state)
{
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  gate_restart ();
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=started", 2));
  announce ("serving", 1000000, 1);
  announce ("serving", sgr_clock_wall_ms (), 1);
  targets_await (1);
  assert_int_equal (target_call ("DELETE", ""), 503);
  targets_await (0);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  assert_true (sgr_fixture_event_await (&fixture, gate, "event=departures-stored", 1));
  no_target_check (SPREAD_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_late_announcement_after_leave, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_late_announcement_after_drain, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_restart_without_store, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_later_instance_without_store, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_record_read_late, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_two_late_announcements_without_store, test_setup,
                                     test_teardown),
    cmocka_unit_test_setup_teardown (test_young_target_without_store, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_leave_without_store, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_leave_soon_after_outage, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_drain_without_store, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_leave_with_lost_write, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_leave_of_kept_announcement, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_leave_beside_kept_announcement, test_setup,
                                     test_teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
