#include "balancer_internal.h"

#include <math.h>
#include <string.h>

/* Each ..._GAIN is the weight of a new value in an exponential moving average. Each ..._DECAY_US is
   the time constant of an exponential decay: a value loses weight as it ages. "Own" attempts are
   those of this node. */

/* Latency assumed before the first own attempt at any target finishes. */
#define LATENCY_DEFAULT_US 10000.0
#define OWN_LATENCY_GAIN 0.125
#define SERVICE_LATENCY_GAIN (OWN_LATENCY_GAIN / 4)
/* Gain of a target's long-term latency, which is used when the report confidence is low. It
   includes the wait in the gate's queue, which all nodes observe with a delay. With a higher gain,
   the choices of the nodes oscillate. */
#define LONG_TERM_LATENCY_GAIN (1.0 / 64)
/* The average of this many own attempts has the same weight as a fresh report. */
#define OWN_SAMPLE_WEIGHT_MAX 8.0
/* Decay of the weight of a target's measured latency while there are no new attempts or reports. */
#define LATENCY_DECAY_US 6e5
/* Weight of the service's average latency, relative to that of a full average of own attempts. */
#define SERVICE_LATENCY_WEIGHT 0.1
/* Gain of the service's average load and average slowdown. */
#define SERVICE_LOAD_GAIN (1.0 / 32)
/* Largest value with which one reported load enters the service's average load, as a share of the
   target's slots. */
#define REPORT_LOAD_SHARE_MAX 2
/* Load assumed after a refusal without a report, as a share of the target's slots. */
#define REFUSED_LOAD_SHARE 2.0
/* Decay of a reported slowdown: other work on the target's host changes within about this time. */
#define SLOWDOWN_DECAY_US 1e6
/* Share of the slots that a target may use when its slow start begins. */
#define SLOW_START_SHARE_MIN 0.1
/* Cost of an error to the caller, as a multiple of the service's average latency. */
#define ERROR_COST_LATENCIES 20.0
/* Cost of a refusal to the caller, as a multiple of the service's average latency. It applies to
   retries and hedges only, because the next attempt may be the last one allowed. */
#define REFUSAL_COST_LATENCIES 30.0
#define REFUSAL_RATE_GAIN 0.125
/* Decay of a refusal rate: a full queue changes within about this time. */
#define REFUSAL_RATE_DECAY_US 2e5
/* Lower bound of the standard deviation of a load estimate, requests. */
#define LOAD_DEVIATION_MIN 0.5
/* Beyond this many standard deviations the tail of the normal distribution is neglected. */
#define NORMAL_TAIL_Z 4
/* Own attempts contradict the reports of a target if their average latency and the latency
   predicted from the reports differ by more than this factor. */
#define CONTRADICTION_FACTOR 2.5
#define REPORT_CONFIDENCE_GAIN 0.125
/* A target is hot if one more request would exceed the slots that it may use. At or below this
   report confidence, only targets in slow start can be hot. */
#define HOT_REPORT_CONFIDENCE_MIN 0.5

void
sgr_balancer_estimate_init (sgr_balancer_estimate_t *estimate)
{
  memset (estimate, 0, sizeof *estimate);
  estimate->report_confidence = 1;
}

/* Returns the remaining weight, 0 to 1, of a value recorded at @then_us. */
static double
exponential_decay (uint64_t now_us, uint64_t then_us, double constant_us)
{
  return now_us <= then_us ? 1 : exp (-(double)(now_us - then_us) / constant_us);
}

static double
service_latency_or_default (const sgr_balancer_t *b)
{
  return b->service_latency_us > 0 ? b->service_latency_us : LATENCY_DEFAULT_US;
}

void
sgr_balancer_estimate_attempt_start (sgr_balancer_entry_t *entry, uint64_t now_us)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;

  if (estimate->unreported_count < SGR_BALANCER_UNREPORTED_STARTS_MAX)
    estimate->unreported_start_us[estimate->unreported_count++] = now_us;
}

/* Lowers the confidence in a target's reports if own attempts show a much higher or lower latency,
   or more requests in flight, than the reports do; raises it otherwise. @response_us is the latency
   of an own attempt without the network round trip. */
