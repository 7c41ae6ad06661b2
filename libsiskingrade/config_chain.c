#include "config_chain.h"

#include <stdlib.h>
#include <string.h>

#include "config_json.h"

#define STEP_EDITS_MAX 8

static const char *const record_keys[]
    = { "format", "deployment", "statement", "approvals", "lineage", NULL };

sgr_config_record_t *
sgr_config_record_create (void)
{
  return calloc (1, sizeof (sgr_config_record_t));
}

void
sgr_config_record_destroy (sgr_config_record_t *record)
{
  if (record == NULL)
    return;
  sgr_config_content_destroy (record->content);
  sgr_buffer_release (&record->text);
  free (record);
}

json_t *
sgr_config_record_write (const char *deployment, const sgr_config_record_t *record)
{
  json_t *json = json_object (), *approvals = json_array (), *lineage = json_array ();

  for (int i = 0; i < SGR_CONFIG_OWNERS; i++)
    json_array_append_new (approvals, sgr_config_approval_write (&record->approvals[i]));
  for (size_t i = 0; i < record->lineage_count; i++)
    json_array_append_new (lineage, sgr_config_statement_write (&record->lineage[i]));
  json_object_set_new (json, "format", json_integer (1));
  json_object_set_new (json, "deployment", json_string (deployment));
  json_object_set_new (json, "statement", sgr_config_statement_write (&record->statement));
  json_object_set_new (json, "approvals", approvals);
  json_object_set_new (json, "lineage", lineage);
  return json;
}

static sgr_result_t
read_head (const sgr_config_owners_t *owners, const json_t *json, sgr_config_record_t *record,
           sgr_config_error_t *error)
{
  char deployment[SGR_NAME_MAX + 1];
  uint64_t format;

  if (sgr_config_json_u64 (json, "", "format", 1, 1, &format, error) != SGR_OK
      || sgr_config_json_name (json, "", "deployment", deployment, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (strcmp (deployment, owners->deployment) != 0)
    return sgr_config_error_set (error, SGR_ERR_DENIED, "deployment",
                                 "found \"%s\", expected \"%s\"", deployment, owners->deployment);
  if (sgr_config_statement_read (json_object_get (json, "statement"), "statement",
                                 &record->statement, error)
      != SGR_OK)
    return SGR_ERR_INVALID;
  sgr_config_statement_digest (deployment, &record->statement, &record->digest);
  return SGR_OK;
}

static sgr_result_t
read_approvals (const sgr_config_owners_t *owners, const json_t *json, sgr_config_record_t *record,
                sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, "approvals");
  char found[80], place[SGR_CONFIG_PATH_MAX];

  if (!json_is_array (list) || json_array_size (list) != SGR_CONFIG_OWNERS)
    return sgr_config_error_set (error, SGR_ERR_DENIED, "approvals",
                                 "found %s of %zu, expected the approvals of both owners",
                                 sgr_config_json_found (list, found, sizeof found),
                                 json_array_size (list));
  for (size_t i = 0; i < SGR_CONFIG_OWNERS; i++)
    {
      sgr_config_approval_t approval;
      int owner;

      sgr_config_json_path_at (place, "", "approvals", i);
      if (sgr_config_approval_read (json_array_get (list, i), place, &approval, error) != SGR_OK)
        return SGR_ERR_INVALID;
      owner = sgr_config_approval_verify (owners, &record->digest, &approval, error);
      if (owner < 0)
        return SGR_ERR_DENIED;
      if (record->approvals[owner].owner[0] != '\0')
        return sgr_config_error_set (error, SGR_ERR_DENIED, place,
                                     "found \"%s\" a second time, expected both owners",
                                     approval.owner);
      record->approvals[owner] = approval;
    }
  return SGR_OK;
}

/* The length of the lineage is fixed by the revision, so that it cannot be cut to hide a fork. */
static sgr_result_t
read_lineage (const sgr_config_owners_t *owners, const json_t *json, sgr_config_record_t *record,
              sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, "lineage");
  const sgr_config_statement_t *child = &record->statement;
  uint64_t wanted = record->statement.revision - 1;
  static const sgr_config_digest_t zero;

  if (wanted > SGR_CONFIG_LINEAGE_MAX)
    wanted = SGR_CONFIG_LINEAGE_MAX;
  if (!json_is_array (list) || json_array_size (list) != wanted)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "lineage",
                                 "found %zu entries, expected a list of %d", json_array_size (list),
                                 (int)wanted);
  for (size_t i = 0; i < wanted; i++)
    {
      sgr_config_digest_t digest;
      char place[SGR_CONFIG_PATH_MAX];

      sgr_config_json_path_at (place, "", "lineage", i);
      if (sgr_config_statement_read (json_array_get (list, i), place, &record->lineage[i], error)
          != SGR_OK)
        return SGR_ERR_INVALID;
      sgr_config_statement_digest (owners->deployment, &record->lineage[i], &digest);
      if (record->lineage[i].revision + 1 != child->revision
          || !sgr_config_digest_equal (&digest, &child->predecessor))
        return sgr_config_error_set (error, SGR_ERR_DENIED, place,
                                     "found a statement that is not the predecessor of revision "
                                     "%llu",
                                     (unsigned long long)child->revision);
      child = &record->lineage[i];
    }
  record->lineage_count = wanted;
  if (child->revision == 1 && !sgr_config_digest_equal (&child->predecessor, &zero))
    return sgr_config_error_set (error, SGR_ERR_INVALID, "statement.predecessor",
                                 "found a predecessor of revision 1, expected zeros");
  return SGR_OK;
}

