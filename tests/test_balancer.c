#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "balancer.h"

#define MS SGR_USEC_PER_MSEC
#define START_US (100 * SGR_USEC_PER_SEC)
#define SLOTS 10
#define TARGETS_MAX 8

static const sgr_balancer_options_t default_options = { .seed = 1, .eject_percent = 34 };

typedef struct
{
  sgr_balancer_t *b;
  uint64_t now_us;
  unsigned count;
  sgr_balancer_target_t targets[TARGETS_MAX];
} fixture_t;

static sgr_balancer_target_info_t
target_info_make (sgr_node_id_t node)
{
  return (sgr_balancer_target_info_t){
    .node = node,
    .failure_domain = "near",
    .slots = SLOTS,
    .link_rtt_us = 200,
    .state = SGR_TARGET_SERVING,
  };
}

static fixture_t
fixture_make (const sgr_balancer_options_t *options, unsigned count)
{
  fixture_t f = { .b = sgr_balancer_create (options), .now_us = START_US, .count = count };

  assert_non_null (f.b);
  for (unsigned i = 0; i < count; i++)
    {
      sgr_balancer_target_info_t info = target_info_make (i + 1);

      assert_int_equal (sgr_balancer_target_add (f.b, f.now_us, &info, &f.targets[i]), SGR_OK);
    }
  return f;
}

static unsigned
target_index (const fixture_t *f, sgr_balancer_target_t target)
{
  for (unsigned i = 0; i < f->count; i++)
    if (f->targets[i] == target)
      return i;
  return TARGETS_MAX;
}

static sgr_load_report_t
load_report_make (uint32_t in_flight, uint32_t queued, uint64_t age_us)
{
  return (sgr_load_report_t){ .in_flight = in_flight,
                              .queued = queued,
                              .slots = SLOTS,
                              .latency_us = 20 * MS,
                              .age_us = age_us,
                              .state = SGR_TARGET_SERVING };
}

static void
attempt_run (fixture_t *f, sgr_balancer_target_t target, uint64_t latency_us, bool is_error,
             const sgr_load_report_t *report)
{
  sgr_balancer_attempt_start (f->b, f->now_us, target);
  f->now_us += latency_us;
  sgr_balancer_attempt_finish (f->b, f->now_us, target, SGR_OUTCOME_COMPLETE, latency_us, is_error,
                               report);
}

/* Makes choices without sending attempts; counts the choices of each target. */
static void
picks_distribution (fixture_t *f, unsigned picks, unsigned counts[TARGETS_MAX])
{
  memset (counts, 0, TARGETS_MAX * sizeof counts[0]);
  for (unsigned i = 0; i < picks; i++)
    counts[target_index (f, sgr_balancer_pick (f->b, f->now_us, NULL, 0))]++;
}

/* Runs the same attempts at all targets, so that their load and latency are known. */
static void
targets_warm_up (fixture_t *f, unsigned rounds)
{
  for (unsigned i = 0; i < rounds * f->count; i++)
    {
      sgr_load_report_t report = load_report_make (SLOTS / 2, 0, 100);

      attempt_run (f, f->targets[i % f->count], 20 * MS, false, &report);
    }
}

/* Guards against a stale handle that acts on the next target in the same table entry, and against
   input that is not checked. */
