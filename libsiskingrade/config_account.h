#ifndef SGR_CONFIG_ACCOUNT_H
#define SGR_CONFIG_ACCOUNT_H

#include <jansson.h>

#include "account.h"
#include "config_rules.h"

/* Errors of this module never contain a value of "key_hashes", because somebody may have written a
   key in place of its hash. */

/**
 * struct sgr_config_accounts_t - the client accounts of a configuration
 * @is_in_use: the configuration has a list of accounts, which may be empty: calls need a key
 * @list: accounts in document order
 * @count: entries of @list
 * @keys: keys of all accounts, sorted by their hashes
 * @key_count: entries of @keys
 */
typedef struct
{
  bool is_in_use;
  sgr_account_t *list;
  size_t count;
  sgr_account_key_t *keys;
  size_t key_count;
} sgr_config_accounts_t;

/**
 * sgr_config_account_read() - parse an account without its keys, but check the keys
 * @json: object with "name" and "key_hashes", and optionally "priority", "rate_per_s", "burst" and
 * "regions"
 * @path: path of @json in its document
 * @rules: what the account may hold; with partial ones, it may have the key "full_name", and an
 *         account with the key "unusable" is invalid for the reason under that key
 * @account: receives the account, to be released with sgr_account_release(); an absent optional
 *           field is 0, see sgr_account_t
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK or SGR_ERR_INVALID; @account then needs no release.
 */
sgr_result_t sgr_config_account_read (const json_t *json, const char *path,
                                      const sgr_config_rules_t *rules, sgr_account_t *account,
                                      sgr_config_error_t *error);

/**
 * sgr_config_account_normalize() - write out all fields of a valid account
 * @json: a valid account
 *
 * Return: a new object, owned by the caller.
 */
json_t *sgr_config_account_normalize (const json_t *json);

/**
 * sgr_config_accounts_build() - read the list "accounts" of a document
 * @accounts: receives the accounts; release them with sgr_config_accounts_release() also after an
 *            error
 * @json: document that holds the list; without it, accounts are not in use
 * @path: path of @json, "" for the document itself
 * @rules: what the accounts may hold
 * @problems: with partial rules, receives what is not carried out
 * @error: receives the error, may be NULL
 *
 * With partial rules, an invalid account becomes an unusable one that keeps its valid keys, and a
 * key that is used twice belongs to the first of its accounts. Names that are used twice are not
 * checked.
 *
 * Return: SGR_OK; SGR_ERR_INVALID if an account is invalid or a key is used twice, unless the rules
 * are partial.
 */
sgr_result_t sgr_config_accounts_build (sgr_config_accounts_t *accounts, const json_t *json,
                                        const char *path, const sgr_config_rules_t *rules,
                                        sgr_config_problems_t *problems, sgr_config_error_t *error);

void sgr_config_accounts_release (sgr_config_accounts_t *accounts);

#endif
