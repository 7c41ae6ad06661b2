/* Stand-in for the platform's key-value service, only for tests and the demo. The interface of the
   service is described in docs/interfaces-store.md. */
#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>

#include <h2o.h>

#include "http_listener.h"
#include "store_state.h"

#define VALUE_BYTES_MAX 1000000
/* Values that are longer than the limit by up to this size are read and then refused with 413. */
#define BODY_MARGIN_BYTES 1024
#define WAIT_MAX_MS 60000
#define LEASE_TTL_MAX_MS 3600000
#define EVENT_LOOP_WAIT_MS 5
#define KV_PREFIX "/v1/kv/"
#define LEASE_PREFIX "/v1/leases/"

/**
 * struct faults_t - injected faults, set by query parameters of the same names at /admin
 * @outage: while not 0, every request except those to /admin is refused with status 503
 * @slow_ms: delay of each request in milliseconds
 * @lose_reply: number of next writes that take effect and get no reply
 * @drop_write: number of next writes that have no effect and get no reply
 * @late_ms: milliseconds after which a dropped write is answered with status 504, 0 for never
 * @stale_reads: number of next reads and watches of overwritten keys that are answered with the
 *               previous value and version
 */
typedef struct
{
  uint64_t outage;
  uint64_t slow_ms;
  uint64_t lose_reply;
  uint64_t drop_write;
  uint64_t late_ms;
  uint64_t stale_reads;
} faults_t;

/**
 * enum waiter_kind_t - why the reply to a request is delayed
 * @WAIT_WATCH: the request waits for a newer version of its key
 * @WAIT_WATCH_PREFIX: the request waits for a write or removal of a key with its prefix
 * @WAIT_SLOW: the fault slow_ms is set; the request is handled when it is due
 * @WAIT_LOST: the reply is lost; the request is answered with status 504 when it is due
 */
typedef enum
{
  WAIT_WATCH,
  WAIT_WATCH_PREFIX,
  WAIT_SLOW,
  WAIT_LOST,
} waiter_kind_t;

/**
 * struct waiter_t - a request whose reply is delayed
 * @ref: pointer to this waiter in the memory of the request, cleared when the reply is sent
 * @req: the request, NULL after it was disposed of, for example because its connection closed
 * @key: name of the key of a watch, prefix of a watch of a prefix, path of a slow request
 * @after_version: a watch ends with the first version of its key above this one
 * @generation: generation of the store when the request came
 * @due_us: time of the reply, UINT64_MAX for never
 * @kind: reason of the delay
 */
typedef struct waiter_t
{
  struct waiter_t *next;
  struct waiter_t **ref;
  h2o_req_t *req;
  char *key;
  uint64_t after_version;
  uint64_t generation;
  uint64_t due_us;
  waiter_kind_t kind;
} waiter_t;

/**
 * struct server_t - the stand-in
 * @state: keys and leases
 * @snapshot: copy of @state that can be restored
 * @generation: 1, and one more for each time that @snapshot was restored
 * @faults: injected faults
 * @reads: rate limit of reads
 * @writes: rate limit of writes, which include leases
 * @waiters: requests whose reply is delayed
 * @counts: counters for /admin, by COUNT_GET to COUNT_PENDING
 */
typedef struct
{
  store_state_t state;
  store_state_t snapshot;
  uint64_t generation;
  faults_t faults;
  store_bucket_t reads;
  store_bucket_t writes;
  waiter_t *waiters;
  uint64_t counts[6];
  h2o_loop_t *loop;
  sgr_http_listener_t *listener;
} server_t;

/* Indices of the counters, in the order of count_names. */
enum
{
  COUNT_GET,
  COUNT_WRITE,
  COUNT_WATCH,
  COUNT_LEASE,
  COUNT_REFUSED,
  COUNT_PENDING,
};

static const char *const count_names[]
    = { "gets", "writes", "watches", "leases", "refused", "pending" };

static server_t server = { .generation = 1 };
static volatile sig_atomic_t stopped;

/* Adds a header field with a number to a reply. */
static void
number_header_add (h2o_req_t *req, const char *name, uint64_t value)
{
  char text[24];

  snprintf (text, sizeof text, "%llu", (unsigned long long)value);
  h2o_add_header_by_str (&req->pool, &req->res.headers, name, strlen (name), 0, NULL,
                         h2o_strdup (&req->pool, text, SIZE_MAX).base, strlen (text));
}

