#include "standin_work.h"

#include <fcntl.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "http_fields.h"
#include "id_map.h"
#include "result.h"
#include "rng.h"

#define BODY_BYTES_MAX (256U * 1024 * 1024)
#define PIECE_BYTES (64U * 1024)
#define REQUEST_ID_BYTES 80
#define SERVICE_US_MAX 600000000
#define SLOW_FACTOR_MAX 100000
#define COLD_FACTOR 5
#define BYTES_PREFIX "/bytes/"
#define SLOW_PREFIX "slow/"

/** struct execution_t - a request id and how often requests with this id ran */
typedef struct
{
  char id[REQUEST_ID_BYTES];
  unsigned count;
} execution_t;

/**
 * struct job_t - a request
 * @req: the request, NULL after it was disposed of
 * @timer: ends the service time
 * @next: next job in the queue
 * @is_running: whether the job holds a slot
 * @fault: value of X-Fault, or empty
 * @id: value of X-Request-Id, or empty
 * @body_length: length of the answer to "/bytes/N", 0 for any other path
 * @body_sent: bytes of this answer that were sent
 * @piece: part of the answer that is being sent
 */
typedef struct job_t
{
  h2o_generator_t super;
  sgr_standin_work_t *work;
  h2o_req_t *req;
  sgr_timer_t timer;
  struct job_t *next;
  bool is_running;
  char fault[16];
  char id[REQUEST_ID_BYTES];
  uint64_t body_length;
  uint64_t body_sent;
  char piece[PIECE_BYTES];
} job_t;

/**
 * struct sgr_standin_work_t - state of the simulated work
 * @running_count: jobs that hold a slot
 * @queue_first: first job of the queue for a slot
 * @queue_tail: pointer that the next queued job is stored in
 * @executions: execution_t by the hash of the request id
 * @slow_factor: factor of all service times
 * @log_fd: execution log, -1 for none
 */
struct sgr_standin_work_t
{
  sgr_timer_heap_t *timers;
  sgr_standin_work_options_t options;
  sgr_rng_t rng;
  uint32_t running_count;
  job_t *queue_first;
  job_t **queue_tail;
  sgr_id_map_t *executions;
  uint64_t slow_factor;
  bool is_failing_fast;
  bool is_shedding;
  int log_fd;
};

static void queue_run (sgr_standin_work_t *work);

