#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "probe_budget.h"
#include "rng.h"

#define WINDOW_US SGR_USEC_PER_SEC
#define GATES 6
#define ALL_GATES GATES
#define PROBES_MAX 4000
#define CHANGES_MAX 2000
#define SEEDS 40

static const sgr_probe_budget_config_t plain = { 20, 2000, 4, WINDOW_US };

/* Guards against a restarted gate that forgets what its earlier life sent in the same window. */
static void
test_restart_starts_empty (void **state)
{
  sgr_probe_budget_t budget;
  uint32_t probe;

  assert_int_equal (sgr_probe_budget_init (&budget, &plain, 5000), SGR_OK);
  assert_int_equal (sgr_probe_budget_reserve (&budget, 5000, 1, &probe), SGR_ERR_LIMIT);
  assert_int_equal (sgr_probe_budget_reserve (&budget, 5000 + WINDOW_US, 1, &probe), SGR_ERR_LIMIT);
  assert_int_equal (sgr_probe_budget_next_us (&budget, 5000, 1), 5001 + WINDOW_US);
  assert_int_equal (sgr_probe_budget_reserve (&budget, 5001 + WINDOW_US, 1, &probe), SGR_OK);
}

/* Guards against shares that are rounded up: the sum over all gates would exceed the budget. */
static void
test_share_table (void **state)
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
    { { UINT32_MAX, UINT32_MAX, 1, UINT64_MAX }, SGR_OK, SGR_PROBE_BUDGET_HELD_MAX, UINT64_MAX },
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

/* Guards against probes that are sent on part of their cost, and against tokens that return while
   the probe still moves bytes or within one window after it. */
static void
test_tokens_return_after_the_end (void **state)
{
  sgr_probe_budget_t budget;
  uint64_t now_us = 2 * WINDOW_US;
  uint32_t first;
  uint32_t second;

  sgr_probe_budget_init (&budget, &plain, 0);
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
  assert_int_equal (budget.sent_calls, 2);
  assert_int_equal (budget.sent_bytes, 501);
}

/* Guards against a lowered budget that waits for tokens to run out, and against two divisors at the
   same time. */
static void
test_update_cuts_at_once (void **state)
{
  sgr_probe_budget_config_t lower = plain;
  sgr_probe_budget_config_t other = plain;
  sgr_probe_budget_t budget;
  uint64_t now_us = 2 * WINDOW_US;
  uint32_t probe;

  sgr_probe_budget_init (&budget, &plain, 0);
  for (int i = 0; i < 3; i++)
    {
      assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 10, &probe), SGR_OK);
      sgr_probe_budget_release (&budget, now_us, probe);
    }
  lower.calls_per_s = 12;
  assert_int_equal (sgr_probe_budget_update (&budget, &lower), SGR_OK);
  assert_int_equal (sgr_probe_budget_reserve (&budget, now_us, 10, &probe), SGR_ERR_LIMIT);
  assert_int_equal (sgr_probe_budget_update (&budget, &plain), SGR_OK);
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

typedef struct
{
  unsigned gate;
  uint64_t start_us;
  uint64_t end_us;
  uint64_t bytes;
} sent_t;

typedef struct
{
  unsigned gate;
  uint64_t from_us;
  uint32_t calls_per_s;
  uint32_t bytes_per_s;
} change_t;

typedef struct
{
  sgr_rng_t rng;
  uint64_t now_us;
  sgr_probe_budget_config_t newest;
  sgr_probe_budget_t budgets[GATES];
  bool is_cut_off[GATES];
  sent_t sent[PROBES_MAX];
  uint32_t handles[PROBES_MAX];
  size_t sent_count;
  change_t changes[CHANGES_MAX];
  size_t change_count;
} fleet_t;

static void
change_note (fleet_t *f, unsigned gate, const sgr_probe_budget_config_t *config)
{
  assert_true (f->change_count < CHANGES_MAX);
  f->changes[f->change_count++]
      = (change_t){ gate, f->now_us, config->calls_per_s, config->bytes_per_s };
}

/* Ends the active probes of a gate; all of them when the process dies, else each by chance. */
static void
probes_end (fleet_t *f, unsigned gate, bool is_restart)
{
  for (size_t i = 0; i < f->sent_count; i++)
    if (f->sent[i].gate == gate && f->sent[i].end_us == UINT64_MAX
        && (is_restart || sgr_rng_below (&f->rng, 2) == 0))
      {
        f->sent[i].end_us = f->now_us;
        sgr_probe_budget_release (&f->budgets[gate], f->now_us, f->handles[i]);
      }
}

static void
gate_restart (fleet_t *f, unsigned gate, const sgr_probe_budget_config_t *config)
{
  probes_end (f, gate, true);
  assert_int_equal (sgr_probe_budget_init (&f->budgets[gate], config, f->now_us), SGR_OK);
  change_note (f, gate, config);
}

