#ifndef SGR_HTTP_PROBE_H
#define SGR_HTTP_PROBE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A blocking HTTP/1.1 client for tests, which tells a whole answer from a cut one. */

/**
 * enum sgr_probe_end_t - how an exchange ended
 * @SGR_PROBE_WHOLE: the whole answer arrived
 * @SGR_PROBE_CUT: the connection ended within the head or the body
 * @SGR_PROBE_NO_ANSWER: the connection ended before the first byte of an answer
 * @SGR_PROBE_REFUSED: no connection
 * @SGR_PROBE_TIMEOUT: the time ran out
 */
typedef enum
{
  SGR_PROBE_WHOLE = 0,
  SGR_PROBE_CUT,
  SGR_PROBE_NO_ANSWER,
  SGR_PROBE_REFUSED,
  SGR_PROBE_TIMEOUT,
} sgr_probe_end_t;

/**
 * struct sgr_probe_answer_t - an answer; release it with sgr_probe_release()
 * @end: how the exchange ended
 * @status: HTTP status, 0 without a head
 * @head: status line and fields as received, NULL without a head
 * @body: decoded body, as far as it arrived
 * @length: bytes of @body
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
 * @port: port at 127.0.0.1
 * @method: method, GET if NULL
 * @path: path
 * @fields: further header fields, each with CRLF, or NULL
 * @body: body or NULL
 * @body_length: bytes of @body
 * @timeout_ms: most time to wait, 20 seconds if 0
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

/** sgr_probe_connect() - a connected socket to a port of 127.0.0.1, -1 on error */
int sgr_probe_connect (uint16_t port);

/** sgr_probe_send() - connect and send a request; the socket, -1 on error */
int sgr_probe_send (const sgr_probe_request_t *request);

/** sgr_probe_receive() - read the answer to a sent request and close the socket */
void sgr_probe_receive (int fd, const sgr_probe_request_t *request, sgr_probe_answer_t *answer);

/** sgr_probe_call() - send a request and read the answer */
void sgr_probe_call (const sgr_probe_request_t *request, sgr_probe_answer_t *answer);

void sgr_probe_release (sgr_probe_answer_t *answer);

/**
 * sgr_probe_field() - value of a header field
 * @answer: the answer
 * @name: name in any case
 * @value: receives the value, empty if the field is missing
 * @size: bytes of @value
 *
 * Return: whether there is such a field.
 */
bool sgr_probe_field (const sgr_probe_answer_t *answer, const char *name, char *value, size_t size);

#endif
