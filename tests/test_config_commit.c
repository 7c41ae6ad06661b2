#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_chain.h"
#include "config_commit.h"
#include "config_json.h"
#include "config_state.h"
#include "config_support.h"
#include "fake_store.h"

#define NODE_COUNT 3
#define RESULTS_MAX 8
#define CHANGES_MAX 20

typedef struct sim_t sim_t;

/** struct node_t - a simulated node; @revision is the revision in force at it */
typedef struct
{
  sim_t *sim;
  sgr_config_state_t *state;
  sgr_config_commit_t *commit;
  uint64_t revision;
} node_t;

/** struct sim_t - a simulation of nodes that share a store, in virtual time */
struct sim_t
{
  support_keys_t keys;
  sgr_rng_t rng;
  fake_store_t *store;
  node_t nodes[NODE_COUNT];
  int results[RESULTS_MAX];
  bool in_force[RESULTS_MAX];
};

static void
offer_record (void *ctx, const void *text, size_t length)
{
  node_t *node = ctx;
  uint64_t revision;

  sgr_config_state_offer (node->state, text, length, NULL);
  revision = sgr_config_state_revision (node->state);
  assert_true (revision >= node->revision);
  node->revision = revision;
}

static const sgr_config_record_t *
record_in_force (void *ctx)
{
  return sgr_config_state_record (((node_t *)ctx)->state);
}

static void
start_delay (void *ctx, uint32_t delay_ms, void (*fire) (void *), void *fire_ctx)
{
  fake_store_delay (((node_t *)ctx)->sim->store, delay_ms * SGR_USEC_PER_MSEC, fire, fire_ctx);
}

static void
sim_start (sim_t *sim, uint64_t seed)
{
  static const sgr_config_commit_callbacks_t callbacks
      = { offer_record, record_in_force, start_delay };

  memset (sim, 0, sizeof *sim);
  support_keys_init (&sim->keys);
  sgr_rng_seed (&sim->rng, seed);
  sim->store = fake_store_create (&sim->rng);
  for (int i = 0; i < NODE_COUNT; i++)
    {
      node_t *node = &sim->nodes[i];

      node->sim = sim;
      node->state = sgr_config_state_create (&sim->keys.owners, 8);
      node->commit = sgr_config_commit_create (&sim->keys.owners, fake_store_interface (sim->store),
                                               i + 1, &callbacks, node);
    }
  for (int i = 0; i < RESULTS_MAX; i++)
    sim->results[i] = -1;
}

static void
sim_run (sim_t *sim)
{
  while (fake_store_step (sim->store))
    ;
}

static void
sim_stop (sim_t *sim)
{
  sim_run (sim);
  for (int i = 0; i < NODE_COUNT; i++)
    {
      sgr_config_commit_destroy (sim->nodes[i].commit);
      sgr_config_state_destroy (sim->nodes[i].state);
    }
  fake_store_destroy (sim->store);
}

static void
on_commit_result (void *ctx, const sgr_config_commit_result_t *result)
{
  *(int *)ctx = (int)result->result;
}

/* Proposes a copy of a change at a node; @result receives the result later. */
static void
sim_propose (sim_t *sim, int node, const sgr_config_change_t *change, int *result)
{
  json_t *json = sgr_config_change_write (change);
  char *text = sgr_config_json_canonical (json);
  sgr_config_change_t *copy;

  assert_int_equal (sgr_config_change_parse (text, strlen (text), &copy, NULL), SGR_OK);
  sgr_config_commit_propose (sim->nodes[node].commit, copy, on_commit_result, result);
  free (text);
  json_decref (json);
}

/* Approves a change as owner 0 or 1, with secret key @key. Key 2 belongs to neither owner. */
static void
sim_approve (sim_t *sim, int node, const sgr_config_change_t *change, int owner, int key,
             int *result)
{
  sgr_config_approval_t approval = support_sign (&sim->keys, change, owner, key);
  sgr_config_digest_t digest;

  sgr_config_change_digest (change, &digest);
  sgr_config_commit_approve (sim->nodes[node].commit, change->statement.id, &digest, &approval,
                             on_commit_result, result);
}

/**
 * struct fault_case_t - a fault of one write, and the expected results
 * @name: description
 * @key: the next write to a key that contains this text has the fault
 * @faults: the fault
 * @proposed: result of the proposal
 * @approved: result of the second approval
 * @revision: revision in force afterwards
 */
typedef struct
{
  const char *name;
  const char *key;
  fake_faults_t faults;
  int proposed;
  int approved;
  uint64_t revision;
} fault_case_t;

