#include "region.h"

#include <string.h>
#include <xxhash.h>

sgr_region_id_t
sgr_region_id_of (const char *name)
{
  return name[0] != '\0' ? XXH64 (name, strlen (name), 0) : 0;
}

/* Returns the bit of a region, 0 if the table does not have it. */
static sgr_region_mask_t
bit_find (const sgr_region_table_t *table, sgr_region_id_t id)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (table->ids[i] == id)
      return UINT64_C (1) << i;
  return 0;
}

sgr_region_mask_t
sgr_region_table_add (sgr_region_table_t *table, sgr_region_id_t id)
{
  sgr_region_mask_t bit = id != 0 ? bit_find (table, id) : 0;

  if (bit != 0 || id == 0 || table->count == SGR_REGIONS_MAX)
    return bit;
  table->ids[table->count] = id;
  return UINT64_C (1) << table->count++;
}

void
sgr_region_limit_narrow (sgr_region_limit_t *limit, const sgr_region_table_t *table,
                         const sgr_region_list_t *list)
{
  sgr_region_mask_t mask = 0;

  if (!list->is_bound)
    return;
  for (size_t i = 0; i < list->count; i++)
    mask |= bit_find (table, list->ids[i]);
  limit->mask = limit->is_bound ? limit->mask & mask : mask;
  limit->is_bound = true;
}
