#include "http1_conn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "result.h"

/* One request of a caller's connection: collects the head and body that http_parser reads, and
   passes on the answer that h2o writes. */

/* Upper bound of the size of the status line without the reason phrase. */
#define STATUS_LINE_BYTES 64
/* Upper bound of the total size of the Connection field, the Content-Length field and the empty
   line after the head. */
#define FRAMING_FIELDS_BYTES 64
/* Memory of a request beside its texts: this file's structure and the first block of h2o's pool. */
#define REQUEST_BYTES (sizeof (sgr_http1_request_t) + 4096)
/* ": " after the name and CR LF after the value of a field. */
#define FIELD_DELIMITERS_BYTES 4

/* Receives a part of the answer from h2o. The bytes stay valid until h2o_proceed_response() is
   called. */
static void
on_send (h2o_ostream_t *ostream, h2o_req_t *req, h2o_iovec_t *vectors, size_t count,
         h2o_send_state_t state)
{
  sgr_http1_request_t *request = H2O_STRUCT_FROM_MEMBER (sgr_http1_request_t, ostream, ostream);

  request->output = h2o_mem_alloc_pool (&req->pool, (count + 1) * sizeof *vectors);
  request->output_count = 0;
  /* h2o's filters may still produce bytes after an error. They are dropped, because they do not
     belong after the part of the answer that was already sent. The connection is then closed. */
  for (size_t i = 0; i < count && state != H2O_SEND_STATE_ERROR; i++)
    {
      if (vectors[i].len > 0)
        request->output[request->output_count++] = vectors[i];
    }
  request->output_state = state;
  request->has_output = true;
  if (request->conn->oldest == request)
    sgr_http1_conn_flush (request->conn);
}

sgr_http1_request_t *
sgr_http1_request_create (sgr_http1_conn_t *conn)
{
  sgr_http1_request_t *request = calloc (1, sizeof *request);

  sgr_invariant (request != NULL);
  request->conn = conn;
  h2o_init_request (&request->req, &conn->super, NULL);
  request->ostream.do_send = on_send;
  request->req._ostr_top = &request->ostream;
  return request;
}

static void
request_charge (sgr_http1_request_t *request, uint64_t bytes)
{
  request->memory_bytes += bytes;
  sgr_memory_budget_charge (&request->conn->memory, bytes, sgr_clock_monotonic_us ());
}

/* Counts bytes of a body; returns false if there is no room for them. */
static bool
body_admit (sgr_http1_request_t *request, uint64_t bytes)
{
  if (sgr_memory_budget_admit (&request->conn->memory, bytes, sgr_clock_monotonic_us ()) != SGR_OK)
    return false;
  request->memory_bytes += bytes;
  return true;
}

static void
request_memory_release (sgr_http1_request_t *request)
{
  sgr_memory_budget_release (&request->conn->memory, request->memory_bytes);
  request->memory_bytes = 0;
  sgr_buffer_release (&request->head_text);
  sgr_buffer_release (&request->body);
}

void
sgr_http1_request_destroy (sgr_http1_request_t *request)
{
  h2o_dispose_request (&request->req);
  request_memory_release (request);
  free (request);
}

static sgr_http1_conn_t *
conn_of (const http_parser *parser)
{
  return parser->data;
}

/* Returns the result that stops the parser. The caller gets an error answer with the status. */
static int
parse_fail (const http_parser *parser, int status)
{
  conn_of (parser)->error_status = status;
  return -1;
}

static int
on_message_begin (http_parser *parser)
{
  sgr_http1_conn_t *conn = conn_of (parser);

  uint64_t now_us = sgr_clock_monotonic_us ();

  conn->reading = sgr_http1_request_create (conn);
  conn->head_due_us = now_us + conn->server->options.head_timeout_us;
  conn->memory.may_drop = true;
  sgr_memory_budget_progress (&conn->memory, now_us);
  request_charge (conn->reading, REQUEST_BYTES);
  return 0;
}

static int
head_text_append (http_parser *parser, const char *at, size_t length)
{
  sgr_http1_conn_t *conn = conn_of (parser);

  if (conn->reading->head_text.length + length > conn->server->options.head_max_bytes)
    return parse_fail (parser, 431);
  request_charge (conn->reading, length);
  sgr_buffer_append (&conn->reading->head_text, at, length);
  return 0;
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  conn_of (parser)->reading->url_length += length;
  return head_text_append (parser, at, length);
}

static int
on_header_field (http_parser *parser, const char *at, size_t length)
{
  sgr_http1_request_t *request = conn_of (parser)->reading;

  if (request->field_count == 0 || request->is_parsing_value)
    {
      if (request->field_count == SGR_HTTP1_FIELDS_MAX)
        return parse_fail (parser, 431);
      request->fields[request->field_count++]
          = (sgr_http1_field_t){ .name_offset = request->head_text.length };
      request->is_parsing_value = false;
    }
  request->fields[request->field_count - 1].name_length += length;
  return head_text_append (parser, at, length);
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  sgr_http1_request_t *request = conn_of (parser)->reading;
  sgr_http1_field_t *field = &request->fields[request->field_count - 1];

  if (!request->is_parsing_value)
    field->value_offset = request->head_text.length;
  request->is_parsing_value = true;
  field->value_length += length;
  return head_text_append (parser, at, length);
}

