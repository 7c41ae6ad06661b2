#include "timer_heap.h"

#include <stdlib.h>

#include "result.h"

#define INITIAL_CAPACITY 64

struct sgr_timer_heap_t
{
  sgr_timer_t **timers; /* binary min-heap by due time; the root has index 1, index 0 is unused */
  size_t count;
  size_t capacity;
};

sgr_timer_heap_t *
sgr_timer_heap_create (void)
{
  sgr_timer_heap_t *heap = calloc (1, sizeof *heap);

  sgr_invariant (heap != NULL);
  return heap;
}

void
sgr_timer_heap_destroy (sgr_timer_heap_t *heap)
{
  if (heap == NULL)
    return;
  free (heap->timers);
  free (heap);
}

static void
timer_put (sgr_timer_heap_t *heap, sgr_timer_t *timer, size_t position)
{
  heap->timers[position] = timer;
  timer->position = position;
}

static void
sift_up (sgr_timer_heap_t *heap, sgr_timer_t *timer)
{
  size_t position = timer->position;

  while (position > 1 && heap->timers[position / 2]->due_us > timer->due_us)
    {
      timer_put (heap, heap->timers[position / 2], position);
      position /= 2;
    }
  timer_put (heap, timer, position);
}

static void
sift_down (sgr_timer_heap_t *heap, sgr_timer_t *timer)
{
  size_t position = timer->position;

  for (;;)
    {
      size_t child = position * 2;

      if (child > heap->count)
        break;
      if (child < heap->count && heap->timers[child + 1]->due_us < heap->timers[child]->due_us)
        child++;
      if (heap->timers[child]->due_us >= timer->due_us)
        break;
      timer_put (heap, heap->timers[child], position);
      position = child;
    }
  timer_put (heap, timer, position);
}

void
sgr_timer_arm (sgr_timer_heap_t *heap, sgr_timer_t *timer, uint64_t due_us)
{
  if (timer->position == 0)
    {
      if (heap->count + 2 > heap->capacity)
        {
          heap->capacity = heap->capacity == 0 ? INITIAL_CAPACITY : heap->capacity * 2;
          heap->timers = realloc (heap->timers, heap->capacity * sizeof (sgr_timer_t *));
          sgr_invariant (heap->timers != NULL);
        }
      timer_put (heap, timer, ++heap->count);
    }
  timer->due_us = due_us;
  sift_up (heap, timer);
  sift_down (heap, timer);
}

void
sgr_timer_cancel (sgr_timer_heap_t *heap, sgr_timer_t *timer)
{
  size_t position = timer->position;
  sgr_timer_t *last;

  if (position == 0)
    return;
  timer->position = 0;
  last = heap->timers[heap->count--];
  if (last == timer)
    return;
  timer_put (heap, last, position);
  sift_up (heap, last);
  sift_down (heap, last);
}

uint64_t
sgr_timer_heap_next (const sgr_timer_heap_t *heap)
{
  return heap->count > 0 ? heap->timers[1]->due_us : SGR_TIMER_NEVER;
}

uint64_t
sgr_timer_heap_run (sgr_timer_heap_t *heap, uint64_t now_us)
{
  while (heap->count > 0 && heap->timers[1]->due_us <= now_us)
    {
      sgr_timer_t *timer = heap->timers[1];

      sgr_timer_cancel (heap, timer);
      timer->fire (timer->ctx, now_us);
    }
  return sgr_timer_heap_next (heap);
}
