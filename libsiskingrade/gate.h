#ifndef SGR_GATE_H
#define SGR_GATE_H

#include "call_fields.h"
#include "counter.h"
#include "gate_limits.h"
#include "idempotency_key.h"
#include "policy.h"
#include "types.h"

/**
 * The gate is the single access point to one target. It decides which attempt may start, queues,
 * refuses, recognises duplicates and knows what became of each attempt. It does no I/O.
 */
typedef struct sgr_gate_t sgr_gate_t;

/** sgr_gate_handle_t - an admitted attempt until it is finished or refused; 0 names none */
typedef uint64_t sgr_gate_handle_t;

/**
 * enum sgr_gate_reason_t - why an attempt was not admitted
 * @SGR_GATE_REASON_NONE: it was
 * @SGR_GATE_REASON_DRAINING: the target leaves
 * @SGR_GATE_REASON_WRONG_BOOT: the attempt expects another process life of this gate; the outcome
 * is unknown, because a copy of the attempt may have reached that life
 * @SGR_GATE_REASON_NOT_READY: no target has registered, or it has no slots
 * @SGR_GATE_REASON_QUEUE_FULL: the queue has no room
 * @SGR_GATE_REASON_DEADLINE: the deadline has passed or cannot be met by the recent latency
 * @SGR_GATE_REASON_TENANT_LIMIT: the tenant has its share of slots and of the queue
 * @SGR_GATE_REASON_CLASS_LIMIT: the class has its share of slots and of the queue
 * @SGR_GATE_REASON_TOMBSTONE: a query or a cancel came first, or an earlier copy was refused
 * @SGR_GATE_REASON_LEDGER_FULL: keyed work would make the gate forget another key
 * @SGR_GATE_REASON_FORGOTTEN: the gate cannot tell whether the attempt or its key ran before; the
 * outcome is unknown
 * @SGR_GATE_REASON_KEY_INVALID: the key names a generation that this gate has not reached
 * @SGR_GATE_REASON_CANCELLED: cancelled while it waited
 * @SGR_GATE_REASON_ENTRY_LOST: the entry node went away while it waited
 * @SGR_GATE_REASON_SLOW: neighbours slow the target down now, and the attempt does not wait for
 * that to end; another target may be better
 * @SGR_GATE_REASON_LATE: its answer cannot be on time any more
 */
typedef enum
{
  SGR_GATE_REASON_NONE = 0,
  SGR_GATE_REASON_DRAINING,
  SGR_GATE_REASON_WRONG_BOOT,
  SGR_GATE_REASON_NOT_READY,
  SGR_GATE_REASON_QUEUE_FULL,
  SGR_GATE_REASON_DEADLINE,
  SGR_GATE_REASON_TENANT_LIMIT,
  SGR_GATE_REASON_CLASS_LIMIT,
  SGR_GATE_REASON_TOMBSTONE,
  SGR_GATE_REASON_LEDGER_FULL,
  SGR_GATE_REASON_FORGOTTEN,
  SGR_GATE_REASON_KEY_INVALID,
  SGR_GATE_REASON_CANCELLED,
  SGR_GATE_REASON_ENTRY_LOST,
  SGR_GATE_REASON_SLOW,
  SGR_GATE_REASON_LATE,
} sgr_gate_reason_t;

#define SGR_GATE_REASON_COUNT (SGR_GATE_REASON_LATE + 1)

/**
 * struct sgr_attempt_t - one attempt as it reaches the gate
 * @id: its name
 * @gate_boot: boot id of the gate that the entry means
 * @deadline_us: monotonic time of this host by which the answer is wanted
 * @on_time_us: monotonic time of this host by which an answer is on time, 0 for none
 * @priority: rank under overload, 0 is served first
 * @tenant: name of the tenant, "" for none
 * @class_name: name of the class, "" for none
 * @idempotent: the request may run more than once
 * @may_wait: it may wait while the target is slowed down
 * @has_key: the request carries an idempotency key
 * @key: hash of the key
 * @key_generation: generation of the key, from the issued key or from its record in the store
 * @fingerprint: fingerprint of the request, compared between requests of one key
 * @user: the caller's own pointer, returned by sgr_gate_handle_user()
 */
