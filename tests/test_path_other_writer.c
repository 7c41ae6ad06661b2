#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "buffer.h"
#include "node_fixture.h"
#include "node_fixture_config.h"
#include "types.h"

/* Nodes that read entries of another writer: in the list of nodes, in their record of departures,
   and in announcements of targets. */

#define NESTED_DEPTH 100000

static sgr_fixture_t fixture;
static sgr_fixture_node_t *first;
static sgr_fixture_node_t *second;

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  first = sgr_fixture_node_add (&fixture, "first", "one", false);
  second = sgr_fixture_node_add (&fixture, "second", NULL, false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static void
store_put (const char *key, const char *value, size_t length)
{
  char path[128];
  sgr_probe_request_t request = { .port = fixture.store_port,
                                  .method = "PUT",
                                  .path = path,
                                  .fields = "Store-If-Version: any\r\n",
                                  .body = value,
                                  .body_length = length };
  sgr_probe_answer_t answer;

  snprintf (path, sizeof path, "/v1/kv/%s", key);
  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 200);
  sgr_probe_release (&answer);
}

static void
nested_write (sgr_buffer_t *text)
{
  memset (sgr_buffer_reserve (text, NESTED_DEPTH), '[', NESTED_DEPTH);
  text->length += NESTED_DEPTH;
}

/* Guards against a node that ends, or finds no other node, because of odd entries in the store. */
static void
test_odd_entries_in_store (void **state)
{
  static const char *const odd[] = {
    "",
    "hello",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "999.0.0.1:80",
    "{\"address\":1e999}",
    "0.0.0.0:1",
    "255.255.255.255:9",
    "{\"departures\":[{\"instance\":\"a\",\"started_ms\":99999999999999999999}]}",
  };
  sgr_buffer_t nested = { 0 };
  char key[96];

  nested_write (&nested);
  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    {
      snprintf (key, sizeof key, "nodes/" SGR_FIXTURE_DEPLOYMENT "/odd-%zu", i);
      store_put (key, odd[i], strlen (odd[i]));
    }
  store_put ("nodes/" SGR_FIXTURE_DEPLOYMENT "/odd-nested", (const char *)nested.bytes,
             nested.length);
  for (size_t i = 0; i <= sizeof odd / sizeof odd[0]; i++)
    {
      bool is_nested = i == sizeof odd / sizeof odd[0];

      store_put ("departures/" SGR_FIXTURE_DEPLOYMENT "/second",
                 is_nested ? (const char *)nested.bytes : odd[i],
                 is_nested ? nested.length : strlen (odd[i]));
      sgr_fixture_process_kill (&second->pid);
      sgr_fixture_node_start (&fixture, second);
      if (!sgr_fixture_service_await (second, "one"))
        fail_msg ("no service with the record %s", is_nested ? "nested" : odd[i]);
    }
  sgr_buffer_release (&nested);
}

/* Guards against an odd announcement that ends the node or the registration of its target. */
static void
test_odd_announcements (void **state)
{
  static const char start[] = "{\"service\":\"one\",\"slots\":4,\"instance\":\"odd\",\"address\":";
  static const char *const odd[] = {
    "\"127.0.0.1:65536\"}",
    "\"127.0.0.1:0\"}",
    "\"127.0.0.1:1\",\"started_ms\":99999999999999999999}",
    "\"127.0.0.1:1\",\"sequence\":1e999}",
    "\"127.0.0.1:1\",\"slots\":{}}",
    "\"127.0.0.1:1\",\"connections\":[[[[[[[[]]]]]]]]}",
    "",
  };
  sgr_buffer_t text = { 0 };

  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    {
      sgr_probe_request_t request
          = { .port = first->control, .method = "PUT", .path = "/v1/target" };
      sgr_probe_answer_t answer;

      text.length = 0;
      sgr_buffer_append (&text, start, strlen (start));
      if (odd[i][0] != '\0')
        sgr_buffer_append (&text, odd[i], strlen (odd[i]));
      else
        nested_write (&text);
      request.body = (const char *)text.bytes;
      request.body_length = text.length;
      sgr_probe_call (&request, &answer);
      if (answer.status != 400)
        fail_msg ("%s: status %d", odd[i], answer.status);
      sgr_probe_release (&answer);
      assert_true (sgr_fixture_service_await (second, "one"));
    }
  sgr_buffer_release (&text);
  assert_int_equal (sgr_fixture_process_wait (&first->pid, 0), -1);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_odd_entries_in_store), cmocka_unit_test (test_odd_announcements) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
