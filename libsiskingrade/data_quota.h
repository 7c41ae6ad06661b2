#ifndef SGR_DATA_QUOTA_H
#define SGR_DATA_QUOTA_H

#include "data_gate.h"
#include "quota_borrower.h"

/**
 * Quotas of client accounts on the data task: the lender and the borrower of this node, their
 * frames and timer. Without an account that has a rate, there is no message, timer or counter.
 */
typedef struct sgr_data_quotas_t sgr_data_quotas_t;

sgr_data_quotas_t *sgr_data_quotas_create (sgr_data_task_t *task);
void sgr_data_quotas_destroy (sgr_data_quotas_t *quotas);

/**
 * sgr_data_quotas_update() - take in the snapshot of the task
 * @has_accounts: the snapshot has the accounts of another revision than the one before
 */
void sgr_data_quotas_update (sgr_data_quotas_t *quotas, bool has_accounts);

/**
 * sgr_data_quotas_take() - decide at the gate whether a request of an account may start
 * @account: name of the account
 * @credit: receives what the request was started with; zero without a quota
 * @retry_after_ms: receives for a refused request the time until there may be credit, 0 if other
 *   gates may have some now
 */
bool sgr_data_quotas_take (sgr_data_quotas_t *quotas, const char *account,
                           sgr_quota_credit_t *credit, uint32_t *retry_after_ms);

/** sgr_data_quotas_return() - return the credit of a request that did not run; zero is allowed */
void sgr_data_quotas_return (sgr_data_quotas_t *quotas, const sgr_quota_credit_t *credit);

/**
 * sgr_data_quotas_affinity() - number of gates of one service and failure domain that calls of an
 * account should go to
 * @account: index of the account in the configuration
 *
 * A small quota spread over all gates would leave most of them without a token.
 *
 * Return: the number, 0 for an account without a quota.
 */
uint32_t sgr_data_quotas_affinity (const sgr_data_quotas_t *quotas, uint32_t account);

/** sgr_data_quotas_affinity_seed() - seed of the choice of an account's gates, the same on all
 * nodes
 */
uint64_t sgr_data_quotas_affinity_seed (const char *account);

/**
 * sgr_data_quotas_request_handle() - answer a request of another node
 * @channel: connection of the node
 *
 * Return: SGR_OK, SGR_ERR_INVALID if it has too many entries.
 */
sgr_result_t sgr_data_quotas_request_handle (sgr_data_quotas_t *quotas,
                                             const sgr_data_channel_t *channel,
                                             const Sgr__Pb__QuotaRequest *message);

/**
 * sgr_data_quotas_reply_handle() - take in the reply of another node
 * @from: the node
 *
 * Return: SGR_OK, SGR_ERR_INVALID if it has too many entries.
 */
sgr_result_t sgr_data_quotas_reply_handle (sgr_data_quotas_t *quotas, sgr_node_id_t from,
                                           const Sgr__Pb__QuotaReply *message);

/** sgr_data_quotas_metrics_set() - copy the totals into the registry of the task */
void sgr_data_quotas_metrics_set (const sgr_data_quotas_t *quotas);

#endif
