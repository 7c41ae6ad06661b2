#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "buffer.h"
#include "config_io.h"
#include "log.h"
#include "platform.h"
#include "scripted_store.h"

/* Client of the platform's store, which is restored to an earlier state: the generation of the
   store rises, and its revisions are given out again. */

#define EXCHANGES_MAX 6
#define STEPS_MAX 3
#define KEY "some/key"
#define WATCH_MS 50
/* Longest time that a test waits for a condition. */
#define WAIT_MAX_US (10 * SGR_USEC_PER_SEC)

#define FIRST "Store-Era: 1\r\n"
#define SECOND "Store-Era: 2\r\n"
#define ITEM(rev) "{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"rev\":" #rev "}"
#define KEY_READ "GET /siskingrade/kv-range?prefix=some/key "
#define WATCH_AFTER(rev) "GET /siskingrade/kv-watch?prefix=some/key&after=" #rev "&"

typedef enum
{
  NONE = 0,
  GET,
  SWAP,
  WATCH,
} kind_t;

/* A call and the reply that the client has to report. */
typedef struct
{
  kind_t kind;
  sgr_store_version_t after; /* known version of a watch */
  sgr_store_outcome_t outcome;
  sgr_store_version_t version; /* only for SGR_STORE_OK */
  bool has_value;
} step_t;

typedef struct
{
  const char *name;
  scripted_exchange_t exchanges[EXCHANGES_MAX];
  step_t steps[STEPS_MAX];
} restored_case_t;

static const restored_case_t cases[] = {
  { "410, then the key has a lower version than the known one, and so have its later changes",
    { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":30}", FIRST },
      { WATCH_AFTER (30), REPLY, 410, "{}", SECOND },
      { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (7) "],\"currentRev\":9}", SECOND },
      { WATCH_AFTER (9), REPLY, 200, "{\"events\":[" ITEM (11) "],\"currentRev\":11}", SECOND } },
    { { WATCH, { 0, 0 }, SGR_STORE_OK, { 1, 20 }, true },
      { WATCH, { 1, 20 }, SGR_STORE_OK, { 2, 7 }, true },
      { WATCH, { 2, 7 }, SGR_STORE_OK, { 2, 11 }, true } } },
  { "the revision of the watch was given out again, so that the store does not answer 410",
    { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":30}", FIRST },
      { WATCH_AFTER (30), REPLY, 200, "{\"events\":[],\"currentRev\":40}", SECOND },
      { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (28) "],\"currentRev\":40}", SECOND } },
    { { WATCH, { 0, 0 }, SGR_STORE_OK, { 1, 20 }, true },
      { WATCH, { 1, 20 }, SGR_STORE_OK, { 2, 28 }, true } } },
  { "the same version number of another generation is a change",
    { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":30}", FIRST },
      { WATCH_AFTER (30), REPLY, 410, "{}", SECOND },
      { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":21}", SECOND } },
    { { WATCH, { 0, 0 }, SGR_STORE_OK, { 1, 20 }, true },
      { WATCH, { 1, 20 }, SGR_STORE_OK, { 2, 20 }, true } } },
  { "a watch that was cut reads the key next, since the store may have been restored",
    { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":30}", FIRST },
      { WATCH_AFTER (30), CLOSE_WITHOUT_REPLY, 0, NULL, NULL },
      { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (28) "],\"currentRev\":40}", SECOND } },
    { { WATCH, { 0, 0 }, SGR_STORE_OK, { 1, 20 }, true },
      { WATCH, { 1, 20 }, SGR_STORE_UNAVAILABLE, { 0, 0 }, false },
      { WATCH, { 1, 20 }, SGR_STORE_OK, { 2, 28 }, true } } },
  { "a late event of the former generation is not news",
    { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (7) "],\"currentRev\":9}", SECOND },
      { WATCH_AFTER (9), REPLY, 200, "{\"events\":[" ITEM (25) "],\"currentRev\":25}", FIRST },
      { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (7) "],\"currentRev\":9}", SECOND },
      { WATCH_AFTER (9), REPLY, 200, "{\"events\":[" ITEM (11) "],\"currentRev\":11}", SECOND } },
    { { WATCH, { 0, 0 }, SGR_STORE_OK, { 2, 7 }, true },
      { WATCH, { 2, 7 }, SGR_STORE_UNAVAILABLE, { 0, 0 }, false },
      { WATCH, { 2, 7 }, SGR_STORE_OK, { 2, 11 }, true } } },
  { "a late read or write of the former generation does not count as done",
    { { "kv-range", REPLY, 200, "{\"items\":[" ITEM (7) "]}", SECOND },
      { "kv-range", REPLY, 200, "{\"items\":[" ITEM (25) "]}", FIRST },
      { "kv-txn", REPLY, 200, "{\"rev\":26}", FIRST } },
    { { GET, { 0, 0 }, SGR_STORE_OK, { 2, 7 }, true },
      { GET, { 0, 0 }, SGR_STORE_UNAVAILABLE, { 0, 0 }, false },
      { SWAP, { 0, 0 }, SGR_STORE_UNKNOWN, { 0, 0 }, false } } },
  { "a key that the restored store does not have is seen when it is written again",
    { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":30}", FIRST },
      { WATCH_AFTER (30), REPLY, 410, "{}", SECOND },
      { KEY_READ, REPLY, 200, "{\"items\":[],\"currentRev\":5}", SECOND },
      { WATCH_AFTER (5), REPLY, 200, "{\"events\":[],\"currentRev\":5}", SECOND },
      { WATCH_AFTER (5), REPLY, 200, "{\"events\":[" ITEM (6) "],\"currentRev\":6}", SECOND } },
    { { WATCH, { 0, 0 }, SGR_STORE_OK, { 1, 20 }, true },
      { WATCH, { 1, 20 }, SGR_STORE_OK, { 1, 20 }, false },
      { WATCH, { 1, 20 }, SGR_STORE_OK, { 2, 6 }, true } } },
  { "a reply without a generation belongs to the known one",
    { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":30}", SECOND },
      { WATCH_AFTER (30), REPLY, 200, "{\"events\":[" ITEM (31) "],\"currentRev\":31}", NULL } },
    { { WATCH, { 0, 0 }, SGR_STORE_OK, { 2, 20 }, true },
      { WATCH, { 2, 20 }, SGR_STORE_OK, { 2, 31 }, true } } },
};

