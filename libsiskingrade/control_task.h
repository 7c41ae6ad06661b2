#ifndef SGR_CONTROL_TASK_H
#define SGR_CONTROL_TASK_H

#include <h2o.h>

#include "announce.h"
#include "call_fields.h"
#include "config_source.h"
#include "settings.h"
#include "store.h"

/** The control task of a node. */
typedef struct sgr_control_t sgr_control_t;

/**
 * struct sgr_adapter_t - how a node speaks with the platform that it runs on
 *
 * An adapter translates names and forms only. All callbacks run in the control task.
 *
 * @fields: names of the header fields of calls
 * @config: source of the configuration, NULL if the two co-owners approve it
 * @store_create: client of the platform's store at the address in the settings
 * @store_destroy: cancels pending calls without their callbacks
 * @ready_setup: registers paths on the address where readiness is asked for; NULL for none
 * @targets_setup: registers paths on the address where targets announce themselves; NULL for none
 */
typedef struct
{
  const sgr_call_fields_t *fields;
  const sgr_config_source_t *config;
  sgr_store_t *(*store_create) (h2o_loop_t *loop, const sgr_settings_t *settings);
  void (*store_destroy) (sgr_store_t *store);
  void (*ready_setup) (sgr_control_t *control, h2o_hostconf_t *host);
  void (*targets_setup) (sgr_control_t *control, h2o_hostconf_t *host);
} sgr_adapter_t;

/** Adapter for a deployment that speaks siskingrade's own interfaces. */
extern const sgr_adapter_t sgr_adapter_default;

/**
 * sgr_control_task_run() - run a node until it is asked to stop
 * @settings_path: settings file, read again on SIGHUP
 * @settings: its content
 * @adapter: how to speak with the platform
 *
 * The calling thread becomes the control task: membership, configuration, announcements, the
 * resource API and metrics. It starts the data task. SIGTERM and SIGINT begin a graceful
 * shutdown; further ones change nothing.
 *
 * Return: exit status: 0 after a graceful shutdown, EX_OSERR if an address cannot be used,
 * EX_CONFIG if the settings and the adapter do not agree on who approves the configuration.
 */
int sgr_control_task_run (const char *settings_path, const sgr_settings_t *settings,
                          const sgr_adapter_t *adapter);

/** sgr_control_is_ready() - whether a caller's request would be served now */
bool sgr_control_is_ready (const sgr_control_t *control);

/**
 * sgr_control_target_announce() - the local target registers or renews its registration
 *
 * Return: SGR_OK also for an announcement that is too late to count; SGR_ERR_CONFLICT if another
 * target is registered; SGR_ERR_UNAVAILABLE if the node is stopping.
 */
sgr_result_t sgr_control_target_announce (sgr_control_t *control,
                                          const sgr_announcement_t *announcement);

/**
 * sgr_control_target_leave() - an instance of the local target leaves for good
 * @control: the control task
 * @instance: name of the instance
 * @started_ms: its start as for sgr_announcement_t, 0 if unknown
 */
void sgr_control_target_leave (sgr_control_t *control, const char *instance, uint64_t started_ms);

#endif
