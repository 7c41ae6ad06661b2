#ifndef SGR_GATE_CLASSES_H
#define SGR_GATE_CLASSES_H

#include "types.h"

/**
 * Statistics of a gate about the requests at its target: the usual latency for each class, and
 * whether requests take longer when nearly all slots are in use.
 */
typedef struct sgr_gate_classes_t sgr_gate_classes_t;

/**
 * struct sgr_gate_sample_t - one request that the target answered
 * @latency_us: time from the first byte sent to the end of the answer, in microseconds
 * @is_unslowed: the target was not slowed by other work on its host when the request got its
 * slot
 * @is_nearly_full_throughout: more than SGR_GATE_NEARLY_FULL_PERCENT of the slots were in use both
 * when the request got its slot and when it ended
 */
typedef struct
{
  uint64_t latency_us;
  bool is_unslowed;
  bool is_nearly_full_throughout;
} sgr_gate_sample_t;

/* Percentage of slots in use above which a target counts as nearly full and may take longer for its
   requests. */
#define SGR_GATE_NEARLY_FULL_PERCENT 80

sgr_gate_classes_t *sgr_gate_classes_create (void);
void sgr_gate_classes_destroy (sgr_gate_classes_t *classes);

/**
 * sgr_gate_classes_find_or_add() - find or add a class
 * @classes: the statistics
 * @name: name of the class
 *
 * Return: index of the class. If all records are in use, a new class replaces the least recently
 * used one.
 */
uint32_t sgr_gate_classes_find_or_add (sgr_gate_classes_t *classes, const char *name);

/**
 * sgr_gate_classes_record() - add a sample to the statistics, unless the target was slowed
 * @classes: the statistics
 * @now_us: the time
 * @index: index of the class of the request
 * @sample: the sample
 *
 * Return: true if this changed the result of sgr_gate_classes_slows_when_full().
 */
bool sgr_gate_classes_record (sgr_gate_classes_t *classes, uint64_t now_us, uint32_t index,
                              const sgr_gate_sample_t *sample);

/** sgr_gate_classes_answer_record() - add the length of an answer in bytes to the statistics */
void sgr_gate_classes_answer_record (sgr_gate_classes_t *classes, uint32_t index, uint64_t bytes);

/** sgr_gate_classes_answer_bytes() - usual length of an answer of a class in bytes, 0 if unknown */
uint64_t sgr_gate_classes_answer_bytes (const sgr_gate_classes_t *classes, uint32_t index);

/** sgr_gate_classes_usual_us() - usual latency of a class in microseconds, 0 if unknown */
uint64_t sgr_gate_classes_usual_us (const sgr_gate_classes_t *classes, uint32_t index);

/**
 * sgr_gate_classes_slows_when_full() - whether a nearly full target is so much slower that it would
 * serve more requests per second with a fifth of its slots kept free
 *
 * A result of true expires after a while, so that all slots are used and measured again in case the
 * target has changed.
 */
bool sgr_gate_classes_slows_when_full (sgr_gate_classes_t *classes, uint64_t now_us);

#endif
