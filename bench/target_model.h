#ifndef TARGET_MODEL_H
#define TARGET_MODEL_H

#include "balancer.h"

/**
 * Simulation of the calls of one service in virtual time. Entry nodes choose targets with the real
 * balancer; gates, targets and the links between them are models.
 */

#define TARGET_MODEL_TARGETS_MAX 32
#define TARGET_MODEL_ENTRIES_MAX 64
/* Largest number of periods in a run for one target. The target has a constant speed in each
   period. */
#define TARGET_MODEL_SPEED_PHASES_MAX 512

/**
 * enum target_model_case_t - condition of the targets during a run
 * @TARGET_MODEL_STEADY: all targets run at full speed
 * @TARGET_MODEL_SLOW: the first target runs at a fifth of full speed
 * @TARGET_MODEL_FAIL_FAST: the first target answers every request with an error after 0.3 ms
 *   during the middle half of the run
 * @TARGET_MODEL_COLD: the first target is replaced every 20 s; each successor starts at a tenth of
 *   full speed and reaches full speed after 5 s
 * @TARGET_MODEL_NOISY: other work on the hosts repeatedly slows every target by a factor of 2 to 20
 *   for 5 ms to 3 s, with pauses of 8 s on average
 * @TARGET_MODEL_MISLEADING: of every five targets, one always reports that it is idle, one always
 *   reports that it is saturated with a queue and five times its latency, one sends load reports
 *   that are at least 500 ms old, one sends such old load reports with a stated age of 0, and one
 *   reports correctly
 */
typedef enum
{
  TARGET_MODEL_STEADY = 0,
  TARGET_MODEL_SLOW,
  TARGET_MODEL_FAIL_FAST,
  TARGET_MODEL_COLD,
  TARGET_MODEL_NOISY,
  TARGET_MODEL_MISLEADING,
  TARGET_MODEL_CASE_COUNT,
} target_model_case_t;

/**
 * struct target_model_options_t - settings of one run
 * @policy: balancing policy of every entry
 * @test_case: condition of the targets
 * @seed: seed of the arrivals, the service times, the link delays, the slowdowns and the balancers
 * @load: offered load as a share of the capacity of all slots at full speed
 * @targets: number of targets of the service, assigned to the failure domains in turn
 * @entries: number of entries, assigned to the failure domains in turn
 * @duration_us: virtual time during which calls arrive, microseconds
 * @probe_calls_per_s: probe budget of the service, probes a second; 0 for none
 */
typedef struct
{
  sgr_balancer_policy_t policy;
  target_model_case_t test_case;
  uint64_t seed;
  double load;
  unsigned targets;
  unsigned entries;
  uint64_t duration_us;
  uint32_t probe_calls_per_s;
} target_model_options_t;

/**
 * struct target_model_result_t - measurements of one run; calls that begin in its first two seconds
 *   are left out
 * @calls: ended calls
 * @errors: calls that failed or missed the deadline; each counts with the deadline as its latency
 * @attempts: attempts of the counted calls
 * @p50_us: median latency of the counted calls, measured at the entry, microseconds
 * @p99_us: 99th percentile of that latency
 * @p999_us: 99.9th percentile of that latency
 * @relative_share: attempts at each target, divided by the attempts that it would get if all
 *   targets received the same number
 * @first_target_share: @relative_share of the first target; in the case TARGET_MODEL_FAIL_FAST it
 *   covers only the time in which that target fails
 * @probes: probes sent during the whole run
 * @probe_slot_share: slot time used by probes as a share of all slot time of the run
 */
typedef struct
{
  uint64_t calls;
  uint64_t errors;
  uint64_t attempts;
  double p50_us;
  double p99_us;
  double p999_us;
  double relative_share[TARGET_MODEL_TARGETS_MAX];
  double first_target_share;
  uint64_t probes;
  double probe_slot_share;
} target_model_result_t;

/** target_model_case_name() - name of a case as the tables print it */
const char *target_model_case_name (target_model_case_t test_case);

/**
 * target_model_run() - simulate one run
 * @options: settings; equal settings give equal results
 * @result: receives the measurements
 */
void target_model_run (const target_model_options_t *options, target_model_result_t *result);

#endif
