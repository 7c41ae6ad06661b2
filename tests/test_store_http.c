#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config_rig.h"

static rig_t rig;
static sgr_store_t *store;

/* Copy of a reply, whose value is kept if it is short. */
typedef struct
{
  bool done;
  sgr_store_outcome_t outcome;
  uint64_t generation;
  uint64_t version;
  size_t length;
  char value[32];
  bool exists;
} reply_copy_t;

static int
setup (void **state)
{
  sgr_store_http_options_t options;

  rig_start (&rig, 0);
  options = (sgr_store_http_options_t){ rig.store_address, 300 };
  store = sgr_store_http_create (rig.loop, &options);
  return 0;
}

static int
teardown (void **state)
{
  sgr_store_http_destroy (store);
  rig_stop (&rig);
  return 0;
}

static void
on_reply (void *ctx, const sgr_store_reply_t *reply)
{
  reply_copy_t *got = ctx;

  got->done = true;
  got->outcome = reply->outcome;
  got->generation = reply->generation;
  got->version = reply->version;
  got->exists = reply->value != NULL;
  got->length = reply->length;
  if (reply->value != NULL && reply->length < sizeof got->value)
    memcpy (got->value, reply->value, reply->length);
}

static bool
is_done (rig_t *unused_rig, void *ctx)
{
  return ((reply_copy_t *)ctx)->done;
}

static reply_copy_t
reply_wait (reply_copy_t *got)
{
  rig_run_until (&rig, is_done, got);
  return *got;
}

static reply_copy_t
get (const char *key)
{
  reply_copy_t got = { 0 };

  assert_non_null (store->get (store, key, on_reply, &got));
  return reply_wait (&got);
}

static reply_copy_t
swap (const char *key, uint64_t expected, const char *value)
{
  reply_copy_t got = { 0 };

  assert_non_null (store->swap (store, key, expected, value, value != NULL ? strlen (value) : 0,
                                on_reply, &got));
  return reply_wait (&got);
}

static sgr_store_outcome_t
lease (const char *holder, uint32_t ttl_ms)
{
  reply_copy_t got = { 0 };

  assert_non_null (store->lease (store, "lease", holder, ttl_ms, on_reply, &got));
  return reply_wait (&got).outcome;
}

/* Guards against a client that breaks the contract of sgr_store_t: compare-and-swap by version,
   creation of a missing key, removal, limits of the input. */
static void
test_store_swap_contract (void **state)
{
  reply_copy_t got = get ("k"), first;

  assert_int_equal (got.outcome, SGR_STORE_OK);
  assert_false (got.exists);
  first = swap ("k", 0, "one");
  assert_int_equal (first.outcome, SGR_STORE_OK);
  assert_int_equal (swap ("k", 0, "two").outcome, SGR_STORE_CONFLICT);
  got = get ("k");
  assert_true (got.exists && got.version == first.version);
  assert_string_equal (got.value, "one");
  got = swap ("k", first.version, "two");
  assert_true (got.outcome == SGR_STORE_OK && got.version > first.version);
  assert_int_equal (swap ("k", got.version, NULL).outcome, SGR_STORE_OK);
  assert_false (get ("k").exists);
  assert_null (store->get (store, "a key", on_reply, &got));
  assert_null (store->swap (store, "k", 0, "", SGR_STORE_VALUE_MAX + 1, on_reply, &got));
}

/* Guards against truncation of the longest permitted value. */
static void
test_store_large_value (void **state)
{
  char *value = malloc (SGR_STORE_VALUE_MAX + 1);

  memset (value, 'x', SGR_STORE_VALUE_MAX);
  value[SGR_STORE_VALUE_MAX] = '\0';
  assert_int_equal (swap ("large", 0, value).outcome, SGR_STORE_OK);
  assert_int_equal (get ("large").length, SGR_STORE_VALUE_MAX);
  free (value);
}

/* Guards against an outcome that says more than the client can know: under each fault of the store,
   a write that may have taken effect has to be reported as unknown. */
