#ifndef SGR_NODE_FIXTURE_H
#define SGR_NODE_FIXTURE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "http_probe.h"
#include "relay.h"

#define SGR_FIXTURE_NODES_MAX 6

/** Real node and target processes on loopback, for tests and benchmarks. */

/**
 * struct sgr_fixture_node_t - one node, with its target if it has one
 * @name: name of the node
 * @service: service of its target, NULL for none
 * @callers: port for callers
 * @peers: port for other nodes
 * @advertised: port that other nodes are told, that of @relay if there is one
 * @control: control port
 * @target: port of the target
 * @pid: process of the node, 0 while it does not run
 * @target_pid: process of the target, 0 while it does not run
 * @relay: between other nodes and this one, NULL if the node is reached directly
 */
typedef struct
{
  char name[32];
  const char *service;
  uint16_t callers;
  uint16_t peers;
  uint16_t advertised;
  uint16_t control;
  uint16_t target;
  pid_t pid;
  pid_t target_pid;
  sgr_relay_t *relay;
} sgr_fixture_node_t;

/**
 * struct sgr_fixture_t - a few nodes that know each other
 * @nodes: the nodes
 * @count: used entries of @nodes
 * @limits: lines of the section "limits" of the settings, two blanks in front of each
 * @extra: further lines of the settings
 * @target_options: further arguments of the targets, separated by one blank
 * @has_own_targets: the test provides the targets
 * @store: port of the store
 * @store_pid: process of the store
 * @folder: temporary folder with settings and logs
 */
typedef struct
{
  sgr_fixture_node_t nodes[SGR_FIXTURE_NODES_MAX];
  size_t count;
  const char *limits;
  const char *extra;
  const char *target_options;
  bool has_own_targets;
  uint16_t store;
  pid_t store_pid;
  char folder[64];
} sgr_fixture_t;

/** sgr_fixture_init() - an empty fixture with its folder */
void sgr_fixture_init (sgr_fixture_t *fixture);

/**
 * sgr_fixture_node_add() - add a node; it is not started yet
 * @fixture: the fixture
 * @name: name of the node
 * @service: service of its target, NULL for none
 * @with_relay: other nodes reach it through a relay
 */
sgr_fixture_node_t *sgr_fixture_node_add (sgr_fixture_t *fixture, const char *name,
                                          const char *service, bool with_relay);

/** sgr_fixture_begin() - start all processes and set the configuration */
bool sgr_fixture_begin (sgr_fixture_t *fixture);

/** sgr_fixture_await() - wait until every node serves every service and knows all its targets */
bool sgr_fixture_await (const sgr_fixture_t *fixture);

/** sgr_fixture_start() - start all and wait until every node serves every service */
bool sgr_fixture_start (sgr_fixture_t *fixture);

/** sgr_fixture_node_start() - start one node, the target not included */
void sgr_fixture_node_start (sgr_fixture_t *fixture, sgr_fixture_node_t *node);

/** sgr_fixture_target_start() - start the target of a node */
void sgr_fixture_target_start (sgr_fixture_t *fixture, sgr_fixture_node_t *node);

/** sgr_fixture_ready() - wait until calls through a node reach a service */
bool sgr_fixture_ready (const sgr_fixture_node_t *entry, const char *service);

/** sgr_fixture_kill() - end a process with SIGKILL and wait for it; clears the id */
void sgr_fixture_kill (pid_t *pid);

/**
 * sgr_fixture_wait() - wait for the end of a process
 * @pid: process; cleared when it ended
 * @timeout_ms: most time to wait
 *
 * Return: its exit status, 128 and the signal if it was killed, -1 if it still runs.
 */
int sgr_fixture_wait (pid_t *pid, int timeout_ms);

/** sgr_fixture_stop() - end all processes and remove the folder */
void sgr_fixture_stop (sgr_fixture_t *fixture);

/** sgr_fixture_executions() - how often the target of a node ran a request */
unsigned sgr_fixture_executions (const sgr_fixture_node_t *node, const char *request_id);

/** sgr_fixture_admin() - change the behaviour of a target, see standin_work.h */
void sgr_fixture_admin (const sgr_fixture_node_t *node, const char *name);

/** sgr_fixture_metric() - sum of the counters whose line starts with a text */
uint64_t sgr_fixture_metric (const sgr_fixture_node_t *node, const char *start);

/** sgr_fixture_pause() - time between two questions, a few milliseconds */
void sgr_fixture_pause (void);

/** sgr_fixture_port() - a port that is free now */
uint16_t sgr_fixture_port (void);

/** sgr_fixture_store_fault() - set faults of the store, such as "outage=1" */
void sgr_fixture_store_fault (const sgr_fixture_t *fixture, const char *query);

/**
 * sgr_fixture_event_await() - wait until a node's log holds an event
 * @fixture: the fixture
 * @node: the node
 * @event: text such as "event=peer-lost"
 * @times: how often it has to be there
 *
 * Return: false if it is not there after some seconds.
 */
bool sgr_fixture_event_await (const sgr_fixture_t *fixture, const sgr_fixture_node_t *node,
                              const char *event, int times);

#endif
