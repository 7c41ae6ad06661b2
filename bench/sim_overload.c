#include "sim_overload.h"

#include <math.h>
#include <stdlib.h>

#include "call_plan.h"
#include "result.h"
#include "rng.h"
#include "timer_heap.h"

#define TARGETS_MAX 8
#define GATE_BOOT 9

struct sim_t;

/**
 * struct sim_call_t - one call of a caller, freed once no attempt refers to it any more
 */
typedef struct sim_call_t
{
  struct sim_t *sim;
  uint32_t tenant;
  uint32_t repeats;
  uint32_t references;
  uint64_t sequence;
  uint64_t begin_us;
  bool open;
  sgr_call_plan_t plan;
  sgr_timer_t timer;
  struct sim_call_t *dead_next;
} sim_call_t;

/**
 * struct sim_work_t - one attempt at a target
 */
typedef struct sim_work_t
{
  sim_call_t *call;
  uint32_t attempt;
  uint32_t target;
  uint64_t start_us;
  sgr_gate_handle_t handle;
  sgr_timer_t timer;
  struct sim_work_t *next;
} sim_work_t;

typedef struct
{
  struct sim_t *sim;
  sgr_gate_t *gate;
  uint32_t busy;
  sim_work_t *first;
  sim_work_t *last;
  sgr_timer_t tick;
} sim_target_t;

typedef struct
{
  struct sim_t *sim;
  uint32_t number;
  sgr_rng_t rng;
  sgr_timer_t timer;
} sim_source_t;

typedef struct sim_t
{
  const sim_options_t *options;
  sim_result_t *result;
  sgr_rng_t rng;
  sgr_timer_heap_t *heap;
  sgr_retry_budget_t budget;
  uint64_t sequence;
  sim_call_t *dead; /* freed between two moments, when no event holds them */
  sim_target_t targets[TARGETS_MAX];
  sim_source_t sources[SIM_TENANTS];
} sim_t;

static void call_event (sim_call_t *call, uint64_t now_us, sgr_call_event_t event);
static void call_begin (sim_t *sim, uint64_t now_us, uint32_t tenant, uint32_t repeats);

static bool
in_overload (const sim_t *sim, uint64_t now_us)
{
  return now_us >= sim->options->overload_begin_us && now_us < sim->options->overload_end_us;
}

static uint64_t
exponential_us (sgr_rng_t *rng, double mean_us)
{
  return (uint64_t)(-log (1.0 - sgr_rng_unit (rng)) * mean_us);
}

static void
call_release (sim_call_t *call)
{
  if (--call->references > 0)
    return;
  sgr_timer_cancel (call->sim->heap, &call->timer);
  call->dead_next = call->sim->dead;
  call->sim->dead = call;
}

static void
dead_free (sim_t *sim)
{
  while (sim->dead != NULL)
    {
      sim_call_t *call = sim->dead;

      sim->dead = call->dead_next;
      free (call);
    }
}

static void
call_end (sim_call_t *call, uint64_t now_us, bool answered)
{
  sim_t *sim = call->sim;
  sim_tenant_result_t *tenant = &sim->result->tenants[call->tenant];

  call->open = false;
  sgr_timer_cancel (sim->heap, &call->timer);
  if (answered && now_us <= call->plan.options.deadline_us)
    {
      if (now_us / SIM_BUCKET_US < SIM_BUCKETS)
        sim->result->goodput[now_us / SIM_BUCKET_US]++;
      if (in_overload (sim, call->begin_us))
        {
          tenant->answered++;
          sgr_histogram_record (&tenant->latency, now_us - call->begin_us);
        }
    }
  else if (call->repeats > 0)
    call_begin (sim, now_us, call->tenant, call->repeats - 1);
  call_release (call);
}

static void work_end (void *ctx, uint64_t now_us);

static void
work_start (sim_work_t *work, uint64_t now_us)
{
  sim_t *sim = work->call->sim;
  uint64_t service_us = sim->options->tenants[work->call->tenant].service_us;

  if (service_us == 0)
    service_us = SIM_SERVICE_US;
  work->start_us = now_us;
  work->timer = (sgr_timer_t){ .fire = work_end, .ctx = work };
  sgr_timer_arm (sim->heap, &work->timer,
                 now_us + service_us / 2 + exponential_us (&sim->rng, (double)service_us / 2));
}

