#include <stdlib.h>
#include <string.h>

#include "config_change.h"
#include "ctl_command.h"
#include "ctl_keys.h"
#include "ctl_yaml.h"

/* Reads of a change after a reply that was lost, one per second. */
#define READ_BACK_MAX 5

/** struct signer_t - what signing needs; the secret never leaves this process */
typedef struct
{
  sgr_config_owners_t owners;
  uint8_t secret[crypto_sign_SECRETKEYBYTES];
  sgr_config_record_t *base;
} signer_t;

static sgr_result_t
load_signer (const sgr_ctl_options_t *options, signer_t *signer, sgr_config_error_t *error)
{
  sgr_result_t result;

  if (options->owner == NULL || options->key == NULL || options->owners == NULL)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "",
                                 "the command needs --owner NAME, --key FILE and --owners FILE");
  result = sgr_ctl_owners_load (options->owners, &signer->owners, error);
  if (result == SGR_OK)
    result = sgr_ctl_keys_load_secret (options->key, signer->secret, error);
  return result;
}

static void
release_signer (signer_t *signer)
{
  sodium_memzero (signer->secret, sizeof signer->secret);
  sgr_config_record_destroy (signer->base);
}

/* The base is verified here, so that a node cannot make an owner sign an edit of another content.
 */
static sgr_result_t
load_base (signer_t *signer, sgr_ctl_client_t *client, sgr_config_error_t *error)
{
  sgr_ctl_reply_t reply;
  sgr_result_t result = sgr_ctl_client_call (client, "GET", "/v1/config/raw", NULL, &reply, error);
  char *text;

  if (result == SGR_OK)
    {
      text = sgr_config_json_canonical (reply.json);
      result
          = sgr_config_record_verify (&signer->owners, text, strlen (text), &signer->base, error);
      free (text);
    }
  else if (result == SGR_ERR_NOT_FOUND)
    result = SGR_OK;
  json_decref (reply.json);
  return result;
}

static sgr_result_t
sign (const signer_t *signer, const char *owner, sgr_config_change_t *change,
      sgr_config_approval_t *approval, sgr_config_error_t *error)
{
  sgr_config_digest_t digest;

  memset (approval, 0, sizeof *approval);
  snprintf (approval->owner, sizeof approval->owner, "%s", owner);
  sgr_config_change_digest (change, &digest);
  sgr_config_statement_sign (&digest, signer->secret, approval->signature);
  return sgr_config_approval_verify (&signer->owners, &digest, approval, error) < 0 ? SGR_ERR_DENIED
                                                                                    : SGR_OK;
}

/* The body of a change from a file: a complete content, or an edit if it has "put" or "remove". */
static sgr_result_t
file_body (const char *file, const signer_t *signer, sgr_ctl_yaml_t *yaml, json_t **body,
           sgr_config_error_t *error)
{
  const char *deployment;
  bool edit;

  *body = NULL;
  if (sgr_ctl_yaml_read (file, yaml, error) != SGR_OK)
    return SGR_ERR_INVALID;
  deployment = json_string_value (json_object_get (yaml->json, "deployment"));
  if (deployment == NULL || strcmp (deployment, signer->owners.deployment) != 0)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "deployment",
                                 "%s:%d: deployment: found \"%s\", expected \"%s\" as in the "
                                 "owners file",
                                 file, sgr_ctl_yaml_line (yaml, "deployment"),
                                 deployment != NULL ? deployment : "", signer->owners.deployment);
  edit = json_object_get (yaml->json, "put") != NULL
         || json_object_get (yaml->json, "remove") != NULL;
  json_object_del (yaml->json, "deployment");
  *body = json_object ();
  json_object_set (*body, edit ? "edit" : "full", yaml->json);
  return SGR_OK;
}

static void
random_name (const char *prefix, char *name, size_t size)
{
  uint8_t bytes[8];
  char hex[2 * sizeof bytes + 1];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (hex, sizeof hex, bytes, sizeof bytes);
  snprintf (name, size, "%s-%s", prefix, hex);
}

