#include <stdlib.h>
#include <string.h>

#include "config_commit_private.h"

static void read_change (operation_t *op);
static void read_current (operation_t *op);

static const char superseded_message[]
    = "another change took effect first; propose this one again on the revision in force";

static void
write_record_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  switch (reply->outcome)
    {
    case SGR_STORE_OK:
      op->commit->callbacks.offer_record (op->commit->ctx, op->text, strlen (op->text));
      operation_finish (op, SGR_OK);
      return;
    case SGR_STORE_CONFLICT:
      /* Another write has replaced the record since it was read, or that read was stale. */
      if (!operation_retry (op, read_current))
        operation_fail (op, op->write_unknown ? SGR_ERR_IO : SGR_ERR_UNAVAILABLE, "",
                        "the store keeps giving an old version of the record in force; try again "
                        "later");
      return;
    case SGR_STORE_UNKNOWN:
      op->commit->unknown_write_count++;
      op->write_unknown = true;
      operation_retry_or_fail (op, reply, read_current);
      return;
    case SGR_STORE_UNAVAILABLE:
      operation_retry_or_fail (op, reply, read_current);
      return;
    }
}

/* Whether the value read from the store differs from the record in force at this node. This node
   must not replace such a value. Either the value is stale, and a compare-and-swap with its version
   would fail; or the value is a record that this node could not verify. Two texts of one record may
   list the approvals in different orders, so the signed statements are compared. */
static bool
stored_value_differs (const operation_t *op, const sgr_config_record_t *in_force,
                      const sgr_store_reply_t *reply)
{
  sgr_config_record_t *stored;
  bool differs;

  if (in_force == NULL || reply->value == NULL)
    return in_force != NULL || reply->value != NULL;
  if (sgr_config_record_verify (&op->commit->owners, reply->value, reply->length, &stored, NULL)
      != SGR_OK)
    return true;
  differs = !sgr_config_digest_equal (&stored->digest, &in_force->digest);
  sgr_config_record_destroy (stored);
  return differs;
}

static void
write_record (operation_t *op, const sgr_config_record_t *base, uint64_t version)
{
  sgr_config_record_t *record;
  sgr_result_t result
      = sgr_config_change_to_record (op->change, &op->commit->owners, base, &record, &op->error);

  if (result != SGR_OK)
    {
      operation_finish (op, result);
      return;
    }
  free (op->text);
  op->text = calloc (1, record->text.length + 1);
  memcpy (op->text, record->text.bytes, record->text.length);
  sgr_config_record_destroy (record);
  operation_swap (op, op->current_key, version, op->text, write_record_done);
}

static void
read_current_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  const sgr_config_record_t *in_force;
  int contains;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      operation_retry_or_fail (op, reply, read_current);
      return;
    }
  in_force = operation_offer_current (op, reply);
  contains = sgr_config_record_contains (op->commit->owners.deployment, in_force, &op->digest,
                                         op->change->statement.revision);
  if (contains == 1)
    operation_finish (op, SGR_OK);
  else if (contains == 0)
    operation_fail (op, SGR_ERR_CONFLICT, "statement.revision", superseded_message);
  else if (stored_value_differs (op, in_force, reply))
    {
      if (!operation_retry (op, read_current))
        operation_fail (op, op->write_unknown ? SGR_ERR_IO : SGR_ERR_UNAVAILABLE, "",
                        "the store keeps giving an old version of the record in force; try again "
                        "later");
    }
  else
    write_record (op, in_force, reply->version);
}

static void
read_current (operation_t *op)
{
  operation_get (op, op->current_key, read_current_done);
}

