#ifndef SGR_GATE_INTERNAL_H
#define SGR_GATE_INTERNAL_H

/* Implementation of sgr_gate_t, shared only by gate.c, gate_admission.c, gate_metrics.c,
   gate_start.c, gate_status.c and gate_target.c. */

#include "gate.h"
#include "gate_classes.h"
#include "gate_cold.h"
#include "gate_latency.h"
#include "gate_ledger.h"
#include "gate_queue.h"

/**
 * enum sgr_gate_work_phase_t - state of a work item
 * @SGR_GATE_WORK_FREE: unused
 * @SGR_GATE_WORK_QUEUED: the attempt is in the queue
 * @SGR_GATE_WORK_RUNNING: the attempt holds a slot
 * @SGR_GATE_WORK_DROPPED: the attempt is settled as NOT_RUN; the callback refuse is about to be
 * called
 */
typedef enum
{
  SGR_GATE_WORK_FREE = 0,
  SGR_GATE_WORK_QUEUED,
  SGR_GATE_WORK_RUNNING,
  SGR_GATE_WORK_DROPPED,
} sgr_gate_work_phase_t;

/**
 * struct sgr_gate_work_t - work item: an admitted attempt until it is finished or refused
 * @queue_item: its element of the queue; also holds tenant and class while the attempt runs
 * @phase: state
 * @serial: part of the handle that distinguishes successive uses of this work item
 * @started: the first byte of the request may have reached the target
 * @cancelled: the attempt was cancelled before it started and must not be started
 * @drop_reason: reason to pass to the callback refuse
 * @record: record of the attempt in the ledger
 * @slot_taken_us: when the attempt got its slot
 * @class_stats_index: index of its class in sgr_gate_classes_t
 * @was_unslowed: the target was not slowed when the attempt got its slot
 * @was_nearly_full: nearly all slots were in use when the attempt got its slot
 * @is_start_reserved: the attempt is counted as a start at a cold target and was not sent yet
 * @request_bytes: bytes of the request's body
 * @user: pointer from sgr_attempt_t
 */
typedef struct
{
  sgr_gate_queue_item_t queue_item;
  sgr_gate_work_phase_t phase;
  uint32_t serial;
  bool started;
  bool cancelled;
  sgr_gate_reason_t drop_reason;
  sgr_ledger_attempt_t *record;
  uint64_t slot_taken_us;
  uint32_t class_stats_index;
  bool was_unslowed;
  bool was_nearly_full;
  bool is_start_reserved;
  uint64_t request_bytes;
  void *user;
} sgr_gate_work_t;

/**
 * struct sgr_gate_t - the gate of one target
 * @options: sizes and times
 * @callbacks: notifications about queued attempts
 * @ctx: passed to @callbacks
 * @queue_max: most attempts that the policy allows in the queue
 * @target_slots: slots that the target has registered
 * @slots_percent: share of @target_slots that the policy allows
 * @target_state: state that the target has registered
 * @draining: sgr_gate_drain_begin() was called
 * @dispatching: sgr_gate_dispatch() is running; a call of it from a callback returns at once, and
 * the running one starts further attempts afterwards
 * @last_serial: serial of the work item that was admitted last
 * @latency: recent latencies of the target
 * @cost_percent: last cost that the target reported, 0 if unknown: time that requests take now, 100
 * for the usual time
 * @cost_reported_us: when @cost_percent was reported
 * @cost_min_percent: lowest cost in the current period (element 0) and in the period before
 * (element 1), 0 for none
 * @cost_period_start_us: start of the current period
 * @cold: coldness of the target, and the starts of the last second
 * @cold_starts: attempts that got a slot while the target counted as cold
 * @classes: latencies by class of request
 * @limits: slots in use by tenant and class
 * @queue: queued attempts
 * @ledger: records of attempts and idempotency keys
 * @work_item_count: elements of @work_items and @free_work_indexes
 * @free_work_count: used elements of @free_work_indexes
 * @free_work_indexes: indexes of the unused work items
 * @work_items: work items; the handle of an attempt contains an index into this array
 * @is_fair: tenants get fair shares
 * @link_mbps: rate of the machine's link in Mbit/s, 0 if bytes are not counted
 * @held_us: expected work of the waiting and running attempts of each tenant, by its index
 * @running_us: sum of the expected durations of the running attempts
 * @running_work_us: sum of their expected work
 * @refused: refusals by reason
 */
struct sgr_gate_t
{
  sgr_gate_options_t options;
  sgr_gate_callbacks_t callbacks;
  void *ctx;
  uint32_t queue_max;
  uint32_t target_slots;
  uint32_t slots_percent;
  sgr_target_state_t target_state;
  bool draining;
  bool dispatching;
  uint32_t last_serial;
  sgr_gate_latency_t latency;
  uint32_t cost_percent;
  uint64_t cost_reported_us;
  uint32_t cost_min_percent[2];
  uint64_t cost_period_start_us;
  sgr_gate_cold_t *cold;
  uint64_t cold_starts;
  sgr_gate_classes_t *classes;
  sgr_gate_limits_t *limits;
  sgr_gate_queue_t *queue;
  sgr_ledger_t *ledger;
  uint32_t work_item_count;
  uint32_t free_work_count;
  uint32_t *free_work_indexes;
  sgr_gate_work_t *work_items;
  bool is_fair;
  double link_mbps;
  uint64_t held_us[SGR_LIMITS_CHILDREN_MAX];
  uint64_t running_us;
  uint64_t running_work_us;
  uint64_t refused[SGR_GATE_REASON_COUNT];
};

/* Most queued attempts that any policy may allow. Together with the slots it limits the number of
   work items. */
#define SGR_GATE_QUEUE_CAPACITY 1024

