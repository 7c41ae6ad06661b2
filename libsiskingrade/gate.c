#include "gate.h"

#include <stdlib.h>

#include "gate_internal.h"

#define RETRY_AFTER_MAX_MS 1000
/* Work that waits is given up when less than this share of its usual time is left for an answer on
   time: its time varies, and the answer has a way back. */
#define START_MARGIN_PERCENT 175
/* Work that starts below this cost shows how long it usually takes. */
#define CALM_PERCENT 120

void
sgr_gate_options_init (sgr_gate_options_t *options, sgr_boot_id_t boot)
{
  *options = (sgr_gate_options_t){
    .boot = boot,
    .slots_max = 240,
    .attempts_max = 65536,
    .keys_max = 65536,
    .peers_max = 8192,
    .answer_bytes_max = 32U << 20,
    .answer_length_max = 64U << 10,
    .attempt_retention_us = 120 * SGR_USEC_PER_SEC,
    .key_retention_us = 300 * SGR_USEC_PER_SEC,
    .key_generation_us = 20 * SGR_USEC_PER_SEC,
    .newest_first = true,
    .limits_model = SGR_LIMITS_TWO_LEVEL,
  };
}

sgr_gate_t *
sgr_gate_create (const sgr_gate_options_t *options, const sgr_policy_t *policy,
                 const sgr_gate_callbacks_t *callbacks, void *ctx)
{
  sgr_gate_t *gate;

  if (options->slots_max == 0 || options->keys_max == 0 || options->peers_max == 0
      || options->attempts_max <= options->slots_max + SGR_GATE_QUEUE_CAPACITY
      || options->key_generation_us == 0
      || options->key_retention_us < 2 * options->key_generation_us
      || options->answer_length_max > options->answer_bytes_max)
    return NULL;
  gate = calloc (1, sizeof *gate);
  sgr_invariant (gate != NULL);
  gate->options = *options;
  gate->callbacks = *callbacks;
  gate->ctx = ctx;
  gate->limits = sgr_gate_limits_create (options->limits_model, policy);
  gate->queue = sgr_gate_queue_create (SGR_GATE_QUEUE_CAPACITY, options->newest_first);
  gate->ledger = sgr_ledger_create (options);
  gate->classes = sgr_gate_classes_create ();
  sgr_gate_queue_max_set (gate, policy);
  gate->slots_percent = policy->slots_percent;
  gate->work_count = options->slots_max + SGR_GATE_QUEUE_CAPACITY;
  gate->works = calloc (gate->work_count, sizeof *gate->works);
  gate->work_free = calloc (gate->work_count, sizeof *gate->work_free);
  sgr_invariant (gate->works != NULL && gate->work_free != NULL);
  for (uint32_t i = gate->work_count; i > 0; i--)
    gate->work_free[gate->work_free_count++] = i - 1;
  return gate;
}

void
sgr_gate_destroy (sgr_gate_t *gate)
{
  if (gate == NULL)
    return;
  sgr_gate_limits_destroy (gate->limits);
  sgr_gate_queue_destroy (gate->queue);
  sgr_ledger_destroy (gate->ledger);
  sgr_gate_classes_destroy (gate->classes);
  free (gate->works);
  free (gate->work_free);
  free (gate);
}

uint64_t
sgr_gate_estimate_us (const sgr_gate_t *gate, uint64_t now_us)
{
  /* Without work in flight no new latency would be measured, so an old one must not refuse. */
  if (sgr_gate_limits_used (gate->limits) == 0)
    return 0;
  /* Short and long requests may share a target, and the median of both would refuse short ones that
     can finish in time. A long queue served oldest first needs the median to recover: with the low
     estimate it starts mostly work that ends too late. */
  return sgr_gate_latency_estimate (&gate->latency, now_us, gate->options.newest_first);
}

static sgr_gate_handle_t
work_handle (const sgr_gate_t *gate, const sgr_gate_work_t *work)
{
  return (uint64_t)work->serial << 32 | (uint64_t)(work - gate->works + 1);
}

