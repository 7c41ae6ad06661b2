/* Membership of many nodes in one process and in virtual time, with 5% loss and varying delay. */

#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "../tests/membership_sim.h"

#define SIZES 4
#define REGIONS 4
#define DOMAINS 15
#define BUDGET_BYTES 5000.0
#define BUDGET_CPU_PERCENT 1.4
#define BUDGET_MEMORY_MB 128.0
#define STEADY_S 120
/* Marks a value that was not measured; -1 marks a condition that was not reached in time. */
#define NOT_RUN (-2.0)
#define SPLIT_S 300
/* The split of 2,600 nodes takes two minutes of processor time; it runs with the argument "full".
 */
#define SPLIT_SIZE_MAX 1300

static const uint32_t sizes[SIZES] = { 100, 400, 1300, 2600 };

typedef struct
{
  double start_s;
  double start_mean;
  double start_contact;
  double start_worst;
  double start_false;
  double sent;
  double received;
  double messages;
  double cpu_percent;
  double memory_kb;
  double process_mb;
  double false_per_day;
  double suspicions;
  double drain_s;
  double revision_s;
  double first_dead_s;
  double all_dead_s;
  double join_view_s;
  double join_known_s;
  double domain_lost_s;
  double domain_worst;
  double domain_false;
  double domain_back_s;
  double split_seen_s;
  double split_worst;
  double split_false;
  double heal_s;
  double heal_worst;
} result_t;

typedef struct
{
  sim_t sim;
  result_t *result;
  uint64_t *last_false_us;
  uint64_t *bytes;
  double worst;
  uint32_t false_deaths;
  sgr_node_id_t watched;
  uint64_t watched_dead_us;
} bench_t;

