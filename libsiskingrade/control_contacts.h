#ifndef SGR_CONTROL_CONTACTS_H
#define SGR_CONTROL_CONTACTS_H

#include "control_internal.h"
#include "store.h"

/**
 * sgr_control_contacts_create() - find other nodes through the store
 * @control: the control task
 * @store: the store, NULL if there is none
 *
 * Reads the addresses of the nodes. If the node's own is missing, writes it under the key
 * "nodes/DEPLOYMENT/NAME" and then reads the others again. If two nodes start at the same time, the
 * one that writes later finds the other. Once the node has found others, membership alone keeps
 * them connected and the store is not read again, unless the store was restored. A step that fails
 * is retried.
 *
 * Return: the object, NULL without a store.
 */
sgr_control_contacts_t *sgr_control_contacts_create (sgr_control_t *control, sgr_store_t *store);

/**
 * sgr_control_contacts_renew() - write the node's address again, after the store was restored
 * @contacts: the object, NULL for none
 *
 * The restored store may lack the address, and those that other nodes wrote, so the nodes are read
 * once more, too. Starts after a delay that depends on the node's name, since many nodes notice the
 * restore at once.
 */
void sgr_control_contacts_renew (sgr_control_contacts_t *contacts);
/** sgr_control_contacts_is_alone() - whether the store has answered that there is no other node;
 * false for NULL */
bool sgr_control_contacts_is_alone (const sgr_control_contacts_t *contacts);

/** sgr_control_contacts_listed() - nodes in the store's list, this one included, if it had the
 * address of this node before this process wrote it; 0 otherwise and for NULL */
size_t sgr_control_contacts_listed (const sgr_control_contacts_t *contacts);
void sgr_control_contacts_destroy (sgr_control_contacts_t *contacts);

#endif
