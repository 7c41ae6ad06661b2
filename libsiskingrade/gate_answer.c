#include "gate_run.h"

#include <stdlib.h>
#include <string.h>

#include "http_fields.h"

/* Size of the first field of a recorded answer. A recorded answer consists of the length of the
   encoded head (uint32_t in host byte order), the encoded AnswerHead, and the body. */
#define HEAD_LENGTH_BYTES 4
/* Header fields of an answer beyond this number are dropped, as in the target client. */
#define HEADER_FIELDS_MAX 100

/* Answers up to this size are sent with urgent priority, larger ones with bulk priority: on a
   shared connection, small answers are sent first. */
#define URGENT_ANSWER_MAX_BYTES (16U * 1024)
/* Longest part of a body in one frame. */
#define CHUNK_MAX_BYTES (32U * 1024)

void
sgr_gate_refusal_send (const sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                       const sgr_attempt_id_t *id, const sgr_gate_refusal_t *refusal)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Refusal message = SGR__PB__REFUSAL__INIT;
  Sgr__Pb__AttemptId id_message;
  Sgr__Pb__LoadReport load;

  sgr_frame_attempt_id_set (&id_message, id);
  sgr_data_gate_load_report (gate, &load);
  message.id = &id_message;
  message.outcome = refusal->outcome;
  message.call_reason = refusal->reason;
  message.gate_reason = refusal->gate_reason;
  message.retry_after_ms = refusal->retry_after_ms;
  message.load = &load;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_REFUSAL;
  frame.refusal = &message;
  channel->send (channel->ctx, &frame, SGR_PEER_URGENT);
}

void
sgr_gate_query_reply_send (sgr_data_channel_t *channel, const sgr_attempt_id_t *id,
                           const sgr_gate_status_t *status)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__QueryReply message = SGR__PB__QUERY_REPLY__INIT;
  Sgr__Pb__AttemptId id_message;

  sgr_frame_attempt_id_set (&id_message, id);
  message.id = &id_message;
  message.phase = status->phase;
  message.outcome = status->outcome;
  message.gate_reason = status->reason;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_QUERY_REPLY;
  frame.query_reply = &message;
  channel->send (channel->ctx, &frame, SGR_PEER_URGENT);
}

static char *
text_copy (const char *text, size_t length)
{
  char *copy = malloc (length + 1);

  sgr_invariant (copy != NULL);
  memcpy (copy, text, length);
  copy[length] = '\0';
  return copy;
}

void
sgr_gate_answer_head_encode (sgr_buffer_t *record, int status, const sgr_http_field_t *fields,
                             size_t count, int64_t body_length, bool is_head_method)
{
  Sgr__Pb__AnswerHead head = SGR__PB__ANSWER_HEAD__INIT;
  Sgr__Pb__Header headers[HEADER_FIELDS_MAX];
  Sgr__Pb__Header *pointers[HEADER_FIELDS_MAX];
  uint32_t size;
  size_t used = 0;

  for (size_t i = 0; i < count && used < HEADER_FIELDS_MAX; i++)
    {
      const sgr_http_field_t *field = &fields[i];
      /* The entry needs these fields, although sgr_http_is_forwarded() excludes them. */
      bool is_always_forwarded
          = h2o_lcstris (field->name, field->name_length, H2O_STRLIT ("siskingrade-retried"))
            || (is_head_method
                && h2o_lcstris (field->name, field->name_length, H2O_STRLIT ("content-length")));

      if (!is_always_forwarded && !sgr_http_is_forwarded (field->name, field->name_length))
        continue;
      sgr__pb__header__init (&headers[used]);
      headers[used].name = text_copy (field->name, field->name_length);
      headers[used].value = text_copy (field->value, field->value_length);
      pointers[used] = &headers[used];
      used++;
    }
  head.status = (uint32_t)status;
  head.body_length = body_length;
  head.n_headers = used;
  head.headers = pointers;
  size = (uint32_t)sgr__pb__answer_head__get_packed_size (&head);
  sgr_buffer_append (record, &size, sizeof size);
  sgr__pb__answer_head__pack (&head, sgr_buffer_reserve (record, size));
  record->length += size;
  for (size_t i = 0; i < used; i++)
    {
      free (headers[i].name);
      free (headers[i].value);
    }
}

static uint32_t
recorded_head_length (const uint8_t *record)
{
  uint32_t size;

  memcpy (&size, record, sizeof size);
  return size;
}

bool
sgr_gate_answer_head_send (sgr_gate_waiter_t *waiter, const uint8_t *record, size_t length)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  uint32_t size = recorded_head_length (record);
  Sgr__Pb__AttemptId id_message;
  Sgr__Pb__AnswerHead *head;

  sgr_invariant (length >= HEAD_LENGTH_BYTES + size);
  if (size > SGR_HTTP_HEAD_MAX_BYTES)
    return false;
  head = sgr__pb__answer_head__unpack (NULL, size, record + HEAD_LENGTH_BYTES);
  sgr_invariant (head != NULL);
  sgr_frame_attempt_id_set (&id_message, &waiter->id);
  head->id = &id_message;
  if (head->body_length > (int64_t)URGENT_ANSWER_MAX_BYTES)
    waiter->is_bulk = true;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_HEAD;
  frame.answer_head = head;
  waiter->channel->send (waiter->channel->ctx, &frame, SGR_PEER_URGENT);
  head->id = NULL;
  sgr__pb__answer_head__free_unpacked (head, NULL);
  return true;
}

void
sgr_gate_answer_chunk_send (sgr_gate_waiter_t *waiter, const uint8_t *bytes, size_t length)
{
  Sgr__Pb__AttemptId id_message;

  sgr_frame_attempt_id_set (&id_message, &waiter->id);
  while (length > 0)
    {
      Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
      Sgr__Pb__AnswerChunk chunk = SGR__PB__ANSWER_CHUNK__INIT;
      size_t part = length < CHUNK_MAX_BYTES ? length : CHUNK_MAX_BYTES;

      if (waiter->sent + part > URGENT_ANSWER_MAX_BYTES)
        waiter->is_bulk = true;
      chunk.id = &id_message;
      chunk.offset = waiter->sent;
      chunk.data.data = (uint8_t *)bytes;
      chunk.data.len = part;
      frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK;
      frame.answer_chunk = &chunk;
      waiter->channel->send (waiter->channel->ctx, &frame,
                             waiter->is_bulk ? SGR_PEER_BULK : SGR_PEER_URGENT);
      waiter->sent += part;
      bytes += part;
      length -= part;
    }
}

void
sgr_gate_answer_end_send (const sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__AnswerEnd end = SGR__PB__ANSWER_END__INIT;
  Sgr__Pb__AttemptId id_message;
  Sgr__Pb__LoadReport load;

  sgr_frame_attempt_id_set (&id_message, &waiter->id);
  sgr_data_gate_load_report (gate, &load);
  end.id = &id_message;
  end.length = waiter->sent;
  end.load = &load;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_END;
  frame.answer_end = &end;
  waiter->channel->send (waiter->channel->ctx, &frame,
                         waiter->is_bulk ? SGR_PEER_BULK : SGR_PEER_URGENT);
}

bool
sgr_gate_recorded_answer_send (const sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter,
                               const uint8_t *record, size_t length)
{
  size_t head = HEAD_LENGTH_BYTES + recorded_head_length (record);

  if (!sgr_gate_answer_head_send (waiter, record, length))
    return false;
  /* The body is sent without waiting for credit, because the ledger limits its length. */
  sgr_gate_answer_chunk_send (waiter, record + head, length - head);
  sgr_gate_answer_end_send (gate, waiter);
  return true;
}
