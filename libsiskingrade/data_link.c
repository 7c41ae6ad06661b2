#include "data_link.h"

#include <stdlib.h>

#include "data_call.h"
#include "data_peer.h"
#include "data_quota.h"
#include "log.h"

/* A connection is closed if no attempt has used it for this long. */
#define IDLE_CLOSE_US (60ULL * SGR_USEC_PER_SEC)
/* Bytes in the queue of a link from which on large bodies wait. It covers 14 ms at 150 Mbit/s, so
   that a link is not idle while the next part of a body is queued. */
#define QUEUE_ROOM_BYTES (256U * 1024)

/**
 * struct sgr_data_link_t - link to the gate of one node
 * @conn: connection to the node, NULL if there is none
 * @is_local: the gate is that of this node; there is never a connection
 * @boot: boot id of the node, from the last connection that was ready
 * @key_generation: key generation of the gate, as last received
 * @has_key_generation: @key_generation was received and belongs to @boot
 * @attempts: list of the attempts that wait for frames from the gate
 * @attempt_count: elements of @attempts
 * @first_body: oldest attempt whose body waits for room in the queue
 * @last_body: newest of these attempts
 * @idle_timer: closes the connection after IDLE_CLOSE_US without an attempt
 * @lost_us: monotonic time at which a connection was lost or could not be opened; 0 once one is
 * ready
 */
struct sgr_data_link_t
{
  sgr_data_links_t *links;
  sgr_node_id_t node;
  sgr_peer_conn_t *conn;
  bool is_local;
  sgr_boot_id_t boot;
  uint64_t key_generation;
  bool has_key_generation;
  sgr_data_attempt_t *attempts;
  size_t attempt_count;
  sgr_data_attempt_t *first_body;
  sgr_data_attempt_t *last_body;
  sgr_timer_t idle_timer;
  uint64_t lost_us;
};

/* Frames in one direction between the entry and the gate of this node. They are encoded into a
   buffer and delivered by a timer, so that neither side is called from within its own call to the
   other. */
typedef struct
{
  sgr_buffer_t frames;
  sgr_timer_t timer;
} local_queue_t;

/**
 * struct sgr_data_links_t - all links of the task
 * @by_node: links by node id
 * @local: link to the gate of this node
 * @local_channel: channel from that gate back to the entry of this node
 * @local_calls: calls from @local whose body has not arrived completely
 * @to_gate: frames from the entry to the gate of this node
 * @to_entry: frames from the gate to the entry of this node
 * @late_frames: frames for attempts that have ended already
 */
struct sgr_data_links_t
{
  sgr_data_task_t *task;
  sgr_id_map_t *by_node;
  sgr_data_link_t *local;
  sgr_data_channel_t local_channel;
  sgr_data_calls_t *local_calls;
  local_queue_t to_gate;
  local_queue_t to_entry;
  sgr_counter_t *late_frames;
};

/* Passes a frame from a gate to its attempt. */
static sgr_result_t
entry_frame_handle (sgr_data_link_t *link, const Sgr__Pb__PeerFrame *frame)
{
  sgr_data_task_t *task = link->links->task;
  sgr_data_attempt_t *attempt;
  sgr_attempt_id_t id;

  if (!sgr_frame_attempt_id (frame, &id))
    return SGR_ERR_INVALID;
  attempt = sgr_id_map_get (task->attempts, sgr_data_attempt_map_key (&id));
  if (attempt == NULL || attempt->link != link || !sgr_attempt_id_equal (&attempt->id, &id))
    {
      sgr_counter_add (link->links->late_frames, 1);
      return SGR_OK;
    }
  return sgr_data_attempt_frame_handle (attempt, frame);
}

static void
local_queue_deliver (local_queue_t *queue,
                     sgr_result_t (*deliver) (void *, const Sgr__Pb__PeerFrame *), void *ctx)
{
  sgr_buffer_t frames = queue->frames;
  size_t offset = 0;

  queue->frames = (sgr_buffer_t){ 0 };
  while (offset < frames.length)
    {
      Sgr__Pb__PeerFrame *frame;
      size_t consumed;
      sgr_result_t result
          = sgr_frame_decode (frames.bytes + offset, frames.length - offset, &frame, &consumed);

      sgr_invariant (result == SGR_OK && frame != NULL);
      offset += consumed;
      deliver (ctx, frame);
      sgr_frame_free (frame);
    }
  sgr_buffer_release (&frames);
}

