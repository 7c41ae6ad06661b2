#include "fleet_size.h"

/* Time without a new record after which the records are taken as complete. */
#define REST_US (2 * SGR_USEC_PER_SEC)

uint64_t
sgr_fleet_size_update (sgr_fleet_size_t *fleet, uint64_t now_us, const sgr_fleet_view_t *view)
{
  /* Nodes that leave and return change the size, but are not news. */
  if (view->records > fleet->records_max)
    {
      fleet->records_max = view->records;
      fleet->grown_us = now_us;
    }
  if (view->has_synced && now_us >= fleet->grown_us + REST_US)
    fleet->has_settled = true;
  fleet->size = view->size;
  if (!fleet->has_settled && view->listed > fleet->size)
    fleet->size = view->listed;
  if (fleet->has_settled || (view->listed > 0 && 2 * view->alive > fleet->size))
    fleet->is_known = true;
  return fleet->has_settled ? 0 : now_us + REST_US;
}
