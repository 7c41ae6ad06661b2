#include "balancer_internal.h"

#include <math.h>
#include <string.h>

/* Latency assumed before the first sample of any target. */
#define LATENCY_DEFAULT_US 10000.0
#define LATENCY_GAIN 0.125
/* Gain of the average used without reports. That average contains queueing, which all nodes see
   late; a faster one makes their choices swing together. */
#define SLOW_GAIN (1.0 / 64)
/* Weight of an average of this many own samples equals that of a fresh report. */
#define OWN_WEIGHT_MAX 8.0
/* Latency knowledge of a target without attempts or reports fades with this time constant. */
#define LATENCY_FADE_US 6e5
/* Weight of the service's average latency against a full own average. */
#define SERVICE_WEIGHT 0.1
#define LOAD_GAIN (1.0 / 32)
/* Neighbours of a target change the time that its work takes within this time. */
#define COST_FADE_US 1e6
#define RAMP_FLOOR 0.1
/* An error costs the caller this many average latencies. */
#define ERROR_COST 20.0
/* In a repeated choice a refusal costs the caller this many average latencies, as the next attempt
   may be the last one. */
#define REFUSAL_COST 30.0
#define REFUSAL_GAIN 0.125
/* A full queue changes within this time. */
#define REFUSAL_FADE_US 2e5
/* Least uncertainty of a load estimate, requests. */
#define LOAD_DEVIATION_MIN 0.5
/* Reports lose weight when own latencies differ from what they imply by more than this factor. */
#define TRUST_FACTOR 2.5
#define TRUST_GAIN 0.125

void
sgr_balancer_estimate_init (sgr_balancer_estimate_t *estimate)
{
  memset (estimate, 0, sizeof *estimate);
  estimate->trust = 1;
}

static double
fade (uint64_t now_us, uint64_t then_us, double constant_us)
{
  return now_us <= then_us ? 1 : exp (-(double)(now_us - then_us) / constant_us);
}

static double
service_latency (const sgr_balancer_t *b)
{
  return b->service_latency_us > 0 ? b->service_latency_us : LATENCY_DEFAULT_US;
}

void
sgr_balancer_estimate_start (sgr_balancer_entry_t *entry, uint64_t now_us)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;

  if (estimate->unseen_count < SGR_BALANCER_UNSEEN_MAX)
    estimate->unseen_us[estimate->unseen_count++] = now_us;
}

/* Lowers the trust in reports that own latencies disprove, in either direction. */
static void
trust_update (sgr_balancer_t *b, sgr_balancer_entry_t *entry, double service_us,
              const sgr_load_report_t *report)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  double load = (double)report->in_flight + report->queued;
  double predicted = report->latency_us * fmax (1, (load + 1) / entry->info.slots);
  bool is_contradicted;

  if (report->latency_us == 0)
    return;
  if (estimate->predicted_us <= 0)
    {
      estimate->observed_us = service_us;
      estimate->predicted_us = predicted;
    }
  estimate->observed_us += LATENCY_GAIN * (service_us - estimate->observed_us);
  estimate->predicted_us += LATENCY_GAIN * (predicted - estimate->predicted_us);
  is_contradicted = estimate->observed_us > TRUST_FACTOR * estimate->predicted_us
                    || estimate->predicted_us > TRUST_FACTOR * estimate->observed_us
                    || entry->outstanding > load + estimate->unseen_count + 1;
  if (is_contradicted)
    sgr_balancer_event (b, SGR_BALANCER_REPORT_CONTRADICTED);
  estimate->trust += TRUST_GAIN * ((is_contradicted ? 0 : 1) - estimate->trust);
  /* Known and unknown loads cannot be compared fairly: the least of several known, varying loads
     nearly always beats an unknown one. So the least trusted target sets the trust for all. */
  b->trust = 1;
  for (size_t i = 0; i < b->order_count; i++)
    b->trust = fmin (b->trust, b->entries[b->order[i]].estimate.trust);
}

