#ifndef SGR_SOCKET_INPUT_H
#define SGR_SOCKET_INPUT_H

#include <h2o.h>

/**
 * sgr_socket_input_shrink() - give back the unused memory of a socket's receive buffer
 * @sock: a socket whose received bytes have just been handled
 *
 * h2o reads until the socket is empty and never makes the buffer smaller. One burst of a fast
 * sender would otherwise hold megabytes for as long as the connection is open.
 */
void sgr_socket_input_shrink (h2o_socket_t *sock);

#endif
