#ifndef SGR_CONFIG_SYNC_H
#define SGR_CONFIG_SYNC_H

#include "member.h"
#include "rng.h"

/* Fetches that may be open at a time: the second begins when the first is slow. */
#define SGR_CONFIG_SYNC_FETCHES_MAX 2

typedef struct sgr_config_sync_t sgr_config_sync_t;

/**
 * struct sgr_config_sync_options_t - settings of the synchronisation
 * @self: this node
 * @failure_domain: its failure domain
 * @seed: seed of the jitter
 * @start_delay_ms: wait before the first store call, so that a fleet that starts does not read the
 *                  store before its members know each other; a random half is added
 * @readers: nodes of a failure domain that read the store; with two, one may fail unnoticed
 * @watch_ms: longest wait of one watch
 * @backoff_min_ms: first wait after a failed call
 * @backoff_max_ms: longest wait after failed calls
 * @fetch_spread_ms: random wait before a fetch, so that a node that has just taken a revision is
 *                   not asked by the whole fleet at the same moment
 * @fetch_hedge_ms: when a peer has not answered by then, another one is asked, too
 */
typedef struct
{
  sgr_node_id_t self;
  char failure_domain[SGR_NAME_MAX + 1];
  uint64_t seed;
  uint32_t start_delay_ms;
  uint32_t readers;
  uint32_t watch_ms;
  uint32_t backoff_min_ms;
  uint32_t backoff_max_ms;
  uint32_t fetch_spread_ms;
  uint32_t fetch_hedge_ms;
} sgr_config_sync_options_t;

typedef enum
{
  SGR_CONFIG_SYNC_NONE = 0,
  SGR_CONFIG_SYNC_WATCH,
  SGR_CONFIG_SYNC_WATCH_CANCEL,
  SGR_CONFIG_SYNC_FETCH,
} sgr_config_sync_action_kind_t;

/**
 * struct sgr_config_sync_action_t - what the caller does next
 * @kind: watch the store, stop the watch, or fetch from a peer
 * @after_version: for WATCH, version of the store's key that is known
 * @wait_ms: for WATCH, longest wait
 * @peer: for FETCH, the node
 * @address: for FETCH, its control address
 * @revision: for FETCH, the revision that the peer claims
 */
typedef struct
{
  sgr_config_sync_action_kind_t kind;
  uint64_t after_version;
  uint32_t wait_ms;
  sgr_node_id_t peer;
  sgr_address_t address;
  uint64_t revision;
} sgr_config_sync_action_t;

/** struct sgr_config_sync_stats_t - counts since the start */
typedef struct
{
  uint64_t store_calls;
  uint64_t store_failures;
  uint64_t fetches;
  uint64_t fetch_failures;
} sgr_config_sync_stats_t;

/** sgr_config_sync_options_init() - defaults; set @self and @failure_domain afterwards */
void sgr_config_sync_options_init (sgr_config_sync_options_t *options);
sgr_config_sync_t *sgr_config_sync_create (const sgr_config_sync_options_t *options,
                                           uint64_t now_us);
void sgr_config_sync_destroy (sgr_config_sync_t *sync);

/**
 * sgr_config_sync_members() - the members have changed; nothing of them is kept but whether this
 * node reads the store and a few peers with a higher revision
 * @sync: the synchronisation
 * @now_us: the time
 * @members: all members, this node may be among them
 * @count: number of members
 */
void sgr_config_sync_members (sgr_config_sync_t *sync, uint64_t now_us, const sgr_member_t *members,
                              size_t count);

/** sgr_config_sync_peer_revision() - a peer has a revision in force */
void sgr_config_sync_peer_revision (sgr_config_sync_t *sync, uint64_t now_us, sgr_node_id_t peer,
                                    const sgr_address_t *address, uint64_t revision);

/** sgr_config_sync_in_force() - the revision in force at this node has risen */
void sgr_config_sync_in_force (sgr_config_sync_t *sync, uint64_t now_us, uint64_t revision);

/**
 * sgr_config_sync_store_done() - a WATCH has ended; report the record it brought before this
 * @ok: whether the store answered; a watch that ended without news is an answer
 * @version: version of the key that the store gave, 0 if it does not exist
 * @retry_after_ms: wait that the store asked for, 0 for none
 */
void sgr_config_sync_store_done (sgr_config_sync_t *sync, uint64_t now_us, bool ok,
                                 uint64_t version, uint64_t retry_after_ms);

/**
 * sgr_config_sync_fetch_done() - a FETCH has ended
 * @peer: the node that was asked
 * @ok: whether it answered; a record that was refused counts as failed
 */
void sgr_config_sync_fetch_done (sgr_config_sync_t *sync, uint64_t now_us, sgr_node_id_t peer,
                                 bool ok);

/**
 * sgr_config_sync_next() - the next action that is due
 * @next_us: receives when to call again if there is none, SGR_TIMER_NEVER for after an event
 *
 * Return: true if @action is to be done now; call again until it returns false.
 */
bool sgr_config_sync_next (sgr_config_sync_t *sync, uint64_t now_us,
                           sgr_config_sync_action_t *action, uint64_t *next_us);

/**
 * sgr_config_sync_elects() - whether a node is among the readers of its failure domain
 * @self: the node
 * @failure_domain: its failure domain
 * @readers: readers of a failure domain
 * @members: all members
 * @count: number of members
 */
bool sgr_config_sync_elects (sgr_node_id_t self, const char *failure_domain, uint32_t readers,
                             const sgr_member_t *members, size_t count);

bool sgr_config_sync_is_reader (const sgr_config_sync_t *sync);
const sgr_config_sync_stats_t *sgr_config_sync_stats (const sgr_config_sync_t *sync);
size_t sgr_config_sync_memory (const sgr_config_sync_t *sync);

#endif
