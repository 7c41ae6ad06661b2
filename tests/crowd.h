#ifndef SGR_CROWD_H
#define SGR_CROWD_H

#include <stddef.h>
#include <stdint.h>

#include "node_fixture.h"

/**
 * A crowd of callers that stay within the limits of single requests and together exceed what a node
 * can hold, and the bounds that the nodes have to keep meanwhile. Each test starts processes of its
 * own, because the peak of a process's memory never falls.
 */

/* Longest request body of the tests, bytes. */
#define SGR_CROWD_BODY_BYTES (4U * 1024 * 1024)
/* Memory for buffers of callers, peers and targets that a node may use, bytes. */
#define SGR_CROWD_BUDGET_BYTES (16U * 1024 * 1024)
/* Memory for everything else: program, libraries, tables of the gate, free lists of the allocator
   and of h2o. A node at rest takes 8 to 12 MB. */
#define SGR_CROWD_REST_BYTES (24U * 1024 * 1024)
/* Connections of callers that a node may keep, and descriptors for everything else. */
#define SGR_CROWD_CONNECTIONS_MAX 100
#define SGR_CROWD_REST_DESCRIPTORS 60

/* Indices of the nodes in the fixture. Only the gate has a target. */
enum
{
  SGR_CROWD_ENTRY,
  SGR_CROWD_GATE,
};

#define SGR_CROWD_SOCKETS_MAX 512

/**
 * struct sgr_crowd_t - a crowd and the nodes that it meets
 * @fixture: an entry node and a gate
 * @sockets: open connections of the crowd
 * @count: elements of @sockets
 */
typedef struct
{
  sgr_fixture_t fixture;
  int sockets[SGR_CROWD_SOCKETS_MAX];
  size_t count;
} sgr_crowd_t;

/** sgr_crowd_setup() - start the nodes; a cmocka setup function */
int sgr_crowd_setup (void **state);

/** sgr_crowd_hasty_setup() - start nodes that give callers half a second for a head or a pause */
int sgr_crowd_hasty_setup (void **state);

/** sgr_crowd_small_setup() - start nodes with the limits of a machine of 160 MB */
int sgr_crowd_small_setup (void **state);

/** sgr_crowd_peak_check() - check that the peak of the resident memory of a node is below a bound
 */
void sgr_crowd_peak_check (const sgr_fixture_node_t *node, size_t bound_bytes);

/** sgr_crowd_teardown() - close the connections and stop the nodes; a cmocka teardown function */
int sgr_crowd_teardown (void **state);

/**
 * sgr_crowd_connect() - open a connection to the entry from one of eight caller addresses
 * @crowd: the crowd
 *
 * A send that the node does not read for two seconds fails.
 *
 * Return: the socket, owned by the crowd.
 */
int sgr_crowd_connect (sgr_crowd_t *crowd);

/** sgr_crowd_send() - send bytes as long as the node takes them; returns whether all were taken */
bool sgr_crowd_send (int fd, const void *bytes, size_t length);

/** sgr_crowd_fill() - send filler bytes as sgr_crowd_send() does */
bool sgr_crowd_fill (int fd, size_t length);

/**
 * sgr_crowd_head_read() - read the head of the next final answer
 * @fd: socket
 * @head: receives the head, empty if the connection ended or nothing arrived for five seconds
 * @size: size of @head in bytes
 *
 * Interim answers are skipped. Return: the status, 0 without an answer.
 */
int sgr_crowd_head_read (int fd, char *head, size_t size);

/** sgr_crowd_status_read() - as sgr_crowd_head_read(), without the head */
int sgr_crowd_status_read (int fd);

/** sgr_crowd_call() - send one ordinary request from an address of its own and expect status 200 */
void sgr_crowd_call (sgr_crowd_t *crowd);

/**
 * sgr_crowd_check() - check the nodes while the connections of the crowd are open
 *
 * Each process runs, its peak of resident memory and its open descriptors are within the bounds,
 * and an ordinary request through each node is answered with status 200.
 */
void sgr_crowd_check (sgr_crowd_t *crowd);

#endif
