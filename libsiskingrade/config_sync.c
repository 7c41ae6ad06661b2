#include "config_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "store.h"
#include "timer_heap.h"

/* Peers with a higher revision that a node keeps: enough to replace one that does not answer. */
#define PEERS_MAX 8
/* A watch counts as failed if it ends without a new version in less than its longest duration
   divided by this number. Without this rule, a store that answers at once would be called in a
   tight loop. */
#define WATCH_MIN_DURATION_DIVISOR 2
/* Highest value of the counter of failed watches in a row. The delay after a failure reaches its
   maximum at a much lower count. */
#define WATCH_FAILURES_MAX 32
/* Readers of a failure domain whose watches are short until they are answered. The others keep an
   unanswered watch for its longest duration and get changes from peers meanwhile. */
#define CONFIRMING_READERS 2
/* Delay of the next watch after a node became a reader or stopped being one. A new reader waits for
   a random time of up to this value. A node that is no longer a reader and has cancelled its watch
   waits at least this long, should it become a reader again. */
#define READER_CHANGE_DELAY_MS 500

/**
 * struct peer_t - a node that claims to have a higher revision in force
 * @node: the node
 * @address: control address of the node
 * @revision: the revision
 * @retry_us: earliest time of the next fetch from the node
 * @failures: failed fetches from the node
 */
typedef struct
{
  sgr_node_id_t node;
  sgr_address_t address;
  uint64_t revision;
  uint64_t retry_us;
  uint32_t failures;
} peer_t;

/**
 * struct fetch_t - an open fetch
 * @node: peer that the record is fetched from, 0 for an unused element
 * @revision: revision that the peer claims
 * @start_us: time at which the fetch started
 * @active_us: time at which the last byte of the answer arrived, or the start before the first one
 */
typedef struct
{
  sgr_node_id_t node;
  uint64_t revision;
  uint64_t start_us;
  uint64_t active_us;
} fetch_t;

/*
 * @reader: whether this node is a reader; true until other members are known
 * @is_confirming: whether this node is one of CONFIRMING_READERS
 * @watching: whether a watch is open
 * @version: version of the watched key in the last answer of the store
 * @is_confirmed: the last watch ended without a new version after its whole duration, so the next
 *                one may be long
 * @watch_wait_ms: longest duration of the last watch
 * @watch_start_us: start of the last watch
 * @watch_due_us: earliest start of the next watch
 * @settled_us: earliest start of the second watch
 * @watch_failures: watches that have failed in a row
 * @revision: revision in force at this node
 * @fetch_due_us: earliest start of the next fetch while none is open
 */
struct sgr_config_sync_t
{
  sgr_config_sync_options_t options;
  sgr_rng_t rng;
  bool reader;
  bool is_confirming;
  bool watching;
  sgr_store_version_t version;
  bool is_confirmed;
  uint32_t watch_wait_ms;
  uint64_t watch_start_us;
  uint64_t watch_due_us;
  uint64_t settled_us;
  uint32_t watch_failures;
  uint64_t revision;
  uint64_t fetch_due_us;
  fetch_t fetches[SGR_CONFIG_SYNC_FETCHES_MAX];
  peer_t peers[PEERS_MAX];
  size_t peer_count;
  sgr_config_sync_stats_t stats;
};

void
sgr_config_sync_options_init (sgr_config_sync_options_t *options)
{
  *options = (sgr_config_sync_options_t){
    .settle_ms = 1000,
    .start_delay_ms = 2000,
    .readers = 2,
    .watch_ms = 55000,
    .watch_confirm_ms = SGR_STORE_SHORT_WATCH_MS,
    .backoff_min_ms = 250,
    .backoff_max_ms = 15000,
    .fetch_spread_ms = 50,
    /* A second fetch starts after this time without a byte. It is longer than a peer usually takes
       to answer. It is also short, so that an unresponsive peer delays a change by only a small
       part of the time within which the change has to be in force. */
    .fetch_hedge_ms = 300,
    .fetch_long_ms = 1000,
  };
}

/* A random duration of up to @limit_ms. */
static uint64_t
jitter_us (sgr_config_sync_t *sync, uint64_t limit_ms)
{
  return sgr_rng_below (&sync->rng, limit_ms * SGR_USEC_PER_MSEC + 1);
}

