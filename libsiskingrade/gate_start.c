#include <stdlib.h>

#include "gate_internal.h"

/* Applies the limit for cold targets to the attempts of the gate. */

/**
 * struct waiting_t - a queued attempt that waits for room in the window of starts
 * @handle: its handle
 * @priority: its rank, 0 is served first
 * @start_by_us: latest time at which it may start
 */
typedef struct
{
  sgr_gate_handle_t handle;
  uint32_t priority;
  uint64_t start_by_us;
} waiting_t;

bool
sgr_gate_has_start (const sgr_gate_t *gate, uint64_t now_us)
{
  return sgr_gate_cold_starts_left (gate->cold, now_us) > 0;
}

/* Starts at a warm target count as well: the target may turn cold within the same second. */
void
sgr_gate_start_reserve (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work)
{
  if (sgr_gate_cold_limit (gate->cold) == 0)
    return;
  if (sgr_gate_cold_is_cold (gate->cold, now_us))
    gate->cold_starts++;
  sgr_gate_cold_start_reserve (gate->cold);
  work->is_start_reserved = true;
}

void
sgr_gate_attempt_sent (sgr_gate_t *gate, sgr_gate_handle_t handle, uint64_t now_us)
{
  sgr_gate_work_t *work = sgr_gate_work_find (gate, handle);

  if (work == NULL || !work->is_start_reserved)
    return;
  work->is_start_reserved = false;
  sgr_gate_cold_start_commit (gate->cold, now_us);
}

void
sgr_gate_start_settle (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                       sgr_outcome_t outcome)
{
  if (!work->is_start_reserved)
    return;
  work->is_start_reserved = false;
  if (work->started || outcome != SGR_OUTCOME_NOT_RUN)
    sgr_gate_cold_start_commit (gate->cold, now_us);
  else
    sgr_gate_cold_start_release (gate->cold);
}

uint64_t
sgr_gate_latest_start_us (const sgr_gate_t *gate, uint64_t now_us,
                          const sgr_gate_queue_item_t *item)
{
  uint64_t latency_us = sgr_gate_expected_latency_us (gate, now_us);
  uint64_t start_us = item->deadline_us > latency_us ? item->deadline_us - latency_us : 0;

  return start_us < item->start_by_us ? start_us : item->start_by_us;
}

bool
sgr_gate_is_start_too_late (sgr_gate_t *gate, uint64_t now_us, const sgr_gate_queue_item_t *item)
{
  uint32_t ahead = 0;

  if (sgr_gate_cold_limit (gate->cold) == 0 || sgr_gate_cold_wait_begin (gate->cold, now_us) != 0
      || sgr_gate_cold_starts_left (gate->cold, now_us) == UINT32_MAX)
    return false;
  for (const sgr_gate_queue_item_t *queued = sgr_gate_queue_oldest (gate->queue); queued != NULL;
       queued = queued->arrival_newer)
    ahead += queued->priority <= item->priority;
  return sgr_gate_cold_room_us (gate->cold, now_us, ahead)
         > sgr_gate_latest_start_us (gate, now_us, item);
}

uint64_t
sgr_gate_cold_retry_us (const sgr_gate_t *gate, uint64_t now_us)
{
  if (sgr_gate_cold_starts_left (gate->cold, now_us) == UINT32_MAX)
    return 0;
  return sgr_gate_cold_room_us (gate->cold, now_us, sgr_gate_queue_count (gate->queue)) - now_us;
}

static int
waiting_compare (const void *a, const void *b)
{
  const waiting_t *left = a, *right = b;

  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->start_by_us != right->start_by_us)
    return left->start_by_us < right->start_by_us ? -1 : 1;
  return left->handle < right->handle ? -1 : left->handle > right->handle;
}

/* Refuses the queued attempts for which the window has room only after their latest start, counting
   those of a lower rank last. */
static void
queue_drop_cold (sgr_gate_t *gate, uint64_t now_us)
{
  waiting_t waiting[SGR_GATE_QUEUE_CAPACITY];
  uint32_t count = 0;
  uint32_t kept = 0;

  for (const sgr_gate_queue_item_t *item = sgr_gate_queue_oldest (gate->queue); item != NULL;
       item = item->arrival_newer)
    {
      const sgr_gate_work_t *work = item->owner;

      waiting[count++]
          = (waiting_t){ .handle = work->record->work,
                         .priority = item->priority,
                         .start_by_us = sgr_gate_latest_start_us (gate, now_us, item) };
    }
  if (count > 1)
    qsort (waiting, count, sizeof waiting[0], waiting_compare);
  for (uint32_t i = 0; i < count; i++)
    {
      sgr_gate_work_t *work;

      if (sgr_gate_cold_room_us (gate->cold, now_us, kept) <= waiting[i].start_by_us)
        {
          kept++;
          continue;
        }
      /* The callback of a refusal before may have ended this attempt as well. */
      work = sgr_gate_work_find (gate, waiting[i].handle);
      if (work != NULL && work->phase == SGR_GATE_WORK_QUEUED)
        sgr_gate_work_drop (gate, now_us, work, SGR_GATE_REASON_COLD);
    }
}

uint64_t
sgr_gate_cold_tick (sgr_gate_t *gate, uint64_t now_us)
{
  uint64_t answer_due_us, ends_us, room_us;

  if (sgr_gate_cold_limit (gate->cold) == 0 || sgr_gate_queue_count (gate->queue) == 0
      || sgr_gate_cold_starts_left (gate->cold, now_us) > 0)
    return SGR_TIMER_NEVER;
  answer_due_us = sgr_gate_cold_wait_ends_us (gate->cold, now_us);
  if (answer_due_us == 0)
    queue_drop_cold (gate, now_us);
  if (sgr_gate_queue_count (gate->queue) == 0)
    return SGR_TIMER_NEVER;
  ends_us = sgr_gate_cold_ends_us (gate->cold, now_us);
  room_us = sgr_gate_cold_room_us (gate->cold, now_us, 0);
  if (answer_due_us != 0 && answer_due_us < room_us)
    room_us = answer_due_us;
  return ends_us < room_us ? ends_us : room_us;
}

void
sgr_gate_target_cold_record (sgr_gate_t *gate, uint64_t now_us,
                             const sgr_gate_cold_statement_t *statement)
{
  sgr_gate_cold_record (gate->cold, statement);
  sgr_gate_dispatch (gate, now_us);
  sgr_gate_cold_tick (gate, now_us);
}

void
sgr_gate_target_cold_forget (sgr_gate_t *gate, uint64_t now_us, sgr_gate_cold_source_t source)
{
  if (source == SGR_GATE_COLD_SOURCE_REGISTRATION)
    sgr_gate_cold_instance_replace (gate->cold, now_us);
  else
    sgr_gate_cold_forget (gate->cold, now_us, source);
}

bool
sgr_gate_target_is_cold (const sgr_gate_t *gate, uint64_t now_us, sgr_gate_cold_source_t *source)
{
  if (source != NULL)
    *source = sgr_gate_cold_source (gate->cold, now_us);
  return sgr_gate_cold_is_cold (gate->cold, now_us);
}

bool
sgr_gate_target_is_cold_unknown (const sgr_gate_t *gate, uint64_t now_us)
{
  return sgr_gate_cold_is_unknown (gate->cold, now_us);
}
