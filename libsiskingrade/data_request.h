#ifndef SGR_DATA_REQUEST_H
#define SGR_DATA_REQUEST_H

#include "data_call.h"

/**
 * sgr_data_request_name_copy() - copy a name from a field or a query
 * @value: the name, not zero-terminated
 * @name: receives the name, SGR_NAME_MAX + 1 bytes
 *
 * Return: false if it is empty, too long or not a token.
 */
bool sgr_data_request_name_copy (h2o_iovec_t value, char *name);

/** sgr_data_request_service_read() - read the service of a request without a route; false if there
 * is none */
bool sgr_data_request_service_read (const h2o_req_t *req, char *name);

/** sgr_data_request_head_is_valid() - whether a request can be passed on in a frame */
bool sgr_data_request_head_is_valid (const h2o_req_t *req);

/**
 * sgr_data_request_read() - read the attributes of a call from its header fields
 * @task: the data task
 * @req: the request
 * @policy: policy of the service
 * @route: its route, NULL if the call names its service itself
 * @request: receives the attributes; its account is set already
 *
 * Return: NULL, or the reason if a field is invalid.
 */
const char *sgr_data_request_read (sgr_data_task_t *task, const h2o_req_t *req,
                                   const sgr_policy_t *policy, const sgr_route_t *route,
                                   sgr_data_call_request_t *request);

#endif
