#ifndef SGR_BALANCER_H
#define SGR_BALANCER_H

#include "region.h"
#include "rng.h"
#include "result.h"
#include "types.h"

#define SGR_BALANCER_TARGETS_MAX 4096
#define SGR_BALANCER_TARGET_NONE 0U

/**
 * sgr_balancer_target_t - handle of a target in one balancer
 *
 * A handle is never zero. It becomes stale when its target is removed: calls that would change the
 * target then do nothing but count SGR_BALANCER_STALE_HANDLE.
 */
typedef uint32_t sgr_balancer_target_t;

/**
 * enum sgr_balancer_policy_t - how a target is chosen
 * @SGR_BALANCER_LOAD_LATENCY: by estimated load and latency; the policy for production use
 * @SGR_BALANCER_RANDOM: uniformly at random
 * @SGR_BALANCER_ROUND_ROBIN: in turn
 * @SGR_BALANCER_LEAST_OUTSTANDING: fewest outstanding attempts of this node, ties at random
 * @SGR_BALANCER_TWO_CHOICES: power of two choices, by outstanding attempts of this node
 *
 * The last four are baselines for benchmarks. They respect target states and exclude lists, but
 * ignore ejection, slow start and load reports.
 */
typedef enum
{
  SGR_BALANCER_LOAD_LATENCY = 0,
  SGR_BALANCER_RANDOM,
  SGR_BALANCER_ROUND_ROBIN,
  SGR_BALANCER_LEAST_OUTSTANDING,
  SGR_BALANCER_TWO_CHOICES,
  SGR_BALANCER_POLICY_COUNT,
} sgr_balancer_policy_t;

/**
 * struct sgr_balancer_options_t - settings of a balancer
 * @policy: how a target is chosen
 * @seed: seed of the random choices; must differ between nodes, otherwise all of them make the same
 *   choices
 * @slow_start_us: duration of the slow start of a target, microseconds, 0 for no slow start
 * @eject_percent: percentage of the targets that may be ejected at a time, 0 to 100. With any value
 *   above 0, at least one target may be ejected if there are two or more. The last target is never
 *   ejected
 * @far_us_per_kib: cost that is added to the latency of a target in another failure domain, in
 *   microseconds per KiB of request and answer; a higher cost keeps more bytes within the failure
 *   domain
 * @remote_us_per_kib: as @far_us_per_kib, for a target in another region
 * @is_spill_late_only: a call goes to a farther target only if no nearer one is expected to answer
 *   it on time; otherwise farther targets compete by their cost
 * @far_set_seed: decides which targets of other failure domains this node uses; must differ between
 *   nodes, so that their choices spread evenly, and stay the same for one node
 * @cold_calls_per_s: requests per second that a cold target can handle, 0 for no limit
 * @cold_start_us: time after its start for which a target without a load report counts as cold,
 *   microseconds
 * @entry_count: nodes that send attempts to the targets; each sends its share of what a cold target
 *   can handle; 0 counts as 1
 */
typedef struct
{
  sgr_balancer_policy_t policy;
  uint64_t seed;
  uint64_t slow_start_us;
  uint32_t eject_percent;
  uint32_t far_us_per_kib;
  uint32_t remote_us_per_kib;
  bool is_spill_late_only;
  uint64_t far_set_seed;
  uint32_t cold_calls_per_s;
  uint64_t cold_start_us;
  uint32_t entry_count;
} sgr_balancer_options_t;

/**
 * struct sgr_balancer_target_info_t - what the membership view holds of a target
 * @node: node of the target's gate
 * @failure_domain: failure domain of that node, zero-terminated
 * @slots: requests that the target may run at a time, at least 1
 * @link_rtt_us: round-trip time from this node to that gate, microseconds
 * @is_far: that gate is in another failure domain than this node
 * @is_remote: that gate is in another region than this node; then it is also far
 * @region: bit of that gate's region, see sgr_region_table_add(); 0 if it is in none
 * @state: only warming and serving targets are chosen; warming ones only if none is serving
 * @serving_since_us: when the target began to serve and its slow start begins, on this node's
 * clock, microseconds
 */
typedef struct
{
  sgr_node_id_t node;
  char failure_domain[SGR_NAME_MAX + 1];
  uint32_t slots;
  uint32_t link_rtt_us;
  bool is_far;
  bool is_remote;
  sgr_region_mask_t region;
  sgr_target_state_t state;
  uint64_t serving_since_us;
} sgr_balancer_target_info_t;

