#include "data_load.h"

#include <string.h>

#include "data_cold.h"
#include "data_peer.h"
#include "data_service.h"

/* The shortest interval between two load reports has a fixed part and a part for each connection of
   an entry. A report goes to each connection, so a gate sends at most 2,000 report frames a second
   for any number of entries. */
#define REPORT_INTERVAL_MIN_US (10 * SGR_USEC_PER_MSEC)
#define REPORT_INTERVAL_PER_ENTRY_US 500
/* A report is sent if the number of running and queued requests changes by more than 1 and by more
   than the number of slots divided by this divisor. */
#define LOAD_CHANGE_SLOTS_DIVISOR 4
/* A report is sent if cost_percent changes by more than this percentage of the lower of the old and
   the new value. cost_percent is the time that work takes at the target, in percent of the usual
   time. */
#define COST_CHANGE_MIN_PERCENT 25

/* Age of the last known load at which the load of the target is queried again. It is short while
   the target is slowed, because queued requests then wait for the target to recover. Answers to
   calls carry the load as well and arrive more often under load, so fewer queries are needed. */
#define LOAD_QUERY_SLOWED_INTERVAL_US (15 * SGR_USEC_PER_MSEC)
#define LOAD_QUERY_USUAL_INTERVAL_US (40 * SGR_USEC_PER_MSEC)
/* Shortest interval between load queries of a service with a limit for cold targets, also used
   while it is not known whether the target is cold. With a shorter one, the queries would exceed
   the usual budget of 40 per second and target, and none would be left when the state becomes
   unknown. */
#define LOAD_QUERY_COLD_INTERVAL_US (26 * SGR_USEC_PER_MSEC)
/* The same while no attempts arrive. Queries then continue only after an event such as a new
   instance, so that entries learn whether the target is cold before they send it much. */
#define LOAD_QUERY_COLD_IDLE_INTERVAL_US (400 * SGR_USEC_PER_MSEC)
/* Load queries stop if no attempt has arrived for this long. */
#define LOAD_QUERY_IDLE_US (1 * SGR_USEC_PER_SEC)
#define LOAD_QUERY_TIMEOUT_US (200 * SGR_USEC_PER_MSEC)
/* Length of the time windows in which the budget for load queries must not be exceeded. */
#define LOAD_QUERY_WINDOW_US (1 * SGR_USEC_PER_SEC)
/* Bytes reserved in the budget for one load query: request and answer, with IP and TCP headers. */
#define LOAD_QUERY_BYTES 600

static uint32_t
absolute_difference (uint32_t a, uint32_t b)
{
  return a > b ? a - b : b - a;
}

/* Whether the current load differs enough from the last report to be reported. */
static bool
load_has_changed (const sgr_load_report_t *current, const sgr_load_report_t *reported)
{
  uint32_t load = current->in_flight + current->queued;
  uint32_t step = current->slots / LOAD_CHANGE_SLOTS_DIVISOR;
  uint32_t lower = current->cost_percent < reported->cost_percent ? current->cost_percent
                                                                  : reported->cost_percent;

  if (current->state != reported->state || current->slots != reported->slots
      || current->cold_calls_per_s != reported->cold_calls_per_s)
    return true;
  if (absolute_difference (load, reported->in_flight + reported->queued) > (step > 1 ? step : 1))
    return true;
  return absolute_difference (current->cost_percent, reported->cost_percent) * 100
         > lower * COST_CHANGE_MIN_PERCENT;
}

static uint64_t
load_report_due_us (const sgr_data_gate_t *gate)
{
  return gate->last_report_us + REPORT_INTERVAL_MIN_US
         + sgr_data_peers_count (gate->task->peers) * REPORT_INTERVAL_PER_ENTRY_US;
}

static void
report_send (sgr_data_gate_t *gate, const sgr_load_report_t *report, uint64_t now_us)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__LoadReport load;

  sgr_data_gate_load_report (gate, &load);
  frame.body_case = SGR__PB__PEER_FRAME__BODY_LOAD;
  frame.load = &load;
  gate->last_report = *report;
  gate->last_report_us = now_us;
  sgr_counter_add (gate->reports, 1);
  sgr_data_peers_send (gate->task->peers, &frame);
  sgr_data_services_load_report_apply (gate->task->services, gate->task->node, &load);
}

