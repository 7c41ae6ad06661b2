#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "quota_lender.h"

#define SEC SGR_USEC_PER_SEC
#define MS SGR_USEC_PER_MSEC
#define ACCOUNT 7
#define START (100 * SEC)

static const sgr_quota_bound_t bound = { 5 * SEC, 0, 0 };
static const sgr_quota_limit_t limit = { ACCOUNT, 10, 20 };
static sgr_quota_request_t request;
static sgr_quota_reply_t reply;

static sgr_quota_lender_t *
lender_create (size_t fleet)
{
  sgr_quota_lender_t *lender = sgr_quota_lender_create (1, &bound, START);

  sgr_quota_lender_limits_set (lender, START, &limit, 1);
  sgr_quota_lender_fleet_set (lender, START, fleet);
  return lender;
}

/* Sends a request that confirms the last reply to the node, if @has_time. Return: tokens granted,
   -1 if the account was not renewed, -2 without a reply. */
static int
exchange (sgr_quota_lender_t *lender, uint64_t now_us, sgr_node_id_t node, bool has_time,
          uint32_t held, uint32_t spent, uint32_t wanted)
{
  static uint64_t sequence;
  static uint64_t times[8];

  request.sequence = ++sequence;
  request.lender_boot = 1;
  request.lender_time_us = has_time ? times[node] : 0;
  request.uses[0] = (sgr_quota_use_t){ ACCOUNT, held, spent, wanted };
  request.use_count = 1;
  if (!sgr_quota_lender_request (lender, now_us, node, node, 0, &request, &reply))
    return -2;
  times[node] = reply.lender_time_us;
  return reply.grant_count == 0 ? -1 : (int)reply.grants[0].tokens;
}

/* Attaches a node and keeps it attached until a time. */
static void
attach (sgr_quota_lender_t *lender, uint64_t from_us, uint64_t to_us, sgr_node_id_t node)
{
  exchange (lender, from_us, node, false, 0, 0, 0);
  for (uint64_t now_us = from_us + 250 * MS; now_us <= to_us; now_us += 250 * MS)
    exchange (lender, now_us, node, true, 0, 0, 0);
}

/* Guards against loans before the loans of a former boot have ended, without a known fleet, and to
   a borrower whose last reply may be lost. */
static void
test_lends_only_when_safe (void **state)
{
  sgr_quota_lender_t *lender = lender_create (1);

  assert_int_equal (exchange (lender, START + SEC, 1, false, 0, 0, 5), -1);
  assert_int_equal (exchange (lender, START + SEC + MS, 1, true, 0, 0, 5), -1);
  attach (lender, START + 2 * SEC, START + 4 * SEC, 1);
  assert_int_equal (exchange (lender, START + 4 * SEC + MS, 1, false, 0, 0, 5), -1);
  assert_int_equal (exchange (lender, START + 4 * SEC + 2 * MS, 1, true, 0, 0, 5), 5);
  sgr_quota_lender_fleet_set (lender, START + 4 * SEC + 3 * MS, 0);
  assert_int_equal (exchange (lender, START + 4 * SEC + 4 * MS, 1, true, 5, 0, 1), -1);
  sgr_quota_lender_destroy (lender);
}

/* Guards against a lender that lends more than the part of the nodes attached to it, and against
   one that keeps it after their leases have ended. */
static void
test_part_follows_leases (void **state)
{
  sgr_quota_lender_t *lender = lender_create (2);

  attach (lender, START + 2 * SEC, START + 10 * SEC, 1);
  assert_int_equal (reply.attached_percent, 50);
  /* Half of the burst of 20; a quarter of the capacity is kept. */
  assert_int_equal (exchange (lender, START + 10 * SEC + MS, 1, true, 0, 0, 100), 5);
  assert_int_equal (sgr_quota_lender_stats (lender, START + 10 * SEC + 900 * MS).attached, 1);
  assert_int_equal (sgr_quota_lender_stats (lender, START + 11 * SEC).attached, 0);
  exchange (lender, START + 20 * SEC, 1, false, 0, 0, 100);
  /* The bucket was emptied when the lease ended. */
  assert_int_equal (exchange (lender, START + 20 * SEC + MS, 1, true, 0, 0, 100), 0);
  assert_true (reply.grants[0].retry_after_ms > 0);
  sgr_quota_lender_destroy (lender);
}

