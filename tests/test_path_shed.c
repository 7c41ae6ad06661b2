#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"

/* Targets that shed load with status 503. The policy of the service "pair" declares this status as
   not-run; the policy of the service "one" does not. */

/* Indices of the nodes in the fixture. ENTRY has no target, PAIR_A and PAIR_B have targets of the
   service "pair", ONE has a target of the service "one". */
enum
{
  ENTRY,
  PAIR_A,
  PAIR_B,
  ONE,
};

static sgr_fixture_t fixture;

static sgr_fixture_node_t *
node (int index)
{
  return &fixture.nodes[index];
}

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "pair-a", "pair", false);
  sgr_fixture_node_add (&fixture, "pair-b", "pair", false);
  sgr_fixture_node_add (&fixture, "one", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/**
 * struct shed_case_t - which targets shed, and the expected result of each call
 * @name: description for messages
 * @service: service of the calls
 * @outcome: outcome of each call
 * @is_shedding: whether the target of each node sheds, by node index
 * @status: status of each call
 * @executions: number of executions of each call at all targets
 */
typedef struct
{
  const char *name;
  const char *service;
  const char *outcome;
  bool is_shedding[4];
  int status;
  unsigned executions;
} shed_case_t;

/* Guards against a shed POST that fails although another target could run it, against a second
   execution, and against the outcome "not-run" for a status that the policy does not declare as
   not-run. */
static void
test_shed_writes (void **state)
{
  static const shed_case_t cases[] = {
    { "the first of two targets sheds", "pair", "complete", { [PAIR_A] = true }, 200, 1 },
    { "the second of two targets sheds", "pair", "complete", { [PAIR_B] = true }, 200, 1 },
    { "both targets shed", "pair", "not-run", { [PAIR_A] = true, [PAIR_B] = true }, 503, 0 },
    { "the status is not declared as not-run", "one", "complete", { [ONE] = true }, 503, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const shed_case_t *shed_case = &cases[i];

      print_message ("%s\n", shed_case->name);
      for (int at = PAIR_A; at <= ONE; at++)
        sgr_fixture_target_mode_set (node (at), shed_case->is_shedding[at] ? "shed" : "normal");
      for (int repeat = 0; repeat < 4; repeat++)
        {
          sgr_path_call_t call = { .entry = node (ENTRY),
                                   .service = shed_case->service,
                                   .method = "POST",
                                   .path = "/",
                                   .body = "write" };
          sgr_probe_answer_t answer;
          char outcome[32];
          int fd = sgr_path_call_send (&call);

          sgr_probe_receive (fd, &call.request, &answer);
          sgr_probe_field (&answer, "siskingrade-outcome", outcome, sizeof outcome);
          assert_int_equal (answer.status, shed_case->status);
          assert_string_equal (outcome, shed_case->outcome);
          sgr_probe_release (&answer);
          assert_int_equal (sgr_fixture_executions (node (PAIR_A), call.id)
                                + sgr_fixture_executions (node (PAIR_B), call.id)
                                + sgr_fixture_executions (node (ONE), call.id),
                            shed_case->executions);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_shed_writes) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
