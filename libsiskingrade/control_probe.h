#ifndef SGR_CONTROL_PROBE_H
#define SGR_CONTROL_PROBE_H

#include "control_internal.h"
#include "policy.h"

/**
 * sgr_control_probe_create() - start active probes of the local target, limited by the probe budget
 * of its service
 * @control: the control task
 */
sgr_control_probe_t *sgr_control_probe_create (sgr_control_t *control);
void sgr_control_probe_destroy (sgr_control_probe_t *probe);

/**
 * sgr_control_probe_update() - apply a change of the local target or of its service's policy
 * @probe: the probes
 * @policy: policy of the local target's service; NULL if there is none, which stops the probes
 */
void sgr_control_probe_update (sgr_control_probe_t *probe, const sgr_policy_t *policy);

/**
 * sgr_control_probe_is_failing() - whether the target counts as not ready
 *
 * This takes several failed probes in a row without a completed request between them: a health
 * endpoint with outdated or wrong results must not take a working target out of service.
 */
bool sgr_control_probe_is_failing (const sgr_control_probe_t *probe);

#endif
