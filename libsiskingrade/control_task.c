#include "control_task.h"

#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sysexits.h>
#include <time.h>
#include <unistd.h>

#include "control_config.h"
#include "control_confirm.h"
#include "control_contacts.h"
#include "control_departures.h"
#include "control_evacuation.h"
#include "control_http.h"
#include "control_internal.h"
#include "control_keys.h"
#include "control_probe.h"
#include "log.h"
#include "store_http.h"
#include "task_loop.h"

/* Delay before a snapshot is sent, so that changes that arrive together share one snapshot. */
#define SNAPSHOT_DELAY_US (20 * SGR_USEC_PER_MSEC)
/* Minimum interval between snapshots that are sent because of changed members. Applying a snapshot
   takes the data task about 2 ms with 2,600 members, and calls wait meanwhile; many changes in a
   row must not cause more than a few snapshots per second. */
#define SNAPSHOT_INTERVAL_MIN_US (250 * SGR_USEC_PER_MSEC)
/* The node keeps running for this time after it announced its leave, so that the announcement
   reaches the other nodes despite packet loss. */
#define LEAVE_SPREAD_US (2 * SGR_USEC_PER_SEC)

/* Interval at which buffered log lines are written and the data task is checked. */
#define LOG_FLUSH_US (100 * SGR_USEC_PER_MSEC)
/* Checks in a row without a tick of the data task, which has one each second, until it counts as
   hung. Checks are counted instead of time, so that a process that was frozen does not count. */
#define DATA_CHECKS_MAX 40
/* A node that has found no other node within this time after its start becomes ready nevertheless,
   and serves the calls that its own target can run. */
#define READY_WITHOUT_PEERS_US (2 * SGR_USEC_PER_SEC)

/* Messages from the data task. */
typedef enum
{
  MESSAGE_DRAINED,
  MESSAGE_KEY_BIND,
  MESSAGE_TARGET_UNREACHABLE,
} message_kind_t;

static sgr_membership_t *
membership_of (const sgr_control_t *control)
{
  return sgr_membership_io_membership (control->membership);
}

static int
member_order (const void *a, const void *b)
{
  sgr_node_id_t x = ((const sgr_member_t *)a)->id;
  sgr_node_id_t y = ((const sgr_member_t *)b)->id;

  return x < y ? -1 : x > y;
}

/* Copies the members that are alive or suspect for the snapshot, the configuration and the resource
   API. */
static void
members_refresh (sgr_control_t *control)
{
  size_t capacity = sgr_membership_size (membership_of (control)) + 1;
  sgr_member_t member;
  size_t cursor = 0;

  free (control->members);
  control->members = calloc (capacity, sizeof *control->members);
  sgr_invariant (control->members != NULL);
  control->member_count = 0;
  while (sgr_membership_member_next (membership_of (control), &cursor, &member))
    {
      if (member.status <= SGR_MEMBER_SUSPECT && control->member_count < capacity)
        control->members[control->member_count++] = member;
    }
  qsort (control->members, control->member_count, sizeof *control->members, member_order);
}

/* Determines the number of nodes by which quotas are divided. */
static void
fleet_refresh (sgr_control_t *control, uint64_t now_us)
{
  sgr_fleet_view_t view = {
    .alive = control->member_count,
    .listed = sgr_control_contacts_listed (control->contacts),
    .has_synced = sgr_membership_is_synced (membership_of (control))
                  || sgr_control_contacts_is_alone (control->contacts)
                  || (control->contacts == NULL && control->settings->contact_count == 0),
  };
  sgr_member_t member;
  size_t cursor = 0;
  uint64_t next_us;

  while (sgr_membership_member_next (membership_of (control), &cursor, &member))
    {
      view.records++;
      view.size += member.status != SGR_MEMBER_LEFT;
    }
  next_us = sgr_fleet_size_update (&control->fleet, now_us, &view);
  if (next_us > 0)
    sgr_timer_arm (control->timers, &control->snapshot_timer, next_us);
}

