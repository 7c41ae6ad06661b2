#include "ctl_explain.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * struct line_t - a log line of the request
 * @text: the line from its time on
 * @number: order of reading, for lines of the same time
 */
typedef struct
{
  char *text;
  size_t number;
} line_t;

typedef struct
{
  line_t *lines;
  size_t count;
} lines_t;

static int
line_order (const void *a, const void *b)
{
  const line_t *left = a, *right = b;
  size_t stamp = strcspn (left->text, " ");
  int order = strncmp (left->text, right->text, stamp);

  if (order != 0)
    return order;
  return left->number < right->number ? -1 : left->number > right->number;
}

/* Start of the time "YYYY-MM-DDTHH:MM:SS" in a line that something else may have been put in front
   of, NULL if there is none. */
static char *
stamp_find (char *line)
{
  static const char form[] = "dddd-dd-ddTdd:dd:dd";

  for (char *at = line; *at != '\0'; at++)
    {
      size_t i = 0;

      while (form[i] != '\0'
             && (form[i] == 'd' ? isdigit ((unsigned char)at[i]) != 0 : at[i] == form[i]))
        i++;
      if (form[i] == '\0')
        return at;
    }
  return NULL;
}

static bool
has_id (const char *line, const char *id)
{
  size_t length = strlen (id);

  for (const char *at = line; (at = strstr (at, " id=")) != NULL; at++)
    {
      const char *value = at + strlen (" id=");

      if (strncmp (value, id, length) == 0
          && (value[length] == ' ' || value[length] == '\n' || value[length] == '\0'))
        return true;
    }
  return false;
}

static void
file_read (lines_t *lines, const char *id, FILE *file)
{
  char *line = NULL;
  size_t room = 0;

  while (getline (&line, &room, file) > 0)
    {
      char *stamp = has_id (line, id) ? stamp_find (line) : NULL;

      if (stamp == NULL)
        continue;
      lines->lines = realloc (lines->lines, (lines->count + 1) * sizeof *lines->lines);
      sgr_invariant (lines->lines != NULL);
      lines->lines[lines->count]
          = (line_t){ .text = strndup (stamp, strcspn (stamp, "\n")), .number = lines->count };
      lines->count++;
    }
  free (line);
}

sgr_result_t
sgr_ctl_explain (const char *id, char **files, size_t count, FILE *out, sgr_config_error_t *error)
{
  sgr_result_t result = SGR_OK;
  lines_t lines = { 0 };

  for (size_t i = 0; i < count && result == SGR_OK; i++)
    {
      FILE *file = fopen (files[i], "r");

      if (file == NULL)
        {
          result = sgr_config_error_set (error, SGR_ERR_INVALID, files[i], "cannot be read: %s",
                                         strerror (errno));
          continue;
        }
      file_read (&lines, id, file);
      fclose (file);
    }
  if (result == SGR_OK && lines.count == 0)
    result = sgr_config_error_set (error, SGR_ERR_NOT_FOUND, id,
                                   "no line of this request; of the requests that succeed only a "
                                   "sample is logged");
  if (lines.count > 1)
    qsort (lines.lines, lines.count, sizeof *lines.lines, line_order);
  for (size_t i = 0; i < lines.count; i++)
    {
      if (result == SGR_OK)
        fprintf (out, "%s\n", lines.lines[i].text);
      free (lines.lines[i].text);
    }
  free (lines.lines);
  return result;
}
