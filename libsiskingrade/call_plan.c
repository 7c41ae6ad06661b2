#include "call_plan.h"

#include "timer_heap.h"

#define SETTLE_US 20000
#define QUERY_INTERVAL_US 100000
#define NOT_COMMITTED UINT32_MAX

/**
 * struct turn_t - one event in work
 * @plan: the plan
 * @now_us: the time
 * @actions: output
 * @count: actions so far
 */
typedef struct
{
  sgr_call_plan_t *plan;
  uint64_t now_us;
  sgr_call_action_t *actions;
  size_t count;
} turn_t;

void
sgr_call_options_init (sgr_call_options_t *options)
{
  *options = (sgr_call_options_t){ .attempts_max = 3,
                                   .sends_max = SGR_CALL_ATTEMPTS_MAX,
                                   .settle_us = SETTLE_US,
                                   .query_interval_us = QUERY_INTERVAL_US,
                                   .chain = { .retries = SGR_RETRY_CHAIN_RETRIES } };
}

void
sgr_call_plan_init (sgr_call_plan_t *plan, const sgr_call_options_t *options)
{
  *plan = (sgr_call_plan_t){ .options = *options,
                             .committed = NOT_COMMITTED,
                             .hedge_us = SGR_TIMER_NEVER,
                             .start_us = SGR_TIMER_NEVER,
                             .timer_us = options->deadline_us,
                             .last_reason = SGR_CALL_REASON_NO_TARGET };
  if (plan->options.attempts_max > SGR_CALL_ATTEMPTS_MAX)
    plan->options.attempts_max = SGR_CALL_ATTEMPTS_MAX;
  if (plan->options.attempts_max == 0)
    plan->options.attempts_max = 1;
}

static bool
is_repeatable (const sgr_call_plan_t *plan)
{
  return plan->options.idempotent && !plan->options.keyed;
}

static bool
is_open (sgr_call_attempt_state_t state)
{
  return state == SGR_CALL_ATTEMPT_STARTING || state == SGR_CALL_ATTEMPT_SENT
         || state == SGR_CALL_ATTEMPT_LOST || state == SGR_CALL_ATTEMPT_CANCELLING;
}

static uint32_t
state_count (const sgr_call_plan_t *plan, sgr_call_attempt_state_t state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->attempt_count; i++)
    count += plan->attempts[i].state == state;
  return count;
}

static sgr_call_action_t *
action_add (turn_t *turn, sgr_call_action_kind_t kind, uint32_t attempt)
{
  sgr_call_action_t *action = &turn->actions[turn->count++];

  sgr_invariant (turn->count <= SGR_CALL_ACTIONS_MAX);
  *action = (sgr_call_action_t){ .kind = kind, .attempt = attempt };
  return action;
}

/* An attempt that was not sent is dropped by its driver, so it is known not to have run. */
static void
attempt_cancel (turn_t *turn, uint32_t number)
{
  sgr_call_attempt_t *attempt = &turn->plan->attempts[number];

  if (!is_open (attempt->state) || attempt->state == SGR_CALL_ATTEMPT_CANCELLING)
    return;
  action_add (turn, SGR_CALL_ACTION_CANCEL, number);
  attempt->state = attempt->state == SGR_CALL_ATTEMPT_STARTING ? SGR_CALL_ATTEMPT_NOT_RUN
                                                               : SGR_CALL_ATTEMPT_CANCELLING;
}

static void
others_cancel (turn_t *turn, uint32_t kept)
{
  for (uint32_t i = 0; i < turn->plan->attempt_count; i++)
    if (i != kept)
      attempt_cancel (turn, i);
}

static void
finish_complete (turn_t *turn, uint32_t winner)
{
  sgr_call_action_t *action;

  others_cancel (turn, winner);
  action = action_add (turn, SGR_CALL_ACTION_FINISH, winner);
  action->outcome = SGR_OUTCOME_COMPLETE;
  turn->plan->finished = true;
}

