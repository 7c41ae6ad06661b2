/* Membership of many nodes in one process and in virtual time, with 5% datagram loss and varying
   delays: start of all nodes, steady state, failures of a node and of a failure domain, and a
   network partition between a region and the others, which the table calls a split.

   Usage: bench_membership [LARGEST_SIZE | full]
   LARGEST_SIZE leaves out larger sizes, for a quick run; "full" also runs the partition at all
   sizes.
 */

#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "../tests/membership_sim.h"

#define FLEET_SIZE_COUNT 4
#define REGION_COUNT 4
#define DOMAIN_COUNT 15
/* Limits of traffic, processor time and memory for each node. The last column of the table prints
   them. */
#define NODE_BUDGET_BYTES_PER_S 5000.0
#define NODE_BUDGET_CPU_PERCENT 1.4
#define NODE_BUDGET_MEMORY_MB 128.0
#define STEADY_DURATION_S 120
/* Length of the windows in which the traffic of each node is measured to find the busiest node. */
#define TRAFFIC_WINDOW_S 60
/* If several nodes declare the same running node dead within this time, they count as one false
   death. False deaths in the first FALSE_DEATH_INTERVAL_S of virtual time are not counted. */
#define FALSE_DEATH_INTERVAL_S 60
/* Configuration revision that one node announces. */
#define ANNOUNCED_REVISION 9
/* Longest time to wait until all membership views are complete. */
#define VIEWS_COMPLETE_TIMEOUT_S 600
/* Value of a measurement that was not made. The value -1 instead means that the awaited condition
   did not occur in time. */
#define VALUE_NOT_MEASURED (-2.0)
#define PARTITION_DURATION_S 300
/* Largest number of nodes for which the partition is measured by default. With 2,600 nodes it takes
   two minutes of processor time, so larger sizes need the argument "full". */
#define PARTITION_NODES_MAX 1300

/* Sizes to measure, as numbers of nodes. */
static const uint32_t sizes[FLEET_SIZE_COUNT] = { 100, 400, 1300, 2600 };

/**
 * struct result_t - measurements of one size
 *
 * The table rows[] describes the members. Names with "bytes" are bytes a second, sent and received
 * together unless the name says otherwise.
 */
typedef struct
{
  double start_s;
  double start_bytes_mean;
  double start_bytes_contact;
  double start_bytes_busiest;
  double start_false_deaths;
  double sent_bytes;
  double received_bytes;
  double messages;
  double cpu_percent;
  double memory_kb;
  double process_mb;
  double false_deaths_per_day;
  double suspicions;
  double drain_s;
  double revision_s;
  double first_dead_s;
  double all_dead_s;
  double join_view_s;
  double join_known_s;
  double domain_lost_s;
  double domain_bytes_busiest;
  double domain_false_deaths;
  double domain_back_s;
  double partition_seen_s;
  double partition_bytes_busiest;
  double partition_false_deaths;
  double reconnect_s;
  double reconnect_bytes_busiest;
} result_t;

/**
 * struct bench_t - state of the measurement of one size
 * @sim: the simulation
 * @result: receives the measurements
 * @false_death_us: for each node, when it was last counted in @false_deaths
 * @last_bytes: for each node, bytes sent and received until the start of the present window
 * @busiest_bytes_per_s: highest rate of any node in any window so far
 * @false_deaths: how often running nodes were declared dead
 * @watched_id: node whose drain, death or join is measured
 * @watched_dead_us: when the first other node declared it dead, 0 before that
 */
typedef struct
{
  sim_t sim;
  result_t *result;
  uint64_t *false_death_us;
  uint64_t *last_bytes;
  double busiest_bytes_per_s;
  uint32_t false_deaths;
  sgr_node_id_t watched_id;
  uint64_t watched_dead_us;
} bench_t;

/* Membership callback: a node learned of a change of a member. Counts running members that are
   wrongly declared dead. If the member has a higher configuration revision, puts this revision in
   force at the node. */
