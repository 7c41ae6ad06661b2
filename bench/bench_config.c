/* Configuration: store calls by fleet size, time until in force, memory and verification cost. */
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
/* Model of the network: a store call takes STORE_US, a fetch from a peer FETCH_US; the revision
   number reaches a node within GOSSIP_MIN_US to GOSSIP_MAX_US after the first node has it. */
#define STORE_US 5000
#define FETCH_US 20000
#define GOSSIP_MIN_US 100000
#define GOSSIP_MAX_US 1500000

typedef struct
{
  sgr_config_sync_t *sync;
  uint64_t revision;
  uint64_t wake_us;
  bool watching;
  uint64_t watch_after;
  uint64_t watch_end_us;
  uint64_t fetch_end_us;
  sgr_node_id_t fetch_peer;
  uint64_t fetch_revision;
  uint64_t heard_us;
} node_t;

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
  bool store_down;
  size_t seed_node;
} fleet_t;

static void
fleet_start (fleet_t *fleet, size_t count, size_t domains, uint64_t seed)
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
      sgr_config_sync_members (fleet->nodes[i].sync, 0, fleet->members, count);
      fleet->nodes[i].heard_us = SGR_TIMER_NEVER;
      fleet->nodes[i].fetch_end_us = SGR_TIMER_NEVER;
    }
}

static void
fleet_stop (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    sgr_config_sync_destroy (fleet->nodes[i].sync);
  free (fleet->nodes);
  free (fleet->members);
}

static uint64_t
least (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* The first node that takes a revision starts the spread of its number. */
static void
node_take (fleet_t *fleet, node_t *node, uint64_t revision)
{
  if (revision <= node->revision)
    return;
  node->revision = revision;
  sgr_config_sync_in_force (node->sync, fleet->now_us, revision);
  fleet->seed_node = (size_t)(node - fleet->nodes);
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->nodes[i].revision < revision && fleet->nodes[i].heard_us == SGR_TIMER_NEVER)
      fleet->nodes[i].heard_us = fleet->now_us + GOSSIP_MIN_US
                                 + sgr_rng_below (&fleet->rng, GOSSIP_MAX_US - GOSSIP_MIN_US);
}

static void
node_events (fleet_t *fleet, node_t *node)
{
  if (node->heard_us <= fleet->now_us)
    {
      const sgr_member_t *peer = &fleet->members[fleet->seed_node];

      node->heard_us = SGR_TIMER_NEVER;
      sgr_config_sync_peer_revision (node->sync, fleet->now_us, peer->id, &peer->control_address,
                                     fleet->nodes[fleet->seed_node].revision);
    }
  if (node->fetch_end_us <= fleet->now_us)
    {
      node->fetch_end_us = SGR_TIMER_NEVER;
      node_take (fleet, node, node->fetch_revision);
      sgr_config_sync_fetch_done (node->sync, fleet->now_us, node->fetch_peer, true);
    }
  if (!node->watching)
    return;
  if (!fleet->store_down && fleet->store_version > node->watch_after
      && fleet->store_ready_us <= fleet->now_us)
    {
      node->watching = false;
      node_take (fleet, node, fleet->store_version);
      sgr_config_sync_store_done (node->sync, fleet->now_us, true, fleet->store_version, 0);
    }
  else if (fleet->store_down || node->watch_end_us <= fleet->now_us)
    {
      node->watching = false;
      sgr_config_sync_store_done (node->sync, fleet->now_us, !fleet->store_down, node->watch_after,
                                  0);
    }
}

static void
node_run (fleet_t *fleet, node_t *node)
{
  sgr_config_sync_action_t action;
  uint64_t next_us;

  node_events (fleet, node);
  while (sgr_config_sync_next (node->sync, fleet->now_us, &action, &next_us))
    switch (action.kind)
      {
      case SGR_CONFIG_SYNC_WATCH:
        node->watching = true;
        node->watch_after = action.after_version;
        node->watch_end_us = fleet->now_us + action.wait_ms * SGR_USEC_PER_MSEC;
        break;
      case SGR_CONFIG_SYNC_FETCH:
        node->fetch_end_us = fleet->now_us + FETCH_US;
        node->fetch_peer = action.peer;
        node->fetch_revision = action.revision;
        break;
      case SGR_CONFIG_SYNC_WATCH_CANCEL:
        node->watching = false;
        break;
      case SGR_CONFIG_SYNC_NONE:
        break;
      }
  node->wake_us = least (least (next_us, node->heard_us), node->fetch_end_us);
  if (node->watching)
    {
      node->wake_us = least (node->wake_us, node->watch_end_us);
      if (!fleet->store_down && fleet->store_version > node->watch_after)
        node->wake_us = least (node->wake_us, fleet->store_ready_us);
    }
}

