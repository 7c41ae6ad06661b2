#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "departures.h"

/* Tests the table of instances that drain or have left, and its text. */

static bool
departure_add (sgr_departures_t *departures, const char *instance, uint64_t started_ms,
               bool has_left)
{
  sgr_departure_t departure = { .started_ms = started_ms, .has_left = has_left };

  snprintf (departure.instance, sizeof departure.instance, "%s", instance);
  return sgr_departures_add (departures, &departure);
}

/* Guards against a departure that is forgotten or taken back, and against one that is applied to a
   later instance of the same name. */
static void
test_find (void **state)
{
  sgr_departures_t departures = { 0 };

  assert_true (departure_add (&departures, "a", 100, false));
  assert_false (departure_add (&departures, "a", 100, false));
  assert_false (departure_add (&departures, "a", 90, false));
  assert_false (departure_add (&departures, "", 100, true));
  assert_non_null (sgr_departures_find (&departures, "a", 100));
  assert_non_null (sgr_departures_find (&departures, "a", 90));
  assert_null (sgr_departures_find (&departures, "a", 101));
  assert_null (sgr_departures_find (&departures, "ab", 100));
  assert_null (sgr_departures_find (&departures, "", 100));
  assert_true (departure_add (&departures, "a", 100, true));
  assert_false (departure_add (&departures, "a", 100, false));
  assert_true (sgr_departures_find (&departures, "a", 100)->has_left);
  assert_int_equal (departures.count, 1);
}

/* Guards against a table that grows without bound, or drops a recent departure. */
static void
test_oldest_is_replaced (void **state)
{
  sgr_departures_t departures = { 0 };

  for (uint64_t i = 0; i <= SGR_DEPARTURES_MAX; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "i-%u", (unsigned)i);
      assert_true (departure_add (&departures, name, 100 + i, true));
    }
  assert_int_equal (departures.count, SGR_DEPARTURES_MAX);
  assert_null (sgr_departures_find (&departures, "i-0", 100));
  assert_non_null (sgr_departures_find (&departures, "i-1", 101));
}

/* Guards against a record in the store that loses a departure when it is written and read. */
static void
test_text (void **state)
{
  sgr_departures_t departures = { 0 }, read, merged = { 0 };
  char *text;

  departure_add (&departures, "a", 100, false);
  departure_add (&departures, "b", 200, true);
  departure_add (&departures, "without-start", 0, true);
  text = sgr_departures_write (&departures);
  assert_int_equal (sgr_departures_read (&read, text, strlen (text)), SGR_OK);
  free (text);
  assert_int_equal (read.count, 2);
  assert_true (sgr_departures_are_in (&departures, &read));
  assert_false (sgr_departures_find (&read, "a", 100)->has_left);
  assert_true (sgr_departures_find (&read, "b", 200)->has_left);
  departure_add (&merged, "a", 100, true);
  departure_add (&merged, "c", 300, false);
  assert_false (sgr_departures_are_in (&merged, &read));
  sgr_departures_merge (&merged, &read);
  assert_int_equal (merged.count, 3);
  assert_true (sgr_departures_find (&merged, "a", 100)->has_left);
  assert_string_equal (merged.items[0].instance, "b");
}

/* Guards against an odd entry of another writer that hides the others. */
static void
test_odd_entries (void **state)
{
  static const char *const refused[]
      = { "", "x", "[]", "{}", "{\"departures\":3}", "{\"departures\"" };
  static const char text[]
      = "{\"departures\":[3,{\"instance\":\"a b\",\"started_ms\":1},{\"instance\":\"a\"},"
        "{\"instance\":\"a\",\"started_ms\":-1},{\"instance\":\"a\",\"started_ms\":1e300},"
        "[[[[]]]],{\"instance\":\"good\",\"started_ms\":7,\"more\":[1]}]}";
  sgr_departures_t departures;

  for (size_t i = 0; i < sizeof refused / sizeof refused[0]; i++)
    assert_int_equal (sgr_departures_read (&departures, refused[i], strlen (refused[i])),
                      SGR_ERR_INVALID);
  assert_int_equal (sgr_departures_read (&departures, text, strlen (text)), SGR_OK);
  assert_int_equal (departures.count, 1);
  assert_non_null (sgr_departures_find (&departures, "good", 7));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_find), cmocka_unit_test (test_oldest_is_replaced),
          cmocka_unit_test (test_text), cmocka_unit_test (test_odd_entries) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