static sgr_result_t
check_content (const sgr_config_record_t *record, sgr_config_error_t *error)
{
  if (!sgr_config_digest_equal (&record->content->digest, &record->statement.content))
    return sgr_config_error_set (error, SGR_ERR_DENIED, "content",
                                 "the content is not the one that the owners approved");
  if (!sgr_config_content_sorted (record->content))
    return sgr_config_error_set (error, SGR_ERR_INVALID, "content",
                                 "found lists out of order, expected them sorted by name");
  return SGR_OK;
}

static json_t *
load_record (const void *text, size_t length, sgr_config_error_t *error)
{
  if (length > SGR_CONFIG_VALUE_MAX)
    {
      sgr_config_error_set (error, SGR_ERR_LIMIT, "", "found %zu bytes, expected at most %d",
                            length, SGR_CONFIG_VALUE_MAX);
      return NULL;
    }
  return sgr_config_json_load (text, length, error);
}

sgr_result_t
sgr_config_record_verify (const sgr_config_owners_t *owners, const void *text, size_t length,
                          sgr_config_record_t **record, sgr_config_error_t *error)
{
  static const char *const content_keys[] = { "content", NULL };
  json_t *json = load_record (text, length, error);
  sgr_config_record_t *made = NULL;
  sgr_result_t result;

  *record = NULL;
  if (json == NULL)
    return length > SGR_CONFIG_VALUE_MAX ? SGR_ERR_LIMIT : SGR_ERR_INVALID;
  made = sgr_config_record_create ();
  result = sgr_config_json_object (json, "", record_keys, content_keys, error);
  if (result == SGR_OK)
    result = read_head (owners, json, made, error);
  if (result == SGR_OK)
    result = read_approvals (owners, json, made, error);
  if (result == SGR_OK)
    result = read_lineage (owners, json, made, error);
  if (result == SGR_OK)
    result = sgr_config_content_parse (json_object_get (json, "content"), "content", &made->content,
                                       error);
  if (result == SGR_OK)
    result = check_content (made, error);
  json_decref (json);
  if (result != SGR_OK)
    {
      sgr_config_record_destroy (made);
      return result;
    }
  sgr_buffer_append (&made->text, text, length);
  *record = made;
  return SGR_OK;
}

/* A step for another revision is usual: the node took a record on another way meanwhile. */
static sgr_result_t
check_from (const json_t *json, const sgr_config_record_t *base, sgr_config_error_t *error)
{
  uint64_t from;

  if (sgr_config_json_u64 (json, "", "from", 1, INT64_MAX, &from, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (base == NULL || base->statement.revision != from)
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "from",
                                 "found %llu, expected the revision in force",
                                 (unsigned long long)from);
  return SGR_OK;
}

static sgr_result_t
apply_edits (const json_t *json, const sgr_config_record_t *base, sgr_config_record_t *record,
             sgr_config_error_t *error)
{
  const json_t *edits = json_object_get (json, "edits");
  const sgr_config_content_t *content = base->content;
  sgr_config_content_t *next = NULL;
  sgr_result_t result;

  if (!json_is_array (edits) || json_array_size (edits) < 1
      || json_array_size (edits) > STEP_EDITS_MAX)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "edits",
                                 "found %zu, expected a list of 1 to %d edits",
                                 json_array_size (edits), STEP_EDITS_MAX);
  for (size_t i = 0; i < json_array_size (edits); i++)
    {
      result = sgr_config_content_apply (content, json_array_get (edits, i), &next, error);
      if (i > 0)
        sgr_config_content_destroy ((sgr_config_content_t *)content);
      content = next;
      if (result != SGR_OK)
        return result;
    }
  record->content = next;
  return SGR_OK;
}

