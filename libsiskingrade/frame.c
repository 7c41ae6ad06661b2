#include "frame.h"

#include <string.h>

sgr_result_t
sgr_frame_append (sgr_buffer_t *out, const Sgr__Pb__PeerFrame *frame)
{
  size_t length = sgr__pb__peer_frame__get_packed_size (frame);
  uint8_t *header;

  if (length > SGR_FRAME_MAX_BYTES)
    return SGR_ERR_LIMIT;
  header = sgr_buffer_reserve (out, SGR_FRAME_HEADER_BYTES + length);
  header[0] = (uint8_t)(length >> 24);
  header[1] = (uint8_t)(length >> 16);
  header[2] = (uint8_t)(length >> 8);
  header[3] = (uint8_t)length;
  sgr__pb__peer_frame__pack (frame, header + SGR_FRAME_HEADER_BYTES);
  out->length += SGR_FRAME_HEADER_BYTES + length;
  return SGR_OK;
}

/* Returns the attempt id of a message, NULL if it has none. */
static const Sgr__Pb__AttemptId *
attempt_id_of (const Sgr__Pb__PeerFrame *frame)
{
  switch (frame->body_case)
    {
    case SGR__PB__PEER_FRAME__BODY_CALL:
      return frame->call->id;
    case SGR__PB__PEER_FRAME__BODY_CALL_BODY:
      return frame->call_body->id;
    case SGR__PB__PEER_FRAME__BODY_CANCEL:
      return frame->cancel->id;
    case SGR__PB__PEER_FRAME__BODY_QUERY:
      return frame->query->id;
    case SGR__PB__PEER_FRAME__BODY_CREDIT:
      return frame->credit->id;
    case SGR__PB__PEER_FRAME__BODY_ANSWER_HEAD:
      return frame->answer_head->id;
    case SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK:
      return frame->answer_chunk->id;
    case SGR__PB__PEER_FRAME__BODY_ANSWER_END:
      return frame->answer_end->id;
    case SGR__PB__PEER_FRAME__BODY_REFUSAL:
      return frame->refusal->id;
    case SGR__PB__PEER_FRAME__BODY_QUERY_REPLY:
      return frame->query_reply->id;
    default:
      return NULL;
    }
}

/* Whether a message has a body and, if its type needs one, an attempt id. */
static bool
has_required_parts (const Sgr__Pb__PeerFrame *frame)
{
  switch (frame->body_case)
    {
    case SGR__PB__PEER_FRAME__BODY__NOT_SET:
      return false;
    case SGR__PB__PEER_FRAME__BODY_HELLO:
    case SGR__PB__PEER_FRAME__BODY_PING:
    case SGR__PB__PEER_FRAME__BODY_PONG:
    case SGR__PB__PEER_FRAME__BODY_LOAD:
    case SGR__PB__PEER_FRAME__BODY_QUOTA_REQUEST:
    case SGR__PB__PEER_FRAME__BODY_QUOTA_REPLY:
      return true;
    default:
      return attempt_id_of (frame) != NULL;
    }
}

sgr_result_t
sgr_frame_decode (const uint8_t *bytes, size_t length, Sgr__Pb__PeerFrame **frame, size_t *consumed)
{
  size_t message_length;

  *frame = NULL;
  *consumed = 0;
  if (length < SGR_FRAME_HEADER_BYTES)
    return SGR_OK;
  message_length
      = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 | (size_t)bytes[2] << 8 | bytes[3];
  if (message_length > SGR_FRAME_MAX_BYTES)
    return SGR_ERR_LIMIT;
  if (message_length == 0)
    return SGR_ERR_INVALID;
  if (length < SGR_FRAME_HEADER_BYTES + message_length)
    return SGR_OK;
  *frame = sgr__pb__peer_frame__unpack (NULL, message_length, bytes + SGR_FRAME_HEADER_BYTES);
  if (*frame == NULL)
    return SGR_ERR_INVALID;
  if (!has_required_parts (*frame))
    {
      sgr_frame_free (*frame);
      *frame = NULL;
      return SGR_ERR_INVALID;
    }
  *consumed = SGR_FRAME_HEADER_BYTES + message_length;
  return SGR_OK;
}

void
sgr_frame_free (Sgr__Pb__PeerFrame *frame)
{
  if (frame != NULL)
    sgr__pb__peer_frame__free_unpacked (frame, NULL);
}

bool
sgr_frame_attempt_id (const Sgr__Pb__PeerFrame *frame, sgr_attempt_id_t *id)
{
  const Sgr__Pb__AttemptId *message = attempt_id_of (frame);

  if (message == NULL)
    return false;
  id->node = message->node;
  id->boot = message->boot;
  id->sequence = message->sequence;
  id->attempt = message->attempt;
  return true;
}

void
sgr_frame_attempt_id_set (Sgr__Pb__AttemptId *message, const sgr_attempt_id_t *id)
{
  sgr__pb__attempt_id__init (message);
  message->node = id->node;
  message->boot = id->boot;
  message->sequence = id->sequence;
  message->attempt = id->attempt;
}

void
sgr_frame_load_set (Sgr__Pb__LoadReport *message, const sgr_load_report_t *load)
{
  sgr__pb__load_report__init (message);
  message->in_flight = load->in_flight;
  message->queued = load->queued;
  message->slots = load->slots;
  message->latency_us = load->latency_us;
  message->cost_percent = load->cost_percent;
  message->state = load->state;
  message->cold_calls_per_s = load->cold_calls_per_s;
}

void
sgr_frame_load_get (const Sgr__Pb__LoadReport *message, sgr_load_report_t *load)
{
  *load = (sgr_load_report_t){ .in_flight = message->in_flight,
                               .queued = message->queued,
                               .slots = message->slots,
                               .latency_us = message->latency_us,
                               .cost_percent = message->cost_percent,
                               .cold_calls_per_s = message->cold_calls_per_s };
  load->state
      = message->state <= SGR_TARGET_LEFT ? (sgr_target_state_t)message->state : SGR_TARGET_NONE;
}
