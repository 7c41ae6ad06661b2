#ifndef SGR_GATE_H
#define SGR_GATE_H

#include "call_fields.h"
#include "counter.h"
#include "gate_cold.h"
#include "gate_limits.h"
#include "idempotency_key.h"
#include "policy.h"
#include "types.h"

/**
 * The gate is the only access point to one target. It starts, queues or refuses attempts,
 * recognises duplicates and keeps the outcome of each attempt. It does no I/O.
 *
 * A target is slowed if its requests take longer because of other work on its host. An attempt has
 * joined another one if it waits for the outcome of that earlier attempt with the same idempotency
 * key.
 */
typedef struct sgr_gate_t sgr_gate_t;

/** sgr_gate_handle_t - handle of an admitted attempt until it is finished or refused, 0 for none */
typedef uint64_t sgr_gate_handle_t;

/**
 * enum sgr_gate_reason_t - why an attempt was not admitted
 * @SGR_GATE_REASON_NONE: the attempt was not refused
 * @SGR_GATE_REASON_DRAINING: the target is draining or has left
 * @SGR_GATE_REASON_WRONG_BOOT: the attempt is addressed to another boot of this node; its outcome
 * is unknown, because the same attempt may have reached the gate of that boot
 * @SGR_GATE_REASON_NOT_READY: no target has registered, or the registered target has no slots
 * @SGR_GATE_REASON_QUEUE_FULL: the queue is full
 * @SGR_GATE_REASON_DEADLINE: the deadline has passed or is closer than the expected latency
 * @SGR_GATE_REASON_TENANT_LIMIT: the tenant already uses its share of the slots and of the queue
 * @SGR_GATE_REASON_CLASS_LIMIT: the class already uses its share of the slots and of the queue
 * @SGR_GATE_REASON_TOMBSTONE: a query or a cancel for the attempt arrived before it, or the
 * attempt was refused when it was received before
 * @SGR_GATE_REASON_LEDGER_FULL: the ledger has no room for the attempt, its key or its answer, or
 * too many attempts have already joined the same key. The ledger never discards a key before its
 * retention ends.
 * @SGR_GATE_REASON_FORGOTTEN: the ledger has no record of the attempt or its key, but may have
 * discarded one. The request may have run before, so the outcome is unknown.
 * @SGR_GATE_REASON_KEY_INVALID: the key names a generation that has not begun at this gate
 * @SGR_GATE_REASON_CANCELLED: the attempt was cancelled before it started, or after it had joined
 * another one
 * @SGR_GATE_REASON_ENTRY_LOST: the connection to the entry was lost while the attempt was queued
 * @SGR_GATE_REASON_SLOW: the target is slowed and the attempt must not wait for the slowdown to
 * end; another target may answer sooner
 * @SGR_GATE_REASON_LATE: the answer can no longer be on time
 * @SGR_GATE_REASON_QUOTA: the quota of the client account allows no further call now
 * @SGR_GATE_REASON_COLD: the target counts as cold, and the limit of its policy allows the start
 * only after the deadline
 * @SGR_GATE_REASON_SHARE: as SGR_GATE_REASON_LATE or SGR_GATE_REASON_QUEUE_FULL, and the tenant
 * holds more than its fair share
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
  SGR_GATE_REASON_COLD,
  SGR_GATE_REASON_QUOTA,
  SGR_GATE_REASON_SHARE,
} sgr_gate_reason_t;

#define SGR_GATE_REASON_COUNT (SGR_GATE_REASON_SHARE + 1)

/**
 * struct sgr_attempt_t - one attempt as the gate receives it
 * @id: id of the attempt
 * @gate_boot: boot id of the gate that the entry addresses
 * @deadline_us: monotonic time of this host at which the caller stops waiting, microseconds
 * @on_time_us: monotonic time of this host until which an answer counts as on time, microseconds;
 * 0 if the call has no such limit
 * @priority: priority under overload, 0 is served first
 * @tenant: name of the tenant, "" for none
 * @class_name: name of the class, "" for none
 * @idempotent: the request may run more than once
 * @may_wait: the attempt may be queued while the target is slowed
 * @is_over_quota: the quota of its client account allows no further call now
 * @quota_retry_ms: for one that is over its quota, time until there may be credit, 0 if other gates
 *   may have some now
 * @has_key: the request carries an idempotency key
 * @key: hash of the key
 * @key_generation: generation of the key, from the issued key or from its record in the store
 * @fingerprint: fingerprint of the request; two requests with the same key must have the same one
 * @request_bytes: bytes of the request's body; only counted with fair shares
 * @user: pointer that sgr_gate_handle_user() returns, not used by the gate
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
  bool is_over_quota;
  uint32_t quota_retry_ms;
  bool has_key;
  sgr_hash128_t key;
  uint64_t key_generation;
  sgr_hash128_t fingerprint;
  uint64_t request_bytes;
  void *user;
} sgr_attempt_t;

/**
 * enum sgr_gate_decision_kind_t - what to do with an attempt
 * @SGR_GATE_START: send it to the target now; it holds a slot
 * @SGR_GATE_QUEUED: wait for one of the callbacks start and refuse
 * @SGR_GATE_REFUSED: report the reason and the outcome to the entry
 * @SGR_GATE_DUPLICATE: the same attempt or the same key was received before; see the status
 * @SGR_GATE_CONFLICT: the key was used for a different request; this attempt was not run
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
 * enum sgr_gate_phase_t - progress of an attempt
 * @SGR_GATE_PHASE_QUEUED: it waits for a slot
 * @SGR_GATE_PHASE_RUNNING: it holds a slot
 * @SGR_GATE_PHASE_SETTLED: its outcome is final
 */
