#ifndef SGR_MEMBERSHIP_TABLE_H
#define SGR_MEMBERSHIP_TABLE_H

#include "member.h"
#include "result.h"
#include "rng.h"

/* 16 chains a group; with 2,600 members a chain holds 2 or 3 records. */
#define SGR_MEMBERSHIP_CHAINS 1024
#define SGR_MEMBERSHIP_GROUPS 64
#define SGR_MEMBERSHIP_NONE UINT32_MAX

/**
 * struct sgr_membership_entry_t - compact form of a record; names of regions, failure domains and
 * services are numbers of interned strings
 * @since_us: when the member was found departed
 * @next: next record of the id chain, or next free record
 * @address_next: next record of the address chain
 * @queue_next: next record of the queue list
 * @queue_previous: previous record of the queue list
 * @ring_position: place among the live members
 * @suspicion: place among the suspicions while the member is suspect
 * @fingerprint: hash of the live record, 0 for a departed one
 * @queue_list: list of the queue that holds the record, counted from 1; 0 for none
 * @queue_full: whether the queue sends the descriptor too
 * @used: whether the slot of the table is in use
 */
typedef struct
{
  sgr_node_id_t id;
  sgr_boot_id_t boot;
  uint64_t incarnation;
  uint64_t config_revision;
  uint64_t since_us;
  uint64_t boot_time_ms;
  char *name;
  uint32_t next;
  uint32_t address_next;
  uint32_t queue_next;
  uint32_t queue_previous;
  uint32_t ring_position;
  uint32_t suspicion;
  uint32_t fingerprint;
  uint32_t descriptor_hash;
  uint32_t slots;
  uint32_t ip;
  uint32_t data_ip;
  uint16_t control_port;
  uint16_t data_port;
  uint16_t region;
  uint16_t failure_domain;
  uint16_t service;
  uint8_t status;
  uint8_t target_state;
  uint8_t queue_list;
  bool queue_full;
  bool used;
} sgr_membership_entry_t;

/**
 * struct sgr_membership_table_t - all records of one node
 * @ring: live members, this node included, in the order in which they are probed
 * @digests: exclusive or of the fingerprints of each group
 */
typedef struct
{
  sgr_membership_entry_t *entries;
  uint32_t slots;
  uint32_t capacity;
  uint32_t count;
  uint32_t limit;
  uint32_t free_head;
  uint32_t heads[SGR_MEMBERSHIP_CHAINS];
  uint32_t address_heads[SGR_MEMBERSHIP_CHAINS];
  uint32_t *ring;
  uint32_t ring_count;
  uint32_t ring_capacity;
  uint32_t digests[SGR_MEMBERSHIP_GROUPS];
  char **strings;
  uint32_t string_count;
  uint16_t *string_index;
  uint32_t string_index_size;
  size_t string_bytes;
} sgr_membership_table_t;

void sgr_membership_table_init (sgr_membership_table_t *table, uint32_t limit);
void sgr_membership_table_release (sgr_membership_table_t *table);

/**
 * sgr_membership_table_find() - handle of a node's record, SGR_MEMBERSHIP_NONE if unknown
 */
uint32_t sgr_membership_table_find (const sgr_membership_table_t *table, sgr_node_id_t id);

/**
 * sgr_membership_table_find_address() - handle of the live member at a control address
 * @table: the table
 * @address: the address
 * @except: handle that does not count
 */
uint32_t sgr_membership_table_find_address (const sgr_membership_table_t *table,
                                            const sgr_address_t *address, uint32_t except);

/**
 * sgr_membership_table_add() - add an empty departed record; pointers to entries become invalid
 * @table: the table
 * @id: the node, not yet in the table
 *
 * Return: the handle, SGR_MEMBERSHIP_NONE if the table is full.
 */
uint32_t sgr_membership_table_add (sgr_membership_table_t *table, sgr_node_id_t id);

/**
 * sgr_membership_table_remove() - drop a departed record that is not queued
 */
void sgr_membership_table_remove (sgr_membership_table_t *table, uint32_t handle);

/**
 * sgr_membership_table_describe() - set name, addresses, region, failure domain and service
 *
 * Return: false if the table of strings is full.
 */
bool sgr_membership_table_describe (sgr_membership_table_t *table, uint32_t handle,
                                    const sgr_member_t *member);

/**
 * sgr_membership_table_refresh() - bring fingerprint, digest and ring up to date after a change
 * @table: the table
 * @handle: the record that changed
 * @rng: chooses the place of a new member in the ring
 */
void sgr_membership_table_refresh (sgr_membership_table_t *table, uint32_t handle, sgr_rng_t *rng);

void sgr_membership_table_shuffle (sgr_membership_table_t *table, sgr_rng_t *rng);

/**
 * sgr_membership_table_export() - expand a record
 */
void sgr_membership_table_export (const sgr_membership_table_t *table, uint32_t handle,
                                  sgr_member_t *member);

size_t sgr_membership_table_memory (const sgr_membership_table_t *table);

/**
 * sgr_membership_descriptor_hash() - hash of the fields that compact records leave out
 */
uint32_t sgr_membership_descriptor_hash (const sgr_member_t *member);

static inline bool
sgr_membership_entry_is_live (const sgr_membership_entry_t *entry)
{
  return entry->status == SGR_MEMBER_ALIVE || entry->status == SGR_MEMBER_SUSPECT;
}

static inline unsigned
sgr_membership_group_of (sgr_node_id_t id)
{
  return (unsigned)(id >> 58);
}

#endif
