#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "config_resource.h"

/* Tests the routes: how they are read from the configuration and how a call's service is chosen. */

/* Parts of the routes of a test. */
static sgr_route_part_t parts[8];
static size_t parts_used;

static sgr_route_t
route_make (const char *name, const char *host, const char *prefix)
{
  sgr_route_part_t *part = &parts[parts_used++ % (sizeof parts / sizeof parts[0])];
  sgr_route_t route = { .host = host, .prefix = prefix, .parts = part, .part_count = 1 };

  snprintf (route.name, sizeof route.name, "%s", name);
  snprintf (part->service, sizeof part->service, "%s", name);
  part->weight = 1;
  return route;
}

/* Guards against a request that is routed by a shorter prefix, by another host's route or by its
   query string. */
static void
test_longest_prefix (void **state)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *route;
  } cases[] = {
    { "a.example", "/x/1", "short" },      { "a.example", "/x/y/1", "long" },
    { "A.Example:8080", "/x/y/", "long" }, { "a.example", "/x", NULL },
    { "a.example", "/xy/1", NULL },        { "b.example", "/x/1", "other" },
    { "c.example", "/x/1", NULL },         { "", "/x/1", NULL },
    { "a.example", "/q?/x/1", NULL },      { "a.example", "/x/?a=/x/y/", "short" },
  };
  sgr_route_t routes[]
      = { route_make ("short", "a.example", "/x/"), route_make ("other", "b.example", "/"),
          route_make ("long", "a.example", "/x/y/") };
  sgr_route_table_t *table;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 1);
  table = sgr_route_table_create (routes, 3, NULL, &rng);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_route_entry_t *entry = sgr_route_table_find (table, cases[i].host, strlen (cases[i].host),
                                                       cases[i].path, strlen (cases[i].path));
      const char *name = entry != NULL ? sgr_route_entry_route (entry)->name : NULL;

      if ((name == NULL) != (cases[i].route == NULL)
          || (name != NULL && strcmp (name, cases[i].route) != 0))
        fail_msg ("%s%s: found %s, expected %s", cases[i].host, cases[i].path,
                  name != NULL ? name : "none", cases[i].route != NULL ? cases[i].route : "none");
    }
  sgr_route_table_destroy (table);
}

/* Guards against a split of the calls that deviates from the weights, either over a series of only
   a few calls or because the table is replaced. */
static void
test_split_is_exact (void **state)
{
  static const sgr_route_part_t split[] = { { "s0", 90 }, { "s1", 10 }, { "s2", 0 }, { "s3", 25 } };
  sgr_route_t route
      = { .host = "a.example", .prefix = "/", .parts = split, .part_count = 4, .name = "split" };
  uint64_t counts[4] = { 0 }, sum = 125;
  sgr_route_table_t *table = NULL;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 7);
  for (uint64_t call = 1; call <= 2000; call++)
    {
      const sgr_route_part_t *part;

      if (call % 333 == 1)
        {
          sgr_route_table_t *next = sgr_route_table_create (&route, 1, table, &rng);

          sgr_route_table_destroy (table);
          table = next;
        }
      part = sgr_route_entry_part_next (sgr_route_table_find (table, "a.example", 9, "/", 1));
      counts[part->service[1] - '0']++;
      for (uint32_t i = 0; i < 4; i++)
        {
          double share = (double)call * split[i].weight / (double)sum;

          assert_true ((double)counts[i] > share - 2 && (double)counts[i] < share + 2);
        }
    }
  assert_int_equal (counts[2], 0);
  sgr_route_table_destroy (table);
}

#define STARTS 2000

/* Guards against nodes that all send the first calls of a split to the same service, with weights
   of any size and any number of services. */
static void
test_split_starts_anywhere (void **state)
{
  static const uint32_t weights[] = { 1, 2000000000, 200000000 };
  static sgr_route_part_t split[3];
  sgr_route_t route = { .host = "a.example", .prefix = "/", .parts = split, .name = "split" };
  unsigned counts[3] = { 0 };
  sgr_rng_t rng;

  route.part_count = sizeof weights / sizeof weights[0];
  for (size_t i = 0; i < route.part_count; i++)
    {
      snprintf (split[i].service, sizeof split[i].service, "s%zu", i);
      split[i].weight = weights[i];
    }
  sgr_rng_seed (&rng, 3);
  for (int i = 0; i < STARTS; i++)
    {
      sgr_route_table_t *table = sgr_route_table_create (&route, 1, NULL, &rng);
      sgr_route_entry_t *entry = sgr_route_table_find (table, "a.example", 9, "/", 1);

      counts[sgr_route_entry_part_next (entry)->service[1] - '0']++;
      sgr_route_table_destroy (table);
    }
  /* The shares are 0, 10 in 11 and 1 in 11. */
  assert_true (counts[0] <= 2);
  assert_in_range (counts[2], STARTS / 11 / 2, STARTS / 11 * 2);
}

/* Guards against an unusable route whose requests fall to a route with a shorter prefix, or to no
   route at all. */
static void
test_unusable_route_is_found (void **state)
{
  sgr_route_t routes[] = { route_make ("short", "a.example", "/"),
                           { .host = "a.example", .prefix = "/x/", .is_unusable = true } };
  sgr_route_table_t *table;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 1);
  table = sgr_route_table_create (routes, 2, NULL, &rng);
  assert_true (
      sgr_route_entry_route (sgr_route_table_find (table, "A.example", 9, "/x/1", 4))->is_unusable);
  assert_false (
      sgr_route_entry_route (sgr_route_table_find (table, "a.example", 9, "/y/1", 4))->is_unusable);
  sgr_route_table_destroy (table);
}

