#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "balancer.h"
#include "rng.h"

/* Load patterns of a service whose targets are in several failure domains. In the model, requests
   take 20 ms on average, a target runs SLOTS at a time and queues the others, and each entry gets a
   load report of each target every 5 ms. */

#define MS SGR_USEC_PER_MSEC
#define DOMAINS 3
#define TARGETS_PER_DOMAIN_MAX 8
#define ENTRIES_PER_DOMAIN 4
#define SLOTS 8
#define REQUEST_US (20 * MS)
#define REQUEST_BYTES 1024
#define FAR_US_PER_KIB 20000
#define FAR_RTT_US 9000
#define FAR_COST_US (FAR_US_PER_KIB + FAR_RTT_US)
#define REPORT_INTERVAL_US (5 * MS)
#define WARM_UP_US (500 * MS)
#define END_US (5000 * MS)
#define RUNNING_MAX 1024

typedef struct
{
  uint32_t domain;
  uint32_t running;
  uint32_t queued;
} target_t;

typedef struct
{
  uint64_t end_us;
  uint32_t target;
  sgr_balancer_t *entry;
  uint64_t start_us;
} request_t;

/** struct model_t - targets, entries and requests; @to counts the requests by both domains,
 * @late those that waited longer than the way to another domain costs */
typedef struct
{
  sgr_rng_t rng;
  target_t targets[DOMAINS * TARGETS_PER_DOMAIN_MAX];
  uint32_t target_count;
  sgr_balancer_t *entries[DOMAINS * ENTRIES_PER_DOMAIN];
  request_t requests[RUNNING_MAX];
  uint32_t request_count;
  uint32_t to[DOMAINS][DOMAINS];
  uint32_t late;
} model_t;

/** struct pattern_t - targets of each domain, and requests of its callers as a share of all slots
 * that the domain has at full strength (8 targets) */
typedef struct
{
  const char *name;
  uint32_t targets[DOMAINS];
  double load[DOMAINS];
  double far_share_max;
} pattern_t;

static sgr_balancer_target_t
handle_of (const sgr_balancer_t *entry, uint32_t target)
{
  return sgr_balancer_target_find (entry, target + 1);
}

static void
model_start (model_t *model, const pattern_t *pattern)
{
  memset (model, 0, sizeof *model);
  sgr_rng_seed (&model->rng, 7);
  for (uint32_t domain = 0; domain < DOMAINS; domain++)
    for (uint32_t i = 0; i < pattern->targets[domain]; i++)
      model->targets[model->target_count++].domain = domain;
  for (uint32_t e = 0; e < DOMAINS * ENTRIES_PER_DOMAIN; e++)
    {
      sgr_balancer_options_t options
          = { .seed = e, .far_set_seed = e, .eject_percent = 50, .far_us_per_kib = FAR_US_PER_KIB };

      model->entries[e] = sgr_balancer_create (&options);
      for (uint32_t t = 0; t < model->target_count; t++)
        {
          bool is_far = model->targets[t].domain != e / ENTRIES_PER_DOMAIN;
          sgr_balancer_target_info_t info = { .node = t + 1,
                                              .slots = SLOTS,
                                              .is_far = is_far,
                                              .link_rtt_us = is_far ? FAR_RTT_US : 200,
                                              .state = SGR_TARGET_SERVING };
          sgr_balancer_target_t target;

          snprintf (info.failure_domain, sizeof info.failure_domain, "d%u",
                    model->targets[t].domain);
          assert_int_equal (sgr_balancer_target_add (model->entries[e], 0, &info, &target), SGR_OK);
        }
    }
}

