#include <string.h>

#include "control_config.h"
#include "control_evacuation.h"
#include "control_internal.h"

sgr_snapshot_t *
sgr_control_snapshot_build (sgr_control_t *control)
{
  const sgr_config_state_t *state = sgr_control_config_state (control->config);
  uint64_t revision = sgr_config_state_revision (state);
  size_t policies = sgr_config_state_service_count (state), route_count;
  const sgr_route_t *routes = sgr_config_state_routes (state, &route_count);
  const sgr_config_accounts_t *accounts = sgr_config_state_accounts (state);
  sgr_snapshot_t *snapshot;

  /* Thousands of routes or keys would make each snapshot megabytes large. */
  if (control->snapshot_revision == revision)
    {
      route_count = 0;
      accounts = NULL;
    }
  control->snapshot_revision = revision;
  snapshot = sgr_snapshot_create (control->member_count, policies, route_count);
  snapshot->config_revision = revision;
  if (revision > 0)
    {
      const sgr_config_content_t *content = sgr_config_state_record (state)->content;

      snapshot->has_accounts = content->accounts.is_in_use;
      snapshot->has_hidden_routes = content->has_hidden_routes;
      snapshot->has_hidden_keys = content->has_hidden_keys;
    }
  snapshot->local = control->announce.local;
  snapshot->local.state = sgr_control_target_state (control);
  if (control->evacuation != NULL)
    snapshot->evacuation = *sgr_control_evacuation_set (control->evacuation);
  /* Nodes without a target are included: a gate that has restarted is queried for open attempts
     before its target has announced itself again. */
  if (control->member_count > 0)
    memcpy (snapshot->members, control->members, control->member_count * sizeof *snapshot->members);
  snapshot->member_count = control->member_count;
  snapshot->fleet_size = control->fleet.is_known ? control->fleet.size : 0;
  snapshot->newest_revision = control->newest_revision;
  snapshot->newest_seen_us = control->newest_seen_us;
  for (size_t i = 0; i < policies; i++)
    snapshot->policies[snapshot->policy_count++] = *sgr_config_state_service_at (state, i);
  for (size_t i = 0; i < route_count; i++)
    sgr_route_copy (&snapshot->routes[i], &routes[i]);
  snapshot->route_count = route_count;
  if (accounts != NULL && accounts->is_in_use)
    sgr_snapshot_accounts_set (snapshot, accounts->list, accounts->count, accounts->keys,
                               accounts->key_count);
  return snapshot;
}
