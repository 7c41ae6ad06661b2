#include "id_map.h"

#include <stdlib.h>
#include <xxhash.h>

#include "result.h"

#define MIN_CAPACITY 64

typedef struct
{
  uint64_t id;
  void *value;
} entry_t;

struct sgr_id_map_t
{
  entry_t *entries; /* open addressing with linear probing; a NULL value marks a free entry */
  size_t capacity;  /* entries allocated, a power of two */
  size_t count;
};

/* Index of the entry at which the search for an id starts. */
static size_t
home_index (const sgr_id_map_t *map, uint64_t id)
{
  return (size_t)XXH64 (&id, sizeof id, 0) & (map->capacity - 1);
}

sgr_id_map_t *
sgr_id_map_create (void)
{
  sgr_id_map_t *map = calloc (1, sizeof *map);

  sgr_invariant (map != NULL);
  map->capacity = MIN_CAPACITY;
  map->entries = calloc (map->capacity, sizeof *map->entries);
  sgr_invariant (map->entries != NULL);
  return map;
}

void
sgr_id_map_destroy (sgr_id_map_t *map)
{
  if (map == NULL)
    return;
  free (map->entries);
  free (map);
}

/* Index of the entry that holds an id, or of the free entry where the id would be inserted. */
static size_t
entry_index (const sgr_id_map_t *map, uint64_t id)
{
  size_t index = home_index (map, id);

  while (map->entries[index].value != NULL && map->entries[index].id != id)
    index = (index + 1) & (map->capacity - 1);
  return index;
}

static void
map_grow (sgr_id_map_t *map)
{
  entry_t *old_entries = map->entries;
  size_t old_capacity = map->capacity;

  map->capacity *= 2;
  map->entries = calloc (map->capacity, sizeof *map->entries);
  sgr_invariant (map->entries != NULL);
  for (size_t i = 0; i < old_capacity; i++)
    {
      if (old_entries[i].value != NULL)
        map->entries[entry_index (map, old_entries[i].id)] = old_entries[i];
    }
  free (old_entries);
}

void
sgr_id_map_put (sgr_id_map_t *map, uint64_t id, void *value)
{
  size_t index;

  sgr_invariant (value != NULL);
  /* Keeps at least a quarter of the entries free, so that searches stay short. */
  if ((map->count + 1) * 4 > map->capacity * 3)
    map_grow (map);
  index = entry_index (map, id);
  if (map->entries[index].value == NULL)
    map->count++;
  map->entries[index] = (entry_t){ .id = id, .value = value };
}

void *
sgr_id_map_get (const sgr_id_map_t *map, uint64_t id)
{
  return map->entries[entry_index (map, id)].value;
}

void *
sgr_id_map_remove (sgr_id_map_t *map, uint64_t id)
{
  size_t hole = entry_index (map, id);
  void *value = map->entries[hole].value;
  size_t mask = map->capacity - 1;

  if (value == NULL)
    return NULL;
  map->count--;
  /* A search stops at the first free entry. Fills the hole with a later entry of the same run of
     used entries whenever the search for that entry would pass the hole. */
  for (size_t next = (hole + 1) & mask; map->entries[next].value != NULL; next = (next + 1) & mask)
    {
      size_t home = home_index (map, map->entries[next].id);

      if (((next - home) & mask) >= ((next - hole) & mask))
        {
          map->entries[hole] = map->entries[next];
          hole = next;
        }
    }
  map->entries[hole] = (entry_t){ 0 };
  return value;
}

size_t
sgr_id_map_count (const sgr_id_map_t *map)
{
  return map->count;
}

void *
sgr_id_map_next (const sgr_id_map_t *map, size_t *cursor)
{
  while (*cursor < map->capacity)
    {
      void *value = map->entries[(*cursor)++].value;

      if (value != NULL)
        return value;
    }
  return NULL;
}
