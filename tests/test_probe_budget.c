#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "probe_budget.h"
#include "rng.h"

#define WINDOW_US SGR_USEC_PER_SEC
#define GATE_COUNT 6
/* Means all gates where the index of a gate is expected. */
#define ALL_GATES GATE_COUNT
#define PROBES_MAX 4000
#define BUDGET_CHANGES_MAX 2000
#define SEEDS 40

static const sgr_probe_budget_config_t base_config = { 20, 2000, 4, WINDOW_US };

/* Guards against a restarted gate that uses its full share although its earlier boot has sent
   probes in the same window. */
static void
test_buckets_are_empty_after_restart (void **state)
{
  sgr_probe_budget_t budget;
  uint32_t probe;

  assert_int_equal (sgr_probe_budget_init (&budget, &base_config, 5000), SGR_OK);
  assert_int_equal (sgr_probe_budget_reserve (&budget, 5000, 1, &probe), SGR_ERR_LIMIT);
  assert_int_equal (sgr_probe_budget_reserve (&budget, 5000 + WINDOW_US, 1, &probe), SGR_ERR_LIMIT);
  assert_int_equal (sgr_probe_budget_next_us (&budget, 5000, 1), 5001 + WINDOW_US);
  assert_int_equal (sgr_probe_budget_reserve (&budget, 5001 + WINDOW_US, 1, &probe), SGR_OK);
}

/* Guards against shares that are rounded up, so that the sum over all gates exceeds the budget. */
static void
test_gate_budget_share_table (void **state)
{
  static const struct
  {
    sgr_probe_budget_config_t config;
    sgr_result_t result;
    unsigned calls;
    uint64_t bytes;
  } cases[] = {
    { { 20, 2000, 4, WINDOW_US }, SGR_OK, 5, 500 },
    { { 19, 1999, 4, WINDOW_US }, SGR_OK, 4, 499 },
    { { 3, 2000, 4, WINDOW_US }, SGR_OK, 0, 500 },
    { { 3, 2000, 4, 10 * WINDOW_US }, SGR_OK, 7, 5000 },
    { { 0, 0, 4, WINDOW_US }, SGR_OK, 0, 0 },
    { { UINT32_MAX, UINT32_MAX, 1, UINT64_MAX },
      SGR_OK,
      SGR_PROBE_BUDGET_RESERVATIONS_MAX,
      UINT64_MAX },
    { { 20, 2000, 0, WINDOW_US }, SGR_ERR_INVALID, 0, 0 },
    { { 20, 2000, 4, 0 }, SGR_ERR_INVALID, 0, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_probe_budget_t budget;

      assert_int_equal (sgr_probe_budget_init (&budget, &cases[i].config, 0), cases[i].result);
      assert_int_equal (budget.share_calls, cases[i].calls);
      assert_true (budget.share_bytes == cases[i].bytes);
    }
}

/* Guards against probes that are sent with tokens for only a part of their cost, and against tokens
   that return before the probe ends or within one window after its end. */
static void
test_tokens_return_after_probe_end (void **state)
{
  sgr_probe_budget_t budget;
  uint64_t now_us = 2 * WINDOW_US;
  uint32_t first;
  uint32_t second;

  sgr_probe_budget_init (&budget, &base_config, 0);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 501, &first), SGR_ERR_LIMIT);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 300, &first), SGR_OK);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 201, &second), SGR_ERR_LIMIT);
  assert_true (sgr_probe_budget_next_us (&budget, now_us, 201) == UINT64_MAX);
  now_us += 5 * WINDOW_US;
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 201, &second), SGR_ERR_LIMIT);
  sgr_probe_budget_release (&budget, now_us, first);
  sgr_probe_budget_release (&budget, now_us + WINDOW_US, first);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us + WINDOW_US, 201, &second),
                    SGR_ERR_LIMIT);
  assert_true (sgr_probe_budget_next_us (&budget, now_us, 201) == now_us + WINDOW_US + 1);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us + WINDOW_US + 1, 201, &second),
                    SGR_OK);
  assert_int_equal (budget.denied, 4);
  assert_int_equal (budget.reserved_calls_total, 2);
  assert_int_equal (budget.reserved_bytes_total, 501);
}

/* Guards against a lowered budget that takes effect only after the tokens in use have returned, and
   against a change of targets_max, after which gates would divide by different values. */
