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
 * Random faults, drawn from a seed, at real processes while callers go on. All answers are checked
 * afterwards against what the targets ran: no answer is mixed up or cut unseen, nothing runs twice
 * that must not, not-run is true, and everything is served again once the faults are over.
 *
 * By hand: SGR_SOAK_SEEDS=FIRST:COUNT build/tests/test_soak
 */

#define CALLERS 8
#define CALLS_MAX 4000
#define FAULTS_MAX 64
#define LARGE_BYTES 200000
#define EXECUTIONS_MAX (4 * CALLS_MAX)

typedef enum
{
  FAULT_KILL,
  FAULT_TERM,
  FAULT_PAUSE,
  FAULT_RELOAD,
  FAULT_TARGET_KILL,
  FAULT_TARGET_PAUSE,
  FAULT_SILENCE,
  FAULT_ONE_WAY,
  FAULT_CUT,
  FAULT_DELAY,
  FAULT_REFUSE,
  FAULT_STORE_DOWN,
  FAULT_STORE_SLOW,
  FAULT_STORE_LOST,
  FAULT_COUNT,
} fault_kind_t;

static const char *const fault_names[FAULT_COUNT]
    = { "kill",    "term", "pause", "reload", "target-kill", "target-pause", "silence",
        "one-way", "cut",  "delay", "refuse", "store-down",  "store-slow",   "store-lost" };

/* A fault begins and, for some kinds, ends at a time of the run. */
typedef struct
{
  uint64_t at_us;
  fault_kind_t kind;
  size_t node;
  bool is_end;
} event_t;

typedef struct
{
  sgr_path_call_t call;
  sgr_probe_answer_t answer;
} record_t;

typedef struct
{
  sgr_fixture_t fixture;
  uint64_t seed;
  event_t events[2 * FAULTS_MAX];
  size_t event_count;
  record_t *records;
  _Atomic size_t record_count;
  _Atomic bool is_over;
  char executions[96];
} soak_t;

/** struct caller_t - one thread with a sequence of calls of its own */
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

  while (!caller->soak->is_over)
    {
      size_t number = caller->soak->record_count++;
      record_t *record = &caller->soak->records[number];
      uint64_t draw = sgr_rng_below (&caller->rng, 10);
      struct timespec pause = { .tv_nsec = (long)sgr_rng_below (&caller->rng, 20) * 1000000 };
      int fd;

      if (number >= CALLS_MAX)
        return NULL;
      record->call = (sgr_path_call_t){
        .entry
        = &caller->soak->fixture.nodes[sgr_rng_below (&caller->rng, caller->soak->fixture.count)],
        .service = services[sgr_rng_below (&caller->rng, 2)],
        .method = draw < 5 ? "POST" : "GET",
        .path = draw == 9 ? "/bytes/200000" : "/",
        .body = draw < 5 ? "write" : NULL,
        .deadline_ms = draw % 2 == 0 ? 800 : 3000,
      };
      fd = sgr_path_send (&record->call);
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
      /* A stop that was asked for ends with status 0, or by the signal before it is handled. */
      int status = sgr_fixture_wait (&node->pid, 30000);

      if (status != 0 && status != 128 + SIGTERM)
        fail_msg ("seed %lu: %s ended with status %d", soak.seed, node->name, status);
    }
  sgr_fixture_node_start (&soak.fixture, node);
}

static void
fault_begin (const event_t *event, sgr_fixture_node_t *node)
{
  switch (event->kind)
    {
    case FAULT_KILL:
      sgr_fixture_kill (&node->pid);
      break;
    case FAULT_TERM:
      kill (node->pid, SIGTERM);
      break;
    case FAULT_PAUSE:
      kill (node->pid, SIGSTOP);
      break;
    case FAULT_RELOAD:
      /* Before the program has begun the signal ends it, whatever the program does. */
      if (sgr_fixture_metric (node, "siskingrade_config_revision") > 0)
        kill (node->pid, SIGHUP);
      break;
    case FAULT_TARGET_KILL:
      sgr_fixture_kill (&node->target_pid);
      break;
    case FAULT_TARGET_PAUSE:
      kill (node->target_pid, SIGSTOP);
      break;
    case FAULT_SILENCE:
      sgr_relay_now (node->relay, SGR_RELAY_SILENCE);
      break;
    case FAULT_ONE_WAY:
      sgr_relay_now (node->relay, SGR_RELAY_MUTE_DOWN);
      break;
    case FAULT_CUT:
      sgr_relay_now (node->relay, SGR_RELAY_CUT);
      break;
    case FAULT_DELAY:
      sgr_relay_delay (node->relay, 30 * SGR_USEC_PER_MSEC);
      break;
    case FAULT_REFUSE:
      sgr_relay_refuse (node->relay, 1);
      break;
    case FAULT_STORE_DOWN:
      sgr_fixture_store_fault (&soak.fixture, "outage=1");
      break;
    case FAULT_STORE_SLOW:
      sgr_fixture_store_fault (&soak.fixture, "slow_ms=400");
      break;
    default:
      sgr_fixture_store_fault (&soak.fixture, "lose_reply=2");
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
    case FAULT_TARGET_KILL:
      sgr_fixture_target_start (&soak.fixture, node);
      break;
    case FAULT_TARGET_PAUSE:
      kill (node->target_pid, SIGCONT);
      break;
    case FAULT_DELAY:
      sgr_relay_delay (node->relay, 0);
      break;
    case FAULT_REFUSE:
      sgr_relay_refuse (node->relay, 0);
      break;
    case FAULT_STORE_DOWN:
    case FAULT_STORE_SLOW:
    case FAULT_STORE_LOST:
      sgr_fixture_store_fault (&soak.fixture, "outage=0&slow_ms=0&lose_reply=0");
      break;
    default:
      break;
    }
}

