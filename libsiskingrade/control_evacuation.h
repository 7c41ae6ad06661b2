#ifndef SGR_CONTROL_EVACUATION_H
#define SGR_CONTROL_EVACUATION_H

#include "control_internal.h"
#include "evacuation.h"

/**
 * sgr_control_evacuation_create() - start to follow the evacuated failure domains
 * @control: the control task, whose membership is open
 * @store: client of the key-value service, NULL if the settings name none
 *
 * Reads the evacuations from the store at once. Afterwards only the readers of the failure domain
 * watch them; the other nodes learn changes from membership. All other functions accept NULL.
 *
 * Return: NULL if the settings do not ask for it, or if the store or the adapter does not support
 * it, which is logged.
 */
sgr_control_evacuation_t *sgr_control_evacuation_create (sgr_control_t *control,
                                                         sgr_store_t *store);
void sgr_control_evacuation_destroy (sgr_control_evacuation_t *evacuation);

/**
 * sgr_control_evacuation_may_serve() - whether the node may send calls and admit them at its gate
 *
 * Return: true once the evacuations are known from the store or a peer, or 3 s after the start.
 */
bool sgr_control_evacuation_may_serve (const sgr_control_evacuation_t *evacuation);

/** sgr_control_evacuation_is_own() - whether the node's own failure domain is evacuated */
bool sgr_control_evacuation_is_own (const sgr_control_evacuation_t *evacuation);

/** sgr_control_evacuation_set() - the evacuated failure domains, NULL if they are not followed */
const sgr_evacuation_t *sgr_control_evacuation_set (const sgr_control_evacuation_t *evacuation);

/**
 * sgr_control_evacuation_members_update() - determine again whether this node is a reader; called
 * for each snapshot
 */
void sgr_control_evacuation_members_update (sgr_control_evacuation_t *evacuation,
                                            const sgr_member_t *members, size_t count);

/** sgr_control_evacuation_metrics_print() - append the counters of evacuations */
void sgr_control_evacuation_metrics_print (const sgr_control_evacuation_t *evacuation,
                                           sgr_buffer_t *text);

#endif
