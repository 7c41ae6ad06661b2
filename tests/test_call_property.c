/* Runs call plans and gates through random sequences of events, with simulated targets that count
   executions. Messages are lost, delayed, duplicated and reordered; gates and entries restart;
   calls are cancelled, and sent again with their idempotency key through other entries. */

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
#define GATE_COUNT 2
#define ENTRY_COUNT 3
#define CALL_COUNT 4000
#define MESSAGES_MAX 4096
#define RUNS_MAX 256
#define SLOT_COUNT 3
/* Maximum number of calls that wait for the answer of one run: the first one and as many as may
   join it at a gate. */
#define RUN_CALLS_MAX 33
#define DEADLINE_US (60 * MS)

/* A request, which several calls carry if the caller repeats it with its key. */
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

/* A call at its entry. Requests and calls are identified by their indexes in simulation_t. */
typedef struct
{
  uint32_t request;
  int entry;
  sgr_boot_id_t entry_boot;
  sgr_call_plan_t plan;
  int gates[SGR_CALL_ATTEMPTS_MAX];
  sgr_boot_id_t boots[SGR_CALL_ATTEMPTS_MAX];
  bool open;
  bool was_executed;
  bool is_reported_not_run;
} call_t;

typedef enum
{
  MESSAGE_CALL,
  MESSAGE_QUERY,
  MESSAGE_CANCEL,
  MESSAGE_ANSWER,
  MESSAGE_REPLY
} message_kind_t;

/* A message in transit; answer_request is the request that the answer belongs to. */
typedef struct
{
  message_kind_t kind;
  uint32_t call;
  uint32_t attempt;
  uint64_t due_us;
  sgr_call_event_t event;
  uint32_t answer_request;
} message_t;

/* A run: a request that a gate has queued or started, and the attempts that wait for its answer. */
typedef struct
{
  bool used;
  int gate;
  sgr_gate_handle_t handle;
  bool running;
  bool sent;
  bool executed;
  uint32_t calls[RUN_CALLS_MAX], attempts[RUN_CALLS_MAX];
  int count;
} run_t;

typedef struct
{
  sgr_rng_t rng;
  uint64_t now_us;
  sgr_gate_t *gates[GATE_COUNT];
  sgr_boot_id_t gate_boots[GATE_COUNT];
  sgr_boot_id_t entry_boots[ENTRY_COUNT];
  sgr_boot_id_t next_boot;
  sgr_retry_budget_t budget;
  request_t requests[CALL_COUNT];
  call_t calls[CALL_COUNT];
  uint32_t call_count;
  message_t messages[MESSAGES_MAX];
  uint32_t message_count;
  run_t runs[RUNS_MAX];
  uint64_t outcome_counts[3];
  uint64_t duplicates;
  uint64_t conflicts;
} simulation_t;

static simulation_t *sim;

static bool
random_chance (uint32_t percent)
{
  return sgr_rng_below (&sim->rng, 100) < percent;
}

/* Sends a message that arrives after a random delay. 5 % of the messages are lost, and 10 % of the
   others are sent twice. The delay is multiplied by 15 in 8 % of cases. */
static void
message_send (message_kind_t kind, uint32_t call, uint32_t attempt, sgr_call_event_t event,
              uint32_t answer_request)
{
  message_t message = { kind, call, attempt, 0, event, answer_request };
  int copies = random_chance (5) ? 0 : random_chance (10) ? 2 : 1;

  for (int i = 0; i < copies && sim->message_count < MESSAGES_MAX; i++)
    {
      uint64_t delay_us = sgr_rng_below (&sim->rng, 4 * MS);

      message.due_us = sim->now_us + (random_chance (8) ? 15 * delay_us : delay_us);
      sim->messages[sim->message_count++] = message;
    }
}

/* Sends the request to the target, which executes it, and checks that this is permitted. */
static void
run_execute (run_t *run)
{
  request_t *request = &sim->requests[sim->calls[run->calls[0]].request];

  run->sent = true;
  /* The attempt was cancelled, or the target declares that it did not run the request. */
  if (!sgr_gate_attempt_mark_started (sim->gates[run->gate], run->handle) || random_chance (10))
    return;
  run->executed = true;
  request->executions++;
  if (!request->idempotent && request->executions > 1)
    fail_msg ("non-idempotent request of call %u was executed twice", request->first_call);
  for (int i = 0; i < run->count; i++)
    {
      sim->calls[run->calls[i]].was_executed = true;
      if (sim->calls[run->calls[i]].is_reported_not_run)
        fail_msg ("call %u was executed after it was reported as not-run", run->calls[i]);
    }
}

