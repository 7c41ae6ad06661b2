#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_state.h"
#include "platform.h"

/* Input from the platform's operator and targets: valid input is translated in full; invalid input
   is refused with the path of the error and changes nothing. */

#define DOCUMENT_BYTES 1024
#define DOCUMENT(version, resources)                                                               \
  "{\"version\":\"" version "\",\"baseVersion\":\"00000001\",\"resources\":[" resources "]}"
#define SERVICE                                                                                    \
  "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"s\"},"                                  \
  "\"spec\":{\"healthPath\":\"/healthz\",\"maxConnections\":240}}"
#define ROUTE(spec)                                                                                \
  "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r\"},\"spec\":{" spec "}}"
#define SPEC(kind)                                                                                 \
  "\"host\":\"a.example\",\"prefix\":\"/x/\",\"routeKind\":\"" kind "\",\"timeout\":\"1.5s\","     \
  "\"targetLatency\":\"300ms\",\"priority\":2,\"maxAttempts\":2"

static sgr_config_state_t *
state_create (void)
{
  sgr_config_owners_t owners = { 0 };
  sgr_config_state_t *state = sgr_config_state_create (&owners, 4);

  sgr_config_state_source_set (state, sgr_platform_adapter.config);
  return state;
}

static sgr_result_t
document_offer (sgr_config_state_t *state, const char *text, sgr_config_error_t *error)
{
  return sgr_config_state_offer (state, text, strlen (text), error);
}

/* Guards against a document that is translated only in part, and against one that replaces a
   document of the same or a newer version. */
static void
test_documents (void **unused)
{
  sgr_config_state_t *state = state_create ();
  sgr_config_error_t error = { SGR_OK };
  const sgr_route_t *routes;
  size_t count;

  assert_int_equal (
      document_offer (
          state,
          DOCUMENT ("0000000c", SERVICE
                    "," ROUTE (SPEC ("unsafe") ","
                                               "\"trafficSplit\":[{\"service\":\"s\",\"weight\":9}"
                                               "]") ",{\"resourceType\":\"limits\",\"metadata\":{},"
                                                    "\"spec\":{\"idleTimeout\":\"15000ms\"}}"),
          &error),
      SGR_OK);
  assert_int_equal (sgr_config_state_revision (state), 12);
  routes = sgr_config_state_routes (state, &count);
  assert_int_equal (count, 1);
  assert_int_equal (routes[0].timeout_ms, 1500);
  assert_int_equal (routes[0].target_latency_ms, 300);
  assert_int_equal (routes[0].attempts_max, 2);
  assert_int_equal (routes[0].idempotency, SGR_IDEMPOTENCY_NEVER);
  assert_int_equal (routes[0].parts[0].weight, 9);
  assert_string_equal (sgr_config_state_policy (state, "s")->load_path, "/healthz");
  assert_int_equal (document_offer (state, DOCUMENT ("0000000b", SERVICE), &error),
                    SGR_ERR_CONFLICT);
  assert_int_equal (document_offer (state, DOCUMENT ("0000000c", SERVICE), &error),
                    SGR_ERR_CONFLICT);
  assert_int_equal (sgr_config_state_revision (state), 12);
  assert_int_equal (
      document_offer (state,
                      DOCUMENT ("0000000d", SERVICE "," ROUTE (SPEC ("safe") ","
                                                                             "\"service\":\"s\"")),
                      &error),
      SGR_OK);
  routes = sgr_config_state_routes (state, &count);
  assert_int_equal (routes[0].idempotency, SGR_IDEMPOTENCY_ALWAYS);
  sgr_config_state_destroy (state);
}

/* Guards against an invalid document that replaces the current one, or a refusal without a message.
 */
static void
test_bad_documents (void **unused)
{
  static const char *const cases[] = {
    "",
    "[]",
    "{}",
    "not json",
    "{\"version\":\"0000000c\"}",
    "{\"version\":\"0000000c\",\"resources\":{}}",
    DOCUMENT ("c", SERVICE),
    DOCUMENT ("00000000", SERVICE),
    DOCUMENT ("0000000g", SERVICE),
    DOCUMENT ("0000000c", SERVICE ",{"),
    DOCUMENT ("0000000c", SERVICE) "x",
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_state_t *state = state_create ();
      sgr_config_error_t error = { SGR_OK };

      assert_int_equal (document_offer (state, DOCUMENT ("00000002", SERVICE), &error), SGR_OK);
      if (document_offer (state, cases[i], &error) != SGR_ERR_INVALID || error.message[0] == '\0')
        fail_msg ("%s: accepted, or refused without a message", cases[i]);
      assert_int_equal (sgr_config_state_revision (state), 2);
      sgr_config_state_destroy (state);
    }
}

