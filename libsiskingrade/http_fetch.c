#include "http_fetch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <h2o/http1client.h>

#include "buffer.h"
#include "http_head_guard.h"
#include "result.h"
#include "task_loop.h"

/* TCP keepalive: idle time before the first probe, and time between probes, in seconds. */
#define KEEPALIVE_S 1
/* Unanswered probes after which the kernel closes the connection. */
#define KEEPALIVE_PROBES 2
/* Time after which the kernel closes a connection on which sent bytes are not acknowledged. */
#define USER_TIMEOUT_MS (KEEPALIVE_S * (KEEPALIVE_PROBES + 1) * 1000)

/* Receive buffer of a connection. h2o reads until the socket is empty, so that its memory for a
   fast sender is a multiple of this size. */
#define RECEIVE_BUFFER_BYTES (128 * 1024)
/* A reply whose body brings no byte in so many reads in a row counts as one that does not end. Each
   read may bring a part of a long chunk extension, or trailers. */
#define EMPTY_READS_MAX 100
/* Size of the text of an address, see sgr_address_format(). */
#define ADDRESS_TEXT_BYTES 24

struct sgr_http_fetcher_t
{
  h2o_timeout_t timeout;
  h2o_timeout_t immediate_timeout;
  h2o_http1client_ctx_t client_ctx;
  size_t body_max_bytes;
  sgr_http_fetch_t *pending;
  bool is_in_callback;
};

struct sgr_http_fetch_t
{
  sgr_http_head_guard_t head_guard; /* first, see sgr_http_head_guard_t */
  sgr_http_fetch_t *next;
  sgr_http_fetcher_t *fetcher;
  h2o_http1client_t *client;
  h2o_timeout_entry_t start_entry;
  sgr_http_fetch_cb_t cb;
  sgr_http_fetch_progress_cb_t progress;
  void *ctx;
  bool is_ended; /* the callback runs, after which the request is freed */
  sgr_address_t address;
  sgr_buffer_t request;
  h2o_iovec_t request_vec;
  sgr_buffer_t body;
  bool is_chunked;
  unsigned empty_reads; /* reads of the body in a row that brought no byte of it */
  const char *want[SGR_HTTP_FETCH_HEADERS_MAX];
  sgr_http_fetch_reply_t reply;
};

sgr_http_fetcher_t *
sgr_http_fetcher_create (h2o_loop_t *loop, uint32_t timeout_ms, size_t body_max_bytes)
{
  sgr_http_fetcher_t *fetcher = calloc (1, sizeof *fetcher);

  if (fetcher == NULL)
    return NULL;
  h2o_timeout_init (loop, &fetcher->timeout, timeout_ms);
  h2o_timeout_init (loop, &fetcher->immediate_timeout, 0);
  fetcher->client_ctx.loop = loop;
  fetcher->client_ctx.io_timeout = &fetcher->timeout;
  fetcher->body_max_bytes = body_max_bytes;
  return fetcher;
}

static void
fetch_release (sgr_http_fetch_t *fetch)
{
  sgr_http_fetch_t **link = &fetch->fetcher->pending;

  while (*link != fetch)
    link = &(*link)->next;
  *link = fetch->next;
  if (h2o_timeout_is_linked (&fetch->start_entry))
    h2o_timeout_unlink (&fetch->start_entry);
  sgr_http_head_guard_stop (&fetch->head_guard);
  sgr_buffer_release (&fetch->request);
  sgr_buffer_release (&fetch->body);
  free (fetch);
}

void
sgr_http_fetch_cancel (sgr_http_fetch_t *fetch)
{
  if (fetch->is_ended)
    return;
  if (fetch->client != NULL)
    h2o_http1client_cancel (fetch->client);
  fetch_release (fetch);
}

