#include "data_refuse.h"

#include <stdio.h>
#include <string.h>

#include "data_call.h"
#include "http_fields.h"
#include "log.h"

/* Retry-After of a request that is refused because the node has no configuration yet or an old one,
   is stopping, or has too many open calls. */
#define UNAVAILABLE_RETRY_AFTER_MS 200
/* Retry-After of a request for an entry of the configuration that cannot be carried out. */
#define UNUSABLE_RETRY_AFTER_MS 1000
#define LABELS_BYTES 96

void
sgr_data_request_id_read (const sgr_data_task_t *task, const h2o_req_t *req, char *id)
{
  const char *name = task->fields->request_id;
  ssize_t index = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);
  h2o_iovec_t value = index < 0 ? h2o_iovec_init (NULL, 0) : req->headers.entries[index].value;

  id[0] = '\0';
  if (value.base != NULL && value.len <= SGR_NAME_MAX && sgr_http_is_token (value.base, value.len))
    {
      memcpy (id, value.base, value.len);
      id[value.len] = '\0';
    }
}

static void
refusal_count (sgr_data_task_t *task, int status, const char *reason)
{
  char labels[LABELS_BYTES];

  snprintf (labels, sizeof labels, "status=\"%d\",reason=\"%s\"", status, reason);
  sgr_counter_add (
      sgr_metrics_counter (task->metrics, "siskingrade_requests_refused_total", labels), 1);
}

void
sgr_data_request_refuse (sgr_data_task_t *task, h2o_req_t *req, int status, const char *reason)
{
  sgr_data_refusal_t refusal = { .status = status,
                                 .reason = reason,
                                 .retry_after_ms = status == 503 ? UNAVAILABLE_RETRY_AFTER_MS : 0 };

  sgr_data_request_refuse_as (task, req, &refusal);
}

static void
refusal_log (sgr_data_task_t *task, const h2o_req_t *req, const sgr_data_refusal_t *refusal)
{
  const sgr_snapshot_t *snapshot = task->snapshot;
  bool has_accounts = snapshot != NULL && snapshot->has_accounts;
  char id[SGR_NAME_MAX + 1];

  sgr_data_request_id_read (task, req, id);
  if (!sgr_call_log_should_log (task->call_log, sgr_clock_monotonic_us (), id, true))
    return;
  sgr_log_info (
      "call-refused",
      "id=%s status=%d reason=%s%s%s host=%.*s path=%.*s revision=%lu newest_revision=%lu", id,
      refusal->status, refusal->reason, has_accounts ? " account=" : "",
      has_accounts ? (refusal->account != NULL ? refusal->account : "-") : "",
      (int)req->authority.len, req->authority.base, (int)req->path.len, req->path.base,
      snapshot != NULL ? snapshot->config_revision : 0UL,
      snapshot != NULL ? snapshot->newest_revision : 0UL);
}

void
sgr_data_request_refuse_as (sgr_data_task_t *task, h2o_req_t *req,
                            const sgr_data_refusal_t *refusal)
{
  sgr_data_error_t error = { .status = refusal->status,
                             .outcome = SGR_OUTCOME_NOT_RUN,
                             .reason = refusal->reason,
                             .is_repeat_safe = refusal->retry_after_ms > 0,
                             .retry_after_ms = refusal->retry_after_ms,
                             .has_retry_fractions = task->fields->has_retry_fractions };

  refusal_count (task, refusal->status, refusal->reason);
  refusal_log (task, req, refusal);
  sgr_data_error_send (req, &error);
}

void
sgr_data_unusable_refuse (sgr_data_task_t *task, h2o_req_t *req, const char *reason)
{
  sgr_data_refusal_t refusal
      = { .status = 503, .reason = reason, .retry_after_ms = UNUSABLE_RETRY_AFTER_MS };

  sgr_data_request_refuse_as (task, req, &refusal);
}

void
sgr_data_malformed_count (sgr_data_task_t *task, int status)
{
  const char *reason = status == 503 ? "memory" : status == 408 ? "timeout" : "malformed";

  refusal_count (task, status, reason);
  if (sgr_call_log_should_log (task->call_log, sgr_clock_monotonic_us (), "", true))
    sgr_log_info ("call-refused", "id= status=%d reason=%s", status, reason);
}