sgr_gate_work_t *
sgr_gate_work_find (const sgr_gate_t *gate, sgr_gate_handle_t handle)
{
  uint32_t number = (uint32_t)handle;
  sgr_gate_work_t *work;

  if (number == 0 || number > gate->work_count)
    return NULL;
  work = &gate->works[number - 1];
  return work->phase != SGR_GATE_WORK_FREE && work->serial == handle >> 32 ? work : NULL;
}

/* Latest start of work whose answer is on time. */
static uint64_t
start_by_us (const sgr_gate_t *gate, const sgr_attempt_t *attempt, uint32_t class_known)
{
  uint64_t usual_us = sgr_gate_classes_usual_us (gate->classes, class_known);
  uint64_t needed_us = usual_us * START_MARGIN_PERCENT / 100;

  if (attempt->on_time_us == 0)
    return SGR_TIMER_NEVER;
  return attempt->on_time_us > needed_us ? attempt->on_time_us - needed_us : 0;
}

static sgr_gate_work_t *
work_add (sgr_gate_t *gate, const sgr_attempt_t *attempt, sgr_ledger_attempt_t *record)
{
  sgr_gate_work_t *work;

  sgr_invariant (gate->work_free_count > 0);
  work = &gate->works[gate->work_free[--gate->work_free_count]];
  *work = (sgr_gate_work_t){ .serial = ++gate->serial, .attempt = record, .user = attempt->user };
  work->item.tenant = sgr_gate_limits_tenant_hold (gate->limits, attempt->tenant);
  work->item.class_number = sgr_gate_limits_class_hold (gate->limits, attempt->class_name);
  work->item.deadline_us = attempt->deadline_us;
  work->item.owner = work;
  work->class_known = sgr_gate_classes_find (gate->classes, attempt->class_name);
  work->item.priority = attempt->priority;
  work->item.start_by_us = start_by_us (gate, attempt, work->class_known);
  record->work = work_handle (gate, work);
  return work;
}

static void
work_free (sgr_gate_t *gate, sgr_gate_work_t *work)
{
  sgr_gate_limits_tenant_drop (gate->limits, work->item.tenant);
  sgr_gate_limits_class_drop (gate->limits, work->item.class_number);
  work->phase = SGR_GATE_WORK_FREE;
  gate->work_free[gate->work_free_count++] = (uint32_t)(work - gate->works);
}

static bool
is_full (const sgr_gate_t *gate)
{
  return sgr_gate_limits_used (gate->limits) * 100 > gate->target_slots * SGR_GATE_FULL_PERCENT;
}

static void
work_run (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work)
{
  sgr_gate_limits_take (gate->limits, work->item.tenant, work->item.class_number);
  work->phase = SGR_GATE_WORK_RUNNING;
  work->slot_us = now_us;
  work->is_calm = gate->cost_percent == 0 || gate->cost_percent < CALM_PERCENT;
  work->is_full = is_full (gate);
}

/* Settles first and tells afterwards, because the callback may call the gate. */
static void
work_drop_settle (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                  sgr_gate_reason_t reason)
{
  work->phase = SGR_GATE_WORK_DROPPED;
  work->drop_reason = reason;
  gate->refused[reason]++;
  sgr_ledger_settle (gate->ledger, now_us, work->attempt, SGR_OUTCOME_NOT_RUN, reason, NULL, 0);
}

static void
work_drop_tell (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work)
{
  gate->callbacks.refuse (gate->ctx, work_handle (gate, work), work->drop_reason, now_us);
  work_free (gate, work);
}

void
sgr_gate_work_drop (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                    sgr_gate_reason_t reason)
{
  sgr_gate_queue_remove (gate->queue, &work->item);
  work_drop_settle (gate, now_us, work, reason);
  work_drop_tell (gate, now_us, work);
}

/* Refuses work that cannot be on time any more, so that the caller learns of it at once and other
   work gets the slots. Returns when the next one becomes late. */
