#include "http1_server.h"

#include <stdlib.h>

#include "http1_conn.h"
#include "result.h"

sgr_http1_server_t *
sgr_http1_server_create (const sgr_http1_options_t *options)
{
  sgr_http1_server_t *server = calloc (1, sizeof *server);

  sgr_invariant (server != NULL);
  server->options = *options;
  return server;
}

void
sgr_http1_server_accept (sgr_http1_server_t *server, h2o_socket_t *sock)
{
  if (server->connections >= server->options.connections_max)
    {
      if (server->options.closed_for_room != NULL)
        server->options.closed_for_room (server->options.ctx);
      if (!sgr_http1_conn_close_for_room (server))
        {
          h2o_socket_close (sock);
          return;
        }
    }
  sgr_http1_conn_create (server, sock,
                         *h2o_get_timestamp (server->options.accept->ctx, NULL, NULL));
}

void
sgr_http1_server_leave (sgr_http1_server_t *server)
{
  server->is_leaving = true;
}

size_t
sgr_http1_server_connection_count (const sgr_http1_server_t *server)
{
  size_t count = 0;

  for (const sgr_http1_conn_t *conn = server->first; conn != NULL; conn = conn->next)
    count++;
  return count;
}

void
sgr_http1_server_drain (sgr_http1_server_t *server)
{
  sgr_http1_conn_t *next;

  sgr_http1_server_leave (server);
  server->is_draining = true;
  for (sgr_http1_conn_t *conn = server->first; conn != NULL; conn = next)
    {
      next = conn->next;
      sgr_http1_conn_drain (conn);
    }
}

void
sgr_http1_server_destroy (sgr_http1_server_t *server)
{
  if (server == NULL)
    return;
  while (server->first != NULL)
    sgr_http1_conn_close (server->first);
  free (server);
}
