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
#include "types.h"

/* A planned stop of a node that still takes calls for a time, as its callers need time to move. */

#define LEAVE_DELAY_MS 800
#define DRAIN_TIMEOUT_MS 2000
/* When the late call is sent, in milliseconds after SIGTERM: before the end of the delay. */
#define LATE_MS 500

static sgr_fixture_t fixture;

static int
group_setup (void **state)
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
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Guards against a call that is taken late in a planned stop, passed on, and cut without an answer
   at the end of the process because it takes longer. */
static void
test_late_call_gets_answer (void **state)
{
  sgr_fixture_node_t *entry = &fixture.nodes[0];
  sgr_path_call_t call = { .entry = entry,
                           .service = "one",
                           .method = "POST",
                           .path = "/bytes/700",
                           .fields = "X-Service-Us: 4000000\r\n",
                           .body = "body" };
  const struct timespec delay = { .tv_nsec = LATE_MS * 1000 * 1000 };
  sgr_probe_answer_t answer;
  char outcome[32];
  int fd;

  kill (entry->pid, SIGTERM);
  nanosleep (&delay, NULL);
  fd = sgr_path_call_send (&call);
  sgr_path_answer_receive (fd, &call, &answer);
  sgr_probe_field (&answer, "siskingrade-outcome", outcome, sizeof outcome);
  if (answer.end != SGR_PROBE_WHOLE || answer.status != 504 || strcmp (outcome, "unknown") != 0)
    fail_msg ("end %d, status %d, outcome %s", answer.end, answer.status, outcome);
  sgr_probe_release (&answer);
  assert_int_equal (sgr_fixture_process_wait (&entry->pid, 30000), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_late_call_gets_answer) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