static void
test_lowered_budget_applies_at_once (void **state)
{
  sgr_probe_budget_config_t lower = base_config;
  sgr_probe_budget_config_t other = base_config;
  sgr_probe_budget_t budget;
  uint64_t now_us = 2 * WINDOW_US;
  uint32_t probe;

  sgr_probe_budget_init (&budget, &base_config, 0);
  for (int i = 0; i < 3; i++)
    {
      assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 10, &probe), SGR_OK);
      sgr_probe_budget_release (&budget, now_us, probe);
    }
  lower.calls_per_s = 12;
  assert_int_equal (sgr_probe_budget_update (&budget, &lower), SGR_OK);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 10, &probe), SGR_ERR_LIMIT);
  assert_int_equal (sgr_probe_budget_update (&budget, &base_config), SGR_OK);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 10, &probe), SGR_OK);

  other.targets_max = 2;
  assert_int_equal (sgr_probe_budget_update (&budget, &other), SGR_ERR_INVALID);
  assert_int_equal (budget.share_calls, 5);
  other.targets_max = 10;
  assert_int_equal (sgr_probe_budget_update (&budget, &other), SGR_ERR_INVALID);
  assert_int_equal (budget.share_calls, 2);
  other.targets_max = 0;
  assert_int_equal (sgr_probe_budget_update (&budget, &other), SGR_ERR_INVALID);
}

/* A probe that was sent; end_us is UINT64_MAX while it is active. */
typedef struct
{
  unsigned gate;
  uint64_t start_us;
  uint64_t end_us;
  uint64_t bytes;
} probe_record_t;

/* A budget that a gate applied at a time. */
typedef struct
{
  unsigned gate;
  uint64_t from_us;
  uint32_t calls_per_s;
  uint32_t bytes_per_s;
} change_t;

/* All gates of a service, with a record of their probes and budgets. A gate that is cut off by a
   network partition does not receive the newest budget. */
typedef struct
{
  sgr_rng_t rng;
  uint64_t now_us;
  sgr_probe_budget_config_t newest_config;
  sgr_probe_budget_t budgets[GATE_COUNT];
  bool is_cut_off[GATE_COUNT];
  probe_record_t sent[PROBES_MAX];
  uint32_t handles[PROBES_MAX];
  size_t sent_count;
  change_t changes[BUDGET_CHANGES_MAX];
  size_t change_count;
} fleet_t;

static void
budget_change_record (fleet_t *fleet, unsigned gate, const sgr_probe_budget_config_t *config)
{
  assert_true (fleet->change_count < BUDGET_CHANGES_MAX);
  fleet->changes[fleet->change_count++]
      = (change_t){ gate, fleet->now_us, config->calls_per_s, config->bytes_per_s };
}

/* Ends the active probes of a gate: all of them if its process restarts, else a random half. */
static void
probes_end (fleet_t *fleet, unsigned gate, bool is_restart)
{
  for (size_t i = 0; i < fleet->sent_count; i++)
    if (fleet->sent[i].gate == gate && fleet->sent[i].end_us == UINT64_MAX
        && (is_restart || sgr_rng_below (&fleet->rng, 2) == 0))
      {
        fleet->sent[i].end_us = fleet->now_us;
        sgr_probe_budget_release (&fleet->budgets[gate], fleet->now_us, fleet->handles[i]);
      }
}

static void
gate_restart (fleet_t *fleet, unsigned gate, const sgr_probe_budget_config_t *config)
{
  probes_end (fleet, gate, true);
  assert_int_equal (sgr_probe_budget_init (&fleet->budgets[gate], config, fleet->now_us), SGR_OK);
  budget_change_record (fleet, gate, config);
}

static void
probe_send (fleet_t *fleet, unsigned gate)
{
  uint64_t bytes = 50 + sgr_rng_below (&fleet->rng, 400);
  uint32_t handle;

  if (fleet->sent_count == PROBES_MAX
      || sgr_probe_budget_reserve (&fleet->budgets[gate], fleet->now_us, bytes, &handle) != SGR_OK)
    return;
  fleet->handles[fleet->sent_count] = handle;
  fleet->sent[fleet->sent_count++] = (probe_record_t){ gate, fleet->now_us, UINT64_MAX, bytes };
}

static void
fleet_step (fleet_t *fleet)
{
  unsigned gate = (unsigned)sgr_rng_below (&fleet->rng, GATE_COUNT);
  uint64_t roll = sgr_rng_below (&fleet->rng, 1000);

  /* Short and long pauses, and pauses of exactly one window to test its limits. */
  if (roll % 10 == 0)
    fleet->now_us += roll % 20 == 0 ? WINDOW_US : sgr_rng_below (&fleet->rng, WINDOW_US);
  else
    fleet->now_us += sgr_rng_below (&fleet->rng, 30000);
  if (roll < 15)
    gate_restart (fleet, gate,
                  fleet->is_cut_off[gate] ? &fleet->budgets[gate].config : &fleet->newest_config);
  else if (roll < 30)
    {
      fleet->newest_config.calls_per_s = (uint32_t)sgr_rng_below (&fleet->rng, 60);
      fleet->newest_config.bytes_per_s = (uint32_t)sgr_rng_below (&fleet->rng, 20000);
    }
  else if (roll < 50)
    fleet->is_cut_off[gate] = !fleet->is_cut_off[gate];
  else if (roll < 150 && !fleet->is_cut_off[gate])
    {
      assert_int_equal (sgr_probe_budget_update (&fleet->budgets[gate], &fleet->newest_config),
                        SGR_OK);
      budget_change_record (fleet, gate, &fleet->newest_config);
    }
  else if (roll < 300)
    probes_end (fleet, gate, false);
  else
    probe_send (fleet, gate);
}

