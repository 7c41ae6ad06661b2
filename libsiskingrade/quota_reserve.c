#include "quota_reserve.h"

static uint64_t
part_of (uint64_t now_us, uint64_t window_us)
{
  uint64_t parts = SGR_QUOTA_RESERVE_PARTS - 1;

  return now_us / ((window_us + parts - 1) / parts);
}

bool
sgr_quota_reserve_take (sgr_quota_reserve_t *reserve, uint64_t now_us, uint64_t window_us,
                        uint32_t limit)
{
  uint64_t part = part_of (now_us, window_us);
  uint64_t used = 0;

  if (part >= reserve->newest + SGR_QUOTA_RESERVE_PARTS)
    reserve->newest = part - SGR_QUOTA_RESERVE_PARTS;
  while (reserve->newest < part)
    reserve->calls[++reserve->newest % SGR_QUOTA_RESERVE_PARTS] = 0;
  for (size_t i = 0; i < SGR_QUOTA_RESERVE_PARTS; i++)
    used += reserve->calls[i];
  if (used >= limit)
    return false;
  reserve->calls[part % SGR_QUOTA_RESERVE_PARTS]++;
  return true;
}

void
sgr_quota_reserve_return (sgr_quota_reserve_t *reserve, uint64_t start_us, uint64_t window_us)
{
  uint64_t part = part_of (start_us, window_us);

  if (part + SGR_QUOTA_RESERVE_PARTS > reserve->newest
      && reserve->calls[part % SGR_QUOTA_RESERVE_PARTS] > 0)
    reserve->calls[part % SGR_QUOTA_RESERVE_PARTS]--;
}
