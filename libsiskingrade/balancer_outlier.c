#include "balancer_internal.h"

#include <math.h>

/* Weight of one result in the error rate. */
#define ERROR_GAIN 0.125
/* Errors in a row, or error rate, above which a target is an outlier. */
#define CONSECUTIVE_MAX 5
#define ERROR_RATE_MAX 0.5
/* A target is an outlier only if it fails this many times as often as the others on average. */
#define ERROR_RELATIVE 1.5
/* The error rate of a target without attempts fades with this time constant, so that it is tried
   again. */
#define ERROR_FADE_US 5e6
#define BACKOFF_FIRST_US (1 * SGR_USEC_PER_SEC)
#define BACKOFF_MAX_US (8 * SGR_USEC_PER_SEC)
/* One success may be luck at a target that fails part of its requests. */
#define TRIALS_TO_PASS 3

double
sgr_balancer_error_rate (const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_health_t *health = &entry->health;

  if (health->error_rate <= 0)
    return 0;
  return health->error_rate * exp (-(double)(now_us - health->error_us) / ERROR_FADE_US);
}

/* Average error rate of the other targets; ejected ones count, so that a failure of the whole
   service does not make each further target look like an outlier. */
static double
others_error_rate (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  double sum = 0;

  for (size_t i = 0; i < b->order_count; i++)
    {
      const sgr_balancer_entry_t *other = &b->entries[b->order[i]];

      if (other != entry)
        sum += other->health.is_ejected ? 1 : sgr_balancer_error_rate (other, now_us);
    }
  return b->order_count > 1 ? sum / (double)(b->order_count - 1) : 0;
}

static bool
is_ejection_allowed (const sgr_balancer_t *b)
{
  size_t limit = b->order_count * b->options.eject_percent / 100;
  size_t ejected = 0;

  if (limit == 0 && b->options.eject_percent > 0)
    limit = 1;
  if (b->order_count > 0 && limit >= b->order_count)
    limit = b->order_count - 1;
  for (size_t i = 0; i < b->order_count; i++)
    ejected += b->entries[b->order[i]].health.is_ejected;
  return ejected < limit;
}

static bool
is_outlier (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_health_t *health = &entry->health;

  if (health->consecutive < CONSECUTIVE_MAX && health->error_rate < ERROR_RATE_MAX)
    return false;
  return health->error_rate > ERROR_RELATIVE * others_error_rate (b, entry, now_us);
}

static void
trial_result (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us, bool is_error)
{
  sgr_balancer_health_t *health = &entry->health;

  health->is_trial_out = false;
  if (is_error)
    {
      health->trials_passed = 0;
      health->backoff_us *= 2;
      if (health->backoff_us > BACKOFF_MAX_US)
        health->backoff_us = BACKOFF_MAX_US;
      /* Nodes that ejected the target together must not try it together for ever. */
      health->trial_us
          = now_us + health->backoff_us + sgr_rng_below (&b->rng, health->backoff_us / 4);
      return;
    }
  health->trial_us = now_us;
  if (++health->trials_passed < TRIALS_TO_PASS)
    return;
  *health = (sgr_balancer_health_t){ .error_us = now_us };
  entry->ramp_from_us = now_us;
  sgr_balancer_event (b, SGR_BALANCER_READMITTED);
}

void
sgr_balancer_outlier_result (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                             uint64_t latency_us, bool is_error)
{
  sgr_balancer_health_t *health = &entry->health;
  double rate = sgr_balancer_error_rate (entry, now_us);

  if (health->is_ejected)
    {
      /* Attempts from before the ejection, or for want of another target, are no trials. */
      if (health->is_trial_out && now_us - latency_us >= health->trial_start_us)
        trial_result (b, entry, now_us, is_error);
      return;
    }
  health->error_rate = rate + ERROR_GAIN * ((is_error ? 1 : 0) - rate);
  health->error_us = now_us;
  health->consecutive = is_error ? health->consecutive + 1 : 0;
  if (!is_error || !is_outlier (b, entry, now_us))
    return;
  if (!is_ejection_allowed (b))
    {
      sgr_balancer_event (b, SGR_BALANCER_EJECT_CAPPED);
      return;
    }
  health->is_ejected = true;
  health->is_trial_out = false;
  health->trials_passed = 0;
  health->backoff_us = BACKOFF_FIRST_US;
  health->trial_us = now_us + BACKOFF_FIRST_US + sgr_rng_below (&b->rng, BACKOFF_FIRST_US / 4);
  sgr_balancer_event (b, SGR_BALANCER_EJECTED);
}

bool
sgr_balancer_outlier_trial (sgr_balancer_entry_t *entry, uint64_t now_us)
{
  sgr_balancer_health_t *health = &entry->health;

  if (!health->is_ejected || now_us < health->trial_us)
    return false;
  /* One trial at a time: the next is due after a full back-off unless this one finishes. */
  health->trial_us = now_us + health->backoff_us;
  health->trial_start_us = now_us;
  health->is_trial_out = true;
  return true;
}
