#include "gate_internal.h"

/* The cost of a target is the time that requests take on it, in percent of the usual time. The
   target counts as slowed if its cost is above SLOWED_COST_FACTOR times its lowest recent cost. A
   request that starts during such a slowdown ends later than one that waits for its end. */
#define SLOWED_COST_FACTOR 2
#define COST_USUAL_PERCENT 100
/* Length of a period. The lowest recent cost is the minimum over the current and the previous
   period. A target that is slow for longer than both, such as one that has just started cold, thus
   no longer counts as slowed and gets requests again. */
#define COST_MIN_PERIOD_US (300 * SGR_USEC_PER_MSEC)
/* A reported cost expires after this time, because the other work on the target's host may have
   changed by then. */
#define COST_VALIDITY_US (150 * SGR_USEC_PER_MSEC)

static void
status_set_settled (sgr_gate_status_t *status, sgr_outcome_t outcome, sgr_gate_reason_t reason)
{
  *status = (sgr_gate_status_t){ .phase = SGR_GATE_PHASE_SETTLED,
                                 .outcome = outcome,
                                 .reason = reason };
}

static void
status_from_work (const sgr_gate_work_t *work, sgr_gate_status_t *status)
{
  if (work->cancelled)
    {
      status_set_settled (status, SGR_OUTCOME_NOT_RUN, SGR_GATE_REASON_CANCELLED);
      return;
    }
  status->phase
      = work->phase == SGR_GATE_WORK_RUNNING ? SGR_GATE_PHASE_RUNNING : SGR_GATE_PHASE_QUEUED;
  status->started = work->started;
}

void
sgr_gate_status_fill (const sgr_gate_t *gate, const sgr_ledger_attempt_t *attempt,
                      sgr_gate_status_t *status)
{
  const sgr_gate_work_t *work;

  *status = (sgr_gate_status_t){ .idempotent = attempt->idempotent };
  if (attempt->phase == SGR_LEDGER_SETTLED)
    {
      const sgr_ledger_answer_t *answer = sgr_ledger_attempt_answer (attempt);

      status->phase = SGR_GATE_PHASE_SETTLED;
      status->outcome = attempt->outcome;
      status->reason = attempt->reason;
      if (attempt->outcome == SGR_OUTCOME_COMPLETE)
        {
          status->started = true;
          status->answer = answer->bytes;
          status->answer_length = answer->length;
        }
      return;
    }
  status->handle = attempt->phase == SGR_LEDGER_JOINED ? attempt->key->work : attempt->work;
  work = sgr_gate_work_find (gate, status->handle);
  sgr_invariant (work != NULL);
  status_from_work (work, status);
}

/* Returns the ledger record of an attempt. If there is none, sets the status and returns NULL: the
   status is NOT_RUN if a tombstone could be recorded, else UNKNOWN. */
static sgr_ledger_attempt_t *
attempt_find_or_tombstone (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_id_t *id,
                           sgr_boot_id_t gate_boot, sgr_gate_status_t *status)
{
  sgr_ledger_attempt_t *attempt;

  if (gate_boot != gate->options.boot)
    {
      status_set_settled (status, SGR_OUTCOME_UNKNOWN, SGR_GATE_REASON_WRONG_BOOT);
      return NULL;
    }
  attempt = sgr_ledger_attempt_find (gate->ledger, id);
  if (attempt != NULL)
    return attempt;
  switch (sgr_ledger_attempt_add (gate->ledger, now_us, id, &attempt))
    {
    case SGR_OK:
      sgr_ledger_attempt_settle (gate->ledger, now_us, attempt, SGR_OUTCOME_NOT_RUN,
                                 SGR_GATE_REASON_TOMBSTONE, NULL, 0);
      status_set_settled (status, SGR_OUTCOME_NOT_RUN, SGR_GATE_REASON_TOMBSTONE);
      break;
    case SGR_ERR_NOT_FOUND:
      status_set_settled (status, SGR_OUTCOME_UNKNOWN, SGR_GATE_REASON_FORGOTTEN);
      break;
    default:
      status_set_settled (status, SGR_OUTCOME_UNKNOWN, SGR_GATE_REASON_LEDGER_FULL);
      break;
    }
  return NULL;
}

void
sgr_gate_attempt_query (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_id_t *id,
                        sgr_boot_id_t gate_boot, sgr_gate_status_t *status)
{
  const sgr_ledger_attempt_t *attempt
      = attempt_find_or_tombstone (gate, now_us, id, gate_boot, status);

  if (attempt != NULL)
    sgr_gate_status_fill (gate, attempt, status);
}

