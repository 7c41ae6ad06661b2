#include "membership_internal.h"

/* Probe periods between two probes during the initial sync. */
#define INITIAL_SYNC_PROBE_PERIODS 3

void
sgr_membership_health_multiplier_adjust (sgr_membership_t *m, int change)
{
  int multiplier = (int)m->health_multiplier + change;

  if (multiplier < 0)
    multiplier = 0;
  if (multiplier > SGR_MEMBERSHIP_HEALTH_MULTIPLIER_MAX)
    multiplier = SGR_MEMBERSHIP_HEALTH_MULTIPLIER_MAX;
  m->health_multiplier = (uint32_t)multiplier;
}

/* Lifeguard: a node that has signs of its own slowness gives other members more time to answer. */
static uint64_t
health_scaled_us (const sgr_membership_t *m, uint32_t duration_ms)
{
  return (uint64_t)duration_ms * SGR_USEC_PER_MSEC * (m->health_multiplier + 1);
}

/* If the receiver of a datagram is not alive in the membership view of this node, adds the
   receiver's record first, so that the receiver can refute it. */
static void
add_receiver_record (sgr_membership_t *m, sgr_membership_writer_t *writer, uint64_t now_us,
                     uint32_t handle)
{
  if (m->table.entries[handle].status != SGR_MEMBER_ALIVE)
    sgr_membership_add_record (m, writer, now_us, handle, false, SGR_MEMBERSHIP_DATAGRAM_MAX);
}

static bool
ping_send (sgr_membership_t *m, uint64_t now_us, uint32_t handle, uint32_t sequence,
           sgr_membership_share_t share)
{
  sgr_address_t address = sgr_membership_address (m, handle);
  sgr_membership_writer_t writer;

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PING);
  writer.message.sequence = sequence;
  writer.message.target = m->table.entries[handle].id;
  add_receiver_record (m, &writer, now_us, handle);
  sgr_membership_add_updates (m, &writer, now_us);
  return sgr_membership_send (m, &writer, &address, share);
}

/* Returns the member to probe next. Members are probed in a random order, which is shuffled after
   each round. */
static uint32_t
probe_next_member (sgr_membership_t *m)
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
  bool skip = m->has_left || sgr_membership_is_joining (m);
  uint32_t handle = skip ? SGR_MEMBERSHIP_NONE : probe_next_member (m);
  const sgr_membership_entry_t *entry;

  probe->stage = SGR_MEMBERSHIP_PROBE_IDLE;
  probe->next_us = now_us + health_scaled_us (m, m->options.probe_period_ms);
  /* Nodes in their initial sync know few members, mostly contacts. They probe less often, so that
     many nodes that start at once do not overload the contacts with probes. */
  if (m->sync.missing_groups != 0)
    probe->next_us
        = now_us + INITIAL_SYNC_PROBE_PERIODS * health_scaled_us (m, m->options.probe_period_ms);
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
  probe->due_us = now_us + health_scaled_us (m, m->options.probe_timeout_ms);
}

/* Requests random members to ping the probed member, which did not acknowledge the direct ping. */
static void
probe_indirect (sgr_membership_t *m, uint64_t now_us, uint32_t probed)
{
  sgr_membership_probe_t *probe = &m->probe;
  sgr_address_t address = sgr_membership_address (m, probed);

  for (uint32_t i = 0; i < m->options.indirect_probes; i++)
    {
      uint32_t relay_peer = sgr_membership_random_peer (m);
      sgr_address_t to;
      sgr_membership_writer_t writer;

      if (relay_peer == probed || m->table.entries[relay_peer].status != SGR_MEMBER_ALIVE)
        continue;
      to = sgr_membership_address (m, relay_peer);
      sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PING_REQ);
      writer.message.sequence = probe->sequence;
      writer.message.target = probe->id;
      writer.message.target_ip = address.ip;
      writer.message.target_port = address.port;
      if (sgr_membership_send (m, &writer, &to, SGR_MEMBERSHIP_DETECTION))
        probe->nacks_expected++;
    }
  /* A second direct ping costs little and makes false suspicions ten times rarer at 5% packet
     loss. */
  ping_send (m, now_us, probed, probe->sequence, SGR_MEMBERSHIP_DETECTION);
  probe->stage = SGR_MEMBERSHIP_PROBE_INDIRECT;
  probe->due_us = probe->next_us;
}

