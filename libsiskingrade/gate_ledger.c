#include "gate_ledger.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gate_index.h"
#include "timer_heap.h"

/* The record of an entry's boot is discarded after this time without a new attempt. The highest
   sequence of its discarded attempts is lost with it, so the gate handles any later duplicate as a
   new attempt. The time must therefore exceed the time for which a frame can stay in the network or
   in a paused process. */
#define ENTRY_BOOT_RETENTION_US (600 * SGR_USEC_PER_SEC)
/* Maximum number of records of each kind that one tick discards, so that a tick after a peak of the
   load does not delay calls. */
#define EXPIRED_PER_TICK_MAX 256
/* Time until the next tick if a tick has left expired records because of EXPIRED_PER_TICK_MAX. */
#define EXPIRY_NEXT_TICK_DELAY_US 1000
/* The recorded answers to attempts without a key may use answer_bytes_max divided by this number,
   in addition to the answers of keys. */
#define UNKEYED_ANSWERS_DIVISOR 4

/**
 * struct entry_boot_t - one boot of an entry node
 * @node: node id
 * @boot: boot id
 * @sequences_discarded_below: the record of an attempt may have been discarded if the sequence of
 * the attempt is below this number
 * @attempts: number of recorded attempts
 * @seen_us: time of the latest new attempt
 */
typedef struct
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  uint64_t sequences_discarded_below;
  uint32_t attempts;
  uint64_t seen_us;
} entry_boot_t;

/**
 * struct sgr_ledger_t - state of a ledger
 * @options: sizes and times of the gate
 * @attempt_index: hash table of @attempts, and age order of the settled ones
 * @key_index: hash table of @keys, and age order of the settled ones
 * @entry_boot_index: hash table of @entry_boots, and their order by the time of the latest new
 * attempt
 * @attempts: records of attempts
 * @keys: records of keys
 * @entry_boots: records of the boots of entries
 * @generations_discarded_below: a key without a record may have been discarded if its generation is
 * below this one
 * @key_serial: serial number of the latest key
 * @key_answer_bytes: size of the recorded answers of keys
 * @key_answer_bytes_expected: bytes reserved for the answers of keys that are not settled
 * @unkeyed_answer_bytes: size of the recorded answers to attempts without a key
 */
struct sgr_ledger_t
{
  sgr_gate_options_t options;
  sgr_gate_index_t attempt_index;
  sgr_gate_index_t key_index;
  sgr_gate_index_t entry_boot_index;
  sgr_ledger_attempt_t *attempts;
  sgr_ledger_key_t *keys;
  entry_boot_t *entry_boots;
  uint64_t generations_discarded_below;
  uint64_t key_serial;
  size_t key_answer_bytes;
  size_t key_answer_bytes_expected;
  size_t unkeyed_answer_bytes;
};

sgr_ledger_t *
sgr_ledger_create (const sgr_gate_options_t *options)
{
  sgr_ledger_t *ledger = calloc (1, sizeof *ledger);

  sgr_invariant (ledger != NULL);
  ledger->options = *options;
  sgr_gate_index_init (&ledger->attempt_index, options->attempts_max);
  sgr_gate_index_init (&ledger->key_index, options->keys_max);
  sgr_gate_index_init (&ledger->entry_boot_index, options->entry_boots_max);
  ledger->attempts = calloc (options->attempts_max, sizeof *ledger->attempts);
  ledger->keys = calloc (options->keys_max, sizeof *ledger->keys);
  ledger->entry_boots = calloc (options->entry_boots_max, sizeof *ledger->entry_boots);
  sgr_invariant (ledger->attempts != NULL && ledger->keys != NULL && ledger->entry_boots != NULL);
  return ledger;
}

void
sgr_ledger_destroy (sgr_ledger_t *ledger)
{
  if (ledger == NULL)
    return;
  for (uint32_t i = 0; i < ledger->options.attempts_max; i++)
    free (ledger->attempts[i].answer.bytes);
  for (uint32_t i = 0; i < ledger->options.keys_max; i++)
    free (ledger->keys[i].answer.bytes);
  sgr_gate_index_release (&ledger->attempt_index);
  sgr_gate_index_release (&ledger->key_index);
  sgr_gate_index_release (&ledger->entry_boot_index);
  free (ledger->attempts);
  free (ledger->keys);
  free (ledger->entry_boots);
  free (ledger);
}

