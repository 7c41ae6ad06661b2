#include "membership_internal.h"

#define ALL_GROUPS UINT64_MAX
#define CHAINS_PER_GROUP (SGR_MEMBERSHIP_HASH_CHAINS / SGR_MEMBERSHIP_GROUPS)
/* Maximum number of groups that a pull requests and of known records that it lists. The bounds make
   it likely that one answer covers all requested groups, so that no request has to be repeated. */
#define PULL_GROUPS_MAX 8
#define PULL_FINGERPRINTS_MAX 100
/* Maximum number of records that the answer to a pull requests in return. */
#define REQUESTED_RECORDS_MAX 32
#define FINGERPRINT_FILTER_BITS 1024
/* Bytes that the budget for sync must hold before a sync starts: for the request, for its answer,
   which is charged on receipt, and for requests of other nodes in the meantime. */
#define SYNC_START_BYTES_MIN (3 * SGR_MEMBERSHIP_DATAGRAM_MAX)
#define PULL_TIMEOUT_US SGR_USEC_PER_SEC
/* Mean time between two syncs while the membership views differ. */
#define CATCH_UP_PERIOD_US SGR_USEC_PER_SEC
/* A node ends a sync after this number of consecutive pulls without a newer record. The peer's own
   pulls or gossip then remove the remaining difference. */
#define PULLS_WITHOUT_CHANGE_MAX 3
/* Mean wait after the first join request, and how many times the wait is doubled. */
#define JOIN_WAIT_US (2 * SGR_USEC_PER_SEC)
#define JOIN_WAIT_DOUBLINGS_MAX 4
/* A node with fewer peers, which are mostly contacts, requests more peers from a contact before it
   starts to probe and pull. Otherwise many nodes that start at once would all probe the contacts
   and pull from them. */
#define JOIN_PEERS_MIN 6
/* Maximum size of the answer to a join request, without the evacuated failure domains. It names
   only a few members, from which the new node then pulls all records. */
#define JOIN_ANSWER_BYTES_MAX 400

typedef bool (*entry_visitor_t) (void *ctx, uint32_t handle);

/* Calls @visit for each live member of a group; stops and returns false when @visit does. */
static bool
group_visit (const sgr_membership_t *m, unsigned group, entry_visitor_t visit, void *ctx)
{
  for (unsigned chain = 0; chain < CHAINS_PER_GROUP; chain++)
    {
      uint32_t handle = m->table.heads[group * CHAINS_PER_GROUP + chain];

      for (; handle != SGR_MEMBERSHIP_NONE; handle = m->table.entries[handle].next)
        if (sgr_membership_entry_is_live (&m->table.entries[handle]) && !visit (ctx, handle))
          return false;
    }
  return true;
}

/**
 * struct group_scan_t - context of the functions that group_visit() calls
 * @m: the membership
 * @writer: the datagram that is being built
 * @message: the received datagram, whose fingerprints are searched
 * @now_us: monotonic time
 * @found: bit set of the fingerprints of @message that belong to records of this node
 * @filter: bit set of the fingerprints of @message modulo FINGERPRINT_FILTER_BITS
 */
typedef struct
{
  sgr_membership_t *m;
  sgr_membership_writer_t *writer;
  const sgr_membership_message_t *message;
  uint64_t now_us;
  uint64_t found[(SGR_MEMBERSHIP_FINGERPRINTS_MAX + 63) / 64];
  uint64_t filter[FINGERPRINT_FILTER_BITS / 64];
} group_scan_t;

/* Most records are not listed in the datagram; the filter avoids comparing them with every listed
   fingerprint. */
static void
filter_fill (group_scan_t *scan)
{
  for (size_t i = 0; i < scan->message->fingerprint_count; i++)
    {
      uint32_t bit = scan->message->fingerprints[i] % FINGERPRINT_FILTER_BITS;

      scan->filter[bit / 64] |= 1ULL << (bit % 64);
    }
}

