#include "config_resource.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_account.h"
#include "config_json.h"
#include "config_policy.h"
#include "config_route.h"
#include "config_routes.h"

/**
 * struct named_resource_t - a resource of a list, for sorting and look-ups by name
 * @name: value of its key "name"; belongs to @json
 * @json: the resource, a borrowed reference
 * @index: its index in the list of the document, for error paths
 */
typedef struct
{
  const char *name;
  json_t *json;
  size_t index;
} named_resource_t;

static int
compare_by_name_and_index (const void *a, const void *b)
{
  const named_resource_t *left = a, *right = b;
  int order = strcmp (left->name, right->name);

  if (order != 0)
    return order;
  return left->index < right->index ? -1 : left->index > right->index;
}

static int
compare_by_name (const void *a, const void *b)
{
  return strcmp (((const named_resource_t *)a)->name, ((const named_resource_t *)b)->name);
}

/* Returns an array of the resources sorted by name, to be released with free(). All resources need
   a valid "name". */
static named_resource_t *
sort_by_name (const json_t *list)
{
  size_t index, count = json_array_size (list);
  /* One entry more than needed, because calloc() may return NULL for an array of no entries. */
  named_resource_t *named = calloc (count + 1, sizeof *named);
  json_t *item;

  json_array_foreach ((json_t *)list, index, item)
  {
    named[index]
        = (named_resource_t){ json_string_value (json_object_get (item, "name")), item, index };
  }
  if (count > 1)
    qsort (named, count, sizeof *named, compare_by_name_and_index);
  return named;
}

static const named_resource_t *
find_by_name (const named_resource_t *named, size_t count, const char *name)
{
  named_resource_t key_resource = { .name = name };

  if (count == 0)
    return NULL;
  return bsearch (&key_resource, named, count, sizeof *named, compare_by_name);
}

static sgr_result_t
check_policy (const json_t *json, const char *path, sgr_config_error_t *error)
{
  char name[SGR_NAME_MAX + 1];
  sgr_policy_t policy;
  sgr_result_t result;

  sgr_policy_init (&policy, "");
  result = sgr_config_policy_read (json, path, "name", &policy, error);
  return result != SGR_OK ? result : sgr_config_json_name (json, path, "name", name, error);
}

static sgr_result_t
check_service (const json_t *json, const char *path, sgr_config_error_t *error)
{
  static const char *const required[] = { "name", "policy", NULL };
  static const char *const optional[] = { "overrides", NULL };
  char name[SGR_NAME_MAX + 1], key_path[SGR_CONFIG_PATH_BYTES];
  const json_t *overrides = json_object_get (json, "overrides");
  sgr_policy_t policy;

  if (sgr_config_json_object (json, path, required, optional, error) != SGR_OK
      || sgr_config_json_name (json, path, "name", name, error) != SGR_OK
      || sgr_config_json_name (json, path, "policy", name, error) != SGR_OK)
    return SGR_ERR_INVALID;
  sgr_policy_init (&policy, "");
  sgr_config_json_path (key_path, path, "overrides");
  return overrides == NULL ? SGR_OK
                           : sgr_config_policy_read (overrides, key_path, NULL, &policy, error);
}

static sgr_result_t
check_route (const json_t *json, const char *path, sgr_config_error_t *error)
{
  sgr_route_t route;
  sgr_result_t result = sgr_config_route_read (json, path, &sgr_config_rules_owners, &route, error);

  sgr_route_release (&route);
  return result;
}

static sgr_result_t
check_account (const json_t *json, const char *path, sgr_config_error_t *error)
{
  sgr_account_t account;
  sgr_result_t result
      = sgr_config_account_read (json, path, &sgr_config_rules_owners, &account, error);

  sgr_account_release (&account);
  return result;
}

static sgr_result_t
check_resource (const json_t *json, const char *path, const char *key, sgr_config_error_t *error)
{
  if (strcmp (key, "policies") == 0)
    return check_policy (json, path, error);
  if (strcmp (key, "services") == 0)
    return check_service (json, path, error);
  if (strcmp (key, "accounts") == 0)
    return check_account (json, path, error);
  return check_route (json, path, error);
}

/* Checks that @json has a list under @key that is not too long. */
static sgr_result_t
check_list (const json_t *json, const char *path, const char *key, sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, key);
  char found[80], list_path[SGR_CONFIG_PATH_BYTES];

  if (json_is_array (list) && json_array_size (list) <= SGR_CONFIG_RESOURCES_MAX)
    return SGR_OK;
  sgr_config_json_path (list_path, path, key);
  return sgr_config_error_set (error, SGR_ERR_INVALID, list_path,
                               "found %s of %zu, expected a list of at most %d",
                               sgr_config_json_describe (list, found, sizeof found),
                               json_array_size (list), SGR_CONFIG_RESOURCES_MAX);
}

