#ifndef SGR_DATA_INTERNAL_H
#define SGR_DATA_INTERNAL_H

#include <h2o.h>

#include "account_table.h"
#include "balancer.h"
#include "call_log.h"
#include "call_plan.h"
#include "counter.h"
#include "data_task.h"
#include "frame.h"
#include "gate.h"
#include "id_map.h"
#include "mailbox.h"
#include "memory_budget.h"
#include "peer_conn.h"
#include "settings.h"
#include "snapshot.h"
#include "timer_heap.h"

/* State and helpers of the data task, for its own source files only. */

/* Longest time that a call may have until its deadline. */
#define SGR_DEADLINE_MAX_MS 600000ULL

typedef struct sgr_data_gate_t sgr_data_gate_t;
typedef struct sgr_data_links_t sgr_data_links_t;
typedef struct sgr_data_link_t sgr_data_link_t;
typedef struct sgr_data_services_t sgr_data_services_t;
typedef struct sgr_data_service_t sgr_data_service_t;
typedef struct sgr_data_peers_t sgr_data_peers_t;
typedef struct sgr_data_http_t sgr_data_http_t;
typedef struct sgr_data_keys_t sgr_data_keys_t;
typedef struct sgr_data_quotas_t sgr_data_quotas_t;

/**
 * struct sgr_data_task_t - state of the data task
 * @boot: boot id of this node
 * @events: callbacks to the control task
 * @ticks: rises each second while the task handles its timers
 * @completed: requests that the local target answered completely
 * @snapshot: latest snapshot of the control task, NULL before the first one
 * @routes: routes of the configuration in @snapshot
 * @accounts: client accounts of the configuration in @snapshot, NULL without any
 * @account_counters: counters of calls by the hash of the account's name
 * @attempts: attempts of this node's own calls by sgr_data_attempt_map_key()
 * @memory: budget of the buffers of callers, peers and the target
 * @memory_timer: drops the holders that the budget has chosen
 * @memory_events: refusals and drops for lack of memory
 * @memory_events_seen: value of @memory_events when the metrics were last set
 * @memory_short_s: seconds until the memory does not count as short any more, 0 if it is not short
 * @next_sequence: sequence number of the next call
 * @calls: number of open calls of callers
 * @is_draining: new requests of callers are refused
 * @is_finishing: all calls have ended after a drain; connections deliver their last bytes and close
 * @is_stopped: the event loop has to end
 * @had_snapshot: at least one snapshot was applied
 * @leave_timer: sets @is_draining leave_delay_ms after the drain was requested
 * @drain_timer: checks at short intervals whether the drain is complete
 * @open_calls: list of the open calls of callers
 * @calls_end_us: latest deadline of a call during a drain, monotonic time, 0 before a drain
 * @drain_deadline_us: monotonic time at which the drain ends even if calls are open, 0 before a
 * drain
 *
 * Only the thread of the task uses the state. Other threads send messages to @mailbox and read the
 * counters of @metrics.
 */
struct sgr_data_task_t
{
  const sgr_settings_t *settings;
  const sgr_call_fields_t *fields;
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  sgr_data_task_events_t events;
  void *events_ctx;
  pthread_t thread;
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_metrics_t *metrics;
  sgr_counter_t *ticks;
  sgr_counter_t *completed;
  sgr_mailbox_t *mailbox;
  sgr_rng_t rng;
  sgr_snapshot_t *snapshot;
  sgr_route_table_t *routes;
  sgr_account_table_t *accounts;
  sgr_id_map_t *account_counters;
  sgr_data_gate_t *gate;
  sgr_data_links_t *links;
  sgr_data_services_t *services;
  sgr_data_peers_t *peers;
  sgr_data_http_t *http;
  sgr_data_keys_t *keys;
  sgr_data_quotas_t *quotas;
  sgr_id_map_t *attempts;
  sgr_memory_budget_t *memory;
  sgr_timer_t memory_timer;
  uint64_t memory_events;
  uint64_t memory_events_seen;
  unsigned memory_short_s;
  sgr_peer_conn_env_t conn_env;
  sgr_call_log_t *call_log;
  uint64_t next_sequence;
  size_t calls;
  bool is_draining;
  bool is_finishing;
  bool is_stopped;
  bool had_snapshot;
  sgr_timer_t leave_timer;
  sgr_timer_t drain_timer;
  sgr_timer_t metrics_timer;
  struct sgr_data_call_t *open_calls;
  uint64_t calls_end_us;
  uint64_t drain_deadline_us;
};

/** sgr_data_attempt_map_key() - map key of an attempt, unique within one entry node and boot */
static inline uint64_t
sgr_data_attempt_map_key (const sgr_attempt_id_t *id)
{
  return id->sequence * SGR_CALL_ATTEMPTS_MAX + id->attempt;
}

static inline bool
sgr_attempt_id_equal (const sgr_attempt_id_t *a, const sgr_attempt_id_t *b)
{
  return a->node == b->node && a->boot == b->boot && a->sequence == b->sequence
         && a->attempt == b->attempt;
}

/** sgr_data_member_find() - find a member of the current snapshot by node id, NULL if absent */
const sgr_member_t *sgr_data_member_find (const sgr_data_task_t *task, sgr_node_id_t node);

/** sgr_data_member_is_far() - whether a member is in another failure domain than this node */
bool sgr_data_member_is_far (const sgr_data_task_t *task, const sgr_member_t *member);

#endif
