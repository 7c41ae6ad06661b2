#include "quota_borrower.h"

#include <stdlib.h>
#include <string.h>

#include "quota_choice.h"
#include "quota_demand.h"
#include "quota_reserve.h"

/* Shortest time between two requests, also if an account has no token. */
#define REQUEST_GAP_US (50 * SGR_USEC_PER_MSEC)
/* An account stays in use at a node for this time after its last call. */
#define IN_USE_US (60 * SGR_USEC_PER_SEC)
/* An account ceases to be refused when no call was refused for this time. */
#define REFUSING_US (10 * SGR_USEC_PER_SEC)
/* With a lender that has at most this part of the fleet, a node asks others for a better one. */
#define ATTACHED_PERCENT_LOW 50
/* Leases between such questions, and before the first one. */
#define PROBE_LEASES 3
/* Requests without an answer before a lender counts as lost. A node that was stopped for a while
   finds its last request unanswered, too. */
#define MISSES_MAX 2

/* spent: tokens spent since the last request that was answered; spent_reported: those of them in
   the open request; reserve_spent and reserve_reported: the same of calls from the reserve.
   returned, returned_reported: tokens of calls that did not run, to be lent again until
   returned_until_us. answered_until_us: until then an answer of the lender counts, and there is no
   reserve. */
typedef struct
{
  uint64_t id;
  sgr_quota_plan_t plan;
  uint32_t held;
  uint64_t held_until_us;
  uint32_t spent;
  uint32_t spent_reported;
  uint32_t reserve_spent;
  uint32_t reserve_reported;
  uint32_t returned;
  uint32_t returned_reported;
  uint64_t returned_until_us;
  uint64_t used_us;
  uint64_t ask_us;
  uint64_t answered_until_us;
  sgr_quota_demand_t demand;
  uint32_t standby;
  uint32_t retry_ms;
  uint64_t retry_slot_us;
  uint64_t refused_us;
  bool is_refusing;
  bool is_used;
  sgr_quota_reserve_t reserve;
} account_t;

/* bound_node, bound_boot, bound_until_us: the lender that may count this node as attached, and the
   time until which it does at the longest. open_sequence: the request whose reply is awaited, 0 for
   none; unanswered_us: time of the first request since the last reply. is_answered: the last
   request was answered in time, so that the lender knows what is held. probe: another node that is
   asked for its lender. */
struct sgr_quota_borrower_t
{
  sgr_quota_bound_t bound;
  uint64_t start_us;
  sgr_quota_borrower_events_t events;
  void *ctx;
  account_t *accounts;
  size_t account_count;
  sgr_quota_choice_t choice;
  size_t fleet;
  size_t lender_fleet;
  sgr_node_id_t lender;
  sgr_boot_id_t lender_boot;
  uint64_t lender_time_us;
  uint64_t lease_us;
  uint32_t tenure;
  uint32_t attached_percent;
  sgr_node_id_t bound_node;
  sgr_boot_id_t bound_boot;
  uint64_t bound_until_us;
  uint64_t sequence;
  uint64_t open_sequence;
  uint64_t sent_us;
  uint64_t unanswered_us;
  uint32_t misses;
  uint64_t due_us;
  bool is_answered;
  sgr_node_id_t probe;
  uint64_t probe_sequence;
  uint64_t probe_us;
  sgr_quota_borrower_stats_t stats;
};

sgr_quota_borrower_t *
sgr_quota_borrower_create (const sgr_quota_bound_t *bound, uint64_t start_us,
                           const sgr_quota_borrower_events_t *events, void *ctx)
{
  sgr_quota_borrower_t *borrower = calloc (1, sizeof *borrower);

  sgr_invariant (borrower != NULL);
  borrower->bound = *bound;
  borrower->start_us = start_us;
  borrower->events = *events;
  borrower->ctx = ctx;
  borrower->lease_us = SGR_QUOTA_LEASE_US;
  return borrower;
}

void
sgr_quota_borrower_destroy (sgr_quota_borrower_t *borrower)
{
  if (borrower == NULL)
    return;
  free (borrower->accounts);
  sgr_quota_choice_clear (&borrower->choice);
  free (borrower);
}

static int
account_compare (const void *key, const void *item)
{
  uint64_t a = *(const uint64_t *)key;
  uint64_t b = ((const account_t *)item)->id;

  return a < b ? -1 : a > b;
}

