#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "gate_classes.h"
#include "rng.h"

/* What a gate learns of its target from the durations of requests. */

/**
 * struct target_t - a target as the test plays it
 * @full_ratio: time that work takes in a full target, relative to the usual
 * @call_share: share of the requests that call another service while they run
 * @full_call_us: time of such a call while the target is full; 20 ms otherwise
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
duration_us (const target_t *target, sgr_rng_t *rng, bool is_full)
{
  double work_us = 90000 * (0.7 + 0.6 * sgr_rng_unit (rng));

  if (is_full)
    work_us *= target->full_ratio;
  if (sgr_rng_unit (rng) < target->call_share)
    work_us += is_full ? (double)target->full_call_us : 20000;
  return (uint64_t)work_us;
}

static bool
play (sgr_gate_classes_t *classes, const target_t *target, uint64_t seed, uint64_t *now_us)
{
  uint32_t number = sgr_gate_classes_find (classes, "look-up");
  sgr_rng_t rng;

  sgr_rng_seed (&rng, seed);
  for (int i = 0; i < 200; i++)
    {
      sgr_gate_sample_t sample = { .is_calm = true, .is_full = i % 2 == 1 };

      sample.duration_us = duration_us (target, &rng, sample.is_full);
      *now_us += 10000;
      sgr_gate_classes_record (classes, *now_us, number, &sample);
    }
  return sgr_gate_classes_slows (classes, *now_us);
}

/* Guards against a limit for targets that serve all slots equally well, also when the calls that
   their work makes are slow while they are full, and against none for those that slow down. */
static void
test_full_targets (void **state)
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

          if (play (classes, &targets[i], seed, &now_us) != targets[i].slows)
            fail_msg ("%s, seed %lu: expected %s", targets[i].name, seed,
                      targets[i].slows ? "a limit" : "none");
          sgr_gate_classes_destroy (classes);
        }
    }
}

/* Guards against a limit that stays after the target has changed. */
static void
test_limit_is_tried_again (void **state)
{
  static const target_t slow = { "slows down", 1.7, 0, 0, true };
  static const target_t fast = { "does not", 1.0, 0, 0, false };
  sgr_gate_classes_t *classes = sgr_gate_classes_create ();
  uint64_t now_us = 1;

  assert_true (play (classes, &slow, 1, &now_us));
  now_us += 30 * SGR_USEC_PER_SEC;
  assert_false (sgr_gate_classes_slows (classes, now_us));
  assert_false (play (classes, &fast, 2, &now_us));
  assert_true (play (classes, &slow, 3, &now_us));
  sgr_gate_classes_destroy (classes);
}

/* Guards against durations of slowed-down targets in what counts as usual. */
static void
test_usual_duration (void **state)
{
  sgr_gate_classes_t *classes = sgr_gate_classes_create ();
  uint32_t number = sgr_gate_classes_find (classes, "look-up");

  assert_int_equal (sgr_gate_classes_usual_us (classes, number), 0);
  for (int i = 0; i < 100; i++)
    {
      sgr_gate_sample_t sample
          = { .duration_us = i % 2 == 0 ? 40000 : 200000, .is_calm = i % 2 == 0 };

      sgr_gate_classes_record (classes, (uint64_t)i, number, &sample);
    }
  assert_int_equal (sgr_gate_classes_usual_us (classes, number), 40000);
  assert_int_equal (sgr_gate_classes_find (classes, "look-up"), number);
  sgr_gate_classes_destroy (classes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_full_targets),
    cmocka_unit_test (test_limit_is_tried_again),
    cmocka_unit_test (test_usual_duration),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
