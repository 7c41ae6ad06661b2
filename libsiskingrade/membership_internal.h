#ifndef SGR_MEMBERSHIP_INTERNAL_H
#define SGR_MEMBERSHIP_INTERNAL_H

#include "membership.h"
#include "membership_budget.h"
#include "membership_codec.h"
#include "membership_queue.h"
#include "membership_table.h"
#include "rng.h"

#define SGR_MEMBERSHIP_CONTACTS_MAX 64
/* Maximum number of further nodes whose suspicion of a member shortens its suspicion timeout. */
#define SGR_MEMBERSHIP_SUSPICION_CONFIRMATIONS_MAX 3
/* Maximum number of pings in progress on behalf of other nodes. */
#define SGR_MEMBERSHIP_RELAYS_MAX 32
/* Maximum number of newer records that this node sends in return for the stale records of one
   datagram. */
#define SGR_MEMBERSHIP_CORRECTIONS_MAX 32
/* After its start, a node adds its own record to this number of pulls, because the receivers may
   not know it yet. Pulls that it sends while it knows no peer are not counted. */
#define SGR_MEMBERSHIP_PULLS_WITH_OWN_RECORD 5
/* Upper bound of Lifeguard's local health multiplier: probe times grow up to 9 times longer. */
#define SGR_MEMBERSHIP_HEALTH_MULTIPLIER_MAX 8

/**
 * struct sgr_membership_suspicion_t - suspicion of one member
 * @handle: the suspect
 * @suspected_by_count: number of nodes in @suspected_by
 * @suspected_by: low 32 bits of the ids of the nodes that suspect the member independently, in the
 *                order in which this node learned of them
 * @start_us: when this node learned of the suspicion
 * @deadline_us: when the suspect is declared dead
 */
typedef struct
{
  uint32_t handle;
  uint32_t suspected_by_count;
  uint32_t suspected_by[SGR_MEMBERSHIP_SUSPICION_CONFIRMATIONS_MAX + 1];
  uint64_t start_us;
  uint64_t deadline_us;
} sgr_membership_suspicion_t;

/**
 * struct sgr_membership_relay_t - a ping sent on behalf of another node, the requester
 * @due_us: when the requester receives a NACK for lack of an acknowledgement; 0 while the relay is
 * unused
 * @probed_id: the member that is pinged
 * @requester: address of the requester
 * @requester_sequence: sequence number of the request
 * @sequence: sequence number of the ping
 */
typedef struct
{
  uint64_t due_us;
  sgr_node_id_t probed_id;
  sgr_address_t requester;
  uint32_t requester_sequence;
  uint32_t sequence;
} sgr_membership_relay_t;

/**
 * enum sgr_membership_probe_stage_t - stage of a probe
 * @SGR_MEMBERSHIP_PROBE_IDLE: no acknowledgement is awaited
 * @SGR_MEMBERSHIP_PROBE_DIRECT: a ping was sent to the probed member
 * @SGR_MEMBERSHIP_PROBE_INDIRECT: other members were requested to ping the probed member
 */
typedef enum
{
  SGR_MEMBERSHIP_PROBE_IDLE = 0,
  SGR_MEMBERSHIP_PROBE_DIRECT,
  SGR_MEMBERSHIP_PROBE_INDIRECT,
} sgr_membership_probe_stage_t;

/**
 * struct sgr_membership_probe_t - the probe in progress
 * @stage: stage of the probe
 * @id: the probed member
 * @boot: boot of the probed member; the probe is abandoned if the member restarts
 * @sequence: sequence number of the pings
 * @nacks_expected: members that were requested to ping the probed member; each is expected to send
 *                  a NACK if it gets no acknowledgement either
 * @nacks: NACKs received
 * @due_us: when the current stage ends
 * @next_us: when the next probe starts; the present one fails then if it is not acknowledged
 */
typedef struct
{
  sgr_membership_probe_stage_t stage;
  sgr_node_id_t id;
  sgr_boot_id_t boot;
  uint32_t sequence;
  uint32_t nacks_expected;
  uint32_t nacks;
  uint64_t due_us;
  uint64_t next_us;
} sgr_membership_probe_t;

