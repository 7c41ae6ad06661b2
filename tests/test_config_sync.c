#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_sync.h"
#include "timer_heap.h"

#define MEMBER_COUNT 300
#define FAILURE_DOMAINS 15
#define SECOND_US SGR_USEC_PER_SEC

static sgr_member_t members[MEMBER_COUNT];

static int
setup (void **state)
{
  memset (members, 0, sizeof members);
  for (size_t i = 0; i < MEMBER_COUNT; i++)
    {
      snprintf (members[i].name, sizeof members[i].name, "n%zu", i);
      snprintf (members[i].failure_domain, sizeof members[i].failure_domain, "fd-%zu",
                i % FAILURE_DOMAINS);
      members[i].id = sgr_node_id_of (members[i].name);
      members[i].control_address = (sgr_address_t){ (uint32_t)i, 1 };
    }
  return 0;
}

/* Number of readers in a failure domain; @last receives the index of the last one. */
static size_t
readers_count (const char *failure_domain, size_t *last)
{
  size_t count = 0;

  for (size_t i = 0; i < MEMBER_COUNT; i++)
    if (members[i].status == SGR_MEMBER_ALIVE
        && strcmp (members[i].failure_domain, failure_domain) == 0
        && sgr_config_sync_is_elected_reader (members[i].id, failure_domain, 2, members,
                                              MEMBER_COUNT))
      {
        *last = i;
        count++;
      }
  return count;
}

static sgr_config_sync_t *
sync_create (size_t index)
{
  sgr_config_sync_options_t options;

  sgr_config_sync_options_init (&options);
  options.self = members[index].id;
  options.seed = 1;
  memcpy (options.failure_domain, members[index].failure_domain, SGR_NAME_MAX + 1);
  return sgr_config_sync_create (&options, 0);
}

/* Guards against a failure domain without a reader, and against a number of readers that grows with
   the number of nodes. */
static void
test_sync_two_readers_per_domain (void **state)
{
  size_t reader;

  setup (state);
  for (int domain = 0; domain < FAILURE_DOMAINS; domain++)
    {
      char name[16];

      snprintf (name, sizeof name, "fd-%d", domain);
      assert_int_equal (readers_count (name, &reader), 2);
      /* Another node replaces a reader that is dead. */
      members[reader].status = SGR_MEMBER_DEAD;
      assert_int_equal (readers_count (name, &reader), 2);
    }
  setup (state);
}

/* Whether an action is due and of this kind. */
static bool
next_action_is (sgr_config_sync_t *sync, uint64_t now_us, sgr_config_sync_action_kind_t kind)
{
  sgr_config_sync_action_t action;
  uint64_t next_us;

  return sgr_config_sync_next (sync, now_us, &action, &next_us) && action.kind == kind;
}

/* Load pattern: a whole fleet starts. Guards against a watch of each node that will not be a
   reader, and against a reader that reads a new version late after its start. */
static void
test_watch_waits_until_members_are_known (void **state)
{
  sgr_config_sync_options_t options;
  sgr_config_sync_t *sync;
  uint64_t now_us = 20 * SGR_USEC_PER_MSEC * 2;

  setup (state);
  sgr_config_sync_options_init (&options);
  options.self = members[0].id;
  options.start_delay_ms = 20;
  sync = sgr_config_sync_create (&options, 0);
  assert_true (next_action_is (sync, now_us, SGR_CONFIG_SYNC_WATCH));
  sgr_config_sync_watch_done (sync, now_us, true, (sgr_store_version_t){ 0, 5 }, 0);
  assert_false (
      next_action_is (sync, options.settle_ms * SGR_USEC_PER_MSEC - 1, SGR_CONFIG_SYNC_WATCH));
  now_us = 2 * options.settle_ms * SGR_USEC_PER_MSEC;
  assert_true (next_action_is (sync, now_us, SGR_CONFIG_SYNC_WATCH));
  sgr_config_sync_watch_done (sync, now_us, true, (sgr_store_version_t){ 0, 6 }, 0);
  assert_true (next_action_is (sync, now_us, SGR_CONFIG_SYNC_WATCH));
  sgr_config_sync_destroy (sync);
}