static void
finish_failed (turn_t *turn, sgr_call_reason_t reason)
{
  sgr_call_plan_t *plan = turn->plan;
  sgr_call_action_t *action;

  others_cancel (turn, NOT_COMMITTED);
  action = action_add (turn, SGR_CALL_ACTION_FINISH, 0);
  action->outcome = state_count (plan, SGR_CALL_ATTEMPT_NOT_RUN) == plan->attempt_count
                        ? SGR_OUTCOME_NOT_RUN
                        : SGR_OUTCOME_UNKNOWN;
  action->reason = reason;
  action->gate_reason
      = reason == SGR_CALL_REASON_REFUSED ? plan->last_gate_reason : SGR_GATE_REASON_NONE;
  action->repeat_safe
      = action->outcome == SGR_OUTCOME_NOT_RUN || plan->options.idempotent || plan->options.keyed;
  action->abort_answer = plan->committed != NOT_COMMITTED;
  /* This entry has applied its own retry rule; a second one above would multiply with it. */
  action->deeper = SGR_RETRY_DEEPER_YES;
  action->retry_after_ms = plan->last_retry_after_ms;
  plan->finished = true;
}

static void
attempt_start (turn_t *turn, bool hedge)
{
  sgr_call_plan_t *plan = turn->plan;
  uint32_t number = plan->attempt_count++;
  sgr_call_action_t *action = action_add (turn, SGR_CALL_ACTION_START, number);

  plan->attempts[number] = (sgr_call_attempt_t){ .state = SGR_CALL_ATTEMPT_STARTING };
  action->hedge = hedge;
  action->chain = sgr_retry_chain_below (plan->options.chain, plan->retries_made);
  plan->start_us = SGR_TIMER_NEVER;
}

/* Refusals that cost the target nothing and that another target will not repeat need no token. */
static bool
is_free_retry (const sgr_call_plan_t *plan)
{
  if (plan->last_reason == SGR_CALL_REASON_NO_TARGET)
    return true;
  return plan->last_reason == SGR_CALL_REASON_REFUSED
         && (plan->last_gate_reason == SGR_GATE_REASON_DRAINING
             || plan->last_gate_reason == SGR_GATE_REASON_SLOW
             || plan->last_gate_reason == SGR_GATE_REASON_WRONG_BOOT
             || plan->last_gate_reason == SGR_GATE_REASON_NOT_READY);
}

static bool
has_attempts_left (const turn_t *turn)
{
  const sgr_call_plan_t *plan = turn->plan;

  return plan->attempt_count < plan->options.attempts_max
         && plan->attempt_count - plan->refused_count < plan->options.sends_max
         && plan->committed == NOT_COMMITTED && !plan->deadline_passed
         && turn->now_us < plan->options.deadline_us;
}

static bool
take_retry (sgr_call_plan_t *plan, sgr_retry_deeper_t deeper)
{
  if (!sgr_retry_chain_allows (plan->options.chain, plan->retries_made, deeper))
    return false;
  if (plan->options.budget != NULL && !sgr_retry_budget_take (plan->options.budget))
    return false;
  plan->retries_made++;
  return true;
}

/* Starts the next attempt, now or later; false if there will be none. */
static bool
retry (turn_t *turn)
{
  sgr_call_plan_t *plan = turn->plan;
  uint64_t delay_us = 0;

  if (!has_attempts_left (turn))
    return false;
  if (plan->options.keyed)
    {
      /* The same gate again: only worth while if it may answer differently. */
      if (is_free_retry (plan) || plan->last_reason != SGR_CALL_REASON_REFUSED
          || plan->last_retry_after_ms == 0)
        return false;
      delay_us = plan->last_retry_after_ms * SGR_USEC_PER_MSEC;
      if (turn->now_us + delay_us >= plan->options.deadline_us)
        return false;
    }
  if (!is_free_retry (plan) && !take_retry (plan, plan->last_deeper))
    return false;
  if (delay_us > 0)
    plan->start_us = turn->now_us + delay_us;
  else
    attempt_start (turn, false);
  return true;
}

static void
hedge_if_due (turn_t *turn)
{
  sgr_call_plan_t *plan = turn->plan;

  if (plan->hedge_us > turn->now_us)
    return;
  plan->hedge_us = SGR_TIMER_NEVER;
  if (!is_repeatable (plan) || !has_attempts_left (turn)
      || state_count (plan, SGR_CALL_ATTEMPT_SENT) == 0)
    return;
  if (take_retry (plan, SGR_RETRY_DEEPER_UNSAID))
    attempt_start (turn, true);
}

static void
queries_if_due (turn_t *turn)
{
  sgr_call_plan_t *plan = turn->plan;

  for (uint32_t i = 0; i < plan->attempt_count; i++)
    {
      sgr_call_attempt_t *attempt = &plan->attempts[i];

      if (attempt->state != SGR_CALL_ATTEMPT_LOST || attempt->query_us > turn->now_us)
        continue;
      action_add (turn, SGR_CALL_ACTION_QUERY, i);
      attempt->query_us = turn->now_us + plan->options.query_interval_us;
    }
}

