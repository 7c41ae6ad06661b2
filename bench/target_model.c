#include "target_model_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Draws the one-way delay of a message between an entry and a gate. */
static uint64_t
link_delay_us (model_t *m, unsigned entry, unsigned target)
{
  double base = entry % MODEL_FAILURE_DOMAIN_COUNT == m->targets[target].domain
                    ? MODEL_LINK_SAME_DOMAIN_DELAY_US
                    : MODEL_LINK_CROSS_DOMAIN_DELAY_US;

  return (
      uint64_t)(base
                * (1 + MODEL_LINK_DELAY_JITTER_SHARE * (2 * sgr_rng_uniform (&m->link_rng) - 1)));
}

/* Returns the index of an unused job. May move the array of jobs. */
static int32_t
job_alloc (model_t *m)
{
  int32_t job = m->first_free_job;

  if (job < 0)
    {
      int32_t size = m->job_capacity == 0 ? 1024 : m->job_capacity * 2;

      m->jobs = realloc (m->jobs, (size_t)size * sizeof *m->jobs);
      sgr_invariant (m->jobs != NULL);
      for (int32_t i = m->job_capacity; i < size; i++)
        m->jobs[i].next = i + 1 < size ? i + 1 : -1;
      job = m->job_capacity;
      m->job_capacity = size;
    }
  m->first_free_job = m->jobs[job].next;
  memset (&m->jobs[job], 0, sizeof m->jobs[job]);
  m->jobs[job].next = -1;
  return job;
}

static void
job_free (model_t *m, int32_t job)
{
  m->jobs[job].next = m->first_free_job;
  m->first_free_job = job;
}

/* Draws a log-normal service time with the mean MODEL_SERVICE_MEAN_US. */
static double
service_time_us_draw (sgr_rng_t *rng)
{
  /* The Box-Muller transform gives a normally distributed n. The mean of exp (sigma n) is
     exp (sigma^2 / 2). Subtracting sigma^2 / 2 from the exponent therefore makes the mean 1. */
  double n = sqrt (-2 * log (1 - sgr_rng_uniform (rng))) * cos (2 * M_PI * sgr_rng_uniform (rng));

  return MODEL_SERVICE_MEAN_US
         * exp (MODEL_SERVICE_LOG_SIGMA * n
                - MODEL_SERVICE_LOG_SIGMA * MODEL_SERVICE_LOG_SIGMA / 2);
}

/* Ends a call. A call that misses its deadline counts as failed. The latency of a failed call is
   recorded as the whole deadline. */
static void
call_end (model_t *m, int32_t job, bool is_failed)
{
  model_job_t *call = &m->jobs[job];
  uint64_t latency_us = m->now_us - call->call_start_us;

  if (latency_us >= MODEL_CALL_DEADLINE_US)
    is_failed = true;
  if (is_failed)
    latency_us = MODEL_CALL_DEADLINE_US;
  if (call->call_start_us >= MODEL_WARM_UP_US)
    {
      m->result->calls++;
      m->result->errors += is_failed;
      if (m->latency_sample_count == m->latency_sample_capacity)
        {
          m->latency_sample_capacity
              = m->latency_sample_capacity == 0 ? 65536 : m->latency_sample_capacity * 2;
          m->latency_samples_us = realloc (
              m->latency_samples_us, m->latency_sample_capacity * sizeof *m->latency_samples_us);
          sgr_invariant (m->latency_samples_us != NULL);
        }
      m->latency_samples_us[m->latency_sample_count++] = (uint32_t)latency_us;
    }
  job_free (m, job);
}

/* Sends the next attempt of a call to the target that the balancer of its entry picks. The call
   fails if no target is eligible. */
