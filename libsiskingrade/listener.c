#include "listener.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that may wait to be accepted. 4096 is also the kernel's default limit; it exceeds the
   1,517 connections that the callers of one host open at once when all of them reconnect. */
#define BACKLOG 4096

sgr_result_t
sgr_listener_open (h2o_loop_t *loop, sgr_address_t *address, h2o_socket_cb on_accept, void *data,
                   h2o_socket_t **listener)
{
  struct sockaddr_in bind_address = { .sin_family = AF_INET,
                                      .sin_port = htons (address->port),
                                      .sin_addr.s_addr = htonl (address->ip) };
  socklen_t length = sizeof bind_address;
  int enable = 1;
  int saved_errno;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return SGR_ERR_IO;
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable) != 0
      || bind (fd, (struct sockaddr *)&bind_address, sizeof bind_address) != 0
      || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&bind_address, &length) != 0)
    goto fail;
  address->port = ntohs (bind_address.sin_port);
  *listener = h2o_evloop_socket_create (loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  (*listener)->data = data;
  h2o_socket_read_start (*listener, on_accept);
  return SGR_OK;

fail:
  saved_errno = errno;
  close (fd);
  errno = saved_errno;
  return SGR_ERR_IO;
}
