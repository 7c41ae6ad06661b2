#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"
#include "types.h"

/* Nodes that are killed, restarted or stopped while calls are open. */

/* Indices of the nodes in the fixture. Only GATE has a target. */
enum
{
  ENTRY,
  OTHER_ENTRY,
  GATE,
};

#define SERVICE_MS(ms) "X-Service-Us: " #ms "000\r\n"
/* Twice the deadline of the calls: later, no call can start or run any more. */
#define AWAIT_TIMEOUT_US (10 * SGR_USEC_PER_SEC)

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
  sgr_fixture_node_add (&fixture, "gate", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Initializes a POST call through a node. */
static sgr_path_call_t
post_call (int entry, const char *fields)
{
  return (sgr_path_call_t){ .entry = node (entry),
                            .service = "one",
                            .method = "POST",
                            .path = "/bytes/700",
                            .fields = fields,
                            .body = "body" };
}

/* Waits until the gate has started @starts requests since its boot; fails if it does not. */
static void
starts_await (uint64_t starts)
{
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;

  while (sgr_fixture_metric (node (GATE), "siskingrade_gate_starts_total") < starts)
    {
      if (sgr_clock_monotonic_us () > end_us)
        fail_msg ("the gate did not start %lu requests in time", starts);
      sgr_fixture_poll_sleep ();
    }
}

static uint64_t
starts_count (void)
{
  return sgr_fixture_metric (node (GATE), "siskingrade_gate_starts_total");
}

static void
outcome_check (const sgr_probe_answer_t *answer, int status, const char *outcome)
{
  char value[32];

  sgr_probe_field (answer, "siskingrade-outcome", value, sizeof value);
  if (answer->end != SGR_PROBE_WHOLE || answer->status != status || strcmp (value, outcome) != 0)
    fail_msg ("expected status %d, outcome %s; got end %d: %s%s", status, outcome, answer->end,
              answer->head != NULL ? answer->head : "", answer->body != NULL ? answer->body : "");
}

/* Guards against a wrong outcome when the gate is killed while requests run. The call that is not
   idempotent must get the outcome "unknown", because its request may have run. */
static void
test_gate_restarts (void **state)
{
  sgr_path_call_t calls[2]
      = { post_call (ENTRY, SERVICE_MS (300)), post_call (ENTRY, SERVICE_MS (300)) };
  uint64_t starts = starts_count ();
  sgr_probe_answer_t answer;
  int sockets[2];

  calls[1].method = "GET";
  calls[1].body = NULL;
  for (int i = 0; i < 2; i++)
    sockets[i] = sgr_path_call_send (&calls[i]);
  starts_await (starts + 2);
  sgr_fixture_process_kill (&node (GATE)->pid);
  sgr_fixture_node_start (&fixture, node (GATE));
  for (int i = 0; i < 2; i++)
    {
      sgr_path_answer_receive (sockets[i], &calls[i], &answer);
      if (i == 0)
        outcome_check (&answer, 502, "unknown");
      sgr_path_answer_check (&calls[i], &answer, sgr_fixture_executions (node (GATE), calls[i].id));
      sgr_probe_release (&answer);
    }
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  assert_true (sgr_fixture_service_await (node (OTHER_ENTRY), "one"));
}

/* Guards against the outcome "unknown" for calls that were never sent because the gate is not
   running. */
static void
test_gate_is_down (void **state)
{
  sgr_path_call_t call = post_call (ENTRY, NULL);
  sgr_probe_answer_t answer;

  sgr_fixture_process_kill (&node (GATE)->pid);
  /* The first calls may still use the connection of the killed gate. */
  for (int i = 0; i < 4; i++)
    {
      call.deadline_ms = 1500;
      sgr_path_answer_receive (sgr_path_call_send (&call), &call, &answer);
      sgr_path_answer_check (&call, &answer, sgr_fixture_executions (node (GATE), call.id));
      if (i == 3)
        outcome_check (&answer, 503, "not-run");
      sgr_probe_release (&answer);
    }
  sgr_fixture_node_start (&fixture, node (GATE));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  assert_true (sgr_fixture_service_await (node (OTHER_ENTRY), "one"));
}

/* Guards against missing log lines about a lost connection to a peer or to the store, and about a
   peer that is connected again. */
static void
test_losses_are_logged (void **state)
{
  int reader = ENTRY;

  sgr_fixture_process_kill (&node (GATE)->pid);
  assert_true (sgr_fixture_event_await (&fixture, node (ENTRY), "event=peer-lost peer=gate", 1));
  sgr_fixture_node_start (&fixture, node (GATE));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  assert_true (sgr_fixture_service_await (node (OTHER_ENTRY), "one"));
  assert_true (
      sgr_fixture_event_await (&fixture, node (ENTRY), "event=peer-regained peer=gate", 1));
  while (sgr_fixture_metric (node (reader), "siskingrade_config_reader") == 0)
    reader = (reader + 1) % 3;
  sgr_fixture_process_kill (&fixture.store_pid);
  assert_true (sgr_fixture_event_await (&fixture, node (reader), "event=store-lost", 1));
}

/* Requests an issued key for the service "one" and formats it as a header field. */
static void
key_issue (char *field, size_t size)
{
  sgr_probe_request_t request = { .port = node (ENTRY)->callers,
                                  .method = "POST",
                                  .path = "/.siskingrade/keys?service=one",
                                  .body = "" };
  sgr_probe_answer_t answer;
  char *key;

  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 201);
  key = strstr (answer.body, ":\"");
  assert_non_null (key);
  snprintf (field, size, "Idempotency-Key: %.*s\r\n", (int)strcspn (key + 2, "\""), key + 2);
  sgr_probe_release (&answer);
}

