#ifndef SGR_MEMBERSHIP_H
#define SGR_MEMBERSHIP_H

#include "evacuation.h"
#include "member.h"
#include "result.h"

/** Largest datagram that membership sends or accepts, in bytes, without IP and UDP headers. */
#define SGR_MEMBERSHIP_DATAGRAM_MAX 1200

/**
 * Membership of one node: SWIM failure detection with suspicion and Lifeguard's local health
 * multiplier, dissemination of member records and configuration revisions by gossip, and
 * anti-entropy sync. It performs no I/O: received datagrams and the time are passed in, datagrams
 * to send are passed to a callback. All functions must be called from one task.
 */
typedef struct sgr_membership_t sgr_membership_t;

/**
 * struct sgr_membership_options_t - settings of one node; see sgr_membership_options_init()
 * @self: record of this node; its name, both addresses, boot and boot_time_ms are required; its id,
 *        incarnation and status are ignored
 * @seed: seed of the random number generator; must differ between nodes
 * @budget_bytes_per_s: bytes per second that the node may send and receive together, IP and UDP
 *                      headers included; at least 1000
 * @probe_period_ms: time between the starts of two probes, at least 10 ms
 * @probe_timeout_ms: time without an acknowledgement after which other members are requested to
 *                    ping the probed member too; shorter than @probe_period_ms
 * @indirect_probes: number of members that are requested to ping an unresponsive member
 * @suspicion_factor: shortest suspicion timeout in probe periods; above 10 members it is multiplied
 *                    by log10 of their number
 * @suspicion_max_factor: longest suspicion timeout as a multiple of the shortest
 * @gossip_period_ms: time between two gossip rounds, which carry urgent updates
 * @gossip_fanout: members that receive a datagram in one gossip round
 * @sync_period_ms: mean time between two anti-entropy syncs while the membership views agree, at
 *                  least 10 ms
 * @dead_probe_period_ms: mean time between two pings of a dead member and of a contact that is not
 *                        a live member, at least 10 ms
 * @tombstone_s: time in seconds for which the record of a departed member is kept, at least 10 s
 * @members_max: maximum number of records, those of departed members included; at least 2
 */
typedef struct
{
  sgr_member_t self;
  uint64_t seed;
  uint32_t budget_bytes_per_s;
  uint32_t probe_period_ms;
  uint32_t probe_timeout_ms;
  uint32_t indirect_probes;
  uint32_t suspicion_factor;
  uint32_t suspicion_max_factor;
  uint32_t gossip_period_ms;
  uint32_t gossip_fanout;
  uint32_t sync_period_ms;
  uint32_t dead_probe_period_ms;
  uint32_t tombstone_s;
  uint32_t members_max;
} sgr_membership_options_t;

/**
 * struct sgr_membership_callbacks_t - callbacks of membership
 * @send: sends one datagram; @bytes is valid only during the callback
 * @changed: reports that a member was added, or that its boot, status, target, addresses or
 *           configuration revision changed; may be NULL. @member is valid only during the callback.
 *           The callback may call sgr_membership_self_update() and the functions that only read.
 */
typedef struct
{
  void (*send) (void *ctx, const sgr_address_t *to, const uint8_t *bytes, size_t length);
  void (*changed) (void *ctx, const sgr_member_t *member);
} sgr_membership_callbacks_t;

/**
 * struct sgr_membership_update_t - the fields of this node's record that can change during a boot
 * @target_state: state of the local target
 * @service: service of the local target, "" for none, at most SGR_NAME_MAX bytes
 * @slots: requests that the local target may run at a time
 * @config_revision: revision of the configuration in force at this node; raised only after the node
 *                   holds the content of that revision, and never lowered
 */
typedef struct
{
  sgr_target_state_t target_state;
  const char *service;
  uint32_t slots;
  uint64_t config_revision;
} sgr_membership_update_t;