/**
 * struct sgr_membership_sync_t - anti-entropy sync. Member records are divided into groups by node
 * id. A new node requests some peers from its contacts (join), then pulls all groups (initial
 * sync), and afterwards compares digests of the groups with a random peer from time to time.
 * @missing_groups: bit set of the groups that the initial sync has not completed
 * @catching_up: whether the last sync found differences, so that the next one follows soon
 * @pulls_without_change: pulls in a row that returned no newer record
 * @requested_groups: bit set of the groups of the last pull
 * @sequence: sequence number of the last digest or pull, 0 while no answer is awaited
 * @joined: whether this node has stopped requesting peers from its contacts
 * @pulls_with_own_record_left: number of pulls, from the next one on, that include this node's own
 * record; see SGR_MEMBERSHIP_PULLS_WITH_OWN_RECORD
 * @join_attempts: join requests sent, counted up to JOIN_WAIT_DOUBLINGS_MAX
 * @due_us: when the next join request, pull or digest is sent
 */
typedef struct
{
  uint64_t missing_groups;
  bool catching_up;
  uint32_t pulls_without_change;
  uint64_t requested_groups;
  uint32_t sequence;
  bool joined;
  uint32_t pulls_with_own_record_left;
  uint32_t join_attempts;
  uint64_t due_us;
} sgr_membership_sync_t;

/**
 * struct sgr_membership_t - membership of one node. Members are identified by their handle, the
 * index of their record in @table.
 * @self: handle of this node
 * @sequence: last sequence number used in a datagram
 * @health_multiplier: Lifeguard's local health multiplier; 0 while this node considers itself
 *                     healthy
 * @has_left: whether sgr_membership_leave() was called
 * @ring_cursor: position of the next member to probe in the ring of @table
 * @suspicions: suspicions in no particular order
 * @suspicion_due_us: earliest deadline of @suspicions, UINT64_MAX for none
 * @relay_due_us: earliest due time of @relays, UINT64_MAX for none
 * @gossip_due_us: when the next gossip round starts, UINT64_MAX while no urgent update is queued
 * @dead_probe_due_us: when a dead member and a contact that is no live member are pinged next
 * @tombstone_due_us: when expired records of departed members are removed next
 * @last_conflict_us: when this node last received a record of a newer boot under its own name, 0
 *   for never
 * @revision_sends_pending: gossip datagrams that are still to be sent for a new configuration
 *                          revision of this node or for a change of @evacuation; every datagram
 *                          carries both
 * @revision_highest: highest configuration revision known to be in force at a node
 * @revision_holder: node that last reported @revision_highest
 * @evacuation: the evacuated failure domains
 * @evacuation_cb: called when a set arrives, NULL if this node does not follow evacuations
 * @evacuation_ctx: passed to @evacuation_cb
 * @has_received_evacuation: whether another node has sent a set
 * @is_evacuation_denied: whether a node that started long before this one has sent a datagram
 *                        without a set
 * @corrections: handles of the members whose received record was stale
 * @requested_ids: nodes whose full record is missing here
 * @self_correction_due: whether to send the present record of this node to the sender of the
 *   datagram
 */
struct sgr_membership_t
{
  sgr_membership_options_t options;
  sgr_membership_callbacks_t callbacks;
  void *ctx;
  sgr_rng_t rng;
  sgr_membership_table_t table;
  sgr_membership_queue_t queue;
  sgr_membership_budget_t budget;
  sgr_membership_counters_t counters;
  sgr_node_id_t id;
  uint32_t self;
  uint32_t sequence;
  uint32_t health_multiplier;
  bool has_left;
  sgr_address_t contacts[SGR_MEMBERSHIP_CONTACTS_MAX];
  uint32_t contact_count;
  sgr_membership_probe_t probe;
  uint32_t ring_cursor;
  sgr_membership_suspicion_t *suspicions;
  uint32_t suspicion_count;
  uint32_t suspicion_capacity;
  uint64_t suspicion_due_us;
  sgr_membership_relay_t relays[SGR_MEMBERSHIP_RELAYS_MAX];
  uint64_t relay_due_us;
  uint64_t gossip_due_us;
  uint64_t dead_probe_due_us;
  uint64_t tombstone_due_us;
  uint64_t last_conflict_us;
  sgr_membership_sync_t sync;
  uint32_t revision_sends_pending;
  uint64_t revision_highest;
  sgr_node_id_t revision_holder;
  sgr_evacuation_t evacuation;
  sgr_membership_evacuation_cb_t evacuation_cb;
  void *evacuation_ctx;
  bool has_received_evacuation;
  bool is_evacuation_denied;
  /* Collected while a datagram is processed; sgr_membership_sync_send_pending() then sends the
     resulting requests and corrections to its sender. */
  uint32_t corrections[SGR_MEMBERSHIP_CORRECTIONS_MAX];
  uint32_t correction_count;
  sgr_node_id_t requested_ids[SGR_MEMBERSHIP_WANTED_IDS_MAX];
  uint32_t requested_id_count;
  bool self_correction_due;
};

