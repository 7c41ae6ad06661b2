#include "peer_conn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "socket_input.h"

/* Maximum size of the bulk frames in one write. It bounds the time that an urgent frame waits for a
   write in progress. A single larger frame is sent nevertheless. */
#define BULK_WRITE_MAX_BYTES (64U * 1024)
/* Weight of a longer sample in the round-trip time. A shorter one replaces it at once, because
   queues and busy processes only lengthen samples. */
#define RTT_RISE_DIVISOR 16

/**
 * struct sgr_peer_conn_t - a connection to another node
 * @env: what all connections of the task share
 * @handlers: callbacks of the owner
 * @ctx: passed to the callbacks
 * @sock: socket, NULL after the close
 * @is_connected: the TCP connection is established
 * @is_ready: the other node's Hello arrived
 * @is_far: the other node is in another failure domain
 * @is_finishing: no frame is accepted any more; the sending side is shut down once all queued
 *                frames are written
 * @is_closed: closed; a timer frees the connection
 * @remote_node: node id from the other node's Hello
 * @remote_boot: boot id from the other node's Hello
 * @remote_generation: key generation from the other node's Hello
 * @urgent: encoded frames of the urgent queue
 * @bulk: encoded frames of the bulk queue
 * @writing: bytes of the write in progress, empty if there is none
 * @memory: counts the bytes of the three buffers
 * @waiting_attempts: attempts that wait for the other node
 * @heartbeat: pings and silence check, also while the connection finishes; frees it after the close
 * @connect_failure: reports a connection that could not be begun
 * @heartbeat_due_us: time for which @heartbeat is set
 * @silent_since_us: start of the silence that is measured: the last received byte, the first ping
 *                   on an idle connection, the first waiting attempt, or the end of a pause of this
 *                   process
 * @is_ping_unanswered: no byte arrived since the last ping
 * @connect_us: when the connection was begun by this side, 0 otherwise
 * @rtt_us: round-trip time to the other node in microseconds, 0 if not measured
 */
struct sgr_peer_conn_t
{
  const sgr_peer_conn_env_t *env;
  const sgr_peer_conn_handlers_t *handlers;
  void *ctx;
  h2o_socket_t *sock;
  bool is_connected;
  bool is_ready;
  bool is_far;
  bool is_finishing;
  bool is_closed;
  sgr_node_id_t remote_node;
  sgr_boot_id_t remote_boot;
  uint64_t remote_generation;
  sgr_buffer_t urgent;
  sgr_buffer_t bulk;
  sgr_buffer_t writing;
  sgr_memory_holder_t memory;
  size_t waiting_attempts;
  sgr_timer_t heartbeat;
  sgr_timer_t connect_failure;
  uint64_t heartbeat_due_us;
  uint64_t silent_since_us;
  bool is_ping_unanswered;
  uint64_t connect_us;
  uint64_t rtt_us;
};

static void flush_queues (sgr_peer_conn_t *conn);

const char *
sgr_peer_close_name (sgr_peer_close_t reason)
{
  static const char *const names[SGR_PEER_CLOSE_COUNT]
      = { "remote", "connect-failed", "silent", "bad-frame", "bad-hello" };

  return reason < SGR_PEER_CLOSE_COUNT ? names[reason] : "unknown";
}

const char *
sgr_peer_traffic_name (sgr_peer_traffic_t traffic)
{
  static const char *const names[SGR_PEER_TRAFFIC_COUNT] = { "call", "answer", "load", "control" };

  return traffic < SGR_PEER_TRAFFIC_COUNT ? names[traffic] : "unknown";
}

static sgr_peer_traffic_t
frame_traffic (const Sgr__Pb__PeerFrame *frame)
{
  switch (frame->body_case)
    {
    case SGR__PB__PEER_FRAME__BODY_CALL:
    case SGR__PB__PEER_FRAME__BODY_CALL_BODY:
      return SGR_PEER_TRAFFIC_CALL;
    case SGR__PB__PEER_FRAME__BODY_ANSWER_HEAD:
    case SGR__PB__PEER_FRAME__BODY_ANSWER_CHUNK:
    case SGR__PB__PEER_FRAME__BODY_ANSWER_END:
    case SGR__PB__PEER_FRAME__BODY_REFUSAL:
      return SGR_PEER_TRAFFIC_ANSWER;
    case SGR__PB__PEER_FRAME__BODY_LOAD:
      return SGR_PEER_TRAFFIC_LOAD;
    default:
      return SGR_PEER_TRAFFIC_CONTROL;
    }
}

