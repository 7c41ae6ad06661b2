#ifndef SGR_DATA_MEMORY_H
#define SGR_DATA_MEMORY_H

#include "data_internal.h"

/** Use of the memory budget in the data task: sizes, drops, counters and log lines. */

/** sgr_data_memory_create() - create the budget of a task from its settings, as task->memory */
void sgr_data_memory_create (sgr_data_task_t *task);
void sgr_data_memory_destroy (sgr_data_task_t *task);

/**
 * sgr_data_memory_body_max() - longest request body that the node takes, bytes
 *
 * It is the limit of the settings, or less if the budget cannot hold so long a body.
 */
size_t sgr_data_memory_body_max (const sgr_data_task_t *task);

/** sgr_data_memory_answers_max() - bytes of recorded answers with a key that the gate may keep */
size_t sgr_data_memory_answers_max (const sgr_data_task_t *task, size_t default_bytes);

/**
 * sgr_data_connections_max() - most connections of callers
 *
 * It is the limit of the settings, or three quarters of the descriptors that the process may open.
 * The rest is for peers, the target and the control task.
 */
size_t sgr_data_connections_max (const sgr_data_task_t *task);

/**
 * sgr_data_memory_body_admit() - count the body of a request that h2o has read itself, over HTTP/2
 * or TLS
 * @task: the data task
 * @req: the request
 * @memory: zero-initialized holder; to be ended with the request
 *
 * Return: false if there is no room for the body.
 */
bool sgr_data_memory_body_admit (sgr_data_task_t *task, h2o_req_t *req,
                                 sgr_memory_holder_t *memory);

/** sgr_data_memory_room_made() - count a connection that was closed because of connections_max
 * @ctx: the data task
 */
void sgr_data_memory_room_made (void *ctx);

/** sgr_data_memory_refused() - count a request of a caller that was refused for lack of memory */
void sgr_data_memory_refused (sgr_data_task_t *task);

/** sgr_data_memory_metrics_set() - set the metrics of the budget, and log when it becomes short or
 * is no longer short; called once a second */
void sgr_data_memory_metrics_set (sgr_data_task_t *task);

/** sgr_data_caller_address() - IPv4 address of the caller of a request, 0 if it is not known */
uint32_t sgr_data_caller_address (h2o_req_t *req);

/** sgr_data_caller_disconnect() - end the connection of a request; h2o notices and disposes of it
 */
void sgr_data_caller_disconnect (h2o_req_t *req);

#endif
