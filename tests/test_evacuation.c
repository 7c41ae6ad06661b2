#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "evacuation.h"

/* Builds a set of domains, which are separated by one space in @names. */
static sgr_evacuation_t
set_of (uint64_t generation, uint64_t number, const char *names)
{
  sgr_evacuation_t set = { .version = { generation, number }, .checked = { generation, number } };

  while (*names != '\0')
    {
      size_t length = strcspn (names, " ");

      assert_int_equal (sgr_evacuation_domain_add (&set, names, length), SGR_OK);
      names += length + (names[length] == ' ');
    }
  return set;
}

static void
set_check (const sgr_evacuation_t *set, uint64_t generation, uint64_t number, const char *names)
{
  sgr_evacuation_t expected = set_of (generation, number, names);

  assert_int_equal (set->version.generation, generation);
  assert_int_equal (set->version.number, number);
  assert_int_equal (set->count, expected.count);
  for (size_t i = 0; i < set->count; i++)
    assert_string_equal (set->domains[i], expected.domains[i]);
}

typedef enum
{
  READ = 1,
  RECEIVED,
} source_t;

typedef struct
{
  const char *name;
  struct
  {
    source_t source;
    uint64_t generation, number;
    const char *domains;
    sgr_evacuation_effect_t effect;
  } steps[4];
  uint64_t generation, number;
  const char *domains;
} merge_case_t;

static const merge_case_t cases[] = {
  { "a read without evacuations makes no version, so that datagrams stay as they are",
    { { READ, 1, 9, "", SGR_EVACUATION_SAME } },
    0,
    0,
    "" },
  { "a change has the version of the store, later reads keep it",
    { { READ, 1, 10, "a", SGR_EVACUATION_CHANGED }, { READ, 1, 30, "a", SGR_EVACUATION_SAME } },
    1,
    10,
    "a" },
  { "the higher version wins, whatever the order of arrival",
    { { RECEIVED, 1, 12, "a b", SGR_EVACUATION_CHANGED },
      { RECEIVED, 1, 10, "a", SGR_EVACUATION_SAME },
      { RECEIVED, 1, 15, "", SGR_EVACUATION_CHANGED } },
    1,
    15,
    "" },
  { "a late reply of the store does not replace a set that is newer",
    { { RECEIVED, 1, 15, "a", SGR_EVACUATION_CHANGED }, { READ, 1, 12, "", SGR_EVACUATION_SAME } },
    1,
    15,
    "a" },
  { "a set that ended before the last read does not return",
    { { READ, 1, 20, "", SGR_EVACUATION_SAME },
      { RECEIVED, 1, 10, "a", SGR_EVACUATION_RENEWED },
      { RECEIVED, 1, 10, "a", SGR_EVACUATION_SAME } },
    1,
    20,
    "" },
  { "the end of an evacuation that was read already changes nothing",
    { { READ, 1, 20, "", SGR_EVACUATION_SAME }, { RECEIVED, 1, 15, "", SGR_EVACUATION_SAME } },
    0,
    0,
    "" },
  { "a restored store has lower numbers, and its set is in force",
    { { READ, 1, 40, "a", SGR_EVACUATION_CHANGED },
      { READ, 2, 9, "", SGR_EVACUATION_CHANGED },
      { RECEIVED, 1, 45, "a b", SGR_EVACUATION_SAME } },
    2,
    9,
    "" },
  { "a restored store with the same set, then a change with a number that was given out before",
    { { READ, 1, 40, "a", SGR_EVACUATION_CHANGED },
      { READ, 2, 9, "a", SGR_EVACUATION_SAME },
      { READ, 2, 10, "a b", SGR_EVACUATION_CHANGED } },
    2,
    10,
    "a b" },
};

