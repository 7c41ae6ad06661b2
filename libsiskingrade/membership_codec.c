#include "membership_codec.h"

#include <string.h>

/* Upper bound of the encoded version, kind, sender, boot, sequence, configuration revision, target,
   target address and groups. */
#define HEADER_BYTES_MAX 80

/* Tag and length of an encoded field take 2 bytes for up to 127 bytes of content, such as a name,
   and 3 bytes for more. */
#define FIELD_PREFIX_BYTES_SHORT 2
#define FIELD_PREFIX_BYTES_MAX 3
/* Tag and length of the field with the evacuated failure domains, whose number is above 15. */
#define EVACUATION_PREFIX_BYTES_MAX 4

/* Size of one element of the repeated fields, encoded and in memory. */
#define FINGERPRINT_BYTES 4
#define NODE_ID_BYTES 8
#define DIGEST_BYTES 4

/* The state of an encoded record holds the status in its low bits and the target state above
   these. */
#define STATUS_BITS 2
#define STATUS_MASK 3

#define ARENA_BYTES 32768
#define ARENA_ALIGNMENT 16

#define INCARNATION_MAX (1ULL << 48)

void
sgr_membership_writer_begin (sgr_membership_writer_t *writer, sgr_membership_kind_t kind)
{
  sgr__membership_datagram__init (&writer->message);
  writer->message.version = SGR_MEMBERSHIP_VERSION;
  writer->message.kind = kind;
  writer->message.records = writer->record_pointers;
  writer->message.strings = writer->strings;
  writer->message.fingerprints = writer->fingerprints;
  writer->message.wanted = writer->wanted;
  writer->message.digests = writer->digests;
  writer->size = HEADER_BYTES_MAX;
  writer->evacuation_size = 0;
}

void
sgr_membership_writer_set_evacuation (sgr_membership_writer_t *writer,
                                      const sgr_evacuation_t *evacuation)
{
  Sgr__MembershipEvacuation *field = &writer->evacuation;

  sgr__membership_evacuation__init (field);
  field->generation = evacuation->version.generation;
  field->number = evacuation->version.number;
  field->n_domains = evacuation->count;
  field->domains = writer->evacuated_domains;
  for (size_t i = 0; i < evacuation->count; i++)
    writer->evacuated_domains[i] = (ProtobufCBinaryData){ strlen (evacuation->domains[i]),
                                                          (uint8_t *)evacuation->domains[i] };
  writer->message.evacuation = field;
  writer->evacuation_size
      = protobuf_c_message_get_packed_size (&field->base) + EVACUATION_PREFIX_BYTES_MAX;
  writer->size += writer->evacuation_size;
}

/* Adds an interned string of the table to the datagram unless it is there already. Returns its
   index in the datagram, counted from 1, or 0 for the empty string. Sets *ok to false if the
   datagram holds SGR_MEMBERSHIP_STRINGS_MAX strings already. */
static uint32_t
string_add (sgr_membership_writer_t *writer, const sgr_membership_table_t *table,
            uint16_t table_index, bool *ok)
{
  size_t count = writer->message.n_strings;
  char *text;

  if (table_index == 0)
    return 0;
  for (size_t i = 0; i < count; i++)
    if (writer->string_indexes[i] == table_index)
      return (uint32_t)(i + 1);
  if (count == SGR_MEMBERSHIP_STRINGS_MAX)
    {
      *ok = false;
      return 0;
    }
  text = table->strings[table_index - 1];
  writer->string_indexes[count] = table_index;
  writer->strings[count] = (ProtobufCBinaryData){ strlen (text), (uint8_t *)text };
  writer->size += strlen (text) + FIELD_PREFIX_BYTES_SHORT;
  return (uint32_t)++writer->message.n_strings;
}

