#include "yaml_reader.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "label.h"

#define FILE_MAX_BYTES (4U * 1024 * 1024)
#define READ_CHUNK_BYTES 4096
/* Size of the buffer for the dotted path of a key; a longer path is truncated. */
#define KEY_PATH_BYTES 256
/* Size of the buffer for the list of known keys in an error message; a longer list is truncated. */
#define KEY_LIST_BYTES 256
/* Size of the buffer for the text of an error message; a longer text is truncated. */
#define MESSAGE_BYTES 512

/**
 * struct sgr_yaml_t - a YAML document
 * @name: file name for error messages
 * @document: libyaml's document, valid if @has_document is set
 * @has_document: whether @document must be deleted
 * @errors: receives the error lines
 * @has_failed: whether an error was reported at a node
 */
struct sgr_yaml_t
{
  char *name;
  yaml_document_t document;
  bool has_document;
  sgr_buffer_t *errors;
  bool has_failed;
};

static yaml_node_t *
node_get (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  if (node == 0)
    return NULL;
  return yaml_document_get_node ((yaml_document_t *)&yaml->document, node);
}

unsigned
sgr_yaml_line (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  const yaml_node_t *yaml_node = node_get (yaml, node);

  return yaml_node == NULL ? 1 : (unsigned)yaml_node->start_mark.line + 1;
}

void
sgr_yaml_error (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *format, ...)
{
  char text[MESSAGE_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  sgr_buffer_printf (yaml->errors, "%s:%u: %s: %s\n", yaml->name, sgr_yaml_line (yaml, node), key,
                     text);
  yaml->has_failed = true;
}

static bool
parse_document (sgr_yaml_t *yaml, const char *text, size_t length)
{
  yaml_parser_t parser;
  bool is_valid;

  if (yaml_parser_initialize (&parser) == 0)
    return false;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, length);
  is_valid = yaml_parser_load (&parser, &yaml->document) != 0;
  yaml->has_document = is_valid;
  if (!is_valid)
    sgr_buffer_printf (yaml->errors, "%s:%zu: syntax: %s\n", yaml->name,
                       parser.problem_mark.line + 1,
                       parser.problem != NULL ? parser.problem : "not valid YAML");
  else if (yaml_document_get_root_node (&yaml->document) == NULL)
    {
      sgr_buffer_printf (yaml->errors, "%s:1: document: empty, expected a mapping\n", yaml->name);
      is_valid = false;
    }
  yaml_parser_delete (&parser);
  return is_valid;
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
  size_t bytes_read;

  if (file == NULL)
    {
      sgr_buffer_printf (errors, "%s:1: file: cannot be opened: %s\n", path, strerror (errno));
      return NULL;
    }
  do
    {
      bytes_read = fread (sgr_buffer_reserve (&text, READ_CHUNK_BYTES), 1, READ_CHUNK_BYTES, file);
      text.length += bytes_read;
    }
  while (bytes_read > 0 && text.length <= FILE_MAX_BYTES);
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

/* Writes the dotted path of a key of the mapping at @path. @key_path is KEY_PATH_BYTES long. */
static void
path_join (char *key_path, const char *path, const char *key)
{
  snprintf (key_path, KEY_PATH_BYTES, "%s%s%s", path, path[0] != '\0' ? "." : "", key);
}

static bool
is_known_key (const char *const *keys, const char *key)
{
  for (; *keys != NULL; keys++)
    {
      if (strcmp (*keys, key) == 0)
        return true;
    }
  return false;
}

/* Reports a key that is not a scalar, is unknown or repeats the key of an earlier pair. */
static void
check_pair (sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index, const char *path,
            const char *const *keys)
{
  const yaml_node_t *mapping = node_get (yaml, node);
  sgr_yaml_node_t key_node = mapping->data.mapping.pairs.start[index].key;
  const char *key = sgr_yaml_scalar (yaml, key_node);
  char key_path[KEY_PATH_BYTES];

  if (key == NULL)
    {
      sgr_yaml_error (yaml, key_node, path, "the key is not a plain name");
      return;
    }
  path_join (key_path, path, key);
  if (keys != NULL && !is_known_key (keys, key))
    {
      char known[KEY_LIST_BYTES] = "";

      for (size_t i = 0; keys[i] != NULL; i++)
        {
          strncat (known, i == 0 ? "" : ", ", sizeof known - strlen (known) - 1);
          strncat (known, keys[i], sizeof known - strlen (known) - 1);
        }
      sgr_yaml_error (yaml, key_node, key_path, "unknown key, expected one of: %s", known);
    }
  for (size_t i = 0; i < index; i++)
    {
      const char *earlier_key = sgr_yaml_scalar (yaml, mapping->data.mapping.pairs.start[i].key);

      if (earlier_key != NULL && strcmp (earlier_key, key) == 0)
        sgr_yaml_error (yaml, key_node, key_path, "duplicate key");
    }
}

bool
sgr_yaml_mapping_check (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *path,
                        const char *const *keys)
{
  const yaml_node_t *mapping = node_get (yaml, node);
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
  const yaml_node_t *mapping = node_get (yaml, node);

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
  const yaml_node_t *yaml_node = node_get (yaml, node);

  return yaml_node != NULL && yaml_node->type == YAML_SEQUENCE_NODE;
}

size_t
sgr_yaml_count (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  const yaml_node_t *yaml_node = node_get (yaml, node);

  if (yaml_node == NULL || yaml_node->type != YAML_SEQUENCE_NODE)
    return 0;
  return (size_t)(yaml_node->data.sequence.items.top - yaml_node->data.sequence.items.start);
}

sgr_yaml_node_t
sgr_yaml_item (const sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index)
{
  return node_get (yaml, node)->data.sequence.items.start[index];
}

const char *
sgr_yaml_scalar (const sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  const yaml_node_t *yaml_node = node_get (yaml, node);

  if (yaml_node == NULL || yaml_node->type != YAML_SCALAR_NODE)
    return NULL;
  /* An embedded NUL byte would truncate the text, so that different values could compare equal. */
  if (strlen ((const char *)yaml_node->data.scalar.value) != yaml_node->data.scalar.length)
    return NULL;
  return (const char *)yaml_node->data.scalar.value;
}

/* Returns the scalar value of a key, NULL if there is none. Reports a required key that is absent
   and a value that is not a scalar. @key_path, KEY_PATH_BYTES long, receives the dotted path of the
   key. */
static const char *
scalar_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
             bool required, char *key_path)
{
  sgr_yaml_node_t value = sgr_yaml_get (yaml, node, key);
  const char *text = sgr_yaml_scalar (yaml, value);

  path_join (key_path, path, key);
  if (value == 0)
    {
      if (required)
        sgr_yaml_error (yaml, node, key_path, "missing");
      return NULL;
    }
  if (text == NULL)
    sgr_yaml_error (yaml, value, key_path, "expected a single value");
  return text;
}

