#include "snapshot.h"

#include <stdlib.h>
#include <string.h>

sgr_snapshot_t *
sgr_snapshot_create (size_t members, size_t policies, size_t routes)
{
  sgr_snapshot_t *snapshot = calloc (1, sizeof *snapshot);

  sgr_invariant (snapshot != NULL);
  snapshot->members = calloc (members + 1, sizeof *snapshot->members);
  snapshot->policies = calloc (policies + 1, sizeof *snapshot->policies);
  snapshot->routes = calloc (routes + 1, sizeof *snapshot->routes);
  sgr_invariant (snapshot->members != NULL && snapshot->policies != NULL
                 && snapshot->routes != NULL);
  return snapshot;
}

void
sgr_snapshot_accounts_set (sgr_snapshot_t *snapshot, const sgr_account_t *accounts, size_t count,
                           const sgr_account_key_t *keys, size_t key_count)
{
  snapshot->has_accounts = true;
  if (count == 0)
    return;
  snapshot->accounts = sgr_accounts_copy (accounts, count);
  snapshot->account_keys = calloc (key_count + 1, sizeof *keys);
  sgr_invariant (snapshot->account_keys != NULL);
  if (key_count > 0)
    memcpy (snapshot->account_keys, keys, key_count * sizeof *keys);
  snapshot->account_count = count;
  snapshot->account_key_count = key_count;
}

void
sgr_snapshot_destroy (sgr_snapshot_t *snapshot)
{
  if (snapshot == NULL)
    return;
  free (snapshot->members);
  free (snapshot->policies);
  sgr_routes_free (snapshot->routes, snapshot->route_count);
  sgr_accounts_free (snapshot->accounts, snapshot->account_count);
  free (snapshot->account_keys);
  free (snapshot);
}