static void
timer_set (turn_t *turn)
{
  sgr_call_plan_t *plan = turn->plan;
  uint64_t due_us = plan->deadline_passed ? plan->settle_end_us : plan->options.deadline_us;

  if (plan->finished)
    {
      plan->timer_us = SGR_TIMER_NEVER;
      return;
    }
  if (plan->hedge_us < due_us)
    due_us = plan->hedge_us;
  if (plan->start_us < due_us)
    due_us = plan->start_us;
  for (uint32_t i = 0; i < plan->attempt_count; i++)
    if (plan->attempts[i].state == SGR_CALL_ATTEMPT_LOST && plan->attempts[i].query_us < due_us)
      due_us = plan->attempts[i].query_us;
  plan->timer_us = due_us;
}

static void
deadline_check (turn_t *turn)
{
  sgr_call_plan_t *plan = turn->plan;

  if (plan->deadline_passed || turn->now_us < plan->options.deadline_us)
    return;
  plan->deadline_passed = true;
  plan->settle_end_us = turn->now_us + plan->options.settle_us;
  plan->start_us = SGR_TIMER_NEVER;
  plan->hedge_us = SGR_TIMER_NEVER;
  others_cancel (turn, NOT_COMMITTED);
}

static void
advance (turn_t *turn)
{
  sgr_call_plan_t *plan = turn->plan;
  uint32_t live;
  uint32_t open;

  if (plan->committed != NOT_COMMITTED && !is_open (plan->attempts[plan->committed].state))
    {
      finish_failed (turn, SGR_CALL_REASON_ANSWER_CUT);
      return;
    }
  if (plan->last_reason == SGR_CALL_REASON_KEY_CONFLICT)
    {
      finish_failed (turn, SGR_CALL_REASON_KEY_CONFLICT);
      return;
    }
  deadline_check (turn);
  live = state_count (plan, SGR_CALL_ATTEMPT_STARTING) + state_count (plan, SGR_CALL_ATTEMPT_SENT);
  open = live + state_count (plan, SGR_CALL_ATTEMPT_LOST)
         + state_count (plan, SGR_CALL_ATTEMPT_CANCELLING);
  if (plan->deadline_passed)
    {
      if (open == 0 || turn->now_us >= plan->settle_end_us)
        finish_failed (turn, SGR_CALL_REASON_DEADLINE);
      return;
    }
  if (plan->start_us <= turn->now_us)
    attempt_start (turn, false);
  else if (plan->start_us == SGR_TIMER_NEVER && live == 0)
    {
      bool all_not_run = state_count (plan, SGR_CALL_ATTEMPT_NOT_RUN) == plan->attempt_count;
      bool started = (is_repeatable (plan) || all_not_run) && retry (turn);

      if (!started && open == 0)
        {
          finish_failed (turn, plan->last_reason);
          return;
        }
    }
  hedge_if_due (turn);
  queries_if_due (turn);
}

static void
failure_record (sgr_call_plan_t *plan, const sgr_call_event_t *event)
{
  plan->last_reason = event->reason;
  plan->last_gate_reason = event->gate_reason;
  plan->last_retry_after_ms = event->retry_after_ms;
  plan->last_deeper = event->deeper;
}

static void
outcome_take (turn_t *turn, const sgr_call_event_t *event, sgr_call_attempt_t *attempt)
{
  sgr_call_plan_t *plan = turn->plan;
  bool may_win = plan->committed == NOT_COMMITTED || plan->committed == event->attempt;

  /* An attempt that was not sent cannot have run, whatever a late frame says. */
  if (attempt->state == SGR_CALL_ATTEMPT_STARTING)
    {
      attempt->state = SGR_CALL_ATTEMPT_NOT_RUN;
      failure_record (plan, event);
      return;
    }
  if (event->outcome == SGR_OUTCOME_NOT_RUN && event->reason == SGR_CALL_REASON_REFUSED)
    plan->refused_count++;
  if (event->outcome == SGR_OUTCOME_COMPLETE && may_win)
    {
      attempt->state = SGR_CALL_ATTEMPT_COMPLETE;
      if (!event->error_status && plan->options.budget != NULL)
        sgr_retry_budget_success (plan->options.budget);
      finish_complete (turn, event->attempt);
      return;
    }
  /* A part of the answer was passed on, so the request did run. */
  attempt->state = event->outcome == SGR_OUTCOME_NOT_RUN && plan->committed != event->attempt
                       ? SGR_CALL_ATTEMPT_NOT_RUN
                       : SGR_CALL_ATTEMPT_UNKNOWN;
  failure_record (plan, event);
}