/**
 * enum sgr_balancer_event_t - events that a balancer counts
 * @SGR_BALANCER_PICKED: choices that returned a target
 * @SGR_BALANCER_PICK_NONE: choices without an eligible target
 * @SGR_BALANCER_PICK_HOT_AVOIDED: choices of a target with a free slot although a hot target had a
 *   lower cost
 * @SGR_BALANCER_PICK_ALL_HOT: choices in which all compared targets were hot
 * @SGR_BALANCER_PICK_FAR: choices of a target although an eligible target in another failure domain
 *   had a shorter round-trip time
 * @SGR_BALANCER_PICK_SLOW_START: as SGR_BALANCER_PICK_HOT_AVOIDED, but the hot target was in slow
 *   start
 * @SGR_BALANCER_PICK_EJECTED_ONLY: choices among ejected targets because no other serving target
 *   was eligible
 * @SGR_BALANCER_PICK_TRIAL: half-open trials of ejected targets
 * @SGR_BALANCER_EJECTED: ejections
 * @SGR_BALANCER_EJECT_CAPPED: ejections that eject_percent prevented
 * @SGR_BALANCER_READMITTED: ejected targets that passed their trials
 * @SGR_BALANCER_ATTEMPT_ERROR: attempts that finished with an error
 * @SGR_BALANCER_FAST_ERROR: errors after less than half of the service's average latency
 * @SGR_BALANCER_REFUSED: attempts that a gate refused
 * @SGR_BALANCER_REPORT_USED: load reports that were applied
 * @SGR_BALANCER_REPORT_OLD: load reports discarded because they are older than the last applied one
 * @SGR_BALANCER_REPORT_CONTRADICTED: load reports that the latency or the number of this node's own
 *   attempts contradicts
 * @SGR_BALANCER_PICK_COLD_AVOIDED: choices that left out at least one cold target, because it got
 *   its share already
 * @SGR_BALANCER_STALE_HANDLE: calls with the handle of a removed target or with
 *   SGR_BALANCER_TARGET_NONE
 *
 * A target is hot when one more request is expected to wait there for a free slot. In slow start
 * only a growing share of the slots counts as available.
 */
typedef enum
{
  SGR_BALANCER_PICKED = 0,
  SGR_BALANCER_PICK_NONE,
  SGR_BALANCER_PICK_HOT_AVOIDED,
  SGR_BALANCER_PICK_ALL_HOT,
  SGR_BALANCER_PICK_FAR,
  SGR_BALANCER_PICK_SLOW_START,
  SGR_BALANCER_PICK_EJECTED_ONLY,
  SGR_BALANCER_PICK_TRIAL,
  SGR_BALANCER_EJECTED,
  SGR_BALANCER_EJECT_CAPPED,
  SGR_BALANCER_READMITTED,
  SGR_BALANCER_ATTEMPT_ERROR,
  SGR_BALANCER_FAST_ERROR,
  SGR_BALANCER_REFUSED,
  SGR_BALANCER_REPORT_USED,
  SGR_BALANCER_REPORT_OLD,
  SGR_BALANCER_REPORT_CONTRADICTED,
  SGR_BALANCER_STALE_HANDLE,
  SGR_BALANCER_PICK_COLD_AVOIDED,
  SGR_BALANCER_EVENT_COUNT,
} sgr_balancer_event_t;

/** A balancer chooses among the targets of one service; only one thread may use it. */
typedef struct sgr_balancer_t sgr_balancer_t;

/**
 * sgr_balancer_create() - create a balancer without targets
 * @options: settings; copied
 *
 * Return: the balancer, or NULL if a setting is out of range or memory ran out.
 */
sgr_balancer_t *sgr_balancer_create (const sgr_balancer_options_t *options);
void sgr_balancer_destroy (sgr_balancer_t *b);

/**
 * sgr_balancer_options_set() - change the settings, except the seed; all estimates are kept
 * @b: the balancer
 * @options: settings; copied
 *
 * Return: SGR_OK; SGR_ERR_INVALID if a setting is out of range, and nothing is changed.
 */
sgr_result_t sgr_balancer_options_set (sgr_balancer_t *b, const sgr_balancer_options_t *options);

/**
 * sgr_balancer_target_add() - add a target
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @info: the target; copied
 * @target: receives the handle
 *
 * Return: SGR_OK; SGR_ERR_CONFLICT if the balancer already has a target of that node, and @target
 * receives its handle; SGR_ERR_INVALID if a value of @info is out of range; SGR_ERR_LIMIT if the
 * balancer has SGR_BALANCER_TARGETS_MAX targets; SGR_ERR_NO_MEMORY.
 */
