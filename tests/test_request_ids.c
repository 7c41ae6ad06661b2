#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request_ids.h"

/* Tests which answers of a target belong to a request, by the request ids of both. */

#define ID_16 "0123456789abcdef"
#define ID_64 ID_16 ID_16 ID_16 ID_16

/**
 * struct match_case_t - a request and an answer
 * @name: description for messages
 * @request: ids of the request, up to the first NULL
 * @name_1: name of the first header field of the answer, NULL for none
 * @value_1: its value
 * @name_2: name of the second header field of the answer, NULL for none
 * @value_2: its value
 * @is_echoed: targets copy request ids
 * @is_match: whether the answer belongs to the request
 */
typedef struct
{
  const char *name;
  const char *request[2];
  const char *name_1;
  const char *value_1;
  const char *name_2;
  const char *value_2;
  bool is_echoed;
  bool is_match;
} match_case_t;

static const match_case_t cases[] = {
  { "same id", { "a" }, "X-Request-Id", "a", NULL, NULL, true, true },
  { "other id", { "a" }, "X-Request-Id", "b", NULL, NULL, true, false },
  { "longer id", { "a" }, "X-Request-Id", "ab", NULL, NULL, true, false },
  { "long id", { ID_64 "a" }, "X-Request-Id", ID_64 "a", NULL, NULL, true, true },
  { "other long id", { ID_64 "a" }, "X-Request-Id", ID_64 "b", NULL, NULL, true, false },
  { "other long id, not echoed",
    { ID_64 "a" },
    "X-Request-Id",
    ID_64 "b",
    NULL,
    NULL,
    false,
    false },
  { "blanks around an id", { " a\t" }, "X-Request-Id", "\ta ", NULL, NULL, true, true },
  { "answer without an id", { "a" }, "Date", "now", NULL, NULL, true, false },
  { "answer without an id, not echoed", { "a" }, "Date", "now", NULL, NULL, false, true },
  { "answer with an empty id", { "a" }, "X-Request-Id", "", NULL, NULL, true, false },
  { "neither has an id", { NULL }, NULL, NULL, NULL, NULL, true, true },
  { "request without an id", { NULL }, "X-Request-Id", "a", NULL, NULL, true, false },
  { "request with an empty id", { "" }, "X-Request-Id", "a", NULL, NULL, true, false },
  { "request with an empty id, echoed", { "" }, "X-Request-Id", "", NULL, NULL, true, true },
  { "request without an id, not echoed", { NULL }, "X-Request-Id", "a", NULL, NULL, false, true },
  { "request with two ids", { "a", "b" }, "X-Request-Id", "a", NULL, NULL, true, true },
  { "request with two ids, second", { "a", "b" }, "X-Request-Id", "b", NULL, NULL, true, true },
  { "request with two ids, other", { "a", "b" }, "X-Request-Id", "c", NULL, NULL, true, false },
  { "answer with two ids", { "a" }, "X-Request-Id", "a", "X-Request-Id", "b", true, false },
  { "encoded body", { "a" }, "X-Request-Id", "a", "Content-Encoding", "gzip", true, false },
  { "encoded body, request without an id",
    { NULL },
    NULL,
    NULL,
    "Content-Encoding",
    "gzip",
    true,
    false },
  { "encoded body, not echoed", { "a" }, NULL, NULL, "Content-Encoding", "gzip", false, true },
};

/* Guards against an answer to another request that is taken because the request has an unusual
   id: a long one, none, or several. */
static void
test_match (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const match_case_t *expected = &cases[i];
      const sgr_call_fields_t names
          = { .request_id = "x-request-id", .is_request_id_echoed = expected->is_echoed };
      sgr_request_ids_t ids = { 0 };
      sgr_http_field_t fields[2];
      size_t count = 0;

      for (size_t j = 0; j < 2 && expected->request[j] != NULL; j++)
        sgr_request_ids_add (&ids, expected->request[j]);
      if (expected->name_1 != NULL)
        fields[count++] = (sgr_http_field_t){ .name = expected->name_1,
                                              .name_length = strlen (expected->name_1),
                                              .value = expected->value_1,
                                              .value_length = strlen (expected->value_1) };
      if (expected->name_2 != NULL)
        fields[count++] = (sgr_http_field_t){ .name = expected->name_2,
                                              .name_length = strlen (expected->name_2),
                                              .value = expected->value_2,
                                              .value_length = strlen (expected->value_2) };
      if (sgr_request_ids_match (&ids, &names, fields, count) != expected->is_match)
        fail_msg ("%s: expected %s", expected->name, expected->is_match ? "match" : "no match");
      sgr_request_ids_release (&ids);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_match) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
