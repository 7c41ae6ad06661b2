/* Measures the cost of the call path with real processes. The same target is called directly,
   through its own node (one hop) and through another node (two hops). The paths are measured in
   alternating rounds, because other load on the host then affects all of them alike. */

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

#define THREAD_COUNT 8
/* Rate of all threads together while latency is measured. */
#define LATENCY_CALLS_PER_S 1000
#define LATENCY_ROUNDS 5
#define LATENCY_ROUND_US 900000
#define THROUGHPUT_ROUNDS 2
#define THROUGHPUT_ROUND_US 700000
/* Goal for the time that the nodes add to the 99th percentile of latency. */
#define ADDED_LATENCY_P99_GOAL_US 410
#define IDLE_CONNECTIONS 1000
#define OPEN_CALLS 600
#define WARM_UP_US 200000
/* Timer slack: largest delay that the kernel may add when a thread wakes up at a given time. The
   default of Linux is 50 us; the small value lets a thread wake up close to the time when a call is
   due. */
#define TIMER_SLACK_NS 1000UL
/* Length of the first part of a request. It is sent to make the node accept the connection. */
#define PARTIAL_REQUEST_BYTES 10

enum
{
  PATH_DIRECT,
  PATH_ONE_HOP,
  PATH_TWO_HOPS,
  PATH_ONE_RELAY,
  PATH_TWO_RELAYS,
  PATH_COUNT,
};

/* A relay only copies bytes between two connections. The paths through one or two relays show what
   the additional thread wake-ups cost on this host. */
static const char *const path_names[PATH_COUNT]
    = { "direct", "one hop", "two hops", "one relay", "two relays" };

/**
 * struct worker_t - a thread that sends calls over one connection, one at a time
 * @port: port that it calls
 * @interval_us: time between the starts of two calls, 0 to start the next call after the answer
 * @offset_us: time of the first call
 * @duration_us: no call starts after this time
 * @latency: latencies of the calls, microseconds
 * @calls: calls answered with status 200
 * @errors: failed calls; the first one ends the thread
 */
typedef struct
{
  uint16_t port;
  uint64_t interval_us;
  uint64_t offset_us;
  uint64_t duration_us;
  sgr_histogram_t latency;
  uint64_t calls;
  uint64_t errors;
} worker_t;

