#include "log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
/* Lines that wait for a reader; further ones are counted and dropped. */
#define WAITING_MAX_BYTES (256U * 1024)
/* A pipe that is ready for writing takes this much without blocking. */
#define WRITE_MAX_BYTES 4096

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static char log_node[SGR_NAME_MAX + 1] = "-";
static sgr_log_level_t log_level = SGR_LOG_INFO;

/* Both tasks write lines. */
static pthread_mutex_t log_mutex = PTHREAD_MUTEX_INITIALIZER;
static char waiting[WAITING_MAX_BYTES];
static size_t waiting_length;
static uint64_t dropped;
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

/* Returns the bytes of a line with its end, cut to the room. */
static size_t
line_format (char *line, size_t room, sgr_log_level_t level, const char *event, const char *format,
             va_list args)
{
  struct timespec now;
  struct tm utc;
  char stamp[32];
  int length;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  length = snprintf (line, room, "%s.%03ldZ %s node=%s event=%s ", stamp, now.tv_nsec / 1000000,
                     level_names[level], log_node, event);
  length += vsnprintf (line + length, room - (size_t)length, format, args);
  if ((size_t)length > room - 2)
    length = (int)room - 2;
  line[length] = '\n';
  return (size_t)length + 1;
}

/* Writes what the reader takes without waiting. */
static void
waiting_write (void)
{
  size_t written = 0;

  while (written < waiting_length)
    {
      struct pollfd ready = { .fd = STDOUT_FILENO, .events = POLLOUT };
      size_t length = waiting_length - written;
      ssize_t taken;

      if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        break;
      taken = write (STDOUT_FILENO, waiting + written,
                     length < WRITE_MAX_BYTES ? length : WRITE_MAX_BYTES);
      if (taken <= 0)
        break;
      written += (size_t)taken;
    }
  memmove (waiting, waiting + written, waiting_length - written);
  waiting_length -= written;
}

static void
waiting_add (const char *line, size_t length)
{
  if (waiting_length + length > sizeof waiting)
    {
      dropped++;
      return;
    }
  memcpy (waiting + waiting_length, line, length);
  waiting_length += length;
}

static void
add (sgr_log_level_t level, const char *event, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  size_t length;
  va_list args;

  va_start (args, format);
  length = line_format (line, sizeof line, level, event, format, args);
  va_end (args);
  waiting_add (line, length);
}

void
sgr_log_flush (void)
{
  pthread_mutex_lock (&log_mutex);
  waiting_write ();
  if (dropped > 0 && waiting_length == 0)
    {
      uint64_t count = dropped;

      dropped = 0;
      add (SGR_LOG_WARN, "log-dropped", "lines=%lu reason=\"the reader is too slow\"", count);
      waiting_write ();
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
  waiting_add (line, length);
  pthread_mutex_unlock (&log_mutex);
  if (!is_buffered)
    sgr_log_flush ();
}
