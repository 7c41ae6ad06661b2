#include "call_log.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "log.h"
#include "result.h"

/* Failed requests that one task logs a second, and how many it may save up for a burst. */
#define FAILED_PER_S 20
#define FAILED_BURST 40
/* Of the requests that succeed one in so many is logged. */
#define SAMPLE_DIVISOR 256

struct sgr_call_log_t
{
  double tokens;
  uint64_t filled_us;
  uint64_t left_out;
  uint64_t told_us;
};

sgr_call_log_t *
sgr_call_log_create (void)
{
  sgr_call_log_t *log = calloc (1, sizeof *log);

  sgr_invariant (log != NULL);
  log->tokens = FAILED_BURST;
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
  if (log->filled_us == 0)
    log->filled_us = now_us;
  log->tokens += (double)(now_us - log->filled_us) * FAILED_PER_S / (double)SGR_USEC_PER_SEC;
  log->filled_us = now_us;
  if (log->tokens > FAILED_BURST)
    log->tokens = FAILED_BURST;
  if (log->tokens < 1)
    return false;
  log->tokens -= 1;
  return true;
}

static void
left_out_tell (sgr_call_log_t *log, uint64_t now_us)
{
  if (log->left_out == 0 || now_us < log->told_us + SGR_USEC_PER_SEC)
    return;
  sgr_log_warn ("requests-unlogged", "failed=%lu", log->left_out);
  log->left_out = 0;
  log->told_us = now_us;
}

bool
sgr_call_log_takes (sgr_call_log_t *log, uint64_t now_us, const char *id, bool has_failed)
{
  bool is_taken;

  if (!sgr_log_is_on (SGR_LOG_INFO))
    return false;
  if (!has_failed)
    return XXH64 (id, strlen (id), 0) % SAMPLE_DIVISOR == 0;
  is_taken = token_take (log, now_us);
  if (!is_taken)
    log->left_out++;
  left_out_tell (log, now_us);
  return is_taken;
}
