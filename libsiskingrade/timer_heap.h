#ifndef SGR_TIMER_HEAP_H
#define SGR_TIMER_HEAP_H

#include "types.h"

#define SGR_TIMER_NEVER UINT64_MAX

typedef struct sgr_timer_heap_t sgr_timer_heap_t;

/**
 * struct sgr_timer_t - one deadline, embedded in the object that it belongs to; start with all zero
 * @due_us: when it fires
 * @position: place in the heap, counted from 1; 0 while it is not armed
 * @fire: called once when due; may arm or cancel any timer
 * @ctx: passed to @fire
 */
typedef struct sgr_timer_t
{
  uint64_t due_us;
  size_t position;
  void (*fire) (void *ctx, uint64_t now_us);
  void *ctx;
} sgr_timer_t;

sgr_timer_heap_t *sgr_timer_heap_create (void);
void sgr_timer_heap_destroy (sgr_timer_heap_t *heap);

/**
 * sgr_timer_arm() - set or move a deadline
 * @heap: the heap
 * @timer: the timer, with @fire and @ctx set
 * @due_us: when it fires, monotonic microseconds
 */
void sgr_timer_arm (sgr_timer_heap_t *heap, sgr_timer_t *timer, uint64_t due_us);
void sgr_timer_cancel (sgr_timer_heap_t *heap, sgr_timer_t *timer);

/**
 * sgr_timer_heap_run() - fire all timers that are due
 * @heap: the heap
 * @now_us: the time
 *
 * Return: when the next timer is due, SGR_TIMER_NEVER if none is armed.
 */
uint64_t sgr_timer_heap_run (sgr_timer_heap_t *heap, uint64_t now_us);

#endif