/* Returns the index of a fingerprint in the received datagram, or the number of fingerprints there
   if the datagram does not list it. */
static size_t
fingerprint_find (const group_scan_t *scan, uint32_t fingerprint)
{
  uint32_t bit = fingerprint % FINGERPRINT_FILTER_BITS;
  size_t count = scan->message->fingerprint_count;

  if ((scan->filter[bit / 64] >> (bit % 64) & 1) == 0)
    return count;
  for (size_t i = 0; i < count; i++)
    if (scan->message->fingerprints[i] == fingerprint)
      return i;
  return count;
}

static bool
fingerprint_add (void *ctx, uint32_t handle)
{
  group_scan_t *scan = ctx;

  return sgr_membership_writer_add_fingerprint (scan->writer,
                                                scan->m->table.entries[handle].fingerprint);
}

bool
sgr_membership_is_joining (const sgr_membership_t *m)
{
  return !m->sync.joined && sgr_membership_peer_count (m) < JOIN_PEERS_MIN && m->contact_count > 0;
}

/* Requests the records of some of the given groups, except those that this node already has. */
static bool
pull_send (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *to, uint64_t groups)
{
  sgr_membership_writer_t writer;
  group_scan_t scan = { .m = m, .writer = &writer, .now_us = now_us };
  unsigned start = (unsigned)sgr_rng_below (&m->rng, SGR_MEMBERSHIP_GROUPS);
  unsigned count = 0;

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PULL);
  /* Include the record of this node, which the receiver may not know yet. */
  if (m->sync.pulls_with_own_record_left > 0)
    sgr_membership_add_record (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
  for (unsigned i = 0; i < SGR_MEMBERSHIP_GROUPS && count < PULL_GROUPS_MAX; i++)
    {
      unsigned group = (start + i) % SGR_MEMBERSHIP_GROUPS;
      size_t before = writer.message.n_fingerprints;
      size_t size = writer.size;

      if ((groups >> group & 1) == 0)
        continue;
      if (!group_visit (m, group, fingerprint_add, &scan)
          || (count > 0 && writer.message.n_fingerprints > PULL_FINGERPRINTS_MAX))
        {
          /* A group that does not fit is left to the next pull. The first group is requested in any
             case, even if some of its fingerprints do not fit. */
          if (count > 0)
            {
              writer.message.n_fingerprints = before;
              writer.size = size;
              break;
            }
        }
      writer.message.groups |= 1ULL << group;
      count++;
    }
  if (m->sync.pulls_with_own_record_left > 0 && sgr_membership_peer_count (m) > 0)
    m->sync.pulls_with_own_record_left--;
  m->sync.requested_groups = writer.message.groups;
  m->sync.sequence = writer.message.sequence = ++m->sequence;
  return sgr_membership_send (m, &writer, to, SGR_MEMBERSHIP_SYNC);
}

static void
digest_send (sgr_membership_t *m, const sgr_address_t *to)
{
  sgr_membership_writer_t writer;

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_DIGEST);
  sgr_membership_writer_set_digests (&writer, m->table.digests);
  m->sync.sequence = writer.message.sequence = ++m->sequence;
  sgr_membership_send (m, &writer, to, SGR_MEMBERSHIP_SYNC);
}

/* Sends a join request: a pull of all groups that lists no fingerprint. No other pull has this
   form. */
static void
join_send (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *to)
{
  sgr_membership_writer_t writer;

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PULL);
  writer.message.groups = ALL_GROUPS;
  m->sync.sequence = writer.message.sequence = ++m->sequence;
  sgr_membership_add_record (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
  sgr_membership_send (m, &writer, to, SGR_MEMBERSHIP_SYNC);
}

