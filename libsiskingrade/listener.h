#ifndef SGR_LISTENER_H
#define SGR_LISTENER_H

#include <h2o.h>

#include "result.h"
#include "types.h"

/**
 * sgr_listener_open() - listen on a TCP address
 * @loop: event loop that serves the socket
 * @address: where to listen; port 0 stands for a free port, which is then filled in
 * @on_accept: called by the loop when a connection can be accepted
 * @data: stored as the data of the socket
 * @listener: receives the socket, to be closed with h2o_socket_close()
 *
 * Return: SGR_OK, or SGR_ERR_IO with errno set if the socket cannot be created or bound.
 */
sgr_result_t sgr_listener_open (h2o_loop_t *loop, sgr_address_t *address, h2o_socket_cb on_accept,
                                void *data, h2o_socket_t **listener);

#endif
