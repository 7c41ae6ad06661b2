#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "balancer.h"
#include "rng.h"

/* Tests calls that are limited to regions, and demand that moves between regions. All fleets have
   NODES nodes in 6 failure domains of 3 regions; each node is an entry and has a target. */

#define MS SGR_USEC_PER_MSEC
#define NODES 65
#define DOMAINS 6
#define REGIONS 3
#define DOMAIN_OF(node) ((node) % DOMAINS)
#define REGION_OF(node) (DOMAIN_OF (node) / (DOMAINS / REGIONS))
#define SLOTS 8
#define REQUEST_US (20 * MS)
#define BIT(region) (UINT64_C (1) << (region))

static bool
is_remote (uint32_t from, uint32_t to)
{
  return REGION_OF (from) != REGION_OF (to);
}

static uint64_t
one_way_us (uint32_t from, uint32_t to)
{
  return is_remote (from, to) ? 30 * MS : DOMAIN_OF (from) != DOMAIN_OF (to) ? MS / 2 : MS / 10;
}

static sgr_balancer_t *
entry_create (uint32_t entry)
{
  sgr_balancer_options_t options = { .seed = entry,
                                     .far_set_seed = entry,
                                     .eject_percent = 50,
                                     .far_us_per_kib = 200,
                                     .remote_us_per_kib = 2000,
                                     .is_spill_late_only = true };
  sgr_balancer_t *b = sgr_balancer_create (&options);

  for (uint32_t t = 0; t < NODES; t++)
    {
      sgr_balancer_target_info_t info = { .node = t + 1,
                                          .slots = SLOTS,
                                          .link_rtt_us = (uint32_t)(2 * one_way_us (entry, t)),
                                          .is_far = DOMAIN_OF (t) != DOMAIN_OF (entry),
                                          .is_remote = is_remote (entry, t),
                                          .region = BIT (REGION_OF (t)),
                                          .state = SGR_TARGET_SERVING };
      sgr_balancer_target_t target;

      snprintf (info.failure_domain, sizeof info.failure_domain, "d%u", DOMAIN_OF (t));
      assert_int_equal (sgr_balancer_target_add (b, 0, &info, &target), SGR_OK);
    }
  return b;
}

static void
load_report (sgr_balancer_t *b, uint32_t target, uint32_t in_flight)
{
  sgr_load_report_t report = {
    .in_flight = in_flight, .slots = SLOTS, .latency_us = REQUEST_US, .state = SGR_TARGET_SERVING
  };

  sgr_balancer_report_update (b, MS, sgr_balancer_target_find (b, target + 1), &report);
}

/* Index of a chosen target, NODES for none. */
static uint32_t
pick (sgr_balancer_t *b, uint64_t now_us, const sgr_balancer_target_t *exclude, size_t count,
      const sgr_balancer_call_t *call)
{
  sgr_balancer_target_t target = sgr_balancer_pick_for_call (b, now_us, exclude, count, call);

  return target != SGR_BALANCER_TARGET_NONE
             ? (uint32_t)sgr_balancer_target_info (b, target)->node - 1
             : NODES;
}

static sgr_balancer_call_t
bound_call (sgr_region_mask_t mask)
{
  return (sgr_balancer_call_t){ .bytes = 1024, .regions = { .is_bound = true, .mask = mask } };
}

/* Load: the allowed targets are full and all others idle. Guards against first choices, spill and
   retries that leave the allowed regions, and against a call without an allowed target that gets
   one. */
static void
test_choice_spill_and_retries (void **state)
{
  static const sgr_region_mask_t masks[] = { BIT (0), BIT (1), BIT (0) | BIT (2), BIT (7), 0 };

  for (size_t m = 0; m < sizeof masks / sizeof masks[0]; m++)
    {
      sgr_balancer_call_t call = bound_call (masks[m]);
      sgr_balancer_target_t tried[NODES];
      sgr_balancer_t *b = entry_create (0);
      size_t allowed = 0, count = 0;

      for (uint32_t t = 0; t < NODES; t++)
        {
          bool is_allowed = (masks[m] & BIT (REGION_OF (t))) != 0;

          load_report (b, t, is_allowed ? 8 * SLOTS : 0);
          allowed += is_allowed;
        }
      for (uint32_t t; (t = pick (b, 2 * MS, tried, count, &call)) != NODES; count++)
        {
          assert_true ((masks[m] & BIT (REGION_OF (t))) != 0);
          tried[count] = sgr_balancer_target_find (b, t + 1);
        }
      assert_int_equal (count, allowed);
      sgr_balancer_destroy (b);
    }
}

