#ifndef SGR_MEMBERSHIP_TABLE_H
#define SGR_MEMBERSHIP_TABLE_H

#include "member.h"
#include "result.h"
#include "rng.h"

/* Anti-entropy sync compares one digest for each group of ids. The top 6 bits of an id select its
   group. */
#define SGR_MEMBERSHIP_GROUPS 64
#define SGR_MEMBERSHIP_GROUP_SHIFT 58

/* Chains of the hash table of ids. The top 10 bits of an id select its chain, so that the records
   of a group are in 16 adjacent chains. With 2,600 members a chain holds 2 or 3 records. The hash
   table of control addresses has as many chains, selected by the top 10 bits of a hash. */
#define SGR_MEMBERSHIP_HASH_CHAINS 1024
#define SGR_MEMBERSHIP_HASH_CHAIN_SHIFT 54

/* Handle that stands for no record. */
#define SGR_MEMBERSHIP_NONE UINT32_MAX

/**
 * struct sgr_membership_entry_t - record of one member, see sgr_member_t, in the form in which the
 * table stores it
 *
 * The handle of a record is its index in the table. The name, the addresses, the region, the
 * failure domain and the service are the descriptor of the member. A departed record may lack it.
 *
 * @departed_us: monotonic time at which the member departed; without meaning for a live member
 * @name: name of the node, NULL if the record has no descriptor
 * @next: handle of the next record in the id chain, or of the next free record
 * @address_next: handle of the next record in the address chain
 * @queue_next: handle of the next record in the list of the queue
 * @queue_previous: handle of the previous record in the list of the queue
 * @ring_index: index in the ring of the table, SGR_MEMBERSHIP_NONE for a departed member
 * @suspicion: index in the array of suspicions, SGR_MEMBERSHIP_NONE if the member is not suspect
 * @fingerprint: hash of a live record, 0 for a departed one
 * @descriptor_hash: hash of the descriptor, see sgr_membership_descriptor_hash()
 * @slots: requests that the target of the member may run at a time
 * @ip: IP address of the control address
 * @data_ip: IP address of the data address
 * @region: interned string, see sgr_membership_table_t
 * @failure_domain: interned string
 * @service: interned string
 * @queue_list: list of the queue that holds the record, counted from 1; 0 if the record is not
 * queued
 * @queue_with_descriptor: whether the queued update includes the descriptor
 * @used: false if the record is in the free list of the table
 */
typedef struct
{
  sgr_node_id_t id;
  sgr_boot_id_t boot;
  uint64_t incarnation;
  uint64_t config_revision;
  uint64_t departed_us;
  uint64_t boot_time_ms;
  char *name;
  uint32_t next;
  uint32_t address_next;
  uint32_t queue_next;
  uint32_t queue_previous;
  uint32_t ring_index;
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
  bool queue_with_descriptor;
  bool used;
} sgr_membership_entry_t;

/**
 * struct sgr_membership_table_t - all records that one node holds
 *
 * The names of regions, failure domains and services are interned: a record stores the index in
 * @strings, counted from 1, and 0 for the empty string.
 *
 * @entries: the records
 * @length: length of @entries, the records in the free list included
 * @capacity: records for which @entries has memory
 * @count: records in use
 * @limit: maximum of @count
 * @free_head: first record of the free list
 * @heads: first record of each id chain
 * @address_heads: first record of each chain of the hash table of control addresses
 * @ring: handles of the live members, this node included, in the order in which they are probed
 * @ring_count: number of live members
 * @ring_capacity: handles for which @ring has memory
 * @digests: exclusive or of the fingerprints of each group
 * @strings: the interned strings, never removed
 * @string_count: number of interned strings
 * @string_buckets: hash table with linear probing; a bucket holds an index in @strings, counted
 * from 1, or 0 if it is empty
 * @string_bucket_count: number of buckets, a power of two
 * @string_bytes: bytes of the interned strings and of all names added so far, with terminating
 * zeros; the name of a removed record stays counted
 */
