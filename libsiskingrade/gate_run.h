#ifndef SGR_GATE_RUN_H
#define SGR_GATE_RUN_H

#include "data_gate.h"
#include "probe_budget.h"
#include "request_ids.h"
#include "target_client.h"

/* Most bytes of one answer that may be sent but not yet consumed by the entry. The limit holds for
   any credit that the entry grants, and bounds the memory that one answer needs. */
#define SGR_GATE_CREDIT_MAX_BYTES (1024U * 1024)

/* Requests at the local target and the attempts that wait for their answers. Used only by
   data_gate.c, data_cold.c, data_load.c, gate_answer.c, gate_run.c and gate_waiter.c. */

/**
 * struct sgr_gate_waiter_t - an attempt that waits for the answer of a run
 * @id: id of the attempt
 * @channel: channel to its entry
 * @credit: bytes of the answer that may be sent without further credit from the entry
 * @sent: bytes of the answer that were sent
 * @is_bulk: the answer is large, so the rest of it is sent with bulk priority
 * @run: the run that it waits for
 * @next: next waiter of the run
 */
typedef struct sgr_gate_waiter_t
{
  sgr_attempt_id_t id;
  sgr_data_channel_t *channel;
  uint64_t credit;
  uint64_t sent;
  bool is_bulk;
  struct sgr_gate_run_t *run;
  struct sgr_gate_waiter_t *next;
} sgr_gate_waiter_t;

/**
 * struct sgr_gate_run_t - run: one request to the local target, from its admission by the gate
 * until its answer has been sent
 * @next: next run of the gate
 * @previous: previous run of the gate
 * @gate: the gate
 * @id: id of its first attempt
 * @credit: bytes of the answer that the entry allows before it grants further credit
 * @handle: handle of the attempt at the gate, 0 once the attempt has finished
 * @idempotent: the request may run again, so it may be aborted
 * @keyed: the request carries an idempotency key, so its answer is recorded
 * @is_head_method: the method of the request is HEAD
 * @request_ids: ids of the request from its header fields
 * @message: head of the HTTP request without its last lines, until the request is sent
 * @body: body of the HTTP request, until the request is sent
 * @request: the request at the target, NULL before it is sent and after it has ended
 * @arrived_us: when the attempt arrived
 * @started_us: when the first byte was sent to the target, 0 before
 * @status: HTTP status of the target's answer, 0 before
 * @deadline_us: deadline of the call
 * @deadline: timer that aborts the run; fires later than @deadline_us if the request carries a key
 * @streaming: waiter that gets the answer while it arrives; NULL if its channel is closed
 * @joined: waiters that get the recorded answer when the run ends, such as attempts with the same
 * key
 * @is_declared_not_run: the target declared that it did not run the request
 * @has_head: the head of the answer has arrived
 * @received: bytes of the body that have arrived
 * @backlog: received bytes of the body that wait for credit
 * @record: recorded head and body, in the form that sgr_gate_recorded_answer_send() reads
 * @is_recording: @record holds all of the answer that has arrived so far
 * @is_connected: a connection to the target was established
 */
typedef struct sgr_gate_run_t
{
  struct sgr_gate_run_t *next;
  struct sgr_gate_run_t *previous;
  sgr_data_gate_t *gate;
  sgr_attempt_id_t id;
  uint64_t credit;
  sgr_gate_handle_t handle;
  bool idempotent;
  bool keyed;
  bool is_head_method;
  sgr_request_ids_t request_ids;
  sgr_buffer_t message;
  sgr_buffer_t body;
  sgr_target_request_t *request;
  uint64_t arrived_us;
  uint64_t started_us;
  int status;
  uint64_t deadline_us;
  sgr_timer_t deadline;
  sgr_gate_waiter_t *streaming;
  sgr_gate_waiter_t *joined;
  bool is_declared_not_run;
  bool has_head;
  uint64_t received;
  sgr_buffer_t backlog;
  sgr_buffer_t record;
  bool is_recording;
  bool is_connected;
} sgr_gate_run_t;

