#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"
#include "stop_plan.h"
#include "types.h"

/* A planned stop of a node that still takes calls for a time, as its callers need time to move. */

#define LEAVE_DELAY_MS 800
#define DRAIN_TIMEOUT_MS 2000
/* Time between SIGTERM and the call, in either order, in milliseconds: shorter than the delay. */
#define LATE_MS 500

static sgr_fixture_t fixture;

static int
test_setup (void **state)
{
  static char limits[96];

  sgr_fixture_init (&fixture);
  snprintf (limits, sizeof limits, "  leave_delay_ms: %d\n  drain_timeout_ms: %d\n", LEAVE_DELAY_MS,
            DRAIN_TIMEOUT_MS);
  fixture.limits = limits;
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "gate", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
test_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Stops the entry before or after a call is sent, and checks that the call, which takes longer than
   the stop, gets a whole answer that leaves its outcome open. */
static void
answer_of_stop_check (sgr_fixture_node_t *entry, bool is_call_first)
{
  sgr_path_call_t call = { .entry = entry,
                           .service = "one",
                           .method = "POST",
                           .path = "/bytes/700",
                           .fields = "X-Service-Us: 4000000\r\n",
                           .body = "body" };
  const struct timespec delay = { .tv_nsec = LATE_MS * 1000 * 1000 };
  sgr_probe_answer_t answer;
  char outcome[32];
  int fd = -1;

  if (is_call_first)
    fd = sgr_path_call_send (&call);
  else
    kill (entry->pid, SIGTERM);
  nanosleep (&delay, NULL);
  if (is_call_first)
    kill (entry->pid, SIGTERM);
  else
    fd = sgr_path_call_send (&call);
  sgr_path_answer_receive (fd, &call, &answer);
  sgr_probe_field (&answer, "siskingrade-outcome", outcome, sizeof outcome);
  if (answer.end != SGR_PROBE_WHOLE || answer.status != 504 || strcmp (outcome, "unknown") != 0)
    fail_msg ("end %d, status %d, outcome %s", answer.end, answer.status, outcome);
  sgr_probe_release (&answer);
  assert_int_equal (sgr_fixture_process_wait (&entry->pid, 30000), 0);
}

/* Guards against a call that is taken late in a planned stop, passed on, and cut without an answer
   at the end of the process because it takes longer. */
static void
test_late_call_gets_answer (void **state)
{
  answer_of_stop_check (&fixture.nodes[0], false);
}

/* Guards against a call that is open at SIGTERM, takes longer than the stop, and is cut without an
   answer at the end of the process. */
static void
test_open_call_gets_answer (void **state)
{
  answer_of_stop_check (&fixture.nodes[0], true);
}

/* Guards against stop times that break off calls too early, or leave the process no time to end. */
static void
test_stop_plan (void **state)
{
  static const struct
  {
    sgr_settings_t settings;
    sgr_stop_plan_t plan;
  } cases[] = {
    { { .drain_timeout_ms = 60000, .leave_delay_ms = 800 }, { 800, 59800, 60000 } },
    { { .drain_timeout_ms = 100 }, { 0, 0, 100 } },
    { { .drain_timeout_ms = 5000, .leave_delay_ms = 2500, .stop_grace_ms = 6000 },
      { 2500, 5250, 5450 } },
    { { .drain_timeout_ms = 5000, .leave_delay_ms = 2500, .stop_grace_ms = 10000 },
      { 2500, 8750, 8950 } },
    { { .leave_delay_ms = 2500, .stop_grace_ms = 500 }, { 437, 437, 468 } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_stop_plan_t plan = sgr_stop_plan (&cases[i].settings);
      uint64_t grace_ms = cases[i].settings.stop_grace_ms;

      assert_int_equal (plan.refuse_ms, cases[i].plan.refuse_ms);
      assert_int_equal (plan.calls_end_ms, cases[i].plan.calls_end_ms);
      assert_int_equal (plan.drain_end_ms, cases[i].plan.drain_end_ms);
      assert_true (grace_ms == 0 || plan.calls_end_ms * 6 >= grace_ms * 5);
      assert_true (grace_ms == 0 || (grace_ms - plan.drain_end_ms) * 16 >= grace_ms);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stop_plan),
    cmocka_unit_test_setup_teardown (test_late_call_gets_answer, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_open_call_gets_answer, test_setup, test_teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
