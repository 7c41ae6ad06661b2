#include "http_request.h"

#include <stdlib.h>
#include <string.h>

#define ANSWER_MAX_BYTES (4U * 1024 * 1024)

struct sgr_http_request_t
{
  h2o_http1client_t *http;
  sgr_buffer_t message;
  h2o_iovec_t vector;
  char host[32];
  void (*done) (void *user, const sgr_http_request_answer_t *answer);
  void *user;
  bool is_sent;
  int status;
  sgr_buffer_t body;
};

static void
request_free (sgr_http_request_t *request)
{
  sgr_buffer_release (&request->message);
  sgr_buffer_release (&request->body);
  free (request);
}

static void
finish (sgr_http_request_t *request, sgr_result_t result)
{
  sgr_http_request_answer_t answer = { .result = result,
                                       .is_sent = request->is_sent,
                                       .status = request->status,
                                       .body = (const char *)request->body.bytes,
                                       .length = request->body.length };

  request->done (request->user, &answer);
  request_free (request);
}

static int
on_body (h2o_http1client_t *http, const char *errstr)
{
  sgr_http_request_t *request = http->data;
  h2o_buffer_t *input;

  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      finish (request, SGR_ERR_UNAVAILABLE);
      return 0;
    }
  input = http->sock->input;
  sgr_buffer_append (&request->body, input->bytes, input->size);
  h2o_buffer_consume (&http->sock->input, input->size);
  if (errstr == h2o_http1client_error_is_eos)
    {
      finish (request, SGR_OK);
      return 0;
    }
  if (request->body.length <= ANSWER_MAX_BYTES)
    return 0;
  finish (request, SGR_ERR_UNAVAILABLE);
  return -1;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *http, const char *errstr, int minor_version, int status,
         h2o_iovec_t msg, h2o_header_t *headers, size_t header_count, int rlen)
{
  sgr_http_request_t *request = http->data;

  request->status = status;
  if (errstr == NULL)
    return on_body;
  finish (request, errstr == h2o_http1client_error_is_eos ? SGR_OK : SGR_ERR_UNAVAILABLE);
  return NULL;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *http, const char *errstr, h2o_iovec_t **vectors, size_t *count,
            int *method_is_head)
{
  sgr_http_request_t *request = http->data;

  if (errstr != NULL)
    {
      finish (request, SGR_ERR_UNAVAILABLE);
      return NULL;
    }
  request->is_sent = true;
  request->vector = h2o_iovec_init (request->message.bytes, request->message.length);
  *vectors = &request->vector;
  *count = 1;
  *method_is_head = 0;
  return on_head;
}

sgr_http_request_t *
sgr_http_request_start (h2o_http1client_ctx_t *ctx, const sgr_address_t *to, const char *method,
                        const char *path, const char *fields, const char *body,
                        void (*done) (void *user, const sgr_http_request_answer_t *answer),
                        void *user)
{
  sgr_http_request_t *request = calloc (1, sizeof *request);
  char address[32];

  sgr_invariant (request != NULL);
  request->done = done;
  request->user = user;
  sgr_address_format (to, address, sizeof address);
  sgr_buffer_printf (&request->message, "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n%s",
                     method, path, address, fields);
  if (body != NULL)
    sgr_buffer_printf (&request->message,
                       "content-type: application/json\r\ncontent-length: %zu\r\n", strlen (body));
  sgr_buffer_printf (&request->message, "\r\n%s", body != NULL ? body : "");
  snprintf (request->host, sizeof request->host, "%.*s", (int)strcspn (address, ":"), address);
  h2o_http1client_connect (&request->http, request, ctx,
                           h2o_iovec_init (request->host, strlen (request->host)), to->port, 0,
                           on_connect);
  return request;
}

void
sgr_http_request_cancel (sgr_http_request_t *request)
{
  h2o_http1client_cancel (request->http);
  request_free (request);
}