static void
join_tick (sgr_membership_t *m, uint64_t now_us)
{
  sgr_membership_sync_t *sync = &m->sync;
  uint64_t wait_us;

  if (m->contact_count == 0)
    {
      sync->due_us = now_us + PULL_TIMEOUT_US;
      return;
    }
  join_send (m, now_us, &m->contacts[sgr_rng_below (&m->rng, m->contact_count)]);
  /* Wait for random, growing times between join requests. When thousands of nodes start at once,
     the contacts can answer only a few of the requests, and the waits distribute the others over
     time. */
  wait_us = JOIN_WAIT_US << sync->join_attempts;
  if (sync->join_attempts < JOIN_WAIT_DOUBLINGS_MAX)
    sync->join_attempts++;
  else if (sgr_membership_peer_count (m) > 0)
    sync->joined = true; /* no contact answers: continue with the known peers */
  sync->due_us = now_us + wait_us / 2 + sgr_rng_below (&m->rng, wait_us);
}

void
sgr_membership_sync_tick (sgr_membership_t *m, uint64_t now_us)
{
  sgr_membership_sync_t *sync = &m->sync;
  uint64_t period_us = m->options.sync_period_ms * SGR_USEC_PER_MSEC;
  sgr_address_t address;
  uint32_t peer;

  if (now_us < sync->due_us)
    return;
  if (m->has_left)
    {
      sync->due_us = UINT64_MAX;
      return;
    }
  peer = sgr_membership_random_peer (m);
  if (peer == SGR_MEMBERSHIP_NONE || sgr_membership_is_joining (m))
    {
      join_tick (m, now_us);
      return;
    }
  if (!sgr_membership_budget_has (&m->budget, SGR_MEMBERSHIP_SYNC, SYNC_START_BYTES_MIN))
    {
      sync->due_us = now_us + PULL_TIMEOUT_US / 4 + sgr_rng_below (&m->rng, PULL_TIMEOUT_US / 2);
      return;
    }
  address = sgr_membership_address (m, peer);
  if (sync->missing_groups != 0)
    {
      pull_send (m, now_us, &address, sync->missing_groups);
      sync->due_us = now_us + PULL_TIMEOUT_US;
      return;
    }
  digest_send (m, &address);
  if (sync->catching_up)
    period_us = CATCH_UP_PERIOD_US;
  sync->due_us = now_us + period_us / 2 + sgr_rng_below (&m->rng, period_us);
}

/* Ends a sync after which the membership views agree or the last pulls returned no newer record,
   and schedules the next one after the regular period. */
static void
sync_finish (sgr_membership_t *m, uint64_t now_us)
{
  uint64_t period_us = m->options.sync_period_ms * SGR_USEC_PER_MSEC;

  m->sync.sequence = 0;
  m->sync.catching_up = false;
  m->sync.pulls_without_change = 0;
  m->sync.due_us = now_us + period_us / 2 + sgr_rng_below (&m->rng, period_us);
}

/* Answers a digest message with the groups of node ids whose digests differ. */
static void
digest_receive (sgr_membership_t *m, const sgr_address_t *from,
                const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_DIFF);
  writer.message.sequence = message->sequence;
  for (unsigned i = 0; i < SGR_MEMBERSHIP_GROUPS; i++)
    if (message->digests[i] != m->table.digests[i])
      writer.message.groups |= 1ULL << i;
  /* An answer without groups means that the membership views agree. */
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

static void
diff_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message)
{
  /* Ignore answers that are not awaited. */
  if (m->sync.sequence == 0 || message->sequence != m->sync.sequence || m->sync.missing_groups != 0)
    return;
  if (message->groups != 0)
    pull_send (m, now_us, from, message->groups);
  else
    sync_finish (m, now_us);
}

/* Adds a record to the answer to a pull, unless the requester listed its fingerprint. */
static bool
pull_answer_add_record (void *ctx, uint32_t handle)
{
  group_scan_t *scan = ctx;
  uint32_t fingerprint = scan->m->table.entries[handle].fingerprint;

  if (fingerprint_find (scan, fingerprint) < scan->message->fingerprint_count)
    return true;
  return sgr_membership_add_record (scan->m, scan->writer, scan->now_us, handle, true,
                                    SGR_MEMBERSHIP_DATAGRAM_MAX);
}

