#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "log.h"
#include "platform.h"
#include "scripted_store.h"

/* Client of the platform's store: the watch of a prefix, alone and beside the watch of a key. */

#define EXCHANGES_MAX 6
#define STEPS_MAX 4
#define WATCH_MS 50
/* Longest time that a test waits for a condition. */
#define WAIT_MAX_US (10 * SGR_USEC_PER_SEC)

#define FIRST "Store-Era: 1\r\n"
#define SECOND "Store-Era: 2\r\n"
#define ITEM(name, rev) "{\"key\":\"op/evacuate/" name "\",\"value\":\"\",\"rev\":" #rev "}"
#define TOMBSTONE(name, rev)                                                                       \
  "{\"key\":\"op/evacuate/" name "\",\"rev\":" #rev ",\"tombstone\":true}"
#define READ "GET /siskingrade/kv-range?prefix=op/evacuate/ "
#define WATCH_AFTER(rev) "GET /siskingrade/kv-watch?prefix=op/evacuate/&after=" #rev "&waitMs=50 "
#define KEY_READ "GET /siskingrade/kv-range?prefix=op/config "
#define KEY_WATCH_AFTER(rev) "GET /siskingrade/kv-watch?prefix=op/config&after=" #rev "&"
#define KEY_ITEM "{\"key\":\"op/config\",\"value\":\"aGVsbG8=\",\"rev\":20}"

/* What the client has reported of a call; the names of the items are joined by spaces. */
typedef struct
{
  bool is_done;
  sgr_store_outcome_t outcome;
  sgr_store_version_t version;
  bool has_items;
  char names[256];
} reported_t;

/* A watch from a version, and the reply that the client has to report; NULL names for none. */
typedef struct
{
  bool is_used;
  sgr_store_version_t after;
  sgr_store_outcome_t outcome;
  sgr_store_version_t version;
  const char *names;
} step_t;

typedef struct
{
  const char *name;
  scripted_exchange_t exchanges[EXCHANGES_MAX];
  step_t steps[STEPS_MAX];
} prefix_case_t;

static const prefix_case_t cases[] = {
  { "a first read without keys, then a write, then a deletion",
    { { READ, REPLY, 200, "{\"items\":[],\"currentRev\":9}", FIRST },
      { WATCH_AFTER (9), REPLY, 200, "{\"events\":[" ITEM ("east", 12) "],\"currentRev\":12}",
        FIRST },
      { READ, REPLY, 200, "{\"items\":[" ITEM ("east", 12) "],\"currentRev\":13}", FIRST },
      { WATCH_AFTER (13), REPLY, 200, "{\"events\":[" TOMBSTONE ("east", 15) "],\"currentRev\":15}",
        FIRST },
      { READ, REPLY, 200, "{\"items\":[],\"currentRev\":15}", FIRST } },
    { { true, { 0, 0 }, SGR_STORE_OK, { 1, 9 }, "" },
      { true, { 1, 9 }, SGR_STORE_OK, { 1, 13 }, "op/evacuate/east " },
      { true, { 1, 13 }, SGR_STORE_OK, { 1, 15 }, "" } } },
  { "several keys, one with a value that is not base64, one that is a tombstone",
    { { READ, REPLY, 200,
        "{\"items\":[" ITEM ("east", 12) ",{\"key\":\"op/evacuate/west\",\"value\":\"%%\",\"rev\":"
                                         "13}," TOMBSTONE ("north", 14) "],\"currentRev\":14}",
        FIRST } },
    { { true, { 0, 0 }, SGR_STORE_OK, { 1, 14 }, "op/evacuate/east op/evacuate/west " } } },
  { "no change before the wait ends: the next watch goes on from the reply's revision",
    { { WATCH_AFTER (9), REPLY, 200, "{\"events\":[],\"currentRev\":40}", NULL },
      { WATCH_AFTER (40), REPLY, 200, "{\"events\":[],\"currentRev\":40}", NULL } },
    { { true, { 0, 9 }, SGR_STORE_OK, { 0, 40 }, NULL },
      { true, { 0, 40 }, SGR_STORE_OK, { 0, 40 }, NULL } } },
  { "410: the events are gone, so that all keys are read",
    { { WATCH_AFTER (9), REPLY, 410, "{}", NULL },
      { READ, REPLY, 200, "{\"items\":[" ITEM ("east", 12) "],\"currentRev\":30}", NULL } },
    { { true, { 0, 9 }, SGR_STORE_OK, { 0, 30 }, "op/evacuate/east " } } },
  { "the store was restored during the watch, without an event",
    { { READ, REPLY, 200, "{\"items\":[" ITEM ("east", 12) "],\"currentRev\":30}", FIRST },
      { WATCH_AFTER (30), REPLY, 200, "{\"events\":[],\"currentRev\":31}", SECOND },
      { READ, REPLY, 200, "{\"items\":[],\"currentRev\":31}", SECOND } },
    { { true, { 0, 0 }, SGR_STORE_OK, { 1, 30 }, "op/evacuate/east " },
      { true, { 1, 30 }, SGR_STORE_OK, { 2, 31 }, "" } } },
  { "a known version of a former generation is not watched from",
    { { READ, REPLY, 200, "{\"items\":[],\"currentRev\":8}", SECOND },
      { READ, REPLY, 200, "{\"items\":[" ITEM ("east", 7) "],\"currentRev\":8}", SECOND } },
    { { true, { 0, 0 }, SGR_STORE_OK, { 2, 8 }, "" },
      { true, { 1, 30 }, SGR_STORE_OK, { 2, 8 }, "op/evacuate/east " } } },
  { "replies that tell nothing of the keys do not count as a set without keys",
    { { READ, REPLY, 503, "", NULL },
      { READ, REPLY, 404, "{}", NULL },
      { READ, REPLY, 200, "{\"currentRev\":9}", NULL },
      { READ, CLOSE_WITHOUT_REPLY, 0, NULL, NULL } },
    { { true, { 0, 0 }, SGR_STORE_UNAVAILABLE, { 0, 0 }, NULL },
      { true, { 0, 0 }, SGR_STORE_UNAVAILABLE, { 0, 0 }, NULL },
      { true, { 0, 0 }, SGR_STORE_UNAVAILABLE, { 0, 0 }, NULL },
      { true, { 0, 0 }, SGR_STORE_UNAVAILABLE, { 0, 0 }, NULL } } },
};

