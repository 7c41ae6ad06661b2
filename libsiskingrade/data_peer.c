#include "data_peer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "data_quota.h"
#include "listener.h"
#include "log.h"

typedef struct peer_t
{
  sgr_data_peers_t *peers;
  sgr_peer_conn_t *conn;
  sgr_data_channel_t channel;
  sgr_data_calls_t *calls;
  struct peer_t *next;
} peer_t;

/* An entry node that has lost its last connection and may reconnect until the timer fires. */
typedef struct lost_entry_t
{
  sgr_data_peers_t *peers;
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  sgr_timer_t timer;
  struct lost_entry_t *next;
} lost_entry_t;

/**
 * struct sgr_data_peers_t - connections of other entry nodes
 * @first: list of the connections
 * @count: elements of that list
 * @lost: list of entry nodes that may reconnect
 */
struct sgr_data_peers_t
{
  sgr_data_task_t *task;
  h2o_socket_t *listener;
  peer_t *first;
  size_t count;
  lost_entry_t *lost;
};

static void
channel_send (void *ctx, const Sgr__Pb__PeerFrame *frame, sgr_peer_priority_t priority)
{
  peer_t *peer = ctx;

  /* The result can be ignored: the gate builds no frame above the size limit, and on_closed()
     handles a closed connection. */
  sgr_peer_conn_send (peer->conn, frame, priority);
}

static sgr_result_t
on_ready (void *ctx, sgr_peer_conn_t *conn)
{
  peer_t *peer = ctx;
  const sgr_member_t *member = sgr_data_member_find (peer->peers->task, sgr_peer_conn_node (conn));

  sgr_peer_conn_far_set (conn,
                         member != NULL && sgr_data_member_is_far (peer->peers->task, member));
  peer->channel.node = sgr_peer_conn_node (conn);
  peer->channel.boot = sgr_peer_conn_boot (conn);
  return SGR_OK;
}

static sgr_result_t
on_frame (void *ctx, sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame)
{
  peer_t *peer = ctx;

  if (frame->body_case == SGR__PB__PEER_FRAME__BODY_QUOTA_REQUEST)
    return sgr_data_quotas_request_handle (peer->peers->task->quotas, &peer->channel,
                                           frame->quota_request);
  return sgr_data_calls_frame_handle (peer->calls, &peer->channel, frame);
}

static void
peer_unlink (peer_t *peer)
{
  peer_t **cursor = &peer->peers->first;

  while (*cursor != peer)
    cursor = &(*cursor)->next;
  *cursor = peer->next;
  peer->peers->count--;
}

static void
peer_free (peer_t *peer)
{
  sgr_data_calls_destroy (peer->calls);
  free (peer);
}

static bool
is_connected (const sgr_data_peers_t *peers, sgr_node_id_t node, sgr_boot_id_t boot)
{
  for (const peer_t *peer = peers->first; peer != NULL; peer = peer->next)
    {
      if (peer->channel.node == node && peer->channel.boot == boot)
        return true;
    }
  return false;
}

static void
lost_entry_free (lost_entry_t *lost)
{
  lost_entry_t **cursor = &lost->peers->lost;

  while (*cursor != lost)
    cursor = &(*cursor)->next;
  *cursor = lost->next;
  sgr_timer_cancel (lost->peers->task->timers, &lost->timer);
  free (lost);
}

static void
on_reconnect_timeout (void *ctx, uint64_t now_us)
{
  lost_entry_t *lost = ctx;

  if (!is_connected (lost->peers, lost->node, lost->boot))
    sgr_data_gate_entry_lost (lost->peers->task->gate, lost->node, lost->boot);
  lost_entry_free (lost);
}

/* Waits for an entry node to reconnect. The entry detects the loss within silence_ms and then
   queries its attempts on a new connection. */
