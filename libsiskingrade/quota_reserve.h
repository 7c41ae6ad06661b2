#ifndef SGR_QUOTA_RESERVE_H
#define SGR_QUOTA_RESERVE_H

#include "types.h"

/* Parts of a window; the oldest part counts in full. */
#define SGR_QUOTA_RESERVE_PARTS 9

/**
 * struct sgr_quota_reserve_t - calls that a node started without a token in the last window;
 * zero-initialized, there are none
 * @newest: number of the newest part since the start of the clock
 * @calls: calls in each part; part N is stored at N modulo SGR_QUOTA_RESERVE_PARTS
 */
typedef struct
{
  uint64_t newest;
  uint32_t calls[SGR_QUOTA_RESERVE_PARTS];
} sgr_quota_reserve_t;

/**
 * sgr_quota_reserve_take() - count a call if there is room
 * @window_us: length of the window
 * @limit: calls in a window
 *
 * Return: whether the call may start.
 */
bool sgr_quota_reserve_take (sgr_quota_reserve_t *reserve, uint64_t now_us, uint64_t window_us,
                             uint32_t limit);

/** sgr_quota_reserve_return() - take back the call that started at @start_us, if it still counts */
void sgr_quota_reserve_return (sgr_quota_reserve_t *reserve, uint64_t start_us, uint64_t window_us);

#endif
