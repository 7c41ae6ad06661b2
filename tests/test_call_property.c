/* Random interleavings of the call plan and the gate against a fake target that counts executions.
   Messages are lost, late, duplicated and reordered; gates and entries restart; calls are cancelled
   and repeated with their key through other entries. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "call_plan.h"
#include "rng.h"

#define MS SGR_USEC_PER_MSEC
#define GATES 2
#define ENTRIES 3
#define CALLS 4000
#define MESSAGES_MAX 4096
#define JOBS_MAX 256
#define SLOTS 3
#define JOINED_MAX 33
#define DEADLINE_US (60 * MS)

typedef struct
{
  uint32_t first_call;
  uint32_t executions;
  bool idempotent;
  bool keyed;
  int gate;
  sgr_boot_id_t gate_boot;
  uint64_t generation;
} request_t;

typedef struct
{
  uint32_t request;
  int entry;
  sgr_boot_id_t entry_boot;
  sgr_call_plan_t plan;
  int gates[SGR_CALL_ATTEMPTS_MAX];
  sgr_boot_id_t boots[SGR_CALL_ATTEMPTS_MAX];
  bool open;
  bool ran;
  bool told_not_run;
} call_t;

typedef enum
{
  MESSAGE_CALL,
  MESSAGE_QUERY,
  MESSAGE_CANCEL,
  MESSAGE_ANSWER,
  MESSAGE_REPLY
} message_kind_t;

typedef struct
{
  message_kind_t kind;
  uint32_t call;
  uint32_t attempt;
  uint64_t due_us;
  sgr_call_event_t event;
  uint32_t token;
} message_t;

/* Work at a gate; the calls whose attempts joined it are told with it. */
typedef struct
{
  bool used;
  int gate;
  sgr_gate_handle_t handle;
  bool running;
  bool sent;
  bool executed;
  uint32_t calls[JOINED_MAX], attempts[JOINED_MAX];
  int count;
} job_t;

typedef struct
{
  sgr_rng_t rng;
  uint64_t now_us;
  sgr_gate_t *gates[GATES];
  sgr_boot_id_t gate_boots[GATES];
  sgr_boot_id_t entry_boots[ENTRIES];
  sgr_boot_id_t next_boot;
  sgr_retry_budget_t budget;
  request_t requests[CALLS];
  call_t calls[CALLS];
  uint32_t call_count;
  message_t messages[MESSAGES_MAX];
  uint32_t message_count;
  job_t jobs[JOBS_MAX];
  uint64_t told[3];
  uint64_t duplicates;
  uint64_t conflicts;
} world_t;

static world_t *world;

static bool
chance (uint32_t percent)
{
  return sgr_rng_below (&world->rng, 100) < percent;
}

static void
message_send (message_kind_t kind, uint32_t call, uint32_t attempt, sgr_call_event_t event,
              uint32_t token)
{
  message_t message = { kind, call, attempt, 0, event, token };
  int copies = chance (5) ? 0 : chance (10) ? 2 : 1;

  for (int i = 0; i < copies && world->message_count < MESSAGES_MAX; i++)
    {
      uint64_t delay_us = sgr_rng_below (&world->rng, 4 * MS);

      message.due_us = world->now_us + (chance (8) ? 15 * delay_us : delay_us);
      world->messages[world->message_count++] = message;
    }
}

static void
job_execute (job_t *job)
{
  request_t *request = &world->requests[world->calls[job->calls[0]].request];

  job->sent = true;
  if (!sgr_gate_attempt_started (world->gates[job->gate], job->handle) || chance (10))
    return; /* cancelled, or the target declares not-run */
  job->executed = true;
  request->executions++;
  if (!request->idempotent && request->executions > 1)
    fail_msg ("request of call %u ran twice", request->first_call);
  for (int i = 0; i < job->count; i++)
    {
      world->calls[job->calls[i]].ran = true;
      if (world->calls[job->calls[i]].told_not_run)
        fail_msg ("call %u ran after not-run", job->calls[i]);
    }
}

static void
job_tell (job_t *job, sgr_outcome_t outcome, sgr_gate_reason_t reason)
{
  for (int i = 0; i < job->count; i++)
    message_send (MESSAGE_ANSWER, job->calls[i], job->attempts[i],
                  (sgr_call_event_t){ SGR_CALL_EVENT_OUTCOME, 0, 0, outcome, 0, reason },
                  world->calls[job->calls[0]].request);
  job->used = false;
}