static bool
fingerprint_mark (void *ctx, uint32_t handle)
{
  group_scan_t *scan = ctx;
  size_t i = fingerprint_find (scan, scan->m->table.entries[handle].fingerprint);

  if (i < scan->message->fingerprint_count)
    scan->found[i / 64] |= 1ULL << (i % 64);
  return true;
}

/* Adds the fingerprints of the records that the requester listed and this node lacks to the answer.
   With them, the answer requests these records in return. */
static void
pull_answer_add_requests (group_scan_t *scan)
{
  const sgr_membership_message_t *message = scan->message;
  uint32_t requested = 0;

  for (unsigned group = 0; group < SGR_MEMBERSHIP_GROUPS; group++)
    if (message->groups >> group & 1)
      group_visit (scan->m, group, fingerprint_mark, scan);
  for (size_t i = 0; i < message->fingerprint_count && requested < REQUESTED_RECORDS_MAX; i++)
    if ((scan->found[i / 64] >> (i % 64) & 1) == 0)
      {
        sgr_membership_writer_add_fingerprint (scan->writer, message->fingerprints[i]);
        requested++;
      }
}

/* Answers a join request with some random live members. */
static void
join_answer (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
             const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;
  uint32_t start = (uint32_t)sgr_rng_below (&m->rng, m->table.ring_count);

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PULL_ANSWER);
  writer.message.sequence = message->sequence;
  for (uint32_t i = 0; i < m->table.ring_count; i++)
    {
      uint32_t peer = m->table.ring[(start + i) % m->table.ring_count];

      /* This node is the contact. It names other members, so that the requester sends its pulls to
         them and the contact is not overloaded. It names itself only if it knows no member beside
         itself and the requester. */
      if (m->table.entries[peer].id != message->sender
          && (peer != m->self || m->table.ring_count <= 2)
          && !sgr_membership_add_record (m, &writer, now_us, peer, true,
                                         JOIN_ANSWER_BYTES_MAX + writer.evacuation_size))
        break;
    }
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

static void
pull_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;
  group_scan_t scan = { .m = m, .writer = &writer, .message = message, .now_us = now_us };
  unsigned start = (unsigned)sgr_rng_below (&m->rng, SGR_MEMBERSHIP_GROUPS);

  if (message->groups == ALL_GROUPS && message->fingerprint_count == 0)
    {
      join_answer (m, now_us, from, message);
      return;
    }
  if (!sgr_membership_budget_has (&m->budget, SGR_MEMBERSHIP_SYNC,
                                  SGR_MEMBERSHIP_DATAGRAM_MAX + SGR_MEMBERSHIP_DATAGRAM_OVERHEAD))
    {
      m->counters.budget_refusals++;
      return;
    }
  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PULL_ANSWER);
  writer.message.sequence = message->sequence;
  filter_fill (&scan);
  pull_answer_add_requests (&scan);
  for (unsigned i = 0; i < SGR_MEMBERSHIP_GROUPS; i++)
    {
      unsigned group = (start + i) % SGR_MEMBERSHIP_GROUPS;

      if ((message->groups >> group & 1) == 0)
        continue;
      if (!group_visit (m, group, pull_answer_add_record, &scan))
        break;
      writer.message.groups |= 1ULL << group;
    }
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

/* Adds a record to the datagram if the answer to this node's pull requested it in return. */
static bool
push_add_record (void *ctx, uint32_t handle)
{
  group_scan_t *scan = ctx;
  uint32_t fingerprint = scan->m->table.entries[handle].fingerprint;

  if (fingerprint_find (scan, fingerprint) == scan->message->fingerprint_count)
    return true;
  return sgr_membership_add_record (scan->m, scan->writer, scan->now_us, handle, true,
                                    SGR_MEMBERSHIP_DATAGRAM_MAX);
}

