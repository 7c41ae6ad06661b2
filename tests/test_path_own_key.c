#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"

/* Callers' own idempotency keys, bound by the store, under faults of the store. */

enum
{
  ENTRY,
  OTHER,
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
start (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "other", NULL, false);
  sgr_fixture_node_add (&fixture, "gate-1", "one", false);
  sgr_fixture_node_add (&fixture, "gate-2", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
stop (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static unsigned
executions (const char *id)
{
  return sgr_fixture_executions (node (GATE_1), id) + sgr_fixture_executions (node (GATE_2), id);
}

/* Sends a POST with a key through a node; the outcome in the answer must be the expected one. */
static unsigned
call_with_key (int entry, const char *key, const char *body, int status, const char *outcome)
{
  char fields[96];
  char got[32];
  sgr_path_call_t call = { .entry = node (entry),
                           .service = "one",
                           .method = "POST",
                           .path = "/",
                           .fields = fields,
                           .body = body };
  sgr_probe_answer_t answer;
  unsigned count;

  snprintf (fields, sizeof fields, "Idempotency-Key: %s\r\n", key);
  sgr_path_receive (sgr_path_send (&call), &call, &answer);
  sgr_probe_field (&answer, "siskingrade-outcome", got, sizeof got);
  if (answer.status != status || strcmp (got, outcome) != 0)
    fail_msg ("key %s: status %d, outcome %s, expected %d, %s: %s", key, answer.status, got, status,
              outcome, answer.body != NULL ? answer.body : "");
  sgr_probe_release (&answer);
  count = executions (call.id);
  return count;
}

/* Guards against a second run when a caller repeats its own key through other nodes. */
static void
test_repeat_through_other_node (void **state)
{
  assert_int_equal (call_with_key (ENTRY, "repeat", "a", 200, "complete"), 1);
  for (int i = 0; i < 6; i++)
    assert_int_equal (call_with_key (i % 2 == 0 ? OTHER : ENTRY, "repeat", "a", 200, "complete"),
                      0);
}

/* Guards against an answer of another request under a reused key. */
static void
test_other_request_same_key (void **state)
{
  assert_int_equal (call_with_key (ENTRY, "reused", "a", 200, "complete"), 1);
  assert_int_equal (call_with_key (OTHER, "reused", "b", 422, "not-run"), 0);
}

typedef struct
{
  const char *name;
  const char *fault;
  const char *outcome;
  const char *repeat_outcome;
  int status;
  int repeat_status;
  unsigned runs;
  unsigned repeat_runs;
} store_case_t;

/* Each fault is set before the first call and cleared before its repeat through another node. */
static const store_case_t store_cases[] = {
  { "reply of the write lost", "lose_reply=1", "complete", "complete", 200, 200, 1, 0 },
  { "write not taken, no reply", "drop_write=1", "unknown", "complete", 503, 200, 0, 1 },
  { "store down", "outage=1", "unknown", "complete", 503, 200, 0, 1 },
  { "store slow", "slow_ms=300", "complete", "complete", 200, 200, 1, 0 },
};

/* Guards against two runs, and against a wrong not-run, when the store fails at the binding. */
static void
test_store_faults (void **state)
{
  for (size_t i = 0; i < sizeof store_cases / sizeof store_cases[0]; i++)
    {
      const store_case_t *row = &store_cases[i];
      char key[32];

      snprintf (key, sizeof key, "fault-%zu", i);
      print_message ("%s\n", row->name);
      sgr_fixture_store_fault (&fixture, row->fault);
      assert_int_equal (call_with_key (ENTRY, key, "a", row->status, row->outcome), row->runs);
      sgr_fixture_store_fault (&fixture, "outage=0&lose_reply=0&drop_write=0&slow_ms=0");
      assert_int_equal (call_with_key (OTHER, key, "a", row->repeat_status, row->repeat_outcome),
                        row->repeat_runs);
    }
}

/* Guards against a false not-run: the first call ran, and the store cannot be asked by the second.
 */
static void
test_store_down_at_repeat (void **state)
{
  assert_int_equal (call_with_key (ENTRY, "later", "a", 200, "complete"), 1);
  sgr_fixture_store_fault (&fixture, "outage=1");
  assert_int_equal (call_with_key (OTHER, "later", "a", 503, "unknown"), 0);
  sgr_fixture_store_fault (&fixture, "outage=0");
  assert_int_equal (call_with_key (OTHER, "later", "a", 200, "complete"), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_repeat_through_other_node),
    cmocka_unit_test (test_other_request_same_key),
    cmocka_unit_test (test_store_faults),
    cmocka_unit_test (test_store_down_at_repeat),
  };

  return cmocka_run_group_tests (tests, start, stop);
}
