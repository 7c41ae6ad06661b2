#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_sync.h"
#include "timer_heap.h"

#define MEMBERS 300
#define SEC SGR_USEC_PER_SEC

static sgr_member_t members[MEMBERS];

static int
setup (void **state)
{
  memset (members, 0, sizeof members);
  for (size_t i = 0; i < MEMBERS; i++)
    {
      snprintf (members[i].name, sizeof members[i].name, "n%zu", i);
      snprintf (members[i].failure_domain, sizeof members[i].failure_domain, "fd-%zu", i % 15);
      members[i].id = sgr_node_id_of (members[i].name);
      members[i].control_address = (sgr_address_t){ (uint32_t)i, 1 };
    }
  return 0;
}

static size_t
readers (const char *domain, size_t *first)
{
  size_t count = 0;

  for (size_t i = 0; i < MEMBERS; i++)
    if (members[i].status == SGR_MEMBER_ALIVE && strcmp (members[i].failure_domain, domain) == 0
        && sgr_config_sync_elects (members[i].id, domain, 2, members, MEMBERS))
      {
        *first = i;
        count++;
      }
  return count;
}

static sgr_config_sync_t *
make (size_t index)
{
  sgr_config_sync_options_t options;

  sgr_config_sync_options_init (&options);
  options.self = members[index].id;
  options.seed = 1;
  memcpy (options.failure_domain, members[index].failure_domain, SGR_NAME_MAX + 1);
  return sgr_config_sync_create (&options, 0);
}

/* Guards against a failure domain without a reader, or with a number that grows with its nodes. */
static void
test_sync_two_readers_per_domain (void **state)
{
  size_t reader;

  setup (state);
  for (int domain = 0; domain < 15; domain++)
    {
      char name[16];

      snprintf (name, sizeof name, "fd-%d", domain);
      assert_int_equal (readers (name, &reader), 2);
      /* A reader that dies is replaced. */
      members[reader].status = SGR_MEMBER_DEAD;
      assert_int_equal (readers (name, &reader), 2);
    }
  setup (state);
}

static bool
next (sgr_config_sync_t *sync, uint64_t now_us, sgr_config_sync_action_kind_t kind)
{
  sgr_config_sync_action_t action;
  uint64_t next_us;

  return sgr_config_sync_next (sync, now_us, &action, &next_us) && action.kind == kind;
}

/* Guards against calls to the store by a node that is not a reader, and a watch that is kept. */
static void
test_sync_role_follows_members (void **state)
{
  size_t reader;
  sgr_config_sync_t *sync;

  readers ("fd-0", &reader);
  sync = make (reader);
  sgr_config_sync_members (sync, 0, members, MEMBERS);
  assert_false (next (sync, 1 * SEC, SGR_CONFIG_SYNC_WATCH));
  assert_true (next (sync, 4 * SEC, SGR_CONFIG_SYNC_WATCH));
  assert_false (next (sync, 5 * SEC, SGR_CONFIG_SYNC_WATCH));
  sgr_config_sync_destroy (sync);
  for (size_t i = 0; i < MEMBERS; i += 15)
    if (!sgr_config_sync_elects (members[i].id, "fd-0", 2, members, MEMBERS))
      {
        sync = make (i);
        /* Alone it reads; with all members known it stops its watch. */
        assert_true (next (sync, 4 * SEC, SGR_CONFIG_SYNC_WATCH));
        sgr_config_sync_members (sync, 5 * SEC, members, MEMBERS);
        assert_true (next (sync, 5 * SEC, SGR_CONFIG_SYNC_WATCH_CANCEL));
        assert_false (next (sync, 100 * SEC, SGR_CONFIG_SYNC_WATCH));
        sgr_config_sync_destroy (sync);
        break;
      }
}