#define POLICY "\"policies\":[{\"name\":\"p\"}],\"services\":[{\"name\":\"s\",\"policy\":\"p\"}]"
#define ROUTE(fields) "{" POLICY ",\"routes\":[{" fields "}]}"
#define GOOD_ROUTE                                                                                 \
  "\"name\":\"r\",\"host\":\"a.example\",\"prefix\":\"/x/\","                                      \
  "\"services\":[{\"service\":\"s\",\"weight\":1}]"

/* Guards against accepting a configuration with a route that cannot be served, and against an error
   that does not name the faulty place. */
static void
test_bad_routes (void **state)
{
  static const struct
  {
    const char *text;
    const char *path;
  } cases[] = {
    { "{" POLICY ",\"routes\":{}}", "routes" },
    { ROUTE ("\"name\":\"r\""), "routes[0]" },
    { ROUTE ("\"name\":\"r\",\"host\":\"A.example\",\"prefix\":\"/x/\",\"services\":[]"),
      "routes[0].host" },
    { ROUTE ("\"name\":\"r\",\"host\":\"a.example\",\"prefix\":\"/x\",\"services\":[]"),
      "routes[0].prefix" },
    { ROUTE ("\"name\":\"r\",\"host\":\"a.example\",\"prefix\":\"/x/\",\"services\":[]"),
      "routes[0].services" },
    { ROUTE ("\"name\":\"r\",\"host\":\"a.example\",\"prefix\":\"/x/\","
             "\"services\":[{\"service\":\"s\",\"weight\":0}]"),
      "routes[0].services" },
    { ROUTE ("\"name\":\"r\",\"host\":\"a.example\",\"prefix\":\"/x/\","
             "\"services\":[{\"service\":\"t\",\"weight\":1}]"),
      "routes[0]" },
    { ROUTE (GOOD_ROUTE ",\"timeout_ms\":-1"), "routes[0].timeout_ms" },
    { ROUTE (GOOD_ROUTE ",\"priority\":\"high\""), "routes[0].priority" },
    { ROUTE (GOOD_ROUTE ",\"idempotency\":\"sometimes\""), "routes[0].idempotency" },
    { ROUTE (GOOD_ROUTE ",\"unknown\":1"), "routes[0]" },
    { ROUTE (GOOD_ROUTE "},{" GOOD_ROUTE), "routes[1].name" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_config_error_t error = { SGR_OK };
      json_t *json = sgr_config_json_load (cases[i].text, strlen (cases[i].text), &error);
      sgr_config_content_t *content = NULL;

      assert_non_null (json);
      if (sgr_config_content_parse (json, "", &content, &error) != SGR_ERR_INVALID
          || strncmp (error.path, cases[i].path, strlen (cases[i].path)) != 0)
        fail_msg ("%s: path \"%s\", expected \"%s\"", cases[i].text, error.path, cases[i].path);
      json_decref (json);
    }
}

/* Guards against the loss of a route when a configuration is normalized, or when the difference of
   two configurations is applied as an edit. */
static void
test_routes_survive_edits (void **state)
{
  static const char text[] = ROUTE (GOOD_ROUTE);
  sgr_config_error_t error = { SGR_OK };
  json_t *json = sgr_config_json_load (text, strlen (text), &error);
  json_t *normal = sgr_config_content_normalize (json);
  sgr_config_content_t *before, *after, *copy;
  json_t *edit;

  assert_int_equal (sgr_config_content_parse (normal, "", &after, &error), SGR_OK);
  assert_int_equal (after->route_count, 1);
  assert_string_equal (after->routes[0].parts[0].service, "s");
  json_object_del (normal, "routes");
  assert_int_equal (sgr_config_content_parse (normal, "", &before, &error), SGR_OK);
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

/* Guards against a key that is bound to a gate outside of the regions of the only route that it can
   be used on, and against a service whose routes have no region in common and that gets no key. */
static void
test_regions_of_a_service (void **state)
{
  sgr_route_t routes[] = { route_make ("a", "a.example", "/"), route_make ("b", "b.example", "/"),
                           route_make ("c", "c.example", "/") };
  sgr_region_table_t regions = { .ids = { 10, 20, 30 }, .count = 3 };
  sgr_region_limit_t limit = { 0 };
  sgr_route_table_t *table;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 1);
  routes[0].regions = (sgr_region_list_t){ true, (sgr_region_id_t[]){ 20, 30 }, 2 };
  routes[1].parts = routes[0].parts;
  routes[2].regions = (sgr_region_list_t){ true, (sgr_region_id_t[]){ 10 }, 1 };
  table = sgr_route_table_create (routes, 3, NULL, &rng);
  sgr_route_table_regions_narrow (table, "none", &limit, &regions);
  assert_false (limit.is_bound);
  sgr_route_table_regions_narrow (table, "a", &limit, &regions);
  assert_true (limit.is_bound);
  assert_int_equal (limit.mask, 2 | 4);
  sgr_route_table_regions_narrow (table, "c", &limit, &regions);
  assert_int_equal (limit.mask, 2 | 4);
  sgr_route_table_destroy (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_prefix),
    cmocka_unit_test (test_split_is_exact),
    cmocka_unit_test (test_bad_routes),
    cmocka_unit_test (test_routes_survive_edits),
    cmocka_unit_test (test_regions_of_a_service),
    cmocka_unit_test (test_split_starts_anywhere),
    cmocka_unit_test (test_unusable_route_is_found),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
