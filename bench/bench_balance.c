/* Compares the balancing policies by latency, by errors and by how evenly they spread attempts over
   the targets. Runs the cases of target_model.h at several loads and several sizes of a service.
   Then measures the effect of the probe budget. */

#include "target_model.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define RUN_DURATION_US (120 * SGR_USEC_PER_SEC)
#define TARGET_COUNT 5
#define ENTRY_COUNT 12
#define PROBE_ENTRY_COUNT 24U
#define PROBE_SEED_COUNT 4U
#define WORKER_COUNT 4

/* Goal in the case TARGET_MODEL_SLOW: the 99th percentile of latency under load-latency is at most
   this multiple of the one under round-robin. */
#define GOAL_SLOW_P99_TO_ROUND_ROBIN_MAX 0.5
/* Goal in all cases: the 99th percentile of latency under load-latency is at most this multiple of
   the lowest one under the other policies. See ratio_to_best_baseline(). */
#define GOAL_P99_TO_BEST_BASELINE_MAX 1.05
/* Goal in the case TARGET_MODEL_FAIL_FAST: under load-latency, the failing target gets at most this
   multiple of the attempts that it would get if all targets received the same number. Only the time
   in which it fails counts; see @first_target_share of target_model_result_t. */
#define GOAL_FAILING_TARGET_RELATIVE_SHARE_MAX 1

/* Largest allowed 99th percentile of latency at the probe rate that is recommended for services
   with a need for low tail latency, as a multiple of the lowest 99th percentile among all probe
   rates. */
#define RECOMMENDED_P99_TO_LEAST_MAX 1.02

/* Offered loads, each as a share of the capacity of all slots. One case at one of these loads is
   called a cell. */
static const double loads[] = { 0.50, 0.75, 0.90 };

#define LOAD_COUNT (sizeof loads / sizeof loads[0])
#define RUN_COUNT (TARGET_MODEL_CASE_COUNT * LOAD_COUNT * SGR_BALANCER_POLICY_COUNT)

/* Other numbers of targets and entries. They show whether the results also hold for services of
   another size. */
static const struct
{
  unsigned targets;
  unsigned entries;
} sizes[] = { { 3, 9 }, { 5, 3 }, { 5, 48 }, { 9, 24 } };

#define SERVICE_SIZE_COUNT (sizeof sizes / sizeof sizes[0])

/* Probe budgets to compare, in probes a second for the whole service. */
static const uint32_t probe_rates[] = { 0, 5, 10, 25, 50, 100, 200, 300 };

#define PROBE_RATE_COUNT (sizeof probe_rates / sizeof probe_rates[0])

typedef struct
{
  target_model_options_t options;
  target_model_result_t result;
} run_t;

/**
 * struct worker_t - a thread that executes every WORKER_COUNT-th run
 * @runs: all runs
 * @count: entries of @runs
 * @first_run: index of its first run
 */
typedef struct
{
  run_t *runs;
  size_t count;
  size_t first_run;
} worker_t;

static void *
worker_main (void *ctx)
{
  worker_t *worker = ctx;

  for (size_t i = worker->first_run; i < worker->count; i += WORKER_COUNT)
    target_model_run (&worker->runs[i].options, &worker->runs[i].result);
  return NULL;
}

/* Executes all runs in WORKER_COUNT threads. The number of threads does not change the results,
   because each run has a model of its own. */
static void
runs_execute (run_t *runs, size_t count)
{
  pthread_t threads[WORKER_COUNT];
  worker_t workers[WORKER_COUNT];

  for (size_t i = 0; i < WORKER_COUNT; i++)
    {
      workers[i] = (worker_t){ runs, count, i };
      if (pthread_create (&threads[i], NULL, worker_main, &workers[i]) != 0)
        exit (1);
    }
  for (size_t i = 0; i < WORKER_COUNT; i++)
    pthread_join (threads[i], NULL);
}

/* Returns the result of a policy in one case at one load. */
static const target_model_result_t *
result_at (const run_t *runs, size_t test_case, size_t load_index, size_t policy)
{
  return &runs[(test_case * LOAD_COUNT + load_index) * SGR_BALANCER_POLICY_COUNT + policy].result;
}

