#ifndef SGR_CTL_CLIENT_H
#define SGR_CTL_CLIENT_H

#include <h2o.h>
#include <jansson.h>

#include "config_error.h"

#define SGR_CTL_NODES_MAX 8

typedef struct sgr_ctl_client_t sgr_ctl_client_t;

/** struct sgr_ctl_reply_t - reply of a node; @json is NULL if the body is not JSON */
typedef struct
{
  int status;
  json_t *json;
} sgr_ctl_reply_t;

/**
 * sgr_ctl_client_create() - blocking client of the control addresses
 * @nodes: control addresses, tried in turn until one takes the request
 * @count: number of addresses, 1 to SGR_CTL_NODES_MAX
 * @timeout_ms: longest silence of a node
 */
sgr_ctl_client_t *sgr_ctl_client_create (const sgr_address_t *nodes, size_t count,
                                         uint32_t timeout_ms);
void sgr_ctl_client_destroy (sgr_ctl_client_t *client);

/**
 * sgr_ctl_client_call() - send a request and wait for its reply
 * @method: HTTP method
 * @path: path and query
 * @body: JSON body or NULL; not released
 * @reply: receives the reply; release its JSON with json_decref()
 * @error: receives the reason of a failure
 *
 * Return: SGR_OK for status 200; SGR_ERR_UNAVAILABLE if no node took the request; SGR_ERR_IO if a
 * node may have taken it and did not reply, or the node does not know the outcome; else the kind
 * of the refusal.
 */
sgr_result_t sgr_ctl_client_call (sgr_ctl_client_t *client, const char *method, const char *path,
                                  const json_t *body, sgr_ctl_reply_t *reply,
                                  sgr_config_error_t *error);

/** sgr_ctl_client_pause() - wait before a retry */
void sgr_ctl_client_pause (sgr_ctl_client_t *client, uint32_t wait_ms);

#endif
