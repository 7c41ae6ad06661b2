#include "probe_budget.h"

#include <string.h>

/* Share of one gate in the service's budget for one window, rounded down. */
static uint64_t
gate_budget_share (uint32_t per_s, uint32_t targets_max, uint64_t window_us)
{
  unsigned __int128 window_budget_micro = (unsigned __int128)per_s * window_us;
  unsigned __int128 share = window_budget_micro / SGR_USEC_PER_SEC / targets_max;

  return share > UINT64_MAX ? UINT64_MAX : (uint64_t)share;
}

static uint64_t
gate_budget_share_calls (const sgr_probe_budget_config_t *config, uint64_t window_us)
{
  uint64_t calls = gate_budget_share (config->calls_per_s, config->targets_max, window_us);

  return calls < SGR_PROBE_BUDGET_RESERVATIONS_MAX ? calls : SGR_PROBE_BUDGET_RESERVATIONS_MAX;
}

sgr_result_t
sgr_probe_budget_init (sgr_probe_budget_t *budget, const sgr_probe_budget_config_t *config,
                       uint64_t now_us)
{
  /* @config may point to budget->config, which memset() clears. */
  const sgr_probe_budget_config_t config_copy = *config;

  memset (budget, 0, sizeof *budget);
  budget->empty_until_us = UINT64_MAX;
  if (config_copy.targets_max == 0 || config_copy.window_us == 0)
    return SGR_ERR_INVALID;
  budget->config = config_copy;
  budget->share_calls = gate_budget_share_calls (&config_copy, config_copy.window_us);
  budget->share_bytes
      = gate_budget_share (config_copy.bytes_per_s, config_copy.targets_max, config_copy.window_us);
  if (now_us < UINT64_MAX - config_copy.window_us)
    budget->empty_until_us = now_us + config_copy.window_us;
  return SGR_OK;
}

sgr_result_t
sgr_probe_budget_update (sgr_probe_budget_t *budget, const sgr_probe_budget_config_t *config)
{
  uint64_t window_us = budget->config.window_us;
  uint64_t calls;
  uint64_t bytes;

  if (config->targets_max == 0)
    return SGR_ERR_INVALID;
  calls = gate_budget_share_calls (config, window_us);
  bytes = gate_budget_share (config->bytes_per_s, config->targets_max, window_us);
  if (config->targets_max != budget->config.targets_max || config->window_us != window_us)
    {
      if (calls < budget->share_calls)
        budget->share_calls = calls;
      if (bytes < budget->share_bytes)
        budget->share_bytes = bytes;
      return SGR_ERR_INVALID;
    }
  budget->config = *config;
  budget->share_calls = calls;
  budget->share_bytes = bytes;
  return SGR_OK;
}

/* Frees the reservations of probes that ended more than one window ago. */
static void
tokens_return (sgr_probe_budget_t *budget, uint64_t now_us)
{
  for (size_t i = 0; i < SGR_PROBE_BUDGET_RESERVATIONS_MAX; i++)
    {
      sgr_probe_reservation_t *reservation = &budget->reservations[i];

      if (reservation->state != SGR_PROBE_RESERVATION_ENDED || now_us < reservation->ended_us
          || now_us - reservation->ended_us <= budget->config.window_us)
        continue;
      reservation->state = SGR_PROBE_RESERVATION_FREE;
      budget->used_calls--;
      budget->used_bytes -= reservation->bytes;
    }
}

/* Whether @wanted tokens are free. More tokens than the share may be in use, if the budget was
   lowered. */
static bool
has_tokens (uint64_t share, uint64_t used, uint64_t wanted)
{
  return used <= share && wanted <= share - used;
}

sgr_result_t
sgr_probe_budget_reserve (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes,
                          uint32_t *probe)
{
  size_t i = 0;

  tokens_return (budget, now_us);
  if (now_us <= budget->empty_until_us || !has_tokens (budget->share_calls, budget->used_calls, 1)
      || !has_tokens (budget->share_bytes, budget->used_bytes, bytes))
    {
      budget->denied++;
      return SGR_ERR_LIMIT;
    }
  while (budget->reservations[i].state != SGR_PROBE_RESERVATION_FREE)
    i++;
  budget->reservations[i]
      = (sgr_probe_reservation_t){ .bytes = bytes, .state = SGR_PROBE_RESERVATION_ACTIVE };
  budget->used_calls++;
  budget->used_bytes += bytes;
  budget->reserved_calls_total++;
  budget->reserved_bytes_total += bytes;
  *probe = (uint32_t)i;
  return SGR_OK;
}

void
sgr_probe_budget_release (sgr_probe_budget_t *budget, uint64_t now_us, uint32_t probe)
{
  sgr_probe_reservation_t *reservation;

  if (probe >= SGR_PROBE_BUDGET_RESERVATIONS_MAX)
    return;
  reservation = &budget->reservations[probe];
  if (reservation->state != SGR_PROBE_RESERVATION_ACTIVE)
    return;
  reservation->state = SGR_PROBE_RESERVATION_ENDED;
  reservation->ended_us = now_us;
}

uint64_t
sgr_probe_budget_next_us (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes)
{
  uint64_t calls_in_use;
  uint64_t bytes_in_use;
  uint64_t next_us = now_us;
  bool counted[SGR_PROBE_BUDGET_RESERVATIONS_MAX] = { false };

  tokens_return (budget, now_us);
  calls_in_use = budget->used_calls;
  bytes_in_use = budget->used_bytes;
  if (budget->empty_until_us == UINT64_MAX)
    return UINT64_MAX;
  if (now_us <= budget->empty_until_us)
    next_us = budget->empty_until_us + 1;
  /* Adds up the tokens in the order in which they return until they are enough. */
  while (!has_tokens (budget->share_calls, calls_in_use, 1)
         || !has_tokens (budget->share_bytes, bytes_in_use, bytes))
    {
      size_t earliest = SGR_PROBE_BUDGET_RESERVATIONS_MAX;
      uint64_t returned_us;

      for (size_t i = 0; i < SGR_PROBE_BUDGET_RESERVATIONS_MAX; i++)
        if (budget->reservations[i].state == SGR_PROBE_RESERVATION_ENDED && !counted[i]
            && (earliest == SGR_PROBE_BUDGET_RESERVATIONS_MAX
                || budget->reservations[i].ended_us < budget->reservations[earliest].ended_us))
          earliest = i;
      if (earliest == SGR_PROBE_BUDGET_RESERVATIONS_MAX)
        return UINT64_MAX;
      counted[earliest] = true;
      calls_in_use--;
      bytes_in_use -= budget->reservations[earliest].bytes;
      returned_us = budget->reservations[earliest].ended_us + budget->config.window_us + 1;
      if (returned_us > next_us)
        next_us = returned_us;
    }
  return next_us;
}
