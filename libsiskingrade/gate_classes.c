#include "gate_classes.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "result.h"

#define CLASSES_MAX 64
#define RING_SAMPLES_MAX 64
/* Minimum number of samples in each of the two rings of a class before they are compared. */
#define COMPARED_SAMPLES_MIN 32
/* The lower quartile is the sorted sample at index count / LOWER_QUARTILE_DIVISOR. Lower quartiles
   are compared, because long latencies also contain the time of calls to other services than the
   target. */
#define LOWER_QUARTILE_DIVISOR 4
/* Weight of a new sample in the moving averages of the latencies and of the lengths of answers. */
#define USUAL_GAIN (1.0 / 16)
/* Ratio of the latency in a nearly full target to the latency otherwise, above which the target
   counts as slower. Above this ratio, the target serves fewer requests per second with all of its
   slots than with four fifths of them. */
#define SLOWER_LATENCY_RATIO 1.3
/* Weight of a new comparison in slower_share, the moving average of the results. */
#define SLOWER_SHARE_GAIN 0.1
/* Bounds of slower_share, the share of comparisons that found longer latencies. The result of
   sgr_gate_classes_slows_when_full() becomes true above SLOWS_WHEN_FULL_SET_SHARE and false below
   SLOWS_WHEN_FULL_CLEAR_SHARE. The gap between the bounds keeps the result from alternating. */
#define SLOWS_WHEN_FULL_SET_SHARE 0.6
#define SLOWS_WHEN_FULL_CLEAR_SHARE 0.3
/* Time after which a true result of sgr_gate_classes_slows_when_full() expires. */
#define SLOWS_WHEN_FULL_EXPIRY_US (20 * SGR_USEC_PER_SEC)

/**
 * struct ring_t - ring buffer of the latest latencies
 * @latencies_us: latencies in microseconds
 * @count: number of latencies recorded so far, may exceed RING_SAMPLES_MAX
 */
typedef struct
{
  uint32_t latencies_us[RING_SAMPLES_MAX];
  uint32_t count;
} ring_t;

/**
 * struct class_t - statistics of one class
 * @hash: hash of its name, 0 for an unused record
 * @last_use: value of @use_count when the class was looked up last
 * @usual_us: moving average of all latencies, 0 before the first one
 * @answer_bytes: moving average of the lengths of answers, 0 before the first one
 * @normal: latencies while the target was not nearly full
 * @nearly_full: latencies while the target was nearly full
 */
typedef struct
{
  uint64_t hash;
  uint64_t last_use;
  double usual_us;
  double answer_bytes;
  ring_t normal;
  ring_t nearly_full;
} class_t;

/**
 * struct sgr_gate_classes_t - statistics of all classes
 * @classes: records of the classes
 * @use_count: number of look-ups so far
 * @slower_share: moving average of the comparisons of all classes. A comparison counts as 1 if it
 * found longer latencies while the target was nearly full, else as 0.
 * @slows_when_full: the target takes longer when it is nearly full
 * @slows_when_full_since_us: time at which @slows_when_full was set
 */