void
sgr_http_fetcher_destroy (sgr_http_fetcher_t *fetcher)
{
  if (fetcher == NULL)
    return;
  sgr_invariant (!fetcher->is_in_callback);
  while (fetcher->pending != NULL)
    sgr_http_fetch_cancel (fetcher->pending);
  h2o_timeout_dispose (fetcher->client_ctx.loop, &fetcher->timeout);
  h2o_timeout_dispose (fetcher->client_ctx.loop, &fetcher->immediate_timeout);
  free (fetcher);
}

/* Runs the callback of a request and frees the request. Called within a callback of h2o's client,
   after which h2o itself closes that client. */
static void
fetch_end (sgr_http_fetch_t *fetch, const char *error)
{
  fetch->client = NULL;
  fetch->is_ended = true;
  fetch->reply.error = error;
  fetch->reply.body = fetch->body.bytes;
  fetch->reply.length = fetch->body.length;
  fetch->fetcher->is_in_callback = true;
  fetch->cb (fetch->ctx, &fetch->reply);
  fetch->fetcher->is_in_callback = false;
  fetch_release (fetch);
}

static void
progress_report (sgr_http_fetch_t *fetch)
{
  if (fetch->progress != NULL)
    fetch->progress (fetch->ctx);
}

static int
on_body (h2o_http1client_t *client, const char *error)
{
  sgr_http_fetch_t *fetch = client->data;

  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      fetch_end (fetch, "the reply broke off");
      return -1;
    }
  /* As in the target client: h2o reports a connection that closes between two chunks as the end of
     the body, and only then bytes_read is 0. */
  if (error != NULL && fetch->is_chunked && client->sock->bytes_read == 0)
    {
      fetch_end (fetch, "the reply broke off between two chunks");
      return -1;
    }
  if (fetch->body.length + client->sock->input->size > fetch->fetcher->body_max_bytes)
    {
      fetch_end (fetch, "the reply is too large");
      return -1;
    }
  if (error == NULL && client->sock->input->size == 0)
    {
      if (++fetch->empty_reads < EMPTY_READS_MAX)
        return 0;
      fetch_end (fetch, "the body of the reply does not end");
      return -1;
    }
  fetch->empty_reads = 0;
  if (client->sock->input->size > 0)
    {
      sgr_buffer_append (&fetch->body, client->sock->input->bytes, client->sock->input->size);
      h2o_buffer_consume (&client->sock->input, client->sock->input->size);
      progress_report (fetch);
    }
  if (error == h2o_http1client_error_is_eos)
    {
      fetch_end (fetch, NULL);
      return -1;
    }
  return 0;
}

/* Copies the value of a header field of the reply if the request wants it, truncated to
   SGR_HTTP_FETCH_VALUE_BYTES. */
static void
wanted_header_copy (sgr_http_fetch_t *fetch, const h2o_header_t *header)
{
  for (int i = 0; i < SGR_HTTP_FETCH_HEADERS_MAX; i++)
    if (fetch->want[i] != NULL && header->name->len == strlen (fetch->want[i])
        && strncasecmp (header->name->base, fetch->want[i], header->name->len) == 0)
      snprintf (fetch->reply.got[i], sizeof fetch->reply.got[i], "%.*s", (int)header->value.len,
                header->value.base);
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *error, int minor_version, int status,
         h2o_iovec_t message, struct st_h2o_header_t *headers, size_t header_count, int rlen)
{
  sgr_http_fetch_t *fetch = client->data;

  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      fetch_end (fetch, "no reply");
      return NULL;
    }
  fetch->reply.status = status;
  for (size_t i = 0; i < header_count; i++)
    {
      wanted_header_copy (fetch, &headers[i]);
      fetch->is_chunked = fetch->is_chunked || headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf;
    }
  if (error == h2o_http1client_error_is_eos)
    {
      fetch_end (fetch, NULL);
      return NULL;
    }
  progress_report (fetch);
  return on_body;
}

/* Lets the kernel close a dead connection long before the timeout of the fetcher, which is long for
   watch requests of the store. */
