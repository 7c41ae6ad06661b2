#ifndef SGR_DATA_LINK_H
#define SGR_DATA_LINK_H

#include "data_internal.h"

struct sgr_data_attempt_t;

/**
 * Links from this entry node to the gates of all nodes, with at most one connection to each other
 * node. Frames between this node's entry and its own gate stay within the process.
 */
sgr_data_links_t *sgr_data_links_create (sgr_data_task_t *task);
void sgr_data_links_destroy (sgr_data_links_t *links);

/**
 * sgr_data_link_get() - link to a member's gate
 * @links: the links
 * @node: node id of a member of the current snapshot
 *
 * Return: the link, NULL if the node is not a member.
 */
sgr_data_link_t *sgr_data_link_get (sgr_data_links_t *links, sgr_node_id_t node);

/**
 * sgr_data_link_send() - send a frame; opens a connection first if there is none
 * @link: the link
 * @frame: the frame
 * @priority: queue of the connection
 *
 * Return: SGR_OK; SGR_ERR_UNAVAILABLE if no connection can be opened, SGR_ERR_LIMIT if the frame is
 * too large.
 */
sgr_result_t sgr_data_link_send (sgr_data_link_t *link, const Sgr__Pb__PeerFrame *frame,
                                 sgr_peer_priority_t priority);

/** sgr_data_link_has_room() - whether a further part of a large body may be sent now */
bool sgr_data_link_has_room (const sgr_data_link_t *link);

/** sgr_data_link_has_waiting_body() - whether a large body waits; a later one has to wait, too */
bool sgr_data_link_has_waiting_body (const sgr_data_link_t *link);

/**
 * sgr_data_link_body_wait() - let the body of an attempt wait for room in the queue of its link
 *
 * When there is room, sgr_data_send_body_continue() is called for the oldest waiting attempt until
 * it returns false. An attempt that is detached waits no more.
 */
void sgr_data_link_body_wait (sgr_data_link_t *link, struct sgr_data_attempt_t *attempt);

/**
 * sgr_data_link_open() - open a connection if there is none; frames may be sent at once
 *
 * A connection that fails is reported to the attempts of the link later.
 *
 * Return: SGR_OK, or SGR_ERR_UNAVAILABLE if the node is not a member.
 */
sgr_result_t sgr_data_link_open (sgr_data_link_t *link);

/**
 * sgr_data_link_gate_info() - boot id and key generation of the gate
 * @link: the link
 * @boot: receives the boot id, from the connection or else from membership
 * @key_generation: receives the key generation that was last received
 *
 * Return: true if the key generation belongs to this boot.
 */
bool sgr_data_link_gate_info (const sgr_data_link_t *link, sgr_boot_id_t *boot,
                              uint64_t *key_generation);

/** sgr_data_link_keep() - keep the connection for another idle time, though no attempt uses it */
void sgr_data_link_keep (sgr_data_link_t *link);

sgr_node_id_t sgr_data_link_node (const sgr_data_link_t *link);

/** sgr_data_link_attach() - add an attempt that waits for frames from the gate */
void sgr_data_link_attach (sgr_data_link_t *link, struct sgr_data_attempt_t *attempt);

/** sgr_data_link_detach() - remove an attempt that no longer waits */
void sgr_data_link_detach (sgr_data_link_t *link, struct sgr_data_attempt_t *attempt);

/** sgr_data_link_key_generation_set() - record the key generation of the gate from its load report
 */
void sgr_data_link_key_generation_set (sgr_data_link_t *link, const Sgr__Pb__LoadReport *load);

#endif