sgr_config_sync_t *
sgr_config_sync_create (const sgr_config_sync_options_t *options, uint64_t now_us)
{
  sgr_config_sync_t *sync = calloc (1, sizeof *sync);

  if (sync == NULL)
    return NULL;
  sync->options = *options;
  sgr_rng_seed (&sync->rng, options->seed ^ options->self);
  sync->reader = true;
  sync->is_confirming = true;
  sync->watch_due_us = now_us + options->start_delay_ms * SGR_USEC_PER_MSEC
                       + jitter_us (sync, options->start_delay_ms / 2);
  sync->settled_us
      = now_us + options->settle_ms * SGR_USEC_PER_MSEC + jitter_us (sync, options->settle_ms / 2);
  return sync;
}

void
sgr_config_sync_destroy (sgr_config_sync_t *sync)
{
  free (sync);
}

/* Delay after @failures failed calls in a row. It doubles with each failure up to its maximum; half
   of it is random. */
static uint64_t
backoff_us (sgr_config_sync_t *sync, uint32_t failures)
{
  uint64_t wait_ms = sync->options.backoff_min_ms;

  for (uint32_t i = 1; i < failures && wait_ms < sync->options.backoff_max_ms; i++)
    wait_ms *= 2;
  if (wait_ms > sync->options.backoff_max_ms)
    wait_ms = sync->options.backoff_max_ms;
  return wait_ms * SGR_USEC_PER_MSEC / 2 + jitter_us (sync, wait_ms / 2);
}

static uint64_t
rendezvous_score (sgr_node_id_t node, const char *failure_domain)
{
  return XXH64 (&node, sizeof node, XXH64 (failure_domain, strlen (failure_domain), 0));
}

bool
sgr_config_sync_is_elected_reader (sgr_node_id_t self, const char *failure_domain, uint32_t readers,
                                   const sgr_member_t *members, size_t count)
{
  uint64_t own_score = rendezvous_score (self, failure_domain);
  uint32_t ranked_higher = 0;

  for (size_t i = 0; i < count && ranked_higher < readers; i++)
    {
      uint64_t score;

      if (members[i].id == self || members[i].status != SGR_MEMBER_ALIVE
          || strcmp (members[i].failure_domain, failure_domain) != 0)
        continue;
      score = rendezvous_score (members[i].id, failure_domain);
      ranked_higher += score > own_score || (score == own_score && members[i].id > self);
    }
  return ranked_higher < readers;
}

void
sgr_config_sync_members_update (sgr_config_sync_t *sync, uint64_t now_us,
                                const sgr_member_t *members, size_t count)
{
  bool reader = sgr_config_sync_is_elected_reader (sync->options.self, sync->options.failure_domain,
                                                   sync->options.readers, members, count);

  if (reader && !sync->reader)
    {
      uint64_t due_us = now_us + jitter_us (sync, READER_CHANGE_DELAY_MS);

      if (due_us > sync->watch_due_us)
        sync->watch_due_us = due_us;
    }
  sync->reader = reader;
  sync->is_confirming = sgr_config_sync_is_elected_reader (
      sync->options.self, sync->options.failure_domain, CONFIRMING_READERS, members, count);
  for (size_t i = 0; i < count; i++)
    if (members[i].id != sync->options.self && members[i].status == SGR_MEMBER_ALIVE
        && members[i].config_revision > sync->revision)
      sgr_config_sync_peer_revision_update (
          sync, now_us, members[i].id, &members[i].control_address, members[i].config_revision);
}

/* Returns the element of the table of peers in which to store a new peer with @revision, or NULL if
   the peer is to be ignored. Peers with failed fetches or a low revision are replaced first. A peer
   with the same revision is replaced with a probability of one half. Otherwise all nodes would
   fetch from the same few peers. */
static peer_t *
peer_element_find (sgr_config_sync_t *sync, uint64_t revision)
{
  peer_t *worst = &sync->peers[0];

  if (sync->peer_count < PEERS_MAX)
    return &sync->peers[sync->peer_count++];
  for (size_t i = 1; i < PEERS_MAX; i++)
    {
      const peer_t *peer = &sync->peers[i];

      if (peer->failures > worst->failures
          || (peer->failures == worst->failures && peer->revision < worst->revision))
        worst = &sync->peers[i];
    }
  if (worst->failures == 0 && worst->revision > revision)
    return NULL;
  if (worst->failures == 0 && worst->revision == revision && sgr_rng_below (&sync->rng, 2) == 0)
    return NULL;
  return worst;
}

static fetch_t *
fetch_find (sgr_config_sync_t *sync, sgr_node_id_t node)
{
  for (size_t i = 0; i < SGR_CONFIG_SYNC_FETCHES_MAX; i++)
    if (sync->fetches[i].node == node)
      return &sync->fetches[i];
  return NULL;
}

/* Number of open fetches; @slow_us receives the time from which all of them count as slow, 0 for
   none. */
