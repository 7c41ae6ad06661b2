#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_resource.h"
#include "config_support.h"

#define CONTENT_WITH_POLICY(fields) "{\"policies\":[{\"name\":\"p\"," fields "}],\"services\":[]}"
#define CONTENT_WITH_SERVICE(fields) "{\"policies\":[{\"name\":\"p\"}],\"services\":[{" fields "}]}"

/* Guards against invalid input that is accepted, and against errors that do not name the path of
   the invalid value. */
static void
test_content_bad_input_table (void **state)
{
  static const struct
  {
    const char *text;
    const char *path;
    const char *message;
  } cases[] = {
    { "[]", "", "found a list, expected an object" },
    { "{}", "policies", "expected this key" },
    { "{\"policies\":[],\"services\":[],\"extra\":1}", "extra", "unknown key" },
    { "{\"policies\":{},\"services\":[]}", "policies", "found an object" },
    { "{\"policies\":[],\"services\":3}", "services", "found 3" },
    { "{\"policies\":[3],\"services\":[]}", "policies[0]", "found 3, expected an object" },
    { "{\"policies\":[{}],\"services\":[]}", "policies[0].name", "found nothing" },
    { CONTENT_WITH_POLICY ("\"name2\":1"), "policies[0].name2", "unknown key" },
    { CONTENT_WITH_POLICY ("\"deadline_ms\":0"), "policies[0].deadline_ms",
      "found 0, expected an integer" },
    { CONTENT_WITH_POLICY ("\"deadline_ms\":600001"), "policies[0].deadline_ms", "600001" },
    { CONTENT_WITH_POLICY ("\"deadline_ms\":1.5"), "policies[0].deadline_ms",
      "found the number 1.5" },
    { CONTENT_WITH_POLICY ("\"deadline_ms\":\"1\""), "policies[0].deadline_ms",
      "found the string" },
    { CONTENT_WITH_POLICY ("\"deadline_ms\":null"), "policies[0].deadline_ms", "found null" },
    { CONTENT_WITH_POLICY ("\"queue_max\":-1"), "policies[0].queue_max", "found -1" },
    { CONTENT_WITH_POLICY ("\"attempts_max\":11"), "policies[0].attempts_max", "from 1 to 10" },
    { CONTENT_WITH_POLICY ("\"retry_percent\":101"), "policies[0].retry_percent", "from 0 to 100" },
    { CONTENT_WITH_POLICY ("\"hedge_percentile\":49"), "policies[0].hedge_percentile", "50 to 99" },
    { CONTENT_WITH_POLICY ("\"eject_percent\":100"), "policies[0].eject_percent", "from 0 to 99" },
    { CONTENT_WITH_POLICY ("\"targets_max\":0"), "policies[0].targets_max", "from 1" },
    { CONTENT_WITH_POLICY ("\"idempotency\":\"maybe\""), "policies[0].idempotency", "by-method" },
    { CONTENT_WITH_POLICY ("\"not_run_status\":[200]"), "policies[0].not_run_status[0]",
      "from 400 to 599" },
    { CONTENT_WITH_POLICY ("\"not_run_status\":[503,503]"), "policies[0].not_run_status[1]",
      "second time" },
    { CONTENT_WITH_POLICY ("\"not_run_status\":[500,501,502,503,504,505,506,507,508]"),
      "policies[0].not_run_status", "at most 8" },
    { CONTENT_WITH_POLICY ("\"tenant_limits\":{\"a b\":1}"), "policies[0].tenant_limits.a b",
      "found \"a b\"" },
    { CONTENT_WITH_POLICY ("\"tenant_limits\":{\"a\":0}"), "policies[0].tenant_limits.a",
      "from 1" },
    { CONTENT_WITH_POLICY ("\"class_limits\":[]"), "policies[0].class_limits", "found a list" },
    { CONTENT_WITH_SERVICE ("\"name\":\"s\""), "services[0].policy", "expected this key" },
    { CONTENT_WITH_SERVICE ("\"name\":\"s\",\"policy\":\"q\""), "services[0].policy",
      "found \"q\"" },
    { CONTENT_WITH_SERVICE ("\"name\":\"\",\"policy\":\"p\""), "services[0].name",
      "expected a name" },
    { CONTENT_WITH_SERVICE ("\"name\":\"a/b\",\"policy\":\"p\""), "services[0].name",
      "expected a name" },
    { CONTENT_WITH_SERVICE ("\"name\":\"s\",\"policy\":\"p\",\"overrides\":{\"name\":\"x\"}"),
      "services[0].overrides.name", "unknown key" },
    { CONTENT_WITH_SERVICE ("\"name\":\"s\",\"policy\":\"p\"},{\"name\":\"s\",\"policy\":\"p\""),
      "services[1].name", "second time" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_error_t error = { SGR_OK };
      sgr_config_content_t *content;
      json_t *json = sgr_config_json_load (cases[i].text, strlen (cases[i].text), &error);

      assert_non_null (json);
      assert_int_equal (sgr_config_content_parse (json, "", &content, &error), SGR_ERR_INVALID);
      if (strcmp (error.path, cases[i].path) != 0
          || strstr (error.message, cases[i].message) == NULL)
        fail_msg ("case %zu: path \"%s\" message \"%s\"", i, error.path, error.message);
      json_decref (json);
    }
}

/* Guards against accepting a text that is not valid JSON, or whose meaning differs between JSON
   parsers, such as an object with duplicate keys. */
static void
test_json_bad_text_table (void **state)
{
  static const char *const cases[]
      = { "", "{", "{\"a\":1,\"a\":2}", "{\"a\":1}x", "nul", "{\"a\":\"\\u0000\"}", "\xff" };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_error_t error = { SGR_OK };

      assert_null (sgr_config_json_load (cases[i], strlen (cases[i]), &error));
      assert_non_null (strstr (error.message, "line "));
    }
}

