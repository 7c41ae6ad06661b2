#include "sim_overload.h"

#include <math.h>
#include <stdlib.h>

#include "call_plan.h"
#include "result.h"
#include "rng.h"
#include "timer_heap.h"

#define TARGETS_MAX 8
/* Boot id of every gate. */
#define GATE_BOOT_ID 9
/* Node id and boot id of the one entry that sends all calls. */
#define ENTRY_NODE_ID 1
#define ENTRY_BOOT_ID 1
/* Interval in which the rate of a tenant is checked while it is zero calls a second. */
#define ZERO_RATE_CHECK_INTERVAL_US (10 * SGR_USEC_PER_MSEC)
#define GATE_TICK_INTERVAL_US SGR_USEC_PER_MSEC

struct sim_t;

/**
 * struct sim_call_t - one call of a caller
 * @sim: the simulation
 * @tenant: index of the tenant
 * @repeats_left: how often the caller may still send the call again
 * @references: number of references to the call: one while it is open, one for each attempt at a
 *   target, and one for each event of the call that is being handled; the call is freed after the
 *   last one is released
 * @sequence: number of the call in its attempt ids
 * @call_begin_us: when the caller sent the call
 * @is_open: the caller still waits
 * @plan: call plan of the entry
 * @timer: deadline with SIM_SERVER_FIFO, timer of the plan with SIM_SERVER_GATE
 * @released_next: next call in the list of released calls
 */
typedef struct sim_call_t
{
  struct sim_t *sim;
  uint32_t tenant;
  uint32_t repeats_left;
  uint32_t references;
  uint64_t sequence;
  uint64_t call_begin_us;
  bool is_open;
  sgr_call_plan_t plan;
  sgr_timer_t timer;
  struct sim_call_t *released_next;
} sim_call_t;

/**
 * struct sim_attempt_t - one attempt that waits for or has a slot of a target
 * @call: its call
 * @attempt: index of the attempt in the call plan
 * @target: index of the target
 * @service_start_us: when it got the slot
 * @gate_handle: handle at the gate
 * @timer: end of the service time
 * @next: next attempt in the FIFO queue
 */
typedef struct sim_attempt_t
{
  sim_call_t *call;
  uint32_t attempt;
  uint32_t target;
  uint64_t service_start_us;
  sgr_gate_handle_t gate_handle;
  sgr_timer_t timer;
  struct sim_attempt_t *next;
} sim_attempt_t;

/**
 * struct sim_target_t - a target with its gate or FIFO queue
 * @sim: the simulation
 * @gate: the gate, used with SIM_SERVER_GATE only
 * @slots_in_use: slots in use, counted with SIM_SERVER_FIFO only
 * @queue_first: first attempt of the FIFO queue, NULL if it is empty
 * @queue_last: last attempt of the FIFO queue, valid unless it is empty
 * @tick_timer: next call of sgr_gate_tick()
 */
typedef struct
{
  struct sim_t *sim;
  sgr_gate_t *gate;
  uint32_t slots_in_use;
  sim_attempt_t *queue_first;
  sim_attempt_t *queue_last;
  sgr_timer_t tick_timer;
} sim_target_t;

/**
 * struct sim_source_t - generator of the calls of one tenant
 * @sim: the simulation
 * @tenant_index: index of the tenant
 * @rng: random numbers for the times between calls
 * @timer: the next call
 */
typedef struct
{
  struct sim_t *sim;
  uint32_t tenant_index;
  sgr_rng_t rng;
  sgr_timer_t timer;
} sim_source_t;

/**
 * struct sim_t - state of one run
 * @options: settings
 * @result: receives the measurements
 * @rng: random numbers for targets and service times
 * @timer_heap: all timers, in virtual time
 * @retry_budget: retry budget of the entry
 * @sequence: number of the next call
 * @released: ended calls that are not freed yet; they are freed between two runs of the timers,
 *   because the functions that handle an event may still use them
 * @targets: the targets
 * @sources: the generators of calls
 */
