#include "config_commit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_commit_private.h"

/* Delay before the first retry, without jitter. The delay doubles with each further retry, but at
   most RETRY_DOUBLINGS_MAX times. */
#define RETRY_DELAY_MIN_MS 50u
#define RETRY_DOUBLINGS_MAX 5

void
sgr_config_commit_current_key (const char *deployment, char *key, size_t size)
{
  snprintf (key, size, "config/%s/current", deployment);
}

sgr_config_commit_t *
sgr_config_commit_create (const sgr_config_owners_t *owners, sgr_store_t *store, uint64_t seed,
                          const sgr_config_commit_callbacks_t *callbacks, void *ctx)
{
  sgr_config_commit_t *commit = calloc (1, sizeof *commit);

  if (commit == NULL)
    return NULL;
  commit->owners = *owners;
  commit->store = store;
  commit->callbacks = *callbacks;
  commit->ctx = ctx;
  sgr_rng_seed (&commit->rng, seed);
  return commit;
}

static void
operation_release (operation_t *op)
{
  operation_t **link = &op->commit->operations;

  while (*link != op)
    link = &(*link)->next;
  *link = op->next;
  sgr_config_change_destroy (op->change);
  free (op->text);
  free (op);
}

void
sgr_config_commit_destroy (sgr_config_commit_t *commit)
{
  if (commit == NULL)
    return;
  while (commit->operations != NULL)
    {
      operation_t *op = commit->operations;

      if (op->call != NULL)
        commit->store->cancel (commit->store, op->call);
      operation_release (op);
    }
  free (commit);
}

uint64_t
sgr_config_commit_unknown_write_count (const sgr_config_commit_t *commit)
{
  return commit->unknown_write_count;
}

static operation_t *
operation_create (sgr_config_commit_t *commit, const char *id, sgr_config_commit_cb_t cb, void *ctx)
{
  operation_t *op = calloc (1, sizeof *op);

  sgr_invariant (op != NULL);
  op->commit = commit;
  op->cb = cb;
  op->ctx = ctx;
  snprintf (op->id, sizeof op->id, "%s", id);
  snprintf (op->change_key, sizeof op->change_key, "config/%s/changes/%s",
            commit->owners.deployment, id);
  sgr_config_commit_current_key (commit->owners.deployment, op->current_key,
                                 sizeof op->current_key);
  op->next = commit->operations;
  commit->operations = op;
  return op;
}

void
operation_finish (operation_t *op, sgr_result_t result)
{
  sgr_config_commit_result_t commit_result
      = { .result = result, .error = op->error, .index = op->index };
  sgr_config_digest_t digest;

  if (result == SGR_OK)
    commit_result.error.result = SGR_OK;
  if (op->change != NULL)
    {
      sgr_config_change_digest (op->change, &digest);
      commit_result.change = op->change;
      commit_result.in_force
          = sgr_config_record_contains (op->commit->owners.deployment,
                                        op->commit->callbacks.record_in_force (op->commit->ctx),
                                        &digest, op->change->statement.revision)
            == 1;
    }
  op->cb (op->ctx, &commit_result);
  operation_release (op);
}

void
operation_fail (operation_t *op, sgr_result_t result, const char *path, const char *message)
{
  sgr_config_error_set (&op->error, result, path, "%s", message);
  operation_finish (op, result);
}

void
operation_get (operation_t *op, const char *key, sgr_store_cb_t cb)
{
  op->call = op->commit->store->get (op->commit->store, key, cb, op);
  if (op->call == NULL)
    operation_fail (op, SGR_ERR_LIMIT, "id", "the key is too long for the store");
}

void
operation_swap (operation_t *op, const char *key, uint64_t expected, const char *text,
                sgr_store_cb_t cb)
{
  op->call = op->commit->store->swap (op->commit->store, key, expected, text,
                                      text == NULL ? 0 : strlen (text), cb, op);
  if (op->call == NULL)
    operation_fail (op, SGR_ERR_LIMIT, "",
                    "the value is too large; the store holds values up to 1 MB");
}

