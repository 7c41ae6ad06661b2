#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "account.h"
#include "node_fixture.h"
#include "node_fixture_config.h"
#include "types.h"

/* Quotas of accounts through processes: three nodes, one account with a low rate. */

#define NODES 3
#define KEY "acme-key-0123456789"
#define RATE 20
#define BURST 30
#define SLACK 9
#define WINDOW_US (2 * SGR_USEC_PER_SEC)
#define CALLS_MAX 60000
/* Far more than the burst, and than the rate allows in the time that they take. */
#define CALLS_NOT_RUN 400

static sgr_fixture_t fixture;
/* The target of a killed node does not answer. */
static bool is_node_killed;

static int
group_setup (void **state)
{
  char hex[SGR_ACCOUNT_KEY_HEX_BYTES];
  json_t *account;

  sgr_fixture_init (&fixture);
  fixture.limits = "  quota_window: 2s\n  quota_slack: 9\n";
  sgr_fixture_node_add (&fixture, "a", "one", false);
  sgr_fixture_node_add (&fixture, "b", "one", false);
  sgr_fixture_node_add (&fixture, "c", NULL, false);
  if (!sgr_fixture_start (&fixture))
    return -1;
  sgr_account_key_hash_format (sgr_account_key_hash (KEY, strlen (KEY)), hex);
  account = json_pack ("{s:s, s:[s], s:i, s:i}", "name", "acme", "key_hashes", hex, "rate_per_s",
                       RATE, "burst", BURST);
  return sgr_fixture_change_set (&fixture, "quota",
                                 json_pack ("{s:{s:[o]}}", "put", "accounts", account))
             ? 0
             : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Makes one call; a refused one has to say so correctly. */
static int
call_make (int node)
{
  sgr_probe_request_t request
      = { .port = fixture.nodes[node].callers,
          .path = "/bytes/10",
          .fields
          = "Siskingrade-Service: one\r\nConnection: close\r\nAuthorization: Token " KEY "\r\n" };
  sgr_probe_answer_t answer;
  int status;

  sgr_probe_call (&request, &answer);
  status = answer.status;
  if (status == 429)
    {
      assert_non_null (strcasestr (answer.head, "retry-after: "));
      assert_non_null (strstr (answer.body, "\"not-run\""));
      assert_non_null (strstr (answer.body, "\"quota\""));
    }
  sgr_probe_release (&answer);
  return status;
}

/* Calls as fast as possible, and checks the bound in each window. Return: calls started. */
static size_t
load_run (const int *nodes, size_t node_count, uint64_t duration_us)
{
  static uint64_t starts[CALLS_MAX];
  uint64_t end_us = sgr_clock_monotonic_us () + duration_us;
  size_t count = 0;
  size_t first = 0;

  for (size_t i = 0; sgr_clock_monotonic_us () < end_us && count < CALLS_MAX; i++)
    {
      int status = call_make (nodes[i % node_count]);

      assert_true (status == 200 || status == 429 || is_node_killed);
      if (status != 200)
        continue;
      starts[count++] = sgr_clock_monotonic_us ();
      while (starts[first] + WINDOW_US < starts[count - 1])
        first++;
      /* An answer is later than the start of its call. */
      assert_true (count - first <= RATE * 2 + BURST + SLACK + 1);
    }
  return count;
}

/* Node to which all are attached, -1 if there is none. */
static int
lender_find (void)
{
  for (int i = 0; i < NODES; i++)
    {
      if (fixture.nodes[i].pid != 0
          && sgr_fixture_metric (&fixture.nodes[i], "siskingrade_quota_attached ") == NODES)
        return i;
    }
  return -1;
}

/* Guards against an account that exceeds its limit over all nodes, and against nodes whose callers
   get nothing of it. */
static void
test_quota_holds_over_nodes (void **state)
{
  static const int all[] = { 0, 1, 2 };
  uint64_t end_us = sgr_clock_monotonic_us () + 20 * SGR_USEC_PER_SEC;
  size_t started;

  while (lender_find () < 0)
    {
      if (sgr_clock_monotonic_us () > end_us)
        fail_msg ("no node lends to all");
      sgr_fixture_poll_sleep ();
    }
  for (int i = 0; i < NODES; i++)
    {
      while (call_make (i) != 200)
        {
          if (sgr_clock_monotonic_us () > end_us)
            fail_msg ("node %d starts no call", i);
          sgr_fixture_poll_sleep ();
        }
    }
  for (int i = 0; i < NODES; i++)
    {
      started = load_run (&all[i], 1, 4 * SGR_USEC_PER_SEC);
      print_message ("node %d: %zu calls in 4 s\n", i, started);
      assert_true (started > 0);
    }
  started = load_run (all, NODES, 6 * SGR_USEC_PER_SEC);
  print_message ("all nodes: %zu calls in 6 s\n", started);
  assert_true (started > 0);
  assert_true (sgr_fixture_metric (&fixture.nodes[0], "siskingrade_quota_refused_total") > 0);
}

/* Guards against calls that did not run and use up the quota. */
static void
test_credit_returns (void **state)
{
  uint64_t refilled_us = sgr_clock_monotonic_us () + 2 * SGR_USEC_PER_SEC;
  int refused = 0;
  int statuses[2] = { 0 };

  /* The tests before have used up the burst. */
  while (sgr_clock_monotonic_us () < refilled_us)
    sgr_fixture_poll_sleep ();
  for (int i = 0; i < 2; i++)
    sgr_fixture_process_kill (&fixture.nodes[i].target_pid);
  for (int i = 0; i < CALLS_NOT_RUN; i++)
    {
      int status = call_make (2);

      refused += status == 429;
      statuses[status == 503]++;
    }
  print_message ("no target: %d of %d calls refused by the quota, %d not run\n", refused,
                 CALLS_NOT_RUN, statuses[1]);
  assert_true (statuses[1] > 0);
  assert_true (refused < CALLS_NOT_RUN / 2);
  for (int i = 0; i < 2; i++)
    sgr_fixture_target_start (&fixture, &fixture.nodes[i]);
  while (call_make (2) != 200)
    sgr_fixture_poll_sleep ();
}

/* Guards against quotas that end with the node that lends. */
static void
test_lender_lost (void **state)
{
  static const int all[] = { 0, 1, 2 };
  int lender = lender_find ();
  int left[NODES - 1];
  int count = 0;
  size_t started;

  assert_true (lender >= 0);
  load_run (all, NODES, SGR_USEC_PER_SEC);
  sgr_fixture_process_kill (&fixture.nodes[lender].pid);
  is_node_killed = true;
  for (int i = 0; i < NODES; i++)
    {
      if (i != lender)
        left[count++] = i;
    }
  started = load_run (left, NODES - 1, 6 * SGR_USEC_PER_SEC);
  print_message ("without node %d: %zu calls in 6 s\n", lender, started);
  assert_true (started > RATE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_quota_holds_over_nodes),
    cmocka_unit_test (test_credit_returns),
    cmocka_unit_test (test_lender_lost),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
