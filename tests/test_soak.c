#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"
#include "result.h"
#include "rng.h"
#include "timer_heap.h"
#include "types.h"

/*
 * Random faults of real processes and connections, generated from a seed, while callers send calls.
 * Afterwards each answer is checked against the executions at the targets with
 * sgr_path_answer_check(), and every service must be served through every node again.
 *
 * To run other seeds: SGR_SOAK_SEEDS=FIRST:COUNT build/tests/test_soak
 */

#define CALLERS 8
#define CALLS_MAX 4000
#define FAULTS_MAX 64
#define DEAD_ADDRESSES_MAX 4
#define EXECUTIONS_MAX (4 * CALLS_MAX)

/**
 * enum fault_kind_t - what fails
 * @FAULT_KILL: the node gets SIGKILL; restarted at the end
 * @FAULT_TERM: the node gets SIGTERM; restarted at the end
 * @FAULT_PAUSE: the node gets SIGSTOP, and SIGCONT at the end
 * @FAULT_RELOAD: the node gets SIGHUP
 * @FAULT_TARGET_KILL: the target gets SIGKILL; restarted at the end
 * @FAULT_TARGET_PAUSE: the target gets SIGSTOP, and SIGCONT at the end
 * @FAULT_SILENCE: SGR_RELAY_SILENCE of connections from other nodes
 * @FAULT_SILENCE_TO_CLIENT: SGR_RELAY_SILENCE_TO_CLIENT of connections from other nodes
 * @FAULT_CLOSE: SGR_RELAY_CLOSE of connections from other nodes
 * @FAULT_DELAY: connections from other nodes are delayed until the end
 * @FAULT_REFUSE: new connections from other nodes are refused until the end
 * @FAULT_STORE_DOWN: the store is unavailable until the end
 * @FAULT_STORE_SLOW: the store replies late until the end
 * @FAULT_STORE_REPLY_LOST: two replies of the store are lost
 * @FAULT_COUNT: number of the faults above, which are drawn at random
 * @FAULT_DEAD_ADDRESS: another writer announces a target at whose address connect() fails at once;
 *                      the target is started anew at the end
 */
typedef enum
{
  FAULT_KILL,
  FAULT_TERM,
  FAULT_PAUSE,
  FAULT_RELOAD,
  FAULT_TARGET_KILL,
  FAULT_TARGET_PAUSE,
  FAULT_SILENCE,
  FAULT_SILENCE_TO_CLIENT,
  FAULT_CLOSE,
  FAULT_DELAY,
  FAULT_REFUSE,
  FAULT_STORE_DOWN,
  FAULT_STORE_SLOW,
  FAULT_STORE_REPLY_LOST,
  FAULT_COUNT,
  FAULT_DEAD_ADDRESS = FAULT_COUNT,
} fault_kind_t;

static const char *const fault_names[FAULT_COUNT + 1] = { "kill",        "term",
                                                          "pause",       "reload",
                                                          "target-kill", "target-pause",
                                                          "silence",     "silence-to-client",
                                                          "close",       "delay",
                                                          "refuse",      "store-down",
                                                          "store-slow",  "store-reply-lost",
                                                          "dead-address" };

/**
 * struct event_t - the start or the end of a fault
 * @at_us: time since the start of the run, in microseconds
 * @kind: the fault
 * @node: index of the node that it affects
 * @is_end: true for the end of the fault, false for its start
 */
typedef struct
{
  uint64_t at_us;
  fault_kind_t kind;
  size_t node;
  bool is_end;
} event_t;

/** struct record_t - a call and its answer */
typedef struct
{
  sgr_path_call_t call;
  sgr_probe_answer_t answer;
} record_t;

typedef struct
{
  sgr_fixture_t fixture;
  uint64_t seed;
  event_t events[2 * FAULTS_MAX]; /* start and end of each fault, by time */
  size_t event_count;
  record_t *records;
  _Atomic size_t record_count;
  _Atomic bool is_stopping;
  char executions_path[96];
} soak_t;

/** struct caller_t - a thread that sends calls one after the other */
typedef struct
{
  soak_t *soak;
  sgr_rng_t rng;
  pthread_t thread;
} caller_t;

static soak_t soak;

