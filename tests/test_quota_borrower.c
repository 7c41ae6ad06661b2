#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "quota_borrower.h"

#define SEC SGR_USEC_PER_SEC
#define MS SGR_USEC_PER_MSEC
#define ACCOUNT 7
#define START (100 * SEC)

static const sgr_quota_limit_t limit = { ACCOUNT, 10, 20 };
static const sgr_node_id_t members[] = { 1, 2, 3 };
static sgr_quota_request_t request;
static int refusing_changes;

static void
lender_changed (void *ctx, sgr_node_id_t lender)
{
}

static void
refusing_changed (void *ctx, uint64_t account, bool is_refusing)
{
  refusing_changes++;
}

static sgr_quota_borrower_t *
borrower_create (uint64_t slack)
{
  static const sgr_quota_borrower_events_t events = { lender_changed, refusing_changed };
  sgr_quota_bound_t bound = { 5 * SEC, 1, slack };
  sgr_quota_borrower_t *borrower = sgr_quota_borrower_create (&bound, START, &events, NULL);

  sgr_quota_borrower_limits_set (borrower, &limit, 1);
  return borrower;
}

static bool
call (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_quota_credit_t *credit)
{
  uint32_t retry_ms;

  return sgr_quota_borrower_call_start (borrower, now_us, 0, credit, &retry_ms);
}

static void
reply (sgr_quota_borrower_t *borrower, uint64_t now_us, uint32_t tokens, size_t count)
{
  static sgr_quota_reply_t answer;

  answer = (sgr_quota_reply_t){ .sequence = request.sequence,
                                .lender_time_us = now_us,
                                .lender_boot = 5,
                                .fleet = 3,
                                .lease_us = SGR_QUOTA_LEASE_US,
                                .attached_percent = 100,
                                .grants = { { ACCOUNT, tokens, 0 } },
                                .grant_count = count };
  sgr_quota_borrower_reply (borrower, now_us, sgr_quota_borrower_lender (borrower), &answer);
}

/* Guards against work in a deployment without accounts that have a rate. */
static void
test_idle_without_limits (void **state)
{
  sgr_quota_borrower_t *borrower = borrower_create (0);

  sgr_quota_borrower_members_set (borrower, members, 3, 3);
  sgr_quota_borrower_limits_set (borrower, NULL, 0);
  assert_true (sgr_quota_borrower_next_us (borrower) == UINT64_MAX);
  assert_int_equal (sgr_quota_borrower_tick (borrower, START, &request), 0);
  sgr_quota_borrower_destroy (borrower);
}

/* Guards against a reserve of a node that restarted or does not know the fleet, and against more
   calls than it. */
static void
test_reserve (void **state)
{
  sgr_quota_borrower_t *borrower = borrower_create (0);
  sgr_quota_credit_t credit;
  int started = 0;

  assert_false (call (borrower, START + 7 * SEC, &credit));
  sgr_quota_borrower_members_set (borrower, members, 3, 3);
  assert_false (call (borrower, START + 7 * SEC, &credit));
  sgr_quota_borrower_tick (borrower, START + 7 * SEC, &request);
  reply (borrower, START + 7 * SEC, 0, 0);
  assert_false (call (borrower, START + 4 * SEC, &credit));
  /* Half of the 70 calls beyond the limit, divided by three nodes. */
  for (int i = 0; i < 100; i++)
    started += call (borrower, START + 10 * SEC + (uint64_t)i * 40 * MS, &credit);
  assert_int_equal (started, 11);
  assert_true (call (borrower, START + 20 * SEC, &credit));
  sgr_quota_borrower_call_return (borrower, START + 20 * SEC, &credit);
  started = 0;
  for (int i = 0; i < 100; i++)
    started += call (borrower, START + 20 * SEC + (uint64_t)i * 40 * MS, &credit);
  assert_int_equal (started, 11);
  sgr_quota_borrower_destroy (borrower);
}

/* Guards against tokens that outlive their loan, against replies that count twice, and against the
   loss of the token of a call that did not run. */
static void
test_tokens_end (void **state)
{
  sgr_quota_borrower_t *borrower = borrower_create (0);
  sgr_quota_credit_t credit;
  uint64_t now_us = START + 4 * SEC;

  sgr_quota_borrower_members_set (borrower, members, 3, 3);
  assert_int_not_equal (sgr_quota_borrower_tick (borrower, now_us, &request), 0);
  reply (borrower, now_us + MS, 0, 0);
  assert_false (call (borrower, now_us + MS, &credit));
  assert_int_not_equal (sgr_quota_borrower_tick (borrower, now_us + 2 * MS, &request), 0);
  assert_int_equal (request.lender_time_us, now_us + MS);
  assert_int_equal (request.use_count, 1);
  assert_true (request.uses[0].wanted >= 1);
  reply (borrower, now_us + 3 * MS, 2, 1);
  reply (borrower, now_us + 4 * MS, 2, 1);
  assert_true (call (borrower, now_us + 5 * MS, &credit));
  sgr_quota_borrower_call_return (borrower, now_us + 6 * MS, &credit);
  assert_true (call (borrower, now_us + 7 * MS, &credit));
  assert_true (call (borrower, now_us + 8 * MS, &credit));
  assert_false (call (borrower, now_us + 9 * MS, &credit));
  sgr_quota_borrower_call_return (borrower, now_us + 10 * MS, &credit);
  assert_false (call (borrower, now_us + 11 * MS, &credit));
  sgr_quota_borrower_destroy (borrower);

  borrower = borrower_create (0);
  sgr_quota_borrower_members_set (borrower, members, 3, 3);
  sgr_quota_borrower_tick (borrower, now_us, &request);
  reply (borrower, now_us + MS, 0, 0);
  call (borrower, now_us + MS, &credit);
  sgr_quota_borrower_tick (borrower, now_us + 2 * MS, &request);
  reply (borrower, now_us + 3 * MS, 2, 1);
  assert_false (call (borrower, now_us + 2 * MS + 375 * MS, &credit));
  sgr_quota_borrower_destroy (borrower);
}

