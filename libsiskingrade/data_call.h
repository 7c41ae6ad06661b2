#ifndef SGR_DATA_CALL_H
#define SGR_DATA_CALL_H

#include "data_internal.h"
#include "data_service.h"
#include "quota_borrower.h"

/** One call at its entry node: performs the actions of the call plan and relays the answer. */
typedef struct sgr_data_call_t sgr_data_call_t;

/**
 * struct sgr_data_attempt_t - one attempt of a call
 * @call: the call
 * @id: id of the attempt, unique among all nodes and boots
 * @link: link to the gate while the attempt waits for frames, otherwise NULL
 * @link_next: next attempt in the list of the link
 * @link_previous: previous attempt in the list of the link
 * @target: balancer handle of the chosen target
 * @gate_boot: boot id of the gate that the attempt is addressed to
 * @start_us: time of sending, monotonic, microseconds; 0 if the attempt was not sent
 * @node: node of the gate
 * @load: load report of the target at the time of the choice, for the log
 * @end_us: time at which the first outcome became known, 0 until then
 * @outcome: first known outcome, for the log; valid if @end_us is not 0
 * @reason: why the attempt got no answer
 * @gate_reason: why the gate refused the attempt
 * @may_wait: while the target is slowed, the gate may queue the attempt instead of refusing it
 * @is_outstanding: the balancer counts the attempt as started and not finished
 * @is_loss_pending: the connection was lost, and the loss has not been handled for this attempt yet
 * @has_head: the head of the answer was received
 * @body_sent: bytes of the request body that were sent to the gate
 * @body_next: next attempt in the list of waiting bodies of the link
 * @is_rejected: the head of the answer was invalid; further frames are ignored
 * @status: not used
 * @body_length: length of the body according to the head, -1 if unknown
 * @received: body bytes received from the gate
 * @delivered: body bytes written to the caller's connection
 * @was_connection_lost: a connection on which the attempt may have been sent was lost
 * @body: body bytes that are buffered and not yet passed to the caller
 * @head: head of the answer, NULL unless @has_head
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
  bool is_outstanding;
  bool is_loss_pending;
  bool has_head;
  size_t body_sent;
  struct sgr_data_attempt_t *body_next;
  bool is_rejected;
  int status;
  int64_t body_length;
  uint64_t received;
  uint64_t delivered;
  bool was_connection_lost;
  sgr_buffer_t body;
  Sgr__Pb__AnswerHead *head;
} sgr_data_attempt_t;

/**
 * struct sgr_data_call_request_t - attributes of a call, as parsed from the HTTP request
 * @tenant_name: name of the account by which targets know it, NULL if it is @tenant
 * @class_name: class for limits and histograms; the name of the route if the call was routed
 * @request_id: id that the caller gave the request, empty if none
 * @deadline_us: time by which the caller wants the answer, monotonic, microseconds
 * @on_time_us: time until which an answer counts as on time, monotonic, microseconds; 0 if the call
 *   has no such limit
 * @regions: where the call may be run and its content be sent, as of its arrival
 * @attempts_max: maximum number of attempts that reach a target
 * @refusals_max: additional attempts that are allowed because gates refused earlier ones
 * @priority: rank under overload, 0 is served first; with accounts, the rank of the account comes
 *   before that of the route
 * @has_accounts: the configuration had client accounts when the request arrived
 * @account: index of the client account of the call in the configuration that was in force when the
 *   request arrived; SGR_ACCOUNT_NONE for a call of a public route, and without accounts
 * @chain: depth and remaining retries of the call chain that the call belongs to
 * @has_key: the call carries an idempotency key
 * @is_key_issued: a node issued the key, as opposed to a caller's own key
 * @issued_key: the issued key; for a caller's own key, the gate that the key is bound to
 * @key: hash of the key
 * @fingerprint: hash of the request; a key must not be used for two different requests
 */