/* Guards against a baseline policy that ignores the regions of a call. */
static void
test_baselines (void **state)
{
  for (int policy = SGR_BALANCER_RANDOM; policy < SGR_BALANCER_POLICY_COUNT; policy++)
    {
      sgr_balancer_options_t options = { .policy = (sgr_balancer_policy_t)policy };
      sgr_balancer_call_t call = bound_call (BIT (1));
      sgr_balancer_t *b = entry_create (0);

      sgr_balancer_options_set (b, &options);
      for (int i = 0; i < 100; i++)
        assert_int_equal (REGION_OF (pick (b, 2 * MS, NULL, 0, &call)), 1);
      sgr_balancer_destroy (b);
    }
}

/* Ends attempts at a target with errors until it is ejected. */
static void
eject (sgr_balancer_t *b, uint32_t index)
{
  sgr_balancer_target_t target = sgr_balancer_target_find (b, index + 1);

  for (int i = 0; i < 20; i++)
    {
      sgr_balancer_attempt_start (b, 2 * MS, target);
      sgr_balancer_attempt_finish (b, 3 * MS, target, SGR_OUTCOME_UNKNOWN, MS, true, NULL);
    }
  assert_true (sgr_balancer_is_ejected (b, target));
}

/* Guards against a half-open trial of a target outside of the allowed regions, against a call that
   has only ejected targets and is sent elsewhere, and against a trial that a bound call of another
   region uses up. */
static void
test_trials_and_ejected_targets (void **state)
{
  uint64_t due_us = 30 * SGR_USEC_PER_SEC;
  sgr_balancer_call_t call = bound_call (BIT (1));
  sgr_balancer_call_t other = bound_call (BIT (2));
  sgr_balancer_t *b = entry_create (0);
  uint32_t first = 2;

  for (uint32_t t = 0; t < NODES; t++)
    if (REGION_OF (t) == 1)
      eject (b, t);
  assert_int_equal (REGION_OF (pick (b, 4 * MS, NULL, 0, &call)), 1);
  assert_int_equal (sgr_balancer_event_count (b, SGR_BALANCER_PICK_EJECTED_ONLY), 1);
  for (int i = 0; i < 50; i++)
    assert_int_equal (REGION_OF (pick (b, due_us, NULL, 0, &other)), 2);
  assert_int_equal (sgr_balancer_event_count (b, SGR_BALANCER_PICK_TRIAL), 0);
  assert_int_equal (pick (b, due_us, NULL, 0, &call), first);
  assert_int_equal (sgr_balancer_event_count (b, SGR_BALANCER_PICK_TRIAL), 1);
  sgr_balancer_destroy (b);
}

#define TICK_US 250
/* Requests in a tick that use all slots of a target. */
#define ARRIVALS_PER_TICK ((double)SLOTS * TICK_US / REQUEST_US)
#define REPORT_INTERVAL_US (5 * MS)
/* Load reports reach another region after this many intervals. */
#define REPORT_DELAY 6
#define ON_TIME_US (400 * MS)
/* A request should cross only if its expected time in its own region is half of ON_TIME_US. Load
   reports and samples of the targets make that an estimate, so that crossings at half of that wait
   count as early. */
#define EARLY_WAIT_US ((double)ON_TIME_US / 4)
#define WAVE_US (4000 * MS)
#define BUCKET_US (200 * MS)
#define BUCKETS (2 * WAVE_US / BUCKET_US)
#define OPEN_MAX 16384

/** struct request_t - @phase: 0 on its way, 1 at the target, 2 on the way back; @load is that of
 * the target when it answered */
typedef struct
{
  uint32_t entry;
  uint32_t target;
  int phase;
  uint32_t load;
  uint64_t start_us;
  uint64_t next_us;
} request_t;

/** struct wave_t - entries, targets and open requests; @sent and @crossed count requests by region
 * of the caller and time, @crossed_to those that crossed by target, @crossed_early those that
 * crossed although the wait at the targets of the own region was below EARLY_WAIT_US on average */
