#include "node_fixture.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "buffer.h"
#include "node_fixture_config.h"
#include "result.h"
#include "timer_heap.h"

#define READY_TIMEOUT_US (20ULL * 1000 * 1000)
#define POLL_INTERVAL_NS (5 * 1000 * 1000)
/* A log is read at most this many times, once per poll interval, while an event is not in it. */
#define EVENT_POLLS_MAX 1000
/* The ports lie below the range from which the kernel assigns ports to outgoing connections. */
#define PORT_FIRST 15000U
#define PORT_COUNT 16000U

static const char *
build_directory (void)
{
  const char *build = getenv ("SGR_BUILD");

  return build != NULL && build[0] != '\0' ? build : "build";
}

static bool
is_port_free (uint16_t port, int type)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  int on = 1;
  bool is_free;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is_free;
}

uint16_t
sgr_fixture_port_find (void)
{
  static uint32_t next;

  /* Test programs that run at the same time start their search far apart: a port of one is free for
     a moment while its node restarts. */
  if (next == 0)
    next = (uint32_t)getpid () * 1009 + 1;
  for (;;)
    {
      uint16_t port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);

      if (is_port_free (port, SOCK_STREAM) && is_port_free (port, SOCK_DGRAM))
        return port;
    }
}

void
sgr_fixture_poll_sleep (void)
{
  struct timespec interval = { .tv_nsec = POLL_INTERVAL_NS };

  nanosleep (&interval, NULL);
}

void
sgr_fixture_init (sgr_fixture_t *fixture)
{
  *fixture = (sgr_fixture_t){ .limits = "  heartbeat_ms: 50\n  silence_ms: 300\n",
                              .extra_settings = "",
                              .target_options = "--service-us=0" };
  strcpy (fixture->directory, "/tmp/siskingrade-test-XXXXXX");
  sgr_invariant (mkdtemp (fixture->directory) != NULL);
}

/* Finds the first of a number of free ports in a row. */
static uint16_t
port_range_find (unsigned count)
{
  uint16_t first = sgr_fixture_port_find ();
  unsigned found = 1;

  while (found < count)
    {
      uint16_t port = sgr_fixture_port_find ();

      if (port == first + found)
        found++;
      else
        {
          first = port;
          found = 1;
        }
    }
  return first;
}

sgr_fixture_node_t *
sgr_fixture_node_add (sgr_fixture_t *fixture, const char *name, const char *service,
                      bool with_relay)
{
  sgr_fixture_node_t *node = &fixture->nodes[fixture->count++];

  sgr_invariant (fixture->count <= SGR_FIXTURE_NODES_MAX);
  *node = (sgr_fixture_node_t){ .service = service };
  snprintf (node->name, sizeof node->name, "%s", name);
  node->callers = sgr_fixture_port_find ();
  node->peers = sgr_fixture_port_find ();
  node->control = sgr_fixture_port_find ();
  if (fixture->confirm_ports > 0)
    node->confirm = port_range_find (fixture->confirm_ports);
  node->advertised = with_relay ? sgr_fixture_port_find () : node->peers;
  if (service != NULL)
    node->target = sgr_fixture_port_find ();
  if (with_relay)
    node->relay = sgr_relay_start (node->advertised, node->peers);
  return node;
}

/* Starts a program with its output appended to LOG_NAME.log in the fixture's directory. */
static pid_t
process_spawn (const sgr_fixture_t *fixture, const char *log_name, char *const *arguments)
{
  pid_t parent = getpid ();
  pid_t pid = fork ();
  char path[128];
  int fd;

  sgr_invariant (pid >= 0);
  if (pid > 0)
    return pid;
  /* The kernel kills this process when the test program ends or is killed. If the test program
     ended before prctl() was called, getppid() returns another process id. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (126);
  /* Leak suppressions match function names in the stack of an allocation. libh2o is built without
     frame pointers, so only the slow unwinder finds those names. The path is relative to the root
     of the project, where the tests run. */
  /* libh2o is not instrumented either: a use of memory that it has freed shows by the fill. */
  setenv ("ASAN_OPTIONS", "fast_unwind_on_malloc=0:max_free_fill_size=1024:free_fill_byte=165", 1);
  setenv ("LSAN_OPTIONS", "suppressions=tests/lsan.supp:print_suppressions=0", 1);
  snprintf (path, sizeof path, "%s/%s.log", fixture->directory, log_name);
  fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, 1);
  dup2 (fd, 2);
  execv (arguments[0], arguments);
  _exit (127);
}

