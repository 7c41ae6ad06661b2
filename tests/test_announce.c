#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "announce.h"

/* Announcements of targets as JSON: an invalid one is rejected with an error that names the key at
   fault, and changes nothing; a valid one registers the target until it expires or leaves. */

/* Time until a registration expires. */
#define TTL_US 1000
#define ERROR_SIZE 200

static sgr_result_t
announce_put (sgr_announce_state_t *announce, uint64_t now_us, const char *body, char *error,
              bool *is_changed)
{
  sgr_buffer_t text = { 0 };
  sgr_announcement_t announcement;
  sgr_result_t result = sgr_announcement_read (&announcement, body, strlen (body), &text);

  *is_changed = false;
  if (result == SGR_OK)
    result = sgr_announce_apply (announce, now_us, TTL_US, &announcement, is_changed);
  sgr_buffer_append (&text, "", 1);
  strncpy (error, (const char *)text.bytes, ERROR_SIZE - 1);
  error[ERROR_SIZE - 1] = '\0';
  sgr_buffer_release (&text);
  return result;
}

static void
test_bad_bodies (void **state)
{
  static const struct
  {
    const char *body;
    const char *key;
  } cases[] = {
    { "", "body" },
    { "[]", "body" },
    { "{\"service\":\"a\"", "body" },
    { "{\"service\":\"a\",\"service\":\"b\",\"address\":\"1.2.3.4:5\",\"slots\":1}", "body" },
    { "{}", "service" },
    { "{\"service\":\"\",\"address\":\"1.2.3.4:5\",\"slots\":1}", "service" },
    { "{\"service\":\"a b\",\"address\":\"1.2.3.4:5\",\"slots\":1}", "service" },
    { "{\"service\":7,\"address\":\"1.2.3.4:5\",\"slots\":1}", "service" },
    { "{\"service\":\"a\",\"slots\":1}", "address" },
    { "{\"service\":\"a\",\"address\":\"host:5\",\"slots\":1}", "address" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4\",\"slots\":1}", "address" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:0\",\"slots\":1}", "address" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:65536\",\"slots\":1}", "address" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\"}", "slots" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":0}", "slots" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":-1}", "slots" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1.5}", "slots" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":\"1\"}", "slots" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":5000}", "slots" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,\"connections\":0}",
      "connections" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,\"state\":\"left\"}", "state" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,\"state\":3}", "state" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,\"weight\":3}", "weight" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,\"cold_ms\":-1}", "cold_ms" },
    { "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,\"cold_ms\":\"1\"}", "cold_ms" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_announce_state_t announce = { 0 };
      bool is_changed;
      char error[ERROR_SIZE];

      assert_int_equal (announce_put (&announce, 1, cases[i].body, error, &is_changed),
                        SGR_ERR_INVALID);
      assert_false (is_changed);
      assert_int_equal (announce.local.service[0], '\0');
      if (strncmp (error, cases[i].key, strlen (cases[i].key)) != 0)
        fail_msg ("body %s: error \"%s\" does not begin with %s", cases[i].body, error,
                  cases[i].key);
    }
}

#define VALID_BODY "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":4}"

static void
test_registration_lifecycle (void **state)
{
  sgr_announce_state_t announce = { 0 };
  bool is_changed;
  char error[ERROR_SIZE];

  assert_int_equal (announce_put (&announce, 100, VALID_BODY, error, &is_changed), SGR_OK);
  assert_true (is_changed);
  assert_int_equal (announce.local.state, SGR_TARGET_SERVING);
  assert_int_equal (announce.local.connections, 240); /* the default */
  assert_int_equal (announce_put (&announce, 600, VALID_BODY, error, &is_changed), SGR_OK);
  assert_false (is_changed);
  /* Another target must not replace a registered one. */
  assert_int_equal (announce_put (&announce, 700,
                                  "{\"service\":\"a\",\"address\":\"1.2.3.4:6\",\"slots\":4}",
                                  error, &is_changed),
                    SGR_ERR_CONFLICT);
  assert_int_equal (announce.local.address.port, 5);
  /* Expires TTL_US after the renewal at 600. */
  assert_false (sgr_announce_expire (&announce, 1599));
  assert_true (sgr_announce_expire (&announce, 1600));
  assert_false (sgr_announce_expire (&announce, 1700));
  assert_int_equal (announce_put (&announce, 1800,
                                  "{\"service\":\"b\",\"address\":\"1.2.3.4:6\",\"slots\":4,"
                                  "\"state\":\"warming\",\"connections\":9}",
                                  error, &is_changed),
                    SGR_OK);
  assert_true (is_changed);
  assert_int_equal (announce.local.state, SGR_TARGET_WARMING);
  assert_true (sgr_announce_leave (&announce));
  assert_false (sgr_announce_leave (&announce));
}

/* Guards against a target that is acknowledged and never used: it started after the clock of its
   host was set back, and the target before it has expired. */
static void
test_start_after_clock_was_set_back (void **state)
{
  sgr_announce_state_t announce = { 0 };
  char error[ERROR_SIZE];
  bool is_changed;

  assert_int_equal (announce_put (&announce, 1,
                                  "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,"
                                  "\"instance\":\"i-1\",\"started_ms\":1000000,\"sequence\":9}",
                                  error, &is_changed),
                    SGR_OK);
  assert_true (sgr_announce_expire (&announce, 2 + TTL_US));
  assert_int_equal (announce_put (&announce, 3 + TTL_US,
                                  "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,"
                                  "\"instance\":\"i-2\",\"started_ms\":997000,\"sequence\":3}",
                                  error, &is_changed),
                    SGR_OK);
  assert_string_equal (announce.local.instance, "i-2");
}

