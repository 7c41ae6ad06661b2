#include "config_state.h"

#include <stdlib.h>
#include <string.h>

/* A step holds the edits from one revision to a later one, at most this many. A node that needs
   more edits reads the complete record. The limit in config_chain.c is the same. */
#define STEP_EDITS_MAX 8

/**
 * struct history_change_t - one change of the record in force
 * @from: revision before the change
 * @to: revision after the change
 * @id: id of the change that led to @to; empty for a document of a source
 * @edit: edit that turns the content of @from into that of @to
 */
typedef struct
{
  uint64_t from;
  uint64_t to;
  char id[SGR_NAME_MAX + 1];
  json_t *edit;
} history_change_t;

/*
 * @source: source of documents, NULL for records of the owners
 * @cache: parts of the last document of @source
 * @record: record in force, NULL for none
 * @history: ring buffer of @history_max changes
 * @history_start: index of the oldest change in @history
 */
struct sgr_config_state_t
{
  sgr_config_owners_t owners;
  const sgr_config_source_t *source;
  sgr_config_cache_t *cache;
  sgr_config_record_t *record;
  history_change_t *history;
  size_t history_max;
  size_t history_start;
  size_t history_count;
};

sgr_config_state_t *
sgr_config_state_create (const sgr_config_owners_t *owners, size_t history_max)
{
  sgr_config_state_t *state = calloc (1, sizeof *state);

  if (state == NULL)
    return NULL;
  state->owners = *owners;
  state->history_max = history_max > 0 ? history_max : 1;
  state->history = calloc (state->history_max, sizeof *state->history);
  if (state->history == NULL)
    {
      free (state);
      return NULL;
    }
  return state;
}

void
sgr_config_state_source_set (sgr_config_state_t *state, const sgr_config_source_t *source)
{
  sgr_invariant (state->record == NULL);
  sgr_config_cache_destroy (state->cache);
  state->cache = sgr_config_cache_create ();
  state->source = source;
}

size_t
sgr_config_state_parts_read (const sgr_config_state_t *state)
{
  return state->cache != NULL ? sgr_config_cache_added (state->cache) : 0;
}

void
sgr_config_state_destroy (sgr_config_state_t *state)
{
  if (state == NULL)
    return;
  for (size_t i = 0; i < state->history_max; i++)
    json_decref (state->history[i].edit);
  free (state->history);
  sgr_config_record_destroy (state->record);
  sgr_config_cache_destroy (state->cache);
  free (state);
}

/* The change at an index of the history, 0 for the oldest. */
static const history_change_t *
history_at (const sgr_config_state_t *state, size_t index)
{
  return &state->history[(state->history_start + index) % state->history_max];
}

static void
history_add (sgr_config_state_t *state, const sgr_config_record_t *from,
             const sgr_config_record_t *to)
{
  history_change_t *added;

  if (state->history_count == state->history_max)
    {
      state->history_start = (state->history_start + 1) % state->history_max;
      state->history_count--;
    }
  added = &state->history[(state->history_start + state->history_count++) % state->history_max];
  json_decref (added->edit);
  added->from = from->statement.revision;
  added->to = to->statement.revision;
  memcpy (added->id, to->statement.id, sizeof added->id);
  added->edit = sgr_config_content_diff (from->content, to->content);
}

/* Checks that a record may replace the one in force. If another system writes the configuration
   (sgr_config_source_t), its documents have no signed predecessor, so only their revisions are
   compared. */
static sgr_result_t
check_successor (const sgr_config_state_t *state, const sgr_config_record_t *record,
                 sgr_config_error_t *error)
{
  uint64_t revision_in_force = sgr_config_state_revision (state);

  if (state->source == NULL)
    return sgr_config_chain_successor_check (state->record, record, error);
  if (record->statement.revision > revision_in_force)
    return SGR_OK;
  return sgr_config_error_set (error, SGR_ERR_CONFLICT, "revision",
                               "found %lu, expected one above %lu", record->statement.revision,
                               revision_in_force);
}

static sgr_result_t
read_source_document (sgr_config_state_t *state, const void *text, size_t length,
                      sgr_config_record_t **record, sgr_config_error_t *error)
{
  const sgr_config_content_t *in_force = state->record != NULL ? state->record->content : NULL;
  sgr_config_content_t *content = NULL;
  json_t *json = NULL;
  uint64_t revision;
  sgr_result_t result = state->source->read (state->cache, text, length, &revision, &json, error);

  if (result == SGR_OK)
    result = sgr_config_content_update (in_force, json, &content, error);
  json_decref (json);
  if (result != SGR_OK)
    return result;
  *record = sgr_config_record_create ();
  sgr_invariant (*record != NULL);
  (*record)->statement.revision = revision;
  (*record)->content = content;
  sgr_buffer_append (&(*record)->text, text, length);
  return SGR_OK;
}

/* Replaces the record in force by @record, or destroys @record if that is not allowed. */
static sgr_result_t
put_in_force (sgr_config_state_t *state, sgr_config_record_t *record, sgr_config_error_t *error)
{
  sgr_result_t result = check_successor (state, record, error);

  if (result != SGR_OK)
    {
      sgr_config_record_destroy (record);
      return result;
    }
  if (state->record != NULL)
    history_add (state, state->record, record);
  sgr_config_record_destroy (state->record);
  state->record = record;
  return SGR_OK;
}

