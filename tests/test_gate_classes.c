#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "gate_classes.h"
#include "rng.h"

/* Tests of the gate's statistics about the latencies of requests. */

#define WORK_MEAN_US 90000
#define EXTERNAL_CALL_US 20000
#define SAMPLE_INTERVAL_US 10000
#define SAMPLE_COUNT 200

/**
 * struct target_t - a simulated target
 * @name: name of the case in messages
 * @full_ratio: time of the work of a request while the target is nearly full, relative to the time
 * otherwise
 * @call_share: share of the requests that call another service
 * @full_call_us: latency of such a call while the target is nearly full; EXTERNAL_CALL_US otherwise
 * @slows: expected result of sgr_gate_classes_slows_when_full()
 */
typedef struct
{
  const char *name;
  double full_ratio;
  double call_share;
  uint64_t full_call_us;
  bool slows;
} target_t;

static uint64_t
simulated_latency_us (const target_t *target, sgr_rng_t *rng, bool is_nearly_full_throughout)
{
  double work_us = WORK_MEAN_US * (0.7 + 0.6 * sgr_rng_uniform (rng));

  if (is_nearly_full_throughout)
    work_us *= target->full_ratio;
  if (sgr_rng_uniform (rng) < target->call_share)
    work_us += is_nearly_full_throughout ? (double)target->full_call_us : EXTERNAL_CALL_US;
  return (uint64_t)work_us;
}

/* Records samples of a simulated target that is nearly full during every second sample. Returns
   whether, by the statistics, the target slows down when it is nearly full. */
static bool
simulated_samples_record (sgr_gate_classes_t *classes, const target_t *target, uint64_t seed,
                          uint64_t *now_us)
{
  uint32_t index = sgr_gate_classes_find_or_add (classes, "look-up");
  sgr_rng_t rng;

  sgr_rng_seed (&rng, seed);
  for (int i = 0; i < SAMPLE_COUNT; i++)
    {
      sgr_gate_sample_t sample = { .is_unslowed = true, .is_nearly_full_throughout = i % 2 == 1 };

      sample.latency_us = simulated_latency_us (target, &rng, sample.is_nearly_full_throughout);
      *now_us += SAMPLE_INTERVAL_US;
      sgr_gate_classes_record (classes, *now_us, index, &sample);
    }
  return sgr_gate_classes_slows_when_full (classes, *now_us);
}

/* Guards against a wrong result about slowing down when nearly full. A target that is about as fast
   when nearly full must not count as slowing down, even if its calls to another service take longer
   then. A target that does slow down must count as such. */
static void
test_slows_when_nearly_full (void **state)
{
  static const target_t targets[] = {
    { "as fast as usual", 1.0, 0, 0, false },
    { "a little slower", 1.1, 0, 0, false },
    { "slow calls elsewhere", 1.0, 0.5, 200000, false },
    { "slows down", 1.7, 0, 0, true },
    { "slows down, with calls", 1.7, 0.7, 20000, true },
  };

  for (size_t i = 0; i < sizeof targets / sizeof targets[0]; i++)
    {
      for (uint64_t seed = 1; seed <= 20; seed++)
        {
          sgr_gate_classes_t *classes = sgr_gate_classes_create ();
          uint64_t now_us = 1;

          if (simulated_samples_record (classes, &targets[i], seed, &now_us) != targets[i].slows)
            fail_msg ("%s, seed %lu: expected the target %s", targets[i].name, seed,
                      targets[i].slows ? "to slow down when nearly full"
                                       : "not to slow down when nearly full");
          sgr_gate_classes_destroy (classes);
        }
    }
}

/* Guards against a result of the measurement, whether the target slows down when nearly full, that
   stays after the target has changed. The result must expire, so that the target is measured again.
 */
static void
test_slows_result_expires (void **state)
{
  static const target_t slow = { "slows down", 1.7, 0, 0, true };
  static const target_t fast = { "does not slow down", 1.0, 0, 0, false };
  sgr_gate_classes_t *classes = sgr_gate_classes_create ();
  uint64_t now_us = 1;

  assert_true (simulated_samples_record (classes, &slow, 1, &now_us));
  now_us += 30 * SGR_USEC_PER_SEC;
  assert_false (sgr_gate_classes_slows_when_full (classes, now_us));
  assert_false (simulated_samples_record (classes, &fast, 2, &now_us));
  assert_true (simulated_samples_record (classes, &slow, 3, &now_us));
  sgr_gate_classes_destroy (classes);
}

/* Guards against a usual latency that includes samples of a slowed target. */
static void
test_usual_latency (void **state)
{
  sgr_gate_classes_t *classes = sgr_gate_classes_create ();
  uint32_t index = sgr_gate_classes_find_or_add (classes, "look-up");

  assert_int_equal (sgr_gate_classes_usual_us (classes, index), 0);
  for (int i = 0; i < 100; i++)
    {
      sgr_gate_sample_t sample
          = { .latency_us = i % 2 == 0 ? 40000 : 200000, .is_unslowed = i % 2 == 0 };

      sgr_gate_classes_record (classes, (uint64_t)i, index, &sample);
    }
  assert_int_equal (sgr_gate_classes_usual_us (classes, index), 40000);
  assert_int_equal (sgr_gate_classes_find_or_add (classes, "look-up"), index);
  sgr_gate_classes_destroy (classes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slows_when_nearly_full),
    cmocka_unit_test (test_slows_result_expires),
    cmocka_unit_test (test_usual_latency),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
