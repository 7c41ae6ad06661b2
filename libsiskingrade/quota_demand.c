#include "quota_demand.h"

#include <math.h>

/* Time constant of the moving average. */
#define AVERAGE_US SGR_USEC_PER_SEC
/* Calls since the last estimate from which on their rate counts before the average follows. */
#define RECENT_CALLS 4
#define TOKENS_MAX 1000000
/* Longest time over which the callers of refused calls are spread. */
#define RETRY_SPREAD_US (10 * SGR_USEC_PER_SEC)
#define RETRY_STEP_MS 1000

uint32_t
sgr_quota_demand_tokens (sgr_quota_demand_t *demand, uint64_t now_us, uint64_t interval_us)
{
  uint64_t passed_us = now_us - demand->time_us;
  double recent = 0;
  double expected;
  double tokens;

  if (demand->time_us == 0 || passed_us > AVERAGE_US)
    passed_us = AVERAGE_US;
  if (passed_us > 0)
    {
      double weight = 1 - exp (-(double)passed_us / (double)AVERAGE_US);

      recent = demand->calls / (double)passed_us;
      demand->calls_per_us += weight * (recent - demand->calls_per_us);
    }
  expected = demand->calls_per_us * (double)interval_us;
  recent *= (double)interval_us;
  /* The callers have moved to another node: the average is too high. */
  if (passed_us * 5 > interval_us * 4 && expected > 2 * recent)
    expected = 2 * recent;
  /* They have moved to this node: it is too low. */
  if (demand->calls >= RECENT_CALLS && expected < recent)
    expected = recent;
  tokens = ceil (1.5 * expected + sqrt (expected));
  if (tokens < demand->calls)
    tokens = demand->calls;
  demand->calls = 0;
  demand->time_us = now_us;
  if (tokens < 1)
    return 1;
  return tokens > TOKENS_MAX ? TOKENS_MAX : (uint32_t)tokens;
}

uint32_t
sgr_quota_retry_ms (uint64_t *slot_us, uint64_t now_us, uint32_t step_ms)
{
  uint64_t step_us = (step_ms > 0 ? step_ms : RETRY_STEP_MS) * SGR_USEC_PER_MSEC;

  *slot_us = (*slot_us > now_us ? *slot_us : now_us) + step_us;
  if (*slot_us > now_us + RETRY_SPREAD_US)
    *slot_us = now_us + step_us;
  return (uint32_t)((*slot_us - now_us) / SGR_USEC_PER_MSEC);
}
