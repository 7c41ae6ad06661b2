/* Measures how long a gate takes to admit an attempt, mark it as started and finish it, under
   several loads. Prints each time, its ratio to the time under the first load, and its share of the
   latency goal in section 1.4 of docs/design.md. */

#include <stdio.h>
#include <stdlib.h>

#include "gate.h"
#include "gate_ledger.h"
#include "rng.h"

#define ATTEMPT_COUNT 400000
#define GATE_BOOT_ID 1
#define SLOT_COUNT 16
/* Latency goal of section 1.4 of docs/design.md: 0.41 ms. */
#define LATENCY_GOAL_NS 410000.0
#define ATTEMPT_INTERVAL_US 1000
#define ENTRY_NODE_COUNT 64
/* Capacity of the ring of started attempts. It is larger than the slots and the queue together. */
#define START_RING_SIZE 4096
/* 2^64 divided by the golden ratio. Idempotency keys are multiples of this number, which are spread
   evenly over all 64-bit values. */
#define IDEMPOTENCY_KEY_MULTIPLIER 0x9e3779b97f4a7c15ULL

/**
 * struct start_ring_t - ring of the attempts that got a slot, in the order of their starts
 * @handles: handles at the gate
 * @count: attempts that got a slot so far
 */
typedef struct
{
  sgr_gate_handle_t handles[START_RING_SIZE];
  uint32_t count;
} start_ring_t;

static void
on_attempt_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  start_ring_t *starts = ctx;

  starts->handles[starts->count++ % START_RING_SIZE] = handle;
}

static void
on_attempt_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
}

/**
 * struct gate_load_t - load under which the gate is measured
 * @name: name in the table
 * @tenants: number of tenants, at most 256
 * @waiting: attempts in the queue at any time
 * @keyed: each attempt has an idempotency key of its own
 */
typedef struct
{
  const char *name;
  uint32_t tenants;
  uint32_t waiting;
  bool keyed;
} gate_load_t;

/* Returns the mean processing time of one attempt in nanoseconds. */
static double
attempt_cost_ns (const gate_load_t *load, start_ring_t *starts)
{
  static const sgr_gate_callbacks_t callbacks
      = { .start = on_attempt_start, .refuse = on_attempt_refuse };
  sgr_gate_finish_t finish = { .latency_us = 1000, .answer = "0123456789", .answer_length = 10 };
  sgr_gate_options_t options;
  sgr_policy_t policy;
  sgr_gate_t *gate;
  uint64_t begin_us;
  double ns;

  *starts = (start_ring_t){ 0 };
  sgr_policy_init (&policy, "bench");
  policy.queue_max = 1024;
  sgr_gate_options_init (&options, GATE_BOOT_ID);
  options.keys_max = ATTEMPT_COUNT + 2048;
  options.answer_bytes_max = 64U << 20;
  options.answer_length_max = 64;
  gate = sgr_gate_create (&options, &policy, &callbacks, starts);
  sgr_gate_target_update (gate, 0, SGR_TARGET_SERVING, SLOT_COUNT);
  begin_us = sgr_clock_monotonic_us ();
  for (uint64_t i = 0; i < ATTEMPT_COUNT; i++)
    {
      char tenant[16];
      sgr_attempt_t attempt = { .id = { .node = i % ENTRY_NODE_COUNT, .boot = 1, .sequence = i },
                                .gate_boot = GATE_BOOT_ID,
                                .deadline_us = 1000 * SGR_USEC_PER_SEC,
                                .tenant = tenant,
                                .class_name = "",
                                .has_key = load->keyed,
                                .key = { .low = i * IDEMPOTENCY_KEY_MULTIPLIER } };
      sgr_gate_decision_t decision;
      uint64_t now_us = i * ATTEMPT_INTERVAL_US;

      tenant[0] = (char)('a' + i % load->tenants % 16);
      tenant[1] = (char)('a' + i % load->tenants / 16);
      tenant[2] = '\0';
      sgr_gate_attempt_admit (gate, now_us, &attempt, &decision);
      if (decision.kind == SGR_GATE_START)
        starts->handles[starts->count++ % START_RING_SIZE] = decision.handle;
      /* Once the gate holds the number of attempts of this load, finishes the oldest started
         attempt after each new one. The number of attempts at the gate then stays constant. */
      if (i < SLOT_COUNT - 1 + load->waiting)
        continue;
      sgr_gate_attempt_mark_started (
          gate, starts->handles[(i - (SLOT_COUNT - 1) - load->waiting) % START_RING_SIZE]);
      sgr_gate_attempt_finish (
          gate, starts->handles[(i - (SLOT_COUNT - 1) - load->waiting) % START_RING_SIZE], now_us,
          &finish);
    }
  ns = (double)(sgr_clock_monotonic_us () - begin_us) * 1000.0 / ATTEMPT_COUNT;
  sgr_gate_destroy (gate);
  return ns;
}

int
main (void)
{
  static const gate_load_t loads[] = {
    { "free slots, 1 tenant", 1, 0, false },
    { "free slots, 200 tenants", 200, 0, false },
    { "keyed, 200 tenants", 200, 0, true },
    { "queue of 64, 8 tenants", 8, 64, false },
    { "queue of 64, 64 tenants", 64, 64, false },
    { "queue of 1000, 200 tenants", 200, 1000, false },
  };
  start_ring_t *starts = malloc (sizeof *starts);
  double first_ns = 0;

  printf ("gate: admit + started + finish of one attempt, %d attempts\n", ATTEMPT_COUNT);
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      double ns = attempt_cost_ns (&loads[i], starts);

      if (i == 0)
        first_ns = ns;
      printf ("%-28s %7.0f ns, %5.2f of the first, %.3f%% of the 0.41 ms goal\n", loads[i].name, ns,
              ns / first_ns, ns / (LATENCY_GOAL_NS / 100));
    }
  free (starts);
  return 0;
}