static void
report_confidence_update (sgr_balancer_t *b, sgr_balancer_entry_t *entry, double response_us,
                          const sgr_load_report_t *report)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  double load = (double)report->in_flight + report->queued;
  double predicted_us = report->latency_us * fmax (1, (load + 1) / entry->info.slots);
  bool is_contradicted;

  if (report->latency_us == 0)
    return;
  if (estimate->predicted_latency_us <= 0)
    {
      estimate->observed_latency_us = response_us;
      estimate->predicted_latency_us = predicted_us;
    }
  estimate->observed_latency_us += OWN_LATENCY_GAIN * (response_us - estimate->observed_latency_us);
  estimate->predicted_latency_us
      += OWN_LATENCY_GAIN * (predicted_us - estimate->predicted_latency_us);
  is_contradicted
      = estimate->observed_latency_us > CONTRADICTION_FACTOR * estimate->predicted_latency_us
        || estimate->predicted_latency_us > CONTRADICTION_FACTOR * estimate->observed_latency_us
        || entry->outstanding > load + estimate->unreported_count + 1;
  if (is_contradicted)
    sgr_balancer_event_record (b, SGR_BALANCER_REPORT_CONTRADICTED);
  estimate->report_confidence
      += REPORT_CONFIDENCE_GAIN * ((is_contradicted ? 0 : 1) - estimate->report_confidence);
  /* Apply the lowest confidence to all targets. A target without reliable reports is assumed to
     have the average load. Reported loads vary, so the lowest of several reported loads is nearly
     always below the average, and the target without reliable reports would hardly be chosen. */
  b->report_confidence = 1;
  for (size_t i = 0; i < b->target_count; i++)
    b->report_confidence
        = fmin (b->report_confidence, b->entries[b->used_indexes[i]].estimate.report_confidence);
}

void
sgr_balancer_estimate_sample_add (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                                  uint64_t latency_us, bool is_complete,
                                  const sgr_load_report_t *report)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  double link_us = entry->info.link_rtt_us;
  double response_us = fmax (1, (double)latency_us - link_us);
  double sample_us = response_us;
  double retained = exponential_decay (now_us, estimate->own_sample_time_us, LATENCY_DECAY_US);
  double gain = fmax (OWN_LATENCY_GAIN, 1 - retained);

  /* Ignore an attempt without a complete answer if it was shorter than the known latency: the
     duration of such an attempt is only a lower bound of its latency. */
  if (!is_complete && sample_us < fmax (estimate->own_latency_us, service_latency_or_default (b)))
    return;
  /* Removes the time in the gate's queue, estimated from the queue's length. */
  if (report != NULL && report->queued > 0)
    sample_us *= (double)entry->info.slots / (entry->info.slots + report->queued);
  /* The first sample sets the averages. Later, @gain grows with the time since the last sample, so
     that the averages adapt faster after a pause. */
  if (estimate->own_sample_weight < 1)
    gain = 1;
  estimate->own_long_term_latency_us += (gain > OWN_LATENCY_GAIN ? gain : LONG_TERM_LATENCY_GAIN)
                                        * (response_us - estimate->own_long_term_latency_us);
  estimate->own_latency_us += gain * (sample_us - estimate->own_latency_us);
  estimate->own_sample_weight
      = fmin (OWN_SAMPLE_WEIGHT_MAX, estimate->own_sample_weight * retained + 1);
  estimate->own_sample_time_us = now_us;
  if (!is_complete)
    return;
  if (b->service_latency_us <= 0)
    b->service_latency_us = sample_us;
  b->service_latency_us += SERVICE_LATENCY_GAIN * (sample_us - b->service_latency_us);
  if (report != NULL)
    report_confidence_update (b, entry, response_us, report);
}

/* Discards the start times of the attempts that reached the gate by @made_us: a report made then
   includes them. */
static void
unreported_starts_discard (sgr_balancer_entry_t *entry, uint64_t made_us)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  uint64_t one_way_us = entry->info.link_rtt_us / 2;
  uint32_t reported_count = 0;

  while (reported_count < estimate->unreported_count
         && estimate->unreported_start_us[reported_count] + one_way_us <= made_us)
    reported_count++;
  estimate->unreported_count -= reported_count;
  memmove (estimate->unreported_start_us, estimate->unreported_start_us + reported_count,
           estimate->unreported_count * sizeof estimate->unreported_start_us[0]);
}

