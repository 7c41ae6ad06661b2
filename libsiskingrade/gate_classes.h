#ifndef SGR_GATE_CLASSES_H
#define SGR_GATE_CLASSES_H

#include "types.h"

/**
 * What a gate learns of the classes of work at its target: how long each usually takes, and whether
 * work slows down when nearly all slots are taken.
 */
typedef struct sgr_gate_classes_t sgr_gate_classes_t;

/**
 * struct sgr_gate_sample_t - one request that the target answered
 * @duration_us: time from the first byte sent to the end of the answer
 * @is_calm: the target was not slowed down when the request started
 * @is_full: more than SGR_GATE_FULL_PERCENT of the slots were taken at its start and at its end
 */
typedef struct
{
  uint64_t duration_us;
  bool is_calm;
  bool is_full;
} sgr_gate_sample_t;

/* Share of the slots above which targets may slow down. */
#define SGR_GATE_FULL_PERCENT 80

sgr_gate_classes_t *sgr_gate_classes_create (void);
void sgr_gate_classes_destroy (sgr_gate_classes_t *classes);

/** sgr_gate_classes_find() - number of a class; the least used one gives way to a new one */
uint32_t sgr_gate_classes_find (sgr_gate_classes_t *classes, const char *name);

/** sgr_gate_classes_record() - learn from a request; true if sgr_gate_classes_slows() changed */
bool sgr_gate_classes_record (sgr_gate_classes_t *classes, uint64_t now_us, uint32_t number,
                              const sgr_gate_sample_t *sample);

/** sgr_gate_classes_usual_us() - usual duration of a class, 0 if unknown */
uint64_t sgr_gate_classes_usual_us (const sgr_gate_classes_t *classes, uint32_t number);

/**
 * sgr_gate_classes_slows() - whether the target serves more with a fifth of its slots free
 *
 * The answer is forgotten after a time, so that a target that changed is tried in full again.
 */
bool sgr_gate_classes_slows (sgr_gate_classes_t *classes, uint64_t now_us);

#endif