/* Load pattern: all readers of a fleet watch again after a change. Guards against a short watch of
   each of them, which would cost the store a call each; two in a failure domain are enough. */
static void
test_sync_two_short_watches_per_domain (void **state)
{
  size_t short_count = 0, reader_count = 0;

  setup (state);
  for (size_t i = 0; i < MEMBER_COUNT; i += FAILURE_DOMAINS)
    {
      sgr_config_sync_options_t options;
      sgr_config_sync_action_t action;
      sgr_config_sync_t *sync;
      uint64_t next_us;

      sgr_config_sync_options_init (&options);
      options.self = members[i].id;
      options.readers = 10;
      memcpy (options.failure_domain, members[i].failure_domain, SGR_NAME_MAX + 1);
      sync = sgr_config_sync_create (&options, 0);
      sgr_config_sync_members_update (sync, 0, members, MEMBER_COUNT);
      if (sgr_config_sync_next (sync, 10 * SECOND_US, &action, &next_us))
        {
          reader_count++;
          short_count += action.wait_ms <= options.watch_confirm_ms;
        }
      sgr_config_sync_destroy (sync);
    }
  assert_int_equal (reader_count, 10);
  assert_int_equal (short_count, 2);
}

/* Guards against readers that all wait in a watch which a silent store has accepted but does not
   answer, until the longest duration of a watch ends. A watch is long only after one that the store
   has answered without a new version. */
static void
test_sync_watch_is_short_until_answered (void **state)
{
  static const struct
  {
    const char *end; /* how the watch before ended */
    uint64_t version;
    bool ok;
    bool is_whole; /* it ended after its whole duration */
    bool is_next_long;
  } cases[] = {
    { "new version", 5, true, false, false },
    { "no new version", 5, true, true, true },
    { "again", 5, true, true, true },
    { "new version after a long watch", 6, true, true, false },
    { "no new version", 6, true, true, true },
    { "failed", 0, false, false, false },
    { "no new version", 6, true, true, true },
  };
  sgr_config_sync_t *sync = sync_create (0);
  sgr_config_sync_options_t options;
  sgr_config_sync_action_t action;
  uint64_t now_us = 10 * SECOND_US, next_us;

  sgr_config_sync_options_init (&options);
  assert_true (sgr_config_sync_next (sync, now_us, &action, &next_us));
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      if (cases[i].is_whole)
        now_us += action.wait_ms * SGR_USEC_PER_MSEC;
      sgr_config_sync_watch_done (sync, now_us, cases[i].ok,
                                  (sgr_store_version_t){ 0, cases[i].version }, 0);
      while (!sgr_config_sync_next (sync, now_us, &action, &next_us))
        now_us = next_us;
      assert_int_equal (action.kind, SGR_CONFIG_SYNC_WATCH);
      if ((action.wait_ms > options.watch_confirm_ms) != cases[i].is_next_long)
        fail_msg ("%zu, %s: next watch of %u ms", i, cases[i].end, action.wait_ms);
    }
  sgr_config_sync_destroy (sync);
}

/* Load pattern: versions every 60 ms. Guards against a call to the store for each of them, and
   against a delay of a version that comes alone. */
static void
test_sync_watch_interval (void **state)
{
  sgr_config_sync_options_t options;
  sgr_config_sync_action_t action;
  sgr_config_sync_t *sync;
  uint64_t now_us = 10 * SECOND_US, next_us, version = 1;
  uint32_t watches = 0;

  sgr_config_sync_options_init (&options);
  options.self = 1;
  options.watch_interval_ms = 200;
  sync = sgr_config_sync_create (&options, 0);
  assert_true (sgr_config_sync_next (sync, now_us, &action, &next_us));
  now_us += SECOND_US;
  sgr_config_sync_watch_done (sync, now_us, true, (sgr_store_version_t){ 0, version }, 0);
  assert_true (sgr_config_sync_next (sync, now_us, &action, &next_us));
  for (uint64_t end_us = now_us + 3 * SECOND_US; now_us < end_us; now_us += 60 * SGR_USEC_PER_MSEC)
    {
      sgr_config_sync_watch_done (sync, now_us, true, (sgr_store_version_t){ 0, ++version }, 0);
      while (!sgr_config_sync_next (sync, now_us, &action, &next_us))
        now_us = next_us;
      watches++;
    }
  assert_in_range (watches, 8, 15);
  sgr_config_sync_destroy (sync);
}