static void
attempt_send (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  sgr_balancer_t *b = m->balancers[call->entry];
  sgr_balancer_target_t handle
      = sgr_balancer_pick (b, m->now_us, call->tried_targets, call->attempt_count);

  if (handle == SGR_BALANCER_TARGET_NONE)
    {
      call_end (m, job, true);
      return;
    }
  call->target = (unsigned)sgr_balancer_target_info (b, handle)->node - 1;
  call->tried_targets[call->attempt_count++] = handle;
  call->sent_us = m->now_us;
  sgr_balancer_attempt_start (b, m->now_us, handle);
  if (call->call_start_us >= MODEL_WARM_UP_US)
    {
      const model_target_t *first = &m->targets[0];

      m->result->attempts++;
      m->targets[call->target].attempts++;
      if (m->now_us >= first->fail_from_us && m->now_us < first->fail_to_us)
        {
          m->attempts_while_failing++;
          m->targets[call->target].attempts_while_failing++;
        }
    }
  model_event_push (m, m->now_us + link_delay_us (m, call->entry, call->target),
                    MODEL_EVENT_GATE_ARRIVAL, job);
}

/* Starts a call at a random entry and schedules the arrival of the next call. */
static void
call_arrive (model_t *m)
{
  double rate_per_us
      = m->options.load * m->options.targets * MODEL_SLOTS_PER_TARGET / MODEL_SERVICE_MEAN_US;
  int32_t job = job_alloc (m);
  model_job_t *call = &m->jobs[job];
  double gap_us = -log (1 - sgr_rng_uniform (&m->arrival_rng)) / rate_per_us;

  call->call_start_us = m->now_us;
  call->entry = (unsigned)sgr_rng_below (&m->arrival_rng, m->options.entries);
  call->work_us = service_time_us_draw (&m->arrival_rng);
  if (m->now_us + (uint64_t)gap_us < m->options.duration_us)
    model_event_push (m, m->now_us + (uint64_t)gap_us, MODEL_EVENT_CALL_ARRIVAL, 0);
  attempt_send (m, job);
}

static void
answer_send (model_t *m, int32_t job, sgr_outcome_t outcome, bool is_error)
{
  model_job_t *call = &m->jobs[job];

  call->outcome = outcome;
  call->is_error = is_error;
  call->report = model_load_report (&m->targets[call->target], m->now_us);
  model_event_push (m, m->now_us + link_delay_us (m, call->entry, call->target),
                    MODEL_EVENT_ANSWER_ARRIVAL, job);
}

/* Gives a slot to an attempt or a probe and schedules the end of its service. */
static void
service_start (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  model_target_t *target = &m->targets[call->target];

  while (target->phase_index + 1 < target->phase_count
         && target->phases[target->phase_index + 1].from_us <= m->now_us)
    target->phase_index++;
  target->in_flight++;
  call->service_start_us = m->now_us;
  call->is_error = m->now_us >= target->fail_from_us && m->now_us < target->fail_to_us;
  model_event_push (m,
                    call->is_error ? m->now_us + MODEL_ERROR_ANSWER_TIME_US
                                   : model_service_end_us (target, m->now_us, call->work_us),
                    MODEL_EVENT_SERVICE_END, job);
}

/* Starts, queues or refuses an attempt that arrives at its gate. */
static void
gate_attempt_receive (model_t *m, int32_t job)
{
  model_target_t *target = &m->targets[m->jobs[job].target];

  if (target->state != SGR_TARGET_SERVING || target->queued >= MODEL_GATE_QUEUE_MAX)
    {
      answer_send (m, job, SGR_OUTCOME_NOT_RUN, false);
      return;
    }
  if (target->in_flight < MODEL_SLOTS_PER_TARGET)
    {
      service_start (m, job);
      return;
    }
  target->queued++;
  m->jobs[job].next = -1;
  if (target->queue_tail >= 0)
    m->jobs[target->queue_tail].next = job;
  else
    target->queue_head = job;
  target->queue_tail = job;
}

/* Starts queued attempts while slots are free; refuses those whose deadline has passed. */
static void
queue_dispatch (model_t *m, model_target_t *target)
{
  while (target->in_flight < MODEL_SLOTS_PER_TARGET && target->queue_head >= 0)
    {
      int32_t job = target->queue_head;

      target->queue_head = m->jobs[job].next;
      if (target->queue_head < 0)
        target->queue_tail = -1;
      target->queued--;
      if (m->now_us - m->jobs[job].call_start_us >= MODEL_CALL_DEADLINE_US)
        answer_send (m, job, SGR_OUTCOME_NOT_RUN, false);
      else
        service_start (m, job);
    }
}

static void
latency_record (model_target_t *target, uint64_t latency_us)
{
  target->latencies_us[target->latency_count++ % MODEL_REPORT_LATENCY_SAMPLES]
      = (uint32_t)latency_us;
}

