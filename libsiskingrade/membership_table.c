#include "membership_table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define INTERNED_STRINGS_MAX 8192
#define STRING_BUCKETS_MIN 64
#define ARRAY_CAPACITY_MIN 16

/* Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio. */
#define ADDRESS_HASH_MULTIPLIER 0x9e3779b97f4a7c15ULL

static uint32_t
id_chain_index (sgr_node_id_t id)
{
  return (uint32_t)(id >> SGR_MEMBERSHIP_HASH_CHAIN_SHIFT);
}

static uint32_t
address_chain_index (uint32_t ip, uint16_t port)
{
  uint64_t key = ((uint64_t)ip << 16) | port;

  return (uint32_t)((key * ADDRESS_HASH_MULTIPLIER) >> SGR_MEMBERSHIP_HASH_CHAIN_SHIFT);
}

void
sgr_membership_table_init (sgr_membership_table_t *table, uint32_t limit)
{
  *table = (sgr_membership_table_t){ .limit = limit, .free_head = SGR_MEMBERSHIP_NONE };
  memset (table->heads, 0xff, sizeof table->heads);
  memset (table->address_heads, 0xff, sizeof table->address_heads);
}

void
sgr_membership_table_release (sgr_membership_table_t *table)
{
  for (uint32_t i = 0; i < table->length; i++)
    free (table->entries[i].name);
  for (uint32_t i = 0; i < table->string_count; i++)
    free (table->strings[i]);
  free (table->strings);
  free (table->string_buckets);
  free (table->entries);
  free (table->ring);
}

uint32_t
sgr_membership_table_find (const sgr_membership_table_t *table, sgr_node_id_t id)
{
  uint32_t handle = table->heads[id_chain_index (id)];

  while (handle != SGR_MEMBERSHIP_NONE && table->entries[handle].id != id)
    handle = table->entries[handle].next;
  return handle;
}

uint32_t
sgr_membership_table_find_address (const sgr_membership_table_t *table,
                                   const sgr_address_t *address, uint32_t except)
{
  uint32_t handle = table->address_heads[address_chain_index (address->ip, address->port)];

  for (; handle != SGR_MEMBERSHIP_NONE; handle = table->entries[handle].address_next)
    {
      const sgr_membership_entry_t *entry = &table->entries[handle];

      if (entry->ip == address->ip && entry->control_port == address->port
          && sgr_membership_entry_is_live (entry) && handle != except)
        break;
    }
  return handle;
}

/* A record without a descriptor has no address and is in no address chain. */
static void
address_unlink (sgr_membership_table_t *table, uint32_t handle)
{
  const sgr_membership_entry_t *entry = &table->entries[handle];
  uint32_t *link;

  if (entry->name == NULL)
    return;
  link = &table->address_heads[address_chain_index (entry->ip, entry->control_port)];
  while (*link != handle)
    link = &table->entries[*link].address_next;
  *link = entry->address_next;
}

static void
address_link (sgr_membership_table_t *table, uint32_t handle)
{
  sgr_membership_entry_t *entry = &table->entries[handle];
  uint32_t *head = &table->address_heads[address_chain_index (entry->ip, entry->control_port)];

  entry->address_next = *head;
  *head = handle;
}

uint32_t
sgr_membership_table_add (sgr_membership_table_t *table, sgr_node_id_t id)
{
  uint32_t *head = &table->heads[id_chain_index (id)];
  uint32_t handle = table->free_head;

  if (table->count >= table->limit)
    return SGR_MEMBERSHIP_NONE;
  if (handle != SGR_MEMBERSHIP_NONE)
    table->free_head = table->entries[handle].next;
  else
    {
      if (table->length == table->capacity)
        {
          table->capacity
              = table->capacity == 0 ? ARRAY_CAPACITY_MIN : table->capacity + table->capacity / 2;
          table->entries = realloc (table->entries, table->capacity * sizeof *table->entries);
          sgr_invariant (table->entries != NULL);
        }
      handle = table->length++;
    }
  table->entries[handle] = (sgr_membership_entry_t){
    .id = id,
    .status = SGR_MEMBER_LEFT,
    .next = *head,
    .address_next = SGR_MEMBERSHIP_NONE,
    .ring_index = SGR_MEMBERSHIP_NONE,
    .suspicion = SGR_MEMBERSHIP_NONE,
    .used = true,
  };
  *head = handle;
  table->count++;
  return handle;
}

