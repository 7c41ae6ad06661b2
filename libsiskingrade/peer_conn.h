#ifndef SGR_PEER_CONN_H
#define SGR_PEER_CONN_H

#include <h2o.h>

#include "counter.h"
#include "frame.h"
#include "memory_budget.h"
#include "timer_heap.h"

/**
 * A connection between the data tasks of two nodes. It sends Hello first, splits the byte stream
 * into frames, keeps large answers from delaying other frames, and detects by pings that the other
 * node has become silent.
 */
typedef struct sgr_peer_conn_t sgr_peer_conn_t;

/**
 * enum sgr_peer_close_t - why a connection ended
 * @SGR_PEER_CLOSE_REMOTE: the other node closed it, or reading or writing failed
 * @SGR_PEER_CLOSE_CONNECT_FAILED: it could not be established, or not in time; no frame was sent
 * @SGR_PEER_CLOSE_SILENT: the other node did not answer a ping, or did not send Hello, in time
 * @SGR_PEER_CLOSE_BAD_FRAME: a frame was malformed, or the owner of the connection rejected it
 * @SGR_PEER_CLOSE_BAD_HELLO: Hello was missing, repeated, invalid or from an unexpected node
 * @SGR_PEER_CLOSE_COUNT: number of reasons
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
 * enum sgr_peer_priority_t - send queue of a frame
 * @SGR_PEER_URGENT: heads, small bodies and all frames without a body
 * @SGR_PEER_BULK: bodies of large requests and answers, and the end of a large answer; each write
 *                 sends them after the waiting urgent frames
 */
typedef enum
{
  SGR_PEER_URGENT = 0,
  SGR_PEER_BULK,
} sgr_peer_priority_t;

/**
 * enum sgr_peer_traffic_t - kinds of frames by which sent bytes are counted
 * @SGR_PEER_TRAFFIC_CALL: requests and their bodies
 * @SGR_PEER_TRAFFIC_ANSWER: answers and refusals
 * @SGR_PEER_TRAFFIC_LOAD: load reports without an answer
 * @SGR_PEER_TRAFFIC_CONTROL: all other frames
 * @SGR_PEER_TRAFFIC_COUNT: number of kinds
 */
typedef enum
{
  SGR_PEER_TRAFFIC_CALL = 0,
  SGR_PEER_TRAFFIC_ANSWER,
  SGR_PEER_TRAFFIC_LOAD,
  SGR_PEER_TRAFFIC_CONTROL,
  SGR_PEER_TRAFFIC_COUNT,
} sgr_peer_traffic_t;

/**
 * struct sgr_peer_conn_env_t - what all connections of one task share
 * @loop: event loop
 * @timers: timers of the task
 * @node: id of this node
 * @boot: boot id of this node
 * @heartbeat_us: interval of pings while an attempt waits
 * @idle_ping_us: interval of pings while no attempt waits
 * @silence_us: time without a received byte after which a connection with an unanswered ping, or
 *              without Hello, is closed
 * @load_fill: fills in the load report that is sent with Hello
 * @load_ctx: passed to @load_fill
 * @closed: counters by sgr_peer_close_t of connections that the owner did not close itself
 * @bytes_in: counter of received bytes
 * @bytes_out: counter of sent bytes
 * @far_bytes_out: counters by sgr_peer_traffic_t of the bytes of frames for other failure domains
 * @memory: budget that counts the queued frames, NULL for none
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
  sgr_counter_t *far_bytes_out[SGR_PEER_TRAFFIC_COUNT];
  sgr_memory_budget_t *memory;
} sgr_peer_conn_env_t;

/**
 * struct sgr_peer_conn_handlers_t - callbacks of the owner of a connection
 * @ready: the other node's Hello arrived; a result other than SGR_OK closes the connection with
 *         SGR_PEER_CLOSE_BAD_HELLO
 * @frame: a frame other than Hello, Ping and Pong arrived; a result other than SGR_OK closes the
 *         connection with SGR_PEER_CLOSE_BAD_FRAME
 * @closed: the connection failed or was closed by the other node; it is freed after this call
 * @written: a write has ended, so that the queues may have room; may be NULL
 * @rtt_measured: the round-trip time in microseconds was measured; may be NULL
 */
