#include "data_task.h"

#include <semaphore.h>
#include <stdlib.h>
#include <string.h>

#include "data_account.h"
#include "data_call.h"
#include "data_gate.h"
#include "data_http.h"
#include "data_internal.h"
#include "data_keys.h"
#include "data_link.h"
#include "data_memory.h"
#include "data_peer.h"
#include "data_quota.h"
#include "data_service.h"
#include "stop_plan.h"
#include "task_loop.h"

/* Interval of pings on a connection between nodes while no attempt waits on it. */
#define IDLE_PING_INTERVAL_US (15 * SGR_USEC_PER_SEC)
/* Interval at which a drain checks whether all calls have ended. */
#define DRAIN_POLL_INTERVAL_US (5 * SGR_USEC_PER_MSEC)
/* The gate and the balancers keep counters of their own. They are copied into the registry of the
   task at this interval. */
#define METRICS_INTERVAL_US (1 * SGR_USEC_PER_SEC)

typedef enum
{
  MESSAGE_SNAPSHOT,
  MESSAGE_KEY_BOUND,
  MESSAGE_DRAIN,
  MESSAGE_STOP,
} message_kind_t;

const sgr_member_t *
sgr_data_member_find (const sgr_data_task_t *task, sgr_node_id_t node)
{
  size_t low = 0;
  size_t high = task->snapshot != NULL ? task->snapshot->member_count : 0;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      const sgr_member_t *member = &task->snapshot->members[middle];

      if (member->id == node)
        return member;
      if (member->id < node)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

bool
sgr_data_member_is_far (const sgr_data_task_t *task, const sgr_member_t *member)
{
  return strcmp (task->settings->failure_domain, member->failure_domain) != 0;
}

static void
routes_rebuild (sgr_data_task_t *task)
{
  const sgr_snapshot_t *snapshot = task->snapshot;
  sgr_route_table_t *old = task->routes;

  task->routes = sgr_route_table_create (snapshot->routes, snapshot->route_count, old, &task->rng);
  sgr_route_table_destroy (old);
}

static void
snapshot_apply (sgr_data_task_t *task, sgr_snapshot_t *snapshot)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_snapshot_t *old = task->snapshot;
  bool is_new_revision = old == NULL || old->config_revision != snapshot->config_revision;

  task->snapshot = snapshot;
  if (is_new_revision)
    {
      routes_rebuild (task);
      sgr_data_accounts_rebuild (task);
    }
  else
    {
      /* As the routes and accounts, what holds for them is that of the revision. */
      snapshot->has_accounts = old->has_accounts;
      snapshot->has_hidden_routes = old->has_hidden_routes;
      snapshot->has_hidden_keys = old->has_hidden_keys;
    }
  sgr_data_services_update (task->services, old, now_us);
  sgr_data_gate_update (task->gate, now_us);
  sgr_data_quotas_update (task->quotas, is_new_revision);
  task->had_snapshot = true;
  sgr_snapshot_destroy (old);
}

static bool
is_idle (const sgr_data_task_t *task)
{
  return task->calls == 0 && sgr_data_http_request_count (task->http) == 0
         && sgr_data_gate_is_idle (task->gate);
}

static void
on_metrics_timer (void *ctx, uint64_t now_us)
{
  sgr_data_task_t *task = ctx;

  sgr_data_gate_metrics_set (task->gate);
  sgr_data_services_metrics_set (task->services, task->metrics);
  sgr_data_memory_metrics_set (task);
  sgr_data_quotas_metrics_set (task->quotas);
  sgr_counter_add (task->ticks, 1);
  sgr_timer_arm (task->timers, &task->metrics_timer, now_us + METRICS_INTERVAL_US);
}

/* Whether the connections that may still deliver answers are closed. */
static bool
are_connections_closed (const sgr_data_task_t *task)
{
  return sgr_data_peers_count (task->peers) == 0
         && sgr_data_http_connection_count (task->http) == 0;
}

static void
on_drain_timer (void *ctx, uint64_t now_us)
{
  sgr_data_task_t *task = ctx;

  if (!task->is_finishing && is_idle (task))
    {
      task->is_finishing = true;
      sgr_data_peers_finish (task->peers);
    }
  if ((task->is_finishing && are_connections_closed (task)) || now_us >= task->drain_deadline_us)
    task->events.drained (task->events_ctx, task->is_finishing ? 0 : task->calls);
  else
    sgr_timer_arm (task->timers, &task->drain_timer, now_us + DRAIN_POLL_INTERVAL_US);
}

/* Callers have had the time until here to move to other nodes; refuses their requests from now on.
 */
static void
on_leave_timer (void *ctx, uint64_t now_us)
{
  sgr_data_task_t *task = ctx;

  task->is_draining = true;
  sgr_data_http_drain (task->http);
  sgr_timer_arm (task->timers, &task->drain_timer, now_us + DRAIN_POLL_INTERVAL_US);
}

