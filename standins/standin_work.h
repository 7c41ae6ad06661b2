#ifndef SGR_STANDIN_WORK_H
#define SGR_STANDIN_WORK_H

#include <h2o.h>

#include "buffer.h"
#include "timer_heap.h"

/** Requests of the target stand-in: slots, a queue, service times, faults, counted executions. */
typedef struct sgr_standin_work_t sgr_standin_work_t;

/**
 * struct sgr_standin_work_options_t - how the target works
 * @slots: requests that run at a time
 * @service_us: mean service time, exponentially distributed; 0 answers at once
 * @cold_until_us: until then the service time is five times as long
 * @seed: seed of the service times
 * @log_path: file that gets the id of each request that ran, before its answer; NULL for none.
 *            It outlives a killed target.
 */
typedef struct
{
  uint32_t slots;
  uint64_t service_us;
  uint64_t cold_until_us;
  uint64_t seed;
  const char *log_path;
} sgr_standin_work_options_t;

sgr_standin_work_t *sgr_standin_work_create (sgr_timer_heap_t *timers,
                                             const sgr_standin_work_options_t *options);

/**
 * sgr_standin_work_begin() - take a request
 * @work: the work
 * @req: the request; "/bytes/N" answers N bytes, others answer one line. X-Request-Id names the
 *       request for the count of executions. X-Fault asks for one of: "close-before" (no
 *       execution, connection closed), "close-after" (executed, no answer), "cut" (half of the
 *       body, then closed), "hang" (executed, never answers), "shed" (status 503, not executed),
 *       "error" (status 500). X-Service-Us overrides the service time.
 */
void sgr_standin_work_begin (sgr_standin_work_t *work, h2o_req_t *req);

/**
 * sgr_standin_work_set() - change the behaviour
 * @work: the work
 * @name: "slow/FACTOR", "fail-fast", "shed", "normal"
 * @length: bytes of @name
 *
 * Return: false for an unknown name.
 */
bool sgr_standin_work_set (sgr_standin_work_t *work, const char *name, size_t length);

/** sgr_standin_work_executions() - append "ID COUNT" lines, one for each request that ran */
void sgr_standin_work_executions (const sgr_standin_work_t *work, sgr_buffer_t *text);

#endif
