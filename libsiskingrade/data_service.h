#ifndef SGR_DATA_SERVICE_H
#define SGR_DATA_SERVICE_H

#include "data_internal.h"
#include "share_throttle.h"

/**
 * struct sgr_data_service_t - state of one service at this entry
 * @policy: policy of the service
 * @balancer: balancer among the targets of the service
 * @retry_budget: retry budget of the service at this entry
 * @throttle: refuses calls of accounts beyond their shares, NULL before the first call of an
 * account
 * @latency: latencies of all complete calls, for the delay of hedges
 * @series: latency histograms, by hash of tenant and class
 * @answer_sizes: moving averages of the answer sizes in bytes, by hash of the class
 * @is_present: the configuration has the service; a removed service is kept for its open calls
 */
struct sgr_data_service_t
{
  sgr_policy_t policy;
  sgr_balancer_t *balancer;
  sgr_retry_budget_t retry_budget;
  sgr_share_throttle_t *throttle;
  sgr_histogram_t latency;
  sgr_id_map_t *series;
  sgr_id_map_t *answer_sizes;
  bool is_present;
};

sgr_data_services_t *sgr_data_services_create (sgr_data_task_t *task);
void sgr_data_services_destroy (sgr_data_services_t *services);

/**
 * sgr_data_services_update() - apply the policies and targets of the task's snapshot
 * @services: the services
 * @previous: snapshot that was applied before, NULL for none
 * @now_us: the time, monotonic, microseconds
 */
void sgr_data_services_update (sgr_data_services_t *services, const sgr_snapshot_t *previous,
                               uint64_t now_us);

/**
 * sgr_data_service_latency_record() - record the latency of a complete call
 * @service: the service
 * @metrics: metrics registry of the task
 * @tenant: tenant of the call
 * @class_name: class of the call
 * @latency_us: time from the arrival of the call to the end of its answer, microseconds
 *
 * Callers choose the names of tenants and classes, so the number of histograms is limited: the
 * first 64 pairs of tenant and class have one each, all others share one.
 */
void sgr_data_service_latency_record (sgr_data_service_t *service, sgr_metrics_t *metrics,
                                      const char *tenant, const char *class_name,
                                      uint64_t latency_us);

/** sgr_data_services_load_report_apply() - apply a load report that a gate sent independently of an
 * attempt */
void sgr_data_services_load_report_apply (sgr_data_services_t *services, sgr_node_id_t node,
                                          const Sgr__Pb__LoadReport *message);

/**
 * sgr_data_services_link_rtt_set() - pass a measured round-trip time to a gate to the balancer
 * @services: the services
 * @node: node of the gate; ignored if it is in this node's failure domain
 * @rtt_us: round-trip time, microseconds
 */
void sgr_data_services_link_rtt_set (sgr_data_services_t *services, sgr_node_id_t node,
                                     uint64_t rtt_us);

/**
 * sgr_data_services_metrics_set() - set the metrics of the services
 *
 * These are the balancer events, summed over all services, and the serving targets of each service.
 */
void sgr_data_services_metrics_set (const sgr_data_services_t *services, sgr_metrics_t *metrics);

/** sgr_data_service_find() - find a service by name; NULL if the configuration does not have it */
sgr_data_service_t *sgr_data_service_find (sgr_data_services_t *services, const char *name);

/**
 * sgr_data_services_regions() - regions of the members that this node has seen; their bits are
 * those of the targets in the balancers
 */
const sgr_region_table_t *sgr_data_services_regions (const sgr_data_services_t *services);

/**
 * sgr_data_service_pick() - choose a target
 * @service: the service
 * @now_us: the time, monotonic, microseconds
 * @excluded: nodes whose targets are not chosen
 * @count: elements of @excluded, at most SGR_CALL_ATTEMPTS_MAX
 * @call: size, time and regions of the call
 * @node: receives the node of the target
 * @should_wait: receives whether the attempt should wait if the target is slowed, see
 *   sgr_balancer_should_wait(); may be NULL
 *
 * Return: balancer handle of the target, SGR_BALANCER_TARGET_NONE if no target is eligible.
 */
sgr_balancer_target_t sgr_data_service_pick (sgr_data_service_t *service, uint64_t now_us,
                                             const sgr_node_id_t *excluded, size_t count,
                                             const sgr_balancer_call_t *call, sgr_node_id_t *node,
                                             bool *should_wait);

/** sgr_data_service_answer_bytes_estimate() - average answer size of a class, 0 if unknown */
uint64_t sgr_data_service_answer_bytes_estimate (const sgr_data_service_t *service,
                                                 const char *class_name);

/** sgr_data_service_answer_bytes_record() - add a complete answer to the average of its class */
void sgr_data_service_answer_bytes_record (sgr_data_service_t *service, const char *class_name,
                                           uint64_t bytes);

#endif