/* Guards against an override that has no effect, or that also affects other services with the same
   policy. */
static void
test_content_effective_policies (void **state)
{
  static const char text[]
      = "{\"policies\":[{\"name\":\"p\",\"deadline_ms\":700,\"tenant_limits\":{\"z\":2,\"a\":1}}],"
        "\"services\":[{\"name\":\"s2\",\"policy\":\"p\",\"overrides\":{\"queue_max\":3}},"
        "{\"name\":\"s1\",\"policy\":\"p\"}]}";
  json_t *json = sgr_config_json_load (text, strlen (text), NULL), *normal;
  sgr_config_content_t *content, *again;
  const sgr_policy_t *policy;

  assert_int_equal (sgr_config_content_parse (json, "", &content, NULL), SGR_OK);
  policy = sgr_config_content_policy (content, "s2");
  assert_int_equal (policy->deadline_ms, 700);
  assert_int_equal (policy->queue_max, 3);
  assert_string_equal (policy->tenant_limits[0].name, "a");
  /* The default of queue_max is 64. */
  assert_int_equal (sgr_config_content_policy (content, "s1")->queue_max, 64);
  assert_null (sgr_config_content_policy (content, "s3"));
  assert_false (sgr_config_content_is_sorted (content));
  /* The normal form leads to the same policies, and normalizing it again does not change it. */
  normal = sgr_config_content_normalize (json);
  assert_int_equal (sgr_config_content_parse (normal, "", &again, NULL), SGR_OK);
  assert_true (sgr_config_content_is_sorted (again));
  assert_memory_equal (again->services, content->services, 2 * sizeof *content->services);
  json_decref (json);
  json = sgr_config_content_normalize (normal);
  assert_true (json_equal (json, normal));
  json_decref (json);
  json_decref (normal);
  sgr_config_content_destroy (content);
  sgr_config_content_destroy (again);
}

/* Guards against an invalid edit that is accepted, and against an edit from
   sgr_config_content_diff() that does not lead to the same digest when it is applied. */
