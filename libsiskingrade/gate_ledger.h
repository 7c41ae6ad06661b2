#ifndef SGR_GATE_LEDGER_H
#define SGR_GATE_LEDGER_H

#include "gate.h"
#include "result.h"

/**
 * The ledger remembers attempts and idempotency keys in bounded memory.
 *
 * Attempts: the oldest settled one is forgotten when its retention ends or when room is needed. The
 * ledger then keeps, for each process life of an entry, the highest sequence that it forgot; an
 * unseen attempt at or below it may have been seen, so it is neither run nor reported as not-run.
 *
 * Keys: a settled key is forgotten only when its retention ends. Each key carries the generation of
 * the gate in which it was issued or bound; the ledger keeps the highest generation of which it
 * forgot a key, and an unseen key at or below it is neither run nor reported as not-run. A key is
 * therefore certain to be accepted while it is younger than the retention less one generation. When
 * there is no room for a further key, new keyed work is refused before it runs.
 */
typedef struct sgr_ledger_t sgr_ledger_t;

/* Attempts with one key that may wait for the first one of them. */
#define SGR_LEDGER_JOINED_MAX 32

/**
 * enum sgr_ledger_phase_t - what an attempt or a key is at this gate
 */
typedef enum
{
  SGR_LEDGER_WORKING = 0,
  SGR_LEDGER_JOINED,
  SGR_LEDGER_SETTLED,
} sgr_ledger_phase_t;

struct sgr_ledger_key_t;

/**
 * struct sgr_ledger_answer_t - a recorded answer
 * @bytes: the answer, NULL if none is recorded
 * @length: its length in bytes
 */
typedef struct
{
  uint8_t *bytes;
  size_t length;
} sgr_ledger_answer_t;

/**
 * struct sgr_ledger_attempt_t - one remembered attempt; the gate changes @work only
 * @id: its name
 * @phase: WORKING while queued or running, JOINED while another attempt with its key does the work
 * @outcome: once settled
 * @reason: why it was refused, if it was
 * @idempotent: as the attempt said
 * @work: handle of the gate, while WORKING
 * @key: its key, NULL without one or once the key is forgotten
 * @joined_next: next attempt that joined the same key
 * @peer: number of its entry's process life
 * @settled_us: when it was settled
 * @answer: recorded answer of an attempt without key
 */
typedef struct sgr_ledger_attempt_t
{
  sgr_attempt_id_t id;
  sgr_ledger_phase_t phase;
  sgr_outcome_t outcome;
  sgr_gate_reason_t reason;
  bool idempotent;
  sgr_gate_handle_t work;
  struct sgr_ledger_key_t *key;
  uint64_t key_serial;
  struct sgr_ledger_attempt_t *joined_next;
  uint32_t peer;
  uint64_t settled_us;
  sgr_ledger_answer_t answer;
} sgr_ledger_attempt_t;

/**
 * struct sgr_ledger_key_t - one remembered key
 * @hash: hash of the key
 * @fingerprint: fingerprint of its request
 * @generation: its generation
 * @serial: distinguishes the uses of this record
 * @phase: WORKING or SETTLED
 * @outcome: once settled: COMPLETE or UNKNOWN
 * @idempotent: as the attempt said
 * @work: handle of the gate, while WORKING
 * @joined: attempts that joined
 * @joined_count: their number
 * @settled_us: when it was settled
 * @answer: recorded answer
 */
typedef struct sgr_ledger_key_t
{
  sgr_hash128_t hash;
  sgr_hash128_t fingerprint;
  uint64_t generation;
  uint64_t serial;
  sgr_ledger_phase_t phase;
  sgr_outcome_t outcome;
  bool idempotent;
  sgr_gate_handle_t work;
  sgr_ledger_attempt_t *joined;
  uint32_t joined_count;
  uint64_t settled_us;
  sgr_ledger_answer_t answer;
} sgr_ledger_key_t;

/**
 * struct sgr_ledger_usage_t - how full a ledger is
 * @attempts: remembered attempts
 * @keys: remembered keys
 * @peers: remembered process lives of entries
 * @answer_bytes: bytes of recorded answers
 * @answer_bytes_expected: bytes set aside for answers of keyed work in progress
 */
