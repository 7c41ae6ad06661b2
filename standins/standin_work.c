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

#define BODY_MAX (256U * 1024 * 1024)
#define PIECE_BYTES (64U * 1024)
#define COLD_FACTOR 5

typedef struct
{
  char id[80];
  unsigned count;
} execution_t;

typedef struct job_t
{
  h2o_generator_t super;
  sgr_standin_work_t *work;
  h2o_req_t *req; /* NULL once disposed */
  sgr_timer_t timer;
  struct job_t *next;
  bool is_running;
  char fault[16];
  char id[80];
  uint64_t length;
  uint64_t sent;
  char piece[PIECE_BYTES];
} job_t;

struct sgr_standin_work_t
{
  sgr_timer_heap_t *timers;
  sgr_standin_work_options_t options;
  sgr_rng_t rng;
  uint32_t running;
  job_t *first; /* queue of jobs that wait for a slot */
  job_t **last;
  sgr_id_map_t *executions;
  uint64_t slow_factor;
  bool is_failing_fast;
  bool is_shedding;
  int log_fd;
};

static void start_next (sgr_standin_work_t *work);

sgr_standin_work_t *
sgr_standin_work_create (sgr_timer_heap_t *timers, const sgr_standin_work_options_t *options)
{
  sgr_standin_work_t *work = calloc (1, sizeof *work);

  sgr_invariant (work != NULL);
  work->timers = timers;
  work->options = *options;
  work->last = &work->first;
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
field (const h2o_req_t *req, const char *name)
{
  ssize_t index = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  return index < 0 ? h2o_iovec_init (NULL, 0) : req->headers.entries[index].value;
}

static void
text_copy (h2o_iovec_t value, char *text, size_t size)
{
  size_t length = value.len < size - 1 ? value.len : size - 1;

  if (length > 0)
    memcpy (text, value.base, length);
  text[length] = '\0';
}

static void
execution_count (sgr_standin_work_t *work, const char *id)
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

static uint64_t
service_time (sgr_standin_work_t *work, const h2o_req_t *req, uint64_t now_us)
{
  h2o_iovec_t value = field (req, "x-service-us");
  uint64_t mean_us = work->options.service_us;

  if (value.base != NULL && sgr_http_number_parse (value.base, value.len, 600000000, &mean_us))
    return mean_us * work->slow_factor;
  if (now_us < work->options.cold_until_us)
    mean_us *= COLD_FACTOR;
  return (uint64_t)(-log (1.0 - sgr_rng_unit (&work->rng)) * (double)mean_us) * work->slow_factor;
}

static void
connection_break (const h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
}

static void
piece_send (job_t *job)
{
  uint64_t left = job->length - job->sent;
  size_t size = left < PIECE_BYTES ? (size_t)left : PIECE_BYTES;
  bool is_cut = strcmp (job->fault, "cut") == 0 && job->sent + size > job->length / 2;
  h2o_iovec_t vector;

  if (is_cut)
    size = (size_t)(job->length / 2 - job->sent);
  /* Each byte depends on its place and on the request, so that a mix-up shows. */
  for (size_t i = 0; i < size; i++)
    job->piece[i] = (char)('a' + (job->sent + i + (uint8_t)job->id[0]) % 26);
  job->sent += size;
  vector = h2o_iovec_init (job->piece, size);
  if (is_cut)
    h2o_send (job->req, &vector, size > 0 ? 1 : 0, H2O_SEND_STATE_ERROR);
  else
    h2o_send (job->req, &vector, size > 0 ? 1 : 0,
              job->sent == job->length ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  piece_send ((job_t *)generator);
}

static void
answer (job_t *job)
{
  h2o_req_t *req = job->req;
  sgr_standin_work_t *work = job->work;
  h2o_iovec_t length = field (req, "x-chunked");

  req->res.reason = "";
  if (work->is_failing_fast || strcmp (job->fault, "error") == 0)
    {
      req->res.status = 500;
      req->res.content_length = 6;
      h2o_send_inline (req, H2O_STRLIT ("error\n"));
      return;
    }
  req->res.status = 200;
  h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("x-request-id"), 0, NULL,
                         job->id, strlen (job->id));
  if (job->length == 0)
    {
      h2o_iovec_t line = h2o_concat (&req->pool, h2o_iovec_init (job->id, strlen (job->id)),
                                     h2o_iovec_init (H2O_STRLIT ("\n")));

      h2o_send_inline (req, line.base, line.len);
      return;
    }
  if (length.base == NULL)
    req->res.content_length = job->length;
  job->super.proceed = on_proceed;
  h2o_start_response (req, &job->super);
  if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("HEAD")))
    h2o_send (req, NULL, 0, H2O_SEND_STATE_FINAL);
  else
    piece_send (job);
}

