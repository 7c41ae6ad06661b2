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

#define PAIRS_MAX 64
#define PIECE_BYTES 65536

#define HELD_MAX 512

/* Data that waits for its time. */
typedef struct
{
  size_t length;
  uint64_t due_us;
} piece_t;

/* One direction of a connection. */
typedef struct
{
  sgr_buffer_t held;
  piece_t pieces[HELD_MAX];
  size_t count;
  bool is_muted;
} way_t;

typedef struct
{
  int near; /* -1 for a free place */
  int far;
  way_t up;
  way_t down;
} pair_t;

struct sgr_relay_t
{
  pthread_t thread;
  pthread_mutex_t lock;
  int listener;
  uint16_t to_port;
  pair_t pairs[PAIRS_MAX];
  uint64_t delay_us;
  sgr_relay_action_t pending;
  size_t up_left;
  size_t down_left;
  bool is_refusing;
  bool is_stopped;
};

static void
pair_close (pair_t *pair)
{
  if (pair->near < 0)
    return;
  close (pair->near);
  close (pair->far);
  sgr_buffer_release (&pair->up.held);
  sgr_buffer_release (&pair->down.held);
  *pair = (pair_t){ .near = -1, .far = -1 };
}

static void
apply (sgr_relay_t *relay, sgr_relay_action_t action)
{
  for (size_t i = 0; i < PAIRS_MAX; i++)
    {
      pair_t *pair = &relay->pairs[i];

      if (action == SGR_RELAY_CUT)
        pair_close (pair);
      else if (pair->near >= 0)
        {
          pair->down.is_muted = true;
          pair->up.is_muted = pair->up.is_muted || action == SGR_RELAY_SILENCE;
        }
    }
}

static void
accept_pair (sgr_relay_t *relay)
{
  int near = accept4 (relay->listener, NULL, NULL, SOCK_CLOEXEC);
  int far;

  if (near < 0)
    return;
  far = relay->is_refusing ? -1 : sgr_probe_connect (relay->to_port);
  for (size_t i = 0; far >= 0 && i < PAIRS_MAX; i++)
    {
      if (relay->pairs[i].near < 0)
        {
          relay->pairs[i].near = near;
          relay->pairs[i].far = far;
          return;
        }
    }
  if (far >= 0)
    close (far);
  close (near);
}

/* Passes what is due. Returns false if the connection broke. */
static bool
flush_way (way_t *way, int to, uint64_t now_us)
{
  while (way->count > 0 && way->pieces[0].due_us <= now_us)
    {
      size_t length = way->pieces[0].length;

      for (size_t offset = 0; offset < length;)
        {
          ssize_t sent = send (to, way->held.bytes + offset, length - offset, MSG_NOSIGNAL);

          if (sent <= 0)
            return false;
          offset += (size_t)sent;
        }
      sgr_buffer_consume (&way->held, length);
      way->count--;
      memmove (way->pieces, way->pieces + 1, way->count * sizeof way->pieces[0]);
    }
  return true;
}

static void
hold (way_t *way, size_t length, uint64_t due_us)
{
  way->held.length += length;
  if (way->count < HELD_MAX)
    way->pieces[way->count++] = (piece_t){ .length = length, .due_us = due_us };
  else
    way->pieces[HELD_MAX - 1].length += length;
}

/* Takes bytes from one side; counts them against the pending action. */
static bool
take (sgr_relay_t *relay, pair_t *pair, bool is_up, uint64_t now_us)
{
  way_t *way = is_up ? &pair->up : &pair->down;
  size_t *left = is_up ? &relay->up_left : &relay->down_left;
  uint8_t *place = sgr_buffer_reserve (&way->held, PIECE_BYTES);
  ssize_t got = recv (is_up ? pair->near : pair->far, place, PIECE_BYTES, 0);
  size_t pass;

  if (got <= 0)
    return way->is_muted; /* a muted connection does not show its end */
  if (way->is_muted)
    return true;
  pass = (size_t)got;
  if (relay->pending != 0 && *left > 0)
    {
      bool is_due = pass >= *left;

      if (!is_up && is_due)
        pass = *left;
      if (!is_up && !is_due)
        *left -= pass;
      hold (way, pass, now_us + relay->delay_us);
      if (is_due)
        {
          sgr_relay_action_t action = relay->pending;

          relay->pending = 0;
          flush_way (way, is_up ? pair->far : pair->near, now_us);
          apply (relay, action);
        }
      return true;
    }
  hold (way, pass, now_us + relay->delay_us);
  return true;
}

