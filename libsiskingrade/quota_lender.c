#include "quota_lender.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "quota_bucket.h"

/* Rounding errors of the sums of tokens. */
#define EPSILON 1e-6
#define RETRY_MS_MAX 60000

/* Tokens lent to a borrower: base, which it reported in its last request, and granted, which the
   reply to that request added. is_exact: the spending since that request will be reported in full,
   so that tokens which are neither held nor spent can go back to the bucket. */
typedef struct
{
  uint64_t account;
  uint32_t base;
  uint32_t granted;
  uint64_t until_us;
  bool is_new;
  bool is_exact;
  sgr_quota_taker_t taker;
} loan_t;

typedef struct
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  uint64_t sequence;
  uint64_t reply_us;
  uint64_t attached_until_us;
  uint32_t fleet;
  uint64_t loans_until_us;
  loan_t *loans;
  size_t loan_count;
  size_t loan_capacity;
} borrower_t;

struct sgr_quota_lender_t
{
  sgr_boot_id_t boot;
  sgr_quota_bound_t bound;
  uint64_t start_us;
  uint64_t last_us;
  size_t known_fleet;
  size_t fleet;
  uint64_t lease_us;
  uint64_t old_lease_us;
  uint64_t lease_changed_us;
  sgr_quota_bucket_t *accounts;
  size_t account_count;
  borrower_t *borrowers;
  size_t borrower_count;
  size_t borrower_capacity;
  size_t attached;
  size_t backed;
  uint64_t count_again_us;
  uint64_t sweep_us;
  uint64_t lent_total;
};

sgr_quota_lender_t *
sgr_quota_lender_create (sgr_boot_id_t boot, const sgr_quota_bound_t *bound, uint64_t start_us)
{
  sgr_quota_lender_t *lender = calloc (1, sizeof *lender);

  sgr_invariant (lender != NULL);
  lender->boot = boot;
  lender->bound = *bound;
  lender->start_us = start_us;
  lender->last_us = start_us;
  lender->lease_us = SGR_QUOTA_LEASE_US;
  lender->old_lease_us = SGR_QUOTA_LEASE_US;
  return lender;
}

void
sgr_quota_lender_destroy (sgr_quota_lender_t *lender)
{
  if (lender == NULL)
    return;
  for (size_t i = 0; i < lender->borrower_count; i++)
    free (lender->borrowers[i].loans);
  free (lender->borrowers);
  free (lender->accounts);
  free (lender);
}

static double
fleet_share (const sgr_quota_lender_t *lender, size_t nodes)
{
  if (lender->fleet == 0)
    return 0;
  return nodes >= lender->fleet ? 1 : (double)nodes / (double)lender->fleet;
}

static void
account_advance (const sgr_quota_lender_t *lender, sgr_quota_bucket_t *account, uint64_t now_us)
{
  sgr_quota_bucket_advance (account, now_us, fleet_share (lender, lender->attached));
}

static void
account_clip (const sgr_quota_lender_t *lender, sgr_quota_bucket_t *account)
{
  sgr_quota_bucket_clip (account, fleet_share (lender, lender->attached));
}

static void
accounts_advance (sgr_quota_lender_t *lender, uint64_t now_us)
{
  for (size_t i = 0; i < lender->account_count; i++)
    account_advance (lender, &lender->accounts[i], now_us);
}

static int
account_compare (const void *key, const void *item)
{
  uint64_t a = *(const uint64_t *)key;
  uint64_t b = ((const sgr_quota_bucket_t *)item)->account;

  return a < b ? -1 : a > b;
}

static sgr_quota_bucket_t *
account_find (const sgr_quota_lender_t *lender, uint64_t id)
{
  if (lender->account_count == 0)
    return NULL;
  return bsearch (&id, lender->accounts, lender->account_count, sizeof *lender->accounts,
                  account_compare);
}

/* Counts the attached borrowers and those whose lease outlasts a loan made now, and determines the
   size of the fleet. The numbers are exact until count_again_us, if no lease is renewed. */
static void
attachments_count (sgr_quota_lender_t *lender, uint64_t now_us)
{
  uint64_t loan_us = sgr_quota_loan_us (lender->lease_us);

  lender->attached = 0;
  lender->backed = 0;
  lender->fleet = lender->known_fleet;
  lender->count_again_us = UINT64_MAX;
  for (size_t i = 0; i < lender->borrower_count; i++)
    {
      uint64_t until_us = lender->borrowers[i].attached_until_us;
      uint64_t change_us = until_us;

      if (until_us <= now_us)
        continue;
      lender->attached++;
      if (lender->fleet > 0 && lender->borrowers[i].fleet > lender->fleet)
        lender->fleet = lender->borrowers[i].fleet;
      if (until_us > now_us + loan_us)
        {
          lender->backed++;
          change_us = until_us - loan_us;
        }
      if (change_us < lender->count_again_us)
        lender->count_again_us = change_us;
    }
}