static bool
is_of_node (fault_kind_t kind)
{
  return kind <= FAULT_RELOAD;
}

static bool
is_of_target (fault_kind_t kind)
{
  return kind == FAULT_TARGET_KILL || kind == FAULT_TARGET_PAUSE;
}

static int
event_order (const void *a, const void *b)
{
  const event_t *left = a, *right = b;

  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

/* Faults of one node or target do not overlap, those of several do. */
static void
events_draw (uint64_t length_us)
{
  uint64_t node_free_us[SGR_FIXTURE_NODES_MAX] = { 0 };
  uint64_t at_us = 0;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, soak.seed);
  soak.event_count = 0;
  while (soak.event_count < 2 * FAULTS_MAX)
    {
      event_t event = { .kind = (fault_kind_t)sgr_rng_below (&rng, FAULT_COUNT) };
      uint64_t lasts_us = (50 + sgr_rng_below (&rng, 1200)) * SGR_USEC_PER_MSEC;

      at_us += sgr_rng_below (&rng, 400) * SGR_USEC_PER_MSEC;
      if (at_us > length_us)
        break;
      event.at_us = at_us;
      event.node = sgr_rng_below (&rng, soak.fixture.count);
      if ((is_of_node (event.kind) || is_of_target (event.kind))
          && node_free_us[event.node] > at_us)
        continue;
      if (is_of_target (event.kind) && soak.fixture.nodes[event.node].service == NULL)
        continue;
      if (is_of_node (event.kind) || is_of_target (event.kind))
        node_free_us[event.node] = at_us + lasts_us + SGR_USEC_PER_MSEC;
      soak.events[soak.event_count++] = event;
      event.at_us += lasts_us;
      event.is_end = true;
      soak.events[soak.event_count++] = event;
    }
  qsort (soak.events, soak.event_count, sizeof soak.events[0], event_order);
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
        sgr_fixture_pause ();
      print_message ("  %5lu ms %s %s at %s\n", (unsigned long)(event->at_us / SGR_USEC_PER_MSEC),
                     event->is_end ? "end of" : "begin", fault_names[event->kind], node->name);
      if (event->is_end)
        fault_end (event, node);
      else
        fault_begin (event, node);
    }
}

/* Ids of the requests that ran, one a line, in the file that all targets append to. */
static char *
executions_read (void)
{
  FILE *file = fopen (soak.executions, "r");
  size_t room = 64 * EXECUTIONS_MAX;
  char *text = calloc (room, 1);

  assert_non_null (text);
  if (file != NULL)
    {
      text[0] = '\n';
      text[1 + fread (text + 1, 1, room - 2, file)] = '\0';
      fclose (file);
    }
  return text;
}

static unsigned
executions_of (const char *text, const char *id)
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

      sgr_path_check (&record->call, &record->answer, executions_of (text, record->call.id));
      served += record->answer.status == 200 && record->answer.end == SGR_PROBE_WHOLE;
      sgr_probe_release (&record->answer);
    }
  print_message ("seed %lu: %zu faults, %zu calls, %zu served\n", soak.seed, soak.event_count / 2,
                 count, served);
  assert_true (served > 0);
  free (text);
}

static void
soak_run (uint64_t seed, uint64_t length_us)
{
  static char options[160];
  caller_t callers[CALLERS];

  soak = (soak_t){ .seed = seed };
  soak.records = calloc (CALLS_MAX + CALLERS, sizeof *soak.records);
  sgr_fixture_init (&soak.fixture);
  snprintf (soak.executions, sizeof soak.executions, "%s/executions", soak.fixture.folder);
  snprintf (options, sizeof options, "--service-us=3000 --execution-log=%s", soak.executions);
  soak.fixture.target_options = options;
  sgr_fixture_node_add (&soak.fixture, "entry", NULL, true);
  sgr_fixture_node_add (&soak.fixture, "pair-a", "pair", true);
  sgr_fixture_node_add (&soak.fixture, "pair-b", "pair", true);
  sgr_fixture_node_add (&soak.fixture, "one-a", "one", true);
  sgr_fixture_node_add (&soak.fixture, "one-b", "one", true);
  assert_true (sgr_fixture_start (&soak.fixture));
  events_draw (length_us);
  for (size_t i = 0; i < CALLERS; i++)
    {
      callers[i].soak = &soak;
      sgr_rng_seed (&callers[i].rng, seed * CALLERS + i);
      assert_int_equal (pthread_create (&callers[i].thread, NULL, caller_run, &callers[i]), 0);
    }
  events_run ();
  soak.is_over = true;
  for (size_t i = 0; i < CALLERS; i++)
    pthread_join (callers[i].thread, NULL);
  if (!sgr_fixture_await (&soak.fixture))
    fail_msg ("seed %lu: not everything is served after the faults", seed);
  answers_check ();
  unlink (soak.executions);
  sgr_fixture_stop (&soak.fixture);
  free (soak.records);
}

static void
seeds_run (void)
{
  /* The first one is the short run of every build. Others have failed once:
     102, 126: SIGHUP during the start of a node ended it. */
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

/* Guards against promises that hold for each fault alone and not for several together. */
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
