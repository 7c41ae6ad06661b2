#ifndef SGR_TIMER_HEAP_H
#define SGR_TIMER_HEAP_H

#include "types.h"

/* Due time if no timer is armed. */
#define SGR_TIMER_NEVER UINT64_MAX

/** struct sgr_timer_heap_t - armed timers of one thread, ordered by due time */
typedef struct sgr_timer_heap_t sgr_timer_heap_t;

/**
 * struct sgr_timer_t - one-shot timer, embedded in the object that uses it; zero-initialized
 * @due_us: when the timer fires, monotonic microseconds
 * @position: index in the heap, from 1; 0 while the timer is not armed
 * @fire: called when the timer fires, after it was disarmed; may arm or cancel any timer
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
 * sgr_timer_arm() - arm a timer, or change the due time of an armed one
 * @heap: the heap
 * @timer: the timer, with @fire and @ctx set
 * @due_us: when the timer fires, monotonic microseconds
 */
void sgr_timer_arm (sgr_timer_heap_t *heap, sgr_timer_t *timer, uint64_t due_us);

/** sgr_timer_cancel() - disarm a timer; does nothing if it is not armed */
void sgr_timer_cancel (sgr_timer_heap_t *heap, sgr_timer_t *timer);

/** sgr_timer_heap_next() - when the next timer is due, SGR_TIMER_NEVER if none is armed */
uint64_t sgr_timer_heap_next (const sgr_timer_heap_t *heap);

/**
 * sgr_timer_heap_run() - fire all timers that are due, also those armed meanwhile
 * @heap: the heap
 * @now_us: the time, monotonic microseconds
 *
 * Return: when the next timer is due, SGR_TIMER_NEVER if none is armed.
 */
uint64_t sgr_timer_heap_run (sgr_timer_heap_t *heap, uint64_t now_us);

#endif
