#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_api_private.h"
#include "config_json.h"
#include "http_listener.h"
#include "label.h"

/**
 * struct pending_request_t - an HTTP request that waits for an operation on the store
 * @ref: pointer to this structure, allocated in the memory pool of the request; set to NULL when
 *       the request is answered. If the pool is disposed of first, on_request_disposed() sets @req
 *       to NULL.
 * @req: the request, NULL after its connection was closed
 * @api: the API
 */
typedef struct pending_request_t
{
  struct pending_request_t **ref;
  h2o_req_t *req;
  sgr_config_api_t *api;
} pending_request_t;

/* Runs when h2o disposes of the memory pool of a request. */
static void
on_request_disposed (void *ref)
{
  pending_request_t *pending = *(pending_request_t **)ref;

  if (pending != NULL)
    pending->req = NULL;
}

static pending_request_t *
pending_request_create (sgr_config_api_t *api, h2o_req_t *req)
{
  pending_request_t *pending = calloc (1, sizeof *pending);

  sgr_invariant (pending != NULL);
  pending->ref
      = h2o_mem_alloc_shared (&req->pool, sizeof (pending_request_t *), on_request_disposed);
  *pending->ref = pending;
  pending->req = req;
  pending->api = api;
  return pending;
}

/* State of a change as this node knows it; @revision is the revision that the change would create:
   - in-force: the change created the revision in force
   - was-in-force: the change created an ancestor of the revision in force
   - superseded: another change created @revision
   - pending: @revision is above the revision in force
   - past: @revision is older than the ancestors that the record in force lists, so it is not known
     which change created it
   - unknown: the digest is malformed */
static const char *
change_state_name (const sgr_config_api_t *api, const char *digest_hex, uint64_t revision)
{
  const sgr_config_state_t *state = sgr_config_io_state (api->io);
  sgr_config_digest_t digest;

  if (!sgr_config_digest_parse (digest_hex, &digest))
    return "unknown";
  switch (sgr_config_record_contains (sgr_config_state_owners (state)->deployment,
                                      sgr_config_state_record (state), &digest, revision))
    {
    case 1:
      return revision == sgr_config_state_revision (state) ? "in-force" : "was-in-force";
    case 0:
      return "superseded";
    default:
      return revision > sgr_config_state_revision (state) ? "pending" : "past";
    }
}

/* The answer to a request about one change. */
static json_t *
change_json (const sgr_config_api_t *api, const sgr_config_change_t *change)
{
  json_t *json = json_object (), *change_fields = sgr_config_change_write (change);
  char hex[SGR_CONFIG_DIGEST_HEX_BYTES];
  sgr_config_digest_t digest;

  sgr_config_change_digest (change, &digest);
  sgr_config_digest_format (&digest, hex);
  json_object_set_new (json, "change", change_fields);
  json_object_set_new (json, "digest", json_string (hex));
  json_object_set_new (json, "state",
                       json_string (change_state_name (api, hex, change->statement.revision)));
  return json;
}

static void
on_change_done (void *ctx, const sgr_config_commit_result_t *result)
{
  pending_request_t *pending = ctx;
  h2o_req_t *req = pending->req;

  if (req != NULL)
    {
      *pending->ref = NULL;
      if (result->result != SGR_OK)
        {
          sgr_config_error_t error = result->error;

          error.result = result->result;
          api_reply_error (req, &error);
        }
      else
        sgr_http_reply_json (req, 200, change_json (pending->api, result->change));
    }
  free (pending);
}

