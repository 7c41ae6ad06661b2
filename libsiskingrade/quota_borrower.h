#ifndef SGR_QUOTA_BORROWER_H
#define SGR_QUOTA_BORROWER_H

#include "quota.h"

/**
 * Decides which calls may start at a node, with tokens that it borrows from a lender. Performs no
 * I/O. The clock must not stop while the machine is suspended, and its time never decreases from
 * call to call.
 */
typedef struct sgr_quota_borrower_t sgr_quota_borrower_t;

/**
 * enum sgr_quota_kind_t - what a call was started with
 * @SGR_QUOTA_REFUSED: the call may not start
 * @SGR_QUOTA_TOKEN: a token
 * @SGR_QUOTA_RESERVE: a part of the node's reserve
 */
typedef enum
{
  SGR_QUOTA_REFUSED = 0,
  SGR_QUOTA_TOKEN,
  SGR_QUOTA_RESERVE,
} sgr_quota_kind_t;

/**
 * struct sgr_quota_credit_t - what a call was started with; to be kept until the call has ended
 * @account: id of the account, 0 without a limit
 * @kind: kind
 * @tenure: number of the lender change before the call
 * @start_us: start of the call
 */
typedef struct
{
  uint64_t account;
  sgr_quota_kind_t kind;
  uint32_t tenure;
  uint64_t start_us;
} sgr_quota_credit_t;

/**
 * struct sgr_quota_borrower_events_t - callbacks at changes of state
 * @lender_changed: another lender was chosen, 0 for none
 * @refusing_changed: calls of an account begin to be refused, or none was refused for 10 s
 */
typedef struct
{
  void (*lender_changed) (void *ctx, sgr_node_id_t lender);
  void (*refusing_changed) (void *ctx, uint64_t account, bool is_refusing);
} sgr_quota_borrower_events_t;

/** struct sgr_quota_borrower_stats_t - totals since the start */
typedef struct
{
  uint64_t admitted;
  uint64_t refused;
  uint64_t reserve;
  uint64_t lender_changes;
} sgr_quota_borrower_stats_t;

/**
 * sgr_quota_borrower_create() - create a borrower without accounts, members and lender
 * @bound: bound of the quotas, copied
 * @start_us: start of the process; it is not attached in the first sgr_quota_start_us(), and has no
 *   reserve in the first window, because the former boot may have used that
 * @events: callbacks, copied
 * @ctx: passed to the callbacks
 */
sgr_quota_borrower_t *sgr_quota_borrower_create (const sgr_quota_bound_t *bound, uint64_t start_us,
                                                 const sgr_quota_borrower_events_t *events,
                                                 void *ctx);
void sgr_quota_borrower_destroy (sgr_quota_borrower_t *borrower);

/** sgr_quota_borrower_limits_set() - replace the limits, sorted by account, each account once */
void sgr_quota_borrower_limits_set (sgr_quota_borrower_t *borrower, const sgr_quota_limit_t *limits,
                                    size_t count);

/**
 * sgr_quota_borrower_members_set() - set the nodes that may be chosen as the lender
 * @members: nodes that are alive or suspect, this node included
 * @fleet: nodes that may run, whether they can be reached or not; 0 while it is not known. There is
 *   no reserve before a lender has stated the number, too
 */
void sgr_quota_borrower_members_set (sgr_quota_borrower_t *borrower, const sgr_node_id_t *members,
                                     size_t count, size_t fleet);

/**
 * sgr_quota_borrower_call_start() - whether a call may start; takes constant time
 * @index: index of the account's limit in the limits that were set
 * @credit: receives what the call was started with
 * @retry_after_ms: receives for a refused call the time after which it should be repeated
 */
bool sgr_quota_borrower_call_start (sgr_quota_borrower_t *borrower, uint64_t now_us, size_t index,
                                    sgr_quota_credit_t *credit, uint32_t *retry_after_ms);

/** sgr_quota_borrower_is_exhausted() - whether the lender had no token left for an account */
bool sgr_quota_borrower_is_exhausted (const sgr_quota_borrower_t *borrower, size_t index);

/**
 * sgr_quota_borrower_standby_set() - set the tokens to hold of an account that has no calls
 * @index: index of the account's limit in the limits that were set
 * @tokens: number of tokens, 0 for none
 */
void sgr_quota_borrower_standby_set (sgr_quota_borrower_t *borrower, size_t index, uint32_t tokens);

/** sgr_quota_borrower_call_return() - return the credit of a call that did not run */
void sgr_quota_borrower_call_return (sgr_quota_borrower_t *borrower, uint64_t now_us,
                                     const sgr_quota_credit_t *credit);

/** sgr_quota_borrower_next_us() - time at which sgr_quota_borrower_tick() has to be called,
 * UINT64_MAX without accounts or members; earlier after each other call */
uint64_t sgr_quota_borrower_next_us (const sgr_quota_borrower_t *borrower);

/**
 * sgr_quota_borrower_tick() - choose a lender, notice that it is lost, build a request
 * @request: receives the request
 *
 * Return: node to send the request to, 0 if there is none to send.
 */
sgr_node_id_t sgr_quota_borrower_tick (sgr_quota_borrower_t *borrower, uint64_t now_us,
                                       sgr_quota_request_t *request);

/** sgr_quota_borrower_reply() - take in a reply; late, repeated and foreign ones are ignored */
void sgr_quota_borrower_reply (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_node_id_t from,
                               const sgr_quota_reply_t *reply);

/** sgr_quota_borrower_lender() - the chosen lender, 0 for none */
sgr_node_id_t sgr_quota_borrower_lender (const sgr_quota_borrower_t *borrower);

sgr_quota_borrower_stats_t sgr_quota_borrower_stats (const sgr_quota_borrower_t *borrower);

#endif
