#ifndef SGR_CONFIG_SYNC_H
#define SGR_CONFIG_SYNC_H

#include "member.h"
#include "rng.h"

/* Fetches that may be open at the same time: a second one starts if the first is slow. */
#define SGR_CONFIG_SYNC_FETCHES_MAX 2

/**
 * struct sgr_config_sync_t - synchronisation of a node with the newest revision
 *
 * A few nodes of each failure domain, the readers, watch the newest record in the store. In
 * addition, each node fetches the record of a peer that has a higher revision in force. The
 * synchronisation does no I/O of its own: the caller performs the actions of sgr_config_sync_next()
 * and reports how they end.
 */
typedef struct sgr_config_sync_t sgr_config_sync_t;

/**
 * struct sgr_config_sync_options_t - settings of the synchronisation
 * @self: this node
 * @failure_domain: failure domain of this node
 * @seed: seed of the jitter
 * @settle_ms: after a first version was read, the next watch waits until this time after the start;
 *   by then the node knows the members and whether it is a reader
 * @start_delay_ms: delay before the first store call, plus a random part of up to half of it. It
 *                  gives nodes that start at the same time the chance to discover each other, so
 *                  that not all of them read the store.
 * @readers: nodes of a failure domain that watch the store; with two, the failure of one has no
 *           effect
 * @watch_ms: longest duration of one watch
 * @watch_interval_ms: shortest time between the starts of two watches, 0 for none. In a quick
 *   succession of versions, a reader skips those that are replaced within this time
 * @watch_confirm_ms: longest duration of the first watch after a new version or a failed watch, at
 *   the two readers that confirm that the store answers; half of it is random. Only its answer
 *   shows that the store has taken a watch, and after a change all readers send one at once.
 * @backoff_min_ms: delay after the first failed call
 * @backoff_max_ms: longest delay after repeated failures
 * @fetch_spread_ms: upper bound of the random delay before a fetch, so that the node which is the
 *                   first to have a revision in force is not queried by all others at once
 * @fetch_hedge_ms: duration without a byte of the answer, since the start of a fetch or since the
 *                  last byte, after which the fetch counts as slow and a second one from another
 *                  peer starts
 * @fetch_long_ms: duration after which a fetch counts as slow although bytes arrive: the peer may
 *                 send too slowly, or a newer revision may wait
 */
typedef struct
{
  sgr_node_id_t self;
  char failure_domain[SGR_NAME_MAX + 1];
  uint64_t seed;
  uint32_t settle_ms;
  uint32_t start_delay_ms;
  uint32_t readers;
  uint32_t watch_ms;
  uint32_t watch_interval_ms;
  uint32_t watch_confirm_ms;
  uint32_t backoff_min_ms;
  uint32_t backoff_max_ms;
  uint32_t fetch_spread_ms;
  uint32_t fetch_hedge_ms;
  uint32_t fetch_long_ms;
} sgr_config_sync_options_t;

typedef enum
{
  SGR_CONFIG_SYNC_NONE = 0,
  SGR_CONFIG_SYNC_WATCH,
  SGR_CONFIG_SYNC_WATCH_CANCEL,
  SGR_CONFIG_SYNC_FETCH,
} sgr_config_sync_action_kind_t;

/**
 * struct sgr_config_sync_action_t - what the caller has to do next
 * @kind: watch the store, cancel the watch, or fetch the record of a peer
 * @after: for WATCH, the last known version of the key; the watch ends at a newer one
 * @wait_ms: for WATCH, longest duration
 * @peer: for FETCH, the node to fetch from
 * @address: for FETCH, control address of the node
 * @revision: for FETCH, the revision that the peer claims to have in force
 */
typedef struct
{
  sgr_config_sync_action_kind_t kind;
  sgr_store_version_t after;
  uint32_t wait_ms;
  sgr_node_id_t peer;
  sgr_address_t address;
  uint64_t revision;
} sgr_config_sync_action_t;

/**
 * struct sgr_config_sync_stats_t - counters since the start
 * @store_calls: watches started
 * @store_failures: watches that failed, or ended early without a new version
 * @fetches: fetches started
 * @fetch_failures: fetches that failed, or did not bring the revision that the peer claimed
 */
typedef struct
{
  uint64_t store_calls;
  uint64_t store_failures;
  uint64_t fetches;
  uint64_t fetch_failures;
} sgr_config_sync_stats_t;

/** sgr_config_sync_options_init() - set defaults; the caller then sets @self and @failure_domain */
void sgr_config_sync_options_init (sgr_config_sync_options_t *options);