static bool
descriptor_encode (sgr_membership_writer_t *writer, const sgr_membership_table_t *table,
                   const sgr_membership_entry_t *entry, Sgr__MembershipRecord *record)
{
  bool ok = true;

  record->name = (ProtobufCBinaryData){ strlen (entry->name), (uint8_t *)entry->name };
  record->region = string_add (writer, table, entry->region, &ok);
  record->failure_domain = string_add (writer, table, entry->failure_domain, &ok);
  record->service = string_add (writer, table, entry->service, &ok);
  record->ip = entry->ip;
  record->control_port = entry->control_port;
  record->data_port = entry->data_port;
  record->data_ip = entry->data_ip == entry->ip ? 0 : entry->data_ip;
  record->config_revision = entry->config_revision;
  return ok;
}

bool
sgr_membership_writer_add_record (sgr_membership_writer_t *writer,
                                  const sgr_membership_table_t *table, uint32_t handle, bool full,
                                  uint64_t now_us, uint32_t suspected_by, size_t limit)
{
  const sgr_membership_entry_t *entry = &table->entries[handle];
  size_t strings = writer->message.n_strings;
  size_t size = writer->size;
  Sgr__MembershipRecord *record = &writer->records[writer->message.n_records];
  bool ok = true;

  if (writer->message.n_records == SGR_MEMBERSHIP_RECORDS_MAX)
    return false;
  sgr__membership_record__init (record);
  record->boot = entry->boot;
  record->boot_time_ms = entry->boot_time_ms;
  record->incarnation = entry->incarnation;
  record->state = (uint32_t)entry->status | ((uint32_t)entry->target_state << STATUS_BITS);
  record->slots = entry->slots;
  if (!sgr_membership_entry_is_live (entry) && now_us > entry->departed_us)
    record->departed_s = (uint32_t)((now_us - entry->departed_us) / SGR_USEC_PER_SEC);
  if (entry->status == SGR_MEMBER_SUSPECT)
    record->suspected_by = suspected_by;
  if (full && entry->name != NULL)
    ok = descriptor_encode (writer, table, entry, record);
  else
    {
      record->id = entry->id;
      record->descriptor_hash = entry->descriptor_hash;
    }
  if (ok)
    writer->size += protobuf_c_message_get_packed_size (&record->base) + FIELD_PREFIX_BYTES_MAX;
  if (!ok || writer->size > limit)
    {
      writer->message.n_strings = strings;
      writer->size = size;
      return false;
    }
  writer->record_pointers[writer->message.n_records++] = record;
  return true;
}

bool
sgr_membership_writer_add_fingerprint (sgr_membership_writer_t *writer, uint32_t fingerprint)
{
  if (writer->message.n_fingerprints == SGR_MEMBERSHIP_FINGERPRINTS_MAX
      || writer->size + FINGERPRINT_BYTES + FIELD_PREFIX_BYTES_MAX > SGR_MEMBERSHIP_DATAGRAM_MAX)
    return false;
  if (writer->message.n_fingerprints == 0)
    writer->size += FIELD_PREFIX_BYTES_MAX;
  writer->fingerprints[writer->message.n_fingerprints++] = fingerprint;
  writer->size += FINGERPRINT_BYTES;
  return true;
}

bool
sgr_membership_writer_add_wanted_id (sgr_membership_writer_t *writer, sgr_node_id_t id)
{
  if (writer->message.n_wanted == SGR_MEMBERSHIP_WANTED_IDS_MAX
      || writer->size + NODE_ID_BYTES + FIELD_PREFIX_BYTES_MAX > SGR_MEMBERSHIP_DATAGRAM_MAX)
    return false;
  if (writer->message.n_wanted == 0)
    writer->size += FIELD_PREFIX_BYTES_MAX;
  writer->wanted[writer->message.n_wanted++] = id;
  writer->size += NODE_ID_BYTES;
  return true;
}

void
sgr_membership_writer_set_digests (sgr_membership_writer_t *writer, const uint32_t *digests)
{
  memcpy (writer->digests, digests, sizeof writer->digests);
  writer->message.n_digests = SGR_MEMBERSHIP_GROUPS;
  writer->size += sizeof writer->digests + FIELD_PREFIX_BYTES_MAX;
}

