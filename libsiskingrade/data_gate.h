#ifndef SGR_DATA_GATE_H
#define SGR_DATA_GATE_H

#include "data_internal.h"

/**
 * struct sgr_data_channel_t - path for frames from the gate to one entry node
 * @node: id of the entry node
 * @boot: boot id of the entry node
 * @send: sends a frame to the entry
 * @ctx: passed to @send
 *
 * It is a peer connection, or a queue within this process if the entry is this node itself.
 */
typedef struct sgr_data_channel_t
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  void (*send) (void *ctx, const Sgr__Pb__PeerFrame *frame, sgr_peer_priority_t priority);
  void *ctx;
} sgr_data_channel_t;

/** The gate of the local target: sgr_gate_t decides on admission, the target client does the I/O.
 */
sgr_data_gate_t *sgr_data_gate_create (sgr_data_task_t *task);
void sgr_data_gate_destroy (sgr_data_gate_t *gate);

/** sgr_data_gate_update() - apply the local target and its policy from the task's snapshot */
void sgr_data_gate_update (sgr_data_gate_t *gate, uint64_t now_us);

/**
 * sgr_data_gate_call() - admit, queue or refuse an attempt whose body has arrived completely
 * @gate: the gate
 * @channel: channel of the entry, which gets the answer
 * @call: head of the attempt
 * @body: body of the request; its content is taken over if the attempt is admitted or queued
 */
void sgr_data_gate_call (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                         const Sgr__Pb__Call *call, sgr_buffer_t *body);

/**
 * sgr_data_gate_body_refuse() - refuse an attempt for whose announced body there is no room
 * @gate: the gate
 * @channel: channel of the entry, which gets the refusal
 * @call: head of the attempt, which was not passed to sgr_data_gate_call()
 */
void sgr_data_gate_body_refuse (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                                const Sgr__Pb__Call *call);

/** sgr_data_gate_cancel() - cancel an attempt and reply to its entry with the status */
void sgr_data_gate_cancel (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                           const sgr_attempt_id_t *id, sgr_boot_id_t gate_boot);

/**
 * sgr_data_gate_query() - reply to an entry with the status of an attempt
 *
 * A recorded answer is sent instead of a reply. The answer of a queued or running attempt is sent
 * on @channel when it arrives.
 */
void sgr_data_gate_query (sgr_data_gate_t *gate, sgr_data_channel_t *channel,
                          const sgr_attempt_id_t *id, sgr_boot_id_t gate_boot);

/** sgr_data_gate_credit() - allow @bytes more of an attempt's answer to be sent */
void sgr_data_gate_credit (sgr_data_gate_t *gate, const sgr_attempt_id_t *id, uint32_t bytes);

/**
 * sgr_data_gate_channel_closed() - detach all attempts from a closed channel
 *
 * A request continues to run until sgr_data_gate_entry_lost() if a later query of the entry can
 * still get its whole answer.
 */
void sgr_data_gate_channel_closed (sgr_data_gate_t *gate, const sgr_data_channel_t *channel);

/**
 * sgr_data_gate_entry_lost() - discard the attempts of an entry that did not reconnect
 *
 * Queued attempts are dropped. A running request is aborted if no other attempt waits for its
 * answer, it is idempotent and it has no idempotency key.
 */
void sgr_data_gate_entry_lost (sgr_data_gate_t *gate, sgr_node_id_t node, sgr_boot_id_t boot);

/** sgr_data_gate_drain() - refuse new and queued attempts; running requests finish */
void sgr_data_gate_drain (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_gate_cold_forget() - count the local target as cold until its next statement, because
 * an evacuation of the failure domain ended
 */
void sgr_data_gate_cold_forget (sgr_data_gate_t *gate, uint64_t now_us);

/** sgr_data_gate_is_idle() - whether no request is queued or running and all answers are sent */
bool sgr_data_gate_is_idle (const sgr_data_gate_t *gate);

/** sgr_data_gate_metrics_set() - copy the metrics of the gate into the task's registry */
void sgr_data_gate_metrics_set (const sgr_data_gate_t *gate);

/** sgr_data_gate_load_report() - initialise @load with the load and the key generation of the gate
 */
void sgr_data_gate_load_report (const sgr_data_gate_t *gate, Sgr__Pb__LoadReport *load);

#endif
