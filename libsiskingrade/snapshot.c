#include "snapshot.h"

#include <stdlib.h>

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
sgr_snapshot_destroy (sgr_snapshot_t *snapshot)
{
  if (snapshot == NULL)
    return;
  free (snapshot->members);
  free (snapshot->policies);
  free (snapshot->routes);
  free (snapshot->accounts);
  free (snapshot->account_keys);
  free (snapshot);
}
