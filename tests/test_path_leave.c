#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "scripted_target.h"
#include "types.h"

/* A caller that leaves while some of its requests run and others wait for a slot. Freed memory of
   the nodes is filled, so that its use is no matter of chance. */

/* Slots while the connections to the target are opened, and while the caller leaves. The gate keeps
   more connections than it has slots then. */
#define SLOTS_MANY 8
#define SLOTS_FEW 2
#define PIPELINED 6
#define ROUNDS 2
#define SLOW_US (300 * SGR_USEC_PER_MSEC)

static sgr_fixture_t fixture;
static sgr_fixture_node_t *node;
/* Requests that the target is working on. */
static atomic_int running;

/* Serves one connection: each request takes a while. */
static void
connection_serve (int fd)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  char head[8192];
  size_t length = 0;

  for (;;)
    {
      uint64_t end_us;
      ssize_t received = recv (fd, head + length, sizeof head - length, 0);

      if (received <= 0)
        break;
      length += (size_t)received;
      if (memmem (head, length, "\r\n\r\n", 4) == NULL)
        continue;
      length = 0;
      atomic_fetch_add (&running, 1);
      end_us = sgr_clock_monotonic_us () + SLOW_US;
      while (sgr_clock_monotonic_us () < end_us)
        sgr_fixture_poll_sleep ();
      atomic_fetch_sub (&running, 1);
      if (send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL) < 0)
        break;
    }
}

static void
announce (int slots)
{
  assert_true (sgr_scripted_target_announce (node, slots));
  while (sgr_fixture_metric (node, "siskingrade_gate_slots") != (uint64_t)slots)
    sgr_fixture_poll_sleep ();
}

static int
group_setup (void **state)
{
  /* For the allocator of the C library; the fixture has the options of AddressSanitizer. */
  setenv ("GLIBC_TUNABLES", "glibc.malloc.tcache_count=0:glibc.malloc.perturb=165", 1);
  sgr_fixture_init (&fixture);
  fixture.limits = "  announce_ttl_ms: 60000\n";
  fixture.has_external_targets = true;
  node = sgr_fixture_node_add (&fixture, "node", "one", false);
  if (!sgr_scripted_target_start (&node->target, connection_serve)
      || !sgr_fixture_processes_start (&fixture))
    return -1;
  announce (SLOTS_MANY);
  return sgr_fixture_services_await (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static void
requests_send (int fd, int count)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\n"
                                "Siskingrade-Deadline-Ms: 5000\r\n\r\n";

  for (int i = 0; i < count; i++)
    assert_int_equal (send (fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
}

static void
running_await (int count)
{
  uint64_t end_us = sgr_clock_monotonic_us () + 5 * SGR_USEC_PER_SEC;

  while (atomic_load (&running) != count)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_fixture_poll_sleep ();
    }
}

/* Opens connections between the gate and the target: as many as there are slots. */
static void
connections_open (void)
{
  int fd = sgr_probe_connect (node->callers);
  char answers[4096];
  size_t length = 0;

  requests_send (fd, SLOTS_MANY);
  running_await (SLOTS_MANY);
  /* Each answer has one status line. */
  for (int found = 0; found < SLOTS_MANY;)
    {
      ssize_t received = recv (fd, answers + length, sizeof answers - 1 - length, 0);

      assert_true (received > 0);
      length += (size_t)received;
      answers[length] = '\0';
      found = 0;
      for (const char *at = answers; (at = strstr (at, "HTTP/1.1 200")) != NULL; at++)
        found++;
    }
  close (fd);
}

/* Guards against a node that gives no answer any more. When a caller leaves, the cancel of its
   running request frees a slot, the next of its requests starts on a kept connection, and its
   cancel closes this connection in the same pass. */
static void
test_caller_leaves_with_waiting_requests (void **state)
{
  for (int round = 0; round < ROUNDS; round++)
    {
      int fd;

      announce (SLOTS_MANY);
      connections_open ();
      announce (SLOTS_FEW);
      fd = sgr_probe_connect (node->callers);
      requests_send (fd, PIPELINED);
      running_await (SLOTS_FEW);
      close (fd);
      assert_true (sgr_fixture_service_await (node, "one"));
      assert_int_equal (sgr_fixture_process_wait (&node->pid, 0), -1);
      running_await (0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_caller_leaves_with_waiting_requests) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
