#ifndef SGR_CONTROL_HTTP_H
#define SGR_CONTROL_HTTP_H

#include "control_internal.h"
#include "http_listener.h"

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
 * sgr_control_http_targets_open() - serve a further address where targets announce themselves
 * @http: the servers
 * @address: the address
 *
 * Return: the server, to be stopped by the caller; NULL if the address cannot be used (see errno).
 */
sgr_http_listener_t *sgr_control_http_targets_open (sgr_control_http_t *http,
                                                    sgr_address_t *address);

/**
 * sgr_control_http_destroy() - stop accepting connections
 *
 * Open connections and the memory of the servers last until the process ends.
 */
void sgr_control_http_destroy (sgr_control_http_t *http);

#endif
