#include "target_model_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Length of a slowdown in the case TARGET_MODEL_NOISY: 5 ms to 3 s, log-uniformly distributed. */
#define SLOWDOWN_LENGTH_MIN_US 5000
#define SLOWDOWN_LENGTH_MAX_TO_MIN 600
/* Mean time from the end of a slowdown to the next one. */
#define SLOWDOWN_PAUSE_MEAN_US 8e6
/* The speed of a target during a slowdown is at least 0.05 and less than 0.5 of full speed. */
#define SLOWDOWN_SPEED_MIN 0.05
#define SLOWDOWN_SPEED_RANGE 0.45

/* Time of the first replacement in the case TARGET_MODEL_COLD, and time between replacements. */
#define FIRST_REPLACEMENT_US (10 * SGR_USEC_PER_SEC)
#define REPLACEMENT_INTERVAL_US (20 * SGR_USEC_PER_SEC)

/* Speed of the first target in the case TARGET_MODEL_SLOW. */
#define SLOW_TARGET_SPEED 0.2

/* Latency that a target reports if it always reports that it is idle. */
#define IDLE_REPORT_LATENCY_US 1000
/* A target that always reports saturation multiplies the latency in its load reports by this
   factor. */
#define SATURATED_REPORT_LATENCY_FACTOR 5

static const char *const case_names[TARGET_MODEL_CASE_COUNT] = {
  "steady", "slow-target", "fail-fast", "cold-start", "noisy", "misleading",
};

const char *
target_model_case_name (target_model_case_t test_case)
{
  return case_names[test_case];
}

static void
phase_add (model_target_t *target, uint64_t from_us, double speed)
{
  sgr_invariant (target->phase_count < TARGET_MODEL_SPEED_PHASES_MAX);
  target->phases[target->phase_count++] = (model_phase_t){ from_us, speed };
}

/* Adds random slowdowns of a target by other work on its host. */
static void
noisy_slowdowns_init (model_t *m, model_target_t *target, sgr_rng_t *rng)
{
  uint64_t at_us = 0;

  for (;;)
    {
      double length_us
          = SLOWDOWN_LENGTH_MIN_US * pow (SLOWDOWN_LENGTH_MAX_TO_MIN, sgr_rng_uniform (rng));

      at_us += (uint64_t)(-log (1 - sgr_rng_uniform (rng)) * SLOWDOWN_PAUSE_MEAN_US);
      if (at_us >= m->options.duration_us)
        return;
      phase_add (target, at_us, SLOWDOWN_SPEED_MIN + SLOWDOWN_SPEED_RANGE * sgr_rng_uniform (rng));
      at_us += (uint64_t)length_us;
      phase_add (target, at_us, 1);
    }
}

/* Schedules the replacements of the first target. Each successor starts at a low speed, which
   then rises. */
static void
cold_replacements_init (model_t *m, model_target_t *target)
{
  /* Speed in each second after the start of a successor. The last speed then stays. */
  static const double speeds[] = { 0.1, 0.2, 0.35, 0.5, 0.75, 1 };

  for (uint64_t at_us = FIRST_REPLACEMENT_US; at_us < m->options.duration_us;
       at_us += REPLACEMENT_INTERVAL_US)
    {
      model_event_push (m, at_us, MODEL_EVENT_TARGET_REPLACE, 0);
      for (size_t i = 0; i < sizeof speeds / sizeof speeds[0]; i++)
        phase_add (target, at_us + MODEL_DRAIN_TO_SUCCESSOR_US + i * SGR_USEC_PER_SEC, speeds[i]);
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
      if (m->options.test_case == TARGET_MODEL_NOISY)
        noisy_slowdowns_init (m, &m->targets[i], &rng);
      if (m->options.test_case == TARGET_MODEL_MISLEADING)
        m->targets[i].report_kind = (model_report_kind_t)((i + 1) % MODEL_REPORT_KIND_COUNT);
    }
  if (m->options.test_case == TARGET_MODEL_SLOW)
    first->phases[0].speed = SLOW_TARGET_SPEED;
  if (m->options.test_case == TARGET_MODEL_COLD)
    cold_replacements_init (m, first);
  if (m->options.test_case == TARGET_MODEL_FAIL_FAST)
    {
      first->fail_from_us = m->options.duration_us / 4;
      first->fail_to_us = m->options.duration_us * 3 / 4;
    }
}

static bool
is_event_earlier (const model_event_t *a, const model_event_t *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->sequence < b->sequence);
}

