#include "gate_index.h"

#include <stdlib.h>

#include "result.h"

#define BUCKETS_MIN 16

static uint32_t *
array_create (size_t count)
{
  uint32_t *array = malloc (count * sizeof *array);

  sgr_invariant (array != NULL);
  return array;
}

void
sgr_gate_index_init (sgr_gate_index_t *index, uint32_t capacity)
{
  uint32_t buckets = BUCKETS_MIN;

  while (buckets < capacity)
    buckets *= 2;
  *index = (sgr_gate_index_t){ .capacity = capacity,
                               .mask = buckets - 1,
                               .heads = array_create (buckets),
                               .chain = array_create (capacity),
                               .older = array_create (capacity),
                               .newer = array_create (capacity),
                               .free = capacity > 0 ? 0 : SGR_GATE_INDEX_NONE,
                               .oldest = SGR_GATE_INDEX_NONE,
                               .newest = SGR_GATE_INDEX_NONE };
  for (uint32_t i = 0; i < buckets; i++)
    index->heads[i] = SGR_GATE_INDEX_NONE;
  for (uint32_t i = 0; i < capacity; i++)
    index->chain[i] = i + 1 < capacity ? i + 1 : SGR_GATE_INDEX_NONE;
}

void
sgr_gate_index_release (sgr_gate_index_t *index)
{
  free (index->heads);
  free (index->chain);
  free (index->older);
  free (index->newer);
}

uint32_t
sgr_gate_index_add (sgr_gate_index_t *index, uint64_t hash)
{
  uint32_t record = index->free;
  uint32_t *head = &index->heads[hash & index->mask];

  if (record == SGR_GATE_INDEX_NONE)
    return record;
  index->free = index->chain[record];
  index->chain[record] = *head;
  *head = record;
  index->used++;
  return record;
}

void
sgr_gate_index_remove (sgr_gate_index_t *index, uint64_t hash, uint32_t record)
{
  uint32_t *link = &index->heads[hash & index->mask];

  while (*link != record)
    {
      sgr_invariant (*link != SGR_GATE_INDEX_NONE);
      link = &index->chain[*link];
    }
  *link = index->chain[record];
  index->chain[record] = index->free;
  index->free = record;
  index->used--;
}

void
sgr_gate_index_order_append (sgr_gate_index_t *index, uint32_t record)
{
  index->older[record] = index->newest;
  index->newer[record] = SGR_GATE_INDEX_NONE;
  if (index->newest != SGR_GATE_INDEX_NONE)
    index->newer[index->newest] = record;
  else
    index->oldest = record;
  index->newest = record;
}

void
sgr_gate_index_order_remove (sgr_gate_index_t *index, uint32_t record)
{
  uint32_t older = index->older[record];
  uint32_t newer = index->newer[record];

  if (older != SGR_GATE_INDEX_NONE)
    index->newer[older] = newer;
  else
    index->oldest = newer;
  if (newer != SGR_GATE_INDEX_NONE)
    index->older[newer] = older;
  else
    index->newest = older;
}
