#ifndef SGR_PROBE_BUDGET_H
#define SGR_PROBE_BUDGET_H

#include "result.h"
#include "types.h"

/* Maximum number of probes of one gate within a window; a larger share is reduced to this. */
#define SGR_PROBE_BUDGET_RESERVATIONS_MAX 64

/**
 * struct sgr_probe_budget_config_t - probe budget of a whole service
 * @calls_per_s: maximum rate of probes of all gates together, calls per second
 * @bytes_per_s: maximum rate of the bytes of these probes in both directions, bytes per second
 * @targets_max: maximum number of targets of the service at a time, at least 1; must not change as
 * long as the service exists
 * @window_us: length of the time windows in which the budget is not exceeded, microseconds, at
 * least 1
 */
typedef struct
{
  uint32_t calls_per_s;
  uint32_t bytes_per_s;
  uint32_t targets_max;
  uint64_t window_us;
} sgr_probe_budget_config_t;

/**
 * struct sgr_probe_reservation_t - tokens in use by one probe
 * @bytes: reserved bytes
 * @ended_us: when the probe ended, monotonic microseconds
 * @state: FREE: this element is not in use; ACTIVE: the probe may still send or receive bytes;
 * ENDED: the probe has ended, and its tokens return one window after that
 */
typedef struct
{
  uint64_t bytes;
  uint64_t ended_us;
  enum
  {
    SGR_PROBE_RESERVATION_FREE = 0,
    SGR_PROBE_RESERVATION_ACTIVE,
    SGR_PROBE_RESERVATION_ENDED,
  } state;
} sgr_probe_reservation_t;

/**
 * struct sgr_probe_budget_t - two token buckets of one gate, one in calls and one in bytes
 *
 * A probe is a request that a gate itself sends to its target, such as a load query. It counts as
 * one call.
 *
 * @config: budget of the service
 * @share_calls: size of the bucket in calls
 * @share_bytes: size of the bucket in bytes
 * @empty_until_us: the buckets are empty up to and including this time, monotonic microseconds;
 * UINT64_MAX if no probe is ever allowed
 * @used_calls: calls in use by the elements of @reservations
 * @used_bytes: bytes in use by the elements of @reservations
 * @reservations: probes whose tokens are in use
 * @reserved_calls_total: probes reserved since the start
 * @reserved_bytes_total: bytes reserved since the start
 * @denied: reservations denied since the start
 *
 * The size of a gate's buckets is its share: the service's budget for one window divided by
 * @targets_max, rounded down. A share of less than one call per window allows no probe at all.
 *
 * The tokens of a probe return one window after the probe ended. A bucket that refills at a steady
 * rate would exceed the budget, since a full bucket and the tokens that refill it could be spent
 * within the same window.
 *
 * Two bounds hold over all gates together, in calls and in bytes, for every window of @window_us
 * that includes both its ends:
 *
 * 1. The total cost of the probes reserved in the window is at most the largest budget that was in
 *    force at any gate during the window.
 * 2. The total cost of the probes that are active at any time in the window, each counted in full,
 *    is at most the largest budget that was in force at any gate from the earliest reservation of
 *    these probes to the end of the window. This bound is larger than the first one only if the
 *    budget was lowered while probes were active, because active probes are not stopped.
 *
 * Proof: consider the counted probes of one gate and the one among them that was reserved last.
 * When it was reserved, each of the others was active or had ended at most one window earlier, so
 * its tokens were still in use. The sum of all of them was therefore within the share in force at
 * that time. There are at most @targets_max gates, so the sum over all gates is within the budget.
 *
 * Restarts: the buckets of a restarted gate stay empty for more than one window, so that no window
 * contains probes of two boots. This requires that the earlier process has ended.
 *
 * Changes: a lowered budget shrinks the buckets at once, and tokens in use count against the
 * smaller size. A raised budget enlarges them at once. A change of @targets_max is refused, because
 * the sum over all gates is not bounded while gates divide by different values.
 */
typedef struct
{
  sgr_probe_budget_config_t config;
  uint64_t share_calls;
  uint64_t share_bytes;
  uint64_t empty_until_us;
  uint64_t used_calls;
  uint64_t used_bytes;
  sgr_probe_reservation_t reservations[SGR_PROBE_BUDGET_RESERVATIONS_MAX];
  uint64_t reserved_calls_total;
  uint64_t reserved_bytes_total;
  uint64_t denied;
} sgr_probe_budget_t;

/**
 * sgr_probe_budget_init() - set up buckets that stay empty for the first window
 * @budget: the budget
 * @config: budget of the service; may be the member @config of @budget
 * @now_us: start of the gate, monotonic microseconds
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if @targets_max or @window_us is 0; no probe is allowed then.
 */
sgr_result_t sgr_probe_budget_init (sgr_probe_budget_t *budget,
                                    const sgr_probe_budget_config_t *config, uint64_t now_us);

/**
 * sgr_probe_budget_update() - apply a changed budget at once
 * @budget: the budget
 * @config: new budget; @targets_max and @window_us must be unchanged
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if @targets_max or @window_us differs. After this error the
 * old budget stays, but the buckets shrink to the share of the new budget if that is smaller.
 * Nothing changes if the new @targets_max is 0.
 */
sgr_result_t sgr_probe_budget_update (sgr_probe_budget_t *budget,
                                      const sgr_probe_budget_config_t *config);

/**
 * sgr_probe_budget_reserve() - reserve the whole cost of a probe before it is sent
 * @budget: the budget
 * @now_us: current monotonic time, microseconds; the probe must not be sent earlier
 * @bytes: maximum number of bytes of the probe in both directions, transport headers included; the
 *   probe must be aborted when it reaches this number
 * @probe: receives the handle for sgr_probe_budget_release()
 *
 * Return: SGR_OK, or SGR_ERR_LIMIT if the budget does not allow the probe, which must not be sent.
 */
sgr_result_t sgr_probe_budget_reserve (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes,
                                       uint32_t *probe);

/**
 * sgr_probe_budget_release() - record that a probe sends and receives no further bytes; its tokens
 * return one window later
 * @budget: the budget
 * @now_us: current monotonic time, microseconds
 * @probe: the handle; ignored if it is not that of an active probe
 */
void sgr_probe_budget_release (sgr_probe_budget_t *budget, uint64_t now_us, uint32_t probe);

/**
 * sgr_probe_budget_next_us() - earliest time at which a reservation can succeed
 * @budget: the budget
 * @now_us: current monotonic time, microseconds
 * @bytes: maximum number of bytes of the probe, as for sgr_probe_budget_reserve()
 *
 * Return: the time in monotonic microseconds, or UINT64_MAX if the probe cannot be allowed before
 * an active probe ends or the budget is raised.
 */
uint64_t sgr_probe_budget_next_us (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes);

#endif
