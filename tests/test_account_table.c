#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "account_table.h"
#include "call_fields.h"
#include "platform.h"

/* Tests the keys of client accounts: their hashes, the table, and the header fields. */

#define ACCOUNTS 500
#define KEYS_PER_ACCOUNT 20

/* Guards against a hash that differs between machines or versions, so that a configuration's hashes
   match no key any more. The values come from another implementation of SipHash-2-4 with 128 bits,
   written from its definition. */
static void
test_hash_is_fixed (void **state)
{
  char hex[SGR_ACCOUNT_KEY_HEX_BYTES];
  sgr_hash128_t hash = sgr_account_key_hash ("0123456789abcdefghij", 20), read;

  sgr_account_key_hash_format (hash, hex);
  assert_string_equal (hex, "5e72666bd8e9107c417419fd017bf766");
  assert_int_equal (sgr_account_key_hash_parse (hex, 32, &read), SGR_OK);
  assert_true (sgr_hash128_equal (hash, read));
  sgr_account_key_hash_format (sgr_account_key_hash ("", 0), hex);
  assert_string_equal (hex, "e039ea1c109d7cf45e747c22137d3f8c");
}

/* Guards against a key that is found under another account, a key of another length that is taken
   for a known one, and a withdrawn key that is still known. */
static void
test_lookup (void **state)
{
  sgr_account_t *accounts = calloc (ACCOUNTS, sizeof *accounts);
  sgr_account_key_t *keys = calloc (ACCOUNTS * KEYS_PER_ACCOUNT, sizeof *keys);
  sgr_account_table_t *table;
  char key[32];

  for (uint32_t i = 0; i < ACCOUNTS; i++)
    snprintf (accounts[i].name, sizeof accounts[i].name, "account-%u", i);
  for (uint32_t i = 0; i < ACCOUNTS * KEYS_PER_ACCOUNT; i++)
    {
      int length = snprintf (key, sizeof key, "key-%016u", i);

      keys[i].hash = sgr_account_key_hash (key, (size_t)length);
      keys[i].account = i % ACCOUNTS;
    }
  /* The last key is withdrawn. */
  table = sgr_account_table_create (accounts, ACCOUNTS, keys, ACCOUNTS * KEYS_PER_ACCOUNT - 1);
  for (uint32_t i = 0; i < ACCOUNTS * KEYS_PER_ACCOUNT; i++)
    {
      int length = snprintf (key, sizeof key, "key-%016u", i);
      bool is_known = i < ACCOUNTS * KEYS_PER_ACCOUNT - 1;

      assert_int_equal (sgr_account_table_find (table, key, (size_t)length),
                        is_known ? i % ACCOUNTS : SGR_ACCOUNT_NONE);
      assert_int_equal (sgr_account_table_find (table, key, (size_t)length - 1), SGR_ACCOUNT_NONE);
    }
  assert_int_equal (sgr_account_table_count (table), ACCOUNTS);
  assert_string_equal (sgr_account_table_get (table, 499)->name, "account-499");
  assert_null (sgr_account_table_get (table, ACCOUNTS));
  assert_null (sgr_account_table_get (table, SGR_ACCOUNT_NONE));
  assert_true (sgr_account_table_bytes (table) < ACCOUNTS * KEYS_PER_ACCOUNT * 100);
  sgr_account_table_destroy (table);
  free (accounts);
  free (keys);
}

/* Guards against access outside of the table for an empty or too long key, and for a configuration
   without accounts or keys. */
static void
test_odd_keys (void **state)
{
  static char long_key[SGR_ACCOUNT_KEY_BYTES_MAX + 1];
  sgr_account_t account = { .name = "a" };
  sgr_account_key_t key = { .hash = sgr_account_key_hash (long_key, sizeof long_key - 1) };
  sgr_account_table_t *table = sgr_account_table_create (&account, 1, &key, 1);
  sgr_account_table_t *empty = sgr_account_table_create (&account, 1, NULL, 0);

  assert_int_equal (sgr_account_table_find (table, long_key, sizeof long_key - 1), 0);
  assert_int_equal (sgr_account_table_find (table, long_key, sizeof long_key), SGR_ACCOUNT_NONE);
  assert_int_equal (sgr_account_table_find (table, "", 0), SGR_ACCOUNT_NONE);
  assert_int_equal (sgr_account_table_find (table, NULL, 0), SGR_ACCOUNT_NONE);
  assert_int_equal (sgr_account_table_find (empty, "k", 1), SGR_ACCOUNT_NONE);
  assert_int_equal (sgr_account_table_find (NULL, "k", 1), SGR_ACCOUNT_NONE);
  assert_null (sgr_account_table_get (NULL, 0));
  sgr_account_table_destroy (table);
  sgr_account_table_destroy (empty);
}

/* Guards against a field that is forwarded to a target although it holds a key, or although the
   target could take it for the name of the account. */
static void
test_field_names (void **state)
{
  static const struct
  {
    const char *name;
    bool on_platform;
    bool by_default;
  } cases[] = {
    { "authorization", true, true },       { "Authorization", true, true },
    { "x-tenant-id", true, false },        { "X-TENANT-ID", true, false },
    { "X_Tenant-Id", true, false },        { "x_tenant_id", true, false },
    { "siskingrade-tenant", true, true },  { "Siskingrade_Tenant", true, true },
    { "x-tenant-ids", false, false },      { "x-tenant", false, false },
    { "siskingrade-class", false, false }, { "proxy-authorization", false, false },
    { "x-request-id", false, false },      { "", false, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const char *name = cases[i].name;

      if (sgr_call_fields_is_of_account (sgr_platform_adapter.fields, name, strlen (name))
              != cases[i].on_platform
          || sgr_call_fields_is_of_account (&sgr_call_fields_default, name, strlen (name))
                 != cases[i].by_default)
        fail_msg ("%s", name);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_hash_is_fixed),
    cmocka_unit_test (test_lookup),
    cmocka_unit_test (test_odd_keys),
    cmocka_unit_test (test_field_names),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