typedef struct sim_t
{
  const sim_options_t *options;
  sim_result_t *result;
  sgr_rng_t rng;
  sgr_timer_heap_t *timer_heap;
  sgr_retry_budget_t retry_budget;
  uint64_t sequence;
  sim_call_t *released;
  sim_target_t targets[TARGETS_MAX];
  sim_source_t sources[SIM_TENANTS_MAX];
} sim_t;

static void call_event_handle (sim_call_t *call, uint64_t now_us, sgr_call_event_t event);
static void call_begin (sim_t *sim, uint64_t now_us, uint32_t tenant, uint32_t repeats_left);

static bool
is_in_overload (const sim_t *sim, uint64_t now_us)
{
  return now_us >= sim->options->overload_begin_us && now_us < sim->options->overload_end_us;
}

static uint64_t
exponential_us_draw (sgr_rng_t *rng, double mean_us)
{
  return (uint64_t)(-log (1.0 - sgr_rng_uniform (rng)) * mean_us);
}

/* Releases a reference to a call. When the last one is released, moves the call to the list of
   released calls. */
static void
call_unref (sim_call_t *call)
{
  if (--call->references > 0)
    return;
  sgr_timer_cancel (call->sim->timer_heap, &call->timer);
  call->released_next = call->sim->released;
  call->sim->released = call;
}

static void
released_calls_free (sim_t *sim)
{
  while (sim->released != NULL)
    {
      sim_call_t *call = sim->released;

      sim->released = call->released_next;
      free (call);
    }
}

/* Ends a call for its caller. If the call was not answered before its deadline, the caller sends it
   again at once while it has repeats left. */
static void
call_end (sim_call_t *call, uint64_t now_us, bool answered)
{
  sim_t *sim = call->sim;
  sim_tenant_result_t *tenant = &sim->result->tenants[call->tenant];

  call->is_open = false;
  sgr_timer_cancel (sim->timer_heap, &call->timer);
  if (answered && now_us <= call->plan.options.deadline_us)
    {
      if (now_us / SIM_GOODPUT_BUCKET_US < SIM_GOODPUT_BUCKET_COUNT)
        sim->result->goodput[now_us / SIM_GOODPUT_BUCKET_US]++;
      if (is_in_overload (sim, call->call_begin_us))
        {
          tenant->answered++;
          sgr_histogram_record (&tenant->latency, now_us - call->call_begin_us);
        }
    }
  else if (call->repeats_left > 0)
    call_begin (sim, now_us, call->tenant, call->repeats_left - 1);
  call_unref (call);
}

static void service_end (void *ctx, uint64_t now_us);

/* Starts an attempt that has a slot; its service time is random. */
static void
service_start (sim_attempt_t *sim_attempt, uint64_t now_us)
{
  sim_t *sim = sim_attempt->call->sim;
  uint64_t service_us = sim->options->tenants[sim_attempt->call->tenant].service_us;

  if (service_us == 0)
    service_us = SIM_SERVICE_MEAN_US;
  sim_attempt->service_start_us = now_us;
  sim_attempt->timer = (sgr_timer_t){ .fire = service_end, .ctx = sim_attempt };
  sgr_timer_arm (sim->timer_heap, &sim_attempt->timer,
                 now_us + service_us / 2 + exponential_us_draw (&sim->rng, (double)service_us / 2));
}

/* Starts queued attempts while slots are free. */
static void
fifo_dispatch (sim_target_t *target, uint64_t now_us)
{
  while (target->slots_in_use < target->sim->options->slots && target->queue_first != NULL)
    {
      sim_attempt_t *sim_attempt = target->queue_first;

      target->queue_first = sim_attempt->next;
      target->slots_in_use++;
      service_start (sim_attempt, now_us);
    }
}

