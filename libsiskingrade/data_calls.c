#include "data_peer.h"

#include <stdlib.h>
#include <string.h>

#include "gate_request.h"

/* Bodies that one channel may have open at a time; the entry sends a body without a pause, so more
   means a broken peer. */
#define OPEN_BODIES_MAX 1024

typedef struct
{
  sgr_attempt_id_t id;
  Sgr__Pb__Call *call;
  sgr_buffer_t body;
} open_call_t;

struct sgr_data_calls_t
{
  sgr_data_gate_t *gate;
  uint64_t body_max;
  sgr_id_map_t *open; /* by sgr_data_attempt_key(): one channel has one entry node and boot */
};

sgr_data_calls_t *
sgr_data_calls_create (sgr_data_gate_t *gate, uint64_t body_max)
{
  sgr_data_calls_t *calls = calloc (1, sizeof *calls);

  sgr_invariant (calls != NULL);
  calls->gate = gate;
  calls->body_max = body_max;
  calls->open = sgr_id_map_create ();
  return calls;
}

static void
open_call_free (open_call_t *open)
{
  sgr__pb__call__free_unpacked (open->call, NULL);
  sgr_buffer_release (&open->body);
  free (open);
}

void
sgr_data_calls_destroy (sgr_data_calls_t *calls)
{
  open_call_t *open;
  size_t cursor = 0;

  if (calls == NULL)
    return;
  while ((open = sgr_id_map_next (calls->open, &cursor)) != NULL)
    open_call_free (open);
  sgr_id_map_destroy (calls->open);
  free (calls);
}

/* Copies a message that is freed with its frame. */
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
  open_call_t *open;

  if (!sgr_gate_request_is_valid (call) || call->body_length > calls->body_max
      || id->attempt >= SGR_CALL_ATTEMPTS_MAX
      || call->remaining_us > SGR_DEADLINE_MAX_MS * SGR_USEC_PER_MSEC)
    return SGR_ERR_INVALID;
  if (call->body_length == 0)
    {
      sgr_data_gate_call (calls->gate, channel, call, NULL, 0);
      return SGR_OK;
    }
  if (sgr_id_map_get (calls->open, sgr_data_attempt_key (id)) != NULL
      || sgr_id_map_count (calls->open) >= OPEN_BODIES_MAX)
    return SGR_ERR_INVALID;
  open = calloc (1, sizeof *open);
  sgr_invariant (open != NULL);
  open->id = *id;
  open->call = call_copy (call);
  sgr_id_map_put (calls->open, sgr_data_attempt_key (id), open);
  return SGR_OK;
}

static sgr_result_t
call_continue (sgr_data_calls_t *calls, sgr_data_channel_t *channel, const Sgr__Pb__CallBody *part,
               const sgr_attempt_id_t *id)
{
  open_call_t *open = sgr_id_map_get (calls->open, sgr_data_attempt_key (id));

  if (open == NULL)
    return SGR_OK; /* cancelled while its body was on the way */
  if (part->offset != open->body.length
      || part->data.len > open->call->body_length - open->body.length)
    return SGR_ERR_INVALID;
  sgr_buffer_append (&open->body, part->data.data, part->data.len);
  if (open->body.length < open->call->body_length)
    return SGR_OK;
  sgr_id_map_remove (calls->open, sgr_data_attempt_key (id));
  sgr_data_gate_call (calls->gate, channel, open->call, open->body.bytes, open->body.length);
  open_call_free (open);
  return SGR_OK;
}

static void
call_drop (sgr_data_calls_t *calls, const sgr_attempt_id_t *id)
{
  open_call_t *open = sgr_id_map_remove (calls->open, sgr_data_attempt_key (id));

  if (open != NULL)
    open_call_free (open);
}

sgr_result_t
sgr_data_calls_frame (sgr_data_calls_t *calls, sgr_data_channel_t *channel,
                      const Sgr__Pb__PeerFrame *frame)
{
  sgr_attempt_id_t id;

  if (!sgr_frame_attempt_id (frame, &id))
    return SGR_ERR_INVALID;
  /* A frame in the name of another entry could settle or cancel that entry's attempts. */
  if (id.node != channel->node || id.boot != channel->boot)
    return SGR_ERR_INVALID;
  switch (frame->body_case)
    {
    case SGR__PB__PEER_FRAME__BODY_CALL:
      return call_begin (calls, channel, frame->call, &id);
    case SGR__PB__PEER_FRAME__BODY_CALL_BODY:
      return call_continue (calls, channel, frame->call_body, &id);
    case SGR__PB__PEER_FRAME__BODY_CANCEL:
      call_drop (calls, &id);
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
