#include "call_plan.h"

#include "timer_heap.h"

#define CANCEL_REPLY_TIMEOUT_US 20000
#define QUERY_INTERVAL_US 100000
/* Means "no attempt" where the index of an attempt is expected. */
#define ATTEMPT_NONE UINT32_MAX

/**
 * struct plan_step_t - handling of one event
 * @plan: the plan that handles the event
 * @now_us: current monotonic time, microseconds
 * @actions: receives the actions for the driver
 * @count: number of actions so far
 */
typedef struct
{
  sgr_call_plan_t *plan;
  uint64_t now_us;
  sgr_call_action_t *actions;
  size_t count;
} plan_step_t;

void
sgr_call_options_init (sgr_call_options_t *options)
{
  *options = (sgr_call_options_t){ .attempts_max = 3,
                                   .sends_max = SGR_CALL_ATTEMPTS_MAX,
                                   .cancel_reply_timeout_us = CANCEL_REPLY_TIMEOUT_US,
                                   .query_interval_us = QUERY_INTERVAL_US,
                                   .chain = { .retries = SGR_RETRY_CHAIN_RETRIES_MAX } };
}

void
sgr_call_plan_init (sgr_call_plan_t *plan, const sgr_call_options_t *options)
{
  *plan = (sgr_call_plan_t){ .options = *options,
                             .error_attempt = ATTEMPT_NONE,
                             .committed_attempt = ATTEMPT_NONE,
                             .hedge_due_us = SGR_TIMER_NEVER,
                             .retry_due_us = SGR_TIMER_NEVER,
                             .timer_us = options->deadline_us,
                             .last_reason = SGR_CALL_REASON_NO_TARGET };
  if (plan->options.attempts_max > SGR_CALL_ATTEMPTS_MAX)
    plan->options.attempts_max = SGR_CALL_ATTEMPTS_MAX;
  if (plan->options.attempts_max == 0)
    plan->options.attempts_max = 1;
}

/* Whether a new attempt may be sent although an earlier one may have run or may still run. It may
   not be sent for a call with an idempotency key, because all attempts of such a call go to the
   same gate. */
static bool
is_repeatable (const sgr_call_plan_t *plan)
{
  return plan->options.idempotent && !plan->options.keyed;
}

/* Whether the attempt has not ended. */
static bool
is_attempt_open (sgr_call_attempt_state_t state)
{
  return state == SGR_CALL_ATTEMPT_STARTING || state == SGR_CALL_ATTEMPT_SENT
         || state == SGR_CALL_ATTEMPT_LOST || state == SGR_CALL_ATTEMPT_CANCELLING;
}

static uint32_t
attempt_state_count (const sgr_call_plan_t *plan, sgr_call_attempt_state_t state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->attempt_count; i++)
    count += plan->attempts[i].state == state;
  return count;
}

static sgr_call_action_t *
action_add (plan_step_t *step, sgr_call_action_kind_t kind, uint32_t attempt)
{
  sgr_call_action_t *action = &step->actions[step->count++];

  sgr_invariant (step->count <= SGR_CALL_ACTIONS_MAX);
  *action = (sgr_call_action_t){ .kind = kind, .attempt = attempt };
  return action;
}

/* The driver never sends an attempt that is cancelled in STARTING, so its outcome is not-run. */
static void
attempt_cancel (plan_step_t *step, uint32_t index)
{
  sgr_call_attempt_t *attempt = &step->plan->attempts[index];

  if (!is_attempt_open (attempt->state) || attempt->state == SGR_CALL_ATTEMPT_CANCELLING)
    return;
  action_add (step, SGR_CALL_ACTION_CANCEL, index);
  attempt->state = attempt->state == SGR_CALL_ATTEMPT_STARTING ? SGR_CALL_ATTEMPT_NOT_RUN
                                                               : SGR_CALL_ATTEMPT_CANCELLING;
}

