#include <stdlib.h>
#include <string.h>

#include "config_change.h"
#include "ctl_command.h"
#include "ctl_keys.h"
#include "ctl_yaml.h"
#include "label.h"

/* After a lost reply, the change is read back up to this many times at this interval. */
#define READ_BACKS_MAX 5
#define READ_BACK_INTERVAL_MS 1000

/**
 * struct signer_t - the data that an owner needs to sign a change
 * @owners: deployment, and names and public keys of its owners
 * @secret_key: secret key of the owner who signs; never sent to a node
 * @base: verified record in force, on which the change builds; NULL if there is none
 */
typedef struct
{
  sgr_config_owners_t owners;
  uint8_t secret_key[crypto_sign_SECRETKEYBYTES];
  sgr_config_record_t *base;
} signer_t;

/* Reports an unreadable local file as invalid input: SGR_ERR_IO would mean an unknown outcome. */
static sgr_result_t
local_file_result (sgr_result_t result, sgr_config_error_t *error)
{
  if (error->result == SGR_ERR_IO)
    error->result = SGR_ERR_INVALID;
  return result == SGR_ERR_IO ? SGR_ERR_INVALID : result;
}

static sgr_result_t
signer_load (const sgr_ctl_options_t *options, signer_t *signer, sgr_config_error_t *error)
{
  sgr_result_t result;

  if (options->owner == NULL || options->key_file == NULL || options->owners_file == NULL)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "",
                                 "the command needs --owner NAME, --key FILE and --owners FILE");
  result = sgr_ctl_owners_load (options->owners_file, &signer->owners, error);
  if (result == SGR_OK)
    result = sgr_ctl_keys_load_secret (options->key_file, signer->secret_key, error);
  return local_file_result (result, error);
}

static void
signer_release (signer_t *signer)
{
  sodium_memzero (signer->secret_key, sizeof signer->secret_key);
  sgr_config_record_destroy (signer->base);
}

/* Loads the record in force from a node. The signatures are verified in this process, so that a
   node cannot make an owner sign an edit that applies to other content than the owners approved. */
static sgr_result_t
signer_load_base (signer_t *signer, sgr_ctl_client_t *client, sgr_config_error_t *error)
{
  sgr_ctl_reply_t reply;
  sgr_result_t result
      = sgr_ctl_client_request (client, "GET", "/v1/config/raw", NULL, &reply, error);
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
approval_sign (const signer_t *signer, const char *owner, sgr_config_change_t *change,
               sgr_config_approval_t *approval, sgr_config_error_t *error)
{
  sgr_config_digest_t digest;

  memset (approval, 0, sizeof *approval);
  snprintf (approval->owner, sizeof approval->owner, "%s", owner);
  sgr_config_change_digest (change, &digest);
  sgr_config_statement_sign (&digest, signer->secret_key, approval->signature);
  return sgr_config_approval_verify (&signer->owners, &digest, approval, error) < 0 ? SGR_ERR_DENIED
                                                                                    : SGR_OK;
}

/* Reads the body of a change from a file. A document with "put" or "remove" is an edit, any other
   is the complete new content. */
static sgr_result_t
change_body_read (const char *file, const signer_t *signer, sgr_ctl_yaml_t *yaml, json_t **body,
                  sgr_config_error_t *error)
{
  const char *deployment;
  bool is_edit;

  *body = NULL;
  if (sgr_ctl_yaml_read (file, yaml, error) != SGR_OK)
    return local_file_result (SGR_ERR_INVALID, error);
  deployment = json_string_value (json_object_get (yaml->json, "deployment"));
  if (deployment == NULL || strcmp (deployment, signer->owners.deployment) != 0)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "deployment",
                                 "%s:%d: deployment: found \"%s\", expected \"%s\" as in the "
                                 "owners file",
                                 file, sgr_ctl_yaml_line (yaml, "deployment"),
                                 deployment != NULL ? deployment : "", signer->owners.deployment);
  is_edit = json_object_get (yaml->json, "put") != NULL
            || json_object_get (yaml->json, "remove") != NULL;
  json_object_del (yaml->json, "deployment");
  *body = json_object ();
  json_object_set (*body, is_edit ? "edit" : "full", yaml->json);
  return SGR_OK;
}