static void
test_store_fault_table (void **state)
{
  static const struct
  {
    const char *faults;
    sgr_store_outcome_t read;
    sgr_store_outcome_t write;
  } cases[] = {
    { "outage=1", SGR_STORE_UNAVAILABLE, SGR_STORE_UNAVAILABLE },
    { "outage=0&lose_reply=1", SGR_STORE_OK, SGR_STORE_UNKNOWN },
    { "drop_write=1", SGR_STORE_OK, SGR_STORE_UNKNOWN },
    { "drop_write=1&late_ms=50", SGR_STORE_OK, SGR_STORE_UNKNOWN },
    { "late_ms=0&slow_ms=60000", SGR_STORE_UNAVAILABLE, SGR_STORE_UNKNOWN },
    { "slow_ms=0&read_rate=1&write_rate=1", SGR_STORE_OK, SGR_STORE_OK },
    { "read_rate=0&write_rate=0", SGR_STORE_OK, SGR_STORE_OK },
  };
  bool is_limited = false;
  char key[16];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      rig_store_faults_set (&rig, cases[i].faults);
      snprintf (key, sizeof key, "f%zu", i);
      assert_int_equal (get ("none").outcome, cases[i].read);
      assert_int_equal (swap (key, 0, "x").outcome, cases[i].write);
    }
  /* The store now accepts one read a second. Up to 1000 reads in a row exceed this limit even on a
     slow machine. */
  rig_store_faults_set (&rig, "read_rate=1");
  for (int i = 0; i < 1000 && !is_limited; i++)
    is_limited = get ("none").outcome == SGR_STORE_UNAVAILABLE;
  assert_true (is_limited);
  rig_store_faults_set (&rig, "read_rate=0");
}

/* Guards against a watch that misses a write, or that reports a value though the key did not
   change. */
static void
test_store_watch (void **state)
{
  reply_copy_t watch = { 0 }, unchanged = { 0 };
  uint64_t version = swap ("w", 0, "one").version;

  assert_non_null (
      store->watch (store, "w", (sgr_store_version_t){ 0, version }, 10000, on_reply, &watch));
  version = swap ("w", version, "two").version;
  assert_int_equal (reply_wait (&watch).version, version);
  assert_string_equal (watch.value, "two");
  assert_non_null (
      store->watch (store, "w", (sgr_store_version_t){ 0, version }, 50, on_reply, &unchanged));
  reply_wait (&unchanged);
  assert_int_equal (unchanged.outcome, SGR_STORE_OK);
  assert_false (unchanged.exists);
  assert_int_equal (unchanged.version, version);
  store->cancel (store, store->watch (store, "w", (sgr_store_version_t){ 0, version }, 10000,
                                      on_reply, &unchanged));
}

/* Guards against a watch that waits for a version of a store that was restored: the store assigns
   lower versions now, so the watch would miss the next changes. */
static void
test_store_watch_after_restore (void **state)
{
  uint64_t version = swap ("r", 0, "one").version;
  reply_copy_t watch = { 0 }, next = { 0 };
  sgr_store_version_t known;

  rig_store_faults_set (&rig, "snapshot=1");
  version = swap ("r", version, "two").version;
  known = (sgr_store_version_t){ store->generation, version };
  assert_non_null (store->watch (store, "r", known, 10000, on_reply, &watch));
  rig_store_faults_set (&rig, "restore=1");
  reply_wait (&watch);
  assert_int_equal (watch.generation, known.generation + 1);
  assert_int_equal (store->generation, known.generation + 1);
  assert_true (watch.version < version);
  assert_string_equal (watch.value, "one");
  /* A watch that starts after the restore with a version from before. */
  assert_int_equal (swap ("r", watch.version, "three").version, version);
  assert_non_null (store->watch (store, "r", known, 10000, on_reply, &next));
  assert_string_equal (reply_wait (&next).value, "three");
}

