#ifndef SGR_CALLER_LOAD_H
#define SGR_CALLER_LOAD_H

#include "types.h"

#define SGR_CALLER_NODES_MAX 64
#define SGR_CALLER_SERVICES_MAX 16

/**
 * enum sgr_caller_kind_t - what the calls of a service do
 * @SGR_CALLER_LOOKUP: an idempotent read with a small answer
 * @SGR_CALLER_WRITE: a write with an issued idempotency key. A failed call is sent again with the
 *                    same key, each time through a node that is picked at random.
 * @SGR_CALLER_LARGE: an idempotent read with an answer of 2 MB
 */
typedef enum
{
  SGR_CALLER_LOOKUP = 0,
  SGR_CALLER_WRITE,
  SGR_CALLER_LARGE,
} sgr_caller_kind_t;

/** struct sgr_caller_service_t - a service to call, and what its calls do */
typedef struct
{
  char name[SGR_NAME_MAX + 1];
  sgr_caller_kind_t kind;
} sgr_caller_service_t;

/**
 * struct sgr_caller_options_t - the calls to send
 * @nodes: addresses on which nodes listen for callers
 * @node_count: number of @nodes
 * @services: services to call in turn
 * @service_count: number of @services
 * @rate: mean number of calls per second
 * @seconds: how long to start calls, in seconds
 * @seed: seed of the random numbers for the times of the calls and the choice of nodes
 * @report_path: file that receives a line "ID OUTCOME" for each write, NULL for none
 */
typedef struct
{
  sgr_address_t nodes[SGR_CALLER_NODES_MAX];
  size_t node_count;
  sgr_caller_service_t services[SGR_CALLER_SERVICES_MAX];
  size_t service_count;
  uint64_t rate;
  uint64_t seconds;
  uint64_t seed;
  const char *report_path;
} sgr_caller_options_t;

/**
 * sgr_caller_run() - send the calls, check the answers and print a table
 *
 * Return: exit status: 0, or 1 if an answer of status 200 had an unexpected body (truncated, or of
 * another call) or the report file cannot be created.
 */
int sgr_caller_run (const sgr_caller_options_t *options);

#endif
