#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_change.h"
#include "config_state.h"
#include "config_support.h"
#include "rng.h"

static support_keys_t keys;

static int
setup (void **state)
{
  support_keys_init (&keys);
  return 0;
}

/* Ways to falsify a record. */
typedef enum
{
  TAMPER_REVISION,
  TAMPER_AUTHOR,
  TAMPER_CONTENT,
  TAMPER_APPROVAL_MISSING,
  TAMPER_APPROVAL_REPEATED,
  TAMPER_OWNER_UNKNOWN,
  TAMPER_APPROVAL_OF_PREDECESSOR,
  TAMPER_DEPLOYMENT,
  TAMPER_LINEAGE_EMPTY,
  TAMPER_UNKNOWN_KEY,
  TAMPER_LINEAGE_AUTHOR,
  TAMPER_FORMAT,
  TAMPER_COUNT,
} tamper_t;

/* Falsifies one part of a record; @predecessor is the record before it. */
static void
record_tamper (json_t *json, tamper_t how, const sgr_config_record_t *predecessor)
{
  json_t *statement = json_object_get (json, "statement");
  json_t *approvals = json_object_get (json, "approvals");

  switch (how)
    {
    case TAMPER_REVISION:
      json_object_set_new (statement, "revision", json_integer (9));
      break;
    case TAMPER_AUTHOR:
      json_object_set_new (statement, "author", json_string ("someone"));
      break;
    case TAMPER_CONTENT:
      json_object_set (json, "content", predecessor->content->json);
      break;
    case TAMPER_APPROVAL_MISSING:
      json_array_remove (approvals, 1);
      break;
    case TAMPER_APPROVAL_REPEATED:
      json_array_set (approvals, 1, json_array_get (approvals, 0));
      break;
    case TAMPER_OWNER_UNKNOWN:
      json_object_set_new (json_array_get (approvals, 0), "owner", json_string ("stranger"));
      break;
    case TAMPER_APPROVAL_OF_PREDECESSOR:
      json_array_set_new (approvals, 0, sgr_config_approval_write (&predecessor->approvals[0]));
      break;
    case TAMPER_DEPLOYMENT:
      json_object_set_new (json, "deployment", json_string ("glazing"));
      break;
    case TAMPER_LINEAGE_EMPTY:
      json_object_set_new (json, "lineage", json_array ());
      break;
    case TAMPER_UNKNOWN_KEY:
      json_object_set_new (json, "extra", json_integer (1));
      break;
    case TAMPER_LINEAGE_AUTHOR:
      json_object_set_new (json_array_get (json_object_get (json, "lineage"), 0), "author",
                           json_string ("someone"));
      break;
    default:
      json_object_set_new (json, "format", json_integer (2));
    }
}

/* Guards against a record that is accepted although a part of it was falsified. */
static void
test_record_tamper_table (void **state)
{
  static const sgr_result_t expected[] = {
    [TAMPER_REVISION] = SGR_ERR_DENIED,
    [TAMPER_AUTHOR] = SGR_ERR_DENIED,
    [TAMPER_CONTENT] = SGR_ERR_DENIED,
    [TAMPER_APPROVAL_MISSING] = SGR_ERR_DENIED,
    [TAMPER_APPROVAL_REPEATED] = SGR_ERR_DENIED,
    [TAMPER_OWNER_UNKNOWN] = SGR_ERR_DENIED,
    [TAMPER_APPROVAL_OF_PREDECESSOR] = SGR_ERR_DENIED,
    [TAMPER_DEPLOYMENT] = SGR_ERR_DENIED,
    [TAMPER_LINEAGE_EMPTY] = SGR_ERR_INVALID,
    [TAMPER_UNKNOWN_KEY] = SGR_ERR_INVALID,
    [TAMPER_LINEAGE_AUTHOR] = SGR_ERR_DENIED,
    [TAMPER_FORMAT] = SGR_ERR_INVALID,
  };
  sgr_config_record_t *first = support_record (&keys, NULL, "a", support_content (2, 100));
  sgr_config_record_t *second = support_record (&keys, first, "b", support_edit (200));
  sgr_config_record_t *accepted;

  assert_int_equal (sgr_config_record_verify (&keys.owners, second->text.bytes, second->text.length,
                                              &accepted, NULL),
                    SGR_OK);
  assert_int_equal (accepted->lineage_count, 1);
  sgr_config_record_destroy (accepted);
  for (tamper_t how = 0; how < TAMPER_COUNT; how++)
    {
      json_t *json = sgr_config_json_load (second->text.bytes, second->text.length, NULL);
      sgr_config_error_t error = { SGR_OK };
      char *text;

      record_tamper (json, how, first);
      text = sgr_config_json_canonical (json);
      assert_int_equal (
          sgr_config_record_verify (&keys.owners, text, strlen (text), &accepted, &error),
          expected[how]);
      assert_true (error.message[0] != '\0');
      free (text);
      json_decref (json);
    }
  sgr_config_record_destroy (first);
  sgr_config_record_destroy (second);
}

