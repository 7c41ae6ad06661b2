#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "config_resource.h"
#include "snapshot.h"

/* Tests the client accounts of a configuration, in the product's own format. */

#define POLICY "\"policies\":[{\"name\":\"p\"}],\"services\":[{\"name\":\"s\",\"policy\":\"p\"}]"
#define ACCOUNTS(list) "{" POLICY ",\"accounts\":[" list "]}"
#define KEY_1 "00112233445566778899aabbccddeeff"
#define KEY_2 "ffeeddccbbaa99887766554433221100"
#define ACCOUNT_REGIONS(regions)                                                                   \
  ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[],\"regions\":" regions "}")
#define ROUTE_REGIONS(regions)                                                                     \
  "{" POLICY ",\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"services\":"          \
  "[{\"service\":\"s\",\"weight\":1}],\"regions\":" regions "}]}"
#define SECRET "a-key-in-place-of-its-hash"

static sgr_result_t
content_read (const char *text, sgr_config_content_t **content, sgr_config_error_t *error)
{
  json_t *json = sgr_config_json_load (text, strlen (text), error);
  sgr_result_t result = sgr_config_content_parse (json, "", content, error);

  json_decref (json);
  return result;
}

/* Guards against accounts that are no longer in use because the last one was removed. Without the
   list, they are not in use. */
static void
test_last_account_is_removed (void **state)
{
  sgr_config_error_t error = { SGR_OK };
  sgr_config_content_t *content, *emptied;
  json_t *edit = json_pack ("{s:{s:[s]}}", "remove", "accounts", "a");

  assert_int_equal (
      content_read (ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[\"" KEY_1 "\"]}"), &content, &error),
      SGR_OK);
  assert_true (content->accounts.is_in_use);
  assert_int_equal (sgr_config_content_apply (content, edit, &emptied, &error), SGR_OK);
  assert_true (emptied->accounts.is_in_use);
  assert_int_equal (emptied->accounts.count, 0);
  sgr_config_content_destroy (emptied);
  sgr_config_content_destroy (content);
  json_decref (edit);
  assert_int_equal (content_read ("{" POLICY "}", &content, &error), SGR_OK);
  assert_false (content->accounts.is_in_use);
  sgr_config_content_destroy (content);
}

/* Guards against an account that is read only in part, and against keys of another account. */
static void
test_accounts_read (void **state)
{
  sgr_config_error_t error = { SGR_OK };
  sgr_config_content_t *content;
  const sgr_config_accounts_t *accounts;
  sgr_snapshot_t *snapshot;

  assert_int_equal (
      content_read (ACCOUNTS ("{\"name\":\"b\",\"key_hashes\":[\"" KEY_2 "\"],\"priority\":100,"
                              "\"rate_per_s\":20,\"burst\":5},"
                              "{\"name\":\"a\",\"key_hashes\":[\"" KEY_1 "\"]}"),
                    &content, &error),
      SGR_OK);
  accounts = &content->accounts;
  assert_int_equal (accounts->count, 2);
  assert_string_equal (accounts->list[0].name, "b");
  assert_int_equal (accounts->list[0].priority, 100);
  assert_int_equal (accounts->list[0].rate_per_s, 20);
  assert_int_equal (accounts->list[0].burst, 5);
  assert_int_equal (accounts->list[1].rate_per_s, 0);
  assert_int_equal (accounts->key_count, 2);
  assert_int_equal (accounts->keys[0].account, 1);
  assert_true (accounts->keys[0].hash.high == 0x0011223344556677U);
  assert_true (accounts->keys[0].hash.low == 0x8899aabbccddeeffU);
  assert_int_equal (accounts->keys[1].account, 0);
  snapshot = sgr_snapshot_create (0, 0, 0);
  sgr_snapshot_accounts_set (snapshot, accounts->list, accounts->count, accounts->keys,
                             accounts->key_count);
  sgr_config_content_destroy (content);
  assert_string_equal (snapshot->accounts[1].name, "a");
  assert_int_equal (snapshot->account_keys[1].account, 0);
  sgr_snapshot_destroy (snapshot);
}

/* Guards against an invalid account that is accepted, an error without the path of the value, and
   an error that shows a key. */
