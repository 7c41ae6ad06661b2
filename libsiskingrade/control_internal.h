#ifndef SGR_CONTROL_INTERNAL_H
#define SGR_CONTROL_INTERNAL_H

#include <h2o.h>

#include "control_task.h"
#include "counter.h"
#include "data_task.h"
#include "fleet_size.h"
#include "mailbox.h"
#include "membership_io.h"
#include "timer_heap.h"

/* State and functions shared by the control_*.c files only. */

typedef struct sgr_control_http_t sgr_control_http_t;
typedef struct sgr_control_config_t sgr_control_config_t;
typedef struct sgr_control_keys_t sgr_control_keys_t;
typedef struct sgr_control_confirm_t sgr_control_confirm_t;
typedef struct sgr_control_contacts_t sgr_control_contacts_t;
typedef struct sgr_control_departures_t sgr_control_departures_t;
typedef struct sgr_control_evacuation_t sgr_control_evacuation_t;
typedef struct sgr_control_probe_t sgr_control_probe_t;

/**
 * struct sgr_control_t - state of the control task
 *
 * Times are monotonic, in microseconds.
 *
 * @settings_path: settings file, read again on SIGHUP
 * @settings: settings as read at the start
 * @adapter: interface to the platform
 * @boot: boot id of the node, also the seed of its random choices
 * @loop: event loop of the control task
 * @timers: timers of the control task
 * @metrics: metrics of the control task
 * @mailbox: receives the messages of the data task
 * @data: the data task
 * @membership: membership and its socket
 * @http: HTTP servers for operators, targets, readiness checks and metrics
 * @config: configuration of the deployment and its HTTP resources
 * @keys: binds the idempotency keys that callers chose, in the store
 * @contacts: finds other nodes through the store, NULL without a store
 * @confirm: addresses at which an instance shows that it still runs
 * @departures: keeps the departures of the local target in the store
 * @evacuation: follows the evacuated failure domains, NULL if the settings do not ask for it
 * @probe: active probes of the local target
 * @members: members that are alive or suspect, as of the last snapshot, in the order of their ids
 * @member_count: entries of @members
 * @fleet: number of nodes that may run, for quotas of accounts
 * @snapshot_revision: revision of the configuration in the last snapshot
 * @newest_revision: highest revision of the configuration that this node or one of @members has in
 *   force
 * @newest_seen_us: when @newest_revision rose last
 * @signals: socket that receives the signals
 * @announce: registration of the local target
 * @announce_timer: fires when the registration expires
 * @snapshot_timer: fires when the next snapshot is to be sent
 * @snapshot_sent_us: when the last snapshot was sent
 * @started_us: when the task started
 * @stop_timer: fires when the leave announcement has had time to spread; ends the task
 * @log_timer: fires when buffered log lines are to be written and the data task is checked
 * @is_stopping: a graceful shutdown has begun
 * @is_drained: the data task has no open calls any more, or its drain has timed out
 * @is_stopped: ends the event loop of the control task
 * @leave_us: when the leave was announced
 * @data_ticks: counter of the data task at the last check
 * @data_checks: checks since that counter rose
 */
struct sgr_control_t
{
  const char *settings_path;
  const sgr_settings_t *settings;
  const sgr_adapter_t *adapter;
  sgr_boot_id_t boot;
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_metrics_t *metrics;
  sgr_mailbox_t *mailbox;
  sgr_data_task_t *data;
  sgr_membership_io_t *membership;
  sgr_control_http_t *http;
  sgr_control_config_t *config;
  sgr_control_keys_t *keys;
  sgr_control_contacts_t *contacts;
  sgr_control_confirm_t *confirm;
  sgr_control_departures_t *departures;
  sgr_control_evacuation_t *evacuation;
  sgr_control_probe_t *probe;
  sgr_member_t *members;
  size_t member_count;
  sgr_fleet_size_t fleet;
  uint64_t snapshot_revision;
  uint64_t newest_revision;
  uint64_t newest_seen_us;
  h2o_socket_t *signals;
  sgr_announce_state_t announce;
  sgr_timer_t announce_timer;
  sgr_timer_t snapshot_timer;
  uint64_t snapshot_sent_us;
  uint64_t started_us;
  sgr_timer_t stop_timer;
  sgr_timer_t log_timer;
  bool is_stopping;
  bool is_drained;
  bool is_stopped;
  uint64_t leave_us;
  uint64_t data_ticks;
  unsigned data_checks;
};

/**
 * sgr_control_self_update() - update the node's own membership record
 *
 * Publishes the state of the local target and the revision of the configuration in force.
 */
void sgr_control_self_update (sgr_control_t *control);

/** sgr_control_target_changed() - publish a change of the local target, and notify the data task */
void sgr_control_target_changed (sgr_control_t *control);

/** sgr_control_target_state() - state of the local target that is published to the other nodes */
sgr_target_state_t sgr_control_target_state (const sgr_control_t *control);

/**
 * sgr_control_announce_renewed() - handle a registration that was renewed or changed
 * @control: the control task
 * @is_changed: whether anything but the time of expiry changed
 */
void sgr_control_announce_renewed (sgr_control_t *control, bool is_changed);

/** sgr_control_announce_timer() - timer callback: removes a registration that was not renewed */
void sgr_control_announce_timer (void *ctx, uint64_t now_us);

/**
 * sgr_control_snapshot_build() - snapshot of the present state; function of control_snapshot.c
 * @control: the control task
 *
 * Return: a snapshot for sgr_data_task_snapshot_send(). It has the routes and accounts of the
 * configuration only if the last one had another revision.
 */
sgr_snapshot_t *sgr_control_snapshot_build (sgr_control_t *control);

/**
 * sgr_control_snapshot_now() - send a snapshot to the data task in the next iteration of the event
 * loop
 *
 * For changes that must take effect at once, such as a change of the local target, whose state the
 * gate needs.
 */
void sgr_control_snapshot_now (sgr_control_t *control);

/**
 * sgr_control_snapshot_schedule() - send a snapshot after a short delay
 *
 * For changes of members. Changes during the delay are part of the same snapshot.
 */
void sgr_control_snapshot_schedule (sgr_control_t *control);

/** sgr_control_metrics_print() - append the metrics of both tasks and of membership */
void sgr_control_metrics_print (sgr_control_t *control, sgr_buffer_t *text);

#endif
