#ifndef SGR_STORE_H
#define SGR_STORE_H

#include "result.h"
#include "types.h"

/* Longest value and longest key in bytes. */
#define SGR_STORE_VALUE_MAX 1000000
#define SGR_STORE_KEY_MAX 255
/* Longest wait of a short watch, milliseconds. A client gives up a longer one much later if the
   store does not answer it. */
#define SGR_STORE_SHORT_WATCH_MS 3000
/* Expected version with which a swap writes regardless of the key's version. */
#define SGR_STORE_ANY_VERSION UINT64_MAX

/**
 * enum sgr_store_outcome_t - what is known about the effect of a call to the store
 * @SGR_STORE_OK: done; also for a read of a key that does not exist, and for a watch of a key that
 *                did not change before the wait ended
 * @SGR_STORE_CONFLICT: not done: the key has another version, or the lease has another holder
 * @SGR_STORE_UNAVAILABLE: not done: the store refused the call or could not be reached; also for
 *                         a read whose reply was lost
 * @SGR_STORE_UNKNOWN: a write that may have taken effect or may still take effect
 */
typedef enum
{
  SGR_STORE_OK = 0,
  SGR_STORE_CONFLICT,
  SGR_STORE_UNAVAILABLE,
  SGR_STORE_UNKNOWN,
} sgr_store_outcome_t;

/**
 * struct sgr_store_item_t - one key in the reply to a list call
 * @key: the key, zero-terminated
 * @version: its version
 * @value: its value
 * @length: its length in bytes
 */
typedef struct
{
  const char *key;
  uint64_t version;
  const uint8_t *value;
  size_t length;
} sgr_store_item_t;

/**
 * struct sgr_store_reply_t - result of a call to the store
 * @outcome: what is known about its effect
 * @generation: generation that @version belongs to, 0 if the store does not tell it
 * @version: version of the key after the call, 0 if it does not exist or is not known; of a
 *           lease, its fencing token; of a watch of a prefix, version of the store at the time of
 *           the read
 * @value: value that was read, NULL if there is none; valid only during the callback
 * @length: its length in bytes
 * @items: keys of a list call or of a watch of a prefix, valid only during the callback; NULL if a
 *         watch of a prefix ended without a change, not NULL if there is no key
 * @item_count: number of entries of @items
 * @retry_after_ms: wait before the next call that the store requests, in milliseconds, 0 for none
 * @reason: short text that explains any outcome but SGR_STORE_OK
 */
typedef struct
{
  sgr_store_outcome_t outcome;
  uint64_t generation;
  uint64_t version;
  const uint8_t *value;
  size_t length;
  const sgr_store_item_t *items;
  size_t item_count;
  uint64_t retry_after_ms;
  const char *reason;
} sgr_store_reply_t;

typedef void (*sgr_store_cb_t) (void *ctx, const sgr_store_reply_t *reply);

/**
 * struct sgr_store_call_t - a pending call to the store
 *
 * Valid until its callback starts or it is cancelled.
 */
typedef struct sgr_store_call_t sgr_store_call_t;
typedef struct sgr_store_t sgr_store_t;

/**
 * struct sgr_store_t - interface of an asynchronous client of the key-value service
 *
 * Each function returns before the callback of its call runs. Each callback runs exactly once,
 * unless the call is cancelled; the outcome of a cancelled write is unknown. A function returns
 * NULL, and no callback runs, if its input exceeds the limits of the store or memory is exhausted.
 *
 * @get: read a key
 * @list: read all keys that begin with a prefix; meant for at most about 500 keys
 * @swap: write a key if its version is @expected: 0 if it must not exist, SGR_STORE_ANY_VERSION
 *        for an unconditional write; a NULL value removes the key
 * @lease: acquire or renew a lease for a holder; a @ttl_ms of 0 releases it; the pointer is NULL if
 *         the client has no leases
 * @watch: wait until the version of a key is newer than @after and read it; ends after @wait_ms or
 *         the client's longest wait, whichever is shorter, without a value and with @after as the
 *         version
 * @watch_prefix: wait until a key that begins with a prefix is written or removed after the store
 *                had the version @after, and read all keys with the prefix; reads at once if the
 *                number of @after is 0. Ends after @wait_ms or the client's longest wait, whichever
 *                is shorter, without items; the version of the reply is the one to watch from next.
 *                An item whose value cannot be decoded has none. Watches do not affect each other.
 *                The pointer is NULL if the client cannot watch a prefix.
 * @cancel: cancel and free a pending call; its callback does not run
 * @calls: number of calls sent since the client was created; a watch counts as one call
 * @generation: highest generation of the store in any reply so far, 0 if none told it; it rises
 *              each time the store is restored to an earlier state, which loses acknowledged writes
 */
struct sgr_store_t
{
  sgr_store_call_t *(*get) (sgr_store_t *store, const char *key, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*list) (sgr_store_t *store, const char *prefix, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*swap) (sgr_store_t *store, const char *key, uint64_t expected,
                             const void *value, size_t length, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*lease) (sgr_store_t *store, const char *name, const char *holder,
                              uint32_t ttl_ms, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*watch) (sgr_store_t *store, const char *key, sgr_store_version_t after,
                              uint32_t wait_ms, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*watch_prefix) (sgr_store_t *store, const char *prefix,
                                     sgr_store_version_t after, uint32_t wait_ms, sgr_store_cb_t cb,
                                     void *ctx);
  void (*cancel) (sgr_store_t *store, sgr_store_call_t *call);
  uint64_t calls;
  uint64_t generation;
};

/**
 * sgr_store_generation_update() - record the generation that a reply tells; used by clients
 * @store: the store
 * @generation: generation of the reply, 0 if it tells none; then set to the highest one seen
 *
 * Return: false if the reply is of an earlier generation. It was sent before the store was restored
 * and does not describe the present state; a write that it acknowledges may be lost.
 */
static inline bool
sgr_store_generation_update (sgr_store_t *store, uint64_t *generation)
{
  if (*generation == 0)
    *generation = store->generation;
  if (*generation < store->generation)
    return false;
  store->generation = *generation;
  return true;
}

#endif
