#include "config_error.h"

#include <stdarg.h>
#include <stdio.h>

sgr_result_t
sgr_config_error_set (sgr_config_error_t *error, sgr_result_t result, const char *path,
                      const char *format, ...)
{
  va_list arguments;

  if (error == NULL)
    return result;
  error->result = result;
  snprintf (error->path, sizeof error->path, "%s", path);
  va_start (arguments, format);
  vsnprintf (error->message, sizeof error->message, format, arguments);
  va_end (arguments);
  return result;
}