static void
on_retry_delay (void *ctx)
{
  operation_t *op = ctx;

  op->resume (op);
}

bool
operation_retry (operation_t *op, void (*resume) (operation_t *op))
{
  uint32_t delay_ms = RETRY_DELAY_MIN_MS
                      << (op->retries < RETRY_DOUBLINGS_MAX ? op->retries : RETRY_DOUBLINGS_MAX);

  if (++op->retries > OPERATION_RETRIES_MAX)
    return false;
  op->resume = resume;
  delay_ms += (uint32_t)sgr_rng_below (&op->commit->rng, delay_ms);
  op->commit->callbacks.start_delay (op->commit->ctx, delay_ms, on_retry_delay, op);
  return true;
}

void
operation_retry_or_fail (operation_t *op, const sgr_store_reply_t *reply,
                         void (*resume) (operation_t *op))
{
  const char *reason = reply->reason != NULL ? reply->reason : "no reply";
  sgr_result_t result = op->write_unknown ? SGR_ERR_IO : SGR_ERR_UNAVAILABLE;

  if (resume != NULL && (reply->outcome == SGR_STORE_UNKNOWN || op->write_unknown))
    {
      if (operation_retry (op, resume))
        return;
      result = op->write_unknown ? SGR_ERR_IO : result;
    }
  sgr_config_error_set (&op->error, result, "", "the store: %s; %s", reason,
                        result == SGR_ERR_IO
                            ? "it is unknown whether the write took effect, read the change back"
                            : "nothing was written by this step, try again later");
  operation_finish (op, result);
}

const sgr_config_record_t *
operation_offer_current (operation_t *op, const sgr_store_reply_t *reply)
{
  if (reply->value != NULL)
    op->commit->callbacks.offer_record (op->commit->ctx, reply->value, reply->length);
  return op->commit->callbacks.record_in_force (op->commit->ctx);
}

static void
read_change_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    operation_retry_or_fail (op, reply, NULL);
  else if (reply->value == NULL)
    operation_fail (op, SGR_ERR_NOT_FOUND, "id", "no change has this id");
  else
    operation_finish (
        op, sgr_config_change_parse (reply->value, reply->length, &op->change, &op->error));
}

void
sgr_config_commit_get (sgr_config_commit_t *commit, const char *id, sgr_config_commit_cb_t cb,
                       void *ctx)
{
  operation_t *op = operation_create (commit, id, cb, ctx);

  operation_get (op, op->change_key, read_change_done);
}

static void
read_index_done (void *ctx, const sgr_store_reply_t *reply)
{
  operation_t *op = ctx;
  json_t *index;

  op->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      operation_retry_or_fail (op, reply, NULL);
      return;
    }
  index = sgr_config_index_parse (reply->value, reply->length);
  op->index = index;
  operation_finish (op, SGR_OK);
  json_decref (index);
}

void
sgr_config_commit_list (sgr_config_commit_t *commit, sgr_config_commit_cb_t cb, void *ctx)
{
  operation_t *op = operation_create (commit, "", cb, ctx);
  char key[SGR_STORE_KEY_MAX + 1];

  sgr_config_index_key (commit->owners.deployment, key, sizeof key);
  operation_get (op, key, read_index_done);
}

void
sgr_config_commit_propose (sgr_config_commit_t *commit, sgr_config_change_t *change,
                           sgr_config_commit_cb_t cb, void *ctx)
{
  operation_t *op = operation_create (commit, change->statement.id, cb, ctx);

  op->change = change;
  sgr_config_propose_start (op);
}

void
sgr_config_commit_approve (sgr_config_commit_t *commit, const char *id,
                           const sgr_config_digest_t *digest, const sgr_config_approval_t *approval,
                           sgr_config_commit_cb_t cb, void *ctx)
{
  operation_t *op = operation_create (commit, id, cb, ctx);

  op->digest = *digest;
  op->approval = *approval;
  sgr_config_approve_start (op);
}
