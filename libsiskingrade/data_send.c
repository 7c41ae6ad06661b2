#include <stdio.h>
#include <string.h>

#include "data_call_internal.h"
#include "data_link.h"
#include "http_fields.h"

/* Sets @id, the id member of the message in @frame, to the id of the attempt and sends the frame.
   Does nothing if the attempt has no link. */
static void
attempt_frame_send (sgr_data_attempt_t *attempt, Sgr__Pb__PeerFrame *frame, Sgr__Pb__AttemptId **id)
{
  Sgr__Pb__AttemptId message;

  if (attempt->link == NULL)
    return;
  sgr_frame_attempt_id_set (&message, &attempt->id);
  *id = &message;
  sgr_data_link_send (attempt->link, frame, SGR_PEER_URGENT);
}

void
sgr_data_send_cancel (sgr_data_attempt_t *attempt)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Cancel message = SGR__PB__CANCEL__INIT;

  message.gate_boot = attempt->gate_boot;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CANCEL;
  frame.cancel = &message;
  attempt_frame_send (attempt, &frame, &message.id);
}

void
sgr_data_send_query (sgr_data_attempt_t *attempt)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Query message = SGR__PB__QUERY__INIT;

  message.gate_boot = attempt->gate_boot;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_QUERY;
  frame.query = &message;
  attempt_frame_send (attempt, &frame, &message.id);
}

void
sgr_data_send_credit (sgr_data_attempt_t *attempt, size_t bytes)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Credit message = SGR__PB__CREDIT__INIT;

  if (bytes == 0)
    return;
  message.bytes = (uint32_t)bytes;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CREDIT;
  frame.credit = &message;
  attempt_frame_send (attempt, &frame, &message.id);
}

static void
header_set (Sgr__Pb__Header *header, const char *name, const char *value)
{
  sgr__pb__header__init (header);
  header->name = (char *)name;
  header->value = (char *)value;
}

/* Service of the target beside which this node runs: from the settings, or else as the target
   announced it. NULL if there is none. */
static const char *
local_service_name (const sgr_data_task_t *task)
{
  if (task->settings->service[0] != '\0')
    return task->settings->service;
  if (task->snapshot == NULL || task->snapshot->local.service[0] == '\0')
    return NULL;
  return task->snapshot->local.service;
}

/* Maximum number of fields that headers_fill() adds to those of the caller: depth and retries of
   the call chain, the caller's service, and the account's name. */
#define HEADERS_ADDED_MAX 4

/* Whether a field of the caller's request is forwarded to the target. */
static bool
header_is_forwarded (const sgr_data_call_t *call, const char *name, size_t length)
{
  return sgr_http_is_forwarded (name, length)
         && !sgr_call_fields_is_set_by_node (call->task->fields, name, length)
         && !(call->request.has_accounts
              && sgr_call_fields_is_of_account (call->task->fields, name, length));
}

/* Sets the header fields for the target: those of the caller's request that are forwarded, and
   those that the entry adds. Returns their number. */
static size_t
headers_fill (const sgr_data_call_t *call, const sgr_retry_chain_t *chain, Sgr__Pb__Header *headers,
              Sgr__Pb__Header **pointers)
{
  const char *service = local_service_name (call->task);
  h2o_req_t *req = call->req;
  size_t used = 0;

  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      if (!header_is_forwarded (call, header->name->base, header->name->len))
        continue;
      header_set (&headers[used++],
                  h2o_strdup (&req->pool, header->name->base, header->name->len).base,
                  h2o_strdup (&req->pool, header->value.base, header->value.len).base);
    }
  for (int i = 0; i < 2; i++)
    {
      char number[16];
      int length = snprintf (number, sizeof number, "%u", i == 0 ? chain->depth : chain->retries);

      header_set (&headers[used++], i == 0 ? "siskingrade-depth" : "siskingrade-retry-budget",
                  h2o_strdup (&req->pool, number, (size_t)length).base);
    }
  if (service != NULL)
    header_set (&headers[used++], call->task->fields->caller_service, service);
  if (call->request.account != SGR_ACCOUNT_NONE && call->task->fields->tenant != NULL)
    header_set (&headers[used++], call->task->fields->tenant,
                call->request.tenant_name != NULL ? call->request.tenant_name
                                                  : call->request.tenant);
  for (size_t i = 0; i < used; i++)
    pointers[i] = &headers[i];
  return used;
}

