/* Distribution of the configuration: store calls by fleet size, time until a change is in force at
   all nodes, memory, and the cost of verifying a change. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <malloc.h>

#include "config_change.h"
#include "config_state.h"
#include "config_sync.h"
#include "timer_heap.h"

#define CHANGES_PER_DAY 1700
#define SERVICE_COUNT 400
#define TENANT_LIMITS_PER_POLICY 8
/* SETTLE_BEFORE_CHANGE_US is the virtual time that passes before the measured change.
   IN_FORCE_TIMEOUT_US is the longest time to wait after the change until it is in force at all
   nodes. */
#define SETTLE_BEFORE_CHANGE_US (120 * SGR_USEC_PER_SEC)
#define IN_FORCE_TIMEOUT_US (60 * SGR_USEC_PER_SEC)
#define SEED_COUNT 5
/* Delays of the modelled network. A call of the store takes STORE_CALL_US, and a fetch of the
   configuration from a peer takes PEER_FETCH_US. Each other node learns the number of a new
   revision by gossip, GOSSIP_MIN_US to GOSSIP_MAX_US after the first node has this revision. */
#define STORE_CALL_US 5000
#define PEER_FETCH_US 20000
#define GOSSIP_MIN_US 100000
#define GOSSIP_MAX_US 1500000

/**
 * struct node_t - one node
 * @sync: its synchronisation with the store and its peers
 * @revision: revision in force
 * @wake_us: when node_run() must run next for the node
 * @is_watching: a watch of the store is open
 * @watch_after_version: the open watch ends when the store has a later version than this
 * @watch_end_us: if nothing changes in the store, the open watch ends at this time
 * @fetch_end_us: when the open fetch from a peer ends, SGR_TIMER_NEVER without one
 * @fetch_peer: the peer that the open fetch reads from
 * @fetch_revision: the revision that the open fetch returns
 * @gossip_due_us: when gossip of a new revision number arrives, SGR_TIMER_NEVER without one
 */
typedef struct
{
  sgr_config_sync_t *sync;
  uint64_t revision;
  uint64_t wake_us;
  bool is_watching;
  uint64_t watch_after_version;
  uint64_t watch_end_us;
  uint64_t fetch_end_us;
  sgr_node_id_t fetch_peer;
  uint64_t fetch_revision;
  uint64_t gossip_due_us;
} node_t;

/**
 * struct fleet_t - all nodes and the store
 * @nodes: the nodes
 * @members: their membership records, in the same order
 * @count: entries of @nodes and @members
 * @domains: number of failure domains
 * @rng: random numbers for the delays of gossip
 * @now_us: virtual time
 * @store_version: version of the configuration in the store
 * @store_ready_us: time from which watches return @store_version
 * @is_store_down: the store does not answer
 * @gossip_source: index of the node that got a revision last; gossip reports the revision of this
 *   node
 */
typedef struct
{
  node_t *nodes;
  sgr_member_t *members;
  size_t count;
  size_t domains;
  sgr_rng_t rng;
  uint64_t now_us;
  uint64_t store_version;
  uint64_t store_ready_us;
  bool is_store_down;
  size_t gossip_source;
} fleet_t;

static void
fleet_init (fleet_t *fleet, size_t count, size_t domains, uint64_t seed)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->count = count;
  fleet->domains = domains;
  fleet->nodes = calloc (count, sizeof *fleet->nodes);
  fleet->members = calloc (count, sizeof *fleet->members);
  sgr_rng_seed (&fleet->rng, seed);
  for (size_t i = 0; i < count; i++)
    {
      sgr_member_t *member = &fleet->members[i];

      snprintf (member->name, sizeof member->name, "node-%zu", i);
      snprintf (member->failure_domain, sizeof member->failure_domain, "fd-%zu", i % domains);
      member->id = sgr_node_id_of (member->name);
      member->control_address = (sgr_address_t){ (uint32_t)i, 1 };
    }
  for (size_t i = 0; i < count; i++)
    {
      sgr_config_sync_options_t options;

      sgr_config_sync_options_init (&options);
      options.self = fleet->members[i].id;
      options.seed = seed + i;
      memcpy (options.failure_domain, fleet->members[i].failure_domain,
              sizeof options.failure_domain);
      fleet->nodes[i].sync = sgr_config_sync_create (&options, 0);
      sgr_config_sync_members_update (fleet->nodes[i].sync, 0, fleet->members, count);
      fleet->nodes[i].gossip_due_us = SGR_TIMER_NEVER;
      fleet->nodes[i].fetch_end_us = SGR_TIMER_NEVER;
    }
}

