/* Cost of the call path on real processes: the same target is called directly, through its own node
   (one hop) and through another node (two hops). Rounds of the three ways alternate, so that noise
   of the machine meets all of them. */

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../tests/node_fixture.h"
#include "histogram.h"
#include "timer_heap.h"

#define THREADS 8
#define RATE 1000
#define ROUNDS 5
#define ROUND_US 900000
#define FULL_US 700000
#define GOAL_US 410
#define IDLE_CONNECTIONS 1000
#define OPEN_CALLS 600

enum
{
  DIRECT,
  ONE_HOP,
  TWO_HOPS,
  ONE_RELAY,
  TWO_RELAYS,
  WAYS,
};

/* A relay only copies bytes: it shows what the wake-ups of one or two more processes cost here. */
static const char *const way_names[WAYS]
    = { "direct", "one hop", "two hops", "one relay", "two relays" };

typedef struct
{
  uint16_t port;
  uint64_t interval_us; /* 0 for a closed loop */
  uint64_t offset_us;
  uint64_t duration_us;
  sgr_histogram_t latency;
  uint64_t calls;
  uint64_t errors;
} worker_t;

/* Reads one answer with a length. Returns whether it is a whole one with status 200. */
static bool
answer_read (int fd)
{
  char buffer[4096];
  size_t have = 0;

  while (have < sizeof buffer - 1)
    {
      ssize_t got = recv (fd, buffer + have, sizeof buffer - 1 - have, 0);
      const char *end;
      const char *length;

      if (got <= 0)
        return false;
      have += (size_t)got;
      buffer[have] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end == NULL)
        continue;
      length = strcasestr (buffer, "content-length:");
      if (length == NULL || length > end || strncmp (buffer + 9, "200", 3) != 0)
        return false;
      if (have >= (size_t)(end + 4 - buffer) + strtoul (length + 15, NULL, 10))
        return true;
    }
  return false;
}

static void
sleep_until (uint64_t time_us)
{
  struct timespec at
      = { .tv_sec = (time_t)(time_us / 1000000), .tv_nsec = (long)(time_us % 1000000) * 1000 };

  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &at, NULL);
}

static void *
worker_run (void *argument)
{
  static const char request[]
      = "GET /bytes/100 HTTP/1.1\r\nHost: one\r\nX-Request-Id: bench\r\n\r\n";
  worker_t *worker = argument;
  int fd = sgr_probe_connect (worker->port);
  uint64_t start_us = sgr_clock_monotonic_us ();
  uint64_t due_us = start_us + worker->offset_us;

  prctl (PR_SET_TIMERSLACK, 1000UL);
  while (due_us < start_us + worker->duration_us)
    {
      uint64_t sent_us;

      if (worker->interval_us > 0)
        sleep_until (due_us);
      sent_us = sgr_clock_monotonic_us ();
      if (send (fd, request, sizeof request - 1, MSG_NOSIGNAL) != (ssize_t)sizeof request - 1
          || !answer_read (fd))
        {
          worker->errors++;
          break;
        }
      sgr_histogram_record (&worker->latency, sgr_clock_monotonic_us () - sent_us);
      worker->calls++;
      due_us = worker->interval_us > 0 ? due_us + worker->interval_us : sgr_clock_monotonic_us ();
    }
  close (fd);
  return NULL;
}

/* Calls one way for a time; at a rate, or with each thread calling again at once if @rate is 0. */
static void
way_run (uint16_t port, uint64_t rate, uint64_t duration_us, worker_t *sum)
{
  static worker_t workers[THREADS];
  pthread_t threads[THREADS];

  for (size_t i = 0; i < THREADS; i++)
    {
      uint64_t interval_us = rate > 0 ? THREADS * 1000000ULL / rate : 0;

      workers[i] = (worker_t){ .port = port,
                               .interval_us = interval_us,
                               .offset_us = i * interval_us / THREADS,
                               .duration_us = duration_us };
      pthread_create (&threads[i], NULL, worker_run, &workers[i]);
    }
  for (size_t i = 0; i < THREADS; i++)
    {
      pthread_join (threads[i], NULL);
      sgr_histogram_merge (&sum->latency, &workers[i].latency);
      sum->calls += workers[i].calls;
      sum->errors += workers[i].errors;
    }
}

static double
quantile_ms (const worker_t *sum, double quantile)
{
  return (double)sgr_histogram_quantile (&sum->latency, quantile) / 1000.0;
}

static void
latency_measure (const uint16_t *ports)
{
  static worker_t sums[WAYS];

  for (int round = 0; round < ROUNDS; round++)
    {
      for (int way = 0; way < WAYS; way++)
        way_run (ports[way], RATE, ROUND_US, &sums[way]);
    }
  printf ("at %d calls a second, %d connections, %d rounds of %.1f s, service time 0\n", RATE,
          THREADS, ROUNDS, ROUND_US / 1e6);
  printf ("%-10s %8s %8s %8s %10s %10s %9s %7s\n", "way", "p50 ms", "p99 ms", "p999 ms",
          "p50 added", "p99 added", "p99 ratio", "errors");
  for (int way = 0; way < WAYS; way++)
    printf ("%-10s %8.3f %8.3f %8.3f %10.3f %10.3f %9.2f %7lu\n", way_names[way],
            quantile_ms (&sums[way], 0.5), quantile_ms (&sums[way], 0.99),
            quantile_ms (&sums[way], 0.999),
            quantile_ms (&sums[way], 0.5) - quantile_ms (&sums[DIRECT], 0.5),
            quantile_ms (&sums[way], 0.99) - quantile_ms (&sums[DIRECT], 0.99),
            quantile_ms (&sums[way], 0.99) / quantile_ms (&sums[DIRECT], 0.99), sums[way].errors);
  printf ("target for the added p99: %.2f ms; p99 beyond the relays: one hop %.3f ms, two hops "
          "%.3f ms\n",
          GOAL_US / 1000.0,
          quantile_ms (&sums[ONE_HOP], 0.99) - quantile_ms (&sums[ONE_RELAY], 0.99),
          quantile_ms (&sums[TWO_HOPS], 0.99) - quantile_ms (&sums[TWO_RELAYS], 0.99));
}

