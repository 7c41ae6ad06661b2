#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "membership_codec.h"
#include "membership_sim.h"

#define NODES 30
#define REGIONS 2
#define FAILURE_DOMAINS 6
#define NODES_PER_DOMAIN (NODES / FAILURE_DOMAINS)
/* The default of the option budget_bytes_per_s. */
#define BUDGET_BYTES_PER_S 5000
/* Allowance for the bytes that the token buckets of a node hold when a measurement starts. */
#define BUDGET_BURST_BYTES 30000
#define NEW_REVISION 77

static uint32_t false_deaths;

/* Counts the changes of a membership view in which a running node becomes dead. A node that has
   restarted does not count, because its earlier boot may correctly be dead. */
static void
false_death_count (sim_t *sim, sim_node_t *node, const sgr_member_t *member)
{
  uint32_t index = member->control_address.ip - SIM_IP;

  if (member->status == SGR_MEMBER_DEAD && index < sim->count && sim->nodes[index].up
      && !sim->nodes[index].paused && sim->nodes[index].boot_count == 1)
    false_deaths++;
}

/* Creates a simulation in which all nodes know each other, with 5% packet loss and up to 50 ms of
   jitter. */
static sim_t *
sim_create_joined (uint64_t seed)
{
  sim_t *sim = malloc (sizeof *sim);

  sim_init (sim, NODES, REGIONS, FAILURE_DOMAINS, seed);
  sim->loss = 0.05;
  sim->jitter_us = 50 * SIM_MS;
  sim->changed = false_death_count;
  sim->options.sync_period_ms = 5000;
  sim->options.dead_probe_period_ms = 5000;
  for (uint32_t i = 0; i < NODES; i++)
    sim_start (sim, i, NULL);
  sim_run (sim, 30 * SIM_US_PER_S);
  assert_int_equal (sim_complete_count (sim), NODES);
  false_deaths = 0;
  return sim;
}

static void
sim_destroy (sim_t *sim)
{
  sim_release (sim);
  free (sim);
}

/* Returns the record of node @index in the membership view of node @viewer. */
static sgr_member_t
record_in_view (sim_t *sim, uint32_t viewer, uint32_t index)
{
  sgr_member_t member;

  assert_int_equal (
      sgr_membership_member_get (sim->nodes[viewer].membership, sim_id (index), &member), SGR_OK);
  return member;
}

static void
self_update (sim_t *sim, uint32_t index, sgr_target_state_t state, uint64_t revision)
{
  sgr_membership_update_t values = { state, "service-000", SIM_TARGET_SLOTS, revision };

  assert_int_equal (sgr_membership_self_update (sim->nodes[index].membership, sim->now_us, &values),
                    SGR_OK);
  sim_schedule (&sim->nodes[index]);
}

/* Passes a gossip datagram with an arbitrary record to node @to, as if node @from had sent it. */
static void
record_inject (sim_t *sim, uint32_t from, uint32_t to, const sgr_member_t *member)
{
  sgr_membership_table_t table;
  sgr_membership_writer_t writer;
  sgr_address_t address = { SIM_IP + from, SIM_PORT };
  uint8_t bytes[SGR_MEMBERSHIP_DATAGRAM_MAX];
  sgr_membership_entry_t *entry;

  sgr_membership_table_init (&table, 4);
  sgr_membership_table_add (&table, member->id);
  assert_true (sgr_membership_table_set_descriptor (&table, 0, member));
  entry = &table.entries[0];
  entry->boot = member->boot;
  entry->boot_time_ms = member->boot_time_ms;
  entry->incarnation = member->incarnation;
  entry->status = (uint8_t)member->status;
  entry->target_state = (uint8_t)member->target_state;
  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GOSSIP);
  writer.message.sender = sim_id (from);
  writer.message.boot = record_in_view (sim, to, from).boot;
  assert_true (sgr_membership_writer_add_record (&writer, &table, 0, true, 0, (uint32_t)from + 1,
                                                 SGR_MEMBERSHIP_DATAGRAM_MAX));
  assert_int_equal (sgr_membership_datagram_receive (sim->nodes[to].membership, sim->now_us,
                                                     &address, bytes,
                                                     sgr_membership_writer_finish (&writer, bytes)),
                    SGR_OK);
  sim_schedule (&sim->nodes[to]);
  sgr_membership_table_release (&table);
}