static sgr_result_t
make_change (const sgr_ctl_options_t *options, const signer_t *signer, sgr_config_change_t **change,
             sgr_config_error_t *error)
{
  const char *file = options->arguments[1];
  char id[SGR_NAME_MAX + 1];
  sgr_config_error_t own = { SGR_OK };
  sgr_ctl_yaml_t yaml = { 0 };
  json_t *body;
  sgr_result_t result = file_body (file, signer, &yaml, &body, error);

  if (result == SGR_OK)
    {
      random_name ("change", id, sizeof id);
      result = sgr_config_change_propose (signer->owners.deployment, signer->base,
                                          options->id != NULL ? options->id : id, options->owner,
                                          body, change, &own);
      if (result != SGR_OK)
        sgr_config_error_set (error, result, own.path, "%s:%d: %.120s: %.180s", file,
                              sgr_ctl_yaml_line (&yaml, own.path),
                              own.path[0] != '\0' ? own.path : "document", own.message);
    }
  if (result == SGR_OK)
    {
      random_name ("ctl", (*change)->writer, sizeof (*change)->writer);
      result = sign (signer, options->owner, *change, &(*change)->approvals[0], error);
    }
  json_decref (body);
  sgr_ctl_yaml_release (&yaml);
  return result;
}

static bool
has_approval (const json_t *approvals, const char *owner)
{
  size_t index;
  json_t *entry;

  json_array_foreach ((json_t *)approvals, index, entry)
  {
    const char *name = json_string_value (json_object_get (entry, "owner"));

    if (name != NULL && strcmp (name, owner) == 0)
      return true;
  }
  return false;
}

/* Reads the change back after a lost reply; the writer's id tells whether the write was this one.
   With both approvals only a change in force is done: its record may not be written yet. */
static sgr_result_t
read_back (sgr_ctl_client_t *client, const sgr_config_change_t *change, const char *owner,
           sgr_ctl_reply_t *reply, sgr_config_error_t *error)
{
  char path[SGR_NAME_MAX + 32];

  snprintf (path, sizeof path, "/v1/changes/%s", change->statement.id);
  for (int i = 0; i < READ_BACK_MAX; i++)
    {
      const json_t *found, *approvals;
      const char *writer, *state;

      sgr_ctl_client_pause (client, 1000);
      json_decref (reply->json);
      if (sgr_ctl_client_call (client, "GET", path, NULL, reply, error) != SGR_OK)
        continue;
      found = json_object_get (reply->json, "change");
      writer = json_string_value (json_object_get (found, "writer"));
      state = json_string_value (json_object_get (reply->json, "state"));
      if (writer == NULL || strcmp (writer, change->writer) != 0)
        return sgr_config_error_set (error, SGR_ERR_CONFLICT, "id",
                                     "another change has this id, expected a new one");
      approvals = json_object_get (found, "approvals");
      if (has_approval (approvals, owner)
          && (json_array_size (approvals) < SGR_CONFIG_OWNERS
              || (state != NULL && strstr (state, "in-force") != NULL)))
        return SGR_OK;
    }
  return sgr_config_error_set (error, SGR_ERR_IO, "",
                               "the reply was lost and it is unknown whether the change %s was "
                               "written; read it with \"get change %s\" and approve it again",
                               change->statement.id, change->statement.id);
}

int
sgr_ctl_run_change (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                    FILE *err)
{
  bool creates = strcmp (options->arguments[0], "create") == 0;
  sgr_config_change_t *change = NULL;
  sgr_ctl_reply_t reply = { 0 };
  sgr_config_error_t error = { SGR_OK };
  signer_t signer = { 0 };
  json_t *json = NULL;
  sgr_result_t result = load_signer (options, &signer, &error);

  if (result == SGR_OK)
    result = load_base (&signer, client, &error);
  if (result == SGR_OK && creates != (signer.base == NULL))
    result = sgr_config_error_set (&error, SGR_ERR_CONFLICT, "",
                                   creates ? "the deployment has a configuration, expected none; "
                                             "use propose"
                                           : "the deployment has no configuration yet; use create");
  if (result == SGR_OK)
    result = make_change (options, &signer, &change, &error);
  if (result == SGR_OK)
    {
      sgr_invariant (change != NULL);
      json = sgr_config_change_write (change);
      result = sgr_ctl_client_call (client, "POST", "/v1/changes", json, &reply, &error);
      if (result == SGR_ERR_IO)
        result = read_back (client, change, options->owner, &reply, &error);
    }
  if (result == SGR_OK)
    sgr_ctl_print_change (options, reply.json, out);
  json_decref (json);
  json_decref (reply.json);
  sgr_config_change_destroy (change);
  release_signer (&signer);
  return result == SGR_OK ? SGR_CTL_EXIT_OK : sgr_ctl_fail (err, &error);
}