static void
run_report (run_t *run, sgr_outcome_t outcome, sgr_gate_reason_t reason)
{
  for (int i = 0; i < run->count; i++)
    message_send (MESSAGE_ANSWER, run->calls[i], run->attempts[i],
                  (sgr_call_event_t){ SGR_CALL_EVENT_OUTCOME, 0, 0, outcome, 0, reason },
                  sim->calls[run->calls[0]].request);
  run->used = false;
}

static void
run_finish (run_t *run)
{
  uint32_t answer_request = sim->calls[run->calls[0]].request;
  sgr_gate_finish_t finish
      = { .latency_us = MS, .answer = &answer_request, .answer_length = sizeof answer_request };
  sgr_gate_t *gate = sim->gates[run->gate];

  if (!run->executed)
    finish = (sgr_gate_finish_t){ .outcome = SGR_OUTCOME_NOT_RUN, .declared_not_run = true };
  else if (random_chance (10))
    finish.outcome = SGR_OUTCOME_UNKNOWN;
  run_report (run, finish.outcome, SGR_GATE_REASON_NONE);
  assert_int_equal (sgr_gate_attempt_finish (gate, run->handle, sim->now_us, &finish),
                    finish.outcome);
}

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  run_t *run = sgr_gate_handle_user (*(sgr_gate_t **)ctx, handle);

  run->running = true;
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  run_report (sgr_gate_handle_user (*(sgr_gate_t **)ctx, handle), SGR_OUTCOME_NOT_RUN, reason);
}

/* Replaces a gate by one with a new boot id. Its requests end without an outcome, but executions
   that have begun stay counted. */
static void
gate_restart (int index)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };
  sgr_gate_options_t options;
  sgr_policy_t policy;

  for (int i = 0; i < RUNS_MAX; i++)
    if (sim->runs[i].gate == index)
      sim->runs[i].used = false;
  sgr_gate_destroy (sim->gates[index]);
  sim->gate_boots[index] = sim->next_boot++;
  sgr_policy_init (&policy, "transfers");
  policy.queue_max = 4;
  sgr_gate_options_init (&options, sim->gate_boots[index]);
  options.slots_max = SLOT_COUNT;
  options.attempts_max = 1100;
  options.keys_max = 40;
  options.entry_boots_max = 64;
  options.answer_length_max = 16;
  options.answer_bytes_max = 1024;
  options.attempt_retention_us = 150 * MS;
  options.key_retention_us = 200 * MS;
  options.key_generation_us = 20 * MS;
  sim->gates[index] = sgr_gate_create (&options, &policy, &callbacks, &sim->gates[index]);
  assert_non_null (sim->gates[index]);
  sgr_gate_target_update (sim->gates[index], sim->now_us, SGR_TARGET_SERVING, SLOT_COUNT);
}

static sgr_attempt_id_t
attempt_id (const message_t *message)
{
  const call_t *call = &sim->calls[message->call];

  return (sgr_attempt_id_t){ (sgr_node_id_t)call->entry + 1, call->entry_boot, message->call,
                             message->attempt };
}

static void
status_reply_send (const message_t *message, const sgr_gate_status_t *status)
{
  sgr_call_event_t reply = { SGR_CALL_EVENT_QUERY_REPLY, 0, 0, status->outcome, 0, status->reason,
                             .phase = status->phase };
  message_kind_t kind = MESSAGE_REPLY;
  uint32_t answer_request = 0;

  if (status->answer != NULL)
    {
      kind = MESSAGE_ANSWER;
      reply.kind = SGR_CALL_EVENT_OUTCOME;
      memcpy (&answer_request, status->answer, sizeof answer_request);
    }
  message_send (kind, message->call, message->attempt, reply, answer_request);
}

/* Handles a duplicate of an attempt or key: its call waits for the answer of the run, or gets
   the recorded status. */
