#include "membership_internal.h"

#include <math.h>
#include <stdlib.h>

static sgr_membership_suspicion_t *
suspicion_find (const sgr_membership_t *m, uint32_t handle)
{
  uint32_t index = m->table.entries[handle].suspicion;

  return index == SGR_MEMBERSHIP_NONE ? NULL : &m->suspicions[index];
}

/* Lifeguard: the suspicion timeout shrinks from the longest to the shortest value as further nodes
   confirm the suspicion independently. */
static uint64_t
suspicion_timeout_us (const sgr_membership_t *m, uint32_t confirmations)
{
  double members = m->table.ring_count;
  double shortest = (double)m->options.probe_period_ms * SGR_USEC_PER_MSEC
                    * m->options.suspicion_factor * fmax (1, log10 (members));
  double longest = shortest * m->options.suspicion_max_factor;
  /* Number of members that can be expected to confirm. Three do not: the suspect, this node, and
     one more as allowance for a member that cannot be queried. */
  double expected = fmin (SGR_MEMBERSHIP_SUSPICION_CONFIRMATIONS_MAX, members - 3);
  double progress;

  /* Use the longest timeout during the initial sync. This node then knows only a part of the
     members, so a timeout computed from their number would be too short. */
  if (m->sync.missing_groups != 0)
    return (uint64_t)longest;
  /* Use the shortest timeout if no member can confirm the suspicion: a longer one has no use. */
  if (expected < 1)
    return (uint64_t)shortest;
  progress = log (confirmations + 1.0) / log (expected + 1.0);
  return (uint64_t)fmax (shortest, longest - (longest - shortest) * progress);
}

static void
suspicion_deadline_update (sgr_membership_t *m, sgr_membership_suspicion_t *suspicion)
{
  suspicion->deadline_us
      = suspicion->start_us + suspicion_timeout_us (m, suspicion->suspected_by_count - 1);
  if (suspicion->deadline_us < m->suspicion_due_us)
    m->suspicion_due_us = suspicion->deadline_us;
}

void
sgr_membership_suspicion_add (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                              uint32_t suspected_by)
{
  sgr_membership_suspicion_t *suspicion = suspicion_find (m, handle);

  if (suspicion == NULL)
    {
      if (m->suspicion_count == m->suspicion_capacity)
        {
          m->suspicion_capacity = m->suspicion_capacity == 0 ? 8 : m->suspicion_capacity * 2;
          m->suspicions = realloc (m->suspicions, m->suspicion_capacity * sizeof *m->suspicions);
        }
      sgr_invariant (m->suspicions != NULL);
      m->table.entries[handle].suspicion = m->suspicion_count;
      suspicion = &m->suspicions[m->suspicion_count++];
      *suspicion = (sgr_membership_suspicion_t){ .handle = handle,
                                                 .suspected_by_count = 1,
                                                 .suspected_by = { suspected_by },
                                                 .start_us = now_us };
      suspicion_deadline_update (m, suspicion);
      return;
    }
  for (uint32_t i = 0; i < suspicion->suspected_by_count; i++)
    if (suspicion->suspected_by[i] == suspected_by)
      return;
  if (suspicion->suspected_by_count > SGR_MEMBERSHIP_SUSPICION_CONFIRMATIONS_MAX)
    return;
  suspicion->suspected_by[suspicion->suspected_by_count++] = suspected_by;
  suspicion_deadline_update (m, suspicion);
  /* Queue the suspicion again, so that other members count this confirmation too. */
  sgr_membership_update_enqueue (m, now_us, handle, SGR_MEMBERSHIP_HEALTH, false);
}

void
sgr_membership_suspicion_remove (sgr_membership_t *m, uint32_t handle)
{
  sgr_membership_suspicion_t *suspicion = suspicion_find (m, handle);

  if (suspicion == NULL)
    return;
  *suspicion = m->suspicions[--m->suspicion_count];
  m->table.entries[suspicion->handle].suspicion = (uint32_t)(suspicion - m->suspicions);
  m->table.entries[handle].suspicion = SGR_MEMBERSHIP_NONE;
}

uint32_t
sgr_membership_suspected_by (const sgr_membership_t *m, uint32_t handle)
{
  const sgr_membership_suspicion_t *suspicion = suspicion_find (m, handle);

  return suspicion == NULL ? 0 : suspicion->suspected_by[suspicion->suspected_by_count - 1];
}

void
sgr_membership_suspect (sgr_membership_t *m, uint64_t now_us, uint32_t handle)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);
  sgr_address_t address = sgr_membership_address (m, handle);
  sgr_membership_writer_t writer;

  if (!sgr_membership_entry_is_live (entry))
    return;
  sgr_membership_suspicion_add (m, now_us, handle, (uint32_t)m->id);
  if (entry->status == SGR_MEMBER_ALIVE)
    {
      m->counters.suspicions++;
      entry->status = SGR_MEMBER_SUSPECT;
      sgr_membership_update_enqueue (m, now_us, handle, SGR_MEMBERSHIP_HEALTH, false);
      sgr_membership_change_notify (m, handle);
    }
  /* Notify the suspect directly, so that it can refute before the update reaches it by gossip. */
  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_GOSSIP);
  sgr_membership_add_record (m, &writer, now_us, handle, false, SGR_MEMBERSHIP_DATAGRAM_MAX);
  sgr_membership_send (m, &writer, &address, SGR_MEMBERSHIP_DETECTION);
}

void
sgr_membership_mark_departed (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                              sgr_member_status_t status, bool spread)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

  sgr_membership_suspicion_remove (m, handle);
  entry->status = status;
  entry->departed_us = now_us;
  sgr_membership_table_refresh (&m->table, handle, &m->rng);
  m->counters.deaths++;
  if (spread)
    sgr_membership_update_enqueue (m, now_us, handle, SGR_MEMBERSHIP_HEALTH, false);
  else
    sgr_membership_queue_remove (&m->queue, &m->table, handle);
  sgr_membership_change_notify (m, handle);
}

void
sgr_membership_suspicion_tick (sgr_membership_t *m, uint64_t now_us)
{
  uint32_t i = 0;

  if (now_us < m->suspicion_due_us)
    return;
  while (i < m->suspicion_count)
    {
      if (m->suspicions[i].deadline_us <= now_us)
        sgr_membership_mark_departed (m, now_us, m->suspicions[i].handle, SGR_MEMBER_DEAD, true);
      else
        i++;
    }
  m->suspicion_due_us = UINT64_MAX;
  for (i = 0; i < m->suspicion_count; i++)
    if (m->suspicions[i].deadline_us < m->suspicion_due_us)
      m->suspicion_due_us = m->suspicions[i].deadline_us;
}

void
sgr_membership_suspicion_postpone (sgr_membership_t *m, uint64_t gap_us)
{
  for (uint32_t i = 0; i < m->suspicion_count; i++)
    {
      m->suspicions[i].start_us += gap_us;
      m->suspicions[i].deadline_us += gap_us;
    }
  if (m->suspicion_due_us != UINT64_MAX)
    m->suspicion_due_us += gap_us;
}
