#ifndef SGR_BALANCER_INTERNAL_H
#define SGR_BALANCER_INTERNAL_H

#include "balancer.h"

/* Most own attempts per target whose start times are kept until a load report includes them. */
#define SGR_BALANCER_UNREPORTED_STARTS_MAX 64

/**
 * struct sgr_balancer_estimate_t - load and latency of a target, from its gate's load reports and
 * from this node's own attempts
 * @report_made_us: when the last applied report was made, on this node's clock
 * @reported_load: requests in flight and queued in that report
 * @reported_latency_us: last reported latency without queueing, 0 if unknown
 * @reported_slowdown: last reported time of a request relative to the usual time, 1 for as usual, 0
 *   if unknown
 * @has_report: whether a report was applied, or a load assumed after a refusal without a report
 * @report_confidence: weight of reports, 0 to 1; falls when own attempts contradict them
 * @unreported_start_us: start times of own attempts that are too recent for the last applied report
 *   to include them, oldest first
 * @unreported_count: used entries of @unreported_start_us
 * @refusal_rate: share of recent own attempts that the gate refused
 * @refusal_rate_time_us: time of the last change of @refusal_rate
 * @own_latency_us: average latency of own attempts, without link and queueing
 * @own_long_term_latency_us: average latency over more own attempts than in @own_latency_us,
 *   without the link but with the wait in the gate's queue
 * @own_sample_weight: weight of @own_latency_us: number of own attempts in it, up to a limit;
 *   decays with their age
 * @own_sample_time_us: time of the last change of @own_latency_us
 * @observed_latency_us: average latency of own attempts whose answer brought a report, without the
 *   link
 * @predicted_latency_us: average latency that these reports predict, compared with
 *   @observed_latency_us
 */
typedef struct
{
  uint64_t report_made_us;
  double reported_load;
  double reported_latency_us;
  double reported_slowdown;
  bool has_report;
  double report_confidence;
  uint64_t unreported_start_us[SGR_BALANCER_UNREPORTED_STARTS_MAX];
  uint32_t unreported_count;
  double refusal_rate;
  uint64_t refusal_rate_time_us;
  double own_latency_us;
  double own_long_term_latency_us;
  double own_sample_weight;
  uint64_t own_sample_time_us;
  double observed_latency_us;
  double predicted_latency_us;
} sgr_balancer_estimate_t;

/**
 * struct sgr_balancer_health_t - errors and ejection of a target
 * @error_rate: share of recent attempts that failed
 * @error_rate_time_us: time of the last change of @error_rate
 * @consecutive_errors: errors since the last success
 * @is_ejected: the target gets only half-open trials while another serving target is eligible
 * @next_trial_us: earliest time of the next half-open trial
 * @trial_start_us: start of the last trial
 * @is_trial_pending: whether that trial has not finished
 * @backoff_us: wait after a failed or unfinished trial
 * @trials_passed: trials passed since the ejection
 */
typedef struct
{
  double error_rate;
  uint64_t error_rate_time_us;
  uint32_t consecutive_errors;
  bool is_ejected;
  uint64_t next_trial_us;
  uint64_t trial_start_us;
  bool is_trial_pending;
  uint64_t backoff_us;
  uint32_t trials_passed;
} sgr_balancer_health_t;

/**
 * struct sgr_balancer_cold_t - what a cold target accepts
 * @calls_per_s: requests per second that the target accepts, from the last report; 0 if it is not
 *   cold
 * @starts_left: requests that it could start when that report was made
 * @share: attempts that this node may send to it now, out of its share
 * @share_time_us: time of the last change of @share, 0 before the target was known to be cold
 */
typedef struct
{
  uint32_t calls_per_s;
  uint32_t starts_left;
  double share;
  uint64_t share_time_us;
} sgr_balancer_cold_t;

/**
 * struct sgr_balancer_entry_t - one entry of the table of targets
 * @info: what the membership view holds of the target
 * @reported_state: state in the last report, SGR_TARGET_NONE if there is none or it expired
 * @is_used: whether the entry holds a target
 * @generation: distinguishes the targets that the entry held one after the other
 * @outstanding: own attempts in flight
 * @start_times_sum_us: sum of the start times of these attempts, modulo 2^64
 * @far_rank: rank among the targets of other failure domains; the lowest ones form the set that
 * this node uses
 * @slow_start_begin_us: when the slow start began
 * @estimate: load and latency
 * @health: errors and ejection
 * @cold: what the target accepts while it is cold
 */
typedef struct
{
  sgr_balancer_target_info_t info;
  sgr_target_state_t reported_state;
  bool is_used;
  uint16_t generation;
  uint32_t outstanding;
  uint64_t start_times_sum_us;
  uint64_t far_rank;
  uint64_t slow_start_begin_us;
  sgr_balancer_estimate_t estimate;
  sgr_balancer_health_t health;
  sgr_balancer_cold_t cold;
} sgr_balancer_entry_t;

/**
 * struct sgr_balancer_t - targets of one service
 * @options: settings
 * @rng: source of the random choices
 * @entries: table of targets
 * @entry_capacity: size of @entries
 * @used_indexes: indexes of the used entries, ascending
 * @target_count: number of targets, which is the number of values in @used_indexes
 * @candidates: indexes of the entries that one choice considers, as large as @entries
 * @round_robin_next: lowest index that the next round-robin choice considers
 * @outstanding: own attempts in flight at all targets
 * @report_confidence: lowest report confidence of any target; at 0 only own attempts count
 * @service_latency_us: average latency over all targets without queueing, 0 if unknown
 * @service_slowdown: average of the reported slowdowns of all targets, 0 if unknown
 * @service_load: average reported load over all targets, as a share of their slots
 * @counts: number of each event
 */
