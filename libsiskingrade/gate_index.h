#ifndef SGR_GATE_INDEX_H
#define SGR_GATE_INDEX_H

#include "types.h"

#define SGR_GATE_INDEX_NONE UINT32_MAX

/**
 * struct sgr_gate_index_t - hash table and age order over records numbered from 0. The records are
 * kept in an array of the owner, which compares keys itself.
 * @capacity: number of records
 * @used: records in use
 * @mask: number of buckets less one
 * @heads: first record of each bucket
 * @chain: next record of the bucket, or of the free list
 * @free: first unused record
 * @older: neighbour in the age order
 * @newer: neighbour in the age order
 * @oldest: first record of the age order
 * @newest: last record of the age order
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

/** sgr_gate_index_first() - first record of a bucket; follow index->chain for the others */
static inline uint32_t
sgr_gate_index_first (const sgr_gate_index_t *index, uint64_t hash)
{
  return index->heads[hash & index->mask];
}

/**
 * sgr_gate_index_add() - take an unused record into the bucket of a hash
 *
 * Return: its number, SGR_GATE_INDEX_NONE if all are in use. It is not in the age order yet.
 */
uint32_t sgr_gate_index_add (sgr_gate_index_t *index, uint64_t hash);

/** sgr_gate_index_remove() - make a record unused; it must not be in the age order */
void sgr_gate_index_remove (sgr_gate_index_t *index, uint64_t hash, uint32_t number);

/** sgr_gate_index_order_append() - make a record the newest of the age order */
void sgr_gate_index_order_append (sgr_gate_index_t *index, uint32_t number);
void sgr_gate_index_order_remove (sgr_gate_index_t *index, uint32_t number);

#endif
