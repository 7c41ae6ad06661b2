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

/* Parts of the sliding window of a retry budget, and the length of one part. */
#define SGR_RETRY_WINDOW_PARTS 10
#define SGR_RETRY_WINDOW_PART_US (1000U * 1000)

/**
 * struct sgr_retry_budget_t - limits the retries of one service at one entry to a share of its
 * requests in a sliding window
 * @retry_percent: retries and hedges per 100 requests in the window; 0 allows none
 * @part: number of the newest part of the window since the start of the clock
 * @requests: requests in each part; part N is stored at N modulo SGR_RETRY_WINDOW_PARTS
 * @retries: retries and hedges in each part
 *
 * Each entry keeps its own share, so that the sum over all entries stays within the share of all
 * requests without a coordinator. In addition, each entry may make one retry in a window.
 */
typedef struct
{
  uint32_t retry_percent;
  uint64_t part;
  uint32_t requests[SGR_RETRY_WINDOW_PARTS];
  uint32_t retries[SGR_RETRY_WINDOW_PARTS];
} sgr_retry_budget_t;

/**
 * sgr_retry_budget_init() - set up a budget without requests
 * @budget: the budget
 * @retry_percent: retries and hedges per 100 requests in the window; 0 allows none
 */
void sgr_retry_budget_init (sgr_retry_budget_t *budget, uint32_t retry_percent);

/** sgr_retry_budget_percent_set() - change retry_percent; the counts of the window stay */
void sgr_retry_budget_percent_set (sgr_retry_budget_t *budget, uint32_t retry_percent);

/** sgr_retry_budget_request_record() - count a request, whatever becomes of it */
void sgr_retry_budget_request_record (sgr_retry_budget_t *budget, uint64_t now_us);

/**
 * enum sgr_retry_kind_t - what a retry repeats
 * @SGR_RETRY_FAILED_ATTEMPT: a request that a target or a connection failed, or a hedge; may use
 * the whole budget
 * @SGR_RETRY_ERROR_ANSWER: a request that a target ran to an error; may use a third of the budget.
 * Running it again repeats the calls that it makes, so that such retries multiply downstream
 */
typedef enum
{
  SGR_RETRY_FAILED_ATTEMPT = 0,
  SGR_RETRY_ERROR_ANSWER,
} sgr_retry_kind_t;

/**
 * sgr_retry_budget_take() - count a retry or hedge if the budget allows it
 *
 * Return: whether it may be made.
 */
bool sgr_retry_budget_take (sgr_retry_budget_t *budget, uint64_t now_us, sgr_retry_kind_t kind);

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
