/* Measures the choice of a target in a service of 140 targets, 6 failure domains and 3 regions. */

#include <stdio.h>
#include <stdlib.h>

#include "balancer.h"

#define TARGETS 140
#define DOMAINS 6
#define DOMAINS_PER_REGION 2
#define SLOTS 8
#define PICKS 400000
#define GOAL_NS 3000.0

static sgr_balancer_t *
balancer_create (uint32_t load)
{
  sgr_balancer_options_t options = { .seed = 1,
                                     .far_set_seed = 1,
                                     .far_us_per_kib = 20000,
                                     .remote_us_per_kib = 40000,
                                     .is_spill_late_only = true };
  sgr_balancer_t *b = sgr_balancer_create (&options);

  for (uint32_t t = 0; t < TARGETS; t++)
    {
      uint32_t domain = t % DOMAINS;
      sgr_balancer_target_info_t info = { .node = t + 1,
                                          .slots = SLOTS,
                                          .is_far = domain != 0,
                                          .is_remote = domain / DOMAINS_PER_REGION != 0,
                                          .region = UINT64_C (1) << domain / DOMAINS_PER_REGION,
                                          .state = SGR_TARGET_SERVING };
      sgr_load_report_t report
          = { .slots = SLOTS, .in_flight = load, .latency_us = 20000, .state = SGR_TARGET_SERVING };
      sgr_balancer_target_t target;

      info.link_rtt_us = info.is_remote ? 60000 : info.is_far ? 1000 : 200;
      if (sgr_balancer_target_add (b, 0, &info, &target) != SGR_OK)
        exit (1);
      sgr_balancer_report_update (b, 1000, target, &report);
    }
  return b;
}

/* Returns the time of one choice, nanoseconds. */
static double
pick_time_ns (sgr_balancer_t *b, const sgr_balancer_call_t *call)
{
  uint64_t start_us = sgr_clock_monotonic_us ();

  for (int i = 0; i < PICKS; i++)
    if (sgr_balancer_pick_for_call (b, 2000, NULL, 0, call) == SGR_BALANCER_TARGET_NONE)
      exit (1);
  return (double)(sgr_clock_monotonic_us () - start_us) * 1000 / PICKS;
}

int
main (void)
{
  static const struct
  {
    const char *name;
    uint32_t load;
    sgr_region_limit_t regions;
  } cases[] = {
    { "any region, all targets half loaded", SLOTS / 2, { 0 } },
    { "own region only", SLOTS / 2, { true, 1 } },
    { "one other region only", SLOTS / 2, { true, 2 } },
    { "own and one other region", SLOTS / 2, { true, 3 } },
    { "any region, all targets full", 20 * SLOTS, { 0 } },
    { "own and one other region, all targets full", 20 * SLOTS, { true, 3 } },
  };

  printf ("choice among %d targets (goal: below %.0f ns)\n", TARGETS, GOAL_NS);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_balancer_t *b = balancer_create (cases[i].load);
      sgr_balancer_call_t call
          = { .bytes = 1024, .on_time_left_us = 400000, .regions = cases[i].regions };

      printf ("  %-45s %6.0f ns\n", cases[i].name, pick_time_ns (b, &call));
      sgr_balancer_destroy (b);
    }
  return 0;
}
