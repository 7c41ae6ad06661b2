#include "snapshot.h"

#include <stdatomic.h>
#include <stdlib.h>

sgr_snapshot_t *
sgr_snapshot_create (size_t members, size_t policies)
{
  sgr_snapshot_t *snapshot = calloc (1, sizeof *snapshot);

  sgr_invariant (snapshot != NULL);
  atomic_init (&snapshot->references, 1);
  snapshot->members = calloc (members + 1, sizeof *snapshot->members);
  snapshot->policies = calloc (policies + 1, sizeof *snapshot->policies);
  sgr_invariant (snapshot->members != NULL && snapshot->policies != NULL);
  return snapshot;
}

sgr_snapshot_t *
sgr_snapshot_ref (sgr_snapshot_t *snapshot)
{
  atomic_fetch_add (&snapshot->references, 1);
  return snapshot;
}

void
sgr_snapshot_unref (sgr_snapshot_t *snapshot)
{
  if (snapshot == NULL || atomic_fetch_sub (&snapshot->references, 1) != 1)
    return;
  free (snapshot->members);
  free (snapshot->policies);
  free (snapshot);
}
