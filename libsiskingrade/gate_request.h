#ifndef SGR_GATE_REQUEST_H
#define SGR_GATE_REQUEST_H

#include "buffer.h"
#include "frame.h"

/**
 * sgr_gate_request_is_valid() - whether the parts of a call can be written as an HTTP request
 * @call: the call
 *
 * Return: false if a part contains bytes that would change the structure of the message, such as a
 * line break in a header field.
 */
bool sgr_gate_request_is_valid (const Sgr__Pb__Call *call);

/**
 * sgr_gate_request_head_begin() - write the HTTP/1.1 request head of a call, except for its last
 * lines
 * @call: a call that sgr_gate_request_is_valid() accepts
 * @id: id of the attempt
 * @instance_field: name of the header field for the instance that is to run the request, NULL for
 * none
 * @instance_name: name of that instance; "" omits the field
 * @body_length: bytes of the body
 * @head: the head is appended to this buffer
 *
 * sgr_gate_request_head_finish() completes the head when the request is sent, since the remaining
 * time is not known before.
 */
void sgr_gate_request_head_begin (const Sgr__Pb__Call *call, const sgr_attempt_id_t *id,
                                  const char *instance_field, const char *instance_name,
                                  size_t body_length, sgr_buffer_t *head);

/**
 * sgr_gate_request_head_finish() - append the deadline field and the blank line that ends the head
 * @deadline_field: name of the header field; its value is @remaining_us in milliseconds, rounded up
 * @remaining_us: time until the deadline of the call, microseconds
 * @head: head of the request
 */
void sgr_gate_request_head_finish (const char *deadline_field, uint64_t remaining_us,
                                   sgr_buffer_t *head);

#endif
