#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <setjmp.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"
#include "timer_heap.h"

/* Fault cases of the call path on real processes: what the caller sees and how often the target
   ran the request. */

/* A Call frame is longer than this and other frames towards the gate are shorter. */
#define CALL_SENT 120
#define STARTS "siskingrade_gate_starts_total"

enum
{
  ENTRY,
  OTHER,
  GATE,
  PAIR_A,
  PAIR_B,
};

static sgr_fixture_t fixture;

static sgr_fixture_node_t *
node (int index)
{
  return &fixture.nodes[index];
}

static unsigned
executions (const sgr_path_call_t *call)
{
  if (strcmp (call->service, "one") == 0)
    return sgr_fixture_executions (node (GATE), call->id);
  return sgr_fixture_executions (node (PAIR_A), call->id)
         + sgr_fixture_executions (node (PAIR_B), call->id);
}

static int
start (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "other", NULL, false);
  sgr_fixture_node_add (&fixture, "gate", "one", true);
  sgr_fixture_node_add (&fixture, "pair-a", "pair", false);
  sgr_fixture_node_add (&fixture, "pair-b", "pair", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
stop (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/**
 * struct fault_case_t - a fault and what is expected
 * @action: what happens to the connections between the nodes: at once, or with @up not 0 after the
 *          request started at the target, or after @down bytes of frames towards the entry
 * @end: how the exchange ends for the caller
 * @status: status that the caller sees, 0 for any that is true
 * @reason: value of Siskingrade-Reason, NULL for any
 * @least: least executions
 * @most: most executions
 */
typedef struct
{
  const char *name;
  const char *service;
  const char *method;
  const char *path;
  const char *fields;
  int deadline_ms;
  sgr_relay_action_t action;
  size_t up;
  size_t down;
  sgr_probe_end_t end;
  int status;
  const char *reason;
  unsigned least;
  unsigned most;
} fault_case_t;

static void
result_check (const fault_case_t *fault, const sgr_path_call_t *call,
              const sgr_probe_answer_t *answer)
{
  unsigned count = executions (call);
  char reason[64];

  sgr_probe_field (answer, "siskingrade-reason", reason, sizeof reason);
  if (answer->end != fault->end || (fault->status != 0 && answer->status != fault->status)
      || (fault->reason != NULL && strcmp (reason, fault->reason) != 0) || count < fault->least
      || count > fault->most)
    fail_msg (
        "%s, %s, entry %s: end %d, status %d, reason %s, executions %u; expected end %d, status "
        "%d, reason %s, executions %u to %u",
        fault->name, fault->method, call->entry->name, answer->end, answer->status, reason, count,
        fault->end, fault->status, fault->reason != NULL ? fault->reason : "any", fault->least,
        fault->most);
  sgr_path_check (call, answer, count);
}

static void
fault_run (const fault_case_t *fault, int entry)
{
  sgr_path_call_t call = { .entry = node (entry),
                           .service = fault->service,
                           .method = fault->method,
                           .path = fault->path,
                           .fields = fault->fields,
                           .body = strcmp (fault->method, "POST") == 0 ? "body" : NULL,
                           .deadline_ms = fault->deadline_ms };
  sgr_probe_answer_t answer;

  uint64_t starts = sgr_fixture_metric (node (GATE), STARTS);
  int fd;

  if (fault->action != 0 && fault->up == 0 && fault->down == 0)
    sgr_relay_now (node (GATE)->relay, fault->action);
  else if (fault->action != 0 && fault->down != 0)
    sgr_relay_after (node (GATE)->relay, fault->action, 0, fault->down);
  fd = sgr_path_send (&call);
  if (fault->up != 0)
    {
      while (sgr_fixture_metric (node (GATE), STARTS) == starts)
        sgr_fixture_pause ();
      sgr_relay_now (node (GATE)->relay, fault->action);
    }
  sgr_path_receive (fd, &call, &answer);
  result_check (fault, &call, &answer);
  sgr_probe_release (&answer);
}

#define FAULT(name) "X-Fault: " name "\r\n"
#define SLOW(ms) "X-Service-Us: " #ms "000\r\n"

/* The target fails. Through the target's own node and through another one the result is the same.
 */
static void
test_target_faults (void **state)
{
  static const fault_case_t cases[] = {
    { "none", "one", "POST", "/", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "none, body", "one", "GET", "/bytes/1000", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "none, large body", "one", "GET", "/bytes/3000000", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200,
      "", 1, 1 },
    { "none, chunked", "one", "GET", "/bytes/3000000", "X-Chunked: 1\r\n", 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "none, head", "one", "HEAD", "/bytes/1000", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "", 1,
      1 },
    { "closes before", "one", "POST", "/", FAULT ("close-before"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 502,
      "connection-lost", 0, 0 },
    { "closes before", "pair", "GET", "/", FAULT ("close-before"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 502,
      "connection-lost", 0, 0 },
    { "closes after", "one", "POST", "/", FAULT ("close-after"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 502,
      "connection-lost", 1, 1 },
    { "closes after", "pair", "POST", "/", FAULT ("close-after"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 502,
      "connection-lost", 1, 1 },
    { "closes after", "pair", "GET", "/", FAULT ("close-after"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 502,
      "connection-lost", 1, 3 },
    { "cuts a small body", "one", "POST", "/bytes/1000", FAULT ("cut"), 0, 0, 0, 0, SGR_PROBE_WHOLE,
      502, "connection-lost", 1, 1 },
    { "cuts a small chunked body", "one", "POST", "/bytes/1000", FAULT ("cut") "X-Chunked: 1\r\n",
      0, 0, 0, 0, SGR_PROBE_WHOLE, 502, "connection-lost", 1, 1 },
    { "cuts a large body", "one", "GET", "/bytes/2000000", FAULT ("cut"), 0, 0, 0, 0, SGR_PROBE_CUT,
      200, "", 1, 1 },
    { "cuts a large chunked body", "one", "GET", "/bytes/2000000", FAULT ("cut") "X-Chunked: 1\r\n",
      0, 0, 0, 0, SGR_PROBE_CUT, 200, "", 1, 1 },
    { "hangs", "one", "POST", "/", FAULT ("hang"), 300, 0, 0, 0, SGR_PROBE_WHOLE, 504, "deadline",
      1, 1 },
    { "hangs", "one", "GET", "/", FAULT ("hang"), 300, 0, 0, 0, SGR_PROBE_WHOLE, 504, "deadline", 1,
      1 },
    { "sheds, not declared", "one", "POST", "/", FAULT ("shed"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 503,
      "", 0, 0 },
    { "answers an error", "one", "POST", "/", FAULT ("error"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 500, "",
      1, 1 },
    { "answers an error", "pair", "GET", "/", FAULT ("error"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 500, "",
      1, 1 },
  };
  static const int entries[] = { ENTRY, GATE };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      for (size_t j = 0; j < sizeof entries / sizeof entries[0]; j++)
        fault_run (&cases[i], entries[j]);
    }
}

/* The connection between the nodes fails. */
static void
test_link_faults (void **state)
{
  static const fault_case_t cases[] = {
    { "silent before", "one", "POST", "/", NULL, 0, SGR_RELAY_SILENCE, 0, 0, SGR_PROBE_WHOLE, 0,
      NULL, 0, 1 },
    { "silent before", "one", "GET", "/", NULL, 0, SGR_RELAY_SILENCE, 0, 0, SGR_PROBE_WHOLE, 0,
      NULL, 0, 1 },
    { "cut before", "one", "POST", "/", NULL, 0, SGR_RELAY_CUT, 0, 0, SGR_PROBE_WHOLE, 0, NULL, 0,
      1 },
    { "cut before", "one", "GET", "/", NULL, 0, SGR_RELAY_CUT, 0, 0, SGR_PROBE_WHOLE, 0, NULL, 0,
      1 },
    { "cut while it runs", "one", "POST", "/bytes/1000", SLOW (200), 0, SGR_RELAY_CUT, CALL_SENT, 0,
      SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "cut while it runs", "one", "GET", "/bytes/1000", SLOW (200), 0, SGR_RELAY_CUT, CALL_SENT, 0,
      SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "silent while it runs", "one", "POST", "/bytes/1000", SLOW (100), 0, SGR_RELAY_SILENCE,
      CALL_SENT, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "silent while it runs long", "one", "POST", "/bytes/1000", SLOW (900), 0, SGR_RELAY_SILENCE,
      CALL_SENT, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "silent while it runs long", "one", "GET", "/bytes/1000", SLOW (900), 0, SGR_RELAY_SILENCE,
      CALL_SENT, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "mute while it runs long", "one", "POST", "/", SLOW (900), 0, SGR_RELAY_MUTE_DOWN, CALL_SENT,
      0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "cut within a small answer", "one", "POST", "/bytes/30000", NULL, 0, SGR_RELAY_CUT, 0, 10000,
      SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "silent within a small answer", "one", "POST", "/bytes/30000", NULL, 0, SGR_RELAY_SILENCE, 0,
      10000, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "silent within a small answer", "one", "GET", "/bytes/30000", NULL, 0, SGR_RELAY_SILENCE, 0,
      10000, SGR_PROBE_WHOLE, 0, NULL, 1, 3 },
    { "cut within a large answer", "one", "GET", "/bytes/3000000", NULL, 0, SGR_RELAY_CUT, 0,
      600000, SGR_PROBE_CUT, 200, "", 1, 1 },
    { "silent within a large answer", "one", "GET", "/bytes/3000000", NULL, 0, SGR_RELAY_SILENCE, 0,
      600000, SGR_PROBE_CUT, 200, "", 1, 1 },
    { "silent within a large answer", "one", "POST", "/bytes/3000000", NULL, 0, SGR_RELAY_SILENCE,
      0, 600000, SGR_PROBE_CUT, 200, "", 1, 1 },
    { "none afterwards", "one", "POST", "/", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      assert_true (sgr_fixture_ready (node (ENTRY), "one"));
      fault_run (&cases[i], ENTRY);
    }
}

/* Answers that come late must not be taken for those of another call. */
static void
test_late_frames (void **state)
{
  sgr_path_call_t calls[12];
  int sockets[12];

  assert_true (sgr_fixture_ready (node (ENTRY), "one"));
  sgr_relay_delay (node (GATE)->relay, 60 * 1000);
  for (size_t i = 0; i < 12; i++)
    {
      calls[i] = (sgr_path_call_t){ .entry = node (ENTRY),
                                    .service = "one",
                                    .method = i % 2 == 0 ? "GET" : "POST",
                                    .body = i % 2 == 0 ? NULL : "body",
                                    .path = "/bytes/5000",
                                    .deadline_ms = i % 3 == 0 ? 70 : 5000 };
      sockets[i] = sgr_path_send (&calls[i]);
    }
  for (size_t i = 0; i < 12; i++)
    {
      sgr_probe_answer_t answer;

      sgr_path_receive (sockets[i], &calls[i], &answer);
      assert_int_equal (answer.end, SGR_PROBE_WHOLE);
      assert_int_equal (answer.status, i % 3 == 0 ? 504 : 200);
      if (i % 3 != 0)
        sgr_path_check (&calls[i], &answer, executions (&calls[i]));
      sgr_probe_release (&answer);
    }
  sgr_relay_delay (node (GATE)->relay, 0);
}

static void
key_issue (int entry, char *field, size_t size)
{
  sgr_probe_request_t request = { .port = node (entry)->callers,
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

/* A repeat with the key must not run the request again, whichever node takes it. */
static void
test_key_repeats (void **state)
{
  char key[256];
  char slow_key[300];
  sgr_path_call_t first
      = { .entry = node (ENTRY), .service = "one", .method = "POST", .path = "/bytes/500" };
  sgr_path_call_t repeat = first;
  sgr_path_call_t joined;
  sgr_path_call_t other = first;
  sgr_probe_answer_t answers[4];
  int sockets[2];

  key_issue (ENTRY, key, sizeof key);
  snprintf (slow_key, sizeof slow_key, "%s" SLOW (300), key);
  first.fields = repeat.fields = slow_key;
  first.body = repeat.body = "same";
  other.fields = key;
  other.body = "different";
  repeat.entry = node (OTHER);
  sockets[0] = sgr_path_send (&first);
  sockets[1] = sgr_path_send (&repeat);
  sgr_path_receive (sockets[0], &first, &answers[0]);
  sgr_path_receive (sockets[1], &repeat, &answers[1]);
  joined = repeat;
  sgr_path_receive (sgr_path_send (&repeat), &repeat, &answers[2]);
  sgr_path_receive (sgr_path_send (&other), &other, &answers[3]);
  assert_int_equal (answers[3].status, 422);
  for (int i = 0; i < 3; i++)
    {
      assert_int_equal (answers[i].end, SGR_PROBE_WHOLE);
      assert_int_equal (answers[i].status, 200);
      assert_int_equal (answers[i].length, 500);
      assert_memory_equal (answers[i].body, answers[0].body, 500);
    }
  /* The request ran in the name of whichever call came first. */
  assert_int_equal (executions (&first) + executions (&joined), 1);
  for (int i = 0; i < 4; i++)
    sgr_probe_release (&answers[i]);
}

/* A key holds while the connection of its first call breaks. */
static void
test_key_after_link_fault (void **state)
{
  char fields[300];
  sgr_path_call_t call
      = { .entry = node (ENTRY), .service = "one", .method = "POST", .path = "/bytes/500" };
  sgr_path_call_t repeat;
  sgr_probe_answer_t answer;
  int fd;

  key_issue (OTHER, fields, sizeof fields);
  strcat (fields, SLOW (400));
  call.fields = fields;
  call.body = "same";
  repeat = call;
  repeat.entry = node (OTHER);
  sgr_relay_after (node (GATE)->relay, SGR_RELAY_SILENCE, CALL_SENT, 0);
  fd = sgr_path_send (&call);
  close (fd); /* the caller goes away and asks another node */
  sgr_path_receive (sgr_path_send (&repeat), &repeat, &answer);
  if (answer.status != 200)
    fail_msg ("expected status 200, found %s%s", answer.head, answer.body);
  assert_int_equal (sgr_fixture_executions (node (GATE), call.id)
                        + sgr_fixture_executions (node (GATE), repeat.id),
                    1);
  sgr_probe_release (&answer);
}

/* A caller that goes away must not stop a non-idempotent request, and leaves nothing behind. */
static void
test_caller_disconnects (void **state)
{
  static const char *const paths[] = { "/", "/bytes/30000000" };

  for (size_t i = 0; i < 4; i++)
    {
      sgr_path_call_t call = { .entry = node (i % 2 == 0 ? ENTRY : GATE),
                               .service = "one",
                               .method = "POST",
                               .path = paths[i / 2],
                               .fields = SLOW (50),
                               .body = "body" };
      int fd = sgr_path_send (&call);

      while (sgr_fixture_metric (node (GATE), STARTS) == 0)
        sgr_fixture_pause ();
      while (i >= 2 && sgr_fixture_executions (node (GATE), call.id) == 0)
        sgr_fixture_pause ();
      if (i < 2)
        for (int j = 0; j < 4; j++)
          sgr_fixture_pause ();
      close (fd);
      while (sgr_fixture_executions (node (GATE), call.id) == 0)
        sgr_fixture_pause ();
      assert_int_equal (sgr_fixture_executions (node (GATE), call.id), 1);
    }
}

/* A leaving target finishes its work and refuses new work without running it. */
static void
test_target_drains (void **state)
{
  sgr_path_call_t calls[6];
  int sockets[6];
  sgr_probe_answer_t answer;
  sgr_path_call_t late
      = { .entry = node (ENTRY), .service = "one", .method = "POST", .path = "/", .body = "late" };
  int status;
  uint64_t before = sgr_fixture_metric (node (GATE), STARTS);

  for (size_t i = 0; i < 6; i++)
    {
      calls[i] = (sgr_path_call_t){ .entry = node (i % 2 == 0 ? ENTRY : OTHER),
                                    .service = "one",
                                    .method = "POST",
                                    .path = "/bytes/100000",
                                    .fields = SLOW (500),
                                    .body = "body" };
      sockets[i] = sgr_path_send (&calls[i]);
      assert_true (sockets[i] >= 0);
    }
  while (sgr_fixture_metric (node (GATE), STARTS) < before + 6)
    sgr_fixture_pause ();
  sgr_fixture_admin (node (GATE), "drain");
  do
    {
      sgr_path_receive (sgr_path_send (&late), &late, &answer);
      status = answer.status;
      sgr_path_check (&late, &answer, executions (&late));
      sgr_probe_release (&answer);
    }
  while (status == 200);
  for (size_t i = 0; i < 6; i++)
    {
      sgr_path_receive (sockets[i], &calls[i], &answer);
      assert_int_equal (answer.end, SGR_PROBE_WHOLE);
      assert_int_equal (answer.status, 200);
      sgr_path_check (&calls[i], &answer, executions (&calls[i]));
      sgr_probe_release (&answer);
    }
  sgr_path_receive (sgr_path_send (&late), &late, &answer);
  assert_int_equal (answer.status, 503);
  sgr_path_check (&late, &answer, executions (&late));
  sgr_probe_release (&answer);
  sgr_fixture_admin (node (GATE), "serve");
  assert_true (sgr_fixture_ready (node (ENTRY), "one"));
}

/* curl stands for a caller with HTTP/2. Returns its exit status, -1 if there is no curl. */
static int
curl (int entry, const char *options, const char *path)
{
  char command[512];

  if (system ("command -v curl >/dev/null") != 0)
    return -1;
  snprintf (command, sizeof command,
            "curl -s -o /dev/null %s -H 'Siskingrade-Service: one' -H 'X-Request-Id: h2' "
            "http://127.0.0.1:%u%s",
            options, node (entry)->callers, path);
  return system (command) >> 8;
}

/* A cut answer must not look whole to callers of either HTTP version. */
static void
test_cut_over_http2 (void **state)
{
  if (curl (ENTRY, "--http2-prior-knowledge", "/bytes/2000000") < 0)
    skip ();
  assert_int_equal (curl (ENTRY, "--http2-prior-knowledge", "/bytes/2000000"), 0);
  assert_int_equal (curl (ENTRY, "--http2-prior-knowledge -I", "/bytes/2000000"), 0);
  assert_int_not_equal (curl (ENTRY, "--http2-prior-knowledge -H 'X-Fault: cut'", "/bytes/2000000"),
                        0);
  assert_int_not_equal (
      curl (ENTRY, "--http2-prior-knowledge -H 'X-Fault: cut' -H 'X-Chunked: 1'", "/bytes/2000000"),
      0);
  assert_int_not_equal (curl (ENTRY, "-H 'X-Fault: cut' -H 'X-Chunked: 1'", "/bytes/2000000"), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_target_faults),        cmocka_unit_test (test_link_faults),
    cmocka_unit_test (test_late_frames),          cmocka_unit_test (test_key_repeats),
    cmocka_unit_test (test_key_after_link_fault), cmocka_unit_test (test_caller_disconnects),
    cmocka_unit_test (test_target_drains),        cmocka_unit_test (test_cut_over_http2),
  };

  return cmocka_run_group_tests (tests, start, stop);
}
