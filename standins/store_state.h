#ifndef STORE_STATE_H
#define STORE_STATE_H

#include "buffer.h"
#include "rng.h"
#include "types.h"

#define STORE_KEYS_MAX 4096
#define STORE_LEASES_MAX 256

/** struct store_key_t - one key; @version rises with every write and is never used twice */
typedef struct
{
  char *name;
  uint64_t version;
  bool exists;
  sgr_buffer_t value;
  bool has_previous;
  uint64_t previous_version;
  sgr_buffer_t previous;
} store_key_t;

typedef struct
{
  char name[256];
  char holder[256];
  uint64_t expires_us;
  uint64_t fence;
} store_lease_t;

/** struct store_bucket_t - token bucket of a rate limit, per second; 0 for none */
typedef struct
{
  uint32_t rate;
  double tokens;
  uint64_t filled_us;
} store_bucket_t;

/** struct store_state_t - the content of the stand-in */
typedef struct
{
  store_key_t keys[STORE_KEYS_MAX];
  size_t key_count;
  uint64_t version;
  store_lease_t leases[STORE_LEASES_MAX];
  size_t lease_count;
} store_state_t;

/** store_key_find() - a key, made if there is room and @create is true; else NULL */
store_key_t *store_key_find (store_state_t *state, const char *name, bool create);

/** store_key_write() - compare-and-swap; false if the version differs; NULL @value removes */
bool store_key_write (store_state_t *state, store_key_t *key, uint64_t expected, const void *value,
                      size_t length);

/** store_key_version() - current version, 0 if the key does not exist */
uint64_t store_key_version (const store_key_t *key);

/** store_lease_take() - take or renew; NULL if another holder has it; a @ttl_us of 0 gives it up */
store_lease_t *store_lease_take (store_state_t *state, const char *name, const char *holder,
                                 uint64_t ttl_us, uint64_t now_us);

bool store_bucket_take (store_bucket_t *bucket, uint64_t now_us);

#endif