static size_t
open_fetch_count (const sgr_config_sync_t *sync, uint64_t *slow_us)
{
  size_t count = 0;

  *slow_us = 0;
  for (size_t i = 0; i < SGR_CONFIG_SYNC_FETCHES_MAX; i++)
    {
      const fetch_t *fetch = &sync->fetches[i];
      uint64_t silent_us = fetch->active_us + sync->options.fetch_hedge_ms * SGR_USEC_PER_MSEC;
      uint64_t long_us = fetch->start_us + sync->options.fetch_long_ms * SGR_USEC_PER_MSEC;
      uint64_t due_us = silent_us < long_us ? silent_us : long_us;

      if (fetch->node == 0)
        continue;
      count++;
      if (due_us > *slow_us)
        *slow_us = due_us;
    }
  return count;
}

void
sgr_config_sync_peer_revision_update (sgr_config_sync_t *sync, uint64_t now_us, sgr_node_id_t peer,
                                      const sgr_address_t *address, uint64_t revision)
{
  uint64_t slow_us;
  bool is_idle = sync->peer_count == 0 && open_fetch_count (sync, &slow_us) == 0;
  peer_t *element;

  if (revision <= sync->revision || peer == sync->options.self)
    return;
  for (size_t i = 0; i < sync->peer_count; i++)
    if (sync->peers[i].node == peer)
      {
        sync->peers[i].address = *address;
        if (revision > sync->peers[i].revision)
          sync->peers[i].revision = revision;
        return;
      }
  element = peer_element_find (sync, revision);
  if (element == NULL)
    return;
  *element = (peer_t){ .node = peer, .address = *address, .revision = revision };
  if (is_idle)
    sync->fetch_due_us = now_us + jitter_us (sync, sync->options.fetch_spread_ms);
}

void
sgr_config_sync_revision_set (sgr_config_sync_t *sync, uint64_t now_us, uint64_t revision)
{
  size_t kept = 0;

  if (revision <= sync->revision)
    return;
  sync->revision = revision;
  for (size_t i = 0; i < sync->peer_count; i++)
    if (sync->peers[i].revision > revision)
      sync->peers[kept++] = sync->peers[i];
  sync->peer_count = kept;
}

void
sgr_config_sync_watch_done (sgr_config_sync_t *sync, uint64_t now_us, bool ok,
                            sgr_store_version_t version, uint64_t retry_after_ms)
{
  uint64_t min_duration_us = sync->watch_wait_ms * SGR_USEC_PER_MSEC / WATCH_MIN_DURATION_DIVISOR;
  bool is_new_version = ok && sgr_store_version_is_newer (version, sync->version);
  bool is_whole = ok && now_us - sync->watch_start_us >= min_duration_us;

  sync->watching = false;
  /* A lower version of the same generation comes from a stale read; the next watch starts from that
     version. */
  if (ok)
    sync->version = version;
  sync->is_confirmed = is_whole && !is_new_version;
  if (is_new_version || is_whole)
    {
      sync->watch_failures = 0;
      sync->watch_due_us
          = sync->watch_start_us + sync->options.watch_interval_ms * SGR_USEC_PER_MSEC;
      if (sync->watch_due_us < now_us)
        sync->watch_due_us = now_us;
      if (sync->watch_due_us < sync->settled_us)
        sync->watch_due_us = sync->settled_us;
      return;
    }
  sync->stats.store_failures++;
  if (sync->watch_failures < WATCH_FAILURES_MAX)
    sync->watch_failures++;
  sync->watch_due_us = now_us + backoff_us (sync, sync->watch_failures);
  if (sync->watch_due_us < now_us + retry_after_ms * SGR_USEC_PER_MSEC)
    sync->watch_due_us
        = now_us + retry_after_ms * SGR_USEC_PER_MSEC + jitter_us (sync, retry_after_ms / 2);
}

void
sgr_config_sync_fetch_progress (sgr_config_sync_t *sync, uint64_t now_us, sgr_node_id_t peer)
{
  fetch_t *fetch = fetch_find (sync, peer);

  if (fetch != NULL)
    fetch->active_us = now_us;
}

void
sgr_config_sync_fetch_done (sgr_config_sync_t *sync, uint64_t now_us, sgr_node_id_t peer, bool ok)
{
  fetch_t *fetch = fetch_find (sync, peer);
  uint64_t revision = fetch != NULL ? fetch->revision : 0;

  if (fetch != NULL)
    *fetch = (fetch_t){ 0 };
  sync->fetch_due_us = now_us;
  if (ok && sync->revision >= revision)
    return;
  sync->stats.fetch_failures++;
  for (size_t i = 0; i < sync->peer_count; i++)
    if (sync->peers[i].node == peer)
      {
        sync->peers[i].failures++;
        sync->peers[i].retry_us = now_us + backoff_us (sync, sync->peers[i].failures);
      }
}

