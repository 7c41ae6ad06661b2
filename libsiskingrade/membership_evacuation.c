#include "membership_internal.h"

/* Distribution of the evacuated failure domains. Every datagram carries them once there has been an
   evacuation. */

/* A node that started this much before another one has had the time to learn of an evacuation: up
   to 3 s after its start it may not know any, and a change has to be known everywhere within 5 s.
 */
#define OLDER_PEER_MS 10000

/* A datagram of gossip is sent for the set alone, as for a new configuration revision. */
static void
set_spread (sgr_membership_t *m, uint64_t now_us)
{
  m->revision_sends_pending = SGR_MEMBERSHIP_UPDATE_SENDS_MAX;
  if (m->gossip_due_us == UINT64_MAX)
    m->gossip_due_us = now_us;
}

void
sgr_membership_evacuation_follow (sgr_membership_t *m, sgr_membership_evacuation_cb_t cb, void *ctx)
{
  m->evacuation_cb = cb;
  m->evacuation_ctx = ctx;
}

bool
sgr_membership_evacuation_read (sgr_membership_t *m, uint64_t now_us, const sgr_evacuation_t *read)
{
  sgr_evacuation_effect_t effect = sgr_evacuation_read_apply (&m->evacuation, read);

  if (effect != SGR_EVACUATION_SAME)
    set_spread (m, now_us);
  return effect == SGR_EVACUATION_CHANGED;
}

const sgr_evacuation_t *
sgr_membership_evacuation (const sgr_membership_t *m)
{
  return &m->evacuation;
}

bool
sgr_membership_evacuation_is_denied (const sgr_membership_t *m)
{
  return m->is_evacuation_denied && !sgr_evacuation_exists (&m->evacuation);
}

/* Notes a datagram without a set, if its sender started long before this node. */
static void
absent_set_receive (sgr_membership_t *m, const sgr_membership_message_t *message)
{
  uint32_t handle = sgr_membership_table_find (&m->table, message->sender);
  const sgr_membership_entry_t *entry;

  if (m->is_evacuation_denied || handle == SGR_MEMBERSHIP_NONE || handle == m->self)
    return;
  entry = sgr_membership_entry (m, handle);
  if (entry->boot != message->boot
      || entry->boot_time_ms + OLDER_PEER_MS > m->options.self.boot_time_ms)
    return;
  m->is_evacuation_denied = true;
  m->evacuation_cb (m->evacuation_ctx);
}

void
sgr_membership_evacuation_receive (sgr_membership_t *m, uint64_t now_us,
                                   const sgr_membership_message_t *message)
{
  sgr_evacuation_effect_t effect;
  bool is_first = !m->has_received_evacuation;

  if (m->evacuation_cb == NULL)
    return;
  if (!sgr_evacuation_exists (&message->evacuation))
    {
      absent_set_receive (m, message);
      return;
    }
  effect = sgr_evacuation_merge (&m->evacuation, &message->evacuation);
  if (effect != SGR_EVACUATION_SAME)
    set_spread (m, now_us);
  m->has_received_evacuation = true;
  if (is_first || effect == SGR_EVACUATION_CHANGED)
    m->evacuation_cb (m->evacuation_ctx);
}