static void
reports_send (model_t *model, uint64_t now_us)
{
  for (uint32_t e = 0; e < DOMAINS * ENTRIES_PER_DOMAIN; e++)
    for (uint32_t t = 0; t < model->target_count; t++)
      {
        sgr_load_report_t report = { .in_flight = model->targets[t].running,
                                     .queued = model->targets[t].queued,
                                     .slots = SLOTS,
                                     .latency_us = REQUEST_US,
                                     .state = SGR_TARGET_SERVING };

        sgr_balancer_report_update (model->entries[e], now_us, handle_of (model->entries[e], t),
                                    &report);
      }
}

/* Ends the requests that are due; a queued request takes the place of one that ended. */
static void
requests_end (model_t *model, uint64_t now_us)
{
  for (uint32_t i = 0; i < model->request_count;)
    {
      request_t *request = &model->requests[i];
      target_t *target = &model->targets[request->target];

      if (request->end_us > now_us)
        {
          i++;
          continue;
        }
      sgr_balancer_attempt_finish (request->entry, now_us,
                                   handle_of (request->entry, request->target),
                                   SGR_OUTCOME_COMPLETE, now_us - request->start_us, false, NULL);
      if (target->queued > 0)
        target->queued--;
      else
        target->running--;
      *request = model->requests[--model->request_count];
    }
}

static void
request_send (model_t *model, uint64_t now_us, uint32_t domain)
{
  sgr_balancer_t *entry = model->entries[domain * ENTRIES_PER_DOMAIN
                                         + sgr_rng_below (&model->rng, ENTRIES_PER_DOMAIN)];
  sgr_balancer_target_t handle = sgr_balancer_pick_sized (entry, now_us, NULL, 0, REQUEST_BYTES);
  uint32_t index = (uint32_t)sgr_balancer_target_info (entry, handle)->node - 1;
  target_t *target = &model->targets[index];
  uint64_t wait_us = 0;

  assert_true (model->request_count < RUNNING_MAX);
  if (target->running < SLOTS)
    target->running++;
  else
    wait_us = ++target->queued * REQUEST_US / SLOTS;
  if (now_us >= WARM_UP_US)
    {
      model->to[domain][target->domain]++;
      model->late += wait_us > FAR_COST_US;
    }
  sgr_balancer_attempt_start (entry, now_us, handle);
  model->requests[model->request_count++]
      = (request_t){ .end_us
                     = now_us + wait_us + REQUEST_US / 2 + sgr_rng_below (&model->rng, REQUEST_US),
                     .target = index,
                     .entry = entry,
                     .start_us = now_us };
}

static void
model_run (model_t *model, const pattern_t *pattern)
{
  for (uint64_t now_us = 0; now_us < END_US; now_us += MS / 4)
    {
      if (now_us % REPORT_INTERVAL_US == 0)
        reports_send (model, now_us);
      requests_end (model, now_us);
      for (uint32_t domain = 0; domain < DOMAINS; domain++)
        {
          double slots = pattern->load[domain] * TARGETS_PER_DOMAIN_MAX * SLOTS;
          double arrivals = slots * MS / 4 / REQUEST_US;

          if (sgr_rng_uniform (&model->rng) < arrivals)
            request_send (model, now_us, domain);
        }
    }
}

static uint32_t
sent_count (const model_t *model, uint32_t domain)
{
  uint32_t count = 0;

  for (uint32_t to = 0; to < DOMAINS; to++)
    count += model->to[domain][to];
  return count;
}

/* Guards against calls that leave their failure domain although a target there has room, and
   against calls that wait there although other domains have room. */
