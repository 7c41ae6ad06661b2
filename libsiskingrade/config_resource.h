#ifndef SGR_CONFIG_RESOURCE_H
#define SGR_CONFIG_RESOURCE_H

#include <jansson.h>

#include "config_account.h"
#include "config_rules.h"
#include "route.h"

/* Most resources in each of the lists "policies", "services", "routes" and "accounts". More do not
   fit into the largest value of a store. */
#define SGR_CONFIG_RESOURCES_MAX 32768
#define SGR_CONFIG_DIGEST_BYTES 32
/* Bytes of a digest in hexadecimal digits, with the terminating null. */
#define SGR_CONFIG_DIGEST_HEX_BYTES (2 * SGR_CONFIG_DIGEST_BYTES + 1)

/** struct sgr_config_digest_t - a BLAKE2b-256 digest */
typedef struct
{
  uint8_t bytes[SGR_CONFIG_DIGEST_BYTES];
} sgr_config_digest_t;

/**
 * struct sgr_config_content_t - the valid services, policies, routes and accounts of a deployment
 * @json: the document as it was parsed
 * @services: effective policy of each service (policy with overrides), sorted by service name
 * @service_count: entries of @services
 * @routes: routes in document order
 * @route_items: JSON value of each route, borrowed from @json
 * @route_count: entries of @routes
 * @accounts: client accounts
 * @problems: what is not carried out of a content of sgr_config_content_update()
 * @has_hidden_routes: there is a route of which it is not known which requests it matches
 * @has_hidden_keys: there is an account of which a key is not known
 * @digest: digest of the canonical form of @json; zero in a content of sgr_config_content_update()
 */
typedef struct
{
  json_t *json;
  sgr_policy_t *services;
  size_t service_count;
  sgr_route_t *routes;
  json_t **route_items;
  size_t route_count;
  sgr_config_accounts_t accounts;
  sgr_config_problems_t problems;
  bool has_hidden_routes;
  bool has_hidden_keys;
  sgr_config_digest_t digest;
} sgr_config_content_t;

/**
 * sgr_config_content_parse() - parse and validate services, policies, routes and accounts
 * @json: object with the lists "policies" and "services", and optionally "routes" and
 *        "accounts"
 * @path: path of @json in its document, "" for the document itself
 * @content: receives the content, NULL on an error
 * @error: receives the error, may be NULL
 *
 * The content keeps a copy of @json without changes and without defaults filled in: the owners
 * signed the digest of that JSON, and a later version of the program with other defaults has to
 * compute the same digest. sgr_config_content_normalize() writes out all defaults before the owners
 * sign.
 *
 * Return: SGR_OK, SGR_ERR_INVALID or SGR_ERR_NO_MEMORY.
 */
sgr_result_t sgr_config_content_parse (const json_t *json, const char *path,
                                       sgr_config_content_t **content, sgr_config_error_t *error);

/**
 * sgr_config_content_update() - read the content of a document that replaces an earlier one
 * @previous: content in force, NULL for none
 * @json: as for sgr_config_content_parse(), with what sgr_config_source_t adds to it; may be
 *        changed, and the content keeps a reference, so that nobody else must change it any more
 * @content: receives the content, NULL on an error
 * @error: receives the error, may be NULL
 *
 * Such a document is in force before it is read. Therefore, what one entry says never keeps another
 * from taking effect: an entry that cannot be carried out stands alone, and is counted in the
 * problems of the content. The requests that an unusable route matches and those with a key of an
 * unusable account are refused as not run, and so are those for a service that the content does not
 * have.
 *
 * A route that is the same JSON value as one of @previous is not read again. The digest is not
 * computed: such contents are not signed.
 *
 * Return: SGR_OK, SGR_ERR_NO_MEMORY, or SGR_ERR_INVALID if @json lacks a list, a list is too long
 * or a policy is invalid.
 */
sgr_result_t sgr_config_content_update (const sgr_config_content_t *previous, json_t *json,
                                        sgr_config_content_t **content, sgr_config_error_t *error);