#define TENANT(name, spec)                                                                         \
  "{\"resourceType\":\"tenants\",\"metadata\":{\"name\":\"" name "\"},\"spec\":{" spec "}}"
#define SECRET "the-key-of-a-tenant"

#define FULL_TENANT                                                                                \
  TENANT ("a", "\"apiKeys\":[\"" SECRET "\"],\"priority\":3.7,\"ratePerS\":12.9,"                  \
               "\"burst\":0.25,\"allowedRegions\":[\"eu\"]")
#define FULL_ROUTE                                                                                 \
  ROUTE (SPEC ("safe") ",\"service\":\"s\",\"public\":true,\"allowedRegions\":[\"eu\",\"us\"]")

/* Guards against an account that is translated only in part, a key that stays in the content, and a
   small limit that is rounded down to no limit. */
static void
test_tenants (void **unused)
{
  sgr_config_state_t *state = state_create ();
  sgr_hash128_t hash = sgr_account_key_hash (SECRET, strlen (SECRET));
  sgr_config_error_t error = { SGR_OK };
  const sgr_config_accounts_t *accounts;
  const sgr_route_t *routes;
  size_t count;
  char *content;

  assert_null (sgr_config_state_accounts (state));
  assert_int_equal (
      document_offer (state,
                      DOCUMENT ("00000001", FULL_TENANT
                                "," TENANT ("b", "\"ratePerS\":1e12") "," SERVICE "," FULL_ROUTE),
                      &error),
      SGR_OK);
  accounts = sgr_config_state_accounts (state);
  assert_int_equal (accounts->count, 2);
  assert_string_equal (accounts->list[0].name, "a");
  assert_int_equal (accounts->list[0].priority, 3);
  assert_int_equal (accounts->list[0].rate_per_s, 12);
  assert_int_equal (accounts->list[0].burst, 1);
  assert_int_equal (accounts->list[1].rate_per_s, SGR_ACCOUNT_RATE_MAX);
  assert_int_equal (accounts->key_count, 1);
  assert_true (sgr_hash128_equal (accounts->keys[0].hash, hash));
  routes = sgr_config_state_routes (state, &count);
  assert_true (routes[0].is_public);
  assert_int_equal (routes[0].regions.count, 2);
  assert_true (routes[0].regions.ids[1] == sgr_region_id_of ("us"));
  assert_int_equal (accounts->list[0].regions.count, 1);
  assert_true (accounts->list[0].regions.ids[0] == sgr_region_id_of ("eu"));
  assert_int_equal (accounts->list[1].regions.count, 0);
  content = sgr_config_json_canonical (sgr_config_state_record (state)->content->json);
  assert_null (strstr (content, SECRET));
  free (content);
  assert_int_equal (document_offer (state, DOCUMENT ("00000002", SERVICE), &error), SGR_OK);
  assert_int_equal (sgr_config_state_accounts (state)->count, 0);
  sgr_config_state_destroy (state);
}

#define HEARTBEAT(info, status)                                                                    \
  "{\"address\":\"10.1.0.9:8080\",\"born\":1700000000123,\"info\":{" info "},\"status\":{" status  \
  "}}"
#define INFO "\"service\":\"s\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":12"
#define STATUS "\"state\":\"ready\",\"sequence\":4,\"cold\":\"0ms\""

#define WITH_BORN(born)                                                                            \
  "{\"address\":\"10.1.0.9:8080\"," born "\"info\":{" INFO "},\"status\":{" STATUS "}}"

