#ifndef SGR_HTTP2_GUARD_H
#define SGR_HTTP2_GUARD_H

#include <h2o.h>

#include "http1_conn.h"

/**
 * sgr_http2_guard_accept() - serve a connection that begins with HTTP/2's preface
 * @server: server that counts the connection, and whose memory budget counts its bodies
 * @sock: the socket, which h2o then owns
 * @connected_at: when the connection was accepted
 * @address: IPv4 address of the caller, 0 if it is not known
 *
 * h2o collects the bodies of all streams itself, up to its limit for one body. The guard counts
 * them from the headers of the frames, before h2o handles the bytes. If there is no room for more,
 * it closes the connection, because h2o offers no way to reset a single stream. A whole body
 * belongs to its request and is not counted here any more.
 */
void sgr_http2_guard_accept (sgr_http1_server_t *server, h2o_socket_t *sock,
                             struct timeval connected_at, uint32_t address);

#endif
