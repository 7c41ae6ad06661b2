#ifndef SGR_BALANCER_H
#define SGR_BALANCER_H

#include "rng.h"
#include "result.h"
#include "types.h"

#define SGR_BALANCER_TARGETS_MAX 4096
#define SGR_BALANCER_TARGET_NONE 0U

/**
 * sgr_balancer_target_t - handle of a target in one balancer
 *
 * A handle is never zero. It becomes invalid when its target is removed; later calls with it change
 * nothing and are counted.
 */
typedef uint32_t sgr_balancer_target_t;

/**
 * enum sgr_balancer_policy_t - how a target is chosen
 * @SGR_BALANCER_LOAD_LATENCY: estimated load and latency; the policy for service
 * @SGR_BALANCER_RANDOM: uniform over the eligible targets
 * @SGR_BALANCER_ROUND_ROBIN: in turn
 * @SGR_BALANCER_LEAST_OUTSTANDING: fewest outstanding attempts of this node, ties at random
 * @SGR_BALANCER_TWO_CHOICES: the better of two random targets by outstanding attempts
 *
 * The last four are baselines for benchmarks. They honour target states and exclude lists only.
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
 * @seed: seed of the choices; must differ between nodes, otherwise they choose alike
 * @slow_start_us: ramp of a target that starts cold, microseconds, 0 for none
 * @eject_percent: most targets that may be ejected at a time, 0 to 100; one target may always be
 *   ejected when there are two or more, unless this is 0, and the last one never is
 * @far_us_per_kib: latency that it is worth to keep 1 KiB within the failure domain, microseconds
 */
typedef struct
{
  sgr_balancer_policy_t policy;
  uint64_t seed;
  uint64_t slow_start_us;
  uint32_t eject_percent;
  uint32_t far_us_per_kib;
} sgr_balancer_options_t;

/**
 * struct sgr_balancer_target_info_t - what membership knows of a target
 * @node: node of the target's gate
 * @failure_domain: failure domain of that node, zero-terminated
 * @slots: requests that the target may run at a time, at least 1
 * @link_rtt_us: round trip from this node to that gate, microseconds
 * @is_far: bytes to and from that gate cross failure domains
 * @state: only warming and serving targets are chosen; warming ones only if none is serving
 * @join_us: when the target began to serve, on this node's clock; starts the slow start
 */
typedef struct
{
  sgr_node_id_t node;
  char failure_domain[SGR_NAME_MAX + 1];
  uint32_t slots;
  uint32_t link_rtt_us;
  bool is_far;
  sgr_target_state_t state;
  uint64_t join_us;
} sgr_balancer_target_info_t;

/**
 * enum sgr_balancer_reason_t - events that a balancer counts
 * @SGR_BALANCER_PICKED: choices that returned a target
 * @SGR_BALANCER_PICK_NONE: choices without an eligible target
 * @SGR_BALANCER_PICK_HOT_AVOIDED: choices that passed over a hot target
 * @SGR_BALANCER_PICK_ALL_HOT: choices among hot targets only
 * @SGR_BALANCER_PICK_FAR: choices of a target that is not in the nearest failure domain
 * @SGR_BALANCER_PICK_SLOW_START: choices that passed over a target in slow start
 * @SGR_BALANCER_PICK_EJECTED_ONLY: choices of an ejected target because no other was left
 * @SGR_BALANCER_PICK_TRIAL: half-open trials of ejected targets
 * @SGR_BALANCER_EJECTED: ejections
 * @SGR_BALANCER_EJECT_CAPPED: ejections that the limit prevented
 * @SGR_BALANCER_READMITTED: ejected targets that passed their trials
 * @SGR_BALANCER_ATTEMPT_ERROR: attempts that finished with an error
 * @SGR_BALANCER_FAST_ERROR: errors faster than the usual latency
 * @SGR_BALANCER_REFUSED: attempts that a gate refused
 * @SGR_BALANCER_REPORT_USED: load reports taken over
 * @SGR_BALANCER_REPORT_OLD: load reports older than the one held
 * @SGR_BALANCER_REPORT_CONTRADICTED: load reports that this node's own attempts disprove
 * @SGR_BALANCER_STALE_HANDLE: calls for a target that was removed
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
  SGR_BALANCER_REASON_COUNT,
} sgr_balancer_reason_t;

/** A balancer chooses among the targets of one service; it belongs to one task. */
typedef struct sgr_balancer_t sgr_balancer_t;

/**
 * sgr_balancer_create() - make a balancer without targets
 * @options: settings; copied
 *
 * Return: the balancer, NULL if a setting is out of range or memory ran out.
 */
sgr_balancer_t *sgr_balancer_create (const sgr_balancer_options_t *options);
void sgr_balancer_destroy (sgr_balancer_t *b);

/**
 * sgr_balancer_options_set() - take over changed settings; the seed and all estimates are kept
 * @b: the balancer
 * @options: settings; copied
 *
 * Return: SGR_OK or SGR_ERR_INVALID, and then nothing changed.
 */
sgr_result_t sgr_balancer_options_set (sgr_balancer_t *b, const sgr_balancer_options_t *options);

/**
 * sgr_balancer_target_add() - add a target
 * @b: the balancer
 * @now_us: the time
 * @info: the target
 * @target: receives the handle
 *
 * Return: SGR_OK; SGR_ERR_CONFLICT if the node already has a target here, and then @target receives
 * its handle; SGR_ERR_INVALID if @info is out of range; SGR_ERR_LIMIT above
 * SGR_BALANCER_TARGETS_MAX targets; SGR_ERR_NO_MEMORY.
 */
sgr_result_t sgr_balancer_target_add (sgr_balancer_t *b, uint64_t now_us,
                                      const sgr_balancer_target_info_t *info,
                                      sgr_balancer_target_t *target);