static void
loan_release (sgr_quota_lender_t *lender, borrower_t *borrower, size_t index)
{
  loan_t *loan = &borrower->loans[index];
  sgr_quota_bucket_t *account = account_find (lender, loan->account);

  if (account != NULL)
    account->lent -= loan->base + loan->granted;
  *loan = borrower->loans[--borrower->loan_count];
}

/* Releases loans that have ended, and forgets borrowers without a loan or a lease. */
static void
loans_sweep (sgr_quota_lender_t *lender, uint64_t now_us)
{
  size_t kept = 0;

  for (size_t i = 0; i < lender->borrower_count; i++)
    {
      borrower_t *borrower = &lender->borrowers[i];

      for (size_t n = borrower->loan_count; n > 0; n--)
        {
          if (borrower->loans[n - 1].until_us <= now_us)
            loan_release (lender, borrower, n - 1);
        }
      if (borrower->loan_count == 0 && borrower->reply_us + 12 * lender->lease_us < now_us)
        free (borrower->loans);
      else
        lender->borrowers[kept++] = *borrower;
    }
  lender->borrower_count = kept;
  lender->sweep_us = now_us + sgr_quota_interval_us (lender->lease_us);
}

/* Brings the state to the current time. Refills end exactly when a lease ends, also if the process
   was stopped meanwhile. */
static void
lender_settle (sgr_quota_lender_t *lender, uint64_t now_us)
{
  while (now_us >= lender->count_again_us)
    {
      uint64_t change_us = lender->count_again_us;

      if (change_us < lender->last_us)
        change_us = lender->last_us;
      accounts_advance (lender, change_us);
      attachments_count (lender, change_us);
      accounts_advance (lender, change_us);
    }
  if (now_us >= lender->sweep_us)
    {
      accounts_advance (lender, now_us);
      loans_sweep (lender, now_us);
    }
  lender->last_us = now_us;
}

void
sgr_quota_lender_limits_set (sgr_quota_lender_t *lender, uint64_t now_us,
                             const sgr_quota_limit_t *limits, size_t count)
{
  sgr_quota_bucket_t *accounts = calloc (count + 1, sizeof *accounts);

  sgr_invariant (accounts != NULL);
  lender_settle (lender, now_us);
  accounts_advance (lender, now_us);
  for (size_t i = 0; i < count; i++)
    {
      const sgr_quota_bucket_t *former = account_find (lender, limits[i].account);

      if (former != NULL)
        accounts[i] = *former;
      accounts[i].account = limits[i].account;
      accounts[i].plan = sgr_quota_plan (&limits[i], &lender->bound);
      accounts[i].advanced_us = now_us;
      account_clip (lender, &accounts[i]);
    }
  free (lender->accounts);
  lender->accounts = accounts;
  lender->account_count = count;
  /* An account that is removed and returns must not find loans of its former time. */
  for (size_t i = 0; i < lender->borrower_count; i++)
    {
      borrower_t *borrower = &lender->borrowers[i];

      for (size_t n = borrower->loan_count; n > 0; n--)
        {
          if (account_find (lender, borrower->loans[n - 1].account) == NULL)
            loan_release (lender, borrower, n - 1);
        }
    }
}

void
sgr_quota_lender_fleet_set (sgr_quota_lender_t *lender, uint64_t now_us, size_t fleet)
{
  uint64_t lease_us = sgr_quota_lease_us (fleet);

  lender_settle (lender, now_us);
  accounts_advance (lender, now_us);
  lender->known_fleet = fleet;
  /* A shorter lease waits until it would be half as long, so that a fleet near a step does not
     change it again and again. Leases keep the length that was stated with their timestamp. */
  if ((lease_us > lender->lease_us || lease_us * 2 <= lender->lease_us)
      && now_us >= lender->lease_changed_us + 2 * lender->old_lease_us)
    {
      lender->old_lease_us = lender->lease_us;
      lender->lease_us = lease_us;
      lender->lease_changed_us = now_us;
    }
  attachments_count (lender, now_us);
  accounts_advance (lender, now_us);
}

static borrower_t *
borrower_get (sgr_quota_lender_t *lender, sgr_node_id_t node)
{
  size_t low = 0;
  size_t high = lender->borrower_count;

  while (low < high)
    {
      size_t middle = (low + high) / 2;

      if (lender->borrowers[middle].node < node)
        low = middle + 1;
      else
        high = middle;
    }
  if (low < lender->borrower_count && lender->borrowers[low].node == node)
    return &lender->borrowers[low];
  if (lender->borrower_count == lender->borrower_capacity)
    {
      lender->borrower_capacity = lender->borrower_capacity * 2 + 16;
      lender->borrowers
          = realloc (lender->borrowers, lender->borrower_capacity * sizeof *lender->borrowers);
      sgr_invariant (lender->borrowers != NULL);
    }
  memmove (&lender->borrowers[low + 1], &lender->borrowers[low],
           (lender->borrower_count - low) * sizeof *lender->borrowers);
  lender->borrower_count++;
  lender->borrowers[low] = (borrower_t){ .node = node };
  return &lender->borrowers[low];
}

