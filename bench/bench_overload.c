/* Overload in virtual time: 4 targets with 16 slots and 10 ms service time. Callers wait 200 ms and
   repeat a failed call at once, up to twice. Part 1: goodput through an overload of twice the
   capacity. Part 2: the two models of limits on the same seeded load. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_overload.h"

#define TARGETS 4
#define SLOTS 16
#define CAPACITY_PER_S (TARGETS * SLOTS * (double)SGR_USEC_PER_SEC / SIM_SERVICE_US)
#define BEGIN_US (2 * SGR_USEC_PER_SEC)
#define END_US (5 * SGR_USEC_PER_SEC)
#define RUN_US (11 * SGR_USEC_PER_SEC)
#define RUN_STEPS 110.0

typedef struct
{
  const char *name;
  sim_server_t server;
  bool newest_first;
  uint32_t queue_max;
  sim_result_t result;
} variant_t;

static sim_options_t
base_options (void)
{
  return (sim_options_t){ .server = SIM_SERVER_GATE,
                          .newest_first = true,
                          .retry_percent = 10,
                          .targets = TARGETS,
                          .slots = SLOTS,
                          .queue_max = 64,
                          .repeats = 2,
                          .deadline_us = 200 * SGR_USEC_PER_MSEC,
                          .overload_begin_us = BEGIN_US,
                          .overload_end_us = END_US,
                          .end_us = RUN_US,
                          .seed = 11 };
}

static double
mean (const uint64_t *goodput, uint64_t from_us, uint64_t to_us)
{
  uint64_t sum = 0;
  uint64_t steps = 0;

  for (uint64_t i = from_us / SIM_BUCKET_US; i < to_us / SIM_BUCKET_US; i++, steps++)
    sum += goodput[i];
  return (double)sum / (double)steps;
}

/* First moment after the overload from which five steps in a row reach 90% of the goodput before;
   90%, because the arrivals of 100 ms vary by some percent. Returns -1 if there is none. */
static double
recovery_s (const uint64_t *goodput, double before)
{
  int row = 0;

  for (uint64_t i = END_US / SIM_BUCKET_US; i < RUN_US / SIM_BUCKET_US; i++)
    {
      row = (double)goodput[i] >= 0.9 * before ? row + 1 : 0;
      if (row == 5)
        return (double)((i - 4) * SIM_BUCKET_US - END_US) / SGR_USEC_PER_SEC;
    }
  return -1;
}

static void
overload_part (void)
{
  static variant_t variants[] = {
    { "unbounded FIFO", SIM_SERVER_FIFO, false, 64, { { 0 } } },
    { "gate 64, oldest first", SIM_SERVER_GATE, false, 64, { { 0 } } },
    { "gate 64, newest first", SIM_SERVER_GATE, true, 64, { { 0 } } },
    { "gate 512, oldest first", SIM_SERVER_GATE, false, 512, { { 0 } } },
    { "gate 512, newest first", SIM_SERVER_GATE, true, 512, { { 0 } } },
  };
  size_t count = sizeof variants / sizeof variants[0];

  printf ("capacity %.0f calls/s, offered 70%%, from 2 s to 5 s 200%%\n", CAPACITY_PER_S);
  printf ("%-24s %8s %8s %8s %9s %9s %9s %10s\n", "", "before", "overload", "after", "recovery",
          "p50 ms", "p99 ms", "runs/call");
  for (size_t v = 0; v < count; v++)
    {
      sim_options_t options = base_options ();
      sim_result_t *result = &variants[v].result;
      double before;

      options.server = variants[v].server;
      options.newest_first = variants[v].newest_first;
      options.queue_max = variants[v].queue_max;
      options.tenants[0] = (sim_tenant_t){ "t", 0, 0.7 * CAPACITY_PER_S, 2.0 * CAPACITY_PER_S };
      sim_overload_run (&options, result);
      before = mean (result->goodput, SGR_USEC_PER_SEC, BEGIN_US);
      printf ("%-24s %8.0f %8.0f %8.0f %7.1f s %9.1f %9.1f %10.2f\n", variants[v].name, before,
              mean (result->goodput, BEGIN_US, END_US), mean (result->goodput, END_US, RUN_US),
              recovery_s (result->goodput, before),
              (double)sgr_histogram_quantile (&result->tenants[0].latency, 0.5) / 1000,
              (double)sgr_histogram_quantile (&result->tenants[0].latency, 0.99) / 1000,
              (double)result->executions / (mean (result->goodput, 0, RUN_US) * RUN_STEPS));
    }
  printf (
      "columns: answers in time per 100 ms; recovery -1 = not within 6 s; latency of answers in "
      "the overload; requests run per answer in time\n\n");
  printf ("answers in time per 100 ms\n%5s", "s");
  for (size_t v = 0; v < count; v++)
    printf (" %23s", variants[v].name);
  for (uint64_t i = 18; i < 80; i++)
    {
      printf ("\n%5.1f", (double)i / 10);
      for (size_t v = 0; v < count; v++)
        printf (" %23llu", (unsigned long long)variants[v].result.goodput[i]);
    }
  printf ("\n\n");
}