typedef enum
{
  SGR_GATE_PHASE_QUEUED = 0,
  SGR_GATE_PHASE_RUNNING,
  SGR_GATE_PHASE_SETTLED,
} sgr_gate_phase_t;

/**
 * struct sgr_gate_status_t - status of an attempt or of a key
 * @phase: progress
 * @handle: handle of the attempt while it is queued or running; for a joined attempt or a key, the
 * handle of the first attempt with the key
 * @outcome: final outcome, once settled
 * @reason: reason of the refusal, SGR_GATE_REASON_NONE if it was not refused
 * @started: the first byte of the request may have reached the target
 * @idempotent: the request may run more than once
 * @answer: recorded answer, NULL if there is none; valid until the next call of a gate function
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
 * struct sgr_gate_decision_t - result of sgr_gate_attempt_admit()
 * @kind: what to do with the attempt
 * @handle: for START and QUEUED, handle of the attempt
 * @reason: for REFUSED, reason of the refusal
 * @outcome: for REFUSED and CONFLICT, outcome to report to the entry: NOT_RUN or UNKNOWN
 * @retry_after_ms: for REFUSED, milliseconds after which a retry may be admitted, 0 if unknown
 * @status: for DUPLICATE, status of the attempt that was received before. If it is not settled,
 * reply to the duplicate when the attempt with the handle in @status ends.
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
 * struct sgr_gate_finish_t - how an attempt that held a slot ended
 * @outcome: outcome as seen on the connection to the target
 * @declared_not_run: the target declared that it did not run the request, by a status that the
 * policy lists or by a header field
 * @latency_us: microseconds from the first byte sent to the end of the answer, 0 if not measured
 * @answer_bytes: bytes of the answer's body that arrived from the target
 * @answer: answer to record for duplicates and queries, NULL for none
 * @answer_length: bytes of @answer
 */
typedef struct
{
  sgr_outcome_t outcome;
  bool declared_not_run;
  uint64_t latency_us;
  uint64_t answer_bytes;
  const void *answer;
  size_t answer_length;
} sgr_gate_finish_t;