static void
on_member_changed (sim_t *sim, sim_node_t *node, const sgr_member_t *member)
{
  bench_t *bench = sim->ctx;
  uint32_t index = member->control_address.ip - SIM_IP;
  sgr_member_t self;

  if (member->status == SGR_MEMBER_DEAD && member->id == bench->watched_id
      && bench->watched_dead_us == 0)
    bench->watched_dead_us = sim->now_us;
  /* Counts only nodes in their first boot. A restarted node is not counted, because the other nodes
     rightly declare its earlier boot dead. */
  if (member->status == SGR_MEMBER_DEAD && index < sim->count && sim->nodes[index].up
      && sim->nodes[index].boot_count == 1
      && bench->false_death_us[index] + FALSE_DEATH_INTERVAL_S * SIM_US_PER_S < sim->now_us)
    {
      /* Sets the time of this false death. If other nodes learn of the same false death within the
         interval, it is not counted again. */
      bench->false_death_us[index] = sim->now_us;
      bench->false_deaths++;
    }
  sgr_membership_self_get (node->membership, &self);
  if (member->config_revision > self.config_revision)
    {
      sgr_membership_update_t update
          = { self.target_state, self.service, self.slots, member->config_revision };

      sgr_membership_self_update (node->membership, sim->now_us, &update);
    }
}

/* Returns the bytes that a node has sent and received since its start, 0 if it does not run. */
static uint64_t
node_bytes (const sim_node_t *node)
{
  const sgr_membership_counters_t *counters;

  if (!node->up)
    return 0;
  counters = sgr_membership_counters (node->membership);
  return counters->bytes_sent + counters->bytes_received;
}

/* Ends a window of the traffic measurement. Updates @busiest_bytes_per_s and stores the byte counts
   of all nodes for the next window. */
static void
busiest_node_update (bench_t *bench)
{
  for (uint32_t i = 0; i < bench->sim.count; i++)
    {
      uint64_t bytes = node_bytes (&bench->sim.nodes[i]);

      if (bytes > bench->last_bytes[i] && bench->last_bytes[i] != 0
          && (double)(bytes - bench->last_bytes[i]) / TRAFFIC_WINDOW_S > bench->busiest_bytes_per_s)
        bench->busiest_bytes_per_s = (double)(bytes - bench->last_bytes[i]) / TRAFFIC_WINDOW_S;
      bench->last_bytes[i] = bytes;
    }
}

/* Advances virtual time until @done returns true, and returns the elapsed seconds. Returns -1 if
   @done is still false after @limit_us. If @done is NULL, runs for @limit_us. Stores the highest
   traffic of any node in any window of TRAFFIC_WINDOW_S in @busiest_bytes_per_s. */
static double
run_until (bench_t *bench, bool (*done) (bench_t *bench), uint64_t step_us, uint64_t limit_us)
{
  uint64_t start_us = bench->sim.now_us;
  uint64_t window_start_us = start_us;

  bench->busiest_bytes_per_s = 0;
  busiest_node_update (bench);
  bench->busiest_bytes_per_s = 0;
  while (bench->sim.now_us - start_us < limit_us)
    {
      sim_run (&bench->sim, step_us);
      if (bench->sim.now_us - window_start_us >= TRAFFIC_WINDOW_S * SIM_US_PER_S)
        {
          busiest_node_update (bench);
          window_start_us = bench->sim.now_us;
        }
      if (done != NULL && done (bench))
        return (double)(bench->sim.now_us - start_us) / SIM_US_PER_S;
    }
  return done == NULL ? (double)limit_us / SIM_US_PER_S : -1;
}

/* Whether the live members in the membership view of each running node are exactly the running
   nodes. */
static bool
are_all_views_complete (bench_t *bench)
{
  return sim_complete_count (&bench->sim) == sim_up_count (&bench->sim);
}

/* Whether the watched node is alive and its target is draining in the membership views of all other
   nodes. */
static bool
is_watched_draining_in_all_views (bench_t *bench)
{
  return sim_seen_count (&bench->sim, bench->watched_id, SGR_MEMBER_ALIVE, SGR_TARGET_DRAINING)
         == bench->sim.count - 1;
}

/* Whether the watched node is dead in the membership views of all other nodes. */
static bool
is_watched_dead_in_all_views (bench_t *bench)
{
  return sim_seen_count (&bench->sim, bench->watched_id, SGR_MEMBER_DEAD, SGR_TARGET_SERVING)
         == bench->sim.count - 1;
}

/* Whether the watched node is alive and its target is serving in the membership views of all other
   nodes. */
static bool
is_watched_serving_in_all_views (bench_t *bench)
{
  return sim_seen_count (&bench->sim, bench->watched_id, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING)
         == bench->sim.count - 1;
}