/* Finds the next resource, from an index of the sorted array on, whose name occurs before. Returns
   @count if there is none. */
static size_t
repeated_name_find (const named_resource_t *named, size_t count, size_t from)
{
  for (size_t i = from > 0 ? from : 1; i < count; i++)
    if (strcmp (named[i - 1].name, named[i].name) == 0)
      return i;
  return count;
}

static sgr_result_t
repeated_name_refuse (const named_resource_t *named, const char *path, const char *key,
                      sgr_config_error_t *error)
{
  char item_path[SGR_CONFIG_PATH_BYTES], name_path[SGR_CONFIG_PATH_BYTES];

  sgr_config_json_path_at (item_path, path, key, named->index);
  sgr_config_json_path (name_path, item_path, "name");
  return sgr_config_error_set (error, SGR_ERR_INVALID, name_path,
                               "found \"%s\" a second time, expected each name once", named->name);
}

/* Checks that no name occurs twice in a list whose resources are valid. */
static sgr_result_t
check_names (const json_t *list, const char *path, const char *key, sgr_config_error_t *error)
{
  size_t count = json_array_size (list);
  named_resource_t *named = sort_by_name (list);
  size_t repeated = repeated_name_find (named, count, 0);
  sgr_result_t result
      = repeated < count ? repeated_name_refuse (&named[repeated], path, key, error) : SGR_OK;

  free (named);
  return result;
}

sgr_result_t
sgr_config_resource_check (const json_t *json, const char *path, const char *key,
                           sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, key);
  char item_path[SGR_CONFIG_PATH_BYTES];
  sgr_result_t result = check_list (json, path, key, error);
  size_t index;
  json_t *item;

  if (result != SGR_OK)
    return result;
  json_array_foreach ((json_t *)list, index, item)
  {
    sgr_config_json_path_at (item_path, path, key, index);
    result = check_resource (item, item_path, key, error);
    if (result != SGR_OK)
      return result;
  }
  return check_names (list, path, key, error);
}

/* Computes the effective policy of a service: defaults, then the policy that the service names,
   then the service's overrides. */
static sgr_result_t
build_service (sgr_policy_t *service, const named_resource_t *resource,
               const named_resource_t *policies, size_t policy_count, const char *path,
               sgr_config_error_t *error)
{
  const char *policy_name = json_string_value (json_object_get (resource->json, "policy"));
  const named_resource_t *policy = find_by_name (policies, policy_count, policy_name);
  const json_t *overrides = json_object_get (resource->json, "overrides");
  char key_path[SGR_CONFIG_PATH_BYTES], item_path[SGR_CONFIG_PATH_BYTES];

  if (policy == NULL)
    {
      sgr_config_json_path_at (item_path, path, "services", resource->index);
      sgr_config_json_path (key_path, item_path, "policy");
      return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                   "service \"%s\": found \"%s\", expected the name of a policy "
                                   "in \"policies\"",
                                   resource->name, policy_name);
    }
  sgr_policy_init (service, resource->name);
  /* Both objects passed sgr_config_resource_check(), so reading them cannot fail. */
  sgr_config_policy_read (policy->json, "", "name", service, NULL);
  if (overrides != NULL)
    sgr_config_policy_read (overrides, "", NULL, service, NULL);
  return SGR_OK;
}

static sgr_result_t
build_services (sgr_config_content_t *content, const char *path, sgr_config_error_t *error)
{
  const json_t *policy_list = json_object_get (content->json, "policies");
  const json_t *service_list = json_object_get (content->json, "services");
  named_resource_t *policies = sort_by_name (policy_list);
  named_resource_t *services = sort_by_name (service_list);
  size_t count = json_array_size (service_list);
  sgr_result_t result = SGR_OK;

  content->services = calloc (count + 1, sizeof *content->services);
  for (size_t i = 0; i < count && result == SGR_OK; i++)
    result = build_service (&content->services[i], &services[i], policies,
                            json_array_size (policy_list), path, error);
  content->service_count = count;
  free (policies);
  free (services);
  return result;
}

