#ifndef SGR_RETRY_BUDGET_H
#define SGR_RETRY_BUDGET_H

#include "result.h"
#include "types.h"

/* The deepest call chain of section 1.4 is 21; a call deeper than this is taken for a loop. */
#define SGR_RETRY_DEPTH_MAX 32
/* Retries in the whole subtree of one call of a caller outside. */
#define SGR_RETRY_CHAIN_RETRIES 2

/**
 * struct sgr_retry_budget_t - token bucket of one service at one entry node; in thousandths
 * @tokens_milli: tokens now
 * @gain_milli: tokens for each success
 */
typedef struct
{
  uint32_t tokens_milli;
  uint32_t gain_milli;
} sgr_retry_budget_t;

/**
 * sgr_retry_budget_init() - a bucket with a few tokens, so that a quiet service can retry
 * @budget: the bucket
 * @retry_percent: retries and hedges per 100 successful calls
 */
void sgr_retry_budget_init (sgr_retry_budget_t *budget, uint32_t retry_percent);
void sgr_retry_budget_percent_set (sgr_retry_budget_t *budget, uint32_t retry_percent);
void sgr_retry_budget_success (sgr_retry_budget_t *budget);

/**
 * sgr_retry_budget_take() - take the token of one retry or hedge
 *
 * Return: false if there is none.
 */
bool sgr_retry_budget_take (sgr_retry_budget_t *budget);

/**
 * enum sgr_retry_deeper_t - what an answer says of the cause of a failure
 * @SGR_RETRY_DEEPER_UNSAID: nothing; as an answer without the header
 * @SGR_RETRY_DEEPER_NO: the failure is of this hop, no node below retried or declined to retry it
 * @SGR_RETRY_DEEPER_YES: a node below retried it, or declined to: no node above may retry
 */
typedef enum
{
  SGR_RETRY_DEEPER_UNSAID = 0,
  SGR_RETRY_DEEPER_NO,
  SGR_RETRY_DEEPER_YES,
} sgr_retry_deeper_t;

/**
 * struct sgr_retry_chain_t - what a call carries along its chain
 * @depth: hops above this call, header Siskingrade-Depth
 * @retries: retries that the call and all calls below may make, header Siskingrade-Retry-Budget
 */
typedef struct
{
  uint32_t depth;
  uint32_t retries;
} sgr_retry_chain_t;

/**
 * sgr_retry_chain_parse() - read the two request headers
 * @depth: value of Siskingrade-Depth, NULL if absent: a call from outside
 * @depth_length: its length in bytes
 * @retries: value of Siskingrade-Retry-Budget, NULL if absent
 * @retries_length: its length in bytes
 * @chain: receives the values; a call with a depth but no budget gets no retries, a larger budget
 * than SGR_RETRY_CHAIN_RETRIES is cut
 *
 * Return: SGR_OK, SGR_ERR_INVALID for a malformed number, SGR_ERR_LIMIT for a depth above
 * SGR_RETRY_DEPTH_MAX.
 */
sgr_result_t sgr_retry_chain_parse (const char *depth, size_t depth_length, const char *retries,
                                    size_t retries_length, sgr_retry_chain_t *chain);

/**
 * sgr_retry_chain_below() - values for the request of one attempt
 * @chain: values that the call came with
 * @retries_made: retries and hedges of this call before that attempt, itself included
 */
sgr_retry_chain_t sgr_retry_chain_below (sgr_retry_chain_t chain, uint32_t retries_made);

/**
 * sgr_retry_chain_allows() - whether the chain leaves room for one more retry
 * @chain: values that the call came with
 * @retries_made: retries and hedges of this call so far
 * @deeper: what the answer says of its failure
 */
bool sgr_retry_chain_allows (sgr_retry_chain_t chain, uint32_t retries_made,
                             sgr_retry_deeper_t deeper);

/** sgr_retry_deeper_name() - value of the answer header Siskingrade-Retried, "yes" or "no" */
const char *sgr_retry_deeper_name (sgr_retry_deeper_t deeper);

/** sgr_retry_deeper_parse() - read that header; any other text counts as unsaid */
sgr_retry_deeper_t sgr_retry_deeper_parse (const char *text, size_t length);

#endif