/* Guards against a node that is not a reader but calls the store, or keeps its watch open. */
static void
test_sync_role_follows_members (void **state)
{
  size_t reader;
  sgr_config_sync_t *sync;

  readers_count ("fd-0", &reader);
  sync = sync_create (reader);
  sgr_config_sync_members_update (sync, 0, members, MEMBER_COUNT);
  assert_false (next_action_is (sync, 1 * SECOND_US, SGR_CONFIG_SYNC_WATCH));
  assert_true (next_action_is (sync, 4 * SECOND_US, SGR_CONFIG_SYNC_WATCH));
  assert_false (next_action_is (sync, 5 * SECOND_US, SGR_CONFIG_SYNC_WATCH));
  sgr_config_sync_destroy (sync);
  for (size_t i = 0; i < MEMBER_COUNT; i += FAILURE_DOMAINS)
    if (!sgr_config_sync_is_elected_reader (members[i].id, "fd-0", 2, members, MEMBER_COUNT))
      {
        sync = sync_create (i);
        /* A node without known members is a reader. Once it knows all members, it cancels its
           watch. */
        assert_true (next_action_is (sync, 4 * SECOND_US, SGR_CONFIG_SYNC_WATCH));
        sgr_config_sync_members_update (sync, 5 * SECOND_US, members, MEMBER_COUNT);
        assert_true (next_action_is (sync, 5 * SECOND_US, SGR_CONFIG_SYNC_WATCH_CANCEL));
        assert_false (next_action_is (sync, 100 * SECOND_US, SGR_CONFIG_SYNC_WATCH));
        sgr_config_sync_destroy (sync);
        break;
      }
}

/* Guards against a tight loop of calls to a store that fails, or that answers at once without a new
   version, as it does with stale reads. */
static void
test_sync_backoff_table (void **state)
{
  static const struct
  {
    bool ok;
    uint64_t version;
    uint64_t retry_after_ms;
    uint64_t calls_max;
    uint64_t calls_min;
  } cases[] = {
    { false, 0, 0, 120, 30 },   /* the store does not answer */
    { true, 5, 0, 120, 30 },    /* the store answers at once; only the first answer is new */
    { false, 0, 60000, 16, 5 }, /* the store fails, and requests a delay of 60 s */
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_sync_t *sync = sync_create (0);
      uint64_t now_us = 0, next_us, calls = 0;
      sgr_config_sync_action_t action;

      while (now_us < 600 * SECOND_US)
        {
          while (sgr_config_sync_next (sync, now_us, &action, &next_us))
            {
              calls++;
              sgr_config_sync_watch_done (sync, now_us + 1000, cases[i].ok,
                                          (sgr_store_version_t){ 0, cases[i].version },
                                          cases[i].retry_after_ms);
            }
          assert_true (next_us > now_us);
          now_us = next_us;
        }
      assert_true (calls <= cases[i].calls_max && calls >= cases[i].calls_min);
      assert_int_equal (sgr_config_sync_stats (sync)->store_calls, calls);
      sgr_config_sync_destroy (sync);
    }
}

/* Guards against a reader that takes the lower versions of a restored store for stale reads, and so
   delays its next watch or waits for a version that the store assigns much later. */
static void
test_sync_after_restore_watches_lower_version_at_once (void **state)
{
  static const sgr_store_version_t versions[] = { { 1, 30 }, { 2, 10 }, { 2, 11 }, { 3, 11 } };
  sgr_config_sync_t *sync = sync_create (0);
  sgr_config_sync_action_t action;
  uint64_t now_us = 10 * SECOND_US, next_us;

  for (size_t i = 0; i < sizeof versions / sizeof versions[0]; i++)
    {
      assert_true (next_action_is (sync, now_us, SGR_CONFIG_SYNC_WATCH));
      sgr_config_sync_watch_done (sync, now_us, true, versions[i], 0);
    }
  assert_int_equal (sgr_config_sync_stats (sync)->store_failures, 0);
  assert_true (sgr_config_sync_next (sync, now_us, &action, &next_us));
  assert_true (action.after.generation == 3 && action.after.number == 11);
  /* A lower version of the same generation is a stale read. */
  sgr_config_sync_watch_done (sync, now_us, true, (sgr_store_version_t){ 3, 5 }, 0);
  assert_int_equal (sgr_config_sync_stats (sync)->store_failures, 1);
  assert_false (next_action_is (sync, now_us, SGR_CONFIG_SYNC_WATCH));
  sgr_config_sync_destroy (sync);
}