typedef struct
{
  sgr_attempt_id_t id;
  sgr_boot_id_t gate_boot;
  uint64_t deadline_us;
  uint64_t on_time_us;
  uint32_t priority;
  const char *tenant;
  const char *class_name;
  bool idempotent;
  bool may_wait;
  bool has_key;
  sgr_hash128_t key;
  uint64_t key_generation;
  sgr_hash128_t fingerprint;
  void *user;
} sgr_attempt_t;

/**
 * enum sgr_gate_decision_kind_t - what to do with an attempt
 * @SGR_GATE_START: send it to the target now; a slot is taken
 * @SGR_GATE_QUEUED: wait for the callback start or refuse
 * @SGR_GATE_REFUSED: tell the entry the reason and the outcome
 * @SGR_GATE_DUPLICATE: the same attempt or the same key came before; see the status
 * @SGR_GATE_CONFLICT: the key was used for another request; this attempt was not run
 */
typedef enum
{
  SGR_GATE_START = 0,
  SGR_GATE_QUEUED,
  SGR_GATE_REFUSED,
  SGR_GATE_DUPLICATE,
  SGR_GATE_CONFLICT,
} sgr_gate_decision_kind_t;

/**
 * enum sgr_gate_phase_t - where an attempt is
 * @SGR_GATE_PHASE_QUEUED: it waits
 * @SGR_GATE_PHASE_RUNNING: it has a slot
 * @SGR_GATE_PHASE_SETTLED: its outcome is final
 */
typedef enum
{
  SGR_GATE_PHASE_QUEUED = 0,
  SGR_GATE_PHASE_RUNNING,
  SGR_GATE_PHASE_SETTLED,
} sgr_gate_phase_t;

/**
 * struct sgr_gate_status_t - what the gate knows of an attempt or of a key
 * @phase: where it is
 * @handle: the attempt that does the work, while queued or running; for a joined attempt that of
 * the first attempt with the key
 * @outcome: final outcome, once settled
 * @reason: why it was refused, if it was
 * @started: its first byte may have reached the target
 * @idempotent: as the attempt said
 * @answer: recorded answer, or NULL; valid until the next call of the gate
 * @answer_length: bytes of @answer
 */
typedef struct
{
  sgr_gate_phase_t phase;
  sgr_gate_handle_t handle;
  sgr_outcome_t outcome;
  sgr_gate_reason_t reason;
  bool started;
  bool idempotent;
  const uint8_t *answer;
  size_t answer_length;
} sgr_gate_status_t;

/**
 * struct sgr_gate_decision_t - answer to an admission
 * @kind: what to do
 * @handle: the attempt, for START and QUEUED
 * @reason: for REFUSED
 * @outcome: for REFUSED and CONFLICT, what the entry is told: NOT_RUN or UNKNOWN
 * @retry_after_ms: for REFUSED, when a repeat has a chance, 0 if unknown
 * @status: for DUPLICATE; a queued or running one is to be answered when status.handle ends
 */
typedef struct
{
  sgr_gate_decision_kind_t kind;
  sgr_gate_handle_t handle;
  sgr_gate_reason_t reason;
  sgr_outcome_t outcome;
  uint32_t retry_after_ms;
  sgr_gate_status_t status;
} sgr_gate_decision_t;

/**
 * struct sgr_gate_finish_t - end of an attempt that had a slot
 * @outcome: as the connection to the target saw it
 * @declared_not_run: the target answered with a status that the policy declares as not-run
 * @latency_us: time from the first byte sent to the end of the answer, 0 if not measured
 * @answer: answer to record for repeats, NULL for none
 * @answer_length: bytes of @answer
 */
typedef struct
{
  sgr_outcome_t outcome;
  bool declared_not_run;
  uint64_t latency_us;
  const void *answer;
  size_t answer_length;
} sgr_gate_finish_t;

/**
 * struct sgr_gate_callbacks_t - news of queued attempts; each gets exactly one of the two calls.
 * Both may call the gate again.
 * @start: the attempt got a slot, send it now
 * @refuse: the attempt is dropped and was not run; the handle ends with this call
 */
typedef struct
{
  void (*start) (void *ctx, sgr_gate_handle_t handle, uint64_t now_us);
  void (*refuse) (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us);
} sgr_gate_callbacks_t;

