#ifndef SGR_CONFIG_IO_H
#define SGR_CONFIG_IO_H

#include <h2o.h>

#include "config_commit.h"
#include "config_state.h"
#include "config_sync.h"
#include "store.h"

typedef struct sgr_config_io_t sgr_config_io_t;

/**
 * struct sgr_config_io_options_t - settings of the configuration of a node
 * @owners: deployment and owners' public keys
 * @sync: settings of the synchronisation
 * @node: name of the node, part of the writer ids
 * @history_max: steps kept for watchers
 * @fetch_timeout_ms: longest wait for a peer
 * @source: source of documents that count as approved; NULL for records of the owners
 * @store: the store; NULL for a node that only learns from peers; not owned
 * @seed: seed of jitter and writer ids
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
 * struct sgr_config_io_callbacks_t - what the control task is told
 * @config_changed: a higher revision is in force; gossip its number and send a new snapshot
 */
typedef struct
{
  void (*config_changed) (void *ctx, const sgr_config_state_t *state);
} sgr_config_io_callbacks_t;

/** struct sgr_config_io_stats_t - counts since the start */
typedef struct
{
  uint64_t records_taken;
  uint64_t records_refused;
  uint64_t fetch_bytes;
  uint64_t steps_taken;
  uint64_t store_unknown;
} sgr_config_io_stats_t;

void sgr_config_io_options_init (sgr_config_io_options_t *options);
sgr_config_io_t *sgr_config_io_create (h2o_loop_t *loop, const sgr_config_io_options_t *options,
                                       const sgr_config_io_callbacks_t *callbacks, void *ctx);

/** sgr_config_io_destroy() - cancels pending calls; destroy the HTTP context of the API first */
void sgr_config_io_destroy (sgr_config_io_t *io);

/** sgr_config_io_member_changed() - news of one member; a revision above the own one is fetched */
void sgr_config_io_member_changed (sgr_config_io_t *io, const sgr_member_t *member);

/** sgr_config_io_members_update() - replace the members; their revisions are learned too */
void sgr_config_io_members_update (sgr_config_io_t *io, const sgr_member_t *members, size_t count);

const sgr_config_state_t *sgr_config_io_state (const sgr_config_io_t *io);
const sgr_config_io_stats_t *sgr_config_io_stats (const sgr_config_io_t *io);
const sgr_config_sync_stats_t *sgr_config_io_sync_stats (const sgr_config_io_t *io);
bool sgr_config_io_is_reader (const sgr_config_io_t *io);

/** sgr_config_io_commit() - proposals and approvals; NULL without a store */
sgr_config_commit_t *sgr_config_io_commit (sgr_config_io_t *io);

#endif
