#ifndef SGR_POLICY_H
#define SGR_POLICY_H

#include "types.h"

#define SGR_POLICY_LIMITS_MAX 32
#define SGR_POLICY_NOT_RUN_STATUSES_MAX 8
#define SGR_POLICY_PATH_MAX 1023
/* Highest limits for cold targets. A gate keeps 8 bytes for each start of the last second. */
#define SGR_POLICY_COLD_START_MAX_MS 3600000
#define SGR_POLICY_COLD_CALLS_MAX 10000

/**
 * struct sgr_policy_limit_t - limit of the requests in flight of one tenant or class at one gate
 * @name: name of the tenant or class
 * @in_flight: limit, at least 1
 */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  uint32_t in_flight;
} sgr_policy_limit_t;

/**
 * enum sgr_policy_idempotency_t - which requests may run more than once
 * @SGR_IDEMPOTENCY_BY_METHOD: requests whose method is idempotent according to HTTP
 * @SGR_IDEMPOTENCY_ALWAYS: every request of the service
 * @SGR_IDEMPOTENCY_NEVER: no request of the service
 */
typedef enum
{
  SGR_IDEMPOTENCY_BY_METHOD = 0,
  SGR_IDEMPOTENCY_ALWAYS,
  SGR_IDEMPOTENCY_NEVER,
} sgr_policy_idempotency_t;

/**
 * struct sgr_policy_t - how one service is served; part of the configuration that the co-owners
 * agreed on
 * @service: name of the service
 * @idempotency: which requests may run more than once
 * @deadline_ms: deadline of a call whose caller sets none, milliseconds
 * @slots_percent: percentage of a target's slots that its gate uses; targets that slow down when
 *   they are nearly full complete more requests if fewer run at a time
 * @queue_max: most requests that wait in the queue of a gate
 * @attempts_max: most attempts of one call, the first included
 * @retry_percent: retries and hedges allowed per 100 requests, in a window of 10 s
 * @hedge_percentile: latency percentile after which an idempotent call is hedged, 0 for never
 * @not_run_status: HTTP statuses by which a target reports that it did not run the request
 * @not_run_status_count: used entries of @not_run_status
 * @tenant_limits: limits by tenant, within the target's slots
 * @tenant_limit_count: used entries of @tenant_limits
 * @class_limits: limits by class, within the target's slots
 * @class_limit_count: used entries of @class_limits
 * @tenant_limit_default: limit of a tenant that is not in @tenant_limits, 0 for none
 * @probe_calls_per_s: budget for active probes of all targets of the service, calls per second
 * @probe_bytes_per_s: budget for active probes of all targets of the service, bytes per second
 * @load_path: path at which a target immediately returns its load, empty if there is none
 * @load_calls_per_s: budget for requests to @load_path at all targets of the service, calls per
 *   second
 * @targets_max: most targets of the service; each gate gets the budgets divided by this number
 * @slow_start_ms: duration of the slow start of a target, milliseconds, 0 for no slow start
 * @eject_percent: percentage of the service's targets that may be ejected at a time
 * @cold_start_ms: time after its start for which a target is cold, milliseconds
 * @cold_calls_per_s: requests per second that a cold target can handle, 0 for no limit
 * @key_store_per_s: maximum number of idempotency keys chosen by callers that a node binds in the
 *   store per second
 */
typedef struct
{
  char service[SGR_NAME_MAX + 1];
  sgr_policy_idempotency_t idempotency;
  uint32_t deadline_ms;
  uint32_t slots_percent;
  uint32_t queue_max;
  uint32_t attempts_max;
  uint32_t retry_percent;
  uint32_t hedge_percentile;
  uint16_t not_run_status[SGR_POLICY_NOT_RUN_STATUSES_MAX];
  uint32_t not_run_status_count;
  sgr_policy_limit_t tenant_limits[SGR_POLICY_LIMITS_MAX];
  uint32_t tenant_limit_count;
  sgr_policy_limit_t class_limits[SGR_POLICY_LIMITS_MAX];
  uint32_t class_limit_count;
  uint32_t tenant_limit_default;
  uint32_t probe_calls_per_s;
  uint32_t probe_bytes_per_s;
  char load_path[SGR_POLICY_PATH_MAX + 1];
  uint32_t load_calls_per_s;
  uint32_t targets_max;
  uint32_t slow_start_ms;
  uint32_t eject_percent;
  uint32_t cold_start_ms;
  uint32_t cold_calls_per_s;
  uint32_t key_store_per_s;
} sgr_policy_t;

/**
 * sgr_policy_init() - set the default policy of a service
 * @policy: receives the policy
 * @service: name of the service; cut after SGR_NAME_MAX bytes
 */
void sgr_policy_init (sgr_policy_t *policy, const char *service);

#endif
