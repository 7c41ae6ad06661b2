#include <stdio.h>

#include "gate_internal.h"

static void
gauge_set (sgr_metrics_t *metrics, const char *name, uint64_t value)
{
  sgr_counter_set (sgr_metrics_counter (metrics, name, ""), value);
}

void
sgr_gate_metrics_set (const sgr_gate_t *gate, uint64_t now_us, sgr_metrics_t *metrics)
{
  sgr_ledger_usage_t usage = sgr_ledger_usage (gate->ledger);
  sgr_load_report_t report;

  sgr_gate_load_report (gate, now_us, &report);
  gauge_set (metrics, "siskingrade_gate_in_flight", report.in_flight);
  gauge_set (metrics, "siskingrade_gate_queued", report.queued);
  gauge_set (metrics, "siskingrade_gate_slots", report.slots);
  gauge_set (metrics, "siskingrade_gate_newest_first", sgr_gate_queue_is_overloaded (gate->queue));
  if (sgr_gate_cold_limit (gate->cold) > 0)
    {
      gauge_set (metrics, "siskingrade_gate_cold", sgr_gate_cold_is_reported (gate->cold, now_us));
      gauge_set (metrics, "siskingrade_gate_cold_starts_total", gate->cold_starts);
    }
  gauge_set (metrics, "siskingrade_gate_ledger_attempts", usage.attempts);
  gauge_set (metrics, "siskingrade_gate_ledger_keys", usage.keys);
  gauge_set (metrics, "siskingrade_gate_ledger_peers", usage.entry_boots);
  gauge_set (metrics, "siskingrade_gate_ledger_answer_bytes", usage.answer_bytes);
  gauge_set (metrics, "siskingrade_gate_ledger_answer_bytes_expected", usage.answer_bytes_expected);
  for (int reason = SGR_GATE_REASON_NONE + 1; reason < SGR_GATE_REASON_COUNT; reason++)
    {
      char labels[48];

      snprintf (labels, sizeof labels, "reason=\"%s\"", sgr_gate_reason_name (reason));
      sgr_counter_set (sgr_metrics_counter (metrics, "siskingrade_gate_refused_total", labels),
                       gate->refused[reason]);
    }
}
