#include <arpa/inet.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "buffer.h"
#include "platform.h"
#include "settings.h"

/* Client of the platform's store against scripted answers: what a caller may believe after each way
   in which a call can end. */

#define STEPS_MAX 3
#define ANY_VERSION SGR_STORE_ANY_VERSION
#define KEY "some/key"

typedef enum
{
  ANSWER,
  CLOSE_UNREAD, /* closes before it has read the call */
  CLOSE,        /* closes after it has read the call */
  CUT,          /* closes in the middle of the answer */
  SILENCE,      /* keeps the connection open without an answer */
} behaviour_t;

typedef enum
{
  GET,
  LIST,
  SWAP,
  REMOVE,
  WATCH,
} kind_t;

/* One call to the server: what it has to contain, and what comes back. */
typedef struct
{
  const char *wanted;
  behaviour_t behaviour;
  int status;
  const char *body;
} step_t;

typedef struct
{
  const char *name;
  kind_t kind;
  sgr_store_outcome_t outcome;
  uint64_t expected; /* of a swap, version; of a watch, version that is known */
  step_t steps[STEPS_MAX];
  uint64_t version;
  const char *value;
  size_t items;
} store_case_t;

#define ITEM "{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"rev\":7,\"created\":3,\"lease\":0"

static const store_case_t cases[] = {
  { "get",
    GET,
    SGR_STORE_OK,
    0,
    { { "GET /siskingrade/kv-key?key=some/key ", ANSWER, 200, ITEM ",\"currentRev\":9}" } },
    7,
    "hello",
    0 },
  { "get, no such key", GET, SGR_STORE_OK, 0, { { "kv-key", ANSWER, 404, "{}" } }, 0, NULL, 0 },
  { "get, overloaded",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-key", ANSWER, 429, "{}" } },
    0,
    NULL,
    0 },
  { "get, down", GET, SGR_STORE_UNAVAILABLE, 0, { { "kv-key", ANSWER, 503, "" } }, 0, NULL, 0 },
  { "get, no JSON",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-key", ANSWER, 200, "hello" } },
    0,
    NULL,
    0 },
  { "get, no base64",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-key", ANSWER, 200, "{\"key\":\"some/key\",\"value\":\"%%\",\"rev\":7}" } },
    7,
    NULL,
    0 },
  { "get, value of another type",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-key", ANSWER, 200, "{\"key\":\"some/key\",\"value\":5,\"rev\":7}" } },
    7,
    NULL,
    0 },
  { "get, reset before it is read",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { NULL, CLOSE_UNREAD, 0, NULL } },
    0,
    NULL,
    0 },
  { "get, reply lost",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-key", CLOSE, 0, NULL } },
    0,
    NULL,
    0 },
  { "get, reply cut",
    GET,
    SGR_STORE_UNAVAILABLE,
    0,
    { { "kv-key", CUT, 200, ITEM "}" } },
    0,
    NULL,
    0 },
  { "get, silence", GET, SGR_STORE_UNAVAILABLE, 0, { { "kv-key", SILENCE, 0, NULL } }, 0, NULL, 0 },

  { "list",
    LIST,
    SGR_STORE_OK,
    0,
    { { "GET /siskingrade/kv-range?prefix=some/key ", ANSWER, 200,
        "{\"items\":[" ITEM
        "},{\"key\":\"some/key2\",\"value\":\"\",\"rev\":8}],\"hasMore\":false}" } },
    0,
    NULL,
    2 },
  { "list, items that cannot be read",
    LIST,
    SGR_STORE_OK,
    0,
    { { "kv-range", ANSWER, 200,
        "{\"items\":[{\"value\":\"\",\"rev\":1},7,{\"key\":\"a\",\"value\":\"%\"}," ITEM "}]}" } },
    0,
    NULL,
    1 },
  { "list, down", LIST, SGR_STORE_UNAVAILABLE, 0, { { "kv-range", ANSWER, 503, "" } }, 0, NULL, 0 },

  { "swap",
    SWAP,
    SGR_STORE_OK,
    7,
    { { "\"precondition\":[{\"key\":\"some/key\",\"rev\":7}]", ANSWER, 200, "{\"rev\":12}" } },
    12,
    NULL,
    0 },
  { "swap, new key",
    SWAP,
    SGR_STORE_OK,
    0,
    { { "\"precondition\":[{\"key\":\"some/key\",\"rev\":0}]", ANSWER, 200, "{\"rev\":12}" } },
    12,
    NULL,
    0 },
  { "swap, any version",
    SWAP,
    SGR_STORE_OK,
    ANY_VERSION,
    { { "\"precondition\":[],\"puts\":[{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"lease\":0}]",
        ANSWER, 200, "{\"rev\":12}" } },
    12,
    NULL,
    0 },
  { "remove",
    REMOVE,
    SGR_STORE_OK,
    7,
    { { "\"puts\":[],\"deletes\":[\"some/key\"]", ANSWER, 200, "{\"rev\":13}" } },
    13,
    NULL,
    0 },
  { "swap, conflict",
    SWAP,
    SGR_STORE_CONFLICT,
    7,
    { { "kv-txn", ANSWER, 412, "{\"items\":[" ITEM "}]}" } },
    7,
    NULL,
    0 },
  { "swap, conflict without the key",
    SWAP,
    SGR_STORE_CONFLICT,
    7,
    { { "kv-txn", ANSWER, 412, "{\"items\":[]}" } },
    0,
    NULL,
    0 },
  { "swap, down", SWAP, SGR_STORE_UNAVAILABLE, 7, { { "kv-txn", ANSWER, 503, "" } }, 0, NULL, 0 },
  { "swap, overloaded",
    SWAP,
    SGR_STORE_UNAVAILABLE,
    7,
    { { "kv-txn", ANSWER, 429, "" } },
    0,
    NULL,
    0 },
  { "swap, other status",
    SWAP,
    SGR_STORE_UNKNOWN,
    7,
    { { "kv-txn", ANSWER, 500, "" } },
    0,
    NULL,
    0 },
  { "swap, reply lost", SWAP, SGR_STORE_UNKNOWN, 7, { { "kv-txn", CLOSE, 0, NULL } }, 0, NULL, 0 },
  { "swap, reply cut",
    SWAP,
    SGR_STORE_UNKNOWN,
    7,
    { { "kv-txn", CUT, 200, "{\"rev\":12}" } },
    0,
    NULL,
    0 },
  { "swap, silence", SWAP, SGR_STORE_UNKNOWN, 7, { { "kv-txn", SILENCE, 0, NULL } }, 0, NULL, 0 },

  { "first watch reads the key",
    WATCH,
    SGR_STORE_OK,
    0,
    { { "kv-range?prefix=some/key ", ANSWER, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" } },
    7,
    "hello",
    0 },
  { "watch goes on from the revision that was read",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", ANSWER, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch?prefix=some/key&after=9&waitMs=50 ", ANSWER, 200,
        "{\"events\":[{\"key\":\"some/key2\",\"value\":\"\",\"rev\":10},"
        "{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"rev\":11}],\"currentRev\":11}" } },
    11,
    "hello",
    0 },
  { "watch, the last of several events",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", ANSWER, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", ANSWER, 200,
        "{\"events\":[{\"key\":\"some/key\",\"value\":\"%%\",\"rev\":10},"
        "{\"key\":\"some/key\",\"value\":\"aGVsbG8=\",\"rev\":11}],\"currentRev\":11}" } },
    11,
    "hello",
    0 },
  { "watch, no news",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", ANSWER, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", ANSWER, 200, "{\"events\":[],\"currentRev\":9}" } },
    7,
    NULL,
    0 },
  { "watch, the key is gone",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", ANSWER, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", ANSWER, 200,
        "{\"events\":[{\"key\":\"some/key\",\"rev\":10,\"tombstone\":true}],\"currentRev\":10}" } },
    7,
    NULL,
    0 },
  { "watch, history is gone",
    WATCH,
    SGR_STORE_OK,
    7,
    { { "kv-range", ANSWER, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", ANSWER, 410, "{}" },
      { "kv-range", ANSWER, 200,
        "{\"items\":[{\"key\":\"some/"
        "key\",\"value\":\"aGVsbG8=\",\"rev\":20}],\"currentRev\":21}" } },
    20,
    "hello",
    0 },
  { "watch, cut",
    WATCH,
    SGR_STORE_UNAVAILABLE,
    7,
    { { "kv-range", ANSWER, 200, "{\"items\":[" ITEM "}],\"currentRev\":9}" },
      { "kv-watch", CLOSE, 0, NULL } },
    0,
    NULL,
    0 },
};