#define CHAIN_LENGTH 24
#define STATE_OFFER(node, record)                                                                  \
  sgr_config_state_offer ((node), (record)->text.bytes, (record)->text.length, NULL)

static sgr_config_record_t *chain[CHAIN_LENGTH];

static int
chain_setup (void **state)
{
  chain[0] = support_record (&keys, NULL, "c0", support_content (2, 100));
  for (int i = 1; i < CHAIN_LENGTH; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "c%d", i);
      chain[i] = support_record (&keys, chain[i - 1], id, support_edit (100 + (uint32_t)i));
    }
  return 0;
}

static int
chain_teardown (void **state)
{
  for (int i = 0; i < CHAIN_LENGTH; i++)
    sgr_config_record_destroy (chain[i]);
  return 0;
}

/* Creates a state with the record chain[@index] in force. */
static sgr_config_state_t *
state_create_at (int at)
{
  sgr_config_state_t *node = sgr_config_state_create (&keys.owners, 4);

  assert_int_equal (STATE_OFFER (node, chain[at]), SGR_OK);
  return node;
}

/* Guards against a node that returns to a lower revision, or puts a record of a fork of the chain
   in force, even if both owners have signed the record. */
static void
test_state_rejects_rollback_and_fork (void **state)
{
  sgr_config_record_t *fork = support_record (&keys, chain[0], "fork", support_edit (999));
  sgr_config_record_t *fork_next = support_record (&keys, fork, "fork-next", support_edit (998));
  sgr_config_state_t *node = state_create_at (1);

  assert_int_equal (STATE_OFFER (node, chain[0]), SGR_ERR_CONFLICT);
  assert_int_equal (STATE_OFFER (node, chain[1]), SGR_ERR_CONFLICT);
  assert_int_equal (STATE_OFFER (node, fork), SGR_ERR_CONFLICT);
  assert_int_equal (STATE_OFFER (node, fork_next), SGR_ERR_CONFLICT);
  assert_int_equal (sgr_config_state_revision (node), 2);
  sgr_config_state_destroy (node);
  /* The lineage of this record does not reach back to the record in force, so the node accepts the
     record on its signatures alone. */
  node = state_create_at (0);
  assert_int_equal (STATE_OFFER (node, chain[23]), SGR_OK);
  sgr_config_state_destroy (node);
  sgr_config_record_destroy (fork);
  sgr_config_record_destroy (fork_next);
}

/* Guards against a watcher that misses a change. A watcher has to list all services again if the
   last revision that the watcher received was never in force at this node, or is older than the
   history. */
static void
test_state_watchers (void **state)
{
  sgr_config_state_t *node = state_create_at (1);
  json_t *changes;

  assert_int_equal (STATE_OFFER (node, chain[4]), SGR_OK);
  assert_int_equal (sgr_config_state_changes_since (node, 3, &changes), SGR_ERR_NOT_FOUND);
  assert_int_equal (sgr_config_state_changes_since (node, 5, &changes), SGR_ERR_UNAVAILABLE);
  assert_int_equal (sgr_config_state_changes_since (node, 2, &changes), SGR_OK);
  assert_int_equal (json_array_size (changes), 1);
  json_decref (changes);
  for (int i = 5; i < 10; i++)
    assert_int_equal (STATE_OFFER (node, chain[i]), SGR_OK);
  assert_int_equal (sgr_config_state_changes_since (node, 2, &changes), SGR_ERR_NOT_FOUND);
  sgr_config_state_destroy (node);
}

/* A step is a message with the changes from one revision to a later one. Guards against two faults:
   the receiver restores a record that differs from the sender's record; or a receiver that already
   has the later revision in force reports the step as invalid instead of as a conflict. */
