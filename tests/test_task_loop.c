#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "task_loop.h"

/* Timers of a task whose callbacks use sockets. */

/* The task ends by itself after this time. */
#define END_US (200 * SGR_USEC_PER_MSEC)
/* A task that spins is killed after this time. */
#define SPIN_S 20
/* Enough sockets that the memory of some is used again, whatever the allocator holds back. */
#define CLOSED_SOCKETS 64

/* Options for AddressSanitizer. h2o is not instrumented, so that a use of freed memory is seen by
   what the memory is filled with. */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "max_free_fill_size=65536:free_fill_byte=165";
}

/**
 * struct rig_t - a task
 * @loop: its event loop
 * @timers: its timers
 * @timer: fires the step of the test
 * @end_timer: ends the task
 * @is_stopped: the task is to end
 * @sock: socket that the test writes to
 * @peer: other end of @sock
 * @written: number of calls of on_written(), or of the timer
 */
typedef struct
{
  h2o_loop_t *loop;
  sgr_timer_heap_t *timers;
  sgr_timer_t timer;
  sgr_timer_t end_timer;
  bool is_stopped;
  h2o_socket_t *sock;
  int peer;
  int written;
} rig_t;

static void
on_end (void *ctx, uint64_t now_us)
{
  ((rig_t *)ctx)->is_stopped = true;
}

/* Creates a socket and its other end. */
static h2o_socket_t *
sock_create (rig_t *rig, int *peer)
{
  h2o_socket_t *sock;
  int fds[2];

  assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
  sock = h2o_evloop_socket_create (rig->loop, fds[0], 0);
  sock->data = rig;
  *peer = fds[1];
  return sock;
}

static void
rig_init (rig_t *rig, void (*step) (void *ctx, uint64_t now_us))
{
  *rig = (rig_t){ .loop = h2o_evloop_create (), .timers = sgr_timer_heap_create () };
  rig->sock = sock_create (rig, &rig->peer);
  rig->timer = (sgr_timer_t){ .fire = step, .ctx = rig };
  rig->end_timer = (sgr_timer_t){ .fire = on_end, .ctx = rig };
  sgr_timer_arm (rig->timers, &rig->timer, sgr_clock_monotonic_us ());
  sgr_timer_arm (rig->timers, &rig->end_timer, sgr_clock_monotonic_us () + END_US);
}

static void
rig_release (rig_t *rig)
{
  h2o_socket_close (rig->sock);
  close (rig->peer);
  /* Frees the closed sockets. */
  h2o_evloop_run (rig->loop, 0);
  h2o_evloop_destroy (rig->loop);
  sgr_timer_heap_destroy (rig->timers);
}

static void
on_written (h2o_socket_t *sock, const char *error)
{
  ((rig_t *)sock->data)->written++;
}

static void
sock_write (h2o_socket_t *sock, h2o_socket_cb written)
{
  h2o_iovec_t text = h2o_iovec_init (H2O_STRLIT ("x"));

  h2o_socket_write (sock, &text, 1, written);
}

static void
on_closed_written (h2o_socket_t *sock, const char *error)
{
  fail_msg ("callback of a socket that was closed");
}

/* Opens sockets, which may get the memory of those that were closed. */
static void
on_written_open (h2o_socket_t *sock, const char *error)
{
  rig_t *rig = sock->data;

  rig->written++;
  for (int i = 0; i < CLOSED_SOCKETS; i++)
    {
      int peer;

      h2o_socket_close (sock_create (rig, &peer));
      close (peer);
    }
}

static void
write_and_close (void *ctx, uint64_t now_us)
{
  rig_t *rig = ctx;

  for (int i = 0; i < CLOSED_SOCKETS; i++)
    {
      int peer;
      h2o_socket_t *sock = sock_create (rig, &peer);

      sock_write (sock, on_closed_written);
      h2o_socket_close (sock);
      close (peer);
    }
  sock_write (rig->sock, on_written_open);
}

/* Guards against a thread that spins for good: a timer writes to a socket, whose callback is then
   pending, and closes it; h2o frees it before it handles what is pending, and a new socket gets its
   memory. */
static void
test_close_of_socket_with_pending_callback (void **state)
{
  rig_t rig;

  rig_init (&rig, write_and_close);
  sgr_task_loop_run (rig.loop, rig.timers, &rig.is_stopped);
  assert_int_equal (rig.written, 1);
  rig_release (&rig);
}

static void
write_only (void *ctx, uint64_t now_us)
{
  sock_write (((rig_t *)ctx)->sock, on_written);
}

static void
on_end_early (void *ctx, uint64_t now_us)
{
  rig_t *rig = ctx;

  rig->is_stopped = rig->written > 0;
  if (!rig->is_stopped)
    sgr_timer_arm (rig->timers, &rig->timer, now_us + SGR_USEC_PER_MSEC);
}

/* Guards against a callback of a write that waits for the next event of another socket. */
static void
test_write_completes_without_event (void **state)
{
  rig_t rig;

  rig_init (&rig, write_only);
  /* No timer is due before the end, so that only the write wakes the task. */
  rig.end_timer.fire = on_end_early;
  sgr_task_loop_run (rig.loop, rig.timers, &rig.is_stopped);
  assert_int_equal (rig.written, 1);
  rig_release (&rig);
}

static void
rearm (void *ctx, uint64_t now_us)
{
  rig_t *rig = ctx;

  if (++rig->written < 3)
    sgr_timer_arm (rig->timers, &rig->timer, now_us + SGR_USEC_PER_MSEC);
}

/* Guards against timers that fire no more after the loop has fired some. */
static void
test_timers_fire_again (void **state)
{
  rig_t rig;

  rig_init (&rig, rearm);
  sgr_task_loop_run (rig.loop, rig.timers, &rig.is_stopped);
  assert_int_equal (rig.written, 3);
  rig_release (&rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_close_of_socket_with_pending_callback),
    cmocka_unit_test (test_write_completes_without_event),
    cmocka_unit_test (test_timers_fire_again),
  };

  alarm (SPIN_S);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