static void
conn_free (sgr_peer_conn_t *conn)
{
  sgr_memory_holder_end (&conn->memory);
  sgr_buffer_release (&conn->urgent);
  sgr_buffer_release (&conn->bulk);
  sgr_buffer_release (&conn->writing);
  free (conn);
}

static void
on_free_timer (void *ctx, uint64_t now_us)
{
  conn_free (ctx);
}

/* Closes the socket. A timer frees the connection later, because functions further up the call
   stack still use it. */
static void
conn_dispose (sgr_peer_conn_t *conn)
{
  conn->is_closed = true;
  sgr_timer_cancel (conn->env->timers, &conn->connect_failure);
  conn->heartbeat.fire = on_free_timer;
  sgr_timer_arm (conn->env->timers, &conn->heartbeat, 0);
  if (conn->sock != NULL)
    {
      conn->sock->data = NULL;
      h2o_socket_close (conn->sock);
      conn->sock = NULL;
    }
}

void
sgr_peer_conn_close (sgr_peer_conn_t *conn)
{
  if (conn->is_closed)
    return;
  conn_dispose (conn);
}

/* Closes the connection, counts the reason and reports it to the owner. */
static void
conn_fail (sgr_peer_conn_t *conn, sgr_peer_close_t reason)
{
  if (conn->is_closed)
    return;
  sgr_counter_add (conn->env->closed[reason], 1);
  conn_dispose (conn);
  conn->handlers->closed (conn->ctx, conn, reason);
}

/* Gives the other node, while this side finishes, another silence_us to read or to close. */
static void
progress_record (sgr_peer_conn_t *conn)
{
  conn->silent_since_us = sgr_clock_monotonic_us ();
  sgr_timer_arm (conn->env->timers, &conn->heartbeat,
                 conn->silent_since_us + conn->env->silence_us);
}

static void
on_written (h2o_socket_t *sock, const char *err)
{
  sgr_peer_conn_t *conn = sock->data;

  if (conn == NULL)
    return;
  sgr_counter_add (conn->env->bytes_out, conn->writing.length);
  sgr_memory_budget_release (&conn->memory, conn->writing.length);
  conn->writing.length = 0;
  if (err != NULL)
    {
      conn_fail (conn, SGR_PEER_CLOSE_REMOTE);
      return;
    }
  if (conn->is_finishing)
    progress_record (conn);
  flush_queues (conn);
  if (conn->handlers->written != NULL && !conn->is_closed && !conn->is_finishing)
    conn->handlers->written (conn->ctx);
}

/* Returns the length of the frames at the front of the bulk queue that fit into one write, at least
   of the first frame. */
static size_t
bulk_write_length (const sgr_peer_conn_t *conn)
{
  size_t bulk_length = 0;

  while (bulk_length < conn->bulk.length)
    {
      const uint8_t *head = conn->bulk.bytes + bulk_length;
      size_t body = (size_t)head[0] << 24 | (size_t)head[1] << 16 | (size_t)head[2] << 8 | head[3];

      if (bulk_length > 0 && bulk_length + SGR_FRAME_HEADER_BYTES + body > BULK_WRITE_MAX_BYTES)
        break;
      bulk_length += SGR_FRAME_HEADER_BYTES + body;
    }
  return bulk_length;
}

static void
flush_queues (sgr_peer_conn_t *conn)
{
  h2o_iovec_t vector;
  sgr_buffer_t empty;
  size_t bulk_length;

  if (!conn->is_connected || conn->writing.length > 0 || conn->is_closed)
    return;
  /* Swaps the buffers: the queued urgent frames are written now, and the empty buffer of the last
     write becomes the urgent queue. */
  empty = conn->writing;
  conn->writing = conn->urgent;
  conn->urgent = empty;
  bulk_length = bulk_write_length (conn);
  sgr_buffer_append (&conn->writing, conn->bulk.bytes, bulk_length);
  sgr_buffer_consume (&conn->bulk, bulk_length);
  if (conn->writing.length == 0)
    {
      if (conn->is_finishing)
        shutdown (h2o_socket_get_fd (conn->sock), SHUT_WR);
      return;
    }
  vector = h2o_iovec_init (conn->writing.bytes, conn->writing.length);
  h2o_socket_write (conn->sock, &vector, 1, on_written);
}

