#include "data_quota.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "data_gate.h"
#include "data_link.h"
#include "data_refuse.h"
#include "log.h"
#include "quota_borrower.h"
#include "quota_lender.h"

#define LIMIT_NONE UINT32_MAX
/* Tokens of an account that a gate needs, so that calls that arrive at random rarely find none. */
#define TOKENS_PER_GATE 3
/* Fewest gates of a service and failure domain that calls of an account go to. With a single one,
   they would leave it while it is slowed, and find no token at another. */
#define GATES_MIN 2
/* Part of an account's capacity that its gates hold in advance. The rest is there for gates that
   have used theirs. */
#define STANDBY_SHARE 0.5
/* Requests that are made in a row before other events are handled. */
#define REQUESTS_IN_ROW_MAX 4

typedef struct
{
  sgr_quota_limit_t limit;
  char name[SGR_NAME_MAX + 1];
} named_limit_t;

/**
 * struct sgr_data_quotas_t - state of the quotas
 * @limits: accounts with a rate, sorted by the hash of their names
 * @limit_of: index in @limits by the index of the account in the configuration, LIMIT_NONE for none
 * @bound: bound of the quotas
 * @group_count: pairs of a service and a failure domain; calls of an account go to gates of each
 * @armed_us: time on the clock of the quotas for which @timer is armed, UINT64_MAX if it is not
 * @request, @reply: buffers for one message
 * @uses, @use_list: entries of the request in a frame
 * @grants, @grant_list: entries of the reply in a frame
 */
struct sgr_data_quotas_t
{
  sgr_data_task_t *task;
  sgr_quota_lender_t *lender;
  sgr_quota_borrower_t *borrower;
  named_limit_t *limits;
  size_t limit_count;
  uint32_t *limit_of;
  size_t account_count;
  sgr_quota_bound_t bound;
  uint32_t group_count;
  sgr_timer_t timer;
  uint64_t armed_us;
  sgr_quota_request_t request;
  sgr_quota_reply_t reply;
  Sgr__Pb__QuotaUse uses[SGR_QUOTA_USES_MAX + 1];
  Sgr__Pb__QuotaUse *use_list[SGR_QUOTA_USES_MAX + 1];
  Sgr__Pb__QuotaGrant grants[SGR_QUOTA_USES_MAX + 1];
  Sgr__Pb__QuotaGrant *grant_list[SGR_QUOTA_USES_MAX + 1];
};

/* Leases must also end while the machine is suspended, when the monotonic clock stops. */
static uint64_t
quota_clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t)now.tv_sec * SGR_USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

static void
on_lender_changed (void *ctx, sgr_node_id_t lender)
{
  const sgr_data_quotas_t *quotas = ctx;
  const sgr_member_t *member = sgr_data_member_find (quotas->task, lender);

  sgr_log_info ("quota-lender", "lender=%s", member != NULL ? member->name : "-");
}

static void
on_refusing_changed (void *ctx, uint64_t account, bool is_refusing)
{
  const sgr_data_quotas_t *quotas = ctx;
  const char *name = "-";

  for (size_t i = 0; i < quotas->limit_count; i++)
    {
      if (quotas->limits[i].limit.account == account)
        name = quotas->limits[i].name;
    }
  sgr_log_info (is_refusing ? "quota-reached" : "quota-available", "account=%s", name);
}

static void
timer_update (sgr_data_quotas_t *quotas, uint64_t now_us)
{
  uint64_t next_us = sgr_quota_borrower_next_us (quotas->borrower);

  if (next_us == quotas->armed_us)
    return;
  quotas->armed_us = next_us;
  if (next_us == UINT64_MAX)
    sgr_timer_cancel (quotas->task->timers, &quotas->timer);
  else
    sgr_timer_arm (quotas->task->timers, &quotas->timer,
                   sgr_clock_monotonic_us () + (next_us > now_us ? next_us - now_us : 0));
}

