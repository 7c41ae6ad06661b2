#include "membership_internal.h"

/* Probe periods between two probes until the full state was pulled once. */
#define PULLING_PERIODS 3

void
sgr_membership_health_add (sgr_membership_t *m, int change)
{
  int health = (int)m->health + change;

  if (health < 0)
    health = 0;
  if (health > SGR_MEMBERSHIP_HEALTH_MAX)
    health = SGR_MEMBERSHIP_HEALTH_MAX;
  m->health = (uint32_t)health;
}

/* Lifeguard: a node that doubts its own health gives the others more time. */
static uint64_t
stretched_us (const sgr_membership_t *m, uint32_t duration_ms)
{
  return (uint64_t)duration_ms * SGR_USEC_PER_MSEC * (m->health + 1);
}

/* The record of a receiver that is not seen as alive goes first, so that it can refute. */
static void
add_doubt (sgr_membership_t *m, sgr_membership_writer_t *writer, uint64_t now_us, uint32_t handle)
{
  if (m->table.entries[handle].status != SGR_MEMBER_ALIVE)
    sgr_membership_add (m, writer, now_us, handle, false, SGR_MEMBERSHIP_DATAGRAM_MAX);
}

static bool
ping_send (sgr_membership_t *m, uint64_t now_us, uint32_t handle, uint32_t sequence,
           sgr_membership_share_t share)
{
  sgr_address_t address = sgr_membership_address (m, handle);
  sgr_membership_writer_t writer;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PING);
  writer.message.sequence = sequence;
  writer.message.target = m->table.entries[handle].id;
  add_doubt (m, &writer, now_us, handle);
  sgr_membership_add_updates (m, &writer, now_us);
  return sgr_membership_send (m, &writer, &address, share);
}

/* Members are probed in a random order that is drawn anew after each round. */
static uint32_t
next_target (sgr_membership_t *m)
{
  uint32_t handle;

  if (sgr_membership_peer_count (m) == 0)
    return SGR_MEMBERSHIP_NONE;
  do
    {
      if (m->ring_cursor >= m->table.ring_count)
        {
          sgr_membership_table_shuffle (&m->table, &m->rng);
          m->ring_cursor = 0;
        }
      handle = m->table.ring[m->ring_cursor++];
    }
  while (handle == m->self);
  return handle;
}

static void
probe_start (sgr_membership_t *m, uint64_t now_us)
{
  sgr_membership_probe_t *probe = &m->probe;
  bool quiet = m->left || sgr_membership_is_joining (m);
  uint32_t handle = quiet ? SGR_MEMBERSHIP_NONE : next_target (m);
  const sgr_membership_entry_t *entry;

  probe->stage = SGR_MEMBERSHIP_PROBE_IDLE;
  probe->next_us = now_us + stretched_us (m, m->options.probe_period_ms);
  /* Nodes that know few members would all probe the contacts. */
  if (m->sync.missing_groups != 0)
    probe->next_us = now_us + PULLING_PERIODS * stretched_us (m, m->options.probe_period_ms);
  probe->due_us = probe->next_us;
  if (handle == SGR_MEMBERSHIP_NONE)
    return;
  entry = sgr_membership_entry (m, handle);
  probe->id = entry->id;
  probe->boot = entry->boot;
  probe->sequence = ++m->sequence;
  probe->nacks = probe->nacks_expected = 0;
  if (!ping_send (m, now_us, handle, probe->sequence, SGR_MEMBERSHIP_DETECTION))
    return;
  m->counters.probes++;
  probe->stage = SGR_MEMBERSHIP_PROBE_DIRECT;
  probe->due_us = now_us + stretched_us (m, m->options.probe_timeout_ms);
}

static void
probe_indirect (sgr_membership_t *m, uint64_t now_us, uint32_t target)
{
  sgr_membership_probe_t *probe = &m->probe;
  sgr_address_t address = sgr_membership_address (m, target);

  for (uint32_t i = 0; i < m->options.indirect_probes; i++)
    {
      uint32_t helper = sgr_membership_random_peer (m);
      sgr_address_t to;
      sgr_membership_writer_t writer;

      if (helper == target || m->table.entries[helper].status != SGR_MEMBER_ALIVE)
        continue;
      to = sgr_membership_address (m, helper);
      sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PING_REQ);
      writer.message.sequence = probe->sequence;
      writer.message.target = probe->id;
      writer.message.target_ip = address.ip;
      writer.message.target_port = address.port;
      if (sgr_membership_send (m, &writer, &to, SGR_MEMBERSHIP_DETECTION))
        probe->nacks_expected++;
    }
  /* A second direct ping costs little and makes a false suspicion ten times rarer at 5% loss. */
  ping_send (m, now_us, target, probe->sequence, SGR_MEMBERSHIP_DETECTION);
  probe->stage = SGR_MEMBERSHIP_PROBE_INDIRECT;
  probe->due_us = probe->next_us;
}