/* Guards against a tight loop on a store that fails, answers at once without news, or is stale. */
static void
test_sync_backoff_table (void **state)
{
  static const struct
  {
    bool ok;
    uint64_t version;
    uint64_t retry_after_ms;
    uint64_t most;
    uint64_t least;
  } cases[] = {
    { false, 0, 0, 120, 30 },   /* down */
    { true, 5, 0, 120, 30 },    /* no news at once */
    { false, 0, 60000, 16, 5 }, /* the store asks for a wait */
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_sync_t *sync = make (0);
      uint64_t now_us = 0, next_us, calls = 0;
      sgr_config_sync_action_t action;

      while (now_us < 600 * SEC)
        {
          while (sgr_config_sync_next (sync, now_us, &action, &next_us))
            {
              calls++;
              sgr_config_sync_store_done (sync, now_us + 1000, cases[i].ok, cases[i].version,
                                          cases[i].retry_after_ms);
            }
          assert_true (next_us > now_us);
          now_us = next_us;
        }
      assert_true (calls <= cases[i].most && calls >= cases[i].least);
      assert_int_equal (sgr_config_sync_stats (sync)->store_calls, calls);
      sgr_config_sync_destroy (sync);
    }
}

/* Guards against a peer that claims a revision it does not have and keeps others from being asked.
 */
static void
test_sync_fetch_from_another_peer (void **state)
{
  sgr_config_sync_t *sync = make (0);
  sgr_config_sync_action_t action = { SGR_CONFIG_SYNC_NONE };
  uint64_t now_us = SEC, next_us;

  sgr_config_sync_peer_revision (sync, now_us, 101, &members[1].control_address, 99);
  sgr_config_sync_peer_revision (sync, now_us, 102, &members[2].control_address, 7);
  for (int i = 0; i < 3; i++)
    {
      bool done = false;

      while (!done && now_us < 60 * SEC)
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
  assert_true (now_us < 2 * SEC);
  sgr_config_sync_in_force (sync, now_us, 7);
  sgr_config_sync_fetch_done (sync, now_us, action.peer, true);
  /* A revision that is in force already is not fetched. */
  sgr_config_sync_peer_revision (sync, now_us, 103, &members[3].control_address, 7);
  assert_false (next (sync, now_us, SGR_CONFIG_SYNC_FETCH));
  sgr_config_sync_destroy (sync);
}

/* Guards against a peer that takes the call and stays silent, as one that is frozen does: waiting
   for it uses up the time in which a change has to be in force. */
static void
test_sync_silent_peer (void **state)
{
  sgr_config_sync_t *sync = make (0);
  sgr_config_sync_action_t action;
  uint64_t now_us = SEC, next_us, asked_us;
  sgr_node_id_t silent;

  sgr_config_sync_peer_revision (sync, now_us, 101, &members[1].control_address, 7);
  assert_false (next (sync, now_us, SGR_CONFIG_SYNC_WATCH));
  while (!sgr_config_sync_next (sync, now_us, &action, &next_us) && next_us < 2 * SEC)
    now_us = next_us;
  assert_int_equal (action.kind, SGR_CONFIG_SYNC_FETCH);
  silent = action.peer;
  asked_us = now_us;
  /* Without another peer it is waited for. */
  assert_false (next (sync, now_us + SEC / 4, SGR_CONFIG_SYNC_FETCH));
  sgr_config_sync_peer_revision (sync, now_us, 102, &members[2].control_address, 7);
  while (!sgr_config_sync_next (sync, now_us, &action, &next_us) && next_us < 60 * SEC)
    now_us = next_us;
  assert_int_equal (action.kind, SGR_CONFIG_SYNC_FETCH);
  assert_int_not_equal (action.peer, silent);
  assert_true (now_us - asked_us <= SEC / 2);
  /* No third one, however many peers have it. */
  sgr_config_sync_peer_revision (sync, now_us, 103, &members[3].control_address, 7);
  assert_false (next (sync, now_us + 10 * SEC, SGR_CONFIG_SYNC_FETCH));
  sgr_config_sync_in_force (sync, now_us, 7);
  sgr_config_sync_fetch_done (sync, now_us, action.peer, true);
  sgr_config_sync_fetch_done (sync, now_us, silent, false);
  sgr_config_sync_destroy (sync);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sync_two_readers_per_domain),
    cmocka_unit_test (test_sync_role_follows_members),
    cmocka_unit_test (test_sync_backoff_table),
    cmocka_unit_test (test_sync_fetch_from_another_peer),
    cmocka_unit_test (test_sync_silent_peer),
  };

  return cmocka_run_group_tests (tests, setup, NULL);
}
