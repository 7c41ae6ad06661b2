#include "route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "id_map.h"
#include "result.h"

/* Sum of weights up to which the start of a split is exact. */
#define START_SUM_MAX 65536
/* Most steps to the start of a split, times its parts. */
#define START_WORK_MAX 1000000

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
  int64_t *current_weight;
};

struct sgr_route_table_t
{
  sgr_route_entry_t *entries;
  size_t count;
};

void
sgr_route_copy (sgr_route_t *copy, const sgr_route_t *route)
{
  size_t host_bytes = strlen (route->host) + 1;
  size_t prefix_bytes = strlen (route->prefix) + 1;
  size_t ids_bytes = route->regions.count * sizeof *route->regions.ids;
  size_t parts_bytes = route->part_count * sizeof *route->parts;
  /* What needs the largest alignment comes first. */
  char *memory = malloc (ids_bytes + parts_bytes + host_bytes + prefix_bytes);

  sgr_invariant (memory != NULL);
  *copy = *route;
  copy->memory = memory;
  copy->regions.ids = (sgr_region_id_t *)(void *)memory;
  copy->parts = (sgr_route_part_t *)(void *)(memory + ids_bytes);
  copy->host = memory + ids_bytes + parts_bytes;
  copy->prefix = copy->host + host_bytes;
  if (ids_bytes > 0)
    memcpy (memory, route->regions.ids, ids_bytes);
  if (parts_bytes > 0)
    memcpy (memory + ids_bytes, route->parts, parts_bytes);
  memcpy (memory + ids_bytes + parts_bytes, route->host, host_bytes);
  memcpy (memory + ids_bytes + parts_bytes + host_bytes, route->prefix, prefix_bytes);
}

void
sgr_route_release (sgr_route_t *route)
{
  free (route->memory);
  route->memory = NULL;
}

sgr_route_t *
sgr_routes_copy (const sgr_route_t *routes, size_t count)
{
  sgr_route_t *copies = calloc (count + 1, sizeof *copies);

  sgr_invariant (copies != NULL);
  for (size_t i = 0; i < count; i++)
    sgr_route_copy (&copies[i], &routes[i]);
  return copies;
}

void
sgr_routes_free (sgr_route_t *routes, size_t count)
{
  for (size_t i = 0; routes != NULL && i < count; i++)
    sgr_route_release (&routes[i]);
  free (routes);
}

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
  for (size_t i = 0; i < a->part_count; i++)
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

/* Chooses the part that is furthest behind its share of the calls, and updates how far each is. */
static size_t
split_next (int64_t *behind, const sgr_route_part_t *parts, size_t count, uint64_t weight_sum)
{
  size_t best = 0;

  for (size_t i = 0; i < count; i++)
    {
      behind[i] += parts[i].weight;
      if (behind[i] > behind[best])
        best = i;
    }
  behind[best] -= (int64_t)weight_sum;
  return best;
}

/* Starts the split at a random position. Weights with a high sum are scaled for this, which costs
   less than to go through the calls up to the position. */
static void
split_start (sgr_route_entry_t *entry, sgr_rng_t *rng)
{
  size_t count = entry->route.part_count;
  sgr_route_part_t *scaled = calloc (count + 1, sizeof *scaled);
  uint64_t scaled_sum = 0, steps;

  sgr_invariant (scaled != NULL && count > 0);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = entry->route.parts[i].weight;

      if (entry->weight_sum > START_SUM_MAX && weight > 0)
        weight = weight * START_SUM_MAX / entry->weight_sum + 1;
      scaled[i].weight = (uint32_t)weight;
      scaled_sum += weight;
    }
  sgr_invariant (scaled_sum > 0);
  steps = sgr_rng_below (rng, scaled_sum);
  if (steps > START_WORK_MAX / count)
    steps %= START_WORK_MAX / count + 1;
  for (; steps > 0; steps--)
    split_next (entry->current_weight, scaled, count, scaled_sum);
  for (size_t i = 0; i < count && scaled_sum != entry->weight_sum; i++)
    entry->current_weight[i]
        = entry->current_weight[i] * (int64_t)entry->weight_sum / (int64_t)scaled_sum;
  free (scaled);
}

static void
entry_init (sgr_route_entry_t *entry, const sgr_route_t *route, const sgr_route_entry_t *previous,
            sgr_rng_t *rng)
{
  size_t bytes = route->part_count * sizeof *entry->current_weight;

  *entry = (sgr_route_entry_t){ .prefix_length = strlen (route->prefix) };
  sgr_route_copy (&entry->route, route);
  entry->current_weight = calloc (1, bytes + 1);
  sgr_invariant (entry->current_weight != NULL);
  if (route->is_unusable)
    return;
  for (size_t i = 0; i < route->part_count; i++)
    entry->weight_sum += route->parts[i].weight;
  sgr_invariant (entry->weight_sum > 0);
  if (previous != NULL && has_same_parts (&previous->route, route))
    memcpy (entry->current_weight, previous->current_weight, bytes);
  else
    split_start (entry, rng);
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
  for (size_t i = 0; i < table->count; i++)
    {
      sgr_route_release (&table->entries[i].route);
      free (table->entries[i].current_weight);
    }
  free (table->entries);
  free (table);
}

/* Compares the host name of a route with that of a request, which may have upper-case letters. */
static int
host_compare (const char *route_host, const char *host, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      char c = host[i] >= 'A' && host[i] <= 'Z' ? (char)(host[i] + 'a' - 'A') : host[i];

      /* The zero that ends @route_host differs from each character but a zero. */
      if (c != route_host[i] || c == '\0')
        return (unsigned char)route_host[i] < (unsigned char)c ? -1 : 1;
    }
  return route_host[length] == '\0' ? 0 : 1;
}

/* Length of a host name without its port. The colons in an IPv6 address are within brackets. */
static size_t
host_length_without_port (const char *host, size_t length)
{
  const char *bracket = memchr (host, ']', length);
  size_t start = bracket != NULL ? (size_t)(bracket - host) : 0;
  const char *port = memchr (host + start, ':', length - start);

  return port != NULL ? (size_t)(port - host) : length;
}

sgr_route_entry_t *
sgr_route_table_find (sgr_route_table_t *table, const char *host, size_t host_length,
                      const char *path, size_t path_length)
{
  const char *query = memchr (path, '?', path_length);
  size_t low = 0, high = table->count;

  if (query != NULL)
    path_length = (size_t)(query - path);
  host_length = host_length_without_port (host, host_length);
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
  for (size_t i = 0; i < route->part_count; i++)
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
  const sgr_route_t *route = &entry->route;

  return &route->parts[split_next (entry->current_weight, route->parts, route->part_count,
                                   entry->weight_sum)];
}