static void
request_send (sgr_data_quotas_t *quotas, sgr_node_id_t to)
{
  const sgr_quota_request_t *request = &quotas->request;
  sgr_data_link_t *link = sgr_data_link_get (quotas->task->links, to);
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__QuotaRequest message = SGR__PB__QUOTA_REQUEST__INIT;

  sgr__pb__quota_use__init (&quotas->uses[0]);
  quotas->uses[0].held = request->fleet;
  for (size_t i = 0; i < request->use_count; i++)
    {
      Sgr__Pb__QuotaUse *use = &quotas->uses[i + 1];

      sgr__pb__quota_use__init (use);
      use->account = request->uses[i].account;
      use->held = request->uses[i].held;
      use->spent = request->uses[i].spent;
      use->wanted = request->uses[i].wanted;
    }
  message.sequence = request->sequence;
  message.lender_time_us = request->lender_time_us;
  message.lender_boot = request->lender_boot;
  message.n_uses = request->use_count + 1;
  message.uses = quotas->use_list;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_QUOTA_REQUEST;
  frame.quota_request = &message;
  /* A request that cannot be sent counts as lost. */
  if (link != NULL && sgr_data_link_send (link, &frame, SGR_PEER_URGENT) == SGR_OK)
    sgr_data_link_keep (link);
}

/* Lender of this node if it is another one. */
static sgr_node_id_t
redirect_of (const sgr_data_quotas_t *quotas)
{
  sgr_node_id_t lender = sgr_quota_borrower_lender (quotas->borrower);

  return lender == quotas->task->node ? 0 : lender;
}

static void
on_timer (void *ctx, uint64_t timer_us)
{
  sgr_data_quotas_t *quotas = ctx;
  uint64_t now_us = quota_clock_us ();
  sgr_node_id_t self = quotas->task->node;

  quotas->armed_us = UINT64_MAX;
  for (int i = 0; i < REQUESTS_IN_ROW_MAX; i++)
    {
      sgr_node_id_t to = sgr_quota_borrower_tick (quotas->borrower, now_us, &quotas->request);

      if (to == 0)
        break;
      if (to != self)
        request_send (quotas, to);
      else if (sgr_quota_lender_request (quotas->lender, now_us, self, quotas->task->boot,
                                         redirect_of (quotas), &quotas->request, &quotas->reply))
        sgr_quota_borrower_reply (quotas->borrower, now_us, self, &quotas->reply);
    }
  timer_update (quotas, now_us);
}

sgr_data_quotas_t *
sgr_data_quotas_create (sgr_data_task_t *task)
{
  const sgr_quota_bound_t bound = {
    .window_us = task->settings->quota_window_ms * SGR_USEC_PER_MSEC,
    .over = task->settings->quota_over,
    .slack = task->settings->quota_slack,
  };
  const sgr_quota_borrower_events_t events = { on_lender_changed, on_refusing_changed };
  sgr_data_quotas_t *quotas = calloc (1, sizeof *quotas);
  uint64_t now_us = quota_clock_us ();

  sgr_invariant (quotas != NULL);
  quotas->task = task;
  quotas->bound = bound;
  quotas->lender = sgr_quota_lender_create (task->boot, &bound, now_us);
  quotas->borrower = sgr_quota_borrower_create (&bound, now_us, &events, quotas);
  quotas->timer = (sgr_timer_t){ .fire = on_timer, .ctx = quotas };
  quotas->armed_us = UINT64_MAX;
  for (size_t i = 0; i <= SGR_QUOTA_USES_MAX; i++)
    {
      quotas->use_list[i] = &quotas->uses[i];
      quotas->grant_list[i] = &quotas->grants[i];
    }
  return quotas;
}

void
sgr_data_quotas_destroy (sgr_data_quotas_t *quotas)
{
  if (quotas == NULL)
    return;
  sgr_timer_cancel (quotas->task->timers, &quotas->timer);
  sgr_quota_lender_destroy (quotas->lender);
  sgr_quota_borrower_destroy (quotas->borrower);
  free (quotas->limits);
  free (quotas->limit_of);
  free (quotas);
}

static uint64_t
account_id (const char *name)
{
  uint64_t id = XXH64 (name, strlen (name), 0);

  return id != 0 ? id : 1;
}

static int
limit_compare (const void *a, const void *b)
{
  uint64_t x = ((const named_limit_t *)a)->limit.account;
  uint64_t y = ((const named_limit_t *)b)->limit.account;

  return x < y ? -1 : x > y;
}