/* Guards against an evacuation that ends or returns by an outdated read or message. */
static void
test_merge (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_evacuation_t set = { 0 };

      for (size_t j = 0; j < 4 && cases[i].steps[j].source != 0; j++)
        {
          sgr_evacuation_t other = set_of (cases[i].steps[j].generation, cases[i].steps[j].number,
                                           cases[i].steps[j].domains);
          sgr_evacuation_effect_t effect = cases[i].steps[j].source == READ
                                               ? sgr_evacuation_read_apply (&set, &other)
                                               : sgr_evacuation_merge (&set, &other);

          if (effect != cases[i].steps[j].effect)
            fail_msg ("%s: step %zu: effect %d", cases[i].name, j, effect);
        }
      set_check (&set, cases[i].generation, cases[i].number, cases[i].domains);
    }
}

/* Guards against nodes that keep different sets after they exchanged them: any order of the same
   reads and messages ends with the same domains. */
static void
test_two_nodes_agree (void **state)
{
  static const char *const names[] = { "", "a", "b", "a b" };

  for (unsigned seed = 0; seed < 4 * 4 * 8; seed++)
    {
      sgr_evacuation_t sets[2] = { { { 0 } } };

      for (unsigned i = 0; i < 2; i++)
        {
          sgr_evacuation_t read = set_of (1 + (seed >> (4 + i) & 1), 10 + (seed >> 6 & 1) * i,
                                          names[seed >> (2 * i) & 3]);

          /* Two reads of one version have the same set. */
          if (i == 1 && !sgr_store_version_is_newer (read.version, sets[0].checked)
              && !sgr_store_version_is_newer (sets[0].checked, read.version))
            read = sets[0];
          sgr_evacuation_read_apply (&sets[i], &read);
        }
      for (int round = 0; round < 3; round++)
        for (int i = 0; i < 2; i++)
          if (sgr_evacuation_exists (&sets[1 - i]))
            sgr_evacuation_merge (&sets[i], &sets[1 - i]);
      assert_int_equal (sets[0].count, sets[1].count);
      for (size_t i = 0; i < sets[0].count; i++)
        assert_string_equal (sets[0].domains[i], sets[1].domains[i]);
    }
}

/* Guards against names that a datagram cannot carry, and against a set that does not fit into it.
 */
static void
test_limits (void **state)
{
  char name[SGR_NAME_MAX + 2];
  sgr_evacuation_t set = { 0 };

  memset (name, 'n', sizeof name);
  assert_int_equal (sgr_evacuation_domain_add (&set, name, SGR_NAME_MAX + 1), SGR_ERR_INVALID);
  assert_int_equal (sgr_evacuation_domain_add (&set, "", 0), SGR_ERR_INVALID);
  assert_int_equal (sgr_evacuation_domain_add (&set, "a b", 3), SGR_ERR_INVALID);
  for (int i = 0; i < SGR_EVACUATION_DOMAINS_MAX; i++)
    {
      snprintf (name, sizeof name, "zone-%d", i);
      assert_int_equal (sgr_evacuation_domain_add (&set, name, strlen (name)), SGR_OK);
    }
  assert_int_equal (sgr_evacuation_domain_add (&set, "zone-3", 6), SGR_OK);
  assert_int_equal (sgr_evacuation_domain_add (&set, "other", 5), SGR_ERR_LIMIT);
  assert_int_equal (set.count, SGR_EVACUATION_DOMAINS_MAX);
  assert_true (sgr_evacuation_has (&set, "zone-15"));
  assert_false (sgr_evacuation_has (&set, "zone-1x"));
  assert_false (sgr_evacuation_has (&set, "other"));
  set = (sgr_evacuation_t){ 0 };
  memset (name, 'n', sizeof name);
  for (int i = 0; i < 7; i++)
    {
      name[0] = (char)('a' + i);
      assert_int_equal (sgr_evacuation_domain_add (&set, name, SGR_NAME_MAX), SGR_OK);
    }
  name[0] = 'z';
  assert_int_equal (sgr_evacuation_domain_add (&set, name, SGR_NAME_MAX), SGR_ERR_LIMIT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_merge),
    cmocka_unit_test (test_two_nodes_agree),
    cmocka_unit_test (test_limits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
