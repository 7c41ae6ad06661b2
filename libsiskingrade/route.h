#ifndef SGR_ROUTE_H
#define SGR_ROUTE_H

#include "policy.h"
#include "rng.h"

#define SGR_ROUTE_HOST_MAX 255
#define SGR_ROUTE_PREFIX_MAX 255
#define SGR_ROUTE_PARTS_MAX 8

/**
 * struct sgr_route_part_t - one service of a route
 * @service: name of the service
 * @weight: share of the route's calls, relative to the other parts
 */
typedef struct
{
  char service[SGR_NAME_MAX + 1];
  uint32_t weight;
} sgr_route_part_t;

/**
 * struct sgr_route_t - calls of one host below one path prefix; part of the agreed configuration
 * @name: name of the route
 * @host: host name of the callers' requests, lower case, without a port
 * @prefix: start of the path, with a slash at both ends
 * @idempotency: which requests may run more than once
 * @timeout_ms: longest time until the final answer, 0 for the caller's deadline only
 * @target_latency_ms: time within which an answer is on time, 0 for none
 * @priority: rank under overload, 0 is served first
 * @attempts_max: targets that one call may be sent to, 0 for the number of the service's policy
 * @parts: services that the calls go to
 * @part_count: used entries of @parts, at least 1
 */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  char host[SGR_ROUTE_HOST_MAX + 1];
  char prefix[SGR_ROUTE_PREFIX_MAX + 1];
  sgr_policy_idempotency_t idempotency;
  uint32_t timeout_ms;
  uint32_t target_latency_ms;
  uint32_t priority;
  uint32_t attempts_max;
  sgr_route_part_t parts[SGR_ROUTE_PARTS_MAX];
  uint32_t part_count;
} sgr_route_t;

/** Routes of one configuration, and how many calls each part of them got. */
typedef struct sgr_route_table_t sgr_route_table_t;

/** struct sgr_route_entry_t - a route of a table, opaque */
typedef struct sgr_route_entry_t sgr_route_entry_t;

/**
 * sgr_route_table_create() - a table of routes
 * @routes: copied; of two routes with the same host and prefix the first counts
 * @count: entries of @routes
 * @previous: table that it replaces, NULL for none; a route with unchanged parts goes on with the
 *            split where it was
 * @rng: draws where the split of a new route begins, so that nodes do not choose alike
 */
sgr_route_table_t *sgr_route_table_create (const sgr_route_t *routes, size_t count,
                                           const sgr_route_table_t *previous, sgr_rng_t *rng);
void sgr_route_table_destroy (sgr_route_table_t *table);
size_t sgr_route_table_count (const sgr_route_table_t *table);

/**
 * sgr_route_table_find() - route of a request
 * @table: the table
 * @host: host of the request in any case, with or without a port
 * @host_length: bytes of @host
 * @path: path of the request, with or without a query
 * @path_length: bytes of @path
 *
 * Return: the route of that host with the longest prefix that the path starts with, valid as long
 * as the table; NULL if there is none.
 */
sgr_route_entry_t *sgr_route_table_find (sgr_route_table_t *table, const char *host,
                                         size_t host_length, const char *path, size_t path_length);

const sgr_route_t *sgr_route_entry_route (const sgr_route_entry_t *entry);

/**
 * sgr_route_entry_part() - part for the next call
 *
 * The part that is furthest behind its share is taken, so that after N calls each part has its
 * share of N but for less than one call.
 */
const sgr_route_part_t *sgr_route_entry_part (sgr_route_entry_t *entry);

#endif
