#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "account_table.h"
#include "config_state.h"
#include "label.h"
#include "platform.h"
#include "rng.h"

/* Configurations that the platform's store has acknowledged: each version takes effect in all
   entries that can be carried out, whatever the others say. */

#define LONG_NAME "a-name-of-seventy-letters-and-hyphens-which-nothing-on-the-pages-forbids"
#define LABEL_A70 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define RESOURCE(type, name, spec)                                                                 \
  "{\"resourceType\":\"" type "\",\"metadata\":{\"name\":\"" name "\"},\"spec\":{" spec "}}"
#define ROUTE(name, spec) RESOURCE ("routes", name, spec)
#define ODD(fields)                                                                                \
  ROUTE ("odd", "\"host\":\"odd.example\",\"prefix\":\"/odd/\",\"service\":\"old\"" fields)
#define MOVED(service)                                                                             \
  ROUTE ("moved", "\"host\":\"moved.example\",\"prefix\":\"/moved/\",\"service\":\"" service "\"")
#define SERVICES RESOURCE ("services", "old", "") "," RESOURCE ("services", "new", "")
#define TENANT(name, spec) RESOURCE ("tenants", name, spec)
#define SECRET "the-key-of-a-tenant"

static sgr_config_state_t *
state_create (void)
{
  sgr_config_owners_t owners = { 0 };
  sgr_config_state_t *state = sgr_config_state_create (&owners, 4);

  sgr_config_state_source_set (state, sgr_platform_adapter.config);
  return state;
}

/* Offers a version with the services, the moved route and further entries. */
static void
version_offer (sgr_config_state_t *state, unsigned version, const char *service,
               const char *entries)
{
  sgr_config_error_t error = { SGR_OK };
  sgr_buffer_t text = { 0 };

  sgr_buffer_printf (&text,
                     "{\"version\":\"%08x\",\"resources\":[" SERVICES
                     "," ROUTE ("moved", "\"host\":\"moved.example\",\"prefix\":\"/moved/\","
                                         "\"service\":\"%s\"") "%s%s]}",
                     version, service, entries[0] != '\0' ? "," : "", entries);
  if (sgr_config_state_offer (state, text.bytes, text.length, &error) != SGR_OK)
    fail_msg ("%s: refused: %s: %s", entries, error.path, error.message);
  assert_int_equal (sgr_config_state_revision (state), version);
  sgr_buffer_release (&text);
}

static const sgr_config_content_t *
content_of (const sgr_config_state_t *state)
{
  return sgr_config_state_record (state)->content;
}

/* Returns the route of a request in the configuration in force, as the data task finds it; it is
   released with the table. */
static const sgr_route_t *
route_find (const sgr_config_state_t *state, sgr_route_table_t **table, const char *host,
            const char *path)
{
  sgr_route_entry_t *entry;
  sgr_rng_t rng;
  size_t count;
  const sgr_route_t *routes = sgr_config_state_routes (state, &count);

  sgr_rng_seed (&rng, 1);
  *table = sgr_route_table_create (routes, count, NULL, &rng);
  entry = sgr_route_table_find (*table, host, strlen (host), path, strlen (path));
  return entry != NULL ? sgr_route_entry_route (entry) : NULL;
}

/* Checks that the moved route goes to a service. */
static void
moved_check (const sgr_config_state_t *state, const char *service, const char *entries)
{
  sgr_route_table_t *table;
  const sgr_route_t *route = route_find (state, &table, "moved.example", "/moved/1");

  if (route == NULL || route->is_unusable || strcmp (route->parts[0].service, service) != 0)
    fail_msg ("%s: the moved route is not in force", entries);
  sgr_route_table_destroy (table);
}