/* What the client has reported of a call. */
typedef struct
{
  bool is_done;
  sgr_store_outcome_t outcome;
  sgr_store_version_t version;
  bool has_value;
} reported_t;

static void
on_reply (void *ctx, const sgr_store_reply_t *reply)
{
  *(reported_t *)ctx = (reported_t){ .is_done = true,
                                     .outcome = reply->outcome,
                                     .version = { reply->generation, reply->version },
                                     .has_value = reply->value != NULL };
}

static void
call_start (sgr_store_t *store, const step_t *step, reported_t *reported)
{
  sgr_store_call_t *call;

  *reported = (reported_t){ 0 };
  if (step->kind == WATCH)
    call = store->watch (store, KEY, step->after, WATCH_MS, on_reply, reported);
  else if (step->kind == GET)
    call = store->get (store, KEY, on_reply, reported);
  else
    call = store->swap (store, KEY, 0, "hello", 5, on_reply, reported);
  assert_non_null (call);
}

/* Runs the loop until the call is done, or the server got a request that the script lacks. */
static void
reply_wait (h2o_loop_t *loop, const reported_t *reported)
{
  uint64_t deadline_us = sgr_clock_monotonic_us () + WAIT_MAX_US;

  while (!reported->is_done && sgr_clock_monotonic_us () < deadline_us)
    h2o_evloop_run (loop, 100);
}

/* Stops the client and the server; fails if the server got a request that the script lacks. */
static void
case_finish (const char *name, sgr_store_t *store, h2o_loop_t *loop, scripted_store_t *server)
{
  sgr_platform_store_destroy (store);
  /* h2o frees closed sockets only in the next run. */
  h2o_evloop_run (loop, 10);
  h2o_evloop_destroy (loop);
  scripted_store_stop (server);
  if (server->has_unexpected_request)
    fail_msg ("%s: unexpected request: %s", name, server->request);
}

static void
case_run (const restored_case_t *test_case)
{
  sgr_settings_t settings = { 0 };
  h2o_loop_t *loop = h2o_evloop_create ();
  scripted_store_t server;
  sgr_store_t *store;

  scripted_store_start (&server, test_case->exchanges, EXCHANGES_MAX, &settings.store);
  store = sgr_platform_store_create (loop, &settings);
  for (size_t i = 0; i < STEPS_MAX && test_case->steps[i].kind != NONE; i++)
    {
      const step_t *step = &test_case->steps[i];
      reported_t got;

      call_start (store, step, &got);
      reply_wait (loop, &got);
      if (!got.is_done || got.outcome != step->outcome || got.has_value != step->has_value
          || (got.outcome == SGR_STORE_OK
              && (got.version.generation != step->version.generation
                  || got.version.number != step->version.number)))
        fail_msg ("%s: step %zu: done %d outcome %d generation %lu version %lu value %d",
                  test_case->name, i, got.is_done, got.outcome, got.version.generation,
                  got.version.number, got.has_value);
    }
  case_finish (test_case->name, store, loop, &server);
}

/* Guards against a change that a watch drops because the store gave out a higher version before it
   was restored, and against a reply from before the restore that is taken for the present state. */
static void
test_versions_of_two_generations (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    case_run (&cases[i]);
}

/* Guards against a watch that goes on waiting at the restored store after another call has shown
   the restore: the store may not tell it of what changed before. */
