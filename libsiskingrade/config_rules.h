#ifndef SGR_CONFIG_RULES_H
#define SGR_CONFIG_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config_error.h"

/* Problems of a content of which the text is kept; further ones are only counted. */
#define SGR_CONFIG_PROBLEMS_MAX 8

/**
 * struct sgr_config_rules_t - what a configuration may hold, and what follows from an invalid entry
 * @timeout_max_ms: highest time of a route, milliseconds
 * @route_priority_max: highest rank of a route
 * @account_priority_max: highest rank of an account
 * @weight_max: highest weight of a service of a route
 * @parts_max: most services of a route
 * @text_max: most bytes of a host or a prefix
 * @regions_min: fewest regions in a list
 * @regions_max: most regions in a list
 * @has_any_host: hosts may have any characters but capital letters
 * @is_partial: an entry that cannot be carried out stands alone, see sgr_config_content_update();
 *              otherwise it invalidates the whole configuration
 */
typedef struct
{
  uint32_t timeout_max_ms;
  uint32_t route_priority_max;
  uint32_t account_priority_max;
  uint32_t weight_max;
  size_t parts_max;
  size_t text_max;
  size_t regions_min;
  size_t regions_max;
  bool has_any_host;
  bool is_partial;
} sgr_config_rules_t;

/** Rules for configurations that the co-owners approve: their author can correct an error. */
extern const sgr_config_rules_t sgr_config_rules_owners;

/** Rules for documents of a source, which are in force before a node reads them. Their bounds only
 * limit memory. */
extern const sgr_config_rules_t sgr_config_rules_source;

/**
 * struct sgr_config_problems_t - entries of a configuration that are not carried out as written
 * @count: number of the problems
 * @list: the first of them
 */
typedef struct
{
  size_t count;
  sgr_config_error_t list[SGR_CONFIG_PROBLEMS_MAX];
} sgr_config_problems_t;

/** sgr_config_problem_add() - count a problem, and keep its text if there is room */
void sgr_config_problem_add (sgr_config_problems_t *problems, const sgr_config_error_t *problem);

#endif
