#ifndef SGR_DATA_CALL_INTERNAL_H
#define SGR_DATA_CALL_INTERNAL_H

#include "data_call.h"

/* Shared by data_call.c, data_send.c and data_attempt.c. */

/* Bytes of an answer that a gate may send ahead of the caller; bounds the memory of one call. */
#define SGR_ANSWER_WINDOW_BYTES (256U * 1024)

/**
 * struct sgr_data_call_t - one call of a caller
 * @req: request of h2o, NULL once h2o disposed of it
 * @streaming: attempt whose answer is passed on
 * @now_us: time of the outermost event, so that the deadline does not pass between two nested ones
 * @depth: nested events; the call is freed at depth 0 only
 * @is_key_checked: the gate of the key refused the last attempt after it looked the key up
 */
struct sgr_data_call_t
{
  sgr_data_task_t *task;
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
  unsigned depth;
  bool is_finished;
  bool is_key_checked;
};

/** sgr_data_call_event() - pass an event to the call plan and do what it says */
void sgr_data_call_event (sgr_data_call_t *call, const sgr_call_event_t *event);

/** sgr_data_call_answer_start() - send the head of an attempt's answer to the caller */
void sgr_data_call_answer_start (sgr_data_call_t *call, sgr_data_attempt_t *attempt,
                                 int64_t body_length);

/** sgr_data_attempt_balance() - report the end of an attempt to the balancer, once */
void sgr_data_attempt_balance (sgr_data_attempt_t *attempt, sgr_outcome_t outcome, bool is_error,
                               const Sgr__Pb__LoadReport *message);

/** sgr_data_call_log() - write the lines of a call that ends, data_call_log.c */
void sgr_data_call_log (const sgr_data_call_t *call, const sgr_call_action_t *finish);

/* Frames that an entry sends, data_send.c. */

sgr_result_t sgr_data_send_call (sgr_data_attempt_t *attempt, const sgr_retry_chain_t *chain);
void sgr_data_send_cancel (sgr_data_attempt_t *attempt);
void sgr_data_send_query (sgr_data_attempt_t *attempt);
void sgr_data_send_credit (sgr_data_attempt_t *attempt, size_t bytes);

#endif