/* Reads an answer with a Content-Length. Returns true if it is whole and has status 200. */
static bool
answer_read (int fd)
{
  char buffer[4096];
  size_t received = 0;

  while (received < sizeof buffer - 1)
    {
      ssize_t count = recv (fd, buffer + received, sizeof buffer - 1 - received, 0);
      const char *end;
      const char *length;

      if (count <= 0)
        return false;
      received += (size_t)count;
      buffer[received] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end == NULL)
        continue;
      /* The status code is at offset 9, after "HTTP/1.1 ". The text "content-length:" has 15
         bytes. */
      length = strcasestr (buffer, "content-length:");
      if (length == NULL || length > end || strncmp (buffer + 9, "200", 3) != 0)
        return false;
      if (received >= (size_t)(end + 4 - buffer) + strtoul (length + 15, NULL, 10))
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
worker_run (void *ctx)
{
  static const char request[]
      = "GET /bytes/100 HTTP/1.1\r\nHost: one\r\nX-Request-Id: bench\r\n\r\n";
  worker_t *worker = ctx;
  int fd = sgr_probe_connect (worker->port);
  uint64_t start_us = sgr_clock_monotonic_us ();
  uint64_t due_us = start_us + worker->offset_us;

  prctl (PR_SET_TIMERSLACK, TIMER_SLACK_NS);
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

/* Sends calls on one path for @duration_us and adds the measurements to @total. All threads
   together send @calls_per_s. If it is 0, each thread sends its next call as soon as it has the
   answer to the previous one. */
static void
path_run (uint16_t port, uint64_t calls_per_s, uint64_t duration_us, worker_t *total)
{
  static worker_t workers[THREAD_COUNT];
  pthread_t threads[THREAD_COUNT];

  for (size_t i = 0; i < THREAD_COUNT; i++)
    {
      uint64_t interval_us = calls_per_s > 0 ? THREAD_COUNT * 1000000ULL / calls_per_s : 0;

      workers[i] = (worker_t){ .port = port,
                               .interval_us = interval_us,
                               .offset_us = i * interval_us / THREAD_COUNT,
                               .duration_us = duration_us };
      pthread_create (&threads[i], NULL, worker_run, &workers[i]);
    }
  for (size_t i = 0; i < THREAD_COUNT; i++)
    {
      pthread_join (threads[i], NULL);
      sgr_histogram_merge (&total->latency, &workers[i].latency);
      total->calls += workers[i].calls;
      total->errors += workers[i].errors;
    }
}

static double
quantile_ms (const worker_t *total, double quantile)
{
  return (double)sgr_histogram_quantile (&total->latency, quantile) / 1000.0;
}

/* Prints the latency of each path at a fixed rate. */
static void
latency_measure (const uint16_t *ports)
{
  static worker_t totals[PATH_COUNT];

  for (int round = 0; round < LATENCY_ROUNDS; round++)
    {
      for (int path = 0; path < PATH_COUNT; path++)
        path_run (ports[path], LATENCY_CALLS_PER_S, LATENCY_ROUND_US, &totals[path]);
    }
  printf ("at %d calls a second, %d connections, %d rounds of %.1f s, service time 0\n",
          LATENCY_CALLS_PER_S, THREAD_COUNT, LATENCY_ROUNDS, LATENCY_ROUND_US / 1e6);
  printf ("%-10s %8s %8s %8s %10s %10s %9s %7s\n", "way", "p50 ms", "p99 ms", "p999 ms",
          "p50 added", "p99 added", "p99 ratio", "errors");
  for (int path = 0; path < PATH_COUNT; path++)
    printf ("%-10s %8.3f %8.3f %8.3f %10.3f %10.3f %9.2f %7lu\n", path_names[path],
            quantile_ms (&totals[path], 0.5), quantile_ms (&totals[path], 0.99),
            quantile_ms (&totals[path], 0.999),
            quantile_ms (&totals[path], 0.5) - quantile_ms (&totals[PATH_DIRECT], 0.5),
            quantile_ms (&totals[path], 0.99) - quantile_ms (&totals[PATH_DIRECT], 0.99),
            quantile_ms (&totals[path], 0.99) / quantile_ms (&totals[PATH_DIRECT], 0.99),
            totals[path].errors);
  printf ("target for the added p99: %.2f ms; p99 beyond the relays: one hop %.3f ms, two hops "
          "%.3f ms\n",
          ADDED_LATENCY_P99_GOAL_US / 1000.0,
          quantile_ms (&totals[PATH_ONE_HOP], 0.99) - quantile_ms (&totals[PATH_ONE_RELAY], 0.99),
          quantile_ms (&totals[PATH_TWO_HOPS], 0.99)
              - quantile_ms (&totals[PATH_TWO_RELAYS], 0.99));
}

/* Processor time of a process in microseconds, with the resolution of a clock tick. */
static double
process_cpu_us (pid_t pid)
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

/* Prints the highest rate of each path and the processor time of both nodes for each call. */
static void
throughput_measure (const uint16_t *ports, const pid_t *pids)
{
  static worker_t totals[PATH_COUNT];
  double cpu_used_us[PATH_COUNT] = { 0 };

  for (int round = 0; round < THROUGHPUT_ROUNDS; round++)
    {
      for (int path = 0; path < PATH_COUNT; path++)
        {
          double cpu_before_us = process_cpu_us (pids[0]) + process_cpu_us (pids[1]);

          path_run (ports[path], 0, THROUGHPUT_ROUND_US, &totals[path]);
          cpu_used_us[path] += process_cpu_us (pids[0]) + process_cpu_us (pids[1]) - cpu_before_us;
        }
    }
  printf ("\n%d connections without a pause; processor time of both nodes\n%-10s %10s %8s %12s "
          "%8s\n",
          THREAD_COUNT, "way", "calls/s", "ratio", "us a call", "errors");
  for (int path = 0; path < PATH_COUNT; path++)
    printf ("%-10s %10.0f %8.2f %12.1f %8lu\n", path_names[path],
            (double)totals[path].calls / (THROUGHPUT_ROUNDS * THROUGHPUT_ROUND_US / 1e6),
            (double)totals[path].calls / (double)totals[PATH_DIRECT].calls,
            cpu_used_us[path] / (double)(totals[path].calls > 0 ? totals[path].calls : 1),
            totals[path].errors);
}

/* Returns the resident memory of a process in bytes. */
static long
resident_bytes (pid_t pid)
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

/* Prints how much memory idle connections and open calls use at the entry and at the gate. */
static void
memory_measure (const sgr_fixture_node_t *entry, const sgr_fixture_node_t *gate)
{
  static int sockets[IDLE_CONNECTIONS];
  static const char request[]
      = "GET / HTTP/1.1\r\nHost: one\r\nX-Service-Us: 3000000\r\nX-Request-Id: m\r\n\r\n";
  long entry_idle_bytes = resident_bytes (entry->pid);
  long gate_idle_bytes = resident_bytes (gate->pid);
  long entry_connected_bytes;
  uint64_t starts_before = sgr_fixture_metric (gate, "siskingrade_gate_starts_total");

  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    {
      sockets[i] = sgr_probe_connect (entry->callers);
      send (sockets[i], request, PARTIAL_REQUEST_BYTES, MSG_NOSIGNAL);
    }
  /* Requests any metric from the entry and ignores its value. The entry accepts the last
     connections while it serves this request. */
  sgr_fixture_metric (entry, "siskingrade_");
  entry_connected_bytes = resident_bytes (entry->pid);
  for (int i = 0; i < OPEN_CALLS; i++)
    send (sockets[i], request + PARTIAL_REQUEST_BYTES, sizeof request - 1 - PARTIAL_REQUEST_BYTES,
          MSG_NOSIGNAL);
  for (int i = 0;
       i < 500
       && sgr_fixture_metric (gate, "siskingrade_gate_starts_total") < starts_before + OPEN_CALLS;
       i++)
    sgr_fixture_poll_sleep ();
  printf ("\nmemory: %.1f KiB per connection of a caller, %.1f KiB per open call at the entry, "
          "%.1f KiB at the gate, %.1f MiB at rest\n",
          (double)(entry_connected_bytes - entry_idle_bytes) / 1024 / IDLE_CONNECTIONS,
          (double)(resident_bytes (entry->pid) - entry_connected_bytes) / 1024 / OPEN_CALLS,
          (double)(resident_bytes (gate->pid) - gate_idle_bytes) / 1024 / OPEN_CALLS,
          (double)entry_idle_bytes / (1024 * 1024));
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    close (sockets[i]);
}

int
main (void)
{
  static sgr_fixture_t fixture;
  sgr_fixture_node_t *entry;
  sgr_fixture_node_t *gate;
  uint16_t ports[PATH_COUNT];
  sgr_relay_t *relays[2];

  sgr_fixture_init (&fixture);
  fixture.target_options = "--service-us=0 --slots=1000 --connections=1000";
  fixture.limits = "  heartbeat_ms: 250\n";
  entry = sgr_fixture_node_add (&fixture, "entry", NULL, false);
  gate = sgr_fixture_node_add (&fixture, "gate", "one", false);
  if (!sgr_fixture_start (&fixture))
    return 1;
  ports[PATH_DIRECT] = gate->target;
  ports[PATH_ONE_HOP] = gate->callers;
  ports[PATH_TWO_HOPS] = entry->callers;
  ports[PATH_ONE_RELAY] = sgr_fixture_port_find ();
  relays[0] = sgr_relay_start (ports[PATH_ONE_RELAY], gate->target);
  ports[PATH_TWO_RELAYS] = sgr_fixture_port_find ();
  relays[1] = sgr_relay_start (ports[PATH_TWO_RELAYS], ports[PATH_ONE_RELAY]);
  for (int path = 0; path < PATH_COUNT; path++)
    path_run (ports[path], LATENCY_CALLS_PER_S, WARM_UP_US, &(worker_t){ 0 });
  latency_measure (ports);
  throughput_measure (ports, (pid_t[]){ entry->pid, gate->pid });
  memory_measure (entry, gate);
  sgr_relay_stop (relays[1]);
  sgr_relay_stop (relays[0]);
  sgr_fixture_stop (&fixture);
  return 0;
}
