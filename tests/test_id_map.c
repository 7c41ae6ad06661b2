#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "id_map.h"
#include "rng.h"

/* Compares the map with an array while ids, some of which collide, are inserted and removed. */

#define IDS 700

static uint64_t
id_of (size_t index)
{
  /* Consecutive ids, multiples of a large power of two, and ids near the maximum. */
  if (index % 3 == 0)
    return index;
  return index % 3 == 1 ? (uint64_t)index << 48 : UINT64_MAX - index;
}

/* Guards against entries that are lost, or still found, after the removal of a colliding id. */
static void
test_random_put_remove (void **state)
{
  sgr_id_map_t *map = sgr_id_map_create ();
  static char values[IDS];
  bool is_present[IDS] = { false };
  size_t count = 0;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 7);
  for (int step = 0; step < 100000; step++)
    {
      size_t index = sgr_rng_next (&rng) % IDS;
      uint64_t id = id_of (index);

      if (sgr_rng_next (&rng) % 2 == 0)
        {
          sgr_id_map_put (map, id, &values[index]);
          count += !is_present[index];
          is_present[index] = true;
        }
      else
        {
          assert_ptr_equal (sgr_id_map_remove (map, id), is_present[index] ? &values[index] : NULL);
          count -= is_present[index];
          is_present[index] = false;
        }
      index = sgr_rng_next (&rng) % IDS;
      assert_ptr_equal (sgr_id_map_get (map, id_of (index)),
                        is_present[index] ? &values[index] : NULL);
      assert_int_equal (sgr_id_map_count (map), count);
    }
  sgr_id_map_destroy (map);
}

/* Guards against an iteration that misses or repeats entries. */
static void
test_iteration (void **state)
{
  sgr_id_map_t *map = sgr_id_map_create ();
  static char values[IDS];
  size_t cursor = 0;
  size_t visited = 0;
  char *value;

  assert_null (sgr_id_map_next (map, &cursor));
  for (size_t i = 0; i < IDS; i++)
    sgr_id_map_put (map, id_of (i), &values[i]);
  cursor = 0;
  while ((value = sgr_id_map_next (map, &cursor)) != NULL)
    {
      assert_int_equal (*value, 0);
      *value = 1;
      visited++;
    }
  assert_int_equal (visited, IDS);
  sgr_id_map_destroy (map);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_random_put_remove), cmocka_unit_test (test_iteration) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