static void
test_content_edit (void **state)
{
  static const struct
  {
    const char *edit;
    const char *path;
  } bad[] = {
    { "{\"remove\":{\"services\":[\"x\"]}}", "remove.services[0]" },
    { "{\"remove\":{\"policies\":[\"p0\"]}}", "services[0].policy" },
    { "{\"put\":{\"services\":[{\"name\":\"a\"}]}}", "put.services[0].policy" },
    { "{\"put\":{\"policies\":[{\"name\":\"a\"},{\"name\":\"a\"}]}}", "put.policies[1].name" },
    { "{\"put\":{\"nodes\":[]}}", "put.nodes" },
    { "{\"puts\":{}}", "puts" },
    { "{\"remove\":{\"services\":3}}", "remove.services" },
  };
  static const char good[] = "{\"put\":{\"services\":[{\"name\":\"aa\",\"policy\":\"p0\"},"
                             "{\"name\":\"zz\",\"policy\":\"p0\"}]},"
                             "\"remove\":{\"services\":[\"service-0001\"]}}";
  json_t *body = support_content (3, 100), *json;
  sgr_config_content_t *base, *edited, *again;
  sgr_config_error_t error;

  assert_int_equal (sgr_config_content_parse (json_object_get (body, "full"), "", &base, NULL),
                    SGR_OK);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      json = sgr_config_json_load (bad[i].edit, strlen (bad[i].edit), NULL);
      assert_int_equal (sgr_config_content_apply (base, json, &edited, &error), SGR_ERR_INVALID);
      assert_string_equal (error.path, bad[i].path);
      json_decref (json);
    }
  json = sgr_config_json_load (good, strlen (good), NULL);
  assert_int_equal (sgr_config_content_apply (base, json, &edited, NULL), SGR_OK);
  assert_true (sgr_config_content_is_sorted (edited));
  assert_int_equal (edited->service_count, 4);
  json_decref (json);
  json = sgr_config_content_diff (base, edited);
  assert_int_equal (sgr_config_content_apply (base, json, &again, NULL), SGR_OK);
  assert_true (sgr_config_digest_equal (&again->digest, &edited->digest));
  json_decref (json);
  json_decref (body);
  sgr_config_content_destroy (base);
  sgr_config_content_destroy (edited);
  sgr_config_content_destroy (again);
}

/* Guards against routes that are read again at each change although their JSON value is the same,
   and against one that is taken over although its value changed. */
static void
test_update_takes_over_equal_routes (void **state)
{
  json_t *policy = json_pack ("{s:s}", "name", "p");
  json_t *service = json_pack ("{s:s, s:s}", "name", "s", "policy", "p");
  json_t *routes[3], *first, *second;
  sgr_config_content_t *before, *after;

  for (int i = 0; i < 3; i++)
    {
      char name[8], prefix[8];

      snprintf (name, sizeof name, "r%d", i);
      snprintf (prefix, sizeof prefix, "/%d/", i);
      routes[i] = json_pack ("{s:s, s:s, s:s, s:[{s:s, s:i}]}", "name", name, "host", "h", "prefix",
                             prefix, "services", "service", "s", "weight", 1);
    }
  first = json_pack ("{s:[O], s:[O], s:[O, O]}", "policies", policy, "services", service, "routes",
                     routes[0], routes[1]);
  second = json_pack ("{s:[O], s:[O], s:[o, O]}", "policies", policy, "services", service, "routes",
                      routes[2], routes[0]);
  assert_int_equal (sgr_config_content_update (NULL, first, &before, NULL), SGR_OK);
  before->routes[0].timeout_ms = 77; /* a mark that no JSON value has */
  assert_int_equal (sgr_config_content_update (before, second, &after, NULL), SGR_OK);
  assert_string_equal (after->routes[0].name, "r2");
  assert_int_equal (after->routes[0].timeout_ms, 0);
  assert_string_equal (after->routes[1].name, "r0");
  assert_int_equal (after->routes[1].timeout_ms, 77);
  sgr_config_content_destroy (before);
  sgr_config_content_destroy (after);
  json_decref (first);
  json_decref (second);
  json_decref (routes[0]);
  json_decref (routes[1]);
  json_decref (policy);
  json_decref (service);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_content_bad_input_table),
    cmocka_unit_test (test_json_bad_text_table),
    cmocka_unit_test (test_content_effective_policies),
    cmocka_unit_test (test_content_edit),
    cmocka_unit_test (test_update_takes_over_equal_routes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