/**
 * struct sgr_gate_callbacks_t - notifications about queued attempts
 * @start: the attempt has got a slot; send it to the target now
 * @refuse: the attempt is refused and was not run; its handle is invalid after this call
 *
 * Each queued attempt gets exactly one of the two calls. Both callbacks may call gate functions.
 */
typedef struct
{
  void (*start) (void *ctx, sgr_gate_handle_t handle, uint64_t now_us);
  void (*refuse) (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us);
} sgr_gate_callbacks_t;

/**
 * struct sgr_gate_options_t - sizes and times of a gate; sgr_gate_options_init() sets defaults
 * @boot: boot id of this process
 * @start_us: monotonic time of the start of this process; the target counts as cold until it states
 * otherwise after that
 * @slots_max: most slots that the gate uses; a target that registers more is limited to this number
 * @attempts_max: most attempts in the ledger; must be greater than the sum of @slots_max and the
 * capacity of the queue
 * @keys_max: most idempotency keys in the ledger
 * @entry_boots_max: most boots of entry nodes in the ledger
 * @answer_bytes_max: most bytes of recorded answers of attempts with a key. Answers of attempts
 * without a key may use another quarter of this number; each is discarded with its attempt.
 * @answer_length_max: length of the longest recorded answer, bytes
 * @attempt_retention_us: time for which a settled attempt is kept if there is room, microseconds
 * @key_retention_us: time for which a settled key is kept, microseconds
 * @key_generation_us: length of one key generation, microseconds
 * @newest_first: whether an overloaded queue serves the newest attempts first
 * @limits_model: how tenant and class limits relate to the slots
 */
