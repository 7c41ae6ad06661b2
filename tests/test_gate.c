#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gate.h"
#include "timer_heap.h"

/* Boot id of the gate. */
#define GATE_BOOT 77
/* Node id of the entry. */
#define ENTRY_NODE 5
#define MS SGR_USEC_PER_MSEC
#define SEC SGR_USEC_PER_SEC

typedef struct
{
  sgr_gate_t *gate;
  sgr_policy_t policy;
  sgr_gate_options_t options;
  sgr_gate_handle_t started[64];
  int started_count;
  sgr_gate_handle_t refused[64];
  sgr_gate_reason_t refused_reason;
  int refused_count;
} fixture_t;

static void
on_start (void *ctx, sgr_gate_handle_t handle, uint64_t now_us)
{
  fixture_t *f = ctx;

  f->started[f->started_count++ % 64] = handle;
}

static void
on_refuse (void *ctx, sgr_gate_handle_t handle, sgr_gate_reason_t reason, uint64_t now_us)
{
  fixture_t *f = ctx;

  f->refused[f->refused_count++ % 64] = handle;
  f->refused_reason = reason;
}

static void
fixture_open_with_limits (fixture_t *f, uint32_t slots, uint32_t queue_max,
                          sgr_limits_model_t model, const sgr_policy_limit_t *limits,
                          uint32_t limit_count)
{
  static const sgr_gate_callbacks_t callbacks = { .start = on_start, .refuse = on_refuse };

  *f = (fixture_t){ 0 };
  sgr_policy_init (&f->policy, "booking");
  f->policy.queue_max = queue_max;
  f->policy.tenant_limit_count = limit_count;
  for (uint32_t i = 0; i < limit_count; i++)
    f->policy.tenant_limits[i] = limits[i];
  sgr_gate_options_init (&f->options, GATE_BOOT);
  f->options.attempts_max = 2048;
  f->options.keys_max = 64;
  f->options.entry_boots_max = 16;
  f->options.limits_model = model;
  f->gate = sgr_gate_create (&f->options, &f->policy, &callbacks, f);
  assert_non_null (f->gate);
  sgr_gate_target_update (f->gate, 0, SGR_TARGET_SERVING, slots);
}

static void
fixture_open (fixture_t *f, uint32_t slots, uint32_t queue_max)
{
  fixture_open_with_limits (f, slots, queue_max, SGR_LIMITS_TWO_LEVEL, NULL, 0);
}

static sgr_attempt_t
attempt_make (uint64_t sequence)
{
  return (sgr_attempt_t){ .id = { ENTRY_NODE, 1, sequence, 0 },
                          .gate_boot = GATE_BOOT,
                          .deadline_us = 1000 * SEC,
                          .tenant = "t",
                          .class_name = "" };
}

static sgr_attempt_t
keyed_attempt_make (uint64_t sequence, uint64_t key, uint64_t generation)
{
  sgr_attempt_t attempt = attempt_make (sequence);

  attempt.has_key = true;
  attempt.key = (sgr_hash128_t){ .high = 1, .low = key };
  attempt.key_generation = generation;
  attempt.fingerprint = (sgr_hash128_t){ .high = 9, .low = key };
  return attempt;
}

static sgr_gate_decision_t
admit (fixture_t *f, uint64_t now_us, sgr_attempt_t attempt)
{
  sgr_gate_decision_t decision;

  sgr_gate_attempt_admit (f->gate, now_us, &attempt, &decision);
  return decision;
}

static sgr_outcome_t
finish (fixture_t *f, sgr_gate_handle_t handle, uint64_t now_us, sgr_outcome_t outcome,
        const char *answer)
{
  sgr_gate_finish_t end = { .outcome = outcome,
                            .latency_us = 10 * MS,
                            .answer = answer,
                            .answer_length = answer != NULL ? strlen (answer) : 0 };

  return sgr_gate_attempt_finish (f->gate, handle, now_us, &end);
}

static sgr_gate_status_t
query (fixture_t *f, uint64_t now_us, uint64_t sequence)
{
  sgr_attempt_t attempt = attempt_make (sequence);
  sgr_gate_status_t status;

  sgr_gate_attempt_query (f->gate, now_us, &attempt.id, GATE_BOOT, &status);
  return status;
}

