#include <stdlib.h>
#include <string.h>

#include "config_commit_private.h"

static void write_proposal (operation_t *op);
static void read_back (operation_t *op);

static void
read_back_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  sgr_config_change_t *found = NULL;
  bool own;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      op->unknown = true;
      operation_unreachable (op, reply, read_back);
      return;
    }
  if (reply->value == NULL)
    {
      /* Not there: the write did not take effect, or has not yet, or this read is stale. The same
         create-if-absent again cannot take effect twice. */
      if (!operation_retry (op, write_proposal))
        operation_fail (op, SGR_ERR_IO, "",
                        "it is unknown whether the proposal was written, read the change back");
      return;
    }
  own = sgr_config_change_parse (reply->value, reply->length, &found, NULL) == SGR_OK
        && strcmp (found->writer, op->change->writer) == 0
        && memcmp (&found->statement.content, &op->change->statement.content,
                   sizeof found->statement.content)
               == 0;
  sgr_config_change_destroy (found);
  if (own)
    sgr_config_index_add (op);
  else
    operation_fail (op, SGR_ERR_CONFLICT, "id", "another change has this id, expected a new one");
}

static void
read_back (operation_t *op)
{
  operation_get (op, op->change_key, read_back_done);
}

static void
write_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  switch (reply->outcome)
    {
    case SGR_STORE_OK:
      sgr_config_index_add (op);
      return;
    case SGR_STORE_CONFLICT:
      read_back (op);
      return;
    case SGR_STORE_UNKNOWN:
      op->commit->unknown_count++;
      op->unknown = true;
      operation_unreachable (op, reply, read_back);
      return;
    case SGR_STORE_UNAVAILABLE:
      operation_unreachable (op, reply, read_back);
      return;
    }
}

static void
write_proposal (operation_t *op)
{
  operation_swap (op, op->change_key, 0, op->text, write_done);
}

static sgr_result_t
check_approvals (operation_t *op)
{
  sgr_config_change_t bare = *op->change;

  memset (bare.approvals, 0, sizeof bare.approvals);
  for (int i = 0; i < SGR_CONFIG_OWNERS; i++)
    if (op->change->approvals[i].owner[0] != '\0')
      {
        sgr_result_t result = sgr_config_change_approve (&bare, &op->commit->owners,
                                                         &op->change->approvals[i], &op->error);

        if (result != SGR_OK)
          return result;
      }
  return SGR_OK;
}

static void
base_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  const sgr_config_record_t *base;
  sgr_result_t result;
  json_t *json;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      operation_unreachable (op, reply, NULL);
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
  operation_get (op, op->current_key, base_done);
}