/* Timer callback: the service time of an attempt ends. Frees its slot and answers the call. */
static void
service_end (void *ctx, uint64_t now_us)
{
  sim_attempt_t *sim_attempt = ctx;
  sim_call_t *call = sim_attempt->call;
  sim_t *sim = call->sim;
  sim_target_t *target = &sim->targets[sim_attempt->target];
  sgr_gate_finish_t finish = { .latency_us = now_us - sim_attempt->service_start_us };

  sim->result->executions++;
  if (is_in_overload (sim, now_us))
    sim->result->busy_us += now_us - sim_attempt->service_start_us;
  if (sim->options->server == SIM_SERVER_GATE)
    {
      sgr_gate_attempt_finish (target->gate, sim_attempt->gate_handle, now_us, &finish);
      call_event_handle (
          call, now_us,
          (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME, .attempt = sim_attempt->attempt });
    }
  else
    {
      target->slots_in_use--;
      fifo_dispatch (target, now_us);
      if (call->is_open)
        call_end (call, now_us, true);
    }
  call_unref (call);
  free (sim_attempt);
}

static void
fifo_push (sim_target_t *target, sim_attempt_t *sim_attempt, uint64_t now_us)
{
  sim_attempt->next = NULL;
  if (target->queue_first != NULL)
    target->queue_last->next = sim_attempt;
  else
    target->queue_first = sim_attempt;
  target->queue_last = sim_attempt;
  fifo_dispatch (target, now_us);
}

/* Gate callback: a queued attempt got a slot. */
static void
on_attempt_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  sim_target_t *target = ctx;

  sgr_gate_attempt_mark_started (target->gate, handle);
  service_start (sgr_gate_handle_user (target->gate, handle), now_us);
}

/* Reports to the call plan that a gate refused an attempt, and frees the attempt. */
static void
attempt_refuse (sim_attempt_t *sim_attempt, uint64_t now_us, sgr_gate_reason_t reason,
                uint32_t retry_after_ms)
{
  sim_call_t *call = sim_attempt->call;
  uint32_t attempt = sim_attempt->attempt;

  free (sim_attempt);
  call_event_handle (call, now_us,
                     (sgr_call_event_t){ .kind = SGR_CALL_EVENT_OUTCOME,
                                         .attempt = attempt,
                                         .outcome = SGR_OUTCOME_NOT_RUN,
                                         .reason = SGR_CALL_REASON_REFUSED,
                                         .gate_reason = reason,
                                         .retry_after_ms = retry_after_ms });
  call_unref (call);
}

/* Gate callback: a queued attempt is refused. */
static void
on_attempt_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  sim_target_t *target = ctx;

  attempt_refuse (sgr_gate_handle_user (target->gate, handle), now_us, reason, 0);
}

/* Sends an attempt to its gate, which starts, queues or refuses it. */
static void
attempt_admit (sim_attempt_t *sim_attempt, uint64_t now_us)
{
  sim_call_t *call = sim_attempt->call;
  sim_target_t *target = &call->sim->targets[sim_attempt->target];
  sgr_attempt_t attempt = { .id = { .node = ENTRY_NODE_ID,
                                    .boot = ENTRY_BOOT_ID,
                                    .sequence = call->sequence,
                                    .attempt = sim_attempt->attempt },
                            .gate_boot = GATE_BOOT_ID,
                            .deadline_us = call->plan.options.deadline_us,
                            .tenant = call->sim->options->tenants[call->tenant].name,
                            .class_name = "",
                            .idempotent = true,
                            .user = sim_attempt };
  sgr_gate_decision_t decision;

  sgr_gate_attempt_admit (target->gate, now_us, &attempt, &decision);
  sim_attempt->gate_handle = decision.handle;
  if (decision.kind == SGR_GATE_START)
    {
      sgr_gate_attempt_mark_started (target->gate, sim_attempt->gate_handle);
      service_start (sim_attempt, now_us);
    }
  else if (decision.kind != SGR_GATE_QUEUED)
    attempt_refuse (sim_attempt, now_us, decision.reason, decision.retry_after_ms);
}

/* Picks a random target among those that the call plan does not exclude. If it excludes all
   targets, picks any of them. The node id of a target is its index plus one. */
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

