#include "config_chain.h"

#include <stdlib.h>
#include <string.h>

#include "config_json.h"

/* A step holds the edits from one revision to a later one, at most this many.
   sgr_config_state_step_write() has the same limit. */
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
sgr_config_record_metadata_write (const char *deployment, const sgr_config_record_t *record)
{
  json_t *json = json_object (), *approvals = json_array (), *lineage = json_array ();

  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
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
read_statement (const sgr_config_owners_t *owners, const json_t *json, sgr_config_record_t *record,
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
  char found[80], item_path[SGR_CONFIG_PATH_BYTES];

  if (!json_is_array (list) || json_array_size (list) != SGR_CONFIG_OWNER_COUNT)
    return sgr_config_error_set (error, SGR_ERR_DENIED, "approvals",
                                 "found %s of %zu, expected the approvals of both owners",
                                 sgr_config_json_describe (list, found, sizeof found),
                                 json_array_size (list));
  for (size_t i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    {
      sgr_config_approval_t approval;
      int owner;

      sgr_config_json_path_at (item_path, "", "approvals", i);
      if (sgr_config_approval_read (json_array_get (list, i), item_path, &approval, error)
          != SGR_OK)
        return SGR_ERR_INVALID;
      owner = sgr_config_approval_verify (owners, &record->digest, &approval, error);
      if (owner < 0)
        return SGR_ERR_DENIED;
      if (record->approvals[owner].owner[0] != '\0')
        return sgr_config_error_set (error, SGR_ERR_DENIED, item_path,
                                     "found \"%s\" a second time, expected both owners",
                                     approval.owner);
      record->approvals[owner] = approval;
    }
  return SGR_OK;
}

/* Reads and verifies the lineage. It has to list all ancestors of the record, but at most the
   SGR_CONFIG_LINEAGE_MAX newest ones; their number follows from the revision. A shorter lineage is
   rejected, since a sender could leave out ancestors to hide a fork. */
static sgr_result_t
read_lineage (const sgr_config_owners_t *owners, const json_t *json, sgr_config_record_t *record,
              sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, "lineage");
  const sgr_config_statement_t *child = &record->statement;
  uint64_t expected_count = record->statement.revision - 1;
  static const sgr_config_digest_t zero_digest;

  if (expected_count > SGR_CONFIG_LINEAGE_MAX)
    expected_count = SGR_CONFIG_LINEAGE_MAX;
  if (!json_is_array (list) || json_array_size (list) != expected_count)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "lineage",
                                 "found %zu entries, expected a list of %d", json_array_size (list),
                                 (int)expected_count);
  for (size_t i = 0; i < expected_count; i++)
    {
      sgr_config_digest_t digest;
      char item_path[SGR_CONFIG_PATH_BYTES];

      sgr_config_json_path_at (item_path, "", "lineage", i);
      if (sgr_config_statement_read (json_array_get (list, i), item_path, &record->lineage[i],
                                     error)
          != SGR_OK)
        return SGR_ERR_INVALID;
      sgr_config_statement_digest (owners->deployment, &record->lineage[i], &digest);
      if (record->lineage[i].revision + 1 != child->revision
          || !sgr_config_digest_equal (&digest, &child->predecessor))
        return sgr_config_error_set (error, SGR_ERR_DENIED, item_path,
                                     "found a statement that is not the predecessor of revision "
                                     "%llu",
                                     (unsigned long long)child->revision);
      child = &record->lineage[i];
    }
  record->lineage_count = expected_count;
  if (child->revision == 1 && !sgr_config_digest_equal (&child->predecessor, &zero_digest))
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
  if (!sgr_config_content_is_sorted (record->content))
    return sgr_config_error_set (error, SGR_ERR_INVALID, "content",
                                 "found lists out of order, expected them sorted by name");
  return SGR_OK;
}

static json_t *
load_record (const void *text, size_t length, sgr_config_error_t *error)
{
  if (length > SGR_CONFIG_VALUE_MAX_BYTES)
    {
      sgr_config_error_set (error, SGR_ERR_LIMIT, "", "found %zu bytes, expected at most %d",
                            length, SGR_CONFIG_VALUE_MAX_BYTES);
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
  sgr_config_record_t *new_record = NULL;
  sgr_result_t result;

  *record = NULL;
  if (json == NULL)
    return length > SGR_CONFIG_VALUE_MAX_BYTES ? SGR_ERR_LIMIT : SGR_ERR_INVALID;
  new_record = sgr_config_record_create ();
  result = sgr_config_json_object (json, "", record_keys, content_keys, error);
  if (result == SGR_OK)
    result = read_statement (owners, json, new_record, error);
  if (result == SGR_OK)
    result = read_approvals (owners, json, new_record, error);
  if (result == SGR_OK)
    result = read_lineage (owners, json, new_record, error);
  if (result == SGR_OK)
    result = sgr_config_content_parse (json_object_get (json, "content"), "content",
                                       &new_record->content, error);
  if (result == SGR_OK)
    result = check_content (new_record, error);
  json_decref (json);
  if (result != SGR_OK)
    {
      sgr_config_record_destroy (new_record);
      return result;
    }
  sgr_buffer_append (&new_record->text, text, length);
  *record = new_record;
  return SGR_OK;
}

/* Checks that a step starts from the revision in force. If it does not, the result is a conflict
   and not an invalid step, because the sender may be correct: this node may have put a newer record
   in force since it requested the step. */
static sgr_result_t
check_base_revision (const json_t *json, const sgr_config_record_t *base, sgr_config_error_t *error)
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
      /* Free the intermediate content that the previous edit created. The content before the first
         edit belongs to @base. */
      if (i > 0)
        sgr_config_content_destroy ((sgr_config_content_t *)content);
      content = next;
      if (result != SGR_OK)
        return result;
    }
  record->content = next;
  return SGR_OK;
}

