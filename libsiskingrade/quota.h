#ifndef SGR_QUOTA_H
#define SGR_QUOTA_H

#include "result.h"
#include "types.h"

/* Accounts in one request. With 29 bytes each a request stays far below the limit of a frame. */
#define SGR_QUOTA_USES_MAX 1024
/* Lease of a borrower in a fleet of at most 250 nodes. */
#define SGR_QUOTA_LEASE_US (1000 * SGR_USEC_PER_MSEC)
/* The token of a call that did not run is returned if the call started at most this long ago. */
#define SGR_QUOTA_RETURN_US (10 * SGR_USEC_PER_SEC)

/**
 * struct sgr_quota_bound_t - how far the calls of an account may exceed its limit
 * @window_us: length W of a window
 * @over: share above the limit
 * @slack: calls above the limit
 *
 * In each window at most (rate x W + burst) x (1 + @over) + @slack calls may start.
 */
typedef struct
{
  uint64_t window_us;
  double over;
  uint64_t slack;
} sgr_quota_bound_t;

/**
 * struct sgr_quota_limit_t - limit of an account over all nodes
 * @account: id of the account, not 0
 * @rate_per_s: calls per second, not 0
 * @burst: calls beyond the rate
 */
typedef struct
{
  uint64_t account;
  uint32_t rate_per_s;
  uint32_t burst;
} sgr_quota_limit_t;

/**
 * struct sgr_quota_plan_t - division of the calls that may start in a window
 * @rate_per_s: rate at which tokens are created over all lenders
 * @capacity: tokens that may exist at a time, lent or not, over all lenders
 * @reserve: calls in a window without a token, over all nodes
 *
 * @rate_per_s x W + @capacity + @reserve is at most the bound of the window.
 */
typedef struct
{
  double rate_per_s;
  double capacity;
  double reserve;
} sgr_quota_plan_t;

/** struct sgr_quota_use_t - use of an account at a borrower; see QuotaUse in peer.proto */
typedef struct
{
  uint64_t account;
  uint32_t held;
  uint32_t spent;
  uint32_t wanted;
} sgr_quota_use_t;

/**
 * struct sgr_quota_request_t - see QuotaRequest in peer.proto
 * @fleet: number of nodes that the borrower knows, 0 if it does not; in the frame the tokens held
 * in a use of account 0
 */
typedef struct
{
  uint64_t sequence;
  uint32_t fleet;
  uint64_t lender_time_us;
  sgr_boot_id_t lender_boot;
  sgr_quota_use_t uses[SGR_QUOTA_USES_MAX];
  size_t use_count;
} sgr_quota_request_t;

/** struct sgr_quota_grant_t - see QuotaGrant in peer.proto */
typedef struct
{
  uint64_t account;
  uint32_t tokens;
  uint32_t retry_after_ms;
} sgr_quota_grant_t;

/**
 * struct sgr_quota_reply_t - see QuotaReply in peer.proto
 * @fleet: number of nodes by which the lender divides, 0 while it is not known; in the frame the
 *   tokens of a grant for account 0
 * @lease_us: lease of the borrower; in the frame the time in that grant
 * @grants: renewed accounts; tokens of other accounts are valid only as long as before
 */
typedef struct
{
  uint64_t sequence;
  uint64_t lender_time_us;
  sgr_boot_id_t lender_boot;
  uint32_t fleet;
  uint64_t lease_us;
  uint32_t attached_percent;
  sgr_node_id_t redirect;
  sgr_quota_grant_t grants[SGR_QUOTA_USES_MAX];
  size_t grant_count;
} sgr_quota_reply_t;

/** sgr_quota_plan() - divide the calls of a limit */
sgr_quota_plan_t sgr_quota_plan (const sgr_quota_limit_t *limit, const sgr_quota_bound_t *bound);

/** sgr_quota_lease_us() - lease of the borrowers in a fleet; four intervals between requests */
uint64_t sgr_quota_lease_us (size_t fleet);

/**
 * sgr_quota_start_us() - time after its start in which a node of a fleet neither lends nor attaches
 *
 * The leases and loans of its former process have ended then, also by a slower clock.
 */
uint64_t sgr_quota_start_us (size_t fleet);

/** sgr_quota_interval_us() - time between the requests of a borrower with a lease */
static inline uint64_t
sgr_quota_interval_us (uint64_t lease_us)
{
  return lease_us / 4;
}

/**
 * sgr_quota_loan_us() - time for which tokens are lent to a borrower with a lease
 *
 * One and a half intervals. A lender lends only against leases that last longer than the loan. Just
 * before a request of an undisturbed borrower arrives, two intervals and a round trip of its lease
 * have passed. Round trips of up to half an interval are left.
 */
static inline uint64_t
sgr_quota_loan_us (uint64_t lease_us)
{
  return lease_us * 3 / 8;
}

#endif