static uint64_t
attempt_hash (const sgr_attempt_id_t *id)
{
  uint64_t words[4] = { id->node, id->boot, id->sequence, id->attempt };

  return XXH3_64bits (words, sizeof words);
}

static uint64_t
entry_boot_hash (sgr_node_id_t node, sgr_boot_id_t boot)
{
  uint64_t words[2] = { node, boot };

  return XXH3_64bits (words, sizeof words);
}

static bool
attempt_id_equal (const sgr_attempt_id_t *a, const sgr_attempt_id_t *b)
{
  return a->sequence == b->sequence && a->attempt == b->attempt && a->node == b->node
         && a->boot == b->boot;
}

sgr_ledger_attempt_t *
sgr_ledger_attempt_find (const sgr_ledger_t *ledger, const sgr_attempt_id_t *id)
{
  const sgr_gate_index_t *index = &ledger->attempt_index;
  uint32_t i = sgr_gate_index_first (index, attempt_hash (id));

  while (i != SGR_GATE_INDEX_NONE && !attempt_id_equal (&ledger->attempts[i].id, id))
    i = index->chain[i];
  return i == SGR_GATE_INDEX_NONE ? NULL : &ledger->attempts[i];
}

sgr_ledger_key_t *
sgr_ledger_key_find (const sgr_ledger_t *ledger, sgr_hash128_t hash)
{
  const sgr_gate_index_t *index = &ledger->key_index;
  uint32_t i = sgr_gate_index_first (index, hash.low);

  while (i != SGR_GATE_INDEX_NONE && !sgr_hash128_equal (ledger->keys[i].hash, hash))
    i = index->chain[i];
  return i == SGR_GATE_INDEX_NONE ? NULL : &ledger->keys[i];
}

static void
answer_release (sgr_ledger_answer_t *answer, size_t *bytes)
{
  *bytes -= answer->length;
  free (answer->bytes);
  *answer = (sgr_ledger_answer_t){ 0 };
}

static void
answer_record (sgr_ledger_answer_t *answer, size_t *bytes, const void *from, size_t length)
{
  /* Allocates one byte more, so that @bytes is not NULL for an empty answer. */
  answer->bytes = malloc (length + 1);
  sgr_invariant (answer->bytes != NULL);
  if (length > 0)
    memcpy (answer->bytes, from, length);
  answer->length = length;
  *bytes += length;
}

static void
attempt_discard (sgr_ledger_t *ledger, sgr_ledger_attempt_t *attempt)
{
  uint32_t record = (uint32_t)(attempt - ledger->attempts);
  entry_boot_t *entry_boot = &ledger->entry_boots[attempt->entry_boot];

  if (attempt->id.sequence >= entry_boot->sequences_discarded_below)
    entry_boot->sequences_discarded_below = attempt->id.sequence + 1;
  entry_boot->attempts--;
  answer_release (&attempt->answer, &ledger->unkeyed_answer_bytes);
  sgr_gate_index_order_remove (&ledger->attempt_index, record);
  sgr_gate_index_remove (&ledger->attempt_index, attempt_hash (&attempt->id), record);
}

/* Discards the record of a key. The caller must first remove a settled key from the age order; keys
   that are not settled are not in it. */
static void
key_discard (sgr_ledger_t *ledger, sgr_ledger_key_t *key)
{
  answer_release (&key->answer, &ledger->key_answer_bytes);
  key->serial = 0;
  sgr_gate_index_remove (&ledger->key_index, key->hash.low, (uint32_t)(key - ledger->keys));
}

/* Discards the record of the entry boot that has been idle for the longest time, if it has no
   recorded attempts and the idle time has passed. */
