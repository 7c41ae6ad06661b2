#include "yaml_reader.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#define FILE_MAX_BYTES (4U * 1024 * 1024)
#define PATH_MAX_BYTES 256

struct sgr_yaml_t
{
  char *name;
  yaml_document_t document;
  bool has_document;
  sgr_buffer_t *errors;
  bool failed;
};

static yaml_node_t *
node_of (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  if (node == 0)
    return NULL;
  return yaml_document_get_node ((yaml_document_t *)&yaml->document, node);
}

unsigned
sgr_yaml_line (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  const yaml_node_t *found = node_of (yaml, node);

  return found == NULL ? 1 : (unsigned)found->start_mark.line + 1;
}

void
sgr_yaml_error (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *format, ...)
{
  char text[512];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  sgr_buffer_printf (yaml->errors, "%s:%u: %s: %s\n", yaml->name, sgr_yaml_line (yaml, node), key,
                     text);
  yaml->failed = true;
}

static bool
parse_document (sgr_yaml_t *yaml, const char *text, size_t length)
{
  yaml_parser_t parser;
  bool ok;

  if (yaml_parser_initialize (&parser) == 0)
    return false;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, length);
  ok = yaml_parser_load (&parser, &yaml->document) != 0;
  yaml->has_document = ok;
  if (!ok)
    sgr_buffer_printf (yaml->errors, "%s:%zu: syntax: %s\n", yaml->name,
                       parser.problem_mark.line + 1,
                       parser.problem != NULL ? parser.problem : "not valid YAML");
  else if (yaml_document_get_root_node (&yaml->document) == NULL)
    {
      sgr_buffer_printf (yaml->errors, "%s:1: document: empty, expected a mapping\n", yaml->name);
      ok = false;
    }
  yaml_parser_delete (&parser);
  return ok;
}

sgr_yaml_t *
sgr_yaml_parse (const char *name, const char *text, size_t length, sgr_buffer_t *errors)
{
  sgr_yaml_t *yaml = calloc (1, sizeof *yaml);

  sgr_invariant (yaml != NULL);
  yaml->name = strdup (name);
  yaml->errors = errors;
  if (!parse_document (yaml, text, length))
    {
      sgr_yaml_destroy (yaml);
      return NULL;
    }
  return yaml;
}

sgr_yaml_t *
sgr_yaml_load (const char *path, sgr_buffer_t *errors)
{
  sgr_buffer_t text = { 0 };
  sgr_yaml_t *yaml = NULL;
  FILE *file = fopen (path, "r");
  size_t got;

  if (file == NULL)
    {
      sgr_buffer_printf (errors, "%s:1: file: cannot be opened: %s\n", path, strerror (errno));
      return NULL;
    }
  do
    {
      got = fread (sgr_buffer_reserve (&text, 4096), 1, 4096, file);
      text.length += got;
    }
  while (got > 0 && text.length <= FILE_MAX_BYTES);
  if (ferror (file) != 0)
    sgr_buffer_printf (errors, "%s:1: file: cannot be read\n", path);
  else if (text.length > FILE_MAX_BYTES)
    sgr_buffer_printf (errors, "%s:1: file: larger than %u bytes\n", path, FILE_MAX_BYTES);
  else
    yaml = sgr_yaml_parse (path, (const char *)text.bytes, text.length, errors);
  fclose (file);
  sgr_buffer_release (&text);
  return yaml;
}

void
sgr_yaml_destroy (sgr_yaml_t *yaml)
{
  if (yaml == NULL)
    return;
  if (yaml->has_document)
    yaml_document_delete (&yaml->document);
  free (yaml->name);
  free (yaml);
}

sgr_yaml_node_t
sgr_yaml_root (const sgr_yaml_t *yaml)
{
  return 1; /* libyaml numbers nodes from 1, the root first */
}

static void
path_join (char *joined, const char *path, const char *key)
{
  snprintf (joined, PATH_MAX_BYTES, "%s%s%s", path, path[0] != '\0' ? "." : "", key);
}

static bool
is_known (const char *const *keys, const char *key)
{
  for (; *keys != NULL; keys++)
    {
      if (strcmp (*keys, key) == 0)
        return true;
    }
  return false;
}

static void
check_pair (sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index, const char *path,
            const char *const *keys)
{
  const yaml_node_t *mapping = node_of (yaml, node);
  sgr_yaml_node_t key_node = mapping->data.mapping.pairs.start[index].key;
  const char *key = sgr_yaml_scalar (yaml, key_node);
  char joined[PATH_MAX_BYTES];

  if (key == NULL)
    {
      sgr_yaml_error (yaml, key_node, path, "the key is not a plain name");
      return;
    }
  path_join (joined, path, key);
  if (keys != NULL && !is_known (keys, key))
    {
      char known[256] = "";

      for (size_t i = 0; keys[i] != NULL; i++)
        {
          strncat (known, i == 0 ? "" : ", ", sizeof known - strlen (known) - 1);
          strncat (known, keys[i], sizeof known - strlen (known) - 1);
        }
      sgr_yaml_error (yaml, key_node, joined, "unknown key, expected one of: %s", known);
    }
  for (size_t i = 0; i < index; i++)
    {
      const char *earlier = sgr_yaml_scalar (yaml, mapping->data.mapping.pairs.start[i].key);

      if (earlier != NULL && strcmp (earlier, key) == 0)
        sgr_yaml_error (yaml, key_node, joined, "duplicate key");
    }
}

