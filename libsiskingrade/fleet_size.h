#ifndef SGR_FLEET_SIZE_H
#define SGR_FLEET_SIZE_H

#include "types.h"

/**
 * struct sgr_fleet_view_t - what a node knows of the other nodes
 * @records: member records, those of nodes that left included
 * @alive: members that are alive or suspect
 * @size: members that are alive, suspect, or dead without having left
 * @listed: nodes in the store's list if it had the address of this node already when this process
 * started, 0 otherwise
 * @has_synced: whether the node has all records of a peer, or is known to be alone
 */
typedef struct
{
  size_t records;
  size_t alive;
  size_t size;
  size_t listed;
  bool has_synced;
} sgr_fleet_view_t;

/**
 * struct sgr_fleet_size_t - determines the number of nodes by which quotas are divided;
 * zero-initialized, it is unknown
 * @records_max: highest number of records so far
 * @grown_us: when @records_max grew last
 * @size: the number
 * @is_known: whether quotas may be divided by @size
 * @has_settled: whether the records did not grow for a while, so that the list is not needed
 */
typedef struct
{
  size_t records_max;
  uint64_t grown_us;
  size_t size;
  bool is_known;
  bool has_settled;
} sgr_fleet_size_t;

/**
 * sgr_fleet_size_update() - take in what is known of the nodes
 *
 * A number that is too small lets lenders on several nodes exceed a quota. After a common start,
 * the first peer that answers knows only some of the nodes. The number therefore counts when no new
 * record arrived for 2 s, or when the store lists the nodes of the time before the start and most
 * of them are members.
 *
 * Return: time at which to update again if nothing changes, 0 if the number is known.
 */
uint64_t sgr_fleet_size_update (sgr_fleet_size_t *fleet, uint64_t now_us,
                                const sgr_fleet_view_t *view);

#endif
