#ifndef SGR_ACCOUNT_H
#define SGR_ACCOUNT_H

#include "idempotency_key.h"

/**
 * struct sgr_account_t - a client account; part of the configuration
 * @name: name of the account
 * @priority: rank under overload, 0 is served first; takes precedence over the route's priority
 * @rate_per_s: calls per second over all nodes, 0 for no limit
 * @burst: calls beyond the rate that may start at once, over all nodes
 */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  uint32_t priority;
  uint32_t rate_per_s;
  uint32_t burst;
} sgr_account_t;

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

#endif