struct sgr_gate_classes_t
{
  class_t classes[CLASSES_MAX];
  uint64_t use_count;
  double slower_share;
  bool slows_when_full;
  uint64_t slows_when_full_since_us;
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
sgr_gate_classes_find_or_add (sgr_gate_classes_t *classes, const char *name)
{
  /* Never 0, so that it differs from the hash of an unused record. */
  uint64_t hash = XXH64 (name, strlen (name), 0) | 1;
  uint32_t least_recently_used = 0;

  for (uint32_t i = 0; i < CLASSES_MAX; i++)
    {
      if (classes->classes[i].hash == hash)
        {
          classes->classes[i].last_use = ++classes->use_count;
          return i;
        }
      if (classes->classes[i].last_use < classes->classes[least_recently_used].last_use)
        least_recently_used = i;
    }
  classes->classes[least_recently_used]
      = (class_t){ .hash = hash, .last_use = ++classes->use_count };
  return least_recently_used;
}

static void
ring_add (ring_t *ring, uint64_t latency_us)
{
  ring->latencies_us[ring->count++ % RING_SAMPLES_MAX]
      = latency_us < UINT32_MAX ? (uint32_t)latency_us : UINT32_MAX;
}

static int
latency_compare (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return (left > right) - (left < right);
}

static double
ring_lower_quartile (const ring_t *ring)
{
  uint32_t sample_count = ring->count < RING_SAMPLES_MAX ? ring->count : RING_SAMPLES_MAX;
  uint32_t sorted[RING_SAMPLES_MAX];
  uint32_t quantile_index = sample_count / LOWER_QUARTILE_DIVISOR;

  memcpy (sorted, ring->latencies_us, sample_count * sizeof sorted[0]);
  qsort (sorted, sample_count, sizeof sorted[0], latency_compare);
  return sorted[quantile_index];
}

/* Compares the latencies of a class in a nearly full target with its other latencies, and updates
   @slows_when_full. */
static void
class_rings_compare (sgr_gate_classes_t *classes, uint64_t now_us, const class_t *class)
{
  bool is_slower;

  if (class->nearly_full.count < COMPARED_SAMPLES_MIN || class->normal.count < COMPARED_SAMPLES_MIN)
    return;
  is_slower = ring_lower_quartile (&class->nearly_full)
              > SLOWER_LATENCY_RATIO * ring_lower_quartile (&class->normal);
  classes->slower_share += SLOWER_SHARE_GAIN * ((is_slower ? 1 : 0) - classes->slower_share);
  if (!classes->slows_when_full && classes->slower_share > SLOWS_WHEN_FULL_SET_SHARE)
    {
      classes->slows_when_full = true;
      classes->slows_when_full_since_us = now_us;
    }
  else if (classes->slows_when_full && classes->slower_share < SLOWS_WHEN_FULL_CLEAR_SHARE)
    classes->slows_when_full = false;
}

bool
sgr_gate_classes_record (sgr_gate_classes_t *classes, uint64_t now_us, uint32_t index,
                         const sgr_gate_sample_t *sample)
{
  class_t *class = &classes->classes[index];
  bool slows_before = classes->slows_when_full;

  if (!sample->is_unslowed)
    return false;
  if (class->usual_us <= 0)
    class->usual_us = (double)sample->latency_us;
  class->usual_us += USUAL_GAIN * ((double)sample->latency_us - class->usual_us);
  ring_add (sample->is_nearly_full_throughout ? &class->nearly_full : &class->normal,
            sample->latency_us);
  if (sample->is_nearly_full_throughout)
    class_rings_compare (classes, now_us, class);
  return classes->slows_when_full != slows_before;
}

void
sgr_gate_classes_answer_record (sgr_gate_classes_t *classes, uint32_t index, uint64_t bytes)
{
  double *usual = &classes->classes[index].answer_bytes;

  *usual = *usual <= 0 ? (double)bytes : *usual + USUAL_GAIN * ((double)bytes - *usual);
}

uint64_t
sgr_gate_classes_answer_bytes (const sgr_gate_classes_t *classes, uint32_t index)
{
  return (uint64_t)classes->classes[index].answer_bytes;
}

uint64_t
sgr_gate_classes_usual_us (const sgr_gate_classes_t *classes, uint32_t index)
{
  return (uint64_t)classes->classes[index].usual_us;
}

bool
sgr_gate_classes_slows_when_full (sgr_gate_classes_t *classes, uint64_t now_us)
{
  if (!classes->slows_when_full
      || now_us < classes->slows_when_full_since_us + SLOWS_WHEN_FULL_EXPIRY_US)
    return classes->slows_when_full;
  classes->slows_when_full = false;
  classes->slower_share = 0;
  for (uint32_t i = 0; i < CLASSES_MAX; i++)
    classes->classes[i].nearly_full.count = 0;
  return false;
}
