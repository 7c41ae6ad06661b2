#ifndef SGR_CONTROL_CONTACTS_H
#define SGR_CONTROL_CONTACTS_H

#include "control_internal.h"
#include "store.h"

/**
 * sgr_control_contacts_create() - find other nodes through the store
 * @control: the control task
 * @store: the store, NULL if there is none
 *
 * Writes the own control address under "nodes/DEPLOYMENT/NAME" and then reads those of the others.
 * Of two nodes that start together, the one that writes later sees the other. Afterwards membership
 * alone keeps the nodes connected. While the store gives no answer, both steps are tried again.
 */
sgr_control_contacts_t *sgr_control_contacts_create (sgr_control_t *control, sgr_store_t *store);
void sgr_control_contacts_destroy (sgr_control_contacts_t *contacts);

#endif
