#ifndef SGR_DATA_LINK_H
#define SGR_DATA_LINK_H

#include "data_internal.h"

struct sgr_data_attempt_t;

/** Connections from this entry node to gates, one a node; the own gate is reached in process. */
sgr_data_links_t *sgr_data_links_create (sgr_data_task_t *task);
void sgr_data_links_destroy (sgr_data_links_t *links);

/**
 * sgr_data_link_get() - link to a member's gate
 * @links: the links
 * @node: node id of a member of the current snapshot
 *
 * Return: the link, NULL if the node is no member.
 */
sgr_data_link_t *sgr_data_link_get (sgr_data_links_t *links, sgr_node_id_t node);

/**
 * sgr_data_link_send() - send a frame, connect first if there is no connection
 * @link: the link
 * @frame: the frame
 * @priority: which queue
 */
sgr_result_t sgr_data_link_send (sgr_data_link_t *link, const Sgr__Pb__PeerFrame *frame,
                                 sgr_peer_priority_t priority);

/** sgr_data_link_open() - connect if there is no connection */
sgr_result_t sgr_data_link_open (sgr_data_link_t *link);

/**
 * sgr_data_link_gate() - process life and key generation of the gate
 * @link: the link
 * @boot: receives the boot id, from the connection or else from membership
 * @generation: receives the key generation
 *
 * Return: true if the generation is known for this boot.
 */
bool sgr_data_link_gate (const sgr_data_link_t *link, sgr_boot_id_t *boot, uint64_t *generation);

sgr_node_id_t sgr_data_link_node (const sgr_data_link_t *link);

/** sgr_data_link_attach() - an attempt waits for frames of the link */
void sgr_data_link_attach (sgr_data_link_t *link, struct sgr_data_attempt_t *attempt);
void sgr_data_link_detach (sgr_data_link_t *link, struct sgr_data_attempt_t *attempt);

/** sgr_data_link_load_set() - take over the key generation from a load report */
void sgr_data_link_load_set (sgr_data_link_t *link, const Sgr__Pb__LoadReport *load);

#endif
