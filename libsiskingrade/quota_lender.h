#ifndef SGR_QUOTA_LENDER_H
#define SGR_QUOTA_LENDER_H

#include "quota.h"

/**
 * Lends tokens of the accounts' limits to borrowers. It lends the part of each limit that belongs
 * to the nodes attached to it. Performs no I/O. The clock must not stop while the machine is
 * suspended, and its time never decreases from call to call.
 */
typedef struct sgr_quota_lender_t sgr_quota_lender_t;

/**
 * struct sgr_quota_lender_stats_t - state and totals
 * @attached: borrowers that are attached
 * @lent: tokens lent since the start
 */
typedef struct
{
  size_t attached;
  uint64_t lent;
} sgr_quota_lender_stats_t;

/**
 * sgr_quota_lender_create() - create a lender without accounts that knows no fleet
 * @boot: boot id of this node
 * @bound: bound of the quotas, copied
 * @start_us: start of the process; nothing is lent in the first sgr_quota_start_us()
 */
sgr_quota_lender_t *sgr_quota_lender_create (sgr_boot_id_t boot, const sgr_quota_bound_t *bound,
                                             uint64_t start_us);
void sgr_quota_lender_destroy (sgr_quota_lender_t *lender);

/**
 * sgr_quota_lender_limits_set() - replace the limits
 * @limits: limits, sorted by account, each account once
 *
 * The tokens of an account that was there before stay, up to the new capacity.
 */
void sgr_quota_lender_limits_set (sgr_quota_lender_t *lender, uint64_t now_us,
                                  const sgr_quota_limit_t *limits, size_t count);

/**
 * sgr_quota_lender_fleet_set() - set the number of nodes that a limit is divided by
 * @fleet: nodes that may run, whether they can be reached or not; 0 while it is not known, then
 *   nothing is lent
 *
 * The limit is divided by the largest number that this node or an attached borrower knows. A node
 * that starts during a network partition learns from its peers only the nodes on its side.
 */
void sgr_quota_lender_fleet_set (sgr_quota_lender_t *lender, uint64_t now_us, size_t fleet);

/**
 * sgr_quota_lender_request() - answer a request
 * @now_us: time at which the reply is sent
 * @node: node id of the borrower
 * @boot: boot id of the borrower
 * @redirect: lender of this node if that is another node, else 0; such a node lends nothing
 * @request: the request
 * @reply: receives the reply
 *
 * Return: false if the request is a repetition or older than one that was answered; there is no
 * reply then.
 */
bool sgr_quota_lender_request (sgr_quota_lender_t *lender, uint64_t now_us, sgr_node_id_t node,
                               sgr_boot_id_t boot, sgr_node_id_t redirect,
                               const sgr_quota_request_t *request, sgr_quota_reply_t *reply);

sgr_quota_lender_stats_t sgr_quota_lender_stats (sgr_quota_lender_t *lender, uint64_t now_us);

#endif
