#ifndef SGR_MEMORY_BUDGET_H
#define SGR_MEMORY_BUDGET_H

#include <stdbool.h>

#include "result.h"
#include "types.h"

/**
 * Memory budget of one node: counts the bytes in buffers that callers, peers and the target fill,
 * admits request bodies, and decides which holder is dropped if the budget is exceeded. It does no
 * I/O and allocates nothing for callers; the owner of a buffer reports its size.
 */
typedef struct sgr_memory_budget_t sgr_memory_budget_t;

/* Request bodies up to this length may use the part of the budget that is closed to larger ones, so
   that ordinary requests are served while large bodies are refused. */
#define SGR_MEMORY_SMALL_BYTES (64U * 1024)

/**
 * enum sgr_memory_kind_t - what a holder keeps in memory, for counters and log lines
 * @SGR_MEMORY_REQUEST: heads and bodies of one connection of a caller
 * @SGR_MEMORY_ANSWER: part of an answer that a caller has not read yet
 * @SGR_MEMORY_PEER: frames queued on a connection between nodes
 * @SGR_MEMORY_GATE: bodies and answers of requests at the gate
 * @SGR_MEMORY_KIND_COUNT: number of kinds
 */
typedef enum
{
  SGR_MEMORY_REQUEST = 0,
  SGR_MEMORY_ANSWER,
  SGR_MEMORY_PEER,
  SGR_MEMORY_GATE,
  SGR_MEMORY_KIND_COUNT,
} sgr_memory_kind_t;

/**
 * struct sgr_memory_holder_t - owner of buffers, embedded in the object that owns them;
 * zero-initialized and set up with sgr_memory_holder_begin()
 * @kind: what it keeps
 * @address: IPv4 address of its caller, 0 for none; the holders of an address have a common share
 * @may_drop: the holder may be dropped; only its owner changes this
 * @drop: releases the memory of the holder, by sgr_memory_budget_drop_run(); NULL if it is never
 *        dropped
 * @ctx: passed to @drop
 * @bytes: bytes that are counted for it
 * @progress_us: monotonic time of the last progress, microseconds
 * @is_dropping: chosen to be dropped; its bytes do not count any more
 *
 * The other members are used by memory_budget.c only.
 */
typedef struct sgr_memory_holder_t
{
  sgr_memory_kind_t kind;
  uint32_t address;
  bool may_drop;
  void (*drop) (void *ctx);
  void *ctx;
  uint64_t bytes;
  uint64_t progress_us;
  bool is_dropping;
  sgr_memory_budget_t *budget;
  struct sgr_memory_holder_t *next;
  struct sgr_memory_holder_t *previous;
} sgr_memory_holder_t;

/**
 * struct sgr_memory_options_t - sizes of a budget
 * @limit_bytes: most bytes of all holders together
 * @body_bytes: most bytes of all holders at which a request body is admitted; the rest of the
 * budget is left to answers and to requests without a large body
 * @share_bytes: most bytes of the holders of one address
 * @stall_us: time without progress after which a holder makes room for a new body, microseconds
 * @drops_pending: called when holders wait to be dropped; the owner then calls
 *                 sgr_memory_budget_drop_run() outside of any handler of a holder
 * @ctx: passed to @drops_pending
 */
typedef struct
{
  uint64_t limit_bytes;
  uint64_t body_bytes;
  uint64_t share_bytes;
  uint64_t stall_us;
  void (*drops_pending) (void *ctx);
  void *ctx;
} sgr_memory_options_t;

sgr_memory_budget_t *sgr_memory_budget_create (const sgr_memory_options_t *options);

/**
 * sgr_memory_budget_destroy() - free a budget; NULL is allowed
 *
 * A budget that still has holders is left to the end of the process: h2o cannot close all of its
 * connections.
 */
void sgr_memory_budget_destroy (sgr_memory_budget_t *budget);

/**
 * sgr_memory_holder_begin() - add a holder without bytes
 * @holder: the holder, whose members up to @ctx are set
 * @budget: the budget; NULL makes all functions of the holder do nothing and admit everything
 * @now_us: monotonic time, microseconds
 */
void sgr_memory_holder_begin (sgr_memory_holder_t *holder, sgr_memory_budget_t *budget,
                              uint64_t now_us);

/** sgr_memory_holder_end() - release all bytes of a holder and remove it; may be called twice */
void sgr_memory_holder_end (sgr_memory_holder_t *holder);

/**
 * sgr_memory_budget_admit() - count bytes of a request body if there is room for them
 * @holder: holder of the body
 * @bytes: length of the body, or of the part that has arrived
 * @now_us: monotonic time, microseconds
 *
 * The limit is body_bytes, or limit_bytes for bodies of up to SGR_MEMORY_SMALL_BYTES. Other holders
 * without progress for stall_us are chosen to be dropped if that makes room.
 *
 * Return: SGR_OK; SGR_ERR_LIMIT if there is no room or the address of the holder has used its
 * share; nothing is counted then.
 */
sgr_result_t sgr_memory_budget_admit (sgr_memory_holder_t *holder, uint64_t bytes, uint64_t now_us);

/**
 * sgr_memory_budget_charge() - count bytes that cannot be refused any more
 * @holder: the holder
 * @bytes: number of bytes
 * @now_us: monotonic time, microseconds
 *
 * Chooses holders to be dropped until the budget and the share of the address are kept, or none is
 * left that may be dropped. The holder itself may be chosen.
 */
void sgr_memory_budget_charge (sgr_memory_holder_t *holder, uint64_t bytes, uint64_t now_us);

/** sgr_memory_budget_release() - count @bytes less, at most those of the holder */
void sgr_memory_budget_release (sgr_memory_holder_t *holder, uint64_t bytes);

/** sgr_memory_budget_progress() - record that a holder has received or delivered bytes */
void sgr_memory_budget_progress (sgr_memory_holder_t *holder, uint64_t now_us);

/**
 * sgr_memory_budget_drop_run() - call @drop of each holder that was chosen to be dropped
 * @budget: the budget
 * @dropped: called before for each holder, for counters and log lines; may be NULL
 * @ctx: passed to @dropped
 */
void sgr_memory_budget_drop_run (sgr_memory_budget_t *budget,
                                 void (*dropped) (void *ctx, const sgr_memory_holder_t *holder),
                                 void *ctx);

/** sgr_memory_budget_used() - bytes of all holders, in bytes */
uint64_t sgr_memory_budget_used (const sgr_memory_budget_t *budget);

/** sgr_memory_budget_peak() - highest value that sgr_memory_budget_used() had, in bytes */
uint64_t sgr_memory_budget_peak (const sgr_memory_budget_t *budget);

/** sgr_memory_kind_name() - name of a kind in logs and metrics, a static string */
const char *sgr_memory_kind_name (sgr_memory_kind_t kind);

#endif
