#include "membership_budget.h"

/*
 * Shares of the rate in percent, indexed by sync_first and by share. With 5% packet loss, probes
 * use about a tenth of the rate; the rest of the detection share covers the indirect probes while a
 * region is unreachable. The reserve is enough for 6 answers a second at the default rate, so that
 * a node that many others address at once still answers their probes and is not declared dead.
 */
static const double rate_percent[2][SGR_MEMBERSHIP_SHARES] = {
  { 10, 20, 35, 35 },
  /* While the node pulls the full state, sync gets most of the rate. The answer to a pull holds
     only records that the receiver lacks, so it distributes them at less cost than updates do. */
  { 10, 20, 5, 65 },
};

/* Each bucket holds up to the total byte budget of this many seconds. */
static const double capacity_s[SGR_MEMBERSHIP_SHARES] = { 0.2, 1, 2, 3 };

/*
 * The debt of a bucket is at most the total byte budget of this many seconds. Received bytes are
 * charged even to an empty bucket, since they cannot be refused. With a larger bound, a contact
 * that many nodes address at once would stop answering, and all of them would repeat their
 * requests.
 */
#define BUCKET_DEBT_MAX_S 0.5

void
sgr_membership_budget_init (sgr_membership_budget_t *budget, uint32_t bytes_per_s, uint64_t now_us)
{
  budget->refilled_us = now_us;
  budget->rate = bytes_per_s;
  budget->sync_first = false;
  for (int i = 0; i < SGR_MEMBERSHIP_SHARES; i++)
    budget->tokens[i] = budget->capacity[i] = capacity_s[i] * bytes_per_s;
}

void
sgr_membership_budget_refill (sgr_membership_budget_t *budget, uint64_t now_us)
{
  double bytes;
  double overflow = 0;

  if (now_us <= budget->refilled_us)
    return;
  bytes = (double)(now_us - budget->refilled_us) / SGR_USEC_PER_SEC * budget->rate;
  budget->refilled_us = now_us;
  for (int i = 0; i < SGR_MEMBERSHIP_SHARES; i++)
    {
      budget->tokens[i] += bytes * rate_percent[budget->sync_first][i] / 100 + overflow;
      overflow = 0;
      if (budget->tokens[i] > budget->capacity[i])
        {
          overflow = budget->tokens[i] - budget->capacity[i];
          budget->tokens[i] = budget->capacity[i];
        }
    }
}

bool
sgr_membership_budget_has (const sgr_membership_budget_t *budget, sgr_membership_share_t share,
                           size_t bytes)
{
  if (budget->tokens[share] >= (double)bytes)
    return true;
  if (share != SGR_MEMBERSHIP_DETECTION)
    return false;
  for (int i = 0; i < SGR_MEMBERSHIP_SHARES; i++)
    if (budget->tokens[i] >= (double)bytes)
      return true;
  return false;
}

/* Failure-detection datagrams are charged to the first share of the byte budget, in the order
   below, that has enough bytes left; if none has, to the failure-detection share itself. Received
   ones are never charged to the reserve. */
static sgr_membership_share_t
share_to_charge (const sgr_membership_budget_t *budget, sgr_membership_share_t share, size_t bytes,
                 bool sent)
{
  static const sgr_membership_share_t order[] = { SGR_MEMBERSHIP_DETECTION, SGR_MEMBERSHIP_UPDATES,
                                                  SGR_MEMBERSHIP_SYNC, SGR_MEMBERSHIP_RESERVE };

  if (share != SGR_MEMBERSHIP_DETECTION)
    return share;
  for (size_t i = 0; i < sizeof order / sizeof order[0]; i++)
    if (budget->tokens[order[i]] >= (double)bytes && (sent || order[i] != SGR_MEMBERSHIP_RESERVE))
      return order[i];
  return share;
}

void
sgr_membership_budget_charge (sgr_membership_budget_t *budget, sgr_membership_share_t share,
                              size_t bytes, bool sent)
{
  share = share_to_charge (budget, share, bytes, sent);
  budget->tokens[share] -= (double)bytes;
  if (budget->tokens[share] < -BUCKET_DEBT_MAX_S * budget->rate)
    budget->tokens[share] = -BUCKET_DEBT_MAX_S * budget->rate;
}
