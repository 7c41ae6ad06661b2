#ifndef SGR_TYPES_H
#define SGR_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest name, for example of a node, service, tenant or class, in bytes without the terminating
   zero. */
#define SGR_NAME_MAX 63
#define SGR_USEC_PER_MSEC 1000ULL
#define SGR_USEC_PER_SEC 1000000ULL

/** sgr_ms_of() - convert microseconds to milliseconds, rounded down */
static inline unsigned long
sgr_ms_of (uint64_t us)
{
  return (unsigned long)(us / SGR_USEC_PER_MSEC);
}

/**
 * struct sgr_store_version_t - version of a key in the store
 * @generation: generation of the store that assigned @number, 0 if the store does not tell it
 * @number: version within that generation, 0 for a key that does not exist
 *
 * A store that is restored to an earlier state starts a new generation and assigns the same
 * numbers again. Numbers of different generations must not be compared.
 */
typedef struct
{
  uint64_t generation;
  uint64_t number;
} sgr_store_version_t;

/** sgr_store_version_is_newer() - whether a key got a version after it had a former one */
static inline bool
sgr_store_version_is_newer (sgr_store_version_t version, sgr_store_version_t former)
{
  return version.generation > former.generation
         || (version.generation == former.generation && version.number > former.number);
}

/** sgr_node_id_t - identifies a node, see sgr_node_id_of() */
typedef uint64_t sgr_node_id_t;

/** sgr_boot_id_t - identifies a boot, that is one run of a node's process */
typedef uint64_t sgr_boot_id_t;

/**
 * struct sgr_address_t - an IPv4 address and a port
 * @ip: address in host byte order
 * @port: port in host byte order
 */
typedef struct
{
  uint32_t ip;
  uint16_t port;
} sgr_address_t;

/**
 * enum sgr_outcome_t - whether the request of an attempt or of a call was run
 * @SGR_OUTCOME_COMPLETE: the target ran the request and its whole answer was received
 * @SGR_OUTCOME_NOT_RUN: no target started the request
 * @SGR_OUTCOME_UNKNOWN: the request may have run
 */
typedef enum
{
  SGR_OUTCOME_COMPLETE = 0,
  SGR_OUTCOME_NOT_RUN,
  SGR_OUTCOME_UNKNOWN,
} sgr_outcome_t;

/**
 * enum sgr_target_state_t - state of a target as the node beside it reports it
 * @SGR_TARGET_NONE: no target is registered at the node, or its health probes fail
 * @SGR_TARGET_WARMING: started; gets calls only if no target of its service is serving
 * @SGR_TARGET_SERVING: gets calls
 * @SGR_TARGET_DRAINING: gets no further calls, finishes the open ones
 * @SGR_TARGET_LEFT: the target deregistered, its announcement expired or its node is leaving
 *
 * The numeric values are part of the messages between nodes.
 */
typedef enum
{
  SGR_TARGET_NONE = 0,
  SGR_TARGET_WARMING,
  SGR_TARGET_SERVING,
  SGR_TARGET_DRAINING,
  SGR_TARGET_LEFT,
} sgr_target_state_t;

/**
 * struct sgr_load_report_t - load of one target as its gate measures and reports it
 * @in_flight: requests at the target now
 * @queued: requests that wait at the gate
 * @slots: requests that the target may run at a time; while it counts as cold, at most those at the
 * target plus those that may start now
 * @latency_us: recent median latency of the target in microseconds, 0 if unknown
 * @cost_percent: current duration of requests at the target in percent of their usual duration, 0
 * if unknown
 * @age_us: age of the report when it is used, in microseconds
 * @state: state of the target
 * @cold_calls_per_s: requests per second that the target accepts while it counts as cold, 0 if it
 * does not
 */
typedef struct
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t slots;
  uint32_t latency_us;
  uint32_t cost_percent;
  uint64_t age_us;
  sgr_target_state_t state;
  uint32_t cold_calls_per_s;
} sgr_load_report_t;

/**
 * struct sgr_attempt_id_t - identifies one attempt of one call
 * @node: entry node
 * @boot: boot id of the entry node
 * @sequence: sequence number of the call within that boot
 * @attempt: index of the attempt within the call, 0 for the first
 */
typedef struct
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  uint64_t sequence;
  uint32_t attempt;
} sgr_attempt_id_t;

/**
 * sgr_node_id_of() - compute the id of a node from its name
 * @name: node name from the settings
 *
 * Return: a 64-bit hash of the name; every node computes the same id.
 */
sgr_node_id_t sgr_node_id_of (const char *name);

/**
 * sgr_address_parse() - parse "IP:PORT"
 * @text: dotted IPv4 address, a colon and a port from 1 to 65535
 * @address: receives the address; unchanged if the text is malformed
 *
 * Return: true if the text is well formed.
 */
bool sgr_address_parse (const char *text, sgr_address_t *address);

/**
 * sgr_address_format() - format "IP:PORT"
 * @address: the address
 * @text: receives the text, at least 24 bytes
 * @size: size of @text in bytes
 */
void sgr_address_format (const sgr_address_t *address, char *text, size_t size);

/** sgr_outcome_name() - name of an outcome in logs, metrics and answers, a static string */
const char *sgr_outcome_name (sgr_outcome_t outcome);

/** sgr_target_state_name() - name of a state in logs and announcements, a static string */
const char *sgr_target_state_name (sgr_target_state_t state);

/**
 * sgr_clock_monotonic_us() - read the monotonic clock
 *
 * Only code that does I/O calls this function. Decision code, such as the gate's or the balancer's,
 * gets the time as an argument, so that tests and simulations control it.
 *
 * Return: the time in microseconds.
 */
uint64_t sgr_clock_monotonic_us (void);

/** sgr_clock_wall_ms() - read the wall clock, in milliseconds since 1970 */
uint64_t sgr_clock_wall_ms (void);

#endif