static void *
caller_run (void *argument)
{
  caller_t *caller = argument;
  static const char *const services[] = { "one", "pair" };

  while (!caller->soak->is_stopping)
    {
      size_t index = caller->soak->record_count++;
      record_t *record = &caller->soak->records[index];
      /* 0 to 4: POST; 5 to 8: GET; 9: GET with a large answer. Even: short deadline. */
      uint64_t choice = sgr_rng_below (&caller->rng, 10);
      struct timespec pause = { .tv_nsec = (long)sgr_rng_below (&caller->rng, 20) * 1000000 };
      int fd;

      if (index >= CALLS_MAX)
        return NULL;
      record->call = (sgr_path_call_t){
        .entry
        = &caller->soak->fixture.nodes[sgr_rng_below (&caller->rng, caller->soak->fixture.count)],
        .service = services[sgr_rng_below (&caller->rng, 2)],
        .method = choice < 5 ? "POST" : "GET",
        .path = choice == 9 ? "/bytes/200000" : "/",
        .body = choice < 5 ? "write" : NULL,
        .deadline_ms = choice % 2 == 0 ? 800 : 3000,
      };
      fd = sgr_path_call_send (&record->call);
      if (fd >= 0)
        sgr_probe_receive (fd, &record->call.request, &record->answer);
      nanosleep (&pause, NULL);
    }
  return NULL;
}

static void
node_restart (sgr_fixture_node_t *node)
{
  if (node->pid > 0)
    {
      kill (node->pid, SIGCONT);
      /* After SIGTERM the node exits with status 0, or the signal ends it before the node handles
         signals. */
      int status = sgr_fixture_process_wait (&node->pid, 30000);

      if (status != 0 && status != 128 + SIGTERM)
        fail_msg ("seed %lu: %s ended with status %d", soak.seed, node->name, status);
    }
  sgr_fixture_node_start (&soak.fixture, node);
}

/* Announces a target that is newer than the one of the node. The node may be down, or refuse it. */
static void
dead_address_announce (const sgr_fixture_node_t *node)
{
  char body[256];
  sgr_probe_request_t request = {
    .port = node->control, .method = "PUT", .path = "/v1/target", .body = body, .timeout_ms = 200
  };
  sgr_probe_answer_t answer;

  request.body_length = (size_t)snprintf (
      body, sizeof body,
      "{\"service\":\"%s\",\"instance\":\"other\",\"address\":\"127.255.255.255:9\","
      "\"slots\":16,\"started_ms\":%lu}",
      node->service, sgr_clock_wall_ms ());
  sgr_probe_call (&request, &answer);
  sgr_probe_release (&answer);
}

static void
fault_begin (const event_t *event, sgr_fixture_node_t *node)
{
  switch (event->kind)
    {
    case FAULT_KILL:
      sgr_fixture_process_kill (&node->pid);
      break;
    case FAULT_TERM:
      kill (node->pid, SIGTERM);
      break;
    case FAULT_PAUSE:
      kill (node->pid, SIGSTOP);
      break;
    case FAULT_RELOAD:
      /* SIGHUP ends a process that has not blocked it yet. A node that has a configuration has
         blocked SIGHUP, so only such a node gets the signal. */
      if (sgr_fixture_metric (node, "siskingrade_config_revision") > 0)
        kill (node->pid, SIGHUP);
      break;
    case FAULT_TARGET_KILL:
      sgr_fixture_process_kill (&node->target_pid);
      break;
    case FAULT_TARGET_PAUSE:
      kill (node->target_pid, SIGSTOP);
      break;
    case FAULT_SILENCE:
      sgr_relay_action_apply (node->relay, SGR_RELAY_SILENCE);
      break;
    case FAULT_SILENCE_TO_CLIENT:
      sgr_relay_action_apply (node->relay, SGR_RELAY_SILENCE_TO_CLIENT);
      break;
    case FAULT_CLOSE:
      sgr_relay_action_apply (node->relay, SGR_RELAY_CLOSE);
      break;
    case FAULT_DELAY:
      sgr_relay_delay_set (node->relay, 30 * SGR_USEC_PER_MSEC);
      break;
    case FAULT_REFUSE:
      sgr_relay_refuse_set (node->relay, 1);
      break;
    case FAULT_STORE_DOWN:
      sgr_fixture_store_faults_set (&soak.fixture, "outage=1");
      break;
    case FAULT_STORE_SLOW:
      sgr_fixture_store_faults_set (&soak.fixture, "slow_ms=400");
      break;
    case FAULT_DEAD_ADDRESS:
      dead_address_announce (node);
      break;
    default:
      sgr_fixture_store_faults_set (&soak.fixture, "lose_reply=2");
      break;
    }
}

static void
fault_end (const event_t *event, sgr_fixture_node_t *node)
{
  switch (event->kind)
    {
    case FAULT_KILL:
    case FAULT_TERM:
      node_restart (node);
      break;
    case FAULT_PAUSE:
      kill (node->pid, SIGCONT);
      break;
    case FAULT_DEAD_ADDRESS:
      sgr_fixture_process_kill (&node->target_pid);
      sgr_fixture_target_start (&soak.fixture, node);
      break;
    case FAULT_TARGET_KILL:
      sgr_fixture_target_start (&soak.fixture, node);
      break;
    case FAULT_TARGET_PAUSE:
      kill (node->target_pid, SIGCONT);
      break;
    case FAULT_DELAY:
      sgr_relay_delay_set (node->relay, 0);
      break;
    case FAULT_REFUSE:
      sgr_relay_refuse_set (node->relay, 0);
      break;
    case FAULT_STORE_DOWN:
    case FAULT_STORE_SLOW:
    case FAULT_STORE_REPLY_LOST:
      sgr_fixture_store_faults_set (&soak.fixture, "outage=0&slow_ms=0&lose_reply=0");
      break;
    default:
      break;
    }
}