typedef struct
{
  sgr_rng_t rng;
  sgr_balancer_t *entries[NODES];
  uint32_t load[NODES];
  uint32_t past_loads[REPORT_DELAY + 1][NODES];
  request_t open[OPEN_MAX];
  uint32_t open_count;
  uint32_t sent[REGIONS][BUCKETS];
  uint32_t crossed[REGIONS][BUCKETS];
  uint32_t crossed_to[REGIONS][NODES];
  uint32_t crossed_early;
  uint32_t late;
} wave_t;

static uint32_t
region_size (uint32_t region)
{
  uint32_t size = 0;

  for (uint32_t t = 0; t < NODES; t++)
    size += REGION_OF (t) == region;
  return size;
}

/* Demand of a region as a share of its slots: it moves from region to region. */
static double
demand (uint32_t region, uint64_t now_us, double mean, double swing)
{
  double phase = (double)now_us / (double)WAVE_US - (double)region / REGIONS;

  return mean + swing * sin (2 * M_PI * phase);
}

static uint64_t
wait_us (uint32_t load)
{
  return load > SLOTS ? (load - SLOTS) * REQUEST_US / SLOTS : 0;
}

static double
region_wait_us (const wave_t *wave, uint32_t region)
{
  double sum = 0;

  for (uint32_t t = 0; t < NODES; t++)
    if (REGION_OF (t) == region)
      sum += (double)wait_us (wave->load[t]);
  return sum / (double)region_size (region);
}

static sgr_load_report_t
report_make (uint32_t load, uint64_t age_us)
{
  return (sgr_load_report_t){ .in_flight = load < SLOTS ? load : SLOTS,
                              .queued = load > SLOTS ? load - SLOTS : 0,
                              .slots = SLOTS,
                              .latency_us = REQUEST_US,
                              .age_us = age_us,
                              .state = SGR_TARGET_SERVING };
}

static void
reports_send (wave_t *wave, uint64_t now_us)
{
  memmove (wave->past_loads[1], wave->past_loads[0], REPORT_DELAY * sizeof wave->past_loads[0]);
  memcpy (wave->past_loads[0], wave->load, sizeof wave->load);
  for (uint32_t e = 0; e < NODES; e++)
    for (uint32_t t = 0; t < NODES; t++)
      {
        uint32_t delay = is_remote (e, t) ? REPORT_DELAY : 0;
        sgr_load_report_t report
            = report_make (wave->past_loads[delay][t], delay * REPORT_INTERVAL_US);

        if (now_us > delay * REPORT_INTERVAL_US)
          sgr_balancer_report_update (wave->entries[e], now_us,
                                      sgr_balancer_target_find (wave->entries[e], t + 1), &report);
      }
}

static void
requests_advance (wave_t *wave, uint64_t now_us)
{
  for (uint32_t i = 0; i < wave->open_count;)
    {
      request_t *request = &wave->open[i];
      sgr_balancer_t *entry = wave->entries[request->entry];

      if (request->next_us > now_us)
        {
          i++;
          continue;
        }
      if (request->phase == 0)
        request->next_us = now_us + wait_us (wave->load[request->target]++) + REQUEST_US / 2
                           + sgr_rng_below (&wave->rng, REQUEST_US);
      else if (request->phase == 1)
        {
          request->load = --wave->load[request->target];
          request->next_us = now_us + one_way_us (request->entry, request->target);
        }
      else
        {
          sgr_load_report_t report
              = report_make (request->load, one_way_us (request->entry, request->target));

          wave->late += now_us - request->start_us > ON_TIME_US;
          sgr_balancer_attempt_finish (
              entry, now_us, sgr_balancer_target_find (entry, request->target + 1),
              SGR_OUTCOME_COMPLETE, now_us - request->start_us, false, &report);
          *request = wave->open[--wave->open_count];
          continue;
        }
      request->phase++;
    }
}

static void
request_send (wave_t *wave, uint64_t now_us, uint32_t e)
{
  sgr_balancer_call_t call = { .bytes = 1024, .on_time_left_us = ON_TIME_US };
  uint32_t target = pick (wave->entries[e], now_us, NULL, 0, &call);
  uint32_t region = REGION_OF (e);

  wave->sent[region][now_us / BUCKET_US]++;
  if (is_remote (e, target))
    {
      wave->crossed[region][now_us / BUCKET_US]++;
      wave->crossed_to[region][target]++;
      wave->crossed_early += region_wait_us (wave, region) < EARLY_WAIT_US;
    }
  sgr_balancer_attempt_start (wave->entries[e], now_us,
                              sgr_balancer_target_find (wave->entries[e], target + 1));
  assert_true (wave->open_count < OPEN_MAX);
  wave->open[wave->open_count++] = (request_t){
    .entry = e, .target = target, .start_us = now_us, .next_us = now_us + one_way_us (e, target)
  };
}

