#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_commit.h"
#include "config_state.h"
#include "config_support.h"
#include "fake_store.h"

#define NODES 3

typedef struct world_t world_t;

typedef struct
{
  world_t *world;
  sgr_config_state_t *state;
  sgr_config_commit_t *commit;
  uint64_t revision;
} node_t;

struct world_t
{
  support_keys_t keys;
  sgr_rng_t rng;
  fake_store_t *store;
  node_t nodes[NODES];
  int results[8];
  bool in_force[8];
};

static void
on_record (void *ctx, const void *text, size_t length)
{
  node_t *node = ctx;
  uint64_t revision;

  sgr_config_state_offer (node->state, text, length, NULL);
  revision = sgr_config_state_revision (node->state);
  assert_true (revision >= node->revision);
  node->revision = revision;
}

static const sgr_config_record_t *
on_current (void *ctx)
{
  return sgr_config_state_record (((node_t *)ctx)->state);
}

static void
on_delay (void *ctx, uint32_t delay_ms, void (*fire) (void *), void *fire_ctx)
{
  fake_store_delay (((node_t *)ctx)->world->store, delay_ms * SGR_USEC_PER_MSEC, fire, fire_ctx);
}

static void
world_start (world_t *world, uint64_t seed)
{
  static const sgr_config_commit_callbacks_t callbacks = { on_record, on_current, on_delay };

  memset (world, 0, sizeof *world);
  support_keys_init (&world->keys);
  sgr_rng_seed (&world->rng, seed);
  world->store = fake_store_create (&world->rng);
  for (int i = 0; i < NODES; i++)
    {
      node_t *node = &world->nodes[i];

      node->world = world;
      node->state = sgr_config_state_create (&world->keys.owners, 8);
      node->commit = sgr_config_commit_create (
          &world->keys.owners, fake_store_interface (world->store), i + 1, &callbacks, node);
    }
  for (int i = 0; i < 8; i++)
    world->results[i] = -1;
}

static void
world_run (world_t *world)
{
  while (fake_store_step (world->store))
    ;
}

static void
world_stop (world_t *world)
{
  world_run (world);
  for (int i = 0; i < NODES; i++)
    {
      sgr_config_commit_destroy (world->nodes[i].commit);
      sgr_config_state_destroy (world->nodes[i].state);
    }
  fake_store_destroy (world->store);
}

static void
on_result (void *ctx, const sgr_config_commit_result_t *result)
{
  *(int *)ctx = (int)result->result;
}

static void
propose (world_t *world, int node, const sgr_config_change_t *change, int *result)
{
  json_t *json = sgr_config_change_write (change);
  char *text = sgr_config_json_canonical (json);
  sgr_config_change_t *copy;

  assert_int_equal (sgr_config_change_parse (text, strlen (text), &copy, NULL), SGR_OK);
  sgr_config_commit_propose (world->nodes[node].commit, copy, on_result, result);
  free (text);
  json_decref (json);
}

static void
approve (world_t *world, int node, const sgr_config_change_t *change, int owner, int key,
         int *result)
{
  sgr_config_approval_t approval = support_sign (&world->keys, change, owner, key);
  sgr_config_digest_t digest;

  sgr_config_change_digest (change, &digest);
  sgr_config_commit_approve (world->nodes[node].commit, change->statement.id, &digest, &approval,
                             on_result, result);
}

/** struct fault_case_t - fault of the next write to a key, and the results that are due */
typedef struct
{
  const char *name;
  const char *key;
  fake_faults_t faults;
  int proposed;
  int approved;
  uint64_t revision;
} fault_case_t;