static bool
field_has_name (const sgr_http1_request_t *request, const sgr_http1_field_t *field,
                const char *name)
{
  return field->name_length == strlen (name)
         && strncasecmp ((const char *)request->head_text.bytes + field->name_offset, name,
                         field->name_length)
                == 0;
}

/* Returns the last field with a name, NULL if there is none, and counts all of them. */
static const sgr_http1_field_t *
field_find (const sgr_http1_request_t *request, const char *name, size_t *count)
{
  const sgr_http1_field_t *found = NULL;

  *count = 0;
  for (size_t i = 0; i < request->field_count; i++)
    {
      if (!field_has_name (request, &request->fields[i], name))
        continue;
      found = &request->fields[i];
      (*count)++;
    }
  return found;
}

static int
on_headers_complete (http_parser *parser)
{
  sgr_http1_conn_t *conn = conn_of (parser);
  sgr_http1_request_t *request = conn->reading;
  size_t host_count, expect_count;

  field_find (request, "host", &host_count);
  if (host_count > 1 || (host_count == 0 && parser->http_minor > 0)
      || request->head_text.bytes[0] != '/')
    return parse_fail (parser, 400);
  if (parser->content_length != ULLONG_MAX
      && parser->content_length > conn->server->options.body_max_bytes)
    return parse_fail (parser, 413);
  request->is_head_complete = true;
  sgr_memory_budget_progress (&conn->memory, sgr_clock_monotonic_us ());
  if (parser->content_length != ULLONG_MAX && parser->content_length > 0)
    {
      if (!body_admit (request, parser->content_length))
        return parse_fail (parser, 503);
      sgr_buffer_reserve_exact (&request->body, parser->content_length);
    }
  field_find (request, "expect", &expect_count);
  if (expect_count > 0 && (parser->content_length != 0 || (parser->flags & F_CHUNKED) != 0))
    sgr_http1_conn_send_continue (conn);
  /* Upgrades are not supported; the request is handled as one without the Upgrade field. */
  parser->upgrade = 0;
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  sgr_http1_conn_t *conn = conn_of (parser);

  if (conn->reading->body.length + length > conn->server->options.body_max_bytes)
    return parse_fail (parser, 413);
  if ((parser->flags & F_CHUNKED) != 0 && !body_admit (conn->reading, length))
    return parse_fail (parser, 503);
  sgr_memory_budget_progress (&conn->memory, sgr_clock_monotonic_us ());
  sgr_buffer_append (&conn->reading->body, at, length);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  sgr_http1_conn_t *conn = conn_of (parser);

  conn->complete = conn->reading;
  conn->reading = NULL;
  conn->memory.may_drop = false;
  conn->complete->req.http1_is_persistent = http_should_keep_alive (parser) != 0;
  conn->complete->req.version = parser->http_major << 8 | parser->http_minor;
  conn->complete->req.input.method
      = h2o_strdup (&conn->complete->req.pool, http_method_str (parser->method), SIZE_MAX);
  if (!conn->complete->req.http1_is_persistent || conn->server->is_draining)
    conn->is_last_request_read = true;
  http_parser_pause (parser, 1);
  return 0;
}

const http_parser_settings sgr_http1_parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Whether the value of a Connection field names a field, which makes that field hop-by-hop. */
static bool
connection_names (const sgr_http1_request_t *request, const sgr_http1_field_t *connection,
                  const char *name, size_t name_length)
{
  const char *at = (const char *)request->head_text.bytes + connection->value_offset;
  const char *end = at + connection->value_length;

  while (at < end)
    {
      const char *comma = memchr (at, ',', (size_t)(end - at));
      const char *stop = comma != NULL ? comma : end;

      while (at < stop && (*at == ' ' || *at == '\t'))
        at++;
      while (stop > at && (stop[-1] == ' ' || stop[-1] == '\t'))
        stop--;
      if ((size_t)(stop - at) == name_length && strncasecmp (at, name, name_length) == 0)
        return true;
      at = comma != NULL ? comma + 1 : end;
    }
  return false;
}

static bool
is_named_in_connection (const sgr_http1_request_t *request, const sgr_http1_field_t *field)
{
  const char *name = (const char *)request->head_text.bytes + field->name_offset;

  for (size_t i = 0; i < request->field_count; i++)
    if (field_has_name (request, &request->fields[i], "connection")
        && connection_names (request, &request->fields[i], name, field->name_length))
      return true;
  return false;
}

/* Whether a field is left out of the list of header fields that h2o gets: h2o keeps it elsewhere,
   or it is hop-by-hop. */
