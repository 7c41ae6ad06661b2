#include "target_model_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t
link_us (model_t *m, unsigned entry, unsigned target)
{
  double base = entry % MODEL_DOMAINS == m->targets[target].domain ? MODEL_LINK_LOCAL_US
                                                                   : MODEL_LINK_FAR_US;

  return (uint64_t)(base * (1 + MODEL_LINK_JITTER * (2 * sgr_rng_unit (&m->links) - 1)));
}

static int32_t
job_take (model_t *m)
{
  int32_t job = m->jobs_free;

  if (job < 0)
    {
      int32_t size = m->jobs_size == 0 ? 1024 : m->jobs_size * 2;

      m->jobs = realloc (m->jobs, (size_t)size * sizeof *m->jobs);
      sgr_invariant (m->jobs != NULL);
      for (int32_t i = m->jobs_size; i < size; i++)
        m->jobs[i].next = i + 1 < size ? i + 1 : -1;
      job = m->jobs_size;
      m->jobs_size = size;
    }
  m->jobs_free = m->jobs[job].next;
  memset (&m->jobs[job], 0, sizeof m->jobs[job]);
  m->jobs[job].next = -1;
  return job;
}

static void
job_free (model_t *m, int32_t job)
{
  m->jobs[job].next = m->jobs_free;
  m->jobs_free = job;
}

static double
work_draw (sgr_rng_t *rng)
{
  /* Box-Muller; the mean of exp (sigma n) is exp (sigma^2 / 2). */
  double n = sqrt (-2 * log (1 - sgr_rng_unit (rng))) * cos (2 * M_PI * sgr_rng_unit (rng));

  return MODEL_SERVICE_MEAN_US
         * exp (MODEL_SERVICE_SIGMA * n - MODEL_SERVICE_SIGMA * MODEL_SERVICE_SIGMA / 2);
}

static void
call_end (model_t *m, int32_t job, bool is_failed)
{
  model_job_t *call = &m->jobs[job];
  uint64_t latency_us = m->now_us - call->call_start_us;

  if (latency_us >= MODEL_DEADLINE_US)
    is_failed = true;
  if (is_failed)
    latency_us = MODEL_DEADLINE_US;
  if (call->call_start_us >= MODEL_WARM_UP_US)
    {
      m->result->calls++;
      m->result->errors += is_failed;
      if (m->sample_count == m->sample_size)
        {
          m->sample_size = m->sample_size == 0 ? 65536 : m->sample_size * 2;
          m->samples = realloc (m->samples, m->sample_size * sizeof *m->samples);
          sgr_invariant (m->samples != NULL);
        }
      m->samples[m->sample_count++] = (uint32_t)latency_us;
    }
  job_free (m, job);
}

static void
attempt_send (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  sgr_balancer_t *b = m->balancers[call->entry];
  sgr_balancer_target_t handle = sgr_balancer_pick (b, m->now_us, call->tried, call->attempt);

  if (handle == SGR_BALANCER_TARGET_NONE)
    {
      call_end (m, job, true);
      return;
    }
  call->target = (unsigned)sgr_balancer_target_info (b, handle)->node - 1;
  call->tried[call->attempt++] = handle;
  call->sent_us = m->now_us;
  sgr_balancer_attempt_start (b, m->now_us, handle);
  if (call->call_start_us >= MODEL_WARM_UP_US)
    {
      const model_target_t *first = &m->targets[0];

      m->result->attempts++;
      m->targets[call->target].attempts++;
      if (m->now_us >= first->fail_from_us && m->now_us < first->fail_to_us)
        {
          m->attempts_failing++;
          m->targets[call->target].attempts_failing++;
        }
    }
  model_event_push (m, m->now_us + link_us (m, call->entry, call->target), MODEL_AT_GATE, job);
}