static void
test_bad_accounts (void **state)
{
  static const struct
  {
    const char *text;
    const char *path;
  } cases[] = {
    { "{" POLICY ",\"accounts\":{}}", "accounts" },
    { ACCOUNTS ("3"), "accounts[0]" },
    { ACCOUNTS ("{\"key_hashes\":[]}"), "accounts[0].name" },
    { ACCOUNTS ("{\"name\":\"a b\",\"key_hashes\":[]}"), "accounts[0].name" },
    { ACCOUNTS ("{\"name\":\"a\"}"), "accounts[0].key_hashes" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":\"" SECRET "\"}"), "accounts[0].key_hashes" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[\"" KEY_1 "\",\"" SECRET "\"]}"),
      "accounts[0].key_hashes[1]" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[\"0" KEY_1 "\"]}"), "accounts[0].key_hashes[0]" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[\"00112233445566778899AABBCCDDEEFF\"]}"),
      "accounts[0].key_hashes[0]" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[7]}"), "accounts[0].key_hashes[0]" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[\"" KEY_1 "\",\"" KEY_2 "\",\"" KEY_1 "\"]}"),
      "accounts[0].key_hashes[2]" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[\"" KEY_1 "\"]},"
                "{\"name\":\"b\",\"key_hashes\":[\"" KEY_2 "\",\"" KEY_1 "\"]}"),
      "accounts[1].key_hashes[1]" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[]},{\"name\":\"a\",\"key_hashes\":[]}"),
      "accounts[1].name" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[],\"priority\":101}"), "accounts[0].priority" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[],\"rate_per_s\":-1}"), "accounts[0].rate_per_s" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[],\"burst\":1.5}"), "accounts[0].burst" },
    { ACCOUNTS ("{\"name\":\"a\",\"key_hashes\":[],\"keys\":[]}"), "accounts[0].keys" },
    { "{" POLICY ",\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"services\":"
      "[{\"service\":\"s\",\"weight\":1}],\"public\":1}]}",
      "routes[0].public" },
    { ACCOUNT_REGIONS ("[]"), "accounts[0].regions" },
    { ACCOUNT_REGIONS ("\"eu\""), "accounts[0].regions" },
    { ACCOUNT_REGIONS ("null"), "accounts[0].regions" },
    { ACCOUNT_REGIONS ("[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]"),
      "accounts[0].regions" },
    { ACCOUNT_REGIONS ("[\"eu\",\"\"]"), "accounts[0].regions[1]" },
    { ACCOUNT_REGIONS ("[\"eu\",7]"), "accounts[0].regions[1]" },
    { ROUTE_REGIONS ("[]"), "routes[0].regions" },
    { ROUTE_REGIONS ("[\"e u\"]"), "routes[0].regions[0]" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_error_t error = { SGR_OK };
      sgr_config_content_t *content = NULL;

      if (content_read (cases[i].text, &content, &error) != SGR_ERR_INVALID
          || strcmp (error.path, cases[i].path) != 0 || strstr (error.message, SECRET) != NULL
          || strstr (error.message, KEY_1) != NULL)
        fail_msg ("%s: path \"%s\", message \"%s\"", cases[i].text, error.path, error.message);
    }
}

/* Guards against a text that is not JSON and whose error shows the key at the faulty place. */
static void
test_json_error_without_key (void **state)
{
  static const char text[] = "{\"apiKeys\":[\"" SECRET "\" \"" SECRET "\"]}";
  sgr_config_error_t error = { SGR_OK };

  assert_null (sgr_config_json_load (text, strlen (text), &error));
  assert_non_null (strstr (error.message, "line 1"));
  assert_null (strstr (error.message, SECRET));
}

/* Guards against the loss of accounts or of a route's "public" or "regions" when a configuration is
   normalized, or when the difference of two configurations is applied as an edit; and against a
   list "accounts" that appears in a configuration without accounts and changes its digest. */
static void
test_accounts_survive_edits (void **state)
{
  static const char text[]
      = "{" POLICY ",\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"services\":"
        "[{\"service\":\"s\",\"weight\":1}],\"public\":true,\"regions\":[\"eu\",\"us\"]}],"
        "\"accounts\":[{\"name\":\"b\",\"key_hashes\":[]},"
        "{\"name\":\"a\",\"key_hashes\":[\"" KEY_1
        "\"],\"rate_per_s\":1000000000,\"regions\":[\"eu\"]}]}";
  sgr_config_error_t error = { SGR_OK };
  json_t *json = sgr_config_json_load (text, strlen (text), &error);
  json_t *normal = sgr_config_content_normalize (json);
  sgr_config_content_t *before, *after, *copy;
  json_t *edit;

  assert_int_equal (sgr_config_content_parse (normal, "", &after, &error), SGR_OK);
  assert_true (sgr_config_content_is_sorted (after));
  assert_true (after->routes[0].is_public);
  assert_int_equal (after->routes[0].regions.count, 2);
  assert_true (after->routes[0].regions.ids[1] == sgr_region_id_of ("us"));
  assert_int_equal (after->accounts.list[0].regions.count, 1);
  assert_int_equal (after->accounts.list[1].regions.count, 0);
  assert_string_equal (after->accounts.list[0].name, "a");
  assert_int_equal (after->accounts.list[0].rate_per_s, 1000000000);
  assert_int_equal (after->accounts.key_count, 1);
  json_object_del (normal, "accounts");
  assert_int_equal (sgr_config_content_parse (normal, "", &before, &error), SGR_OK);
  edit = sgr_config_content_diff (before, before);
  assert_null (json_object_get (json_object_get (edit, "put"), "accounts"));
  json_decref (edit);
  edit = sgr_config_content_diff (before, after);
  assert_int_equal (sgr_config_content_apply (before, edit, &copy, &error), SGR_OK);
  assert_true (sgr_config_digest_equal (&copy->digest, &after->digest));
  sgr_config_content_destroy (before);
  sgr_config_content_destroy (after);
  sgr_config_content_destroy (copy);
  json_decref (edit);
  json_decref (normal);
  json_decref (json);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_last_account_is_removed),
    cmocka_unit_test (test_accounts_read),
    cmocka_unit_test (test_bad_accounts),
    cmocka_unit_test (test_json_error_without_key),
    cmocka_unit_test (test_accounts_survive_edits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
