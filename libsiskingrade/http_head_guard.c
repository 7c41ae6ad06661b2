#include "http_head_guard.h"

#include <string.h>
#include <strings.h>

#include "http_fields.h"
#include "task_loop.h"

/* Bytes that are read before the head of an answer, interim answers included, must be complete. */
#define HEAD_MAX_BYTES (64U * 1024)

static bool
line_has_name (const char *line, size_t length, const char *name)
{
  size_t size = strlen (name);

  return length > size && line[size] == ':' && strncasecmp (line, name, size) == 0;
}

/* Checks a line of the head without its line end. */
static bool
line_is_valid (const char *line, size_t length)
{
  const char *value = memchr (line, ':', length);
  uint64_t number;

  if (line[0] == ' ' || line[0] == '\t')
    return false;
  if (value == NULL)
    return true;
  length -= (size_t)(value + 1 - line);
  value++;
  while (length > 0 && (*value == ' ' || *value == '\t'))
    {
      value++;
      length--;
    }
  while (length > 0 && (value[length - 1] == ' ' || value[length - 1] == '\t'))
    length--;
  if (line_has_name (line, (size_t)(value + length - line), "content-length"))
    return sgr_http_number_parse (value, length, INT64_MAX, &number);
  if (line_has_name (line, (size_t)(value + length - line), "transfer-encoding"))
    return length == 7 && memcmp (value, "chunked", 7) == 0;
  return true;
}

/* Whether a status line is that of an interim answer, after which another head follows. */
static bool
is_interim (const char *line, size_t length)
{
  const char *status = memchr (line, ' ', length);

  return status != NULL && status + 1 < line + length && status[1] == '1';
}

bool
sgr_http_head_is_valid (const char *bytes, size_t length)
{
  const char *start = bytes, *end;

  while ((end = memchr (bytes, '\n', length)) != NULL)
    {
      size_t size = (size_t)(end - bytes);
      bool is_status_line = bytes == start;

      if (size > 0 && bytes[size - 1] == '\r')
        size--;
      if (size == 0 && !is_interim (start, (size_t)(end - start)))
        return true;
      if (size > 0 && !is_status_line && !line_is_valid (bytes, size))
        return false;
      length -= (size_t)(end + 1 - bytes);
      bytes = end + 1;
      if (size == 0)
        start = bytes;
    }
  return true;
}

static sgr_http_head_guard_t *
guard_of (h2o_socket_t *sock)
{
  return ((h2o_http1client_t *)sock->data)->data;
}

static void
on_head_read (h2o_socket_t *sock, const char *err)
{
  sgr_http_head_guard_t *guard = guard_of (sock);

  if (err == NULL && guard->bytes > HEAD_MAX_BYTES)
    guard->reject (guard, "head of the answer is too long");
  else if (err == NULL && !sgr_http_head_is_valid (sock->input->bytes, sock->input->size))
    guard->reject (guard, "malformed head of the answer");
  else
    {
      guard->bytes += sock->bytes_read;
      guard->h2o_read_cb (sock, err);
    }
}

/* Replaces h2o's read callback by on_head_read(). */
static void
read_hook_install (sgr_http_head_guard_t *guard, h2o_socket_t *sock)
{
  guard->h2o_read_cb = sock->_cb.read;
  sock->_cb.read = on_head_read;
}

/* Lets h2o handle the end of the write, then replaces the read callback that h2o has set. */
static void
on_written (h2o_socket_t *sock, const char *err)
{
  sgr_http_head_guard_t *guard = guard_of (sock);

  guard->h2o_write_cb (sock, err);
  if (err == NULL)
    read_hook_install (guard, sock);
}

/* Runs after h2o has begun to write the request and before any event of the socket. Installs
   on_head_read() if h2o already waits for the answer, else on_written(). */
static void
on_hook_install (h2o_timeout_entry_t *entry)
{
  sgr_http_head_guard_t *guard = H2O_STRUCT_FROM_MEMBER (sgr_http_head_guard_t, entry, entry);
  h2o_socket_t *sock = guard->http->sock;

  if (sock->_cb.read != NULL)
    read_hook_install (guard, sock);
  else
    {
      guard->h2o_write_cb = sock->_cb.write;
      sock->_cb.write = on_written;
    }
}

void
sgr_http_head_guard_start (sgr_http_head_guard_t *guard, h2o_http1client_t *http,
                           h2o_timeout_t *immediate_timeout,
                           void (*reject) (sgr_http_head_guard_t *guard, const char *reason))
{
  guard->http = http;
  guard->reject = reject;
  guard->entry.cb = on_hook_install;
  sgr_task_loop_defer (http->ctx->loop, immediate_timeout, &guard->entry);
}

void
sgr_http_head_guard_stop (sgr_http_head_guard_t *guard)
{
  h2o_timeout_unlink (&guard->entry);
}