static void
test_targets_and_handles (void **state)
{
  static const sgr_balancer_options_t invalid_options[] = {
    { .policy = SGR_BALANCER_POLICY_COUNT },
    { .policy = SGR_BALANCER_RANDOM, .eject_percent = 101 },
  };
  fixture_t f = fixture_make (&default_options, 3);
  sgr_balancer_target_info_t info = target_info_make (2);
  sgr_balancer_target_t target;
  sgr_balancer_target_t removed = f.targets[1];

  assert_null (sgr_balancer_create (&invalid_options[0]));
  assert_null (sgr_balancer_create (&invalid_options[1]));
  assert_int_equal (sgr_balancer_options_set (f.b, &invalid_options[1]), SGR_ERR_INVALID);
  assert_int_equal (sgr_balancer_target_add (f.b, 0, &info, &target), SGR_ERR_CONFLICT);
  assert_int_equal (target, removed);
  sgr_balancer_attempt_start (f.b, f.now_us, removed);
  assert_int_equal (sgr_balancer_target_remove (f.b, removed), SGR_OK);
  assert_int_equal (sgr_balancer_target_remove (f.b, removed), SGR_ERR_NOT_FOUND);
  assert_int_equal (sgr_balancer_target_find (f.b, 2), SGR_BALANCER_TARGET_NONE);
  assert_int_equal (sgr_balancer_target_add (f.b, 0, &info, &target), SGR_OK);
  assert_int_not_equal (target, removed);
  sgr_balancer_attempt_start (f.b, f.now_us, target);
  sgr_balancer_attempt_finish (f.b, f.now_us, removed, SGR_OUTCOME_COMPLETE, 0, true, NULL);
  assert_int_equal (sgr_balancer_outstanding (f.b, target), 1);
  assert_null (sgr_balancer_target_info (f.b, removed));
  assert_int_equal (sgr_balancer_target_update (f.b, 0, removed, &info), SGR_ERR_NOT_FOUND);
  info.node = 9;
  assert_int_equal (sgr_balancer_target_update (f.b, 0, target, &info), SGR_ERR_INVALID);
  info.slots = 0;
  assert_int_equal (sgr_balancer_target_add (f.b, 0, &info, &target), SGR_ERR_INVALID);
  assert_int_equal (sgr_balancer_event_count (f.b, SGR_BALANCER_STALE_HANDLE), 3);
  assert_int_equal (sgr_balancer_target_count (f.b), 3);
  sgr_balancer_destroy (f.b);
}

/* Guards against choosing a target that is draining, has left or is excluded, under any policy. */
static void
test_eligibility_table (void **state)
{
  static const struct
  {
    sgr_target_state_t states[3];
    /* Bit N stands for target N. */
    unsigned excluded_mask;
    unsigned allowed_mask;
  } cases[] = {
    { { SGR_TARGET_SERVING, SGR_TARGET_SERVING, SGR_TARGET_SERVING }, 0, 7 },
    { { SGR_TARGET_SERVING, SGR_TARGET_SERVING, SGR_TARGET_SERVING }, 3, 4 },
    { { SGR_TARGET_SERVING, SGR_TARGET_SERVING, SGR_TARGET_SERVING }, 7, 0 },
    { { SGR_TARGET_DRAINING, SGR_TARGET_SERVING, SGR_TARGET_LEFT }, 0, 2 },
    { { SGR_TARGET_DRAINING, SGR_TARGET_LEFT, SGR_TARGET_NONE }, 0, 0 },
    { { SGR_TARGET_WARMING, SGR_TARGET_SERVING, SGR_TARGET_WARMING }, 0, 2 },
    { { SGR_TARGET_WARMING, SGR_TARGET_SERVING, SGR_TARGET_DRAINING }, 2, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0] * SGR_BALANCER_POLICY_COUNT; i++)
    {
      size_t row = i / SGR_BALANCER_POLICY_COUNT;
      sgr_balancer_options_t options = default_options;
      sgr_balancer_target_t exclude[3];
      size_t exclude_count = 0;
      unsigned picked_mask = 0;
      fixture_t f;

      options.policy = (sgr_balancer_policy_t)(i % SGR_BALANCER_POLICY_COUNT);
      f = fixture_make (&options, 3);
      for (unsigned t = 0; t < 3; t++)
        {
          sgr_balancer_target_info_t info = target_info_make (t + 1);

          info.state = cases[row].states[t];
          assert_int_equal (sgr_balancer_target_update (f.b, 0, f.targets[t], &info), SGR_OK);
          if (cases[row].excluded_mask & 1U << t)
            exclude[exclude_count++] = f.targets[t];
        }
      for (int pick = 0; pick < 100; pick++)
        {
          sgr_balancer_target_t target = sgr_balancer_pick (f.b, f.now_us, exclude, exclude_count);

          if (target != SGR_BALANCER_TARGET_NONE)
            picked_mask |= 1U << target_index (&f, target);
        }
      assert_int_equal (picked_mask, cases[row].allowed_mask);
      sgr_balancer_destroy (f.b);
    }
}

