#ifndef SGR_CONFIG_ROUTES_H
#define SGR_CONFIG_ROUTES_H

#include "config_resource.h"

/**
 * sgr_config_routes_build() - read the list "routes" of a content
 * @content: the content with its JSON and its services; receives the routes and, with partial
 *           rules, what of them is not carried out
 * @previous: content in force, NULL for none; a route that is the same JSON value is not read again
 * @path: path of the JSON, "" for the document itself
 * @rules: what the routes may hold
 * @error: receives the error, may be NULL
 *
 * With partial rules, a route that is invalid becomes an unusable one with its host and prefix, or
 * makes the content have hidden routes if these cannot be read; and a service that the content does
 * not have stays in its route. Names that are used twice are not checked.
 *
 * Return: SGR_OK; SGR_ERR_INVALID for a route that is invalid, unless the rules are partial.
 */
sgr_result_t sgr_config_routes_build (sgr_config_content_t *content,
                                      const sgr_config_content_t *previous, const char *path,
                                      const sgr_config_rules_t *rules, sgr_config_error_t *error);

/**
 * sgr_config_routes_check_prefixes() - check that no two routes have the same host and prefix
 * @content: the content with its routes; with partial rules, receives the repeated ones as problems
 * @path: path of the JSON, "" for the document itself
 * @rules: with partial ones, the first of the routes counts
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK; SGR_ERR_INVALID for such routes, unless the rules are partial.
 */
sgr_result_t sgr_config_routes_check_prefixes (sgr_config_content_t *content, const char *path,
                                               const sgr_config_rules_t *rules,
                                               sgr_config_error_t *error);

#endif
