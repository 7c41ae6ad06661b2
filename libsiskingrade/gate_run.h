#ifndef SGR_GATE_RUN_H
#define SGR_GATE_RUN_H

#include "data_gate.h"
#include "probe_budget.h"
#include "target_client.h"

/* Bytes that a gate sends ahead of an entry, however much the entry allows; bounds the memory of
   one answer. */
#define SGR_GATE_CREDIT_MAX_BYTES (1024U * 1024)

/* One admitted attempt at the gate, shared by data_gate.c and gate_run.c. */

/**
 * struct sgr_gate_waiter_t - an attempt that wants the answer of a run
 * @id: the attempt
 * @channel: where its frames go
 * @credit: bytes of the answer that the entry takes now
 * @sent: bytes of the answer that were sent
 * @is_bulk: a chunk took the bulk queue, so the rest does
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
 * struct sgr_gate_run_t - one request at the local target
 * @next: next run of the gate
 * @previous: previous run of the gate
 * @id: its attempt
 * @credit: bytes of the answer that the entry takes at the start
 * @handle: attempt at the gate, 0 once it has finished
 * @idempotent: the request may run again, so it may be aborted
 * @keyed: it carries a key, its answer is recorded
 * @request_id: id of the request, empty if it has none
 * @message: head of the HTTP request without its end, until it is sent
 * @body: body of the HTTP request, until it is sent
 * @request: the request at the target, NULL while it waits or after its end
 * @arrived_us: when the attempt arrived
 * @started_us: when its first byte was sent to the target, 0 before
 * @status: status of the target's answer, 0 before
 * @streaming: the first attempt, gets the answer as it arrives; NULL if its channel is gone
 * @joined: later attempts with the same key, get the recorded answer at the end
 * @backlog: bytes of the answer without credit yet
 * @record: recorded head and body, in the form of sgr_gate_answer_send()
 * @is_recording: the record is whole so far
 * @is_connected: a connection to the target was there
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
  char request_id[SGR_NAME_MAX + 1];
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

/** sgr_gate_run_start() - send the request to the target */
void sgr_gate_run_start (sgr_gate_run_t *run);

/** sgr_gate_run_abort() - end a running request because of its deadline or a cancel */
void sgr_gate_run_abort (sgr_gate_run_t *run, sgr_call_reason_t reason);

/** sgr_gate_run_credit() - the entry of the streaming waiter takes more bytes */
void sgr_gate_run_credit (sgr_gate_run_t *run, uint32_t bytes);

/** sgr_gate_run_detach() - a waiter's channel is gone or its attempt was cancelled */
void sgr_gate_run_detach (sgr_gate_run_t *run, sgr_gate_waiter_t *waiter);

/** sgr_gate_run_settle() - free a run that has neither a request nor unsent bytes */
bool sgr_gate_run_settle (sgr_gate_run_t *run);

/**
 * struct sgr_data_gate_t - the gate of the local target
 * @client: client of the target, NULL before the first registration
 * @retired: replaced clients that still have requests
 * @waiters: waiters by hash of the attempt id
 * @first_run: list of all runs
 * @runs: their number
 * @told: load in the last report to all entries
 * @told_us: when it was sent
 * @tell: sends the next report when the shortest interval is over
 * @load_budget: calls that ask the target for its load
 * @ask: asks when what is known has become old
 * @asking: the call that asks, NULL if there is none
 * @asking_tokens: its handle in the budget
 * @asked_us: when it was sent
 * @load_us: when the target last told its load
 * @call_us: when the last attempt arrived
 * @connect_failures: connections to the target that failed in a row
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
  unsigned connect_failures;
  sgr_timer_t tick;
  sgr_load_report_t told;
  uint64_t told_us;
  sgr_timer_t tell;
  sgr_probe_budget_t load_budget;
  sgr_timer_t ask;
  sgr_target_request_t *asking;
  uint32_t asking_tokens;
  uint64_t asked_us;
  uint64_t load_us;
  uint64_t call_us;
  sgr_counter_t *asks;
  sgr_counter_t *reports;
  sgr_counter_t *starts;
  sgr_counter_t *queued;
  sgr_counter_t *duplicates;
  sgr_counter_t *misdirected;
};

/* Waiters, gate_waiter.c. */

/** sgr_gate_waiter_find() - waiter of an attempt, NULL if there is none */
sgr_gate_waiter_t *sgr_gate_waiter_find (const sgr_data_gate_t *gate, const sgr_attempt_id_t *id);
sgr_gate_waiter_t *sgr_gate_waiter_create (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                                           const sgr_attempt_id_t *id, uint64_t credit,
                                           sgr_gate_run_t *run);
void sgr_data_gate_waiter_free (sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter);

/** sgr_gate_waiter_join() - add an attempt that gets the recorded answer when the run ends */
void sgr_gate_waiter_join (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                           const sgr_attempt_id_t *id, sgr_gate_run_t *run);

/* Provided by data_gate.c. */

bool sgr_data_gate_is_not_run_status (const sgr_data_gate_t *gate, int status);
void sgr_data_gate_run_free (sgr_data_gate_t *gate, sgr_gate_run_t *run);

/* Frames, gate_answer.c. */

/**
 * struct sgr_gate_refusal_t - why an attempt gets no answer
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
 * sgr_gate_head_encode() - append an answer head with its length in front
 * @record: receives 4 bytes of length and the message
 * @status: HTTP status
 * @fields: header fields; hop-by-hop ones are left out
 * @count: entries of @fields
 * @body_length: bytes of the body, -1 if not known yet
 * @is_head_method: answer to HEAD, whose length field is passed on
 */
void sgr_gate_head_encode (sgr_buffer_t *record, int status, const sgr_http_field_t *fields,
                           size_t count, int64_t body_length, bool is_head_method);

/** sgr_gate_head_send() - send an encoded head; false if it is too large for a frame */
bool sgr_gate_head_send (sgr_gate_waiter_t *waiter, const uint8_t *record, size_t length);
void sgr_gate_chunk_send (sgr_gate_waiter_t *waiter, const uint8_t *bytes, size_t length);
void sgr_gate_end_send (const sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter);

/** sgr_gate_record_send() - send a recorded answer whole: head, body, end */
bool sgr_gate_record_send (const sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter,
                           const uint8_t *record, size_t length);

#endif
