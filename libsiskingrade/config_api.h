#ifndef SGR_CONFIG_API_H
#define SGR_CONFIG_API_H

#include "config_io.h"
#include "evacuation.h"

typedef struct sgr_config_api_t sgr_config_api_t;

/**
 * sgr_config_api_members_t - callback that returns all members
 * @ctx: as passed to sgr_config_api_create()
 * @members: receives the members, valid until the caller returns to the event loop
 *
 * Return: the number of members.
 */
typedef size_t (*sgr_config_api_members_t) (void *ctx, const sgr_member_t **members);

/**
 * sgr_config_api_create() - register the configuration API on the HTTP server of a control address
 * @host: h2o host configuration on which the paths are registered
 * @io: the configuration I/O of this node
 * @members: returns the members for /v1/nodes, /v1/targets and /v1/status; NULL for no members
 * @ctx: passed to @members
 *
 * Return: the API, NULL if there is no memory.
 */
sgr_config_api_t *sgr_config_api_create (h2o_hostconf_t *host, sgr_config_io_t *io,
                                         sgr_config_api_members_t members, void *ctx);

/**
 * sgr_config_api_evacuation_t - callback that returns the evacuated failure domains
 * @ctx: as passed to sgr_config_api_evacuation_setup()
 *
 * Return: the set, valid until the caller returns to the event loop; NULL if the node does not
 * follow evacuations.
 */
typedef const sgr_evacuation_t *(*sgr_config_api_evacuation_t) (void *ctx);

/** sgr_config_api_evacuation_setup() - let /v1/status show the evacuated failure domains */
void sgr_config_api_evacuation_setup (sgr_config_api_t *api, sgr_config_api_evacuation_t evacuation,
                                      void *ctx);

/** sgr_config_api_routing_setup() - let /v1/status show how calls find their service, a static text
 */
void sgr_config_api_routing_setup (sgr_config_api_t *api, const char *routing);

/**
 * sgr_config_api_notify() - answer the pending watch requests that a new revision concerns
 * @api: the API, may be NULL; call from config_changed of sgr_config_io_callbacks_t
 */
void sgr_config_api_notify (sgr_config_api_t *api);

/** sgr_config_api_stop() - answer all pending watch requests now, for a graceful shutdown */
void sgr_config_api_stop (sgr_config_api_t *api);

/**
 * sgr_config_api_destroy() - release the API
 * @api: the API, may be NULL; call after h2o_context_dispose() and before sgr_config_io_destroy()
 */
void sgr_config_api_destroy (sgr_config_api_t *api);

#endif
