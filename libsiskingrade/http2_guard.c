#include "http2_guard.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o/http2.h>

#include "id_map.h"
#include "result.h"
#include "socket_input.h"

#define FRAME_HEADER_BYTES 9
#define PREFACE_BYTES 24
/* Unfinished bodies of one connection; h2o allows 100 open streams. */
#define BODIES_MAX 256

enum
{
  FRAME_DATA = 0,
  FRAME_HEADERS = 1,
  FRAME_RST_STREAM = 3,
  FLAG_END_STREAM = 1,
};

/* Unfinished body of a stream. */
typedef struct
{
  uint64_t bytes;
  bool is_refused; /* over the limit for one body: h2o has answered and keeps nothing of it */
} body_t;

/**
 * struct guard_t - a connection over HTTP/2
 * @server: server that counts the connection
 * @sock: socket
 * @h2o_read_cb: read callback of h2o
 * @memory: counts the unfinished bodies
 * @bodies: unfinished bodies by stream id
 * @sum: bytes of the unfinished bodies
 * @scanned: bytes at the start of the socket's input that were scanned and not handled by h2o yet
 * @left: bytes of the preface or of the frame that are not scanned yet
 * @header: header of the frame that is being scanned
 * @header_length: scanned bytes of @header
 * @is_in_h2o: h2o handles received bytes
 * @is_closed: the socket was closed meanwhile
 */
typedef struct
{
  sgr_http1_server_t *server;
  h2o_socket_t *sock;
  h2o_socket_cb h2o_read_cb;
  sgr_memory_holder_t memory;
  sgr_id_map_t *bodies;
  uint64_t sum;
  size_t scanned;
  size_t left;
  uint8_t header[FRAME_HEADER_BYTES];
  size_t header_length;
  bool is_in_h2o;
  bool is_closed;
} guard_t;

static void
guard_free (guard_t *guard)
{
  size_t cursor = 0;
  body_t *body;

  while ((body = sgr_id_map_next (guard->bodies, &cursor)) != NULL)
    free (body);
  sgr_id_map_destroy (guard->bodies);
  free (guard);
}

static void
on_closed (void *data)
{
  guard_t *guard = data;

  sgr_memory_holder_end (&guard->memory);
  guard->server->connections--;
  if (guard->is_in_h2o)
    guard->is_closed = true;
  else
    guard_free (guard);
}

static uint32_t
frame_stream (const guard_t *guard)
{
  const uint8_t *header = guard->header;

  return ((uint32_t)header[5] << 24 | (uint32_t)header[6] << 16 | (uint32_t)header[7] << 8
          | header[8])
         & 0x7fffffff;
}

static void
body_remove (guard_t *guard, uint32_t stream)
{
  body_t *body = sgr_id_map_remove (guard->bodies, stream);

  if (body == NULL)
    return;
  guard->sum -= body->bytes;
  free (body);
}

/* Counts part of the payload of a DATA frame. Returns false if the connection has too many
   unfinished bodies. */
static bool
body_add (guard_t *guard, size_t length)
{
  uint32_t stream = frame_stream (guard);
  body_t *body = sgr_id_map_get (guard->bodies, stream);

  if (body == NULL)
    {
      if (sgr_id_map_count (guard->bodies) >= BODIES_MAX)
        return false;
      body = calloc (1, sizeof *body);
      sgr_invariant (body != NULL);
      sgr_id_map_put (guard->bodies, stream, body);
    }
  if (body->is_refused)
    return true;
  body->bytes += length;
  guard->sum += length;
  if (body->bytes > guard->server->options.body_max_bytes)
    {
      guard->sum -= body->bytes;
      body->bytes = 0;
      body->is_refused = true;
    }
  return true;
}

/* Handles the end of a frame. */
static void
frame_end (guard_t *guard)
{
  uint8_t type = guard->header[3];
  bool is_end = (guard->header[4] & FLAG_END_STREAM) != 0;

  if (type == FRAME_RST_STREAM || ((type == FRAME_DATA || type == FRAME_HEADERS) && is_end))
    body_remove (guard, frame_stream (guard));
}

