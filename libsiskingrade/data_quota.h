#ifndef SGR_DATA_QUOTA_H
#define SGR_DATA_QUOTA_H

#include "data_call.h"
#include "data_gate.h"

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
 * sgr_data_quotas_check() - decide whether a call may start
 * @req: the request; answered with 429 if it may not
 * @request: the call, with its account; receives the credit
 *
 * Return: false if the request was answered.
 */
bool sgr_data_quotas_check (sgr_data_quotas_t *quotas, h2o_req_t *req,
                            sgr_data_call_request_t *request);

/** sgr_data_quotas_return() - return the credit of a call that did not run */
void sgr_data_quotas_return (sgr_data_quotas_t *quotas, const sgr_data_call_request_t *request);

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