static void
idle_entry_boot_expire (sgr_ledger_t *ledger, uint64_t now_us)
{
  uint32_t oldest = ledger->entry_boot_index.oldest;
  const entry_boot_t *entry_boot;

  if (oldest == SGR_GATE_INDEX_NONE)
    return;
  entry_boot = &ledger->entry_boots[oldest];
  if (entry_boot->attempts > 0 || entry_boot->seen_us + ENTRY_BOOT_RETENTION_US > now_us)
    return;
  sgr_gate_index_order_remove (&ledger->entry_boot_index, oldest);
  sgr_gate_index_remove (&ledger->entry_boot_index,
                         entry_boot_hash (entry_boot->node, entry_boot->boot), oldest);
}

/* Returns the index of an entry boot, SGR_GATE_INDEX_NONE if there is no room for it. */
static uint32_t
entry_boot_find_or_add (sgr_ledger_t *ledger, uint64_t now_us, sgr_node_id_t node,
                        sgr_boot_id_t boot)
{
  sgr_gate_index_t *index = &ledger->entry_boot_index;
  uint64_t hash = entry_boot_hash (node, boot);
  uint32_t i = sgr_gate_index_first (index, hash);

  while (i != SGR_GATE_INDEX_NONE
         && (ledger->entry_boots[i].node != node || ledger->entry_boots[i].boot != boot))
    i = index->chain[i];
  if (i == SGR_GATE_INDEX_NONE)
    {
      if (index->free == SGR_GATE_INDEX_NONE)
        idle_entry_boot_expire (ledger, now_us);
      i = sgr_gate_index_add (index, hash);
      if (i == SGR_GATE_INDEX_NONE)
        return i;
      ledger->entry_boots[i] = (entry_boot_t){ .node = node, .boot = boot };
    }
  else
    sgr_gate_index_order_remove (index, i);
  sgr_gate_index_order_append (index, i);
  ledger->entry_boots[i].seen_us = now_us;
  return i;
}

sgr_result_t
sgr_ledger_attempt_add (sgr_ledger_t *ledger, uint64_t now_us, const sgr_attempt_id_t *id,
                        sgr_ledger_attempt_t **attempt)
{
  sgr_gate_index_t *index = &ledger->attempt_index;
  uint32_t entry_boot = entry_boot_find_or_add (ledger, now_us, id->node, id->boot);
  uint32_t record;

  if (entry_boot == SGR_GATE_INDEX_NONE)
    return SGR_ERR_LIMIT;
  if (id->sequence < ledger->entry_boots[entry_boot].sequences_discarded_below)
    return SGR_ERR_NOT_FOUND;
  if (index->free == SGR_GATE_INDEX_NONE)
    {
      if (index->oldest == SGR_GATE_INDEX_NONE)
        return SGR_ERR_LIMIT;
      attempt_discard (ledger, &ledger->attempts[index->oldest]);
      /* Checks the sequence again: the attempt discarded above may belong to the same entry boot as
         the new attempt and have a higher sequence. The new attempt may then be a duplicate of a
         discarded one. */
      if (id->sequence < ledger->entry_boots[entry_boot].sequences_discarded_below)
        return SGR_ERR_NOT_FOUND;
    }
  record = sgr_gate_index_add (index, attempt_hash (id));
  ledger->entry_boots[entry_boot].attempts++;
  *attempt = &ledger->attempts[record];
  **attempt
      = (sgr_ledger_attempt_t){ .id = *id, .phase = SGR_LEDGER_WORKING, .entry_boot = entry_boot };
  return SGR_OK;
}

sgr_result_t
sgr_ledger_key_check (const sgr_ledger_t *ledger, uint64_t now_us, uint64_t generation)
{
  if (generation > sgr_ledger_generation (ledger, now_us))
    return SGR_ERR_INVALID;
  return generation < ledger->generations_discarded_below ? SGR_ERR_NOT_FOUND : SGR_OK;
}

/* Discards the key that was settled first, if its retention has ended. */
static void
oldest_key_expire (sgr_ledger_t *ledger, uint64_t now_us)
{
  sgr_gate_index_t *index = &ledger->key_index;
  uint32_t record = index->oldest;
  sgr_ledger_key_t *key;

  if (record == SGR_GATE_INDEX_NONE)
    return;
  key = &ledger->keys[record];
  if (key->settled_us + ledger->options.key_retention_us > now_us)
    return;
  if (key->generation >= ledger->generations_discarded_below)
    ledger->generations_discarded_below = key->generation + 1;
  sgr_gate_index_order_remove (index, record);
  key_discard (ledger, key);
}