/* Guards against a lost, dropped, late or refused write that is taken for its opposite. */
static void
test_commit_fault_table (void **state)
{
  static const fault_case_t cases[] = {
    { "no fault", "none", { 0 }, SGR_OK, SGR_OK, 1 },
    { "reply of the proposal lost", "changes/c", { .lose_reply = 100 }, SGR_OK, SGR_OK, 1 },
    { "proposal dropped", "changes/c", { .drop_write = 100 }, SGR_OK, SGR_OK, 1 },
    { "proposal late", "changes/c", { .late_write = 100 }, SGR_OK, SGR_OK, 1 },
    { "store down at the proposal",
      "changes/c",
      { .unavailable = 100 },
      SGR_ERR_UNAVAILABLE,
      SGR_ERR_NOT_FOUND,
      0 },
    { "reply of the record lost", "current", { .lose_reply = 100 }, SGR_OK, SGR_OK, 1 },
    { "record dropped", "current", { .drop_write = 100 }, SGR_OK, SGR_OK, 1 },
    { "record late", "current", { .late_write = 100 }, SGR_OK, SGR_OK, 1 },
    { "store down at the record",
      "current",
      { .unavailable = 100 },
      SGR_OK,
      SGR_ERR_UNAVAILABLE,
      0 },
    { "index dropped", "/changes", { .drop_write = 100 }, SGR_OK, SGR_OK, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      world_t world;
      sgr_config_change_t *change;

      world_start (&world, 7);
      change = support_change (&world.keys, NULL, "c", support_content (2, 100));
      fake_store_once (world.store, cases[i].key, &cases[i].faults);
      propose (&world, 0, change, &world.results[0]);
      world_run (&world);
      approve (&world, 0, change, 0, 0, &world.results[1]);
      world_run (&world);
      approve (&world, 1, change, 1, 1, &world.results[2]);
      world_run (&world);
      if (world.results[0] != cases[i].proposed || world.results[2] != cases[i].approved
          || world.nodes[1].revision != cases[i].revision)
        fail_msg ("%s: proposed %d, approved %d, revision %d", cases[i].name, world.results[0],
                  world.results[2], (int)world.nodes[1].revision);
      /* With both approvals stored, any owner can finish the change once the store is back. */
      if (cases[i].proposed == SGR_OK)
        {
          approve (&world, 2, change, 0, 0, &world.results[3]);
          world_run (&world);
          assert_int_equal (world.results[3], SGR_OK);
          assert_int_equal (world.nodes[2].revision, 1);
        }
      sgr_config_change_destroy (change);
      world_stop (&world);
    }
}

/* Guards against approvals that are spent on another content, by another key or twice. */
static void
test_commit_refused_approvals (void **state)
{
  world_t world;
  sgr_config_change_t *change, *other;
  sgr_config_approval_t approval;
  sgr_config_digest_t digest;

  world_start (&world, 11);
  change = support_change (&world.keys, NULL, "c", support_content (2, 100));
  other = support_change (&world.keys, NULL, "c", support_content (2, 999));
  propose (&world, 0, change, &world.results[0]);
  world_run (&world);
  /* The same id with another content. */
  propose (&world, 1, other, &world.results[1]);
  /* An approval of the other content: the digest differs; then with the right digest forged in. */
  approve (&world, 0, other, 0, 0, &world.results[2]);
  approval = support_sign (&world.keys, other, 0, 0);
  sgr_config_change_digest (change, &digest);
  sgr_config_commit_approve (world.nodes[0].commit, "c", &digest, &approval, on_result,
                             &world.results[3]);
  approve (&world, 0, change, 0, 2, &world.results[4]);
  approval = support_sign (&world.keys, change, 0, 0);
  strcpy (approval.owner, "stranger");
  sgr_config_commit_approve (world.nodes[0].commit, "c", &digest, &approval, on_result,
                             &world.results[5]);
  world_run (&world);
  approve (&world, 0, change, 0, 0, &world.results[6]);
  world_run (&world);
  approve (&world, 0, change, 0, 0, &world.results[7]);
  world_run (&world);
  assert_int_equal (world.results[0], SGR_OK);
  assert_int_equal (world.results[1], SGR_ERR_CONFLICT);
  for (int i = 2; i <= 5; i++)
    assert_int_equal (world.results[i], SGR_ERR_DENIED);
  assert_int_equal (world.results[6], SGR_OK);
  assert_int_equal (world.results[7], SGR_ERR_CONFLICT);
  assert_int_equal (world.nodes[0].revision, 0);
  sgr_config_change_destroy (change);
  sgr_config_change_destroy (other);
  world_stop (&world);
}

/* Guards against two winners: both owners approve two changes of one base at the same time. */
static void
test_commit_races (void **state)
{
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      world_t world;
      sgr_config_change_t *a, *b;
      int won;

      world_start (&world, seed);
      a = support_change (&world.keys, NULL, "a", support_content (1, 100));
      b = support_change (&world.keys, NULL, "b", support_content (1, 200));
      propose (&world, 0, a, &world.results[0]);
      propose (&world, 1, b, &world.results[1]);
      world_run (&world);
      approve (&world, 0, a, 0, 0, &world.results[2]);
      approve (&world, 1, a, 1, 1, &world.results[3]);
      approve (&world, 1, b, 0, 0, &world.results[4]);
      approve (&world, 2, b, 1, 1, &world.results[5]);
      world_run (&world);
      won = 0;
      for (int i = 0; i < NODES; i++)
        won += world.nodes[i].revision == 1;
      assert_true (won >= 1);
      /* One of each pair finishes its change or finds the other in force. */
      assert_true (world.results[2] == SGR_OK || world.results[2] == SGR_ERR_CONFLICT);
      assert_true ((world.results[2] == SGR_OK && world.results[3] == SGR_OK)
                   || (world.results[4] == SGR_OK && world.results[5] == SGR_OK));
      sgr_config_change_destroy (a);
      sgr_config_change_destroy (b);
      world_stop (&world);
    }
}

