#include "membership_internal.h"

#include <stdlib.h>
#include <string.h>

/* A tick later than this means that the process was paused or short of CPU time. */
#define TICK_LATE_US (500 * SGR_USEC_PER_MSEC)
#define TOMBSTONE_CHECK_PERIOD_US (60 * SGR_USEC_PER_SEC)
#define BUDGET_MIN_BYTES_PER_S 1000
#define PERIOD_MIN_MS 10
#define TOMBSTONE_MIN_S 10

void
sgr_membership_options_init (sgr_membership_options_t *options)
{
  *options = (sgr_membership_options_t){
    .budget_bytes_per_s = 5000,
    .probe_period_ms = 1000,
    .probe_timeout_ms = 300,
    .indirect_probes = 3,
    .suspicion_factor = 3,
    .suspicion_max_factor = 6,
    .gossip_period_ms = 200,
    .gossip_fanout = 3,
    .sync_period_ms = 10000,
    .dead_probe_period_ms = 20000,
    .tombstone_s = 2 * 3600,
    .members_max = 8192,
  };
}

static bool
options_are_valid (const sgr_membership_options_t *options)
{
  const sgr_member_t *self = &options->self;

  if (!sgr_membership_name_is_valid (self->name, strnlen (self->name, sizeof self->name))
      || self->control_address.ip == 0 || self->control_address.port == 0
      || self->data_address.ip == 0 || self->data_address.port == 0)
    return false;
  if (self->boot == 0 || self->boot_time_ms == 0 || self->boot_time_ms >= SGR_BOOT_TIME_MAX_MS)
    return false;
  if ((self->region[0] != '\0'
       && !sgr_membership_name_is_valid (self->region, strnlen (self->region, SGR_NAME_MAX + 1)))
      || (self->failure_domain[0] != '\0'
          && !sgr_membership_name_is_valid (self->failure_domain,
                                            strnlen (self->failure_domain, SGR_NAME_MAX + 1)))
      || (self->service[0] != '\0'
          && !sgr_membership_name_is_valid (self->service,
                                            strnlen (self->service, SGR_NAME_MAX + 1))))
    return false;
  return options->budget_bytes_per_s >= BUDGET_MIN_BYTES_PER_S
         && options->probe_period_ms >= PERIOD_MIN_MS && options->probe_timeout_ms >= 1
         && options->probe_timeout_ms < options->probe_period_ms && options->suspicion_factor >= 1
         && options->suspicion_max_factor >= 1 && options->gossip_period_ms >= 1
         && options->gossip_fanout >= 1 && options->sync_period_ms >= PERIOD_MIN_MS
         && options->dead_probe_period_ms >= PERIOD_MIN_MS
         && options->tombstone_s >= TOMBSTONE_MIN_S && options->members_max >= 2;
}

static void
timers_init (sgr_membership_t *m, uint64_t now_us)
{
  /* The first probe and the first sync start at random times, so that nodes that start together do
     not send together. */
  uint64_t period_us = m->options.probe_period_ms * SGR_USEC_PER_MSEC;

  m->probe.next_us = m->probe.due_us = now_us + sgr_rng_below (&m->rng, period_us);
  m->sync.due_us = now_us + sgr_rng_below (&m->rng, period_us);
  m->sync.missing_groups = UINT64_MAX;
  m->sync.catching_up = true;
  m->budget.sync_first = true;
  m->sync.pulls_with_own_record_left = SGR_MEMBERSHIP_PULLS_WITH_OWN_RECORD;
  m->suspicion_due_us = m->relay_due_us = m->gossip_due_us = UINT64_MAX;
  m->dead_probe_due_us
      = now_us + sgr_rng_below (&m->rng, m->options.dead_probe_period_ms * SGR_USEC_PER_MSEC);
  m->tombstone_due_us = now_us + TOMBSTONE_CHECK_PERIOD_US;
}

static void
self_init (sgr_membership_t *m)
{
  const sgr_member_t *self = &m->options.self;
  sgr_membership_entry_t *entry;

  m->id = sgr_node_id_of (self->name);
  m->self = sgr_membership_table_add (&m->table, m->id);
  sgr_membership_table_set_descriptor (&m->table, m->self, self);
  entry = sgr_membership_entry (m, m->self);
  entry->boot = self->boot;
  entry->boot_time_ms = self->boot_time_ms;
  entry->incarnation = 1;
  entry->status = SGR_MEMBER_ALIVE;
  entry->target_state = (uint8_t)self->target_state;
  entry->slots = self->slots;
  entry->config_revision = self->config_revision;
  m->revision_highest = self->config_revision;
  m->revision_holder = m->id;
  sgr_membership_table_refresh (&m->table, m->self, &m->rng);
  sgr_membership_queue_put (&m->queue, &m->table, m->self, SGR_MEMBERSHIP_ROUTINE, true);
}