/* Returns the failed calls in percent of all calls. */
static double
error_percent (const target_model_result_t *r)
{
  return 100.0 * (double)r->errors / (double)r->calls;
}

/* Returns the best result among the policies other than load-latency, which is policy 0. The best
   result has the lowest 99th percentile of latency. Among equal percentiles, it is the one with the
   fewest errors. */
static const target_model_result_t *
best_baseline (const run_t *runs, size_t test_case, size_t load_index)
{
  const target_model_result_t *best = result_at (runs, test_case, load_index, 1);

  for (size_t policy = 2; policy < SGR_BALANCER_POLICY_COUNT; policy++)
    {
      const target_model_result_t *r = result_at (runs, test_case, load_index, policy);

      if (r->p99_us < best->p99_us || (r->p99_us == best->p99_us && r->errors < best->errors))
        best = r;
    }
  return best;
}

static void
policy_results_print (const run_t *runs, size_t test_case, size_t load_index)
{
  const target_model_result_t *load_latency
      = result_at (runs, test_case, load_index, SGR_BALANCER_LOAD_LATENCY);
  const target_model_result_t *round_robin
      = result_at (runs, test_case, load_index, SGR_BALANCER_ROUND_ROBIN);
  const target_model_result_t *best = best_baseline (runs, test_case, load_index);

  printf ("\n%s, %.0f%% of slots\n", target_model_case_name ((target_model_case_t)test_case),
          loads[load_index] * 100);
  printf ("  %-18s %8s %8s %8s %8s %8s  %s\n", "policy", "p50 ms", "p99 ms", "p99.9 ms", "errors %",
          "att/call", "share by target");
  for (size_t policy = 0; policy < SGR_BALANCER_POLICY_COUNT; policy++)
    {
      const target_model_result_t *r = result_at (runs, test_case, load_index, policy);

      printf ("  %-18s %8.1f %8.1f %8.1f %8.3f %8.3f ",
              sgr_balancer_policy_name ((sgr_balancer_policy_t)policy), r->p50_us / 1e3,
              r->p99_us / 1e3, r->p999_us / 1e3, error_percent (r),
              (double)r->attempts / (double)r->calls);
      for (unsigned i = 0; i < TARGET_COUNT; i++)
        printf (" %.2f", r->relative_share[i]);
      printf ("\n");
    }
  printf ("  load-latency against round-robin: p99 x%.2f; against the best baseline: p99 x%.2f,"
          " errors %+.3f%%\n",
          load_latency->p99_us / round_robin->p99_us, load_latency->p99_us / best->p99_us,
          error_percent (load_latency) - error_percent (best));
  if (test_case == TARGET_MODEL_FAIL_FAST)
    printf ("  share of the first target while it fails: load-latency %.3f, round-robin %.3f\n",
            load_latency->first_target_share, round_robin->first_target_share);
}

/* Returns the 99th percentile of latency under load-latency divided by that of the best other
   policy. If both percentiles are equal, returns the ratio of the errors instead. They are equal if
   so many calls time out that both percentiles are the deadline. */
static double
ratio_to_best_baseline (const run_t *runs, size_t test_case, size_t load_index)
{
  const target_model_result_t *load_latency
      = result_at (runs, test_case, load_index, SGR_BALANCER_LOAD_LATENCY);
  const target_model_result_t *best = best_baseline (runs, test_case, load_index);

  if (load_latency->p99_us == best->p99_us && best->errors > 0)
    return error_percent (load_latency) / error_percent (best);
  return load_latency->p99_us / best->p99_us;
}

static double
p99_ratio_to_round_robin (const run_t *runs, size_t test_case, size_t load_index)
{
  return result_at (runs, test_case, load_index, SGR_BALANCER_LOAD_LATENCY)->p99_us
         / result_at (runs, test_case, load_index, SGR_BALANCER_ROUND_ROBIN)->p99_us;
}

/* Prints one line for each goal that is missed in a cell, then the number of cells that miss a
   goal. */
