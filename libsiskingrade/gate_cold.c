#include "gate_cold.h"

#include <stdlib.h>

#include "result.h"
#include "timer_heap.h"

/* Length of the sliding window of starts. */
#define WINDOW_US SGR_USEC_PER_SEC
/* A statement that the target is not cold holds for this long. */
#define STATEMENT_VALIDITY_US SGR_USEC_PER_SEC
/* Time for which attempts wait for a statement. A health answer takes milliseconds; a load query
   that gets none is given up after 200 ms. */
#define ANSWER_WAIT_US (100 * SGR_USEC_PER_MSEC)
/* After a pause of this length between attempts, the wait for a statement starts anew, because load
   queries stop in a pause. */
#define PAUSE_US SGR_USEC_PER_SEC

/**
 * struct sgr_gate_cold_t - coldness of a target and the window of starts
 * @calls_per_s: most starts in a window while the target is cold, 0 for no limit
 * @unknown_since_us: the target counts as cold without a statement made at this time or later
 * @unknown_source: what made the state unknown
 * @has_statement: whether the instance has made a statement
 * @made_us: latest @made_us of its statements
 * @arrived_us: latest @arrived_us of its statements
 * @statement_source: source of the last statement
 * @cold_until_us: latest end of the cold time that a statement gave
 * @cold_source: source of that statement
 * @wait_begin_us: when attempts began to wait for a statement, 0 if the state is known
 * @waiting_us: when the last attempt arrived that could not start at once
 * @full_until_us: the window counts as full until this time
 * @sent_us: times of the last sent starts, a ring of @calls_per_s elements
 * @oldest: index of the oldest element in use
 * @sent_count: elements in use
 * @reserved: starts that are reserved and not sent
 */
struct sgr_gate_cold_t
{
  uint32_t calls_per_s;
  uint64_t unknown_since_us;
  sgr_gate_cold_source_t unknown_source;
  bool has_statement;
  uint64_t made_us;
  uint64_t arrived_us;
  sgr_gate_cold_source_t statement_source;
  uint64_t cold_until_us;
  sgr_gate_cold_source_t cold_source;
  uint64_t wait_begin_us;
  uint64_t waiting_us;
  uint64_t full_until_us;
  uint64_t *sent_us;
  uint32_t oldest;
  uint32_t sent_count;
  uint32_t reserved;
};

sgr_gate_cold_t *
sgr_gate_cold_create (uint64_t start_us)
{
  sgr_gate_cold_t *cold = calloc (1, sizeof *cold);

  sgr_invariant (cold != NULL);
  cold->unknown_since_us = start_us;
  cold->unknown_source = SGR_GATE_COLD_SOURCE_NODE_START;
  return cold;
}

void
sgr_gate_cold_destroy (sgr_gate_cold_t *cold)
{
  if (cold == NULL)
    return;
  free (cold->sent_us);
  free (cold);
}

/* The start that is @index-th among the kept ones, the oldest being the first. */
static uint64_t
sent_at (const sgr_gate_cold_t *cold, uint32_t index)
{
  return cold->sent_us[(cold->oldest + index) % cold->calls_per_s];
}

void
sgr_gate_cold_limit_set (sgr_gate_cold_t *cold, uint64_t now_us, uint32_t calls_per_s)
{
  uint32_t kept = cold->sent_count < calls_per_s ? cold->sent_count : calls_per_s;
  uint64_t *sent_us;

  if (calls_per_s == cold->calls_per_s)
    return;
  sent_us = calloc (calls_per_s + 1, sizeof *sent_us);
  sgr_invariant (sent_us != NULL);
  for (uint32_t i = 0; i < kept; i++)
    sent_us[i] = sent_at (cold, cold->sent_count - kept + i);
  free (cold->sent_us);
  cold->sent_us = sent_us;
  cold->oldest = 0;
  cold->sent_count = kept;
  if (calls_per_s > cold->calls_per_s)
    cold->full_until_us = now_us + WINDOW_US;
  cold->calls_per_s = calls_per_s;
}

