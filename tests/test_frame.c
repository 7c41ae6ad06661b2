#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "frame.h"
#include "rng.h"

/* Encoding and decoding of the frames between nodes. Encoded frames are decoded unchanged; any
   other input is an error, and neither a crash nor a frame. */

typedef struct
{
  const char *name;
  const char *bytes;
  size_t length;
  sgr_result_t result;
} bad_case_t;

#define BYTES(text) (text), sizeof (text) - 1

static void
test_bad_bytes (void **state)
{
  static const bad_case_t cases[] = {
    { "nothing", BYTES (""), SGR_OK },
    { "part of the length", BYTES ("\0\0\0"), SGR_OK },
    { "length only", BYTES ("\0\0\0\x05"), SGR_OK },
    { "truncated", BYTES ("\0\0\0\x05\x62\x02\x08"), SGR_OK },
    { "empty", BYTES ("\0\0\0\0"), SGR_ERR_INVALID },
    { "one byte too long", BYTES ("\0\1\x10\1"), SGR_ERR_LIMIT },
    { "longest length", BYTES ("\xff\xff\xff\xff"), SGR_ERR_LIMIT },
    { "no body", BYTES ("\0\0\0\2\xf8\1"), SGR_ERR_INVALID },
    { "unknown field only", BYTES ("\0\0\0\3\xf0\x01\x05"), SGR_ERR_INVALID },
    { "length of a field beyond the frame", BYTES ("\0\0\0\2\x62\x7f"), SGR_ERR_INVALID },
    { "wrong wire type", BYTES ("\0\0\0\2\x60\x01"), SGR_ERR_INVALID },
    { "call without an id", BYTES ("\0\0\0\2\x12\0"), SGR_ERR_INVALID },
    { "query without an id", BYTES ("\0\0\0\2\x2a\0"), SGR_ERR_INVALID },
    { "end without an id", BYTES ("\0\0\0\2\x4a\0"), SGR_ERR_INVALID },
    { "HTTP", BYTES ("GET / HTTP/1.1\r\n\r\n"), SGR_ERR_LIMIT },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      Sgr__Pb__PeerFrame *frame;
      size_t consumed;
      sgr_result_t result
          = sgr_frame_decode ((const uint8_t *)cases[i].bytes, cases[i].length, &frame, &consumed);

      if (result != cases[i].result || frame != NULL || consumed != 0)
        fail_msg ("%s: result %d, expected %d, %zu bytes", cases[i].name, result, cases[i].result,
                  consumed);
    }
}

static void
chunk_append (sgr_buffer_t *encoded, const sgr_attempt_id_t *id, size_t length)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__AnswerChunk chunk = SGR__PB__ANSWER_CHUNK__INIT;
  Sgr__Pb__AttemptId message;
  uint8_t *data = calloc (1, length + 1);

  sgr_frame_attempt_id_set (&message, id);
  chunk.id = &message;
  chunk.offset = 7;
  chunk.data.data = data;
  chunk.data.len = length;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK;
  frame.answer_chunk = &chunk;
  assert_int_equal (sgr_frame_append (encoded, &frame),
                    length <= SGR_FRAME_CHUNK_BYTES ? SGR_OK : SGR_ERR_LIMIT);
  free (data);
}

/* Frames that arrive in pieces are decoded whole and in order. */
static void
test_round_trip (void **state)
{
  const sgr_attempt_id_t id
      = { .node = UINT64_MAX, .boot = 1, .sequence = 1ULL << 60, .attempt = 3 };
  sgr_buffer_t encoded = { 0 };
  sgr_attempt_id_t decoded_id;
  size_t count = 0;
  size_t offset = 0;

  chunk_append (&encoded, &id, 0);
  chunk_append (&encoded, &id, 100);
  chunk_append (&encoded, &id, SGR_FRAME_CHUNK_BYTES);
  chunk_append (&encoded, &id, SGR_FRAME_CHUNK_BYTES + 5 * 1024);
  for (size_t received = 0; received <= encoded.length; received++)
    {
      Sgr__Pb__PeerFrame *frame;
      size_t consumed;

      assert_int_equal (
          sgr_frame_decode (encoded.bytes + offset, received - offset, &frame, &consumed), SGR_OK);
      if (frame == NULL)
        continue;
      assert_true (sgr_frame_attempt_id (frame, &decoded_id));
      /* Field by field, because the structure has padding with undefined content. */
      assert_int_equal (decoded_id.node, id.node);
      assert_int_equal (decoded_id.boot, id.boot);
      assert_int_equal (decoded_id.sequence, id.sequence);
      assert_int_equal (decoded_id.attempt, id.attempt);
      assert_int_equal (frame->answer_chunk->offset, 7);
      assert_int_equal (frame->answer_chunk->data.len, count == 0   ? 0
                                                       : count == 1 ? 100
                                                                    : SGR_FRAME_CHUNK_BYTES);
      sgr_frame_free (frame);
      offset += consumed;
      count++;
    }
  assert_int_equal (offset, encoded.length);
  assert_int_equal (count, 3);
  sgr_buffer_release (&encoded);
}

/* Random bytes, and a valid frame with one changed byte, are either decoded whole or rejected. */
static void
test_random_bytes (void **state)
{
  const sgr_attempt_id_t id = { .node = 1, .boot = 2, .sequence = 3, .attempt = 0 };
  sgr_rng_t rng;
  uint8_t bytes[256];
  sgr_buffer_t valid = { 0 };

  sgr_rng_seed (&rng, 42);
  chunk_append (&valid, &id, 60);
  for (int i = 0; i < 50000; i++)
    {
      Sgr__Pb__PeerFrame *frame;
      size_t consumed;
      size_t length = valid.length;

      memcpy (bytes, valid.bytes, length);
      if (i % 2 == 0)
        {
          length = 5 + (size_t)(sgr_rng_next (&rng) % 200);
          for (size_t j = 0; j < length; j++)
            bytes[j] = (uint8_t)sgr_rng_next (&rng);
          bytes[0] = bytes[1] = bytes[2] = 0;
          bytes[3] = (uint8_t)(length - 4);
        }
      else
        bytes[4 + sgr_rng_next (&rng) % (length - 4)] = (uint8_t)sgr_rng_next (&rng);
      if (sgr_frame_decode (bytes, length, &frame, &consumed) == SGR_OK && frame != NULL)
        assert_int_equal (consumed, length);
      sgr_frame_free (frame);
    }
  sgr_buffer_release (&valid);
}

/* An undefined target state in a load report must not reach the balancer; it is decoded as
   SGR_TARGET_NONE. */
static void
test_load_out_of_range (void **state)
{
  Sgr__Pb__LoadReport message = SGR__PB__LOAD_REPORT__INIT;
  sgr_load_report_t load;

  message.state = 4000000000U;
  message.slots = UINT32_MAX;
  sgr_frame_load_get (&message, &load);
  assert_int_equal (load.state, SGR_TARGET_NONE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bad_bytes),
    cmocka_unit_test (test_round_trip),
    cmocka_unit_test (test_random_bytes),
    cmocka_unit_test (test_load_out_of_range),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
