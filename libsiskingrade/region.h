#ifndef SGR_REGION_H
#define SGR_REGION_H

#include "types.h"

/* Most regions that a node tells apart. A target of any further region runs no call that is limited
   to regions. */
#define SGR_REGIONS_MAX 64
/**
 * sgr_region_id_t - 64-bit hash of a region's name, 0 for an empty name
 *
 * Configurations and the data task hold ids instead of names.
 */
typedef uint64_t sgr_region_id_t;

/** sgr_region_mask_t - set of regions, one bit for each region of a sgr_region_table_t */
typedef uint64_t sgr_region_mask_t;

/**
 * struct sgr_region_list_t - regions that a route or an account allows; part of the configuration
 * @is_bound: only the regions of @ids are allowed, none if there are none; otherwise all are
 * @ids: the regions, owned by the route or account
 * @count: entries of @ids
 */
typedef struct
{
  bool is_bound;
  const sgr_region_id_t *ids;
  size_t count;
} sgr_region_list_t;

/**
 * struct sgr_region_table_t - the regions of all members that a node has seen since its start
 * @ids: the regions; the one at index i has bit i
 * @count: entries of @ids
 *
 * A region keeps its bit, so that the masks of open calls stay valid.
 */
typedef struct
{
  sgr_region_id_t ids[SGR_REGIONS_MAX];
  uint32_t count;
} sgr_region_table_t;

/**
 * struct sgr_region_limit_t - where a call may be run; zero-initialised: everywhere
 * @is_bound: only targets in the regions of @mask may run the call
 * @mask: the regions; none if no member is in an allowed region
 */
typedef struct
{
  bool is_bound;
  sgr_region_mask_t mask;
} sgr_region_limit_t;

/** sgr_region_id_of() - id of a region from its zero-terminated name */
sgr_region_id_t sgr_region_id_of (const char *name);

/**
 * sgr_region_table_add() - find the bit of a region, which is added if it is new
 * @table: the table
 * @id: the region
 *
 * Return: a mask with that bit; 0 if @id is 0 or the table is full.
 */
sgr_region_mask_t sgr_region_table_add (sgr_region_table_t *table, sgr_region_id_t id);

/**
 * sgr_region_limit_narrow() - limit a call to the regions of one more list
 * @limit: the limit
 * @table: the table; regions that it does not have contain no target
 * @list: the regions; a list that is not bound changes nothing
 */
void sgr_region_limit_narrow (sgr_region_limit_t *limit, const sgr_region_table_t *table,
                              const sgr_region_list_t *list);

/** sgr_region_limit_allows() - whether a target in a region, given by its bit, may run the call */
static inline bool
sgr_region_limit_allows (const sgr_region_limit_t *limit, sgr_region_mask_t region)
{
  return !limit->is_bound || (limit->mask & region) != 0;
}

#endif
