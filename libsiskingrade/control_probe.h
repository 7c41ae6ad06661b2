#ifndef SGR_CONTROL_PROBE_H
#define SGR_CONTROL_PROBE_H

#include "control_internal.h"
#include "policy.h"

/**
 * sgr_control_probe_create() - active probes of the local target, within the service's budget
 * @control: the control task
 */
sgr_control_probe_t *sgr_control_probe_create (sgr_control_t *control);
void sgr_control_probe_destroy (sgr_control_probe_t *probe);

/**
 * sgr_control_probe_update() - the local target or the policy of its service changed
 * @probe: the probes
 * @policy: policy of the local target's service, NULL if there is none: no probe is sent
 */
void sgr_control_probe_update (sgr_control_probe_t *probe, const sgr_policy_t *policy);

/**
 * sgr_control_probe_is_failing() - whether the target counts as not ready
 *
 * That needs several failed probes in a row and no request that completed meanwhile: a health
 * endpoint that lags or misleads must not stop a target that works.
 */
bool sgr_control_probe_is_failing (const sgr_control_probe_t *probe);

#endif