typedef struct
{
  char service[SGR_NAME_MAX + 1];
  char tenant[SGR_NAME_MAX + 1];
  const char *tenant_name;
  char class_name[SGR_NAME_MAX + 1];
  char request_id[SGR_NAME_MAX + 1];
  bool is_idempotent;
  uint64_t deadline_us;
  uint64_t on_time_us;
  sgr_region_limit_t regions;
  uint32_t attempts_max;
  uint32_t refusals_max;
  uint32_t priority;
  bool has_accounts;
  uint32_t account;
  sgr_retry_chain_t chain;
  bool has_key;
  bool is_key_issued;
  sgr_issued_key_t issued_key;
  sgr_hash128_t key;
  sgr_hash128_t fingerprint;
} sgr_data_call_request_t;

/**
 * sgr_data_call_start() - start a call
 * @task: the data task
 * @req: h2o request; receives the answer or an error
 * @service: service of the call
 * @request: attributes of the call; copied
 */
void sgr_data_call_start (sgr_data_task_t *task, h2o_req_t *req, sgr_data_service_t *service,
                          const sgr_data_call_request_t *request);

/**
 * sgr_data_calls_deadline_limit() - move the deadlines of all open calls to a time at the latest
 * @task: the data task
 * @deadline_us: the time, monotonic, microseconds
 *
 * Callers of a node that stops thus get a final answer before its process ends.
 */
void sgr_data_calls_deadline_limit (sgr_data_task_t *task, uint64_t deadline_us);

/**
 * sgr_data_attempt_frame_handle() - handle a frame that the gate sent for an attempt
 * @attempt: the attempt
 * @frame: the frame
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if the frame violates the protocol; the connection must then
 * be closed.
 */
sgr_result_t sgr_data_attempt_frame_handle (sgr_data_attempt_t *attempt,
                                            const Sgr__Pb__PeerFrame *frame);

/**
 * sgr_data_attempt_connect_failed() - handle a failure to connect to the gate
 *
 * The attempt is reported as not-run, unless an earlier connection may have carried it.
 */
void sgr_data_attempt_connect_failed (sgr_data_attempt_t *attempt);

/**
 * sgr_data_send_body_continue() - send the next part of the request body
 *
 * Return: whether a part was sent; false if none is left or the attempt does not wait for an
 * answer.
 */
bool sgr_data_send_body_continue (sgr_data_attempt_t *attempt);

/** sgr_data_attempt_connection_lost() - handle the loss of the connection to the gate */
void sgr_data_attempt_connection_lost (sgr_data_attempt_t *attempt);

/**
 * struct sgr_data_error_t - an error answer to a caller
 * @status: HTTP status
 * @outcome: outcome of the call
 * @reason: machine-readable reason
 * @is_repeat_safe: the caller may send the call again without the risk that it runs twice
 * @retry_after_ms: time after which sending the call again may succeed, 0 if unknown
 * @has_retry_fractions: write Retry-After with fractions of a second
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

/** sgr_data_error_send() - send an error answer */
void sgr_data_error_send (h2o_req_t *req, const sgr_data_error_t *error);

/**
 * An answer to a caller, implemented in data_answer.c. The body is sent in parts, each one after
 * the caller's connection has accepted the part before. The memory comes from the pool of the
 * h2o request.
 */
typedef struct sgr_data_answer_t sgr_data_answer_t;

/**
 * sgr_data_answer_start() - start an answer and send its head
 * @req: h2o request
 * @head: status and header fields
 * @body_length: length of the body in bytes, -1 if it is unknown or the answer has no body
 * @delivered: called with the number of body bytes that were written to the caller's connection
 * @ctx: passed to @delivered
 *
 * Return: the answer, freed together with @req.
 */
sgr_data_answer_t *sgr_data_answer_start (h2o_req_t *req, const Sgr__Pb__AnswerHead *head,
                                          int64_t body_length,
                                          void (*delivered) (void *ctx, size_t bytes), void *ctx);

/** sgr_data_answer_body_append() - send more bytes of the body; copies them */
void sgr_data_answer_body_append (sgr_data_answer_t *answer, const void *bytes, size_t length);

/** sgr_data_answer_end() - end the answer after all bytes of its body were appended */
void sgr_data_answer_end (sgr_data_answer_t *answer);

/** sgr_data_answer_abort() - end the answer early, so that the caller sees that it is truncated */
void sgr_data_answer_abort (sgr_data_answer_t *answer);

#endif