/* Replies to a read or a watch. The reply to a watch that ends without a newer value has no body.
 */
static void
send_value (h2o_req_t *req, const store_key_t *key, bool has_newer_value)
{
  bool exists = store_key_version (key) != 0, is_stale = false;
  const sgr_buffer_t *value = exists ? &key->value : NULL;
  uint64_t version = store_key_version (key);

  if (key != NULL && server.faults.stale_reads > 0 && key->has_previous)
    {
      server.faults.stale_reads--;
      value = &key->previous_value;
      version = key->previous_version;
      is_stale = true;
    }
  number_header_add (req, "store-version", version);
  number_header_add (req, "store-generation", server.generation);
  if (!has_newer_value)
    h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("store-no-news"), 0, NULL,
                           H2O_STRLIT ("1"));
  if (!has_newer_value || value == NULL)
    value = NULL;
  req->res.status = exists || is_stale || !has_newer_value ? 200 : 404;
  req->res.reason = req->res.status == 200 ? "OK" : "Not Found";
  req->res.content_length = value != NULL ? value->length : 0;
  h2o_send_inline (req, value != NULL && value->length > 0 ? (const char *)value->bytes : "",
                   req->res.content_length);
}

static void
send_status (h2o_req_t *req, int status, uint64_t version, const char *reason)
{
  number_header_add (req, "store-version", version);
  number_header_add (req, "store-generation", server.generation);
  if (status == 429)
    h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("store-retry-after-ms"), 0,
                           NULL, H2O_STRLIT ("1000"));
  if (status != 200)
    server.counts[COUNT_REFUSED]++;
  sgr_http_reply_error (req, status, reason, "");
}

static void
on_request_disposed (void *ref)
{
  waiter_t *waiter = *(waiter_t **)ref;

  if (waiter != NULL)
    waiter->req = NULL;
}

/* Delays the reply to a request by @wait_ms milliseconds; UINT64_MAX means that none is sent. */
static void
waiter_add (h2o_req_t *req, const char *key, uint64_t after_version, uint64_t wait_ms,
            waiter_kind_t kind)
{
  waiter_t *waiter = calloc (1, sizeof *waiter);
  waiter_t **ref = h2o_mem_alloc_shared (&req->pool, sizeof (void *), on_request_disposed);

  *ref = waiter;
  waiter->req = req;
  waiter->key = strdup (key);
  waiter->after_version = after_version;
  waiter->generation = server.generation;
  waiter->due_us = wait_ms == UINT64_MAX ? UINT64_MAX
                                         : sgr_clock_monotonic_us () + wait_ms * SGR_USEC_PER_MSEC;
  waiter->kind = kind;
  waiter->ref = ref;
  waiter->next = server.waiters;
  server.waiters = waiter;
}

/* Lists keys with their values as JSON strings, and leaves out values that are not UTF-8 text. The
   reply to a watch that ends without a change has no items. */
static void
send_list (h2o_req_t *req, const char *prefix, bool has_change)
{
  json_t *list = json_array ();

  for (size_t i = 0; has_change && i < server.state.key_count; i++)
    {
      const store_key_t *key = &server.state.keys[i];

      if (key->exists && strncmp (key->name, prefix, strlen (prefix)) == 0)
        json_array_append_new (
            list,
            json_pack ("{s:s, s:I, s:s%}", "key", key->name, "version", (json_int_t)key->version,
                       "value", key->value.length > 0 ? (const char *)key->value.bytes : "",
                       key->value.length));
    }
  number_header_add (req, "store-version", server.state.last_version);
  number_header_add (req, "store-generation", server.generation);
  if (!has_change)
    h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("store-no-news"), 0, NULL,
                           H2O_STRLIT ("1"));
  sgr_http_reply_json (req, 200, json_pack ("{s:o}", "items", list));
}

/* Returns the version of the last write or removal of a key with a prefix, 0 if there was none. */
static uint64_t
prefix_version (const char *prefix)
{
  uint64_t version = 0;

  for (size_t i = 0; i < server.state.key_count; i++)
    if (strncmp (server.state.keys[i].name, prefix, strlen (prefix)) == 0
        && server.state.keys[i].version > version)
      version = server.state.keys[i].version;
  return version;
}