/* Entries whose values the platform's pages allow. */
static const char *const legal[] = {
  ROUTE (LONG_NAME, "\"host\":\"odd.example\",\"prefix\":\"/odd/\",\"service\":\"old\""),
  ROUTE ("a name, \\u00e4", "\"host\":\"odd.example\",\"prefix\":\"/odd/\",\"service\":\"old\""),
  ROUTE ("moved", "\"host\":\"odd.example\",\"prefix\":\"/odd/\",\"service\":\"old\""),
  "{\"resourceType\":\"routes\",\"spec\":{\"host\":\"odd.example\",\"prefix\":\"/odd/\","
  "\"service\":\"old\"}}",
  ROUTE ("odd", "\"host\":\"Odd.EXAMPLE\",\"prefix\":\"/odd/\",\"service\":\"old\""),
  ROUTE ("odd", "\"host\":\"odd.example:8080\",\"prefix\":\"/odd/\",\"service\":\"old\""),
  ODD (",\"timeout\":\"900s\",\"targetLatency\":\"900s\""),
  ODD (",\"timeout\":\"99999999999s\""),
  ODD (",\"priority\":200"),
  ODD (",\"priority\":1e300"),
  ODD (",\"priority\":2.0"),
  ODD (",\"priority\":99999999999999999999"),
  ODD (",\"priority\":1,\"priority\":1"),
  ODD (",\"maxAttempts\":20"),
  ODD (",\"maxAttempts\":2.0"),
  ODD (",\"allowedRegions\":[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]"),
  ODD (",\"allowedRegions\":[\"" LONG_NAME "\"]"),
  ODD (",\"allowedRegions\":[]"),
  ODD (",\"note\":\"\\u0000\""),
  ODD (",\"trafficSplit\":[{\"service\":\"old\",\"weight\":90000},{\"service\":\"new\","
       "\"weight\":10000}]"),
  ODD (",\"trafficSplit\":[{\"service\":\"old\",\"weight\":0.9},{\"service\":\"new\","
       "\"weight\":0.1}]"),
  ODD (",\"trafficSplit\":[{\"service\":\"old\",\"weight\":5e9},{\"service\":\"new\","
       "\"weight\":1}]"),
  ODD (",\"trafficSplit\":[{\"service\":\"old\",\"weight\":1},{\"service\":\"new\",\"weight\":1},"
       "{\"service\":\"old\",\"weight\":1},{\"service\":\"new\",\"weight\":1},"
       "{\"service\":\"old\",\"weight\":1},{\"service\":\"new\",\"weight\":1},"
       "{\"service\":\"old\",\"weight\":1},{\"service\":\"new\",\"weight\":1},"
       "{\"service\":\"old\",\"weight\":1}]"),
  ODD ("") "," RESOURCE ("services", LONG_NAME, "\"healthPath\":\"/healthz\""),
  ODD ("") "," RESOURCE ("other-kind", "a", "\"b\":1"),
  ODD ("") "," RESOURCE ("limits", "limits", "\"maxBodyBytes\":1e12"),
  ODD ("") "," TENANT (LONG_NAME, "\"apiKeys\":[\"a\"]"),
  ODD ("") "," TENANT ("Tenant & Sons", "\"apiKeys\":[\"a\"]"),
  ODD ("") "," TENANT ("a", "\"apiKeys\":[\"a\",\"a\"]"),
  ODD ("") "," TENANT ("a", "\"apiKeys\":[\"" LABEL_A70 LABEL_A70 LABEL_A70 LABEL_A70 LABEL_A70
                                LABEL_A70 LABEL_A70 LABEL_A70 "\"]"),
  ODD ("") "," TENANT ("a", "\"priority\":101,\"ratePerS\":1e12,\"burst\":0.5"),
  ODD ("") "," TENANT ("a", "\"allowedRegions\":[]"),
  ODD ("") "," TENANT ("a", ""),
};

/* Guards against a version that nodes refuse, and so keep the one before it, because of a value
   that the pages allow. */
static void
test_legal_entries_are_carried_out (void **unused)
{
  for (size_t i = 0; i < sizeof legal / sizeof legal[0]; i++)
    {
      sgr_config_state_t *state = state_create ();
      sgr_route_table_t *table;
      const sgr_route_t *route;

      version_offer (state, 1, "old", "");
      version_offer (state, 2, "new", legal[i]);
      moved_check (state, "new", legal[i]);
      if (content_of (state)->problems.count != 0)
        fail_msg ("%s: not carried out: %s: %s", legal[i],
                  content_of (state)->problems.list[0].path,
                  content_of (state)->problems.list[0].message);
      route = route_find (state, &table, "oDD.example:80", "/odd/1");
      if (route == NULL || route->is_unusable)
        fail_msg ("%s: the route is not in force", legal[i]);
      sgr_route_table_destroy (table);
      sgr_config_state_destroy (state);
    }
}

