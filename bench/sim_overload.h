#ifndef SGR_SIM_OVERLOAD_H
#define SGR_SIM_OVERLOAD_H

#include "gate.h"
#include "histogram.h"

#define SIM_BUCKET_US (100 * SGR_USEC_PER_MSEC)
#define SIM_BUCKETS 120
#define SIM_TENANTS 3

/**
 * enum sim_server_t - what stands in front of the targets
 * @SIM_SERVER_FIFO: an unbounded queue that knows no deadlines
 * @SIM_SERVER_GATE: gate, retry budget and call plan
 */
typedef enum
{
  SIM_SERVER_FIFO = 0,
  SIM_SERVER_GATE,
} sim_server_t;

/**
 * struct sim_tenant_t - calls of one tenant
 * @name: name of the tenant
 * @limit: its limit at each gate, 0 for none
 * @calls_per_s: calls a second outside the overload
 * @overload_calls_per_s: calls a second during the overload
 * @service_us: mean service time, 0 for SIM_SERVICE_US
 * @deadline_us: how long its callers wait, 0 as the options say
 */
typedef struct
{
  const char *name;
  uint32_t limit;
  double calls_per_s;
  double overload_calls_per_s;
  uint64_t service_us;
  uint64_t deadline_us;
} sim_tenant_t;

/**
 * struct sim_options_t - one run
 * @server: what is measured
 * @newest_first: as in sgr_gate_options_t
 * @limits_model: as in sgr_gate_options_t
 * @retry_percent: retry budget of the entry
 * @targets: number of targets
 * @slots: slots of each
 * @queue_max: queue of each gate
 * @repeats: how often a caller repeats a call that failed or timed out
 * @deadline_us: how long a caller waits for one call
 * @overload_begin_us: begin of the overload
 * @overload_end_us: its end
 * @end_us: end of the run
 * @seed: seed
 * @tenants: the tenants, SIM_TENANTS at most; the rest has no name
 */
typedef struct
{
  sim_server_t server;
  bool newest_first;
  sgr_limits_model_t limits_model;
  uint32_t retry_percent;
  uint32_t targets;
  uint32_t slots;
  uint32_t queue_max;
  uint32_t repeats;
  uint64_t deadline_us;
  uint64_t overload_begin_us;
  uint64_t overload_end_us;
  uint64_t end_us;
  uint64_t seed;
  sim_tenant_t tenants[SIM_TENANTS];
} sim_options_t;

/**
 * struct sim_tenant_result_t - what became of the calls of one tenant during the overload
 * @offered: calls begun
 * @answered: calls answered in time
 * @latency: their latencies
 */
typedef struct
{
  uint64_t offered;
  uint64_t answered;
  sgr_histogram_t latency;
} sim_tenant_result_t;

/**
 * struct sim_result_t - what a run measured
 * @goodput: calls answered in time, by time of the answer in steps of SIM_BUCKET_US
 * @busy_us: slot time used during the overload
 * @executions: requests that targets ran
 * @attempts: attempts sent to gates or queues
 * @tenants: by tenant
 */
typedef struct
{
  uint64_t goodput[SIM_BUCKETS];
  uint64_t busy_us;
  uint64_t executions;
  uint64_t attempts;
  sim_tenant_result_t tenants[SIM_TENANTS];
} sim_result_t;

/* Mean service time; the least is half of it and the rest is exponential. */
#define SIM_SERVICE_US 10000

/** sim_overload_run() - run in virtual time */
void sim_overload_run (const sim_options_t *options, sim_result_t *result);

#endif