static void
random_name_generate (const char *prefix, char *name, size_t size)
{
  uint8_t bytes[8];
  char hex[2 * sizeof bytes + 1];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (hex, sizeof hex, bytes, sizeof bytes);
  snprintf (name, size, "%s-%s", prefix, hex);
}

static sgr_result_t
change_create (const sgr_ctl_options_t *options, const signer_t *signer,
               sgr_config_change_t **change, sgr_config_error_t *error)
{
  const char *file = options->arguments[1];
  char id[SGR_NAME_MAX + 1];
  sgr_config_error_t propose_error = { SGR_OK };
  sgr_ctl_yaml_t yaml = { 0 };
  json_t *body;
  sgr_result_t result = change_body_read (file, signer, &yaml, &body, error);

  if (result == SGR_OK)
    {
      random_name_generate ("change", id, sizeof id);
      result = sgr_config_change_propose (signer->owners.deployment, signer->base,
                                          options->change_id != NULL ? options->change_id : id,
                                          options->owner, body, change, &propose_error);
      if (result != SGR_OK)
        sgr_config_error_set (error, result, propose_error.path, "%s:%d: %.120s: %.180s", file,
                              sgr_ctl_yaml_line (&yaml, propose_error.path),
                              propose_error.path[0] != '\0' ? propose_error.path : "document",
                              propose_error.message);
    }
  if (result == SGR_OK)
    {
      random_name_generate ("ctl", (*change)->writer, sizeof (*change)->writer);
      result = approval_sign (signer, options->owner, *change, &(*change)->approvals[0], error);
    }
  json_decref (body);
  sgr_ctl_yaml_release (&yaml);
  return result;
}

static bool
has_approval_of (const json_t *approvals, const char *owner)
{
  size_t index;
  json_t *approval;

  json_array_foreach ((json_t *)approvals, index, approval)
  {
    const char *name = json_string_value (json_object_get (approval, "owner"));

    if (name != NULL && strcmp (name, owner) == 0)
      return true;
  }
  return false;
}

/* Reads the change back after a lost reply. The writer id shows whether the stored change was
   written by this process. A change with one approval is done once it is stored. A change with both
   approvals is done only when it is in force, because the node may have stored the second approval
   and not yet the configuration record. */
static sgr_result_t
change_read_back (sgr_ctl_client_t *client, const sgr_config_change_t *change, const char *owner,
                  sgr_ctl_reply_t *reply, sgr_config_error_t *error)
{
  char path[SGR_NAME_MAX + 32];

  snprintf (path, sizeof path, "/v1/changes/%s", change->statement.id);
  for (int i = 0; i < READ_BACKS_MAX; i++)
    {
      const json_t *found, *approvals;
      const char *writer, *state;

      sgr_ctl_client_pause (client, READ_BACK_INTERVAL_MS);
      json_decref (reply->json);
      if (sgr_ctl_client_request (client, "GET", path, NULL, reply, error) != SGR_OK)
        continue;
      found = json_object_get (reply->json, "change");
      writer = json_string_value (json_object_get (found, "writer"));
      state = json_string_value (json_object_get (reply->json, "state"));
      if (writer == NULL || strcmp (writer, change->writer) != 0)
        return sgr_config_error_set (error, SGR_ERR_CONFLICT, "id",
                                     "another change has this id, expected a new one");
      approvals = json_object_get (found, "approvals");
      if (has_approval_of (approvals, owner)
          && (json_array_size (approvals) < SGR_CONFIG_OWNER_COUNT
              || (state != NULL && strstr (state, "in-force") != NULL)))
        return SGR_OK;
    }
  return sgr_config_error_set (error, SGR_ERR_IO, "",
                               "the reply was lost and it is unknown whether the change %s was "
                               "written; read it with \"get change %s\" and approve it again",
                               change->statement.id, change->statement.id);
}