/* Picks a target for an attempt and sends the attempt to its gate or FIFO queue. */
static void
attempt_start (sim_call_t *call, uint64_t now_us, uint32_t attempt)
{
  uint32_t target = target_pick (call);
  sim_attempt_t *sim_attempt = calloc (1, sizeof *sim_attempt);

  sgr_invariant (sim_attempt != NULL);
  *sim_attempt = (sim_attempt_t){ .call = call, .attempt = attempt, .target = target };
  call->references++;
  call->sim->result->attempts++;
  if (call->sim->options->server == SIM_SERVER_FIFO)
    {
      fifo_push (&call->sim->targets[target], sim_attempt, now_us);
      return;
    }
  call_event_handle (call, now_us,
                     (sgr_call_event_t){
                         .kind = SGR_CALL_EVENT_PICKED, .attempt = attempt, .target = target + 1 });
  call_event_handle (call, now_us,
                     (sgr_call_event_t){ .kind = SGR_CALL_EVENT_SENT, .attempt = attempt });
  attempt_admit (sim_attempt, now_us);
}

/* Cancels an attempt at its gate and passes the reply to the call plan. */
static void
attempt_cancel (sim_call_t *call, uint64_t now_us, uint32_t attempt)
{
  sgr_attempt_id_t id = {
    .node = ENTRY_NODE_ID, .boot = ENTRY_BOOT_ID, .sequence = call->sequence, .attempt = attempt
  };
  uint32_t target = (uint32_t)call->plan.attempts[attempt].target - 1;
  sgr_gate_status_t status;

  sgr_gate_attempt_cancel (call->sim->targets[target].gate, now_us, &id, GATE_BOOT_ID, &status);
  call_event_handle (call, now_us,
                     (sgr_call_event_t){ .kind = SGR_CALL_EVENT_QUERY_REPLY,
                                         .attempt = attempt,
                                         .phase = status.phase,
                                         .outcome = status.outcome,
                                         .gate_reason = status.reason });
}

static void
call_timer_fire (void *ctx, uint64_t now_us)
{
  sim_call_t *call = ctx;

  if (call->sim->options->server == SIM_SERVER_FIFO)
    call_end (call, now_us, false);
  else
    call_event_handle (call, now_us, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
}

/* Passes an event to the call plan and executes the actions that it returns. */
static void
call_event_handle (sim_call_t *call, uint64_t now_us, sgr_call_event_t event)
{
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  size_t count;

  if (!call->is_open)
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
        if (call->is_open)
          call_end (call, now_us, actions[i].outcome == SGR_OUTCOME_COMPLETE);
        break;
      }
  if (call->is_open)
    sgr_timer_arm (call->sim->timer_heap, &call->timer, call->plan.timer_us);
  call_unref (call);
}

static void
call_begin (sim_t *sim, uint64_t now_us, uint32_t tenant, uint32_t repeats_left)
{
  sim_call_t *call = calloc (1, sizeof *call);
  sgr_call_options_t options;

  sgr_invariant (call != NULL);
  *call = (sim_call_t){ .sim = sim,
                        .tenant = tenant,
                        .repeats_left = repeats_left,
                        .references = 1,
                        .sequence = sim->sequence++,
                        .call_begin_us = now_us,
                        .is_open = true };
  call->timer = (sgr_timer_t){ .fire = call_timer_fire, .ctx = call };
  if (is_in_overload (sim, now_us))
    sim->result->tenants[tenant].offered++;
  sgr_call_options_init (&options);
  options.idempotent = true;
  options.deadline_us
      = now_us
        + (sim->options->tenants[tenant].deadline_us > 0 ? sim->options->tenants[tenant].deadline_us
                                                         : sim->options->deadline_us);
  options.budget = &sim->retry_budget;
  sgr_call_plan_init (&call->plan, &options);
  if (sim->options->server == SIM_SERVER_FIFO)
    {
      sgr_timer_arm (sim->timer_heap, &call->timer, options.deadline_us);
      attempt_start (call, now_us, 0);
    }
  else
    call_event_handle (call, now_us, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN });
}

