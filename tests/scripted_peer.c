#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "scripted_peer.h"

void
sgr_scripted_hello_append (sgr_buffer_t *out, uint32_t version, uint64_t node, bool with_load)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Hello hello = SGR__PB__HELLO__INIT;
  Sgr__Pb__LoadReport load = SGR__PB__LOAD_REPORT__INIT;

  hello.version = version;
  hello.node = node;
  hello.boot = SGR_SCRIPTED_BOOT;
  hello.load = with_load ? &load : NULL;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_HELLO;
  frame.hello = &hello;
  sgr_frame_append (out, &frame);
}

void
sgr_scripted_call_append (sgr_buffer_t *out, const sgr_scripted_call_t *call)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Call message = SGR__PB__CALL__INIT;
  Sgr__Pb__Header header = SGR__PB__HEADER__INIT;
  Sgr__Pb__Header *headers[] = { &header };
  Sgr__Pb__AttemptId id;
  sgr_attempt_id_t attempt = { .node = call->node != 0 ? call->node : SGR_SCRIPTED_NODE,
                               .boot = SGR_SCRIPTED_BOOT,
                               .sequence = call->sequence,
                               .attempt = call->attempt };

  sgr_frame_attempt_id_set (&id, &attempt);
  header.name = (char *)(call->header_name != NULL ? call->header_name : "x-request-id");
  header.value = (char *)(call->header_value != NULL ? call->header_value : "peer");
  message.id = &id;
  message.gate_boot = call->gate_boot;
  message.remaining_us = call->remaining_us != 0 ? call->remaining_us : 1000000;
  message.service = "one";
  message.tenant = "t";
  message.class_name = "c";
  message.method = (char *)(call->method != NULL ? call->method : "POST");
  message.path = (char *)(call->path != NULL ? call->path : "/");
  message.headers = headers;
  message.n_headers = 1;
  message.body_length = call->body_length;
  message.credit = UINT32_MAX;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CALL;
  frame.call = &message;
  sgr_frame_append (out, &frame);
}

void
sgr_scripted_credit_append (sgr_buffer_t *out, uint64_t sequence, uint32_t bytes)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Credit credit = SGR__PB__CREDIT__INIT;
  Sgr__Pb__AttemptId id;
  sgr_attempt_id_t attempt
      = { .node = SGR_SCRIPTED_NODE, .boot = SGR_SCRIPTED_BOOT, .sequence = sequence };

  sgr_frame_attempt_id_set (&id, &attempt);
  credit.id = &id;
  credit.bytes = bytes;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CREDIT;
  frame.credit = &credit;
  sgr_frame_append (out, &frame);
}

Sgr__Pb__PeerFrame *
sgr_scripted_frame_read (int fd, sgr_buffer_t *input)
{
  for (;;)
    {
      Sgr__Pb__PeerFrame *frame;
      size_t consumed;
      ssize_t received;

      assert_int_equal (sgr_frame_decode (input->bytes, input->length, &frame, &consumed), SGR_OK);
      if (frame != NULL)
        {
          sgr_buffer_consume (input, consumed);
          return frame;
        }
      received = recv (fd, sgr_buffer_reserve (input, 65536), 65536, 0);
      if (received <= 0)
        return NULL;
      input->length += (size_t)received;
    }
}
