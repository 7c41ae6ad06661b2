#ifndef CONFIG_RIG_H
#define CONFIG_RIG_H

#include <sys/types.h>

#include "config_api.h"
#include "config_support.h"
#include "http_listener.h"
#include "store_http.h"

#define RIG_NODES 6

/**
 * struct rig_node_t - the configuration part of one node: store client, configuration I/O and HTTP
 * API
 * @rig: the rig
 * @is_running: whether the node runs; @store, @io, @api and @listener are valid only then
 * @store: client of the store stand-in
 * @io: configuration I/O
 * @api: configuration API, served by @listener
 * @listener: HTTP server on the control address
 * @address: control address; a port of 0 lets the next start choose a free one
 * @last_revision: revision that last came into force at the node
 * @has_revision_decreased: whether a lower revision ever replaced a higher one, which is a fault
 */
typedef struct
{
  struct rig_t *rig;
  bool is_running;
  sgr_store_t *store;
  sgr_config_io_t *io;
  sgr_config_api_t *api;
  sgr_http_listener_t *listener;
  sgr_address_t address;
  uint64_t last_revision;
  bool has_revision_decreased;
} rig_node_t;

/**
 * struct rig_t - nodes on one event loop that share the store stand-in and a list of members
 * @loop: event loop
 * @keys: owners and their keys
 * @store_pid: process of the store stand-in
 * @store_address: its address
 * @nodes: the nodes
 * @members: membership records of the nodes, the same for all nodes
 * @count: used entries of @nodes and @members
 * @directory: temporary directory for the files of a test
 */
typedef struct rig_t
{
  h2o_loop_t *loop;
  support_keys_t keys;
  pid_t store_pid;
  sgr_address_t store_address;
  rig_node_t nodes[RIG_NODES];
  sgr_member_t members[RIG_NODES];
  size_t count;
  char directory[64];
} rig_t;

/** rig_start() - start the store stand-in and @count nodes, spread over three failure domains */
void rig_start (rig_t *rig, size_t count);
void rig_stop (rig_t *rig);

/** rig_node_start() - start a node without a configuration; rig_node_stop() stops it */
void rig_node_start (rig_t *rig, size_t index);
void rig_node_stop (rig_t *rig, size_t index);

/**
 * rig_run_until() - run the event loop until a condition holds; aborts the program after 30 s
 * @rig: the rig
 * @is_done: returns whether the condition holds
 * @ctx: passed to @is_done
 */
void rig_run_until (rig_t *rig, bool (*is_done) (rig_t *rig, void *ctx), void *ctx);

/** rig_run_until_revision() - run until all running nodes have this revision or a higher one */
void rig_run_until_revision (rig_t *rig, uint64_t revision);

/**
 * rig_http_call() - send an HTTP request and run the event loop until it ends
 * @rig: the rig
 * @address: server
 * @method: HTTP method
 * @path: path and query
 * @body: body, or NULL
 * @json: receives the JSON of the answer, owned by the caller, NULL if there is none; may be NULL
 *
 * Return: HTTP status, 0 if there was no complete answer.
 */
int rig_http_call (rig_t *rig, const sgr_address_t *address, const char *method, const char *path,
                   const char *body, json_t **json);

/** rig_store_faults_set() - set faults of the store stand-in with a query such as "outage=1" */
void rig_store_faults_set (rig_t *rig, const char *query);

/**
 * rig_ctl_run() - run siskingradectl with node 0 as its node
 * @rig: the rig
 * @out: receives standard output and standard error, truncated to @size
 * @size: size of @out in bytes
 * @arguments: arguments after "--node ADDRESS", terminated by NULL
 *
 * Return: exit status, -1 if the program was ended by a signal.
 */
int rig_ctl_run (rig_t *rig, char *out, size_t size, const char *const *arguments);

/** rig_file_write() - write a file into the directory of the rig; @path receives its full path */
void rig_file_write (rig_t *rig, const char *name, const char *text, char *path, size_t size);

#endif