/* Index of each account's limit; two names with the same hash share the limit of one of them. */
static void
limits_index (sgr_data_quotas_t *quotas, const sgr_snapshot_t *snapshot)
{
  size_t kept = 0;

  qsort (quotas->limits, quotas->limit_count, sizeof *quotas->limits, limit_compare);
  for (size_t i = 0; i < quotas->limit_count; i++)
    {
      if (kept == 0 || limit_compare (&quotas->limits[kept - 1], &quotas->limits[i]) != 0)
        quotas->limits[kept++] = quotas->limits[i];
    }
  quotas->limit_count = kept;
  for (size_t i = 0; i < quotas->account_count; i++)
    {
      named_limit_t key = { .limit.account = account_id (snapshot->accounts[i].name) };
      const named_limit_t *found = NULL;

      if (snapshot->accounts[i].rate_per_s > 0)
        found = bsearch (&key, quotas->limits, kept, sizeof key, limit_compare);
      quotas->limit_of[i] = found != NULL ? (uint32_t)(found - quotas->limits) : LIMIT_NONE;
    }
}

static void
limits_rebuild (sgr_data_quotas_t *quotas, uint64_t now_us)
{
  const sgr_snapshot_t *snapshot = quotas->task->snapshot;
  sgr_quota_limit_t *limits = calloc (snapshot->account_count + 1, sizeof *limits);

  free (quotas->limits);
  free (quotas->limit_of);
  quotas->account_count = snapshot->account_count;
  quotas->limits = calloc (snapshot->account_count + 1, sizeof *quotas->limits);
  quotas->limit_of = calloc (snapshot->account_count + 1, sizeof *quotas->limit_of);
  sgr_invariant (limits != NULL && quotas->limits != NULL && quotas->limit_of != NULL);
  quotas->limit_count = 0;
  for (size_t i = 0; i < snapshot->account_count; i++)
    {
      const sgr_account_t *account = &snapshot->accounts[i];
      named_limit_t *limit = &quotas->limits[quotas->limit_count];

      if (account->rate_per_s == 0)
        continue;
      limit->limit
          = (sgr_quota_limit_t){ account_id (account->name), account->rate_per_s, account->burst };
      memcpy (limit->name, account->name, sizeof limit->name);
      quotas->limit_count++;
    }
  limits_index (quotas, snapshot);
  for (size_t i = 0; i < quotas->limit_count; i++)
    limits[i] = quotas->limits[i].limit;
  sgr_quota_lender_limits_set (quotas->lender, now_us, limits, quotas->limit_count);
  sgr_quota_borrower_limits_set (quotas->borrower, limits, quotas->limit_count);
  free (limits);
}

static void standby_update (sgr_data_quotas_t *quotas);

/* Counts the failure domains of the members, of which there are few. */
static uint32_t
domain_count (const sgr_snapshot_t *snapshot)
{
  uint32_t count = 0;

  for (size_t i = 0; i < snapshot->member_count; i++)
    {
      const char *domain = snapshot->members[i].failure_domain;
      size_t j = 0;

      while (j < i && strcmp (snapshot->members[j].failure_domain, domain) != 0)
        j++;
      count += j == i;
    }
  return count;
}

void
sgr_data_quotas_update (sgr_data_quotas_t *quotas, bool has_accounts)
{
  const sgr_snapshot_t *snapshot = quotas->task->snapshot;
  uint64_t now_us = quota_clock_us ();
  sgr_node_id_t *nodes;

  if (has_accounts && (snapshot->account_count > 0 || quotas->account_count > 0))
    limits_rebuild (quotas, now_us);
  if (quotas->account_count == 0)
    return;
  quotas->group_count = domain_count (snapshot) * (uint32_t)snapshot->policy_count;
  nodes = calloc (snapshot->member_count + 1, sizeof *nodes);
  sgr_invariant (nodes != NULL);
  for (size_t i = 0; i < snapshot->member_count; i++)
    nodes[i] = snapshot->members[i].id;
  sgr_quota_borrower_members_set (quotas->borrower, nodes, snapshot->member_count,
                                  snapshot->fleet_size);
  sgr_quota_lender_fleet_set (quotas->lender, now_us, snapshot->fleet_size);
  standby_update (quotas);
  free (nodes);
  timer_update (quotas, now_us);
}

bool
sgr_data_quotas_take (sgr_data_quotas_t *quotas, const char *account, sgr_quota_credit_t *credit,
                      uint32_t *retry_after_ms)
{
  named_limit_t key = { 0 };
  const named_limit_t *found;
  uint64_t now_us;
  size_t index;
  bool is_allowed;

  *credit = (sgr_quota_credit_t){ 0 };
  if (quotas->limit_count == 0)
    return true;
  key.limit.account = account_id (account);
  found
      = bsearch (&key, quotas->limits, quotas->limit_count, sizeof *quotas->limits, limit_compare);
  if (found == NULL)
    return true;
  now_us = quota_clock_us ();
  index = (size_t)(found - quotas->limits);
  is_allowed
      = sgr_quota_borrower_call_start (quotas->borrower, now_us, index, credit, retry_after_ms);
  if (!sgr_quota_borrower_is_exhausted (quotas->borrower, index))
    *retry_after_ms = 0;
  timer_update (quotas, now_us);
  return is_allowed;
}

