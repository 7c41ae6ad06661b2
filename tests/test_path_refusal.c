#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "scripted_target.h"
#include "types.h"

/* A target that refuses a request, and writes the refusal once more on the same connection when the
   next request arrives there. It runs each request but the first. */

#define REQUESTS 3

static sgr_fixture_t fixture;
static sgr_fixture_node_t *node;
/* Fields of the refusal. */
static char refusal_fields[128];
/* Requests that the target has refused, and those that it has run. */
static atomic_int refused, ran;

static void
text_send (int fd, const char *text)
{
  if (send (fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    return;
}

static void
refusal_send (int fd)
{
  char text[512];

  snprintf (text, sizeof text, "HTTP/1.1 503 No\r\n%sContent-Length: 0\r\n\r\n", refusal_fields);
  text_send (fd, text);
}

static void
connection_serve (int fd)
{
  bool has_refused = false;
  char head[8192];

  /* A request fits into one segment. */
  while (recv (fd, head, sizeof head, 0) > 0)
    {
      if (atomic_fetch_add (&refused, 1) == 0)
        {
          has_refused = true;
          refusal_send (fd);
          continue;
        }
      atomic_fetch_add (&ran, 1);
      if (has_refused)
        refusal_send (fd);
      text_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
}

static int
group_setup (void **state)
{
  sgr_fixture_init (&fixture);
  fixture.limits = "  announce_ttl_ms: 60000\n";
  fixture.has_external_targets = true;
  /* The policy of this service takes status 503 for a refusal. */
  node = sgr_fixture_node_add (&fixture, "node", "pair", false);
  /* Not the first request of a test. */
  atomic_store (&refused, 1);
  return sgr_scripted_target_start (&node->target, connection_serve)
                 && sgr_fixture_processes_start (&fixture) && sgr_scripted_target_announce (node, 4)
                 && sgr_fixture_services_await (&fixture)
             ? 0
             : -1;
}

static int
group_teardown (void **state)
{
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Sends a request that may not run twice. Returns the status, and whether the caller is told that
   it was not run. */
static int
call (const char *fields, bool *is_not_run)
{
  sgr_probe_request_t request = { .port = node->callers, .method = "POST", .path = "/" };
  char text[512], outcome[32] = "";
  sgr_probe_answer_t answer;
  int status;

  snprintf (text, sizeof text,
            "Siskingrade-Service: pair\r\nSiskingrade-Idempotent: no\r\n"
            "Siskingrade-Deadline-Ms: 2000\r\nContent-Length: 0\r\n%s",
            fields);
  request.fields = text;
  sgr_probe_call (&request, &answer);
  status = answer.status;
  sgr_probe_field (&answer, "siskingrade-outcome", outcome, sizeof outcome);
  *is_not_run = strcmp (outcome, "not-run") == 0;
  sgr_probe_release (&answer);
  return status;
}

/* Guards against a caller that is told that its request was not run although the target runs it: a
   copy of the refusal of an earlier request is taken for its answer. */
static void
test_refusal_once_more (void **state)
{
  static const struct
  {
    const char *name;
    const char *request_fields;
    const char *refusal_fields;
  } cases[] = {
    { "no id", "", "" },
    { "id that the target does not repeat", "Siskingrade-Request-Id: a\r\n", "" },
    { "declared by a field", "", "Siskingrade-Not-Run: 1\r\n" },
    { "same id with a key", "Siskingrade-Request-Id: a\r\nIdempotency-Key: k\r\n",
      "Siskingrade-Request-Id: a\r\n" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int ran_before = atomic_load (&ran), told_not_run = 0;

      snprintf (refusal_fields, sizeof refusal_fields, "%s", cases[i].refusal_fields);
      atomic_store (&refused, 0);
      for (int request = 0; request < REQUESTS; request++)
        {
          bool is_not_run;

          call (cases[i].request_fields, &is_not_run);
          told_not_run += is_not_run;
        }
      /* The target refused the first request, which may have been tried again. */
      if (told_not_run + (atomic_load (&ran) - ran_before) > REQUESTS)
        fail_msg ("%s: %d requests ran, %d of %d are said not to have run", cases[i].name,
                  atomic_load (&ran) - ran_before, told_not_run, REQUESTS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_refusal_once_more) };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