/* Guards against tokens that exist twice: repeated and late requests, and tokens of a former boot.
 */
static void
test_requests_count_once (void **state)
{
  sgr_quota_lender_t *lender = lender_create (1);

  attach (lender, START + 2 * SEC, START + 10 * SEC, 1);
  assert_int_equal (exchange (lender, START + 10 * SEC + MS, 1, true, 0, 0, 10), 10);
  assert_false (
      sgr_quota_lender_request (lender, START + 10 * SEC + 2 * MS, 1, 1, 0, &request, &reply));
  assert_false (
      sgr_quota_lender_request (lender, START + 10 * SEC + 3 * MS, 1, 99, 0, &request, &reply));
  /* 4 of 10 were spent, 6 given back. */
  assert_int_equal (exchange (lender, START + 10 * SEC + 4 * MS, 1, true, 0, 4, 100), 11);
  sgr_quota_lender_destroy (lender);
}

/* Guards against borrowers without a token that wait for those with many. */
static void
test_scarce_tokens_are_shared (void **state)
{
  sgr_quota_lender_t *lender = lender_create (2);
  uint64_t now_us = START + 10 * SEC;
  int got[3] = { 0 };

  attach (lender, START + 2 * SEC, now_us, 1);
  attach (lender, START + 2 * SEC, now_us, 2);
  for (int i = 0; i < 400; i++)
    {
      now_us += 10 * MS;
      for (sgr_node_id_t node = 1; node <= 2; node++)
        {
          static uint32_t spent[3];
          int tokens = exchange (lender, now_us, node, true, 0, spent[node], node == 1 ? 100 : 5);

          spent[node] = tokens > 0 ? (uint32_t)tokens : 0;
          /* The first second uses the burst. */
          if (i >= 100)
            got[node] += tokens;
        }
    }
  assert_in_range (got[1] + got[2], 28, 32);
  assert_in_range (got[2], 13, 19);
  sgr_quota_lender_destroy (lender);
}

/* Guards against a bound that the parts of a limit exceed, and against a limit that cannot be used.
 */
static void
test_plan_is_within_bound (void **state)
{
  static const uint32_t rates[] = { 1, 2, 10, 280, 100000 };
  static const uint32_t bursts[] = { 0, 1, 10, 1000 };

  for (size_t i = 0; i < 5 * 4 * 2; i++)
    {
      sgr_quota_limit_t tried = { ACCOUNT, rates[i % 5], bursts[i / 5 % 4] };
      sgr_quota_bound_t wide = { 5 * SEC, i < 20 ? 0 : 0.1, i < 20 ? 0 : 20 };
      sgr_quota_plan_t plan = sgr_quota_plan (&tried, &wide);
      double calls = tried.rate_per_s * 5.0 + tried.burst;

      assert_true (plan.rate_per_s * 5 + plan.capacity + plan.reserve
                   <= calls * (1 + wide.over) + (double)wide.slack + 1e-6);
      assert_true (plan.rate_per_s >= (tried.rate_per_s >= 10 ? 0.95 : 0.79) * tried.rate_per_s);
      assert_true (plan.capacity >= 1 && plan.reserve >= 0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lends_only_when_safe), cmocka_unit_test (test_part_follows_leases),
    cmocka_unit_test (test_requests_count_once),  cmocka_unit_test (test_scarce_tokens_are_shared),
    cmocka_unit_test (test_plan_is_within_bound),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
