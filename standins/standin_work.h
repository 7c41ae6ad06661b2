#ifndef SGR_STANDIN_WORK_H
#define SGR_STANDIN_WORK_H

#include <h2o.h>

#include "buffer.h"
#include "timer_heap.h"

/**
 * The simulated work of the target stand-in: a queue, slots, service times, injected faults and the
 * count of executions of each request.
 */
typedef struct sgr_standin_work_t sgr_standin_work_t;

/**
 * struct sgr_standin_work_options_t - options of the target stand-in
 * @slots: requests that run at a time
 * @service_us: mean of the exponentially distributed service times in microseconds, 0 for none
 * @cold_until_us: monotonic time until which service times are five times as long
 * @seed: seed of the service times
 * @log_path: file to which the id of each request is appended when it starts to run, NULL for none.
 *            Unlike the counts in memory, the file is still there after the target was killed.
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
 * sgr_standin_work_start() - queue a request and answer it after its service time
 * @work: the work
 * @req: the request. The path "/bytes/N" is answered with N bytes, any other with one line that
 *       holds the request id.
 *
 * Request headers: X-Request-Id is the request id, under which executions are counted. X-Service-Us
 * overrides the service time. X-Chunked leaves out the Content-Length of an answer to "/bytes/N".
 * X-Fault injects a fault:
 * "close-before": the connection is closed and the request does not run;
 * "close-after": the request runs and the connection is closed without an answer;
 * "cut": the connection is closed after half of the body of an answer to "/bytes/N";
 * "hang": the request runs and is never answered, and holds its slot until its connection ends;
 * "shed": the request is answered with status 503 and does not run;
 * "error": the request runs and is answered with status 500.
 */
void sgr_standin_work_start (sgr_standin_work_t *work, h2o_req_t *req);

/**
 * sgr_standin_work_set_mode() - change how all requests are handled
 * @work: the work
 * @name: "slow/FACTOR" multiplies service times, "fail-fast" answers with status 500 without
 * running the request, "shed" answers with status 503 without running the request, "normal" ends
 * all three
 * @length: bytes of @name
 *
 * Return: false for an unknown name.
 */
bool sgr_standin_work_set_mode (sgr_standin_work_t *work, const char *name, size_t length);

/** sgr_standin_work_print_executions() - append a line "ID COUNT" for each request that ran */
void sgr_standin_work_print_executions (const sgr_standin_work_t *work, sgr_buffer_t *text);

#endif
