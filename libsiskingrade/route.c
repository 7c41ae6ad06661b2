#include "route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "id_map.h"
#include "result.h"

/**
 * struct sgr_route_entry_t - a route and the state of its split
 * @route: the route
 * @prefix_length: bytes of its prefix
 * @weight_sum: sum of the weights of all parts
 * @current_weight: for each part, how far it is behind its share of the calls, in calls times
 *   @weight_sum; negative if ahead
 */
struct sgr_route_entry_t
{
  sgr_route_t route;
  size_t prefix_length;
  uint64_t weight_sum;
  int64_t current_weight[SGR_ROUTE_PARTS_MAX];
};

struct sgr_route_table_t
{
  sgr_route_entry_t *entries;
  size_t count;
};

/* Sort order of a table: by host, and the longest prefix first among the routes of a host. */
static int
entry_compare (const void *a, const void *b)
{
  const sgr_route_entry_t *left = a, *right = b;
  int order = strcmp (left->route.host, right->route.host);

  if (order != 0)
    return order;
  if (left->prefix_length != right->prefix_length)
    return left->prefix_length > right->prefix_length ? -1 : 1;
  return strcmp (left->route.prefix, right->route.prefix);
}

static bool
has_same_parts (const sgr_route_t *a, const sgr_route_t *b)
{
  if (a->part_count != b->part_count)
    return false;
  for (uint32_t i = 0; i < a->part_count; i++)
    {
      if (a->parts[i].weight != b->parts[i].weight
          || strcmp (a->parts[i].service, b->parts[i].service) != 0)
        return false;
    }
  return true;
}

static uint64_t
name_hash (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

/* Entries of a table, NULL for none, by the hash of their name. */
static sgr_id_map_t *
name_map_create (const sgr_route_table_t *table)
{
  sgr_id_map_t *map = sgr_id_map_create ();

  for (size_t i = 0; table != NULL && i < table->count; i++)
    sgr_id_map_put (map, name_hash (table->entries[i].route.name), &table->entries[i]);
  return map;
}

static const sgr_route_entry_t *
entry_by_name (const sgr_id_map_t *map, const char *name)
{
  const sgr_route_entry_t *entry = sgr_id_map_get (map, name_hash (name));

  return entry != NULL && strcmp (entry->route.name, name) == 0 ? entry : NULL;
}

static void
entry_init (sgr_route_entry_t *entry, const sgr_route_t *route, const sgr_route_entry_t *previous,
            sgr_rng_t *rng)
{
  *entry = (sgr_route_entry_t){ .route = *route, .prefix_length = strlen (route->prefix) };
  for (uint32_t i = 0; i < route->part_count; i++)
    entry->weight_sum += route->parts[i].weight;
  sgr_invariant (entry->weight_sum > 0);
  if (previous != NULL && has_same_parts (&previous->route, route))
    {
      memcpy (entry->current_weight, previous->current_weight, sizeof entry->current_weight);
      return;
    }
  /* Starts the split at a random position. */
  for (uint64_t skips_left = sgr_rng_below (rng, entry->weight_sum); skips_left > 0; skips_left--)
    sgr_route_entry_part_next (entry);
}

sgr_route_table_t *
sgr_route_table_create (const sgr_route_t *routes, size_t count, const sgr_route_table_t *previous,
                        sgr_rng_t *rng)
{
  sgr_route_table_t *table = calloc (1, sizeof *table);
  sgr_id_map_t *previous_by_name = name_map_create (previous);

  sgr_invariant (table != NULL);
  table->entries = calloc (count + 1, sizeof *table->entries);
  sgr_invariant (table->entries != NULL);
  for (size_t i = 0; i < count; i++)
    entry_init (&table->entries[i], &routes[i], entry_by_name (previous_by_name, routes[i].name),
                rng);
  sgr_id_map_destroy (previous_by_name);
  table->count = count;
  qsort (table->entries, count, sizeof *table->entries, entry_compare);
  return table;
}

void
sgr_route_table_destroy (sgr_route_table_t *table)
{
  if (table == NULL)
    return;
  free (table->entries);
  free (table);
}

size_t
sgr_route_table_count (const sgr_route_table_t *table)
{
  return table->count;
}

/* Compares the host name of a route with that of a request, which may have upper-case letters and a
   port. */
static int
host_compare (const char *route_host, const char *host, size_t length)
{
  const char *port = memchr (host, ':', length);
  char request_host[SGR_ROUTE_HOST_MAX + 1];

  if (port != NULL)
    length = (size_t)(port - host);
  if (length > SGR_ROUTE_HOST_MAX)
    return 1;
  for (size_t i = 0; i < length; i++)
    request_host[i] = host[i] >= 'A' && host[i] <= 'Z' ? (char)(host[i] + 'a' - 'A') : host[i];
  request_host[length] = '\0';
  return strcmp (route_host, request_host);
}

sgr_route_entry_t *
sgr_route_table_find (sgr_route_table_t *table, const char *host, size_t host_length,
                      const char *path, size_t path_length)
{
  const char *query = memchr (path, '?', path_length);
  size_t low = 0, high = table->count;

  if (query != NULL)
    path_length = (size_t)(query - path);
  /* Binary search for the first route of the host. */
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (host_compare (table->entries[middle].route.host, host, host_length) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  for (; low < table->count; low++)
    {
      sgr_route_entry_t *entry = &table->entries[low];

      if (host_compare (entry->route.host, host, host_length) != 0)
        return NULL;
      if (path_length >= entry->prefix_length
          && memcmp (path, entry->route.prefix, entry->prefix_length) == 0)
        return entry;
    }
  return NULL;
}

static bool
has_service (const sgr_route_t *route, const char *service)
{
  for (uint32_t i = 0; i < route->part_count; i++)
    if (strcmp (route->parts[i].service, service) == 0)
      return true;
  return false;
}

void
sgr_route_table_regions_narrow (const sgr_route_table_t *table, const char *service,
                                sgr_region_limit_t *limit, const sgr_region_table_t *regions)
{
  sgr_region_limit_t narrowed = *limit;

  for (size_t i = 0; i < table->count; i++)
    if (has_service (&table->entries[i].route, service))
      sgr_region_limit_narrow (&narrowed, regions, &table->entries[i].route.regions);
  if (narrowed.mask != 0)
    *limit = narrowed;
}

const sgr_route_t *
sgr_route_entry_route (const sgr_route_entry_t *entry)
{
  return &entry->route;
}

const sgr_route_part_t *
sgr_route_entry_part_next (sgr_route_entry_t *entry)
{
  uint32_t best = 0;

  for (uint32_t i = 0; i < entry->route.part_count; i++)
    {
      entry->current_weight[i] += entry->route.parts[i].weight;
      if (entry->current_weight[i] > entry->current_weight[best])
        best = i;
    }
  entry->current_weight[best] -= (int64_t)entry->weight_sum;
  return &entry->route.parts[best];
}