static void
write_approval_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  switch (reply->outcome)
    {
    case SGR_STORE_OK:
      op->write_unknown = false;
      if (sgr_config_change_approval_count (op->change) == SGR_CONFIG_OWNER_COUNT)
        read_current (op);
      else
        operation_finish (op, SGR_OK);
      return;
    case SGR_STORE_CONFLICT:
      if (!operation_retry (op, read_change))
        operation_fail (op, op->write_unknown ? SGR_ERR_IO : SGR_ERR_UNAVAILABLE, "",
                        "the change is being written by others all the time; try again later");
      return;
    case SGR_STORE_UNKNOWN:
      op->commit->unknown_write_count++;
      op->write_unknown = true;
      operation_retry_or_fail (op, reply, read_change);
      return;
    case SGR_STORE_UNAVAILABLE:
      operation_retry_or_fail (op, reply, read_change);
      return;
    }
}

static bool
approval_is_stored (const operation_t *op)
{
  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    if (strcmp (op->change->approvals[i].owner, op->approval.owner) == 0
        && memcmp (op->change->approvals[i].signature, op->approval.signature,
                   sizeof op->approval.signature)
               == 0)
      return true;
  return false;
}

static void
add_approval (operation_t *op)
{
  sgr_result_t result;
  json_t *json;

  if (approval_is_stored (op))
    {
      /* The approval is in the store already: the reply to the write of this operation was lost, or
         the owner has repeated the command. If the approval of the other owner is there, too, the
         record is written now; otherwise there is nothing left to do. */
      if (sgr_config_change_approval_count (op->change) == SGR_CONFIG_OWNER_COUNT)
        {
          op->write_unknown = false;
          read_current (op);
          return;
        }
      if (op->write_unknown)
        {
          operation_finish (op, SGR_OK);
          return;
        }
    }
  result = sgr_config_change_approve (op->change, &op->commit->owners, &op->approval, &op->error);
  if (result != SGR_OK)
    {
      operation_finish (op, result);
      return;
    }
  free (op->text);
  json = sgr_config_change_write (op->change);
  op->text = sgr_config_json_canonical (json);
  json_decref (json);
  operation_swap (op, op->change_key, op->version, op->text, write_approval_done);
}

static void
read_change_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  const sgr_config_record_t *in_force = op->commit->callbacks.record_in_force (op->commit->ctx);
  sgr_config_digest_t digest;
  sgr_result_t result;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      operation_retry_or_fail (op, reply, read_change);
      return;
    }
  sgr_config_change_destroy (op->change);
  op->change = NULL;
  if (reply->value == NULL)
    {
      operation_fail (op, SGR_ERR_NOT_FOUND, "id", "no change has this id");
      return;
    }
  result = sgr_config_change_parse (reply->value, reply->length, &op->change, &op->error);
  if (result != SGR_OK)
    {
      operation_finish (op, result);
      return;
    }
  op->version = reply->version;
  sgr_config_change_digest (op->change, &digest);
  if (!sgr_config_digest_equal (&digest, &op->digest))
    {
      operation_fail (op, SGR_ERR_DENIED, "digest",
                      "the proposal is not the one that was approved; read it and approve again");
      return;
    }
  if (sgr_config_approval_verify (&op->commit->owners, &digest, &op->approval, &op->error) < 0)
    {
      operation_finish (op, SGR_ERR_DENIED);
      return;
    }
  switch (sgr_config_record_contains (op->commit->owners.deployment, in_force, &digest,
                                      op->change->statement.revision))
    {
    case 1:
      operation_finish (op, SGR_OK);
      return;
    case 0:
      operation_fail (op, SGR_ERR_CONFLICT, "statement.revision", superseded_message);
      return;
    default:
      result
          = sgr_config_change_check (op->change, &op->commit->owners, in_force, NULL, &op->error);
      if (result == SGR_OK)
        add_approval (op);
      else
        operation_finish (op, result);
    }
}

static void
read_change (operation_t *op)
{
  operation_get (op, op->change_key, read_change_done);
}

/* Puts the record that was read from the store in force if it is newer, then reads the change. The
   change has to be checked against the newest record. */
static void
read_base_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      operation_retry_or_fail (op, reply, NULL);
      return;
    }
  operation_offer_current (op, reply);
  read_change (op);
}

void
sgr_config_approve_start (operation_t *op)
{
  operation_get (op, op->current_key, read_base_done);
}
