#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "data_internal.h"
#include "data_service.h"

/* Tests how the services and targets of the data task follow a sequence of snapshots. */

typedef struct
{
  sgr_settings_t settings;
  sgr_data_task_t task;
} fixture_t;

static void
fixture_start (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->task.settings = &fixture->settings;
  sgr_rng_seed (&fixture->task.rng, 1);
  fixture->task.metrics = sgr_metrics_create ();
  fixture->task.services = sgr_data_services_create (&fixture->task);
}

static void
fixture_stop (fixture_t *fixture)
{
  sgr_data_services_destroy (fixture->task.services);
  sgr_metrics_destroy (fixture->task.metrics);
  sgr_snapshot_destroy (fixture->task.snapshot);
}

/* Applies a snapshot with one service and with one member, whose target serves @member_service. The
   snapshot has no member if @member_service is empty. */
static void
fixture_snapshot_apply (fixture_t *fixture, const char *service, const char *member_service)
{
  sgr_snapshot_t *old = fixture->task.snapshot;
  sgr_snapshot_t *snapshot = sgr_snapshot_create (1, 1, 0);

  sgr_policy_init (&snapshot->policies[0], service);
  snapshot->policy_count = 1;
  snapshot->members[0] = (sgr_member_t){ .id = 7, .slots = 4 };
  snapshot->members[0].target_state = SGR_TARGET_SERVING;
  snprintf (snapshot->members[0].service, sizeof snapshot->members[0].service, "%s",
            member_service);
  snapshot->member_count = member_service[0] != '\0' ? 1 : 0;
  fixture->task.snapshot = snapshot;
  sgr_data_services_update (fixture->task.services, old, 1);
  sgr_snapshot_destroy (old);
}

static bool
has_target (fixture_t *fixture, const char *service)
{
  sgr_data_service_t *found = sgr_data_service_find (fixture->task.services, service);
  const sgr_balancer_call_t call = { 0 };
  sgr_node_id_t node = 0;

  return found != NULL
         && sgr_data_service_pick (found, sgr_clock_monotonic_us (), NULL, 0, &call, &node, NULL)
                != SGR_BALANCER_TARGET_NONE;
}

/* Guards against calls to a target that is no longer in the service, and against a target that
   comes back to the service but is not chosen again. */
static void
test_target_changes_service (void **state)
{
  fixture_t fixture;

  fixture_start (&fixture);
  fixture_snapshot_apply (&fixture, "a", "a");
  assert_true (has_target (&fixture, "a"));
  fixture_snapshot_apply (&fixture, "a", "");
  assert_false (has_target (&fixture, "a"));
  fixture_snapshot_apply (&fixture, "a", "a");
  assert_true (has_target (&fixture, "a"));
  fixture_snapshot_apply (&fixture, "a", "b");
  assert_false (has_target (&fixture, "a"));
  fixture_snapshot_apply (&fixture, "b", "b");
  assert_null (sgr_data_service_find (fixture.task.services, "a"));
  assert_true (has_target (&fixture, "b"));
  fixture_stop (&fixture);
}

/* Applies a snapshot in which the member has restarted and not announced a target. */
static void
restart_apply (fixture_t *fixture)
{
  sgr_snapshot_t *old = fixture->task.snapshot;
  sgr_snapshot_t *snapshot = sgr_snapshot_create (1, 1, 0);

  sgr_policy_init (&snapshot->policies[0], "a");
  snapshot->policy_count = 1;
  snapshot->members[0] = (sgr_member_t){ .id = 7, .boot = 2, .target_state = SGR_TARGET_NONE };
  snapshot->member_count = 1;
  fixture->task.snapshot = snapshot;
  sgr_data_services_update (fixture->task.services, old, sgr_clock_monotonic_us ());
  sgr_snapshot_destroy (old);
}

/* Guards against a service without a target after a restart of the gate's node: the record of the
   new boot, which names no service yet, arrives after a load report that shows the target as
   serving, or before it. */
static void
test_restarted_node_has_no_service_yet (void **state)
{
  Sgr__Pb__LoadReport report = SGR__PB__LOAD_REPORT__INIT;
  fixture_t fixture;

  report.slots = 4;
  for (int is_report_first = 0; is_report_first <= 1; is_report_first++)
    {
      fixture_start (&fixture);
      fixture_snapshot_apply (&fixture, "a", "a");
      report.state = SGR_TARGET_SERVING;
      if (is_report_first)
        sgr_data_services_load_report_apply (fixture.task.services, 7, &report);
      restart_apply (&fixture);
      if (!is_report_first)
        {
          assert_false (has_target (&fixture, "a"));
          sgr_data_services_load_report_apply (fixture.task.services, 7, &report);
        }
      assert_true (has_target (&fixture, "a"));
      /* A second snapshot without news keeps the target. */
      restart_apply (&fixture);
      assert_true (has_target (&fixture, "a"));
      report.state = SGR_TARGET_LEFT;
      sgr_data_services_load_report_apply (fixture.task.services, 7, &report);
      assert_false (has_target (&fixture, "a"));
      fixture_stop (&fixture);
    }
}

