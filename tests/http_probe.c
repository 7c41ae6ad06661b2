#include "http_probe.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "timer_heap.h"

#define DEFAULT_TIMEOUT_MS 20000
#define READ_BYTES_MAX (256 * 1024)

int
sgr_probe_connect (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd >= 0 && connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
send_all (int fd, const void *bytes, size_t length)
{
  const char *from = bytes;

  while (length > 0)
    {
      ssize_t sent = send (fd, from, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      from += sent;
      length -= (size_t)sent;
    }
  return true;
}

int
sgr_probe_send (const sgr_probe_request_t *request)
{
  sgr_buffer_t head = { 0 };
  int fd = sgr_probe_connect (request->port);

  if (fd < 0)
    return -1;
  sgr_buffer_printf (&head, "%s %s HTTP/1.1\r\nHost: test\r\n%s",
                     request->method != NULL ? request->method : "GET", request->path,
                     request->fields != NULL ? request->fields : "");
  if (request->body != NULL)
    sgr_buffer_printf (&head, "Content-Length: %zu\r\n", request->body_length);
  sgr_buffer_append (&head, "\r\n", 2);
  /* An error of send() is ignored: reading the answer then finds the end of the connection. */
  if (send_all (fd, head.bytes, head.length) && request->body != NULL)
    send_all (fd, request->body, request->body_length);
  sgr_buffer_release (&head);
  return fd;
}

bool
sgr_probe_field (const sgr_probe_answer_t *answer, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  value[0] = '\0';
  for (const char *line = answer->head; line != NULL; line = strstr (line, "\r\n"))
    {
      line += line == answer->head ? 0 : 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *from = line + length + 1 + strspn (line + length + 1, " ");

          snprintf (value, size, "%.*s", (int)strcspn (from, "\r"), from);
          return true;
        }
    }
  return false;
}

/* Decodes a chunked body as far as it was received. Returns true if its last chunk was received. */
static bool
chunked_body_decode (const char *from, size_t length, sgr_buffer_t *body)
{
  body->length = 0;
  for (;;)
    {
      const char *line_end = memmem (from, length, "\r\n", 2);
      size_t size;
      size_t skip;

      if (line_end == NULL || line_end == from)
        return false;
      size = strtoul (from, NULL, 16);
      skip = (size_t)(line_end + 2 - from);
      if (size == 0)
        return length >= skip + 2;
      from += skip;
      length -= skip;
      sgr_buffer_append (body, from, size < length ? size : length);
      if (length < size + 2)
        return false;
      from += size + 2;
      length -= size + 2;
    }
}

/* Parses the received bytes into the answer and its body. Returns true if the answer is whole. */
static bool
answer_parse (const sgr_probe_request_t *request, sgr_probe_answer_t *answer,
              const sgr_buffer_t *input, sgr_buffer_t *body)
{
  const char *text = (const char *)input->bytes;
  const char *head_end = memmem (text, input->length, "\r\n\r\n", 4);
  char value[32];
  size_t head_length;

  if (head_end == NULL)
    return false;
  head_length = (size_t)(head_end + 4 - text);
  if (answer->head == NULL)
    {
      answer->head = strndup (text, head_length);
      answer->status = atoi (text + strlen ("HTTP/1.1 "));
    }
  if ((request->method != NULL && strcmp (request->method, "HEAD") == 0) || answer->status == 204
      || answer->status == 304)
    return true;
  if (sgr_probe_field (answer, "transfer-encoding", value, sizeof value))
    return chunked_body_decode (text + head_length, input->length - head_length, body);
  body->length = 0;
  sgr_buffer_append (body, text + head_length, input->length - head_length);
  /* The body of an answer without a length ends with the connection, so it is impossible to tell
     whether the body is truncated. Such an answer never counts as whole. */
  return sgr_probe_field (answer, "content-length", value, sizeof value)
         && body->length >= strtoul (value, NULL, 10);
}

static sgr_probe_end_t
answer_receive (int fd, const sgr_probe_request_t *request, sgr_probe_answer_t *answer,
                sgr_buffer_t *input, sgr_buffer_t *body)
{
  int timeout_ms = request->timeout_ms > 0 ? request->timeout_ms : DEFAULT_TIMEOUT_MS;
  uint64_t end_us = sgr_clock_monotonic_us () + (uint64_t)timeout_ms * 1000;

  for (;;)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      uint64_t now_us = sgr_clock_monotonic_us ();
      uint8_t *destination = sgr_buffer_reserve (input, READ_BYTES_MAX);
      ssize_t received;

      if (now_us >= end_us || poll (&wait, 1, (int)((end_us - now_us) / 1000) + 1) <= 0)
        return SGR_PROBE_TIMEOUT;
      received = recv (fd, destination, READ_BYTES_MAX, 0);
      if (received <= 0)
        {
          answer_parse (request, answer, input, body);
          return input->length == 0 ? SGR_PROBE_NO_ANSWER : SGR_PROBE_TRUNCATED;
        }
      input->length += (size_t)received;
      if (answer_parse (request, answer, input, body))
        return SGR_PROBE_WHOLE;
    }
}

void
sgr_probe_receive (int fd, const sgr_probe_request_t *request, sgr_probe_answer_t *answer)
{
  sgr_buffer_t input = { 0 };
  sgr_buffer_t body = { 0 };

  *answer = (sgr_probe_answer_t){ .end = SGR_PROBE_REFUSED };
  if (fd < 0)
    return;
  answer->end = answer_receive (fd, request, answer, &input, &body);
  close (fd);
  sgr_buffer_release (&input);
  answer->length = body.length;
  sgr_buffer_append (&body, "", 1);
  answer->body = (char *)body.bytes;
}

void
sgr_probe_call (const sgr_probe_request_t *request, sgr_probe_answer_t *answer)
{
  sgr_probe_receive (sgr_probe_send (request), request, answer);
}

void
sgr_probe_release (sgr_probe_answer_t *answer)
{
  free (answer->head);
  free (answer->body);
  *answer = (sgr_probe_answer_t){ 0 };
}
