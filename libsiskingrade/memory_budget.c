#include "memory_budget.h"

#include <stdlib.h>

#include "id_map.h"

/* Bytes of the holders of one caller address. */
typedef struct
{
  uint64_t bytes;
  size_t holders;
} share_t;

/**
 * struct sgr_memory_budget_t - memory budget of a node
 * @options: sizes
 * @first: list of the holders
 * @shares: shares by address
 * @used: bytes of the holders that are not being dropped
 * @peak: highest value of @used
 * @dropping: holders that wait to be dropped
 */
struct sgr_memory_budget_t
{
  sgr_memory_options_t options;
  sgr_memory_holder_t *first;
  sgr_id_map_t *shares;
  uint64_t used;
  uint64_t peak;
  size_t dropping;
};

sgr_memory_budget_t *
sgr_memory_budget_create (const sgr_memory_options_t *options)
{
  sgr_memory_budget_t *budget = calloc (1, sizeof *budget);

  sgr_invariant (budget != NULL);
  budget->options = *options;
  budget->shares = sgr_id_map_create ();
  return budget;
}

void
sgr_memory_budget_destroy (sgr_memory_budget_t *budget)
{
  if (budget == NULL || budget->first != NULL)
    return;
  sgr_id_map_destroy (budget->shares);
  free (budget);
}

void
sgr_memory_holder_begin (sgr_memory_holder_t *holder, sgr_memory_budget_t *budget, uint64_t now_us)
{
  share_t *share;

  holder->budget = budget;
  holder->bytes = 0;
  holder->progress_us = now_us;
  holder->is_dropping = false;
  holder->previous = NULL;
  holder->next = NULL;
  if (budget == NULL)
    return;
  holder->next = budget->first;
  if (budget->first != NULL)
    budget->first->previous = holder;
  budget->first = holder;
  if (holder->address == 0)
    return;
  share = sgr_id_map_get (budget->shares, holder->address);
  if (share == NULL)
    {
      share = calloc (1, sizeof *share);
      sgr_invariant (share != NULL);
      sgr_id_map_put (budget->shares, holder->address, share);
    }
  share->holders++;
}

static void
bytes_add (sgr_memory_holder_t *holder, uint64_t bytes)
{
  sgr_memory_budget_t *budget = holder->budget;

  holder->bytes += bytes;
  if (holder->is_dropping)
    return;
  budget->used += bytes;
  if (budget->used > budget->peak)
    budget->peak = budget->used;
  if (holder->address != 0)
    ((share_t *)sgr_id_map_get (budget->shares, holder->address))->bytes += bytes;
}

static void
counted_bytes_remove (sgr_memory_holder_t *holder, uint64_t bytes)
{
  sgr_memory_budget_t *budget = holder->budget;

  budget->used -= bytes;
  if (holder->address != 0)
    ((share_t *)sgr_id_map_get (budget->shares, holder->address))->bytes -= bytes;
}

void
sgr_memory_budget_release (sgr_memory_holder_t *holder, uint64_t bytes)
{
  if (holder->budget == NULL)
    return;
  if (bytes > holder->bytes)
    bytes = holder->bytes;
  holder->bytes -= bytes;
  if (!holder->is_dropping)
    counted_bytes_remove (holder, bytes);
}

void
sgr_memory_holder_end (sgr_memory_holder_t *holder)
{
  sgr_memory_budget_t *budget = holder->budget;
  share_t *share;

  if (budget == NULL)
    return;
  sgr_memory_budget_release (holder, holder->bytes);
  if (holder->is_dropping)
    budget->dropping--;
  if (holder->previous != NULL)
    holder->previous->next = holder->next;
  else
    budget->first = holder->next;
  if (holder->next != NULL)
    holder->next->previous = holder->previous;
  holder->budget = NULL;
  if (holder->address == 0)
    return;
  share = sgr_id_map_get (budget->shares, holder->address);
  if (--share->holders == 0)
    free (sgr_id_map_remove (budget->shares, holder->address));
}

/* Whether a holder may be chosen to be dropped. @address is the only one to choose from unless it
   is 0. */
static bool
is_candidate (const sgr_memory_holder_t *holder, uint32_t address)
{
  return holder->may_drop && holder->drop != NULL && !holder->is_dropping && holder->bytes > 0
         && (address == 0 || holder->address == address);
}

/* Returns the holder with the highest product of bytes and time without progress, NULL if none that
   may be dropped has gone without progress for @stall_us. @excluded is not chosen; it may be NULL.
 */