/* Applies a snapshot in which the target's node announces a state, and its failure domain is
   evacuated or not. */
static void
evacuation_apply (fixture_t *fixture, uint64_t now_us, sgr_target_state_t state, bool is_evacuated)
{
  sgr_snapshot_t *old = fixture->task.snapshot;
  sgr_snapshot_t *snapshot = sgr_snapshot_create (1, 1, 0);

  sgr_policy_init (&snapshot->policies[0], "a");
  snapshot->policy_count = 1;
  snapshot->members[0]
      = (sgr_member_t){ .id = 7, .slots = 4, .service = "a", .failure_domain = "east" };
  snapshot->members[0].target_state = state;
  snapshot->member_count = 1;
  sgr_evacuation_domain_add (&snapshot->evacuation, is_evacuated ? "east" : "west", 4);
  fixture->task.snapshot = snapshot;
  sgr_data_services_update (fixture->task.services, old, now_us);
  fixture->task.had_snapshot = true;
  sgr_snapshot_destroy (old);
}

/* Guards against calls to a target of an evacuated failure domain whose node does not know of the
   evacuation and still reports that it serves, and against one that gets its full share at once
   when the domain is taken back. */
static void
test_evacuated_failure_domain (void **state)
{
  static const sgr_target_state_t announced[]
      = { SGR_TARGET_SERVING, SGR_TARGET_WARMING, SGR_TARGET_NONE, SGR_TARGET_DRAINING };
  Sgr__Pb__LoadReport report = SGR__PB__LOAD_REPORT__INIT;
  uint64_t now_us = sgr_clock_monotonic_us ();
  fixture_t fixture;

  report.slots = 4;
  report.state = SGR_TARGET_SERVING;
  for (size_t i = 0; i < sizeof announced / sizeof announced[0]; i++)
    {
      sgr_balancer_t *balancer;

      fixture_start (&fixture);
      evacuation_apply (&fixture, now_us, SGR_TARGET_SERVING, false);
      assert_true (has_target (&fixture, "a"));
      evacuation_apply (&fixture, now_us + 1, announced[i], true);
      sgr_data_services_load_report_apply (fixture.task.services, 7, &report);
      assert_false (has_target (&fixture, "a"));
      evacuation_apply (&fixture, now_us + 2, SGR_TARGET_SERVING, false);
      assert_true (has_target (&fixture, "a"));
      balancer = sgr_data_service_find (fixture.task.services, "a")->balancer;
      assert_int_equal (sgr_balancer_target_info (balancer, sgr_balancer_target_find (balancer, 7))
                            ->serving_since_us,
                        now_us + 2);
      fixture_stop (&fixture);
    }
}

/* Guards against memory that grows with the tenant names that callers choose: 64 pairs of tenant
   and class have a histogram each, all others share one. */
static void
test_latency_histograms_are_limited (void **state)
{
  sgr_buffer_t text = { 0 };
  sgr_data_service_t *service;
  size_t lines = 0;
  fixture_t fixture;

  fixture_start (&fixture);
  fixture_snapshot_apply (&fixture, "a", "a");
  service = sgr_data_service_find (fixture.task.services, "a");
  for (int i = 0; i < 5000; i++)
    {
      char tenant[16];

      snprintf (tenant, sizeof tenant, "t%d", i);
      sgr_data_service_latency_record (service, fixture.task.metrics, tenant, "c", 1000);
    }
  sgr_metrics_print (fixture.task.metrics, &text);
  sgr_buffer_append (&text, "", 1);
  for (const char *at = (const char *)text.bytes; (at = strstr (at, "_count{")) != NULL; at++)
    lines++;
  assert_in_range (lines, 2, 65);
  assert_non_null (strstr ((const char *)text.bytes,
                           "_count{service=\"a\",tenant=\"other\",class=\"other\"} 4936\n"));
  assert_non_null (strstr ((const char *)text.bytes, "tenant=\"t0\",class=\"c\"} 1\n"));
  sgr_buffer_release (&text);
  fixture_stop (&fixture);
}