/* Guards against a wrong result if a write is dropped, late or refused, or its reply is lost. */
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
      sim_t sim;
      sgr_config_change_t *change;

      sim_start (&sim, 7);
      change = support_change (&sim.keys, NULL, "c", support_content (2, 100));
      fake_store_fault_next_write (sim.store, cases[i].key, &cases[i].faults);
      sim_propose (&sim, 0, change, &sim.results[0]);
      sim_run (&sim);
      sim_approve (&sim, 0, change, 0, 0, &sim.results[1]);
      sim_run (&sim);
      sim_approve (&sim, 1, change, 1, 1, &sim.results[2]);
      sim_run (&sim);
      if (sim.results[0] != cases[i].proposed || sim.results[2] != cases[i].approved
          || sim.nodes[1].revision != cases[i].revision)
        fail_msg ("%s: proposed %d, approved %d, revision %d", cases[i].name, sim.results[0],
                  sim.results[2], (int)sim.nodes[1].revision);
      /* The store is available again, and both approvals may already be in it. A repeated approval
         then lets the change take effect. */
      if (cases[i].proposed == SGR_OK)
        {
          sim_approve (&sim, 2, change, 0, 0, &sim.results[3]);
          sim_run (&sim);
          assert_int_equal (sim.results[3], SGR_OK);
          assert_int_equal (sim.nodes[2].revision, 1);
        }
      sgr_config_change_destroy (change);
      sim_stop (&sim);
    }
}

/* Guards against approvals of another content, approvals with another key, and repeated ones. */
static void
test_commit_refused_approvals (void **state)
{
  sim_t sim;
  sgr_config_change_t *change, *other;
  sgr_config_approval_t approval;
  sgr_config_digest_t digest;

  sim_start (&sim, 11);
  change = support_change (&sim.keys, NULL, "c", support_content (2, 100));
  other = support_change (&sim.keys, NULL, "c", support_content (2, 999));
  sim_propose (&sim, 0, change, &sim.results[0]);
  sim_run (&sim);
  /* Propose another content under the same id. */
  sim_propose (&sim, 1, other, &sim.results[1]);
  /* Approve the other content: first with its own digest, then with the digest of the proposal but
     a signature of the other content. */
  sim_approve (&sim, 0, other, 0, 0, &sim.results[2]);
  approval = support_sign (&sim.keys, other, 0, 0);
  sgr_config_change_digest (change, &digest);
  sgr_config_commit_approve (sim.nodes[0].commit, "c", &digest, &approval, on_commit_result,
                             &sim.results[3]);
  /* Approve the proposal with a key that belongs to neither owner, then under an unknown name. */
  sim_approve (&sim, 0, change, 0, 2, &sim.results[4]);
  approval = support_sign (&sim.keys, change, 0, 0);
  strcpy (approval.owner, "stranger");
  sgr_config_commit_approve (sim.nodes[0].commit, "c", &digest, &approval, on_commit_result,
                             &sim.results[5]);
  sim_run (&sim);
  sim_approve (&sim, 0, change, 0, 0, &sim.results[6]);
  sim_run (&sim);
  sim_approve (&sim, 0, change, 0, 0, &sim.results[7]);
  sim_run (&sim);
  assert_int_equal (sim.results[0], SGR_OK);
  assert_int_equal (sim.results[1], SGR_ERR_CONFLICT);
  for (int i = 2; i <= 5; i++)
    assert_int_equal (sim.results[i], SGR_ERR_DENIED);
  assert_int_equal (sim.results[6], SGR_OK);
  assert_int_equal (sim.results[7], SGR_ERR_CONFLICT);
  assert_int_equal (sim.nodes[0].revision, 0);
  sgr_config_change_destroy (change);
  sgr_config_change_destroy (other);
  sim_stop (&sim);
}

/* Guards against two records of one revision, if both owners approve two changes of the same base
   at the same time. */
static void
test_commit_races (void **state)
{
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      sim_t sim;
      sgr_config_change_t *a, *b;
      int nodes_updated;

      sim_start (&sim, seed);
      a = support_change (&sim.keys, NULL, "a", support_content (1, 100));
      b = support_change (&sim.keys, NULL, "b", support_content (1, 200));
      sim_propose (&sim, 0, a, &sim.results[0]);
      sim_propose (&sim, 1, b, &sim.results[1]);
      sim_run (&sim);
      sim_approve (&sim, 0, a, 0, 0, &sim.results[2]);
      sim_approve (&sim, 1, a, 1, 1, &sim.results[3]);
      sim_approve (&sim, 1, b, 0, 0, &sim.results[4]);
      sim_approve (&sim, 2, b, 1, 1, &sim.results[5]);
      sim_run (&sim);
      nodes_updated = 0;
      for (int i = 0; i < NODE_COUNT; i++)
        nodes_updated += sim.nodes[i].revision == 1;
      assert_true (nodes_updated >= 1);
      /* Both approvals of one change succeed. An approval of the other change may fail, because the
         first change is already in force. */
      assert_true (sim.results[2] == SGR_OK || sim.results[2] == SGR_ERR_CONFLICT);
      assert_true ((sim.results[2] == SGR_OK && sim.results[3] == SGR_OK)
                   || (sim.results[4] == SGR_OK && sim.results[5] == SGR_OK));
      sgr_config_change_destroy (a);
      sgr_config_change_destroy (b);
      sim_stop (&sim);
    }
}

/* Performs random operations: may propose a change, and approves one of the proposed changes. Only
   changes with an even index are approved by both owners. */
