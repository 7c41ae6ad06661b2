#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "memory_budget.h"
#include "rng.h"

#define KIB 1024ULL
#define MIB (1024 * KIB)
#define STALL_US 1000000ULL

static unsigned pending_calls;

static void
on_pending (void *ctx)
{
  pending_calls++;
}

/* A holder of the tests; a drop releases all its bytes. */
typedef struct
{
  sgr_memory_holder_t memory;
  unsigned drops;
} owner_t;

static void
on_drop (void *ctx)
{
  owner_t *owner = ctx;

  owner->drops++;
  sgr_memory_budget_release (&owner->memory, owner->memory.bytes);
}

static sgr_memory_budget_t *
budget_create (void)
{
  pending_calls = 0;
  return sgr_memory_budget_create (&(sgr_memory_options_t){ .limit_bytes = 8 * MIB,
                                                            .body_bytes = 6 * MIB,
                                                            .share_bytes = 4 * MIB,
                                                            .stall_us = STALL_US,
                                                            .drops_pending = on_pending });
}

static void
owner_begin (owner_t *owner, sgr_memory_budget_t *budget, uint32_t address, uint64_t now_us)
{
  *owner = (owner_t){ .memory = { .address = address, .may_drop = true, .drop = on_drop } };
  owner->memory.ctx = owner;
  sgr_memory_holder_begin (&owner->memory, budget, now_us);
}

/* Guards against a large body that takes the part of the budget which is left to small requests,
   and against a refusal that counts bytes. */