void
sgr_membership_table_remove (sgr_membership_table_t *table, uint32_t handle)
{
  sgr_membership_entry_t *entry = &table->entries[handle];
  uint32_t *link = &table->heads[id_chain_index (entry->id)];

  sgr_invariant (entry->ring_index == SGR_MEMBERSHIP_NONE && entry->queue_list == 0);
  address_unlink (table, handle);
  while (*link != handle)
    link = &table->entries[*link].next;
  *link = entry->next;
  free (entry->name);
  *entry = (sgr_membership_entry_t){ .next = table->free_head };
  table->free_head = handle;
  table->count--;
}

/* Doubles the number of hash buckets and allocates memory for half as many strings. */
static void
string_buckets_grow (sgr_membership_table_t *table)
{
  uint32_t size
      = table->string_bucket_count == 0 ? STRING_BUCKETS_MIN : table->string_bucket_count * 2;
  uint16_t *buckets = calloc (size, sizeof *buckets);

  sgr_invariant (buckets != NULL);
  for (uint32_t i = 0; i < table->string_count; i++)
    {
      uint32_t bucket = XXH32 (table->strings[i], strlen (table->strings[i]), 0) & (size - 1);

      while (buckets[bucket] != 0)
        bucket = (bucket + 1) & (size - 1);
      buckets[bucket] = (uint16_t)(i + 1);
    }
  free (table->string_buckets);
  table->string_buckets = buckets;
  table->string_bucket_count = size;
  table->strings = realloc (table->strings, size / 2 * sizeof *table->strings);
  sgr_invariant (table->strings != NULL);
}

/* Sets *index to the index of the text in table->strings, counted from 1, or to 0 if the text is
   empty. Returns false if INTERNED_STRINGS_MAX is reached. */
static bool
string_intern (sgr_membership_table_t *table, const char *text, uint16_t *index)
{
  uint32_t bucket;

  *index = 0;
  if (text[0] == '\0')
    return true;
  if (table->string_count >= table->string_bucket_count / 2)
    string_buckets_grow (table);
  bucket = XXH32 (text, strlen (text), 0) & (table->string_bucket_count - 1);
  while (table->string_buckets[bucket] != 0)
    {
      if (strcmp (table->strings[table->string_buckets[bucket] - 1], text) == 0)
        {
          *index = table->string_buckets[bucket];
          return true;
        }
      bucket = (bucket + 1) & (table->string_bucket_count - 1);
    }
  if (table->string_count >= INTERNED_STRINGS_MAX)
    return false;
  table->strings[table->string_count] = strdup (text);
  sgr_invariant (table->strings[table->string_count] != NULL);
  table->string_bytes += strlen (text) + 1;
  *index = table->string_buckets[bucket] = (uint16_t)++table->string_count;
  return true;
}

uint32_t
sgr_membership_descriptor_hash (const sgr_member_t *member)
{
  uint32_t addresses[4] = { member->control_address.ip, member->control_address.port,
                            member->data_address.ip, member->data_address.port };
  uint32_t hash = XXH32 (addresses, sizeof addresses, 0);

  /* Terminating zeros are hashed too: they mark where one string ends and the next begins. */
  hash = XXH32 (member->name, strlen (member->name) + 1, hash);
  hash = XXH32 (member->region, strlen (member->region) + 1, hash);
  hash = XXH32 (member->failure_domain, strlen (member->failure_domain) + 1, hash);
  return XXH32 (member->service, strlen (member->service) + 1, hash);
}

bool
sgr_membership_table_set_descriptor (sgr_membership_table_t *table, uint32_t handle,
                                     const sgr_member_t *member)
{
  sgr_membership_entry_t *entry = &table->entries[handle];
  uint16_t region;
  uint16_t failure_domain;
  uint16_t service;

  if (!string_intern (table, member->region, &region)
      || !string_intern (table, member->failure_domain, &failure_domain)
      || !string_intern (table, member->service, &service))
    return false;
  address_unlink (table, handle);
  if (entry->name == NULL)
    {
      entry->name = strdup (member->name);
      sgr_invariant (entry->name != NULL);
      table->string_bytes += strlen (member->name) + 1;
    }
  entry->region = region;
  entry->failure_domain = failure_domain;
  entry->service = service;
  entry->ip = member->control_address.ip;
  entry->control_port = member->control_address.port;
  entry->data_ip = member->data_address.ip;
  entry->data_port = member->data_address.port;
  entry->descriptor_hash = sgr_membership_descriptor_hash (member);
  address_link (table, handle);
  return true;
}

