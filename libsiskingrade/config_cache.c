#include "config_cache.h"

#include <stdbool.h>
#include <stdlib.h>
#include <xxhash.h>

#include "id_map.h"
#include "result.h"

/**
 * struct entry_t - a value
 * @next: next older entry of the cache
 * @hash: hash of the text; two texts with the same hash count as the same
 * @value: the value
 * @is_used: used since the last sweep
 * @is_new: added since the last sweep
 */
typedef struct entry_t
{
  struct entry_t *next;
  XXH128_hash_t hash;
  json_t *value;
  bool is_used;
  bool is_new;
} entry_t;

/**
 * struct sgr_config_cache_t - the cache
 * @by_hash: entries by the lower half of their hash
 * @first: list of all entries
 * @added: entries added since the creation
 */
struct sgr_config_cache_t
{
  sgr_id_map_t *by_hash;
  entry_t *first;
  size_t added;
};

sgr_config_cache_t *
sgr_config_cache_create (void)
{
  sgr_config_cache_t *cache = calloc (1, sizeof *cache);

  sgr_invariant (cache != NULL);
  cache->by_hash = sgr_id_map_create ();
  return cache;
}

static void
entry_free (entry_t *entry)
{
  json_decref (entry->value);
  free (entry);
}

void
sgr_config_cache_destroy (sgr_config_cache_t *cache)
{
  if (cache == NULL)
    return;
  while (cache->first != NULL)
    {
      entry_t *entry = cache->first;

      cache->first = entry->next;
      entry_free (entry);
    }
  sgr_id_map_destroy (cache->by_hash);
  free (cache);
}

json_t *
sgr_config_cache_get (sgr_config_cache_t *cache, const char *text, size_t length)
{
  XXH128_hash_t hash = XXH3_128bits (text, length);
  entry_t *entry = sgr_id_map_get (cache->by_hash, hash.low64);

  if (entry == NULL || !XXH128_isEqual (entry->hash, hash))
    return NULL;
  entry->is_used = true;
  return entry->value;
}

void
sgr_config_cache_put (sgr_config_cache_t *cache, const char *text, size_t length, json_t *value)
{
  XXH128_hash_t hash = XXH3_128bits (text, length);
  entry_t *entry;

  /* Another text with the same lower half keeps its place; this one is not cached. */
  if (sgr_id_map_get (cache->by_hash, hash.low64) != NULL)
    return;
  entry = calloc (1, sizeof *entry);
  sgr_invariant (entry != NULL);
  *entry = (entry_t){ .next = cache->first,
                      .hash = hash,
                      .value = json_incref (value),
                      .is_used = true,
                      .is_new = true };
  cache->first = entry;
  cache->added++;
  sgr_id_map_put (cache->by_hash, hash.low64, entry);
}

/* Removes the entries for which the callback returns true, and begins a new period of use. */
static void
entries_remove (sgr_config_cache_t *cache, bool (*is_removed) (const entry_t *entry))
{
  entry_t **link = &cache->first;

  while (*link != NULL)
    {
      entry_t *entry = *link;

      if (!is_removed (entry))
        {
          entry->is_used = false;
          entry->is_new = false;
          link = &entry->next;
          continue;
        }
      *link = entry->next;
      sgr_id_map_remove (cache->by_hash, entry->hash.low64);
      entry_free (entry);
    }
}

static bool
entry_is_unused (const entry_t *entry)
{
  return !entry->is_used;
}

static bool
entry_is_new (const entry_t *entry)
{
  return entry->is_new;
}

void
sgr_config_cache_discard (sgr_config_cache_t *cache)
{
  entries_remove (cache, entry_is_new);
}

void
sgr_config_cache_sweep (sgr_config_cache_t *cache)
{
  entries_remove (cache, entry_is_unused);
}

size_t
sgr_config_cache_added (const sgr_config_cache_t *cache)
{
  return cache->added;
}