typedef struct
{
  const store_case_t *row;
  int listener;
  bool has_differed;
  char got[4096];
} server_t;

static size_t
call_read (int fd, char *text, size_t size)
{
  const char *body;
  const char *field;
  size_t length = 0;

  for (;;)
    {
      ssize_t more = recv (fd, text + length, size - 1 - length, 0);

      if (more <= 0)
        return length;
      length += (size_t)more;
      text[length] = '\0';
      body = strstr (text, "\r\n\r\n");
      field = strstr (text, "Content-Length: ");
      if (body != NULL && field != NULL
          && strlen (body + 4) >= strtoul (field + strlen ("Content-Length: "), NULL, 10))
        return length;
    }
}

static void
step_answer (int fd, const step_t *step)
{
  char text[2048];
  int length = snprintf (text, sizeof text, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s",
                         step->status, strlen (step->body), step->body);

  send (fd, text, (size_t)(step->behaviour == CUT ? length - 2 : length), MSG_NOSIGNAL);
}

/* Takes the calls of the script, one connection each. */
static void *
server_run (void *argument)
{
  server_t *server = argument;

  for (size_t i = 0; i < STEPS_MAX; i++)
    {
      const step_t *step = &server->row->steps[i];
      struct linger reset = { .l_onoff = 1 };
      char rest[256];
      int fd;

      if (step->status == 0 && step->behaviour == ANSWER)
        return NULL;
      fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      if (step->behaviour == CLOSE_UNREAD)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      else
        {
          call_read (fd, server->got, sizeof server->got);
          if (strstr (server->got, step->wanted) == NULL)
            server->has_differed = true;
        }
      if (step->behaviour == ANSWER || step->behaviour == CUT)
        step_answer (fd, step);
      /* The client ends it. */
      while (step->behaviour == SILENCE && recv (fd, rest, sizeof rest, 0) > 0)
        ;
      close (fd);
      if (server->has_differed)
        return NULL;
    }
  return NULL;
}