typedef struct
{
  uint32_t attempts;
  uint32_t keys;
  uint32_t peers;
  size_t answer_bytes;
  size_t answer_bytes_expected;
} sgr_ledger_usage_t;

sgr_ledger_usage_t sgr_ledger_usage (const sgr_ledger_t *ledger);

sgr_ledger_t *sgr_ledger_create (const sgr_gate_options_t *options);
void sgr_ledger_destroy (sgr_ledger_t *ledger);

/** sgr_ledger_attempt_find() - a remembered attempt, NULL if there is none */
sgr_ledger_attempt_t *sgr_ledger_attempt_find (const sgr_ledger_t *ledger,
                                               const sgr_attempt_id_t *id);

/**
 * sgr_ledger_attempt_add() - remember an attempt that is not remembered
 * @ledger: the ledger
 * @now_us: the time
 * @id: the attempt
 * @attempt: receives the record, in phase WORKING
 *
 * Return: SGR_OK, SGR_ERR_NOT_FOUND if it may have been forgotten, SGR_ERR_LIMIT if there is no
 * room.
 */
sgr_result_t sgr_ledger_attempt_add (sgr_ledger_t *ledger, uint64_t now_us,
                                     const sgr_attempt_id_t *id, sgr_ledger_attempt_t **attempt);

/** sgr_ledger_key_find() - a remembered key, NULL if there is none */
sgr_ledger_key_t *sgr_ledger_key_find (const sgr_ledger_t *ledger, sgr_hash128_t hash);

/**
 * sgr_ledger_key_check() - whether an unseen key is certain to be unused
 *
 * Return: SGR_OK, SGR_ERR_NOT_FOUND if it may have been forgotten, SGR_ERR_INVALID if its
 * generation has not begun.
 */
sgr_result_t sgr_ledger_key_check (const sgr_ledger_t *ledger, uint64_t now_us,
                                   uint64_t generation);

/**
 * sgr_ledger_key_add() - remember a key for the attempt that does its work
 * @ledger: the ledger
 * @now_us: the time
 * @attempt: the attempt
 * @hash: hash of the key
 * @generation: its generation
 * @fingerprint: fingerprint of the request
 *
 * Return: SGR_OK, SGR_ERR_LIMIT if there is no room for the key or for its answer, or as
 * sgr_ledger_key_check().
 */
sgr_result_t sgr_ledger_key_add (sgr_ledger_t *ledger, uint64_t now_us,
                                 sgr_ledger_attempt_t *attempt, sgr_hash128_t hash,
                                 uint64_t generation, sgr_hash128_t fingerprint);

/**
 * sgr_ledger_key_join() - let an attempt share the outcome of a key
 *
 * Return: SGR_OK, SGR_ERR_LIMIT if too many wait for the key already.
 */
sgr_result_t sgr_ledger_key_join (sgr_ledger_t *ledger, uint64_t now_us,
                                  sgr_ledger_attempt_t *attempt, sgr_ledger_key_t *key);

/**
 * sgr_ledger_settle() - make the outcome of an attempt final
 * @ledger: the ledger
 * @now_us: the time
 * @attempt: an attempt in phase WORKING or JOINED
 * @outcome: the outcome
 * @reason: why it was refused, if it was
 * @answer: answer to record, NULL for none
 * @length: bytes of @answer
 *
 * The attempt that does the work of a key settles the key and all that joined; NOT_RUN makes the
 * key unused again.
 */
void sgr_ledger_settle (sgr_ledger_t *ledger, uint64_t now_us, sgr_ledger_attempt_t *attempt,
                        sgr_outcome_t outcome, sgr_gate_reason_t reason, const void *answer,
                        size_t length);

/** sgr_ledger_answer() - recorded answer of an attempt or of its key */
const sgr_ledger_answer_t *sgr_ledger_answer (const sgr_ledger_attempt_t *attempt);

/**
 * sgr_ledger_tick() - forget what has been kept long enough, a bounded number at a time
 *
 * Return: when to call again, SGR_TIMER_NEVER if nothing is remembered.
 */
uint64_t sgr_ledger_tick (sgr_ledger_t *ledger, uint64_t now_us);

/** sgr_ledger_generation() - key generation at a time; grows with it */
uint64_t sgr_ledger_generation (const sgr_ledger_t *ledger, uint64_t now_us);

#endif