static void
test_restore_seen_by_another_call (void **state)
{
  static const scripted_exchange_t exchanges[]
      = { { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (20) "],\"currentRev\":30}", FIRST },
          { WATCH_AFTER (30), HOLD, 0, NULL, NULL },
          { "kv-range", REPLY, 200, "{\"items\":[]}", SECOND },
          { KEY_READ, REPLY, 200, "{\"items\":[" ITEM (7) "],\"currentRev\":9}", SECOND } };
  static const step_t first = { WATCH, { 0, 0 } }, second = { WATCH, { 1, 20 } }, get = { GET };
  sgr_settings_t settings = { 0 };
  h2o_loop_t *loop = h2o_evloop_create ();
  scripted_store_t server;
  reported_t watched, got;
  sgr_store_t *store;

  scripted_store_start (&server, exchanges, sizeof exchanges / sizeof exchanges[0],
                        &settings.store);
  store = sgr_platform_store_create (loop, &settings);
  call_start (store, &first, &watched);
  reply_wait (loop, &watched);
  call_start (store, &second, &watched);
  while (server.request_count < 2)
    h2o_evloop_run (loop, 10);
  call_start (store, &get, &got);
  reply_wait (loop, &got);
  reply_wait (loop, &watched);
  if (!watched.is_done)
    fail_msg ("the watch goes on; last request: %s", server.request);
  assert_true (watched.version.generation == 2 && watched.version.number == 7);
  assert_int_equal (store->generation, 2);
  case_finish ("restore seen by another call", store, loop, &server);
}

/* Writes a reply with an empty document of this version at a revision of the store. */
static const char *
document_reply (char *text, size_t size, const char *list, const char *version, int revision)
{
  char document[128], encoded[256];

  snprintf (document, sizeof document, "{\"version\":\"%s\",\"resources\":[]}", version);
  sodium_bin2base64 (encoded, sizeof encoded, (const unsigned char *)document, strlen (document),
                     sodium_base64_VARIANT_ORIGINAL);
  snprintf (text, size,
            "{\"%s\":[{\"key\":\"op/config\",\"value\":\"%s\",\"rev\":%d}],\"currentRev\":%d}",
            list, encoded, revision, revision);
  return text;
}

static bool
revision_wait (h2o_loop_t *loop, const sgr_config_io_t *io, uint64_t revision)
{
  uint64_t deadline_us = sgr_clock_monotonic_us () + WAIT_MAX_US;
  uint64_t in_force = 0;

  while (in_force != revision && sgr_clock_monotonic_us () < deadline_us)
    {
      h2o_evloop_run (loop, 20);
      if (sgr_config_state_revision (sgr_config_io_state (io)) < in_force)
        return false;
      in_force = sgr_config_state_revision (sgr_config_io_state (io));
    }
  return in_force == revision;
}

static sgr_config_io_t *
reader_create (h2o_loop_t *loop, sgr_store_t *store)
{
  static const sgr_config_io_callbacks_t callbacks = { 0 };
  sgr_config_io_options_t options;

  sgr_config_io_options_init (&options);
  options.sync.start_delay_ms = 0;
  options.sync.settle_ms = 20;
  options.sync.watch_ms = 2000;
  options.source = sgr_platform_adapter.config;
  options.store = store;
  return sgr_config_io_create (loop, &options, &callbacks, NULL);
}

/* Guards against a reader that does not put a change in force after the store was restored, or that
   returns to the older document of the restored store. */
static void
test_reader_after_restore_puts_next_change_in_force (void **state)
{
  char before[512], restored[512], written_again[512], next[512];
  const scripted_exchange_t exchanges[]
      = { { "kv-range?prefix=op/config ", REPLY, 200,
            document_reply (before, sizeof before, "items", "00000002", 30), FIRST },
          { "kv-watch?prefix=op/config&after=30&", CLOSE_WITHOUT_REPLY, 0, NULL, NULL },
          { "kv-range?prefix=op/config ", REPLY, 200,
            document_reply (restored, sizeof restored, "items", "00000001", 10), SECOND },
          { "kv-watch?prefix=op/config&after=10&", REPLY, 200,
            document_reply (written_again, sizeof written_again, "events", "00000002", 12),
            SECOND },
          { "kv-watch?prefix=op/config&after=12&", REPLY, 200,
            document_reply (next, sizeof next, "events", "00000003", 14), SECOND } };
  sgr_settings_t settings = { 0 };
  h2o_loop_t *loop = h2o_evloop_create ();
  scripted_store_t server;
  sgr_config_io_t *io;
  sgr_store_t *store;

  sgr_log_setup ("test", SGR_LOG_ERROR);
  scripted_store_start (&server, exchanges, sizeof exchanges / sizeof exchanges[0],
                        &settings.store);
  store = sgr_platform_store_create (loop, &settings);
  io = reader_create (loop, store);
  if (!revision_wait (loop, io, 2) || !revision_wait (loop, io, 3))
    fail_msg ("revision %lu in force, expected 3; last request: %s",
              sgr_config_state_revision (sgr_config_io_state (io)), server.request);
  assert_int_equal (sgr_config_io_stats (io)->records_refused, 0);
  /* Only the cut watch counts as failed; the restored store causes no further delay. */
  assert_int_equal (sgr_config_io_sync_stats (io)->store_failures, 1);
  sgr_config_io_destroy (io);
  case_finish ("reader", store, loop, &server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_versions_of_two_generations),
    cmocka_unit_test (test_restore_seen_by_another_call),
    cmocka_unit_test (test_reader_after_restore_puts_next_change_in_force),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