sgr_result_t
sgr_membership_create (const sgr_membership_options_t *options,
                       const sgr_membership_callbacks_t *callbacks, void *ctx, uint64_t now_us,
                       sgr_membership_t **membership)
{
  sgr_membership_t *m;

  if (!options_are_valid (options) || callbacks->send == NULL)
    return SGR_ERR_INVALID;
  m = calloc (1, sizeof *m);
  if (m == NULL)
    return SGR_ERR_NO_MEMORY;
  m->options = *options;
  m->callbacks = *callbacks;
  m->ctx = ctx;
  sgr_rng_seed (&m->rng, options->seed);
  m->sequence = (uint32_t)sgr_rng_next (&m->rng);
  sgr_membership_table_init (&m->table, options->members_max);
  sgr_membership_queue_init (&m->queue);
  sgr_membership_budget_init (&m->budget, options->budget_bytes_per_s, now_us);
  self_init (m);
  timers_init (m, now_us);
  *membership = m;
  return SGR_OK;
}

void
sgr_membership_destroy (sgr_membership_t *m)
{
  if (m == NULL)
    return;
  sgr_membership_table_release (&m->table);
  free (m->suspicions);
  free (m);
}

sgr_result_t
sgr_membership_contact_add (sgr_membership_t *m, const sgr_address_t *address)
{
  const sgr_address_t *self = &m->options.self.control_address;

  if (address->ip == self->ip && address->port == self->port)
    return SGR_OK;
  for (uint32_t i = 0; i < m->contact_count; i++)
    if (m->contacts[i].ip == address->ip && m->contacts[i].port == address->port)
      return SGR_OK;
  if (m->contact_count == SGR_MEMBERSHIP_CONTACTS_MAX)
    return SGR_ERR_LIMIT;
  m->contacts[m->contact_count++] = *address;
  return SGR_OK;
}

void
sgr_membership_change_notify (sgr_membership_t *m, uint32_t handle)
{
  sgr_member_t member;

  if (m->callbacks.changed == NULL)
    return;
  sgr_membership_table_export (&m->table, handle, &member);
  m->callbacks.changed (m->ctx, &member);
}

/* Every datagram carries the boot and the configuration revision of its sender. Applies the
   revision; requests the sender's full record if this boot is unknown. */
static void
sender_header_apply (sgr_membership_t *m, const sgr_membership_message_t *message)
{
  uint32_t handle = sgr_membership_table_find (&m->table, message->sender);
  sgr_membership_entry_t *entry;

  if (handle == SGR_MEMBERSHIP_NONE || m->table.entries[handle].boot != message->boot
      || m->table.entries[handle].name == NULL)
    {
      sgr_membership_request_full_record (m, message->sender);
      return;
    }
  entry = sgr_membership_entry (m, handle);
  if (message->config_revision >= m->revision_highest)
    {
      m->revision_highest = message->config_revision;
      m->revision_holder = message->sender;
    }
  if (message->config_revision <= entry->config_revision)
    return;
  entry->config_revision = message->config_revision;
  sgr_membership_change_notify (m, handle);
}

/* Charges a received datagram to the budget. In a probe or its acknowledgement, the bytes beyond
   SGR_MEMBERSHIP_PROBE_BYTES are piggybacked updates. */
static void
budget_charge_received (sgr_membership_t *m, sgr_membership_kind_t kind, size_t total)
{
  size_t detection = total > SGR_MEMBERSHIP_PROBE_BYTES ? SGR_MEMBERSHIP_PROBE_BYTES : total;

  if (kind >= SGR_MEMBERSHIP_DIGEST)
    sgr_membership_budget_charge (&m->budget, SGR_MEMBERSHIP_SYNC, total, false);
  else if (kind == SGR_MEMBERSHIP_GOSSIP)
    sgr_membership_budget_charge (&m->budget, SGR_MEMBERSHIP_UPDATES, total, false);
  else
    {
      sgr_membership_budget_charge (&m->budget, SGR_MEMBERSHIP_DETECTION, detection, false);
      sgr_membership_budget_charge (&m->budget, SGR_MEMBERSHIP_UPDATES, total - detection, false);
    }
}

/* Merges the records of a datagram; returns how many were newer than the known ones. */
static uint32_t
records_merge (sgr_membership_t *m, uint64_t now_us, const sgr_membership_message_t *message)
{
  bool is_sync = message->kind >= SGR_MEMBERSHIP_DIGEST;
  uint32_t newer_count = 0;

  for (size_t i = 0; i < message->record_count; i++)
    {
      const sgr_membership_record_t *record = &message->records[i];
      bool sent_by_subject = record->member.id == message->sender;
      /* A record from a sync is already known to other members and need not be sent on by gossip,
         except the sender's own record. */
      sgr_membership_merge_t result
          = sgr_membership_merge (m, now_us, record, !is_sync || sent_by_subject);

      if (result == SGR_MEMBERSHIP_MERGE_NEWER)
        newer_count++;
      if (result == SGR_MEMBERSHIP_MERGE_STALE && (is_sync || sent_by_subject)
          && m->correction_count < SGR_MEMBERSHIP_CORRECTIONS_MAX)
        m->corrections[m->correction_count++]
            = sgr_membership_table_find (&m->table, record->member.id);
    }
  return newer_count;
}