typedef struct
{
  sgr_boot_id_t boot;
  uint64_t start_us;
  uint32_t slots_max;
  uint32_t attempts_max;
  uint32_t keys_max;
  uint32_t entry_boots_max;
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
 * sgr_gate_create() - create a gate whose target has not registered yet
 * @options: sizes and times
 * @policy: limits and queue length of the service
 * @callbacks: notifications about queued attempts
 * @ctx: passed to the callbacks
 *
 * Return: the gate, or NULL if a size is 0 or the options are inconsistent.
 */
sgr_gate_t *sgr_gate_create (const sgr_gate_options_t *options, const sgr_policy_t *policy,
                             const sgr_gate_callbacks_t *callbacks, void *ctx);
void sgr_gate_destroy (sgr_gate_t *gate);

/** sgr_gate_policy_update() - apply a changed policy; attempts that hold a slot keep it */
void sgr_gate_policy_update (sgr_gate_t *gate, uint64_t now_us, const sgr_policy_t *policy);

/**
 * sgr_gate_fair_set() - set whether the gate gives fair shares to tenants, see gate_fair.h
 * @gate: the gate
 * @is_fair: whether it does; a gate begins without fair shares
 * @link_mbps: rate of the machine's link in Mbit/s, 0 if bytes are not counted as work
 */
void sgr_gate_fair_set (sgr_gate_t *gate, bool is_fair, double link_mbps);

/**
 * sgr_gate_attempt_admit() - start, queue or refuse an attempt
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @attempt: the attempt; its strings need not outlive this call
 * @decision: receives the decision
 *
 * An attempt that is refused with the outcome NOT_RUN stays in the ledger, so that a later
 * duplicate of it is refused too.
 */
void sgr_gate_attempt_admit (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_t *attempt,
                             sgr_gate_decision_t *decision);

/**
 * sgr_gate_attempt_mark_started() - mark an attempt as started, just before its first byte is sent
 * @gate: the gate
 * @handle: handle of an attempt that holds a slot
 *
 * Return: true if the request may be sent; false if the attempt has been cancelled or the handle is
 * no longer valid. After false, send nothing and finish the attempt with SGR_OUTCOME_NOT_RUN.
 */
bool sgr_gate_attempt_mark_started (sgr_gate_t *gate, sgr_gate_handle_t handle);

/**
 * sgr_gate_attempt_sent() - record that the first byte of a request is being sent
 * @gate: the gate
 * @handle: handle of an attempt that is marked as started
 * @now_us: current monotonic time, microseconds
 *
 * The limit for cold targets holds in the times of these calls. An attempt without this call counts
 * as a start from the time at which it got its slot until one second after its end.
 */
void sgr_gate_attempt_sent (sgr_gate_t *gate, sgr_gate_handle_t handle, uint64_t now_us);

/**
 * sgr_gate_attempt_finish() - release the slot of an attempt and record the outcome
 * @gate: the gate
 * @handle: handle of an attempt that holds a slot
 * @now_us: current monotonic time, microseconds
 * @finish: how the attempt ended
 *
 * Return: the outcome to report to the entry. NOT_RUN becomes UNKNOWN if the attempt was started
 * and the target did not declare not-run. An attempt that was cancelled before it started gives
 * NOT_RUN. A handle that is no longer valid gives UNKNOWN and changes nothing.
 */
sgr_outcome_t sgr_gate_attempt_finish (sgr_gate_t *gate, sgr_gate_handle_t handle, uint64_t now_us,
                                       const sgr_gate_finish_t *finish);

/**
 * sgr_gate_attempt_cancel() - stop an attempt that has not started
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @id: id of the attempt
 * @gate_boot: boot id of the gate that the entry addresses
 * @status: receives the status after the cancel
 *
 * A queued attempt is refused through the callback. An attempt that holds a slot but has not
 * started is settled as NOT_RUN: sgr_gate_attempt_mark_started() then returns false, and
 * sgr_gate_attempt_finish() releases the slot. An attempt that others have joined is neither
 * refused nor settled: it continues. A started attempt also continues; the calling code may abort
 * its request to the target if the request is idempotent. An attempt that has itself joined another
 * one is settled as UNKNOWN, because the first attempt with the key may run. An attempt without a
 * record is handled as by sgr_gate_attempt_query().
 */
void sgr_gate_attempt_cancel (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_id_t *id,
                              sgr_boot_id_t gate_boot, sgr_gate_status_t *status);

/**
 * sgr_gate_attempt_query() - get the status of an attempt
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @id: id of the attempt
 * @gate_boot: boot id of the gate that the entry addresses
 * @status: receives the status
 *
 * For an attempt that was never received, the ledger records a tombstone, and the status is settled
 * with NOT_RUN. The status is settled with UNKNOWN in three cases: the attempt was addressed to
 * another boot, its record may have been discarded, or it has no record and the ledger has no room
 * for a tombstone.
 */
void sgr_gate_attempt_query (sgr_gate_t *gate, uint64_t now_us, const sgr_attempt_id_t *id,
                             sgr_boot_id_t gate_boot, sgr_gate_status_t *status);

/**
 * sgr_gate_key_query() - get the status of an idempotency key
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @key: hash of the key
 * @key_generation: generation of the key
 * @gate_boot: boot id of the gate that the key is bound to
 * @status: receives the status
 *
 * An unused key is reported as settled with NOT_RUN. No tombstone is recorded for it, so a later
 * attempt may still use the key. A key of another boot, or one whose record may have been
 * discarded, is reported as UNKNOWN.
 */
void sgr_gate_key_query (sgr_gate_t *gate, uint64_t now_us, sgr_hash128_t key,
                         uint64_t key_generation, sgr_boot_id_t gate_boot,
                         sgr_gate_status_t *status);

/**
 * sgr_gate_key_generation() - generation of keys that are issued now; other nodes receive it in
 * load reports
 */
uint64_t sgr_gate_key_generation (const sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_entry_lost() - refuse the queued attempts of an entry whose connection is lost
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @node: node id of the entry
 * @boot: boot id of the entry
 *
 * An attempt stays queued if other attempts with the same idempotency key wait for its answer.
 */
void sgr_gate_entry_lost (sgr_gate_t *gate, uint64_t now_us, sgr_node_id_t node,
                          sgr_boot_id_t boot);

/**
 * sgr_gate_target_update() - apply the state and slots of the target's registration
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @state: state of the target; attempts are admitted in WARMING and SERVING
 * @slots: requests that the target may run at a time; the gate uses at most slots_max
 */
void sgr_gate_target_update (sgr_gate_t *gate, uint64_t now_us, sgr_target_state_t state,
                             uint32_t slots);

/**
 * sgr_gate_latencies_discard() - discard the latencies of answered requests
 * @gate: the gate
 *
 * For a target that got no work for long. Load reports then tell no latency until the next answer;
 * an old one would keep entries from sending requests that could replace it.
 */
void sgr_gate_latencies_discard (sgr_gate_t *gate);

/** sgr_gate_drain_begin() - refuse new and queued attempts permanently; running ones finish */
void sgr_gate_drain_begin (sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_tick() - refuse queued attempts that can no longer finish in time, start those that may
 * start now, and discard expired records
 *
 * Return: monotonic time of the next call in microseconds, SGR_TIMER_NEVER if none is needed.
 */
uint64_t sgr_gate_tick (sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_target_load_set() - record the load that the target reports in its answers
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @load: the reported load
 */
void sgr_gate_target_load_set (sgr_gate_t *gate, uint64_t now_us, const sgr_target_load_t *load);

/** sgr_gate_target_cold_record() - record what the target states about being cold */
void sgr_gate_target_cold_record (sgr_gate_t *gate, uint64_t now_us,
                                  const sgr_gate_cold_statement_t *statement);

/**
 * sgr_gate_target_cold_forget() - count the target as cold until its next statement
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @source: what made the state unknown; with SGR_GATE_COLD_SOURCE_REGISTRATION, what the former
 * instance stated does not count any more
 */
void sgr_gate_target_cold_forget (sgr_gate_t *gate, uint64_t now_us, sgr_gate_cold_source_t source);

/**
 * sgr_gate_target_is_cold() - whether the limit for cold targets applies
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @source: receives why the target counts as cold or as warm; may be NULL
 */
bool sgr_gate_target_is_cold (const sgr_gate_t *gate, uint64_t now_us,
                              sgr_gate_cold_source_t *source);

/** sgr_gate_target_is_cold_unknown() - whether the limit for cold targets applies only for want of
 * a statement of the target
 */
bool sgr_gate_target_is_cold_unknown (const sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_is_slowed() - whether the target is slowed, so that a request is expected to end sooner
 * if it starts after the slowdown than if it starts now
 */
bool sgr_gate_is_slowed (const sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_retry_after_ms() - milliseconds after which a retry of a refused attempt may succeed */
uint32_t sgr_gate_retry_after_ms (const sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_load_report() - load of the gate at the monotonic time @now_us; the age of the report
 * is 0
 */
void sgr_gate_load_report (const sgr_gate_t *gate, uint64_t now_us, sgr_load_report_t *report);

/** sgr_gate_handle_user() - user pointer of the attempt, NULL if the handle is no longer valid */
void *sgr_gate_handle_user (const sgr_gate_t *gate, sgr_gate_handle_t handle);

/** sgr_gate_refused_count() - number of refusals for a reason since the gate was created */
uint64_t sgr_gate_refused_count (const sgr_gate_t *gate, sgr_gate_reason_t reason);

/**
 * sgr_gate_metrics_set() - write the load, queue order, refusals and ledger usage as metrics
 * @gate: the gate
 * @now_us: current monotonic time, microseconds
 * @metrics: metrics registry of the task that owns the gate; all names start with
 * "siskingrade_gate_"
 *
 * The metrics are snapshots, so this function is called before each output of the registry.
 */
void sgr_gate_metrics_set (const sgr_gate_t *gate, uint64_t now_us, sgr_metrics_t *metrics);

/** sgr_gate_reason_name() - name of a reason as reported to callers, such as "queue-full" */
const char *sgr_gate_reason_name (sgr_gate_reason_t reason);

#endif