static void
fifo_dispatch (sim_target_t *target, uint64_t now_us)
{
  while (target->busy < target->sim->options->slots && target->first != NULL)
    {
      sim_work_t *work = target->first;

      target->first = work->next;
      target->busy++;
      work_start (work, now_us);
    }
}

static void
work_end (void *ctx, uint64_t now_us)
{
  sim_work_t *work = ctx;
  sim_call_t *call = work->call;
  sim_t *sim = call->sim;
  sim_target_t *target = &sim->targets[work->target];
  sgr_gate_finish_t finish = { .latency_us = now_us - work->start_us };

  sim->result->executions++;
  if (in_overload (sim, now_us))
    sim->result->busy_us += now_us - work->start_us;
  if (sim->options->server == SIM_SERVER_GATE)
    {
      sgr_gate_attempt_finish (target->gate, work->handle, now_us, &finish);
      call_event (call, now_us,
                  (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME, .attempt = work->attempt });
    }
  else
    {
      target->busy--;
      fifo_dispatch (target, now_us);
      if (call->open)
        call_end (call, now_us, true);
    }
  call_release (call);
  free (work);
}

static void
fifo_push (sim_target_t *target, sim_work_t *work, uint64_t now_us)
{
  work->next = NULL;
  if (target->first != NULL)
    target->last->next = work;
  else
    target->first = work;
  target->last = work;
  fifo_dispatch (target, now_us);
}

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  sim_target_t *target = ctx;

  sgr_gate_attempt_started (target->gate, handle);
  work_start (sgr_gate_handle_user (target->gate, handle), now_us);
}

static void
refused_tell (sim_work_t *work, uint64_t now_us, sgr_gate_reason_t reason, uint32_t retry_after_ms)
{
  sim_call_t *call = work->call;
  uint32_t attempt = work->attempt;

  free (work);
  call_event (call, now_us,
              (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME,
                                  .attempt = attempt,
                                  .outcome = SGR_OUTCOME_NOT_RUN,
                                  .reason = SGR_CALL_REASON_REFUSED,
                                  .gate_reason = reason,
                                  .retry_after_ms = retry_after_ms });
  call_release (call);
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  sim_target_t *target = ctx;

  refused_tell (sgr_gate_handle_user (target->gate, handle), now_us, reason, 0);
}

static void
gate_send (sim_work_t *work, uint64_t now_us)
{
  sim_call_t *call = work->call;
  sim_target_t *target = &call->sim->targets[work->target];
  sgr_attempt_t attempt
      = { .id = { .node = 1, .boot = 1, .sequence = call->sequence, .attempt = work->attempt },
          .gate_boot = GATE_BOOT,
          .deadline_us = call->plan.options.deadline_us,
          .tenant = call->sim->options->tenants[call->tenant].name,
          .class_name = "",
          .idempotent = true,
          .user = work };
  sgr_gate_decision_t decision;

  sgr_gate_attempt_admit (target->gate, now_us, &attempt, &decision);
  work->handle = decision.handle;
  if (decision.kind == SGR_GATE_START)
    {
      sgr_gate_attempt_started (target->gate, work->handle);
      work_start (work, now_us);
    }
  else if (decision.kind != SGR_GATE_QUEUED)
    refused_tell (work, now_us, decision.reason, decision.retry_after_ms);
}

static uint32_t
target_pick (sim_call_t *call)
{
  sim_t *sim = call->sim;
  sgr_node_id_t excluded[SGR_CALL_ATTEMPTS_MAX];
  size_t count = sgr_call_plan_excluded (&call->plan, excluded);
  uint32_t target = (uint32_t)sgr_rng_below (&sim->rng, sim->options->targets);

  for (uint32_t n = 0; n < sim->options->targets; n++)
    {
      size_t i = 0;

      while (i < count && excluded[i] != target + 1)
        i++;
      if (i == count)
        return target;
      target = (target + 1) % sim->options->targets;
    }
  return target;
}

