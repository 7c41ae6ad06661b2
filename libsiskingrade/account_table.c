#include "account_table.h"

#include <stdlib.h>
#include <string.h>

/* Smallest number of slots. It is a power of two, so that each larger number is one, too. */
#define SLOTS_MIN 8

/**
 * struct sgr_account_table_t - open addressing with linear probing
 * @accounts: the accounts, by index
 * @count: entries of @accounts
 * @slots: keys; an empty slot has the account SGR_ACCOUNT_NONE
 * @mask: number of slots less 1; at most half of the slots are used
 */
struct sgr_account_table_t
{
  sgr_account_t *accounts;
  size_t count;
  sgr_account_key_t *slots;
  size_t mask;
};

static void
key_add (sgr_account_table_t *table, const sgr_account_key_t *key)
{
  size_t slot = key->hash.low & table->mask;

  sgr_invariant (key->account < table->count);
  while (table->slots[slot].account != SGR_ACCOUNT_NONE)
    slot = (slot + 1) & table->mask;
  table->slots[slot] = *key;
}

sgr_account_table_t *
sgr_account_table_create (const sgr_account_t *accounts, size_t count,
                          const sgr_account_key_t *keys, size_t key_count)
{
  sgr_account_table_t *table = calloc (1, sizeof *table);
  size_t slots = SLOTS_MIN;

  while (slots < 2 * key_count)
    slots *= 2;
  sgr_invariant (table != NULL);
  table->accounts = sgr_accounts_copy (accounts, count);
  table->slots = calloc (slots, sizeof *table->slots);
  sgr_invariant (table->slots != NULL);
  table->count = count;
  table->mask = slots - 1;
  for (size_t i = 0; i < slots; i++)
    table->slots[i].account = SGR_ACCOUNT_NONE;
  for (size_t i = 0; i < key_count; i++)
    key_add (table, &keys[i]);
  return table;
}

void
sgr_account_table_destroy (sgr_account_table_t *table)
{
  if (table == NULL)
    return;
  sgr_accounts_free (table->accounts, table->count);
  free (table->slots);
  free (table);
}

size_t
sgr_account_table_count (const sgr_account_table_t *table)
{
  return table != NULL ? table->count : 0;
}

const sgr_account_t *
sgr_account_table_get (const sgr_account_table_t *table, uint32_t account)
{
  return account < sgr_account_table_count (table) ? &table->accounts[account] : NULL;
}

/* Compares all bits, so that the time does not tell how many of them are equal. */
static bool
hash_is_equal (sgr_hash128_t a, sgr_hash128_t b)
{
  return ((a.high ^ b.high) | (a.low ^ b.low)) == 0;
}

uint32_t
sgr_account_table_find (const sgr_account_table_t *table, const char *key, size_t length)
{
  sgr_hash128_t hash;
  size_t slot;

  if (sgr_account_table_count (table) == 0 || length == 0)
    return SGR_ACCOUNT_NONE;
  hash = sgr_account_key_hash (key, length);
  slot = hash.low & table->mask;
  while (table->slots[slot].account != SGR_ACCOUNT_NONE
         && !hash_is_equal (table->slots[slot].hash, hash))
    slot = (slot + 1) & table->mask;
  return table->slots[slot].account;
}

size_t
sgr_account_table_bytes (const sgr_account_table_t *table)
{
  return sizeof *table + (table->count + 1) * sizeof *table->accounts
         + (table->mask + 1) * sizeof *table->slots;
}
