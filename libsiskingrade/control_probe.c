#include "control_probe.h"

#include <stdlib.h>
#include <string.h>

#include "http_fetch.h"
#include "log.h"
#include "probe_budget.h"

/* Budgets hold in every window of this length, so that a service with fewer probes a second than
   targets can be probed at all. */
#define WINDOW_US (10 * SGR_USEC_PER_SEC)
/* Reserved for one probe: connection, request and answer with the headers of IP and TCP. */
#define PROBE_BYTES 1500
/* Longest body of an answer that keeps a probe within its reserve. */
#define BODY_MAX_BYTES 512
#define PROBE_TIMEOUT_MS 1000
#define INTERVAL_MIN_US (1 * SGR_USEC_PER_SEC)
#define FAILURES_MAX 3

struct sgr_control_probe_t
{
  sgr_control_t *control;
  sgr_http_fetcher_t *fetcher;
  sgr_probe_budget_t budget;
  bool has_budget;
  char service[SGR_NAME_MAX + 1];
  sgr_timer_t timer;
  uint32_t reservation;
  bool is_active;
  unsigned failures;
  uint64_t completed_before;
  bool is_failing;
  const sgr_counter_t *completed;
  sgr_counter_t *sent;
  sgr_counter_t *failed;
  sgr_counter_t *bytes;
};

static void
failing_set (sgr_control_probe_t *probe, bool is_failing)
{
  if (probe->is_failing == is_failing)
    return;
  probe->is_failing = is_failing;
  sgr_log_warn ("target-probe", "service=%s ready=%s", probe->service, is_failing ? "no" : "yes");
  sgr_control_local_changed (probe->control);
}

/* Without probes no success could end the failing state. */
static void
failing_clear (sgr_control_probe_t *probe)
{
  probe->failures = 0;
  failing_set (probe, false);
}

static void
result_take (sgr_control_probe_t *probe, bool is_ok)
{
  if (is_ok)
    {
      probe->failures = 0;
      failing_set (probe, false);
      return;
    }
  sgr_counter_add (probe->failed, 1);
  if (probe->failures++ == 0)
    probe->completed_before = sgr_counter_get (probe->completed);
  if (sgr_counter_get (probe->completed) != probe->completed_before)
    probe->failures = 1;
  probe->completed_before = sgr_counter_get (probe->completed);
  if (probe->failures >= FAILURES_MAX)
    failing_set (probe, true);
}

static void
next_arm (sgr_control_probe_t *probe, uint64_t now_us)
{
  uint64_t next_us = sgr_probe_budget_next_us (&probe->budget, now_us, PROBE_BYTES);

  if (next_us == SGR_TIMER_NEVER)
    return;
  if (next_us < now_us + INTERVAL_MIN_US)
    next_us = now_us + INTERVAL_MIN_US;
  sgr_timer_arm (probe->control->timers, &probe->timer, next_us);
}

static void
on_reply (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  sgr_control_probe_t *probe = ctx;
  uint64_t now_us = sgr_clock_monotonic_us ();

  probe->is_active = false;
  sgr_probe_budget_release (&probe->budget, now_us, probe->reservation);
  if (probe->control->announce.local.service[0] == '\0')
    return;
  result_take (probe, reply->error == NULL && reply->status < 500);
  next_arm (probe, now_us);
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  sgr_control_probe_t *probe = ctx;
  const sgr_snapshot_local_t *local = &probe->control->announce.local;
  sgr_http_fetch_request_t request = { .method = "GET" };

  if (!probe->has_budget || probe->is_active || local->service[0] == '\0'
      || local->probe_path[0] == '\0' || probe->control->is_stopping)
    return;
  if (sgr_probe_budget_reserve (&probe->budget, now_us, PROBE_BYTES, &probe->reservation) != SGR_OK)
    {
      next_arm (probe, now_us);
      return;
    }
  probe->is_active = true;
  sgr_counter_add (probe->sent, 1);
  sgr_counter_add (probe->bytes, PROBE_BYTES);
  request.address = local->address;
  request.path = local->probe_path;
  sgr_http_fetch_start (probe->fetcher, &request, on_reply, probe);
}

/* The budget is divided by targets_max, so that only that many targets may probe: those with the
   lowest node ids, if there are more. */
static bool
is_entitled (const sgr_control_probe_t *probe, const sgr_policy_t *policy)
{
  const sgr_control_t *control = probe->control;
  sgr_node_id_t self = sgr_node_id_of (control->settings->name);
  uint32_t lower = 0;

  for (size_t i = 0; i < control->member_count; i++)
    {
      if (control->members[i].id < self
          && strcmp (control->members[i].service, policy->service) == 0)
        lower++;
    }
  return lower < policy->targets_max;
}

void
sgr_control_probe_update (sgr_control_probe_t *probe, const sgr_policy_t *policy)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_probe_budget_config_t config = { .window_us = WINDOW_US };
  bool is_same;

  if (policy == NULL || !is_entitled (probe, policy))
    {
      probe->has_budget = false;
      failing_clear (probe);
      return;
    }
  is_same = strcmp (probe->service, policy->service) == 0;
  config.calls_per_s = policy->probe_calls_per_s;
  config.bytes_per_s = policy->probe_bytes_per_s;
  config.targets_max = policy->targets_max;
  memcpy (probe->service, policy->service, sizeof probe->service);
  /* A changed divisor would break the sum over the service's gates; the bucket starts anew, empty
     for more than a window. */
  if (probe->is_active)
    probe->has_budget = sgr_probe_budget_update (&probe->budget, &config) == SGR_OK;
  else if (!is_same || sgr_probe_budget_update (&probe->budget, &config) != SGR_OK)
    probe->has_budget = sgr_probe_budget_init (&probe->budget, &config, now_us) == SGR_OK;
  else
    probe->has_budget = true;
  if (probe->is_active)
    return;
  if (!probe->has_budget
      || sgr_probe_budget_next_us (&probe->budget, now_us, PROBE_BYTES) == SGR_TIMER_NEVER)
    failing_clear (probe);
  else if (probe->timer.position == 0)
    next_arm (probe, now_us);
}

bool
sgr_control_probe_is_failing (const sgr_control_probe_t *probe)
{
  return probe->is_failing;
}

sgr_control_probe_t *
sgr_control_probe_create (sgr_control_t *control)
{
  sgr_control_probe_t *probe = calloc (1, sizeof *probe);

  sgr_invariant (probe != NULL);
  probe->control = control;
  probe->fetcher = sgr_http_fetcher_create (control->loop, PROBE_TIMEOUT_MS, BODY_MAX_BYTES);
  probe->timer = (sgr_timer_t){ .fire = on_timer, .ctx = probe };
  probe->completed = sgr_data_task_completed (control->data);
  probe->sent = sgr_metrics_counter (control->metrics, "siskingrade_probe_calls_total", "");
  probe->failed = sgr_metrics_counter (control->metrics, "siskingrade_probe_failures_total", "");
  probe->bytes = sgr_metrics_counter (control->metrics, "siskingrade_probe_bytes_total", "");
  return probe;
}

void
sgr_control_probe_destroy (sgr_control_probe_t *probe)
{
  if (probe == NULL)
    return;
  sgr_timer_cancel (probe->control->timers, &probe->timer);
  sgr_http_fetcher_destroy (probe->fetcher);
  free (probe);
}
