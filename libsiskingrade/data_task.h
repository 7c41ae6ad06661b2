#ifndef SGR_DATA_TASK_H
#define SGR_DATA_TASK_H

#include "call_fields.h"
#include "counter.h"
#include "idempotency_key.h"
#include "settings.h"
#include "snapshot.h"

/** The task that owns the sockets of callers, of other nodes and of the local target. */
typedef struct sgr_data_task_t sgr_data_task_t;

/**
 * struct sgr_data_key_bind_request_t - request to the control task to bind a caller's own
 * idempotency key to a gate, in the store
 * @id: id of the request, repeated in the reply
 * @service: service of the call
 * @key: hash of the key
 * @candidate: gate to bind the key to if the store has no binding for it yet
 */
typedef struct
{
  uint64_t id;
  char service[SGR_NAME_MAX + 1];
  sgr_hash128_t key;
  sgr_issued_key_t candidate;
} sgr_data_key_bind_request_t;

/**
 * struct sgr_data_key_bind_reply_t - reply to a sgr_data_key_bind_request_t
 * @id: id of the request
 * @result: SGR_OK, or an error if the key could not be bound
 * @gate: gate that the key is bound to
 */
typedef struct
{
  uint64_t id;
  sgr_result_t result;
  sgr_issued_key_t gate;
} sgr_data_key_bind_reply_t;

/**
 * struct sgr_data_task_events_t - callbacks of the data task
 * @drained: after sgr_data_task_drain(), all calls have ended and their answers are delivered, or
 * the drain has timed out, see sgr_stop_plan(); @open_calls calls of callers are then cut
 * @key_bind: bind a caller's own key and reply with sgr_data_task_key_bind_reply_send(); the
 * receiver owns @bind
 * @target_unreachable: connections to the local target failed repeatedly
 *
 * The callbacks run in the thread of the data task. They must not block, so they only send a
 * message to another task.
 */
typedef struct
{
  void (*drained) (void *ctx, size_t open_calls);
  void (*key_bind) (void *ctx, sgr_data_key_bind_request_t *bind);
  void (*target_unreachable) (void *ctx);
} sgr_data_task_events_t;

/**
 * sgr_data_task_start() - start the thread and wait until it has opened the sockets
 * @settings: settings, valid until the task is joined
 * @fields: names of the header fields, valid until the task is joined
 * @boot: boot id of this node
 * @events: callbacks
 * @ctx: passed to the callbacks
 * @errors: receives a line if a socket or the certificate cannot be used
 *
 * Return: the task, NULL on error.
 */
sgr_data_task_t *sgr_data_task_start (const sgr_settings_t *settings,
                                      const sgr_call_fields_t *fields, sgr_boot_id_t boot,
                                      const sgr_data_task_events_t *events, void *ctx,
                                      sgr_buffer_t *errors);

/** sgr_data_task_snapshot_send() - send a snapshot, which the task then owns; from any task */
void sgr_data_task_snapshot_send (sgr_data_task_t *task, sgr_snapshot_t *snapshot);

/** sgr_data_task_key_bind_reply_send() - send a reply, which the task then owns; from any task */
void sgr_data_task_key_bind_reply_send (sgr_data_task_t *task, sgr_data_key_bind_reply_t *bound);

/**
 * sgr_data_task_drain() - refuse new calls and finish the open ones; from any task
 *
 * The gate refuses attempts at once. The HTTP interface refuses requests of callers only after
 * leave_delay_ms, so that callers can move to other nodes before.
 */
void sgr_data_task_drain (sgr_data_task_t *task);

/** sgr_data_task_stop() - end the event loop without waiting for open calls; from any task */
void sgr_data_task_stop (sgr_data_task_t *task);

/** sgr_data_task_join() - wait for the thread to end and free the task */
void sgr_data_task_join (sgr_data_task_t *task);

/** sgr_data_task_completed_counter() - counter of complete answers of the local target; for any
 * task */
const sgr_counter_t *sgr_data_task_completed_counter (const sgr_data_task_t *task);

/** sgr_data_task_ticks_counter() - counter that rises each second unless the task hangs; for any
 * task */
const sgr_counter_t *sgr_data_task_ticks_counter (const sgr_data_task_t *task);

/** sgr_data_task_metrics() - metrics of the task, which any task may print */
const sgr_metrics_t *sgr_data_task_metrics (const sgr_data_task_t *task);

#endif