/* Guards against choosing a target whose gate has reported draining while the membership view still
   says serving. */
static void
test_reported_draining_overrides_membership (void **state)
{
  fixture_t f = fixture_make (&default_options, 2);
  sgr_load_report_t report = load_report_make (1, 0, 100);
  sgr_balancer_target_info_t info = target_info_make (1);
  unsigned counts[TARGETS_MAX];

  targets_warm_up (&f, 5);
  picks_distribution (&f, 50, counts);
  assert_true (counts[0] > 0);
  report.state = SGR_TARGET_DRAINING;
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &report);
  picks_distribution (&f, 50, counts);
  assert_int_equal (counts[0], 0);
  info.serving_since_us = f.now_us + 1;
  sgr_balancer_target_update (f.b, f.now_us, f.targets[0], &info);
  picks_distribution (&f, 50, counts);
  assert_true (counts[0] > 0);
  sgr_balancer_destroy (f.b);
}

/* Guards against a target that is never chosen again: its gate restarted and reported left before
   the target had announced itself, and the membership view showed no change in between. */
static void
test_reported_left_state_expires (void **state)
{
  fixture_t f = fixture_make (&default_options, 1);
  sgr_load_report_t report = load_report_make (1, 0, 100);

  report.state = SGR_TARGET_LEFT;
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &report);
  assert_int_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), SGR_BALANCER_TARGET_NONE);
  f.now_us += 4 * SGR_USEC_PER_SEC;
  assert_int_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), f.targets[0]);
  sgr_balancer_destroy (f.b);
}

/* Guards against a serving target that gets no calls for a time, because an older state arrives
   through membership after its gate has reported serving. If the gate itself reports that it has no
   target, none is chosen. */
static void
test_reported_serving_overrides_membership (void **state)
{
  fixture_t f = fixture_make (&default_options, 1);
  sgr_load_report_t report = load_report_make (1, 0, 100);
  sgr_balancer_target_info_t info = target_info_make (1);

  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &report);
  info.state = SGR_TARGET_NONE;
  sgr_balancer_target_update (f.b, f.now_us, f.targets[0], &info);
  assert_int_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), f.targets[0]);
  report.state = SGR_TARGET_NONE;
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &report);
  assert_int_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), SGR_BALANCER_TARGET_NONE);
  report.state = SGR_TARGET_SERVING;
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &report);
  assert_int_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), f.targets[0]);
  f.now_us += 4 * SGR_USEC_PER_SEC;
  assert_int_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), SGR_BALANCER_TARGET_NONE);
  info.state = SGR_TARGET_DRAINING;
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &report);
  sgr_balancer_target_update (f.b, f.now_us, f.targets[0], &info);
  assert_int_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), SGR_BALANCER_TARGET_NONE);
  sgr_balancer_destroy (f.b);
}

/* Guards against a target that gets many calls because its fast errors look like low load and low
   latency, also where ejection is disabled. */
static void
test_fast_failing_target_gets_few_picks (void **state)
{
  for (uint32_t percent = 0; percent <= 34; percent += 34)
    {
      sgr_balancer_options_t options = default_options;
      unsigned failing = 0;
      fixture_t f;

      options.eject_percent = percent;
      f = fixture_make (&options, 5);
      targets_warm_up (&f, 10);
      for (int i = 0; i < 2000; i++)
        {
          sgr_balancer_target_t target = sgr_balancer_pick (f.b, f.now_us, NULL, 0);
          bool is_failing = target == f.targets[0];
          sgr_load_report_t report = load_report_make (is_failing ? 0 : SLOTS, 0, 100);

          failing += is_failing;
          attempt_run (&f, target, is_failing ? 300 : 20 * MS, is_failing, &report);
        }
      assert_true (failing < 2000 / 5 / 10);
      assert_int_equal (sgr_balancer_event_count (f.b, SGR_BALANCER_FAST_ERROR), failing);
      sgr_balancer_destroy (f.b);
    }
}

