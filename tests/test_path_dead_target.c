#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "types.h"

#define WAIT_US (10 * 1000 * 1000ULL)

static sgr_fixture_t fixture;

/* Whether a node lists a target in the given state. */
static bool
is_listed (const sgr_fixture_node_t *at, const char *text)
{
  sgr_probe_request_t request = { .port = at->control, .path = "/v1/targets" };
  sgr_probe_answer_t answer;
  bool is_found;

  sgr_probe_call (&request, &answer);
  is_found = answer.body != NULL && strstr (answer.body, text) != NULL;
  sgr_probe_release (&answer);
  return is_found;
}

static bool
is_listed_soon (const sgr_fixture_node_t *at, const char *text, bool is_wanted)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_US;

  while (is_listed (at, text) != is_wanted)
    {
      if (sgr_clock_monotonic_us () > end_us)
        return false;
      sgr_fixture_pause ();
    }
  return true;
}

/* Guards against work for a dead target until its announcement expires, here after a minute, and
   against a target that is not taken back. */
static void
test_dead_target_is_dropped (void **state)
{
  sgr_fixture_node_t *entry = &fixture.nodes[0];
  sgr_fixture_node_t *gate = &fixture.nodes[1];
  sgr_probe_request_t request
      = { .port = entry->callers, .path = "/", .fields = "Siskingrade-Service: one\r\n" };

  assert_true (is_listed_soon (entry, "serving", true));
  sgr_fixture_kill (&gate->target_pid);
  for (int i = 0; i < 4; i++)
    {
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      assert_int_equal (answer.status, 503);
      sgr_probe_release (&answer);
    }
  assert_true (is_listed_soon (entry, "serving", false));
  sgr_fixture_target_start (&fixture, gate);
  assert_true (is_listed_soon (entry, "serving", true));
  assert_true (sgr_fixture_ready (entry, "one"));
}

static int
start (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.limits = "  announce_ttl_ms: 60000\n";
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "gate", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
stop (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_dead_target_is_dropped) };

  return cmocka_run_group_tests (tests, start, stop);
}
