#ifndef SGR_MEMBERSHIP_H
#define SGR_MEMBERSHIP_H

#include "member.h"
#include "result.h"

/** Largest datagram that membership sends or accepts, in bytes. */
#define SGR_MEMBERSHIP_DATAGRAM_MAX 1200

/**
 * Membership of one node: SWIM failure detection with suspicion and Lifeguard's local health,
 * dissemination of member records and of configuration revisions, and anti-entropy. It performs no
 * I/O: datagrams and time are passed in. All functions belong to one task.
 */
typedef struct sgr_membership_t sgr_membership_t;

/**
 * struct sgr_membership_options_t - settings of one node; see sgr_membership_options_init()
 * @self: the own record; @name, both addresses, @boot and @boot_time_ms are required, @id,
 *        @incarnation and @status are ignored
 * @seed: seed of all random choices; differs between nodes
 * @budget_bytes_per_s: bytes a second, sent and received together, IP and UDP headers included
 * @probe_period_ms: time between two probes
 * @probe_timeout_ms: time until a direct probe without an answer is repeated through other members
 * @indirect_probes: members asked to probe on the own behalf
 * @suspicion_factor: shortest suspicion in probe periods, multiplied by log10 of the members
 * @suspicion_stretch: longest suspicion as a multiple of the shortest
 * @gossip_period_ms: time between two rounds of urgent updates
 * @gossip_fanout: members that receive an urgent update in one round
 * @sync_period_ms: time between two digest exchanges while the views agree
 * @dead_probe_period_ms: time between two attempts to reach a dead member or an absent contact
 * @tombstone_s: how long a departed record is kept
 * @members_max: most records, the departed included
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
  uint32_t suspicion_stretch;
  uint32_t gossip_period_ms;
  uint32_t gossip_fanout;
  uint32_t sync_period_ms;
  uint32_t dead_probe_period_ms;
  uint32_t tombstone_s;
  uint32_t members_max;
} sgr_membership_options_t;

/**
 * struct sgr_membership_callbacks_t - output of membership
 * @send: sends one datagram; @bytes are valid during the call only
 * @changed: a member is new, or its life, status, target, addresses or configuration revision
 *           changed. @member is valid during the call only; the callback may call
 *           sgr_membership_self_update() and the functions that read.
 */
typedef struct
{
  void (*send) (void *ctx, const sgr_address_t *to, const uint8_t *bytes, size_t length);
  void (*changed) (void *ctx, const sgr_member_t *member);
} sgr_membership_callbacks_t;

/**
 * struct sgr_membership_update_t - the part of the own record that changes during a life
 * @target_state: state of the local target
 * @service: service of the local target, "" for none, at most SGR_NAME_MAX bytes
 * @slots: requests that the local target may run at a time
 * @config_revision: revision of the configuration in force at this node, to be set once its content
 *                   is there; never decreases
 */
typedef struct
{
  sgr_target_state_t target_state;
  const char *service;
  uint32_t slots;
  uint64_t config_revision;
} sgr_membership_update_t;

/**
 * struct sgr_membership_counters_t - totals since the start; bytes include IP and UDP headers
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
 * sgr_membership_options_init() - set the defaults; the caller then fills @self and @seed
 * @options: the options
 */
void sgr_membership_options_init (sgr_membership_options_t *options);

/**
 * sgr_membership_create() - start membership of a node that knows only itself
 * @options: settings, copied
 * @callbacks: output, copied
 * @ctx: passed to the callbacks
 * @now_us: monotonic time
 * @membership: receives the object
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if a required field of @self is missing or an option is out of
 * range.
 */
sgr_result_t sgr_membership_create (const sgr_membership_options_t *options,
                                    const sgr_membership_callbacks_t *callbacks, void *ctx,
                                    uint64_t now_us, sgr_membership_t **membership);
void sgr_membership_destroy (sgr_membership_t *membership);

/**
 * sgr_membership_contact_add() - add an address at which a member may be found
 * @membership: the membership
 * @address: control address of a node; the own address is ignored
 *
 * Return: SGR_OK, or SGR_ERR_LIMIT if there are too many contacts.
 */