/* Guards against the ejection of all targets of a service, or of more than eject_percent. */
static void
test_ejection_cap_table (void **state)
{
  static const struct
  {
    unsigned targets;
    unsigned failing;
    uint32_t eject_percent;
    unsigned ejected_max;
  } cases[] = {
    { 1, 1, 100, 0 }, { 2, 1, 34, 1 }, { 2, 2, 100, 1 }, { 5, 1, 0, 0 },
    { 5, 1, 34, 1 },  { 5, 3, 34, 1 }, { 5, 3, 60, 3 },  { 5, 5, 100, 4 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_balancer_options_t options = default_options;
      unsigned ejected = 0;
      fixture_t f;

      options.eject_percent = cases[i].eject_percent;
      f = fixture_make (&options, cases[i].targets);
      for (int round = 0; round < 200; round++)
        for (unsigned t = 0; t < f.count; t++)
          attempt_run (&f, f.targets[t], 300, t < cases[i].failing, NULL);
      for (unsigned t = 0; t < f.count; t++)
        ejected += sgr_balancer_is_ejected (f.b, f.targets[t]);
      assert_true (ejected <= cases[i].ejected_max);
      /* A single failing target must be ejected if an ejection is allowed. */
      if (cases[i].failing == 1 && cases[i].ejected_max > 0)
        assert_int_equal (ejected, 1);
      assert_int_not_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), SGR_BALANCER_TARGET_NONE);
      sgr_balancer_destroy (f.b);
    }
}

/* Makes choices until one is a trial of the ejected first target; returns its time. */
static uint64_t
trial_wait (fixture_t *f)
{
  while (sgr_balancer_pick (f->b, f->now_us, NULL, 0) != f->targets[0])
    f->now_us += 10 * MS;
  return f->now_us;
}

/* Guards against trials that send many attempts to a failing target, do not back off, or never
   readmit it. */
static void
test_half_open_trials (void **state)
{
  fixture_t f = fixture_make (&default_options, 3);
  uint64_t last_us;
  uint64_t wait_us = 0;

  targets_warm_up (&f, 10);
  for (int i = 0; i < 20; i++)
    attempt_run (&f, f.targets[0], 300, true, NULL);
  assert_true (sgr_balancer_is_ejected (f.b, f.targets[0]));
  last_us = f.now_us;
  for (int trial = 0; trial < 4; trial++)
    {
      uint64_t waited_us = trial_wait (&f) - last_us;

      assert_true (waited_us > wait_us * 3 / 2);
      wait_us = waited_us;
      /* While a trial is pending, no other one starts. */
      for (int i = 0; i < 100; i++)
        assert_int_not_equal (sgr_balancer_pick (f.b, f.now_us, NULL, 0), f.targets[0]);
      attempt_run (&f, f.targets[0], 300, true, NULL);
      last_us = f.now_us;
    }
  for (int passed = 0; passed < 3; passed++)
    {
      assert_true (sgr_balancer_is_ejected (f.b, f.targets[0]));
      last_us = f.now_us;
      trial_wait (&f);
      /* After a passed trial the next one is due immediately. */
      assert_true (passed == 0 || f.now_us == last_us);
      attempt_run (&f, f.targets[0], 20 * MS, false, NULL);
    }
  assert_false (sgr_balancer_is_ejected (f.b, f.targets[0]));
  assert_int_equal (sgr_balancer_event_count (f.b, SGR_BALANCER_READMITTED), 1);
  sgr_balancer_destroy (f.b);
}

