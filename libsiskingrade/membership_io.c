#include "membership_io.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Period of the timer. The shortest period of membership itself is 200 ms by default. */
#define TICK_MS 20
/* Datagrams to read before the event loop may run other work. */
#define READ_BATCH 64

struct sgr_membership_io_t
{
  h2o_loop_t *loop;
  h2o_socket_t *socket;
  int fd;
  h2o_timeout_t timeout;
  h2o_timeout_entry_t timer;
  sgr_membership_t *membership;
  void (*changed) (void *ctx, const sgr_member_t *member);
  void *ctx;
  uint64_t send_errors;
};

static void
datagram_send (void *ctx, const sgr_address_t *to, const uint8_t *bytes, size_t length)
{
  sgr_membership_io_t *io = ctx;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (to->port), .sin_addr.s_addr = htonl (to->ip) };

  /* A send error, such as a full socket buffer or an unreachable host, has the effect of a lost
     datagram, which the protocol tolerates. */
  if (sendto (io->fd, bytes, length, MSG_DONTWAIT, (struct sockaddr *)&address, sizeof address)
      != (ssize_t)length)
    io->send_errors++;
}

static void
member_changed (void *ctx, const sgr_member_t *member)
{
  sgr_membership_io_t *io = ctx;

  if (io->changed != NULL)
    io->changed (io->ctx, member);
}

static void
on_readable (h2o_socket_t *socket, const char *error)
{
  sgr_membership_io_t *io = socket->data;
  /* One byte more than allowed: an oversized datagram exceeds the limit even after recvfrom()
     truncates it, and is rejected. */
  uint8_t bytes[SGR_MEMBERSHIP_DATAGRAM_MAX + 1];

  if (error != NULL)
    return;
  for (int i = 0; i < READ_BATCH; i++)
    {
      struct sockaddr_in address = { 0 };
      socklen_t size = sizeof address;
      ssize_t length
          = recvfrom (io->fd, bytes, sizeof bytes, 0, (struct sockaddr *)&address, &size);
      sgr_address_t from;

      /* Errors such as ECONNREFUSED concern a datagram sent earlier; the socket stays usable. */
      if (length < 0)
        {
          if (errno == EAGAIN || errno == EWOULDBLOCK)
            return;
          continue;
        }
      from = (sgr_address_t){ ntohl (address.sin_addr.s_addr), ntohs (address.sin_port) };
      sgr_membership_datagram_receive (io->membership, sgr_clock_monotonic_us (), &from, bytes,
                                       (size_t)length);
    }
}

static void
on_timer (h2o_timeout_entry_t *entry)
{
  sgr_membership_io_t *io = H2O_STRUCT_FROM_MEMBER (sgr_membership_io_t, timer, entry);

  sgr_membership_tick (io->membership, sgr_clock_monotonic_us ());
  h2o_timeout_link (io->loop, &io->timeout, &io->timer);
}

/* Opens a socket, binds it to the address and stores the bound port in the address. */
static sgr_result_t
socket_bind (sgr_address_t *address, int *fd)
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET,
                                        .sin_port = htons (address->port),
                                        .sin_addr.s_addr = htonl (address->ip) };
  socklen_t size = sizeof socket_address;
  int saved_errno;

  *fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (*fd < 0)
    return SGR_ERR_IO;
  if (bind (*fd, (struct sockaddr *)&socket_address, size) == 0
      && getsockname (*fd, (struct sockaddr *)&socket_address, &size) == 0)
    {
      address->port = ntohs (socket_address.sin_port);
      return SGR_OK;
    }
  saved_errno = errno;
  close (*fd);
  errno = saved_errno;
  return saved_errno == EADDRINUSE ? SGR_ERR_CONFLICT : SGR_ERR_IO;
}

sgr_result_t
sgr_membership_io_create (h2o_loop_t *loop, const sgr_membership_options_t *options,
                          void (*changed) (void *ctx, const sgr_member_t *member), void *ctx,
                          sgr_membership_io_t **result)
{
  const sgr_membership_callbacks_t callbacks = { datagram_send, member_changed };
  sgr_membership_options_t bound_options = *options;
  sgr_membership_io_t *io = calloc (1, sizeof *io);
  sgr_result_t status;

  if (io == NULL)
    return SGR_ERR_NO_MEMORY;
  io->loop = loop;
  io->changed = changed;
  io->ctx = ctx;
  status = socket_bind (&bound_options.self.control_address, &io->fd);
  if (status != SGR_OK)
    goto free_io;
  status = sgr_membership_create (&bound_options, &callbacks, io, sgr_clock_monotonic_us (),
                                  &io->membership);
  if (status != SGR_OK)
    goto close_fd;
  io->socket = h2o_evloop_socket_create (loop, io->fd, H2O_SOCKET_FLAG_DONT_READ);
  io->socket->data = io;
  h2o_socket_read_start (io->socket, on_readable);
  h2o_timeout_init (loop, &io->timeout, TICK_MS);
  io->timer.cb = on_timer;
  h2o_timeout_link (loop, &io->timeout, &io->timer);
  *result = io;
  return SGR_OK;

close_fd:
  close (io->fd);
free_io:
  free (io);
  return status;
}

void
sgr_membership_io_destroy (sgr_membership_io_t *io)
{
  if (io == NULL)
    return;
  h2o_timeout_unlink (&io->timer);
  h2o_timeout_dispose (io->loop, &io->timeout);
  h2o_socket_read_stop (io->socket);
  h2o_socket_close (io->socket);
  sgr_membership_destroy (io->membership);
  free (io);
}

sgr_membership_t *
sgr_membership_io_membership (sgr_membership_io_t *io)
{
  return io->membership;
}

uint64_t
sgr_membership_io_send_errors (const sgr_membership_io_t *io)
{
  return io->send_errors;
}