sgr_standin_work_t *
sgr_standin_work_create (sgr_timer_heap_t *timers, const sgr_standin_work_options_t *options)
{
  sgr_standin_work_t *work = calloc (1, sizeof *work);

  sgr_invariant (work != NULL);
  work->timers = timers;
  work->options = *options;
  work->queue_tail = &work->queue_first;
  work->slow_factor = 1;
  work->executions = sgr_id_map_create ();
  sgr_rng_seed (&work->rng, options->seed);
  work->log_fd = -1;
  if (options->log_path != NULL)
    {
      work->log_fd = open (options->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      sgr_invariant (work->log_fd >= 0);
    }
  return work;
}

static h2o_iovec_t
header_find (const h2o_req_t *req, const char *name)
{
  ssize_t index = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  return index < 0 ? h2o_iovec_init (NULL, 0) : req->headers.entries[index].value;
}

static void
iovec_copy (h2o_iovec_t value, char *text, size_t size)
{
  size_t length = value.len < size - 1 ? value.len : size - 1;

  if (length > 0)
    memcpy (text, value.base, length);
  text[length] = '\0';
}

static void
execution_record (sgr_standin_work_t *work, const char *id)
{
  uint64_t key = XXH64 (id, strlen (id), 0);
  execution_t *execution = sgr_id_map_get (work->executions, key);

  if (id[0] == '\0')
    return;
  if (execution == NULL)
    {
      execution = calloc (1, sizeof *execution);
      sgr_invariant (execution != NULL);
      memcpy (execution->id, id, strlen (id) + 1);
      sgr_id_map_put (work->executions, key, execution);
    }
  execution->count++;
  if (work->log_fd >= 0)
    {
      char line[96];
      int length = snprintf (line, sizeof line, "%s\n", id);

      if (write (work->log_fd, line, (size_t)length) != length)
        perror ("standin-target: execution log");
    }
}

/* Without the header X-Service-Us the service time is exponentially distributed. The slow factor
   multiplies the service time in either case. */
static uint64_t
service_time_pick (sgr_standin_work_t *work, const h2o_req_t *req, uint64_t now_us)
{
  h2o_iovec_t value = header_find (req, "x-service-us");
  uint64_t mean_us = work->options.service_us;

  if (value.base != NULL && sgr_http_number_parse (value.base, value.len, SERVICE_US_MAX, &mean_us))
    return mean_us * work->slow_factor;
  if (now_us < work->options.cold_until_us)
    mean_us *= COLD_FACTOR;
  return (uint64_t)(-log (1.0 - sgr_rng_uniform (&work->rng)) * (double)mean_us)
         * work->slow_factor;
}

static void
connection_shutdown (const h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
}

static void
piece_send (job_t *job)
{
  uint64_t remaining = job->body_length - job->body_sent;
  size_t size = remaining < PIECE_BYTES ? (size_t)remaining : PIECE_BYTES;
  bool is_truncated
      = strcmp (job->fault, "cut") == 0 && job->body_sent + size > job->body_length / 2;
  h2o_iovec_t vector;

  if (is_truncated)
    size = (size_t)(job->body_length / 2 - job->body_sent);
  /* Each byte depends on its offset and on the request id, so that the sender of the request
     detects a body of another request or a body with missing parts. */
  for (size_t i = 0; i < size; i++)
    job->piece[i] = (char)('a' + (job->body_sent + i + (uint8_t)job->id[0]) % 26);
  job->body_sent += size;
  vector = h2o_iovec_init (job->piece, size);
  if (is_truncated)
    h2o_send (job->req, &vector, size > 0 ? 1 : 0, H2O_SEND_STATE_ERROR);
  else
    h2o_send (job->req, &vector, size > 0 ? 1 : 0,
              job->body_sent == job->body_length ? H2O_SEND_STATE_FINAL
                                                 : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  piece_send ((job_t *)generator);
}

/* Sends the answer after the service time, or at once in the mode "fail-fast". */
static void
answer_send (job_t *job)
{
  h2o_req_t *req = job->req;
  sgr_standin_work_t *work = job->work;
  h2o_iovec_t chunked_header = header_find (req, "x-chunked");

  req->res.reason = "";
  if (work->is_failing_fast || strcmp (job->fault, "error") == 0)
    {
      req->res.status = 500;
      req->res.content_length = strlen ("error\n");
      h2o_send_inline (req, H2O_STRLIT ("error\n"));
      return;
    }
  req->res.status = 200;
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("x-request-id"), 0, NULL,
                         job->id, strlen (job->id));
  if (job->body_length == 0)
    {
      h2o_iovec_t line = h2o_concat (&req->pool, h2o_iovec_init (job->id, strlen (job->id)),
                                     h2o_iovec_init (H2O_STRLIT ("\n")));

      h2o_send_inline (req, line.base, line.len);
      return;
    }
  if (chunked_header.base == NULL)
    req->res.content_length = job->body_length;
  job->super.proceed = on_proceed;
  h2o_start_response (req, &job->super);
  if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("HEAD")))
    h2o_send (req, NULL, 0, H2O_SEND_STATE_FINAL);
  else
    piece_send (job);
}

static void
slot_release (job_t *job)
{
  if (!job->is_running)
    return;
  job->is_running = false;
  job->work->running_count--;
  queue_run (job->work);
}

static void
on_service_end (void *ctx, uint64_t now_us)
{
  job_t *job = ctx;

  if (strcmp (job->fault, "hang") == 0)
    return;
  if (strcmp (job->fault, "close-after") == 0)
    connection_shutdown (job->req);
  else
    answer_send (job);
  slot_release (job);
}