/**
 * enum sgr_membership_merge_t - result of sgr_membership_merge()
 * @SGR_MEMBERSHIP_MERGE_STALE: the received record is older than the known one
 * @SGR_MEMBERSHIP_MERGE_SAME: the received record is as new as the known one, or concerns this node
 * @SGR_MEMBERSHIP_MERGE_NEWER: the received record was applied
 * @SGR_MEMBERSHIP_MERGE_IGNORED: the received record could not be applied
 */
typedef enum
{
  SGR_MEMBERSHIP_MERGE_STALE = 0,
  SGR_MEMBERSHIP_MERGE_SAME,
  SGR_MEMBERSHIP_MERGE_NEWER,
  SGR_MEMBERSHIP_MERGE_IGNORED,
} sgr_membership_merge_t;

/** sgr_membership_entry() - record of a member; invalid after a member is added to the table */
static inline sgr_membership_entry_t *
sgr_membership_entry (sgr_membership_t *m, uint32_t handle)
{
  return &m->table.entries[handle];
}

/* The functions named ..._tick() return at once if nothing is due at @now_us. */

/* membership.c */

/** sgr_membership_change_notify() - report a changed member through the callback */
void sgr_membership_change_notify (sgr_membership_t *m, uint32_t handle);

/* membership_evacuation.c */

/** sgr_membership_evacuation_receive() - apply the evacuated failure domains of a datagram */
void sgr_membership_evacuation_receive (sgr_membership_t *m, uint64_t now_us,
                                        const sgr_membership_message_t *message);

/* membership_update.c */

/**
 * sgr_membership_merge() - apply a received record if it is newer than the known one
 * @m: the membership
 * @now_us: monotonic time in microseconds
 * @record: the received record
 * @spread: whether to queue a newer record for other members
 */
sgr_membership_merge_t sgr_membership_merge (sgr_membership_t *m, uint64_t now_us,
                                             const sgr_membership_record_t *record, bool spread);

/**
 * sgr_membership_update_enqueue() - queue the record of a member as an update for other members
 * @m: the membership
 * @now_us: monotonic time in microseconds
 * @handle: the member
 * @urgency: urgency of the update
 * @full: whether receivers may lack the descriptor (name, addresses, region, failure domain,
 *        service)
 */
void sgr_membership_update_enqueue (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                                    sgr_membership_urgency_t urgency, bool full);

/**
 * sgr_membership_request_full_record() - request the full record of a node from the sender of the
 * datagram that is being processed
 */
void sgr_membership_request_full_record (sgr_membership_t *m, sgr_node_id_t id);

/* membership_suspicion.c */

/** sgr_membership_suspect() - suspect a live member after a failed probe and send it the suspicion
 */
void sgr_membership_suspect (sgr_membership_t *m, uint64_t now_us, uint32_t handle);

/**
 * sgr_membership_suspicion_add() - record that a node suspects a member
 * @m: the membership
 * @now_us: monotonic time in microseconds
 * @handle: the suspect
 * @suspected_by: low 32 bits of the id of the node that suspects the member
 */
void sgr_membership_suspicion_add (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                                   uint32_t suspected_by);

/** sgr_membership_suspicion_remove() - end the suspicion of a member, if there is one */
void sgr_membership_suspicion_remove (sgr_membership_t *m, uint32_t handle);

/**
 * sgr_membership_suspected_by() - the node that was last recorded as suspecting a member
 *
 * Return: low 32 bits of the id of the node, 0 if the member is not suspect.
 */
uint32_t sgr_membership_suspected_by (const sgr_membership_t *m, uint32_t handle);

/** sgr_membership_suspicion_tick() - declare the suspects dead whose timeout has passed */
void sgr_membership_suspicion_tick (sgr_membership_t *m, uint64_t now_us);

/** sgr_membership_suspicion_postpone() - postpone all suspicion timeouts by the same time */
void sgr_membership_suspicion_postpone (sgr_membership_t *m, uint64_t gap_us);

/**
 * sgr_membership_mark_departed() - mark a member as departed on the decision of this node
 * @m: the membership
 * @now_us: monotonic time in microseconds
 * @handle: the member
 * @status: its new status, dead or left
 * @spread: whether to queue the change for other members
 */
void sgr_membership_mark_departed (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                                   sgr_member_status_t status, bool spread);

/* membership_send.c */