static bool
is_revision_in_force_at_all_nodes (bench_t *bench)
{
  for (uint32_t i = 0; i < bench->sim.count; i++)
    {
      sgr_member_t self;

      sgr_membership_self_get (bench->sim.nodes[i].membership, &self);
      if (self.config_revision != ANNOUNCED_REVISION)
        return false;
    }
  return true;
}

/* Returns the processor time of this process in seconds. */
static double
process_cpu_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

/* Returns the sum of the counters of all nodes. All nodes have to be running. */
static sgr_membership_counters_t
counters_sum (const sim_t *sim)
{
  sgr_membership_counters_t sum = { 0 };

  for (uint32_t i = 0; i < sim->count; i++)
    {
      const sgr_membership_counters_t *counters
          = sgr_membership_counters (sim->nodes[i].membership);

      sum.bytes_sent += counters->bytes_sent;
      sum.bytes_received += counters->bytes_received;
      sum.messages_sent += counters->messages_sent;
      sum.messages_received += counters->messages_received;
      sum.suspicions += counters->suspicions;
    }
  return sum;
}

/* Starts all nodes at once and waits until all views are complete. */
static void
start_of_all_nodes_measure (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  result_t *result = bench->result;
  sgr_membership_counters_t sum;

  for (uint32_t i = 0; i < sim->count; i++)
    sim_start (sim, i, NULL);
  result->start_s = run_until (bench, are_all_views_complete, SIM_US_PER_S,
                               VIEWS_COMPLETE_TIMEOUT_S * SIM_US_PER_S);
  sum = counters_sum (sim);
  result->start_bytes_mean = (double)(sum.bytes_sent + sum.bytes_received) / sim->count
                             / (result->start_s < 0 ? VIEWS_COMPLETE_TIMEOUT_S : result->start_s);
  result->start_bytes_contact = 0;
  for (uint32_t i = 0; i < sim->contacts; i++)
    result->start_bytes_contact
        += (double)node_bytes (&sim->nodes[i]) / sim->contacts
           / (result->start_s < 0 ? VIEWS_COMPLETE_TIMEOUT_S : result->start_s);
  result->start_bytes_busiest
      = bench->busiest_bytes_per_s > 0 ? bench->busiest_bytes_per_s : VALUE_NOT_MEASURED;
  result->start_false_deaths = bench->false_deaths;
}

/* Measures traffic, processor time and memory in the steady state, in which no node changes. */
static void
steady_state_measure (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  result_t *result = bench->result;
  double node_seconds = (double)sim->count * STEADY_DURATION_S;
  sgr_membership_counters_t counters_before;
  sgr_membership_counters_t counters_after;
  size_t memory = 0;
  double cpu_used_s;
  struct rusage usage;

  run_until (bench, NULL, SIM_US_PER_S, 60 * SIM_US_PER_S);
  bench->false_deaths = 0;
  counters_before = counters_sum (sim);
  cpu_used_s = process_cpu_s ();
  run_until (bench, NULL, SIM_US_PER_S, STEADY_DURATION_S * SIM_US_PER_S);
  cpu_used_s = process_cpu_s () - cpu_used_s;
  counters_after = counters_sum (sim);
  result->sent_bytes
      = (double)(counters_after.bytes_sent - counters_before.bytes_sent) / node_seconds;
  result->received_bytes
      = (double)(counters_after.bytes_received - counters_before.bytes_received) / node_seconds;
  result->messages = (double)(counters_after.messages_sent + counters_after.messages_received
                              - counters_before.messages_sent - counters_before.messages_received)
                     / node_seconds;
  result->suspicions
      = (double)(counters_after.suspicions - counters_before.suspicions) / node_seconds * 86400;
  result->cpu_percent = cpu_used_s / node_seconds * 100;
  result->false_deaths_per_day = bench->false_deaths / node_seconds * 86400;
  for (uint32_t i = 0; i < sim->count; i++)
    memory += sgr_membership_memory (sim->nodes[i].membership);
  result->memory_kb = (double)memory / sim->count / 1024;
  getrusage (RUSAGE_SELF, &usage);
  result->process_mb = (double)usage.ru_maxrss / 1024;
}

/* Measures how long four changes of a single node take to reach all others: a drain, a new
   configuration revision, a crash and a join. */
