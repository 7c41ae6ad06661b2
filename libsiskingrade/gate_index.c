#include "gate_index.h"

#include <stdlib.h>

#include "result.h"

static uint32_t *
allocate (size_t count)
{
  uint32_t *numbers = malloc (count * sizeof *numbers);

  sgr_invariant (numbers != NULL);
  return numbers;
}

void
sgr_gate_index_init (sgr_gate_index_t *index, uint32_t capacity)
{
  uint32_t buckets = 16;

  while (buckets < capacity)
    buckets *= 2;
  *index = (sgr_gate_index_t){ .capacity = capacity,
                               .mask = buckets - 1,
                               .heads = allocate (buckets),
                               .chain = allocate (capacity),
                               .older = allocate (capacity),
                               .newer = allocate (capacity),
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
  uint32_t number = index->free;
  uint32_t *head = &index->heads[hash & index->mask];

  if (number == SGR_GATE_INDEX_NONE)
    return number;
  index->free = index->chain[number];
  index->chain[number] = *head;
  *head = number;
  index->used++;
  return number;
}

void
sgr_gate_index_remove (sgr_gate_index_t *index, uint64_t hash, uint32_t number)
{
  uint32_t *link = &index->heads[hash & index->mask];

  while (*link != number)
    {
      sgr_invariant (*link != SGR_GATE_INDEX_NONE);
      link = &index->chain[*link];
    }
  *link = index->chain[number];
  index->chain[number] = index->free;
  index->free = number;
  index->used--;
}

void
sgr_gate_index_order_append (sgr_gate_index_t *index, uint32_t number)
{
  index->older[number] = index->newest;
  index->newer[number] = SGR_GATE_INDEX_NONE;
  if (index->newest != SGR_GATE_INDEX_NONE)
    index->newer[index->newest] = number;
  else
    index->oldest = number;
  index->newest = number;
}

void
sgr_gate_index_order_remove (sgr_gate_index_t *index, uint32_t number)
{
  uint32_t older = index->older[number];
  uint32_t newer = index->newer[number];

  if (older != SGR_GATE_INDEX_NONE)
    index->newer[older] = newer;
  else
    index->oldest = newer;
  if (newer != SGR_GATE_INDEX_NONE)
    index->older[newer] = older;
  else
    index->newest = older;
}