typedef struct
{
  bool is_done;
  sgr_store_outcome_t outcome;
  uint64_t version;
  size_t items;
  char value[32];
  bool has_value;
} got_t;

static void
on_reply (void *ctx, const sgr_store_reply_t *reply)
{
  got_t *got = ctx;

  assert_false (got->is_done);
  got->is_done = true;
  got->outcome = reply->outcome;
  got->version = reply->version;
  got->items = reply->item_count;
  got->has_value = reply->value != NULL;
  assert_true (reply->length < sizeof got->value);
  if (got->has_value)
    memcpy (got->value, reply->value, reply->length);
  if (reply->outcome != SGR_STORE_OK)
    assert_non_null (reply->reason);
}

static int
listener_open (sgr_address_t *address)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  assert_int_equal (bind (fd, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal (listen (fd, 4), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&at, &length), 0);
  *address = (sgr_address_t){ INADDR_LOOPBACK, ntohs (at.sin_port) };
  return fd;
}

static void
call_start (sgr_store_t *store, const store_case_t *row, got_t *got)
{
  sgr_store_call_t *call = NULL;

  switch (row->kind)
    {
    case GET:
      call = store->get (store, KEY, on_reply, got);
      break;
    case LIST:
      call = store->list (store, KEY, on_reply, got);
      break;
    case SWAP:
      call = store->swap (store, KEY, row->expected, "hello", 5, on_reply, got);
      break;
    case REMOVE:
      call = store->swap (store, KEY, row->expected, NULL, 0, on_reply, got);
      break;
    case WATCH:
      call = store->watch (store, KEY, row->expected, 50, on_reply, got);
      break;
    }
  assert_non_null (call);
}