static void
fleet_release (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    sgr_config_sync_destroy (fleet->nodes[i].sync);
  free (fleet->nodes);
  free (fleet->members);
}

static uint64_t
min_us (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Puts a revision in force at a node. Schedules the arrival of gossip about this revision at each
   node with an older one, except at nodes that already wait for gossip to arrive. */
static void
node_revision_apply (fleet_t *fleet, node_t *node, uint64_t revision)
{
  if (revision <= node->revision)
    return;
  node->revision = revision;
  sgr_config_sync_revision_set (node->sync, fleet->now_us, revision);
  fleet->gossip_source = (size_t)(node - fleet->nodes);
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->nodes[i].revision < revision && fleet->nodes[i].gossip_due_us == SGR_TIMER_NEVER)
      fleet->nodes[i].gossip_due_us = fleet->now_us + GOSSIP_MIN_US
                                      + sgr_rng_below (&fleet->rng, GOSSIP_MAX_US - GOSSIP_MIN_US);
}

/* Handles the events of a node that are due: the arrival of gossip, the end of a fetch and the end
   of a watch. */
static void
node_events_handle (fleet_t *fleet, node_t *node)
{
  if (node->gossip_due_us <= fleet->now_us)
    {
      const sgr_member_t *peer = &fleet->members[fleet->gossip_source];

      node->gossip_due_us = SGR_TIMER_NEVER;
      sgr_config_sync_peer_revision_update (node->sync, fleet->now_us, peer->id,
                                            &peer->control_address,
                                            fleet->nodes[fleet->gossip_source].revision);
    }
  if (node->fetch_end_us <= fleet->now_us)
    {
      node->fetch_end_us = SGR_TIMER_NEVER;
      node_revision_apply (fleet, node, node->fetch_revision);
      sgr_config_sync_fetch_done (node->sync, fleet->now_us, node->fetch_peer, true);
    }
  if (!node->is_watching)
    return;
  if (!fleet->is_store_down && fleet->store_version > node->watch_after_version
      && fleet->store_ready_us <= fleet->now_us)
    {
      node->is_watching = false;
      node_revision_apply (fleet, node, fleet->store_version);
      sgr_config_sync_watch_done (node->sync, fleet->now_us, true,
                                  (sgr_store_version_t){ 0, fleet->store_version }, 0);
    }
  else if (fleet->is_store_down || node->watch_end_us <= fleet->now_us)
    {
      node->is_watching = false;
      sgr_config_sync_watch_done (node->sync, fleet->now_us, !fleet->is_store_down,
                                  (sgr_store_version_t){ 0, node->watch_after_version }, 0);
    }
}

/* Handles the due events of a node, starts its next actions and sets its @wake_us. */
static void
node_run (fleet_t *fleet, node_t *node)
{
  sgr_config_sync_action_t action;
  uint64_t next_us;

  node_events_handle (fleet, node);
  while (sgr_config_sync_next (node->sync, fleet->now_us, &action, &next_us))
    switch (action.kind)
      {
      case SGR_CONFIG_SYNC_WATCH:
        node->is_watching = true;
        node->watch_after_version = action.after.number;
        node->watch_end_us = fleet->now_us + action.wait_ms * SGR_USEC_PER_MSEC;
        break;
      case SGR_CONFIG_SYNC_FETCH:
        node->fetch_end_us = fleet->now_us + PEER_FETCH_US;
        node->fetch_peer = action.peer;
        node->fetch_revision = action.revision;
        break;
      case SGR_CONFIG_SYNC_WATCH_CANCEL:
        node->is_watching = false;
        break;
      case SGR_CONFIG_SYNC_NONE:
        break;
      }
  node->wake_us = min_us (min_us (next_us, node->gossip_due_us), node->fetch_end_us);
  if (node->is_watching)
    {
      node->wake_us = min_us (node->wake_us, node->watch_end_us);
      if (!fleet->is_store_down && fleet->store_version > node->watch_after_version)
        node->wake_us = min_us (node->wake_us, fleet->store_ready_us);
    }
}