static sgr_result_t
gate_frame_deliver (void *ctx, const Sgr__Pb__PeerFrame *frame)
{
  sgr_data_links_t *links = ctx;
  sgr_result_t result
      = sgr_data_calls_frame_handle (links->local_calls, &links->local_channel, frame);

  sgr_invariant (result == SGR_OK);
  return result;
}

static sgr_result_t
entry_frame_deliver (void *ctx, const Sgr__Pb__PeerFrame *frame)
{
  return entry_frame_handle (ctx, frame);
}

/* Removes an attempt from the bodies that wait for room. */
static void
body_remove (sgr_data_link_t *link, sgr_data_attempt_t *attempt)
{
  sgr_data_attempt_t *previous = NULL;
  sgr_data_attempt_t *at = link->first_body;

  while (at != NULL && at != attempt)
    {
      previous = at;
      at = at->body_next;
    }
  if (at == NULL)
    return;
  if (previous != NULL)
    previous->body_next = at->body_next;
  else
    link->first_body = at->body_next;
  if (link->last_body == at)
    link->last_body = previous;
  at->body_next = NULL;
}

/* Sends further parts of the large bodies that wait for room in the queue. Each body is sent to its
   end before the next one: if they took turns, all would be complete late. */
static void
bodies_continue (sgr_data_link_t *link)
{
  while (link->first_body != NULL && sgr_data_link_has_room (link))
    {
      if (!sgr_data_send_body_continue (link->first_body))
        body_remove (link, link->first_body);
    }
}

static void
on_to_gate_timer (void *ctx, uint64_t now_us)
{
  sgr_data_links_t *links = ctx;

  local_queue_deliver (&links->to_gate, gate_frame_deliver, links);
  bodies_continue (links->local);
}

static void
on_to_entry_timer (void *ctx, uint64_t now_us)
{
  sgr_data_links_t *links = ctx;

  local_queue_deliver (&links->to_entry, entry_frame_deliver, links->local);
}

static sgr_result_t
local_queue_add (sgr_data_links_t *links, local_queue_t *queue, const Sgr__Pb__PeerFrame *frame)
{
  sgr_result_t result = sgr_frame_append (&queue->frames, frame);

  if (queue->timer.position == 0)
    sgr_timer_arm (links->task->timers, &queue->timer, sgr_clock_monotonic_us ());
  return result;
}

static void
local_channel_send (void *ctx, const Sgr__Pb__PeerFrame *frame, sgr_peer_priority_t priority)
{
  sgr_data_links_t *links = ctx;

  local_queue_add (links, &links->to_entry, frame);
}

static void
on_idle_timer (void *ctx, uint64_t now_us)
{
  sgr_data_link_t *link = ctx;

  if (link->attempt_count > 0)
    return;
  if (link->conn != NULL)
    sgr_peer_conn_close (link->conn);
  link->conn = NULL;
  if (link->is_local || sgr_data_member_find (link->links->task, link->node) != NULL)
    return;
  sgr_id_map_remove (link->links->by_node, link->node);
  free (link);
}

static sgr_data_link_t *
link_add (sgr_data_links_t *links, sgr_node_id_t node)
{
  sgr_data_link_t *link = calloc (1, sizeof *link);

  sgr_invariant (link != NULL);
  link->links = links;
  link->node = node;
  link->is_local = node == links->task->node;
  link->idle_timer = (sgr_timer_t){ .fire = on_idle_timer, .ctx = link };
  sgr_id_map_put (links->by_node, node, link);
  return link;
}

sgr_data_links_t *
sgr_data_links_create (sgr_data_task_t *task)
{
  sgr_data_links_t *links = calloc (1, sizeof *links);

  sgr_invariant (links != NULL);
  links->task = task;
  links->by_node = sgr_id_map_create ();
  links->local = link_add (links, task->node);
  links->local_channel = (sgr_data_channel_t){
    .node = task->node, .boot = task->boot, .send = local_channel_send, .ctx = links
  };
  links->local_calls
      = sgr_data_calls_create (task->gate, task->memory, task->settings->request_body_max_bytes);
  links->to_gate.timer = (sgr_timer_t){ .fire = on_to_gate_timer, .ctx = links };
  links->to_entry.timer = (sgr_timer_t){ .fire = on_to_entry_timer, .ctx = links };
  links->late_frames = sgr_metrics_counter (task->metrics, "siskingrade_late_frames_total", "");
  return links;
}