/**
 * sgr_config_sync_create() - create the synchronisation of a node; copies the options
 *
 * Return: the synchronisation, NULL if memory is exhausted.
 */
sgr_config_sync_t *sgr_config_sync_create (const sgr_config_sync_options_t *options,
                                           uint64_t now_us);
void sgr_config_sync_destroy (sgr_config_sync_t *sync);

/**
 * sgr_config_sync_members_update() - evaluate the members again after a change
 * @sync: the synchronisation
 * @now_us: monotonic time
 * @members: all members, possibly including this node
 * @count: number of members
 *
 * Determines whether this node is a reader, and records a few of the peers that have a higher
 * revision in force. The other members are not stored.
 */
void sgr_config_sync_members_update (sgr_config_sync_t *sync, uint64_t now_us,
                                     const sgr_member_t *members, size_t count);

/**
 * sgr_config_sync_peer_revision_update() - record that a peer has a revision in force
 * @sync: the synchronisation
 * @now_us: monotonic time
 * @peer: the node
 * @address: control address of the node
 * @revision: the revision; ignored unless it is higher than the one in force at this node
 */
void sgr_config_sync_peer_revision_update (sgr_config_sync_t *sync, uint64_t now_us,
                                           sgr_node_id_t peer, const sgr_address_t *address,
                                           uint64_t revision);

/** sgr_config_sync_revision_set() - record the revision that is now in force at this node */
void sgr_config_sync_revision_set (sgr_config_sync_t *sync, uint64_t now_us, uint64_t revision);

/**
 * sgr_config_sync_watch_done() - report the end of a WATCH
 * @sync: the synchronisation
 * @now_us: monotonic time
 * @ok: whether the store answered, with or without a new version
 * @version: version of the key; its number is 0 if the key does not exist
 * @retry_after_ms: shortest delay before the next call that the store requested, 0 for none
 *
 * If the record of the answer was put in force, call sgr_config_sync_revision_set() first.
 */
void sgr_config_sync_watch_done (sgr_config_sync_t *sync, uint64_t now_us, bool ok,
                                 sgr_store_version_t version, uint64_t retry_after_ms);

/**
 * sgr_config_sync_fetch_progress() - report that bytes of the answer to a FETCH have arrived
 * @sync: the synchronisation
 * @now_us: monotonic time
 * @peer: the node that the record is fetched from; ignored if no fetch from it is open
 */
void sgr_config_sync_fetch_progress (sgr_config_sync_t *sync, uint64_t now_us, sgr_node_id_t peer);

/**
 * sgr_config_sync_fetch_done() - report the end of a FETCH
 * @sync: the synchronisation
 * @now_us: monotonic time
 * @peer: the node that the record was fetched from
 * @ok: whether the peer answered with a valid record, even one that is not newer
 *
 * If the record was put in force, call sgr_config_sync_revision_set() first.
 */
void sgr_config_sync_fetch_done (sgr_config_sync_t *sync, uint64_t now_us, sgr_node_id_t peer,
                                 bool ok);

/**
 * sgr_config_sync_next() - get the next action that is due
 * @sync: the synchronisation
 * @now_us: monotonic time
 * @action: receives the action
 * @next_us: if no action is due, receives the time of the next one; SGR_TIMER_NEVER if the next
 *           action depends on an event
 *
 * Return: true if the caller has to perform @action now and call again; false if no action is due.
 */
bool sgr_config_sync_next (sgr_config_sync_t *sync, uint64_t now_us,
                           sgr_config_sync_action_t *action, uint64_t *next_us);

/**
 * sgr_config_sync_is_elected_reader() - check whether a node is a reader of its failure domain
 * @self: the node; it counts as alive even if it is not among @members
 * @failure_domain: failure domain of the node
 * @readers: number of readers of a failure domain
 * @members: all members
 * @count: number of members
 *
 * The readers are the nodes with the highest rendezvous hashes among those alive, so that nodes
 * with the same members agree on the readers without exchanging messages.
 */
bool sgr_config_sync_is_elected_reader (sgr_node_id_t self, const char *failure_domain,
                                        uint32_t readers, const sgr_member_t *members,
                                        size_t count);

/** sgr_config_sync_is_reader() - whether this node watches the store */
bool sgr_config_sync_is_reader (const sgr_config_sync_t *sync);
const sgr_config_sync_stats_t *sgr_config_sync_stats (const sgr_config_sync_t *sync);

/** sgr_config_sync_memory_bytes() - memory of the synchronisation in bytes */
size_t sgr_config_sync_memory_bytes (const sgr_config_sync_t *sync);

#endif
