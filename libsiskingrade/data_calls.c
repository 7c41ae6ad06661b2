#include "data_peer.h"

#include <stdlib.h>
#include <string.h>

#include "gate_request.h"

/* Handles the frames that a gate receives from an entry. A call is passed to the gate once its
   whole body has arrived. */

/* Maximum number of calls with an incomplete body on one channel; further ones are refused. The
   heads of calls overtake the bodies of earlier ones, so that a busy entry may reach the limit. */
#define PARTIAL_CALLS_MAX 1024

typedef struct
{
  sgr_attempt_id_t id;
  Sgr__Pb__Call *call;
  sgr_buffer_t body;
  sgr_memory_holder_t memory;
} partial_call_t;

/**
 * struct sgr_data_calls_t - calls of one channel with an incomplete body
 * @gate: gate that receives the calls
 * @memory: budget that counts the bodies
 * @body_max_bytes: maximum length of a body
 * @partial: calls by sgr_data_attempt_map_key(); this key does not contain the node and the boot of
 * the entry, which are the same for all calls of a channel
 */
struct sgr_data_calls_t
{
  sgr_data_gate_t *gate;
  sgr_memory_budget_t *memory;
  uint64_t body_max_bytes;
  sgr_id_map_t *partial;
};

sgr_data_calls_t *
sgr_data_calls_create (sgr_data_gate_t *gate, sgr_memory_budget_t *memory, uint64_t body_max_bytes)
{
  sgr_data_calls_t *calls = calloc (1, sizeof *calls);

  sgr_invariant (calls != NULL);
  calls->gate = gate;
  calls->memory = memory;
  calls->body_max_bytes = body_max_bytes;
  calls->partial = sgr_id_map_create ();
  return calls;
}

static void
partial_call_free (partial_call_t *partial)
{
  sgr_memory_holder_end (&partial->memory);
  sgr__pb__call__free_unpacked (partial->call, NULL);
  sgr_buffer_release (&partial->body);
  free (partial);
}

void
sgr_data_calls_destroy (sgr_data_calls_t *calls)
{
  partial_call_t *partial;
  size_t cursor = 0;

  if (calls == NULL)
    return;
  while ((partial = sgr_id_map_next (calls->partial, &cursor)) != NULL)
    partial_call_free (partial);
  sgr_id_map_destroy (calls->partial);
  free (calls);
}

/* Copies a message, since the original is freed together with its frame. */
static Sgr__Pb__Call *
call_copy (const Sgr__Pb__Call *call)
{
  sgr_buffer_t packed = { 0 };
  Sgr__Pb__Call *copy;

  packed.length = sgr__pb__call__pack (
      call, sgr_buffer_reserve (&packed, sgr__pb__call__get_packed_size (call)));
  copy = sgr__pb__call__unpack (NULL, packed.length, packed.bytes);
  sgr_invariant (copy != NULL);
  sgr_buffer_release (&packed);
  return copy;
}

static sgr_result_t
call_begin (sgr_data_calls_t *calls, sgr_data_channel_t *channel, const Sgr__Pb__Call *call,
            const sgr_attempt_id_t *id)
{
  partial_call_t *partial;
  sgr_buffer_t no_body = { 0 };

  if (!sgr_gate_request_is_valid (call) || call->body_length > calls->body_max_bytes
      || id->attempt >= SGR_CALL_ATTEMPTS_MAX
      || call->remaining_us > SGR_DEADLINE_MAX_MS * SGR_USEC_PER_MSEC)
    return SGR_ERR_INVALID;
  if (call->body_length == 0)
    {
      sgr_data_gate_call (calls->gate, channel, call, &no_body);
      return SGR_OK;
    }
  if (sgr_id_map_get (calls->partial, sgr_data_attempt_map_key (id)) != NULL)
    return SGR_ERR_INVALID;
  partial = calloc (1, sizeof *partial);
  sgr_invariant (partial != NULL);
  partial->memory.kind = SGR_MEMORY_GATE;
  sgr_memory_holder_begin (&partial->memory, calls->memory, sgr_clock_monotonic_us ());
  if (sgr_id_map_count (calls->partial) >= PARTIAL_CALLS_MAX
      || sgr_memory_budget_admit (&partial->memory, call->body_length, sgr_clock_monotonic_us ())
             != SGR_OK)
    {
      sgr_data_gate_body_refuse (calls->gate, channel, call);
      sgr_memory_holder_end (&partial->memory);
      free (partial);
      return SGR_OK; /* the parts of the body that follow are ignored */
    }
  partial->id = *id;
  partial->call = call_copy (call);
  sgr_id_map_put (calls->partial, sgr_data_attempt_map_key (id), partial);
  return SGR_OK;
}

