#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "confirmation.h"

/* Confirmations that an instance runs: only an announcement that was sent after an answer of the
   process counts. */

#define PORTS 14
#define FIRST_PORT 7621
/* Longest time for which an announcement is late. */
#define LATE_MAX_US (10 * SGR_USEC_PER_SEC)

static sgr_confirmation_t
confirmation_make (void)
{
  sgr_confirmation_t confirmation = { 0 };

  for (unsigned i = 0; i < PORTS; i++)
    sgr_confirmation_port_add (&confirmation, (uint16_t)(FIRST_PORT + i));
  return confirmation;
}

static sgr_announcement_t
announcement_make (const char *instance, uint64_t started_ms, uint64_t sequence, uint16_t port)
{
  sgr_announcement_t announcement
      = { .started_ms = started_ms, .sequence = sequence, .arrival_port = port };

  snprintf (announcement.local.instance, sizeof announcement.local.instance, "%s", instance);
  return announcement;
}

/* Guards against an announcement that counts although no answer of the process came before it. */
static void
test_unasked (void **state)
{
  sgr_confirmation_t confirmation = confirmation_make ();
  sgr_announcement_t first = announcement_make ("i-1", 1000, 5, 7600);
  size_t index = sgr_confirmation_ask (&confirmation, &first, 3 * SGR_USEC_PER_SEC);
  uint16_t port = confirmation.ports[index];
  const sgr_announcement_t others[] = {
    announcement_make ("i-1", 1000, 6, 7600),
    announcement_make ("i-1", 1000, 6, (uint16_t)(port + 1)),
    announcement_make ("i-1", 1000, 5, port),
    announcement_make ("i-1", 1000, 4, port),
    announcement_make ("i-1", 1001, 6, port),
    announcement_make ("i-2", 1000, 6, port),
  };
  sgr_announcement_t later = announcement_make ("i-1", 1000, 6, port);

  for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
    assert_false (sgr_confirmation_is_given (&confirmation, &others[i]));
  assert_true (sgr_confirmation_is_given (&confirmation, &later));
}

/* Guards against late announcements whose answers lower the sequence number that counts. */
static void
test_late_announcements_are_asked (void **state)
{
  sgr_confirmation_t confirmation = confirmation_make ();
  sgr_announcement_t newer = announcement_make ("i-1", 1000, 9, 7600);
  sgr_announcement_t older = announcement_make ("i-1", 1000, 5, 7600);
  size_t index = sgr_confirmation_ask (&confirmation, &newer, 0);
  sgr_announcement_t late = announcement_make ("i-1", 1000, 8, confirmation.ports[index]);

  assert_int_equal (sgr_confirmation_ask (&confirmation, &older, 0), index);
  assert_false (sgr_confirmation_is_given (&confirmation, &late));
}

/* Guards against a question to one instance that counts for another one. */
static void
test_other_instance (void **state)
{
  sgr_confirmation_t confirmation = confirmation_make ();
  sgr_announcement_t first = announcement_make ("i-1", 1000, 1, 7600);
  sgr_announcement_t second = announcement_make ("i-2", 2000, 1, 7600);
  size_t index = sgr_confirmation_ask (&confirmation, &first, 0);
  sgr_announcement_t answer = announcement_make ("i-2", 2000, 2, confirmation.ports[index]);

  sgr_confirmation_ask (&confirmation, &second, SGR_USEC_PER_SEC);
  assert_false (sgr_confirmation_is_given (&confirmation, &answer));
}

/* Guards against an announcement that was sent to an address of a former process and arrives late
   at one of the present process. */
static void
test_ports_of_former_process (void **state)
{
  sgr_announcement_t announcement = announcement_make ("i-1", 1000, 1, 7600);

  for (uint64_t asked_us = 0; asked_us < PORTS * SGR_USEC_PER_SEC; asked_us += 130000)
    {
      sgr_confirmation_t former = confirmation_make ();
      size_t index = sgr_confirmation_ask (&former, &announcement, asked_us);

      /* The target answers no sooner than after a second. */
      for (uint64_t after_us = SGR_USEC_PER_SEC; after_us < LATE_MAX_US; after_us += 70000)
        {
          sgr_confirmation_t present = confirmation_make ();

          assert_int_not_equal (sgr_confirmation_ask (&present, &announcement, asked_us + after_us),
                                index);
        }
    }
}

/* Guards against a port out of bounds where the settings name none, or too many. */
static void
test_number_of_ports (void **state)
{
  sgr_announcement_t announcement = announcement_make ("i-1", 1000, 1, 7600);
  sgr_confirmation_t confirmation = { 0 };

  assert_true (sgr_confirmation_ask (&confirmation, &announcement, 0) == SIZE_MAX);
  assert_false (sgr_confirmation_is_given (&confirmation, &announcement));
  for (unsigned i = 0; i < 2 * SGR_CONFIRMATION_PORTS_MAX; i++)
    sgr_confirmation_port_add (&confirmation, (uint16_t)(1 + i));
  assert_int_equal (confirmation.count, SGR_CONFIRMATION_PORTS_MAX);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unasked),         cmocka_unit_test (test_late_announcements_are_asked),
    cmocka_unit_test (test_other_instance),  cmocka_unit_test (test_ports_of_former_process),
    cmocka_unit_test (test_number_of_ports),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
