#include "store_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "http_fetch.h"

/* The store ends a watch after its wait. If it sends nothing for this much longer, the store or the
   connection has failed. */
#define WATCH_GRACE_MS 5000
/* Longest wait of a watch. It bounds the time until the client detects that a silent connection has
   failed. */
#define WATCH_WAIT_MAX_MS 60000
/* The store replies within milliseconds, so that a reply that takes this long counts as lost. */
#define STORE_TIMEOUT_MS 1000
/* Longest body of a reply; a longer list cannot be read. */
#define REPLY_MAX_BYTES (SGR_STORE_VALUE_MAX + 1024)

/* Indexes of the reply's header fields in sgr_http_fetch_request_t.want and
   sgr_http_fetch_reply_t.got. */
enum
{
  FIELD_VERSION,
  FIELD_UNCHANGED, /* present if a watch ended without a change */
  FIELD_RETRY_AFTER_MS,
  FIELD_GENERATION, /* absent from the replies of a store that does not tell it */
};

typedef enum
{
  CALL_GET,
  CALL_LIST,
  CALL_WATCH,
  CALL_WATCH_PREFIX,
  CALL_WRITE,
} call_kind_t;

typedef struct
{
  sgr_store_t store;
  sgr_store_http_options_t options;
  sgr_http_fetcher_t *call_fetcher;
  sgr_http_fetcher_t *watch_fetcher;
  sgr_http_fetcher_t *short_watch_fetcher;
  sgr_store_call_t *pending;
} store_http_t;

struct sgr_store_call_t
{
  sgr_store_call_t *next;
  store_http_t *client;
  call_kind_t kind;
  sgr_http_fetch_t *fetch;
  sgr_store_cb_t cb;
  void *ctx;
};

static void
call_release (sgr_store_call_t *call)
{
  sgr_store_call_t **link = &call->client->pending;

  while (*link != call)
    link = &(*link)->next;
  *link = call->next;
  free (call);
}

/* Sets outcome, value and reason of a reply from the HTTP status. */
static void
reply_status_apply (const sgr_store_call_t *call, const sgr_http_fetch_reply_t *fetched,
                    sgr_store_reply_t *reply)
{
  switch (fetched->status)
    {
    case 200:
    case 404:
      reply->outcome = SGR_STORE_OK;
      if (fetched->status == 200 && call->kind != CALL_WRITE
          && fetched->got[FIELD_UNCHANGED][0] == '\0')
        {
          reply->value = fetched->body != NULL ? fetched->body : (const uint8_t *)"";
          reply->length = fetched->length;
        }
      return;
    case 409:
      reply->outcome = SGR_STORE_CONFLICT;
      reply->reason = "another version or holder";
      return;
    case 413:
      reply->outcome = SGR_STORE_UNAVAILABLE;
      reply->reason = "the value is larger than the store takes";
      return;
    case 429:
      reply->outcome = SGR_STORE_UNAVAILABLE;
      reply->reason = "rate limit of the store";
      return;
    case 503:
      reply->outcome = SGR_STORE_UNAVAILABLE;
      reply->reason = "the store is not available";
      return;
    default:
      /* Any other status does not say whether a write took effect. */
      reply->outcome = call->kind == CALL_WRITE ? SGR_STORE_UNKNOWN : SGR_STORE_UNAVAILABLE;
      reply->reason = "unexpected status of the store";
    }
}

/* Parses the items of a list or of a watch of a prefix and runs the callback with them; they are
   freed after it has returned. Items without a key or a string value are skipped. */
static void
list_reply_deliver (const sgr_store_call_t *call, sgr_store_reply_t *reply)
{
  json_error_t error;
  json_t *json = json_loadb ((const char *)reply->value, reply->length, 0, &error);
  const json_t *list = json_object_get (json, "items");
  size_t count = json_array_size (list);
  sgr_store_item_t *items = calloc (count + 1, sizeof *items);

  sgr_invariant (items != NULL);
  if (!json_is_array (list))
    {
      reply->outcome = SGR_STORE_UNAVAILABLE;
      reply->reason = "the store's list cannot be read";
    }
  for (size_t i = 0; i < count; i++)
    {
      const json_t *item = json_array_get (list, i);
      const char *key = json_string_value (json_object_get (item, "key"));
      const char *value = json_string_value (json_object_get (item, "value"));

      if (key == NULL || value == NULL)
        continue;
      items[reply->item_count++] = (sgr_store_item_t){
        .key = key,
        .version = (uint64_t)json_integer_value (json_object_get (item, "version")),
        .value = (const uint8_t *)value,
        .length = strlen (value),
      };
    }
  reply->items = items;
  reply->value = NULL;
  reply->length = 0;
  call->cb (call->ctx, reply);
  free (items);
  json_decref (json);
}

