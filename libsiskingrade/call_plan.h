#ifndef SGR_CALL_PLAN_H
#define SGR_CALL_PLAN_H

#include "gate.h"
#include "retry_budget.h"
#include "types.h"

/* Attempts of one call, hedges included; the policy may allow fewer. */
#define SGR_CALL_ATTEMPTS_MAX 8
/* Most actions of one event: end all attempts, start one, finish. */
#define SGR_CALL_ACTIONS_MAX (SGR_CALL_ATTEMPTS_MAX + 2)

/**
 * enum sgr_call_reason_t - why a call did not end with an answer, beyond the reasons of a gate
 * @SGR_CALL_REASON_NONE: it did
 * @SGR_CALL_REASON_REFUSED: the gate refused, see the gate's reason
 * @SGR_CALL_REASON_TARGET_NOT_RUN: the target declared not-run
 * @SGR_CALL_REASON_NO_TARGET: no target could be picked or reached
 * @SGR_CALL_REASON_DEADLINE: the deadline passed
 * @SGR_CALL_REASON_CONNECTION_LOST: the connection broke and a query did not settle it
 * @SGR_CALL_REASON_ANSWER_LOST: the request ran, but its answer is gone
 * @SGR_CALL_REASON_ANSWER_CUT: the answer broke off after a part was passed on
 * @SGR_CALL_REASON_CANCELLED: the caller went away
 * @SGR_CALL_REASON_KEY_CONFLICT: the key was used for another request
 */
typedef enum
{
  SGR_CALL_REASON_NONE = 0,
  SGR_CALL_REASON_REFUSED,
  SGR_CALL_REASON_TARGET_NOT_RUN,
  SGR_CALL_REASON_NO_TARGET,
  SGR_CALL_REASON_DEADLINE,
  SGR_CALL_REASON_CONNECTION_LOST,
  SGR_CALL_REASON_ANSWER_LOST,
  SGR_CALL_REASON_ANSWER_CUT,
  SGR_CALL_REASON_CANCELLED,
  SGR_CALL_REASON_KEY_CONFLICT,
} sgr_call_reason_t;

/**
 * enum sgr_call_event_kind_t - what happened to a call
 * @SGR_CALL_EVENT_BEGIN: first event of a call
 * @SGR_CALL_EVENT_PICKED: the driver chose a target for an attempt; sets @target
 * @SGR_CALL_EVENT_NO_TARGET: no target for an attempt, or no connection to it: it was not sent
 * @SGR_CALL_EVENT_SENT: the Call frame of an attempt is about to be written; from here on only the
 * gate can say that it was not run
 * @SGR_CALL_EVENT_ANSWER_STARTED: a part of the answer is about to be passed to the caller
 * @SGR_CALL_EVENT_OUTCOME: an attempt ended; sets @outcome, @reason, @gate_reason,
 * @retry_after_ms, @deeper; complete only with the whole answer at hand
 * @SGR_CALL_EVENT_CONNECTION_LOST: the connection of a sent attempt broke or went silent
 * @SGR_CALL_EVENT_QUERY_REPLY: reply to a query, to a cancel, or to a Call frame that the gate
 * found to be a duplicate; sets @phase, and when settled
 * @outcome and @gate_reason; complete means that the request ran but the answer is not at hand (a
 * recorded answer is reported as SGR_CALL_EVENT_OUTCOME)
 * @SGR_CALL_EVENT_TIMER: the time in timer_us has come
 * @SGR_CALL_EVENT_CANCEL: the caller went away
 */
typedef enum
{
  SGR_CALL_EVENT_BEGIN = 0,
  SGR_CALL_EVENT_PICKED,
  SGR_CALL_EVENT_NO_TARGET,
  SGR_CALL_EVENT_SENT,
  SGR_CALL_EVENT_ANSWER_STARTED,
  SGR_CALL_EVENT_OUTCOME,
  SGR_CALL_EVENT_CONNECTION_LOST,
  SGR_CALL_EVENT_QUERY_REPLY,
  SGR_CALL_EVENT_TIMER,
  SGR_CALL_EVENT_CANCEL,
} sgr_call_event_kind_t;

/**
 * struct sgr_call_event_t - input of the plan; members as the kind says
 * @error_status: OUTCOME complete with a 5xx status; not a success for the retry budget
 */
typedef struct
{
  sgr_call_event_kind_t kind;
  uint32_t attempt;
  sgr_node_id_t target;
  sgr_outcome_t outcome;
  sgr_call_reason_t reason;
  sgr_gate_reason_t gate_reason;
  uint32_t retry_after_ms;
  sgr_retry_deeper_t deeper;
  sgr_gate_phase_t phase;
  bool error_status;
} sgr_call_event_t;

/**
 * enum sgr_call_action_kind_t - what the driver does next, in the given order
 * @SGR_CALL_ACTION_START: pick a target outside excluded targets (for a keyed call: its gate and
 * boot only) and send the attempt; report PICKED and SENT, or NO_TARGET
 * @SGR_CALL_ACTION_QUERY: ask the gate about an attempt, on a new connection
 * @SGR_CALL_ACTION_CANCEL: cancel an attempt at its gate; if it was not sent yet, never send it
 * @SGR_CALL_ACTION_FINISH: tell the caller; the last action of a call, later frames are ignored
 */
typedef enum
{
  SGR_CALL_ACTION_START = 0,
  SGR_CALL_ACTION_QUERY,
  SGR_CALL_ACTION_CANCEL,
  SGR_CALL_ACTION_FINISH,
} sgr_call_action_kind_t;