/* Determines the highest revision of the configuration that this node or a member has in force. */
static void
newest_revision_update (sgr_control_t *control, uint64_t now_us)
{
  uint64_t newest = sgr_config_state_revision (sgr_control_config_state (control->config));

  for (size_t i = 0; i < control->member_count; i++)
    if (control->members[i].config_revision > newest)
      newest = control->members[i].config_revision;
  if (newest > control->newest_revision)
    control->newest_seen_us = now_us;
  control->newest_revision = newest;
}

static void
on_snapshot_timer (void *ctx, uint64_t now_us)
{
  sgr_control_t *control = ctx;
  const sgr_config_accounts_t *accounts;

  control->snapshot_sent_us = now_us;
  members_refresh (control);
  newest_revision_update (control, now_us);
  accounts = sgr_config_state_accounts (sgr_control_config_state (control->config));
  if (accounts != NULL && accounts->is_in_use)
    fleet_refresh (control, now_us);
  sgr_control_config_members_update (control->config, control->members, control->member_count);
  sgr_control_probe_update (control->probe,
                            sgr_config_state_policy (sgr_control_config_state (control->config),
                                                     control->announce.local.service));
  sgr_control_evacuation_members_update (control->evacuation, control->members,
                                         control->member_count);
  /* Without a snapshot, the data task has no target to send calls to and admits none. */
  if (sgr_control_evacuation_may_serve (control->evacuation))
    sgr_data_task_snapshot_send (control->data, sgr_control_snapshot_build (control));
}

void
sgr_control_snapshot_now (sgr_control_t *control)
{
  sgr_timer_arm (control->timers, &control->snapshot_timer, sgr_clock_monotonic_us ());
}

void
sgr_control_snapshot_schedule (sgr_control_t *control)
{
  uint64_t due_us = sgr_clock_monotonic_us () + SNAPSHOT_DELAY_US;

  if (control->data == NULL || control->snapshot_timer.position != 0)
    return;
  if (due_us < control->snapshot_sent_us + SNAPSHOT_INTERVAL_MIN_US)
    due_us = control->snapshot_sent_us + SNAPSHOT_INTERVAL_MIN_US;
  sgr_timer_arm (control->timers, &control->snapshot_timer, due_us);
}

static void
on_member_changed (void *ctx, const sgr_member_t *member)
{
  sgr_control_t *control = ctx;
  static const char *const status_names[] = { "alive", "suspect", "dead", "left" };

  sgr_log_debug ("member-changed", "member=%s status=%s service=%s target=%s", member->name,
                 status_names[member->status], member->service,
                 sgr_target_state_name (member->target_state));
  if (control->config != NULL)
    sgr_control_config_member_changed (control->config, member);
  /* The data task must know at once that its configuration is not the newest any more. */
  if (control->data != NULL && member->status <= SGR_MEMBER_SUSPECT
      && member->config_revision > control->newest_revision)
    sgr_control_snapshot_now (control);
  else
    sgr_control_snapshot_schedule (control);
}

/* Whether the data task hangs, so that callers get no answers. */
static bool
is_data_task_hung (const sgr_control_t *control)
{
  return control->data_checks >= DATA_CHECKS_MAX;
}

bool
sgr_control_is_ready (const sgr_control_t *control)
{
  bool has_config = sgr_config_state_revision (sgr_control_config_state (control->config)) > 0;
  bool has_members = control->member_count > 1
                     || sgr_clock_monotonic_us () >= control->started_us + READY_WITHOUT_PEERS_US;

  return has_config && has_members && !control->is_stopping && !is_data_task_hung (control)
         && sgr_control_evacuation_may_serve (control->evacuation);
}

static void
data_task_check (sgr_control_t *control)
{
  uint64_t ticks = sgr_counter_get (sgr_data_task_ticks_counter (control->data));
  bool was_hung = is_data_task_hung (control);

  control->data_checks = ticks != control->data_ticks ? 0 : control->data_checks + 1;
  control->data_ticks = ticks;
  if (!was_hung && is_data_task_hung (control))
    sgr_log_error ("data-task-hung", "checks=%u", control->data_checks);
  else if (was_hung && !is_data_task_hung (control))
    sgr_log_info ("data-task-runs", "ticks=%lu", (unsigned long)ticks);
}

