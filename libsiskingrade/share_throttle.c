#include "share_throttle.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "result.h"

#define PARTS 5
#define PART_US (SGR_SHARE_THROTTLE_WINDOW_US / PARTS)
/* Records of a service; a call whose record belongs to another key is neither counted nor refused.
 */
#define RECORDS_MAX 128
/* Calls let through for each call that the gates take. With 1, the entry would hide from itself
   when the gates take more; an account of which two thirds are taken is not limited at all. */
#define PASS_RATIO 1.5
/* Refusals in the window below which nothing is refused, as their share says little. */
#define REFUSALS_MIN 8

/**
 * struct part_t - counts of a part of the window
 * @sent: calls that were let through
 * @refused: calls that gates refused
 * @throttled: calls that were refused here
 */
typedef struct
{
  uint32_t sent;
  uint32_t refused;
  uint32_t throttled;
} part_t;

/**
 * struct record_t - counts of one key
 * @key: the key, 0 for an unused record
 * @newest: number of the newest part since the start of the clock
 * @parts: the parts; part N is stored at N modulo PARTS
 */
typedef struct
{
  uint64_t key;
  uint64_t newest;
  part_t parts[PARTS];
} record_t;

struct sgr_share_throttle_t
{
  record_t records[RECORDS_MAX];
};

sgr_share_throttle_t *
sgr_share_throttle_create (void)
{
  sgr_share_throttle_t *throttle = calloc (1, sizeof *throttle);

  sgr_invariant (throttle != NULL);
  return throttle;
}

void
sgr_share_throttle_destroy (sgr_share_throttle_t *throttle)
{
  free (throttle);
}

uint64_t
sgr_share_throttle_key (const char *account, uint32_t rank)
{
  /* Never 0, so that it differs from the key of an unused record. */
  return XXH64 (account, strlen (account), rank) | 1;
}

/* Record of a key at a time, NULL if its place is in use for another key. */
static record_t *
record_get (sgr_share_throttle_t *throttle, uint64_t now_us, uint64_t key)
{
  record_t *record = &throttle->records[(key >> 1) % RECORDS_MAX];
  uint64_t part = now_us / PART_US;

  if (record->key != key && record->key != 0 && part < record->newest + PARTS)
    return NULL;
  if (record->key != key || part >= record->newest + PARTS)
    *record = (record_t){ .key = key, .newest = part };
  while (record->newest < part)
    record->parts[++record->newest % PARTS] = (part_t){ 0 };
  return record;
}

bool
sgr_share_throttle_admit (sgr_share_throttle_t *throttle, uint64_t now_us, uint64_t key,
                          double random)
{
  record_t *record = record_get (throttle, now_us, key);
  part_t sum = { 0 };
  double taken, calls;

  if (record == NULL)
    return true;
  for (uint32_t i = 0; i < PARTS; i++)
    {
      sum.sent += record->parts[i].sent;
      sum.refused += record->parts[i].refused;
      sum.throttled += record->parts[i].throttled;
    }
  /* Calls without a result yet count as taken: gates refuse such calls at once. */
  taken = sum.sent > sum.refused ? (double)(sum.sent - sum.refused) : 0;
  calls = (double)sum.sent + sum.throttled + 1;
  if (sum.refused >= REFUSALS_MIN && random * calls < calls - 1 - PASS_RATIO * taken)
    {
      record->parts[record->newest % PARTS].throttled++;
      return false;
    }
  record->parts[record->newest % PARTS].sent++;
  return true;
}

void
sgr_share_throttle_refused (sgr_share_throttle_t *throttle, uint64_t now_us, uint64_t key)
{
  record_t *record = record_get (throttle, now_us, key);

  if (record != NULL)
    record->parts[record->newest % PARTS].refused++;
}
