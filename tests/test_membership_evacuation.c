#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "membership_codec.h"
#include "membership_sim.h"

/* Distribution of the evacuated failure domains by the membership of simulated nodes. */

#define NODES 80
#define DOMAINS 3
/* Time from the read at one node until all know the set. The bound of an evacuation is 5 s, of
   which the watch of the store takes a part. */
#define SPREAD_MAX_US (2 * SIM_US_PER_S)

static unsigned notified;

static void
on_evacuation (void *ctx)
{
  notified++;
}

static void
node_start (sim_t *sim, uint32_t index)
{
  sim_start (sim, index, NULL);
  sgr_membership_evacuation_follow (sim->nodes[index].membership, on_evacuation, NULL);
}

static void
fleet_start (sim_t *sim, uint64_t seed, bool does_follow)
{
  sim_init (sim, NODES, 1, DOMAINS, seed);
  sim->loss = 0.02;
  for (uint32_t i = 0; i < NODES; i++)
    {
      sim_start (sim, i, NULL);
      if (does_follow)
        sgr_membership_evacuation_follow (sim->nodes[i].membership, on_evacuation, NULL);
    }
  sim_run (sim, 40 * SIM_US_PER_S);
  assert_int_equal (sim_complete_count (sim), NODES);
}

/* Reads a set from the store at a node; @domain is the evacuated one, NULL for none. */
static void
store_read (sim_t *sim, uint32_t index, uint64_t generation, uint64_t number, const char *domain)
{
  sgr_evacuation_t read = { .version = { generation, number } };

  if (domain != NULL)
    assert_int_equal (sgr_evacuation_domain_add (&read, domain, strlen (domain)), SGR_OK);
  sgr_membership_evacuation_read (sim->nodes[index].membership, sim->now_us, &read);
  sim_schedule (&sim->nodes[index]);
}

/* Number of running nodes for which a failure domain is evacuated. */
static uint32_t
evacuated_count (const sim_t *sim, const char *domain)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->count; i++)
    count += sim->nodes[i].up
             && sgr_evacuation_has (sgr_membership_evacuation (sim->nodes[i].membership), domain);
  return count;
}

/* Guards against an evacuation that reaches some nodes late or not at all, against one whose end
   does, and against a set of a restored store that does not replace the former one. */
static void
test_spread (void **state)
{
  sim_t sim;

  fleet_start (&sim, 1, true);
  store_read (&sim, 5, 1, 100, "domain-1");
  sim_run (&sim, SPREAD_MAX_US);
  assert_int_equal (evacuated_count (&sim, "domain-1"), NODES);
  store_read (&sim, 7, 1, 120, NULL);
  sim_run (&sim, SPREAD_MAX_US);
  assert_int_equal (evacuated_count (&sim, "domain-1"), 0);
  store_read (&sim, 9, 2, 8, "domain-2");
  sim_run (&sim, SPREAD_MAX_US);
  assert_int_equal (evacuated_count (&sim, "domain-2"), NODES);
  sim_release (&sim);
}

/* Guards against a node that starts during an evacuation, while the store turns it away, and sends
   calls to the evacuated domain: it has the set after the first answer of a contact. */
static void
test_node_that_joins_later (void **state)
{
  sim_t sim;
  uint64_t start_us;

  fleet_start (&sim, 2, true);
  store_read (&sim, 5, 1, 100, "domain-1");
  sim_run (&sim, SPREAD_MAX_US);
  sim_stop (&sim, 40);
  sim_run (&sim, SIM_US_PER_S);
  node_start (&sim, 40);
  notified = 0;
  start_us = sim.now_us;
  while (notified == 0 && sim.now_us < start_us + 10 * SIM_US_PER_S)
    sim_run (&sim, SIM_MS);
  assert_true (
      sgr_evacuation_has (sgr_membership_evacuation (sim.nodes[40].membership), "domain-1"));
  /* The first answer is the first datagram that a node receives at all. */
  assert_int_equal (sgr_membership_counters (sim.nodes[40].membership)->messages_received, 1);
  /* The notice of a set that is known already is not repeated. */
  sim_run (&sim, 5 * SIM_US_PER_S);
  assert_int_equal (notified, 1);
  sim_release (&sim);
}

/* Guards against a node that waits in vain for a set that never was, and against one that takes the
   datagram of a node that started with it for an answer. */
static void
test_no_set_is_told_by_older_nodes (void **state)
{
  sim_t sim;
  const sgr_membership_t *m;

  notified = 0;
  fleet_start (&sim, 7, true);
  assert_int_equal (notified, 0);
  sim_stop (&sim, 40);
  node_start (&sim, 40);
  m = sim.nodes[40].membership;
  assert_false (sgr_membership_evacuation_is_denied (m));
  sim_run (&sim, 3 * SIM_US_PER_S);
  assert_true (sgr_membership_evacuation_is_denied (m));
  assert_int_equal (notified, 1);
  store_read (&sim, 5, 1, 100, "domain-1");
  sim_run (&sim, SPREAD_MAX_US);
  assert_false (sgr_membership_evacuation_is_denied (m));
  sim_release (&sim);
}

/* Guards against a set that stays in force on one side of a partition after it was deleted, once
   the sides meet again. */
static bool
is_cut (sim_t *sim, const sim_node_t *from, const sim_node_t *to)
{
  return (from->domain == 0) != (to->domain == 0);
}