static size_t
poll_fill (const sgr_relay_t *relay, struct pollfd *set)
{
  size_t count = 1;

  set[0] = (struct pollfd){ .fd = relay->listener, .events = POLLIN };
  for (size_t i = 0; i < PAIRS_MAX; i++)
    {
      const pair_t *pair = &relay->pairs[i];
      bool is_deaf = pair->up.is_muted && pair->down.is_muted;

      set[count++] = (struct pollfd){ .fd = is_deaf ? -1 : pair->near, .events = POLLIN };
      set[count++] = (struct pollfd){ .fd = is_deaf ? -1 : pair->far, .events = POLLIN };
    }
  return count;
}

static void
serve_pair (sgr_relay_t *relay, pair_t *pair, const struct pollfd *set, uint64_t now_us)
{
  bool is_open = true;

  /* A pair that took the place of another since the poll has no events of its own yet. */
  if (pair->near < 0 || (set[0].revents != 0 && set[0].fd != pair->near))
    return;
  if (set[0].revents != 0)
    is_open = take (relay, pair, true, now_us);
  if (is_open && pair->near >= 0 && set[1].revents != 0 && set[1].fd == pair->far)
    is_open = take (relay, pair, false, now_us);
  if (pair->near < 0)
    return;
  if (is_open)
    is_open
        = flush_way (&pair->up, pair->far, now_us) && flush_way (&pair->down, pair->near, now_us);
  if (!is_open)
    pair_close (pair);
}

static void *
run (void *argument)
{
  sgr_relay_t *relay = argument;
  struct pollfd set[1 + 2 * PAIRS_MAX];

  while (!relay->is_stopped)
    {
      size_t count;

      pthread_mutex_lock (&relay->lock);
      count = poll_fill (relay, set);
      pthread_mutex_unlock (&relay->lock);
      poll (set, count, 1);
      pthread_mutex_lock (&relay->lock);
      if (set[0].revents != 0)
        accept_pair (relay);
      for (size_t i = 0; i < PAIRS_MAX; i++)
        serve_pair (relay, &relay->pairs[i], &set[1 + 2 * i], sgr_clock_monotonic_us ());
      pthread_mutex_unlock (&relay->lock);
    }
  return NULL;
}

sgr_relay_t *
sgr_relay_start (uint16_t from_port, uint16_t to_port)
{
  sgr_relay_t *relay = calloc (1, sizeof *relay);
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (from_port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int on = 1;

  sgr_invariant (relay != NULL);
  for (size_t i = 0; i < PAIRS_MAX; i++)
    relay->pairs[i].near = relay->pairs[i].far = -1;
  pthread_mutex_init (&relay->lock, NULL);
  relay->to_port = to_port;
  relay->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (relay->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sgr_invariant (bind (relay->listener, (struct sockaddr *)&at, sizeof at) == 0);
  sgr_invariant (listen (relay->listener, 64) == 0);
  sgr_invariant (pthread_create (&relay->thread, NULL, run, relay) == 0);
  return relay;
}

void
sgr_relay_stop (sgr_relay_t *relay)
{
  pthread_mutex_lock (&relay->lock);
  relay->is_stopped = true;
  pthread_mutex_unlock (&relay->lock);
  pthread_join (relay->thread, NULL);
  for (size_t i = 0; i < PAIRS_MAX; i++)
    pair_close (&relay->pairs[i]);
  close (relay->listener);
  pthread_mutex_destroy (&relay->lock);
  free (relay);
}

void
sgr_relay_now (sgr_relay_t *relay, sgr_relay_action_t action)
{
  pthread_mutex_lock (&relay->lock);
  apply (relay, action);
  pthread_mutex_unlock (&relay->lock);
}

void
sgr_relay_after (sgr_relay_t *relay, sgr_relay_action_t action, size_t up, size_t down)
{
  pthread_mutex_lock (&relay->lock);
  relay->pending = action;
  relay->up_left = up;
  relay->down_left = down;
  pthread_mutex_unlock (&relay->lock);
}

void
sgr_relay_delay (sgr_relay_t *relay, uint64_t delay_us)
{
  pthread_mutex_lock (&relay->lock);
  relay->delay_us = delay_us;
  pthread_mutex_unlock (&relay->lock);
}

void
sgr_relay_refuse (sgr_relay_t *relay, int is_refusing)
{
  pthread_mutex_lock (&relay->lock);
  relay->is_refusing = is_refusing != 0;
  pthread_mutex_unlock (&relay->lock);
}