sgr_result_t
sgr_ledger_key_add (sgr_ledger_t *ledger, uint64_t now_us, sgr_ledger_attempt_t *attempt,
                    sgr_hash128_t hash, uint64_t generation, sgr_hash128_t fingerprint)
{
  const sgr_gate_options_t *options = &ledger->options;
  sgr_result_t result;
  uint32_t record;

  oldest_key_expire (ledger, now_us);
  result = sgr_ledger_key_check (ledger, now_us, generation);
  if (result != SGR_OK)
    return result;
  /* Reserves room for the longest answer now, so that the answer can be recorded once the request
     has run. */
  if (ledger->key_answer_bytes + ledger->key_answer_bytes_expected + options->answer_length_max
      > options->answer_bytes_max)
    return SGR_ERR_LIMIT;
  record = sgr_gate_index_add (&ledger->key_index, hash.low);
  if (record == SGR_GATE_INDEX_NONE)
    return SGR_ERR_LIMIT;
  ledger->key_answer_bytes_expected += options->answer_length_max;
  ledger->keys[record] = (sgr_ledger_key_t){ .hash = hash,
                                             .fingerprint = fingerprint,
                                             .generation = generation,
                                             .serial = ++ledger->key_serial,
                                             .phase = SGR_LEDGER_WORKING,
                                             .idempotent = attempt->idempotent,
                                             .work = attempt->work };
  attempt->key = &ledger->keys[record];
  attempt->key_serial = ledger->key_serial;
  return SGR_OK;
}

static void
attempt_settle (sgr_ledger_t *ledger, uint64_t now_us, sgr_ledger_attempt_t *attempt,
                sgr_outcome_t outcome, sgr_gate_reason_t reason)
{
  attempt->phase = SGR_LEDGER_SETTLED;
  attempt->outcome = outcome;
  attempt->reason = reason;
  attempt->settled_us = now_us;
  attempt->work = 0;
  sgr_gate_index_order_append (&ledger->attempt_index, (uint32_t)(attempt - ledger->attempts));
}

sgr_result_t
sgr_ledger_key_join (sgr_ledger_t *ledger, uint64_t now_us, sgr_ledger_attempt_t *attempt,
                     sgr_ledger_key_t *key)
{
  if (key->phase != SGR_LEDGER_SETTLED && key->joined_count >= SGR_LEDGER_JOINED_MAX)
    return SGR_ERR_LIMIT;
  attempt->key = key;
  attempt->key_serial = key->serial;
  if (key->phase == SGR_LEDGER_SETTLED)
    {
      attempt_settle (ledger, now_us, attempt, key->outcome, SGR_GATE_REASON_NONE);
      return SGR_OK;
    }
  attempt->phase = SGR_LEDGER_JOINED;
  attempt->joined_next = key->joined;
  key->joined = attempt;
  key->joined_count++;
  return SGR_OK;
}

/* Removes an attempt from those that wait for the outcome of a key. */
static void
key_joined_remove (sgr_ledger_key_t *key, const sgr_ledger_attempt_t *attempt)
{
  sgr_ledger_attempt_t **link = &key->joined;

  while (*link != attempt)
    {
      sgr_invariant (*link != NULL);
      link = &(*link)->joined_next;
    }
  *link = attempt->joined_next;
  key->joined_count--;
}