void
sgr_balancer_estimate_report_apply (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us,
                                    const sgr_load_report_t *report)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  uint64_t made_us = report->age_us < now_us ? now_us - report->age_us : 0;
  double load = (double)report->in_flight + report->queued;

  if (estimate->has_report && made_us < estimate->report_made_us)
    {
      sgr_balancer_event_record (b, SGR_BALANCER_REPORT_OLD);
      return;
    }
  estimate->has_report = true;
  estimate->report_made_us = made_us;
  estimate->reported_load = load;
  if (report->latency_us > 0)
    estimate->reported_latency_us = report->latency_us;
  if (report->cost_percent > 0)
    {
      estimate->reported_slowdown = report->cost_percent / 100.0;
      if (b->service_slowdown <= 0)
        b->service_slowdown = 1;
      b->service_slowdown
          += SERVICE_LOAD_GAIN * (estimate->reported_slowdown - b->service_slowdown);
    }
  entry->reported_state = report->state;
  sgr_balancer_cold_report_apply (entry, report);
  unreported_starts_discard (entry, made_us);
  b->service_load += SERVICE_LOAD_GAIN * estimate->report_confidence
                     * (fmin (load / entry->info.slots, REPORT_LOAD_SHARE_MAX) - b->service_load);
  sgr_balancer_event_record (b, SGR_BALANCER_REPORT_USED);
}

/* Returns the refusal rate after the decay since its last change. */
static double
refusal_rate (const sgr_balancer_estimate_t *estimate, uint64_t now_us)
{
  return estimate->refusal_rate
         * exponential_decay (now_us, estimate->refusal_rate_time_us, REFUSAL_RATE_DECAY_US);
}

void
sgr_balancer_estimate_admission_record (sgr_balancer_entry_t *entry, uint64_t now_us,
                                        bool is_refused)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;
  double rate = refusal_rate (estimate, now_us);

  estimate->refusal_rate = rate + REFUSAL_RATE_GAIN * ((is_refused ? 1 : 0) - rate);
  estimate->refusal_rate_time_us = now_us;
}

void
sgr_balancer_estimate_refusal_apply (sgr_balancer_entry_t *entry, uint64_t now_us)
{
  sgr_balancer_estimate_t *estimate = &entry->estimate;

  estimate->has_report = true;
  estimate->report_made_us = now_us;
  estimate->reported_load = REFUSED_LOAD_SHARE * entry->info.slots;
  unreported_starts_discard (entry, now_us);
}

double
sgr_balancer_slow_start_share (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry,
                               uint64_t now_us)
{
  uint64_t slow_start_us = b->options.slow_start_us;
  double share;

  if (slow_start_us == 0)
    return 1;
  if (now_us <= entry->slow_start_begin_us)
    return SLOW_START_SHARE_MIN;
  share = (double)(now_us - entry->slow_start_begin_us) / (double)slow_start_us;
  return share >= 1 ? 1 : SLOW_START_SHARE_MIN + (1 - SLOW_START_SHARE_MIN) * share;
}

/* Estimates the latency of a target without link and queueing: the average of own attempts, reports
   and the service's average, weighted by their number and age. */
static double
latency_estimate (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double own_weight = estimate->own_sample_weight / OWN_SAMPLE_WEIGHT_MAX
                      * exponential_decay (now_us, estimate->own_sample_time_us, LATENCY_DECAY_US);
  double report_weight = 0;
  double latency_us;

  if (estimate->has_report && estimate->reported_latency_us > 0)
    report_weight = estimate->report_confidence
                    * exponential_decay (now_us, estimate->report_made_us, LATENCY_DECAY_US);
  latency_us
      = (own_weight * estimate->own_latency_us + report_weight * estimate->reported_latency_us
         + SERVICE_LATENCY_WEIGHT * service_latency_or_default (b))
        / (own_weight + report_weight + SERVICE_LATENCY_WEIGHT);
  if (entry->outstanding > 0)
    {
      /* The average age of the outstanding attempts shows that a target stalls before any of them
         finishes. */
      double age_us = (double)(int64_t)(now_us * entry->outstanding - entry->start_times_sum_us)
                      / entry->outstanding;

      latency_us = fmax (latency_us, age_us - entry->info.link_rtt_us);
    }
  return latency_us;
}

/* Returns the expected time of a request at this target as a multiple of the service's average, for
   the moment when the request arrives there. The reported slowdown loses weight with the age of the
   report. */
