#ifndef SGR_DATA_HTTP_H
#define SGR_DATA_HTTP_H

#include "data_internal.h"

/**
 * sgr_data_http_create() - listen for callers, with TLS if the settings name a certificate
 * @task: the task
 * @errors: receives a line if the address or the certificate cannot be used
 *
 * Return: the HTTP interface, NULL on error.
 */
sgr_data_http_t *sgr_data_http_create (sgr_data_task_t *task, sgr_buffer_t *errors);
void sgr_data_http_destroy (sgr_data_http_t *http);

/** sgr_data_http_leave() - close each connection after its open requests or its next one */
void sgr_data_http_leave (sgr_data_http_t *http);

/** sgr_data_http_drain() - accept no new connections; close the open ones after their requests */
void sgr_data_http_drain (sgr_data_http_t *http);

/** sgr_data_http_connection_count() - open HTTP/1.1 connections of callers */
size_t sgr_data_http_connection_count (const sgr_data_http_t *http);

/** sgr_data_http_request_count() - number of requests whose answer has not been sent completely */
size_t sgr_data_http_request_count (const sgr_data_http_t *http);

#endif