sgr_result_t
sgr_membership_datagram_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                                 const uint8_t *bytes, size_t length)
{
  size_t total = length + SGR_MEMBERSHIP_DATAGRAM_OVERHEAD;
  sgr_membership_message_t message;
  uint32_t newer_count;

  sgr_membership_budget_refill (&m->budget, now_us);
  m->counters.messages_received++;
  m->counters.bytes_received += total;
  if (sgr_membership_message_decode (bytes, length, &message) != SGR_OK)
    {
      m->counters.malformed++;
      sgr_membership_budget_charge (&m->budget, SGR_MEMBERSHIP_SYNC, total, false);
      return SGR_ERR_INVALID;
    }
  budget_charge_received (m, message.kind, total);
  if (message.sender == m->id && message.boot == m->table.entries[m->self].boot)
    return SGR_OK;
  newer_count = records_merge (m, now_us, &message);
  sgr_membership_evacuation_receive (m, now_us, &message);
  if (message.sender != m->id)
    sender_header_apply (m, &message);
  if (message.kind < SGR_MEMBERSHIP_DIGEST)
    sgr_membership_probe_receive (m, now_us, from, &message);
  else
    sgr_membership_sync_receive (m, now_us, from, &message, newer_count);
  sgr_membership_sync_send_pending (m, now_us, from);
  return SGR_OK;
}

uint64_t
sgr_membership_due (const sgr_membership_t *m)
{
  const uint64_t due[]
      = { m->probe.due_us,  m->sync.due_us,       m->suspicion_due_us, m->relay_due_us,
          m->gossip_due_us, m->dead_probe_due_us, m->tombstone_due_us };
  uint64_t earliest = UINT64_MAX;

  for (size_t i = 0; i < sizeof due / sizeof due[0]; i++)
    if (due[i] < earliest)
      earliest = due[i];
  return earliest;
}

/* Abandons the probe in progress and postpones suspicions after a pause of this process. Answers
   that are missing then do not mean that other members failed, since their datagrams wait in the
   socket. */
static void
pause_recover (sgr_membership_t *m, uint64_t now_us, uint64_t gap_us)
{
  m->counters.late_ticks++;
  sgr_membership_health_multiplier_adjust (m, 1);
  sgr_membership_suspicion_postpone (m, gap_us);
  memset (m->relays, 0, sizeof m->relays);
  m->relay_due_us = UINT64_MAX;
  m->probe.stage = SGR_MEMBERSHIP_PROBE_IDLE;
  m->probe.due_us = m->probe.next_us = now_us + m->options.probe_period_ms * SGR_USEC_PER_MSEC;
}

/* Removes the records of departed members that are older than the tombstone time. */
static void
tombstone_tick (sgr_membership_t *m, uint64_t now_us)
{
  uint64_t lifetime_us = m->options.tombstone_s * SGR_USEC_PER_SEC;

  if (now_us < m->tombstone_due_us)
    return;
  m->tombstone_due_us = now_us + TOMBSTONE_CHECK_PERIOD_US;
  for (uint32_t i = 0; i < m->table.length; i++)
    {
      sgr_membership_entry_t *entry = sgr_membership_entry (m, i);

      if (!entry->used || i == m->self || sgr_membership_entry_is_live (entry)
          || now_us - entry->departed_us < lifetime_us)
        continue;
      sgr_membership_queue_remove (&m->queue, &m->table, i);
      sgr_membership_table_remove (&m->table, i);
    }
}

uint64_t
sgr_membership_tick (sgr_membership_t *m, uint64_t now_us)
{
  uint64_t due_us = sgr_membership_due (m);

  if (now_us < due_us)
    return due_us;
  sgr_membership_budget_refill (&m->budget, now_us);
  if (now_us - due_us > TICK_LATE_US)
    pause_recover (m, now_us, now_us - due_us);
  sgr_membership_suspicion_tick (m, now_us);
  sgr_membership_probe_tick (m, now_us);
  sgr_membership_relay_tick (m, now_us);
  sgr_membership_gossip_tick (m, now_us);
  sgr_membership_sync_tick (m, now_us);
  sgr_membership_dead_probe_tick (m, now_us);
  tombstone_tick (m, now_us);
  return sgr_membership_due (m);
}

