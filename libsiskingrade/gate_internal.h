#ifndef SGR_GATE_INTERNAL_H
#define SGR_GATE_INTERNAL_H

/* Shared by gate.c, gate_status.c and gate_target.c only. */

#include "gate.h"
#include "gate_classes.h"
#include "gate_latency.h"
#include "gate_ledger.h"
#include "gate_queue.h"

/**
 * enum sgr_gate_work_phase_t - state of one record of admitted work
 * @SGR_GATE_WORK_DROPPED: settled as not-run, its callback refuse is about to be called
 */
typedef enum
{
  SGR_GATE_WORK_FREE = 0,
  SGR_GATE_WORK_QUEUED,
  SGR_GATE_WORK_RUNNING,
  SGR_GATE_WORK_DROPPED,
} sgr_gate_work_phase_t;

/**
 * struct sgr_gate_work_t - an admitted attempt
 * @item: place in the queue; holds tenant and class while running too
 * @phase: where it is
 * @serial: distinguishes the uses of this record in handles
 * @started: its first byte may have reached the target
 * @cancelled: was cancelled before it was started, and never will be started
 * @drop_reason: reason for the callback refuse
 * @attempt: its record in the ledger
 * @slot_us: when it got its slot
 * @class_known: number of its class in sgr_gate_classes_t
 * @is_calm: the target was not slowed down when it got its slot
 * @is_full: nearly all slots were taken then
 * @user: pointer of the caller
 */
typedef struct
{
  sgr_gate_queue_item_t item;
  sgr_gate_work_phase_t phase;
  uint32_t serial;
  bool started;
  bool cancelled;
  sgr_gate_reason_t drop_reason;
  sgr_ledger_attempt_t *attempt;
  uint64_t slot_us;
  uint32_t class_known;
  bool is_calm;
  bool is_full;
  void *user;
} sgr_gate_work_t;

struct sgr_gate_t
{
  sgr_gate_options_t options;
  sgr_gate_callbacks_t callbacks;
  void *ctx;
  uint32_t queue_max;
  uint32_t target_slots;
  uint32_t slots_percent;
  sgr_target_state_t state;
  bool draining;
  bool dispatching; /* a callback is running; the outermost dispatch goes on afterwards */
  uint32_t serial;
  sgr_gate_latency_t latency;
  uint32_t cost_percent;
  uint64_t cost_us;
  uint32_t cost_low[2]; /* lowest in the present period and in the one before, 0 for none */
  uint64_t cost_low_us; /* start of the present period */
  sgr_gate_classes_t *classes;
  sgr_gate_limits_t *limits;
  sgr_gate_queue_t *queue;
  sgr_ledger_t *ledger;
  uint32_t work_count;
  uint32_t work_free_count;
  uint32_t *work_free;
  sgr_gate_work_t *works;
  uint64_t refused[SGR_GATE_REASON_COUNT];
};

/* Largest queue whatever the policy says; with the slots it bounds the records of admitted work. */
#define SGR_GATE_QUEUE_CAPACITY 1024

/** sgr_gate_queue_max_set() - take the length of the queue over from the policy */
void sgr_gate_queue_max_set (sgr_gate_t *gate, const sgr_policy_t *policy);

/** sgr_gate_slots_apply() - slots in use by the target, the policy and what was learned */
void sgr_gate_slots_apply (sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_is_serving() - whether the target takes work */
bool sgr_gate_is_serving (const sgr_gate_t *gate);

/** sgr_gate_work_find() - record of a handle, NULL if the handle has ended */
sgr_gate_work_t *sgr_gate_work_find (const sgr_gate_t *gate, sgr_gate_handle_t handle);

/** sgr_gate_work_drop() - settle queued work as not-run and call refuse */
void sgr_gate_work_drop (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                         sgr_gate_reason_t reason);

/** sgr_gate_status_fill() - what the ledger knows of an attempt */
void sgr_gate_status_fill (const sgr_gate_t *gate, const sgr_ledger_attempt_t *attempt,
                           sgr_gate_status_t *status);

/** sgr_gate_dispatch() - start queued work as far as slots, limits and target allow */
void sgr_gate_dispatch (sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_cost_end_us() - when the present cost says nothing any more */
uint64_t sgr_gate_cost_end_us (const sgr_gate_t *gate);

/** sgr_gate_estimate_us() - expected latency of work that starts now */
uint64_t sgr_gate_estimate_us (const sgr_gate_t *gate, uint64_t now_us);

#endif
