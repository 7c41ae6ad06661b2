#include "path_check.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <setjmp.h>

#include <cmocka.h>

#define DEFAULT_DEADLINE_MS 5000
/* Default of the policy setting attempts_max. */
#define ATTEMPTS_MAX 3

int
sgr_path_call_send (sgr_path_call_t *call)
{
  static _Atomic unsigned next_number; /* atomic, because several threads may send calls */
  unsigned number = next_number++;

  /* The target derives the bytes of the body from the first letter of the id. Consecutive calls
     have different letters, so a body of the wrong call is detected. */
  snprintf (call->id, sizeof call->id, "%c-%u", 'a' + number % 26, number);
  snprintf (call->header_fields, sizeof call->header_fields,
            "Siskingrade-Service: %s\r\nSiskingrade-Deadline-Ms: %d\r\nX-Request-Id: %s\r\n%s",
            call->service, call->deadline_ms > 0 ? call->deadline_ms : DEFAULT_DEADLINE_MS,
            call->id, call->fields != NULL ? call->fields : "");
  call->request
      = (sgr_probe_request_t){ .port = call->entry->callers,
                               .method = call->method,
                               .path = call->path,
                               .fields = call->header_fields,
                               .body = call->body,
                               .body_length = call->body != NULL ? strlen (call->body) : 0 };
  return sgr_probe_send (&call->request);
}

static void
body_check (const sgr_path_call_t *call, const sgr_probe_answer_t *answer)
{
  size_t length = strncmp (call->path, "/bytes/", 7) == 0 ? strtoul (call->path + 7, NULL, 10) : 0;

  if (strcmp (call->method, "HEAD") == 0)
    return;
  if (length == 0)
    {
      assert_int_equal (answer->length, strlen (call->id) + 1);
      assert_memory_equal (answer->body, call->id, strlen (call->id));
      return;
    }
  if (answer->end == SGR_PROBE_WHOLE)
    assert_int_equal (answer->length, length);
  assert_true (answer->length <= length);
  for (size_t i = 0; i < answer->length; i++)
    {
      if (answer->body[i] != (char)('a' + (i + (uint8_t)call->id[0]) % 26))
        fail_msg ("%s: byte %zu of the body differs from what the target sends", call->id, i);
    }
}

void
sgr_path_answer_check (const sgr_path_call_t *call, const sgr_probe_answer_t *answer,
                       unsigned executions)
{
  char outcome[32];
  char id[64];
  bool is_idempotent = strcmp (call->method, "POST") != 0;

  assert_true (is_idempotent ? executions <= ATTEMPTS_MAX : executions <= 1);
  if (answer->status == 0)
    return;
  assert_true (sgr_probe_field (answer, "siskingrade-outcome", outcome, sizeof outcome));
  if (answer->status == 200)
    {
      assert_true (sgr_probe_field (answer, "x-request-id", id, sizeof id));
      assert_string_equal (id, call->id);
      assert_string_equal (outcome, "complete");
      assert_true (executions >= 1);
      body_check (call, answer);
    }
  if (strcmp (outcome, "not-run") == 0)
    assert_int_equal (executions, 0);
  /* An answer that the node itself created is never truncated. */
  if (strcmp (outcome, "complete") != 0)
    assert_int_equal (answer->end, SGR_PROBE_WHOLE);
}

void
sgr_path_answer_receive (int fd, sgr_path_call_t *call, sgr_probe_answer_t *answer)
{
  assert_true (fd >= 0);
  sgr_probe_receive (fd, &call->request, answer);
}
