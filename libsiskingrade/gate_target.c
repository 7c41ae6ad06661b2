#include "gate_internal.h"

/* Applies the policy and the registration of the target to the gate: slots, queue length, drain. */

void
sgr_gate_queue_max_set (sgr_gate_t *gate, const sgr_policy_t *policy)
{
  gate->queue_max
      = policy->queue_max < SGR_GATE_QUEUE_CAPACITY ? policy->queue_max : SGR_GATE_QUEUE_CAPACITY;
}

/* If the target has registered any slots, at least one stays usable, even if the percentage of
   usable slots rounds down to none. */
void
sgr_gate_slots_apply (sgr_gate_t *gate, uint64_t now_us)
{
  uint32_t percent = gate->slots_percent;
  uint32_t slots
      = gate->target_slots < gate->options.slots_max ? gate->target_slots : gate->options.slots_max;
  uint32_t usable;

  if (sgr_gate_classes_slows_when_full (gate->classes, now_us)
      && percent > SGR_GATE_NEARLY_FULL_PERCENT)
    percent = SGR_GATE_NEARLY_FULL_PERCENT;
  usable = slots * percent / 100;
  sgr_gate_limits_slots_set (gate->limits, usable > 0 || slots == 0 ? usable : 1);
}

static void
queue_drop_all (sgr_gate_t *gate, uint64_t now_us, sgr_gate_reason_t reason)
{
  sgr_gate_queue_item_t *item;

  while ((item = sgr_gate_queue_oldest (gate->queue)) != NULL)
    sgr_gate_work_drop (gate, now_us, item->owner, reason);
}

void
sgr_gate_policy_update (sgr_gate_t *gate, uint64_t now_us, const sgr_policy_t *policy)
{
  sgr_gate_queue_max_set (gate, policy);
  gate->slots_percent = policy->slots_percent;
  sgr_gate_limits_policy_update (gate->limits, policy);
  sgr_gate_cold_limit_set (gate->cold, now_us, policy->cold_calls_per_s);
  sgr_gate_slots_apply (gate, now_us);
  sgr_gate_dispatch (gate, now_us);
}

void
sgr_gate_target_update (sgr_gate_t *gate, uint64_t now_us, sgr_target_state_t state, uint32_t slots)
{
  gate->target_state = state;
  gate->target_slots = slots;
  sgr_gate_slots_apply (gate, now_us);
  if (!sgr_gate_is_serving (gate) || slots == 0)
    queue_drop_all (gate, now_us,
                    state == SGR_TARGET_DRAINING || state == SGR_TARGET_LEFT || gate->draining
                        ? SGR_GATE_REASON_DRAINING
                        : SGR_GATE_REASON_NOT_READY);
  sgr_gate_dispatch (gate, now_us);
}

void
sgr_gate_drain_begin (sgr_gate_t *gate, uint64_t now_us)
{
  gate->draining = true;
  queue_drop_all (gate, now_us, SGR_GATE_REASON_DRAINING);
}

void
sgr_gate_latencies_discard (sgr_gate_t *gate)
{
  gate->latency = (sgr_gate_latency_t){ 0 };
}