size_t
sgr_membership_writer_finish (sgr_membership_writer_t *writer, uint8_t *bytes)
{
  size_t length;

  sgr_invariant (writer->size <= SGR_MEMBERSHIP_DATAGRAM_MAX);
  length = sgr__membership_datagram__pack (&writer->message, bytes);
  sgr_invariant (length <= writer->size);
  return length;
}

bool
sgr_membership_name_is_valid (const char *name, size_t length)
{
  if (length == 0 || length > SGR_NAME_MAX)
    return false;
  for (size_t i = 0; i < length; i++)
    if (name[i] <= ' ' || name[i] > '~')
      return false;
  return true;
}

/* Memory for decoding. It has a fixed size, so that no datagram makes the process allocate memory;
   a datagram that needs more is rejected. */
typedef struct
{
  size_t used;
  _Alignas(ARENA_ALIGNMENT) uint8_t bytes[ARENA_BYTES];
} arena_t;

static void *
arena_alloc (void *data, size_t size)
{
  arena_t *arena = data;
  size_t rounded = (size + ARENA_ALIGNMENT - 1) & ~(size_t)(ARENA_ALIGNMENT - 1);
  void *block = arena->bytes + arena->used;

  if (size > ARENA_BYTES || rounded > ARENA_BYTES - arena->used)
    return NULL;
  arena->used += rounded;
  return block;
}

/* Blocks are not freed one by one: the arena is released as a whole. */
static void
arena_free (void *data, void *block)
{
}

static bool
name_decode (const ProtobufCBinaryData *from, char *to)
{
  if (!sgr_membership_name_is_valid ((const char *)from->data, from->len))
    return false;
  memcpy (to, from->data, from->len);
  to[from->len] = '\0';
  return true;
}

/* Copies a string to which a record refers; @index counts from 1, 0 is the empty string. */
static bool
string_decode (const Sgr__MembershipDatagram *datagram, uint32_t index, char *to)
{
  to[0] = '\0';
  if (index == 0)
    return true;
  return index <= datagram->n_strings && name_decode (&datagram->strings[index - 1], to);
}

static bool
descriptor_decode (const Sgr__MembershipDatagram *datagram, const Sgr__MembershipRecord *from,
                   sgr_member_t *member)
{
  if (!name_decode (&from->name, member->name)
      || !string_decode (datagram, from->region, member->region)
      || !string_decode (datagram, from->failure_domain, member->failure_domain)
      || !string_decode (datagram, from->service, member->service))
    return false;
  if (from->ip == 0 || from->control_port == 0 || from->control_port > UINT16_MAX
      || from->data_port == 0 || from->data_port > UINT16_MAX)
    return false;
  member->id = sgr_node_id_of (member->name);
  member->control_address = (sgr_address_t){ from->ip, (uint16_t)from->control_port };
  member->data_address
      = (sgr_address_t){ from->data_ip == 0 ? from->ip : from->data_ip, (uint16_t)from->data_port };
  member->config_revision = from->config_revision;
  return true;
}

static bool
record_decode (const Sgr__MembershipDatagram *datagram, const Sgr__MembershipRecord *from,
               sgr_membership_record_t *record)
{
  sgr_member_t *member = &record->member;

  member->boot = from->boot;
  member->boot_time_ms = from->boot_time_ms;
  member->incarnation = from->incarnation;
  member->status = (sgr_member_status_t)(from->state & STATUS_MASK);
  member->target_state = (sgr_target_state_t)(from->state >> STATUS_BITS);
  member->slots = from->slots;
  member->config_revision = 0;
  member->id = from->id;
  member->name[0] = member->region[0] = member->failure_domain[0] = member->service[0] = '\0';
  record->full = from->name.len > 0;
  record->departed_s = from->departed_s;
  record->suspected_by = from->suspected_by;
  record->descriptor_hash = from->descriptor_hash;
  /* A node that refutes a record sets its own boot time or incarnation to the received value plus
     one. The bounds keep the sum from overflowing. */
  if (from->boot_time_ms >= SGR_BOOT_TIME_MAX_MS || from->incarnation > INCARNATION_MAX
      || from->state >> STATUS_BITS > SGR_TARGET_LEFT)
    return false;
  if (!record->full)
    return from->id != 0;
  if (!descriptor_decode (datagram, from, member))
    return false;
  record->descriptor_hash = sgr_membership_descriptor_hash (member);
  return true;
}

