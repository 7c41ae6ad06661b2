/* Look-up of the account of a key: time for known and unknown keys, with the parts that the hash
   takes, against keyed BLAKE2b as the other hash that was weighed; and memory by the number of
   keys. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "account_table.h"
#include "rng.h"
#include "types.h"

#define KEY_BYTES 20
#define KEYS_PER_ACCOUNT 10
#define LOOKUPS 500000
#define ROUNDS 5
/* Longest time that a look-up may take, see docs/design/account-load.md. */
#define GOAL_NS 200.0

/* Keys of one run: the first half is in the table, the second half is not. */
typedef struct
{
  char (*texts)[KEY_BYTES];
  size_t count;
  sgr_account_table_t *table;
} keys_t;

/* Sum of the results, printed so that the compiler keeps the look-ups. */
static uint64_t checksum;

static void
keys_create (keys_t *keys, size_t count, sgr_rng_t *rng)
{
  size_t account_count = (count + KEYS_PER_ACCOUNT - 1) / KEYS_PER_ACCOUNT;
  sgr_account_t *accounts = calloc (account_count, sizeof *accounts);
  sgr_account_key_t *hashes = calloc (count, sizeof *hashes);

  keys->count = count;
  keys->texts = calloc (2 * count, KEY_BYTES);
  sgr_invariant (accounts != NULL && hashes != NULL && keys->texts != NULL);
  for (size_t i = 0; i < account_count; i++)
    snprintf (accounts[i].name, sizeof accounts[i].name, "account-%zu", i);
  for (size_t i = 0; i < 2 * count; i++)
    for (size_t j = 0; j < KEY_BYTES; j++)
      keys->texts[i][j] = (char)('a' + sgr_rng_below (rng, 26));
  for (size_t i = 0; i < count; i++)
    hashes[i] = (sgr_account_key_t){ .hash = sgr_account_key_hash (keys->texts[i], KEY_BYTES),
                                     .account = (uint32_t)(i / KEYS_PER_ACCOUNT) };
  keys->table = sgr_account_table_create (accounts, account_count, hashes, count);
  free (accounts);
  free (hashes);
}

static void
keys_release (keys_t *keys)
{
  sgr_account_table_destroy (keys->table);
  free (keys->texts);
}

static void
lookup_run (const keys_t *keys, const char *text)
{
  checksum += sgr_account_table_find (keys->table, text, KEY_BYTES);
}

static void
siphash_run (const keys_t *keys, const char *text)
{
  checksum += sgr_account_key_hash (text, KEY_BYTES).low;
}

static void
blake2b_run (const keys_t *keys, const char *text)
{
  static const unsigned char key[crypto_generichash_KEYBYTES] = "siskingrade account key";
  unsigned char hash[crypto_generichash_BYTES_MIN];

  crypto_generichash (hash, sizeof hash, (const unsigned char *)text, KEY_BYTES, key, sizeof key);
  checksum += hash[0];
}

/* Nanoseconds for one run with a random key; the median of a few rounds. */
static double
measure (const keys_t *keys, void (*run) (const keys_t *keys, const char *text), size_t first,
         sgr_rng_t *rng)
{
  double rounds[ROUNDS] = { 0 };

  for (int round = 0; round < ROUNDS; round++)
    {
      uint64_t start_us = sgr_clock_monotonic_us ();
      double ns;
      int at = round;

      for (int i = 0; i < LOOKUPS; i++)
        run (keys, keys->texts[first + sgr_rng_below (rng, keys->count)]);
      ns = (double)(sgr_clock_monotonic_us () - start_us) * 1000 / LOOKUPS;
      for (; at > 0 && rounds[at - 1] > ns; at--)
        rounds[at] = rounds[at - 1];
      rounds[at] = ns;
    }
  return rounds[ROUNDS / 2];
}

int
main (void)
{
  static const size_t counts[] = { 100, 1000, 10000, 100000 };
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 1);
  printf ("nanoseconds, median of %d rounds of %d random keys of %d bytes; goal %.0f\n", ROUNDS,
          LOOKUPS, KEY_BYTES, GOAL_NS);
  printf ("%8s %10s %10s %10s %10s %12s %10s\n", "keys", "known", "unknown", "siphash", "blake2b",
          "known/goal", "bytes/key");
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      keys_t keys;
      double known, unknown, siphash, blake2b;

      keys_create (&keys, counts[i], &rng);
      known = measure (&keys, lookup_run, 0, &rng);
      unknown = measure (&keys, lookup_run, keys.count, &rng);
      siphash = measure (&keys, siphash_run, 0, &rng);
      blake2b = measure (&keys, blake2b_run, 0, &rng);
      printf ("%8zu %10.0f %10.0f %10.0f %10.0f %12.2f %10.0f\n", counts[i], known, unknown,
              siphash, blake2b, known / GOAL_NS,
              (double)sgr_account_table_bytes (keys.table) / (double)counts[i]);
      keys_release (&keys);
    }
  printf ("checksum %lu\n", checksum);
  return 0;
}
