#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LINE_MAX_BYTES 1024

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static char log_node[SGR_NAME_MAX + 1] = "-";
static sgr_log_level_t log_level = SGR_LOG_INFO;

void
sgr_log_setup (const char *node, sgr_log_level_t level)
{
  snprintf (log_node, sizeof log_node, "%s", node);
  log_level = level;
}

bool
sgr_log_level_parse (const char *text, sgr_log_level_t *level)
{
  for (size_t i = 0; i < sizeof level_names / sizeof level_names[0]; i++)
    {
      if (strcmp (text, level_names[i]) == 0)
        {
          *level = (sgr_log_level_t)i;
          return true;
        }
    }
  return false;
}

void
sgr_log (sgr_log_level_t level, const char *event, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  char stamp[32];
  struct timespec now;
  struct tm utc;
  va_list args;

  if (level > log_level)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  fprintf (stderr, "%s.%03ldZ %s node=%s event=%s %s\n", stamp, now.tv_nsec / 1000000,
           level_names[level], log_node, event, line);
}