/* Reads the change, checks it here against the verified base, and signs what it really does. */
static sgr_result_t
review (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, signer_t *signer,
        sgr_config_change_t **change, sgr_config_error_t *error)
{
  char path[SGR_NAME_MAX + 32], hex[SGR_CONFIG_DIGEST_HEX];
  sgr_config_digest_t digest;
  sgr_ctl_reply_t reply;
  sgr_result_t result;
  char *text;

  if (!sgr_config_name_valid (options->arguments[1]))
    return sgr_config_error_set (error, SGR_ERR_INVALID, "id", "expected the id of a change");
  snprintf (path, sizeof path, "/v1/changes/%s", options->arguments[1]);
  result = sgr_ctl_client_call (client, "GET", path, NULL, &reply, error);
  if (result == SGR_OK)
    {
      text = sgr_config_json_canonical (json_object_get (reply.json, "change"));
      result = sgr_config_change_parse (text != NULL ? text : "", text != NULL ? strlen (text) : 0,
                                        change, error);
      free (text);
    }
  json_decref (reply.json);
  if (result != SGR_OK)
    return result;
  sgr_config_change_digest (*change, &digest);
  sgr_config_digest_format (&digest, hex);
  if (options->digest != NULL && strcmp (options->digest, hex) != 0)
    return sgr_config_error_set (error, SGR_ERR_DENIED, "digest",
                                 "found %s, expected the digest that was reviewed", hex);
  /* Both approvals are there already: a repeat only asks the node to let it take effect. */
  if (sgr_config_change_approval_count (*change) == SGR_CONFIG_OWNERS)
    return SGR_OK;
  result = load_base (signer, client, error);
  if (result == SGR_OK)
    result = sgr_config_change_check (*change, &signer->owners, signer->base, NULL, error);
  return result;
}

int
sgr_ctl_run_approve (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                     FILE *err)
{
  char path[SGR_NAME_MAX + 32], hex[SGR_CONFIG_DIGEST_HEX];
  sgr_config_change_t *change = NULL;
  sgr_config_approval_t approval;
  sgr_config_digest_t digest;
  sgr_ctl_reply_t reply = { 0 };
  sgr_config_error_t error = { SGR_OK };
  signer_t signer = { 0 };
  json_t *json = NULL;
  sgr_result_t result = load_signer (options, &signer, &error);

  if (result == SGR_OK)
    result = review (options, client, &signer, &change, &error);
  if (result == SGR_OK)
    result = sign (&signer, options->owner, change, &approval, &error);
  if (result == SGR_OK)
    {
      sgr_invariant (change != NULL);
      sgr_config_change_digest (change, &digest);
      sgr_config_digest_format (&digest, hex);
      json = json_object ();
      json_object_set_new (json, "digest", json_string (hex));
      json_object_set_new (json, "approval", sgr_config_approval_write (&approval));
      snprintf (path, sizeof path, "/v1/changes/%s/approve", change->statement.id);
      result = sgr_ctl_client_call (client, "POST", path, json, &reply, &error);
      if (result == SGR_ERR_IO)
        result = read_back (client, change, options->owner, &reply, &error);
    }
  if (result == SGR_OK)
    sgr_ctl_print_change (options, reply.json, out);
  json_decref (json);
  json_decref (reply.json);
  sgr_config_change_destroy (change);
  release_signer (&signer);
  return result == SGR_OK ? SGR_CTL_EXIT_OK : sgr_ctl_fail (err, &error);
}