/* Cancels all attempts but one, or all of them if kept_index is ATTEMPT_NONE. */
static void
other_attempts_cancel (plan_step_t *step, uint32_t kept_index)
{
  for (uint32_t i = 0; i < step->plan->attempt_count; i++)
    if (i != kept_index)
      attempt_cancel (step, i);
}

static void
finish_complete (plan_step_t *step, uint32_t completed_index)
{
  sgr_call_action_t *action;

  other_attempts_cancel (step, completed_index);
  action = action_add (step, SGR_CALL_ACTION_FINISH, completed_index);
  action->outcome = SGR_OUTCOME_COMPLETE;
  step->plan->finished = true;
}

static void
finish_failed (plan_step_t *step, sgr_call_reason_t reason)
{
  sgr_call_plan_t *plan = step->plan;
  sgr_call_action_t *action;

  /* The target's own error tells the caller more than the failure of a later attempt. */
  if (plan->error_attempt != ATTEMPT_NONE && plan->committed_attempt == ATTEMPT_NONE
      && reason != SGR_CALL_REASON_CANCELLED)
    {
      finish_complete (step, plan->error_attempt);
      return;
    }
  other_attempts_cancel (step, ATTEMPT_NONE);
  action = action_add (step, SGR_CALL_ACTION_FINISH, 0);
  action->outcome = attempt_state_count (plan, SGR_CALL_ATTEMPT_NOT_RUN) == plan->attempt_count
                        ? SGR_OUTCOME_NOT_RUN
                        : SGR_OUTCOME_UNKNOWN;
  action->reason = reason;
  action->gate_reason
      = reason == SGR_CALL_REASON_REFUSED ? plan->last_gate_reason : SGR_GATE_REASON_NONE;
  action->repeat_safe
      = action->outcome == SGR_OUTCOME_NOT_RUN || plan->options.idempotent || plan->options.keyed;
  action->abort_answer = plan->committed_attempt != ATTEMPT_NONE;
  /* This entry has already applied its retry limits. If callers upstream retried as well, the
     numbers of attempts would multiply. */
  action->retried_downstream = SGR_RETRY_DOWNSTREAM_YES;
  action->retry_after_ms = plan->last_retry_after_ms;
  plan->finished = true;
}

static void
attempt_start (plan_step_t *step, bool hedge)
{
  sgr_call_plan_t *plan = step->plan;
  uint32_t index = plan->attempt_count++;
  sgr_call_action_t *action = action_add (step, SGR_CALL_ACTION_START, index);

  plan->attempts[index] = (sgr_call_attempt_t){ .state = SGR_CALL_ATTEMPT_STARTING };
  action->hedge = hedge;
  action->chain = sgr_retry_chain_downstream (plan->options.chain, plan->retries_made);
  plan->retry_due_us = SGR_TIMER_NEVER;
}

/* Whether a retry of the last failed attempt needs no token: the gate refused that attempt before
   it reached the target, and the reason concerns this target only. The limits of tenants and
   classes are the same at all gates, so a retry would circumvent them. */
static bool
is_retry_without_token (const sgr_call_plan_t *plan)
{
  if (plan->last_reason == SGR_CALL_REASON_NO_TARGET)
    return true;
  if (plan->last_reason != SGR_CALL_REASON_REFUSED)
    return false;
  switch (plan->last_gate_reason)
    {
    case SGR_GATE_REASON_DRAINING:
    case SGR_GATE_REASON_SLOW:
    case SGR_GATE_REASON_WRONG_BOOT:
    case SGR_GATE_REASON_NOT_READY:
    case SGR_GATE_REASON_QUEUE_FULL:
    case SGR_GATE_REASON_LATE:
    case SGR_GATE_REASON_COLD:
    case SGR_GATE_REASON_SHARE:
      return true;
    default:
      return false;
    }
}

/* Whether the limits of the call and its deadline allow another attempt. */
static bool
is_attempt_allowed (const plan_step_t *step)
{
  const sgr_call_plan_t *plan = step->plan;

  return plan->attempt_count < plan->options.attempts_max
         && plan->attempt_count - plan->refused_count < plan->options.sends_max
         && plan->committed_attempt == ATTEMPT_NONE && !plan->deadline_passed
         && step->now_us < plan->options.deadline_us;
}