static bool
is_node_fault (fault_kind_t kind)
{
  return kind <= FAULT_RELOAD;
}

static bool
is_target_fault (fault_kind_t kind)
{
  return kind == FAULT_TARGET_KILL || kind == FAULT_TARGET_PAUSE || kind == FAULT_DEAD_ADDRESS;
}

static int
event_compare (const void *a, const void *b)
{
  const event_t *left = a, *right = b;

  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

/* Generates the faults from the seed. Process faults of the same node and its target do not
   overlap; all others may. */
static void
events_generate (uint64_t length_us)
{
  uint64_t idle_from_us[SGR_FIXTURE_NODES_MAX] = { 0 };
  uint64_t at_us = 0;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, soak.seed);
  soak.event_count = 0;
  while (soak.event_count < 2 * FAULTS_MAX)
    {
      event_t event = { .kind = (fault_kind_t)sgr_rng_below (&rng, FAULT_COUNT) };
      uint64_t duration_us = (50 + sgr_rng_below (&rng, 1200)) * SGR_USEC_PER_MSEC;

      at_us += sgr_rng_below (&rng, 400) * SGR_USEC_PER_MSEC;
      if (at_us > length_us)
        break;
      event.at_us = at_us;
      event.node = sgr_rng_below (&rng, soak.fixture.count);
      if ((is_node_fault (event.kind) || is_target_fault (event.kind))
          && idle_from_us[event.node] > at_us)
        continue;
      if (is_target_fault (event.kind) && soak.fixture.nodes[event.node].service == NULL)
        continue;
      if (is_node_fault (event.kind) || is_target_fault (event.kind))
        idle_from_us[event.node] = at_us + duration_us + SGR_USEC_PER_MSEC;
      soak.events[soak.event_count++] = event;
      event.at_us += duration_us;
      event.is_end = true;
      soak.events[soak.event_count++] = event;
    }
  qsort (soak.events, soak.event_count, sizeof soak.events[0], event_compare);
}

/* Whether a fault of the target of a node overlaps a time. */
static bool
target_is_busy (size_t node, uint64_t from_us, uint64_t to_us)
{
  for (size_t i = 0; i < soak.event_count; i++)
    {
      const event_t *begin = &soak.events[i];
      uint64_t end_us = begin->at_us;

      if (begin->is_end || begin->node != node || !is_target_fault (begin->kind))
        continue;
      for (size_t j = i + 1; j < soak.event_count; j++)
        if (soak.events[j].is_end && soak.events[j].node == node
            && soak.events[j].kind == begin->kind)
          {
            end_us = soak.events[j].at_us;
            break;
          }
      if (from_us <= end_us + SGR_USEC_PER_MSEC && begin->at_us <= to_us + SGR_USEC_PER_MSEC)
        return true;
    }
  return false;
}

/* Adds announcements of other writers, by a generator of their own, so that the other faults of a
   seed stay the same. */
static void
dead_addresses_add (uint64_t length_us)
{
  size_t count;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, ~soak.seed);
  count = 1 + sgr_rng_below (&rng, DEAD_ADDRESSES_MAX);
  for (size_t i = 0; i < count && soak.event_count < 2 * FAULTS_MAX; i++)
    {
      event_t event = { .kind = FAULT_DEAD_ADDRESS,
                        .at_us = sgr_rng_below (&rng, length_us),
                        .node = sgr_rng_below (&rng, soak.fixture.count) };
      uint64_t end_us = event.at_us + (50 + sgr_rng_below (&rng, 1200)) * SGR_USEC_PER_MSEC;

      if (soak.fixture.nodes[event.node].service == NULL
          || target_is_busy (event.node, event.at_us, end_us))
        continue;
      soak.events[soak.event_count++] = event;
      event.at_us = end_us;
      event.is_end = true;
      soak.events[soak.event_count++] = event;
      qsort (soak.events, soak.event_count, sizeof soak.events[0], event_compare);
    }
}

static void
events_run (void)
{
  uint64_t start_us = sgr_clock_monotonic_us ();

  for (size_t i = 0; i < soak.event_count; i++)
    {
      const event_t *event = &soak.events[i];
      sgr_fixture_node_t *node = &soak.fixture.nodes[event->node];

      while (sgr_clock_monotonic_us () < start_us + event->at_us)
        sgr_fixture_poll_sleep ();
      print_message ("  %5lu ms %s %s at %s\n", (unsigned long)(event->at_us / SGR_USEC_PER_MSEC),
                     event->is_end ? "end of" : "begin", fault_names[event->kind], node->name);
      if (event->is_end)
        fault_end (event, node);
      else
        fault_begin (event, node);
    }
}

