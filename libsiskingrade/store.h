#ifndef SGR_STORE_H
#define SGR_STORE_H

#include "result.h"
#include "types.h"

#define SGR_STORE_VALUE_MAX 1000000
#define SGR_STORE_KEY_MAX 255
/* As expected version of a swap: write whatever the version is. */
#define SGR_STORE_ANY_VERSION UINT64_MAX

/**
 * enum sgr_store_outcome_t - what is known of a call to the store
 * @SGR_STORE_OK: done; for a read also if the key does not exist, for a watch also without news
 * @SGR_STORE_CONFLICT: not done, the key has another version or the lease another holder
 * @SGR_STORE_UNAVAILABLE: not done, the store did not take the call
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
 * struct sgr_store_item_t - one key of a list
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
 * struct sgr_store_reply_t - end of a call
 * @outcome: what is known
 * @version: version of the key after the call, 0 if it does not exist or is not known; of a
 *           lease, its fencing number
 * @value: the value of a read, NULL if there is none; valid during the callback
 * @length: its length in bytes
 * @items: keys of a list, valid during the callback
 * @item_count: entries of @items
 * @retry_after_ms: wait that the store asks for, 0 for none
 * @reason: short text for a call that is not ok
 */
typedef struct
{
  sgr_store_outcome_t outcome;
  uint64_t version;
  const uint8_t *value;
  size_t length;
  const sgr_store_item_t *items;
  size_t item_count;
  uint64_t retry_after_ms;
  const char *reason;
} sgr_store_reply_t;

typedef void (*sgr_store_cb_t) (void *ctx, const sgr_store_reply_t *reply);

/** struct sgr_store_call_t - a pending call, opaque; valid until its callback starts */
typedef struct sgr_store_call_t sgr_store_call_t;
typedef struct sgr_store_t sgr_store_t;

/**
 * struct sgr_store_t - asynchronous key-value service
 *
 * Each call returns before its callback runs, and each callback runs exactly once unless the call
 * is cancelled. A cancelled write is unknown. A call returns NULL, and no callback runs, if its
 * input exceeds the limits of the store.
 *
 * @get: read a key
 * @list: read the keys that begin with a prefix, at most about 500 of them
 * @swap: write a key if it has version @expected, 0 for a key that does not exist,
 *        SGR_STORE_ANY_VERSION for any; a NULL value removes the key
 * @lease: take or renew a lease for a holder; a @ttl_ms of 0 gives it up; NULL if the client offers
 *         none
 * @watch: read a key as soon as its version is above @after, at the latest after @wait_ms
 * @cancel: drop a pending call, its callback does not run
 * @calls: calls sent since the start, a watch counted as one
 */
struct sgr_store_t
{
  sgr_store_call_t *(*get) (sgr_store_t *store, const char *key, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*list) (sgr_store_t *store, const char *prefix, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*swap) (sgr_store_t *store, const char *key, uint64_t expected,
                             const void *value, size_t length, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*lease) (sgr_store_t *store, const char *name, const char *holder,
                              uint32_t ttl_ms, sgr_store_cb_t cb, void *ctx);
  sgr_store_call_t *(*watch) (sgr_store_t *store, const char *key, uint64_t after, uint32_t wait_ms,
                              sgr_store_cb_t cb, void *ctx);
  void (*cancel) (sgr_store_t *store, sgr_store_call_t *call);
  uint64_t calls;
};

#endif
