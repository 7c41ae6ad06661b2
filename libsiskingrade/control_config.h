#ifndef SGR_CONTROL_CONFIG_H
#define SGR_CONTROL_CONFIG_H

#include "config_io.h"
#include "control_internal.h"

/**
 * sgr_control_config_create() - create the node's configuration and its HTTP resources
 * @control: the control task
 * @host: h2o's host configuration for the control address
 */
sgr_control_config_t *sgr_control_config_create (sgr_control_t *control, h2o_hostconf_t *host);
void sgr_control_config_destroy (sgr_control_config_t *config);

const sgr_config_state_t *sgr_control_config_state (const sgr_control_config_t *config);

/** sgr_control_config_store() - client of the key-value service, NULL if the settings name none */
sgr_store_t *sgr_control_config_store (const sgr_control_config_t *config);

/**
 * sgr_control_config_member_changed() - pass a changed member to the configuration sync at once,
 * before the next snapshot
 */
void sgr_control_config_member_changed (sgr_control_config_t *config, const sgr_member_t *member);

/**
 * sgr_control_config_members_update() - replace the list of members that the configuration sync
 * uses; called for each snapshot
 */
void sgr_control_config_members_update (sgr_control_config_t *config, const sgr_member_t *members,
                                        size_t count);

/** sgr_control_config_metrics_print() - append the counters of the configuration */
void sgr_control_config_metrics_print (const sgr_control_config_t *config, sgr_buffer_t *text);

#endif
