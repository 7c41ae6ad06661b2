/* Measures retry amplification in a chain of services: the number of requests that reach the
   deepest service for each call at the top, while the deepest service fails. The entry at each
   level follows the call plan and makes up to 3 attempts of a call. A service whose own call fails
   returns a status that the policy declares as not-run. This status is the worst case, because it
   allows the level above to retry the call. */

#include <math.h>
#include <stdio.h>

#include "call_plan.h"
#include "rng.h"

#define CALL_COUNT 20000
#define ATTEMPTS_MAX 3
#define CHAIN_DEPTH_MAX 21
#define RETRY_BUDGET_PERCENT 10
/* Goal: with all limits on retries, the amplification is below this value. */
#define AMPLIFICATION_GOAL 1.2

/**
 * enum retry_mode_t - which limits on retries apply
 * @RETRY_MODE_BUCKET: the token bucket of each entry; no values are passed along the chain
 * @RETRY_MODE_REQUEST_HEADER: also the limit in the request header Siskingrade-Retry-Budget
 * @RETRY_MODE_ANSWER_HEADER: also the answer header Siskingrade-Retried, which every service passes
 *   on to the level above
 */
typedef enum
{
  RETRY_MODE_BUCKET = 0,
  RETRY_MODE_REQUEST_HEADER,
  RETRY_MODE_ANSWER_HEADER,
} retry_mode_t;

/**
 * struct call_chain_t - a chain of services; the one at level 0 is called from outside
 * @mode: limits on retries
 * @depth: number of services
 * @fail_share: share of the requests that the deepest service does not run
 * @rng: random numbers for these failures
 * @budgets: retry budget of the entry of each level
 * @deepest_executions: requests that reached the deepest service
 */
typedef struct
{
  retry_mode_t mode;
  uint32_t depth;
  double fail_share;
  sgr_rng_t rng;
  sgr_retry_budget_t budgets[CHAIN_DEPTH_MAX];
  uint64_t deepest_executions;
} call_chain_t;

static sgr_call_event_t service_attempt_run (call_chain_t *call_chain, uint32_t level,
                                             sgr_retry_chain_t chain);

/* Runs one call at the entry of a level and returns the last action of its call plan. @chain holds
   the values of the request headers. */
static sgr_call_action_t
entry_call_run (call_chain_t *call_chain, uint32_t level, sgr_retry_chain_t chain)
{
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  sgr_call_options_t options;
  sgr_call_plan_t plan;
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_BEGIN };

  sgr_call_options_init (&options);
  options.idempotent = true;
  options.deadline_us = SGR_USEC_PER_SEC;
  options.attempts_max = ATTEMPTS_MAX;
  options.budget = &call_chain->budgets[level];
  options.chain = chain;
  if (call_chain->mode == RETRY_MODE_BUCKET)
    options.chain.retries = ATTEMPTS_MAX; /* larger than any number of retries of a call, so the
                                             chain sets no limit */
  sgr_call_plan_init (&plan, &options);
  for (;;)
    {
      size_t count = sgr_call_plan_event (&plan, 0, &event, actions);
      uint32_t attempt = actions[0].attempt;
      sgr_retry_chain_t downstream_chain = actions[0].chain;

      if (count == 0 || actions[0].kind == SGR_CALL_ACTION_FINISH)
        return actions[0];
      event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_PICKED, .attempt = attempt, .target = 1 };
      sgr_call_plan_event (&plan, 0, &event, actions);
      event.kind = SGR_CALL_EVENT_SENT;
      sgr_call_plan_event (&plan, 0, &event, actions);
      event = service_attempt_run (call_chain, level, downstream_chain);
      event.kind = SGR_CALL_EVENT_OUTCOME;
      event.attempt = attempt;
    }
}

/* Runs one attempt at the service of a level and returns its outcome. The service calls the next
   level, unless it is the deepest one. */
