#include "listener.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that wait to be accepted: the kernel's own default bound, above the 1,517 that
   callers of one host open at once when they all come back. */
#define BACKLOG 4096

sgr_result_t
sgr_listener_open (h2o_loop_t *loop, sgr_address_t *address, h2o_socket_cb on_accept, void *data,
                   h2o_socket_t **listener)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (address->port),
                            .sin_addr.s_addr = htonl (address->ip) };
  socklen_t length = sizeof at;
  int on = 1;
  int saved;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return SGR_ERR_IO;
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (struct sockaddr *)&at, sizeof at) != 0 || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&at, &length) != 0)
    goto fail;
  address->port = ntohs (at.sin_port);
  *listener = h2o_evloop_socket_create (loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  (*listener)->data = data;
  h2o_socket_read_start (*listener, on_accept);
  return SGR_OK;

fail:
  saved = errno;
  close (fd);
  errno = saved;
  return SGR_ERR_IO;
}
