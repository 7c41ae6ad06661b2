#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_rig.h"

static rig_t rig;
/* Record of the last change by change_deadline(), NULL before the first one. */
static sgr_config_record_t *last_record;

static int
setup (void **state)
{
  rig_start (&rig, 6);
  last_record = NULL;
  return 0;
}

static int
teardown (void **state)
{
  sgr_config_record_destroy (last_record);
  rig_stop (&rig);
  return 0;
}

static int
post_change (int node, const sgr_config_change_t *change)
{
  json_t *json = sgr_config_change_write (change);
  char *text = sgr_config_json_canonical (json);
  int status = rig_http_call (&rig, &rig.nodes[node].address, "POST", "/v1/changes", text, NULL);

  free (text);
  json_decref (json);
  return status;
}

static int
post_approval (int node, const sgr_config_change_t *change, int owner)
{
  sgr_config_approval_t approval = support_sign (&rig.keys, change, owner, owner);
  char hex[SGR_CONFIG_DIGEST_HEX_BYTES], path[128];
  sgr_config_digest_t digest;
  json_t *json = json_object ();
  char *text;
  int status;

  sgr_config_change_digest (change, &digest);
  sgr_config_digest_format (&digest, hex);
  json_object_set_new (json, "digest", json_string (hex));
  json_object_set_new (json, "approval", sgr_config_approval_write (&approval));
  text = sgr_config_json_canonical (json);
  snprintf (path, sizeof path, "/v1/changes/%s/approve", change->statement.id);
  status = rig_http_call (&rig, &rig.nodes[node].address, "POST", path, text, NULL);
  free (text);
  json_decref (json);
  return status;
}

/* Sets the deadline of policy "p0" with a change that the owners approve at two different nodes,
   and waits until it is in force at all running nodes. The first change creates the policy. */
static void
change_deadline (const char *id, uint32_t deadline_ms)
{
  sgr_config_change_t *change = support_change (
      &rig.keys, last_record, id,
      last_record == NULL ? support_content (4, deadline_ms) : support_edit (deadline_ms));

  assert_int_equal (post_change (0, change), 200);
  assert_int_equal (post_approval (0, change, 0), 200);
  assert_int_equal (post_approval (1, change, 1), 200);
  sgr_config_change_destroy (change);
  rig_run_until_revision (&rig, last_record == NULL ? 1 : last_record->statement.revision + 1);
  sgr_config_record_destroy (last_record);
  {
    const sgr_buffer_t *text
        = &sgr_config_state_record (sgr_config_io_state (rig.nodes[0].io))->text;

    assert_int_equal (
        sgr_config_record_verify (&rig.keys.owners, text->bytes, text->length, &last_record, NULL),
        SGR_OK);
  }
}

static uint32_t
node_deadline_ms (int node)
{
  return sgr_config_state_policy (sgr_config_io_state (rig.nodes[node].io), "service-0000")
      ->deadline_ms;
}

/* Guards against a restarted node that cannot get the configuration from its peers while the store
   is down. */
static void
test_io_restart_empty_while_store_is_down (void **state)
{
  change_deadline ("c1", 100);
  change_deadline ("c2", 200);
  rig_store_faults_set (&rig, "outage=1");
  rig_node_stop (&rig, 4);
  rig_node_start (&rig, 4);
  sgr_config_io_members_update (rig.nodes[4].io, rig.members, rig.count);
  rig_run_until_revision (&rig, 2);
  assert_int_equal (node_deadline_ms (4), 200);
  assert_true (sgr_config_io_stats (rig.nodes[4].io)->fetch_bytes > 0);
  rig_store_faults_set (&rig, "outage=0");
}

/* Guards against a change that takes effect twice or not at all when the store loses a reply, drops
   or delays a write, is slow or returns old values. */
static void
test_io_store_fault_table (void **state)
{
  static const char *const faults[] = { "lose_reply=1", "drop_write=1", "drop_write=1&late_ms=200",
                                        "slow_ms=30", "stale_reads=2" };
  char id[16];

  change_deadline ("start", 100);
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      rig_store_faults_set (&rig, faults[i]);
      snprintf (id, sizeof id, "fault%zu", i);
      change_deadline (id, 101 + (uint32_t)i);
      rig_store_faults_set (&rig, "slow_ms=0&stale_reads=0&late_ms=0");
      for (int node = 0; node < 6; node++)
        {
          assert_int_equal (node_deadline_ms (node), 101 + i);
          assert_false (rig.nodes[node].has_revision_decreased);
        }
    }
  assert_int_equal (last_record->statement.revision, 6);
}

/* Guards against a change that is lost, or answered with another status than 503, while the store
   is down. */
