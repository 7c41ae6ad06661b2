#ifndef SGR_CONTROL_INTERNAL_H
#define SGR_CONTROL_INTERNAL_H

#include <h2o.h>

#include "control_task.h"
#include "counter.h"
#include "data_task.h"
#include "mailbox.h"
#include "membership_io.h"
#include "timer_heap.h"

/* Shared by the control_*.c files only. */

typedef struct sgr_control_http_t sgr_control_http_t;
typedef struct sgr_control_config_t sgr_control_config_t;
typedef struct sgr_control_keys_t sgr_control_keys_t;
typedef struct sgr_control_contacts_t sgr_control_contacts_t;
typedef struct sgr_control_probe_t sgr_control_probe_t;

/**
 * struct sgr_control_t - state of the control task
 * @members: all live members as of the last snapshot
 * @member_count: entries of @members
 * @snapshot_us: when the last snapshot was sent
 * @started_us: when the task started
 * @is_stopping: a graceful shutdown has begun
 * @is_drained: the data task has no open call any more
 * @leave_us: when the leave was announced
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
  sgr_control_probe_t *probe;
  sgr_member_t *members;
  size_t member_count;
  h2o_socket_t *signals;
  sgr_announce_t announce;
  sgr_timer_t announce_timer;
  sgr_timer_t snapshot_timer;
  uint64_t snapshot_us;
  uint64_t started_us;
  sgr_timer_t stop_timer;
  sgr_timer_t log_timer;
  bool is_stopping;
  bool is_drained;
  bool is_stopped;
  uint64_t leave_us;
};

/** sgr_control_self_update() - tell membership of the local target and the revision in force */
void sgr_control_self_update (sgr_control_t *control);

/** sgr_control_local_changed() - the local target changed: tell membership and the data task */
void sgr_control_local_changed (sgr_control_t *control);

/** sgr_control_local_state() - state of the local target as the rest of the fleet is to see it */
sgr_target_state_t sgr_control_local_state (const sgr_control_t *control);

/** sgr_control_announce_renewed() - the registration was renewed or changed */
void sgr_control_announce_renewed (sgr_control_t *control, bool is_changed);

/** sgr_control_announce_timer() - drops a registration that was not renewed */
void sgr_control_announce_timer (void *ctx, uint64_t now_us);

/** sgr_control_snapshot_now() - send a snapshot at once: the gate has to learn of its own target */
void sgr_control_snapshot_now (sgr_control_t *control);

/** sgr_control_snapshot_due() - members or policies changed: send a snapshot soon */
void sgr_control_snapshot_due (sgr_control_t *control);

/** sgr_control_metrics_print() - metrics of both tasks and of membership */
void sgr_control_metrics_print (sgr_control_t *control, sgr_buffer_t *text);

#endif