sgr_result_t
sgr_peer_conn_send (sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame,
                    sgr_peer_priority_t priority)
{
  sgr_buffer_t *queue = priority == SGR_PEER_BULK ? &conn->bulk : &conn->urgent;
  size_t length = queue->length;
  sgr_result_t result;

  if (conn->is_closed || conn->is_finishing)
    return SGR_ERR_UNAVAILABLE;
  result = sgr_frame_append (queue, frame);
  if (result != SGR_OK)
    return result;
  sgr_memory_budget_charge (&conn->memory, queue->length - length, sgr_clock_monotonic_us ());
  if (conn->is_far)
    sgr_counter_add (conn->env->far_bytes_out[frame_traffic (frame)], queue->length - length);
  flush_queues (conn);
  return SGR_OK;
}

size_t
sgr_peer_conn_queued (const sgr_peer_conn_t *conn)
{
  return conn->urgent.length + conn->bulk.length + conn->writing.length;
}

void
sgr_peer_conn_far_set (sgr_peer_conn_t *conn, bool is_far)
{
  conn->is_far = is_far;
}

void
sgr_peer_conn_finish (sgr_peer_conn_t *conn)
{
  if (conn->is_closed || conn->is_finishing)
    return;
  conn->is_finishing = true;
  progress_record (conn);
  flush_queues (conn);
}

static void
send_hello (sgr_peer_conn_t *conn)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Hello hello = SGR__PB__HELLO__INIT;
  Sgr__Pb__LoadReport load = SGR__PB__LOAD_REPORT__INIT;

  hello.version = SGR_FRAME_VERSION;
  hello.node = conn->env->node;
  hello.boot = conn->env->boot;
  conn->env->load_fill (conn->env->load_ctx, &load);
  hello.load = &load;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_HELLO;
  frame.hello = &hello;
  sgr_peer_conn_send (conn, &frame, SGR_PEER_URGENT);
}

static void
send_ping (sgr_peer_conn_t *conn)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Ping ping = SGR__PB__PING__INIT;

  frame.body_case = SGR__PB__PEER_FRAME__BODY_PING;
  ping.token = sgr_clock_monotonic_us ();
  frame.ping = &ping;
  conn->is_ping_unanswered = true;
  sgr_peer_conn_send (conn, &frame, SGR_PEER_URGENT);
}

static void
send_pong (sgr_peer_conn_t *conn, uint64_t token)
{
  Sgr__Pb__PeerFrame frame = SGR__PB__PEER_FRAME__INIT;
  Sgr__Pb__Pong pong = SGR__PB__PONG__INIT;

  pong.token = token;
  frame.body_case = SGR__PB__PEER_FRAME__BODY_PONG;
  frame.pong = &pong;
  sgr_peer_conn_send (conn, &frame, SGR_PEER_URGENT);
}

/* Takes a sample of the round-trip time from the time at which a message was sent that the other
   node answers at once. */
static void
rtt_sample (sgr_peer_conn_t *conn, uint64_t sent_us)
{
  uint64_t now_us = sgr_clock_monotonic_us ();
  uint64_t sample_us = now_us - sent_us;

  if (sent_us == 0 || sent_us >= now_us || sample_us > conn->env->silence_us)
    return;
  if (conn->rtt_us == 0 || sample_us < conn->rtt_us)
    conn->rtt_us = sample_us;
  else
    conn->rtt_us += (sample_us - conn->rtt_us) / RTT_RISE_DIVISOR;
  if (conn->handlers->rtt_measured != NULL)
    conn->handlers->rtt_measured (conn->ctx, conn, conn->rtt_us);
}

static void
heartbeat_arm (sgr_peer_conn_t *conn, uint64_t now_us)
{
  uint64_t interval = conn->waiting_attempts > 0 || conn->is_ping_unanswered || !conn->is_ready
                          ? conn->env->heartbeat_us
                          : conn->env->idle_ping_us;

  conn->heartbeat_due_us = now_us + interval;
  sgr_timer_arm (conn->env->timers, &conn->heartbeat, conn->heartbeat_due_us);
}