/* The loans are looked up in the order of the requests, which changes little. */
static loan_t *
loan_get (borrower_t *borrower, uint64_t account, size_t hint)
{
  for (size_t i = 0; i < borrower->loan_count; i++)
    {
      loan_t *loan = &borrower->loans[(hint + i) % borrower->loan_count];

      if (loan->account == account)
        return loan;
    }
  if (borrower->loan_count == borrower->loan_capacity)
    {
      borrower->loan_capacity = borrower->loan_capacity * 2 + 4;
      borrower->loans
          = realloc (borrower->loans, borrower->loan_capacity * sizeof *borrower->loans);
      sgr_invariant (borrower->loans != NULL);
    }
  borrower->loans[borrower->loan_count]
      = (loan_t){ .account = account, .is_new = true, .is_exact = true };
  return &borrower->loans[borrower->loan_count++];
}

/* Tokens that a borrower reports beyond those that it was lent. Those of calls that did not run are
   added, unless tokens were discarded since such a call may have taken its token: the token would
   have been discarded, too. Otherwise, and for a loan that ended before the report of it arrived,
   they are taken from the bucket. Return: false if they cannot be lent. */
static bool
excess_settle (const sgr_quota_lender_t *lender, sgr_quota_bucket_t *account, const loan_t *loan,
               double excess)
{
  bool was_full
      = account->full_us != 0
        && account->full_us + SGR_QUOTA_RETURN_US + 2 * lender->lease_us > lender->last_us;

  if (!loan->is_new && !was_full)
    return true;
  if (account->tokens < excess)
    return false;
  account->tokens -= excess;
  return true;
}

/* Takes in what a borrower reports of an account. Return: false if its loan cannot be renewed. */
static bool
use_settle (const sgr_quota_lender_t *lender, sgr_quota_bucket_t *account, loan_t *loan,
            const sgr_quota_use_t *use)
{
  double expected = (double)loan->base + loan->granted;
  double reported = (double)use->held + use->spent;
  uint32_t held = use->held;
  bool is_valid = true;

  if (held > expected)
    {
      is_valid = excess_settle (lender, account, loan, held - expected);
      if (!is_valid)
        held = loan->base + loan->granted;
    }
  else if (loan->is_exact && expected > reported)
    account->tokens += expected - reported;
  /* Calls from the reserve are charged as far as there are tokens. */
  if (use->spent > expected)
    account->tokens -= fmin (account->tokens, use->spent - expected);
  account->lent += held - expected;
  loan->base = held;
  loan->granted = 0;
  loan->is_new = false;
  loan->is_exact = is_valid;
  account_clip (lender, account);
  return is_valid;
}

/* Renews the loan of an account and adds tokens to it. Return: false if the loan is not renewed. */
static bool
use_grant (sgr_quota_lender_t *lender, sgr_quota_bucket_t *account, loan_t *loan,
           const sgr_quota_use_t *use, sgr_quota_grant_t *grant)
{
  double room = account->plan.capacity * fleet_share (lender, lender->backed) - account->lent;
  double rate = account->plan.rate_per_s * fleet_share (lender, lender->attached);
  uint32_t epoch = (uint32_t)(lender->last_us / sgr_quota_interval_us (lender->lease_us)) + 1;

  sgr_quota_bucket_epoch_set (account, epoch);
  if (room < -EPSILON || sgr_quota_bucket_revoke (account, use))
    return false;
  loan->granted = sgr_quota_bucket_lend (account, &loan->taker, use, room);
  loan->until_us = lender->last_us + sgr_quota_loan_us (lender->lease_us);
  lender->lent_total += loan->granted;
  *grant = (sgr_quota_grant_t){ .account = account->account, .tokens = loan->granted };
  if (loan->granted == 0 && use->wanted > 0)
    {
      double wait_ms = rate > 0 ? sgr_quota_bucket_wanting (account) * 1000.0 / rate : 1000;

      grant->retry_after_ms = (uint32_t)fmin (fmax (wait_ms, 1), RETRY_MS_MAX);
    }
  return true;
}