void
sgr_gate_attempt_cancel (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_id_t *id,
                         sgr_boot_id_t gate_boot, sgr_gate_status_t *status)
{
  sgr_ledger_attempt_t *attempt = attempt_find_or_tombstone (gate, now_us, id, gate_boot, status);
  sgr_gate_work_t *work;

  if (attempt == NULL)
    return;
  if (attempt->phase == SGR_LEDGER_JOINED)
    /* The outcome is UNKNOWN, because the first attempt with the key continues and its request may
       run. */
    sgr_ledger_attempt_settle (gate->ledger, now_us, attempt, SGR_OUTCOME_UNKNOWN,
                               SGR_GATE_REASON_CANCELLED, NULL, 0);
  else if (attempt->phase == SGR_LEDGER_WORKING
           && (attempt->key == NULL || attempt->key->joined_count == 0))
    {
      work = sgr_gate_work_find (gate, attempt->work);
      sgr_invariant (work != NULL);
      if (work->phase == SGR_GATE_WORK_QUEUED)
        {
          sgr_gate_work_drop (gate, now_us, work, SGR_GATE_REASON_CANCELLED);
          status_set_settled (status, SGR_OUTCOME_NOT_RUN, SGR_GATE_REASON_CANCELLED);
          return;
        }
      /* If the attempt has not started, sgr_gate_attempt_mark_started() will return false, so the
         request is not sent. */
      work->cancelled = !work->started;
    }
  sgr_gate_status_fill (gate, attempt, status);
}

void
sgr_gate_key_query (sgr_gate_t *gate, uint64_t now_us, sgr_hash128_t hash, uint64_t key_generation,
                    sgr_boot_id_t gate_boot, sgr_gate_status_t *status)
{
  const sgr_ledger_key_t *key;
  const sgr_gate_work_t *work;

  if (gate_boot != gate->options.boot)
    {
      status_set_settled (status, SGR_OUTCOME_UNKNOWN, SGR_GATE_REASON_WRONG_BOOT);
      return;
    }
  key = sgr_ledger_key_find (gate->ledger, hash);
  if (key == NULL)
    {
      if (sgr_ledger_key_check (gate->ledger, now_us, key_generation) == SGR_ERR_NOT_FOUND)
        status_set_settled (status, SGR_OUTCOME_UNKNOWN, SGR_GATE_REASON_FORGOTTEN);
      else
        status_set_settled (status, SGR_OUTCOME_NOT_RUN, SGR_GATE_REASON_NONE);
      return;
    }
  status_set_settled (status, key->outcome, SGR_GATE_REASON_NONE);
  status->idempotent = key->idempotent;
  if (key->phase == SGR_LEDGER_SETTLED)
    {
      status->started = true;
      status->answer = key->answer.bytes;
      status->answer_length = key->answer.length;
      return;
    }
  work = sgr_gate_work_find (gate, key->work);
  sgr_invariant (work != NULL);
  status->handle = key->work;
  status_from_work (work, status);
}

uint64_t
sgr_gate_key_generation (const sgr_gate_t *gate, uint64_t now_us)
{
  return sgr_ledger_generation (gate->ledger, now_us);
}

void
sgr_gate_entry_lost (sgr_gate_t *gate, uint64_t now_us, sgr_node_id_t node, sgr_boot_id_t boot)
{
  for (uint32_t i = 0; i < gate->work_item_count; i++)
    {
      sgr_gate_work_t *work = &gate->work_items[i];
      const sgr_ledger_attempt_t *attempt = work->record;

      if (work->phase != SGR_GATE_WORK_QUEUED || attempt->id.node != node
          || attempt->id.boot != boot)
        continue;
      if (attempt->key != NULL && attempt->key->joined_count > 0)
        continue;
      sgr_gate_work_drop (gate, now_us, work, SGR_GATE_REASON_ENTRY_LOST);
    }
}

void
sgr_gate_target_load_set (sgr_gate_t *gate, uint64_t now_us, const sgr_target_load_t *load)
{
  gate->cost_percent = load->cost_percent;
  gate->cost_reported_us = now_us;
  if (now_us >= gate->cost_period_start_us + COST_MIN_PERIOD_US)
    {
      bool is_consecutive = now_us < gate->cost_period_start_us + 2 * COST_MIN_PERIOD_US;

      gate->cost_min_percent[1] = is_consecutive ? gate->cost_min_percent[0] : 0;
      gate->cost_min_percent[0] = 0;
      gate->cost_period_start_us = now_us;
    }
  if (gate->cost_min_percent[0] == 0 || load->cost_percent < gate->cost_min_percent[0])
    gate->cost_min_percent[0] = load->cost_percent;
  if (!sgr_gate_is_slowed (gate, now_us))
    sgr_gate_dispatch (gate, now_us);
}

