#ifndef SGR_SCRIPTED_PEER_H
#define SGR_SCRIPTED_PEER_H

#include "buffer.h"
#include "frame.h"

/* Frames of an entry node that a test simulates on a socket of its own. */

/* Identity of the simulated node, different from those of the fixture's nodes. */
#define SGR_SCRIPTED_NODE 77
#define SGR_SCRIPTED_BOOT 78

/**
 * struct sgr_scripted_call_t - content of a Call frame; 0 and NULL stand for valid defaults
 */
typedef struct
{
  uint64_t node;
  uint64_t sequence;
  uint32_t attempt;
  uint64_t gate_boot;
  uint64_t remaining_us;
  uint64_t body_length;
  const char *method;
  const char *path;
  const char *header_name;
  const char *header_value;
} sgr_scripted_call_t;

/** sgr_scripted_hello_append() - append a Hello frame; without @with_load it is invalid */
void sgr_scripted_hello_append (sgr_buffer_t *out, uint32_t version, uint64_t node, bool with_load);

/** sgr_scripted_call_append() - append a Call frame for the service "one" */
void sgr_scripted_call_append (sgr_buffer_t *out, const sgr_scripted_call_t *call);

/** sgr_scripted_credit_append() - append a Credit frame for the first attempt of a call */
void sgr_scripted_credit_append (sgr_buffer_t *out, uint64_t sequence, uint32_t bytes);

/**
 * sgr_scripted_frame_read() - read the next frame
 * @fd: socket
 * @input: bytes that were received and not decoded yet
 *
 * Return: the frame, NULL if the connection ended or the receive timeout of the socket passed.
 */
Sgr__Pb__PeerFrame *sgr_scripted_frame_read (int fd, sgr_buffer_t *input);

#endif
