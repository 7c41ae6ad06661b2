#ifndef SGR_DATA_GATE_H
#define SGR_DATA_GATE_H

#include "data_internal.h"

/**
 * struct sgr_data_channel_t - the way back to one entry node: a connection or this process itself
 * @node: entry node
 * @boot: its process life
 * @send: sends a frame to the entry
 * @ctx: passed to @send
 */
typedef struct sgr_data_channel_t
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  void (*send) (void *ctx, const Sgr__Pb__PeerFrame *frame, sgr_peer_priority_t priority);
  void *ctx;
} sgr_data_channel_t;

/** The gate of the local target: admission by sgr_gate_t, requests by the target client. */
sgr_data_gate_t *sgr_data_gate_create (sgr_data_task_t *task);
void sgr_data_gate_destroy (sgr_data_gate_t *gate);

/** sgr_data_gate_update() - take over target and policy of the task's snapshot */
void sgr_data_gate_update (sgr_data_gate_t *gate, uint64_t now_us);

/**
 * sgr_data_gate_call() - take a call with its whole body
 * @gate: the gate
 * @channel: where the answer goes
 * @call: head of the call
 * @body: body of the request
 * @body_length: bytes of @body
 */
void sgr_data_gate_call (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                         const Sgr__Pb__Call *call, const void *body, size_t body_length);

void sgr_data_gate_cancel (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                           const sgr_attempt_id_t *id, sgr_boot_id_t gate_boot);
void sgr_data_gate_query (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                          const sgr_attempt_id_t *id, sgr_boot_id_t gate_boot);
void sgr_data_gate_credit (sgr_data_gate_t *gate, const sgr_attempt_id_t *id, uint32_t bytes);

/** sgr_data_gate_channel_closed() - the entry cannot be reached by this channel any more */
void sgr_data_gate_channel_closed (sgr_data_gate_t *gate, const sgr_data_channel_t *channel);

/**
 * sgr_data_gate_entry_lost() - an entry did not come back: drop its queued attempts and its
 * idempotent running ones
 */
void sgr_data_gate_entry_lost (sgr_data_gate_t *gate, sgr_node_id_t node, sgr_boot_id_t boot);

void sgr_data_gate_drain (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_gate_is_idle() - whether no request is queued, runs or has an unsent answer */
bool sgr_data_gate_is_idle (const sgr_data_gate_t *gate);

/** sgr_data_gate_metrics_set() - write the state of the gate into the task's registry */
void sgr_data_gate_metrics_set (const sgr_data_gate_t *gate);

/** sgr_data_gate_load() - load and key generation of the gate as a message */
void sgr_data_gate_load (const sgr_data_gate_t *gate, Sgr__Pb__LoadReport *load);

#endif
