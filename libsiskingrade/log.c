#include "log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
/* Size of the buffer for lines that standard output does not accept yet. */
#define BUFFER_MAX_BYTES (256U * 1024)
/* A pipe that poll() reports as writable accepts this many bytes without blocking. */
#define WRITE_MAX_BYTES 4096

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static char log_node[SGR_NAME_MAX + 1] = "-";
static sgr_log_level_t log_level = SGR_LOG_INFO;

/* Protects buffer, buffer_length and dropped_lines: the control and the data thread both log. */
static pthread_mutex_t log_mutex = PTHREAD_MUTEX_INITIALIZER;
static char buffer[BUFFER_MAX_BYTES];
static size_t buffer_length;
static uint64_t dropped_lines;
static bool is_buffered;

void
sgr_log_setup (const char *node, sgr_log_level_t level)
{
  snprintf (log_node, sizeof log_node, "%s", node);
  log_level = level;
}

void
sgr_log_buffer (bool on)
{
  is_buffered = on;
  if (!on)
    sgr_log_flush ();
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

bool
sgr_log_is_on (sgr_log_level_t level)
{
  return level <= log_level;
}

/* Formats a line with its newline, truncated to @size bytes; returns its length. */
static size_t
line_format (char *line, size_t size, sgr_log_level_t level, const char *event, const char *format,
             va_list args)
{
  struct timespec now;
  struct tm utc;
  char stamp[32];
  int length;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  length = snprintf (line, size, "%s.%03ldZ %s node=%s event=%s ", stamp, now.tv_nsec / 1000000,
                     level_names[level], log_node, event);
  length += vsnprintf (line + length, size - (size_t)length, format, args);
  if ((size_t)length > size - 2)
    length = (int)size - 2;
  line[length] = '\n';
  return (size_t)length + 1;
}

/* Writes as many buffered lines as standard output accepts without blocking. */
static void
buffer_write (void)
{
  size_t written = 0;

  while (written < buffer_length)
    {
      struct pollfd output = { .fd = STDOUT_FILENO, .events = POLLOUT };
      size_t length = buffer_length - written;
      ssize_t count;

      if (poll (&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        break;
      count = write (STDOUT_FILENO, buffer + written,
                     length < WRITE_MAX_BYTES ? length : WRITE_MAX_BYTES);
      if (count <= 0)
        break;
      written += (size_t)count;
    }
  memmove (buffer, buffer + written, buffer_length - written);
  buffer_length -= written;
}

static void
buffer_append (const char *line, size_t length)
{
  if (buffer_length + length > sizeof buffer)
    {
      dropped_lines++;
      return;
    }
  memcpy (buffer + buffer_length, line, length);
  buffer_length += length;
}

/* Adds a formatted line to the buffer; the mutex is held. */
static void
buffer_line_add (sgr_log_level_t level, const char *event, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  size_t length;
  va_list args;

  va_start (args, format);
  length = line_format (line, sizeof line, level, event, format, args);
  va_end (args);
  buffer_append (line, length);
}

void
sgr_log_flush (void)
{
  pthread_mutex_lock (&log_mutex);
  buffer_write ();
  if (dropped_lines > 0 && buffer_length == 0)
    {
      uint64_t count = dropped_lines;

      dropped_lines = 0;
      buffer_line_add (SGR_LOG_WARN, "log-dropped", "lines=%lu reason=\"the reader is too slow\"",
                       count);
      buffer_write ();
    }
  pthread_mutex_unlock (&log_mutex);
}

void
sgr_log (sgr_log_level_t level, const char *event, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  size_t length;
  va_list args;

  if (!sgr_log_is_on (level))
    return;
  va_start (args, format);
  length = line_format (line, sizeof line, level, event, format, args);
  va_end (args);
  pthread_mutex_lock (&log_mutex);
  buffer_append (line, length);
  pthread_mutex_unlock (&log_mutex);
  if (!is_buffered)
    sgr_log_flush ();
}