static void
arrival (model_t *m)
{
  double rate_per_us = m->options.load * m->options.targets * MODEL_SLOTS / MODEL_SERVICE_MEAN_US;
  int32_t job = job_take (m);
  model_job_t *call = &m->jobs[job];
  double gap_us = -log (1 - sgr_rng_unit (&m->arrivals)) / rate_per_us;

  call->call_start_us = m->now_us;
  call->entry = (unsigned)sgr_rng_below (&m->arrivals, m->options.entries);
  call->work_us = work_draw (&m->arrivals);
  if (m->now_us + (uint64_t)gap_us < m->options.duration_us)
    model_event_push (m, m->now_us + (uint64_t)gap_us, MODEL_ARRIVAL, 0);
  attempt_send (m, job);
}

static void
respond (model_t *m, int32_t job, sgr_outcome_t outcome, bool is_error)
{
  model_job_t *call = &m->jobs[job];

  call->outcome = outcome;
  call->is_error = is_error;
  call->report = model_report (&m->targets[call->target], m->now_us);
  model_event_push (m, m->now_us + link_us (m, call->entry, call->target), MODEL_RESPONSE, job);
}

static void
service_start (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  model_target_t *target = &m->targets[call->target];

  while (target->phase + 1 < target->phase_count
         && target->phases[target->phase + 1].from_us <= m->now_us)
    target->phase++;
  target->in_flight++;
  call->service_start_us = m->now_us;
  call->is_error = m->now_us >= target->fail_from_us && m->now_us < target->fail_to_us;
  model_event_push (m,
                    call->is_error ? m->now_us + MODEL_FAIL_LATENCY_US
                                   : model_work_end (target, m->now_us, call->work_us),
                    MODEL_DONE, job);
}

