#ifndef SGR_GATE_INDEX_H
#define SGR_GATE_INDEX_H

#include "types.h"

#define SGR_GATE_INDEX_NONE UINT32_MAX

/**
 * struct sgr_gate_index_t - hash table and age order of the records in an array of its owner
 * @capacity: number of records in the array
 * @used: number of records in use
 * @mask: number of buckets minus 1; the number of buckets is a power of two
 * @heads: first record of each bucket
 * @chain: for each record, the next one of the same bucket or of the free list
 * @free: first record of the free list
 * @older: for each record, the next older one in the age order
 * @newer: for each record, the next newer one in the age order
 * @oldest: oldest record of the age order
 * @newest: newest record of the age order
 *
 * Records are represented by their indexes in the array; SGR_GATE_INDEX_NONE means none. The age
 * order is the order of the calls of sgr_gate_index_order_append(). The owner compares the keys of
 * the records in a bucket itself.
 */
typedef struct
{
  uint32_t capacity;
  uint32_t used;
  uint32_t mask;
  uint32_t *heads;
  uint32_t *chain;
  uint32_t free;
  uint32_t *older;
  uint32_t *newer;
  uint32_t oldest;
  uint32_t newest;
} sgr_gate_index_t;

void sgr_gate_index_init (sgr_gate_index_t *index, uint32_t capacity);
void sgr_gate_index_release (sgr_gate_index_t *index);

/** sgr_gate_index_first() - first record in the bucket of a hash; index->chain links the others */
static inline uint32_t
sgr_gate_index_first (const sgr_gate_index_t *index, uint64_t hash)
{
  return index->heads[hash & index->mask];
}

/**
 * sgr_gate_index_add() - add a free record to the bucket of a hash
 *
 * Return: the record, which is not in the age order yet; SGR_GATE_INDEX_NONE if none is free.
 */
uint32_t sgr_gate_index_add (sgr_gate_index_t *index, uint64_t hash);

/**
 * sgr_gate_index_remove() - free a record
 * @index: the index
 * @hash: the hash with which the record was added
 * @record: a record that is in use and not in the age order
 */
void sgr_gate_index_remove (sgr_gate_index_t *index, uint64_t hash, uint32_t record);

/** sgr_gate_index_order_append() - add a record to the age order as the newest one */
void sgr_gate_index_order_append (sgr_gate_index_t *index, uint32_t record);
void sgr_gate_index_order_remove (sgr_gate_index_t *index, uint32_t record);

#endif
