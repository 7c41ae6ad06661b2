#ifndef SGR_DATA_LOAD_H
#define SGR_DATA_LOAD_H

#include "gate_run.h"

/** Load of the local target: what its answers tell, and the reports that entries get unasked. */

/** sgr_data_load_take() - take the load that an answer of the target tells */
void sgr_data_load_take (sgr_data_gate_t *gate, const sgr_http_field_t *field);

/**
 * sgr_data_load_changed() - the load of the gate may have changed
 *
 * Entries with a connection get a report as soon as it differs enough from the last one, but not
 * more often than the shortest interval.
 */
void sgr_data_load_changed (sgr_data_gate_t *gate);

/** sgr_data_load_update() - the target or the policy may have changed */
void sgr_data_load_update (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_load_wanted() - an attempt arrived, so that the load has to be known for some time */
void sgr_data_load_wanted (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_load_init(), sgr_data_load_stop() - begin and end with the gate */
void sgr_data_load_init (sgr_data_gate_t *gate);
void sgr_data_load_stop (sgr_data_gate_t *gate);

#endif
