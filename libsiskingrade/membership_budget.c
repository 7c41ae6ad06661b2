#include "membership_budget.h"

/*
 * Shares of the rate in percent. With 5% loss, probes of 2,600 nodes take about a tenth; the rest
 * of their share covers the indirect probes while a region is unreachable.
 */
static const double rate_percent[2][SGR_MEMBERSHIP_SHARES] = {
  { 30, 35, 35 },
  /* While the full state is pulled: a page holds only records that are new to the receiver, which
     makes it the cheaper way to spread them. */
  { 25, 5, 70 },
};

/* Bucket sizes in seconds of the whole rate. */
static const double capacity_s[SGR_MEMBERSHIP_SHARES] = { 1, 2, 3 };

/*
 * Received bytes cannot be refused. A longer debt would silence a contact that many nodes address
 * at once, which makes them all repeat their requests.
 */
#define DEBT_MAX_S 0.5

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
  return budget->tokens[SGR_MEMBERSHIP_UPDATES] >= (double)bytes
         || budget->tokens[SGR_MEMBERSHIP_SYNC] >= (double)bytes;
}

void
sgr_membership_budget_charge (sgr_membership_budget_t *budget, sgr_membership_share_t share,
                              size_t bytes)
{
  if (share == SGR_MEMBERSHIP_DETECTION && budget->tokens[share] < (double)bytes)
    {
      if (budget->tokens[SGR_MEMBERSHIP_UPDATES] >= (double)bytes)
        share = SGR_MEMBERSHIP_UPDATES;
      else if (budget->tokens[SGR_MEMBERSHIP_SYNC] >= (double)bytes)
        share = SGR_MEMBERSHIP_SYNC;
    }
  budget->tokens[share] -= (double)bytes;
  if (budget->tokens[share] < -DEBT_MAX_S * budget->rate)
    budget->tokens[share] = -DEBT_MAX_S * budget->rate;
}