static uint64_t
queue_drop_late (sgr_gate_t *gate, uint64_t now_us)
{
  sgr_gate_queue_item_t *item;
  uint64_t next_us;

  while ((item = sgr_gate_queue_late (gate->queue, now_us, &next_us)) != NULL)
    sgr_gate_work_drop (gate, now_us, item->owner, SGR_GATE_REASON_LATE);
  return next_us;
}

static uint64_t
queue_expire (sgr_gate_t *gate, uint64_t now_us)
{
  uint64_t next_us;
  sgr_gate_queue_item_t *expired
      = sgr_gate_queue_expire (gate->queue, now_us, sgr_gate_estimate_us (gate, now_us), &next_us);

  for (const sgr_gate_queue_item_t *item = expired; item != NULL; item = item->older)
    work_drop_settle (gate, now_us, item->owner, SGR_GATE_REASON_DEADLINE);
  while (expired != NULL)
    {
      sgr_gate_work_t *work = expired->owner;

      expired = expired->older;
      work_drop_tell (gate, now_us, work);
    }
  return next_us;
}

bool
sgr_gate_is_serving (const sgr_gate_t *gate)
{
  return !gate->draining
         && (gate->state == SGR_TARGET_WARMING || gate->state == SGR_TARGET_SERVING);
}

void
sgr_gate_dispatch (sgr_gate_t *gate, uint64_t now_us)
{
  sgr_gate_queue_item_t *item;

  if (gate->dispatching)
    return;
  gate->dispatching = true;
  queue_expire (gate, now_us);
  queue_drop_late (gate, now_us);
  while (sgr_gate_is_serving (gate) && !sgr_gate_is_slowed (gate, now_us)
         && (item = sgr_gate_queue_pop (gate->queue, now_us, gate->limits,
                                        sgr_gate_estimate_us (gate, now_us)))
                != NULL)
    {
      sgr_gate_work_t *work = item->owner;

      work_run (gate, now_us, work);
      gate->callbacks.start (gate->ctx, work_handle (gate, work), now_us);
    }
  gate->dispatching = false;
}

uint32_t
sgr_gate_retry_after_ms (const sgr_gate_t *gate, uint64_t now_us)
{
  uint32_t slots = sgr_gate_limits_slots (gate->limits);
  uint64_t wait_us = sgr_gate_estimate_us (gate, now_us) * (sgr_gate_queue_count (gate->queue) + 1)
                     / (slots > 0 ? slots : 1);
  uint64_t wait_ms = wait_us / SGR_USEC_PER_MSEC + 1;

  return wait_ms < RETRY_AFTER_MAX_MS ? (uint32_t)wait_ms : RETRY_AFTER_MAX_MS;
}

static void
decide_refused (sgr_gate_t *gate, uint64_t now_us, sgr_gate_reason_t reason, sgr_outcome_t outcome,
                sgr_gate_decision_t *decision)
{
  gate->refused[reason]++;
  decision->kind = SGR_GATE_REFUSED;
  decision->reason = reason;
  decision->outcome = outcome;
  switch (reason)
    {
    case SGR_GATE_REASON_QUEUE_FULL:
    case SGR_GATE_REASON_DEADLINE:
    case SGR_GATE_REASON_LATE:
    case SGR_GATE_REASON_TENANT_LIMIT:
    case SGR_GATE_REASON_CLASS_LIMIT:
      decision->retry_after_ms = sgr_gate_retry_after_ms (gate, now_us);
      break;
    case SGR_GATE_REASON_LEDGER_FULL:
      decision->retry_after_ms = RETRY_AFTER_MAX_MS;
      break;
    default:
      break;
    }
}

static void
decide_seen (sgr_gate_t *gate, uint64_t now_us, const sgr_ledger_attempt_t *record,
             sgr_gate_decision_t *decision)
{
  if (record->phase == SGR_LEDGER_SETTLED && record->outcome == SGR_OUTCOME_NOT_RUN)
    {
      decide_refused (gate, now_us, SGR_GATE_REASON_TOMBSTONE, SGR_OUTCOME_NOT_RUN, decision);
      return;
    }
  decision->kind = SGR_GATE_DUPLICATE;
  sgr_gate_status_fill (gate, record, &decision->status);
}

