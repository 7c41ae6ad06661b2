#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "listener.h"

/* Connections in the burst, more than a host has callers. After a network failure, all callers
   reconnect at once. */
#define CONNECTIONS 1517

/* Much longer than it takes to connect over loopback if the kernel does not drop the first SYN. */
#define CONNECT_WAIT_MS 10000

/* Accepts nothing, so that all connections stay in the queue. */
static void
on_accept (h2o_socket_t *listener, const char *err)
{
}

static int
connect_begin (uint16_t port)
{
  struct sockaddr_in listen_address = { .sin_family = AF_INET,
                                        .sin_port = htons (port),
                                        .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  assert_true (fd >= 0);
  if (connect (fd, (struct sockaddr *)&listen_address, sizeof listen_address) != 0)
    assert_int_equal (errno, EINPROGRESS);
  return fd;
}

/* Guards against a listen backlog that is too small for a burst of connections: until the event
   loop accepts, the kernel drops the SYNs of further connections, which then wait for a
   retransmission. */
static void
test_burst_of_connections (void **state)
{
  static int fds[CONNECTIONS];
  h2o_loop_t *loop = h2o_evloop_create ();
  sgr_address_t address = { .ip = INADDR_LOOPBACK };
  h2o_socket_t *listener;
  struct rlimit files;

  assert_int_equal (getrlimit (RLIMIT_NOFILE, &files), 0);
  files.rlim_cur = files.rlim_max;
  assert_int_equal (setrlimit (RLIMIT_NOFILE, &files), 0);
  assert_int_equal (sgr_listener_open (loop, &address, on_accept, NULL, &listener), SGR_OK);
  for (int i = 0; i < CONNECTIONS; i++)
    fds[i] = connect_begin (address.port);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      struct pollfd ready = { .fd = fds[i], .events = POLLOUT };

      assert_int_equal (poll (&ready, 1, CONNECT_WAIT_MS), 1);
      assert_int_equal (ready.revents, POLLOUT);
    }
  for (int i = 0; i < CONNECTIONS; i++)
    close (fds[i]);
  h2o_socket_close (listener);
  h2o_evloop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst_of_connections),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