static void
attempt_start (sim_call_t *call, uint64_t now_us, uint32_t attempt)
{
  uint32_t target = target_pick (call);
  sim_work_t *work = calloc (1, sizeof *work);

  sgr_invariant (work != NULL);
  *work = (sim_work_t){ .call = call, .attempt = attempt, .target = target };
  call->references++;
  call->sim->result->attempts++;
  if (call->sim->options->server == SIM_SERVER_FIFO)
    {
      fifo_push (&call->sim->targets[target], work, now_us);
      return;
    }
  call_event (call, now_us,
              (sgr_call_event_t){
                  .kind = SGR_CALL_EVENT_PICKED, .attempt = attempt, .target = target + 1 });
  call_event (call, now_us, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_SENT, .attempt = attempt });
  gate_send (work, now_us);
}

static void
attempt_cancel (sim_call_t *call, uint64_t now_us, uint32_t attempt)
{
  sgr_attempt_id_t id = { .node = 1, .boot = 1, .sequence = call->sequence, .attempt = attempt };
  uint32_t target = (uint32_t)call->plan.attempts[attempt].target - 1;
  sgr_gate_status_t status;

  sgr_gate_attempt_cancel (call->sim->targets[target].gate, now_us, &id, GATE_BOOT, &status);
  call_event (call, now_us,
              (sgr_call_event_t){ .kind = SGR_CALL_EVENT_QUERY_REPLY,
                                  .attempt = attempt,
                                  .phase = status.phase,
                                  .outcome = status.outcome,
                                  .gate_reason = status.reason });
}

static void
call_timer (void *ctx, uint64_t now_us)
{
  sim_call_t *call = ctx;

  if (call->sim->options->server == SIM_SERVER_FIFO)
    call_end (call, now_us, false);
  else
    call_event (call, now_us, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
}

static void
call_event (sim_call_t *call, uint64_t now_us, sgr_call_event_t event)
{
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  size_t count;

  if (!call->open)
    return;
  call->references++;
  count = sgr_call_plan_event (&call->plan, now_us, &event, actions);
  for (size_t i = 0; i < count; i++)
    switch (actions[i].kind)
      {
      case SGR_CALL_ACTION_START:
        attempt_start (call, now_us, actions[i].attempt);
        break;
      case SGR_CALL_ACTION_CANCEL:
        attempt_cancel (call, now_us, actions[i].attempt);
        break;
      case SGR_CALL_ACTION_QUERY:
        break;
      case SGR_CALL_ACTION_FINISH:
        if (call->open)
          call_end (call, now_us, actions[i].outcome == SGR_OUTCOME_COMPLETE);
        break;
      }
  if (call->open)
    sgr_timer_arm (call->sim->heap, &call->timer, call->plan.timer_us);
  call_release (call);
}

static void
call_begin (sim_t *sim, uint64_t now_us, uint32_t tenant, uint32_t repeats)
{
  sim_call_t *call = calloc (1, sizeof *call);
  sgr_call_options_t options;

  sgr_invariant (call != NULL);
  *call = (sim_call_t){ .sim = sim,
                        .tenant = tenant,
                        .repeats = repeats,
                        .references = 1,
                        .sequence = sim->sequence++,
                        .begin_us = now_us,
                        .open = true };
  call->timer = (sgr_timer_t){ .fire = call_timer, .ctx = call };
  if (in_overload (sim, now_us))
    sim->result->tenants[tenant].offered++;
  sgr_call_options_init (&options);
  options.idempotent = true;
  options.deadline_us
      = now_us
        + (sim->options->tenants[tenant].deadline_us > 0 ? sim->options->tenants[tenant].deadline_us
                                                         : sim->options->deadline_us);
  options.budget = &sim->budget;
  sgr_call_plan_init (&call->plan, &options);
  if (sim->options->server == SIM_SERVER_FIFO)
    {
      sgr_timer_arm (sim->heap, &call->timer, options.deadline_us);
      attempt_start (call, now_us, 0);
    }
  else
    call_event (call, now_us, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN });
}