/**
 * sgr_membership_update_received() - process the receipt of an update that may be queued here too
 *
 * The receipt counts as one of the transmissions of the queued update, because another member
 * distributes the same update. Updates that need all their transmissions are not affected.
 */
void sgr_membership_update_received (sgr_membership_t *m, uint32_t handle);

/**
 * sgr_membership_add_record() - add the record of a member to a datagram
 * @m: the membership
 * @writer: the datagram
 * @now_us: monotonic time in microseconds
 * @handle: the member
 * @full: whether to include the descriptor
 * @limit: maximum size of the datagram in bytes
 *
 * Return: false if the record does not fit.
 */
bool sgr_membership_add_record (sgr_membership_t *m, sgr_membership_writer_t *writer,
                                uint64_t now_us, uint32_t handle, bool full, size_t limit);

/** sgr_membership_datagram_begin() - start a datagram, which has the evacuated failure domains */
void sgr_membership_datagram_begin (const sgr_membership_t *m, sgr_membership_writer_t *writer,
                                    sgr_membership_kind_t kind);

/** sgr_membership_add_updates() - add queued updates to a datagram as far as the budget allows */
void sgr_membership_add_updates (sgr_membership_t *m, sgr_membership_writer_t *writer,
                                 uint64_t now_us);

/**
 * sgr_membership_send() - encode a datagram, charge it to the budget and send it
 * @m: the membership
 * @writer: the datagram
 * @to: address of the receiver
 * @share: share of the budget to charge
 *
 * Return: false if the datagram exceeds the budget and is not sent.
 */
bool sgr_membership_send (sgr_membership_t *m, sgr_membership_writer_t *writer,
                          const sgr_address_t *to, sgr_membership_share_t share);

/** sgr_membership_address() - control address of a member */
sgr_address_t sgr_membership_address (const sgr_membership_t *m, uint32_t handle);

/**
 * sgr_membership_random_peer() - a random live member other than this node
 *
 * Return: its handle, SGR_MEMBERSHIP_NONE if there is no other live member.
 */
uint32_t sgr_membership_random_peer (sgr_membership_t *m);

/** sgr_membership_peer_count() - number of live members other than this node */
uint32_t sgr_membership_peer_count (const sgr_membership_t *m);

/* membership_probe.c */

/** sgr_membership_probe_tick() - start, continue or fail a probe */
void sgr_membership_probe_tick (sgr_membership_t *m, uint64_t now_us);

/**
 * sgr_membership_relay_tick() - send a NACK for each relayed ping that was not acknowledged in time
 */
void sgr_membership_relay_tick (sgr_membership_t *m, uint64_t now_us);

/** sgr_membership_gossip_tick() - send urgent updates to random members */
void sgr_membership_gossip_tick (sgr_membership_t *m, uint64_t now_us);

/** sgr_membership_dead_probe_tick() - ping a dead member and a contact that is no live member */
void sgr_membership_dead_probe_tick (sgr_membership_t *m, uint64_t now_us);

/** sgr_membership_probe_receive() - process a datagram of failure detection or gossip */
void sgr_membership_probe_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                                   const sgr_membership_message_t *message);

/**
 * sgr_membership_health_multiplier_adjust() - change the local health multiplier within its bounds
 * @m: the membership
 * @change: positive after a sign that this node itself is slow or cut off, negative after a
 *          successful probe
 */
void sgr_membership_health_multiplier_adjust (sgr_membership_t *m, int change);

/* membership_sync.c */

/** sgr_membership_is_joining() - whether this node still requests peers from its contacts */
bool sgr_membership_is_joining (const sgr_membership_t *m);

/** sgr_membership_sync_tick() - send a join request, a pull or a digest */
void sgr_membership_sync_tick (sgr_membership_t *m, uint64_t now_us);

/**
 * sgr_membership_sync_receive() - process a datagram of anti-entropy sync
 * @m: the membership
 * @now_us: monotonic time in microseconds
 * @from: address of the sender
 * @message: the datagram, of kind SGR_MEMBERSHIP_DIGEST or a higher one
 * @newer_count: number of its records that were newer than the known ones
 */
void sgr_membership_sync_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                                  const sgr_membership_message_t *message, uint32_t newer_count);

/**
 * sgr_membership_sync_send_pending() - send record requests and corrections to the sender of the
 * datagram that was just processed; they were collected meanwhile
 */
void sgr_membership_sync_send_pending (sgr_membership_t *m, uint64_t now_us,
                                       const sgr_address_t *from);

#endif