static void
single_node_changes_measure (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  result_t *result = bench->result;
  uint32_t node = sim->count / 2;
  sgr_membership_update_t update = { SGR_TARGET_DRAINING, "service-000", 16, 0 };
  double event_s = 0;

  bench->watched_id = sim_id (node);
  sgr_membership_self_update (sim->nodes[node].membership, sim->now_us, &update);
  sim_schedule (&sim->nodes[node]);
  result->drain_s
      = run_until (bench, is_watched_draining_in_all_views, SIM_US_PER_S / 10, 60 * SIM_US_PER_S);
  update = (sgr_membership_update_t){ SGR_TARGET_SERVING, "service-000", 16, ANNOUNCED_REVISION };
  sgr_membership_self_update (sim->nodes[node].membership, sim->now_us, &update);
  sim_schedule (&sim->nodes[node]);
  result->revision_s
      = run_until (bench, is_revision_in_force_at_all_nodes, SIM_US_PER_S / 10, 60 * SIM_US_PER_S);
  run_until (bench, NULL, SIM_US_PER_S, 30 * SIM_US_PER_S);
  sim_stop (sim, node);
  event_s = (double)sim->now_us / SIM_US_PER_S;
  result->all_dead_s
      = run_until (bench, is_watched_dead_in_all_views, SIM_US_PER_S / 10, 180 * SIM_US_PER_S);
  result->first_dead_s = (double)bench->watched_dead_us / SIM_US_PER_S - event_s;
  run_until (bench, NULL, SIM_US_PER_S, 30 * SIM_US_PER_S);
  sim_start (sim, node, NULL);
  event_s = (double)sim->now_us / SIM_US_PER_S;
  result->join_known_s
      = run_until (bench, is_watched_serving_in_all_views, SIM_US_PER_S / 10, 180 * SIM_US_PER_S);
  while (sgr_membership_size (sim->nodes[node].membership) < sim->count
         && (double)sim->now_us / SIM_US_PER_S - event_s < 300)
    sim_run (sim, SIM_US_PER_S / 10);
  result->join_view_s = (double)sim->now_us / SIM_US_PER_S - event_s;
}

/* Stops all nodes of the last failure domain and starts them again without any state. */
static void
failure_domain_restart_measure (bench_t *bench)
{
  sim_t *sim = &bench->sim;

  bench->false_deaths = 0;
  for (uint32_t i = DOMAIN_COUNT - 1; i < sim->count; i += DOMAIN_COUNT)
    sim_stop (sim, i);
  bench->result->domain_lost_s = run_until (bench, are_all_views_complete, SIM_US_PER_S,
                                            VIEWS_COMPLETE_TIMEOUT_S * SIM_US_PER_S);
  bench->result->domain_bytes_busiest
      = bench->busiest_bytes_per_s > 0 ? bench->busiest_bytes_per_s : VALUE_NOT_MEASURED;
  run_until (bench, NULL, SIM_US_PER_S, 60 * SIM_US_PER_S);
  bench->result->domain_false_deaths = bench->false_deaths;
  for (uint32_t i = DOMAIN_COUNT - 1; i < sim->count; i += DOMAIN_COUNT)
    sim_start (sim, i, NULL);
  bench->result->domain_back_s = run_until (bench, are_all_views_complete, SIM_US_PER_S,
                                            VIEWS_COMPLETE_TIMEOUT_S * SIM_US_PER_S);
}

/* Blocks all datagrams between region 0 and the other regions. */
static bool
is_link_partitioned (sim_t *sim, const sim_node_t *from, const sim_node_t *to)
{
  return (from->region == 0) != (to->region == 0);
}

/* Whether the live members in the membership view of each node are exactly the nodes on its own
   side of the partition. */
static bool
is_partition_in_all_views (bench_t *bench)
{
  uint32_t region_nodes = 0;

  for (uint32_t i = 0; i < bench->sim.count; i++)
    region_nodes += bench->sim.nodes[i].region == 0;
  for (uint32_t i = 0; i < bench->sim.count; i++)
    if (sgr_membership_size (bench->sim.nodes[i].membership)
        != (bench->sim.nodes[i].region == 0 ? region_nodes : bench->sim.count - region_nodes))
      return false;
  return true;
}

