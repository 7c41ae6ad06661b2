#include "membership_queue.h"

#include <string.h>

#define LIST_COUNT (SGR_MEMBERSHIP_URGENCIES * SGR_MEMBERSHIP_UPDATE_SENDS_MAX)

void
sgr_membership_queue_init (sgr_membership_queue_t *queue)
{
  memset (queue->first, 0xff, sizeof queue->first);
  memset (queue->last, 0xff, sizeof queue->last);
  memset (queue->count, 0, sizeof queue->count);
}

sgr_membership_urgency_t
sgr_membership_queue_urgency (const sgr_membership_entry_t *entry)
{
  return (sgr_membership_urgency_t)((entry->queue_list - 1) / SGR_MEMBERSHIP_UPDATE_SENDS_MAX);
}

void
sgr_membership_queue_remove (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                             uint32_t handle)
{
  sgr_membership_entry_t *entry = &table->entries[handle];
  uint32_t list = entry->queue_list - 1U;

  if (entry->queue_list == 0)
    return;
  if (entry->queue_previous == SGR_MEMBERSHIP_NONE)
    queue->first[list] = entry->queue_next;
  else
    table->entries[entry->queue_previous].queue_next = entry->queue_next;
  if (entry->queue_next == SGR_MEMBERSHIP_NONE)
    queue->last[list] = entry->queue_previous;
  else
    table->entries[entry->queue_next].queue_previous = entry->queue_previous;
  queue->count[sgr_membership_queue_urgency (entry)]--;
  entry->queue_list = 0;
}

static void
list_append (sgr_membership_queue_t *queue, sgr_membership_table_t *table, uint32_t handle,
             uint32_t list)
{
  sgr_membership_entry_t *entry = &table->entries[handle];

  entry->queue_list = (uint8_t)(list + 1);
  entry->queue_next = SGR_MEMBERSHIP_NONE;
  entry->queue_previous = queue->last[list];
  if (entry->queue_previous == SGR_MEMBERSHIP_NONE)
    queue->first[list] = handle;
  else
    table->entries[entry->queue_previous].queue_next = handle;
  queue->last[list] = handle;
  queue->count[sgr_membership_queue_urgency (entry)]++;
}

void
sgr_membership_queue_put (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                          uint32_t handle, sgr_membership_urgency_t urgency, bool full)
{
  sgr_membership_entry_t *entry = &table->entries[handle];

  /* A later update without the descriptor must not stop the transmissions of the descriptor. */
  entry->queue_with_descriptor = full || (entry->queue_list != 0 && entry->queue_with_descriptor);
  sgr_membership_queue_remove (queue, table, handle);
  list_append (queue, table, handle, urgency * SGR_MEMBERSHIP_UPDATE_SENDS_MAX);
}

void
sgr_membership_queue_count_send (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                                 uint32_t handle, uint32_t sends)
{
  uint32_t list = table->entries[handle].queue_list - 1U;
  uint32_t sends_done = list % SGR_MEMBERSHIP_UPDATE_SENDS_MAX + 1;

  if (table->entries[handle].queue_list == 0)
    return;
  sgr_membership_queue_remove (queue, table, handle);
  if (sends_done < sends && sends_done < SGR_MEMBERSHIP_UPDATE_SENDS_MAX)
    list_append (queue, table, handle, list + 1);
}

size_t
sgr_membership_queue_select (const sgr_membership_queue_t *queue,
                             const sgr_membership_table_t *table, uint32_t *handles, size_t max)
{
  size_t count = 0;

  for (uint32_t list = 0; list < LIST_COUNT; list++)
    {
      /* Skip all lists of an urgency without queued records. */
      if (list % SGR_MEMBERSHIP_UPDATE_SENDS_MAX == 0
          && queue->count[list / SGR_MEMBERSHIP_UPDATE_SENDS_MAX] == 0)
        {
          list += SGR_MEMBERSHIP_UPDATE_SENDS_MAX - 1;
          continue;
        }
      for (uint32_t handle = queue->first[list]; handle != SGR_MEMBERSHIP_NONE && count < max;
           handle = table->entries[handle].queue_next)
        handles[count++] = handle;
    }
  return count;
}
