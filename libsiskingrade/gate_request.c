#include "gate_request.h"

#include <inttypes.h>
#include <string.h>

#include "http_fields.h"

bool
sgr_gate_request_is_valid (const Sgr__Pb__Call *call)
{
  if (!sgr_http_is_token (call->method, strlen (call->method))
      || !sgr_http_is_path (call->path, strlen (call->path)))
    return false;
  if (!sgr_http_is_token (call->service, strlen (call->service)))
    return false;
  for (size_t i = 0; i < call->n_headers; i++)
    {
      const Sgr__Pb__Header *header = call->headers[i];

      if (!sgr_http_is_token (header->name, strlen (header->name))
          || !sgr_http_is_value (header->value, strlen (header->value)))
        return false;
    }
  return true;
}

static bool
has_body_by_method (const char *method)
{
  return strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0
         || strcmp (method, "PATCH") == 0;
}

void
sgr_gate_request_write (const Sgr__Pb__Call *call, const sgr_attempt_id_t *id, const void *body,
                        size_t body_length, sgr_buffer_t *message)
{
  sgr_buffer_printf (message, "%s %s HTTP/1.1\r\nhost: %s\r\n", call->method, call->path,
                     call->service);
  for (size_t i = 0; i < call->n_headers; i++)
    {
      const Sgr__Pb__Header *header = call->headers[i];

      sgr_buffer_printf (message, "%s: %s\r\n", header->name, header->value);
    }
  sgr_buffer_printf (message,
                     "siskingrade-attempt: %016" PRIx64 "-%016" PRIx64 "-%" PRIu64 "-%u\r\n",
                     id->node, id->boot, id->sequence, id->attempt);
  sgr_buffer_printf (message, "siskingrade-deadline-ms: %" PRIu64 "\r\n",
                     call->remaining_us / 1000);
  if (body_length > 0 || has_body_by_method (call->method))
    sgr_buffer_printf (message, "content-length: %zu\r\n", body_length);
  sgr_buffer_append (message, "\r\n", 2);
  sgr_buffer_append (message, body, body_length);
}