/* Partitions region 0 from the other regions for PARTITION_DURATION_S, then ends the partition. */
static void
partition_measure (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  uint64_t end_us = sim->now_us + PARTITION_DURATION_S * SIM_US_PER_S;

  sim->blocked = is_link_partitioned;
  bench->result->partition_seen_s = run_until (bench, is_partition_in_all_views, SIM_US_PER_S,
                                               PARTITION_DURATION_S * SIM_US_PER_S);
  bench->result->partition_bytes_busiest
      = bench->busiest_bytes_per_s > 0 ? bench->busiest_bytes_per_s : VALUE_NOT_MEASURED;
  if (sim->now_us < end_us)
    run_until (bench, NULL, SIM_US_PER_S, end_us - sim->now_us);
  sim->blocked = NULL;
  bench->result->reconnect_s = run_until (bench, are_all_views_complete, SIM_US_PER_S,
                                          VIEWS_COMPLETE_TIMEOUT_S * SIM_US_PER_S);
  bench->result->reconnect_bytes_busiest
      = bench->busiest_bytes_per_s > 0 ? bench->busiest_bytes_per_s : VALUE_NOT_MEASURED;
}

/* Measures a fleet of @size nodes. The measurements after the steady state run at the same time in
   child processes. Each of these starts from a copy of the steady state. */
static void
fleet_size_run (uint32_t size, bool full, result_t *result)
{
  static void (*const phases[]) (bench_t *)
      = { single_node_changes_measure, failure_domain_restart_measure, partition_measure };
  bench_t bench = { .result = result };

  sim_init (&bench.sim, size, REGION_COUNT, DOMAIN_COUNT, size);
  bench.sim.ctx = &bench;
  bench.sim.changed = on_member_changed;
  bench.sim.loss = 0.05;
  bench.sim.jitter_us = 20 * SIM_MS;
  bench.sim.contacts = DOMAIN_COUNT; /* the contacts are one node of each failure domain */
  bench.false_death_us = calloc (size, sizeof *bench.false_death_us);
  bench.last_bytes = calloc (size, sizeof *bench.last_bytes);
  start_of_all_nodes_measure (&bench);
  fprintf (stderr, "%u nodes: started at %.0f s of virtual time, %.0f s of processor\n", size,
           (double)bench.sim.now_us / SIM_US_PER_S, process_cpu_s ());
  steady_state_measure (&bench);
  for (size_t i = 0; i < sizeof phases / sizeof phases[0]; i++)
    if ((phases[i] != partition_measure || size <= PARTITION_NODES_MAX || full) && fork () == 0)
      {
        phases[i](&bench);
        fprintf (stderr, "%u nodes: phase %zu done, %.0f s of processor\n", size, i,
                 process_cpu_s ());
        _exit (0);
      }
  while (wait (NULL) > 0)
    ;
}

/**
 * struct row_t - one row of the table
 * @label: first column
 * @offset: offset of the value in result_t
 * @budget: last column, "-" for none
 */
typedef struct
{
  const char *label;
  size_t offset;
  const char *budget;
} row_t;

#define RESULT_ROW(label, field, budget)                                                           \
  {                                                                                                \
    label, offsetof (result_t, field), budget                                                      \
  }

static const row_t rows[] = {
  RESULT_ROW ("all start at once: all views complete, s", start_s, "-"),
  RESULT_ROW ("  bytes/s per node, mean", start_bytes_mean, "5000"),
  RESULT_ROW ("  bytes/s per contact, mean", start_bytes_contact, "5000"),
  RESULT_ROW ("  bytes/s, busiest node of any 60 s", start_bytes_busiest, "5000"),
  RESULT_ROW ("  live nodes declared dead", start_false_deaths, "0"),
  RESULT_ROW ("steady: bytes/s sent per node", sent_bytes, "5000 together"),
  RESULT_ROW ("  bytes/s received per node", received_bytes, "5000 together"),
  RESULT_ROW ("  messages/s per node, both ways", messages, "-"),
  RESULT_ROW ("  processor, % of a core per node", cpu_percent, "1.4"),
  RESULT_ROW ("  memory per node, KB", memory_kb, "131072"),
  RESULT_ROW ("  whole process of all nodes, MB", process_mb, "4096"),
  RESULT_ROW ("  live nodes declared dead, per node-day", false_deaths_per_day, "0"),
  RESULT_ROW ("  suspicions, per node-day", suspicions, "-"),
  RESULT_ROW ("drain known everywhere, s", drain_s, "a few s"),
  RESULT_ROW ("configuration revision everywhere, s", revision_s, "2"),
  RESULT_ROW ("crash: first node declares it dead, s", first_dead_s, "-"),
  RESULT_ROW ("  all nodes hold it dead, s", all_dead_s, "-"),
  RESULT_ROW ("join of one: known everywhere, s", join_known_s, "-"),
  RESULT_ROW ("  has the full view, s", join_view_s, "-"),
  RESULT_ROW ("failure domain lost: all hold it dead, s", domain_lost_s, "-"),
  RESULT_ROW ("  bytes/s, busiest node of any 60 s", domain_bytes_busiest, "5000"),
  RESULT_ROW ("  live nodes declared dead", domain_false_deaths, "0"),
  RESULT_ROW ("  back empty: all views complete, s", domain_back_s, "-"),
  RESULT_ROW ("region split of 300 s: seen everywhere, s", partition_seen_s, "-"),
  RESULT_ROW ("  bytes/s, busiest node of any 60 s", partition_bytes_busiest, "5000"),
  RESULT_ROW ("  healed: all views complete, s", reconnect_s, "-"),
  RESULT_ROW ("  bytes/s, busiest node of any 60 s", reconnect_bytes_busiest, "5000"),
};

