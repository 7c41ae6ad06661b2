#ifndef SGR_CONFIG_RESOURCE_H
#define SGR_CONFIG_RESOURCE_H

#include <jansson.h>

#include "config_error.h"
#include "route.h"

#define SGR_CONFIG_RESOURCES_MAX 2048
#define SGR_CONFIG_DIGEST_BYTES 32
#define SGR_CONFIG_DIGEST_HEX (2 * SGR_CONFIG_DIGEST_BYTES + 1)

/** struct sgr_config_digest_t - BLAKE2b-256 */
typedef struct
{
  uint8_t bytes[SGR_CONFIG_DIGEST_BYTES];
} sgr_config_digest_t;

/**
 * struct sgr_config_content_t - checked services, policies and routes of a deployment
 * @json: the document as it was read
 * @services: policy in effect of each service, sorted by service name
 * @service_count: entries of @services
 * @routes: routes; without any, callers name the service of each call
 * @route_count: entries of @routes
 * @digest: digest of the canonical form of @json
 */
typedef struct
{
  json_t *json;
  sgr_policy_t *services;
  size_t service_count;
  sgr_route_t *routes;
  size_t route_count;
  sgr_config_digest_t digest;
} sgr_config_content_t;

/**
 * sgr_config_content_parse() - check a document of services, policies and routes
 * @json: object with the lists "policies" and "services", and optionally "routes"
 * @path: place of @json in its document, "" for the document itself
 * @content: receives the content
 * @error: receives the reason of a refusal
 *
 * The document is kept as it is, because its digest is the signed one: a later version of the
 * program with other defaults must not change it. sgr_config_content_normalize() writes all
 * defaults out before owners sign.
 *
 * Return: SGR_OK, SGR_ERR_INVALID or SGR_ERR_NO_MEMORY.
 */
sgr_result_t sgr_config_content_parse (const json_t *json, const char *path,
                                       sgr_config_content_t **content, sgr_config_error_t *error);

/**
 * sgr_config_content_normalize() - write a checked document in normal form
 * @json: a checked content, or the "put" of an edit
 *
 * Return: a new document with the lists sorted by name and every field of each policy.
 */
json_t *sgr_config_content_normalize (const json_t *json);

/**
 * sgr_config_resource_check() - check the resources of one list, each by itself and for duplicates
 * @json: object that holds the list
 * @path: place of @json in its document
 * @key: "policies", "services" or "routes"
 */
sgr_result_t sgr_config_resource_check (const json_t *json, const char *path, const char *key,
                                        sgr_config_error_t *error);

/** sgr_config_content_sorted() - whether all lists are sorted by name */
bool sgr_config_content_sorted (const sgr_config_content_t *content);

/**
 * sgr_config_content_apply() - put and remove single resources
 * @base: content to start from, NULL for none
 * @edit: object with "put" and "remove", each with lists "policies", "services" and "routes"; "put"
 * holds resources, "remove" holds names
 * @content: receives the new content
 * @error: receives the reason of a refusal
 */
sgr_result_t sgr_config_content_apply (const sgr_config_content_t *base, const json_t *edit,
                                       sgr_config_content_t **content, sgr_config_error_t *error);

/**
 * sgr_config_content_diff() - the edit that leads from one content to another
 * @from: old content, NULL for none
 * @to: new content
 *
 * Return: an edit for sgr_config_content_apply(), owned by the caller.
 */
json_t *sgr_config_content_diff (const sgr_config_content_t *from, const sgr_config_content_t *to);

/**
 * sgr_config_content_policy() - policy in effect of a service
 *
 * Return: the policy, valid as long as @content; NULL for an unknown service.
 */
const sgr_policy_t *sgr_config_content_policy (const sgr_config_content_t *content,
                                               const char *service);

void sgr_config_content_destroy (sgr_config_content_t *content);

/**
 * sgr_config_json_load() - read JSON text; duplicate keys are refused
 *
 * Return: the value, owned by the caller; NULL with @error set, which names line and column.
 */
json_t *sgr_config_json_load (const void *text, size_t length, sgr_config_error_t *error);

/**
 * sgr_config_json_canonical() - canonical text: sorted keys, no spaces, ASCII only
 *
 * Return: text to be released with free().
 */
char *sgr_config_json_canonical (const json_t *json);

void sgr_config_json_digest (const json_t *json, sgr_config_digest_t *digest);

/**
 * sgr_config_digest_format() - write a digest as hexadecimal digits
 * @hex: at least SGR_CONFIG_DIGEST_HEX bytes
 */
void sgr_config_digest_format (const sgr_config_digest_t *digest, char *hex);
bool sgr_config_digest_parse (const char *hex, sgr_config_digest_t *digest);
bool sgr_config_digest_equal (const sgr_config_digest_t *a, const sgr_config_digest_t *b);

/**
 * sgr_config_name_valid() - letters, digits, '-', '_' and '.', 1 to SGR_NAME_MAX of them
 */
bool sgr_config_name_valid (const char *name);

#endif
