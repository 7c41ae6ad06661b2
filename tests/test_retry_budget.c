#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "retry_budget.h"
#include "rng.h"

#define SEC SGR_USEC_PER_SEC
#define FLEET_MAX 65
#define MODEL_SECONDS 60
/* Bound that the model checks: a share of the requests in a window plus an allowance for the fleet.
 */
#define BOUND_PERCENT 20
#define BOUND_EXTRA 170

static uint32_t
retries_take_all (sgr_retry_budget_t *budget, uint64_t now_us, sgr_retry_kind_t kind)
{
  uint32_t taken = 0;

  while (sgr_retry_budget_take (budget, now_us, kind))
    taken++;
  return taken;
}

/* Guards against more retries than the configured percentage of requests, against retries that are
   denied because nothing succeeds, and against error answers that use up the retries of requests
   that did not run. */
static void
test_budget_follows_requests (void **state)
{
  static const struct
  {
    uint32_t percent;
    uint32_t requests;
    uint32_t retries;
    uint32_t error_retries;
  } cases[] = {
    { 0, 1000, 0, 0 },           { 10, 0, 1, 0 },  { 10, 100, 11, 3 }, { 10, 99, 10, 3 },
    { 10, 100000, 10001, 3333 }, { 100, 5, 6, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_retry_budget_t budget;

      for (int is_error = 0; is_error <= 1; is_error++)
        {
          sgr_retry_budget_init (&budget, cases[i].percent);
          for (uint32_t n = 0; n < cases[i].requests; n++)
            sgr_retry_budget_request_record (&budget, SEC);
          assert_int_equal (
              retries_take_all (&budget, SEC,
                                is_error ? SGR_RETRY_ERROR_ANSWER : SGR_RETRY_FAILED_ATTEMPT),
              is_error ? cases[i].error_retries : cases[i].retries);
        }
    }
}

/* Guards against retries that are saved up in quiet times and made all at once. */
static void
test_requests_leave_the_window (void **state)
{
  sgr_retry_budget_t budget;

  sgr_retry_budget_init (&budget, 10);
  for (int n = 0; n < 1000; n++)
    sgr_retry_budget_request_record (&budget, 5 * SEC);
  assert_int_equal (retries_take_all (&budget, 14 * SEC, SGR_RETRY_FAILED_ATTEMPT), 101);
  assert_int_equal (retries_take_all (&budget, 15 * SEC, SGR_RETRY_FAILED_ATTEMPT), 0);
  assert_int_equal (retries_take_all (&budget, 24 * SEC, SGR_RETRY_FAILED_ATTEMPT), 1);
  assert_int_equal (retries_take_all (&budget, 1000 * SEC, SGR_RETRY_FAILED_ATTEMPT), 1);
}

/* Load pattern: 65 entries with very unequal, bursty load; the targets reject a share of the
   requests, up to nearly all of them. Guards against a fleet whose entries, each within its own
   share, exceed the share of all requests in some window, and against a budget that stays unused
   while most requests are rejected. */
static void
test_fleet_stays_within_share (void **state)
{
  for (int reject_percent = 10; reject_percent <= 90; reject_percent += 40)
    {
      sgr_retry_budget_t budgets[FLEET_MAX];
      uint64_t requests[MODEL_SECONDS] = { 0 };
      uint64_t retries[MODEL_SECONDS] = { 0 };
      uint64_t total_requests = 0, total_retries = 0;
      sgr_rng_t rng;

      sgr_rng_seed (&rng, (uint64_t)reject_percent);
      for (int node = 0; node < FLEET_MAX; node++)
        sgr_retry_budget_init (&budgets[node], 12);
      for (uint64_t ms = 0; ms < MODEL_SECONDS * 1000; ms += 10)
        for (uint64_t node = 0; node < FLEET_MAX; node++)
          {
            bool is_burst = (ms / 1000 + node) % 17 < 3;
            double rate_per_10_ms = (node % 8 == 0 ? 0.8 : 0.05) * (is_burst ? 3 : 1);

            if (sgr_rng_uniform (&rng) * 3 >= rate_per_10_ms)
              continue;
            sgr_retry_budget_request_record (&budgets[node], ms * 1000);
            requests[ms / 1000]++;
            if (sgr_rng_below (&rng, 100) < (uint64_t)reject_percent
                && sgr_retry_budget_take (&budgets[node], ms * 1000, SGR_RETRY_FAILED_ATTEMPT))
              retries[ms / 1000]++;
          }
      for (int second = 0; second + 10 <= MODEL_SECONDS; second++)
        {
          uint64_t window_requests = 0, window_retries = 0;

          for (int i = second; i < second + 10; i++)
            {
              window_requests += requests[i];
              window_retries += retries[i];
            }
          assert_true (window_retries <= window_requests * BOUND_PERCENT / 100 + BOUND_EXTRA);
          total_requests += window_requests;
          total_retries += window_retries;
        }
      assert_true (total_retries * 100 >= total_requests * 9);
    }
}

/* Guards against a caller that allows itself more retries, or hides a loop of calls, by a wrong or
   malformed header. */
static void
test_chain_parse_table (void **state)
{
  static const struct
  {
    const char *depth;
    const char *retries;
    sgr_result_t result;
    sgr_retry_chain_t chain;
  } cases[] = {
    { NULL, NULL, SGR_OK, { 0, SGR_RETRY_CHAIN_RETRIES_MAX } },
    { "0", NULL, SGR_OK, { 0, SGR_RETRY_CHAIN_RETRIES_MAX } },
    { "3", NULL, SGR_OK, { 3, 0 } },
    { "3", "1", SGR_OK, { 3, 1 } },
    { NULL, "0", SGR_OK, { 0, 0 } },
    { "21", "9999", SGR_OK, { 21, SGR_RETRY_CHAIN_RETRIES_MAX } },
    { "32", "1", SGR_OK, { 32, 1 } },
    { "33", "1", SGR_ERR_LIMIT, { 0 } },
    { "", "1", SGR_ERR_INVALID, { 0 } },
    { "-1", "1", SGR_ERR_INVALID, { 0 } },
    { "1", "+1", SGR_ERR_INVALID, { 0 } },
    { "1", "1 ", SGR_ERR_INVALID, { 0 } },
    { "1", "0x1", SGR_ERR_INVALID, { 0 } },
    { "4294967297", "1", SGR_ERR_INVALID, { 0 } },
    { "1", "99999", SGR_ERR_INVALID, { 0 } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const char *depth = cases[i].depth;
      const char *retries = cases[i].retries;
      sgr_retry_chain_t chain = { 0 };

      assert_int_equal (sgr_retry_chain_parse (depth, depth != NULL ? strlen (depth) : 0, retries,
                                               retries != NULL ? strlen (retries) : 0, &chain),
                        cases[i].result);
      assert_int_equal (chain.depth, cases[i].chain.depth);
      assert_int_equal (chain.retries, cases[i].chain.retries);
    }
}

/* Guards against retries that multiply along a call chain: each retry has to reduce the number that
   calls downstream may make. */
static void
test_call_chain_shares_retries (void **state)
{
  sgr_retry_chain_t root = { .depth = 0, .retries = 2 };
  sgr_retry_chain_t downstream = sgr_retry_chain_downstream (root, 0);

  assert_int_equal (downstream.depth, 1);
  assert_int_equal (downstream.retries, 2);
  assert_int_equal (sgr_retry_chain_downstream (root, 1).retries, 1);
  assert_int_equal (sgr_retry_chain_downstream (root, 3).retries, 0);
  assert_true (sgr_retry_chain_allows (root, 1, SGR_RETRY_DOWNSTREAM_UNSPECIFIED));
  assert_false (sgr_retry_chain_allows (root, 2, SGR_RETRY_DOWNSTREAM_NO));
  assert_false (sgr_retry_chain_allows (root, 0, SGR_RETRY_DOWNSTREAM_YES));
  assert_int_equal (sgr_retry_downstream_parse ("yes", 3), SGR_RETRY_DOWNSTREAM_YES);
  assert_int_equal (sgr_retry_downstream_parse ("no", 2), SGR_RETRY_DOWNSTREAM_NO);
  assert_int_equal (sgr_retry_downstream_parse ("YES", 3), SGR_RETRY_DOWNSTREAM_UNSPECIFIED);
  assert_int_equal (sgr_retry_downstream_parse ("", 0), SGR_RETRY_DOWNSTREAM_UNSPECIFIED);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_budget_follows_requests),
                                      cmocka_unit_test (test_requests_leave_the_window),
                                      cmocka_unit_test (test_fleet_stays_within_share),
                                      cmocka_unit_test (test_chain_parse_table),
                                      cmocka_unit_test (test_call_chain_shares_retries) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