static sgr_result_t
call_body_append (sgr_data_calls_t *calls, sgr_data_channel_t *channel,
                  const Sgr__Pb__CallBody *part, const sgr_attempt_id_t *id)
{
  partial_call_t *partial = sgr_id_map_get (calls->partial, sgr_data_attempt_map_key (id));

  if (partial == NULL)
    return SGR_OK; /* the call was cancelled before its whole body arrived */
  if (part->offset != partial->body.length
      || part->data.len > partial->call->body_length - partial->body.length)
    return SGR_ERR_INVALID;
  /* The length is known and counted, and memory that is not written costs nothing. */
  if (partial->body.bytes == NULL)
    sgr_buffer_reserve_exact (&partial->body, partial->call->body_length);
  sgr_buffer_append (&partial->body, part->data.data, part->data.len);
  if (partial->body.length < partial->call->body_length)
    return SGR_OK;
  sgr_id_map_remove (calls->partial, sgr_data_attempt_map_key (id));
  sgr_memory_holder_end (&partial->memory); /* the gate counts the body from now on */
  sgr_data_gate_call (calls->gate, channel, partial->call, &partial->body);
  partial_call_free (partial);
  return SGR_OK;
}

static void
call_discard (sgr_data_calls_t *calls, const sgr_attempt_id_t *id)
{
  partial_call_t *partial = sgr_id_map_remove (calls->partial, sgr_data_attempt_map_key (id));

  if (partial != NULL)
    partial_call_free (partial);
}

sgr_result_t
sgr_data_calls_frame_handle (sgr_data_calls_t *calls, sgr_data_channel_t *channel,
                             const Sgr__Pb__PeerFrame *frame)
{
  sgr_attempt_id_t id;

  if (!sgr_frame_attempt_id (frame, &id))
    return SGR_ERR_INVALID;
  /* The attempt id has to contain the node and the boot of the entry that sent the frame. Otherwise
     the frame could settle or cancel an attempt of another entry. */
  if (id.node != channel->node || id.boot != channel->boot)
    return SGR_ERR_INVALID;
  switch (frame->body_case)
    {
    case SGR__PB__PEER_FRAME__BODY_CALL:
      return call_begin (calls, channel, frame->call, &id);
    case SGR__PB__PEER_FRAME__BODY_CALL_BODY:
      return call_body_append (calls, channel, frame->call_body, &id);
    case SGR__PB__PEER_FRAME__BODY_CANCEL:
      call_discard (calls, &id);
      sgr_data_gate_cancel (calls->gate, channel, &id, frame->cancel->gate_boot);
      return SGR_OK;
    case SGR__PB__PEER_FRAME__BODY_QUERY:
      sgr_data_gate_query (calls->gate, channel, &id, frame->query->gate_boot);
      return SGR_OK;
    case SGR__PB__PEER_FRAME__BODY_CREDIT:
      sgr_data_gate_credit (calls->gate, &id, frame->credit->bytes);
      return SGR_OK;
    default:
      return SGR_ERR_INVALID;
    }
}
