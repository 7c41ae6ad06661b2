#include <arpa/inet.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

#include "data_account.h"
#include "http_probe.h"
#include "node_fixture.h"
#include "platform.h"

/* Tests the check of keys at an entry, over its sockets: a data task in the test's own process,
   with the platform's header fields, and a target that keeps the head of the last request. */

#define KEY_ACME "acme-key-0123456789"
#define KEY_BOLT "bolt-key-0123456789"
#define HEAD_BYTES 4096
/* Calls that are open at a time on one connection. */
#define CONNECTION_CALLS 30
#define EVENT_TIMEOUT_US (20 * SGR_USEC_PER_SEC)

/* Head of the last request that the target received. */
static char head[HEAD_BYTES];
static pthread_mutex_t head_mutex = PTHREAD_MUTEX_INITIALIZER;
static int listener;
static pthread_t target_thread;
static sgr_address_t target_address;
static sgr_settings_t settings;
static sgr_data_task_t *task;
/* Revision of the last snapshot. */
static uint64_t revision;

/* Copies a field of a request head with its line end, "" if it is missing. */
static void
field_copy (const char *text, const char *name, char *field, size_t size)
{
  const char *at = strcasestr (text, name);
  const char *end = at != NULL ? strstr (at, "\r\n") : NULL;

  snprintf (field, size, "%.*s", end != NULL ? (int)(end + 2 - at) : 0, at != NULL ? at : "");
}

/* Answers each connection's request with its request id, and closes the connection. Stops waiting
   for a request after a time: a task that was stopped leaves the connection of an open request
   open. */
static void *
target_run (void *argument)
{
  const struct timeval timeout = { .tv_sec = 5 };
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      char text[HEAD_BYTES] = "", answer[512], id[128];
      size_t length = 0;
      ssize_t received;

      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
      while (strstr (text, "\r\n\r\n") == NULL
             && (received = recv (fd, text + length, sizeof text - 1 - length, 0)) > 0)
        {
          length += (size_t)received;
          text[length] = '\0';
        }
      pthread_mutex_lock (&head_mutex);
      memcpy (head, text, sizeof head);
      pthread_mutex_unlock (&head_mutex);
      field_copy (text, "x-request-id:", id, sizeof id);
      snprintf (answer, sizeof answer,
                "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nConnection: close\r\n\r\nok", id);
      send (fd, answer, strlen (answer), MSG_NOSIGNAL);
      close (fd);
    }
  return NULL;
}

static void
on_drained (void *ctx, size_t open_calls)
{
}

static void
on_key_bind (void *ctx, sgr_data_key_bind_request_t *bind)
{
}

static void
on_target_unreachable (void *ctx)
{
}

static const sgr_data_task_events_t events = { .drained = on_drained,
                                               .key_bind = on_key_bind,
                                               .target_unreachable = on_target_unreachable };

static void
settings_make (void)
{
  sgr_buffer_t errors = { 0 };
  char text[512];

  snprintf (text, sizeof text,
            "node:\n  deployment: test\n  name: one\n  region: test\n  failure_domain: test-1\n"
            "listen:\n  callers: 127.0.0.1:%u\n  peers: 127.0.0.1:%u\n  control: 127.0.0.1:%u\n"
            "store: 127.0.0.1:1\napproval: outside\n",
            sgr_fixture_port_find (), sgr_fixture_port_find (), sgr_fixture_port_find ());
  if (sgr_settings_parse (&settings, "test", text, strlen (text), &errors) != SGR_OK)
    fail_msg ("%.*s", (int)errors.length, (const char *)errors.bytes);
  sgr_buffer_release (&errors);
}