/* A step leaves out the ancestors that the base record contains. This function adds them from the
   base; read_lineage() verifies them by their digests as it does with all others. */
static void
complete_lineage (json_t *json, const sgr_config_record_t *base, uint64_t revision)
{
  json_t *list = json_object_get (json, "lineage");
  uint64_t expected_count = revision - 1;

  if (expected_count > SGR_CONFIG_LINEAGE_MAX)
    expected_count = SGR_CONFIG_LINEAGE_MAX;
  if (!json_is_array (list))
    return;
  if (json_array_size (list) < expected_count)
    json_array_append_new (list, sgr_config_statement_write (&base->statement));
  for (size_t i = 0; i < base->lineage_count && json_array_size (list) < expected_count; i++)
    json_array_append_new (list, sgr_config_statement_write (&base->lineage[i]));
}

sgr_result_t
sgr_config_record_verify_step (const sgr_config_owners_t *owners, const void *text, size_t length,
                               const sgr_config_record_t *base, sgr_config_record_t **record,
                               sgr_config_error_t *error)
{
  static const char *const step_keys[] = { "from", "edits", NULL };
  json_t *json = load_record (text, length, error), *complete;
  sgr_config_record_t *new_record = NULL;
  sgr_result_t result;
  char *complete_text;

  *record = NULL;
  if (json == NULL)
    return length > SGR_CONFIG_VALUE_MAX_BYTES ? SGR_ERR_LIMIT : SGR_ERR_INVALID;
  new_record = sgr_config_record_create ();
  result = sgr_config_json_object (json, "", record_keys, step_keys, error);
  if (result == SGR_OK)
    result = check_base_revision (json, base, error);
  if (result == SGR_OK)
    result = read_statement (owners, json, new_record, error);
  if (result == SGR_OK)
    result = read_approvals (owners, json, new_record, error);
  if (result == SGR_OK)
    complete_lineage (json, base, new_record->statement.revision);
  if (result == SGR_OK)
    result = read_lineage (owners, json, new_record, error);
  if (result == SGR_OK)
    result = apply_edits (json, base, new_record, error);
  if (result == SGR_OK)
    result = check_content (new_record, error);
  json_decref (json);
  if (result != SGR_OK)
    {
      sgr_config_record_destroy (new_record);
      return result;
    }
  complete = sgr_config_record_metadata_write (owners->deployment, new_record);
  json_object_set (complete, "content", new_record->content->json);
  complete_text = sgr_config_json_canonical (complete);
  sgr_buffer_append (&new_record->text, complete_text, strlen (complete_text));
  free (complete_text);
  json_decref (complete);
  *record = new_record;
  return SGR_OK;
}

sgr_result_t
sgr_config_chain_successor_check (const sgr_config_record_t *in_force,
                                  const sgr_config_record_t *next, sgr_config_error_t *error)
{
  uint64_t revision_in_force, next_revision = next->statement.revision, distance;
  const sgr_config_digest_t *predecessor;

  if (in_force == NULL)
    return SGR_OK;
  revision_in_force = in_force->statement.revision;
  if (next_revision <= revision_in_force)
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "statement.revision",
                                 "found %llu, expected more than %llu, the revision in force",
                                 (unsigned long long)next_revision,
                                 (unsigned long long)revision_in_force);
  distance = next_revision - revision_in_force;
  /* The lineage does not reach back to the revision in force. The record is accepted nevertheless,
     because both owners have signed it. */
  if (distance > next->lineage_count + 1)
    return SGR_OK;
  predecessor
      = distance == 1 ? &next->statement.predecessor : &next->lineage[distance - 2].predecessor;
  if (!sgr_config_digest_equal (predecessor, &in_force->digest))
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "statement.predecessor",
                                 "revision %llu does not descend from the revision %llu in force",
                                 (unsigned long long)next_revision,
                                 (unsigned long long)revision_in_force);
  return SGR_OK;
}

int
sgr_config_record_contains (const char *deployment, const sgr_config_record_t *record,
                            const sgr_config_digest_t *digest, uint64_t revision)
{
  sgr_config_digest_t ancestor_digest;
  uint64_t distance;

  if (record == NULL || revision > record->statement.revision)
    return -1;
  distance = record->statement.revision - revision;
  if (distance == 0)
    return sgr_config_digest_equal (&record->digest, digest);
  if (distance > record->lineage_count)
    return -1;
  sgr_config_statement_digest (deployment, &record->lineage[distance - 1], &ancestor_digest);
  return sgr_config_digest_equal (&ancestor_digest, digest);
}