static void
source_arm (sim_source_t *source, uint64_t now_us)
{
  const sim_tenant_t *tenant = &source->sim->options->tenants[source->number];
  double rate
      = in_overload (source->sim, now_us) ? tenant->overload_calls_per_s : tenant->calls_per_s;
  /* A rate of zero is looked at again later, because it may change. */
  uint64_t wait_us = rate > 0 ? exponential_us (&source->rng, SGR_USEC_PER_SEC / rate) + 1
                              : 10 * SGR_USEC_PER_MSEC;

  if (now_us + wait_us < source->sim->options->end_us)
    sgr_timer_arm (source->sim->heap, &source->timer, now_us + wait_us);
}

static void
source_fire (void *ctx, uint64_t now_us)
{
  sim_source_t *source = ctx;
  const sim_tenant_t *tenant = &source->sim->options->tenants[source->number];

  source_arm (source, now_us);
  if ((in_overload (source->sim, now_us) ? tenant->overload_calls_per_s : tenant->calls_per_s) > 0)
    call_begin (source->sim, now_us, source->number, source->sim->options->repeats);
}

static void
tick_fire (void *ctx, uint64_t now_us)
{
  sim_target_t *target = ctx;

  sgr_gate_tick (target->gate, now_us);
  if (now_us < target->sim->options->end_us)
    sgr_timer_arm (target->sim->heap, &target->tick, now_us + SGR_USEC_PER_MSEC);
}

static void
target_open (sim_t *sim, sim_target_t *target)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  sgr_gate_options_t options;
  sgr_policy_t policy;

  sgr_policy_init (&policy, "bench");
  policy.queue_max = sim->options->queue_max;
  for (uint32_t i = 0; i < SIM_TENANTS; i++)
    if (sim->options->tenants[i].limit > 0)
      {
        sgr_policy_limit_t *limit = &policy.tenant_limits[policy.tenant_limit_count++];

        *limit = (sgr_policy_limit_t){ .in_flight = sim->options->tenants[i].limit };
        for (int c = 0; sim->options->tenants[i].name[c] != '\0'; c++)
          limit->name[c] = sim->options->tenants[i].name[c];
      }
  sgr_gate_options_init (&options, GATE_BOOT);
  options.newest_first = sim->options->newest_first;
  options.limits_model = sim->options->limits_model;
  target->sim = sim;
  target->gate = sgr_gate_create (&options, &policy, &callbacks, target);
  sgr_gate_target_update (target->gate, 0, SGR_TARGET_SERVING, sim->options->slots);
  target->tick = (sgr_timer_t){ .fire = tick_fire, .ctx = target };
  sgr_timer_arm (sim->heap, &target->tick, SGR_USEC_PER_MSEC);
}

void
sim_overload_run (const sim_options_t *options, sim_result_t *result)
{
  sim_t *sim = calloc (1, sizeof *sim);
  uint64_t next_us = 0;

  sgr_invariant (sim != NULL);
  *result = (sim_result_t){ 0 };
  sim->options = options;
  sim->result = result;
  sim->heap = sgr_timer_heap_create ();
  sgr_rng_seed (&sim->rng, options->seed);
  sgr_retry_budget_init (&sim->budget, options->retry_percent);
  for (uint32_t i = 0; i < options->targets; i++)
    target_open (sim, &sim->targets[i]);
  for (uint32_t i = 0; i < SIM_TENANTS; i++)
    {
      sim->sources[i] = (sim_source_t){ .sim = sim, .number = i };
      sgr_rng_seed (&sim->sources[i].rng, options->seed * 100 + i);
      sim->sources[i].timer = (sgr_timer_t){ .fire = source_fire, .ctx = &sim->sources[i] };
      if (options->tenants[i].name != NULL)
        source_arm (&sim->sources[i], 0);
    }
  while (next_us != SGR_TIMER_NEVER)
    {
      next_us = sgr_timer_heap_run (sim->heap, next_us);
      dead_free (sim);
    }
  for (uint32_t i = 0; i < options->targets; i++)
    sgr_gate_destroy (sim->targets[i].gate);
  sgr_timer_heap_destroy (sim->heap);
  free (sim);
}
