#ifndef SGR_DATA_PEER_H
#define SGR_DATA_PEER_H

#include "data_gate.h"

/** Connections that other entry nodes opened to this node's gate. */
sgr_data_peers_t *sgr_data_peers_create (sgr_data_task_t *task, sgr_buffer_t *errors);
void sgr_data_peers_destroy (sgr_data_peers_t *peers);

/** sgr_data_peers_count() - number of these connections */
size_t sgr_data_peers_count (const sgr_data_peers_t *peers);

/** sgr_data_peers_finish() - accept no more of these connections; deliver what is queued on them,
 * then end them */
void sgr_data_peers_finish (sgr_data_peers_t *peers);

/** sgr_data_peers_send() - send a frame to each entry node whose connection is ready */
void sgr_data_peers_send (sgr_data_peers_t *peers, const Sgr__Pb__PeerFrame *frame);

/**
 * struct sgr_data_calls_t - receiver of frames from one channel; holds the calls whose body has not
 * arrived completely
 */
typedef struct sgr_data_calls_t sgr_data_calls_t;

/**
 * sgr_data_calls_create() - create the receiver of one channel
 * @gate: the gate
 * @memory: budget that counts the bodies
 * @body_max: largest body of a call, bytes
 */
sgr_data_calls_t *sgr_data_calls_create (sgr_data_gate_t *gate, sgr_memory_budget_t *memory,
                                         uint64_t body_max);
void sgr_data_calls_destroy (sgr_data_calls_t *calls);

/**
 * sgr_data_calls_frame_handle() - handle a frame from an entry node
 * @calls: receiver of the channel
 * @channel: the channel
 * @frame: the frame
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if the frame violates the protocol; the connection must then
 * be closed.
 */
sgr_result_t sgr_data_calls_frame_handle (sgr_data_calls_t *calls, sgr_data_channel_t *channel,
                                          const Sgr__Pb__PeerFrame *frame);

#endif