/* Removes the resources of a list that are invalid, and those whose name occurs before. */
static void
list_reduce (json_t *json, const char *key,
             sgr_result_t (*check) (const json_t *item, const char *path,
                                    sgr_config_error_t *error),
             sgr_config_problems_t *problems)
{
  json_t *list = json_object_get (json, key);
  json_t *kept = json_array ();
  named_resource_t *named;
  size_t index;
  json_t *item;

  json_array_foreach (list, index, item)
  {
    sgr_config_error_t problem = { SGR_OK };
    char path[SGR_CONFIG_PATH_BYTES];

    sgr_config_json_path_at (path, "", key, index);
    if (check (item, path, &problem) == SGR_OK)
      json_array_append (kept, item);
    else
      sgr_config_problem_add (problems, &problem);
  }
  named = sort_by_name (kept);
  list = json_array ();
  json_array_extend (list, kept);
  for (size_t i = repeated_name_find (named, json_array_size (kept), 0); i < json_array_size (kept);
       i = repeated_name_find (named, json_array_size (kept), i + 1))
    {
      sgr_config_error_t problem = { SGR_OK };

      repeated_name_refuse (&named[i], "", key, &problem);
      sgr_config_problem_add (problems, &problem);
      json_array_set_new (list, named[i].index, json_null ());
    }
  free (named);
  for (index = json_array_size (list); index-- > 0;)
    if (json_is_null (json_array_get (list, index)))
      json_array_remove (list, index);
  json_decref (kept);
  json_object_set_new (json, key, list);
}

/* Records what the source could not translate at all, see sgr_config_source_t. */
static void
untranslated_record (sgr_config_content_t *content, const json_t *json)
{
  const json_t *list = json_object_get (json, "untranslated");
  size_t index;
  json_t *item;

  json_array_foreach ((json_t *)list, index, item)
  {
    const char *reason = json_string_value (json_object_get (item, "reason"));
    const char *path = json_string_value (json_object_get (item, "path"));
    sgr_config_error_t problem = { SGR_OK };

    sgr_config_error_set (&problem, SGR_ERR_INVALID, path != NULL ? path : "", "%s",
                          reason != NULL ? reason : "not valid");
    sgr_config_problem_add (&content->problems, &problem);
    if (json_is_true (json_object_get (item, "hides_routes")))
      content->has_hidden_routes = true;
    if (json_is_true (json_object_get (item, "hides_keys")))
      content->has_hidden_keys = true;
  }
}

/* Makes the accounts unusable whose name occurs before. */
static void
repeated_accounts_disable (sgr_config_content_t *content)
{
  const json_t *list = json_object_get (content->json, "accounts");
  size_t count = json_array_size (list);
  named_resource_t *named = sort_by_name (list);

  for (size_t i = repeated_name_find (named, count, 0); i < count;
       i = repeated_name_find (named, count, i + 1))
    {
      sgr_config_error_t problem = { SGR_OK };

      repeated_name_refuse (&named[i], "", "accounts", &problem);
      sgr_config_problem_add (&content->problems, &problem);
      content->accounts.list[named[i].index].is_unusable = true;
    }
  free (named);
}

static bool
list_is_valid (const json_t *json, const char *path, const char *key, bool is_required,
               sgr_config_error_t *error)
{
  return (!is_required && json_object_get (json, key) == NULL)
         || check_list (json, path, key, error) == SGR_OK;
}

/* Checks what invalidates a configuration under any rules, and its policies and services. */
static sgr_result_t
check_lists (const json_t *json, const char *path, const sgr_config_rules_t *rules,
             sgr_config_error_t *error)
{
  static const char *const required[] = { "policies", "services", NULL };
  static const char *const optional[] = { "routes", "accounts", NULL };
  static const char *const optional_of_source[] = { "routes", "accounts", "untranslated", NULL };

  if (sgr_config_json_object (json, path, required,
                              rules->is_partial ? optional_of_source : optional, error)
          != SGR_OK
      || sgr_config_resource_check (json, path, "policies", error) != SGR_OK
      || !list_is_valid (json, path, "services", true, error)
      || !list_is_valid (json, path, "routes", false, error)
      || !list_is_valid (json, path, "accounts", false, error))
    return SGR_ERR_INVALID;
  return rules->is_partial ? SGR_OK : sgr_config_resource_check (json, path, "services", error);
}

/* Builds a content that keeps a reference to @json. */
static sgr_result_t
content_build (const sgr_config_content_t *previous, json_t *json, const char *path,
               const sgr_config_rules_t *rules, sgr_config_content_t **content,
               sgr_config_error_t *error)
{
  sgr_config_content_t *built;
  sgr_result_t result;

  *content = NULL;
  if (check_lists (json, path, rules, error) != SGR_OK)
    return SGR_ERR_INVALID;
  built = calloc (1, sizeof *built);
  if (built == NULL)
    return SGR_ERR_NO_MEMORY;
  built->json = json_incref (json);
  if (rules->is_partial)
    {
      untranslated_record (built, json);
      list_reduce (json, "services", check_service, &built->problems);
    }
  result = build_services (built, path, error);
  if (result == SGR_OK)
    result = sgr_config_routes_build (built, previous, path, rules, error);
  if (result == SGR_OK && !rules->is_partial)
    result = check_names (json_object_get (json, "routes"), path, "routes", error);
  if (result == SGR_OK)
    result = sgr_config_routes_check_prefixes (built, path, rules, error);
  if (result == SGR_OK)
    result
        = sgr_config_accounts_build (&built->accounts, json, path, rules, &built->problems, error);
  /* A key that cannot be read belongs to an account. */
  built->accounts.is_in_use = built->accounts.is_in_use || built->has_hidden_keys;
  if (result == SGR_OK && rules->is_partial)
    repeated_accounts_disable (built);
  else if (result == SGR_OK)
    result = check_names (json_object_get (json, "accounts"), path, "accounts", error);
  if (result == SGR_OK)
    *content = built;
  else
    sgr_config_content_destroy (built);
  return result;
}