sgr_result_t
sgr_config_state_offer (sgr_config_state_t *state, const void *text, size_t length,
                        sgr_config_error_t *error)
{
  sgr_config_record_t *record;
  sgr_result_t result;

  /* The readers, peers and sgr_config_commit_t often offer the record that is already in force. It
     is not verified again. */
  if (state->record != NULL && length == state->record->text.length
      && memcmp (text, state->record->text.bytes, length) == 0)
    return sgr_config_error_set (error, SGR_ERR_CONFLICT, "statement.revision",
                                 "found the revision in force");
  if (state->source != NULL)
    result = read_source_document (state, text, length, &record, error);
  else
    result = sgr_config_record_verify (&state->owners, text, length, &record, error);
  return result != SGR_OK ? result : put_in_force (state, record, error);
}

sgr_result_t
sgr_config_state_offer_step (sgr_config_state_t *state, const void *text, size_t length,
                             sgr_config_error_t *error)
{
  sgr_config_record_t *record;
  sgr_result_t result;

  if (state->source != NULL)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "", "found a step, expected a document");
  result
      = sgr_config_record_verify_step (&state->owners, text, length, state->record, &record, error);
  return result != SGR_OK ? result : put_in_force (state, record, error);
}

/* Index of the change in the history that starts from a revision; history_count for none. */
static size_t
history_find (const sgr_config_state_t *state, uint64_t from)
{
  size_t index = 0;

  while (index < state->history_count && history_at (state, index)->from != from)
    index++;
  return index;
}

sgr_result_t
sgr_config_state_step_write (const sgr_config_state_t *state, uint64_t from, sgr_buffer_t *text)
{
  size_t index = history_find (state, from);
  json_t *json, *edits, *lineage;
  char *dumped;

  if (state->source != NULL || index == state->history_count
      || state->history_count - index > STEP_EDITS_MAX)
    return SGR_ERR_NOT_FOUND;
  json = sgr_config_record_metadata_write (state->owners.deployment, state->record);
  /* Leave out the statements of revision @from and its ancestors: the receiver has them. */
  lineage = json_object_get (json, "lineage");
  while (json_array_size (lineage) > state->record->statement.revision - from - 1)
    json_array_remove (lineage, json_array_size (lineage) - 1);
  edits = json_array ();
  for (; index < state->history_count; index++)
    json_array_append (edits, history_at (state, index)->edit);
  json_object_set_new (json, "from", json_integer ((json_int_t)from));
  json_object_set_new (json, "edits", edits);
  dumped = sgr_config_json_canonical (json);
  sgr_buffer_append (text, dumped, strlen (dumped));
  free (dumped);
  json_decref (json);
  return SGR_OK;
}

uint64_t
sgr_config_state_revision (const sgr_config_state_t *state)
{
  return state->record == NULL ? 0 : state->record->statement.revision;
}

const sgr_config_record_t *
sgr_config_state_record (const sgr_config_state_t *state)
{
  return state->record;
}

const sgr_config_owners_t *
sgr_config_state_owners (const sgr_config_state_t *state)
{
  return &state->owners;
}

const sgr_policy_t *
sgr_config_state_policy (const sgr_config_state_t *state, const char *service)
{
  return state->record == NULL ? NULL : sgr_config_content_policy (state->record->content, service);
}

size_t
sgr_config_state_service_count (const sgr_config_state_t *state)
{
  return state->record == NULL ? 0 : state->record->content->service_count;
}

const sgr_route_t *
sgr_config_state_routes (const sgr_config_state_t *state, size_t *count)
{
  *count = state->record == NULL ? 0 : state->record->content->route_count;
  return state->record == NULL ? NULL : state->record->content->routes;
}

const sgr_config_accounts_t *
sgr_config_state_accounts (const sgr_config_state_t *state)
{
  return state->record == NULL ? NULL : &state->record->content->accounts;
}

const sgr_policy_t *
sgr_config_state_service_at (const sgr_config_state_t *state, size_t index)
{
  return &state->record->content->services[index];
}

sgr_result_t
sgr_config_state_changes_since (const sgr_config_state_t *state, uint64_t revision,
                                json_t **changes)
{
  size_t index = history_find (state, revision);

  *changes = NULL;
  if (revision >= sgr_config_state_revision (state))
    return SGR_ERR_UNAVAILABLE;
  if (index == state->history_count)
    return SGR_ERR_NOT_FOUND;
  *changes = json_array ();
  for (; index < state->history_count; index++)
    {
      const history_change_t *change = history_at (state, index);
      json_t *json = json_object ();

      json_object_set_new (json, "from", json_integer ((json_int_t)change->from));
      json_object_set_new (json, "revision", json_integer ((json_int_t)change->to));
      json_object_set_new (json, "change", json_string (change->id));
      json_object_set (json, "edit", change->edit);
      json_array_append_new (*changes, json);
    }
  return SGR_OK;
}
