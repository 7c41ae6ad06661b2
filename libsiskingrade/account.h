#ifndef SGR_ACCOUNT_H
#define SGR_ACCOUNT_H

#include "idempotency_key.h"
#include "region.h"

/* Highest limits of an account. Higher ones could not be told from no limit. */
#define SGR_ACCOUNT_RATE_MAX 1000000000
#define SGR_ACCOUNT_BURST_MAX 1000000000
/* Longest key in bytes that siskingradectl takes; the shortest has one byte. */
#define SGR_ACCOUNT_KEY_BYTES_MAX 512
/* Bytes of the hash of a key in hexadecimal digits, with the terminating null. */
#define SGR_ACCOUNT_KEY_HEX_BYTES 33
/* Name of the account that calls of public routes belong to in queues and histograms. It is not an
   account of the configuration. */
#define SGR_ACCOUNT_PUBLIC_NAME "public"
/* Index in place of that of an account. */
#define SGR_ACCOUNT_NONE UINT32_MAX

/**
 * struct sgr_account_t - a client account; part of the configuration
 * @name: name of the account
 * @is_unusable: the account cannot be carried out; calls with its keys are refused
 * @full_name: name by which targets know the account, NULL if it is @name
 * @priority: rank under overload, 0 is served first; takes precedence over the route's priority
 * @rate_per_s: calls per second over all nodes, 0 for no limit
 * @burst: calls beyond the rate that may start at once, over all nodes
 * @regions: where its calls may be run
 * @memory: holds @full_name and the regions of a copy, see sgr_account_copy()
 */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  bool is_unusable;
  const char *full_name;
  uint32_t priority;
  uint32_t rate_per_s;
  uint32_t burst;
  sgr_region_list_t regions;
  void *memory;
} sgr_account_t;

/**
 * sgr_account_copy() - copy an account with what it refers to
 * @copy: receives the copy, to be released with sgr_account_release()
 * @account: the account
 */
void sgr_account_copy (sgr_account_t *copy, const sgr_account_t *account);

/** sgr_account_release() - free what a copy refers to */
void sgr_account_release (sgr_account_t *account);

/** sgr_accounts_copy() - array of copies of accounts, to be freed with sgr_accounts_free() */
sgr_account_t *sgr_accounts_copy (const sgr_account_t *accounts, size_t count);

/** sgr_accounts_free() - release the copies in an array and free it */
void sgr_accounts_free (sgr_account_t *accounts, size_t count);

/**
 * struct sgr_account_key_t - hash of a key that identifies an account
 * @hash: hash of the key; the key itself is not kept
 * @account: index of the account in the list of accounts
 */
typedef struct
{
  sgr_hash128_t hash;
  uint32_t account;
} sgr_account_key_t;

/**
 * sgr_account_key_hash() - hash of a key
 * @key: the key, not zero-terminated
 * @length: its length in bytes
 *
 * SipHash-2-4 with 16 bytes of output and a fixed key, so that all nodes and all configurations use
 * the same hashes.
 */
sgr_hash128_t sgr_account_key_hash (const char *key, size_t length);

/**
 * sgr_account_key_hash_format() - write the hash of a key as hexadecimal digits
 * @hash: the hash
 * @hex: receives the digits and a null
 */
void sgr_account_key_hash_format (sgr_hash128_t hash, char hex[SGR_ACCOUNT_KEY_HEX_BYTES]);

/**
 * sgr_account_key_hash_parse() - read 32 lower-case hexadecimal digits
 * @hex: the digits
 * @length: bytes of @hex
 * @hash: receives the hash; unchanged after an error
 *
 * Return: SGR_OK or SGR_ERR_INVALID.
 */
sgr_result_t sgr_account_key_hash_parse (const char *hex, size_t length, sgr_hash128_t *hash);

#endif
