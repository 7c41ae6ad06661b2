#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "http_fields.h"
#include "http_head_guard.h"

/* Guards against texts that change the structure of an HTTP message when they are written into one,
   such as a field value with a line end. */

typedef struct
{
  const char *text;
  size_t length;
  bool is_token;
  bool is_path;
  bool is_value;
} text_case_t;

#define TEXT(text) (text), sizeof (text) - 1

static void
test_token_path_and_value (void **state)
{
  static const text_case_t cases[] = {
    { TEXT (""), false, false, true },
    { TEXT ("abc"), true, false, true },
    { TEXT ("a-b_c.d~"), true, false, true },
    { TEXT ("a b"), false, false, true },
    { TEXT ("a\tb"), false, false, true },
    { TEXT ("a\r\nb: c"), false, false, false },
    { TEXT ("a\nb"), false, false, false },
    { TEXT ("a\0b"), false, false, false },
    { TEXT ("a\x7f"), false, false, false },
    { TEXT ("a:"), false, false, true },
    { TEXT ("a\xc3\xa9"), false, false, true },
    { TEXT ("/"), false, true, true },
    { TEXT ("/a?b=c%20d"), false, true, true },
    { TEXT ("/a b"), false, false, true },
    { TEXT ("/a HTTP/1.1\r\n"), false, false, false },
    { TEXT ("/a\0b"), false, false, false },
    { TEXT ("*"), true, false, true },
    { TEXT ("http://a/"), false, false, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const text_case_t *test_case = &cases[i];

      if (sgr_http_is_token (test_case->text, test_case->length) != test_case->is_token
          || sgr_http_is_path (test_case->text, test_case->length) != test_case->is_path
          || sgr_http_is_field_value (test_case->text, test_case->length) != test_case->is_value)
        fail_msg ("case %zu, \"%s\"", i, test_case->text);
    }
}

/* Value that a failed parse must leave as it was. */
#define UNCHANGED 12345

static void
test_numbers (void **state)
{
  static const struct
  {
    const char *text;
    bool valid;
    uint64_t number;
  } cases[] = {
    { "", false, 0 },
    { "0", true, 0 },
    { "100", true, 100 },
    { "101", false, 0 },
    { "-1", false, 0 },
    { "+1", false, 0 },
    { " 1", false, 0 },
    { "1 ", false, 0 },
    { "0x1", false, 0 },
    { "1.0", false, 0 },
    { "007", true, 7 },
    { "18446744073709551617", false, 0 },
    { "99999999999999999999999999", false, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint64_t number = UNCHANGED;
      bool valid = sgr_http_number_parse (cases[i].text, strlen (cases[i].text), 100, &number);

      if (valid != cases[i].valid || number != (valid ? cases[i].number : UNCHANGED))
        fail_msg ("\"%s\"", cases[i].text);
    }
}

static void
test_forwarded (void **state)
{
  static const char *const kept[]
      = { "accept",        "Content-Type", "x-request-id", "idempotency-key", "siskingrade-tenant",
          "Authorization", "connections" };
  static const char *const dropped[] = { "Connection",
                                         "keep-alive",
                                         "TE",
                                         "Transfer-Encoding",
                                         "content-length",
                                         "host",
                                         "upgrade",
                                         "siskingrade-outcome",
                                         "expect",
                                         "Siskingrade-Attempt",
                                         "trailer",
                                         "siskingrade-deadline-ms",
                                         "Siskingrade-Depth" };

  for (size_t i = 0; i < sizeof kept / sizeof kept[0]; i++)
    assert_true (sgr_http_is_forwarded (kept[i], strlen (kept[i])));
  for (size_t i = 0; i < sizeof dropped / sizeof dropped[0]; i++)
    assert_false (sgr_http_is_forwarded (dropped[i], strlen (dropped[i])));
}

static void
test_idempotent_methods (void **state)
{
  static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE" };
  static const char *const others[] = { "POST", "PATCH", "CONNECT", "GE", "GETS", "" };

  for (size_t i = 0; i < 6; i++)
    {
      assert_true (sgr_http_method_is_idempotent (methods[i], strlen (methods[i])));
      assert_false (sgr_http_method_is_idempotent (others[i], strlen (others[i])));
    }
}

/* h2o 2.2.5 aborts the process on some malformed heads of answers. The check must reject these
   heads before h2o parses them. */
static void
test_answer_heads (void **state)
{
  static const struct
  {
    const char *text;
    bool valid;
  } cases[] = {
    { "", true },
    { "HTTP/1.1 200 OK\r\n", true },
    { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nContent-Length: x\r\n", true },
    { "HTTP/1.1 200 OK\r\ncontent-length:12\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\nContent-Length: 12 \t\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\nContent-Length: x", true }, /* the line is incomplete */
    { "HTTP/1.1 200 OK\r\nContent-Length: x\r\n", false },
    { "HTTP/1.1 200 OK\r\nContent-Length:\r\n", false },
    { "HTTP/1.1 200 OK\r\ncontent-LENGTH: -1\r\n", false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n", false },
    { "HTTP/1.1 200 OK\nContent-Length: 1e3\n", false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n", false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", false },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n", false },
    { "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n", false },
    { "HTTP/1.1 200 OK\r\nX-Content-Length: x\r\n", true },
    /* h2o parses the head after an interim answer without another read. */
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", false },
    { "HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      if (sgr_http_head_is_valid (cases[i].text, strlen (cases[i].text)) != cases[i].valid)
        fail_msg ("%s", cases[i].text);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_token_path_and_value),
    cmocka_unit_test (test_numbers),
    cmocka_unit_test (test_forwarded),
    cmocka_unit_test (test_idempotent_methods),
    cmocka_unit_test (test_answer_heads),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
