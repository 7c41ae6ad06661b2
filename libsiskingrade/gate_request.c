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
  if (!sgr_http_is_token (call->service, strlen (call->service))
      || !sgr_http_is_field_value (call->authority, strlen (call->authority)))
    return false;
  for (size_t i = 0; i < call->n_headers; i++)
    {
      const Sgr__Pb__Header *header = call->headers[i];

      if (!sgr_http_is_token (header->name, strlen (header->name))
          || !sgr_http_is_field_value (header->value, strlen (header->value)))
        return false;
    }
  return true;
}

static bool
method_expects_body (const char *method)
{
  return strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0
         || strcmp (method, "PATCH") == 0;
}

void
sgr_gate_request_head_begin (const Sgr__Pb__Call *call, const sgr_attempt_id_t *id,
                             const char *instance_field, const char *instance_name,
                             size_t body_length, sgr_buffer_t *head)
{
  const char *host = call->authority[0] != '\0' ? call->authority : call->service;

  sgr_buffer_printf (head, "%s %s HTTP/1.1\r\nhost: %s\r\n", call->method, call->path, host);
  for (size_t i = 0; i < call->n_headers; i++)
    {
      const Sgr__Pb__Header *header = call->headers[i];

      sgr_buffer_printf (head, "%s: %s\r\n", header->name, header->value);
    }
  sgr_buffer_printf (head, "siskingrade-attempt: %016" PRIx64 "-%016" PRIx64 "-%" PRIu64 "-%u\r\n",
                     id->node, id->boot, id->sequence, id->attempt);
  if (instance_field != NULL && instance_name[0] != '\0')
    sgr_buffer_printf (head, "%s: %s\r\n", instance_field, instance_name);
  if (body_length > 0 || method_expects_body (call->method))
    sgr_buffer_printf (head, "content-length: %zu\r\n", body_length);
}

void
sgr_gate_request_head_finish (const char *deadline_field, uint64_t remaining_us, sgr_buffer_t *head)
{
  sgr_buffer_printf (head, "%s: %" PRIu64 "\r\n\r\n", deadline_field,
                     (uint64_t)((remaining_us + SGR_USEC_PER_MSEC - 1) / SGR_USEC_PER_MSEC));
}
