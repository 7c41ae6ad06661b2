/* Measures memory and processor time of the parts of a node: the snapshot, the services with their
   balancers in the data task, and the gate. The snapshot and the services grow with the fleet, so
   they are measured at several sizes. The figures in docs/CAPACITY.md are derived from the growth
   between these sizes. */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config_policy.h"
#include "data_internal.h"
#include "data_service.h"
#include "gate.h"

/* Number of snapshots and updates over which the processor time is averaged. */
#define UPDATE_COUNT 20
/* Number of failure domains. The members are assigned to them in turn. */
#define DOMAIN_COUNT 15

typedef struct
{
  size_t members;
  size_t services;
} fleet_size_t;

static const fleet_size_t sizes[] = { { 130, 20 }, { 650, 100 }, { 1300, 200 }, { 2600, 400 } };

#define FLEET_SIZE_COUNT (sizeof sizes / sizeof sizes[0])

/* Returns the processor time of this process in microseconds. */
static double
process_cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Returns the number of bytes that are allocated on the heap. */
static size_t
heap_allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static int
member_compare (const void *a, const void *b)
{
  sgr_node_id_t x = ((const sgr_member_t *)a)->id;
  sgr_node_id_t y = ((const sgr_member_t *)b)->id;

  return x < y ? -1 : x > y;
}

/* Creates the snapshot of a fleet whose members are assigned to the services in turn. */
static sgr_snapshot_t *
snapshot_create (const fleet_size_t *size)
{
  sgr_snapshot_t *snapshot = sgr_snapshot_create (size->members, size->services, 0);

  for (size_t i = 0; i < size->members; i++)
    {
      sgr_member_t *member = &snapshot->members[i];

      snprintf (member->name, sizeof member->name, "node-%zu", i);
      member->id = sgr_node_id_of (member->name);
      snprintf (member->service, sizeof member->service, "service-%zu", i % size->services);
      snprintf (member->failure_domain, sizeof member->failure_domain, "domain-%zu",
                i % DOMAIN_COUNT);
      member->slots = 16;
      member->target_state = SGR_TARGET_SERVING;
    }
  snapshot->member_count = size->members;
  qsort (snapshot->members, snapshot->member_count, sizeof *snapshot->members, member_compare);
  for (size_t i = 0; i < size->services; i++)
    {
      char name[SGR_NAME_MAX + 1];

      snprintf (name, sizeof name, "service-%zu", i);
      sgr_policy_init (&snapshot->policies[i], name);
    }
  snapshot->policy_count = size->services;
  return snapshot;
}

/* Prints one row of the table: the memory of the snapshot and of the services, and three processor
   times. They are the times to build a snapshot, to apply the first snapshot, and to apply the same
   snapshot again. */
static void
services_measure (const fleet_size_t *size)
{
  static sgr_settings_t settings = { .region = "region", .failure_domain = "domain-0" };
  sgr_data_task_t task = { .settings = &settings };
  size_t heap = heap_allocated_bytes ();
  sgr_snapshot_t *snapshot = snapshot_create (size);
  size_t snapshot_bytes = heap_allocated_bytes () - heap;
  double build_us;
  double first_update_us;
  double update_us;

  sgr_rng_seed (&task.rng, 1);
  build_us = process_cpu_us ();
  for (int i = 0; i < UPDATE_COUNT; i++)
    sgr_snapshot_destroy (snapshot_create (size));
  build_us = (process_cpu_us () - build_us) / UPDATE_COUNT;
  heap = heap_allocated_bytes ();
  task.services = sgr_data_services_create (&task);
  task.snapshot = snapshot;
  first_update_us = process_cpu_us ();
  sgr_data_services_update (task.services, NULL, 1);
  first_update_us = process_cpu_us () - first_update_us;
  heap = heap_allocated_bytes () - heap;
  update_us = process_cpu_us ();
  for (int i = 0; i < UPDATE_COUNT; i++)
    sgr_data_services_update (task.services, snapshot, 2);
  update_us = (process_cpu_us () - update_us) / UPDATE_COUNT;
  printf ("%8zu %8zu %12.1f %12.1f %12.1f %12.1f %12.1f\n", size->members, size->services,
          (double)snapshot_bytes / 1024.0, (double)heap / 1024.0, build_us / 1000.0,
          first_update_us / 1000.0, update_us / 1000.0);
  sgr_data_services_destroy (task.services);
  sgr_snapshot_destroy (snapshot);
}

static void
on_attempt_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
}

static void
on_attempt_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
}

/* Prints the memory of a gate with default options. */
static void
gate_measure (void)
{
  static const sgr_gate_callbacks_t callbacks
      = { .start = on_attempt_start, .refuse = on_attempt_refuse };
  size_t heap = heap_allocated_bytes ();
  sgr_gate_options_t options;
  sgr_policy_t policy;
  sgr_gate_t *gate;

  sgr_policy_init (&policy, "service");
  sgr_gate_options_init (&options, 1);
  gate = sgr_gate_create (&options, &policy, &callbacks, NULL);
  printf ("gate with its ledger: %.1f KB at the default sizes (%u attempts, %u keys)\n",
          (double)(heap_allocated_bytes () - heap) / 1024.0, options.attempts_max,
          options.keys_max);
  sgr_gate_destroy (gate);
}

int
main (void)
{
  printf ("%8s %8s %12s %12s %12s %12s %12s\n", "members", "services", "snapshot KB", "services KB",
          "build ms", "first ms", "update ms");
  for (size_t i = 0; i < FLEET_SIZE_COUNT; i++)
    services_measure (&sizes[i]);
  gate_measure ();
  return 0;
}