int
sgr_ctl_run_propose (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                     FILE *err)
{
  bool is_create = strcmp (options->arguments[0], "create") == 0;
  sgr_config_change_t *change = NULL;
  sgr_ctl_reply_t reply = { 0 };
  sgr_config_error_t error = { SGR_OK };
  signer_t signer = { 0 };
  json_t *json = NULL;
  sgr_result_t result = signer_load (options, &signer, &error);

  if (result == SGR_OK)
    result = signer_load_base (&signer, client, &error);
  if (result == SGR_OK && is_create != (signer.base == NULL))
    result
        = sgr_config_error_set (&error, SGR_ERR_CONFLICT, "",
                                is_create ? "the deployment has a configuration, expected none; "
                                            "use propose"
                                          : "the deployment has no configuration yet; use create");
  if (result == SGR_OK)
    result = change_create (options, &signer, &change, &error);
  if (result == SGR_OK)
    {
      sgr_invariant (change != NULL);
      json = sgr_config_change_write (change);
      result = sgr_ctl_client_request (client, "POST", "/v1/changes", json, &reply, &error);
      if (result == SGR_ERR_IO)
        result = change_read_back (client, change, options->owner, &reply, &error);
    }
  if (result == SGR_OK)
    sgr_ctl_print_change (options, reply.json, out);
  json_decref (json);
  json_decref (reply.json);
  sgr_config_change_destroy (change);
  signer_release (&signer);
  return result == SGR_OK ? SGR_CTL_EXIT_OK : sgr_ctl_error_print (err, &error);
}

/* Reads the change to approve and checks it in this process against the verified base, so that the
   owner knows which content the signature approves. */
static sgr_result_t
change_review (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, signer_t *signer,
               sgr_config_change_t **change, sgr_config_error_t *error)
{
  char path[SGR_NAME_MAX + 32], hex[SGR_CONFIG_DIGEST_HEX_BYTES];
  sgr_config_digest_t digest;
  sgr_ctl_reply_t reply;
  sgr_result_t result;
  char *text;

  if (!sgr_label_is_valid (options->arguments[1]))
    return sgr_config_error_set (error, SGR_ERR_INVALID, "id", "expected the id of a change");
  snprintf (path, sizeof path, "/v1/changes/%s", options->arguments[1]);
  result = sgr_ctl_client_request (client, "GET", path, NULL, &reply, error);
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
  if (options->expected_digest != NULL && strcmp (options->expected_digest, hex) != 0)
    return sgr_config_error_set (error, SGR_ERR_DENIED, "digest",
                                 "found %s, expected the digest that was reviewed", hex);
  /* The change already has the approvals of both owners, whose signatures are not verified here.
     Another approval only makes the node put the change into force, so the change is not checked
     against the base. */
  if (sgr_config_change_approval_count (*change) == SGR_CONFIG_OWNER_COUNT)
    return SGR_OK;
  result = signer_load_base (signer, client, error);
  if (result == SGR_OK)
    result = sgr_config_change_check (*change, &signer->owners, signer->base, NULL, error);
  return result;
}

int
sgr_ctl_run_approve (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                     FILE *err)
{
  char path[SGR_NAME_MAX + 32], hex[SGR_CONFIG_DIGEST_HEX_BYTES];
  sgr_config_change_t *change = NULL;
  sgr_config_approval_t approval;
  sgr_config_digest_t digest;
  sgr_ctl_reply_t reply = { 0 };
  sgr_config_error_t error = { SGR_OK };
  signer_t signer = { 0 };
  json_t *json = NULL;
  sgr_result_t result = signer_load (options, &signer, &error);

  if (result == SGR_OK)
    result = change_review (options, client, &signer, &change, &error);
  if (result == SGR_OK)
    result = approval_sign (&signer, options->owner, change, &approval, &error);
  if (result == SGR_OK)
    {
      sgr_invariant (change != NULL);
      sgr_config_change_digest (change, &digest);
      sgr_config_digest_format (&digest, hex);
      json = json_object ();
      json_object_set_new (json, "digest", json_string (hex));
      json_object_set_new (json, "approval", sgr_config_approval_write (&approval));
      snprintf (path, sizeof path, "/v1/changes/%s/approve", change->statement.id);
      result = sgr_ctl_client_request (client, "POST", path, json, &reply, &error);
      if (result == SGR_ERR_IO)
        result = change_read_back (client, change, options->owner, &reply, &error);
    }
  if (result == SGR_OK)
    sgr_ctl_print_change (options, reply.json, out);
  json_decref (json);
  json_decref (reply.json);
  sgr_config_change_destroy (change);
  signer_release (&signer);
  return result == SGR_OK ? SGR_CTL_EXIT_OK : sgr_ctl_error_print (err, &error);
}