/* One random operation; both owners' signatures exist only for changes with an even number. */
static void
random_operation (world_t *world, sgr_config_change_t **changes, size_t *count, int *sink)
{
  int node = (int)sgr_rng_below (&world->rng, NODES);
  size_t index;

  if (*count < 20 && sgr_rng_below (&world->rng, 4) == 0)
    {
      char id[16];

      snprintf (id, sizeof id, "c%zu", *count);
      changes[*count]
          = support_change (&world->keys, sgr_config_state_record (world->nodes[node].state), id,
                            support_content (1, 100 + (uint32_t)*count));
      propose (world, node, changes[(*count)++], sink);
    }
  if (*count == 0)
    return;
  index = sgr_rng_below (&world->rng, *count);
  approve (world, node, changes[index], 0, 0, sink);
  if (index % 2 == 0)
    approve (world, (int)sgr_rng_below (&world->rng, NODES), changes[index], 1, 1, sink);
}

/* Guards the invariants under random faults: no node goes back, and nothing takes effect without
   both owners. */
static void
test_commit_property (void **state)
{
  uint64_t in_force = 0;

  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      world_t world;
      sgr_config_change_t *changes[20];
      size_t count = 0;
      int sink;

      world_start (&world, seed);
      *fake_store_faults (world.store) = (fake_faults_t){ 5, 10, 5, 5, 10, 50000 };
      for (int round = 0; round < 60; round++)
        {
          random_operation (&world, changes, &count, &sink);
          for (uint64_t steps = sgr_rng_below (&world.rng, 12); steps > 0; steps--)
            fake_store_step (world.store);
          /* A restart with an empty state. */
          if (sgr_rng_below (&world.rng, 20) == 0)
            {
              node_t *node = &world.nodes[sgr_rng_below (&world.rng, NODES)];

              sgr_config_state_destroy (node->state);
              node->state = sgr_config_state_create (&world.keys.owners, 8);
              node->revision = 0;
            }
        }
      world_run (&world);
      for (int i = 0; i < NODES; i++)
        {
          const sgr_config_record_t *record = sgr_config_state_record (world.nodes[i].state);

          if (record == NULL)
            continue;
          in_force += record->statement.revision;
          assert_int_equal (atoi (record->statement.id + 1) % 2, 0);
          for (size_t j = 0; j < record->lineage_count; j++)
            assert_int_equal (atoi (record->lineage[j].id + 1) % 2, 0);
        }
      for (size_t i = 0; i < count; i++)
        sgr_config_change_destroy (changes[i]);
      world_stop (&world);
    }
  /* The faults must leave enough room for changes, or the test shows nothing. */
  assert_true (in_force > 100);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_commit_fault_table),
    cmocka_unit_test (test_commit_refused_approvals),
    cmocka_unit_test (test_commit_races),
    cmocka_unit_test (test_commit_property),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