static void
probe_failed (sgr_membership_t *m, uint64_t now_us, uint32_t target)
{
  sgr_membership_probe_t *probe = &m->probe;

  m->counters.probe_failures++;
  /* Helpers that did not even report a missing answer point to a fault of this node. */
  if (probe->nacks_expected == 0)
    sgr_membership_health_add (m, 1);
  else
    sgr_membership_health_add (m, (int)probe->nacks_expected - (int)probe->nacks);
  sgr_membership_suspect (m, now_us, target);
}

void
sgr_membership_probe_tick (sgr_membership_t *m, uint64_t now_us)
{
  sgr_membership_probe_t *probe = &m->probe;
  uint32_t target;

  if (now_us < probe->due_us)
    return;
  if (probe->stage == SGR_MEMBERSHIP_PROBE_IDLE)
    {
      probe_start (m, now_us);
      return;
    }
  target = sgr_membership_table_find (&m->table, probe->id);
  if (target == SGR_MEMBERSHIP_NONE || m->left || m->table.entries[target].boot != probe->boot
      || !sgr_membership_entry_is_live (sgr_membership_entry (m, target)))
    {
      probe->stage = SGR_MEMBERSHIP_PROBE_IDLE;
      probe->due_us = probe->next_us;
    }
  else if (probe->stage == SGR_MEMBERSHIP_PROBE_DIRECT)
    probe_indirect (m, now_us, target);
  else
    {
      probe_failed (m, now_us, target);
      probe_start (m, now_us);
    }
}

static sgr_membership_relay_t *
relay_find (sgr_membership_t *m, uint32_t sequence, sgr_node_id_t target)
{
  for (int i = 0; i < SGR_MEMBERSHIP_RELAYS_MAX; i++)
    if (m->relays[i].due_us != 0 && m->relays[i].sequence == sequence
        && m->relays[i].target == target)
      return &m->relays[i];
  return NULL;
}

static void
relay_answer (sgr_membership_t *m, sgr_membership_relay_t *relay, sgr_membership_kind_t kind)
{
  sgr_membership_writer_t writer;

  sgr_membership_writer_begin (&writer, kind);
  writer.message.sequence = relay->requester_sequence;
  writer.message.target = relay->target;
  sgr_membership_send (m, &writer, &relay->requester, SGR_MEMBERSHIP_DETECTION);
  relay->due_us = 0;
}

void
sgr_membership_relay_tick (sgr_membership_t *m, uint64_t now_us)
{
  if (now_us < m->relay_due_us)
    return;
  m->relay_due_us = UINT64_MAX;
  for (int i = 0; i < SGR_MEMBERSHIP_RELAYS_MAX; i++)
    {
      sgr_membership_relay_t *relay = &m->relays[i];

      if (relay->due_us != 0 && relay->due_us <= now_us)
        relay_answer (m, relay, SGR_MEMBERSHIP_NACK);
      if (relay->due_us != 0 && relay->due_us < m->relay_due_us)
        m->relay_due_us = relay->due_us;
    }
}

static void
ping_req_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                  const sgr_membership_message_t *message)
{
  sgr_membership_relay_t *relay = NULL;
  sgr_membership_writer_t writer;

  for (int i = 0; i < SGR_MEMBERSHIP_RELAYS_MAX && relay == NULL; i++)
    if (m->relays[i].due_us == 0)
      relay = &m->relays[i];
  if (relay == NULL)
    return;
  *relay = (sgr_membership_relay_t){
    .due_us = now_us + m->options.probe_timeout_ms * SGR_USEC_PER_MSEC,
    .target = message->target,
    .requester = *from,
    .requester_sequence = message->sequence,
    .sequence = ++m->sequence,
  };
  if (relay->due_us < m->relay_due_us)
    m->relay_due_us = relay->due_us;
  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PING);
  writer.message.sequence = relay->sequence;
  writer.message.target = message->target;
  sgr_membership_send (m, &writer, &message->target_address, SGR_MEMBERSHIP_DETECTION);
}

static void
ping_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message)
{
  uint32_t sender = sgr_membership_table_find (&m->table, message->sender);
  sgr_membership_writer_t writer;

  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_ACK);
  writer.message.sequence = message->sequence;
  if (m->self_corrects)
    sgr_membership_add (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
  if (sender != SGR_MEMBERSHIP_NONE)
    add_doubt (m, &writer, now_us, sender);
  sgr_membership_add_updates (m, &writer, now_us);
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_DETECTION);
  m->self_corrects = false;
}

static void
ack_receive (sgr_membership_t *m, const sgr_membership_message_t *message)
{
  sgr_membership_probe_t *probe = &m->probe;
  sgr_membership_relay_t *relay = relay_find (m, message->sequence, message->sender);

  if (relay != NULL)
    relay_answer (m, relay, SGR_MEMBERSHIP_ACK);
  if (probe->stage == SGR_MEMBERSHIP_PROBE_IDLE || message->sequence != probe->sequence)
    return;
  if (message->sender != probe->id && message->target != probe->id)
    return;
  sgr_membership_health_add (m, -1);
  probe->stage = SGR_MEMBERSHIP_PROBE_IDLE;
  probe->due_us = probe->next_us;
}