/* Asserts that all running nodes, except node @index itself, see node @index with the given status
   and target state. */
static void
assert_all_see (sim_t *sim, uint32_t index, sgr_member_status_t status, sgr_target_state_t state)
{
  uint32_t viewers = sim_up_count (sim) - sim->nodes[index].up;

  assert_int_equal (sim_seen_count (sim, sim_id (index), status, state), viewers);
}

/* Guards against a process that declares other members dead after a pause, because it received no
   datagrams meanwhile, and against one that cannot return after others declared it dead. */
static void
case_pause (sim_t *sim)
{
  sim->nodes[7].paused = true;
  sim_run (sim, 3 * SIM_US_PER_S);
  sim_resume (sim, 7);
  sim_run (sim, 20 * SIM_US_PER_S);
  assert_int_equal (false_deaths, 0);
  sim->nodes[7].paused = true;
  sim_run (sim, 90 * SIM_US_PER_S);
  assert_all_see (sim, 7, SGR_MEMBER_DEAD, SGR_TARGET_SERVING);
  sim_resume (sim, 7);
  sim_run (sim, 30 * SIM_US_PER_S);
  assert_true (sgr_membership_counters (sim->nodes[7].membership)->late_ticks >= 2);
  assert_int_equal (sim_complete_count (sim), NODES);
  assert_int_equal (false_deaths, 0);
}

static bool
block_to_node_5 (sim_t *sim, const sim_node_t *from, const sim_node_t *to)
{
  return to->index == 5;
}

/* Guards against a node that can send but not receive and therefore declares healthy nodes dead. */
static void
case_receive_blocked (sim_t *sim)
{
  uint32_t wrong = 0;

  sim->blocked = block_to_node_5;
  sim_run (sim, 60 * SIM_US_PER_S);
  for (uint32_t i = 0; i < NODES; i++)
    wrong += i != 5 && sgr_membership_size (sim->nodes[i].membership) != NODES - 1;
  assert_int_equal (wrong, 0);
  assert_int_equal (record_in_view (sim, 0, 5).status, SGR_MEMBER_DEAD);
  sim->blocked = NULL;
  sim_run (sim, 60 * SIM_US_PER_S);
  assert_int_equal (sim_complete_count (sim), NODES);
}

/* Guards against an outage of a failure domain that is not detected, and against nodes of the
   domain that do not rejoin. */
static void
case_domain_outage (sim_t *sim)
{
  for (uint32_t i = 1; i < NODES; i += FAILURE_DOMAINS)
    sim_stop (sim, i);
  sim_run (sim, 40 * SIM_US_PER_S);
  assert_int_equal (sim_complete_count (sim), NODES - NODES_PER_DOMAIN);
  assert_int_equal (false_deaths, 0);
  for (uint32_t i = 1; i < NODES; i += FAILURE_DOMAINS)
    sim_start (sim, i, NULL);
  sim_run (sim, 40 * SIM_US_PER_S);
  assert_int_equal (sim_complete_count (sim), NODES);
}

static bool
block_between_regions (sim_t *sim, const sim_node_t *from, const sim_node_t *to)
{
  return from->region != to->region;
}

/* Guards against two sides of a network partition that do not find each other again after the
   partition ends. */
static void
case_region_partition (sim_t *sim)
{
  sim->blocked = block_between_regions;
  sim_run (sim, 200 * SIM_US_PER_S);
  for (uint32_t i = 0; i < NODES; i++)
    assert_int_equal (sgr_membership_size (sim->nodes[i].membership), NODES / 2);
  sim->blocked = NULL;
  sim_run (sim, 60 * SIM_US_PER_S);
  assert_int_equal (sim_complete_count (sim), NODES);
}

/* Guards against an earlier boot that stays alive in the views after the node restarts at the same
   address, under the same name or another one. */