static void
test_calls_stay_in_their_domain (void **state)
{
  static const pattern_t patterns[] = {
    { "equal domains at half load", { 8, 8, 8 }, { 0.5, 0.5, 0.5 }, 0.02 },
    { "one domain has most of the traffic", { 8, 8, 8 }, { 1.2, 0.3, 0.3 }, 0.45 },
    { "one domain lost a third of its targets", { 5, 8, 8 }, { 0.6, 0.5, 0.5 }, 0.25 },
    { "callers moved to another domain", { 8, 8, 8 }, { 0.2, 1.0, 0.2 }, 0.35 },
    { "one target in each domain", { 1, 1, 1 }, { 0.07, 0.05, 0.05 }, 0.35 },
  };

  for (size_t i = 0; i < sizeof patterns / sizeof patterns[0]; i++)
    {
      const pattern_t *pattern = &patterns[i];
      uint32_t far_count = 0, total = 0;
      model_t model;

      model_start (&model, pattern);
      model_run (&model, pattern);
      for (uint32_t domain = 0; domain < DOMAINS; domain++)
        {
          uint32_t sent = sent_count (&model, domain);
          uint32_t far_sent = sent - model.to[domain][domain];

          if ((double)far_sent > pattern->far_share_max * sent)
            fail_msg ("%s: domain %u sent %u of %u requests to other domains", pattern->name,
                      domain, far_sent, sent);
          far_count += far_sent;
          total += sent;
        }
      if ((double)model.late > 0.02 * total)
        fail_msg ("%s: %u of %u requests waited too long", pattern->name, model.late, total);
      /* The busiest domain spreads its excess over the others. */
      for (uint32_t to = 0; far_count > 500 && to < DOMAINS; to++)
        for (uint32_t domain = 0; domain < DOMAINS; domain++)
          {
            uint32_t far_sent = sent_count (&model, domain) - model.to[domain][domain];

            if (domain != to && far_sent > 500 && model.to[domain][to] * 5 < far_sent)
              fail_msg ("%s: domain %u got %u of %u requests that left domain %u", pattern->name,
                        to, model.to[domain][to], far_sent, domain);
          }
      for (uint32_t e = 0; e < DOMAINS * ENTRIES_PER_DOMAIN; e++)
        sgr_balancer_destroy (model.entries[e]);
    }
}

#define LARGE_TARGETS 140
#define LARGE_DOMAINS 6
#define LARGE_ENTRIES 300

/* A balancer of an entry in domain 0 of a large deployment whose near targets are all full. */
static sgr_balancer_t *
large_balancer_create (uint64_t entry, uint32_t near_load)
{
  sgr_balancer_options_t options
      = { .seed = entry, .far_set_seed = entry, .far_us_per_kib = FAR_US_PER_KIB };
  sgr_balancer_t *b = sgr_balancer_create (&options);

  for (uint32_t t = 0; t < LARGE_TARGETS; t++)
    {
      bool is_far = t % LARGE_DOMAINS != 0;
      sgr_balancer_target_info_t info = { .node = t + 1,
                                          .slots = SLOTS,
                                          .is_far = is_far,
                                          .link_rtt_us = is_far ? FAR_RTT_US : 200,
                                          .state = SGR_TARGET_SERVING };
      sgr_load_report_t report = { .in_flight = is_far ? 0 : near_load,
                                   .slots = SLOTS,
                                   .latency_us = REQUEST_US,
                                   .state = SGR_TARGET_SERVING };
      sgr_balancer_target_t target;

      assert_int_equal (sgr_balancer_target_add (b, 0, &info, &target), SGR_OK);
      sgr_balancer_report_update (b, MS, target, &report);
    }
  return b;
}

/* Guards against an entry that keeps connections to all targets of a large deployment, and against
   an uneven choice of far targets by many entries. */