/* Guards against a second execution under an issued key. After the entry is killed the request
   keeps running, and repeats through another node get its answer. After a restart the gate no
   longer knows the key, and a repeat gets the outcome "unknown" without a second execution. */
static void
test_entry_dies_then_gate (void **state)
{
  char key[256];
  char fields[300];
  sgr_path_call_t call;
  sgr_path_call_t repeat;
  sgr_probe_answer_t answer;
  uint64_t starts = starts_count ();
  int fd;

  key_issue (key, sizeof key);
  snprintf (fields, sizeof fields, "%s" SERVICE_MS (300), key);
  call = post_call (ENTRY, fields);
  repeat = post_call (OTHER_ENTRY, fields);
  fd = sgr_path_call_send (&call);
  starts_await (starts + 1);
  sgr_fixture_process_kill (&node (ENTRY)->pid);
  sgr_path_answer_receive (fd, &call, &answer);
  assert_int_equal (answer.end, SGR_PROBE_NO_ANSWER);
  sgr_probe_release (&answer);
  for (int i = 0; i < 2; i++)
    {
      sgr_path_answer_receive (sgr_path_call_send (&repeat), &repeat, &answer);
      outcome_check (&answer, 200, "complete");
      sgr_probe_release (&answer);
      assert_int_equal (sgr_fixture_executions (node (GATE), repeat.id), 0);
    }
  assert_int_equal (sgr_fixture_executions (node (GATE), call.id), 1);
  sgr_fixture_process_kill (&node (GATE)->pid);
  sgr_fixture_node_start (&fixture, node (GATE));
  sgr_fixture_node_start (&fixture, node (ENTRY));
  assert_true (sgr_fixture_service_await (node (OTHER_ENTRY), "one"));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  sgr_path_answer_receive (sgr_path_call_send (&repeat), &repeat, &answer);
  outcome_check (&answer, 502, "unknown");
  sgr_probe_release (&answer);
  assert_int_equal (sgr_fixture_executions (node (GATE), repeat.id), 0);
}