static void
slot_free (job_t *job)
{
  if (!job->is_running)
    return;
  job->is_running = false;
  job->work->running--;
  start_next (job->work);
}

static void
on_service_end (void *ctx, uint64_t now_us)
{
  job_t *job = ctx;

  if (strcmp (job->fault, "hang") == 0)
    return;
  if (strcmp (job->fault, "close-after") == 0)
    connection_break (job->req);
  else
    answer (job);
  slot_free (job);
}

static void
start_next (sgr_standin_work_t *work)
{
  while (work->first != NULL && work->running < work->options.slots)
    {
      job_t *job = work->first;
      uint64_t now_us = sgr_clock_monotonic_us ();

      work->first = job->next;
      if (work->first == NULL)
        work->last = &work->first;
      work->running++;
      job->is_running = true;
      /* Counted at the start, so that a request that is cut off later counts too. */
      execution_count (work, job->id);
      sgr_timer_arm (work->timers, &job->timer, now_us + service_time (work, job->req, now_us));
    }
}

static void
queue_remove (sgr_standin_work_t *work, const job_t *job)
{
  job_t **place = &work->first;

  while (*place != NULL && *place != job)
    place = &(*place)->next;
  if (*place == NULL)
    return;
  *place = job->next;
  for (work->last = &work->first; *work->last != NULL; work->last = &(*work->last)->next)
    ;
}

static void
on_disposed (void *object)
{
  job_t *job = object;

  job->req = NULL;
  sgr_timer_cancel (job->work->timers, &job->timer);
  if (!job->is_running)
    queue_remove (job->work, job);
  slot_free (job);
}

static uint64_t
length_of (const h2o_req_t *req)
{
  uint64_t length = 0;

  if (req->path.len > 7 && memcmp (req->path.base, "/bytes/", 7) == 0)
    sgr_http_number_parse (req->path.base + 7, req->path.len - 7, BODY_MAX, &length);
  return length;
}

void
sgr_standin_work_begin (sgr_standin_work_t *work, h2o_req_t *req)
{
  job_t *job = h2o_mem_alloc_shared (&req->pool, sizeof *job, on_disposed);

  memset (job, 0, offsetof (job_t, piece));
  job->work = work;
  job->req = req;
  job->timer = (sgr_timer_t){ .fire = on_service_end, .ctx = job };
  text_copy (field (req, "x-fault"), job->fault, sizeof job->fault);
  text_copy (field (req, "x-request-id"), job->id, sizeof job->id);
  job->length = length_of (req);
  if (work->is_shedding || strcmp (job->fault, "shed") == 0)
    {
      req->res.status = 503;
      req->res.reason = "";
      req->res.content_length
          = 5; /* h2o ends answers of this status with the connection otherwise */
      h2o_send_inline (req, H2O_STRLIT ("shed\n"));
      return;
    }
  if (strcmp (job->fault, "close-before") == 0)
    {
      connection_break (req);
      return;
    }
  if (work->is_failing_fast)
    {
      answer (job);
      return;
    }
  *work->last = job;
  work->last = &job->next;
  start_next (work);
}

bool
sgr_standin_work_set (sgr_standin_work_t *work, const char *name, size_t length)
{
  uint64_t factor;

  if (length > 5 && memcmp (name, "slow/", 5) == 0
      && sgr_http_number_parse (name + 5, length - 5, 100000, &factor))
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
sgr_standin_work_executions (const sgr_standin_work_t *work, sgr_buffer_t *text)
{
  const execution_t *execution;
  size_t cursor = 0;

  while ((execution = sgr_id_map_next (work->executions, &cursor)) != NULL)
    sgr_buffer_printf (text, "%s %u\n", execution->id, execution->count);
}