static void
settings_write (const sgr_fixture_t *fixture, const sgr_fixture_node_t *node, const char *path)
{
  FILE *file = fopen (path, "w");
  unsigned store_port = node->store_port != 0 ? node->store_port : fixture->store_port;

  sgr_invariant (file != NULL);
  fprintf (file,
           "node:\n  deployment: " SGR_FIXTURE_DEPLOYMENT
           "\n  name: %s\n  region: %s\n  failure_domain: %s\n"
           "listen:\n  callers: 127.0.0.1:%u\n  peers: 127.0.0.1:%u\n  control: 127.0.0.1:%u\n",
           node->name, node->region != NULL ? node->region : "test",
           node->failure_domain != NULL ? node->failure_domain : "test-1", node->callers,
           node->peers, node->control);
  if (node->confirm != 0)
    fprintf (file, "  confirm: 127.0.0.1:%u-%u\n", node->confirm,
             node->confirm + fixture->confirm_ports - 1);
  fprintf (file, "advertise:\n  peers: %s:%u\ncontacts:\n",
           node->advertised_ip != NULL ? node->advertised_ip : "127.0.0.1", node->advertised);
  for (size_t i = 0; i < fixture->count; i++)
    fprintf (file, "  - 127.0.0.1:%u\n", fixture->nodes[i].control);
  fprintf (file, "store: 127.0.0.1:%u\nrouting: %s\nlimits:\n%s%s", store_port,
           fixture->is_routed ? "by-route" : "by-service",
           node->limits != NULL ? node->limits : fixture->limits, fixture->extra_settings);
  sgr_fixture_owners_write (file);
  fclose (file);
}

void
sgr_fixture_node_start (sgr_fixture_t *fixture, sgr_fixture_node_t *node)
{
  char program[128];
  char path[128];
  char *arguments[] = { program, path, NULL };

  snprintf (program, sizeof program, "%s/siskingraded", build_directory ());
  snprintf (path, sizeof path, "%s/%s.yaml", fixture->directory, node->name);
  settings_write (fixture, node, path);
  node->pid = process_spawn (fixture, node->name, arguments);
}

void
sgr_fixture_target_start (sgr_fixture_t *fixture, sgr_fixture_node_t *node)
{
  char options[256];
  char program[128];
  char listen[48];
  char announce[48];
  char service[64];
  char log_name[64];
  char *arguments[16] = { program, listen, announce, service };
  size_t count = 4;
  char *rest = options;

  snprintf (program, sizeof program, "%s/standin-target", build_directory ());
  snprintf (listen, sizeof listen, "--listen=127.0.0.1:%u", node->target);
  snprintf (announce, sizeof announce, "--announce=127.0.0.1:%u", node->control);
  snprintf (service, sizeof service, "--service=%s", node->service);
  snprintf (log_name, sizeof log_name, "%s-target", node->name);
  snprintf (options, sizeof options, "%s", fixture->target_options);
  while (count < 15 && (arguments[count] = strsep (&rest, " ")) != NULL)
    count++;
  arguments[count] = NULL;
  node->target_pid = process_spawn (fixture, log_name, arguments);
}

static void
store_start (sgr_fixture_t *fixture)
{
  char program[128];
  char listen[48];
  char *arguments[] = { program, listen, NULL };

  fixture->store_port = sgr_fixture_port_find ();
  snprintf (program, sizeof program, "%s/standin-store", build_directory ());
  snprintf (listen, sizeof listen, "--listen=127.0.0.1:%u", fixture->store_port);
  fixture->store_pid = process_spawn (fixture, "store", arguments);
}