/* Takes the token of a retry or hedge; false if the call chain or the budget has none left. */
static bool
retry_admit (const plan_step_t *step, sgr_retry_downstream_t downstream, sgr_retry_kind_t kind)
{
  sgr_call_plan_t *plan = step->plan;

  if (!sgr_retry_chain_allows (plan->options.chain, plan->retries_made, downstream))
    return false;
  if (plan->options.budget != NULL
      && !sgr_retry_budget_take (plan->options.budget, step->now_us, kind))
    return false;
  plan->retries_made++;
  return true;
}

/* Starts a retry now or sets the time to start it; false if no retry is allowed. */
static bool
retry_schedule (plan_step_t *step)
{
  sgr_call_plan_t *plan = step->plan;
  bool is_error_answer = plan->last_reason == SGR_CALL_REASON_NONE;
  uint64_t delay_us = 0;

  if (!is_attempt_allowed (step))
    return false;
  /* Attempts at other gates would spread the few tokens of the account over more of them. */
  if (plan->last_reason == SGR_CALL_REASON_REFUSED
      && plan->last_gate_reason == SGR_GATE_REASON_QUOTA)
    return false;
  if (plan->options.keyed)
    {
      /* All attempts with a key go to the same gate. So a retry is made only if the gate refused
         the attempt and requested a retry delay. No retry is made if the reason for the refusal is
         specific to the gate, because the gate would probably refuse the retry as well. */
      if (is_retry_without_token (plan) || plan->last_reason != SGR_CALL_REASON_REFUSED
          || plan->last_retry_after_ms == 0)
        return false;
      delay_us = plan->last_retry_after_ms * SGR_USEC_PER_MSEC;
      if (step->now_us + delay_us >= plan->options.deadline_us)
        return false;
    }
  if (!is_retry_without_token (plan)
      && !retry_admit (step, plan->last_retried_downstream,
                       is_error_answer ? SGR_RETRY_ERROR_ANSWER : SGR_RETRY_FAILED_ATTEMPT))
    return false;
  if (delay_us > 0)
    plan->retry_due_us = step->now_us + delay_us;
  else
    attempt_start (step, false);
  return true;
}

static void
hedge_start_if_due (plan_step_t *step)
{
  sgr_call_plan_t *plan = step->plan;

  if (plan->hedge_due_us > step->now_us)
    return;
  plan->hedge_due_us = SGR_TIMER_NEVER;
  if (!is_repeatable (plan) || !is_attempt_allowed (step)
      || attempt_state_count (plan, SGR_CALL_ATTEMPT_SENT) == 0)
    return;
  if (retry_admit (step, SGR_RETRY_DOWNSTREAM_UNSPECIFIED, SGR_RETRY_FAILED_ATTEMPT))
    attempt_start (step, true);
}

static void
queries_start_if_due (plan_step_t *step)
{
  sgr_call_plan_t *plan = step->plan;

  for (uint32_t i = 0; i < plan->attempt_count; i++)
    {
      sgr_call_attempt_t *attempt = &plan->attempts[i];

      if (attempt->state != SGR_CALL_ATTEMPT_LOST || attempt->next_query_us > step->now_us)
        continue;
      action_add (step, SGR_CALL_ACTION_QUERY, i);
      attempt->next_query_us = step->now_us + plan->options.query_interval_us;
    }
}

static void
timer_update (plan_step_t *step)
{
  sgr_call_plan_t *plan = step->plan;
  uint64_t due_us = plan->deadline_passed ? plan->cancel_wait_end_us : plan->options.deadline_us;

  if (plan->finished)
    {
      plan->timer_us = SGR_TIMER_NEVER;
      return;
    }
  if (plan->hedge_due_us < due_us)
    due_us = plan->hedge_due_us;
  if (plan->retry_due_us < due_us)
    due_us = plan->retry_due_us;
  for (uint32_t i = 0; i < plan->attempt_count; i++)
    if (plan->attempts[i].state == SGR_CALL_ATTEMPT_LOST
        && plan->attempts[i].next_query_us < due_us)
      due_us = plan->attempts[i].next_query_us;
  plan->timer_us = due_us;
}

