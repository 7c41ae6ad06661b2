#include "control_probe.h"

#include <stdlib.h>
#include <string.h>

#include "http_fetch.h"
#include "log.h"
#include "probe_budget.h"

/* The probe budget of a service limits the probes in every window of this length. In a window of
   one second, the share of a target would be rounded down to no probe at all if the service has
   more targets than probes per second. */
#define BUDGET_WINDOW_US (10 * SGR_USEC_PER_SEC)
/* Bytes reserved for one probe: connection setup, request and answer, with IP and TCP headers. */
#define PROBE_BYTES 1500
/* Longest body of an answer with which a probe stays within PROBE_BYTES. */
#define BODY_MAX_BYTES 512
#define PROBE_TIMEOUT_MS 1000
#define INTERVAL_MIN_US (1 * SGR_USEC_PER_SEC)
/* Failed probes in a row after which the target counts as not ready. */
#define FAILURE_THRESHOLD 3

struct sgr_control_probe_t
{
  sgr_control_t *control;
  sgr_http_fetcher_t *fetcher;
  sgr_probe_budget_t budget;
  bool has_budget;
  char service[SGR_NAME_MAX + 1];
  sgr_timer_t timer;
  uint32_t reservation; /* of the probe in flight, see sgr_probe_budget_reserve() */
  bool is_active;       /* a probe is in flight */
  unsigned failures;
  uint64_t completed_at_failure; /* requests completed before the last failed probe */
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
  sgr_control_target_changed (probe->control);
}

/* Ends the failing state when no more probes are sent, since no successful probe could end it. */
static void
failing_state_clear (sgr_control_probe_t *probe)
{
  probe->failures = 0;
  failing_set (probe, false);
}

static void
result_record (sgr_control_probe_t *probe, bool is_ok)
{
  if (is_ok)
    {
      probe->failures = 0;
      failing_set (probe, false);
      return;
    }
  sgr_counter_add (probe->failed, 1);
  if (probe->failures++ == 0)
    probe->completed_at_failure = sgr_counter_get (probe->completed);
  if (sgr_counter_get (probe->completed) != probe->completed_at_failure)
    probe->failures = 1; /* the target has completed a request since the last failed probe */
  probe->completed_at_failure = sgr_counter_get (probe->completed);
  if (probe->failures >= FAILURE_THRESHOLD)
    failing_set (probe, true);
}

static void
next_probe_schedule (sgr_control_probe_t *probe, uint64_t now_us)
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
  result_record (probe, reply->error == NULL && reply->status < 500);
  next_probe_schedule (probe, now_us);
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  sgr_control_probe_t *probe = ctx;
  const sgr_local_target_t *local = &probe->control->announce.local;
  sgr_http_fetch_request_t request = { .method = "GET" };

  if (!probe->has_budget || probe->is_active || local->service[0] == '\0'
      || local->probe_path[0] == '\0' || probe->control->is_stopping)
    return;
  if (sgr_probe_budget_reserve (&probe->budget, now_us, PROBE_BYTES, &probe->reservation) != SGR_OK)
    {
      next_probe_schedule (probe, now_us);
      return;
    }
  probe->is_active = true;
  sgr_counter_add (probe->sent, 1);
  sgr_counter_add (probe->bytes, PROBE_BYTES);
  request.address = local->address;
  request.path = local->probe_path;
  sgr_http_fetch_start (probe->fetcher, &request, on_reply, probe);
}

/* Whether this node may send probes. Each node gets the service's budget divided by targets_max, so
   that at most targets_max nodes may probe. If the service has more targets, the nodes with the
   lowest ids probe. */
static bool
may_probe (const sgr_control_probe_t *probe, const sgr_policy_t *policy)
{
  const sgr_control_t *control = probe->control;
  sgr_node_id_t self = sgr_node_id_of (control->settings->name);
  uint32_t lower_ids = 0;

  for (size_t i = 0; i < control->member_count; i++)
    {
      if (control->members[i].id < self
          && strcmp (control->members[i].service, policy->service) == 0)
        lower_ids++;
    }
  return lower_ids < policy->targets_max;
}

void
sgr_control_probe_update (sgr_control_probe_t *probe, const sgr_policy_t *policy)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_probe_budget_config_t config = { .window_us = BUDGET_WINDOW_US };
  bool is_same_service;

  if (policy == NULL || !may_probe (probe, policy))
    {
      probe->has_budget = false;
      failing_state_clear (probe);
      return;
    }
  is_same_service = strcmp (probe->service, policy->service) == 0;
  config.calls_per_s = policy->probe_calls_per_s;
  config.bytes_per_s = policy->probe_bytes_per_s;
  config.targets_max = policy->targets_max;
  memcpy (probe->service, policy->service, sizeof probe->service);
  /* The shares of all nodes add up to the budget only if all nodes divide it by the same
     targets_max. sgr_probe_budget_update() therefore refuses a new targets_max. The buckets are
     then initialized again once no probe is active, and stay empty for more than one window. */
  if (probe->is_active)
    probe->has_budget = sgr_probe_budget_update (&probe->budget, &config) == SGR_OK;
  else if (!is_same_service || sgr_probe_budget_update (&probe->budget, &config) != SGR_OK)
    probe->has_budget = sgr_probe_budget_init (&probe->budget, &config, now_us) == SGR_OK;
  else
    probe->has_budget = true;
  if (probe->is_active)
    return;
  if (!probe->has_budget
      || sgr_probe_budget_next_us (&probe->budget, now_us, PROBE_BYTES) == SGR_TIMER_NEVER)
    failing_state_clear (probe);
  else if (probe->timer.position == 0)
    next_probe_schedule (probe, now_us);
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
  probe->completed = sgr_data_task_completed_counter (control->data);
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