/* Guards against a request without a key that is lost, or runs twice, when its entry is killed. */
static void
test_entry_dies (void **state)
{
  sgr_path_call_t call = post_call (ENTRY, SERVICE_MS (200));
  uint64_t starts = starts_count ();
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;
  int fd = sgr_path_call_send (&call);

  starts_await (starts + 1);
  sgr_fixture_process_kill (&node (ENTRY)->pid);
  close (fd);
  while (sgr_fixture_executions (node (GATE), call.id) == 0 && sgr_clock_monotonic_us () < end_us)
    sgr_fixture_poll_sleep ();
  /* The entry is started before the check, so that a failure does not fail the next tests, too. */
  sgr_fixture_node_start (&fixture, node (ENTRY));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  assert_int_equal (sgr_fixture_executions (node (GATE), call.id), 1);
}

/* Guards against a stop by SIGTERM that interrupts calls, first at the entry, then at the gate. A
   second SIGTERM has no effect. */
static void
test_planned_stop (void **state)
{
  static const int stopped[] = { ENTRY, GATE };

  for (size_t i = 0; i < 2; i++)
    {
      sgr_path_call_t slow = post_call (ENTRY, SERVICE_MS (700));
      sgr_path_call_t large = post_call (ENTRY, NULL);
      sgr_path_call_t late = post_call (i == 0 ? ENTRY : OTHER_ENTRY, NULL);
      uint64_t starts = starts_count ();
      sgr_probe_answer_t answer;
      int sockets[2];

      large.path = "/bytes/60000000";
      sockets[0] = sgr_path_call_send (&slow);
      sockets[1] = sgr_path_call_send (&large);
      starts_await (starts + 2);
      kill (node (stopped[i])->pid, SIGTERM);
      kill (node (stopped[i])->pid, SIGTERM);
      sgr_path_answer_receive (sockets[1], &large, &answer);
      outcome_check (&answer, 200, "complete");
      assert_int_equal (answer.length, 60000000);
      sgr_path_answer_check (&large, &answer, sgr_fixture_executions (node (GATE), large.id));
      sgr_probe_release (&answer);
      sgr_path_answer_receive (sockets[0], &slow, &answer);
      outcome_check (&answer, 200, "complete");
      sgr_path_answer_check (&slow, &answer, sgr_fixture_executions (node (GATE), slow.id));
      sgr_probe_release (&answer);
      if (sgr_path_call_send (&late) >= 0 && i == 1)
        assert_int_equal (sgr_fixture_executions (node (GATE), late.id), 0);
      assert_int_equal (sgr_fixture_process_wait (&node (stopped[i])->pid, 30000), 0);
      sgr_fixture_node_start (&fixture, node (stopped[i]));
      assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
      assert_true (sgr_fixture_service_await (node (OTHER_ENTRY), "one"));
    }
}

/* Guards against a node that does not end when SIGTERM arrives during its start. The signal ends it
   before the node handles signals; afterwards it exits with status 0. */
static void
test_stop_during_start (void **state)
{
  pid_t pids[6];

  for (int i = 0; i < 6; i++)
    {
      sgr_fixture_node_t *restarted = node (OTHER_ENTRY);
      struct timespec delay = { .tv_nsec = i * 5 * 1000 * 1000 };

      if (i == 0)
        sgr_fixture_process_kill (&restarted->pid);
      sgr_fixture_node_start (&fixture, restarted);
      nanosleep (&delay, NULL);
      kill (restarted->pid, SIGTERM);
      pids[i] = restarted->pid;
      /* The ports are free for the next start only after the process has ended. */
      int status = sgr_fixture_process_wait (&pids[i], 20000);
      if (status != 0 && status != 128 + SIGTERM)
        fail_msg ("SIGTERM %d ms after the start: exit status %d", i * 5, status);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gate_restarts),     cmocka_unit_test (test_gate_is_down),
    cmocka_unit_test (test_entry_dies),        cmocka_unit_test (test_entry_dies_then_gate),
    cmocka_unit_test (test_planned_stop),      cmocka_unit_test (test_losses_are_logged),
    cmocka_unit_test (test_stop_during_start),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