static void
job_finish (job_t *job)
{
  uint32_t token = world->calls[job->calls[0]].request;
  sgr_gate_finish_t finish = { .latency_us = MS, .answer = &token, .answer_length = sizeof token };
  sgr_gate_t *gate = world->gates[job->gate];

  if (!job->executed)
    finish = (sgr_gate_finish_t){ .outcome = SGR_OUTCOME_NOT_RUN, .declared_not_run = true };
  else if (chance (10))
    finish.outcome = SGR_OUTCOME_UNKNOWN;
  job_tell (job, finish.outcome, SGR_GATE_REASON_NONE);
  assert_int_equal (sgr_gate_attempt_finish (gate, job->handle, world->now_us, &finish),
                    finish.outcome);
}

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  job_t *job = sgr_gate_handle_user (*(sgr_gate_t **)ctx, handle);

  job->running = true;
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  job_tell (sgr_gate_handle_user (*(sgr_gate_t **)ctx, handle), SGR_OUTCOME_NOT_RUN, reason);
}

/* Requests at the target break off with the gate; what they executed stays executed. */
static void
gate_restart (int number)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  sgr_gate_options_t options;
  sgr_policy_t policy;

  for (int i = 0; i < JOBS_MAX; i++)
    if (world->jobs[i].gate == number)
      world->jobs[i].used = false;
  sgr_gate_destroy (world->gates[number]);
  world->gate_boots[number] = world->next_boot++;
  sgr_policy_init (&policy, "transfers");
  policy.queue_max = 4;
  sgr_gate_options_init (&options, world->gate_boots[number]);
  options.slots_max = SLOTS;
  options.attempts_max = 1100;
  options.keys_max = 40;
  options.peers_max = 64;
  options.answer_length_max = 16;
  options.answer_bytes_max = 1024;
  options.attempt_retention_us = 150 * MS;
  options.key_retention_us = 200 * MS;
  options.key_generation_us = 20 * MS;
  world->gates[number] = sgr_gate_create (&options, &policy, &callbacks, &world->gates[number]);
  assert_non_null (world->gates[number]);
  sgr_gate_target_update (world->gates[number], world->now_us, SGR_TARGET_SERVING, SLOTS);
}

static sgr_attempt_id_t
attempt_id (const message_t *message)
{
  const call_t *call = &world->calls[message->call];

  return (sgr_attempt_id_t){ (sgr_node_id_t)call->entry + 1, call->entry_boot, message->call,
                             message->attempt };
}

static void
reply_status (const message_t *message, const sgr_gate_status_t *status)
{
  sgr_call_event_t reply = { SGR_CALL_EVENT_QUERY_REPLY, 0, 0, status->outcome, 0, status->reason,
                             .phase = status->phase };
  message_kind_t kind = MESSAGE_REPLY;
  uint32_t token = 0;

  if (status->answer != NULL)
    {
      kind = MESSAGE_ANSWER;
      reply.kind = SGR_CALL_EVENT_OUTCOME;
      memcpy (&token, status->answer, sizeof token);
    }
  message_send (kind, message->call, message->attempt, reply, token);
}

static void
join (const message_t *message, const sgr_gate_status_t *status, int gate)
{
  job_t *job
      = status->handle == 0 ? NULL : sgr_gate_handle_user (world->gates[gate], status->handle);

  world->duplicates++;
  if (job == NULL)
    {
      if (status->outcome != SGR_OUTCOME_NOT_RUN)
        world->calls[message->call].ran = true;
      reply_status (message, status);
      return;
    }
  if (job->executed)
    world->calls[message->call].ran = true;
  if (job->count < JOINED_MAX)
    {
      job->calls[job->count] = message->call;
      job->attempts[job->count++] = message->attempt;
    }
}

static void
gate_admit (const message_t *message, int number)
{
  const call_t *call = &world->calls[message->call];
  const request_t *request = &world->requests[call->request];
  sgr_attempt_t attempt = { .id = attempt_id (message),
                            .gate_boot = call->boots[message->attempt],
                            .deadline_us = call->plan.options.deadline_us,
                            .tenant = "t",
                            .class_name = "",
                            .idempotent = request->idempotent,
                            .has_key = request->keyed,
                            .key = { .low = call->request },
                            .key_generation = request->generation,
                            .fingerprint = { .low = chance (2) && call->request > 0 } };
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME };
  sgr_gate_decision_t decision;
  job_t *job = world->jobs;

  while (job->used)
    job++;
  sgr_invariant (job < world->jobs + JOBS_MAX);
  attempt.user = job;
  sgr_gate_attempt_admit (world->gates[number], world->now_us, &attempt, &decision);
  if (decision.kind == SGR_GATE_START || decision.kind == SGR_GATE_QUEUED)
    {
      *job = (job_t){ .used = true, .gate = number, .handle = decision.handle, .count = 1 };
      job->calls[0] = message->call;
      job->attempts[0] = message->attempt;
      job->running = decision.kind == SGR_GATE_START;
      return;
    }
  if (decision.kind == SGR_GATE_DUPLICATE)
    {
      join (message, &decision.status, number);
      return;
    }
  world->conflicts += decision.kind == SGR_GATE_CONFLICT;
  event.outcome = decision.outcome;
  event.gate_reason = decision.reason;
  event.retry_after_ms = decision.retry_after_ms;
  event.reason
      = decision.kind == SGR_GATE_CONFLICT ? SGR_CALL_REASON_KEY_CONFLICT : SGR_CALL_REASON_REFUSED;
  message_send (MESSAGE_ANSWER, message->call, message->attempt, event, 0);
}