/**
 * struct sgr_gate_options_t - sizes and times of a gate; sgr_gate_options_init() sets defaults
 * @boot: boot id of this process
 * @slots_max: largest number of slots that a target may report
 * @attempts_max: attempts that the ledger remembers, more than slots and queue together
 * @keys_max: keys that the ledger remembers
 * @peers_max: process lives of entry nodes that the ledger remembers
 * @answer_bytes_max: bytes of all recorded answers of keys; attempts without key may use a quarter
 * more, dropped with the attempt
 * @answer_length_max: longest answer that is recorded
 * @attempt_retention_us: how long an attempt is remembered after its end if there is room
 * @key_retention_us: how long a key is remembered after its end
 * @key_generation_us: length of one key generation
 * @newest_first: whether an overloaded queue serves the newest attempts first
 * @limits_model: how tenant and class limits relate to the slots
 */
typedef struct
{
  sgr_boot_id_t boot;
  uint32_t slots_max;
  uint32_t attempts_max;
  uint32_t keys_max;
  uint32_t peers_max;
  size_t answer_bytes_max;
  size_t answer_length_max;
  uint64_t attempt_retention_us;
  uint64_t key_retention_us;
  uint64_t key_generation_us;
  bool newest_first;
  sgr_limits_model_t limits_model;
} sgr_gate_options_t;

void sgr_gate_options_init (sgr_gate_options_t *options, sgr_boot_id_t boot);

/**
 * sgr_gate_create() - a gate whose target has not registered yet
 * @options: sizes and times
 * @policy: limits and queue of the service
 * @callbacks: news of queued attempts
 * @ctx: passed to the callbacks
 *
 * Return: the gate, or NULL if the options contradict each other.
 */
sgr_gate_t *sgr_gate_create (const sgr_gate_options_t *options, const sgr_policy_t *policy,
                             const sgr_gate_callbacks_t *callbacks, void *ctx);
void sgr_gate_destroy (sgr_gate_t *gate);

/** sgr_gate_policy_update() - apply changed limits; work that has a slot keeps it */
void sgr_gate_policy_update (sgr_gate_t *gate, uint64_t now_us, const sgr_policy_t *policy);

/**
 * sgr_gate_attempt_admit() - decide on an attempt
 * @gate: the gate
 * @now_us: the time
 * @attempt: the attempt; its texts are copied
 * @decision: receives the decision
 *
 * A refused attempt is remembered, so that a later copy of it is refused too.
 */
void sgr_gate_attempt_admit (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
                             sgr_gate_decision_t *decision);

/**
 * sgr_gate_attempt_started() - call just before the first byte goes to the target
 * @gate: the gate
 * @handle: an attempt with a slot
 *
 * Return: false if the attempt was cancelled meanwhile or the handle has ended: send nothing, and
 * finish it with SGR_OUTCOME_NOT_RUN.
 */
bool sgr_gate_attempt_started (sgr_gate_t *gate, sgr_gate_handle_t handle);

/**
 * sgr_gate_attempt_finish() - give the slot back and record the outcome
 * @gate: the gate
 * @handle: an attempt with a slot
 * @now_us: the time
 * @finish: the end of it
 *
 * Return: the outcome to report. NOT_RUN becomes UNKNOWN if the attempt was started and the target
 * did not declare not-run. A handle that has ended gives UNKNOWN and changes nothing.
 */
sgr_outcome_t sgr_gate_attempt_finish (sgr_gate_t *gate, sgr_gate_handle_t handle, uint64_t now_us,
                                       const sgr_gate_finish_t *finish);

/**
 * sgr_gate_attempt_cancel() - stop an attempt if it has not started
 * @gate: the gate
 * @now_us: the time
 * @id: the attempt
 * @gate_boot: boot id of the gate that the entry meant
 * @status: receives what is known after the cancel
 *
 * A queued attempt is dropped with the callback refuse, unless other attempts with its key joined
 * it. One with a slot that was not started is settled as NOT_RUN: sgr_gate_attempt_started()
 * returns false from then on, and its slot is given back by sgr_gate_attempt_finish(). A started
 * one runs on; the caller may abort the request to the target if it is idempotent. An attempt never
 * seen leaves a tombstone and is settled as NOT_RUN.
 */