/* Guards against an invalid heartbeat that is accepted, and against an error with a wrong path. */
static void
test_heartbeats (void **unused)
{
  static const struct
  {
    const char *text;
    const char *path;
  } bad[] = {
    { NULL, "" },
    { "", "" },
    { "[1]", "address" },
    { "{\"address\":\"10.1.0.9\"}", "address" },
    { HEARTBEAT ("", STATUS), "info.service" },
    { HEARTBEAT ("\"service\":\"a b\",\"slots\":12", STATUS), "info.service" },
    { HEARTBEAT ("\"service\":\"\",\"slots\":12", STATUS), "info.service" },
    { HEARTBEAT ("\"service\":\"s\",\"slots\":\"12\"", STATUS), "info.slots" },
    { HEARTBEAT ("\"service\":\"s\",\"slots\":0", STATUS), "info.slots" },
    { HEARTBEAT (INFO, "\"state\":\"sleeping\",\"sequence\":4"), "status.state" },
    { HEARTBEAT (INFO, "\"state\":3,\"sequence\":4"), "status.state" },
    { HEARTBEAT (INFO, "\"state\":\"ready\""), "status.sequence" },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":-1"), "status.sequence" },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":1e999"), "" },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":99999999999999999999"), "" },
    { HEARTBEAT (INFO, "\"state\":[[[[[[[[{}]]]]]]]],\"sequence\":4"), "status.state" },
    { "{\"address\":\"10.1.0.9:65536\"}", "address" },
    { "{\"address\":\"10.1.0.9:0\"}", "address" },
    { "{\"address\":\"10.1.0.9:99999999999999999999\"}", "address" },
    { WITH_BORN (""), "born" },
    { WITH_BORN ("\"born\":\"1700000000123\","), "born" },
    { WITH_BORN ("\"born\":0,"), "born" },
    { WITH_BORN ("\"born\":-1,"), "born" },
    { WITH_BORN ("\"born\":1.5,"), "born" },
  };
  sgr_config_error_t error = { SGR_OK };
  sgr_announcement_t announcement;
  const char *good = HEARTBEAT (INFO, STATUS);

  assert_int_equal (sgr_platform_heartbeat_read ("i-1", good, strlen (good), &announcement, &error),
                    SGR_OK);
  assert_string_equal (announcement.local.service, "s");
  assert_string_equal (announcement.local.instance, "i-1");
  assert_int_equal (announcement.local.slots, 12);
  assert_int_equal (announcement.local.state, SGR_TARGET_SERVING);
  assert_int_equal (announcement.started_ms, 1700000000123);
  assert_int_equal (announcement.sequence, 4);
  assert_int_equal (sgr_platform_heartbeat_read ("i 1", good, strlen (good), &announcement, &error),
                    SGR_ERR_INVALID);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      size_t length = bad[i].text != NULL ? strlen (bad[i].text) : 0;

      if (sgr_platform_heartbeat_read ("i-1", bad[i].text, length, &announcement, &error)
              != SGR_ERR_INVALID
          || strcmp (error.path, bad[i].path) != 0)
        fail_msg ("%s: path \"%s\", expected \"%s\"", bad[i].text, error.path, bad[i].path);
    }
}

/* Guards against a heartbeat that is taken for a statement that the target is warm although it says
   nothing about that, and against a target that is dropped because of it. */
static void
test_heartbeat_cold (void **unused)
{
  static const struct
  {
    const char *text;
    bool has_cold;
    uint32_t cold_ms;
  } cases[] = {
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":4,\"cold\":\"0ms\""), true, 0 },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":4,\"cold\":\"2.5s\""), true, 2500 },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":4,\"cold\":\"90000s\""), true, 3600000 },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":4"), false, 0 },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":4,\"cold\":2500"), false, 0 },
    { HEARTBEAT (INFO, "\"state\":\"ready\",\"sequence\":4,\"cold\":\"soon\""), false, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_error_t error = { SGR_OK };
      sgr_announcement_t announcement;

      assert_int_equal (sgr_platform_heartbeat_read ("i-1", cases[i].text, strlen (cases[i].text),
                                                     &announcement, &error),
                        SGR_OK);
      if (announcement.has_cold != cases[i].has_cold || announcement.cold_ms != cases[i].cold_ms)
        fail_msg ("%s: %d, %u ms", cases[i].text, announcement.has_cold, announcement.cold_ms);
    }
}

/* Guards against a limit for cold targets that is lost, doubled or becomes "no limit" by rounding.
 */