/* Schedules the next call of a tenant unless the run has ended by then. */
static void
source_next_call_schedule (sim_source_t *source, uint64_t now_us)
{
  const sim_tenant_t *tenant = &source->sim->options->tenants[source->tenant_index];
  double rate
      = is_in_overload (source->sim, now_us) ? tenant->overload_calls_per_s : tenant->calls_per_s;
  /* If the rate is zero, checks it again later, because it changes at the start and end of the
     overload. */
  uint64_t wait_us = rate > 0 ? exponential_us_draw (&source->rng, SGR_USEC_PER_SEC / rate) + 1
                              : ZERO_RATE_CHECK_INTERVAL_US;

  if (now_us + wait_us < source->sim->options->end_us)
    sgr_timer_arm (source->sim->timer_heap, &source->timer, now_us + wait_us);
}

static void
source_timer_fire (void *ctx, uint64_t now_us)
{
  sim_source_t *source = ctx;
  const sim_tenant_t *tenant = &source->sim->options->tenants[source->tenant_index];

  source_next_call_schedule (source, now_us);
  if ((is_in_overload (source->sim, now_us) ? tenant->overload_calls_per_s : tenant->calls_per_s)
      > 0)
    call_begin (source->sim, now_us, source->tenant_index, source->sim->options->repeats);
}

static void
tick_timer_fire (void *ctx, uint64_t now_us)
{
  sim_target_t *target = ctx;

  sgr_gate_tick (target->gate, now_us);
  if (now_us < target->sim->options->end_us)
    sgr_timer_arm (target->sim->timer_heap, &target->tick_timer, now_us + GATE_TICK_INTERVAL_US);
}

/* Creates the gate of a target with the limits of the tenants. */
static void
target_init (sim_t *sim, sim_target_t *target)
{
  static const sgr_gate_callbacks_t callbacks
      = { .start = on_attempt_start, .refuse = on_attempt_refuse };
  sgr_gate_options_t options;
  sgr_policy_t policy;

  sgr_policy_init (&policy, "bench");
  policy.queue_max = sim->options->queue_max;
  for (uint32_t i = 0; i < SIM_TENANTS_MAX; i++)
    if (sim->options->tenants[i].limit > 0)
      {
        sgr_policy_limit_t *limit = &policy.tenant_limits[policy.tenant_limit_count++];

        *limit = (sgr_policy_limit_t){ .in_flight = sim->options->tenants[i].limit };
        for (int c = 0; sim->options->tenants[i].name[c] != '\0'; c++)
          limit->name[c] = sim->options->tenants[i].name[c];
      }
  sgr_gate_options_init (&options, GATE_BOOT_ID);
  options.newest_first = sim->options->newest_first;
  options.limits_model = sim->options->limits_model;
  target->sim = sim;
  target->gate = sgr_gate_create (&options, &policy, &callbacks, target);
  sgr_gate_target_update (target->gate, 0, SGR_TARGET_SERVING, sim->options->slots);
  target->tick_timer = (sgr_timer_t){ .fire = tick_timer_fire, .ctx = target };
  sgr_timer_arm (sim->timer_heap, &target->tick_timer, GATE_TICK_INTERVAL_US);
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
  sim->timer_heap = sgr_timer_heap_create ();
  sgr_rng_seed (&sim->rng, options->seed);
  sgr_retry_budget_init (&sim->retry_budget, options->retry_percent);
  for (uint32_t i = 0; i < options->targets; i++)
    target_init (sim, &sim->targets[i]);
  for (uint32_t i = 0; i < SIM_TENANTS_MAX; i++)
    {
      sim->sources[i] = (sim_source_t){ .sim = sim, .tenant_index = i };
      sgr_rng_seed (&sim->sources[i].rng, options->seed * 100 + i);
      sim->sources[i].timer = (sgr_timer_t){ .fire = source_timer_fire, .ctx = &sim->sources[i] };
      if (options->tenants[i].name != NULL)
        source_next_call_schedule (&sim->sources[i], 0);
    }
  while (next_us != SGR_TIMER_NEVER)
    {
      next_us = sgr_timer_heap_run (sim->timer_heap, next_us);
      released_calls_free (sim);
    }
  for (uint32_t i = 0; i < options->targets; i++)
    sgr_gate_destroy (sim->targets[i].gate);
  sgr_timer_heap_destroy (sim->timer_heap);
  free (sim);
}