/* Refuses an attempt that is in the ledger already, so that its later copies are refused too. */
static void
refuse_recorded (sgr_gate_t *gate, uint64_t now_us, sgr_ledger_attempt_t *record,
                 sgr_gate_reason_t reason, sgr_outcome_t outcome, sgr_gate_decision_t *decision)
{
  sgr_ledger_settle (gate->ledger, now_us, record, outcome, reason, NULL, 0);
  decide_refused (gate, now_us, reason, outcome, decision);
}

/* Returns true if the key decides: it is known, or it may have been forgotten. */
static bool
decide_by_key (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
               sgr_ledger_attempt_t *record, sgr_gate_decision_t *decision)
{
  sgr_ledger_key_t *key = sgr_ledger_key_find (gate->ledger, attempt->key);

  if (key == NULL)
    {
      switch (sgr_ledger_key_check (gate->ledger, now_us, attempt->key_generation))
        {
        case SGR_OK:
          return false;
        case SGR_ERR_INVALID:
          refuse_recorded (gate, now_us, record, SGR_GATE_REASON_KEY_INVALID, SGR_OUTCOME_NOT_RUN,
                           decision);
          return true;
        default:
          refuse_recorded (gate, now_us, record, SGR_GATE_REASON_FORGOTTEN, SGR_OUTCOME_UNKNOWN,
                           decision);
          return true;
        }
    }
  if (!sgr_hash128_equal (key->fingerprint, attempt->fingerprint))
    {
      sgr_ledger_settle (gate->ledger, now_us, record, SGR_OUTCOME_NOT_RUN, SGR_GATE_REASON_NONE,
                         NULL, 0);
      decision->kind = SGR_GATE_CONFLICT;
      decision->outcome = SGR_OUTCOME_NOT_RUN;
      return true;
    }
  if (sgr_ledger_key_join (gate->ledger, now_us, record, key) != SGR_OK)
    {
      /* The request of the key may run, so this caller must not be told that it did not. */
      refuse_recorded (gate, now_us, record, SGR_GATE_REASON_LEDGER_FULL, SGR_OUTCOME_UNKNOWN,
                       decision);
      return true;
    }
  decision->kind = SGR_GATE_DUPLICATE;
  sgr_gate_status_fill (gate, record, &decision->status);
  return true;
}

static sgr_gate_reason_t
refusal_by_state (const sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt)
{
  uint64_t deadline_us = attempt->deadline_us;

  if (gate->draining || gate->state == SGR_TARGET_DRAINING || gate->state == SGR_TARGET_LEFT)
    return SGR_GATE_REASON_DRAINING;
  if (gate->state == SGR_TARGET_NONE || sgr_gate_limits_slots (gate->limits) == 0)
    return SGR_GATE_REASON_NOT_READY;
  if (deadline_us <= now_us || deadline_us < now_us + sgr_gate_estimate_us (gate, now_us))
    return SGR_GATE_REASON_DEADLINE;
  if (!attempt->may_wait && sgr_gate_is_slowed (gate, now_us))
    return SGR_GATE_REASON_SLOW;
  return SGR_GATE_REASON_NONE;
}

/* Share of the queue for a tenant or class that may use only a part of the slots. */
static uint32_t
queue_share (const sgr_gate_t *gate, uint32_t limit)
{
  uint32_t slots = sgr_gate_limits_slots (gate->limits);
  uint32_t share = (uint32_t)((uint64_t)gate->queue_max * limit / slots);

  return share > 0 ? share : 1;
}