static void
on_log_timer (void *ctx, uint64_t now_us)
{
  sgr_control_t *control = ctx;

  data_task_check (control);
  sgr_log_flush ();
  sgr_timer_arm (control->timers, &control->log_timer, now_us + LOG_FLUSH_US);
}

static void
on_stop_timer (void *ctx, uint64_t now_us)
{
  sgr_control_t *control = ctx;

  control->is_stopped = true;
}

static void
stop_if_drained (sgr_control_t *control)
{
  uint64_t due_us = control->leave_us + LEAVE_SPREAD_US;

  if (control->is_drained)
    sgr_timer_arm (control->timers, &control->stop_timer, due_us);
}

/* Starts the graceful shutdown. The control task ends when the data task has drained and the leave
   announcement has had time to spread. */
static void
stop_begin (sgr_control_t *control)
{
  if (control->is_stopping)
    return;
  control->is_stopping = true;
  control->leave_us = sgr_clock_monotonic_us ();
  sgr_log_info ("stopping", "reason=signal");
  sgr_membership_leave (membership_of (control), control->leave_us);
  sgr_data_task_drain (control->data);
}

/* Applies only the log level. The other settings determine open sockets and the record that other
   nodes hold of this node; a change of them takes effect at the next start. */
static void
settings_reload (sgr_control_t *control)
{
  static sgr_settings_t settings;
  sgr_buffer_t errors = { 0 };

  if (sgr_settings_load (&settings, control->settings_path, &errors) == SGR_OK)
    {
      sgr_log_setup (control->settings->name, settings.log_level);
      sgr_log_info ("settings-reloaded", "in_force=log.level");
    }
  else
    {
      sgr_buffer_append (&errors, "", 1);
      sgr_log_error ("settings-refused", "reason=\"%s\"", (const char *)errors.bytes);
    }
  sgr_buffer_release (&errors);
}

static void
on_signal (h2o_socket_t *sock, const char *err)
{
  struct signalfd_siginfo info;

  while (read (h2o_socket_get_fd (sock), &info, sizeof info) == (ssize_t)sizeof info)
    {
      if (info.ssi_signo == SIGHUP)
        settings_reload (sock->data);
      else
        stop_begin (sock->data);
    }
}

static void
drain_complete (sgr_control_t *control, size_t open_calls)
{
  sgr_log_info ("drained", "calls=%zu", open_calls);
  control->is_drained = true;
  stop_if_drained (control);
}

static void
on_message (void *ctx, int kind, void *message)
{
  sgr_control_t *control = ctx;

  switch ((message_kind_t)kind)
    {
    case MESSAGE_KEY_BIND:
      sgr_control_keys_bind (control->keys, message);
      break;
    case MESSAGE_TARGET_UNREACHABLE:
      /* If the target still runs, its next announcement registers it again. */
      if (sgr_announce_drop (&control->announce))
        sgr_control_target_changed (control);
      break;
    case MESSAGE_DRAINED:
      drain_complete (control, *(size_t *)message);
      free (message);
      break;
    }
}

static void
on_drained (void *ctx, size_t open_calls)
{
  size_t *message = malloc (sizeof *message);

  sgr_invariant (message != NULL);
  *message = open_calls;
  sgr_mailbox_send (((sgr_control_t *)ctx)->mailbox, MESSAGE_DRAINED, message);
}

static void
on_key_bind (void *ctx, sgr_data_key_bind_request_t *bind)
{
  sgr_mailbox_send (((sgr_control_t *)ctx)->mailbox, MESSAGE_KEY_BIND, bind);
}

static void
on_target_unreachable (void *ctx)
{
  sgr_mailbox_send (((sgr_control_t *)ctx)->mailbox, MESSAGE_TARGET_UNREACHABLE, NULL);
}

static const sgr_data_task_events_t data_events = {
  .drained = on_drained,
  .key_bind = on_key_bind,
  .target_unreachable = on_target_unreachable,
};

