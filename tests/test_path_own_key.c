#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"
#include "types.h"

/* Idempotency keys that callers choose themselves. The store binds each key to one gate; here the
   store fails. */

/* Indices of the nodes in the fixture. Only GATE_1 and GATE_2 have targets. */
enum
{
  ENTRY,
  OTHER_ENTRY,
  GATE_1,
  GATE_2,
};

static sgr_fixture_t fixture;

static sgr_fixture_node_t *
node (int index)
{
  return &fixture.nodes[index];
}

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "other", NULL, false);
  sgr_fixture_node_add (&fixture, "gate-1", "one", false);
  sgr_fixture_node_add (&fixture, "gate-2", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static unsigned
executions (const char *id)
{
  return sgr_fixture_executions (node (GATE_1), id) + sgr_fixture_executions (node (GATE_2), id);
}

/* Sends a POST with a key through a node and checks the status and the outcome in its answer.
   Returns the number of times that targets ran the request. */
static unsigned
call_with_key (int entry, const char *key, const char *body, int status, const char *outcome)
{
  char fields[96];
  char found_outcome[32];
  sgr_path_call_t call = { .entry = node (entry),
                           .service = "one",
                           .method = "POST",
                           .path = "/",
                           .fields = fields,
                           .body = body };
  sgr_probe_answer_t answer;
  unsigned count;

  snprintf (fields, sizeof fields, "Idempotency-Key: %s\r\n", key);
  sgr_path_answer_receive (sgr_path_call_send (&call), &call, &answer);
  sgr_probe_field (&answer, "siskingrade-outcome", found_outcome, sizeof found_outcome);
  if (answer.status != status || strcmp (found_outcome, outcome) != 0)
    fail_msg ("key %s: status %d, outcome %s; expected status %d, outcome %s; body: %s", key,
              answer.status, found_outcome, status, outcome,
              answer.body != NULL ? answer.body : "");
  sgr_probe_release (&answer);
  count = executions (call.id);
  return count;
}

/* Guards against a second execution when a caller repeats its own key through other nodes. */
static void
test_repeat_through_other_node (void **state)
{
  assert_int_equal (call_with_key (ENTRY, "repeat", "a", 200, "complete"), 1);
  for (int i = 0; i < 6; i++)
    assert_int_equal (
        call_with_key (i % 2 == 0 ? OTHER_ENTRY : ENTRY, "repeat", "a", 200, "complete"), 0);
}

/* Guards against a node that returns the answer to an earlier request when a different request
   reuses its key. */
static void
test_other_request_same_key (void **state)
{
  assert_int_equal (call_with_key (ENTRY, "reused", "a", 200, "complete"), 1);
  assert_int_equal (call_with_key (OTHER_ENTRY, "reused", "b", 422, "not-run"), 0);
}

/**
 * struct store_case_t - a fault of the store, and the expected results of a call and of its repeat
 * @name: description for messages
 * @fault: query string for sgr_fixture_store_faults_set()
 * @outcome: outcome of the call
 * @repeat_outcome: outcome of the repeat
 * @status: status of the call
 * @repeat_status: status of the repeat
 * @executions: number of executions of the call
 * @repeat_executions: number of executions of the repeat
 */
typedef struct
{
  const char *name;
  const char *fault;
  const char *outcome;
  const char *repeat_outcome;
  int status;
  int repeat_status;
  unsigned executions;
  unsigned repeat_executions;
} store_case_t;

/* The fault is set before the call and cleared before its repeat through another node. */
static const store_case_t store_cases[] = {
  { "write succeeds, its reply is lost", "lose_reply=1", "complete", "complete", 200, 200, 1, 0 },
  { "write is dropped without a reply", "drop_write=1", "unknown", "complete", 503, 200, 0, 1 },
  { "store down", "outage=1", "unknown", "complete", 503, 200, 0, 1 },
  { "store slow", "slow_ms=300", "complete", "complete", 200, 200, 1, 0 },
};

/* Guards against a second execution, and against a false outcome "not-run", when the store fails
   while it binds a key. */
static void
test_store_faults (void **state)
{
  for (size_t i = 0; i < sizeof store_cases / sizeof store_cases[0]; i++)
    {
      const store_case_t *store_case = &store_cases[i];
      char key[32];

      snprintf (key, sizeof key, "fault-%zu", i);
      print_message ("%s\n", store_case->name);
      sgr_fixture_store_faults_set (&fixture, store_case->fault);
      assert_int_equal (call_with_key (ENTRY, key, "a", store_case->status, store_case->outcome),
                        store_case->executions);
      sgr_fixture_store_faults_set (&fixture, "outage=0&lose_reply=0&drop_write=0&slow_ms=0");
      assert_int_equal (call_with_key (OTHER_ENTRY, key, "a", store_case->repeat_status,
                                       store_case->repeat_outcome),
                        store_case->repeat_executions);
    }
}

/* Guards against a false outcome "not-run" for a repeat of a call that ran, while the store is
   unavailable. */
static void
test_store_down_at_repeat (void **state)
{
  assert_int_equal (call_with_key (ENTRY, "later", "a", 200, "complete"), 1);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  assert_int_equal (call_with_key (OTHER_ENTRY, "later", "a", 503, "unknown"), 0);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  assert_int_equal (call_with_key (OTHER_ENTRY, "later", "a", 200, "complete"), 0);
}

/* Guards against a second execution of a request after the store was restored to a state without
   the binding of its key. The gate that ran it first is draining, so that a new binding would name
   the other one. */
static void
test_repeat_after_restored_store_lost_the_binding (void **state)
{
  sgr_path_call_t call = { .entry = node (OTHER_ENTRY),
                           .service = "one",
                           .method = "POST",
                           .path = "/",
                           .fields = "Idempotency-Key: lost\r\n",
                           .body = "a" };
  uint64_t end_us = sgr_clock_monotonic_us () + 10 * SGR_USEC_PER_SEC;
  uint64_t starts;
  sgr_probe_answer_t answer;
  int gate;

  sgr_fixture_store_faults_set (&fixture, "snapshot=1");
  starts = sgr_fixture_metric (node (GATE_1), "siskingrade_gate_starts_total");
  assert_int_equal (call_with_key (ENTRY, "lost", "a", 200, "complete"), 1);
  gate = sgr_fixture_metric (node (GATE_1), "siskingrade_gate_starts_total") > starts ? GATE_1
                                                                                      : GATE_2;
  sgr_fixture_store_faults_set (&fixture, "restore=1");
  sgr_fixture_target_mode_set (node (gate), "drain");
  while (sgr_fixture_metric (node (OTHER_ENTRY), "siskingrade_targets") > 1)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_fixture_poll_sleep ();
    }
  sgr_path_answer_receive (sgr_path_call_send (&call), &call, &answer);
  sgr_probe_release (&answer);
  assert_int_equal (executions (call.id), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_repeat_through_other_node),
    cmocka_unit_test (test_other_request_same_key),
    cmocka_unit_test (test_store_faults),
    cmocka_unit_test (test_store_down_at_repeat),
    cmocka_unit_test (test_repeat_after_restored_store_lost_the_binding),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
