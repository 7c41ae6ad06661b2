#ifndef SGR_DATA_ACCOUNT_H
#define SGR_DATA_ACCOUNT_H

#include "data_call.h"

/* The check of the keys of client accounts in requests, on the data task. */

/** sgr_data_accounts_rebuild() - replace the accounts of the task by those of its snapshot */
void sgr_data_accounts_rebuild (sgr_data_task_t *task);

/**
 * sgr_data_account_check() - find the account of a request
 * @task: the data task
 * @req: the request
 * @route: route of the request, NULL if it names its service itself
 * @request: receives the account; unchanged if the configuration has no accounts
 *
 * Refuses the request if its route is not public and it has no known key, or that of an account
 * that is unusable.
 *
 * Return: false if the request was answered.
 */
bool sgr_data_account_check (sgr_data_task_t *task, h2o_req_t *req, const sgr_route_t *route,
                             sgr_data_call_request_t *request);

/**
 * sgr_data_account_apply() - set what the account of a call determines: tenant and rank
 * @task: the data task
 * @req: request of the call, whose memory holds the name of the account
 * @request: the call, after sgr_data_account_check(), with the rank of its route
 *
 * Does nothing if the configuration has no accounts.
 */
void sgr_data_account_apply (const sgr_data_task_t *task, const h2o_req_t *req,
                             sgr_data_call_request_t *request);

/**
 * sgr_data_account_throttle() - refuse a call whose account the gates refuse as beyond its share
 * @task: the task
 * @req: the request, answered with 503 if it is refused
 * @service: service of the call
 * @request: the call, after sgr_data_account_apply()
 *
 * Its account's quota is not charged, since that happens at the gate. Calls with an idempotency key
 * are let through: only their gate knows whether they have run.
 *
 * Return: whether the call may be sent on; always true if the configuration has no accounts.
 */
bool sgr_data_account_throttle (sgr_data_task_t *task, h2o_req_t *req, sgr_data_service_t *service,
                                const sgr_data_call_request_t *request);

/** sgr_data_account_call_count() - count a call that starts for its account, if it has one */
void sgr_data_account_call_count (sgr_data_task_t *task, const sgr_data_call_request_t *request);

/**
 * sgr_data_account_name() - name of the account of a call, for log lines
 *
 * Return: the name, SGR_ACCOUNT_PUBLIC_NAME for a call of a public route, "-" if the configuration
 * has no accounts.
 */
const char *sgr_data_account_name (const sgr_data_call_request_t *request);

#endif