/* Runs to @end_us, or until all nodes have @revision; the time of the last one. */
static uint64_t
fleet_run (fleet_t *fleet, uint64_t end_us, uint64_t revision)
{
  while (fleet->now_us < end_us)
    {
      uint64_t next_us = end_us;
      bool all = revision > 0;

      for (size_t i = 0; i < fleet->count; i++)
        {
          node_t *node = &fleet->nodes[i];

          if (node->wake_us <= fleet->now_us
              || (node->watching && fleet->store_version > node->watch_after)
              || (node->watching && fleet->store_down) || node->heard_us <= fleet->now_us)
            node_run (fleet, node);
          next_us = least (next_us, least (node->wake_us, node->heard_us));
          all = all && node->revision >= revision;
        }
      if (all)
        return fleet->now_us;
      fleet->now_us = next_us > fleet->now_us ? next_us : fleet->now_us + 1;
    }
  return end_us;
}

static double
store_calls_per_s (size_t count, size_t domains)
{
  const uint64_t day_us = 86400 * SGR_USEC_PER_SEC, hour_us = day_us / 24;
  uint64_t calls = 0;
  fleet_t fleet;

  fleet_start (&fleet, count, domains, 1);
  for (int change = 1; change <= CHANGES_PER_DAY / 24; change++)
    {
      fleet.store_version = (uint64_t)change;
      fleet.store_ready_us = fleet.now_us + STORE_US;
      fleet_run (&fleet, hour_us * (uint64_t)change / (CHANGES_PER_DAY / 24), 0);
    }
  for (size_t i = 0; i < count; i++)
    calls += sgr_config_sync_stats (fleet.nodes[i].sync)->store_calls;
  fleet_stop (&fleet);
  return (double)calls / 3600.0;
}

/* One change; with the store down after the commit only the committing node has it. */
static double
time_in_force (size_t count, size_t domains, bool store_down)
{
  uint64_t start_us = 120 * SGR_USEC_PER_SEC, worst_us = 0;

  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      fleet_t fleet;
      uint64_t taken_us;

      fleet_start (&fleet, count, domains, seed);
      fleet.store_version = 1;
      fleet_run (&fleet, start_us, 0);
      fleet.now_us = start_us;
      fleet.store_version = 2;
      fleet.store_ready_us = start_us + STORE_US;
      fleet.store_down = store_down;
      node_take (&fleet, &fleet.nodes[seed % count], 2);
      taken_us = fleet_run (&fleet, start_us + 60 * SGR_USEC_PER_SEC, 2) - start_us;
      worst_us = taken_us > worst_us ? taken_us : worst_us;
      fleet_stop (&fleet);
    }
  return (double)worst_us / (double)SGR_USEC_PER_SEC;
}

typedef struct
{
  sgr_config_owners_t owners;
  uint8_t secret[2][crypto_sign_SECRETKEYBYTES];
} keys_t;

static void
keys_init (keys_t *keys)
{
  memset (keys, 0, sizeof *keys);
  strcpy (keys->owners.deployment, "bench");
  for (int i = 0; i < 2; i++)
    {
      uint8_t seed[crypto_sign_SEEDBYTES];

      memset (seed, i + 1, sizeof seed);
      snprintf (keys->owners.owner[i].name, sizeof keys->owners.owner[i].name, "owner%d", i);
      crypto_sign_seed_keypair (keys->owners.owner[i].key, keys->secret[i], seed);
    }
}

/* 400 services, each with the policy of its own if @policies is 400, with 8 tenant limits each. */
static json_t *
content (int policies)
{
  json_t *json = json_object (), *policy_list = json_array (), *services = json_array ();

  for (int i = 0; i < policies; i++)
    {
      json_t *limits = json_object ();
      char name[32];

      for (int tenant = 0; tenant < 8; tenant++)
        {
          snprintf (name, sizeof name, "tenant-%d", tenant);
          json_object_set_new (limits, name, json_integer (4));
        }
      snprintf (name, sizeof name, "policy-%03d", i);
      json_array_append_new (policy_list,
                             json_pack ("{s:s, s:o}", "name", name, "tenant_limits", limits));
    }
  for (int i = 0; i < 400; i++)
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

static sgr_config_record_t *
record (const keys_t *keys, const sgr_config_record_t *base, int number, json_t *body)
{
  sgr_config_record_t *made = NULL;
  sgr_config_change_t *change = NULL;
  sgr_config_error_t error = { SGR_OK };
  sgr_config_digest_t digest;
  char id[16];

  snprintf (id, sizeof id, "c%d", number);
  if (sgr_config_change_propose ("bench", base, id, "owner0", body, &change, &error) == SGR_OK)
    {
      sgr_config_change_digest (change, &digest);
      for (int i = 0; i < 2; i++)
        {
          memcpy (change->approvals[i].owner, keys->owners.owner[i].name, SGR_NAME_MAX + 1);
          sgr_config_statement_sign (&digest, keys->secret[i], change->approvals[i].signature);
        }
      sgr_config_change_commit (change, &keys->owners, base, &made, &error);
    }
  if (made == NULL)
    {
      fprintf (stderr, "bench_config: %s: %s\n", error.path, error.message);
      exit (1);
    }
  sgr_config_change_destroy (change);
  json_decref (body);
  return made;
}

static double
cpu_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1000.0 + (double)now.tv_nsec / 1e6;
}

