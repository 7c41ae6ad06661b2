#include "data_account.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "data_refuse.h"
#include "data_service.h"

/* Accounts that have a counter of their own; all others share one. */
#define COUNTERS_MAX 256
#define SCHEME "token"
/* Bounds of the Retry-After of a call that is refused as beyond its account's share. The values are
   spread, so that the callers do not return at the same time. */
#define SHARE_RETRY_MIN_MS 200
#define SHARE_RETRY_SPREAD_MS 300
/* Ranks of routes that one rank of accounts spans. Both are below it. */
#define ROUTE_RANKS 65536

void
sgr_data_accounts_rebuild (sgr_data_task_t *task)
{
  const sgr_snapshot_t *snapshot = task->snapshot;

  sgr_account_table_destroy (task->accounts);
  task->accounts = NULL;
  if (snapshot->account_count > 0)
    task->accounts = sgr_account_table_create (snapshot->accounts, snapshot->account_count,
                                               snapshot->account_keys, snapshot->account_key_count);
}

/* Reads the key from the value of the field "authorization": a scheme, spaces and the key. */
static h2o_iovec_t
key_read (h2o_iovec_t value)
{
  size_t start = sizeof SCHEME - 1;
  size_t end = value.len;

  if (value.len <= start || strncasecmp (value.base, SCHEME, start) != 0
      || value.base[start] != ' ')
    return h2o_iovec_init (NULL, 0);
  while (start < end && value.base[start] == ' ')
    start++;
  while (end > start && (value.base[end - 1] == ' ' || value.base[end - 1] == '\t'))
    end--;
  return h2o_iovec_init (value.base + start, end - start);
}

/* Index of the account whose key a request carries. With two fields it is not clear which one
   counts, so that such a request has no known key. */
static uint32_t
account_find (const sgr_data_task_t *task, const h2o_req_t *req)
{
  const char *name = task->fields->authorization;
  uint32_t account = SGR_ACCOUNT_NONE;
  size_t fields = 0;

  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];
      h2o_iovec_t key;

      if (header->name->len != strlen (name)
          || strncasecmp (header->name->base, name, header->name->len) != 0)
        continue;
      key = key_read (header->value);
      account = sgr_account_table_find (task->accounts, key.base, key.len);
      fields++;
    }
  return fields == 1 ? account : SGR_ACCOUNT_NONE;
}

/* Refuses a request without a known key. A 401 is final for a caller, so it is only given if the
   configuration has no key that cannot be read, and no other node is known to have a newer one,
   which may have the key. */
static void
unknown_key_refuse (sgr_data_task_t *task, h2o_req_t *req)
{
  if (task->snapshot->newest_revision > task->snapshot->config_revision)
    {
      sgr_data_request_refuse (task, req, 503, "configuration-behind");
      return;
    }
  if (task->snapshot->has_hidden_keys)
    {
      sgr_data_unusable_refuse (task, req, "hidden-key");
      return;
    }
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("www-authenticate"), 0, NULL,
                         H2O_STRLIT ("Token"));
  sgr_data_request_refuse (task, req, 401, "unknown-key");
}

bool
sgr_data_account_check (sgr_data_task_t *task, h2o_req_t *req, const sgr_route_t *route,
                        sgr_data_call_request_t *request)
{
  if (!task->snapshot->has_accounts)
    return true;
  request->has_accounts = true;
  request->account = SGR_ACCOUNT_NONE;
  if (route != NULL && route->is_public)
    return true;
  request->account = account_find (task, req);
  if (request->account == SGR_ACCOUNT_NONE)
    {
      unknown_key_refuse (task, req);
      return false;
    }
  if (!sgr_account_table_get (task->accounts, request->account)->is_unusable)
    return true;
  sgr_data_unusable_refuse (task, req, "unusable-account");
  return false;
}

void
sgr_data_account_apply (const sgr_data_task_t *task, const h2o_req_t *req,
                        sgr_data_call_request_t *request)
{
  const sgr_account_t *account = sgr_account_table_get (task->accounts, request->account);

  if (!request->has_accounts)
    return;
  snprintf (request->tenant, sizeof request->tenant, "%s",
            account != NULL ? account->name : SGR_ACCOUNT_PUBLIC_NAME);
  if (account == NULL)
    return;
  request->priority += account->priority * ROUTE_RANKS;
  if (account->full_name != NULL)
    request->tenant_name
        = h2o_strdup ((h2o_mem_pool_t *)&req->pool, account->full_name, SIZE_MAX).base;
}

void
sgr_data_account_call_count (sgr_data_task_t *task, const sgr_data_call_request_t *request)
{
  static const char metric[] = "siskingrade_account_calls_total";
  const char *name = request->tenant;
  sgr_counter_t *counter;
  char labels[SGR_NAME_MAX + 16];
  uint64_t key;

  if (!request->has_accounts)
    return;
  key = XXH64 (name, strlen (name), 0);
  counter = sgr_id_map_get (task->account_counters, key);
  if (counter == NULL)
    {
      if (sgr_id_map_count (task->account_counters) >= COUNTERS_MAX)
        name = "other";
      snprintf (labels, sizeof labels, "account=\"%s\"", name);
      counter = sgr_metrics_counter (task->metrics, metric, labels);
      if (sgr_id_map_count (task->account_counters) < COUNTERS_MAX)
        sgr_id_map_put (task->account_counters, key, counter);
    }
  sgr_counter_add (counter, 1);
}

const char *
sgr_data_account_name (const sgr_data_call_request_t *request)
{
  return request->has_accounts ? request->tenant : "-";
}

bool
sgr_data_account_throttle (sgr_data_task_t *task, h2o_req_t *req, sgr_data_service_t *service,
                           const sgr_data_call_request_t *request)
{
  sgr_data_refusal_t refusal
      = { .status = 503, .reason = "over-share", .account = request->tenant };

  if (!request->has_accounts || request->has_key)
    return true;
  if (service->throttle == NULL)
    service->throttle = sgr_share_throttle_create ();
  if (sgr_share_throttle_admit (service->throttle, sgr_clock_monotonic_us (),
                                sgr_share_throttle_key (request->tenant, request->priority),
                                sgr_rng_uniform (&task->rng)))
    return true;
  refusal.retry_after_ms
      = SHARE_RETRY_MIN_MS + (uint32_t)sgr_rng_below (&task->rng, SHARE_RETRY_SPREAD_MS);
  sgr_data_request_refuse_as (task, req, &refusal);
  return false;
}
