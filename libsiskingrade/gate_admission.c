#include "gate_internal.h"

/* Whether an attempt that cannot start at once may wait in the queue, and when a refused one may
   try again. */

/* Returns the maximum number of queued attempts of a tenant or class that may use @slots_limit
   slots. Its share of the queue equals its share of the slots; the result is at least 1. */
static uint32_t
queue_attempts_max (const sgr_gate_t *gate, uint32_t slots_limit)
{
  uint32_t slots = sgr_gate_limits_slots (gate->limits);
  uint32_t share = (uint32_t)((uint64_t)gate->queue_max * slots_limit / slots);

  return share > 0 ? share : 1;
}

sgr_gate_reason_t
sgr_gate_refusal_by_queue (sgr_gate_t *gate, uint64_t now_us, const sgr_gate_queue_item_t *item)
{
  uint32_t tenant_limit = sgr_gate_limits_tenant_limit (gate->limits, item->tenant);
  uint32_t class_limit = sgr_gate_limits_class_limit (gate->limits, item->class_index);
  sgr_gate_queue_item_t *victim;

  if (sgr_gate_is_start_too_late (gate, now_us, item))
    return SGR_GATE_REASON_COLD;
  if (gate->queue_max == 0)
    return sgr_gate_has_start (gate, now_us) ? SGR_GATE_REASON_QUEUE_FULL : SGR_GATE_REASON_COLD;
  if (sgr_gate_queue_tenant_count (gate->queue, item->tenant)
          >= queue_attempts_max (gate, tenant_limit)
      && tenant_limit < sgr_gate_limits_slots (gate->limits))
    return SGR_GATE_REASON_TENANT_LIMIT;
  if (sgr_gate_queue_class_count (gate->queue, item->class_index)
          >= queue_attempts_max (gate, class_limit)
      && class_limit < sgr_gate_limits_slots (gate->limits))
    return SGR_GATE_REASON_CLASS_LIMIT;
  if (sgr_gate_queue_count (gate->queue) < gate->queue_max)
    return SGR_GATE_REASON_NONE;
  victim = sgr_gate_queue_victim (gate->queue, item->tenant, item->class_index);
  if (victim == NULL)
    return SGR_GATE_REASON_QUEUE_FULL;
  sgr_gate_work_drop (gate, now_us, victim->owner, SGR_GATE_REASON_QUEUE_FULL);
  return SGR_GATE_REASON_NONE;
}

uint32_t
sgr_gate_retry_after_ms (const sgr_gate_t *gate, uint64_t now_us)
{
  uint32_t slots = sgr_gate_limits_slots (gate->limits);
  uint64_t wait_us = sgr_gate_expected_latency_us (gate, now_us)
                     * (sgr_gate_queue_count (gate->queue) + 1) / (slots > 0 ? slots : 1);
  uint64_t cold_us = sgr_gate_cold_retry_us (gate, now_us);
  uint64_t wait_ms = (wait_us > cold_us ? wait_us : cold_us) / SGR_USEC_PER_MSEC + 1;

  return wait_ms < SGR_GATE_RETRY_AFTER_MAX_MS ? (uint32_t)wait_ms : SGR_GATE_RETRY_AFTER_MAX_MS;
}
