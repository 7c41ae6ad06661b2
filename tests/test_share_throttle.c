#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "rng.h"
#include "share_throttle.h"

#define MS SGR_USEC_PER_MSEC

/* Sends @per_ms calls in each of @count milliseconds, of which gates take at most @taken_per_ms and
   refuse the others. Returns the calls that were let through. */
static uint32_t
calls_send (sgr_share_throttle_t *throttle, uint64_t *now_us, uint64_t key, uint32_t count,
            uint32_t per_ms, uint32_t taken_per_ms)
{
  sgr_rng_t rng;
  uint32_t sent = 0;

  sgr_rng_seed (&rng, 1);
  for (uint32_t ms = 0; ms < count; ms++, *now_us += MS)
    {
      uint32_t taken = 0;

      for (uint32_t i = 0; i < per_ms; i++)
        {
          if (!sgr_share_throttle_admit (throttle, *now_us, key, sgr_rng_uniform (&rng)))
            continue;
          sent++;
          if (++taken > taken_per_ms)
            sgr_share_throttle_refused (throttle, *now_us, key);
        }
    }
  return sent;
}

/* Guards against an account at its share that is refused, also with single refusals and beside an
   account that is refused; against an excess that is sent on; against fewer calls than the gates
   take; and against refusals that are remembered for more than a second. */
static void
test_loads (void **state)
{
  static const struct
  {
    uint32_t per_ms;
    uint32_t taken_per_ms;
    uint32_t sent_min;
    uint32_t sent_max;
  } cases[] = {
    { 4, 4, 8000, 8000 },    { 4, 3, 8000, 8000 }, { 10, 4, 10500, 13500 },
    { 32, 4, 10500, 13500 }, { 32, 0, 8, 64 },
  };
  uint64_t key = sgr_share_throttle_key ("a", 3);
  uint64_t other = sgr_share_throttle_key ("a", 4);

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_share_throttle_t *throttle = sgr_share_throttle_create ();
      uint64_t now_us = 12345678;
      uint32_t sent
          = calls_send (throttle, &now_us, key, 2000, cases[i].per_ms, cases[i].taken_per_ms);

      assert_in_range (sent, cases[i].sent_min, cases[i].sent_max);
      assert_int_equal (calls_send (throttle, &now_us, other, 10, 100, 100), 1000);
      now_us += SGR_SHARE_THROTTLE_WINDOW_US;
      assert_int_equal (calls_send (throttle, &now_us, key, 10, 100, 100), 1000);
      sgr_share_throttle_destroy (throttle);
    }
}

/* Guards against counts that are mixed between accounts when there are more of them than records:
   an account without a record has to be let through. */
static void
test_more_accounts_than_records (void **state)
{
  sgr_share_throttle_t *throttle = sgr_share_throttle_create ();
  uint64_t now_us = 0;

  for (uint32_t rank = 0; rank < 1000; rank++)
    for (uint32_t i = 0; i < 20; i++)
      if (sgr_share_throttle_admit (throttle, now_us, sgr_share_throttle_key ("a", rank), 0.99))
        sgr_share_throttle_refused (throttle, now_us, sgr_share_throttle_key ("a", rank));
  for (uint32_t i = 0; i < 1000; i++)
    assert_true (
        sgr_share_throttle_admit (throttle, now_us, sgr_share_throttle_key ("b", i), 0.99));
  sgr_share_throttle_destroy (throttle);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_loads),
    cmocka_unit_test (test_more_accounts_than_records),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
