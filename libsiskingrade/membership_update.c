#include "membership_internal.h"

/* Two processes with one name would outbid each other without end; once a second is enough. */
#define CONFLICT_PERIOD_US SGR_USEC_PER_SEC

/* Updates of nodes and targets that come up, from which on further ones are routine. */
#define RISING_MAX 8

void
sgr_membership_want (sgr_membership_t *m, sgr_node_id_t id)
{
  for (uint32_t i = 0; i < m->want_count; i++)
    if (m->wants[i] == id)
      return;
  if (m->want_count < SGR_MEMBERSHIP_WANTED_MAX)
    m->wants[m->want_count++] = id;
}

void
sgr_membership_spread (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                       sgr_membership_urgency_t urgency, bool full)
{
  /* When many nodes start at once, the state transfer is the cheaper way to spread them. */
  if (urgency == SGR_MEMBERSHIP_RISING && handle != m->self
      && m->queue.count[SGR_MEMBERSHIP_RISING] >= RISING_MAX)
    urgency = SGR_MEMBERSHIP_ROUTINE;
  sgr_membership_queue_put (&m->queue, &m->table, handle, urgency, full);
  if (urgency != SGR_MEMBERSHIP_ROUTINE && m->gossip_due_us == UINT64_MAX)
    m->gossip_due_us = now_us;
}

static int
life_compare (uint64_t time_a, sgr_boot_id_t boot_a, uint64_t time_b, sgr_boot_id_t boot_b)
{
  if (time_a != time_b)
    return time_a < time_b ? -1 : 1;
  if (boot_a != boot_b)
    return boot_a < boot_b ? -1 : 1;
  return 0;
}

static int
record_compare (const sgr_member_t *member, const sgr_membership_entry_t *entry)
{
  int life = life_compare (member->boot_time_ms, member->boot, entry->boot_time_ms, entry->boot);

  if (life != 0)
    return life;
  if (member->incarnation != entry->incarnation)
    return member->incarnation < entry->incarnation ? -1 : 1;
  return (int)member->status - (int)entry->status;
}

/* This node is the only source of live records of its own life; others may only doubt it. */
static sgr_membership_merge_t
merge_self (sgr_membership_t *m, uint64_t now_us, const sgr_membership_record_t *record)
{
  sgr_membership_entry_t *self = sgr_membership_entry (m, m->self);
  const sgr_member_t *member = &record->member;
  bool same_life = member->boot == self->boot && member->boot_time_ms == self->boot_time_ms;

  if (record_compare (member, self) <= 0)
    {
      /* A stale view of this node is worth an answer only if it says that the node is gone. */
      if (!same_life || member->status != SGR_MEMBER_ALIVE)
        m->self_corrects = true;
      return SGR_MEMBERSHIP_MERGE_SAME;
    }
  if (same_life)
    {
      self->incarnation = member->incarnation + 1;
      m->counters.refutations++;
      sgr_membership_health_add (m, 1);
    }
  else
    {
      /* An earlier life ran with a faster clock, or another process uses the name. */
      if (m->conflict_us != 0 && now_us - m->conflict_us < CONFLICT_PERIOD_US)
        return SGR_MEMBERSHIP_MERGE_IGNORED;
      m->conflict_us = now_us;
      m->counters.conflicts++;
      self->boot_time_ms = member->boot_time_ms + 1;
    }
  m->self_corrects = true;
  sgr_membership_table_refresh (&m->table, m->self, &m->rng);
  sgr_membership_spread (m, now_us, m->self,
                         m->left ? SGR_MEMBERSHIP_LEAVING : SGR_MEMBERSHIP_HEALTH, !same_life);
  return SGR_MEMBERSHIP_MERGE_SAME;
}

/* Two live members cannot share an address: the older life is over. */
static void
address_resolve (sgr_membership_t *m, uint64_t now_us, uint32_t handle)
{
  const sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);
  sgr_address_t address = sgr_membership_address (m, handle);
  uint32_t other = sgr_membership_table_find_address (&m->table, &address, handle);
  const sgr_membership_entry_t *rival;

  if (other == SGR_MEMBERSHIP_NONE)
    return;
  rival = sgr_membership_entry (m, other);
  if (life_compare (rival->boot_time_ms, rival->boot, entry->boot_time_ms, entry->boot) > 0)
    sgr_membership_depart (m, now_us, handle, SGR_MEMBER_DEAD, true);
  else if (other == m->self)
    m->counters.conflicts++;
  else
    sgr_membership_depart (m, now_us, other, SGR_MEMBER_DEAD, true);
}

static sgr_membership_urgency_t
urgency_of (const sgr_member_t *member, sgr_member_status_t old_status,
            sgr_target_state_t old_state, bool new_life)
{
  bool leaving
      = member->target_state == SGR_TARGET_DRAINING || member->target_state == SGR_TARGET_LEFT;

  if (member->status == SGR_MEMBER_LEFT || (leaving && member->target_state != old_state))
    return SGR_MEMBERSHIP_LEAVING;
  if (member->status != SGR_MEMBER_ALIVE || old_status != SGR_MEMBER_ALIVE)
    return SGR_MEMBERSHIP_HEALTH;
  if (new_life || member->target_state != old_state)
    return SGR_MEMBERSHIP_RISING;
  return SGR_MEMBERSHIP_ROUTINE;
}

