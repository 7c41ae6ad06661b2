#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "account.h"
#include "node_fixture.h"
#include "node_fixture_config.h"
#include "types.h"

/* Routes that are limited to regions, through processes: an entry and a gate in the region "us" and
   a gate in the region "eu". Calls with paths below /bytes/ may run in "eu" only, those below /us/
   in "us" only, those below /none/ in a region without nodes, and all others everywhere. */

enum
{
  ENTRY,
  GATE_US,
  GATE_EU,
};

#define CALLS 40
#define AWAIT_TIMEOUT_US (20 * SGR_USEC_PER_SEC)

#define KEY_ACME "acme-key-0123456789"
#define KEY_BOLT "bolt-key-0123456789"

static sgr_fixture_t fixture;
/* Header field with the key of an account, empty for none. */
static const char *token = "";

static sgr_fixture_node_t *
node (int index)
{
  return &fixture.nodes[index];
}

static void
node_add (const char *name, const char *service, const char *region, const char *failure_domain)
{
  sgr_fixture_node_t *added = sgr_fixture_node_add (&fixture, name, service, false);

  added->region = region;
  added->failure_domain = failure_domain;
}

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.is_routed = true;
  node_add ("entry", NULL, "us", "us-1");
  node_add ("gate-us", "one", "us", "us-1");
  node_add ("gate-eu", "one", "eu", "eu-1");
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static json_t *
route_make (const char *name, const char *prefix, const char *region)
{
  json_t *route = json_pack ("{s:s, s:s, s:s, s:[{s:s, s:i}]}", "name", name, "host", "test",
                             "prefix", prefix, "services", "service", "one", "weight", 1);

  if (region != NULL)
    json_object_set_new (route, "regions", json_pack ("[s]", region));
  return route;
}

/* Sends a request and returns the status of its answer; @reason receives the reason of an error. */
static int
call (const char *method, const char *path, const char *id, const char *key, char reason[64])
{
  char fields[512];
  sgr_probe_request_t request
      = { .port = node (ENTRY)->callers, .method = method, .path = path, .fields = fields };
  sgr_probe_answer_t answer;
  int status;

  snprintf (fields, sizeof fields, "%sX-Request-Id: %s\r\n%s%s%s", token, id,
            key != NULL ? "Idempotency-Key: " : "", key != NULL ? key : "",
            key != NULL ? "\r\n" : "");
  sgr_probe_call (&request, &answer);
  status = answer.status;
  sgr_probe_field (&answer, "siskingrade-reason", reason, 64);
  sgr_probe_release (&answer);
  return status;
}

/* Guards against routes whose regions do not take effect, and against a call without an allowed
   target that runs or waits for its deadline. */
static void
test_no_allowed_target (void **state)
{
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;
  char reason[64] = "";

  assert_true (sgr_fixture_change_set (
      &fixture, "routes",
      json_pack ("{s:{s:[o, o, o, o]}}", "put", "routes", route_make ("bound", "/bytes/", "eu"),
                 route_make ("none", "/none/", "mars"), route_make ("us", "/us/", "us"),
                 route_make (SGR_FIXTURE_ROUTE, "/", NULL))));
  while (call ("GET", "/none/", "none", NULL, reason) != 503)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_fixture_poll_sleep ();
    }
  assert_string_equal (reason, "no-target");
}

/* Guards against first choices and spill to a nearer target in a region that is not allowed. */
static void
test_calls_run_in_allowed_region (void **state)
{
  char id[32], reason[64];

  for (int i = 0; i < CALLS; i++)
    {
      snprintf (id, sizeof id, "bound-%d", i);
      assert_int_equal (call ("GET", "/bytes/10", id, NULL, reason), 200);
      assert_int_equal (sgr_fixture_executions (node (GATE_EU), id), 1);
      assert_int_equal (sgr_fixture_executions (node (GATE_US), id), 0);
    }
}

/* Guards against a caller's own key that is bound to a gate in a region that is not allowed, and
   against a call whose key is bound to such a gate and that runs there or is said not to have run.
 */
static void
test_own_keys (void **state)
{
  char id[32], reason[64];

  for (int i = 0; i < 5; i++)
    {
      snprintf (id, sizeof id, "own-%d", i);
      assert_int_equal (call ("GET", "/bytes/10", id, id, reason), 200);
      assert_int_equal (sgr_fixture_executions (node (GATE_EU), id), 1);
    }
  assert_int_equal (call ("GET", "/us/", "own-us", "own-us", reason), 200);
  assert_int_equal (sgr_fixture_executions (node (GATE_US), "own-us"), 1);
  assert_int_equal (call ("GET", "/bytes/10", "own-elsewhere", "own-us", reason), 502);
  assert_string_equal (reason, "key-gate-not-allowed");
  assert_int_equal (call ("GET", "/none/", "own-none", "own-none", reason), 503);
  assert_string_equal (reason, "no-target");
  assert_int_equal (sgr_fixture_executions (node (GATE_US), "own-elsewhere"), 0);
  assert_int_equal (sgr_fixture_executions (node (GATE_EU), "own-elsewhere"), 0);
}

/* Issues a key and copies it. */
static void
key_issue (char *key, size_t size)
{
  sgr_probe_request_t request = { .port = node (ENTRY)->callers,
                                  .method = "POST",
                                  .path = "/.siskingrade/keys?service=one",
                                  .fields = token,
                                  .body = "" };
  sgr_probe_answer_t answer;
  const char *at;

  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 201);
  at = strstr (answer.body, ":\"");
  assert_non_null (at);
  snprintf (key, size, "%.*s", (int)strcspn (at + 2, "\""), at + 2);
  sgr_probe_release (&answer);
}

