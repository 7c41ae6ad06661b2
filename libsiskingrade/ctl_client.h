#ifndef SGR_CTL_CLIENT_H
#define SGR_CTL_CLIENT_H

#include <h2o.h>
#include <jansson.h>

#include "config_error.h"

#define SGR_CTL_NODES_MAX 8

typedef struct sgr_ctl_client_t sgr_ctl_client_t;

/**
 * struct sgr_ctl_reply_t - reply of a node
 * @status: HTTP status
 * @json: body, NULL if it is not JSON
 */
typedef struct
{
  int status;
  json_t *json;
} sgr_ctl_reply_t;

/**
 * sgr_ctl_client_create() - create a blocking HTTP client of the nodes' control addresses
 * @nodes: control addresses; each request tries them in this order
 * @count: number of addresses, 1 to SGR_CTL_NODES_MAX
 * @timeout_ms: milliseconds without progress after which a request to a node fails
 *
 * Return: the client, or NULL if memory is exhausted.
 */
sgr_ctl_client_t *sgr_ctl_client_create (const sgr_address_t *nodes, size_t count,
                                         uint32_t timeout_ms);
void sgr_ctl_client_destroy (sgr_ctl_client_t *client);

/**
 * sgr_ctl_client_request() - send a request and wait for its reply
 * @method: HTTP method
 * @path: path and query
 * @body: JSON body or NULL; not released
 * @reply: receives the reply; release its JSON with json_decref()
 * @error: receives the reason of a failure
 *
 * A request that fails is sent to the next node, but after a failed request other than GET that
 * may have reached its node no further node is tried, because the first may have executed it.
 *
 * Return: SGR_OK for status 200; SGR_ERR_UNAVAILABLE if no node could be reached or the node
 * replied with status 503; SGR_ERR_IO if a node may have received the request and did not reply, if
 * its reply is not JSON or has an unexpected status, or if the node does not know the outcome
 * (status 504); else the error for the status: SGR_ERR_INVALID, SGR_ERR_DENIED, SGR_ERR_NOT_FOUND,
 * SGR_ERR_CONFLICT or SGR_ERR_LIMIT.
 */
sgr_result_t sgr_ctl_client_request (sgr_ctl_client_t *client, const char *method, const char *path,
                                     const json_t *body, sgr_ctl_reply_t *reply,
                                     sgr_config_error_t *error);

/** sgr_ctl_client_pause() - block for @wait_ms milliseconds before a request is repeated */
void sgr_ctl_client_pause (sgr_ctl_client_t *client, uint32_t wait_ms);

#endif
