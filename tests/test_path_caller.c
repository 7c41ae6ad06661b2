#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "types.h"

/* Connections of callers: pipelined requests, requests that two HTTP parsers could read
   differently, callers that disconnect, truncated answers, reloads of the settings, and a stop of
   the node while requests run. */

enum
{
  ENTRY,
  GATE,
};

#define READ_BYTES_MAX 65536
#define STARTS_METRIC "siskingrade_gate_starts_total"
#define REFUSED_4XX_METRIC "siskingrade_requests_refused_total{status=\"4"

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
  fixture.limits = "  heartbeat_ms: 50\n  silence_ms: 300\n  leave_delay_ms: 300\n";
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "gate", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static void
text_send (int fd, const char *text)
{
  assert_int_equal (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

/* Appends received bytes to the text until it holds a pattern a number of times, or until the
   connection ends. Returns true if the connection ended. A test that expects the end passes the
   pattern "never found". */
static bool
read_until (int fd, const char *pattern, int count, char *text)
{
  size_t length = strlen (text);

  for (;;)
    {
      int found = 0;
      ssize_t received;

      for (const char *at = text; (at = strstr (at, pattern)) != NULL; at++)
        found++;
      if (found >= count)
        return false;
      received = recv (fd, text + length, READ_BYTES_MAX - 1 - length, 0);
      if (received <= 0)
        return true;
      length += (size_t)received;
      text[length] = '\0';
    }
}

static void
request_append (char *text, size_t size, const char *id, const char *fields)
{
  size_t length = strlen (text);

  snprintf (text + length, size - length,
            "GET /bytes/10 HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\n"
            "X-Request-Id: %s\r\n%s\r\n",
            id, fields);
}

/* Guards against pipelined requests that run one after the other, and against answers in another
   order than the requests. The second request runs while the slow first one is running, but the
   first one is answered first. */
static void
test_pipelined_requests (void **state)
{
  static char text[READ_BYTES_MAX];
  char requests[2048] = "";
  int fd = sgr_probe_connect (node (ENTRY)->callers);
  const char *slow_answer, *fast_answer;

  request_append (requests, sizeof requests, "pipe-slow", "X-Service-Us: 400000\r\n");
  request_append (requests, sizeof requests, "pipe-fast", "");
  text[0] = '\0';
  text_send (fd, requests);
  while (sgr_fixture_executions (node (GATE), "pipe-fast") == 0)
    sgr_fixture_poll_sleep ();
  assert_int_equal (recv (fd, text, 1, MSG_DONTWAIT | MSG_PEEK), -1);
  read_until (fd, "HTTP/1.1 200", 2, text);
  read_until (fd, "pipe-fast", 1, text);
  slow_answer = strstr (text, "pipe-slow");
  fast_answer = strstr (text, "pipe-fast");
  assert_non_null (slow_answer);
  assert_non_null (fast_answer);
  assert_true (slow_answer < fast_answer);
  close (fd);
}

/* Guards against request smuggling. A request that two parsers could end at different places is
   refused and its connection is closed, so that a request that follows it never runs. */
static void
test_ambiguous_requests (void **state)
{
  static const struct
  {
    const char *name;
    const char *text;
    int status;
  } cases[] = {
    { "two Content-Length fields",
      "POST / HTTP/1.1\r\nHost: one\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody", 400 },
    { "Content-Length and Transfer-Encoding",
      "POST / HTTP/1.1\r\nHost: one\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n",
      400 },
    { "chunked is not the last transfer coding",
      "POST / HTTP/1.1\r\nHost: one\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400 },
    { "two Host fields", "GET / HTTP/1.1\r\nHost: one\r\nHost: two\r\n\r\n", 400 },
    { "no Host field", "GET / HTTP/1.1\r\nX-Other: one\r\n\r\n", 400 },
    { "negative Content-Length", "POST / HTTP/1.1\r\nHost: one\r\nContent-Length: -1\r\n\r\n",
      400 },
    { "request line is not HTTP", "this is no request\r\n\r\n", 400 },
    { "request target in absolute form", "GET http://one/ HTTP/1.1\r\nHost: one\r\n\r\n", 400 },
    { "body exceeds the limit", "POST / HTTP/1.1\r\nHost: one\r\nContent-Length: 99999999\r\n\r\n",
      413 },
  };
  uint64_t counted = sgr_fixture_metric (node (ENTRY), REFUSED_4XX_METRIC);

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      static char text[READ_BYTES_MAX];
      char request[2048], status[16], id[32];
      int fd = sgr_probe_connect (node (ENTRY)->callers);

      snprintf (id, sizeof id, "smuggled-%zu", i);
      snprintf (request, sizeof request, "%s", cases[i].text);
      request_append (request, sizeof request, id, "");
      snprintf (status, sizeof status, "HTTP/1.1 %d ", cases[i].status);
      text[0] = '\0';
      text_send (fd, request);
      if (!read_until (fd, "never found", 1, text))
        fail_msg ("%s: the node did not close the connection", cases[i].name);
      if (strncmp (text, status, strlen (status)) != 0 || strstr (text + 1, "HTTP/1.1") != NULL)
        fail_msg ("%s: unexpected answer \"%.60s\"", cases[i].name, text);
      assert_int_equal (sgr_fixture_executions (node (GATE), id), 0);
      close (fd);
    }
  /* Guards against refusals that an operator cannot see. */
  assert_int_equal (sgr_fixture_metric (node (ENTRY), REFUSED_4XX_METRIC),
                    counted + sizeof cases / sizeof cases[0]);
}

/* Guards against requests that keep running after their caller disconnected. The entry detects the
   end of the connection while two pipelined requests run, and cancels both. */
static void
test_caller_leaves (void **state)
{
  char requests[2048] = "";
  int fd = sgr_probe_connect (node (ENTRY)->callers);
  uint64_t starts = sgr_fixture_metric (node (GATE), STARTS_METRIC);
  uint64_t started_us = sgr_clock_monotonic_us ();

  request_append (requests, sizeof requests, "leaves-1", "X-Service-Us: 20000000\r\n");
  request_append (requests, sizeof requests, "leaves-2", "X-Service-Us: 20000000\r\n");
  text_send (fd, requests);
  while (sgr_fixture_metric (node (GATE), STARTS_METRIC) < starts + 2
         || sgr_fixture_metric (node (GATE), "siskingrade_gate_in_flight") < 2)
    sgr_fixture_poll_sleep ();
  close (fd);
  while (sgr_fixture_metric (node (GATE), "siskingrade_gate_in_flight") > 0)
    sgr_fixture_poll_sleep ();
  /* Without a cancellation the target would run the requests for 20 seconds. */
  assert_true (sgr_clock_monotonic_us () < started_us + 10 * SGR_USEC_PER_SEC);
}

/* Guards against a stop of the entry that interrupts requests. The entry answers the requests of an
   open connection, even a request that arrives after SIGTERM, and closes the connection after the
   last answer. A second SIGTERM has no effect. */
static void
test_stop_with_open_connection (void **state)
{
  static char text[READ_BYTES_MAX];
  char requests[2048] = "";
  int fd = sgr_probe_connect (node (ENTRY)->callers);
  uint64_t starts = sgr_fixture_metric (node (GATE), STARTS_METRIC);

  text[0] = '\0';
  request_append (requests, sizeof requests, "stop-1", "X-Service-Us: 600000\r\n");
  request_append (requests, sizeof requests, "stop-2", "X-Service-Us: 700000\r\n");
  text_send (fd, requests);
  while (sgr_fixture_metric (node (GATE), STARTS_METRIC) < starts + 2)
    sgr_fixture_poll_sleep ();
  kill (node (ENTRY)->pid, SIGTERM);
  sgr_fixture_poll_sleep ();
  requests[0] = '\0';
  request_append (requests, sizeof requests, "stop-3", "");
  text_send (fd, requests);
  kill (node (ENTRY)->pid, SIGTERM);
  assert_true (read_until (fd, "never found", 1, text));
  for (int i = 1; i <= 3; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "stop-%d", i);
      assert_non_null (strstr (text, id));
      assert_int_equal (sgr_fixture_executions (node (GATE), id), 1);
    }
  assert_non_null (strstr (text, "connection: close"));
  assert_int_equal (sgr_fixture_process_wait (&node (ENTRY)->pid, 20000), 0);
  close (fd);
}

/* Returns whether the bytes are the valid start of a chunked body, which may end within a chunk.
   Returns false if they include the last chunk. */
static bool
is_chunk_prefix (const char *bytes, size_t length)
{
  while (length > 0)
    {
      const char *end = memchr (bytes, '\n', length);
      char *size_end;
      size_t size, used;

      if (end == NULL)
        return strspn (bytes, "0123456789abcdefABCDEF\r") == length;
      size = strtoul (bytes, &size_end, 16);
      if (size_end == bytes || *size_end != '\r' || size == 0)
        return false;
      used = (size_t)(end + 1 - bytes) + size + 2;
      if (used > length)
        return true;
      if (memcmp (bytes + used - 2, "\r\n", 2) != 0)
        return false;
      bytes += used;
      length -= used;
    }
  return true;
}

/* Guards against a truncated chunked answer that ends with bytes which are not part of the body. */
static void
test_cut_chunks (void **state)
{
  static char answer[4 * 1024 * 1024];
  int fd = sgr_probe_connect (node (ENTRY)->callers);
  size_t length = 0;
  char *body;
  ssize_t received;

  text_send (fd, "GET /bytes/2000000 HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\n"
                 "X-Request-Id: chunks\r\nX-Fault: cut\r\nX-Chunked: 1\r\n\r\n");
  while ((received = recv (fd, answer + length, sizeof answer - 1 - length, 0)) > 0)
    length += (size_t)received;
  answer[length] = '\0';
  body = strstr (answer, "\r\n\r\n");
  assert_non_null (body);
  assert_non_null (strstr (answer, "chunked"));
  body += 4;
  assert_true (is_chunk_prefix (body, length - (size_t)(body - answer)));
  close (fd);
}

static void
settings_write (const char *path, const char *text)
{
  FILE *file = fopen (path, "w");

  assert_non_null (file);
  assert_true (fputs (text, file) >= 0);
  assert_int_equal (fclose (file), 0);
}

static size_t
settings_read (const sgr_fixture_node_t *from_node, char *text, size_t size)
{
  char path[192];
  FILE *file;
  size_t length;

  snprintf (path, sizeof path, "%s/%s.yaml", fixture.directory, from_node->name);
  file = fopen (path, "r");
  assert_non_null (file);
  length = fread (text, 1, size - 1, file);
  text[length] = '\0';
  fclose (file);
  return length;
}

/* Sleeps for one poll interval. Fails the test if the process has ended. */
static void
poll_sleep_while_running (pid_t pid)
{
  int status;

  if (waitpid (pid, &status, WNOHANG) == pid)
    fail_msg ("the node ended unexpectedly (signal %d, 0 if it exited)",
              WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  sgr_fixture_poll_sleep ();
}

/* Waits until the process opens the FIFO for reading, sends it SIGHUP if @sends_sighup, and writes
   the settings into the FIFO. */
static void
fifo_settings_write (const char *path, pid_t pid, bool sends_sighup, const char *text,
                     size_t length)
{
  int fd;

  while ((fd = open (path, O_WRONLY | O_NONBLOCK | O_CLOEXEC)) < 0)
    poll_sleep_while_running (pid);
  if (sends_sighup)
    kill (pid, SIGHUP);
  assert_int_equal (write (fd, text, length), length);
  close (fd);
}

/* Guards against SIGHUP ending a node that is still reading its settings for the first time. */
static void
test_reload_during_start (void **state)
{
  static char settings[65536];
  size_t length = settings_read (node (ENTRY), settings, sizeof settings);
  const char *build = getenv ("SGR_BUILD");
  char program[128], path[192];
  pid_t pid;
  int fd;

  sgr_fixture_process_kill (&node (ENTRY)->pid);
  snprintf (program, sizeof program, "%s/siskingraded", build != NULL ? build : "build");
  snprintf (path, sizeof path, "%s/settings.fifo", fixture.directory);
  assert_int_equal (mkfifo (path, 0600), 0);
  pid = fork ();
  assert_true (pid >= 0);
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      execl (program, program, path, (char *)NULL);
      _exit (127);
    }
  fifo_settings_write (path, pid, true, settings, length);
  /* The node accepts connections once it has applied the settings. Then it handles the SIGHUP that
     was pending and reads the settings again. */
  while ((fd = sgr_probe_connect (node (ENTRY)->callers)) < 0)
    poll_sleep_while_running (pid);
  close (fd);
  fifo_settings_write (path, pid, false, settings, length);
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  sgr_fixture_process_kill (&pid);
  unlink (path);
  sgr_fixture_node_start (&fixture, node (ENTRY));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
}

/* Guards against a reload that ends the node, and against a reload that applies an invalid settings
   file. */
static void
test_reload (void **state)
{
  static char settings[65536];
  char path[192];

  settings_read (node (ENTRY), settings, sizeof settings);
  snprintf (path, sizeof path, "%s/%s.yaml", fixture.directory, node (ENTRY)->name);
  kill (node (ENTRY)->pid, SIGHUP);
  assert_true (sgr_fixture_event_await (&fixture, node (ENTRY), "event=settings-reloaded", 1));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  settings_write (path, "node: [\n");
  kill (node (ENTRY)->pid, SIGHUP);
  assert_true (sgr_fixture_event_await (&fixture, node (ENTRY), "event=settings-refused", 1));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
  settings_write (path, settings);
  kill (node (ENTRY)->pid, SIGHUP);
  assert_true (sgr_fixture_event_await (&fixture, node (ENTRY), "event=settings-reloaded", 2));
  assert_true (sgr_fixture_service_await (node (ENTRY), "one"));
}

/* Guards against a hop-by-hop field that reaches the target, because only the last of several
   Connection fields is read. The field that it names makes the target cut its answer. */
static void
test_two_connection_fields (void **state)
{
  sgr_probe_request_t request = { .port = node (ENTRY)->callers,
                                  .path = "/bytes/2000000",
                                  .fields = "Siskingrade-Service: one\r\nX-Request-Id: hop\r\n"
                                            "Connection: X-Fault\r\nX-Fault: cut\r\n"
                                            "Connection: keep-alive\r\n" };
  sgr_probe_answer_t answer;

  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.end, SGR_PROBE_WHOLE);
  assert_int_equal (answer.status, 200);
  assert_int_equal (answer.length, 2000000);
  sgr_probe_release (&answer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pipelined_requests),
    cmocka_unit_test (test_ambiguous_requests),
    cmocka_unit_test (test_caller_leaves),
    cmocka_unit_test (test_cut_chunks),
    cmocka_unit_test (test_two_connection_fields),
    cmocka_unit_test (test_reload),
    cmocka_unit_test (test_reload_during_start),
    cmocka_unit_test (test_stop_with_open_connection),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
