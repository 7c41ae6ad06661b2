#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"
#include "types.h"

/* Evacuation of a failure domain, with one target in the domain "east" and one in "west". The store
   turns one node away. */

/* The bound of the settings. */
#define BOUND_US (5 * SGR_USEC_PER_SEC)
#define WAIT_MAX_US (15 * SGR_USEC_PER_SEC)
#define RUNNING_CALLS 8
/* Calls that would reach the evacuated target with near certainty if it took any. */
#define CALLS 60
/* Age from which on a node tells by a datagram without a set that there is none. */
#define OLDER_PEER_US (10 * SGR_USEC_PER_SEC)
/* Time after its start at which a node serves without knowing the evacuations. */
#define START_WAIT_US (3 * SGR_USEC_PER_SEC)
#define STARTS "siskingrade_gate_starts_total"

static sgr_fixture_t fixture;
static sgr_fixture_node_t *entry;
static sgr_fixture_node_t *east;
static sgr_fixture_node_t *west;
static sgr_fixture_node_t *cut;   /* the store turns it away */
static sgr_fixture_node_t *plain; /* does not follow evacuations, and is the last node */

static int
test_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.limits = "  heartbeat_ms: 50\n  silence_ms: 300\n  evacuation: 5s\n"
                   "  store_delay_ms: 20\n  store_retry_max_ms: 500\n";
  entry = sgr_fixture_node_add (&fixture, "entry", NULL, false);
  east = sgr_fixture_node_add (&fixture, "east", "one", false);
  west = sgr_fixture_node_add (&fixture, "west", "one", false);
  cut = sgr_fixture_node_add (&fixture, "cut", NULL, false);
  east->failure_domain = "east";
  west->failure_domain = "west";
  cut->store_port = sgr_fixture_port_find ();
  plain = sgr_fixture_node_add (&fixture, "plain", NULL, false);
  plain->limits = "  heartbeat_ms: 50\n  silence_ms: 300\n";
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
test_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Writes or deletes the key that evacuates the domain "east". */
static void
evacuate (const char *method)
{
  sgr_probe_request_t request = { .port = fixture.store_port,
                                  .method = method,
                                  .path = "/v1/kv/evacuations/east",
                                  .fields = "Store-If-Version: any\r\n" };
  sgr_probe_answer_t answer;

  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 200);
  sgr_probe_release (&answer);
}

/* Waits until a metric has a value, and returns whether it got it in time. */
static bool
metric_await (const sgr_fixture_node_t *node, const char *name, uint64_t value, uint64_t during_us)
{
  uint64_t end_us = sgr_clock_monotonic_us () + during_us;

  while (sgr_fixture_metric (node, name) != value)
    {
      if (sgr_clock_monotonic_us () >= end_us)
        return false;
      sgr_fixture_poll_sleep ();
    }
  return true;
}

/* Waits until all nodes that follow evacuations have put a change in force. */
static void
change_await (const char *event, uint64_t domains)
{
  uint64_t end_us = sgr_clock_monotonic_us () + BOUND_US;

  for (size_t i = 0; i + 1 < fixture.count; i++)
    {
      uint64_t now_us = sgr_clock_monotonic_us ();

      if (!metric_await (&fixture.nodes[i], "siskingrade_evacuation_domains", domains,
                         end_us > now_us ? end_us - now_us : 0))
        fail_msg ("%s: no %s within the bound", fixture.nodes[i].name, event);
      assert_true (sgr_fixture_event_await (&fixture, &fixture.nodes[i], event, 1));
    }
}

static sgr_path_call_t
call_of (const sgr_fixture_node_t *node)
{
  return (sgr_path_call_t){ .entry = node, .service = "one", .method = "GET", .path = "/" };
}

/* Sends calls through a node; all of them have to succeed. */
static void
calls_check (const sgr_fixture_node_t *node)
{
  for (int i = 0; i < CALLS; i++)
    {
      sgr_path_call_t call = call_of (node);
      sgr_probe_answer_t answer;

      sgr_path_answer_receive (sgr_path_call_send (&call), &call, &answer);
      if (answer.status != 200)
        fail_msg ("%s: call %d: status %d %s", node->name, i, answer.status,
                  answer.body != NULL ? answer.body : "");
      sgr_probe_release (&answer);
    }
}