/* Guards against two lenders that count the same node: after the loss of a lender it must not
   attach to another one before its lease has ended. */
static void
test_lease_ends_before_next (void **state)
{
  sgr_quota_borrower_t *borrower = borrower_create (0);
  uint64_t now_us = START + 4 * SEC;
  uint64_t last_us = 0;
  sgr_node_id_t first;
  sgr_node_id_t to = 0;

  sgr_quota_borrower_members_set (borrower, members, 3, 3);
  first = sgr_quota_borrower_tick (borrower, now_us, &request);
  reply (borrower, now_us, 0, 0);
  for (; to == 0 || to == first; now_us += MS)
    {
      to = sgr_quota_borrower_tick (borrower, now_us, &request);
      if (to == first && request.lender_time_us != 0)
        last_us = now_us;
      assert_true (now_us < START + 6 * SEC);
    }
  assert_in_range (now_us - last_us, 600 * MS, SEC);
  for (; request.lender_time_us == 0; now_us += MS)
    {
      reply (borrower, now_us, 0, 0);
      if (sgr_quota_borrower_tick (borrower, now_us, &request) != 0)
        assert_true (request.lender_time_us == 0 || now_us >= last_us + SEC);
      assert_true (now_us < START + 7 * SEC);
    }
  assert_true (now_us <= last_us + 1100 * MS);
  sgr_quota_borrower_destroy (borrower);
}

/* Guards against a first call of an account that finds no token at a gate that holds some in
   advance, and against a lender that is chosen by a node that knows few members. */
static void
test_tokens_in_advance (void **state)
{
  sgr_quota_borrower_t *borrower = borrower_create (0);
  sgr_quota_credit_t credit;
  uint64_t now_us = START + 2 * SEC;

  sgr_quota_borrower_standby_set (borrower, 0, 2);
  sgr_quota_borrower_members_set (borrower, members, 1, 0);
  assert_int_equal (sgr_quota_borrower_tick (borrower, now_us, &request), 0);
  assert_true (sgr_quota_borrower_next_us (borrower) == UINT64_MAX);
  sgr_quota_borrower_members_set (borrower, members, 3, 3);
  assert_true (sgr_quota_borrower_tick (borrower, now_us, &request) != 0);
  reply (borrower, now_us, 0, 0);
  now_us += SEC / 4;
  assert_true (sgr_quota_borrower_tick (borrower, now_us, &request) != 0);
  assert_int_equal (request.use_count, 1);
  assert_int_equal (request.uses[0].wanted, 2);
  reply (borrower, now_us, 2, 1);
  assert_true (call (borrower, now_us, &credit));
  assert_true (call (borrower, now_us, &credit));
  assert_int_equal (credit.kind, SGR_QUOTA_TOKEN);
  assert_false (call (borrower, now_us, &credit));
  sgr_quota_borrower_destroy (borrower);
}

/* Guards against callers that return all at once, and against a log line for each refused call. */
static void
test_retry_after_is_spread (void **state)
{
  sgr_quota_borrower_t *borrower = borrower_create (0);
  sgr_quota_credit_t credit;
  uint32_t before = 0;
  uint32_t retry_ms = 0;

  refusing_changes = 0;
  for (int i = 0; i < 9; i++)
    {
      assert_false (sgr_quota_borrower_call_start (borrower, START, 0, &credit, &retry_ms));
      assert_true (retry_ms > before);
      before = retry_ms;
    }
  assert_true (retry_ms <= 10000);
  assert_int_equal (refusing_changes, 1);
  sgr_quota_borrower_destroy (borrower);
}

/* Time after its start at which a node of a fleet attaches first. */
static uint64_t
first_attachment_us (size_t fleet)
{
  sgr_quota_borrower_t *borrower = borrower_create (0);
  uint64_t now_us = START;

  sgr_quota_borrower_members_set (borrower, members, 3, fleet);
  request.lender_time_us = 0;
  while (now_us < START + 60 * SEC)
    {
      now_us += 10 * MS;
      if (sgr_quota_borrower_tick (borrower, now_us, &request) == 0)
        continue;
      if (request.lender_time_us != 0)
        break;
      reply (borrower, now_us, 0, 0);
    }
  sgr_quota_borrower_destroy (borrower);
  return now_us - START;
}

/* Guards against a restarted node that counts at a second lender while its former process is still
   attached to one, which lasts longer in a large fleet, and against a longer wait than that. */
static void
test_attaches_after_former_lease (void **state)
{
  static const size_t fleets[] = { 3, 80, 250, 500, 2600 };

  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      uint64_t lease_us = sgr_quota_lease_us (fleets[i]);
      uint64_t first_us = first_attachment_us (fleets[i]);

      assert_true (first_us > lease_us);
      assert_true (first_us <= lease_us + lease_us / 64 + 300 * MS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_idle_without_limits),
    cmocka_unit_test (test_reserve),
    cmocka_unit_test (test_tokens_end),
    cmocka_unit_test (test_lease_ends_before_next),
    cmocka_unit_test (test_tokens_in_advance),
    cmocka_unit_test (test_retry_after_is_spread),
    cmocka_unit_test (test_attaches_after_former_lease),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
