#include "ctl_client.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config_resource.h"
#include "http_fetch.h"

/* A list of all nodes of the largest deployment takes about 1 MB. */
#define REPLY_MAX 16000000

struct sgr_ctl_client_t
{
  h2o_loop_t *loop;
  sgr_http_fetcher_t *fetcher;
  sgr_address_t nodes[SGR_CTL_NODES_MAX];
  size_t node_count;
};

typedef struct
{
  bool done;
  bool sent;
  char failure[64];
  sgr_ctl_reply_t reply;
} call_t;

sgr_ctl_client_t *
sgr_ctl_client_create (const sgr_address_t *nodes, size_t count, uint32_t timeout_ms)
{
  sgr_ctl_client_t *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->loop = h2o_evloop_create ();
  client->fetcher = sgr_http_fetcher_create (client->loop, timeout_ms, REPLY_MAX);
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
on_reply (void *ctx, const sgr_http_fetch_reply_t *fetched)
{
  call_t *call = ctx;

  call->done = true;
  call->sent = fetched->sent;
  if (fetched->error != NULL)
    {
      snprintf (call->failure, sizeof call->failure, "%s", fetched->error);
      return;
    }
  call->reply.status = fetched->status;
  if (fetched->length > 0)
    call->reply.json = sgr_config_json_load (fetched->body, fetched->length, NULL);
}

static sgr_result_t
refusal (const sgr_ctl_reply_t *reply, sgr_config_error_t *error)
{
  static const struct
  {
    int status;
    sgr_result_t result;
  } results[] = {
    { 400, SGR_ERR_INVALID },  { 403, SGR_ERR_DENIED },      { 404, SGR_ERR_NOT_FOUND },
    { 409, SGR_ERR_CONFLICT }, { 410, SGR_ERR_NOT_FOUND },   { 413, SGR_ERR_LIMIT },
    { 429, SGR_ERR_LIMIT },    { 503, SGR_ERR_UNAVAILABLE }, { 504, SGR_ERR_IO },
  };
  const char *reason = json_string_value (json_object_get (reply->json, "reason"));
  const char *path = json_string_value (json_object_get (reply->json, "path"));

  for (size_t i = 0; i < sizeof results / sizeof results[0]; i++)
    if (results[i].status == reply->status)
      return sgr_config_error_set (error, results[i].result, path != NULL ? path : "", "%s",
                                   reason != NULL ? reason : "no reason given");
  return sgr_config_error_set (error, SGR_ERR_IO, "", "unexpected status %d of the node",
                               reply->status);
}

sgr_result_t
sgr_ctl_client_call (sgr_ctl_client_t *client, const char *method, const char *path,
                     const json_t *body, sgr_ctl_reply_t *reply, sgr_config_error_t *error)
{
  char *text = body != NULL ? sgr_config_json_canonical (body) : NULL;
  sgr_http_fetch_request_t request = {
    .method = method, .path = path, .body = text, .length = text != NULL ? strlen (text) : 0
  };
  call_t call = { 0 };
  char address[24] = "";

  memset (reply, 0, sizeof *reply);
  for (size_t i = 0; i < client->node_count; i++)
    {
      call = (call_t){ 0 };
      request.address = client->nodes[i];
      sgr_address_format (&request.address, address, sizeof address);
      sgr_http_fetch_start (client->fetcher, &request, on_reply, &call);
      while (!call.done)
        h2o_evloop_run (client->loop, 100);
      if (call.failure[0] == '\0' || (call.sent && strcmp (method, "GET") != 0))
        break;
    }
  free (text);
  if (call.failure[0] != '\0')
    return sgr_config_error_set (error, call.sent ? SGR_ERR_IO : SGR_ERR_UNAVAILABLE, "",
                                 "node %s: %s", address, call.failure);
  *reply = call.reply;
  if (reply->status != 200)
    return refusal (reply, error);
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
