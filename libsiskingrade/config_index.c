#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_commit_private.h"
#include "label.h"

/* The change index is only used to list changes. A proposal that is missing from it can still be
   read by its id, so a proposal succeeds even if its entry cannot be written. */

/* Most writes of the change index for one proposal; a write fails if another node has modified the
   index since it was read. */
#define INDEX_WRITES_MAX 5

void
sgr_config_index_key (const char *deployment, char *key, size_t size)
{
  snprintf (key, size, "config/%s/changes", deployment);
}

json_t *
sgr_config_index_parse (const void *text, size_t length)
{
  json_t *json = text == NULL ? NULL : sgr_config_json_load (text, length, NULL);

  if (json_is_array (json))
    return json;
  json_decref (json);
  return json_array ();
}

static void
remove_evicted_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  operation_finish (op, SGR_OK);
}

static void
read_evicted_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  if (reply->outcome == SGR_STORE_OK && reply->value != NULL)
    operation_swap (op, op->evicted_key, reply->version, NULL, remove_evicted_done);
  else
    operation_finish (op, SGR_OK);
}

static void
write_index_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  if (reply->outcome == SGR_STORE_CONFLICT && ++op->index_writes < INDEX_WRITES_MAX)
    sgr_config_index_add (op);
  else if (reply->outcome == SGR_STORE_OK && op->evicted_key[0] != '\0')
    operation_get (op, op->evicted_key, read_evicted_done);
  else
    operation_finish (op, SGR_OK);
}

static json_t *
index_entry_create (const operation_t *op)
{
  char hex[SGR_CONFIG_DIGEST_HEX_BYTES];
  sgr_config_digest_t digest;
  json_t *entry = json_object ();

  sgr_config_change_digest (op->change, &digest);
  sgr_config_digest_format (&digest, hex);
  json_object_set_new (entry, "id", json_string (op->id));
  json_object_set_new (entry, "author", json_string (op->change->statement.author));
  json_object_set_new (entry, "revision",
                       json_integer ((json_int_t)op->change->statement.revision));
  json_object_set_new (entry, "digest", json_string (hex));
  return entry;
}

static bool
index_contains (const json_t *index, const char *id)
{
  size_t i;
  json_t *entry;

  json_array_foreach ((json_t *)index, i, entry)
  {
    const char *entry_id = json_string_value (json_object_get (entry, "id"));

    if (entry_id != NULL && strcmp (entry_id, id) == 0)
      return true;
  }
  return false;
}

static void
read_index_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  char key[SGR_STORE_KEY_MAX + 1];
  json_t *index;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      operation_finish (op, SGR_OK);
      return;
    }
  index = sgr_config_index_parse (reply->value, reply->length);
  op->evicted_key[0] = '\0';
  if (index_contains (index, op->id))
    {
      json_decref (index);
      operation_finish (op, SGR_OK);
      return;
    }
  json_array_append_new (index, index_entry_create (op));
  if (json_array_size (index) > SGR_CONFIG_INDEX_ENTRIES_MAX)
    {
      const char *id = json_string_value (json_object_get (json_array_get (index, 0), "id"));

      if (id != NULL && sgr_label_is_valid (id))
        snprintf (op->evicted_key, sizeof op->evicted_key, "config/%s/changes/%s",
                  op->commit->owners.deployment, id);
      json_array_remove (index, 0);
    }
  free (op->text);
  op->text = sgr_config_json_canonical (index);
  json_decref (index);
  sgr_config_index_key (op->commit->owners.deployment, key, sizeof key);
  operation_swap (op, key, reply->version, op->text, write_index_done);
}

void
sgr_config_index_add (operation_t *op)
{
  char key[SGR_STORE_KEY_MAX + 1];

  sgr_config_index_key (op->commit->owners.deployment, key, sizeof key);
  operation_get (op, key, read_index_done);
}
