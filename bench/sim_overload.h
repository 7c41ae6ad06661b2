#ifndef SGR_SIM_OVERLOAD_H
#define SGR_SIM_OVERLOAD_H

#include "gate.h"
#include "histogram.h"

/**
 * Simulation in virtual time of entries, gates and targets under overload, with the real gate, call
 * plan and retry budget.
 */

/* Goodput is counted in buckets of this length. */
#define SIM_GOODPUT_BUCKET_US (100 * SGR_USEC_PER_MSEC)
#define SIM_GOODPUT_BUCKET_COUNT 120
#define SIM_TENANTS_MAX 3

/**
 * enum sim_server_t - what queues the requests for each target
 * @SIM_SERVER_FIFO: an unbounded FIFO queue, which also runs requests after their deadline; calls
 *   have one attempt
 * @SIM_SERVER_GATE: a gate; calls follow the call plan with the retry budget of the entry
 */
typedef enum
{
  SIM_SERVER_FIFO = 0,
  SIM_SERVER_GATE,
} sim_server_t;

/**
 * struct sim_tenant_t - calls of one tenant
 * @name: name of the tenant, NULL for none
 * @limit: slots that it may use at each gate, 0 for no limit
 * @calls_per_s: calls a second outside the overload
 * @overload_calls_per_s: calls a second during the overload
 * @service_us: mean service time, 0 for SIM_SERVICE_MEAN_US
 * @deadline_us: how long its callers wait, 0 for the value of the options
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
 * struct sim_options_t - settings of one run
 * @server: what queues the requests for each target
 * @newest_first: order of the queue of the gate, as in sgr_gate_options_t
 * @limits_model: how the gate applies tenant limits, as in sgr_gate_options_t
 * @retry_percent: retries that the retry budget of the entry allows per 100 successful calls
 * @targets: number of targets
 * @slots: slots of each target
 * @queue_max: most attempts in the queue of each gate
 * @repeats: how often a caller sends a call again that failed or timed out
 * @deadline_us: how long a caller waits for one call, microseconds
 * @overload_begin_us: start of the overload
 * @overload_end_us: end of the overload
 * @end_us: end of the arrival of calls
 * @seed: seed of all random choices
 * @tenants: the tenants; entries without a name are not used
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
  sim_tenant_t tenants[SIM_TENANTS_MAX];
} sim_options_t;

/**
 * struct sim_tenant_result_t - calls of one tenant that began during the overload
 * @offered: number of these calls
 * @answered: number of those that were answered before their deadline
 * @latency: latencies of the answered calls, microseconds
 */
typedef struct
{
  uint64_t offered;
  uint64_t answered;
  sgr_histogram_t latency;
} sim_tenant_result_t;

/**
 * struct sim_result_t - measurements of one run
 * @goodput: calls answered before their deadline, by the time of the answer in buckets of
 *   SIM_GOODPUT_BUCKET_US
 * @busy_us: total time for which the requests that ended during the overload held their slots
 * @executions: requests that targets ran
 * @attempts: attempts sent to gates or FIFO queues
 * @tenants: measurements by tenant
 */
typedef struct
{
  uint64_t goodput[SIM_GOODPUT_BUCKET_COUNT];
  uint64_t busy_us;
  uint64_t executions;
  uint64_t attempts;
  sim_tenant_result_t tenants[SIM_TENANTS_MAX];
} sim_result_t;

/* Default mean service time. Half of it is the same for all attempts. The other half is the mean of
   a random, exponentially distributed part. */
#define SIM_SERVICE_MEAN_US 10000

/**
 * sim_overload_run() - simulate one run
 * @options: settings; equal settings give equal results
 * @result: receives the measurements
 */
void sim_overload_run (const sim_options_t *options, sim_result_t *result);

#endif
