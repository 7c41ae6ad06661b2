#ifndef SGR_DATA_SERVICE_H
#define SGR_DATA_SERVICE_H

#include "data_internal.h"

/**
 * struct sgr_data_service_t - one service as this entry node uses it
 * @policy: policy in force
 * @balancer: targets of the service
 * @retries: retry budget
 * @latency: latency of complete calls, for the delay of hedges
 * @series: latency histograms by hash of tenant and class
 * @sizes: usual sizes of answers by hash of the class
 */
struct sgr_data_service_t
{
  sgr_policy_t policy;
  sgr_balancer_t *balancer;
  sgr_retry_budget_t retries;
  sgr_histogram_t latency;
  sgr_id_map_t *series;
  sgr_id_map_t *sizes;
  bool is_present;
};

sgr_data_services_t *sgr_data_services_create (sgr_data_task_t *task);
void sgr_data_services_destroy (sgr_data_services_t *services);

/** sgr_data_services_update() - take over the policies and targets of the task's snapshot; @old is
 * the snapshot before, NULL at first */
void sgr_data_services_update (sgr_data_services_t *services, const sgr_snapshot_t *old,
                               uint64_t now_us);

/**
 * sgr_data_service_latency_record() - count a complete call
 * @service: the service
 * @metrics: registry of the task
 * @tenant: tenant of the call
 * @class_name: class of the call
 * @latency_us: time from its arrival to its answer, microseconds
 *
 * Callers choose the names of tenants and classes, so that only a number of them get a histogram of
 * their own; the others share one.
 */
void sgr_data_service_latency_record (sgr_data_service_t *service, sgr_metrics_t *metrics,
                                      const char *tenant, const char *class_name,
                                      uint64_t latency_us);

/** sgr_data_services_report() - take over a load report of a gate that came without an attempt */
void sgr_data_services_report (sgr_data_services_t *services, sgr_node_id_t node,
                               const Sgr__Pb__LoadReport *message);

/** sgr_data_services_metrics_set() - events of all balancers together, serving targets by service
 */
void sgr_data_services_metrics_set (const sgr_data_services_t *services, sgr_metrics_t *metrics);

/** sgr_data_service_find() - service by name, NULL if the configuration has none */
sgr_data_service_t *sgr_data_service_find (sgr_data_services_t *services, const char *name);

/**
 * sgr_data_service_pick() - choose a target
 * @service: the service
 * @now_us: the time
 * @excluded: nodes to leave out
 * @count: entries of @excluded
 * @bytes: bytes that request and answer are expected to have
 * @node: receives the node
 *
 * Return: handle for the balancer, SGR_BALANCER_TARGET_NONE if there is no target.
 */
sgr_balancer_target_t sgr_data_service_pick (sgr_data_service_t *service, uint64_t now_us,
                                             const sgr_node_id_t *excluded, size_t count,
                                             uint64_t bytes, sgr_node_id_t *node);

/**
 * sgr_data_service_answer_bytes() - usual size of the answers of a class, 0 if unknown
 */
uint64_t sgr_data_service_answer_bytes (const sgr_data_service_t *service, const char *class_name);

/** sgr_data_service_answer_record() - learn from a whole answer */
void sgr_data_service_answer_record (sgr_data_service_t *service, const char *class_name,
                                     uint64_t bytes);

#endif