static void
at_gate (model_t *m, int32_t job)
{
  model_target_t *target = &m->targets[m->jobs[job].target];

  if (target->state != SGR_TARGET_SERVING || target->queued >= MODEL_QUEUE_MAX)
    {
      respond (m, job, SGR_OUTCOME_NOT_RUN, false);
      return;
    }
  if (target->in_flight < MODEL_SLOTS)
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

/* Starts queued work while slots are free; work past its deadline is refused instead. */
static void
queue_run (model_t *m, model_target_t *target)
{
  while (target->in_flight < MODEL_SLOTS && target->queue_head >= 0)
    {
      int32_t job = target->queue_head;

      target->queue_head = m->jobs[job].next;
      if (target->queue_head < 0)
        target->queue_tail = -1;
      target->queued--;
      if (m->now_us - m->jobs[job].call_start_us >= MODEL_DEADLINE_US)
        respond (m, job, SGR_OUTCOME_NOT_RUN, false);
      else
        service_start (m, job);
    }
}

static void
latency_note (model_target_t *target, uint64_t latency_us)
{
  target->latencies[target->latency_count++ % MODEL_LATENCY_RING] = (uint32_t)latency_us;
}

/* A probe's result reaches every entry over the connections that are open anyway. */
static void
probe_done (model_t *m, int32_t job)
{
  unsigned index = m->jobs[job].target;
  model_target_t *target = &m->targets[index];
  uint64_t took_us = m->now_us - m->jobs[job].service_start_us;
  sgr_load_report_t report;

  target->in_flight--;
  m->probe_time_us += (double)took_us;
  sgr_probe_budget_release (&target->budget, m->now_us, m->jobs[job].probe);
  latency_note (target, (uint64_t)((double)took_us * MODEL_SERVICE_MEAN_US / MODEL_PROBE_US
                                   * exp (-MODEL_SERVICE_SIGMA * MODEL_SERVICE_SIGMA / 2)));
  job_free (m, job);
  queue_run (m, target);
  report = model_report (target, m->now_us);
  for (unsigned entry = 0; entry < m->options.entries; entry++)
    {
      int32_t message = job_take (m);

      m->jobs[message].entry = entry;
      m->jobs[message].target = index;
      m->jobs[message].report = report;
      model_event_push (m, m->now_us + link_us (m, entry, index), MODEL_REPORT, message);
    }
}

static void
done (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  model_target_t *target = &m->targets[call->target];

  if (call->call_start_us == UINT64_MAX)
    {
      probe_done (m, job);
      return;
    }
  target->in_flight--;
  if (!call->is_error)
    latency_note (target, m->now_us - call->service_start_us);
  respond (m, job, SGR_OUTCOME_COMPLETE, call->is_error);
  queue_run (m, target);
}

static void
response (model_t *m, int32_t job)
{
  model_job_t *call = &m->jobs[job];
  uint64_t latency_us = m->now_us - call->sent_us;
  bool is_late = m->now_us - call->call_start_us >= MODEL_DEADLINE_US;

  call->report.age_us
      += (call->entry % MODEL_DOMAINS == m->targets[call->target].domain ? MODEL_LINK_LOCAL_US
                                                                         : MODEL_LINK_FAR_US);
  sgr_balancer_attempt_finish (m->balancers[call->entry], m->now_us, call->tried[call->attempt - 1],
                               call->outcome, latency_us,
                               call->is_error || (is_late && call->outcome == SGR_OUTCOME_COMPLETE),
                               &call->report);
  if (call->outcome == SGR_OUTCOME_NOT_RUN && !is_late && call->attempt < MODEL_ATTEMPTS_MAX)
    attempt_send (m, job);
  else
    call_end (m, job, call->is_error || call->outcome == SGR_OUTCOME_NOT_RUN);
}

static void
probe_due (model_t *m, int32_t index)
{
  model_target_t *target = &m->targets[index];
  uint64_t interval_us = SGR_USEC_PER_SEC / target->budget.share_calls;
  uint64_t next_us = 0;
  uint32_t probe;

  if (m->now_us >= m->options.duration_us)
    return;
  if (target->in_flight < MODEL_SLOTS
      && sgr_probe_budget_reserve (&target->budget, m->now_us, MODEL_PROBE_BYTES, &probe) == SGR_OK)
    {
      int32_t job = job_take (m);

      m->jobs[job].call_start_us = UINT64_MAX;
      m->jobs[job].target = (unsigned)index;
      m->jobs[job].work_us = MODEL_PROBE_US;
      m->jobs[job].probe = probe;
      m->result->probes++;
      service_start (m, job);
    }
  else
    next_us = sgr_probe_budget_next_us (&target->budget, m->now_us, MODEL_PROBE_BYTES);
  if (next_us <= m->now_us || next_us == UINT64_MAX)
    next_us = m->now_us + interval_us;
  model_event_push (m, next_us, MODEL_PROBE_DUE, index);
}

static void
report_arrive (model_t *m, int32_t job)
{
  model_job_t *message = &m->jobs[job];

  message->report.age_us
      += (message->entry % MODEL_DOMAINS == m->targets[message->target].domain ? MODEL_LINK_LOCAL_US
                                                                               : MODEL_LINK_FAR_US);
  sgr_balancer_report_update (m->balancers[message->entry], m->now_us,
                              m->handles[message->entry][message->target], &message->report);
  job_free (m, job);
}

static sgr_balancer_target_info_t
info_of (const model_t *m, unsigned entry, unsigned index)
{
  const model_target_t *target = &m->targets[index];
  bool is_local = entry % MODEL_DOMAINS == target->domain;
  sgr_balancer_target_info_t info = {
    .node = index + 1,
    .slots = MODEL_SLOTS,
    .link_rtt_us = 2 * (is_local ? MODEL_LINK_LOCAL_US : MODEL_LINK_FAR_US),
    .state = target->state,
    .join_us = target->join_us,
  };

  snprintf (info.failure_domain, sizeof info.failure_domain, "domain-%u", target->domain);
  return info;
}

/* A target drains, and its successor takes its place shortly after. */
static void
replace (model_t *m, int32_t index)
{
  model_target_t *target = &m->targets[index];

  if (target->state == SGR_TARGET_SERVING)
    {
      target->state = SGR_TARGET_DRAINING;
      model_event_push (m, m->now_us + MODEL_REPLACE_US, MODEL_REPLACE, index);
    }
  else
    {
      target->state = SGR_TARGET_SERVING;
      target->join_us = m->now_us;
    }
  model_event_push (m, m->now_us + MODEL_MEMBERSHIP_DELAY_US, MODEL_ANNOUNCE, index);
}

static void
announce (model_t *m, int32_t index)
{
  for (unsigned entry = 0; entry < m->options.entries; entry++)
    {
      sgr_balancer_target_info_t info = info_of (m, entry, (unsigned)index);

      sgr_balancer_target_update (m->balancers[entry], m->now_us, m->handles[entry][index], &info);
    }
}

static void
model_init (model_t *m)
{
  sgr_probe_budget_config_t budget = {
    .calls_per_s = m->options.probe_calls_per_s,
    .bytes_per_s = m->options.probe_calls_per_s * MODEL_PROBE_BYTES,
    .targets_max = m->options.targets,
    .window_us = SGR_USEC_PER_SEC,
  };

  sgr_rng_seed (&m->arrivals, m->options.seed);
  sgr_rng_seed (&m->links, m->options.seed + 1);
  m->jobs_free = -1;
  for (unsigned i = 0; i < m->options.targets; i++)
    {
      m->targets[i].domain = i % MODEL_DOMAINS;
      m->targets[i].state = SGR_TARGET_SERVING;
      m->targets[i].queue_head = -1;
      m->targets[i].queue_tail = -1;
      sgr_probe_budget_init (&m->targets[i].budget, &budget, 0);
      if (m->targets[i].budget.share_calls > 0)
        model_event_push (m, i * SGR_USEC_PER_SEC / m->options.targets, MODEL_PROBE_DUE,
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
          sgr_balancer_target_info_t info = info_of (m, entry, i);
          sgr_result_t added
              = sgr_balancer_target_add (m->balancers[entry], 0, &info, &m->handles[entry][i]);

          sgr_invariant (added == SGR_OK);
        }
    }
  model_case_init (m);
  model_event_push (m, 0, MODEL_ARRIVAL, 0);
}

static void
model_step (model_t *m, const model_event_t *event)
{
  m->now_us = event->at_us;
  switch (event->kind)
    {
    case MODEL_ARRIVAL:
      arrival (m);
      break;
    case MODEL_AT_GATE:
      at_gate (m, event->subject);
      break;
    case MODEL_DONE:
      done (m, event->subject);
      break;
    case MODEL_RESPONSE:
      response (m, event->subject);
      break;
    case MODEL_PROBE_DUE:
      probe_due (m, event->subject);
      break;
    case MODEL_REPORT:
      report_arrive (m, event->subject);
      break;
    case MODEL_REPLACE:
      replace (m, event->subject);
      break;
    case MODEL_ANNOUNCE:
      announce (m, event->subject);
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

static double
sample_at (const model_t *m, double share)
{
  return m->samples[(size_t)((double)m->sample_count * share)];
}

static void
result_fill (model_t *m)
{
  target_model_result_t *result = m->result;

  qsort (m->samples, m->sample_count, sizeof *m->samples, sample_compare);
  result->p50_us = sample_at (m, 0.5);
  result->p99_us = sample_at (m, 0.99);
  result->p999_us = sample_at (m, 0.999);
  for (unsigned i = 0; i < m->options.targets; i++)
    result->share[i]
        = (double)(m->targets[i].attempts * m->options.targets) / (double)result->attempts;
  result->share_faulty = result->share[0];
  if (m->attempts_failing > 0)
    result->share_faulty = (double)(m->targets[0].attempts_failing * m->options.targets)
                           / (double)m->attempts_failing;
  result->probe_slot_share
      = m->probe_time_us / ((double)m->options.duration_us * MODEL_SLOTS * m->options.targets);
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
    model_step (m, &event);
  result_fill (m);
  for (unsigned entry = 0; entry < options->entries; entry++)
    sgr_balancer_destroy (m->balancers[entry]);
  free (m->samples);
  free (m->jobs);
  free (m->heap);
  free (m);
}
