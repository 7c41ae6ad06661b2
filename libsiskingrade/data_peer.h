#ifndef SGR_DATA_PEER_H
#define SGR_DATA_PEER_H

#include "data_gate.h"

/** Accepted connections of entry nodes, and the channel of this process to its own gate. */
sgr_data_peers_t *sgr_data_peers_create (sgr_data_task_t *task, sgr_buffer_t *errors);
void sgr_data_peers_destroy (sgr_data_peers_t *peers);

/** sgr_data_peers_count() - connections of entry nodes */
size_t sgr_data_peers_count (const sgr_data_peers_t *peers);

/** sgr_data_peers_send() - send a frame to every entry node with a connection */
void sgr_data_peers_send (sgr_data_peers_t *peers, const Sgr__Pb__PeerFrame *frame);

/**
 * struct sgr_data_calls_t - calls of one channel whose body has not arrived whole
 */
typedef struct sgr_data_calls_t sgr_data_calls_t;

sgr_data_calls_t *sgr_data_calls_create (sgr_data_gate_t *gate, uint64_t body_max);
void sgr_data_calls_destroy (sgr_data_calls_t *calls);

/**
 * sgr_data_calls_frame() - take a frame of an entry node
 * @calls: bodies of the channel
 * @channel: the channel
 * @frame: the frame
 *
 * Return: SGR_ERR_INVALID if the frame breaks the protocol; the connection must be closed.
 */
sgr_result_t sgr_data_calls_frame (sgr_data_calls_t *calls, sgr_data_channel_t *channel,
                                   const Sgr__Pb__PeerFrame *frame);

#endif