typedef struct
{
  sgr_membership_entry_t *entries;
  uint32_t length;
  uint32_t capacity;
  uint32_t count;
  uint32_t limit;
  uint32_t free_head;
  uint32_t heads[SGR_MEMBERSHIP_HASH_CHAINS];
  uint32_t address_heads[SGR_MEMBERSHIP_HASH_CHAINS];
  uint32_t *ring;
  uint32_t ring_count;
  uint32_t ring_capacity;
  uint32_t digests[SGR_MEMBERSHIP_GROUPS];
  char **strings;
  uint32_t string_count;
  uint16_t *string_buckets;
  uint32_t string_bucket_count;
  size_t string_bytes;
} sgr_membership_table_t;

/**
 * sgr_membership_table_init() - initialize an empty table
 * @table: the table
 * @limit: maximum number of records
 */
void sgr_membership_table_init (sgr_membership_table_t *table, uint32_t limit);
void sgr_membership_table_release (sgr_membership_table_t *table);

/**
 * sgr_membership_table_find() - find the record of a node
 * @table: the table
 * @id: the node
 *
 * Return: the handle, SGR_MEMBERSHIP_NONE if the table has no record of the node.
 */
uint32_t sgr_membership_table_find (const sgr_membership_table_t *table, sgr_node_id_t id);

/**
 * sgr_membership_table_find_address() - find a live member by its control address
 * @table: the table
 * @address: the address
 * @except: handle of a record to skip, SGR_MEMBERSHIP_NONE to skip none
 *
 * Return: the handle, SGR_MEMBERSHIP_NONE if there is no other live member at the address.
 */
uint32_t sgr_membership_table_find_address (const sgr_membership_table_t *table,
                                            const sgr_address_t *address, uint32_t except);

/**
 * sgr_membership_table_add() - add a record without a descriptor
 * @table: the table
 * @id: the node, not yet in the table
 *
 * The record has the status SGR_MEMBER_LEFT. After its fields are set, call
 * sgr_membership_table_refresh(). Pointers to entries become invalid.
 *
 * Return: the handle, SGR_MEMBERSHIP_NONE if the table is full.
 */
uint32_t sgr_membership_table_add (sgr_membership_table_t *table, sgr_node_id_t id);

/**
 * sgr_membership_table_remove() - remove a record
 * @table: the table
 * @handle: a departed record that is not in the queue of updates
 */
void sgr_membership_table_remove (sgr_membership_table_t *table, uint32_t handle);

/**
 * sgr_membership_table_set_descriptor() - set the descriptor of a record
 * @table: the table
 * @handle: the record
 * @member: contains the descriptor; the name must be the one that the record already has, if any
 *
 * Return: false, with the record unchanged, if the limit of interned strings is reached.
 */
bool sgr_membership_table_set_descriptor (sgr_membership_table_t *table, uint32_t handle,
                                          const sgr_member_t *member);

/**
 * sgr_membership_table_refresh() - update fingerprint, digest and ring after a record changed
 * @table: the table
 * @handle: the record that changed
 * @rng: chooses the index of a new live member in the ring
 */
void sgr_membership_table_refresh (sgr_membership_table_t *table, uint32_t handle, sgr_rng_t *rng);

/**
 * sgr_membership_table_shuffle() - put the ring into a new random order
 * @table: the table
 * @rng: source of the order
 */
void sgr_membership_table_shuffle (sgr_membership_table_t *table, sgr_rng_t *rng);

/**
 * sgr_membership_table_export() - copy a record, with interned strings written out
 * @table: the table
 * @handle: the record
 * @member: receives the record; the strings are empty if the record has no descriptor
 */
void sgr_membership_table_export (const sgr_membership_table_t *table, uint32_t handle,
                                  sgr_member_t *member);

/** sgr_membership_table_memory() - approximate heap memory of the table, in bytes */
size_t sgr_membership_table_memory (const sgr_membership_table_t *table);

/**
 * sgr_membership_descriptor_hash() - hash of the descriptor of a member
 * @member: the member
 *
 * A compact record in a datagram holds this hash in place of the descriptor.
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
  return (unsigned)(id >> SGR_MEMBERSHIP_GROUP_SHIFT);
}

#endif
