#ifndef SGR_PEER_CONN_H
#define SGR_PEER_CONN_H

#include <h2o.h>

#include "counter.h"
#include "frame.h"
#include "timer_heap.h"

/**
 * A connection between the data tasks of two nodes. It sends Hello first, splits the byte stream
 * into frames, keeps large answers from delaying other frames and finds out when the connection
 * went silent.
 */
typedef struct sgr_peer_conn_t sgr_peer_conn_t;

/**
 * enum sgr_peer_close_t - why a connection ended
 */
typedef enum
{
  SGR_PEER_CLOSE_REMOTE = 0,
  SGR_PEER_CLOSE_CONNECT_FAILED,
  SGR_PEER_CLOSE_SILENT,
  SGR_PEER_CLOSE_BAD_FRAME,
  SGR_PEER_CLOSE_BAD_HELLO,
  SGR_PEER_CLOSE_COUNT,
} sgr_peer_close_t;

/**
 * enum sgr_peer_priority_t - which queue a frame takes
 * @SGR_PEER_URGENT: requests, heads, small answers, control
 * @SGR_PEER_BULK: chunks and end of a large answer; sent when no urgent frame waits
 */
typedef enum
{
  SGR_PEER_URGENT = 0,
  SGR_PEER_BULK,
} sgr_peer_priority_t;

/**
 * struct sgr_peer_conn_env_t - what all connections of one task share
 * @loop: event loop
 * @timers: timers of the task
 * @node: id of this node
 * @boot: process life of this node
 * @heartbeat_us: interval of pings while an attempt waits
 * @idle_ping_us: interval of pings while no attempt waits
 * @silence_us: time without any byte, with a ping unanswered, after which it counts as silent
 * @load_fill: fills the load report that goes out with Hello
 * @load_ctx: passed to @load_fill
 * @closed: closed connections by sgr_peer_close_t
 * @bytes_in: received bytes
 * @bytes_out: sent bytes
 */
typedef struct
{
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  uint64_t heartbeat_us;
  uint64_t idle_ping_us;
  uint64_t silence_us;
  void (*load_fill) (void *ctx, Sgr__Pb__LoadReport *load);
  void *load_ctx;
  sgr_counter_t *closed[SGR_PEER_CLOSE_COUNT];
  sgr_counter_t *bytes_in;
  sgr_counter_t *bytes_out;
} sgr_peer_conn_env_t;

/**
 * struct sgr_peer_conn_handlers_t - what the owner of a connection is told
 * @ready: the other side's Hello arrived; SGR_OK to go on, else the connection is closed
 * @frame: a frame other than Hello, Ping and Pong arrived; SGR_OK to go on, else the connection is
 *         closed as malformed
 * @closed: the connection is gone; it is freed after this call
 */
typedef struct
{
  sgr_result_t (*ready) (void *ctx, sgr_peer_conn_t *conn);
  sgr_result_t (*frame) (void *ctx, sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame);
  void (*closed) (void *ctx, sgr_peer_conn_t *conn, sgr_peer_close_t reason);
} sgr_peer_conn_handlers_t;

/**
 * sgr_peer_conn_accept() - take over an accepted socket
 * @env: shared environment
 * @sock: the socket
 * @handlers: callbacks
 * @ctx: passed to the callbacks
 */
sgr_peer_conn_t *sgr_peer_conn_accept (const sgr_peer_conn_env_t *env, h2o_socket_t *sock,
                                       const sgr_peer_conn_handlers_t *handlers, void *ctx);

/**
 * sgr_peer_conn_connect() - open a connection; frames may be sent at once and wait for it
 * @env: shared environment
 * @address: data address of the other node
 * @handlers: callbacks
 * @ctx: passed to the callbacks
 *
 * Return: the connection, NULL if the socket could not be made.
 */
sgr_peer_conn_t *sgr_peer_conn_connect (const sgr_peer_conn_env_t *env,
                                        const sgr_address_t *address,
                                        const sgr_peer_conn_handlers_t *handlers, void *ctx);

/**
 * sgr_peer_conn_send() - queue a frame
 * @conn: the connection
 * @frame: the frame, copied
 * @priority: which queue
 *
 * Return: SGR_ERR_LIMIT if the frame is too large.
 */
sgr_result_t sgr_peer_conn_send (sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame,
                                 sgr_peer_priority_t priority);

/**
 * sgr_peer_conn_waiting_set() - tell how many attempts wait for the other side
 * @conn: the connection
 * @count: attempts; above 0 the connection is watched at the heartbeat interval
 */
void sgr_peer_conn_waiting_set (sgr_peer_conn_t *conn, size_t count);

/** sgr_peer_conn_close() - close and free without a callback */
void sgr_peer_conn_close (sgr_peer_conn_t *conn);

bool sgr_peer_conn_is_ready (const sgr_peer_conn_t *conn);
sgr_node_id_t sgr_peer_conn_node (const sgr_peer_conn_t *conn);
sgr_boot_id_t sgr_peer_conn_boot (const sgr_peer_conn_t *conn);

/** sgr_peer_conn_generation() - key generation of the other node's gate when it said Hello */
uint64_t sgr_peer_conn_generation (const sgr_peer_conn_t *conn);
const char *sgr_peer_close_name (sgr_peer_close_t reason);

#endif