/* Guards against a legal value that is taken over as another one. */
static void
test_legal_values_keep_their_meaning (void **unused)
{
  sgr_config_state_t *state = state_create ();
  const sgr_account_t *account;
  sgr_route_table_t *table;
  const sgr_route_t *route;
  char label[SGR_NAME_MAX + 1];

  version_offer (state, 1, "new",
                 ODD (",\"timeout\":\"900s\",\"priority\":200,\"maxAttempts\":20,"
                      "\"trafficSplit\":[{\"service\":\"old\",\"weight\":2.7e9},"
                      "{\"service\":\"new\",\"weight\":3e8}]"));
  route = route_find (state, &table, "odd.example", "/odd/");
  assert_int_equal (route->timeout_ms, 900000);
  assert_int_equal (route->priority, 200);
  assert_int_equal (route->attempts_max, 10);
  assert_in_range (route->parts[0].weight / route->parts[1].weight, 8, 9);
  sgr_route_table_destroy (table);

  version_offer (state, 2, "new",
                 RESOURCE ("services", LONG_NAME, "") "," ROUTE (
                     "odd",
                     "\"host\":\"odd.example\",\"prefix\":\"/odd/\",\"service\":\"" LONG_NAME
                     "\"") "," TENANT ("Tenant & Sons", "\"apiKeys\":[\"" SECRET "\"],"
                                                        "\"priority\":300,\"allowedRegions\":[]"));
  sgr_label_of (LONG_NAME, strlen (LONG_NAME), label);
  assert_true (sgr_label_is_valid (label));
  assert_non_null (sgr_config_state_policy (state, label));
  route = route_find (state, &table, "odd.example", "/odd/");
  assert_string_equal (route->parts[0].service, label);
  sgr_route_table_destroy (table);
  account = &sgr_config_state_accounts (state)->list[0];
  assert_string_equal (account->full_name, "Tenant & Sons");
  assert_int_equal (account->priority, 300);
  /* An empty list allows no region; no list allows each. */
  assert_true (account->regions.is_bound);
  assert_int_equal (account->regions.count, 0);
  sgr_config_state_destroy (state);
}

/* Guards against two names with the same label, and a label that changes: nodes of several versions
   pass labels to each other. */
static void
test_labels (void **unused)
{
  char label[SGR_NAME_MAX + 1], other[SGR_NAME_MAX + 1];

  sgr_label_of ("transfers1", 10, label);
  assert_string_equal (label, "transfers1");
  sgr_label_of (LABEL_A70, 63, label);
  assert_int_equal (strlen (label), 63);
  sgr_label_of (LABEL_A70, 64, label);
  sgr_label_of (LABEL_A70, 65, other);
  assert_string_not_equal (label, other);
  assert_true (sgr_label_is_valid (label));
  sgr_label_of ("a b", 3, label);
  assert_string_equal (label, "a_b-e932d71afddc92588044f8a624582c4c");
  sgr_label_of ("a\0b", 3, other);
  assert_string_not_equal (label, other);
  assert_true (sgr_label_is_valid (other));
}

/**
 * struct invalid_case_t - an entry that cannot be carried out
 * @entries: the entry, and others
 * @path: path of the first problem
 * @message: part of its message
 * @is_usable: whether the odd route is carried out; otherwise it is unusable, unless it is hidden
 * @hides_routes: a route is not known
 * @hides_keys: a key is not known
 */
typedef struct
{
  const char *entries;
  const char *path;
  const char *message;
  bool is_usable;
  bool hides_routes;
  bool hides_keys;
} invalid_case_t;

