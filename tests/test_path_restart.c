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

/* Nodes that are killed, restarted or stopped in the middle of calls. */

enum
{
  ENTRY,
  OTHER,
  GATE,
};

#define SLOW(ms) "X-Service-Us: " #ms "000\r\n"

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
  sgr_fixture_node_add (&fixture, "gate", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
stop (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static sgr_path_call_t
slow_call (int entry, const char *fields)
{
  return (sgr_path_call_t){ .entry = node (entry),
                            .service = "one",
                            .method = "POST",
                            .path = "/bytes/700",
                            .fields = fields,
                            .body = "body" };
}

static void
start_await (uint64_t starts)
{
  while (sgr_fixture_metric (node (GATE), "siskingrade_gate_starts_total") < starts)
    sgr_fixture_pause ();
}

static uint64_t
starts_now (void)
{
  return sgr_fixture_metric (node (GATE), "siskingrade_gate_starts_total");
}

static void
field_check (const sgr_probe_answer_t *answer, int status, const char *outcome)
{
  char value[32];

  sgr_probe_field (answer, "siskingrade-outcome", value, sizeof value);
  if (answer->end != SGR_PROBE_WHOLE || answer->status != status || strcmp (value, outcome) != 0)
    fail_msg ("expected %d %s, found end %d: %s%s", status, outcome, answer->end,
              answer->head != NULL ? answer->head : "", answer->body != NULL ? answer->body : "");
}

/* A killed gate may have run the request, so that nothing but unknown is true. */
static void
test_gate_restarts (void **state)
{
  sgr_path_call_t calls[2] = { slow_call (ENTRY, SLOW (300)), slow_call (ENTRY, SLOW (300)) };
  uint64_t starts = starts_now ();
  sgr_probe_answer_t answer;
  int sockets[2];

  calls[1].method = "GET";
  calls[1].body = NULL;
  for (int i = 0; i < 2; i++)
    sockets[i] = sgr_path_send (&calls[i]);
  start_await (starts + 2);
  sgr_fixture_kill (&node (GATE)->pid);
  sgr_fixture_node_start (&fixture, node (GATE));
  for (int i = 0; i < 2; i++)
    {
      sgr_path_receive (sockets[i], &calls[i], &answer);
      if (i == 0)
        field_check (&answer, 502, "unknown");
      sgr_path_check (&calls[i], &answer, sgr_fixture_executions (node (GATE), calls[i].id));
      sgr_probe_release (&answer);
    }
  assert_true (sgr_fixture_ready (node (ENTRY), "one"));
  assert_true (sgr_fixture_ready (node (OTHER), "one"));
}

/* A node that does not run is seen as such: no call is said to be of unknown outcome that was never
   sent. */
static void
test_gate_is_down (void **state)
{
  sgr_path_call_t call = slow_call (ENTRY, NULL);
  sgr_probe_answer_t answer;

  sgr_fixture_kill (&node (GATE)->pid);
  /* The first calls may still find the broken connection. */
  for (int i = 0; i < 4; i++)
    {
      call.deadline_ms = 1500;
      sgr_path_receive (sgr_path_send (&call), &call, &answer);
      sgr_path_check (&call, &answer, sgr_fixture_executions (node (GATE), call.id));
      if (i == 3)
        field_check (&answer, 503, "not-run");
      sgr_probe_release (&answer);
    }
  sgr_fixture_node_start (&fixture, node (GATE));
  assert_true (sgr_fixture_ready (node (ENTRY), "one"));
  assert_true (sgr_fixture_ready (node (OTHER), "one"));
}

/* Guards against a dependency whose loss or return an operator cannot see in the log. */
static void
test_losses_are_logged (void **state)
{
  int reader = ENTRY;

  sgr_fixture_kill (&node (GATE)->pid);
  assert_true (sgr_fixture_event_await (&fixture, node (ENTRY), "event=peer-lost peer=gate", 1));
  sgr_fixture_node_start (&fixture, node (GATE));
  assert_true (sgr_fixture_ready (node (ENTRY), "one"));
  assert_true (sgr_fixture_ready (node (OTHER), "one"));
  assert_true (
      sgr_fixture_event_await (&fixture, node (ENTRY), "event=peer-regained peer=gate", 1));
  while (sgr_fixture_metric (node (reader), "siskingrade_config_reader") == 0)
    reader = (reader + 1) % 3;
  sgr_fixture_kill (&fixture.store_pid);
  assert_true (sgr_fixture_event_await (&fixture, node (reader), "event=store-lost", 1));
}

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

/* The entry dies: the request runs on, and a repeat with the key through another node gets its
   answer. After a restart of the gate the key must not run again. */
static void
test_entry_dies_then_gate (void **state)
{
  char key[256];
  char fields[300];
  sgr_path_call_t call;
  sgr_path_call_t repeat;
  sgr_probe_answer_t answer;
  uint64_t starts = starts_now ();
  int fd;

  key_issue (key, sizeof key);
  snprintf (fields, sizeof fields, "%s" SLOW (300), key);
  call = slow_call (ENTRY, fields);
  repeat = slow_call (OTHER, fields);
  fd = sgr_path_send (&call);
  start_await (starts + 1);
  sgr_fixture_kill (&node (ENTRY)->pid);
  sgr_path_receive (fd, &call, &answer);
  assert_int_equal (answer.end, SGR_PROBE_NO_ANSWER);
  sgr_probe_release (&answer);
  for (int i = 0; i < 2; i++)
    {
      sgr_path_receive (sgr_path_send (&repeat), &repeat, &answer);
      field_check (&answer, 200, "complete");
      sgr_probe_release (&answer);
      assert_int_equal (sgr_fixture_executions (node (GATE), repeat.id), 0);
    }
  assert_int_equal (sgr_fixture_executions (node (GATE), call.id), 1);
  sgr_fixture_kill (&node (GATE)->pid);
  sgr_fixture_node_start (&fixture, node (GATE));
  sgr_fixture_node_start (&fixture, node (ENTRY));
  assert_true (sgr_fixture_ready (node (OTHER), "one"));
  assert_true (sgr_fixture_ready (node (ENTRY), "one"));
  sgr_path_receive (sgr_path_send (&repeat), &repeat, &answer);
  field_check (&answer, 502, "unknown");
  sgr_probe_release (&answer);
  assert_int_equal (sgr_fixture_executions (node (GATE), repeat.id), 0);
}

/* Without a key the request of a dead entry still runs once. */
static void
test_entry_dies (void **state)
{
  sgr_path_call_t call = slow_call (ENTRY, SLOW (200));
  uint64_t starts = starts_now ();
  int fd = sgr_path_send (&call);

  start_await (starts + 1);
  sgr_fixture_kill (&node (ENTRY)->pid);
  close (fd);
  while (sgr_fixture_executions (node (GATE), call.id) == 0)
    sgr_fixture_pause ();
  assert_int_equal (sgr_fixture_executions (node (GATE), call.id), 1);
  sgr_fixture_node_start (&fixture, node (ENTRY));
  assert_true (sgr_fixture_ready (node (ENTRY), "one"));
}

/* A planned stop cuts nothing off: the node that has the caller, and the node of the target. */
static void
test_planned_stop (void **state)
{
  static const int stopped[] = { ENTRY, GATE };

  for (size_t i = 0; i < 2; i++)
    {
      sgr_path_call_t slow = slow_call (ENTRY, SLOW (700));
      sgr_path_call_t large = slow_call (ENTRY, NULL);
      sgr_path_call_t late = slow_call (i == 0 ? ENTRY : OTHER, NULL);
      uint64_t starts = starts_now ();
      sgr_probe_answer_t answer;
      int sockets[2];

      large.path = "/bytes/60000000";
      sockets[0] = sgr_path_send (&slow);
      sockets[1] = sgr_path_send (&large);
      start_await (starts + 2);
      kill (node (stopped[i])->pid, SIGTERM);
      kill (node (stopped[i])->pid, SIGTERM);
      sgr_path_receive (sockets[1], &large, &answer);
      field_check (&answer, 200, "complete");
      assert_int_equal (answer.length, 60000000);
      sgr_path_check (&large, &answer, sgr_fixture_executions (node (GATE), large.id));
      sgr_probe_release (&answer);
      sgr_path_receive (sockets[0], &slow, &answer);
      field_check (&answer, 200, "complete");
      sgr_path_check (&slow, &answer, sgr_fixture_executions (node (GATE), slow.id));
      sgr_probe_release (&answer);
      if (sgr_path_send (&late) >= 0 && i == 1)
        assert_int_equal (sgr_fixture_executions (node (GATE), late.id), 0);
      assert_int_equal (sgr_fixture_wait (&node (stopped[i])->pid, 30000), 0);
      sgr_fixture_node_start (&fixture, node (stopped[i]));
      assert_true (sgr_fixture_ready (node (ENTRY), "one"));
      assert_true (sgr_fixture_ready (node (OTHER), "one"));
    }
}

/* A stop at any moment of the start ends the process: by the signal before the node takes signals,
   with status 0 after. */
static void
test_stop_during_start (void **state)
{
  pid_t pids[6];

  for (int i = 0; i < 6; i++)
    {
      sgr_fixture_node_t *extra = node (OTHER);
      struct timespec delay = { .tv_nsec = i * 5 * 1000 * 1000 };

      if (i == 0)
        sgr_fixture_kill (&extra->pid);
      sgr_fixture_node_start (&fixture, extra);
      nanosleep (&delay, NULL);
      kill (extra->pid, SIGTERM);
      pids[i] = extra->pid;
      /* The ports are free again only after the end. */
      int status = sgr_fixture_wait (&pids[i], 20000);
      if (status != 0 && status != 128 + SIGTERM)
        fail_msg ("stop after %d ms: exit status %d", i * 5, status);
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

  return cmocka_run_group_tests (tests, start, stop);
}
