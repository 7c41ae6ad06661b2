#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "quota_model.h"

/* Shares of min(demand, limit) that have to be admitted in normal operation, and in the 10 s after
   the loss of the lender, when the part of the lost node cannot be lent. */
#define SHARE 0.95
#define FAULT_SHARE 0.8

static void
model_check (const quota_model_t *model, double share, double fault_share, double late_share)
{
  quota_model_result_t result = quota_model_run (model);

  bool is_met = result.excess <= 0 && result.share >= share && result.fault_share >= fault_share
                && result.late_share >= late_share;

  if (!is_met || getenv ("QUOTA_MODEL_PRINT") != NULL)
    print_message ("%s, %zu nodes, load %d, demand %.0f: excess %.0f, shares %.3f %.3f %.3f, "
                   "%.0f and %.0f bytes/s, retry %u ms\n",
                   model->name, model->nodes, model->load, model->demand, result.excess,
                   result.share, result.fault_share, result.late_share, result.bytes_per_s,
                   result.lender_bytes_per_s, result.retry_max_ms);
  assert_true (is_met);
}

/* Guards against a quota that cannot be used where the callers are. */
static void
test_share_follows_callers (void **state)
{
  static const size_t nodes[] = { 2, 13, 80, 300 };

  for (size_t i = 0; i < sizeof nodes / sizeof nodes[0]; i++)
    {
      for (int load = QUOTA_LOAD_ALL; load <= QUOTA_LOAD_MOVING; load++)
        {
          for (int times = 0; times < 3; times++)
            {
              static const double factors[] = { 0.8, 1, 8 };
              quota_model_t model = { .name = "share",
                                      .nodes = nodes[i],
                                      .rate = 280,
                                      .burst = 280,
                                      .demand = 280 * factors[times],
                                      .load = (quota_load_t)load,
                                      .seed = 1 + i };

              model_check (&model, SHARE, SHARE, SHARE);
            }
        }
    }
}

static void
faults_check (size_t nodes, uint64_t seed)
{
  static const struct
  {
    const char *name;
    quota_fault_t fault;
    double fault_share;
    double late_share;
  } faults[] = {
    { "kill-lender", QUOTA_FAULT_KILL_LENDER, FAULT_SHARE, SHARE },
    { "kill-all", QUOTA_FAULT_KILL_ALL, 0, SHARE },
    { "partition-minority", QUOTA_FAULT_PARTITION_MINORITY, FAULT_SHARE, SHARE },
    { "partition-majority", QUOTA_FAULT_PARTITION_MAJORITY, FAULT_SHARE, SHARE },
    { "partition-restart", QUOTA_FAULT_PARTITION_RESTART, 0, SHARE },
    { "freeze", QUOTA_FAULT_FREEZE_LENDER, FAULT_SHARE, SHARE },
    { "late-fleet", QUOTA_FAULT_LATE_FLEET, SHARE, SHARE },
    { "limit-tenth", QUOTA_FAULT_LIMIT_TENTH, 0, 0 },
  };

  for (size_t f = 0; f < sizeof faults / sizeof faults[0]; f++)
    {
      for (int variant = 0; variant < 4; variant++)
        {
          quota_model_t model = { .name = faults[f].name,
                                  .nodes = nodes,
                                  .rate = 200,
                                  .burst = 400,
                                  .demand = 1600,
                                  .load = variant >= 2 ? QUOTA_LOAD_PULSES : QUOTA_LOAD_ALL,
                                  .fault = faults[f].fault,
                                  .loss = variant % 2 == 1 ? 0.1 : 0,
                                  .not_run = variant > 0 ? 0.2 : 0,
                                  .seed = seed };
          double part = variant == 0 ? (double)(nodes - 1) / (double)nodes : 0;

          /* The shares are required without lost messages and with constant load. */
          model_check (&model, variant == 0 ? SHARE : 0, faults[f].fault_share * part,
                       variant == 0 ? faults[f].late_share : 0);
        }
    }
}

/* Guards against more calls than the bound, and against a quota that stays unused, when parts of
   the fleet fail. */
static void
test_faults (void **state)
{
  static const size_t nodes[] = { 2, 13, 80, 300 };

  for (size_t i = 0; i < sizeof nodes / sizeof nodes[0]; i++)
    faults_check (nodes[i], 1 + i);
}

/* Guards against a test that cannot see a violated bound: lenders that do not divide the limit by
   the fleet must violate it during a partition. */
static void
test_bound_needs_division (void **state)
{
  quota_model_t model = { .nodes = 13,
                          .rate = 200,
                          .burst = 400,
                          .demand = 1600,
                          .fault = QUOTA_FAULT_PARTITION_MAJORITY,
                          .is_undivided = true,
                          .seed = 1 };

  assert_true (quota_model_run (&model).excess > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_share_follows_callers),
    cmocka_unit_test (test_faults),
    cmocka_unit_test (test_bound_needs_division),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
