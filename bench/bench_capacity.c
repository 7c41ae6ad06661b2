#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config_policy.h"
#include "data_internal.h"
#include "data_service.h"
#include "gate.h"

/* Slopes of the parts of a node that grow with the fleet: the snapshot, the services and balancers
   of the data task, the gate. docs/CAPACITY.md is worked out from them. */

#define ROUNDS 20

typedef struct
{
  size_t members;
  size_t services;
} size_case_t;

static const size_case_t cases[] = { { 130, 20 }, { 650, 100 }, { 1300, 200 }, { 2600, 400 } };

#define CASES (sizeof cases / sizeof cases[0])

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static int
member_order (const void *a, const void *b)
{
  sgr_node_id_t x = ((const sgr_member_t *)a)->id;
  sgr_node_id_t y = ((const sgr_member_t *)b)->id;

  return x < y ? -1 : x > y;
}

static sgr_snapshot_t *
snapshot_make (const size_case_t *size)
{
  sgr_snapshot_t *snapshot = sgr_snapshot_create (size->members, size->services, 0);

  for (size_t i = 0; i < size->members; i++)
    {
      sgr_member_t *member = &snapshot->members[i];

      snprintf (member->name, sizeof member->name, "node-%zu", i);
      member->id = sgr_node_id_of (member->name);
      snprintf (member->service, sizeof member->service, "service-%zu", i % size->services);
      snprintf (member->failure_domain, sizeof member->failure_domain, "domain-%zu", i % 15);
      member->slots = 16;
      member->target_state = SGR_TARGET_SERVING;
    }
  snapshot->member_count = size->members;
  qsort (snapshot->members, snapshot->member_count, sizeof *snapshot->members, member_order);
  for (size_t i = 0; i < size->services; i++)
    {
      char name[SGR_NAME_MAX + 1];

      snprintf (name, sizeof name, "service-%zu", i);
      sgr_policy_init (&snapshot->policies[i], name);
    }
  snapshot->policy_count = size->services;
  return snapshot;
}

static void
services_row (const size_case_t *size)
{
  static sgr_settings_t settings = { .region = "region", .failure_domain = "domain-0" };
  sgr_data_task_t task = { .settings = &settings };
  size_t heap = heap_bytes ();
  sgr_snapshot_t *snapshot = snapshot_make (size);
  size_t snapshot_bytes = heap_bytes () - heap;
  double built;
  double first;
  double again;

  sgr_rng_seed (&task.rng, 1);
  built = cpu_us ();
  for (int i = 0; i < ROUNDS; i++)
    sgr_snapshot_destroy (snapshot_make (size));
  built = (cpu_us () - built) / ROUNDS;
  heap = heap_bytes ();
  task.services = sgr_data_services_create (&task);
  task.snapshot = snapshot;
  first = cpu_us ();
  sgr_data_services_update (task.services, NULL, 1);
  first = cpu_us () - first;
  heap = heap_bytes () - heap;
  again = cpu_us ();
  for (int i = 0; i < ROUNDS; i++)
    sgr_data_services_update (task.services, snapshot, 2);
  again = (cpu_us () - again) / ROUNDS;
  printf ("%8zu %8zu %12.1f %12.1f %12.1f %12.1f %12.1f\n", size->members, size->services,
          (double)snapshot_bytes / 1024.0, (double)heap / 1024.0, built / 1000.0, first / 1000.0,
          again / 1000.0);
  sgr_data_services_destroy (task.services);
  sgr_snapshot_destroy (snapshot);
}

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
}

static void
gate_row (void)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  size_t heap = heap_bytes ();
  sgr_gate_options_t options;
  sgr_policy_t policy;
  sgr_gate_t *gate;

  sgr_policy_init (&policy, "service");
  sgr_gate_options_init (&options, 1);
  gate = sgr_gate_create (&options, &policy, &callbacks, NULL);
  printf ("gate with its ledger: %.1f KB at the default sizes (%u attempts, %u keys)\n",
          (double)(heap_bytes () - heap) / 1024.0, options.attempts_max, options.keys_max);
  sgr_gate_destroy (gate);
}

int
main (void)
{
  printf ("%8s %8s %12s %12s %12s %12s %12s\n", "members", "services", "snapshot KB", "services KB",
          "build ms", "first ms", "update ms");
  for (size_t i = 0; i < CASES; i++)
    services_row (&cases[i]);
  gate_row ();
  return 0;
}