/* Settles a key and all attempts that wait for it. */
static void
key_settle (sgr_ledger_t *ledger, uint64_t now_us, sgr_ledger_key_t *key, sgr_outcome_t outcome,
            sgr_gate_reason_t reason, const void *answer, size_t length)
{
  for (sgr_ledger_attempt_t *joined = key->joined; joined != NULL; joined = joined->joined_next)
    attempt_settle (ledger, now_us, joined, outcome, reason);
  key->joined = NULL;
  key->joined_count = 0;
  ledger->key_answer_bytes_expected -= ledger->options.answer_length_max;
  if (outcome == SGR_OUTCOME_NOT_RUN)
    {
      key_discard (ledger, key);
      return;
    }
  key->phase = SGR_LEDGER_SETTLED;
  key->outcome = outcome;
  key->settled_us = now_us;
  key->work = 0;
  if (answer != NULL && length <= ledger->options.answer_length_max)
    answer_record (&key->answer, &ledger->key_answer_bytes, answer, length);
  sgr_gate_index_order_append (&ledger->key_index, (uint32_t)(key - ledger->keys));
}

void
sgr_ledger_attempt_settle (sgr_ledger_t *ledger, uint64_t now_us, sgr_ledger_attempt_t *attempt,
                           sgr_outcome_t outcome, sgr_gate_reason_t reason, const void *answer,
                           size_t length)
{
  const sgr_gate_options_t *options = &ledger->options;

  sgr_invariant (attempt->phase != SGR_LEDGER_SETTLED);
  if (attempt->phase == SGR_LEDGER_JOINED)
    key_joined_remove (attempt->key, attempt);
  else if (attempt->key != NULL)
    key_settle (ledger, now_us, attempt->key, outcome, reason, answer, length);
  else if (answer != NULL && length <= options->answer_length_max
           && ledger->unkeyed_answer_bytes + length
                  <= options->answer_bytes_max / UNKEYED_ANSWERS_DIVISOR)
    answer_record (&attempt->answer, &ledger->unkeyed_answer_bytes, answer, length);
  attempt_settle (ledger, now_us, attempt, outcome, reason);
}

const sgr_ledger_answer_t *
sgr_ledger_attempt_answer (const sgr_ledger_attempt_t *attempt)
{
  if (attempt->key != NULL && attempt->key->serial == attempt->key_serial)
    return &attempt->key->answer;
  return &attempt->answer;
}

static uint64_t
time_min_us (uint64_t a_us, uint64_t b_us)
{
  return a_us < b_us ? a_us : b_us;
}

uint64_t
sgr_ledger_tick (sgr_ledger_t *ledger, uint64_t now_us)
{
  const sgr_gate_options_t *options = &ledger->options;
  uint64_t next_us = SGR_TIMER_NEVER;

  for (int n = 0; n < EXPIRED_PER_TICK_MAX; n++)
    {
      uint32_t oldest = ledger->attempt_index.oldest;

      if (oldest == SGR_GATE_INDEX_NONE
          || ledger->attempts[oldest].settled_us + options->attempt_retention_us > now_us)
        break;
      attempt_discard (ledger, &ledger->attempts[oldest]);
    }
  for (int n = 0; n < EXPIRED_PER_TICK_MAX; n++)
    {
      oldest_key_expire (ledger, now_us);
      idle_entry_boot_expire (ledger, now_us);
    }
  if (ledger->attempt_index.oldest != SGR_GATE_INDEX_NONE)
    next_us
        = ledger->attempts[ledger->attempt_index.oldest].settled_us + options->attempt_retention_us;
  if (ledger->key_index.oldest != SGR_GATE_INDEX_NONE)
    next_us = time_min_us (next_us, ledger->keys[ledger->key_index.oldest].settled_us
                                        + options->key_retention_us);
  if (next_us != SGR_TIMER_NEVER && next_us <= now_us)
    next_us = now_us + EXPIRY_NEXT_TICK_DELAY_US;
  return next_us;
}

uint64_t
sgr_ledger_generation (const sgr_ledger_t *ledger, uint64_t now_us)
{
  return 1 + now_us / ledger->options.key_generation_us;
}

sgr_ledger_usage_t
sgr_ledger_usage (const sgr_ledger_t *ledger)
{
  return (sgr_ledger_usage_t){
    .attempts = ledger->attempt_index.used,
    .keys = ledger->key_index.used,
    .entry_boots = ledger->entry_boot_index.used,
    .answer_bytes = ledger->key_answer_bytes + ledger->unkeyed_answer_bytes,
    .answer_bytes_expected = ledger->key_answer_bytes_expected,
  };
}
