#ifndef SGR_CONFIG_IO_H
#define SGR_CONFIG_IO_H

#include <h2o.h>

#include "config_commit.h"
#include "config_state.h"
#include "config_sync.h"
#include "store.h"

/**
 * The configuration I/O of a node: connects the configuration state and the synchronisation,
 * neither of which does I/O, to the store and to the HTTP API of peers.
 *
 * Nodes exchange the configuration in two forms. A record holds the complete content of a revision.
 * A step holds the edits that lead from an earlier revision to the revision in force.
 */
typedef struct sgr_config_io_t sgr_config_io_t;

/**
 * struct sgr_config_io_options_t - settings of the configuration I/O of a node
 * @owners: deployment and owners' public keys
 * @sync: settings of the synchronisation
 * @node: name of the node; not used
 * @history_max: latest changes kept, for watch requests and for the steps sent to peers
 * @fetch_timeout_ms: longest time without data from a peer during a fetch
 * @source: format of documents that need no approval; NULL for records signed by the owners
 * @store: the store, not owned; NULL for a node that gets the configuration from peers only
 * @seed: seed of the random delays before store calls of proposals and approvals are retried
 */
typedef struct
{
  sgr_config_owners_t owners;
  sgr_config_sync_options_t sync;
  char node[SGR_NAME_MAX + 1];
  size_t history_max;
  uint32_t fetch_timeout_ms;
  const sgr_config_source_t *source;
  sgr_store_t *store;
  uint64_t seed;
} sgr_config_io_options_t;

/**
 * struct sgr_config_io_callbacks_t - notifications to the control task
 * @config_changed: a higher revision is in force, which the control task announces to the peers and
 *                  passes to the data threads in a new snapshot; may be NULL
 * @store_restored: the store was restored to an earlier state, which may lack what this node wrote;
 *                  may be NULL
 */
typedef struct
{
  void (*config_changed) (void *ctx, const sgr_config_state_t *state);
  void (*store_restored) (void *ctx);
} sgr_config_io_callbacks_t;

/**
 * struct sgr_config_io_stats_t - counters since the start
 * @records_applied: records and steps that took effect at this node
 * @records_refused: invalid records and steps; a revision that is not newer is not counted
 * @entries_unusable: entries of applied records that are not carried out as written
 * @fetch_bytes: bytes of the answers of peers to fetches
 * @steps_applied: the part of @records_applied that were steps
 * @store_writes_unknown: writes to the store whose reply was lost
 */
typedef struct
{
  uint64_t records_applied;
  uint64_t records_refused;
  uint64_t entries_unusable;
  uint64_t fetch_bytes;
  uint64_t steps_applied;
  uint64_t store_writes_unknown;
} sgr_config_io_stats_t;

/** sgr_config_io_options_init() - set the defaults; set @owners and members of @sync afterwards */
void sgr_config_io_options_init (sgr_config_io_options_t *options);

/**
 * sgr_config_io_create() - start the configuration I/O of a node without a configuration
 * @loop: event loop
 * @options: settings, copied
 * @callbacks: notifications, copied
 * @ctx: passed to the callbacks
 *
 * Return: the configuration I/O, NULL if there is no memory.
 */
sgr_config_io_t *sgr_config_io_create (h2o_loop_t *loop, const sgr_config_io_options_t *options,
                                       const sgr_config_io_callbacks_t *callbacks, void *ctx);

/**
 * sgr_config_io_destroy() - cancel pending store calls and fetches and release everything
 * @io: the configuration I/O, may be NULL; dispose of the HTTP context of the API first
 */
void sgr_config_io_destroy (sgr_config_io_t *io);

/**
 * sgr_config_io_member_changed() - handle a change of one member
 * @io: the configuration I/O
 * @member: the member; if it has a revision above the one in force here, the revision is fetched
 */
void sgr_config_io_member_changed (sgr_config_io_t *io, const sgr_member_t *member);

/**
 * sgr_config_io_members_update() - handle a new list of all members
 * @io: the configuration I/O
 * @members: all members; a revision above the one in force here is fetched
 * @count: entries of @members
 */
void sgr_config_io_members_update (sgr_config_io_t *io, const sgr_member_t *members, size_t count);

const sgr_config_state_t *sgr_config_io_state (const sgr_config_io_t *io);
const sgr_config_io_stats_t *sgr_config_io_stats (const sgr_config_io_t *io);
const sgr_config_sync_stats_t *sgr_config_io_sync_stats (const sgr_config_io_t *io);

/** sgr_config_io_is_reader() - whether this node watches the store for its failure domain */
bool sgr_config_io_is_reader (const sgr_config_io_t *io);

/**
 * sgr_config_io_commit_get() - object that writes proposals and approvals to the store
 *
 * Return: the object, NULL without a store or with a source.
 */
sgr_config_commit_t *sgr_config_io_commit_get (sgr_config_io_t *io);

#endif