void sgr_gate_attempt_cancel (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_id_t *id,
                              sgr_boot_id_t gate_boot, sgr_gate_status_t *status);

/**
 * sgr_gate_attempt_query() - tell what became of an attempt
 * @gate: the gate
 * @now_us: the time
 * @id: the attempt
 * @gate_boot: boot id of the gate that the entry meant
 * @status: receives what is known
 *
 * An attempt never seen leaves a tombstone and is settled as NOT_RUN. One of another boot, or one
 * that may have been forgotten, is settled as UNKNOWN.
 */
void sgr_gate_attempt_query (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_id_t *id,
                             sgr_boot_id_t gate_boot, sgr_gate_status_t *status);

/**
 * sgr_gate_key_query() - tell what became of a key
 * @gate: the gate
 * @now_us: the time
 * @key: hash of the key
 * @key_generation: its generation
 * @gate_boot: boot id of the gate that the key is bound to
 * @status: receives what is known
 *
 * An unused key is settled as NOT_RUN, but may still be used by a later attempt: no tombstone.
 */
void sgr_gate_key_query (sgr_gate_t *gate, uint64_t now_us, sgr_hash128_t key,
                         uint64_t key_generation, sgr_boot_id_t gate_boot,
                         sgr_gate_status_t *status);

/**
 * sgr_gate_key_generation() - generation for keys issued now; sent to other nodes with Hello, Pong
 * and answers
 */
uint64_t sgr_gate_key_generation (const sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_entry_lost() - drop the queued attempts of an entry whose connection broke
 * @gate: the gate
 * @now_us: the time
 * @node: the entry node
 * @boot: its process life
 */
void sgr_gate_entry_lost (sgr_gate_t *gate, uint64_t now_us, sgr_node_id_t node,
                          sgr_boot_id_t boot);

/**
 * sgr_gate_target_update() - take over what the target's registration says
 * @gate: the gate
 * @now_us: the time
 * @state: work is admitted in WARMING and SERVING
 * @slots: requests that the target may run at a time, cut to slots_max
 */
void sgr_gate_target_update (sgr_gate_t *gate, uint64_t now_us, sgr_target_state_t state,
                             uint32_t slots);

/** sgr_gate_drain_begin() - refuse new and queued work for good; running work finishes */
void sgr_gate_drain_begin (sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_tick() - drop what waits too long and forget what has been kept long enough
 *
 * Return: when to call again, monotonic microseconds; SGR_TIMER_NEVER if nothing waits.
 */
uint64_t sgr_gate_tick (sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_target_load_set() - take the load that the target tells of itself
 * @gate: the gate
 * @now_us: the time
 * @load: the load
 */
void sgr_gate_target_load_set (sgr_gate_t *gate, uint64_t now_us, const sgr_target_load_t *load);

/**
 * sgr_gate_is_slowed() - whether neighbours slow the target down so much that work which starts now
 * ends later than work that waits
 */
bool sgr_gate_is_slowed (const sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_retry_after_ms() - when work that is refused now has a chance, milliseconds */
uint32_t sgr_gate_retry_after_ms (const sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_load_report() - exact load now, age 0 */
void sgr_gate_load_report (const sgr_gate_t *gate, sgr_load_report_t *report);

/** sgr_gate_handle_user() - pointer from sgr_attempt_t, NULL if the handle has ended */
void *sgr_gate_handle_user (const sgr_gate_t *gate, sgr_gate_handle_t handle);

/** sgr_gate_refused_count() - refusals for a reason since the start */
uint64_t sgr_gate_refused_count (const sgr_gate_t *gate, sgr_gate_reason_t reason);

/**
 * sgr_gate_metrics_set() - write the state of the gate into a registry
 * @gate: the gate
 * @metrics: registry of the task that owns the gate; all names start with "siskingrade_gate_"
 *
 * Call it before the registry is printed: load, queue order, refusals by reason, and how full the
 * ledger is.
 */
void sgr_gate_metrics_set (const sgr_gate_t *gate, sgr_metrics_t *metrics);

/** sgr_gate_reason_name() - name of a reason as callers see it, such as "queue-full" */
const char *sgr_gate_reason_name (sgr_gate_reason_t reason);

#endif