static double
slowdown_factor (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double retained = exponential_decay (now_us + entry->info.link_rtt_us / 2,
                                       estimate->report_made_us, SLOWDOWN_DECAY_US);

  if (estimate->reported_slowdown <= 0 || b->service_slowdown <= 0)
    return 1;
  return 1 + retained * (estimate->reported_slowdown / b->service_slowdown - 1);
}

/* Returns the expected number of requests that wait for a slot. The load minus the slots is
   normally distributed with mean @excess; the result is the expected value of its positive part. */
static double
expected_waiting_requests (double excess, double deviation)
{
  double z = excess / deviation;

  if (z > NORMAL_TAIL_Z)
    return excess;
  if (z < -NORMAL_TAIL_Z)
    return 0;
  /* The sum is deviation * density (z) + excess * distribution (z).
     M_2_SQRTPI * M_SQRT1_2 / 2 equals 1 / sqrt (2 pi). */
  return deviation * exp (-z * z / 2) * M_2_SQRTPI * M_SQRT1_2 / 2
         + excess * erfc (-z * M_SQRT1_2) / 2;
}

/* Cost without the network round trip, computed from own attempts alone; used when the report
   confidence is low. It is the long-term latency times the ratio of the own outstanding attempts at
   this target to the average number per target. */
static double
own_attempts_cost (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double own_weight = fmin (1, estimate->own_sample_weight)
                      * exponential_decay (now_us, estimate->own_sample_time_us, LATENCY_DECAY_US);
  double latency_us = (own_weight * estimate->own_long_term_latency_us
                       + SERVICE_LATENCY_WEIGHT * service_latency_or_default (b))
                      / (own_weight + SERVICE_LATENCY_WEIGHT);

  return latency_us * (entry->outstanding + 1.0)
         / ((double)b->outstanding / (double)b->target_count + 1);
}

sgr_balancer_score_t
sgr_balancer_score (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us,
                    bool is_later_attempt)
{
  const sgr_balancer_estimate_t *estimate = &entry->estimate;
  double latency_us = latency_estimate (b, entry, now_us) * slowdown_factor (b, entry, now_us);
  double usual_load = b->service_load * entry->info.slots;
  double slots = entry->info.slots;
  double slow_start_share = sgr_balancer_slow_start_share (b, entry, now_us);
  double report_weight = 0;
  double load;
  double own_attempts;
  double variance;
  double wait_us;
  double failure_cost;

  /* The load moves from the reported to the service's usual load as in an M/M/infinity queue: each
     reported request finishes at the rate 1 / latency, and others arrive at the usual rate. */
  if (estimate->has_report)
    report_weight
        = b->report_confidence
          * exponential_decay (now_us + entry->info.link_rtt_us / 2, estimate->report_made_us,
                               latency_us * fmax (1, estimate->reported_load / slots));
  load = estimate->reported_load * report_weight + usual_load * (1 - report_weight);
  variance = load - estimate->reported_load * report_weight * report_weight;
  /* Add the own attempts that the load does not include. The reported load lacks the attempts that
     started after the report was made; at most the outstanding ones of them still run. The usual
     load includes the average number of own attempts per target, so add only the difference from
     that average. */
  own_attempts = report_weight * fmin (estimate->unreported_count, entry->outstanding)
                 + (1 - report_weight)
                       * (entry->outstanding - (double)b->outstanding / (double)b->target_count);
  load = fmax (load + own_attempts, entry->outstanding);
  wait_us = latency_us / slots
            * expected_waiting_requests (load + 1 - slots,
                                         fmax (LOAD_DEVIATION_MIN, sqrt (fmax (0, variance))));
  failure_cost = sgr_balancer_error_rate (entry, now_us) * ERROR_COST_LATENCIES;
  if (is_later_attempt)
    failure_cost += refusal_rate (estimate, now_us) * REFUSAL_COST_LATENCIES;
  return (sgr_balancer_score_t){
    .cost_us = entry->info.link_rtt_us + b->report_confidence * (latency_us + wait_us)
               + (1 - b->report_confidence) * own_attempts_cost (b, entry, now_us)
               + failure_cost * service_latency_or_default (b),
    .is_in_slow_start = slow_start_share < 1,
    /* In slow start a target is hot with fewer requests. Slow start does not raise the cost: when
       all targets are hot, a recently started one that responds faster is the better choice. */
    .is_hot = (b->report_confidence > HOT_REPORT_CONFIDENCE_MIN || slow_start_share < 1)
              && load + 1 > fmax (1, slots * slow_start_share),
  };
}