static account_t *
account_find (const sgr_quota_borrower_t *borrower, uint64_t id)
{
  if (borrower->account_count == 0)
    return NULL;
  return bsearch (&id, borrower->accounts, borrower->account_count, sizeof *borrower->accounts,
                  account_compare);
}

void
sgr_quota_borrower_limits_set (sgr_quota_borrower_t *borrower, const sgr_quota_limit_t *limits,
                               size_t count)
{
  account_t *accounts = calloc (count + 1, sizeof *accounts);

  sgr_invariant (accounts != NULL);
  for (size_t i = 0; i < count; i++)
    {
      const account_t *former = account_find (borrower, limits[i].account);

      if (former != NULL)
        accounts[i] = *former;
      accounts[i].id = limits[i].account;
      accounts[i].plan = sgr_quota_plan (&limits[i], &borrower->bound);
    }
  free (borrower->accounts);
  borrower->accounts = accounts;
  borrower->account_count = count;
}

void
sgr_quota_borrower_members_set (sgr_quota_borrower_t *borrower, const sgr_node_id_t *members,
                                size_t count, size_t fleet)
{
  sgr_quota_choice_members_set (&borrower->choice, members, count);
  borrower->fleet = fleet;
  /* A former boot may be attached for as long as a lease. */
  if (borrower->start_us + sgr_quota_start_us (fleet) > borrower->bound_until_us)
    borrower->bound_until_us = borrower->start_us + sgr_quota_start_us (fleet);
}

sgr_node_id_t
sgr_quota_borrower_lender (const sgr_quota_borrower_t *borrower)
{
  return borrower->lender;
}

sgr_quota_borrower_stats_t
sgr_quota_borrower_stats (const sgr_quota_borrower_t *borrower)
{
  return borrower->stats;
}

static void
tokens_drop (sgr_quota_borrower_t *borrower)
{
  for (size_t i = 0; i < borrower->account_count; i++)
    {
      account_t *account = &borrower->accounts[i];

      account->held = 0;
      account->spent = 0;
      account->spent_reported = 0;
      account->reserve_spent = 0;
      account->reserve_reported = 0;
      account->returned = 0;
      account->returned_reported = 0;
      account->ask_us = 0;
      account->answered_until_us = 0;
    }
  borrower->tenure++;
}

static void
lender_switch (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_node_id_t lender)
{
  if (lender != borrower->lender)
    {
      borrower->stats.lender_changes++;
      borrower->lender = lender;
      borrower->events.lender_changed (borrower->ctx, lender);
    }
  tokens_drop (borrower);
  borrower->lender_boot = 0;
  borrower->lender_time_us = 0;
  borrower->is_answered = false;
  borrower->open_sequence = 0;
  borrower->misses = 0;
  borrower->attached_percent = 100;
  borrower->probe = 0;
  borrower->probe_us = now_us + PROBE_LEASES * borrower->lease_us;
  borrower->due_us = now_us;
}

static void
lender_lost (sgr_quota_borrower_t *borrower, uint64_t now_us)
{
  sgr_quota_choice_lost_add (&borrower->choice, borrower->lender, now_us);
  lender_switch (borrower, now_us, sgr_quota_choice_best (&borrower->choice, now_us));
}

static uint32_t
reserve_limit (const sgr_quota_borrower_t *borrower, const account_t *account, uint64_t now_us)
{
  if (now_us < borrower->start_us + borrower->bound.window_us)
    return 0;
  return sgr_quota_reserve_limit (account->plan.reserve, borrower->fleet, borrower->lender_fleet);
}

static void
request_hasten (sgr_quota_borrower_t *borrower, const account_t *account)
{
  uint64_t due_us = borrower->sent_us + REQUEST_GAP_US;

  if (due_us < account->ask_us)
    due_us = account->ask_us;
  if (due_us < borrower->due_us)
    borrower->due_us = due_us;
}

