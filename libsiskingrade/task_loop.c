#include "task_loop.h"

/* Longest wait for sockets when no timer is due earlier. */
#define WAIT_MAX_MS 60000

/* Timer callbacks run outside of h2o_evloop_run(). If one of them writes to a socket, the write may
   complete at once. h2o then queues its callback in one of these lists, which h2o_evloop_run()
   handles only after it has waited for sockets. */
static bool
has_pending_callbacks (const h2o_loop_t *loop)
{
  return loop->_pending_as_client != NULL || loop->_pending_as_server != NULL;
}

void
sgr_task_loop_run (h2o_loop_t *loop, sgr_timer_heap_t *timers, const bool *is_stopped)
{
  while (!*is_stopped)
    {
      uint64_t now_us = sgr_clock_monotonic_us ();
      uint64_t next_us = sgr_timer_heap_run (timers, now_us);
      int32_t wait_ms = WAIT_MAX_MS;

      if (*is_stopped)
        return;
      /* The callbacks took time, and may have armed timers that are due already. */
      now_us = sgr_clock_monotonic_us ();
      if (next_us <= now_us || has_pending_callbacks (loop))
        wait_ms = 0;
      else if (next_us - now_us < WAIT_MAX_MS * SGR_USEC_PER_MSEC)
        wait_ms = (int32_t)((next_us - now_us + SGR_USEC_PER_MSEC - 1) / SGR_USEC_PER_MSEC);
      h2o_evloop_run (loop, wait_ms);
    }
}