static void
duplicate_join (const message_t *message, const sgr_gate_status_t *status, int gate)
{
  run_t *run = status->handle == 0 ? NULL : sgr_gate_handle_user (sim->gates[gate], status->handle);

  sim->duplicates++;
  if (run == NULL)
    {
      if (status->outcome != SGR_OUTCOME_NOT_RUN)
        sim->calls[message->call].was_executed = true;
      status_reply_send (message, status);
      return;
    }
  if (run->executed)
    sim->calls[message->call].was_executed = true;
  if (run->count < RUN_CALLS_MAX)
    {
      run->calls[run->count] = message->call;
      run->attempts[run->count++] = message->attempt;
    }
}

static void
gate_admit (const message_t *message, int index)
{
  const call_t *call = &sim->calls[message->call];
  const request_t *request = &sim->requests[call->request];
  sgr_attempt_t attempt = { .id = attempt_id (message),
                            .gate_boot = call->boots[message->attempt],
                            .deadline_us = call->plan.options.deadline_us,
                            .tenant = "t",
                            .class_name = "",
                            .idempotent = request->idempotent,
                            .has_key = request->keyed,
                            .key = { .low = call->request },
                            .key_generation = request->generation,
                            .fingerprint = { .low = random_chance (2) && call->request > 0 } };
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_OUTCOME };
  sgr_gate_decision_t decision;
  run_t *run = sim->runs;

  while (run->used)
    run++;
  sgr_invariant (run < sim->runs + RUNS_MAX);
  attempt.user = run;
  sgr_gate_attempt_admit (sim->gates[index], sim->now_us, &attempt, &decision);
  if (decision.kind == SGR_GATE_START || decision.kind == SGR_GATE_QUEUED)
    {
      *run = (run_t){ .used = true, .gate = index, .handle = decision.handle, .count = 1 };
      run->calls[0] = message->call;
      run->attempts[0] = message->attempt;
      run->running = decision.kind == SGR_GATE_START;
      return;
    }
  if (decision.kind == SGR_GATE_DUPLICATE)
    {
      duplicate_join (message, &decision.status, index);
      return;
    }
  sim->conflicts += decision.kind == SGR_GATE_CONFLICT;
  event.outcome = decision.outcome;
  event.gate_reason = decision.reason;
  event.retry_after_ms = decision.retry_after_ms;
  event.reason
      = decision.kind == SGR_GATE_CONFLICT ? SGR_CALL_REASON_KEY_CONFLICT : SGR_CALL_REASON_REFUSED;
  message_send (MESSAGE_ANSWER, message->call, message->attempt, event, 0);
}

static void call_event (uint32_t index, sgr_call_event_t event);

static void
call_start_attempt (uint32_t index, uint32_t attempt)
{
  call_t *call = &sim->calls[index];
  const request_t *request = &sim->requests[call->request];
  int gate = request->keyed ? request->gate : (int)sgr_rng_below (&sim->rng, GATE_COUNT);
  sgr_call_event_t event = { .kind = SGR_CALL_EVENT_NO_TARGET, .attempt = attempt };

  if (!random_chance (3))
    {
      call->gates[attempt] = gate;
      /* An entry may learn late that a gate has restarted, and then sends the id of an earlier
         boot. A keyed attempt carries the id of the boot that its key is bound to. */
      call->boots[attempt] = request->keyed ? request->gate_boot : sim->gate_boots[gate];
      event.kind = SGR_CALL_EVENT_PICKED;
      event.target = (sgr_node_id_t)gate + 1;
      call_event (index, event);
      event.kind = SGR_CALL_EVENT_SENT;
    }
  call_event (index, event);
  if (event.kind == SGR_CALL_EVENT_SENT)
    message_send (MESSAGE_CALL, index, attempt, event, 0);
}

static void
call_finish (uint32_t index, const sgr_call_action_t *action)
{
  call_t *call = &sim->calls[index];

  call->open = false;
  sim->outcome_counts[action->outcome]++;
  if (action->outcome != SGR_OUTCOME_NOT_RUN)
    return;
  call->is_reported_not_run = true;
  if (call->was_executed)
    fail_msg ("call %u is reported as not-run but was executed", index);
}

