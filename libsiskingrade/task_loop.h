#ifndef SGR_TASK_LOOP_H
#define SGR_TASK_LOOP_H

#include <h2o.h>

#include "timer_heap.h"

/**
 * sgr_task_loop_defer() - run a callback from the event loop, not before this function has returned
 * @loop: the event loop
 * @immediate: a timeout of 0 ms; all its entries are linked by this function
 * @entry: the entry with its callback, not linked; h2o_timeout_unlink() cancels the call
 */
void sgr_task_loop_defer (h2o_loop_t *loop, h2o_timeout_t *immediate, h2o_timeout_entry_t *entry);

/**
 * sgr_task_loop_run() - run a task, which is a thread with an event loop and timers
 * @loop: the event loop
 * @timers: the timers
 * @is_stopped: a callback of the same thread sets it to true to end the function
 *
 * Callbacks of timers run within the event loop, so that they may use and close its sockets.
 */
void sgr_task_loop_run (h2o_loop_t *loop, sgr_timer_heap_t *timers, const bool *is_stopped);

#endif