static void call_event (uint32_t number, sgr_call_event_t event);

static void
call_start_attempt (uint32_t number, uint32_t attempt)
{
  call_t *call = &world->calls[number];
  const request_t *request = &world->requests[call->request];
  int gate = request->keyed ? request->gate : (int)sgr_rng_below (&world->rng, GATES);
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_NO_TARGET, .attempt = attempt };

  if (!chance (3))
    {
      call->gates[attempt] = gate;
      /* Entries learn of a restart late, and then send with the boot id of the earlier life. */
      call->boots[attempt] = request->keyed ? request->gate_boot : world->gate_boots[gate];
      event.kind = SGR_CALL_EVENT_PICKED;
      event.target = (sgr_node_id_t)gate + 1;
      call_event (number, event);
      event.kind = SGR_CALL_EVENT_SENT;
    }
  call_event (number, event);
  if (event.kind == SGR_CALL_EVENT_SENT)
    message_send (MESSAGE_CALL, number, attempt, event, 0);
}

static void
call_finish (uint32_t number, const sgr_call_action_t *action)
{
  call_t *call = &world->calls[number];

  call->open = false;
  world->told[action->outcome]++;
  if (action->outcome != SGR_OUTCOME_NOT_RUN)
    return;
  call->told_not_run = true;
  if (call->ran)
    fail_msg ("call %u is told not-run but ran", number);
}

static void
call_event (uint32_t number, sgr_call_event_t event)
{
  call_t *call = &world->calls[number];
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  size_t count;

  if (!call->open)
    return;
  count = sgr_call_plan_event (&call->plan, world->now_us, &event, actions);
  for (size_t i = 0; i < count; i++)
    {
      uint32_t attempt = actions[i].attempt;

      if (actions[i].kind == SGR_CALL_ACTION_START)
        call_start_attempt (number, attempt);
      else if (actions[i].kind == SGR_CALL_ACTION_FINISH)
        call_finish (number, &actions[i]);
      else
        message_send (actions[i].kind == SGR_CALL_ACTION_QUERY ? MESSAGE_QUERY : MESSAGE_CANCEL,
                      number, attempt, event, 0);
    }
}

static void
message_deliver (const message_t *message)
{
  const call_t *call = &world->calls[message->call];
  sgr_call_event_t event = message->event;
  sgr_attempt_id_t id = attempt_id (message);
  int gate = call->gates[message->attempt];
  sgr_gate_status_t status;

  switch (message->kind)
    {
    case MESSAGE_CALL:
      gate_admit (message, gate);
      break;
    case MESSAGE_QUERY:
      sgr_gate_attempt_query (world->gates[gate], world->now_us, &id, call->boots[message->attempt],
                              &status);
      reply_status (message, &status);
      break;
    case MESSAGE_CANCEL:
      sgr_gate_attempt_cancel (world->gates[gate], world->now_us, &id,
                               call->boots[message->attempt], &status);
      reply_status (message, &status);
      break;
    case MESSAGE_ANSWER:
    case MESSAGE_REPLY:
      if (call->entry_boot != world->entry_boots[call->entry])
        break;
      event.attempt = message->attempt;
      if (call->open && event.kind == SGR_CALL_EVENT_OUTCOME
          && event.outcome == SGR_OUTCOME_COMPLETE && message->token != call->request)
        fail_msg ("call %u got the answer of request %u", message->call, message->token);
      call_event (message->call, event);
      break;
    }
}

static void
call_begin (void)
{
  uint32_t number = world->call_count++;
  call_t *call = &world->calls[number];
  request_t *request = &world->requests[number];
  sgr_call_options_t options;
  uint32_t back = (uint32_t)sgr_rng_below (&world->rng, 40);

  call->request = number;
  if (back > 0 && back < number && world->requests[world->calls[number - back].request].keyed
      && (world->calls[number - back].request + 150 > number || chance (25)))
    call->request = world->calls[number - back].request; /* a repeat with the same key */
  else
    {
      *request = (request_t){ .first_call = number,
                              .idempotent = chance (30),
                              .keyed = chance (50),
                              .gate = (int)sgr_rng_below (&world->rng, GATES) };
      if (request->keyed)
        request->idempotent = false;
      request->gate_boot = world->gate_boots[request->gate];
      request->generation = sgr_gate_key_generation (world->gates[request->gate], world->now_us);
    }
  request = &world->requests[call->request];
  call->entry = (int)sgr_rng_below (&world->rng, ENTRIES);
  call->entry_boot = world->entry_boots[call->entry];
  call->open = true;
  sgr_call_options_init (&options);
  options.idempotent = request->idempotent;
  options.keyed = request->keyed;
  options.deadline_us = world->now_us + DEADLINE_US;
  options.hedge_delay_us = 3 * MS;
  options.query_interval_us = 5 * MS;
  options.budget = &world->budget;
  sgr_call_plan_init (&call->plan, &options);
  call_event (number, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN });
}