/* Guards against a call with an issued key that runs at a gate in a region that is not allowed. */
static void
test_issued_key (void **state)
{
  char key[256], reason[64];
  int status_eu, status_us;

  key_issue (key, sizeof key);
  status_eu = call ("GET", "/bytes/10", "issued-eu", key, reason);
  assert_true (status_eu == 200 || strcmp (reason, "key-gate-not-allowed") == 0);
  status_us = call ("GET", "/us/", "issued-us", key, reason);
  assert_true (status_us == 200 || strcmp (reason, "key-gate-not-allowed") == 0);
  assert_int_equal (status_eu + status_us, 200 + 502);
  assert_int_equal (sgr_fixture_executions (node (GATE_US), "issued-eu"), 0);
  assert_int_equal (sgr_fixture_executions (node (GATE_EU), "issued-us"), 0);
}

static json_t *
account_make (const char *name, const char *key)
{
  char hex[SGR_ACCOUNT_KEY_HEX_BYTES];

  sgr_account_key_hash_format (sgr_account_key_hash (key, strlen (key)), hex);
  return json_pack ("{s:s, s:[s]}", "name", name, "key_hashes", hex);
}

/* Guards against an account whose regions do not bind its calls and issued keys, or do not narrow
   those of a route. */
static void
test_regions_of_account (void **state)
{
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;
  json_t *acme = account_make ("acme", KEY_ACME);
  char id[32], key[256], reason[64];

  json_object_set_new (acme, "regions", json_pack ("[s]", "eu"));
  assert_true (sgr_fixture_change_set (
      &fixture, "accounts",
      json_pack ("{s:{s:[o, o]}}", "put", "accounts", acme, account_make ("bolt", KEY_BOLT))));
  token = "Authorization: Token " KEY_ACME "\r\n";
  while (call ("GET", "/us/", "both", NULL, reason) != 503)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_fixture_poll_sleep ();
    }
  assert_string_equal (reason, "no-target");
  for (int i = 0; i < 10; i++)
    {
      snprintf (id, sizeof id, "account-%d", i);
      assert_int_equal (call ("GET", "/", id, NULL, reason), 200);
      assert_int_equal (sgr_fixture_executions (node (GATE_EU), id), 1);
      snprintf (id, sizeof id, "account-key-%d", i);
      key_issue (key, sizeof key);
      assert_int_equal (call ("GET", "/bytes/10", id, key, reason), 200);
      assert_int_equal (sgr_fixture_executions (node (GATE_EU), id), 1);
    }
  token = "Authorization: Token " KEY_BOLT "\r\n";
  assert_int_equal (call ("GET", "/us/", "bolt", NULL, reason), 200);
}

/* Guards against retries in a region that is not allowed after the only allowed gate is lost. */
static void
test_region_is_lost (void **state)
{
  char id[32], reason[64];

  sgr_fixture_process_kill (&node (GATE_EU)->pid);
  for (int i = 0; i < CALLS; i++)
    {
      snprintf (id, sizeof id, "lost-%d", i);
      assert_int_not_equal (call ("GET", "/bytes/10", id, NULL, reason), 200);
      assert_int_equal (sgr_fixture_executions (node (GATE_US), id), 0);
    }
  assert_int_equal (call ("GET", "/", "free-again", NULL, reason), 200);
}

/* Guards against services that callers reach by their names, or a service that the host names, once
   the last route is withdrawn; also after a restart. */
static void
test_last_route_is_withdrawn (void **state)
{
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;
  char by_name[256], reason[64] = "";
  sgr_probe_request_t request = { .port = node (ENTRY)->callers, .path = "/", .fields = by_name };
  int status = 0;

  snprintf (by_name, sizeof by_name, "%sSiskingrade-Service: one\r\n", token);
  assert_true (sgr_fixture_change_set (&fixture, "no-routes",
                                       json_pack ("{s:{s:[s, s, s, s]}}", "remove", "routes",
                                                  "bound", "none", "us", SGR_FIXTURE_ROUTE)));
  while (status != 404)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      status = call ("GET", "/bytes/10", "last", NULL, reason);
    }
  assert_string_equal (reason, "no-route");
  /* A node that restarts may take the configuration of any other. */
  for (size_t i = 0; i < fixture.count; i++)
    while (fixture.nodes[i].pid != 0
           && sgr_fixture_metric (&fixture.nodes[i], "siskingrade_config_revision ")
                  < sgr_fixture_metric (node (ENTRY), "siskingrade_config_revision "))
      {
        assert_true (sgr_clock_monotonic_us () < end_us);
        sgr_fixture_poll_sleep ();
      }
  sgr_fixture_process_kill (&node (ENTRY)->pid);
  sgr_fixture_node_start (&fixture, node (ENTRY));
  end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;
  for (status = 0; status != 404;)
    {
      sgr_probe_answer_t answer;

      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_probe_call (&request, &answer);
      status = answer.status;
      if (status != 404 && status != 503 && status != 0)
        fail_msg ("status %d after the restart", status);
      sgr_probe_release (&answer);
      sgr_fixture_poll_sleep ();
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_allowed_target),
    cmocka_unit_test (test_calls_run_in_allowed_region),
    cmocka_unit_test (test_own_keys),
    cmocka_unit_test (test_issued_key),
    cmocka_unit_test (test_regions_of_account),
    cmocka_unit_test (test_region_is_lost),
    cmocka_unit_test (test_last_route_is_withdrawn),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
