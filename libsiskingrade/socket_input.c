#include "socket_input.h"

#include <string.h>

/* Capacity that a buffer may keep. */
#define KEPT_BYTES (256U * 1024)

void
sgr_socket_input_shrink (h2o_socket_t *sock)
{
  h2o_buffer_t *old = sock->input;
  h2o_buffer_t *smaller;

  if (old->capacity <= KEPT_BYTES || old->size > old->capacity / 4)
    return;
  h2o_buffer_init (&smaller, &h2o_socket_buffer_prototype);
  if (old->size > 0)
    {
      memcpy (h2o_buffer_reserve (&smaller, old->size).base, old->bytes, old->size);
      smaller->size = old->size;
    }
  h2o_buffer_dispose (&sock->input);
  sock->input = smaller;
}