static int
group_setup (void **state)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  sgr_buffer_t errors = { 0 };

  /* As the nodes do: a caller may have left when its answer is written. */
  signal (SIGPIPE, SIG_IGN);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_int_equal (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (listener, 16), 0);
  assert_int_equal (getsockname (listener, (struct sockaddr *)&address, &size), 0);
  target_address = (sgr_address_t){ .ip = INADDR_LOOPBACK, .port = ntohs (address.sin_port) };
  assert_int_equal (pthread_create (&target_thread, NULL, target_run, NULL), 0);
  settings_make ();
  task = sgr_data_task_start (&settings, sgr_platform_adapter.fields, 1, &events, NULL, &errors);
  sgr_buffer_release (&errors);
  return task != NULL ? 0 : -1;
}

static int
group_teardown (void **state)
{
  sgr_data_task_stop (task);
  sgr_data_task_join (task);
  shutdown (listener, SHUT_RDWR);
  pthread_join (target_thread, NULL);
  close (listener);
  return 0;
}

/* A snapshot of a new revision: a member with the local target of the service "one", and the routes
   "/private/" and "/public/" of the host "test". */
static sgr_snapshot_t *
snapshot_make (void)
{
  static const sgr_route_part_t part = { "one", 1 };
  sgr_snapshot_t *snapshot = sgr_snapshot_create (1, 1, 2);

  snapshot->local = (sgr_local_target_t){ .service = "one",
                                          .address = target_address,
                                          .state = SGR_TARGET_SERVING,
                                          .slots = 4,
                                          .connections = 4 };
  snapshot->members[0] = (sgr_member_t){ .id = sgr_node_id_of ("one"),
                                         .boot = 1,
                                         .name = "one",
                                         .failure_domain = "test-1",
                                         .data_address = settings.peers,
                                         .service = "one",
                                         .target_state = SGR_TARGET_SERVING,
                                         .slots = 4 };
  snapshot->member_count = 1;
  snapshot->config_revision = ++revision;
  snapshot->newest_revision = revision;
  sgr_policy_init (&snapshot->policies[0], "one");
  snapshot->policy_count = 1;
  for (size_t i = 0; i < 2; i++)
    snapshot->routes[i] = (sgr_route_t){
      .host = "test", .parts = &part, .part_count = 1, .idempotency = SGR_IDEMPOTENCY_ALWAYS
    };
  strcpy (snapshot->routes[0].name, "private");
  snapshot->routes[0].prefix = "/private/";
  strcpy (snapshot->routes[1].name, "public");
  snapshot->routes[1].prefix = "/public/";
  snapshot->routes[1].is_public = true;
  snapshot->route_count = 2;
  return snapshot;
}

/* Gives the snapshot the accounts "acme" and "bolt"; @with_acme_key tells whether the former has a
   key. */
static void
accounts_set (sgr_snapshot_t *snapshot, bool with_acme_key)
{
  sgr_account_t accounts[] = { { .name = "acme", .priority = 3 }, { .name = "bolt" } };
  sgr_account_key_t keys[] = {
    { .hash = sgr_account_key_hash (KEY_BOLT, strlen (KEY_BOLT)), .account = 1 },
    { .hash = sgr_account_key_hash (KEY_ACME, strlen (KEY_ACME)), .account = 0 },
  };

  sgr_snapshot_accounts_set (snapshot, accounts, 2, keys, with_acme_key ? 2 : 1);
}

static uint64_t
metric (const char *line)
{
  sgr_buffer_t text = { 0 };
  const char *at;
  uint64_t value;

  sgr_metrics_print (sgr_data_task_metrics (task), &text);
  sgr_buffer_append (&text, "", 1);
  assert_null (strstr ((const char *)text.bytes, KEY_ACME));
  at = strstr ((const char *)text.bytes, line);
  value = at != NULL ? strtoull (at + strlen (line), NULL, 10) : 0;
  sgr_buffer_release (&text);
  return value;
}

/* Sends the snapshot and waits until the task has applied it: a request of an unknown route shows
   the revision, because the route "/revision-N/" is only in this snapshot. */
