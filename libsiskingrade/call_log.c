#include "call_log.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "log.h"
#include "result.h"

/* Each thread limits the failed requests that it logs by a token bucket: tokens added per second,
   and size of the bucket. */
#define FAILED_LOGGED_PER_S 20
#define FAILED_LOGGED_BURST 40
/* One in this many successful requests is logged. */
#define SAMPLE_DIVISOR 256

struct sgr_call_log_t
{
  double tokens; /* failed requests that may be logged now */
  uint64_t tokens_updated_us;
  uint64_t unlogged_count; /* failed requests not logged since the last "requests-unlogged" line */
  uint64_t last_notice_us; /* when the last "requests-unlogged" line was written */
};

sgr_call_log_t *
sgr_call_log_create (void)
{
  sgr_call_log_t *log = calloc (1, sizeof *log);

  sgr_invariant (log != NULL);
  log->tokens = FAILED_LOGGED_BURST;
  return log;
}

void
sgr_call_log_destroy (sgr_call_log_t *log)
{
  free (log);
}

static bool
token_take (sgr_call_log_t *log, uint64_t now_us)
{
  if (log->tokens_updated_us == 0)
    log->tokens_updated_us = now_us;
  log->tokens
      += (double)(now_us - log->tokens_updated_us) * FAILED_LOGGED_PER_S / (double)SGR_USEC_PER_SEC;
  log->tokens_updated_us = now_us;
  if (log->tokens > FAILED_LOGGED_BURST)
    log->tokens = FAILED_LOGGED_BURST;
  if (log->tokens < 1)
    return false;
  log->tokens -= 1;
  return true;
}

static void
unlogged_count_log (sgr_call_log_t *log, uint64_t now_us)
{
  if (log->unlogged_count == 0 || now_us < log->last_notice_us + SGR_USEC_PER_SEC)
    return;
  sgr_log_warn ("requests-unlogged", "failed=%lu", log->unlogged_count);
  log->unlogged_count = 0;
  log->last_notice_us = now_us;
}

bool
sgr_call_log_should_log (sgr_call_log_t *log, uint64_t now_us, const char *id, bool has_failed)
{
  bool is_selected;

  if (!sgr_log_is_on (SGR_LOG_INFO))
    return false;
  if (!has_failed)
    return XXH64 (id, strlen (id), 0) % SAMPLE_DIVISOR == 0;
  is_selected = token_take (log, now_us);
  if (!is_selected)
    log->unlogged_count++;
  unlogged_count_log (log, now_us);
  return is_selected;
}
