#include <stdint.h>
#include <stdlib.h>

#include "frame.h"
#include "gate_request.h"

/* Fuzzes the decoder of peer frames. The encoder must accept each decoded frame, and a valid call
   must convert to the head of an HTTP request. */

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);

static void
call_convert (const Sgr__Pb__Call *call)
{
  const sgr_attempt_id_t id = { .node = 1 };
  sgr_buffer_t message = { 0 };

  if (sgr_gate_request_is_valid (call))
    sgr_gate_request_head_begin (call, &id, NULL, "", 0, &message);
  sgr_buffer_release (&message);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length)
{
  Sgr__Pb__PeerFrame *frame;
  size_t consumed;

  while (sgr_frame_decode (bytes, length, &frame, &consumed) == SGR_OK && frame != NULL)
    {
      sgr_buffer_t reencoded = { 0 };
      sgr_attempt_id_t id;

      if (sgr_frame_append (&reencoded, frame) != SGR_OK)
        abort ();
      sgr_frame_attempt_id (frame, &id);
      if (frame->body_case == SGR__PB__PEER_FRAME__BODY_CALL)
        call_convert (frame->call);
      sgr_buffer_release (&reencoded);
      sgr_frame_free (frame);
      bytes += consumed;
      length -= consumed;
    }
  return 0;
}
