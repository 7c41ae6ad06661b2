#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "idempotency_key.h"

#define VALID_KEY                                                                                  \
  "sk1-0123456789abcdef-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff"

/* Guards against keys that one node formats and another one parses differently. */
static void
test_issued_key_round_trip (void **state)
{
  sgr_issued_key_t key = sgr_issued_key_create (0xfedcba9876543210ULL, 1, UINT64_MAX);
  sgr_issued_key_t other = sgr_issued_key_create (0xfedcba9876543210ULL, 1, UINT64_MAX);
  char text[SGR_ISSUED_KEY_TEXT_SIZE];
  sgr_issued_key_t parsed;

  sgr_issued_key_format (&key, text);
  assert_int_equal (strlen (text), SGR_ISSUED_KEY_LENGTH);
  assert_int_equal (sgr_issued_key_parse (text, strlen (text), &parsed), SGR_OK);
  assert_memory_equal (&parsed, &key, sizeof key);
  assert_false (sgr_hash128_equal (key.random, other.random));
  assert_int_equal (sgr_issued_key_parse (VALID_KEY, strlen (VALID_KEY), &parsed), SGR_OK);
  assert_true (parsed.node == 0x0123456789abcdefULL && parsed.boot == 0xff
               && parsed.generation == 7);
  assert_true (parsed.random.high == 0x0011223344556677ULL);
  assert_true (parsed.random.low == 0x8899aabbccddeeffULL);
}

/* Guards against a damaged issued key that is accepted as another key. */
static void
test_issued_key_bad_inputs (void **state)
{
  static const char *const malformed[] = {
    "",
    "sk1-",
    "SK1-0123456789abcdef-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk2-0123456789abcdef-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk1-0123456789ABCDEF-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk1-0123456789abcdeg-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk1-0123456789abcdef_00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk1-0123456789abcdef-00000000000000ff-0000000000000007+00112233445566778899aabbccddeeff",
    "sk1-0123456789abcdef-00000000000000ff-0000000000000007-00112233445566778899aabbccddeef",
    "sk1-0123456789abcdef-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff0",
    "sk1-0123456789abcdef-0x000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk1- 123456789abcdef-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk1--123456789abcdef-00000000000000ff-0000000000000007-00112233445566778899aabbccddeeff",
    "sk1-0123456789abcdef-00000000000000ff-0000000000000007-0011223344556677-899aabbccddeeff",
  };
  sgr_issued_key_t key;

  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    assert_int_equal (sgr_issued_key_parse (malformed[i], strlen (malformed[i]), &key),
                      SGR_ERR_INVALID);
  for (size_t length = 0; length < SGR_ISSUED_KEY_LENGTH; length++)
    assert_int_equal (sgr_issued_key_parse (VALID_KEY, length, &key), SGR_ERR_INVALID);
}

/* Guards against a damaged issued key that is used as a key that the caller chose, and against
   bytes and lengths that keys must not have. */
static void
test_key_kind_table (void **state)
{
  static const struct
  {
    const char *text;
    sgr_key_kind_t kind;
  } cases[] = {
    { VALID_KEY, SGR_KEY_ISSUED },
    { "sk1-damaged", SGR_KEY_ISSUED },
    { "order-17", SGR_KEY_CALLER },
    { "sk1", SGR_KEY_CALLER },
    { "", SGR_KEY_INVALID },
    { "two words", SGR_KEY_INVALID },
    { "line\nbreak", SGR_KEY_INVALID },
    { "caf\xc3\xa9", SGR_KEY_INVALID },
    { "del\x7f", SGR_KEY_INVALID },
  };
  char text[SGR_CALLER_KEY_LENGTH_MAX + 1];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    assert_int_equal (sgr_key_kind_of (cases[i].text, strlen (cases[i].text)), cases[i].kind);
  memset (text, 'a', sizeof text);
  assert_int_equal (sgr_key_kind_of (text, SGR_CALLER_KEY_LENGTH_MAX), SGR_KEY_CALLER);
  assert_int_equal (sgr_key_kind_of (text, SGR_CALLER_KEY_LENGTH_MAX + 1), SGR_KEY_INVALID);
}

/* Guards against different requests or keys with the same hash, because the hashed fields are
   joined without a separator. */
static void
test_hashes_separate_fields (void **state)
{
  assert_true (sgr_hash128_equal (sgr_caller_key_hash ("s", "t", "k", 1),
                                  sgr_caller_key_hash ("s", "t", "k", 1)));
  assert_false (sgr_hash128_equal (sgr_caller_key_hash ("s", "t", "k", 1),
                                   sgr_caller_key_hash ("st", "", "k", 1)));
  assert_false (sgr_hash128_equal (sgr_caller_key_hash ("s", "a", "k", 1),
                                   sgr_caller_key_hash ("s", "b", "k", 1)));
  assert_false (sgr_hash128_equal (sgr_request_fingerprint ("PUT", "/a", "t", "b", 1),
                                   sgr_request_fingerprint ("PUT", "/at", "", "b", 1)));
  assert_false (sgr_hash128_equal (sgr_request_fingerprint ("PUT", "/a", "t", "b", 1),
                                   sgr_request_fingerprint ("PUT", "/a", "t", "c", 1)));
  assert_true (sgr_hash128_equal (sgr_request_fingerprint ("GET", "/a", "t", NULL, 0),
                                  sgr_request_fingerprint ("GET", "/a", "t", "", 0)));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_issued_key_round_trip),
          cmocka_unit_test (test_issued_key_bad_inputs), cmocka_unit_test (test_key_kind_table),
          cmocka_unit_test (test_hashes_separate_fields) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