static sgr_result_t
body_part_send (sgr_data_attempt_t *attempt)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__CallBody part = SGR__PB__CALL_BODY__INIT;
  h2o_iovec_t body = attempt->call->req->entity;
  Sgr__Pb__AttemptId id;

  sgr_frame_attempt_id_set (&id, &attempt->id);
  part.id = &id;
  part.offset = attempt->body_sent;
  part.data.data = (uint8_t *)body.base + attempt->body_sent;
  part.data.len = body.len - attempt->body_sent;
  if (part.data.len > SGR_FRAME_CHUNK_BYTES)
    part.data.len = SGR_FRAME_CHUNK_BYTES;
  attempt->body_sent += part.data.len;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CALL_BODY;
  frame.call_body = &part;
  return sgr_data_link_send (attempt->link, &frame,
                             body.len > SGR_FRAME_CHUNK_BYTES ? SGR_PEER_BULK : SGR_PEER_URGENT);
}

/* Sends the body of a call. The rest of a large one waits for room in the queue of the link, so
   that no second copy of it is held. */
static sgr_result_t
body_send (sgr_data_attempt_t *attempt)
{
  size_t length = attempt->call->req->entity.len;
  sgr_result_t result = SGR_OK;

  while (attempt->body_sent < length && result == SGR_OK
         && (length <= SGR_FRAME_CHUNK_BYTES
             || (!sgr_data_link_has_waiting_body (attempt->link)
                 && sgr_data_link_has_room (attempt->link))))
    result = body_part_send (attempt);
  if (attempt->body_sent < length && result == SGR_OK)
    sgr_data_link_body_wait (attempt->link, attempt);
  return result;
}

bool
sgr_data_send_body_continue (sgr_data_attempt_t *attempt)
{
  const sgr_data_call_t *call = attempt->call;

  if (call->req == NULL || attempt->body_sent >= call->req->entity.len
      || call->plan.attempts[attempt->id.attempt].state != SGR_CALL_ATTEMPT_SENT)
    return false;
  /* A failed connection reports its close to the attempts itself. */
  return body_part_send (attempt) == SGR_OK;
}

static void
key_fill (const sgr_data_call_request_t *request, Sgr__Pb__IdempotencyKey *key)
{
  sgr__pb__idempotency_key__init (key);
  key->high = request->key.high;
  key->low = request->key.low;
  key->generation = request->issued_key.generation;
  key->fingerprint_high = request->fingerprint.high;
  key->fingerprint_low = request->fingerprint.low;
}

sgr_result_t
sgr_data_send_call (sgr_data_attempt_t *attempt, const sgr_retry_chain_t *chain)
{
  sgr_data_call_t *call = attempt->call;
  h2o_req_t *req = call->req;
  uint64_t now_us = sgr_clock_monotonic_us ();
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Call message = SGR__PB__CALL__INIT;
  Sgr__Pb__IdempotencyKey key;
  Sgr__Pb__AttemptId id;
  size_t capacity = req->headers.size + HEADERS_ADDED_MAX;
  Sgr__Pb__Header *headers = h2o_mem_alloc_pool (&req->pool, capacity * sizeof *headers);
  sgr_result_t result;

  message.headers = h2o_mem_alloc_pool (&req->pool, capacity * sizeof *message.headers);
  message.n_headers = headers_fill (call, chain, headers, message.headers);
  sgr_frame_attempt_id_set (&id, &attempt->id);
  message.id = &id;
  message.gate_boot = attempt->gate_boot;
  message.remaining_us
      = call->request.deadline_us > now_us ? call->request.deadline_us - now_us : 0;
  /* In a Call frame, 0 means that the call has no time limit for being on time. A call that is late
     already is sent with 1 microsecond, so that the gate treats it as late. */
  if (call->request.on_time_us > 0)
    message.on_time_us = call->request.on_time_us > now_us ? call->request.on_time_us - now_us : 1;
  message.service = call->request.service;
  message.tenant = call->request.tenant;
  message.class_name = call->request.class_name;
  message.method = h2o_strdup (&req->pool, req->method.base, req->method.len).base;
  message.path = h2o_strdup (&req->pool, req->path.base, req->path.len).base;
  message.authority = h2o_strdup (&req->pool, req->authority.base, req->authority.len).base;
  message.priority = call->request.priority;
  message.may_wait = attempt->may_wait;
  message.idempotent = call->request.is_idempotent;
  message.body_length = req->entity.len;
  message.credit = SGR_ANSWER_WINDOW_BYTES;
  if (call->request.has_key)
    {
      key_fill (&call->request, &key);
      message.key = &key;
    }
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CALL;
  frame.call = &message;
  result = sgr_data_link_send (attempt->link, &frame, SGR_PEER_URGENT);
  return result == SGR_OK ? body_send (attempt) : result;
}
