#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "node_fixture_config.h"
#include "path_check.h"
#include "types.h"

/* Nodes whose target has an address at which connect() fails at once, and nodes that have no
   descriptor left for a connection. */

/* Broadcast address of the loopback network, to which TCP has no route. */
#define DEAD_IP "127.255.255.255"
#define DEAD_ADDRESS DEAD_IP ":9"
/* "cold" has load queries in the fixture, which need a connection to the target as calls do. */
#define SERVICE "cold"
#define CALLS 200
/* Time for which calls are sent, so that several load queries and probes are due. */
#define CALL_PAUSE_US 5000

static sgr_fixture_t fixture;
static sgr_fixture_node_t *first;
static sgr_fixture_node_t *second;

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.target_options = "--service-us=0 --slots=16";
  first = sgr_fixture_node_add (&fixture, "first", SERVICE, false);
  second = sgr_fixture_node_add (&fixture, "second", SERVICE, false);
  sgr_fixture_node_add (&fixture, "no-route", "one", false)->advertised_ip = DEAD_IP;
  sgr_fixture_node_add (&fixture, "other", "one", false);
  return sgr_fixture_start (&fixture)
                 && sgr_fixture_change_set (
                     &fixture, "probes",
                     json_pack ("{s:{s:[{s:s, s:s, s:i, s:i, s:i, s:i}]}}", "put", "policies",
                                "name", "cold", "load_path", "/ready", "load_calls_per_s", 6400,
                                "probe_calls_per_s", 1000, "probe_bytes_per_s", 10000000,
                                "targets_max", 4))
             ? 0
             : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static bool
announce (const sgr_fixture_node_t *node, const char *address)
{
  static uint64_t started_ms;
  char body[320];
  sgr_probe_request_t request
      = { .port = node->control, .method = "PUT", .path = "/v1/target", .body = body };
  sgr_probe_answer_t answer;
  bool is_taken;

  started_ms = sgr_clock_wall_ms () > started_ms ? sgr_clock_wall_ms () : started_ms + 1;
  request.body_length
      = (size_t)snprintf (body, sizeof body,
                          "{\"service\":\"" SERVICE "\",\"instance\":\"dead-%" PRIu64
                          "\",\"address\":\"%s\",\"slots\":16,"
                          "\"started_ms\":%" PRIu64 ",\"probe_path\":\"/ready\"}",
                          started_ms, address, started_ms);
  sgr_probe_call (&request, &answer);
  is_taken = answer.status == 200;
  if (!is_taken)
    fprintf (stderr, "announcement: status %d %s\n", answer.status, answer.body);
  sgr_probe_release (&answer);
  return is_taken;
}

/* Sends a call and checks that its answer keeps what holds for any fault, while only the target of
   the second node runs. Returns its status. */
static int
call_check (const sgr_fixture_node_t *entry)
{
  sgr_path_call_t call = { .entry = entry, .service = SERVICE, .method = "POST", .path = "/" };
  sgr_probe_answer_t answer;
  int status;

  sgr_path_answer_receive (sgr_path_call_send (&call), &call, &answer);
  sgr_path_answer_check (&call, &answer, sgr_fixture_executions (second, call.id));
  status = answer.status;
  sgr_probe_release (&answer);
  return status;
}

/* Guards against a node that ends when connect() to its target fails at once, and against calls
   that get another answer than that of the other target or a 503. */
static void
test_target_with_dead_address (void **state)
{
  int served = 0;

  sgr_fixture_process_kill (&first->target_pid);
  for (int i = 0; i < CALLS; i++)
    {
      int status;

      /* The node drops a target whose connections fail. */
      assert_true (announce (first, DEAD_ADDRESS));
      status = call_check (i % 2 == 0 ? first : second);
      if (status != 200 && status != 503)
        fail_msg ("status %d", status);
      served += status == 200;
      usleep (CALL_PAUSE_US);
    }
  assert_true (served > 0);
  assert_int_equal (sgr_fixture_process_wait (&first->pid, 0), -1);
  assert_int_equal (sgr_fixture_process_wait (&second->pid, 0), -1);
  sgr_fixture_target_start (&fixture, first);
  assert_true (sgr_fixture_service_await (first, SERVICE));
}

/* Guards against a node that ends when its target leaves, or gets another address, while connect()
   fails. */