/* Reads the file to which all targets append the id of each request that ran, one per line. Returns
   the text with a line break before the first id, so that executions_count() matches whole lines.
 */
static char *
executions_read (void)
{
  FILE *file = fopen (soak.executions_path, "r");
  size_t capacity = 64 * EXECUTIONS_MAX; /* an id with its line break has at most 64 bytes */
  char *text = calloc (capacity, 1);

  assert_non_null (text);
  if (file != NULL)
    {
      text[0] = '\n';
      text[1 + fread (text + 1, 1, capacity - 2, file)] = '\0';
      fclose (file);
    }
  return text;
}

static unsigned
executions_count (const char *text, const char *id)
{
  unsigned count = 0;
  char line[64];

  snprintf (line, sizeof line, "\n%s\n", id);
  for (const char *at = text; (at = strstr (at, line)) != NULL; at++)
    count++;
  return count;
}

static void
answers_check (void)
{
  size_t count = soak.record_count < CALLS_MAX ? soak.record_count : CALLS_MAX;
  char *text = executions_read ();
  size_t served = 0;

  for (size_t i = 0; i < count; i++)
    {
      record_t *record = &soak.records[i];

      sgr_path_answer_check (&record->call, &record->answer,
                             executions_count (text, record->call.id));
      served += record->answer.status == 200 && record->answer.end == SGR_PROBE_WHOLE;
      sgr_probe_release (&record->answer);
    }
  print_message ("seed %lu: %zu faults, %zu calls, %zu answered with status 200\n", soak.seed,
                 soak.event_count / 2, count, served);
  assert_true (served > 0);
  free (text);
}

static void
soak_run (uint64_t seed, uint64_t length_us)
{
  static char options[160];
  caller_t callers[CALLERS];

  soak = (soak_t){ .seed = seed };
  /* Each caller may reserve one record beyond CALLS_MAX before it stops. */
  soak.records = calloc (CALLS_MAX + CALLERS, sizeof *soak.records);
  sgr_fixture_init (&soak.fixture);
  snprintf (soak.executions_path, sizeof soak.executions_path, "%s/executions",
            soak.fixture.directory);
  snprintf (options, sizeof options, "--service-us=3000 --execution-log=%s", soak.executions_path);
  soak.fixture.target_options = options;
  sgr_fixture_node_add (&soak.fixture, "entry", NULL, true);
  sgr_fixture_node_add (&soak.fixture, "pair-a", "pair", true);
  sgr_fixture_node_add (&soak.fixture, "pair-b", "pair", true);
  sgr_fixture_node_add (&soak.fixture, "one-a", "one", true);
  sgr_fixture_node_add (&soak.fixture, "one-b", "one", true);
  assert_true (sgr_fixture_start (&soak.fixture));
  events_generate (length_us);
  dead_addresses_add (length_us);
  for (size_t i = 0; i < CALLERS; i++)
    {
      callers[i].soak = &soak;
      sgr_rng_seed (&callers[i].rng, seed * CALLERS + i);
      assert_int_equal (pthread_create (&callers[i].thread, NULL, caller_run, &callers[i]), 0);
    }
  events_run ();
  soak.is_stopping = true;
  for (size_t i = 0; i < CALLERS; i++)
    pthread_join (callers[i].thread, NULL);
  if (!sgr_fixture_services_await (&soak.fixture))
    fail_msg ("seed %lu: a node does not serve every service after the faults", seed);
  answers_check ();
  unlink (soak.executions_path);
  sgr_fixture_stop (&soak.fixture);
  free (soak.records);
}

static void
seeds_run (void)
{
  /* Seed 1 is a short general run. Seeds 102 and 126 are regression tests: SIGHUP ended a node
     that was starting. */
  static const struct
  {
    uint64_t seed;
    uint64_t length_us;
  } runs[] = { { 1, 4 * SGR_USEC_PER_SEC },
               { 102, 8 * SGR_USEC_PER_SEC },
               { 126, 8 * SGR_USEC_PER_SEC } };
  const char *text = getenv ("SGR_SOAK_SEEDS");
  unsigned long first, count;

  if (text != NULL && sscanf (text, "%lu:%lu", &first, &count) == 2)
    {
      for (unsigned long seed = first; seed < first + count; seed++)
        soak_run (seed, 8 * SGR_USEC_PER_SEC);
      return;
    }
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    soak_run (runs[i].seed, runs[i].length_us);
}

/* Guards against wrong answers and lasting failures that occur only when several faults overlap. */
static void
test_soak (void **state)
{
  seeds_run ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_soak) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