static void
probe_failed (sgr_membership_t *m, uint64_t now_us, uint32_t probed)
{
  sgr_membership_probe_t *probe = &m->probe;

  m->counters.probe_failures++;
  /* A member that was requested to ping sends a NACK if it gets no acknowledgement. Missing NACKs
     indicate a fault of this node. */
  if (probe->nacks_expected == 0)
    sgr_membership_health_multiplier_adjust (m, 1);
  else
    sgr_membership_health_multiplier_adjust (m, (int)probe->nacks_expected - (int)probe->nacks);
  sgr_membership_suspect (m, now_us, probed);
}

void
sgr_membership_probe_tick (sgr_membership_t *m, uint64_t now_us)
{
  sgr_membership_probe_t *probe = &m->probe;
  uint32_t probed;

  if (now_us < probe->due_us)
    return;
  if (probe->stage == SGR_MEMBERSHIP_PROBE_IDLE)
    {
      probe_start (m, now_us);
      return;
    }
  probed = sgr_membership_table_find (&m->table, probe->id);
  if (probed == SGR_MEMBERSHIP_NONE || m->has_left || m->table.entries[probed].boot != probe->boot
      || !sgr_membership_entry_is_live (sgr_membership_entry (m, probed)))
    {
      probe->stage = SGR_MEMBERSHIP_PROBE_IDLE;
      probe->due_us = probe->next_us;
    }
  else if (probe->stage == SGR_MEMBERSHIP_PROBE_DIRECT)
    probe_indirect (m, now_us, probed);
  else
    {
      probe_failed (m, now_us, probed);
      probe_start (m, now_us);
    }
}

static sgr_membership_relay_t *
relay_find (sgr_membership_t *m, uint32_t sequence, sgr_node_id_t probed_id)
{
  for (int i = 0; i < SGR_MEMBERSHIP_RELAYS_MAX; i++)
    if (m->relays[i].due_us != 0 && m->relays[i].sequence == sequence
        && m->relays[i].probed_id == probed_id)
      return &m->relays[i];
  return NULL;
}

/* Reports the result of a relayed ping, ACK or NACK, to the requester and frees the relay. */
static void
relay_finish (sgr_membership_t *m, sgr_membership_relay_t *relay, sgr_membership_kind_t kind)
{
  sgr_membership_writer_t writer;

  sgr_membership_datagram_begin (m, &writer, kind);
  writer.message.sequence = relay->requester_sequence;
  writer.message.target = relay->probed_id;
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
        relay_finish (m, relay, SGR_MEMBERSHIP_NACK);
      if (relay->due_us != 0 && relay->due_us < m->relay_due_us)
        m->relay_due_us = relay->due_us;
    }
}

/* Pings a member on behalf of the sender; ignores the request if all relays are in use. */
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
    .probed_id = message->probed_id,
    .requester = *from,
    .requester_sequence = message->sequence,
    .sequence = ++m->sequence,
  };
  if (relay->due_us < m->relay_due_us)
    m->relay_due_us = relay->due_us;
  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PING);
  writer.message.sequence = relay->sequence;
  writer.message.target = message->probed_id;
  sgr_membership_send (m, &writer, &message->probed_address, SGR_MEMBERSHIP_DETECTION);
}

static void
ping_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
              const sgr_membership_message_t *message)
{
  uint32_t sender = sgr_membership_table_find (&m->table, message->sender);
  sgr_membership_writer_t writer;

  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_ACK);
  writer.message.sequence = message->sequence;
  if (m->self_correction_due)
    sgr_membership_add_record (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
  if (sender != SGR_MEMBERSHIP_NONE)
    add_receiver_record (m, &writer, now_us, sender);
  sgr_membership_add_updates (m, &writer, now_us);
  sgr_membership_send (m, &writer, from, SGR_MEMBERSHIP_DETECTION);
  m->self_correction_due = false;
}