bool
sgr_yaml_name_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                    bool required, char *name)
{
  char key_path[KEY_PATH_BYTES];
  const char *text = scalar_read (yaml, node, key, path, required, key_path);

  if (text == NULL)
    return false;
  if (!sgr_label_is_valid (text))
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), key_path,
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
  char key_path[KEY_PATH_BYTES];
  const char *text = scalar_read (yaml, node, key, path, false, key_path);
  unsigned long long value;
  char *end;

  if (text == NULL)
    return false;
  errno = 0;
  value = strtoull (text, &end, 10);
  if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0 || value < min || value > max)
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), key_path,
                      "found \"%.80s\", expected a whole number from %llu to %llu", text,
                      (unsigned long long)min, (unsigned long long)max);
      return false;
    }
  *number = value;
  return true;
}

bool
sgr_yaml_duration_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                        uint64_t min_ms, uint64_t max_ms, uint64_t *duration_ms)
{
  char key_path[KEY_PATH_BYTES];
  const char *text = scalar_read (yaml, node, key, path, false, key_path);
  double value;
  char *end;

  if (text == NULL)
    return false;
  value = strtod (text, &end);
  if (text[0] < '0' || text[0] > '9')
    value = -1;
  if (value >= 0 && strcmp (end, "s") == 0)
    value *= 1000;
  else if (value < 0 || strcmp (end, "ms") != 0)
    value = -1;
  if (!(value >= (double)min_ms && value <= (double)max_ms))
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), key_path,
                      "found \"%.80s\", expected a duration such as \"1500ms\" or \"2.5s\" from "
                      "%llums to %llums",
                      text, (unsigned long long)min_ms, (unsigned long long)max_ms);
      return false;
    }
  *duration_ms = (uint64_t)value;
  return true;
}

bool
sgr_yaml_decimal_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                       uint32_t max, double *number)
{
  char key_path[KEY_PATH_BYTES];
  const char *text = scalar_read (yaml, node, key, path, false, key_path);
  double value;
  char *end;

  if (text == NULL)
    return false;
  value = strtod (text, &end);
  if (text[0] < '0' || text[0] > '9')
    value = -1;
  if (value < 0 || *end != '\0' || !(value <= max))
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), key_path,
                      "found \"%.80s\", expected a decimal number from 0 to %u", text, max);
      return false;
    }
  *number = value;
  return true;
}

bool
sgr_yaml_share_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                     double *share)
{
  return sgr_yaml_decimal_read (yaml, node, key, path, 1, share);
}

bool
sgr_yaml_address_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                       bool required, sgr_address_t *address)
{
  char key_path[KEY_PATH_BYTES];
  const char *text = scalar_read (yaml, node, key, path, required, key_path);

  if (text == NULL)
    return false;
  if (!sgr_address_parse (text, address))
    {
      sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, key), key_path,
                      "found \"%.80s\", expected IP:PORT", text);
      return false;
    }
  return true;
}

bool
sgr_yaml_failed (const sgr_yaml_t *yaml)
{
  return yaml->has_failed;
}
