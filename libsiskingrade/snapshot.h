#ifndef SGR_SNAPSHOT_H
#define SGR_SNAPSHOT_H

#include "account.h"
#include "evacuation.h"
#include "member.h"
#include "result.h"
#include "route.h"

/**
 * struct sgr_local_target_t - the local target, which announced itself to this node
 * @service: service of the target, empty if no target is registered
 * @instance: name of the instance, empty if not given
 * @address: address where the target accepts requests
 * @state: state of the target
 * @slots: requests that the target may run at a time
 * @connections: connections that the gate may open to the target
 * @probe_path: HTTP path for active probes, empty if the target has none
 * @registered_us: monotonic time at which the instance registered
 * @cold_stated_us: monotonic time of the last announcement that said whether the instance is cold
 * and changed what was known, 0 if none has
 * @cold_until_us: monotonic time until which the instance stays cold according to it, not after
 * @cold_stated_us if it is not cold
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
  uint64_t registered_us;
  uint64_t cold_stated_us;
  uint64_t cold_until_us;
} sgr_local_target_t;

/**
 * struct sgr_snapshot_t - state that the control task hands to the data task
 *
 * Each snapshot is complete and replaces the previous one. It belongs to the data task once it is
 * sent; the control task does not access it any more.
 *
 * @local: the local target
 * @members: nodes that are alive or suspect, this node included; the service of a node without a
 *   target is empty
 * @member_count: entries of @members
 * @fleet_size: nodes that may run: those of @members and those that are dead and did not leave; 0
 *   while it is not known, and without accounts
 * @config_revision: revision of the configuration, 0 if none is known
 * @newest_revision: highest revision that this node or one of @members has in force
 * @newest_seen_us: monotonic time at which this node heard of @newest_revision first
 * @evacuation: the evacuated failure domains
 * @policies: policies of the services in the configuration
 * @policy_count: entries of @policies
 * @has_accounts: calls need a key of an account, also if there is no account
 * @has_hidden_routes: see sgr_config_content_t
 * @has_hidden_keys: see sgr_config_content_t
 * @routes: routes of the configuration; empty if the snapshot before had the same revision
 * @route_count: entries of @routes
 * @accounts: client accounts of the configuration; empty if the snapshot before had the same
 *   revision
 * @account_count: entries of @accounts
 * @account_keys: keys of @accounts
 * @account_key_count: entries of @account_keys
 */
typedef struct
{
  sgr_local_target_t local;
  sgr_member_t *members;
  size_t member_count;
  size_t fleet_size;
  uint64_t config_revision;
  uint64_t newest_revision;
  uint64_t newest_seen_us;
  sgr_evacuation_t evacuation;
  sgr_policy_t *policies;
  size_t policy_count;
  bool has_accounts;
  bool has_hidden_routes;
  bool has_hidden_keys;
  sgr_route_t *routes;
  size_t route_count;
  sgr_account_t *accounts;
  size_t account_count;
  sgr_account_key_t *account_keys;
  size_t account_key_count;
} sgr_snapshot_t;

/**
 * sgr_snapshot_create() - create an empty snapshot, without room for accounts
 * @members: number of members to allocate memory for
 * @policies: number of policies to allocate memory for
 * @routes: number of routes to allocate memory for
 */
sgr_snapshot_t *sgr_snapshot_create (size_t members, size_t policies, size_t routes);

/**
 * sgr_snapshot_accounts_set() - put client accounts and their keys into a snapshot without any, and
 * put accounts to use
 * @snapshot: the snapshot
 * @accounts: the accounts, copied
 * @count: entries of @accounts
 * @keys: their keys, copied
 * @key_count: entries of @keys
 */
void sgr_snapshot_accounts_set (sgr_snapshot_t *snapshot, const sgr_account_t *accounts,
                                size_t count, const sgr_account_key_t *keys, size_t key_count);

/** sgr_snapshot_destroy() - free a snapshot; NULL is allowed */
void sgr_snapshot_destroy (sgr_snapshot_t *snapshot);

#endif