static sgr_result_t
signals_open (sgr_control_t *control)
{
  sigset_t set;
  int fd;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  /* Must precede the start of the data task, whose thread inherits the signal mask. */
  if (pthread_sigmask (SIG_BLOCK, &set, NULL) != 0)
    return SGR_ERR_IO;
  fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0)
    return SGR_ERR_IO;
  control->signals = h2o_evloop_socket_create (control->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  control->signals->data = control;
  h2o_socket_read_start (control->signals, on_signal);
  return SGR_OK;
}

static sgr_result_t
membership_open (sgr_control_t *control, sgr_buffer_t *errors)
{
  const sgr_settings_t *settings = control->settings;
  sgr_membership_options_t options;
  sgr_result_t result;

  sgr_membership_options_init (&options);
  memcpy (options.self.name, settings->name, sizeof options.self.name);
  memcpy (options.self.region, settings->region, sizeof options.self.region);
  memcpy (options.self.failure_domain, settings->failure_domain,
          sizeof options.self.failure_domain);
  options.self.boot = control->boot;
  /* Whole seconds would not order two boots of one node that begin within the same second. */
  options.self.boot_time_ms = sgr_clock_wall_ms ();
  options.self.data_address = settings->advertised_peers;
  options.self.control_address = settings->control;
  options.seed = control->boot;
  options.budget_bytes_per_s = (uint32_t)settings->membership_bytes_per_s;
  result = sgr_membership_io_create (control->loop, &options, on_member_changed, control,
                                     &control->membership);
  if (result != SGR_OK)
    {
      sgr_buffer_printf (errors, "listen.control: membership cannot start: %s, %s\n",
                         sgr_result_name (result), strerror (errno));
      return result;
    }
  for (size_t i = 0; i < settings->contact_count; i++)
    sgr_membership_contact_add (membership_of (control), &settings->contacts[i]);
  return SGR_OK;
}

static void
membership_counter_print (sgr_buffer_t *text, const char *name, uint64_t value)
{
  sgr_buffer_printf (text, "# TYPE siskingrade_membership_%s counter\n", name);
  sgr_buffer_printf (text, "siskingrade_membership_%s %lu\n", name, value);
}

void
sgr_control_metrics_print (sgr_control_t *control, sgr_buffer_t *text)
{
  const sgr_membership_counters_t *counters = sgr_membership_counters (membership_of (control));

  sgr_metrics_print (sgr_data_task_metrics (control->data), text);
  sgr_metrics_print (control->metrics, text);
  sgr_control_config_metrics_print (control->config, text);
  sgr_control_evacuation_metrics_print (control->evacuation, text);
  sgr_buffer_printf (text,
                     "# TYPE siskingrade_config_newest_revision gauge\n"
                     "siskingrade_config_newest_revision %lu\n",
                     control->newest_revision);
  sgr_buffer_printf (text, "# TYPE siskingrade_members gauge\nsiskingrade_members %zu\n",
                     sgr_membership_size (membership_of (control)));
  membership_counter_print (text, "messages_sent_total", counters->messages_sent);
  membership_counter_print (text, "messages_received_total", counters->messages_received);
  membership_counter_print (text, "bytes_sent_total", counters->bytes_sent);
  membership_counter_print (text, "bytes_received_total", counters->bytes_received);
  membership_counter_print (text, "malformed_total", counters->malformed);
  membership_counter_print (text, "send_errors_total",
                            sgr_membership_io_send_errors (control->membership));
  membership_counter_print (text, "suspicions_total", counters->suspicions);
  membership_counter_print (text, "refutations_total", counters->refutations);
  membership_counter_print (text, "deaths_total", counters->deaths);
}

static void
config_resources_add (void *ctx, h2o_hostconf_t *host)
{
  sgr_control_t *control = ctx;

  control->config = sgr_control_config_create (control, host);
}