/* The slowest recovery of the default gate over several seeds. */
static void
seeds_part (void)
{
  double worst_s = 0;
  double least = 1;

  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      sim_options_t options = base_options ();
      static sim_result_t result;
      double before;
      double recovered_s;

      options.seed = seed;
      options.tenants[0] = (sim_tenant_t){ "t", 0, 0.7 * CAPACITY_PER_S, 2.0 * CAPACITY_PER_S };
      sim_overload_run (&options, &result);
      before = mean (result.goodput, SGR_USEC_PER_SEC, BEGIN_US);
      recovered_s = recovery_s (result.goodput, before);
      if (recovered_s < 0 || recovered_s > worst_s)
        worst_s = recovered_s < 0 ? 99 : recovered_s;
      if (mean (result.goodput, BEGIN_US, END_US) * 10 / CAPACITY_PER_S < least)
        least = mean (result.goodput, BEGIN_US, END_US) * 10 / CAPACITY_PER_S;
    }
  printf (
      "gate 64, newest first, 8 seeds: slowest recovery %.1f s (goal 2 s), least goodput in the "
      "overload %.1f%% of the capacity\n\n",
      worst_s, least * 100);
}

/**
 * struct mix_t - a load of three tenants; shares of the capacity
 */
typedef struct
{
  const char *name;
  double noisy;
  double quiet_a;
  double quiet_b;
} mix_t;

static void
limits_part (void)
{
  static const mix_t mixes[] = {
    { "noisy alone, 70%", 0.7, 0, 0 },
    { "noisy 60%, quiet 2 x 15%", 0.6, 0.15, 0.15 },
    { "noisy 200%, quiet 2 x 15%", 2.0, 0.15, 0.15 },
    { "noisy 200%, quiet 2 x 30%", 2.0, 0.30, 0.30 },
  };
  static const char *const names[] = { "none", "flat", "two-level" };
  sim_result_t result = { 0 };

  printf ("limits of 16 slots: noisy 12, quiet a 8, quiet b 8 (28 together); no repeats\n");
  printf ("%-26s %-10s %11s %13s %13s %12s\n", "load", "limits", "slots used", "noisy in time",
          "quiet in time", "quiet p99 ms");
  for (size_t m = 0; m < sizeof mixes / sizeof mixes[0]; m++)
    for (int model = 0; model < 3; model++)
      {
        sim_options_t options = base_options ();
        const sim_tenant_result_t *t = result.tenants;
        sgr_histogram_t *quiet = &result.tenants[1].latency;
        uint64_t offered;

        options.repeats = 0;
        options.limits_model = model == 1 ? SGR_LIMITS_FLAT : SGR_LIMITS_TWO_LEVEL;
        options.tenants[0]
            = (sim_tenant_t){ "noisy", model > 0 ? 12 : 0, mixes[m].noisy * CAPACITY_PER_S,
                              mixes[m].noisy * CAPACITY_PER_S };
        options.tenants[1]
            = (sim_tenant_t){ "quiet-a", model > 0 ? 8 : 0, mixes[m].quiet_a * CAPACITY_PER_S,
                              mixes[m].quiet_a * CAPACITY_PER_S };
        options.tenants[2] = options.tenants[1];
        options.tenants[2].name = "quiet-b";
        sim_overload_run (&options, &result);
        sgr_histogram_merge (quiet, &result.tenants[2].latency);
        offered = t[1].offered + t[2].offered;
        printf ("%-26s %-10s %10.1f%% %12.1f%% %12.1f%% %12.1f\n", mixes[m].name, names[model],
                100.0 * (double)result.busy_us / ((double)(END_US - BEGIN_US) * TARGETS * SLOTS),
                100.0 * (double)t[0].answered / (double)t[0].offered,
                offered > 0 ? 100.0 * (double)(t[1].answered + t[2].answered) / (double)offered : 0,
                (double)sgr_histogram_quantile (quiet, 0.99) / 1000);
      }
}

/* Short calls with a tight deadline beside long ones at the same targets. */
static void
mixed_part (void)
{
  static sim_result_t result;
  sim_options_t options = base_options ();

  options.repeats = 0;
  options.tenants[0]
      = (sim_tenant_t){ "long", 0, 0.45 * CAPACITY_PER_S / 6, 0.45 * CAPACITY_PER_S / 6, 60000, 0 };
  options.tenants[1] = (sim_tenant_t){
    "short", 0, 0.1 * CAPACITY_PER_S / 6, 0.1 * CAPACITY_PER_S / 6, 5000, 30000
  };
  sim_overload_run (&options, &result);
  printf ("\nshort calls (5 ms, deadline 30 ms) beside long ones (60 ms, deadline 200 ms): in time "
          "%.1f%% and %.1f%%\n",
          100.0 * (double)result.tenants[1].answered / (double)result.tenants[1].offered,
          100.0 * (double)result.tenants[0].answered / (double)result.tenants[0].offered);
}

int
main (void)
{
  overload_part ();
  seeds_part ();
  limits_part ();
  mixed_part ();
  return 0;
}