static void
call_event (uint32_t index, sgr_call_event_t event)
{
  call_t *call = &sim->calls[index];
  sgr_call_action_t actions[SGR_CALL_ACTIONS_MAX];
  size_t count;

  if (!call->open)
    return;
  count = sgr_call_plan_event (&call->plan, sim->now_us, &event, actions);
  for (size_t i = 0; i < count; i++)
    {
      uint32_t attempt = actions[i].attempt;

      if (actions[i].kind == SGR_CALL_ACTION_START)
        call_start_attempt (index, attempt);
      else if (actions[i].kind == SGR_CALL_ACTION_FINISH)
        call_finish (index, &actions[i]);
      else
        message_send (actions[i].kind == SGR_CALL_ACTION_QUERY ? MESSAGE_QUERY : MESSAGE_CANCEL,
                      index, attempt, event, 0);
    }
}

static void
message_deliver (const message_t *message)
{
  const call_t *call = &sim->calls[message->call];
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
      sgr_gate_attempt_query (sim->gates[gate], sim->now_us, &id, call->boots[message->attempt],
                              &status);
      status_reply_send (message, &status);
      break;
    case MESSAGE_CANCEL:
      sgr_gate_attempt_cancel (sim->gates[gate], sim->now_us, &id, call->boots[message->attempt],
                               &status);
      status_reply_send (message, &status);
      break;
    case MESSAGE_ANSWER:
    case MESSAGE_REPLY:
      if (call->entry_boot != sim->entry_boots[call->entry])
        break;
      event.attempt = message->attempt;
      if (call->open && event.kind == SGR_CALL_EVENT_OUTCOME
          && event.outcome == SGR_OUTCOME_COMPLETE && message->answer_request != call->request)
        fail_msg ("call %u received the answer of request %u", message->call,
                  message->answer_request);
      call_event (message->call, event);
      break;
    }
}

static void
call_begin (void)
{
  uint32_t index = sim->call_count++;
  call_t *call = &sim->calls[index];
  request_t *request = &sim->requests[index];
  sgr_call_options_t options;
  uint32_t distance = (uint32_t)sgr_rng_below (&sim->rng, 40);

  call->request = index;
  /* Usually chooses one of the last 39 calls and sends its request again if the request has a key.
     If the request was first sent 150 or more calls ago, it is sent again in only 25 % of cases. */
  if (distance > 0 && distance < index && sim->requests[sim->calls[index - distance].request].keyed
      && (sim->calls[index - distance].request + 150 > index || random_chance (25)))
    call->request = sim->calls[index - distance].request;
  else
    {
      *request = (request_t){ .first_call = index,
                              .idempotent = random_chance (30),
                              .keyed = random_chance (50),
                              .gate = (int)sgr_rng_below (&sim->rng, GATE_COUNT) };
      if (request->keyed)
        request->idempotent = false;
      request->gate_boot = sim->gate_boots[request->gate];
      request->generation = sgr_gate_key_generation (sim->gates[request->gate], sim->now_us);
    }
  request = &sim->requests[call->request];
  call->entry = (int)sgr_rng_below (&sim->rng, ENTRY_COUNT);
  call->entry_boot = sim->entry_boots[call->entry];
  call->open = true;
  sgr_call_options_init (&options);
  options.idempotent = request->idempotent;
  options.keyed = request->keyed;
  options.deadline_us = sim->now_us + DEADLINE_US;
  options.hedge_delay_us = 3 * MS;
  options.query_interval_us = 5 * MS;
  options.budget = &sim->budget;
  sgr_call_plan_init (&call->plan, &options);
  call_event (index, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_BEGIN });
}

/* Injects random faults: lost connections, cancelled calls, restarts of gates and of entries. */
static void
faults_inject (void)
{
  uint32_t index = sim->call_count - 1 - (uint32_t)sgr_rng_below (&sim->rng, 20);
  sgr_call_event_t lost = { .kind = SGR_CALL_EVENT_CONNECTION_LOST };

  if (index < sim->call_count && random_chance (20))
    call_event (index, lost);
  if (index < sim->call_count && random_chance (3))
    call_event (index, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_CANCEL });
  if (sgr_rng_below (&sim->rng, 600) == 0)
    gate_restart ((int)sgr_rng_below (&sim->rng, GATE_COUNT));
  if (sgr_rng_below (&sim->rng, 1000) == 0)
    {
      int entry = (int)sgr_rng_below (&sim->rng, ENTRY_COUNT);
      sgr_boot_id_t boot = sim->entry_boots[entry];

      sim->entry_boots[entry] = sim->next_boot++;
      for (uint32_t i = 0; i < sim->call_count; i++)
        if (sim->calls[i].entry == entry && sim->calls[i].entry_boot == boot)
          sim->calls[i].open = false;
      for (int i = 0; i < GATE_COUNT; i++)
        sgr_gate_entry_lost (sim->gates[i], sim->now_us, (sgr_node_id_t)entry + 1, boot);
    }
}