void
sgr_data_load_report_if_changed (sgr_data_gate_t *gate)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_load_report_t report;

  if (gate->report_timer.position != 0)
    return;
  sgr_gate_load_report (gate->core, now_us, &report);
  if (!load_has_changed (&report, &gate->last_report))
    return;
  if (now_us >= load_report_due_us (gate))
    report_send (gate, &report, now_us);
  else
    sgr_timer_arm (gate->task->timers, &gate->report_timer, load_report_due_us (gate));
}

static void
on_report_timer (void *ctx, uint64_t now_us)
{
  sgr_data_load_report_if_changed (ctx);
}

void
sgr_data_load_field_apply (sgr_data_gate_t *gate, const sgr_http_field_t *field)
{
  sgr_target_load_t load;

  if (field == NULL || !sgr_target_load_parse (field->value, field->value_length, &load))
    return;
  gate->load_received_us = sgr_clock_monotonic_us ();
  sgr_gate_target_load_set (gate->core, gate->load_received_us, &load);
  sgr_data_load_report_if_changed (gate);
}

static void
load_query_end (sgr_data_gate_t *gate)
{
  gate->load_query = NULL;
  sgr_probe_budget_release (&gate->load_budget, sgr_clock_monotonic_us (),
                            gate->load_query_reservation);
}

static bool
on_query_starting (void *ctx)
{
  return true;
}

static void
on_query_head (void *ctx, int status, const sgr_http_field_t *fields, size_t count,
               int64_t body_length)
{
  static const sgr_request_ids_t no_ids;
  sgr_data_gate_t *gate = ctx;
  const char *name = gate->task->fields->load;

  if (!sgr_request_ids_match (&no_ids, gate->task->fields, fields, count))
    {
      /* Closes the connection, because the answer to the query would be taken for one to the next
         request on it. */
      sgr_target_request_cancel (gate->load_query);
      load_query_end (gate);
      return;
    }
  for (size_t i = 0; i < count; i++)
    {
      if (h2o_lcstris (fields[i].name, fields[i].name_length, name, strlen (name)))
        sgr_data_load_field_apply (gate, &fields[i]);
    }
  sgr_data_cold_health_apply (gate, status, fields, count);
}

static void
on_query_body (void *ctx, const void *bytes, size_t length)
{
}

static void
on_query_done (void *ctx)
{
  load_query_end (ctx);
}

static void
on_query_failed (void *ctx, bool is_started, const char *reason)
{
  load_query_end (ctx);
  sgr_data_cold_connection_failed (ctx, sgr_clock_monotonic_us ());
}

static const sgr_target_handlers_t load_query_handlers = {
  .starting = on_query_starting,
  .head = on_query_head,
  .body = on_query_body,
  .done = on_query_done,
  .failed = on_query_failed,
};

static void
load_query_send (sgr_data_gate_t *gate, uint64_t now_us)
{
  sgr_buffer_t message = { 0 };

  if (sgr_probe_budget_reserve (&gate->load_budget, now_us, LOAD_QUERY_BYTES,
                                &gate->load_query_reservation)
      != SGR_OK)
    return;
  sgr_buffer_printf (&message, "GET %s HTTP/1.1\r\nhost: %s\r\n\r\n", gate->policy.load_path,
                     gate->policy.service);
  gate->query_sent_us = now_us;
  gate->load_query
      = sgr_target_request_start (gate->client, &message, NULL, false, &load_query_handlers, gate);
  sgr_counter_add (gate->load_query_counter, 1);
}

static bool
is_idle (const sgr_data_gate_t *gate, uint64_t now_us)
{
  return now_us >= gate->last_attempt_us + LOAD_QUERY_IDLE_US;
}

/* Whether an event made it unknown whether the target is cold, and it can be asked. */
static bool
is_cold_state_lost (const sgr_data_gate_t *gate, uint64_t now_us)
{
  sgr_gate_cold_source_t source;

  return sgr_gate_target_is_cold_unknown (gate->core, now_us)
         && sgr_gate_target_is_cold (gate->core, now_us, &source)
         && source != SGR_GATE_COLD_SOURCE_SILENCE && gate->task->fields->cold != NULL
         && gate->task->snapshot->local.service[0] != '\0';
}

