#ifndef SGR_TASK_LOOP_H
#define SGR_TASK_LOOP_H

#include <h2o.h>

#include "timer_heap.h"

/**
 * sgr_task_loop_run() - run an event loop and the timers of a task until it stops
 * @loop: event loop
 * @timers: timers
 * @is_stopped: set by the task itself to end
 */
void sgr_task_loop_run (h2o_loop_t *loop, sgr_timer_heap_t *timers, const bool *is_stopped);

#endif
