#ifndef SGR_DATA_REGION_H
#define SGR_DATA_REGION_H

#include "data_call.h"

/* Regions in which calls may run and keys may be bound, on the data task. */

/**
 * sgr_data_regions_apply() - limit a call to the regions of its route and of its account
 * @task: the data task
 * @route: the route, NULL for none
 * @request: the call, with its account
 */
void sgr_data_regions_apply (const sgr_data_task_t *task, const sgr_route_t *route,
                             sgr_data_call_request_t *request);

/**
 * sgr_data_regions_key_apply() - limit the gate of a key to issue
 * @task: the data task
 * @service: service of the key
 * @request: the request for the key, limited to the regions of its account
 *
 * It is not known on which route the key will be used. The gate is in a region that all routes of
 * the service allow if there is one.
 */
void sgr_data_regions_key_apply (const sgr_data_task_t *task, const char *service,
                                 sgr_data_call_request_t *request);

#endif