static const invalid_case_t invalid[] = {
  { ODD (",\"timeout\":1000"), "routes[1]", "timeout: found 1000", false, false, false },
  { ODD (",\"timeout\":\"fast\""), "routes[1]", "timeout: found the string", false, false, false },
  { ODD (",\"targetLatency\":null"), "routes[1]", "targetLatency", false, false, false },
  { ODD (",\"priority\":\"high\""), "routes[1]", "priority", false, false, false },
  { ODD (",\"priority\":-1"), "routes[1]", "priority", false, false, false },
  { ODD (",\"maxAttempts\":-1"), "routes[1]", "maxAttempts", false, false, false },
  { ODD (",\"public\":\"yes\""), "routes[1].public", "true or false", false, false, false },
  { ODD (",\"allowedRegions\":null"), "routes[1].regions", "null", false, false, false },
  { ODD (",\"allowedRegions\":[7]"), "routes[1].regions[0]", "7", false, false, false },
  { ODD (",\"trafficSplit\":[]"), "routes[1].services", "of 0", false, false, false },
  { ODD (",\"trafficSplit\":[{\"service\":\"old\",\"weight\":0}]"), "routes[1].services", "weights",
    false, false, false },
  { ODD (",\"trafficSplit\":[{\"service\":\"old\",\"weight\":-1}]"), "routes[1].services[0].weight",
    "-1", false, false, false },
  { ODD (",\"trafficSplit\":[{\"service\":\"old\"}]"), "routes[1].services[0].weight", "null",
    false, false, false },
  { ROUTE ("odd", "\"host\":\"odd.example\",\"prefix\":\"/odd/\""), "routes[1].services[0].service",
    "null", false, false, false },
  { ODD ("") "," ROUTE ("b", "\"prefix\":\"/x/\",\"service\":\"old\""), "routes[2].host", "null",
    true, true, false },
  { ODD ("") "," ROUTE ("b", "\"host\":\"b\",\"prefix\":\"x\",\"service\":\"old\""),
    "routes[2].prefix", "\"x\"", true, true, false },
  { ODD ("") ",{\"resourceType\":\"routes\"}", "resources[4]", "specification", true, true, false },
  { ODD ("") ",{\"resourceType\":7,\"spec\":{}}", "resources[4]", "type", true, true, true },
  { ODD ("") ",1", "resources[4]", "expected JSON", true, true, true },
  { ODD ("") ",{\"a\":1e999}", "resources[4]", "number", true, true, true },
  { ODD ("") "," ODD (",\"priority\":1"), "routes[2]", "host and prefix", true, false, false },
  { ODD ("") "," RESOURCE ("services", "old", "\"coldPerS\":1"), "services[2].name",
    "a second time", true, false, false },
  { ODD ("") "," RESOURCE ("services", "c", "\"coldPerS\":-1"), "resources[4]", "coldPerS", true,
    false, false },
  { ODD ("") "," RESOURCE ("services", "c", "\"healthPath\":\"a b\""), "resources[4]", "healthPath",
    true, false, false },
  { ODD (",\"trafficSplit\":[{\"service\":\"none\",\"weight\":1}]"), "routes[1]", "\"none\"", true,
    false, false },
  { ODD ("") "," TENANT ("a", "\"apiKeys\":\"" SECRET "\""), "resources[4]", "apiKeys", true, false,
    true },
  { ODD ("") "," TENANT ("a", "\"apiKeys\":{\"" SECRET "\":1}"), "resources[4]", "apiKeys", true,
    false, true },
  { ODD ("") "," TENANT ("a", "\"apiKeys\":[\"" SECRET "\",\"\"]"), "resources[4]", "apiKeys[1]",
    true, false, true },
  { ODD ("") "," TENANT ("a", "\"apiKeys\":[17]"), "resources[4]", "apiKeys[0]", true, false,
    true },
  { ODD ("") "," TENANT ("a", "\"ratePerS\":\"" SECRET "\""), "accounts[0]", "ratePerS", true,
    false, false },
  { ODD ("") "," TENANT ("a", "\"burst\":-1"), "accounts[0]", "burst", true, false, false },
  { ODD ("") "," TENANT ("a", "\"priority\":-1"), "accounts[0]", "priority", true, false, false },
  { ODD ("") "," TENANT ("a", "\"allowedRegions\":null"), "accounts[0].regions", "null", true,
    false, false },
  { ODD ("") "," TENANT ("a", "") "," TENANT ("a", ""), "accounts[1].name", "a second time", true,
    false, false },
  { ODD ("") "," TENANT ("a\\u0001", ""), "accounts[0].full_name", "header field", true, false,
    false },
};

/* Guards against an entry that keeps others from taking effect because it cannot be carried out,
   whose requests are then handled by another route, or that the operator does not see. */
