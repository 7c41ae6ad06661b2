#ifndef SGR_MEMBERSHIP_BUDGET_H
#define SGR_MEMBERSHIP_BUDGET_H

#include "types.h"

/* Size of the IPv4 and UDP headers of one datagram, in bytes. */
#define SGR_MEMBERSHIP_DATAGRAM_OVERHEAD 28

/* A probe or its answer is charged to the detection share up to this size; bytes beyond it
   count as piggybacked updates and are charged to the updates share. */
#define SGR_MEMBERSHIP_PROBE_BYTES 80

/**
 * enum sgr_membership_share_t - shares of the byte budget
 * @SGR_MEMBERSHIP_RESERVE: probes and their answers when all other shares are used up; received
 * bytes are never charged to it
 * @SGR_MEMBERSHIP_DETECTION: probes and their answers
 * @SGR_MEMBERSHIP_UPDATES: piggybacked updates and datagrams with urgent updates
 * @SGR_MEMBERSHIP_SYNC: full state transfer and anti-entropy sync
 * @SGR_MEMBERSHIP_SHARES: number of shares
 */
typedef enum
{
  SGR_MEMBERSHIP_RESERVE = 0,
  SGR_MEMBERSHIP_DETECTION,
  SGR_MEMBERSHIP_UPDATES,
  SGR_MEMBERSHIP_SYNC,
  SGR_MEMBERSHIP_SHARES,
} sgr_membership_share_t;

/**
 * struct sgr_membership_budget_t - byte budget of one node, a token bucket for each share
 *
 * Each bucket refills at its own rate. Tokens that exceed its capacity go to the bucket of the next
 * share in the order of the enum, so that shares use what the ones before them leave over. Tokens
 * never flow back, so that neither updates nor state transfers delay probes.
 *
 * @refilled_us: monotonic time of the last refill
 * @rate: bytes a second of all shares together
 * @sync_first: whether SGR_MEMBERSHIP_SYNC gets the largest share of the rate; set while this node
 * pulls the full state
 * @tokens: bytes that may be sent now; received bytes can make it negative
 * @capacity: largest number of tokens in each bucket, in bytes
 */
typedef struct
{
  uint64_t refilled_us;
  uint32_t rate;
  bool sync_first;
  double tokens[SGR_MEMBERSHIP_SHARES];
  double capacity[SGR_MEMBERSHIP_SHARES];
} sgr_membership_budget_t;

/**
 * sgr_membership_budget_init() - initialize a budget with full buckets
 * @budget: the budget
 * @bytes_per_s: bytes a second, sent and received together
 * @now_us: monotonic time
 */
void sgr_membership_budget_init (sgr_membership_budget_t *budget, uint32_t bytes_per_s,
                                 uint64_t now_us);

/**
 * sgr_membership_budget_refill() - add the tokens for the time since the last refill
 * @budget: the budget
 * @now_us: monotonic time
 */
void sgr_membership_budget_refill (sgr_membership_budget_t *budget, uint64_t now_us);

/**
 * sgr_membership_budget_has() - whether bytes may be sent now
 * @budget: the budget
 * @share: the share, not SGR_MEMBERSHIP_RESERVE; SGR_MEMBERSHIP_DETECTION may use any bucket that
 * has the bytes, the others only their own
 * @bytes: size including SGR_MEMBERSHIP_DATAGRAM_OVERHEAD
 */
bool sgr_membership_budget_has (const sgr_membership_budget_t *budget, sgr_membership_share_t share,
                                size_t bytes);

/**
 * sgr_membership_budget_charge() - charge bytes that are sent or received
 * @budget: the budget
 * @share: the share, not SGR_MEMBERSHIP_RESERVE
 * @bytes: size including SGR_MEMBERSHIP_DATAGRAM_OVERHEAD
 * @sent: true for sent bytes, false for received ones
 */
void sgr_membership_budget_charge (sgr_membership_budget_t *budget, sgr_membership_share_t share,
                                   size_t bytes, bool sent);

#endif
