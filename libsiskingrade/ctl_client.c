#include "ctl_client.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config_resource.h"
#include "http_fetch.h"

/* The longest expected reply, the list of all nodes of the largest deployment, is about 1 MB. */
#define REPLY_BYTES_MAX 16000000
#define EVENT_LOOP_WAIT_MS 100

struct sgr_ctl_client_t
{
  h2o_loop_t *loop;
  sgr_http_fetcher_t *fetcher;
  sgr_address_t nodes[SGR_CTL_NODES_MAX];
  size_t node_count;
};

/**
 * struct exchange_t - one HTTP request to a node and its reply
 * @is_done: whether the reply or an error has arrived
 * @sent: whether the request may have reached the node
 * @error_text: short reason of a failure, empty for a complete reply
 * @reply: the reply
 */
typedef struct
{
  bool is_done;
  bool sent;
  char error_text[64];
  sgr_ctl_reply_t reply;
} exchange_t;

sgr_ctl_client_t *
sgr_ctl_client_create (const sgr_address_t *nodes, size_t count, uint32_t timeout_ms)
{
  sgr_ctl_client_t *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->loop = h2o_evloop_create ();
  client->fetcher = sgr_http_fetcher_create (client->loop, timeout_ms, REPLY_BYTES_MAX);
  memcpy (client->nodes, nodes, count * sizeof *nodes);
  client->node_count = count;
  return client;
}

void
sgr_ctl_client_destroy (sgr_ctl_client_t *client)
{
  if (client == NULL)
    return;
  sgr_http_fetcher_destroy (client->fetcher);
  h2o_evloop_destroy (client->loop);
  free (client);
}

static void
on_reply (void *ctx, const sgr_http_fetch_reply_t *fetch_reply)
{
  exchange_t *exchange = ctx;

  exchange->is_done = true;
  exchange->sent = fetch_reply->sent;
  if (fetch_reply->error != NULL)
    {
      snprintf (exchange->error_text, sizeof exchange->error_text, "%s", fetch_reply->error);
      return;
    }
  exchange->reply.status = fetch_reply->status;
  if (fetch_reply->length > 0)
    exchange->reply.json = sgr_config_json_load (fetch_reply->body, fetch_reply->length, NULL);
}

/* Converts a reply with another status than 200 into an error. */
static sgr_result_t
reply_error_set (const sgr_ctl_reply_t *reply, sgr_config_error_t *error)
{
  static const struct
  {
    int status;
    sgr_result_t result;
  } status_results[] = {
    { 400, SGR_ERR_INVALID },  { 403, SGR_ERR_DENIED },      { 404, SGR_ERR_NOT_FOUND },
    { 409, SGR_ERR_CONFLICT }, { 410, SGR_ERR_NOT_FOUND },   { 413, SGR_ERR_LIMIT },
    { 429, SGR_ERR_LIMIT },    { 503, SGR_ERR_UNAVAILABLE }, { 504, SGR_ERR_IO },
  };
  const char *reason = json_string_value (json_object_get (reply->json, "reason"));
  const char *path = json_string_value (json_object_get (reply->json, "path"));

  for (size_t i = 0; i < sizeof status_results / sizeof status_results[0]; i++)
    if (status_results[i].status == reply->status)
      return sgr_config_error_set (error, status_results[i].result, path != NULL ? path : "", "%s",
                                   reason != NULL ? reason : "no reason given");
  return sgr_config_error_set (error, SGR_ERR_IO, "", "unexpected status %d of the node",
                               reply->status);
}

sgr_result_t
sgr_ctl_client_request (sgr_ctl_client_t *client, const char *method, const char *path,
                        const json_t *body, sgr_ctl_reply_t *reply, sgr_config_error_t *error)
{
  char *text = body != NULL ? sgr_config_json_canonical (body) : NULL;
  sgr_http_fetch_request_t request = {
    .method = method, .path = path, .body = text, .length = text != NULL ? strlen (text) : 0
  };
  exchange_t exchange = { 0 };
  char address[24] = "";

  memset (reply, 0, sizeof *reply);
  for (size_t i = 0; i < client->node_count; i++)
    {
      exchange = (exchange_t){ 0 };
      request.address = client->nodes[i];
      sgr_address_format (&request.address, address, sizeof address);
      sgr_http_fetch_start (client->fetcher, &request, on_reply, &exchange);
      while (!exchange.is_done)
        h2o_evloop_run (client->loop, EVENT_LOOP_WAIT_MS);
      /* A node that received a request other than GET may have executed it. */
      if (exchange.error_text[0] == '\0' || (exchange.sent && strcmp (method, "GET") != 0))
        break;
    }
  free (text);
  if (exchange.error_text[0] != '\0')
    return sgr_config_error_set (error, exchange.sent ? SGR_ERR_IO : SGR_ERR_UNAVAILABLE, "",
                                 "node %s: %s", address, exchange.error_text);
  *reply = exchange.reply;
  if (reply->status != 200)
    return reply_error_set (reply, error);
  if (reply->json == NULL)
    return sgr_config_error_set (error, SGR_ERR_IO, "", "node %s: the reply is not JSON", address);
  return SGR_OK;
}

void
sgr_ctl_client_pause (sgr_ctl_client_t *client, uint32_t wait_ms)
{
  struct timespec wait = { wait_ms / 1000, (long)(wait_ms % 1000) * 1000000 };

  nanosleep (&wait, NULL);
}
