#include "balancer_internal.h"

#include <math.h>

/* Weight of one result in the error rate, a moving average. */
#define ERROR_RATE_GAIN 0.125
/* A target can be an outlier only if it reaches this number of consecutive errors or this error
   rate. */
#define OUTLIER_CONSECUTIVE_ERRORS 5
#define OUTLIER_ERROR_RATE 0.5
/* In addition, the error rate of an outlier must exceed the average error rate of the other targets
   by this factor. */
#define OUTLIER_RATE_RATIO 1.5
/* The error rate of a target without attempts decays with this time constant, so that the target is
   chosen again. */
#define ERROR_RATE_DECAY_US 5e6
#define BACKOFF_INITIAL_US (1 * SGR_USEC_PER_SEC)
#define BACKOFF_MAX_US (8 * SGR_USEC_PER_SEC)
/* Each back-off is extended by a random time of less than the back-off divided by this number.
   Nodes that ejected a target at the same time must not keep trying it at the same time. */
#define BACKOFF_JITTER_DIVISOR 4
/* Number of trials that an ejected target must pass to be readmitted. A single success proves
   little if the target fails only some of its requests. */
#define TRIALS_TO_PASS 3

double
sgr_balancer_error_rate (const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_health_t *health = &entry->health;

  if (health->error_rate <= 0)
    return 0;
  return health->error_rate
         * exp (-(double)(now_us - health->error_rate_time_us) / ERROR_RATE_DECAY_US);
}

/* Average error rate of the other targets. An ejected target counts with a rate of 1: otherwise,
   when the whole service fails, each further target would look like an outlier. */
static double
others_error_rate (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  double sum = 0;

  for (size_t i = 0; i < b->target_count; i++)
    {
      const sgr_balancer_entry_t *other = &b->entries[b->used_indexes[i]];

      if (other != entry)
        sum += other->health.is_ejected ? 1 : sgr_balancer_error_rate (other, now_us);
    }
  return b->target_count > 1 ? sum / (double)(b->target_count - 1) : 0;
}

static bool
is_ejection_allowed (const sgr_balancer_t *b)
{
  size_t limit = b->target_count * b->options.eject_percent / 100;
  size_t ejected = 0;

  if (limit == 0 && b->options.eject_percent > 0)
    limit = 1;
  if (b->target_count > 0 && limit >= b->target_count)
    limit = b->target_count - 1;
  for (size_t i = 0; i < b->target_count; i++)
    ejected += b->entries[b->used_indexes[i]].health.is_ejected;
  return ejected < limit;
}

static bool
is_outlier (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_health_t *health = &entry->health;

  if (health->consecutive_errors < OUTLIER_CONSECUTIVE_ERRORS
      && health->error_rate < OUTLIER_ERROR_RATE)
    return false;
  return health->error_rate > OUTLIER_RATE_RATIO * others_error_rate (b, entry, now_us);
}

static void
trial_result_apply (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us, bool is_error)
{
  sgr_balancer_health_t *health = &entry->health;

  health->is_trial_pending = false;
  if (is_error)
    {
      health->trials_passed = 0;
      health->backoff_us *= 2;
      if (health->backoff_us > BACKOFF_MAX_US)
        health->backoff_us = BACKOFF_MAX_US;
      health->next_trial_us
          = now_us + health->backoff_us
            + sgr_rng_below (&b->rng, health->backoff_us / BACKOFF_JITTER_DIVISOR);
      return;
    }
  health->next_trial_us = now_us;
  if (++health->trials_passed < TRIALS_TO_PASS)
    return;
  *health = (sgr_balancer_health_t){ .error_rate_time_us = now_us };
  entry->slow_start_begin_us = now_us;
  sgr_balancer_event_record (b, SGR_BALANCER_READMITTED);
}

void
sgr_balancer_outlier_result_record (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                                    uint64_t latency_us, bool is_error)
{
  sgr_balancer_health_t *health = &entry->health;
  double rate = sgr_balancer_error_rate (entry, now_us);

  if (health->is_ejected)
    {
      /* Ignore attempts that are not trials: those that started before the ejection, and those that
         were sent without a pending trial because no other target was eligible. */
      if (health->is_trial_pending && now_us - latency_us >= health->trial_start_us)
        trial_result_apply (b, entry, now_us, is_error);
      return;
    }
  health->error_rate = rate + ERROR_RATE_GAIN * ((is_error ? 1 : 0) - rate);
  health->error_rate_time_us = now_us;
  health->consecutive_errors = is_error ? health->consecutive_errors + 1 : 0;
  if (!is_error || !is_outlier (b, entry, now_us))
    return;
  if (!is_ejection_allowed (b))
    {
      sgr_balancer_event_record (b, SGR_BALANCER_EJECT_CAPPED);
      return;
    }
  health->is_ejected = true;
  health->is_trial_pending = false;
  health->trials_passed = 0;
  health->backoff_us = BACKOFF_INITIAL_US;
  health->next_trial_us = now_us + BACKOFF_INITIAL_US
                          + sgr_rng_below (&b->rng, BACKOFF_INITIAL_US / BACKOFF_JITTER_DIVISOR);
  sgr_balancer_event_record (b, SGR_BALANCER_EJECTED);
}

bool
sgr_balancer_outlier_trial_start (sgr_balancer_entry_t *entry, uint64_t now_us)
{
  sgr_balancer_health_t *health = &entry->health;

  if (!health->is_ejected || now_us < health->next_trial_us)
    return false;
  /* Only one trial runs at a time; if it does not finish, the next is due after the back-off. */
  health->next_trial_us = now_us + health->backoff_us;
  health->trial_start_us = now_us;
  health->is_trial_pending = true;
  return true;
}
