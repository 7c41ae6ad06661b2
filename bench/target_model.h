#ifndef TARGET_MODEL_H
#define TARGET_MODEL_H

#include "balancer.h"

#define TARGET_MODEL_TARGETS_MAX 32
#define TARGET_MODEL_ENTRIES_MAX 64
#define TARGET_MODEL_PHASES_MAX 512

/**
 * enum target_model_case_t - what happens to the targets
 * @TARGET_MODEL_STEADY: nothing
 * @TARGET_MODEL_SLOW: the first target runs at a fifth of its speed
 * @TARGET_MODEL_FAIL_FAST: the first target answers every request at once with an error, for half
 *   of the run
 * @TARGET_MODEL_COLD: the first target is replaced every 20 s and starts cold, at a tenth of its
 *   speed rising over 5 s
 * @TARGET_MODEL_NOISY: every target is slowed 2 to 20 times, for 5 ms to 3 s, every 8 s on average
 * @TARGET_MODEL_MISLEADING: of five targets one reports no load, one reports a full queue and a
 *   fivefold latency, one reports what held 500 ms ago, and one does so with a wrong age
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
 * struct target_model_options_t - one run
 * @policy: policy of every entry node's balancer
 * @kind: what happens to the targets
 * @seed: seed of arrivals, work, links and slowdowns
 * @load: offered work as a share of all slots at full speed
 * @targets: targets of the service, spread over the failure domains in turn
 * @entries: entry nodes, spread over the failure domains in turn
 * @duration_us: length of the run
 * @probe_calls_per_s: probe budget of the service, 0 for none
 */
typedef struct
{
  sgr_balancer_policy_t policy;
  target_model_case_t kind;
  uint64_t seed;
  double load;
  unsigned targets;
  unsigned entries;
  uint64_t duration_us;
  uint32_t probe_calls_per_s;
} target_model_options_t;

/**
 * struct target_model_result_t - figures of one run, without its first two seconds
 * @calls: finished calls
 * @errors: calls that failed; their latency counts as the deadline
 * @attempts: attempts of these calls
 * @p50_us: median latency of calls at the entry
 * @p99_us: 99th percentile
 * @p999_us: 99.9th percentile
 * @share: attempts at each target, relative to an even spread
 * @share_faulty: the same for the first target, in the fail-fast case only while it fails
 * @probes: probes sent
 * @probe_slot_share: slot time used by probes as a share of all slot time
 */
typedef struct
{
  uint64_t calls;
  uint64_t errors;
  uint64_t attempts;
  double p50_us;
  double p99_us;
  double p999_us;
  double share[TARGET_MODEL_TARGETS_MAX];
  double share_faulty;
  uint64_t probes;
  double probe_slot_share;
} target_model_result_t;

const char *target_model_case_name (target_model_case_t kind);

/**
 * target_model_run() - simulate the calls of one service in virtual time
 * @options: the run; equal options give equal results
 * @result: receives the figures
 */
void target_model_run (const target_model_options_t *options, target_model_result_t *result);

#endif