static bool
is_excluded (const sgr_http1_request_t *request, const sgr_http1_field_t *field)
{
  static const char *const names[]
      = { "host", "content-length", "transfer-encoding", "expect", "upgrade", "connection" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      if (field_has_name (request, field, names[i]))
        return true;
    }
  return is_named_in_connection (request, field);
}

/* Copies the header fields to h2o's request. */
static void
fields_copy (sgr_http1_request_t *request)
{
  const char *text = (const char *)request->head_text.bytes;
  h2o_req_t *req = &request->req;

  for (size_t i = 0; i < request->field_count; i++)
    {
      const sgr_http1_field_t *field = &request->fields[i];
      h2o_iovec_t name, value;

      if (field_has_name (request, field, "host"))
        req->input.authority
            = h2o_strdup (&req->pool, text + field->value_offset, field->value_length);
      if (is_excluded (request, field))
        continue;
      name = h2o_strdup (&req->pool, text + field->name_offset, field->name_length);
      value = h2o_strdup (&req->pool, text + field->value_offset, field->value_length);
      h2o_strtolower (name.base, name.len);
      h2o_add_header_by_str (&req->pool, &req->headers, name.base, name.len, 1, NULL, value.base,
                             value.len);
    }
}

void
sgr_http1_request_start (sgr_http1_request_t *request)
{
  const char *text = (const char *)request->head_text.bytes;
  const char *query = memchr (text, '?', request->url_length);
  h2o_req_t *req = &request->req;

  req->input.scheme = &H2O_URL_SCHEME_HTTP;
  req->input.path = h2o_strdup (&req->pool, text, request->url_length);
  req->input.query_at = query != NULL ? (size_t)(query - text) : SIZE_MAX;
  req->entity = h2o_iovec_init (request->body.bytes, request->body.length);
  fields_copy (request);
  h2o_process_request (req);
}

void
sgr_http1_request_set_error (sgr_http1_request_t *request, int status)
{
  request_memory_release (request);
  switch (status)
    {
    case 503:
      request->error_text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                            "Retry-After: 1\r\nSiskingrade-Outcome: not-run\r\n"
                            "Siskingrade-Reason: memory\r\nContent-Length: 0\r\n\r\n";
      break;
    case 408:
      request->error_text = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
                            "Siskingrade-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
      break;
    case 413:
      request->error_text = "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\n"
                            "Content-Length: 0\r\n\r\n";
      break;
    case 431:
      request->error_text = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
                            "Content-Length: 0\r\n\r\n";
      break;
    default:
      request->error_text
          = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      break;
    }
  request->output_state = H2O_SEND_STATE_FINAL;
  request->has_output = true;
}

/* Writes the status line and the header fields of an answer into memory of its request. */
static h2o_iovec_t
head_write (h2o_req_t *req, bool closes_connection)
{
  size_t capacity = STATUS_LINE_BYTES + strlen (req->res.reason) + FRAMING_FIELDS_BYTES;
  h2o_iovec_t head;
  char *at;

  for (size_t i = 0; i < req->res.headers.size; i++)
    capacity += req->res.headers.entries[i].name->len + req->res.headers.entries[i].value.len
                + FIELD_DELIMITERS_BYTES;
  head.base = at = h2o_mem_alloc_pool (&req->pool, capacity);
  at += sprintf (at, "HTTP/1.1 %d %s\r\n", req->res.status, req->res.reason);
  if (closes_connection)
    at += sprintf (at, "connection: close\r\n");
  if (req->res.content_length != SIZE_MAX)
    at += sprintf (at, "content-length: %zu\r\n", req->res.content_length);
  for (size_t i = 0; i < req->res.headers.size; i++)
    {
      const h2o_header_t *header = &req->res.headers.entries[i];

      memcpy (at, header->name->base, header->name->len);
      at += header->name->len;
      *at++ = ':';
      *at++ = ' ';
      memcpy (at, header->value.base, header->value.len);
      at += header->value.len;
      *at++ = '\r';
      *at++ = '\n';
    }
  *at++ = '\r';
  *at++ = '\n';
  head.len = (size_t)(at - head.base);
  return head;
}

h2o_iovec_t *
sgr_http1_request_output (sgr_http1_request_t *request, bool closes_connection, size_t *count)
{
  h2o_mem_pool_t *pool = &request->req.pool;
  h2o_iovec_t *vectors;

  if (request->error_text != NULL)
    {
      vectors = h2o_mem_alloc_pool (pool, sizeof *vectors);
      vectors[0] = h2o_iovec_init (request->error_text, strlen (request->error_text));
      *count = 1;
      return vectors;
    }
  *count = request->output_count;
  if (request->is_head_sent)
    return request->output;
  vectors = h2o_mem_alloc_pool (pool, (request->output_count + 1) * sizeof *vectors);
  vectors[0] = head_write (&request->req, closes_connection);
  if (request->output_count > 0)
    memcpy (vectors + 1, request->output, request->output_count * sizeof *vectors);
  request->is_head_sent = true;
  *count += 1;
  return vectors;
}
