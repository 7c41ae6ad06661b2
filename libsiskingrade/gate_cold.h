#ifndef SGR_GATE_COLD_H
#define SGR_GATE_COLD_H

#include "types.h"

/**
 * What a gate knows about the coldness of its target, and the starts of the last second. A cold
 * target can handle a limited number of requests per second. The limit applies while the target has
 * stated that it is cold, and while its state is unknown. All times are monotonic microseconds and
 * are passed in.
 */
typedef struct sgr_gate_cold_t sgr_gate_cold_t;

/**
 * enum sgr_gate_cold_source_t - why a target counts as cold or as warm
 * @SGR_GATE_COLD_SOURCE_NONE: the service has no limit for cold targets
 * @SGR_GATE_COLD_SOURCE_NODE_START: the node started
 * @SGR_GATE_COLD_SOURCE_REGISTRATION: a new instance registered
 * @SGR_GATE_COLD_SOURCE_CONNECTION: a connection to the target failed
 * @SGR_GATE_COLD_SOURCE_EVACUATION: an evacuation of the failure domain ended
 * @SGR_GATE_COLD_SOURCE_SILENCE: the last statement is older than a second
 * @SGR_GATE_COLD_SOURCE_ANNOUNCEMENT: the target stated it in an announcement
 * @SGR_GATE_COLD_SOURCE_HEALTH: the target stated it in an answer of its health path
 */
typedef enum
{
  SGR_GATE_COLD_SOURCE_NONE = 0,
  SGR_GATE_COLD_SOURCE_NODE_START,
  SGR_GATE_COLD_SOURCE_REGISTRATION,
  SGR_GATE_COLD_SOURCE_CONNECTION,
  SGR_GATE_COLD_SOURCE_EVACUATION,
  SGR_GATE_COLD_SOURCE_SILENCE,
  SGR_GATE_COLD_SOURCE_ANNOUNCEMENT,
  SGR_GATE_COLD_SOURCE_HEALTH,
} sgr_gate_cold_source_t;

#define SGR_GATE_COLD_SOURCE_COUNT (SGR_GATE_COLD_SOURCE_HEALTH + 1)

/**
 * struct sgr_gate_cold_statement_t - what a target states about itself
 * @made_us: earliest time at which the target can have made the statement: when the load query was
 * sent, or when the announcement arrived
 * @arrived_us: when the statement arrived
 * @cold_us: time for which the target stays cold from then on, 0 if it is not cold
 * @source: SGR_GATE_COLD_SOURCE_ANNOUNCEMENT or SGR_GATE_COLD_SOURCE_HEALTH
 */
typedef struct
{
  uint64_t made_us;
  uint64_t arrived_us;
  uint64_t cold_us;
  sgr_gate_cold_source_t source;
} sgr_gate_cold_statement_t;

/**
 * sgr_gate_cold_create() - create the state of a gate without a limit
 * @start_us: start of the node; the target counts as cold until a statement made later
 */
sgr_gate_cold_t *sgr_gate_cold_create (uint64_t start_us);
void sgr_gate_cold_destroy (sgr_gate_cold_t *cold);

/**
 * sgr_gate_cold_limit_set() - apply the policy of the service
 * @cold: the state
 * @now_us: current time
 * @calls_per_s: most starts in any second while the target is cold, 0 for no limit
 *
 * With a higher limit than before, the window counts as full for one second: not all starts were
 * kept that the new limit compares with, and at the start of a node, the gate of an earlier boot
 * may have used the whole limit.
 */
void sgr_gate_cold_limit_set (sgr_gate_cold_t *cold, uint64_t now_us, uint32_t calls_per_s);

/** sgr_gate_cold_limit() - most starts in any second while the target is cold, 0 for no limit */
uint32_t sgr_gate_cold_limit (const sgr_gate_cold_t *cold);

/**
 * sgr_gate_cold_forget() - count the target as cold until a statement made at @now_us or later
 * @cold: the state
 * @now_us: current time
 * @source: what made the state unknown
 */