bool
sgr_fixture_service_await (const sgr_fixture_node_t *entry, const char *service)
{
  uint64_t end_us = sgr_clock_monotonic_us () + READY_TIMEOUT_US;
  char fields[128];
  sgr_probe_request_t request
      = { .port = entry->callers, .path = "/", .fields = fields, .timeout_ms = 2000 };
  char last[1024] = "";
  bool is_ready = false;

  snprintf (fields, sizeof fields,
            "Siskingrade-Service: %s\r\nSiskingrade-Deadline-Ms: 1000\r\nConnection: close\r\n",
            service);
  while (!is_ready && sgr_clock_monotonic_us () < end_us)
    {
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      is_ready = answer.end == SGR_PROBE_WHOLE && answer.status == 200;
      snprintf (last, sizeof last, "end %d: %s%s", answer.end,
                answer.head != NULL ? answer.head : "", answer.body != NULL ? answer.body : "");
      sgr_probe_release (&answer);
      if (!is_ready)
        sgr_fixture_poll_sleep ();
    }
  if (!is_ready)
    fprintf (stderr, "%s does not serve %s; last answer: %s\n", entry->name, service, last);
  return is_ready;
}

static void
logs_print (const sgr_fixture_t *fixture)
{
  for (size_t i = 0; i < fixture->count; i++)
    {
      char path[128];
      char line[512];
      FILE *file;

      snprintf (path, sizeof path, "%s/%s.log", fixture->directory, fixture->nodes[i].name);
      file = fopen (path, "r");
      while (file != NULL && fgets (line, sizeof line, file) != NULL)
        fprintf (stderr, "%s: %s", fixture->nodes[i].name, line);
      if (file != NULL)
        fclose (file);
    }
}

bool
sgr_fixture_processes_start (sgr_fixture_t *fixture)
{
  store_start (fixture);
  for (size_t i = 0; i < fixture->count; i++)
    {
      sgr_fixture_node_start (fixture, &fixture->nodes[i]);
      if (fixture->nodes[i].service != NULL && !fixture->has_external_targets)
        sgr_fixture_target_start (fixture, &fixture->nodes[i]);
    }
  if (sgr_fixture_services_set (fixture))
    return true;
  logs_print (fixture);
  return false;
}

/* Waits until a node knows all targets of a service. One serving target is not enough, because the
   calls of a test may need a specific target or its gate. */
static bool
targets_await (const sgr_fixture_t *fixture, const sgr_fixture_node_t *entry, const char *service)
{
  uint64_t end_us = sgr_clock_monotonic_us () + READY_TIMEOUT_US;
  uint64_t expected = 0;
  uint64_t known;
  char metric[128];

  for (size_t i = 0; i < fixture->count; i++)
    expected
        += fixture->nodes[i].service != NULL && strcmp (fixture->nodes[i].service, service) == 0;
  snprintf (metric, sizeof metric, "siskingrade_targets{service=\"%s\"}", service);
  while ((known = sgr_fixture_metric (entry, metric)) != expected)
    {
      if (sgr_clock_monotonic_us () >= end_us)
        {
          fprintf (stderr, "%s knows %llu of %llu targets of %s\n", entry->name,
                   (unsigned long long)known, (unsigned long long)expected, service);
          return false;
        }
      sgr_fixture_poll_sleep ();
    }
  return true;
}

bool
sgr_fixture_services_await (const sgr_fixture_t *fixture)
{
  for (size_t i = 0; i < fixture->count; i++)
    {
      for (size_t j = 0; j < fixture->count; j++)
        {
          const sgr_fixture_node_t *entry = &fixture->nodes[i];
          const char *service = fixture->nodes[j].service;

          if (service == NULL
              || (targets_await (fixture, entry, service)
                  && sgr_fixture_service_await (entry, service)))
            continue;
          logs_print (fixture);
          return false;
        }
    }
  return true;
}

bool
sgr_fixture_start (sgr_fixture_t *fixture)
{
  return sgr_fixture_processes_start (fixture) && sgr_fixture_services_await (fixture);
}