/* Ends a probe and sends the new load report to every entry. The load report takes only the link
   delay, because the connections to the entries are already open. */
static void
probe_finish (model_t *m, int32_t job)
{
  unsigned index = m->jobs[job].target;
  model_target_t *target = &m->targets[index];
  uint64_t took_us = m->now_us - m->jobs[job].service_start_us;
  sgr_load_report_t report;

  target->in_flight--;
  m->probe_slot_time_us += (double)took_us;
  sgr_probe_budget_release (&target->probe_budget, m->now_us, m->jobs[job].probe_handle);
  /* Converts the duration of the probe to the median service time of calls that it stands for,
     because load reports hold this median. Probes have the service time MODEL_PROBE_SERVICE_US at
     full speed, and calls a mean of MODEL_SERVICE_MEAN_US. */
  latency_record (target,
                  (uint64_t)((double)took_us * MODEL_SERVICE_MEAN_US / MODEL_PROBE_SERVICE_US
                             * exp (-MODEL_SERVICE_LOG_SIGMA * MODEL_SERVICE_LOG_SIGMA / 2)));
  job_free (m, job);
  queue_dispatch (m, target);
  report = model_load_report (target, m->now_us);
  for (unsigned entry = 0; entry < m->options.entries; entry++)
    {
      int32_t message = job_alloc (m);

      m->jobs[message].entry = entry;
      m->jobs[message].target = index;
      m->jobs[message].report = report;
      model_event_push (m, m->now_us + link_delay_us (m, entry, index), MODEL_EVENT_REPORT_ARRIVAL,
                        message);
    }
}

static void
service_finish (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  model_target_t *target = &m->targets[call->target];

  if (call->call_start_us == MODEL_PROBE_CALL_START_US)
    {
      probe_finish (m, job);
      return;
    }
  target->in_flight--;
  if (!call->is_error)
    latency_record (target, m->now_us - call->service_start_us);
  answer_send (m, job, SGR_OUTCOME_COMPLETE, call->is_error);
  queue_dispatch (m, target);
}

/* Reports the outcome of an attempt to the balancer. If the target did not run the attempt, sends
   the next attempt of the call unless the deadline has passed or all attempts are used up. */
static void
entry_answer_receive (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  uint64_t latency_us = m->now_us - call->sent_us;
  bool is_late = m->now_us - call->call_start_us >= MODEL_CALL_DEADLINE_US;

  /* Adds the link delay to the age of the load report. */
  call->report.age_us
      += (call->entry % MODEL_FAILURE_DOMAIN_COUNT == m->targets[call->target].domain
              ? MODEL_LINK_SAME_DOMAIN_DELAY_US
              : MODEL_LINK_CROSS_DOMAIN_DELAY_US);
  sgr_balancer_attempt_finish (
      m->balancers[call->entry], m->now_us, call->tried_targets[call->attempt_count - 1],
      call->outcome, latency_us,
      call->is_error || (is_late && call->outcome == SGR_OUTCOME_COMPLETE), &call->report);
  if (call->outcome == SGR_OUTCOME_NOT_RUN && !is_late
      && call->attempt_count < MODEL_ATTEMPTS_PER_CALL_MAX)
    attempt_send (m, job);
  else
    call_end (m, job, call->is_error || call->outcome == SGR_OUTCOME_NOT_RUN);
}

/* Sends a probe if a slot is free and the probe budget allows it. Then schedules the time of
   the next try. */
static void
probe_try (model_t *m, int32_t index)
{
  model_target_t *target = &m->targets[index];
  uint64_t interval_us = SGR_USEC_PER_SEC / target->probe_budget.share_calls;
  uint64_t next_us = 0;
  uint32_t probe_handle;

  if (m->now_us >= m->options.duration_us)
    return;
  if (target->in_flight < MODEL_SLOTS_PER_TARGET
      && sgr_probe_budget_reserve (&target->probe_budget, m->now_us, MODEL_PROBE_BUDGET_BYTES,
                                   &probe_handle)
             == SGR_OK)
    {
      int32_t job = job_alloc (m);

      m->jobs[job].call_start_us = MODEL_PROBE_CALL_START_US;
      m->jobs[job].target = (unsigned)index;
      m->jobs[job].work_us = MODEL_PROBE_SERVICE_US;
      m->jobs[job].probe_handle = probe_handle;
      m->result->probes++;
      service_start (m, job);
    }
  else
    next_us = sgr_probe_budget_next_us (&target->probe_budget, m->now_us, MODEL_PROBE_BUDGET_BYTES);
  if (next_us <= m->now_us || next_us == UINT64_MAX)
    next_us = m->now_us + interval_us;
  model_event_push (m, next_us, MODEL_EVENT_PROBE_DUE, index);
}