static void
test_invalid_entries_stand_alone (void **unused)
{
  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    {
      const invalid_case_t *c = &invalid[i];
      sgr_config_state_t *state = state_create ();
      const sgr_config_content_t *content;
      sgr_route_table_t *table;
      const sgr_route_t *route;

      /* A node that starts with the version in force, and one that had another before. */
      if (i % 2 == 0)
        version_offer (state, 1, "old", ODD (",\"priority\":7"));
      version_offer (state, 2, "new", c->entries);
      moved_check (state, "new", c->entries);
      content = content_of (state);
      if (content->problems.count == 0 || strcmp (content->problems.list[0].path, c->path) != 0
          || strstr (content->problems.list[0].message, c->message) == NULL
          || strstr (content->problems.list[0].message, SECRET) != NULL)
        fail_msg ("%s: %zu problems, \"%s\": \"%s\"", c->entries, content->problems.count,
                  content->problems.list[0].path, content->problems.list[0].message);
      assert_int_equal (content->has_hidden_routes, c->hides_routes);
      if (content->has_hidden_keys != c->hides_keys)
        fail_msg ("%s: keys hidden %d", c->entries, content->has_hidden_keys);
      route = route_find (state, &table, "odd.example", "/odd/1");
      if (route == NULL || route->is_unusable == c->is_usable || route->priority == 7)
        fail_msg ("%s: the route is %s", c->entries,
                  route == NULL        ? "missing"
                  : route->is_unusable ? "unusable"
                                       : "usable");
      sgr_route_table_destroy (table);
      /* The next version holds the entry, too. */
      version_offer (state, 3, "old", c->entries);
      moved_check (state, "old", c->entries);
      /* A later one has corrected it. */
      version_offer (state, 4, "new", ODD (",\"priority\":5"));
      assert_int_equal (content_of (state)->problems.count, 0);
      assert_false (content_of (state)->has_hidden_routes || content_of (state)->has_hidden_keys);
      route = route_find (state, &table, "odd.example", "/odd/1");
      assert_true (route != NULL && !route->is_unusable && route->priority == 5);
      sgr_route_table_destroy (table);
      sgr_config_state_destroy (state);
    }
}

/* Guards against an account that cannot be carried out and whose keys open a route, or count as
   unknown; and against a key of two accounts that belongs to none. */
static void
test_keys_of_invalid_accounts (void **unused)
{
  sgr_config_state_t *state = state_create ();
  const sgr_config_accounts_t *accounts;
  sgr_account_table_t *table;
  uint32_t account;

  version_offer (
      state, 1, "new",
      TENANT ("a", "\"apiKeys\":[\"" SECRET "\"],\"ratePerS\":-1") "," TENANT (
          "b", "\"apiKeys\":[\"other\",17]") "," TENANT ("c", "\"apiKeys\":[\"other\"]"));
  accounts = sgr_config_state_accounts (state);
  table = sgr_account_table_create (accounts->list, accounts->count, accounts->keys,
                                    accounts->key_count);
  account = sgr_account_table_find (table, SECRET, strlen (SECRET));
  assert_true (sgr_account_table_get (table, account)->is_unusable);
  account = sgr_account_table_find (table, "other", 5);
  assert_string_equal (sgr_account_table_get (table, account)->name, "b");
  assert_false (sgr_account_table_get (table, account)->is_unusable);
  assert_true (content_of (state)->has_hidden_keys);
  sgr_account_table_destroy (table);
  sgr_config_state_destroy (state);
}

/* Guards against a check that is taken for unused because a version leaves nothing that it could
   check: the last tenant, the last key, the last route, the last region. A document without tenants
   asks for no keys. */
static void
test_emptied_collections (void **unused)
{
  static const struct
  {
    const char *entries;
    bool are_accounts_in_use;
  } cases[] = {
    { TENANT ("a", "\"apiKeys\":[\"" SECRET "\"]"), true },
    { TENANT ("a", "\"apiKeys\":[]"), true },
    { TENANT ("a", ""), true },
    { TENANT ("a", "\"apiKeys\":7"), true },
    { "{\"resourceType\":\"tenants\"}", true },
    { "{\"resourceType\":7}", true },
    { "", false },
  };
  static const char no_routes[] = "{\"version\":\"00000063\",\"resources\":[" SERVICES "]}";
  sgr_config_state_t *state = state_create ();
  sgr_config_error_t error = { SGR_OK };
  sgr_route_table_t *table;
  size_t count;

  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      version_offer (state, i + 1, "new", cases[i].entries);
      if (sgr_config_state_accounts (state)->is_in_use != cases[i].are_accounts_in_use)
        fail_msg ("%s: accounts in use %d", cases[i].entries, !cases[i].are_accounts_in_use);
    }
  assert_int_equal (sgr_config_state_offer (state, no_routes, strlen (no_routes), &error), SGR_OK);
  sgr_config_state_routes (state, &count);
  assert_int_equal (count, 0);
  assert_null (route_find (state, &table, "moved.example", "/moved/1"));
  sgr_route_table_destroy (table);
  sgr_config_state_destroy (state);
}

/* Guards against a document that is refused for the number of its entries, although the platform's
   store takes it: values of up to 1 MiB. */