bool
sgr_quota_borrower_call_start (sgr_quota_borrower_t *borrower, uint64_t now_us, size_t index,
                               sgr_quota_credit_t *credit, uint32_t *retry_after_ms)
{
  account_t *account = &borrower->accounts[index];

  *credit = (sgr_quota_credit_t){ .account = account->id,
                                  .tenure = borrower->tenure,
                                  .start_us = now_us };
  account->used_us = now_us;
  account->is_used = true;
  account->demand.calls++;
  if (now_us >= account->held_until_us)
    account->held = 0;
  if (account->held > 0)
    {
      account->held--;
      account->spent++;
      credit->kind = SGR_QUOTA_TOKEN;
    }
  else if (now_us >= account->answered_until_us
           && sgr_quota_reserve_take (&account->reserve, now_us, borrower->bound.window_us,
                                      reserve_limit (borrower, account, now_us)))
    {
      account->reserve_spent++;
      credit->kind = SGR_QUOTA_RESERVE;
      borrower->stats.reserve++;
    }
  if (account->held == 0)
    request_hasten (borrower, account);
  if (credit->kind != SGR_QUOTA_REFUSED)
    {
      borrower->stats.admitted++;
      return true;
    }
  borrower->stats.refused++;
  account->refused_us = now_us;
  if (!account->is_refusing)
    {
      account->is_refusing = true;
      borrower->events.refusing_changed (borrower->ctx, account->id, true);
    }
  *retry_after_ms = sgr_quota_retry_ms (&account->retry_slot_us, now_us, account->retry_ms);
  return false;
}

bool
sgr_quota_borrower_is_exhausted (const sgr_quota_borrower_t *borrower, size_t index)
{
  return borrower->accounts[index].retry_ms > 0;
}

void
sgr_quota_borrower_standby_set (sgr_quota_borrower_t *borrower, size_t index, uint32_t tokens)
{
  borrower->accounts[index].standby = tokens;
}

void
sgr_quota_borrower_call_return (sgr_quota_borrower_t *borrower, uint64_t now_us,
                                const sgr_quota_credit_t *credit)
{
  account_t *account = account_find (borrower, credit->account);

  if (account == NULL || credit->kind == SGR_QUOTA_REFUSED)
    return;
  if (credit->kind == SGR_QUOTA_RESERVE)
    {
      sgr_quota_reserve_return (&account->reserve, credit->start_us, borrower->bound.window_us);
      return;
    }
  if (credit->tenure != borrower->tenure || credit->start_us + SGR_QUOTA_RETURN_US < now_us)
    return;
  /* A spent token that is not reported yet is still lent. */
  if (account->spent > account->spent_reported)
    {
      account->spent--;
      if (now_us < account->held_until_us)
        account->held++;
    }
  else
    {
      uint64_t until_us = credit->start_us + SGR_QUOTA_RETURN_US;

      if (account->returned == 0 || until_us < account->returned_until_us)
        account->returned_until_us = until_us;
      account->returned++;
    }
}

static void
use_report (const sgr_quota_borrower_t *borrower, account_t *account, uint64_t now_us,
            sgr_quota_request_t *request)
{
  sgr_quota_use_t *use = &request->uses[request->use_count++];
  uint32_t tokens = sgr_quota_demand_tokens (&account->demand, now_us,
                                             sgr_quota_interval_us (borrower->lease_us));

  if (tokens < account->standby)
    tokens = account->standby;
  /* The lender takes tokens that are not reported any more as given back. */
  if (account->held > 2 * tokens)
    account->held = tokens;
  if (now_us >= account->returned_until_us)
    account->returned = 0;
  account->spent_reported = account->spent;
  account->reserve_reported = account->reserve_spent;
  account->returned_reported = account->returned;
  use->account = account->id;
  use->held = account->held + account->returned;
  use->spent = account->spent + account->reserve_spent;
  use->wanted = tokens > use->held && now_us >= account->ask_us ? tokens - use->held : 0;
}

static void
uses_report (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_quota_request_t *request)
{
  for (size_t i = 0; i < borrower->account_count; i++)
    {
      account_t *account = &borrower->accounts[i];

      account->spent_reported = 0;
      account->reserve_reported = 0;
      account->returned_reported = 0;
      if (!account->is_used && account->standby == 0)
        continue;
      if (account->is_refusing && account->refused_us + REFUSING_US < now_us)
        {
          account->is_refusing = false;
          borrower->events.refusing_changed (borrower->ctx, account->id, false);
        }
      if (now_us >= account->held_until_us)
        account->held = 0;
      /* The lender takes the tokens of an account that is not reported as given up. */
      if ((account->used_us + IN_USE_US < now_us && account->standby == 0)
          || request->use_count == SGR_QUOTA_USES_MAX)
        {
          account->held = 0;
          account->spent = 0;
          account->reserve_spent = 0;
          account->returned = 0;
          account->is_used = account->used_us + IN_USE_US >= now_us;
        }
      else
        use_report (borrower, account, now_us, request);
    }
}