static void
test_target_leaves_while_connect_fails (void **state)
{
  static const char *const addresses[] = { DEAD_ADDRESS, DEAD_IP ":10" };

  sgr_fixture_process_kill (&first->target_pid);
  for (int i = 0; i < CALLS; i++)
    {
      sgr_probe_request_t leave
          = { .port = first->control, .method = "DELETE", .path = "/v1/target" };
      sgr_path_call_t call = {
        .entry = first, .service = SERVICE, .method = "GET", .path = "/", .deadline_ms = 500
      };
      sgr_probe_answer_t answer;
      int fd;

      assert_true (announce (first, addresses[i % 2]));
      fd = sgr_path_call_send (&call);
      if (i % 4 == 0)
        {
          sgr_probe_call (&leave, &answer);
          sgr_probe_release (&answer);
        }
      sgr_path_answer_receive (fd, &call, &answer);
      sgr_probe_release (&answer);
    }
  assert_int_equal (sgr_fixture_process_wait (&first->pid, 0), -1);
  sgr_fixture_target_start (&fixture, first);
  assert_true (sgr_fixture_service_await (first, SERVICE));
}

/* Guards against a call that is refused, although another target runs its service, because
   connect() to the node that was chosen first fails at once. */
static void
test_node_with_dead_address (void **state)
{
  for (int i = 0; i < CALLS / 2; i++)
    {
      sgr_path_call_t call = { .entry = first, .service = "one", .method = "POST", .path = "/" };
      sgr_probe_answer_t answer;

      sgr_path_answer_receive (sgr_path_call_send (&call), &call, &answer);
      if (answer.status != 200)
        fail_msg ("call %d: status %d %s", i, answer.status, answer.body);
      sgr_probe_release (&answer);
      usleep (CALL_PAUSE_US);
    }
}

/* Guards against a node that ends, or answers nobody any more, after it had no descriptor left for
   connections to its target and to other nodes. */
static void
test_no_descriptor_left (void **state)
{
  struct rlimit former, none;
  int fds[8];

  assert_int_equal (prlimit (first->pid, RLIMIT_NOFILE, NULL, &former), 0);
  none = former;
  none.rlim_cur = 3;
  sgr_fixture_process_kill (&first->target_pid);
  for (int round = 0; round < 20; round++)
    {
      sgr_path_call_t calls[sizeof fds / sizeof fds[0]];

      for (size_t i = 0; i < sizeof fds / sizeof fds[0]; i++)
        fds[i] = sgr_probe_connect (first->callers);
      /* The node accepts them before the limit applies. */
      usleep (20000);
      assert_true (announce (first, round % 2 == 0 ? DEAD_ADDRESS : "127.0.0.1:9"));
      assert_int_equal (prlimit (first->pid, RLIMIT_NOFILE, &none, NULL), 0);
      for (size_t i = 0; i < sizeof fds / sizeof fds[0]; i++)
        {
          char text[256];
          int length = snprintf (text, sizeof text,
                                 "GET / HTTP/1.1\r\nHost: node\r\nSiskingrade-Service: " SERVICE
                                 "\r\nSiskingrade-Deadline-Ms: 300\r\n\r\n");

          assert_int_equal (send (fds[i], text, (size_t)length, MSG_NOSIGNAL), length);
        }
      for (size_t i = 0; i < sizeof fds / sizeof fds[0]; i++)
        {
          calls[i] = (sgr_path_call_t){ .request = { .timeout_ms = 5000 } };
          sgr_probe_answer_t answer;

          sgr_probe_receive (fds[i], &calls[i].request, &answer);
          if (answer.end != SGR_PROBE_WHOLE)
            fail_msg ("round %d, connection %zu: end %d", round, i, answer.end);
          sgr_probe_release (&answer);
        }
      assert_int_equal (prlimit (first->pid, RLIMIT_NOFILE, &former, NULL), 0);
    }
  assert_int_equal (sgr_fixture_process_wait (&first->pid, 0), -1);
  sgr_fixture_target_start (&fixture, first);
  assert_true (sgr_fixture_service_await (first, SERVICE));
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_node_with_dead_address),
                                      cmocka_unit_test (test_target_with_dead_address),
                                      cmocka_unit_test (test_target_leaves_while_connect_fails),
                                      cmocka_unit_test (test_no_descriptor_left) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
