#ifndef SGR_DATA_COLD_H
#define SGR_DATA_COLD_H

#include "gate_run.h"

/**
 * What the gate learns about the coldness of the local target, from its announcements, its health
 * answers and its connections. The functions do nothing while the policy has no limit for cold
 * targets.
 */

/** sgr_data_cold_local_apply() - apply what the announcements in the task's snapshot state */
void sgr_data_cold_local_apply (sgr_data_gate_t *gate, uint64_t now_us);

/**
 * sgr_data_cold_health_apply() - apply the answer to the open load query
 * @gate: the gate
 * @status: HTTP status of the answer
 * @fields: its header fields
 * @count: elements of @fields
 *
 * An answer with a status from 200 to 299 and without the field states that the target is not cold.
 * A field that is no number says nothing.
 */
void sgr_data_cold_health_apply (sgr_data_gate_t *gate, int status, const sgr_http_field_t *fields,
                                 size_t count);

/** sgr_data_cold_connection_failed() - count the target as cold until its next statement, because
 * a connection to it could not be opened or broke
 */
void sgr_data_cold_connection_failed (sgr_data_gate_t *gate, uint64_t now_us);

/**
 * sgr_data_cold_log_text() - what to add to a log line of a refused attempt
 *
 * Return: " cold=" and the source of the state, " cold=no" for a warm target, "" without a limit.
 */
const char *sgr_data_cold_log_text (const sgr_data_gate_t *gate, uint64_t now_us, char *text,
                                    size_t size);

/** sgr_data_cold_change_check() - log and report a change of the state */
void sgr_data_cold_change_check (sgr_data_gate_t *gate, uint64_t now_us);

#endif
