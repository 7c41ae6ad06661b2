#include "relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "http_probe.h"
#include "result.h"
#include "timer_heap.h"

#define CONNECTIONS_MAX 64
#define READ_BYTES_MAX 65536
#define CHUNKS_MAX 512
/* Timeout of poll(). It is short so that delayed data is sent on time even if no other data
   arrives. */
#define POLL_TIMEOUT_MS 1

/* A part of the buffer of a direction, to be sent at @due_us. */
typedef struct
{
  size_t length;
  uint64_t due_us;
} chunk_t;

/* One direction of a connection, with the data that was received but not sent yet. */
typedef struct
{
  sgr_buffer_t buffer;
  chunk_t chunks[CHUNKS_MAX];
  size_t count;
  bool is_silenced;
} direction_t;

typedef struct
{
  int client_fd; /* -1 if this array element is free */
  int server_fd;
  direction_t to_server;
  direction_t to_client;
} connection_t;

struct sgr_relay_t
{
  pthread_t thread;
  pthread_mutex_t lock;
  int listener;
  uint16_t server_port;
  connection_t connections[CONNECTIONS_MAX];
  uint64_t delay_us;
  sgr_relay_action_t pending_action; /* set by sgr_relay_action_schedule(), 0 for none */
  size_t client_read_bytes; /* a client read of this size or more triggers @pending_action */
  size_t server_bytes;      /* bytes from servers to forward before @pending_action */
  bool is_refusing;
  bool is_stopped;
};

static void
connection_close (connection_t *connection)
{
  if (connection->client_fd < 0)
    return;
  close (connection->client_fd);
  close (connection->server_fd);
  sgr_buffer_release (&connection->to_server.buffer);
  sgr_buffer_release (&connection->to_client.buffer);
  *connection = (connection_t){ .client_fd = -1, .server_fd = -1 };
}

static void
action_apply (sgr_relay_t *relay, sgr_relay_action_t action)
{
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      connection_t *connection = &relay->connections[i];

      if (action == SGR_RELAY_CLOSE)
        connection_close (connection);
      else if (connection->client_fd >= 0)
        {
          connection->to_client.is_silenced = true;
          connection->to_server.is_silenced
              = connection->to_server.is_silenced || action == SGR_RELAY_SILENCE;
        }
    }
}

static void
connection_accept (sgr_relay_t *relay)
{
  int client_fd = accept4 (relay->listener, NULL, NULL, SOCK_CLOEXEC);
  int server_fd;

  if (client_fd < 0)
    return;
  server_fd = relay->is_refusing ? -1 : sgr_probe_connect (relay->server_port);
  for (size_t i = 0; server_fd >= 0 && i < CONNECTIONS_MAX; i++)
    {
      if (relay->connections[i].client_fd < 0)
        {
          relay->connections[i].client_fd = client_fd;
          relay->connections[i].server_fd = server_fd;
          return;
        }
    }
  if (server_fd >= 0)
    close (server_fd);
  close (client_fd);
}

/* Sends all data that is due. Returns false if sending failed. */
static bool
direction_flush (direction_t *direction, int to_fd, uint64_t now_us)
{
  while (direction->count > 0 && direction->chunks[0].due_us <= now_us)
    {
      size_t length = direction->chunks[0].length;

      for (size_t offset = 0; offset < length;)
        {
          ssize_t sent
              = send (to_fd, direction->buffer.bytes + offset, length - offset, MSG_NOSIGNAL);

          if (sent <= 0)
            return false;
          offset += (size_t)sent;
        }
      sgr_buffer_consume (&direction->buffer, length);
      direction->count--;
      memmove (direction->chunks, direction->chunks + 1,
               direction->count * sizeof direction->chunks[0]);
    }
  return true;
}

/* Adds received data to a direction. If the list is full, the data joins the last chunk and is sent
   with it. */
static void
chunk_append (direction_t *direction, size_t length, uint64_t due_us)
{
  direction->buffer.length += length;
  if (direction->count < CHUNKS_MAX)
    direction->chunks[direction->count++] = (chunk_t){ .length = length, .due_us = due_us };
  else
    direction->chunks[CHUNKS_MAX - 1].length += length;
}

/* Receives data of one direction and applies the pending action if the data triggers it. Returns
   false if the connection is to be closed. */
static bool
direction_read (sgr_relay_t *relay, connection_t *connection, bool is_to_server, uint64_t now_us)
{
  direction_t *direction = is_to_server ? &connection->to_server : &connection->to_client;
  size_t *trigger_bytes = is_to_server ? &relay->client_read_bytes : &relay->server_bytes;
  uint8_t *destination = sgr_buffer_reserve (&direction->buffer, READ_BYTES_MAX);
  ssize_t received = recv (is_to_server ? connection->client_fd : connection->server_fd,
                           destination, READ_BYTES_MAX, 0);
  size_t forwarded;

  /* The end of a connection is not forwarded in a silenced direction. */
  if (received <= 0)
    return direction->is_silenced;
  if (direction->is_silenced)
    return true;
  forwarded = (size_t)received;
  if (relay->pending_action != 0 && *trigger_bytes > 0)
    {
      bool is_triggered = forwarded >= *trigger_bytes;

      if (!is_to_server && is_triggered)
        forwarded = *trigger_bytes;
      if (!is_to_server && !is_triggered)
        *trigger_bytes -= forwarded;
      chunk_append (direction, forwarded, now_us + relay->delay_us);
      if (is_triggered)
        {
          sgr_relay_action_t action = relay->pending_action;

          relay->pending_action = 0;
          direction_flush (direction, is_to_server ? connection->server_fd : connection->client_fd,
                           now_us);
          action_apply (relay, action);
        }
      return true;
    }
  chunk_append (direction, forwarded, now_us + relay->delay_us);
  return true;
}

