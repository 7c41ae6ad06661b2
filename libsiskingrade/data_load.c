#include "data_load.h"

#include "data_peer.h"
#include "data_service.h"

/* Shortest time between two reports; together with the connections it bounds their traffic. */
#define REPORT_INTERVAL_US (20 * SGR_USEC_PER_MSEC)
/* A change of the load by one part in so many of the slots is reported. */
#define LOAD_STEP_DIVISOR 4
/* A change of the time that work takes by this much, in percent of the lower figure, is reported.
 */
#define COST_STEP_PERCENT 25

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
  if (now_us >= gate->told_us + REPORT_INTERVAL_US)
    report_send (gate, &report, now_us);
  else
    sgr_timer_arm (gate->task->timers, &gate->tell, gate->told_us + REPORT_INTERVAL_US);
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
  sgr_gate_target_load_set (gate->core, sgr_clock_monotonic_us (), &load);
  sgr_data_load_changed (gate);
}

void
sgr_data_load_init (sgr_data_gate_t *gate)
{
  gate->tell = (sgr_timer_t){ .fire = on_tell, .ctx = gate };
  gate->reports = sgr_metrics_counter (gate->task->metrics, "siskingrade_load_reports_total", "");
}

void
sgr_data_load_stop (sgr_data_gate_t *gate)
{
  sgr_timer_cancel (gate->task->timers, &gate->tell);
}
