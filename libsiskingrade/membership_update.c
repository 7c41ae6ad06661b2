#include "membership_internal.h"

/* Minimum time between two claims of a later boot time. Two processes with the same name would
   otherwise claim ever later boot times against each other without pause. */
#define BOOT_TIME_CLAIM_INTERVAL_US SGR_USEC_PER_SEC

/* While at least this many updates of the urgency SGR_MEMBERSHIP_STATE_CHANGE are queued, further
   ones about other nodes are queued with the urgency SGR_MEMBERSHIP_ROUTINE. */
#define STATE_CHANGES_QUEUED_MAX 8

void
sgr_membership_request_full_record (sgr_membership_t *m, sgr_node_id_t id)
{
  for (uint32_t i = 0; i < m->requested_id_count; i++)
    if (m->requested_ids[i] == id)
      return;
  if (m->requested_id_count < SGR_MEMBERSHIP_WANTED_IDS_MAX)
    m->requested_ids[m->requested_id_count++] = id;
}

void
sgr_membership_update_enqueue (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                               sgr_membership_urgency_t urgency, bool full)
{
  /* Lower the urgency while many such updates are queued, as when many nodes start at once: sync
     then distributes their records at lower cost. */
  if (urgency == SGR_MEMBERSHIP_STATE_CHANGE && handle != m->self
      && m->queue.count[SGR_MEMBERSHIP_STATE_CHANGE] >= STATE_CHANGES_QUEUED_MAX)
    urgency = SGR_MEMBERSHIP_ROUTINE;
  sgr_membership_queue_put (&m->queue, &m->table, handle, urgency, full);
  if (urgency != SGR_MEMBERSHIP_ROUTINE && m->gossip_due_us == UINT64_MAX)
    m->gossip_due_us = now_us;
}

/* Compares two boots by start time. The random boot id decides between equal times, so that all
   nodes agree on the order. Returns -1, 0 or 1. */
static int
boot_compare (uint64_t time_a, sgr_boot_id_t boot_a, uint64_t time_b, sgr_boot_id_t boot_b)
{
  if (time_a != time_b)
    return time_a < time_b ? -1 : 1;
  if (boot_a != boot_b)
    return boot_a < boot_b ? -1 : 1;
  return 0;
}

/* Compares a received record with the known one by boot, incarnation and status. Returns a positive
   number if the received record is newer, 0 if both are equal. */
static int
record_compare (const sgr_member_t *member, const sgr_membership_entry_t *entry)
{
  int boot_order
      = boot_compare (member->boot_time_ms, member->boot, entry->boot_time_ms, entry->boot);

  if (boot_order != 0)
    return boot_order;
  if (member->incarnation != entry->incarnation)
    return member->incarnation < entry->incarnation ? -1 : 1;
  return (int)member->status - (int)entry->status;
}

/* Merges a received record of this node. Only this node issues live records of its own boot; other
   nodes can only suspect it or declare it dead, which this node refutes. */
static sgr_membership_merge_t
merge_self (sgr_membership_t *m, uint64_t now_us, const sgr_membership_record_t *record)
{
  sgr_membership_entry_t *self = sgr_membership_entry (m, m->self);
  const sgr_member_t *member = &record->member;
  bool same_boot = member->boot == self->boot && member->boot_time_ms == self->boot_time_ms;

  if (record_compare (member, self) <= 0)
    {
      /* Correct a stale record only if it denies that this boot is alive: it is of another boot, or
         its status is not alive. */
      if (!same_boot || member->status != SGR_MEMBER_ALIVE)
        m->self_correction_due = true;
      return SGR_MEMBERSHIP_MERGE_SAME;
    }
  if (same_boot)
    {
      self->incarnation = member->incarnation + 1;
      m->counters.refutations++;
      sgr_membership_health_multiplier_adjust (m, 1);
    }
  else
    {
      /* Claim a later boot time, so that this boot supersedes the other one. Either an earlier boot
         had a clock that was ahead, or another process uses the same name. */
      if (m->last_conflict_us != 0 && now_us - m->last_conflict_us < BOOT_TIME_CLAIM_INTERVAL_US)
        return SGR_MEMBERSHIP_MERGE_IGNORED;
      m->last_conflict_us = now_us;
      m->counters.conflicts++;
      self->boot_time_ms = member->boot_time_ms + 1;
    }
  m->self_correction_due = true;
  sgr_membership_table_refresh (&m->table, m->self, &m->rng);
  sgr_membership_update_enqueue (
      m, now_us, m->self, m->has_left ? SGR_MEMBERSHIP_LEAVING : SGR_MEMBERSHIP_HEALTH, !same_boot);
  return SGR_MEMBERSHIP_MERGE_SAME;
}

/* Resolves an address conflict of a member with another live member. Two live members cannot share
   an address, so the one with the older boot is dead. */
static void
address_conflict_resolve (sgr_membership_t *m, uint64_t now_us, uint32_t handle)
{
  const sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);
  sgr_address_t address = sgr_membership_address (m, handle);
  uint32_t other = sgr_membership_table_find_address (&m->table, &address, handle);
  const sgr_membership_entry_t *other_entry;

  if (other == SGR_MEMBERSHIP_NONE)
    return;
  other_entry = sgr_membership_entry (m, other);
  if (boot_compare (other_entry->boot_time_ms, other_entry->boot, entry->boot_time_ms, entry->boot)
      > 0)
    sgr_membership_mark_departed (m, now_us, handle, SGR_MEMBER_DEAD, true);
  else if (other == m->self)
    m->counters.conflicts++;
  else
    sgr_membership_mark_departed (m, now_us, other, SGR_MEMBER_DEAD, true);
}

