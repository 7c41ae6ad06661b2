#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

#include "buffer.h"
#include "frame.h"
#include "gate.h"
#include "node_fixture.h"
#include "path_check.h"
#include "rng.h"
#include "scripted_peer.h"
#include "timer_heap.h"

/* A peer that violates the protocol. The node closes the connection of this peer and counts the
   reason; the node itself and calls through other connections continue. */

/* Indices of the nodes in the fixture. Only GATE has a target. */
enum
{
  ENTRY,
  GATE,
  OTHER_NODE,
};

static sgr_fixture_t fixture;

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "gate", "one", true);
  sgr_fixture_node_add (&fixture, "other", NULL, false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static void
ping_append (sgr_buffer_t *out)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Ping ping = SGR__PB__PING__INIT;

  frame.body_case = SGR__PB__PEER_FRAME__BODY_PING;
  frame.ping = &ping;
  sgr_frame_append (out, &frame);
}

static void
body_append (sgr_buffer_t *out, uint64_t sequence, uint64_t offset, size_t length)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__CallBody body = SGR__PB__CALL_BODY__INIT;
  Sgr__Pb__AttemptId id;
  sgr_attempt_id_t attempt
      = { .node = SGR_SCRIPTED_NODE, .boot = SGR_SCRIPTED_BOOT, .sequence = sequence };
  uint8_t data[100] = { 0 };

  sgr_frame_attempt_id_set (&id, &attempt);
  body.id = &id;
  body.offset = offset;
  body.data.data = data;
  body.data.len = length;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_CALL_BODY;
  frame.call_body = &body;
  sgr_frame_append (out, &frame);
}

static void
query_append (sgr_buffer_t *out, uint64_t sequence, uint64_t gate_boot)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Query query = SGR__PB__QUERY__INIT;
  Sgr__Pb__AttemptId id;
  sgr_attempt_id_t attempt
      = { .node = SGR_SCRIPTED_NODE, .boot = SGR_SCRIPTED_BOOT, .sequence = sequence };

  sgr_frame_attempt_id_set (&id, &attempt);
  query.id = &id;
  query.gate_boot = gate_boot;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_QUERY;
  frame.query = &query;
  sgr_frame_append (out, &frame);
}

static void
answer_end_append (sgr_buffer_t *out)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__AnswerEnd end = SGR__PB__ANSWER_END__INIT;
  Sgr__Pb__AttemptId id;
  sgr_attempt_id_t attempt
      = { .node = SGR_SCRIPTED_NODE, .boot = SGR_SCRIPTED_BOOT, .sequence = 1 };

  sgr_frame_attempt_id_set (&id, &attempt);
  end.id = &id;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_ANSWER_END;
  frame.answer_end = &end;
  sgr_frame_append (out, &frame);
}

/* Connects to the gate as another node does. The receive timeout of 10 seconds keeps the test from
   hanging after a fault. */