static void
on_changed (sim_t *sim, sim_node_t *node, const sgr_member_t *member)
{
  bench_t *bench = sim->ctx;
  uint32_t index = member->control_address.ip - SIM_IP;
  sgr_member_t self;

  if (member->status == SGR_MEMBER_DEAD && member->id == bench->watched
      && bench->watched_dead_us == 0)
    bench->watched_dead_us = sim->now_us;
  if (member->status == SGR_MEMBER_DEAD && index < sim->count && sim->nodes[index].up
      && sim->nodes[index].lives == 1 && bench->last_false_us[index] + 60 * SIM_S < sim->now_us)
    {
      /* Later views of the same mistake are not counted again. */
      bench->last_false_us[index] = sim->now_us;
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

static uint64_t
node_bytes (const sim_node_t *node)
{
  const sgr_membership_counters_t *counters;

  if (!node->up)
    return 0;
  counters = sgr_membership_counters (node->membership);
  return counters->bytes_sent + counters->bytes_received;
}

static void
bytes_mark (bench_t *bench)
{
  for (uint32_t i = 0; i < bench->sim.count; i++)
    {
      uint64_t bytes = node_bytes (&bench->sim.nodes[i]);

      if (bytes > bench->bytes[i] && bench->bytes[i] != 0
          && (double)(bytes - bench->bytes[i]) / 60 > bench->worst)
        bench->worst = (double)(bytes - bench->bytes[i]) / 60;
      bench->bytes[i] = bytes;
    }
}

/* Runs until the condition holds; returns the seconds, or -1 after the limit. Records the busiest
   node of any 60 s. */
static double
run_until (bench_t *bench, bool (*done) (bench_t *bench), uint64_t step_us, uint64_t limit_us)
{
  uint64_t start_us = bench->sim.now_us;
  uint64_t mark_us = start_us;

  bench->worst = 0;
  bytes_mark (bench);
  bench->worst = 0;
  while (bench->sim.now_us - start_us < limit_us)
    {
      sim_run (&bench->sim, step_us);
      if (bench->sim.now_us - mark_us >= 60 * SIM_S)
        {
          bytes_mark (bench);
          mark_us = bench->sim.now_us;
        }
      if (done != NULL && done (bench))
        return (double)(bench->sim.now_us - start_us) / SIM_S;
    }
  return done == NULL ? (double)limit_us / SIM_S : -1;
}

static bool
is_complete (bench_t *bench)
{
  return sim_complete_count (&bench->sim) == sim_up_count (&bench->sim);
}

static bool
is_watched_draining (bench_t *bench)
{
  return sim_seen_count (&bench->sim, bench->watched, SGR_MEMBER_ALIVE, SGR_TARGET_DRAINING)
         == bench->sim.count - 1;
}

static bool
is_watched_dead (bench_t *bench)
{
  return sim_seen_count (&bench->sim, bench->watched, SGR_MEMBER_DEAD, SGR_TARGET_SERVING)
         == bench->sim.count - 1;
}

static bool
is_watched_known (bench_t *bench)
{
  return sim_seen_count (&bench->sim, bench->watched, SGR_MEMBER_ALIVE, SGR_TARGET_SERVING)
         == bench->sim.count - 1;
}

static bool
is_revision_known (bench_t *bench)
{
  for (uint32_t i = 0; i < bench->sim.count; i++)
    {
      sgr_member_t self;

      sgr_membership_self_get (bench->sim.nodes[i].membership, &self);
      if (self.config_revision != 9)
        return false;
    }
  return true;
}

static double
cpu_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static sgr_membership_counters_t
totals (const sim_t *sim)
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

static void
phase_start (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  result_t *result = bench->result;
  sgr_membership_counters_t sum;

  for (uint32_t i = 0; i < sim->count; i++)
    sim_start (sim, i, NULL);
  result->start_s = run_until (bench, is_complete, SIM_S, 600 * SIM_S);
  sum = totals (sim);
  result->start_mean = (double)(sum.bytes_sent + sum.bytes_received) / sim->count
                       / (result->start_s < 0 ? 600 : result->start_s);
  result->start_contact = 0;
  for (uint32_t i = 0; i < sim->contacts; i++)
    result->start_contact += (double)node_bytes (&sim->nodes[i]) / sim->contacts
                             / (result->start_s < 0 ? 600 : result->start_s);
  result->start_worst = bench->worst > 0 ? bench->worst : NOT_RUN;
  result->start_false = bench->false_deaths;
}

static void
phase_steady (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  result_t *result = bench->result;
  double node_seconds = (double)sim->count * STEADY_S;
  sgr_membership_counters_t before;
  sgr_membership_counters_t after;
  size_t memory = 0;
  double cpu;
  struct rusage usage;

  run_until (bench, NULL, SIM_S, 60 * SIM_S);
  bench->false_deaths = 0;
  before = totals (sim);
  cpu = cpu_s ();
  run_until (bench, NULL, SIM_S, STEADY_S * SIM_S);
  cpu = cpu_s () - cpu;
  after = totals (sim);
  result->sent = (double)(after.bytes_sent - before.bytes_sent) / node_seconds;
  result->received = (double)(after.bytes_received - before.bytes_received) / node_seconds;
  result->messages = (double)(after.messages_sent + after.messages_received - before.messages_sent
                              - before.messages_received)
                     / node_seconds;
  result->suspicions = (double)(after.suspicions - before.suspicions) / node_seconds * 86400;
  result->cpu_percent = cpu / node_seconds * 100;
  result->false_per_day = bench->false_deaths / node_seconds * 86400;
  for (uint32_t i = 0; i < sim->count; i++)
    memory += sgr_membership_memory (sim->nodes[i].membership);
  result->memory_kb = (double)memory / sim->count / 1024;
  getrusage (RUSAGE_SELF, &usage);
  result->process_mb = (double)usage.ru_maxrss / 1024;
}

static void
phase_single (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  result_t *result = bench->result;
  uint32_t node = sim->count / 2;
  sgr_membership_update_t update = { SGR_TARGET_DRAINING, "service-000", 16, 0 };
  double elapsed = 0;

  bench->watched = sim_id (node);
  sgr_membership_self_update (sim->nodes[node].membership, sim->now_us, &update);
  sim_schedule (&sim->nodes[node]);
  result->drain_s = run_until (bench, is_watched_draining, SIM_S / 10, 60 * SIM_S);
  update = (sgr_membership_update_t){ SGR_TARGET_SERVING, "service-000", 16, 9 };
  sgr_membership_self_update (sim->nodes[node].membership, sim->now_us, &update);
  sim_schedule (&sim->nodes[node]);
  result->revision_s = run_until (bench, is_revision_known, SIM_S / 10, 60 * SIM_S);
  run_until (bench, NULL, SIM_S, 30 * SIM_S);
  sim_stop (sim, node);
  elapsed = (double)sim->now_us / SIM_S;
  result->all_dead_s = run_until (bench, is_watched_dead, SIM_S / 10, 180 * SIM_S);
  result->first_dead_s = (double)bench->watched_dead_us / SIM_S - elapsed;
  run_until (bench, NULL, SIM_S, 30 * SIM_S);
  sim_start (sim, node, NULL);
  elapsed = (double)sim->now_us / SIM_S;
  result->join_known_s = run_until (bench, is_watched_known, SIM_S / 10, 180 * SIM_S);
  while (sgr_membership_size (sim->nodes[node].membership) < sim->count
         && (double)sim->now_us / SIM_S - elapsed < 300)
    sim_run (sim, SIM_S / 10);
  result->join_view_s = (double)sim->now_us / SIM_S - elapsed;
}

static void
phase_domain (bench_t *bench)
{
  sim_t *sim = &bench->sim;

  bench->false_deaths = 0;
  for (uint32_t i = DOMAINS - 1; i < sim->count; i += DOMAINS)
    sim_stop (sim, i);
  bench->result->domain_lost_s = run_until (bench, is_complete, SIM_S, 600 * SIM_S);
  bench->result->domain_worst = bench->worst > 0 ? bench->worst : NOT_RUN;
  run_until (bench, NULL, SIM_S, 60 * SIM_S);
  bench->result->domain_false = bench->false_deaths;
  for (uint32_t i = DOMAINS - 1; i < sim->count; i += DOMAINS)
    sim_start (sim, i, NULL);
  bench->result->domain_back_s = run_until (bench, is_complete, SIM_S, 600 * SIM_S);
}

static bool
split_blocked (sim_t *sim, const sim_node_t *from, const sim_node_t *to)
{
  return (from->region == 0) != (to->region == 0);
}

static bool
is_split_seen (bench_t *bench)
{
  uint32_t inside = 0;

  for (uint32_t i = 0; i < bench->sim.count; i++)
    inside += bench->sim.nodes[i].region == 0;
  for (uint32_t i = 0; i < bench->sim.count; i++)
    if (sgr_membership_size (bench->sim.nodes[i].membership)
        != (bench->sim.nodes[i].region == 0 ? inside : bench->sim.count - inside))
      return false;
  return true;
}

static void
phase_split (bench_t *bench)
{
  sim_t *sim = &bench->sim;
  uint64_t end_us = sim->now_us + SPLIT_S * SIM_S;

  sim->blocked = split_blocked;
  bench->result->split_seen_s = run_until (bench, is_split_seen, SIM_S, SPLIT_S * SIM_S);
  bench->result->split_worst = bench->worst > 0 ? bench->worst : NOT_RUN;
  if (sim->now_us < end_us)
    run_until (bench, NULL, SIM_S, end_us - sim->now_us);
  sim->blocked = NULL;
  bench->result->heal_s = run_until (bench, is_complete, SIM_S, 600 * SIM_S);
  bench->result->heal_worst = bench->worst > 0 ? bench->worst : NOT_RUN;
}

/* Phases after the steady state run side by side in children, each from the same state. */
static void
size_run (uint32_t size, bool full, result_t *result)
{
  static void (*const phases[]) (bench_t *) = { phase_single, phase_domain, phase_split };
  bench_t bench = { .result = result };

  sim_init (&bench.sim, size, REGIONS, DOMAINS, size);
  bench.sim.ctx = &bench;
  bench.sim.changed = on_changed;
  bench.sim.loss = 0.05;
  bench.sim.jitter_us = 20 * SIM_MS;
  bench.sim.contacts = DOMAINS; /* one of each failure domain */
  bench.last_false_us = calloc (size, sizeof *bench.last_false_us);
  bench.bytes = calloc (size, sizeof *bench.bytes);
  phase_start (&bench);
  fprintf (stderr, "%u nodes: started at %.0f s of virtual time, %.0f s of processor\n", size,
           (double)bench.sim.now_us / SIM_S, cpu_s ());
  phase_steady (&bench);
  for (size_t i = 0; i < sizeof phases / sizeof phases[0]; i++)
    if ((phases[i] != phase_split || size <= SPLIT_SIZE_MAX || full) && fork () == 0)
      {
        phases[i](&bench);
        fprintf (stderr, "%u nodes: phase %zu done, %.0f s of processor\n", size, i, cpu_s ());
        _exit (0);
      }
  while (wait (NULL) > 0)
    ;
}

typedef struct
{
  const char *label;
  size_t offset;
  const char *budget;
} row_t;

#define ROW(label, field, budget)                                                                  \
  {                                                                                                \
    label, offsetof (result_t, field), budget                                                      \
  }

static const row_t rows[] = {
  ROW ("all start at once: all views complete, s", start_s, "-"),
  ROW ("  bytes/s per node, mean", start_mean, "5000"),
  ROW ("  bytes/s per contact, mean", start_contact, "5000"),
  ROW ("  bytes/s, busiest node of any 60 s", start_worst, "5000"),
  ROW ("  live nodes declared dead", start_false, "0"),
  ROW ("steady: bytes/s sent per node", sent, "5000 together"),
  ROW ("  bytes/s received per node", received, "5000 together"),
  ROW ("  messages/s per node, both ways", messages, "-"),
  ROW ("  processor, % of a core per node", cpu_percent, "1.4"),
  ROW ("  memory per node, KB", memory_kb, "131072"),
  ROW ("  whole process of all nodes, MB", process_mb, "4096"),
  ROW ("  live nodes declared dead, per node-day", false_per_day, "0"),
  ROW ("  suspicions, per node-day", suspicions, "-"),
  ROW ("drain known everywhere, s", drain_s, "a few s"),
  ROW ("configuration revision everywhere, s", revision_s, "2"),
  ROW ("crash: first node declares it dead, s", first_dead_s, "-"),
  ROW ("  all nodes hold it dead, s", all_dead_s, "-"),
  ROW ("join of one: known everywhere, s", join_known_s, "-"),
  ROW ("  has the full view, s", join_view_s, "-"),
  ROW ("failure domain lost: all hold it dead, s", domain_lost_s, "-"),
  ROW ("  bytes/s, busiest node of any 60 s", domain_worst, "5000"),
  ROW ("  live nodes declared dead", domain_false, "0"),
  ROW ("  back empty: all views complete, s", domain_back_s, "-"),
  ROW ("region split of 300 s: seen everywhere, s", split_seen_s, "-"),
  ROW ("  bytes/s, busiest node of any 60 s", split_worst, "5000"),
  ROW ("  healed: all views complete, s", heal_s, "-"),
  ROW ("  bytes/s, busiest node of any 60 s", heal_worst, "5000"),
};

static double
value_of (const result_t *result, const row_t *row)
{
  double value;

  memcpy (&value, (const char *)result + row->offset, sizeof value);
  return value;
}

/* Least squares over the sizes with a value: change of the value for one more node. */
static double
slope_of (const result_t *results, const row_t *row)
{
  double mean_x = 0;
  double mean_y = 0;
  double xy = 0;
  double xx = 0;
  int count = 0;

  for (int i = 0; i < SIZES; i++)
    {
      double value = value_of (&results[i], row);

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
  for (int i = 0; i < SIZES; i++)
    {
      double value = value_of (&results[i], row);

      if (value < 0)
        continue;
      xy += (sizes[i] - mean_x) * (value - mean_y);
      xx += (sizes[i] - mean_x) * (sizes[i] - mean_x);
    }
  return xy / xx;
}

static void
results_clear (result_t *results)
{
  for (int i = 0; i < SIZES; i++)
    for (size_t r = 0; r < sizeof rows / sizeof rows[0]; r++)
      {
        double value = NOT_RUN;

        memcpy ((char *)&results[i] + rows[r].offset, &value, sizeof value);
      }
}

/* An argument bounds the sizes, for a quick look, or is "full". */
int
main (int argc, char **argv)
{
  bool full = argc > 1 && strcmp (argv[1], "full") == 0;
  uint32_t largest = argc > 1 && !full ? (uint32_t)strtoul (argv[1], NULL, 10) : UINT32_MAX;
  result_t *results = mmap (NULL, sizeof *results * SIZES, PROT_READ | PROT_WRITE,
                            MAP_SHARED | MAP_ANONYMOUS, -1, 0);

  if (results == MAP_FAILED)
    return 1;
  results_clear (results);
  for (int i = 0; i < SIZES; i++)
    if (sizes[i] <= largest && fork () == 0)
      {
        size_run (sizes[i], full, &results[i]);
        _exit (0);
      }
  while (wait (NULL) > 0)
    ;
  printf ("5%% loss, 4 regions, 15 failure domains, one way 0.25/5/40 ms doubled at random plus up "
          "to 20 ms; -1: not within the limit, -: not run or shorter than 60 s\n");
  printf ("%-44s", "nodes");
  for (int i = 0; i < SIZES; i++)
    printf (" %9u", sizes[i]);
  printf (" %11s  %s\n", "per node", "budget");
  for (size_t r = 0; r < sizeof rows / sizeof rows[0]; r++)
    {
      printf ("%-44s", rows[r].label);
      for (int i = 0; i < SIZES; i++)
        if (value_of (&results[i], &rows[r]) == NOT_RUN)
          printf (" %9s", "-");
        else
          printf (" %9.*f", value_of (&results[i], &rows[r]) < 1 ? 4 : 1,
                  value_of (&results[i], &rows[r]));
      printf (" %11.5f  %s\n", slope_of (results, &rows[r]), rows[r].budget);
    }
  return 0;
}