static void
probe_send (fleet_t *f, unsigned gate)
{
  uint64_t bytes = 50 + sgr_rng_below (&f->rng, 400);
  uint32_t handle;

  if (f->sent_count == PROBES_MAX
      || sgr_probe_budget_reserve (&f->budgets[gate], f->now_us, bytes, &handle) != SGR_OK)
    return;
  f->handles[f->sent_count] = handle;
  f->sent[f->sent_count++] = (sent_t){ gate, f->now_us, UINT64_MAX, bytes };
}

static void
fleet_step (fleet_t *f)
{
  unsigned gate = (unsigned)sgr_rng_below (&f->rng, GATES);
  uint64_t dice = sgr_rng_below (&f->rng, 1000);

  /* Short and long pauses, and steps of exactly one window to hit the boundary. */
  if (dice % 10 == 0)
    f->now_us += dice % 20 == 0 ? WINDOW_US : sgr_rng_below (&f->rng, WINDOW_US);
  else
    f->now_us += sgr_rng_below (&f->rng, 30000);
  if (dice < 15)
    gate_restart (f, gate, f->is_cut_off[gate] ? &f->budgets[gate].config : &f->newest);
  else if (dice < 30)
    {
      f->newest.calls_per_s = (uint32_t)sgr_rng_below (&f->rng, 60);
      f->newest.bytes_per_s = (uint32_t)sgr_rng_below (&f->rng, 20000);
    }
  else if (dice < 50)
    f->is_cut_off[gate] = !f->is_cut_off[gate];
  else if (dice < 150 && !f->is_cut_off[gate])
    {
      assert_int_equal (sgr_probe_budget_update (&f->budgets[gate], &f->newest), SGR_OK);
      change_note (f, gate, &f->newest);
    }
  else if (dice < 300)
    probes_end (f, gate, false);
  else
    probe_send (f, gate);
}

/* Largest budget that one gate, or any for ALL_GATES, held in a span of time. */
static void
budget_max (const fleet_t *f, unsigned gate, uint64_t from_us, uint64_t to_us, uint64_t *calls,
            uint64_t *bytes)
{
  bool is_covered[GATES] = { false };

  *calls = 0;
  *bytes = 0;
  /* Backwards, so that the last change of a gate before from_us is the first one met. */
  for (size_t i = f->change_count; i-- > 0;)
    {
      const change_t *change = &f->changes[i];

      if (change->from_us > to_us || is_covered[change->gate]
          || (gate != ALL_GATES && gate != change->gate))
        continue;
      is_covered[change->gate] = change->from_us < from_us;
      if (change->calls_per_s > *calls)
        *calls = change->calls_per_s;
      if (change->bytes_per_s > *bytes)
        *bytes = change->bytes_per_s;
    }
}

/* Checks both bounds for [from_us, from_us + WINDOW_US]: by reservation and by activity. A single
   gate must keep to its share. */
static void
window_check (const fleet_t *f, unsigned gate, uint64_t from_us)
{
  uint64_t divisor = gate == ALL_GATES ? 1 : GATES;
  uint64_t to_us = from_us + WINDOW_US;
  uint64_t earliest_us = from_us;
  uint64_t started[2] = { 0, 0 };
  uint64_t active[2] = { 0, 0 };
  uint64_t max[2];

  for (size_t i = 0; i < f->sent_count; i++)
    {
      const sent_t *sent = &f->sent[i];

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
  budget_max (f, gate, from_us, to_us, &max[0], &max[1]);
  assert_true (started[0] <= max[0] / divisor && started[1] <= max[1] / divisor);
  budget_max (f, gate, earliest_us, to_us, &max[0], &max[1]);
  assert_true (active[0] <= max[0] / divisor && active[1] <= max[1] / divisor);
}

/* Guards against any window in which the gates of a service together exceed its budget, while gates
   restart, see different budgets in a partition, and budgets rise and fall. */
static void
test_no_window_exceeds_the_budget (void **state)
{
  size_t total = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f = calloc (1, sizeof *f);

      assert_non_null (f);
      sgr_rng_seed (&f->rng, seed);
      f->now_us = 10 * WINDOW_US;
      f->newest = (sgr_probe_budget_config_t){ 60, 20000, GATES, WINDOW_US };
      for (unsigned gate = 0; gate < GATES; gate++)
        gate_restart (f, gate, &f->newest);
      for (int step = 0; step < 3000; step++)
        fleet_step (f);
      for (size_t i = 0; i < f->sent_count; i++)
        {
          const sent_t *sent = &f->sent[i];
          const uint64_t windows[] = { sent->start_us, sent->start_us - WINDOW_US,
                                       sent->end_us != UINT64_MAX ? sent->end_us : sent->start_us };

          for (size_t w = 0; w < sizeof windows / sizeof windows[0]; w++)
            {
              window_check (f, ALL_GATES, windows[w]);
              window_check (f, sent->gate, windows[w]);
            }
        }
      total += f->sent_count;
      free (f);
    }
  /* The windows would hold trivially if the buckets stayed empty. */
  assert_true (total > 100 * SEEDS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_restart_starts_empty),
    cmocka_unit_test (test_share_table),
    cmocka_unit_test (test_tokens_return_after_the_end),
    cmocka_unit_test (test_update_cuts_at_once),
    cmocka_unit_test (test_no_window_exceeds_the_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
