#include "http_fields.h"

#include <string.h>
#include <strings.h>

#define ASCII_DEL 127
/* Any number with this many digits fits into a uint64_t. */
#define NUMBER_DIGITS_MAX 19

static bool
is_token_byte (unsigned char byte)
{
  if ((byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z'))
    return true;
  return byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL;
}

bool
sgr_http_is_token (const char *text, size_t length)
{
  if (length == 0)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      if (!is_token_byte ((unsigned char)text[i]))
        return false;
    }
  return true;
}

bool
sgr_http_is_path (const char *text, size_t length)
{
  if (length == 0 || text[0] != '/')
    return false;
  for (size_t i = 0; i < length; i++)
    {
      if ((unsigned char)text[i] <= ' ' || text[i] == ASCII_DEL)
        return false;
    }
  return true;
}

bool
sgr_http_is_field_value (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      if (((unsigned char)text[i] < ' ' && text[i] != '\t') || text[i] == ASCII_DEL)
        return false;
    }
  return true;
}

static bool
is_one_of (const char *const *names, const char *name, size_t length)
{
  for (; *names != NULL; names++)
    {
      if (strlen (*names) == length && strncasecmp (*names, name, length) == 0)
        return true;
    }
  return false;
}

bool
sgr_http_is_forwarded (const char *name, size_t length)
{
  static const char *const hop_by_hop[]
      = { "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
          "te",         "trailer",    "transfer-encoding",  "upgrade",
          "host",       "expect",     "content-length",     "http2-settings",
          NULL };
  /* Each node writes these fields anew instead of forwarding them. */
  static const char *const written_per_hop[] = { "siskingrade-deadline-ms",  "siskingrade-depth",
                                                 "siskingrade-retry-budget", "siskingrade-attempt",
                                                 "siskingrade-outcome",      "siskingrade-reason",
                                                 "siskingrade-retried",      NULL };

  return !is_one_of (hop_by_hop, name, length) && !is_one_of (written_per_hop, name, length);
}

bool
sgr_http_method_is_idempotent (const char *method, size_t length)
{
  static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", NULL };

  return is_one_of (methods, method, length);
}

bool
sgr_http_number_parse (const char *text, size_t length, uint64_t max, uint64_t *number)
{
  uint64_t value = 0;

  if (length == 0 || length > NUMBER_DIGITS_MAX)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return false;
      value = value * 10 + (uint64_t)(text[i] - '0');
    }
  if (value > max)
    return false;
  *number = value;
  return true;
}