static void
random_operation (sim_t *sim, sgr_config_change_t **changes, size_t *count, int *ignored_result)
{
  int node = (int)sgr_rng_below (&sim->rng, NODE_COUNT);
  size_t index;

  if (*count < CHANGES_MAX && sgr_rng_below (&sim->rng, 4) == 0)
    {
      char id[16];

      snprintf (id, sizeof id, "c%zu", *count);
      changes[*count]
          = support_change (&sim->keys, sgr_config_state_record (sim->nodes[node].state), id,
                            support_content (1, 100 + (uint32_t)*count));
      sim_propose (sim, node, changes[(*count)++], ignored_result);
    }
  if (*count == 0)
    return;
  index = sgr_rng_below (&sim->rng, *count);
  sim_approve (sim, node, changes[index], 0, 0, ignored_result);
  if (index % 2 == 0)
    sim_approve (sim, (int)sgr_rng_below (&sim->rng, NODE_COUNT), changes[index], 1, 1,
                 ignored_result);
}

/* Guards two invariants under random faults of the store: the revision in force at a node never
   decreases, and no change takes effect without the approvals of both owners. */
static void
test_commit_property (void **state)
{
  uint64_t in_force = 0;

  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      sim_t sim;
      sgr_config_change_t *changes[CHANGES_MAX];
      size_t count = 0;
      int ignored_result;

      sim_start (&sim, seed);
      *fake_store_faults (sim.store) = (fake_faults_t){ .unavailable = 5,
                                                        .lose_reply = 10,
                                                        .drop_write = 5,
                                                        .late_write = 5,
                                                        .stale_read = 10,
                                                        .delay_max_us = 50000 };
      for (int round = 0; round < 60; round++)
        {
          random_operation (&sim, changes, &count, &ignored_result);
          for (uint64_t steps = sgr_rng_below (&sim.rng, 12); steps > 0; steps--)
            fake_store_step (sim.store);
          /* Restarts a node, which then has no configuration. */
          if (sgr_rng_below (&sim.rng, 20) == 0)
            {
              node_t *node = &sim.nodes[sgr_rng_below (&sim.rng, NODE_COUNT)];

              sgr_config_state_destroy (node->state);
              node->state = sgr_config_state_create (&sim.keys.owners, 8);
              node->revision = 0;
            }
        }
      sim_run (&sim);
      for (int i = 0; i < NODE_COUNT; i++)
        {
          const sgr_config_record_t *record = sgr_config_state_record (sim.nodes[i].state);

          if (record == NULL)
            continue;
          in_force += record->statement.revision;
          assert_int_equal (atoi (record->statement.id + 1) % 2, 0);
          for (size_t j = 0; j < record->lineage_count; j++)
            assert_int_equal (atoi (record->lineage[j].id + 1) % 2, 0);
        }
      for (size_t i = 0; i < count; i++)
        sgr_config_change_destroy (changes[i]);
      sim_stop (&sim);
    }
  /* The test is meaningful only if many changes take effect in spite of the faults. */
  assert_true (in_force > 100);
}

/* Guards against a change that can never be completed: the second owner signed the change before it
   first, and the node at which the next one is approved learned the record from a peer, with the
   approvals in the order of the owners. */
static void
test_commit_after_second_owner_signed_first (void **state)
{
  const sgr_config_record_t *stored;
  sgr_config_change_t *change;
  json_t *json;
  char *text;
  sim_t sim;

  sim_start (&sim, 3);
  change = support_change (&sim.keys, NULL, "c1", support_content (2, 100));
  sim_propose (&sim, 0, change, &sim.results[0]);
  sim_run (&sim);
  sim_approve (&sim, 0, change, 1, 1, &sim.results[1]);
  sim_run (&sim);
  sim_approve (&sim, 0, change, 0, 0, &sim.results[2]);
  sim_run (&sim);
  assert_int_equal (sim.results[2], SGR_OK);
  sgr_config_change_destroy (change);
  stored = record_in_force (&sim.nodes[0]);
  json = sgr_config_record_metadata_write (sim.keys.owners.deployment, stored);
  json_object_set (json, "content", stored->content->json);
  text = sgr_config_json_canonical (json);
  offer_record (&sim.nodes[1], text, strlen (text));
  assert_int_equal (sim.nodes[1].revision, 1);
  free (text);
  json_decref (json);
  change = support_change (&sim.keys, stored, "c2", support_edit (200));
  sim_propose (&sim, 1, change, &sim.results[3]);
  sim_run (&sim);
  sim_approve (&sim, 1, change, 0, 0, &sim.results[4]);
  sim_run (&sim);
  sim_approve (&sim, 1, change, 1, 1, &sim.results[5]);
  sim_run (&sim);
  assert_int_equal (sim.results[5], SGR_OK);
  assert_int_equal (sim.nodes[1].revision, 2);
  sgr_config_change_destroy (change);
  sim_stop (&sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_commit_fault_table),
    cmocka_unit_test (test_commit_after_second_owner_signed_first),
    cmocka_unit_test (test_commit_refused_approvals),
    cmocka_unit_test (test_commit_races),
    cmocka_unit_test (test_commit_property),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
