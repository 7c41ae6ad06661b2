#include "data_service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "log.h"

/* Initial estimates of the round trip to a gate; the balancer then measures the latency itself. */
#define LINK_RTT_SAME_DOMAIN_US 200
#define LINK_RTT_SAME_REGION_US 8000
#define LINK_RTT_OTHER_REGION_US 60000
/* Maximum number of latency histograms of a service by tenant and class, and of its average answer
   sizes by class. Callers choose these names, so memory has to be limited. */
#define SERIES_MAX 64
/* Weight of the latest answer in the exponential moving average of answer sizes. */
#define ANSWER_SIZE_WEIGHT (1.0 / 16)

struct sgr_data_services_t
{
  sgr_data_task_t *task;
  sgr_data_service_t **list;
  size_t count;
  sgr_region_table_t regions;
  bool is_region_table_full;
};

sgr_data_services_t *
sgr_data_services_create (sgr_data_task_t *task)
{
  sgr_data_services_t *services = calloc (1, sizeof *services);

  sgr_invariant (services != NULL);
  services->task = task;
  return services;
}

static void
service_destroy (sgr_data_service_t *service)
{
  double *size;
  size_t cursor = 0;

  sgr_balancer_destroy (service->balancer);
  sgr_id_map_destroy (service->series);
  while ((size = sgr_id_map_next (service->answer_sizes, &cursor)) != NULL)
    free (size);
  sgr_id_map_destroy (service->answer_sizes);
  sgr_share_throttle_destroy (service->throttle);
  free (service);
}

void
sgr_data_services_destroy (sgr_data_services_t *services)
{
  if (services == NULL)
    return;
  for (size_t i = 0; i < services->count; i++)
    service_destroy (services->list[i]);
  free (services->list);
  free (services);
}

