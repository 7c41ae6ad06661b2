#include "target_model_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static const char *const case_names[TARGET_MODEL_CASE_COUNT] = {
  "steady", "slow-target", "fail-fast", "cold-start", "noisy", "misleading",
};

const char *
target_model_case_name (target_model_case_t kind)
{
  return case_names[kind];
}

static void
phase_add (model_target_t *target, uint64_t from_us, double speed)
{
  sgr_invariant (target->phase_count < TARGET_MODEL_PHASES_MAX);
  target->phases[target->phase_count++] = (model_phase_t){ from_us, speed };
}

static void
noise_init (model_t *m, model_target_t *target, sgr_rng_t *rng)
{
  uint64_t at_us = 0;

  for (;;)
    {
      double length_us = 5000 * pow (600, sgr_rng_unit (rng));

      at_us += (uint64_t)(-log (1 - sgr_rng_unit (rng)) * 8e6);
      if (at_us >= m->options.duration_us)
        return;
      phase_add (target, at_us, 0.05 + 0.45 * sgr_rng_unit (rng));
      at_us += (uint64_t)length_us;
      phase_add (target, at_us, 1);
    }
}

static void
cold_init (model_t *m, model_target_t *target)
{
  static const double speeds[] = { 0.1, 0.2, 0.35, 0.5, 0.75, 1 };

  for (uint64_t at_us = 10 * SGR_USEC_PER_SEC; at_us < m->options.duration_us;
       at_us += 20 * SGR_USEC_PER_SEC)
    {
      model_event_push (m, at_us, MODEL_REPLACE, 0);
      for (size_t i = 0; i < sizeof speeds / sizeof speeds[0]; i++)
        phase_add (target, at_us + MODEL_REPLACE_US + i * SGR_USEC_PER_SEC, speeds[i]);
    }
}

void
model_case_init (model_t *m)
{
  sgr_rng_t rng;
  model_target_t *first = &m->targets[0];

  sgr_rng_seed (&rng, m->options.seed + 1000);
  for (unsigned i = 0; i < m->options.targets; i++)
    {
      phase_add (&m->targets[i], 0, 1);
      if (m->options.kind == TARGET_MODEL_NOISY)
        noise_init (m, &m->targets[i], &rng);
      if (m->options.kind == TARGET_MODEL_MISLEADING)
        m->targets[i].report_kind = (model_report_kind_t)((i + 1) % 5);
    }
  if (m->options.kind == TARGET_MODEL_SLOW)
    first->phases[0].speed = 0.2;
  if (m->options.kind == TARGET_MODEL_COLD)
    cold_init (m, first);
  if (m->options.kind == TARGET_MODEL_FAIL_FAST)
    {
      first->fail_from_us = m->options.duration_us / 4;
      first->fail_to_us = m->options.duration_us * 3 / 4;
    }
}

static bool
event_before (const model_event_t *a, const model_event_t *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->sequence < b->sequence);
}

void
model_event_push (model_t *m, uint64_t at_us, model_event_kind_t kind, int32_t subject)
{
  model_event_t event = { at_us, m->sequence++, kind, subject };
  size_t i = m->heap_count++;

  if (m->heap_count > m->heap_size)
    {
      m->heap_size = m->heap_size == 0 ? 1024 : m->heap_size * 2;
      m->heap = realloc (m->heap, m->heap_size * sizeof *m->heap);
      sgr_invariant (m->heap != NULL);
    }
  for (; i > 0 && event_before (&event, &m->heap[(i - 1) / 2]); i = (i - 1) / 2)
    m->heap[i] = m->heap[(i - 1) / 2];
  m->heap[i] = event;
}

bool
model_event_pop (model_t *m, model_event_t *event)
{
  model_event_t last;
  size_t i = 0;

  if (m->heap_count == 0)
    return false;
  *event = m->heap[0];
  last = m->heap[--m->heap_count];
  for (size_t child = 1; child < m->heap_count; child = 2 * i + 1)
    {
      if (child + 1 < m->heap_count && event_before (&m->heap[child + 1], &m->heap[child]))
        child++;
      if (!event_before (&m->heap[child], &last))
        break;
      m->heap[i] = m->heap[child];
      i = child;
    }
  m->heap[i] = last;
  return true;
}

uint64_t
model_work_end (const model_target_t *target, uint64_t from_us, double work_us)
{
  double at_us = (double)from_us;

  for (unsigned i = target->phase;; i++)
    {
      double speed = target->phases[i].speed;
      double left_us;

      if (i + 1 == target->phase_count)
        return (uint64_t)(at_us + work_us / speed);
      left_us = (double)target->phases[i + 1].from_us - at_us;
      if (left_us * speed >= work_us)
        return (uint64_t)(at_us + work_us / speed);
      if (left_us <= 0)
        continue;
      work_us -= left_us * speed;
      at_us += left_us;
    }
}

static int
latency_compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static uint32_t
latency_median (const model_target_t *target)
{
  uint32_t sorted[MODEL_LATENCY_RING];
  unsigned count
      = target->latency_count < MODEL_LATENCY_RING ? target->latency_count : MODEL_LATENCY_RING;

  if (count == 0)
    return 0;
  memcpy (sorted, target->latencies, count * sizeof sorted[0]);
  qsort (sorted, count, sizeof sorted[0], latency_compare);
  return sorted[count / 2];
}

/* Newest remembered report that is at least MODEL_STALE_US old, else the current one. */
static sgr_load_report_t
report_stale (model_target_t *target, uint64_t now_us, const sgr_load_report_t *current)
{
  unsigned count = target->history_count;

  if (count == 0 || target->history_us[(count - 1) % MODEL_HISTORY] + MODEL_STALE_US / 32 <= now_us)
    {
      target->history[count % MODEL_HISTORY] = *current;
      target->history_us[count % MODEL_HISTORY] = now_us;
      target->history_count = ++count;
    }
  for (unsigned back = 1; back <= count && back <= MODEL_HISTORY; back++)
    {
      unsigned i = (count - back) % MODEL_HISTORY;

      if (target->history_us[i] + MODEL_STALE_US <= now_us)
        {
          sgr_load_report_t report = target->history[i];

          report.age_us = now_us - target->history_us[i];
          return report;
        }
    }
  return *current;
}

sgr_load_report_t
model_report (model_target_t *target, uint64_t now_us)
{
  sgr_load_report_t report = {
    .in_flight = target->in_flight,
    .queued = target->queued,
    .slots = MODEL_SLOTS,
    .latency_us = latency_median (target),
    .state = target->state,
  };

  switch (target->report_kind)
    {
    case MODEL_IDLE:
      report.in_flight = 0;
      report.queued = 0;
      report.latency_us = 1000;
      break;
    case MODEL_BUSY:
      report.in_flight = MODEL_SLOTS;
      report.queued = MODEL_SLOTS;
      report.latency_us *= 5;
      break;
    case MODEL_STALE:
      return report_stale (target, now_us, &report);
    case MODEL_STALE_WRONG_AGE:
      report = report_stale (target, now_us, &report);
      report.age_us = 0;
      break;
    default:
      break;
    }
  return report;
}
