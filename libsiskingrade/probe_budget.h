#ifndef SGR_PROBE_BUDGET_H
#define SGR_PROBE_BUDGET_H

#include "result.h"
#include "types.h"

/* Most probes of one gate in a window; a larger share is cut to this. */
#define SGR_PROBE_BUDGET_HELD_MAX 64

/**
 * struct sgr_probe_budget_config_t - budget of a whole service
 * @calls_per_s: probes of all gates together, calls a second
 * @bytes_per_s: bytes of these probes in both directions, bytes a second
 * @targets_max: most targets of the service at a time, at least 1; fixed for the life of the
 * service
 * @window_us: length of the windows for which the bound holds, microseconds, at least 1
 */
typedef struct
{
  uint32_t calls_per_s;
  uint32_t bytes_per_s;
  uint32_t targets_max;
  uint64_t window_us;
} sgr_probe_budget_config_t;

/**
 * struct sgr_probe_budget_held_t - tokens of one probe
 * @bytes: reserved bytes
 * @ended_us: when the probe ended
 * @state: free, probe active, or ended and waiting for its window to pass
 */
typedef struct
{
  uint64_t bytes;
  uint64_t ended_us;
  enum
  {
    SGR_PROBE_FREE = 0,
    SGR_PROBE_ACTIVE,
    SGR_PROBE_ENDED,
  } state;
} sgr_probe_budget_held_t;

/**
 * struct sgr_probe_budget_t - token buckets in calls and in bytes of one gate
 * @config: budget of the service
 * @share_calls: bucket size, calls
 * @share_bytes: bucket size, bytes
 * @filled_us: the buckets are empty up to and including this time
 * @held_calls: calls taken out
 * @held_bytes: bytes taken out
 * @held: probes that hold tokens
 * @sent_calls: probes reserved since the start
 * @sent_bytes: bytes reserved since the start
 * @denied: reservations refused since the start
 *
 * A gate's buckets hold the service's budget for one window divided by @targets_max, rounded down.
 * The tokens of a probe return one window after the probe ended, not at a steady rate: a bucket
 * with a burst and a steady rate would let both pass within one window.
 *
 * Proved bounds, for any closed window of @window_us, in calls and in bytes, over all gates:
 *
 * 1. The probes reserved in the window cost at most the largest budget that any gate held in it.
 * 2. The probes active at any moment of the window cost in full at most the largest budget that any
 *    gate held from the earliest reservation of these probes to the end of the window. The two
 *    differ only while probes reserved before a lowering are still active: these are not recalled.
 *
 * Take one gate and, of its probes that are counted, the one reserved last. At its reservation each
 * other one had not ended, or had ended at most a window ago, and so still held its tokens; their
 * sum therefore was within the share in force then. Summed over at most @targets_max gates this is
 * at most the budget. A restarted gate stays empty for more than one window, so no window contains
 * probes of two lives, provided that the earlier process has ended. A lowered budget cuts the
 * buckets at once: tokens held by earlier probes count against the smaller bucket. A raised one
 * adds its difference at once. Different values of @targets_max at the same time would break the
 * sum, so that a change of it is refused.
 *
 * A share below one call in a window allows no probe at all.
 */
typedef struct
{
  sgr_probe_budget_config_t config;
  uint64_t share_calls;
  uint64_t share_bytes;
  uint64_t filled_us;
  uint64_t held_calls;
  uint64_t held_bytes;
  sgr_probe_budget_held_t held[SGR_PROBE_BUDGET_HELD_MAX];
  uint64_t sent_calls;
  uint64_t sent_bytes;
  uint64_t denied;
} sgr_probe_budget_t;

/**
 * sgr_probe_budget_init() - start with empty buckets
 * @budget: the budget
 * @config: budget of the service
 * @now_us: start of the gate
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if @targets_max or @window_us is 0; no probe is allowed then.
 */
sgr_result_t sgr_probe_budget_init (sgr_probe_budget_t *budget,
                                    const sgr_probe_budget_config_t *config, uint64_t now_us);

/**
 * sgr_probe_budget_update() - take over a changed budget, at once
 * @budget: the budget
 * @config: new budget; @targets_max and @window_us must be unchanged
 *
 * Return: SGR_OK; SGR_ERR_INVALID if a fixed value differs: the buckets are then cut if the new
 * values give a smaller share, and never enlarged.
 */
sgr_result_t sgr_probe_budget_update (sgr_probe_budget_t *budget,
                                      const sgr_probe_budget_config_t *config);

/**
 * sgr_probe_budget_reserve() - take the whole cost of a probe before it is sent
 * @budget: the budget
 * @now_us: the time; the probe must not be sent earlier
 * @bytes: most bytes that the probe moves in both directions, headers of the transport included;
 *   the probe must be broken off at this number
 * @probe: receives the handle for sgr_probe_budget_release()
 *
 * Return: SGR_OK, or SGR_ERR_LIMIT: do not send.
 */
sgr_result_t sgr_probe_budget_reserve (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes,
                                       uint32_t *probe);

/**
 * sgr_probe_budget_release() - note that a probe moves no further bytes; its tokens return one
 * window later
 * @budget: the budget
 * @now_us: the time
 * @probe: the handle
 */
void sgr_probe_budget_release (sgr_probe_budget_t *budget, uint64_t now_us, uint32_t probe);

/**
 * sgr_probe_budget_next_us() - earliest time at which a reservation may succeed
 * @budget: the budget
 * @now_us: the time
 * @bytes: cost of the probe
 *
 * Return: the time, UINT64_MAX if only the end of an active probe or a larger budget can allow it.
 */
uint64_t sgr_probe_budget_next_us (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes);

#endif