static void
on_fetched (void *ctx, const sgr_http_fetch_reply_t *fetched)
{
  sgr_store_call_t *call = ctx;
  sgr_store_reply_t reply = { .outcome = SGR_STORE_UNAVAILABLE };
  sgr_store_call_t ended = *call;

  if (fetched->error != NULL)
    {
      reply.reason = fetched->error;
      if (call->kind == CALL_WRITE && fetched->sent)
        reply.outcome = SGR_STORE_UNKNOWN;
    }
  else
    {
      reply.version = strtoull (fetched->got[FIELD_VERSION], NULL, 10);
      reply.generation = strtoull (fetched->got[FIELD_GENERATION], NULL, 10);
      if (sgr_store_generation_update (&call->client->store, &reply.generation))
        reply_status_apply (call, fetched, &reply);
      else
        {
          reply.outcome = call->kind == CALL_WRITE ? SGR_STORE_UNKNOWN : SGR_STORE_UNAVAILABLE;
          reply.reason = "the store was restored";
        }
      reply.retry_after_ms = strtoull (fetched->got[FIELD_RETRY_AFTER_MS], NULL, 10);
    }
  /* A call is valid only until its callback starts, see sgr_store_call_t. */
  call_release (call);
  if ((ended.kind == CALL_LIST || ended.kind == CALL_WATCH_PREFIX) && reply.value != NULL)
    list_reply_deliver (&ended, &reply);
  else
    ended.cb (ended.ctx, &reply);
}

static sgr_store_call_t *
call_start (store_http_t *http, sgr_http_fetcher_t *fetcher, call_kind_t kind,
            sgr_http_fetch_request_t *request, sgr_store_cb_t cb, void *ctx)
{
  sgr_store_call_t *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  request->address = http->options.address;
  request->want[FIELD_VERSION] = "store-version";
  request->want[FIELD_UNCHANGED] = "store-no-news";
  request->want[FIELD_RETRY_AFTER_MS] = "store-retry-after-ms";
  request->want[FIELD_GENERATION] = "store-generation";
  call->client = http;
  call->kind = kind;
  call->cb = cb;
  call->ctx = ctx;
  call->next = http->pending;
  http->pending = call;
  http->store.calls++;
  call->fetch = sgr_http_fetch_start (fetcher, request, on_fetched, call);
  return call;
}

