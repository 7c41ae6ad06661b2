#ifndef SGR_CALL_LOG_H
#define SGR_CALL_LOG_H

#include "types.h"

/**
 * Which requests are logged. A request is logged with all its lines or with none: those that fail
 * first, as far as a number a second allows, and of those that succeed a sample. The sample depends
 * on the request's id alone, so that all nodes log the same requests.
 */
typedef struct sgr_call_log_t sgr_call_log_t;

sgr_call_log_t *sgr_call_log_create (void);
void sgr_call_log_destroy (sgr_call_log_t *log);

/**
 * sgr_call_log_takes() - whether to write the lines of a request that has ended
 * @log: the state of this task
 * @now_us: the time
 * @id: id of the request, "" if it has none
 * @has_failed: it got no answer of its target, or more than one attempt was made
 *
 * Failed requests that are left out are counted; a line tells their number once a second.
 */
bool sgr_call_log_takes (sgr_call_log_t *log, uint64_t now_us, const char *id, bool has_failed);

#endif
