#include "membership_internal.h"

#include <math.h>

/* An update is sent SENDS_PER_LOG10_MEMBERS * ceil(log10(live members + 1)) times. */
#define SENDS_PER_LOG10_MEMBERS 3
/* Replaces SENDS_PER_LOG10_MEMBERS for updates that need all their transmissions. A member misses
   an update with a probability of about exp(-transmissions); with this factor, well under one of
   2,600 members is expected to miss it. */
#define RELIABLE_SENDS_PER_LOG10_MEMBERS 4
/* While more updates than this of one urgency are queued, each of them is sent fewer times, with
   the exceptions in update_send_count(). */
#define QUEUED_FOR_ALL_SENDS_MAX 32
/* Bytes of updates in one datagram during the initial sync. */
#define INITIAL_SYNC_UPDATE_BYTES_MAX 250
/* Lower bound of the encoded size of a record. */
#define RECORD_BYTES_MIN 30

/*
 * Sync datagrams up to this size, IP and UDP headers included and without the evacuated failure
 * domains, may use spare bytes of the detection share. Such datagrams include the answers to join
 * requests, from which nodes learn of each other. Without these answers, neither failure detection
 * nor sync can begin.
 */
#define SYNC_IN_DETECTION_SHARE_BYTES_MAX 430

bool
sgr_membership_add_record (sgr_membership_t *m, sgr_membership_writer_t *writer, uint64_t now_us,
                           uint32_t handle, bool full, size_t limit)
{
  uint32_t suspected_by = 0;

  if (m->table.entries[handle].status == SGR_MEMBER_SUSPECT)
    suspected_by = sgr_membership_suspected_by (m, handle);
  return sgr_membership_writer_add_record (writer, &m->table, handle, full, now_us, suspected_by,
                                           limit);
}

/* Updates of these urgencies get all their transmissions, even if other members send them too.
   Calls to a target depend on them, and the sync that repairs a missed update takes seconds. */
static bool
urgency_needs_all_sends (sgr_membership_urgency_t urgency)
{
  return urgency == SGR_MEMBERSHIP_LEAVING || urgency == SGR_MEMBERSHIP_STATE_CHANGE;
}

/* Returns how many times this node sends a queued update. */
static uint32_t
update_send_count (const sgr_membership_t *m, const sgr_membership_entry_t *entry)
{
  sgr_membership_urgency_t urgency = sgr_membership_queue_urgency (entry);
  uint32_t factor = urgency_needs_all_sends (urgency) ? RELIABLE_SENDS_PER_LOG10_MEMBERS
                                                      : SENDS_PER_LOG10_MEMBERS;
  uint32_t sends = factor * (uint32_t)ceil (log10 (m->table.ring_count + 1.0));
  uint32_t queued = m->queue.count[urgency];

  /* Send each update fewer times while many are queued. When many nodes start at once, sync
     distributes their records at lower cost. When many fail at once, every node detects most of the
     failures itself. Refutations get all their transmissions. */
  if (queued > QUEUED_FOR_ALL_SENDS_MAX
      && (urgency == SGR_MEMBERSHIP_ROUTINE || urgency == SGR_MEMBERSHIP_STATE_CHANGE
          || (urgency == SGR_MEMBERSHIP_HEALTH && entry->status != SGR_MEMBER_ALIVE)))
    sends = sends * QUEUED_FOR_ALL_SENDS_MAX / queued + 1;
  return sends > SGR_MEMBERSHIP_UPDATE_SENDS_MAX ? SGR_MEMBERSHIP_UPDATE_SENDS_MAX : sends;
}

void
sgr_membership_update_received (sgr_membership_t *m, uint32_t handle)
{
  const sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

  if (entry->queue_list != 0 && !urgency_needs_all_sends (sgr_membership_queue_urgency (entry)))
    sgr_membership_queue_count_send (&m->queue, &m->table, handle, update_send_count (m, entry));
}

void
sgr_membership_datagram_begin (const sgr_membership_t *m, sgr_membership_writer_t *writer,
                               sgr_membership_kind_t kind)
{
  sgr_membership_writer_begin (writer, kind);
  if (sgr_evacuation_exists (&m->evacuation))
    sgr_membership_writer_set_evacuation (writer, &m->evacuation);
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
  /* During the initial sync this node knows few members, mostly contacts, and must not overload
     them. */
  if (m->sync.missing_groups != 0 && tokens > INITIAL_SYNC_UPDATE_BYTES_MAX)
    tokens = INITIAL_SYNC_UPDATE_BYTES_MAX;
  if ((double)writer->size + tokens < (double)limit)
    limit = writer->size + (size_t)tokens;
  count = (limit - writer->size) / RECORD_BYTES_MIN;
  if (count > SGR_MEMBERSHIP_RECORDS_MAX)
    count = SGR_MEMBERSHIP_RECORDS_MAX;
  count = sgr_membership_queue_select (&m->queue, &m->table, handles, count);
  for (size_t i = 0; i < count; i++)
    {
      sgr_membership_entry_t *entry = sgr_membership_entry (m, handles[i]);

      if (!sgr_membership_add_record (m, writer, now_us, handles[i], entry->queue_with_descriptor,
                                      limit))
        break;
      sgr_membership_queue_count_send (&m->queue, &m->table, handles[i],
                                       update_send_count (m, entry));
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
  size_t share_bytes;

  writer->message.sender = m->id;
  writer->message.boot = self->boot;
  writer->message.config_revision = self->config_revision;
  length = sgr_membership_writer_finish (writer, bytes);
  total = length + SGR_MEMBERSHIP_DATAGRAM_OVERHEAD;
  share_bytes = total;
  /* In a detection datagram, the bytes beyond SGR_MEMBERSHIP_PROBE_BYTES are piggybacked updates.
   */
  if (share == SGR_MEMBERSHIP_DETECTION && total > SGR_MEMBERSHIP_PROBE_BYTES)
    share_bytes = SGR_MEMBERSHIP_PROBE_BYTES;
  if (share == SGR_MEMBERSHIP_SYNC
      && total - writer->evacuation_size <= SYNC_IN_DETECTION_SHARE_BYTES_MAX
      && !sgr_membership_budget_has (&m->budget, share, total)
      && m->budget.tokens[SGR_MEMBERSHIP_DETECTION]
             > m->budget.capacity[SGR_MEMBERSHIP_DETECTION] / 2)
    share = SGR_MEMBERSHIP_DETECTION;
  if (!sgr_membership_budget_has (&m->budget, share, share_bytes))
    {
      m->counters.budget_refusals++;
      return false;
    }
  sgr_membership_budget_charge (&m->budget, share, share_bytes, true);
  if (total > share_bytes)
    sgr_membership_budget_charge (&m->budget, SGR_MEMBERSHIP_UPDATES, total - share_bytes, true);
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
  return m->table.ring_count - (m->has_left ? 0 : 1);
}

uint32_t
sgr_membership_random_peer (sgr_membership_t *m)
{
  uint32_t index;

  if (sgr_membership_peer_count (m) == 0)
    return SGR_MEMBERSHIP_NONE;
  index = (uint32_t)sgr_rng_below (&m->rng, m->table.ring_count);
  if (m->table.ring[index] == m->self)
    index = (index + 1) % m->table.ring_count;
  return m->table.ring[index];
}