static void
entry_report_receive (model_t *m, int32_t job)
{
  model_job_t *message = &m->jobs[job];

  /* Adds the link delay to the age of the load report. */
  message->report.age_us
      += (message->entry % MODEL_FAILURE_DOMAIN_COUNT == m->targets[message->target].domain
              ? MODEL_LINK_SAME_DOMAIN_DELAY_US
              : MODEL_LINK_CROSS_DOMAIN_DELAY_US);
  sgr_balancer_report_update (m->balancers[message->entry], m->now_us,
                              m->handles[message->entry][message->target], &message->report);
  job_free (m, job);
}

/* Returns what an entry knows of a target from the membership. The node id of a target is its index
   plus one. */
static sgr_balancer_target_info_t
target_info (const model_t *m, unsigned entry, unsigned index)
{
  const model_target_t *target = &m->targets[index];
  bool is_local = entry % MODEL_FAILURE_DOMAIN_COUNT == target->domain;
  sgr_balancer_target_info_t info = {
    .node = index + 1,
    .slots = MODEL_SLOTS_PER_TARGET,
    .link_rtt_us
    = 2 * (is_local ? MODEL_LINK_SAME_DOMAIN_DELAY_US : MODEL_LINK_CROSS_DOMAIN_DELAY_US),
    .state = target->state,
    .serving_since_us = target->serving_since_us,
  };

  snprintf (info.failure_domain, sizeof info.failure_domain, "domain-%u", target->domain);
  return info;
}

/* Handles MODEL_EVENT_TARGET_REPLACE. Begins to drain a target that serves, and
   MODEL_DRAIN_TO_SUCCESSOR_US later starts its successor. */
static void
target_replace (model_t *m, int32_t index)
{
  model_target_t *target = &m->targets[index];

  if (target->state == SGR_TARGET_SERVING)
    {
      target->state = SGR_TARGET_DRAINING;
      model_event_push (m, m->now_us + MODEL_DRAIN_TO_SUCCESSOR_US, MODEL_EVENT_TARGET_REPLACE,
                        index);
    }
  else
    {
      target->state = SGR_TARGET_SERVING;
      target->serving_since_us = m->now_us;
    }
  model_event_push (m, m->now_us + MODEL_MEMBERSHIP_DELAY_US, MODEL_EVENT_MEMBERSHIP_UPDATE, index);
}

/* Updates the balancers of all entries with the state of a target. */
static void
entries_target_update (model_t *m, int32_t index)
{
  for (unsigned entry = 0; entry < m->options.entries; entry++)
    {
      sgr_balancer_target_info_t info = target_info (m, entry, (unsigned)index);

      sgr_balancer_target_update (m->balancers[entry], m->now_us, m->handles[entry][index], &info);
    }
}