/* Guards against a reader that waits longer after an outage than a change may take to be in force:
   however long the store has failed, the next watch comes within the longest delay. */
static void
test_sync_retry_after_long_outage (void **state)
{
  enum
  {
    RETRY_MAX_MS = 2000
  };
  sgr_config_sync_options_t options;
  sgr_config_sync_action_t action;
  sgr_config_sync_t *sync;
  uint64_t now_us = 10 * SECOND_US, next_us, failed_us = now_us;

  sgr_config_sync_options_init (&options);
  options.self = members[0].id;
  options.backoff_max_ms = RETRY_MAX_MS;
  sync = sgr_config_sync_create (&options, 0);
  while (now_us < 100 * SECOND_US)
    if (sgr_config_sync_next (sync, now_us, &action, &next_us))
      {
        assert_true (now_us - failed_us <= RETRY_MAX_MS * SGR_USEC_PER_MSEC);
        failed_us = now_us;
        sgr_config_sync_watch_done (sync, now_us, false, (sgr_store_version_t){ 0, 0 }, 0);
      }
    else
      now_us = next_us;
  sgr_config_sync_destroy (sync);
}

/* Guards against a peer that claims a revision which it does not have, and so prevents fetches from
   other peers. */
static void
test_sync_fetch_from_another_peer (void **state)
{
  sgr_config_sync_t *sync = sync_create (0);
  sgr_config_sync_action_t action = { SGR_CONFIG_SYNC_NONE };
  uint64_t now_us = SECOND_US, next_us;

  sgr_config_sync_peer_revision_update (sync, now_us, 101, &members[1].control_address, 99);
  sgr_config_sync_peer_revision_update (sync, now_us, 102, &members[2].control_address, 7);
  for (int i = 0; i < 3; i++)
    {
      bool done = false;

      while (!done && now_us < 60 * SECOND_US)
        if (sgr_config_sync_next (sync, now_us, &action, &next_us))
          done = action.kind == SGR_CONFIG_SYNC_FETCH;
        else
          now_us = next_us;
      assert_true (done);
      if (action.peer == 102)
        break;
      sgr_config_sync_fetch_done (sync, now_us, action.peer, false);
    }
  assert_int_equal (action.peer, 102);
  assert_true (now_us < 2 * SECOND_US);
  sgr_config_sync_revision_set (sync, now_us, 7);
  sgr_config_sync_fetch_done (sync, now_us, action.peer, true);
  /* A revision that is in force already is not fetched. */
  sgr_config_sync_peer_revision_update (sync, now_us, 103, &members[3].control_address, 7);
  assert_false (next_action_is (sync, now_us, SGR_CONFIG_SYNC_FETCH));
  sgr_config_sync_destroy (sync);
}

/* Guards against a long wait for a peer that accepts a fetch but does not answer, such as a
   suspended process. A node that waits for this peer puts a change in force too late. */