static void
snapshot_apply (sgr_snapshot_t *snapshot)
{
  uint64_t end_us = sgr_clock_monotonic_us () + EVENT_TIMEOUT_US;
  char path[64];
  sgr_probe_request_t request
      = { .port = settings.callers.port, .path = path, .fields = "Connection: close\r\n" };
  sgr_route_t added;
  int status = 0;

  snprintf (path, sizeof path, "/revision-%lu/", revision);
  snapshot->routes = realloc (snapshot->routes, 3 * sizeof *snapshot->routes);
  assert_non_null (snapshot->routes);
  added = snapshot->routes[1];
  strcpy (added.name, "revision");
  added.prefix = path;
  sgr_route_copy (&snapshot->routes[2], &added);
  snapshot->route_count = 3;
  sgr_data_task_snapshot_send (task, snapshot);
  while (status != 200)
    {
      sgr_probe_answer_t answer;

      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_probe_call (&request, &answer);
      status = answer.status;
      sgr_probe_release (&answer);
      sgr_fixture_poll_sleep ();
    }
}

/* Sends requests on one connection and reads until as many answers as @statuses are there; the text
   ends with a zero. */
static void
exchange (int fd, const char *requests, const int *statuses, size_t count)
{
  static char text[65536];
  size_t length = 0;
  const char *at = text;

  text[0] = '\0';
  assert_int_equal (send (fd, requests, strlen (requests), MSG_NOSIGNAL),
                    (ssize_t)strlen (requests));
  for (size_t i = 0; i < count; i++)
    {
      char line[16];

      /* An answer ends with "ok" of the target or with the brace of a refusal. */
      while (strstr (at, "\r\n\r\nok") == NULL && strstr (at, "}\n") == NULL)
        {
          ssize_t received = recv (fd, text + length, sizeof text - 1 - length, 0);

          if (received <= 0)
            fail_msg ("answer %zu is missing: %s", i, text);
          length += (size_t)received;
          text[length] = '\0';
        }
      snprintf (line, sizeof line, "HTTP/1.1 %d ", statuses[i]);
      if (strncmp (at, line, strlen (line)) != 0)
        fail_msg ("answer %zu: expected %d, found %.400s", i, statuses[i], at);
      at = strstr (at, statuses[i] == 200 ? "\r\n\r\nok" : "}\n");
      assert_non_null (at);
      at += statuses[i] == 200 ? strlen ("\r\n\r\nok") : strlen ("}\n");
    }
}