static sgr_result_t
instance_announce (sgr_announce_state_t *announce, uint64_t now_us, const char *instance,
                   const char *state, unsigned started_ms, unsigned sequence)
{
  char body[256], error[ERROR_SIZE];
  bool is_changed;

  snprintf (body, sizeof body,
            "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":1,\"instance\":\"%s\","
            "\"state\":\"%s\",\"started_ms\":%u,\"sequence\":%u}",
            instance, state, started_ms, sequence);
  return announce_put (announce, now_us, body, error, &is_changed);
}

/* Guards against a target that serves again because of a late announcement: it has left, and
   another instance that was never registered has left after it. */
static void
test_two_leave (void **state)
{
  sgr_announce_state_t announce = { 0 };

  instance_announce (&announce, 1, "i-1", "serving", 1000, 1);
  assert_true (sgr_announce_instance_leave (&announce, "i-1", 1000, 5000));
  assert_false (sgr_announce_instance_leave (&announce, "i-0", 900, 5000));
  assert_int_equal (instance_announce (&announce, 2, "i-1", "serving", 1000, 2), SGR_OK);
  assert_int_equal (announce.local.service[0], '\0');
}

/* Guards against an acknowledged leave that is forgotten because the instance was not registered
   and gave no start. */
static void
test_leave_without_start (void **state)
{
  sgr_announce_state_t announce = { 0 };

  assert_false (sgr_announce_instance_leave (&announce, "i-1", 0, 5000));
  instance_announce (&announce, 1, "i-1", "serving", 4000, 9);
  assert_int_equal (announce.local.service[0], '\0');
  instance_announce (&announce, 1, "i-1", "serving", 6000, 1);
  assert_string_equal (announce.local.service, "a");
}

/* Guards against a target that serves again after its drain: its registration has expired, and a
   later announcement says that it serves. */
static void
test_drain_outlasts_registration (void **state)
{
  sgr_announce_state_t announce = { 0 };

  instance_announce (&announce, 1, "i-1", "serving", 1000, 1);
  instance_announce (&announce, 1, "i-1", "draining", 1000, 2);
  assert_true (sgr_announce_expire (&announce, 1 + TTL_US));
  instance_announce (&announce, 2 + TTL_US, "i-1", "serving", 1000, 3);
  assert_int_equal (announce.local.state, SGR_TARGET_DRAINING);
}

/* Guards against a registered target that goes on serving when the store tells that it drains. */
static void
test_departures_merge (void **state)
{
  sgr_announce_state_t announce = { 0 };
  sgr_departures_t departures
      = { .items = { { .instance = "i-1", .started_ms = 1000 } }, .count = 1 };

  instance_announce (&announce, 1, "i-1", "serving", 1000, 1);
  assert_true (sgr_announce_departures_merge (&announce, &departures));
  assert_int_equal (announce.local.state, SGR_TARGET_DRAINING);
  assert_false (sgr_announce_departures_merge (&announce, &departures));
}

/* Guards against a cold time that does not reach the gate, a snapshot for each announcement, and a
   cold time of a former instance that is taken over. */
static void
test_cold_time (void **state)
{
#define COLD_BODY(started, cold)                                                                   \
  "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"slots\":4,\"instance\":\"i\",\"started_"         \
  "ms\":" started cold "}"
  static const struct
  {
    uint64_t at_ms;
    const char *body;
    bool is_changed;
    uint64_t registered_ms;
    uint64_t stated_ms;
    uint64_t until_ms;
  } steps[] = {
    { 1000, COLD_BODY ("1", ""), true, 1000, 0, 0 },
    { 1100, COLD_BODY ("1", ",\"cold_ms\":0"), true, 1000, 1100, 1100 },
    { 1200, COLD_BODY ("1", ",\"cold_ms\":0"), false, 1000, 1100, 1100 },
    { 1300, COLD_BODY ("1", ",\"cold_ms\":2000"), true, 1000, 1300, 3300 },
    { 1400, COLD_BODY ("1", ",\"cold_ms\":1990"), false, 1000, 1300, 3300 },
    { 1500, COLD_BODY ("1", ",\"cold_ms\":1950"), true, 1000, 1500, 3450 },
    { 1600, COLD_BODY ("1", ",\"cold_ms\":0"), false, 1000, 1500, 3450 },
    { 1700, COLD_BODY ("2", ""), true, 1700, 0, 0 },
    { 1800, COLD_BODY ("2", ",\"cold_ms\":900"), true, 1700, 1800, 2700 },
  };
  sgr_announce_state_t announce = { 0 };

  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      bool is_changed;
      char error[ERROR_SIZE];

      assert_int_equal (announce_put (&announce, steps[i].at_ms * SGR_USEC_PER_MSEC, steps[i].body,
                                      error, &is_changed),
                        SGR_OK);
      if (is_changed != steps[i].is_changed
          || announce.local.registered_us != steps[i].registered_ms * SGR_USEC_PER_MSEC
          || announce.local.cold_stated_us != steps[i].stated_ms * SGR_USEC_PER_MSEC
          || announce.local.cold_until_us != steps[i].until_ms * SGR_USEC_PER_MSEC)
        fail_msg ("step %zu: changed %d, registered %lu, stated %lu, until %lu", i, is_changed,
                  announce.local.registered_us, announce.local.cold_stated_us,
                  announce.local.cold_until_us);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_bad_bodies),
                                      cmocka_unit_test (test_registration_lifecycle),
                                      cmocka_unit_test (test_start_after_clock_was_set_back),
                                      cmocka_unit_test (test_two_leave),
                                      cmocka_unit_test (test_leave_without_start),
                                      cmocka_unit_test (test_drain_outlasts_registration),
                                      cmocka_unit_test (test_departures_merge),
                                      cmocka_unit_test (test_cold_time) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
