#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "node_fixture_config.h"
#include "types.h"

/* Nodes whose store is restored to an earlier state. */

/* Longest time until all nodes have written their addresses again. */
#define RENEWAL_MAX_US (5 * SGR_USEC_PER_SEC)

static sgr_fixture_t fixture;

static int
test_setup (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "first", NULL, false);
  sgr_fixture_node_add (&fixture, "second", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
test_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Sends a request to the store and returns whether the body of its answer has the text. */
static bool
store_call (const char *method, const char *path, const char *text)
{
  sgr_probe_request_t request = { .port = fixture.store_port,
                                  .method = method,
                                  .path = path,
                                  .fields = "Store-If-Version: any\r\n" };
  sgr_probe_answer_t answer;
  bool has_text;

  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 200);
  has_text = strstr (answer.body, text) != NULL;
  sgr_probe_release (&answer);
  return has_text;
}

static bool
is_registered (const char *name)
{
  char key[96];

  snprintf (key, sizeof key, "\"nodes/%s/%s\"", SGR_FIXTURE_DEPLOYMENT, name);
  return store_call ("GET", "/v1/kv?prefix=nodes/", key);
}

/* Guards against nodes that new nodes do not find, because the addresses that they wrote were lost
   with the state of the store that was replaced. */
static void
test_address_is_written_again_after_restore (void **state)
{
  uint64_t end_us;

  assert_true (is_registered ("first") && is_registered ("second"));
  store_call ("DELETE", "/v1/kv/nodes/" SGR_FIXTURE_DEPLOYMENT "/first", "");
  store_call ("DELETE", "/v1/kv/nodes/" SGR_FIXTURE_DEPLOYMENT "/second", "");
  sgr_fixture_store_faults_set (&fixture, "snapshot=1");
  sgr_fixture_store_faults_set (&fixture, "restore=1");
  end_us = sgr_clock_monotonic_us () + RENEWAL_MAX_US;
  while (!is_registered ("first") || !is_registered ("second"))
    {
      if (sgr_clock_monotonic_us () > end_us)
        fail_msg ("first is registered: %d, second: %d", is_registered ("first"),
                  is_registered ("second"));
      sgr_fixture_poll_sleep ();
    }
  for (size_t i = 0; i < fixture.count; i++)
    assert_true (sgr_fixture_event_await (&fixture, &fixture.nodes[i], "event=store-restored", 1));
}

/* Guards against a write for each restart, which uses up the rate of the store when many nodes
   restart at a time. */
static void
test_restart_keeps_address (void **state)
{
  sgr_fixture_node_t *node = &fixture.nodes[0];
  char log_path[PATH_MAX];

  assert_true (is_registered ("first"));
  sgr_fixture_process_kill (&node->pid);
  /* Only the lines of the second start count. */
  snprintf (log_path, sizeof log_path, "%s/%s.log", fixture.directory, node->name);
  assert_int_equal (truncate (log_path, 0), 0);
  sgr_fixture_node_start (&fixture, node);
  assert_true (
      sgr_fixture_event_await (&fixture, node, "event=contacts-read contacts=1 registered=yes", 1));
  assert_true (is_registered ("first"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_restart_keeps_address, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_address_is_written_again_after_restore, test_setup,
                                     test_teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