static double
row_value_get (const result_t *result, const row_t *row)
{
  double value;

  memcpy (&value, (const char *)result + row->offset, sizeof value);
  return value;
}

/* Returns by how much a value grows for each additional node. It is the slope of a linear
   least-squares fit over the sizes for which the value was measured. */
static double
slope_per_node (const result_t *results, const row_t *row)
{
  double mean_x = 0;
  double mean_y = 0;
  double xy = 0;
  double xx = 0;
  int count = 0;

  for (int i = 0; i < FLEET_SIZE_COUNT; i++)
    {
      double value = row_value_get (&results[i], row);

      if (value < 0)
        continue;
      mean_x += sizes[i];
      mean_y += value;
      count++;
    }
  if (count < 2)
    return 0;
  mean_x /= count;
  mean_y /= count;
  for (int i = 0; i < FLEET_SIZE_COUNT; i++)
    {
      double value = row_value_get (&results[i], row);

      if (value < 0)
        continue;
      xy += (sizes[i] - mean_x) * (value - mean_y);
      xx += (sizes[i] - mean_x) * (sizes[i] - mean_x);
    }
  return xy / xx;
}

/* Sets all values to VALUE_NOT_MEASURED. */
static void
results_clear (result_t *results)
{
  for (int i = 0; i < FLEET_SIZE_COUNT; i++)
    for (size_t r = 0; r < sizeof rows / sizeof rows[0]; r++)
      {
        double value = VALUE_NOT_MEASURED;

        memcpy ((char *)&results[i] + rows[r].offset, &value, sizeof value);
      }
}

int
main (int argc, char **argv)
{
  bool full = argc > 1 && strcmp (argv[1], "full") == 0;
  uint32_t size_max = argc > 1 && !full ? (uint32_t)strtoul (argv[1], NULL, 10) : UINT32_MAX;
  /* Results are in shared memory, because each size runs in a child process. */
  result_t *results = mmap (NULL, sizeof *results * FLEET_SIZE_COUNT, PROT_READ | PROT_WRITE,
                            MAP_SHARED | MAP_ANONYMOUS, -1, 0);

  if (results == MAP_FAILED)
    return 1;
  results_clear (results);
  for (int i = 0; i < FLEET_SIZE_COUNT; i++)
    if (sizes[i] <= size_max && fork () == 0)
      {
        fleet_size_run (sizes[i], full, &results[i]);
        _exit (0);
      }
  while (wait (NULL) > 0)
    ;
  printf ("5%% loss, 4 regions, 15 failure domains, one way 0.25/5/40 ms doubled at random plus up "
          "to 20 ms; -1: not within the limit, -: not run or shorter than 60 s\n");
  printf ("%-44s", "nodes");
  for (int i = 0; i < FLEET_SIZE_COUNT; i++)
    printf (" %9u", sizes[i]);
  printf (" %11s  %s\n", "per node", "budget");
  for (size_t r = 0; r < sizeof rows / sizeof rows[0]; r++)
    {
      printf ("%-44s", rows[r].label);
      for (int i = 0; i < FLEET_SIZE_COUNT; i++)
        if (row_value_get (&results[i], &rows[r]) == VALUE_NOT_MEASURED)
          printf (" %9s", "-");
        else
          printf (" %9.*f", row_value_get (&results[i], &rows[r]) < 1 ? 4 : 1,
                  row_value_get (&results[i], &rows[r]));
      printf (" %11.5f  %s\n", slope_per_node (results, &rows[r]), rows[r].budget);
    }
  return 0;
}