void
sgr_data_links_destroy (sgr_data_links_t *links)
{
  sgr_data_link_t *link;
  size_t cursor = 0;

  if (links == NULL)
    return;
  while ((link = sgr_id_map_next (links->by_node, &cursor)) != NULL)
    {
      sgr_timer_cancel (links->task->timers, &link->idle_timer);
      if (link->conn != NULL)
        sgr_peer_conn_close (link->conn);
      free (link);
    }
  sgr_timer_cancel (links->task->timers, &links->to_gate.timer);
  sgr_timer_cancel (links->task->timers, &links->to_entry.timer);
  sgr_buffer_release (&links->to_gate.frames);
  sgr_buffer_release (&links->to_entry.frames);
  sgr_data_calls_destroy (links->local_calls);
  sgr_id_map_destroy (links->by_node);
  free (links);
}

sgr_data_link_t *
sgr_data_link_get (sgr_data_links_t *links, sgr_node_id_t node)
{
  sgr_data_link_t *link = sgr_id_map_get (links->by_node, node);

  if (node != links->task->node && sgr_data_member_find (links->task, node) == NULL)
    return NULL;
  return link != NULL ? link : link_add (links, node);
}

static const char *
peer_name (const sgr_data_link_t *link)
{
  const sgr_member_t *member = sgr_data_member_find (link->links->task, link->node);

  return member != NULL ? member->name : "-";
}

/* Logs the loss of a peer once; failed attempts to reconnect are not logged until it is back. */
static void
connection_loss_log (sgr_data_link_t *link, sgr_peer_close_t reason)
{
  if (link->lost_us != 0)
    return;
  link->lost_us = sgr_clock_monotonic_us ();
  sgr_log_warn ("peer-lost", "peer=%s reason=%s open_attempts=%zu", peer_name (link),
                sgr_peer_close_name (reason), link->attempt_count);
}

static sgr_result_t
on_ready (void *ctx, sgr_peer_conn_t *conn)
{
  sgr_data_link_t *link = ctx;

  /* If the node has left, its address may belong to another node now. */
  if (sgr_peer_conn_node (conn) != link->node)
    return SGR_ERR_INVALID;
  link->boot = sgr_peer_conn_boot (conn);
  link->key_generation = sgr_peer_conn_key_generation (conn);
  link->has_key_generation = true;
  if (link->lost_us != 0)
    sgr_log_info ("peer-regained", "peer=%s after_ms=%lu", peer_name (link),
                  sgr_ms_of (sgr_clock_monotonic_us () - link->lost_us));
  link->lost_us = 0;
  return SGR_OK;
}

static sgr_result_t
on_frame (void *ctx, sgr_peer_conn_t *conn, const Sgr__Pb__PeerFrame *frame)
{
  sgr_data_link_t *link = ctx;

  if (frame->body_case == SGR__PB__PEER_FRAME__BODY_LOAD)
    {
      sgr_data_services_load_report_apply (link->links->task->services, link->node, frame->load);
      return SGR_OK;
    }
  if (frame->body_case == SGR__PB__PEER_FRAME__BODY_QUOTA_REPLY)
    return sgr_data_quotas_reply_handle (link->links->task->quotas, link->node, frame->quota_reply);
  return entry_frame_handle (ctx, frame);
}

static void
on_closed (void *ctx, sgr_peer_conn_t *conn, sgr_peer_close_t reason)
{
  sgr_data_link_t *link = ctx;
  sgr_data_attempt_t *attempt;

  link->conn = NULL;
  connection_loss_log (link, reason);
  for (attempt = link->attempts; attempt != NULL; attempt = attempt->link_next)
    attempt->is_loss_pending = true;
  /* Handling one attempt may end its call, which removes other attempts from the list. So each
     iteration starts again at the head of the list. */
  for (attempt = link->attempts; attempt != NULL;)
    {
      if (!attempt->is_loss_pending)
        {
          attempt = attempt->link_next;
          continue;
        }
      attempt->is_loss_pending = false;
      if (reason == SGR_PEER_CLOSE_CONNECT_FAILED)
        sgr_data_attempt_connect_failed (attempt);
      else
        sgr_data_attempt_connection_lost (attempt);
      attempt = link->attempts;
    }
}

static void
on_written (void *ctx)
{
  bodies_continue (ctx);
}

static void
on_rtt_measured (void *ctx, sgr_peer_conn_t *conn, uint64_t rtt_us)
{
  sgr_data_link_t *link = ctx;

  sgr_data_services_link_rtt_set (link->links->task->services, link->node, rtt_us);
}

static const sgr_peer_conn_handlers_t conn_handlers = {
  .ready = on_ready,
  .frame = on_frame,
  .closed = on_closed,
  .written = on_written,
  .rtt_measured = on_rtt_measured,
};