/* The permitted characters need no escaping in a path or a query. */
static bool
key_valid (const char *key)
{
  size_t length = strlen (key);

  return length > 0 && length <= SGR_STORE_KEY_MAX
         && strspn (key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./")
                == length;
}

static sgr_store_call_t *
http_get (sgr_store_t *store, const char *key, sgr_store_cb_t cb, void *ctx)
{
  store_http_t *http = (store_http_t *)store;
  char path[SGR_STORE_KEY_MAX + 32];

  if (!key_valid (key))
    return NULL;
  snprintf (path, sizeof path, "/v1/kv/%s", key);
  return call_start (http, http->call_fetcher, CALL_GET,
                     &(sgr_http_fetch_request_t){ .method = "GET", .path = path }, cb, ctx);
}

static sgr_store_call_t *
http_list (sgr_store_t *store, const char *prefix, sgr_store_cb_t cb, void *ctx)
{
  store_http_t *http = (store_http_t *)store;
  char path[SGR_STORE_KEY_MAX + 32];

  if (!key_valid (prefix))
    return NULL;
  snprintf (path, sizeof path, "/v1/kv?prefix=%s", prefix);
  return call_start (http, http->call_fetcher, CALL_LIST,
                     &(sgr_http_fetch_request_t){ .method = "GET", .path = path }, cb, ctx);
}

static sgr_store_call_t *
http_swap (sgr_store_t *store, const char *key, uint64_t expected, const void *value, size_t length,
           sgr_store_cb_t cb, void *ctx)
{
  store_http_t *http = (store_http_t *)store;
  char path[SGR_STORE_KEY_MAX + 32], headers[64];
  sgr_http_fetch_request_t request = { .path = path, .headers = headers };

  if (!key_valid (key) || length > SGR_STORE_VALUE_MAX)
    return NULL;
  snprintf (path, sizeof path, "/v1/kv/%s", key);
  if (expected == SGR_STORE_ANY_VERSION)
    snprintf (headers, sizeof headers, "Store-If-Version: any\r\n");
  else
    snprintf (headers, sizeof headers, "Store-If-Version: %lu\r\n", expected);
  request.method = value != NULL ? "PUT" : "DELETE";
  request.body = value;
  request.length = length;
  return call_start (http, http->call_fetcher, CALL_WRITE, &request, cb, ctx);
}

static sgr_store_call_t *
http_lease (sgr_store_t *store, const char *name, const char *holder, uint32_t ttl_ms,
            sgr_store_cb_t cb, void *ctx)
{
  store_http_t *http = (store_http_t *)store;
  char path[2 * SGR_STORE_KEY_MAX + 64];

  if (!key_valid (name) || !key_valid (holder))
    return NULL;
  snprintf (path, sizeof path, "/v1/leases/%s?holder=%s&ttl_ms=%u", name, holder, ttl_ms);
  return call_start (http, http->call_fetcher, CALL_WRITE,
                     &(sgr_http_fetch_request_t){ .method = "PUT", .path = path }, cb, ctx);
}

static sgr_store_call_t *
http_watch (sgr_store_t *store, const char *key, sgr_store_version_t after, uint32_t wait_ms,
            sgr_store_cb_t cb, void *ctx)
{
  store_http_t *http = (store_http_t *)store;
  sgr_http_fetcher_t *fetcher
      = wait_ms <= SGR_STORE_SHORT_WATCH_MS ? http->short_watch_fetcher : http->watch_fetcher;
  char path[SGR_STORE_KEY_MAX + 128];

  if (!key_valid (key))
    return NULL;
  if (wait_ms > WATCH_WAIT_MAX_MS)
    wait_ms = WATCH_WAIT_MAX_MS;
  snprintf (path, sizeof path, "/v1/kv/%s?after=%llu&generation=%llu&wait_ms=%u", key,
            (unsigned long long)after.number, (unsigned long long)after.generation, wait_ms);
  return call_start (http, fetcher, CALL_WATCH,
                     &(sgr_http_fetch_request_t){ .method = "GET", .path = path }, cb, ctx);
}

static sgr_store_call_t *
http_watch_prefix (sgr_store_t *store, const char *prefix, sgr_store_version_t after,
                   uint32_t wait_ms, sgr_store_cb_t cb, void *ctx)
{
  store_http_t *http = (store_http_t *)store;
  sgr_http_fetcher_t *fetcher
      = wait_ms <= SGR_STORE_SHORT_WATCH_MS ? http->short_watch_fetcher : http->watch_fetcher;
  char path[SGR_STORE_KEY_MAX + 128];

  if (!key_valid (prefix))
    return NULL;
  if (wait_ms > WATCH_WAIT_MAX_MS)
    wait_ms = WATCH_WAIT_MAX_MS;
  if (after.number == 0)
    {
      fetcher = http->call_fetcher;
      snprintf (path, sizeof path, "/v1/kv?prefix=%s", prefix);
    }
  else
    snprintf (path, sizeof path, "/v1/kv?prefix=%s&after=%llu&generation=%llu&wait_ms=%u", prefix,
              (unsigned long long)after.number, (unsigned long long)after.generation, wait_ms);
  return call_start (http, fetcher, CALL_WATCH_PREFIX,
                     &(sgr_http_fetch_request_t){ .method = "GET", .path = path }, cb, ctx);
}

static void
http_cancel (sgr_store_t *store, sgr_store_call_t *call)
{
  sgr_http_fetch_cancel (call->fetch);
  call_release (call);
}

sgr_store_t *
sgr_store_http_create (h2o_loop_t *loop, const sgr_store_http_options_t *options)
{
  store_http_t *http = calloc (1, sizeof *http);

  if (http == NULL)
    return NULL;
  http->store = (sgr_store_t){ .get = http_get,
                               .list = http_list,
                               .swap = http_swap,
                               .lease = http_lease,
                               .watch = http_watch,
                               .watch_prefix = http_watch_prefix,
                               .cancel = http_cancel };
  http->options = *options;
  http->call_fetcher = sgr_http_fetcher_create (loop, options->timeout_ms, REPLY_MAX_BYTES);
  http->watch_fetcher
      = sgr_http_fetcher_create (loop, WATCH_WAIT_MAX_MS + WATCH_GRACE_MS, REPLY_MAX_BYTES);
  http->short_watch_fetcher
      = sgr_http_fetcher_create (loop, SGR_STORE_SHORT_WATCH_MS + WATCH_GRACE_MS, REPLY_MAX_BYTES);
  return &http->store;
}

sgr_store_t *
sgr_store_http_open (h2o_loop_t *loop, const sgr_settings_t *settings)
{
  sgr_store_http_options_t options = { .address = settings->store, .timeout_ms = STORE_TIMEOUT_MS };

  return sgr_store_http_create (loop, &options);
}

void
sgr_store_http_destroy (sgr_store_t *store)
{
  store_http_t *http = (store_http_t *)store;
  sgr_store_call_t *next;

  if (http == NULL)
    return;
  for (sgr_store_call_t *call = http->pending; call != NULL; call = next)
    {
      next = call->next;
      http_cancel (store, call);
    }
  sgr_http_fetcher_destroy (http->call_fetcher);
  sgr_http_fetcher_destroy (http->watch_fetcher);
  sgr_http_fetcher_destroy (http->short_watch_fetcher);
  free (http);
}