static void
faults (void)
{
  uint32_t number = world->call_count - 1 - (uint32_t)sgr_rng_below (&world->rng, 20);
  sgr_call_event_t lost = { .kind = SGR_CALL_EVENT_CONNECTION_LOST };

  if (number < world->call_count && chance (20))
    call_event (number, lost);
  if (number < world->call_count && chance (3))
    call_event (number, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_CANCEL });
  if (sgr_rng_below (&world->rng, 600) == 0)
    gate_restart ((int)sgr_rng_below (&world->rng, GATES));
  if (sgr_rng_below (&world->rng, 1000) == 0)
    {
      int entry = (int)sgr_rng_below (&world->rng, ENTRIES);
      sgr_boot_id_t boot = world->entry_boots[entry];

      world->entry_boots[entry] = world->next_boot++;
      for (uint32_t i = 0; i < world->call_count; i++)
        if (world->calls[i].entry == entry && world->calls[i].entry_boot == boot)
          world->calls[i].open = false;
      for (int i = 0; i < GATES; i++)
        sgr_gate_entry_lost (world->gates[i], world->now_us, (sgr_node_id_t)entry + 1, boot);
    }
}

static void
step (void)
{
  sgr_load_report_t report;

  world->now_us += sgr_rng_below (&world->rng, 500);
  if (chance (25) && world->call_count < CALLS)
    call_begin ();
  if (world->call_count > 0)
    faults ();
  for (uint32_t i = world->message_count; i-- > 0;)
    if (world->messages[i].due_us <= world->now_us)
      {
        message_t message = world->messages[i];

        world->messages[i] = world->messages[--world->message_count];
        message_deliver (&message);
      }
  for (int i = 0; i < JOBS_MAX; i++)
    if (world->jobs[i].used && world->jobs[i].running && chance (30))
      (world->jobs[i].sent ? job_finish : job_execute) (&world->jobs[i]);
  for (uint32_t i = world->call_count > 600 ? world->call_count - 600 : 0; i < world->call_count;
       i++)
    if (world->calls[i].open && world->calls[i].plan.timer_us <= world->now_us)
      call_event (i, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
  for (int i = 0; i < GATES; i++)
    {
      sgr_gate_tick (world->gates[i], world->now_us);
      sgr_gate_load_report (world->gates[i], &report);
      assert_true (report.in_flight <= SLOTS);
    }
}

static void
run_seed (uint64_t seed)
{
  world = calloc (1, sizeof *world);
  assert_non_null (world);
  sgr_rng_seed (&world->rng, seed);
  world->now_us = 1;
  world->next_boot = 1;
  sgr_retry_budget_init (&world->budget, 50);
  for (int i = 0; i < GATES; i++)
    gate_restart (i);
  for (int i = 0; i < ENTRIES; i++)
    world->entry_boots[i] = world->next_boot++;
  for (int i = 0; i < 5 * CALLS; i++)
    step ();
  for (uint32_t i = 0; i < world->call_count; i++)
    if (world->calls[i].open)
      fail_msg ("seed %llu: call %u never ended", (unsigned long long)seed, i);
  assert_int_equal (world->call_count, CALLS);
  /* Guards against a run in which the faults leave nothing to check. */
  for (int i = 0; i < 3; i++)
    assert_true (world->told[i] > CALLS / 20);
  assert_true (world->duplicates > 50 && world->conflicts > 0);
  printf ("seed %llu: complete %llu, not-run %llu, unknown %llu, duplicates %llu\n",
          (unsigned long long)seed, (unsigned long long)world->told[0],
          (unsigned long long)world->told[1], (unsigned long long)world->told[2],
          (unsigned long long)world->duplicates);
  for (int i = 0; i < GATES; i++)
    sgr_gate_destroy (world->gates[i]);
  free (world);
}

/* Guards against a second run of a non-idempotent request, a false not-run, the answer of another
   call, more work at the target than slots, and a call that never ends. */
static void
test_random_interleavings (void **state)
{
  const char *seeds = getenv ("SGR_PROPERTY_SEEDS");
  uint64_t count = seeds != NULL ? strtoull (seeds, NULL, 10) : 12;

  for (uint64_t seed = 1; seed <= count; seed++)
    run_seed (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_random_interleavings) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