static int
peer_connect (void)
{
  struct timeval timeout = { .tv_sec = 10 };
  int fd = sgr_probe_connect (fixture.nodes[GATE].peers);

  assert_true (fd >= 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return fd;
}

enum
{
  CASE_PING_FIRST,
  CASE_HELLO_TWICE,
  CASE_WRONG_VERSION,
  CASE_NODE_ZERO,
  CASE_NO_LOAD,
  CASE_ID_OF_OTHER_NODE,
  CASE_BAD_HEADER_NAME,
  CASE_BAD_HEADER_VALUE,
  CASE_BAD_PATH,
  CASE_BAD_METHOD,
  CASE_ATTEMPT_TOO_HIGH,
  CASE_DEADLINE_TOO_LONG,
  CASE_BODY_TOO_LONG,
  CASE_BODY_OFFSET,
  CASE_BODY_PAST_LENGTH,
  CASE_CALL_TWICE,
  CASE_ANSWER_TO_GATE,
  CASE_FRAME_OVERSIZED,
  CASE_FRAME_EMPTY,
  CASE_COUNT,
};

static const sgr_scripted_call_t bad_calls[CASE_COUNT] = {
  [CASE_ID_OF_OTHER_NODE] = { .node = 5, .sequence = 1 },
  [CASE_BAD_HEADER_NAME] = { .sequence = 2, .header_name = "a b" },
  [CASE_BAD_HEADER_VALUE] = { .sequence = 3, .header_value = "a\r\nx: y" },
  [CASE_BAD_PATH] = { .sequence = 4, .path = "/ HTTP/1.1\r\n" },
  [CASE_BAD_METHOD] = { .sequence = 5, .method = "GET /" },
  [CASE_ATTEMPT_TOO_HIGH] = { .sequence = 6, .attempt = 4000000000U },
  [CASE_DEADLINE_TOO_LONG] = { .sequence = 7, .remaining_us = UINT64_MAX },
  [CASE_BODY_TOO_LONG] = { .sequence = 8, .body_length = UINT64_MAX },
  [CASE_BODY_OFFSET] = { .sequence = 9, .body_length = 50 },
  [CASE_BODY_PAST_LENGTH] = { .sequence = 10, .body_length = 50 },
  [CASE_CALL_TWICE] = { .sequence = 11, .body_length = 50 },
};

/* Appends the frames that the peer sends in a case. */
static void
case_frames_append (int case_index, sgr_buffer_t *out)
{
  if (case_index == CASE_PING_FIRST)
    ping_append (out);
  else if (case_index == CASE_WRONG_VERSION || case_index == CASE_NODE_ZERO
           || case_index == CASE_NO_LOAD)
    sgr_scripted_hello_append (out, case_index == CASE_WRONG_VERSION ? 99 : SGR_FRAME_VERSION,
                               case_index == CASE_NODE_ZERO ? 0 : SGR_SCRIPTED_NODE,
                               case_index != CASE_NO_LOAD);
  else
    sgr_scripted_hello_append (out, SGR_FRAME_VERSION, SGR_SCRIPTED_NODE, true);
  if (case_index == CASE_HELLO_TWICE)
    sgr_scripted_hello_append (out, SGR_FRAME_VERSION, SGR_SCRIPTED_NODE, true);
  if (case_index >= CASE_ID_OF_OTHER_NODE && case_index <= CASE_CALL_TWICE)
    sgr_scripted_call_append (out, &bad_calls[case_index]);
  if (case_index == CASE_BODY_OFFSET)
    body_append (out, 9, 10, 20); /* offset 10, although no byte was sent before */
  if (case_index == CASE_BODY_PAST_LENGTH)
    body_append (out, 10, 0, 60); /* 60 bytes of a body with a length of 50 */
  if (case_index == CASE_CALL_TWICE)
    sgr_scripted_call_append (out, &bad_calls[case_index]);
  if (case_index == CASE_ANSWER_TO_GATE)
    answer_end_append (out); /* only a gate may send this frame */
  if (case_index == CASE_FRAME_OVERSIZED)
    sgr_buffer_append (out, "\x7f\xff\xff\xff", 4); /* the length of a frame of almost 2 GiB */
  if (case_index == CASE_FRAME_EMPTY)
    sgr_buffer_append (out, "\0\0\0\0", 4); /* the length of an empty frame */
}

/* Guards against a node that keeps the connection of a peer after a frame that violates the
   protocol, or runs a request of such a frame. */
static void
test_bad_frames (void **state)
{
  for (int case_index = 0; case_index < CASE_COUNT; case_index++)
    {
      bool is_bad_hello = case_index == CASE_PING_FIRST || case_index == CASE_HELLO_TWICE
                          || case_index == CASE_WRONG_VERSION || case_index == CASE_NODE_ZERO
                          || case_index == CASE_NO_LOAD;
      const char *metric = is_bad_hello ? "siskingrade_peer_closed_total{reason=\"bad-hello\"}"
                                        : "siskingrade_peer_closed_total{reason=\"bad-frame\"}";
      uint64_t before = sgr_fixture_metric (&fixture.nodes[GATE], metric);
      sgr_buffer_t out = { 0 };
      sgr_buffer_t input = { 0 };
      Sgr__Pb__PeerFrame *frame;
      int fd = peer_connect ();

      case_frames_append (case_index, &out);
      assert_int_equal (send (fd, out.bytes, out.length, MSG_NOSIGNAL), (ssize_t)out.length);
      while ((frame = sgr_scripted_frame_read (fd, &input)) != NULL)
        {
          if (frame->body_case != SGR__PB__PEER_FRAME__BODY_HELLO)
            fail_msg ("case %d: unexpected frame of type %d", case_index, frame->body_case);
          sgr_frame_free (frame);
        }
      close (fd);
      sgr_buffer_release (&out);
      sgr_buffer_release (&input);
      if (sgr_fixture_metric (&fixture.nodes[GATE], metric) != before + 1)
        fail_msg ("case %d is not counted as %s", case_index, metric);
    }
  assert_int_equal (sgr_fixture_executions (&fixture.nodes[GATE], "peer"), 0);
  assert_true (sgr_fixture_service_await (&fixture.nodes[ENTRY], "one"));
}

/* Guards against a node that crashes when it receives a Call frame with random changes. */
static void
test_random_bytes (void **state)
{
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 5);
  for (int i = 0; i < 200; i++)
    {
      sgr_buffer_t out = { 0 };
      int fd = peer_connect ();
      size_t from;

      sgr_scripted_hello_append (&out, SGR_FRAME_VERSION, SGR_SCRIPTED_NODE, true);
      from = out.length;
      sgr_scripted_call_append (
          &out, &(sgr_scripted_call_t){ .sequence = 1000 + (uint64_t)i, .gate_boot = 1 });
      for (int j = 0; j < 1 + i % 8; j++)
        out.bytes[from + sgr_rng_next (&rng) % (out.length - from)] = (uint8_t)sgr_rng_next (&rng);
      send (fd, out.bytes, out.length, MSG_NOSIGNAL);
      close (fd);
      sgr_buffer_release (&out);
    }
  assert_true (sgr_fixture_service_await (&fixture.nodes[ENTRY], "one"));
}