/* Guards against a wrong kind of decision, reason or outcome. Each case first admits as many
   attempts as "fill" says. The decision on one more attempt must match "expected", which lists the
   kind (as a number), the reason and the outcome. */
static void
test_refusal_table (void **state)
{
  static const struct
  {
    sgr_target_state_t target;
    uint32_t slots;
    uint32_t queue;
    uint32_t fill;
    sgr_boot_id_t boot;
    uint64_t deadline_us;
    const char *expected;
    bool drain;
  } cases[] = {
    { SGR_TARGET_SERVING, 1, 1, 0, GATE_BOOT, SEC, "0 none not-run", false },
    { SGR_TARGET_WARMING, 1, 1, 0, GATE_BOOT, SEC, "0 none not-run", false },
    { SGR_TARGET_SERVING, 1, 1, 1, GATE_BOOT, SEC, "1 none not-run", false },
    { SGR_TARGET_SERVING, 1, 1, 2, GATE_BOOT, SEC, "2 queue-full not-run", false },
    { SGR_TARGET_SERVING, 1, 0, 1, GATE_BOOT, SEC, "2 queue-full not-run", false },
    { SGR_TARGET_SERVING, 1, 1, 0, GATE_BOOT, SEC, "2 draining not-run", true },
    { SGR_TARGET_DRAINING, 1, 1, 0, GATE_BOOT, SEC, "2 draining not-run", false },
    { SGR_TARGET_LEFT, 1, 1, 0, GATE_BOOT, SEC, "2 draining not-run", false },
    { SGR_TARGET_NONE, 1, 1, 0, GATE_BOOT, SEC, "2 not-ready not-run", false },
    { SGR_TARGET_SERVING, 0, 1, 0, GATE_BOOT, SEC, "2 not-ready not-run", false },
    { SGR_TARGET_SERVING, 1, 1, 0, GATE_BOOT + 1, SEC, "2 wrong-boot unknown", false },
    { SGR_TARGET_SERVING, 1, 1, 0, GATE_BOOT, 1000, "2 deadline not-run", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_attempt_t attempt = attempt_make (100);
      sgr_gate_decision_t decision;
      char actual[64];
      fixture_t f;

      fixture_open (&f, cases[i].slots, cases[i].queue);
      for (uint32_t n = 0; n < cases[i].fill; n++)
        admit (&f, 1000, attempt_make (n));
      if (cases[i].drain)
        sgr_gate_drain_begin (f.gate, 1000);
      sgr_gate_target_update (f.gate, 1000, cases[i].target, cases[i].slots);
      attempt.gate_boot = cases[i].boot;
      attempt.deadline_us = cases[i].deadline_us;
      decision = admit (&f, 1000, attempt);
      snprintf (actual, sizeof actual, "%d %s %s", decision.kind,
                sgr_gate_reason_name (decision.reason), sgr_outcome_name (decision.outcome));
      assert_string_equal (actual, cases[i].expected);
      sgr_gate_destroy (f.gate);
    }
}

/* Guards against running a duplicate of an attempt that was already reported as not-run: the
   attempt was refused, or a query or a cancel for it arrived first. */
static void
test_not_run_is_final (void **state)
{
  sgr_attempt_t attempt = attempt_make (4);
  sgr_gate_status_t status;
  fixture_t f;

  fixture_open (&f, 1, 0);
  admit (&f, 1, attempt_make (1));
  assert_int_equal (admit (&f, 1, attempt_make (2)).reason, SGR_GATE_REASON_QUEUE_FULL);
  assert_int_equal (query (&f, 1, 3).outcome, SGR_OUTCOME_NOT_RUN);
  sgr_gate_attempt_cancel (f.gate, 1, &attempt.id, GATE_BOOT, &status);
  assert_int_equal (status.outcome, SGR_OUTCOME_NOT_RUN);
  finish (&f, query (&f, 1, 1).handle, 2, SGR_OUTCOME_COMPLETE, NULL);
  for (uint64_t sequence = 2; sequence <= 4; sequence++)
    {
      sgr_gate_decision_t decision = admit (&f, 3, attempt_make (sequence));

      assert_int_equal (decision.kind, SGR_GATE_REFUSED);
      assert_int_equal (decision.reason, SGR_GATE_REASON_TOMBSTONE);
      assert_int_equal (decision.outcome, SGR_OUTCOME_NOT_RUN);
    }
  assert_int_equal (admit (&f, 3, attempt_make (5)).kind, SGR_GATE_START);
  sgr_gate_destroy (f.gate);
}

/* Guards against reporting not-run for a request whose first byte was sent, and against sending the
   request of a cancelled attempt. */
static void
test_finish_outcome_table (void **state)
{
  static const struct
  {
    bool started;
    bool declared;
    sgr_outcome_t reported;
    sgr_outcome_t expected;
  } cases[] = {
    { false, false, SGR_OUTCOME_NOT_RUN, SGR_OUTCOME_NOT_RUN },
    { true, false, SGR_OUTCOME_NOT_RUN, SGR_OUTCOME_UNKNOWN },
    { true, true, SGR_OUTCOME_NOT_RUN, SGR_OUTCOME_NOT_RUN },
    { true, false, SGR_OUTCOME_UNKNOWN, SGR_OUTCOME_UNKNOWN },
    { true, false, SGR_OUTCOME_COMPLETE, SGR_OUTCOME_COMPLETE },
  };
  sgr_attempt_t attempt = attempt_make (50);
  sgr_gate_status_t status;
  sgr_gate_handle_t handle;
  fixture_t f;

  fixture_open (&f, 1, 0);
  for (uint64_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_gate_finish_t end
          = { .outcome = cases[i].reported, .declared_not_run = cases[i].declared };

      handle = admit (&f, 1, attempt_make (i)).handle;
      if (cases[i].started)
        assert_true (sgr_gate_attempt_mark_started (f.gate, handle));
      assert_int_equal (sgr_gate_attempt_finish (f.gate, handle, 2, &end), cases[i].expected);
      assert_int_equal (query (&f, 2, i).outcome, cases[i].expected);
      assert_int_equal (sgr_gate_attempt_finish (f.gate, handle, 3, &end), SGR_OUTCOME_UNKNOWN);
      assert_int_equal (query (&f, 3, i).outcome, cases[i].expected);
    }
  handle = admit (&f, 4, attempt).handle;
  sgr_gate_attempt_cancel (f.gate, 4, &attempt.id, GATE_BOOT, &status);
  assert_int_equal (status.phase, SGR_GATE_PHASE_SETTLED);
  assert_int_equal (status.outcome, SGR_OUTCOME_NOT_RUN);
  assert_false (sgr_gate_attempt_mark_started (f.gate, handle));
  assert_int_equal (finish (&f, handle, 5, SGR_OUTCOME_UNKNOWN, NULL), SGR_OUTCOME_NOT_RUN);
  handle = admit (&f, 6, attempt_make (51)).handle;
  assert_true (sgr_gate_attempt_mark_started (f.gate, handle));
  attempt.id.sequence = 51;
  sgr_gate_attempt_cancel (f.gate, 6, &attempt.id, GATE_BOOT, &status);
  assert_int_equal (status.phase, SGR_GATE_PHASE_RUNNING);
  assert_int_equal (finish (&f, handle, 7, SGR_OUTCOME_COMPLETE, NULL), SGR_OUTCOME_COMPLETE);
  sgr_gate_destroy (f.gate);
}

/* Guards against running the request of a key twice, returning a wrong answer for the key, and
   reporting not-run while its request runs. */
static void
test_key_lifecycle (void **state)
{
  sgr_attempt_t other = keyed_attempt_make (3, 7, 0);
  sgr_gate_decision_t decision;
  sgr_gate_handle_t handle;
  sgr_gate_status_t status;
  fixture_t f;

  fixture_open (&f, 4, 4);
  handle = admit (&f, 1, keyed_attempt_make (1, 7, 0)).handle;
  decision = admit (&f, 2, keyed_attempt_make (2, 7, 0));
  assert_int_equal (decision.kind, SGR_GATE_DUPLICATE);
  assert_int_equal (decision.status.phase, SGR_GATE_PHASE_RUNNING);
  assert_true (decision.status.handle == handle);
  other.fingerprint.low++;
  assert_int_equal (admit (&f, 2, other).kind, SGR_GATE_CONFLICT);
  sgr_gate_attempt_mark_started (f.gate, handle);
  assert_int_equal (finish (&f, handle, 3, SGR_OUTCOME_COMPLETE, "receipt"), SGR_OUTCOME_COMPLETE);
  status = query (&f, 4, 2);
  assert_int_equal (status.outcome, SGR_OUTCOME_COMPLETE);
  assert_memory_equal (status.answer, "receipt", 7);
  decision = admit (&f, 5, keyed_attempt_make (4, 7, 0));
  assert_int_equal (decision.kind, SGR_GATE_DUPLICATE);
  assert_int_equal (decision.status.answer_length, 7);
  sgr_gate_key_query (f.gate, 5, other.key, 0, GATE_BOOT, &status);
  assert_int_equal (status.outcome, SGR_OUTCOME_COMPLETE);
  sgr_gate_key_query (f.gate, 5, other.key, 0, GATE_BOOT + 1, &status);
  assert_int_equal (status.outcome, SGR_OUTCOME_UNKNOWN);
  /* A key is unused again if its request did not start. It stays used if the outcome is unknown. */
  handle = admit (&f, 6, keyed_attempt_make (10, 8, 0)).handle;
  admit (&f, 6, keyed_attempt_make (11, 8, 0));
  finish (&f, handle, 7, SGR_OUTCOME_NOT_RUN, NULL);
  assert_int_equal (query (&f, 7, 11).outcome, SGR_OUTCOME_NOT_RUN);
  handle = admit (&f, 8, keyed_attempt_make (12, 8, 0)).handle;
  assert_true (sgr_gate_attempt_mark_started (f.gate, handle));
  finish (&f, handle, 9, SGR_OUTCOME_UNKNOWN, NULL);
  decision = admit (&f, 10, keyed_attempt_make (13, 8, 0));
  assert_int_equal (decision.kind, SGR_GATE_DUPLICATE);
  assert_int_equal (decision.status.outcome, SGR_OUTCOME_UNKNOWN);
  sgr_gate_destroy (f.gate);
}

/* Guards against dropping or cancelling an attempt while another attempt with the same key waits
   for its outcome. */
static void
test_joined_attempt_continues (void **state)
{
  sgr_attempt_t first = keyed_attempt_make (2, 7, 0);
  sgr_attempt_t second = keyed_attempt_make (3, 7, 0);
  sgr_gate_status_t status;
  fixture_t f;

  second.id.node = ENTRY_NODE + 1;
  fixture_open (&f, 1, 4);
  admit (&f, 1, attempt_make (1));
  assert_int_equal (admit (&f, 1, first).kind, SGR_GATE_QUEUED);
  assert_int_equal (admit (&f, 1, second).kind, SGR_GATE_DUPLICATE);
  sgr_gate_entry_lost (f.gate, 2, ENTRY_NODE, 1);
  sgr_gate_attempt_cancel (f.gate, 2, &first.id, GATE_BOOT, &status);
  assert_int_equal (status.phase, SGR_GATE_PHASE_QUEUED);
  assert_int_equal (f.refused_count, 0);
  sgr_gate_attempt_cancel (f.gate, 3, &second.id, GATE_BOOT, &status);
  assert_int_equal (status.outcome, SGR_OUTCOME_UNKNOWN);
  sgr_gate_entry_lost (f.gate, 4, ENTRY_NODE, 1);
  assert_int_equal (f.refused_count, 1);
  assert_int_equal (f.refused_reason, SGR_GATE_REASON_ENTRY_LOST);
  assert_int_equal (query (&f, 5, 2).outcome, SGR_OUTCOME_NOT_RUN);
  sgr_gate_destroy (f.gate);
}

/* Guards against running the request of an expired key again, and against discarding a key before
   its retention ends when the ledger is full. */
static void
test_key_memory_is_bounded (void **state)
{
  uint64_t expired_us;
  fixture_t f;

  fixture_open (&f, 4, 4);
  for (uint64_t key = 0; key < f.options.keys_max; key++)
    {
      sgr_gate_handle_t handle = admit (&f, 1, keyed_attempt_make (key, key, 1)).handle;

      finish (&f, handle, 1, SGR_OUTCOME_COMPLETE, "ok");
    }
  assert_int_equal (admit (&f, 2, keyed_attempt_make (1000, 1000, 1)).reason,
                    SGR_GATE_REASON_LEDGER_FULL);
  assert_int_equal (admit (&f, 2, keyed_attempt_make (1001, 0, 1)).kind, SGR_GATE_DUPLICATE);
  assert_int_equal (admit (&f, 2, attempt_make (1002)).kind, SGR_GATE_START);
  assert_int_equal (admit (&f, 2, keyed_attempt_make (1003, 1003, 9)).reason,
                    SGR_GATE_REASON_KEY_INVALID);
  expired_us = 2 + f.options.key_retention_us;
  sgr_gate_tick (f.gate, expired_us);
  for (uint64_t key = 0; key < 3; key++)
    {
      sgr_gate_decision_t decision
          = admit (&f, expired_us, keyed_attempt_make (2000 + key, key * 1000, 1));

      assert_int_equal (decision.reason, SGR_GATE_REASON_FORGOTTEN);
      assert_int_equal (decision.outcome, SGR_OUTCOME_UNKNOWN);
    }
  assert_int_equal (
      admit (&f, expired_us,
             keyed_attempt_make (3000, 5, sgr_gate_key_generation (f.gate, expired_us)))
          .kind,
      SGR_GATE_START);
  sgr_gate_destroy (f.gate);
}

/* Guards against reporting not-run for an attempt whose record was evicted to make room. */
static void
test_attempt_memory_is_bounded (void **state)
{
  fixture_t f;

  fixture_open (&f, 1, 0);
  for (uint64_t sequence = 0; sequence < 2 * f.options.attempts_max; sequence++)
    {
      sgr_gate_handle_t handle = admit (&f, 1, attempt_make (sequence)).handle;

      assert_true (handle != 0);
      finish (&f, handle, 1, SGR_OUTCOME_COMPLETE, NULL);
    }
  assert_int_equal (query (&f, 2, 0).outcome, SGR_OUTCOME_UNKNOWN);
  assert_int_equal (admit (&f, 2, attempt_make (1)).outcome, SGR_OUTCOME_UNKNOWN);
  assert_int_equal (query (&f, 2, 2 * f.options.attempts_max - 1).outcome, SGR_OUTCOME_COMPLETE);
  assert_int_equal (admit (&f, 2, attempt_make (2 * f.options.attempts_max)).kind, SGR_GATE_START);
  for (uint64_t node = 0; node < 2ULL * f.options.entry_boots_max; node++)
    {
      sgr_attempt_t attempt = attempt_make (1);
      sgr_gate_decision_t decision;

      attempt.id.node = 100 + node;
      decision = admit (&f, 3, attempt);
      if (node + 1 >= f.options.entry_boots_max)
        assert_int_equal (decision.outcome, SGR_OUTCOME_UNKNOWN);
    }
  sgr_gate_destroy (f.gate);
}

/* Guards against starting a queued attempt that cannot finish before its deadline, and against
   keeping it in the queue. */
static void
test_queue_drops_expired_attempts (void **state)
{
  sgr_attempt_t attempt = attempt_make (2);
  sgr_gate_handle_t handle;
  uint64_t next_us;
  fixture_t f;

  fixture_open (&f, 1, 4);
  handle = admit (&f, 1, attempt_make (0)).handle;
  finish (&f, handle, 10 * MS, SGR_OUTCOME_COMPLETE, NULL);
  handle = admit (&f, 11 * MS, attempt_make (1)).handle;
  attempt.deadline_us = 50 * MS;
  assert_int_equal (admit (&f, 12 * MS, attempt).kind, SGR_GATE_QUEUED);
  attempt.id.sequence = 3;
  attempt.deadline_us = 20 * MS;
  assert_int_equal (admit (&f, 12 * MS, attempt).reason, SGR_GATE_REASON_DEADLINE);
  next_us = sgr_gate_tick (f.gate, 13 * MS);
  /* The attempt expires at its deadline of 50 ms less the expected latency of 10 ms. */
  assert_true (next_us == 40 * MS);
  sgr_gate_tick (f.gate, next_us);
  assert_int_equal (f.refused_count, 1);
  assert_int_equal (f.refused_reason, SGR_GATE_REASON_DEADLINE);
  finish (&f, handle, 41 * MS, SGR_OUTCOME_COMPLETE, NULL);
  assert_int_equal (f.started_count, 0);
  sgr_gate_destroy (f.gate);
}

/* Guards against more requests at the target than it has slots, when the number of slots falls and
   when the gate drains. */
static void
test_slots_and_drain (void **state)
{
  static const char *const names[] = { "a", "b", "c", "d", "e", "f", "g", "h" };
  sgr_metrics_t *metrics = sgr_metrics_create ();
  const sgr_counter_t *counter;
  sgr_gate_handle_t handles[4];
  sgr_load_report_t report;
  fixture_t f;

  fixture_open (&f, 4, 8);
  for (uint64_t i = 0; i < 8; i++)
    {
      sgr_attempt_t attempt = attempt_make (i);
      sgr_gate_decision_t decision;

      attempt.tenant = attempt.class_name = names[i];
      decision = admit (&f, 1, attempt);
      assert_int_equal (decision.kind, i < 4 ? SGR_GATE_START : SGR_GATE_QUEUED);
      if (i < 4)
        handles[i] = decision.handle;
    }
  sgr_gate_target_update (f.gate, 2, SGR_TARGET_SERVING, 2);
  finish (&f, handles[0], 3, SGR_OUTCOME_COMPLETE, NULL);
  finish (&f, handles[1], 3, SGR_OUTCOME_COMPLETE, NULL);
  assert_int_equal (f.started_count, 0);
  finish (&f, handles[2], 3, SGR_OUTCOME_COMPLETE, NULL);
  assert_int_equal (f.started_count, 1);
  sgr_gate_drain_begin (f.gate, 4);
  assert_int_equal (f.refused_count, 3);
  assert_int_equal (f.refused_reason, SGR_GATE_REASON_DRAINING);
  assert_int_equal (finish (&f, f.started[0], 5, SGR_OUTCOME_COMPLETE, NULL), SGR_OUTCOME_COMPLETE);
  sgr_gate_load_report (f.gate, 5, &report);
  sgr_gate_metrics_set (f.gate, 5, metrics);
  counter = sgr_metrics_counter (metrics, "siskingrade_gate_refused_total", "reason=\"draining\"");
  assert_int_equal (sgr_counter_get (counter), 3);
  counter = sgr_metrics_counter (metrics, "siskingrade_gate_ledger_attempts", "");
  assert_int_equal (sgr_counter_get (counter), 8);
  sgr_metrics_destroy (metrics);
  assert_int_equal (report.in_flight, 1);
  assert_int_equal (report.queued, 0);
  assert_int_equal (report.state, SGR_TARGET_DRAINING);
  assert_true (report.latency_us > 0);
  sgr_gate_latencies_discard (f.gate);
  sgr_gate_load_report (f.gate, 5, &report);
  assert_int_equal (report.latency_us, 0);
  sgr_gate_destroy (f.gate);
}

/* Guards against a tenant that takes the whole queue or more slots than its limit. */
static void
test_tenants_are_fair (void **state)
{
  static const sgr_limits_model_t models[] = { SGR_LIMITS_TWO_LEVEL, SGR_LIMITS_FLAT };
  /* Slots that the tenant "noisy" gets: its limit in the two-level model, its scaled-down limit in
     the flat model. */
  static const uint32_t noisy_slots[] = { 3, 1 };
  static const sgr_policy_limit_t limits[] = { { "noisy", 3 }, { "quiet", 3 } };

  for (int m = 0; m < 2; m++)
    {
      uint32_t started = 0;
      sgr_attempt_t quiet = attempt_make (500);
      fixture_t f;

      fixture_open_with_limits (&f, 4, 8, models[m], limits, 2);
      for (uint64_t i = 0; i < 100; i++)
        {
          sgr_attempt_t noisy = attempt_make (i);

          noisy.tenant = "noisy";
          started += admit (&f, 1, noisy).kind == SGR_GATE_START;
        }
      assert_int_equal (started, noisy_slots[m]);
      assert_true (sgr_gate_refused_count (f.gate, SGR_GATE_REASON_TENANT_LIMIT) > 0);
      quiet.tenant = "quiet";
      assert_int_equal (admit (&f, 1, quiet).kind, SGR_GATE_START);
      quiet.id.sequence++;
      assert_int_equal (admit (&f, 1, quiet).kind, SGR_GATE_QUEUED);
      sgr_gate_destroy (f.gate);
    }
}

/* Guards against an attempt that waits behind attempts of lower priority. */
static void
test_priority_order (void **state)
{
  static const uint32_t priorities[] = { 2, 1, 3, 0, 2 };
  static const uint64_t order[] = { 3, 1, 0, 4, 2 };
  sgr_gate_handle_t running;
  fixture_t f;

  fixture_open (&f, 1, 16);
  running = admit (&f, 10, attempt_make (100)).handle;
  for (uint64_t i = 0; i < 5; i++)
    {
      sgr_attempt_t attempt = attempt_make (i);

      attempt.priority = priorities[i];
      attempt.class_name = (const char *const[]){ "a", "b", "c", "d", "a" }[i];
      attempt.user = (void *)(uintptr_t)(i + 1);
      assert_int_equal (admit (&f, 10, attempt).kind, SGR_GATE_QUEUED);
    }
  for (size_t i = 0; i < 5; i++)
    {
      finish (&f, running, 20, SGR_OUTCOME_COMPLETE, NULL);
      assert_int_equal (f.started_count, i + 1);
      running = f.started[i];
      assert_int_equal ((uintptr_t)sgr_gate_handle_user (f.gate, running), order[i] + 1);
    }
  sgr_gate_destroy (f.gate);
}

/* Guards against an attempt that takes a slot or keeps its caller waiting although its answer can
   no longer be on time. The gate refuses a queued attempt as late if less than 175 % of the usual
   latency of its class is left until on_time_us. Here the usual latency is 100 ms, so an attempt
   with on_time_us = SEC + 300 ms is late after SEC + 125 ms. */
static void
test_late_attempt_is_refused (void **state)
{
  sgr_gate_finish_t usual = { .outcome = SGR_OUTCOME_COMPLETE, .latency_us = 100000 };
  sgr_gate_handle_t running;
  sgr_attempt_t attempt = attempt_make (1);
  fixture_t f;

  fixture_open (&f, 1, 16);
  running = admit (&f, 10, attempt_make (100)).handle;
  sgr_gate_attempt_mark_started (f.gate, running);
  sgr_gate_attempt_finish (f.gate, running, 20, &usual);
  running = admit (&f, SEC, attempt_make (101)).handle;
  attempt.on_time_us = SEC + 300000;
  assert_int_equal (admit (&f, SEC, attempt).kind, SGR_GATE_QUEUED);
  attempt = attempt_make (2);
  attempt.on_time_us = SEC + 600000;
  assert_int_equal (admit (&f, SEC, attempt).kind, SGR_GATE_QUEUED);
  assert_true (sgr_gate_tick (f.gate, SEC + 1) <= SEC + 200000);
  assert_int_equal (f.refused_count, 0);
  sgr_gate_tick (f.gate, SEC + 200000);
  assert_int_equal (f.refused_count, 1);
  assert_int_equal (f.refused_reason, SGR_GATE_REASON_LATE);
  finish (&f, running, SEC + 300000, SGR_OUTCOME_COMPLETE, NULL);
  assert_int_equal (f.started_count, 1);
  sgr_gate_destroy (f.gate);
}

/* Guards against starting requests while other work on the host slows the target down, and against
   attempts that wait forever because the target no longer reports its load. */
static void
test_slowed_target (void **state)
{
  static const sgr_target_load_t slowed = { .slots = 4, .cost_percent = 500 };
  static const sgr_target_load_t usual = { .slots = 4, .cost_percent = 100 };
  sgr_attempt_t waiting = attempt_make (1);
  sgr_gate_decision_t decision;
  fixture_t f;

  waiting.may_wait = true;
  fixture_open (&f, 4, 16);
  sgr_gate_target_load_set (f.gate, 10, &slowed);
  decision = admit (&f, 20, attempt_make (2));
  assert_int_equal (decision.kind, SGR_GATE_REFUSED);
  assert_int_equal (decision.reason, SGR_GATE_REASON_SLOW);
  assert_int_equal (decision.outcome, SGR_OUTCOME_NOT_RUN);
  assert_int_equal (admit (&f, 20, waiting).kind, SGR_GATE_QUEUED);
  sgr_gate_target_load_set (f.gate, 30, &usual);
  assert_int_equal (f.started_count, 1);
  assert_int_equal (admit (&f, 40, attempt_make (3)).kind, SGR_GATE_START);
  sgr_gate_target_load_set (f.gate, 50, &slowed);
  waiting.id.sequence = 4;
  assert_int_equal (admit (&f, 60, waiting).kind, SGR_GATE_QUEUED);
  assert_true (sgr_gate_tick (f.gate, 70) < SEC);
  sgr_gate_tick (f.gate, SEC);
  assert_int_equal (f.started_count, 2);
  sgr_gate_destroy (f.gate);
}

/* Guards against a target that gets no requests because it has been slow for a long time, for
   example after a cold start. */
static void
test_cold_target (void **state)
{
  static const sgr_target_load_t cold = { .slots = 4, .cost_percent = 300 };
  static const sgr_target_load_t noisy = { .slots = 4, .cost_percent = 1500 };
  uint64_t now_us = SEC;
  fixture_t f;

  fixture_open (&f, 4, 16);
  for (; now_us < 2 * SEC; now_us += 20000)
    sgr_gate_target_load_set (f.gate, now_us, &cold);
  assert_false (sgr_gate_is_slowed (f.gate, now_us));
  sgr_gate_target_load_set (f.gate, now_us, &noisy);
  assert_true (sgr_gate_is_slowed (f.gate, now_us));
  sgr_gate_destroy (f.gate);
}

/* Guards against an attempt beyond its account's quota that runs, also when it is received again.
 */
static void
test_over_quota (void **state)
{
  sgr_attempt_t attempt = attempt_make (1);
  sgr_gate_decision_t decision;
  fixture_t f;

  fixture_open (&f, 4, 4);
  attempt.is_over_quota = true;
  attempt.quota_retry_ms = 70;
  decision = admit (&f, 1, attempt);
  assert_int_equal (decision.kind, SGR_GATE_REFUSED);
  assert_int_equal (decision.reason, SGR_GATE_REASON_QUOTA);
  assert_int_equal (decision.outcome, SGR_OUTCOME_NOT_RUN);
  assert_int_equal (decision.retry_after_ms, 70);
  attempt.is_over_quota = false;
  assert_int_equal (admit (&f, 2, attempt).kind, SGR_GATE_REFUSED);
  sgr_gate_destroy (f.gate);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_over_quota),
                                      cmocka_unit_test (test_refusal_table),
                                      cmocka_unit_test (test_not_run_is_final),
                                      cmocka_unit_test (test_finish_outcome_table),
                                      cmocka_unit_test (test_key_lifecycle),
                                      cmocka_unit_test (test_joined_attempt_continues),
                                      cmocka_unit_test (test_key_memory_is_bounded),
                                      cmocka_unit_test (test_attempt_memory_is_bounded),
                                      cmocka_unit_test (test_queue_drops_expired_attempts),
                                      cmocka_unit_test (test_slots_and_drain),
                                      cmocka_unit_test (test_tenants_are_fair),
                                      cmocka_unit_test (test_priority_order),
                                      cmocka_unit_test (test_late_attempt_is_refused),
                                      cmocka_unit_test (test_slowed_target),
                                      cmocka_unit_test (test_cold_target) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
