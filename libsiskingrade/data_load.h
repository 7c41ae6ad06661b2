#ifndef SGR_DATA_LOAD_H
#define SGR_DATA_LOAD_H

#include "gate_run.h"

/**
 * Load of the local target. The target sends its load in a header field of its answers, or as the
 * answer to a load query of the gate. The gate sends load reports to entry nodes.
 */

/** sgr_data_load_field_apply() - apply the load field of an answer; NULL or an invalid value is
 * ignored */
void sgr_data_load_field_apply (sgr_data_gate_t *gate, const sgr_http_field_t *field);

/**
 * sgr_data_load_report_if_changed() - send a load report if the load has changed enough since the
 * last one
 *
 * The report goes to all entries that are connected. If the shortest interval between reports has
 * not passed yet, the report is sent at its end.
 */
void sgr_data_load_report_if_changed (sgr_data_gate_t *gate);

/** sgr_data_load_budget_update() - apply the budget for load queries of the current policy */
void sgr_data_load_budget_update (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_load_query_activate() - allow load queries for one second after the arrival of an
 * attempt, which is at @now_us
 */
void sgr_data_load_query_activate (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_load_query_hasten() - send the next load query as soon as the shortest interval between
 * queries allows
 */
void sgr_data_load_query_hasten (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_load_init() - set up timers and counters; called once by the gate */
void sgr_data_load_init (sgr_data_gate_t *gate);

/** sgr_data_load_stop() - cancel the timers and an open load query; called once by the gate */
void sgr_data_load_stop (sgr_data_gate_t *gate);

#endif