static int
connection_open (void)
{
  struct timeval timeout = { .tv_sec = 10 };
  int fd = sgr_probe_connect (settings.callers.port);

  assert_true (fd >= 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return fd;
}

#define GET(path, fields) "GET " path " HTTP/1.1\r\nHost: test\r\n" fields "\r\n"
#define TOKEN(key) "Authorization: Token " key "\r\n"

/* Guards against a request that is served without a known key, a call of an account or of a public
   route that is refused, and a final 401 from a node that knows of a newer configuration. */
static void
test_keys (void **state)
{
  static const struct
  {
    const char *request;
    int status;
    int status_behind; /* while another node has a newer configuration */
  } cases[] = {
    { GET ("/private/", TOKEN (KEY_ACME)), 200, 200 },
    { GET ("/private/", TOKEN (KEY_BOLT)), 200, 200 },
    { GET ("/private/", "AUTHORIZATION:   token    " KEY_ACME "  \r\n"), 200, 200 },
    { GET ("/private/", ""), 401, 503 },
    { GET ("/private/", "Authorization:\r\n"), 401, 503 },
    { GET ("/private/", "Authorization: Token\r\n"), 401, 503 },
    { GET ("/private/", "Authorization: Token \r\n"), 401, 503 },
    { GET ("/private/", "Authorization: " KEY_ACME "\r\n"), 401, 503 },
    { GET ("/private/", "Authorization: Bearer " KEY_ACME "\r\n"), 401, 503 },
    { GET ("/private/", "Authorization: Token" KEY_ACME "\r\n"), 401, 503 },
    { GET ("/private/", TOKEN (KEY_ACME "x")), 401, 503 },
    { GET ("/private/", TOKEN (KEY_ACME " x")), 401, 503 },
    { GET ("/private/", TOKEN (KEY_ACME) TOKEN (KEY_BOLT)), 401, 503 },
    { GET ("/private/", "X-Tenant-Id: acme\r\nSiskingrade-Tenant: acme\r\n"), 401, 503 },
    { GET ("/private/", "Connection: authorization\r\n" TOKEN (KEY_ACME)), 401, 503 },
    { GET ("/public/", ""), 200, 200 },
    { GET ("/public/", TOKEN ("unknown")), 200, 200 },
    { GET ("/other/", ""), 404, 503 },
    { "POST /.siskingrade/keys?service=one HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n",
      401, 503 },
  };
  size_t refused = 0;
  uint64_t counted = metric ("requests_refused_total{status=\"401\",reason=\"unknown-key\"} ");

  for (int is_behind = 0; is_behind < 2; is_behind++)
    {
      sgr_snapshot_t *snapshot = snapshot_make ();

      accounts_set (snapshot, true);
      snapshot->newest_revision += (uint64_t)is_behind;
      /* Unlike a 404, a 401 is not given however long ago the node heard of the newer one; the time
         is recent, so that a 404 is not given either. */
      snapshot->newest_seen_us = sgr_clock_monotonic_us ();
      snapshot_apply (snapshot);
      for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
        {
          int status = is_behind ? cases[i].status_behind : cases[i].status;
          int fd = connection_open ();

          refused += status == 401;
          exchange (fd, cases[i].request, &status, 1);
          close (fd);
        }
    }
  assert_int_equal (metric ("requests_refused_total{status=\"401\",reason=\"unknown-key\"} "),
                    counted + refused);
  assert_true (metric ("siskingrade_account_calls_total{account=\"acme\"} ") >= 4);
  assert_true (metric ("siskingrade_account_calls_total{account=\"public\"} ") >= 4);
}

/* Guards against an answer to an unknown key that does not say what happened, or that asks the
   caller to come back with the same key. */
static void
test_refusal (void **state)
{
  sgr_probe_request_t request = { .port = settings.callers.port,
                                  .path = "/private/",
                                  .fields = TOKEN ("unknown-key-of-a-caller") };
  sgr_snapshot_t *snapshot = snapshot_make ();
  sgr_probe_answer_t answer;
  char text[64];

  accounts_set (snapshot, true);
  snapshot_apply (snapshot);
  sgr_probe_call (&request, &answer);
  assert_int_equal (answer.status, 401);
  assert_true (sgr_probe_field (&answer, "Siskingrade-Outcome", text, sizeof text));
  assert_string_equal (text, "not-run");
  assert_true (sgr_probe_field (&answer, "Siskingrade-Reason", text, sizeof text));
  assert_string_equal (text, "unknown-key");
  assert_true (sgr_probe_field (&answer, "WWW-Authenticate", text, sizeof text));
  assert_string_equal (text, "Token");
  assert_false (sgr_probe_field (&answer, "Retry-After", text, sizeof text));
  assert_null (strstr (answer.body, "of-a-caller"));
  sgr_probe_release (&answer);
}

/* Guards against calls that run although their account cannot be carried out, against a final 401
   for a key that the configuration may have, and against a target that is told the label of an
   account in place of its name. */
static void
test_unusable_accounts (void **state)
{
  static const int refused = 503, served = 200;
  sgr_account_t accounts[] = { { .name = "acme", .is_unusable = true },
                               { .name = "bolt", .full_name = "Bolt & Nut, a long name" } };
  sgr_account_key_t keys[] = {
    { .hash = sgr_account_key_hash (KEY_BOLT, strlen (KEY_BOLT)), .account = 1 },
    { .hash = sgr_account_key_hash (KEY_ACME, strlen (KEY_ACME)), .account = 0 },
  };
  sgr_snapshot_t *snapshot = snapshot_make ();
  int fd = connection_open ();

  sgr_snapshot_accounts_set (snapshot, accounts, 2, keys, 2);
  snapshot->has_hidden_keys = true;
  snapshot_apply (snapshot);
  exchange (fd, GET ("/private/", TOKEN (KEY_ACME)), &refused, 1);
  exchange (fd, GET ("/private/", TOKEN ("unknown")), &refused, 1);
  exchange (fd, GET ("/private/", ""), &refused, 1);
  exchange (fd, GET ("/public/", ""), &served, 1);
  exchange (fd, GET ("/private/", TOKEN (KEY_BOLT)), &served, 1);
  pthread_mutex_lock (&head_mutex);
  assert_non_null (strstr (head, "x-tenant-id: Bolt & Nut, a long name\r\n"));
  pthread_mutex_unlock (&head_mutex);
  /* The only account cannot be read. */
  snapshot = snapshot_make ();
  snapshot->has_accounts = true;
  snapshot->has_hidden_keys = true;
  snapshot_apply (snapshot);
  exchange (fd, GET ("/private/", ""), &refused, 1);
  exchange (fd, GET ("/public/", ""), &served, 1);
  close (fd);
  assert_true (metric ("requests_refused_total{status=\"503\",reason=\"unusable-account\"} ") == 1);
  assert_true (metric ("requests_refused_total{status=\"503\",reason=\"hidden-key\"} ") == 3);
}

/* Guards against calls without a key, or with a withdrawn one, that run once the last account or
   the last key is gone although accounts are in use. */
static void
test_last_account_and_key (void **state)
{
  static const int served = 200, refused = 401;
  sgr_account_t account = { .name = "acme" };

  for (size_t accounts = 0; accounts < 2; accounts++)
    {
      sgr_snapshot_t *snapshot = snapshot_make ();
      int fd = connection_open ();

      accounts_set (snapshot, true);
      snapshot_apply (snapshot);
      exchange (fd, GET ("/private/", TOKEN (KEY_ACME)), &served, 1);
      snapshot = snapshot_make ();
      sgr_snapshot_accounts_set (snapshot, &account, accounts, NULL, 0);
      snapshot_apply (snapshot);
      exchange (fd, GET ("/private/", TOKEN (KEY_ACME)), &refused, 1);
      exchange (fd, GET ("/private/", ""), &refused, 1);
      exchange (fd, GET ("/public/", ""), &served, 1);
      close (fd);
    }
}

/* Guards against a 401 from a node that has known of a newer configuration for long: it may have
   the key. A 404 is given again after a time. */
static void
test_no_401_while_behind_for_long (void **state)
{
  static const int status = 503;
  sgr_snapshot_t *snapshot = snapshot_make ();
  int fd;

  accounts_set (snapshot, true);
  snapshot->newest_revision++;
  snapshot->newest_seen_us = sgr_clock_monotonic_us () - 3600 * SGR_USEC_PER_SEC;
  snapshot_apply (snapshot);
  fd = connection_open ();
  exchange (fd, GET ("/private/", TOKEN ("new-key")), &status, 1);
  close (fd);
}

/* Guards against a check at the first request of a connection only: known and unknown keys follow
   each other on one connection, also without waiting for answers, and a withdrawn key is refused on
   a connection on which it was accepted before. */
static void
test_each_request_is_checked (void **state)
{
  static const int first[] = { 200, 401, 200, 401, 200 };
  static const int second[] = { 401, 200 };
  sgr_snapshot_t *snapshot = snapshot_make ();
  int fd = connection_open ();

  accounts_set (snapshot, true);
  snapshot_apply (snapshot);
  exchange (fd,
            GET ("/private/1", TOKEN (KEY_ACME)) GET ("/private/2", TOKEN ("wrong"))
                GET ("/private/3", TOKEN (KEY_BOLT)) GET ("/private/4", "") GET ("/public/5", ""),
            first, 5);
  snapshot = snapshot_make ();
  accounts_set (snapshot, false);
  snapshot_apply (snapshot);
  exchange (fd, GET ("/private/6", TOKEN (KEY_ACME)) GET ("/private/7", TOKEN (KEY_BOLT)), second,
            2);
  close (fd);
}

/* Guards against accounts that are lost with a snapshot of the same revision, which carries none.
 */
static void
test_snapshot_of_same_revision (void **state)
{
  static const int statuses[] = { 200, 503 };
  uint64_t end_us = sgr_clock_monotonic_us () + EVENT_TIMEOUT_US;
  sgr_probe_request_t request = { .port = settings.callers.port, .path = "/private/" };
  sgr_snapshot_t *snapshot = snapshot_make ();
  int fd, status;

  accounts_set (snapshot, true);
  snapshot_apply (snapshot);
  snapshot = snapshot_make ();
  snapshot->config_revision = --revision;
  snapshot->route_count = 0;
  sgr_data_task_snapshot_send (task, snapshot);
  /* The snapshot tells of a newer revision, so that 503 shows that it was applied. */
  do
    {
      sgr_probe_answer_t answer;

      assert_true (sgr_clock_monotonic_us () < end_us);
      sgr_probe_call (&request, &answer);
      status = answer.status;
      sgr_probe_release (&answer);
    }
  while (status == 401);
  fd = connection_open ();
  exchange (fd, GET ("/private/", TOKEN (KEY_ACME)) GET ("/private/", ""), statuses, 2);
  close (fd);
}

/* Checks the head that the target received: which fields it holds. */
static void
head_check (const char *request, const char *const *present, const char *const *absent)
{
  static const int status = 200;
  int fd = connection_open ();

  exchange (fd, request, &status, 1);
  close (fd);
  pthread_mutex_lock (&head_mutex);
  for (; *present != NULL; present++)
    if (strcasestr (head, *present) == NULL)
      fail_msg ("no \"%s\" in %s", *present, head);
  for (; *absent != NULL; absent++)
    if (strcasestr (head, *absent) != NULL)
      fail_msg ("\"%s\" in %s", *absent, head);
  pthread_mutex_unlock (&head_mutex);
}

#define FORGED                                                                                     \
  "X-Tenant-Id: forged\r\nx-tenant-id: forged\r\nX-TENANT-ID:forged\r\nX_Tenant_Id: forged\r\n"    \
  "Siskingrade-Tenant: forged\r\nX-Other: kept\r\n"

/* Guards against a target that takes a caller for another account, and against a key that leaves
   the entry. Without accounts, the fields are forwarded as ever. */
static void
test_target_fields (void **state)
{
  static const char *const of_account[] = { "\r\nx-tenant-id: acme\r\n", "x-other: kept", NULL };
  static const char *const of_public[] = { "x-other: kept", NULL };
  static const char *const forged[] = { "forged", KEY_ACME, "authorization", NULL };
  static const char *const forged_or_named[]
      = { "forged", KEY_ACME, "authorization", "tenant", NULL };
  static const char *const of_none[]
      = { "x-tenant-id: forged", "authorization: token", "siskingrade-tenant: forged", NULL };
  static const char *const nothing[] = { NULL };
  sgr_snapshot_t *snapshot = snapshot_make ();

  accounts_set (snapshot, true);
  snapshot_apply (snapshot);
  head_check (GET ("/private/", FORGED TOKEN (KEY_ACME)), of_account, forged);
  head_check (GET ("/public/", FORGED TOKEN (KEY_ACME)), of_public, forged_or_named);
  /* A trailer is not a way around the check of the fields. */
  head_check ("POST /private/ HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n" TOKEN (
                  KEY_ACME) "X-Other: kept\r\n\r\n1\r\nx\r\n0\r\nX-Tenant-Id: forged\r\n\r\n",
              of_account, forged);
  snapshot_apply (snapshot_make ());
  head_check (GET ("/private/", FORGED TOKEN (KEY_ACME)), of_none, nothing);
}

/* Guards against a route's rank that outweighs that of an account, and against a public call that
   is served after the calls of the most urgent account. */
static void
test_rank_and_tenant (void **state)
{
  static const struct
  {
    bool has_accounts;
    uint32_t account;
    uint32_t rank;
    const char *tenant;
  } cases[] = {
    { false, SGR_ACCOUNT_NONE, 100, "before" },
    { true, SGR_ACCOUNT_NONE, 100, "public" },
    { true, 0, 3 * 65536 + 100, "acme" },
    { true, 1, 100, "bolt" },
  };
  sgr_snapshot_t *snapshot = snapshot_make ();
  sgr_data_task_t own = { .snapshot = snapshot };
  h2o_req_t req = { 0 };

  accounts_set (snapshot, true);
  sgr_data_accounts_rebuild (&own);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_data_call_request_t request = { .tenant = "before",
                                          .priority = 100,
                                          .has_accounts = cases[i].has_accounts,
                                          .account = cases[i].account };

      sgr_data_account_apply (&own, &req, &request);
      assert_int_equal (request.priority, cases[i].rank);
      assert_string_equal (request.tenant, cases[i].tenant);
    }
  sgr_account_table_destroy (own.accounts);
  sgr_snapshot_destroy (snapshot);
}

