#ifndef SGR_CALL_PLAN_H
#define SGR_CALL_PLAN_H

#include "gate.h"
#include "retry_budget.h"
#include "types.h"

/* Maximum number of attempts of one call, hedges included. The policy may allow fewer. */
#define SGR_CALL_ATTEMPTS_MAX 8
/* Maximum number of actions that one event causes: cancel all attempts, start one and finish. */
#define SGR_CALL_ACTIONS_MAX (SGR_CALL_ATTEMPTS_MAX + 2)

/**
 * enum sgr_call_reason_t - why an attempt or a call ended without an answer
 * @SGR_CALL_REASON_NONE: no failure
 * @SGR_CALL_REASON_REFUSED: the gate refused the attempt; sgr_gate_reason_t says why
 * @SGR_CALL_REASON_TARGET_NOT_RUN: the target declared that it did not run the request
 * @SGR_CALL_REASON_NO_TARGET: no target could be picked or reached
 * @SGR_CALL_REASON_DEADLINE: the deadline passed
 * @SGR_CALL_REASON_CONNECTION_LOST: the connection to the gate was lost, and a query did not find
 * out what became of the attempt
 * @SGR_CALL_REASON_ANSWER_LOST: the request ran, but its answer is no longer available
 * @SGR_CALL_REASON_ANSWER_CUT: the answer ended early after a part of it was passed to the caller
 * @SGR_CALL_REASON_CANCELLED: the caller closed its connection or cancelled the call
 * @SGR_CALL_REASON_KEY_CONFLICT: the idempotency key was used before for a different request
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
 * @SGR_CALL_EVENT_BEGIN: the call begins; always the first event
 * @SGR_CALL_EVENT_PICKED: the driver picked a target for an attempt; sets @target
 * @SGR_CALL_EVENT_NO_TARGET: the driver found no target for an attempt, or has no connection to the
 * one that it picked; the attempt was not sent
 * @SGR_CALL_EVENT_SENT: the driver is about to write the Call frame of an attempt; from now on the
 * attempt counts as not run only if its gate says so
 * @SGR_CALL_EVENT_ANSWER_STARTED: the driver is about to pass a part of the answer to the caller
 * @SGR_CALL_EVENT_OUTCOME: an attempt ended; sets @outcome, @reason, @gate_reason,
 * @retry_after_ms and @retried_downstream; the outcome is COMPLETE only if the whole answer was
 * received
 * @SGR_CALL_EVENT_CONNECTION_LOST: the connection that carried a sent attempt failed or timed out
 * @SGR_CALL_EVENT_QUERY_REPLY: the gate replied to a query, to a cancel, or to a Call frame that it
 * recognised as a duplicate; sets @phase and, if the phase is SETTLED, @outcome and @gate_reason.
 * COMPLETE means here that the request ran but its answer is not available at the gate. A recorded
 * answer is reported as SGR_CALL_EVENT_OUTCOME instead
 * @SGR_CALL_EVENT_TIMER: the time in the member timer_us of the plan was reached
 * @SGR_CALL_EVENT_CANCEL: the caller closed its connection or cancelled the call
 *
 * The driver is the code that does the I/O of a call: it reports events to the plan and carries out
 * the actions that the plan returns.
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
 * struct sgr_call_event_t - input of the plan; @kind decides which other members are set
 * @kind: what happened
 * @attempt: index of the attempt; unused for BEGIN, TIMER and CANCEL
 * @target: PICKED: node of the target, never 0
 * @outcome: OUTCOME and QUERY_REPLY: outcome of the attempt
 * @reason: OUTCOME: why the attempt failed
 * @gate_reason: OUTCOME and QUERY_REPLY: why the gate refused the attempt
 * @retry_after_ms: OUTCOME: time after which a retry may succeed, milliseconds; 0 if unknown
 * @retried_downstream: OUTCOME: whether a node downstream has already applied its retry limits
 * @phase: QUERY_REPLY: state of the attempt at its gate
 * @error_status: OUTCOME with COMPLETE: the answer has a 5xx status, so an idempotent call may be
 * retried; the caller gets this answer if no later attempt gives a better one
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
  sgr_retry_downstream_t retried_downstream;
  sgr_gate_phase_t phase;
  bool error_status;
} sgr_call_event_t;

/**
 * enum sgr_call_action_kind_t - what the driver has to do
 * @SGR_CALL_ACTION_START: pick a target that sgr_call_plan_excluded() does not list (for a keyed
 * call: the gate and boot that the key is bound to) and send the attempt; report PICKED and SENT,
 * or NO_TARGET
 * @SGR_CALL_ACTION_QUERY: query the state of an attempt from its gate, on a new connection
 * @SGR_CALL_ACTION_CANCEL: cancel an attempt at its gate; if it was not sent yet, never send it
 * @SGR_CALL_ACTION_FINISH: report the result to the caller; the last action of a call, after which
 * frames of its attempts are ignored
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
 * @attempt: index of the attempt; for FINISH with COMPLETE the one whose answer the caller gets
 * @hedge: START: the attempt is a hedge
 * @chain: START: values of the request headers Siskingrade-Depth and Siskingrade-Retry-Budget
 * @outcome: FINISH: outcome of the call
 * @reason: FINISH: why the call failed
 * @gate_reason: FINISH: the gate's reason if @reason is REFUSED
 * @repeat_safe: FINISH: the caller may repeat the call: the request did not run, or running it
 * again does no harm because it is idempotent or has an idempotency key
 * @abort_answer: FINISH: the caller has received a part of the answer; abort its connection, so
 * that it does not take that part for the whole answer
 * @retried_downstream: FINISH: value of the answer header Siskingrade-Retried
 * @retry_after_ms: FINISH: time after which a repeat may succeed, milliseconds; 0 if unknown
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
  sgr_retry_downstream_t retried_downstream;
  uint32_t retry_after_ms;
} sgr_call_action_t;

/**
 * struct sgr_call_options_t - properties and limits of a call
 * @idempotent: the request may run more than once
 * @keyed: the request has an idempotency key, which binds it to one gate and one boot of that gate
 * @deadline_us: monotonic time by which the caller needs the answer, microseconds
 * @attempts_max: maximum number of attempts, the first and those that gates refuse included; at
 * most SGR_CALL_ATTEMPTS_MAX
 * @sends_max: maximum number of attempts that may reach a target; attempts that gates refuse do not
 * count
 * @hedge_delay_us: time from the first attempt to the hedge of an idempotent call without a key,
 * microseconds; 0 disables hedging
 * @cancel_reply_timeout_us: how long to wait after the deadline for replies to cancels,
 * microseconds
 * @query_interval_us: time between queries of one attempt, microseconds
 * @chain: values of the request headers that the call arrived with
 * @budget: retry budget of the service at this entry, or NULL for no limit; must outlive the plan
 */
