#include "config_routes.h"

#include <stdlib.h>
#include <string.h>

#include "config_json.h"
#include "config_route.h"
#include "id_map.h"

/* Finds the service of a route that is not in the content. */
static sgr_result_t
check_services (const sgr_config_content_t *content, size_t index, const char *path,
                sgr_config_error_t *error)
{
  const sgr_route_t *route = &content->routes[index];

  for (size_t i = 0; i < route->part_count; i++)
    if (sgr_config_content_policy (content, route->parts[i].service) == NULL)
      return sgr_config_error_set (error, SGR_ERR_INVALID, path,
                                   "route \"%s\": found service \"%s\", expected the name of a "
                                   "service in \"services\"",
                                   route->name, route->parts[i].service);
  return SGR_OK;
}

static int
compare_by_host_and_prefix (const void *a, const void *b)
{
  const sgr_route_t *left = *(const sgr_route_t *const *)a;
  const sgr_route_t *right = *(const sgr_route_t *const *)b;
  int order = strcmp (left->host, right->host);

  if (order == 0)
    order = strcmp (left->prefix, right->prefix);
  /* Routes with the same host and prefix stay in document order. */
  return order != 0 ? order : (left > right) - (left < right);
}

sgr_result_t
sgr_config_routes_check_prefixes (sgr_config_content_t *content, const char *path,
                                  const sgr_config_rules_t *rules, sgr_config_error_t *error)
{
  const sgr_route_t **sorted = calloc (content->route_count + 1, sizeof (sgr_route_t *));
  char item_path[SGR_CONFIG_PATH_BYTES];
  sgr_result_t result = SGR_OK;

  sgr_invariant (sorted != NULL);
  for (size_t i = 0; i < content->route_count; i++)
    sorted[i] = &content->routes[i];
  if (content->route_count > 1)
    qsort (sorted, content->route_count, sizeof *sorted, compare_by_host_and_prefix);
  for (size_t i = 1; i < content->route_count && result == SGR_OK; i++)
    {
      sgr_config_error_t problem = { SGR_OK };

      if (strcmp (sorted[i - 1]->host, sorted[i]->host) != 0
          || strcmp (sorted[i - 1]->prefix, sorted[i]->prefix) != 0)
        continue;
      sgr_config_json_path_at (item_path, path, "routes", (size_t)(sorted[i] - content->routes));
      sgr_config_error_set (&problem, SGR_ERR_INVALID, item_path,
                            "route \"%s\": found the host and prefix of route \"%s\"",
                            sorted[i]->name, sorted[i - 1]->name);
      if (rules->is_partial)
        sgr_config_problem_add (&content->problems, &problem);
      else
        result = SGR_ERR_INVALID;
      if (result != SGR_OK && error != NULL)
        *error = problem;
    }
  free (sorted);
  return result;
}

/* Routes of a content by the address of their JSON value, so that an unchanged one is found. */
static sgr_id_map_t *
route_map_create (const sgr_config_content_t *content)
{
  sgr_id_map_t *map = sgr_id_map_create ();

  for (size_t i = 0; content != NULL && i < content->route_count; i++)
    if (!content->routes[i].is_unusable)
      sgr_id_map_put (map, (uintptr_t)content->route_items[i], &content->routes[i]);
  return map;
}

/* Reads a route, and checks its services. An invalid one is added as an unusable one, or not at all
   if it is not known which requests it matches. */
static void
route_add (sgr_config_content_t *content, const sgr_route_t *known, json_t *item, const char *path,
           const sgr_config_rules_t *rules, sgr_config_error_t *problem)
{
  sgr_route_t *route = &content->routes[content->route_count];

  if (known != NULL)
    sgr_route_copy (route, known);
  else if (sgr_config_route_read (item, path, rules, route, problem) != SGR_OK
           && !sgr_config_route_read_unusable (item, rules, route))
    {
      content->has_hidden_routes = true;
      return;
    }
  content->route_items[content->route_count] = item;
  if (!route->is_unusable)
    check_services (content, content->route_count, path, problem);
  content->route_count++;
}

sgr_result_t
sgr_config_routes_build (sgr_config_content_t *content, const sgr_config_content_t *previous,
                         const char *path, const sgr_config_rules_t *rules,
                         sgr_config_error_t *error)
{
  const json_t *list = json_object_get (content->json, "routes");
  size_t count = json_array_size (list);
  sgr_id_map_t *known = route_map_create (previous);
  sgr_result_t result = SGR_OK;

  content->routes = calloc (count + 1, sizeof *content->routes);
  content->route_items = calloc (count + 1, sizeof *content->route_items);
  sgr_invariant (content->routes != NULL && content->route_items != NULL);
  for (size_t i = 0; i < count && result == SGR_OK; i++)
    {
      json_t *item = json_array_get (list, i);
      sgr_config_error_t problem = { SGR_OK };
      char item_path[SGR_CONFIG_PATH_BYTES];

      sgr_config_json_path_at (item_path, path, "routes", i);
      route_add (content, sgr_id_map_get (known, (uintptr_t)item), item, item_path, rules,
                 &problem);
      if (problem.result == SGR_OK)
        continue;
      if (rules->is_partial)
        sgr_config_problem_add (&content->problems, &problem);
      else
        result = SGR_ERR_INVALID;
      if (result != SGR_OK && error != NULL)
        *error = problem;
    }
  sgr_id_map_destroy (known);
  return result;
}