sgr_result_t sgr_membership_contact_add (sgr_membership_t *membership,
                                         const sgr_address_t *address);

/**
 * sgr_membership_datagram_receive() - process one datagram
 * @membership: the membership
 * @now_us: monotonic time
 * @from: address of the sender
 * @bytes: content
 * @length: bytes in @bytes
 *
 * Return: SGR_OK, or SGR_ERR_INVALID for a malformed datagram, which is counted and ignored.
 */
sgr_result_t sgr_membership_datagram_receive (sgr_membership_t *membership, uint64_t now_us,
                                              const sgr_address_t *from, const uint8_t *bytes,
                                              size_t length);

/**
 * sgr_membership_tick() - do what is due
 * @membership: the membership
 * @now_us: monotonic time
 *
 * Return: when it is to be called again. Datagrams and updates may make it due earlier; see
 * sgr_membership_due().
 */
uint64_t sgr_membership_tick (sgr_membership_t *membership, uint64_t now_us);

/**
 * sgr_membership_due() - when the next tick is due
 * @membership: the membership
 */
uint64_t sgr_membership_due (const sgr_membership_t *membership);

/**
 * sgr_membership_self_update() - change the own record and spread the change
 * @membership: the membership
 * @now_us: monotonic time
 * @update: new values; a lower @config_revision than the present one is ignored
 *
 * Return: SGR_OK, SGR_ERR_INVALID if @service is not a valid name, SGR_ERR_CONFLICT after
 * sgr_membership_leave(), or SGR_ERR_LIMIT if too many names of services are known already.
 */
sgr_result_t sgr_membership_self_update (sgr_membership_t *membership, uint64_t now_us,
                                         const sgr_membership_update_t *update);

/**
 * sgr_membership_leave() - announce that this node leaves; a second call does nothing
 * @membership: the membership
 * @now_us: monotonic time
 *
 * Datagrams and ticks are to be passed in for about two more seconds, so that the announcement
 * spreads despite loss.
 */
void sgr_membership_leave (sgr_membership_t *membership, uint64_t now_us);

/**
 * sgr_membership_self_get() - read the own record
 * @membership: the membership
 * @member: receives the record
 */
void sgr_membership_self_get (const sgr_membership_t *membership, sgr_member_t *member);

/**
 * sgr_membership_member_get() - read one record, the own one included
 * @membership: the membership
 * @id: the node
 * @member: receives the record
 *
 * Return: SGR_OK or SGR_ERR_NOT_FOUND. A departed record has the status dead or left; its @name may
 * be empty if this node never knew the member while it lived.
 */
sgr_result_t sgr_membership_member_get (const sgr_membership_t *membership, sgr_node_id_t id,
                                        sgr_member_t *member);

/**
 * sgr_membership_member_next() - iterate over all records, departed ones included
 * @membership: the membership; must not change during the iteration
 * @cursor: 0 to begin; advanced by each call
 * @member: receives the record
 *
 * Return: false at the end.
 */
bool sgr_membership_member_next (const sgr_membership_t *membership, size_t *cursor,
                                 sgr_member_t *member);

/**
 * sgr_membership_size() - number of members that are alive or suspect, this node included
 * @membership: the membership
 */
size_t sgr_membership_size (const sgr_membership_t *membership);

/**
 * sgr_membership_is_synced() - whether the full state was pulled once since the start
 * @membership: the membership
 */
bool sgr_membership_is_synced (const sgr_membership_t *membership);

/**
 * sgr_membership_revision_highest() - the highest configuration revision in force at a live member
 * @membership: the membership
 * @holder: receives the node that was last heard with it; may be NULL
 *
 * Return: the revision, 0 if none is known.
 */
uint64_t sgr_membership_revision_highest (const sgr_membership_t *membership,
                                          sgr_node_id_t *holder);

/**
 * sgr_membership_counters() - totals since the start
 * @membership: the membership
 */
const sgr_membership_counters_t *sgr_membership_counters (const sgr_membership_t *membership);

/**
 * sgr_membership_memory() - heap memory held, in bytes
 * @membership: the membership
 */
size_t sgr_membership_memory (const sgr_membership_t *membership);

#endif