/* Guards against the choice of a target without a free slot while others have one. */
static void
test_hot_target_is_avoided (void **state)
{
  fixture_t f = fixture_make (&default_options, 3);
  sgr_load_report_t full = load_report_make (SLOTS, SLOTS, 0);
  sgr_load_report_t idle = load_report_make (1, 0, 0);
  unsigned counts[TARGETS_MAX];

  targets_warm_up (&f, 10);
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &full);
  sgr_balancer_report_update (f.b, f.now_us, f.targets[1], &idle);
  sgr_balancer_report_update (f.b, f.now_us, f.targets[2], &idle);
  picks_distribution (&f, 300, counts);
  assert_int_equal (counts[0], 0);
  assert_true (counts[1] > 50 && counts[2] > 50);

  /* After a second the same report has no weight, as the requests in it have finished. */
  f.now_us += SGR_USEC_PER_SEC;
  picks_distribution (&f, 300, counts);
  assert_true (counts[0] > 50);
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &idle);
  full.age_us = 5000;
  sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &full);
  assert_int_equal (sgr_balancer_event_count (f.b, SGR_BALANCER_REPORT_OLD), 1);
  sgr_balancer_destroy (f.b);
}

/* Guards against a node that sends all its attempts to the target that last reported no load. */
static void
test_own_outstanding_is_added_to_reports (void **state)
{
  fixture_t f = fixture_make (&default_options, 3);
  unsigned counts[TARGETS_MAX] = { 0 };

  targets_warm_up (&f, 10);
  for (unsigned t = 0; t < 3; t++)
    {
      sgr_load_report_t report = load_report_make (t == 0 ? 0 : SLOTS, 0, 0);

      sgr_balancer_report_update (f.b, f.now_us, f.targets[t], &report);
    }
  for (int i = 0; i < 3 * SLOTS; i++)
    {
      sgr_balancer_target_t target = sgr_balancer_pick (f.b, f.now_us, NULL, 0);

      counts[target_index (&f, target)]++;
      sgr_balancer_attempt_start (f.b, f.now_us, target);
    }
  assert_true (counts[0] >= SLOTS && counts[0] < 2 * SLOTS);
  assert_true (counts[1] > SLOTS / 3 && counts[2] > SLOTS / 3);
  sgr_balancer_destroy (f.b);
}

/* Guards against sending a target its full share of the calls when it has just started. */
static void
test_slow_start (void **state)
{
  sgr_balancer_options_t options = default_options;
  sgr_load_report_t report = load_report_make (SLOTS / 2, 0, 0);
  sgr_balancer_target_info_t info = target_info_make (1);
  unsigned counts[TARGETS_MAX];
  fixture_t f;

  options.slow_start_us = 10 * SGR_USEC_PER_SEC;
  f = fixture_make (&options, 3);
  targets_warm_up (&f, 10);
  info.serving_since_us = f.now_us;
  sgr_balancer_target_update (f.b, f.now_us, f.targets[0], &info);
  for (int second = 0; second <= 10; second += 10)
    {
      f.now_us = info.serving_since_us + (uint64_t)second * SGR_USEC_PER_SEC;
      for (unsigned t = 0; t < 3; t++)
        sgr_balancer_report_update (f.b, f.now_us, f.targets[t], &report);
      picks_distribution (&f, 300, counts);
      assert_true (second == 0 ? counts[0] < 10 : counts[0] > 50);
    }
  assert_true (sgr_balancer_event_count (f.b, SGR_BALANCER_PICK_SLOW_START) > 0);
  sgr_balancer_destroy (f.b);
}

/* Guards against calls to another failure domain while the near target has free slots, and against
   calls to the near target when the wait there is longer than the link's round trip. */
