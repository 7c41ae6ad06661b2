#ifndef SGR_NODE_FIXTURE_H
#define SGR_NODE_FIXTURE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "http_probe.h"
#include "relay.h"

#define SGR_FIXTURE_NODES_MAX 6

/**
 * Starts nodes, their targets and the store as processes on the loopback interface, for tests and
 * benchmarks.
 */

/**
 * struct sgr_fixture_node_t - one node, with its target if it has one
 * @name: name of the node
 * @service: service of its target, NULL for none
 * @region: its region, NULL for "test"
 * @failure_domain: failure domain of the node, NULL for "test-1"
 * @limits: lines of the section "limits", NULL for those of the fixture
 * @store_port: port that the node takes for that of the store, 0 for the real one
 * @callers: port for callers
 * @peers: port on which the node accepts connections of other nodes
 * @advertised: port that other nodes connect to: that of @relay, or @peers without a relay
 * @advertised_ip: address that other nodes connect to, NULL for 127.0.0.1
 * @control: port of the control interface
 * @confirm: first of the ports at which a target confirms that it runs, see @confirm_ports; 0 for
 *           none
 * @target: port of the target
 * @pid: process id of the node, 0 while it is not running
 * @target_pid: process id of the target, 0 while it is not running
 * @relay: relay between other nodes and this one, NULL if they connect directly
 */
typedef struct
{
  char name[32];
  const char *service;
  const char *region;
  const char *failure_domain;
  const char *limits;
  uint16_t store_port;
  uint16_t callers;
  uint16_t peers;
  uint16_t advertised;
  const char *advertised_ip;
  uint16_t control;
  uint16_t confirm;
  uint16_t target;
  pid_t pid;
  pid_t target_pid;
  sgr_relay_t *relay;
} sgr_fixture_node_t;

/**
 * struct sgr_fixture_t - a deployment of a few nodes and one store
 * @nodes: the nodes
 * @count: number of @nodes
 * @limits: lines of the section "limits" of the settings, each indented by two spaces
 * @extra_settings: lines to append to the settings
 * @target_options: additional command line arguments of the targets, separated by one space
 * @confirm_ports: number of ports at which the target of a node confirms that it runs; to be set
 *                 before nodes are added
 * @is_routed: calls need routes; the configuration has one for the first service, with the host
 *             "test" and the prefix "/". Otherwise callers name services.
 * @has_external_targets: the test runs the targets itself, and the fixture starts none
 * @store_port: port of the store
 * @store_pid: process id of the store, 0 while it is not running
 * @directory: temporary directory with settings and logs
 */
typedef struct
{
  sgr_fixture_node_t nodes[SGR_FIXTURE_NODES_MAX];
  size_t count;
  const char *limits;
  const char *extra_settings;
  const char *target_options;
  unsigned confirm_ports;
  bool is_routed;
  bool has_external_targets;
  uint16_t store_port;
  pid_t store_pid;
  char directory[64];
} sgr_fixture_t;

/**
 * sgr_fixture_init() - create the temporary directory and set the default limits
 * @fixture: the fixture; receives no nodes yet
 */
void sgr_fixture_init (sgr_fixture_t *fixture);

/**
 * sgr_fixture_node_add() - add a node and choose its ports, without starting a process
 * @fixture: the fixture
 * @name: name of the node
 * @service: service of its target, NULL for none
 * @with_relay: start a relay that other nodes connect through
 *
 * Return: the node, owned by the fixture.
 */
sgr_fixture_node_t *sgr_fixture_node_add (sgr_fixture_t *fixture, const char *name,
                                          const char *service, bool with_relay);

/**
 * sgr_fixture_processes_start() - start all processes and set the configuration
 * @fixture: the fixture
 *
 * Does not wait until the nodes serve calls, see sgr_fixture_services_await().
 *
 * Return: false, with the nodes' logs on standard error, if sgr_fixture_services_set() failed.
 */
bool sgr_fixture_processes_start (sgr_fixture_t *fixture);

/**
 * sgr_fixture_services_await() - wait until every node knows all targets and serves every service
 * @fixture: the fixture
 *
 * Return: false, with the nodes' logs on standard error, if one of these conditions is not met
 * within 20 seconds.
 */
bool sgr_fixture_services_await (const sgr_fixture_t *fixture);

/** sgr_fixture_start() - call sgr_fixture_processes_start() and sgr_fixture_services_await() */
bool sgr_fixture_start (sgr_fixture_t *fixture);

/** sgr_fixture_node_start() - write the settings of one node and start it, without its target */
void sgr_fixture_node_start (sgr_fixture_t *fixture, sgr_fixture_node_t *node);

/** sgr_fixture_target_start() - start the target of a node */
void sgr_fixture_target_start (sgr_fixture_t *fixture, sgr_fixture_node_t *node);

/**
 * sgr_fixture_service_await() - wait until a call through a node gets status 200 from a service
 * @entry: the node
 * @service: the service
 *
 * Return: false after 20 seconds without such an answer.
 */
bool sgr_fixture_service_await (const sgr_fixture_node_t *entry, const char *service);

/**
 * sgr_fixture_process_kill() - send SIGKILL to a process and wait for its end
 * @pid: process id, 0 for none; receives 0
 */
void sgr_fixture_process_kill (pid_t *pid);

/**
 * sgr_fixture_process_wait() - wait for the end of a process
 * @pid: process id; receives 0 when the process ended
 * @timeout_ms: maximum time to wait, in milliseconds
 *
 * Return: its exit status, 128 plus the signal number if a signal ended it, -1 if it still runs.
 */
int sgr_fixture_process_wait (pid_t *pid, int timeout_ms);

/** sgr_fixture_stop() - kill all processes, stop the relays and remove the temporary directory */
void sgr_fixture_stop (sgr_fixture_t *fixture);

/** sgr_fixture_executions() - number of times that the target of a node ran a request */
unsigned sgr_fixture_executions (const sgr_fixture_node_t *node, const char *request_id);

/**
 * sgr_fixture_target_mode_set() - change the behaviour of a node's target
 * @node: the node
 * @mode: "drain", "serve", or a mode of sgr_standin_work_set_mode()
 */
void sgr_fixture_target_mode_set (const sgr_fixture_node_t *node, const char *mode);

/**
 * sgr_fixture_metric() - read metrics of a node
 * @node: the node
 * @prefix: start of a line of the metrics page: a name, and any of its labels
 *
 * Return: the sum of the values of all lines that start with @prefix, 0 if there is none.
 */
uint64_t sgr_fixture_metric (const sgr_fixture_node_t *node, const char *prefix);

/** sgr_fixture_poll_sleep() - sleep 5 milliseconds, for a loop that polls a condition */
void sgr_fixture_poll_sleep (void);

/** sgr_fixture_port_find() - find a port of 127.0.0.1 that is free for TCP and UDP now */
uint16_t sgr_fixture_port_find (void);

/** sgr_fixture_store_faults_set() - set faults of the store by a query such as "outage=1" */
void sgr_fixture_store_faults_set (const sgr_fixture_t *fixture, const char *query);

/**
 * sgr_fixture_event_await() - wait until a node's log holds an event
 * @fixture: the fixture
 * @node: the node
 * @event: text such as "event=peer-lost"
 * @count: minimum number of times that the log has to hold @event
 *
 * Return: false after 5 seconds without success.
 */
bool sgr_fixture_event_await (const sgr_fixture_t *fixture, const sgr_fixture_node_t *node,
                              const char *event, int count);

#endif
