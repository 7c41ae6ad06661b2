#ifndef STORE_STATE_H
#define STORE_STATE_H

#include "buffer.h"
#include "rng.h"
#include "types.h"

#define STORE_KEYS_MAX 4096
#define STORE_LEASES_MAX 256

/**
 * struct store_key_t - one key
 * @name: name of the key
 * @version: version of the last write; every write gets a version that no key had before
 * @exists: false before the first write and after the key was removed
 * @value: the value
 * @has_previous: whether @previous_value and @previous_version are set
 * @previous_version: version before the last write
 * @previous_value: value before the last write, for stale reads
 */
typedef struct
{
  char *name;
  uint64_t version;
  bool exists;
  sgr_buffer_t value;
  bool has_previous;
  uint64_t previous_version;
  sgr_buffer_t previous_value;
} store_key_t;

/**
 * struct store_lease_t - one lease
 * @name: name of the lease
 * @holder: its last holder
 * @expires_us: time at which the lease expires, 0 for an expired lease
 * @fencing_token: number that rises with each acquisition of the lease while it is free or expired
 */
typedef struct
{
  char name[256];
  char holder[256];
  uint64_t expires_us;
  uint64_t fencing_token;
} store_lease_t;

/**
 * struct store_bucket_t - token bucket of a rate limit
 * @rate: tokens per second and capacity of the bucket; 0 for no limit
 * @tokens: tokens left
 * @refilled_us: time of the last refill
 */
typedef struct
{
  uint32_t rate;
  double tokens;
  uint64_t refilled_us;
} store_bucket_t;

/**
 * struct store_state_t - keys and leases of the stand-in
 * @last_version: last number that was assigned; versions of keys and fencing tokens are numbered in
 *                one sequence
 */
typedef struct
{
  store_key_t keys[STORE_KEYS_MAX];
  size_t key_count;
  uint64_t last_version;
  store_lease_t leases[STORE_LEASES_MAX];
  size_t lease_count;
} store_state_t;

/**
 * store_key_find() - find a key by its name
 * @create: whether to add a key that is not found; it does not exist before its first write
 *
 * Return: the key; NULL if there is none, or if it cannot be added because STORE_KEYS_MAX is
 * reached.
 */
store_key_t *store_key_find (store_state_t *state, const char *name, bool create);

/**
 * store_key_write() - replace or remove a value by compare-and-swap
 * @expected_version: version that the key must have, 0 for a key that does not exist
 * @value: new value, NULL to remove the key
 * @length: bytes of @value
 *
 * Return: false if the key has another version, which leaves the key unchanged.
 */
bool store_key_write (store_state_t *state, store_key_t *key, uint64_t expected_version,
                      const void *value, size_t length);

/** store_key_version() - current version of a key; 0 if @key is NULL or does not exist */
uint64_t store_key_version (const store_key_t *key);

/**
 * store_lease_acquire() - acquire, renew or release a lease
 * @name: name of the lease
 * @holder: who acquires it
 * @ttl_us: time until the lease expires in microseconds, 0 to release it
 * @now_us: current time
 *
 * Return: the lease; NULL if another holder has it or STORE_LEASES_MAX is reached.
 */
store_lease_t *store_lease_acquire (store_state_t *state, const char *name, const char *holder,
                                    uint64_t ttl_us, uint64_t now_us);

/** store_state_copy() - replace a state, zeroed at first, by a copy of another one */
void store_state_copy (store_state_t *to, const store_state_t *from);

/** store_bucket_consume() - refill a bucket and consume one token; false if there is none */
bool store_bucket_consume (store_bucket_t *bucket, uint64_t now_us);

#endif