static void
query_reply_take (turn_t *turn, const sgr_call_event_t *event, sgr_call_attempt_t *attempt)
{
  sgr_call_plan_t *plan = turn->plan;
  sgr_call_event_t failure = *event;

  if (attempt->state == SGR_CALL_ATTEMPT_STARTING || plan->committed == event->attempt)
    return;
  if (event->phase != SGR_GATE_PHASE_SETTLED)
    {
      /* The gate sends the answer on the connection of the query. Work that runs on although it
         was cancelled stays unknown. */
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
connection_lost_take (turn_t *turn, uint32_t number, sgr_call_attempt_t *attempt)
{
  sgr_call_plan_t *plan = turn->plan;
  const sgr_call_event_t failure = { .reason = SGR_CALL_REASON_CONNECTION_LOST };

  if (attempt->state != SGR_CALL_ATTEMPT_STARTING && attempt->state != SGR_CALL_ATTEMPT_SENT)
    return;
  if (attempt->state == SGR_CALL_ATTEMPT_STARTING)
    attempt->state = SGR_CALL_ATTEMPT_NOT_RUN;
  else if (plan->committed == number)
    attempt->state = SGR_CALL_ATTEMPT_UNKNOWN;
  else
    {
      attempt->state = SGR_CALL_ATTEMPT_LOST;
      attempt->query_us = turn->now_us;
    }
  failure_record (plan, &failure);
}

static void
no_target_take (sgr_call_plan_t *plan, sgr_call_attempt_t *attempt)
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
  /* Nothing is left to pick. The reason of an earlier attempt tells the caller more. */
  plan->options.attempts_max = plan->attempt_count;
}

static void
attempt_event (turn_t *turn, const sgr_call_event_t *event)
{
  sgr_call_plan_t *plan = turn->plan;
  sgr_call_attempt_t *attempt = &plan->attempts[event->attempt];

  if (!is_open (attempt->state))
    return;
  switch (event->kind)
    {
    case SGR_CALL_EVENT_PICKED:
      attempt->target = event->target;
      break;
    case SGR_CALL_EVENT_NO_TARGET:
      no_target_take (plan, attempt);
      break;
    case SGR_CALL_EVENT_SENT:
      if (attempt->state != SGR_CALL_ATTEMPT_STARTING)
        break;
      attempt->state = SGR_CALL_ATTEMPT_SENT;
      if (event->attempt == 0 && plan->options.hedge_delay_us > 0 && is_repeatable (plan))
        plan->hedge_us = turn->now_us + plan->options.hedge_delay_us;
      break;
    case SGR_CALL_EVENT_ANSWER_STARTED:
      if (plan->committed == NOT_COMMITTED && attempt->state == SGR_CALL_ATTEMPT_SENT)
        {
          plan->committed = event->attempt;
          others_cancel (turn, event->attempt);
        }
      break;
    case SGR_CALL_EVENT_OUTCOME:
      outcome_take (turn, event, attempt);
      break;
    case SGR_CALL_EVENT_CONNECTION_LOST:
      connection_lost_take (turn, event->attempt, attempt);
      break;
    case SGR_CALL_EVENT_QUERY_REPLY:
      query_reply_take (turn, event, attempt);
      break;
    default:
      break;
    }
}

size_t
sgr_call_plan_event (sgr_call_plan_t *plan, uint64_t now_us, const sgr_call_event_t *event,
                     sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX])
{
  turn_t turn = { .plan = plan, .now_us = now_us, .actions = actions };

  if (plan->finished)
    return 0;
  switch (event->kind)
    {
    case SGR_CALL_EVENT_BEGIN:
      if (plan->attempt_count == 0 && now_us < plan->options.deadline_us)
        attempt_start (&turn, false);
      break;
    case SGR_CALL_EVENT_TIMER:
      break;
    case SGR_CALL_EVENT_CANCEL:
      finish_failed (&turn, SGR_CALL_REASON_CANCELLED);
      break;
    default:
      if (event->attempt >= plan->attempt_count)
        return 0;
      attempt_event (&turn, event);
      break;
    }
  if (!plan->finished)
    advance (&turn);
  timer_set (&turn);
  return turn.count;
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