static void
test_io_store_down (void **state)
{
  sgr_config_change_t *change;

  change_deadline ("start", 100);
  change = support_change (&rig.keys, last_record, "next", support_edit (300));
  rig_store_faults_set (&rig, "outage=1");
  assert_int_equal (post_change (0, change), 503);
  rig_store_faults_set (&rig, "outage=0");
  assert_int_equal (post_change (0, change), 200);
  assert_int_equal (post_approval (0, change, 0), 200);
  rig_store_faults_set (&rig, "outage=1");
  assert_int_equal (post_approval (1, change, 1), 503);
  assert_int_equal (node_deadline_ms (3), 100);
  rig_store_faults_set (&rig, "outage=0");
  assert_int_equal (post_approval (1, change, 1), 200);
  rig_run_until_revision (&rig, 2);
  assert_int_equal (node_deadline_ms (3), 300);
  sgr_config_change_destroy (change);
}

/* Guards against a configuration that cannot be changed any more after the store was restored to a
   state without the record in force: the nodes have a higher revision than the store. */
static void
test_io_change_after_restored_store_lost_the_record (void **state)
{
  change_deadline ("c1", 100);
  rig_store_faults_set (&rig, "snapshot=1");
  change_deadline ("c2", 200);
  rig_store_faults_set (&rig, "restore=1");
  change_deadline ("c3", 300);
  for (int node = 0; node < 6; node++)
    {
      assert_int_equal (node_deadline_ms (node), 300);
      assert_false (rig.nodes[node].has_revision_decreased);
    }
}

/* Guards against invalid requests that are accepted or rejected without a reason; valid ones are in
   the table, too. */
static void
test_api_bad_request_table (void **state)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *body;
    int status;
  } cases[] = {
    { "POST", "/v1/services", "", 405 },
    { "GET", "/v1/services/none", NULL, 404 },
    { "GET", "/v1/changes/none", NULL, 404 },
    { "GET", "/v1/changes/a/b", NULL, 404 },
    { "GET", "/v1/changes/a/approve", NULL, 405 },
    { "POST", "/v1/changes", "", 400 },
    { "POST", "/v1/changes", "{}", 400 },
    { "POST", "/v1/changes", "[1,", 400 },
    { "POST", "/v1/changes/x/approve", "{\"digest\":\"00\"}", 400 },
    { "GET", "/v1/watch", NULL, 400 },
    { "GET", "/v1/watch?revision=x", NULL, 400 },
    { "GET", "/v1/config/raw", NULL, 404 },
    { "GET", "/v1/status", NULL, 200 },
    { "GET", "/v1/nodes", NULL, 200 },
    { "GET", "/v1/targets", NULL, 200 },
    { "DELETE", "/v1/nodes", NULL, 405 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      json_t *json;
      int status = rig_http_call (&rig, &rig.nodes[0].address, cases[i].method, cases[i].path,
                                  cases[i].body, &json);

      if (status != cases[i].status)
        fail_msg ("%s %s: status %d", cases[i].method, cases[i].path, status);
      if (status != 200)
        assert_true (json_is_string (json_object_get (json, "reason")));
      json_decref (json);
    }
}

/* Guards against a watcher that misses a change. A watcher whose revision is older than the history
   of the node gets status 410 and has to list the resources again. */
static void
test_api_watch (void **state)
{
  json_t *json, *changes;

  change_deadline ("c1", 100);
  change_deadline ("c2", 200);
  assert_int_equal (
      rig_http_call (&rig, &rig.nodes[0].address, "GET", "/v1/watch?revision=1", NULL, &json), 200);
  changes = json_object_get (json, "changes");
  assert_int_equal (json_array_size (changes), 1);
  assert_string_equal (json_string_value (json_object_get (json_array_get (changes, 0), "change")),
                       "c2");
  json_decref (json);
  assert_int_equal (rig_http_call (&rig, &rig.nodes[0].address, "GET",
                                   "/v1/watch?revision=2&wait_ms=50", NULL, &json),
                    200);
  assert_int_equal (json_array_size (json_object_get (json, "changes")), 0);
  json_decref (json);
  assert_int_equal (
      rig_http_call (&rig, &rig.nodes[0].address, "GET", "/v1/watch?revision=0", NULL, NULL), 410);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_io_restart_empty_while_store_is_down, setup, teardown),
    cmocka_unit_test_setup_teardown (test_io_store_fault_table, setup, teardown),
    cmocka_unit_test_setup_teardown (test_io_store_down, setup, teardown),
    cmocka_unit_test_setup_teardown (test_io_change_after_restored_store_lost_the_record, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_api_bad_request_table, setup, teardown),
    cmocka_unit_test_setup_teardown (test_api_watch, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
