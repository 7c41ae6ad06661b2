#include "crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "result.h"

#define CALLER_ADDRESSES 8
#define FILLER_BYTES 65536
/* AddressSanitizer keeps freed memory and adds to each allocation, so that the resident memory of
   its processes says nothing about the buffers. The other checks hold there, too. */
#ifdef __SANITIZE_ADDRESS__
#define IS_MEMORY_MEASURABLE false
#else
#define IS_MEMORY_MEASURABLE true
#endif
/* Polls of the memory after the ordinary requests, 5 ms apart: work that is still under way in a
   node may raise the peak. */
#define SETTLE_POLLS 100

static int
nodes_start (void **state, const char *limits)
{
  sgr_crowd_t *crowd = calloc (1, sizeof *crowd);

  sgr_invariant (crowd != NULL);
  sgr_fixture_init (&crowd->fixture);
  crowd->fixture.limits = limits;
  crowd->fixture.target_options = "--service-us=0 --slots=64";
  sgr_fixture_node_add (&crowd->fixture, "entry", NULL, false);
  sgr_fixture_node_add (&crowd->fixture, "gate", "one", false);
  *state = crowd;
  return sgr_fixture_start (&crowd->fixture) ? 0 : -1;
}

int
sgr_crowd_setup (void **state)
{
  return nodes_start (state, "  request_body_max_bytes: 4194304\n"
                             "  memory_budget_bytes: 16777216\n"
                             "  connections_max: 100\n");
}

int
sgr_crowd_hasty_setup (void **state)
{
  return nodes_start (state, "  head_timeout_ms: 500\n"
                             "  stall_timeout_ms: 500\n");
}

int
sgr_crowd_small_setup (void **state)
{
  return nodes_start (state, "  request_body_max_bytes: 67108864\n"
                             "  memory_mb: 160\n");
}

int
sgr_crowd_teardown (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (size_t i = 0; i < crowd->count; i++)
    close (crowd->sockets[i]);
  sgr_fixture_stop (&crowd->fixture);
  free (crowd);
  return 0;
}

int
sgr_crowd_connect (sgr_crowd_t *crowd)
{
  struct sockaddr_in from = { .sin_family = AF_INET };
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (crowd->fixture.nodes[SGR_CROWD_ENTRY].callers),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct timeval send_timeout = { .tv_sec = 2 };
  struct timeval receive_timeout = { .tv_sec = 5 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  assert_true (fd >= 0 && crowd->count < SGR_CROWD_SOCKETS_MAX);
  from.sin_addr.s_addr
      = htonl (INADDR_LOOPBACK + 256 + (uint32_t)(crowd->count % CALLER_ADDRESSES));
  crowd->sockets[crowd->count++] = fd;
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
  assert_int_equal (bind (fd, (struct sockaddr *)&from, sizeof from), 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

bool
sgr_crowd_send (int fd, const void *bytes, size_t length)
{
  const char *at = bytes;

  while (length > 0)
    {
      ssize_t sent = send (fd, at, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      at += sent;
      length -= (size_t)sent;
    }
  return true;
}

bool
sgr_crowd_fill (int fd, size_t length)
{
  static const char filler[FILLER_BYTES];

  while (length > 0)
    {
      size_t part = length < sizeof filler ? length : sizeof filler;

      if (!sgr_crowd_send (fd, filler, part))
        return false;
      length -= part;
    }
  return true;
}

int
sgr_crowd_head_read (int fd, char *head, size_t size)
{
  size_t length = 0;

  head[0] = '\0';
  while (length < size - 1)
    {
      if (recv (fd, head + length, 1, 0) != 1)
        break;
      head[++length] = '\0';
      if (length < 4 || strcmp (head + length - 4, "\r\n\r\n") != 0)
        continue;
      if (strncmp (head, "HTTP/1.1 1", 10) != 0)
        return atoi (head + strlen ("HTTP/1.1 "));
      length = 0;
    }
  head[0] = '\0';
  return 0;
}

int
sgr_crowd_status_read (int fd)
{
  char head[4096];

  return sgr_crowd_head_read (fd, head, sizeof head);
}

static void
ordinary_call (const sgr_fixture_node_t *node)
{
  sgr_probe_request_t request = { .port = node->callers,
                                  .path = "/",
                                  .fields = "Siskingrade-Service: one\r\nConnection: close\r\n" };
  sgr_probe_answer_t answer;

  sgr_probe_call (&request, &answer);
  if (answer.end != SGR_PROBE_WHOLE || answer.status != 200)
    fail_msg ("ordinary request through %s: end %d, status %d, %s", node->name, answer.end,
              answer.status, answer.body != NULL ? answer.body : "no body");
  sgr_probe_release (&answer);
}

void
sgr_crowd_call (sgr_crowd_t *crowd)
{
  ordinary_call (&crowd->fixture.nodes[SGR_CROWD_ENTRY]);
}

/* Returns the peak of the resident memory of a node in bytes. */
static size_t
memory_peak (const sgr_fixture_node_t *node)
{
  char path[64], line[256];
  size_t kib = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)node->pid);
  file = fopen (path, "r");
  assert_non_null (file);
  while (fgets (line, sizeof line, file) != NULL)
    sscanf (line, "VmHWM: %zu", &kib);
  fclose (file);
  assert_true (kib > 0);
  return kib * 1024;
}

void
sgr_crowd_peak_check (const sgr_fixture_node_t *node, size_t bound_bytes)
{
  size_t peak = memory_peak (node);

  if (IS_MEMORY_MEASURABLE && peak > bound_bytes)
    fail_msg ("%s took %zu KiB, bound %zu KiB", node->name, peak / 1024, bound_bytes / 1024);
}

static size_t
descriptor_count (pid_t pid)
{
  char path[64];
  size_t count = 0;
  DIR *directory;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  directory = opendir (path);
  assert_non_null (directory);
  while (readdir (directory) != NULL)
    count++;
  closedir (directory);
  return count - 2; /* without "." and ".." */
}

static void
bounds_check (const sgr_fixture_node_t *node)
{
  size_t descriptors;

  assert_int_equal (waitpid (node->pid, NULL, WNOHANG), 0);
  descriptors = descriptor_count (node->pid);
  sgr_crowd_peak_check (node, SGR_CROWD_BUDGET_BYTES + SGR_CROWD_REST_BYTES);
  if (descriptors > SGR_CROWD_CONNECTIONS_MAX + SGR_CROWD_REST_DESCRIPTORS)
    fail_msg ("%s has %zu open descriptors, bound %d", node->name, descriptors,
              SGR_CROWD_CONNECTIONS_MAX + SGR_CROWD_REST_DESCRIPTORS);
}

void
sgr_crowd_check (sgr_crowd_t *crowd)
{
  for (size_t i = 0; i < crowd->fixture.count; i++)
    ordinary_call (&crowd->fixture.nodes[i]);
  for (int poll = 0; poll < SETTLE_POLLS; poll++)
    {
      for (size_t i = 0; i < crowd->fixture.count; i++)
        bounds_check (&crowd->fixture.nodes[i]);
      sgr_fixture_poll_sleep ();
    }
  /* Visible with the output of the program, for the journal of measurements. */
  for (size_t i = 0; i < crowd->fixture.count; i++)
    print_message ("%s: peak %zu KiB, %zu descriptors\n", crowd->fixture.nodes[i].name,
                   memory_peak (&crowd->fixture.nodes[i]) / 1024,
                   descriptor_count (crowd->fixture.nodes[i].pid));
}
