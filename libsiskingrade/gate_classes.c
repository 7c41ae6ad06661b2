#include "gate_classes.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "result.h"

#define CLASSES_MAX 64
#define SAMPLES 64
/* Samples of each kind before they are compared. */
#define SAMPLES_MIN 32
/* A low quantile is compared: the upper ones also contain calls that the work makes elsewhere. */
#define QUANTILE_DIVISOR 4
#define USUAL_GAIN (1.0 / 16)
/* Work that takes this many times as long in a full target loses more than the free slots give. */
#define SLOW_RATIO 1.3
/* Each comparison moves the vote by this share; the two bounds keep it from swinging. */
#define VOTE_GAIN 0.1
#define VOTE_SLOWS 0.6
#define VOTE_FORGETS 0.3
#define HOLD_US (20 * SGR_USEC_PER_SEC)

/** struct ring_t - the last durations of one kind */
typedef struct
{
  uint32_t durations_us[SAMPLES];
  uint32_t count;
} ring_t;

typedef struct
{
  uint64_t hash;
  uint64_t used;
  double usual_us;
  ring_t usual;
  ring_t full;
} class_t;

struct sgr_gate_classes_t
{
  class_t classes[CLASSES_MAX];
  uint64_t uses;
  double vote;
  bool slows;
  uint64_t slows_us;
};

sgr_gate_classes_t *
sgr_gate_classes_create (void)
{
  sgr_gate_classes_t *classes = calloc (1, sizeof *classes);

  sgr_invariant (classes != NULL);
  return classes;
}

void
sgr_gate_classes_destroy (sgr_gate_classes_t *classes)
{
  free (classes);
}

uint32_t
sgr_gate_classes_find (sgr_gate_classes_t *classes, const char *name)
{
  uint64_t hash = XXH64 (name, strlen (name), 0) | 1;
  uint32_t oldest = 0;

  for (uint32_t i = 0; i < CLASSES_MAX; i++)
    {
      if (classes->classes[i].hash == hash)
        {
          classes->classes[i].used = ++classes->uses;
          return i;
        }
      if (classes->classes[i].used < classes->classes[oldest].used)
        oldest = i;
    }
  classes->classes[oldest] = (class_t){ .hash = hash, .used = ++classes->uses };
  return oldest;
}

static void
ring_add (ring_t *ring, uint64_t duration_us)
{
  ring->durations_us[ring->count++ % SAMPLES]
      = duration_us < UINT32_MAX ? (uint32_t)duration_us : UINT32_MAX;
}

static int
compare (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return (left > right) - (left < right);
}

static double
ring_quantile (const ring_t *ring)
{
  uint32_t used = ring->count < SAMPLES ? ring->count : SAMPLES;
  uint32_t sorted[SAMPLES];
  uint32_t at = used / QUANTILE_DIVISOR;

  memcpy (sorted, ring->durations_us, used * sizeof sorted[0]);
  qsort (sorted, used, sizeof sorted[0], compare);
  return sorted[at];
}

static void
rings_compare (sgr_gate_classes_t *classes, uint64_t now_us, const class_t *class)
{
  bool is_slower;

  if (class->full.count < SAMPLES_MIN || class->usual.count < SAMPLES_MIN)
    return;
  is_slower = ring_quantile (&class->full) > SLOW_RATIO * ring_quantile (&class->usual);
  classes->vote += VOTE_GAIN * ((is_slower ? 1 : 0) - classes->vote);
  if (!classes->slows && classes->vote > VOTE_SLOWS)
    {
      classes->slows = true;
      classes->slows_us = now_us;
    }
  else if (classes->slows && classes->vote < VOTE_FORGETS)
    classes->slows = false;
}

bool
sgr_gate_classes_record (sgr_gate_classes_t *classes, uint64_t now_us, uint32_t number,
                         const sgr_gate_sample_t *sample)
{
  class_t *class = &classes->classes[number];
  bool slowed = classes->slows;

  if (!sample->is_calm)
    return false;
  if (class->usual_us <= 0)
    class->usual_us = (double)sample->duration_us;
  class->usual_us += USUAL_GAIN * ((double)sample->duration_us - class->usual_us);
  ring_add (sample->is_full ? &class->full : &class->usual, sample->duration_us);
  if (sample->is_full)
    rings_compare (classes, now_us, class);
  return classes->slows != slowed;
}

uint64_t
sgr_gate_classes_usual_us (const sgr_gate_classes_t *classes, uint32_t number)
{
  return (uint64_t)classes->classes[number].usual_us;
}

bool
sgr_gate_classes_slows (sgr_gate_classes_t *classes, uint64_t now_us)
{
  if (!classes->slows || now_us < classes->slows_us + HOLD_US)
    return classes->slows;
  classes->slows = false;
  classes->vote = 0;
  for (uint32_t i = 0; i < CLASSES_MAX; i++)
    classes->classes[i].full.count = 0;
  return false;
}