void
sgr_fixture_process_kill (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

int
sgr_fixture_process_wait (pid_t *pid, int timeout_ms)
{
  uint64_t end_us = sgr_clock_monotonic_us () + (uint64_t)timeout_ms * 1000;
  int status;

  while (waitpid (*pid, &status, WNOHANG) != *pid)
    {
      if (sgr_clock_monotonic_us () >= end_us)
        return -1;
      sgr_fixture_poll_sleep ();
    }
  *pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

void
sgr_fixture_stop (sgr_fixture_t *fixture)
{
  static const char *const suffixes[] = { ".yaml", ".log", "-target.log" };
  char path[192];

  sgr_fixture_process_kill (&fixture->store_pid);
  snprintf (path, sizeof path, "%s/store.log", fixture->directory);
  unlink (path);
  for (size_t i = 0; i < fixture->count; i++)
    {
      sgr_fixture_node_t *node = &fixture->nodes[i];

      sgr_fixture_process_kill (&node->target_pid);
      sgr_fixture_process_kill (&node->pid);
      if (node->relay != NULL)
        sgr_relay_stop (node->relay);
      node->relay = NULL;
      for (size_t j = 0; j < sizeof suffixes / sizeof suffixes[0]; j++)
        {
          snprintf (path, sizeof path, "%s/%s%s", fixture->directory, node->name, suffixes[j]);
          unlink (path);
        }
    }
  rmdir (fixture->directory);
}

unsigned
sgr_fixture_executions (const sgr_fixture_node_t *node, const char *request_id)
{
  sgr_probe_request_t request = { .port = node->target, .path = "/executions" };
  sgr_probe_answer_t answer;
  size_t length = strlen (request_id);
  unsigned count = 0;

  sgr_probe_call (&request, &answer);
  sgr_invariant (answer.end == SGR_PROBE_WHOLE);
  for (const char *line = answer.body; line != NULL && *line != '\0';)
    {
      if (strncmp (line, request_id, length) == 0 && line[length] == ' ')
        count = (unsigned)strtoul (line + length, NULL, 10);
      line = strchr (line, '\n');
      line = line != NULL ? line + 1 : NULL;
    }
  sgr_probe_release (&answer);
  return count;
}

void
sgr_fixture_target_mode_set (const sgr_fixture_node_t *node, const char *mode)
{
  char path[64];
  sgr_probe_request_t request
      = { .port = node->target, .method = "POST", .path = path, .body = "" };
  sgr_probe_answer_t answer;

  snprintf (path, sizeof path, "/admin/%s", mode);
  sgr_probe_call (&request, &answer);
  sgr_invariant (answer.status == 200);
  sgr_probe_release (&answer);
}

uint64_t
sgr_fixture_metric (const sgr_fixture_node_t *node, const char *prefix)
{
  sgr_probe_request_t request = { .port = node->control, .path = "/metrics" };
  sgr_probe_answer_t answer;
  uint64_t sum = 0;

  sgr_probe_call (&request, &answer);
  for (const char *line = answer.body; line != NULL && *line != '\0';)
    {
      const char *end = strchr (line, '\n');

      if (strncmp (line, prefix, strlen (prefix)) == 0)
        {
          const char *value = end != NULL ? end : line + strlen (line);

          while (value > line && value[-1] != ' ')
            value--;
          sum += strtoull (value, NULL, 10);
        }
      line = end != NULL ? end + 1 : NULL;
    }
  sgr_probe_release (&answer);
  return sum;
}

void
sgr_fixture_store_faults_set (const sgr_fixture_t *fixture, const char *query)
{
  char path[96];
  sgr_probe_request_t request = { .port = fixture->store_port, .path = path };
  sgr_probe_answer_t answer;

  snprintf (path, sizeof path, "/admin?%s", query);
  sgr_probe_call (&request, &answer);
  sgr_invariant (answer.status == 200);
  sgr_probe_release (&answer);
}

bool
sgr_fixture_event_await (const sgr_fixture_t *fixture, const sgr_fixture_node_t *node,
                         const char *event, int count)
{
  static char log[1024 * 1024];
  char path[192];

  snprintf (path, sizeof path, "%s/%s.log", fixture->directory, node->name);
  for (int i = 0; i < EVENT_POLLS_MAX; i++)
    {
      FILE *file = fopen (path, "r");
      int found = 0;

      sgr_invariant (file != NULL);
      log[fread (log, 1, sizeof log - 1, file)] = '\0';
      fclose (file);
      for (const char *at = log; (at = strstr (at, event)) != NULL; at++)
        found++;
      if (found >= count)
        return true;
      sgr_fixture_poll_sleep ();
    }
  return false;
}
