#ifndef SGR_ID_MAP_H
#define SGR_ID_MAP_H

#include "types.h"

/** struct sgr_id_map_t - hash table from 64-bit ids to pointers that the table does not own */
typedef struct sgr_id_map_t sgr_id_map_t;

sgr_id_map_t *sgr_id_map_create (void);
void sgr_id_map_destroy (sgr_id_map_t *map);

/**
 * sgr_id_map_put() - add or replace an entry
 * @map: the map
 * @id: key of the entry
 * @value: the pointer, not NULL
 */
void sgr_id_map_put (sgr_id_map_t *map, uint64_t id, void *value);

/** sgr_id_map_get() - value of an id, NULL if the map has no such entry */
void *sgr_id_map_get (const sgr_id_map_t *map, uint64_t id);

/**
 * sgr_id_map_remove() - remove an entry
 * @map: the map
 * @id: key of the entry
 *
 * Return: the value of the removed entry, NULL if there was none.
 */
void *sgr_id_map_remove (sgr_id_map_t *map, uint64_t id);

size_t sgr_id_map_count (const sgr_id_map_t *map);

/**
 * sgr_id_map_next() - iterate over the entries in an unspecified order
 * @map: the map
 * @cursor: position of the iteration, 0 at its start
 *
 * The map must not change during the iteration.
 *
 * Return: the next value, NULL at the end.
 */
void *sgr_id_map_next (const sgr_id_map_t *map, size_t *cursor);

#endif