typedef struct
{
  bool idempotent;
  bool keyed;
  uint64_t deadline_us;
  uint32_t attempts_max;
  uint32_t sends_max;
  uint64_t hedge_delay_us;
  uint64_t cancel_reply_timeout_us;
  uint64_t query_interval_us;
  sgr_retry_chain_t chain;
  sgr_retry_budget_t *budget;
} sgr_call_options_t;

/**
 * enum sgr_call_attempt_state_t - state of one attempt as its entry knows it
 * @SGR_CALL_ATTEMPT_UNUSED: no attempt has this index yet
 * @SGR_CALL_ATTEMPT_STARTING: START was returned to the driver, which has not sent the attempt yet
 * @SGR_CALL_ATTEMPT_SENT: the Call frame was sent, and the answer is awaited
 * @SGR_CALL_ATTEMPT_LOST: the connection was lost; the gate is queried
 * @SGR_CALL_ATTEMPT_CANCELLING: CANCEL was returned to the driver, and the gate's reply is awaited
 * @SGR_CALL_ATTEMPT_NOT_RUN: ended; the request was not run
 * @SGR_CALL_ATTEMPT_UNKNOWN: ended without a whole answer; the request may have run
 * @SGR_CALL_ATTEMPT_COMPLETE: ended; the whole answer was received
 */
typedef enum
{
  SGR_CALL_ATTEMPT_UNUSED = 0,
  SGR_CALL_ATTEMPT_STARTING,
  SGR_CALL_ATTEMPT_SENT,
  SGR_CALL_ATTEMPT_LOST,
  SGR_CALL_ATTEMPT_CANCELLING,
  SGR_CALL_ATTEMPT_NOT_RUN,
  SGR_CALL_ATTEMPT_UNKNOWN,
  SGR_CALL_ATTEMPT_COMPLETE,
} sgr_call_attempt_state_t;

