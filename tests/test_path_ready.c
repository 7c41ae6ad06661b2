#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ptrace.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "types.h"

/* Readiness of a node whose thread for calls hangs. */

/* Longest time until readiness shows a change. */
#define CHANGE_MAX_US (15 * SGR_USEC_PER_SEC)

static sgr_fixture_t fixture;
static sgr_fixture_node_t *node;

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  node = sgr_fixture_node_add (&fixture, "node", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Returns the thread of the data task: the one that the process has started. */
static pid_t
data_thread_find (pid_t pid)
{
  const struct dirent *entry;
  pid_t thread = 0;
  char path[64];
  DIR *folder;

  snprintf (path, sizeof path, "/proc/%d/task", (int)pid);
  folder = opendir (path);
  assert_non_null (folder);
  while ((entry = readdir (folder)) != NULL)
    {
      pid_t found = atoi (entry->d_name);

      if (found != 0 && found != pid)
        thread = found;
    }
  closedir (folder);
  return thread;
}

static void
ready_await (int status)
{
  uint64_t end_us = sgr_clock_monotonic_us () + CHANGE_MAX_US;
  sgr_probe_request_t request = { .port = node->control, .path = "/v1/ready" };
  int seen = 0;

  while (seen != status)
    {
      sgr_probe_answer_t answer;

      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_probe_call (&request, &answer);
      seen = answer.status;
      sgr_probe_release (&answer);
      sgr_fixture_poll_sleep ();
    }
}

/* Guards against a node that says it is ready although its thread for calls hangs, so that callers
   go on sending requests that nobody reads. */
static void
test_hung_data_task (void **state)
{
  pid_t thread = data_thread_find (node->pid);

  ready_await (200);
  assert_int_equal (ptrace (PTRACE_SEIZE, thread, NULL, NULL), 0);
  assert_int_equal (ptrace (PTRACE_INTERRUPT, thread, NULL, NULL), 0);
  assert_int_equal (waitpid (thread, NULL, __WALL), thread);
  ready_await (503);
  assert_int_equal (ptrace (PTRACE_DETACH, thread, NULL, NULL), 0);
  ready_await (200);
  assert_true (sgr_fixture_service_await (node, "one"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_hung_data_task) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