void
sgr_balancer_estimate_sample (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                              uint64_t latency_us, bool is_complete,
                              const sgr_load_report_t *report)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  double link_us = entry->info.link_rtt_us;
  double raw_us = fmax (1, (double)latency_us - link_us);
  double sample_us = raw_us;
  double kept = fade (now_us, estimate->own_us, LATENCY_FADE_US);
  double gain = fmax (LATENCY_GAIN, 1 - kept);

  if (!is_complete && sample_us < fmax (estimate->own_latency_us, service_latency (b)))
    return;
  if (report != NULL && report->queued > 0)
    sample_us *= (double)entry->info.slots / (entry->info.slots + report->queued);
  if (estimate->own_weight < 1)
    gain = 1;
  estimate->slow_latency_us
      += (gain > LATENCY_GAIN ? gain : SLOW_GAIN) * (raw_us - estimate->slow_latency_us);
  estimate->own_latency_us += gain * (sample_us - estimate->own_latency_us);
  estimate->own_weight = fmin (OWN_WEIGHT_MAX, estimate->own_weight * kept + 1);
  estimate->own_us = now_us;
  if (!is_complete)
    return;
  if (b->service_latency_us <= 0)
    b->service_latency_us = sample_us;
  b->service_latency_us += LATENCY_GAIN / 4 * (sample_us - b->service_latency_us);
  if (report != NULL)
    trust_update (b, entry, raw_us, report);
}

/* Drops the starts that a report made at @made_us must contain. */
static void
unseen_trim (sgr_balancer_entry_t *entry, uint64_t made_us)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  uint64_t one_way_us = entry->info.link_rtt_us / 2;
  uint32_t seen = 0;

  while (seen < estimate->unseen_count && estimate->unseen_us[seen] + one_way_us <= made_us)
    seen++;
  estimate->unseen_count -= seen;
  memmove (estimate->unseen_us, estimate->unseen_us + seen,
           estimate->unseen_count * sizeof estimate->unseen_us[0]);
}

void
sgr_balancer_estimate_report (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                              const sgr_load_report_t *report)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  uint64_t made_us = report->age_us < now_us ? now_us - report->age_us : 0;
  double load = (double)report->in_flight + report->queued;

  if (estimate->has_report && made_us < estimate->reported_us)
    {
      sgr_balancer_event (b, SGR_BALANCER_REPORT_OLD);
      return;
    }
  estimate->has_report = true;
  estimate->reported_us = made_us;
  estimate->reported_load = load;
  if (report->latency_us > 0)
    estimate->reported_latency_us = report->latency_us;
  if (report->cost_percent > 0)
    {
      estimate->reported_cost = report->cost_percent / 100.0;
      if (b->service_cost <= 0)
        b->service_cost = 1;
      b->service_cost += LOAD_GAIN * (estimate->reported_cost - b->service_cost);
    }
  entry->reported_state = report->state;
  unseen_trim (entry, made_us);
  b->service_load
      += LOAD_GAIN * estimate->trust * (fmin (load / entry->info.slots, 2) - b->service_load);
  sgr_balancer_event (b, SGR_BALANCER_REPORT_USED);
}

static double
refusal_rate (const sgr_balancer_estimate_t *estimate, uint64_t now_us)
{
  return estimate->refusal_rate * fade (now_us, estimate->refusal_us, REFUSAL_FADE_US);
}

void
sgr_balancer_estimate_admission (sgr_balancer_entry_t *entry, uint64_t now_us, bool is_refused)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  double rate = refusal_rate (estimate, now_us);

  estimate->refusal_rate = rate + REFUSAL_GAIN * ((is_refused ? 1 : 0) - rate);
  estimate->refusal_us = now_us;
}

void
sgr_balancer_estimate_refused (sgr_balancer_entry_t *entry, uint64_t now_us)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;

  estimate->has_report = true;
  estimate->reported_us = now_us;
  estimate->reported_load = 2.0 * entry->info.slots;
  unseen_trim (entry, now_us);
}

double
sgr_balancer_ramp (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  uint64_t ramp_us = b->options.slow_start_us;
  double share;

  if (ramp_us == 0)
    return 1;
  if (now_us <= entry->ramp_from_us)
    return RAMP_FLOOR;
  share = (double)(now_us - entry->ramp_from_us) / (double)ramp_us;
  return share >= 1 ? 1 : RAMP_FLOOR + (1 - RAMP_FLOOR) * share;
}