/* Starts jobs of the queue while slots are free. */
static void
queue_run (sgr_standin_work_t *work)
{
  while (work->queue_first != NULL && work->running_count < work->options.slots)
    {
      job_t *job = work->queue_first;
      uint64_t now_us = sgr_clock_monotonic_us ();

      work->queue_first = job->next;
      if (work->queue_first == NULL)
        work->queue_tail = &work->queue_first;
      work->running_count++;
      job->is_running = true;
      /* The execution is recorded at its start, so that a request whose connection ends early is
         counted too. */
      execution_record (work, job->id);
      sgr_timer_arm (work->timers, &job->timer,
                     now_us + service_time_pick (work, job->req, now_us));
    }
}

static void
queue_remove (sgr_standin_work_t *work, const job_t *job)
{
  job_t **link = &work->queue_first;

  while (*link != NULL && *link != job)
    link = &(*link)->next;
  if (*link == NULL)
    return;
  *link = job->next;
  for (work->queue_tail = &work->queue_first; *work->queue_tail != NULL;
       work->queue_tail = &(*work->queue_tail)->next)
    ;
}

static void
on_request_disposed (void *object)
{
  job_t *job = object;

  job->req = NULL;
  sgr_timer_cancel (job->work->timers, &job->timer);
  if (!job->is_running)
    queue_remove (job->work, job);
  slot_release (job);
}

static uint64_t
body_length_parse (const h2o_req_t *req)
{
  uint64_t body_length = 0;

  if (req->path.len > strlen (BYTES_PREFIX)
      && memcmp (req->path.base, BYTES_PREFIX, strlen (BYTES_PREFIX)) == 0)
    sgr_http_number_parse (req->path.base + strlen (BYTES_PREFIX),
                           req->path.len - strlen (BYTES_PREFIX), BODY_BYTES_MAX, &body_length);
  return body_length;
}

void
sgr_standin_work_start (sgr_standin_work_t *work, h2o_req_t *req)
{
  job_t *job = h2o_mem_alloc_shared (&req->pool, sizeof *job, on_request_disposed);

  memset (job, 0, offsetof (job_t, piece));
  job->work = work;
  job->req = req;
  job->timer = (sgr_timer_t){ .fire = on_service_end, .ctx = job };
  iovec_copy (header_find (req, "x-fault"), job->fault, sizeof job->fault);
  iovec_copy (header_find (req, "x-request-id"), job->id, sizeof job->id);
  job->body_length = body_length_parse (req);
  if (work->is_shedding || strcmp (job->fault, "shed") == 0)
    {
      req->res.status = 503;
      req->res.reason = "";
      /* Without a length, h2o closes the connection after an answer with this status. */
      req->res.content_length = strlen ("shed\n");
      h2o_send_inline (req, H2O_STRLIT ("shed\n"));
      return;
    }
  if (strcmp (job->fault, "close-before") == 0)
    {
      connection_shutdown (req);
      return;
    }
  if (work->is_failing_fast)
    {
      answer_send (job);
      return;
    }
  *work->queue_tail = job;
  work->queue_tail = &job->next;
  queue_run (work);
}

bool
sgr_standin_work_set_mode (sgr_standin_work_t *work, const char *name, size_t length)
{
  uint64_t factor;

  if (length > strlen (SLOW_PREFIX) && memcmp (name, SLOW_PREFIX, strlen (SLOW_PREFIX)) == 0
      && sgr_http_number_parse (name + strlen (SLOW_PREFIX), length - strlen (SLOW_PREFIX),
                                SLOW_FACTOR_MAX, &factor))
    work->slow_factor = factor > 0 ? factor : 1;
  else if (h2o_memis (name, length, H2O_STRLIT ("fail-fast")))
    work->is_failing_fast = true;
  else if (h2o_memis (name, length, H2O_STRLIT ("shed")))
    work->is_shedding = true;
  else if (h2o_memis (name, length, H2O_STRLIT ("normal")))
    {
      work->is_failing_fast = false;
      work->is_shedding = false;
      work->slow_factor = 1;
    }
  else
    return false;
  return true;
}

void
sgr_standin_work_print_executions (const sgr_standin_work_t *work, sgr_buffer_t *text)
{
  const execution_t *execution;
  size_t cursor = 0;

  while ((execution = sgr_id_map_next (work->executions, &cursor)) != NULL)
    sgr_buffer_printf (text, "%s %u\n", execution->id, execution->count);
}
