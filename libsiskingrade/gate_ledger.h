#ifndef SGR_GATE_LEDGER_H
#define SGR_GATE_LEDGER_H

#include "gate.h"
#include "result.h"

/**
 * The ledger records attempts and idempotency keys in bounded memory.
 *
 * Attempts: the record of the oldest settled attempt is discarded when its retention ends, or
 * earlier if a new attempt needs the room. For each boot of an entry, the ledger keeps the highest
 * sequence of a discarded attempt. If an attempt without a record has that sequence or a lower one,
 * its record may have been discarded, so it is not run and its outcome is unknown.
 *
 * Keys: the record of a settled key is discarded only when its retention ends. Each key carries the
 * key generation of the gate at which it was issued or bound. The ledger keeps the highest
 * generation of a discarded key. If a key without a record has that generation or a lower one, its
 * record may have been discarded, so its request is not run and the outcome is unknown. A key is
 * therefore certain to be accepted if it is younger than the retention minus the length of one
 * generation. If there
 * is no room for another key, an attempt with a new key is refused before it runs.
 */
typedef struct sgr_ledger_t sgr_ledger_t;

/* Maximum number of attempts that wait for the outcome of an earlier attempt with the same key. */
#define SGR_LEDGER_JOINED_MAX 32

/**
 * enum sgr_ledger_phase_t - phase of a recorded attempt or key
 * @SGR_LEDGER_WORKING: the attempt, or the first attempt with the key, is queued or running
 * @SGR_LEDGER_JOINED: the attempt waits for the outcome of an earlier attempt with the same key;
 * not used for keys
 * @SGR_LEDGER_SETTLED: the outcome is final
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
 * struct sgr_ledger_attempt_t - record of an attempt
 * @id: id of the attempt
 * @phase: phase of the attempt
 * @outcome: final outcome, valid in phase SETTLED
 * @reason: why the gate refused the attempt, SGR_GATE_REASON_NONE if it did not
 * @idempotent: the request may run more than once; set by the gate
 * @work: the gate's handle of the attempt, valid in phase WORKING; set by the gate
 * @key: record of its key, NULL if it has none. The record may hold another key once this one is
 * discarded, see @key_serial.
 * @key_serial: @serial of the key's record when @key was set; the key has been discarded if they
 * differ
 * @joined_next: next attempt that waits for the same key
 * @entry_boot: index of the entry's boot in the ledger's table of boots
 * @settled_us: time at which the outcome became final, in monotonic microseconds
 * @answer: recorded answer of an attempt without a key
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
  uint32_t entry_boot;
  uint64_t settled_us;
  sgr_ledger_answer_t answer;
} sgr_ledger_attempt_t;

/**
 * struct sgr_ledger_key_t - record of an idempotency key
 * @hash: hash of the key
 * @fingerprint: fingerprint of the request that was sent with the key
 * @generation: key generation of the gate at which the key was issued or bound
 * @serial: serial number of the key; differs for each key that the record has held, 0 once the key
 * is discarded
 * @phase: WORKING or SETTLED
 * @outcome: final outcome, COMPLETE or UNKNOWN; valid in phase SETTLED
 * @idempotent: @idempotent of the first attempt with the key
 * @work: the gate's handle of the first attempt with the key, valid in phase WORKING
 * @joined: list of the later attempts that wait for the outcome of the key
 * @joined_count: number of attempts in @joined
 * @settled_us: time at which the outcome became final, in monotonic microseconds
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
 * @attempts: number of recorded attempts
 * @keys: number of recorded keys
 * @entry_boots: number of recorded boots of entries
 * @answer_bytes: size of all recorded answers in bytes
 * @answer_bytes_expected: bytes reserved for the answers to attempts with a key that are queued or
 * running
 */
typedef struct
{
  uint32_t attempts;
  uint32_t keys;
  uint32_t entry_boots;
  size_t answer_bytes;
  size_t answer_bytes_expected;
} sgr_ledger_usage_t;

sgr_ledger_usage_t sgr_ledger_usage (const sgr_ledger_t *ledger);

sgr_ledger_t *sgr_ledger_create (const sgr_gate_options_t *options);
void sgr_ledger_destroy (sgr_ledger_t *ledger);

/** sgr_ledger_attempt_find() - find the record of an attempt, NULL if there is none */
sgr_ledger_attempt_t *sgr_ledger_attempt_find (const sgr_ledger_t *ledger,
                                               const sgr_attempt_id_t *id);

