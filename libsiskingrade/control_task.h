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
 * struct sgr_adapter_t - interface between a node and the platform that it runs on
 *
 * An adapter only translates names and formats. All callbacks run in the control task.
 *
 * @fields: names of the header fields of calls
 * @config: source of a configuration that is approved outside of siskingrade; NULL if the two
 *          co-owners approve the configuration
 * @requires_routes: callers of the platform never name a service, so that settings which let them
 * do so are refused
 * @store_create: creates a client of the platform's store at the address in the settings
 * @store_destroy: destroys the client; pending calls are cancelled without their callbacks
 * @evacuation_prefix: prefix of the store keys that evacuate failure domains; the name of the
 *                     failure domain follows it
 * @ready_setup: registers more paths on the address that answers readiness checks
 *               ("listen.ready"); NULL for none
 * @targets_setup: registers more paths on the address where targets announce themselves
 *                 ("listen.targets"); NULL for none
 */
typedef struct
{
  const sgr_call_fields_t *fields;
  const sgr_config_source_t *config;
  bool requires_routes;
  sgr_store_t *(*store_create) (h2o_loop_t *loop, const sgr_settings_t *settings);
  void (*store_destroy) (sgr_store_t *store);
  const char *evacuation_prefix;
  void (*ready_setup) (sgr_control_t *control, h2o_hostconf_t *host);
  void (*targets_setup) (sgr_control_t *control, h2o_hostconf_t *host);
} sgr_adapter_t;

/** Adapter for a deployment that uses siskingrade's own interfaces. */
extern const sgr_adapter_t sgr_adapter_default;

/**
 * sgr_control_task_run() - run a node until it receives a stop signal
 * @settings_path: settings file, read again on SIGHUP
 * @settings: content of the settings file
 * @adapter: interface to the platform
 *
 * The calling thread becomes the control task, which handles membership, configuration,
 * announcements, the resource API and metrics. It starts the data task. SIGTERM and SIGINT begin a
 * graceful shutdown; further ones have no effect.
 *
 * Return: exit status: 0 after a graceful shutdown, EX_OSERR if an address cannot be used,
 * EX_CONFIG if the settings and the adapter do not agree on who approves the configuration, or on
 * whether callers may name services.
 */
int sgr_control_task_run (const char *settings_path, const sgr_settings_t *settings,
                          const sgr_adapter_t *adapter);

/**
 * sgr_control_is_ready() - whether the node accepts calls
 *
 * A node is ready once it has a configuration and either knows another node or has found none for a
 * few seconds after its start. If the settings ask for evacuations, it also has to know them, or to
 * have waited for them. It is no longer ready when it is stopping, or while the task that serves
 * calls hangs.
 */
bool sgr_control_is_ready (const sgr_control_t *control);

/**
 * sgr_control_target_announce() - register the local target or renew its registration
 *
 * Return: SGR_OK, also for an outdated announcement, which is ignored, and for one that is kept
 * until the departures are known; SGR_ERR_CONFLICT if another target is registered;
 * SGR_ERR_UNAVAILABLE if the node is stopping.
 */
sgr_result_t sgr_control_target_announce (sgr_control_t *control,
                                          const sgr_announcement_t *announcement);

/**
 * sgr_control_target_leave() - remove an instance of the local target permanently
 * @control: the control task
 * @instance: name of the instance, NULL for each one that has announced itself and not left
 * @started_ms: start of the instance as Unix time in milliseconds, 0 if unknown
 */
void sgr_control_target_leave (sgr_control_t *control, const char *instance, uint64_t started_ms);

/**
 * struct sgr_control_reply_t - answer to a request of the local target
 * @result: SGR_OK if the request is acknowledged; SGR_ERR_UNAVAILABLE if it asked for a departure
 *          that is in force but not in the store yet, so that the target should ask again
 * @announce_address: where the next announcement should arrive, port 0 for no statement
 */
typedef struct
{
  sgr_result_t result;
  sgr_address_t announce_address;
} sgr_control_reply_t;

/** typedef sgr_control_reply_cb_t - sends the answer to a request of the local target */
typedef void (*sgr_control_reply_cb_t) (sgr_control_t *control, h2o_req_t *req,
                                        const sgr_control_reply_t *reply);

/**
 * sgr_control_leave_acknowledge() - acknowledge that an instance has left
 * @control: the control task
 * @req: the request of the target
 * @send: sends the answer
 *
 * The acknowledgement is sent once the store has what it promises: that the instance gets no new
 * work, also after the node was killed. See sgr_control_departures_reply().
 */
void sgr_control_leave_acknowledge (sgr_control_t *control, h2o_req_t *req,
                                    sgr_control_reply_cb_t send);

/**
 * sgr_control_announcement_acknowledge() - acknowledge an announcement that was accepted
 * @control: the control task
 * @announcement: the announcement
 * @req: the request of the target
 * @send: sends the answer
 *
 * That of an instance that drains is answered like a leave. One that is kept until the departures
 * are known names an address for the next one if they cannot be read soon. Any other is answered at
 * once.
 */
void sgr_control_announcement_acknowledge (sgr_control_t *control,
                                           const sgr_announcement_t *announcement, h2o_req_t *req,
                                           sgr_control_reply_cb_t send);

#endif