/* Names of the items of a reply, joined by spaces. */
typedef struct
{
  reply_copy_t reply;
  bool has_items;
  char names[64];
} items_copy_t;

static void
on_items (void *ctx, const sgr_store_reply_t *reply)
{
  items_copy_t *got = ctx;

  got->has_items = reply->items != NULL;
  got->names[0] = '\0';
  for (size_t i = 0; reply->items != NULL && i < reply->item_count; i++)
    snprintf (got->names + strlen (got->names), sizeof got->names - strlen (got->names), "%s ",
              reply->items[i].key);
  on_reply (&got->reply, reply);
}

/* Watches the prefix "p/" from a version, and returns the version of the reply. */
static sgr_store_version_t
prefix_watch_wait (sgr_store_version_t after, uint32_t wait_ms, items_copy_t *got)
{
  *got = (items_copy_t){ 0 };
  assert_non_null (store->watch_prefix (store, "p/", after, wait_ms, on_items, got));
  reply_wait (&got->reply);
  assert_int_equal (got->reply.outcome, SGR_STORE_OK);
  return (sgr_store_version_t){ got->reply.generation, got->reply.version };
}

/* Guards against a watch of a prefix that misses a write, a removal or a restore, or that ends for
   a key without the prefix. */
static void
test_store_watch_prefix (void **state)
{
  sgr_store_version_t version = { 0 };
  items_copy_t got;
  uint64_t key;

  swap ("other", 0, "one");
  version = prefix_watch_wait (version, 10000, &got);
  assert_true (got.has_items && got.names[0] == '\0');
  swap ("another", 0, "one");
  version = prefix_watch_wait (version, 50, &got);
  assert_false (got.has_items);
  key = swap ("p/a", 0, "").version;
  swap ("p/b", 0, "x");
  version = prefix_watch_wait (version, 10000, &got);
  assert_string_equal (got.names, "p/a p/b ");
  rig_store_faults_set (&rig, "snapshot=1");
  got = (items_copy_t){ 0 };
  assert_non_null (store->watch_prefix (store, "p/", version, 10000, on_items, &got));
  assert_int_equal (swap ("p/a", key, NULL).outcome, SGR_STORE_OK);
  reply_wait (&got.reply);
  assert_string_equal (got.names, "p/b ");
  version = (sgr_store_version_t){ got.reply.generation, got.reply.version };
  rig_store_faults_set (&rig, "restore=1");
  assert_true (prefix_watch_wait (version, 10000, &got).generation > version.generation);
  assert_string_equal (got.names, "p/a p/b ");
}

/* Guards against two holders that both write: a holder that was paused while its lease expired gets
   a conflict for a write with an old version and for the renewal of its lease. */
static void
test_store_lapsed_lease (void **state)
{
  uint64_t version = swap ("guarded", 0, "start").version;

  assert_int_equal (lease ("first", 60000), SGR_STORE_OK);
  assert_int_equal (lease ("second", 60000), SGR_STORE_CONFLICT);
  rig_store_faults_set (&rig, "lapse_leases=1");
  assert_int_equal (lease ("second", 60000), SGR_STORE_OK);
  assert_int_equal (swap ("guarded", version, "second").outcome, SGR_STORE_OK);
  assert_int_equal (swap ("guarded", version, "first").outcome, SGR_STORE_CONFLICT);
  assert_int_equal (lease ("first", 60000), SGR_STORE_CONFLICT);
  assert_int_equal (lease ("second", 0), SGR_STORE_OK);
  assert_int_equal (lease ("first", 60000), SGR_STORE_OK);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_store_swap_contract), cmocka_unit_test (test_store_large_value),
    cmocka_unit_test (test_store_fault_table),   cmocka_unit_test (test_store_watch),
    cmocka_unit_test (test_store_watch_prefix),  cmocka_unit_test (test_store_watch_after_restore),
    cmocka_unit_test (test_store_lapsed_lease),
  };

  return cmocka_run_group_tests (tests, setup, teardown);
}
