#include "data_call_internal.h"

#include "data_account.h"
#include "log.h"

/* Log lines that an entry writes when a call ends: one for each attempt and one for the call. */

static const char *
member_name (const sgr_data_call_t *call, sgr_node_id_t node)
{
  const sgr_member_t *member = sgr_data_member_find (call->task, node);

  return member != NULL ? member->name : "-";
}

static void
attempt_log (const sgr_data_call_t *call, const char *id, uint32_t index, uint64_t now_us)
{
  const sgr_data_attempt_t *attempt = &call->attempts[index];
  const sgr_load_report_t *load = &attempt->load;
  uint64_t end_us = attempt->end_us != 0 ? attempt->end_us : now_us;

  if (attempt->start_us == 0)
    {
      sgr_log_info ("call-attempt", "id=%s attempt=%u outcome=not-run reason=no-target", id, index);
      return;
    }
  sgr_log_info ("call-attempt",
                "id=%s attempt=%u at_ms=%lu gate=%s load=%u/%u cost=%u load_age_ms=%lu may_wait=%s "
                "outcome=%s reason=%s gate_reason=%s took_ms=%lu",
                id, index, sgr_ms_of (attempt->start_us - call->start_us),
                member_name (call, attempt->node), load->in_flight, load->slots, load->cost_percent,
                sgr_ms_of (load->age_us), attempt->may_wait ? "yes" : "no",
                attempt->end_us != 0 ? sgr_outcome_name (attempt->outcome) : "open",
                sgr_call_reason_name (attempt->reason), sgr_gate_reason_name (attempt->gate_reason),
                sgr_ms_of (end_us - attempt->start_us));
}

void
sgr_data_call_log (const sgr_data_call_t *call, const sgr_call_action_t *finish)
{
  uint64_t now_us = call->now_us;
  const sgr_snapshot_t *snapshot = call->task->snapshot;
  bool is_complete = finish->outcome == SGR_OUTCOME_COMPLETE;
  const char *id = call->request.request_id;

  if (!sgr_call_log_should_log (call->task->call_log, now_us, id,
                                !is_complete || call->plan.attempt_count > 1))
    return;
  for (uint32_t i = 0; i < call->plan.attempt_count; i++)
    attempt_log (call, id, i, now_us);
  sgr_log_info ("call-end",
                "id=%s route=%s service=%s revision=%lu attempts=%u outcome=%s reason=%s "
                "gate_reason=%s status=%d retry_after_ms=%u took_ms=%lu left_ms=%ld%s%s",
                id, call->request.class_name, call->request.service, snapshot->config_revision,
                call->plan.attempt_count, sgr_outcome_name (finish->outcome),
                sgr_call_reason_name (finish->reason), sgr_gate_reason_name (finish->gate_reason),
                is_complete ? call->attempts[finish->attempt].head != NULL
                                  ? (int)call->attempts[finish->attempt].head->status
                                  : 0
                            : 0,
                finish->retry_after_ms, sgr_ms_of (now_us - call->start_us),
                ((long)call->request.deadline_us - (long)now_us) / 1000,
                call->request.has_accounts ? " account=" : "",
                call->request.has_accounts ? sgr_data_account_name (&call->request) : "");
}
