#ifndef SGR_DATA_CALL_INTERNAL_H
#define SGR_DATA_CALL_INTERNAL_H

#include "data_call.h"

/* Shared by data_call.c, data_send.c, data_attempt.c and data_call_log.c. */

/* Credit window: body bytes that a gate may send before they are delivered to the caller. Limits
   the memory that one attempt uses at its entry. */
#define SGR_ANSWER_WINDOW_BYTES (256U * 1024)

/**
 * struct sgr_data_call_t - one call of a caller
 * @next: next open call of the task
 * @previous: previous open call of the task
 * @req: h2o request, NULL after h2o disposed of it
 * @start_us: time of arrival, monotonic, microseconds
 * @sequence: sequence number of the call within this boot, part of the attempt ids
 * @answer: answer to the caller, NULL until its head is sent
 * @streaming: attempt whose answer is relayed to the caller, NULL until the relay starts
 * @timer: fires when the call plan has something to do, such as at the deadline
 * @now_us: time of the outermost event; nested events use it too, because with a later time a
 * nested event could find the deadline passed and end the call while an attempt is being sent
 * @event_depth: number of nested events being handled; the call is freed at depth 0 only
 * @is_finished: the call plan has ended the call
 * @is_key_checked: the last reply was a refusal, for which the gate has looked up the idempotency
 * key; a reply to a query does not include this look-up
 * @memory: counts the bytes of answers that the caller has not taken yet
 * @is_key_gate_denied: the gate that the idempotency key is bound to is in a region that may not
 * run the call; nothing was sent to it
 */
struct sgr_data_call_t
{
  sgr_data_task_t *task;
  struct sgr_data_call_t *next;
  struct sgr_data_call_t *previous;
  sgr_data_service_t *service;
  h2o_req_t *req;
  sgr_data_call_request_t request;
  uint64_t start_us;
  sgr_call_plan_t plan;
  sgr_data_attempt_t attempts[SGR_CALL_ATTEMPTS_MAX];
  uint64_t sequence;
  sgr_data_answer_t *answer;
  sgr_data_attempt_t *streaming;
  sgr_timer_t timer;
  uint64_t now_us;
  unsigned event_depth;
  bool is_finished;
  bool is_key_checked;
  sgr_memory_holder_t memory;
  bool is_key_gate_denied;
};

/** sgr_data_call_event() - pass an event to the call plan and perform the resulting actions */
void sgr_data_call_event (sgr_data_call_t *call, const sgr_call_event_t *event);

/** sgr_data_call_answer_start() - start to relay the answer of an attempt to the caller */
void sgr_data_call_answer_start (sgr_data_call_t *call, sgr_data_attempt_t *attempt,
                                 int64_t body_length);

/**
 * sgr_data_attempt_balancer_finish() - report the end of an attempt to the balancer
 * @attempt: the attempt; nothing is done if its end was reported before
 * @outcome: outcome of the attempt
 * @is_error: the target failed
 * @message: load report that came with the answer, NULL if none
 */
void sgr_data_attempt_balancer_finish (sgr_data_attempt_t *attempt, sgr_outcome_t outcome,
                                       bool is_error, const Sgr__Pb__LoadReport *message);

/** sgr_data_call_log() - log a call that ends and its attempts; in data_call_log.c */
void sgr_data_call_log (const sgr_data_call_t *call, const sgr_call_action_t *finish);

/* Frames that an entry sends to gates; in data_send.c. */

sgr_result_t sgr_data_send_call (sgr_data_attempt_t *attempt, const sgr_retry_chain_t *chain);
void sgr_data_send_cancel (sgr_data_attempt_t *attempt);
void sgr_data_send_query (sgr_data_attempt_t *attempt);
void sgr_data_send_credit (sgr_data_attempt_t *attempt, size_t bytes);

#endif
