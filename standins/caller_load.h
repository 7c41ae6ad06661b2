#ifndef SGR_CALLER_LOAD_H
#define SGR_CALLER_LOAD_H

#include "types.h"

#define SGR_CALLER_NODES_MAX 64
#define SGR_CALLER_SERVICES_MAX 16

/**
 * enum sgr_caller_kind_t - what a call does
 * @SGR_CALLER_LOOKUP: a small idempotent read
 * @SGR_CALLER_WRITE: a write under an issued key, repeated with it through other nodes
 * @SGR_CALLER_LARGE: a read of 2 MB
 */
typedef enum
{
  SGR_CALLER_LOOKUP = 0,
  SGR_CALLER_WRITE,
  SGR_CALLER_LARGE,
} sgr_caller_kind_t;

typedef struct
{
  char name[SGR_NAME_MAX + 1];
  sgr_caller_kind_t kind;
} sgr_caller_service_t;

/**
 * struct sgr_caller_options_t - what to send
 * @nodes: callers' addresses of nodes
 * @services: services to call, in turn
 * @rate: calls a second
 * @seconds: how long to send
 * @seed: seed of the arrivals
 * @report_path: file that receives "ID OUTCOME" for each write, NULL for none
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
 * Return: exit status, 1 if an answer was cut or belonged to another call.
 */
int sgr_caller_run (const sgr_caller_options_t *options);

#endif