static void
fields_set (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
            const sgr_membership_record_t *record)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);
  const sgr_member_t *member = &record->member;
  uint64_t age_us = record->departed_s * SGR_USEC_PER_SEC;

  if (entry->boot != member->boot || entry->config_revision < member->config_revision)
    entry->config_revision = member->config_revision;
  entry->boot = member->boot;
  entry->boot_time_ms = member->boot_time_ms;
  entry->incarnation = member->incarnation;
  entry->status = (uint8_t)member->status;
  entry->target_state = (uint8_t)member->target_state;
  entry->slots = member->slots;
  entry->since_us = now_us > age_us ? now_us - age_us : 0;
}

static void
apply (sgr_membership_t *m, uint64_t now_us, uint32_t handle, const sgr_membership_record_t *record,
       bool spread, bool known)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);
  const sgr_member_t *member = &record->member;
  sgr_member_status_t old_status = (sgr_member_status_t)entry->status;
  bool was_live = sgr_membership_entry_is_live (entry);
  bool new_life = entry->boot != member->boot;
  sgr_membership_urgency_t urgency = urgency_of (
      member, known ? old_status : SGR_MEMBER_ALIVE,
      known ? (sgr_target_state_t)entry->target_state : member->target_state, known && new_life);

  fields_set (m, now_us, handle, record);
  sgr_membership_table_refresh (&m->table, handle, &m->rng);
  if (old_status == SGR_MEMBER_SUSPECT)
    sgr_membership_suspicion_remove (m, handle);
  if (member->status == SGR_MEMBER_SUSPECT)
    sgr_membership_suspicion_add (m, now_us, handle, record->suspected_by);
  m->counters.records_merged++;
  if (spread)
    sgr_membership_spread (m, now_us, handle, urgency, record->full);
  else
    sgr_membership_queue_remove (&m->queue, &m->table, handle);
  sgr_membership_notify (m, handle);
  if (sgr_membership_entry_is_live (sgr_membership_entry (m, handle)) && (!was_live || new_life))
    address_resolve (m, now_us, handle);
}

static sgr_membership_merge_t
merge_unknown (sgr_membership_t *m, uint64_t now_us, const sgr_membership_record_t *record,
               bool spread)
{
  const sgr_member_t *member = &record->member;
  bool live = member->status == SGR_MEMBER_ALIVE || member->status == SGR_MEMBER_SUSPECT;
  uint32_t handle;

  if (live && !record->full)
    {
      sgr_membership_want (m, member->id);
      return SGR_MEMBERSHIP_MERGE_IGNORED;
    }
  /* An old tombstone would come back for ever if it were accepted after it was dropped here. */
  if (!live && record->departed_s >= m->options.tombstone_s / 2)
    return SGR_MEMBERSHIP_MERGE_IGNORED;
  handle = sgr_membership_table_add (&m->table, member->id);
  if (handle == SGR_MEMBERSHIP_NONE)
    return SGR_MEMBERSHIP_MERGE_IGNORED;
  if (record->full && !sgr_membership_table_describe (&m->table, handle, member))
    {
      sgr_membership_table_remove (&m->table, handle);
      return SGR_MEMBERSHIP_MERGE_IGNORED;
    }
  apply (m, now_us, handle, record, spread, false);
  return SGR_MEMBERSHIP_MERGE_NEWER;
}

static sgr_membership_merge_t
merge_same (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
            const sgr_membership_record_t *record, bool spread)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

  if (spread)
    sgr_membership_heard (m, handle);
  if (record->member.status == SGR_MEMBER_SUSPECT)
    sgr_membership_suspicion_add (m, now_us, handle, record->suspected_by);
  if (record->full && entry->config_revision < record->member.config_revision)
    entry->config_revision = record->member.config_revision;
  return SGR_MEMBERSHIP_MERGE_SAME;
}

sgr_membership_merge_t
sgr_membership_merge (sgr_membership_t *m, uint64_t now_us, const sgr_membership_record_t *record,
                      bool spread)
{
  const sgr_member_t *member = &record->member;
  bool live = member->status == SGR_MEMBER_ALIVE || member->status == SGR_MEMBER_SUSPECT;
  sgr_membership_entry_t *entry;
  uint32_t handle;
  int order;

  if (member->id == m->id)
    return merge_self (m, now_us, record);
  handle = sgr_membership_table_find (&m->table, member->id);
  if (handle == SGR_MEMBERSHIP_NONE)
    return merge_unknown (m, now_us, record, spread);
  entry = sgr_membership_entry (m, handle);
  order = record_compare (member, entry);
  if (order < 0)
    {
      m->counters.records_stale++;
      return SGR_MEMBERSHIP_MERGE_STALE;
    }
  if (order == 0)
    return merge_same (m, now_us, handle, record, spread);
  if (record->descriptor_hash != entry->descriptor_hash || entry->name == NULL)
    {
      if (!record->full && live)
        {
          sgr_membership_want (m, member->id);
          return SGR_MEMBERSHIP_MERGE_IGNORED;
        }
      if (record->full && !sgr_membership_table_describe (&m->table, handle, member))
        return SGR_MEMBERSHIP_MERGE_IGNORED;
    }
  apply (m, now_us, handle, record, spread, true);
  return SGR_MEMBERSHIP_MERGE_NEWER;
}
