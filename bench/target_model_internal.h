#ifndef TARGET_MODEL_INTERNAL_H
#define TARGET_MODEL_INTERNAL_H

#include "probe_budget.h"
#include "target_model.h"

/* Slots of each target. */
#define MODEL_SLOTS_PER_TARGET 16
/* Largest number of attempts in the queue of a gate. */
#define MODEL_GATE_QUEUE_MAX 64
/* Largest number of attempts of one call. */
#define MODEL_ATTEMPTS_PER_CALL_MAX 3
/* Failure domains that hold the targets and the entries. */
#define MODEL_FAILURE_DOMAIN_COUNT 3
/* Mean service time at full speed. In a fleet of 2,600 targets, each target gets 380 calls a
   second. With this service time, these calls use about half of its 16 slots. */
#define MODEL_SERVICE_MEAN_US 20000.0
/* Standard deviation of the logarithm of the service time. The service time has a log-normal
   distribution. */
#define MODEL_SERVICE_LOG_SIGMA 0.6
/* Mean one-way delay of the link between an entry and a gate, if both are in the same failure
   domain, and if they are in different ones. */
#define MODEL_LINK_SAME_DOMAIN_DELAY_US 100
#define MODEL_LINK_CROSS_DOMAIN_DELAY_US 4500
/* A link delay varies at random by up to this share of the delay, up or down. */
#define MODEL_LINK_DELAY_JITTER_SHARE 0.2
/* Time that a caller waits for its call. */
#define MODEL_CALL_DEADLINE_US (2 * SGR_USEC_PER_SEC)
/* Calls that begin before this time of a run are not counted. */
#define MODEL_WARM_UP_US (2 * SGR_USEC_PER_SEC)
/* Time that a failing target takes to answer with an error. */
#define MODEL_ERROR_ANSWER_TIME_US 300
/* Service time of a probe at full speed, and the number of bytes by which a probe reduces the probe
   budget. */
#define MODEL_PROBE_SERVICE_US 6000.0
#define MODEL_PROBE_BUDGET_BYTES 1000
/* A load report holds the median of this many recent service times. */
#define MODEL_REPORT_LATENCY_SAMPLES 15
/* Targets that report stale loads report a load that is at least this old. */
#define MODEL_STALE_REPORT_AGE_MIN_US 500000
/* Number of past load reports that a target with stale load reports keeps, and the least time
   between two of them. Together they cover at least one second, which is more than
   MODEL_STALE_REPORT_AGE_MIN_US. */
#define MODEL_REPORT_HISTORY_SIZE 64
#define MODEL_REPORT_HISTORY_INTERVAL_US (MODEL_STALE_REPORT_AGE_MIN_US / 32)
/* Time from a change of a target's state until all entries know of it. */
#define MODEL_MEMBERSHIP_DELAY_US 200000
/* Time from the start of the drain of a target to the start of its successor. */
#define MODEL_DRAIN_TO_SUCCESSOR_US 300000
/* Value of call_start_us that marks a job as a probe. */
#define MODEL_PROBE_CALL_START_US UINT64_MAX

/**
 * struct model_phase_t - period in which a target runs at a constant speed
 * @from_us: start of the period, which lasts until the next one begins
 * @speed: 1 for full speed; a speed of 0.5 doubles the service times
 */
typedef struct
{
  uint64_t from_us;
  double speed;
} model_phase_t;

/**
 * struct model_job_t - a call with its latest attempt, a probe, or a load report that is sent to an
 *   entry without an answer. A job is identified by its index, because the array of jobs moves when
 * it grows.
 * @call_start_us: start of the call; MODEL_PROBE_CALL_START_US for a probe
 * @sent_us: time when the entry sent the attempt
 * @service_start_us: time when the attempt or probe got a slot
 * @work_us: service time at full speed
 * @entry: index of the entry
 * @target: index of the target
 * @attempt_count: attempts sent so far
 * @tried_targets: the balancer's handle of the target of each attempt
 * @outcome: outcome of the attempt
 * @is_error: the target answers with an error
 * @report: load report that is sent with the answer or without one
 * @probe_handle: handle of the probe in the target's probe budget
 * @next: index of the next job in the gate's queue or in the list of free jobs, -1 for none
 */