static void handle_request (h2o_req_t *req, const char *path);

static void
waiter_finish (waiter_t *waiter, bool has_newer_value)
{
  h2o_req_t *req = waiter->req;

  if (req != NULL)
    {
      *waiter->ref = NULL;
      if (waiter->kind == WAIT_SLOW)
        handle_request (req, waiter->key);
      else if (waiter->kind == WAIT_LOST)
        send_status (req, 504, 0, "timeout");
      else if (server.faults.outage)
        send_status (req, 503, 0, "outage");
      else if (waiter->kind == WAIT_WATCH_PREFIX)
        send_list (req, waiter->key, has_newer_value);
      else
        send_value (req, store_key_find (&server.state, waiter->key, false), has_newer_value);
    }
  free (waiter->key);
  free (waiter);
}

/* Returns the version that a waiting watch compares with the one that its client knows. */
static uint64_t
watched_version (const waiter_t *waiter)
{
  if (waiter->kind == WAIT_WATCH_PREFIX)
    return prefix_version (waiter->key);
  return store_key_version (store_key_find (&server.state, waiter->key, false));
}

/* Replies to the requests that are due, to watches with a newer version, and to all
   watches during an outage or after the snapshot was restored. */
static void
waiters_run (void)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  waiter_t *waiter, *remaining = server.waiters;

  server.waiters = NULL;
  while ((waiter = remaining) != NULL)
    {
      bool is_watch = waiter->kind == WAIT_WATCH || waiter->kind == WAIT_WATCH_PREFIX;
      bool has_newer_value = is_watch
                             && (waiter->generation != server.generation
                                 || watched_version (waiter) > waiter->after_version);

      remaining = waiter->next;
      if (waiter->req == NULL || has_newer_value || waiter->due_us <= now_us
          || (is_watch && server.faults.outage))
        {
          waiter_finish (waiter, has_newer_value);
          continue;
        }
      waiter->next = server.waiters;
      server.waiters = waiter;
    }
}

static void
handle_read (h2o_req_t *req, const char *name)
{
  store_key_t *key = store_key_find (&server.state, name, false);
  uint64_t after_version, generation, wait_ms;

  if (!sgr_http_query_u64 (req, "after", &after_version))
    {
      server.counts[COUNT_GET]++;
      send_value (req, key, true);
      return;
    }
  server.counts[COUNT_WATCH]++;
  if (!sgr_http_query_u64 (req, "wait_ms", &wait_ms) || wait_ms > WAIT_MAX_MS)
    wait_ms = WAIT_MAX_MS;
  if (!sgr_http_query_u64 (req, "generation", &generation) || generation == 0)
    generation = server.generation;
  if (generation != server.generation || store_key_version (key) > after_version)
    send_value (req, key, true);
  else
    waiter_add (req, name, after_version, wait_ms, WAIT_WATCH);
}

/* Replies to a list at once, and to a watch of a prefix when a key changes. */
static void
handle_list (h2o_req_t *req)
{
  char prefix[256];
  uint64_t after_version, generation, wait_ms;

  if (!sgr_http_query_text (req, "prefix", prefix, sizeof prefix))
    prefix[0] = '\0';
  if (!sgr_http_query_u64 (req, "after", &after_version))
    {
      server.counts[COUNT_GET]++;
      send_list (req, prefix, true);
      return;
    }
  server.counts[COUNT_WATCH]++;
  if (!sgr_http_query_u64 (req, "wait_ms", &wait_ms) || wait_ms > WAIT_MAX_MS)
    wait_ms = WAIT_MAX_MS;
  if (!sgr_http_query_u64 (req, "generation", &generation) || generation == 0)
    generation = server.generation;
  if (generation != server.generation || prefix_version (prefix) > after_version)
    send_list (req, prefix, true);
  else
    waiter_add (req, prefix, after_version, wait_ms, WAIT_WATCH_PREFIX);
}