static void
test_state_steps (void **state)
{
  /* Indexes in the chain: both nodes start with @first, then the sender gets @second and @last. */
  static const struct
  {
    int first;
    int second;
    int last;
  } cases[] = { { 6, 7, 9 }, { 0, 1, 2 }, { 19, 21, 23 } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const sgr_config_record_t *last = chain[cases[i].last];
      sgr_config_state_t *sender = state_create_at (cases[i].first);
      sgr_config_state_t *receiver = state_create_at (cases[i].first);
      sgr_buffer_t step = { 0 };

      assert_int_equal (STATE_OFFER (sender, chain[cases[i].second]), SGR_OK);
      assert_int_equal (STATE_OFFER (sender, last), SGR_OK);
      assert_int_equal (sgr_config_state_step_write (sender, 0, &step), SGR_ERR_NOT_FOUND);
      assert_int_equal (sgr_config_state_step_write (sender, (uint64_t)cases[i].first + 1, &step),
                        SGR_OK);
      assert_int_equal (sgr_config_state_offer_step (receiver, step.bytes, step.length, NULL),
                        SGR_OK);
      assert_memory_equal (sgr_config_state_record (receiver)->text.bytes, last->text.bytes,
                           last->text.length);
      assert_int_equal (sgr_config_state_offer_step (receiver, step.bytes, step.length, NULL),
                        SGR_ERR_CONFLICT);
      sgr_config_state_destroy (sender);
      sgr_config_state_destroy (receiver);
      sgr_buffer_release (&step);
    }
}

/* Offers @node one of these at random: a record of the chain, such a record with one bit changed,
   or a step from one of @nodes. */
static void
offer_random (sgr_rng_t *rng, sgr_config_state_t **nodes, size_t count, sgr_config_state_t *node)
{
  const sgr_config_record_t *record = chain[sgr_rng_below (rng, CHAIN_LENGTH)];
  const sgr_config_state_t *peer = nodes[sgr_rng_below (rng, count)];
  sgr_buffer_t text = { 0 };

  switch (sgr_rng_below (rng, 3))
    {
    case 0:
      STATE_OFFER (node, record);
      return;
    case 1:
      sgr_buffer_append (&text, record->text.bytes, record->text.length);
      text.bytes[sgr_rng_below (rng, text.length)] ^= (uint8_t)(1u << sgr_rng_below (rng, 7));
      sgr_config_state_offer (node, text.bytes, text.length, NULL);
      break;
    default:
      if (sgr_config_state_step_write (peer, sgr_config_state_revision (node), &text) == SGR_OK)
        sgr_config_state_offer_step (node, text.bytes, text.length, NULL);
    }
  sgr_buffer_release (&text);
}

/* Guards two invariants under random offers of old, falsified and partial records: the revision in
   force never decreases, and its content is what both owners approved. */
static void
test_state_property (void **state)
{
  sgr_config_state_t *nodes[3];
  uint64_t revisions[3] = { 0 }, accepted = 0;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 42);
  for (int i = 0; i < 3; i++)
    nodes[i] = sgr_config_state_create (&keys.owners, 4);
  for (int round = 0; round < 3000; round++)
    {
      size_t i = sgr_rng_below (&rng, 3);
      const sgr_config_record_t *record;

      if (sgr_rng_below (&rng, 40) == 0)
        {
          sgr_config_state_destroy (nodes[i]);
          nodes[i] = sgr_config_state_create (&keys.owners, 4);
          revisions[i] = 0;
        }
      offer_random (&rng, nodes, 3, nodes[i]);
      record = sgr_config_state_record (nodes[i]);
      assert_true (sgr_config_state_revision (nodes[i]) >= revisions[i]);
      accepted += sgr_config_state_revision (nodes[i]) > revisions[i];
      revisions[i] = sgr_config_state_revision (nodes[i]);
      if (record != NULL)
        {
          const sgr_config_record_t *approved = chain[revisions[i] - 1];

          assert_true (sgr_config_digest_equal (&record->digest, &approved->digest));
          assert_true (
              sgr_config_digest_equal (&record->content->digest, &approved->content->digest));
        }
    }
  /* The test is meaningful only if many records are accepted. */
  assert_true (accepted > 100);
  for (int i = 0; i < 3; i++)
    sgr_config_state_destroy (nodes[i]);
}