static void
on_reply (void *ctx, const sgr_store_reply_t *reply)
{
  reported_t *got = ctx;

  *got = (reported_t){ .is_done = true,
                       .outcome = reply->outcome,
                       .version = { reply->generation, reply->version },
                       .has_items = reply->items != NULL };
  for (size_t i = 0; reply->items != NULL && i < reply->item_count; i++)
    snprintf (got->names + strlen (got->names), sizeof got->names - strlen (got->names), "%s ",
              reply->items[i].key);
}

static void
reply_wait (h2o_loop_t *loop, const reported_t *got)
{
  uint64_t deadline_us = sgr_clock_monotonic_us () + WAIT_MAX_US;

  while (!got->is_done && sgr_clock_monotonic_us () < deadline_us)
    h2o_evloop_run (loop, 100);
  assert_true (got->is_done);
}

/* Stops the client and the server; fails if the server got a request that the script lacks. */
static void
client_stop (const char *name, sgr_store_t *store, h2o_loop_t *loop, scripted_store_t *server)
{
  sgr_platform_store_destroy (store);
  /* h2o frees closed sockets only in the next run. */
  h2o_evloop_run (loop, 10);
  h2o_evloop_destroy (loop);
  scripted_store_stop (server);
  if (server->has_unexpected_request)
    fail_msg ("%s: unexpected request: %s", name, server->request);
}

static reported_t
watch (sgr_store_t *store, h2o_loop_t *loop, const char *prefix, sgr_store_version_t after)
{
  reported_t got = { 0 };

  if (strcmp (prefix, "op/config") == 0)
    assert_non_null (store->watch (store, prefix, after, WATCH_MS, on_reply, &got));
  else
    assert_non_null (store->watch_prefix (store, prefix, after, WATCH_MS, on_reply, &got));
  reply_wait (loop, &got);
  return got;
}

/* Guards against a change of the keys that the client misses, or reports without all keys, and
   against a failed call that looks like a set without keys. */
static void
test_watch_prefix (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_settings_t settings = { 0 };
      h2o_loop_t *loop = h2o_evloop_create ();
      scripted_store_t server;
      sgr_store_t *store;

      scripted_store_start (&server, cases[i].exchanges, EXCHANGES_MAX, &settings.store);
      store = sgr_platform_store_create (loop, &settings);
      for (size_t j = 0; j < STEPS_MAX && cases[i].steps[j].is_used; j++)
        {
          const step_t *step = &cases[i].steps[j];
          reported_t got = watch (store, loop, "op/evacuate/", step->after);

          if (got.outcome != step->outcome || got.has_items != (step->names != NULL)
              || (step->names != NULL && strcmp (got.names, step->names) != 0)
              || (got.outcome == SGR_STORE_OK
                  && (got.version.generation != step->version.generation
                      || got.version.number != step->version.number)))
            fail_msg ("%s: step %zu: outcome %d generation %lu version %lu items %d: %s",
                      cases[i].name, j, got.outcome, got.version.generation, got.version.number,
                      got.has_items, got.names);
        }
      client_stop (cases[i].name, store, loop, &server);
    }
}

/* Guards against a watch of a key that has to read its key again, because a watch of a prefix was
   sent, failed or was cancelled in between, and the other way round. */