/* Processor time of a process in microseconds, in steps of a clock tick. */
static double
processor_us (pid_t pid)
{
  char path[64];
  char text[1024] = "";
  unsigned long user = 0;
  unsigned long system = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fgets (text, sizeof text, file) != NULL && strrchr (text, ')') != NULL)
    sscanf (strrchr (text, ')') + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
            &system);
  fclose (file);
  return (double)(user + system) * 1e6 / (double)sysconf (_SC_CLK_TCK);
}

static void
throughput_measure (const uint16_t *ports, const pid_t *pids)
{
  static worker_t sums[WAYS];
  double used_us[WAYS] = { 0 };

  for (int round = 0; round < 2; round++)
    {
      for (int way = 0; way < WAYS; way++)
        {
          double before_us = processor_us (pids[0]) + processor_us (pids[1]);

          way_run (ports[way], 0, FULL_US, &sums[way]);
          used_us[way] += processor_us (pids[0]) + processor_us (pids[1]) - before_us;
        }
    }
  printf ("\n%d connections without a pause; processor time of both nodes\n%-10s %10s %8s %12s "
          "%8s\n",
          THREADS, "way", "calls/s", "ratio", "us a call", "errors");
  for (int way = 0; way < WAYS; way++)
    printf ("%-10s %10.0f %8.2f %12.1f %8lu\n", way_names[way],
            (double)sums[way].calls / (2 * FULL_US / 1e6),
            (double)sums[way].calls / (double)sums[DIRECT].calls,
            used_us[way] / (double)(sums[way].calls > 0 ? sums[way].calls : 1), sums[way].errors);
}

/* Resident memory of a process in bytes. */
static long
memory_of (pid_t pid)
{
  char path[64];
  char line[256];
  long kib = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    sscanf (line, "VmRSS: %ld", &kib);
  if (file != NULL)
    fclose (file);
  return kib * 1024;
}

static void
memory_measure (const sgr_fixture_node_t *entry, const sgr_fixture_node_t *gate)
{
  static int sockets[IDLE_CONNECTIONS];
  static const char slow[]
      = "GET / HTTP/1.1\r\nHost: one\r\nX-Service-Us: 3000000\r\nX-Request-Id: m\r\n\r\n";
  long base = memory_of (entry->pid);
  long base_gate = memory_of (gate->pid);
  long connected;
  uint64_t starts = sgr_fixture_metric (gate, "siskingrade_gate_starts_total");

  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    {
      sockets[i] = sgr_probe_connect (entry->callers);
      send (sockets[i], slow, 10, MSG_NOSIGNAL); /* a part of a request, so that it is accepted */
    }
  sgr_fixture_metric (entry, "siskingrade_");
  connected = memory_of (entry->pid);
  for (int i = 0; i < OPEN_CALLS; i++)
    send (sockets[i], slow + 10, sizeof slow - 11, MSG_NOSIGNAL);
  for (int i = 0;
       i < 500 && sgr_fixture_metric (gate, "siskingrade_gate_starts_total") < starts + OPEN_CALLS;
       i++)
    sgr_fixture_pause ();
  printf ("\nmemory: %.1f KiB per connection of a caller, %.1f KiB per open call at the entry, "
          "%.1f KiB at the gate, %.1f MiB at rest\n",
          (double)(connected - base) / 1024 / IDLE_CONNECTIONS,
          (double)(memory_of (entry->pid) - connected) / 1024 / OPEN_CALLS,
          (double)(memory_of (gate->pid) - base_gate) / 1024 / OPEN_CALLS,
          (double)base / (1024 * 1024));
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    close (sockets[i]);
}

int
main (void)
{
  static sgr_fixture_t fixture;
  sgr_fixture_node_t *entry;
  sgr_fixture_node_t *gate;
  uint16_t ports[WAYS];
  sgr_relay_t *relays[2];

  sgr_fixture_init (&fixture);
  fixture.target_options = "--service-us=0 --slots=1000 --connections=1000";
  fixture.limits = "  heartbeat_ms: 250\n";
  entry = sgr_fixture_node_add (&fixture, "entry", NULL, false);
  gate = sgr_fixture_node_add (&fixture, "gate", "one", false);
  if (!sgr_fixture_start (&fixture))
    return 1;
  ports[DIRECT] = gate->target;
  ports[ONE_HOP] = gate->callers;
  ports[TWO_HOPS] = entry->callers;
  ports[ONE_RELAY] = sgr_fixture_port ();
  relays[0] = sgr_relay_start (ports[ONE_RELAY], gate->target);
  ports[TWO_RELAYS] = sgr_fixture_port ();
  relays[1] = sgr_relay_start (ports[TWO_RELAYS], ports[ONE_RELAY]);
  for (int way = 0; way < WAYS; way++)
    way_run (ports[way], RATE, 200000, &(worker_t){ 0 });
  latency_measure (ports);
  throughput_measure (ports, (pid_t[]){ entry->pid, gate->pid });
  memory_measure (entry, gate);
  sgr_relay_stop (relays[1]);
  sgr_relay_stop (relays[0]);
  sgr_fixture_stop (&fixture);
  return 0;
}