static sgr_call_event_t
service_attempt_run (call_chain_t *call_chain, uint32_t level, sgr_retry_chain_t chain)
{
  sgr_call_event_t answer = { .outcome = SGR_OUTCOME_COMPLETE };

  if (level + 1 == call_chain->depth)
    {
      call_chain->deepest_executions++;
      if (sgr_rng_uniform (&call_chain->rng) < call_chain->fail_share)
        answer.outcome = SGR_OUTCOME_NOT_RUN;
    }
  else
    {
      sgr_call_action_t finish = entry_call_run (call_chain, level + 1, chain);

      if (finish.outcome != SGR_OUTCOME_COMPLETE)
        answer.outcome = SGR_OUTCOME_NOT_RUN;
      if (call_chain->mode == RETRY_MODE_ANSWER_HEADER)
        answer.retried_downstream = finish.retried_downstream;
    }
  answer.reason = SGR_CALL_REASON_TARGET_NOT_RUN;
  return answer;
}

/* Returns the number of requests that reach the deepest service for each call at the top. */
static double
measured_amplification (retry_mode_t mode, uint32_t depth, double fail_share)
{
  call_chain_t call_chain = { .mode = mode, .depth = depth, .fail_share = fail_share };

  sgr_rng_seed (&call_chain.rng, depth * 1000 + (uint64_t)(fail_share * 100));
  for (uint32_t level = 0; level < CHAIN_DEPTH_MAX; level++)
    sgr_retry_budget_init (&call_chain.budgets[level], RETRY_BUDGET_PERCENT);
  for (int i = 0; i < CALL_COUNT; i++)
    entry_call_run (&call_chain, 0, (sgr_retry_chain_t){ .retries = SGR_RETRY_CHAIN_RETRIES_MAX });
  return (double)call_chain.deepest_executions / CALL_COUNT;
}

/* Returns the expected amplification if every level makes up to ATTEMPTS_MAX attempts without a
   retry budget. The calculation goes from the deepest level up. If an attempt fails with
   probability f, a call makes 1 + f + f^2 attempts on average and fails with probability f^3. */
static double
amplification_without_budget (uint32_t depth, double fail_share)
{
  double deepest_executions = 1;
  double level_fail_share = fail_share;

  for (uint32_t level = 0; level < depth; level++)
    {
      deepest_executions *= 1 + level_fail_share + level_fail_share * level_fail_share;
      level_fail_share = pow (level_fail_share, ATTEMPTS_MAX);
    }
  return deepest_executions;
}

int
main (void)
{
  static const uint32_t depths[] = { 1, 5, 21 };
  static const double fail_shares[] = { 1.0, 0.5, 0.1 };
  double worst_amplification = 0;

  printf ("calls at the deepest service per call at the top, %d calls, 10%% retry budget\n",
          CALL_COUNT);
  printf ("depth fails  naive (expected)  bucket per hop  +request header  +answer word\n");
  for (int depth_index = 0; depth_index < 3; depth_index++)
    for (int share_index = 0; share_index < 3; share_index++)
      {
        double amplification_all_limits = measured_amplification (
            RETRY_MODE_ANSWER_HEADER, depths[depth_index], fail_shares[share_index]);

        printf ("%5u %4.0f%%  %16.4g  %14.3f  %15.3f  %12.3f\n", depths[depth_index],
                fail_shares[share_index] * 100,
                amplification_without_budget (depths[depth_index], fail_shares[share_index]),
                measured_amplification (RETRY_MODE_BUCKET, depths[depth_index],
                                        fail_shares[share_index]),
                measured_amplification (RETRY_MODE_REQUEST_HEADER, depths[depth_index],
                                        fail_shares[share_index]),
                amplification_all_limits);
        if (amplification_all_limits > worst_amplification)
          worst_amplification = amplification_all_limits;
      }
  printf ("worst with the full rule: %.3f, goal under 1.2: %s\n", worst_amplification,
          worst_amplification < AMPLIFICATION_GOAL ? "met" : "missed");
  return 0;
}
