#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"
#include "types.h"

/* Nodes at whose address connect() fails at once. */

/* Broadcast address of the loopback network, to which TCP has no route. */
#define DEAD_IP "127.255.255.255"
#define CALLS 200
#define CALL_PAUSE_US 5000

static sgr_fixture_t fixture;
static sgr_fixture_node_t *first;

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  first = sgr_fixture_node_add (&fixture, "first", NULL, false);
  sgr_fixture_node_add (&fixture, "no-route", "one", false)->advertised_ip = DEAD_IP;
  sgr_fixture_node_add (&fixture, "other", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
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

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_node_with_dead_address) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
