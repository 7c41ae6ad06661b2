#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "platform.h"
#include "scripted_store.h"
#include "settings.h"

/* Client of the platform's store against a server with scripted replies: the outcome that the
   client reports for each way in which a call can end. */

#define EXCHANGES_MAX 3
#define ANY_VERSION SGR_STORE_ANY_VERSION
#define KEY "some/key"

typedef enum
{
  GET,
  LIST,
  SWAP,
  REMOVE,
  WATCH,
} kind_t;

typedef struct
{
  const char *name;
  kind_t kind;
  sgr_store_outcome_t outcome;
  uint64_t expected; /* for a swap, the expected version; for a watch, the known version */
  scripted_exchange_t exchanges[EXCHANGES_MAX];
  uint64_t version; /* version, value and number of items that the client has to report */
  const char *value;
  size_t items;
} store_case_t;

#define ITEM "{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"rev\":7,\"created\":3,\"lease\":0"

static const store_case_t cases[] = {
  { "get",
    GET,
    SGR_STORE_OK,
    0,
    { { "GET /siskingrade/kv-range?prefix=some/key ", REPLY, 200,
        "{\"items\":[" ITEM
        "},{\"key\":\"some/key2\",\"value\":\"\",\"rev\":8}],\"currentRev\":9}" } },
    7,
    "hello",
    0 },
  { "get, key does not exist",
    GET,
    SGR_STORE_OK,
    0,
    { { "kv-range", REPLY, 200,
        "{\"items\":[{\"key\":\"some/key2\",\"value\":\"\",\"rev\":8}],\"currentRev\":9}" } },
    0,
    NULL,
    0 },
  { "get, path is not known",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 404, "{}" } },
    0,
    NULL,
    0 },
  { "get, reply without items",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 200, "{\"currentRev\":9}" } },
    0,
    NULL,
    0 },
  { "get, rate limit",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 429, "{}" } },
    0,
    NULL,
    0 },
  { "get, store unavailable",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 503, "" } },
    0,
    NULL,
    0 },
  { "get, reply is not JSON",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 200, "hello" } },
    0,
    NULL,
    0 },
  { "get, value is not base64",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 200,
        "{\"items\":[{\"key\":\"some/key\",\"value\":\"%%\",\"rev\":7}]}" } },
    7,
    NULL,
    0 },
  { "get, value is not a string",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 200, "{\"items\":[{\"key\":\"some/key\",\"value\":5,\"rev\":7}]}" } },
    7,
    NULL,
    0 },
  { "get, connection reset before the request is read",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { NULL, RESET_UNREAD, 0, NULL } },
    0,
    NULL,
    0 },
  { "get, connection closed without a reply",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", CLOSE_WITHOUT_REPLY, 0, NULL } },
    0,
    NULL,
    0 },
  { "get, truncated reply",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", TRUNCATED_REPLY, 200, "{\"items\":[" ITEM "}]}" } },
    0,
    NULL,
    0 },
  { "get, no reply",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", NO_REPLY, 0, NULL } },
    0,
    NULL,
    0 },

  { "list",
    LIST,
    SGR_STORE_OK,
    0,
    { { "GET /siskingrade/kv-range?prefix=some/key&staleRead=1 ", REPLY, 200,
        "{\"items\":[" ITEM
        "},{\"key\":\"some/key2\",\"value\":\"\",\"rev\":8}],\"hasMore\":false}" } },
    0,
    NULL,
    2 },
  { "list, invalid items are skipped",
    LIST,
    SGR_STORE_OK,
    0,
    { { "kv-range", REPLY, 200,
        "{\"items\":[{\"value\":\"\",\"rev\":1},7,{\"key\":\"a\",\"value\":\"%\"}," ITEM "}]}" } },
    0,
    NULL,
    1 },
  { "list, store unavailable",
    LIST,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-range", REPLY, 503, "" } },
    0,
    NULL,
    0 },

  { "swap",
    SWAP,
    SGR_STORE_OK,
    7,
    { { "\"precondition\":[{\"key\":\"some/key\",\"rev\":7}]", REPLY, 200, "{\"rev\":12}" } },
    12,
    NULL,
    0 },
  { "swap, new key",
    SWAP,
    SGR_STORE_OK,
    0,
    { { "\"precondition\":[{\"key\":\"some/key\",\"rev\":0}]", REPLY, 200, "{\"rev\":12}" } },
    12,
    NULL,
    0 },
  { "swap, any version",
    SWAP,
    SGR_STORE_OK,
    ANY_VERSION,
    { { "\"precondition\":[],\"puts\":[{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"lease\":0}]",
        REPLY, 200, "{\"rev\":12}" } },
    12,
    NULL,
    0 },
  { "remove",
    REMOVE,
    SGR_STORE_OK,
    7,
    { { "\"puts\":[],\"deletes\":[\"some/key\"]", REPLY, 200, "{\"rev\":13}" } },
    13,
    NULL,
    0 },
  { "swap, conflict",
    SWAP,
    SGR_STORE_CONFLICT,
    7,
    { { "kv-txn", REPLY, 412, "{\"items\":[" ITEM "}]}" } },
    7,
    NULL,
    0 },
  { "swap, conflict without the key",
    SWAP,
    SGR_STORE_CONFLICT,
    7,
    { { "kv-txn", REPLY, 412, "{\"items\":[]}" } },
    0,
    NULL,
    0 },
  { "swap, store unavailable",
    SWAP,
    SGR_STORE_UNAVAILABLE,
    7,
    { { "kv-txn", REPLY, 503, "" } },
    0,
    NULL,
    0 },
  { "swap, rate limit",
    SWAP,
    SGR_STORE_UNAVAILABLE,
    7,
    { { "kv-txn", REPLY, 429, "" } },
    0,
    NULL,
    0 },
  { "swap, unexpected status",
    SWAP,
    SGR_STORE_UNKNOWN,
    7,
    { { "kv-txn", REPLY, 500, "" } },
    0,
    NULL,
    0 },
  { "swap, connection closed without a reply",
    SWAP,
    SGR_STORE_UNKNOWN,
    7,
    { { "kv-txn", CLOSE_WITHOUT_REPLY, 0, NULL } },
    0,
    NULL,
    0 },
  { "swap, truncated reply",
    SWAP,
    SGR_STORE_UNKNOWN,
    7,
    { { "kv-txn", TRUNCATED_REPLY, 200, "{\"rev\":12}" } },
    0,
    NULL,
    0 },
  { "swap, no reply", SWAP, SGR_STORE_UNKNOWN, 7, { { "kv-txn", NO_REPLY, 0, NULL } }, 0, NULL, 0 },

  { "first watch reads the key, never a stale one",
    WATCH,
    SGR_STORE_OK,
    0,
    { { "kv-range?prefix=some/key ", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" } },
    7,
    "hello",
    0 },
  { "watch continues from the revision of the read",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range?prefix=some/key ", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch?prefix=some/key&after=9&waitMs=50 ", REPLY, 200,
        "{\"events\":[{\"key\":\"some/key2\",\"value\":\"\",\"rev\":10},"
        "{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"rev\":11}],\"currentRev\":11}" } },
    11,
    "hello",
    0 },
  { "watch, last of several events counts",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", REPLY, 200,
        "{\"events\":[{\"key\":\"some/key\",\"value\":\"%%\",\"rev\":10},"
        "{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"rev\":11}],\"currentRev\":11}" } },
    11,
    "hello",
    0 },
  { "watch, no change",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", REPLY, 200, "{\"events\":[],\"currentRev\":9}" } },
    7,
    NULL,
    0 },
  { "watch, key is deleted",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", REPLY, 200,
        "{\"events\":[{\"key\":\"some/key\",\"rev\":10,\"tombstone\":true}],\"currentRev\":10}" } },
    7,
    NULL,
    0 },
  { "watch, event history is no longer kept",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", REPLY, 410, "{}" },
      { "kv-range", REPLY, 200,
        "{\"items\":[{\"key\":\"some/"
        "key\",\"value\":\"aGVsbG8=\",\"rev\":20}],\"currentRev\":21}" } },
    20,
    "hello",
    0 },
  { "watch, connection closed without a reply",
    WATCH,
    SGR_STORE_UNAVAILABLE,
    7,
    { { "kv-range", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", CLOSE_WITHOUT_REPLY, 0, NULL } },
    0,
    NULL,
    0 },
};

/* What the client has reported of a call. */
typedef struct
{
  bool is_done;
  sgr_store_outcome_t outcome;
  uint64_t version;
  size_t items;
  char value[32];
  bool has_value;
} reported_t;

static void
on_reply (void *ctx, const sgr_store_reply_t *reply)
{
  reported_t *reported = ctx;

  assert_false (reported->is_done);
  reported->is_done = true;
  reported->outcome = reply->outcome;
  reported->version = reply->version;
  reported->items = reply->item_count;
  reported->has_value = reply->value != NULL;
  assert_true (reply->length < sizeof reported->value);
  if (reported->has_value)
    memcpy (reported->value, reply->value, reply->length);
  if (reply->outcome != SGR_STORE_OK)
    assert_non_null (reply->reason);
}

static void
call_start (sgr_store_t *store, const store_case_t *test_case, reported_t *reported)
{
  sgr_store_call_t *call = NULL;

  switch (test_case->kind)
    {
    case GET:
      call = store->get (store, KEY, on_reply, reported);
      break;
    case LIST:
      call = store->list (store, KEY, on_reply, reported);
      break;
    case SWAP:
      call = store->swap (store, KEY, test_case->expected, "hello", 5, on_reply, reported);
      break;
    case REMOVE:
      call = store->swap (store, KEY, test_case->expected, NULL, 0, on_reply, reported);
      break;
    case WATCH:
      call = store->watch (store, KEY, (sgr_store_version_t){ 0, test_case->expected }, 50,
                           on_reply, reported);
      break;
    }
  assert_non_null (call);
}

/* Runs the loop once before destroying it, since h2o frees closed sockets only in the next run. */
static void
loop_destroy (h2o_loop_t *loop)
{
  h2o_evloop_run (loop, 10);
  h2o_evloop_destroy (loop);
}

static void
case_run (const store_case_t *test_case)
{
  sgr_settings_t settings = { 0 };
  scripted_store_t server;
  h2o_loop_t *loop = h2o_evloop_create ();
  reported_t reported = { 0 };
  sgr_store_t *store;

  scripted_store_start (&server, test_case->exchanges, EXCHANGES_MAX, &settings.store);
  store = sgr_platform_store_create (loop, &settings);
  call_start (store, test_case, &reported);
  while (!reported.is_done)
    h2o_evloop_run (loop, 10000);
  sgr_platform_store_destroy (store);
  loop_destroy (loop);
  scripted_store_stop (&server);
  if (server.has_unexpected_request)
    fail_msg ("%s: unexpected request: %s", test_case->name, server.request);
  if (reported.outcome != test_case->outcome || reported.version != test_case->version
      || reported.items != test_case->items || reported.has_value != (test_case->value != NULL)
      || (test_case->value != NULL && strcmp (reported.value, test_case->value) != 0))
    fail_msg ("%s: outcome %d version %lu items %zu value %s", test_case->name, reported.outcome,
              reported.version, reported.items, reported.has_value ? reported.value : "none");
}

/* Guards against a write that is reported as not done although it may have taken effect, against a
   value that is not the store's, and against a watch that misses a change. */
static void
test_outcomes (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    case_run (&cases[i]);
}

/* Guards against a write whose outcome is reported as unknown although no server accepted the
   connection. The node would then have to assume that its own write may cause a later
   conflict. */
static void
test_nothing_listens (void **state)
{
  static const kind_t kinds[] = { GET, SWAP, WATCH };

  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      const store_case_t test_case = { .name = "refused", .kind = kinds[i] };
      sgr_settings_t settings = { 0 };
      h2o_loop_t *loop = h2o_evloop_create ();
      sgr_store_t *store;
      reported_t reported = { 0 };

      close (scripted_store_listen (&settings.store));
      store = sgr_platform_store_create (loop, &settings);
      call_start (store, &test_case, &reported);
      while (!reported.is_done)
        h2o_evloop_run (loop, 10000);
      assert_int_equal (reported.outcome, SGR_STORE_UNAVAILABLE);
      sgr_platform_store_destroy (store);
      loop_destroy (loop);
    }
}

