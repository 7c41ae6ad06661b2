#ifndef SGR_CONTROL_HTTP_H
#define SGR_CONTROL_HTTP_H

#include "control_internal.h"

/**
 * sgr_control_http_create() - serve the control address over HTTP
 * @control: the control task
 * @errors: receives a line if the address cannot be used
 */
sgr_control_http_t *sgr_control_http_create (sgr_control_t *control, sgr_buffer_t *errors);

/** sgr_control_http_host() - host to which other resources are added before the first request */
h2o_hostconf_t *sgr_control_http_host (sgr_control_http_t *http);

/** sgr_control_http_open() - start to accept connections, after all resources were added */
sgr_result_t sgr_control_http_open (sgr_control_http_t *http, sgr_buffer_t *errors);
void sgr_control_http_destroy (sgr_control_http_t *http);

#endif
