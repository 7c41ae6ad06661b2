#include "gate_fair.h"

uint64_t
sgr_gate_fair_link_us (double mbps, uint64_t bytes)
{
  return mbps > 0 ? (uint64_t)((double)bytes * 8 / mbps) : 0;
}

/* Expected work of the waiting calls with the rank and the account of @item that precede it. */
static uint64_t
own_work_us (const sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item)
{
  uint64_t work_us = 0;

  for (const sgr_gate_queue_item_t *queued = sgr_gate_queue_oldest (queue);
       queued != NULL && queued != item; queued = queued->arrival_newer)
    if (queued->priority == item->priority && queued->tenant == item->tenant)
      work_us += queued->work_us;
  return work_us;
}

uint64_t
sgr_gate_fair_ahead_us (const sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item)
{
  /* As in start-time fair queueing: a call starts when the work served for its account has reached
     the value that it has now plus the work of the account's calls before it. */
  uint64_t start_us
      = sgr_gate_queue_tenant_served_us (queue, item->tenant) + own_work_us (queue, item);
  uint64_t work_us[SGR_LIMITS_CHILDREN_MAX] = { 0 };
  uint64_t ahead_us = 0;
  bool is_newer = false;

  for (const sgr_gate_queue_item_t *queued = sgr_gate_queue_oldest (queue); queued != NULL;
       queued = queued->arrival_newer)
    {
      if (queued == item)
        {
          is_newer = true;
          continue;
        }
      if (queued->priority > item->priority)
        continue;
      if (queued->priority == item->priority && queued->tenant == item->tenant)
        {
          ahead_us += is_newer ? 0 : queued->duration_us;
          continue;
        }
      if (queued->priority == item->priority)
        {
          if (sgr_gate_queue_tenant_served_us (queue, queued->tenant) + work_us[queued->tenant]
              >= start_us)
            continue;
          work_us[queued->tenant] += queued->work_us;
        }
      ahead_us += queued->duration_us;
    }
  return ahead_us;
}

/* With equal weights, the account that holds the most work is also the one furthest above the
   max-min share, whatever the level of that share is. */
sgr_gate_queue_item_t *
sgr_gate_fair_last (const sgr_gate_queue_t *queue, const uint64_t *held_us,
                    sgr_gate_queue_item_t *candidate)
{
  sgr_gate_queue_item_t *last = candidate;

  /* From newest to oldest: an item replaces @last only if it has to be refused before it, so that
     of one account the newest stays. */
  for (sgr_gate_queue_item_t *item = sgr_gate_queue_newest (queue); item != NULL;
       item = item->arrival_older)
    if (last == NULL || item->priority > last->priority
        || (item->priority == last->priority && held_us[item->tenant] > held_us[last->tenant]))
      last = item;
  return last;
}

/* Raises the level until the accounts above it share what those below it leave. */
static uint64_t
share_level_us (const uint64_t *held_us, uint64_t running_us)
{
  uint64_t level_us = 0;

  for (;;)
    {
      uint64_t left_us = running_us;
      uint64_t count = 0;

      for (uint32_t i = 0; i < SGR_LIMITS_CHILDREN_MAX; i++)
        {
          if (held_us[i] > level_us)
            count++;
          else
            left_us -= held_us[i] < left_us ? held_us[i] : left_us;
        }
      if (count == 0 || left_us / count <= level_us)
        return level_us;
      level_us = left_us / count;
    }
}

bool
sgr_gate_fair_is_beyond (const uint64_t *held_us, uint64_t running_us,
                         const sgr_gate_queue_item_t *item)
{
  uint64_t others_us = held_us[item->tenant] - item->work_us;

  return others_us > 0 && others_us >= share_level_us (held_us, running_us);
}