static size_t
poll_set_fill (const sgr_relay_t *relay, struct pollfd *set)
{
  size_t count = 1;

  set[0] = (struct pollfd){ .fd = relay->listener, .events = POLLIN };
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      const connection_t *connection = &relay->connections[i];
      bool is_ignored = connection->to_server.is_silenced && connection->to_client.is_silenced;

      set[count++]
          = (struct pollfd){ .fd = is_ignored ? -1 : connection->client_fd, .events = POLLIN };
      set[count++]
          = (struct pollfd){ .fd = is_ignored ? -1 : connection->server_fd, .events = POLLIN };
    }
  return count;
}

static void
connection_serve (sgr_relay_t *relay, connection_t *connection, const struct pollfd *set,
                  uint64_t now_us)
{
  bool is_open = true;

  /* If this connection was accepted after poll() was called, the events may belong to an earlier
     connection in the same array element. */
  if (connection->client_fd < 0 || (set[0].revents != 0 && set[0].fd != connection->client_fd))
    return;
  if (set[0].revents != 0)
    is_open = direction_read (relay, connection, true, now_us);
  if (is_open && connection->client_fd >= 0 && set[1].revents != 0
      && set[1].fd == connection->server_fd)
    is_open = direction_read (relay, connection, false, now_us);
  if (connection->client_fd < 0)
    return;
  if (is_open)
    is_open = direction_flush (&connection->to_server, connection->server_fd, now_us)
              && direction_flush (&connection->to_client, connection->client_fd, now_us);
  if (!is_open)
    connection_close (connection);
}

static void *
relay_run (void *argument)
{
  sgr_relay_t *relay = argument;
  struct pollfd set[1 + 2 * CONNECTIONS_MAX];

  while (!relay->is_stopped)
    {
      size_t count;

      pthread_mutex_lock (&relay->lock);
      count = poll_set_fill (relay, set);
      pthread_mutex_unlock (&relay->lock);
      poll (set, count, POLL_TIMEOUT_MS);
      pthread_mutex_lock (&relay->lock);
      if (set[0].revents != 0)
        connection_accept (relay);
      for (size_t i = 0; i < CONNECTIONS_MAX; i++)
        connection_serve (relay, &relay->connections[i], &set[1 + 2 * i],
                          sgr_clock_monotonic_us ());
      pthread_mutex_unlock (&relay->lock);
    }
  return NULL;
}

sgr_relay_t *
sgr_relay_start (uint16_t listen_port, uint16_t server_port)
{
  sgr_relay_t *relay = calloc (1, sizeof *relay);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (listen_port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int on = 1;

  sgr_invariant (relay != NULL);
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    relay->connections[i].client_fd = relay->connections[i].server_fd = -1;
  pthread_mutex_init (&relay->lock, NULL);
  relay->server_port = server_port;
  relay->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (relay->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sgr_invariant (bind (relay->listener, (struct sockaddr *)&address, sizeof address) == 0);
  sgr_invariant (listen (relay->listener, 64) == 0);
  sgr_invariant (pthread_create (&relay->thread, NULL, relay_run, relay) == 0);
  return relay;
}

void
sgr_relay_stop (sgr_relay_t *relay)
{
  pthread_mutex_lock (&relay->lock);
  relay->is_stopped = true;
  pthread_mutex_unlock (&relay->lock);
  pthread_join (relay->thread, NULL);
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    connection_close (&relay->connections[i]);
  close (relay->listener);
  pthread_mutex_destroy (&relay->lock);
  free (relay);
}

void
sgr_relay_action_apply (sgr_relay_t *relay, sgr_relay_action_t action)
{
  pthread_mutex_lock (&relay->lock);
  action_apply (relay, action);
  pthread_mutex_unlock (&relay->lock);
}

void
sgr_relay_action_schedule (sgr_relay_t *relay, sgr_relay_action_t action, size_t client_read_bytes,
                           size_t server_bytes)
{
  pthread_mutex_lock (&relay->lock);
  relay->pending_action = action;
  relay->client_read_bytes = client_read_bytes;
  relay->server_bytes = server_bytes;
  pthread_mutex_unlock (&relay->lock);
}

void
sgr_relay_port_set (sgr_relay_t *relay, uint16_t server_port)
{
  pthread_mutex_lock (&relay->lock);
  relay->server_port = server_port;
  pthread_mutex_unlock (&relay->lock);
}

void
sgr_relay_delay_set (sgr_relay_t *relay, uint64_t delay_us)
{
  pthread_mutex_lock (&relay->lock);
  relay->delay_us = delay_us;
  pthread_mutex_unlock (&relay->lock);
}

void
sgr_relay_refuse_set (sgr_relay_t *relay, int is_refusing)
{
  pthread_mutex_lock (&relay->lock);
  relay->is_refusing = is_refusing != 0;
  pthread_mutex_unlock (&relay->lock);
}