static void
wave_run (wave_t *wave, double mean, double swing)
{
  memset (wave, 0, sizeof *wave);
  sgr_rng_seed (&wave->rng, 7);
  for (uint32_t e = 0; e < NODES; e++)
    wave->entries[e] = entry_create (e);
  for (uint64_t now_us = 0; now_us < 2 * WAVE_US; now_us += TICK_US)
    {
      if (now_us % REPORT_INTERVAL_US == 0)
        reports_send (wave, now_us);
      requests_advance (wave, now_us);
      for (uint32_t e = 0; e < NODES; e++)
        if (sgr_rng_uniform (&wave->rng)
            < demand (REGION_OF (e), now_us, mean, swing) * ARRIVALS_PER_TICK)
          request_send (wave, now_us, e);
    }
  for (uint32_t e = 0; e < NODES; e++)
    sgr_balancer_destroy (wave->entries[e]);
}

/* Highest share of a region's requests that crossed in one bucket; @variation receives the sum of
   all changes of that share. */
static double
crossing_peak (const wave_t *wave, uint32_t region, double *variation)
{
  double peak = 0, previous = 0;

  *variation = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      /* A bucket of a trough has too few requests for a share. */
      double share = wave->sent[region][i] >= 100
                         ? (double)wave->crossed[region][i] / wave->sent[region][i]
                         : 0;

      peak = fmax (peak, share);
      *variation += fabs (share - previous);
      previous = share;
    }
  return peak;
}

/* Load: demand that moves from region to region in waves and stays within the slots of each region.
   Guards against requests that cross regions while their own region has room. */
static void
test_waves_within_the_regions (void **state)
{
  static wave_t wave;

  wave_run (&wave, 0.5, 0.35);
  assert_int_equal (wave.late, 0);
  for (uint32_t t = 0; t < NODES; t++)
    for (uint32_t region = 0; region < REGIONS; region++)
      assert_int_equal (wave.crossed_to[region][t], 0);
}

/* Load: demand that moves from region to region in waves and exceeds the slots of each region by
   30% at its peak. Guards against requests that cross while the own region has room in time,
   against a share of crossing requests that oscillates or exceeds the excess of the demand, against
   uneven use of the targets of other regions, and against late requests. */
static void
test_waves_beyond_the_regions (void **state)
{
  static const double peak_demand = 1.3;
  static wave_t wave;
  uint32_t crossed_to[NODES] = { 0 };
  uint32_t total = 0, little_used = 0;

  wave_run (&wave, peak_demand / 2, peak_demand / 2);
  for (uint32_t t = 0; t < NODES; t++)
    for (uint32_t region = 0; region < REGIONS; region++)
      {
        crossed_to[t] += wave.crossed_to[region][t];
        total += wave.crossed_to[region][t];
      }
  assert_true (total > 2000);
  if (wave.late > 0 || wave.crossed_early * 100 > total)
    fail_msg ("%u of %u crossed early, %u late", wave.crossed_early, total, wave.late);
  for (uint32_t region = 0; region < REGIONS; region++)
    {
      double variation;
      double peak = crossing_peak (&wave, region, &variation);

      /* Two waves, in each of which the share rises and falls once. */
      if (peak > 1 - 1 / peak_demand || variation > 1.25 * 2 * 2 * peak)
        fail_msg ("region %u: peak %.2f, variation %.2f", region, peak, variation);
    }
  for (uint32_t t = 0; t < NODES; t++)
    {
      if (crossed_to[t] == 0 || crossed_to[t] * NODES > 3 * total)
        fail_msg ("target %u got %u of %u requests that crossed", t, crossed_to[t], total);
      little_used += crossed_to[t] * NODES * 4 < total;
    }
  /* Each entry uses six targets of other regions, chosen by hash, so that few entries choose some
     targets. */
  assert_in_range (little_used, 0, NODES / 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_choice_spill_and_retries),
    cmocka_unit_test (test_baselines),
    cmocka_unit_test (test_trials_and_ejected_targets),
    cmocka_unit_test (test_waves_within_the_regions),
    cmocka_unit_test (test_waves_beyond_the_regions),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
