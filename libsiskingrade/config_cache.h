#ifndef SGR_CONFIG_CACHE_H
#define SGR_CONFIG_CACHE_H

#include <jansson.h>
#include <stddef.h>

/**
 * Translated parts of the last document of a source, by the text of each part. A change replaces a
 * few parts of a document that may have thousands, and reading all of them again would take a slow
 * processor longer than a change may take to be in force.
 */
typedef struct sgr_config_cache_t sgr_config_cache_t;

sgr_config_cache_t *sgr_config_cache_create (void);
void sgr_config_cache_destroy (sgr_config_cache_t *cache);

/**
 * sgr_config_cache_get() - find the value of a text, and keep it at the next sweep
 * @cache: the cache
 * @text: the text
 * @length: its length in bytes
 *
 * Return: a borrowed reference, valid until the next sweep; NULL if there is none.
 */
json_t *sgr_config_cache_get (sgr_config_cache_t *cache, const char *text, size_t length);

/**
 * sgr_config_cache_put() - add the value of a text that the cache does not have
 * @cache: the cache
 * @text: the text
 * @length: its length in bytes
 * @value: the value, to which the cache takes a reference; must not be changed any more
 */
void sgr_config_cache_put (sgr_config_cache_t *cache, const char *text, size_t length,
                           json_t *value);

/** sgr_config_cache_discard() - remove the values added since the last sweep, of a refused document
 */
void sgr_config_cache_discard (sgr_config_cache_t *cache);

/** sgr_config_cache_sweep() - remove the values that were not used since the last sweep */
void sgr_config_cache_sweep (sgr_config_cache_t *cache);

/** sgr_config_cache_added() - number of values added since the cache was created */
size_t sgr_config_cache_added (const sgr_config_cache_t *cache);

#endif
