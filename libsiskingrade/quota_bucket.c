#include "quota_bucket.h"

#include <math.h>

/* Part of the capacity that is lent only to borrowers without a token. Otherwise all tokens could
   be lent while the callers of each node are few, and a node that spends its last one would wait.
 */
#define KEPT_PART 0.25
/* Rounding errors of the sums of tokens. */
#define EPSILON 1e-6

void
sgr_quota_bucket_clip (sgr_quota_bucket_t *bucket, double part)
{
  double room = bucket->plan.capacity * part - bucket->lent;

  if (bucket->tokens <= room)
    return;
  bucket->tokens = room > 0 ? room : 0;
  bucket->full_us = bucket->advanced_us;
}

void
sgr_quota_bucket_advance (sgr_quota_bucket_t *bucket, uint64_t now_us, double part)
{
  double seconds = (double)(now_us - bucket->advanced_us) / (double)SGR_USEC_PER_SEC;

  bucket->tokens += bucket->plan.rate_per_s * part * seconds;
  bucket->advanced_us = now_us;
  sgr_quota_bucket_clip (bucket, part);
}

void
sgr_quota_bucket_epoch_set (sgr_quota_bucket_t *bucket, uint32_t epoch)
{
  bool is_next = bucket->epoch + 1 == epoch;

  if (bucket->epoch == epoch)
    return;
  bucket->short_before = is_next ? bucket->short_now : 0;
  bucket->none_before = is_next ? bucket->none_now : 0;
  bucket->short_now = 0;
  bucket->none_now = 0;
  bucket->lent_before = is_next ? bucket->lent_now : 0;
  bucket->lent_now = 0;
  bucket->revoked = 0;
  bucket->epoch = epoch;
}

static uint32_t
larger (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

uint32_t
sgr_quota_bucket_wanting (const sgr_quota_bucket_t *bucket)
{
  return larger (1, larger (bucket->short_now, bucket->short_before));
}

bool
sgr_quota_bucket_revoke (sgr_quota_bucket_t *bucket, const sgr_quota_use_t *use)
{
  if (use->wanted > 0 || use->spent > 0 || use->held == 0 || bucket->tokens >= 1
      || bucket->revoked >= larger (bucket->none_now, bucket->none_before))
    return false;
  bucket->revoked++;
  return true;
}

static uint32_t
tokens_share (const sgr_quota_bucket_t *bucket, const sgr_quota_taker_t *taker,
              const sgr_quota_use_t *use, double available)
{
  uint32_t wanting = sgr_quota_bucket_wanting (bucket);
  uint32_t none = larger (bucket->none_now, bucket->none_before);
  uint32_t first = use->held == 0 && use->wanted > 0 && available >= 1;
  uint32_t tokens = use->wanted;

  if (wanting > 1 && available <= wanting
      && taker->got >= larger (1, bucket->lent_before / wanting))
    return 0;
  available = floor (available - fmax (bucket->plan.capacity * KEPT_PART, none));
  if (available < first)
    return first;
  if (wanting > 1 && tokens > available / wanting)
    tokens = available > wanting ? (uint32_t)(available / wanting) : 1;
  return tokens > available ? (uint32_t)available : tokens;
}

uint32_t
sgr_quota_bucket_lend (sgr_quota_bucket_t *bucket, sgr_quota_taker_t *taker,
                       const sgr_quota_use_t *use, double room)
{
  uint32_t tokens;

  if (taker->epoch != bucket->epoch)
    *taker = (sgr_quota_taker_t){ .epoch = bucket->epoch };
  tokens = tokens_share (bucket, taker, use, floor (fmin (room, bucket->tokens) + EPSILON));
  if (tokens < use->wanted && !taker->is_short)
    {
      bucket->short_now++;
      bucket->none_now += use->held + tokens == 0;
      taker->is_short = true;
    }
  taker->got += tokens;
  bucket->lent_now += tokens;
  bucket->tokens = fmax (bucket->tokens - tokens, 0);
  bucket->lent += tokens;
  return tokens;
}