/* Guards against readers that send watch after watch to a store which takes them without an answer,
   and so miss a change that it has acknowledged: after a watch that failed, the next one reads the
   key first. */
static void
test_watch_reads_key_after_failure (void **state)
{
  static const store_case_t script
      = { .name = "watch after a failed one",
          .kind = WATCH,
          .expected = 7,
          .exchanges = { { "kv-range", REPLY, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
                         { "kv-watch", CLOSE_WITHOUT_REPLY },
                         { "kv-range", REPLY, 200,
                           "{\"items\":[{\"key\":\"some/key\",\"value\":\"aGVsbG8=\","
                           "\"rev\":11}],\"currentRev\":11}" } } };
  sgr_settings_t settings = { 0 };
  scripted_store_t server;
  h2o_loop_t *loop = h2o_evloop_create ();
  reported_t reported[2] = { 0 };
  sgr_store_t *store;

  scripted_store_start (&server, script.exchanges, EXCHANGES_MAX, &settings.store);
  store = sgr_platform_store_create (loop, &settings);
  for (size_t i = 0; i < 2; i++)
    {
      call_start (store, &script, &reported[i]);
      while (!reported[i].is_done)
        h2o_evloop_run (loop, 10000);
    }
  sgr_platform_store_destroy (store);
  loop_destroy (loop);
  scripted_store_stop (&server);
  if (server.has_unexpected_request)
    fail_msg ("unexpected request: %s", server.request);
  assert_int_equal (reported[0].outcome, SGR_STORE_UNAVAILABLE);
  assert_int_equal (reported[1].outcome, SGR_STORE_OK);
  assert_int_equal (reported[1].version, 11);
}

/* Guards against a callback that runs twice, or after its call was cancelled or its client
   destroyed. */
static void
test_cancel (void **state)
{
  sgr_settings_t settings = { 0 };
  h2o_loop_t *loop = h2o_evloop_create ();
  int listener = scripted_store_listen (&settings.store);
  sgr_store_t *store = sgr_platform_store_create (loop, &settings);
  reported_t reported[3] = { 0 };
  sgr_store_call_t *first = store->get (store, KEY, on_reply, &reported[0]);

  store->watch (store, KEY, (sgr_store_version_t){ 0 }, 50, on_reply, &reported[1]);
  store->swap (store, KEY, 0, "x", 1, on_reply, &reported[2]);
  store->cancel (store, first);
  h2o_evloop_run (loop, 10);
  sgr_platform_store_destroy (store);
  loop_destroy (loop);
  for (size_t i = 0; i < 3; i++)
    assert_false (reported[i].is_done);
  close (listener);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_outcomes),
    cmocka_unit_test (test_nothing_listens),
    cmocka_unit_test (test_watch_reads_key_after_failure),
    cmocka_unit_test (test_cancel),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