void
sgr_membership_probe_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                              const sgr_membership_message_t *message)
{
  switch (message->kind)
    {
    case SGR_MEMBERSHIP_PING:
      ping_receive (m, now_us, from, message);
      break;
    case SGR_MEMBERSHIP_PING_REQ:
      ping_req_receive (m, now_us, from, message);
      break;
    case SGR_MEMBERSHIP_ACK:
      ack_receive (m, message);
      break;
    case SGR_MEMBERSHIP_NACK:
      /* Duplicates must not make this node look healthier than it is. */
      if (message->sequence == m->probe.sequence && message->target == m->probe.id
          && m->probe.nacks < m->probe.nacks_expected)
        m->probe.nacks++;
      break;
    default:
      break;
    }
}

static bool
gossip_wanted (const sgr_membership_t *m)
{
  if (m->queue.count[SGR_MEMBERSHIP_LEAVING] > 0 || m->revision_sends > 0)
    return true;
  /* These updates travel on probes too; they get rounds of their own while bytes are left over. */
  return m->queue.count[SGR_MEMBERSHIP_HEALTH] + m->queue.count[SGR_MEMBERSHIP_RISING] > 0
         && m->sync.missing_groups == 0
         && m->budget.tokens[SGR_MEMBERSHIP_UPDATES]
                > m->budget.capacity[SGR_MEMBERSHIP_UPDATES] / 2;
}

void
sgr_membership_gossip_tick (sgr_membership_t *m, uint64_t now_us)
{
  if (now_us < m->gossip_due_us)
    return;
  m->gossip_due_us = UINT64_MAX;
  if (m->queue.count[SGR_MEMBERSHIP_LEAVING] + m->queue.count[SGR_MEMBERSHIP_HEALTH]
              + m->queue.count[SGR_MEMBERSHIP_RISING]
          > 0
      || m->revision_sends > 0)
    m->gossip_due_us = now_us + m->options.gossip_period_ms * SGR_USEC_PER_MSEC;
  for (uint32_t i = 0; i < m->options.gossip_fanout && gossip_wanted (m); i++)
    {
      uint32_t peer = sgr_membership_random_peer (m);
      sgr_address_t address;
      sgr_membership_writer_t writer;

      if (peer == SGR_MEMBERSHIP_NONE)
        return;
      address = sgr_membership_address (m, peer);
      sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_GOSSIP);
      sgr_membership_add_updates (m, &writer, now_us);
      if (writer.message.n_records == 0 && m->revision_sends == 0)
        return;
      if (sgr_membership_send (m, &writer, &address, SGR_MEMBERSHIP_UPDATES)
          && m->revision_sends > 0)
        m->revision_sends--;
    }
}

static uint32_t
random_dead (sgr_membership_t *m)
{
  uint32_t start = (uint32_t)sgr_rng_below (&m->rng, m->table.slots);

  for (uint32_t i = 0; i < m->table.slots; i++)
    {
      uint32_t handle = (start + i) % m->table.slots;
      const sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

      if (entry->used && entry->status == SGR_MEMBER_DEAD && entry->name != NULL)
        return handle;
    }
  return SGR_MEMBERSHIP_NONE;
}

/* Without these attempts, two sides that hold each other dead would never meet again. */
void
sgr_membership_dead_tick (sgr_membership_t *m, uint64_t now_us)
{
  uint64_t period_us = m->options.dead_probe_period_ms * SGR_USEC_PER_MSEC;
  const sgr_address_t *contact;
  sgr_membership_writer_t writer;
  uint32_t dead;

  if (now_us < m->dead_due_us)
    return;
  m->dead_due_us = now_us + period_us / 2 + sgr_rng_below (&m->rng, period_us);
  if (m->left)
    return;
  dead = random_dead (m);
  if (dead != SGR_MEMBERSHIP_NONE)
    ping_send (m, now_us, dead, ++m->sequence, SGR_MEMBERSHIP_SYNC);
  if (m->contact_count == 0 || m->sync.missing_groups != 0)
    return;
  contact = &m->contacts[sgr_rng_below (&m->rng, m->contact_count)];
  if (sgr_membership_table_find_address (&m->table, contact, SGR_MEMBERSHIP_NONE)
      != SGR_MEMBERSHIP_NONE)
    return;
  sgr_membership_writer_begin (&writer, SGR_MEMBERSHIP_PING);
  writer.message.sequence = ++m->sequence;
  sgr_membership_add (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
  sgr_membership_send (m, &writer, contact, SGR_MEMBERSHIP_SYNC);
}
