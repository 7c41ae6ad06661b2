#ifndef SGR_HTTP_FIELDS_H
#define SGR_HTTP_FIELDS_H

#include "buffer.h"

/* Largest total of method, path and header fields of one call. It has to fit into one frame between
   nodes. */
#define SGR_HTTP_HEAD_MAX_BYTES (48 * 1024)
/* Statuses of final answers. Lower ones are informational; no class of statuses is above. */
#define SGR_HTTP_STATUS_FINAL_MIN 200
#define SGR_HTTP_STATUS_FINAL_MAX 599

/** sgr_http_is_token() - whether a text is an HTTP token, the syntax of methods and field names */
bool sgr_http_is_token (const char *text, size_t length);

/** sgr_http_is_path() - whether a text starts with "/" and has no space or control character */
bool sgr_http_is_path (const char *text, size_t length);

/** sgr_http_is_field_value() - whether a text has no control character except the tab */
bool sgr_http_is_field_value (const char *text, size_t length);

/**
 * sgr_http_is_forwarded() - whether a node forwards a header field
 * @name: field name, in any case
 * @length: length of @name in bytes
 *
 * Return: false for hop-by-hop fields, for Host, Expect and Content-Length, and for the fields that
 * each node writes anew.
 */
bool sgr_http_is_forwarded (const char *name, size_t length);

/** sgr_http_method_is_idempotent() - whether HTTP defines the method as idempotent */
bool sgr_http_method_is_idempotent (const char *method, size_t length);

/**
 * sgr_http_number_parse() - parse a decimal number without sign
 * @text: the digits
 * @length: length of @text in bytes
 * @max: largest accepted number
 * @number: receives the number; unchanged on failure
 *
 * Return: false if the text is empty, has other characters or more than 19 digits, or if the number
 * exceeds @max.
 */
bool sgr_http_number_parse (const char *text, size_t length, uint64_t max, uint64_t *number);

#endif