/* A step leaves out the ancestors that its receiver holds. They are added from the base, and then
   verified by their digests like all others. */
static void
complete_lineage (json_t *json, const sgr_config_record_t *base, uint64_t revision)
{
  json_t *list = json_object_get (json, "lineage");
  uint64_t wanted = revision - 1;

  if (wanted > SGR_CONFIG_LINEAGE_MAX)
    wanted = SGR_CONFIG_LINEAGE_MAX;
  if (!json_is_array (list))
    return;
  if (json_array_size (list) < wanted)
    json_array_append_new (list, sgr_config_statement_write (&base->statement));
  for (size_t i = 0; i < base->lineage_count && json_array_size (list) < wanted; i++)
    json_array_append_new (list, sgr_config_statement_write (&base->lineage[i]));
}

sgr_result_t
sgr_config_record_verify_step (const sgr_config_owners_t *owners, const void *text, size_t length,
                               const sgr_config_record_t *base, sgr_config_record_t **record,
                               sgr_config_error_t *error)
{
  static const char *const step_keys[] = { "from", "edits", NULL };
  json_t *json = load_record (text, length, error), *full;
  sgr_config_record_t *made = NULL;
  sgr_result_t result;
  char *full_text;

  *record = NULL;
  if (json == NULL)
    return length > SGR_CONFIG_VALUE_MAX ? SGR_ERR_LIMIT : SGR_ERR_INVALID;
  made = sgr_config_record_create ();
  result = sgr_config_json_object (json, "", record_keys, step_keys, error);
  if (result == SGR_OK)
    result = check_from (json, base, error);
  if (result == SGR_OK)
    result = read_head (owners, json, made, error);
  if (result == SGR_OK)
    result = read_approvals (owners, json, made, error);
  if (result == SGR_OK)
    complete_lineage (json, base, made->statement.revision);
  if (result == SGR_OK)
    result = read_lineage (owners, json, made, error);
  if (result == SGR_OK)
    result = apply_edits (json, base, made, error);
  if (result == SGR_OK)
    result = check_content (made, error);
  json_decref (json);
  if (result != SGR_OK)
    {
      sgr_config_record_destroy (made);
      return result;
    }
  full = sgr_config_record_write (owners->deployment, made);
  json_object_set (full, "content", made->content->json);
  full_text = sgr_config_json_canonical (full);
  sgr_buffer_append (&made->text, full_text, strlen (full_text));
  free (full_text);
  json_decref (full);
  *record = made;
  return SGR_OK;
}

sgr_result_t
sgr_config_chain_accept (const sgr_config_record_t *current, const sgr_config_record_t *next,
                         sgr_config_error_t *error)
{
  uint64_t held, offered = next->statement.revision, gap;
  const sgr_config_digest_t *link;

  if (current == NULL)
    return SGR_OK;
  held = current->statement.revision;
  if (offered <= held)
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "statement.revision",
                                 "found %llu, expected more than %llu, the revision in force",
                                 (unsigned long long)offered, (unsigned long long)held);
  gap = offered - held;
  if (gap > next->lineage_count + 1)
    return SGR_OK;
  link = gap == 1 ? &next->statement.predecessor : &next->lineage[gap - 2].predecessor;
  if (!sgr_config_digest_equal (link, &current->digest))
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "statement.predecessor",
                                 "revision %llu does not descend from the revision %llu in force",
                                 (unsigned long long)offered, (unsigned long long)held);
  return SGR_OK;
}

int
sgr_config_record_contains (const char *deployment, const sgr_config_record_t *record,
                            const sgr_config_digest_t *digest, uint64_t revision)
{
  sgr_config_digest_t other;
  uint64_t gap;

  if (record == NULL || revision > record->statement.revision)
    return -1;
  gap = record->statement.revision - revision;
  if (gap == 0)
    return sgr_config_digest_equal (&record->digest, digest);
  if (gap > record->lineage_count)
    return -1;
  sgr_config_statement_digest (deployment, &record->lineage[gap - 1], &other);
  return sgr_config_digest_equal (&other, digest);
}