static void
test_far_targets_are_few_and_even (void **state)
{
  uint32_t entries_of_target[LARGE_TARGETS] = { 0 };
  uint32_t used_max = 0;

  for (uint64_t entry = 0; entry < LARGE_ENTRIES; entry++)
    {
      sgr_balancer_t *b = large_balancer_create (entry, 4 * SLOTS);
      bool is_used[LARGE_TARGETS] = { false };
      uint32_t used = 0;

      for (int i = 0; i < 500; i++)
        {
          sgr_balancer_target_t target = sgr_balancer_pick_sized (b, 2 * MS, NULL, 0, 100);
          uint32_t index = (uint32_t)sgr_balancer_target_info (b, target)->node - 1;

          assert_true (index % LARGE_DOMAINS != 0);
          used += !is_used[index];
          is_used[index] = true;
        }
      for (uint32_t t = 0; t < LARGE_TARGETS; t++)
        entries_of_target[t] += is_used[t];
      if (used > used_max)
        used_max = used;
      sgr_balancer_destroy (b);
    }
  assert_in_range (used_max, 2, 8);
  for (uint32_t t = 0; t < LARGE_TARGETS; t++)
    if (t % LARGE_DOMAINS != 0)
      assert_in_range (entries_of_target[t], 1, 3 * LARGE_ENTRIES * used_max / LARGE_TARGETS);
}

/* Guards against a far target that is chosen in a large deployment, where most of the targets are
   far, while the near ones have room. */
static void
test_most_targets_are_far (void **state)
{
  sgr_balancer_t *b = large_balancer_create (1, SLOTS / 2);

  for (int i = 0; i < 200; i++)
    {
      sgr_balancer_target_t target = sgr_balancer_pick_sized (b, 2 * MS, NULL, 0, REQUEST_BYTES);

      assert_false (sgr_balancer_target_info (b, target)->is_far);
    }
  sgr_balancer_destroy (b);
}

/* Load pattern: downloads of a service with one target in each domain, which is slowed for moments.
   Guards against large answers that cross domains because the near target refuses a request that
   could wait for the end of the slowdown, and against waiting where another near target is left. */
