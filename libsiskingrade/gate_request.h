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
 * sgr_gate_request_write() - write the head of a call as an HTTP/1.1 request, except for its end
 * @call: the call, valid
 * @id: the attempt
 * @instance: field that names the instance the request is meant for, NULL for none
 * @instance_name: its value
 * @body_length: bytes of the body
 * @head: receives the head
 */
void sgr_gate_request_write (const Sgr__Pb__Call *call, const sgr_attempt_id_t *id,
                             const char *instance, const char *instance_name, size_t body_length,
                             sgr_buffer_t *head);

/**
 * sgr_gate_request_end() - add the time that is left and the end of the head
 * @deadline: name of the field
 * @remaining_us: time until the caller gives up, microseconds
 * @head: head of the request
 */
void sgr_gate_request_end (const char *deadline, uint64_t remaining_us, sgr_buffer_t *head);

#endif
