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

/* Faults of targets and of the connection between nodes: what the caller receives, and how often
   the target ran the request. */

/* A Call frame is at least this long; all other frames from the entry to the gate are shorter. */
#define CALL_FRAME_MIN_BYTES 120
#define STARTS_METRIC "siskingrade_gate_starts_total"

/* Indices of the nodes in the fixture. ENTRY and OTHER_ENTRY have no target, GATE has a target of
   the service "one", PAIR_A and PAIR_B have targets of the service "pair". */
enum
{
  ENTRY,
  OTHER_ENTRY,
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
group_setup (void **state)
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
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/**
 * struct fault_case_t - a fault and the expected result of a call
 * @name: description for messages
 * @service: service of the call
 * @method: HTTP method of the call
 * @path: path of the call
 * @fields: additional header fields of the call, or NULL
 * @deadline_ms: deadline of the call in milliseconds, 0 for the default
 * @action: fault of the connection between the entry and the gate, 0 for none; applied before the
 *          call unless @is_after_start or @bytes_to_entry is set
 * @is_after_start: apply @action once the request started at the target
 * @bytes_to_entry: apply @action after the gate sent this many bytes to the entry
 * @end: how the exchange ends for the caller
 * @status: expected status, 0 for any that sgr_path_answer_check() accepts
 * @reason: expected value of Siskingrade-Reason, NULL for any
 * @executions_min: minimum number of executions
 * @executions_max: maximum number of executions
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
  bool is_after_start;
  size_t bytes_to_entry;
  sgr_probe_end_t end;
  int status;
  const char *reason;
  unsigned executions_min;
  unsigned executions_max;
} fault_case_t;

static void
result_check (const fault_case_t *fault, const sgr_path_call_t *call,
              const sgr_probe_answer_t *answer)
{
  unsigned count = executions (call);
  char reason[64];

  sgr_probe_field (answer, "siskingrade-reason", reason, sizeof reason);
  if (answer->end != fault->end || (fault->status != 0 && answer->status != fault->status)
      || (fault->reason != NULL && strcmp (reason, fault->reason) != 0)
      || count < fault->executions_min || count > fault->executions_max)
    fail_msg (
        "%s, %s, entry %s: end %d, status %d, reason %s, executions %u; expected end %d, status "
        "%d, reason %s, executions %u to %u",
        fault->name, fault->method, call->entry->name, answer->end, answer->status, reason, count,
        fault->end, fault->status, fault->reason != NULL ? fault->reason : "any",
        fault->executions_min, fault->executions_max);
  sgr_path_answer_check (call, answer, count);
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

  uint64_t starts = sgr_fixture_metric (node (GATE), STARTS_METRIC);
  int fd;

  if (fault->action != 0 && !fault->is_after_start && fault->bytes_to_entry == 0)
    sgr_relay_action_apply (node (GATE)->relay, fault->action);
  else if (fault->action != 0 && fault->bytes_to_entry != 0)
    sgr_relay_action_schedule (node (GATE)->relay, fault->action, 0, fault->bytes_to_entry);
  fd = sgr_path_call_send (&call);
  if (fault->is_after_start)
    {
      while (sgr_fixture_metric (node (GATE), STARTS_METRIC) == starts)
        sgr_fixture_poll_sleep ();
      sgr_relay_action_apply (node (GATE)->relay, fault->action);
    }
  sgr_path_answer_receive (fd, &call, &answer);
  result_check (fault, &call, &answer);
  sgr_probe_release (&answer);
}

#define FAULT(name) "X-Fault: " name "\r\n"
#define SERVICE_MS(ms) "X-Service-Us: " #ms "000\r\n"

/* Guards against a wrong result when the target fails. The result is the same whether the caller is
   connected to the node beside the target or to another node. */
static void
test_target_faults (void **state)
{
  /* name, service, method, path, fields, deadline_ms, action, is_after_start, bytes_to_entry, end,
     status, reason, executions_min, executions_max */
  static const fault_case_t cases[] = {
    { "no fault", "one", "POST", "/", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "no fault, body", "one", "GET", "/bytes/1000", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "", 1,
      1 },
    { "no fault, large body", "one", "GET", "/bytes/3000000", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE,
      200, "", 1, 1 },
    { "no fault, chunked body", "one", "GET", "/bytes/3000000", "X-Chunked: 1\r\n", 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "no fault, HEAD", "one", "HEAD", "/bytes/1000", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "", 1,
      1 },
    { "target closes before running", "one", "POST", "/", FAULT ("close-before"), 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 502, "connection-lost", 0, 0 },
    { "target closes before running", "pair", "GET", "/", FAULT ("close-before"), 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 502, "connection-lost", 0, 0 },
    { "target closes after running", "one", "POST", "/", FAULT ("close-after"), 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 502, "connection-lost", 1, 1 },
    { "target closes after running", "pair", "POST", "/", FAULT ("close-after"), 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 502, "connection-lost", 1, 1 },
    { "target closes after running", "pair", "GET", "/", FAULT ("close-after"), 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 502, "connection-lost", 1, 3 },
    { "target truncates a small body", "one", "POST", "/bytes/1000", FAULT ("cut"), 0, 0, 0, 0,
      SGR_PROBE_WHOLE, 502, "connection-lost", 1, 1 },
    { "target truncates a small chunked body", "one", "POST", "/bytes/1000",
      FAULT ("cut") "X-Chunked: 1\r\n", 0, 0, 0, 0, SGR_PROBE_WHOLE, 502, "connection-lost", 1, 1 },
    { "target truncates a large body", "one", "GET", "/bytes/2000000", FAULT ("cut"), 0, 0, 0, 0,
      SGR_PROBE_TRUNCATED, 200, "", 1, 1 },
    { "target truncates a large chunked body", "one", "GET", "/bytes/2000000",
      FAULT ("cut") "X-Chunked: 1\r\n", 0, 0, 0, 0, SGR_PROBE_TRUNCATED, 200, "", 1, 1 },
    { "target hangs", "one", "POST", "/", FAULT ("hang"), 300, 0, 0, 0, SGR_PROBE_WHOLE, 504,
      "deadline", 1, 1 },
    { "target hangs", "one", "GET", "/", FAULT ("hang"), 300, 0, 0, 0, SGR_PROBE_WHOLE, 504,
      "deadline", 1, 1 },
    { "target sheds with a status that is not declared as not-run", "one", "POST", "/",
      FAULT ("shed"), 0, 0, 0, 0, SGR_PROBE_WHOLE, 503, "", 0, 0 },
    { "target answers status 500", "one", "POST", "/", FAULT ("error"), 0, 0, 0, 0, SGR_PROBE_WHOLE,
      500, "", 1, 1 },
    { "target answers status 500", "pair", "GET", "/", FAULT ("error"), 0, 0, 0, 0, SGR_PROBE_WHOLE,
      500, "", 1, 1 },
  };
  static const int entries[] = { ENTRY, GATE };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      for (size_t j = 0; j < sizeof entries / sizeof entries[0]; j++)
        fault_run (&cases[i], entries[j]);
    }
}