typedef struct
{
  uint64_t call_start_us;
  uint64_t sent_us;
  uint64_t service_start_us;
  double work_us;
  unsigned entry;
  unsigned target;
  unsigned attempt_count;
  sgr_balancer_target_t tried_targets[MODEL_ATTEMPTS_PER_CALL_MAX];
  sgr_outcome_t outcome;
  bool is_error;
  sgr_load_report_t report;
  uint32_t probe_handle;
  int32_t next;
} model_job_t;

/**
 * enum model_report_kind_t - what a target sends as its load report
 * @MODEL_REPORT_CORRECT: its actual load
 * @MODEL_REPORT_IDLE: always no load and a short latency
 * @MODEL_REPORT_SATURATED: always all slots in use, queued requests and five times its latency
 * @MODEL_REPORT_STALE: a load that is at least MODEL_STALE_REPORT_AGE_MIN_US old, with its age
 * @MODEL_REPORT_STALE_AGE_ZERO: a load that is as old, with a stated age of 0
 */
typedef enum
{
  MODEL_REPORT_CORRECT = 0,
  MODEL_REPORT_IDLE,
  MODEL_REPORT_SATURATED,
  MODEL_REPORT_STALE,
  MODEL_REPORT_STALE_AGE_ZERO,
  MODEL_REPORT_KIND_COUNT,
} model_report_kind_t;

/**
 * struct model_target_t - a target with its gate
 * @domain: index of the failure domain
 * @report_kind: what it sends as its load report
 * @phases: speed over time, by start
 * @phase_count: entries of @phases
 * @phase_index: phase at the present time
 * @fail_from_us: start of the time in which it answers with errors
 * @fail_to_us: end of that time
 * @serving_since_us: when it began to serve
 * @state: its state, which reaches the entries later
 * @in_flight: slots in use
 * @queued: attempts in the gate's queue
 * @queue_head: first job of that queue, -1 if it is empty
 * @queue_tail: last job of that queue, -1 if it is empty
 * @latencies_us: ring of the latest service times
 * @latency_count: service times recorded so far
 * @report_history: ring of past load reports, for the stale ones
 * @report_recorded_us: when each of @report_history was recorded
 * @report_history_count: load reports recorded so far
 * @attempts: attempts of counted calls at this target
 * @attempts_while_failing: those of them that were sent while the first target failed
 * @probe_budget: the part of the probe budget of the service that this gate may use
 */
typedef struct
{
  unsigned domain;
  model_report_kind_t report_kind;
  model_phase_t phases[TARGET_MODEL_SPEED_PHASES_MAX];
  unsigned phase_count;
  unsigned phase_index;
  uint64_t fail_from_us;
  uint64_t fail_to_us;
  uint64_t serving_since_us;
  sgr_target_state_t state;
  unsigned in_flight;
  unsigned queued;
  int32_t queue_head;
  int32_t queue_tail;
  uint32_t latencies_us[MODEL_REPORT_LATENCY_SAMPLES];
  unsigned latency_count;
  sgr_load_report_t report_history[MODEL_REPORT_HISTORY_SIZE];
  uint64_t report_recorded_us[MODEL_REPORT_HISTORY_SIZE];
  unsigned report_history_count;
  uint64_t attempts;
  uint64_t attempts_while_failing;
  sgr_probe_budget_t probe_budget;
} model_target_t;

/**
 * enum model_event_kind_t - kinds of events
 * @MODEL_EVENT_CALL_ARRIVAL: a call arrives at an entry
 * @MODEL_EVENT_GATE_ARRIVAL: an attempt arrives at a gate
 * @MODEL_EVENT_SERVICE_END: a target ends an attempt or a probe
 * @MODEL_EVENT_ANSWER_ARRIVAL: the answer of an attempt arrives at the entry
 * @MODEL_EVENT_PROBE_DUE: a gate tries to send a probe
 * @MODEL_EVENT_REPORT_ARRIVAL: a load report without an answer arrives at an entry
 * @MODEL_EVENT_TARGET_REPLACE: a target begins to drain, or its successor starts
 * @MODEL_EVENT_MEMBERSHIP_UPDATE: the entries learn the state of a target
 */
