/* Overload in virtual time: 4 targets with 16 slots each and a service time of 10 ms. Callers wait
   200 ms. In the first two parts they repeat a failed call at once, up to twice.
   1. Goodput before, during and after an overload of twice the capacity, for several queues.
   2. Slowest recovery from that overload over several seeds.
   3. The two models of tenant limits under the same seeded load.
   4. Short calls with a tight deadline that share the targets with long calls. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_overload.h"

#define TARGET_COUNT 4
#define SLOT_COUNT 16
/* Calls per second that keep all slots busy. */
#define CAPACITY_PER_S (TARGET_COUNT * SLOT_COUNT * (double)SGR_USEC_PER_SEC / SIM_SERVICE_MEAN_US)
#define OVERLOAD_BEGIN_US (2 * SGR_USEC_PER_SEC)
#define OVERLOAD_END_US (5 * SGR_USEC_PER_SEC)
#define RUN_END_US (11 * SGR_USEC_PER_SEC)
/* Number of goodput buckets in a run, and in a second. The length of a bucket is
   SIM_GOODPUT_BUCKET_US. */
#define BUCKETS_PER_RUN 110.0
#define BUCKETS_PER_S 10
/* After the overload, goodput counts as recovered from the first of this many buckets in a row that
   reach RECOVERY_GOODPUT_SHARE_MIN of the goodput before the overload. The share is below 1,
   because the number of arrivals varies by some percent from bucket to bucket. */
#define RECOVERY_BUCKETS_IN_A_ROW 5
#define RECOVERY_GOODPUT_SHARE_MIN 0.9
/* Number of seconds that is printed as the slowest recovery if goodput does not recover before the
   end of a run. */
#define RECOVERY_S_PRINTED_IF_NONE 99
/* First bucket in the printed table of goodput over time, and the first bucket after it. */
#define GOODPUT_TABLE_BEGIN_BUCKET 18
#define GOODPUT_TABLE_END_BUCKET 80
/* Number of slots that the noisy tenant, and each of the two quiet tenants, may use at each target.
   The tenants are those of load_mix_t. */
#define NOISY_TENANT_SLOTS_MAX 12
#define QUIET_TENANT_SLOTS_MAX 8
#define LONG_CALL_SERVICE_US 60000
#define SHORT_CALL_SERVICE_US 5000
#define SHORT_CALL_DEADLINE_US 30000

/**
 * struct variant_t - one kind of queue in front of the targets
 * @name: name in the table
 * @server: as in sim_options_t
 * @newest_first: as in sim_options_t
 * @queue_max: as in sim_options_t
 * @result: receives the measurements
 */
typedef struct
{
  const char *name;
  sim_server_t server;
  bool newest_first;
  uint32_t queue_max;
  sim_result_t result;
} variant_t;

static sim_options_t
default_options (void)
{
  return (sim_options_t){ .server = SIM_SERVER_GATE,
                          .newest_first = true,
                          .retry_percent = 10,
                          .targets = TARGET_COUNT,
                          .slots = SLOT_COUNT,
                          .queue_max = 64,
                          .repeats = 2,
                          .deadline_us = 200 * SGR_USEC_PER_MSEC,
                          .overload_begin_us = OVERLOAD_BEGIN_US,
                          .overload_end_us = OVERLOAD_END_US,
                          .end_us = RUN_END_US,
                          .seed = 11 };
}

/* Returns the mean goodput per bucket between two times. */
static double
goodput_mean (const uint64_t *goodput, uint64_t from_us, uint64_t to_us)
{
  uint64_t sum = 0;
  uint64_t buckets = 0;

  for (uint64_t i = from_us / SIM_GOODPUT_BUCKET_US; i < to_us / SIM_GOODPUT_BUCKET_US;
       i++, buckets++)
    sum += goodput[i];
  return (double)sum / (double)buckets;
}

/* Returns the seconds from the end of the overload until goodput recovers, or -1 if it does not. */
static double
recovery_s (const uint64_t *goodput, double goodput_before)
{
  int buckets_in_row = 0;

  for (uint64_t i = OVERLOAD_END_US / SIM_GOODPUT_BUCKET_US; i < RUN_END_US / SIM_GOODPUT_BUCKET_US;
       i++)
    {
      buckets_in_row = (double)goodput[i] >= RECOVERY_GOODPUT_SHARE_MIN * goodput_before
                           ? buckets_in_row + 1
                           : 0;
      if (buckets_in_row == RECOVERY_BUCKETS_IN_A_ROW)
        return (double)((i - (RECOVERY_BUCKETS_IN_A_ROW - 1)) * SIM_GOODPUT_BUCKET_US
                        - OVERLOAD_END_US)
               / SGR_USEC_PER_SEC;
    }
  return -1;
}

