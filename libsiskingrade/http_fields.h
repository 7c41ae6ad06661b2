#ifndef SGR_HTTP_FIELDS_H
#define SGR_HTTP_FIELDS_H

#include "buffer.h"

/* Most bytes of method, path and header fields of one call; they have to fit one peer frame. */
#define SGR_HTTP_HEAD_MAX_BYTES (48 * 1024)

/** sgr_http_is_token() - whether a text is an HTTP token, as method and field names are */
bool sgr_http_is_token (const char *text, size_t length);

/** sgr_http_is_path() - whether a text starts with "/" and has no space or control byte */
bool sgr_http_is_path (const char *text, size_t length);

/** sgr_http_is_value() - whether a text has no control byte but the tab */
bool sgr_http_is_value (const char *text, size_t length);

/** sgr_http_is_forwarded() - whether a field is passed on; hop-by-hop fields and lengths are not */
bool sgr_http_is_forwarded (const char *name, size_t length);

/** sgr_http_method_is_idempotent() - whether HTTP defines the method as idempotent */
bool sgr_http_method_is_idempotent (const char *method, size_t length);

/**
 * sgr_http_number_parse() - read a decimal number
 * @text: digits only
 * @length: bytes of @text
 * @max: greatest value
 * @number: receives the number
 */
bool sgr_http_number_parse (const char *text, size_t length, uint64_t max, uint64_t *number);

#endif