/* Advances virtual time until all nodes have @revision, or until @end_us at the latest. With a
   @revision of 0, always runs until @end_us. Returns the virtual time of the end. */
static uint64_t
fleet_run (fleet_t *fleet, uint64_t end_us, uint64_t revision)
{
  while (fleet->now_us < end_us)
    {
      uint64_t next_us = end_us;
      bool all_updated = revision > 0;

      for (size_t i = 0; i < fleet->count; i++)
        {
          node_t *node = &fleet->nodes[i];

          if (node->wake_us <= fleet->now_us
              || (node->is_watching && fleet->store_version > node->watch_after_version)
              || (node->is_watching && fleet->is_store_down)
              || node->gossip_due_us <= fleet->now_us)
            node_run (fleet, node);
          next_us = min_us (next_us, min_us (node->wake_us, node->gossip_due_us));
          all_updated = all_updated && node->revision >= revision;
        }
      if (all_updated)
        return fleet->now_us;
      fleet->now_us = next_us > fleet->now_us ? next_us : fleet->now_us + 1;
    }
  return end_us;
}

/* Returns the number of store calls that all nodes together make in a second. It is an average over
   one hour with evenly spaced changes. */
static double
store_calls_per_s (size_t count, size_t domains)
{
  const uint64_t day_us = 86400 * SGR_USEC_PER_SEC, hour_us = day_us / 24;
  uint64_t calls = 0;
  fleet_t fleet;

  fleet_init (&fleet, count, domains, 1);
  for (int change = 1; change <= CHANGES_PER_DAY / 24; change++)
    {
      fleet.store_version = (uint64_t)change;
      fleet.store_ready_us = fleet.now_us + STORE_CALL_US;
      fleet_run (&fleet, hour_us * (uint64_t)change / (CHANGES_PER_DAY / 24), 0);
    }
  for (size_t i = 0; i < count; i++)
    calls += sgr_config_sync_stats (fleet.nodes[i].sync)->store_calls;
  fleet_release (&fleet);
  return (double)calls / 3600.0;
}

/* Returns the longest time, over several seeds, from the commit of a change until it is in force at
   all nodes, in seconds. With @is_store_down, the store stops answering right after the commit, and
   the other nodes can get the change only from the committing node at first. */
static double
time_until_in_force_s (size_t count, size_t domains, bool is_store_down)
{
  uint64_t start_us = SETTLE_BEFORE_CHANGE_US, longest_us = 0;

  for (uint64_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      fleet_t fleet;
      uint64_t elapsed_us;

      fleet_init (&fleet, count, domains, seed);
      fleet.store_version = 1;
      fleet_run (&fleet, start_us, 0);
      fleet.now_us = start_us;
      fleet.store_version = 2;
      fleet.store_ready_us = start_us + STORE_CALL_US;
      fleet.is_store_down = is_store_down;
      node_revision_apply (&fleet, &fleet.nodes[seed % count], 2);
      elapsed_us = fleet_run (&fleet, start_us + IN_FORCE_TIMEOUT_US, 2) - start_us;
      longest_us = elapsed_us > longest_us ? elapsed_us : longest_us;
      fleet_release (&fleet);
    }
  return (double)longest_us / (double)SGR_USEC_PER_SEC;
}

typedef struct
{
  sgr_config_owners_t owners;
  uint8_t secret_keys[2][crypto_sign_SECRETKEYBYTES];
} owner_keys_t;