/* Guards against three faults: an approval is accepted for the same edit of another base revision,
   an approval is accepted twice, or a change still applies after its base was replaced. */
static void
test_change_approval_of_another_base (void **state)
{
  sgr_config_record_t *first = support_record (&keys, NULL, "a", support_content (2, 100));
  sgr_config_record_t *second = support_record (&keys, first, "b", support_edit (200));
  sgr_config_change_t *old = support_change (&keys, first, "x", support_edit (300));
  sgr_config_change_t *new = support_change (&keys, second, "x", support_edit (300));
  sgr_config_approval_t approval = support_sign (&keys, old, 0, 0);
  sgr_config_error_t error = { SGR_OK };

  assert_int_equal (sgr_config_change_approve (new, &keys.owners, &approval, &error),
                    SGR_ERR_DENIED);
  assert_int_equal (sgr_config_change_approve (old, &keys.owners, &approval, &error), SGR_OK);
  assert_int_equal (sgr_config_change_approve (old, &keys.owners, &approval, &error),
                    SGR_ERR_CONFLICT);
  assert_int_equal (sgr_config_change_check (old, &keys.owners, second, NULL, &error),
                    SGR_ERR_CONFLICT);
  assert_non_null (strstr (error.message, "propose it again"));
  sgr_config_change_destroy (old);
  sgr_config_change_destroy (new);
  sgr_config_record_destroy (first);
  sgr_config_record_destroy (second);
}

#define SERVICE_COUNT 400

/* A content of SERVICE_COUNT services, and as many policies with @tenants tenant limits. */
static json_t *
large_content (int tenants)
{
  json_t *body = support_content (SERVICE_COUNT, 100), *content = json_object_get (body, "full");
  json_t *policies = json_object_get (content, "policies");

  for (int i = 0; i < SERVICE_COUNT; i++)
    {
      json_t *table = json_object ();
      char name[64];

      for (int tenant = 0; tenant < tenants; tenant++)
        {
          snprintf (name, sizeof name, "a-tenant-with-a-rather-long-name-%04d", tenant);
          json_object_set_new (table, name, json_integer (10));
        }
      snprintf (name, sizeof name, "q%03d", i);
      json_array_append_new (policies,
                             json_pack ("{s:s, s:o}", "name", name, "tenant_limits", table));
    }
  return body;
}

/* Guards the limit of the size of a record: SERVICE_COUNT services fit, and a larger content
   is refused with an error that states the limit. */
static void
test_change_size (void **state)
{
  sgr_config_record_t *record = support_record (&keys, NULL, "large", large_content (32));
  sgr_config_change_t *change;
  sgr_config_error_t error = { SGR_OK };
  json_t *body = large_content (32);

  assert_true (record->text.length > 700000 && record->text.length < SGR_CONFIG_VALUE_MAX_BYTES);
  for (int i = 0; i < SERVICE_COUNT; i++)
    {
      json_t *services = json_object_get (json_object_get (body, "full"), "services");
      json_t *overrides = json_object ();
      json_t *limits = json_deep_copy (json_object_get (
          json_array_get (json_object_get (json_object_get (body, "full"), "policies"), 1),
          "tenant_limits"));

      json_object_set_new (overrides, "class_limits", limits);
      json_object_set_new (json_array_get (services, (size_t)i), "overrides", overrides);
    }
  assert_int_equal (sgr_config_change_propose ("herd", NULL, "x", "aigerim", body, &change, &error),
                    SGR_ERR_LIMIT);
  assert_non_null (strstr (error.message, "values up to 1 MB"));
  json_decref (body);
  sgr_config_record_destroy (record);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_record_tamper_table),
    cmocka_unit_test_setup_teardown (test_state_rejects_rollback_and_fork, chain_setup,
                                     chain_teardown),
    cmocka_unit_test_setup_teardown (test_state_watchers, chain_setup, chain_teardown),
    cmocka_unit_test_setup_teardown (test_state_steps, chain_setup, chain_teardown),
    cmocka_unit_test_setup_teardown (test_state_property, chain_setup, chain_teardown),
    cmocka_unit_test (test_change_approval_of_another_base),
    cmocka_unit_test (test_change_size),
  };

  return cmocka_run_group_tests (tests, setup, NULL);
}