static void
request_fill (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_quota_request_t *request)
{
  bool may_attach = now_us >= borrower->bound_until_us
                    || (borrower->bound_node == borrower->lender
                        && borrower->bound_boot == borrower->lender_boot);

  request->sequence = ++borrower->sequence;
  request->fleet = (uint32_t)borrower->fleet;
  request->lender_boot = borrower->lender_boot;
  request->lender_time_us = 0;
  request->use_count = 0;
  /* A request after a lost one carries no time. It does not extend the attachment, so that another
     lender can be used soon if this one is lost, and the lender answers it without tokens. */
  if (borrower->is_answered && borrower->lender_time_us != 0 && may_attach)
    {
      uint64_t until_us = now_us + borrower->lease_us + borrower->lease_us / 64;

      request->lender_time_us = borrower->lender_time_us;
      borrower->bound_node = borrower->lender;
      borrower->bound_boot = borrower->lender_boot;
      if (until_us > borrower->bound_until_us)
        borrower->bound_until_us = until_us;
    }
  uses_report (borrower, now_us, request);
  borrower->open_sequence = request->sequence;
  borrower->sent_us = now_us;
  if (borrower->misses == 0)
    borrower->unanswered_us = now_us;
  borrower->due_us = now_us + sgr_quota_interval_us (borrower->lease_us);
  if (!may_attach && borrower->due_us > borrower->bound_until_us)
    borrower->due_us = borrower->bound_until_us;
}

/* Time at which the open request counts as unanswered. */
static uint64_t
timeout_us (const sgr_quota_borrower_t *borrower)
{
  uint64_t timeout = borrower->sent_us + sgr_quota_interval_us (borrower->lease_us);
  uint64_t lost = borrower->unanswered_us + borrower->lease_us * 3 / 5;

  return borrower->misses >= MISSES_MAX && lost < timeout && lost > borrower->sent_us ? lost
                                                                                      : timeout;
}

/* A node that has just started knows few members, and would choose itself or another one that most
   nodes do not choose. It waits until it knows the fleet; nothing is lent before. */
static bool
may_choose (const sgr_quota_borrower_t *borrower)
{
  return borrower->account_count > 0 && borrower->choice.member_count > 0
         && (borrower->lender != 0 || borrower->fleet > 0);
}

uint64_t
sgr_quota_borrower_next_us (const sgr_quota_borrower_t *borrower)
{
  uint64_t next_us = borrower->due_us;

  if (!may_choose (borrower))
    return UINT64_MAX;
  if (borrower->open_sequence != 0)
    next_us = timeout_us (borrower);
  return borrower->probe_us < next_us ? borrower->probe_us : next_us;
}

/* Asks another node for its lender. The request has no time and no uses, so that it attaches
   nothing. Return: the node to ask, 0 for none. */
static sgr_node_id_t
probe_fill (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_quota_request_t *request)
{
  sgr_node_id_t node = borrower->probe;

  borrower->probe = 0;
  borrower->probe_us = now_us + PROBE_LEASES * borrower->lease_us;
  if (node == 0 && borrower->attached_percent <= ATTACHED_PERCENT_LOW)
    node = sgr_quota_choice_any (&borrower->choice, borrower->sequence + borrower->start_us);
  if (node == 0 || node == borrower->lender
      || !sgr_quota_choice_is_member (&borrower->choice, node))
    return 0;
  request->sequence = ++borrower->sequence;
  request->fleet = (uint32_t)borrower->fleet;
  request->lender_boot = 0;
  request->lender_time_us = 0;
  request->use_count = 0;
  borrower->probe = node;
  borrower->probe_sequence = request->sequence;
  return node;
}

sgr_node_id_t
sgr_quota_borrower_tick (sgr_quota_borrower_t *borrower, uint64_t now_us,
                         sgr_quota_request_t *request)
{
  if (!may_choose (borrower))
    return 0;
  if (borrower->lender == 0 || !sgr_quota_choice_is_member (&borrower->choice, borrower->lender))
    lender_switch (borrower, now_us, sgr_quota_choice_best (&borrower->choice, now_us));
  if (borrower->open_sequence != 0 && now_us >= timeout_us (borrower))
    {
      borrower->open_sequence = 0;
      borrower->is_answered = false;
      borrower->misses++;
      borrower->due_us = now_us;
      if (borrower->misses > MISSES_MAX
          && now_us >= borrower->unanswered_us + borrower->lease_us * 3 / 5)
        lender_lost (borrower, now_us);
    }
  if (borrower->open_sequence == 0 && now_us >= borrower->due_us)
    {
      request_fill (borrower, now_us, request);
      return borrower->lender;
    }
  return now_us >= borrower->probe_us ? probe_fill (borrower, now_us, request) : 0;
}