/* Finds the largest budget that was in force from from_us to to_us at one gate, or at any gate for
   ALL_GATES. */
static void
budget_max (const fleet_t *fleet, unsigned gate, uint64_t from_us, uint64_t to_us, uint64_t *calls,
            uint64_t *bytes)
{
  bool is_finished[GATE_COUNT] = { false };

  *calls = 0;
  *bytes = 0;
  /* Visits the changes from the newest to the oldest. The last one that counts for a gate is its
     last change before from_us. */
  for (size_t i = fleet->change_count; i-- > 0;)
    {
      const change_t *change = &fleet->changes[i];

      if (change->from_us > to_us || is_finished[change->gate]
          || (gate != ALL_GATES && gate != change->gate))
        continue;
      is_finished[change->gate] = change->from_us < from_us;
      if (change->calls_per_s > *calls)
        *calls = change->calls_per_s;
      if (change->bytes_per_s > *bytes)
        *bytes = change->bytes_per_s;
    }
}

/* Checks the two bounds that sgr_probe_budget_t documents, for the window from from_us to from_us +
   WINDOW_US, both ends included. The bound is the budget of the service for ALL_GATES, otherwise
   the share of the gate. Element 0 of each array counts calls, element 1 bytes. */
static void
window_check (const fleet_t *fleet, unsigned gate, uint64_t from_us)
{
  uint64_t divisor = gate == ALL_GATES ? 1 : GATE_COUNT;
  uint64_t to_us = from_us + WINDOW_US;
  uint64_t earliest_us = from_us;
  uint64_t started[2] = { 0, 0 };
  uint64_t active[2] = { 0, 0 };
  uint64_t max[2];

  for (size_t i = 0; i < fleet->sent_count; i++)
    {
      const probe_record_t *sent = &fleet->sent[i];

      if (sent->start_us > to_us || sent->end_us < from_us
          || (gate != ALL_GATES && gate != sent->gate))
        continue;
      active[0]++;
      active[1] += sent->bytes;
      if (sent->start_us < earliest_us)
        earliest_us = sent->start_us;
      started[0] += sent->start_us >= from_us;
      started[1] += sent->start_us >= from_us ? sent->bytes : 0;
    }
  budget_max (fleet, gate, from_us, to_us, &max[0], &max[1]);
  assert_true (started[0] <= max[0] / divisor && started[1] <= max[1] / divisor);
  budget_max (fleet, gate, earliest_us, to_us, &max[0], &max[1]);
  assert_true (active[0] <= max[0] / divisor && active[1] <= max[1] / divisor);
}

/* Guards against a window in which the gates of a service together exceed its budget, while gates
   restart, budgets are raised and lowered, and a network partition leaves gates with different
   budgets. */
static void
test_no_window_exceeds_the_budget (void **state)
{
  size_t total = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *fleet = calloc (1, sizeof *fleet);

      assert_non_null (fleet);
      sgr_rng_seed (&fleet->rng, seed);
      fleet->now_us = 10 * WINDOW_US;
      fleet->newest_config = (sgr_probe_budget_config_t){ 60, 20000, GATE_COUNT, WINDOW_US };
      for (unsigned gate = 0; gate < GATE_COUNT; gate++)
        gate_restart (fleet, gate, &fleet->newest_config);
      for (int step = 0; step < 3000; step++)
        fleet_step (fleet);
      for (size_t i = 0; i < fleet->sent_count; i++)
        {
          const probe_record_t *sent = &fleet->sent[i];
          const uint64_t windows[] = { sent->start_us, sent->start_us - WINDOW_US,
                                       sent->end_us != UINT64_MAX ? sent->end_us : sent->start_us };

          for (size_t w = 0; w < sizeof windows / sizeof windows[0]; w++)
            {
              window_check (fleet, ALL_GATES, windows[w]);
              window_check (fleet, sent->gate, windows[w]);
            }
        }
      total += fleet->sent_count;
      free (fleet);
    }
  /* The checks would pass without any probes, so enough of them must have been sent. */
  assert_true (total > 100 * SEEDS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_buckets_are_empty_after_restart),
    cmocka_unit_test (test_gate_budget_share_table),
    cmocka_unit_test (test_tokens_return_after_probe_end),
    cmocka_unit_test (test_lowered_budget_applies_at_once),
    cmocka_unit_test (test_no_window_exceeds_the_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
