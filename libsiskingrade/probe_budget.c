#include "probe_budget.h"

#include <string.h>

static uint64_t
share_of (uint32_t per_s, uint32_t targets_max, uint64_t window_us)
{
  unsigned __int128 in_window = (unsigned __int128)per_s * window_us;
  unsigned __int128 share = in_window / SGR_USEC_PER_SEC / targets_max;

  return share > UINT64_MAX ? UINT64_MAX : (uint64_t)share;
}

static uint64_t
share_calls_of (const sgr_probe_budget_config_t *config, uint64_t window_us)
{
  uint64_t calls = share_of (config->calls_per_s, config->targets_max, window_us);

  return calls < SGR_PROBE_BUDGET_HELD_MAX ? calls : SGR_PROBE_BUDGET_HELD_MAX;
}

sgr_result_t
sgr_probe_budget_init (sgr_probe_budget_t *budget, const sgr_probe_budget_config_t *config,
                       uint64_t now_us)
{
  /* A restart may pass the budget's own config. */
  const sgr_probe_budget_config_t copy = *config;

  memset (budget, 0, sizeof *budget);
  budget->filled_us = UINT64_MAX;
  if (copy.targets_max == 0 || copy.window_us == 0)
    return SGR_ERR_INVALID;
  budget->config = copy;
  budget->share_calls = share_calls_of (&copy, copy.window_us);
  budget->share_bytes = share_of (copy.bytes_per_s, copy.targets_max, copy.window_us);
  if (now_us < UINT64_MAX - copy.window_us)
    budget->filled_us = now_us + copy.window_us;
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
  calls = share_calls_of (config, window_us);
  bytes = share_of (config->bytes_per_s, config->targets_max, window_us);
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

/* Returns the tokens of probes that ended more than one window ago. */
static void
tokens_return (sgr_probe_budget_t *budget, uint64_t now_us)
{
  for (size_t i = 0; i < SGR_PROBE_BUDGET_HELD_MAX; i++)
    {
      sgr_probe_budget_held_t *held = &budget->held[i];

      if (held->state != SGR_PROBE_ENDED || now_us < held->ended_us
          || now_us - held->ended_us <= budget->config.window_us)
        continue;
      held->state = SGR_PROBE_FREE;
      budget->held_calls--;
      budget->held_bytes -= held->bytes;
    }
}

static bool
has_tokens (uint64_t share, uint64_t held, uint64_t wanted)
{
  return held <= share && wanted <= share - held;
}

sgr_result_t
sgr_probe_budget_reserve (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes,
                          uint32_t *probe)
{
  size_t i = 0;

  tokens_return (budget, now_us);
  if (now_us <= budget->filled_us || !has_tokens (budget->share_calls, budget->held_calls, 1)
      || !has_tokens (budget->share_bytes, budget->held_bytes, bytes))
    {
      budget->denied++;
      return SGR_ERR_LIMIT;
    }
  while (budget->held[i].state != SGR_PROBE_FREE)
    i++;
  budget->held[i] = (sgr_probe_budget_held_t){ .bytes = bytes, .state = SGR_PROBE_ACTIVE };
  budget->held_calls++;
  budget->held_bytes += bytes;
  budget->sent_calls++;
  budget->sent_bytes += bytes;
  *probe = (uint32_t)i;
  return SGR_OK;
}

void
sgr_probe_budget_release (sgr_probe_budget_t *budget, uint64_t now_us, uint32_t probe)
{
  sgr_probe_budget_held_t *held;

  if (probe >= SGR_PROBE_BUDGET_HELD_MAX)
    return;
  held = &budget->held[probe];
  if (held->state != SGR_PROBE_ACTIVE)
    return;
  held->state = SGR_PROBE_ENDED;
  held->ended_us = now_us;
}

uint64_t
sgr_probe_budget_next_us (sgr_probe_budget_t *budget, uint64_t now_us, uint64_t bytes)
{
  uint64_t calls_held;
  uint64_t bytes_held;
  uint64_t next_us = now_us;
  bool counted[SGR_PROBE_BUDGET_HELD_MAX] = { false };

  tokens_return (budget, now_us);
  calls_held = budget->held_calls;
  bytes_held = budget->held_bytes;
  if (budget->filled_us == UINT64_MAX)
    return UINT64_MAX;
  if (now_us <= budget->filled_us)
    next_us = budget->filled_us + 1;
  while (!has_tokens (budget->share_calls, calls_held, 1)
         || !has_tokens (budget->share_bytes, bytes_held, bytes))
    {
      size_t first = SGR_PROBE_BUDGET_HELD_MAX;
      uint64_t returned_us;

      for (size_t i = 0; i < SGR_PROBE_BUDGET_HELD_MAX; i++)
        if (budget->held[i].state == SGR_PROBE_ENDED && !counted[i]
            && (first == SGR_PROBE_BUDGET_HELD_MAX
                || budget->held[i].ended_us < budget->held[first].ended_us))
          first = i;
      if (first == SGR_PROBE_BUDGET_HELD_MAX)
        return UINT64_MAX;
      counted[first] = true;
      calls_held--;
      bytes_held -= budget->held[first].bytes;
      returned_us = budget->held[first].ended_us + budget->config.window_us + 1;
      if (returned_us > next_us)
        next_us = returned_us;
    }
  return next_us;
}