static void
missed_goals_print (const run_t *runs)
{
  unsigned missed = 0;

  for (size_t test_case = 0; test_case < TARGET_MODEL_CASE_COUNT; test_case++)
    for (size_t load_index = 0; load_index < LOAD_COUNT; load_index++)
      {
        double to_round_robin = p99_ratio_to_round_robin (runs, test_case, load_index);
        double to_best_baseline = ratio_to_best_baseline (runs, test_case, load_index);
        double fail_fast_share = result_at (runs, test_case, load_index, SGR_BALANCER_LOAD_LATENCY)
                                     ->first_target_share;
        const char *name = target_model_case_name ((target_model_case_t)test_case);
        double percent = loads[load_index] * 100;
        bool is_missed[]
            = { test_case == TARGET_MODEL_SLOW && to_round_robin > GOAL_SLOW_P99_TO_ROUND_ROBIN_MAX,
                to_best_baseline > GOAL_P99_TO_BEST_BASELINE_MAX,
                test_case == TARGET_MODEL_FAIL_FAST
                    && fail_fast_share > GOAL_FAILING_TARGET_RELATIVE_SHARE_MAX };

        if (is_missed[0])
          printf ("  missed: %s %.0f%%: x%.2f of round-robin\n", name, percent, to_round_robin);
        if (is_missed[1])
          printf ("  missed: %s %.0f%%: x%.2f of the best baseline\n", name, percent,
                  to_best_baseline);
        if (is_missed[2])
          printf ("  missed: %s %.0f%%: share %.2f\n", name, percent, fail_fast_share);
        missed += is_missed[0] || is_missed[1] || is_missed[2];
      }
  printf ("  %u of %u cells miss a goal\n", missed,
          (unsigned)(TARGET_MODEL_CASE_COUNT * LOAD_COUNT));
}

/* Runs every policy in every case at every load and returns the results in an array. The caller
   frees the array with free(). */
static run_t *
policy_runs_create (unsigned targets, unsigned entries, uint64_t duration_us)
{
  run_t *runs = calloc (RUN_COUNT, sizeof *runs);

  if (runs == NULL)
    exit (1);
  for (size_t i = 0; i < RUN_COUNT; i++)
    runs[i].options = (target_model_options_t){
      .policy = (sgr_balancer_policy_t)(i % SGR_BALANCER_POLICY_COUNT),
      .test_case = (target_model_case_t)(i / SGR_BALANCER_POLICY_COUNT / LOAD_COUNT),
      .seed = 1 + i / SGR_BALANCER_POLICY_COUNT,
      .load = loads[i / SGR_BALANCER_POLICY_COUNT % LOAD_COUNT],
      .targets = targets,
      .entries = entries,
      .duration_us = duration_us,
    };
  runs_execute (runs, RUN_COUNT);
  return runs;
}

/* Prints the result of every policy in every cell. */
static void
policies_run (void)
{
  run_t *runs = policy_runs_create (TARGET_COUNT, ENTRY_COUNT, RUN_DURATION_US);

  printf ("5 targets of 16 slots in 3 failure domains, 12 entry nodes, %.0f s of virtual time;\n"
          "a failed call counts with its deadline of 2 s; shares are relative to an even spread\n",
          RUN_DURATION_US / 1e6);
  for (size_t test_case = 0; test_case < TARGET_MODEL_CASE_COUNT; test_case++)
    for (size_t load_index = 0; load_index < LOAD_COUNT; load_index++)
      policy_results_print (runs, test_case, load_index);
  printf ("\ngoals: slow target p99 at most x0.50 of round-robin; p99 at most x1.05 of the best"
          " baseline, or errors\nwhere both p99 are the deadline; a fail-fast target draws at most"
          " its share\n");
  missed_goals_print (runs);
  free (runs);
}

/* Prints how load-latency compares with the other policies at the other service sizes. */
static void
service_sizes_run (void)
{
  for (size_t size = 0; size < SERVICE_SIZE_COUNT; size++)
    {
      run_t *runs
          = policy_runs_create (sizes[size].targets, sizes[size].entries, RUN_DURATION_US / 2);

      printf ("\n%u targets, %u entry nodes, %.0f s: p99 of load-latency against round-robin, and"
              " against the best baseline\n  %-12s",
              sizes[size].targets, sizes[size].entries, RUN_DURATION_US / 2e6, "case");
      for (size_t load_index = 0; load_index < LOAD_COUNT; load_index++)
        printf ("    %4.0f%%       ", loads[load_index] * 100);
      printf ("\n");
      for (size_t test_case = 0; test_case < TARGET_MODEL_CASE_COUNT; test_case++)
        {
          printf ("  %-12s", target_model_case_name ((target_model_case_t)test_case));
          for (size_t load_index = 0; load_index < LOAD_COUNT; load_index++)
            printf ("  x%.2f  x%.2f ", p99_ratio_to_round_robin (runs, test_case, load_index),
                    ratio_to_best_baseline (runs, test_case, load_index));
          printf ("\n");
        }
      missed_goals_print (runs);
      free (runs);
    }
}

