#ifndef SGR_MEMBERSHIP_BUDGET_H
#define SGR_MEMBERSHIP_BUDGET_H

#include "types.h"

/* IPv4 and UDP headers of one datagram, in bytes. */
#define SGR_MEMBERSHIP_DATAGRAM_OVERHEAD 28

/* Largest part of a probe or its answer that counts as detection; the rest counts as updates. */
#define SGR_MEMBERSHIP_PROBE_BYTES 80

/**
 * enum sgr_membership_share_t - parts of the byte budget
 * @SGR_MEMBERSHIP_RESERVE: probes and their answers when all other shares are used up; received
 * bytes do not use it
 * @SGR_MEMBERSHIP_DETECTION: probes and their answers
 * @SGR_MEMBERSHIP_UPDATES: piggybacked and urgent updates
 * @SGR_MEMBERSHIP_SYNC: full state and anti-entropy
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
 * struct sgr_membership_budget_t - token buckets of one node. Each share refills at its own rate;
 * what overflows one bucket fills the next, so that an idle share is of use to the others. A share
 * cannot take from the ones before it: neither updates nor state transfers delay probes.
 * @sync_first: whether state transfer gets the largest share
 * @tokens: bytes that may be sent now; received bytes make it negative
 * @capacity: size of each bucket
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
 * sgr_membership_budget_init() - start with full buckets
 * @budget: the budget
 * @bytes_per_s: bytes a second, sent and received
 * @now_us: monotonic time
 */
void sgr_membership_budget_init (sgr_membership_budget_t *budget, uint32_t bytes_per_s,
                                 uint64_t now_us);

void sgr_membership_budget_refill (sgr_membership_budget_t *budget, uint64_t now_us);

/**
 * sgr_membership_budget_has() - whether bytes may be sent now
 * @budget: the budget
 * @share: the share; detection may use every bucket, the others only their own; not RESERVE
 * @bytes: size including the datagram overhead
 */
bool sgr_membership_budget_has (const sgr_membership_budget_t *budget, sgr_membership_share_t share,
                                size_t bytes);

/**
 * sgr_membership_budget_charge() - count bytes sent or received
 * @budget: the budget
 * @share: the share
 * @bytes: size including the datagram overhead
 * @sent: whether they are sent, not received
 */
void sgr_membership_budget_charge (sgr_membership_budget_t *budget, sgr_membership_share_t share,
                                   size_t bytes, bool sent);

#endif