static uint32_t
affinity_of_limit (const sgr_data_quotas_t *quotas, size_t limit)
{
  uint32_t groups = quotas->group_count > 0 ? quotas->group_count : 1;
  double capacity = sgr_quota_plan (&quotas->limits[limit].limit, &quotas->bound).capacity;
  uint32_t gates = (uint32_t)(capacity / (TOKENS_PER_GATE * groups));

  return gates > GATES_MIN ? gates : GATES_MIN;
}

uint32_t
sgr_data_quotas_affinity (const sgr_data_quotas_t *quotas, uint32_t account)
{
  uint32_t limit = account < quotas->account_count ? quotas->limit_of[account] : LIMIT_NONE;

  return limit != LIMIT_NONE ? affinity_of_limit (quotas, limit) : 0;
}

uint64_t
sgr_data_quotas_affinity_seed (const char *account)
{
  return account_id (account);
}

/* Returns the tokens of an account that the gate of this node holds without calls: its part of the
   capacity if it is one of the gates that calls of the account go to, otherwise 0. */
static uint32_t
standby_tokens (const sgr_data_quotas_t *quotas, size_t limit, const sgr_member_t *self)
{
  const sgr_snapshot_t *snapshot = quotas->task->snapshot;
  uint64_t seed = quotas->limits[limit].limit.account;
  uint32_t preferred = affinity_of_limit (quotas, limit);
  uint32_t better = 0, gates = 0;
  double tokens;

  for (size_t i = 0; i < snapshot->member_count; i++)
    {
      const sgr_member_t *member = &snapshot->members[i];

      if (member->target_state != SGR_TARGET_SERVING || strcmp (member->service, self->service) != 0
          || strcmp (member->failure_domain, self->failure_domain) != 0)
        continue;
      gates++;
      better += sgr_balancer_affinity_rank (member->id, seed)
                < sgr_balancer_affinity_rank (self->id, seed);
    }
  if (preferred >= SGR_BALANCER_AFFINITY_MAX)
    preferred = gates;
  if (better >= preferred || gates == 0)
    return 0;
  if (preferred > gates)
    preferred = gates;
  tokens = STANDBY_SHARE * sgr_quota_plan (&quotas->limits[limit].limit, &quotas->bound).capacity
           / (preferred * quotas->group_count);
  return tokens >= 1 ? (uint32_t)tokens : 1;
}

static void
standby_update (sgr_data_quotas_t *quotas)
{
  const sgr_member_t *self = sgr_data_member_find (quotas->task, quotas->task->node);
  bool is_serving
      = self != NULL && self->service[0] != '\0' && self->target_state == SGR_TARGET_SERVING;

  for (size_t i = 0; i < quotas->limit_count; i++)
    sgr_quota_borrower_standby_set (quotas->borrower, i,
                                    is_serving ? standby_tokens (quotas, i, self) : 0);
}

void
sgr_data_quotas_return (sgr_data_quotas_t *quotas, const sgr_quota_credit_t *credit)
{
  if (credit->account != 0)
    sgr_quota_borrower_call_return (quotas->borrower, quota_clock_us (), credit);
}

static void
reply_send (sgr_data_quotas_t *quotas, const sgr_data_channel_t *channel)
{
  const sgr_quota_reply_t *reply = &quotas->reply;
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__QuotaReply message = SGR__PB__QUOTA_REPLY__INIT;

  sgr__pb__quota_grant__init (&quotas->grants[0]);
  quotas->grants[0].tokens = reply->fleet;
  quotas->grants[0].retry_after_ms = (uint32_t)(reply->lease_us / SGR_USEC_PER_MSEC);
  for (size_t i = 0; i < reply->grant_count; i++)
    {
      Sgr__Pb__QuotaGrant *grant = &quotas->grants[i + 1];

      sgr__pb__quota_grant__init (grant);
      grant->account = reply->grants[i].account;
      grant->tokens = reply->grants[i].tokens;
      grant->retry_after_ms = reply->grants[i].retry_after_ms;
    }
  message.sequence = reply->sequence;
  message.lender_time_us = reply->lender_time_us;
  message.lender_boot = reply->lender_boot;
  message.attached_percent = reply->attached_percent;
  message.redirect = reply->redirect;
  message.n_grants = reply->grant_count + 1;
  message.grants = quotas->grant_list;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_QUOTA_REPLY;
  frame.quota_reply = &message;
  channel->send (channel->ctx, &frame, SGR_PEER_URGENT);
}

