#include "config_change.h"

#include <stdlib.h>
#include <string.h>

#include "config_json.h"
#include "label.h"

/* Space in a record for everything but its content: statement, approvals and lineage. */
#define RECORD_METADATA_MAX_BYTES 8000

static sgr_result_t
check_body (const json_t *body, const char *path, sgr_config_error_t *error)
{
  static const char *const kinds[] = { "full", "edit", NULL };

  if (sgr_config_json_object (body, path, NULL, kinds, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (json_object_size (body) != 1)
    return sgr_config_error_set (error, SGR_ERR_INVALID, path,
                                 "found %zu keys, expected either \"full\" or \"edit\"",
                                 json_object_size (body));
  return SGR_OK;
}

static sgr_result_t
content_from_body (const json_t *body, const sgr_config_record_t *base,
                   sgr_config_content_t **content, sgr_config_error_t *error)
{
  const json_t *full = json_object_get (body, "full");

  if (full != NULL)
    return sgr_config_content_parse (full, "", content, error);
  return sgr_config_content_apply (base == NULL ? NULL : base->content,
                                   json_object_get (body, "edit"), content, error);
}

static json_t *
body_normalize (const json_t *body)
{
  const json_t *full = json_object_get (body, "full");
  json_t *normalized = json_object ();

  if (full != NULL)
    json_object_set_new (normalized, "full", sgr_config_content_normalize (full));
  else
    {
      json_t *edit = json_deep_copy (json_object_get (body, "edit"));

      json_object_set_new (edit, "put",
                           sgr_config_content_normalize (json_object_get (edit, "put")));
      json_object_set_new (normalized, "edit", edit);
    }
  return normalized;
}

static sgr_result_t
check_size (const sgr_config_content_t *content, sgr_config_error_t *error)
{
  size_t length = json_dumpb (content->json, NULL, 0, JSON_COMPACT | JSON_ENSURE_ASCII);

  if (length + RECORD_METADATA_MAX_BYTES <= SGR_CONFIG_VALUE_MAX_BYTES)
    return SGR_OK;
  return sgr_config_error_set (error, SGR_ERR_LIMIT, "",
                               "found a content of %zu bytes, expected at most %d, because the "
                               "store holds values up to 1 MB",
                               length, SGR_CONFIG_VALUE_MAX_BYTES - RECORD_METADATA_MAX_BYTES);
}

sgr_result_t
sgr_config_change_propose (const char *deployment, const sgr_config_record_t *base, const char *id,
                           const char *author, const json_t *body, sgr_config_change_t **change,
                           sgr_config_error_t *error)
{
  sgr_config_content_t *content = NULL;
  sgr_config_change_t *new_change;
  sgr_result_t result;

  *change = NULL;
  if (!sgr_label_is_valid (id) || !sgr_label_is_valid (author))
    return sgr_config_error_set (error, SGR_ERR_INVALID, sgr_label_is_valid (id) ? "author" : "id",
                                 "found no valid name, expected 1 to %d letters, digits, '-', '_' "
                                 "and '.'",
                                 SGR_NAME_MAX);
  result = check_body (body, "", error);
  /* Only a valid body can be normalized. */
  if (result == SGR_OK)
    result = content_from_body (body, base, &content, error);
  if (result != SGR_OK)
    return result;
  sgr_config_content_destroy (content);
  new_change = calloc (1, sizeof *new_change);
  new_change->body = body_normalize (body);
  result = content_from_body (new_change->body, base, &content, error);
  if (result == SGR_OK)
    result = check_size (content, error);
  if (result != SGR_OK)
    goto fail;
  memcpy (new_change->deployment, deployment, strlen (deployment) + 1);
  memcpy (new_change->statement.id, id, strlen (id) + 1);
  memcpy (new_change->statement.author, author, strlen (author) + 1);
  new_change->statement.revision = base == NULL ? 1 : base->statement.revision + 1;
  if (base != NULL)
    new_change->statement.predecessor = base->digest;
  new_change->statement.content = content->digest;
  memcpy (new_change->writer, "unset", sizeof "unset");
  sgr_config_content_destroy (content);
  *change = new_change;
  return SGR_OK;

fail:
  sgr_config_content_destroy (content);
  sgr_config_change_destroy (new_change);
  return result;
}

static sgr_result_t
read_change (const json_t *json, sgr_config_change_t *change, sgr_config_error_t *error)
{
  static const char *const required[]
      = { "format", "deployment", "statement", "writer", "body", "approvals", NULL };
  const json_t *approvals = json_object_get (json, "approvals");
  char found[80], item_path[SGR_CONFIG_PATH_BYTES];
  uint64_t format;

  if (sgr_config_json_object (json, "", required, NULL, error) != SGR_OK
      || sgr_config_json_u64 (json, "", "format", 1, 1, &format, error) != SGR_OK
      || sgr_config_json_name (json, "", "deployment", change->deployment, error) != SGR_OK
      || sgr_config_json_name (json, "", "writer", change->writer, error) != SGR_OK
      || sgr_config_statement_read (json_object_get (json, "statement"), "statement",
                                    &change->statement, error)
             != SGR_OK
      || check_body (json_object_get (json, "body"), "body", error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (!json_is_array (approvals) || json_array_size (approvals) > SGR_CONFIG_OWNER_COUNT)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "approvals",
                                 "found %s of %zu, expected a list of at most %d approvals",
                                 sgr_config_json_describe (approvals, found, sizeof found),
                                 json_array_size (approvals), SGR_CONFIG_OWNER_COUNT);
  for (size_t i = 0; i < json_array_size (approvals); i++)
    {
      sgr_config_json_path_at (item_path, "", "approvals", i);
      if (sgr_config_approval_read (json_array_get (approvals, i), item_path, &change->approvals[i],
                                    error)
          != SGR_OK)
        return SGR_ERR_INVALID;
    }
  change->body = json_incref (json_object_get (json, "body"));
  return SGR_OK;
}

sgr_result_t
sgr_config_change_parse (const void *text, size_t length, sgr_config_change_t **change,
                         sgr_config_error_t *error)
{
  sgr_config_change_t *new_change;
  sgr_result_t result;
  json_t *json;

  *change = NULL;
  if (length > SGR_CONFIG_VALUE_MAX_BYTES)
    return sgr_config_error_set (error, SGR_ERR_LIMIT, "",
                                 "found a change of %zu bytes, expected at most %d", length,
                                 SGR_CONFIG_VALUE_MAX_BYTES);
  json = sgr_config_json_load (text, length, error);
  if (json == NULL)
    return SGR_ERR_INVALID;
  new_change = calloc (1, sizeof *new_change);
  result = read_change (json, new_change, error);
  json_decref (json);
  if (result == SGR_OK)
    *change = new_change;
  else
    sgr_config_change_destroy (new_change);
  return result;
}

json_t *
sgr_config_change_write (const sgr_config_change_t *change)
{
  json_t *json = json_object (), *approvals = json_array ();

  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    if (change->approvals[i].owner[0] != '\0')
      json_array_append_new (approvals, sgr_config_approval_write (&change->approvals[i]));
  json_object_set_new (json, "format", json_integer (1));
  json_object_set_new (json, "deployment", json_string (change->deployment));
  json_object_set_new (json, "statement", sgr_config_statement_write (&change->statement));
  json_object_set_new (json, "writer", json_string (change->writer));
  json_object_set (json, "body", change->body);
  json_object_set_new (json, "approvals", approvals);
  return json;
}

static sgr_result_t
check_base (const sgr_config_change_t *change, const sgr_config_record_t *base,
            sgr_config_error_t *error)
{
  static const sgr_config_digest_t zero_digest;
  uint64_t revision = base == NULL ? 0 : base->statement.revision;

  if (change->statement.revision != revision + 1)
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "statement.revision",
                                 "the change is made for base revision %llu, expected %llu, the "
                                 "revision in force; propose it again",
                                 (unsigned long long)change->statement.revision - 1,
                                 (unsigned long long)revision);
  if (!sgr_config_digest_equal (&change->statement.predecessor,
                                base == NULL ? &zero_digest : &base->digest))
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "statement.predecessor",
                                 "the change is made for another revision %llu than the one in "
                                 "force; propose it again",
                                 (unsigned long long)revision);
  return SGR_OK;
}

sgr_result_t
sgr_config_change_check (const sgr_config_change_t *change, const sgr_config_owners_t *owners,
                         const sgr_config_record_t *base, sgr_config_content_t **content,
                         sgr_config_error_t *error)
{
  sgr_config_content_t *new_content = NULL;
  sgr_result_t result;

  if (content != NULL)
    *content = NULL;
  if (strcmp (change->deployment, owners->deployment) != 0)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "deployment",
                                 "found \"%s\", expected \"%s\"", change->deployment,
                                 owners->deployment);
  result = check_base (change, base, error);
  if (result == SGR_OK)
    result = content_from_body (change->body, base, &new_content, error);
  if (result == SGR_OK)
    result = check_size (new_content, error);
  if (result == SGR_OK
      && !sgr_config_digest_equal (&new_content->digest, &change->statement.content))
    result = sgr_config_error_set (error, SGR_ERR_INVALID, "statement.content",
                                   "the digest is not the one of the content that the body gives");
  if (result == SGR_OK && !sgr_config_content_is_sorted (new_content))
    result = sgr_config_error_set (error, SGR_ERR_INVALID, "body",
                                   "found lists out of order, expected them sorted by name");
  if (result == SGR_OK && content != NULL)
    *content = new_content;
  else
    sgr_config_content_destroy (new_content);
  return result;
}

