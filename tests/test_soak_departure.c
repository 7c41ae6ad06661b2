#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "rng.h"
#include "types.h"

/*
 * Random series, generated from a seed, of announcements, drains, leaves and late announcements of
 * a target, kills and stops of its node, kills of all nodes, and troubles of the store: it refuses
 * all calls, is silent, or takes a write and loses the answer. A target that drains or has left
 * must get no work, also after a kill of its node if that was acknowledged, and one that runs must
 * get some.
 *
 * To run other seeds: SGR_SOAK_SEEDS=FIRST:COUNT build/tests/test_soak_departure
 */

#define STEPS 20
/* Longest time that a step waits for a condition. */
#define WAIT_MAX_US (10 * SGR_USEC_PER_SEC)
/* Time for which each step checks that a departed target gets no work. */
#define CHECK_US (300 * SGR_USEC_PER_MSEC)
/* Time between two announcements of a running target. */
#define INTERVAL_US (400 * SGR_USEC_PER_MSEC)
/* Most late announcements that arrive one after the other, and the longest time between two. */
#define LATE_MAX 4
#define LATE_GAP_US (1500 * SGR_USEC_PER_MSEC)
/* Late announcements that a departed target has sent; their sequence numbers are not used by
   others. */
#define UNSENT_MAX 8
/* Ports at which a target confirms that it runs. */
#define CONFIRM_PORTS 12
/* Delay of the answers of a silent store, longer than any call waits. */
#define STORE_SILENT "slow_ms=6000"
/* Longest time that a node takes to stop. */
#define STOP_MAX_MS 15000

typedef enum
{
  STEP_ANNOUNCE,
  STEP_DRAIN,
  STEP_LEAVE,
  STEP_LATE,
  STEP_KILL,
  STEP_STORE,
  STEP_COUNT,
} step_t;

/**
 * struct soak_t - state of one run
 * @fixture: the deployment
 * @entry: node that tells which targets get work
 * @gate: node of the target
 * @seed: seed of the run
 * @step: number of the step
 * @started_ms: start of the last instance
 * @sequence: last sequence number of that instance
 * @late_sequence: that of its last announcement that arrived late
 * @port: port of the gate at which the next announcement arrives
 * @follows_address: the target announces itself at the address that the last answer named
 * @has_departed: the node knows of the drain or leave of that instance
 * @is_store_down: the store refuses all calls or is silent
 * @loses_answer: the store loses the answer to the next write
 * @is_unacknowledged: the node refused to acknowledge the departure, so that nothing holds it if
 *                     the node is killed
 */
typedef struct
{
  sgr_fixture_t fixture;
  sgr_fixture_node_t *entry;
  sgr_fixture_node_t *gate;
  uint64_t seed;
  int step;
  unsigned long started_ms;
  unsigned sequence;
  unsigned late_sequence;
  uint16_t port;
  bool follows_address;
  bool has_departed;
  bool is_store_down;
  bool loses_answer;
  bool is_unacknowledged;
} soak_t;

static uint64_t
targets_serving (const soak_t *soak)
{
  return sgr_fixture_metric (soak->entry, "siskingrade_targets{service=\"one\"");
}

/* Sets the port for the next announcement after an answer, NULL for none. */
static void
address_follow (soak_t *soak, const char *answer)
{
  static const char key[] = "\"announce_address\":\"127.0.0.1:";
  const char *named = answer != NULL ? strstr (answer, key) : NULL;

  if (answer == NULL || !soak->follows_address)
    soak->port = soak->gate->control;
  else if (named != NULL)
    soak->port = (uint16_t)atoi (named + strlen (key));
}

/* Sends a request of the target to a port until it is answered. Returns whether it was
   acknowledged; it may only be refused if it asks for a departure during a trouble of the store. */
static bool
target_call (soak_t *soak, uint16_t port, const char *method, const char *body, bool is_departure)
{
  sgr_probe_request_t request = {
    .port = port, .method = method, .path = "/v1/target", .body = body, .body_length = strlen (body)
  };
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  int status = 0;

  /* The node may still be starting. */
  while (status == 0)
    {
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      status = answer.status;
      address_follow (soak, status == 200 ? answer.body : NULL);
      request.port = soak->gate->control;
      sgr_probe_release (&answer);
      if (status == 0 && sgr_clock_monotonic_us () > end_us)
        fail_msg ("seed %lu, step %d: no answer", soak->seed, soak->step);
    }
  if (status != 200
      && !(status == 503 && is_departure && (soak->is_store_down || soak->loses_answer)))
    fail_msg ("seed %lu, step %d: %s, status %d", soak->seed, soak->step, method, status);
  return status == 200;
}

static bool
announce (soak_t *soak, uint16_t port, const char *state, unsigned sequence)
{
  char body[256];

  snprintf (body, sizeof body,
            "{\"service\":\"one\",\"address\":\"127.0.0.1:%u\",\"slots\":4,\"state\":\"%s\","
            "\"instance\":\"i-1\",\"started_ms\":%lu,\"sequence\":%u}",
            soak->gate->target, state, soak->started_ms, sequence);
  return target_call (soak, port, "PUT", body, strcmp (state, "draining") == 0);
}