uint32_t
sgr_gate_cold_limit (const sgr_gate_cold_t *cold)
{
  return cold->calls_per_s;
}

static bool
has_current_statement (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  return cold->has_statement && cold->made_us >= cold->unknown_since_us
         && now_us <= cold->arrived_us + STATEMENT_VALIDITY_US;
}

void
sgr_gate_cold_forget (sgr_gate_cold_t *cold, uint64_t now_us, sgr_gate_cold_source_t source)
{
  if (has_current_statement (cold, now_us))
    cold->wait_begin_us = now_us;
  if (now_us < cold->unknown_since_us)
    return;
  cold->unknown_since_us = now_us;
  cold->unknown_source = source;
}

void
sgr_gate_cold_instance_replace (sgr_gate_cold_t *cold, uint64_t now_us)
{
  sgr_gate_cold_forget (cold, now_us, SGR_GATE_COLD_SOURCE_REGISTRATION);
  cold->has_statement = false;
  cold->made_us = 0;
  cold->arrived_us = 0;
  cold->cold_until_us = 0;
}

void
sgr_gate_cold_record (sgr_gate_cold_t *cold, const sgr_gate_cold_statement_t *statement)
{
  uint64_t until_us = statement->arrived_us + statement->cold_us;

  cold->has_statement = true;
  cold->statement_source = statement->source;
  if (statement->made_us > cold->made_us)
    cold->made_us = statement->made_us;
  if (statement->arrived_us > cold->arrived_us)
    cold->arrived_us = statement->arrived_us;
  if (statement->cold_us > 0 && until_us > cold->cold_until_us)
    {
      cold->cold_until_us = until_us;
      cold->cold_source = statement->source;
    }
  if (has_current_statement (cold, statement->arrived_us))
    cold->wait_begin_us = 0;
}

bool
sgr_gate_cold_is_unknown (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  return cold->calls_per_s > 0 && now_us >= cold->cold_until_us
         && !has_current_statement (cold, now_us);
}

bool
sgr_gate_cold_is_cold (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  return cold->calls_per_s > 0
         && (now_us < cold->cold_until_us || !has_current_statement (cold, now_us));
}

sgr_gate_cold_source_t
sgr_gate_cold_source (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  if (cold->calls_per_s == 0)
    return SGR_GATE_COLD_SOURCE_NONE;
  if (now_us < cold->cold_until_us)
    return cold->cold_source;
  if (has_current_statement (cold, now_us))
    return cold->statement_source;
  if (cold->has_statement && cold->made_us >= cold->unknown_since_us)
    return SGR_GATE_COLD_SOURCE_SILENCE;
  return cold->unknown_source;
}

const char *
sgr_gate_cold_source_name (sgr_gate_cold_source_t source)
{
  static const char *const names[SGR_GATE_COLD_SOURCE_COUNT] = {
    [SGR_GATE_COLD_SOURCE_NONE] = "none",
    [SGR_GATE_COLD_SOURCE_NODE_START] = "node-start",
    [SGR_GATE_COLD_SOURCE_REGISTRATION] = "registration",
    [SGR_GATE_COLD_SOURCE_CONNECTION] = "connection",
    [SGR_GATE_COLD_SOURCE_EVACUATION] = "evacuation",
    [SGR_GATE_COLD_SOURCE_SILENCE] = "silence",
    [SGR_GATE_COLD_SOURCE_ANNOUNCEMENT] = "announcement",
    [SGR_GATE_COLD_SOURCE_HEALTH] = "health",
  };

  return (unsigned)source < SGR_GATE_COLD_SOURCE_COUNT ? names[source] : "unknown";
}

uint64_t
sgr_gate_cold_wait_ends_us (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  if (cold->wait_begin_us == 0 || now_us >= cold->wait_begin_us + ANSWER_WAIT_US
      || !sgr_gate_cold_is_unknown (cold, now_us))
    return 0;
  return cold->wait_begin_us + ANSWER_WAIT_US;
}

