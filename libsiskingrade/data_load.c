#include "data_load.h"

#include <string.h>

#include "data_peer.h"
#include "data_service.h"

/* Shortest time between two reports, and its growth with each connection: no more than 2,000 frames
   a second, however many entries there are. */
#define REPORT_INTERVAL_US (10 * SGR_USEC_PER_MSEC)
#define REPORT_ENTRY_US 500
/* A change of the load by one part in so many of the slots is reported. */
#define LOAD_STEP_DIVISOR 4
/* A change of the time that work takes by this much, in percent of the lower figure, is reported.
 */
#define COST_STEP_PERCENT 25

/* What a target told is asked for again after this time: soon while work waits for the end of a
   slow time, less often otherwise. Answers to calls tell the same and come more often under load.
 */
#define ASK_SLOWED_US (15 * SGR_USEC_PER_MSEC)
#define ASK_USUAL_US (40 * SGR_USEC_PER_MSEC)
/* A target without an attempt for this long is not asked. */
#define ASK_TRAFFIC_US (1 * SGR_USEC_PER_SEC)
#define ASK_TIMEOUT_US (200 * SGR_USEC_PER_MSEC)
/* The budget of these calls holds in every window of this length. */
#define ASK_WINDOW_US (1 * SGR_USEC_PER_SEC)
/* Reserved for one call: request and answer with the headers of IP and TCP. */
#define ASK_BYTES 600

static uint32_t
difference (uint32_t a, uint32_t b)
{
  return a > b ? a - b : b - a;
}

static bool
has_news (const sgr_load_report_t *now, const sgr_load_report_t *told)
{
  uint32_t load = now->in_flight + now->queued;
  uint32_t step = now->slots / LOAD_STEP_DIVISOR;
  uint32_t lower = now->cost_percent < told->cost_percent ? now->cost_percent : told->cost_percent;

  if (now->state != told->state || now->slots != told->slots)
    return true;
  if (difference (load, told->in_flight + told->queued) > (step > 1 ? step : 1))
    return true;
  return difference (now->cost_percent, told->cost_percent) * 100 > lower * COST_STEP_PERCENT;
}

static uint64_t
report_due_us (const sgr_data_gate_t *gate)
{
  return gate->told_us + REPORT_INTERVAL_US
         + sgr_data_peers_count (gate->task->peers) * REPORT_ENTRY_US;
}

static void
report_send (sgr_data_gate_t *gate, const sgr_load_report_t *report, uint64_t now_us)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__LoadReport load;

  sgr_data_gate_load (gate, &load);
  frame.body_case = SGR__PB__PEER_FRAME__BODY_LOAD;
  frame.load = &load;
  gate->told = *report;
  gate->told_us = now_us;
  sgr_counter_add (gate->reports, 1);
  sgr_data_peers_send (gate->task->peers, &frame);
  sgr_data_services_report (gate->task->services, gate->task->node, &load);
}

void
sgr_data_load_changed (sgr_data_gate_t *gate)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_load_report_t report;

  if (gate->tell.position != 0)
    return;
  sgr_gate_load_report (gate->core, &report);
  if (!has_news (&report, &gate->told))
    return;
  if (now_us >= report_due_us (gate))
    report_send (gate, &report, now_us);
  else
    sgr_timer_arm (gate->task->timers, &gate->tell, report_due_us (gate));
}

static void
on_tell (void *ctx, uint64_t now_us)
{
  sgr_data_load_changed (ctx);
}

void
sgr_data_load_take (sgr_data_gate_t *gate, const sgr_http_field_t *field)
{
  sgr_target_load_t load;

  if (field == NULL || !sgr_target_load_parse (field->value, field->value_length, &load))
    return;
  gate->load_us = sgr_clock_monotonic_us ();
  sgr_gate_target_load_set (gate->core, gate->load_us, &load);
  sgr_data_load_changed (gate);
}

static void
asking_end (sgr_data_gate_t *gate)
{
  gate->asking = NULL;
  sgr_probe_budget_release (&gate->load_budget, sgr_clock_monotonic_us (), gate->asking_tokens);
}

static bool
on_ask_starting (void *ctx)
{
  return true;
}

static void
on_ask_head (void *ctx, int status, const sgr_http_field_t *fields, size_t count,
             int64_t body_length)
{
  sgr_data_gate_t *gate = ctx;
  const char *name = gate->task->fields->load;

  for (size_t i = 0; i < count; i++)
    {
      if (h2o_lcstris (fields[i].name, fields[i].name_length, name, strlen (name)))
        sgr_data_load_take (gate, &fields[i]);
    }
}