/* Cancels all attempts when the deadline is reached and limits the wait for their outcomes, which
   the gates may still report. */
static void
deadline_check (plan_step_t *step)
{
  sgr_call_plan_t *plan = step->plan;

  if (plan->deadline_passed || step->now_us < plan->options.deadline_us)
    return;
  plan->deadline_passed = true;
  plan->cancel_wait_end_us = step->now_us + plan->options.cancel_reply_timeout_us;
  plan->retry_due_us = SGR_TIMER_NEVER;
  plan->hedge_due_us = SGR_TIMER_NEVER;
  other_attempts_cancel (step, ATTEMPT_NONE);
}

/* Decides what follows from the state of the attempts: finish the call, start a retry or a hedge,
   or send queries. */
static void
plan_advance (plan_step_t *step)
{
  sgr_call_plan_t *plan = step->plan;
  uint32_t active_count;
  uint32_t open_count;

  if (plan->committed_attempt != ATTEMPT_NONE
      && !is_attempt_open (plan->attempts[plan->committed_attempt].state))
    {
      finish_failed (step, SGR_CALL_REASON_ANSWER_CUT);
      return;
    }
  if (plan->last_reason == SGR_CALL_REASON_KEY_CONFLICT)
    {
      finish_failed (step, SGR_CALL_REASON_KEY_CONFLICT);
      return;
    }
  deadline_check (step);
  active_count = attempt_state_count (plan, SGR_CALL_ATTEMPT_STARTING)
                 + attempt_state_count (plan, SGR_CALL_ATTEMPT_SENT);
  open_count = active_count + attempt_state_count (plan, SGR_CALL_ATTEMPT_LOST)
               + attempt_state_count (plan, SGR_CALL_ATTEMPT_CANCELLING);
  if (plan->deadline_passed)
    {
      if (open_count == 0 || step->now_us >= plan->cancel_wait_end_us)
        finish_failed (step, SGR_CALL_REASON_DEADLINE);
      return;
    }
  if (plan->retry_due_us <= step->now_us)
    attempt_start (step, false);
  else if (plan->retry_due_us == SGR_TIMER_NEVER && active_count == 0)
    {
      bool all_not_run
          = attempt_state_count (plan, SGR_CALL_ATTEMPT_NOT_RUN) == plan->attempt_count;
      bool is_scheduled = (is_repeatable (plan) || all_not_run) && retry_schedule (step);

      if (!is_scheduled && open_count == 0)
        {
          finish_failed (step, plan->last_reason);
          return;
        }
    }
  hedge_start_if_due (step);
  queries_start_if_due (step);
}

static void
failure_record (sgr_call_plan_t *plan, const sgr_call_event_t *event)
{
  plan->last_reason = event->reason;
  plan->last_gate_reason = event->gate_reason;
  plan->last_retry_after_ms = event->retry_after_ms;
  plan->last_retried_downstream = event->retried_downstream;
}

static void
outcome_handle (plan_step_t *step, const sgr_call_event_t *event, sgr_call_attempt_t *attempt)
{
  sgr_call_plan_t *plan = step->plan;
  bool may_complete
      = plan->committed_attempt == ATTEMPT_NONE || plan->committed_attempt == event->attempt;

  /* An attempt that was not sent cannot have run, whatever outcome is reported for it. */
  if (attempt->state == SGR_CALL_ATTEMPT_STARTING)
    {
      attempt->state = SGR_CALL_ATTEMPT_NOT_RUN;
      failure_record (plan, event);
      return;
    }
  if (event->outcome == SGR_OUTCOME_NOT_RUN && event->reason == SGR_CALL_REASON_REFUSED)
    plan->refused_count++;
  if (event->outcome == SGR_OUTCOME_COMPLETE && may_complete)
    {
      attempt->state = SGR_CALL_ATTEMPT_COMPLETE;
      if (event->error_status && is_repeatable (plan) && plan->committed_attempt == ATTEMPT_NONE)
        {
          plan->error_attempt = event->attempt;
          failure_record (plan, event);
        }
      else
        finish_complete (step, event->attempt);
      return;
    }
  /* If a part of the answer was passed to the caller, the request ran, whatever is reported. */
  attempt->state
      = event->outcome == SGR_OUTCOME_NOT_RUN && plan->committed_attempt != event->attempt
            ? SGR_CALL_ATTEMPT_NOT_RUN
            : SGR_CALL_ATTEMPT_UNKNOWN;
  failure_record (plan, event);
}