static sgr_memory_holder_t *
victim_find (sgr_memory_budget_t *budget, uint32_t address, uint64_t stall_us, uint64_t now_us,
             const sgr_memory_holder_t *excluded)
{
  sgr_memory_holder_t *victim = NULL;
  double highest = 0;

  for (sgr_memory_holder_t *holder = budget->first; holder; holder = holder->next)
    {
      uint64_t age_us;
      double score;

      if (excluded == holder || !is_candidate (holder, address))
        continue;
      age_us = now_us > holder->progress_us ? now_us - holder->progress_us : 0;
      score = (double)holder->bytes * (double)(age_us + 1);
      if (age_us < stall_us || score <= highest)
        continue;
      victim = holder;
      highest = score;
    }
  return victim;
}

static void
victim_drop (sgr_memory_holder_t *holder)
{
  sgr_memory_budget_t *budget = holder->budget;

  counted_bytes_remove (holder, holder->bytes);
  holder->is_dropping = true;
  if (budget->dropping++ == 0 && budget->options.drops_pending != NULL)
    budget->options.drops_pending (budget->options.ctx);
}

static bool
is_share_exceeded (const sgr_memory_holder_t *holder, uint64_t more)
{
  const share_t *share;

  if (holder->address == 0)
    return false;
  share = sgr_id_map_get (holder->budget->shares, holder->address);
  return share->bytes + more > holder->budget->options.share_bytes;
}

sgr_result_t
sgr_memory_budget_admit (sgr_memory_holder_t *holder, uint64_t bytes, uint64_t now_us)
{
  sgr_memory_budget_t *budget = holder->budget;
  sgr_memory_holder_t *victim;
  uint64_t limit;

  if (budget == NULL)
    return SGR_OK;
  limit = bytes > SGR_MEMORY_SMALL_BYTES ? budget->options.body_bytes : budget->options.limit_bytes;
  if (bytes > limit || holder->is_dropping)
    return SGR_ERR_LIMIT;
  while (is_share_exceeded (holder, bytes))
    {
      victim = victim_find (budget, holder->address, budget->options.stall_us, now_us, holder);
      if (victim == NULL)
        return SGR_ERR_LIMIT;
      victim_drop (victim);
    }
  while (budget->used + bytes > limit)
    {
      victim = victim_find (budget, 0, budget->options.stall_us, now_us, holder);
      if (victim == NULL)
        return SGR_ERR_LIMIT;
      victim_drop (victim);
    }
  bytes_add (holder, bytes);
  return SGR_OK;
}

void
sgr_memory_budget_charge (sgr_memory_holder_t *holder, uint64_t bytes, uint64_t now_us)
{
  sgr_memory_budget_t *budget = holder->budget;
  sgr_memory_holder_t *victim;

  if (budget == NULL)
    return;
  bytes_add (holder, bytes);
  while (is_share_exceeded (holder, 0)
         && (victim = victim_find (budget, holder->address, 0, now_us, NULL)) != NULL)
    victim_drop (victim);
  while (budget->used > budget->options.limit_bytes
         && (victim = victim_find (budget, 0, 0, now_us, NULL)) != NULL)
    victim_drop (victim);
}

void
sgr_memory_budget_progress (sgr_memory_holder_t *holder, uint64_t now_us)
{
  holder->progress_us = now_us;
}

/* Ends the wait of a holder to be dropped; its bytes count again. */
static void
victim_recount (sgr_memory_holder_t *holder)
{
  uint64_t bytes = holder->bytes;

  holder->budget->dropping--;
  holder->is_dropping = false;
  holder->bytes = 0;
  bytes_add (holder, bytes);
}

void
sgr_memory_budget_drop_run (sgr_memory_budget_t *budget,
                            void (*dropped) (void *ctx, const sgr_memory_holder_t *holder),
                            void *ctx)
{
  while (budget->dropping > 0)
    {
      sgr_memory_holder_t *holder = budget->first;

      while (!holder->is_dropping)
        holder = holder->next;
      victim_recount (holder);
      /* The request of a holder may have become complete since it was chosen. */
      if (!holder->may_drop)
        continue;
      if (dropped != NULL)
        dropped (ctx, holder);
      /* A drop may end the holder, or leave it with fewer bytes. */
      holder->may_drop = false;
      holder->drop (holder->ctx);
    }
}

uint64_t
sgr_memory_budget_used (const sgr_memory_budget_t *budget)
{
  return budget->used;
}

uint64_t
sgr_memory_budget_peak (const sgr_memory_budget_t *budget)
{
  return budget->peak;
}

const char *
sgr_memory_kind_name (sgr_memory_kind_t kind)
{
  static const char *const names[SGR_MEMORY_KIND_COUNT] = { "request", "answer", "peer", "gate" };

  return kind < SGR_MEMORY_KIND_COUNT ? names[kind] : "unknown";
}
