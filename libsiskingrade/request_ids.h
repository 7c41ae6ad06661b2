#ifndef SGR_REQUEST_IDS_H
#define SGR_REQUEST_IDS_H

#include "buffer.h"
#include "call_fields.h"
#include "target_client.h"

/**
 * struct sgr_request_ids_t - ids that a request carries; a zero-initialized one has none
 * @text: the ids, each with a terminating zero
 *
 * A request has one id as a rule. If its header field is repeated, a target may copy any of them
 * into its answer. The length of an id is limited only by that of the header fields.
 */
typedef struct
{
  sgr_buffer_t text;
} sgr_request_ids_t;

/**
 * sgr_request_ids_add() - add the value of a request id field
 * @ids: the ids
 * @value: the value; one that is empty or blank is no id
 */
void sgr_request_ids_add (sgr_request_ids_t *ids, const char *value);

/**
 * sgr_request_ids_log_name() - the first id for a log line, in the form in which entries log it
 *
 * Return: the id; empty if there is none, or if it is no token of at most SGR_NAME_MAX bytes.
 */
const char *sgr_request_ids_log_name (const sgr_request_ids_t *ids);

/**
 * sgr_request_ids_match() - whether the head of an answer belongs to a request
 * @ids: ids of the request
 * @names: names of the header fields; whether targets copy request ids
 * @fields: header fields of the answer
 * @count: elements of @fields
 *
 * If a target answers late or twice, the next request on the connection gets an answer to another
 * one, which the id shows. If targets copy request ids, an answer without an id belongs only to a
 * request without one, and the reverse; an answer with an encoded body counts as one to another
 * request, because requests are assumed not to accept a content encoding.
 */
bool sgr_request_ids_match (const sgr_request_ids_t *ids, const sgr_call_fields_t *names,
                            const sgr_http_field_t *fields, size_t count);

/**
 * sgr_request_ids_are_repeated() - whether the head of an answer has an id of the request
 * @ids: ids of the request
 * @names: names of the header fields
 * @fields: header fields of the answer
 * @count: elements of @fields
 */
bool sgr_request_ids_are_repeated (const sgr_request_ids_t *ids, const sgr_call_fields_t *names,
                                   const sgr_http_field_t *fields, size_t count);

/** sgr_request_ids_release() - free the ids */
void sgr_request_ids_release (sgr_request_ids_t *ids);

#endif
