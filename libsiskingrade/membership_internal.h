#ifndef SGR_MEMBERSHIP_INTERNAL_H
#define SGR_MEMBERSHIP_INTERNAL_H

#include "membership.h"
#include "membership_budget.h"
#include "membership_codec.h"
#include "membership_queue.h"
#include "membership_table.h"
#include "rng.h"

#define SGR_MEMBERSHIP_CONTACTS_MAX 64
#define SGR_MEMBERSHIP_CONFIRMATIONS_MAX 3
#define SGR_MEMBERSHIP_RELAYS_MAX 32
#define SGR_MEMBERSHIP_CORRECTIONS_MAX 32
#define SGR_MEMBERSHIP_INTRODUCTIONS 5
/* Lifeguard's bound of the local health score; periods stretch up to 9 times. */
#define SGR_MEMBERSHIP_HEALTH_MAX 8

/**
 * struct sgr_membership_suspicion_t - timer of one suspect member
 * @by: low halves of the ids of the nodes that suspect it independently
 */
typedef struct
{
  uint32_t handle;
  uint32_t by_count;
  uint32_t by[SGR_MEMBERSHIP_CONFIRMATIONS_MAX + 1];
  uint64_t start_us;
  uint64_t deadline_us;
} sgr_membership_suspicion_t;

/**
 * struct sgr_membership_relay_t - a ping on behalf of another node; free while @due_us is 0
 */
typedef struct
{
  uint64_t due_us;
  sgr_node_id_t target;
  sgr_address_t requester;
  uint32_t requester_sequence;
  uint32_t sequence;
} sgr_membership_relay_t;

typedef enum
{
  SGR_MEMBERSHIP_PROBE_IDLE = 0,
  SGR_MEMBERSHIP_PROBE_DIRECT,
  SGR_MEMBERSHIP_PROBE_INDIRECT,
} sgr_membership_probe_stage_t;

/**
 * struct sgr_membership_probe_t - the probe in progress
 * @next_us: when the next probe starts, which is also when the present one has failed
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
 * struct sgr_membership_sync_t - state transfer
 * @missing_groups: groups that the first full pull has not completed
 * @behind: whether the last exchange brought news, so that the next one follows soon
 * @fruitless: pulls in a row that brought no news
 * @asked: groups of the last pull
 * @sequence: sequence of the last digest or pull
 * @joined: whether this node stopped asking its contacts for peers
 * @introductions: pulls that still include the own record
 * @attempts: pulls sent to contacts without an answer
 */
typedef struct
{
  uint64_t missing_groups;
  bool behind;
  uint32_t fruitless;
  uint64_t asked;
  uint32_t sequence;
  bool joined;
  uint32_t introductions;
  uint32_t attempts;
  uint64_t due_us;
} sgr_membership_sync_t;

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
  uint32_t health;
  bool left;
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
  uint64_t dead_due_us;
  uint64_t collect_due_us;
  uint64_t conflict_us;
  sgr_membership_sync_t sync;
  uint32_t revision_sends;
  uint64_t revision_highest;
  sgr_node_id_t revision_holder;
  /* Found while one datagram is processed and answered at its end. */
  uint32_t corrections[SGR_MEMBERSHIP_CORRECTIONS_MAX];
  uint32_t correction_count;
  sgr_node_id_t wants[SGR_MEMBERSHIP_WANTED_MAX];
  uint32_t want_count;
  bool self_corrects;
};

/* Result of sgr_membership_merge(). */
typedef enum
{
  SGR_MEMBERSHIP_MERGE_STALE = 0,
  SGR_MEMBERSHIP_MERGE_SAME,
  SGR_MEMBERSHIP_MERGE_NEWER,
  SGR_MEMBERSHIP_MERGE_IGNORED,
} sgr_membership_merge_t;

static inline sgr_membership_entry_t *
sgr_membership_entry (sgr_membership_t *m, uint32_t handle)
{
  return &m->table.entries[handle];
}

/* membership.c */
void sgr_membership_notify (sgr_membership_t *m, uint32_t handle);

/* membership_update.c */

/**
 * sgr_membership_merge() - take over a received record if it is newer
 * @spread: whether to pass a newer record on
 */
sgr_membership_merge_t sgr_membership_merge (sgr_membership_t *m, uint64_t now_us,
                                             const sgr_membership_record_t *record, bool spread);
void sgr_membership_spread (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                            sgr_membership_urgency_t urgency, bool full);
void sgr_membership_want (sgr_membership_t *m, sgr_node_id_t id);

/* membership_suspicion.c */
void sgr_membership_suspect (sgr_membership_t *m, uint64_t now_us, uint32_t handle);
void sgr_membership_suspicion_add (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                                   uint32_t by);
void sgr_membership_suspicion_remove (sgr_membership_t *m, uint32_t handle);
uint32_t sgr_membership_suspicion_by (const sgr_membership_t *m, uint32_t handle);
void sgr_membership_suspicion_tick (sgr_membership_t *m, uint64_t now_us);
void sgr_membership_suspicion_shift (sgr_membership_t *m, uint64_t gap_us);
void sgr_membership_depart (sgr_membership_t *m, uint64_t now_us, uint32_t handle,
                            sgr_member_status_t status, bool spread);

/* membership_send.c */

/** sgr_membership_heard() - count a queued update that another member sent too as a transmission */
void sgr_membership_heard (sgr_membership_t *m, uint32_t handle);

/** sgr_membership_add() - add one record to a datagram; false if it does not fit */
bool sgr_membership_add (sgr_membership_t *m, sgr_membership_writer_t *writer, uint64_t now_us,
                         uint32_t handle, bool full, size_t limit);

/** sgr_membership_add_updates() - fill a datagram from the queue as far as the budget allows */
void sgr_membership_add_updates (sgr_membership_t *m, sgr_membership_writer_t *writer,
                                 uint64_t now_us);

/** sgr_membership_send() - finish, charge and send; false if the budget refuses */
bool sgr_membership_send (sgr_membership_t *m, sgr_membership_writer_t *writer,
                          const sgr_address_t *to, sgr_membership_share_t share);
sgr_address_t sgr_membership_address (const sgr_membership_t *m, uint32_t handle);
uint32_t sgr_membership_random_peer (sgr_membership_t *m);
uint32_t sgr_membership_peer_count (const sgr_membership_t *m);

/* membership_probe.c */
void sgr_membership_probe_tick (sgr_membership_t *m, uint64_t now_us);
void sgr_membership_relay_tick (sgr_membership_t *m, uint64_t now_us);
void sgr_membership_gossip_tick (sgr_membership_t *m, uint64_t now_us);
void sgr_membership_dead_tick (sgr_membership_t *m, uint64_t now_us);
void sgr_membership_probe_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                                   const sgr_membership_message_t *message);
void sgr_membership_health_add (sgr_membership_t *m, int change);

/* membership_sync.c */

/** sgr_membership_is_joining() - whether this node still asks its contacts for peers */
bool sgr_membership_is_joining (const sgr_membership_t *m);
void sgr_membership_sync_tick (sgr_membership_t *m, uint64_t now_us);

/**
 * sgr_membership_sync_receive() - process a datagram of the kinds from DIGEST on
 * @news: records of the datagram that were newer
 */
void sgr_membership_sync_receive (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from,
                                  const sgr_membership_message_t *message, uint32_t news);

/** sgr_membership_sync_flush() - answer what was wanted or corrected while a datagram was processed
 */
void sgr_membership_sync_flush (sgr_membership_t *m, uint64_t now_us, const sgr_address_t *from);

#endif