void
model_event_push (model_t *m, uint64_t at_us, model_event_kind_t kind, int32_t subject_index)
{
  model_event_t event = { at_us, m->sequence++, kind, subject_index };
  size_t i = m->event_count++;

  if (m->event_count > m->event_capacity)
    {
      m->event_capacity = m->event_capacity == 0 ? 1024 : m->event_capacity * 2;
      m->event_heap = realloc (m->event_heap, m->event_capacity * sizeof *m->event_heap);
      sgr_invariant (m->event_heap != NULL);
    }
  for (; i > 0 && is_event_earlier (&event, &m->event_heap[(i - 1) / 2]); i = (i - 1) / 2)
    m->event_heap[i] = m->event_heap[(i - 1) / 2];
  m->event_heap[i] = event;
}

bool
model_event_pop (model_t *m, model_event_t *event)
{
  model_event_t last;
  size_t i = 0;

  if (m->event_count == 0)
    return false;
  *event = m->event_heap[0];
  last = m->event_heap[--m->event_count];
  for (size_t child = 1; child < m->event_count; child = 2 * i + 1)
    {
      if (child + 1 < m->event_count
          && is_event_earlier (&m->event_heap[child + 1], &m->event_heap[child]))
        child++;
      if (!is_event_earlier (&m->event_heap[child], &last))
        break;
      m->event_heap[i] = m->event_heap[child];
      i = child;
    }
  m->event_heap[i] = last;
  return true;
}

uint64_t
model_service_end_us (const model_target_t *target, uint64_t from_us, double work_us)
{
  double at_us = (double)from_us;

  for (unsigned i = target->phase_index;; i++)
    {
      double speed = target->phases[i].speed;
      double phase_left_us;

      if (i + 1 == target->phase_count)
        return (uint64_t)(at_us + work_us / speed);
      phase_left_us = (double)target->phases[i + 1].from_us - at_us;
      if (phase_left_us * speed >= work_us)
        return (uint64_t)(at_us + work_us / speed);
      if (phase_left_us <= 0)
        continue;
      work_us -= phase_left_us * speed;
      at_us += phase_left_us;
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
  uint32_t sorted[MODEL_REPORT_LATENCY_SAMPLES];
  unsigned count = target->latency_count < MODEL_REPORT_LATENCY_SAMPLES
                       ? target->latency_count
                       : MODEL_REPORT_LATENCY_SAMPLES;

  if (count == 0)
    return 0;
  memcpy (sorted, target->latencies_us, count * sizeof sorted[0]);
  qsort (sorted, count, sizeof sorted[0], latency_compare);
  return sorted[count / 2];
}

/* Records @current in the history of load reports at fixed intervals. Returns the newest load
   report of the history that is at least MODEL_STALE_REPORT_AGE_MIN_US old. Returns @current if
   there is none. */
static sgr_load_report_t
report_stale_get (model_target_t *target, uint64_t now_us, const sgr_load_report_t *current)
{
  unsigned count = target->report_history_count;

  if (count == 0
      || target->report_recorded_us[(count - 1) % MODEL_REPORT_HISTORY_SIZE]
                 + MODEL_REPORT_HISTORY_INTERVAL_US
             <= now_us)
    {
      target->report_history[count % MODEL_REPORT_HISTORY_SIZE] = *current;
      target->report_recorded_us[count % MODEL_REPORT_HISTORY_SIZE] = now_us;
      target->report_history_count = ++count;
    }
  for (unsigned back = 1; back <= count && back <= MODEL_REPORT_HISTORY_SIZE; back++)
    {
      unsigned i = (count - back) % MODEL_REPORT_HISTORY_SIZE;

      if (target->report_recorded_us[i] + MODEL_STALE_REPORT_AGE_MIN_US <= now_us)
        {
          sgr_load_report_t report = target->report_history[i];

          report.age_us = now_us - target->report_recorded_us[i];
          return report;
        }
    }
  return *current;
}

sgr_load_report_t
model_load_report (model_target_t *target, uint64_t now_us)
{
  sgr_load_report_t report = {
    .in_flight = target->in_flight,
    .queued = target->queued,
    .slots = MODEL_SLOTS_PER_TARGET,
    .latency_us = latency_median (target),
    .state = target->state,
  };

  switch (target->report_kind)
    {
    case MODEL_REPORT_IDLE:
      report.in_flight = 0;
      report.queued = 0;
      report.latency_us = IDLE_REPORT_LATENCY_US;
      break;
    case MODEL_REPORT_SATURATED:
      report.in_flight = MODEL_SLOTS_PER_TARGET;
      report.queued = MODEL_SLOTS_PER_TARGET;
      report.latency_us *= SATURATED_REPORT_LATENCY_FACTOR;
      break;
    case MODEL_REPORT_STALE:
      return report_stale_get (target, now_us, &report);
    case MODEL_REPORT_STALE_AGE_ZERO:
      report = report_stale_get (target, now_us, &report);
      report.age_us = 0;
      break;
    default:
      break;
    }
  return report;
}
