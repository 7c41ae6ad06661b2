#include "policy.h"

#include <stdio.h>

void
sgr_policy_init (sgr_policy_t *policy, const char *service)
{
  *policy = (sgr_policy_t){
    .idempotency = SGR_IDEMPOTENCY_BY_METHOD,
    .deadline_ms = 5000,
    .slots_percent = 100,
    .queue_max = 64,
    .attempts_max = 3,
    .retry_percent = 10,
    .hedge_percentile = 0,
    .probe_calls_per_s = 10,
    .probe_bytes_per_s = 10000,
    .targets_max = 16,
    .slow_start_ms = 10000,
    .eject_percent = 34,
    .key_store_per_s = 20,
  };
  snprintf (policy->service, sizeof policy->service, "%s", service);
}