static void
test_most_entries (void **unused)
{
  static const char *const smallest[] = {
    "{\"resourceType\":\"routes\",\"spec\":{}}",
    "{\"resourceType\":\"services\",\"spec\":{}}",
    "{\"resourceType\":\"tenants\",\"spec\":{}}",
  };

  for (size_t i = 0; i < sizeof smallest / sizeof smallest[0]; i++)
    {
      sgr_config_state_t *state = state_create ();
      sgr_buffer_t entries = { 0 };

      while (entries.length < 1048000)
        sgr_buffer_printf (&entries, "%s%s", entries.length > 0 ? "," : "", smallest[i]);
      sgr_buffer_append (&entries, "", 1);
      version_offer (state, 1, "new", (const char *)entries.bytes);
      moved_check (state, "new", smallest[i]);
      sgr_buffer_release (&entries);
      sgr_config_state_destroy (state);
    }
}

#define SEEDS 300
#define ENTRIES_MAX 12

/* Appends a text with the digits of @number in place of the words "odd" and "a", so that entries do
   not meet in their names, hosts and keys. */
static void
entry_append (sgr_buffer_t *text, const char *entry, unsigned number)
{
  static const char *const words[] = { "odd", "\"a\"", "Odd", "oDD", "\"b\"", "\"c\"" };

  while (*entry != '\0')
    {
      size_t matched = 0;

      for (size_t i = 0; i < sizeof words / sizeof words[0] && matched == 0; i++)
        if (strncmp (entry, words[i], strlen (words[i])) == 0)
          matched = strlen (words[i]);
      if (matched == 3 && entry[0] == '"')
        sgr_buffer_printf (text, "\"%c%u\"", entry[1], number);
      else if (matched == 3)
        sgr_buffer_printf (text, "odd%u", number);
      else
        sgr_buffer_append (text, entry, 1);
      entry += matched > 0 ? matched : 1;
    }
}

/* Guards against an entry that is carried out in another way, or not at all, because of others in
   the same document: in documents of entries drawn at random, each route is what it is in a
   document of its own. */
static void
test_entries_do_not_affect_each_other (void **unused)
{
  size_t legal_count = sizeof legal / sizeof legal[0];
  size_t count = legal_count + sizeof invalid / sizeof invalid[0];

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      sgr_config_state_t *state = state_create ();
      sgr_buffer_t text = { 0 };
      size_t drawn[ENTRIES_MAX];
      sgr_rng_t rng;
      unsigned entries;

      sgr_rng_seed (&rng, seed);
      entries = 1 + (unsigned)sgr_rng_below (&rng, ENTRIES_MAX);
      for (unsigned i = 0; i < entries; i++)
        {
          drawn[i] = sgr_rng_below (&rng, count);
          sgr_buffer_printf (&text, "%s", i > 0 ? "," : "");
          entry_append (&text,
                        drawn[i] < legal_count ? legal[drawn[i]]
                                               : invalid[drawn[i] - legal_count].entries,
                        i);
        }
      sgr_buffer_append (&text, "", 1);
      version_offer (state, (unsigned)seed, "new", (const char *)text.bytes);
      moved_check (state, "new", (const char *)text.bytes);
      for (unsigned i = 0; i < entries; i++)
        {
          bool is_usable = drawn[i] < legal_count || invalid[drawn[i] - legal_count].is_usable;
          sgr_route_table_t *table;
          const sgr_route_t *route;
          char host[32], path[32];

          snprintf (host, sizeof host, "odd%u.example", i);
          snprintf (path, sizeof path, "/odd%u/1", i);
          route = route_find (state, &table, host, path);
          if (route == NULL || route->is_unusable == is_usable)
            fail_msg ("seed %lu, entry %u of %s: %s", seed, i, (const char *)text.bytes,
                      route == NULL ? "missing" : "not as in a document of its own");
          sgr_route_table_destroy (table);
        }
      sgr_buffer_release (&text);
      sgr_config_state_destroy (state);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_labels),
    cmocka_unit_test (test_legal_entries_are_carried_out),
    cmocka_unit_test (test_legal_values_keep_their_meaning),
    cmocka_unit_test (test_invalid_entries_stand_alone),
    cmocka_unit_test (test_keys_of_invalid_accounts),
    cmocka_unit_test (test_emptied_collections),
    cmocka_unit_test (test_most_entries),
    cmocka_unit_test (test_entries_do_not_affect_each_other),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