/**
 * struct sgr_membership_counters_t - totals since sgr_membership_create()
 * @messages_sent: datagrams sent
 * @messages_received: datagrams received, malformed ones included
 * @bytes_sent: bytes sent, IP and UDP headers included
 * @bytes_received: bytes received, IP and UDP headers included
 * @malformed: received datagrams that were ignored because they are malformed
 * @probes: probes started
 * @probe_failures: probes that got no acknowledgement, neither directly nor through other members
 * @suspicions: members that this node began to suspect after its own probe
 * @refutations: how often this node refuted that it is suspect or dead
 * @deaths: members that this node declared dead itself
 * @conflicts: how often another boot under this node's name was newer than this boot, or another
 *   node announced this node's address
 * @budget_refusals: datagrams that were not sent because they exceeded the byte budget
 * @records_merged: received records that were applied
 * @records_stale: received records that were older than the known ones
 * @syncs: received answers to pulls of this node
 * @late_ticks: ticks so late that the process must have been paused or short of CPU time
 */
typedef struct
{
  uint64_t messages_sent;
  uint64_t messages_received;
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t malformed;
  uint64_t probes;
  uint64_t probe_failures;
  uint64_t suspicions;
  uint64_t refutations;
  uint64_t deaths;
  uint64_t conflicts;
  uint64_t budget_refusals;
  uint64_t records_merged;
  uint64_t records_stale;
  uint64_t syncs;
  uint64_t late_ticks;
} sgr_membership_counters_t;

/**
 * sgr_membership_options_init() - set the defaults
 * @options: the options; the fields self and seed remain to be set afterwards
 */
void sgr_membership_options_init (sgr_membership_options_t *options);

/**
 * sgr_membership_create() - start membership of a node that knows only itself
 * @options: settings, copied
 * @callbacks: callbacks, copied; send is required
 * @ctx: passed to the callbacks
 * @now_us: monotonic time in microseconds
 * @membership: receives the object
 *
 * Return: SGR_OK; SGR_ERR_INVALID if a required field is missing or an option is out of range; or
 * SGR_ERR_NO_MEMORY.
 */
sgr_result_t sgr_membership_create (const sgr_membership_options_t *options,
                                    const sgr_membership_callbacks_t *callbacks, void *ctx,
                                    uint64_t now_us, sgr_membership_t **membership);

/**
 * sgr_membership_destroy() - free membership without announcing that the node leaves
 * @membership: the membership, may be NULL
 */
void sgr_membership_destroy (sgr_membership_t *membership);

/**
 * sgr_membership_contact_add() - add the address of a contact, a seed node to join through
 * @membership: the membership
 * @address: control address of the contact; this node's own address and known contacts are ignored
 *
 * Return: SGR_OK, or SGR_ERR_LIMIT if there are too many contacts.
 */
sgr_result_t sgr_membership_contact_add (sgr_membership_t *membership,
                                         const sgr_address_t *address);

/**
 * sgr_membership_datagram_receive() - process one received datagram
 * @membership: the membership
 * @now_us: monotonic time in microseconds
 * @from: address of the sender
 * @bytes: content of the datagram
 * @length: length of @bytes
 *
 * Return: SGR_OK, or SGR_ERR_INVALID for a malformed datagram, which is counted and ignored.
 */
sgr_result_t sgr_membership_datagram_receive (sgr_membership_t *membership, uint64_t now_us,
                                              const sgr_address_t *from, const uint8_t *bytes,
                                              size_t length);

/**
 * sgr_membership_tick() - run the timers that are due
 * @membership: the membership
 * @now_us: monotonic time in microseconds
 *
 * Return: monotonic time of the next tick in microseconds. Received datagrams and updates may make
 * the next tick due earlier; see sgr_membership_due().
 */
uint64_t sgr_membership_tick (sgr_membership_t *membership, uint64_t now_us);

/**
 * sgr_membership_due() - time at which the next tick is due
 * @membership: the membership
 *
 * Return: monotonic time in microseconds.
 */
uint64_t sgr_membership_due (const sgr_membership_t *membership);

/**
 * sgr_membership_self_update() - change the record of this node and distribute the change
 * @membership: the membership
 * @now_us: monotonic time in microseconds
 * @update: new values; a lower config_revision than the present one is ignored
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the service is not a valid name or the target state is
 * unknown; SGR_ERR_CONFLICT after sgr_membership_leave(); or SGR_ERR_LIMIT if the table of names of
 * regions, failure domains and services is full.
 */
sgr_result_t sgr_membership_self_update (sgr_membership_t *membership, uint64_t now_us,
                                         const sgr_membership_update_t *update);

/**
 * sgr_membership_leave() - announce that this node leaves; a second call does nothing
 * @membership: the membership
 * @now_us: monotonic time in microseconds
 *
 * After this function, datagrams and ticks must be passed in for about two more seconds, so that
 * the announcement reaches the other members despite packet loss.
 */