/* Picks the peer with the highest revision among those without an open fetch or retry delay, at
   random if there are several. @next_us is lowered to the end of the earliest retry delay. */
static const peer_t *
peer_pick (sgr_config_sync_t *sync, uint64_t now_us, uint64_t *next_us)
{
  const peer_t *best = NULL;
  uint64_t ties = 0;

  for (size_t i = 0; i < sync->peer_count; i++)
    {
      const peer_t *peer = &sync->peers[i];

      if (fetch_find (sync, peer->node) != NULL)
        continue;
      if (peer->retry_us > now_us)
        {
          if (peer->retry_us < *next_us)
            *next_us = peer->retry_us;
          continue;
        }
      if (best == NULL || peer->revision > best->revision)
        ties = 0;
      else if (peer->revision < best->revision)
        continue;
      if (sgr_rng_below (&sync->rng, ++ties) == 0)
        best = peer;
    }
  return best;
}

/* Starts a fetch if one is due; otherwise lowers @next_us to the time of the next one. */
static bool
fetch_start_if_due (sgr_config_sync_t *sync, uint64_t now_us, sgr_config_sync_action_t *action,
                    uint64_t *next_us)
{
  uint64_t due_us;
  size_t open_count = open_fetch_count (sync, &due_us);
  const peer_t *peer;

  if (open_count == SGR_CONFIG_SYNC_FETCHES_MAX || sync->peer_count == 0)
    return false;
  if (open_count == 0)
    due_us = sync->fetch_due_us;
  if (due_us > now_us)
    {
      if (due_us < *next_us)
        *next_us = due_us;
      return false;
    }
  peer = peer_pick (sync, now_us, next_us);
  if (peer == NULL)
    return false;
  /* At least one element is unused, because fewer fetches than SGR_CONFIG_SYNC_FETCHES_MAX are
     open. Unused elements have node 0. */
  *fetch_find (sync, 0) = (fetch_t){
    .node = peer->node, .revision = peer->revision, .start_us = now_us, .active_us = now_us
  };
  sync->stats.fetches++;
  *action = (sgr_config_sync_action_t){ .kind = SGR_CONFIG_SYNC_FETCH,
                                        .peer = peer->node,
                                        .address = peer->address,
                                        .revision = peer->revision };
  return true;
}

/* Longest duration of the next watch. */
static uint32_t
watch_duration_ms (sgr_config_sync_t *sync)
{
  uint32_t confirm_ms = sync->options.watch_confirm_ms;

  if (sync->is_confirmed || !sync->is_confirming || confirm_ms >= sync->options.watch_ms)
    return sync->options.watch_ms;
  return confirm_ms - (uint32_t)sgr_rng_below (&sync->rng, confirm_ms / 2 + 1);
}

bool
sgr_config_sync_next (sgr_config_sync_t *sync, uint64_t now_us, sgr_config_sync_action_t *action,
                      uint64_t *next_us)
{
  *next_us = SGR_TIMER_NEVER;
  *action = (sgr_config_sync_action_t){ .kind = SGR_CONFIG_SYNC_NONE };
  if (sync->watching && !sync->reader)
    {
      sync->watching = false;
      sync->watch_due_us = now_us + READER_CHANGE_DELAY_MS * SGR_USEC_PER_MSEC;
      action->kind = SGR_CONFIG_SYNC_WATCH_CANCEL;
      return true;
    }
  if (sync->reader && !sync->watching)
    {
      if (now_us >= sync->watch_due_us)
        {
          sync->watching = true;
          sync->watch_start_us = now_us;
          sync->watch_wait_ms = watch_duration_ms (sync);
          sync->stats.store_calls++;
          action->kind = SGR_CONFIG_SYNC_WATCH;
          action->after = sync->version;
          action->wait_ms = sync->watch_wait_ms;
          return true;
        }
      *next_us = sync->watch_due_us;
    }
  return fetch_start_if_due (sync, now_us, action, next_us);
}

bool
sgr_config_sync_is_reader (const sgr_config_sync_t *sync)
{
  return sync->reader;
}

const sgr_config_sync_stats_t *
sgr_config_sync_stats (const sgr_config_sync_t *sync)
{
  return &sync->stats;
}

size_t
sgr_config_sync_memory_bytes (const sgr_config_sync_t *sync)
{
  return sizeof *sync;
}