static void
model_init (model_t *m)
{
  sgr_probe_budget_config_t budget = {
    .calls_per_s = m->options.probe_calls_per_s,
    .bytes_per_s = m->options.probe_calls_per_s * MODEL_PROBE_BUDGET_BYTES,
    .targets_max = m->options.targets,
    .window_us = SGR_USEC_PER_SEC,
  };

  sgr_rng_seed (&m->arrival_rng, m->options.seed);
  sgr_rng_seed (&m->link_rng, m->options.seed + 1);
  m->first_free_job = -1;
  for (unsigned i = 0; i < m->options.targets; i++)
    {
      m->targets[i].domain = i % MODEL_FAILURE_DOMAIN_COUNT;
      m->targets[i].state = SGR_TARGET_SERVING;
      m->targets[i].queue_head = -1;
      m->targets[i].queue_tail = -1;
      sgr_probe_budget_init (&m->targets[i].probe_budget, &budget, 0);
      if (m->targets[i].probe_budget.share_calls > 0)
        model_event_push (m, i * SGR_USEC_PER_SEC / m->options.targets, MODEL_EVENT_PROBE_DUE,
                          (int32_t)i);
    }
  for (unsigned entry = 0; entry < m->options.entries; entry++)
    {
      sgr_balancer_options_t options = {
        .policy = m->options.policy,
        .seed = m->options.seed * 1000 + entry,
        .slow_start_us = 10 * SGR_USEC_PER_SEC,
        .eject_percent = 34,
      };

      m->balancers[entry] = sgr_balancer_create (&options);
      sgr_invariant (m->balancers[entry] != NULL);
      for (unsigned i = 0; i < m->options.targets; i++)
        {
          sgr_balancer_target_info_t info = target_info (m, entry, i);
          sgr_result_t added
              = sgr_balancer_target_add (m->balancers[entry], 0, &info, &m->handles[entry][i]);

          sgr_invariant (added == SGR_OK);
        }
    }
  model_case_init (m);
  model_event_push (m, 0, MODEL_EVENT_CALL_ARRIVAL, 0);
}

static void
event_handle (model_t *m, const model_event_t *event)
{
  m->now_us = event->at_us;
  switch (event->kind)
    {
    case MODEL_EVENT_CALL_ARRIVAL:
      call_arrive (m);
      break;
    case MODEL_EVENT_GATE_ARRIVAL:
      gate_attempt_receive (m, event->subject_index);
      break;
    case MODEL_EVENT_SERVICE_END:
      service_finish (m, event->subject_index);
      break;
    case MODEL_EVENT_ANSWER_ARRIVAL:
      entry_answer_receive (m, event->subject_index);
      break;
    case MODEL_EVENT_PROBE_DUE:
      probe_try (m, event->subject_index);
      break;
    case MODEL_EVENT_REPORT_ARRIVAL:
      entry_report_receive (m, event->subject_index);
      break;
    case MODEL_EVENT_TARGET_REPLACE:
      target_replace (m, event->subject_index);
      break;
    case MODEL_EVENT_MEMBERSHIP_UPDATE:
      entries_target_update (m, event->subject_index);
      break;
    }
}

static int
sample_compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

/* Returns a quantile of the sorted latency samples. */
static double
latency_quantile (const model_t *m, double share)
{
  return m->latency_samples_us[(size_t)((double)m->latency_sample_count * share)];
}

static void
result_fill (model_t *m)
{
  target_model_result_t *result = m->result;

  qsort (m->latency_samples_us, m->latency_sample_count, sizeof *m->latency_samples_us,
         sample_compare);
  result->p50_us = latency_quantile (m, 0.5);
  result->p99_us = latency_quantile (m, 0.99);
  result->p999_us = latency_quantile (m, 0.999);
  for (unsigned i = 0; i < m->options.targets; i++)
    result->relative_share[i]
        = (double)(m->targets[i].attempts * m->options.targets) / (double)result->attempts;
  result->first_target_share = result->relative_share[0];
  if (m->attempts_while_failing > 0)
    result->first_target_share = (double)(m->targets[0].attempts_while_failing * m->options.targets)
                                 / (double)m->attempts_while_failing;
  result->probe_slot_share
      = m->probe_slot_time_us
        / ((double)m->options.duration_us * MODEL_SLOTS_PER_TARGET * m->options.targets);
}

void
target_model_run (const target_model_options_t *options, target_model_result_t *result)
{
  model_t *m = calloc (1, sizeof *m);
  model_event_t event;

  sgr_invariant (m != NULL);
  sgr_invariant (options->targets <= TARGET_MODEL_TARGETS_MAX
                 && options->entries <= TARGET_MODEL_ENTRIES_MAX);
  memset (result, 0, sizeof *result);
  m->options = *options;
  m->result = result;
  model_init (m);
  while (model_event_pop (m, &event))
    event_handle (m, &event);
  result_fill (m);
  for (unsigned entry = 0; entry < options->entries; entry++)
    sgr_balancer_destroy (m->balancers[entry]);
  free (m->latency_samples_us);
  free (m->jobs);
  free (m->event_heap);
  free (m);
}