/* Advances the time and handles everything that is due. */
static void
simulation_step (void)
{
  sgr_load_report_t report;

  sim->now_us += sgr_rng_below (&sim->rng, 500);
  if (random_chance (25) && sim->call_count < CALL_COUNT)
    call_begin ();
  if (sim->call_count > 0)
    faults_inject ();
  for (uint32_t i = sim->message_count; i-- > 0;)
    if (sim->messages[i].due_us <= sim->now_us)
      {
        message_t message = sim->messages[i];

        sim->messages[i] = sim->messages[--sim->message_count];
        message_deliver (&message);
      }
  for (int i = 0; i < RUNS_MAX; i++)
    if (sim->runs[i].used && sim->runs[i].running && random_chance (30))
      (sim->runs[i].sent ? run_finish : run_execute) (&sim->runs[i]);
  /* About one call begins per millisecond. So only the last 600 calls can still be open: the
     deadline of each earlier call has passed. */
  for (uint32_t i = sim->call_count > 600 ? sim->call_count - 600 : 0; i < sim->call_count; i++)
    if (sim->calls[i].open && sim->calls[i].plan.timer_us <= sim->now_us)
      call_event (i, (sgr_call_event_t){ .kind = SGR_CALL_EVENT_TIMER });
  for (int i = 0; i < GATE_COUNT; i++)
    {
      sgr_gate_tick (sim->gates[i], sim->now_us);
      sgr_gate_load_report (sim->gates[i], sim->now_us, &report);
      assert_true (report.in_flight <= SLOT_COUNT);
    }
}

static void
simulation_run (uint64_t seed)
{
  sim = calloc (1, sizeof *sim);
  assert_non_null (sim);
  sgr_rng_seed (&sim->rng, seed);
  sim->now_us = 1;
  sim->next_boot = 1;
  sgr_retry_budget_init (&sim->budget, 50);
  for (int i = 0; i < GATE_COUNT; i++)
    gate_restart (i);
  for (int i = 0; i < ENTRY_COUNT; i++)
    sim->entry_boots[i] = sim->next_boot++;
  for (int i = 0; i < 5 * CALL_COUNT; i++)
    simulation_step ();
  for (uint32_t i = 0; i < sim->call_count; i++)
    if (sim->calls[i].open)
      fail_msg ("seed %llu: call %u did not end", (unsigned long long)seed, i);
  assert_int_equal (sim->call_count, CALL_COUNT);
  /* The faults must leave enough calls of each outcome, and cause enough duplicates, for the checks
     to be meaningful. */
  for (int i = 0; i < 3; i++)
    assert_true (sim->outcome_counts[i] > CALL_COUNT / 20);
  assert_true (sim->duplicates > 50 && sim->conflicts > 0);
  printf ("seed %llu: complete %llu, not-run %llu, unknown %llu, duplicates %llu\n",
          (unsigned long long)seed, (unsigned long long)sim->outcome_counts[0],
          (unsigned long long)sim->outcome_counts[1], (unsigned long long)sim->outcome_counts[2],
          (unsigned long long)sim->duplicates);
  for (int i = 0; i < GATE_COUNT; i++)
    sgr_gate_destroy (sim->gates[i]);
  free (sim);
}

/* Guards against a second execution of a non-idempotent request, against a wrong not-run, against
   the answer of another request, against more requests in flight at a target than it has slots, and
   against a call that never ends. SGR_PROPERTY_SEEDS sets the number of seeds. */
static void
test_random_interleavings (void **state)
{
  const char *seeds = getenv ("SGR_PROPERTY_SEEDS");
  uint64_t count = seeds != NULL ? strtoull (seeds, NULL, 10) : 12;

  for (uint64_t seed = 1; seed <= count; seed++)
    simulation_run (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_random_interleavings) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