static sgr_gate_reason_t
refusal_by_queue (sgr_gate_t *gate, uint64_t now_us, const sgr_gate_queue_item_t *item)
{
  uint32_t tenant_limit = sgr_gate_limits_tenant_limit (gate->limits, item->tenant);
  uint32_t class_limit = sgr_gate_limits_class_limit (gate->limits, item->class_number);
  sgr_gate_queue_item_t *victim;

  if (gate->queue_max == 0)
    return SGR_GATE_REASON_QUEUE_FULL;
  if (sgr_gate_queue_tenant_count (gate->queue, item->tenant) >= queue_share (gate, tenant_limit)
      && tenant_limit < sgr_gate_limits_slots (gate->limits))
    return SGR_GATE_REASON_TENANT_LIMIT;
  if (sgr_gate_queue_class_count (gate->queue, item->class_number)
          >= queue_share (gate, class_limit)
      && class_limit < sgr_gate_limits_slots (gate->limits))
    return SGR_GATE_REASON_CLASS_LIMIT;
  if (sgr_gate_queue_count (gate->queue) < gate->queue_max)
    return SGR_GATE_REASON_NONE;
  victim = sgr_gate_queue_victim (gate->queue, item->tenant, item->class_number);
  if (victim == NULL)
    return SGR_GATE_REASON_QUEUE_FULL;
  sgr_gate_work_drop (gate, now_us, victim->owner, SGR_GATE_REASON_QUEUE_FULL);
  return SGR_GATE_REASON_NONE;
}

/* During a dispatch the queue has older work for the slot. */
static bool
has_slot (const sgr_gate_t *gate, uint64_t now_us, const sgr_gate_work_t *work)
{
  return !gate->dispatching && !sgr_gate_is_slowed (gate, now_us)
         && sgr_gate_limits_check (gate->limits, work->item.tenant, work->item.class_number)
                == SGR_LIMITS_FREE;
}

static void
admit_work (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
            sgr_ledger_attempt_t *record, sgr_gate_decision_t *decision)
{
  sgr_gate_work_t *work = work_add (gate, attempt, record);
  sgr_gate_reason_t reason = SGR_GATE_REASON_NONE;
  bool start = has_slot (gate, now_us, work);

  if (attempt->has_key
      && sgr_ledger_key_add (gate->ledger, now_us, record, attempt->key, attempt->key_generation,
                             attempt->fingerprint)
             != SGR_OK)
    reason = SGR_GATE_REASON_LEDGER_FULL;
  else if (!start)
    {
      reason = refusal_by_queue (gate, now_us, &work->item);
      /* The callback for a dropped attempt may have given back a slot. */
      start = reason == SGR_GATE_REASON_NONE && has_slot (gate, now_us, work);
    }
  if (reason != SGR_GATE_REASON_NONE)
    {
      work_free (gate, work);
      refuse_recorded (gate, now_us, record, reason, SGR_OUTCOME_NOT_RUN, decision);
      return;
    }
  decision->handle = record->work;
  if (start)
    {
      decision->kind = SGR_GATE_START;
      work_run (gate, now_us, work);
      return;
    }
  decision->kind = SGR_GATE_QUEUED;
  work->phase = SGR_GATE_WORK_QUEUED;
  sgr_gate_queue_push (gate->queue, now_us, &work->item);
}

void
sgr_gate_attempt_admit (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
                        sgr_gate_decision_t *decision)
{
  sgr_ledger_attempt_t *record;
  sgr_gate_reason_t reason;
  sgr_result_t result;

  *decision = (sgr_gate_decision_t){ .outcome = SGR_OUTCOME_NOT_RUN };
  if (attempt->gate_boot != gate->options.boot)
    {
      decide_refused (gate, now_us, SGR_GATE_REASON_WRONG_BOOT, SGR_OUTCOME_UNKNOWN, decision);
      return;
    }
  record = sgr_ledger_attempt_find (gate->ledger, &attempt->id);
  if (record != NULL)
    {
      decide_seen (gate, now_us, record, decision);
      return;
    }
  queue_expire (gate, now_us);
  result = sgr_ledger_attempt_add (gate->ledger, now_us, &attempt->id, &record);
  if (result != SGR_OK)
    {
      /* Not recorded, so a later copy may be admitted: the reply cannot be not-run. */
      decide_refused (gate, now_us,
                      result == SGR_ERR_NOT_FOUND ? SGR_GATE_REASON_FORGOTTEN
                                                  : SGR_GATE_REASON_LEDGER_FULL,
                      SGR_OUTCOME_UNKNOWN, decision);
      return;
    }
  record->idempotent = attempt->idempotent;
  if (attempt->has_key && decide_by_key (gate, now_us, attempt, record, decision))
    return;
  reason = refusal_by_state (gate, now_us, attempt);
  if (reason != SGR_GATE_REASON_NONE)
    refuse_recorded (gate, now_us, record, reason, SGR_OUTCOME_NOT_RUN, decision);
  else
    admit_work (gate, now_us, attempt, record, decision);
}

