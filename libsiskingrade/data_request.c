#include "data_request.h"

#include <stdio.h>
#include <string.h>

#include "data_account.h"
#include "http_fields.h"

/* Maximum number of attempts that a routed call may make in addition to attempts_max because gates
   refused earlier attempts. A refused attempt costs its target nothing, so the call may go on to
   another gate. */
#define ROUTE_REFUSALS_MAX 2
/* Estimate of the bytes that the encoding of a header field in a frame takes in addition to its
   name and value. */
#define HEADER_FIELD_OVERHEAD_BYTES 8

static h2o_iovec_t
header_find (const h2o_req_t *req, const char *name)
{
  ssize_t index = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  return index < 0 ? h2o_iovec_init (NULL, 0) : req->headers.entries[index].value;
}

bool
sgr_data_request_name_copy (h2o_iovec_t value, char *name)
{
  if (value.len == 0 || value.len > SGR_NAME_MAX || !sgr_http_is_token (value.base, value.len))
    return false;
  memcpy (name, value.base, value.len);
  name[value.len] = '\0';
  return true;
}

/* Reads the name of the service from its header field, or else from the first label of the host
   name. */
bool
sgr_data_request_service_read (const h2o_req_t *req, char *name)
{
  h2o_iovec_t value = header_find (req, "siskingrade-service");

  if (value.base == NULL)
    {
      value = req->authority;
      for (size_t i = 0; i < value.len; i++)
        {
          if (value.base[i] == '.' || value.base[i] == ':')
            value.len = i;
        }
    }
  return sgr_data_request_name_copy (value, name);
}

static bool
idempotent_read (const h2o_req_t *req, sgr_policy_idempotency_t idempotency, bool *is_idempotent)
{
  h2o_iovec_t value = header_find (req, "siskingrade-idempotent");

  if (value.base != NULL)
    {
      *is_idempotent = h2o_memis (value.base, value.len, H2O_STRLIT ("yes"));
      return *is_idempotent || h2o_memis (value.base, value.len, H2O_STRLIT ("no"));
    }
  if (idempotency == SGR_IDEMPOTENCY_BY_METHOD)
    *is_idempotent = sgr_http_method_is_idempotent (req->method.base, req->method.len);
  else
    *is_idempotent = idempotency == SGR_IDEMPOTENCY_ALWAYS;
  return true;
}

/* Reads the deadline that the caller sent. If there is none, the timeout of the route is used, or
   else the deadline of the policy. A deadline that is later than the timeout of the route is
   replaced by that timeout, and one that is later than any call may take by the longest one. */
static bool
deadline_read (const h2o_req_t *req, const char *field, const sgr_policy_t *policy,
               const sgr_route_t *route, uint64_t *deadline_us)
{
  h2o_iovec_t value = header_find (req, field);
  uint64_t deadline_ms = policy->deadline_ms;

  if (value.base != NULL
      && (!sgr_http_number_parse (value.base, value.len, SGR_DEADLINE_MAX_MS, &deadline_ms)
          || deadline_ms == 0))
    return false;
  if (route != NULL && route->timeout_ms > 0
      && (value.base == NULL || deadline_ms > route->timeout_ms))
    deadline_ms = route->timeout_ms;
  if (deadline_ms > SGR_DEADLINE_MAX_MS)
    deadline_ms = SGR_DEADLINE_MAX_MS;
  *deadline_us = sgr_clock_monotonic_us () + deadline_ms * SGR_USEC_PER_MSEC;
  return true;
}

/* Moves the deadline of a call that arrives while the node stops to before the end of the process,
   so that the caller gets an answer also if the call takes longer. */
static void
deadline_limit_by_stop (const sgr_data_task_t *task, uint64_t *deadline_us)
{
  if (task->calls_end_us != 0 && *deadline_us > task->calls_end_us)
    *deadline_us = task->calls_end_us;
}

