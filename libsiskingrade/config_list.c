#include "config_list.h"

#include <stdlib.h>
#include <string.h>

#include "result.h"

/* Elements for which memory is allocated at first; doubled when it is used up. */
#define ELEMENTS_MIN 64

typedef struct
{
  const char *at;
  const char *end;
} cursor_t;

static void
space_skip (cursor_t *cursor)
{
  while (cursor->at < cursor->end && strchr (" \t\r\n", *cursor->at) != NULL && *cursor->at != '\0')
    cursor->at++;
}

/* Moves behind a string that begins at the cursor. Returns false if it does not end. */
static bool
string_skip (cursor_t *cursor)
{
  for (cursor->at++; cursor->at < cursor->end; cursor->at++)
    {
      if (*cursor->at == '\\')
        cursor->at++;
      else if (*cursor->at == '"')
        {
          cursor->at++;
          return true;
        }
    }
  return false;
}

/* Moves to the first comma or closing bracket that does not belong to the value at the cursor.
   Returns false if there is none. */
static bool
value_skip (cursor_t *cursor)
{
  size_t depth = 0;

  while (cursor->at < cursor->end)
    {
      char c = *cursor->at;

      if (c == '"')
        {
          if (!string_skip (cursor))
            return false;
          continue;
        }
      if (depth == 0 && (c == ',' || c == ']' || c == '}'))
        return true;
      if (c == '{' || c == '[')
        depth++;
      else if (c == '}' || c == ']')
        depth--;
      cursor->at++;
    }
  return false;
}

/* Moves behind the opening bracket of the list under @key in the top-level object. */
static bool
list_find (cursor_t *cursor, const char *key)
{
  size_t key_length = strlen (key);

  space_skip (cursor);
  if (cursor->at == cursor->end || *cursor->at++ != '{')
    return false;
  for (;;)
    {
      const char *name;
      bool is_key;

      space_skip (cursor);
      name = cursor->at + 1;
      if (cursor->at == cursor->end || *cursor->at != '"' || !string_skip (cursor))
        return false;
      is_key = (size_t)(cursor->at - name) == key_length + 1 && memcmp (name, key, key_length) == 0;
      space_skip (cursor);
      if (cursor->at == cursor->end || *cursor->at++ != ':')
        return false;
      space_skip (cursor);
      if (is_key)
        return cursor->at < cursor->end && *cursor->at++ == '[';
      if (!value_skip (cursor) || *cursor->at++ != ',')
        return false;
    }
}

static void
element_add (sgr_config_list_t *list, const char *text, const char *end)
{
  /* Grows at each power of two. */
  if (list->count == 0 || (list->count >= ELEMENTS_MIN && (list->count & (list->count - 1)) == 0))
    {
      size_t capacity = list->count == 0 ? ELEMENTS_MIN : 2 * list->count;

      list->elements = realloc (list->elements, capacity * sizeof *list->elements);
      sgr_invariant (list->elements != NULL);
    }
  while (end > text && strchr (" \t\r\n", end[-1]) != NULL && end[-1] != '\0')
    end--;
  list->elements[list->count++]
      = (sgr_config_element_t){ .text = text, .length = (size_t)(end - text) };
}

/* Reads the elements up to the closing bracket of the list. */
static bool
elements_read (cursor_t *cursor, sgr_config_list_t *list)
{
  space_skip (cursor);
  if (cursor->at < cursor->end && *cursor->at == ']')
    return true;
  for (;;)
    {
      const char *start;

      space_skip (cursor);
      start = cursor->at;
      if (!value_skip (cursor))
        return false;
      element_add (list, start, cursor->at);
      if (*cursor->at == ']')
        return true;
      if (*cursor->at++ != ',')
        return false;
    }
}

bool
sgr_config_list_split (sgr_config_list_t *list, const char *text, size_t length, const char *key)
{
  cursor_t cursor = { .at = text, .end = text + length };

  *list = (sgr_config_list_t){ 0 };
  if (!list_find (&cursor, key))
    return false;
  sgr_buffer_append (&list->envelope, text, (size_t)(cursor.at - text));
  if (!elements_read (&cursor, list))
    return false;
  sgr_buffer_append (&list->envelope, cursor.at, (size_t)(cursor.end - cursor.at));
  return true;
}

void
sgr_config_list_release (sgr_config_list_t *list)
{
  sgr_buffer_release (&list->envelope);
  free (list->elements);
  *list = (sgr_config_list_t){ 0 };
}