static void
on_ask_body (void *ctx, const void *bytes, size_t length)
{
}

static void
on_ask_done (void *ctx)
{
  asking_end (ctx);
}

static void
on_ask_failed (void *ctx, bool is_started, const char *reason)
{
  asking_end (ctx);
}

static const sgr_target_handlers_t ask_handlers = {
  .starting = on_ask_starting,
  .head = on_ask_head,
  .body = on_ask_body,
  .done = on_ask_done,
  .failed = on_ask_failed,
};

static void
ask_send (sgr_data_gate_t *gate, uint64_t now_us)
{
  sgr_buffer_t message = { 0 };

  if (sgr_probe_budget_reserve (&gate->load_budget, now_us, ASK_BYTES, &gate->asking_tokens)
      != SGR_OK)
    return;
  sgr_buffer_printf (&message, "GET %s HTTP/1.1\r\nhost: %s\r\n\r\n", gate->policy.load_path,
                     gate->policy.service);
  gate->asked_us = now_us;
  gate->asking = sgr_target_request_start (gate->client, message.bytes, message.length, false,
                                           &ask_handlers, gate);
  sgr_counter_add (gate->asks, 1);
  sgr_buffer_release (&message);
}

/* Time after which what the target told has to be asked for. */
static uint64_t
ask_after_us (const sgr_data_gate_t *gate, uint64_t now_us)
{
  return sgr_gate_is_slowed (gate->core, now_us) ? ASK_SLOWED_US : ASK_USUAL_US;
}

static void
on_ask (void *ctx, uint64_t now_us)
{
  sgr_data_gate_t *gate = ctx;
  uint64_t known_us = gate->load_us > gate->asked_us ? gate->load_us : gate->asked_us;
  uint64_t due_us = known_us + ask_after_us (gate, now_us);

  if (gate->asking != NULL && now_us >= gate->asked_us + ASK_TIMEOUT_US)
    {
      sgr_target_request_cancel (gate->asking);
      asking_end (gate);
    }
  if (gate->client == NULL || gate->policy.load_path[0] == '\0'
      || now_us >= gate->call_us + ASK_TRAFFIC_US)
    return;
  if (gate->asking == NULL && now_us >= due_us)
    {
      ask_send (gate, now_us);
      due_us = now_us + ask_after_us (gate, now_us);
    }
  sgr_timer_arm (gate->task->timers, &gate->ask, due_us > now_us ? due_us : now_us + ASK_SLOWED_US);
}

void
sgr_data_load_wanted (sgr_data_gate_t *gate, uint64_t now_us)
{
  gate->call_us = now_us;
  if (gate->ask.position == 0)
    sgr_timer_arm (gate->task->timers, &gate->ask, now_us);
}

void
sgr_data_load_update (sgr_data_gate_t *gate, uint64_t now_us)
{
  sgr_probe_budget_config_t config = { .calls_per_s = gate->policy.load_calls_per_s,
                                       .bytes_per_s = gate->policy.load_calls_per_s * ASK_BYTES,
                                       .targets_max = gate->policy.targets_max,
                                       .window_us = ASK_WINDOW_US };

  /* A changed divisor would break the sum over the service's gates; the bucket starts anew. */
  if (sgr_probe_budget_update (&gate->load_budget, &config) != SGR_OK && gate->asking == NULL)
    sgr_probe_budget_init (&gate->load_budget, &config, now_us);
}

void
sgr_data_load_init (sgr_data_gate_t *gate)
{
  gate->ask = (sgr_timer_t){ .fire = on_ask, .ctx = gate };
  gate->asks = sgr_metrics_counter (gate->task->metrics, "siskingrade_load_calls_total", "");
  gate->tell = (sgr_timer_t){ .fire = on_tell, .ctx = gate };
  gate->reports = sgr_metrics_counter (gate->task->metrics, "siskingrade_load_reports_total", "");
}

void
sgr_data_load_stop (sgr_data_gate_t *gate)
{
  sgr_timer_cancel (gate->task->timers, &gate->tell);
  sgr_timer_cancel (gate->task->timers, &gate->ask);
  if (gate->asking != NULL)
    sgr_target_request_cancel (gate->asking);
  gate->asking = NULL;
}