/* Answers with the entries of the change index, and adds the state of the change to each. */
static void
on_list_done (void *ctx, const sgr_config_commit_result_t *result)
{
  pending_request_t *pending = ctx;
  h2o_req_t *req = pending->req;

  if (req != NULL)
    {
      *pending->ref = NULL;
      if (result->result != SGR_OK)
        api_reply_error (req, &result->error);
      else
        {
          json_t *json = json_object (), *list = json_deep_copy (result->index), *change;
          size_t index;

          json_array_foreach (list, index, change)
          {
            const char *hex = json_string_value (json_object_get (change, "digest"));
            uint64_t revision = (uint64_t)json_integer_value (json_object_get (change, "revision"));

            json_object_set_new (
                change, "state",
                json_string (change_state_name (pending->api, hex != NULL ? hex : "", revision)));
          }
          json_object_set_new (json, "changes", list);
          sgr_http_reply_json (req, 200, json);
        }
    }
  free (pending);
}

static void
post_change (sgr_config_api_t *api, h2o_req_t *req)
{
  sgr_config_change_t *change;
  sgr_config_error_t error;
  sgr_result_t result = sgr_config_change_parse (req->entity.base != NULL ? req->entity.base : "",
                                                 req->entity.len, &change, &error);

  if (result != SGR_OK)
    api_reply_error (req, &error);
  else
    sgr_config_commit_propose (sgr_config_io_commit_get (api->io), change, on_change_done,
                               pending_request_create (api, req));
}

static void
post_approval (sgr_config_api_t *api, h2o_req_t *req, const char *id)
{
  static const char *const required[] = { "digest", "approval", NULL };
  sgr_config_approval_t approval;
  sgr_config_digest_t digest;
  sgr_config_error_t error = { SGR_OK };
  const char *hex;
  json_t *json = sgr_config_json_load (req->entity.base != NULL ? req->entity.base : "",
                                       req->entity.len, &error);

  if (json != NULL && sgr_config_json_object (json, "", required, NULL, &error) == SGR_OK
      && sgr_config_approval_read (json_object_get (json, "approval"), "approval", &approval,
                                   &error)
             == SGR_OK)
    {
      hex = json_string_value (json_object_get (json, "digest"));
      if (hex == NULL || !sgr_config_digest_parse (hex, &digest))
        sgr_config_error_set (&error, SGR_ERR_INVALID, "digest",
                              "found no digest, expected %d hexadecimal digits",
                              SGR_CONFIG_DIGEST_HEX_BYTES - 1);
    }
  json_decref (json);
  if (error.result != SGR_OK)
    api_reply_error (req, &error);
  else
    sgr_config_commit_approve (sgr_config_io_commit_get (api->io), id, &digest, &approval,
                               on_change_done, pending_request_create (api, req));
}

int
api_on_changes (h2o_handler_t *handler, h2o_req_t *req)
{
  sgr_config_api_t *api = API_OF (handler);
  sgr_config_commit_t *commit = sgr_config_io_commit_get (api->io);
  /* Part of the path after "/v1/changes/": "ID" or "ID/approve", or empty for all changes. A
     longer text is answered with 404. */
  char id[SGR_NAME_MAX + 16];
  char *slash;

  if (!api_path_suffix (req, "/v1/changes", id, sizeof id))
    {
      sgr_http_reply_error (req, 404, "no such resource", "");
      return 0;
    }
  if (commit == NULL)
    {
      sgr_http_reply_error (req, 503, "this node has no store in its settings", "");
      return 0;
    }
  slash = strchr (id, '/');
  if (slash != NULL)
    *slash = '\0';
  if ((slash != NULL && strcmp (slash + 1, "approve") != 0)
      || (id[0] != '\0' && !sgr_label_is_valid (id)))
    sgr_http_reply_error (req, 404, "no such resource", "");
  else if (slash != NULL)
    {
      if (api_method_require (req, "POST"))
        post_approval (api, req, id);
    }
  else if (id[0] != '\0')
    {
      if (api_method_require (req, "GET"))
        sgr_config_commit_get (commit, id, on_change_done, pending_request_create (api, req));
    }
  else if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("POST")))
    post_change (api, req);
  else if (api_method_require (req, "GET"))
    sgr_config_commit_list (commit, on_list_done, pending_request_create (api, req));
  return 0;
}