static void
test_near_domain_until_it_costs_more (void **state)
{
  fixture_t f = fixture_make (&default_options, 2);
  sgr_balancer_target_info_t far = target_info_make (2);
  unsigned counts[TARGETS_MAX];

  snprintf (far.failure_domain, sizeof far.failure_domain, "far");
  far.link_rtt_us = 9 * MS;
  sgr_balancer_target_update (f.b, f.now_us, f.targets[1], &far);
  for (int i = 0; i < 20; i++)
    {
      sgr_load_report_t report = load_report_make (SLOTS / 2, 0, 100);

      attempt_run (&f, f.targets[0], 20 * MS + 200, false, &report);
      attempt_run (&f, f.targets[1], 29 * MS, false, &report);
    }
  for (uint32_t queued = 0; queued <= SLOTS; queued += SLOTS)
    {
      sgr_load_report_t near_report = load_report_make (queued == 0 ? 2 : SLOTS, queued, 0);
      sgr_load_report_t far_report = load_report_make (2, 0, 0);

      f.now_us += MS;
      sgr_balancer_report_update (f.b, f.now_us, f.targets[0], &near_report);
      sgr_balancer_report_update (f.b, f.now_us, f.targets[1], &far_report);
      picks_distribution (&f, 100, counts);
      assert_int_equal (counts[0], queued == 0 ? 100 : 0);
    }
  assert_int_equal (sgr_balancer_event_count (f.b, SGR_BALANCER_PICK_FAR), 100);
  sgr_balancer_destroy (f.b);
}

/* Guards against entry nodes that all choose the same target because they hold the same reports. */
static void
test_nodes_do_not_herd (void **state)
{
  unsigned chosen[TARGETS_MAX] = { 0 };

  for (uint64_t node = 0; node < 100; node++)
    {
      sgr_balancer_options_t options = default_options;
      fixture_t f;

      options.seed = node;
      f = fixture_make (&options, 5);
      targets_warm_up (&f, 5);
      for (unsigned t = 0; t < 5; t++)
        {
          /* The third target has one request less in every report. */
          sgr_load_report_t report = load_report_make (t == 2 ? 4 : 5, 0, 5 * MS);

          sgr_balancer_report_update (f.b, f.now_us, f.targets[t], &report);
        }
      chosen[target_index (&f, sgr_balancer_pick (f.b, f.now_us, NULL, 0))]++;
      sgr_balancer_destroy (f.b);
    }
  for (unsigned t = 0; t < 5; t++)
    assert_true (chosen[t] >= 5 && chosen[t] <= 40);
}

/* Guards against a target that gets more than its share of the calls by reporting no load and a
   much too low latency. */
static void
test_disproved_reports_lose_weight (void **state)
{
  fixture_t f = fixture_make (&default_options, 4);
  unsigned counts[TARGETS_MAX] = { 0 };

  for (int i = 0; i < 2000; i++)
    {
      sgr_balancer_target_t target = sgr_balancer_pick (f.b, f.now_us, NULL, 0);
      sgr_load_report_t report = load_report_make (SLOTS, 2, 100);

      if (target == f.targets[0])
        report = (sgr_load_report_t){
          .slots = SLOTS, .latency_us = 500, .age_us = 100, .state = SGR_TARGET_SERVING
        };
      if (i >= 1000)
        counts[target_index (&f, target)]++;
      attempt_run (&f, target, 24 * MS, false, &report);
    }
  assert_true (counts[0] < 350);
  assert_true (sgr_balancer_event_count (f.b, SGR_BALANCER_REPORT_CONTRADICTED) > 0);
  sgr_balancer_destroy (f.b);
}

/* Guards against a growing number of attempts at a stalled target, which returns nothing at all. */
static void
test_stalled_target_is_avoided (void **state)
{
  fixture_t f = fixture_make (&default_options, 3);
  unsigned counts[TARGETS_MAX];

  targets_warm_up (&f, 10);
  for (int i = 0; i < 3; i++)
    sgr_balancer_attempt_start (f.b, f.now_us, f.targets[0]);
  for (int i = 0; i < 10; i++)
    {
      sgr_load_report_t report = load_report_make (SLOTS / 2, 0, 100);

      attempt_run (&f, f.targets[1 + i % 2], 20 * MS, false, &report);
    }
  picks_distribution (&f, 100, counts);
  assert_int_equal (counts[0], 0);
  sgr_balancer_destroy (f.b);
}