/* Raises the configuration revision of this node and gossips it. */
static void
self_revision_raise (sgr_membership_t *m, uint64_t now_us, uint64_t revision)
{
  sgr_membership_entry_t *self = sgr_membership_entry (m, m->self);

  if (revision <= self->config_revision)
    return;
  self->config_revision = revision;
  if (revision >= m->revision_highest)
    {
      m->revision_highest = revision;
      m->revision_holder = m->id;
    }
  m->revision_sends_pending = SGR_MEMBERSHIP_UPDATE_SENDS_MAX;
  if (m->gossip_due_us == UINT64_MAX)
    m->gossip_due_us = now_us;
}

sgr_result_t
sgr_membership_self_update (sgr_membership_t *m, uint64_t now_us,
                            const sgr_membership_update_t *update)
{
  sgr_membership_entry_t *self = sgr_membership_entry (m, m->self);
  size_t length = strnlen (update->service, SGR_NAME_MAX + 1);
  bool leaving
      = update->target_state == SGR_TARGET_DRAINING || update->target_state == SGR_TARGET_LEFT;
  sgr_member_t member;
  sgr_membership_urgency_t urgency = SGR_MEMBERSHIP_ROUTINE;
  bool service_changed;

  if (m->has_left)
    return SGR_ERR_CONFLICT;
  if ((length > 0 && !sgr_membership_name_is_valid (update->service, length))
      || update->target_state > SGR_TARGET_LEFT)
    return SGR_ERR_INVALID;
  self_revision_raise (m, now_us, update->config_revision);
  sgr_membership_table_export (&m->table, m->self, &member);
  service_changed = strcmp (member.service, update->service) != 0;
  if (!service_changed && update->target_state == member.target_state
      && update->slots == member.slots)
    return SGR_OK;
  memcpy (member.service, update->service, length + 1);
  if (service_changed && !sgr_membership_table_set_descriptor (&m->table, m->self, &member))
    return SGR_ERR_LIMIT;
  if (leaving)
    urgency = SGR_MEMBERSHIP_LEAVING;
  else if (service_changed || update->target_state != member.target_state)
    urgency = SGR_MEMBERSHIP_STATE_CHANGE;
  self->target_state = (uint8_t)update->target_state;
  self->slots = update->slots;
  self->incarnation++;
  sgr_membership_table_refresh (&m->table, m->self, &m->rng);
  sgr_membership_update_enqueue (m, now_us, m->self, urgency, service_changed);
  return SGR_OK;
}

void
sgr_membership_leave (sgr_membership_t *m, uint64_t now_us)
{
  sgr_membership_entry_t *self = sgr_membership_entry (m, m->self);

  if (m->has_left)
    return;
  m->has_left = true;
  self->target_state = SGR_TARGET_LEFT;
  self->incarnation++;
  self->status = SGR_MEMBER_LEFT;
  self->departed_us = now_us;
  sgr_membership_table_refresh (&m->table, m->self, &m->rng);
  sgr_membership_update_enqueue (m, now_us, m->self, SGR_MEMBERSHIP_LEAVING, false);
}

void
sgr_membership_self_get (const sgr_membership_t *m, sgr_member_t *member)
{
  sgr_membership_table_export (&m->table, m->self, member);
}

sgr_result_t
sgr_membership_member_get (const sgr_membership_t *m, sgr_node_id_t id, sgr_member_t *member)
{
  uint32_t handle = sgr_membership_table_find (&m->table, id);

  if (handle == SGR_MEMBERSHIP_NONE)
    return SGR_ERR_NOT_FOUND;
  sgr_membership_table_export (&m->table, handle, member);
  return SGR_OK;
}

bool
sgr_membership_member_next (const sgr_membership_t *m, size_t *cursor, sgr_member_t *member)
{
  while (*cursor < m->table.length)
    {
      uint32_t handle = (uint32_t)(*cursor)++;

      if (!m->table.entries[handle].used)
        continue;
      sgr_membership_table_export (&m->table, handle, member);
      return true;
    }
  return false;
}

size_t
sgr_membership_size (const sgr_membership_t *m)
{
  return m->table.ring_count;
}

bool
sgr_membership_is_synced (const sgr_membership_t *m)
{
  return m->sync.missing_groups == 0;
}

uint64_t
sgr_membership_revision_highest (const sgr_membership_t *m, sgr_node_id_t *holder)
{
  if (holder != NULL)
    *holder = m->revision_holder;
  return m->revision_highest;
}

const sgr_membership_counters_t *
sgr_membership_counters (const sgr_membership_t *m)
{
  return &m->counters;
}

size_t
sgr_membership_memory (const sgr_membership_t *m)
{
  return sizeof *m + sgr_membership_table_memory (&m->table)
         + m->suspicion_capacity * sizeof *m->suspicions;
}
