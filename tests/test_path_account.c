#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "account.h"
#include "node_fixture.h"
#include "node_fixture_config.h"
#include "types.h"

/* Keys of client accounts through processes: from an approved configuration to the entry. */

enum
{
  ENTRY,
  GATE,
};

#define KEY_ACME "acme-key-0123456789"
#define KEY_BOLT "bolt-key-0123456789"
#define KEY_NEW "acme-key-of-the-next-month"
#define READ_BYTES_MAX 65536
#define AWAIT_TIMEOUT_US (20 * SGR_USEC_PER_SEC)

static sgr_fixture_t fixture;

static sgr_fixture_node_t *
node (int index)
{
  return &fixture.nodes[index];
}

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  sgr_fixture_node_add (&fixture, "entry", NULL, false);
  sgr_fixture_node_add (&fixture, "gate", "one", false);
  return sgr_fixture_start (&fixture) ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

static json_t *
account_make (const char *name, const char *key)
{
  char hex[SGR_ACCOUNT_KEY_HEX_BYTES];

  sgr_account_key_hash_format (sgr_account_key_hash (key, strlen (key)), hex);
  return json_pack ("{s:s, s:[s]}", "name", name, "key_hashes", hex);
}

/* Puts accounts into the configuration; a second one is left out if NULL. */
static void
accounts_put (const char *id, json_t *first, json_t *second)
{
  json_t *list = json_array ();

  json_array_append_new (list, first);
  if (second != NULL)
    json_array_append_new (list, second);
  assert_true (
      sgr_fixture_change_set (&fixture, id, json_pack ("{s:{s:o}}", "put", "accounts", list)));
}

static void
request_append (char *text, size_t size, const char *id, const char *key)
{
  size_t length = strlen (text);

  snprintf (text + length, size - length,
            "GET /bytes/10 HTTP/1.1\r\nHost: one\r\nSiskingrade-Service: one\r\n"
            "X-Request-Id: %s\r\n",
            id);
  length = strlen (text);
  if (key != NULL)
    snprintf (text + length, size - length, "Authorization: Token %s\r\n", key);
  length = strlen (text);
  snprintf (text + length, size - length, "\r\n");
}

/* Sends requests on one connection, and writes the statuses of their answers. */
static void
exchange (int fd, const char *requests, int *statuses, int count)
{
  static char text[READ_BYTES_MAX];
  size_t length = 0;
  int found = 0;

  assert_int_equal (send (fd, requests, strlen (requests), MSG_NOSIGNAL),
                    (ssize_t)strlen (requests));
  text[0] = '\0';
  /* Each answer has one of these fields, at any place of its head; the bodies are short and arrive
     with the heads. */
  while (found < count)
    {
      ssize_t received = recv (fd, text + length, sizeof text - 1 - length, 0);

      if (received <= 0)
        fail_msg ("%d answers of %d: %s", found, count, text);
      length += (size_t)received;
      text[length] = '\0';
      found = 0;
      for (const char *at = text; (at = strstr (at, "HTTP/1.1 ")) != NULL; at++)
        statuses[found++] = atoi (at + strlen ("HTTP/1.1 "));
    }
}

/* Status of one request of a key on a connection of its own. */
static int
status_of (int entry, const char *key, char *head, size_t size)
{
  char fields[256];
  sgr_probe_request_t request
      = { .port = node (entry)->callers, .path = "/bytes/10", .fields = fields };
  sgr_probe_answer_t answer;
  int status;

  snprintf (fields, sizeof fields,
            "Siskingrade-Service: one\r\nConnection: close\r\nAuthorization: Token %s\r\n", key);
  sgr_probe_call (&request, &answer);
  status = answer.status;
  if (head != NULL)
    snprintf (head, size, "%s%s", answer.head != NULL ? answer.head : "",
              answer.body != NULL ? answer.body : "");
  sgr_probe_release (&answer);
  return status;
}

static void
status_await (int entry, const char *key, int status)
{
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;
  char head[1024] = "";

  while (status_of (entry, key, head, sizeof head) != status)
    {
      if (sgr_clock_monotonic_us () > end_us)
        fail_msg ("no status %d for %s: %s", status, key, head);
      sgr_fixture_poll_sleep ();
    }
}

/* Guards against accounts of an approved configuration that do not reach the entry, a request
   without a known key that a target runs, and a withdrawn key that stays valid on a connection that
   was opened before. */
