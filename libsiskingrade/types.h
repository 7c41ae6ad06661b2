#ifndef SGR_TYPES_H
#define SGR_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SGR_NAME_MAX 63
#define SGR_USEC_PER_MSEC 1000ULL
#define SGR_USEC_PER_SEC 1000000ULL

/** sgr_ms_of() - whole milliseconds of a time in microseconds */
static inline unsigned long
sgr_ms_of (uint64_t us)
{
  return (unsigned long)(us / SGR_USEC_PER_MSEC);
}

typedef uint64_t sgr_node_id_t;
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
 * enum sgr_outcome_t - what is known of an attempt or of a call
 * @SGR_OUTCOME_COMPLETE: the target ran the request and its whole answer is here
 * @SGR_OUTCOME_NOT_RUN: the request did not start at any target
 * @SGR_OUTCOME_UNKNOWN: the request may have run
 */
typedef enum
{
  SGR_OUTCOME_COMPLETE = 0,
  SGR_OUTCOME_NOT_RUN,
  SGR_OUTCOME_UNKNOWN,
} sgr_outcome_t;

/**
 * enum sgr_target_state_t - life cycle of a target as its own node sees it
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
 * struct sgr_load_report_t - load of one target as its gate knows it
 * @in_flight: requests at the target now
 * @queued: requests that wait at the gate
 * @slots: requests that the target may run at a time
 * @latency_us: recent median latency of the target in microseconds, 0 if unknown
 * @cost_percent: time that work takes at the target now, 100 for as usual; 0 if unknown
 * @age_us: age of the report when it is read, in microseconds
 * @state: state of the target
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
} sgr_load_report_t;

/**
 * struct sgr_attempt_id_t - name of one attempt of one call
 * @node: entry node
 * @boot: process life of the entry node
 * @sequence: number of the call within that life
 * @attempt: number of the attempt within the call
 */
typedef struct
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  uint64_t sequence;
  uint32_t attempt;
} sgr_attempt_id_t;

/**
 * sgr_node_id_of() - id of a node name
 * @name: node name from the settings
 *
 * Return: the 64-bit hash of the name; the same on every node.
 */
sgr_node_id_t sgr_node_id_of (const char *name);

/**
 * sgr_address_parse() - read "IP:PORT"
 * @text: dotted IPv4 address, a colon and a port from 1 to 65535
 * @address: receives the address
 *
 * Return: true if the text is well formed.
 */
bool sgr_address_parse (const char *text, sgr_address_t *address);

/**
 * sgr_address_format() - write "IP:PORT"
 * @address: the address
 * @text: receives the text, at least 24 bytes
 * @size: size of @text in bytes
 */
void sgr_address_format (const sgr_address_t *address, char *text, size_t size);

const char *sgr_outcome_name (sgr_outcome_t outcome);
const char *sgr_target_state_name (sgr_target_state_t state);

/**
 * sgr_clock_monotonic_us() - monotonic time for tasks; decisions get the time passed in
 *
 * Return: microseconds.
 */
uint64_t sgr_clock_monotonic_us (void);

#endif