sgr_result_t sgr_balancer_target_add (sgr_balancer_t *b, uint64_t now_us,
                                      const sgr_balancer_target_info_t *info,
                                      sgr_balancer_target_t *target);

/**
 * sgr_balancer_target_update() - replace what the membership view holds of a target
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @target: the handle
 * @info: new content; copied; a later @serving_since_us means that the target restarted, so that
 * its load, latency, errors and ejection are discarded
 *
 * Return: SGR_OK; SGR_ERR_NOT_FOUND for a stale handle; SGR_ERR_INVALID if a value of @info is out
 * of range or its node is another one.
 */
sgr_result_t sgr_balancer_target_update (sgr_balancer_t *b, uint64_t now_us,
                                         sgr_balancer_target_t target,
                                         const sgr_balancer_target_info_t *info);

/**
 * sgr_balancer_target_remove() - remove a target
 * @b: the balancer
 * @target: the handle; sgr_balancer_attempt_finish() may still be called with it
 *
 * Return: SGR_OK; SGR_ERR_NOT_FOUND for a stale handle.
 */
sgr_result_t sgr_balancer_target_remove (sgr_balancer_t *b, sgr_balancer_target_t target);

/**
 * sgr_balancer_link_rtt_set() - replace the round-trip time to a target's gate by a measured one
 * @b: the balancer
 * @target: the handle; a stale one is only counted
 * @link_rtt_us: round-trip time, microseconds
 */
void sgr_balancer_link_rtt_set (sgr_balancer_t *b, sgr_balancer_target_t target,
                                uint32_t link_rtt_us);

/**
 * sgr_balancer_target_find() - look up a target by its node
 *
 * Return: the handle, or SGR_BALANCER_TARGET_NONE if the balancer has no target of that node.
 */
sgr_balancer_target_t sgr_balancer_target_find (const sgr_balancer_t *b, sgr_node_id_t node);

/**
 * sgr_balancer_target_info() - what the membership view holds of a target
 *
 * Return: the content, valid until a target is added or this one is updated or removed; NULL for a
 * stale handle.
 */
const sgr_balancer_target_info_t *sgr_balancer_target_info (const sgr_balancer_t *b,
                                                            sgr_balancer_target_t target);

size_t sgr_balancer_target_count (const sgr_balancer_t *b);

/**
 * sgr_balancer_pick() - choose the target of an attempt
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @exclude: targets that must not be chosen, such as those of earlier attempts of the call; stale
 *   handles are ignored; may be NULL if @exclude_count is 0
 * @exclude_count: entries of @exclude
 *
 * A choice does not change the load estimates; sgr_balancer_attempt_start() does, when the attempt
 * is sent. A choice may start a half-open trial. If no attempt follows that choice, the trial is
 * lost and the next one is due after the back-off.
 *
 * Return: the handle, or SGR_BALANCER_TARGET_NONE if no target is eligible.
 */
sgr_balancer_target_t sgr_balancer_pick (sgr_balancer_t *b, uint64_t now_us,
                                         const sgr_balancer_target_t *exclude,
                                         size_t exclude_count);

/**
 * struct sgr_balancer_call_t - what a choice needs to know of the call
 * @bytes: expected size of request and answer together
 * @on_time_left_us: time until the answer is no longer on time, 0 if the call has no such time
 * @affinity_seed: decides which targets of the own failure domain the call prefers; the same on all
 *   nodes
 * @affinity_count: number of targets that it prefers, 0 for no preference
 * @regions: where the call may be run; binds every choice, also half-open trials and the choice
 *   among ejected targets
 */
typedef struct
{
  uint64_t bytes;
  uint64_t on_time_left_us;
  uint64_t affinity_seed;
  uint32_t affinity_count;
  sgr_region_limit_t regions;
} sgr_balancer_call_t;

/* Numbers of preferred targets from which on a call prefers none. */
#define SGR_BALANCER_AFFINITY_MAX 6

/**
 * sgr_balancer_affinity_rank() - rank of a target among those that calls with a seed prefer
 * @node: node of the target's gate
 * @seed: affinity_seed of the calls
 *
 * Return: the rank; the targets with the lowest ranks are preferred.
 */
uint64_t sgr_balancer_affinity_rank (sgr_node_id_t node, uint64_t seed);

/**
 * sgr_balancer_pick_for_call() - as sgr_balancer_pick(), for a call of known properties
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @exclude: targets that must not be chosen
 * @exclude_count: entries of @exclude
 * @call: the call
 *
 * Return: the handle, or SGR_BALANCER_TARGET_NONE if no target is eligible.
 */