/* Prints the goodput of each variant before, during and after the overload. */
static void
goodput_report (void)
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
      sim_options_t options = default_options ();
      sim_result_t *result = &variants[v].result;
      double goodput_before;

      options.server = variants[v].server;
      options.newest_first = variants[v].newest_first;
      options.queue_max = variants[v].queue_max;
      options.tenants[0] = (sim_tenant_t){ "t", 0, 0.7 * CAPACITY_PER_S, 2.0 * CAPACITY_PER_S };
      sim_overload_run (&options, result);
      goodput_before = goodput_mean (result->goodput, SGR_USEC_PER_SEC, OVERLOAD_BEGIN_US);
      printf ("%-24s %8.0f %8.0f %8.0f %7.1f s %9.1f %9.1f %10.2f\n", variants[v].name,
              goodput_before, goodput_mean (result->goodput, OVERLOAD_BEGIN_US, OVERLOAD_END_US),
              goodput_mean (result->goodput, OVERLOAD_END_US, RUN_END_US),
              recovery_s (result->goodput, goodput_before),
              (double)sgr_histogram_quantile (&result->tenants[0].latency, 0.5) / 1000,
              (double)sgr_histogram_quantile (&result->tenants[0].latency, 0.99) / 1000,
              (double)result->executions
                  / (goodput_mean (result->goodput, 0, RUN_END_US) * BUCKETS_PER_RUN));
    }
  printf (
      "columns: answers in time per 100 ms; recovery -1 = not within 6 s; latency of answers in "
      "the overload; requests run per answer in time\n\n");
  printf ("answers in time per 100 ms\n%5s", "s");
  for (size_t v = 0; v < count; v++)
    printf (" %23s", variants[v].name);
  for (uint64_t i = GOODPUT_TABLE_BEGIN_BUCKET; i < GOODPUT_TABLE_END_BUCKET; i++)
    {
      printf ("\n%5.1f", (double)i / BUCKETS_PER_S);
      for (size_t v = 0; v < count; v++)
        printf (" %23llu", (unsigned long long)variants[v].result.goodput[i]);
    }
  printf ("\n\n");
}

/* Prints the slowest recovery, and the least goodput during the overload, that a gate with default
   options shows over several seeds. */
static void
recovery_report (void)
{
  double slowest_s = 0;
  double least_goodput_share = 1;

  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      sim_options_t options = default_options ();
      static sim_result_t result;
      double goodput_before;
      double recovered_s;

      options.seed = seed;
      options.tenants[0] = (sim_tenant_t){ "t", 0, 0.7 * CAPACITY_PER_S, 2.0 * CAPACITY_PER_S };
      sim_overload_run (&options, &result);
      goodput_before = goodput_mean (result.goodput, SGR_USEC_PER_SEC, OVERLOAD_BEGIN_US);
      recovered_s = recovery_s (result.goodput, goodput_before);
      if (recovered_s < 0 || recovered_s > slowest_s)
        slowest_s = recovered_s < 0 ? RECOVERY_S_PRINTED_IF_NONE : recovered_s;
      if (goodput_mean (result.goodput, OVERLOAD_BEGIN_US, OVERLOAD_END_US) * BUCKETS_PER_S
              / CAPACITY_PER_S
          < least_goodput_share)
        least_goodput_share = goodput_mean (result.goodput, OVERLOAD_BEGIN_US, OVERLOAD_END_US)
                              * BUCKETS_PER_S / CAPACITY_PER_S;
    }
  printf (
      "gate 64, newest first, 8 seeds: slowest recovery %.1f s (goal 2 s), least goodput in the "
      "overload %.1f%% of the capacity\n\n",
      slowest_s, least_goodput_share * 100);
}

/**
 * struct load_mix_t - offered load of three tenants, each as a share of the capacity
 * @name: name in the table
 * @noisy: tenant that exceeds its limit in some of the loads
 * @quiet_a: first tenant that stays within its limit
 * @quiet_b: second tenant that stays within its limit
 */
typedef struct
{
  const char *name;
  double noisy;
  double quiet_a;
  double quiet_b;
} load_mix_t;

