#include "retry_budget.h"

#include <string.h>

/* One token, in thousandths. */
#define TOKEN_MILLI 1000
/* Tokens in a new bucket, so that a service with few calls can retry before its first success. */
#define TOKENS_AT_START 3
/* Size of the bucket, which limits how many retries a burst of failures can cause at once. */
#define TOKENS_MAX 20
/* Maximum number of digits in the headers Siskingrade-Depth and Siskingrade-Retry-Budget. It is
   enough for the largest valid values, and such a number cannot overflow. */
#define HEADER_DIGITS_MAX 4

void
sgr_retry_budget_percent_set (sgr_retry_budget_t *budget, uint32_t retry_percent)
{
  budget->tokens_per_success_milli = retry_percent * (TOKEN_MILLI / 100);
}

void
sgr_retry_budget_init (sgr_retry_budget_t *budget, uint32_t retry_percent)
{
  sgr_retry_budget_percent_set (budget, retry_percent);
  budget->tokens_milli = retry_percent == 0 ? 0 : TOKENS_AT_START * TOKEN_MILLI;
}

void
sgr_retry_budget_success_record (sgr_retry_budget_t *budget)
{
  budget->tokens_milli += budget->tokens_per_success_milli;
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