/** sgr_gate_run_start() - send the request of a run to the target */
void sgr_gate_run_start (sgr_gate_run_t *run);

/**
 * sgr_gate_run_abort() - end a run before its answer is complete, and free it
 * @run: the run
 * @reason: reason to report to the waiters, such as the deadline or a cancel
 *
 * The outcome is UNKNOWN if the first byte of the request was sent to the target, else NOT_RUN.
 */
void sgr_gate_run_abort (sgr_gate_run_t *run, sgr_call_reason_t reason);

/** sgr_gate_run_credit_add() - the entry grants the streaming waiter credit for further bytes */
void sgr_gate_run_credit_add (sgr_gate_run_t *run, uint32_t bytes);

/**
 * sgr_gate_run_detach() - remove a waiter from a run and free the waiter
 *
 * Used when the channel of the waiter is closed or its attempt is cancelled. The run continues.
 */
void sgr_gate_run_detach (sgr_gate_run_t *run, sgr_gate_waiter_t *waiter);

/**
 * sgr_gate_run_free_if_done() - send the end of the answer and free the run, once the run is done.
 * A run is done when its request and its attempt have ended and no bytes of the answer wait for
 * credit.
 *
 * Return: true if the run was freed.
 */
bool sgr_gate_run_free_if_done (sgr_gate_run_t *run);

/**
 * struct sgr_data_gate_t - the gate of the local target, with its requests and load reports
 * @task: the data task that owns the gate
 * @core: decides which attempts may run
 * @policy: policy of the target's service
 * @client: HTTP client to the target, NULL before the first registration
 * @retired: replaced clients that still have open requests
 * @retired_count: elements of @retired
 * @target: address of the target
 * @connections: most connections to the target
 * @waiters: waiters by hash of the attempt id
 * @first_run: list of all runs
 * @runs: number of runs
 * @is_evacuated: whether the node's failure domain is evacuated
 * @connect_failures: consecutive failed connections to the target
 * @tick: timer for sgr_gate_tick()
 * @last_report: the last load report that was sent to all entries
 * @last_report_us: when @last_report was sent
 * @report_timer: timer that sends the next load report after the shortest interval between reports
 * @load_budget: budget of the requests that query the target's load
 * @load_query_timer: timer that queries the target's load when the known load is outdated
 * @load_query: the request that queries the load, NULL if none is open
 * @load_query_reservation: handle of the reservation of @load_query in @load_budget
 * @query_sent_us: when @load_query was sent
 * @load_received_us: when the target last reported its load
 * @last_attempt_us: when the last attempt arrived
 * @registered_us: when the instance registered that was applied last, see sgr_local_target_t
 * @cold_stated_us: time of the announced cold state that was applied last, see sgr_local_target_t
 * @is_cold_logged: the last log line said that the target is cold
 * @silent_since_us: when it was noticed that the target no longer says whether it is cold, 0 if it
 * does
 * @load_query_counter: counter of load queries
 * @reports: counter of load reports sent
 * @starts: counter of attempts that were sent to the target
 * @queued: counter of attempts that were queued
 * @duplicates: counter of duplicates
 * @misdirected: counter of attempts for a service that the target does not provide
 * @evacuations_ended: counter of evacuations of the node's failure domain that have ended
 */
struct sgr_data_gate_t
{
  sgr_data_task_t *task;
  sgr_gate_t *core;
  sgr_policy_t policy;
  sgr_target_client_t *client;
  sgr_target_client_t **retired;
  size_t retired_count;
  sgr_address_t target;
  uint32_t connections;
  sgr_id_map_t *waiters;
  sgr_gate_run_t *first_run;
  size_t runs;
  bool is_evacuated;
  unsigned connect_failures;
  sgr_timer_t tick;
  sgr_load_report_t last_report;
  uint64_t last_report_us;
  sgr_timer_t report_timer;
  sgr_probe_budget_t load_budget;
  sgr_timer_t load_query_timer;
  sgr_target_request_t *load_query;
  uint32_t load_query_reservation;
  uint64_t query_sent_us;
  uint64_t load_received_us;
  uint64_t last_attempt_us;
  uint64_t registered_us;
  uint64_t cold_stated_us;
  bool is_cold_logged;
  uint64_t silent_since_us;
  sgr_counter_t *load_query_counter;
  sgr_counter_t *reports;
  sgr_counter_t *starts;
  sgr_counter_t *queued;
  sgr_counter_t *duplicates;
  sgr_counter_t *misdirected;
  sgr_counter_t *evacuations_ended;
};

