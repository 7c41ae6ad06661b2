#ifndef TARGET_MODEL_INTERNAL_H
#define TARGET_MODEL_INTERNAL_H

#include "probe_budget.h"
#include "target_model.h"

#define MODEL_SLOTS 16
#define MODEL_QUEUE_MAX 64
#define MODEL_ATTEMPTS_MAX 3
#define MODEL_DOMAINS 3
/* 380 calls a second at each of 2,600 targets with about half of 16 slots in use. */
#define MODEL_SERVICE_MEAN_US 20000.0
#define MODEL_SERVICE_SIGMA 0.6
#define MODEL_LINK_LOCAL_US 100
#define MODEL_LINK_FAR_US 4500
#define MODEL_LINK_JITTER 0.2
#define MODEL_DEADLINE_US (2 * SGR_USEC_PER_SEC)
#define MODEL_WARM_UP_US (2 * SGR_USEC_PER_SEC)
#define MODEL_FAIL_LATENCY_US 300
#define MODEL_PROBE_US 6000.0
#define MODEL_PROBE_BYTES 1000
#define MODEL_LATENCY_RING 15
#define MODEL_STALE_US 500000
#define MODEL_HISTORY 64
#define MODEL_MEMBERSHIP_DELAY_US 200000
#define MODEL_REPLACE_US 300000

typedef struct
{
  uint64_t from_us;
  double speed;
} model_phase_t;

/* Work that waits for or has a slot: a call's attempt or a probe. */
typedef struct
{
  uint64_t call_start_us;
  uint64_t sent_us;
  uint64_t service_start_us;
  double work_us;
  unsigned entry;
  unsigned target;
  unsigned attempt;
  sgr_balancer_target_t tried[MODEL_ATTEMPTS_MAX];
  sgr_outcome_t outcome;
  bool is_error;
  bool has_report;
  sgr_load_report_t report;
  uint32_t probe;
  int32_t next;
} model_job_t;

typedef enum
{
  MODEL_HONEST = 0,
  MODEL_IDLE,
  MODEL_BUSY,
  MODEL_STALE,
  MODEL_STALE_WRONG_AGE,
} model_report_kind_t;

typedef struct
{
  unsigned domain;
  model_report_kind_t report_kind;
  model_phase_t phases[TARGET_MODEL_PHASES_MAX];
  unsigned phase_count;
  unsigned phase;
  uint64_t fail_from_us;
  uint64_t fail_to_us;
  uint64_t join_us;
  sgr_target_state_t state;
  unsigned in_flight;
  unsigned queued;
  int32_t queue_head;
  int32_t queue_tail;
  uint32_t latencies[MODEL_LATENCY_RING];
  unsigned latency_count;
  sgr_load_report_t history[MODEL_HISTORY];
  uint64_t history_us[MODEL_HISTORY];
  unsigned history_count;
  uint64_t attempts;
  uint64_t attempts_failing;
  sgr_probe_budget_t budget;
} model_target_t;

typedef enum
{
  MODEL_ARRIVAL,
  MODEL_AT_GATE,
  MODEL_DONE,
  MODEL_RESPONSE,
  MODEL_PROBE_DUE,
  MODEL_REPORT,
  MODEL_REPLACE,
  MODEL_ANNOUNCE,
} model_event_kind_t;

typedef struct
{
  uint64_t at_us;
  uint64_t sequence;
  model_event_kind_t kind;
  int32_t subject;
} model_event_t;

typedef struct
{
  target_model_options_t options;
  sgr_rng_t arrivals;
  sgr_rng_t links;
  uint64_t now_us;
  model_event_t *heap;
  size_t heap_count;
  size_t heap_size;
  uint64_t sequence;
  model_job_t *jobs;
  int32_t jobs_size;
  int32_t jobs_free;
  model_target_t targets[TARGET_MODEL_TARGETS_MAX];
  sgr_balancer_t *balancers[TARGET_MODEL_ENTRIES_MAX];
  sgr_balancer_target_t handles[TARGET_MODEL_ENTRIES_MAX][TARGET_MODEL_TARGETS_MAX];
  uint32_t *samples;
  size_t sample_count;
  size_t sample_size;
  uint64_t attempts_failing;
  double probe_time_us;
  target_model_result_t *result;
} model_t;

/* target_model_cases.c */
void model_case_init (model_t *m);
void model_event_push (model_t *m, uint64_t at_us, model_event_kind_t kind, int32_t subject);
bool model_event_pop (model_t *m, model_event_t *event);
uint64_t model_work_end (const model_target_t *target, uint64_t from_us, double work_us);
sgr_load_report_t model_report (model_target_t *target, uint64_t now_us);

#endif
