#include "membership_internal.h"

#include <math.h>
#include <stdlib.h>

static sgr_membership_suspicion_t *
find (const sgr_membership_t *m, uint32_t handle)
{
  uint32_t position = m->table.entries[handle].suspicion;

  return position == SGR_MEMBERSHIP_NONE ? NULL : &m->suspicions[position];
}

/* Lifeguard: the time shrinks from the longest to the shortest as independent nodes confirm. */
static uint64_t
duration_us (const sgr_membership_t *m, uint32_t confirmations)
{
  double members = m->table.ring_count;
  double shortest = (double)m->options.probe_period_ms * SGR_USEC_PER_MSEC
                    * m->options.suspicion_factor * fmax (1, log10 (members));
  double longest = shortest * m->options.suspicion_stretch;
  double expected = fmin (SGR_MEMBERSHIP_CONFIRMATIONS_MAX, members - 3);
  double share;

  /* A node that knows only a part of the members would take their number for smaller than it is. */
  if (m->sync.missing_groups != 0)
    return (uint64_t)longest;
  /* The suspect, this node and those that cannot be asked do not confirm. */
  if (expected < 1)
    return (uint64_t)shortest;
  share = log (confirmations + 1.0) / log (expected + 1.0);
  return (uint64_t)fmax (shortest, longest - (longest - shortest) * share);
}

static void
deadline_set (sgr_membership_t *m, sgr_membership_suspicion_t *suspicion)
{
  suspicion->deadline_us = suspicion->start_us + duration_us (m, suspicion->by_count - 1);
  if (suspicion->deadline_us < m->suspicion_due_us)
    m->suspicion_due_us = suspicion->deadline_us;
}

void
sgr_membership_suspicion_add (sgr_membership_t *m, uint64_t now_us, uint32_t handle, uint32_t by)
{
  sgr_membership_suspicion_t *suspicion = find (m, handle);

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
      *suspicion = (sgr_membership_suspicion_t){
        .handle = handle, .by_count = 1, .by = { by }, .start_us = now_us
      };
      deadline_set (m, suspicion);
      return;
    }
  for (uint32_t i = 0; i < suspicion->by_count; i++)
    if (suspicion->by[i] == by)
      return;
  if (suspicion->by_count > SGR_MEMBERSHIP_CONFIRMATIONS_MAX)
    return;
  suspicion->by[suspicion->by_count++] = by;
  deadline_set (m, suspicion);
  /* Spread again, so that the others count this confirmation too. */
  sgr_membership_spread (m, now_us, handle, SGR_MEMBERSHIP_HEALTH, false);
}

void
sgr_membership_suspicion_remove (sgr_membership_t *m, uint32_t handle)
{
  sgr_membership_suspicion_t *suspicion = find (m, handle);

  if (suspicion == NULL)
    return;
  *suspicion = m->suspicions[--m->suspicion_count];
  m->table.entries[suspicion->handle].suspicion = (uint32_t)(suspicion - m->suspicions);
  m->table.entries[handle].suspicion = SGR_MEMBERSHIP_NONE;
}

uint32_t
sgr_membership_suspicion_by (const sgr_membership_t *m, uint32_t handle)
{
  const sgr_membership_suspicion_t *suspicion = find (m, handle);

  return suspicion == NULL ? 0 : suspicion->by[suspicion->by_count - 1];
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
      sgr_membership_spread (m, now_us, handle, SGR_MEMBERSHIP_HEALTH, false);
      sgr_membership_notify (m, handle);
    }
  /* Tell the suspect itself, so that it can refute without waiting for the update to spread. */
  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GOSSIP);
  sgr_membership_add (m, &writer, now_us, handle, false, SGR_MEMBERSHIP_DATAGRAM_MAX);
  sgr_membership_send (m, &writer, &address, SGR_MEMBERSHIP_DETECTION);
}

void
sgr_membership_depart (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                       sgr_member_status_t status, bool spread)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

  sgr_membership_suspicion_remove (m, handle);
  entry->status = status;
  entry->since_us = now_us;
  sgr_membership_table_refresh (&m->table, handle, &m->rng);
  m->counters.deaths++;
  if (spread)
    sgr_membership_spread (m, now_us, handle, SGR_MEMBERSHIP_HEALTH, false);
  else
    sgr_membership_queue_remove (&m->queue, &m->table, handle);
  sgr_membership_notify (m, handle);
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
        sgr_membership_depart (m, now_us, m->suspicions[i].handle, SGR_MEMBER_DEAD, true);
      else
        i++;
    }
  m->suspicion_due_us = UINT64_MAX;
  for (i = 0; i < m->suspicion_count; i++)
    if (m->suspicions[i].deadline_us < m->suspicion_due_us)
      m->suspicion_due_us = m->suspicions[i].deadline_us;
}

void
sgr_membership_suspicion_shift (sgr_membership_t *m, uint64_t gap_us)
{
  for (uint32_t i = 0; i < m->suspicion_count; i++)
    {
      m->suspicions[i].start_us += gap_us;
      m->suspicions[i].deadline_us += gap_us;
    }
  if (m->suspicion_due_us != UINT64_MAX)
    m->suspicion_due_us += gap_us;
}