struct sgr_balancer_t
{
  sgr_balancer_options_t options;
  sgr_rng_t rng;
  sgr_balancer_entry_t *entries;
  size_t entry_capacity;
  uint32_t *used_indexes;
  size_t target_count;
  uint32_t *candidates;
  size_t round_robin_next;
  uint32_t outstanding;
  double report_confidence;
  double service_latency_us;
  double service_slowdown;
  double service_load;
  uint64_t counts[SGR_BALANCER_EVENT_COUNT];
};

/**
 * struct sgr_balancer_score_t - expected cost of one more request at a target
 * @cost_us: expected latency plus a charge for expected errors and refusals, microseconds
 * @is_hot: whether the request is expected to wait for a slot
 * @is_in_slow_start: whether the target is in slow start
 */
typedef struct
{
  double cost_us;
  bool is_hot;
  bool is_in_slow_start;
} sgr_balancer_score_t;

/* balancer_sample.c */

/** sgr_balancer_far_rank() - rank of a node's target for a node with the seed @far_set_seed */
uint64_t sgr_balancer_far_rank (uint64_t far_set_seed, sgr_node_id_t node);

/* Number of distances. */
#define SGR_BALANCER_DISTANCES 3

/**
 * sgr_balancer_distance() - distance of a target: 0 for the own failure domain, 1 for the own
 * region, 2 for other regions
 */
size_t sgr_balancer_distance (const sgr_balancer_target_info_t *info);

/**
 * sgr_balancer_sample_draw() - choose the candidates of one distance that a choice compares
 * @b: the balancer; the candidates of that distance are moved to @start, the sample first
 * @start: first candidate to consider; those before are nearer
 * @count: number of candidates
 * @distance: the distance
 * @call: the call
 * @group_size: receives the number of candidates of that distance
 * @preferred: receives the number of candidates at the front of the sample that the call prefers;
 *   all without an affinity
 *
 * Return: size of the sample.
 */
size_t sgr_balancer_sample_draw (sgr_balancer_t *b, size_t start, size_t count, size_t distance,
                                 const sgr_balancer_call_t *call, size_t *group_size,
                                 size_t *preferred);

/* balancer_estimate.c */
void sgr_balancer_estimate_init (sgr_balancer_estimate_t *estimate);
void sgr_balancer_estimate_attempt_start (sgr_balancer_entry_t *entry, uint64_t now_us);
void sgr_balancer_estimate_sample_add (sgr_balancer_t *b, sgr_balancer_entry_t *entry,
                                       uint64_t now_us, uint64_t latency_us, bool is_complete,
                                       const sgr_load_report_t *report);
void sgr_balancer_estimate_report_apply (sgr_balancer_t *b, sgr_balancer_entry_t *entry,
                                         uint64_t now_us, const sgr_load_report_t *report);
/** sgr_balancer_estimate_admission_record() - record whether the gate refused an attempt */
void sgr_balancer_estimate_admission_record (sgr_balancer_entry_t *entry, uint64_t now_us,
                                             bool is_refused);
/** sgr_balancer_estimate_refusal_apply() - assume a high load after a refusal without a report */
void sgr_balancer_estimate_refusal_apply (sgr_balancer_entry_t *entry, uint64_t now_us);
/** sgr_balancer_slow_start_share() - usable share of a target's slots, 1 after slow start */
double sgr_balancer_slow_start_share (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry,
                                      uint64_t now_us);
/**
 * sgr_balancer_score() - expected cost of one more request at a target; with @is_later_attempt (a
 * retry or hedge), expected refusals add to the cost
 */
sgr_balancer_score_t sgr_balancer_score (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry,
                                         uint64_t now_us, bool is_later_attempt);

/* balancer_outlier.c */
double sgr_balancer_error_rate (const sgr_balancer_entry_t *entry, uint64_t now_us);
void sgr_balancer_outlier_result_record (sgr_balancer_t *b, sgr_balancer_entry_t *entry,
                                         uint64_t now_us, uint64_t latency_us, bool is_error);
/** sgr_balancer_outlier_trial_start() - start a half-open trial; false if none is due */
bool sgr_balancer_outlier_trial_start (sgr_balancer_entry_t *entry, uint64_t now_us);

/* balancer_cold.c */
void sgr_balancer_cold_report_apply (sgr_balancer_entry_t *entry, const sgr_load_report_t *report);
/** sgr_balancer_cold_attempt_start() - record an attempt, which uses this node's share of a cold
 * target
 */
void sgr_balancer_cold_attempt_start (sgr_balancer_t *b, sgr_balancer_entry_t *entry,
                                      uint64_t now_us);
/**
 * sgr_balancer_cold_filter() - leave out the cold targets that got their share already
 * @b: the balancer; the candidates that stay are moved to the front
 * @now_us: current time
 * @count: number of candidates, above 0
 *
 * Return: number of candidates that stay, above 0; all without a limit for cold targets. If all are
 * cold and got their share, those stay that can start a request according to their reports; if none
 * can, all.
 */
size_t sgr_balancer_cold_filter (sgr_balancer_t *b, uint64_t now_us, size_t count);

/* balancer_choose.c */
/** sgr_balancer_choose() - index of the entry that is best among the first @count candidates */
uint32_t sgr_balancer_choose (sgr_balancer_t *b, uint64_t now_us, size_t count,
                              bool is_later_attempt, const sgr_balancer_call_t *call);

/* balancer_baseline.c */
/** sgr_balancer_baseline_choose() - as sgr_balancer_choose(), by one of the baseline policies */
uint32_t sgr_balancer_baseline_choose (sgr_balancer_t *b, size_t count);

static inline void
sgr_balancer_event_record (sgr_balancer_t *b, sgr_balancer_event_t event)
{
  b->counts[event]++;
}

#endif