/**
 * sgr_ledger_attempt_add() - record a new attempt
 * @ledger: the ledger
 * @now_us: the time
 * @id: an attempt without a record
 * @attempt: receives the record, in phase WORKING
 *
 * Return: SGR_OK, SGR_ERR_NOT_FOUND if a record of the attempt may have been discarded,
 * SGR_ERR_LIMIT if there is no room.
 */
sgr_result_t sgr_ledger_attempt_add (sgr_ledger_t *ledger, uint64_t now_us,
                                     const sgr_attempt_id_t *id, sgr_ledger_attempt_t **attempt);

/** sgr_ledger_key_find() - find the record of a key, NULL if there is none */
sgr_ledger_key_t *sgr_ledger_key_find (const sgr_ledger_t *ledger, sgr_hash128_t hash);

/**
 * sgr_ledger_key_check() - check that a key without a record has not been used before
 * @ledger: the ledger
 * @now_us: the time
 * @generation: generation of the key
 *
 * Return: SGR_OK if the key is unused, SGR_ERR_NOT_FOUND if a record of the key may have been
 * discarded, SGR_ERR_INVALID if its generation has not begun.
 */
sgr_result_t sgr_ledger_key_check (const sgr_ledger_t *ledger, uint64_t now_us,
                                   uint64_t generation);

/**
 * sgr_ledger_key_add() - record a new key
 * @ledger: the ledger
 * @now_us: the time
 * @attempt: the first attempt with the key
 * @hash: hash of a key without a record
 * @generation: generation of the key
 * @fingerprint: fingerprint of the request
 *
 * Return: SGR_OK, SGR_ERR_LIMIT if there is no room for the key or for its answer, or an error of
 * sgr_ledger_key_check().
 */
sgr_result_t sgr_ledger_key_add (sgr_ledger_t *ledger, uint64_t now_us,
                                 sgr_ledger_attempt_t *attempt, sgr_hash128_t hash,
                                 uint64_t generation, sgr_hash128_t fingerprint);

/**
 * sgr_ledger_key_join() - let a later attempt with a key share the outcome of the key
 * @ledger: the ledger
 * @now_us: the time
 * @attempt: the attempt, in phase WORKING; becomes SETTLED if the key is, else JOINED
 * @key: record of the key
 *
 * Return: SGR_OK, SGR_ERR_LIMIT if SGR_LEDGER_JOINED_MAX attempts wait for the key already.
 */
sgr_result_t sgr_ledger_key_join (sgr_ledger_t *ledger, uint64_t now_us,
                                  sgr_ledger_attempt_t *attempt, sgr_ledger_key_t *key);

/**
 * sgr_ledger_attempt_settle() - make the outcome of an attempt final
 * @ledger: the ledger
 * @now_us: the time
 * @attempt: an attempt in phase WORKING or JOINED
 * @outcome: the outcome
 * @reason: why the gate refused the attempt, SGR_GATE_REASON_NONE if it did not
 * @answer: answer to record, NULL for none
 * @length: size of @answer in bytes
 *
 * If the attempt is the first one with its key, this settles the key and all attempts that joined
 * it, too. SGR_OUTCOME_NOT_RUN discards the record of the key, so that the key can be used again.
 */
void sgr_ledger_attempt_settle (sgr_ledger_t *ledger, uint64_t now_us,
                                sgr_ledger_attempt_t *attempt, sgr_outcome_t outcome,
                                sgr_gate_reason_t reason, const void *answer, size_t length);

/**
 * sgr_ledger_attempt_answer() - recorded answer of an attempt
 *
 * Return: the answer of its key if the key is still recorded, otherwise its own answer; @bytes of
 * the result is NULL if no answer is recorded.
 */
const sgr_ledger_answer_t *sgr_ledger_attempt_answer (const sgr_ledger_attempt_t *attempt);

/**
 * sgr_ledger_tick() - discard records whose retention has ended, a limited number at a time
 *
 * Return: when to call again in monotonic microseconds, SGR_TIMER_NEVER if no attempt and no key is
 * settled.
 */
uint64_t sgr_ledger_tick (sgr_ledger_t *ledger, uint64_t now_us);

/** sgr_ledger_generation() - key generation at a time; starts at 1 and increases over time */
uint64_t sgr_ledger_generation (const sgr_ledger_t *ledger, uint64_t now_us);

#endif