static void
query_reply_handle (plan_step_t *step, const sgr_call_event_t *event, sgr_call_attempt_t *attempt)
{
  sgr_call_plan_t *plan = step->plan;
  sgr_call_event_t failure = *event;

  if (attempt->state == SGR_CALL_ATTEMPT_STARTING || plan->committed_attempt == event->attempt)
    return;
  if (event->phase != SGR_GATE_PHASE_SETTLED)
    {
      /* The attempt is queued or running. The gate will send its answer on the connection that
         carried the query. If the attempt was cancelled, no answer is awaited any more and its
         outcome stays unknown. */
      attempt->state = attempt->state == SGR_CALL_ATTEMPT_CANCELLING ? SGR_CALL_ATTEMPT_UNKNOWN
                                                                     : SGR_CALL_ATTEMPT_SENT;
      return;
    }
  attempt->state
      = event->outcome == SGR_OUTCOME_NOT_RUN ? SGR_CALL_ATTEMPT_NOT_RUN : SGR_CALL_ATTEMPT_UNKNOWN;
  if (event->outcome == SGR_OUTCOME_COMPLETE)
    failure.reason = SGR_CALL_REASON_ANSWER_LOST;
  else if (event->gate_reason == SGR_GATE_REASON_NONE
           || event->gate_reason == SGR_GATE_REASON_TOMBSTONE
           || event->gate_reason == SGR_GATE_REASON_WRONG_BOOT)
    failure.reason = SGR_CALL_REASON_CONNECTION_LOST;
  else
    failure.reason = SGR_CALL_REASON_REFUSED;
  failure_record (plan, &failure);
}

static void
connection_lost_handle (plan_step_t *step, uint32_t index, sgr_call_attempt_t *attempt)
{
  sgr_call_plan_t *plan = step->plan;
  const sgr_call_event_t failure = { .reason = SGR_CALL_REASON_CONNECTION_LOST };

  if (attempt->state != SGR_CALL_ATTEMPT_STARTING && attempt->state != SGR_CALL_ATTEMPT_SENT)
    return;
  if (attempt->state == SGR_CALL_ATTEMPT_STARTING)
    attempt->state = SGR_CALL_ATTEMPT_NOT_RUN;
  else if (plan->committed_attempt == index)
    attempt->state = SGR_CALL_ATTEMPT_UNKNOWN;
  else
    {
      attempt->state = SGR_CALL_ATTEMPT_LOST;
      attempt->next_query_us = step->now_us;
    }
  failure_record (plan, &failure);
}

static void
no_target_handle (sgr_call_plan_t *plan, sgr_call_attempt_t *attempt)
{
  if (attempt->state != SGR_CALL_ATTEMPT_STARTING)
    return;
  attempt->state = SGR_CALL_ATTEMPT_NOT_RUN;
  if (attempt->target != 0)
    {
      const sgr_call_event_t failure = { .reason = SGR_CALL_REASON_NO_TARGET };

      failure_record (plan, &failure);
      return;
    }
  /* No target is left to pick, so no further attempt is made. The reason of an earlier failure is
     kept, because it is of more use to the caller than "no-target". */
  plan->options.attempts_max = plan->attempt_count;
}