/* Position of a service in the list, which is sorted by name, or the position to insert it at. */
static size_t
service_position (const sgr_data_services_t *services, const char *name, bool *is_found)
{
  size_t low = 0;
  size_t high = services->count;

  *is_found = false;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      int order = strcmp (services->list[middle]->policy.service, name);

      if (order == 0)
        {
          *is_found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Finds a service by name, also one that the configuration no longer has. */
static sgr_data_service_t *
service_find_with_removed (sgr_data_services_t *services, const char *name)
{
  bool is_found;
  size_t position = service_position (services, name, &is_found);

  return is_found ? services->list[position] : NULL;
}

sgr_data_service_t *
sgr_data_service_find (sgr_data_services_t *services, const char *name)
{
  sgr_data_service_t *service = service_find_with_removed (services, name);

  return service != NULL && service->is_present ? service : NULL;
}

static sgr_balancer_options_t
balancer_options (const sgr_data_task_t *task, const sgr_policy_t *policy, uint64_t seed)
{
  return (sgr_balancer_options_t){ .policy = SGR_BALANCER_LOAD_LATENCY,
                                   .seed = seed,
                                   .slow_start_us = policy->slow_start_ms * SGR_USEC_PER_MSEC,
                                   .eject_percent = policy->eject_percent,
                                   .far_us_per_kib = (uint32_t)task->settings->far_us_per_kib,
                                   .remote_us_per_kib = (uint32_t)task->settings->remote_us_per_kib,
                                   .is_spill_late_only = task->settings->region_count > 1,
                                   .far_set_seed = task->node,
                                   .cold_calls_per_s = policy->cold_calls_per_s,
                                   .cold_start_us = policy->cold_start_ms * SGR_USEC_PER_MSEC,
                                   .entry_count = (uint32_t)task->snapshot->member_count };
}

static sgr_data_service_t *
service_add (sgr_data_services_t *services, const sgr_policy_t *policy)
{
  sgr_balancer_options_t options
      = balancer_options (services->task, policy, sgr_rng_next (&services->task->rng));
  sgr_data_service_t *service = calloc (1, sizeof *service);
  bool is_found;
  size_t position = service_position (services, policy->service, &is_found);

  sgr_invariant (service != NULL && !is_found);
  service->balancer = sgr_balancer_create (&options);
  sgr_invariant (service->balancer != NULL);
  service->series = sgr_id_map_create ();
  service->answer_sizes = sgr_id_map_create ();
  sgr_retry_budget_init (&service->retry_budget, policy->retry_percent);
  services->list = realloc (services->list, (services->count + 1) * sizeof (sgr_data_service_t *));
  sgr_invariant (services->list != NULL);
  memmove (services->list + position + 1, services->list + position,
           (services->count - position) * sizeof (sgr_data_service_t *));
  services->list[position] = service;
  services->count++;
  return service;
}

static void
policy_apply (sgr_data_services_t *services, const sgr_policy_t *policy)
{
  sgr_data_service_t *service = service_find_with_removed (services, policy->service);
  sgr_balancer_options_t options;

  if (service == NULL)
    service = service_add (services, policy);
  service->policy = *policy;
  service->is_present = true;
  options = balancer_options (services->task, policy, 0);
  sgr_balancer_options_set (service->balancer, &options);
  sgr_retry_budget_percent_set (&service->retry_budget, policy->retry_percent);
}

static uint32_t
link_rtt_initial_us (const sgr_settings_t *settings, const sgr_member_t *member)
{
  if (strcmp (settings->failure_domain, member->failure_domain) == 0)
    return LINK_RTT_SAME_DOMAIN_US;
  if (strcmp (settings->region, member->region) == 0)
    return LINK_RTT_SAME_REGION_US;
  return LINK_RTT_OTHER_REGION_US;
}

/* Returns the bit of a member's region, 0 if there is no room for it. */
static sgr_region_mask_t
member_region (sgr_data_services_t *services, const sgr_member_t *member)
{
  sgr_region_mask_t region
      = sgr_region_table_add (&services->regions, sgr_region_id_of (member->region));

  if (region == 0 && member->region[0] != '\0' && !services->is_region_table_full)
    {
      services->is_region_table_full = true;
      sgr_log_warn ("regions-full", "region=%s max=%d", member->region, SGR_REGIONS_MAX);
    }
  return region;
}

const sgr_region_table_t *
sgr_data_services_regions (const sgr_data_services_t *services)
{
  return &services->regions;
}

static void
member_apply (sgr_data_services_t *services, const sgr_member_t *member, uint64_t now_us)
{
  sgr_data_service_t *service = sgr_data_service_find (services, member->service);
  sgr_balancer_target_info_t info = { .node = member->id,
                                      .slots = member->slots > 0 ? member->slots : 1,
                                      .state = member->target_state };
  const sgr_balancer_target_info_t *known;
  sgr_balancer_target_t target;

  if (service == NULL)
    return;
  memcpy (info.failure_domain, member->failure_domain, sizeof info.failure_domain);
  info.is_far = sgr_data_member_is_far (services->task, member);
  info.is_remote = strcmp (services->task->settings->region, member->region) != 0;
  info.region = member_region (services, member);
  info.link_rtt_us = link_rtt_initial_us (services->task->settings, member);
  target = sgr_balancer_target_find (service->balancer, member->id);
  known = sgr_balancer_target_info (service->balancer, target);
  if (known != NULL)
    {
      bool has_started_serving
          = known->state != SGR_TARGET_SERVING && info.state == SGR_TARGET_SERVING;

      /* It may have been measured since. */
      info.link_rtt_us = known->link_rtt_us;
      info.serving_since_us = has_started_serving ? now_us : known->serving_since_us;
      sgr_balancer_target_update (service->balancer, now_us, target, &info);
      return;
    }
  /* The targets in the first snapshot get no slow start, because they were running before this node
     started. */
  info.serving_since_us = services->task->had_snapshot ? now_us : 0;
  sgr_balancer_target_add (service->balancer, now_us, &info, &target);
}

/* Keeps the service of nodes that restarted and have not announced a target yet. The load reports
   of such a node may already show that its target serves, before its announcement spreads. */
static void
restarted_services_keep (sgr_data_services_t *services, const sgr_snapshot_t *previous)
{
  const sgr_snapshot_t *snapshot = services->task->snapshot;

  for (size_t i = 0, j = 0; previous != NULL && i < snapshot->member_count; i++)
    {
      sgr_member_t *member = &snapshot->members[i];

      while (j < previous->member_count && previous->members[j].id < member->id)
        j++;
      if (j < previous->member_count && previous->members[j].id == member->id
          && member->service[0] == '\0')
        memcpy (member->service, previous->members[j].service, sizeof member->service);
    }
}

/* Lets targets of evacuated failure domains count as draining, also while their nodes announce
   another state because they do not know of the evacuation. When the evacuation ends, the state of
   their nodes counts again, and targets that serve get a slow start. */
static void
evacuated_targets_mark (sgr_data_services_t *services)
{
  sgr_snapshot_t *snapshot = services->task->snapshot;

  for (size_t i = 0; snapshot->evacuation.count > 0 && i < snapshot->member_count; i++)
    {
      sgr_member_t *member = &snapshot->members[i];

      if (member->target_state != SGR_TARGET_LEFT
          && sgr_evacuation_has (&snapshot->evacuation, member->failure_domain))
        member->target_state = SGR_TARGET_DRAINING;
    }
}

/* Removes targets of the previous snapshot that are no longer members of their service. */
static void
departed_targets_remove (sgr_data_services_t *services, const sgr_snapshot_t *previous)
{
  for (size_t i = 0; previous != NULL && i < previous->member_count; i++)
    {
      const sgr_member_t *member = &previous->members[i];
      const sgr_member_t *current = sgr_data_member_find (services->task, member->id);
      sgr_data_service_t *service = service_find_with_removed (services, member->service);

      if (service == NULL || (current != NULL && strcmp (current->service, member->service) == 0))
        continue;
      sgr_balancer_target_remove (service->balancer,
                                  sgr_balancer_target_find (service->balancer, member->id));
    }
}

void
sgr_data_services_update (sgr_data_services_t *services, const sgr_snapshot_t *previous,
                          uint64_t now_us)
{
  const sgr_snapshot_t *snapshot = services->task->snapshot;

  for (size_t i = 0; i < services->count; i++)
    services->list[i]->is_present = false;
  for (size_t i = 0; i < snapshot->policy_count; i++)
    policy_apply (services, &snapshot->policies[i]);
  restarted_services_keep (services, previous);
  evacuated_targets_mark (services);
  departed_targets_remove (services, previous);
  for (size_t i = 0; i < snapshot->member_count; i++)
    member_apply (services, &snapshot->members[i], now_us);
}

sgr_balancer_target_t
sgr_data_service_pick (sgr_data_service_t *service, uint64_t now_us, const sgr_node_id_t *excluded,
                       size_t count, const sgr_balancer_call_t *call, sgr_node_id_t *node,
                       bool *should_wait)
{
  sgr_balancer_target_t excluded_targets[SGR_CALL_ATTEMPTS_MAX];
  sgr_balancer_target_t target;

  sgr_invariant (count <= SGR_CALL_ATTEMPTS_MAX);
  for (size_t i = 0; i < count; i++)
    excluded_targets[i] = sgr_balancer_target_find (service->balancer, excluded[i]);
  target = sgr_balancer_pick_for_call (service->balancer, now_us, excluded_targets, count, call);
  if (target != SGR_BALANCER_TARGET_NONE)
    *node = sgr_balancer_target_info (service->balancer, target)->node;
  if (should_wait != NULL)
    *should_wait = sgr_balancer_should_wait (service->balancer, target, excluded_targets, count,
                                             call->bytes);
  return target;
}

uint64_t
sgr_data_service_answer_bytes_estimate (const sgr_data_service_t *service, const char *class_name)
{
  const double *size
      = sgr_id_map_get (service->answer_sizes, XXH64 (class_name, strlen (class_name), 0));

  return size != NULL ? (uint64_t)*size : 0;
}

void
sgr_data_service_answer_bytes_record (sgr_data_service_t *service, const char *class_name,
                                      uint64_t bytes)
{
  uint64_t key = XXH64 (class_name, strlen (class_name), 0);
  double *size = sgr_id_map_get (service->answer_sizes, key);

  if (size == NULL)
    {
      if (sgr_id_map_count (service->answer_sizes) >= SERIES_MAX)
        return;
      size = malloc (sizeof *size);
      sgr_invariant (size != NULL);
      *size = (double)bytes;
      sgr_id_map_put (service->answer_sizes, key, size);
    }
  *size += ANSWER_SIZE_WEIGHT * ((double)bytes - *size);
}

static uint64_t
latency_series_key (const char *tenant, const char *class_name)
{
  return XXH64 (class_name, strlen (class_name), XXH64 (tenant, strlen (tenant), 0));
}

static sgr_histogram_t *
latency_series_add (sgr_data_service_t *service, sgr_metrics_t *metrics, const char *tenant,
                    const char *class_name)
{
  char labels[3 * SGR_NAME_MAX + 64];
  sgr_histogram_t *histogram;

  snprintf (labels, sizeof labels, "service=\"%s\",tenant=\"%s\",class=\"%s\"",
            service->policy.service, tenant, class_name);
  histogram = sgr_metrics_histogram (metrics, "siskingrade_call_seconds", labels);
  sgr_id_map_put (service->series, latency_series_key (tenant, class_name), histogram);
  return histogram;
}

void
sgr_data_service_latency_record (sgr_data_service_t *service, sgr_metrics_t *metrics,
                                 const char *tenant, const char *class_name, uint64_t latency_us)
{
  sgr_histogram_t *histogram
      = sgr_id_map_get (service->series, latency_series_key (tenant, class_name));

  if (histogram == NULL && sgr_id_map_count (service->series) >= SERIES_MAX)
    {
      tenant = "other";
      class_name = "other";
      histogram = sgr_id_map_get (service->series, latency_series_key (tenant, class_name));
    }
  if (histogram == NULL)
    histogram = latency_series_add (service, metrics, tenant, class_name);
  sgr_histogram_record (histogram, latency_us);
  sgr_histogram_record (&service->latency, latency_us);
}

void
sgr_data_services_load_report_apply (sgr_data_services_t *services, sgr_node_id_t node,
                                     const Sgr__Pb__LoadReport *message)
{
  const sgr_member_t *member = sgr_data_member_find (services->task, node);
  sgr_data_service_t *service
      = member != NULL ? sgr_data_service_find (services, member->service) : NULL;
  sgr_load_report_t report;

  if (service == NULL)
    return;
  sgr_frame_load_get (message, &report);
  sgr_balancer_report_update (service->balancer, sgr_clock_monotonic_us (),
                              sgr_balancer_target_find (service->balancer, node), &report);
}

void
sgr_data_services_link_rtt_set (sgr_data_services_t *services, sgr_node_id_t node, uint64_t rtt_us)
{
  const sgr_member_t *member = sgr_data_member_find (services->task, node);
  sgr_data_service_t *service
      = member != NULL ? sgr_data_service_find (services, member->service) : NULL;

  if (service != NULL && sgr_data_member_is_far (services->task, member))
    sgr_balancer_link_rtt_set (
        service->balancer, sgr_balancer_target_find (service->balancer, node), (uint32_t)rtt_us);
}

/* Sets the number of serving targets of each service, according to the snapshot. Passes over the
   members only once, since it runs every second on the thread that handles calls. */
static void
targets_gauge_set (const sgr_data_services_t *services, sgr_metrics_t *metrics)
{
  const sgr_snapshot_t *snapshot = services->task->snapshot;
  uint64_t *serving = calloc (services->count + 1, sizeof *serving);

  sgr_invariant (serving != NULL);
  for (size_t i = 0; snapshot != NULL && i < snapshot->member_count; i++)
    {
      bool is_found;
      size_t position = service_position (services, snapshot->members[i].service, &is_found);

      if (is_found && snapshot->members[i].target_state == SGR_TARGET_SERVING)
        serving[position]++;
    }
  for (size_t i = 0; i < services->count; i++)
    {
      char labels[SGR_NAME_MAX + 16];

      snprintf (labels, sizeof labels, "service=\"%s\"", services->list[i]->policy.service);
      sgr_counter_set (sgr_metrics_counter (metrics, "siskingrade_targets", labels), serving[i]);
    }
  free (serving);
}

void
sgr_data_services_metrics_set (const sgr_data_services_t *services, sgr_metrics_t *metrics)
{
  targets_gauge_set (services, metrics);
  for (int reason = 0; reason < SGR_BALANCER_EVENT_COUNT; reason++)
    {
      uint64_t sum = 0;
      char labels[64];

      for (size_t i = 0; i < services->count; i++)
        sum += sgr_balancer_event_count (services->list[i]->balancer, (sgr_balancer_event_t)reason);
      snprintf (labels, sizeof labels, "event=\"%s\"",
                sgr_balancer_event_name ((sgr_balancer_event_t)reason));
      sgr_counter_set (sgr_metrics_counter (metrics, "siskingrade_balancer_events_total", labels),
                       sum);
    }
}
