#include "stop_plan.h"

/* Time for the answers to calls that reach the end of a stop: cancels, their replies, and the write
   to the caller. */
#define ANSWER_MS 200

static uint64_t
least (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

sgr_stop_plan_t
sgr_stop_plan (const sgr_settings_t *settings)
{
  uint64_t grace_ms = settings->stop_grace_ms;
  sgr_stop_plan_t plan;

  if (grace_ms == 0)
    {
      plan.drain_end_ms = settings->drain_timeout_ms;
      plan.calls_end_ms = plan.drain_end_ms - least (ANSWER_MS, plan.drain_end_ms);
    }
  else
    {
      plan.calls_end_ms = grace_ms * 7 / 8;
      plan.drain_end_ms = plan.calls_end_ms + least (ANSWER_MS, grace_ms / 16);
    }
  plan.refuse_ms = least (settings->leave_delay_ms, plan.calls_end_ms);
  return plan;
}
