#include "retry_budget.h"

#include <string.h>

#define TOKEN_MILLI 1000
/* A service with few calls may retry this often before its first success. */
#define TOKENS_AT_START 3
/* Tokens saved up in quiet times; a burst of failures spends no more than these at once. */
#define TOKENS_MAX 20

void
sgr_retry_budget_percent_set (sgr_retry_budget_t *budget, uint32_t retry_percent)
{
  budget->gain_milli = retry_percent * (TOKEN_MILLI / 100);
}

void
sgr_retry_budget_init (sgr_retry_budget_t *budget, uint32_t retry_percent)
{
  sgr_retry_budget_percent_set (budget, retry_percent);
  budget->tokens_milli = retry_percent == 0 ? 0 : TOKENS_AT_START * TOKEN_MILLI;
}

void
sgr_retry_budget_success (sgr_retry_budget_t *budget)
{
  budget->tokens_milli += budget->gain_milli;
  if (budget->tokens_milli > TOKENS_MAX * TOKEN_MILLI)
    budget->tokens_milli = TOKENS_MAX * TOKEN_MILLI;
}

bool
sgr_retry_budget_take (sgr_retry_budget_t *budget)
{
  if (budget->tokens_milli < TOKEN_MILLI)
    return false;
  budget->tokens_milli -= TOKEN_MILLI;
  return true;
}

/* Reads one to four digits; enough for both headers and safe from overflow. */
static bool
parse_small (const char *text, size_t length, uint32_t *value)
{
  uint32_t number = 0;

  if (length == 0 || length > 4)
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
  sgr_retry_chain_t parsed = { .depth = 0, .retries = SGR_RETRY_CHAIN_RETRIES };

  if (depth != NULL)
    {
      if (!parse_small (depth, depth_length, &parsed.depth))
        return SGR_ERR_INVALID;
      if (retries == NULL && parsed.depth > 0)
        parsed.retries = 0;
    }
  if (retries != NULL && !parse_small (retries, retries_length, &parsed.retries))
    return SGR_ERR_INVALID;
  if (parsed.depth > SGR_RETRY_DEPTH_MAX)
    return SGR_ERR_LIMIT;
  if (parsed.retries > SGR_RETRY_CHAIN_RETRIES)
    parsed.retries = SGR_RETRY_CHAIN_RETRIES;
  *chain = parsed;
  return SGR_OK;
}

sgr_retry_chain_t
sgr_retry_chain_below (sgr_retry_chain_t chain, uint32_t retries_made)
{
  return (sgr_retry_chain_t){
    .depth = chain.depth + 1,
    .retries = chain.retries > retries_made ? chain.retries - retries_made : 0,
  };
}

bool
sgr_retry_chain_allows (sgr_retry_chain_t chain, uint32_t retries_made, sgr_retry_deeper_t deeper)
{
  return deeper != SGR_RETRY_DEEPER_YES && retries_made < chain.retries;
}

const char *
sgr_retry_deeper_name (sgr_retry_deeper_t deeper)
{
  return deeper == SGR_RETRY_DEEPER_YES ? "yes" : "no";
}

sgr_retry_deeper_t
sgr_retry_deeper_parse (const char *text, size_t length)
{
  if (length == 3 && memcmp (text, "yes", 3) == 0)
    return SGR_RETRY_DEEPER_YES;
  if (length == 2 && memcmp (text, "no", 2) == 0)
    return SGR_RETRY_DEEPER_NO;
  return SGR_RETRY_DEEPER_UNSAID;
}