static void
owner_keys_init (owner_keys_t *keys)
{
  memset (keys, 0, sizeof *keys);
  strcpy (keys->owners.deployment, "bench");
  for (int i = 0; i < 2; i++)
    {
      uint8_t seed[crypto_sign_SEEDBYTES];

      memset (seed, i + 1, sizeof seed);
      snprintf (keys->owners.owner[i].name, sizeof keys->owners.owner[i].name, "owner%d", i);
      crypto_sign_seed_keypair (keys->owners.owner[i].key, keys->secret_keys[i], seed);
    }
}

/* Creates the body of a change that holds 400 services and @policies policies. Each policy has 8
   tenant limits. Policies are assigned to the services in turn, so with 400 policies each service
   has one of its own. */
static json_t *
change_body_create (int policies)
{
  json_t *json = json_object (), *policy_list = json_array (), *services = json_array ();

  for (int i = 0; i < policies; i++)
    {
      json_t *limits = json_object ();
      char name[32];

      for (int tenant = 0; tenant < TENANT_LIMITS_PER_POLICY; tenant++)
        {
          snprintf (name, sizeof name, "tenant-%d", tenant);
          json_object_set_new (limits, name, json_integer (4));
        }
      snprintf (name, sizeof name, "policy-%03d", i);
      json_array_append_new (policy_list,
                             json_pack ("{s:s, s:o}", "name", name, "tenant_limits", limits));
    }
  for (int i = 0; i < SERVICE_COUNT; i++)
    {
      char name[32], policy[32];

      snprintf (name, sizeof name, "service-%03d", i);
      snprintf (policy, sizeof policy, "policy-%03d", i % policies);
      json_array_append_new (services, json_pack ("{s:s, s:s}", "name", name, "policy", policy));
    }
  json_object_set_new (json, "policies", policy_list);
  json_object_set_new (json, "services", services);
  return json_pack ("{s:o}", "full", json);
}

/* Proposes a change, signs it as both owners and returns its record; releases @body. */
static sgr_config_record_t *
record_create (const owner_keys_t *keys, const sgr_config_record_t *base, int change_number,
               json_t *body)
{
  sgr_config_record_t *record = NULL;
  sgr_config_change_t *change = NULL;
  sgr_config_error_t error = { SGR_OK };
  sgr_config_digest_t digest;
  char id[16];

  snprintf (id, sizeof id, "c%d", change_number);
  if (sgr_config_change_propose ("bench", base, id, "owner0", body, &change, &error) == SGR_OK)
    {
      sgr_config_change_digest (change, &digest);
      for (int i = 0; i < 2; i++)
        {
          memcpy (change->approvals[i].owner, keys->owners.owner[i].name, SGR_NAME_MAX + 1);
          sgr_config_statement_sign (&digest, keys->secret_keys[i], change->approvals[i].signature);
        }
      sgr_config_change_to_record (change, &keys->owners, base, &record, &error);
    }
  if (record == NULL)
    {
      fprintf (stderr, "bench_config: %s: %s\n", error.path, error.message);
      exit (1);
    }
  sgr_config_change_destroy (change);
  json_decref (body);
  return record;
}

/* Returns the processor time of this thread in milliseconds. */
static double
thread_cpu_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1000.0 + (double)now.tv_nsec / 1e6;
}

/* Prints one row of the table, which compares two ways to send a change to a node. A record holds
   the whole configuration. A step holds only the edit that leads to the new configuration. */
