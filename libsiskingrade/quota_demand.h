#ifndef SGR_QUOTA_DEMAND_H
#define SGR_QUOTA_DEMAND_H

#include "types.h"

/**
 * struct sgr_quota_demand_t - calls of an account at a node; zero-initialized, there were none
 * @calls: calls since @time_us
 * @calls_per_us: moving average
 * @time_us: time of the last estimate, 0 before the first one
 */
typedef struct
{
  uint32_t calls;
  double calls_per_us;
  uint64_t time_us;
} sgr_quota_demand_t;

/**
 * sgr_quota_demand_tokens() - take in the calls since the last estimate
 * @interval_us: time between two requests to the lender
 *
 * Return: tokens for one and a half intervals and for the variation of few calls, at least 1.
 */
uint32_t sgr_quota_demand_tokens (sgr_quota_demand_t *demand, uint64_t now_us,
                                  uint64_t interval_us);

/**
 * sgr_quota_retry_ms() - time after which the caller of a refused call should return
 * @slot_us: time given to the caller before, updated
 * @step_ms: time between two tokens of this node, 0 if not known
 *
 * Each caller gets a later time, spread over 10 s.
 */
uint32_t sgr_quota_retry_ms (uint64_t *slot_us, uint64_t now_us, uint32_t step_ms);

#endif
