#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gate_run.h"

/* Waiters are the attempts whose entries wait for the answer of a run. This file handles the
   cancels, queries and credit of these entries, and the loss of their connections. */

static uint64_t
attempt_id_hash (const sgr_attempt_id_t *id)
{
  uint64_t words[4] = { id->node, id->boot, id->sequence, id->attempt };

  return XXH64 (words, sizeof words, 0);
}

sgr_gate_waiter_t *
sgr_gate_waiter_find (const sgr_data_gate_t *gate, const sgr_attempt_id_t *id)
{
  sgr_gate_waiter_t *waiter = sgr_id_map_get (gate->waiters, attempt_id_hash (id));

  return waiter != NULL && sgr_attempt_id_equal (&waiter->id, id) ? waiter : NULL;
}

sgr_gate_waiter_t *
sgr_gate_waiter_create (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                        const sgr_attempt_id_t *id, uint64_t credit, sgr_gate_run_t *run)
{
  sgr_gate_waiter_t *waiter = calloc (1, sizeof *waiter);

  sgr_invariant (waiter != NULL);
  waiter->id = *id;
  waiter->channel = channel;
  waiter->credit = credit;
  waiter->run = run;
  sgr_id_map_put (gate->waiters, attempt_id_hash (id), waiter);
  return waiter;
}

void
sgr_data_gate_waiter_free (sgr_data_gate_t *gate, sgr_gate_waiter_t *waiter)
{
  if (sgr_gate_waiter_find (gate, &waiter->id) == waiter)
    sgr_id_map_remove (gate->waiters, attempt_id_hash (&waiter->id));
  free (waiter);
}

void
sgr_gate_waiter_join (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                      const sgr_attempt_id_t *id, sgr_gate_run_t *run)
{
  sgr_gate_waiter_t *joined;

  if (run == NULL)
    return;
  joined = sgr_gate_waiter_create (gate, channel, id, 0, run);
  joined->next = run->joined;
  run->joined = joined;
}

void
sgr_data_gate_cancel (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                      const sgr_attempt_id_t *id, sgr_boot_id_t gate_boot)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_gate_waiter_t *waiter = sgr_gate_waiter_find (gate, id);
  sgr_gate_run_t *run = waiter != NULL ? waiter->run : NULL;
  sgr_gate_status_t status;

  if (run != NULL)
    sgr_gate_run_detach (run, waiter);
  sgr_gate_attempt_cancel (gate->core, now_us, id, gate_boot, &status);
  /* Below, @run may be used only if the status is RUNNING or started: for a queued run, the cancel
     calls the callback refuse, which frees the run. A running request is aborted if it is
     idempotent, has no key, and no other attempt waits for its answer. */
  if (run != NULL && status.phase == SGR_GATE_PHASE_RUNNING && run->idempotent && !run->keyed
      && run->streaming == NULL && run->joined == NULL)
    {
      sgr_gate_run_abort (run, SGR_CALL_REASON_CANCELLED);
      sgr_gate_attempt_query (gate->core, now_us, id, gate_boot, &status);
    }
  else if (run != NULL && status.phase == SGR_GATE_PHASE_SETTLED && status.started)
    sgr_gate_run_free_if_done (run);
  sgr_gate_query_reply_send (channel, id, &status);
}

/* Handles a query by an entry whose connection broke after the head of the answer was sent.
   Discards the unsent part of the answer. If the run records its answer, the entry gets the whole
   answer when the run ends. Otherwise the answer cannot be sent again: the status becomes UNKNOWN,
   and the run is aborted if it is idempotent, has no key, and no other attempt waits for it. */
static void
answer_resend_prepare (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                       sgr_gate_waiter_t *waiter, sgr_gate_status_t *status)
{
  sgr_gate_run_t *run = waiter->run;
  sgr_attempt_id_t id = waiter->id;

  sgr_gate_run_detach (run, waiter);
  if (run->handle == 0)
    sgr_gate_run_free_if_done (run);
  else if (run->is_recording)
    sgr_gate_waiter_join (gate, channel, &id, run);
  else
    {
      if (run->idempotent && !run->keyed && run->joined == NULL)
        sgr_gate_run_abort (run, SGR_CALL_REASON_CANCELLED);
      *status = (sgr_gate_status_t){ .phase = SGR_GATE_PHASE_SETTLED,
                                     .outcome = SGR_OUTCOME_UNKNOWN,
                                     .started = true };
    }
}

/* Adds a waiter for a queued or running attempt that receives the answer through the channel of the
   query. */
