#ifndef SGR_ACCOUNT_TABLE_H
#define SGR_ACCOUNT_TABLE_H

#include "account.h"

/** The client accounts of one configuration and a hash table of their keys. */
typedef struct sgr_account_table_t sgr_account_table_t;

/**
 * sgr_account_table_create() - create a table of accounts
 * @accounts: the accounts; copied
 * @count: entries of @accounts
 * @keys: their keys; copied; no hash occurs twice
 * @key_count: entries of @keys
 *
 * Return: the table; the process aborts if memory runs out or a key has no account.
 */
sgr_account_table_t *sgr_account_table_create (const sgr_account_t *accounts, size_t count,
                                               const sgr_account_key_t *keys, size_t key_count);
void sgr_account_table_destroy (sgr_account_table_t *table);

/** sgr_account_table_count() - number of accounts; NULL is a table without any */
size_t sgr_account_table_count (const sgr_account_table_t *table);

/**
 * sgr_account_table_get() - account of an index
 * @table: the table, may be NULL
 * @account: index of an account in the configuration, or any other number
 *
 * Return: the account, valid as long as the table; NULL if there is none. An index belongs to one
 * configuration: a table of another revision may have another account under it.
 */
const sgr_account_t *sgr_account_table_get (const sgr_account_table_t *table, uint32_t account);

/**
 * sgr_account_table_find() - account of a key
 * @table: the table, may be NULL
 * @key: the key, not zero-terminated
 * @length: its length in bytes
 *
 * Stored hashes are compared in constant time.
 *
 * Return: index of the account, SGR_ACCOUNT_NONE for an unknown key.
 */
uint32_t sgr_account_table_find (const sgr_account_table_t *table, const char *key, size_t length);

/** sgr_account_table_bytes() - memory of a table in bytes */
size_t sgr_account_table_bytes (const sgr_account_table_t *table);

#endif