void
sgr_config_change_digest (const sgr_config_change_t *change, sgr_config_digest_t *digest)
{
  sgr_config_statement_digest (change->deployment, &change->statement, digest);
}

sgr_result_t
sgr_config_change_approve (sgr_config_change_t *change, const sgr_config_owners_t *owners,
                           const sgr_config_approval_t *approval, sgr_config_error_t *error)
{
  sgr_config_digest_t digest;
  size_t count = 0;
  int owner;

  sgr_config_change_digest (change, &digest);
  owner = sgr_config_approval_verify (owners, &digest, approval, error);
  if (owner < 0)
    return SGR_ERR_DENIED;
  for (; count < SGR_CONFIG_OWNER_COUNT && change->approvals[count].owner[0] != '\0'; count++)
    if (strcmp (change->approvals[count].owner, approval->owner) == 0)
      return sgr_config_error_set (error, SGR_ERR_CONFLICT, "owner",
                                   "\"%s\" has approved already, expected the other owner",
                                   approval->owner);
  sgr_invariant (count < SGR_CONFIG_OWNER_COUNT);
  change->approvals[count] = *approval;
  return SGR_OK;
}

size_t
sgr_config_change_approval_count (const sgr_config_change_t *change)
{
  size_t count = 0;

  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    count += change->approvals[i].owner[0] != '\0';
  return count;
}