/* Guards against a wrong result when the connection between the entry and the gate fails. */
static void
test_link_faults (void **state)
{
  /* The columns are in the same order as in test_target_faults(). */
  static const fault_case_t cases[] = {
    { "connection silent before the call", "one", "POST", "/", NULL, 0, SGR_RELAY_SILENCE, 0, 0,
      SGR_PROBE_WHOLE, 0, NULL, 0, 1 },
    { "connection silent before the call", "one", "GET", "/", NULL, 0, SGR_RELAY_SILENCE, 0, 0,
      SGR_PROBE_WHOLE, 0, NULL, 0, 1 },
    { "connection closed before the call", "one", "POST", "/", NULL, 0, SGR_RELAY_CLOSE, 0, 0,
      SGR_PROBE_WHOLE, 0, NULL, 0, 1 },
    { "connection closed before the call", "one", "GET", "/", NULL, 0, SGR_RELAY_CLOSE, 0, 0,
      SGR_PROBE_WHOLE, 0, NULL, 0, 1 },
    { "connection closed while the request runs", "one", "POST", "/bytes/1000", SERVICE_MS (200), 0,
      SGR_RELAY_CLOSE, true, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection closed while the request runs", "one", "GET", "/bytes/1000", SERVICE_MS (200), 0,
      SGR_RELAY_CLOSE, true, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection silent while the request runs", "one", "POST", "/bytes/1000", SERVICE_MS (100), 0,
      SGR_RELAY_SILENCE, true, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection silent while a long request runs", "one", "POST", "/bytes/1000", SERVICE_MS (900),
      0, SGR_RELAY_SILENCE, true, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection silent while a long request runs", "one", "GET", "/bytes/1000", SERVICE_MS (900),
      0, SGR_RELAY_SILENCE, true, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection to the entry silent while a long request runs", "one", "POST", "/",
      SERVICE_MS (900), 0, SGR_RELAY_SILENCE_TO_CLIENT, true, 0, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection closed within a small answer", "one", "POST", "/bytes/30000", NULL, 0,
      SGR_RELAY_CLOSE, 0, 10000, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection silent within a small answer", "one", "POST", "/bytes/30000", NULL, 0,
      SGR_RELAY_SILENCE, 0, 10000, SGR_PROBE_WHOLE, 200, "", 1, 1 },
    { "connection silent within a small answer", "one", "GET", "/bytes/30000", NULL, 0,
      SGR_RELAY_SILENCE, 0, 10000, SGR_PROBE_WHOLE, 0, NULL, 1, 3 },
    { "connection closed within a large answer", "one", "GET", "/bytes/3000000", NULL, 0,
      SGR_RELAY_CLOSE, 0, 600000, SGR_PROBE_TRUNCATED, 200, "", 1, 1 },
    { "connection silent within a large answer", "one", "GET", "/bytes/3000000", NULL, 0,
      SGR_RELAY_SILENCE, 0, 600000, SGR_PROBE_TRUNCATED, 200, "", 1, 1 },
    { "connection silent within a large answer", "one", "POST", "/bytes/3000000", NULL, 0,
      SGR_RELAY_SILENCE, 0, 600000, SGR_PROBE_TRUNCATED, 200, "", 1, 1 },
    { "no fault, after all others", "one", "POST", "/", NULL, 0, 0, 0, 0, SGR_PROBE_WHOLE, 200, "",
      1, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
      fault_run (&cases[i], ENTRY);
    }
}

/* Guards against late frames of an expired call that are delivered as the answer to another call.
   With a delay of 60 ms in each direction every third call exceeds its deadline of 70 ms. */
static void
test_late_frames (void **state)
{
  sgr_path_call_t calls[12];
  int sockets[12];

  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  sgr_relay_delay_set (node (GATE)->relay, 60 * 1000);
  for (size_t i = 0; i < 12; i++)
    {
      calls[i] = (sgr_path_call_t){ .entry = node (ENTRY),
                                    .service = "one",
                                    .method = i % 2 == 0 ? "GET" : "POST",
                                    .body = i % 2 == 0 ? NULL : "body",
                                    .path = "/bytes/5000",
                                    .deadline_ms = i % 3 == 0 ? 70 : 5000 };
      sockets[i] = sgr_path_call_send (&calls[i]);
    }
  for (size_t i = 0; i < 12; i++)
    {
      sgr_probe_answer_t answer;

      sgr_path_answer_receive (sockets[i], &calls[i], &answer);
      assert_int_equal (answer.end, SGR_PROBE_WHOLE);
      assert_int_equal (answer.status, i % 3 == 0 ? 504 : 200);
      if (i % 3 != 0)
        sgr_path_answer_check (&calls[i], &answer, executions (&calls[i]));
      sgr_probe_release (&answer);
    }
  sgr_relay_delay_set (node (GATE)->relay, 0);
}

/* Requests an issued key for the service "one" and formats it as a header field. */
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

/* Guards against a second execution when a call is repeated with its issued key, at the same time
   or later, through another node. */
static void
test_key_repeats (void **state)
{
  char key[256];
  char slow_key[300];
  sgr_path_call_t first
      = { .entry = node (ENTRY), .service = "one", .method = "POST", .path = "/bytes/500" };
  sgr_path_call_t repeat = first;
  sgr_path_call_t concurrent;
  sgr_path_call_t conflicting = first;
  sgr_probe_answer_t answers[4];
  int sockets[2];

  key_issue (ENTRY, key, sizeof key);
  snprintf (slow_key, sizeof slow_key, "%s" SERVICE_MS (300), key);
  first.fields = repeat.fields = slow_key;
  first.body = repeat.body = "same";
  conflicting.fields = key;
  conflicting.body = "different";
  repeat.entry = node (OTHER_ENTRY);
  sockets[0] = sgr_path_call_send (&first);
  sockets[1] = sgr_path_call_send (&repeat);
  sgr_path_answer_receive (sockets[0], &first, &answers[0]);
  sgr_path_answer_receive (sockets[1], &repeat, &answers[1]);
  concurrent
      = repeat; /* sgr_path_call_send() assigns a new id to @repeat; the copy keeps the old one */
  sgr_path_answer_receive (sgr_path_call_send (&repeat), &repeat, &answers[2]);
  sgr_path_answer_receive (sgr_path_call_send (&conflicting), &conflicting, &answers[3]);
  assert_int_equal (answers[3].status, 422);
  for (int i = 0; i < 3; i++)
    {
      assert_int_equal (answers[i].end, SGR_PROBE_WHOLE);
      assert_int_equal (answers[i].status, 200);
      assert_int_equal (answers[i].length, 500);
      assert_memory_equal (answers[i].body, answers[0].body, 500);
    }
  /* Which of the two concurrent calls runs depends on which one reaches the gate first. */
  assert_int_equal (executions (&first) + executions (&concurrent), 1);
  for (int i = 0; i < 4; i++)
    sgr_probe_release (&answers[i]);
}

/* Guards against a second execution under an issued key when the connection between entry and gate
   fails during the first call. */
static void
test_key_after_link_fault (void **state)
{
  char key[256];
  char fields[300];
  sgr_path_call_t call
      = { .entry = node (ENTRY), .service = "one", .method = "POST", .path = "/bytes/500" };
  sgr_path_call_t repeat;
  sgr_probe_answer_t answer;
  int fd;

  key_issue (OTHER_ENTRY, key, sizeof key);
  snprintf (fields, sizeof fields, "%s" SERVICE_MS (400), key);
  call.fields = fields;
  call.body = "same";
  repeat = call;
  repeat.entry = node (OTHER_ENTRY);
  sgr_relay_action_schedule (node (GATE)->relay, SGR_RELAY_SILENCE, CALL_FRAME_MIN_BYTES, 0);
  fd = sgr_path_call_send (&call);
  close (fd); /* the caller disconnects and repeats the call through another node */
  sgr_path_answer_receive (sgr_path_call_send (&repeat), &repeat, &answer);
  if (answer.status != 200)
    fail_msg ("expected status 200, got %s%s", answer.head, answer.body);
  assert_int_equal (sgr_fixture_executions (node (GATE), call.id)
                        + sgr_fixture_executions (node (GATE), repeat.id),
                    1);
  sgr_probe_release (&answer);
}

/* Guards against a disconnect of the caller that stops a request which is not idempotent, or after
   which the nodes keep state of the call. The caller disconnects 20 ms after it sent the request
   or, with the long answer, once the target started the request. */
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
                               .fields = SERVICE_MS (50),
                               .body = "body" };
      int fd = sgr_path_call_send (&call);

      while (sgr_fixture_metric (node (GATE), STARTS_METRIC) == 0)
        sgr_fixture_poll_sleep ();
      while (i >= 2 && sgr_fixture_executions (node (GATE), call.id) == 0)
        sgr_fixture_poll_sleep ();
      if (i < 2)
        for (int j = 0; j < 4; j++)
          sgr_fixture_poll_sleep ();
      close (fd);
      while (sgr_fixture_executions (node (GATE), call.id) == 0)
        sgr_fixture_poll_sleep ();
      assert_int_equal (sgr_fixture_executions (node (GATE), call.id), 1);
    }
}

