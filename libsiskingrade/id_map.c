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
  entry_t *entries; /* open addressing, linear probing, power of two */
  size_t capacity;
  size_t count;
};

static size_t
home_of (const sgr_id_map_t *map, uint64_t id)
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

static size_t
find (const sgr_id_map_t *map, uint64_t id)
{
  size_t place = home_of (map, id);

  while (map->entries[place].value != NULL && map->entries[place].id != id)
    place = (place + 1) & (map->capacity - 1);
  return place;
}

static void
grow (sgr_id_map_t *map)
{
  entry_t *old = map->entries;
  size_t old_capacity = map->capacity;

  map->capacity *= 2;
  map->entries = calloc (map->capacity, sizeof *map->entries);
  sgr_invariant (map->entries != NULL);
  for (size_t i = 0; i < old_capacity; i++)
    {
      if (old[i].value != NULL)
        map->entries[find (map, old[i].id)] = old[i];
    }
  free (old);
}

void
sgr_id_map_put (sgr_id_map_t *map, uint64_t id, void *value)
{
  size_t place;

  sgr_invariant (value != NULL);
  if ((map->count + 1) * 4 > map->capacity * 3)
    grow (map);
  place = find (map, id);
  if (map->entries[place].value == NULL)
    map->count++;
  map->entries[place] = (entry_t){ .id = id, .value = value };
}

void *
sgr_id_map_get (const sgr_id_map_t *map, uint64_t id)
{
  return map->entries[find (map, id)].value;
}

void *
sgr_id_map_remove (sgr_id_map_t *map, uint64_t id)
{
  size_t hole = find (map, id);
  void *value = map->entries[hole].value;
  size_t mask = map->capacity - 1;

  if (value == NULL)
    return NULL;
  map->count--;
  /* Moves later entries of the run back, so that no lookup stops at the hole. */
  for (size_t next = (hole + 1) & mask; map->entries[next].value != NULL; next = (next + 1) & mask)
    {
      size_t home = home_of (map, map->entries[next].id);

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
