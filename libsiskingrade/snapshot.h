#ifndef SGR_SNAPSHOT_H
#define SGR_SNAPSHOT_H

#include "member.h"
#include "result.h"
#include "route.h"

/**
 * struct sgr_snapshot_local_t - the target that announced itself to this node
 * @service: its service, empty if no target is announced
 * @instance: name of this life of the target, empty if it did not tell
 * @address: where it takes requests
 * @state: its state
 * @slots: requests that it may run at a time
 * @connections: connections that it may have
 * @probe_path: path that answers probes, empty if the target has none
 */
typedef struct
{
  char service[SGR_NAME_MAX + 1];
  char instance[SGR_NAME_MAX + 1];
  sgr_address_t address;
  sgr_target_state_t state;
  uint32_t slots;
  uint32_t connections;
  char probe_path[SGR_NAME_MAX + 1];
} sgr_snapshot_local_t;

/**
 * struct sgr_snapshot_t - what the data task knows of the rest; sent whole from the control task,
 * which keeps no access to it
 * @local: the local target
 * @members: nodes with a target, this node included
 * @member_count: entries of @members
 * @config_revision: revision of the configuration, 0 if none is known
 * @policies: services of the configuration
 * @policy_count: entries of @policies
 * @routes: routes of the configuration
 * @route_count: entries of @routes
 */
typedef struct
{
  sgr_snapshot_local_t local;
  sgr_member_t *members;
  size_t member_count;
  uint64_t config_revision;
  sgr_policy_t *policies;
  size_t policy_count;
  sgr_route_t *routes;
  size_t route_count;
} sgr_snapshot_t;

/**
 * sgr_snapshot_create() - an empty snapshot
 * @members: room for members
 * @policies: room for policies
 * @routes: room for routes
 */
sgr_snapshot_t *sgr_snapshot_create (size_t members, size_t policies, size_t routes);

/** sgr_snapshot_destroy() - free a snapshot; NULL is allowed */
void sgr_snapshot_destroy (sgr_snapshot_t *snapshot);

#endif
