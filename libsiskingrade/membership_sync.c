#include "membership_internal.h"

#define GROUP_BITS_ALL UINT64_MAX
#define CHAINS_PER_GROUP (SGR_MEMBERSHIP_CHAINS / SGR_MEMBERSHIP_GROUPS)
/* A pull asks for at most this many groups and lists at most this many known records, so that an
   answer is likely to fill one datagram without repeating the request. */
#define PULL_GROUPS_MAX 8
#define PULL_FINGERPRINTS_MAX 100
/* Records of the receiver that an answer asks for. */
#define ASKS_MAX 32
#define FILTER_BITS 1024
#define PULL_TIMEOUT_US SGR_USEC_PER_SEC
#define CATCH_UP_US SGR_USEC_PER_SEC
/* Pulls in a row without news after which a difference is left to the other side or to gossip. */
#define FRUITLESS_MAX 3
/* First wait between two requests to join, and how often it is doubled. */
#define JOIN_WAIT_US (2 * SGR_USEC_PER_SEC)
#define JOIN_BACKOFF_MAX 4
/* With fewer peers, which are mostly contacts, a node asks for more of them before it begins to
   probe and pull; otherwise all nodes that start at once would do so at the contacts. */
#define JOIN_PEERS 6
/* A contact answers a join with a few members, who then serve the rest of the state. */
#define JOIN_ANSWER_BYTES 400

typedef bool (*entry_visit_t) (void *ctx, uint32_t handle);

/* Visits the live records of a group; stops and returns false when a visit does. */
static bool
group_visit (const sgr_membership_t *m, unsigned group, entry_visit_t visit, void *ctx)
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

typedef struct
{
  sgr_membership_t *m;
  sgr_membership_writer_t *writer;
  const sgr_membership_message_t *message;
  uint64_t now_us;
  uint64_t found[(SGR_MEMBERSHIP_FINGERPRINTS_MAX + 63) / 64];
  uint64_t filter[FILTER_BITS / 64];
} visit_t;

/* Most records are not among the listed ones; the filter spares the comparison with each. */
static void
filter_fill (visit_t *visit)
{
  for (size_t i = 0; i < visit->message->fingerprint_count; i++)
    {
      uint32_t bit = visit->message->fingerprints[i] % FILTER_BITS;

      visit->filter[bit / 64] |= 1ULL << (bit % 64);
    }
}

/* Place of a fingerprint among the listed ones, the number of listed ones if it is not there. */
static size_t
fingerprint_find (const visit_t *visit, uint32_t fingerprint)
{
  uint32_t bit = fingerprint % FILTER_BITS;
  size_t count = visit->message->fingerprint_count;

  if ((visit->filter[bit / 64] >> (bit % 64) & 1) == 0)
    return count;
  for (size_t i = 0; i < count; i++)
    if (visit->message->fingerprints[i] == fingerprint)
      return i;
  return count;
}

static bool
fingerprint_add (void *ctx, uint32_t handle)
{
  visit_t *visit = ctx;

  return sgr_membership_writer_add_fingerprint (visit->writer,
                                                visit->m->table.entries[handle].fingerprint);
}

bool
sgr_membership_is_joining (const sgr_membership_t *m)
{
  return !m->sync.joined && sgr_membership_peer_count (m) < JOIN_PEERS && m->contact_count > 0;
}

