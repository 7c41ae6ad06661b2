#include "membership_internal.h"

#include <math.h>

/* Updates of one urgency in the queue from which on each is sent fewer times. */
#define QUEUED_MAX 32
/* Updates in one datagram of a node that still pulls the full state, in bytes. */
#define PULLING_UPDATE_BYTES 250
/* No record is shorter. */
#define RECORD_BYTES_MIN 30

/*
 * Answers up to this size may use bytes that detection leaves over. They introduce nodes to each
 * other, without which neither detection nor state transfer can begin.
 */
#define INTRODUCTION_BYTES_MAX 430

bool
sgr_membership_add (sgr_membership_t *m, sgr_membership_writer_t *writer, uint64_t now_us,
                    uint32_t handle, bool full, size_t limit)
{
  uint32_t by = 0;

  if (m->table.entries[handle].status == SGR_MEMBER_SUSPECT)
    by = sgr_membership_suspicion_by (m, handle);
  return sgr_membership_writer_add_record (writer, &m->table, handle, full, now_us, by, limit);
}

/* Callers of a target depend on these, and the state transfer that repairs a miss takes seconds. So
   they keep all their transmissions also when others are heard to spread them. */
static bool
must_reach_all (sgr_membership_urgency_t urgency)
{
  return urgency == SGR_MEMBERSHIP_LEAVING || urgency == SGR_MEMBERSHIP_RISING;
}

static uint32_t
sends_of (const sgr_membership_t *m, const sgr_membership_entry_t *entry)
{
  sgr_membership_urgency_t urgency = sgr_membership_queue_urgency (entry);
  /* A receiver is missed with probability exp(-sends); 4 log10 N leaves well under one of 2,600. */
  uint32_t factor = must_reach_all (urgency) ? 4 : 3;
  uint32_t sends = factor * (uint32_t)ceil (log10 (m->table.ring_count + 1.0));
  uint32_t queued = m->queue.count[urgency];

  /* When many nodes start at once, the state transfer is the cheaper way to spread them; when many
     fail at once, every node finds most of them itself. Refutations keep all their sends. */
  if (queued > QUEUED_MAX
      && (urgency == SGR_MEMBERSHIP_ROUTINE || urgency == SGR_MEMBERSHIP_RISING
          || (urgency == SGR_MEMBERSHIP_HEALTH && entry->status != SGR_MEMBER_ALIVE)))
    sends = sends * QUEUED_MAX / queued + 1;
  return sends > SGR_MEMBERSHIP_SENDS_MAX ? SGR_MEMBERSHIP_SENDS_MAX : sends;
}

void
sgr_membership_heard (sgr_membership_t *m, uint32_t handle)
{
  const sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

  if (entry->queue_list != 0 && !must_reach_all (sgr_membership_queue_urgency (entry)))
    sgr_membership_queue_count_send (&m->queue, &m->table, handle, sends_of (m, entry));
}

void
sgr_membership_add_updates (sgr_membership_t *m, sgr_membership_writer_t *writer, uint64_t now_us)
{
  uint32_t handles[SGR_MEMBERSHIP_RECORDS_MAX];
  double tokens = m->budget.tokens[SGR_MEMBERSHIP_UPDATES];
  size_t limit = SGR_MEMBERSHIP_DATAGRAM_MAX;
  size_t count;

  if (tokens < RECORD_BYTES_MIN)
    return;
  /* A node that still pulls the full state knows few others, mostly contacts. */
  if (m->sync.missing_groups != 0 && tokens > PULLING_UPDATE_BYTES)
    tokens = PULLING_UPDATE_BYTES;
  if ((double)writer->size + tokens < (double)limit)
    limit = writer->size + (size_t)tokens;
  count = (limit - writer->size) / RECORD_BYTES_MIN;
  if (count > SGR_MEMBERSHIP_RECORDS_MAX)
    count = SGR_MEMBERSHIP_RECORDS_MAX;
  count = sgr_membership_queue_select (&m->queue, &m->table, handles, count);
  for (size_t i = 0; i < count; i++)
    {
      sgr_membership_entry_t *entry = sgr_membership_entry (m, handles[i]);

      if (!sgr_membership_add (m, writer, now_us, handles[i], entry->queue_full, limit))
        break;
      sgr_membership_queue_count_send (&m->queue, &m->table, handles[i], sends_of (m, entry));
    }
}

bool
sgr_membership_send (sgr_membership_t *m, sgr_membership_writer_t *writer, const sgr_address_t *to,
                     sgr_membership_share_t share)
{
  const sgr_membership_entry_t *self = sgr_membership_entry (m, m->self);
  uint8_t bytes[SGR_MEMBERSHIP_DATAGRAM_MAX];
  size_t length;
  size_t total;
  size_t first;

  writer->message.sender = m->id;
  writer->message.boot = self->boot;
  writer->message.config_revision = self->config_revision;
  length = sgr_membership_writer_finish (writer, bytes);
  total = length + SGR_MEMBERSHIP_DATAGRAM_OVERHEAD;
  first = total;
  if (share == SGR_MEMBERSHIP_DETECTION && total > SGR_MEMBERSHIP_PROBE_BYTES)
    first = SGR_MEMBERSHIP_PROBE_BYTES;
  if (share == SGR_MEMBERSHIP_SYNC && total <= INTRODUCTION_BYTES_MAX
      && !sgr_membership_budget_has (&m->budget, share, total)
      && m->budget.tokens[SGR_MEMBERSHIP_DETECTION]
             > m->budget.capacity[SGR_MEMBERSHIP_DETECTION] / 2)
    share = SGR_MEMBERSHIP_DETECTION;
  if (!sgr_membership_budget_has (&m->budget, share, first))
    {
      m->counters.budget_refusals++;
      return false;
    }
  sgr_membership_budget_charge (&m->budget, share, first, true);
  if (total > first)
    sgr_membership_budget_charge (&m->budget, SGR_MEMBERSHIP_UPDATES, total - first, true);
  m->counters.messages_sent++;
  m->counters.bytes_sent += total;
  m->callbacks.send (m->ctx, to, bytes, length);
  return true;
}

sgr_address_t
sgr_membership_address (const sgr_membership_t *m, uint32_t handle)
{
  const sgr_membership_entry_t *entry = &m->table.entries[handle];

  return (sgr_address_t){ entry->ip, entry->control_port };
}

uint32_t
sgr_membership_peer_count (const sgr_membership_t *m)
{
  return m->table.ring_count - (m->left ? 0 : 1);
}

uint32_t
sgr_membership_random_peer (sgr_membership_t *m)
{
  uint32_t position;

  if (sgr_membership_peer_count (m) == 0)
    return SGR_MEMBERSHIP_NONE;
  position = (uint32_t)sgr_rng_below (&m->rng, m->table.ring_count);
  if (m->table.ring[position] == m->self)
    position = (position + 1) % m->table.ring_count;
  return m->table.ring[position];
}
