#include "quota.h"

/* Tokens that have to exist for the full rate, as seconds of the rate: those held for one and a
   half intervals, and those spent in an interval and not reported yet. */
#define CAPACITY_S 0.7
/* Share of the rate that is given up for the capacity if the burst and the bound leave too little.
   At least 0.95 of the limit has to be admitted. */
#define RATE_GIVEN_UP 0.04
/* An interval has one millisecond for each node, so that a lender gets at most 1,000 regular
   requests per second. With two, the loss of a lender of 300 nodes would leave less than 0.8 of the
   limit. */
#define LEASE_PER_NODE_US (4 * SGR_USEC_PER_MSEC)
#define LEASE_STEP_US (250 * SGR_USEC_PER_MSEC)

sgr_quota_plan_t
sgr_quota_plan (const sgr_quota_limit_t *limit, const sgr_quota_bound_t *bound)
{
  double window_s = (double)bound->window_us / (double)SGR_USEC_PER_SEC;
  double calls = limit->rate_per_s * window_s + limit->burst;
  double over = calls * bound->over;
  sgr_quota_plan_t plan = { .rate_per_s = limit->rate_per_s, .reserve = over / 2 };
  double missing;

  /* The slack is too small to be divided by the nodes of a fleet; a lender can move it. */
  plan.capacity = limit->burst + (double)bound->slack + over / 2;
  missing = limit->rate_per_s * CAPACITY_S - plan.capacity;
  if (missing > 0)
    {
      double moved = missing < plan.reserve ? missing : plan.reserve;
      double given_up;

      plan.capacity += moved;
      plan.reserve -= moved;
      missing -= moved;
      given_up = limit->rate_per_s * window_s * RATE_GIVEN_UP;
      if (missing > given_up)
        missing = given_up;
      plan.capacity += missing;
      plan.rate_per_s -= missing / window_s;
    }
  /* Less than one token could never be lent. */
  if (plan.capacity < 1 && calls >= 1)
    {
      plan.rate_per_s -= (1 - plan.capacity) / window_s;
      plan.capacity = 1;
    }
  if (plan.rate_per_s < 0)
    plan.rate_per_s = 0;
  return plan;
}

uint64_t
sgr_quota_lease_us (size_t fleet)
{
  uint64_t lease_us
      = (fleet * LEASE_PER_NODE_US + LEASE_STEP_US - 1) / LEASE_STEP_US * LEASE_STEP_US;

  return lease_us < SGR_QUOTA_LEASE_US ? SGR_QUOTA_LEASE_US : lease_us;
}

uint64_t
sgr_quota_start_us (size_t fleet)
{
  uint64_t lease_us = sgr_quota_lease_us (fleet);

  return lease_us + lease_us / 64;
}