uint64_t
sgr_gate_cost_expiry_us (const sgr_gate_t *gate)
{
  return gate->cost_reported_us + COST_VALIDITY_US;
}

bool
sgr_gate_is_slowed (const sgr_gate_t *gate, uint64_t now_us)
{
  uint32_t lowest_percent = gate->cost_min_percent[0];

  if (gate->cost_min_percent[1] != 0 && gate->cost_min_percent[1] < lowest_percent)
    lowest_percent = gate->cost_min_percent[1];
  /* If there is no minimum from the previous period, the lowest recent cost is at most the usual
     cost. The target defines its usual cost as 100. */
  if (gate->cost_min_percent[1] == 0 && lowest_percent > COST_USUAL_PERCENT)
    lowest_percent = COST_USUAL_PERCENT;
  return gate->cost_percent > SLOWED_COST_FACTOR * lowest_percent
         && now_us < sgr_gate_cost_expiry_us (gate);
}

void
sgr_gate_load_report (const sgr_gate_t *gate, uint64_t now_us, sgr_load_report_t *report)
{
  uint32_t starts_left;

  *report = (sgr_load_report_t){
    .in_flight = sgr_gate_limits_slots_used (gate->limits),
    .queued = sgr_gate_queue_count (gate->queue),
    .slots = sgr_gate_limits_slots (gate->limits),
    .latency_us = gate->latency.median_us,
    .cost_percent = gate->cost_percent,
    .age_us = 0,
    .state = gate->draining ? SGR_TARGET_DRAINING : gate->target_state,
  };
  if (!sgr_gate_cold_is_reported (gate->cold, now_us))
    return;
  starts_left = sgr_gate_cold_starts_left (gate->cold, now_us);
  report->cold_calls_per_s = sgr_gate_cold_limit (gate->cold);
  if (report->slots > report->in_flight && report->slots - report->in_flight > starts_left)
    report->slots = report->in_flight + starts_left;
}

void *
sgr_gate_handle_user (const sgr_gate_t *gate, sgr_gate_handle_t handle)
{
  const sgr_gate_work_t *work = sgr_gate_work_find (gate, handle);

  return work != NULL ? work->user : NULL;
}

uint64_t
sgr_gate_refused_count (const sgr_gate_t *gate, sgr_gate_reason_t reason)
{
  return gate->refused[reason];
}

const char *
sgr_gate_reason_name (sgr_gate_reason_t reason)
{
  static const char *const names[SGR_GATE_REASON_COUNT] = {
    [SGR_GATE_REASON_NONE] = "none",
    [SGR_GATE_REASON_DRAINING] = "draining",
    [SGR_GATE_REASON_WRONG_BOOT] = "wrong-boot",
    [SGR_GATE_REASON_NOT_READY] = "not-ready",
    [SGR_GATE_REASON_QUEUE_FULL] = "queue-full",
    [SGR_GATE_REASON_DEADLINE] = "deadline",
    [SGR_GATE_REASON_TENANT_LIMIT] = "tenant-limit",
    [SGR_GATE_REASON_CLASS_LIMIT] = "class-limit",
    [SGR_GATE_REASON_TOMBSTONE] = "tombstone",
    [SGR_GATE_REASON_LEDGER_FULL] = "ledger-full",
    [SGR_GATE_REASON_FORGOTTEN] = "forgotten",
    [SGR_GATE_REASON_KEY_INVALID] = "key-invalid",
    [SGR_GATE_REASON_CANCELLED] = "cancelled",
    [SGR_GATE_REASON_ENTRY_LOST] = "entry-lost",
    [SGR_GATE_REASON_SLOW] = "slow",
    [SGR_GATE_REASON_LATE] = "late",
    [SGR_GATE_REASON_COLD] = "cold",
    [SGR_GATE_REASON_QUOTA] = "quota",
    [SGR_GATE_REASON_SHARE] = "over-share",
  };

  return (unsigned)reason < SGR_GATE_REASON_COUNT ? names[reason] : "unknown";
}
