#ifndef SGR_CONFIG_API_H
#define SGR_CONFIG_API_H

#include "config_io.h"

typedef struct sgr_config_api_t sgr_config_api_t;

/**
 * sgr_config_api_members_t - callback that lists the members
 * @ctx: as passed to sgr_config_api_create()
 * @members: receives the members, valid until the caller returns to the event loop
 *
 * Return: the number of members.
 */
typedef size_t (*sgr_config_api_members_t) (void *ctx, const sgr_member_t **members);

/**
 * sgr_config_api_create() - register the configuration resources on a control address
 * @host: host of the HTTP configuration of the control address
 * @io: the configuration of this node
 * @members: lists the members for /v1/nodes, /v1/targets and /v1/status, may be NULL
 * @ctx: passed to @members
 */
sgr_config_api_t *sgr_config_api_create (h2o_hostconf_t *host, sgr_config_io_t *io,
                                         sgr_config_api_members_t members, void *ctx);

/** sgr_config_api_notify() - answer the waiting watchers; call from config_changed */
void sgr_config_api_notify (sgr_config_api_t *api);

/** sgr_config_api_stop() - answer all waiting watchers now, for a graceful shutdown */
void sgr_config_api_stop (sgr_config_api_t *api);

/** sgr_config_api_destroy() - call after h2o_context_dispose(), before sgr_config_io_destroy() */
void sgr_config_api_destroy (sgr_config_api_t *api);

#endif
