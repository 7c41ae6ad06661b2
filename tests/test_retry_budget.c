#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "retry_budget.h"

/* Guards against more retries than the configured percentage of successful calls, and against
   tokens that add up without a limit. */
static void
test_budget_follows_successes (void **state)
{
  static const struct
  {
    uint32_t percent;
    uint32_t successes;
    uint32_t retries;
  } cases[] = {
    { 0, 1000, 0 }, { 10, 0, 3 },       { 10, 100, 13 },
    { 10, 99, 12 }, { 10, 100000, 20 }, { 100, 5, 8 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_retry_budget_t budget;
      uint32_t taken = 0;

      sgr_retry_budget_init (&budget, cases[i].percent);
      for (uint32_t n = 0; n < cases[i].successes; n++)
        sgr_retry_budget_success_record (&budget);
      while (sgr_retry_budget_take (&budget))
        taken++;
      assert_int_equal (taken, cases[i].retries);
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
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_budget_follows_successes),
                                      cmocka_unit_test (test_chain_parse_table),
                                      cmocka_unit_test (test_call_chain_shares_retries) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
