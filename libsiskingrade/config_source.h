#ifndef SGR_CONFIG_SOURCE_H
#define SGR_CONFIG_SOURCE_H

#include <jansson.h>

#include "config_error.h"

/**
 * struct sgr_config_source_t - a configuration that somebody else approves and keeps in the store
 *
 * Without a source, a configuration is approved by two co-owners through the resource API and
 * verified by their signatures. With one, the document under @key counts as approved, the API only
 * reads, and a higher revision replaces a lower one.
 *
 * @key: key of the store that holds the newest document in full
 * @read: reads a document; @revision receives its number, above 0, and @content receives an object
 *        for sgr_config_content_parse(), owned by the caller. Returns SGR_ERR_INVALID with @error
 *        set for a document that cannot be read.
 */
typedef struct
{
  const char *key;
  sgr_result_t (*read) (const void *text, size_t length, uint64_t *revision, json_t **content,
                        sgr_config_error_t *error);
} sgr_config_source_t;

#endif