static void
drain_begin (sgr_data_task_t *task)
{
  sgr_stop_plan_t plan = sgr_stop_plan (task->settings);
  uint64_t now_us = sgr_clock_monotonic_us ();

  if (task->drain_deadline_us != 0)
    return;
  task->calls_end_us = now_us + plan.calls_end_ms * SGR_USEC_PER_MSEC;
  task->drain_deadline_us = now_us + plan.drain_end_ms * SGR_USEC_PER_MSEC;
  sgr_data_calls_deadline_limit (task, task->calls_end_us);
  sgr_data_gate_drain (task->gate, now_us);
  sgr_data_http_leave (task->http);
  sgr_timer_arm (task->timers, &task->leave_timer, now_us + plan.refuse_ms * SGR_USEC_PER_MSEC);
}

static void
on_message (void *ctx, int kind, void *message)
{
  sgr_data_task_t *task = ctx;

  switch ((message_kind_t)kind)
    {
    case MESSAGE_SNAPSHOT:
      snapshot_apply (task, message);
      break;
    case MESSAGE_KEY_BOUND:
      sgr_data_keys_bind_reply_handle (task->keys, message);
      free (message);
      break;
    case MESSAGE_DRAIN:
      drain_begin (task);
      break;
    case MESSAGE_STOP:
      task->is_stopped = true;
      break;
    }
}

static void
load_report_fill (void *ctx, Sgr__Pb__LoadReport *load)
{
  sgr_data_task_t *task = ctx;

  sgr_data_gate_load_report (task->gate, load);
}

static void
peer_conn_env_init (sgr_data_task_t *task)
{
  sgr_peer_conn_env_t *env = &task->conn_env;

  env->loop = task->loop;
  env->timers = task->timers;
  env->node = task->node;
  env->boot = task->boot;
  env->heartbeat_us = task->settings->heartbeat_ms * SGR_USEC_PER_MSEC;
  env->idle_ping_us = IDLE_PING_INTERVAL_US;
  env->silence_us = task->settings->silence_ms * SGR_USEC_PER_MSEC;
  env->load_fill = load_report_fill;
  env->load_ctx = task;
  env->memory = task->memory;
  env->bytes_in
      = sgr_metrics_counter (task->metrics, "siskingrade_peer_bytes_total", "direction=\"in\"");
  env->bytes_out
      = sgr_metrics_counter (task->metrics, "siskingrade_peer_bytes_total", "direction=\"out\"");
  for (int i = 0; i < SGR_PEER_TRAFFIC_COUNT; i++)
    {
      char labels[64];

      snprintf (labels, sizeof labels, "kind=\"%s\"",
                sgr_peer_traffic_name ((sgr_peer_traffic_t)i));
      env->far_bytes_out[i]
          = sgr_metrics_counter (task->metrics, "siskingrade_peer_far_bytes_total", labels);
    }
  for (int i = 0; i < SGR_PEER_CLOSE_COUNT; i++)
    {
      char labels[64];

      snprintf (labels, sizeof labels, "reason=\"%s\"", sgr_peer_close_name ((sgr_peer_close_t)i));
      env->closed[i] = sgr_metrics_counter (task->metrics, "siskingrade_peer_closed_total", labels);
    }
}

/**
 * struct startup_t - result of opening the sockets, passed from the new thread to its creator
 * @task: the task
 * @errors: receives the reason of a failure
 * @is_open: whether all sockets are open
 * @finished: posted when @is_open is set
 */
typedef struct
{
  sgr_data_task_t *task;
  sgr_buffer_t *errors;
  bool is_open;
  sem_t finished;
} startup_t;

/* Opens the sockets in the thread that uses and closes them. h2o takes the buffers of sockets and
   of other objects from a pool of the calling thread and returns them to it without a lock, so
   another thread must neither create nor destroy these objects. */
static bool
data_task_open (sgr_data_task_t *task, sgr_buffer_t *errors)
{
  task->loop = h2o_evloop_create ();
  task->mailbox = sgr_mailbox_create (task->loop, on_message, task);
  sgr_data_memory_create (task);
  peer_conn_env_init (task);
  task->gate = sgr_data_gate_create (task);
  task->services = sgr_data_services_create (task);
  task->keys = sgr_data_keys_create (task);
  task->links = sgr_data_links_create (task);
  task->quotas = sgr_data_quotas_create (task);
  task->peers = sgr_data_peers_create (task, errors);
  if (task->peers != NULL)
    task->http = sgr_data_http_create (task, errors);
  sgr_timer_arm (task->timers, &task->metrics_timer, sgr_clock_monotonic_us ());
  return task->http != NULL;
}