/* Scans the received bytes that were not scanned before. Returns false as body_add() does. */
static bool
input_scan (guard_t *guard)
{
  const h2o_buffer_t *input = guard->sock->input;

  while (guard->scanned < input->size)
    {
      size_t available = input->size - guard->scanned;
      size_t part = guard->left < available ? guard->left : available;

      if (guard->left == 0)
        {
          guard->header[guard->header_length++] = (uint8_t)input->bytes[guard->scanned++];
          if (guard->header_length < FRAME_HEADER_BYTES)
            continue;
          guard->left
              = (size_t)guard->header[0] << 16 | (size_t)guard->header[1] << 8 | guard->header[2];
        }
      else
        {
          /* The preface is no frame: its bytes come before the first header. */
          if (guard->header_length > 0 && guard->header[3] == FRAME_DATA && !body_add (guard, part))
            return false;
          guard->scanned += part;
          guard->left -= part;
        }
      if (guard->left == 0 && guard->header_length > 0)
        {
          frame_end (guard);
          guard->header_length = 0;
        }
    }
  return true;
}

/* Counts the unfinished bodies in the budget. Returns false if there is no room for them. */
static bool
memory_update (guard_t *guard)
{
  uint64_t counted = guard->memory.bytes;

  guard->memory.may_drop = guard->sum > 0;
  if (guard->sum <= counted)
    {
      sgr_memory_budget_release (&guard->memory, counted - guard->sum);
      return true;
    }
  return sgr_memory_budget_admit (&guard->memory, guard->sum - counted, sgr_clock_monotonic_us ())
         == SGR_OK;
}

/* Lets h2o handle received bytes or an error. It may close the socket; the guard is then freed. */
static void
h2o_run (guard_t *guard, const char *err)
{
  h2o_socket_t *sock = guard->sock;
  size_t size = sock->input->size;

  guard->is_in_h2o = true;
  guard->h2o_read_cb (sock, err);
  guard->is_in_h2o = false;
  if (guard->is_closed)
    {
      guard_free (guard);
      return;
    }
  guard->scanned -= size - sock->input->size;
  sgr_socket_input_shrink (sock);
}

static void
on_read (h2o_socket_t *sock, const char *err)
{
  guard_t *guard = sock->on_close.data;

  sgr_memory_budget_progress (&guard->memory, sgr_clock_monotonic_us ());
  if (err == NULL && (!input_scan (guard) || !memory_update (guard)))
    {
      if (guard->server->options.rejected != NULL)
        guard->server->options.rejected (guard->server->options.ctx, 503);
      err = "no memory for the bodies of the requests";
    }
  h2o_run (guard, err);
}

/* Ends a connection whose bodies make no progress. */
static void
on_memory_drop (void *ctx)
{
  guard_t *guard = ctx;

  shutdown (h2o_socket_get_fd (guard->sock), SHUT_RDWR);
}

void
sgr_http2_guard_accept (sgr_http1_server_t *server, h2o_socket_t *sock, struct timeval connected_at,
                        uint32_t address)
{
  guard_t *guard = calloc (1, sizeof *guard);
  size_t size = sock->input->size;

  sgr_invariant (guard != NULL);
  guard->server = server;
  guard->sock = sock;
  guard->bodies = sgr_id_map_create ();
  guard->left = PREFACE_BYTES;
  guard->memory = (sgr_memory_holder_t){
    .kind = SGR_MEMORY_REQUEST, .address = address, .drop = on_memory_drop, .ctx = guard
  };
  sgr_memory_holder_begin (&guard->memory, server->options.memory, sgr_clock_monotonic_us ());
  server->connections++;
  sock->on_close.cb = on_closed;
  sock->on_close.data = guard;
  /* The first bytes were read at once. A lack of memory shows at the next ones. */
  input_scan (guard);
  memory_update (guard);
  guard->is_in_h2o = true;
  h2o_http2_accept (server->options.accept, sock, connected_at);
  guard->is_in_h2o = false;
  if (guard->is_closed)
    {
      guard_free (guard);
      return;
    }
  guard->scanned -= size - sock->input->size;
  /* h2o sets its read callback once, when it accepts the connection. */
  guard->h2o_read_cb = sock->_cb.read;
  sock->_cb.read = on_read;
}