static void
waiter_attach (sgr_data_gate_t *gate, sgr_data_channel_t *channel, const sgr_attempt_id_t *id,
               sgr_gate_run_t *run)
{
  if (run == NULL)
    return;
  if (run->streaming == NULL && !run->has_head)
    run->streaming = sgr_gate_waiter_create (gate, channel, id, run->credit, run);
  else
    sgr_gate_waiter_join (gate, channel, id, run);
}

void
sgr_data_gate_query (sgr_data_gate_t *gate, sgr_data_channel_t *channel, const sgr_attempt_id_t *id,
                     sgr_boot_id_t gate_boot)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_gate_waiter_t *waiter = sgr_gate_waiter_find (gate, id);
  sgr_gate_status_t status;

  sgr_gate_attempt_query (gate->core, now_us, id, gate_boot, &status);
  if (waiter != NULL && waiter->run->streaming == waiter && waiter->run->has_head)
    answer_resend_prepare (gate, channel, waiter, &status);
  else if (waiter != NULL)
    waiter->channel = channel;
  else if (status.phase != SGR_GATE_PHASE_SETTLED)
    waiter_attach (gate, channel, id, sgr_gate_handle_user (gate->core, status.handle));
  if (status.phase == SGR_GATE_PHASE_SETTLED && status.answer != NULL)
    {
      sgr_gate_waiter_t recipient = { .id = *id, .channel = channel };

      if (sgr_gate_recorded_answer_send (gate, &recipient, status.answer, status.answer_length))
        return;
    }
  sgr_gate_query_reply_send (channel, id, &status);
}

void
sgr_data_gate_credit (sgr_data_gate_t *gate, const sgr_attempt_id_t *id, uint32_t bytes)
{
  sgr_gate_waiter_t *waiter = sgr_gate_waiter_find (gate, id);

  if (waiter != NULL && waiter->run->streaming == waiter)
    sgr_gate_run_credit_add (waiter->run, bytes);
}

/* Detaches all waiters of a channel from their runs and frees the waiters. Returns an array with
   one run for each waiter, so a run with several waiters occurs several times. */
static sgr_gate_run_t **
waiters_detach (sgr_data_gate_t *gate, const sgr_data_channel_t *channel, size_t *count)
{
  sgr_gate_waiter_t **waiters = calloc (sgr_id_map_count (gate->waiters) + 1, sizeof *waiters);
  sgr_gate_run_t **runs;
  sgr_gate_waiter_t *waiter;
  size_t cursor = 0;

  sgr_invariant (waiters != NULL);
  *count = 0;
  while ((waiter = sgr_id_map_next (gate->waiters, &cursor)) != NULL)
    {
      if (waiter->channel == channel)
        waiters[(*count)++] = waiter;
    }
  runs = calloc (*count + 1, sizeof *runs);
  sgr_invariant (runs != NULL);
  for (size_t i = 0; i < *count; i++)
    {
      runs[i] = waiters[i]->run;
      sgr_gate_run_detach (runs[i], waiters[i]);
    }
  free (waiters);
  return runs;
}

void
sgr_data_gate_channel_closed (sgr_data_gate_t *gate, const sgr_data_channel_t *channel)
{
  size_t count;
  sgr_gate_run_t **runs = waiters_detach (gate, channel, &count);

  for (size_t i = 0; i < count; i++)
    {
      sgr_gate_run_t *run = runs[i];
      bool is_handled = false;

      for (size_t j = 0; j < i && !is_handled; j++)
        is_handled = runs[j] == run;
      if (is_handled)
        continue;
      /* Aborts a run only if no later query can get its whole answer. The other runs continue, at
         least until sgr_data_gate_entry_lost(). */
      if (run->handle == 0)
        sgr_gate_run_free_if_done (run);
      else if (run->request != NULL && run->has_head && !run->is_recording && run->idempotent
               && !run->keyed && run->streaming == NULL && run->joined == NULL)
        sgr_gate_run_abort (run, SGR_CALL_REASON_CANCELLED);
    }
  free (runs);
}

void
sgr_data_gate_entry_lost (sgr_data_gate_t *gate, sgr_node_id_t node, sgr_boot_id_t boot)
{
  sgr_gate_run_t *next;

  sgr_gate_entry_lost (gate->core, sgr_clock_monotonic_us (), node, boot);
  for (sgr_gate_run_t *run = gate->first_run; run != NULL; run = next)
    {
      next = run->next;
      if (run->id.node == node && run->id.boot == boot && run->request != NULL && run->idempotent
          && !run->keyed && run->streaming == NULL && run->joined == NULL)
        {
          sgr_gate_run_abort (run, SGR_CALL_REASON_CANCELLED);
          /* Continues at the head of the list: the abort may start or refuse other runs and so free
             the run in @next. */
          next = gate->first_run;
        }
    }
}