static void
ack_receive (sgr_membership_t *m, const sgr_membership_message_t *message)
{
  sgr_membership_probe_t *probe = &m->probe;
  sgr_membership_relay_t *relay = relay_find (m, message->sequence, message->sender);

  if (relay != NULL)
    relay_finish (m, relay, SGR_MEMBERSHIP_ACK);
  if (probe->stage == SGR_MEMBERSHIP_PROBE_IDLE || message->sequence != probe->sequence)
    return;
  if (message->sender != probe->id && message->probed_id != probe->id)
    return;
  sgr_membership_health_multiplier_adjust (m, -1);
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
      /* Count no more NACKs than expected, so that duplicates do not hide missing ones. Missing
         NACKs raise the local health multiplier of this node. */
      if (message->sequence == m->probe.sequence && message->probed_id == m->probe.id
          && m->probe.nacks < m->probe.nacks_expected)
        m->probe.nacks++;
      break;
    default:
      break;
    }
}

/* Whether pending updates justify a datagram of their own. */
static bool
gossip_is_needed (const sgr_membership_t *m)
{
  if (m->queue.count[SGR_MEMBERSHIP_LEAVING] > 0 || m->revision_sends_pending > 0)
    return true;
  /* These updates get datagrams of their own only while more than half of the byte budget for
     updates is unused. Probes carry them in any case. */
  return m->queue.count[SGR_MEMBERSHIP_HEALTH] + m->queue.count[SGR_MEMBERSHIP_STATE_CHANGE] > 0
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
              + m->queue.count[SGR_MEMBERSHIP_STATE_CHANGE]
          > 0
      || m->revision_sends_pending > 0)
    m->gossip_due_us = now_us + m->options.gossip_period_ms * SGR_USEC_PER_MSEC;
  for (uint32_t i = 0; i < m->options.gossip_fanout && gossip_is_needed (m); i++)
    {
      uint32_t peer = sgr_membership_random_peer (m);
      sgr_address_t address;
      sgr_membership_writer_t writer;

      if (peer == SGR_MEMBERSHIP_NONE)
        return;
      address = sgr_membership_address (m, peer);
      sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_GOSSIP);
      sgr_membership_add_updates (m, &writer, now_us);
      if (writer.message.n_records == 0 && m->revision_sends_pending == 0)
        return;
      if (sgr_membership_send (m, &writer, &address, SGR_MEMBERSHIP_UPDATES)
          && m->revision_sends_pending > 0)
        m->revision_sends_pending--;
    }
}

/* Returns a random dead member with a known address, or SGR_MEMBERSHIP_NONE. */
static uint32_t
dead_member_pick_random (sgr_membership_t *m)
{
  uint32_t start = (uint32_t)sgr_rng_below (&m->rng, m->table.length);

  for (uint32_t i = 0; i < m->table.length; i++)
    {
      uint32_t handle = (start + i) % m->table.length;
      const sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

      if (entry->used && entry->status == SGR_MEMBER_DEAD && entry->name != NULL)
        return handle;
    }
  return SGR_MEMBERSHIP_NONE;
}

/* Pings a dead member and a contact that is no live member. Without these pings, two sides of a
   network partition that declared each other dead would never find each other again. */
void
sgr_membership_dead_probe_tick (sgr_membership_t *m, uint64_t now_us)
{
  uint64_t period_us = m->options.dead_probe_period_ms * SGR_USEC_PER_MSEC;
  const sgr_address_t *contact;
  sgr_membership_writer_t writer;
  uint32_t dead;

  if (now_us < m->dead_probe_due_us)
    return;
  m->dead_probe_due_us = now_us + period_us / 2 + sgr_rng_below (&m->rng, period_us);
  if (m->has_left)
    return;
  dead = dead_member_pick_random (m);
  if (dead != SGR_MEMBERSHIP_NONE)
    ping_send (m, now_us, dead, ++m->sequence, SGR_MEMBERSHIP_SYNC);
  if (m->contact_count == 0 || m->sync.missing_groups != 0)
    return;
  contact = &m->contacts[sgr_rng_below (&m->rng, m->contact_count)];
  if (sgr_membership_table_find_address (&m->table, contact, SGR_MEMBERSHIP_NONE)
      != SGR_MEMBERSHIP_NONE)
    return;
  sgr_membership_datagram_begin (m, &writer, SGR_MEMBERSHIP_PING);
  writer.message.sequence = ++m->sequence;
  sgr_membership_add_record (m, &writer, now_us, m->self, true, SGR_MEMBERSHIP_DATAGRAM_MAX);
  sgr_membership_send (m, &writer, contact, SGR_MEMBERSHIP_SYNC);
}
