#ifndef SGR_DATA_CALL_H
#define SGR_DATA_CALL_H

#include "data_internal.h"
#include "data_service.h"

/** One call of a caller at its entry node: drives the call plan and passes the answer on. */
typedef struct sgr_data_call_t sgr_data_call_t;

/**
 * struct sgr_data_attempt_t - one attempt of a call
 * @call: its call
 * @id: its name
 * @link: link to the gate, NULL while none
 * @target: handle for the balancer
 * @gate_boot: process life of the gate that it was sent to
 * @start_us: when it was sent, 0 if it was not
 * @node: node of the gate
 * @load: load report that the choice was made with
 * @end_us: when its end was known, 0 before
 * @outcome: what is known of it then
 * @reason: why it gave no answer
 * @gate_reason: why its gate refused it
 * @may_wait: its gate may hold it while the target is slowed down
 * @is_loss_due: the connection was lost and the attempt has not been told
 * @has_head: the head of the answer arrived
 * @status: HTTP status of the answer
 * @body_length: announced length of the body, -1 if unknown
 * @received: bytes of the body that arrived
 * @taken: bytes of the body that the caller's connection took
 * @was_lost: a connection that may have carried the attempt was lost
 * @body: bytes of the body that were not passed on
 * @head: header fields of the answer
 */
typedef struct sgr_data_attempt_t
{
  sgr_data_call_t *call;
  sgr_attempt_id_t id;
  sgr_data_link_t *link;
  struct sgr_data_attempt_t *link_next;
  struct sgr_data_attempt_t *link_previous;
  sgr_balancer_target_t target;
  sgr_boot_id_t gate_boot;
  uint64_t start_us;
  sgr_node_id_t node;
  sgr_load_report_t load;
  uint64_t end_us;
  sgr_outcome_t outcome;
  sgr_call_reason_t reason;
  sgr_gate_reason_t gate_reason;
  bool may_wait;
  bool is_balanced;
  bool is_loss_due;
  bool has_head;
  int status;
  int64_t body_length;
  uint64_t received;
  uint64_t taken;
  bool was_lost;
  sgr_buffer_t body;
  Sgr__Pb__AnswerHead *head;
} sgr_data_attempt_t;

/**
 * struct sgr_data_call_request_t - what the HTTP side read of a call; texts live as long as the
 * request of h2o
 * @class_name: class for limits and histograms; of a routed call the name of its route
 * @request_id: id that the caller gave, empty if none
 * @on_time_us: time by which an answer is on time, 0 if the call has no such time
 * @attempts_max: targets that the call may be sent to
 * @refusals_max: attempts beside these that gates may refuse
 * @priority: rank under overload, 0 is served first
 */
typedef struct
{
  char service[SGR_NAME_MAX + 1];
  char tenant[SGR_NAME_MAX + 1];
  char class_name[SGR_NAME_MAX + 1];
  char request_id[SGR_NAME_MAX + 1];
  bool is_idempotent;
  uint64_t deadline_us;
  uint64_t on_time_us;
  uint32_t attempts_max;
  uint32_t refusals_max;
  uint32_t priority;
  sgr_retry_chain_t chain;
  bool has_key;
  bool is_key_issued;
  sgr_issued_key_t issued_key;
  sgr_hash128_t key;
  sgr_hash128_t fingerprint;
} sgr_data_call_request_t;

/**
 * sgr_data_call_start() - begin a call; the answer or an error goes to the request
 * @task: the task
 * @req: request of h2o
 * @service: service of the call
 * @request: what was read of it
 */
void sgr_data_call_start (sgr_data_task_t *task, h2o_req_t *req, sgr_data_service_t *service,
                          const sgr_data_call_request_t *request);

/** sgr_data_attempt_frame() - a frame of the gate for this attempt */
sgr_result_t sgr_data_attempt_frame (sgr_data_attempt_t *attempt, const Sgr__Pb__PeerFrame *frame);

/** sgr_data_attempt_unsent() - the link had no connection, so that nothing left this node */
void sgr_data_attempt_unsent (sgr_data_attempt_t *attempt);

/** sgr_data_attempt_lost() - the connection of the link is gone */
void sgr_data_attempt_lost (sgr_data_attempt_t *attempt);

/**
 * struct sgr_data_error_t - an error answer
 * @status: HTTP status
 * @outcome: what is known of the call
 * @reason: machine-readable reason
 * @is_repeat_safe: the caller may send the call again
 * @retry_after_ms: when a repeat has a chance, 0 if unknown
 * @has_retry_fractions: the caller reads fractions of a second
 */
typedef struct
{
  int status;
  sgr_outcome_t outcome;
  const char *reason;
  bool is_repeat_safe;
  uint32_t retry_after_ms;
  bool has_retry_fractions;
} sgr_data_error_t;

/** sgr_data_error_send() - answer a request with an error */
void sgr_data_error_send (h2o_req_t *req, const sgr_data_error_t *error);

/**
 * Answer to the caller, data_answer.c: a body that is sent piece by piece as the caller takes it.
 */
typedef struct sgr_data_answer_t sgr_data_answer_t;

/**
 * sgr_data_answer_start() - send the head
 * @req: request of h2o
 * @head: status and header fields
 * @body_length: bytes of the body, -1 if not known yet or if the answer has none
 * @taken: called with the number of bytes that the caller's connection took
 * @ctx: passed to the callbacks
 */
sgr_data_answer_t *sgr_data_answer_start (h2o_req_t *req, const Sgr__Pb__AnswerHead *head,
                                          int64_t body_length,
                                          void (*taken) (void *ctx, size_t bytes), void *ctx);
void sgr_data_answer_body (sgr_data_answer_t *answer, const void *bytes, size_t length);

/** sgr_data_answer_end() - the body is whole */
void sgr_data_answer_end (sgr_data_answer_t *answer);

/** sgr_data_answer_abort() - break the answer off, so that the caller sees that it is cut */
void sgr_data_answer_abort (sgr_data_answer_t *answer);

#endif
