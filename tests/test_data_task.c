#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "call_fields.h"
#include "data_task.h"
#include "http_listener.h"
#include "http_probe.h"
#include "node_fixture.h"

/* Tests of starting and stopping the thread of the data task. */

#define REQUEST_COUNT 5

static void
on_event (void *ctx)
{
}

static void
on_key_bind (void *ctx, sgr_data_key_bind_request_t *bind)
{
}

static const sgr_data_task_events_t events
    = { .drained = on_event, .key_bind = on_key_bind, .target_unreachable = on_event };

static void
settings_make (sgr_settings_t *settings)
{
  sgr_buffer_t errors = { 0 };
  char text[512];

  snprintf (text, sizeof text,
            "node:\n  deployment: test\n  name: one\n  region: test\n  failure_domain: test-1\n"
            "listen:\n  callers: 127.0.0.1:%u\n  peers: 127.0.0.1:%u\n  control: 127.0.0.1:%u\n"
            "store: 127.0.0.1:1\napproval: outside\n",
            sgr_fixture_port_find (), sgr_fixture_port_find (), sgr_fixture_port_find ());
  if (sgr_settings_parse (settings, "test", text, strlen (text), &errors) != SGR_OK)
    fail_msg ("%.*s", (int)errors.length, (const char *)errors.bytes);
  sgr_buffer_release (&errors);
}

/* Checks that h2o buffers return to the pool of the thread that took them. Otherwise two threads
   change one pool at the same time and corrupt the heap. */
static void
test_buffers_stay_in_their_thread (void **state)
{
  const h2o_mem_recycle_t *pool = &h2o_socket_buffer_prototype.allocator;
  size_t before = pool->cnt;
  sgr_buffer_t errors = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *task;

  settings_make (&settings);
  task = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL, &errors);
  assert_non_null (task);
  for (int i = 0; i < REQUEST_COUNT; i++)
    {
      sgr_probe_request_t request = { .port = settings.callers.port, .path = "/" };
      sgr_probe_answer_t answer;

      sgr_data_task_snapshot_send (task, sgr_snapshot_create (0, 0, 0));
      sgr_probe_call (&request, &answer);
      assert_int_equal (answer.end, SGR_PROBE_WHOLE);
      sgr_probe_release (&answer);
    }
  sgr_data_task_stop (task);
  sgr_data_task_join (task);
  assert_int_equal (pool->cnt, before);
  sgr_buffer_release (&errors);
}

/* Checks that the start of the task fails with an error message, and does not hang, if a port is
   already in use. */
static void
test_port_is_taken (void **state)
{
  sgr_buffer_t errors = { 0 };
  sgr_settings_t settings;
  sgr_data_task_t *first;

  settings_make (&settings);
  first = sgr_data_task_start (&settings, &sgr_call_fields_default, 1, &events, NULL, &errors);
  assert_non_null (first);
  assert_null (
      sgr_data_task_start (&settings, &sgr_call_fields_default, 2, &events, NULL, &errors));
  sgr_buffer_append (&errors, "", 1);
  assert_non_null (strstr ((const char *)errors.bytes, "listen.peers: cannot listen on"));
  sgr_data_task_stop (first);
  sgr_data_task_join (first);
  sgr_buffer_release (&errors);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_buffers_stay_in_their_thread),
    cmocka_unit_test (test_port_is_taken),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
