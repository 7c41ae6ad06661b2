#include "retry_budget.h"

#include <string.h>

/* Retries in a window that an entry may make beyond its share, so that an entry with few requests
   can retry as well. */
#define EXTRA_RETRIES 1
/* Retries after an error answer may use the budget divided by this number. */
#define ERROR_ANSWER_DIVISOR 3
/* Maximum number of digits in the headers Siskingrade-Depth and Siskingrade-Retry-Budget. It is
   enough for the largest valid values, and such a number cannot overflow. */
#define HEADER_DIGITS_MAX 4

void
sgr_retry_budget_percent_set (sgr_retry_budget_t *budget, uint32_t retry_percent)
{
  budget->retry_percent = retry_percent;
}

void
sgr_retry_budget_init (sgr_retry_budget_t *budget, uint32_t retry_percent)
{
  *budget = (sgr_retry_budget_t){ .retry_percent = retry_percent };
}

/* Clears the parts that have left the window. Returns the index of the newest part. */
static size_t
window_advance (sgr_retry_budget_t *budget, uint64_t now_us)
{
  uint64_t part = now_us / SGR_RETRY_WINDOW_PART_US;

  if (part >= budget->part + SGR_RETRY_WINDOW_PARTS)
    budget->part = part - SGR_RETRY_WINDOW_PARTS;
  while (budget->part < part)
    {
      budget->part++;
      budget->requests[budget->part % SGR_RETRY_WINDOW_PARTS] = 0;
      budget->retries[budget->part % SGR_RETRY_WINDOW_PARTS] = 0;
    }
  return budget->part % SGR_RETRY_WINDOW_PARTS;
}

void
sgr_retry_budget_request_record (sgr_retry_budget_t *budget, uint64_t now_us)
{
  budget->requests[window_advance (budget, now_us)]++;
}

bool
sgr_retry_budget_take (sgr_retry_budget_t *budget, uint64_t now_us, sgr_retry_kind_t kind)
{
  size_t newest = window_advance (budget, now_us);
  uint64_t requests = 0;
  uint64_t retries = 0;
  uint64_t allowed_hundredths;

  for (size_t i = 0; i < SGR_RETRY_WINDOW_PARTS; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  allowed_hundredths = requests * budget->retry_percent;
  if (kind == SGR_RETRY_ERROR_ANSWER)
    allowed_hundredths /= ERROR_ANSWER_DIVISOR;
  else if (budget->retry_percent > 0)
    allowed_hundredths += EXTRA_RETRIES * 100;
  if ((retries + 1) * 100 > allowed_hundredths)
    return false;
  budget->retries[newest]++;
  return true;
}

/* Parses a decimal number of at most HEADER_DIGITS_MAX digits, without a sign. */
static bool
header_number_parse (const char *text, size_t length, uint32_t *value)
{
  uint32_t number = 0;

  if (length == 0 || length > HEADER_DIGITS_MAX)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return false;
      number = number * 10 + (uint32_t)(text[i] - '0');
    }
  *value = number;
  return true;
}

sgr_result_t
sgr_retry_chain_parse (const char *depth, size_t depth_length, const char *retries,
                       size_t retries_length, sgr_retry_chain_t *chain)
{
  sgr_retry_chain_t parsed = { .depth = 0, .retries = SGR_RETRY_CHAIN_RETRIES_MAX };

  if (depth != NULL)
    {
      if (!header_number_parse (depth, depth_length, &parsed.depth))
        return SGR_ERR_INVALID;
      if (retries == NULL && parsed.depth > 0)
        parsed.retries = 0;
    }
  if (retries != NULL && !header_number_parse (retries, retries_length, &parsed.retries))
    return SGR_ERR_INVALID;
  if (parsed.depth > SGR_RETRY_DEPTH_MAX)
    return SGR_ERR_LIMIT;
  if (parsed.retries > SGR_RETRY_CHAIN_RETRIES_MAX)
    parsed.retries = SGR_RETRY_CHAIN_RETRIES_MAX;
  *chain = parsed;
  return SGR_OK;
}

sgr_retry_chain_t
sgr_retry_chain_downstream (sgr_retry_chain_t chain, uint32_t retries_made)
{
  return (sgr_retry_chain_t){
    .depth = chain.depth + 1,
    .retries = chain.retries > retries_made ? chain.retries - retries_made : 0,
  };
}

bool
sgr_retry_chain_allows (sgr_retry_chain_t chain, uint32_t retries_made,
                        sgr_retry_downstream_t downstream)
{
  return downstream != SGR_RETRY_DOWNSTREAM_YES && retries_made < chain.retries;
}

const char *
sgr_retry_downstream_name (sgr_retry_downstream_t downstream)
{
  return downstream == SGR_RETRY_DOWNSTREAM_YES ? "yes" : "no";
}

sgr_retry_downstream_t
sgr_retry_downstream_parse (const char *text, size_t length)
{
  if (length == 3 && memcmp (text, "yes", 3) == 0)
    return SGR_RETRY_DOWNSTREAM_YES;
  if (length == 2 && memcmp (text, "no", 2) == 0)
    return SGR_RETRY_DOWNSTREAM_NO;
  return SGR_RETRY_DOWNSTREAM_UNSPECIFIED;
}
