#include "config_chain.h"

#include <stdio.h>
#include <string.h>

#include "config_json.h"
#include "label.h"

void
sgr_config_statement_digest (const char *deployment, const sgr_config_statement_t *statement,
                             sgr_config_digest_t *digest)
{
  json_t *json = sgr_config_statement_write (statement);

  /* The digest also covers a purpose and the deployment. A signature over the digest therefore
     cannot be used for another kind of document or for another deployment. */
  json_object_set_new (json, "purpose", json_string ("siskingrade-config-change-1"));
  json_object_set_new (json, "deployment", json_string (deployment));
  sgr_config_json_digest (json, digest);
  json_decref (json);
}

void
sgr_config_statement_sign (const sgr_config_digest_t *digest, const uint8_t *secret,
                           uint8_t *signature)
{
  crypto_sign_detached (signature, NULL, digest->bytes, sizeof digest->bytes, secret);
}

int
sgr_config_approval_verify (const sgr_config_owners_t *owners, const sgr_config_digest_t *digest,
                            const sgr_config_approval_t *approval, sgr_config_error_t *error)
{
  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    {
      if (strcmp (owners->owner[i].name, approval->owner) != 0)
        continue;
      if (crypto_sign_verify_detached (approval->signature, digest->bytes, sizeof digest->bytes,
                                       owners->owner[i].key)
          == 0)
        return i;
      sgr_config_error_set (error, SGR_ERR_DENIED, "signature",
                            "the signature of \"%s\" is not over this change, or is made with "
                            "another key; expected a signature over the digest of the statement",
                            approval->owner);
      return -1;
    }
  sgr_config_error_set (error, SGR_ERR_DENIED, "owner",
                        "found \"%s\", expected \"%s\" or \"%s\", the owners of the deployment",
                        approval->owner, owners->owner[0].name, owners->owner[1].name);
  return -1;
}

sgr_result_t
sgr_config_owners_check (const sgr_config_owners_t *owners, sgr_config_error_t *error)
{
  if (!sgr_label_is_valid (owners->deployment))
    return sgr_config_error_set (error, SGR_ERR_INVALID, "deployment",
                                 "found \"%s\", expected a name", owners->deployment);
  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    if (!sgr_label_is_valid (owners->owner[i].name))
      return sgr_config_error_set (error, SGR_ERR_INVALID, "owners",
                                   "found \"%s\", expected a name", owners->owner[i].name);
  if (strcmp (owners->owner[0].name, owners->owner[1].name) == 0)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "owners",
                                 "found \"%s\" twice, expected two owners", owners->owner[0].name);
  if (memcmp (owners->owner[0].key, owners->owner[1].key, SGR_CONFIG_KEY_BYTES) == 0)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "owners",
                                 "found one public key for both owners, expected two keys");
  return SGR_OK;
}

static void
json_set_digest (json_t *json, const char *key, const sgr_config_digest_t *digest)
{
  char hex[SGR_CONFIG_DIGEST_HEX_BYTES];

  sgr_config_digest_format (digest, hex);
  json_object_set_new (json, key, json_string (hex));
}

json_t *
sgr_config_statement_write (const sgr_config_statement_t *statement)
{
  json_t *json = json_object ();

  json_object_set_new (json, "id", json_string (statement->id));
  json_object_set_new (json, "author", json_string (statement->author));
  json_object_set_new (json, "revision", json_integer ((json_int_t)statement->revision));
  json_set_digest (json, "predecessor", &statement->predecessor);
  json_set_digest (json, "content", &statement->content);
  return json;
}

static sgr_result_t
read_digest (const json_t *json, const char *path, const char *key, sgr_config_digest_t *digest,
             sgr_config_error_t *error)
{
  const json_t *value = json_object_get (json, key);
  char found[80], field_path[SGR_CONFIG_PATH_BYTES];

  if (json_is_string (value) && sgr_config_digest_parse (json_string_value (value), digest))
    return SGR_OK;
  sgr_config_json_path (field_path, path, key);
  return sgr_config_error_set (
      error, SGR_ERR_INVALID, field_path, "found %s, expected a digest of %d hexadecimal digits",
      sgr_config_json_describe (value, found, sizeof found), SGR_CONFIG_DIGEST_HEX_BYTES - 1);
}

sgr_result_t
sgr_config_statement_read (const json_t *json, const char *path, sgr_config_statement_t *statement,
                           sgr_config_error_t *error)
{
  static const char *const required[]
      = { "id", "author", "revision", "predecessor", "content", NULL };

  memset (statement, 0, sizeof *statement);
  if (sgr_config_json_object (json, path, required, NULL, error) != SGR_OK
      || sgr_config_json_name (json, path, "id", statement->id, error) != SGR_OK
      || sgr_config_json_name (json, path, "author", statement->author, error) != SGR_OK
      || sgr_config_json_u64 (json, path, "revision", 1, INT64_MAX, &statement->revision, error)
             != SGR_OK
      || read_digest (json, path, "predecessor", &statement->predecessor, error) != SGR_OK
      || read_digest (json, path, "content", &statement->content, error) != SGR_OK)
    return SGR_ERR_INVALID;
  return SGR_OK;
}

json_t *
sgr_config_approval_write (const sgr_config_approval_t *approval)
{
  char hex[2 * SGR_CONFIG_SIGNATURE_BYTES + 1];
  json_t *json = json_object ();

  sodium_bin2hex (hex, sizeof hex, approval->signature, sizeof approval->signature);
  json_object_set_new (json, "owner", json_string (approval->owner));
  json_object_set_new (json, "signature", json_string (hex));
  return json;
}

sgr_result_t
sgr_config_approval_read (const json_t *json, const char *path, sgr_config_approval_t *approval,
                          sgr_config_error_t *error)
{
  static const char *const required[] = { "owner", "signature", NULL };
  char found[80], field_path[SGR_CONFIG_PATH_BYTES];
  const json_t *value = json_object_get (json, "signature");
  const char *hex = json_string_value (value);
  size_t length;

  memset (approval, 0, sizeof *approval);
  if (sgr_config_json_object (json, path, required, NULL, error) != SGR_OK
      || sgr_config_json_name (json, path, "owner", approval->owner, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (hex != NULL && strlen (hex) == 2 * sizeof approval->signature
      && sodium_hex2bin (approval->signature, sizeof approval->signature, hex, strlen (hex), NULL,
                         &length, NULL)
             == 0
      && length == sizeof approval->signature)
    return SGR_OK;
  sgr_config_json_path (field_path, path, "signature");
  return sgr_config_error_set (
      error, SGR_ERR_INVALID, field_path, "found %s, expected a signature of %d hexadecimal digits",
      sgr_config_json_describe (value, found, sizeof found), 2 * SGR_CONFIG_SIGNATURE_BYTES);
}
