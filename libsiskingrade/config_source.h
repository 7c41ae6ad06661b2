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
 *   Returns SGR_OK, or SGR_ERR_INVALID with @error set for a document without a revision or a list
 *   of entries.
 *
 * The lists of @content may hold more than sgr_config_content_parse() accepts, see
 * sgr_config_rules_source. Each service, route and account has a valid "name". A route or account
 * that cannot be translated has the key "unusable" with the reason, and its host and prefix, or its
 * keys, as far as they can be read. An account whose name in header fields is not its label has it
 * under "full_name". The list "untranslated" has an object for each other entry, with its "path"
 * and the "reason"; "hides_routes" and "hides_keys" are true in it if the entry may be a route, or
 * hold a key of an account, that is not in the other lists.
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