/* Guards against an operator who cannot see which domains are evacuated. */
static void
status_check (const sgr_fixture_node_t *node, const char *expected)
{
  sgr_probe_request_t request = { .port = node->control, .path = "/v1/status" };
  sgr_probe_answer_t answer;

  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 200);
  if (strstr (answer.body, expected) == NULL)
    fail_msg ("%s: no %s in %s", node->name, expected, answer.body);
  sgr_probe_release (&answer);
}

/* Guards against new work for an evacuated domain after the bound: from other nodes, from its own
   node, from one that the store turns away, and from one that follows no evacuations and thus only
   knows the announced state of the target; against running calls that are cut off; and against
   a domain that gets no work after it was taken back. */
static void
test_evacuated_domain_gets_no_new_work (void **state)
{
  sgr_path_call_t running[RUNNING_CALLS];
  int sockets[RUNNING_CALLS];
  uint64_t starts, end_us;

  starts = sgr_fixture_metric (east, STARTS);
  for (int i = 0; i < RUNNING_CALLS; i++)
    {
      running[i] = call_of (entry);
      running[i].fields = "X-Service-Us: 2500000\r\n";
      sockets[i] = sgr_path_call_send (&running[i]);
    }
  end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  while (sgr_fixture_metric (east, STARTS) == starts && sgr_clock_monotonic_us () < end_us)
    sgr_fixture_poll_sleep ();
  evacuate ("PUT");
  change_await ("event=evacuation-in-force domain=east", 1);
  status_check (cut, "\"evacuated\":[\"east\"]");
  starts = sgr_fixture_metric (east, STARTS);
  assert_true (starts > 0);
  for (size_t i = 0; i < fixture.count; i++)
    calls_check (&fixture.nodes[i]);
  assert_int_equal (sgr_fixture_metric (east, STARTS), starts);
  for (int i = 0; i < RUNNING_CALLS; i++)
    {
      sgr_probe_answer_t answer;

      sgr_path_answer_receive (sockets[i], &running[i], &answer);
      assert_int_equal (answer.status, 200);
      sgr_probe_release (&answer);
    }
  assert_true (sgr_fixture_event_await (&fixture, cut, "source=peer", 1));
  assert_int_equal (sgr_fixture_metric (cut, "siskingrade_evacuation_known"), 1);
  evacuate ("DELETE");
  change_await ("event=evacuation-ended domain=east", 0);
  status_check (cut, "\"evacuated\":[]");
  for (size_t i = 0; i < fixture.count; i++)
    assert_true (
        metric_await (&fixture.nodes[i], "siskingrade_targets{service=\"one\"}", 2, WAIT_MAX_US));
  assert_true (metric_await (east, "siskingrade_gate_evacuations_ended_total", 1, WAIT_MAX_US));
  end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  while (sgr_fixture_metric (east, STARTS) == starts && sgr_clock_monotonic_us () < end_us)
    calls_check (east);
  assert_true (sgr_fixture_metric (east, STARTS) > starts);
}

/* Sends calls to a node from its start on until it serves. */
static void
restart_check (sgr_fixture_node_t *node)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  int served = 0;

  sgr_fixture_process_kill (&node->pid);
  sgr_fixture_node_start (&fixture, node);
  while (served < CALLS)
    {
      sgr_path_call_t call = call_of (node);
      sgr_probe_answer_t answer;
      int socket = sgr_path_call_send (&call);

      assert_true (sgr_clock_monotonic_us () < end_us);
      if (socket < 0)
        {
          sgr_fixture_poll_sleep ();
          continue;
        }
      sgr_path_answer_receive (socket, &call, &answer);
      served += answer.status == 200;
      sgr_probe_release (&answer);
    }
}

/* Guards against a node that starts during an evacuation and sends calls to the domain before it
   knows of it, also while the store turns it away or is down, and against the restarted gate of the
   domain, which admits them. */
static void
test_restarted_nodes_know_it_first (void **state)
{
  uint64_t starts;

  evacuate ("PUT");
  change_await ("event=evacuation-in-force domain=east", 1);
  starts = sgr_fixture_metric (east, STARTS);
  restart_check (entry);
  restart_check (cut);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  restart_check (entry);
  assert_int_equal (sgr_fixture_metric (east, STARTS), starts);
  assert_int_equal (
      sgr_fixture_metric (entry, "siskingrade_evacuation_changes_total{source=\"peer"), 1);
  restart_check (east);
  assert_int_equal (sgr_fixture_metric (east, STARTS), 0);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
}