/**
 * struct sgr_call_attempt_t - one attempt; the driver only reads it
 * @state: its state
 * @target: node of the target, 0 if none was picked
 * @next_query_us: LOST: time of the next query, monotonic microseconds
 */
typedef struct
{
  sgr_call_attempt_state_t state;
  sgr_node_id_t target;
  uint64_t next_query_us;
} sgr_call_attempt_t;

/**
 * struct sgr_call_plan_t - state of one call at its entry; the driver only reads it
 *
 * All times are monotonic, in microseconds; @hedge_due_us, @retry_due_us and @timer_us are
 * SGR_TIMER_NEVER if nothing is due.
 *
 * @options: properties and limits of the call
 * @attempts: the attempts made so far
 * @attempt_count: number of elements in use in @attempts
 * @refused_count: number of attempts that gates refused; these attempts did not reach a target
 * @retries_made: retries and hedges so far that count against @options.chain and the retry budget
 * @error_attempt: index of the last attempt with a whole answer of a 5xx status that was not passed
 * to the caller, UINT32_MAX if there is none
 * @committed_attempt: index of the attempt of which a part of the answer was passed to the caller,
 * UINT32_MAX if there is none; no other attempt may answer the call any more
 * @deadline_passed: the deadline has passed and all open attempts were cancelled
 * @finished: the FINISH action was returned; later events cause no actions
 * @cancel_wait_end_us: after the deadline, when to stop waiting for replies to cancels
 * @hedge_due_us: when to start a hedge
 * @retry_due_us: when to start a retry that waits for the delay that the gate requested
 * @timer_us: when the driver has to report SGR_CALL_EVENT_TIMER
 * @last_reason: why the attempt that failed last did so
 * @last_gate_reason: the gate's reason for that failure
 * @last_retry_after_ms: delay that the gate requested with that failure, 0 if none
 * @last_retried_downstream: with that failure, whether a node downstream has already applied its
 * retry limits
 */
typedef struct
{
  sgr_call_options_t options;
  sgr_call_attempt_t attempts[SGR_CALL_ATTEMPTS_MAX];
  uint32_t attempt_count;
  uint32_t refused_count;
  uint32_t retries_made;
  uint32_t error_attempt;
  uint32_t committed_attempt;
  bool deadline_passed;
  bool finished;
  uint64_t cancel_wait_end_us;
  uint64_t hedge_due_us;
  uint64_t retry_due_us;
  uint64_t timer_us;
  sgr_call_reason_t last_reason;
  sgr_gate_reason_t last_gate_reason;
  uint32_t last_retry_after_ms;
  sgr_retry_downstream_t last_retried_downstream;
} sgr_call_plan_t;

/**
 * sgr_call_options_init() - set the default limits, times and chain values
 * @options: receives the defaults; @deadline_us is 0 and has to be set afterwards
 */
void sgr_call_options_init (sgr_call_options_t *options);

/**
 * sgr_call_plan_init() - set up the plan of a call that has not begun
 * @plan: the plan
 * @options: properties and limits; copied, with @attempts_max limited to the range from 1 to
 * SGR_CALL_ATTEMPTS_MAX
 */
void sgr_call_plan_init (sgr_call_plan_t *plan, const sgr_call_options_t *options);

/**
 * sgr_call_plan_event() - handle one event
 * @plan: the plan
 * @now_us: current monotonic time, microseconds
 * @event: what happened; an event of an attempt that has ended is ignored
 * @actions: receives the actions, in the order in which to carry them out
 *
 * Return: number of actions. The event may have changed plan->timer_us.
 */
size_t sgr_call_plan_event (sgr_call_plan_t *plan, uint64_t now_us, const sgr_call_event_t *event,
                            sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX]);

/**
 * sgr_call_plan_excluded() - targets of earlier attempts, which the next attempt must avoid
 * @plan: the plan
 * @targets: receives at most SGR_CALL_ATTEMPTS_MAX node ids
 *
 * Return: number of node ids.
 */
size_t sgr_call_plan_excluded (const sgr_call_plan_t *plan,
                               sgr_node_id_t targets[SGR_CALL_ATTEMPTS_MAX]);

/** sgr_call_reason_name() - name of a reason as sent to callers, such as "connection-lost" */
const char *sgr_call_reason_name (sgr_call_reason_t reason);

#endif