static void
test_cold_limits (void **unused)
{
  static const struct
  {
    const char *spec;
    int64_t calls_per_s; /* -1 for a service that is not carried out */
    uint32_t cold_start_ms;
  } cases[] = {
    { "", 0, 0 },
    { ",\"coldStart\":\"4s\",\"coldPerS\":12", 12, 4000 },
    { ",\"coldStart\":\"2.5s\",\"coldPerS\":7.9", 7, 2500 },
    { ",\"coldPerS\":0.2", 1, 0 },
    { ",\"coldPerS\":0", 0, 0 },
    { ",\"coldStart\":\"9000s\",\"coldPerS\":1e9", 10000, 3600000 },
    { ",\"coldPerS\":-1", -1, 0 },
    { ",\"coldPerS\":\"12\"", -1, 0 },
    { ",\"coldStart\":4000", -1, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_state_t *state = state_create ();
      sgr_config_error_t error = { SGR_OK };
      const sgr_policy_t *policy;
      char text[512];

      snprintf (text, sizeof text,
                DOCUMENT ("0000000c", "{\"resourceType\":\"services\",\"metadata\":{\"name\":"
                                      "\"s\"},\"spec\":{\"healthPath\":\"/healthz\"%s}}"),
                cases[i].spec);
      assert_int_equal (document_offer (state, text, &error), SGR_OK);
      policy = sgr_config_state_policy (state, "s");
      if ((policy != NULL) != (cases[i].calls_per_s >= 0))
        fail_msg ("%s: %s", cases[i].spec, policy != NULL ? "carried out" : "left out");
      if (policy != NULL)
        {
          assert_string_equal (policy->load_path, "/healthz");
          assert_int_equal (policy->cold_calls_per_s, cases[i].calls_per_s);
          assert_int_equal (policy->cold_start_ms, cases[i].cold_start_ms);
        }
      sgr_config_state_destroy (state);
    }
}

/* Guards against a wrong conversion, against an invalid duration that is accepted, and against a
   long one that is refused or becomes a short one. */
static void
test_durations (void **unused)
{
  static const struct
  {
    const char *text;
    int64_t ms; /* -1 for an invalid duration */
  } cases[] = { { "1500ms", 1500 },
                { "2.5s", 2500 },
                { "0ms", 0 },
                { "0.0004s", 0 },
                { NULL, -1 },
                { "", -1 },
                { "5", -1 },
                { "ms", -1 },
                { "-1ms", -1 },
                { "1 ms", -1 },
                { "1m", -1 },
                { "nans", -1 },
                { "1e99s", UINT32_MAX },
                { "1msx", -1 },
                { " 1ms", -1 },
                { "5000000000ms", UINT32_MAX } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint32_t ms = 7;
      bool is_valid = sgr_platform_duration_read (cases[i].text, &ms);

      if (is_valid != (cases[i].ms >= 0) || (is_valid && ms != cases[i].ms))
        fail_msg ("%s: %s, %u ms", cases[i].text, is_valid ? "accepted" : "refused", ms);
    }
}

#define PARTS 2000

/* Writes a document with @parts routes; @changed is the one with another timeout. */
static void
large_document_write (sgr_buffer_t *text, unsigned parts, unsigned version, unsigned changed)
{
  text->length = 0;
  sgr_buffer_printf (text, "{\"version\":\"%08x\",\"resources\":[", version);
  for (unsigned i = 0; i < parts; i++)
    sgr_buffer_printf (text,
                       "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r%u\"},\"spec\":{"
                       "\"host\":\"a.example\",\"prefix\":\"/p%u/\",\"service\":\"s\","
                       "\"timeout\":\"%us\"}},",
                       i, i, i == changed ? 2 : 1);
  sgr_buffer_printf (text, SERVICE "]}");
}

/* Guards against a change that is in force too late on a slow processor, because the node reads the
   whole document again although one of its routes has changed. */
static void
test_change_reads_changed_parts (void **unused)
{
  sgr_config_state_t *state = state_create ();
  sgr_config_error_t error = { SGR_OK };
  sgr_buffer_t text = { 0 };
  const sgr_route_t *routes;
  size_t count;

  large_document_write (&text, PARTS, 1, 7);
  assert_int_equal (sgr_config_state_offer (state, text.bytes, text.length, &error), SGR_OK);
  assert_int_equal (sgr_config_state_parts_read (state), PARTS + 1);
  large_document_write (&text, PARTS, 2, 8);
  assert_int_equal (sgr_config_state_offer (state, text.bytes, text.length, &error), SGR_OK);
  /* Routes 7 and 8 are different now. */
  assert_int_equal (sgr_config_state_parts_read (state), PARTS + 3);
  routes = sgr_config_state_routes (state, &count);
  assert_int_equal (count, PARTS);
  for (unsigned i = 0; i < PARTS; i++)
    assert_int_equal (routes[i].timeout_ms, i == 8 ? 2000 : 1000);
  sgr_buffer_release (&text);
  sgr_config_state_destroy (state);
}

/* Guards against a valid document that nodes refuse for its size, and so keep the configuration
   before it: the platform's store takes values of up to 1 MiB. */
static void
test_largest_document (void **unused)
{
  enum
  {
    VALUE_MAX_BYTES = 1048576
  };
  sgr_config_state_t *state = state_create ();
  sgr_config_error_t error = { SGR_OK };
  sgr_buffer_t text = { 0 };
  unsigned parts = PARTS;
  size_t count;

  do
    large_document_write (&text, parts += 100, 1, 0);
  while (text.length < VALUE_MAX_BYTES - 50000);
  assert_true (text.length <= VALUE_MAX_BYTES);
  if (sgr_config_state_offer (state, text.bytes, text.length, &error) != SGR_OK)
    fail_msg ("%u routes, %zu bytes: %s: %s", parts, text.length, error.path, error.message);
  sgr_config_state_routes (state, &count);
  assert_int_equal (count, parts);
  sgr_buffer_release (&text);
  sgr_config_state_destroy (state);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_documents),        cmocka_unit_test (test_bad_documents),
    cmocka_unit_test (test_tenants),          cmocka_unit_test (test_heartbeats),
    cmocka_unit_test (test_heartbeat_cold),   cmocka_unit_test (test_cold_limits),
    cmocka_unit_test (test_durations),        cmocka_unit_test (test_change_reads_changed_parts),
    cmocka_unit_test (test_largest_document),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