sgr_result_t
sgr_config_content_parse (const json_t *json, const char *path, sgr_config_content_t **content,
                          sgr_config_error_t *error)
{
  json_t *copy = json_deep_copy (json);
  sgr_result_t result = content_build (NULL, copy, path, &sgr_config_rules_owners, content, error);

  json_decref (copy);
  if (result == SGR_OK)
    sgr_config_json_digest ((*content)->json, &(*content)->digest);
  return result;
}

sgr_result_t
sgr_config_content_update (const sgr_config_content_t *previous, json_t *json,
                           sgr_config_content_t **content, sgr_config_error_t *error)
{
  return content_build (previous, json, "", &sgr_config_rules_source, content, error);
}

static json_t *
normalize_route (const json_t *json)
{
  json_t *regions = json_object_get (json, "regions"), *normal;
  sgr_route_t route;

  sgr_config_route_read (json, "", &sgr_config_rules_owners, &route, NULL);
  normal = sgr_config_route_write (&route);
  sgr_route_release (&route);
  /* A route holds only the hashes of its regions. Earlier versions of the program refuse this key,
     so that it is only written where needed. */
  if (regions != NULL)
    json_object_set (normal, "regions", regions);
  return normal;
}

static json_t *
normalize_policies_or_services (const json_t *list, bool is_policy_list)
{
  size_t count = json_array_size (list);
  named_resource_t *named = sort_by_name (list);
  json_t *out = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      json_t *item;

      if (is_policy_list)
        {
          sgr_policy_t policy;

          sgr_policy_init (&policy, named[i].name);
          sgr_config_policy_read (named[i].json, "", "name", &policy, NULL);
          item = sgr_config_policy_write (&policy);
          json_object_set_new (item, "name", json_string (named[i].name));
        }
      else
        {
          item = json_deep_copy (named[i].json);
          if (json_object_size (json_object_get (item, "overrides")) == 0)
            json_object_del (item, "overrides");
        }
      json_array_append_new (out, item);
    }
  free (named);
  return out;
}

/* Converts each resource of a list with @normalize. */
static json_t *
normalize_list (const json_t *list, json_t *(*normalize) (const json_t *json))
{
  size_t count = json_array_size (list);
  named_resource_t *named = sort_by_name (list);
  json_t *out = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (out, normalize (named[i].json));
  free (named);
  return out;
}

json_t *
sgr_config_content_normalize (const json_t *json)
{
  json_t *out = json_object ();

  json_object_set_new (out, "policies",
                       normalize_policies_or_services (json_object_get (json, "policies"), true));
  json_object_set_new (out, "services",
                       normalize_policies_or_services (json_object_get (json, "services"), false));
  if (json_object_get (json, "routes") != NULL)
    json_object_set_new (out, "routes",
                         normalize_list (json_object_get (json, "routes"), normalize_route));
  if (json_object_get (json, "accounts") != NULL)
    json_object_set_new (
        out, "accounts",
        normalize_list (json_object_get (json, "accounts"), sgr_config_account_normalize));
  return out;
}

static bool
list_is_sorted (const json_t *list)
{
  for (size_t i = 1; i < json_array_size (list); i++)
    if (strcmp (json_string_value (json_object_get (json_array_get (list, i - 1), "name")),
                json_string_value (json_object_get (json_array_get (list, i), "name")))
        > 0)
      return false;
  return true;
}

bool
sgr_config_content_is_sorted (const sgr_config_content_t *content)
{
  return list_is_sorted (json_object_get (content->json, "policies"))
         && list_is_sorted (json_object_get (content->json, "services"))
         && list_is_sorted (json_object_get (content->json, "routes"))
         && list_is_sorted (json_object_get (content->json, "accounts"));
}

const sgr_policy_t *
sgr_config_content_policy (const sgr_config_content_t *content, const char *service)
{
  size_t low = 0, high = content->service_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int order = strcmp (service, content->services[middle].service);

      if (order == 0)
        return &content->services[middle];
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}

void
sgr_config_content_destroy (sgr_config_content_t *content)
{
  if (content == NULL)
    return;
  json_decref (content->json);
  free (content->services);
  sgr_routes_free (content->routes, content->route_count);
  free (content->route_items);
  sgr_config_accounts_release (&content->accounts);
  free (content);
}