static void
keepalive_set (int fd)
{
  static const struct
  {
    int option;
    int value;
  } options[] = { { TCP_KEEPIDLE, KEEPALIVE_S },
                  { TCP_KEEPINTVL, KEEPALIVE_S },
                  { TCP_KEEPCNT, KEEPALIVE_PROBES },
                  { TCP_USER_TIMEOUT, USER_TIMEOUT_MS } };
  int enable = 1;

  /* Errors are ignored: without these options, the fetcher's timeout still ends the request. */
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof enable);
  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    setsockopt (fd, IPPROTO_TCP, options[i].option, &options[i].value, sizeof options[i].value);
}

static void
on_head_rejected (sgr_http_head_guard_t *guard, const char *reason)
{
  sgr_http_fetch_t *fetch = (sgr_http_fetch_t *)guard;

  h2o_http1client_cancel (fetch->client);
  fetch_end (fetch, reason);
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *error, h2o_iovec_t **bufs, size_t *count,
            int *method_is_head)
{
  sgr_http_fetch_t *fetch = client->data;
  int buffer_bytes = RECEIVE_BUFFER_BYTES;

  if (error != NULL)
    {
      fetch_end (fetch, "no connection");
      return NULL;
    }
  /* A failure only means that the connection may use more memory. */
  setsockopt (h2o_socket_get_fd (client->sock), SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  keepalive_set (h2o_socket_get_fd (client->sock));
  fetch->reply.sent = true;
  sgr_http_head_guard_start (&fetch->head_guard, client, &fetch->fetcher->immediate_timeout,
                             on_head_rejected);
  fetch->request_vec = h2o_iovec_init ((const char *)fetch->request.bytes, fetch->request.length);
  *bufs = &fetch->request_vec;
  *count = 1;
  *method_is_head = 0;
  return on_head;
}

/* Connects from the event loop and not within sgr_http_fetch_start(): h2o_http1client_connect() may
   report a failure before it returns, and the callback must not run that early. */
static void
on_start (h2o_timeout_entry_t *entry)
{
  sgr_http_fetch_t *fetch = H2O_STRUCT_FROM_MEMBER (sgr_http_fetch_t, start_entry, entry);
  char host[ADDRESS_TEXT_BYTES];

  snprintf (host, sizeof host, "%u.%u.%u.%u", fetch->address.ip >> 24,
            (fetch->address.ip >> 16) & 255, (fetch->address.ip >> 8) & 255,
            fetch->address.ip & 255);
  h2o_http1client_connect (&fetch->client, fetch, &fetch->fetcher->client_ctx,
                           h2o_iovec_init (host, strlen (host)), fetch->address.port, 0,
                           on_connect);
}

sgr_http_fetch_t *
sgr_http_fetch_start (sgr_http_fetcher_t *fetcher, const sgr_http_fetch_request_t *request,
                      sgr_http_fetch_cb_t cb, void *ctx)
{
  sgr_http_fetch_t *fetch = calloc (1, sizeof *fetch);
  char host[ADDRESS_TEXT_BYTES];

  sgr_invariant (fetch != NULL);
  fetch->fetcher = fetcher;
  fetch->cb = cb;
  fetch->progress = request->progress;
  fetch->ctx = ctx;
  fetch->address = request->address;
  memcpy (fetch->want, request->want, sizeof fetch->want);
  sgr_address_format (&request->address, host, sizeof host);
  sgr_buffer_printf (&fetch->request,
                     "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %zu\r\n"
                     "%s\r\n",
                     request->method, request->path, host, request->length,
                     request->headers != NULL ? request->headers : "");
  if (request->length > 0)
    sgr_buffer_append (&fetch->request, request->body, request->length);
  fetch->next = fetcher->pending;
  fetcher->pending = fetch;
  fetch->start_entry.cb = on_start;
  sgr_task_loop_defer (fetcher->client_ctx.loop, &fetcher->immediate_timeout, &fetch->start_entry);
  return fetch;
}