void sgr_membership_leave (sgr_membership_t *membership, uint64_t now_us);

/**
 * sgr_membership_self_get() - read the record of this node
 * @membership: the membership
 * @member: receives the record
 */
void sgr_membership_self_get (const sgr_membership_t *membership, sgr_member_t *member);

/**
 * sgr_membership_member_get() - read the record of a node, which may be this node
 * @membership: the membership
 * @id: id of the node
 * @member: receives the record
 *
 * Return: SGR_OK or SGR_ERR_NOT_FOUND. The record of a departed member has the status dead or left.
 * Its name may be empty if this node learned of the member only after the departure.
 */
sgr_result_t sgr_membership_member_get (const sgr_membership_t *membership, sgr_node_id_t id,
                                        sgr_member_t *member);

/**
 * sgr_membership_member_next() - iterate over all records, those of departed members included
 * @membership: the membership; must not change during the iteration
 * @cursor: 0 to start the iteration; advanced by this function
 * @member: receives the record
 *
 * Return: true if @member was set, false at the end.
 */
bool sgr_membership_member_next (const sgr_membership_t *membership, size_t *cursor,
                                 sgr_member_t *member);

/**
 * sgr_membership_size() - number of members that are alive or suspect, this node included
 * @membership: the membership
 */
size_t sgr_membership_size (const sgr_membership_t *membership);

/**
 * sgr_membership_is_synced() - whether this node pulled all member records once since its start
 * @membership: the membership
 */
bool sgr_membership_is_synced (const sgr_membership_t *membership);

/**
 * sgr_membership_revision_highest() - highest configuration revision known to be in force at a node
 * @membership: the membership
 * @holder: receives the node that last reported this revision; may be NULL
 *
 * Return: the revision, 0 if none is known.
 */
uint64_t sgr_membership_revision_highest (const sgr_membership_t *membership,
                                          sgr_node_id_t *holder);

/**
 * typedef sgr_membership_evacuation_cb_t - reports what other nodes tell of evacuations
 *
 * Called for the first set that arrives, for each one that changes the domains, and when
 * sgr_membership_evacuation_is_denied() becomes true. It may call the
 * functions that the callback changed() may call, see sgr_membership_callbacks_t.
 */
typedef void (*sgr_membership_evacuation_cb_t) (void *ctx);

/**
 * sgr_membership_evacuation_follow() - take part in the distribution of evacuated failure domains
 * @membership: the membership
 * @cb: called when a set arrives
 * @ctx: passed to @cb
 *
 * Without this call, sets in received datagrams are ignored. A datagram carries a set only if there
 * is or was an evacuation.
 */
void sgr_membership_evacuation_follow (sgr_membership_t *membership,
                                       sgr_membership_evacuation_cb_t cb, void *ctx);

/**
 * sgr_membership_evacuation_read() - apply evacuated failure domains that were read from the store
 * @membership: the membership
 * @now_us: monotonic time in microseconds
 * @read: the set, see sgr_evacuation_read_apply()
 *
 * A change is sent to the other nodes at once, like a new configuration revision.
 *
 * Return: whether the domains have changed.
 */
bool sgr_membership_evacuation_read (sgr_membership_t *membership, uint64_t now_us,
                                     const sgr_evacuation_t *read);

/**
 * sgr_membership_evacuation_is_denied() - whether another node tells that there never was a set
 * @membership: the membership
 *
 * A datagram cannot tell it without a field. The node is taken to know it if it follows
 * evacuations, started at least 10 s before this node, and sends a datagram without a set.
 */
bool sgr_membership_evacuation_is_denied (const sgr_membership_t *membership);

/** sgr_membership_evacuation() - the evacuated failure domains that this node knows */
const sgr_evacuation_t *sgr_membership_evacuation (const sgr_membership_t *membership);

/**
 * sgr_membership_counters() - totals since sgr_membership_create()
 * @membership: the membership
 */
const sgr_membership_counters_t *sgr_membership_counters (const sgr_membership_t *membership);

/**
 * sgr_membership_memory() - heap memory that membership holds
 * @membership: the membership
 *
 * Return: size in bytes.
 */
size_t sgr_membership_memory (const sgr_membership_t *membership);

#endif