/* Guards against a node that the store turns away and that waits 3 s for evacuations, although
   nodes that have run for long tell that there is none. */
static void
test_peers_tell_that_there_is_none (void **state)
{
  uint64_t start_us;

  usleep (OLDER_PEER_US);
  sgr_fixture_process_kill (&cut->pid);
  start_us = sgr_clock_monotonic_us ();
  sgr_fixture_node_start (&fixture, cut);
  assert_true (
      sgr_fixture_event_await (&fixture, cut, "event=evacuations-known domains=0 source=peer", 1));
  print_message ("known after %lu ms\n", sgr_ms_of (sgr_clock_monotonic_us () - start_us));
  assert_true (sgr_fixture_service_await (cut, "one"));
}

/* Waits until a call through a node succeeds, and checks that none does before the node may serve.
 */
static void
first_answer_check (const sgr_fixture_node_t *node, const char *service, uint64_t start_us)
{
  uint64_t end_us = start_us + WAIT_MAX_US;
  int status = 0;

  while (status != 200)
    {
      sgr_path_call_t call = call_of (node);
      sgr_probe_answer_t answer;
      int socket;

      call.service = service;
      socket = sgr_path_call_send (&call);
      assert_true (sgr_clock_monotonic_us () < end_us);
      if (socket < 0)
        {
          sgr_fixture_poll_sleep ();
          continue;
        }
      sgr_path_answer_receive (socket, &call, &answer);
      status = answer.status;
      sgr_probe_release (&answer);
    }
  assert_true (sgr_clock_monotonic_us () >= start_us + START_WAIT_US);
}

static int
ignorant_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.limits = "  heartbeat_ms: 50\n  silence_ms: 300\n";
  entry = sgr_fixture_node_add (&fixture, "entry", NULL, false);
  east = sgr_fixture_node_add (&fixture, "east", "one", false);
  west = sgr_fixture_node_add (&fixture, "west", "two", false);
  cut = sgr_fixture_node_add (&fixture, "cut", NULL, false);
  west->limits = cut->limits = "  evacuation: 5s\n";
  west->store_port = cut->store_port = sgr_fixture_port_find ();
  return 0;
}

/* Guards against a node that knows configuration and members but not the evacuations, and sends
   calls or admits them at its gate before its wait is over. The store turns these two nodes away;
   the other ones do not follow evacuations. */
static void
test_nothing_is_sent_before_the_wait_is_over (void **state)
{
  uint64_t start_us = sgr_clock_monotonic_us ();

  assert_true (sgr_fixture_processes_start (&fixture));
  first_answer_check (cut, "one", start_us);
  first_answer_check (entry, "two", start_us);
  assert_int_equal (sgr_fixture_metric (cut, "siskingrade_evacuation_known"), 0);
}

/* Guards against a node that never serves because neither the store nor a peer tells it the
   evacuations, and against one that does not wait for them. */
static void
test_no_store_and_no_peer (void **state)
{
  sgr_probe_request_t request = { .port = west->control, .path = "/v1/ready" };
  sgr_probe_answer_t answer;
  uint64_t start_us;

  for (size_t i = 0; i < fixture.count; i++)
    sgr_fixture_process_kill (&fixture.nodes[i].pid);
  sgr_fixture_store_faults_set (&fixture, "outage=1");
  start_us = sgr_clock_monotonic_us ();
  sgr_fixture_node_start (&fixture, west);
  assert_true (sgr_fixture_event_await (&fixture, west, "event=evacuations-unknown", 1));
  assert_true (sgr_clock_monotonic_us () >= start_us + START_WAIT_US);
  assert_int_equal (sgr_fixture_metric (west, "siskingrade_evacuation_known"), 0);
  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 503);
  sgr_probe_release (&answer);
  sgr_fixture_store_faults_set (&fixture, "outage=0");
  assert_true (metric_await (west, "siskingrade_evacuation_known", 1, WAIT_MAX_US));
  assert_true (sgr_fixture_service_await (west, "one"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_evacuated_domain_gets_no_new_work, test_setup,
                                     test_teardown),
    cmocka_unit_test_setup_teardown (test_restarted_nodes_know_it_first, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_peers_tell_that_there_is_none, test_setup, test_teardown),
    cmocka_unit_test_setup_teardown (test_nothing_is_sent_before_the_wait_is_over, ignorant_setup,
                                     test_teardown),
    cmocka_unit_test_setup_teardown (test_no_store_and_no_peer, test_setup, test_teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