/* Announces the target until it gets work. */
static void
run_check (soak_t *soak)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US, next_us = 0;

  while (targets_serving (soak) != 1)
    {
      uint64_t now_us = sgr_clock_monotonic_us ();

      if (now_us > end_us)
        fail_msg ("seed %lu, step %d: the target gets no work", soak->seed, soak->step);
      if (now_us >= next_us)
        {
          announce (soak, soak->port, "serving", ++soak->sequence);
          next_us = now_us + INTERVAL_US;
        }
      sgr_fixture_poll_sleep ();
    }
}

/* Checks that the departed target gets no work, once the entry knows of the departure. */
static void
departed_check (const soak_t *soak)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  uint64_t end_us = now_us + WAIT_MAX_US;

  while (targets_serving (soak) != 0 && sgr_clock_monotonic_us () < end_us)
    sgr_fixture_poll_sleep ();
  end_us = sgr_clock_monotonic_us () + CHECK_US;
  while (sgr_clock_monotonic_us () < end_us)
    {
      if (targets_serving (soak) != 0)
        fail_msg ("seed %lu, step %d: the departed target gets work", soak->seed, soak->step);
      sgr_fixture_poll_sleep ();
    }
}

/* Starts a further instance of the target if the last one has departed. */
static void
instance_start (soak_t *soak)
{
  if (!soak->has_departed)
    return;
  soak->started_ms = sgr_clock_wall_ms ();
  soak->sequence = 0;
  soak->late_sequence = 0;
  soak->has_departed = false;
  soak->is_unacknowledged = false;
}

static void
depart (soak_t *soak, step_t step, sgr_rng_t *rng)
{
  if (soak->has_departed)
    return;
  run_check (soak);
  soak->loses_answer = sgr_rng_below (rng, 4) == 0;
  if (soak->loses_answer)
    sgr_fixture_store_faults_set (&soak->fixture, "lose_reply=1");
  /* Announcements that are on their way when the target departs. */
  soak->late_sequence = soak->sequence;
  soak->sequence += UNSENT_MAX;
  if (step == STEP_DRAIN)
    soak->is_unacknowledged = !announce (soak, soak->port, "draining", ++soak->sequence);
  else
    soak->is_unacknowledged = !target_call (soak, soak->gate->control, "DELETE", "", true);
  soak->has_departed = true;
  soak->loses_answer = false;
  sgr_fixture_store_faults_set (&soak->fixture, "lose_reply=0");
}

/* Waits until the record of departures has the last instance. */
static void
record_await (soak_t *soak)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  sgr_probe_request_t request = { .port = soak->fixture.store_port,
                                  .method = "GET",
                                  .path = "/v1/kv/departures/test/gate" };
  char text[48];

  snprintf (text, sizeof text, "\"started_ms\":%lu,", soak->started_ms);
  while (soak->is_unacknowledged)
    {
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      soak->is_unacknowledged = answer.body == NULL || strstr (answer.body, text) == NULL;
      sgr_probe_release (&answer);
      if (soak->is_unacknowledged && sgr_clock_monotonic_us () > end_us)
        fail_msg ("seed %lu, step %d: the departure is not stored", soak->seed, soak->step);
    }
}

static void
store_toggle (soak_t *soak, bool is_silent)
{
  soak->is_store_down = !soak->is_store_down;
  if (!soak->is_store_down)
    sgr_fixture_store_faults_set (&soak->fixture, "outage=0&slow_ms=0");
  else
    sgr_fixture_store_faults_set (&soak->fixture, is_silent ? STORE_SILENT : "outage=1");
  if (!soak->is_store_down)
    record_await (soak);
}

/* Lets announcements arrive that the target sent before it departed: mostly in their order, each as
   late as it likes. */
static void
late_arrive (soak_t *soak, sgr_rng_t *rng)
{
  unsigned count = 1 + (unsigned)sgr_rng_below (rng, LATE_MAX);
  uint16_t port = soak->port;

  for (unsigned i = 0; i < count && soak->has_departed; i++)
    {
      uint64_t end_us = sgr_clock_monotonic_us () + sgr_rng_below (rng, LATE_GAP_US);

      if (sgr_rng_below (rng, 4) > 0 && soak->late_sequence < soak->sequence - 1)
        soak->late_sequence++;
      announce (soak, port, "serving", soak->late_sequence);
      /* The target has gone and follows no address. */
      soak->port = port = soak->gate->control;
      departed_check (soak);
      while (sgr_clock_monotonic_us () < end_us)
        sgr_fixture_poll_sleep ();
    }
}

/* Waits until a node answers, or until it is ready. */
static void
node_await (const soak_t *soak, const sgr_fixture_node_t *node, bool is_ready)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  sgr_probe_request_t request = { .port = node->control, .path = "/v1/ready" };
  int status = 0;

  while (is_ready ? status != 200 : status == 0)
    {
      sgr_probe_answer_t answer;

      if (sgr_clock_monotonic_us () > end_us)
        fail_msg ("seed %lu, step %d: the node does not start", soak->seed, soak->step);
      sgr_probe_call (&request, &answer);
      status = answer.status;
      sgr_probe_release (&answer);
    }
}

