#ifndef SGR_ID_MAP_H
#define SGR_ID_MAP_H

#include "types.h"

/** A hash table from 64-bit numbers to pointers that it does not own. */
typedef struct sgr_id_map_t sgr_id_map_t;

sgr_id_map_t *sgr_id_map_create (void);
void sgr_id_map_destroy (sgr_id_map_t *map);

/**
 * sgr_id_map_put() - add or replace an entry
 * @map: the map
 * @id: the number
 * @value: the pointer, not NULL
 */
void sgr_id_map_put (sgr_id_map_t *map, uint64_t id, void *value);

void *sgr_id_map_get (const sgr_id_map_t *map, uint64_t id);

/**
 * sgr_id_map_remove() - remove an entry
 * @map: the map
 * @id: the number
 *
 * Return: the pointer that was there, NULL if none.
 */
void *sgr_id_map_remove (sgr_id_map_t *map, uint64_t id);

size_t sgr_id_map_count (const sgr_id_map_t *map);

/**
 * sgr_id_map_next() - walk over the entries in no order; the map must not change meanwhile
 * @map: the map
 * @cursor: start with 0
 *
 * Return: the next pointer, NULL at the end.
 */
void *sgr_id_map_next (const sgr_id_map_t *map, size_t *cursor);

#endif