static void
case_restart_same_address (sim_t *sim)
{
  sgr_boot_id_t old = record_in_view (sim, 0, 4).boot;
  sgr_member_t member;

  sim_stop (sim, 4);
  sim_run (sim, SIM_US_PER_S);
  sim_start (sim, 4, NULL);
  sim_run (sim, 6 * SIM_US_PER_S);
  for (uint32_t i = 0; i < NODES; i++)
    assert_int_not_equal (record_in_view (sim, i, 4).boot, old);
  assert_all_see (sim, 4, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
  /* A new name at the address ends the earlier boot too, much sooner than a suspicion timeout. */
  sim_stop (sim, 9);
  sim_run (sim, SIM_US_PER_S);
  sim_start (sim, 9, "replacement");
  sim_run (sim, 6 * SIM_US_PER_S);
  for (uint32_t i = 0; i < NODES; i++)
    {
      assert_int_equal (sgr_membership_member_get (sim->nodes[i].membership,
                                                   sgr_node_id_of ("replacement"), &member),
                        SGR_OK);
      assert_int_equal (member.status, SGR_MEMBER_ALIVE);
      if (i != 9)
        assert_int_equal (record_in_view (sim, i, 9).status, SGR_MEMBER_DEAD);
    }
}

/* Guards against a new boot that the others ignore because the clock of the host was set back since
   the earlier boot. */
static void
case_clock_set_back (sim_t *sim)
{
  sim_stop (sim, 4);
  sim->epoch_s -= 1000;
  sim_start (sim, 4, NULL);
  sim_run (sim, 15 * SIM_US_PER_S);
  assert_all_see (sim, 4, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
  assert_int_equal (sim_complete_count (sim), NODES);
}

/* Guards against a new boot that the others ignore because the earlier boot started in the same
   second. */
static void
case_quick_restarts (sim_t *sim)
{
  for (int boot = 0; boot < 8; boot++)
    {
      sim_stop (sim, 4);
      sim_run (sim, 5 * SIM_MS);
      sim_start (sim, 4, NULL);
      sim_run (sim, 95 * SIM_MS);
    }
  sim_run (sim, 3 * SIM_US_PER_S);
  assert_all_see (sim, 4, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
  assert_int_equal (sgr_membership_counters (sim->nodes[4].membership)->conflicts, 0);
}

/* Guards against a serving target that gets no calls for seconds, because other nodes learn of it
   only by anti-entropy sync. */
static void
test_target_comes_up (void **state)
{
  for (uint64_t seed = 21; seed <= 30; seed++)
    {
      sim_t *sim = sim_create_joined (seed);

      self_update (sim, 12, SGR_TARGET_NONE, 0);
      sim_run (sim, 2 * SIM_US_PER_S);
      assert_all_see (sim, 12, SGR_MEMBER_ALIVE, SGR_TARGET_NONE);
      self_update (sim, 12, SGR_TARGET_SERVING, 0);
      sim_run (sim, 2 * SIM_US_PER_S);
      assert_all_see (sim, 12, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
      sim_stop (sim, 4);
      sim_run (sim, 300 * SIM_MS);
      sim_start (sim, 4, NULL);
      sim_run (sim, 3 * SIM_US_PER_S);
      assert_all_see (sim, 4, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
      for (uint32_t i = 0; i < NODES; i++)
        assert_int_equal (record_in_view (sim, i, 4).boot, record_in_view (sim, 4, 4).boot);
      sim_destroy (sim);
    }
}

/* Makes a node adopt a newer configuration revision at once; the control task would first fetch it
   over TCP. */
static void
fetch_revision (sim_t *sim, sim_node_t *node, const sgr_member_t *member)
{
  sgr_member_t self;

  sgr_membership_self_get (node->membership, &self);
  if (member->config_revision > self.config_revision)
    self_update (sim, node->index, self.target_state, member->config_revision);
}

/* Guards against a draining or leaving target, or a new configuration revision, that other nodes
   learn of too late. */
static void
case_drain_and_leave (sim_t *sim)
{
  self_update (sim, 12, SGR_TARGET_DRAINING, 0);
  sim_run (sim, 3 * SIM_US_PER_S);
  assert_all_see (sim, 12, SGR_MEMBER_ALIVE, SGR_TARGET_DRAINING);
  sgr_membership_leave (sim->nodes[12].membership, sim->now_us);
  sim_schedule (&sim->nodes[12]);
  sim_run (sim, 3 * SIM_US_PER_S);
  assert_all_see (sim, 12, SGR_MEMBER_LEFT, SGR_TARGET_LEFT);
  sim->changed = fetch_revision;
  self_update (sim, 3, SGR_TARGET_SERVING, NEW_REVISION);
  sim_run (sim, 3 * SIM_US_PER_S);
  for (uint32_t i = 0; i < NODES; i++)
    if (i != 12)
      assert_int_equal (sgr_membership_revision_highest (sim->nodes[i].membership, NULL),
                        NEW_REVISION);
}

/* Guards against a suspicion or a declaration of death that a live node cannot refute. */
static void
case_refute (sim_t *sim)
{
  sgr_member_t member = record_in_view (sim, 0, 8);

  member.status = SGR_MEMBER_SUSPECT;
  record_inject (sim, 2, 0, &member);
  assert_int_equal (record_in_view (sim, 0, 8).status, SGR_MEMBER_SUSPECT);
  sim_run (sim, 5 * SIM_US_PER_S);
  assert_all_see (sim, 8, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
  assert_true (record_in_view (sim, 0, 8).incarnation > member.incarnation);
  member = record_in_view (sim, 0, 8);
  member.status = SGR_MEMBER_DEAD;
  record_inject (sim, 2, 0, &member);
  sim_run (sim, 10 * SIM_US_PER_S);
  assert_all_see (sim, 8, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
  assert_int_equal (sgr_membership_counters (sim->nodes[8].membership)->refutations, 2);
}

/* Guards against old messages that end a new boot or bring back a departed member. */
static void
case_old_messages (sim_t *sim)
{
  sgr_member_t old = record_in_view (sim, 0, 8);

  sim_stop (sim, 8);
  sim_run (sim, 2 * SIM_US_PER_S);
  sim_start (sim, 8, NULL);
  sim_run (sim, 10 * SIM_US_PER_S);
  old.status = SGR_MEMBER_DEAD;
  old.incarnation = 50;
  record_inject (sim, 2, 0, &old);
  assert_int_equal (record_in_view (sim, 0, 8).status, SGR_MEMBER_ALIVE);
  old = record_in_view (sim, 0, 8);
  sgr_membership_leave (sim->nodes[8].membership, sim->now_us);
  sim_schedule (&sim->nodes[8]);
  sim_run (sim, 3 * SIM_US_PER_S);
  sim_stop (sim, 8);
  record_inject (sim, 2, 0, &old);
  old.status = SGR_MEMBER_SUSPECT;
  record_inject (sim, 3, 0, &old);
  sim_run (sim, 20 * SIM_US_PER_S);
  assert_all_see (sim, 8, SGR_MEMBER_LEFT, SGR_TARGET_LEFT);
}

/* Guards against updates that are applied twice or in the wrong order. */
static void
case_duplicates_reordered (sim_t *sim)
{
  sim->duplicates = 0.3;
  sim->jitter_us = 250 * SIM_MS;
  for (int i = 0; i < 10; i++)
    {
      self_update (sim, 6, i % 2 == 0 ? SGR_TARGET_DRAINING : SGR_TARGET_SERVING, 0);
      sim_run (sim, 300 * SIM_MS);
    }
  sim_run (sim, 15 * SIM_US_PER_S);
  assert_all_see (sim, 6, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING);
  assert_int_equal (false_deaths, 0);
}

/* Guards against a flood of requests that breaks the byte budget or stops failure detection. */
static void
case_flood (sim_t *sim)
{
  const sgr_membership_counters_t *counters = sgr_membership_counters (sim->nodes[0].membership);
  sgr_membership_counters_t before = *counters;
  sgr_address_t from = { SIM_IP + 1, SIM_PORT };
  uint8_t bytes[SGR_MEMBERSHIP_DATAGRAM_MAX];
  sgr_membership_writer_t writer;
  size_t length;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PULL);
  writer.message.sender = sim_id (1);
  writer.message.boot = record_in_view (sim, 0, 1).boot;
  writer.message.groups = UINT64_MAX - 1;
  length = sgr_membership_writer_finish (&writer, bytes);
  for (int i = 0; i < 3000; i++)
    {
      sgr_membership_datagram_receive (sim->nodes[0].membership, sim->now_us, &from, bytes, length);
      sim_schedule (&sim->nodes[0]);
      sim_run (sim, 10 * SIM_MS);
    }
  /* The flood takes 30 s: the budget of this time, plus buckets that were full at its start. */
  assert_true (counters->bytes_sent - before.bytes_sent
               <= 30 * BUDGET_BYTES_PER_S + BUDGET_BURST_BYTES);
  assert_true (counters->budget_refusals > before.budget_refusals);
  /* Of the 30 probe periods of 1 s, at least 25 start a probe. */
  assert_true (counters->probes - before.probes >= 25);
  assert_int_equal (false_deaths, 0);
}

/* Guards against a new configuration revision that is delayed because other updates have used up
   the byte budget. */
static void
test_revision_beside_many_updates (void **state)
{
  for (uint64_t seed = 41; seed <= 45; seed++)
    {
      sim_t *sim = sim_create_joined (seed);

      sim->changed = fetch_revision;
      for (int round = 0; round < 30; round++)
        {
          for (uint32_t i = 0; i < NODES; i++)
            self_update (sim, i, round % 2 == 0 ? SGR_TARGET_NONE : SGR_TARGET_SERVING, 0);
          if (round == 20)
            self_update (sim, 3, SGR_TARGET_SERVING, NEW_REVISION);
          sim_run (sim, 100 * SIM_MS);
        }
      sim_run (sim, SIM_US_PER_S);
      for (uint32_t i = 0; i < NODES; i++)
        {
          sgr_member_t self;

          sgr_membership_self_get (sim->nodes[i].membership, &self);
          assert_int_equal (self.config_revision, NEW_REVISION);
        }
      sim_destroy (sim);
    }
}

/* Guards against tombstones that never expire, or that a node which has removed them receives again
   from a node which still has them. */
static void
case_tombstones (sim_t *sim)
{
  sgr_member_t member;

  sim_stop (sim, 8);
  sim_run (sim, 40 * SIM_US_PER_S);
  assert_all_see (sim, 8, SGR_MEMBER_DEAD, SGR_TARGET_SERVING);
  sim_run (sim, 2 * 3600 * SIM_US_PER_S + 120 * SIM_US_PER_S);
  for (uint32_t i = 0; i < NODES; i++)
    if (i != 8)
      assert_int_equal (sgr_membership_member_get (sim->nodes[i].membership, sim_id (8), &member),
                        SGR_ERR_NOT_FOUND);
  assert_int_equal (false_deaths, 0);
}

static void
test_fault_cases (void **state)
{
  static const struct
  {
    const char *name;
    void (*run) (sim_t *sim);
    uint64_t seed;
  } cases[] = {
    { "paused process", case_pause, 1 },
    { "asymmetric partition", case_receive_blocked, 2 },
    { "failure domain outage and return", case_domain_outage, 3 },
    { "regions partitioned and reconnected", case_region_partition, 4 },
    { "restart at the same address without state", case_restart_same_address, 5 },
    { "clock set back between boots", case_clock_set_back, 6 },
    { "several boots within a second", case_quick_restarts, 13 },
    { "drain, leave and new revision known within seconds", case_drain_and_leave, 7 },
    { "refuted suspicion and death", case_refute, 8 },
    { "old messages after departure and rejoin", case_old_messages, 9 },
    { "duplicate and reordered datagrams", case_duplicates_reordered, 10 },
    { "flood of requests", case_flood, 11 },
    { "tombstones expire", case_tombstones, 12 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sim_t *sim = sim_create_joined (cases[i].seed);

      print_message ("case: %s\n", cases[i].name);
      cases[i].run (sim);
      sim_destroy (sim);
    }
}

/* Guards against contacts that are overloaded when many nodes start at once, so that live nodes are
   declared dead, nodes find no peers, or a node exceeds its byte budget. */
static void
test_mass_start (void **state)
{
  sim_t sim;

  sim_init (&sim, 200, 4, 15, 31);
  sim.loss = 0.05;
  sim.jitter_us = 20 * SIM_MS;
  sim.contacts = 3;
  sim.changed = false_death_count;
  false_deaths = 0;
  for (uint32_t i = 0; i < sim.count; i++)
    sim_start (&sim, i, NULL);
  sim_run (&sim, 120 * SIM_US_PER_S);
  assert_int_equal (false_deaths, 0);
  assert_int_equal (sim_complete_count (&sim), sim.count);
  for (uint32_t i = 0; i < sim.count; i++)
    {
      const sgr_membership_counters_t *counters = sgr_membership_counters (sim.nodes[i].membership);

      assert_true (sgr_membership_is_synced (sim.nodes[i].membership));
      assert_true (counters->bytes_sent + counters->bytes_received
                   <= 120 * BUDGET_BYTES_PER_S + BUDGET_BURST_BYTES);
    }
  sim_release (&sim);
}

static uint64_t
run_digest (uint64_t seed)
{
  sim_t *sim = sim_create_joined (seed);
  const sgr_membership_counters_t *counters = sgr_membership_counters (sim->nodes[3].membership);
  uint64_t digest = counters->bytes_sent * 31 + counters->bytes_received * 17 + sim->order;

  sim_destroy (sim);
  return digest;
}

/* Guards against inputs that the seed does not determine, such as the wall clock or uninitialised
   memory. */
static void
test_same_seed_same_run (void **state)
{
  assert_true (run_digest (21) == run_digest (21));
  assert_true (run_digest (21) != run_digest (22));
}

/* Guards against invalid options that are accepted and break the protocol later. */
static void
test_create_rejects_bad_options (void **state)
{
  static const sgr_membership_callbacks_t callbacks = { sim_send, NULL };
  sgr_membership_options_t good;
  sgr_membership_t *m = NULL;

  sgr_membership_options_init (&good);
  good.self = (sgr_member_t){
    .name = "a", .boot = 1, .boot_time_ms = 1, .control_address = { 1, 1 }, .data_address = { 1, 2 }
  };
  for (int i = 0; i < 8; i++)
    {
      sgr_membership_options_t bad = good;

      switch (i)
        {
        case 0:
          bad.self.name[0] = '\0';
          break;
        case 1:
          memset (bad.self.name, 'x', sizeof bad.self.name);
          break;
        case 2:
          bad.self.boot = 0;
          break;
        case 3:
          bad.self.control_address.port = 0;
          break;
        case 4:
          bad.self.region[0] = '\n';
          break;
        case 5:
          bad.probe_timeout_ms = bad.probe_period_ms;
          break;
        case 6:
          bad.budget_bytes_per_s = 10;
          break;
        default:
          bad.self.data_address.ip = 0;
          break;
        }
      assert_int_equal (sgr_membership_create (&bad, &callbacks, NULL, 0, &m), SGR_ERR_INVALID);
    }
  assert_int_equal (sgr_membership_create (&good, &callbacks, NULL, 0, &m), SGR_OK);
  assert_int_equal (sgr_membership_size (m), 1);
  sgr_membership_leave (m, 1);
  sgr_membership_leave (m, 1);
  assert_int_equal (sgr_membership_self_update (
                        m, 1, &(sgr_membership_update_t){ SGR_TARGET_SERVING, "s", 1, 1 }),
                    SGR_ERR_CONFLICT);
  sgr_membership_destroy (m);
  sgr_membership_destroy (NULL);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_create_rejects_bad_options),
    cmocka_unit_test (test_same_seed_same_run),
    cmocka_unit_test (test_mass_start),
    cmocka_unit_test (test_fault_cases),
    cmocka_unit_test (test_target_comes_up),
    cmocka_unit_test (test_revision_beside_many_updates),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