static void
handle_write (h2o_req_t *req, const char *name, bool is_delete)
{
  ssize_t header_index
      = h2o_find_header_by_str (&req->headers, H2O_STRLIT ("store-if-version"), -1);
  store_key_t *key = store_key_find (&server.state, name, true);
  uint64_t expected_version;

  server.counts[COUNT_WRITE]++;
  if (header_index < 0)
    {
      send_status (req, 400, 0, "no Store-If-Version");
      return;
    }
  if (h2o_memis (req->headers.entries[header_index].value.base,
                 req->headers.entries[header_index].value.len, H2O_STRLIT ("any")))
    expected_version = store_key_version (key);
  else
    expected_version = strtoull (req->headers.entries[header_index].value.base, NULL, 10);
  if (req->entity.len > VALUE_BYTES_MAX)
    {
      send_status (req, 413, 0, "value too large");
      return;
    }
  if (server.faults.drop_write > 0)
    {
      server.faults.drop_write--;
      waiter_add (req, name, 0, server.faults.late_ms > 0 ? server.faults.late_ms : UINT64_MAX,
                  WAIT_LOST);
      return;
    }
  if (key == NULL
      || !store_key_write (&server.state, key, expected_version,
                           is_delete ? NULL : (req->entity.base != NULL ? req->entity.base : ""),
                           req->entity.len))
    {
      send_status (req, key == NULL ? 503 : 409, store_key_version (key), "another version");
      return;
    }
  if (server.faults.lose_reply > 0)
    {
      server.faults.lose_reply--;
      waiter_add (req, name, 0, UINT64_MAX, WAIT_LOST);
    }
  else
    send_status (req, 200, key->version, "");
  waiters_run ();
}

static void
handle_lease (h2o_req_t *req, const char *name)
{
  char holder[256];
  uint64_t ttl_ms;
  store_lease_t *lease;

  server.counts[COUNT_LEASE]++;
  if (!sgr_http_query_text (req, "holder", holder, sizeof holder)
      || !sgr_http_query_u64 (req, "ttl_ms", &ttl_ms) || ttl_ms > LEASE_TTL_MAX_MS)
    {
      send_status (req, 400, 0, "expected holder and ttl_ms");
      return;
    }
  lease = store_lease_acquire (&server.state, name, holder, ttl_ms * SGR_USEC_PER_MSEC,
                               sgr_clock_monotonic_us ());
  if (lease == NULL)
    send_status (req, 409, 0, "held by another");
  else
    send_status (req, 200, lease->fencing_token, "");
}

static void
handle_request (h2o_req_t *req, const char *path)
{
  bool is_read = h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("GET"));
  bool is_delete = h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("DELETE"));

  if (server.faults.outage)
    send_status (req, 503, 0, "outage");
  else if (!store_bucket_consume (is_read ? &server.reads : &server.writes,
                                  sgr_clock_monotonic_us ()))
    send_status (req, 429, 0, "rate limit");
  else if (strncmp (path, LEASE_PREFIX, strlen (LEASE_PREFIX)) == 0)
    handle_lease (req, path + strlen (LEASE_PREFIX));
  else if (strcmp (path, "/v1/kv") == 0)
    handle_list (req);
  else if (is_read)
    handle_read (req, path + strlen (KV_PREFIX));
  else
    handle_write (req, path + strlen (KV_PREFIX), is_delete);
}

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  char path[512];
  size_t length = req->path_normalized.len;

  bool is_list = h2o_memis (req->path_normalized.base, length, H2O_STRLIT ("/v1/kv"));

  /* A name of at least one byte follows the prefix. */
  if (length >= sizeof path
      || (!is_list
          && length < (strncmp (req->path_normalized.base, KV_PREFIX, strlen (KV_PREFIX)) == 0
                           ? strlen (KV_PREFIX) + 1
                           : strlen (LEASE_PREFIX) + 1)))
    {
      send_status (req, 400, 0, "bad path");
      return 0;
    }
  memcpy (path, req->path_normalized.base, length);
  path[length] = '\0';
  if (server.faults.slow_ms > 0)
    waiter_add (req, path, 0, server.faults.slow_ms, WAIT_SLOW);
  else
    handle_request (req, path);
  return 0;
}