static bool
pull_send (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *to, uint64_t groups)
{
  sgr_membership_writer_t writer;
  visit_t visit = { .m = m, .writer = &writer, .now_us = now_us };
  unsigned start = (unsigned)sgr_rng_below (&m->rng, SGR_MEMBERSHIP_GROUPS);
  unsigned count = 0;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PULL);
  /* The receiver may not know this node yet. */
  if (m->sync.introductions > 0)
    sgr_membership_add (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
  for (unsigned i = 0; i < SGR_MEMBERSHIP_GROUPS && count < PULL_GROUPS_MAX; i++)
    {
      unsigned group = (start + i) % SGR_MEMBERSHIP_GROUPS;
      size_t before = writer.message.n_fingerprints;
      size_t size = writer.size;

      if ((groups >> group & 1) == 0)
        continue;
      if (!group_visit (m, group, fingerprint_add, &visit)
          || (count > 0 && writer.message.n_fingerprints > PULL_FINGERPRINTS_MAX))
        {
          /* A group that does not fit is left for the next pull, except the first. */
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
  if (m->sync.introductions > 0 && sgr_membership_peer_count (m) > 0)
    m->sync.introductions--;
  m->sync.asked = writer.message.groups;
  m->sync.sequence = writer.message.sequence = ++m->sequence;
  return sgr_membership_send (m, &writer, to, SGR_MEMBERSHIP_SYNC);
}

static void
digest_send (sgr_membership_t *m, const sgr_address_t *to)
{
  sgr_membership_writer_t writer;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_DIGEST);
  sgr_membership_writer_set_digests (&writer, m->table.digests);
  m->sync.sequence = writer.message.sequence = ++m->sequence;
  sgr_membership_send (m, &writer, to, SGR_MEMBERSHIP_SYNC);
}

/* Asks for all groups without naming any record, which tells a join from other pulls. */
static void
join_send (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *to)
{
  sgr_membership_writer_t writer;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PULL);
  writer.message.groups = GROUP_BITS_ALL;
  m->sync.sequence = writer.message.sequence = ++m->sequence;
  sgr_membership_add (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
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
  /* Contacts that thousands of nodes address at once answer few; the waits spread the rest. */
  wait_us = JOIN_WAIT_US << sync->attempts;
  if (sync->attempts < JOIN_BACKOFF_MAX)
    sync->attempts++;
  else if (sgr_membership_peer_count (m) > 0)
    sync->joined = true; /* no contact answers; the known peers have to do */
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
  if (m->left)
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
  /* The answer is charged too, and others may ask meanwhile. */
  if (!sgr_membership_budget_has (&m->budget, SGR_MEMBERSHIP_SYNC, 3 * SGR_MEMBERSHIP_DATAGRAM_MAX))
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
  if (sync->behind)
    period_us = CATCH_UP_US;
  sync->due_us = now_us + period_us / 2 + sgr_rng_below (&m->rng, period_us);
}

/* The views agree, or the last exchange brought nothing: the next one has time. */
static void
sync_settle (sgr_membership_t *m, uint64_t now_us)
{
  uint64_t period_us = m->options.sync_period_ms * SGR_USEC_PER_MSEC;

  m->sync.sequence = 0;
  m->sync.behind = false;
  m->sync.fruitless = 0;
  m->sync.due_us = now_us + period_us / 2 + sgr_rng_below (&m->rng, period_us);
}

static void
digest_receive (sgr_membership_t *m, const sgr_address_t *from,
                const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_DIFF);
  writer.message.sequence = message->sequence;
  for (unsigned i = 0; i < SGR_MEMBERSHIP_GROUPS; i++)
    if (message->digests[i] != m->table.digests[i])
      writer.message.groups |= 1ULL << i;
  /* An answer without groups tells the sender that the views agree. */
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

static void
diff_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message)
{
  /* The sequence is 0 while no answer is awaited. */
  if (m->sync.sequence == 0 || message->sequence != m->sync.sequence || m->sync.missing_groups != 0)
    return;
  if (message->groups != 0)
    pull_send (m, now_us, from, message->groups);
  else
    sync_settle (m, now_us);
}

/* Adds a record unless the requester listed its fingerprint. */
static bool
page_add (void *ctx, uint32_t handle)
{
  visit_t *visit = ctx;
  uint32_t fingerprint = visit->m->table.entries[handle].fingerprint;

  if (fingerprint_find (visit, fingerprint) < visit->message->fingerprint_count)
    return true;
  return sgr_membership_add (visit->m, visit->writer, visit->now_us, handle, true,
                             SGR_MEMBERSHIP_DATAGRAM_MAX);
}

static bool
fingerprint_mark (void *ctx, uint32_t handle)
{
  visit_t *visit = ctx;
  size_t i = fingerprint_find (visit, visit->m->table.entries[handle].fingerprint);

  if (i < visit->message->fingerprint_count)
    visit->found[i / 64] |= 1ULL << (i % 64);
  return true;
}

/* Asks for the records that the requester listed and this node lacks. */
static void
page_add_asks (visit_t *visit)
{
  const sgr_membership_message_t *message = visit->message;
  uint32_t asks = 0;

  for (unsigned group = 0; group < SGR_MEMBERSHIP_GROUPS; group++)
    if (message->groups >> group & 1)
      group_visit (visit->m, group, fingerprint_mark, visit);
  for (size_t i = 0; i < message->fingerprint_count && asks < ASKS_MAX; i++)
    if ((visit->found[i / 64] >> (i % 64) & 1) == 0)
      {
        sgr_membership_writer_add_fingerprint (visit->writer, message->fingerprints[i]);
        asks++;
      }
}

static void
join_answer (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
             const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;
  uint32_t start = (uint32_t)sgr_rng_below (&m->rng, m->table.ring_count);

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PAGE);
  writer.message.sequence = message->sequence;
  for (uint32_t i = 0; i < m->table.ring_count; i++)
    {
      uint32_t peer = m->table.ring[(start + i) % m->table.ring_count];

      /* Others relieve the contact; it names itself only if it knows nobody else. */
      if (m->table.entries[peer].id != message->sender
          && (peer != m->self || m->table.ring_count <= 2)
          && !sgr_membership_add (m, &writer, now_us, peer, true, JOIN_ANSWER_BYTES))
        break;
    }
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

