#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "fleet_size.h"

#define SECOND SGR_USEC_PER_SEC

/* Guards against quotas that are divided by the few nodes that the first peer knows when all nodes
   start for the first time, also if the store lists some of them already. */
static void
test_first_start_waits_for_rest (void **state)
{
  sgr_fleet_size_t fleet = { 0 };
  sgr_fleet_view_t view = { .records = 3, .alive = 3, .size = 3 };

  sgr_fleet_size_update (&fleet, 10 * SECOND, &view);
  view.has_synced = true;
  sgr_fleet_size_update (&fleet, 11 * SECOND, &view);
  assert_false (fleet.is_known);
  view = (sgr_fleet_view_t){ 80, 80, 80, 0, true };
  assert_int_equal (sgr_fleet_size_update (&fleet, 11 * SECOND + 1, &view), 13 * SECOND + 1);
  assert_false (fleet.is_known);
  assert_int_equal (sgr_fleet_size_update (&fleet, 13 * SECOND + 1, &view), 0);
  assert_true (fleet.is_known);
  assert_int_equal (fleet.size, 80);
}

/* Load pattern: nodes stop and return one after the other for 20 s after all were killed. Guards
   against a number that never rests, with which no node lends tokens during that time. */
static void
test_rolling_restart_does_not_delay (void **state)
{
  sgr_fleet_size_t fleet = { 0 };
  sgr_fleet_view_t view = { 91, 91, 91, 0, true };
  int step = 0;

  sgr_fleet_size_update (&fleet, 10 * SECOND, &view);
  while (!fleet.is_known && step < 40)
    {
      step++;
      view.size = 91 - (size_t)(step % 2);
      view.alive = view.size;
      sgr_fleet_size_update (&fleet, 10 * SECOND + (uint64_t)step * SECOND / 2, &view);
    }
  assert_int_equal (step, 4);
}

/* Load pattern: all nodes are killed and start again. Guards against 2 s and more without a token
   although the store lists all nodes, and against a number that is smaller than the list while
   records are missing. */
static void
test_restart_uses_list (void **state)
{
  sgr_fleet_size_t fleet = { 0 };
  sgr_fleet_view_t view = { 45, 45, 45, 91, false };

  sgr_fleet_size_update (&fleet, 10 * SECOND, &view);
  assert_false (fleet.is_known);
  view.records = view.alive = view.size = 46;
  sgr_fleet_size_update (&fleet, 10 * SECOND + 1, &view);
  assert_true (fleet.is_known);
  assert_int_equal (fleet.size, 91);
  /* The list holds nodes that are gone; they do not count for ever. */
  view = (sgr_fleet_view_t){ 80, 80, 80, 91, true };
  sgr_fleet_size_update (&fleet, 11 * SECOND, &view);
  assert_int_equal (fleet.size, 91);
  sgr_fleet_size_update (&fleet, 13 * SECOND, &view);
  assert_int_equal (fleet.size, 80);
}

/* Guards against a node on the smaller side of a partition that knows the list only, chooses itself
   as the lender, and divides before it knows the records of its side. */
static void
test_few_members_wait_for_rest (void **state)
{
  sgr_fleet_size_t fleet = { 0 };
  sgr_fleet_view_t view = { 20, 20, 20, 91, true };

  sgr_fleet_size_update (&fleet, 10 * SECOND, &view);
  sgr_fleet_size_update (&fleet, 12 * SECOND - 1, &view);
  assert_false (fleet.is_known);
  sgr_fleet_size_update (&fleet, 12 * SECOND, &view);
  assert_true (fleet.is_known);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_start_waits_for_rest),
    cmocka_unit_test (test_rolling_restart_does_not_delay),
    cmocka_unit_test (test_restart_uses_list),
    cmocka_unit_test (test_few_members_wait_for_rest),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
