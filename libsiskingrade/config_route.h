#ifndef SGR_CONFIG_ROUTE_H
#define SGR_CONFIG_ROUTE_H

#include <jansson.h>

#include "config_rules.h"
#include "route.h"

/**
 * sgr_config_route_read() - parse a route
 * @json: object with "name", "host", "prefix" and "services", and optionally "idempotency",
 *        "timeout_ms", "target_latency_ms", "priority", "attempts_max", "public" and "regions"
 * @path: path of @json in its document
 * @rules: what the route may hold; with partial ones, a route with the key "unusable" is invalid,
 *         and the value of that key is the reason
 * @route: receives the route, to be released with sgr_route_release(); an absent optional field is
 *         0, see sgr_route_t
 * @error: receives the error, may be NULL
 *
 * Return: SGR_OK or SGR_ERR_INVALID; @route then needs no release.
 */
sgr_result_t sgr_config_route_read (const json_t *json, const char *path,
                                    const sgr_config_rules_t *rules, sgr_route_t *route,
                                    sgr_config_error_t *error);

/**
 * sgr_config_route_read_unusable() - read which requests an invalid route matches
 * @json: the route
 * @rules: as for sgr_config_route_read()
 * @route: receives an unusable route, to be released with sgr_route_release()
 *
 * Return: false if the host or the prefix cannot be read.
 */
bool sgr_config_route_read_unusable (const json_t *json, const sgr_config_rules_t *rules,
                                     sgr_route_t *route);

/**
 * sgr_config_route_write() - convert a route to a JSON object with all its fields except "regions",
 * but "public" only if it is true
 *
 * Return: a new object, owned by the caller.
 */
json_t *sgr_config_route_write (const sgr_route_t *route);

#endif