sgr_result_t
sgr_data_link_open (sgr_data_link_t *link)
{
  const sgr_member_t *member;

  if (link->is_local || link->conn != NULL)
    return SGR_OK;
  member = sgr_data_member_find (link->links->task, link->node);
  if (member == NULL)
    return SGR_ERR_UNAVAILABLE;
  link->conn = sgr_peer_conn_connect (&link->links->task->conn_env, &member->data_address,
                                      &conn_handlers, link);
  sgr_peer_conn_far_set (link->conn, sgr_data_member_is_far (link->links->task, member));
  sgr_peer_conn_waiting_set (link->conn, link->attempt_count);
  sgr_timer_arm (link->links->task->timers, &link->idle_timer,
                 sgr_clock_monotonic_us () + IDLE_CLOSE_US);
  return SGR_OK;
}

sgr_result_t
sgr_data_link_send (sgr_data_link_t *link, const Sgr__Pb__PeerFrame *frame,
                    sgr_peer_priority_t priority)
{
  sgr_result_t result;

  if (link->is_local)
    return local_queue_add (link->links, &link->links->to_gate, frame);
  result = sgr_data_link_open (link);
  if (result != SGR_OK)
    return result;
  return sgr_peer_conn_send (link->conn, frame, priority);
}

bool
sgr_data_link_has_waiting_body (const sgr_data_link_t *link)
{
  return link->first_body != NULL;
}

void
sgr_data_link_body_wait (sgr_data_link_t *link, sgr_data_attempt_t *attempt)
{
  attempt->body_next = NULL;
  if (link->last_body != NULL)
    link->last_body->body_next = attempt;
  else
    link->first_body = attempt;
  link->last_body = attempt;
}

bool
sgr_data_link_has_room (const sgr_data_link_t *link)
{
  if (link->is_local)
    return link->links->to_gate.frames.length < QUEUE_ROOM_BYTES;
  return link->conn != NULL && sgr_peer_conn_queued (link->conn) < QUEUE_ROOM_BYTES;
}

bool
sgr_data_link_gate_info (const sgr_data_link_t *link, sgr_boot_id_t *boot, uint64_t *key_generation)
{
  const sgr_data_task_t *task = link->links->task;
  const sgr_member_t *member = sgr_data_member_find (task, link->node);

  if (link->is_local)
    {
      Sgr__Pb__LoadReport load;

      sgr_data_gate_load_report (task->gate, &load);
      *boot = task->boot;
      *key_generation = load.key_generation;
      return true;
    }
  if (link->conn != NULL && sgr_peer_conn_is_ready (link->conn))
    *boot = link->boot;
  else
    *boot = member != NULL ? member->boot : link->boot;
  *key_generation = link->key_generation;
  return link->has_key_generation && *boot == link->boot;
}

void
sgr_data_link_keep (sgr_data_link_t *link)
{
  sgr_timer_arm (link->links->task->timers, &link->idle_timer,
                 sgr_clock_monotonic_us () + IDLE_CLOSE_US);
}

sgr_node_id_t
sgr_data_link_node (const sgr_data_link_t *link)
{
  return link->node;
}

/* Updates the connection and the idle timer after the number of attempts has changed. */
static void
attempt_count_apply (sgr_data_link_t *link)
{
  if (link->conn != NULL)
    sgr_peer_conn_waiting_set (link->conn, link->attempt_count);
  if (link->attempt_count == 0)
    sgr_timer_arm (link->links->task->timers, &link->idle_timer,
                   sgr_clock_monotonic_us () + IDLE_CLOSE_US);
}

void
sgr_data_link_attach (sgr_data_link_t *link, sgr_data_attempt_t *attempt)
{
  attempt->link = link;
  attempt->link_previous = NULL;
  attempt->link_next = link->attempts;
  if (link->attempts != NULL)
    link->attempts->link_previous = attempt;
  link->attempts = attempt;
  link->attempt_count++;
  attempt_count_apply (link);
}

void
sgr_data_link_detach (sgr_data_link_t *link, sgr_data_attempt_t *attempt)
{
  body_remove (link, attempt);
  if (attempt->link_previous != NULL)
    attempt->link_previous->link_next = attempt->link_next;
  else
    link->attempts = attempt->link_next;
  if (attempt->link_next != NULL)
    attempt->link_next->link_previous = attempt->link_previous;
  attempt->link = NULL;
  link->attempt_count--;
  attempt_count_apply (link);
}

void
sgr_data_link_key_generation_set (sgr_data_link_t *link, const Sgr__Pb__LoadReport *load)
{
  link->key_generation = load->key_generation;
  link->has_key_generation = true;
}