/* Guards against a draining target that loses requests. Running requests complete; new requests are
   refused with an outcome that agrees with their executions. */
static void
test_target_drains (void **state)
{
  sgr_path_call_t calls[6];
  int sockets[6];
  sgr_probe_answer_t answer;
  sgr_path_call_t late
      = { .entry = node (ENTRY), .service = "one", .method = "POST", .path = "/", .body = "late" };
  int status;
  uint64_t before = sgr_fixture_metric (node (GATE), STARTS_METRIC);

  for (size_t i = 0; i < 6; i++)
    {
      calls[i] = (sgr_path_call_t){ .entry = node (i % 2 == 0 ? ENTRY : OTHER_ENTRY),
                                    .service = "one",
                                    .method = "POST",
                                    .path = "/bytes/100000",
                                    .fields = SERVICE_MS (500),
                                    .body = "body" };
      sockets[i] = sgr_path_call_send (&calls[i]);
      assert_true (sockets[i] >= 0);
    }
  while (sgr_fixture_metric (node (GATE), STARTS_METRIC) < before + 6)
    sgr_fixture_poll_sleep ();
  sgr_fixture_target_mode_set (node (GATE), "drain");
  do
    {
      sgr_path_answer_receive (sgr_path_call_send (&late), &late, &answer);
      status = answer.status;
      sgr_path_answer_check (&late, &answer, executions (&late));
      sgr_probe_release (&answer);
    }
  while (status == 200);
  for (size_t i = 0; i < 6; i++)
    {
      sgr_path_answer_receive (sockets[i], &calls[i], &answer);
      assert_int_equal (answer.end, SGR_PROBE_WHOLE);
      assert_int_equal (answer.status, 200);
      sgr_path_answer_check (&calls[i], &answer, executions (&calls[i]));
      sgr_probe_release (&answer);
    }
  sgr_path_answer_receive (sgr_path_call_send (&late), &late, &answer);
  assert_int_equal (answer.status, 503);
  sgr_path_answer_check (&late, &answer, executions (&late));
  sgr_probe_release (&answer);
  sgr_fixture_target_mode_set (node (GATE), "serve");
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
}