static void
on_heartbeat (void *ctx, uint64_t now_us)
{
  sgr_peer_conn_t *conn = ctx;

  if (conn->is_finishing)
    {
      conn_fail (conn, SGR_PEER_CLOSE_SILENT);
      return;
    }
  /* A timer that fires this late shows that this process was paused. Unread input may wait in the
     socket, so the other node does not count as silent. */
  if (now_us > conn->heartbeat_due_us + conn->env->heartbeat_us)
    conn->silent_since_us = now_us;
  if (now_us - conn->silent_since_us >= conn->env->silence_us
      && (conn->is_ping_unanswered || !conn->is_ready))
    {
      /* No frame is written before the connection is established. SGR_PEER_CLOSE_CONNECT_FAILED
         reports this to the owner. */
      conn_fail (conn, conn->is_connected ? SGR_PEER_CLOSE_SILENT : SGR_PEER_CLOSE_CONNECT_FAILED);
      return;
    }
  if (conn->is_ready && now_us - conn->silent_since_us >= conn->env->heartbeat_us)
    {
      if (!conn->is_ping_unanswered && conn->waiting_attempts == 0)
        conn->silent_since_us = now_us; /* on an idle connection, silence counts from the ping */
      send_ping (conn);
    }
  if (!conn->is_closed)
    heartbeat_arm (conn, now_us);
}

void
sgr_peer_conn_waiting_set (sgr_peer_conn_t *conn, size_t count)
{
  bool was_idle = conn->waiting_attempts == 0;

  conn->waiting_attempts = count;
  if (conn->is_closed || conn->is_finishing || !was_idle || count == 0)
    return;
  if (!conn->is_ping_unanswered)
    conn->silent_since_us = sgr_clock_monotonic_us ();
  heartbeat_arm (conn, sgr_clock_monotonic_us ());
}

static sgr_result_t
hello_handle (sgr_peer_conn_t *conn, const Sgr__Pb__Hello *hello)
{
  if (conn->is_ready || hello->version != SGR_FRAME_VERSION || hello->node == 0
      || hello->load == NULL)
    return SGR_ERR_INVALID;
  conn->is_ready = true;
  conn->remote_node = hello->node;
  conn->remote_boot = hello->boot;
  conn->remote_generation = hello->load->key_generation;
  return conn->handlers->ready (conn->ctx, conn);
}

/* Returns false if the connection was closed. */
static bool
frame_dispatch (sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame)
{
  sgr_result_t result = SGR_OK;

  if (frame->body_case == SGR__PB__PEER_FRAME__BODY_HELLO)
    {
      if (hello_handle (conn, frame->hello) != SGR_OK)
        conn_fail (conn, SGR_PEER_CLOSE_BAD_HELLO);
      return !conn->is_closed;
    }
  if (!conn->is_ready)
    {
      conn_fail (conn, SGR_PEER_CLOSE_BAD_HELLO);
      return false;
    }
  if (frame->body_case == SGR__PB__PEER_FRAME__BODY_PING)
    send_pong (conn, frame->ping->token);
  else if (frame->body_case == SGR__PB__PEER_FRAME__BODY_PONG)
    rtt_sample (conn, frame->pong->token);
  else
    result = conn->handlers->frame (conn->ctx, conn, frame);
  if (result != SGR_OK)
    conn_fail (conn, SGR_PEER_CLOSE_BAD_FRAME);
  return !conn->is_closed;
}

static void
input_decode (sgr_peer_conn_t *conn)
{
  Sgr__Pb__PeerFrame *frame;
  size_t consumed;
  bool is_open = true;

  while (is_open)
    {
      h2o_buffer_t *input = conn->sock->input;

      if (sgr_frame_decode ((const uint8_t *)input->bytes, input->size, &frame, &consumed)
          != SGR_OK)
        {
          conn_fail (conn, SGR_PEER_CLOSE_BAD_FRAME);
          return;
        }
      if (frame == NULL)
        return;
      h2o_buffer_consume (&conn->sock->input, consumed);
      is_open = frame_dispatch (conn, frame);
      sgr_frame_free (frame);
    }
}