/* Guards against counting the refusals of a gate with a full queue as errors or as fast answers. */
static void
test_refusal_is_load_not_error (void **state)
{
  fixture_t f = fixture_make (&default_options, 3);
  unsigned counts[TARGETS_MAX];

  targets_warm_up (&f, 10);
  for (int i = 0; i < 20; i++)
    {
      sgr_balancer_attempt_start (f.b, f.now_us, f.targets[0]);
      sgr_balancer_attempt_finish (f.b, f.now_us, f.targets[0], SGR_OUTCOME_NOT_RUN, 0, false,
                                   NULL);
    }
  assert_false (sgr_balancer_is_ejected (f.b, f.targets[0]));
  assert_int_equal (sgr_balancer_event_count (f.b, SGR_BALANCER_REFUSED), 20);
  picks_distribution (&f, 100, counts);
  assert_int_equal (counts[0], 0);
  f.now_us += SGR_USEC_PER_SEC;
  picks_distribution (&f, 100, counts);
  assert_true (counts[0] > 10);
  sgr_balancer_destroy (f.b);
}

/* Guards against calls that fail after refusals by gates with full queues although another gate,
   with a longer queue, still accepts requests. */
static void
test_later_attempt_avoids_refusing_gate (void **state)
{
  fixture_t f = fixture_make (&default_options, 3);
  sgr_load_report_t full = load_report_make (SLOTS, 4 * SLOTS, 0);
  sgr_load_report_t longer_queue = load_report_make (SLOTS, 6 * SLOTS, 0);

  targets_warm_up (&f, 10);
  for (int i = 0; i < 20; i++)
    {
      sgr_balancer_attempt_start (f.b, f.now_us, f.targets[0]);
      sgr_balancer_attempt_finish (f.b, f.now_us, f.targets[0], SGR_OUTCOME_NOT_RUN, 200, false,
                                   &full);
    }
  sgr_balancer_report_update (f.b, f.now_us, f.targets[2], &longer_queue);
  for (int i = 0; i < 100; i++)
    assert_int_equal (sgr_balancer_pick (f.b, f.now_us, &f.targets[1], 1), f.targets[2]);
  sgr_balancer_destroy (f.b);
}

/* Guards against events and policies without a name; event names are labels of a metric. */
static void
test_event_and_policy_names (void **state)
{
  for (int i = 0; i < SGR_BALANCER_EVENT_COUNT; i++)
    assert_non_null (sgr_balancer_event_name ((sgr_balancer_event_t)i));
  for (int i = 0; i < SGR_BALANCER_POLICY_COUNT; i++)
    assert_non_null (sgr_balancer_policy_name ((sgr_balancer_policy_t)i));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_targets_and_handles),
    cmocka_unit_test (test_eligibility_table),
    cmocka_unit_test (test_reported_draining_overrides_membership),
    cmocka_unit_test (test_reported_left_state_expires),
    cmocka_unit_test (test_reported_serving_overrides_membership),
    cmocka_unit_test (test_fast_failing_target_gets_few_picks),
    cmocka_unit_test (test_ejection_cap_table),
    cmocka_unit_test (test_half_open_trials),
    cmocka_unit_test (test_hot_target_is_avoided),
    cmocka_unit_test (test_own_outstanding_is_added_to_reports),
    cmocka_unit_test (test_slow_start),
    cmocka_unit_test (test_near_domain_until_it_costs_more),
    cmocka_unit_test (test_nodes_do_not_herd),
    cmocka_unit_test (test_disproved_reports_lose_weight),
    cmocka_unit_test (test_stalled_target_is_avoided),
    cmocka_unit_test (test_refusal_is_load_not_error),
    cmocka_unit_test (test_later_attempt_avoids_refusing_gate),
    cmocka_unit_test (test_event_and_policy_names),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
