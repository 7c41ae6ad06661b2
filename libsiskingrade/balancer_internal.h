#ifndef SGR_BALANCER_INTERNAL_H
#define SGR_BALANCER_INTERNAL_H

#include "balancer.h"

#define SGR_BALANCER_UNSEEN_MAX 64

/**
 * struct sgr_balancer_estimate_t - what a balancer knows of the load and latency of a target
 * @reported_us: when the report held was made, on this node's clock
 * @reported_load: requests in flight and queued in that report
 * @reported_latency_us: latency in that report, 0 if unknown
 * @reported_cost: time that work takes in that report, 1 for as usual
 * @has_report: whether a report is held
 * @trust: weight of reports, 0 to 1; falls when own attempts disprove them
 * @unseen_us: start times of own attempts that the report held cannot contain, oldest first
 * @unseen_count: used entries of @unseen_us
 * @refusal_rate: share of recent attempts that the gate refused
 * @refusal_us: time of the last change of @refusal_rate
 * @own_latency_us: average of own samples, without link and queueing
 * @slow_latency_us: slower average of own samples, without link and with queueing
 * @own_weight: samples behind @own_latency_us, saturating
 * @own_us: time of the last own sample
 * @observed_us: average of own latencies that came with a report, without the link
 * @predicted_us: average of what those reports implied
 */
typedef struct
{
  uint64_t reported_us;
  double reported_load;
  double reported_latency_us;
  double reported_cost;
  bool has_report;
  double trust;
  uint64_t unseen_us[SGR_BALANCER_UNSEEN_MAX];
  uint32_t unseen_count;
  double refusal_rate;
  uint64_t refusal_us;
  double own_latency_us;
  double slow_latency_us;
  double own_weight;
  uint64_t own_us;
  double observed_us;
  double predicted_us;
} sgr_balancer_estimate_t;

/**
 * struct sgr_balancer_health_t - errors and ejection of a target
 * @error_rate: share of recent attempts that failed
 * @error_us: time of the last change of @error_rate
 * @consecutive: errors since the last success
 * @is_ejected: out of the regular choice
 * @trial_us: earliest next half-open trial
 * @trial_start_us: start of the last trial
 * @is_trial_out: whether that trial has not finished
 * @backoff_us: wait before that trial
 * @trials_passed: trials passed since the ejection
 */
typedef struct
{
  double error_rate;
  uint64_t error_us;
  uint32_t consecutive;
  bool is_ejected;
  uint64_t trial_us;
  uint64_t trial_start_us;
  bool is_trial_out;
  uint64_t backoff_us;
  uint32_t trials_passed;
} sgr_balancer_health_t;

/**
 * struct sgr_balancer_entry_t - one place in the table of targets
 * @info: as membership gave it
 * @reported_state: state in the last report, SGR_TARGET_NONE without one
 * @is_used: whether the place holds a target
 * @generation: distinguishes the targets that held this place
 * @outstanding: own attempts in flight
 * @started_sum_us: sum of the start times of these attempts, modulo 2^64
 * @ramp_from_us: start of the slow start
 * @estimate: load and latency
 * @health: errors and ejection
 */
typedef struct
{
  sgr_balancer_target_info_t info;
  sgr_target_state_t reported_state;
  bool is_used;
  uint16_t generation;
  uint32_t outstanding;
  uint64_t started_sum_us;
  uint64_t ramp_from_us;
  sgr_balancer_estimate_t estimate;
  sgr_balancer_health_t health;
} sgr_balancer_entry_t;

/**
 * struct sgr_balancer_t - targets of one service
 * @entries: table, indexed by the low half of a handle minus 1
 * @entries_size: places in @entries
 * @order: used places of @entries
 * @order_count: used entries of @order
 * @candidates: scratch space for a choice, as large as @entries
 * @turn: next place of the round robin
 * @outstanding: own attempts in flight at all targets
 * @trust: least trust in the reports of any target; at 0 only own attempts count
 * @service_latency_us: average latency over all targets, 0 if unknown
 * @service_cost: average of the reported costs
 * @service_load: average reported load over all targets, as a share of their slots
 */
struct sgr_balancer_t
{
  sgr_balancer_options_t options;
  sgr_rng_t rng;
  sgr_balancer_entry_t *entries;
  size_t entries_size;
  uint32_t *order;
  size_t order_count;
  uint32_t *candidates;
  size_t turn;
  uint32_t outstanding;
  double trust;
  double service_latency_us;
  double service_cost;
  double service_load;
  uint64_t counts[SGR_BALANCER_REASON_COUNT];
};

/**
 * struct sgr_balancer_score_t - expected cost of one more request at a target
 * @cost_us: expected latency, with a charge for errors, microseconds
 * @is_hot: whether the request is expected to wait
 * @is_ramping: whether the target is in slow start
 */
typedef struct
{
  double cost_us;
  bool is_hot;
  bool is_ramping;
} sgr_balancer_score_t;

/* balancer_estimate.c */
void sgr_balancer_estimate_init (sgr_balancer_estimate_t *estimate);
void sgr_balancer_estimate_start (sgr_balancer_entry_t *entry, uint64_t now_us);
void sgr_balancer_estimate_sample (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                                   uint64_t latency_us, bool is_complete,
                                   const sgr_load_report_t *report);
void sgr_balancer_estimate_report (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                                   const sgr_load_report_t *report);
void sgr_balancer_estimate_admission (sgr_balancer_entry_t *entry, uint64_t now_us,
                                      bool is_refused);
void sgr_balancer_estimate_refused (sgr_balancer_entry_t *entry, uint64_t now_us);
double sgr_balancer_ramp (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry,
                          uint64_t now_us);
sgr_balancer_score_t sgr_balancer_score (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry,
                                         uint64_t now_us, bool is_repeated);

/* balancer_outlier.c */
double sgr_balancer_error_rate (const sgr_balancer_entry_t *entry, uint64_t now_us);
void sgr_balancer_outlier_result (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                                  uint64_t latency_us, bool is_error);
bool sgr_balancer_outlier_trial (sgr_balancer_entry_t *entry, uint64_t now_us);

/* balancer_choose.c */
uint32_t sgr_balancer_choose (sgr_balancer_t *b, uint64_t now_us, size_t count, bool is_repeated,
                              uint64_t bytes);

/* balancer_baseline.c */
uint32_t sgr_balancer_baseline_choose (sgr_balancer_t *b, size_t count);

static inline void
sgr_balancer_event (sgr_balancer_t *b, sgr_balancer_reason_t reason)
{
  b->counts[reason]++;
}

#endif