static void
test_large_answers_wait_nearby (void **state)
{
  static const struct
  {
    uint64_t bytes;
    uint32_t near_count;
    uint32_t chosen;
    bool is_other_tried;
    bool should_wait;
  } cases[] = {
    { 64 * 1024, 1, 0, false, true },  { 512, 1, 0, false, false },
    { 64 * 1024, 2, 0, false, false }, { 64 * 1024, 2, 0, true, true },
    { 64 * 1024, 1, 1, false, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_balancer_options_t options = { .seed = 1, .far_us_per_kib = FAR_US_PER_KIB };
      sgr_balancer_t *b = sgr_balancer_create (&options);
      sgr_balancer_target_t targets[3];

      for (uint32_t t = 0; t < 3; t++)
        {
          sgr_balancer_target_info_t info = { .node = t + 1,
                                              .slots = SLOTS,
                                              .is_far = t >= cases[i].near_count,
                                              .state = SGR_TARGET_SERVING };

          sgr_balancer_target_add (b, 0, &info, &targets[t]);
        }
      assert_int_equal (sgr_balancer_should_wait (b, targets[cases[i].chosen], &targets[1],
                                                  cases[i].is_other_tried ? 1 : 0, cases[i].bytes),
                        cases[i].should_wait);
      sgr_balancer_destroy (b);
    }
}

#define REGION_TARGETS 39
#define REGION_DOMAINS 6
#define REGION_RTT_US 1000
#define REMOTE_RTT_US 60000
/* Domains 0 and 1 are one region, 2 and 3, 4 and 5 the others. */
#define REGION_OF(domain) ((domain) / 2)

/** struct region_load_t - requests in flight at each target by its distance from domain 0 */
typedef struct
{
  uint32_t near_load;
  uint32_t region_load;
  uint32_t remote_load;
} region_load_t;

static sgr_balancer_t *
region_balancer_create (uint64_t entry, const region_load_t *loads)
{
  sgr_balancer_options_t options = { .seed = entry,
                                     .far_set_seed = entry,
                                     .far_us_per_kib = FAR_US_PER_KIB,
                                     .remote_us_per_kib = FAR_US_PER_KIB };
  sgr_balancer_t *b = sgr_balancer_create (&options);

  for (uint32_t t = 0; t < REGION_TARGETS; t++)
    {
      uint32_t domain = t % REGION_DOMAINS;
      bool is_remote = REGION_OF (domain) != 0;
      sgr_balancer_target_info_t info = { .node = t + 1,
                                          .slots = SLOTS,
                                          .is_far = domain != 0,
                                          .is_remote = is_remote,
                                          .state = SGR_TARGET_SERVING };
      sgr_load_report_t report
          = { .slots = SLOTS, .latency_us = REQUEST_US, .state = SGR_TARGET_SERVING };
      sgr_balancer_target_t target;

      info.link_rtt_us = is_remote ? REMOTE_RTT_US : info.is_far ? REGION_RTT_US : 200;
      report.in_flight = is_remote     ? loads->remote_load
                         : info.is_far ? loads->region_load
                                       : loads->near_load;
      assert_int_equal (sgr_balancer_target_add (b, 0, &info, &target), SGR_OK);
      sgr_balancer_report_update (b, MS, target, &report);
    }
  return b;
}

/* Load pattern: three regions of two domains each, and demand that exceeds the room of the own
   domain, or of the own region. Guards against calls that go to another region while the own one
   has room, against calls that wait in a full region while others have room, and against a spill
   that uses few targets of the other regions over all entries. */
static void
test_calls_spill_by_distance (void **state)
{
  static const struct
  {
    region_load_t loads;
    bool is_far;
    bool is_remote;
  } cases[] = {
    { { SLOTS / 2, 0, 0 }, false, false },
    { { 4 * SLOTS, SLOTS / 2, 0 }, true, false },
    { { 4 * SLOTS, 4 * SLOTS, SLOTS / 2 }, true, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint32_t chosen[REGION_TARGETS] = { 0 };
      uint32_t used = 0;

      for (uint64_t entry = 0; entry < 65; entry++)
        {
          sgr_balancer_t *b = region_balancer_create (entry, &cases[i].loads);

          for (int pick = 0; pick < 20; pick++)
            {
              sgr_balancer_target_t target
                  = sgr_balancer_pick_sized (b, 2 * MS, NULL, 0, REQUEST_BYTES);
              const sgr_balancer_target_info_t *info = sgr_balancer_target_info (b, target);

              assert_int_equal (info->is_far, cases[i].is_far);
              assert_int_equal (info->is_remote, cases[i].is_remote);
              chosen[info->node - 1]++;
            }
          sgr_balancer_destroy (b);
        }
      for (uint32_t t = 0; t < REGION_TARGETS; t++)
        used += chosen[t] > 0;
      assert_true (used >= (cases[i].is_remote ? 20 : 6));
    }
}

/* Load pattern: a wave of demand that fills the own domain of a fleet of three regions. Guards
   against calls that leave their domain or region although they would be on time there, and against
   calls that stay and are late. */
static void
test_only_late_calls_spill (void **state)
{
  static const struct
  {
    uint64_t on_time_left_us;
    region_load_t loads;
    bool is_far;
    bool is_remote;
  } cases[] = {
    { 10 * REQUEST_US, { 2 * SLOTS, 0, 0 }, false, false },
    { 3 * REQUEST_US, { 2 * SLOTS, 0, 0 }, true, false },
    { 10 * REQUEST_US, { 8 * SLOTS, 2 * SLOTS, 0 }, true, false },
    { 10 * REQUEST_US, { 8 * SLOTS, 8 * SLOTS, 0 }, true, true },
    { 0, { 2 * SLOTS, 0, 0 }, true, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_balancer_t *b = region_balancer_create (1, &cases[i].loads);
      sgr_balancer_call_t call
          = { .bytes = REQUEST_BYTES, .on_time_left_us = cases[i].on_time_left_us };
      sgr_balancer_options_t options = { .seed = 1,
                                         .far_set_seed = 1,
                                         .far_us_per_kib = FAR_US_PER_KIB,
                                         .remote_us_per_kib = FAR_US_PER_KIB,
                                         .is_spill_late_only = true };

      assert_int_equal (sgr_balancer_options_set (b, &options), SGR_OK);
      for (int pick = 0; pick < 20; pick++)
        {
          sgr_balancer_target_t target = sgr_balancer_pick_for_call (b, 2 * MS, NULL, 0, &call);
          const sgr_balancer_target_info_t *info = sgr_balancer_target_info (b, target);

          if (info->is_far != cases[i].is_far || info->is_remote != cases[i].is_remote)
            fail_msg ("case %zu: far %d, remote %d", i, info->is_far, info->is_remote);
        }
      sgr_balancer_destroy (b);
    }
}

/* Load pattern: a small account whose calls arrive at all entries of a domain. Guards against calls
   that are spread over many gates, which leaves most of them without a token of the account, and
   against calls that stay at a gate that is far slower than others. */
static void
test_account_keeps_to_few_targets (void **state)
{
  sgr_balancer_call_t call = { .affinity_seed = 42, .affinity_count = 2 };
  sgr_node_id_t preferred[2] = { 0, 0 };

  for (uint64_t entry = 0; entry < 20; entry++)
    {
      sgr_balancer_t *b = large_balancer_create (entry, SLOTS / 2);

      for (int pick = 0; pick < 20; pick++)
        {
          sgr_balancer_target_t target = sgr_balancer_pick_for_call (b, 2 * MS, NULL, 0, &call);
          sgr_node_id_t node = sgr_balancer_target_info (b, target)->node;

          if (preferred[0] == 0)
            preferred[0] = node;
          else if (node != preferred[0] && preferred[1] == 0)
            preferred[1] = node;
          assert_true (node == preferred[0] || node == preferred[1]);
        }
      for (int i = 0; i < 2 && entry == 19; i++)
        {
          sgr_load_report_t report = { .in_flight = 4 * SLOTS,
                                       .slots = SLOTS,
                                       .latency_us = 10 * REQUEST_US,
                                       .state = SGR_TARGET_SERVING };

          sgr_balancer_report_update (b, 2 * MS, sgr_balancer_target_find (b, preferred[i]),
                                      &report);
        }
      if (entry == 19)
        {
          sgr_balancer_target_t target = sgr_balancer_pick_for_call (b, 3 * MS, NULL, 0, &call);
          sgr_node_id_t node = sgr_balancer_target_info (b, target)->node;

          assert_true (node != preferred[0] && node != preferred[1]);
        }
      sgr_balancer_destroy (b);
    }
}

/* Guards against measured round-trip times that have no effect on the choice. */
static void
test_measured_delay (void **state)
{
  static const region_load_t loads = { 4 * SLOTS, 0, 0 };
  sgr_balancer_t *b = region_balancer_create (1, &loads);
  sgr_balancer_target_t target;

  for (uint32_t t = 1; t < REGION_TARGETS; t += REGION_DOMAINS)
    sgr_balancer_link_rtt_set (b, handle_of (b, t), 5 * REQUEST_US);
  target = sgr_balancer_pick_sized (b, 2 * MS, NULL, 0, 0);
  assert_true (sgr_balancer_target_info (b, target)->is_remote);
  sgr_balancer_link_rtt_set (b, SGR_BALANCER_TARGET_NONE, 1);
  assert_int_equal (sgr_balancer_event_count (b, SGR_BALANCER_STALE_HANDLE), 1);
  sgr_balancer_destroy (b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_calls_stay_in_their_domain),
                                      cmocka_unit_test (test_calls_spill_by_distance),
                                      cmocka_unit_test (test_only_late_calls_spill),
                                      cmocka_unit_test (test_account_keeps_to_few_targets),
                                      cmocka_unit_test (test_measured_delay),
                                      cmocka_unit_test (test_far_targets_are_few_and_even),
                                      cmocka_unit_test (test_most_targets_are_far),
                                      cmocka_unit_test (test_large_answers_wait_nearby) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