typedef struct
{
  sgr_result_t (*ready) (void *ctx, sgr_peer_conn_t *conn);
  sgr_result_t (*frame) (void *ctx, sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame);
  void (*closed) (void *ctx, sgr_peer_conn_t *conn, sgr_peer_close_t reason);
  void (*written) (void *ctx);
  void (*rtt_measured) (void *ctx, sgr_peer_conn_t *conn, uint64_t rtt_us);
} sgr_peer_conn_handlers_t;

/**
 * sgr_peer_conn_accept() - create a connection from an accepted socket
 * @env: shared environment
 * @sock: the socket, which the connection then owns
 * @handlers: callbacks; none is called before this function has returned
 * @ctx: passed to the callbacks
 */
sgr_peer_conn_t *sgr_peer_conn_accept (const sgr_peer_conn_env_t *env, h2o_socket_t *sock,
                                       const sgr_peer_conn_handlers_t *handlers, void *ctx);

/**
 * sgr_peer_conn_connect() - open a connection; frames may be queued before it is established
 * @env: shared environment
 * @address: data address of the other node
 * @handlers: callbacks; none is called before this function has returned
 * @ctx: passed to the callbacks
 *
 * Return: the connection. If it cannot even be begun, because there is no route or no descriptor
 * left, the callback closed follows with SGR_PEER_CLOSE_CONNECT_FAILED.
 */
sgr_peer_conn_t *sgr_peer_conn_connect (const sgr_peer_conn_env_t *env,
                                        const sgr_address_t *address,
                                        const sgr_peer_conn_handlers_t *handlers, void *ctx);

/**
 * sgr_peer_conn_send() - queue a frame
 * @conn: the connection
 * @frame: the frame, copied
 * @priority: send queue
 *
 * Return: SGR_ERR_LIMIT if the frame exceeds SGR_FRAME_MAX_BYTES, SGR_ERR_UNAVAILABLE if the
 * connection is closed.
 */
sgr_result_t sgr_peer_conn_send (sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame,
                                 sgr_peer_priority_t priority);

/**
 * sgr_peer_conn_waiting_set() - set the number of attempts that wait for the other node
 * @conn: the connection
 * @count: number of attempts; pings are sent at the heartbeat interval while it is not 0
 */
void sgr_peer_conn_waiting_set (sgr_peer_conn_t *conn, size_t count);

/**
 * sgr_peer_conn_finish() - send what is queued, then end the sending side
 * @conn: the connection
 *
 * Received frames are discarded from now on. The callback closed follows when the other node has
 * closed its side, or has neither read nor sent a byte for silence_us. Closing the socket at once
 * instead would reset the connection if input is unread, and the other node could lose the end of
 * an answer.
 */
void sgr_peer_conn_finish (sgr_peer_conn_t *conn);

/** sgr_peer_conn_close() - close and free a connection without a callback */
void sgr_peer_conn_close (sgr_peer_conn_t *conn);

/** sgr_peer_conn_queued() - bytes that are queued or being written */
size_t sgr_peer_conn_queued (const sgr_peer_conn_t *conn);

/** sgr_peer_conn_far_set() - set whether the other node is in another failure domain */
void sgr_peer_conn_far_set (sgr_peer_conn_t *conn, bool is_far);

/** sgr_peer_traffic_name() - name of a kind of traffic in metrics, a static string */
const char *sgr_peer_traffic_name (sgr_peer_traffic_t traffic);

/** sgr_peer_conn_is_ready() - whether the other node's Hello arrived */
bool sgr_peer_conn_is_ready (const sgr_peer_conn_t *conn);

/** sgr_peer_conn_node() - id of the other node, 0 before its Hello */
sgr_node_id_t sgr_peer_conn_node (const sgr_peer_conn_t *conn);

/** sgr_peer_conn_boot() - boot id of the other node, 0 before its Hello */
sgr_boot_id_t sgr_peer_conn_boot (const sgr_peer_conn_t *conn);

/** sgr_peer_conn_key_generation() - key generation of the other node's gate, from its Hello */
uint64_t sgr_peer_conn_key_generation (const sgr_peer_conn_t *conn);

/** sgr_peer_close_name() - name of a reason in logs and metrics, a static string */
const char *sgr_peer_close_name (sgr_peer_close_t reason);

#endif