/**
 * sgr_balancer_target_update() - change what is known of a target
 * @b: the balancer
 * @now_us: the time
 * @target: the handle
 * @info: new content; a later @join_us means a new life, which drops latency, errors and ejection
 *
 * Return: SGR_OK, SGR_ERR_NOT_FOUND, or SGR_ERR_INVALID if @info is out of range or names another
 * node.
 */
sgr_result_t sgr_balancer_target_update (sgr_balancer_t *b, uint64_t now_us,
                                         sgr_balancer_target_t target,
                                         const sgr_balancer_target_info_t *info);

/**
 * sgr_balancer_target_remove() - forget a target; its outstanding attempts may still finish
 * @b: the balancer
 * @target: the handle
 *
 * Return: SGR_OK or SGR_ERR_NOT_FOUND.
 */
sgr_result_t sgr_balancer_target_remove (sgr_balancer_t *b, sgr_balancer_target_t target);

/**
 * sgr_balancer_target_find() - look up a target by its node
 *
 * Return: the handle or SGR_BALANCER_TARGET_NONE.
 */
sgr_balancer_target_t sgr_balancer_target_find (const sgr_balancer_t *b, sgr_node_id_t node);

/**
 * sgr_balancer_target_info() - what is known of a target
 *
 * Return: the content, valid until the target is updated or removed; NULL for a stale handle.
 */
const sgr_balancer_target_info_t *sgr_balancer_target_info (const sgr_balancer_t *b,
                                                            sgr_balancer_target_t target);

size_t sgr_balancer_target_count (const sgr_balancer_t *b);

/**
 * sgr_balancer_pick() - choose the target of an attempt
 * @b: the balancer
 * @now_us: the time
 * @exclude: targets not to choose, such as those of earlier attempts of the call; stale handles
 *   are ignored; may be NULL if @exclude_count is 0
 * @exclude_count: entries of @exclude
 *
 * The choice changes no load estimate: sgr_balancer_attempt_start() does, when the attempt is sent.
 * A choice that is not followed by it loses at most one half-open trial until the next back-off.
 *
 * Return: the handle, or SGR_BALANCER_TARGET_NONE if no target is eligible.
 */
sgr_balancer_target_t sgr_balancer_pick (sgr_balancer_t *b, uint64_t now_us,
                                         const sgr_balancer_target_t *exclude,
                                         size_t exclude_count);

/**
 * sgr_balancer_pick_sized() - as sgr_balancer_pick(), for an attempt whose size is known
 * @bytes: bytes that request and answer are expected to have
 */
sgr_balancer_target_t sgr_balancer_pick_sized (sgr_balancer_t *b, uint64_t now_us,
                                               const sgr_balancer_target_t *exclude,
                                               size_t exclude_count, uint64_t bytes);

/**
 * sgr_balancer_attempt_start() - count an attempt that is being sent
 * @b: the balancer
 * @now_us: the time
 * @target: the handle; every start needs exactly one sgr_balancer_attempt_finish()
 */
void sgr_balancer_attempt_start (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target);

/**
 * sgr_balancer_attempt_finish() - end an attempt
 * @b: the balancer
 * @now_us: the time
 * @target: the handle
 * @outcome: what is known of the attempt; not-run without @is_error is a refusal by the gate, such
 *   as a full queue
 * @latency_us: time since sgr_balancer_attempt_start(), microseconds
 * @is_error: the target failed: an error status, a broken connection or a missed deadline; false
 *   for an attempt that this node cancelled
 * @report: load report that came with the response, NULL if none; its latency is that of the target
 *   without the wait in the gate's queue, its age includes the time on the link
 */
void sgr_balancer_attempt_finish (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                                  sgr_outcome_t outcome, uint64_t latency_us, bool is_error,
                                  const sgr_load_report_t *report);

/**
 * sgr_balancer_report_update() - take over a load report that came without an attempt
 * @b: the balancer
 * @now_us: the time
 * @target: the handle
 * @report: the report, as for sgr_balancer_attempt_finish()
 */
void sgr_balancer_report_update (sgr_balancer_t *b, uint64_t now_us, sgr_balancer_target_t target,
                                 const sgr_load_report_t *report);

/**
 * sgr_balancer_is_ejected() - whether a target is out of the regular choice because of its errors
 */
bool sgr_balancer_is_ejected (const sgr_balancer_t *b, sgr_balancer_target_t target);

/**
 * sgr_balancer_report_get() - the load report that a choice is made with
 * @b: the balancer
 * @now_us: the time
 * @target: the handle
 * @report: receives load, cost and age; all zero if none is held
 */
void sgr_balancer_report_get (const sgr_balancer_t *b, uint64_t now_us,
                              sgr_balancer_target_t target, sgr_load_report_t *report);

/** sgr_balancer_is_slowed() - whether a target reported just now that its work takes much longer */
bool sgr_balancer_is_slowed (const sgr_balancer_t *b, uint64_t now_us,
                             sgr_balancer_target_t target);

/**
 * sgr_balancer_outstanding() - attempts of this node that are started and not finished
 */
uint32_t sgr_balancer_outstanding (const sgr_balancer_t *b, sgr_balancer_target_t target);

/**
 * sgr_balancer_count() - how often an event occurred since the balancer was created
 */
uint64_t sgr_balancer_count (const sgr_balancer_t *b, sgr_balancer_reason_t reason);

/**
 * sgr_balancer_reason_name() - label of an event, in lower case with underscores
 */
const char *sgr_balancer_reason_name (sgr_balancer_reason_t reason);

/**
 * sgr_balancer_policy_name() - name of a policy, in lower case with hyphens
 */
const char *sgr_balancer_policy_name (sgr_balancer_policy_t policy);

#endif