/* Calls through a node with curl, which supports HTTP/2. Returns the exit status of curl, -1 if it
   is not installed. */
static int
curl_run (int entry, const char *options, const char *path)
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

/* Guards against a truncated answer that an HTTP/2 or HTTP/1.1 caller accepts as whole. */
static void
test_cut_over_http2 (void **state)
{
  if (curl_run (ENTRY, "--http2-prior-knowledge", "/bytes/2000000") < 0)
    skip ();
  assert_int_equal (curl_run (ENTRY, "--http2-prior-knowledge", "/bytes/2000000"), 0);
  assert_int_equal (curl_run (ENTRY, "--http2-prior-knowledge -I", "/bytes/2000000"), 0);
  assert_int_not_equal (
      curl_run (ENTRY, "--http2-prior-knowledge -H 'X-Fault: cut'", "/bytes/2000000"), 0);
  assert_int_not_equal (curl_run (ENTRY,
                                  "--http2-prior-knowledge -H 'X-Fault: cut' -H 'X-Chunked: 1'",
                                  "/bytes/2000000"),
                        0);
  assert_int_not_equal (curl_run (ENTRY, "-H 'X-Fault: cut' -H 'X-Chunked: 1'", "/bytes/2000000"),
                        0);
}

/* Guards against an open attempt whose outcome is asked for only at the deadline, because its gate
   has restarted and has no target yet. The restarted gate cannot be reached before the entry knows
   that the target is gone. */