sgr_result_t
sgr_data_quotas_request_handle (sgr_data_quotas_t *quotas, const sgr_data_channel_t *channel,
                                const Sgr__Pb__QuotaRequest *message)
{
  sgr_quota_request_t *request = &quotas->request;

  if (message->n_uses > SGR_QUOTA_USES_MAX + 1)
    return SGR_ERR_INVALID;
  request->sequence = message->sequence;
  request->lender_time_us = message->lender_time_us;
  request->lender_boot = message->lender_boot;
  request->fleet = 0;
  request->use_count = 0;
  for (size_t i = 0; i < message->n_uses; i++)
    {
      const Sgr__Pb__QuotaUse *use = message->uses[i];

      if (use->account == 0)
        request->fleet = use->held;
      else if (request->use_count < SGR_QUOTA_USES_MAX)
        request->uses[request->use_count++]
            = (sgr_quota_use_t){ use->account, use->held, use->spent, use->wanted };
    }
  if (sgr_quota_lender_request (quotas->lender, quota_clock_us (), channel->node, channel->boot,
                                redirect_of (quotas), request, &quotas->reply))
    reply_send (quotas, channel);
  return SGR_OK;
}

sgr_result_t
sgr_data_quotas_reply_handle (sgr_data_quotas_t *quotas, sgr_node_id_t from,
                              const Sgr__Pb__QuotaReply *message)
{
  sgr_quota_reply_t *reply = &quotas->reply;
  uint64_t now_us = quota_clock_us ();

  if (message->n_grants > SGR_QUOTA_USES_MAX + 1)
    return SGR_ERR_INVALID;
  reply->sequence = message->sequence;
  reply->lender_time_us = message->lender_time_us;
  reply->lender_boot = message->lender_boot;
  reply->attached_percent = message->attached_percent;
  reply->redirect = message->redirect;
  reply->lease_us = SGR_QUOTA_LEASE_US;
  reply->fleet = 0;
  reply->grant_count = 0;
  for (size_t i = 0; i < message->n_grants; i++)
    {
      const Sgr__Pb__QuotaGrant *grant = message->grants[i];

      if (grant->account == 0)
        {
          reply->fleet = grant->tokens;
          if (grant->retry_after_ms >= SGR_QUOTA_LEASE_US / SGR_USEC_PER_MSEC)
            reply->lease_us = grant->retry_after_ms * SGR_USEC_PER_MSEC;
        }
      else if (reply->grant_count < SGR_QUOTA_USES_MAX)
        reply->grants[reply->grant_count++]
            = (sgr_quota_grant_t){ grant->account, grant->tokens, grant->retry_after_ms };
    }
  sgr_quota_borrower_reply (quotas->borrower, now_us, from, reply);
  timer_update (quotas, now_us);
  return SGR_OK;
}

void
sgr_data_quotas_metrics_set (const sgr_data_quotas_t *quotas)
{
  sgr_metrics_t *metrics = quotas->task->metrics;
  sgr_quota_borrower_stats_t borrower = sgr_quota_borrower_stats (quotas->borrower);
  sgr_quota_lender_stats_t lender;

  if (quotas->limit_count == 0)
    return;
  lender = sgr_quota_lender_stats (quotas->lender, quota_clock_us ());
  const struct
  {
    const char *name;
    uint64_t value;
  } values[] = {
    { "siskingrade_quota_admitted_total", borrower.admitted },
    { "siskingrade_quota_refused_total", borrower.refused },
    { "siskingrade_quota_reserve_total", borrower.reserve },
    { "siskingrade_quota_lender_changes_total", borrower.lender_changes },
    { "siskingrade_quota_lent_total", lender.lent },
    { "siskingrade_quota_attached", lender.attached },
  };

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    sgr_counter_set (sgr_metrics_counter (metrics, values[i].name, ""), values[i].value);
}