static sgr_result_t
components_open (sgr_control_t *control, sgr_buffer_t *errors)
{
  sgr_result_t result = signals_open (control);

  if (result != SGR_OK)
    {
      sgr_buffer_printf (errors, "signals: %s\n", strerror (errno));
      return result;
    }
  result = membership_open (control, errors);
  if (result != SGR_OK)
    return result;
  control->http = sgr_control_http_create (control, config_resources_add, control, errors);
  if (control->http == NULL)
    return SGR_ERR_IO;
  control->keys = sgr_control_keys_create (control, sgr_control_config_store (control->config));
  control->contacts
      = sgr_control_contacts_create (control, sgr_control_config_store (control->config));
  control->confirm = sgr_control_confirm_create (control);
  control->departures
      = sgr_control_departures_create (control, sgr_control_config_store (control->config));
  control->evacuation
      = sgr_control_evacuation_create (control, sgr_control_config_store (control->config));
  control->data = sgr_data_task_start (control->settings, control->adapter->fields, control->boot,
                                       &data_events, control, errors);
  if (control->data == NULL)
    return SGR_ERR_IO;
  control->probe = sgr_control_probe_create (control);
  return SGR_OK;
}

const sgr_adapter_t sgr_adapter_default = {
  .fields = &sgr_call_fields_default,
  .store_create = sgr_store_http_open,
  .store_destroy = sgr_store_http_destroy,
  .evacuation_prefix = "evacuations/",
};

int
sgr_control_task_run (const char *settings_path, const sgr_settings_t *settings,
                      const sgr_adapter_t *adapter)
{
  sgr_control_t control
      = { .settings_path = settings_path, .settings = settings, .adapter = adapter };
  sgr_buffer_t errors = { 0 };
  int status = 0;

  if (settings->is_approved_outside != (adapter->config != NULL))
    {
      fprintf (stderr, "siskingraded: approval: this program requires the value \"%s\"\n",
               adapter->config != NULL ? "outside" : "owners");
      return EX_CONFIG;
    }
  if (settings->are_services_named && adapter->requires_routes)
    {
      fprintf (stderr, "siskingraded: routing: this program requires the value \"by-route\"\n");
      return EX_CONFIG;
    }
  /* A write to a connection that the other side has closed fails with EPIPE instead of ending the
     process. */
  signal (SIGPIPE, SIG_IGN);
  randombytes_buf (&control.boot, sizeof control.boot);
  control.loop = h2o_evloop_create ();
  control.timers = sgr_timer_heap_create ();
  control.metrics = sgr_metrics_create ();
  control.mailbox = sgr_mailbox_create (control.loop, on_message, &control);
  control.started_us = sgr_clock_monotonic_us ();
  control.announce_timer = (sgr_timer_t){ .fire = sgr_control_announce_timer, .ctx = &control };
  control.log_timer = (sgr_timer_t){ .fire = on_log_timer, .ctx = &control };
  control.snapshot_timer = (sgr_timer_t){ .fire = on_snapshot_timer, .ctx = &control };
  control.stop_timer = (sgr_timer_t){ .fire = on_stop_timer, .ctx = &control };
  if (components_open (&control, &errors) != SGR_OK)
    {
      sgr_buffer_append (&errors, "", 1);
      fprintf (stderr, "siskingraded: %s", (const char *)errors.bytes);
      status = EX_OSERR;
      goto out;
    }
  sgr_log_info ("started", "region=%s failure_domain=%s routing=%s", settings->region,
                settings->failure_domain, sgr_settings_routing_name (settings));
  sgr_log_buffer (true);
  sgr_timer_arm (control.timers, &control.log_timer, sgr_clock_monotonic_us ());
  sgr_control_snapshot_schedule (&control);
  sgr_task_loop_run (control.loop, control.timers, &control.is_stopped);
  sgr_data_task_stop (control.data);
  sgr_data_task_join (control.data);
  sgr_log_info ("stopped", "status=0");
  sgr_log_buffer (false);

out:
  sgr_control_http_destroy (control.http);
  sgr_control_probe_destroy (control.probe);
  sgr_control_evacuation_destroy (control.evacuation);
  sgr_control_departures_destroy (control.departures);
  sgr_control_confirm_destroy (control.confirm);
  sgr_control_contacts_destroy (control.contacts);
  sgr_control_keys_destroy (control.keys);
  sgr_control_config_destroy (control.config);
  free (control.members);
  sgr_membership_io_destroy (control.membership);
  sgr_metrics_destroy (control.metrics);
  sgr_timer_heap_destroy (control.timers);
  sgr_buffer_release (&errors);
  return status;
}