/* Prints two recommended probe rates. For services that need a low tail latency, it is the lowest
   rate whose 99th percentile of latency is within 2% of the least one. For services that need a low
   cost, it is the lowest rate that achieves half of the possible reduction of this
   percentile. */
static void
recommended_probe_rates_print (const double p99_us[PROBE_RATE_COUNT])
{
  size_t tail_index = 0;
  size_t cost_index = 0;
  double least_p99_us = p99_us[0];

  for (size_t i = 0; i < PROBE_RATE_COUNT; i++)
    if (p99_us[i] < least_p99_us)
      least_p99_us = p99_us[i];
  while (p99_us[tail_index] > least_p99_us * RECOMMENDED_P99_TO_LEAST_MAX)
    tail_index++;
  while (p99_us[cost_index] > (p99_us[0] + least_p99_us) / 2)
    cost_index++;
  printf ("  setting for the tail (within 2%% of the least p99): %u calls/s;"
          " for the cost (half of the gain): %u calls/s\n",
          probe_rates[tail_index], probe_rates[cost_index]);
}

/* Runs the policy "load-latency" in the case TARGET_MODEL_NOISY with each probe budget. */
static void
probe_rates_run (double load)
{
  run_t runs[PROBE_RATE_COUNT * PROBE_SEED_COUNT] = { 0 };
  double p99_us[PROBE_RATE_COUNT] = { 0 };

  for (size_t i = 0; i < PROBE_RATE_COUNT * PROBE_SEED_COUNT; i++)
    runs[i].options = (target_model_options_t){
      .test_case = TARGET_MODEL_NOISY,
      .seed = 100 + i % PROBE_SEED_COUNT,
      .load = load,
      .targets = TARGET_COUNT,
      .entries = PROBE_ENTRY_COUNT,
      .duration_us = RUN_DURATION_US,
      .probe_calls_per_s = probe_rates[i / PROBE_SEED_COUNT],
    };
  runs_execute (runs, PROBE_RATE_COUNT * PROBE_SEED_COUNT);
  printf (
      "\nprobe budget of the service, noisy, %.0f%% of slots, %u entry nodes, load-latency, mean"
      " of %u seeds\n",
      load * 100, PROBE_ENTRY_COUNT, PROBE_SEED_COUNT);
  printf ("  %10s %10s %12s %8s %10s\n", "calls/s", "sent/s", "slot time %", "p99 ms", "p99.9 ms");
  for (size_t i = 0; i < PROBE_RATE_COUNT; i++)
    {
      double p999_us = 0;
      double sent_per_s = 0;
      double slot_time_percent = 0;

      for (size_t seed = 0; seed < PROBE_SEED_COUNT; seed++)
        {
          const target_model_result_t *r = &runs[i * PROBE_SEED_COUNT + seed].result;

          p99_us[i] += r->p99_us / PROBE_SEED_COUNT;
          p999_us += r->p999_us / PROBE_SEED_COUNT;
          sent_per_s += (double)r->probes * 1e6 / (double)RUN_DURATION_US / PROBE_SEED_COUNT;
          slot_time_percent += 100 * r->probe_slot_share / PROBE_SEED_COUNT;
        }
      printf ("  %10u %10.1f %12.3f %8.1f %10.1f\n", probe_rates[i], sent_per_s, slot_time_percent,
              p99_us[i] / 1e3, p999_us / 1e3);
    }
  recommended_probe_rates_print (p99_us);
}

int
main (void)
{
  policies_run ();
  service_sizes_run ();
  probe_rates_run (0.05);
  probe_rates_run (0.25);
  return 0;
}