/* Functions of gate_waiter.c. */

/** sgr_gate_waiter_find() - waiter of an attempt, NULL if there is none */
sgr_gate_waiter_t *sgr_gate_waiter_find (const sgr_data_gate_t *gate, const sgr_attempt_id_t *id);
sgr_gate_waiter_t *sgr_gate_waiter_create (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                                           const sgr_attempt_id_t *id, uint64_t credit,
                                           sgr_gate_run_t *run);
void sgr_data_gate_waiter_free (sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter);

/** sgr_gate_waiter_join() - add a waiter that gets the recorded answer when the run ends */
void sgr_gate_waiter_join (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                           const sgr_attempt_id_t *id, sgr_gate_run_t *run);

/* Functions of data_gate.c. */

/** sgr_data_gate_is_not_run_status() - whether the policy declares an HTTP status as not-run */
bool sgr_data_gate_is_not_run_status (const sgr_data_gate_t *gate, int status);
void sgr_data_gate_run_free (sgr_data_gate_t *gate, sgr_gate_run_t *run);

/** sgr_data_gate_tick() - run the work of the gate that is due, and arm the timer for the next due
 * time
 */
void sgr_data_gate_tick (sgr_data_gate_t *gate, uint64_t now_us);

/* Functions of gate_answer.c: frames to the entry of an attempt. */

/**
 * struct sgr_gate_refusal_t - why an attempt gets no answer
 * @outcome: outcome of the attempt
 * @reason: reason that the entry reports to the caller
 * @gate_reason: reason of the gate, for SGR_CALL_REASON_REFUSED
 * @retry_after_ms: milliseconds after which a retry may succeed, 0 if unknown
 */
typedef struct
{
  sgr_outcome_t outcome;
  sgr_call_reason_t reason;
  sgr_gate_reason_t gate_reason;
  uint32_t retry_after_ms;
} sgr_gate_refusal_t;

void sgr_gate_refusal_send (const sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                            const sgr_attempt_id_t *id, const sgr_gate_refusal_t *refusal);
void sgr_gate_query_reply_send (sgr_data_channel_t *channel, const sgr_attempt_id_t *id,
                                const sgr_gate_status_t *status);

/**
 * sgr_gate_answer_head_encode() - append the encoded head of an answer to a buffer
 * @record: receives the length of the head (4 bytes) and the head
 * @status: HTTP status
 * @fields: header fields of the answer; hop-by-hop fields are omitted
 * @count: elements of @fields
 * @body_length: bytes of the body, -1 if not known yet
 * @is_head_method: the answer is for a HEAD request, so its Content-Length field is forwarded
 */
void sgr_gate_answer_head_encode (sgr_buffer_t *record, int status, const sgr_http_field_t *fields,
                                  size_t count, int64_t body_length, bool is_head_method);

/**
 * sgr_gate_answer_head_send() - send the encoded head at the start of a recorded answer
 *
 * Return: false if the head is too large for a frame; nothing is sent then.
 */
bool sgr_gate_answer_head_send (sgr_gate_waiter_t *waiter, const uint8_t *record, size_t length);
void sgr_gate_answer_chunk_send (sgr_gate_waiter_t *waiter, const uint8_t *bytes, size_t length);
void sgr_gate_answer_end_send (const sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter);

/**
 * sgr_gate_recorded_answer_send() - send a whole recorded answer: head, body and end
 *
 * Return: false if the head is too large for a frame; nothing is sent then.
 */
bool sgr_gate_recorded_answer_send (const sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter,
                                    const uint8_t *record, size_t length);

#endif