/* Returns the urgency with which a change of a member is distributed. */
static sgr_membership_urgency_t
update_urgency (const sgr_member_t *member, sgr_member_status_t old_status,
                sgr_target_state_t old_state, bool new_boot)
{
  bool leaving
      = member->target_state == SGR_TARGET_DRAINING || member->target_state == SGR_TARGET_LEFT;

  if (member->status == SGR_MEMBER_LEFT || (leaving && member->target_state != old_state))
    return SGR_MEMBERSHIP_LEAVING;
  if (member->status != SGR_MEMBER_ALIVE || old_status != SGR_MEMBER_ALIVE)
    return SGR_MEMBERSHIP_HEALTH;
  if (new_boot || member->target_state != old_state)
    return SGR_MEMBERSHIP_STATE_CHANGE;
  return SGR_MEMBERSHIP_ROUTINE;
}

/* Copies the fields of a received record other than the descriptor. */
static void
entry_set_fields (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
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
  entry->departed_us = now_us > age_us ? now_us - age_us : 0;
}

/* Applies a newer record; @known is false if the member was added just now. */
static void
record_apply (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
              const sgr_membership_record_t *record, bool spread, bool known)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);
  const sgr_member_t *member = &record->member;
  sgr_member_status_t old_status = (sgr_member_status_t)entry->status;
  bool was_live = sgr_membership_entry_is_live (entry);
  bool new_boot = entry->boot != member->boot;
  sgr_membership_urgency_t urgency = update_urgency (
      member, known ? old_status : SGR_MEMBER_ALIVE,
      known ? (sgr_target_state_t)entry->target_state : member->target_state, known && new_boot);

  entry_set_fields (m, now_us, handle, record);
  sgr_membership_table_refresh (&m->table, handle, &m->rng);
  if (old_status == SGR_MEMBER_SUSPECT)
    sgr_membership_suspicion_remove (m, handle);
  if (member->status == SGR_MEMBER_SUSPECT)
    sgr_membership_suspicion_add (m, now_us, handle, record->suspected_by);
  m->counters.records_merged++;
  if (spread)
    sgr_membership_update_enqueue (m, now_us, handle, urgency, record->full);
  else
    sgr_membership_queue_remove (&m->queue, &m->table, handle);
  sgr_membership_change_notify (m, handle);
  if (sgr_membership_entry_is_live (sgr_membership_entry (m, handle)) && (!was_live || new_boot))
    address_conflict_resolve (m, now_us, handle);
}

/* Merges a record of a member that is not in the table. */
static sgr_membership_merge_t
merge_unknown_member (sgr_membership_t *m, uint64_t now_us, const sgr_membership_record_t *record,
                      bool spread)
{
  const sgr_member_t *member = &record->member;
  bool live = member->status == SGR_MEMBER_ALIVE || member->status == SGR_MEMBER_SUSPECT;
  uint32_t handle;

  if (live && !record->full)
    {
      sgr_membership_request_full_record (m, member->id);
      return SGR_MEMBERSHIP_MERGE_IGNORED;
    }
  /* Ignore old tombstones. Nodes remove a tombstone at different times; if they accepted old ones,
     they would return it to each other forever. */
  if (!live && record->departed_s >= m->options.tombstone_s / 2)
    return SGR_MEMBERSHIP_MERGE_IGNORED;
  handle = sgr_membership_table_add (&m->table, member->id);
  if (handle == SGR_MEMBERSHIP_NONE)
    return SGR_MEMBERSHIP_MERGE_IGNORED;
  if (record->full && !sgr_membership_table_set_descriptor (&m->table, handle, member))
    {
      sgr_membership_table_remove (&m->table, handle);
      return SGR_MEMBERSHIP_MERGE_IGNORED;
    }
  record_apply (m, now_us, handle, record, spread, false);
  return SGR_MEMBERSHIP_MERGE_NEWER;
}

/* Merges a record that is as new as the known one: counts its receipt as a transmission and a
   suspicion as a confirmation. */
static sgr_membership_merge_t
merge_equal (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
             const sgr_membership_record_t *record, bool spread)
{
  sgr_membership_entry_t *entry = sgr_membership_entry (m, handle);

  if (spread)
    sgr_membership_update_received (m, handle);
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
    return merge_unknown_member (m, now_us, record, spread);
  entry = sgr_membership_entry (m, handle);
  order = record_compare (member, entry);
  if (order < 0)
    {
      m->counters.records_stale++;
      return SGR_MEMBERSHIP_MERGE_STALE;
    }
  if (order == 0)
    return merge_equal (m, now_us, handle, record, spread);
  if (record->descriptor_hash != entry->descriptor_hash || entry->name == NULL)
    {
      if (!record->full && live)
        {
          sgr_membership_request_full_record (m, member->id);
          return SGR_MEMBERSHIP_MERGE_IGNORED;
        }
      if (record->full && !sgr_membership_table_set_descriptor (&m->table, handle, member))
        return SGR_MEMBERSHIP_MERGE_IGNORED;
    }
  record_apply (m, now_us, handle, record, spread, true);
  return SGR_MEMBERSHIP_MERGE_NEWER;
}
