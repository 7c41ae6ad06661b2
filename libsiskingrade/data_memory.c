#include "data_memory.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "http1_server.h"
#include "log.h"

/* Time without progress after which a holder makes room for a new body. A caller inside the limits
   of the platform may pause for 15 s, but only where the memory is not needed. */
#define STALL_US (1 * SGR_USEC_PER_SEC)
/* Part of the budget that bodies of more than SGR_MEMORY_SMALL_BYTES may fill. */
#define BODY_PERCENT 75
/* Part of the budget for recorded answers of attempts with a key. Those without a key may take
   another quarter of it. */
#define ANSWERS_PERCENT 12
/* Bytes that a caller may need beside one body of the longest length: heads and answers. */
#define SHARE_BESIDE_BODY_BYTES (1024U * 1024)
/* Seconds without a refusal or drop after which the memory does not count as short any more. */
#define SHORT_END_S 10

size_t
sgr_data_memory_answers_max (const sgr_data_task_t *task, size_t default_bytes)
{
  size_t bytes = task->settings->memory_budget_bytes * ANSWERS_PERCENT / 100;

  return bytes < default_bytes ? bytes : default_bytes;
}

/* Bytes of the budget without the recorded answers, which the ledger of the gate bounds itself. */
static uint64_t
limit_bytes (const sgr_data_task_t *task)
{
  return task->settings->memory_budget_bytes
         - task->settings->memory_budget_bytes * ANSWERS_PERCENT / 100 * 5 / 4;
}

size_t
sgr_data_memory_body_max (const sgr_data_task_t *task)
{
  uint64_t bytes = limit_bytes (task) * BODY_PERCENT / 100;

  return bytes < task->settings->request_body_max_bytes ? bytes
                                                        : task->settings->request_body_max_bytes;
}

size_t
sgr_data_connections_max (const sgr_data_task_t *task)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY
      || limit.rlim_cur / 4 * 3 > task->settings->connections_max)
    return task->settings->connections_max;
  return limit.rlim_cur / 4 * 3;
}

bool
sgr_data_memory_body_admit (sgr_data_task_t *task, h2o_req_t *req, sgr_memory_holder_t *memory)
{
  uint64_t now_us = sgr_clock_monotonic_us ();

  if (req->entity.len == 0 || sgr_http1_server_is_own (req->conn))
    return true;
  memory->kind = SGR_MEMORY_REQUEST;
  memory->address = sgr_data_caller_address (req);
  sgr_memory_holder_begin (memory, task->memory, now_us);
  return sgr_memory_budget_admit (memory, req->entity.len, now_us) == SGR_OK;
}

void
sgr_data_memory_room_made (void *ctx)
{
  sgr_data_task_t *task = ctx;

  sgr_counter_add (
      sgr_metrics_counter (task->metrics, "siskingrade_connections_closed_for_room_total", ""), 1);
}

static void
on_drops_pending (void *ctx)
{
  sgr_data_task_t *task = ctx;

  sgr_timer_arm (task->timers, &task->memory_timer, sgr_clock_monotonic_us ());
}

static void
on_dropped (void *ctx, const sgr_memory_holder_t *holder)
{
  sgr_data_task_t *task = ctx;
  char labels[32];

  snprintf (labels, sizeof labels, "kind=\"%s\"", sgr_memory_kind_name (holder->kind));
  sgr_counter_add (sgr_metrics_counter (task->metrics, "siskingrade_memory_dropped_total", labels),
                   1);
  task->memory_events++;
}

static void
on_memory_timer (void *ctx, uint64_t now_us)
{
  sgr_data_task_t *task = ctx;

  sgr_memory_budget_drop_run (task->memory, on_dropped, task);
}

void
sgr_data_memory_create (sgr_data_task_t *task)
{
  const sgr_settings_t *settings = task->settings;
  sgr_memory_options_t options = { .limit_bytes = limit_bytes (task),
                                   .stall_us = STALL_US,
                                   .drops_pending = on_drops_pending,
                                   .ctx = task };

  options.body_bytes = options.limit_bytes * BODY_PERCENT / 100;
  options.share_bytes = options.limit_bytes * settings->memory_share_percent / 100;
  if (options.share_bytes < sgr_data_memory_body_max (task) + SHARE_BESIDE_BODY_BYTES)
    options.share_bytes = sgr_data_memory_body_max (task) + SHARE_BESIDE_BODY_BYTES;
  task->memory = sgr_memory_budget_create (&options);
  task->memory_timer = (sgr_timer_t){ .fire = on_memory_timer, .ctx = task };
  if (sgr_data_memory_body_max (task) < settings->request_body_max_bytes)
    sgr_log_warn ("memory-budget-small",
                  "budget_bytes=%lu request_body_max_bytes=%lu effective_body_max_bytes=%zu",
                  settings->memory_budget_bytes, settings->request_body_max_bytes,
                  sgr_data_memory_body_max (task));
}

void
sgr_data_memory_destroy (sgr_data_task_t *task)
{
  if (task->memory == NULL)
    return;
  sgr_timer_cancel (task->timers, &task->memory_timer);
  sgr_memory_budget_destroy (task->memory);
  task->memory = NULL;
}

void
sgr_data_memory_refused (sgr_data_task_t *task)
{
  sgr_counter_add (
      sgr_metrics_counter (task->metrics, "siskingrade_memory_refused_total", "kind=\"request\""),
      1);
  task->memory_events++;
}

void
sgr_data_memory_metrics_set (sgr_data_task_t *task)
{
  uint64_t used = sgr_memory_budget_used (task->memory);

  sgr_counter_set (sgr_metrics_counter (task->metrics, "siskingrade_memory_bytes", ""), used);
  sgr_counter_set (sgr_metrics_counter (task->metrics, "siskingrade_memory_peak_bytes", ""),
                   sgr_memory_budget_peak (task->memory));
  sgr_counter_set (sgr_metrics_counter (task->metrics, "siskingrade_memory_budget_bytes", ""),
                   task->settings->memory_budget_bytes);
  if (task->memory_events != task->memory_events_seen)
    {
      if (task->memory_short_s == 0)
        sgr_log_warn ("memory-short", "used_bytes=%lu budget_bytes=%lu refused_or_dropped=%lu",
                      used, task->settings->memory_budget_bytes,
                      task->memory_events - task->memory_events_seen);
      task->memory_events_seen = task->memory_events;
      task->memory_short_s = SHORT_END_S;
    }
  else if (task->memory_short_s > 0 && --task->memory_short_s == 0)
    sgr_log_info ("memory-available", "used_bytes=%lu budget_bytes=%lu", used,
                  task->settings->memory_budget_bytes);
}

uint32_t
sgr_data_caller_address (h2o_req_t *req)
{
  struct sockaddr_storage address;

  if (req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&address) == 0
      || address.ss_family != AF_INET)
    return 0;
  return ntohl (((struct sockaddr_in *)&address)->sin_addr.s_addr);
}

void
sgr_data_caller_disconnect (h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  if (sock != NULL)
    shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
}
