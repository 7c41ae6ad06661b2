#ifndef SGR_CALL_LOG_H
#define SGR_CALL_LOG_H

#include "types.h"

/**
 * struct sgr_call_log_t - selects the requests that are logged
 *
 * Code that uses it writes all its lines about a selected request and none about any other. Failed
 * requests are selected up to a rate limit, successful ones as a sample. The sample depends only on
 * the request id, so that all nodes log the same successful requests. Each thread has its own
 * state.
 */
typedef struct sgr_call_log_t sgr_call_log_t;

sgr_call_log_t *sgr_call_log_create (void);
void sgr_call_log_destroy (sgr_call_log_t *log);

/**
 * sgr_call_log_should_log() - whether to log a request that has ended
 * @log: state of the calling thread
 * @now_us: the time, monotonic microseconds
 * @id: request id, "" if the request has none
 * @has_failed: whether the target gave no answer or more than one attempt was made
 *
 * Also counts the failed requests that are not logged, and logs their number at most once a second.
 */
bool sgr_call_log_should_log (sgr_call_log_t *log, uint64_t now_us, const char *id,
                              bool has_failed);

#endif