/* Longest delay that a refusal suggests before a retry. */
#define SGR_GATE_RETRY_AFTER_MAX_MS 1000

/** sgr_gate_queue_max_set() - apply the queue length of the policy */
void sgr_gate_queue_max_set (sgr_gate_t *gate, const sgr_policy_t *policy);

/**
 * sgr_gate_slots_apply() - set the number of usable slots. It depends on the registered slots, on
 * the policy, and on whether the target slows down when it is nearly full.
 */
void sgr_gate_slots_apply (sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_is_serving() - whether the target's state allows attempts to start */
bool sgr_gate_is_serving (const sgr_gate_t *gate);

/** sgr_gate_work_find() - work item of a handle, NULL if the handle is no longer valid */
sgr_gate_work_t *sgr_gate_work_find (const sgr_gate_t *gate, sgr_gate_handle_t handle);

/** sgr_gate_work_drop() - remove a queued attempt, settle it as NOT_RUN and call refuse */
void sgr_gate_work_drop (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                         sgr_gate_reason_t reason);

/** sgr_gate_status_fill() - fill the status of an attempt from its ledger record */
void sgr_gate_status_fill (const sgr_gate_t *gate, const sgr_ledger_attempt_t *attempt,
                           sgr_gate_status_t *status);

/** sgr_gate_dispatch() - start as many queued attempts as the slots, the limits and the state
 * of the target allow */
void sgr_gate_dispatch (sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_cost_expiry_us() - when the cost that the target reported last expires */
uint64_t sgr_gate_cost_expiry_us (const sgr_gate_t *gate);

/** sgr_gate_expected_latency_us() - expected latency of a request that starts now, 0 if unknown */
uint64_t sgr_gate_expected_latency_us (const sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_refusal_by_queue() - reason why an attempt cannot be queued, SGR_GATE_REASON_NONE if it
 * can; may refuse another queued attempt to make room
 */
sgr_gate_reason_t sgr_gate_refusal_by_queue (sgr_gate_t *gate, uint64_t now_us,
                                             sgr_gate_queue_item_t *item);

/** sgr_gate_retry_ms_of() - delay to suggest to a caller that has to wait for a time; not above
 * SGR_GATE_RETRY_AFTER_MAX_MS
 */
uint32_t sgr_gate_retry_ms_of (uint64_t wait_us);

/** sgr_gate_link_work_us() - work of bytes on the machine's link, in time of one slot */
uint64_t sgr_gate_link_work_us (const sgr_gate_t *gate, uint64_t bytes);

/** sgr_gate_fair_work_set() - set the expected duration and work of a new attempt, and count its
 * work for its tenant; does nothing without fair shares
 */
void sgr_gate_fair_work_set (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work);

/** sgr_gate_fair_wait_us() - wait that is expected for an attempt from what waits and runs now, in
 * microseconds; 0 without fair shares
 */
uint64_t sgr_gate_fair_wait_us (const sgr_gate_t *gate, const sgr_gate_queue_item_t *item);

/**
 * sgr_gate_fair_late_us() - how much too late an attempt would start, given what waits and runs
 *
 * Return: microseconds, 0 if it would start in time or without fair shares.
 */
uint64_t sgr_gate_fair_late_us (const sgr_gate_t *gate, uint64_t now_us,
                                const sgr_gate_queue_item_t *item);

/** sgr_gate_fair_reason() - reason of a refusal: SGR_GATE_REASON_SHARE instead of @reason if the
 * tenant of the attempt holds more than its fair share
 */
sgr_gate_reason_t sgr_gate_fair_reason (const sgr_gate_t *gate, const sgr_gate_queue_item_t *item,
                                        sgr_gate_reason_t reason);

/** sgr_gate_fair_tick() - refuse queued attempts that can no longer start in time because more
 * urgent ones have arrived
 */
void sgr_gate_fair_tick (sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_latest_start_us() - latest time at which an attempt may start: its answer is then
 * expected to be on time and before its deadline
 */
uint64_t sgr_gate_latest_start_us (const sgr_gate_t *gate, uint64_t now_us,
                                   const sgr_gate_queue_item_t *item);

/* Functions of gate_start.c: starts at a cold target. They do nothing while the policy has no limit
   for cold targets. */

/** sgr_gate_has_start() - whether the limit for a cold target allows one more start now */
bool sgr_gate_has_start (const sgr_gate_t *gate, uint64_t now_us);

/** sgr_gate_start_reserve() - count the start of an attempt that gets a slot */
void sgr_gate_start_reserve (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work);

/** sgr_gate_start_settle() - stop to reserve the start of an attempt that ends; one that may have
 * reached the target stays counted
 */
void sgr_gate_start_settle (sgr_gate_t *gate, uint64_t now_us, sgr_gate_work_t *work,
                            sgr_outcome_t outcome);

/** sgr_gate_is_start_too_late() - whether a new attempt must be refused, because the limit for a
 * cold target allows its start only after its deadline
 */
bool sgr_gate_is_start_too_late (sgr_gate_t *gate, uint64_t now_us,
                                 const sgr_gate_queue_item_t *item);

/** sgr_gate_cold_retry_us() - time until the window of starts has room for one more attempt behind
 * the queued ones, 0 if no limit applies
 */
uint64_t sgr_gate_cold_retry_us (const sgr_gate_t *gate, uint64_t now_us);

/**
 * sgr_gate_cold_tick() - refuse the queued attempts that the limit for a cold target allows only
 * after their deadlines
 *
 * Return: when queued attempts may start next because of the limit, SGR_TIMER_NEVER if none waits
 * for it.
 */
uint64_t sgr_gate_cold_tick (sgr_gate_t *gate, uint64_t now_us);

#endif