uint64_t
sgr_gate_cold_wait_begin (sgr_gate_cold_t *cold, uint64_t now_us)
{
  bool is_after_pause = now_us > cold->waiting_us + PAUSE_US;

  cold->waiting_us = now_us;
  if (sgr_gate_cold_is_unknown (cold, now_us) && (cold->wait_begin_us == 0 || is_after_pause))
    cold->wait_begin_us = now_us;
  return sgr_gate_cold_wait_ends_us (cold, now_us);
}

uint64_t
sgr_gate_cold_ends_us (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  if (cold->calls_per_s == 0 || now_us >= cold->cold_until_us
      || !has_current_statement (cold, cold->cold_until_us))
    return SGR_TIMER_NEVER;
  return cold->cold_until_us;
}

/* Number of kept starts that are not within the window any more. Both ends of the window belong to
   it. */
static uint32_t
expired_count (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  uint32_t low = 0;
  uint32_t high = cold->sent_count;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (sent_at (cold, middle) + WINDOW_US < now_us)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

uint32_t
sgr_gate_cold_starts_left (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  uint32_t used;

  if (!sgr_gate_cold_is_cold (cold, now_us))
    return UINT32_MAX;
  if (now_us < cold->full_until_us)
    return 0;
  used = cold->sent_count - expired_count (cold, now_us) + cold->reserved;
  return used < cold->calls_per_s ? cold->calls_per_s - used : 0;
}

bool
sgr_gate_cold_is_reported (const sgr_gate_cold_t *cold, uint64_t now_us)
{
  if (!sgr_gate_cold_is_cold (cold, now_us))
    return false;
  return sgr_gate_cold_source (cold, now_us) != SGR_GATE_COLD_SOURCE_SILENCE
         || (cold->wait_begin_us != 0 && now_us >= cold->wait_begin_us + ANSWER_WAIT_US
             && now_us <= cold->waiting_us + PAUSE_US);
}

uint64_t
sgr_gate_cold_room_us (const sgr_gate_cold_t *cold, uint64_t now_us, uint32_t ahead)
{
  uint32_t expired = expired_count (cold, now_us);
  uint32_t sent = cold->sent_count - expired;
  uint32_t reserved
      = cold->reserved < cold->calls_per_s - sent ? cold->reserved : cold->calls_per_s - sent;
  uint32_t unused = cold->calls_per_s - sent - reserved;
  uint64_t base_us = now_us < cold->full_until_us ? cold->full_until_us : now_us;
  /* Each start occupies its place for a window, so further starts follow one window later. */
  uint64_t windows_us = (uint64_t)(ahead / cold->calls_per_s) * WINDOW_US;
  uint32_t place = ahead % cold->calls_per_s;
  uint64_t room_us = base_us;

  if (place >= unused + sent)
    room_us = base_us + WINDOW_US;
  else if (place >= unused && sent_at (cold, expired + place - unused) + WINDOW_US + 1 > base_us)
    room_us = sent_at (cold, expired + place - unused) + WINDOW_US + 1;
  return room_us + windows_us;
}

void
sgr_gate_cold_start_reserve (sgr_gate_cold_t *cold)
{
  cold->reserved++;
}

void
sgr_gate_cold_start_commit (sgr_gate_cold_t *cold, uint64_t now_us)
{
  sgr_gate_cold_start_release (cold);
  if (cold->calls_per_s == 0)
    return;
  if (cold->sent_count == cold->calls_per_s)
    {
      cold->oldest = (cold->oldest + 1) % cold->calls_per_s;
      cold->sent_count--;
    }
  cold->sent_us[(cold->oldest + cold->sent_count) % cold->calls_per_s] = now_us;
  cold->sent_count++;
}

void
sgr_gate_cold_start_release (sgr_gate_cold_t *cold)
{
  sgr_invariant (cold->reserved > 0);
  cold->reserved--;
}
