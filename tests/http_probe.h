#ifndef SGR_HTTP_PROBE_H
#define SGR_HTTP_PROBE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A blocking HTTP/1.1 client for tests, which distinguishes a whole answer from a truncated one.
 */

/**
 * enum sgr_probe_end_t - how an exchange ended
 * @SGR_PROBE_WHOLE: the whole answer arrived
 * @SGR_PROBE_TRUNCATED: the connection ended within the head or the body
 * @SGR_PROBE_NO_ANSWER: the connection ended before the first byte of an answer
 * @SGR_PROBE_REFUSED: the connection could not be opened
 * @SGR_PROBE_TIMEOUT: the answer was not whole when the timeout passed
 */
typedef enum
{
  SGR_PROBE_WHOLE = 0,
  SGR_PROBE_TRUNCATED,
  SGR_PROBE_NO_ANSWER,
  SGR_PROBE_REFUSED,
  SGR_PROBE_TIMEOUT,
} sgr_probe_end_t;

/**
 * struct sgr_probe_answer_t - an answer; release it with sgr_probe_release()
 * @end: how the exchange ended
 * @status: HTTP status, 0 if no complete head arrived
 * @head: status line and header fields as received, NULL if no complete head arrived
 * @body: received part of the body, without chunk framing, terminated by a zero byte; NULL if there
 *        was no connection
 * @length: size of @body in bytes, without the zero byte
 */
typedef struct
{
  sgr_probe_end_t end;
  int status;
  char *head;
  char *body;
  size_t length;
} sgr_probe_answer_t;

/**
 * struct sgr_probe_request_t - a request
 * @port: port of 127.0.0.1
 * @method: method, GET if NULL
 * @path: path
 * @fields: additional header fields, each terminated by CRLF, or NULL
 * @body: body or NULL
 * @body_length: size of @body in bytes
 * @timeout_ms: maximum time to wait for the answer in milliseconds, 20 seconds if 0
 */
typedef struct
{
  uint16_t port;
  const char *method;
  const char *path;
  const char *fields;
  const char *body;
  size_t body_length;
  int timeout_ms;
} sgr_probe_request_t;

/** sgr_probe_connect() - connect to a port of 127.0.0.1; returns the socket, -1 on error */
int sgr_probe_connect (uint16_t port);

/** sgr_probe_send() - connect and send a request; returns the socket, -1 on error */
int sgr_probe_send (const sgr_probe_request_t *request);

/**
 * sgr_probe_receive() - read the answer to a sent request and close the socket
 * @fd: socket from sgr_probe_send(); -1 yields SGR_PROBE_REFUSED
 * @request: the request
 * @answer: receives the answer
 */
void sgr_probe_receive (int fd, const sgr_probe_request_t *request, sgr_probe_answer_t *answer);

/** sgr_probe_call() - send a request and read the answer */
void sgr_probe_call (const sgr_probe_request_t *request, sgr_probe_answer_t *answer);

void sgr_probe_release (sgr_probe_answer_t *answer);

/**
 * sgr_probe_field() - read a header field of an answer
 * @answer: the answer
 * @name: name of the field, compared without regard to case
 * @value: receives the value, empty if the field is missing
 * @size: size of @value in bytes
 *
 * Return: true if the answer has the field.
 */
bool sgr_probe_field (const sgr_probe_answer_t *answer, const char *name, char *value, size_t size);

#endif
