#ifndef SGR_CTL_COMMAND_H
#define SGR_CTL_COMMAND_H

#include <stdio.h>

#include "ctl_client.h"

/* Exit statuses of siskingradectl. Those from 64 on have the values of sysexits.h. */
#define SGR_CTL_EXIT_OK 0
/* Conflict, not found, or an error without a specific exit status. */
#define SGR_CTL_EXIT_REFUSED 1
/* EX_USAGE: the command line is invalid. */
#define SGR_CTL_EXIT_USAGE 64
/* EX_UNAVAILABLE: no node or no store could be reached, and nothing was changed. */
#define SGR_CTL_EXIT_UNAVAILABLE 69
/* EX_TEMPFAIL: the outcome of the request is unknown, or a local file could not be opened. */
#define SGR_CTL_EXIT_OUTCOME_UNKNOWN 75
/* EX_NOPERM: a key or a signature was refused. */
#define SGR_CTL_EXIT_DENIED 77
/* EX_CONFIG: a file or another input is invalid or exceeds a limit. */
#define SGR_CTL_EXIT_INVALID 78

/**
 * struct sgr_ctl_options_t - command line of siskingradectl
 * @nodes: control addresses of nodes
 * @node_count: number of @nodes
 * @timeout_ms: milliseconds without progress after which a request to a node fails
 * @json: print JSON instead of text and tables
 * @owner: name of the owner who signs, or NULL
 * @key_file: file with the secret key of @owner, or NULL
 * @owners_file: YAML file with the names and public keys of the owners, or NULL
 * @change_id: id of a new change, or NULL for a random id
 * @expected_digest: digest that the approved change must have, or NULL for any
 * @watch_revision: the command watch prints changes after this revision; UINT64_MAX stands for the
 *                  revision in force at its start
 * @watch_count: number of changes after which the command watch ends, 0 for no end
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
  const char *key_file;
  const char *owners_file;
  const char *change_id;
  const char *expected_digest;
  uint64_t watch_revision;
  uint64_t watch_count;
  char **arguments;
  size_t argument_count;
} sgr_ctl_options_t;

/**
 * sgr_ctl_run() - run one command
 * @options: the command line
 * @out: receives the result
 * @err: receives error messages
 *
 * Return: the exit status, one of SGR_CTL_EXIT_*.
 */
int sgr_ctl_run (const sgr_ctl_options_t *options, FILE *out, FILE *err);

/**
 * sgr_ctl_error_print() - print an error
 *
 * Return: the exit status for @error->result.
 */
int sgr_ctl_error_print (FILE *err, const sgr_config_error_t *error);

/** sgr_ctl_run_propose() - run the command create or propose; returns the exit status */
int sgr_ctl_run_propose (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                         FILE *err);

/** sgr_ctl_run_approve() - run the command approve; returns the exit status */
int sgr_ctl_run_approve (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out,
                         FILE *err);

/** sgr_ctl_print_change() - print a node's reply that describes a change */
void sgr_ctl_print_change (const sgr_ctl_options_t *options, const json_t *json, FILE *out);

#endif
