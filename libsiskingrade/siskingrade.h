#ifndef SISKINGRADE_H
#define SISKINGRADE_H

/**
 * Public header of libsiskingrade: the decision logic of a node, which does no I/O. Time,
 * randomness and messages are passed in, so that each part can be embedded and tested alone.
 *
 * balancer.h        choice of a target under stale load reports
 * probe_budget.h    active probes within a service's budget
 * gate.h            admission control, queue, limits and ledger of one target
 * idempotency_key.h keys that nodes issue, hashes of keys that callers choose
 * retry_budget.h    retries that do not multiply along a chain of calls
 * call_plan.h       attempts, hedged attempts and outcome of one call
 * membership.h      failure detection and dissemination
 * evacuation.h      evacuated failure domains, merged by version
 * config_state.h    configuration in force, verified by both co-owners' signatures
 * config_sync.h     which nodes read the configuration from the store, which from peers
 */

#include "balancer.h"
#include "call_plan.h"
#include "config_state.h"
#include "config_sync.h"
#include "gate.h"
#include "histogram.h"
#include "idempotency_key.h"
#include "membership.h"
#include "policy.h"
#include "probe_budget.h"
#include "result.h"
#include "retry_budget.h"
#include "rng.h"
#include "types.h"
#include "version.h"

#endif
