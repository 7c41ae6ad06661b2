#include "membership_internal.h"

/* Distribution of the evacuated failure domains. Every datagram carries them once there has been an
   evacuation. */

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

void
sgr_membership_evacuation_receive (sgr_membership_t *m, uint64_t now_us,
                                   const sgr_membership_message_t *message)
{
  sgr_evacuation_effect_t effect;
  bool is_first = !m->has_received_evacuation;

  if (m->evacuation_cb == NULL || !sgr_evacuation_exists (&message->evacuation))
    return;
  effect = sgr_evacuation_merge (&m->evacuation, &message->evacuation);
  if (effect != SGR_EVACUATION_SAME)
    set_spread (m, now_us);
  m->has_received_evacuation = true;
  if (is_first || effect == SGR_EVACUATION_CHANGED)
    m->evacuation_cb (m->evacuation_ctx);
}