static void
test_keys_of_configuration (void **state)
{
  char requests[2048] = "";
  int statuses[4];
  int fd;

  accounts_put ("accounts", account_make ("acme", KEY_ACME), account_make ("bolt", KEY_BOLT));
  status_await (ENTRY, "unknown", 401);
  fd = sgr_probe_connect (node (ENTRY)->callers);
  request_append (requests, sizeof requests, "known-acme", KEY_ACME);
  request_append (requests, sizeof requests, "unknown", "unknown");
  request_append (requests, sizeof requests, "known-bolt", KEY_BOLT);
  request_append (requests, sizeof requests, "missing", NULL);
  exchange (fd, requests, statuses, 4);
  assert_int_equal (statuses[0], 200);
  assert_int_equal (statuses[1], 401);
  assert_int_equal (statuses[2], 200);
  assert_int_equal (statuses[3], 401);
  assert_int_equal (sgr_fixture_executions (node (GATE), "known-acme"), 1);
  assert_int_equal (sgr_fixture_executions (node (GATE), "unknown"), 0);
  assert_int_equal (sgr_fixture_executions (node (GATE), "missing"), 0);
  accounts_put ("withdrawn", account_make ("acme", KEY_NEW), NULL);
  status_await (ENTRY, KEY_ACME, 401);
  requests[0] = '\0';
  request_append (requests, sizeof requests, "withdrawn", KEY_ACME);
  request_append (requests, sizeof requests, "new", KEY_NEW);
  request_append (requests, sizeof requests, "still-known", KEY_BOLT);
  exchange (fd, requests, statuses, 3);
  assert_int_equal (statuses[0], 401);
  assert_int_equal (statuses[1], 200);
  assert_int_equal (statuses[2], 200);
  assert_int_equal (sgr_fixture_executions (node (GATE), "withdrawn"), 0);
  close (fd);
}

/* Guards against a final 401 for a valid key from a node that has just started and has no
   configuration yet. */
static void
test_no_401_after_restart (void **state)
{
  uint64_t end_us = sgr_clock_monotonic_us () + AWAIT_TIMEOUT_US;
  int status = 0;

  /* The restarted node may learn the configuration from the other one. */
  status_await (GATE, KEY_ACME, 401);
  sgr_fixture_process_kill (&node (ENTRY)->pid);
  sgr_fixture_node_start (&fixture, node (ENTRY));
  while (status != 200)
    {
      assert_true (sgr_clock_monotonic_us () < end_us);
      status = status_of (ENTRY, KEY_NEW, NULL, 0);
      /* 0 while the node does not listen yet. */
      if (status != 200 && status != 503 && status != 0)
        fail_msg ("status %d", status);
    }
}

/* Guards against a key in what operators see: logs, metrics and the resources. */
static void
test_keys_are_not_shown (void **state)
{
  static const char *const paths[]
      = { "/metrics",   "/v1/services", "/v1/changes", "/v1/watch?revision=1",
          "/v1/status", "/v1/nodes" };
  char path[128], line[2048];
  bool has_refusal = false;
  FILE *file;

  /* The lines of failed requests are limited by second, so that the first may not be written. */
  for (int i = 0; i < 3 && !has_refusal; i++)
    {
      assert_int_equal (status_of (ENTRY, "unknown", NULL, 0), 401);
      has_refusal
          = sgr_fixture_event_await (&fixture, node (ENTRY), "reason=unknown-key account=- ", 1);
    }
  assert_true (has_refusal);
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    {
      sgr_probe_request_t request = { .port = node (GATE)->control, .path = paths[i] };
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      assert_true (answer.body != NULL && strstr (answer.body, KEY_ACME) == NULL
                   && strstr (answer.body, KEY_NEW) == NULL);
      sgr_probe_release (&answer);
    }
  snprintf (path, sizeof path, "%s/entry.log", fixture.directory);
  file = fopen (path, "r");
  assert_non_null (file);
  while (fgets (line, sizeof line, file) != NULL)
    {
      if (strstr (line, KEY_ACME) != NULL || strstr (line, KEY_NEW) != NULL)
        fail_msg ("%s", line);
    }
  fclose (file);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys_of_configuration),
    cmocka_unit_test (test_no_401_after_restart),
    cmocka_unit_test (test_keys_are_not_shown),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