static void
test_partition (void **state)
{
  sim_t sim;

  fleet_start (&sim, 3, true);
  store_read (&sim, 1, 1, 100, "domain-1");
  sim_run (&sim, SPREAD_MAX_US);
  sim.blocked = is_cut;
  store_read (&sim, 1, 1, 130, NULL);
  sim_run (&sim, SPREAD_MAX_US);
  assert_int_equal (evacuated_count (&sim, "domain-1"), (NODES + DOMAINS - 1) / DOMAINS);
  sim.blocked = NULL;
  sim_run (&sim, 5 * SIM_US_PER_S);
  assert_int_equal (evacuated_count (&sim, "domain-1"), 0);
  sim_release (&sim);
}

/* Guards against bytes that a fleet without evacuations pays for: reads that find none cause no
   message, and datagrams do not grow. */
static void
test_no_byte_without_evacuation (void **state)
{
  static sgr_membership_writer_t writer;
  static const uint8_t plain[] = { 0x08, SGR_MEMBERSHIP_VERSION, 0x10, SGR_MEMBERSHIP_GOSSIP };
  uint8_t bytes[SGR_MEMBERSHIP_DATAGRAM_MAX];
  sgr_membership_counters_t counters[2][NODES];

  for (int does_follow = 0; does_follow < 2; does_follow++)
    {
      sim_t sim;

      fleet_start (&sim, 4, does_follow == 1);
      for (uint32_t i = 0; does_follow == 1 && i < NODES; i++)
        store_read (&sim, i, 1, 100 + i, NULL);
      sim_run (&sim, 10 * SIM_US_PER_S);
      for (uint32_t i = 0; i < NODES; i++)
        counters[does_follow][i] = *sgr_membership_counters (sim.nodes[i].membership);
      sim_release (&sim);
    }
  assert_memory_equal (counters[0], counters[1], sizeof counters[0]);
  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GOSSIP);
  assert_int_equal (sgr_membership_writer_finish (&writer, bytes), sizeof plain);
  assert_memory_equal (bytes, plain, sizeof plain);
}

/* Guards against a node that does not follow evacuations, but applies or passes on a set. */
static void
test_node_that_does_not_follow (void **state)
{
  sim_t sim;

  fleet_start (&sim, 5, false);
  sgr_membership_evacuation_follow (sim.nodes[5].membership, on_evacuation, NULL);
  store_read (&sim, 5, 1, 100, "domain-1");
  sim_run (&sim, 10 * SIM_US_PER_S);
  assert_int_equal (evacuated_count (&sim, "domain-1"), 1);
  sim_release (&sim);
}

/* Guards against a set of the largest size that leaves no room for the rest of a datagram: nodes
   still start, and learn all members. */
static void
test_largest_set (void **state)
{
  sgr_evacuation_t read = { .version = { 1, 100 } };
  char name[SGR_NAME_MAX + 1];
  sim_t sim;

  memset (name, 'n', SGR_NAME_MAX);
  name[SGR_NAME_MAX] = '\0';
  for (char first = 'a'; sgr_evacuation_domain_add (&read, name, SGR_NAME_MAX) == SGR_OK; first++)
    name[0] = first;
  fleet_start (&sim, 6, true);
  sgr_membership_evacuation_read (sim.nodes[0].membership, sim.now_us, &read);
  sim_schedule (&sim.nodes[0]);
  sim_run (&sim, 4 * SIM_US_PER_S);
  assert_int_equal (evacuated_count (&sim, read.domains[0]), NODES);
  /* The answer of a contact still names other members. */
  sim_stop (&sim, 50);
  node_start (&sim, 50);
  while (sgr_membership_counters (sim.nodes[50].membership)->messages_received == 0)
    sim_run (&sim, SIM_MS);
  assert_true (sgr_membership_size (sim.nodes[50].membership) >= 3);
  for (uint32_t i = 20; i < 40; i++)
    sim_stop (&sim, i);
  for (uint32_t i = 20; i < 40; i++)
    node_start (&sim, i);
  sim_run (&sim, 40 * SIM_US_PER_S);
  assert_int_equal (sim_complete_count (&sim), NODES);
  assert_int_equal (evacuated_count (&sim, read.domains[0]), NODES);
  sim_release (&sim);
}

/* Guards against a malformed set that is applied, or that ends the process. */
static void
test_malformed_set (void **state)
{
  static sgr_membership_writer_t writer;
  static sgr_membership_message_t message;
  sgr_evacuation_t set = { .version = { 3, 7 } };
  uint8_t bytes[SGR_MEMBERSHIP_DATAGRAM_MAX];
  size_t length;

  assert_int_equal (sgr_evacuation_domain_add (&set, "east", 4), SGR_OK);
  for (int fault = 0; fault < 4; fault++)
    {
      sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GOSSIP);
      writer.message.sender = writer.message.boot = 9;
      sgr_membership_writer_set_evacuation (&writer, &set);
      if (fault == 1)
        writer.evacuation.number = 0;
      if (fault == 2)
        writer.evacuated_domains[0].data = (uint8_t *)"ea t";
      if (fault == 3)
        writer.evacuated_domains[0].len = 0;
      length = sgr_membership_writer_finish (&writer, bytes);
      assert_int_equal (sgr_membership_message_decode (bytes, length, &message),
                        fault == 0 ? SGR_OK : SGR_ERR_INVALID);
      if (fault == 0)
        assert_true (message.evacuation.version.generation == 3
                     && message.evacuation.version.number == 7
                     && sgr_evacuation_has (&message.evacuation, "east"));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_spread),
    cmocka_unit_test (test_node_that_joins_later),
    cmocka_unit_test (test_no_set_is_told_by_older_nodes),
    cmocka_unit_test (test_partition),
    cmocka_unit_test (test_no_byte_without_evacuation),
    cmocka_unit_test (test_node_that_does_not_follow),
    cmocka_unit_test (test_largest_set),
    cmocka_unit_test (test_malformed_set),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
