#ifndef SGR_GATE_REQUEST_H
#define SGR_GATE_REQUEST_H

#include "buffer.h"
#include "frame.h"

/**
 * sgr_gate_request_is_valid() - whether method, path and fields of a call can be written as HTTP
 * without changing the meaning of the message
 * @call: the call
 */
bool sgr_gate_request_is_valid (const Sgr__Pb__Call *call);

/**
 * sgr_gate_request_write() - write a call as an HTTP/1.1 request
 * @call: the call, valid
 * @id: the attempt
 * @body: body of the request
 * @body_length: bytes of @body
 * @message: receives the request
 */
void sgr_gate_request_write (const Sgr__Pb__Call *call, const sgr_attempt_id_t *id,
                             const void *body, size_t body_length, sgr_buffer_t *message);

#endif