/* Applies a snapshot with a target of the service "a" in each region. */
static void
regions_apply (fixture_t *fixture, const char *const *regions, size_t count)
{
  sgr_snapshot_t *old = fixture->task.snapshot;
  sgr_snapshot_t *snapshot = sgr_snapshot_create (count, 1, 0);

  sgr_policy_init (&snapshot->policies[0], "a");
  snapshot->policy_count = 1;
  snapshot->member_count = count;
  for (size_t i = 0; i < count; i++)
    {
      snapshot->members[i] = (sgr_member_t){
        .id = i + 1, .service = "a", .slots = 4, .target_state = SGR_TARGET_SERVING
      };
      snprintf (snapshot->members[i].region, sizeof snapshot->members[i].region, "%s", regions[i]);
    }
  fixture->task.snapshot = snapshot;
  sgr_data_services_update (fixture->task.services, old, 1);
  sgr_snapshot_destroy (old);
}

/* Node that a call of a route and an account gets, 0 if none; a list of regions ends with NULL. */
static sgr_node_id_t
node_for (fixture_t *fixture, const char *const *route, const char *const *account)
{
  const sgr_region_table_t *table = sgr_data_services_regions (fixture->task.services);
  sgr_balancer_call_t call = { 0 };
  sgr_node_id_t node = 0;

  for (int i = 0; i < 2; i++)
    {
      const char *const *names = i == 0 ? route : account;
      sgr_region_id_t ids[8];
      sgr_region_list_t list = { .is_bound = names != NULL, .ids = ids };

      for (; names != NULL && names[list.count] != NULL; list.count++)
        ids[list.count] = sgr_region_id_of (names[list.count]);
      sgr_region_limit_narrow (&call.regions, table, &list);
    }
  sgr_data_service_pick (sgr_data_service_find (fixture->task.services, "a"), 2, NULL, 0, &call,
                         &node, NULL);
  return node;
}

/* Guards against a call that only its route or only its account limits, against a limit that is
   lifted because its region has no node yet, and against a region whose bit changes with the
   members. */
static void
test_regions_of_route_and_account (void **state)
{
  static const char *const regions[] = { "eu", "us", "asia", "", "africa" };
  static const char *const eu[] = { "eu", NULL }, *const us[] = { "us", NULL };
  static const char *const eu_us[] = { "eu", "us", NULL }, *const us_asia[]
                                                           = { "us", "asia", NULL };
  static const char *const africa[] = { "none", "africa", NULL };
  fixture_t fixture;

  fixture_start (&fixture);
  regions_apply (&fixture, regions, 4);
  for (int i = 0; i < 20; i++)
    {
      assert_int_not_equal (node_for (&fixture, NULL, NULL), 0);
      assert_int_equal (node_for (&fixture, eu, NULL), 1);
      assert_int_equal (node_for (&fixture, NULL, us), 2);
      assert_int_equal (node_for (&fixture, eu_us, us_asia), 2);
      assert_int_equal (node_for (&fixture, us, eu), 0);
      assert_int_equal (node_for (&fixture, africa, NULL), 0);
      assert_int_equal (node_for (&fixture, africa, us), 0);
    }
  regions_apply (&fixture, regions + 1, 4);
  assert_int_equal (node_for (&fixture, eu, NULL), 0);
  assert_int_equal (node_for (&fixture, africa, NULL), 4);
  assert_int_equal (node_for (&fixture, us_asia, us), 1);
  fixture_stop (&fixture);
}

/* Guards against a region that gets the bit of another one when a node knows too many. */
static void
test_region_table_is_full (void **state)
{
  const sgr_region_id_t unknown = SGR_REGIONS_MAX + 1;
  sgr_region_list_t list = { .is_bound = true, .ids = &unknown, .count = 1 };
  sgr_region_limit_t limit = { 0 };
  sgr_region_table_t table = { 0 };
  sgr_region_mask_t all = 0;

  for (sgr_region_id_t id = 1; id <= SGR_REGIONS_MAX; id++)
    all |= sgr_region_table_add (&table, id);
  assert_true (all == UINT64_MAX);
  assert_true (sgr_region_table_add (&table, SGR_REGIONS_MAX) == UINT64_C (1) << 63);
  assert_true (sgr_region_table_add (&table, SGR_REGIONS_MAX + 1) == 0);
  assert_true (sgr_region_table_add (&table, sgr_region_id_of ("")) == 0);
  sgr_region_limit_narrow (&limit, &table, &list);
  assert_true (limit.is_bound);
  assert_false (sgr_region_limit_allows (&limit, 0));
  assert_false (sgr_region_limit_allows (&limit, all));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_target_changes_service),
    cmocka_unit_test (test_restarted_node_has_no_service_yet),
    cmocka_unit_test (test_evacuated_failure_domain),
    cmocka_unit_test (test_latency_histograms_are_limited),
    cmocka_unit_test (test_regions_of_route_and_account),
    cmocka_unit_test (test_region_table_is_full),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