sgr_balancer_target_t sgr_balancer_pick_for_call (sgr_balancer_t *b, uint64_t now_us,
                                                  const sgr_balancer_target_t *exclude,
                                                  size_t exclude_count,
                                                  const sgr_balancer_call_t *call);

/** sgr_balancer_pick_sized() - as sgr_balancer_pick_for_call(), for a call of @bytes without a time
 * limit */
sgr_balancer_target_t sgr_balancer_pick_sized (sgr_balancer_t *b, uint64_t now_us,
                                               const sgr_balancer_target_t *exclude,
                                               size_t exclude_count, uint64_t bytes);

/**
 * sgr_balancer_should_wait() - whether an attempt should wait for a slowed target
 * @b: the balancer
 * @target: the chosen target
 * @exclude: targets that the call has tried
 * @exclude_count: entries of @exclude
 * @bytes: expected size of request and answer together
 *
 * Return: true if the target is the last one of the own failure domain that the call has not tried,
 * and sending @bytes to another domain costs more than the usual wait for the end of a slowdown.
 */
bool sgr_balancer_should_wait (const sgr_balancer_t *b, sgr_balancer_target_t target,
                               const sgr_balancer_target_t *exclude, size_t exclude_count,
                               uint64_t bytes);

/**
 * sgr_balancer_attempt_start() - record an attempt that is being sent
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @target: the handle; every start needs exactly one sgr_balancer_attempt_finish()
 */
void sgr_balancer_attempt_start (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target);

/**
 * sgr_balancer_attempt_finish() - record the end of an attempt
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @target: the handle
 * @outcome: outcome of the attempt; not-run without @is_error is a refusal by the gate, for example
 *   because its queue is full
 * @latency_us: time since sgr_balancer_attempt_start(), microseconds
 * @is_error: the target failed: an error status, a broken connection or a missed deadline; false
 *   for an attempt that this node cancelled
 * @report: load report that came with the answer, NULL if none; its latency is that of the target
 *   without the wait in the gate's queue, its age includes the time on the link
 */
void sgr_balancer_attempt_finish (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                                  sgr_outcome_t outcome, uint64_t latency_us, bool is_error,
                                  const sgr_load_report_t *report);

/**
 * sgr_balancer_report_update() - apply a load report that came without an answer
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @target: the handle
 * @report: the report, as for sgr_balancer_attempt_finish()
 */
void sgr_balancer_report_update (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                                 const sgr_load_report_t *report);

/**
 * sgr_balancer_is_ejected() - whether a target is ejected because of its errors
 *
 * An ejected target gets attempts only as half-open trials, or when no other serving target is
 * eligible.
 *
 * Return: false for a stale handle, too.
 */
bool sgr_balancer_is_ejected (const sgr_balancer_t *b, sgr_balancer_target_t target);

/**
 * sgr_balancer_report_get() - the load report that choices currently use
 * @b: the balancer
 * @now_us: current time on this node's clock, microseconds
 * @target: the handle
 * @report: receives the report, with the queued requests included in @in_flight; all zero if there
 *   is none or the handle is stale
 */
void sgr_balancer_report_get (const sgr_balancer_t *b, uint64_t now_us,
                              sgr_balancer_target_t target, sgr_load_report_t *report);

/**
 * sgr_balancer_is_slowed() - whether a target is slowed
 *
 * Return: true if its last load report is less than 150 ms old and requests took at least twice as
 * long as usual; false for a stale handle, too.
 */
bool sgr_balancer_is_slowed (const sgr_balancer_t *b, uint64_t now_us,
                             sgr_balancer_target_t target);

/**
 * sgr_balancer_outstanding() - attempts of this node at a target that have not finished
 *
 * Return: the number, 0 for a stale handle.
 */
uint32_t sgr_balancer_outstanding (const sgr_balancer_t *b, sgr_balancer_target_t target);

/**
 * sgr_balancer_event_count() - how often an event occurred since the balancer was created
 */
uint64_t sgr_balancer_event_count (const sgr_balancer_t *b, sgr_balancer_event_t event);

/**
 * sgr_balancer_event_name() - name of an event, in lower case with underscores
 *
 * Return: a static string, "unknown" if @event is out of range.
 */
const char *sgr_balancer_event_name (sgr_balancer_event_t event);

/**
 * sgr_balancer_policy_name() - name of a policy, in lower case with hyphens
 *
 * Return: a static string, "unknown" if @policy is out of range.
 */
const char *sgr_balancer_policy_name (sgr_balancer_policy_t policy);

#endif