/* Whether a metric reaches a value. */
static bool
metric_await (const char *line, uint64_t value)
{
  uint64_t end_us = sgr_clock_monotonic_us () + EVENT_TIMEOUT_US;

  while (metric (line) < value)
    {
      if (sgr_clock_monotonic_us () >= end_us)
        return false;
      sgr_fixture_poll_sleep ();
    }
  return true;
}

/* Guards against gates that are not told of accounts, against calls that are sent on although the
   gate refuses those of their account, and against another account that is refused with them. */
static void
test_over_share (void **state)
{
  static const char gate[]
      = "siskingrade_call_errors_total{outcome=\"not-run\",reason=\"over-share\"} ";
  static const char entry[]
      = "siskingrade_requests_refused_total{status=\"503\",reason=\"over-share\"} ";
  static const char request[] = GET ("/private/", TOKEN (KEY_ACME));
  sgr_snapshot_t *snapshot = snapshot_make ();
  int fds[] = { connection_open (), connection_open () };
  uint64_t throttled_before;
  bool is_refused, is_throttled;

  snapshot->local.slots = 1;
  snapshot->policies[0].queue_max = 1;
  accounts_set (snapshot, true);
  snapshot_apply (snapshot);
  /* The target answers no request while the mutex is locked. */
  pthread_mutex_lock (&head_mutex);
  for (int i = 0; i < CONNECTION_CALLS; i++)
    send (fds[0], request, strlen (request), MSG_NOSIGNAL);
  /* One call runs and one waits. */
  is_refused = metric_await (gate, CONNECTION_CALLS - 2);
  throttled_before = metric (entry);
  for (int i = 0; i < CONNECTION_CALLS; i++)
    send (fds[1], request, strlen (request), MSG_NOSIGNAL);
  is_throttled = metric_await (entry, 1);
  pthread_mutex_unlock (&head_mutex);
  assert_true (is_refused);
  assert_int_equal (throttled_before, 0);
  assert_true (is_throttled);
  close (fds[0]);
  close (fds[1]);
  fds[0] = connection_open ();
  exchange (fds[0], GET ("/private/", TOKEN (KEY_BOLT)), (int[]){ 200 }, 1);
  close (fds[0]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_unusable_accounts),
    cmocka_unit_test (test_last_account_and_key),
    cmocka_unit_test (test_refusal),
    cmocka_unit_test (test_no_401_while_behind_for_long),
    cmocka_unit_test (test_each_request_is_checked),
    cmocka_unit_test (test_snapshot_of_same_revision),
    cmocka_unit_test (test_target_fields),
    cmocka_unit_test (test_rank_and_tenant),
    cmocka_unit_test (test_over_share),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
