#ifndef SGR_DATA_TASK_H
#define SGR_DATA_TASK_H

#include "call_fields.h"
#include "counter.h"
#include "idempotency_key.h"
#include "settings.h"
#include "snapshot.h"

/** The data task owns the sockets of callers, peers and the local target. */
typedef struct sgr_data_task_t sgr_data_task_t;

/**
 * struct sgr_data_key_bind_t - request to bind a caller's own key in the store
 * @id: number of the request, returned with the reply
 * @service: service of the call
 * @key: hash of the key
 * @candidate: gate that the key is bound to, if it is not bound yet
 */
typedef struct
{
  uint64_t id;
  char service[SGR_NAME_MAX + 1];
  sgr_hash128_t key;
  sgr_issued_key_t candidate;
} sgr_data_key_bind_t;

/**
 * struct sgr_data_key_bound_t - reply to it
 * @id: number of the request
 * @result: SGR_OK, or why the key could not be bound
 * @gate: gate that the key is bound to
 */
typedef struct
{
  uint64_t id;
  sgr_result_t result;
  sgr_issued_key_t gate;
} sgr_data_key_bound_t;

/**
 * struct sgr_data_task_events_t - messages from the data task; called in its thread, so that the
 * receiver only hands them on
 * @drained: no call is open any more after sgr_data_task_drain()
 * @key_bind: a caller's own key is to be bound; takes over @bind
 * @target_unreachable: the local target takes no connection
 */
typedef struct
{
  void (*drained) (void *ctx);
  void (*key_bind) (void *ctx, sgr_data_key_bind_t *bind);
  void (*target_unreachable) (void *ctx);
} sgr_data_task_events_t;

/**
 * sgr_data_task_start() - open the sockets and start the thread
 * @settings: settings, valid until the task is joined
 * @fields: names of the header fields, valid until the task is joined
 * @boot: boot id of this process life
 * @events: messages from the task
 * @ctx: passed with the messages
 * @errors: receives a line if a socket or the certificate cannot be used
 *
 * Return: the task, NULL after an error.
 */
sgr_data_task_t *sgr_data_task_start (const sgr_settings_t *settings,
                                      const sgr_call_fields_t *fields, sgr_boot_id_t boot,
                                      const sgr_data_task_events_t *events, void *ctx,
                                      sgr_buffer_t *errors);

/** sgr_data_task_snapshot_send() - hand a snapshot over; from any task */
void sgr_data_task_snapshot_send (sgr_data_task_t *task, sgr_snapshot_t *snapshot);

/** sgr_data_task_key_bound_send() - reply to a key_bind, takes over @bound; from any task */
void sgr_data_task_key_bound_send (sgr_data_task_t *task, sgr_data_key_bound_t *bound);

/** sgr_data_task_drain() - refuse new calls, finish the open ones; from any task */
void sgr_data_task_drain (sgr_data_task_t *task);

/** sgr_data_task_stop() - end the loop at once; from any task */
void sgr_data_task_stop (sgr_data_task_t *task);

/** sgr_data_task_join() - wait for the thread and free the task */
void sgr_data_task_join (sgr_data_task_t *task);

/** sgr_data_task_completed() - requests that the local target answered whole, for any task */
const sgr_counter_t *sgr_data_task_completed (const sgr_data_task_t *task);

/** sgr_data_task_metrics() - registry of the task, to be printed by any task */
const sgr_metrics_t *sgr_data_task_metrics (const sgr_data_task_t *task);

#endif
