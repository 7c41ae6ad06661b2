#ifndef SGR_ROUTE_H
#define SGR_ROUTE_H

#include "policy.h"
#include "region.h"
#include "rng.h"

/**
 * struct sgr_route_part_t - a service that gets a part of a route's calls
 * @service: name of the service
 * @weight: its share of the calls, relative to the weights of the route's other parts
 */
typedef struct
{
  char service[SGR_NAME_MAX + 1];
  uint32_t weight;
} sgr_route_part_t;

/**
 * struct sgr_route_t - how calls with one host name and path prefix are served; part of the
 * configuration that the co-owners agreed on
 * @name: name of the route
 * @is_unusable: the route cannot be carried out; its calls are refused
 * @host: host name in the callers' requests, lower case, without a port
 * @prefix: start of the path, with a slash at both ends
 * @idempotency: which requests may run more than once
 * @timeout_ms: longest time until the final answer, milliseconds; replaces a later deadline of the
 *   caller and the default deadline of the service; 0 for none
 * @target_latency_ms: time within which an answer is on time, milliseconds, 0 for none
 * @priority: rank under overload, 0 is served first
 * @attempts_max: most attempts of one call that gates accept, 0 for the limit in the service's
 *   policy
 * @is_public: calls need no key of an account
 * @regions: where the calls may be run
 * @parts: services that the calls are split among
 * @part_count: entries of @parts, at least 1 unless @is_unusable
 * @memory: holds @host, @prefix, the regions and @parts of a copy, see sgr_route_copy()
 */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  bool is_unusable;
  const char *host;
  const char *prefix;
  sgr_policy_idempotency_t idempotency;
  uint32_t timeout_ms;
  uint32_t target_latency_ms;
  uint32_t priority;
  uint32_t attempts_max;
  bool is_public;
  sgr_region_list_t regions;
  const sgr_route_part_t *parts;
  size_t part_count;
  void *memory;
} sgr_route_t;

/**
 * sgr_route_copy() - copy a route with what it refers to
 * @copy: receives the copy, to be released with sgr_route_release()
 * @route: the route
 */
void sgr_route_copy (sgr_route_t *copy, const sgr_route_t *route);

/** sgr_route_release() - free what a copy refers to */
void sgr_route_release (sgr_route_t *route);

/** sgr_routes_copy() - array of copies of routes, to be freed with sgr_routes_free() */
sgr_route_t *sgr_routes_copy (const sgr_route_t *routes, size_t count);

/** sgr_routes_free() - release the copies in an array and free it */
void sgr_routes_free (sgr_route_t *routes, size_t count);

/** The routes of one configuration and the state of their splits among services. */
typedef struct sgr_route_table_t sgr_route_table_t;

/** A route in a table, with the state of its split. */
typedef struct sgr_route_entry_t sgr_route_entry_t;

/**
 * sgr_route_table_create() - create a table of routes
 * @routes: the routes; copied; of two routes with the same host and prefix the first counts
 * @count: entries of @routes
 * @previous: the table that is replaced, NULL for none; a route with the same name and parts
 *   continues its split
 * @rng: chooses where the split of any other route begins, so that nodes do not all send their
 *   first calls to the same service
 *
 * Return: the table; the process aborts if memory runs out or all weights of a route are 0.
 */
sgr_route_table_t *sgr_route_table_create (const sgr_route_t *routes, size_t count,
                                           const sgr_route_table_t *previous, sgr_rng_t *rng);
void sgr_route_table_destroy (sgr_route_table_t *table);

/**
 * sgr_route_table_find() - find the route of a request
 * @table: the table
 * @host: host name of the request, in upper or lower case, with or without a port
 * @host_length: bytes of @host
 * @path: path of the request, with or without a query
 * @path_length: bytes of @path
 *
 * Return: among the routes of that host whose prefix the path starts with, the one with the longest
 * prefix, valid as long as the table; NULL if there is none. It may be one that is unusable.
 */
sgr_route_entry_t *sgr_route_table_find (sgr_route_table_t *table, const char *host,
                                         size_t host_length, const char *path, size_t path_length);

/**
 * sgr_route_table_regions_narrow() - limit calls to regions that all routes of a service allow
 * @table: the table
 * @service: the service
 * @limit: the limit; unchanged if no region is left in it that all of these routes allow
 * @regions: the regions of the members
 */
void sgr_route_table_regions_narrow (const sgr_route_table_t *table, const char *service,
                                     sgr_region_limit_t *limit, const sgr_region_table_t *regions);

const sgr_route_t *sgr_route_entry_route (const sgr_route_entry_t *entry);

/**
 * sgr_route_entry_part_next() - choose the service for the next call, by smooth weighted round
 * robin
 * @entry: the route, which is usable
 *
 * Each call goes to the part that is furthest behind its share. Since the split began, no part is
 * ever a full call ahead of its share; it may be slightly more than a call behind.
 *
 * Return: the part, valid as long as the table.
 */
const sgr_route_part_t *sgr_route_entry_part_next (sgr_route_entry_t *entry);

#endif