/**
 * struct sgr_call_action_t - output of the plan
 * @kind: what to do
 * @attempt: number of the attempt; for a FINISH as complete the one whose answer is passed on
 * @hedge: START of a hedge
 * @chain: START: values for the request headers
 * @outcome: FINISH: what the caller is told
 * @reason: FINISH: why
 * @gate_reason: FINISH: the gate's reason if @reason is REFUSED
 * @repeat_safe: FINISH: the caller may repeat the call without running it twice
 * @abort_answer: FINISH: a part was passed on, close the caller's connection without a clean end
 * @deeper: FINISH: value of the answer header Siskingrade-Retried
 * @retry_after_ms: FINISH: when a repeat has a chance, 0 if unknown
 */
typedef struct
{
  sgr_call_action_kind_t kind;
  uint32_t attempt;
  bool hedge;
  sgr_retry_chain_t chain;
  sgr_outcome_t outcome;
  sgr_call_reason_t reason;
  sgr_gate_reason_t gate_reason;
  bool repeat_safe;
  bool abort_answer;
  sgr_retry_deeper_t deeper;
  uint32_t retry_after_ms;
} sgr_call_action_t;

/**
 * struct sgr_call_options_t - what the plan needs to know of a call
 * @idempotent: the request may run more than once
 * @keyed: it carries an idempotency key and is bound to one gate boot
 * @deadline_us: monotonic time by which the caller wants the answer
 * @attempts_max: attempts, the first included; cut to SGR_CALL_ATTEMPTS_MAX
 * @sends_max: attempts that targets may see; one that a gate refused is not among them
 * @hedge_delay_us: time after which an idempotent call without a key is hedged, 0 for never
 * @settle_us: how long to wait after the deadline for the reply to a cancel
 * @query_interval_us: time between queries of one attempt
 * @chain: values that the call came with
 * @budget: retry budget of the service at this entry; outlives the plan
 */
typedef struct
{
  bool idempotent;
  bool keyed;
  uint64_t deadline_us;
  uint32_t attempts_max;
  uint32_t sends_max;
  uint64_t hedge_delay_us;
  uint64_t settle_us;
  uint64_t query_interval_us;
  sgr_retry_chain_t chain;
  sgr_retry_budget_t *budget;
} sgr_call_options_t;

/** enum sgr_call_attempt_state_t - one attempt as its entry knows it */
typedef enum
{
  SGR_CALL_ATTEMPT_WAITING = 0,
  SGR_CALL_ATTEMPT_STARTING,
  SGR_CALL_ATTEMPT_SENT,
  SGR_CALL_ATTEMPT_LOST,
  SGR_CALL_ATTEMPT_CANCELLING,
  SGR_CALL_ATTEMPT_NOT_RUN,
  SGR_CALL_ATTEMPT_UNKNOWN,
  SGR_CALL_ATTEMPT_COMPLETE,
} sgr_call_attempt_state_t;

/** struct sgr_call_attempt_t - record of one attempt, read only for the driver */
typedef struct
{
  sgr_call_attempt_state_t state;
  sgr_node_id_t target;
  uint64_t query_us;
} sgr_call_attempt_t;

/**
 * struct sgr_call_plan_t - state of one call at its entry; read only for the driver
 * @refused_count: attempts that gates refused, so that no target saw them
 * @timer_us: when SGR_CALL_EVENT_TIMER is due, SGR_TIMER_NEVER after the end
 * @finished: the FINISH action was given; later events give no actions
 */
typedef struct
{
  sgr_call_options_t options;
  sgr_call_attempt_t attempts[SGR_CALL_ATTEMPTS_MAX];
  uint32_t attempt_count;
  uint32_t refused_count;
  uint32_t retries_made;
  uint32_t committed;
  bool deadline_passed;
  bool finished;
  uint64_t settle_end_us;
  uint64_t hedge_us;
  uint64_t start_us;
  uint64_t timer_us;
  sgr_call_reason_t last_reason;
  sgr_gate_reason_t last_gate_reason;
  uint32_t last_retry_after_ms;
  sgr_retry_deeper_t last_deeper;
} sgr_call_plan_t;

/** sgr_call_options_init() - options of a call with the defaults for the times */
void sgr_call_options_init (sgr_call_options_t *options);

void sgr_call_plan_init (sgr_call_plan_t *plan, const sgr_call_options_t *options);

/**
 * sgr_call_plan_event() - take one event
 * @plan: the plan
 * @now_us: the time
 * @event: what happened; an event of an attempt that has ended is ignored
 * @actions: receives the actions, in the order in which to do them
 *
 * Return: number of actions. Read plan->timer_us afterwards.
 */
size_t sgr_call_plan_event (sgr_call_plan_t *plan, uint64_t now_us, const sgr_call_event_t *event,
                            sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX]);

/**
 * sgr_call_plan_excluded() - targets that the next attempt avoids
 * @plan: the plan
 * @targets: receives at most SGR_CALL_ATTEMPTS_MAX node ids
 *
 * Return: their number.
 */
size_t sgr_call_plan_excluded (const sgr_call_plan_t *plan,
                               sgr_node_id_t targets[SGR_CALL_ATTEMPTS_MAX]);

/** sgr_call_reason_name() - name of a reason as callers see it, such as "connection-lost" */
const char *sgr_call_reason_name (sgr_call_reason_t reason);

#endif