/* Inserts at a random index; the member that was there moves to the end. */
static void
ring_insert (sgr_membership_table_t *table, uint32_t handle, sgr_rng_t *rng)
{
  uint32_t index;

  if (table->ring_count == table->ring_capacity)
    {
      table->ring_capacity = table->ring_capacity == 0
                                 ? ARRAY_CAPACITY_MIN
                                 : table->ring_capacity + table->ring_capacity / 2;
      table->ring = realloc (table->ring, table->ring_capacity * sizeof *table->ring);
      sgr_invariant (table->ring != NULL);
    }
  table->ring[table->ring_count++] = handle;
  index = (uint32_t)sgr_rng_below (rng, table->ring_count);
  table->ring[table->ring_count - 1] = table->ring[index];
  table->entries[table->ring[index]].ring_index = table->ring_count - 1;
  table->ring[index] = handle;
  table->entries[handle].ring_index = index;
}

static void
probe_ring_remove (sgr_membership_table_t *table, uint32_t handle)
{
  sgr_membership_entry_t *entry = &table->entries[handle];
  uint32_t last = table->ring[--table->ring_count];

  table->ring[entry->ring_index] = last;
  table->entries[last].ring_index = entry->ring_index;
  entry->ring_index = SGR_MEMBERSHIP_NONE;
}

void
sgr_membership_table_refresh (sgr_membership_table_t *table, uint32_t handle, sgr_rng_t *rng)
{
  sgr_membership_entry_t *entry = &table->entries[handle];
  uint32_t *digest = &table->digests[sgr_membership_group_of (entry->id)];
  bool live = sgr_membership_entry_is_live (entry);

  *digest ^= entry->fingerprint;
  entry->fingerprint = 0;
  if (live)
    {
      uint64_t fields[5] = { entry->id, entry->boot, entry->incarnation, entry->descriptor_hash,
                             ((uint64_t)entry->slots << 8) | entry->target_state };

      entry->fingerprint = XXH32 (fields, sizeof fields, 0);
    }
  *digest ^= entry->fingerprint;
  if (live && entry->ring_index == SGR_MEMBERSHIP_NONE)
    ring_insert (table, handle, rng);
  else if (!live && entry->ring_index != SGR_MEMBERSHIP_NONE)
    probe_ring_remove (table, handle);
}

void
sgr_membership_table_shuffle (sgr_membership_table_t *table, sgr_rng_t *rng)
{
  for (uint32_t i = table->ring_count; i > 1; i--)
    {
      uint32_t j = (uint32_t)sgr_rng_below (rng, i);
      uint32_t handle = table->ring[i - 1];

      table->ring[i - 1] = table->ring[j];
      table->ring[j] = handle;
    }
  for (uint32_t i = 0; i < table->ring_count; i++)
    table->entries[table->ring[i]].ring_index = i;
}

static void
string_export (const sgr_membership_table_t *table, uint16_t index, char *text)
{
  const char *from = index == 0 ? "" : table->strings[index - 1];

  memcpy (text, from, strlen (from) + 1);
}

void
sgr_membership_table_export (const sgr_membership_table_t *table, uint32_t handle,
                             sgr_member_t *member)
{
  const sgr_membership_entry_t *entry = &table->entries[handle];
  const char *name = entry->name == NULL ? "" : entry->name;

  member->id = entry->id;
  member->boot = entry->boot;
  member->boot_time_ms = entry->boot_time_ms;
  member->incarnation = entry->incarnation;
  member->status = (sgr_member_status_t)entry->status;
  memcpy (member->name, name, strlen (name) + 1);
  string_export (table, entry->region, member->region);
  string_export (table, entry->failure_domain, member->failure_domain);
  string_export (table, entry->service, member->service);
  member->data_address = (sgr_address_t){ entry->data_ip, entry->data_port };
  member->control_address = (sgr_address_t){ entry->ip, entry->control_port };
  member->target_state = (sgr_target_state_t)entry->target_state;
  member->slots = entry->slots;
  member->config_revision = entry->config_revision;
}

size_t
sgr_membership_table_memory (const sgr_membership_table_t *table)
{
  return table->capacity * sizeof *table->entries + table->ring_capacity * sizeof *table->ring
         + table->string_bytes + table->string_bucket_count * sizeof *table->string_buckets
         + table->string_bucket_count / 2 * sizeof *table->strings;
}
