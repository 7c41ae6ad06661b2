#include "config_rules.h"

const sgr_config_rules_t sgr_config_rules_owners = {
  .timeout_max_ms = 600000,
  .route_priority_max = 100,
  .account_priority_max = 100,
  .weight_max = 10000,
  .parts_max = 8,
  .text_max = 255,
  .regions_min = 1,
  .regions_max = 8,
};

const sgr_config_rules_t sgr_config_rules_source = {
  .timeout_max_ms = UINT32_MAX,
  .route_priority_max = UINT16_MAX,
  .account_priority_max = UINT16_MAX,
  .weight_max = INT32_MAX,
  .parts_max = 65536,
  .text_max = 1024 * 1024,
  .regions_max = 65536,
  .has_any_host = true,
  .is_partial = true,
};

void
sgr_config_problem_add (sgr_config_problems_t *problems, const sgr_config_error_t *problem)
{
  if (problems->count < SGR_CONFIG_PROBLEMS_MAX)
    problems->list[problems->count] = *problem;
  problems->count++;
}