static void
on_read (h2o_socket_t *sock, const char *err)
{
  sgr_peer_conn_t *conn = sock->data;

  if (conn == NULL)
    return;
  if (err != NULL)
    {
      conn_fail (conn, SGR_PEER_CLOSE_REMOTE);
      return;
    }
  sgr_counter_add (conn->env->bytes_in, sock->bytes_read);
  sock->bytes_read = 0;
  if (conn->is_finishing)
    {
      h2o_buffer_consume (&sock->input, sock->input->size);
      progress_record (conn);
      return;
    }
  conn->silent_since_us = sgr_clock_monotonic_us ();
  conn->is_ping_unanswered = false;
  input_decode (conn);
  if (!conn->is_closed)
    sgr_socket_input_shrink (sock);
}

static void
conn_start (sgr_peer_conn_t *conn)
{
  int enable = 1;

  conn->is_connected = true;
  setsockopt (h2o_socket_get_fd (conn->sock), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  h2o_socket_read_start (conn->sock, on_read);
  flush_queues (conn);
}

static void
on_connect_failure (void *ctx, uint64_t now_us)
{
  conn_fail (ctx, SGR_PEER_CLOSE_CONNECT_FAILED);
}

static sgr_peer_conn_t *
conn_create (const sgr_peer_conn_env_t *env, const sgr_peer_conn_handlers_t *handlers, void *ctx)
{
  sgr_peer_conn_t *conn = calloc (1, sizeof *conn);

  sgr_invariant (conn != NULL);
  conn->env = env;
  conn->handlers = handlers;
  conn->ctx = ctx;
  conn->heartbeat = (sgr_timer_t){ .fire = on_heartbeat, .ctx = conn };
  conn->connect_failure = (sgr_timer_t){ .fire = on_connect_failure, .ctx = conn };
  conn->silent_since_us = sgr_clock_monotonic_us ();
  conn->memory.kind = SGR_MEMORY_PEER;
  sgr_memory_holder_begin (&conn->memory, env->memory, conn->silent_since_us);
  send_hello (conn);
  heartbeat_arm (conn, conn->silent_since_us);
  return conn;
}

sgr_peer_conn_t *
sgr_peer_conn_accept (const sgr_peer_conn_env_t *env, h2o_socket_t *sock,
                      const sgr_peer_conn_handlers_t *handlers, void *ctx)
{
  sgr_peer_conn_t *conn = conn_create (env, handlers, ctx);

  conn->sock = sock;
  sock->data = conn;
  conn_start (conn);
  return conn;
}

static void
on_connect (h2o_socket_t *sock, const char *err)
{
  sgr_peer_conn_t *conn = sock->data;

  if (conn == NULL)
    return;
  if (err != NULL)
    conn_fail (conn, SGR_PEER_CLOSE_CONNECT_FAILED);
  else
    {
      rtt_sample (conn, conn->connect_us);
      conn_start (conn);
    }
}

sgr_peer_conn_t *
sgr_peer_conn_connect (const sgr_peer_conn_env_t *env, const sgr_address_t *address,
                       const sgr_peer_conn_handlers_t *handlers, void *ctx)
{
  struct sockaddr_in peer_address = { .sin_family = AF_INET,
                                      .sin_port = htons (address->port),
                                      .sin_addr.s_addr = htonl (address->ip) };
  sgr_peer_conn_t *conn = conn_create (env, handlers, ctx);

  conn->connect_us = sgr_clock_monotonic_us ();
  conn->sock = h2o_socket_connect (env->loop, (struct sockaddr *)&peer_address, sizeof peer_address,
                                   on_connect);
  if (conn->sock != NULL)
    conn->sock->data = conn;
  else
    sgr_timer_arm (env->timers, &conn->connect_failure, conn->connect_us);
  return conn;
}

bool
sgr_peer_conn_is_ready (const sgr_peer_conn_t *conn)
{
  return conn->is_ready;
}

sgr_node_id_t
sgr_peer_conn_node (const sgr_peer_conn_t *conn)
{
  return conn->remote_node;
}

sgr_boot_id_t
sgr_peer_conn_boot (const sgr_peer_conn_t *conn)
{
  return conn->remote_boot;
}

uint64_t
sgr_peer_conn_key_generation (const sgr_peer_conn_t *conn)
{
  return conn->remote_generation;
}