/* Returns the age of the last known load at which the load of the target is queried again. */
static uint64_t
load_query_interval_us (const sgr_data_gate_t *gate, uint64_t now_us)
{
  if (gate->policy.cold_calls_per_s > 0 && is_idle (gate, now_us))
    return LOAD_QUERY_COLD_IDLE_INTERVAL_US;
  if (gate->policy.cold_calls_per_s > 0)
    return sgr_gate_is_slowed (gate->core, now_us)
                   || sgr_gate_target_is_cold_unknown (gate->core, now_us)
               ? LOAD_QUERY_COLD_INTERVAL_US
               : LOAD_QUERY_USUAL_INTERVAL_US;
  return sgr_gate_is_slowed (gate->core, now_us) ? LOAD_QUERY_SLOWED_INTERVAL_US
                                                 : LOAD_QUERY_USUAL_INTERVAL_US;
}

/* Returns when the load of the target is to be queried next. Answers to calls tell the load as
   well, but only answers to queries tell whether the target is cold. */
static uint64_t
load_query_due_us (const sgr_data_gate_t *gate, uint64_t now_us)
{
  uint64_t known_us = gate->query_sent_us;

  if (gate->policy.cold_calls_per_s == 0 && gate->load_received_us > known_us)
    known_us = gate->load_received_us;
  return known_us + load_query_interval_us (gate, now_us);
}

static void
on_load_query_timer (void *ctx, uint64_t now_us)
{
  sgr_data_gate_t *gate = ctx;
  uint64_t due_us = load_query_due_us (gate, now_us);

  if (gate->load_query != NULL && now_us >= gate->query_sent_us + LOAD_QUERY_TIMEOUT_US)
    {
      sgr_target_request_cancel (gate->load_query);
      load_query_end (gate);
    }
  if (gate->client == NULL || gate->policy.load_path[0] == '\0'
      || (is_idle (gate, now_us) && !is_cold_state_lost (gate, now_us)))
    return;
  if (gate->load_query == NULL && now_us >= due_us)
    {
      load_query_send (gate, now_us);
      due_us = now_us + load_query_interval_us (gate, now_us);
    }
  sgr_timer_arm (gate->task->timers, &gate->load_query_timer,
                 due_us > now_us ? due_us : now_us + LOAD_QUERY_SLOWED_INTERVAL_US);
}

void
sgr_data_load_query_hasten (sgr_data_gate_t *gate, uint64_t now_us)
{
  uint64_t due_us = load_query_due_us (gate, now_us);

  sgr_timer_arm (gate->task->timers, &gate->load_query_timer, due_us > now_us ? due_us : now_us);
}

void
sgr_data_load_query_activate (sgr_data_gate_t *gate, uint64_t now_us)
{
  gate->last_attempt_us = now_us;
  if (gate->load_query_timer.position == 0)
    sgr_timer_arm (gate->task->timers, &gate->load_query_timer, now_us);
  else if (gate->policy.cold_calls_per_s > 0
           && gate->load_query_timer.due_us > load_query_due_us (gate, now_us))
    sgr_data_load_query_hasten (gate, now_us);
}

void
sgr_data_load_budget_update (sgr_data_gate_t *gate, uint64_t now_us)
{
  sgr_probe_budget_config_t config
      = { .calls_per_s = gate->policy.load_calls_per_s,
          .bytes_per_s = gate->policy.load_calls_per_s * LOAD_QUERY_BYTES,
          .targets_max = gate->policy.targets_max,
          .window_us = LOAD_QUERY_WINDOW_US };

  /* Each gate may use the budget of the service divided by @targets_max. While gates have different
     values of @targets_max, the sum of their shares could exceed the budget of the service. So if
     @targets_max changes while no load query is open, the gate starts again with empty token
     buckets, which allow no load query during the first window. */
  if (sgr_probe_budget_update (&gate->load_budget, &config) != SGR_OK && gate->load_query == NULL)
    sgr_probe_budget_init (&gate->load_budget, &config, now_us);
}

void
sgr_data_load_init (sgr_data_gate_t *gate)
{
  gate->load_query_timer = (sgr_timer_t){ .fire = on_load_query_timer, .ctx = gate };
  gate->load_query_counter
      = sgr_metrics_counter (gate->task->metrics, "siskingrade_load_calls_total", "");
  gate->report_timer = (sgr_timer_t){ .fire = on_report_timer, .ctx = gate };
  gate->reports = sgr_metrics_counter (gate->task->metrics, "siskingrade_load_reports_total", "");
}

void
sgr_data_load_stop (sgr_data_gate_t *gate)
{
  sgr_timer_cancel (gate->task->timers, &gate->report_timer);
  sgr_timer_cancel (gate->task->timers, &gate->load_query_timer);
  if (gate->load_query != NULL)
    sgr_target_request_cancel (gate->load_query);
  gate->load_query = NULL;
}
