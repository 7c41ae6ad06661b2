#include "target_head.h"

#include <string.h>
#include <strings.h>

#include "http_fields.h"

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

bool
sgr_target_head_is_valid (const char *bytes, size_t length)
{
  const char *end;

  while ((end = memchr (bytes, '\n', length)) != NULL)
    {
      size_t size = (size_t)(end - bytes);

      if (size > 0 && bytes[size - 1] == '\r')
        size--;
      if (size == 0)
        return true;
      if (!line_is_valid (bytes, size))
        return false;
      length -= (size_t)(end + 1 - bytes);
      bytes = end + 1;
    }
  return true;
}
