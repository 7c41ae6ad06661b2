#ifndef SGR_QUOTA_BUCKET_H
#define SGR_QUOTA_BUCKET_H

#include "quota.h"

/**
 * struct sgr_quota_bucket_t - a lender's tokens of one account
 * @account: id of the account
 * @plan: division of the limit
 * @tokens: tokens that are not lent
 * @lent: tokens that borrowers may hold
 * @advanced_us: time up to which @tokens was refilled
 * @full_us: last time at which tokens were discarded because there was no room
 * @epoch: number of the current interval
 * @short_now: borrowers whose wish was not granted in full in this interval
 * @short_before: the same of the interval before
 * @none_now: those of @short_now that have no token at all
 * @none_before: the same of the interval before
 * @lent_now: tokens lent in this interval
 * @lent_before: the same of the interval before
 * @revoked: loans that were not renewed in this interval for those without a token
 */
typedef struct
{
  uint64_t account;
  sgr_quota_plan_t plan;
  double tokens;
  double lent;
  uint64_t advanced_us;
  uint64_t full_us;
  uint32_t epoch;
  uint32_t short_now;
  uint32_t short_before;
  uint32_t none_now;
  uint32_t none_before;
  uint32_t lent_now;
  uint32_t lent_before;
  uint32_t revoked;
} sgr_quota_bucket_t;

/**
 * struct sgr_quota_taker_t - a borrower's part of a bucket in an interval; zero-initialized, none
 * @epoch: number of the interval
 * @got: tokens that the borrower got in it
 * @is_short: the borrower is counted as one that wants more
 */
typedef struct
{
  uint32_t epoch;
  uint32_t got;
  bool is_short;
} sgr_quota_taker_t;

/**
 * sgr_quota_bucket_clip() - discard tokens for which there is no room
 * @part: part of the fleet that is attached, 0 to 1
 */
void sgr_quota_bucket_clip (sgr_quota_bucket_t *bucket, double part);

/** sgr_quota_bucket_advance() - refill up to a time; @part was attached since the time before */
void sgr_quota_bucket_advance (sgr_quota_bucket_t *bucket, uint64_t now_us, double part);

/** sgr_quota_bucket_epoch_set() - start new counts of borrowers if the interval is another one */
void sgr_quota_bucket_epoch_set (sgr_quota_bucket_t *bucket, uint32_t epoch);

/** sgr_quota_bucket_wanting() - borrowers that want more than they get, at least 1 */
uint32_t sgr_quota_bucket_wanting (const sgr_quota_bucket_t *bucket);

/**
 * sgr_quota_bucket_revoke() - whether the idle tokens of a borrower are to be left to end, because
 * another borrower has none and the bucket is empty
 */
bool sgr_quota_bucket_revoke (sgr_quota_bucket_t *bucket, const sgr_quota_use_t *use);

/**
 * sgr_quota_bucket_lend() - move tokens to a borrower
 * @taker: the borrower's part
 * @use: what the borrower reports
 * @room: tokens that may be lent according to the leases of the borrowers
 *
 * Borrowers without a token come first. What is scarce is shared evenly; in an interval, a borrower
 * gets no more than its part while others want some.
 *
 * Return: number of tokens.
 */
uint32_t sgr_quota_bucket_lend (sgr_quota_bucket_t *bucket, sgr_quota_taker_t *taker,
                                const sgr_quota_use_t *use, double room);

#endif