typedef enum
{
  MODEL_EVENT_CALL_ARRIVAL,
  MODEL_EVENT_GATE_ARRIVAL,
  MODEL_EVENT_SERVICE_END,
  MODEL_EVENT_ANSWER_ARRIVAL,
  MODEL_EVENT_PROBE_DUE,
  MODEL_EVENT_REPORT_ARRIVAL,
  MODEL_EVENT_TARGET_REPLACE,
  MODEL_EVENT_MEMBERSHIP_UPDATE,
} model_event_kind_t;

/**
 * struct model_event_t - one event of the simulation
 * @at_us: when it happens
 * @sequence: number in the order of creation; orders events of the same time
 * @kind: what happens
 * @subject_index: index of the target for the kinds PROBE_DUE, TARGET_REPLACE and
 *   MEMBERSHIP_UPDATE; 0 for CALL_ARRIVAL; index of the job for all other kinds
 */
typedef struct
{
  uint64_t at_us;
  uint64_t sequence;
  model_event_kind_t kind;
  int32_t subject_index;
} model_event_t;

/**
 * struct model_t - state of one run
 * @options: settings of the run
 * @arrival_rng: random numbers for the arrival, the entry and the service time of calls
 * @link_rng: random numbers for link delays
 * @now_us: virtual time
 * @event_heap: binary heap of the coming events
 * @event_count: entries of @event_heap
 * @event_capacity: allocated entries of @event_heap
 * @sequence: number of the next event
 * @jobs: all jobs, in use and free
 * @job_capacity: entries of @jobs
 * @first_free_job: head of the list of free jobs, -1 if there is none
 * @targets: the targets
 * @balancers: the balancer of each entry
 * @handles: each target's handle in the balancer of each entry
 * @latency_samples_us: latencies of the counted calls
 * @latency_sample_count: entries of @latency_samples_us
 * @latency_sample_capacity: allocated entries of @latency_samples_us
 * @attempts_while_failing: attempts of counted calls that were sent while the first target failed
 * @probe_slot_time_us: slot time used by probes
 * @result: receives the measurements
 */
typedef struct
{
  target_model_options_t options;
  sgr_rng_t arrival_rng;
  sgr_rng_t link_rng;
  uint64_t now_us;
  model_event_t *event_heap;
  size_t event_count;
  size_t event_capacity;
  uint64_t sequence;
  model_job_t *jobs;
  int32_t job_capacity;
  int32_t first_free_job;
  model_target_t targets[TARGET_MODEL_TARGETS_MAX];
  sgr_balancer_t *balancers[TARGET_MODEL_ENTRIES_MAX];
  sgr_balancer_target_t handles[TARGET_MODEL_ENTRIES_MAX][TARGET_MODEL_TARGETS_MAX];
  uint32_t *latency_samples_us;
  size_t latency_sample_count;
  size_t latency_sample_capacity;
  uint64_t attempts_while_failing;
  double probe_slot_time_us;
  target_model_result_t *result;
} model_t;

/* The functions below are defined in target_model_cases.c. */

/** model_case_init() - set up the targets for the case in the options of the run */
void model_case_init (model_t *m);

/** model_event_push() - schedule an event */
void model_event_push (model_t *m, uint64_t at_us, model_event_kind_t kind, int32_t subject_index);

/** model_event_pop() - remove the earliest event; false if there is none */
bool model_event_pop (model_t *m, model_event_t *event);

/**
 * model_service_end_us() - time when a target ends a request
 * @target: the target; its @phase_index must be the index of the phase in force at @from_us
 * @from_us: when the request got its slot
 * @work_us: service time of the request at full speed
 */
uint64_t model_service_end_us (const model_target_t *target, uint64_t from_us, double work_us);

/** model_load_report() - load report that a target sends, correct or not */
sgr_load_report_t model_load_report (model_target_t *target, uint64_t now_us);

#endif
