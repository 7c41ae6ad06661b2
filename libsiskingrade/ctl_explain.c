#include "ctl_explain.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * struct log_line_t - a log line of the request
 * @text: the line from its timestamp on
 * @read_index: position among the lines read, which orders lines with equal timestamps
 */
typedef struct
{
  char *text;
  size_t read_index;
} log_line_t;

typedef struct
{
  log_line_t *lines;
  size_t count;
} log_lines_t;

/* Orders lines for qsort() by timestamp, then in the order in which they were read. */
static int
log_line_compare (const void *a, const void *b)
{
  const log_line_t *left = a, *right = b;
  size_t timestamp_length = strcspn (left->text, " ");
  int order = strncmp (left->text, right->text, timestamp_length);

  if (order != 0)
    return order;
  return left->read_index < right->read_index ? -1 : left->read_index > right->read_index;
}

/* Returns the start of the timestamp "YYYY-MM-DDTHH:MM:SS" in a line, NULL if there is none. Other
   text may precede the timestamp. */
static char *
timestamp_find (char *line)
{
  static const char pattern[] = "dddd-dd-ddTdd:dd:dd";

  for (char *start = line; *start != '\0'; start++)
    {
      size_t i = 0;

      while (
          pattern[i] != '\0'
          && (pattern[i] == 'd' ? isdigit ((unsigned char)start[i]) != 0 : start[i] == pattern[i]))
        i++;
      if (pattern[i] == '\0')
        return start;
    }
  return NULL;
}

static bool
has_request_id (const char *line, const char *id)
{
  size_t length = strlen (id);

  for (const char *field = line; (field = strstr (field, " id=")) != NULL; field++)
    {
      const char *value = field + strlen (" id=");

      if (strncmp (value, id, length) == 0
          && (value[length] == ' ' || value[length] == '\n' || value[length] == '\0'))
        return true;
    }
  return false;
}

static void
log_file_read (log_lines_t *lines, const char *id, FILE *file)
{
  char *line = NULL;
  size_t capacity = 0;

  while (getline (&line, &capacity, file) > 0)
    {
      char *timestamp = has_request_id (line, id) ? timestamp_find (line) : NULL;

      if (timestamp == NULL)
        continue;
      lines->lines = realloc (lines->lines, (lines->count + 1) * sizeof *lines->lines);
      sgr_invariant (lines->lines != NULL);
      lines->lines[lines->count]
          = (log_line_t){ .text = strndup (timestamp, strcspn (timestamp, "\n")),
                          .read_index = lines->count };
      lines->count++;
    }
  free (line);
}

sgr_result_t
sgr_ctl_explain (const char *id, char **files, size_t count, FILE *out, sgr_config_error_t *error)
{
  sgr_result_t result = SGR_OK;
  log_lines_t lines = { 0 };

  for (size_t i = 0; i < count && result == SGR_OK; i++)
    {
      FILE *file = fopen (files[i], "r");

      if (file == NULL)
        {
          result = sgr_config_error_set (error, SGR_ERR_INVALID, files[i], "cannot be read: %s",
                                         strerror (errno));
          continue;
        }
      log_file_read (&lines, id, file);
      fclose (file);
    }
  if (result == SGR_OK && lines.count == 0)
    result = sgr_config_error_set (error, SGR_ERR_NOT_FOUND, id,
                                   "no line of this request; of the requests that succeed only a "
                                   "sample is logged");
  if (lines.count > 1)
    qsort (lines.lines, lines.count, sizeof *lines.lines, log_line_compare);
  for (size_t i = 0; i < lines.count; i++)
    {
      if (result == SGR_OK)
        fprintf (out, "%s\n", lines.lines[i].text);
      free (lines.lines[i].text);
    }
  free (lines.lines);
  return result;
}