static void
test_sync_silent_peer (void **state)
{
  sgr_config_sync_t *sync = sync_create (0);
  sgr_config_sync_action_t action;
  uint64_t now_us = SECOND_US, next_us, fetch_start_us;
  sgr_node_id_t unresponsive;

  sgr_config_sync_peer_revision_update (sync, now_us, 101, &members[1].control_address, 7);
  assert_false (next_action_is (sync, now_us, SGR_CONFIG_SYNC_WATCH));
  while (!sgr_config_sync_next (sync, now_us, &action, &next_us) && next_us < 2 * SECOND_US)
    now_us = next_us;
  assert_int_equal (action.kind, SGR_CONFIG_SYNC_FETCH);
  unresponsive = action.peer;
  fetch_start_us = now_us;
  /* Without another peer, no second fetch starts. */
  assert_false (next_action_is (sync, now_us + SECOND_US / 4, SGR_CONFIG_SYNC_FETCH));
  sgr_config_sync_peer_revision_update (sync, now_us, 102, &members[2].control_address, 7);
  while (!sgr_config_sync_next (sync, now_us, &action, &next_us) && next_us < 60 * SECOND_US)
    now_us = next_us;
  assert_int_equal (action.kind, SGR_CONFIG_SYNC_FETCH);
  assert_int_not_equal (action.peer, unresponsive);
  assert_true (now_us - fetch_start_us <= SECOND_US / 2);
  /* No third fetch starts, although a third peer has the revision. */
  sgr_config_sync_peer_revision_update (sync, now_us, 103, &members[3].control_address, 7);
  assert_false (next_action_is (sync, now_us + 10 * SECOND_US, SGR_CONFIG_SYNC_FETCH));
  sgr_config_sync_revision_set (sync, now_us, 7);
  sgr_config_sync_fetch_done (sync, now_us, action.peer, true);
  sgr_config_sync_fetch_done (sync, now_us, unresponsive, false);
  sgr_config_sync_destroy (sync);
}

/* Guards against a second fetch that only takes a share of a slow link from a first one which is
   still receiving a large record, and against a peer whose answer arrives byte by byte. */
static void
test_sync_fetch_with_progress (void **state)
{
  static const struct
  {
    uint64_t progress_ms; /* time of the last progress, which comes every 100 ms until then */
    uint64_t second_ms;   /* time at which a second fetch starts */
  } cases[] = {
    { 0, 300 },
    { 100, 400 },
    { 600, 900 },
    { 1000, 1000 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_sync_t *sync = sync_create (0);
      sgr_config_sync_action_t action;
      uint64_t start_us = 11 * SECOND_US, next_us, second_us;
      sgr_node_id_t first;

      /* The watch stays open, so each further action is a fetch. */
      assert_true (next_action_is (sync, start_us - SECOND_US, SGR_CONFIG_SYNC_WATCH));
      sgr_config_sync_peer_revision_update (sync, start_us - SECOND_US, 101,
                                            &members[1].control_address, 7);
      sgr_config_sync_peer_revision_update (sync, start_us - SECOND_US, 102,
                                            &members[2].control_address, 7);
      assert_true (sgr_config_sync_next (sync, start_us, &action, &next_us));
      first = action.peer;
      for (uint64_t ms = 100; ms <= cases[i].progress_ms; ms += 100)
        sgr_config_sync_fetch_progress (sync, start_us + ms * SGR_USEC_PER_MSEC, first);
      second_us = start_us + cases[i].second_ms * SGR_USEC_PER_MSEC;
      /* A peer without an open fetch delays nothing. */
      sgr_config_sync_fetch_progress (sync, second_us, 103);
      assert_false (sgr_config_sync_next (sync, second_us - 1, &action, &next_us));
      assert_int_equal (next_us, second_us);
      assert_true (sgr_config_sync_next (sync, second_us, &action, &next_us));
      assert_int_equal (action.kind, SGR_CONFIG_SYNC_FETCH);
      assert_int_not_equal (action.peer, first);
      sgr_config_sync_destroy (sync);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sync_two_readers_per_domain),
    cmocka_unit_test (test_watch_waits_until_members_are_known),
    cmocka_unit_test (test_sync_watch_is_short_until_answered),
    cmocka_unit_test (test_sync_watch_interval),
    cmocka_unit_test (test_sync_two_short_watches_per_domain),
    cmocka_unit_test (test_sync_role_follows_members),
    cmocka_unit_test (test_sync_backoff_table),
    cmocka_unit_test (test_sync_retry_after_long_outage),
    cmocka_unit_test (test_sync_after_restore_watches_lower_version_at_once),
    cmocka_unit_test (test_sync_fetch_from_another_peer),
    cmocka_unit_test (test_sync_silent_peer),
    cmocka_unit_test (test_sync_fetch_with_progress),
  };

  return cmocka_run_group_tests (tests, setup, NULL);
}