/* Loans of accounts that a borrower does not report any more. */
static void
loans_prune (sgr_quota_lender_t *lender, borrower_t *borrower, const sgr_quota_request_t *request)
{
  if (borrower->loan_count <= request->use_count)
    return;
  for (size_t n = borrower->loan_count; n > 0; n--)
    {
      bool is_used = false;

      for (size_t i = 0; i < request->use_count && !is_used; i++)
        is_used = request->uses[i].account == borrower->loans[n - 1].account;
      if (!is_used)
        loan_release (lender, borrower, n - 1);
    }
}

static void
uses_answer (sgr_quota_lender_t *lender, borrower_t *borrower, const sgr_quota_request_t *request,
             sgr_quota_reply_t *reply)
{
  for (size_t i = 0; i < request->use_count; i++)
    {
      const sgr_quota_use_t *use = &request->uses[i];
      sgr_quota_bucket_t *account = account_find (lender, use->account);
      loan_t *loan;

      if (account == NULL)
        continue;
      account_advance (lender, account, lender->last_us);
      loan = loan_get (borrower, use->account, i);
      if (use_settle (lender, account, loan, use)
          && use_grant (lender, account, loan, use, &reply->grants[reply->grant_count]))
        reply->grant_count++;
      if (loan->until_us > borrower->loans_until_us)
        borrower->loans_until_us = loan->until_us;
    }
  loans_prune (lender, borrower, request);
}

static void
borrower_attach (sgr_quota_lender_t *lender, borrower_t *borrower,
                 const sgr_quota_request_t *request)
{
  uint64_t lease_us = request->lender_time_us < lender->lease_changed_us ? lender->old_lease_us
                                                                         : lender->lease_us;
  uint64_t until_us = request->lender_time_us + lease_us;

  if (until_us <= borrower->attached_until_us || until_us <= lender->last_us)
    return;
  /* The numbers stay as they are, and do not have to be counted for each request. */
  if (borrower->attached_until_us > lender->last_us + sgr_quota_loan_us (lender->lease_us)
      && borrower->fleet == request->fleet)
    {
      borrower->attached_until_us = until_us;
      return;
    }
  borrower->fleet = request->fleet;
  accounts_advance (lender, lender->last_us);
  borrower->attached_until_us = until_us;
  attachments_count (lender, lender->last_us);
}

/* Starts anew for a borrower that restarted. Return: false while loans of its former boot last. */
static bool
borrower_boot_set (sgr_quota_lender_t *lender, borrower_t *borrower, sgr_boot_id_t boot)
{
  if (borrower->boot == boot)
    return true;
  if (borrower->loans_until_us > lender->last_us)
    return false;
  accounts_advance (lender, lender->last_us);
  while (borrower->loan_count > 0)
    loan_release (lender, borrower, borrower->loan_count - 1);
  borrower->boot = boot;
  borrower->sequence = 0;
  borrower->loans_until_us = 0;
  return true;
}

bool
sgr_quota_lender_request (sgr_quota_lender_t *lender, uint64_t now_us, sgr_node_id_t node,
                          sgr_boot_id_t boot, sgr_node_id_t redirect,
                          const sgr_quota_request_t *request, sgr_quota_reply_t *reply)
{
  borrower_t *borrower;
  bool is_confirmed;
  bool lends;

  lender_settle (lender, now_us);
  lends = redirect == 0 && lender->fleet > 0
          && now_us >= lender->start_us + sgr_quota_start_us (lender->fleet);
  borrower = borrower_get (lender, node);
  if (!borrower_boot_set (lender, borrower, boot) || request->sequence <= borrower->sequence)
    return false;
  borrower->sequence = request->sequence;
  /* The borrower has taken in the last reply. Otherwise it is not known what it holds. */
  is_confirmed = request->lender_boot == lender->boot && request->lender_time_us != 0
                 && request->lender_time_us == borrower->reply_us;
  borrower->reply_us = now_us > borrower->reply_us ? now_us : borrower->reply_us + 1;
  reply->sequence = request->sequence;
  reply->lender_time_us = borrower->reply_us;
  reply->lender_boot = lender->boot;
  reply->fleet = (uint32_t)lender->fleet;
  reply->lease_us = lender->lease_us;
  reply->redirect = redirect;
  reply->grant_count = 0;
  if (lends && is_confirmed)
    {
      borrower_attach (lender, borrower, request);
      uses_answer (lender, borrower, request, reply);
    }
  else
    {
      /* The borrower counts what it spent anew from this request on. */
      for (size_t i = 0; i < borrower->loan_count; i++)
        borrower->loans[i].is_exact = false;
    }
  reply->attached_percent = (uint32_t)(fleet_share (lender, lender->attached) * 100);
  return true;
}

sgr_quota_lender_stats_t
sgr_quota_lender_stats (sgr_quota_lender_t *lender, uint64_t now_us)
{
  lender_settle (lender, now_us);
  return (sgr_quota_lender_stats_t){ .attached = lender->attached, .lent = lender->lent_total };
}