static bool
key_read (const h2o_req_t *req, sgr_data_call_request_t *request)
{
  h2o_iovec_t value = header_find (req, "idempotency-key");

  if (value.base == NULL)
    return true;
  request->has_key = true;
  request->fingerprint = sgr_request_fingerprint (
      h2o_strdup ((h2o_mem_pool_t *)&req->pool, req->method.base, req->method.len).base,
      h2o_strdup ((h2o_mem_pool_t *)&req->pool, req->path.base, req->path.len).base,
      request->tenant, req->entity.base, req->entity.len);
  switch (sgr_key_kind_of (value.base, value.len))
    {
    case SGR_KEY_ISSUED:
      request->is_key_issued = true;
      if (sgr_issued_key_parse (value.base, value.len, &request->issued_key) != SGR_OK)
        return false;
      request->key = sgr_issued_key_hash (&request->issued_key);
      return true;
    case SGR_KEY_CALLER:
      request->key = sgr_caller_key_hash (request->service, request->tenant, value.base, value.len);
      return true;
    case SGR_KEY_INVALID:
      break;
    }
  return false;
}

bool
sgr_data_request_head_is_valid (const h2o_req_t *req)
{
  size_t size = req->method.len + req->path.len;

  if (!sgr_http_is_token (req->method.base, req->method.len)
      || !sgr_http_is_path (req->path.base, req->path.len))
    return false;
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      if (!sgr_http_is_token (header->name->base, header->name->len)
          || !sgr_http_is_field_value (header->value.base, header->value.len)
          || memchr (header->value.base, '\0', header->value.len) != NULL)
        return false;
      size += header->name->len + header->value.len + HEADER_FIELD_OVERHEAD_BYTES;
    }
  return size <= SGR_HTTP_HEAD_MAX_BYTES;
}

/* Reads the attributes of a call from its header fields; @route is NULL if the call names its
   service itself. Returns NULL, or the reason if a field is invalid. */
const char *
sgr_data_request_read (sgr_data_task_t *task, const h2o_req_t *req, const sgr_policy_t *policy,
                       const sgr_route_t *route, sgr_data_call_request_t *request)
{
  h2o_iovec_t tenant = header_find (req, "siskingrade-tenant");
  h2o_iovec_t class_name = header_find (req, "siskingrade-class");
  h2o_iovec_t depth = header_find (req, "siskingrade-depth");
  h2o_iovec_t retries = header_find (req, "siskingrade-retry-budget");

  strcpy (request->tenant, "default");
  snprintf (request->class_name, sizeof request->class_name, "%s",
            route != NULL ? route->name : "default");
  request->attempts_max = policy->attempts_max;
  if (route != NULL && route->attempts_max > 0)
    request->attempts_max = route->attempts_max;
  if (route != NULL && route->target_latency_ms > 0)
    request->on_time_us = sgr_clock_monotonic_us () + route->target_latency_ms * SGR_USEC_PER_MSEC;
  request->refusals_max = route != NULL ? ROUTE_REFUSALS_MAX : 0;
  request->priority = route != NULL ? route->priority : 0;
  if (!request->has_accounts && tenant.base != NULL
      && !sgr_data_request_name_copy (tenant, request->tenant))
    return "bad-tenant";
  sgr_data_account_apply (task, req, request);
  if (route == NULL && class_name.base != NULL
      && !sgr_data_request_name_copy (class_name, request->class_name))
    return "bad-class";
  if (!idempotent_read (req, route != NULL ? route->idempotency : policy->idempotency,
                        &request->is_idempotent))
    return "bad-idempotent";
  if (!deadline_read (req, task->fields->deadline, policy, route, &request->deadline_us))
    return "bad-deadline";
  deadline_limit_by_stop (task, &request->deadline_us);
  if (sgr_retry_chain_parse (depth.base, depth.len, retries.base, retries.len, &request->chain)
      != SGR_OK)
    return "bad-chain";
  if (!key_read (req, request))
    return "bad-idempotency-key";
  return NULL;
}
