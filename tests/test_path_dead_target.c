#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "types.h"

#define LISTING_TIMEOUT_US (10 * 1000 * 1000ULL)

static sgr_fixture_t fixture;

/* Whether the target list of a node contains a text, such as a target state. */
static bool
is_listed (const sgr_fixture_node_t *node, const char *text)
{
  sgr_probe_request_t request = { .port = node->control, .path = "/v1/targets" };
  sgr_probe_answer_t answer;
  bool is_found;

  sgr_probe_call (&request, &answer);
  is_found = answer.body != NULL && strstr (answer.body, text) != NULL;
  sgr_probe_release (&answer);
  return is_found;
}

static bool
listing_await (const sgr_fixture_node_t *node, const char *text, bool is_expected)
{
  uint64_t end_us = sgr_clock_monotonic_us () + LISTING_TIMEOUT_US;

  while (is_listed (node, text) != is_expected)
    {
      if (sgr_clock_monotonic_us () > end_us)
        return false;
      sgr_fixture_poll_sleep ();
    }
  return true;
}

/* Guards against a dead target that stays listed until its announcement expires, here after a
   minute, and against one that does not return to the list after its restart. */
static void
test_dead_target_is_dropped (void **state)
{
  sgr_fixture_node_t *entry = &fixture.nodes[0];
  sgr_fixture_node_t *gate = &fixture.nodes[1];
  sgr_probe_request_t request
      = { .port = entry->callers, .path = "/", .fields = "Siskingrade-Service: one\r\n" };

  assert_true (listing_await (entry, "serving", true));
  sgr_fixture_process_kill (&gate->target_pid);
  for (int i = 0; i < 4; i++)
    {
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      assert_int_equal (answer.status, 503);
      sgr_probe_release (&answer);
    }
  assert_true (listing_await (entry, "serving", false));
  sgr_fixture_target_start (&fixture, gate);
  assert_true (listing_await (entry, "serving", true));
  assert_true (sgr_fixture_service_await (entry, "one"));
}

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.limits = "  announce_ttl_ms: 60000\n";
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

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_dead_target_is_dropped) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
