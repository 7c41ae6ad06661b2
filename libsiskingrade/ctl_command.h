#ifndef SGR_CTL_COMMAND_H
#define SGR_CTL_COMMAND_H

#include <stdio.h>

#include "ctl_client.h"

/* Exit statuses of siskingradectl; those of sysexits.h where one fits. */
#define SGR_CTL_EXIT_OK 0
#define SGR_CTL_EXIT_REFUSED 1
#define SGR_CTL_EXIT_USAGE 64
#define SGR_CTL_EXIT_UNAVAILABLE 69
#define SGR_CTL_EXIT_UNKNOWN 75
#define SGR_CTL_EXIT_DENIED 77
#define SGR_CTL_EXIT_FILE 78

/**
 * struct sgr_ctl_options_t - command line of siskingradectl
 * @nodes: control addresses
 * @node_count: number of @nodes
 * @timeout_ms: longest silence of a node
 * @json: print JSON
 * @owner: name of the signing owner, or NULL
 * @key: file of the secret key, or NULL
 * @owners: file of the owners, or NULL
 * @id: id of a new change, or NULL for a random one
 * @digest: digest that an approval is meant for, or NULL for any
 * @revision: for watch, the revision to start from; UINT64_MAX for the one in force
 * @count: for watch, changes to print before the end, 0 for no end
 * @arguments: command and its arguments, ended by NULL
 * @argument_count: number of @arguments
 */
typedef struct
{
  sgr_address_t nodes[SGR_CTL_NODES_MAX];
  size_t node_count;
  uint32_t timeout_ms;
  bool json;
  const char *owner;
  const char *key;
  const char *owners;
  const char *id;
  const char *digest;
  uint64_t revision;
  uint64_t count;
  char **arguments;
  size_t argument_count;
} sgr_ctl_options_t;

/**
 * sgr_ctl_run() - run one command
 * @options: the command line
 * @out: receives the result
 * @err: receives error messages
 *
 * Return: the exit status.
 */
int sgr_ctl_run (const sgr_ctl_options_t *options, FILE *out, FILE *err);

/** sgr_ctl_fail() - print an error; the exit status for its kind */
int sgr_ctl_fail (FILE *err, const sgr_config_error_t *error);

int sgr_ctl_run_change (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                        FILE *err);
int sgr_ctl_run_approve (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                         FILE *err);

/** sgr_ctl_print_change() - print the reply of a change */
void sgr_ctl_print_change (const sgr_ctl_options_t *options, const json_t *json, FILE *out);

#endif