/* Ends the node of the target by a kill or a signal to stop, or all nodes at once, starts them
   again, and waits until the entry knows of it. */
static void
gate_restart (soak_t *soak, sgr_rng_t *rng)
{
  bool is_stop = sgr_rng_below (rng, 4) == 0;
  bool is_common = !is_stop && sgr_rng_below (rng, 3) == 0;
  uint64_t end_us;

  /* A departure that was not acknowledged may be lost with the process, as documented. */
  if (soak->is_unacknowledged)
    instance_start (soak);
  if (is_stop)
    {
      int status;

      kill (soak->gate->pid, SIGTERM);
      status = sgr_fixture_process_wait (&soak->gate->pid, STOP_MAX_MS);
      if (status != 0)
        fail_msg ("seed %lu, step %d: the node stops with status %d", soak->seed, soak->step,
                  status);
    }
  if (is_common)
    sgr_fixture_process_kill (&soak->entry->pid);
  sgr_fixture_process_kill (&soak->gate->pid);
  if (is_common)
    sgr_fixture_node_start (&soak->fixture, soak->entry);
  sgr_fixture_node_start (&soak->fixture, soak->gate);
  /* A signal to stop finds its handler then. */
  node_await (soak, soak->gate, false);
  end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  while (targets_serving (soak) != 0)
    {
      if (sgr_clock_monotonic_us () > end_us)
        fail_msg ("seed %lu, step %d: the entry does not notice the restart", soak->seed,
                  soak->step);
      sgr_fixture_poll_sleep ();
    }
  /* Without any node that has the configuration, no target gets work before the store is back. */
  if (is_common && soak->is_store_down)
    {
      late_arrive (soak, rng);
      store_toggle (soak, false);
    }
  if (is_common)
    node_await (soak, soak->entry, true);
}

static void
step_run (soak_t *soak, step_t step, sgr_rng_t *rng)
{
  switch (step)
    {
    case STEP_ANNOUNCE:
      instance_start (soak);
      break;
    case STEP_DRAIN:
    case STEP_LEAVE:
      depart (soak, step, rng);
      break;
    case STEP_LATE:
      late_arrive (soak, rng);
      break;
    case STEP_KILL:
      gate_restart (soak, rng);
      /* Without the record, only a target that follows the address of an answer can come back. */
      soak->follows_address = soak->is_store_down || sgr_rng_below (rng, 2) == 0;
      break;
    case STEP_STORE:
      store_toggle (soak, sgr_rng_below (rng, 2) == 0);
      soak->follows_address = soak->follows_address || soak->is_store_down;
      break;
    case STEP_COUNT:
      break;
    }
}

static void
soak_run (uint64_t seed)
{
  static soak_t soak;
  sgr_rng_t rng;

  soak = (soak_t){ .seed = seed, .started_ms = sgr_clock_wall_ms () };
  sgr_rng_seed (&rng, seed);
  sgr_fixture_init (&soak.fixture);
  soak.fixture.limits = "  announce_ttl_ms: 60000\n";
  soak.fixture.has_external_targets = true;
  soak.fixture.confirm_ports = CONFIRM_PORTS;
  soak.entry = sgr_fixture_node_add (&soak.fixture, "entry", NULL, false);
  soak.gate = sgr_fixture_node_add (&soak.fixture, "gate", "one", false);
  soak.port = soak.gate->control;
  assert_true (sgr_fixture_processes_start (&soak.fixture));
  run_check (&soak);
  for (soak.step = 1; soak.step <= STEPS; soak.step++)
    {
      step_run (&soak, (step_t)sgr_rng_below (&rng, STEP_COUNT), &rng);
      /* Between kills, work may go to a target that runs, but never to one that has departed. */
      if (soak.has_departed)
        departed_check (&soak);
      else if (sgr_rng_below (&rng, 2) == 0)
        run_check (&soak);
    }
  if (soak.is_store_down)
    store_toggle (&soak, false);
  instance_start (&soak);
  run_check (&soak);
  sgr_fixture_stop (&soak.fixture);
}

/* Guards against a departure that is forgotten, or a running target that is taken for a departed
   one, when kills of the node, outages of the store and late announcements overlap. */
static void
test_departures (void **state)
{
  static const unsigned long usual[] = { 1, 10, 348 };
  const char *text = getenv ("SGR_SOAK_SEEDS");
  unsigned long first, count;

  for (size_t i = 0; text == NULL && i < sizeof usual / sizeof usual[0]; i++)
    soak_run (usual[i]);
  if (text == NULL)
    return;
  if (sscanf (text, "%lu:%lu", &first, &count) != 2)
    fail_msg ("SGR_SOAK_SEEDS: expected FIRST:COUNT");
  for (unsigned long seed = first; seed < first + count; seed++)
    soak_run (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_departures) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