static void
attempt_event_handle (plan_step_t *step, const sgr_call_event_t *event)
{
  sgr_call_plan_t *plan = step->plan;
  sgr_call_attempt_t *attempt = &plan->attempts[event->attempt];

  if (!is_attempt_open (attempt->state))
    return;
  switch (event->kind)
    {
    case SGR_CALL_EVENT_PICKED:
      attempt->target = event->target;
      break;
    case SGR_CALL_EVENT_NO_TARGET:
      no_target_handle (plan, attempt);
      break;
    case SGR_CALL_EVENT_SENT:
      if (attempt->state != SGR_CALL_ATTEMPT_STARTING)
        break;
      attempt->state = SGR_CALL_ATTEMPT_SENT;
      if (event->attempt == 0 && plan->options.hedge_delay_us > 0 && is_repeatable (plan))
        plan->hedge_due_us = step->now_us + plan->options.hedge_delay_us;
      break;
    case SGR_CALL_EVENT_ANSWER_STARTED:
      if (plan->committed_attempt == ATTEMPT_NONE && attempt->state == SGR_CALL_ATTEMPT_SENT)
        {
          plan->committed_attempt = event->attempt;
          other_attempts_cancel (step, event->attempt);
        }
      break;
    case SGR_CALL_EVENT_OUTCOME:
      outcome_handle (step, event, attempt);
      break;
    case SGR_CALL_EVENT_CONNECTION_LOST:
      connection_lost_handle (step, event->attempt, attempt);
      break;
    case SGR_CALL_EVENT_QUERY_REPLY:
      query_reply_handle (step, event, attempt);
      break;
    default:
      break;
    }
}

size_t
sgr_call_plan_event (sgr_call_plan_t *plan, uint64_t now_us, const sgr_call_event_t *event,
                     sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX])
{
  plan_step_t step = { .plan = plan, .now_us = now_us, .actions = actions };

  if (plan->finished)
    return 0;
  switch (event->kind)
    {
    case SGR_CALL_EVENT_BEGIN:
      if (plan->options.budget != NULL)
        sgr_retry_budget_request_record (plan->options.budget, now_us);
      if (plan->attempt_count == 0 && now_us < plan->options.deadline_us)
        attempt_start (&step, false);
      break;
    case SGR_CALL_EVENT_TIMER:
      break;
    case SGR_CALL_EVENT_CANCEL:
      finish_failed (&step, SGR_CALL_REASON_CANCELLED);
      break;
    default:
      if (event->attempt >= plan->attempt_count)
        return 0;
      attempt_event_handle (&step, event);
      break;
    }
  if (!plan->finished)
    plan_advance (&step);
  timer_update (&step);
  return step.count;
}

size_t
sgr_call_plan_excluded (const sgr_call_plan_t *plan, sgr_node_id_t targets[SGR_CALL_ATTEMPTS_MAX])
{
  size_t count = 0;

  for (uint32_t i = 0; i < plan->attempt_count; i++)
    if (plan->attempts[i].target != 0)
      targets[count++] = plan->attempts[i].target;
  return count;
}

const char *
sgr_call_reason_name (sgr_call_reason_t reason)
{
  static const char *const names[] = {
    [SGR_CALL_REASON_NONE] = "none",
    [SGR_CALL_REASON_REFUSED] = "refused",
    [SGR_CALL_REASON_TARGET_NOT_RUN] = "target-not-run",
    [SGR_CALL_REASON_NO_TARGET] = "no-target",
    [SGR_CALL_REASON_DEADLINE] = "deadline",
    [SGR_CALL_REASON_CONNECTION_LOST] = "connection-lost",
    [SGR_CALL_REASON_ANSWER_LOST] = "answer-lost",
    [SGR_CALL_REASON_ANSWER_CUT] = "answer-cut",
    [SGR_CALL_REASON_CANCELLED] = "cancelled",
    [SGR_CALL_REASON_KEY_CONFLICT] = "key-conflict",
  };

  return (unsigned)reason < sizeof names / sizeof names[0] ? names[reason] : "unknown";
}