static void
change_cost_print (const owner_keys_t *keys, int policies)
{
  /* Changes are measured only after the lineage of the record has reached its largest length. */
  const int warm_up_changes = SGR_CONFIG_LINEAGE_MAX + 1, measured_changes = 20;
  sgr_config_record_t *last = record_create (keys, NULL, 0, change_body_create (policies));
  sgr_config_state_t *record_state = sgr_config_state_create (&keys->owners, 64);
  sgr_config_state_t *step_state = sgr_config_state_create (&keys->owners, 64);
  double record_ms = 0, step_ms = 0;
  size_t step_bytes = 0, heap_before = mallinfo2 ().uordblks, heap_after;

  sgr_config_state_offer (step_state, last->text.bytes, last->text.length, NULL);
  heap_after = mallinfo2 ().uordblks;
  sgr_config_state_offer (record_state, last->text.bytes, last->text.length, NULL);
  for (int i = 1; i <= warm_up_changes + measured_changes; i++)
    {
      json_t *body = json_pack ("{s:{s:{s:[{s:s, s:i}]}}}", "edit", "put", "policies", "name",
                                "policy-000", "deadline_ms", 100 + i);
      sgr_config_record_t *next = record_create (keys, last, i, body);
      sgr_buffer_t step = { 0 };
      double start = thread_cpu_ms ();

      sgr_config_state_offer (record_state, next->text.bytes, next->text.length, NULL);
      record_ms += thread_cpu_ms () - start;
      sgr_config_state_step_write (record_state, (uint64_t)i, &step);
      step_bytes += step.length;
      start = thread_cpu_ms ();
      if (sgr_config_state_offer_step (step_state, step.bytes, step.length, NULL) != SGR_OK)
        exit (1);
      step_ms += thread_cpu_ms () - start;
      sgr_buffer_release (&step);
      sgr_config_record_destroy (last);
      last = next;
      if (i == warm_up_changes)
        {
          record_ms = step_ms = 0;
          step_bytes = 0;
        }
    }
  /* A processor time of 1 ms per second is 0.1% of a core, hence the division by 10. */
  printf ("%8d %10zu %10zu %10.2f %10.2f %12.4f %12.4f %12.3f %12.3f %10.2f\n", policies,
          last->text.length, step_bytes / measured_changes, record_ms / measured_changes,
          step_ms / measured_changes,
          record_ms / measured_changes * CHANGES_PER_DAY / 86400.0 / 10.0,
          step_ms / measured_changes * CHANGES_PER_DAY / 86400.0 / 10.0,
          (double)last->text.length * CHANGES_PER_DAY / 86400.0 / 1000.0,
          (double)step_bytes / measured_changes * CHANGES_PER_DAY / 86400.0 / 1000.0,
          (double)(heap_after - heap_before) / 1e6);
  sgr_config_record_destroy (last);
  sgr_config_state_destroy (record_state);
  sgr_config_state_destroy (step_state);
}

int
main (void)
{
  static const struct
  {
    size_t nodes;
    size_t domains;
  } fleets[] = { { 45, 3 }, { 300, 3 }, { 2600, 3 }, { 300, 15 }, { 2600, 15 } };
  double first_calls = 0;
  owner_keys_t keys;

  if (sodium_init () < 0)
    return 1;
  printf ("store calls a second, %d changes a day, one hour of virtual time\n", CHANGES_PER_DAY);
  printf ("(gossip of the revision number is a model: %.1f to %.1f s; store %d ms, fetch %d ms)\n",
          GOSSIP_MIN_US / 1e6, GOSSIP_MAX_US / 1e6, STORE_CALL_US / 1000, PEER_FETCH_US / 1000);
  printf ("%8s %8s %12s %14s %16s %18s\n", "nodes", "domains", "calls/s", "to 45 nodes",
          "in force s", "in force, down s");
  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      double calls = store_calls_per_s (fleets[i].nodes, fleets[i].domains);

      first_calls = i == 0 ? calls : first_calls;
      printf ("%8zu %8zu %12.3f %14.2f %16.2f %18.2f\n", fleets[i].nodes, fleets[i].domains, calls,
              calls / first_calls,
              time_until_in_force_s (fleets[i].nodes, fleets[i].domains, false),
              time_until_in_force_s (fleets[i].nodes, fleets[i].domains, true));
    }
  printf ("\nsynchronisation state per node: %zu bytes\n\n", sgr_config_sync_memory_bytes (NULL));
  printf ("taking a change of one policy, 400 services; processor share and KB/s at %d a day\n",
          CHANGES_PER_DAY);
  printf ("%8s %10s %10s %10s %10s %12s %12s %12s %12s %10s\n", "policies", "record B", "step B",
          "record ms", "step ms", "record %", "step %", "record KB/s", "step KB/s", "state MB");
  owner_keys_init (&keys);
  change_cost_print (&keys, 20);
  change_cost_print (&keys, 400);
  return 0;
}
