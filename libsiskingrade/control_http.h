#ifndef SGR_CONTROL_HTTP_H
#define SGR_CONTROL_HTTP_H

#include "control_internal.h"

/**
 * sgr_control_http_create() - serve the control address over HTTP
 * @control: the control task
 * @setup: adds other resources to the host
 * @ctx: passed to @setup
 * @errors: receives a line if the address cannot be used
 *
 * Return: the server, NULL after an error.
 */
sgr_control_http_t *sgr_control_http_create (sgr_control_t *control,
                                             void (*setup) (void *ctx, h2o_hostconf_t *host),
                                             void *ctx, sgr_buffer_t *errors);

/** sgr_control_http_destroy() - accept no more connections; open ones end with the process */
void sgr_control_http_destroy (sgr_control_http_t *http);

#endif