/**
 * sgr_config_content_normalize() - convert valid resources to their normal form
 * @json: JSON of a valid content, or the "put" object of a valid edit
 *
 * Return: a new object, owned by the caller, with each list sorted by name and with all fields of
 * each policy, route and account written out.
 */
json_t *sgr_config_content_normalize (const json_t *json);

/**
 * sgr_config_resource_check() - check each resource of one list, and that no name occurs twice
 * @json: object that holds the list
 * @path: path of @json in its document
 * @key: key of the list: "policies", "services", "routes" or "accounts"
 * @error: receives the error, may be NULL
 *
 * References from one resource to another are not checked.
 *
 * Return: SGR_OK or SGR_ERR_INVALID.
 */
sgr_result_t sgr_config_resource_check (const json_t *json, const char *path, const char *key,
                                        sgr_config_error_t *error);

/** sgr_config_content_is_sorted() - whether all lists in the JSON of a content are sorted by name
 */
bool sgr_config_content_is_sorted (const sgr_config_content_t *content);

/**
 * sgr_config_content_apply() - apply an edit to a content
 * @base: content that the edit starts from, NULL for an empty one; not changed
 * @edit: object with the optional objects "put" and "remove", each with the optional lists
 *        "policies", "services", "routes" and "accounts"; "put" holds resources to insert or
 * replace, "remove" holds names of resources
 * @content: receives the new content, NULL on an error
 * @error: receives the error, may be NULL
 *
 * Removals are applied first.
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the edit is invalid, removes a name that is not in @base or
 * leads to an invalid content; SGR_ERR_NO_MEMORY.
 */
sgr_result_t sgr_config_content_apply (const sgr_config_content_t *base, const json_t *edit,
                                       sgr_config_content_t **content, sgr_config_error_t *error);

/**
 * sgr_config_content_diff() - compute the edit that turns one content into another
 * @from: old content, NULL for an empty one; its lists have to be sorted by name
 * @to: new content; its lists have to be sorted by name
 *
 * Return: an edit for sgr_config_content_apply(), owned by the caller.
 */
json_t *sgr_config_content_diff (const sgr_config_content_t *from, const sgr_config_content_t *to);

/**
 * sgr_config_content_policy() - effective policy of a service
 *
 * Return: the policy, valid as long as @content; NULL for an unknown service.
 */
const sgr_policy_t *sgr_config_content_policy (const sgr_config_content_t *content,
                                               const char *service);

void sgr_config_content_destroy (sgr_config_content_t *content);

/**
 * sgr_config_json_load() - parse JSON text; an object with a duplicate key is an error
 * @text: the text, UTF-8
 * @length: its length in bytes
 * @error: receives the error with its line and column, may be NULL
 *
 * Return: the value, owned by the caller; NULL with @error set on an error.
 */
json_t *sgr_config_json_load (const void *text, size_t length, sgr_config_error_t *error);

/**
 * sgr_config_json_canonical() - format as canonical JSON: sorted keys, no spaces, ASCII only
 *
 * Return: the text, to be released with free().
 */
char *sgr_config_json_canonical (const json_t *json);

/** sgr_config_json_digest() - compute the digest of the canonical JSON of a value */
void sgr_config_json_digest (const json_t *json, sgr_config_digest_t *digest);

/**
 * sgr_config_digest_format() - write a digest as hexadecimal digits
 * @digest: the digest
 * @hex: receives the digits and a null, SGR_CONFIG_DIGEST_HEX_BYTES bytes
 */
void sgr_config_digest_format (const sgr_config_digest_t *digest, char *hex);

/** sgr_config_digest_parse() - parse hexadecimal digits; false if they are not a whole digest */
bool sgr_config_digest_parse (const char *hex, sgr_config_digest_t *digest);
bool sgr_config_digest_equal (const sgr_config_digest_t *a, const sgr_config_digest_t *b);

#endif