/* h2o leaves closed sockets to the next run of the loop. */
static void
loop_end (h2o_loop_t *loop)
{
  h2o_evloop_run (loop, 10);
  h2o_evloop_destroy (loop);
}

static void
row_run (const store_case_t *row)
{
  sgr_settings_t settings = { 0 };
  server_t server = { .row = row };
  h2o_loop_t *loop = h2o_evloop_create ();
  got_t got = { 0 };
  pthread_t thread;
  sgr_store_t *store;

  server.listener = listener_open (&settings.store);
  assert_int_equal (pthread_create (&thread, NULL, server_run, &server), 0);
  store = sgr_platform_store_create (loop, &settings);
  call_start (store, row, &got);
  while (!got.is_done)
    h2o_evloop_run (loop, 10000);
  sgr_platform_store_destroy (store);
  loop_end (loop);
  shutdown (server.listener, SHUT_RDWR);
  pthread_join (thread, NULL);
  close (server.listener);
  if (server.has_differed)
    fail_msg ("%s: another call: %s", row->name, server.got);
  if (got.outcome != row->outcome || got.version != row->version || got.items != row->items
      || got.has_value != (row->value != NULL)
      || (row->value != NULL && strcmp (got.value, row->value) != 0))
    fail_msg ("%s: outcome %d version %lu items %zu value %s", row->name, got.outcome, got.version,
              got.items, got.has_value ? got.value : "none");
}

/* Guards against a write that is said not to have been done although it may be, against a value
   that is not the store's, and against a watch that misses a change. */
static void
test_outcomes (void **state)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    row_run (&cases[i]);
}

/* Guards against a write that counts as unknown, and so as a conflict of its own, when nothing
   takes connections. */
static void
test_nothing_listens (void **state)
{
  static const kind_t kinds[] = { GET, SWAP, WATCH };

  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      const store_case_t row = { .name = "refused", .kind = kinds[i] };
      sgr_settings_t settings = { 0 };
      h2o_loop_t *loop = h2o_evloop_create ();
      sgr_store_t *store;
      got_t got = { 0 };

      close (listener_open (&settings.store));
      store = sgr_platform_store_create (loop, &settings);
      call_start (store, &row, &got);
      while (!got.is_done)
        h2o_evloop_run (loop, 10000);
      assert_int_equal (got.outcome, SGR_STORE_UNAVAILABLE);
      sgr_platform_store_destroy (store);
      loop_end (loop);
    }
}

/* Guards against a call that ends after its client, or twice. */
static void
test_cancel (void **state)
{
  sgr_settings_t settings = { 0 };
  h2o_loop_t *loop = h2o_evloop_create ();
  int listener = listener_open (&settings.store);
  sgr_store_t *store = sgr_platform_store_create (loop, &settings);
  got_t got[3] = { 0 };
  sgr_store_call_t *first = store->get (store, KEY, on_reply, &got[0]);

  store->watch (store, KEY, 0, 50, on_reply, &got[1]);
  store->swap (store, KEY, 0, "x", 1, on_reply, &got[2]);
  store->cancel (store, first);
  h2o_evloop_run (loop, 10);
  sgr_platform_store_destroy (store);
  loop_end (loop);
  for (size_t i = 0; i < 3; i++)
    assert_false (got[i].is_done);
  close (listener);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_outcomes),
    cmocka_unit_test (test_nothing_listens),
    cmocka_unit_test (test_cancel),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