static void
pull_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;
  visit_t visit = { .m = m, .writer = &writer, .message = message, .now_us = now_us };
  unsigned start = (unsigned)sgr_rng_below (&m->rng, SGR_MEMBERSHIP_GROUPS);

  if (message->groups == GROUP_BITS_ALL && message->fingerprint_count == 0)
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
  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PAGE);
  writer.message.sequence = message->sequence;
  filter_fill (&visit);
  page_add_asks (&visit);
  for (unsigned i = 0; i < SGR_MEMBERSHIP_GROUPS; i++)
    {
      unsigned group = (start + i) % SGR_MEMBERSHIP_GROUPS;

      if ((message->groups >> group & 1) == 0)
        continue;
      if (!group_visit (m, group, page_add, &visit))
        break;
      writer.message.groups |= 1ULL << group;
    }
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

/* Adds a record if the sender of the page asked for it. */
static bool
give_add (void *ctx, uint32_t handle)
{
  visit_t *visit = ctx;
  uint32_t fingerprint = visit->m->table.entries[handle].fingerprint;

  if (fingerprint_find (visit, fingerprint) == visit->message->fingerprint_count)
    return true;
  return sgr_membership_add (visit->m, visit->writer, visit->now_us, handle, true,
                             SGR_MEMBERSHIP_DATAGRAM_MAX);
}

static void
give_asked (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
            const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;
  visit_t visit = { .m = m, .writer = &writer, .message = message, .now_us = now_us };

  if (message->fingerprint_count == 0)
    return;
  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GIVE);
  filter_fill (&visit);
  for (unsigned group = 0; group < SGR_MEMBERSHIP_GROUPS; group++)
    if ((m->sync.asked >> group & 1) && !group_visit (m, group, give_add, &visit))
      break;
  if (writer.message.n_records > 0)
    sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

static void
page_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message, uint32_t news)
{
  sgr_membership_sync_t *sync = &m->sync;

  if (sync->sequence == 0 || message->sequence != sync->sequence)
    return;
  sync->sequence = 0;
  if (sgr_membership_is_joining (m))
    {
      /* A contact that names nobody new knows no more: the fleet is small. */
      sync->joined = news == 0;
      sync->due_us = now_us;
      return;
    }
  m->counters.syncs++;
  give_asked (m, now_us, from, message);
  if (sync->missing_groups != 0)
    {
      /* A group is complete when a peer had nothing new in it: when many nodes start at once, the
         first peers know little themselves. */
      if (news == 0)
        sync->missing_groups &= ~(message->groups & sync->asked);
      m->budget.sync_first = sync->missing_groups != 0;
      sync->due_us = now_us;
    }
  else if (news > 0 || ++sync->fruitless < FRUITLESS_MAX)
    {
      if (news > 0)
        sync->fruitless = 0;
      sync->behind = true;
      sync->due_us = now_us;
    }
  else
    sync_settle (m, now_us);
}

static void
want_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message)
{
  sgr_membership_writer_t writer;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GIVE);
  for (size_t i = 0; i < message->wanted_count; i++)
    {
      uint32_t handle = sgr_membership_table_find (&m->table, message->wanted[i]);

      if (handle != SGR_MEMBERSHIP_NONE)
        sgr_membership_add (m, &writer, now_us, handle, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
    }
  if (writer.message.n_records > 0)
    sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
}

void
sgr_membership_sync_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                             const sgr_membership_message_t *message, uint32_t news)
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
    case SGR_MEMBERSHIP_PAGE:
      page_receive (m, now_us, from, message, news);
      break;
    case SGR_MEMBERSHIP_WANT:
      want_receive (m, now_us, from, message);
      break;
    default:
      break;
    }
}

void
sgr_membership_sync_flush (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from)
{
  sgr_membership_writer_t writer;

  if (m->want_count > 0)
    {
      sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_WANT);
      for (uint32_t i = 0; i < m->want_count; i++)
        sgr_membership_writer_add_wanted (&writer, m->wants[i]);
      sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
    }
  if (m->correction_count > 0 || m->self_corrects)
    {
      sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GIVE);
      if (m->self_corrects)
        sgr_membership_add (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
      for (uint32_t i = 0; i < m->correction_count; i++)
        sgr_membership_add (m, &writer, now_us, m->corrections[i], false,
                            SGR_MEMBERSHIP_DATAGRAM_MAX);
      if (writer.message.n_records > 0)
        sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_SYNC);
    }
  m->want_count = m->correction_count = 0;
  m->self_corrects = false;
}
