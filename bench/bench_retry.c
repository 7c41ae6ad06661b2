/* Amplification of calls at the deepest service of a chain while that service fails. Every level
   retries up to 3 attempts with the call plan of its entry; the services between answer a failed
   call below with a status that the policy declares as not-run, which is the worst case. */

#include <math.h>
#include <stdio.h>

#include "call_plan.h"
#include "rng.h"

#define CALLS 20000
#define ATTEMPTS_MAX 3
#define DEPTH_MAX 21
#define RETRY_PERCENT 10

/**
 * enum retry_mode_t - which parts of the retry rule are in force
 * @MODE_HOP: a token bucket at every level, nothing carried along the chain
 * @MODE_REQUEST: also the allowance in the request header
 * @MODE_FULL: also the word in the answer, passed on by the services between
 */
typedef enum
{
  MODE_HOP = 0,
  MODE_REQUEST,
  MODE_FULL,
} retry_mode_t;

typedef struct
{
  retry_mode_t mode;
  uint32_t depth;
  double fail_share;
  sgr_rng_t rng;
  sgr_retry_budget_t budgets[DEPTH_MAX];
  uint64_t executions;
} chain_run_t;

static sgr_call_event_t target_call (chain_run_t *run, uint32_t level, sgr_retry_chain_t chain);

/* One call at the entry of a level; returns the last action. */
static sgr_call_action_t
entry_call (chain_run_t *run, uint32_t level, sgr_retry_chain_t chain)
{
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  sgr_call_options_t options;
  sgr_call_plan_t plan;
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_BEGIN };

  sgr_call_options_init (&options);
  options.idempotent = true;
  options.deadline_us = SGR_USEC_PER_SEC;
  options.attempts_max = ATTEMPTS_MAX;
  options.budget = &run->budgets[level];
  options.chain = chain;
  if (run->mode == MODE_HOP)
    options.chain.retries = ATTEMPTS_MAX;
  sgr_call_plan_init (&plan, &options);
  for (;;)
    {
      size_t count = sgr_call_plan_event (&plan, 0, &event, actions);
      uint32_t attempt = actions[0].attempt;
      sgr_retry_chain_t below = actions[0].chain;

      if (count == 0 || actions[0].kind == SGR_CALL_ACTION_FINISH)
        return actions[0];
      event = (sgr_call_event_t){ .kind = SGR_CALL_EVENT_PICKED, .attempt = attempt, .target = 1 };
      sgr_call_plan_event (&plan, 0, &event, actions);
      event.kind = SGR_CALL_EVENT_SENT;
      sgr_call_plan_event (&plan, 0, &event, actions);
      event = target_call (run, level, below);
      event.kind = SGR_CALL_EVENT_OUTCOME;
      event.attempt = attempt;
    }
}

static sgr_call_event_t
target_call (chain_run_t *run, uint32_t level, sgr_retry_chain_t chain)
{
  sgr_call_event_t answer = { .outcome = SGR_OUTCOME_COMPLETE };

  if (level + 1 == run->depth)
    {
      run->executions++;
      if (sgr_rng_unit (&run->rng) < run->fail_share)
        answer.outcome = SGR_OUTCOME_NOT_RUN;
    }
  else
    {
      sgr_call_action_t finish = entry_call (run, level + 1, chain);

      if (finish.outcome != SGR_OUTCOME_COMPLETE)
        answer.outcome = SGR_OUTCOME_NOT_RUN;
      if (run->mode == MODE_FULL)
        answer.deeper = finish.deeper;
    }
  answer.reason = SGR_CALL_REASON_TARGET_NOT_RUN;
  return answer;
}

static double
amplification (retry_mode_t mode, uint32_t depth, double fail_share)
{
  chain_run_t run = { .mode = mode, .depth = depth, .fail_share = fail_share };

  sgr_rng_seed (&run.rng, depth * 1000 + (uint64_t)(fail_share * 100));
  for (uint32_t level = 0; level < DEPTH_MAX; level++)
    sgr_retry_budget_init (&run.budgets[level], RETRY_PERCENT);
  for (int i = 0; i < CALLS; i++)
    entry_call (&run, 0, (sgr_retry_chain_t){ .retries = SGR_RETRY_CHAIN_RETRIES });
  return (double)run.executions / CALLS;
}

/* Expected value: up to ATTEMPTS_MAX attempts at every level without any budget. */
static double
naive_amplification (uint32_t depth, double fail_share)
{
  double executions = 1;
  double fail = fail_share;

  for (uint32_t level = 0; level < depth; level++)
    {
      executions *= 1 + fail + fail * fail;
      fail = pow (fail, ATTEMPTS_MAX);
    }
  return executions;
}

int
main (void)
{
  static const uint32_t depths[] = { 1, 5, 21 };
  static const double shares[] = { 1.0, 0.5, 0.1 };
  double worst = 0;

  printf ("calls at the deepest service per call at the top, %d calls, 10%% retry budget\n", CALLS);
  printf ("depth fails  naive (expected)  bucket per hop  +request header  +answer word\n");
  for (int d = 0; d < 3; d++)
    for (int s = 0; s < 3; s++)
      {
        double full = amplification (MODE_FULL, depths[d], shares[s]);

        printf ("%5u %4.0f%%  %16.4g  %14.3f  %15.3f  %12.3f\n", depths[d], shares[s] * 100,
                naive_amplification (depths[d], shares[s]),
                amplification (MODE_HOP, depths[d], shares[s]),
                amplification (MODE_REQUEST, depths[d], shares[s]), full);
        if (full > worst)
          worst = full;
      }
  printf ("worst with the full rule: %.3f, goal under 1.2: %s\n", worst,
          worst < 1.2 ? "met" : "missed");
  return 0;
}
