#ifndef SGR_RETRY_BUDGET_H
#define SGR_RETRY_BUDGET_H

#include "result.h"
#include "types.h"

/* Maximum depth of a call in its call chain. A deeper call is refused, because it is treated as
   part of a loop. The deepest call chain in the design goals has a depth of 21 (section 1.4 of
   docs/design.md). */
#define SGR_RETRY_DEPTH_MAX 32
/* Number of retries and hedges that one call from outside and all calls that follow from it may
   make together. */
#define SGR_RETRY_CHAIN_RETRIES_MAX 2

/**
 * struct sgr_retry_budget_t - token bucket that limits the retries of one service at one entry
 * @tokens_milli: tokens in the bucket, in thousandths; a retry or hedge takes one whole token
 * @tokens_per_success_milli: tokens added for each successful call, in thousandths
 */
typedef struct
{
  uint32_t tokens_milli;
  uint32_t tokens_per_success_milli;
} sgr_retry_budget_t;

/**
 * sgr_retry_budget_init() - set up a bucket with a few tokens, so that a service with few calls can
 * retry as well
 * @budget: the bucket
 * @retry_percent: retries and hedges per 100 successful calls; 0 allows none
 */
void sgr_retry_budget_init (sgr_retry_budget_t *budget, uint32_t retry_percent);

/** sgr_retry_budget_percent_set() - change retry_percent; tokens in the bucket stay */
void sgr_retry_budget_percent_set (sgr_retry_budget_t *budget, uint32_t retry_percent);

/** sgr_retry_budget_success_record() - add the tokens of one successful call */
void sgr_retry_budget_success_record (sgr_retry_budget_t *budget);

/**
 * sgr_retry_budget_take() - take the token of one retry or hedge
 *
 * Return: true if a token was taken, false if the bucket holds less than one.
 */
bool sgr_retry_budget_take (sgr_retry_budget_t *budget);

/**
 * enum sgr_retry_downstream_t - whether a node downstream has already applied its retry limits to a
 * failed call; sent as the answer header Siskingrade-Retried
 * @SGR_RETRY_DOWNSTREAM_UNSPECIFIED: the answer does not have the header
 * @SGR_RETRY_DOWNSTREAM_NO: the call failed at this hop; no node downstream retried it or declined
 * to retry it
 * @SGR_RETRY_DOWNSTREAM_YES: a node downstream retried the call or declined to retry it, so that no
 * node upstream may retry it
 */
typedef enum
{
  SGR_RETRY_DOWNSTREAM_UNSPECIFIED = 0,
  SGR_RETRY_DOWNSTREAM_NO,
  SGR_RETRY_DOWNSTREAM_YES,
} sgr_retry_downstream_t;

/**
 * struct sgr_retry_chain_t - values that a call passes on to the calls that follow from it
 * @depth: number of calls upstream of this one, request header Siskingrade-Depth
 * @retries: retries and hedges that this call and all calls downstream may make, request header
 * Siskingrade-Retry-Budget
 */
typedef struct
{
  uint32_t depth;
  uint32_t retries;
} sgr_retry_chain_t;

/**
 * sgr_retry_chain_parse() - parse the request headers Siskingrade-Depth and
 * Siskingrade-Retry-Budget
 * @depth: value of Siskingrade-Depth, NULL if the header is absent because the call comes from
 * outside
 * @depth_length: length of @depth in bytes
 * @retries: value of Siskingrade-Retry-Budget, NULL if the header is absent
 * @retries_length: length of @retries in bytes
 * @chain: receives the values; retries above SGR_RETRY_CHAIN_RETRIES_MAX are reduced to this limit,
 * and a call with a depth above 0 but without @retries gets 0 retries
 *
 * Return: SGR_OK, SGR_ERR_INVALID for a malformed number, SGR_ERR_LIMIT for a depth above
 * SGR_RETRY_DEPTH_MAX. @chain is only set with SGR_OK.
 */
sgr_result_t sgr_retry_chain_parse (const char *depth, size_t depth_length, const char *retries,
                                    size_t retries_length, sgr_retry_chain_t *chain);

/**
 * sgr_retry_chain_downstream() - compute the values that an attempt passes downstream
 * @chain: values that the call arrived with
 * @retries_made: retries and hedges of this call so far, this attempt included
 */
sgr_retry_chain_t sgr_retry_chain_downstream (sgr_retry_chain_t chain, uint32_t retries_made);

/**
 * sgr_retry_chain_allows() - whether the call may make one more retry or hedge
 * @chain: values that the call arrived with
 * @retries_made: retries and hedges of this call so far
 * @downstream: value of the answer header Siskingrade-Retried of the failed attempt
 */
bool sgr_retry_chain_allows (sgr_retry_chain_t chain, uint32_t retries_made,
                             sgr_retry_downstream_t downstream);

/** sgr_retry_downstream_name() - value of the answer header Siskingrade-Retried: "yes" for
 * SGR_RETRY_DOWNSTREAM_YES, else "no" */
const char *sgr_retry_downstream_name (sgr_retry_downstream_t downstream);

/**
 * sgr_retry_downstream_parse() - parse the answer header Siskingrade-Retried
 *
 * Return: SGR_RETRY_DOWNSTREAM_UNSPECIFIED for any text other than "yes" and "no".
 */
sgr_retry_downstream_t sgr_retry_downstream_parse (const char *text, size_t length);

#endif