/* Sends the records that the answer to a pull requests in return. */
static void
push_requested_records (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                        const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;
  group_scan_t scan = { .m = m, .writer = &writer, .message = message, .now_us = now_us };

  if (message->fingerprint_count == 0)
    return;
  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PUSH);
  filter_fill (&scan);
  for (unsigned group = 0; group < SGR_MEMBERSHIP_GROUPS; group++)
    if ((m->sync.requested_groups >> group & 1) && !group_visit (m, group, push_add_record, &scan))
      break;
  if (writer.message.n_records > 0)
    sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

static void
pull_answer_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                     const sgr_membership_message_t *message, uint32_t newer_count)
{
  sgr_membership_sync_t *sync = &m->sync;

  if (sync->sequence == 0 || message->sequence != sync->sequence)
    return;
  sync->sequence = 0;
  if (sgr_membership_is_joining (m))
    {
      /* Stop requesting peers when a contact names no new member: the fleet is small and there are
         no more peers. */
      sync->joined = newer_count == 0;
      sync->due_us = now_us;
      return;
    }
  m->counters.syncs++;
  push_requested_records (m, now_us, from, message);
  if (sync->missing_groups != 0)
    {
      /* A group is complete only after an answer without any newer record: when many nodes start at
         once, the first peers know few members themselves. */
      if (newer_count == 0)
        sync->missing_groups &= ~(message->groups & sync->requested_groups);
      m->budget.sync_first = sync->missing_groups != 0;
      sync->due_us = now_us;
    }
  else if (newer_count > 0 || ++sync->pulls_without_change < PULLS_WITHOUT_CHANGE_MAX)
    {
      if (newer_count > 0)
        sync->pulls_without_change = 0;
      sync->catching_up = true;
      sync->due_us = now_us;
    }
  else
    sync_finish (m, now_us);
}

/* Sends the full records that the sender requests by node id. */
static void
record_request_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                        const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PUSH);
  for (size_t i = 0; i < message->wanted_count; i++)
    {
      uint32_t handle = sgr_membership_table_find (&m->table, message->wanted[i]);

      if (handle != SGR_MEMBERSHIP_NONE)
        sgr_membership_add_record (m, &writer, now_us, handle, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
    }
  if (writer.message.n_records > 0)
    sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

void
sgr_membership_sync_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                             const sgr_membership_message_t *message, uint32_t newer_count)
{
  switch (message->kind)
    {
    case SGR_MEMBERSHIP_DIGEST:
      digest_receive (m, from, message);
      break;
    case SGR_MEMBERSHIP_DIFF:
      diff_receive (m, now_us, from, message);
      break;
    case SGR_MEMBERSHIP_PULL:
      pull_receive (m, now_us, from, message);
      break;
    case SGR_MEMBERSHIP_PULL_ANSWER:
      pull_answer_receive (m, now_us, from, message, newer_count);
      break;
    case SGR_MEMBERSHIP_RECORD_REQUEST:
      record_request_receive (m, now_us, from, message);
      break;
    default:
      break;
    }
}

void
sgr_membership_sync_send_pending (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from)
{
  sgr_membership_writer_t writer;

  if (m->requested_id_count > 0)
    {
      sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_RECORD_REQUEST);
      for (uint32_t i = 0; i < m->requested_id_count; i++)
        sgr_membership_writer_add_wanted_id (&writer, m->requested_ids[i]);
      sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
    }
  if (m->correction_count > 0 || m->self_correction_due)
    {
      sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PUSH);
      if (m->self_correction_due)
        sgr_membership_add_record (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
      for (uint32_t i = 0; i < m->correction_count; i++)
        sgr_membership_add_record (m, &writer, now_us, m->corrections[i], false,
                                   SGR_MEMBERSHIP_DATAGRAM_MAX);
      if (writer.message.n_records > 0)
        sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
    }
  m->requested_id_count = m->correction_count = 0;
  m->self_correction_due = false;
}
