#include "request_ids.h"

#include <string.h>

#include "http_fields.h"
#include "types.h"

/* Removes the optional white space around the value of a header field. */
static const char *
value_trim (const char *value, size_t *length)
{
  while (*length > 0 && (*value == ' ' || *value == '\t'))
    {
      value++;
      (*length)--;
    }
  while (*length > 0 && (value[*length - 1] == ' ' || value[*length - 1] == '\t'))
    (*length)--;
  return value;
}

static bool
field_has_name (const sgr_http_field_t *field, const char *name)
{
  return h2o_lcstris (field->name, field->name_length, name, strlen (name));
}

static bool
ids_contain (const sgr_request_ids_t *ids, const char *value, size_t length)
{
  const char *id = (const char *)ids->text.bytes;
  const char *end = id + ids->text.length;

  for (; id < end; id += strlen (id) + 1)
    {
      if (strlen (id) == length && memcmp (id, value, length) == 0)
        return true;
    }
  return false;
}

void
sgr_request_ids_add (sgr_request_ids_t *ids, const char *value)
{
  size_t length = strlen (value);

  value = value_trim (value, &length);
  if (length == 0)
    return;
  sgr_buffer_append (&ids->text, value, length);
  sgr_buffer_append (&ids->text, "", 1);
}

const char *
sgr_request_ids_log_name (const sgr_request_ids_t *ids)
{
  const char *id = ids->text.length > 0 ? (const char *)ids->text.bytes : "";
  size_t length = strlen (id);

  return length <= SGR_NAME_MAX && sgr_http_is_token (id, length) ? id : "";
}

bool
sgr_request_ids_match (const sgr_request_ids_t *ids, const sgr_call_fields_t *names,
                       const sgr_http_field_t *fields, size_t count)
{
  bool has_id = ids->text.length > 0;
  bool is_id_expected = has_id && names->is_request_id_echoed;

  for (size_t i = 0; i < count; i++)
    {
      const char *value = fields[i].value;
      size_t length = fields[i].value_length;

      if (names->is_request_id_echoed && field_has_name (&fields[i], "content-encoding"))
        return false;
      if (!field_has_name (&fields[i], names->request_id))
        continue;
      value = value_trim (value, &length);
      if (length == 0)
        continue;
      if (has_id ? !ids_contain (ids, value, length) : names->is_request_id_echoed)
        return false;
      is_id_expected = false;
    }
  return !is_id_expected;
}

bool
sgr_request_ids_are_repeated (const sgr_request_ids_t *ids, const sgr_call_fields_t *names,
                              const sgr_http_field_t *fields, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      size_t length = fields[i].value_length;
      const char *value = value_trim (fields[i].value, &length);

      if (length > 0 && field_has_name (&fields[i], names->request_id)
          && ids_contain (ids, value, length))
        return true;
    }
  return false;
}

void
sgr_request_ids_release (sgr_request_ids_t *ids)
{
  sgr_buffer_release (&ids->text);
}
