#ifndef SGR_DATA_REFUSE_H
#define SGR_DATA_REFUSE_H

#include "data_internal.h"

/* Answers to requests of callers for which no call is created, on the data task. */

/**
 * sgr_data_request_id_read() - read the request id that the caller sent
 * @task: the data task
 * @req: the request
 * @id: receives the id, at most SGR_NAME_MAX bytes and a terminating zero; empty if there is none.
 *      An id that is too long or is not a token cannot be written to a log line and is ignored.
 */
void sgr_data_request_id_read (const sgr_data_task_t *task, const h2o_req_t *req, char *id);

/**
 * sgr_data_request_refuse() - answer a request with an error, outcome not-run
 * @task: the data task
 * @req: the request
 * @status: status of the answer; with 503, the answer says when the caller may come back
 * @reason: short reason for the caller, the log and the counter; a constant, because each reason
 *          has its own counter
 */
void sgr_data_request_refuse (sgr_data_task_t *task, h2o_req_t *req, int status,
                              const char *reason);

/**
 * struct sgr_data_refusal_t - why a request is refused
 * @status: status of the answer
 * @reason: as of sgr_data_request_refuse()
 * @account: name of the caller's account for the log, NULL if it is not known
 * @retry_after_ms: time after which the caller may come back, 0 to not name any
 */
typedef struct
{
  int status;
  const char *reason;
  const char *account;
  uint32_t retry_after_ms;
} sgr_data_refusal_t;

/**
 * sgr_data_request_refuse_as() - as sgr_data_request_refuse(), for a call of a known account or
 * with a time of its own
 * @task: the data task
 * @req: the request
 * @refusal: the reason
 */
void sgr_data_request_refuse_as (sgr_data_task_t *task, h2o_req_t *req,
                                 const sgr_data_refusal_t *refusal);

/**
 * sgr_data_unusable_refuse() - refuse a request for an entry of the configuration that cannot be
 * carried out
 * @task: the data task
 * @req: the request
 * @reason: as of sgr_data_request_refuse()
 */
void sgr_data_unusable_refuse (sgr_data_task_t *task, h2o_req_t *req, const char *reason);

/**
 * sgr_data_malformed_count() - count and log a request that was answered without being read
 * @task: the data task
 * @status: status of the answer: 400, 413 or 431
 */
void sgr_data_malformed_count (sgr_data_task_t *task, int status);

#endif