static void
test_admission (void **state)
{
  sgr_memory_budget_t *budget = budget_create ();
  owner_t owners[4];

  for (uint32_t i = 0; i < 4; i++)
    owner_begin (&owners[i], budget, i + 1, 0);
  assert_int_equal (sgr_memory_budget_admit (&owners[0].memory, 3 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&owners[1].memory, 3 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&owners[2].memory, 1 * MIB, 0), SGR_ERR_LIMIT);
  assert_int_equal (sgr_memory_budget_admit (&owners[2].memory, UINT64_MAX, 0), SGR_ERR_LIMIT);
  assert_int_equal (sgr_memory_budget_used (budget), 6 * MIB);
  assert_int_equal (sgr_memory_budget_admit (&owners[3].memory, 64 * KIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_used (budget), 6 * MIB + 64 * KIB);
  assert_int_equal (pending_calls, 0);
  for (int i = 0; i < 4; i++)
    sgr_memory_holder_end (&owners[i].memory);
  assert_int_equal (sgr_memory_budget_used (budget), 0);
  assert_int_equal (sgr_memory_budget_peak (budget), 6 * MIB + 64 * KIB);
  sgr_memory_budget_destroy (budget);
}

/* Guards against one address that takes the whole budget, and against an address that loses its
   share because another one uses much. */
static void
test_share (void **state)
{
  sgr_memory_budget_t *budget = budget_create ();
  owner_t owners[4];

  for (int i = 0; i < 4; i++)
    owner_begin (&owners[i], budget, i < 3 ? 1 : 2, 0);
  assert_int_equal (sgr_memory_budget_admit (&owners[0].memory, 2 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&owners[1].memory, 2 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&owners[2].memory, 1, 0), SGR_ERR_LIMIT);
  assert_int_equal (sgr_memory_budget_admit (&owners[3].memory, 2 * MIB, 0), SGR_OK);
  /* Bytes that cannot be refused drop a holder of the same address, also before the budget is
     used up: the one with most bytes for longest without progress. */
  sgr_memory_budget_progress (&owners[1].memory, 500);
  sgr_memory_budget_charge (&owners[2].memory, KIB, 1000);
  sgr_memory_budget_drop_run (budget, NULL, NULL);
  assert_int_equal (owners[0].drops, 1);
  assert_int_equal (owners[1].drops + owners[2].drops + owners[3].drops, 0);
  assert_int_equal (sgr_memory_budget_used (budget), 4 * MIB + KIB);
  for (int i = 0; i < 4; i++)
    sgr_memory_holder_end (&owners[i].memory);
  sgr_memory_budget_destroy (budget);
}

/* Guards against a body that is dropped for another one although it makes progress, and against a
   stalled one that keeps others out. */
static void
test_stalled_bodies_make_room (void **state)
{
  sgr_memory_budget_t *budget = budget_create ();
  owner_t slow, active, complete, newer;

  owner_begin (&slow, budget, 1, 0);
  owner_begin (&active, budget, 2, 0);
  owner_begin (&complete, budget, 3, 0);
  owner_begin (&newer, budget, 4, 0);
  assert_int_equal (sgr_memory_budget_admit (&slow.memory, 2 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&active.memory, 2 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&complete.memory, 2 * MIB, 0), SGR_OK);
  complete.memory.may_drop = false;
  assert_int_equal (sgr_memory_budget_admit (&newer.memory, 2 * MIB, STALL_US - 1), SGR_ERR_LIMIT);
  sgr_memory_budget_progress (&active.memory, STALL_US);
  assert_int_equal (sgr_memory_budget_admit (&newer.memory, 2 * MIB, STALL_US), SGR_OK);
  assert_int_equal (pending_calls, 1);
  /* The owner is called later, but its bytes do not count any more. */
  assert_int_equal (slow.drops, 0);
  assert_int_equal (sgr_memory_budget_used (budget), 6 * MIB);
  sgr_memory_budget_drop_run (budget, NULL, NULL);
  assert_int_equal (slow.drops, 1);
  assert_int_equal (active.drops + complete.drops + newer.drops, 0);
  assert_int_equal (sgr_memory_budget_used (budget), 6 * MIB);
  sgr_memory_holder_end (&slow.memory);
  sgr_memory_holder_end (&active.memory);
  sgr_memory_holder_end (&complete.memory);
  sgr_memory_holder_end (&newer.memory);
  sgr_memory_budget_destroy (budget);
}

/* Guards against a drop of a holder that has become complete, or has ended, after it was chosen. */
static void
test_chosen_holder_changes (void **state)
{
  sgr_memory_budget_t *budget = budget_create ();
  owner_t completed, ended, newer;

  owner_begin (&completed, budget, 1, 0);
  owner_begin (&ended, budget, 2, 0);
  owner_begin (&newer, budget, 3, 0);
  assert_int_equal (sgr_memory_budget_admit (&completed.memory, 3 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&ended.memory, 3 * MIB, 0), SGR_OK);
  assert_int_equal (sgr_memory_budget_admit (&newer.memory, 4 * MIB, STALL_US), SGR_OK);
  assert_int_equal (sgr_memory_budget_used (budget), 4 * MIB);
  completed.memory.may_drop = false;
  sgr_memory_holder_end (&ended.memory);
  sgr_memory_holder_end (&ended.memory);
  sgr_memory_budget_drop_run (budget, NULL, NULL);
  assert_int_equal (completed.drops + ended.drops + newer.drops, 0);
  assert_int_equal (sgr_memory_budget_used (budget), 7 * MIB);
  sgr_memory_holder_end (&completed.memory);
  sgr_memory_holder_end (&newer.memory);
  assert_int_equal (sgr_memory_budget_used (budget), 0);
  sgr_memory_budget_destroy (budget);
}

/* Guards against a count that drifts: after random operations, the sum of the budget is that of its
   holders. */
static void
test_random_operations (void **state)
{
  sgr_memory_budget_t *budget = budget_create ();
  owner_t owners[16];
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 3);
  for (uint32_t i = 0; i < 16; i++)
    owner_begin (&owners[i], budget, i % 4, 0);
  for (uint64_t step = 0; step < 20000; step++)
    {
      owner_t *owner = &owners[sgr_rng_next (&rng) % 16];
      uint64_t bytes = sgr_rng_next (&rng) % MIB;
      uint64_t now_us = step * 10000;
      uint64_t sum = 0;

      if (sgr_rng_next (&rng) % 4 == 0)
        sgr_memory_budget_release (&owner->memory, bytes);
      else if (sgr_rng_next (&rng) % 2 == 0)
        sgr_memory_budget_charge (&owner->memory, bytes, now_us);
      else
        sgr_memory_budget_admit (&owner->memory, bytes, now_us);
      sgr_memory_budget_progress (&owner->memory, now_us);
      owner->memory.may_drop = sgr_rng_next (&rng) % 8 != 0;
      sgr_memory_budget_drop_run (budget, NULL, NULL);
      for (int i = 0; i < 16; i++)
        {
          sum += owners[i].memory.bytes;
          if (owners[i].drops > 0)
            {
              owners[i].drops = 0;
              sgr_memory_holder_end (&owners[i].memory);
              owner_begin (&owners[i], budget, (uint32_t)i % 4, now_us);
            }
        }
      assert_int_equal (sgr_memory_budget_used (budget), sum);
    }
  for (int i = 0; i < 16; i++)
    sgr_memory_holder_end (&owners[i].memory);
  assert_int_equal (sgr_memory_budget_used (budget), 0);
  sgr_memory_budget_destroy (budget);
}

/* A holder without a budget admits everything. */
static void
test_no_budget (void **state)
{
  owner_t owner;

  owner_begin (&owner, NULL, 1, 0);
  assert_int_equal (sgr_memory_budget_admit (&owner.memory, UINT64_MAX, 0), SGR_OK);
  sgr_memory_budget_charge (&owner.memory, UINT64_MAX, 0);
  sgr_memory_budget_release (&owner.memory, 1);
  sgr_memory_holder_end (&owner.memory);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_admission),
    cmocka_unit_test (test_share),
    cmocka_unit_test (test_stalled_bodies_make_room),
    cmocka_unit_test (test_chosen_holder_changes),
    cmocka_unit_test (test_random_operations),
    cmocka_unit_test (test_no_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