sgr_result_t
sgr_config_change_to_record (const sgr_config_change_t *change, const sgr_config_owners_t *owners,
                             const sgr_config_record_t *base, sgr_config_record_t **record,
                             sgr_config_error_t *error)
{
  sgr_config_content_t *content = NULL;
  sgr_config_record_t draft = { 0 };
  sgr_result_t result = sgr_config_change_check (change, owners, base, &content, error);
  json_t *json;
  char *text;

  *record = NULL;
  if (result != SGR_OK)
    return result;
  sgr_invariant (content != NULL);
  draft.statement = change->statement;
  memcpy (draft.approvals, change->approvals, sizeof draft.approvals);
  if (base != NULL)
    {
      draft.lineage[draft.lineage_count++] = base->statement;
      for (size_t i = 0; i < base->lineage_count && draft.lineage_count < SGR_CONFIG_LINEAGE_MAX;
           i++)
        draft.lineage[draft.lineage_count++] = base->lineage[i];
    }
  json = sgr_config_record_metadata_write (owners->deployment, &draft);
  json_object_set (json, "content", content->json);
  text = sgr_config_json_canonical (json);
  result = sgr_config_record_verify (owners, text, strlen (text), record, error);
  free (text);
  json_decref (json);
  sgr_config_content_destroy (content);
  return result;
}

void
sgr_config_change_destroy (sgr_config_change_t *change)
{
  if (change == NULL)
    return;
  json_decref (change->body);
  free (change);
}
