#include "task_loop.h"

/* Longest wait for sockets when no timer is due earlier. */
#define WAIT_MAX_MS 60000

/**
 * struct due_timers_t - entry through which the event loop fires the timers that are due
 * @entry: linked while timers are due; the first member
 * @timeout: timeout of 0 ms
 * @timers: the timers
 */
typedef struct
{
  h2o_timeout_entry_t entry;
  h2o_timeout_t timeout;
  sgr_timer_heap_t *timers;
} due_timers_t;

static void
on_due (h2o_timeout_entry_t *entry)
{
  due_timers_t *due = (due_timers_t *)entry;

  sgr_timer_heap_run (due->timers, sgr_clock_monotonic_us ());
}

void
sgr_task_loop_defer (h2o_loop_t *loop, h2o_timeout_t *immediate, h2o_timeout_entry_t *entry)
{
  h2o_timeout_link (loop, immediate, entry);
  /* h2o measures by the wall clock, which may be set back meanwhile. */
  entry->registered_at = 0;
}

/* Lets the next h2o_evloop_run() fire the timers. Their callbacks use sockets, and must not run
   outside of it: it frees sockets that were closed before it begins, although they may still be in
   its list of sockets with a pending callback. */
static void
due_link (h2o_loop_t *loop, due_timers_t *due)
{
  if (!h2o_timeout_is_linked (&due->entry))
    sgr_task_loop_defer (loop, &due->timeout, &due->entry);
}

void
sgr_task_loop_run (h2o_loop_t *loop, sgr_timer_heap_t *timers, const bool *is_stopped)
{
  due_timers_t due = { .entry.cb = on_due, .timers = timers };

  h2o_timeout_init (loop, &due.timeout, 0);
  /* Handles what was begun before the loop. */
  h2o_evloop_run (loop, 0);
  while (!*is_stopped)
    {
      uint64_t now_us = sgr_clock_monotonic_us ();
      uint64_t next_us = sgr_timer_heap_next (timers);
      int32_t wait_ms = WAIT_MAX_MS;

      if (next_us <= now_us)
        {
          due_link (loop, &due);
          wait_ms = 0;
        }
      else if (next_us - now_us < WAIT_MAX_MS * SGR_USEC_PER_MSEC)
        wait_ms = (int32_t)((next_us - now_us + SGR_USEC_PER_MSEC - 1) / SGR_USEC_PER_MSEC);
      h2o_evloop_run (loop, wait_ms);
    }
  h2o_timeout_unlink (&due.entry);
  h2o_timeout_dispose (loop, &due.timeout);
}
