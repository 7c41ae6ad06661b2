#ifndef SGR_POLICY_H
#define SGR_POLICY_H

#include "types.h"

#define SGR_POLICY_LIMITS_MAX 32
#define SGR_POLICY_STATUS_MAX 8
#define SGR_POLICY_PATH_MAX 127

/**
 * struct sgr_policy_limit_t - most requests in flight for one tenant or class at one gate
 * @name: tenant or class
 * @in_flight: limit, at least 1
 */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  uint32_t in_flight;
} sgr_policy_limit_t;

/**
 * enum sgr_policy_idempotency_t - which requests may run more than once
 * @SGR_IDEMPOTENCY_BY_METHOD: as HTTP defines it for the method
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
 * struct sgr_policy_t - how one service is served; part of the agreed configuration
 * @service: name of the service
 * @idempotency: which requests may be repeated
 * @deadline_ms: deadline of a call that brings none
 * @slots_percent: share of a target's slots that its gate uses; targets that slow down when they
 * are nearly full serve more with fewer requests at a time
 * @queue_max: requests that may wait at a gate
 * @attempts_max: attempts of one call, the first included
 * @retry_percent: retries and hedges per 100 successful calls
 * @hedge_percentile: latency percentile after which an idempotent call is hedged, 0 for never
 * @not_run_status: HTTP statuses by which a target says that it did not run the request
 * @not_run_status_count: used entries of @not_run_status
 * @tenant_limits: limits by tenant, under the target's slots
 * @tenant_limit_count: used entries of @tenant_limits
 * @class_limits: limits by class, under the target's slots
 * @class_limit_count: used entries of @class_limits
 * @tenant_limit_default: limit of a tenant that is not listed, 0 for none
 * @probe_calls_per_s: budget of active probes of the whole service, calls a second
 * @probe_bytes_per_s: budget of active probes of the whole service, bytes a second
 * @load_path: path that a target answers at once with its load, empty for none
 * @load_calls_per_s: budget of the whole service for calls to that path, calls a second
 * @targets_max: most targets of the service; the divisor of the budgets
 * @slow_start_ms: ramp of a target that starts cold
 * @eject_percent: most targets of the service that may be ejected at a time
 * @key_store_per_s: callers' own idempotency keys that one node may bind in the store a second
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
  uint16_t not_run_status[SGR_POLICY_STATUS_MAX];
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
  uint32_t key_store_per_s;
} sgr_policy_t;

/**
 * sgr_policy_init() - set the defaults of a service
 * @policy: the policy
 * @service: name of the service, at most SGR_NAME_MAX bytes
 */
void sgr_policy_init (sgr_policy_t *policy, const char *service);

#endif
