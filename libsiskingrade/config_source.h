#ifndef SGR_CONFIG_SOURCE_H
#define SGR_CONFIG_SOURCE_H

#include <jansson.h>

#include "config_cache.h"
#include "config_error.h"

/**
 * struct sgr_config_source_t - format of a configuration that another system writes to the store
 * @key: key of the store under which the other system keeps its newest complete document
 * @read: parses a document. @cache holds the translated parts of the last document and receives
 *   those of this one; parts that did not change stay the same JSON values. @revision receives the
 *   revision, above 0, and @content an object for sgr_config_content_update(), owned by the caller.
 *   Returns SGR_OK, or SGR_ERR_INVALID with @error set for a document that cannot be parsed.
 *
 * Without a source, two co-owners approve each configuration through the HTTP API, and nodes verify
 * their signatures. With a source, the document under @key needs no further approval, the API is
 * read-only, and a document with a higher revision replaces the one in force.
 */
typedef struct
{
  const char *key;
  sgr_result_t (*read) (sgr_config_cache_t *cache, const void *text, size_t length,
                        uint64_t *revision, json_t **content, sgr_config_error_t *error);
} sgr_config_source_t;

#endif
