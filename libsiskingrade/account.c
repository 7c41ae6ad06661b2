#include "account.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HASH_HEX_DIGITS (SGR_ACCOUNT_KEY_HEX_BYTES - 1)

/* Key of the hash. It must never change: the hashes are part of configurations. */
static const unsigned char hash_key[crypto_shorthash_siphashx24_KEYBYTES]
    = { 's', 'i', 's', 'k', 'i', 'n', 'g', 'r', 'a', 'd', 'e', '-', 'a', 'c', 'c', 't' };

/* Reads 8 bytes, the most significant one first, so that the hash is the same on all machines. */
static uint64_t
word_read (const unsigned char *bytes)
{
  uint64_t word = 0;

  for (int i = 0; i < 8; i++)
    word = word << 8 | bytes[i];
  return word;
}

void
sgr_account_copy (sgr_account_t *copy, const sgr_account_t *account)
{
  size_t ids_bytes = account->regions.count * sizeof *account->regions.ids;
  size_t name_bytes = account->full_name != NULL ? strlen (account->full_name) + 1 : 0;
  char *memory = malloc (ids_bytes + name_bytes + 1);

  sgr_invariant (memory != NULL);
  *copy = *account;
  copy->memory = memory;
  copy->regions.ids = (sgr_region_id_t *)(void *)memory;
  if (ids_bytes > 0)
    memcpy (memory, account->regions.ids, ids_bytes);
  if (name_bytes > 0)
    copy->full_name = memcpy (memory + ids_bytes, account->full_name, name_bytes);
}

void
sgr_account_release (sgr_account_t *account)
{
  free (account->memory);
  account->memory = NULL;
}

sgr_account_t *
sgr_accounts_copy (const sgr_account_t *accounts, size_t count)
{
  sgr_account_t *copies = calloc (count + 1, sizeof *copies);

  sgr_invariant (copies != NULL);
  for (size_t i = 0; i < count; i++)
    sgr_account_copy (&copies[i], &accounts[i]);
  return copies;
}

void
sgr_accounts_free (sgr_account_t *accounts, size_t count)
{
  for (size_t i = 0; accounts != NULL && i < count; i++)
    sgr_account_release (&accounts[i]);
  free (accounts);
}

sgr_hash128_t
sgr_account_key_hash (const char *key, size_t length)
{
  unsigned char bytes[crypto_shorthash_siphashx24_BYTES];

  /* Keyed BLAKE2b takes about 420 ns for a key of 20 bytes, SipHash about 35 ns; a look-up may take
     200 ns. See bench_account. */
  crypto_shorthash_siphashx24 (bytes, (const unsigned char *)key, length, hash_key);
  return (sgr_hash128_t){ word_read (bytes), word_read (bytes + 8) };
}

void
sgr_account_key_hash_format (sgr_hash128_t hash, char hex[SGR_ACCOUNT_KEY_HEX_BYTES])
{
  snprintf (hex, SGR_ACCOUNT_KEY_HEX_BYTES, "%016lx%016lx", hash.high, hash.low);
}

sgr_result_t
sgr_account_key_hash_parse (const char *hex, size_t length, sgr_hash128_t *hash)
{
  uint64_t words[2] = { 0, 0 };

  if (length != HASH_HEX_DIGITS)
    return SGR_ERR_INVALID;
  for (size_t i = 0; i < HASH_HEX_DIGITS; i++)
    {
      uint64_t *word = &words[i / 16];

      if (hex[i] >= '0' && hex[i] <= '9')
        *word = *word << 4 | (uint64_t)(hex[i] - '0');
      else if (hex[i] >= 'a' && hex[i] <= 'f')
        *word = *word << 4 | (uint64_t)(hex[i] - 'a' + 10);
      else
        return SGR_ERR_INVALID;
    }
  *hash = (sgr_hash128_t){ words[0], words[1] };
  return SGR_OK;
}