/* Time at the target without queueing: own samples, then reports, then the service's average. */
static double
latency_estimate (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double own
      = estimate->own_weight / OWN_WEIGHT_MAX * fade (now_us, estimate->own_us, LATENCY_FADE_US);
  double reported = 0;
  double latency_us;

  if (estimate->has_report && estimate->reported_latency_us > 0)
    reported = estimate->trust * fade (now_us, estimate->reported_us, LATENCY_FADE_US);
  latency_us = (own * estimate->own_latency_us + reported * estimate->reported_latency_us
                + SERVICE_WEIGHT * service_latency (b))
               / (own + reported + SERVICE_WEIGHT);
  if (entry->outstanding > 0)
    {
      /* A target that stalls is known by the age of its outstanding attempts before any ends. */
      double age_us = (double)(int64_t)(now_us * entry->outstanding - entry->started_sum_us)
                      / entry->outstanding;

      latency_us = fmax (latency_us, age_us - entry->info.link_rtt_us);
    }
  return latency_us;
}

/* How much longer than on average work takes that starts at a target when the request has arrived
   there: what the target reported last, less and less with the age of the report. */
static double
cost_factor (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double kept = fade (now_us + entry->info.link_rtt_us / 2, estimate->reported_us, COST_FADE_US);

  if (estimate->reported_cost <= 0 || b->service_cost <= 0)
    return 1;
  return 1 + kept * (estimate->reported_cost / b->service_cost - 1);
}

/* Expectation of max (0, load - slots) for a normally distributed load. */
static double
expected_excess (double excess, double deviation)
{
  double z = excess / deviation;

  if (z > 4)
    return excess;
  if (z < -4)
    return 0;
  return deviation * exp (-z * z / 2) * M_2_SQRTPI * M_SQRT1_2 / 2
         + excess * erfc (-z * M_SQRT1_2) / 2;
}

/* Cost from own attempts alone, without the link: latency times outstanding attempts against the
   average target. */
static double
local_cost (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double own = fmin (1, estimate->own_weight) * fade (now_us, estimate->own_us, LATENCY_FADE_US);
  double latency_us = (own * estimate->slow_latency_us + SERVICE_WEIGHT * service_latency (b))
                      / (own + SERVICE_WEIGHT);

  return latency_us * (entry->outstanding + 1.0)
         / ((double)b->outstanding / (double)b->order_count + 1);
}

sgr_balancer_score_t
sgr_balancer_score (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us,
                    bool is_repeated)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double latency_us = latency_estimate (b, entry, now_us) * cost_factor (b, entry, now_us);
  double usual = b->service_load * entry->info.slots;
  double slots = entry->info.slots;
  double ramp = sgr_balancer_ramp (b, entry, now_us);
  double kept = 0;
  double load;
  double own;
  double variance;
  double wait_us;
  double failures;

  /* Requests leave at the rate of 1 / latency and others arrive at the usual rate: the load
     moves from the reported to the usual one as in an M/M/infinity queue. */
  if (estimate->has_report)
    kept = b->trust
           * fade (now_us + entry->info.link_rtt_us / 2, estimate->reported_us,
                   latency_us * fmax (1, estimate->reported_load / slots));
  load = estimate->reported_load * kept + usual * (1 - kept);
  variance = load - estimate->reported_load * kept * kept;
  /* The report lacks own attempts since it was made, some of which may have finished. The usual
     load contains the usual number of own attempts. */
  own = kept * fmin (estimate->unseen_count, entry->outstanding)
        + (1 - kept) * (entry->outstanding - (double)b->outstanding / (double)b->order_count);
  load = fmax (load + own, entry->outstanding);
  wait_us
      = latency_us / slots
        * expected_excess (load + 1 - slots, fmax (LOAD_DEVIATION_MIN, sqrt (fmax (0, variance))));
  failures = sgr_balancer_error_rate (entry, now_us) * ERROR_COST;
  if (is_repeated)
    failures += refusal_rate (estimate, now_us) * REFUSAL_COST;
  return (sgr_balancer_score_t){
    .cost_us = entry->info.link_rtt_us + b->trust * (latency_us + wait_us)
               + (1 - b->trust) * local_cost (b, entry, now_us) + failures * service_latency (b),
    .is_ramping = ramp < 1,
    /* Slow start makes a target hot earlier. It does not add to the cost: when all targets are hot,
       a cold one that responds faster than the others is the better choice. */
    .is_hot = (b->trust > 0.5 || ramp < 1) && load + 1 > fmax (1, slots * ramp),
  };
}