/* Compares the models of tenant limits under the same load: no limits, SGR_LIMITS_FLAT and
   SGR_LIMITS_TWO_LEVEL. */
static void
tenant_limits_report (void)
{
  static const load_mix_t mixes[] = {
    { "noisy alone, 70%", 0.7, 0, 0 },
    { "noisy 60%, quiet 2 x 15%", 0.6, 0.15, 0.15 },
    { "noisy 200%, quiet 2 x 15%", 2.0, 0.15, 0.15 },
    { "noisy 200%, quiet 2 x 30%", 2.0, 0.30, 0.30 },
  };
  static const char *const model_names[] = { "none", "flat", "two-level" };
  sim_result_t result = { 0 };

  printf ("limits of 16 slots: noisy 12, quiet a 8, quiet b 8 (28 together); no repeats\n");
  printf ("%-26s %-10s %11s %13s %13s %12s\n", "load", "limits", "slots used", "noisy in time",
          "quiet in time", "quiet p99 ms");
  for (size_t mix = 0; mix < sizeof mixes / sizeof mixes[0]; mix++)
    for (int model = 0; model < 3; model++)
      {
        sim_options_t options = default_options ();
        const sim_tenant_result_t *tenants = result.tenants;
        sgr_histogram_t *quiet_latency = &result.tenants[1].latency;
        uint64_t offered;

        options.repeats = 0;
        options.limits_model = model == 1 ? SGR_LIMITS_FLAT : SGR_LIMITS_TWO_LEVEL;
        options.tenants[0] = (sim_tenant_t){ "noisy", model > 0 ? NOISY_TENANT_SLOTS_MAX : 0,
                                             mixes[mix].noisy * CAPACITY_PER_S,
                                             mixes[mix].noisy * CAPACITY_PER_S };
        options.tenants[1] = (sim_tenant_t){ "quiet-a", model > 0 ? QUIET_TENANT_SLOTS_MAX : 0,
                                             mixes[mix].quiet_a * CAPACITY_PER_S,
                                             mixes[mix].quiet_a * CAPACITY_PER_S };
        options.tenants[2] = options.tenants[1];
        options.tenants[2].name = "quiet-b";
        sim_overload_run (&options, &result);
        sgr_histogram_merge (quiet_latency, &result.tenants[2].latency);
        offered = tenants[1].offered + tenants[2].offered;
        printf ("%-26s %-10s %10.1f%% %12.1f%% %12.1f%% %12.1f\n", mixes[mix].name,
                model_names[model],
                100.0 * (double)result.busy_us
                    / ((double)(OVERLOAD_END_US - OVERLOAD_BEGIN_US) * TARGET_COUNT * SLOT_COUNT),
                100.0 * (double)tenants[0].answered / (double)tenants[0].offered,
                offered > 0
                    ? 100.0 * (double)(tenants[1].answered + tenants[2].answered) / (double)offered
                    : 0,
                (double)sgr_histogram_quantile (quiet_latency, 0.99) / 1000);
      }
}

/* Prints how many short calls with a tight deadline are answered in time while long calls use the
   same targets. A long call takes six times SIM_SERVICE_MEAN_US. Long calls alone therefore use all
   slots at a sixth of CAPACITY_PER_S. */
static void
short_calls_report (void)
{
  static sim_result_t result;
  sim_options_t options = default_options ();

  options.repeats = 0;
  options.tenants[0] = (sim_tenant_t){
    "long", 0, 0.45 * CAPACITY_PER_S / 6, 0.45 * CAPACITY_PER_S / 6, LONG_CALL_SERVICE_US, 0
  };
  options.tenants[1] = (sim_tenant_t){ "short",
                                       0,
                                       0.1 * CAPACITY_PER_S / 6,
                                       0.1 * CAPACITY_PER_S / 6,
                                       SHORT_CALL_SERVICE_US,
                                       SHORT_CALL_DEADLINE_US };
  sim_overload_run (&options, &result);
  printf ("\nshort calls (5 ms, deadline 30 ms) beside long ones (60 ms, deadline 200 ms): in time "
          "%.1f%% and %.1f%%\n",
          100.0 * (double)result.tenants[1].answered / (double)result.tenants[1].offered,
          100.0 * (double)result.tenants[0].answered / (double)result.tenants[0].offered);
}

int
main (void)
{
  goodput_report ();
  recovery_report ();
  tenant_limits_report ();
  short_calls_report ();
  return 0;
}
