#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "path_check.h"

/* Targets that shed load with a status that the policy of "pair" declares as not-run, and with the
   same status where no policy declares it. */

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
start (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "pair-a", "pair", false);
  sgr_fixture_node_add (&fixture, "pair-b", "pair", false);
  sgr_fixture_node_add (&fixture, "one", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
stop (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

typedef struct
{
  const char *name;
  const char *service;
  const char *outcome;
  bool sheds[4];
  int status;
  unsigned executions;
} shed_case_t;

/* Guards against a shed write that is lost although another target could run it, against a second
   run, and against a not-run that no policy declares. */
static void
test_shed_writes (void **state)
{
  static const shed_case_t cases[] = {
    { "one of two sheds", "pair", "complete", { [PAIR_A] = true }, 200, 1 },
    { "the other sheds", "pair", "complete", { [PAIR_B] = true }, 200, 1 },
    { "both shed", "pair", "not-run", { [PAIR_A] = true, [PAIR_B] = true }, 503, 0 },
    { "status not declared", "one", "complete", { [ONE] = true }, 503, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const shed_case_t *row = &cases[i];

      print_message ("%s\n", row->name);
      for (int at = PAIR_A; at <= ONE; at++)
        sgr_fixture_admin (node (at), row->sheds[at] ? "shed" : "normal");
      for (int repeat = 0; repeat < 4; repeat++)
        {
          sgr_path_call_t call = { .entry = node (ENTRY),
                                   .service = row->service,
                                   .method = "POST",
                                   .path = "/",
                                   .body = "write" };
          sgr_probe_answer_t answer;
          char outcome[32];
          int fd = sgr_path_send (&call);

          sgr_probe_receive (fd, &call.request, &answer);
          sgr_probe_field (&answer, "siskingrade-outcome", outcome, sizeof outcome);
          assert_int_equal (answer.status, row->status);
          assert_string_equal (outcome, row->outcome);
          sgr_probe_release (&answer);
          assert_int_equal (sgr_fixture_executions (node (PAIR_A), call.id)
                                + sgr_fixture_executions (node (PAIR_B), call.id)
                                + sgr_fixture_executions (node (ONE), call.id),
                            row->executions);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_shed_writes) };

  return cmocka_run_group_tests (tests, start, stop);
}
