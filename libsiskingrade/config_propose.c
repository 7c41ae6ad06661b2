#include <stdlib.h>
#include <string.h>

#include "config_commit_private.h"

static void write_proposal (operation_t *op);
static void read_back_proposal (operation_t *op);

static void
read_back_proposal_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  sgr_config_change_t *stored = NULL;
  bool is_own_write;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      op->write_unknown = true;
      operation_retry_or_fail (op, reply, read_back_proposal);
      return;
    }
  if (reply->value == NULL)
    {
      /* The key does not exist, so repeat the write. Either the first write was lost or is late, or
         this read is stale. In each case the repetition is safe: it creates the key only if the
         key does not exist. */
      if (!operation_retry (op, write_proposal))
        operation_fail (op, SGR_ERR_IO, "",
                        "it is unknown whether the proposal was written, read the change back");
      return;
    }
  is_own_write = sgr_config_change_parse (reply->value, reply->length, &stored, NULL) == SGR_OK
                 && strcmp (stored->writer, op->change->writer) == 0
                 && memcmp (&stored->statement.content, &op->change->statement.content,
                            sizeof stored->statement.content)
                        == 0;
  sgr_config_change_destroy (stored);
  if (is_own_write)
    sgr_config_index_add (op);
  else
    operation_fail (op, SGR_ERR_CONFLICT, "id", "another change has this id, expected a new one");
}

static void
read_back_proposal (operation_t *op)
{
  operation_get (op, op->change_key, read_back_proposal_done);
}

static void
write_proposal_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  switch (reply->outcome)
    {
    case SGR_STORE_OK:
      sgr_config_index_add (op);
      return;
    case SGR_STORE_CONFLICT:
      /* The key exists: this operation or another writer has created it. */
      read_back_proposal (op);
      return;
    case SGR_STORE_UNKNOWN:
      op->commit->unknown_write_count++;
      op->write_unknown = true;
      operation_retry_or_fail (op, reply, read_back_proposal);
      return;
    case SGR_STORE_UNAVAILABLE:
      operation_retry_or_fail (op, reply, read_back_proposal);
      return;
    }
}

static void
write_proposal (operation_t *op)
{
  operation_swap (op, op->change_key, 0, op->text, write_proposal_done);
}

/* Verifies the approvals of a proposal by adding each of them to a copy without approvals. */
static sgr_result_t
check_approvals (operation_t *op)
{
  sgr_config_change_t unapproved = *op->change;

  memset (unapproved.approvals, 0, sizeof unapproved.approvals);
  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    if (op->change->approvals[i].owner[0] != '\0')
      {
        sgr_result_t result = sgr_config_change_approve (&unapproved, &op->commit->owners,
                                                         &op->change->approvals[i], &op->error);

        if (result != SGR_OK)
          return result;
      }
  return SGR_OK;
}

static void
read_base_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  const sgr_config_record_t *base;
  sgr_result_t result;
  json_t *json;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      operation_retry_or_fail (op, reply, NULL);
      return;
    }
  base = operation_offer_current (op, reply);
  result = check_approvals (op);
  if (result == SGR_OK)
    result = sgr_config_change_check (op->change, &op->commit->owners, base, NULL, &op->error);
  if (result != SGR_OK)
    {
      operation_finish (op, result);
      return;
    }
  json = sgr_config_change_write (op->change);
  op->text = sgr_config_json_canonical (json);
  json_decref (json);
  write_proposal (op);
}

void
sgr_config_propose_start (operation_t *op)
{
  operation_get (op, op->current_key, read_base_done);
}
