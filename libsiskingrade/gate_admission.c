#include "gate_fair.h"
#include "gate_internal.h"

/* Whether an attempt that cannot start at once may wait in the queue, and when a refused one may
   try again. */

/* Factor by which the expected wait has to fit. Waits vary, and an account beyond its share keeps
   as many calls waiting as it may, so that without a margin half of the last ones would start too
   late. Slots do not stay free because of the margin: calls are refused only behind others. */
#define WAIT_MARGIN 1.5

/* Returns the maximum number of queued attempts of a tenant or class that may use @slots_limit
   slots. Its share of the queue equals its share of the slots; the result is at least 1. */
static uint32_t
queue_attempts_max (const sgr_gate_t *gate, uint32_t slots_limit)
{
  uint32_t slots = sgr_gate_limits_slots (gate->limits);
  uint32_t share = (uint32_t)((uint64_t)gate->queue_max * slots_limit / slots);

  return share > 0 ? share : 1;
}

void
sgr_gate_fair_set (sgr_gate_t *gate, bool is_fair, double link_mbps)
{
  gate->is_fair = is_fair;
  gate->link_mbps = link_mbps;
  sgr_gate_queue_fair_set (gate->queue, is_fair);
}

/* The link transfers one body at a time while the slots run several requests, so that its time
   counts once for each slot. */
uint64_t
sgr_gate_link_work_us (const sgr_gate_t *gate, uint64_t bytes)
{
  return sgr_gate_fair_link_us (gate->link_mbps, bytes) * sgr_gate_limits_slots (gate->limits);
}

void
sgr_gate_fair_work_set (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work)
{
  sgr_gate_queue_item_t *item = &work->queue_item;

  if (!gate->is_fair)
    return;
  item->duration_us = sgr_gate_classes_usual_us (gate->classes, work->class_stats_index);
  if (item->duration_us == 0)
    item->duration_us = sgr_gate_expected_latency_us (gate, now_us);
  item->work_us = item->duration_us
                  + sgr_gate_link_work_us (gate, work->request_bytes
                                                     + sgr_gate_classes_answer_bytes (
                                                         gate->classes, work->class_stats_index));
  /* Without any estimate, calls count by their number. */
  if (item->work_us == 0)
    item->work_us = 1;
  gate->held_us[item->tenant] += item->work_us;
  if (item->deadline_us < item->duration_us)
    item->start_by_us = 0;
  else if (item->start_by_us > item->deadline_us - item->duration_us)
    item->start_by_us = item->deadline_us - item->duration_us;
}

uint64_t
sgr_gate_fair_wait_us (const sgr_gate_t *gate, const sgr_gate_queue_item_t *item)
{
  uint32_t slots = sgr_gate_limits_slots (gate->limits);

  if (!gate->is_fair || slots == 0)
    return 0;
  /* The first of n running requests ends after 1 / (n + 1) of their duration on average. */
  return (gate->running_us / (slots + 1) + sgr_gate_fair_ahead_us (gate->queue, item)) / slots;
}

uint64_t
sgr_gate_fair_late_us (const sgr_gate_t *gate, uint64_t now_us, const sgr_gate_queue_item_t *item)
{
  double factor = sgr_gate_queue_wait_factor (gate->queue, item) * WAIT_MARGIN;
  uint64_t latest_us = sgr_gate_latest_start_us (gate, now_us, item);
  uint64_t start_us = now_us + (uint64_t)(factor * (double)sgr_gate_fair_wait_us (gate, item));

  if (!gate->is_fair)
    return 0;
  return start_us > latest_us ? start_us - latest_us : 0;
}

sgr_gate_reason_t
sgr_gate_fair_reason (const sgr_gate_t *gate, const sgr_gate_queue_item_t *item,
                      sgr_gate_reason_t reason)
{
  return gate->is_fair && sgr_gate_fair_is_beyond (gate->held_us, gate->running_work_us, item)
             ? SGR_GATE_REASON_SHARE
             : reason;
}

void
sgr_gate_fair_tick (sgr_gate_t *gate, uint64_t now_us)
{
  sgr_gate_queue_item_t *last;

  if (!gate->is_fair || gate->dispatching)
    return;
  /* The margin of one duration allows for the error of the estimates, which differ from one
     moment to the next: an admitted call must not be refused for that. */
  while ((last = sgr_gate_fair_last (gate->queue, gate->held_us, NULL)) != NULL
         && sgr_gate_fair_late_us (gate, now_us, last) > last->duration_us)
    sgr_gate_work_drop (gate, now_us, last->owner,
                        sgr_gate_fair_reason (gate, last, SGR_GATE_REASON_LATE));
}

/* Makes room in a full queue. Returns false if the new attempt has to be refused. */
static bool
queue_room_make (sgr_gate_t *gate, uint64_t now_us, sgr_gate_queue_item_t *item)
{
  sgr_gate_queue_item_t *victim
      = gate->is_fair ? sgr_gate_fair_last (gate->queue, gate->held_us, item)
                      : sgr_gate_queue_victim (gate->queue, item->tenant, item->class_index);

  if (victim == NULL || victim == item)
    return false;
  sgr_gate_work_drop (gate, now_us, victim->owner,
                      sgr_gate_fair_reason (gate, victim, SGR_GATE_REASON_QUEUE_FULL));
  return true;
}

sgr_gate_reason_t
sgr_gate_refusal_by_queue (sgr_gate_t *gate, uint64_t now_us, sgr_gate_queue_item_t *item)
{
  uint32_t tenant_limit = sgr_gate_limits_tenant_limit (gate->limits, item->tenant);
  uint32_t class_limit = sgr_gate_limits_class_limit (gate->limits, item->class_index);

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
  if (sgr_gate_fair_late_us (gate, now_us, item) > 0)
    return sgr_gate_fair_reason (gate, item, SGR_GATE_REASON_LATE);
  if (sgr_gate_queue_count (gate->queue) < gate->queue_max || queue_room_make (gate, now_us, item))
    return SGR_GATE_REASON_NONE;
  return sgr_gate_fair_reason (gate, item, SGR_GATE_REASON_QUEUE_FULL);
}

uint32_t
sgr_gate_retry_ms_of (uint64_t wait_us)
{
  uint64_t wait_ms = wait_us / SGR_USEC_PER_MSEC + 1;

  return wait_ms < SGR_GATE_RETRY_AFTER_MAX_MS ? (uint32_t)wait_ms : SGR_GATE_RETRY_AFTER_MAX_MS;
}

uint32_t
sgr_gate_retry_after_ms (const sgr_gate_t *gate, uint64_t now_us)
{
  uint32_t slots = sgr_gate_limits_slots (gate->limits);
  uint64_t wait_us = sgr_gate_expected_latency_us (gate, now_us)
                     * (sgr_gate_queue_count (gate->queue) + 1) / (slots > 0 ? slots : 1);
  uint64_t cold_us = sgr_gate_cold_retry_us (gate, now_us);

  return sgr_gate_retry_ms_of (wait_us > cold_us ? wait_us : cold_us);
}
