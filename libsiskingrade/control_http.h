#ifndef SGR_CONTROL_HTTP_H
#define SGR_CONTROL_HTTP_H

#include "control_internal.h"

/**
 * sgr_control_http_create() - start the HTTP servers of the control task
 * @control: the control task
 * @setup: registers more paths on h2o's host configuration for the control address
 * @ctx: passed to @setup
 * @errors: receives a line if an address cannot be used
 *
 * Serves the control address and, if they are set, the separate addresses for readiness checks,
 * targets and metrics.
 *
 * Return: the servers, NULL after an error.
 */
sgr_control_http_t *sgr_control_http_create (sgr_control_t *control,
                                             void (*setup) (void *ctx, h2o_hostconf_t *host),
                                             void *ctx, sgr_buffer_t *errors);

/**
 * sgr_control_http_destroy() - stop accepting connections
 *
 * Open connections and the memory of the servers last until the process ends.
 */
void sgr_control_http_destroy (sgr_control_http_t *http);

#endif