static void
grant_take (sgr_quota_borrower_t *borrower, uint64_t now_us, const sgr_quota_grant_t *grant,
            uint64_t valid_until_us)
{
  account_t *account = account_find (borrower, grant->account);

  if (account == NULL || (!account->is_used && account->standby == 0))
    return;
  if (now_us >= account->held_until_us)
    account->held = 0;
  account->held += grant->tokens + account->returned_reported;
  account->returned -= account->returned_reported;
  account->held_until_us = valid_until_us;
  account->answered_until_us = now_us + borrower->lease_us;
  account->ask_us = 0;
  if (grant->retry_after_ms > 0)
    {
      account->retry_ms = grant->retry_after_ms;
      account->ask_us = now_us + grant->retry_after_ms * SGR_USEC_PER_MSEC;
    }
  if (account->held == 0)
    request_hasten (borrower, account);
}

/* What a request reported is known to the lender now. */
static void
reports_confirm (sgr_quota_borrower_t *borrower)
{
  for (size_t i = 0; i < borrower->account_count; i++)
    {
      account_t *account = &borrower->accounts[i];

      account->spent -= account->spent_reported;
      account->spent_reported = 0;
      account->reserve_spent -= account->reserve_reported;
      account->reserve_reported = 0;
      account->returned_reported = 0;
    }
}

static void
redirect_follow (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_node_id_t redirect)
{
  if (redirect != borrower->lender && sgr_quota_choice_is_member (&borrower->choice, redirect)
      && !sgr_quota_choice_is_lost (&borrower->choice, redirect, now_us, 2 * borrower->lease_us))
    lender_switch (borrower, now_us, redirect);
  /* Two nodes may name each other while they change their lender. */
  borrower->due_us = now_us + REQUEST_GAP_US;
}

/* Takes in the answer of a node that was asked for its lender. A node changes to a lender with more
   of the fleet, or at the same number to the preferred one. */
static void
probe_reply (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_node_id_t from,
             const sgr_quota_reply_t *reply)
{
  borrower->probe = 0;
  if (reply->redirect != 0)
    {
      if (reply->redirect != borrower->lender && reply->redirect != from)
        {
          borrower->probe = reply->redirect;
          borrower->probe_us = now_us;
        }
      return;
    }
  if (borrower->attached_percent <= ATTACHED_PERCENT_LOW
      && (reply->attached_percent > borrower->attached_percent
          || (reply->attached_percent == borrower->attached_percent
              && sgr_quota_choice_prefers (from, borrower->lender))))
    lender_switch (borrower, now_us, from);
}

void
sgr_quota_borrower_reply (sgr_quota_borrower_t *borrower, uint64_t now_us, sgr_node_id_t from,
                          const sgr_quota_reply_t *reply)
{
  uint64_t valid_until_us;

  if (from == borrower->probe && reply->sequence == borrower->probe_sequence)
    {
      probe_reply (borrower, now_us, from, reply);
      return;
    }
  if (from != borrower->lender || borrower->open_sequence == 0
      || reply->sequence != borrower->open_sequence)
    return;
  borrower->open_sequence = 0;
  borrower->misses = 0;
  if (reply->redirect != 0)
    {
      redirect_follow (borrower, now_us, reply->redirect);
      return;
    }
  if (reply->lender_boot != borrower->lender_boot)
    {
      tokens_drop (borrower);
      borrower->lender_boot = reply->lender_boot;
      borrower->is_answered = false;
    }
  borrower->lender_time_us = reply->lender_time_us;
  borrower->lease_us = reply->lease_us;
  if (reply->fleet > 0)
    borrower->lender_fleet = reply->fleet;
  valid_until_us = borrower->sent_us + sgr_quota_loan_us (reply->lease_us);
  if (now_us < valid_until_us)
    {
      /* The first reply after a change or a loss has no tokens; the next request gets some. */
      borrower->due_us = borrower->is_answered ? borrower->due_us : now_us;
      borrower->is_answered = true;
      for (size_t i = 0; i < reply->grant_count; i++)
        grant_take (borrower, now_us, &reply->grants[i], valid_until_us);
    }
  else
    {
      borrower->is_answered = false;
      borrower->due_us = now_us;
    }
  reports_confirm (borrower);
  borrower->attached_percent = reply->attached_percent;
}