/* Guards against a late Call frame that runs after the gate answered a query for its attempt with
   "not-run". The query leaves a tombstone, so the gate refuses the call. A query that names another
   boot of the gate gets the outcome "unknown", and a call without an earlier query runs. */
static void
test_query_then_late_call (void **state)
{
  sgr_buffer_t out = { 0 };
  sgr_buffer_t input = { 0 };
  Sgr__Pb__PeerFrame *frame;
  int fd = peer_connect ();
  uint64_t boot;

  frame = sgr_scripted_frame_read (fd, &input);
  assert_non_null (frame);
  assert_int_equal (frame->body_case, SGR__PB__PEER_FRAME__BODY_HELLO);
  boot = frame->hello->boot;
  sgr_frame_free (frame);
  sgr_scripted_hello_append (&out, SGR_FRAME_VERSION, SGR_SCRIPTED_NODE, true);
  query_append (&out, 5000, boot);
  query_append (&out, 5001, boot + 1);
  sgr_scripted_call_append (&out, &(sgr_scripted_call_t){ .sequence = 5000, .gate_boot = boot });
  sgr_scripted_call_append (
      &out,
      &(sgr_scripted_call_t){ .sequence = 5002, .gate_boot = boot, .header_value = "peer-runs" });
  assert_int_equal (send (fd, out.bytes, out.length, MSG_NOSIGNAL), (ssize_t)out.length);
  frame = sgr_scripted_frame_read (fd, &input);
  assert_int_equal (frame->query_reply->phase, SGR_GATE_PHASE_SETTLED);
  assert_int_equal (frame->query_reply->outcome, SGR_OUTCOME_NOT_RUN);
  sgr_frame_free (frame);
  frame = sgr_scripted_frame_read (fd, &input);
  assert_int_equal (frame->query_reply->outcome, SGR_OUTCOME_UNKNOWN);
  sgr_frame_free (frame);
  frame = sgr_scripted_frame_read (fd, &input);
  assert_int_equal (frame->body_case, SGR__PB__PEER_FRAME__BODY_REFUSAL);
  assert_int_equal (frame->refusal->outcome, SGR_OUTCOME_NOT_RUN);
  assert_int_equal (frame->refusal->gate_reason, SGR_GATE_REASON_TOMBSTONE);
  sgr_frame_free (frame);
  frame = sgr_scripted_frame_read (fd, &input);
  assert_int_equal (frame->body_case, SGR__PB__PEER_FRAME__BODY_ANSWER_HEAD);
  sgr_frame_free (frame);
  close (fd);
  sgr_buffer_release (&out);
  sgr_buffer_release (&input);
  assert_int_equal (sgr_fixture_executions (&fixture.nodes[GATE], "peer"), 0);
  assert_int_equal (sgr_fixture_executions (&fixture.nodes[GATE], "peer-runs"), 1);
}

/* Guards against an answer from another node that now has the address of the gate. The entry closes
   the connection when the Hello frame names the wrong node. */
static void
test_reused_address (void **state)
{
  static const char metric[] = "siskingrade_peer_closed_total{reason=\"bad-hello\"}";
  sgr_fixture_node_t *gate = &fixture.nodes[GATE];
  uint64_t before = sgr_fixture_metric (&fixture.nodes[ENTRY], metric);
  sgr_path_call_t call = { .entry = &fixture.nodes[ENTRY],
                           .service = "one",
                           .method = "POST",
                           .path = "/",
                           .body = "body",
                           .deadline_ms = 500 };
  sgr_probe_answer_t answer;

  sgr_relay_port_set (gate->relay, fixture.nodes[OTHER_NODE].peers);
  sgr_relay_action_apply (gate->relay, SGR_RELAY_CLOSE);
  sgr_path_answer_receive (sgr_path_call_send (&call), &call, &answer);
  assert_int_equal (answer.end, SGR_PROBE_WHOLE);
  assert_true (answer.status >= 502 && answer.status <= 504);
  sgr_path_answer_check (&call, &answer, sgr_fixture_executions (gate, call.id));
  sgr_probe_release (&answer);
  assert_true (sgr_fixture_metric (&fixture.nodes[ENTRY], metric) > before);
  sgr_relay_port_set (gate->relay, gate->peers);
  assert_true (sgr_fixture_service_await (&fixture.nodes[ENTRY], "one"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bad_frames),
    cmocka_unit_test (test_random_bytes),
    cmocka_unit_test (test_query_then_late_call),
    cmocka_unit_test (test_reused_address),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