bool
sgr_gate_attempt_started (sgr_gate_t *gate, sgr_gate_handle_t handle)
{
  sgr_gate_work_t *work = sgr_gate_work_find (gate, handle);

  if (work == NULL || work->phase != SGR_GATE_WORK_RUNNING || work->cancelled)
    return false;
  work->started = true;
  return true;
}

static void
work_learn (sgr_gate_t *gate, uint64_t now_us, const sgr_gate_work_t *work, uint64_t latency_us)
{
  sgr_gate_sample_t sample = { .duration_us = latency_us,
                               .is_calm = work->is_calm,
                               .is_full = work->is_full && is_full (gate) };

  sgr_gate_latency_record (&gate->latency, now_us, latency_us);
  if (sgr_gate_classes_record (gate->classes, now_us, work->class_known, &sample))
    sgr_gate_slots_apply (gate, now_us);
}

sgr_outcome_t
sgr_gate_attempt_finish (sgr_gate_t *gate, sgr_gate_handle_t handle, uint64_t now_us,
                         const sgr_gate_finish_t *finish)
{
  sgr_gate_work_t *work = sgr_gate_work_find (gate, handle);
  sgr_outcome_t outcome = finish->outcome;
  uint64_t service_us;

  if (work == NULL || work->phase != SGR_GATE_WORK_RUNNING)
    return SGR_OUTCOME_UNKNOWN;
  if (work->cancelled)
    outcome = SGR_OUTCOME_NOT_RUN;
  else if (outcome == SGR_OUTCOME_NOT_RUN && work->started && !finish->declared_not_run)
    outcome = SGR_OUTCOME_UNKNOWN;
  service_us = finish->latency_us > 0 ? finish->latency_us : now_us - work->slot_us;
  if (outcome == SGR_OUTCOME_COMPLETE && finish->latency_us > 0)
    work_learn (gate, now_us, work, finish->latency_us);
  sgr_gate_queue_served (gate->queue, &work->item, service_us);
  sgr_ledger_settle (gate->ledger, now_us, work->attempt, outcome, SGR_GATE_REASON_NONE,
                     outcome == SGR_OUTCOME_COMPLETE ? finish->answer : NULL,
                     finish->answer_length);
  sgr_gate_limits_release (gate->limits, work->item.tenant, work->item.class_number);
  work_free (gate, work);
  sgr_gate_dispatch (gate, now_us);
  return outcome;
}

uint64_t
sgr_gate_tick (sgr_gate_t *gate, uint64_t now_us)
{
  uint64_t ledger_us = sgr_ledger_tick (gate->ledger, now_us);
  uint64_t queue_us, late_us;

  sgr_gate_slots_apply (gate, now_us);
  sgr_gate_dispatch (gate, now_us);
  queue_us = queue_expire (gate, now_us);
  late_us = queue_drop_late (gate, now_us);
  if (late_us < queue_us)
    queue_us = late_us + 1;
  if (sgr_gate_queue_count (gate->queue) > 0 && sgr_gate_is_slowed (gate, now_us)
      && sgr_gate_cost_end_us (gate) < queue_us)
    queue_us = sgr_gate_cost_end_us (gate);
  return ledger_us < queue_us ? ledger_us : queue_us;
}