static int
on_admin (h2o_handler_t *self, h2o_req_t *req)
{
  json_t *json = json_object ();
  uint64_t value;

  sgr_http_query_u64 (req, "outage", &server.faults.outage);
  sgr_http_query_u64 (req, "slow_ms", &server.faults.slow_ms);
  sgr_http_query_u64 (req, "lose_reply", &server.faults.lose_reply);
  sgr_http_query_u64 (req, "drop_write", &server.faults.drop_write);
  sgr_http_query_u64 (req, "late_ms", &server.faults.late_ms);
  sgr_http_query_u64 (req, "stale_reads", &server.faults.stale_reads);
  if (sgr_http_query_u64 (req, "read_rate", &value))
    server.reads = (store_bucket_t){ .rate = (uint32_t)value,
                                     .tokens = (double)value,
                                     .refilled_us = sgr_clock_monotonic_us () };
  if (sgr_http_query_u64 (req, "write_rate", &value))
    server.writes = (store_bucket_t){ .rate = (uint32_t)value,
                                      .tokens = (double)value,
                                      .refilled_us = sgr_clock_monotonic_us () };
  if (sgr_http_query_u64 (req, "lapse_leases", &value) && value != 0)
    for (size_t i = 0; i < server.state.lease_count; i++)
      server.state.leases[i].expires_us = 0;
  if (sgr_http_query_u64 (req, "snapshot", &value) && value != 0)
    store_state_copy (&server.snapshot, &server.state);
  if (sgr_http_query_u64 (req, "restore", &value) && value != 0)
    {
      store_state_copy (&server.state, &server.snapshot);
      server.generation++;
    }
  server.counts[COUNT_PENDING] = 0;
  for (const waiter_t *waiter = server.waiters; waiter != NULL; waiter = waiter->next)
    server.counts[COUNT_PENDING] += waiter->kind == WAIT_WATCH || waiter->kind == WAIT_WATCH_PREFIX;
  for (size_t i = 0; i < sizeof count_names / sizeof count_names[0]; i++)
    json_object_set_new (json, count_names[i], json_integer ((json_int_t)server.counts[i]));
  sgr_http_reply_json (req, 200, json);
  waiters_run ();
  return 0;
}

static void
register_paths (void *ctx, h2o_hostconf_t *host)
{
  static const struct
  {
    const char *path;
    int (*handler) (h2o_handler_t *, h2o_req_t *);
  } paths[] = { { "/v1/kv", on_request }, { "/v1/leases", on_request }, { "/admin", on_admin } };

  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    h2o_create_handler (h2o_config_register_path (host, paths[i].path, 0), sizeof (h2o_handler_t))
        ->on_req
        = paths[i].handler;
}

static void
on_signal (int signal_number)
{
  stopped = 1;
}

static error_t
option_parse (int key, char *argument, struct argp_state *state)
{
  switch (key)
    {
    case 'p':
      prctl (PR_SET_PDEATHSIG, SIGTERM);
      return 0;
    case 'l':
      /* The address parser rejects port 0, with which the kernel chooses a free port. The default
         address already has port 0, so nothing has to be parsed for it. */
      if (strcmp (argument, "127.0.0.1:0") != 0 && !sgr_address_parse (argument, state->input))
        argp_error (state, "found \"%s\", expected --listen IP:PORT", argument);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "listen", 'l', "IP:PORT", 0, "where to listen, 127.0.0.1:0 by default" },
          { "exit-with-parent", 'p', NULL, 0, "end when the parent process ends" },
          { 0 } };
  static const struct argp parser
      = { options, option_parse, NULL, "Stand-in for the platform's key-value service." };
  sgr_address_t address = { .ip = 0x7f000001, .port = 0 };
  char text[24];

  argp_parse (&parser, argc, argv, 0, NULL, &address);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  server.loop = h2o_evloop_create ();
  server.listener = sgr_http_listener_create (
      server.loop, &address, VALUE_BYTES_MAX + BODY_MARGIN_BYTES, register_paths, NULL);
  if (server.listener == NULL)
    {
      fprintf (stderr, "standin-store: cannot listen: %s\n", strerror (errno));
      return 1;
    }
  sgr_address_format (&address, text, sizeof text);
  printf ("listening %s\n", text);
  fflush (stdout);
  while (!stopped)
    {
      h2o_evloop_run (server.loop, EVENT_LOOP_WAIT_MS);
      waiters_run ();
    }
  return 0;
}