static void
print_verification (const keys_t *keys, int policies)
{
  /* The first changes fill the lineage; they are not counted. */
  const int warm = SGR_CONFIG_LINEAGE_MAX + 1, steps = 20;
  sgr_config_record_t *last = record (keys, NULL, 0, content (policies));
  sgr_config_state_t *full = sgr_config_state_create (&keys->owners, 64);
  sgr_config_state_t *stepped = sgr_config_state_create (&keys->owners, 64);
  double full_ms = 0, step_ms = 0;
  size_t step_bytes = 0, heap = mallinfo2 ().uordblks, heap_after;

  sgr_config_state_offer (stepped, last->text.bytes, last->text.length, NULL);
  heap_after = mallinfo2 ().uordblks;
  sgr_config_state_offer (full, last->text.bytes, last->text.length, NULL);
  for (int i = 1; i <= warm + steps; i++)
    {
      json_t *body = json_pack ("{s:{s:{s:[{s:s, s:i}]}}}", "edit", "put", "policies", "name",
                                "policy-000", "deadline_ms", 100 + i);
      sgr_config_record_t *next = record (keys, last, i, body);
      sgr_buffer_t step = { 0 };
      double start = cpu_ms ();

      sgr_config_state_offer (full, next->text.bytes, next->text.length, NULL);
      full_ms += cpu_ms () - start;
      sgr_config_state_step (full, (uint64_t)i, &step);
      step_bytes += step.length;
      start = cpu_ms ();
      if (sgr_config_state_offer_step (stepped, step.bytes, step.length, NULL) != SGR_OK)
        exit (1);
      step_ms += cpu_ms () - start;
      sgr_buffer_release (&step);
      sgr_config_record_destroy (last);
      last = next;
      if (i == warm)
        {
          full_ms = step_ms = 0;
          step_bytes = 0;
        }
    }
  printf ("%8d %10zu %10zu %10.2f %10.2f %12.4f %12.4f %12.3f %12.3f %10.2f\n", policies,
          last->text.length, step_bytes / steps, full_ms / steps, step_ms / steps,
          full_ms / steps * CHANGES_PER_DAY / 86400.0 / 10.0,
          step_ms / steps * CHANGES_PER_DAY / 86400.0 / 10.0,
          (double)last->text.length * CHANGES_PER_DAY / 86400.0 / 1000.0,
          (double)step_bytes / steps * CHANGES_PER_DAY / 86400.0 / 1000.0,
          (double)(heap_after - heap) / 1e6);
  sgr_config_record_destroy (last);
  sgr_config_state_destroy (full);
  sgr_config_state_destroy (stepped);
}

int
main (void)
{
  static const struct
  {
    size_t nodes;
    size_t domains;
  } fleets[] = { { 45, 3 }, { 300, 3 }, { 2600, 3 }, { 300, 15 }, { 2600, 15 } };
  double base = 0;
  keys_t keys;

  if (sodium_init () < 0)
    return 1;
  printf ("store calls a second, %d changes a day, one hour of virtual time\n", CHANGES_PER_DAY);
  printf ("(gossip of the revision number is a model: %.1f to %.1f s; store %d ms, fetch %d ms)\n",
          GOSSIP_MIN_US / 1e6, GOSSIP_MAX_US / 1e6, STORE_US / 1000, FETCH_US / 1000);
  printf ("%8s %8s %12s %14s %16s %18s\n", "nodes", "domains", "calls/s", "to 45 nodes",
          "in force s", "in force, down s");
  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      double calls = store_calls_per_s (fleets[i].nodes, fleets[i].domains);

      base = i == 0 ? calls : base;
      printf ("%8zu %8zu %12.3f %14.2f %16.2f %18.2f\n", fleets[i].nodes, fleets[i].domains, calls,
              calls / base, time_in_force (fleets[i].nodes, fleets[i].domains, false),
              time_in_force (fleets[i].nodes, fleets[i].domains, true));
    }
  printf ("\nsynchronisation state per node: %zu bytes\n\n", sgr_config_sync_memory (NULL));
  printf ("taking a change of one policy, 400 services; processor share and KB/s at %d a day\n",
          CHANGES_PER_DAY);
  printf ("%8s %10s %10s %10s %10s %12s %12s %12s %12s %10s\n", "policies", "record B", "step B",
          "record ms", "step ms", "record %", "step %", "record KB/s", "step KB/s", "state MB");
  keys_init (&keys);
  print_verification (&keys, 20);
  print_verification (&keys, 400);
  return 0;
}