static void
data_task_close (sgr_data_task_t *task)
{
  sgr_data_http_destroy (task->http);
  sgr_data_quotas_destroy (task->quotas);
  sgr_data_links_destroy (task->links);
  sgr_data_peers_destroy (task->peers);
  sgr_data_keys_destroy (task->keys);
  sgr_data_services_destroy (task->services);
  sgr_data_gate_destroy (task->gate);
  /* Each closed connection has a timer for time 0, which frees it. */
  sgr_timer_heap_run (task->timers, 0);
  sgr_data_memory_destroy (task);
}

static void *
thread_main (void *argument)
{
  startup_t *startup = argument;
  sgr_data_task_t *task = startup->task;
  bool is_open = data_task_open (task, startup->errors);

  startup->is_open = is_open;
  sem_post (
      &startup
           ->finished); /* thread_start() may return from now on, so @startup is no longer valid */
  if (is_open)
    sgr_task_loop_run (task->loop, task->timers, &task->is_stopped);
  data_task_close (task);
  return NULL;
}

static void
task_free (sgr_data_task_t *task)
{
  sgr_id_map_destroy (task->attempts);
  sgr_call_log_destroy (task->call_log);
  sgr_snapshot_destroy (task->snapshot);
  sgr_route_table_destroy (task->routes);
  sgr_account_table_destroy (task->accounts);
  sgr_id_map_destroy (task->account_counters);
  sgr_timer_heap_destroy (task->timers);
  sgr_metrics_destroy (task->metrics);
  free (task);
}

static bool
thread_start (sgr_data_task_t *task, sgr_buffer_t *errors)
{
  startup_t startup = { .task = task, .errors = errors };

  sem_init (&startup.finished, 0, 0);
  if (pthread_create (&task->thread, NULL, thread_main, &startup) != 0)
    {
      sgr_buffer_printf (errors, "cannot start a thread\n");
      sem_destroy (&startup.finished);
      return false;
    }
  while (sem_wait (&startup.finished) != 0)
    ; /* a signal interrupted the wait */
  if (!startup.is_open)
    pthread_join (task->thread, NULL);
  sem_destroy (&startup.finished);
  return startup.is_open;
}

sgr_data_task_t *
sgr_data_task_start (const sgr_settings_t *settings, const sgr_call_fields_t *fields,
                     sgr_boot_id_t boot, const sgr_data_task_events_t *events, void *ctx,
                     sgr_buffer_t *errors)
{
  sgr_data_task_t *task = calloc (1, sizeof *task);

  sgr_invariant (task != NULL);
  task->settings = settings;
  task->fields = fields;
  task->node = sgr_node_id_of (settings->name);
  task->boot = boot;
  task->events = *events;
  task->events_ctx = ctx;
  task->next_sequence = 1;
  task->timers = sgr_timer_heap_create ();
  task->metrics = sgr_metrics_create ();
  task->leave_timer = (sgr_timer_t){ .fire = on_leave_timer, .ctx = task };
  task->drain_timer = (sgr_timer_t){ .fire = on_drain_timer, .ctx = task };
  task->metrics_timer = (sgr_timer_t){ .fire = on_metrics_timer, .ctx = task };
  sgr_rng_seed (&task->rng, boot);
  task->attempts = sgr_id_map_create ();
  task->account_counters = sgr_id_map_create ();
  task->call_log = sgr_call_log_create ();
  task->ticks = sgr_metrics_counter (task->metrics, "siskingrade_data_task_ticks_total", "");
  task->completed = sgr_metrics_counter (task->metrics, "siskingrade_gate_completed_total", "");
  if (thread_start (task, errors))
    return task;
  task_free (task);
  return NULL;
}

void
sgr_data_task_snapshot_send (sgr_data_task_t *task, sgr_snapshot_t *snapshot)
{
  sgr_mailbox_send (task->mailbox, MESSAGE_SNAPSHOT, snapshot);
}

void
sgr_data_task_key_bind_reply_send (sgr_data_task_t *task, sgr_data_key_bind_reply_t *bound)
{
  sgr_mailbox_send (task->mailbox, MESSAGE_KEY_BOUND, bound);
}

void
sgr_data_task_drain (sgr_data_task_t *task)
{
  sgr_mailbox_send (task->mailbox, MESSAGE_DRAIN, NULL);
}

void
sgr_data_task_stop (sgr_data_task_t *task)
{
  sgr_mailbox_send (task->mailbox, MESSAGE_STOP, NULL);
}

void
sgr_data_task_join (sgr_data_task_t *task)
{
  pthread_join (task->thread, NULL);
  task_free (task);
}

const sgr_metrics_t *
sgr_data_task_metrics (const sgr_data_task_t *task)
{
  return task->metrics;
}

const sgr_counter_t *
sgr_data_task_ticks_counter (const sgr_data_task_t *task)
{
  return task->ticks;
}

const sgr_counter_t *
sgr_data_task_completed_counter (const sgr_data_task_t *task)
{
  return task->completed;
}