bool
sgr_yaml_mapping_check (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *path,
                        const char *const *keys)
{
  const yaml_node_t *mapping = node_of (yaml, node);
  size_t count;

  if (mapping == NULL || mapping->type != YAML_MAPPING_NODE)
    {
      sgr_yaml_error (yaml, node, path[0] != '\0' ? path : "document", "expected a mapping");
      return false;
    }
  count = (size_t)(mapping->data.mapping.pairs.top - mapping->data.mapping.pairs.start);
  for (size_t i = 0; i < count; i++)
    check_pair (yaml, node, i, path, keys);
  return true;
}

bool
sgr_yaml_pair (const sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index, const char **key,
               sgr_yaml_node_t *value)
{
  const yaml_node_t *mapping = node_of (yaml, node);

  if (mapping == NULL || mapping->type != YAML_MAPPING_NODE)
    return false;
  if (mapping->data.mapping.pairs.start + index >= mapping->data.mapping.pairs.top)
    return false;
  *key = sgr_yaml_scalar (yaml, mapping->data.mapping.pairs.start[index].key);
  *value = mapping->data.mapping.pairs.start[index].value;
  return *key != NULL;
}

sgr_yaml_node_t
sgr_yaml_get (const sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key)
{
  const char *name;
  sgr_yaml_node_t value;

  for (size_t i = 0; sgr_yaml_pair (yaml, node, i, &name, &value); i++)
    {
      if (strcmp (name, key) == 0)
        return value;
    }
  return 0;
}

bool
sgr_yaml_is_sequence (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  const yaml_node_t *found = node_of (yaml, node);

  return found != NULL && found->type == YAML_SEQUENCE_NODE;
}

size_t
sgr_yaml_count (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  const yaml_node_t *found = node_of (yaml, node);

  if (found == NULL || found->type != YAML_SEQUENCE_NODE)
    return 0;
  return (size_t)(found->data.sequence.items.top - found->data.sequence.items.start);
}

sgr_yaml_node_t
sgr_yaml_item (const sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index)
{
  return node_of (yaml, node)->data.sequence.items.start[index];
}

const char *
sgr_yaml_scalar (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  const yaml_node_t *found = node_of (yaml, node);

  if (found == NULL || found->type != YAML_SCALAR_NODE)
    return NULL;
  /* A NUL inside would end the text early and let two different values look equal. */
  if (strlen ((const char *)found->data.scalar.value) != found->data.scalar.length)
    return NULL;
  return (const char *)found->data.scalar.value;
}

/* Returns the scalar of a key, reports what is missing or of a wrong type. */
static const char *
scalar_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
             bool required, char *joined)
{
  sgr_yaml_node_t value = sgr_yaml_get (yaml, node, key);
  const char *text = sgr_yaml_scalar (yaml, value);

  path_join (joined, path, key);
  if (value == 0)
    {
      if (required)
        sgr_yaml_error (yaml, node, joined, "missing");
      return NULL;
    }
  if (text == NULL)
    sgr_yaml_error (yaml, value, joined, "expected a single value");
  return text;
}

static bool
is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > SGR_NAME_MAX)
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
         == length;
}

bool
sgr_yaml_name_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                    bool required, char *name)
{
  char joined[PATH_MAX_BYTES];
  const char *text = scalar_read (yaml, node, key, path, required, joined);

  if (text == NULL)
    return false;
  if (!is_name (text))
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), joined,
                      "found \"%.80s\", expected a name of 1 to %d letters, digits, '-', '_', '.'",
                      text, SGR_NAME_MAX);
      return false;
    }
  memcpy (name, text, strlen (text) + 1);
  return true;
}

bool
sgr_yaml_number_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                      uint64_t min, uint64_t max, uint64_t *number)
{
  char joined[PATH_MAX_BYTES];
  const char *text = scalar_read (yaml, node, key, path, false, joined);
  unsigned long long value;
  char *end;

  if (text == NULL)
    return false;
  errno = 0;
  value = strtoull (text, &end, 10);
  if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0 || value < min || value > max)
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), joined,
                      "found \"%.80s\", expected a whole number from %llu to %llu", text,
                      (unsigned long long)min, (unsigned long long)max);
      return false;
    }
  *number = value;
  return true;
}

bool
sgr_yaml_address_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                       bool required, sgr_address_t *address)
{
  char joined[PATH_MAX_BYTES];
  const char *text = scalar_read (yaml, node, key, path, required, joined);

  if (text == NULL)
    return false;
  if (!sgr_address_parse (text, address))
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), joined,
                      "found \"%.80s\", expected IP:PORT", text);
      return false;
    }
  return true;
}

bool
sgr_yaml_failed (const sgr_yaml_t *yaml)
{
  return yaml->failed;
}