static void
test_watches_side_by_side (void **state)
{
  static const scripted_exchange_t exchanges[]
      = { { KEY_READ, REPLY, 200, "{\"items\":[" KEY_ITEM "],\"currentRev\":30}", FIRST },
          { READ, REPLY, 200, "{\"items\":[" ITEM ("east", 12) "],\"currentRev\":31}", FIRST },
          { KEY_WATCH_AFTER (30), REPLY, 200, "{\"events\":[],\"currentRev\":32}", FIRST },
          { WATCH_AFTER (31), REPLY, 200, "{\"events\":[],\"currentRev\":33}", FIRST },
          { KEY_WATCH_AFTER (32), REPLY, 200, "{\"events\":[],\"currentRev\":34}", FIRST },
          { WATCH_AFTER (33), REPLY, 503, "", FIRST },
          { WATCH_AFTER (33), HOLD, 0, NULL, NULL },
          { KEY_WATCH_AFTER (34), REPLY, 200, "{\"events\":[],\"currentRev\":35}", FIRST },
          { KEY_WATCH_AFTER (35), HOLD, 0, NULL, NULL },
          { WATCH_AFTER (33), REPLY, 200, "{\"events\":[],\"currentRev\":36}", FIRST } };
  sgr_settings_t settings = { 0 };
  h2o_loop_t *loop = h2o_evloop_create ();
  scripted_store_t server;
  sgr_store_call_t *call;
  reported_t got = { 0 };
  sgr_store_t *store;

  scripted_store_start (&server, exchanges, sizeof exchanges / sizeof exchanges[0],
                        &settings.store);
  store = sgr_platform_store_create (loop, &settings);
  assert_int_equal (watch (store, loop, "op/config", (sgr_store_version_t){ 0 }).version.number,
                    20);
  assert_int_equal (watch (store, loop, "op/evacuate/", (sgr_store_version_t){ 0 }).version.number,
                    31);
  watch (store, loop, "op/config", (sgr_store_version_t){ 1, 20 });
  watch (store, loop, "op/evacuate/", (sgr_store_version_t){ 1, 31 });
  watch (store, loop, "op/config", (sgr_store_version_t){ 1, 20 });
  assert_int_equal (watch (store, loop, "op/evacuate/", (sgr_store_version_t){ 1, 33 }).outcome,
                    SGR_STORE_UNAVAILABLE);
  call = store->watch_prefix (store, "op/evacuate/", (sgr_store_version_t){ 1, 33 }, WATCH_MS,
                              on_reply, &got);
  while (server.request_count < 7)
    h2o_evloop_run (loop, 10);
  store->cancel (store, call);
  watch (store, loop, "op/config", (sgr_store_version_t){ 1, 20 });
  store->watch (store, "op/config", (sgr_store_version_t){ 1, 20 }, WATCH_MS, on_reply, &got);
  while (server.request_count < 9)
    h2o_evloop_run (loop, 10);
  assert_int_equal (watch (store, loop, "op/evacuate/", (sgr_store_version_t){ 1, 33 }).outcome,
                    SGR_STORE_OK);
  assert_false (got.is_done);
  client_stop ("side by side", store, loop, &server);
}

/* Guards against a watch that goes on waiting at the restored store after another call has shown
   the restore: the store may not tell it of what changed before. */
static void
test_restore_seen_by_another_call (void **state)
{
  static const scripted_exchange_t exchanges[]
      = { { READ, REPLY, 200, "{\"items\":[],\"currentRev\":30}", FIRST },
          { WATCH_AFTER (30), HOLD, 0, NULL, NULL },
          { KEY_READ, REPLY, 200, "{\"items\":[" KEY_ITEM "],\"currentRev\":25}", SECOND },
          { READ, REPLY, 200, "{\"items\":[" ITEM ("east", 12) "],\"currentRev\":25}", SECOND } };
  sgr_settings_t settings = { 0 };
  h2o_loop_t *loop = h2o_evloop_create ();
  scripted_store_t server;
  reported_t got = { 0 }, read = { 0 };
  sgr_store_t *store;

  scripted_store_start (&server, exchanges, sizeof exchanges / sizeof exchanges[0],
                        &settings.store);
  store = sgr_platform_store_create (loop, &settings);
  watch (store, loop, "op/evacuate/", (sgr_store_version_t){ 0 });
  store->watch_prefix (store, "op/evacuate/", (sgr_store_version_t){ 1, 30 }, WATCH_MS, on_reply,
                       &got);
  while (server.request_count < 2)
    h2o_evloop_run (loop, 10);
  store->get (store, "op/config", on_reply, &read);
  reply_wait (loop, &read);
  reply_wait (loop, &got);
  assert_true (got.version.generation == 2 && got.version.number == 25);
  assert_string_equal (got.names, "op/evacuate/east ");
  client_stop ("restore seen by another call", store, loop, &server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_watch_prefix),
    cmocka_unit_test (test_watches_side_by_side),
    cmocka_unit_test (test_restore_seen_by_another_call),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