static void
test_gate_restarts_without_target (void **state)
{
  sgr_path_call_t call = { .entry = node (ENTRY),
                           .service = "one",
                           .method = "POST",
                           .path = "/",
                           .body = "body",
                           .fields = "X-Service-Us: 3000000\r\n" };
  uint64_t starts = sgr_fixture_metric (node (GATE), STARTS_METRIC);
  sgr_probe_answer_t answer;
  char outcome[32] = "";
  int fd = sgr_path_call_send (&call);

  while (sgr_fixture_metric (node (GATE), STARTS_METRIC) == starts)
    sgr_fixture_poll_sleep ();
  sgr_relay_refuse_set (node (GATE)->relay, 1);
  sgr_fixture_process_kill (&node (GATE)->pid);
  sgr_fixture_process_kill (&node (GATE)->target_pid);
  sgr_fixture_node_start (&fixture, node (GATE));
  while (sgr_fixture_metric (node (ENTRY), "siskingrade_targets{service=\"one\"}") > 0)
    sgr_fixture_poll_sleep ();
  sgr_relay_refuse_set (node (GATE)->relay, 0);
  sgr_path_answer_receive (fd, &call, &answer);
  sgr_probe_field (&answer, "siskingrade-outcome", outcome, sizeof outcome);
  assert_int_equal (answer.status, 502);
  assert_string_equal (outcome, "unknown");
  sgr_probe_release (&answer);
  sgr_fixture_target_start (&fixture, node (GATE));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  assert_true (sgr_fixture_service_await (node (OTHER_ENTRY), "one"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_target_faults),
    cmocka_unit_test (test_link_faults),
    cmocka_unit_test (test_late_frames),
    cmocka_unit_test (test_key_repeats),
    cmocka_unit_test (test_key_after_link_fault),
    cmocka_unit_test (test_caller_disconnects),
    cmocka_unit_test (test_target_drains),
    cmocka_unit_test (test_cut_over_http2),
    cmocka_unit_test (test_gate_restarts_without_target),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