void sgr_gate_cold_forget (sgr_gate_cold_t *cold, uint64_t now_us, sgr_gate_cold_source_t source);

/**
 * sgr_gate_cold_instance_replace() - as sgr_gate_cold_forget(), for a new instance: what the former
 * one stated does not count any more
 */
void sgr_gate_cold_instance_replace (sgr_gate_cold_t *cold, uint64_t now_us);

/**
 * sgr_gate_cold_record() - record a statement of the target
 *
 * The target counts as cold until the latest time that any statement of the instance gave.
 */
void sgr_gate_cold_record (sgr_gate_cold_t *cold, const sgr_gate_cold_statement_t *statement);

/** sgr_gate_cold_is_cold() - whether the limit applies now */
bool sgr_gate_cold_is_cold (const sgr_gate_cold_t *cold, uint64_t now_us);

/** sgr_gate_cold_is_unknown() - whether the limit applies for want of a statement */
bool sgr_gate_cold_is_unknown (const sgr_gate_cold_t *cold, uint64_t now_us);

/** sgr_gate_cold_source() - why the target counts as cold or as warm now */
sgr_gate_cold_source_t sgr_gate_cold_source (const sgr_gate_cold_t *cold, uint64_t now_us);

/** sgr_gate_cold_source_name() - name of a source for log lines, such as "health" */
const char *sgr_gate_cold_source_name (sgr_gate_cold_source_t source);

/**
 * sgr_gate_cold_wait_begin() - let an attempt that cannot start at once wait for a statement
 * @cold: the state
 * @now_us: current time
 *
 * A statement normally arrives within milliseconds after the first attempt. Attempts that arrive
 * before are not refused for want of room in the window, because the statement may lift the limit.
 *
 * Return: as sgr_gate_cold_wait_ends_us().
 */
uint64_t sgr_gate_cold_wait_begin (sgr_gate_cold_t *cold, uint64_t now_us);

/** sgr_gate_cold_wait_ends_us() - until when attempts may wait for a statement, 0 if they may not
 */
uint64_t sgr_gate_cold_wait_ends_us (const sgr_gate_cold_t *cold, uint64_t now_us);

/**
 * sgr_gate_cold_ends_us() - when the target stops to count as cold unless it states otherwise;
 * SGR_TIMER_NEVER if the state is unknown or the target is warm
 */
uint64_t sgr_gate_cold_ends_us (const sgr_gate_cold_t *cold, uint64_t now_us);

/**
 * sgr_gate_cold_starts_left() - requests that may start now, UINT32_MAX if no limit applies
 *
 * A start counts from its reservation until one second after it was sent.
 */
uint32_t sgr_gate_cold_starts_left (const sgr_gate_cold_t *cold, uint64_t now_us);

/**
 * sgr_gate_cold_is_reported() - whether entries are to learn that the limit applies
 *
 * They do not learn it if the statements only stopped because no attempts arrived: the first
 * attempt after the pause brings a statement within milliseconds.
 */
bool sgr_gate_cold_is_reported (const sgr_gate_cold_t *cold, uint64_t now_us);

/**
 * sgr_gate_cold_room_us() - earliest time at which the window has room, @now_us if it has
 * @cold: the state, with a limit above 0
 * @now_us: current time
 * @ahead: starts that come before
 */
uint64_t sgr_gate_cold_room_us (const sgr_gate_cold_t *cold, uint64_t now_us, uint32_t ahead);

/** sgr_gate_cold_start_reserve() - count a request that is about to be sent */
void sgr_gate_cold_start_reserve (sgr_gate_cold_t *cold);

/** sgr_gate_cold_start_commit() - the first byte of a reserved request is sent at @now_us */
void sgr_gate_cold_start_commit (sgr_gate_cold_t *cold, uint64_t now_us);

/** sgr_gate_cold_start_release() - a reserved request is not sent */
void sgr_gate_cold_start_release (sgr_gate_cold_t *cold);

#endif