static void
lost_entry_add (sgr_data_peers_t *peers, const sgr_data_channel_t *channel)
{
  lost_entry_t *lost;

  for (lost = peers->lost; lost != NULL; lost = lost->next)
    {
      if (lost->node == channel->node && lost->boot == channel->boot)
        return;
    }
  lost = calloc (1, sizeof *lost);
  sgr_invariant (lost != NULL);
  lost->peers = peers;
  lost->node = channel->node;
  lost->boot = channel->boot;
  lost->timer = (sgr_timer_t){ .fire = on_reconnect_timeout, .ctx = lost };
  lost->next = peers->lost;
  peers->lost = lost;
  sgr_timer_arm (peers->task->timers, &lost->timer,
                 sgr_clock_monotonic_us ()
                     + 2 * peers->task->settings->silence_ms * SGR_USEC_PER_MSEC);
}

static void
on_closed (void *ctx, sgr_peer_conn_t *conn, sgr_peer_close_t reason)
{
  peer_t *peer = ctx;
  sgr_data_peers_t *peers = peer->peers;

  sgr_data_gate_channel_closed (peers->task->gate, &peer->channel);
  peer_unlink (peer);
  if (peer->channel.node != 0 && !is_connected (peers, peer->channel.node, peer->channel.boot))
    lost_entry_add (peers, &peer->channel);
  peer_free (peer);
}

static const sgr_peer_conn_handlers_t conn_handlers = {
  .ready = on_ready,
  .frame = on_frame,
  .closed = on_closed,
};

static void
on_accept (h2o_socket_t *listener, const char *err)
{
  sgr_data_peers_t *peers = listener->data;
  h2o_socket_t *sock;
  peer_t *peer;

  if (err != NULL || (sock = h2o_evloop_socket_accept (listener)) == NULL)
    return;
  peer = calloc (1, sizeof *peer);
  sgr_invariant (peer != NULL);
  peer->peers = peers;
  peer->channel.send = channel_send;
  peer->channel.ctx = peer;
  peer->calls
      = sgr_data_calls_create (peers->task->gate, peers->task->settings->request_body_max_bytes);
  peer->next = peers->first;
  peers->first = peer;
  peers->count++;
  peer->conn = sgr_peer_conn_accept (&peers->task->conn_env, sock, &conn_handlers, peer);
}

sgr_data_peers_t *
sgr_data_peers_create (sgr_data_task_t *task, sgr_buffer_t *errors)
{
  sgr_data_peers_t *peers = calloc (1, sizeof *peers);
  sgr_address_t listen_address = task->settings->peers;
  char address[32];

  sgr_invariant (peers != NULL);
  peers->task = task;
  if (sgr_listener_open (task->loop, &listen_address, on_accept, peers, &peers->listener) == SGR_OK)
    return peers;
  sgr_address_format (&task->settings->peers, address, sizeof address);
  sgr_buffer_printf (errors, "listen.peers: cannot listen on %s: %s\n", address, strerror (errno));
  free (peers);
  return NULL;
}

void
sgr_data_peers_send (sgr_data_peers_t *peers, const Sgr__Pb__PeerFrame *frame)
{
  for (peer_t *peer = peers->first; peer != NULL; peer = peer->next)
    {
      if (peer->channel.node != 0)
        channel_send (peer, frame, SGR_PEER_URGENT);
    }
}

void
sgr_data_peers_finish (sgr_data_peers_t *peers)
{
  peer_t *next;

  if (peers->listener != NULL)
    h2o_socket_close (peers->listener);
  peers->listener = NULL;
  for (peer_t *peer = peers->first; peer != NULL; peer = next)
    {
      next = peer->next;
      sgr_peer_conn_finish (peer->conn);
    }
}

size_t
sgr_data_peers_count (const sgr_data_peers_t *peers)
{
  return peers->count;
}

void
sgr_data_peers_destroy (sgr_data_peers_t *peers)
{
  lost_entry_t *lost_next;
  peer_t *next;

  if (peers == NULL)
    return;
  if (peers->listener != NULL)
    h2o_socket_close (peers->listener);
  for (lost_entry_t *lost = peers->lost; lost != NULL; lost = lost_next)
    {
      lost_next = lost->next;
      sgr_timer_cancel (peers->task->timers, &lost->timer);
      free (lost);
    }
  for (peer_t *peer = peers->first; peer != NULL; peer = next)
    {
      next = peer->next;
      sgr_peer_conn_close (peer->conn);
      peer_free (peer);
    }
  free (peers);
}
