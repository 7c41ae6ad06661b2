#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_cache.h"
#include "config_list.h"

/* Splitting of a JSON text at a list, and the cache of what was made of its elements. */

#define ELEMENTS_MAX 4

typedef struct
{
  const char *text;
  const char *envelope; /* NULL for a text that cannot be split */
  const char *elements[ELEMENTS_MAX];
} split_case_t;

static const split_case_t cases[] = {
  { "{\"list\":[1,\"two\",{\"three\":[3]}],\"x\":1}",
    "{\"list\":[],\"x\":1}",
    { "1", "\"two\"", "{\"three\":[3]}" } },
  { "{\"list\":[]}", "{\"list\":[]}", { NULL } },
  { " { \"a\" : [ 1 , { } ] , \"list\" : [ \n 1 \t, 2 ] } ",
    " { \"a\" : [ 1 , { } ] , \"list\" : [] } ",
    { "1", "2" } },
  /* Brackets, commas and quotes within strings, and the key as a value or deeper. */
  { "{\"list\":[\"],\",\"\\\"]\",\"\\\\\"]}",
    "{\"list\":[]}",
    { "\"],\"", "\"\\\"]\"", "\"\\\\\"" } },
  { "{\"a\":\"list\",\"b\":{\"list\":[1]},\"list\":[2]}",
    "{\"a\":\"list\",\"b\":{\"list\":[1]},\"list\":[]}",
    { "2" } },
  /* Elements that are not JSON are left to the parser. */
  { "{\"list\":[1,]}", "{\"list\":[]}", { "1", "" } },
  { "{\"list\":[,1]}", "{\"list\":[]}", { "", "1" } },
  { "{\"list\":[{\"a\"]}]}", NULL, { NULL } },
  { "", NULL, { NULL } },
  { "[1]", NULL, { NULL } },
  { "{", NULL, { NULL } },
  { "{}", NULL, { NULL } },
  { "{\"list\"", NULL, { NULL } },
  { "{\"list\":", NULL, { NULL } },
  { "{\"list\":1}", NULL, { NULL } },
  { "{\"list\":[1,2", NULL, { NULL } },
  { "{\"list\":[1}", NULL, { NULL } },
  { "{\"list\":[\"a\\", NULL, { NULL } },
  { "{\"lists\":[1]}", NULL, { NULL } },
};

/* Guards against an element that is cut or joined at a bracket, comma or quote within a string, and
   against a read beyond the end of a text that is cut short. */
static void
test_split (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const split_case_t *c = &cases[i];
      size_t length = strlen (c->text), count = 0;
      /* A copy without a terminating zero, so that the sanitizers see a read beyond its end. */
      char *text = memcpy (malloc (length + (length == 0)), c->text, length);
      sgr_config_list_t list;
      bool is_split = sgr_config_list_split (&list, text, length, "list");

      if (is_split != (c->envelope != NULL))
        fail_msg ("%s: split %d", c->text, is_split);
      if (is_split)
        {
          sgr_buffer_append (&list.envelope, "", 1);
          assert_string_equal ((const char *)list.envelope.bytes, c->envelope);
          while (count < ELEMENTS_MAX && c->elements[count] != NULL)
            count++;
          assert_int_equal (list.count, count);
          for (size_t j = 0; j < count; j++)
            if (list.elements[j].length != strlen (c->elements[j])
                || memcmp (list.elements[j].text, c->elements[j], list.elements[j].length) != 0)
              fail_msg ("%s: element %zu is %.*s", c->text, j, (int)list.elements[j].length,
                        list.elements[j].text);
        }
      sgr_config_list_release (&list);
      free (text);
    }
}

/* Guards against a list whose array of elements is too small. */
static void
test_many_elements (void **state)
{
  sgr_buffer_t text = { 0 };
  sgr_config_list_t list;

  sgr_buffer_printf (&text, "{\"list\":[0");
  for (int i = 1; i < 1000; i++)
    sgr_buffer_printf (&text, ",%d", i);
  sgr_buffer_printf (&text, "]}");
  assert_true (sgr_config_list_split (&list, (const char *)text.bytes, text.length, "list"));
  assert_int_equal (list.count, 1000);
  for (int i = 0; i < 1000; i++)
    assert_int_equal (atoi (list.elements[i].text), i);
  sgr_config_list_release (&list);
  sgr_buffer_release (&text);
}

/* Guards against a cache that grows with each document, or forgets parts that are in use. */
static void
test_cache_keeps_used_values (void **state)
{
  sgr_config_cache_t *cache = sgr_config_cache_create ();
  json_t *value = json_integer (1);

  assert_null (sgr_config_cache_get (cache, "a", 1));
  sgr_config_cache_put (cache, "a", 1, value);
  sgr_config_cache_put (cache, "b", 1, value);
  json_decref (value);
  sgr_config_cache_sweep (cache);
  assert_ptr_equal (sgr_config_cache_get (cache, "a", 1), value);
  sgr_config_cache_sweep (cache);
  assert_ptr_equal (sgr_config_cache_get (cache, "a", 1), value);
  assert_null (sgr_config_cache_get (cache, "b", 1));
  assert_int_equal (sgr_config_cache_added (cache), 2);
  sgr_config_cache_destroy (cache);
}

/* Guards against memory that grows with each document that is refused. */
static void
test_cache_discards_refused_values (void **state)
{
  sgr_config_cache_t *cache = sgr_config_cache_create ();
  json_t *value = json_integer (1);

  sgr_config_cache_put (cache, "a", 1, value);
  sgr_config_cache_sweep (cache);
  sgr_config_cache_put (cache, "b", 1, value);
  sgr_config_cache_discard (cache);
  assert_null (sgr_config_cache_get (cache, "b", 1));
  assert_ptr_equal (sgr_config_cache_get (cache, "a", 1), value);
  assert_int_equal (value->refcount, 2);
  json_decref (value);
  sgr_config_cache_destroy (cache);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_split),
    cmocka_unit_test (test_many_elements),
    cmocka_unit_test (test_cache_keeps_used_values),
    cmocka_unit_test (test_cache_discards_refused_values),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