/* Copies the evacuated failure domains. A number of 0 would stand for a set that never was. */
static bool
evacuation_decode (const Sgr__MembershipEvacuation *from, sgr_evacuation_t *evacuation)
{
  *evacuation = (sgr_evacuation_t){ 0 };
  if (from == NULL)
    return true;
  if (from->number == 0 || from->n_domains > SGR_EVACUATION_DOMAINS_MAX)
    return false;
  evacuation->version = (sgr_store_version_t){ from->generation, from->number };
  evacuation->checked = evacuation->version;
  for (size_t i = 0; i < from->n_domains; i++)
    if (sgr_evacuation_domain_add (evacuation, (const char *)from->domains[i].data,
                                   from->domains[i].len)
        != SGR_OK)
      return false;
  return true;
}

/* Validates a datagram and copies it to *message. */
static bool
message_convert (const Sgr__MembershipDatagram *from, sgr_membership_message_t *message)
{
  if (from->version != SGR_MEMBERSHIP_VERSION || from->kind < SGR_MEMBERSHIP_PING
      || from->kind > SGR_MEMBERSHIP_PUSH || from->sender == 0
      || from->n_records > SGR_MEMBERSHIP_RECORDS_MAX
      || from->n_fingerprints > SGR_MEMBERSHIP_FINGERPRINTS_MAX
      || from->n_wanted > SGR_MEMBERSHIP_WANTED_IDS_MAX || from->target_port > UINT16_MAX)
    return false;
  if ((from->kind == SGR_MEMBERSHIP_DIGEST) != (from->n_digests == SGR_MEMBERSHIP_GROUPS)
      || (from->kind != SGR_MEMBERSHIP_DIGEST && from->n_digests != 0))
    return false;
  if (from->kind == SGR_MEMBERSHIP_PING_REQ
      && (from->target == 0 || from->target_ip == 0 || from->target_port == 0))
    return false;
  message->kind = (sgr_membership_kind_t)from->kind;
  message->sender = from->sender;
  message->boot = from->boot;
  message->sequence = from->sequence;
  message->config_revision = from->config_revision;
  message->probed_id = from->target;
  message->probed_address = (sgr_address_t){ from->target_ip, (uint16_t)from->target_port };
  message->groups = from->groups;
  message->record_count = from->n_records;
  message->fingerprint_count = from->n_fingerprints;
  message->wanted_count = from->n_wanted;
  for (size_t i = 0; i < from->n_records; i++)
    if (!record_decode (from, from->records[i], &message->records[i]))
      return false;
  if (!evacuation_decode (from->evacuation, &message->evacuation))
    return false;
  if (from->n_fingerprints > 0)
    memcpy (message->fingerprints, from->fingerprints, from->n_fingerprints * FINGERPRINT_BYTES);
  if (from->n_wanted > 0)
    memcpy (message->wanted, from->wanted, from->n_wanted * NODE_ID_BYTES);
  if (from->n_digests > 0)
    memcpy (message->digests, from->digests, from->n_digests * DIGEST_BYTES);
  return true;
}

sgr_result_t
sgr_membership_message_decode (const uint8_t *bytes, size_t length,
                               sgr_membership_message_t *message)
{
  arena_t arena;
  ProtobufCAllocator allocator = { arena_alloc, arena_free, &arena };
  Sgr__MembershipDatagram *datagram;

  if (length == 0 || length > SGR_MEMBERSHIP_DATAGRAM_MAX)
    return SGR_ERR_INVALID;
  arena.used = 0;
  datagram = sgr__membership_datagram__unpack (&allocator, length, bytes);
  if (datagram == NULL || !message_convert (datagram, message))
    return SGR_ERR_INVALID;
  return SGR_OK;
}
