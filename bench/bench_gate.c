/* Cost of the decisions of a gate for one attempt (admit, started, finish), as ratios within one
   run and as a share of the latency goal of section 1.4. */

#include <stdio.h>
#include <stdlib.h>

#include "gate.h"
#include "gate_ledger.h"
#include "rng.h"

#define ROUNDS 400000
#define BOOT 1

typedef struct
{
  sgr_gate_handle_t started[4096];
  uint32_t count;
} queue_of_starts_t;

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  queue_of_starts_t *starts = ctx;

  starts->started[starts->count++ % 4096] = handle;
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
}

/**
 * struct load_t - one way to use the gate
 * @name: for the table
 * @tenants: number of tenants
 * @waiting: attempts that wait at any time
 * @keyed: each attempt has its own key
 */
typedef struct
{
  const char *name;
  uint32_t tenants;
  uint32_t waiting;
  bool keyed;
} load_t;

static double
run (const load_t *load, queue_of_starts_t *starts)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  sgr_gate_finish_t finish = { .latency_us = 1000, .answer = "0123456789", .answer_length = 10 };
  sgr_gate_options_t options;
  sgr_policy_t policy;
  sgr_gate_t *gate;
  uint64_t begin_us;
  double ns;

  *starts = (queue_of_starts_t){ 0 };
  sgr_policy_init (&policy, "bench");
  policy.queue_max = 1024;
  sgr_gate_options_init (&options, BOOT);
  options.keys_max = ROUNDS + 2048;
  options.answer_bytes_max = 64U << 20;
  options.answer_length_max = 64;
  gate = sgr_gate_create (&options, &policy, &callbacks, starts);
  sgr_gate_target_update (gate, 0, SGR_TARGET_SERVING, 16);
  begin_us = sgr_clock_monotonic_us ();
  for (uint64_t i = 0; i < ROUNDS; i++)
    {
      char tenant[16];
      sgr_attempt_t attempt = { .id = { .node = i % 64, .boot = 1, .sequence = i },
                                .gate_boot = BOOT,
                                .deadline_us = 1000 * SGR_USEC_PER_SEC,
                                .tenant = tenant,
                                .class_name = "",
                                .has_key = load->keyed,
                                .key = { .low = i * 0x9e3779b97f4a7c15ULL } };
      sgr_gate_decision_t decision;
      uint64_t now_us = i * 1000;

      tenant[0] = (char)('a' + i % load->tenants % 16);
      tenant[1] = (char)('a' + i % load->tenants / 16);
      tenant[2] = '\0';
      sgr_gate_attempt_admit (gate, now_us, &attempt, &decision);
      if (decision.kind == SGR_GATE_START)
        starts->started[starts->count++ % 4096] = decision.handle;
      if (i < 15 + load->waiting)
        continue;
      sgr_gate_attempt_started (gate, starts->started[(i - 15 - load->waiting) % 4096]);
      sgr_gate_attempt_finish (gate, starts->started[(i - 15 - load->waiting) % 4096], now_us,
                               &finish);
    }
  ns = (double)(sgr_clock_monotonic_us () - begin_us) * 1000.0 / ROUNDS;
  sgr_gate_destroy (gate);
  return ns;
}

int
main (void)
{
  static const load_t loads[] = {
    { "free slots, 1 tenant", 1, 0, false },
    { "free slots, 200 tenants", 200, 0, false },
    { "keyed, 200 tenants", 200, 0, true },
    { "queue of 64, 8 tenants", 8, 64, false },
    { "queue of 64, 64 tenants", 64, 64, false },
    { "queue of 1000, 200 tenants", 200, 1000, false },
  };
  queue_of_starts_t *starts = malloc (sizeof *starts);
  double base = 0;

  printf ("gate: admit + started + finish of one attempt, %d attempts\n", ROUNDS);
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      double ns = run (&loads[i], starts);

      if (i == 0)
        base = ns;
      printf ("%-28s %7.0f ns, %5.2f of the first, %.3f%% of the 0.41 ms goal\n", loads[i].name, ns,
              ns / base, ns / 4100);
    }
  free (starts);
  return 0;
}
